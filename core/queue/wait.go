package queue

// The wait of a request is estimated from the work that the order of order.go puts ahead of
// it and from learned service times. A request that cannot be served by its deadline is
// refused on arrival. The estimate is repeated once, when the request has waited for
// holdShare of its target, so that a request that is refused later has lost little time.

import (
	"math"
	"slices"
	"time"
)

const (
	// holdShare is the share of the target latency after which a waiting request is
	// checked again.
	holdShare = 0.25
	// waitMargin is the factor on the estimated wait above which a request with a target is
	// refused. Under overload the queue fills up to the deadline, and the error of the estimate
	// then decides which requests wait in vain.
	waitMargin = 1.2
	// usageTime is the time over which the slot time of each priority is averaged.
	usageTime = time.Second
)

// missesDeadline reports whether the waiting request i cannot finish by its deadline.
func (q *Queue) missesDeadline(now time.Time, i *item) bool {
	if i.Deadline.IsZero() {
		return false
	}
	wait := float64(q.waitOf(now, i))
	if i.Target > 0 {
		wait *= waitMargin
	}
	return now.Add(time.Duration(wait) + q.serviceOf(now, i.team, i.priority)).After(i.Deadline)
}

// waitOf returns the estimated time until the waiting request i starts.
func (q *Queue) waitOf(now time.Time, i *item) time.Duration {
	if q.queued <= 1 && q.busySlots() < q.opts.Slots {
		return q.openWait(now, i)
	}
	slots := float64(q.opts.Slots)
	if q.opts.Policy == FIFO {
		ahead := 0.0
		for _, t := range q.active {
			ahead += float64(t.count) * float64(q.serviceOf(now, t, i.priority))
		}
		ahead -= float64(q.serviceOf(now, i.team, i.priority))
		return time.Duration(max(0, ahead) / slots)
	}
	own := q.ownAhead(now, i)
	ahead := q.workAhead(now, i, own)
	if q.running >= q.opts.Slots {
		// On average, half of the time of the running statements is left.
		ahead += float64(max(q.expected, q.elapsed)) / 2
	}
	// Requests that are still to come take what they took recently: more urgent ones of all
	// teams, and all of other teams up to their shares. The larger of the two waits counts,
	// since waiting requests of other teams are in both.
	slots = max(1, slots-q.opens.slots(now, 1))
	total, urgent := q.usage.slots(now, numPriorities), q.usage.slots(now, i.priority)
	byWork := ahead / max(leastShare*slots, slots-urgent)
	ownTotal, ownUrgent := i.team.usage.slots(now, numPriorities), i.team.usage.slots(now, i.priority)
	byRate := own / max(leastShare*slots, ownTotal-ownUrgent, slots-(total-ownTotal)-ownUrgent)
	return q.openWait(now, i) + time.Duration(max(byWork, byRate))
}

// workAhead returns the slot time in nanoseconds of the waiting requests that are served
// before i, own of which are for its team.
func (q *Queue) workAhead(now time.Time, i *item, own float64) float64 {
	t := i.team
	weights, lastWaiting := 0.0, 0
	for _, o := range q.active {
		if o.count > 0 {
			weights += o.weight
			lastWaiting = max(lastWaiting, o.lastPriority())
		}
	}
	// relative is the number of rounds that cover the team's requests ahead of i, and rounds
	// that until it needs credit, which an urgent request may overdraw.
	relative := (own - float64(t.credit)) / float64(q.quantumOf(t))
	overdraws := i.priority < lastWaiting
	rounds := max(0, relative-float64(q.overdraft(t, weights, i.priority, lastWaiting))/float64(q.quantumOf(t)))
	ahead := own
	for _, o := range q.active {
		if o == t || o.count == 0 {
			continue
		}
		more, equal, less := q.workOf(now, o, i.priority)
		service := (more + equal + less) / float64(o.count)
		// The other team is served until its credit is used up, and its last statement
		// overdraws that by half of its time on average.
		credit := float64(o.credit) + rounds*float64(q.quantumOf(o))
		urgent := credit
		if overdraws {
			// Teams whose requests are equally urgent are served by credit.
			urgent = float64(o.credit) + relative*float64(q.quantumOf(o))
		}
		if more > 0 {
			urgent += min(float64(q.overdraft(o, weights, o.firstPriority(), lastWaiting)), more)
		}
		part := 0.0
		if urgent > 0 {
			part = min(more+equal, urgent+service/2)
		}
		if rounds > 0 && credit > part {
			part += min(less, credit-part)
		}
		if part > 0 && !q.hasConnection(o) {
			part += float64(q.openTime.at(now))
		}
		ahead += part
	}
	return ahead
}

// workOf returns the slot time in nanoseconds of the team's waiting requests that are more
// urgent than the priority, that have it, and that are less urgent.
func (q *Queue) workOf(now time.Time, t *team, priority int) (more, equal, less float64) {
	for p, n := range t.counts {
		if n == 0 {
			continue
		}
		switch work := float64(n) * float64(q.serviceOf(now, t, p)); {
		case p < priority:
			more += work
		case p == priority:
			equal = work
		default:
			less += work
		}
	}
	return more, equal, less
}

// ownAhead returns the slot time in nanoseconds of the requests of i's team that come
// before i.
func (q *Queue) ownAhead(now time.Time, i *item) float64 {
	n, work := q.aheadInTeam(i), 0.0
	for p := range i.priority {
		k := min(n, i.team.counts[p])
		if k > 0 {
			work += float64(k) * float64(q.serviceOf(now, i.team, p))
			n -= k
		}
	}
	return work + float64(n)*float64(q.serviceOf(now, i.team, i.priority))
}

// aheadInTeam returns the number of waiting requests of the team that come before i.
func (q *Queue) aheadInTeam(i *item) int {
	if i.class == classInTransaction {
		return max(0, slices.Index(i.team.waiting[classInTransaction], i))
	}
	n := len(i.team.waiting[classInTransaction])
	for class := classSingle; class < numClasses; class++ {
		n += position(i.team.waiting[class], i)
	}
	return n
}

// openWait returns the time to open a connection for i if its team has none to spare.
func (q *Queue) openWait(now time.Time, i *item) time.Duration {
	if i.class == classInTransaction || q.hasConnection(i.team) {
		return 0
	}
	return q.openTime.at(now)
}

// hasConnection reports whether the team need not wait for a connection to be opened.
func (q *Queue) hasConnection(t *team) bool {
	return !q.opts.TeamBound || t.idle+t.opening+t.running > t.heldConns
}

// firstPriority returns the most urgent priority of the team's waiting requests.
func (t *team) firstPriority() int {
	for p, n := range t.counts {
		if n > 0 {
			return p
		}
	}
	return 0
}

// lastPriority returns the least urgent priority of the team's waiting requests.
func (t *team) lastPriority() int {
	for p := numPriorities - 1; p > 0; p-- {
		if t.counts[p] > 0 {
			return p
		}
	}
	return 0
}

// serviceOf returns the expected service time of the team's requests of a priority. Without
// a recent one it approaches the time of all teams' requests of the priority.
func (q *Queue) serviceOf(now time.Time, t *team, priority int) time.Duration {
	all, own := q.services[priority].at(now), t.services[priority]
	if own.last.IsZero() {
		return all
	}
	weight := math.Exp2(-now.Sub(own.last).Seconds())
	return time.Duration(weight*float64(own.mean) + (1-weight)*float64(all))
}

// observeService records the slot time that a finished request has used.
func (q *Queue) observeService(now time.Time, i *item, used time.Duration) {
	own := &i.team.services[i.priority]
	own.observe(now, used)
	q.services[i.priority].observe(now, used)
	q.usage.add(now, i.priority, used)
	i.team.usage.add(now, i.priority, used)
	i.team.recordOwed(i, used, own.mean)
}

// checkWaiting refuses the team's requests whose deadline has passed, and those that have
// waited for holdShare of their target and cannot finish by their deadline.
func (q *Queue) checkWaiting(now time.Time, t *team) {
	for class := range numClasses {
		for k := len(t.waiting[class]) - 1; k >= 0; k-- {
			i := t.waiting[class][k]
			if i.Deadline.IsZero() {
				continue
			}
			due := !i.holdUntil.IsZero() && !now.Before(i.holdUntil)
			if !now.Before(i.Deadline) || due && class != classInTransaction && !q.paused && q.missesDeadline(now, i) {
				q.refuseRequest(now, i, ReasonDeadline)
			}
			if due && !q.paused {
				i.holdUntil = time.Time{}
			}
		}
	}
}

// shedRequest refuses a request because the queue is full. By FIFO this is the new request
// i. Otherwise the team with the most waiting requests per weight loses its least urgent
// request outside transactions.
func (q *Queue) shedRequest(now time.Time, i *item) {
	if q.opts.Policy == FIFO {
		q.refuseRequest(now, i, ReasonFull)
		return
	}
	var heaviest *team
	most := 0.0
	for _, t := range q.active {
		n := len(t.waiting[classSingle]) + len(t.waiting[classBegin])
		if load := float64(n) / t.weight; n > 0 && load > most {
			heaviest, most = t, load
		}
	}
	if heaviest == nil {
		q.refuseRequest(now, i, ReasonFull)
		return
	}
	q.refuseRequest(now, q.leastUrgent(now, heaviest, i), ReasonFull)
}

// leastUrgent returns the last request outside transactions in the team's order, or i if
// there is none. Of the requests with the same priority, one that has waited for less than
// holdShare of its target is preferred.
func (q *Queue) leastUrgent(now time.Time, t *team, i *item) *item {
	var last, fresh *item
	for class := classSingle; class < numClasses; class++ {
		w := t.waiting[class]
		if n := len(w); n > 0 && (last == nil || compareUrgency(w[n-1], last) > 0) {
			last = w[n-1]
		}
	}
	if last == nil {
		return i
	}
	for class := classSingle; class < numClasses; class++ {
		for _, c := range slices.Backward(t.waiting[class]) {
			if c.priority != last.priority {
				break
			}
			if c.isFresh(now) {
				if fresh == nil || compareUrgency(c, fresh) > 0 {
					fresh = c
				}
				break
			}
		}
	}
	if fresh != nil {
		return fresh
	}
	return last
}

// isFresh reports whether a request has waited for less than holdShare of its target, or
// states no target.
func (i *item) isFresh(now time.Time) bool {
	return i.Target <= 0 || now.Before(i.holdUntil)
}

// usage is the slot time that requests of each priority use, averaged over usageTime.
type usage struct {
	used [numPriorities]float64 // nanoseconds, decayed
	at   time.Time
}

// add adds the slot time of a finished request.
func (u *usage) add(now time.Time, priority int, used time.Duration) {
	decay := u.decay(now)
	for p := range u.used {
		u.used[p] *= decay
	}
	u.at = now
	u.used[priority] += float64(used)
}

// decay returns the factor by which the recorded times have decayed since the last one.
func (u *usage) decay(now time.Time) float64 {
	if u.at.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(u.at).Seconds() / usageTime.Seconds())
}

// slots returns the mean number of slots that requests with a priority more urgent than
// the given one have used.
func (u *usage) slots(now time.Time, priority int) float64 {
	sum := 0.0
	for p := range priority {
		sum += u.used[p]
	}
	if sum == 0 {
		return 0
	}
	return sum * u.decay(now) / float64(usageTime)
}

// estimate is a moving average of service times. It halves with each second without a
// new observation, so that a wrong estimate does not make the queue refuse a team's
// requests forever.
type estimate struct {
	mean time.Duration
	last time.Time
}

// observe adds a service time to the average.
func (e *estimate) observe(now time.Time, d time.Duration) {
	if e.last.IsZero() {
		e.mean = d
	} else {
		e.mean += (d - e.mean) / 8
	}
	e.last = now
}

// at returns the average at the given time, or 0 without an observation.
func (e *estimate) at(now time.Time) time.Duration {
	if e.last.IsZero() {
		return 0
	}
	return time.Duration(float64(e.mean) * math.Exp2(-now.Sub(e.last).Seconds()))
}

package queue

// The order of requests. Statements of a team's open transactions come first. The others
// are sorted by priority, then by the time at which the operation should be done, then by
// arrival. Teams are served by deficit round robin. If the requests that could start next
// differ in priority, the more urgent one goes first among the teams with credit, and a
// team may overdraw its credit for an urgent request by overdraftTime of its share. Since
// the credit is charged all the same, a team's share differs from its fair share by that
// time at most.
//
// A priority is not starved by more urgent ones of its team: of the slot time that the team
// uses while a request of the priority waits, leastShare is owed to the priority, and once
// a statement's time is owed, its request goes next.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// numPriorities is the number of priorities that the queue distinguishes. Less urgent
	// ones are treated as the last. Deployments use three.
	numPriorities = 8
	// leastShare is the share of a team's slot time that each priority gets at least while
	// its requests wait. With numPriorities, three tenths remain for the most urgent one.
	leastShare = 0.1
	// overdraftTime bounds the slot time that a team may use before its turn for requests
	// that are more urgent than those of others, as a time of its fair share of all slots.
	// Shares are to be fair over seconds.
	overdraftTime = time.Second
	// assumedTarget is the target latency of requests that state none. It only matters
	// beside requests that state one; the targets in use are 0.4 to 1.5 s.
	assumedTarget = time.Second
	// rankInTransaction is the rank of statements of open transactions beside the
	// priorities, which start at 0.
	rankInTransaction = -1
)

// setUrgency sets the fields by which a request is ordered, from the request.
func (i *item) setUrgency(now time.Time) {
	i.priority = min(max(i.Priority, 0), numPriorities-1)
	i.due = now.Add(assumedTarget)
	if i.Target > 0 {
		i.due = now.Add(i.Target)
		i.holdUntil = now.Add(time.Duration(holdShare * float64(i.Target)))
	}
}

// compareUrgency orders two waiting requests of a team; the more urgent one is first.
func compareUrgency(a, b *item) int {
	if c := cmp.Compare(a.priority, b.priority); c != 0 {
		return c
	}
	if c := a.due.Compare(b.due); c != 0 {
		return c
	}
	return cmp.Compare(a.order, b.order)
}

// insertWaiting adds a request to the waiting ones of its team.
func (q *Queue) insertWaiting(i *item) {
	w := &i.team.waiting[i.class]
	at := len(*w)
	if i.class != classInTransaction {
		at = position(*w, i)
	}
	*w = slices.Insert(*w, at, i)
	q.activate(i.team)
	i.team.count++
	i.team.counts[i.priority]++
	q.queued++
}

// position returns the number of requests in an ordered list that come before i.
func position(list []*item, i *item) int {
	// New requests mostly belong at the end.
	if n := len(list); n == 0 || compareUrgency(list[n-1], i) < 0 {
		return n
	}
	k, _ := slices.BinarySearchFunc(list, i, compareUrgency)
	return k
}

// uncountWaiting records that a request no longer waits. A priority of which nothing waits
// is owed nothing.
func (q *Queue) uncountWaiting(i *item) {
	q.queued--
	i.team.count--
	if i.team.counts[i.priority]--; i.team.counts[i.priority] == 0 {
		i.team.owed[i.priority] = 0
	}
}

// recordOwed accounts for a request of the team that has used slot time, after the
// priority of the request was debited with the expected time.
func (t *team) recordOwed(i *item, used, service time.Duration) {
	for p, n := range t.counts {
		if n > 0 {
			t.owed[p] += time.Duration(leastShare * float64(used))
		}
	}
	// What a priority has used beyond its least share while there was nothing more urgent
	// is held against it for one statement at most.
	t.owed[i.priority] = max(t.owed[i.priority]+i.expected-used, -max(service, quantum))
	if t.counts[i.priority] == 0 {
		t.owed[i.priority] = 0
	}
}

// candidate is what a team would do with a free slot: start a request or, if item is nil,
// open a connection. rank is that of the most urgent request that could use the slot.
type candidate struct {
	team *team
	item *item
	rank int
}

// pickNext returns what to do with a free slot, and false if there is nothing to do.
func (q *Queue) pickNext(now time.Time) (candidate, bool) {
	ready := q.ready[:0]
	first, last, any := numPriorities, rankInTransaction, false // range of the priorities, without ranks
	for _, t := range q.active {
		var c candidate
		if t.count > 0 {
			c = q.nextOf(now, t)
		}
		ready = append(ready, c)
		if c.team != nil {
			any = true
			p := c.priority()
			first, last = min(first, p), max(last, p)
		}
	}
	q.ready = ready
	switch {
	case !any:
		return candidate{}, false
	case q.opts.Policy == FIFO:
		return oldest(ready), true
	}
	q.grantCredit(ready)
	if first < last {
		return q.mostUrgent(ready, last), true
	}
	turn := q.turn()
	for k := range ready {
		// The team keeps its turn while it has credit.
		if c := ready[(turn+k)%len(ready)]; c.team != nil && c.team.credit > 0 {
			q.next = c.team.index
			return c, true
		}
	}
	return candidate{}, false
}

// priority returns the priority by which a candidate is compared. A statement of an open
// transaction has that of its operation.
func (c candidate) priority() int {
	if c.rank == rankInTransaction {
		return c.item.priority
	}
	return c.rank
}

// oldest returns the candidate whose request arrived first.
func oldest(ready []candidate) candidate {
	var found candidate
	for _, c := range ready {
		if c.team != nil && (found.team == nil || c.item != nil && (found.item == nil || c.item.order < found.item.order)) {
			found = c
		}
	}
	return found
}

// mostUrgent returns the candidate with the most urgent rank among the teams that have
// credit or may overdraw it. last is the least urgent priority of all candidates, for which
// nobody overdraws. Teams whose requests are equally urgent are served by credit.
func (q *Queue) mostUrgent(ready []candidate, last int) candidate {
	weights := 0.0
	for _, c := range ready {
		if c.team != nil {
			weights += c.team.weight
		}
	}
	var found candidate
	turn := q.turn()
	for k := range ready {
		c := ready[(turn+k)%len(ready)] // equally urgent teams with credit take turns
		if c.team == nil {
			continue
		}
		credit := c.team.credit
		if credit <= 0 && (c.priority() >= last || credit <= -q.overdraft(c.team, weights, c.priority(), last)) {
			continue
		}
		if found.team == nil || c.rank < found.rank || c.rank == found.rank && c.goesBefore(found) {
			found = c
		}
	}
	return found
}

// goesBefore reports whether c goes before the equally urgent candidate d, which was found
// first. A team with credit goes before one that overdraws it, and a request that can start at
// once before a connection that has to be opened. Those that overdraw are served by credit.
func (c candidate) goesBefore(d candidate) bool {
	switch {
	case (c.team.credit > 0) != (d.team.credit > 0):
		return c.team.credit > 0
	case (c.item != nil) != (d.item != nil):
		return c.item != nil
	case c.team.credit > 0:
		return false
	}
	return float64(c.team.credit)/c.team.weight > float64(d.team.credit)/d.team.weight
}

// overdraft returns the slot time by which a team may overdraw its credit for requests of a
// priority, given the weights of all teams with work and the least urgent priority that
// waits. More urgent priorities may overdraw more, so that less urgent ones do not use up
// their overdraft.
func (q *Queue) overdraft(t *team, weights float64, priority, last int) time.Duration {
	part := float64(max(0, last-priority)) / float64(last+1)
	return time.Duration(part * float64(overdraftTime) * float64(q.opts.Slots) * t.weight / max(weights, t.weight))
}

// grantCredit adds as many rounds of credit as it takes until some team with a candidate
// has credit. Teams without a candidate repay their debt, but their credit grows to at most
// one quantum, and to 0 if they have no waiting request.
func (q *Queue) grantCredit(ready []candidate) {
	least := time.Duration(-1)
	for k, t := range q.active {
		if ready[k].team == nil {
			continue
		}
		if t.credit > 0 {
			return
		}
		if n := -t.credit/q.quantumOf(t) + 1; least < 0 || n < least {
			least = n
		}
	}
	q.rounds += least
	for k, t := range q.active {
		most := q.quantumOf(t)
		if t.count == 0 {
			most = 0
		}
		if c := t.credit + least*q.quantumOf(t); ready[k].team != nil || c <= most {
			t.credit = c
		} else {
			t.credit = max(t.credit, most)
		}
	}
}

// activate adds a team to the active ones. Until then its credit has been repaid with each
// round that others were granted.
func (q *Queue) activate(t *team) {
	if t.active {
		return
	}
	q.settle(t)
	t.active = true
	k, _ := slices.BinarySearchFunc(q.active, t.index, compareIndex)
	q.active = slices.Insert(q.active, k, t)
}

// deactivate removes the teams without work from the active ones. They keep their debt and
// lose their credit.
func (q *Queue) deactivate() {
	q.active = slices.DeleteFunc(q.active, func(t *team) bool {
		if t.count > 0 || t.running > 0 {
			return false
		}
		t.credit = min(t.credit, 0)
		if t.opening > 0 {
			return false
		}
		t.active, t.rounds = false, q.rounds
		return true
	})
}

// settle repays the debt of an inactive team for the rounds granted since it was settled.
func (q *Queue) settle(t *team) {
	if !t.active {
		t.credit = min(0, t.credit+(q.rounds-t.rounds)*q.quantumOf(t))
		t.rounds = q.rounds
	}
}

// turn returns the index in active of the team whose turn it is, or of the next one.
func (q *Queue) turn() int {
	k, _ := slices.BinarySearchFunc(q.active, q.next, compareIndex)
	return k
}

func compareIndex(t *team, index int) int { return cmp.Compare(t.index, index) }

// quantumOf is the credit that a team gets in each round.
func (q *Queue) quantumOf(t *team) time.Duration {
	if q.opts.TeamBound {
		return time.Duration(t.weight * float64(boundQuantum))
	}
	return time.Duration(t.weight * float64(quantum))
}

// nextOf returns what the team would do with a free slot, or a candidate without a team.
// Statements of open transactions come first, since finishing them frees connections. On
// the way it refuses the requests at the head of each class that cannot finish by their
// deadline.
func (q *Queue) nextOf(now time.Time, t *team) candidate {
	for class := range numClasses {
		for len(t.waiting[class]) > 0 {
			i := t.waiting[class][0]
			if i.Deadline.IsZero() || !now.Add(q.serviceOf(now, t, i.priority)).After(i.Deadline) {
				break
			}
			q.refuseRequest(now, i, ReasonDeadline)
		}
	}
	for _, i := range t.waiting[classInTransaction] {
		if i.conn.running == nil {
			return candidate{t, i, rankInTransaction}
		}
	}
	if q.paused {
		return candidate{}
	}
	first := q.firstOutside(t)
	switch {
	case first == nil:
		return candidate{}
	case q.idleFor(t, 0) != nil:
		return candidate{t, q.owedFirst(now, t, first), first.priority}
	case q.opts.TeamBound && q.mayOpenTeamBound(now, t):
		return candidate{t, nil, first.priority}
	}
	return candidate{}
}

// firstOutside returns the team's most urgent request outside transactions that may start,
// or nil.
func (q *Queue) firstOutside(t *team) *item {
	var first *item
	for class := classSingle; class < numClasses; class++ {
		if w := t.waiting[class]; len(w) > 0 && (class == classSingle || q.mayBegin(t)) && (first == nil || q.isBefore(w[0], first)) {
			first = w[0]
		}
	}
	return first
}

// isBefore reports whether a is served before b of the same team.
func (q *Queue) isBefore(a, b *item) bool {
	if q.opts.Policy == FIFO {
		return a.order < b.order
	}
	return compareUrgency(a, b) < 0
}

// owedFirst returns the first request of a less urgent priority than first's to which the
// team owes the time of a statement, else first. The least urgent one is preferred.
func (q *Queue) owedFirst(now time.Time, t *team, first *item) *item {
	if t.counts[first.priority] == t.count {
		return first
	}
	for p := numPriorities - 1; p > first.priority; p-- {
		if t.counts[p] == 0 || t.owed[p] < max(q.serviceOf(now, t, p), quantum) {
			continue
		}
		var found *item
		for class := classSingle; class < numClasses; class++ {
			w := t.waiting[class]
			k, _ := slices.BinarySearchFunc(w, p, func(i *item, p int) int { return cmp.Compare(i.priority, p) })
			if k < len(w) && w[k].priority == p && (class == classSingle || q.mayBegin(t)) && (found == nil || compareUrgency(w[k], found) < 0) {
				found = w[k]
			}
		}
		if found != nil {
			return found
		}
	}
	return first
}

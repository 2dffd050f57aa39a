package failover

// Ordered moves a group to another primary where somebody else carries the promotion
// out: an upstream is named to the platform, which makes it lead the next term with
// what its log had received. There is no fence of a majority; what replaces it:
//
//   - A commit is acknowledged only when one replica has received it. All replicas are
//     paused first, so that nothing more is acknowledged, and the one that has received
//     most is named. It then holds every acknowledged commit. A replica that does not
//     answer may be the only one that holds a commit, so its answer is waited for.
//   - Each order carries a token that rises and is never used for two decisions. The
//     platform refuses an order below the highest token that it has seen. If another
//     instance may hold an older token, the platform is shown the new one before replicas
//     are paused, and orders that it accepted before that get the time to take effect. So
//     no order of another instance takes effect between the answers to the pauses and
//     the own order.
//   - A replica whose entry disappears may be the only one that holds a commit, too. While
//     the old primary is seen to lead, which has all of them, nothing is ordered then.
//   - An order without an answer may be carried out later, so it is repeated until it is
//     answered.
//   - A replica that was paused is never told to go on, since another instance may have
//     paused it for a choice of its own. Only a promotion lets it receive again, so a
//     change that has paused a replica is carried through, even if the old primary is
//     back. To make that rare, all replicas must be reached before one is paused.
//
// Ordered is used by one goroutine at a time. It has no clock: results and Tick carry
// the time.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"burdockseam/core/wal"
)

// Times of an ordered promotion.
const (
	// holdFor bounds the wait for running transactions before a planned change. Commits
	// that run longer get an unknown outcome.
	holdFor = 700 * time.Millisecond
	// pauseValid is the age up to which an answer to a pause counts. A replica that
	// restarts receives again, so that old answers prove nothing.
	pauseValid = 2 * time.Second
	// listFor bounds the wait for the store before the order. Without the store's
	// answer the upstreams known so far count.
	listFor = 400 * time.Millisecond
	// commandEvery is the time after which an unanswered command is repeated. It is
	// above the time limit of one command.
	commandEvery = 450 * time.Millisecond
	// retryEvery is the time between two attempts that were answered with an error.
	retryEvery = 150 * time.Millisecond
	// redrawPause is the time between the news of another instance's newer token and the own
	// next draw. Two instances that both act for a while outdate each other's tokens, and
	// agree on one of them within about a second.
	redrawPause = time.Second
	// drawAfter is the time for which an instance must have acted for a group before it
	// draws a token in advance. An instance that starts sees only itself until it has read
	// the table of instances again, and would draw for every group of the fleet.
	drawAfter = time.Second
	// raiseIdle is the time between the first two attempts to show a token while no change is
	// under way. It doubles up to raiseIdleMost: the platform answers a few calls a second
	// from the whole fleet, and orders must not be refused for the sake of these.
	raiseIdle     = 3 * time.Second
	raiseIdleMost = time.Minute
	// aliveFor is the time for which the old primary counts as leading after it was seen to.
	// It is above the time between two looks at it that fail and are repeated.
	aliveFor = 1500 * time.Millisecond
	// goneFor bounds the wait for a replica whose entry disappeared. One that starts again is
	// back within seconds; without one the group acknowledges nothing.
	goneFor = 8 * time.Second
	// effectWait is the time within which an accepted order takes effect. Promotions take
	// up to a second.
	effectWait = 1200 * time.Millisecond
	// duelPause bounds the random time by which an instance lets another one go first whose
	// order has made its own refused. It is a few times effectWait, so that one of two
	// that order against each other gets through.
	duelPause = 4 * time.Second
	// settle is the time after a change in which no other one begins. It is above
	// effectWait, since the own order must have taken effect before replicas are paused
	// again (NO_SETTLE in spec/ordered.pml).
	settle = 1500 * time.Millisecond
)

// replica is what is known about a candidate.
type replica struct {
	Candidate
	standing Standing
	at       time.Time // when the pause was sent that was answered; zero without one
	reached  time.Time // when the survey was sent that was answered; zero without one
	next     time.Time // first time for another command
}

// Ordered moves one group to another primary.
type Ordered struct {
	primary  string
	term     uint64 // highest seen
	replicas []*replica
	gone     []string  // replicas whose entries disappeared during the change
	goneAt   time.Time // when the first of them was noticed
	alive    time.Time // when the old primary was last seen to lead
	phase    Phase
	since    time.Time // start of the phase
	next     time.Time // first time for another command of the phase
	draw     time.Time // first time for another draw
	advance  time.Time // first time for a draw without a change under way
	token    uint64    // drawn and unused, or in use
	newest   uint64    // the last token that was drawn here
	rival    bool      // another instance may hold an older token that the platform accepts
	refused  bool      // the last order was refused
	random   *rand.Rand
	raise    time.Time     // first time for another raise
	rest     time.Duration // between two raises while no change is under way
	raised   time.Time     // when the platform had seen the token; zero if it has not
	planned  bool
	held     string // the upstream whose new work is stopped
	target   string
	kept     wal.Position // what the target had received when it was chosen
	done     time.Time
	reason   string
}

// NewOrdered returns an Ordered for a group about which nothing is known. The seed is for
// the times by which it lets others go first.
func NewOrdered(seed uint64) *Ordered {
	return &Ordered{phase: PhaseIdle, random: rand.New(rand.NewPCG(seed, 0))}
}

// Phase returns what it is doing.
func (c *Ordered) Phase() Phase { return c.phase }

// Reason returns why the present change was begun.
func (c *Ordered) Reason() string { return c.reason }

// Target returns the upstream that is to lead.
func (c *Ordered) Target() string { return c.target }

// Kept returns the position up to which the promotion of the target keeps the old primary's
// commits. Later ones were not acknowledged when the replicas were paused, but a replica
// that has started since is not paused and may acknowledge them.
func (c *Ordered) Kept() wal.Position { return c.kept }

// Drawn reports whether a token is at hand.
func (c *Ordered) Drawn() bool { return c.token > 0 }

// Members sets the group's upstreams and the highest term seen. What is known about
// those that stay is kept.
func (c *Ordered) Members(primary string, term uint64, list []Candidate) {
	c.term = max(c.term, term)
	if c.phase == PhaseIdle {
		c.primary = primary
		c.gone = nil
	}
	for _, r := range c.others() {
		if !slices.ContainsFunc(list, func(m Candidate) bool { return m.Upstream == r.Upstream }) {
			c.gone = append(c.gone, r.Upstream)
		}
	}
	replicas := make([]*replica, 0, len(list))
	for _, m := range list {
		r := &replica{}
		if i := slices.IndexFunc(c.replicas, func(o *replica) bool { return o.Upstream == m.Upstream }); i >= 0 {
			r = c.replicas[i]
		}
		r.Candidate = m
		replicas = append(replicas, r)
	}
	c.replicas = replicas
	// One that is back answers for itself.
	c.gone = slices.DeleteFunc(c.gone, func(name string) bool { return c.find(name) != nil })
}

// Start begins a change of the primary, unless one is under way or just over.
func (c *Ordered) Start(now time.Time, planned bool, reason string) bool {
	if c.phase != PhaseIdle || now.Sub(c.done) < settle || len(c.replicas) < 2 || planned && !c.movable() {
		return false
	}
	c.planned, c.reason, c.target, c.refused = planned, reason, "", false
	c.raise = now
	c.enter(now, PhaseSurvey)
	return true
}

// movable reports whether a planned change has somebody to go to.
func (c *Ordered) movable() bool {
	return slices.ContainsFunc(c.replicas, func(r *replica) bool { return !r.Unfit && r.Upstream != c.primary })
}

// enter begins a phase. What replicas said before does not count in it.
func (c *Ordered) enter(now time.Time, p Phase) {
	if p == PhaseSurvey || p == PhasePause {
		for _, r := range c.replicas {
			r.at, r.reached, r.next = time.Time{}, time.Time{}, time.Time{}
		}
	}
	c.phase, c.since, c.next = p, now, now
}

// Alive takes in that an upstream was seen to lead.
func (c *Ordered) Alive(now time.Time, primary string) {
	if primary == c.primary {
		c.alive = now
	}
}

// blocked reports whether nothing may be ordered, since the old primary leads and may be
// the only one left that holds a commit. A planned change goes on: new work at the old
// primary has ended before the pauses, and it must leave in time.
func (c *Ordered) blocked(now time.Time) bool {
	if len(c.gone) == 0 {
		c.goneAt = time.Time{}
		return false
	}
	if c.goneAt.IsZero() {
		c.goneAt = now
	}
	return !c.planned && now.Sub(c.goneAt) < goneFor && now.Sub(c.alive) < aliveFor
}

// Recovered takes in that an upstream was proven to lead, or was promoted by another
// instance. A change that has paused no replica yet is given up.
func (c *Ordered) Recovered(now time.Time, primary string) {
	switch {
	case c.phase == PhaseSurvey && (!c.planned || primary != c.primary):
		c.primary = primary
		c.enter(now, PhaseIdle)
	case (c.phase == PhasePause || c.phase == PhaseList) && primary != c.primary:
		// Its promotion has ended the pauses.
		c.primary = primary
		c.enter(now, PhasePause)
	}
}

// Acts takes in that this instance begins to act for the group.
func (c *Ordered) Acts(now time.Time) { c.advance = now.Add(drawAfter) }

// Abandon gives up a change for an instance that does not act for the group any more,
// unless it has paused a replica. If its order was refused, another instance has ordered
// and carries that through, so that the change is given up then, too.
func (c *Ordered) Abandon(now time.Time) []Command {
	switch {
	case c.phase == PhaseSurvey:
		c.enter(now, PhaseIdle)
	case c.phase == PhasePause && c.refused:
		c.enter(now, PhaseIdle)
		return c.free()
	}
	return nil
}

// Tick returns the commands that are due.
func (c *Ordered) Tick(now time.Time) []Command {
	var out []Command
	if c.token == 0 && !now.Before(c.draw) && (c.phase != PhaseIdle || !now.Before(c.advance)) {
		c.draw = now.Add(commandEvery)
		out = append(out, Command{Action: ActionDraw})
	}
	if c.token > 0 && c.rival && c.raised.IsZero() && !now.Before(c.raise) {
		c.raise = now.Add(commandEvery)
		if c.phase == PhaseIdle {
			c.rest = min(max(raiseIdle, 2*c.rest), raiseIdleMost)
			c.raise = now.Add(c.rest)
		}
		out = append(out, Command{Action: ActionRaise, Token: c.token})
	}
	switch c.phase {
	case PhaseSurvey:
		out = append(out, c.survey(now)...)
	case PhaseHold:
		if now.Sub(c.since) >= holdFor {
			c.enter(now, PhasePause)
			break
		}
		if !now.Before(c.next) {
			c.next = now.Add(retryEvery / 3)
			out = append(out, Command{Action: ActionHold, Upstream: c.held})
		}
	case PhasePause:
		out = append(out, c.pause(now)...)
	case PhaseList:
		if now.Sub(c.since) >= listFor {
			c.choose(now)
		}
	case PhaseOrder:
		out = append(out, c.order(now)...)
	}
	return out
}

// survey asks all replicas whether they lead. A planned change is given up if one does
// not answer in time, since the old primary still works.
func (c *Ordered) survey(now time.Time) []Command {
	var out []Command
	all := len(c.others()) > 0
	for _, r := range c.others() {
		if !r.reached.IsZero() && now.Sub(r.reached) < pauseValid {
			continue
		}
		all = false
		if !now.Before(r.next) {
			r.next = now.Add(commandEvery)
			out = append(out, Command{Action: ActionSurvey, Upstream: r.Upstream})
		}
	}
	switch {
	case all && c.clear(now) && c.planned:
		c.held = c.primary
		c.enter(now, PhaseHold)
	case all && c.clear(now):
		c.enter(now, PhasePause)
	case c.planned && now.Sub(c.since) >= pauseValid:
		c.enter(now, PhaseIdle)
	}
	return out
}

// Surveyed takes in whether a replica that was asked at the given time answered, and
// whether it leads.
func (c *Ordered) Surveyed(now, sent time.Time, upstream string, leads bool, err error) {
	r := c.find(upstream)
	switch {
	case r == nil || c.phase != PhaseSurvey:
	case err != nil:
		r.next = now.Add(retryEvery)
	case leads:
		c.Recovered(now, upstream)
	default:
		r.reached = sent
	}
}

// others returns the replicas that must have paused: all but the old primary.
func (c *Ordered) others() []*replica {
	var list []*replica
	for _, r := range c.replicas {
		if r.Upstream != c.primary {
			list = append(list, r)
		}
	}
	return list
}

func (c *Ordered) pause(now time.Time) []Command {
	if !c.clear(now) {
		return nil // an order of another instance may still end the pauses
	}
	if c.blocked(now) {
		return nil
	}
	var out []Command
	all := true
	for _, r := range c.others() {
		if !r.at.IsZero() && now.Sub(r.at) < pauseValid {
			continue
		}
		all = false
		if !now.Before(r.next) {
			r.next = now.Add(commandEvery)
			out = append(out, Command{Action: ActionPause, Upstream: r.Upstream, Term: c.term + 1})
		}
	}
	if all && len(c.others()) > 0 {
		c.enter(now, PhaseList)
		out = append(out, Command{Action: ActionList})
	}
	return out
}

// clear reports whether a token is at hand and no order with an older one can take effect
// any more.
func (c *Ordered) clear(now time.Time) bool {
	return c.token > 0 && (!c.rival || !c.raised.IsZero() && now.Sub(c.raised) >= effectWait)
}

func (c *Ordered) order(now time.Time) []Command {
	if now.Before(c.next) {
		return nil
	}
	c.next = now.Add(commandEvery)
	return []Command{{Action: ActionOrder, Upstream: c.target, Token: c.token}}
}

// finish ends the change.
func (c *Ordered) finish(now time.Time) []Command {
	c.enter(now, PhaseIdle)
	c.token, c.draw = 0, now
	return c.free()
}

// free lets the old primary go on if it was stopped.
func (c *Ordered) free() []Command {
	if c.held == "" {
		return nil
	}
	held := c.held
	c.held = ""
	return []Command{{Action: ActionFree, Upstream: held}}
}

// Drew takes in a token from the store and the one that was drawn before it, or 0. If
// that was not drawn here, another instance may hold it.
func (c *Ordered) Drew(now time.Time, token, before uint64) {
	if c.token != 0 {
		return
	}
	c.rival = before != 0 && before != c.newest
	c.token, c.newest, c.raise, c.raised, c.rest = token, token, now, time.Time{}, 0
	if c.rival && c.refused {
		c.raise = now.Add(time.Duration(c.random.Int64N(int64(duelPause))))
	}
}

// Outdated takes in that another instance has drawn a newer token, which the platform may
// have seen. An older one that is not in use is given up, so that another is drawn while
// the store still answers.
func (c *Ordered) Outdated(now time.Time, token uint64) {
	if c.phase == PhaseIdle && c.token > 0 && token > c.token {
		c.token, c.advance = 0, now.Add(redrawPause)
	}
}

// Raised takes in that the platform has seen a token or a higher one.
func (c *Ordered) Raised(now time.Time, token uint64) {
	if token == c.token && c.raised.IsZero() {
		c.raised = now
	}
}

// Held takes in the number of statements and transactions that still run at the old
// primary.
func (c *Ordered) Held(now time.Time, running int) {
	if c.phase == PhaseHold && running == 0 {
		c.enter(now, PhasePause)
	}
}

// Paused takes in a replica's answer to a pause that was sent at the given time.
func (c *Ordered) Paused(now, sent time.Time, upstream string, s Standing, err error) {
	r := c.find(upstream)
	if r == nil || c.phase != PhasePause {
		return
	}
	if err != nil {
		r.next = now.Add(retryEvery)
		return
	}
	c.term = max(c.term, s.Term)
	if s.Primary {
		// Another instance has promoted it, which has ended the pauses. The replicas are
		// paused anew: some may be paused still, and only a promotion ends that.
		c.primary = upstream
		c.enter(now, PhasePause)
		return
	}
	r.standing, r.at = s, sent
}

// Listed takes in that Members has the store's present list, or that the store gave no
// answer. A replica that was not known must pause, too.
func (c *Ordered) Listed(now time.Time) {
	if c.phase == PhaseList {
		c.choose(now)
	}
}

// choose names the replica that has received most.
func (c *Ordered) choose(now time.Time) {
	list := c.others()
	if c.blocked(now) || len(list) == 0 {
		c.enter(now, PhasePause)
		return
	}
	var best, holder *replica
	for _, r := range list {
		if r.at.IsZero() || now.Sub(r.at) >= pauseValid {
			c.enter(now, PhasePause)
			return
		}
		if holder == nil || r.standing.Received.Compare(holder.standing.Received) > 0 {
			holder = r
		}
	}
	for _, r := range list {
		if r.standing.Received != holder.standing.Received {
			continue
		}
		if best == nil || rank(r) < rank(best) || rank(r) == rank(best) && cmp.Compare(r.Distance, best.Distance) < 0 {
			best = r
		}
	}
	c.target, c.kept = best.Upstream, best.standing.Received
	c.enter(now, PhaseOrder)
}

func rank(r *replica) int {
	if r.Unfit {
		return 1
	}
	return 0
}

// Answered takes in the platform's answer to an order. It returns the upstream that now
// leads, if the order was carried out.
func (c *Ordered) Answered(now time.Time, cmd Command, v Response) (leader string, out []Command) {
	if cmd.Token != c.token || c.phase != PhaseOrder {
		return "", nil
	}
	switch v {
	case ResponseUnknown:
		c.next = now.Add(retryEvery)
	case ResponseRefused:
		// A refused token is never used again. The replicas are looked at anew, since the
		// chosen one may have ended, or another instance may have promoted one.
		c.token, c.draw, c.refused = 0, now, true
		c.enter(now, PhasePause)
	case ResponseDone:
		c.primary, c.done = c.target, now
		return c.target, c.finish(now)
	}
	return "", nil
}

func (c *Ordered) find(upstream string) *replica {
	for _, r := range c.replicas {
		if r.Upstream == upstream {
			return r
		}
	}
	return nil
}

// Coordinator is the state machine that moves one group to a new term.
//
// The recorded group in the store is authoritative. Every step only compares what is
// recorded and what upstreams report with the wanted state, so a step can be repeated by
// the same or by any other coordinator. Two active coordinators at once are harmless:
// claim and record are conditional updates, each claim has a term of its own, and fence,
// promote and follow carry the term. SetActive only avoids useless work.

package failover

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"burdockseam/core/wal"
)

// Step is the state of a Coordinator.
type Step string

// The steps, in their order. Drain and catchup belong to a switchover only.
const (
	StepIdle    Step = "idle"
	StepDrain   Step = "drain"   // wait until the primary has no running write
	StepCatchup Step = "catchup" // wait until the target holds the primary's log
	StepClaim   Step = "claim"   // claim a new term by a conditional update
	StepFence   Step = "fence"   // fence a majority and read its positions
	StepRecord  Step = "record"  // record the chosen primary by a conditional update
	StepPromote Step = "promote" // promote the recorded primary and wait until it works
)

// Options configures a Coordinator.
type Options struct {
	// Self is the address of the instance. Incarnation makes its operation ids unique across
	// restarts.
	Self, Incarnation string
	Timing            Timing
	// Seed is the seed of the jitter of retries.
	Seed uint64
}

// attempt is one try to move the group to a new term.
type attempt struct {
	term          uint64
	op            string    // operation id, by which the claim is recognised
	planned       bool      // the attempt is a switchover
	target        string    // preferred among upstreams with equal positions; "" in a failover
	deadline      time.Time // of the current step of a switchover
	drainID       string    // id of the drain by which a gateway holds writes, or ""
	drained       string    // upstream whose gateway holds writes
	drainedOffset uint64    // last offset of the primary, after the drain
	record        Group     // value of the group object to record
}

// upstreamState is what the coordinator knows about one upstream.
type upstreamState struct {
	Member
	status Status
	sentAt time.Time // when the request was sent that status answers
	known  bool
	retry  retry
}

// retry spaces repeated requests. The zero value is due at once.
type retry struct {
	next time.Time
	wait time.Duration
}

// Coordinator drives the promotions of one group. Its zero value is not usable.
type Coordinator struct {
	options         Options
	rand            *rand.Rand
	active          bool
	upstreams       []upstreamState
	group           Group
	version         uint64
	groupKnown      bool      // group and version come from the store
	claimSeen       time.Time // when the present claim was first seen
	highestFenced   uint64    // highest fenced term that any upstream has reported
	step            Step
	attempt         attempt
	opCount         uint64 // number of operation ids that were used
	storeRetry      retry
	mustRead        bool    // the group object has to be read before the next conditional update
	release         Request // repeated until it is answered; its Kind is "" if there is none
	releaseRetry    retry
	nextSwitchover  time.Time // earliest start of the next automatic switchover
	ineligibleSince time.Time // since when the primary is not eligible; zero if it is
	announcedTerm   uint64    // newest term that this coordinator has announced
	requests        []Request // requests that the next dueRequests returns
}

// Active reports whether this instance is the group's coordinator, as last set by SetActive.
func (c *Coordinator) Active() bool { return c.active }

// NewCoordinator returns a Coordinator that is idle and not active.
func NewCoordinator(opt Options) *Coordinator {
	return &Coordinator{options: opt, rand: rand.New(rand.NewPCG(opt.Seed, 0)), step: StepIdle, mustRead: true}
}

// Group returns the newest known recorded group and its version, and false before the first
// answer of the store.
func (c *Coordinator) Group() (Group, uint64, bool) { return c.group, c.version, c.groupKnown }

// Step returns the current step and the term that the attempt is to start.
func (c *Coordinator) Step() (Step, uint64) { return c.step, c.attempt.term }

// SetMembers sets the group's upstreams. AckTracker.SetGroup limits how the set may change.
func (c *Coordinator) SetMembers(members []Member) {
	upstreams := make([]upstreamState, 0, len(members))
	for _, m := range members {
		u := upstreamState{Member: m}
		if old := c.upstream(m.Name); old != nil {
			u = *old
			u.Member = m
		}
		upstreams = append(upstreams, u)
	}
	c.upstreams = upstreams
}

// SetActive sets whether the placement makes this instance the group's coordinator. When the
// instance stops being the coordinator, its attempt is dropped; the next coordinator repeats
// the attempt.
func (c *Coordinator) SetActive(now time.Time, active bool) []Request {
	c.active = active
	if !active && c.step != StepIdle {
		c.abandonAttempt()
	}
	return c.dueRequests(now)
}

// Tick starts a promotion if the verdict asks for it, and returns the requests that are due.
func (c *Coordinator) Tick(now time.Time, v Verdict) []Request {
	if c.active && c.groupKnown && len(c.upstreams) > 0 {
		c.startAttempt(now, v)
	}
	if c.step == StepClaim && !c.attempt.planned && !v.Start {
		// The suspicion ended before the claim was confirmed, for instance during an outage of
		// the store. Nothing was fenced yet, so nothing has to be finished.
		c.abandonAttempt()
	}
	if c.step == StepFence {
		c.choosePrimary(now)
	}
	return c.dueRequests(now)
}

// startAttempt begins a failover if the verdict asks for it, or an automatic switchover if
// there is a reason for it.
func (c *Coordinator) startAttempt(now time.Time, v Verdict) {
	switch c.step {
	case StepIdle, StepPromote, StepDrain, StepCatchup:
	default:
		return
	}
	if v.Start && !c.claimedByRival(now) {
		c.beginClaim(now, attempt{drainID: c.attempt.drainID, drained: c.attempt.drained})
		return
	}
	if c.step != StepIdle || v.Reason != ReasonHealthy || now.Before(c.nextSwitchover) {
		return
	}
	if target := c.automaticTarget(now); target != "" {
		c.nextSwitchover = now.Add(c.options.Timing.Hysteresis)
		_ = c.StartSwitchover(now, target)
	}
}

// claimedByRival reports whether another coordinator has claimed a term so recently that it
// may still finish its promotion.
func (c *Coordinator) claimedByRival(now time.Time) bool {
	return c.group.Claim.Term > c.group.Term && c.group.Claim.By != c.options.Self &&
		now.Sub(c.claimSeen) < c.options.Timing.RivalTimeout
}

// beginClaim begins to claim the next term for an attempt.
func (c *Coordinator) beginClaim(now time.Time, a attempt) {
	a.term = max(c.group.Term, c.group.Claim.Term, c.highestFenced) + 1
	a.op = c.nextOp()
	a.deadline = now.Add(c.options.Timing.ClaimTimeout)
	c.attempt = a
	c.enterStep(StepClaim)
	c.mustRead = false
}

// nextOp returns a new operation id.
func (c *Coordinator) nextOp() string {
	c.opCount++
	return fmt.Sprintf("%s-%d", c.options.Incarnation, c.opCount)
}

// enterStep moves to a step. All requests of the step are due at once.
func (c *Coordinator) enterStep(s Step) {
	c.step, c.storeRetry = s, retry{}
	for i := range c.upstreams {
		c.upstreams[i].retry = retry{}
	}
}

// abandonAttempt drops the attempt. What the attempt has changed needs no undoing, except that
// a gateway which holds writes is told to release them.
func (c *Coordinator) abandonAttempt() {
	if c.attempt.drainID != "" {
		c.release, c.releaseRetry = Request{ID: c.attempt.drainID, Kind: KindRelease, Upstream: c.attempt.drained}, retry{}
	}
	c.attempt = attempt{}
	c.enterStep(StepIdle)
}

// HandleStore takes an answer of the store, or a change of the group object that a watch has
// seen.
func (c *Coordinator) HandleStore(now time.Time, r StoreResult) []Request {
	switch {
	case r.Kind == KindPut && r.ID != c.putID():
		// The answer belongs to a step that has ended. What the update changed shows in the
		// group object.
	case r.Failure == FailureConflict:
		c.mustRead, c.storeRetry = true, retry{}
	case r.Failure != FailureNone:
		c.mustRead = true
	case r.Kind == KindPut:
		c.adoptGroup(now, c.groupToPut(), r.Version)
	default:
		c.adoptGroup(now, r.Group, r.Version)
	}
	return c.dueRequests(now)
}

// adoptGroup adopts a newer group object and advances the attempt, or abandons it if another
// coordinator has overtaken it.
func (c *Coordinator) adoptGroup(now time.Time, g Group, version uint64) {
	if c.groupKnown && version <= c.version {
		if version == c.version && c.mustRead {
			c.mustRead, c.storeRetry = false, retry{}
		}
		return
	}
	if g.Claim != c.group.Claim {
		c.claimSeen = now
	}
	if g.Term > c.group.Term {
		c.release = Request{} // the gateway learns of the newer term and ends the drain
	}
	c.group, c.version, c.groupKnown, c.mustRead = g, version, true, false
	own := c.attempt.op != "" && g.Claim.Op == c.attempt.op
	switch c.step {
	case StepClaim:
		if !own {
			c.abandonAttempt()
			return
		}
		c.attempt.deadline = now.Add(c.options.Timing.SuspectAfter)
		c.enterStep(StepFence)
	case StepRecord:
		if !own || g.Term != c.attempt.term {
			c.abandonAttempt()
			return
		}
		c.enterStep(StepPromote)
	case StepDrain, StepCatchup, StepFence, StepPromote:
		if !own {
			c.abandonAttempt()
		}
	}
}

// HandleUpstream takes an answer of an upstream or of its gateway.
func (c *Coordinator) HandleUpstream(now time.Time, r UpstreamResult) []Request {
	u := c.upstream(r.Upstream)
	if u == nil || !r.hasStatus() {
		return c.dueRequests(now)
	}
	if r.Kind == KindRelease {
		if r.ID == c.release.ID {
			c.release = Request{}
		}
		return c.dueRequests(now)
	}
	// Neither the fenced term nor, within one fenced term, the position ever decreases, so a
	// lower status belongs to an answer that arrived late.
	if n := compareStatus(r.Status, u.status); !u.known || n > 0 || n == 0 && !r.Begun.Before(u.sentAt) {
		u.status = r.Status
	}
	if !u.known || r.Begun.After(u.sentAt) {
		u.sentAt, u.known = r.Begun, true
	}
	c.highestFenced = max(c.highestFenced, r.Status.Fenced)
	switch c.step {
	case StepDrain:
		if r.ID == c.attempt.drainID && r.Upstream == c.group.Primary && r.Status.Serves(c.group.Term) {
			c.attempt.drainedOffset, c.attempt.deadline = r.Status.Position.Offset, now.Add(c.options.Timing.SwitchoverTimeout)
			c.enterStep(StepCatchup)
			c.claimIfCaughtUp(now)
		}
	case StepCatchup:
		c.claimIfCaughtUp(now)
	case StepFence:
		c.choosePrimary(now)
	case StepPromote:
		c.finishIfServing()
	}
	return c.dueRequests(now)
}

// choosePrimary chooses the upstream with the highest position once a majority is fenced. A
// switchover gives its target some more time to be in that majority.
func (c *Coordinator) choosePrimary(now time.Time) {
	var best *upstreamState
	fenced, targetReady := 0, !c.attempt.planned || now.After(c.attempt.deadline)
	for i := range c.upstreams {
		u := &c.upstreams[i]
		switch {
		case !u.known || u.status.Fenced < c.attempt.term:
			continue
		case u.status.Fenced > c.attempt.term, u.status.Position.Term >= c.attempt.term:
			// Another coordinator uses this term or a higher one without a record.
			c.abandonAttempt()
			return
		}
		fenced++
		targetReady = targetReady || u.Name == c.attempt.target
		if best == nil || c.preferred(u, best) {
			best = u
		}
	}
	if fenced < majority(len(c.upstreams)) || !targetReady {
		return
	}
	c.attempt.record = c.group.WithPrimary(best.Name, best.status.Position)
	c.enterStep(StepRecord)
}

// preferred reports whether a is a better primary than b. The higher position decides; the
// rest breaks ties. The old primary comes last among eligible upstreams, because something was
// wrong with it.
func (c *Coordinator) preferred(a, b *upstreamState) bool {
	if n := a.status.Position.Compare(b.status.Position); n != 0 {
		return n > 0
	}
	rank := func(u *upstreamState) int {
		switch {
		case u.Name == c.attempt.target:
			return 0
		case u.Eligible && u.Name != c.group.Primary:
			return 1
		case u.Eligible:
			return 2
		}
		return 3
	}
	return rank(a) < rank(b)
}

// finishIfServing ends the attempt once the recorded primary works, and announces the new
// term.
func (c *Coordinator) finishIfServing() {
	if u := c.upstream(c.group.Primary); u == nil || !u.known || !u.status.Serves(c.group.Term) {
		return
	}
	if c.announcedTerm < c.group.Term {
		c.announcedTerm = c.group.Term
		c.requests = append(c.requests, Request{Kind: KindAnnounce, Group: c.group, Version: c.version})
	}
	c.attempt = attempt{}
	c.enterStep(StepIdle)
}

// compareStatus compares two statuses of one upstream. The higher status is the newer one.
func compareStatus(a, b Status) int {
	if n := cmp.Compare(a.Fenced, b.Fenced); n != 0 {
		return n
	}
	return a.Position.Compare(b.Position)
}

// discardedEntries returns the number of log entries up to p that are not in the group's
// history, so that the upstream drops them when it follows.
func discardedEntries(h wal.History, p wal.Position) uint64 {
	return p.Offset - h.Clamp(p).Offset
}

// upstream returns the state of an upstream, or nil if it is not in the group.
func (c *Coordinator) upstream(name string) *upstreamState {
	i := slices.IndexFunc(c.upstreams, func(u upstreamState) bool { return u.Name == name })
	if i < 0 {
		return nil
	}
	return &c.upstreams[i]
}

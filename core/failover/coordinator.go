// Coordinator is the state machine that moves one group to a new term.
//
// The recorded group is the truth; every step only compares what is recorded and
// what upstreams report with what should be, so a step can be repeated by the same
// or by any other coordinator. Two coordinators at once are harmless: claim and
// record are conditional updates, each claim has a term of its own, and fence,
// promote and follow carry the term. Lead only avoids useless work.

package failover

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"burdockseam/core/wal"
)

// Step says what a coordinator is doing.
type Step string

// The steps, in their order. Drain and catchup belong to a planned switch only.
const (
	StepIdle    Step = "idle"
	StepDrain   Step = "drain"   // wait until the primary has no running write
	StepCatchup Step = "catchup" // wait until the target holds the primary's log
	StepClaim   Step = "claim"   // conditional update that claims a new term
	StepFence   Step = "fence"   // fence a majority and read its positions
	StepRecord  Step = "record"  // conditional update that records the choice
	StepPromote Step = "promote" // wait until the recorded primary works
)

// Options configure a Coordinator.
type Options struct {
	// Self is the instance. Incarnation makes its operation ids unique over restarts.
	Self, Incarnation string
	Timing            Timing
	// Seed is for the jitter of retries.
	Seed uint64
}

// attempt is one try to start a new term.
type attempt struct {
	term    uint64
	op      string
	planned bool
	target  string    // preferred among upstreams with equal positions
	limit   time.Time // of the current step of a planned switch
	drain   string    // id of the drain by which a gateway holds writes, or ""
	held    string    // the upstream whose gateway holds writes
	offset  uint64    // the primary's last offset, after the drain
	record  Group     // the value to record
}

// row is what the coordinator knows about one upstream.
type row struct {
	Member
	status Status
	begun  time.Time // start of the request that status answers
	known  bool
	retry  retry
}

// retry spaces repeated requests. The zero retry is due.
type retry struct {
	next time.Time
	wait time.Duration
}

// Coordinator drives one group. Its zero value is not usable.
type Coordinator struct {
	opt     Options
	rand    *rand.Rand
	lead    bool
	rows    []row
	group   Group
	version uint64
	known   bool // group and version come from the store
	claimed time.Time
	highest uint64 // highest fenced term that any upstream has reported
	step    Step
	try     attempt
	ops     uint64
	store   retry
	read    bool    // the object has to be read before the next conditional update
	release Request // to be repeated until it is answered; its Kind is "" if there is none
	relent  retry
	planned time.Time // earliest start of the next planned switch that nobody asked for
	unfit   time.Time // since when the primary is not eligible; zero if it is
	told    uint64    // newest announced term
	out     []Request
}

// Leads reports what Lead was last told.
func (c *Coordinator) Leads() bool { return c.lead }

// NewCoordinator returns an idle coordinator that does not lead.
func NewCoordinator(opt Options) *Coordinator {
	return &Coordinator{opt: opt, rand: rand.New(rand.NewPCG(opt.Seed, 0)), step: StepIdle, read: true}
}

// Group returns the newest known recorded group and its version, and false before
// the first answer of the store.
func (c *Coordinator) Group() (Group, uint64, bool) { return c.group, c.version, c.known }

// Step returns the current step and the term that it is for.
func (c *Coordinator) Step() (Step, uint64) { return c.step, c.try.term }

// Members sets the group's upstreams. See Acks.Group about changes of the set.
func (c *Coordinator) Members(members []Member) {
	rows := make([]row, 0, len(members))
	for _, m := range members {
		r := row{Member: m}
		if old := c.row(m.Name); old != nil {
			r = *old
			r.Member = m
		}
		rows = append(rows, r)
	}
	c.rows = rows
}

// Lead says whether this instance is the group's coordinator by the placement. One
// that no longer leads drops its attempt, which its successor repeats.
func (c *Coordinator) Lead(now time.Time, lead bool) []Request {
	c.lead = lead
	if !lead && c.step != StepIdle {
		c.abandon()
	}
	return c.run(now)
}

// Tick starts a promotion if the verdict asks for it, and returns the requests that
// are due.
func (c *Coordinator) Tick(now time.Time, v Verdict) []Request {
	if c.lead && c.known && len(c.rows) > 0 {
		c.start(now, v)
	}
	if c.step == StepClaim && !c.try.planned && !v.Start {
		// The suspicion ended before the claim was confirmed, for instance during an
		// outage of the store. Nothing was fenced yet, so nothing has to be finished.
		c.abandon()
	}
	if c.step == StepFence {
		c.choose(now)
	}
	return c.run(now)
}

// start begins an attempt if there is a reason for it.
func (c *Coordinator) start(now time.Time, v Verdict) {
	switch c.step {
	case StepIdle, StepPromote, StepDrain, StepCatchup:
	default:
		return
	}
	if v.Start && !c.claimedByRival(now) {
		c.begin(now, attempt{drain: c.try.drain, held: c.try.held})
		return
	}
	if c.step != StepIdle || v.Reason != ReasonHealthy || now.Before(c.planned) {
		return
	}
	if target := c.switchTarget(now); target != "" {
		c.planned = now.Add(c.opt.Timing.Hysteresis)
		_ = c.Switch(now, target)
	}
}

// claimedByRival reports whether another coordinator has begun a promotion so
// recently that it may still finish it.
func (c *Coordinator) claimedByRival(now time.Time) bool {
	return c.group.Claim.Term > c.group.Term && c.group.Claim.By != c.opt.Self &&
		now.Sub(c.claimed) < c.opt.Timing.Patience
}

// begin enters StepClaim.
func (c *Coordinator) begin(now time.Time, a attempt) {
	a.term = max(c.group.Term, c.group.Claim.Term, c.highest) + 1
	a.op = c.nextOp()
	a.limit = now.Add(c.opt.Timing.Claim)
	c.try = a
	c.enter(StepClaim)
	c.read = false
}

func (c *Coordinator) nextOp() string {
	c.ops++
	return fmt.Sprintf("%s-%d", c.opt.Incarnation, c.ops)
}

// enter moves to a step, all of whose requests are due at once.
func (c *Coordinator) enter(s Step) {
	c.step, c.store = s, retry{}
	for i := range c.rows {
		c.rows[i].retry = retry{}
	}
}

// abandon drops the attempt. What it changed so far needs no undoing, except that a
// gateway which holds writes is told to go on.
func (c *Coordinator) abandon() {
	if c.try.drain != "" {
		c.release, c.relent = Request{ID: c.try.drain, Kind: KindRelease, Upstream: c.try.held}, retry{}
	}
	c.try = attempt{}
	c.enter(StepIdle)
}

// Store takes an answer of the store or a change seen by a watch.
func (c *Coordinator) Store(now time.Time, r StoreResult) []Request {
	switch {
	case r.Kind == KindPut && r.ID != c.putID():
		// The answer belongs to a step that has ended; what it changed shows in the object.
	case r.Failure == FailureConflict:
		c.read, c.store = true, retry{}
	case r.Failure != FailureNone:
		c.read = true
	case r.Kind == KindPut:
		c.observe(now, c.putGroup(), r.Version)
	default:
		c.observe(now, r.Group, r.Version)
	}
	return c.run(now)
}

// observe adopts a newer group object and decides what it means for the attempt.
func (c *Coordinator) observe(now time.Time, g Group, version uint64) {
	if c.known && version <= c.version {
		if version == c.version && c.read {
			c.read, c.store = false, retry{}
		}
		return
	}
	if g.Claim != c.group.Claim {
		c.claimed = now
	}
	if g.Term > c.group.Term {
		c.release = Request{} // the gateway learns of the newer term and ends the drain
	}
	c.group, c.version, c.known, c.read = g, version, true, false
	own := c.try.op != "" && g.Claim.Op == c.try.op
	switch c.step {
	case StepClaim:
		if !own {
			c.abandon()
			return
		}
		c.try.limit = now.Add(c.opt.Timing.Suspect)
		c.enter(StepFence)
	case StepRecord:
		if !own || g.Term != c.try.term {
			c.abandon()
			return
		}
		c.enter(StepPromote)
	case StepDrain, StepCatchup, StepFence, StepPromote:
		if !own {
			c.abandon()
		}
	}
}

// Upstream takes an answer of an upstream or of its gateway.
func (c *Coordinator) Upstream(now time.Time, r UpstreamResult) []Request {
	u := c.row(r.Upstream)
	if u == nil || !r.hasStatus() {
		return c.run(now)
	}
	if r.Kind == KindRelease {
		if r.ID == c.release.ID {
			c.release = Request{}
		}
		return c.run(now)
	}
	// Neither the fenced term nor, in one fenced term, the position ever decreases, so
	// a lower one is an answer that comes late.
	if n := order(r.Status, u.status); !u.known || n > 0 || n == 0 && !r.Begun.Before(u.begun) {
		u.status = r.Status
	}
	if !u.known || r.Begun.After(u.begun) {
		u.begun, u.known = r.Begun, true
	}
	c.highest = max(c.highest, r.Status.Fenced)
	switch c.step {
	case StepDrain:
		if r.ID == c.try.drain && r.Upstream == c.group.Primary && r.Status.Serves(c.group.Term) {
			c.try.offset, c.try.limit = r.Status.Position.Offset, now.Add(c.opt.Timing.Planned)
			c.enter(StepCatchup)
			c.caughtUp(now)
		}
	case StepCatchup:
		c.caughtUp(now)
	case StepFence:
		c.choose(now)
	case StepPromote:
		c.promoted()
	}
	return c.run(now)
}

// choose picks the upstream with the highest position once a majority is fenced. A
// planned switch gives the target some more time to be in that majority.
func (c *Coordinator) choose(now time.Time) {
	var best *row
	fenced, target := 0, !c.try.planned || now.After(c.try.limit)
	for i := range c.rows {
		u := &c.rows[i]
		switch {
		case !u.known || u.status.Fenced < c.try.term:
			continue
		case u.status.Fenced > c.try.term, u.status.Position.Term >= c.try.term:
			// Somebody uses this term or a higher one without a record.
			c.abandon()
			return
		}
		fenced++
		target = target || u.Name == c.try.target
		if best == nil || c.better(u, best) {
			best = u
		}
	}
	if fenced < majority(len(c.rows)) || !target {
		return
	}
	c.try.record = c.group.WithPrimary(best.Name, best.status.Position)
	c.enter(StepRecord)
}

// better orders fenced upstreams: the position decides, the rest breaks ties. The
// old primary comes last, because something was wrong with it.
func (c *Coordinator) better(a, b *row) bool {
	if n := a.status.Position.Compare(b.status.Position); n != 0 {
		return n > 0
	}
	rank := func(u *row) int {
		switch {
		case u.Name == c.try.target:
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

// promoted ends the attempt once the recorded primary works.
func (c *Coordinator) promoted() {
	if u := c.row(c.group.Primary); u == nil || !u.known || !u.status.Serves(c.group.Term) {
		return
	}
	if c.told < c.group.Term {
		c.told = c.group.Term
		c.out = append(c.out, Request{Kind: KindAnnounce, Group: c.group, Version: c.version})
	}
	c.try = attempt{}
	c.enter(StepIdle)
}

// order compares the ages of two statuses of one upstream.
func order(a, b Status) int {
	if n := cmp.Compare(a.Fenced, b.Fenced); n != 0 {
		return n
	}
	return a.Position.Compare(b.Position)
}

// tail returns how many entries of an upstream lie off the current line.
func tail(h wal.History, p wal.Position) uint64 {
	return p.Offset - h.Clamp(p).Offset
}

func (c *Coordinator) row(name string) *row {
	i := slices.IndexFunc(c.rows, func(r row) bool { return r.Name == name })
	if i < 0 {
		return nil
	}
	return &c.rows[i]
}

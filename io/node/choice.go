package node

// The choice of the upstream and the gateway of an operation's first statement. Routing and
// the answer to an operator's question where a request would go (where.go) share it.

import (
	"math/rand/v2"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/placement"
	"burdockseam/core/wal"
	"burdockseam/io/caller"
)

// choice is the upstream, the gateway and the mode of a statement.
type choice struct {
	upstream *upstream
	gateway  placement.Instance
	open     call.Open
	after    wal.Position
	reason   string
	// last says that a read may use all of its time, since the upstream has refused it
	// before and no other one was left.
	last  bool
	probe bool // the upstream is avoided, and the read finds out whether it still should be
}

// routing is what the choice for a statement depends on.
type routing struct {
	snap   *snapshot
	op     *caller.Operation
	s      call.Statement
	view   groupView
	tried  map[string]int
	scores map[string]upstreamScore // nil without the health contract
	now    time.Time
	// vary returns the variation of an expected time, between 0 and 1.
	vary func() float64
	// skipped, if not nil, is called for each gateway that is not used, with the reason.
	skipped func(gateway placement.Instance, why string)
}

// candidate is an upstream that is considered for a statement.
type candidate struct {
	choice
	why  string // why the upstream can't be chosen; "" if it can
	cost readCost
}

// Reasons why an upstream or a gateway can't be chosen.
const (
	whyRegion    = "its region is not allowed"
	whyLeaving   = "it is leaving"
	whyOut       = "its failure domain is out"
	whyGateway   = "no gateway can be used"
	whyTried     = "it was tried before"
	whyContact   = "this instance hears from too few others to use a primary"
	whyNoPrimary = "the group has no primary"
	whyPromoted  = "its promotion has not taken effect yet"
	whyFull      = "it had no free connection just now"
	whySilent    = "it does not answer or is leaving"
	whyDraining  = "this instance is shutting down"
	whyBadLink   = "it did not reach the upstream just now"
)

// chooseUpstream selects the upstream and the gateway for an operation's first statement.
func (n *Node) chooseUpstream(op *caller.Operation, s call.Statement, tried map[string]int) (choice, bool) {
	snap := n.snapshot.Load()
	r := op.Grant.Route
	rt := &routing{
		snap: snap, op: op, s: s, tried: tried, vary: rand.Float64,
		view: n.primaries.view(r.Group, op.Arrived.Add(stalenessMargin-r.Staleness)), now: n.now(),
	}
	if rt.view.believed == "" {
		n.health.observePrimary(r.Group, true)
	}
	rt.scores = n.health.scores(snap, op, s, len(tried) == 0)
	n.mu.Lock()
	defer n.mu.Unlock()
	best := n.choose(rt)
	if best.why == "" && best.reason == "replica" {
		n.metrics.stalenessMargin.Update(rt.view.floorTime.Sub(op.Arrived.Add(-r.Staleness)).Seconds())
	}
	return best.choice, best.why == ""
}

// primaryOnly returns why only the primary may run the statement, or "".
func (rt *routing) primaryOnly() string {
	switch {
	case rt.op.Grant.Route.Consistency == access.Primary:
		return "the route reads at the primary"
	case rt.s.IsWrite() || rt.op.Kind == call.Begin:
		return "it may write"
	case !rt.view.hasFloor:
		return "no position of the primary is known that is new enough for the route"
	}
	return ""
}

// choose selects the upstream with the least cost. The caller holds the lock.
func (n *Node) choose(rt *routing) candidate {
	best, found := candidate{}, false
	if rt.primaryOnly() == "" {
		for _, u := range rt.snap.groups[rt.op.Grant.Route.Group] {
			if c := n.considerRead(rt, u); c.why == "" && (!found || c.cost.total < best.cost.total) {
				best, found = c, true
			}
		}
	}
	if !found {
		return n.considerPrimary(rt)
	}
	return best
}

// considerRead considers an upstream for a read. The caller holds the lock.
func (n *Node) considerRead(rt *routing, u *upstream) candidate {
	c := n.selectGateway(rt, u)
	isPrimary := u.Name == rt.view.primary
	if tried := rt.tried[u.Name]; c.why == "" && (tried > 2 || tried > 0 && !isPrimary) {
		c.why = whyTried
	}
	if c.why != "" {
		return c
	}
	c.reason, c.after = "replica", rt.view.floor
	if rt.op.LastCommit.Compare(c.after) > 0 {
		c.after = rt.op.LastCommit
	}
	if rt.scores == nil {
		c.cost = n.estimateCost(u, c.after, rt.now)
	} else {
		score := rt.scores[u.Name]
		c.cost = n.expectedCost(u, &score, c.after, rt.now, rt.vary())
		c.probe = score.probe
	}
	if rt.op.Kind != "" {
		c.open = call.OpenRead
	}
	if isPrimary {
		// Only the upstream itself can tell whether it still is the primary.
		c.reason, c.after, c.open = "primary", wal.Position{}, call.OpenFence
		if rt.op.Kind != "" {
			c.open = call.OpenWrite
		}
		c.cost.add(primaryReadCost)
	}
	return c
}

// considerPrimary considers the primary. An upstream that is no longer the primary refuses the
// statement. The caller holds the lock.
func (n *Node) considerPrimary(rt *routing) candidate {
	u := rt.snap.upstreams[rt.view.primary]
	of := func(why string) candidate { return candidate{choice: choice{upstream: u}, why: why} }
	switch {
	case !n.mayUsePrimaries():
		return candidate{why: whyContact}
	case u == nil && rt.view.primary == "" && rt.view.believed != "":
		return candidate{why: whyPromoted}
	case u == nil:
		return candidate{why: whyNoPrimary}
	case rt.tried[u.Name] >= maxAttempts/2:
		return of(whyTried)
	}
	if k := n.knownStats(u.Name); rt.now.Sub(k.fullAt) < refusedRetry {
		return of(whyFull)
	}
	c := n.selectGateway(rt, u)
	c.reason, c.open = "primary", call.OpenNone
	switch {
	case rt.op.Kind != "":
		c.open = call.OpenWrite
	default:
		c.open = call.OpenFence // sendStatement omits the fence for a write
	}
	return c
}

// selectGateway selects the gateway for an upstream, if the upstream may serve the
// operation. The caller holds the lock.
func (n *Node) selectGateway(rt *routing, u *upstream) candidate {
	c := candidate{choice: choice{upstream: u}}
	if c.why = n.ineligible(rt, u); c.why != "" {
		return c
	}
	c.why = whyGateway
	rt.snap.ranks.Walk(u.Name, u.place, func(g placement.Instance) bool {
		why := n.unusable(rt, u, g)
		if why == "" {
			c.gateway, c.why = g, ""
			return false
		}
		if rt.skipped != nil {
			rt.skipped(g, why)
		}
		return true
	})
	return c
}

// ineligible returns why an upstream may not serve the operation, or "". The caller holds the
// lock.
func (n *Node) ineligible(rt *routing, u *upstream) string {
	switch {
	case !rt.op.Grant.AllowsRegion(u.place.Region):
		return whyRegion
	case u.eligible, u.Name == rt.view.believed && n.mayPrimaryStartWork(rt.snap, u, rt.now):
		return ""
	case rt.snap.outDomains[u.Domain]:
		return whyOut
	}
	return whyLeaving
}

// unusable returns why an instance is not used as the gateway of an upstream, or "". The caller
// holds the lock.
func (n *Node) unusable(rt *routing, u *upstream, g placement.Instance) string {
	own := g.Address == n.self.Address
	switch {
	case !own && !rt.op.Grant.AllowsRegion(g.Region):
		return whyRegion
	case !own && n.isUnavailable(g.Address, rt.now):
		return whySilent
	case own && n.draining.Load() && len(rt.snap.instances) > 1:
		return whyDraining
	case rt.now.Before(n.badLinks[link{g.Address, u.Name}]):
		return whyBadLink
	}
	return ""
}

// mayPrimaryStartWork reports whether a primary that is leaving, or whose failure domain is
// out, may still start work: it may until the switchover must be finished. The caller holds the
// lock.
func (n *Node) mayPrimaryStartWork(snap *snapshot, u *upstream, now time.Time) bool {
	bound := n.settings().LeaveTimeout
	if snap.outDomains[u.Domain] {
		bound = n.settings().EvacuateTimeout
	}
	since, ok := n.ineligibleSince[u.Name]
	return ok && now.Sub(since) < bound-leaveMargin
}

// mustEndTransactions reports whether even open transactions at an upstream must end.
func (n *Node) mustEndTransactions(u *upstream, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, ok := n.ineligibleSince[u.Name]
	return ok && n.snapshot.Load().outDomains[u.Domain] && now.Sub(since) >= n.settings().EvacuateTimeout-leaveMargin/3
}

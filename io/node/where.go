package node

// The answer to an operator's question where a request would go now. It uses the functions that
// decide, on copies and without what they record: no token or probe is taken and no metric of
// routing changes.

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/placement"
	"burdockseam/core/quota"
	"burdockseam/core/where"
	"burdockseam/io/caller"
)

// meanVariation is the mean of the random variation of expected times.
const meanVariation = 0.5

// serveWhere answers the question on the operators' port.
func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	q := where.FromValues(r.URL.Query())
	if q.Team == "" || q.Database == "" || !slices.Contains(where.Kinds, q.Kind) {
		http.Error(w, "team, database and kind (read, write or transaction) are needed", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.whereTo(q)); err != nil {
		n.log.Info("operator: answer not sent", "err", err.Error())
	}
}

// whereTo says where a request would go.
func (n *Node) whereTo(q where.Query) where.Answer {
	snap := n.snapshot.Load()
	a := where.Answer{Instance: n.settings().Name, Version: snap.policy.Version}
	r, ok := snap.policy.Routes[q.Database]
	if !ok {
		a.Code, a.Why = call.NoDatabase, "no such route"
		return a
	}
	a.Route = &where.Route{
		Name: r.Name, Group: r.Group, Consistency: string(r.Consistency), Priority: r.Priority,
		Timeout: r.Timeout.Seconds(), Target: r.TargetLatency.Seconds(), Staleness: r.Staleness.Seconds(), Regions: r.Regions,
	}
	t, ok := snap.policy.Teams[q.Team]
	if !ok {
		a.Code, a.Why = call.Denied, "no such team"
		return a
	}
	a.Regions = t.Regions
	op := &caller.Operation{Grant: access.Grant{Route: r, Team: t}, Arrived: n.now()}
	s := call.Statement{Kind: call.Read}
	switch q.Kind {
	case where.Write:
		s.Kind = call.Write
	case where.Transaction:
		s.Kind, op.Kind = call.Begin, call.Begin
	}
	switch {
	case n.isolated():
		a.Code, a.Why = call.Busy, "the configuration is not confirmed"
	case !n.acceptsStatement(r.Timeout):
		reply := refuseAtShutdown(op)
		a.Code, a.Why = reply.Code, reply.Text
	}
	limit := n.inspectLimit(op.Grant)
	a.Limit = &limit
	n.inspectRouting(&a, snap, op, s)
	return a
}

// inspectRouting adds the upstreams and the choice to an answer.
func (n *Node) inspectRouting(a *where.Answer, snap *snapshot, op *caller.Operation, s call.Statement) {
	r := op.Grant.Route
	rt := &routing{
		snap: snap, op: op, s: s, now: n.now(), vary: func() float64 { return meanVariation },
		view: n.primaries.peekView(r.Group, op.Arrived.Add(stalenessMargin-r.Staleness)), scores: n.health.peekScores(snap, op, s),
	}
	a.Only = rt.primaryOnly()
	n.mu.Lock()
	best := n.choose(rt)
	for _, u := range snap.groups[r.Group] {
		a.Upstreams = append(a.Upstreams, n.inspectUpstream(*rt, u, a.Only))
	}
	n.markChances(rt, a)
	n.mu.Unlock()
	choice := n.inspectChoice(rt, a, best)
	a.Choice = &choice
}

// inspectUpstream describes an upstream. The caller holds the lock.
func (n *Node) inspectUpstream(rt routing, u *upstream, only string) where.Upstream {
	out := where.Upstream{Name: u.Name, Domain: u.Domain, State: string(u.State), Out: rt.snap.outDomains[u.Domain], Role: "replica"}
	if u.Name == rt.view.believed {
		out.Role = "primary"
	}
	rt.skipped = func(g placement.Instance, why string) {
		out.Skipped = append(out.Skipped, where.Skipped{Gateway: g.Address, Domain: g.Domain, Why: why})
	}
	var c candidate
	switch {
	case only == "":
		c = n.considerRead(&rt, u)
	case u.Name == rt.view.believed:
		c = n.considerPrimary(&rt)
	default:
		c = candidate{why: "only the primary may run the request"}
	}
	out.Why, out.Gateway = c.why, c.gateway.Address
	score := rt.scores[u.Name]
	out.Avoided = string(score.Why)
	if c.why == "" && only == "" {
		t := c.cost
		out.Time = &where.Time{
			Total: t.total.Seconds(), Service: t.service.Seconds(), Load: t.load, Pace: t.pace, Network: t.network.Seconds(),
			Failing: t.failing, Waited: t.waited.Seconds(), Extra: t.extra.Seconds(),
		}
	}
	k := n.knownStats(u.Name)
	if k.isFull(rt.now) {
		out.Notes = append(out.Notes, whyFull)
	}
	if k.lags(c.after, rt.now) && c.reason == "replica" {
		out.Notes = append(out.Notes, "it lacked a position just now")
	}
	if c.probe {
		out.Notes = append(out.Notes, "a probe is due")
	}
	if !u.eligible && c.why == "" {
		out.Notes = append(out.Notes, "it takes work until the switchover")
	}
	return out
}

// markChances marks the upstreams that the random variation may select: those whose least time
// is below the longest time of each other one. The caller holds the lock.
func (n *Node) markChances(rt *routing, a *where.Answer) {
	if rt.scores == nil || a.Only != "" {
		return
	}
	at := func(u *upstream, variation float64) (time.Duration, bool) {
		varied := *rt
		varied.vary = func() float64 { return variation }
		c := n.considerRead(&varied, u)
		return c.cost.total, c.why == ""
	}
	list := rt.snap.groups[rt.op.Grant.Route.Group]
	bound := time.Duration(1<<63 - 1)
	for _, u := range list {
		if longest, ok := at(u, 1); ok {
			bound = min(bound, longest)
		}
	}
	var chances []int
	for k, u := range list {
		if least, ok := at(u, 0); ok && least < bound {
			chances = append(chances, k)
		}
	}
	if len(chances) < 2 {
		return
	}
	for _, k := range chances {
		a.Upstreams[k].Chance = true
	}
}

// inspectChoice describes the choice.
func (n *Node) inspectChoice(rt *routing, a *where.Answer, best candidate) where.Choice {
	r := rt.op.Grant.Route
	if best.why == "" {
		c := where.Choice{Upstream: best.upstream.Name, Gateway: best.gateway.Address, Reason: best.reason, Why: a.Only}
		usable, chance := 0, false
		for _, u := range a.Upstreams {
			chance = chance || u.Chance
			if u.Why == "" {
				usable++
			}
		}
		switch {
		case best.probe:
			c.Reason, c.Why = "probe", "the upstream is avoided, and a probe is due"
		case a.Only != "":
		case usable == 0:
			c.Why = "no upstream can serve the read as a replica"
		case usable == 1:
			c.Why = "no other upstream can be chosen"
		case chance:
			c.Why = "least expected time; the times vary at random, so that another one may be chosen"
		case rt.scores == nil:
			c.Why = "least expected time; of equal ones the first by name"
		default:
			c.Why = "least expected time"
		}
		return c
	}
	why := best.why
	if best.upstream != nil {
		why = best.upstream.Name + ": " + why
	}
	c := where.Choice{Why: why, Wait: r.Timeout.Seconds(), Retry: noPrimaryRetry.Seconds()}
	if n.contactAt.Load() != nil && !n.mayUsePrimaries() {
		c.Wait = 0
	} else if remaining, refused := n.untilChange(rt.op, rt.op.Arrived.Add(r.Timeout)); refused {
		c.Wait, c.Retry = 0, min(maxWaitRetry, remaining).Seconds()
	}
	return c
}

// inspectLimit describes the limit of a team.
func (n *Node) inspectLimit(g access.Grant) where.Limit {
	if out, ok := n.delegates.inspect(g); ok {
		return out
	}
	return n.limits.inspect(g)
}

// newLimit returns the part of the answer that all ways have.
func newLimit(g access.Grant, way where.Way) where.Limit {
	return where.Limit{Way: way, Rate: g.Team.Rate, Burst: g.Team.Burst}
}

// newStock translates a stock.
func newStock(s quota.Stock) *where.Stock {
	return &where.Stock{Tokens: s.Tokens, Rate: s.Rate, Burst: s.Burst, Queued: s.Queued}
}

// inspect describes the limit of a team by delegated parts. ok is false if the team is limited
// by the reserve and the owner.
func (d *delegates) inspect(g access.Grant) (out where.Limit, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, team := d.n.now(), g.Team.Name
	if _, delegated := d.teams[team]; !delegated {
		if _, owned := d.owned[team]; owned {
			return where.Limit{}, false
		}
		out = newLimit(g, where.Pause)
		out.Outcome = string(quota.Refused)
		if !d.nextMode.IsZero() {
			after := max(0, d.nextMode.Sub(now)).Seconds()
			out.After, out.Retry = &after, after
		}
		return out, true
	}
	s, _ := d.holder.Inspect(now, team, g.Route.Priority, max(minTokenWait, g.Route.TargetLatency/tokenWaitShare))
	out = newLimit(g, where.Delegated)
	p := d.silent[d.preferred]
	out.From, out.Silent = d.preferred, p.failures >= silentFailures && now.Sub(p.at) < silentTime
	out.Stock, out.Outcome, out.Retry = newStock(s), string(s.Outcome), s.Retry.Seconds()
	if s.Known {
		after := s.After.Seconds()
		out.After = &after
	}
	return out, true
}

// inspect describes the limit of a team by the reserve and the owner.
func (l *limits) inspect(g access.Grant) where.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, team := l.n.now(), g.Team.Name
	out := newLimit(g, where.Reserve)
	own, ok := l.reserve.Inspect(now, team)
	if ok {
		out.Reserve = newStock(own)
	}
	granted, held := l.quotaHolder.Inspect(now, team, 0, quota.MaxWait)
	if held {
		out.Stock = newStock(granted)
		out.Silent = l.knownLease.Holder != "" && l.quotaHolder.OwnerSilent(now, onlyShard)
	}
	out.From = l.knownLease.Holder
	s := granted
	if own.Outcome == quota.Granted || own.Known && (!granted.Known || own.After < granted.After) {
		s.After, s.Known = own.After, true
	}
	switch {
	case own.Outcome == quota.Granted || granted.Outcome == quota.Granted:
		s.Outcome, s.Retry = quota.Granted, 0
	case granted.Outcome == quota.Refused && own.Outcome == quota.Waiting:
		s.Outcome, s.Retry = quota.Waiting, 0
	case granted.Outcome == quota.Refused:
		s.Retry = min(own.After, max(granted.Retry, limitInterval))
	}
	if s.Known {
		after := s.After.Seconds()
		out.After = &after
	}
	out.Outcome, out.Retry = string(s.Outcome), s.Retry.Seconds()
	return out
}

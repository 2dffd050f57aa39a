package node

// Routing: which upstream runs a statement, through which gateway, and what happens when
// that fails. A statement is sent again only if the answer says that it did not run, or
// if it only reads.

import (
	"context"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/placement"
	"burdockseam/core/route"
	"burdockseam/core/wal"
	"burdockseam/io/caller"
	"burdockseam/io/peer"
)

type callCode = call.Code

const (
	// maxAttempts bounds the places that a statement is tried at.
	maxAttempts = 20
	// readPart is the part of a read's time that one attempt may use, so that another
	// one has a chance if an answer is lost or an instance is gone.
	readPart = 0.4
	// answerSlack is the time by which an instance waits longer than the gateway that it
	// asked, so that the gateway's own answer arrives.
	answerSlack = 60 * time.Millisecond
	// linkBad is the time for which a gateway that could not reach an upstream is passed
	// over for it.
	linkBad = 700 * time.Millisecond
	// lagPause is the time for which a replica that lacked a position is not asked for
	// that position again.
	lagPause = 150 * time.Millisecond
	// fullPause is the time for which an upstream without a free connection is passed over
	// if there is another one. Another gateway would not help, since all count together.
	fullPause = 150 * time.Millisecond
	// staleMargin is kept of a staleness bound for the time that a caller's bytes were on
	// their way.
	staleMargin = 20 * time.Millisecond
	// meanWork is the assumed time of one statement in an upstream's queue.
	meanWork = 15 * time.Millisecond
	// leaderWork makes reads prefer replicas: only the primary can serve writes.
	leaderWork = 20 * time.Millisecond
	// regionTrip and domainTrip are the assumed round trips between regions and between
	// failure domains. They only order the choices.
	// The one between regions is set higher than the trip itself, since bytes between
	// regions are the dearest.
	regionTrip = 45 * time.Millisecond
	domainTrip = 3 * time.Millisecond
	// noticeMargin is kept of the bound after which an upstream that leaves must get no
	// new work.
	noticeMargin = 2 * time.Second
)

// knowledge is what answers have shown about an upstream.
type knowledge struct {
	position wal.Position
	load     int
	loadAt   time.Time
	sent     int       // statements of this instance without an answer
	full     time.Time // when the upstream had no connection left
	lacked   time.Time
	lackedAt wal.Position
}

// link is a gateway and an upstream.
type link struct{ gateway, upstream string }

// choice is where and how a statement is sent.
type choice struct {
	up      *upstream
	gateway placement.Instance
	open    call.Open
	after   wal.Position
	reason  string
}

// Run implements caller.Router.
func (n *Node) Run(ctx context.Context, op *caller.Operation, s call.Statement) call.Reply {
	began := n.now()
	deadline := began.Add(op.Grant.Route.Timeout)
	var r call.Reply
	if op.Upstream != "" {
		r = n.runPinned(ctx, op, s, deadline)
	} else {
		r = n.runFirst(ctx, op, s, deadline)
	}
	n.account(op, s, r, n.now().Sub(began))
	return r
}

// runFirst runs the first statement of an operation where it serves best.
func (n *Node) runFirst(ctx context.Context, op *caller.Operation, s call.Statement, deadline time.Time) call.Reply {
	if r := op.Grant.Route; r.Consistency != access.Primary && !s.IsWrite() && op.Kind != call.Begin {
		if _, _, ok := n.leaders.floor(r.Group, op.Arrived.Add(staleMargin-r.Staleness)); !ok {
			n.leaders.fetch(ctx, r.Group)
		}
	}
	tried := make(map[string]int)
	last := call.Refusal(call.Busy, "no upstream can run this now")
	last.Retry = leaderRetry
	for attempt := 0; attempt < maxAttempts; {
		next := n.changes()
		c, ok := n.choose(op, s, tried)
		if !ok {
			if !n.waitChange(ctx, next, deadline) {
				break
			}
			continue
		}
		attempt++
		tried[c.up.Name]++
		last = n.send(ctx, op, s, c, deadline)
		if last.Ran == call.RanMaybe && op.Kind != "" {
			n.end(c.gateway.Address, EndNote{Upstream: c.up.Name, Session: op.Name})
		}
		if final(op, s, last) || !n.now().Before(deadline) {
			return last
		}
	}
	return last
}

const (
	// leaderRetry is the hint while a group has no primary: about the time of a promotion.
	leaderRetry = 500 * time.Millisecond
	// pollChange bounds one wait for a change, since some causes pass without an event.
	pollChange = 100 * time.Millisecond
)

func (n *Node) waitChange(ctx context.Context, next <-chan struct{}, deadline time.Time) bool {
	left := deadline.Sub(n.now())
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(min(left, pollChange))
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// final reports whether the reply goes to the caller as it is.
func final(op *caller.Operation, s call.Statement, r call.Reply) bool {
	if r.Ran != call.RanNo && op.Kind != "" {
		// The transaction may be open where the statement was sent, and all of it must run
		// on one connection.
		return true
	}
	switch r.Code {
	case call.Unreachable, call.ReadOnly, call.Lagging, call.Misrouted, call.TooMany:
		return r.Ran != call.RanNo
	case call.Busy:
		return s.IsWrite() || s.Kind == call.Commit
	case call.Aborted, call.Timeout:
		return s.IsWrite() || s.Kind == call.Commit
	}
	return true
}

// choose picks the upstream for an operation's first statement.
func (n *Node) choose(op *caller.Operation, s call.Statement, tried map[string]int) (choice, bool) {
	snap := n.snapshot.Load()
	r := op.Grant.Route
	leader := n.leaders.leader(r.Group)
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Consistency == access.Primary || s.IsWrite() || op.Kind == call.Begin {
		return n.choosePrimary(snap, op, leader, tried, now)
	}
	floor, at, ok := n.leaders.floor(r.Group, op.Arrived.Add(staleMargin-r.Staleness))
	if !ok {
		return n.choosePrimary(snap, op, leader, tried, now)
	}
	after := floor
	if op.Seen.Compare(after) > 0 {
		after = op.Seen
	}
	best, found := choice{}, false
	var cost time.Duration
	for _, u := range snap.groups[r.Group] {
		c, ok := n.candidate(snap, op, u, now)
		if !ok || tried[u.Name] > 0 && u.Name != leader {
			continue
		}
		c.reason, c.after = "replica", after
		own := n.cost(u, after, now)
		if op.Kind != "" {
			c.open = call.OpenRead
		}
		if u.Name == leader {
			if tried[u.Name] > 2 {
				continue
			}
			// Only the upstream can tell that it still leads.
			c.reason, c.after, c.open = "primary", wal.Position{}, call.OpenFence
			if op.Kind != "" {
				c.open = call.OpenWrite
			}
			own += leaderWork
		}
		if !found || own < cost {
			best, cost, found = c, own, true
		}
	}
	if !found {
		return n.choosePrimary(snap, op, leader, tried, now)
	}
	if best.reason == "replica" {
		n.metrics.margin.Update(at.Sub(op.Arrived.Add(-r.Staleness)).Seconds())
	}
	return best, true
}

// choosePrimary picks the primary, which only refuses if it leads no more.
func (n *Node) choosePrimary(snap *snapshot, op *caller.Operation, leader string, tried map[string]int, now time.Time) (choice, bool) {
	u := snap.upstreams[leader]
	if u == nil || tried[leader] >= maxAttempts/2 || now.Sub(n.know(leader).full) < refusedPause {
		return choice{}, false
	}
	c, ok := n.candidate(snap, op, u, now)
	c.reason, c.open = "primary", call.OpenNone
	switch {
	case op.Kind != "":
		c.open = call.OpenWrite
	default:
		c.open = call.OpenFence // a write takes no fence; see send
	}
	return c, ok
}

// candidate finds the gateway for an upstream that may serve the operation. The lock is
// held.
func (n *Node) candidate(snap *snapshot, op *caller.Operation, u *upstream, now time.Time) (choice, bool) {
	if !op.Grant.AllowsRegion(u.place.Region) || !u.fit && !n.graceful(snap, u, now) {
		return choice{}, false
	}
	var c choice
	found := false
	snap.first.Walk(u.Name, u.place, func(g placement.Instance) bool {
		own := g.Address == n.self.Address
		switch {
		case !own && (!op.Grant.AllowsRegion(g.Region) || n.suspected(g.Address, now)),
			own && n.draining.Load() && len(snap.instances) > 1,
			now.Before(n.links[link{g.Address, u.Name}]):
			return true
		}
		c, found = choice{up: u, gateway: g}, true
		return false
	})
	return c, found
}

// graceful reports whether an upstream that leaves, or whose failure domain is out, may
// still start work: the primary may until its planned change must be over.
func (n *Node) graceful(snap *snapshot, u *upstream, now time.Time) bool {
	bound := n.settings().Leave
	if snap.out[u.Domain] {
		bound = n.settings().Evacuate
	}
	since, ok := n.unfit[u.Name]
	return ok && n.leaders.leads(u.Group, u.Name) && now.Sub(since) < bound-noticeMargin
}

// expelled reports whether even open transactions at an upstream must end.
func (n *Node) expelled(u *upstream, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, ok := n.unfit[u.Name]
	return ok && n.snapshot.Load().out[u.Domain] && now.Sub(since) >= n.settings().Evacuate-noticeMargin/3
}

// cost estimates the time until an upstream answers a read. The lock is held.
func (n *Node) cost(u *upstream, after wal.Position, now time.Time) time.Duration {
	k := n.know(u.Name)
	load := k.sent
	if now.Sub(k.loadAt) < route.MaxReplicaWait*10 {
		load = max(load, k.load)
	}
	cost := meanWork * time.Duration(load+1) / time.Duration(max(1, u.Slots))
	switch n.settings().Place(n.self.Domain).Distance(u.place) {
	case 1:
		cost += domainTrip
	case 2:
		cost += regionTrip
	}
	if now.Sub(k.full) < fullPause {
		cost += time.Second
	}
	if now.Sub(k.lacked) < lagPause && after.Compare(k.lackedAt) >= 0 {
		cost += time.Second
	}
	return cost
}

// know returns what is known about an upstream. The lock is held.
func (n *Node) know(name string) *knowledge {
	k := n.known[name]
	if k == nil {
		k = &knowledge{}
		n.known[name] = k
	}
	return k
}

// send sends a statement to a gateway and learns from the answer.
func (n *Node) send(ctx context.Context, op *caller.Operation, s call.Statement, c choice, deadline time.Time) call.Reply {
	if c.open == call.OpenFence && s.IsWrite() {
		c.open = call.OpenNone // the upstream itself refuses a write if it does not lead
	}
	began := n.now()
	budget := deadline.Sub(began)
	if !s.IsWrite() && s.Kind != call.Commit {
		budget = min(budget, time.Duration(readPart*float64(op.Grant.Route.Timeout)))
	}
	req := call.Request{
		Group: c.up.Group, Upstream: c.up.Name, Address: c.up.Address, Slots: c.up.Slots, Limit: c.up.Connections,
		Team: op.Grant.Team.Name, Session: op.Name, Inside: op.Upstream != "", Open: c.open, Statement: s,
		After: c.after, Values: op.Values, Budget: budget, Idle: n.snapshot.Load().policy.TransactionIdle,
	}
	n.sending(c.up.Name, 1)
	r := n.ask(ctx, c.gateway, req, op)
	n.sending(c.up.Name, -1)
	// Commits of transactions that only read wait for no replica.
	commit := r.Code == call.OK && (s.Kind == call.Commit && op.Kind != call.BeginRead || s.IsWrite() && op.Kind == "")
	n.learn(c, began, s, r, commit)
	if commit && n.leaders.drops(c.up, r.Position) {
		n.log.Info("route: commit may be dropped by a promotion", "id", s.ID, "upstream", c.up.Name, "position", r.Position.String())
		r = call.Reply{Ran: call.RanMaybe, Answer: call.Answer{Code: call.InDoubt, Text: "the primary is being replaced"}}
	}
	if r.Code == call.OK && op.Kind != "" && op.Upstream == "" && s.Kind != call.Commit {
		op.Upstream, op.Gateway = c.up.Name, c.gateway.Address
	}
	n.log.V(1).Info("route: statement", "id", s.ID, "kind", s.Kind, "op", op.Name, "route", op.Grant.Route.Name,
		"upstream", c.up.Name, "gateway", c.gateway.Address, "reason", c.reason, "after", c.after.String(),
		"code", r.Code, "ran", r.Ran, "took", n.now().Sub(began))
	return r
}

func (n *Node) sending(upstream string, d int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.know(upstream).sent += d
}

// ask passes a request to a gateway. Without an answer, a read or a statement of a
// transaction that was not asked to commit has kept nothing.
func (n *Node) ask(ctx context.Context, g placement.Instance, req call.Request, op *caller.Operation) call.Reply {
	ctx, cancel := context.WithTimeout(ctx, req.Budget+answerSlack)
	defer cancel()
	if g.Address == n.self.Address {
		return n.gateways.Run(ctx, req)
	}
	var r call.Reply
	err := n.peers.Call(ctx, g.Address, "Node.Run", req, &r)
	if err == nil {
		n.answered(g.Address)
		return r
	}
	n.unanswered(g.Address, err)
	if peer.Unsent.Has(err) {
		if req.Inside {
			return call.Refusal(call.Aborted, "the gateway of the transaction is gone")
		}
		return call.Refusal(call.Unreachable, err.Error())
	}
	s := req.Statement
	n.log.Info("route: no answer from the gateway", "id", s.ID, "kind", s.Kind, "gateway", g.Address, "upstream", req.Upstream, "err", err.Error())
	code := call.Aborted
	if s.Kind == call.Commit || s.IsWrite() && op.Kind == "" {
		code = call.InDoubt
	}
	return call.Reply{Ran: call.RanMaybe, Answer: call.Answer{Code: code, Text: "no answer from the gateway"}}
}

// runPinned runs a statement where the operation's transaction is open.
func (n *Node) runPinned(ctx context.Context, op *caller.Operation, s call.Statement, deadline time.Time) call.Reply {
	snap := n.snapshot.Load()
	u := snap.upstreams[op.Upstream]
	if u == nil {
		return call.Refusal(call.Aborted, "the upstream of the transaction is gone")
	}
	if n.expelled(u, n.now()) {
		return call.Refusal(call.Aborted, "the failure domain of the transaction's upstream is out")
	}
	c := choice{up: u, gateway: placement.Instance{Address: op.Gateway}, reason: "transaction"}
	r := n.send(ctx, op, s, c, deadline)
	switch {
	case r.Ran == call.RanNo && r.Code != call.OK:
		// The gateway has rolled the transaction back.
		r.Code, r.Text = call.Aborted, string(r.Code)+": "+r.Text
	case r.Ran == call.RanMaybe && s.Kind != call.Commit:
		r.Code = call.Aborted
	}
	return r
}

// End implements caller.Router.
func (n *Node) End(op *caller.Operation) {
	if op.Upstream == "" {
		return
	}
	n.end(op.Gateway, EndNote{Upstream: op.Upstream, Session: op.Name})
}

// end tells a gateway to end a transaction. It does not wait.
func (n *Node) end(gateway string, note EndNote) {
	if gateway == n.self.Address {
		go n.gateways.End(note.Upstream, note.Session)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := n.peers.Call(ctx, gateway, "Node.End", note, &None{}); err != nil {
			// The gateway ends the transaction when it has been idle for too long.
			n.log.V(1).Info("route: end of a transaction not delivered", "op", note.Session, "err", err.Error())
		}
	}()
}

// learn takes in what an answer shows about an upstream, and whether it acknowledges a
// commit.
func (n *Node) learn(c choice, began time.Time, s call.Statement, r call.Reply, commit bool) {
	now := n.now()
	if r.Sample != nil {
		n.leaders.proved(c.up.Group, c.up.Name, began.Add(-r.Sample.Age), r.Sample.Position, now, commit)
	}
	n.mu.Lock()
	k := n.know(c.up.Name)
	k.load, k.loadAt = r.Load, now
	if r.Position.Compare(k.position) > 0 {
		k.position = r.Position
	}
	switch r.Code {
	case call.Lagging:
		k.lacked, k.lackedAt = now, c.after
	case call.TooMany:
		k.full = now
	case call.Unreachable, call.Misrouted:
		if r.Ran == call.RanNo {
			n.links[link{c.gateway.Address, c.up.Name}] = now.Add(linkBad)
		}
	}
	n.mu.Unlock()
	switch {
	case r.Code == call.ReadOnly:
		n.leaders.refused(c.up)
	case r.Code == call.Unreachable:
		n.leaders.unreachable(c.up)
	case r.Ran == call.RanMaybe && (s.IsWrite() || s.Kind == call.Commit):
		n.leaders.stalled(c.up, began, now)
	}
}

// account logs what has not succeeded and counts everything.
func (n *Node) account(op *caller.Operation, s call.Statement, r call.Reply, took time.Duration) {
	n.metrics.statement(op.Grant.Route, r, took)
	if r.Code == call.OK {
		return
	}
	n.log.Info("request: not served", "id", s.ID, "op", op.Name, "kind", s.Kind, "route", op.Grant.Route.Name,
		"team", op.Grant.Team.Name, "group", op.Grant.Route.Group, "code", r.Code, "ran", r.Ran, "why", r.Text, "upstream", op.Upstream,
		"version", n.snapshot.Load().policy.Version, "took", took)
}

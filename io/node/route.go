package node

// Routing: which upstream runs a statement, through which gateway, and what happens if that
// fails. A statement is sent again only if the answer says that it did not run, or if the
// statement only reads.

import (
	"context"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/placement"
	"burdockseam/core/wal"
	"burdockseam/io/caller"
	"burdockseam/io/peer"
)

type callCode = call.Code

const (
	// maxAttempts bounds how often a statement is sent.
	maxAttempts = 20
	// readAttemptShare is the share of a read's time that one attempt may use, so that
	// another attempt remains possible if an answer or an instance is lost.
	readAttemptShare = 0.4
	// gatewayReplySlack is the time by which an instance waits longer than the gateway that
	// it called, so that the gateway's own reply arrives.
	gatewayReplySlack = 60 * time.Millisecond
	// badLinkPause is the time for which a gateway is avoided for an upstream that it could
	// not reach.
	badLinkPause = 700 * time.Millisecond
	// lagPause is the time for which a replica that lacked a position is avoided for reads
	// that need this position or a later one.
	lagPause = 150 * time.Millisecond
	// fullPause is the time for which an upstream without a free connection is avoided if
	// there is another one. Another gateway would not help, since the connections of all
	// gateways count together.
	fullPause = 150 * time.Millisecond
	// stalenessMargin is subtracted from a staleness bound for the time that the caller's
	// bytes were in transit.
	stalenessMargin = 20 * time.Millisecond
	// assumedStatementTime is the assumed time of one statement in an upstream's queue.
	assumedStatementTime = 15 * time.Millisecond
	// primaryReadCost makes reads prefer replicas, because only the primary can serve
	// writes.
	primaryReadCost = 20 * time.Millisecond
	// regionRoundTrip and domainRoundTrip are the assumed round trips between regions and
	// between failure domains. They only serve to rank the upstreams. The one between
	// regions is set higher than the actual round trip, because traffic between regions is
	// the most expensive.
	regionRoundTrip = 45 * time.Millisecond
	domainRoundTrip = 3 * time.Millisecond
	// leaveMargin is subtracted from the bound after which a leaving upstream must receive
	// no new work.
	leaveMargin = 2 * time.Second
)

// upstreamStats is what replies have shown about an upstream.
type upstreamStats struct {
	position       wal.Position
	load           int // running and queued statements at the gateway
	loadAt         time.Time
	inFlight       int       // statements of this instance without a reply
	fullAt         time.Time // when the upstream last had no free connection
	laggedAt       time.Time // when the upstream last lacked a position, lackedPosition
	lackedPosition wal.Position
}

// link is a gateway's connection to an upstream.
type link struct{ gateway, upstream string }

// Run implements caller.Router.
func (n *Node) Run(ctx context.Context, op *caller.Operation, s call.Statement) call.Reply {
	began := n.now()
	deadline := began.Add(op.Grant.Route.Timeout)
	var r call.Reply
	switch {
	case !n.acceptsStatement(op.Grant.Route.Timeout):
		r = refuseAtShutdown(op)
	case op.Upstream != "":
		r = n.runPinned(ctx, op, s, deadline)
	default:
		r = n.runUnpinned(ctx, op, s, deadline)
	}
	n.accountStatement(op, s, r, n.now().Sub(began))
	return r
}

// runUnpinned runs the first statement of an operation at the best upstream, and tries
// others if that fails.
func (n *Node) runUnpinned(ctx context.Context, op *caller.Operation, s call.Statement, deadline time.Time) call.Reply {
	if r := op.Grant.Route; r.Consistency != access.Primary && !s.IsWrite() && op.Kind != call.Begin {
		if !n.primaries.hasFloor(r.Group, op.Arrived.Add(stalenessMargin-r.Staleness)) {
			n.primaries.fetchFloor(ctx, r.Group)
		}
	}
	tried := make(map[string]int)
	last := call.Refusal(call.Busy, "no upstream can run this now")
	last.Retry = noPrimaryRetry
	n.health.countAdmitted(op.Grant.Team.Name)
	ran := false           // a statement may have run
	failed := call.Reply{} // the failure of a read that is tried once more
	for attempt := 0; attempt < maxAttempts; {
		next := n.nextChange()
		c, ok := n.chooseUpstream(op, s, tried)
		if !ok {
			if n.contactAt.Load() != nil && !n.mayUsePrimaries() {
				last = call.Refusal(call.Busy, "this instance hears from too few others")
				last.Retry = noPrimaryRetry
				return last
			}
			if failed.Code != call.OK {
				return failed
			}
			if r, refused := n.refuseWait(op, deadline); refused && !ran {
				return r
			}
			if !n.waitForChange(ctx, next, deadline) {
				break
			}
			continue
		}
		c.last = last.Code == call.Busy && last.Retry > 0 && tried[c.upstream.Name] > 0
		attempt++
		tried[c.upstream.Name]++
		last = n.sendStatement(ctx, op, s, c, deadline)
		ran = ran || last.Ran != call.RanNo
		if last.Code == call.ReadOnly && last.Ran == call.RanNo && n.primaries.isTakingOver(c.upstream.Group, c.upstream.Name) {
			// The statement waits for the promotion, which takes longer than a few attempts.
			attempt--
			tried[c.upstream.Name]--
		}
		if last.Ran == call.RanMaybe && op.Kind != "" {
			n.endTransaction(c.gateway.Address, EndRequest{Upstream: c.upstream.Name, Session: op.Name})
		}
		// A repeated refusal by a gateway's queue, which advises when to retry, is final: more
		// attempts would only add load.
		if isFinal(op, s, last) || c.last && last.Code == call.Busy && last.Retry > 0 || !n.now().Before(deadline) {
			switch {
			case failed.Code != call.OK && last.Code != call.OK:
				return failed
			case failed.Code != call.OK || !n.mayRepeat(op, s, c, last, deadline):
				return last
			}
			failed = last
		}
	}
	if failed.Code != call.OK {
		return failed
	}
	return last
}

const (
	// noPrimaryRetry is the suggested retry delay while a group has no primary, about the
	// time of a promotion. It is also used while the configuration is not confirmed.
	noPrimaryRetry = 500 * time.Millisecond
	// changePollInterval bounds one wait for a change, since some causes end without an
	// event.
	changePollInterval = 100 * time.Millisecond
)

// waitForChange waits until routing may decide differently. It returns false if the deadline
// has passed or the context has ended.
func (n *Node) waitForChange(ctx context.Context, next <-chan struct{}, deadline time.Time) bool {
	left := deadline.Sub(n.now())
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(min(left, changePollInterval))
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// isFinal reports whether a reply goes to the caller, rather than being followed by another
// attempt.
func isFinal(op *caller.Operation, s call.Statement, r call.Reply) bool {
	if r.Ran != call.RanNo && op.Kind != "" {
		// The transaction may be open at the upstream that received the statement, and all
		// of it must run on one connection.
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

// sendStatement sends a statement to a gateway and records what the reply shows.
func (n *Node) sendStatement(ctx context.Context, op *caller.Operation, s call.Statement, c choice, deadline time.Time) call.Reply {
	if c.open == call.OpenFence && s.IsWrite() {
		c.open = call.OpenNone // the upstream itself refuses a write if it is not the primary
	}
	began := n.now()
	budget := deadline.Sub(began)
	if !s.IsWrite() && s.Kind != call.Commit && !c.last {
		budget = min(budget, time.Duration(readAttemptShare*float64(op.Grant.Route.Timeout)))
	}
	req := call.Request{
		Group: c.upstream.Group, Upstream: c.upstream.Name, Address: c.upstream.Address, Slots: c.upstream.Slots, Limit: c.upstream.Connections,
		Team: op.Grant.Team.Name, Session: op.Name, Inside: op.Upstream != "", Open: c.open, Statement: s,
		After: c.after, Values: op.Values, Budget: budget, Idle: n.snapshot.Load().policy.TransactionIdle,
		Priority: op.Grant.Route.Priority, Target: targetLeft(op, began),
		Born: c.upstream.Incarnation, Since: began.Sub(c.upstream.since), Adaptive: n.settings().Adaptive,
	}
	if c.probe {
		req.Budget = min(req.Budget, probeBudget(op.Grant.Route))
	}
	if c.reason == "primary" {
		n.primaries.recordAttempt(c.upstream.Group)
	}
	n.addInFlight(c.upstream.Name, 1)
	n.health.recordSent(c, s, began)
	r := n.callGateway(ctx, c.gateway, req, op)
	n.health.recordReply(c, s, began, r)
	r = n.primaries.rejectOutdated(req, r)
	n.addInFlight(c.upstream.Name, -1)
	// The commit of a read-only transaction waits for no replica.
	commit := r.Code == call.OK && (s.Kind == call.Commit && op.Kind != call.BeginRead || s.IsWrite() && op.Kind == "")
	n.learnFromReply(c, began, s, r, commit)
	if commit && (n.primaries.mayDropCommit(c.upstream, r.Position) || n.primaries.isOutdated(c.upstream.Group, r.Sample)) {
		n.log.Info("route: commit may be dropped by a promotion", "id", s.ID, "upstream", c.upstream.Name, "position", r.Position.String())
		r = call.Reply{Ran: call.RanMaybe, Answer: call.Answer{Code: call.InDoubt, Text: "the primary is being replaced"}}
	}
	if commit && r.Code == call.OK && c.gateway.Address != n.self.Address {
		req.Budget = deadline.Sub(n.now())
		r = n.passCommit(ctx, req, r)
	}
	if r.Code == call.OK && op.Kind != "" && op.Upstream == "" && s.Kind != call.Commit {
		op.Upstream, op.Gateway = c.upstream.Name, c.gateway.Address
	}
	n.log.V(1).Info("route: statement", "id", s.ID, "kind", s.Kind, "op", op.Name, "team", op.Grant.Team.Name, "route", op.Grant.Route.Name,
		"version", n.snapshot.Load().policy.Version, "upstream", c.upstream.Name, "gateway", c.gateway.Address, "reason", c.reason, "after", c.after.String(),
		"code", r.Code, "ran", r.Ran, "took", n.now().Sub(began))
	return r
}

// callGateway sends a request to a gateway. If no reply arrives, the outcome is in doubt
// only for a commit or a write outside of a transaction: any other statement has changed
// nothing that is kept.
func (n *Node) callGateway(ctx context.Context, g placement.Instance, req call.Request, op *caller.Operation) call.Reply {
	ctx, cancel := context.WithTimeout(ctx, req.Budget+gatewayReplySlack)
	defer cancel()
	if g.Address == n.self.Address {
		return n.runAtGateway(ctx, req)
	}
	var r call.Reply
	err := n.peers.Call(ctx, g.Address, "Node.Run", req, &r)
	if err == nil {
		n.recordAnswer(g.Address)
		return r
	}
	n.recordNoAnswer(g.Address, err)
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

// runPinned runs a statement at the upstream where the operation's transaction is open.
func (n *Node) runPinned(ctx context.Context, op *caller.Operation, s call.Statement, deadline time.Time) call.Reply {
	snap := n.snapshot.Load()
	u := snap.upstreams[op.Upstream]
	if u == nil {
		return call.Refusal(call.Aborted, "the upstream of the transaction is gone")
	}
	if n.mustEndTransactions(u, n.now()) {
		return call.Refusal(call.Aborted, "the failure domain of the transaction's upstream is out")
	}
	c := choice{upstream: u, gateway: placement.Instance{Address: op.Gateway}, reason: "transaction"}
	r := n.sendStatement(ctx, op, s, c, deadline)
	switch {
	case r.Ran == call.RanNo && r.Code != call.OK:
		// The gateway has rolled the transaction back.
		r.Code, r.Text = call.Aborted, string(r.Code)+": "+r.Text
	case r.Ran == call.RanMaybe && s.Kind != call.Commit:
		r.Code = call.Aborted
	}
	return r
}

// EndTransaction implements caller.Router.
func (n *Node) EndTransaction(op *caller.Operation) {
	if op.Upstream == "" {
		return
	}
	n.endTransaction(op.Gateway, EndRequest{Upstream: op.Upstream, Session: op.Name})
}

// endTransaction requests the end of a transaction from its gateway. It does not wait for
// the result.
func (n *Node) endTransaction(gateway string, note EndRequest) {
	if gateway == n.self.Address {
		go n.gateways.EndTransaction(note.Upstream, note.Session)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := n.peers.Call(ctx, gateway, "Node.End", note, &Empty{}); err != nil {
			// The gateway ends the transaction by itself once it has been idle for too long.
			n.log.V(1).Info("route: end of a transaction not delivered", "op", note.Session, "err", err.Error())
		}
	}()
}

// learnFromReply records what a reply shows about an upstream. Commit says whether the reply
// acknowledges a commit.
func (n *Node) learnFromReply(c choice, began time.Time, s call.Statement, r call.Reply, commit bool) {
	now := n.now()
	if r.Sample != nil {
		n.primaries.recordProof(c.upstream.Group, c.upstream.Name, began.Add(-r.Sample.Age), r.Sample.Position, now, commit)
	}
	n.mu.Lock()
	k := n.statsOf(c.upstream.Name)
	k.load, k.loadAt = r.Load, now
	if r.Position.Compare(k.position) > 0 {
		k.position = r.Position
	}
	switch r.Code {
	case call.Lagging:
		k.laggedAt, k.lackedPosition = now, c.after
	case call.TooMany:
		k.fullAt = now
	case call.Unreachable, call.Misrouted:
		if r.Ran == call.RanNo {
			n.badLinks[link{c.gateway.Address, c.upstream.Name}] = now.Add(badLinkPause)
		}
	}
	n.mu.Unlock()
	switch {
	case r.Code == call.ReadOnly:
		n.primaries.recordRefusal(c.upstream)
	case r.Code == call.Unreachable:
		n.primaries.reportUnreachable(c.upstream)
	case r.Ran == call.RanMaybe && (s.IsWrite() || s.Kind == call.Commit):
		n.primaries.recordUnansweredCommit(c.upstream, began, now)
	}
}

// accountStatement counts a statement, and logs it unless it succeeded.
func (n *Node) accountStatement(op *caller.Operation, s call.Statement, r call.Reply, took time.Duration) {
	n.metrics.recordStatement(op.Grant.Route, r, took)
	if r.Code == call.OK {
		return
	}
	n.log.Info("request: not served", "id", s.ID, "op", op.Name, "kind", s.Kind, "route", op.Grant.Route.Name,
		"team", op.Grant.Team.Name, "group", op.Grant.Route.Group, "code", r.Code, "ran", r.Ran, "why", r.Text, "upstream", op.Upstream,
		"version", n.snapshot.Load().policy.Version, "took", took)
}

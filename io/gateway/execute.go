package gateway

import (
	"errors"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/wal"
)

// execute runs a request on the connection that the queue has assigned to it.
func (g *Gateway) execute(c *pooledConn, id uint64, r call.Request, deadline time.Time) call.Reply {
	if !c.Usable() {
		g.releaseConnection(c, id, r, false)
		if r.Inside {
			return call.Refusal(call.Aborted, "the upstream closed the connection of the transaction")
		}
		return call.Refusal(call.Unreachable, "the upstream closed the connection")
	}
	if g.hasEnded(r.Session) {
		g.releaseConnection(c, id, r, true)
		return call.Refusal(call.Aborted, "the transaction was ended")
	}
	if !g.gateways.now().Before(deadline) {
		g.releaseConnection(c, id, r, true)
		return call.Refusal(call.Busy, "the time for the statement is over")
	}
	preparing := g.gateways.now()
	a, err := c.prepareSession(earlier(deadline, preparing.Add(controlTimeout)), r.Values, r.Statement)
	if err != nil || a.Code != call.OK {
		g.measureUnsent(preparing, a, err)
		return g.failPreparation(c, id, r, a, err)
	}
	proof := leadershipProof{now: g.gateways.now}
	if r.Open != call.OpenNone && !r.Inside {
		began := g.gateways.now()
		after := r.After
		if r.Open != call.OpenRead {
			after = wal.Position{}
		}
		a, err := c.Begin(earlier(deadline, began.Add(controlTimeout)), r.Open == call.OpenRead, after)
		if err != nil || a.Code != call.OK {
			g.measureUnsent(began, a, err)
			return g.failPreparation(c, id, r, a, err)
		}
		c.transaction, c.wrote = r.Open, false
		if r.Open != call.OpenRead {
			proof.add(began, a.Position)
			g.advanceLog(a.Position)
		}
		r.After = wal.Position{}
	}
	return g.runStatement(c, id, r, deadline, proof)
}

// hasEnded reports whether the caller has given up the session's transaction.
func (g *Gateway) hasEnded(session string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended[session]
}

// busyRetryInterval is the time between two attempts of a statement in a transaction
// while the upstream has no free slot. It is about the mean time of a statement, after
// which a slot is free.
const busyRetryInterval = 10 * time.Millisecond

// runStatement sends the caller's statement and processes the answer.
func (g *Gateway) runStatement(c *pooledConn, id uint64, r call.Request, deadline time.Time, p leadershipProof) (reply call.Reply) {
	if m := g.gateways.Meter; m != nil {
		defer m.Sent(r)(&reply)
	}
	s := r.Statement
	primaryOnly := c.transaction == call.OpenWrite || c.transaction == call.OpenFence
	wrote := c.wrote
	p.before = g.advanceLog(wal.Position{})
	began := g.gateways.now()
	g.beginMeasured(s, began)
	name := c.statements.find(keyOf(s))
	a, err := c.orUnsendable(c.Run(deadline, s, name, r.After))
	for err == nil && a.Code == call.Busy && a.State == call.Active && g.gateways.now().Add(busyRetryInterval).Before(deadline) {
		// Retry, since a lost transaction is worse than a refused new request. The slot
		// was taken by another gateway, or by connections that are being opened for other
		// teams.
		time.Sleep(busyRetryInterval)
		a, err = c.orUnsendable(c.Run(deadline, s, name, r.After))
	}
	took := g.gateways.now().Sub(began)
	g.gateways.observer.Answered(took)
	g.recordPace(c, r, a, err, max(1, took))
	g.endMeasured(s, began, a, err)
	if err != nil {
		g.releaseConnection(c, id, r, false)
		return g.lostAnswerReply(r, err)
	}
	if s.Kind == call.Execute && a.Code == call.Unknown {
		// The upstream has lost a name that this connection had prepared, and maybe others.
		g.releaseConnection(c, id, r, false)
		return call.Refusal(call.Aborted, "the upstream has lost the prepared statement")
	}
	if s.IsWrite() {
		c.wrote = c.wrote || c.transaction != call.OpenNone
	}
	// The state that the upstream reports decides: a commit that did not run leaves the
	// transaction open.
	if a.State == call.Idle {
		c.transaction, c.wrote = call.OpenNone, false
	} else if c.transaction == call.OpenNone {
		g.releaseConnection(c, id, r, false)
		return call.Reply{Answer: a, Ran: ranFromCode(a.Code)}
	}
	// A commit without writes proves nothing: it succeeds even at an upstream that is no
	// longer the primary.
	if a.Code == call.OK && (primaryOnly && (s.Kind != call.Commit || wrote) || s.IsWrite()) {
		p.add(began, a.Position)
		g.advanceLog(a.Position)
	}
	reply = call.Reply{Answer: a, Ran: ranFromCode(a.Code), Sample: p.sample()}
	if s.Kind == call.Commit && !wrote {
		reply.Sample = nil // what the opening of the transaction shows is no commit
	}
	if primaryOnly && r.Open == call.OpenFence && c.transaction != call.OpenNone {
		// The answer is final, so it need not wait for the rollback of the gateway's own
		// transaction.
		go g.rollBackFence(c, id, r)
		return reply
	}
	if a.Code != call.OK && c.transaction != call.OpenNone {
		go g.rollBackFailed(c, id, r)
		return reply
	}
	g.releaseConnection(c, id, r, true)
	return reply
}

// rollBackFence rolls back the transaction that the gateway has opened around a single
// read, and releases the connection.
func (g *Gateway) rollBackFence(c *pooledConn, id uint64, r call.Request) {
	a, err := c.Rollback(g.gateways.now().Add(controlTimeout))
	c.transaction = call.OpenNone
	g.releaseConnection(c, id, r, err == nil && a.Code == call.OK)
}

// rollBackFailed rolls back a transaction in which a statement failed. The caller learns
// of the failure by the statement's answer, and could only roll back.
func (g *Gateway) rollBackFailed(c *pooledConn, id uint64, r call.Request) { g.rollBackFence(c, id, r) }

// failPreparation returns the reply to a request for which the connection could not be
// prepared. The caller's statement was not sent.
func (g *Gateway) failPreparation(c *pooledConn, id uint64, r call.Request, a call.Answer, err error) call.Reply {
	g.recordPace(c, r, a, err, 0)
	if err != nil {
		g.releaseConnection(c, id, r, false)
		g.gateways.log.Info("gateway: connection lost before the statement", "upstream", g.upstream, "id", r.Statement.ID, "err", err.Error())
		if r.Inside {
			return call.Refusal(call.Aborted, err.Error())
		}
		return call.Refusal(call.Unreachable, err.Error())
	}
	unsure := ranFromCode(a.Code) != call.RanNo // the session at the upstream may have changed
	switch {
	case unsure:
		g.releaseConnection(c, id, r, false)
	case c.transaction != call.OpenNone:
		go g.rollBackFailed(c, id, r)
	default:
		g.releaseConnection(c, id, r, true)
	}
	if unsure || a.Code == call.Unknown || a.Code == call.BadInput {
		// The code is about the gateway's own statement. Nothing of the caller's has run.
		a.Text = "the upstream did not prepare the session: " + string(a.Code) + " " + a.Text
		a.Code = call.Aborted
	}
	return call.Reply{Ran: call.RanNo, Answer: a}
}

// lostAnswerReply returns the reply to a statement that the upstream did not answer.
func (g *Gateway) lostAnswerReply(r call.Request, err error) call.Reply {
	s := r.Statement
	if errors.Is(err, ErrUnsent) {
		return call.Refusal(call.Aborted, err.Error())
	}
	g.gateways.log.Info("gateway: no answer from the upstream", "upstream", g.upstream, "team", r.Team, "id", s.ID, "kind", s.Kind, "err", err.Error())
	if s.Kind == call.Commit || s.IsWrite() && !r.Inside && r.Open == call.OpenNone {
		return call.Reply{Ran: call.RanMaybe, Answer: call.Answer{Code: call.InDoubt, Text: err.Error()}}
	}
	// Statements of a transaction take effect only by its commit, and no commit was sent.
	return call.Reply{Ran: call.RanMaybe, Answer: call.Answer{Code: call.Aborted, Text: err.Error()}}
}

// advanceLog records a position of the upstream's log as the primary, and returns the newest one.
func (g *Gateway) advanceLog(p wal.Position) wal.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Compare(g.logEnd) > 0 {
		g.logEnd = p
	}
	return g.logEnd
}

// ranFromCode returns whether a statement ran, given the code of its answer.
func ranFromCode(c call.Code) call.Ran {
	switch c {
	case call.OK, call.Failed:
		return call.RanYes
	case call.Timeout, call.InDoubt:
		return call.RanMaybe
	}
	return call.RanNo
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// leadershipProof records the evidence that an upstream was the primary: a statement that
// only a primary accepts. sentAt is the time just before the newest such statement was
// sent, and position is the log position in its answer. before is a position that the log had
// before the caller's statement was sent.
type leadershipProof struct {
	now      func() time.Time
	sentAt   time.Time
	position wal.Position
	before   wal.Position
}

func (p *leadershipProof) add(at time.Time, position wal.Position) {
	p.sentAt, p.position = at, position
}

// sample returns the proven position with its age, or nil without a proof.
func (p *leadershipProof) sample() *call.Sample {
	if p.position == (wal.Position{}) {
		return nil
	}
	return &call.Sample{Position: p.position, Age: p.now().Sub(p.sentAt), Before: p.before}
}

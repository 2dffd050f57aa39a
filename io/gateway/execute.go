package gateway

import (
	"errors"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/wal"
)

// execute runs a request on a connection whose turn it is.
func (g *Gateway) execute(c *pooled, id uint64, r call.Request, deadline time.Time) call.Reply {
	if !c.Usable() {
		g.release(c, id, r, false)
		if r.Inside {
			return call.Refusal(call.Aborted, "the upstream closed the connection of the transaction")
		}
		return call.Refusal(call.Unreachable, "the upstream closed the connection")
	}
	if r.Inside && g.isEnded(c) {
		g.release(c, id, r, true)
		return call.Refusal(call.Aborted, "the transaction was ended")
	}
	if !g.s.now().Before(deadline) {
		g.release(c, id, r, true)
		return call.Refusal(call.Busy, "the time for the statement is over")
	}
	a, err := c.align(earlier(deadline, g.s.now().Add(housekeeping)), r.Values, r.Statement)
	if err != nil || a.Code != call.OK {
		return g.aside(c, id, r, a, err)
	}
	proof := proof{now: g.s.now}
	if r.Open != call.OpenNone && !r.Inside {
		began := g.s.now()
		after := r.After
		if r.Open != call.OpenRead {
			after = wal.Position{}
		}
		a, err := c.Begin(earlier(deadline, began.Add(housekeeping)), r.Open == call.OpenRead, after)
		if err != nil || a.Code != call.OK {
			return g.aside(c, id, r, a, err)
		}
		c.open, c.wrote = r.Open, false
		if r.Open != call.OpenRead {
			proof.add(began, a.Position)
		}
		r.After = wal.Position{}
	}
	return g.statement(c, id, r, deadline, proof)
}

// isEnded reports whether the connection's transaction is to be rolled back.
func (g *Gateway) isEnded(c *pooled) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.ended
}

// busyPause is the time between two tries of a statement of a transaction. It is about
// the mean time of a statement, after which a slot is free.
const busyPause = 10 * time.Millisecond

// statement sends the caller's statement and takes in its answer.
func (g *Gateway) statement(c *pooled, id uint64, r call.Request, deadline time.Time, p proof) call.Reply {
	s := r.Statement
	leads := c.open == call.OpenWrite || c.open == call.OpenFence
	wrote := c.wrote
	began := g.s.now()
	a, err := c.Run(deadline, s, preparedName(s), r.After)
	for err == nil && a.Code == call.Busy && a.State == call.Active && g.s.now().Add(busyPause).Before(deadline) {
		// A transaction is worth more than a new request. Another gateway, or the
		// connections of other teams that are being opened, took the slot.
		time.Sleep(busyPause)
		a, err = c.Run(deadline, s, preparedName(s), r.After)
	}
	g.s.observer.Answered(g.s.now().Sub(began))
	if err != nil {
		g.release(c, id, r, false)
		return g.lost(r, err)
	}
	if s.IsWrite() {
		c.wrote = c.wrote || c.open != call.OpenNone
	}
	// The upstream's word counts: a commit that did not run leaves the transaction open.
	if a.State == call.Idle {
		c.open, c.wrote = call.OpenNone, false
	} else if c.open == call.OpenNone {
		g.release(c, id, r, false)
		return call.Reply{Answer: a, Ran: ran(a.Code)}
	}
	// A commit that wrote nothing also succeeds at an upstream that leads no more.
	if a.Code == call.OK && (leads && (s.Kind != call.Commit || wrote) || s.IsWrite()) {
		p.add(began, a.Position)
	}
	reply := call.Reply{Answer: a, Ran: ran(a.Code), Sample: p.sample()}
	if leads && r.Open == call.OpenFence && c.open != call.OpenNone {
		// The answer is final and does not wait for the end of the proxy's transaction.
		go g.unfence(c, id, r)
		return reply
	}
	if a.Code != call.OK && c.open != call.OpenNone {
		go g.abort(c, id, r)
		return reply
	}
	g.release(c, id, r, true)
	return reply
}

// unfence ends the proxy's own transaction around a single read.
func (g *Gateway) unfence(c *pooled, id uint64, r call.Request) {
	a, err := c.Rollback(g.s.now().Add(housekeeping))
	c.open = call.OpenNone
	g.release(c, id, r, err == nil && a.Code == call.OK)
}

// abort ends a transaction in which a statement failed. Its caller learns of the failure
// by the statement's answer and can only roll back.
func (g *Gateway) abort(c *pooled, id uint64, r call.Request) { g.unfence(c, id, r) }

// aside answers for a request whose connection could not be prepared for it. The
// caller's statement was not sent.
func (g *Gateway) aside(c *pooled, id uint64, r call.Request, a call.Answer, err error) call.Reply {
	if err != nil {
		g.release(c, id, r, false)
		g.s.log.Info("gateway: connection lost before the statement", "upstream", g.upstream, "id", r.Statement.ID, "err", err.Error())
		if r.Inside {
			return call.Refusal(call.Aborted, err.Error())
		}
		return call.Refusal(call.Unreachable, err.Error())
	}
	inside := c.open != call.OpenNone
	if inside {
		go g.abort(c, id, r)
	} else {
		g.release(c, id, r, true)
	}
	return call.Reply{Ran: call.RanNo, Answer: a}
}

// lost answers for a statement whose answer did not come.
func (g *Gateway) lost(r call.Request, err error) call.Reply {
	s := r.Statement
	if errors.Is(err, ErrUnsent) {
		return call.Refusal(call.Aborted, err.Error())
	}
	g.s.log.Info("gateway: no answer from the upstream", "upstream", g.upstream, "team", r.Team, "id", s.ID, "kind", s.Kind, "err", err.Error())
	if s.Kind == call.Commit || s.IsWrite() && !r.Inside && r.Open == call.OpenNone {
		return call.Reply{Ran: call.RanMaybe, Answer: call.Answer{Code: call.InDoubt, Text: err.Error()}}
	}
	// Only a commit makes the statements of a transaction last, and none was sent.
	return call.Reply{Ran: call.RanMaybe, Answer: call.Answer{Code: call.Aborted, Text: err.Error()}}
}

func ran(c call.Code) call.Ran {
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

// proof collects the evidence that an upstream led: the newest time before a statement
// that only a primary accepts, and the position that its answer named.
type proof struct {
	now      func() time.Time
	at       time.Time
	position wal.Position
}

func (p *proof) add(at time.Time, position wal.Position) { p.at, p.position = at, position }

func (p *proof) sample() *call.Sample {
	if p.position == (wal.Position{}) {
		return nil
	}
	return &call.Sample{Position: p.position, Age: p.now().Sub(p.at)}
}

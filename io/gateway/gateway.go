// Package gateway runs statements at upstreams. An instance that is the gateway of an
// upstream owns the connections to it, each bound to a team, and runs at most as many
// statements at a time as the upstream has slots.
//
// A gateway relies on what the upstream answers and never on its own view of which
// upstream is the primary: a read that must see all commits runs inside a transaction
// that only a primary accepts, and a read that may be stale carries the log position that
// it must see.
package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/health"
	"burdockseam/core/queue"
	"burdockseam/core/wal"
)

const (
	// dialTimeout limits the opening of a connection. It is far above the 12 to 27 ms
	// that an upstream takes, and below the statement timeouts.
	dialTimeout = 500 * time.Millisecond
	// controlTimeout limits the time until a control statement is answered: opening or
	// rolling back a transaction, setting values, preparing statements. Control
	// statements take no slot.
	controlTimeout = 400 * time.Millisecond
	// tickInterval is the time between two checks for requests and transactions that have
	// timed out. The timer runs only while there are any requests or transactions.
	tickInterval = 20 * time.Millisecond
	// idleTimeout is the time without statements after which the gateway of an upstream
	// is closed.
	idleTimeout = 10 * time.Second
	// idleTimeoutElsewhere replaces idleTimeout if another instance is now the gateway of
	// the upstream.
	idleTimeoutElsewhere = 1500 * time.Millisecond
	// connectionShare is the share of an upstream's connections that one gateway uses.
	// The rest is for a gateway that takes over, or for the gateway that other instances
	// choose while they disagree about the placement.
	connectionShare = 0.75
	// holdTimeout ends a hold if the instance that requested it is lost.
	holdTimeout = 2 * time.Second
	// cappedTime is how long a gateway opens no further connections after the upstream
	// has refused one.
	cappedTime = time.Second
	// trimIdleAfter is the idle time after which trimIdle closes a connection, so that
	// the gateway that takes over can open one.
	trimIdleAfter = 100 * time.Millisecond
	// extraSlots is the number of statements sent beyond the upstream's slots, which the
	// upstream queues. Otherwise a slot would stay free from the end of a statement until
	// its answer has arrived here and the next statement there.
	extraSlots = 1
	// dialFailureTTL is how long requests are refused with the error of a failed
	// connection attempt, so that queued requests do not each wait for an attempt of
	// their own.
	dialFailureTTL = 100 * time.Millisecond
)

// Gateway is the gateway of one upstream.
type Gateway struct {
	gateways                 *Gateways
	group, upstream, address string

	mu              sync.Mutex
	queue           *queue.Queue
	meter           health.Meter
	waiting         map[uint64]waitingRequest
	conns           map[uint64]*pooledConn
	transactions    map[string]*pooledConn // connections in a transaction, by session
	inflight        map[string]int         // unanswered requests of each session
	ended           map[string]bool        // sessions in inflight whose callers have given up
	lastRequestAt   time.Time
	lastID          uint64       // the ID given last to a request
	logEnd          wal.Position // newest position that the upstream told as the primary
	ticking         bool
	closed          bool
	holdTimer       *time.Timer // ends the hold after holdTimeout
	connectionLimit int         // the number of connections that may be open
	cappedAt        time.Time   // when the upstream refused a further connection, or zero
	dialFailure     call.Reply  // the reply to requests if the last connection attempt failed
	dialFailedAt    time.Time
	refused         refusals
	pace            upstreamPace
}

// startDecision starts a waiting request on a connection or, if conn is nil, refuses it.
type startDecision struct {
	conn    *pooledConn
	refusal call.Reply
}

// waitingRequest is a request that is in the queue.
type waitingRequest struct {
	decision chan startDecision
	team     string
}

func newGateway(s *Gateways, r call.Request) *Gateway {
	limit := max(2, int(float64(r.Limit)*connectionShare))
	return &Gateway{
		connectionLimit: limit,
		gateways:        s, group: r.Group, upstream: r.Upstream, address: r.Address,
		queue: queue.New(queue.Options{
			Slots: max(1, r.Slots) + extraSlots, Connections: limit,
			TeamBound: true, IdleTimeout: r.Idle,
		}),
		waiting: make(map[uint64]waitingRequest), conns: make(map[uint64]*pooledConn),
		transactions: make(map[string]*pooledConn), inflight: make(map[string]int), ended: make(map[string]bool),
		lastRequestAt: s.now(),
	}
}

// run waits until the queue starts the request, and executes it.
func (g *Gateway) run(ctx context.Context, r call.Request) call.Reply {
	now := g.gateways.now()
	deadline := now.Add(r.Budget)
	g.mu.Lock()
	g.inflight[r.Session]++
	transaction := g.transactions[r.Session]
	if g.closed || r.Inside && (transaction == nil || g.ended[r.Session]) {
		g.mu.Unlock()
		return g.finishRequest(r.Session, call.Refusal(call.Aborted, "the transaction is gone"))
	}
	if g.dialFailure.Code != call.OK && now.Sub(g.dialFailedAt) < dialFailureTTL && len(g.conns) == 0 {
		reply := g.dialFailure
		g.mu.Unlock()
		return g.finishRequest(r.Session, reply)
	}
	g.lastRequestAt = now
	if !g.cappedAt.IsZero() && now.Sub(g.cappedAt) >= cappedTime {
		g.cappedAt = time.Time{}
		g.applyDecisions(g.queue.SetConnectionLimit(now, g.connectionLimit))
	}
	g.adaptPace(now, r)
	g.lastID++
	id := g.lastID
	decision := make(chan startDecision, 1)
	g.waiting[id] = waitingRequest{decision, r.Team}
	// A session may try a transaction's first statement again while the failed try is still
	// being rolled back, so the queue knows a transaction by the request that opened it.
	number := id
	if r.Inside {
		number = transaction.opener
	}
	g.applyDecisions(g.queue.Enqueue(now, queue.Request{
		ID: id, Team: r.Team, Session: number, Inside: r.Inside, Deadline: deadline,
		Begin:    r.Open == call.OpenWrite || r.Open == call.OpenRead,
		Priority: r.Priority, Target: r.Target,
	}))
	g.startTicking()
	g.mu.Unlock()
	select {
	case s := <-decision:
		g.gateways.observer.Waited(g.gateways.now().Sub(now))
		if s.conn == nil {
			g.recordRefusal(r, s.refusal, g.gateways.now().Sub(now))
			return g.finishRequest(r.Session, s.refusal)
		}
		return g.finishRequest(r.Session, g.execute(s.conn, id, r, deadline))
	case <-ctx.Done():
		g.gateways.observer.Waited(g.gateways.now().Sub(now))
		g.mu.Lock()
		waiting, list := g.queue.Cancel(g.gateways.now(), id)
		g.applyDecisions(list)
		delete(g.waiting, id)
		g.mu.Unlock()
		if waiting {
			return g.finishRequest(r.Session, call.Refusal(call.Busy, "the caller gave up"))
		}
		s := <-decision
		if s.conn == nil {
			return g.finishRequest(r.Session, s.refusal)
		}
		return g.finishRequest(r.Session, g.execute(s.conn, id, r, deadline))
	}
}

// finishRequest completes a reply with the load, and rolls the session's transaction back if
// its caller has given up meanwhile.
func (g *Gateway) finishRequest(session string, r call.Reply) call.Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inflight[session]--; g.inflight[session] <= 0 {
		delete(g.inflight, session)
		if g.ended[session] {
			delete(g.ended, session)
			go g.endTransaction(session)
		}
	}
	r.Load = g.queue.Queued() + g.queue.Running()
	r.Pace = g.pace.limit()
	return r
}

// forgetTransaction records that a connection no longer holds the transaction of a session,
// which may have opened another one on another connection. The lock is held.
func (g *Gateway) forgetTransaction(session string, c *pooledConn) {
	if g.transactions[session] == c {
		delete(g.transactions, session)
	}
}

// applyDecisions carries out the queue's decisions. The lock is held.
func (g *Gateway) applyDecisions(list []queue.Decision) {
	for _, d := range list {
		switch d.Kind {
		case queue.Start:
			c := g.conns[d.Connection]
			c.busy = true
			if g.pace.Pace != nil {
				c.round = g.pace.Round()
			}
			g.notifyWaiting(d.Request, startDecision{conn: c})
		case queue.Refuse:
			g.notifyWaiting(d.Request, startDecision{refusal: refusalReply(d)})
		case queue.Open:
			go g.dial(d.Connection, d.Team)
		case queue.Close, queue.Fail:
			g.discardConnection(d.Connection)
		}
	}
}

// notifyWaiting passes a decision to the request that waits for it. The lock is held.
func (g *Gateway) notifyWaiting(id uint64, s startDecision) {
	if w, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		w.decision <- s
	}
}

// discardConnection closes a connection, which ends its transaction. The lock is held.
func (g *Gateway) discardConnection(id uint64) {
	c := g.conns[id]
	if c == nil {
		return
	}
	delete(g.conns, id)
	for session := range g.transactions {
		g.forgetTransaction(session, c)
	}
	go c.Close()
}

// dial opens a connection for a team.
func (g *Gateway) dial(id uint64, team string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	began := g.gateways.now()
	c, err := g.gateways.dialer.Dial(ctx, g.address, g.group, team, g.upstream)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.gateways.now()
	if err == nil && g.closed {
		c.Close()
		return
	}
	if err == nil {
		g.dialFailure = call.Reply{}
		g.conns[id] = &pooledConn{Conn: c, id: id, team: team}
		g.recordDial(now, true)
		g.applyDecisions(g.queue.ConnectionOpened(now, id))
		return
	}
	g.gateways.log.Info("gateway: connection not opened", "upstream", g.upstream, "team", team, "took", now.Sub(began), "err", err.Error())
	reply := call.Refusal(call.Unreachable, err.Error())
	var refused RefusedError
	if errors.As(err, &refused) {
		reply = call.Refusal(refused.Code, refused.Text)
	}
	if errors.Is(err, ErrUnsendable) {
		g.applyDecisions(g.queue.ConnectionLost(now, id))
		g.refuseTeam(now, team, call.Refusal(call.Aborted, err.Error()))
		return
	}
	if reply.Code == call.TooMany {
		g.limitConnections(now, id, team, reply)
		return
	}
	g.dialFailure, g.dialFailedAt = reply, now
	g.recordDial(now, false)
	g.meter.EndUnsent(now.Sub(began), now, health.Bad)
	g.applyDecisions(g.queue.ConnectionLost(now, id))
	for id := range g.waiting {
		if waiting, list := g.queue.Cancel(now, id); waiting {
			g.notifyWaiting(id, startDecision{refusal: reply})
			g.applyDecisions(list)
		}
	}
}

// limitConnections handles that the upstream has refused a connection because it accepts
// no more. For cappedTime, teams share the open connections. Requests of a team that has
// no connection are refused, so that reads can go to other upstreams. The lock is held.
func (g *Gateway) limitConnections(now time.Time, id uint64, team string, reply call.Reply) {
	g.applyDecisions(g.queue.ConnectionLost(now, id))
	g.cappedAt = now
	g.applyDecisions(g.queue.SetConnectionLimit(now, g.queue.Connections()))
	for _, c := range g.conns {
		if c.team == team {
			return
		}
	}
	g.refuseTeam(now, team, reply)
}

// refuseTeam refuses the waiting requests of a team. The lock is held.
func (g *Gateway) refuseTeam(now time.Time, team string, reply call.Reply) {
	for id, w := range g.waiting {
		if w.team != team {
			continue
		}
		if waiting, list := g.queue.Cancel(now, id); waiting {
			g.notifyWaiting(id, startDecision{refusal: reply})
			g.applyDecisions(list)
		}
	}
}

// startTicking starts the timer if it is not running. The lock is held.
func (g *Gateway) startTicking() {
	if g.ticking {
		return
	}
	g.ticking = true
	time.AfterFunc(tickInterval, g.onTick)
}

// onTick times out requests and transactions, and restarts the timer while there are any.
func (g *Gateway) onTick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDecisions(g.queue.Tick(g.gateways.now()))
	if len(g.waiting) == 0 && len(g.transactions) == 0 || g.closed {
		g.ticking = false
		return
	}
	time.AfterFunc(tickInterval, g.onTick)
}

// releaseConnection records that a request has ended and frees its connection. A
// connection that is not usable, or whose state is unknown, is closed.
func (g *Gateway) releaseConnection(c *pooledConn, id uint64, r call.Request, usable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.gateways.now()
	c.busy = false
	if !usable {
		delete(g.conns, c.id)
		g.forgetTransaction(r.Session, c)
		g.applyDecisions(g.queue.ConnectionLost(now, c.id))
		go c.Close()
		return
	}
	inside := c.transaction != call.OpenNone
	switch {
	case !inside:
		g.forgetTransaction(r.Session, c)
	case !r.Inside:
		g.transactions[r.Session], c.opener = c, id
	}
	g.applyDecisions(g.queue.Finish(now, id, inside))
}

// endTransaction rolls back the transaction of a session. If one of its statements is
// running, the rollback waits for the statement's answer; a statement that still waits
// for a slot is not run.
func (g *Gateway) endTransaction(session string) {
	g.mu.Lock()
	c := g.transactions[session]
	if g.inflight[session] > 0 {
		g.ended[session] = true
		g.mu.Unlock()
		return
	}
	if c == nil || c.busy { // without a request in flight, a busy connection is being rolled back
		g.mu.Unlock()
		return
	}
	c.busy = true
	delete(g.transactions, session)
	g.mu.Unlock()
	a, err := c.Rollback(g.gateways.now().Add(controlTimeout))
	g.mu.Lock()
	defer g.mu.Unlock()
	c.busy = false
	if err == nil && a.Code == call.OK {
		c.transaction, c.wrote = call.OpenNone, false
		g.applyDecisions(g.queue.TransactionEnded(g.gateways.now(), c.opener))
	} else {
		delete(g.conns, c.id)
		g.applyDecisions(g.queue.SessionClosed(g.gateways.now(), c.opener))
		go c.Close()
	}
}

// setHeld stops or resumes the start of new work, and returns the number of running
// statements and open transactions.
func (g *Gateway) setHeld(held bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holdTimer != nil {
		g.holdTimer.Stop()
		g.holdTimer = nil
	}
	if held {
		g.holdTimer = time.AfterFunc(holdTimeout, func() { g.setHeld(false) })
	}
	g.applyDecisions(g.queue.SetPaused(g.gateways.now(), held))
	return g.queue.Running() + len(g.transactions)
}

// openWork returns the number of running and waiting statements and open transactions.
func (g *Gateway) openWork() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running() + g.queue.Queued() + len(g.transactions)
}

// idleTime returns 0 while the gateway has work, else the time since its last request
// arrived.
func (g *Gateway) idleTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Running()+g.queue.Queued()+len(g.transactions) > 0 {
		return 0
	}
	return g.gateways.now().Sub(g.lastRequestAt)
}

// trimIdle closes connections that have been idle for trimIdleAfter.
func (g *Gateway) trimIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDecisions(g.queue.TrimIdle(g.gateways.now(), trimIdleAfter))
}

// close refuses the waiting requests and closes the connections, which rolls back their
// transactions.
func (g *Gateway) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.applyDecisions(g.queue.Shutdown(g.gateways.now()))
	for id := range g.conns {
		g.applyDecisions(g.queue.ConnectionLost(g.gateways.now(), id))
		g.discardConnection(id)
	}
}

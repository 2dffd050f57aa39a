// Package gateway runs statements at upstreams. An instance that is the gateway of an
// upstream keeps the connections to it, each bound to a team, and runs at most as many
// statements at a time as the upstream has slots.
//
// What a gateway answers rests on what the upstream said, never on a belief about who
// leads: a read that must see all commits runs inside a transaction that only a primary
// accepts, and a read that may be old carries the position that it must see.
package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/queue"
)

const (
	// dialTimeout bounds the opening of a connection. It is far above the 12 to 27 ms
	// that an upstream takes, and below the statement timeouts.
	dialTimeout = 500 * time.Millisecond
	// housekeeping is the time within which control statements (opening and ending
	// transactions, values, names) are answered. They take no slot.
	housekeeping = 400 * time.Millisecond
	// tick is the time between two looks for requests and transactions that are too old.
	// It runs only while there are any.
	tick = 20 * time.Millisecond
	// idleGateway is the time after which an upstream without statements is given up.
	idleGateway = 10 * time.Second
	// idleElsewhere is the same for an upstream whose gateway is another instance.
	idleElsewhere = 1500 * time.Millisecond
	// connectionShare is the part of an upstream's connections that one gateway uses. The
	// rest is for the gateway that takes over, or that other instances see instead.
	connectionShare = 0.75
	// holdLimit ends a hold if the instance that asked for it is lost.
	holdLimit = 2 * time.Second
	// cappedFor is the time for which a gateway does with the connections that it has,
	// after the upstream has refused another one.
	cappedFor = time.Second
	// trimAfter is the idle time after which a connection is closed at a gateway that is
	// placed elsewhere now.
	trimAfter = 100 * time.Millisecond
	// ahead is the number of statements sent beyond the upstream's slots, so that a slot
	// does not stay free for the time of an answer and the next statement. The upstream
	// queues them.
	ahead = 1
	// unreachableFor is the time for which a failed connection attempt answers for the
	// upstream, so that a queue of requests does not wait for one attempt each.
	unreachableFor = 100 * time.Millisecond
)

// Gateway is the gateway of one upstream.
type Gateway struct {
	s                        *Gateways
	group, upstream, address string

	mu       sync.Mutex
	queue    *queue.Queue
	waiting  map[uint64]waiting
	conns    map[uint64]*pooled
	sessions map[string]uint64 // numbers of sessions in the queue
	owners   map[uint64]string // the reverse
	held     map[string]*pooled
	inflight map[string]int // requests of each session that have no reply yet
	used     time.Time
	last     uint64 // the last number given to a request or session
	ticking  bool
	closed   bool
	unhold   *time.Timer // ends a hold that nobody ended
	limit    int         // of connections
	capped   time.Time   // when the upstream refused a connection; zero if not limited
	failure  call.Reply  // of the newest connection attempt that failed
	failed   time.Time
}

// start tells a waiting request to run on a connection, or why it does not run.
type start struct {
	conn    *pooled
	refusal call.Reply
}

// waiting is a request that waits for its turn.
type waiting struct {
	turn chan start
	team string
}

func newGateway(s *Gateways, r call.Request) *Gateway {
	limit := max(2, int(float64(r.Limit)*connectionShare))
	return &Gateway{
		limit: limit,
		s:     s, group: r.Group, upstream: r.Upstream, address: r.Address,
		queue: queue.New(queue.Options{
			Slots: max(1, r.Slots) + ahead, Connections: limit,
			TeamBound: true, IdleTimeout: r.Idle,
		}),
		waiting: make(map[uint64]waiting), conns: make(map[uint64]*pooled),
		sessions: make(map[string]uint64), owners: make(map[uint64]string),
		held: make(map[string]*pooled), inflight: make(map[string]int), used: s.now(),
	}
}

// run waits for the request's turn and runs it.
func (g *Gateway) run(ctx context.Context, r call.Request) call.Reply {
	now := g.s.now()
	deadline := now.Add(r.Budget)
	g.mu.Lock()
	g.inflight[r.Session]++
	if g.closed || r.Inside && (g.held[r.Session] == nil || g.held[r.Session].ended) {
		g.mu.Unlock()
		return g.finish(r.Session, call.Refusal(call.Aborted, "the transaction is gone"))
	}
	if g.failure.Code != call.OK && now.Sub(g.failed) < unreachableFor && len(g.conns) == 0 {
		reply := g.failure
		g.mu.Unlock()
		return g.finish(r.Session, reply)
	}
	g.used = now
	if !g.capped.IsZero() && now.Sub(g.capped) >= cappedFor {
		g.capped = time.Time{}
		g.decide(g.queue.SetConnectionLimit(now, g.limit))
	}
	g.last++
	id := g.last
	turn := make(chan start, 1)
	g.waiting[id] = waiting{turn, r.Team}
	g.decide(g.queue.Enqueue(now, queue.Request{
		ID: id, Team: r.Team, Session: g.number(r.Session), Deadline: deadline,
		Begin: r.Open == call.OpenWrite || r.Open == call.OpenRead,
	}))
	g.startTicking()
	g.mu.Unlock()
	select {
	case s := <-turn:
		g.s.observer.Waited(g.s.now().Sub(now))
		if s.conn == nil {
			return g.finish(r.Session, s.refusal)
		}
		return g.finish(r.Session, g.execute(s.conn, id, r, deadline))
	case <-ctx.Done():
		g.s.observer.Waited(g.s.now().Sub(now))
		g.mu.Lock()
		waiting, list := g.queue.Cancel(g.s.now(), id)
		g.decide(list)
		delete(g.waiting, id)
		g.mu.Unlock()
		if waiting {
			return g.finish(r.Session, call.Refusal(call.Busy, "the caller gave up"))
		}
		s := <-turn
		if s.conn == nil {
			return g.finish(r.Session, s.refusal)
		}
		return g.finish(r.Session, g.execute(s.conn, id, r, deadline))
	}
}

// finish adds the load to a reply and forgets a session without a transaction.
func (g *Gateway) finish(session string, r call.Reply) call.Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inflight[session]--; g.inflight[session] <= 0 {
		delete(g.inflight, session)
		if c := g.held[session]; c != nil && c.ended {
			go g.end(session)
		}
	}
	g.drop(session)
	r.Load = g.queue.Queued() + g.queue.Running()
	return r
}

// number returns the queue's number of a session. The lock is held.
func (g *Gateway) number(session string) uint64 {
	n, ok := g.sessions[session]
	if !ok {
		g.last++
		n = g.last
		g.sessions[session], g.owners[n] = n, session
	}
	return n
}

// drop forgets a session that has no transaction and no statement. The lock is held.
func (g *Gateway) drop(session string) {
	if n, ok := g.sessions[session]; ok && g.held[session] == nil {
		delete(g.sessions, session)
		delete(g.owners, n)
	}
}

// decide performs the queue's decisions. The lock is held.
func (g *Gateway) decide(list []queue.Decision) {
	for _, d := range list {
		switch d.Kind {
		case queue.Start:
			c := g.conns[d.Connection]
			c.busy = true
			g.answer(d.Request, start{conn: c})
		case queue.Refuse:
			g.answer(d.Request, start{refusal: g.refusal(d.Reason)})
		case queue.Open:
			go g.dial(d.Connection, d.Team)
		case queue.Close, queue.Fail:
			g.discard(d.Connection)
		}
	}
}

func (g *Gateway) refusal(why queue.Reason) call.Reply {
	if why == queue.ReasonTransaction || why == queue.ReasonIdle {
		return call.Refusal(call.Aborted, string(why))
	}
	r := call.Refusal(call.Busy, string(why))
	r.Retry = retryAfter
	return r
}

// retryAfter is the hint for a statement that was refused for lack of capacity: about
// the time in which two slots serve the statements of a full second's backlog.
const retryAfter = 250 * time.Millisecond

func (g *Gateway) answer(id uint64, s start) {
	if w, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		w.turn <- s
	}
}

// discard closes a connection and ends the transaction on it. The lock is held.
func (g *Gateway) discard(id uint64) {
	c := g.conns[id]
	if c == nil {
		return
	}
	delete(g.conns, id)
	for session, h := range g.held {
		if h == c {
			delete(g.held, session)
			g.drop(session)
		}
	}
	go c.Close()
}

// dial opens a connection for a team.
func (g *Gateway) dial(id uint64, team string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	began := g.s.now()
	c, err := g.s.dialer.Dial(ctx, g.address, g.group, team, g.upstream)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.s.now()
	if err == nil && g.closed {
		c.Close()
		return
	}
	if err == nil {
		g.failure = call.Reply{}
		g.conns[id] = &pooled{Conn: c, id: id, team: team}
		g.decide(g.queue.ConnectionOpened(now, id))
		return
	}
	g.s.log.Info("gateway: connection not opened", "upstream", g.upstream, "team", team, "took", now.Sub(began), "err", err.Error())
	reply := call.Refusal(call.Unreachable, err.Error())
	var refused Refused
	if errors.As(err, &refused) {
		reply = call.Refusal(refused.Code, refused.Text)
	}
	if reply.Code == call.TooMany {
		g.full(now, id, team, reply)
		return
	}
	g.failure, g.failed = reply, now
	g.decide(g.queue.ConnectionLost(now, id))
	for id := range g.waiting {
		if waiting, list := g.queue.Cancel(now, id); waiting {
			g.answer(id, start{refusal: reply})
			g.decide(list)
		}
	}
}

// full takes in that the upstream accepts no more connections: for a while, teams share
// those that are open. Requests of a team without any are answered, so that reads can go
// elsewhere. The lock is held.
func (g *Gateway) full(now time.Time, id uint64, team string, reply call.Reply) {
	g.decide(g.queue.ConnectionLost(now, id))
	g.capped = now
	g.decide(g.queue.SetConnectionLimit(now, g.queue.Connections()))
	for _, c := range g.conns {
		if c.team == team {
			return
		}
	}
	for id, w := range g.waiting {
		if w.team != team {
			continue
		}
		if waiting, list := g.queue.Cancel(now, id); waiting {
			g.answer(id, start{refusal: reply})
			g.decide(list)
		}
	}
}

// startTicking runs the timer while there is anything to time out. The lock is held.
func (g *Gateway) startTicking() {
	if g.ticking {
		return
	}
	g.ticking = true
	time.AfterFunc(tick, g.onTick)
}

func (g *Gateway) onTick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decide(g.queue.Tick(g.s.now()))
	if len(g.waiting) == 0 && len(g.held) == 0 || g.closed {
		g.ticking = false
		return
	}
	time.AfterFunc(tick, g.onTick)
}

// release takes in the end of a statement. A connection of unknown state is closed.
func (g *Gateway) release(c *pooled, id uint64, r call.Request, usable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.s.now()
	c.busy = false
	if !usable {
		delete(g.conns, c.id)
		delete(g.held, r.Session)
		g.decide(g.queue.ConnectionLost(now, c.id))
		g.drop(r.Session)
		go c.Close()
		return
	}
	inside := c.open != call.OpenNone
	if inside {
		g.held[r.Session] = c
	} else {
		delete(g.held, r.Session)
	}
	g.decide(g.queue.Finish(now, id, inside))
	if !inside {
		c.ended = false
		g.drop(r.Session)
	}
}

// end rolls back the transaction of a session. If a statement of it runs, the rollback
// waits for its answer; one that still waits for a slot does not run any more.
func (g *Gateway) end(session string) {
	g.mu.Lock()
	c := g.held[session]
	if c == nil || c.busy || g.inflight[session] > 0 {
		if c != nil {
			c.ended = true
		}
		g.mu.Unlock()
		return
	}
	c.busy, c.ended = true, false
	n := g.sessions[session]
	delete(g.held, session)
	g.mu.Unlock()
	a, err := c.Rollback(g.s.now().Add(housekeeping))
	g.mu.Lock()
	defer g.mu.Unlock()
	c.busy = false
	if err == nil && a.Code == call.OK {
		c.open, c.wrote = call.OpenNone, false
		g.decide(g.queue.TransactionEnded(g.s.now(), n))
	} else {
		delete(g.conns, c.id)
		g.decide(g.queue.SessionClosed(g.s.now(), n))
		go c.Close()
	}
	g.drop(session)
}

func (g *Gateway) hold(held bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unhold != nil {
		g.unhold.Stop()
		g.unhold = nil
	}
	if held {
		g.unhold = time.AfterFunc(holdLimit, func() { g.hold(false) })
	}
	g.decide(g.queue.SetPaused(g.s.now(), held))
	return g.queue.Running() + len(g.held)
}

func (g *Gateway) busy() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running() + g.queue.Queued() + len(g.held)
}

func (g *Gateway) idleFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Running()+g.queue.Queued()+len(g.held) > 0 {
		return 0
	}
	return g.s.now().Sub(g.used)
}

// trim closes connections that have been idle for a while.
func (g *Gateway) trim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decide(g.queue.TrimIdle(g.s.now(), trimAfter))
}

// close refuses what waits and closes the connections. Their transactions roll back.
func (g *Gateway) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.decide(g.queue.Shutdown(g.s.now()))
	for id := range g.conns {
		g.decide(g.queue.ConnectionLost(g.s.now(), id))
		g.discard(id)
	}
}

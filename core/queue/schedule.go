package queue

import (
	"slices"
	"time"
)

// Tick enforces deadlines and limits on idle time, and starts what can start.
func (q *Queue) Tick(now time.Time) []Decision {
	for _, t := range q.teams {
		for class := range classes {
			for _, i := range slices.Clone(t.waiting[class]) {
				if !i.Deadline.IsZero() && !now.Before(i.Deadline) {
					q.refuse(i, ReasonDeadline)
				}
			}
		}
	}
	ids := make([]uint64, 0, len(q.sessions))
	for _, c := range q.sessions {
		if c.run == nil && now.Sub(c.idleAt) >= q.o.Idle {
			ids = append(ids, c.id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		q.out = append(q.out, Decision{Kind: Close, Connection: id, Reason: ReasonIdle})
		q.accrue(now)
		q.lose(q.conns[id])
	}
	return q.step(now)
}

// Finish takes in the end of a running request. If the session is then in a
// transaction, it keeps the connection.
func (q *Queue) Finish(now time.Time, id uint64, inTransaction bool) []Decision {
	i := q.items[id]
	if i == nil || i.started.IsZero() {
		return nil
	}
	q.accrue(now)
	used := now.Sub(i.started)
	i.team.credit += i.charged - used // the estimate was too high
	i.team.service.add(now, used)
	c := i.conn
	q.end(i)
	c.run = nil
	switch {
	case inTransaction:
		if c.session == 0 {
			q.hold(c, i)
		}
		c.since, c.idleAt = now, now
	default:
		q.leave(c, ReasonTransaction)
		q.rest(now, c)
	}
	return q.step(now)
}

// rest puts a connection among the idle ones.
func (q *Queue) rest(now time.Time, c *conn) {
	c.idleAt = now
	q.idle = append(q.idle, c)
}

// Trim closes connections that have been idle for a time, so that another gateway can
// open some.
func (q *Queue) Trim(now time.Time, after time.Duration) []Decision {
	for k := 0; k < len(q.idle); {
		if now.Sub(q.idle[k].idleAt) < after {
			k++
			continue
		}
		q.closeIdle(k)
	}
	return q.step(now)
}

// closeIdle closes the idle connection at a place of the list of idle ones.
func (q *Queue) closeIdle(k int) {
	c := q.idle[k]
	q.idle = slices.Delete(q.idle, k, k+1)
	delete(q.conns, c.id)
	q.out = append(q.out, Decision{Kind: Close, Connection: c.id, Reason: ReasonReplaced})
}

// Limit sets the number of connections that may be open, at least one. Open ones stay,
// but the idle ones of other teams make room for new ones.
func (q *Queue) Limit(now time.Time, connections int) []Decision {
	q.o.Connections = max(1, connections)
	return q.step(now)
}

// Connections returns the number of connections that are open or being opened.
func (q *Queue) Connections() int { return len(q.conns) }

// Free takes in that the transaction of a session has ended while none of its
// requests was running. The connection can be used by others.
func (q *Queue) Free(now time.Time, session uint64) []Decision {
	c := q.sessions[session]
	if c == nil || c.run != nil {
		return nil
	}
	q.accrue(now)
	q.leave(c, ReasonTransaction)
	q.rest(now, c)
	return q.step(now)
}

// hold gives a connection to the transaction of the request's session.
func (q *Queue) hold(c *conn, i *item) {
	c.session, c.team = i.Session, i.team
	q.sessions[i.Session] = c
	i.team.held++
}

// leave ends the transaction on a connection. Statements that wait for it cannot run
// as part of it any more.
func (q *Queue) leave(c *conn, why Reason) {
	if c.session == 0 {
		return
	}
	c.team.held--
	delete(q.sessions, c.session)
	for _, i := range slices.Clone(c.team.waiting[inner]) {
		if i.conn == c {
			q.refuse(i, why)
		}
	}
	c.session, c.team = 0, nil
}

func (q *Queue) end(i *item) {
	q.running--
	i.team.running--
	delete(q.items, i.ID)
}

// Opened takes in that a connection is ready.
func (q *Queue) Opened(now time.Time, id uint64) []Decision {
	c := q.conns[id]
	if c == nil || !c.opening {
		return nil
	}
	c.opening = false
	q.opening--
	q.backoff = 0
	q.rest(now, c)
	return q.step(now)
}

// Lost takes in that a connection is gone or could not be opened.
func (q *Queue) Lost(now time.Time, id uint64) []Decision {
	c := q.conns[id]
	if c == nil {
		return nil
	}
	q.accrue(now)
	if c.opening {
		q.opening--
		q.backoff = min(max(2*q.backoff, openBackoff), maxOpenBackoff)
		q.openFrom = now.Add(q.backoff)
	}
	q.lose(c)
	return q.step(now)
}

// Release takes in that a session's caller has gone. The connection of its open
// transaction is closed.
func (q *Queue) Release(now time.Time, session uint64) []Decision {
	if c := q.sessions[session]; c != nil {
		q.accrue(now)
		q.out = append(q.out, Decision{Kind: Close, Connection: c.id, Reason: ReasonTransaction})
		q.lose(c)
	}
	return q.step(now)
}

func (q *Queue) lose(c *conn) {
	if i := c.run; i != nil {
		q.end(i)
		q.out = append(q.out, Decision{Kind: Fail, Request: i.ID, Connection: c.id, Reason: ReasonLost})
	}
	q.leave(c, ReasonTransaction)
	delete(q.conns, c.id)
	if k := slices.Index(q.idle, c); k >= 0 {
		q.idle = slices.Delete(q.idle, k, k+1)
	}
}

// accrue charges what running statements and idle transactions have used up to now.
// A connection second costs the part of a slot second that there are slots for each
// connection.
func (q *Queue) accrue(now time.Time) {
	for _, c := range q.conns {
		switch i := c.run; {
		case i != nil:
			if used := now.Sub(i.started); used > i.charged {
				i.team.credit -= used - i.charged
				i.charged = used
			}
		case c.session != 0:
			d := now.Sub(c.since)
			c.team.credit -= d * time.Duration(q.o.Slots) / time.Duration(q.o.Connections)
			c.since = now
		}
	}
}

// step starts requests while there are slots, opens connections and returns the
// decisions made since the last step.
func (q *Queue) step(now time.Time) []Decision {
	q.accrue(now)
	for q.busySlots() < q.o.Slots {
		i := q.pick(now)
		if i == nil {
			break
		}
		q.start(now, i)
	}
	for _, t := range q.teams {
		if t.queued() == 0 && t.running == 0 {
			t.credit = min(t.credit, 0)
		}
	}
	q.open(now)
	out := q.out
	q.out = nil
	return out
}

// busySlots returns the number of the upstream's slots in use. Only an upstream whose
// connections are bound charges a slot for opening one.
func (q *Queue) busySlots() int {
	if q.o.Bound {
		return q.running + q.opening
	}
	return q.running
}

// idleFor returns the idle connection for a statement of the team: the one that served
// the session last, or else the one used last, or nil.
func (q *Queue) idleFor(t *team, session uint64) *conn {
	var found *conn
	for _, c := range slices.Backward(q.idle) {
		if q.o.Bound && c.owner != t {
			continue
		}
		if c.last == session && session != 0 {
			return c
		}
		if found == nil {
			found = c
		}
	}
	return found
}

// openBound opens connections for teams that wait for one, while there are slots. If
// all connections are open, the idle one that was used longest ago makes room.
func (q *Queue) openBound() {
	for k := range q.teams {
		t := q.teams[(q.next+k)%len(q.teams)]
		need := len(t.waiting[plain])
		if q.mayBegin(t) {
			need += len(t.waiting[begin])
		}
		for _, c := range q.conns {
			if c.owner == t && (c.opening || slices.Contains(q.idle, c)) {
				need--
			}
		}
		if need <= 0 || q.held || q.opening >= q.o.Opening || q.busySlots() >= q.o.Slots {
			continue
		}
		if len(q.conns) >= q.o.Connections && !q.giveUp(t) {
			continue
		}
		q.lastConn++
		q.conns[q.lastConn] = &conn{id: q.lastConn, opening: true, owner: t}
		q.opening++
		q.out = append(q.out, Decision{Kind: Open, Connection: q.lastConn, Team: t.name})
	}
}

// giveUp closes the idle connection of another team that was used longest ago.
func (q *Queue) giveUp(t *team) bool {
	for k, c := range q.idle {
		if c.owner != t {
			q.closeIdle(k)
			return true
		}
	}
	return false
}

// pick returns the request to start next, or nil if none can start.
func (q *Queue) pick(now time.Time) *item {
	if q.o.Policy == FIFO {
		var first *item
		for _, t := range q.teams {
			if i := q.head(now, t); i != nil && (first == nil || i.order < first.order) {
				first = i
			}
		}
		return first
	}
	ready := make([]*item, len(q.teams))
	some := false
	for k, t := range q.teams {
		ready[k] = q.head(now, t)
		some = some || ready[k] != nil
	}
	if !some {
		return nil
	}
	q.rounds(ready)
	for k := range q.teams {
		k = (q.next + k) % len(q.teams)
		// The team keeps its turn while it has credit.
		if ready[k] != nil && q.teams[k].credit > 0 {
			q.next = k
			return ready[k]
		}
	}
	return nil
}

// rounds gives out as many rounds of credit as it takes until a team that can start
// something has credit. Teams that cannot start anything repay debts but gather at
// most one quantum.
func (q *Queue) rounds(ready []*item) {
	least := time.Duration(-1)
	for k, t := range q.teams {
		if ready[k] == nil {
			continue
		}
		if t.credit > 0 {
			return
		}
		if n := -t.credit/t.quantum() + 1; least < 0 || n < least {
			least = n
		}
	}
	for k, t := range q.teams {
		most := t.quantum()
		if t.queued() == 0 {
			most = 0
		}
		if c := t.credit + least*t.quantum(); ready[k] != nil || c <= most {
			t.credit = c
		} else {
			t.credit = max(t.credit, most)
		}
	}
}

func (t *team) quantum() time.Duration { return time.Duration(t.weight * float64(quantum)) }

// head returns the team's next request that could start now. Statements of open
// transactions come first, since they let go of a connection. Requests that cannot
// finish in time are refused on the way.
func (q *Queue) head(now time.Time, t *team) *item {
	for class := range classes {
		for len(t.waiting[class]) > 0 {
			i := t.waiting[class][0]
			if i.Deadline.IsZero() || !now.Add(t.service.at(now)).After(i.Deadline) {
				break
			}
			q.refuse(i, ReasonDeadline)
		}
	}
	for _, i := range t.waiting[inner] {
		if i.conn.run == nil {
			return i
		}
	}
	if q.held || q.idleFor(t, 0) == nil {
		return nil
	}
	var first *item
	for class := plain; class < classes; class++ {
		if w := t.waiting[class]; len(w) > 0 && (class == plain || q.mayBegin(t)) && (first == nil || w[0].order < first.order) {
			first = w[0]
		}
	}
	return first
}

// mayBegin reports whether the team may hold one more connection by a transaction.
// As many connections as there are slots stay for single statements. The last
// quarter of the others is for teams that hold less than their share.
func (q *Queue) mayBegin(t *team) bool {
	if q.o.Policy == FIFO {
		return true
	}
	pool := max(1, q.o.Connections-q.o.Slots)
	held, weights := 0, t.weight
	for _, o := range q.teams {
		held += o.held
		if o != t && (o.queued() > 0 || o.held > 0) {
			weights += o.weight
		}
	}
	if held >= pool {
		return false
	}
	return pool-held > pool/4 || float64(t.held) < max(1, float64(pool)*t.weight/weights)
}

func (q *Queue) start(now time.Time, i *item) {
	w := &i.team.waiting[i.class]
	k := slices.Index(*w, i)
	*w = slices.Delete(*w, k, k+1)
	q.queued--
	if i.class != inner {
		i.conn = q.idleFor(i.team, i.Session)
		k := slices.Index(q.idle, i.conn)
		q.idle = slices.Delete(q.idle, k, k+1)
	}
	i.conn.last = i.Session
	if i.class == begin && i.Session != 0 {
		q.hold(i.conn, i)
	}
	i.conn.run = i
	i.started = now
	i.charged = i.team.service.at(now)
	i.team.credit -= i.charged
	i.team.running++
	q.running++
	q.out = append(q.out, Decision{Kind: Start, Request: i.ID, Connection: i.conn.id})
}

// open opens connections for requests that lack one, and the warm ones. Few are
// opened at a time, so that a failover does not bring a storm.
func (q *Queue) open(now time.Time) {
	if now.Before(q.openFrom) || q.closed {
		return
	}
	if q.o.Bound {
		q.openBound()
		return
	}
	need := 0
	for _, t := range q.teams {
		need += len(t.waiting[plain])
		if q.mayBegin(t) {
			need += len(t.waiting[begin])
		}
	}
	busy := len(q.conns) - len(q.idle) - q.opening
	need = max(q.o.Warm, busy+min(need, q.o.Slots-q.running)) - len(q.conns)
	for ; need > 0 && q.opening < q.o.Opening && len(q.conns) < q.o.Connections; need-- {
		q.lastConn++
		q.conns[q.lastConn] = &conn{id: q.lastConn, opening: true}
		q.opening++
		q.out = append(q.out, Decision{Kind: Open, Connection: q.lastConn})
	}
}

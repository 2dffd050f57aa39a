package queue

import (
	"slices"
	"time"
)

// Tick refuses requests whose deadline has passed, closes the connections of
// transactions that have been idle for too long, and starts what can start.
func (q *Queue) Tick(now time.Time) []Decision {
	for _, t := range q.active {
		if t.count > 0 {
			q.checkWaiting(now, t)
		}
	}
	var ids []uint64
	for _, c := range q.sessions {
		if c.running == nil && now.Sub(c.idleSince) >= q.opts.IdleTimeout {
			ids = append(ids, c.id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		q.decisions = append(q.decisions, Decision{Kind: Close, Connection: id, Reason: ReasonIdle})
		q.chargeElapsed(now)
		q.removeConnection(now, q.conns[id])
	}
	return q.schedule(now)
}

// Finish records the end of a running request. If its session is then in a transaction,
// the transaction keeps the connection.
func (q *Queue) Finish(now time.Time, id uint64, inTransaction bool) []Decision {
	i := q.items[id]
	if i == nil || i.started.IsZero() {
		return nil
	}
	q.chargeElapsed(now)
	used := now.Sub(i.started)
	i.team.credit += i.charged - used // replace the estimated charge by the time used
	q.observeService(now, i, used)
	c := i.conn
	q.removeRunning(i)
	c.running = nil
	switch {
	case inTransaction:
		if c.session == 0 {
			q.assignTransaction(c, i)
		}
		c.chargedUntil, c.idleSince = now, now
	default:
		q.endTransaction(now, c, ReasonTransaction)
		q.addIdle(now, c)
	}
	return q.schedule(now)
}

// addIdle marks an open connection as idle.
func (q *Queue) addIdle(now time.Time, c *conn) {
	c.idleSince = now
	q.idle = append(q.idle, c)
	if c.boundTeam != nil {
		c.boundTeam.idle++
	}
}

// takeIdle removes the connection at index k from the idle ones and returns it.
func (q *Queue) takeIdle(k int) *conn {
	c := q.idle[k]
	q.idle = slices.Delete(q.idle, k, k+1)
	if c.boundTeam != nil {
		c.boundTeam.idle--
	}
	return c
}

// TrimIdle closes connections that have been idle for at least the given time, so that
// another gateway can open connections in their place.
func (q *Queue) TrimIdle(now time.Time, after time.Duration) []Decision {
	for k := 0; k < len(q.idle); {
		if now.Sub(q.idle[k].idleSince) < after {
			k++
			continue
		}
		q.closeIdle(k)
	}
	return q.schedule(now)
}

// closeIdle closes the connection at index k of the idle ones.
func (q *Queue) closeIdle(k int) {
	c := q.takeIdle(k)
	delete(q.conns, c.id)
	q.decisions = append(q.decisions, Decision{Kind: Close, Connection: c.id, Reason: ReasonReplaced})
}

// SetSlots sets the number of statements that may execute at the same time, at least 1.
// Statements above a lowered number go on.
func (q *Queue) SetSlots(now time.Time, slots int) []Decision {
	q.opts.Slots = max(1, slots)
	return q.schedule(now)
}

// SetConnectionLimit sets the number of connections that may be open, at least 1. Open
// connections stay, but with Options.TeamBound an idle connection of one team is closed
// when another team needs a new connection.
func (q *Queue) SetConnectionLimit(now time.Time, connections int) []Decision {
	q.opts.Connections = max(1, connections)
	return q.schedule(now)
}

// Connections returns the number of connections that are open or being opened.
func (q *Queue) Connections() int { return len(q.conns) }

// TransactionEnded records that the transaction of a session has ended while none of the
// session's requests was running. The connection becomes idle.
func (q *Queue) TransactionEnded(now time.Time, session uint64) []Decision {
	c := q.sessions[session]
	if c == nil || c.running != nil {
		return nil
	}
	q.chargeElapsed(now)
	q.endTransaction(now, c, ReasonTransaction)
	q.addIdle(now, c)
	return q.schedule(now)
}

// assignTransaction reserves a connection for the transaction of the request's session.
func (q *Queue) assignTransaction(c *conn, i *item) {
	c.session, c.team = i.Session, i.team
	q.sessions[i.Session] = c
	q.held++
	if i.team.heldConns++; i.team.heldConns == 1 {
		q.heldBy += i.team.weight
	}
}

// endTransaction releases a connection from its transaction, if there is one. Requests
// that wait to run in the transaction are refused.
func (q *Queue) endTransaction(now time.Time, c *conn, reason Reason) {
	if c.session == 0 {
		return
	}
	q.held--
	if c.team.heldConns--; c.team.heldConns == 0 {
		q.heldBy -= c.team.weight
	}
	delete(q.sessions, c.session)
	for _, i := range slices.Clone(c.team.waiting[classInTransaction]) {
		if i.conn == c {
			q.refuseRequest(now, i, reason)
		}
	}
	c.session, c.team = 0, nil
}

// removeRunning removes a request from the running ones.
func (q *Queue) removeRunning(i *item) {
	q.running--
	i.team.running--
	delete(q.items, i.ID)
}

// ConnectionOpened records that a connection is ready for use.
func (q *Queue) ConnectionOpened(now time.Time, id uint64) []Decision {
	c := q.conns[id]
	if c == nil || !c.opening {
		return nil
	}
	q.endOpening(now, c)
	q.openTime.observe(now, now.Sub(c.openedAt))
	q.backoff = 0
	q.addIdle(now, c)
	return q.schedule(now)
}

// ConnectionLost records that a connection broke or could not be opened.
func (q *Queue) ConnectionLost(now time.Time, id uint64) []Decision {
	c := q.conns[id]
	if c == nil {
		return nil
	}
	q.chargeElapsed(now)
	if c.opening {
		q.endOpening(now, c)
		q.backoff = min(max(2*q.backoff, openBackoff), maxOpenBackoff)
		q.openAfter = now.Add(q.backoff)
	}
	q.removeConnection(now, c)
	return q.schedule(now)
}

// SessionClosed records that a session's caller has disconnected. If the session has an
// open transaction, its connection is closed.
func (q *Queue) SessionClosed(now time.Time, session uint64) []Decision {
	if c := q.sessions[session]; c != nil {
		q.chargeElapsed(now)
		q.decisions = append(q.decisions, Decision{Kind: Close, Connection: c.id, Reason: ReasonTransaction})
		q.removeConnection(now, c)
	}
	return q.schedule(now)
}

// removeConnection removes a connection. A request that runs on it fails, and requests
// that wait for its transaction are refused.
func (q *Queue) removeConnection(now time.Time, c *conn) {
	if i := c.running; i != nil {
		q.removeRunning(i)
		q.decisions = append(q.decisions, Decision{Kind: Fail, Request: i.ID, Connection: c.id, Reason: ReasonLost})
	}
	q.endTransaction(now, c, ReasonTransaction)
	delete(q.conns, c.id)
	if k := slices.Index(q.idle, c); k >= 0 {
		q.takeIdle(k)
	}
}

// chargeElapsed charges teams for the time that running statements and idle transactions
// have used until now. A second of a held idle connection costs Slots / Connections of a
// slot second.
func (q *Queue) chargeElapsed(now time.Time) {
	q.elapsed, q.expected = 0, 0
	for _, c := range q.conns {
		switch i := c.running; {
		case i != nil:
			used := now.Sub(i.started)
			q.elapsed += used
			q.expected += i.expected
			if used > i.charged {
				i.team.credit -= used - i.charged
				i.charged = used
			}
		case c.session != 0:
			d := now.Sub(c.chargedUntil)
			q.settle(c.team)
			c.team.credit -= d * time.Duration(q.opts.Slots) / time.Duration(q.opts.Connections)
			c.chargedUntil = now
		}
	}
}

// schedule starts requests while slots are free, opens connections, and returns the
// decisions made since it was called last.
func (q *Queue) schedule(now time.Time) []Decision {
	q.chargeElapsed(now)
	for q.busySlots() < q.opts.Slots {
		next, ok := q.pickNext(now)
		if !ok {
			break
		}
		if next.item == nil {
			q.openTeamBound(now, next.team)
			continue
		}
		q.startRequest(now, next.item)
	}
	q.openConnections(now)
	q.deactivate()
	out := q.decisions
	q.decisions = nil
	return out
}

// busySlots returns the number of slots in use. A connection that is being opened takes
// a slot only with Options.TeamBound.
func (q *Queue) busySlots() int {
	if q.opts.TeamBound {
		return q.running + q.opening
	}
	return q.running
}

// idleFor returns the idle connection on which the team's next statement would run: the
// connection that served the session last, else the most recently used one, or nil if
// there is none.
func (q *Queue) idleFor(t *team, session uint64) *conn {
	var found *conn
	if q.opts.TeamBound && t.idle == 0 {
		return nil
	}
	for _, c := range slices.Backward(q.idle) {
		if q.opts.TeamBound && c.boundTeam != t {
			continue
		}
		if c.lastSession == session && session != 0 {
			return c
		}
		if found == nil {
			found = c
		}
	}
	return found
}

// mayOpenTeamBound reports whether a connection may be opened for a team that waits for
// one.
func (q *Queue) mayOpenTeamBound(now time.Time, t *team) bool {
	if q.opening >= q.opts.MaxOpening || q.closed || now.Before(q.openAfter) {
		return false
	}
	need := len(t.waiting[classSingle])
	if n := len(t.waiting[classBegin]); n > 0 && q.mayBegin(t) {
		need += n
	}
	return need > t.idle+t.opening && (len(q.conns) < q.opts.Connections || len(q.idle) > t.idle)
}

// openTeamBound opens a connection for a team. If all connections are open, the least
// recently used idle connection of another team is closed first. The team is charged for
// the slot that the opening takes.
func (q *Queue) openTeamBound(now time.Time, t *team) {
	if len(q.conns) >= q.opts.Connections {
		q.closeIdleOfOther(t)
	}
	q.lastConn++
	c := &conn{id: q.lastConn, opening: true, openedAt: now, boundTeam: t, charged: q.openTime.at(now)}
	t.credit -= c.charged
	q.conns[c.id] = c
	q.opening++
	t.opening++
	q.decisions = append(q.decisions, Decision{Kind: Open, Connection: c.id, Team: t.name})
}

// endOpening records that an attempt to open a connection has ended.
func (q *Queue) endOpening(now time.Time, c *conn) {
	c.opening = false
	q.opening--
	if t := c.boundTeam; t != nil {
		t.opening--
		t.credit += c.charged - now.Sub(c.openedAt)
		q.opens.add(now, 0, now.Sub(c.openedAt))
	}
}

// closeIdleOfOther closes the least recently used idle connection of another team than t. A
// team with waiting requests would need its connection again soon, so those of others are
// closed first.
func (q *Queue) closeIdleOfOther(t *team) {
	found := -1
	for k, c := range q.idle {
		if c.boundTeam != t && (found < 0 || c.boundTeam.count == 0) {
			if found = k; c.boundTeam.count == 0 {
				break
			}
		}
	}
	if found >= 0 {
		q.closeIdle(found)
	}
}

// mayBegin reports whether the team may hold one more connection for a transaction. As
// many connections as there are slots are reserved for single statements. The last
// quarter of the remaining ones is reserved for teams that hold less than their share.
func (q *Queue) mayBegin(t *team) bool {
	if q.opts.Policy == FIFO {
		return true
	}
	pool := max(1, q.opts.Connections-q.opts.Slots)
	if q.held >= pool {
		return false
	}
	if pool-q.held > pool/4 {
		return true
	}
	weights := q.heldBy
	for _, other := range q.active {
		if other.heldConns == 0 && (other == t || other.count > 0) {
			weights += other.weight
		}
	}
	return float64(t.heldConns) < max(1, float64(pool)*t.weight/weights)
}

// startRequest assigns a connection to a waiting request and starts it.
func (q *Queue) startRequest(now time.Time, i *item) {
	w := &i.team.waiting[i.class]
	k := slices.Index(*w, i)
	*w = slices.Delete(*w, k, k+1)
	q.uncountWaiting(i)
	if i.class != classInTransaction {
		i.conn = q.idleFor(i.team, i.Session)
		q.takeIdle(slices.Index(q.idle, i.conn))
	}
	i.conn.lastSession = i.Session
	if i.class == classBegin && i.Session != 0 {
		q.assignTransaction(i.conn, i)
	}
	i.conn.running = i
	i.started = now
	i.charged = q.serviceOf(now, i.team, i.priority)
	i.expected = i.charged
	i.team.credit -= i.charged
	i.team.owed[i.priority] -= i.expected
	i.team.running++
	q.running++
	q.decisions = append(q.decisions, Decision{Kind: Start, Request: i.ID, Connection: i.conn.id})
}

// openConnections opens connections for waiting requests and up to the number of warm
// ones. It opens few at a time, so that a failover does not cause a burst of new
// connections to the upstream.
func (q *Queue) openConnections(now time.Time) {
	if now.Before(q.openAfter) || q.closed || q.opts.TeamBound {
		return
	}
	need := 0
	for _, t := range q.active {
		need += len(t.waiting[classSingle])
		if n := len(t.waiting[classBegin]); n > 0 && q.mayBegin(t) {
			need += n
		}
	}
	busy := len(q.conns) - len(q.idle) - q.opening
	need = max(q.opts.WarmConnections, busy+min(need, q.opts.Slots-q.running)) - len(q.conns)
	for ; need > 0 && q.opening < q.opts.MaxOpening && len(q.conns) < q.opts.Connections; need-- {
		q.lastConn++
		q.conns[q.lastConn] = &conn{id: q.lastConn, opening: true}
		q.opening++
		q.decisions = append(q.decisions, Decision{Kind: Open, Connection: q.lastConn})
	}
}

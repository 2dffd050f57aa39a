package queue

import (
	"slices"
	"time"
)

// Tick refuses requests whose deadline has passed, closes the connections of
// transactions that have been idle for too long, and starts what can start.
func (q *Queue) Tick(now time.Time) []Decision {
	for _, t := range q.teams {
		for class := range numClasses {
			for _, i := range slices.Clone(t.waiting[class]) {
				if !i.Deadline.IsZero() && !now.Before(i.Deadline) {
					q.refuseRequest(i, ReasonDeadline)
				}
			}
		}
	}
	ids := make([]uint64, 0, len(q.sessions))
	for _, c := range q.sessions {
		if c.running == nil && now.Sub(c.idleSince) >= q.opts.IdleTimeout {
			ids = append(ids, c.id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		q.decisions = append(q.decisions, Decision{Kind: Close, Connection: id, Reason: ReasonIdle})
		q.chargeElapsed(now)
		q.removeConnection(q.conns[id])
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
	i.team.service.observe(now, used)
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
		q.endTransaction(c, ReasonTransaction)
		q.addIdle(now, c)
	}
	return q.schedule(now)
}

// addIdle marks an open connection as idle.
func (q *Queue) addIdle(now time.Time, c *conn) {
	c.idleSince = now
	q.idle = append(q.idle, c)
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
	c := q.idle[k]
	q.idle = slices.Delete(q.idle, k, k+1)
	delete(q.conns, c.id)
	q.decisions = append(q.decisions, Decision{Kind: Close, Connection: c.id, Reason: ReasonReplaced})
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
	q.endTransaction(c, ReasonTransaction)
	q.addIdle(now, c)
	return q.schedule(now)
}

// assignTransaction reserves a connection for the transaction of the request's session.
func (q *Queue) assignTransaction(c *conn, i *item) {
	c.session, c.team = i.Session, i.team
	q.sessions[i.Session] = c
	i.team.heldConns++
}

// endTransaction releases a connection from its transaction, if there is one. Requests
// that wait to run in the transaction are refused.
func (q *Queue) endTransaction(c *conn, reason Reason) {
	if c.session == 0 {
		return
	}
	c.team.heldConns--
	delete(q.sessions, c.session)
	for _, i := range slices.Clone(c.team.waiting[classInTransaction]) {
		if i.conn == c {
			q.refuseRequest(i, reason)
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
	c.opening = false
	q.opening--
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
		q.opening--
		q.backoff = min(max(2*q.backoff, openBackoff), maxOpenBackoff)
		q.openAfter = now.Add(q.backoff)
	}
	q.removeConnection(c)
	return q.schedule(now)
}

// SessionClosed records that a session's caller has disconnected. If the session has an
// open transaction, its connection is closed.
func (q *Queue) SessionClosed(now time.Time, session uint64) []Decision {
	if c := q.sessions[session]; c != nil {
		q.chargeElapsed(now)
		q.decisions = append(q.decisions, Decision{Kind: Close, Connection: c.id, Reason: ReasonTransaction})
		q.removeConnection(c)
	}
	return q.schedule(now)
}

// removeConnection removes a connection. A request that runs on it fails, and requests
// that wait for its transaction are refused.
func (q *Queue) removeConnection(c *conn) {
	if i := c.running; i != nil {
		q.removeRunning(i)
		q.decisions = append(q.decisions, Decision{Kind: Fail, Request: i.ID, Connection: c.id, Reason: ReasonLost})
	}
	q.endTransaction(c, ReasonTransaction)
	delete(q.conns, c.id)
	if k := slices.Index(q.idle, c); k >= 0 {
		q.idle = slices.Delete(q.idle, k, k+1)
	}
}

// chargeElapsed charges teams for the time that running statements and idle transactions
// have used until now. A second of a held idle connection costs Slots / Connections of a
// slot second.
func (q *Queue) chargeElapsed(now time.Time) {
	for _, c := range q.conns {
		switch i := c.running; {
		case i != nil:
			if used := now.Sub(i.started); used > i.charged {
				i.team.credit -= used - i.charged
				i.charged = used
			}
		case c.session != 0:
			d := now.Sub(c.chargedUntil)
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
		i := q.pickNext(now)
		if i == nil {
			break
		}
		q.startRequest(now, i)
	}
	for _, t := range q.teams {
		if t.queued() == 0 && t.running == 0 {
			t.credit = min(t.credit, 0)
		}
	}
	q.openConnections(now)
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

// openTeamBound opens connections for teams that wait for one, while slots are free. If
// all connections are open, the least recently used idle connection of another team is
// closed first.
func (q *Queue) openTeamBound() {
	for k := range q.teams {
		t := q.teams[(q.next+k)%len(q.teams)]
		need := len(t.waiting[classSingle])
		if q.mayBegin(t) {
			need += len(t.waiting[classBegin])
		}
		for _, c := range q.conns {
			if c.boundTeam == t && (c.opening || slices.Contains(q.idle, c)) {
				need--
			}
		}
		if need <= 0 || q.paused || q.opening >= q.opts.MaxOpening || q.busySlots() >= q.opts.Slots {
			continue
		}
		if len(q.conns) >= q.opts.Connections && !q.closeIdleOfOther(t) {
			continue
		}
		q.lastConn++
		q.conns[q.lastConn] = &conn{id: q.lastConn, opening: true, boundTeam: t}
		q.opening++
		q.decisions = append(q.decisions, Decision{Kind: Open, Connection: q.lastConn, Team: t.name})
	}
}

// closeIdleOfOther closes the least recently used idle connection of another team than
// t, and reports whether there was one.
func (q *Queue) closeIdleOfOther(t *team) bool {
	for k, c := range q.idle {
		if c.boundTeam != t {
			q.closeIdle(k)
			return true
		}
	}
	return false
}

// pickNext returns the request to start next, or nil if none can start.
func (q *Queue) pickNext(now time.Time) *item {
	if q.opts.Policy == FIFO {
		var first *item
		for _, t := range q.teams {
			if i := q.nextStartable(now, t); i != nil && (first == nil || i.order < first.order) {
				first = i
			}
		}
		return first
	}
	ready := make([]*item, len(q.teams))
	anyReady := false
	for k, t := range q.teams {
		ready[k] = q.nextStartable(now, t)
		anyReady = anyReady || ready[k] != nil
	}
	if !anyReady {
		return nil
	}
	q.grantCredit(ready)
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

// grantCredit adds as many rounds of credit as it takes until some team with a request
// in ready has credit. Teams without such a request repay their debt, but their credit
// grows to at most one quantum, and to 0 if they have no waiting request.
func (q *Queue) grantCredit(ready []*item) {
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

// quantum is the credit that the team gets in each round.
func (t *team) quantum() time.Duration { return time.Duration(t.weight * float64(quantum)) }

// nextStartable returns the team's next request that can start now, or nil. Statements
// of open transactions come first, since finishing them frees connections. On the way it
// refuses the requests at the head of each class that cannot finish by their deadline.
func (q *Queue) nextStartable(now time.Time, t *team) *item {
	for class := range numClasses {
		for len(t.waiting[class]) > 0 {
			i := t.waiting[class][0]
			if i.Deadline.IsZero() || !now.Add(t.service.at(now)).After(i.Deadline) {
				break
			}
			q.refuseRequest(i, ReasonDeadline)
		}
	}
	for _, i := range t.waiting[classInTransaction] {
		if i.conn.running == nil {
			return i
		}
	}
	if q.paused || q.idleFor(t, 0) == nil {
		return nil
	}
	var first *item
	for class := classSingle; class < numClasses; class++ {
		if w := t.waiting[class]; len(w) > 0 && (class == classSingle || q.mayBegin(t)) && (first == nil || w[0].order < first.order) {
			first = w[0]
		}
	}
	return first
}

// mayBegin reports whether the team may hold one more connection for a transaction. As
// many connections as there are slots are reserved for single statements. The last
// quarter of the remaining ones is reserved for teams that hold less than their share.
func (q *Queue) mayBegin(t *team) bool {
	if q.opts.Policy == FIFO {
		return true
	}
	pool := max(1, q.opts.Connections-q.opts.Slots)
	held, weights := 0, t.weight
	for _, other := range q.teams {
		held += other.heldConns
		if other != t && (other.queued() > 0 || other.heldConns > 0) {
			weights += other.weight
		}
	}
	if held >= pool {
		return false
	}
	return pool-held > pool/4 || float64(t.heldConns) < max(1, float64(pool)*t.weight/weights)
}

// startRequest assigns a connection to a waiting request and starts it.
func (q *Queue) startRequest(now time.Time, i *item) {
	w := &i.team.waiting[i.class]
	k := slices.Index(*w, i)
	*w = slices.Delete(*w, k, k+1)
	q.queued--
	if i.class != classInTransaction {
		i.conn = q.idleFor(i.team, i.Session)
		k := slices.Index(q.idle, i.conn)
		q.idle = slices.Delete(q.idle, k, k+1)
	}
	i.conn.lastSession = i.Session
	if i.class == classBegin && i.Session != 0 {
		q.assignTransaction(i.conn, i)
	}
	i.conn.running = i
	i.started = now
	i.charged = i.team.service.at(now)
	i.team.credit -= i.charged
	i.team.running++
	q.running++
	q.decisions = append(q.decisions, Decision{Kind: Start, Request: i.ID, Connection: i.conn.id})
}

// openConnections opens connections for waiting requests and up to the number of warm
// ones. It opens few at a time, so that a failover does not cause a burst of new
// connections to the upstream.
func (q *Queue) openConnections(now time.Time) {
	if now.Before(q.openAfter) || q.closed {
		return
	}
	if q.opts.TeamBound {
		q.openTeamBound()
		return
	}
	need := 0
	for _, t := range q.teams {
		need += len(t.waiting[classSingle])
		if q.mayBegin(t) {
			need += len(t.waiting[classBegin])
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

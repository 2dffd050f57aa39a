package instance

// A run is one batch or one transaction on a connection to an upstream, at the gateway. Each
// batch waits for its turn in the queue; between the batches of a transaction the run keeps
// the connection. A batch gives its slot back as soon as the upstream has committed, although
// the answer still waits for the acknowledgement.

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"burdockseam/core/failover"
	"burdockseam/core/queue"
	"burdockseam/core/statement"
	"burdockseam/io/postgres"
)

const positionParameter = "group.position"

// Types of messages that a run handles, and the status in ReadyForQuery of a session
// without a transaction.
const (
	typeReady           = 'Z'
	typeParameterStatus = 'S'
	statusIdle          = 'I'
)

// stateIdle is the SQLSTATE of a transaction that was rolled back because it was idle.
const stateIdle = "25P03"

// run implements postgres.Backend.
type run struct {
	gateway      *gateway
	header       postgres.Header
	queueSession uint64 // the number of the run in the queue
	write        bool   // the run may write, so a drain waits for it

	client         *postgres.Client
	connection     uint64 // the number of the connection in the queue
	request        uint64 // the number of the batch in the queue, 0 if none executes
	kind           statement.Kind
	connectionHeld bool // the run keeps the connection while no batch executes
	broken         bool // the connection cannot be used again
}

// awaitTurn waits until the queue starts the run's next batch.
func (r *run) awaitTurn(ctx context.Context, wait time.Duration, begin bool) error {
	g := r.gateway
	ch := make(chan queue.Decision, 1)
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return retryable(postgres.NewRefusal(postgres.NotRun, "the gateway of upstream %s has closed", g.upstream))
	}
	g.lastID++
	id := g.lastID
	g.waiters[id] = waiter{turn: ch, term: r.header.Term}
	now := g.in.now()
	g.perform(g.queue.Enqueue(now, queue.Request{
		ID: id, Team: r.header.Team, Session: r.queueSession, Begin: begin, Inside: r.connectionHeld, Deadline: now.Add(wait),
	}))
	g.mu.Unlock()
	var d queue.Decision
	select {
	case d = <-ch:
	case <-ctx.Done():
		var waiting bool
		g.step(func(now time.Time) []queue.Decision {
			var list []queue.Decision
			waiting, list = g.queue.Cancel(now, id)
			delete(g.waiters, id)
			return list
		})
		if waiting {
			return ctx.Err()
		}
		d = <-ch
	}
	if d.Reason == reasonNewTerm {
		return retryable(postgres.NewRefusal(postgres.NotRun, "group %s has moved to another term", g.group))
	}
	if d.Kind == queue.Refuse {
		g.in.metrics.refused(r.header.Team, string(d.Reason)).Inc()
		return postgres.NewRefusal(postgres.NotRun, "upstream %s: %s", g.upstream, d.Reason)
	}
	r.request, r.connection, r.connectionHeld = id, d.Connection, false
	return nil
}

// connect makes sure that the run's connection is usable and states the header's term.
func (r *run) connect(ctx context.Context) error {
	g := r.gateway
	g.mu.Lock()
	c := g.connections[r.connection]
	usable := c != nil && !c.retired
	g.mu.Unlock()
	if usable && c.term == r.header.Term && !isClosed(c.Client) {
		r.client = c.Client
		return nil
	}
	if c != nil {
		go c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	fresh, err := g.dial(ctx, r.header.Term)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.connections[r.connection] = fresh
	g.mu.Unlock()
	r.client = fresh.Client
	return nil
}

// isClosed reports whether the connection has ended.
func isClosed(c *postgres.Client) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// Send implements postgres.Backend.
func (r *run) Send(b *postgres.Batch) error {
	if r.request == 0 {
		if err := r.awaitNextTurn(); err != nil {
			return err
		}
	}
	r.kind = b.Kind
	if err := r.client.Send(b); err != nil {
		return r.outcomeUnknown("connection to upstream %s was lost: %v", r.header.Upstream, err)
	}
	return nil
}

// awaitNextTurn waits for the turn of a further batch of the transaction.
func (r *run) awaitNextTurn() error {
	if why, gone := r.takeCloseReason(); gone {
		r.broken = true
		return &postgres.StatementError{Code: stateIdle, Message: "the transaction was rolled back: " + string(why)}
	}
	if err := r.awaitTurn(context.Background(), r.header.Wait, false); err != nil {
		r.broken = true
		return err
	}
	return nil
}

// takeCloseReason returns and removes the reason for which the queue closed the run's
// connection, if it did.
func (r *run) takeCloseReason() (queue.Reason, bool) {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	why, gone := r.gateway.closeReasons[r.connection]
	delete(r.gateway.closeReasons, r.connection)
	return why, gone
}

// Next implements postgres.Backend. It returns the commit position of a write only after the
// write is acknowledged, so that the caller sees no success earlier.
func (r *run) Next() (postgres.Frame, error) {
	f, err := r.client.Next()
	if err != nil {
		return f, r.outcomeUnknown("connection to upstream %s was lost: %v", r.header.Upstream, err)
	}
	switch f.Type {
	case typeReady:
		// Without a transaction, Release returns the connection to the queue. It must not be
		// returned here: the next run could read from it and overwrite this message.
		if len(f.Body) == 1 && f.Body[0] != statusIdle {
			r.finish(true)
		}
	case typeParameterStatus:
		return f, r.handlePosition(f)
	}
	return f, nil
}

// handlePosition handles a ParameterStatus message. If it reports the commit position of a
// write, it waits for the acknowledgement.
func (r *run) handlePosition(f postgres.Frame) error {
	var m pgproto3.ParameterStatus
	if err := m.Decode(f.Body); err != nil || m.Name != positionParameter || r.kind == statement.Read {
		return nil
	}
	p, err := parsePosition(m.Value)
	if err != nil {
		return r.outcomeUnknown("upstream %s reported no valid position", r.header.Upstream)
	}
	if r.gateway.in.settings.Acks == AckPrimary {
		return nil
	}
	r.finish(true)
	if outcome := r.gateway.awaitAck(r.header, p); outcome != failover.OutcomeAcknowledged {
		return r.outcomeUnknown("no majority of the group holds the write at position %v in time", p)
	}
	return nil
}

// finish reports to the queue that the upstream executes nothing for the run any more. If
// keep is true, the run keeps the connection.
func (r *run) finish(keep bool) {
	g := r.gateway
	g.step(func(now time.Time) []queue.Decision {
		switch {
		case r.request != 0:
			list := g.queue.Finish(now, r.request, keep)
			r.request, r.connectionHeld = 0, keep
			return list
		case r.connectionHeld && !keep:
			r.connectionHeld = false
			return g.queue.TransactionEnded(now, r.queueSession)
		}
		return nil
	})
}

// outcomeUnknown logs and returns the refusal of a batch that was sent but whose outcome is
// unknown.
func (r *run) outcomeUnknown(format string, args ...any) error {
	r.broken = true
	err := postgres.NewRefusal(postgres.Unknown, format, args...)
	r.gateway.in.log.Info("gateway: outcome unknown", "request", r.header.ID, "team", r.header.Team, "group", r.gateway.group,
		"upstream", r.header.Upstream, "term", r.header.Term, "kind", string(r.kind), "reason", err.Reason)
	return err
}

// Answered reports whether the answers to all messages that were sent are complete.
func (r *run) Answered() bool { return r.client.Answered() }

// Cancel implements postgres.Backend.
func (r *run) Cancel() { r.client.Cancel() }

// Release implements postgres.Backend.
func (r *run) Release(clean bool) {
	if clean && !r.broken {
		r.finish(false)
	} else {
		r.dropConnection()
	}
	if r.write {
		r.gateway.endWrite()
	}
}

// dropConnection closes the run's connection and removes it from the queue.
func (r *run) dropConnection() {
	g := r.gateway
	g.step(func(now time.Time) []queue.Decision {
		if c, ok := g.connections[r.connection]; ok {
			delete(g.connections, r.connection)
			go c.Close()
		}
		delete(g.closeReasons, r.connection)
		return g.queue.ConnectionLost(now, r.connection)
	})
}

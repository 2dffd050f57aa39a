package instance

// A run is one batch or one transaction on an upstream connection at the gateway.
// Every batch waits for its turn in the queue; between the batches of a transaction
// the connection stays with the run. The slot is free as soon as the upstream has
// committed, although the answer waits for its acknowledgement.

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

// Messages that a run looks at, and the status of a session without a transaction.
const (
	typeReady           = 'Z'
	typeParameterStatus = 'S'
	statusIdle          = 'I'
)

// stateIdle is the SQLSTATE of a transaction that was rolled back for being idle.
const stateIdle = "25P03"

type run struct {
	gateway *gateway
	header  postgres.Header
	session uint64 // names the run in the queue
	write   bool   // it may write, so a planned switch waits for it

	client  *postgres.Client
	conn    uint64 // the connection's number in the queue
	request uint64 // the batch's number in the queue, 0 if none executes
	kind    statement.Kind
	held    bool // the connection is held without a batch that executes
	broken  bool
}

// turn waits until the queue starts the run's next batch.
func (r *run) turn(ctx context.Context, wait time.Duration, begin bool) error {
	g := r.gateway
	ch := make(chan queue.Decision, 1)
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return later(postgres.Refuse(postgres.NotRun, "the gateway of upstream %s has closed", g.name))
	}
	g.serial++
	id := g.serial
	g.waits[id] = waiter{turn: ch, term: r.header.Term}
	now := g.in.now()
	g.perform(g.queue.Enqueue(now, queue.Request{
		ID: id, Team: r.header.Team, Session: r.session, Begin: begin, Deadline: now.Add(wait),
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
			delete(g.waits, id)
			return list
		})
		if waiting {
			return ctx.Err()
		}
		d = <-ch
	}
	if d.Reason == reasonMoved {
		return later(postgres.Refuse(postgres.NotRun, "group %s has moved to another term", g.group))
	}
	if d.Kind == queue.Refuse {
		g.in.metrics.refused(r.header.Team, string(d.Reason)).Inc()
		return postgres.Refuse(postgres.NotRun, "upstream %s: %s", g.name, d.Reason)
	}
	r.request, r.conn, r.held = id, d.Connection, false
	return nil
}

// connect makes sure that the connection states the header's term.
func (r *run) connect(ctx context.Context) error {
	g := r.gateway
	g.mu.Lock()
	c := g.conns[r.conn]
	usable := c != nil && !c.retired
	g.mu.Unlock()
	if usable && c.term == r.header.Term && !ended(c.Client) {
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
	g.conns[r.conn] = fresh
	g.mu.Unlock()
	r.client = fresh.Client
	return nil
}

func ended(c *postgres.Client) bool {
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
		if err := r.again(); err != nil {
			return err
		}
	}
	r.kind = b.Kind
	if err := r.client.Send(b); err != nil {
		return r.unknown("connection to upstream %s was lost: %v", r.header.Upstream, err)
	}
	return nil
}

// again takes a turn for a further batch of the transaction.
func (r *run) again() error {
	if why, gone := r.takeEnd(); gone {
		r.broken = true
		return &postgres.StatementError{Code: stateIdle, Message: "the transaction was rolled back: " + string(why)}
	}
	if err := r.turn(context.Background(), r.header.Wait, false); err != nil {
		r.broken = true
		return err
	}
	return nil
}

// takeEnd tells why the queue closed the run's connection, if it did.
func (r *run) takeEnd() (queue.Reason, bool) {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	why, gone := r.gateway.ended[r.conn]
	delete(r.gateway.ended, r.conn)
	return why, gone
}

// Next implements postgres.Backend. It returns a commit position only after the
// write is acknowledged, so the caller sees no success before.
func (r *run) Next() (postgres.Frame, error) {
	f, err := r.client.Next()
	if err != nil {
		return f, r.unknown("connection to upstream %s was lost: %v", r.header.Upstream, err)
	}
	switch f.Type {
	case typeReady:
		// Without a transaction the connection goes back with Release: once the queue has
		// it, another run may read from it and overwrite this message.
		if len(f.Body) == 1 && f.Body[0] != statusIdle {
			r.finish(true)
		}
	case typeParameterStatus:
		return f, r.position(f)
	}
	return f, nil
}

// position handles a report of a setting. A write's commit position waits for its
// acknowledgement.
func (r *run) position(f postgres.Frame) error {
	var m pgproto3.ParameterStatus
	if err := m.Decode(f.Body); err != nil || m.Name != positionParameter || r.kind == statement.Read {
		return nil
	}
	p, err := parsePosition(m.Value)
	if err != nil {
		return r.unknown("upstream %s reported no valid position", r.header.Upstream)
	}
	if r.gateway.in.settings.Acks == AckPrimary {
		return nil
	}
	r.finish(true)
	if outcome := r.gateway.acknowledge(r.header, p); outcome != failover.OutcomeAcknowledged {
		return r.unknown("no majority of the group holds the write at position %v in time", p)
	}
	return nil
}

// finish tells the queue that the upstream executes nothing for the run any more.
func (r *run) finish(keep bool) {
	g := r.gateway
	g.step(func(now time.Time) []queue.Decision {
		switch {
		case r.request != 0:
			list := g.queue.Finish(now, r.request, keep)
			r.request, r.held = 0, keep
			return list
		case r.held && !keep:
			r.held = false
			return g.queue.TransactionEnded(now, r.session)
		}
		return nil
	})
}

// unknown notes that the answer was lost after the batch was sent.
func (r *run) unknown(format string, args ...any) error {
	r.broken = true
	err := postgres.Refuse(postgres.Unknown, format, args...)
	r.gateway.in.log.Info("gateway: outcome unknown", "request", r.header.ID, "team", r.header.Team, "group", r.gateway.group,
		"upstream", r.header.Upstream, "term", r.header.Term, "kind", string(r.kind), "reason", err.Reason)
	return err
}

// Answered reports whether every message that was sent has its whole answer.
func (r *run) Answered() bool { return r.client.Answered() }

// Cancel implements postgres.Backend.
func (r *run) Cancel() { r.client.Cancel() }

// Release implements postgres.Backend.
func (r *run) Release(clean bool) {
	if clean && !r.broken {
		r.finish(false)
	} else {
		r.lose()
	}
	if r.write {
		r.gateway.endWrite()
	}
}

// lose gives the run's connection up.
func (r *run) lose() {
	g := r.gateway
	g.step(func(now time.Time) []queue.Decision {
		if c, ok := g.conns[r.conn]; ok {
			delete(g.conns, r.conn)
			go c.Close()
		}
		delete(g.ended, r.conn)
		return g.queue.ConnectionLost(now, r.conn)
	})
}

package instance

// A gateway holds the connections to one upstream and lets the queue decide whose
// statement runs next. Any instance can be the gateway of any upstream; which one is
// used is a matter of placement only. What must always hold rests on the upstream's
// own connection limit and on the term that each connection states.

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"burdockseam/core/config"
	"burdockseam/core/queue"
	"burdockseam/core/statement"
	"burdockseam/io/postgres"
)

const (
	// retryOpen is the wait after which a statement that could not start is tried again.
	retryOpen = 50 * time.Millisecond
	// reserve is the number of an upstream's connections that only a rescue gateway
	// uses, so that it can start while the first one still holds the rest.
	reserve = 4
	// dialTimeout bounds the opening of a connection, which usually takes 12 to 25 ms.
	dialTimeout = time.Second
)

type gateway struct {
	in      *Instance
	name    string // of the upstream
	group   string
	address string
	rescue  bool

	mu      sync.Mutex
	queue   *queue.Queue
	conns   map[uint64]*pooled
	waits   map[uint64]waiter
	ended   map[uint64]queue.Reason // by connection, for the run that still uses it
	serial  uint64
	closed  bool
	keys    keyTable
	holding hold
	acks    map[string]bool // replicas whose position is being awaited
	silent  int             // ticks in a row at which the upstream counted as cut off
}

// waiter is a request that waits for its turn, and the term that it is for.
type waiter struct {
	turn chan queue.Decision
	term uint64
}

// pooled is a connection and the term that it stated.
type pooled struct {
	*postgres.Client
	term uint64
	// retired connections are being closed and take no further statement.
	retired bool
}

func newGateway(in *Instance, u config.Upstream, rescue bool) *gateway {
	g := &gateway{
		in: in, name: u.Name, group: u.Group, address: u.Address, rescue: rescue,
		conns: make(map[uint64]*pooled), waits: make(map[uint64]waiter),
		ended: make(map[uint64]queue.Reason), acks: make(map[string]bool),
	}
	o := queue.Options{Policy: in.settings.Queue, Slots: u.Slots, Connections: max(u.Connections-reserve, 1)}
	if rescue {
		o.Connections, o.WarmConnections = min(reserve, u.Connections), 1
	}
	g.queue = queue.New(o)
	g.queue.Configure(in.config.Load().Teams)
	return g
}

// step runs one step of the queue and performs its decisions.
func (g *gateway) step(f func(now time.Time) []queue.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(f(g.in.now()))
}

// perform carries decisions out. The lock is held, so network calls run elsewhere.
func (g *gateway) perform(list []queue.Decision) {
	for _, d := range list {
		switch d.Kind {
		case queue.Start, queue.Refuse:
			if w, ok := g.waits[d.Request]; ok {
				w.turn <- d
				delete(g.waits, d.Request)
			}
		case queue.Open:
			g.in.control.task(dialTimeout, func(ctx context.Context) { g.openConnection(ctx, d.Connection) })
		case queue.Close:
			if c, ok := g.conns[d.Connection]; ok {
				g.ended[d.Connection] = d.Reason
				delete(g.conns, d.Connection)
				go c.Close()
			}
		}
	}
}

// openConnection opens a connection in the group's present term.
func (g *gateway) openConnection(ctx context.Context, id uint64) {
	g.in.control.mu.Lock()
	state, _, _ := g.in.control.node.State(g.group)
	g.in.control.mu.Unlock()
	c, err := g.dial(ctx, state.Term)
	if err != nil {
		g.in.log.Info("gateway: connection not opened", "upstream", g.name, "term", state.Term, "error", err.Error())
		g.step(func(now time.Time) []queue.Decision { return g.queue.ConnectionLost(now, id) })
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		go c.Close()
		return
	}
	g.conns[id] = c
	g.perform(g.queue.ConnectionOpened(g.in.now(), id))
}

const (
	// cutOff is the time without an answer to polls after which an upstream's
	// connections are given up. It exceeds a usual failover, about 2 s.
	cutOff = 3 * time.Second
	// cutTicks is the number of ticks for which that must last, so that an instance
	// that was itself paused hears the upstream first.
	cutTicks = 5
)

// hear gives the connections of an upstream up that has been silent for long. A cut
// network closes no connection, so statements under way would wait without end.
func (g *gateway) hear(silent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if silent < cutOff {
		g.silent = 0
		return
	}
	if g.silent++; g.silent != cutTicks {
		return
	}
	g.in.log.Info("gateway: connections given up", "upstream", g.name, "silent", silent.String(), "connections", len(g.conns))
	for _, c := range g.conns {
		go c.Close()
	}
}

// close ends the gateway. Running statements end with their connections.
func (g *gateway) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.perform(g.queue.Shutdown(g.in.now()))
	for _, c := range g.conns {
		go c.Close()
	}
}

// tick moves the queue on and returns the number of its statements.
func (g *gateway) tick() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.queue.Tick(g.in.now()))
	return g.queue.Queued() + g.queue.Running()
}

// open waits for the statement's turn and returns a connection.
func (g *gateway) open(ctx context.Context, h postgres.Header, b *postgres.Batch) (postgres.Backend, error) {
	write := b.Kind != statement.Read
	if write {
		if err := g.beginWrite(ctx, h.Term, h.Wait); err != nil {
			return nil, err
		}
	}
	backend, err := g.start(ctx, h, b, write)
	if err != nil {
		if write {
			g.endWrite()
		}
		return nil, err
	}
	return &idempotent{run: backend}, nil
}

func (g *gateway) start(ctx context.Context, h postgres.Header, b *postgres.Batch, write bool) (*run, error) {
	g.mu.Lock()
	g.serial++
	r := &run{gateway: g, header: h, write: write, session: g.serial}
	g.mu.Unlock()
	if err := r.turn(ctx, h.Wait, b.Kind == statement.Begin); err != nil {
		return nil, err
	}
	if err := r.connect(ctx); err != nil {
		r.lose()
		return nil, g.refuse(err)
	}
	return r, nil
}

// refuse tells why no connection was opened. Nothing has run.
func (g *gateway) refuse(err error) error {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return later(postgres.Refuse(postgres.NotRun, "upstream %s refused the connection: %s", g.name, pe.Code))
	}
	return later(postgres.Refuse(postgres.NotRun, "upstream %s cannot be reached", g.name))
}

// later marks a refusal as one that is worth another try within the deadline.
func later(r *postgres.Refusal) *postgres.Refusal {
	r.Retry = retryOpen
	return r
}

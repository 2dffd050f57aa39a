package instance

// A gateway owns the connections to one upstream, and its queue decides which statement
// runs next. Any instance can be the gateway of any upstream; placement decides which
// instance is. Safety doesn't depend on this choice: it rests on the upstream's own limit
// of connections and on the term that each connection states.

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
	// retryOpen is the delay before a statement that could not start is tried again.
	retryOpen = 50 * time.Millisecond
	// rescueConnections is the number of an upstream's connections that only a rescue
	// gateway uses, so that it can start while the first gateway still holds the others.
	rescueConnections = 4
	// dialTimeout bounds the opening of a connection, which usually takes 12 to 25 ms.
	dialTimeout = time.Second
)

// gateway is the gateway or the rescue gateway of one upstream at this instance.
type gateway struct {
	in       *Instance
	upstream string
	group    string
	address  string
	rescue   bool

	mu              sync.Mutex
	queue           *queue.Queue
	connections     map[uint64]*pooledConn
	waiters         map[uint64]waiter
	closeReasons    map[uint64]queue.Reason // by connection, until the run that used it has seen the reason
	lastID          uint64
	closed          bool
	keyTableChecked keyTableCheck
	holding         writeHold
	polledReplicas  map[string]bool // replicas that pollReplica runs for
	silentTicks     int             // successive ticks at which the upstream had been silent for silenceLimit
}

// waiter is a request that waits for its turn, and the term that the request is for.
type waiter struct {
	turn chan queue.Decision
	term uint64
}

// pooledConn is a connection and the term that the connection states.
type pooledConn struct {
	*postgres.Client
	term uint64
	// retired connections are about to be closed and take no further statement.
	retired bool
}

func newGateway(in *Instance, u config.Upstream, rescue bool) *gateway {
	g := &gateway{
		in: in, upstream: u.Name, group: u.Group, address: u.Address, rescue: rescue,
		connections: make(map[uint64]*pooledConn), waiters: make(map[uint64]waiter),
		closeReasons: make(map[uint64]queue.Reason), polledReplicas: make(map[string]bool),
	}
	o := queue.Options{Policy: in.settings.Queue, Slots: u.Slots, Connections: max(u.Connections-rescueConnections, 1)}
	if rescue {
		o.Connections, o.WarmConnections = min(rescueConnections, u.Connections), 1
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

// perform carries out decisions of the queue. The lock must be held, so network calls run
// in other goroutines.
func (g *gateway) perform(list []queue.Decision) {
	for _, d := range list {
		switch d.Kind {
		case queue.Start, queue.Refuse:
			if w, ok := g.waiters[d.Request]; ok {
				w.turn <- d
				delete(g.waiters, d.Request)
			}
		case queue.Open:
			g.in.control.task(dialTimeout, func(ctx context.Context) { g.openConnection(ctx, d.Connection) })
		case queue.Close:
			if c, ok := g.connections[d.Connection]; ok {
				g.closeReasons[d.Connection] = d.Reason
				delete(g.connections, d.Connection)
				go c.Close()
			}
		}
	}
}

// openConnection opens a connection in the group's current term.
func (g *gateway) openConnection(ctx context.Context, id uint64) {
	g.in.control.mu.Lock()
	state, _, _ := g.in.control.node.GroupState(g.group)
	g.in.control.mu.Unlock()
	c, err := g.dial(ctx, state.Term)
	if err != nil {
		g.in.log.Info("gateway: connection not opened", "upstream", g.upstream, "term", state.Term, "error", err.Error())
		g.step(func(now time.Time) []queue.Decision { return g.queue.ConnectionLost(now, id) })
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		go c.Close()
		return
	}
	g.connections[id] = c
	g.perform(g.queue.ConnectionOpened(g.in.now(), id))
}

const (
	// silenceLimit is the time without an answer to polls after which an upstream's
	// connections are closed. It is longer than a usual failover, which takes about 2 s.
	silenceLimit = 3 * time.Second
	// silenceTicks is the number of successive ticks for which the silence has to last, so
	// that an instance that was itself paused first receives the upstream's answers.
	silenceTicks = 5
)

// closeIfSilent closes all connections of an upstream that has been silent for long. A
// network partition closes no connection, so running statements would wait forever.
func (g *gateway) closeIfSilent(silent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if silent < silenceLimit {
		g.silentTicks = 0
		return
	}
	if g.silentTicks++; g.silentTicks != silenceTicks {
		return
	}
	g.in.log.Info("gateway: connections to a silent upstream closed", "upstream", g.upstream, "silent", silent.String(), "connections", len(g.connections))
	for _, c := range g.connections {
		go c.Close()
	}
}

// close shuts the gateway down. Running statements end with their connections.
func (g *gateway) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.perform(g.queue.Shutdown(g.in.now()))
	for _, c := range g.connections {
		go c.Close()
	}
}

// tick performs the work that is due in the queue and returns the number of statements
// that wait or run.
func (g *gateway) tick() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.queue.Tick(g.in.now()))
	return g.queue.Queued() + g.queue.Running()
}

// open waits for the statement's turn and returns its connection.
func (g *gateway) open(ctx context.Context, h postgres.Header, b *postgres.Batch) (postgres.Backend, error) {
	write := b.Kind != statement.Read
	if write {
		if err := g.beginWrite(ctx, h.Term, h.Wait); err != nil {
			return nil, err
		}
	}
	backend, err := g.startRun(ctx, h, b, write)
	if err != nil {
		if write {
			g.endWrite()
		}
		return nil, err
	}
	return &idempotentRun{run: backend}, nil
}

// startRun waits for the turn of the first batch of a run and connects the run.
func (g *gateway) startRun(ctx context.Context, h postgres.Header, b *postgres.Batch, write bool) (*run, error) {
	g.mu.Lock()
	g.lastID++
	r := &run{gateway: g, header: h, write: write, queueSession: g.lastID}
	g.mu.Unlock()
	if err := r.awaitTurn(ctx, h.Wait, b.Kind == statement.Begin); err != nil {
		return nil, err
	}
	if err := r.connect(ctx); err != nil {
		r.dropConnection()
		return nil, g.openRefusal(err)
	}
	return r, nil
}

// openRefusal returns the refusal for a connection that could not be opened. The
// statement has not run.
func (g *gateway) openRefusal(err error) error {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return retryable(postgres.NewRefusal(postgres.NotRun, "upstream %s refused the connection: %s", g.upstream, pe.Code))
	}
	return retryable(postgres.NewRefusal(postgres.NotRun, "upstream %s cannot be reached", g.upstream))
}

// retryable marks a refusal as one that may be retried within the deadline.
func retryable(r *postgres.Refusal) *postgres.Refusal {
	r.Retry = retryOpen
	return r
}

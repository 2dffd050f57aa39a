package postgres

// A server with a simple handler: for each batch, a session takes a connection to the
// only upstream from a pool.

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"burdockseam/io/upstreamtest"
)

// waitTimeout bounds the wait for a condition.
const waitTimeout = 20 * time.Second

// testPool is a pool of connections to one upstream.
type testPool struct {
	loop    *Loop
	options ConnectOptions
	slots   chan struct{}

	mu     sync.Mutex
	idle   []*Client
	opened int
	closed int
}

func newPool(loop *Loop, login ConnectOptions, size int) *testPool {
	return &testPool{loop: loop, options: login, slots: make(chan struct{}, size)}
}

// pooledClient is a connection that Release returns to its pool.
type pooledClient struct {
	*Client
	pool *testPool
}

func (p *testPool) open(ctx context.Context) (Backend, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, NewRefusal(NotRun, "no free connection")
	}
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.opened++
			p.mu.Unlock()
			break
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		select {
		case <-c.Done():
		default:
			return &pooledClient{c, p}, nil
		}
	}
	c, err := Dial(ctx, p.loop, p.options, time.Second)
	if err != nil {
		<-p.slots
		return nil, NewRefusal(NotRun, "cannot connect: %v", err)
	}
	return &pooledClient{c, p}, nil
}

// Release implements Backend.
func (b *pooledClient) Release(clean bool) {
	b.pool.mu.Lock()
	if clean {
		b.pool.idle = append(b.pool.idle, b.Client)
	} else {
		b.pool.closed++
	}
	b.pool.mu.Unlock()
	if !clean {
		b.Close()
	}
	<-b.pool.slots
}

// testHandler records the startup parameters and batches that it gets. Its fields
// determine the answers.
type testHandler struct {
	pool   *testPool
	retry  func(b *Batch, err error) bool
	login  func(s Startup) error
	quiet  bool // batches are not recorded
	closed atomic.Int64

	mu      sync.Mutex
	batches []Batch
	startup Startup
}

// testSession is a session of testHandler.
type testSession struct {
	*testHandler
	team string
}

// Login implements Handler.
func (h *testHandler) Login(_ context.Context, s Startup) (Session, error) {
	h.mu.Lock()
	h.startup = s
	h.mu.Unlock()
	if h.login != nil {
		if err := h.login(s); err != nil {
			return nil, err
		}
	} else if s.Key != "key" {
		return nil, errors.New("wrong key")
	}
	return &testSession{h, s.Team}, nil
}

func (h *testSession) record(b *Batch) {
	if h.quiet {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.batches = append(h.batches, *b)
}

// lastBatch returns the newest recorded batch.
func (h *testHandler) lastBatch() Batch {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.batches) == 0 {
		return Batch{}
	}
	return h.batches[len(h.batches)-1]
}

// Open implements Session.
func (h *testSession) Open(ctx context.Context, b *Batch) (Backend, error) {
	h.record(b)
	return h.pool.open(ctx)
}

// Check implements Session.
func (h *testSession) Check(context.Context) error { return nil }

// ShouldRetry implements Session.
func (h *testSession) ShouldRetry(b *Batch, err error) bool { return h.retry != nil && h.retry(b, err) }

// ObservePosition implements Session.
func (h *testSession) ObservePosition(position string) string { return "token-" + position }

// Close implements Session.
func (h *testSession) Close() { h.closed.Add(1) }

// fixture is a server with its handler and its upstream.
type fixture struct {
	group   *upstreamtest.Group
	loop    *Loop
	server  *Server
	handler *testHandler
	address string
}

func newLoop(t testing.TB) *Loop {
	t.Helper()
	loop, err := NewLoop(2)
	check(t, err)
	t.Cleanup(loop.Close)
	return loop
}

// startServer starts a server with a new upstream group of one primary. change may modify
// the server before it starts.
func startServer(t testing.TB, change func(*fixture)) *fixture {
	t.Helper()
	g := upstreamtest.New(upstreamtest.Options{Upstreams: 1})
	t.Cleanup(g.Close)
	return startServerFor(t, g, g.Primary().Addr(), change)
}

// startServerFor starts a server for the given upstream.
func startServerFor(t testing.TB, g *upstreamtest.Group, upstream string, change func(*fixture)) *fixture {
	t.Helper()
	f := &fixture{group: g, loop: newLoop(t)}
	login := ConnectOptions{Address: upstream, User: "proxy", Password: "secret", Database: "db"}
	f.handler = &testHandler{pool: newPool(f.loop, login, 4)}
	f.server = &Server{Loop: f.loop, Handler: f.handler, Log: logr.Discard(), StallTimeout: time.Second}
	if change != nil {
		change(f)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	f.address = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.server.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		check(t, <-done)
		f.server.Close()
		eventually(t, "callers are gone", func() bool { return f.server.Callers() == 0 })
	})
	return f
}

func (f *fixture) url() string {
	return "postgres://team:key@" + f.address + "/route?sslmode=disable"
}

// contextWithTimeout returns a context that ends with the test or after waitTimeout.
func contextWithTimeout(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

func (f *fixture) dial(t testing.TB) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(contextWithTimeout(t), f.url())
	check(t, err)
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func equal[T comparable](t testing.TB, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// eventually waits until a condition is met.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// receive waits for a value from a channel.
func receive[T any](t testing.TB, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(waitTimeout):
		t.Fatal("nothing was received")
	}
	return v
}

func exec(t testing.TB, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(contextWithTimeout(t), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// queryValue returns the single value in the result of a query.
func queryValue(t testing.TB, c *pgx.Conn, sql string, args ...any) string {
	t.Helper()
	var s string
	if err := c.QueryRow(contextWithTimeout(t), sql, args...).Scan(&s); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return s
}

// sqlState returns the SQLSTATE of an error, "" for nil, or the text of any other error.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

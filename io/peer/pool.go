package peer

import (
	"context"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"burdockseam/io/socket"
)

const (
	// defaultTimeout bounds calls whose context has no deadline.
	defaultTimeout = 5 * time.Second
	minBackoff     = 50 * time.Millisecond
	// maxBackoff is the heartbeat interval, so a peer that came back is found by the
	// next heartbeat or the one after it.
	maxBackoff = time.Second
	// maxTimeouts calls in a row without an answer close the connection, since a
	// network that has dropped packets may leave it stuck long after it is back.
	maxTimeouts = 3
	// silentFor is the time without any bytes, while a call waits, after which further
	// calls use a new connection: an open one may have gone silent for good while new ones
	// work. It is several round trips between regions.
	silentFor = 250 * time.Millisecond
	// retiredFor is the time for which a connection that was replaced stays open for the
	// calls that wait on it.
	retiredFor = 5 * time.Second
	// idleTimeout closes connections to peers that are no longer called, such as
	// replaced instances.
	idleTimeout = time.Minute
)

var (
	// Unavailable says that no answer came; whether the call ran is unknown.
	Unavailable = errs.Class("peer: unavailable")
	// Unsent says in addition that no connection could be opened, so the call did not run.
	Unsent = errs.Class("not sent")
	// Remote holds the error that the other instance returned: that of the method, or
	// that the request was not understood and did not run.
	Remote = errs.Class("peer: remote")
)

// Pool calls other instances. It keeps one connection for each.
type Pool struct {
	c        Config
	counters *counters

	mu     sync.Mutex
	peers  map[string]*peer
	swept  time.Time
	closed bool
}

type peer struct {
	addr  string
	slots chan struct{} // a value for each call in flight
	turn  chan struct{} // holds a value while a connection is opened

	// What follows is guarded by the pool's mutex.
	conn     *rpc.Client
	wire     *conn // under conn
	used     time.Time
	calls    int // in flight or waiting
	next     time.Time
	backoff  time.Duration
	timeouts int
}

// NewPool returns a pool without connections.
func NewPool(c Config) *Pool {
	if c.InFlight == 0 {
		c.InFlight = defaultInFlight
	}
	return &Pool{c: c, counters: newCounters(c.Metrics), peers: map[string]*peer{}}
}

// Close closes all connections. Calls in flight fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, e := range p.peers {
		if e.conn != nil {
			e.conn.Close()
		}
	}
}

// Call runs Name.Method at the instance with the given address and stores its result
// in reply, which is a pointer and stays unchanged unless the call succeeds. If a
// connection failed a short time ago, Call fails at once. Errors: Unavailable, Remote.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	p.counters.sent.Inc()
	err := p.call(ctx, addr, method, args, reply)
	if err != nil {
		p.counters.failed.Inc()
	}
	return err
}

func (p *Pool) call(ctx context.Context, addr, method string, args, reply any) error {
	if p.c.Cut.drops(addr, true) {
		<-ctx.Done()
		return Unavailable.Wrap(ctx.Err())
	}
	e, err := p.enter(addr)
	if err != nil {
		return err
	}
	defer p.leave(e)
	began := time.Now()
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		p.timedOut(ctx, e, began)
		return Unavailable.Wrap(ctx.Err())
	}
	release := func() { <-e.slots }
	conn, err := p.open(ctx, e)
	if err != nil {
		release()
		return Unavailable.Wrap(Unsent.Wrap(err))
	}
	// The library writes the result even after this call has given up, so it gets a
	// value of its own.
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, fresh.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		release()
	case <-ctx.Done():
		p.timedOut(ctx, e, began)
		// The slot stays taken until the library has dropped the call.
		go func() {
			<-call.Done
			release()
		}()
		return Unavailable.Wrap(ctx.Err())
	}
	var remote rpc.ServerError
	switch {
	case call.Error == nil && p.c.Cut.drops(addr, false):
		<-ctx.Done()
		return Unavailable.Wrap(ctx.Err())
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(fresh.Elem())
	case errors.As(call.Error, &remote):
	default:
		p.drop(e, conn)
		return Unavailable.Wrap(call.Error)
	}
	p.mu.Lock()
	e.timeouts = 0
	p.mu.Unlock()
	return Remote.Wrap(call.Error)
}

// enter finds or makes the peer's entry and closes connections that are idle.
func (p *Pool) enter(addr string) (*peer, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, Unavailable.New("the pool is closed")
	}
	if now.Sub(p.swept) > idleTimeout/4 {
		p.swept = now
		for a, e := range p.peers {
			if e.calls > 0 || now.Sub(e.used) < idleTimeout {
				continue
			}
			if e.conn != nil {
				e.conn.Close()
			}
			delete(p.peers, a)
		}
	}
	e := p.peers[addr]
	if e == nil {
		e = &peer{
			addr: addr, backoff: minBackoff,
			slots: make(chan struct{}, p.c.InFlight), turn: make(chan struct{}, 1),
		}
		p.peers[addr] = e
	}
	e.calls++
	e.used = now
	return e, nil
}

func (p *Pool) leave(e *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.calls--
	e.used = time.Now()
}

// open returns the peer's connection and opens it if there is none.
func (p *Pool) open(ctx context.Context, e *peer) (*rpc.Client, error) {
	select {
	case e.turn <- struct{}{}:
		defer func() { <-e.turn }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.mu.Lock()
	conn, next := e.conn, e.next
	p.mu.Unlock()
	switch {
	case conn != nil:
		return conn, nil
	case time.Now().Before(next):
		return nil, errors.New("connecting failed a short time ago")
	}
	nc, err := socket.Dial(ctx, e.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		e.next = time.Now().Add(e.backoff)
		e.backoff = min(2*e.backoff, maxBackoff)
		return nil, err
	}
	c := newConn(nc, p.counters)
	if p.closed {
		c.Close()
		return nil, net.ErrClosed
	}
	k := &clientCodec{c: c, enc: gob.NewEncoder(c), dec: gob.NewDecoder(c)}
	if err := k.enc.Encode(hello{p.c.Addr}); err != nil {
		c.Close()
		return nil, err
	}
	e.conn, e.wire, e.backoff, e.timeouts = rpc.NewClientWithCodec(k), c, minBackoff, 0
	return e.conn, nil
}

// drop closes a connection that failed.
func (p *Pool) drop(e *peer, conn *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.conn == conn {
		e.conn = nil
	}
	conn.Close()
}

// timedOut counts a call without an answer. Closing the connection ends the calls
// that still wait on it.
func (p *Pool) timedOut(ctx context.Context, e *peer, began time.Time) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	p.mu.Lock()
	e.timeouts++
	conn, stuck := e.conn, e.timeouts >= maxTimeouts
	if !stuck && conn != nil && time.Since(began) >= silentFor && e.wire.silentSince(began) {
		e.conn = nil
		time.AfterFunc(retiredFor, func() { conn.Close() })
	}
	p.mu.Unlock()
	if stuck && conn != nil {
		p.drop(e, conn)
	}
}

// clientCodec is net/rpc's gob codec with a bound on the length of responses.
type clientCodec struct {
	c   *conn
	enc *gob.Encoder
	dec *gob.Decoder
}

// WriteRequest implements rpc.ClientCodec.
func (k *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if err := k.enc.Encode(r); err != nil {
		return err
	}
	err := k.enc.Encode(body)
	if err != nil {
		// The header is out, so the stream cannot go on.
		k.c.Close()
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (k *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	k.c.nextMessage()
	return k.dec.Decode(r)
}

// ReadResponseBody implements rpc.ClientCodec.
func (k *clientCodec) ReadResponseBody(body any) error { return k.dec.Decode(body) }

// Close implements rpc.ClientCodec.
func (k *clientCodec) Close() error { return k.c.Close() }

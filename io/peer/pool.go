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
	// defaultCallTimeout applies to calls whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
	minBackoff         = 50 * time.Millisecond
	// maxBackoff is the heartbeat interval, so a peer that is reachable again is detected
	// by the next heartbeat or the one after it.
	maxBackoff = time.Second
	// maxConsecutiveTimeouts is the number of consecutive calls without a response after
	// which the connection is closed. After packet loss, a connection can stay stuck long
	// after the network has recovered.
	maxConsecutiveTimeouts = 3
	// silenceThreshold is the time without a received byte, while a call waits for its
	// response, after which further calls use a new connection. An open connection can stop
	// delivering data for good while new connections work. The threshold covers several
	// round trips between regions.
	silenceThreshold = 250 * time.Millisecond
	// replacedConnTTL is the time for which a replaced connection stays open for the calls
	// that still wait for a response on it.
	replacedConnTTL = 5 * time.Second
	// idleTimeout is the time without calls after which the connection to a peer is
	// closed, for example because the instance was replaced.
	idleTimeout = time.Minute
)

var (
	// Unavailable is the class of calls without a response; it is unknown whether the
	// method ran.
	Unavailable = errs.Class("peer: unavailable")
	// Unsent is the class of those Unavailable errors where no connection could be opened,
	// so the method did not run.
	Unsent = errs.Class("not sent")
	// Remote is the class of errors that the other instance returned: either the method
	// failed, or the request could not be decoded and the method did not run.
	Remote = errs.Class("peer: remote")
)

// Pool calls other instances. It keeps one connection to each of them.
type Pool struct {
	config   Config
	counters *counters

	mu        sync.Mutex
	entries   map[string]*poolEntry
	lastSweep time.Time // when idle entries were last removed
	closed    bool
}

// poolEntry is the pool's state for one peer.
type poolEntry struct {
	addr       string
	inFlight   chan struct{} // semaphore of the calls in flight
	connecting chan struct{} // semaphore of size 1, held while a connection is opened

	// The fields below are guarded by the pool's mutex.
	conn                *rpc.Client
	transport           *conn // the byte stream of conn
	lastUsed            time.Time
	activeCalls         int // calls in flight or waiting for a slot
	nextAttempt         time.Time
	backoff             time.Duration
	consecutiveTimeouts int
}

// NewPool returns a pool without connections. A connection is opened by the first call to
// its peer.
func NewPool(c Config) *Pool {
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	return &Pool{config: c, counters: newCounters(c.Metrics), entries: map[string]*poolEntry{}}
}

// Close closes all connections. Calls in flight fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, e := range p.entries {
		if e.conn != nil {
			e.conn.Close()
		}
	}
}

// Call runs a method, given as "Receiver.Method", at the instance with the given address.
// reply must be a pointer; Call stores the result in it only if the call succeeds. While
// the backoff after a failed connection attempt lasts, Call fails immediately. Errors:
// Unavailable, Remote.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	p.counters.calls.Inc()
	err := p.call(ctx, addr, method, args, reply)
	if err != nil {
		p.counters.failedCalls.Inc()
	}
	return err
}

func (p *Pool) call(ctx context.Context, addr, method string, args, reply any) error {
	if p.config.Partition.drops(addr, true) {
		<-ctx.Done()
		return Unavailable.Wrap(ctx.Err())
	}
	e, err := p.acquireEntry(addr)
	if err != nil {
		return err
	}
	defer p.releaseEntry(e)
	start := time.Now()
	select {
	case e.inFlight <- struct{}{}:
	case <-ctx.Done():
		p.recordTimeout(ctx, e, start)
		return Unavailable.Wrap(ctx.Err())
	}
	release := func() { <-e.inFlight }
	conn, err := p.connect(ctx, e)
	if err != nil {
		release()
		return Unavailable.Wrap(Unsent.Wrap(err))
	}
	// net/rpc may store the result after this call has returned, so it must not write
	// into reply.
	result := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		release()
	case <-ctx.Done():
		p.recordTimeout(ctx, e, start)
		// The call occupies its slot until net/rpc has finished with it.
		go func() {
			<-call.Done
			release()
		}()
		return Unavailable.Wrap(ctx.Err())
	}
	var remote rpc.ServerError
	switch {
	case call.Error == nil && p.config.Partition.drops(addr, false):
		<-ctx.Done()
		return Unavailable.Wrap(ctx.Err())
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(result.Elem())
	case errors.As(call.Error, &remote):
	default:
		p.discardConn(e, conn)
		return Unavailable.Wrap(call.Error)
	}
	p.mu.Lock()
	e.consecutiveTimeouts = 0
	p.mu.Unlock()
	return Remote.Wrap(call.Error)
}

// acquireEntry returns the entry of the peer, which it creates if necessary, and counts an
// active call in it. It also removes entries that have been idle for too long.
func (p *Pool) acquireEntry(addr string) (*poolEntry, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, Unavailable.New("the pool is closed")
	}
	if now.Sub(p.lastSweep) > idleTimeout/4 {
		p.lastSweep = now
		for a, e := range p.entries {
			if e.activeCalls > 0 || now.Sub(e.lastUsed) < idleTimeout {
				continue
			}
			if e.conn != nil {
				e.conn.Close()
			}
			delete(p.entries, a)
		}
	}
	e := p.entries[addr]
	if e == nil {
		e = &poolEntry{
			addr: addr, backoff: minBackoff,
			inFlight: make(chan struct{}, p.config.MaxInFlight), connecting: make(chan struct{}, 1),
		}
		p.entries[addr] = e
	}
	e.activeCalls++
	e.lastUsed = now
	return e, nil
}

// releaseEntry ends the active call that acquireEntry counted.
func (p *Pool) releaseEntry(e *poolEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.activeCalls--
	e.lastUsed = time.Now()
}

// connect returns the connection to the peer, which it opens if there is none.
func (p *Pool) connect(ctx context.Context, e *poolEntry) (*rpc.Client, error) {
	select {
	case e.connecting <- struct{}{}:
		defer func() { <-e.connecting }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.mu.Lock()
	conn, next := e.conn, e.nextAttempt
	p.mu.Unlock()
	switch {
	case conn != nil:
		return conn, nil
	case time.Now().Before(next):
		return nil, errors.New("the last connection attempt failed and its backoff has not passed")
	}
	nc, err := socket.Dial(ctx, e.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		e.nextAttempt = time.Now().Add(e.backoff)
		e.backoff = min(2*e.backoff, maxBackoff)
		return nil, err
	}
	c := newConn(nc, p.counters)
	if p.closed {
		c.Close()
		return nil, net.ErrClosed
	}
	k := &clientCodec{conn: c, enc: gob.NewEncoder(c), dec: gob.NewDecoder(c)}
	if err := k.enc.Encode(hello{p.config.Addr}); err != nil {
		c.Close()
		return nil, err
	}
	e.conn, e.transport, e.backoff, e.consecutiveTimeouts = rpc.NewClientWithCodec(k), c, minBackoff, 0
	return e.conn, nil
}

// discardConn closes a failed connection, so that the next call opens a new one.
func (p *Pool) discardConn(e *poolEntry, conn *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.conn == conn {
		e.conn = nil
	}
	conn.Close()
}

// recordTimeout counts a call whose deadline passed without a response. After
// maxConsecutiveTimeouts such calls it closes the connection, which fails the calls that
// still wait on it. If the connection was silent for the whole call, it is replaced but
// stays open for replacedConnTTL.
func (p *Pool) recordTimeout(ctx context.Context, e *poolEntry, start time.Time) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	p.mu.Lock()
	e.consecutiveTimeouts++
	conn, stuck := e.conn, e.consecutiveTimeouts >= maxConsecutiveTimeouts
	if !stuck && conn != nil && time.Since(start) >= silenceThreshold && e.transport.silentSince(start) {
		e.conn = nil
		time.AfterFunc(replacedConnTTL, func() { conn.Close() })
	}
	p.mu.Unlock()
	if stuck && conn != nil {
		p.discardConn(e, conn)
	}
}

// clientCodec is the gob codec of net/rpc with a limit on the size of responses.
type clientCodec struct {
	conn *conn
	enc  *gob.Encoder
	dec  *gob.Decoder
}

// WriteRequest implements rpc.ClientCodec.
func (k *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if err := k.enc.Encode(r); err != nil {
		return err
	}
	err := k.enc.Encode(body)
	if err != nil {
		// The header is already queued without its body, so the stream is unusable.
		k.conn.Close()
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (k *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	k.conn.resetReadLimit()
	return k.dec.Decode(r)
}

// ReadResponseBody implements rpc.ClientCodec.
func (k *clientCodec) ReadResponseBody(body any) error { return k.dec.Decode(body) }

// Close implements rpc.ClientCodec.
func (k *clientCodec) Close() error { return k.conn.Close() }

package peer

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// queueBytes bounds what waits to be sent on one connection. It holds two
	// messages of the largest size.
	queueBytes = 2 * maxMessage
	// maxMessage bounds one request or response in bytes. The largest is a
	// configuration's files, each under 1 MB.
	maxMessage = 8 << 20
)

var (
	errQueueFull = errors.New("the send queue is full")
	errTooLong   = errors.New("the message is too long")
)

// conn counts bytes and sends in the background, so that a peer that stopped reading
// cannot hold a caller beyond its context.
type conn struct {
	net.Conn
	in, out *metrics.Counter

	// heard is when bytes came last, in nanoseconds since started.
	heard atomic.Int64

	// left is how much the present message may still take from the connection. Only
	// the goroutine that reads uses it.
	left int

	mu     sync.Mutex
	queue  []byte
	closed bool
	wake   chan struct{}
}

func newConn(nc net.Conn, m *counters) *conn {
	c := &conn{Conn: nc, in: m.in, out: m.out, left: maxMessage, wake: make(chan struct{}, 1)}
	c.heard.Store(int64(time.Since(started)))
	go c.send()
	return c
}

// Read implements io.Reader.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(n)
	if n > 0 {
		c.heard.Store(int64(time.Since(started)))
	}
	if c.left -= n; c.left < 0 {
		return 0, errTooLong
	}
	return n, err
}

// silentSince reports whether nothing came since a time.
func (c *conn) silentSince(at time.Time) bool {
	return time.Duration(c.heard.Load()) < at.Sub(started)
}

// started is the time from which connections count.
var started = time.Now()

// nextMessage allows another message of the full length.
func (c *conn) nextMessage() { c.left = maxMessage }

// Write queues the bytes. It fails if the peer takes too little.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case len(c.queue)+len(b) > queueBytes:
		return 0, errQueueFull
	}
	c.queue = append(c.queue, b...)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

func (c *conn) send() {
	for range c.wake {
		c.mu.Lock()
		b := c.queue
		c.queue = nil
		c.mu.Unlock()
		n, err := c.Conn.Write(b)
		c.out.Add(n)
		if err != nil {
			c.Close()
		}
	}
}

// Close implements io.Closer. What is queued may be lost.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.wake)
	}
	return c.Conn.Close()
}

var _ io.ReadWriteCloser = (*conn)(nil)

// Cut drops messages for tests. The zero value drops nothing.
type Cut struct {
	mu       sync.Mutex
	to, from func(peer string) bool
}

// Set chooses the peers, by the addresses of their servers, to which and from which
// nothing passes any more; nil stands for none. Calls hang until their context ends.
func (c *Cut) Set(to, from func(peer string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.to, c.from = to, from
}

func (c *Cut) drops(peer string, to bool) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	match := c.from
	if to {
		match = c.to
	}
	return match != nil && match(peer)
}

type counters struct {
	in, out, sent, failed, served *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &counters{
		in:     set.GetOrCreateCounter(`burdockseam_peer_bytes_total{direction="in"}`),
		out:    set.GetOrCreateCounter(`burdockseam_peer_bytes_total{direction="out"}`),
		sent:   set.GetOrCreateCounter(`burdockseam_peer_calls_total`),
		failed: set.GetOrCreateCounter(`burdockseam_peer_failed_calls_total`),
		served: set.GetOrCreateCounter(`burdockseam_peer_served_calls_total`),
	}
}

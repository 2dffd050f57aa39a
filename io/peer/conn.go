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
	// maxQueuedBytes bounds the send queue of one connection. The queue has room for two
	// messages of the maximum size.
	maxQueuedBytes = 2 * maxMessageBytes
	// maxMessageBytes bounds one request or response. The largest message carries the
	// files of a configuration, each of which is smaller than 1 MB.
	maxMessageBytes = 8 << 20
)

var (
	errQueueFull = errors.New("the send queue of the connection is full")
	// errMessageTooLong reaches the other instance as the text of the response's error.
	errMessageTooLong = errors.New("the message is too long")
)

// conn is a connection to another instance. It counts the transferred bytes, limits the
// size of incoming messages and sends from a queue in the background, so that a peer that
// has stopped reading cannot block a call beyond the deadline of its context.
type conn struct {
	net.Conn
	bytesIn, bytesOut *metrics.Counter

	// lastReceived is the time of the last received byte, in nanoseconds since processStart.
	lastReceived atomic.Int64

	// readLimit is the number of bytes that the current message may still read. Only the
	// reading goroutine uses it.
	readLimit int

	mu     sync.Mutex
	queue  []byte
	closed bool
	wake   chan struct{} // signals sendQueued that the queue is not empty
}

func newConn(nc net.Conn, m *counters) *conn {
	c := &conn{Conn: nc, bytesIn: m.bytesIn, bytesOut: m.bytesOut, readLimit: maxMessageBytes, wake: make(chan struct{}, 1)}
	c.lastReceived.Store(int64(time.Since(processStart)))
	go c.sendQueued()
	return c
}

// Read implements io.Reader.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesIn.Add(n)
	if n > 0 {
		c.lastReceived.Store(int64(time.Since(processStart)))
	}
	if c.readLimit -= n; c.readLimit < 0 {
		return 0, errMessageTooLong
	}
	return n, err
}

// silentSince reports whether no byte was received since the given time.
func (c *conn) silentSince(at time.Time) bool {
	return time.Duration(c.lastReceived.Load()) < at.Sub(processStart)
}

// processStart is the reference point of conn.lastReceived.
var processStart = time.Now()

// resetReadLimit allows the next message to have the maximum size.
func (c *conn) resetReadLimit() { c.readLimit = maxMessageBytes }

// Write implements io.Writer. It appends the bytes to the send queue without blocking
// and fails if the queue is full because the peer reads too slowly.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case len(c.queue)+len(b) > maxQueuedBytes:
		return 0, errQueueFull
	}
	c.queue = append(c.queue, b...)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// sendQueued sends the queued bytes until the connection is closed.
func (c *conn) sendQueued() {
	for range c.wake {
		c.mu.Lock()
		b := c.queue
		c.queue = nil
		c.mu.Unlock()
		n, err := c.Conn.Write(b)
		c.bytesOut.Add(n)
		if err != nil {
			c.Close()
		}
	}
}

// Close implements io.Closer. Queued bytes may not be sent.
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

// Partition simulates a network partition in tests by dropping messages. The zero value
// drops none.
type Partition struct {
	mu               sync.Mutex
	dropTo, dropFrom func(peer string) bool
}

// Set replaces the functions that select the peers, by the addresses of their servers, to
// which and from which all messages are dropped. A nil function selects no peer. Calls
// whose messages are dropped block until their context ends.
func (p *Partition) Set(to, from func(peer string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropTo, p.dropFrom = to, from
}

// drops reports whether messages to the peer, or from it if outgoing is false, are dropped.
func (p *Partition) drops(peer string, outgoing bool) bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	match := p.dropFrom
	if outgoing {
		match = p.dropTo
	}
	return match != nil && match(peer)
}

// counters holds the metrics of a Server or Pool. The call counters count calls that were
// sent, sent calls that failed, and calls of other instances that were served.
type counters struct {
	bytesIn, bytesOut, calls, failedCalls, servedCalls *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &counters{
		bytesIn:     set.GetOrCreateCounter(`burdockseam_peer_bytes_total{direction="in"}`),
		bytesOut:    set.GetOrCreateCounter(`burdockseam_peer_bytes_total{direction="out"}`),
		calls:       set.GetOrCreateCounter(`burdockseam_peer_calls_total`),
		failedCalls: set.GetOrCreateCounter(`burdockseam_peer_failed_calls_total`),
		servedCalls: set.GetOrCreateCounter(`burdockseam_peer_served_calls_total`),
	}
}

package postgres

// A Conn reads whole protocol messages from a socket that an nbio poller watches.
//
// An idle connection has no goroutine and no buffer. The poller's callback only reads
// bytes into the buffer and never blocks. When the buffer has reached its limit, the
// remaining bytes stay in the kernel, which slows the sender down, and the consumer
// continues to read the socket when it has freed space. The poller is edge triggered,
// so a connection that is not read causes no further events.
//
// Invariant: bytes before off are consumed, bytes from off to len(in) are not. The
// array behind in is never overwritten while a consumer may hold a message that points
// into it; only the consumer's next read makes the consumed part reusable.

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("postgres")

// Errors that end a connection.
var (
	ErrTooLarge = Error.New("message is longer than the limit")
	ErrLength   = Error.New("message has an invalid length")
	ErrStalled  = Error.New("peer did not read its answer in time")
)

const (
	// readLimit bounds the buffered bytes of a connection that are not consumed, beyond
	// one message.
	readLimit = 64 << 10
	// writeLimit bounds the unsent bytes of a connection, beyond one write.
	writeLimit = 64 << 10
	// minRead is the smallest free space in the buffer for which a read is made; below it
	// the buffer grows.
	minRead = 1 << 10
	// firstBufferSize is the size of a connection's first buffer. Most requests fit.
	firstBufferSize = 4 << 10
	// MaxMessage is the length of the longest accepted message, in bytes.
	MaxMessage = 16 << 20
	// headerBytes is the length of a message's type and length fields.
	headerBytes = 5
)

// Frame is one protocol message. Raw includes the header and Body does not; both
// are valid until the next read from the connection.
type Frame struct {
	Type byte
	Raw  []byte
	Body []byte
}

// Conn is a connection that carries messages of the PostgreSQL protocol.
type Conn struct {
	nb           *nbio.Conn
	loop         *Loop
	stallTimeout time.Duration

	mu         sync.Mutex
	readable   sync.Cond
	in         []byte
	off        int
	messageLen int // length of the message at off; 0 if not known yet, -1 if invalid
	max        int // length of the longest message accepted at present
	untyped    bool
	parked     bool
	onWake     func()
	onClose    func()
	err        error

	mayHaveMore bool // the socket may hold bytes for which no event will come
	discard     bool // received bytes are thrown away
	handshaking bool // a TLS handshake reads the socket
	tls         *tls.Conn

	encrypted atomic.Bool

	unsent    atomic.Int64
	drained   chan struct{} // receives a value when unsent has decreased
	done      chan struct{}
	closeOnce sync.Once
}

// ReadFrame waits for a whole message. It fails if the connection has failed or the
// message is longer than the limit.
func (c *Conn) ReadFrame() (Frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reuseBuffer()
	for {
		f, ok, err := c.nextFrame()
		if ok || err != nil {
			return f, err
		}
		c.readable.Wait()
	}
}

// TryFrame returns a message if a whole one has arrived. Otherwise it parks the
// connection: the wake function is called when there is something to read.
func (c *Conn) TryFrame() (f Frame, ok bool, err error) {
	return c.tryFrame(func() bool { return false })
}

// tryFrame is TryFrame, but returns errSessionEnd instead of parking the connection if
// shouldEnd returns true.
func (c *Conn) tryFrame(shouldEnd func() bool) (f Frame, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reuseBuffer()
	if f, ok, err = c.nextFrame(); !ok && err == nil {
		if shouldEnd() {
			return Frame{}, false, errSessionEnd
		}
		c.parked = true
		if c.off == len(c.in) {
			c.recycleBuffer()
		}
	}
	return f, ok, err
}

// pollFrame is TryFrame, but does not park the connection.
func (c *Conn) pollFrame() (f Frame, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reuseBuffer()
	return c.nextFrame()
}

// park makes the wake function be called when there is something to read.
func (c *Conn) park() {
	c.mu.Lock()
	c.parked = true
	c.notify()
	c.mu.Unlock()
}

// unpark reverts park.
func (c *Conn) unpark() {
	c.mu.Lock()
	c.parked = false
	c.mu.Unlock()
}

// hasUnexpected reports whether a message has arrived that an upstream sends only as
// an answer, or the connection has ended.
func (c *Conn) hasUnexpected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for rest := c.in[c.off:]; len(rest) > 0; {
		f, next, ok := splitFrame(rest)
		if !ok {
			break
		}
		if !isAsynchronous(f.Type) {
			return true
		}
		rest = next
	}
	return c.err != nil || c.messageLen < 0 || c.messageLen > c.max
}

// Wake calls the wake function of a parked connection although there is nothing to
// read.
func (c *Conn) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parked {
		c.parked = false
		c.loop.runJob(c.onWake)
	}
}

// OnClose sets a function that is called once when the connection ends. The function
// must not block.
func (c *Conn) OnClose(f func()) {
	c.mu.Lock()
	c.onClose = f
	ended := c.err != nil
	c.mu.Unlock()
	if ended {
		f()
	}
}

// SetMaxMessage bounds the length of the following messages, in bytes.
func (c *Conn) SetMaxMessage(n int) {
	c.mu.Lock()
	c.max = n
	c.mu.Unlock()
}

// ExpectTyped switches from startup messages, which have no type byte, to all others.
func (c *Conn) ExpectTyped() {
	c.mu.Lock()
	c.untyped = false
	c.messageLen = 0
	c.mu.Unlock()
}

// Write sends b. It blocks while more than writeLimit bytes are unsent, and fails with
// ErrStalled if the peer does not take them within the stall timeout.
func (c *Conn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		if err := c.waitUnsent(writeLimit); err != nil {
			return sent, err
		}
		part := b[sent:min(len(b), sent+writeLimit)]
		if err := c.writePart(part); err != nil {
			c.fail(err)
			return sent, Error.Wrap(err)
		}
		sent += len(part)
	}
	return sent, nil
}

// Close ends the connection at once.
func (c *Conn) Close() {
	c.fail(net.ErrClosed)
	// An error means that the socket is closed already.
	_ = c.nb.Close()
}

// CloseFlushed ends the connection when the peer has taken all bytes that were
// written, or after the stall timeout.
func (c *Conn) CloseFlushed() {
	// If the peer takes nothing more, the connection ends without the remaining bytes.
	_ = c.waitUnsent(0)
	c.Close()
}

// CloseLingering is CloseFlushed for a peer that may still be sending. Closing a socket
// with unread bytes makes the kernel drop what the peer has not read yet, so incoming
// bytes are read and thrown away until the peer has closed, at most for the given time.
func (c *Conn) CloseLingering(limit time.Duration) {
	// If the peer takes nothing more, the connection ends without the remaining bytes.
	_ = c.waitUnsent(0)
	c.mu.Lock()
	c.discard = true
	c.fillBuffer()
	c.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-timer.C:
	}
	c.Close()
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// SetDeadline makes the connection close at t unless another deadline is set before;
// the zero time removes the deadline.
func (c *Conn) SetDeadline(t time.Time) error { return Error.Wrap(c.nb.SetReadDeadline(t)) }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.nb.RemoteAddr() }

// waitUnsent waits until at most limit bytes are unsent. It closes the connection
// after the stall timeout.
func (c *Conn) waitUnsent(limit int64) error {
	if c.unsent.Load() <= limit {
		return nil
	}
	timer := time.NewTimer(c.stallTimeout)
	defer timer.Stop()
	for c.unsent.Load() > limit {
		select {
		case <-c.drained:
		case <-c.done:
			return Error.Wrap(net.ErrClosed)
		case <-timer.C:
			c.Close()
			return ErrStalled
		}
	}
	return nil
}

// onWritten counts n bytes as sent. The event loop calls it.
func (c *Conn) onWritten(n int) {
	c.unsent.Add(-int64(n))
	select {
	case c.drained <- struct{}{}:
	default:
	}
}

// onReadable reads the bytes that have arrived and reports whether it woke a consumer.
func (c *Conn) onReadable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handshaking {
		c.readable.Broadcast()
		return true
	}
	c.fillBuffer()
	return c.notify()
}

// fail records the error that ended the connection, wakes the consumer and calls the
// close function.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		if err == nil {
			err = io.EOF
		}
		c.err = err
	}
	c.notify()
	onClose := c.onClose
	c.mu.Unlock()
	c.closeOnce.Do(func() {
		close(c.done)
		if onClose != nil {
			onClose()
		}
	})
}

// notify wakes the consumer if there is something to read, and reports whether there
// is. The lock is held.
func (c *Conn) notify() bool {
	if !c.hasMessage() && c.err == nil {
		return false
	}
	c.readable.Broadcast()
	if c.parked {
		c.parked = false
		c.loop.runJob(c.onWake)
	}
	return true
}

// reuseBuffer makes the buffer writable again if all of it is consumed. Only the
// consumer calls it.
func (c *Conn) reuseBuffer() {
	if c.off == len(c.in) {
		c.in, c.off = c.in[:0], 0
	}
}

// nextFrame takes a whole message from the buffer. The lock is held.
func (c *Conn) nextFrame() (Frame, bool, error) {
	if !c.hasMessage() && c.mayHaveMore {
		c.fillBuffer()
	}
	if !c.hasMessage() {
		if c.err != nil {
			return Frame{}, false, Error.Wrap(c.err)
		}
		return Frame{}, false, nil
	}
	if c.messageLen < 0 {
		return Frame{}, false, ErrLength
	}
	if c.messageLen > c.max {
		return Frame{}, false, ErrTooLarge
	}
	raw := c.in[c.off : c.off+c.messageLen : c.off+c.messageLen]
	c.off += c.messageLen
	c.messageLen = 0
	if c.untyped {
		return Frame{Raw: raw, Body: raw[headerBytes-1:]}, true, nil
	}
	return Frame{Type: raw[0], Raw: raw, Body: raw[headerBytes:]}, true, nil
}

// hasMessage reports whether the buffer holds a whole message, or the header of a
// message that is rejected for its length. The lock is held.
func (c *Conn) hasMessage() bool {
	if c.discard {
		return false
	}
	unread := c.in[c.off:]
	if c.messageLen == 0 {
		prefix := 1
		if c.untyped {
			prefix = 0
		}
		if len(unread) < prefix+4 {
			return false
		}
		length := int64(binary.BigEndian.Uint32(unread[prefix:]))
		if length < 4 {
			c.messageLen = -1
		} else {
			c.messageLen = int(length) + prefix
		}
	}
	return c.messageLen < 0 || c.messageLen > c.max || len(unread) >= c.messageLen
}

// fillBuffer reads until the socket is empty or the limit is reached. The lock is held.
func (c *Conn) fillBuffer() {
	for c.err == nil {
		if c.discard {
			c.in, c.off, c.messageLen = c.in[:0], 0, 0
		}
		unread := len(c.in) - c.off
		c.mayHaveMore = true
		if unread >= readLimit && (c.messageLen < 0 || c.messageLen > c.max || unread >= c.messageLen) {
			return
		}
		if cap(c.in)-len(c.in) < minRead {
			c.growBuffer(unread)
		}
		space := c.in[len(c.in):cap(c.in)]
		n, err := c.read(space)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			c.mayHaveMore = false
			return
		case err != nil:
			c.err = err
		case n == 0:
			c.err = io.EOF
		default:
			c.in = c.in[:len(c.in)+n]
			c.hasMessage()
			if n < len(space) && c.tls == nil {
				// The socket is empty. The event loop reports it if the peer has closed.
				c.mayHaveMore = false
				return
			}
		}
	}
}

// read returns the bytes that have arrived, or syscall.EAGAIN. The lock is held.
func (c *Conn) read(b []byte) (int, error) {
	if c.tls != nil {
		return c.tls.Read(b)
	}
	return c.nb.Read(b)
}

// bufferPool holds the first buffers of connections that have become idle.
var bufferPool = sync.Pool{New: func() any { return new([firstBufferSize]byte) }}

// growBuffer moves the unread bytes to a larger array. The old array is left as it is,
// since a consumer may still hold a message in it.
func (c *Conn) growBuffer(unread int) {
	if unread == 0 && c.in == nil {
		if first, ok := bufferPool.Get().(*[firstBufferSize]byte); ok {
			c.in, c.off = first[:0], 0
			return
		}
	}
	size := max(firstBufferSize, 2*unread)
	if c.messageLen > 0 && c.messageLen <= c.max {
		// The array grows with the bytes that have arrived, not with the announced length.
		size = min(size, c.messageLen+firstBufferSize)
		size = max(size, unread+minRead)
	}
	in := make([]byte, unread, size)
	copy(in, c.in[c.off:])
	c.in, c.off = in, 0
}

// recycleBuffer releases the empty buffer of a connection that becomes idle. No
// message in the buffer is in use any more.
func (c *Conn) recycleBuffer() {
	if cap(c.in) == firstBufferSize {
		bufferPool.Put((*[firstBufferSize]byte)(c.in[:firstBufferSize]))
	}
	c.in, c.off = nil, 0
}

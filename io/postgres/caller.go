package postgres

// A caller's connection is a small state machine: startup, password, ready. It has
// a goroutine only while it has a message to handle. Messages of the extended
// protocol are collected up to Sync and passed on as one batch.

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushAt is the number of answer bytes that are collected before they are written.
const flushAt = 16 << 10

// Parameters by which positions and tokens are reported.
const (
	ParameterToken    = "burdockseam.token"
	parameterPosition = "group.position"
	// parameterStandby is reported by a replica that becomes a primary; it is no setting.
	parameterStandby = "in_hot_standby"
)

type phase string

const (
	phaseStartup  phase = "startup"
	phasePassword phase = "password"
	phaseReady    phase = "ready"
)

// socket is what a caller needs of its Conn.
type socket interface {
	tryFrame(leave func() bool) (Frame, bool, error)
	Write(b []byte) (int, error)
	SetMax(n int)
	Typed()
	StartTLS(config *tls.Config) error
	SetDeadline(t time.Time) error
	RemoteAddr() net.Addr
	Wake()
	Close()
	CloseFlushed()
	CloseLingering(limit time.Duration)
}

type caller struct {
	server *Server
	ctx    context.Context
	cancel context.CancelFunc
	opened chan struct{}
	conn   socket
	phase  phase
	tls    bool
	// startup is kept from the startup message to the password.
	startup *Startup

	// work is nil while the caller is idle.
	*work

	names       names
	unnamed     *prepared
	idempotency string
	// skip ignores messages up to Sync; refused says that the proxy itself refused
	// one, so that the upstream does not know of it.
	skip, refused bool

	backend  Backend
	status   byte // transaction status that the caller was told last
	pipeline bool // a part of a batch was sent and no Sync yet
	readOnly bool // the transaction was begun as READ ONLY
	dirty    bool // the backend must not be reused
	written  bool // a byte of the present answer may have been written
	erred    bool // the present answer has an error
	left     bool // the caller was told that the session ends

	// busy says that a request runs or a transaction is open.
	busy atomic.Bool
	// reason is set when the session must end before its next statement.
	reason atomic.Pointer[string]

	// These are guarded by the server's lock until the login is complete.
	session Session
	kicks   []kick
	pid     uint32
	secret  []byte

	mu        sync.Mutex
	running   Backend // set while a batch runs, for cancel requests
	cancelled bool    // a cancel request was sent on running
}

// work is what a caller needs while it has something to do.
type work struct {
	col     collected
	replies replies
	out     []byte
}

var works = sync.Pool{New: func() any { return new(work) }}

// lingerLimit bounds the wait for a caller to close after it was told to go.
const lingerLimit = time.Second

// keptWork bounds the buffers that are kept for the next caller, in bytes.
const keptWork = 2 * flushAt

// rest gives the work space back if nothing is pending.
func (c *caller) rest() {
	w := c.work
	if len(w.out) > 0 || len(w.col.replies) > 0 {
		return
	}
	if cap(w.out) <= keptWork && cap(w.col.batch.Frames) <= keptWork && cap(w.col.replies) <= keptReplies {
		if cap(w.replies.queue) > keptReplies || cap(w.replies.dropped) > keptReplies {
			w.replies = replies{}
		}
		clear(w.replies.queue)
		clear(w.replies.dropped)
		works.Put(w)
	}
	c.work = nil
}

// errLeave ends a session that is idle when it must end.
var errLeave = Error.New("session ends")

// mayLeave reports whether the session must end and is idle. It is called when the
// caller becomes idle.
func (c *caller) mayLeave() bool {
	if c.reason.Load() != nil || c.server.draining.Load() && !c.busy.Load() {
		return true
	}
	c.rest()
	return false
}

// kick ends the session before its next statement.
func (c *caller) kick(reason string) {
	c.reason.Store(&reason)
	c.conn.Wake()
}

func (c *caller) hasSecret(secret []byte) bool {
	return len(c.secret) > 0 && subtle.ConstantTimeCompare(c.secret, secret) == 1
}

// cancelRunning cancels what runs on the upstream. The connection is not reused
// afterwards, since the cancellation may arrive late.
func (c *caller) cancelRunning() {
	c.mu.Lock()
	b := c.running
	c.cancelled = c.cancelled || b != nil
	c.mu.Unlock()
	if b != nil {
		b.Cancel()
	}
}

// setRunning tells cancel requests what runs.
func (c *caller) setRunning(b Backend) {
	c.mu.Lock()
	c.running = b
	c.mu.Unlock()
}

// release gives the backend back.
func (c *caller) release(clean bool) {
	c.mu.Lock()
	c.running = nil
	clean = clean && !c.cancelled && !c.dirty
	c.cancelled = false
	c.mu.Unlock()
	c.backend.Release(clean)
	c.backend = nil
	c.status, c.pipeline, c.readOnly, c.dirty = 'I', false, false, false
}

// leave tells the caller why the session ends.
func (c *caller) leave() {
	reason := "the instance is shutting down"
	if r := c.reason.Load(); r != nil {
		reason = *r
	}
	c.left = true
	m := fatal(stateShutdown, reason)
	m.Detail = string(NotRun) + ": " + reason
	c.tell(m)
}

// run handles messages until there is none left. It runs in one goroutine at a time.
func (c *caller) run() {
	<-c.opened
	if c.work == nil {
		c.work, _ = works.Get().(*work)
	}
	for {
		f, ok, err := c.conn.tryFrame(c.mayLeave)
		if err != nil {
			c.reject(err)
			return
		}
		if !ok {
			return
		}
		if !c.handle(f) {
			c.end()
			return
		}
	}
}

func (c *caller) handle(f Frame) bool {
	switch c.phase {
	case phaseStartup:
		return c.handleStartup(f)
	case phasePassword:
		return c.handlePassword(f)
	default:
		return c.handleMessage(f)
	}
}

// reject tells the caller why its connection ends, if it is still there.
func (c *caller) reject(err error) {
	if errors.Is(err, errLeave) {
		c.leave()
	}
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrLength) {
		c.tell(fatal(stateProtocol, err.Error()))
	}
	c.end()
}

func (c *caller) end() {
	if c.backend != nil {
		c.release(false)
	}
	if c.left {
		c.conn.CloseLingering(lingerLimit)
	} else {
		c.conn.CloseFlushed()
	}
	c.cancel()
	if c.session != nil {
		c.session.Close()
	}
	c.busy.Store(false)
	// Drain returns once no caller is left, so that the session is closed before.
	c.server.remove(c)
}

func (c *caller) handleMessage(f Frame) bool {
	if c.reason.Load() != nil {
		c.leave()
		return false
	}
	switch f.Type {
	case typeTerminate:
		return false
	case typeQuery:
		return c.query(f)
	case typeSync:
		return c.sync()
	case typeFlush:
		return c.flushMessage()
	}
	if c.skip {
		return true
	}
	if err := c.collect(f); err != nil {
		c.refuse(err)
		return c.flush()
	}
	return true
}

func (c *caller) flush() bool {
	if len(c.out) == 0 {
		return true
	}
	c.written = true
	ok := c.write(c.out)
	c.out = c.out[:0]
	return ok
}

func (c *caller) write(b []byte) bool {
	_, err := c.conn.Write(b)
	return err == nil
}

// put appends a message to what is written next.
func (c *caller) put(m pgproto3.BackendMessage) {
	out, err := m.Encode(c.out)
	if err != nil {
		c.server.Log.Error(err, "caller: cannot encode message")
		return
	}
	c.out = out
}

// tell writes messages at once.
func (c *caller) tell(messages ...pgproto3.BackendMessage) bool {
	for _, m := range messages {
		c.put(m)
	}
	return c.flush()
}

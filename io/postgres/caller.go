package postgres

// A caller's connection is a state machine with the phases startup, password and
// ready. It has a goroutine only while it has a message to handle. Messages of the
// extended query protocol are collected up to a Sync or Flush and sent as one batch.

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

// flushThreshold is the number of answer bytes that are collected before they are
// written to the caller.
const flushThreshold = 16 << 10

// Names of the parameters in which session tokens, positions in the log and the
// role of an upstream are reported.
const (
	ParameterToken    = "burdockseam.token"
	parameterPosition = "group.position"
	// parameterStandby is reported by a replica that becomes a primary; it is not a
	// setting of the connection.
	parameterStandby = "in_hot_standby"
)

type phase string

const (
	phaseStartup  phase = "startup"
	phasePassword phase = "password"
	phaseReady    phase = "ready"
)

// callerConn is the part of Conn that a caller uses.
type callerConn interface {
	tryFrame(shouldEnd func() bool) (Frame, bool, error)
	Write(b []byte) (int, error)
	SetMaxMessage(n int)
	ExpectTyped()
	StartTLS(config *tls.Config) error
	SetDeadline(t time.Time) error
	RemoteAddr() net.Addr
	Wake()
	Close()
	CloseFlushed()
	CloseLingering(limit time.Duration)
}

// caller is one connection of a caller, with its session after the login.
type caller struct {
	server     *Server
	ctx        context.Context
	cancel     context.CancelFunc
	registered chan struct{}
	conn       callerConn
	phase      phase
	tls        bool
	// startup is kept from the startup message until the password arrives.
	startup *Startup

	// workspace is nil while the caller is idle.
	*workspace

	// names and unnamed are the prepared statements of the session.
	names          namedStatements
	unnamed        *prepared
	idempotencyKey string
	// skipToSync makes the caller's messages up to the next Sync be ignored, as after an
	// error. refusedByProxy says that the error came from the proxy, so that the
	// upstream does not know of it.
	skipToSync, refusedByProxy bool

	backend       Backend
	status        byte // transaction status as last reported to the caller
	pipelineOpen  bool // a part of a batch was sent without its Sync
	readOnly      bool // the transaction was begun as READ ONLY
	dirty         bool // the backend must not be reused
	answerStarted bool // a byte of the current answer may have been written to the caller
	answerFailed  bool // the current answer contains an error
	endNotified   bool // the caller was told that the session ends

	// busy says that a request is running or a transaction is open.
	busy atomic.Bool
	// endReason is set when the session must end before its next statement.
	endReason atomic.Pointer[string]

	// The server's mutex guards the fields below until the login is complete.
	session  Session
	endRules []endRule
	pid      uint32
	secret   []byte

	mu             sync.Mutex
	runningBackend Backend // set while a batch runs, for cancel requests
	cancelled      bool    // a cancel request was sent to runningBackend
}

// workspace holds the buffers that a caller needs only while it handles messages.
type workspace struct {
	builder batchBuilder
	replies replyQueue
	out     []byte
}

var workspacePool = sync.Pool{New: func() any { return new(workspace) }}

// lingerTimeout bounds the wait for a caller to close its connection after it was
// told that the session ends.
const lingerTimeout = time.Second

// maxPooledBuffer is the size of the largest buffers, in bytes, that are kept for the
// next caller.
const maxPooledBuffer = 2 * flushThreshold

// releaseWorkspace returns the workspace to the pool unless messages or output are
// pending. It drops buffers that have grown too large.
func (c *caller) releaseWorkspace() {
	w := c.workspace
	if len(w.out) > 0 || len(w.builder.replies) > 0 {
		return
	}
	if cap(w.out) <= maxPooledBuffer && cap(w.builder.batch.Frames) <= maxPooledBuffer && cap(w.builder.replies) <= maxKeptReplies {
		if cap(w.replies.queue) > maxKeptReplies || cap(w.replies.dropped) > maxKeptReplies {
			w.replies = replyQueue{}
		}
		clear(w.replies.queue)
		clear(w.replies.dropped)
		workspacePool.Put(w)
	}
	c.workspace = nil
}

// errSessionEnd is returned by tryFrame when an idle session must end.
var errSessionEnd = Error.New("session ends")

// shouldEnd reports whether the session must end now. It is called when no message
// is left to handle, and releases the workspace if the session continues.
func (c *caller) shouldEnd() bool {
	if c.endReason.Load() != nil || c.server.draining.Load() && !c.busy.Load() {
		return true
	}
	c.releaseWorkspace()
	return false
}

// requestEnd makes the session end before its next statement.
func (c *caller) requestEnd(reason string) {
	c.endReason.Store(&reason)
	c.conn.Wake()
}

// hasSecret compares the secret of a cancel request in constant time.
func (c *caller) hasSecret(secret []byte) bool {
	return len(c.secret) > 0 && subtle.ConstantTimeCompare(c.secret, secret) == 1
}

// cancelRunning cancels the batch that runs on the upstream. The connection is not
// reused afterwards, since the cancellation may arrive late.
func (c *caller) cancelRunning() {
	c.mu.Lock()
	b := c.runningBackend
	c.cancelled = c.cancelled || b != nil
	c.mu.Unlock()
	if b != nil {
		b.Cancel()
	}
}

// setRunning sets the backend that cancel requests apply to; nil means none.
func (c *caller) setRunning(b Backend) {
	c.mu.Lock()
	c.runningBackend = b
	c.mu.Unlock()
}

// release returns the backend and resets the state of the transaction. The
// connection is closed unless clean is true and nothing else made it unusable.
func (c *caller) release(clean bool) {
	c.mu.Lock()
	c.runningBackend = nil
	clean = clean && !c.cancelled && !c.dirty
	c.cancelled = false
	c.mu.Unlock()
	c.backend.Release(clean)
	c.backend = nil
	c.status, c.pipelineOpen, c.readOnly, c.dirty = 'I', false, false, false
}

// sendEndReason tells the caller why the session ends.
func (c *caller) sendEndReason() {
	reason := "the instance is shutting down"
	if r := c.endReason.Load(); r != nil {
		reason = *r
	}
	c.endNotified = true
	m := fatalResponse(stateShutdown, reason)
	m.Detail = string(NotRun) + ": " + reason
	c.writeMessages(m)
}

// run handles messages until none is left or the connection ends. At most one
// goroutine runs it at a time.
func (c *caller) run() {
	<-c.registered
	if c.workspace == nil {
		c.workspace, _ = workspacePool.Get().(*workspace)
	}
	for {
		f, ok, err := c.conn.tryFrame(c.shouldEnd)
		if err != nil {
			c.endWithError(err)
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

// endWithError ends the connection after a read error. If the session has to end or
// the message has an invalid length, the caller is told so.
func (c *caller) endWithError(err error) {
	if errors.Is(err, errSessionEnd) {
		c.sendEndReason()
	}
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrLength) {
		c.writeMessages(fatalResponse(stateProtocol, err.Error()))
	}
	c.end()
}

// end closes the connection, then the session.
func (c *caller) end() {
	if c.backend != nil {
		c.release(false)
	}
	if c.endNotified {
		c.conn.CloseLingering(lingerTimeout)
	} else {
		c.conn.CloseFlushed()
	}
	c.cancel()
	if c.session != nil {
		c.session.Close()
	}
	c.busy.Store(false)
	// Drain returns once no caller is left, so the session is closed first.
	c.server.removeCaller(c)
}

func (c *caller) handleMessage(f Frame) bool {
	if c.endReason.Load() != nil {
		c.sendEndReason()
		return false
	}
	switch f.Type {
	case typeTerminate:
		return false
	case typeQuery:
		return c.handleQuery(f)
	case typeSync:
		return c.handleSync()
	case typeFlush:
		return c.handleFlush()
	}
	if c.skipToSync {
		return true
	}
	if err := c.collect(f); err != nil {
		c.refuse(err)
		return c.flush()
	}
	return true
}

// flush writes the output buffer to the caller.
func (c *caller) flush() bool {
	if len(c.out) == 0 {
		return true
	}
	c.answerStarted = true
	ok := c.write(c.out)
	c.out = c.out[:0]
	return ok
}

func (c *caller) write(b []byte) bool {
	_, err := c.conn.Write(b)
	return err == nil
}

// appendMessage encodes a message into the output buffer.
func (c *caller) appendMessage(m pgproto3.BackendMessage) {
	out, err := m.Encode(c.out)
	if err != nil {
		c.server.Log.Error(err, "caller: cannot encode message")
		return
	}
	c.out = out
}

// writeMessages encodes messages and writes the output buffer to the caller.
func (c *caller) writeMessages(messages ...pgproto3.BackendMessage) bool {
	for _, m := range messages {
		c.appendMessage(m)
	}
	return c.flush()
}

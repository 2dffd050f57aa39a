// Package caller serves the sessions of callers whose protocol states the kind of each
// statement. The protocol itself is passed in as an implementation of Protocol.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/io/socket"
)

// Error is the class of this package's errors.
var Error = errs.Class("caller")

// Protocol reads and writes the messages of one connection of a caller.
type Protocol interface {
	// ReadStart reads the first message of a session, which names a database and a key.
	ReadStart() (database, key string, err error)
	// ReadStatement reads a statement. end reports that the caller has ended the session
	// instead.
	ReadStatement() (s call.Statement, end bool, err error)
	// Buffered reports whether data has been read from the connection that no Read method
	// has returned yet.
	Buffered() bool
	// WriteReady reports to the caller that the session has started.
	WriteReady() error
	// WriteRefusal reports to the caller why the session has not started.
	WriteRefusal(code call.Code, text string) error
	WriteAnswer(a call.Answer) error
}

const (
	// startTimeout limits the wait for a caller's first message, and for the rest of a
	// statement that has begun to arrive when Drain is called.
	startTimeout = 5 * time.Second
	// writeTimeout limits how long a caller may leave an answer unread.
	writeTimeout = 5 * time.Second
	// abandonTimeout limits the wait for an answer that is being written when the server ends.
	abandonTimeout = 100 * time.Millisecond
	// configWait limits how long a new session waits for the first configuration. Callers
	// give up after 2 s.
	configWait = 1500 * time.Millisecond
)

// Server accepts connections of callers and serves their sessions.
type Server struct {
	Listener net.Listener
	// Protocol returns the protocol for a new connection.
	Protocol func(net.Conn) Protocol
	Router   Router
	// AwaitConfig waits for a configuration and reports whether there is one.
	AwaitConfig func(ctx context.Context) bool
	// SessionPrefix begins the names of sessions. It must be unique in the fleet.
	SessionPrefix string
	Log           logr.Logger
	// Now returns the time of a clock that also runs while the machine is suspended.
	Now func() time.Time
	// ConnectionLimit is the number of connections that may be open.
	ConnectionLimit int

	mu           sync.Mutex
	conns        map[*conn]struct{}
	draining     bool
	sessionCount atomic.Uint64
	wg           sync.WaitGroup
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server   *Server
	protocol Protocol

	mu            sync.Mutex
	idle          bool // waits for the next statement outside a transaction
	draining      bool // ends once it is idle
	inTransaction bool

	answering sync.Mutex // held while an answer is written
	// unanswered is the statement that is being executed, and abandoned the answer to it if the
	// connection ends before. Both are guarded by answering.
	unanswered *call.Statement
	abandoned  call.Answer
}

// Serve accepts connections until the context ends, and then closes them. Statements that are
// being executed are answered first, with what is known of them.
func (s *Server) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.conns = make(map[*conn]struct{})
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		s.Listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			go c.abandon()
		}
	})
	defer stop()
	defer s.wg.Wait()
	for {
		nc, err := s.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			<-ctx.Done()
			return nil
		}
		if err != nil {
			s.Log.Info("caller: connection not accepted", "err", err.Error())
			time.Sleep(10 * time.Millisecond) // file descriptors may be exhausted for a while
			continue
		}
		c := &conn{Conn: nc, server: s, protocol: s.Protocol(nc)}
		s.mu.Lock()
		full := len(s.conns) >= s.ConnectionLimit
		if !full {
			s.conns[c] = struct{}{}
			s.wg.Add(1)
		}
		c.draining = s.draining
		s.mu.Unlock()
		if full {
			s.Log.Info("caller: connection refused", "open", s.ConnectionLimit)
			nc.Close()
			continue
		}
		go func() {
			defer s.wg.Done()
			c.serve(ctx)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// Sessions returns the number of open sessions, and of those in a transaction.
func (s *Server) Sessions() (open, active int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if c.inTransaction {
			active++
		}
		c.mu.Unlock()
	}
	return len(s.conns), active
}

// Drain ends each session once it is idle: outside a transaction and without an
// unanswered request.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	s.mu.Unlock()
	for _, c := range list {
		c.mu.Lock()
		c.draining = true
		if c.idle {
			c.interruptRead()
		}
		c.mu.Unlock()
	}
}

// interruptRead wakes the reader of the connection by a deadline in the past. An error
// means that the connection is already closed.
func (c *conn) interruptRead() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// serve starts a session and runs its statements until it ends.
func (c *conn) serve(ctx context.Context) {
	defer c.Close()
	if err := socket.EnableKeepAlive(c.Conn); err != nil {
		c.server.Log.Info("caller: TCP timeouts not set", "err", err.Error())
	}
	session := c.startSession(ctx)
	if session == nil {
		return
	}
	defer session.Close()
	for {
		st, end, err := c.readStatement(session)
		if err != nil {
			c.logUnexpectedEnd(session, err)
			return
		}
		if end {
			return
		}
		c.expectAnswer(&st, session.AbandonedAnswer(st))
		if a := session.Execute(ctx, st); !c.answer(a, writeTimeout) {
			return
		}
	}
}

// expectAnswer records a statement that is about to be executed, and the answer to it if the
// connection ends before.
func (c *conn) expectAnswer(st *call.Statement, abandoned call.Answer) {
	c.answering.Lock()
	defer c.answering.Unlock()
	c.unanswered, c.abandoned = st, abandoned
}

// answer writes the answer to the unanswered statement, if there is one, and reports whether it
// was written.
func (c *conn) answer(a call.Answer, timeout time.Duration) bool {
	c.answering.Lock()
	defer c.answering.Unlock()
	if c.unanswered == nil {
		return false
	}
	id := c.unanswered.ID
	c.unanswered = nil
	if err := c.writeWithTimeout(timeout, func() error { return c.protocol.WriteAnswer(a) }); err != nil {
		c.server.Log.V(1).Info("caller: answer not delivered", "id", id, "err", err.Error())
		return false
	}
	return true
}

// abandon answers the statement that is being executed, and closes the connection.
func (c *conn) abandon() {
	defer c.Close()
	// An answer that is being written to a caller which does not read must not delay the end.
	if err := c.SetWriteDeadline(time.Now().Add(abandonTimeout)); err != nil {
		return
	}
	c.answering.Lock()
	st, a := c.unanswered, c.abandoned
	c.answering.Unlock()
	if st != nil && c.answer(a, abandonTimeout) {
		c.server.Log.Info("caller: statement abandoned at the end of the shutdown", "id", st.ID, "kind", st.Kind, "code", a.Code)
	}
}

// logUnexpectedEnd logs that a connection ended inside a transaction.
func (c *conn) logUnexpectedEnd(session *Session, err error) {
	if session.InTransaction() {
		c.server.Log.V(1).Info("caller: connection lost inside a transaction", "session", session.name, "err", err.Error())
	}
}

// writeWithTimeout calls send with a write deadline set on the connection.
func (c *conn) writeWithTimeout(timeout time.Duration, send func() error) error {
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return send()
}

// startSession reads the first message and answers it. It returns nil if no session has
// started.
func (c *conn) startSession(ctx context.Context) *Session {
	if err := c.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return nil
	}
	database, key, err := c.protocol.ReadStart()
	if err != nil {
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, configWait)
	defer cancel()
	code, text := call.Busy, "no configuration yet"
	credential := access.NewCredential(key)
	if c.server.AwaitConfig(wait) {
		code = c.server.Router.CheckAccess(database, credential)
		text = string(code)
	}
	if code != call.OK {
		c.server.Log.Info("caller: session refused", "database", database, "code", code)
		if err := c.writeWithTimeout(writeTimeout, func() error { return c.protocol.WriteRefusal(code, text) }); err != nil {
			c.server.Log.V(1).Info("caller: refusal not delivered", "err", err.Error())
		}
		return nil
	}
	if c.writeWithTimeout(writeTimeout, c.protocol.WriteReady) != nil {
		return nil
	}
	name := fmt.Sprintf("%s/%d", c.server.SessionPrefix, c.server.sessionCount.Add(1))
	return NewSession(name, database, credential, c.server.Router, c.server.Now)
}

var errDrained = errors.New("the instance is shutting down")

// readStatement waits for the next statement. Outside a transaction, Drain interrupts the
// wait unless the caller has already sent data.
func (c *conn) readStatement(session *Session) (st call.Statement, end bool, err error) {
	c.mu.Lock()
	c.inTransaction = session.InTransaction()
	c.idle = !c.inTransaction && !c.protocol.Buffered()
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		c.mu.Unlock()
		return st, false, err
	}
	if c.idle && c.draining {
		c.interruptRead()
	}
	c.mu.Unlock()
	st, end, err = c.protocol.ReadStatement()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if !c.protocol.Buffered() && socket.Peek(c.Conn) != socket.DataAvailable {
			return st, false, errDrained
		}
		if err := c.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
			return st, false, err
		}
		st, end, err = c.protocol.ReadStatement()
	}
	c.mu.Lock()
	c.idle = false
	c.mu.Unlock()
	return st, end, err
}

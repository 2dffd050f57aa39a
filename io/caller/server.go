// Package caller serves the sessions of callers whose protocol names each statement's
// kind. The protocol itself comes from outside.
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

// Protocol speaks a caller's protocol on one connection.
type Protocol interface {
	// ReadStart reads the database and the key with which a session begins.
	ReadStart() (database, key string, err error)
	// ReadStatement reads a statement, or the caller's end of the session.
	ReadStatement() (s call.Statement, end bool, err error)
	// Buffered reports whether part of a message was read already.
	Buffered() bool
	// WriteReady tells the caller that the session has begun.
	WriteReady() error
	// WriteRefusal tells the caller why it has not.
	WriteRefusal(code call.Code, text string) error
	WriteAnswer(a call.Answer) error
}

const (
	// startTimeout bounds the wait for a caller's first message.
	startTimeout = 5 * time.Second
	// writeTimeout bounds the time for which a caller may leave its answer unread.
	writeTimeout = 5 * time.Second
	// configWait bounds the wait of a new session for the first configuration. Callers
	// give up after 2 s.
	configWait = 1500 * time.Millisecond
)

// Server accepts the sessions of callers.
type Server struct {
	Listener net.Listener
	Protocol func(net.Conn) Protocol
	Router   Router
	// Known waits for a configuration and reports whether there is one.
	Known func(ctx context.Context) bool
	// Name makes the names of sessions unique in the fleet.
	Name string
	Log  logr.Logger
	// Now reads the clock that counts suspensions.
	Now func() time.Time
	// Limit is the number of connections that may be open.
	Limit int

	mu      sync.Mutex
	conns   map[*conn]struct{}
	closing bool
	count   atomic.Uint64
	wg      sync.WaitGroup
}

// conn is the connection of a caller.
type conn struct {
	net.Conn
	s *Server
	p Protocol

	mu      sync.Mutex
	resting bool // waits for the caller's next operation
	closing bool // ends when it rests
	active  bool // in a transaction
}

// Serve accepts callers until the context ends, and then closes their connections.
func (s *Server) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.conns = make(map[*conn]struct{})
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		s.Listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.Close()
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
			time.Sleep(10 * time.Millisecond) // descriptors may be short for a while
			continue
		}
		c := &conn{Conn: nc, s: s, p: s.Protocol(nc)}
		s.mu.Lock()
		full := len(s.conns) >= s.Limit
		if !full {
			s.conns[c] = struct{}{}
			s.wg.Add(1)
		}
		c.closing = s.closing
		s.mu.Unlock()
		if full {
			s.Log.Info("caller: connection refused", "open", s.Limit)
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
		if c.active {
			active++
		}
		c.mu.Unlock()
	}
	return len(s.conns), active
}

// Drain ends each session once it rests: outside a transaction, without a request that
// has no answer.
func (s *Server) Drain() {
	s.mu.Lock()
	s.closing = true
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	s.mu.Unlock()
	for _, c := range list {
		c.mu.Lock()
		c.closing = true
		if c.resting {
			c.interrupt()
		}
		c.mu.Unlock()
	}
}

// interrupt wakes the reader of a connection. Failure means that it is closed already.
func (c *conn) interrupt() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

func (c *conn) serve(ctx context.Context) {
	defer c.Close()
	if err := socket.EnableKeepAlive(c.Conn); err != nil {
		c.s.Log.Info("caller: connection not watched", "err", err.Error())
	}
	session := c.start(ctx)
	if session == nil {
		return
	}
	defer session.Close()
	for {
		st, end, err := c.next(session)
		if err != nil {
			c.ended(session, err)
			return
		}
		if end {
			return
		}
		a := session.Execute(ctx, st)
		if err := c.write(func() error { return c.p.WriteAnswer(a) }); err != nil {
			c.s.Log.V(1).Info("caller: answer not delivered", "id", st.ID, "err", err.Error())
			return
		}
	}
}

// ended logs an end that the caller did not ask for.
func (c *conn) ended(session *Session, err error) {
	if session.InTransaction() {
		c.s.Log.V(1).Info("caller: gone inside a transaction", "session", session.name, "err", err.Error())
	}
}

func (c *conn) write(send func() error) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return send()
}

// start reads the first message and answers it.
func (c *conn) start(ctx context.Context) *Session {
	if err := c.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return nil
	}
	database, key, err := c.p.ReadStart()
	if err != nil {
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, configWait)
	defer cancel()
	code, text := call.Busy, "no configuration yet"
	credential := access.NewCredential(key)
	if c.s.Known(wait) {
		code = c.s.Router.Check(database, credential)
		text = string(code)
	}
	if code != call.OK {
		c.s.Log.Info("caller: session refused", "database", database, "code", code)
		if err := c.write(func() error { return c.p.WriteRefusal(code, text) }); err != nil {
			c.s.Log.V(1).Info("caller: refusal not delivered", "err", err.Error())
		}
		return nil
	}
	if c.write(c.p.WriteReady) != nil {
		return nil
	}
	name := fmt.Sprintf("%s/%d", c.s.Name, c.s.count.Add(1))
	return NewSession(name, database, credential, c.s.Router, c.s.Now)
}

var errDrained = errors.New("the instance is shutting down")

// next waits for the next statement. Outside a transaction, Drain ends the wait unless
// the caller has already sent something.
func (c *conn) next(session *Session) (st call.Statement, end bool, err error) {
	c.mu.Lock()
	c.active = session.InTransaction()
	c.resting = !c.active && !c.p.Buffered()
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		c.mu.Unlock()
		return st, false, err
	}
	if c.resting && c.closing {
		c.interrupt()
	}
	c.mu.Unlock()
	st, end, err = c.p.ReadStatement()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if !c.p.Buffered() && socket.Peek(c.Conn) != socket.DataAvailable {
			return st, false, errDrained
		}
		if err := c.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
			return st, false, err
		}
		st, end, err = c.p.ReadStatement()
	}
	c.mu.Lock()
	c.resting = false
	c.mu.Unlock()
	return st, end, err
}

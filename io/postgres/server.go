package postgres

// The server accepts callers and keeps a list of them, so that it can end some or all
// sessions in an orderly way. The Handler decides what a caller may do.

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
)

const (
	// defaultLoginTimeout is used if Server.LoginTimeout is 0.
	defaultLoginTimeout = 10 * time.Second
	// maxStartup and maxPassword bound the messages before the login is complete, in bytes.
	maxStartup  = 10_000
	maxPassword = 1_000
	// maxPending bounds the connections that have not logged in. Beyond it the oldest of
	// them is closed, so that a flood cannot keep others from logging in.
	maxPending = 1_000
	// acceptPause is the wait after a failed accept, for example when file descriptors have
	// run out.
	acceptPause = 50 * time.Millisecond
)

// Server serves callers on its listeners. Its exported fields are set before Serve.
type Server struct {
	Loop    *Loop
	Handler Handler
	Log     logr.Logger
	// StallTimeout bounds the time for which a caller may leave its answer unread.
	StallTimeout time.Duration
	// LoginTimeout bounds the time from the connection to the accepted key. 0 means 10 s.
	LoginTimeout time.Duration
	// TLS is offered to callers if it is set; see ReloadingCertificate.
	TLS *tls.Config
	// ForwardCancel is called with cancel requests whose key is not known here, since a load
	// balancer may have sent them to the wrong instance. It may be nil.
	ForwardCancel func(pid uint32, secret []byte)
	// Parameters are reported to callers after the login, in addition to Defaults or in
	// place of them. They must be the settings that the upstreams use.
	Parameters map[string]string

	// PassPositions says that the callers are other instances: positions are passed on to
	// them unchanged, in addition to the session's own tokens.
	PassPositions bool

	draining atomic.Bool

	mu          sync.Mutex
	baseContext context.Context
	cancelBase  context.CancelFunc
	listeners   map[net.Listener]struct{}
	callers     map[*caller]struct{}
	byPID       map[uint32]*caller // callers that have logged in
	pending     []*caller          // callers that have not logged in, oldest first
	noCallers   chan struct{}      // closed when the last caller has gone, nil unless Drain waits for it
}

// Serve accepts callers until the context ends, Drain or Close is called, or the
// listener fails. Running sessions continue after the end of the context.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	s.mu.Lock()
	s.init()
	s.listeners[ln] = struct{}{}
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		// The accept loop reports the error of a listener that fails to close.
		_ = ln.Close()
	})
	defer stop()
	for {
		sock, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED):
			s.Log.Error(err, "caller: cannot accept connection")
			time.Sleep(acceptPause)
		case err != nil:
			return Error.Wrap(err)
		default:
			if err := s.add(sock); err != nil {
				s.Log.Error(err, "caller: cannot serve connection", "remote", sock.RemoteAddr().String())
			}
		}
	}
}

// init creates the maps. The lock is held.
func (s *Server) init() {
	if s.callers != nil {
		return
	}
	s.baseContext, s.cancelBase = context.WithCancel(context.Background())
	s.listeners = make(map[net.Listener]struct{})
	s.callers = make(map[*caller]struct{})
	s.byPID = make(map[uint32]*caller)
}

// add starts to serve a new connection.
func (s *Server) add(sock net.Conn) error {
	c := &caller{server: s, registered: make(chan struct{}), phase: phaseStartup, status: 'I'}
	conn, err := s.Loop.Add(sock, s.StallTimeout, true, c.run)
	if err != nil {
		return err
	}
	c.conn = conn
	conn.SetMaxMessage(maxStartup)
	var oldest *caller
	s.mu.Lock()
	c.ctx, c.cancel = context.WithCancel(s.baseContext)
	s.callers[c] = struct{}{}
	s.pending = append(s.pending, c)
	if len(s.pending) > maxPending {
		oldest = s.pending[0]
		s.pending = s.pending[1:]
	}
	s.mu.Unlock()
	conn.OnClose(c.cancel)
	limit := s.LoginTimeout
	if limit == 0 {
		limit = defaultLoginTimeout
	}
	// The caller's goroutine removes the deadline after the login. It starts when
	// registered is closed, so the deadline is set before.
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		conn.Close()
	}
	close(c.registered)
	if oldest != nil {
		oldest.conn.Close()
	}
	if s.draining.Load() {
		conn.Wake()
	}
	return nil
}

// completeLogin adds the session of a caller that has logged in. It returns false if
// EndSessions was called for the session during the login.
func (s *Server) completeLogin(c *caller, session Session) bool {
	s.mu.Lock()
	c.session = session
	rules := c.endRules
	c.endRules = nil
	s.removePending(c)
	for {
		c.pid = randomProcessID()
		if _, taken := s.byPID[c.pid]; !taken && c.pid != 0 {
			break
		}
	}
	s.byPID[c.pid] = c
	s.mu.Unlock()
	for _, rule := range rules {
		if rule.match(session) {
			c.requestEnd(rule.reason)
			return false
		}
	}
	return true
}

// removePending removes a caller from the list of those that have not logged in. The
// lock is held.
func (s *Server) removePending(c *caller) {
	for i, p := range s.pending {
		if p == c {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return
		}
	}
}

func (s *Server) removeCaller(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c)
	if s.byPID[c.pid] == c {
		delete(s.byPID, c.pid)
	}
	s.removePending(c)
	if len(s.callers) == 0 && s.noCallers != nil {
		close(s.noCallers)
		s.noCallers = nil
	}
}

// Callers returns the number of open connections.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

// snapshot returns all callers and, if there are any, a channel that is closed when none
// is left.
func (s *Server) snapshot() ([]*caller, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	all := make([]*caller, 0, len(s.callers))
	for c := range s.callers {
		all = append(all, c)
	}
	if len(all) > 0 && s.noCallers == nil {
		s.noCallers = make(chan struct{})
	}
	return all, s.noCallers
}

// Drain accepts no new connections, ends idle sessions with SQLSTATE 57P01 and lets
// running statements and open transactions finish. When ctx ends first, the remaining
// sessions are closed. It returns the number of requests and transactions that were cut.
func (s *Server) Drain(ctx context.Context) int {
	s.draining.Store(true)
	s.closeListeners()
	for {
		all, empty := s.snapshot()
		if len(all) == 0 {
			return 0
		}
		for _, c := range all {
			c.conn.Wake()
		}
		select {
		case <-empty:
		case <-ctx.Done():
			cut := 0
			for _, c := range all {
				if c.busy.Load() {
					cut++
				}
			}
			s.Close()
			return cut
		}
	}
}

// Close ends all sessions at once. Running statements are cancelled, and their
// connections are not reused.
func (s *Server) Close() {
	s.draining.Store(true)
	s.closeListeners()
	all, _ := s.snapshot()
	s.cancelBase()
	for _, c := range all {
		c.conn.Close()
		go c.cancelRunning()
	}
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ln := range s.listeners {
		// The accept loop reports the error of a listener that fails to close.
		_ = ln.Close()
		delete(s.listeners, ln)
	}
}

// endRule selects the sessions that EndSessions ends.
type endRule struct {
	match  func(Session) bool
	reason string
}

// EndSessions ends the sessions for which match returns true and returns their number.
// They run no new statement, and open transactions are rolled back. A statement that is
// already running still gets its whole answer. A login in progress is checked when it is
// complete.
func (s *Server) EndSessions(match func(Session) bool, reason string) int {
	s.mu.Lock()
	sessions := make(map[*caller]Session)
	for c := range s.callers {
		if c.session != nil {
			sessions[c] = c.session
		} else {
			c.endRules = append(c.endRules, endRule{match, reason})
		}
	}
	s.mu.Unlock()
	n := 0
	for c, session := range sessions {
		if match(session) {
			c.requestEnd(reason)
			n++
		}
	}
	return n
}

// Cancel asks the upstream to cancel the batch that the session with this key runs. It
// returns false if no session has the key.
func (s *Server) Cancel(pid uint32, secret []byte) bool {
	s.mu.Lock()
	c, ok := s.byPID[pid]
	s.mu.Unlock()
	if !ok || !c.hasSecret(secret) {
		return false
	}
	c.cancelRunning()
	return true
}

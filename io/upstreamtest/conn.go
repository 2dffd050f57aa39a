package upstreamtest

// Each connection has two goroutines: serve reads messages and executes statements, and
// send writes the queued output to the client. Latency, partitions and swapped responses
// take effect on the queue.

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"burdockseam/core/wal"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxQueuedChunks bounds the chunks that wait to be sent on one connection.
const maxQueuedChunks = 64

// chunk is a piece of output that is sent no earlier than due.
type chunk struct {
	data []byte
	due  time.Time
}

// conn is a connection of a client to an upstream.
type conn struct {
	u        *Upstream
	nc       net.Conn
	backend  *pgproto3.Backend
	ctx      context.Context
	stop     context.CancelFunc // cancels ctx
	outQueue chan chunk
	client   Client
	control  bool   // a connection to ControlDatabase
	appName  string // the current application_name
	term     uint64 // the term in the startup parameter group.term, if hasTerm
	hasTerm  bool
	pid      uint32
	secret   [4]byte
	loggedIn bool        // used by the serve goroutine only
	muted    atomic.Bool // drops all further output; set by LoseResponses

	cancelMu sync.Mutex
	cancel   context.CancelFunc // cancels the running statement; nil if none runs

	settings         map[string]string     // set by SET
	reported         wal.Position          // the log position last reported to the client
	positionReported bool                  // reported is valid
	tx               *transaction          // the transaction opened by BEGIN
	implicit         *transaction          // the transaction of a Query with several statements
	failed           bool                  // tx has failed: only COMMIT and ROLLBACK are accepted
	stmts            map[string]*statement // prepared statements by name
	portals          map[string]*portal    // portals by name
}

// acceptConnections serves new connections until the listener is closed.
func (u *Upstream) acceptConnections() {
	defer u.group.done.Done()
	for {
		nc, err := u.listener.Accept()
		if err != nil {
			return
		}
		if u.faults.refusesConnections() {
			resetConnection(nc)
			continue
		}
		c := &conn{
			u: u, nc: nc, outQueue: make(chan chunk, maxQueuedChunks),
			client:   Client{Addr: nc.RemoteAddr()},
			settings: map[string]string{},
			stmts:    map[string]*statement{},
			portals:  map[string]*portal{},
		}
		c.ctx, c.stop = context.WithCancel(context.Background())
		c.backend = pgproto3.NewBackend(nc, c)
		u.mu.Lock()
		select {
		case <-u.group.closed:
			u.mu.Unlock()
			resetConnection(nc)
			continue
		default:
		}
		u.conns[c] = struct{}{}
		u.lastPID++
		c.pid = u.lastPID
		u.mu.Unlock()
		u.group.done.Add(2)
		go c.send()
		go c.serve()
	}
}

// resetConnection closes a connection with a TCP reset, as a crashed process would.
func resetConnection(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	nc.Close()
}

// kill ends the connection and its statement abruptly.
func (c *conn) kill() {
	c.stop()
	resetConnection(c.nc)
}

// Write queues the bytes that the protocol library flushes. It implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	data := append([]byte(nil), b...)
	n := len(data)
	// A flush that ends with ReadyForQuery completes a response.
	if c.loggedIn && !c.control && n >= 6 && string(data[n-6:n-1]) == "Z\x00\x00\x00\x05" {
		for _, h := range c.u.faults.swapResponse(c, data) {
			h.conn.enqueue(h.data)
		}
		return n, nil
	}
	return n, c.enqueue(data)
}

// enqueue queues bytes for the client, to be sent after the configured latency and
// response delay. A muted connection drops them.
func (c *conn) enqueue(b []byte) error {
	if c.muted.Load() {
		return nil
	}
	t := c.u.faults.timings()
	select {
	case c.outQueue <- chunk{b, time.Now().Add(2*t.latency + t.response)}:
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// send writes the queued chunks to the client until it receives an empty chunk.
func (c *conn) send() {
	defer c.u.group.done.Done()
	defer c.nc.Close()
	defer c.stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case k := <-c.outQueue:
			if k.data == nil || c.sleep(c.ctx, time.Until(k.due)) != nil || c.waitUnblocked() != nil {
				return
			}
			if _, err := c.nc.Write(k.data); err != nil {
				return
			}
		}
	}
}

// sleep waits for the duration d or until ctx is done.
func (c *conn) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitUnblocked blocks while the upstream is paused or the client is partitioned from
// it.
func (c *conn) waitUnblocked() error {
	for {
		held, changed := c.u.faults.blocksClient(&c.client)
		if !held {
			return c.ctx.Err()
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-c.u.group.closed:
			// serve removes the connection from u.conns once the client has left, so
			// Group.Close does not reset it, but its send goroutine may still wait here
			// with queued output.
			return net.ErrClosed
		}
	}
}

// serve runs the connection from login to its end, then rolls back its open
// transactions.
func (c *conn) serve() {
	defer c.u.group.done.Done()
	counted := false
	if c.startup(&counted) == nil {
		c.serveMessages()
	}
	c.u.mu.Lock()
	for _, tx := range []*transaction{c.tx, c.implicit} {
		if tx != nil {
			c.u.finishTransaction(tx)
		}
	}
	delete(c.u.conns, c)
	c.u.mu.Unlock()
	if counted {
		c.u.stats.update(func(s *Stats) {
			if c.control {
				s.Control--
			} else {
				s.Open--
			}
		})
	}
	select {
	case c.outQueue <- chunk{}:
	case <-c.ctx.Done():
	}
}

// sendFatal sends an error that ends the connection, and returns it.
func (c *conn) sendFatal(code, message string) error {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: code, Message: message})
	c.backend.Flush()
	return newSQLError(code, "%s", message)
}

// startup reads the startup message and logs the client in. It sets *counted if the
// connection is included in the counters of open connections.
func (c *conn) startup(counted *bool) error {
	msg, err := c.backend.ReceiveStartupMessage()
	if err != nil {
		return err
	}
	if err := c.waitUnblocked(); err != nil {
		return err
	}
	switch m := msg.(type) {
	case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
		if err := c.enqueue([]byte{'N'}); err != nil {
			return err
		}
		return c.startup(counted)
	case *pgproto3.CancelRequest:
		c.u.cancelRequest(m)
		return c.sendFatal("57014", "cancel requests end their connection")
	case *pgproto3.StartupMessage:
		return c.login(m.Parameters, counted)
	}
	return newSQLError("08P01", "unexpected startup message")
}

// login checks the connection limit and the password, and sends the messages that
// complete the startup.
func (c *conn) login(params map[string]string, counted *bool) error {
	u := c.u
	u.faults.mu.Lock() // guards c.client: the match function of Partition reads Params
	c.client.Params = params
	u.faults.mu.Unlock()
	c.control = params["database"] == ControlDatabase
	full := false
	u.stats.update(func(s *Stats) {
		if len(s.Params) < u.group.options.RecordLimit {
			s.Params = append(s.Params, params)
		}
		switch {
		case c.control:
			s.Control++
		case s.Open >= u.group.options.Connections:
			s.Refused++
			full = true
			return
		default:
			s.Open++
			s.MaxOpen = max(s.MaxOpen, s.Open)
		}
		*counted = true
	})
	if full {
		return c.sendFatal("53300", "too many connections")
	}
	if err := c.sleep(c.ctx, u.faults.timings().open); err != nil {
		return err
	}
	if err := c.waitUnblocked(); err != nil {
		return err
	}
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.backend.Flush(); err != nil {
		return err
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	msg, err := c.backend.Receive()
	if err != nil {
		return err
	}
	if err := c.waitUnblocked(); err != nil {
		return err
	}
	pw, ok := msg.(*pgproto3.PasswordMessage)
	if !ok || pw.Password != u.group.options.Password || params["user"] != u.group.options.User {
		return c.sendFatal("28P01", "password authentication failed")
	}
	if s, ok := params["group.term"]; ok {
		if c.term, err = strconv.ParseUint(s, 10, 64); err != nil {
			return c.sendFatal("22023", "invalid group.term")
		}
		c.hasTerm = true
	}
	u.stats.update(func(s *Stats) { s.Opened++ })
	c.appName = params["application_name"]
	var secret [4]byte
	for i := range secret {
		secret[i] = byte(rand.IntN(256))
	}
	u.mu.Lock()
	c.secret = secret
	u.mu.Unlock()
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{{"server_version", "16.0"}, {"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: secret[:]})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := c.backend.Flush(); err != nil {
		return err
	}
	c.loggedIn = true
	return nil
}

// cancelRequest cancels the statement that runs on the connection identified by the
// request.
func (u *Upstream) cancelRequest(m *pgproto3.CancelRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		if c.pid != m.ProcessID || string(c.secret[:]) != string(m.SecretKey) {
			continue
		}
		c.cancelMu.Lock()
		if c.cancel != nil {
			c.cancel()
			u.stats.update(func(s *Stats) { s.Canceled++ })
		}
		c.cancelMu.Unlock()
	}
}

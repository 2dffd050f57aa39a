package postgres

// A Client is the proxy's connection to an upstream. pgconn does the login; afterwards
// the socket is handed to the event loop, which passes on whole messages only.
//
// Each batch begins with a Describe of a statement that the proxy itself has prepared.
// The column name in the reply identifies the connection and alternates between
// batches. An answer that belongs to another connection or another batch is detected
// by it, even if its messages have the expected types.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// ConnectOptions holds the address of an upstream and the credentials for it.
type ConnectOptions struct {
	Address  string
	User     string
	Password string
	Database string
	// Parameters are sent in the startup message in addition to Defaults.
	Parameters map[string]string
	// SkipMarks turns off the check that answers belong to the connection. It is for
	// connections to other instances, which do the check themselves.
	SkipMarks bool
}

const (
	// cancelTimeout bounds the dial of a cancel request, and then again the wait until
	// the upstream closes the connection.
	cancelTimeout = 2 * time.Second
	// marksPerConn is the number of marks that a connection uses in turn.
	marksPerConn = 2
	// markRandomBytes is the length of the random part of a mark's column name.
	markRandomBytes = 8
)

// Defaults are the settings with which all upstream connections are opened and which
// are reported to callers.
var Defaults = map[string]string{
	"client_encoding":             "UTF8",
	"DateStyle":                   "ISO, MDY",
	"IntervalStyle":               "postgres",
	"TimeZone":                    "UTC",
	"standard_conforming_strings": "on",
}

// Client is a logged-in connection to an upstream. Its methods must not be called
// concurrently, except Cancel, Close and Done.
type Client struct {
	conn       *Conn
	address    string
	pid        uint32
	secret     []byte
	parameters map[string]string
	marks      [marksPerConn]mark

	mu   sync.Mutex
	idle bool // no answer is outstanding and no transaction is open

	replies          replyQueue
	statements       statementCache
	status           byte   // transaction status in the last ReadyForQuery
	batchNumber      uint64 // number of the current batch
	transactionBatch uint64 // number of the batch that began the transaction
	unnamed          bool   // the unnamed statement was prepared in the current pipeline
	// pipelineOpen says that the last batch did not end with a Sync.
	pipelineOpen bool
	out          []byte
}

// mark is a prepared statement whose column name identifies the connection.
type mark struct {
	column   string
	describe []byte
}

// Dial connects and logs in before the context ends. The error is a
// *pgconn.PgError if the upstream rejected the login.
func Dial(ctx context.Context, loop *Loop, options ConnectOptions, stallTimeout time.Duration) (*Client, error) {
	host, port, err := net.SplitHostPort(options.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable host=" + host + " port=" + port)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cfg.User, cfg.Password, cfg.Database = options.User, options.Password, options.Database
	for name, value := range Defaults {
		cfg.RuntimeParams[name] = value
	}
	for name, value := range options.Parameters {
		cfg.RuntimeParams[name] = value
	}
	c := &Client{address: options.Address, status: 'I'}
	if !options.SkipMarks {
		c.generateMarks(cfg.RuntimeParams)
	}
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		var pe *pgconn.PgError
		if errors.As(err, &pe) {
			return nil, pe
		}
		return nil, Error.Wrap(err)
	}
	for i := range c.marks {
		if options.SkipMarks {
			break
		}
		name := c.marks[i].column
		if _, err := pc.Prepare(ctx, markName(i), "SHOW "+name, nil); err != nil {
			// The connection is unusable, so an error on closing it does not matter.
			_ = pc.Close(ctx)
			return nil, Error.Wrap(err)
		}
	}
	hijacked, err := pc.Hijack()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.pid, c.secret, c.parameters = hijacked.PID, hijacked.SecretKey, hijacked.ParameterStatuses
	if c.conn, err = loop.Add(hijacked.Conn, stallTimeout, false, c.closeIfUnexpected); err != nil {
		return nil, err
	}
	c.setIdle(true)
	return c, nil
}

// markName returns the name of the prepared statement of a mark.
func markName(i int) string { return "burdockseam_" + string(rune('0'+i)) }

// generateMarks chooses the connection's marks and adds the settings that their
// statements show to the startup parameters.
func (c *Client) generateMarks(parameters map[string]string) {
	var random [markRandomBytes]byte
	// The standard library documents that this never fails.
	_, _ = rand.Read(random[:])
	for i := range c.marks {
		column := "burdockseam.c" + hex.EncodeToString(random[:]) + "_" + string(rune('0'+i))
		parameters[column] = "on"
		c.marks[i] = mark{
			column:   column,
			describe: appendFrame(nil, typeDescribe, []byte{objectStatement}, []byte(markName(i)), []byte{0}),
		}
	}
}

// Parameter returns the value that the upstream reported for a setting at the login,
// or "".
func (c *Client) Parameter(name string) string { return c.parameters[name] }

// Cancel asks the upstream to cancel the statement that runs on the connection. It
// returns when the upstream has closed the connection of the request, or after a
// timeout.
func (c *Client) Cancel() {
	b, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return
	}
	sock, err := net.DialTimeout("tcp", c.address, cancelTimeout)
	if err != nil {
		return
	}
	// A cancel request has no answer; the upstream closes the connection.
	defer func() { _ = sock.Close() }()
	if sock.SetDeadline(time.Now().Add(cancelTimeout)) != nil {
		return
	}
	if _, err := sock.Write(b); err != nil {
		return
	}
	_, _ = sock.Read(make([]byte, 1))
}

// Close ends the connection with a Terminate message.
func (c *Client) Close() {
	c.setIdle(false)
	if b, err := (&pgproto3.Terminate{}).Encode(nil); err == nil {
		// The upstream sees the closed socket if the message does not reach it.
		_, _ = c.conn.Write(b)
	}
	c.conn.CloseFlushed()
}

// Answered reports whether all messages that were sent have been answered in full.
func (c *Client) Answered() bool { return c.replies.empty() }

// Done returns a channel that is closed when the connection has ended.
func (c *Client) Done() <-chan struct{} { return c.conn.Done() }

// setIdle records whether the connection is idle. Only an idle connection is parked.
func (c *Client) setIdle(idle bool) {
	c.mu.Lock()
	c.idle = idle
	c.mu.Unlock()
	if idle {
		c.conn.park()
	} else {
		c.conn.unpark()
	}
}

// closeIfUnexpected closes an idle connection on which the upstream has sent a
// message that answers no request.
func (c *Client) closeIfUnexpected() {
	c.mu.Lock()
	unexpected := c.idle && c.conn.hasUnexpected()
	c.mu.Unlock()
	if unexpected {
		c.conn.Close()
	}
}

// Next returns the next message of the answer. It leaves out replies to the proxy's
// own messages. A message that answers no request ends the connection.
func (c *Client) Next() (Frame, error) {
	for {
		for !c.replies.empty() && c.replies.first().mode == modeLocal {
			r := *c.replies.first()
			c.replies.head++
			if r.request == typeParse {
				return parseComplete, nil
			}
			return closeComplete, nil
		}
		f, err := c.conn.ReadFrame()
		if err != nil {
			return f, err
		}
		switch f.Type {
		case typeParameterStatus, typeNoticeResponse:
			return f, nil
		case typeNotificationResponse:
			continue
		case typeErrorResponse:
			if s := errorField(f.Body, 'S'); s == "FATAL" || s == "PANIC" {
				c.conn.Close()
				return f, NewRefusal(Unknown, "the upstream ended the connection (SQLSTATE %s)", errorField(f.Body, 'C'))
			}
		}
		relay, err := c.matchReply(f)
		if err != nil {
			c.conn.Close()
			return f, err
		}
		if relay {
			return f, nil
		}
	}
}

// matchReply matches a message to the first outstanding reply and reports whether
// Next returns the message.
func (c *Client) matchReply(f Frame) (relay bool, err error) {
	r, done, err := c.replies.match(f.Type)
	if err != nil {
		return false, err
	}
	if f.Type == typeErrorResponse {
		if r.mode == modeMark {
			return false, ErrUnexpectedReply
		}
		c.revertDropped(f)
		return true, nil
	}
	switch r.mode {
	case modeMark:
		if done && (f.Type != typeRowDescription || string(firstColumn(f.Body)) != r.name) {
			return false, ErrUnexpectedReply
		}
		return false, nil
	case modeHidden:
		return false, nil
	}
	if f.Type == typeReadyForQuery {
		if len(f.Body) != 1 || !strings.ContainsRune("ITE", rune(f.Body[0])) {
			return false, ErrUnexpectedReply
		}
		c.status = f.Body[0]
		if c.replies.empty() && c.status == 'I' {
			c.setIdle(true)
		}
	}
	return true, nil
}

// revertDropped corrects the list of prepared statements after an error: the upstream
// has not run the Parse and Close messages that it skipped.
func (c *Client) revertDropped(f Frame) {
	dropped := c.replies.dropped
	for i := len(dropped) - 1; i >= 0; i-- {
		switch r := &dropped[i]; {
		case r.name == "":
		case r.request == typeParse:
			c.statements.remove(r.name)
		case r.request == typeClose:
			c.statements.addStale(r.name, c.batchNumber)
		}
	}
	switch errorField(f.Body, 'C') {
	case stateDuplicate:
		if len(dropped) > 0 && dropped[0].request == typeParse && dropped[0].name != "" {
			c.statements.addStale(dropped[0].name, c.batchNumber)
		}
	case stateUnsupported, stateNoStatement:
		// A change of the schema may have made a cached plan invalid.
		c.statements.markAllStale()
	}
}

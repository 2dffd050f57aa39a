// Package upstream implements the control client for the upstreams of a database group.
// It calls the control functions described in docs/platform.md. All control functions are
// idempotent, so if a reused connection turns out to be broken, the call is sent once more
// on a new connection.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"burdockseam/core/wal"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/zeebo/errs"
)

// ControlDatabase is the database name that requests a control connection from an
// upstream. Control connections do not count against the upstream's connection limit.
const ControlDatabase = "group_control"

const (
	// minBackoff and maxBackoff bound the time between connection attempts. maxBackoff is
	// shorter than the 250 ms between status polls, so that no poll is skipped.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// The error classes of this package.
var (
	// Error is the class of errors that belong to no other class, such as an invalid
	// response.
	Error = errs.Class("upstream")
	// Unavailable is the class of calls without a response; it is unknown whether the call
	// took effect.
	Unavailable = errs.Class("upstream: unavailable")
	// Fenced is the class of calls that had no effect because the upstream is fenced at a
	// higher term.
	Fenced = errs.Class("upstream: fenced")
	// Rejected is the class of calls that the upstream rejected for another reason; they
	// had no effect.
	Rejected = errs.Class("upstream: rejected")
)

// codeFenced is the SQLSTATE with which a fenced upstream rejects calls of an older term.
const codeFenced = "BS010"

// Role is the replication role of an upstream.
type Role string

// The roles of an upstream.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Status is the state of an upstream, which every control function returns.
type Status struct {
	Role Role
	// FencedTerm is the lowest term that the upstream accepts.
	FencedTerm uint64
	// LogEnd is the position of the last log entry.
	LogEnd wal.Position
	// FollowedAddr is the address of the primary from which a replica replicates, or empty.
	FollowedAddr string
}

// Config configures a Client.
type Config struct {
	// Addr is the upstream's host and port.
	Addr string
	// User and Password are the credentials of the proxy, not of a caller.
	User, Password string
	// ApplicationName is the application_name of the connection.
	ApplicationName string
	// Seed seeds the random jitter of the backoff between connection attempts, so that
	// clients do not reconnect at the same time.
	Seed uint64
}

// Client calls one upstream over one connection, which it opens on demand. Concurrent
// calls run one after the other. A Status call that waits for an offset occupies the
// connection, so calls that must not wait for it need another Client.
type Client struct {
	connConfig  *pgconn.Config
	callSlot    chan struct{} // semaphore of size 1, held while a call runs; guards the fields below
	conn        *pgconn.PgConn
	rng         *rand.Rand
	backoff     time.Duration
	nextAttempt time.Time // earliest time of the next connection attempt
	closed      bool
}

// New returns a client for one upstream. It does not connect yet.
func New(c Config) (*Client, error) {
	host, portText, err := net.SplitHostPort(c.Addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// Every setting gets a placeholder, because pgconn takes missing settings from
	// environment variables.
	cfg, err := pgconn.ParseConfig("host=127.0.0.1 port=1 user=x password=x dbname=x sslmode=disable")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cfg.Host, cfg.Port, cfg.User, cfg.Password, cfg.Database = host, uint16(port), c.User, c.Password, ControlDatabase
	cfg.RuntimeParams = map[string]string{"application_name": c.ApplicationName}
	cfg.Fallbacks = nil
	return &Client{
		connConfig: cfg,
		callSlot:   make(chan struct{}, 1),
		rng:        rand.New(rand.NewPCG(c.Seed, uint64(port))),
		backoff:    minBackoff,
	}, nil
}

// Close waits for the running call and closes the connection. Later calls fail.
func (c *Client) Close() {
	c.callSlot <- struct{}{}
	defer func() { <-c.callSlot }()
	c.closed = true
	c.closeConn()
}

// Status returns the state of the upstream after its log has reached the offset or the
// wait time has passed. With offset 0 it returns immediately.
func (c *Client) Status(ctx context.Context, offset uint64, wait time.Duration) (Status, error) {
	st, _, err := c.call(ctx, "group_status(%d, %d)", offset, wait.Milliseconds())
	return st, err
}

// Fence makes the upstream reject statements, replication and promotions of terms lower
// than the given term.
func (c *Client) Fence(ctx context.Context, term uint64) (Status, error) {
	st, _, err := c.call(ctx, "group_fence(%d)", term)
	return st, err
}

// Promote makes the upstream the primary of the term. start is the log offset at which the
// term begins; the log of the upstream must end at this offset.
func (c *Client) Promote(ctx context.Context, term, start uint64) (Status, error) {
	st, _, err := c.call(ctx, "group_promote(%d, %d)", term, start)
	return st, err
}

// Follow makes the upstream a replica of the primary, which is given by its address. The
// last entry of the history must be that of the term. The upstream removes the log entries
// that are not part of the history; dropped is their number.
func (c *Client) Follow(ctx context.Context, term uint64, primary string, h wal.History) (st Status, dropped int, err error) {
	starts := make([]string, len(h))
	for i, s := range h {
		starts[i] = wal.Position(s).String()
	}
	return c.call(ctx, "group_follow(%d, '%s', '%s')", term, strings.ReplaceAll(primary, "'", "''"), strings.Join(starts, ","))
}

// call runs a control function. It repeats the call once on a new connection if a reused
// connection was broken.
func (c *Client) call(ctx context.Context, format string, args ...any) (Status, int, error) {
	select {
	case c.callSlot <- struct{}{}:
		defer func() { <-c.callSlot }()
	case <-ctx.Done():
		return Status{}, 0, Unavailable.Wrap(ctx.Err())
	}
	sql := "SELECT * FROM " + fmt.Sprintf(format, args...)
	reused := c.conn != nil && !c.conn.IsClosed()
	res, err := c.exec(ctx, sql)
	if Unavailable.Has(err) && reused && ctx.Err() == nil {
		res, err = c.exec(ctx, sql)
	}
	if err != nil {
		return Status{}, 0, err
	}
	return decodeStatus(res)
}

// exec runs one statement. It opens a new connection if there is none or the existing one
// is closed.
func (c *Client) exec(ctx context.Context, sql string) (*pgconn.Result, error) {
	if c.closed {
		return nil, Error.New("the client is closed")
	}
	if c.conn == nil || c.conn.IsClosed() {
		if err := c.connect(ctx); err != nil {
			return nil, Unavailable.Wrap(err)
		}
	}
	res, err := c.conn.Exec(ctx, sql).ReadAll()
	var e *pgconn.PgError
	switch {
	case err == nil && len(res) == 1:
		return res[0], nil
	case err == nil:
		return nil, Error.New("the control call returned %d results, want 1", len(res))
	case errors.As(err, &e) && !c.conn.IsClosed():
		if e.Code == codeFenced {
			return nil, Fenced.Wrap(err)
		}
		return nil, Rejected.Wrap(err)
	}
	c.closeConn()
	return nil, Unavailable.Wrap(err)
}

// connect opens a connection after the backoff of the last failed attempt has passed.
func (c *Client) connect(ctx context.Context) error {
	if d := time.Until(c.nextAttempt); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	conn, err := pgconn.ConnectConfig(ctx, c.connConfig)
	if err != nil {
		c.nextAttempt = time.Now().Add(c.backoff/2 + time.Duration(c.rng.Int64N(int64(c.backoff/2)+1)))
		c.backoff = min(2*c.backoff, maxBackoff)
		return err
	}
	c.conn, c.backoff, c.nextAttempt = conn, minBackoff, time.Time{}
	return nil
}

// closeConn closes the connection without notifying the upstream.
func (c *Client) closeConn() {
	if c.conn != nil {
		// The connection is not used any more, so an error while closing it is irrelevant.
		_ = c.conn.Conn().Close()
		c.conn = nil
	}
}

// decodeStatus converts the only row of a control function's result. dropped is 0 if the
// result has no column cut.
func decodeStatus(res *pgconn.Result) (st Status, dropped int, err error) {
	if len(res.Rows) != 1 {
		return st, 0, Error.New("the control call returned %d rows, want 1", len(res.Rows))
	}
	columns := map[string]string{}
	for i, field := range res.FieldDescriptions {
		columns[field.Name] = string(res.Rows[0][i])
	}
	parseUint := func(name string) (n uint64) {
		n, e := strconv.ParseUint(columns[name], 10, 64)
		if e != nil && err == nil {
			err = Error.New("column %s is %q, want an unsigned integer", name, columns[name])
		}
		return n
	}
	st.Role = Role(columns["role"])
	if st.Role != RolePrimary && st.Role != RoleReplica {
		err = Error.New("column role is %q, want primary or replica", columns["role"])
	}
	st.FencedTerm = parseUint("fenced_term")
	st.LogEnd = wal.Position{Term: parseUint("log_term"), Offset: parseUint("log_offset")}
	st.FollowedAddr = columns["following"]
	if _, ok := columns["cut"]; ok {
		dropped = int(parseUint("cut"))
	}
	return st, dropped, err
}

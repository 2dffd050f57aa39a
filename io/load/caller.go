package load

// A caller is one session of a team. It moves between instances with its session token
// and checks each response at once. What only the surviving primaries show is left to
// Check.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"burdockseam/core/session"
	"burdockseam/core/wal"
	"burdockseam/io/postgres"
)

const (
	bookingsTable = "bookings"
	pairsTable    = "pairs"
	// statementTimeout bounds each statement. It exceeds the proxy's own deadlines.
	statementTimeout = 10 * time.Second
	// connectTimeout bounds one attempt to connect.
	connectTimeout = 2 * time.Second
	// maxConnectAttempts is the number of attempts to connect to a random instance, as a
	// load balancer makes them.
	maxConnectAttempts = 4
)

// caller is one session of a pool.
type caller struct {
	run    *Run
	pool   pool
	name   string
	random *rand.Rand

	conn         *pgconn.PgConn
	token        string
	sessionStart time.Time // when the session began without a token
	requestCount int
	ownWrites    []string
}

// serve performs requests until the channel is closed. Once the context has ended it
// only counts them as unsent.
func (c *caller) serve(ctx context.Context, requests <-chan arrival) {
	defer c.disconnect()
	for a := range requests {
		if ctx.Err() != nil {
			c.run.unsent.Add(1)
			continue
		}
		if a.reconnect {
			c.disconnect()
		}
		c.perform(ctx, a)
	}
}

// perform sends a request and adds its event to the run.
func (c *caller) perform(ctx context.Context, a arrival) {
	c.requestCount++
	e := Event{Kind: a.kind, Team: c.pool.team.Name, Group: c.pool.group, Planned: c.run.started.Add(a.at), Sent: time.Now()}
	e.ID = fmt.Sprintf("%s-%d", c.name, c.requestCount)
	c.attempt(ctx, a.kind, &e)
	if e.Reason == reasonShutdown && e.Statements == 0 {
		// The instance closed the connection while it was idle. A driver's pool notices
		// this and connects again.
		c.disconnect()
		c.run.retriedElsewhere.Add(1)
		c.attempt(ctx, a.kind, &e)
	}
	e.Completed = time.Now()
	e.Position = c.observedPosition()
	if e.Outcome == OutcomeDone && a.kind != KindRead {
		if a.kind != KindTransaction {
			c.ownWrites = append(c.ownWrites, e.ID)
			c.run.addAcknowledged(e)
		}
	}
	c.run.addEvent(e)
}

// attempt connects if necessary, performs the request once and sets its outcome.
func (c *caller) attempt(ctx context.Context, kind Kind, e *Event) {
	err := c.connect(ctx)
	if err != nil {
		e.Outcome, e.Reason = OutcomeNotRun, "no instance accepted the connection"
		return
	}
	switch kind {
	case KindRead:
		err = c.read(e)
	case KindWrite:
		err = c.write(e)
	case KindKeyed:
		err = c.writeKeyed(ctx, e)
	case KindTransaction:
		err = c.runTransaction(e)
	}
	e.Outcome, e.Reason = classifyError(err)
}

// connect opens a connection to a random instance, unless the caller has a connection.
func (c *caller) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	var err error
	for range maxConnectAttempts {
		list := c.run.cluster.Endpoints()
		if len(list) == 0 {
			return Error.New("no instance is running")
		}
		var cfg *pgconn.Config
		if cfg, err = pgconn.ParseConfig(c.run.callerURL(list[c.random.IntN(len(list))], c.pool.team.Name, c.pool.route, c.run.Fleet.Keys[c.pool.team.Name])); err != nil {
			return Error.Wrap(err)
		}
		if c.token != "" {
			cfg.RuntimeParams[postgres.ParameterToken] = c.token
		}
		dial, cancel := context.WithTimeout(ctx, connectTimeout)
		started := time.Now()
		c.conn, err = pgconn.ConnectConfig(dial, cfg)
		cancel()
		if err == nil {
			// A connection with a token continues the session. Without a token it begins a
			// new one.
			if c.token == "" {
				c.sessionStart = started
			}
			return nil
		}
		c.conn = nil
	}
	return Error.Wrap(err)
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// An error does not matter, since the connection is given up anyway.
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// stateShutdown is the SQLSTATE with which an instance closes a connection when it
// shuts down.
const stateShutdown = "57P01"

var errClosed = errors.New("the connection was closed")

// exec runs one statement, keeps the session's new token and returns the rows. A
// statement that succeeds is counted as admitted.
func (c *caller) exec(e *Event, sql string) ([][][]byte, error) {
	if c.conn == nil {
		return nil, errClosed
	}
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if text := c.conn.ParameterStatus(postgres.ParameterToken); text != "" {
		c.token = text
	}
	if c.conn.IsClosed() {
		c.conn = nil
	}
	if err != nil {
		return nil, err
	}
	e.Statements++
	if len(results) == 0 {
		return nil, nil
	}
	return results[0].Rows, nil
}

// observedPosition returns the position of the caller's group in the session's token, or
// the zero position.
func (c *caller) observedPosition() wal.Position {
	t, err := session.Decode(c.pool.team.Name, []byte(fleetSecret), c.token)
	if err != nil {
		return wal.Position{}
	}
	p, _ := t.Position(c.pool.group)
	return p
}

// read requests a row that the session must see: one of its own writes, a write that was
// acknowledged before the session began, or, on a route with bounded staleness, a write
// that is older than the bound.
func (c *caller) read(e *Event) error {
	id := ""
	if len(c.ownWrites) > 0 && c.random.IntN(2) == 0 {
		id = c.ownWrites[len(c.ownWrites)-1-c.random.IntN(min(3, len(c.ownWrites)))]
	} else {
		limit := c.sessionStart
		if c.pool.bounded {
			limit = e.Sent.Add(-c.run.Fleet.Deployment.Staleness)
		}
		id = c.run.writtenBefore(c.pool.group, limit)
	}
	if id == "" {
		_, err := c.exec(e, "SELECT id, state FROM "+bookingsTable+" WHERE id = 'none'")
		return err
	}
	rows, err := c.exec(e, fmt.Sprintf("SELECT id, state FROM %s WHERE id = '%s'", bookingsTable, id))
	if err != nil {
		return err
	}
	e.Stale = len(rows) == 0
	e.Foreign = hasForeignRow(rows, id)
	return nil
}

// hasForeignRow reports whether the rows hold anything but the booking with the id, or
// hold it more than once.
func hasForeignRow(rows [][][]byte, id string) bool {
	for _, row := range rows {
		if len(row) != 2 || string(row[0]) != id || string(row[1]) != "s-"+id {
			return true
		}
	}
	return len(rows) > 1
}

// insertBooking returns the statement that inserts a booking. The state contains the id,
// so that hasForeignRow recognizes a row of another booking.
func insertBooking(id string) string {
	return fmt.Sprintf("INSERT INTO %s (id, state) VALUES ('%s', 's-%s')", bookingsTable, id, id)
}

// write inserts a booking.
func (c *caller) write(e *Event) error {
	_, err := c.exec(e, insertBooking(e.ID))
	return err
}

// writeKeyed inserts a booking with an idempotency key. It retries with the same key, up
// to three attempts in all, until the outcome is known.
func (c *caller) writeKeyed(ctx context.Context, e *Event) error {
	var err, unknown error
	for range 3 {
		if err = c.connect(ctx); err != nil {
			err = errClosed
			break
		}
		if _, err = c.exec(&Event{}, "SET burdockseam.idempotency_key = '"+e.ID+"'"); err == nil {
			_, err = c.exec(e, insertBooking(e.ID))
		}
		if o, _ := classifyError(err); o != OutcomeUnknown {
			break
		}
		unknown = err
		c.disconnect()
	}
	// The refusal of a retry does not tell whether an earlier attempt ran.
	if err != nil && unknown != nil {
		return unknown
	}
	return err
}

// runTransaction runs a transaction whose two rows must appear together or not at all.
// The caller rolls one in four back.
func (c *caller) runTransaction(e *Event) error {
	rollback := c.random.IntN(4) == 0
	insertPart := func(n int) string {
		return fmt.Sprintf("INSERT INTO %s (id, part) VALUES ('%s', '%d')", pairsTable, e.ID, n)
	}
	end := "COMMIT"
	if rollback {
		end = "ROLLBACK"
	}
	for _, sql := range []string{"BEGIN", insertPart(1), insertPart(2)} {
		if _, err := c.exec(e, sql); err != nil {
			c.disconnect()
			return uncommitted(err)
		}
	}
	rows, err := c.exec(e, fmt.Sprintf("SELECT id, part FROM %s WHERE id = '%s'", pairsTable, e.ID))
	if err != nil {
		c.disconnect()
		return uncommitted(err)
	}
	e.Mixed = len(rows) != 2
	for _, row := range rows {
		e.Foreign = e.Foreign || len(row) != 2 || string(row[0]) != e.ID
	}
	_, err = c.exec(e, end)
	if err == nil && rollback {
		return &abortError{}
	}
	if rollback {
		return uncommitted(err)
	}
	return err
}

// abortError is the result of a transaction that was not committed. Its caller rolled it
// back if cause is nil, and otherwise it failed with cause. No row of it may be found.
type abortError struct{ cause error }

func (r *abortError) Error() string { return "rolled back" }

// uncommitted wraps an error from before the commit was sent. No row of the transaction
// may be found then, even if the outcome of the failed statement itself is unknown.
func uncommitted(err error) error { return &abortError{cause: err} }

// classifyError returns what the caller knows about a request that ended with the error,
// and why it did not succeed.
func classifyError(err error) (Outcome, string) {
	var pe *pgconn.PgError
	var aborted *abortError
	switch {
	case err == nil:
		return OutcomeDone, ""
	case errors.As(err, &aborted) && aborted.cause == nil:
		return OutcomeNotRun, reasonRolledBack
	case errors.As(err, &aborted):
		o, reason := classifyError(aborted.cause)
		if o == OutcomeUnknown {
			return OutcomeNotRun, reasonAborted
		}
		return o, reason
	case errors.As(err, &pe) && pe.Code == postgres.StateNotRun:
		return OutcomeNotRun, pe.Message + ": " + pe.Detail
	case errors.As(err, &pe) && pe.Code == postgres.StateUnknown:
		return OutcomeUnknown, pe.Message + ": " + pe.Detail
	case errors.As(err, &pe) && pe.Code == stateShutdown:
		return OutcomeNotRun, reasonShutdown
	case errors.As(err, &pe):
		return OutcomeFailed, pe.Code + ": " + pe.Message
	case errors.Is(err, errClosed) || pgconn.SafeToRetry(err):
		return OutcomeNotRun, reasonClosed
	}
	return OutcomeUnknown, "the connection was lost"
}

// Reasons that the load tool gives itself, where the proxy has sent none.
const (
	reasonRolledBack = "rolled back by the caller"
	reasonAborted    = "the transaction was lost before its commit"
	reasonShutdown   = "the instance was shut down"
	reasonClosed     = "the connection was closed before the request"
)

package postgres

// Tests of answers that are delayed, lost, swapped or truncated.

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// The upstream swaps answers between two connections. Such an answer must be reported
// as unknown, and no caller may get another caller's rows.
func TestSwappedAnswers(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement} {
		t.Run(mode.String(), func(t *testing.T) {
			f := startServer(t, func(f *fixture) { f.handler.quiet = true })
			u := f.group.Primary()
			const callers = 4
			var conns []*pgx.Conn
			for i := range callers {
				c := f.dial(t)
				exec(t, c, "CREATE TABLE IF NOT EXISTS t (k text PRIMARY KEY, v text)")
				exec(t, c, "INSERT INTO t VALUES ($1, $1)", fmt.Sprint("k", i))
				conns = append(conns, c)
			}
			u.SetExecTime(2 * time.Millisecond)
			u.DelayResponses(time.Millisecond)
			u.SwapResponses(20)
			var wg sync.WaitGroup
			var mu sync.Mutex
			unknown := 0
			for i, c := range conns {
				wg.Go(func() {
					want := fmt.Sprint("k", i)
					for range 40 {
						ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
						var got string
						err := c.QueryRow(ctx, "SELECT v FROM t WHERE k = $1", mode, want).Scan(&got)
						cancel()
						switch code := sqlState(err); {
						case code == StateUnknown || code == StateNotRun:
							mu.Lock()
							unknown++
							mu.Unlock()
						case code != "" || got != want:
							t.Errorf("caller %d got %q, %v", i, got, err)
							return
						}
					}
				})
			}
			// The upstream holds an answer until another one can take its place. The last answer
			// has no other one, so swapping is turned off for it.
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			select {
			case <-done:
			case <-time.After(2 * time.Second):
				u.SwapResponses(0)
				<-done
			}
			u.SwapResponses(0)
			if unknown == 0 {
				t.Error("no answer was swapped")
			}
			eventually(t, "service is back", func() bool {
				return queryValue(t, f.dial(t), "SELECT v FROM t WHERE k = 'k0'") == "k0"
			})
		})
	}
}

// A write whose answer is lost must be reported as unknown, and must not be retried
// unless the session asks for it.
func TestLostAnswerUnknown(t *testing.T) {
	f := startServer(t, nil)
	c := f.dial(t)
	exec(t, c, "CREATE TABLE t (k text PRIMARY KEY)")
	u := f.group.Primary()
	u.LoseResponses(1, false)
	_, err := c.Exec(contextWithTimeout(t), "INSERT INTO t VALUES ('a')")
	equal(t, "state", sqlState(err), StateUnknown)
	equal(t, "rows", len(u.Rows("t")), 1)
	exec(t, c, "INSERT INTO t VALUES ('b')")

	f.handler.retry = func(b *Batch, err error) bool { return b.IdempotencyKey == "K" }
	u.LoseResponses(1, false)
	exec(t, c, "SET burdockseam.idempotency_key = 'K'")
	exec(t, c, "INSERT INTO t VALUES ('c') ON CONFLICT DO NOTHING")
	u.LoseResponses(1, false)
	_, err = c.Exec(contextWithTimeout(t), "INSERT INTO t VALUES ('d')")
	equal(t, "the key applied to one write only", sqlState(err), StateUnknown)
	equal(t, "rows", len(u.Rows("t")), 4)
}

// A replica's read-only error proves that nothing ran. The session must be asked for a
// retry, and the caller must see only the answer of the second attempt.
func TestRetryAfterRejection(t *testing.T) {
	f := startServer(t, nil)
	replica := startServer(t, nil)
	check(t, fencePrimary(t, replica))
	primary := f.handler.pool
	f.handler.pool = replica.handler.pool
	f.handler.retry = func(_ *Batch, err error) bool {
		if sqlState(err) != StateReadOnly {
			return false
		}
		f.handler.pool = primary
		return true
	}
	c := f.dial(t)
	exec(t, c, "CREATE TABLE t (k text PRIMARY KEY)")
	f.handler.pool = replica.handler.pool
	exec(t, c, "INSERT INTO t VALUES ($1)", "a")
	equal(t, "rows", len(f.group.Primary().Rows("t")), 1)

	f.handler.retry = nil
	f.handler.pool = replica.handler.pool
	_, err := c.Exec(contextWithTimeout(t), "INSERT INTO t VALUES ('b')")
	equal(t, "without a retry", sqlState(err), StateReadOnly)
}

// fencePrimary fences the only upstream of a group, which makes it a replica.
func fencePrimary(t *testing.T, f *fixture) error {
	u := f.group.Primary()
	c, err := pgconn.Connect(contextWithTimeout(t), "postgres://proxy:secret@"+u.Addr()+"/group_control?sslmode=disable")
	if err != nil {
		return err
	}
	defer c.Close(context.Background())
	_, err = c.Exec(contextWithTimeout(t), "SELECT * FROM group_fence(2)").ReadAll()
	return err
}

// A statement on a connection that was opened for another term must be reported as not
// run.
func TestWrongTermNotRun(t *testing.T) {
	f := startServer(t, func(f *fixture) { f.handler.pool.options.Parameters = map[string]string{"group.term": "1"} })
	c := f.dial(t)
	exec(t, c, "CREATE TABLE t (k text PRIMARY KEY)")
	check(t, fencePrimary(t, f))
	_, err := c.Exec(contextWithTimeout(t), "INSERT INTO t VALUES ('a')")
	equal(t, "state", sqlState(err), StateNotRun)
}

// A transaction that is lost with its upstream must stay failed until the caller ends
// it. Statements that the caller sends before that must not run outside a transaction.
func TestLostTransaction(t *testing.T) {
	f := startServer(t, nil)
	u := f.group.Primary()
	exec(t, f.dial(t), "CREATE TABLE t (k text PRIMARY KEY)")
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		c := f.dial(t)
		for _, end := range []string{"COMMIT", "ROLLBACK"} {
			exec(t, c, "BEGIN")
			equal(t, "insert", execMode(t, c, mode, "INSERT INTO t VALUES ('a')"), "")
			u.Crash()
			eventually(t, "the connection ends", func() bool { return u.Stats().Open == 0 })
			u.Restart()
			if code := execMode(t, c, mode, "INSERT INTO t VALUES ('b')"); code != StateUnknown && code != StateNotRun {
				t.Errorf("after the crash: %s", code)
			}
			equal(t, "status", c.PgConn().TxStatus(), byte('E'))
			equal(t, "insert", execMode(t, c, mode, "INSERT INTO t VALUES ('c')"), stateTransactionAborted)
			equal(t, "read", execMode(t, c, mode, "SELECT 1"), stateTransactionAborted)
			rows, err := c.Query(contextWithTimeout(t), end, mode)
			check(t, err)
			rows.Close()
			check(t, rows.Err())
			equal(t, "tag", rows.CommandTag().String(), "ROLLBACK")
			equal(t, "status", c.PgConn().TxStatus(), byte('I'))
			exec(t, c, "SELECT 1")
		}
	}
	equal(t, "rows", len(u.Rows("t")), 0)
}

// A statement whose plan has become invalid must be prepared again, although other
// callers use the same statement on the connection.
func TestInvalidPlan(t *testing.T) {
	var mu sync.Mutex
	prepares, fail := 0, false
	u := newScripted(t, func(s *scriptedConn) {
		mu.Lock()
		defer mu.Unlock()
		if fail {
			fail = false
			s.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: stateUnsupported, Message: "cached plan must not change result type"})
			s.skipToSync = true
			return
		}
		s.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")})
	})
	u.onParse = func(string) { mu.Lock(); prepares++; mu.Unlock() }
	f := startServerFor(t, nil, u.address, nil)
	a, b := dialRaw(t, f), dialRaw(t, f)
	for _, r := range []*rawCaller{a, b} {
		r.send(&pgproto3.Parse{Name: "s", Query: "SELECT v FROM t"}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		r.expect("12CZ")
	}
	mu.Lock()
	equal(t, "prepared once for both", prepares, 1)
	fail = true
	mu.Unlock()
	a.send(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	a.expect("2EZ")
	for _, r := range []*rawCaller{a, b} {
		r.send(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		r.expect("2CZ")
	}
	mu.Lock()
	defer mu.Unlock()
	equal(t, "prepared again", prepares, 2)
}

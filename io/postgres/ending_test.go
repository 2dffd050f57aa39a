package postgres

// Tests of cancel requests and of the orderly end of sessions.

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// startStatement runs a statement in the background and returns when the upstream
// executes it.
func (f *fixture) startStatement(t *testing.T, c *pgx.Conn, sql string) <-chan error {
	t.Helper()
	done := make(chan error, 1)
	u := f.group.Primary()
	before := u.Stats().Executing
	go func() {
		_, err := c.Exec(context.Background(), sql, pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	eventually(t, "the statement runs", func() bool { return u.Stats().Executing > before })
	return done
}

// cancelUntilEnded sends cancel requests until the statement has ended, since a request
// that arrives before the statement starts has no effect. It returns the statement's
// SQLSTATE.
func cancelUntilEnded(t *testing.T, c *pgx.Conn, done <-chan error) string {
	t.Helper()
	var err error
	eventually(t, "the statement ends", func() bool {
		check(t, c.PgConn().CancelRequest(contextWithTimeout(t)))
		select {
		case err = <-done:
			return true
		case <-time.After(100 * time.Millisecond):
			return false
		}
	})
	return sqlState(err)
}

// A cancel request must end only the statement of its own caller, and must never affect
// the next user of the connection.
func TestCancel(t *testing.T) {
	f := startServer(t, nil)
	a, b := f.dial(t), f.dial(t)
	first := f.startStatement(t, a, "SELECT pg_sleep(600)")
	second := f.startStatement(t, b, "SELECT pg_sleep(600)")
	equal(t, "cancelled", cancelUntilEnded(t, a, first), "57014")
	select {
	case err := <-second:
		t.Errorf("the other statement ended: %v", err)
	default:
	}
	f.handler.pool.mu.Lock()
	equal(t, "the connection is closed", f.handler.pool.closed, 1)
	f.handler.pool.mu.Unlock()
	// The session runs nothing now, so there is nothing to cancel.
	check(t, a.PgConn().CancelRequest(contextWithTimeout(t)))
	exec(t, a, "SELECT 1")
	equal(t, "cancelled", cancelUntilEnded(t, b, second), "57014")
}

// Cancel requests with an unknown key must be forwarded, and a wrong secret must cancel
// nothing.
func TestForwardCancel(t *testing.T) {
	type key struct {
		pid    uint32
		secret string
	}
	forwarded := make(chan key, 10)
	f := startServer(t, func(f *fixture) {
		f.server.ForwardCancel = func(pid uint32, secret []byte) { forwarded <- key{pid, string(secret)} }
	})
	r, other := dialRaw(t, f), dialRaw(t, f)
	if string(r.key.SecretKey) == string(other.key.SecretKey) {
		t.Error("two sessions have one secret")
	}
	c := connectRaw(t, f)
	c.send(&pgproto3.CancelRequest{ProcessID: r.key.ProcessID, SecretKey: []byte("nope")})
	c.waitClosed()
	equal(t, "forwarded", receive(t, forwarded), key{r.key.ProcessID, "nope"})
	equal(t, "known", f.server.Cancel(r.key.ProcessID, r.key.SecretKey), true)
	equal(t, "wrong secret", f.server.Cancel(r.key.ProcessID, other.key.SecretKey), false)
	equal(t, "no secret", f.server.Cancel(r.key.ProcessID, nil), false)
}

// A shutdown must let statements and transactions finish, notify idle callers and accept
// no new connections.
func TestDrain(t *testing.T) {
	f := startServer(t, nil)
	idle, running, open := dialRaw(t, f), f.dial(t), f.dial(t)
	exec(t, running, "CREATE TABLE t (k text)")
	exec(t, open, "BEGIN")
	done := f.startStatement(t, running, "SELECT pg_sleep(0.3)")
	cut := make(chan int, 1)
	go func() { cut <- f.server.Drain(contextWithTimeout(t)) }()
	equal(t, "idle caller", idle.waitClosed(), stateShutdown)
	if _, err := net.Dial("tcp", f.address); err == nil {
		t.Error("a new connection was accepted")
	}
	exec(t, open, "INSERT INTO t VALUES ('a')")
	check(t, receive(t, done))
	exec(t, open, "COMMIT")
	equal(t, "cut", receive(t, cut), 0)
	equal(t, "rows", len(f.group.Primary().Rows("t")), 1)
	equal(t, "sessions closed", f.handler.closed.Load(), 3)
}

// A shutdown that runs out of time must return the number of requests that it cut.
func TestDrainTimeout(t *testing.T) {
	f := startServer(t, nil)
	running, open := f.dial(t), f.dial(t)
	exec(t, open, "BEGIN")
	done := f.startStatement(t, running, "SELECT pg_sleep(600)")
	ctx, cancel := context.WithCancel(context.Background())
	cut := make(chan int, 1)
	go func() { cut <- f.server.Drain(ctx) }()
	time.Sleep(10 * time.Millisecond)
	cancel()
	equal(t, "cut", receive(t, cut), 2)
	if err := receive(t, done); err == nil {
		t.Error("the statement succeeded")
	}
	eventually(t, "callers are gone", func() bool { return f.server.Callers() == 0 })
}

// A session that is ended must not run a new statement, its open transaction must be
// rolled back, and a running statement must still be answered. Other sessions continue.
func TestEndSessions(t *testing.T) {
	f := startServer(t, nil)
	dial := func(team string) *pgx.Conn {
		c, err := pgx.Connect(contextWithTimeout(t), "postgres://"+team+":key@"+f.address+"/route?sslmode=disable")
		check(t, err)
		t.Cleanup(func() { c.Close(context.Background()) })
		return c
	}
	running, open, idleInTransaction, other := dial("bad"), dial("bad"), dial("bad"), dial("good")
	exec(t, other, "CREATE TABLE t (k text)")
	exec(t, open, "BEGIN")
	exec(t, open, "INSERT INTO t VALUES ('a')")
	exec(t, idleInTransaction, "BEGIN")
	done := f.startStatement(t, running, "SELECT pg_sleep(0.2)")
	n := f.server.EndSessions(func(s Session) bool { return s.(*testSession).team == "bad" }, "the key was withdrawn")
	equal(t, "sessions ended", n, 3)
	_, err := open.Exec(contextWithTimeout(t), "COMMIT")
	if code := sqlState(err); code == "" {
		t.Error("a statement ran after EndSessions")
	}
	check(t, receive(t, done))
	if _, err := running.Exec(contextWithTimeout(t), "SELECT 1"); err == nil {
		t.Error("a statement ran after EndSessions")
	}
	exec(t, other, "SELECT 1")
	eventually(t, "the transactions are rolled back", func() bool {
		f.handler.pool.mu.Lock()
		defer f.handler.pool.mu.Unlock()
		return f.handler.pool.closed == 2
	})
	equal(t, "rows", len(f.group.Primary().Rows("t")), 0)
	eventually(t, "the callers of ended sessions are gone", func() bool { return f.server.Callers() == 1 })
}

// EndSessions must also apply to a login in progress.
func TestEndSessionsDuringLogin(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	f := startServer(t, func(f *fixture) {
		f.handler.login = func(Startup) error { close(started); <-proceed; return nil }
	})
	failed := make(chan error, 1)
	go func() {
		_, err := pgconn.Connect(context.Background(), f.url())
		failed <- err
	}()
	<-started
	f.server.EndSessions(func(Session) bool { return true }, "the key was withdrawn")
	close(proceed)
	equal(t, "login", sqlState(receive(t, failed)), stateShutdown)
}

// A session that is ended while it waits for a connection must not send its batch.
func TestEndSessionsDuringOpen(t *testing.T) {
	f := startServer(t, nil)
	c, other := f.dial(t), f.dial(t)
	exec(t, other, "CREATE TABLE t (k text)")
	for range cap(f.handler.pool.slots) {
		f.handler.pool.slots <- struct{}{}
	}
	done := make(chan error, 1)
	batches := len(f.handler.batches)
	go func() {
		_, err := c.Exec(context.Background(), "INSERT INTO t VALUES ('a')")
		done <- err
	}()
	eventually(t, "the batch waits", func() bool {
		f.handler.mu.Lock()
		defer f.handler.mu.Unlock()
		return len(f.handler.batches) > batches
	})
	f.server.EndSessions(func(Session) bool { return true }, "the key was withdrawn")
	for range cap(f.handler.pool.slots) {
		<-f.handler.pool.slots
	}
	if err := receive(t, done); err == nil {
		t.Error("the statement ran")
	}
	equal(t, "rows", len(f.group.Primary().Rows("t")), 0)
}

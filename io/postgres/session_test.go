package postgres

// Tests of the statements that callers may send on shared connections, and of the batches
// that the session gets.

import (
	"strconv"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"burdockseam/core/statement"
)

// execMode executes a statement in one of the driver's query modes and returns its
// SQLSTATE.
func execMode(t *testing.T, c *pgx.Conn, mode pgx.QueryExecMode, sql string) string {
	t.Helper()
	rows, err := c.Query(contextWithTimeout(t), sql, mode)
	if err == nil {
		rows.Close()
		err = rows.Err()
	}
	return sqlState(err)
}

// Statements whose effects would reach the next user of a connection must be refused
// before any part of their batch runs.
func TestRefusedStatements(t *testing.T) {
	f := startServer(t, nil)
	c := f.dial(t)
	exec(t, c, "CREATE TABLE t (k text PRIMARY KEY)")
	for _, sql := range []string{
		"COPY t FROM STDIN", "COPY t TO STDOUT", "SET search_path = x", "SET ROLE other",
		"SET SESSION AUTHORIZATION other", "SET LOCAL statement_timeout = 1", "SET TimeZone = 'Asia/Kolkata'",
		"LISTEN c", "CREATE TEMP TABLE x (k text)", "SELECT 1 INTO TEMP x", "SELECT pg_advisory_lock(1)",
		"SELECT set_config('search_path', 'x', false)", "PREPARE p AS SELECT 1", "EXECUTE p",
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1", "LOAD 'x'", "SELECT lastval()",
	} {
		equal(t, sql, execMode(t, c, pgx.QueryExecModeSimpleProtocol, sql), stateUnsupported)
		equal(t, sql, execMode(t, c, pgx.QueryExecModeExec, sql), stateUnsupported)
	}
	for _, sql := range []string{
		"INSERT INTO t VALUES ('a'); COPY t FROM STDIN", "INSERT INTO t VALUES ('b'); SET application_name = 'x'",
	} {
		equal(t, sql, execMode(t, c, pgx.QueryExecModeSimpleProtocol, sql), stateUnsupported)
	}
	equal(t, "rows", len(f.group.Primary().Rows("t")), 0)
	for _, sql := range []string{
		"SET application_name = 'x'", "SET client_encoding TO 'UTF8'", "SET NAMES 'utf8'", "SET DateStyle = ISO, MDY",
		"SET extra_float_digits = 3", "SET TIME ZONE 'UTC'", "RESET ALL", "DISCARD ALL", "DEALLOCATE ALL", "UNLISTEN *",
		"SET standard_conforming_strings = on; SET SESSION application_name = 'y'",
	} {
		equal(t, sql, execMode(t, c, pgx.QueryExecModeSimpleProtocol, sql), "")
	}
	for _, s := range f.group.Primary().Stats().Statements {
		if k := statement.Classify(s); k == statement.Set || k == statement.Copy {
			t.Errorf("the upstream got %q", s)
		}
	}
	equal(t, "reported name", c.PgConn().ParameterStatus("application_name"), "y")
}

// A refused statement must fail the open transaction; otherwise a COMMIT would commit the
// transaction without that statement.
func TestRefusalFailsTransaction(t *testing.T) {
	f := startServer(t, nil)
	c := f.dial(t)
	exec(t, c, "CREATE TABLE t (k text PRIMARY KEY)")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO t VALUES ($1)", "a")
	equal(t, "state", execMode(t, c, pgx.QueryExecModeSimpleProtocol, "COPY t FROM STDIN"), stateUnsupported)
	equal(t, "status", c.PgConn().TxStatus(), byte('E'))
	equal(t, "state", execMode(t, c, pgx.QueryExecModeSimpleProtocol, "INSERT INTO t VALUES ('b')"), stateTransactionAborted)
	exec(t, c, "COMMIT")
	equal(t, "status", c.PgConn().TxStatus(), byte('I'))
	equal(t, "rows", len(f.group.Primary().Rows("t")), 0)

	// The same must hold after a part of a pipeline has been answered.
	r := dialRaw(t, f)
	r.send(&pgproto3.Parse{Query: "BEGIN"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
	r.expect("12C")
	r.send(&pgproto3.Parse{Query: "INSERT INTO t VALUES ('c')"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
	r.expect("12C")
	r.send(&pgproto3.Parse{Query: "LISTEN x"}, &pgproto3.Sync{})
	r.expect("EZ")
	r.send(&pgproto3.Query{String: "COMMIT"})
	r.expect("CZ")
	equal(t, "rows", len(f.group.Primary().Rows("t")), 0)
}

// The batch must have the properties by which the session chooses an upstream.
func TestBatchProperties(t *testing.T) {
	f := startServer(t, nil)
	c := f.dial(t)
	exec(t, c, "CREATE TABLE t (k text PRIMARY KEY)")
	type properties struct {
		kind                           statement.Kind
		readOnly, prepare, transaction bool
		key                            string
	}
	checkBatch := func(mode pgx.QueryExecMode, sql string, want properties) {
		t.Helper()
		equal(t, sql, execMode(t, c, mode, sql), "")
		b := f.handler.lastBatch()
		equal(t, sql, properties{b.Kind, b.ReadOnly, b.PrepareOnly, b.InTransaction, b.IdempotencyKey}, want)
		equal(t, "text", b.SQL, sql)
	}
	simple, cached := pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement
	checkBatch(cached, "SELECT k FROM t", properties{kind: statement.Read})
	checkBatch(cached, "SELECT k FROM t WHERE k = 'a' FOR UPDATE", properties{kind: statement.Write})
	exec(t, c, "SET burdockseam.idempotency_key TO 'K'")
	checkBatch(cached, "SELECT k FROM t WHERE k = 'b'", properties{kind: statement.Read})
	checkBatch(cached, "INSERT INTO t VALUES ('a')", properties{kind: statement.Write, key: "K"})
	checkBatch(simple, "INSERT INTO t VALUES ('b')", properties{kind: statement.Write})
	checkBatch(simple, "BEGIN READ ONLY", properties{kind: statement.Begin, readOnly: true})
	exec(t, c, "ROLLBACK")
	_, err := c.Prepare(contextWithTimeout(t), "p", "INSERT INTO t VALUES ($1)")
	check(t, err)
	equal(t, "prepare", f.handler.lastBatch().PrepareOnly, true)
}

// Statements that the proxy answers itself must work with all messages of the extended
// query protocol, and a mix with other statements must be refused.
func TestProxyStatementsExtendedProtocol(t *testing.T) {
	f := startServer(t, nil)
	r := dialRaw(t, f)
	r.send(&pgproto3.Parse{Name: "s", Query: "SET burdockseam.idempotency_key = 'K2'"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Flush{})
	r.expect("1tn")
	r.send(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{})
	r.expect("2nC3Z")
	r.send(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Sync{})
	r.expect("EZ")
	r.send(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Parse{Name: "s", Query: "SET application_name = 'x'"}, &pgproto3.Sync{})
	r.expect("EZ")
	// The refused batch must not have defined the statement.
	r.send(&pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Sync{})
	r.expect("1Z")
	r.send(&pgproto3.Parse{Name: "s", Query: "SELECT 2"}, &pgproto3.Sync{})
	r.expect("EZ")
	// An error during execution must not remove the statement.
	r.send(&pgproto3.Parse{Name: "u", Query: "SET search_path = x"}, &pgproto3.Bind{PreparedStatement: "u"}, &pgproto3.Execute{}, &pgproto3.Parse{Name: "v", Query: "RESET ALL"}, &pgproto3.Sync{})
	r.expect("12EZ")
	r.send(&pgproto3.Bind{PreparedStatement: "u"}, &pgproto3.Sync{})
	r.expect("2Z")
	r.send(&pgproto3.Parse{Name: "v", Query: "RESET ALL"}, &pgproto3.Sync{})
	r.expect("1Z")
	r.send(&pgproto3.FunctionCall{Function: 1}, &pgproto3.Sync{})
	r.expect("EZ")
	r.send(&pgproto3.Parse{Query: "CREATE TABLE t (k text)"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	r.expect("12CZ")
	equal(t, "key", f.handler.lastBatch().IdempotencyKey, "K2")
}

// Flush must return the answers so far, and an error must skip the rest up to the Sync.
func TestFlush(t *testing.T) {
	f := startServer(t, nil)
	r := dialRaw(t, f)
	r.send(&pgproto3.Parse{Query: "SELEC"}, &pgproto3.Flush{})
	r.expect("E")
	r.send(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	r.expect("Z")
	r.send(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
	r.expect("12DC")
	r.send(&pgproto3.Bind{PreparedStatement: "none"}, &pgproto3.Flush{})
	r.expect("E")
	r.send(&pgproto3.Bind{}, &pgproto3.Sync{})
	r.expect("Z")
	// The unnamed statement must be available to the next batch.
	r.send(&pgproto3.Parse{Query: "SELECT 7"}, &pgproto3.Sync{})
	r.expect("1Z")
	r.send(&pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{})
	r.expect("2TDCZ")
	// A portal must stay open until the end of its transaction.
	r.send(&pgproto3.Query{String: "BEGIN"})
	r.expect("CZ")
	r.send(&pgproto3.Parse{Query: "SELECT generate_series(1, 3)"}, &pgproto3.Bind{DestinationPortal: "p"}, &pgproto3.Execute{Portal: "p", MaxRows: 2}, &pgproto3.Sync{})
	r.expect("12DDsZ")
	r.send(&pgproto3.Execute{Portal: "p", MaxRows: 2}, &pgproto3.Close{ObjectType: 'P', Name: "p"}, &pgproto3.Sync{})
	r.expect("DC3Z")
	r.send(&pgproto3.Query{String: "COMMIT"})
	r.expect("CZ")
}

// More statements than an upstream connection keeps must work, and the statements of a
// session must be bounded.
func TestStatementLimits(t *testing.T) {
	f := startServer(t, nil)
	a, b := dialRaw(t, f), dialRaw(t, f)
	query := func(i int) string { return "SELECT " + strconv.Itoa(i) }
	for i := range maxStatements {
		r := a
		if i%2 == 1 {
			r = b
		}
		r.send(&pgproto3.Parse{Name: "s" + strconv.Itoa(i), Query: query(i)}, &pgproto3.Bind{PreparedStatement: "s" + strconv.Itoa(i)}, &pgproto3.Execute{}, &pgproto3.Sync{})
		r.expect("12DCZ")
	}
	f.handler.pool.mu.Lock()
	equal(t, "statements kept on the connection", len(f.handler.pool.idle[0].statements.all) <= maxConnStatements+1, true)
	f.handler.pool.mu.Unlock()
	for i := range maxStatements / 2 {
		a.send(&pgproto3.Bind{PreparedStatement: "s" + strconv.Itoa(2*i)}, &pgproto3.Execute{}, &pgproto3.Sync{})
		a.expect("2DCZ")
		a.send(&pgproto3.Parse{Name: "more" + strconv.Itoa(i), Query: query(i)}, &pgproto3.Sync{})
		a.expect("1Z")
	}
	a.send(&pgproto3.Parse{Name: "last", Query: "SELECT 1"}, &pgproto3.Sync{})
	a.expect("EZ")
	a.send(&pgproto3.Close{ObjectType: 'S', Name: "s0"}, &pgproto3.Parse{Name: "last", Query: "SELECT 1"}, &pgproto3.Sync{})
	a.expect("31Z")
}

// A connection on which session state may remain must not be reused.
func TestDirtyConnectionClosed(t *testing.T) {
	f := startServer(t, nil)
	c := f.dial(t)
	closed := func() int {
		f.handler.pool.mu.Lock()
		defer f.handler.pool.mu.Unlock()
		return f.handler.pool.closed
	}
	exec(t, c, "SELECT 1")
	equal(t, "closed after a read", closed(), 0)
	// The simulated upstream supports neither statement; it is enough that they were sent.
	execMode(t, c, pgx.QueryExecModeSimpleProtocol, "DO $$ BEGIN END $$")
	equal(t, "closed after DO", closed(), 1)
	execMode(t, c, pgx.QueryExecModeExec, "CALL p()")
	equal(t, "closed after CALL", closed(), 2)
	exec(t, c, "BEGIN")
	check(t, c.Close(contextWithTimeout(t)))
	eventually(t, "closed after an open transaction", func() bool { return closed() == 3 })
}

// Callers with the same statement share it on the connection. A caller that closes its
// statement must not remove it for the others.
func TestSharedPreparedStatement(t *testing.T) {
	f := startServer(t, nil)
	a, b := dialRaw(t, f), dialRaw(t, f)
	for _, r := range []*rawCaller{a, b} {
		r.send(&pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Sync{})
		r.expect("1Z")
	}
	a.send(&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{})
	a.expect("3Z")
	a.send(&pgproto3.Parse{Query: "SELECT 2"}, &pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{})
	a.expect("113Z")
	b.send(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	b.expect("2DCZ")
	a.send(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Sync{})
	a.expect("EZ")
}

// TestIdempotencyKeysMixed guards against two keys that become the same in the header of a link,
// which holds valid UTF-8 only, so that a write counts as one that was made before.
func TestIdempotencyKeysMixed(t *testing.T) {
	f := startServer(t, nil)
	c := f.dial(t).PgConn() // the driver's own quoting would change the text
	set := func(key string) string {
		_, err := c.Exec(contextWithTimeout(t), "SET burdockseam.idempotency_key = '"+key+"'").ReadAll()
		return sqlState(err)
	}
	for _, key := range []string{"a\xff", "a\xfe", "\xed\xa0\x80"} {
		equal(t, strconv.Quote(key), set(key), stateInvalidValue)
	}
	equal(t, "valid", set("a bé"), "")
}

package postgres

// Tests with pgx as the callers' driver.

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
)

// A driver that caches prepared statements must work although its batches run on
// different upstream connections.
func TestStatementCache(t *testing.T) {
	f := startServer(t, nil)
	a, b := f.dial(t), f.dial(t)
	exec(t, a, "CREATE TABLE t (k text PRIMARY KEY, v text)")
	exec(t, a, "INSERT INTO t VALUES ($1, $2)", "x", "1")
	for i := range 3 {
		equal(t, "read", queryValue(t, a, "SELECT v FROM t WHERE k = $1", "x"), "1")
		// The second caller uses the connection that the first one has released.
		equal(t, "read", queryValue(t, b, "SELECT v FROM t WHERE k = $1", "x"), "1")
		// The transaction of a keeps its connection, so b gets a new one that lacks the statement.
		tx, err := a.Begin(contextWithTimeout(t))
		check(t, err)
		exec(t, a, "UPDATE t SET v = $1 WHERE k = 'y'", fmt.Sprint(i))
		equal(t, "read on a new connection", queryValue(t, b, "SELECT v FROM t WHERE k = $1", "x"), "1")
		check(t, tx.Commit(contextWithTimeout(t)))
	}
	f.handler.pool.mu.Lock()
	defer f.handler.pool.mu.Unlock()
	equal(t, "connections opened", f.handler.pool.opened, 2)
	equal(t, "connections closed", f.handler.pool.closed, 0)
}

// All query modes of the driver must return the same results, also after an error.
func TestDriverModes(t *testing.T) {
	f := startServer(t, nil)
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			cfg, err := pgx.ParseConfig(f.url())
			check(t, err)
			cfg.DefaultQueryExecMode = mode
			c, err := pgx.ConnectConfig(contextWithTimeout(t), cfg)
			check(t, err)
			defer c.Close(context.Background())
			check(t, c.Ping(contextWithTimeout(t)))
			for range 2 {
				exec(t, c, "CREATE TABLE IF NOT EXISTS m (k text, v text)")
				exec(t, c, "INSERT INTO m VALUES ($1, $2)", mode.String(), "v")
				equal(t, "value", queryValue(t, c, "SELECT v FROM m WHERE k = $1", mode.String()), "v")
				_, err := c.Exec(contextWithTimeout(t), "INSERT INTO none VALUES ($1)", "x")
				equal(t, "error", sqlState(err), "42P01")
			}
		})
	}
}

// Each reply of a batch or pipeline of the driver must reach its request, and an error
// must skip the rest up to the Sync.
func TestPipeline(t *testing.T) {
	f := startServer(t, nil)
	c := f.dial(t)
	exec(t, c, "CREATE TABLE t (k text PRIMARY KEY, v text)")
	for range 2 {
		var b pgx.Batch
		for i := range 20 {
			b.Queue("INSERT INTO t VALUES ($1, $2) ON CONFLICT DO NOTHING", fmt.Sprint(i), fmt.Sprint(i*i))
			b.Queue("SELECT v FROM t WHERE k = $1", fmt.Sprint(i)).QueryRow(func(row pgx.Row) error {
				var v string
				err := row.Scan(&v)
				equal(t, "value", v, fmt.Sprint(i*i))
				return err
			})
		}
		check(t, c.SendBatch(contextWithTimeout(t), &b).Close())
	}
	p := c.PgConn().StartPipeline(contextWithTimeout(t))
	p.SendPrepare("s1", "SELECT v FROM t WHERE k = $1", nil)
	check(t, p.Sync())
	p.SendQueryPrepared("s1", [][]byte{[]byte("3")}, nil, nil)
	p.SendQueryPrepared("missing", nil, nil, nil)
	p.SendQueryPrepared("s1", [][]byte{[]byte("4")}, nil, nil)
	check(t, p.Sync())
	p.SendQueryPrepared("s1", [][]byte{[]byte("5")}, nil, nil)
	p.SendFlushRequest()
	check(t, p.Flush())
	for _, want := range []string{"*pgconn.StatementDescription", "*pgconn.PipelineSync", "26000", "*pgconn.PipelineSync", "*pgconn.ResultReader"} {
		got, err := p.GetResults()
		if err != nil {
			equal(t, "error", sqlState(err), want)
		} else {
			equal(t, "result", fmt.Sprintf("%T", got), want)
		}
	}
	check(t, p.Sync())
	check(t, p.Close())
	equal(t, "after the pipeline", queryValue(t, c, "SELECT v FROM t WHERE k = $1", "5"), "25")
}

// Each statement of a multi-statement Query must get its result, and an error must roll
// back the statements before it.
func TestMultiStatementQuery(t *testing.T) {
	f := startServer(t, nil)
	c := f.dial(t)
	exec(t, c, "CREATE TABLE t (k text PRIMARY KEY)")
	results, err := c.PgConn().Exec(contextWithTimeout(t), "INSERT INTO t VALUES ('a'); SELECT k FROM t; SELECT 1").ReadAll()
	check(t, err)
	equal(t, "results", len(results), 3)
	_, err = c.PgConn().Exec(contextWithTimeout(t), "INSERT INTO t VALUES ('b'); INSERT INTO t VALUES ('a')").ReadAll()
	equal(t, "error", sqlState(err), "23505")
	equal(t, "rows", queryValue(t, c, "SELECT count(*) FROM t"), "1")
	_, err = c.PgConn().Exec(contextWithTimeout(t), "BEGIN; INSERT INTO t VALUES ('c')").ReadAll()
	check(t, err)
	equal(t, "status", c.PgConn().TxStatus(), byte('T'))
	exec(t, c, "ROLLBACK")
	equal(t, "rows", queryValue(t, c, "SELECT count(*) FROM t"), "1")
}

// Callers that share connections must never see each other's rows.
func TestConcurrentCallersIsolation(t *testing.T) {
	f := startServer(t, func(f *fixture) { f.handler.quiet = true })
	exec(t, f.dial(t), "CREATE TABLE t (k text PRIMARY KEY, v text)")
	var wg sync.WaitGroup
	for i := range 16 {
		c := f.dial(t)
		wg.Go(func() {
			key := fmt.Sprint("k", i)
			exec(t, c, "INSERT INTO t VALUES ($1, $2)", key, key)
			for j := range 30 {
				var got string
				if err := c.QueryRow(contextWithTimeout(t), "SELECT v FROM t WHERE k = $1", key).Scan(&got); err != nil || got != key {
					t.Errorf("caller %d, query %d: got %q, %v", i, j, got, err)
					return
				}
			}
		})
	}
	wg.Wait()
}

// An instance that is connected to another instance must return the same results, pass
// refusals on and receive the positions.
func TestInstanceBeforeInstance(t *testing.T) {
	gateway := startServer(t, func(f *fixture) { f.server.PassPositions = true })
	entry := startServerFor(t, gateway.group, gateway.address, func(f *fixture) {
		f.handler.pool.options = ConnectOptions{Address: gateway.address, User: "team", Password: "key", Database: "route", SkipMarks: true}
	})
	c := entry.dial(t)
	exec(t, c, "CREATE TABLE t (k text PRIMARY KEY, v text)")
	for range 3 {
		exec(t, c, "INSERT INTO t VALUES ($1, $2) ON CONFLICT DO NOTHING", "x", "1")
		equal(t, "value", queryValue(t, c, "SELECT v FROM t WHERE k = $1", "x"), "1")
	}
	at := gateway.group.Primary().Status().Log
	equal(t, "token", c.PgConn().ParameterStatus(ParameterToken), "token-"+at.String())
	entry.handler.pool.mu.Lock()
	equal(t, "connections closed", entry.handler.pool.closed, 0)
	entry.handler.pool.mu.Unlock()
	first := gateway.startStatement(t, c, "SELECT pg_sleep(600)")
	equal(t, "cancelled", cancelUntilEnded(t, c, first), "57014")

	gateway.handler.pool.options.Address = "127.0.0.1:1"
	gateway.group.Primary().Crash()
	eventually(t, "the gateway has no connection", func() bool { return gateway.group.Primary().Stats().Open == 0 })
	asked := 0
	entry.handler.retry = func(_ *Batch, err error) bool { asked++; return sqlState(err) == StateNotRun && asked < 3 }
	_, err := c.Exec(contextWithTimeout(t), "INSERT INTO t VALUES ('y', '2')")
	equal(t, "state", sqlState(err), StateNotRun)
	if asked == 0 {
		t.Error("the session was not asked for a retry")
	}
}

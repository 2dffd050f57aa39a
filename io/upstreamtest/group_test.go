package upstreamtest

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// startGroup starts a group that the end of the test closes.
func startGroup(t *testing.T, o Options) *Group {
	t.Helper()
	g := New(o)
	t.Cleanup(g.Close)
	return g
}

// dial opens a connection that the end of the test closes. It fails the test on an
// error.
func dial(t *testing.T, u *Upstream, params ...string) *pgconn.PgConn {
	t.Helper()
	c, err := connect(u, params...)
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// connect opens a connection with startup parameters of the form name=value.
func connect(u *Upstream, params ...string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/db?sslmode=disable", u.group.User(), u.group.Password(), u.Addr()))
	if err != nil {
		return nil, err
	}
	for _, p := range params {
		name, value, _ := strings.Cut(p, "=")
		if name == "database" {
			cfg.Database = value
			continue
		}
		cfg.RuntimeParams[name] = value
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return pgconn.ConnectConfig(ctx, cfg)
}

// query returns the rows of the last statement, with cells joined by commas and rows by
// semicolons, or its command tag if there are no rows, or the SQLSTATE of the error.
func query(c *pgconn.PgConn, sql string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	rs, err := c.Exec(ctx, sql).ReadAll()
	if err != nil {
		return sqlState(err)
	}
	var rows []string
	for _, row := range rs[len(rs)-1].Rows {
		var cells []string
		for _, v := range row {
			cells = append(cells, string(v))
		}
		rows = append(rows, strings.Join(cells, ","))
	}
	if len(rows) == 0 {
		return rs[len(rs)-1].CommandTag.String()
	}
	return strings.Join(rows, ";")
}

// sqlState returns the SQLSTATE of an error, or its text if it has none.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return err.Error()
}

// wantResult checks the result of query.
func wantResult(t *testing.T, c *pgconn.PgConn, sql, result string) {
	t.Helper()
	if got := query(c, sql); got != result {
		t.Errorf("%s: %s, want %s", sql, got, result)
	}
}

// eventually waits up to about 10 seconds for a condition that other goroutines bring
// about.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for range 5000 {
		if cond() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// Tests of other packages rely on the SQL dialect, so every form of statement is
// checked.
func TestSQLDialect(t *testing.T) {
	g := startGroup(t, Options{})
	c := dial(t, g.Primary())
	for _, tc := range [][2]string{
		{"SELECT 1", "1"},
		{"CREATE TABLE t (k text PRIMARY KEY, v text, n int)", "CREATE TABLE"},
		{"INSERT INTO t (k, v, n) VALUES ('a', 'it''s', 1), ('b', NULL, 2)", "INSERT 0 2"},
		{"INSERT INTO t (k) VALUES ('a')", "23505"},
		{"INSERT INTO t (k) VALUES ('a') ON CONFLICT DO NOTHING", "INSERT 0 0"},
		{"SELECT * FROM t", "a,it's,1;b,,2"},
		{"SELECT n, k FROM t WHERE k = 'b' AND n = 2", "2,b"},
		{"SELECT k FROM t ORDER BY k DESC LIMIT 1", "b"},
		{"UPDATE t SET n = n + 10, v = 'x' WHERE k = 'a'", "UPDATE 1"},
		{"SELECT v, n FROM t WHERE k = 'a'", "x,11"},
		{"UPDATE t SET k = 'b' WHERE k = 'a'", "23505"},
		{"SELECT count(*) FROM t WHERE n > 1", "2"},
		{"DELETE FROM t WHERE k = 'a'", "DELETE 1"},
		{"SELECT count(*) FROM t", "1"},
		{"INSERT INTO fresh (x) VALUES (1); SELECT * FROM fresh", "1"},
		{"SET a.b = 'c'", "SET"},
		{"SHOW a.b", "c"},
		{"SELECT * FROM missing", "42P01"},
		{"SELEKT", "42601"},
		{"SELECT generate_series(1, 3)", "1;2;3"},
		{"SELECT pg_sleep(0)", ""},
		{"INSERT INTO t (k) VALUES ('c'); SELECT * FROM missing", "42P01"},
		{"SELECT count(*) FROM t", "1"},
		{"INSERT INTO t (k) VALUES ('c'); SELEKT", "42601"},
		{"SELECT count(*) FROM t", "1"},
		{"CREATE TABLE p (a, b, c, PRIMARY KEY (a, b))", "CREATE TABLE"},
		{"INSERT INTO p VALUES (1, 1, 'x'), (1, 2, 'y'), (11, '', 'z')", "INSERT 0 3"},
		{"INSERT INTO p VALUES (1, 2, 'x')", "23505"},
		{"INSERT INTO p (a, c) VALUES (1, 'x')", "23502"},
		{"SELECT c FROM p WHERE b = 2 AND a = 1", "y"},
		{"BEGIN; DELETE FROM p WHERE a = 1 AND b = 2; INSERT INTO p VALUES (1, 2, 'again'); COMMIT", "COMMIT"},
		{"SELECT c FROM p WHERE a = 1", "x;again"},
		{"BEGIN; SELECT * FROM missing", "42P01"},
		{"SELECT 1", "25P02"},
		{"COMMIT", "ROLLBACK"},
		{"BEGIN; ROLLBACK TO SAVEPOINT s", "0A000"},
		{"ROLLBACK", "ROLLBACK"},
	} {
		wantResult(t, c, tc[0], tc[1])
	}
}

package statement

import (
	"regexp"
	"strings"
	"testing"
)

// TestClassify guards against a wrong kind, which sends a write to a replica or a read
// to the primary.
func TestClassify(t *testing.T) {
	for sql, want := range map[string]Kind{
		"":                                                  Empty,
		" -- only a comment\n;; /* x */":                    Empty,
		"select 1":                                          Read,
		"SELECT k, v FROM t WHERE k = $1;":                  Read,
		"(SELECT 1) UNION ALL (SELECT 2)":                   Read,
		"SELECT count(*), lower(v) FROM t":                  Read,
		"SELECT pg_catalog.count(*) FROM t":                 Read,
		"SELECT 'insert into t; delete'":                    Read,
		`SELECT "update" FROM t`:                            Read,
		"SELECT $$ drop table t; $$":                        Read,
		"SELECT $q$ $$ ; into $q$":                          Read,
		"SELECT E'it\\'s; insert'":                          Read,
		"SELECT 1; SELECT 2 -- insert":                      Read,
		"SELECT 1 /* a /* nested */ insert */":              Read,
		"WITH x AS MATERIALIZED (SELECT 1) SELECT * FROM x": Read,
		"SELECT a FROM t WHERE a IN (1, 2) AND (b OR c)":    Read,
		"SELECT v::varchar(10) FROM t":                      Read,
		"TABLE t":                                           Read,
		"VALUES (1), (2)":                                   Read,
		"SHOW server_version":                               Read,
		"EXPLAIN SELECT 1":                                  Read,
		"SELECT generate_series(1, 10)":                     Read,
		"SELECT 1; INSERT INTO t VALUES (1)":                Write,
		"WITH x AS (INSERT INTO t VALUES (1) RETURNING *) SELECT * FROM x": Write,
		"SELECT * INTO x FROM t":                 Write,
		"SELECT * FROM t FOR UPDATE":             Write,
		"SELECT * FROM t FOR/**/SHARE":           Write,
		"EXPLAIN ANALYZE SELECT 1":               Write,
		"EXPLAIN (ANALYZE, BUFFERS) SELECT 1":    Write,
		"SELECT nextval('s')":                    Write,
		"SELECT own_function()":                  Write,
		"SELECT own . count(*)":                  Write,
		`SELECT "count"(*) FROM t`:               Write,
		"SELECT now /* x */ (), f\n()":           Write,
		"SELECT U&'\\0041'":                      Write,
		"SELECT 'a\\' , insert into t values ('": Write,
		"SELECT 'open":                           Write,
		"SELECT /* open":                         Write,
		"SELECT 1insert":                         Write,
		"REFRESH MATERIALIZED VIEW v":            Write,
		"BEGIN":                                  Begin,
		"start transaction read only":            Begin,
		"COMMIT AND CHAIN":                       Commit,
		"END":                                    Commit,
		"COMMIT PREPARED 'x'":                    Write,
		"ROLLBACK":                               Rollback,
		"ROLLBACK TO SAVEPOINT s":                Write,
		"ROLLBACK WORK TO s":                     Write,
		"BEGIN; SELECT 1; COMMIT":                Write,
		"SET x = 1":                              Set,
		"SET x = 1; RESET y":                     Set,
		"/* x */ COPY t FROM STDIN":              Copy,
	} {
		if got := Classify(sql); got != want {
			t.Errorf("%q: got %s, want %s", sql, got, want)
		}
	}
}

// TestInspect guards against an effect that is not detected and so reaches the next user
// of a shared connection.
func TestInspect(t *testing.T) {
	for _, c := range []struct {
		sql         string
		transaction bool
		effect      Effect
		readOnly    bool
	}{
		{"SELECT 1", false, Clean, false},
		{"BEGIN READ ONLY", false, Clean, true},
		{"BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY, DEFERRABLE", false, Clean, true},
		{"BEGIN READ WRITE", false, Clean, false},
		{"SET LOCAL x = 1", true, Clean, false},
		{"SET LOCAL x = 1", false, Refused, false},
		{"SET LOCAL standard_conforming_strings = off", true, Refused, false},
		{"SET x = 1", true, SessionSetting, false},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", false, Refused, false},
		{"RESET ALL", false, SessionSetting, false},
		{"DO $$ $$", false, Dirty, false},
		{"CALL p()", false, Dirty, false},
		{"SELECT 1; DO $$ $$", false, Dirty, false},
		{"SELECT 1; SET x = 1", false, Refused, false},
		{"SET x = 1; SELECT 1", false, Refused, false},
		{"CREATE TEMP TABLE t (a int)", true, Refused, false},
		{"CREATE LOCAL TEMPORARY VIEW v AS SELECT 1", false, Refused, false},
		{"CREATE TABLE pg_temp.t (a int)", false, Refused, false},
		{"CREATE TABLE t (temp int)", false, Clean, false},
		{`SELECT "pg_advisory_lock"(1)`, false, Refused, false},
		{"SELECT PG_Try_Advisory_Lock (1)", false, Refused, false},
		{"SELECT pg_advisory_xact_lock(1)", false, Clean, false},
		{"SELECT 'pg_advisory_lock(1)'", false, Clean, false},
		{"SELECT lastval()", false, Refused, false},
		{"SELECT lastval()", true, Clean, false},
		{"NOTIFY c", false, Clean, false},
		{"UNLISTEN *", false, SessionSetting, false},
		{"PREPARE TRANSACTION 'x'", true, Clean, false},
		{"DECLARE c CURSOR FOR SELECT 1", true, Clean, false},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", true, Refused, false},
	} {
		s := Inspect(c.sql, c.transaction)
		if s.Effect != c.effect || s.ReadOnly != c.readOnly || (s.Reason != "") != (s.Effect == Refused) {
			t.Errorf("%q: got %+v", c.sql, s)
		}
	}
}

// TestParseSettings guards against a setting that is parsed as another setting or value
// than the caller wrote.
func TestParseSettings(t *testing.T) {
	for sql, want := range map[string]Setting{
		"SET x = 'a b'": {"SET", "x", "a b"},
		"set SESSION burdockseam.idempotency_key to 'it''s'": {"SET", "burdockseam.idempotency_key", "it's"},
		`SET "X" TO ISO, MDY`:                                {"SET", "X", "ISO, MDY"},
		"SET TIME ZONE 'UTC'":                                {"SET", "timezone", "UTC"},
		"SET NAMES 'utf8';":                                  {"SET", "client_encoding", "utf8"},
		"SET x = -1":                                         {"SET", "x", "-1"},
		"RESET All":                                          {"RESET", "all", ""},
		"DEALLOCATE PREPARE P":                               {"DEALLOCATE", "p", ""},
		"DEALLOCATE ALL":                                     {"DEALLOCATE ALL", "all", ""},
		"DISCARD all":                                        {"DISCARD ALL", "all", ""},
		"UNLISTEN *":                                         {"UNLISTEN", "all", ""},
	} {
		got, ok := ParseSettings(sql)
		if !ok || len(got) != 1 || got[0] != want {
			t.Errorf("%q: got %+v, %v", sql, got, ok)
		}
	}
	for _, sql := range []string{"SET", "SET x", "SET x =", "SET x TO", "RESET", "SELECT 1", "SET x = 'open"} {
		if got, ok := ParseSettings(sql); ok {
			t.Errorf("%q: got %+v, want it refused", sql, got)
		}
	}
}

// nonWord matches one ASCII character that is not part of a word.
const nonWord = `[\x00-#%-\-/:-@\[-^\x60{-\x7f]`

// quotedOrComment matches text whose words do not count: strings, quoted identifiers and
// comments that do not nest. The pattern is independent of the lexer.
var (
	quotedOrComment = regexp.MustCompile(`(?s)'(?:[^']|'')*'|"(?:[^"]|"")*"|--[^\n\r]*|/\*.*?\*/`)
	// Characters outside ASCII are part of a word.
	writeKeyword = regexp.MustCompile(`(?i)(?:^|` + nonWord + `)(insert|update|delete|merge|into|create|drop|alter|truncate|grant|` +
		`revoke|copy|call|do|lock|vacuum|nextval|setval|analyze)(?:` + nonWord + `|$)`)
)

// FuzzClassify checks that text is not a read if a write keyword stands outside strings
// and comments.
func FuzzClassify(f *testing.F) {
	for _, sql := range []string{
		"SELECT 1", "SELECT 'insert' -- x\n; /* insert */ TABLE t", "WITH x AS (DELETE FROM t) SELECT 1",
		"SELECT $$ $$ insert into t", "SELECT E'\\'' insert '", "explain analyze select 1", "select 1into t",
		"SELECT 1/**/into t", "select U&\"d!0061t\" UESCAPE '!' into x",
	} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		s := Inspect(sql, false)
		if (s.Kind == Empty) != (s.Count == 0) || (s.Effect == Refused) != (s.Reason != "") {
			t.Errorf("%q: %+v", sql, s)
		}
		// The patterns do not cover these forms; TestClassify has examples of them.
		if s.Kind != Read || strings.ContainsAny(sql, `$\`) || strings.Count(sql, "/*") != strings.Count(sql, "*/") ||
			strings.Contains(sql, "/*/") || regexp.MustCompile(`(?s)/\*.*/\*.*\*/`).MatchString(sql) {
			return
		}
		if bare := quotedOrComment.ReplaceAllString(sql, " "); writeKeyword.MatchString(bare) {
			t.Errorf("%q is a read", sql)
		}
	})
}

func BenchmarkInspect(b *testing.B) {
	for name, sql := range map[string]string{
		"read":  "SELECT id, name, price FROM sarees WHERE house = $1 AND size IN ($2, $3) ORDER BY price LIMIT 20",
		"write": "INSERT INTO bookings (saree, day, family) VALUES ($1, $2, $3) RETURNING id",
		"set":   "SET burdockseam.idempotency_key = 'K'",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Inspect(sql, false)
			}
		})
	}
}

// TestInspectAllocations guards against allocations in Inspect, which runs for every
// statement.
func TestInspectAllocations(t *testing.T) {
	sql := "SELECT id FROM sarees WHERE house = $1 -- x\n AND size IN ('a', \"b\"); UPDATE t SET a = now()"
	if n := testing.AllocsPerRun(100, func() { Inspect(sql, false) }); n != 0 {
		t.Errorf("Inspect makes %v allocations, want 0", n)
	}
}

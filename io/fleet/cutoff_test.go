package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"burdockseam/core/session"
	"burdockseam/io/postgres"
)

// Guards against a statement that waits forever because its upstream was partitioned
// after the statement was sent. It must end with an unknown outcome.
func TestStatementAtCutOffUpstreamEnds(t *testing.T) {
	f := startFleet(t, Ensayo, Options{ExecTime: 300 * time.Millisecond})
	group := f.Deployment.Groups[0]
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c, err := pgconn.Connect(ctx, f.URL(f.Members()[0], "equipment", group))
	if err != nil {
		t.Fatal(err)
	}
	old := f.Groups[group].Primary()
	ended := make(chan error, 1)
	go func() {
		_, err := c.Exec(ctx, "INSERT INTO bookings (id, state) VALUES ('x', 'y')").ReadAll()
		ended <- err
	}()
	eventually(t, "the statement executes at the primary", func() bool { return old.Stats().Executing > 0 })
	old.Isolate()
	var pe *pgconn.PgError
	if err := <-ended; !errors.As(err, &pe) || pe.Code != postgres.StateUnknown {
		t.Errorf("the statement ended with %v, want %s", err, postgres.StateUnknown)
	}
	old.HealPartitions()
}

// Guards against a session token that does not cover the commit of a write with an
// idempotency key, so that the session may not read its own write. The second instance
// repeats the write, and its token must cover the first commit.
func TestKeyedWriteMovesToken(t *testing.T) {
	f := startFleet(t, Ensayo, Options{})
	group := f.Deployment.Groups[0]
	ctx := context.Background()
	for _, m := range f.Members()[:2] {
		c, err := pgconn.Connect(ctx, f.URL(m, "equipment", group))
		if err != nil {
			t.Fatal(err)
		}
		for _, sql := range []string{"SET burdockseam.idempotency_key = 'k'", "INSERT INTO bookings (id, state) VALUES ('k', 'done')"} {
			if _, err := c.Exec(ctx, sql).ReadAll(); err != nil {
				t.Fatal(err)
			}
		}
		token, err := session.Decode("equipment", []byte("fleet"), c.ParameterStatus(postgres.ParameterToken))
		if err != nil {
			t.Fatal(err)
		}
		if p, _ := token.Position(group); p.Offset != f.Groups[group].Primary().Offset() {
			t.Errorf("the token covers %v, the write is at offset %d", p, f.Groups[group].Primary().Offset())
		}
		if err := c.Close(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against replicas that drop log entries when a group's first primary is
// recorded. They would lose acknowledged writes and the tables that reads need.
func TestFirstRecordKeepsLogs(t *testing.T) {
	f := startFleet(t, Ensayo, Options{})
	for name, g := range f.Groups {
		for _, u := range g.Upstreams() {
			if n := u.Stats().Truncated; n > 0 {
				t.Errorf("group %s: upstream %s dropped %d log entries, want 0", name, u.Name(), n)
			}
		}
	}
}

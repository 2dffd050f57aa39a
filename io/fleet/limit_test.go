package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"burdockseam/core/config"
	"burdockseam/io/instance"
)

// Guards against a team that gets more than its rate and burst by spreading its
// requests over all instances.
func TestRateOverAllInstances(t *testing.T) {
	f := run(t, Ensayo, Options{})
	team := f.Deployment.Teams[4] // 40/s, burst 80
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	begun := time.Now()
	ran := make(chan int)
	for _, m := range f.Members() {
		c := connect(t, f, m, team.Name, f.Deployment.Groups[0], "")
		go func() {
			n := 0
			for ctx.Err() == nil {
				// A refusal is what the test expects most of the time.
				if _, err := c.Exec(context.Background(), "SELECT 1"); err == nil {
					n++
				}
			}
			ran <- n
		}()
	}
	total := 0
	for range f.Members() {
		total += <-ran
	}
	// The time is read after the last request, so the bound is not below the true one.
	bound := float64(team.Rate)*time.Since(begun).Seconds() + float64(team.Burst)
	if float64(total) > bound {
		t.Errorf("%d requests were admitted, the bound is %.0f", total, bound)
	}
	if float64(total) < bound/4 {
		t.Errorf("%d requests were admitted of %.0f allowed", total, bound)
	}
}

// Guards against an instance that goes on serving protected routes although it can
// hear neither the store nor its peers, so that a withdrawn key would work there.
func TestInstanceCutOffStopsServing(t *testing.T) {
	f := run(t, Ensayo, Options{})
	cutOff := f.Members()[4]
	c := connect(t, f, cutOff, "equipment", f.Deployment.Groups[0], "")
	if _, err := c.Exec(context.Background(), "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	all := func(string) bool { return true }
	cutOff.Settings().Partition.Set(all, all)
	name := cutOff.Settings().Name
	f.Store.Cut(func(client string) bool { return client == name })
	eventually(t, "the instance stops serving", func() bool { return !cutOff.Status().Fresh.Serve })
	_, err := c.Exec(context.Background(), "SELECT 1")
	var pe *pgconn.PgError
	if !errors.As(err, &pe) || pe.Code != "BS001" {
		t.Errorf("a statement at the cut-off instance ended with %v, want BS001", err)
	}
	for _, m := range f.Members() {
		if s := m.Status(); m != cutOff && !s.Fresh.Serve {
			t.Errorf("%s stopped serving as well: %+v", s.Name, s.Fresh)
		}
	}
	cutOff.Settings().Partition.Set(nil, nil)
	f.Store.Cut(nil)
	eventually(t, "the instance serves again", func() bool { return cutOff.Status().Fresh.Serve })
}

// Guards against an open transaction that stays at the upstream when the entry
// instance dies in the middle of it, and against a mixed one afterwards.
func TestEntryDiesInTransaction(t *testing.T) {
	f := run(t, Ensayo, Options{})
	ctx := context.Background()
	group := f.Deployment.Groups[0]
	for _, m := range f.Members()[:3] {
		c := connect(t, f, m, "equipment", group, "")
		if _, err := c.Exec(ctx, "BEGIN"); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Exec(ctx, "INSERT INTO bookings (id, state) VALUES ('orphan', 'open')"); err != nil {
			t.Fatal(err)
		}
		if err := f.Kill(m); err != nil {
			t.Fatal(err)
		}
	}
	last := f.Members()[0]
	c := connect(t, f, last, "gdl-students", group, "")
	eventually(t, "a write commits after the deaths", func() bool {
		_, err := c.Exec(ctx, "INSERT INTO bookings (id, state) VALUES ('next', 'done')")
		return err == nil
	})
	for _, row := range f.Groups[group].Primary().Rows("bookings") {
		if row[0] == "orphan" {
			t.Error("a write of an abandoned transaction was committed")
		}
	}
}

// Guards against new work at an upstream that operators have marked as leaving, and
// against writes that get lost while its role moves away.
func TestLeavingUpstream(t *testing.T) {
	f := run(t, Saajghar, Options{Lag: 2 * time.Millisecond})
	group := f.Deployment.Groups[0]
	leaving := f.Groups[group].Primary()
	name := f.UpstreamName(group, leaving)
	c := underLoad(t, f, func(ctx context.Context) {
		pass(500 * time.Millisecond)
		override := config.File{Name: "90-leaving.ini", Data: []byte("[upstream " + name + "]\nstate = leaving\n")}
		if err := f.Edit(ctx, "leaving", func(files []config.File) ([]config.File, error) {
			return append(files, override), nil
		}); err != nil {
			t.Fatal(err)
		}
		pass(5 * time.Second)
		before := leaving.Stats().Executions["burdockseam"]
		progress(t, f, group)
		if after := leaving.Stats().Executions["burdockseam"]; after != before {
			t.Errorf("the leaving upstream executed %d more statements", after-before)
		}
	})
	if c.Unknown > 0 {
		t.Errorf("%d requests were cut", c.Unknown)
	}
}

// Guards the counters of the workload: with acknowledgements by the primary alone, a
// primary that is cut off loses acknowledged bookings, and the check must see them.
func TestLostBookingsAreCounted(t *testing.T) {
	f := run(t, Saajghar, Options{
		Lag:      400 * time.Millisecond,
		Settings: func(s *instance.Settings) { s.Acks = instance.AckPrimary },
	})
	group := f.Deployment.Groups[0]
	ctx, cancel := context.WithCancel(context.Background())
	w := &Workload{Fleet: f, Callers: 16, Think: 5 * time.Millisecond, Seed: 3}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	pass(time.Second)
	old := f.Groups[group].Primary()
	old.Isolate()
	eventually(t, "a new primary", func() bool {
		p := f.Groups[group].Primary()
		return p != nil && p != old
	})
	cancel()
	<-done
	old.Heal()
	c, err := w.Check()
	if err != nil {
		t.Fatal(err)
	}
	if c.Lost == 0 {
		t.Errorf("no lost booking was counted: %+v", c)
	}
}

// Guards read-your-writes against a driver that sends several statements at once and
// uses prepared statements, which need the extended protocol.
func TestDriverDefaults(t *testing.T) {
	f := run(t, Ensayo, Options{Lag: 5 * time.Millisecond})
	ctx := context.Background()
	c, err := pgx.Connect(ctx, f.URL(f.Members()[0], "mty-students", f.Deployment.Groups[1]))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(ctx); err != nil {
			t.Error(err)
		}
	})
	for i := range 20 {
		if _, err := c.Exec(ctx, "INSERT INTO rooms (id, band) VALUES ($1, $2)", itemName(i), "norte"); err != nil {
			t.Fatal(err)
		}
		var band string
		if err := c.QueryRow(ctx, "SELECT band FROM rooms WHERE id = $1", itemName(i)).Scan(&band); err != nil {
			t.Fatalf("read %d: %v", i, err)
		}
	}
}

// Guards against a retried write that runs twice, and against a repeated answer
// without a record: the key makes the retry of an unknown outcome safe, in both forms
// of the protocol, also on another instance and after a failover.
func TestIdempotencyKey(t *testing.T) {
	f := run(t, Ensayo, Options{Lag: 5 * time.Millisecond})
	ctx := context.Background()
	group := f.Deployment.Groups[0]
	write := func(m *Member, mode pgx.QueryExecMode, id string) string {
		c := connect(t, f, m, "mty-students", group, "")
		if _, err := c.Exec(ctx, "SET burdockseam.idempotency_key = '"+id+"'"); err != nil {
			t.Fatal(err)
		}
		tag, err := c.Exec(ctx, "INSERT INTO paid (id, n) VALUES ($1, $2)", mode, id, "1")
		if err != nil {
			t.Fatal(err)
		}
		return tag.String()
	}
	check := func(id string) {
		t.Helper()
		n := 0
		for _, row := range f.Groups[group].Primary().Rows("paid") {
			if row[0] == id {
				n++
			}
		}
		if n != 1 {
			t.Errorf("the write %s ran %d times, want once", id, n)
		}
	}
	members := f.Members()
	for i, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec, pgx.QueryExecModeCacheStatement} {
		id := itemName(i)
		first := write(members[i], mode, id)
		again := write(members[i+3], mode, id)
		if first != again || first != "INSERT 0 1" {
			t.Errorf("%v: tags %q and %q, want INSERT 0 1 twice", mode, first, again)
		}
		check(id)
	}
	old := f.Groups[group].Primary()
	old.Isolate()
	eventually(t, "a new primary", func() bool {
		p := f.Groups[group].Primary()
		return p != nil && p != old
	})
	write(members[8], pgx.QueryExecModeExec, itemName(0))
	check(itemName(0))
}

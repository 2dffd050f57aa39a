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

// Guards against a team that exceeds its rate and burst by spreading its requests over
// all instances, and against a limit that admits less than a quarter of them.
func TestRateOverAllInstances(t *testing.T) {
	f := startFleet(t, Ensayo, Options{})
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
				// Most statements are refused, since the loop exceeds the team's rate.
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
	// The clock is read after the last request has ended, so that the computed bound is
	// never below the real one.
	bound := float64(team.Rate)*time.Since(begun).Seconds() + float64(team.Burst)
	if float64(total) > bound {
		t.Errorf("%d requests were admitted, want at most %.0f", total, bound)
	}
	if float64(total) < bound/4 {
		t.Errorf("%d requests were admitted, want at least a quarter of the allowed %.0f", total, bound)
	}
}

// Guards against an instance that continues to serve protected routes while it reaches
// neither the store nor its peers. A key withdrawn meanwhile would still work there.
func TestInstanceCutOffStopsServing(t *testing.T) {
	f := startFleet(t, Ensayo, Options{})
	partitioned := f.Members()[4]
	c := connect(t, f, partitioned, "equipment", f.Deployment.Groups[0], "")
	if _, err := c.Exec(context.Background(), "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	all := func(string) bool { return true }
	partitioned.Settings().Partition.Set(all, all)
	name := partitioned.Settings().Name
	f.Store.SetPartition(func(client string) bool { return client == name })
	eventually(t, "the partitioned instance stops serving", func() bool { return !partitioned.Status().Fresh.Serve })
	_, err := c.Exec(context.Background(), "SELECT 1")
	var pe *pgconn.PgError
	if !errors.As(err, &pe) || pe.Code != "BS001" {
		t.Errorf("a statement at the partitioned instance ended with %v, want BS001", err)
	}
	for _, m := range f.Members() {
		if s := m.Status(); m != partitioned && !s.Fresh.Serve {
			t.Errorf("%s stopped serving as well: %+v", s.Name, s.Fresh)
		}
	}
	partitioned.Settings().Partition.Set(nil, nil)
	f.Store.SetPartition(nil)
	eventually(t, "the instance serves again after the partition", func() bool { return partitioned.Status().Fresh.Serve })
}

// Guards against a transaction that stays open at the upstream, and holds its slot there,
// after its entry instance was killed, and against its write being committed with a
// later caller's.
func TestEntryDiesInTransaction(t *testing.T) {
	f := startFleet(t, Ensayo, Options{})
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
			t.Error("the write of a killed instance's transaction was committed")
		}
	}
}

// Guards against new statements at an upstream that operators have marked as leaving, and
// against writes that are lost or interrupted in the switchover from it.
func TestLeavingUpstream(t *testing.T) {
	f := startFleet(t, Saajghar, Options{ReplicaLag: 2 * time.Millisecond})
	group := f.Deployment.Groups[0]
	leaving := f.Groups[group].Primary()
	name := f.UpstreamName(group, leaving)
	c := runUnderLoad(t, f, func(ctx context.Context) {
		letLoadRun(500 * time.Millisecond)
		override := config.File{Name: "90-leaving.ini", Data: []byte("[upstream " + name + "]\nstate = leaving\n")}
		if err := f.EditConfig(ctx, "leaving", func(files []config.File) ([]config.File, error) {
			return append(files, override), nil
		}); err != nil {
			t.Fatal(err)
		}
		letLoadRun(5 * time.Second)
		before := leaving.Stats().Executions["burdockseam"]
		waitForStatements(t, f, group)
		if after := leaving.Stats().Executions["burdockseam"]; after != before {
			t.Errorf("the leaving upstream executed %d more statements, want 0", after-before)
		}
	})
	if c.Unknown > 0 {
		t.Errorf("%d writes have an unknown outcome, want 0", c.Unknown)
	}
}

// Guards against a Workload.Check that overlooks lost bookings. If the primary alone
// acknowledges writes and the replicas lag by 400 ms, a failover from a partitioned
// primary loses acknowledged bookings.
func TestLostBookingsAreCounted(t *testing.T) {
	f := startFleet(t, Saajghar, Options{
		ReplicaLag: 400 * time.Millisecond,
		Settings:   func(s *instance.Settings) { s.Acks = instance.AckPrimary },
	})
	group := f.Deployment.Groups[0]
	ctx, cancel := context.WithCancel(context.Background())
	w := &Workload{Fleet: f, Callers: 16, ThinkTime: 5 * time.Millisecond, Seed: 3}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	letLoadRun(time.Second)
	old := f.Groups[group].Primary()
	old.Isolate()
	eventually(t, "a new primary", func() bool {
		p := f.Groups[group].Primary()
		return p != nil && p != old
	})
	cancel()
	<-done
	old.HealPartitions()
	c, err := w.Check()
	if err != nil {
		t.Fatal(err)
	}
	if c.Lost == 0 {
		t.Errorf("no lost booking was counted, want some: %+v", c)
	}
}

// Guards against a session that does not read its own writes through a driver with its
// default settings. It sends prepared statements in the extended protocol, several
// messages at a time.
func TestDriverDefaults(t *testing.T) {
	f := startFleet(t, Ensayo, Options{ReplicaLag: 5 * time.Millisecond})
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

// Guards against a retry with the same idempotency key that runs the write a second time,
// or that repeats the response although the write is not in the database. The key must
// make it safe to retry a write with an unknown outcome, in the simple and the extended
// protocol, also at another instance and after a failover.
func TestIdempotencyKey(t *testing.T) {
	f := startFleet(t, Ensayo, Options{ReplicaLag: 5 * time.Millisecond})
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

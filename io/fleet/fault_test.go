package fleet

import (
	"context"
	"testing"
	"time"

	"burdockseam/core/config"
	"burdockseam/io/storetest"
)

// runUnderLoad runs the workload while fault runs, ends the faults of the upstreams and
// compares the outcomes reported to callers with the rows of the surviving primaries.
func runUnderLoad(t *testing.T, f *Fleet, fault func(ctx context.Context)) Counts {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &Workload{Fleet: f, Callers: 16, ThinkTime: 20 * time.Millisecond, Seed: 7}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	fault(ctx)
	cancel()
	<-done
	for _, g := range f.Groups {
		for _, u := range g.Upstreams() {
			u.HealPartitions()
			u.Resume()
		}
	}
	recovery, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	if err := f.WaitReady(recovery); err != nil {
		t.Fatal(err)
	}
	c, err := w.Check()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", c)
	if c.Violated() {
		t.Errorf("a promise was broken: %+v", c)
	}
	if c.Bookings == 0 {
		t.Error("no booking was acknowledged, so nothing was checked")
	}
	return c
}

// letLoadRun lets the workload run for the duration d.
func letLoadRun(d time.Duration) { time.Sleep(d) }

// waitForStatements waits until the upstreams of a group have executed more than 20
// further statements.
func waitForStatements(t *testing.T, f *Fleet, group string) {
	t.Helper()
	executed := func() int {
		n := 0
		for _, u := range f.Groups[group].Upstreams() {
			for _, count := range u.Stats().Executions {
				n += count
			}
		}
		return n
	}
	before := executed()
	eventually(t, "group "+group+" executes statements", func() bool { return executed() > before+20 })
}

// Guards against instances that stop serving in an outage of the store. The outage lasts
// longer than the freshness bound and the leases.
func TestStoreOutage(t *testing.T) {
	for _, kind := range []storetest.Outage{storetest.OutageRefuse, storetest.OutageHang} {
		t.Run(string(kind), func(t *testing.T) {
			f := startFleet(t, Saajghar, Options{ReplicaLag: 2 * time.Millisecond})
			c := runUnderLoad(t, f, func(context.Context) {
				f.Store.SetOutage(kind)
				letLoadRun(9 * time.Second)
				for _, g := range f.Deployment.Groups {
					waitForStatements(t, f, g)
				}
				for _, m := range f.Members() {
					if s := m.Status(); !s.Fresh.Serve {
						t.Errorf("%s does not serve during the store outage: %+v", s.Name, s.Fresh)
					}
				}
				f.Store.SetOutage(storetest.OutageNone)
			})
			if c.Refused > c.Bookings/100 || c.Unknown > 0 {
				t.Errorf("%d refusals and %d unknown outcomes, want at most 1%% of the bookings and 0", c.Refused, c.Unknown)
			}
		})
	}
}

// Guards against an old primary that acknowledges writes after it is resumed, and against
// a group that stays without a primary while its primary is paused.
func TestPrimaryPausedAndResumed(t *testing.T) {
	f := startFleet(t, Ensayo, Options{ReplicaLag: 2 * time.Millisecond})
	group := f.Deployment.Groups[0]
	old := f.Groups[group].Primary()
	runUnderLoad(t, f, func(context.Context) {
		old.Pause()
		eventually(t, "a new primary", func() bool {
			p := f.Groups[group].Primary()
			return p != nil && p != old
		})
		letLoadRun(time.Second)
		old.Resume()
		eventually(t, "the old primary becomes a replica", func() bool { return old.Status().Role == "replica" })
		waitForStatements(t, f, group)
	})
}

// Guards against a group that does not recover when its new primary crashes as soon as
// it has taken over from a partitioned one.
func TestPrimaryLostTwice(t *testing.T) {
	f := startFleet(t, Ensayo, Options{ReplicaLag: 2 * time.Millisecond})
	group := f.Deployment.Groups[0]
	first := f.Groups[group].Primary()
	runUnderLoad(t, f, func(context.Context) {
		first.Isolate()
		eventually(t, "a new primary", func() bool {
			p := f.Groups[group].Primary()
			return p != nil && p != first
		})
		second := f.Groups[group].Primary()
		second.Crash()
		first.HealPartitions()
		letLoadRun(time.Second)
		second.Restart()
		waitForStatements(t, f, group)
	})
}

// Guards against requests that are interrupted when a failure domain is taken out of
// service, and against new statements at its upstreams afterwards.
func TestDomainOutAndIn(t *testing.T) {
	f := startFleet(t, Saajghar, Options{ReplicaLag: 2 * time.Millisecond})
	domain := f.Deployment.Domains[0]
	c := runUnderLoad(t, f, func(ctx context.Context) {
		letLoadRun(time.Second)
		if err := f.SetDomainState(ctx, domain, config.StateOut); err != nil {
			t.Fatal(err)
		}
		letLoadRun(5 * time.Second)
		before := countExecutedIn(f, 0)
		letLoadRun(2 * time.Second)
		if after := countExecutedIn(f, 0); after != before {
			t.Errorf("upstreams of %s executed %d statements after it was taken out", domain, after-before)
		}
		if err := f.SetDomainState(ctx, domain, config.StateIn); err != nil {
			t.Fatal(err)
		}
		letLoadRun(3 * time.Second)
		for _, g := range f.Deployment.Groups {
			waitForStatements(t, f, g)
		}
	})
	if c.Unknown > 0 {
		t.Errorf("%d writes have an unknown outcome, want 0", c.Unknown)
	}
	if c.Refused > c.Bookings/1000 {
		t.Errorf("%d writes were refused beside %d bookings, want at most 0.1%%", c.Refused, c.Bookings)
	}
}

// countExecutedIn counts the statements of callers that the upstreams of the failure
// domain with the index have executed.
func countExecutedIn(f *Fleet, index int) int {
	n := 0
	for _, g := range f.Groups {
		n += g.Upstreams()[index].Stats().Executions["burdockseam"]
	}
	return n
}

// Guards against requests that a graceful shutdown interrupts. Every instance is
// replaced, one after the other.
func TestRollingReplacement(t *testing.T) {
	f := startFleet(t, Saajghar, Options{ReplicaLag: 2 * time.Millisecond})
	c := runUnderLoad(t, f, func(ctx context.Context) {
		for _, m := range f.Members() {
			if _, err := f.Add(ctx, m.Domain); err != nil {
				t.Fatal(err)
			}
			ready, stop := context.WithTimeout(ctx, 20*time.Second)
			err := f.WaitReady(ready)
			stop()
			if err != nil {
				t.Fatal(err)
			}
			if err := f.Stop(m); err != nil {
				t.Fatal(err)
			}
		}
	})
	if c.Unknown > 0 {
		t.Errorf("%d writes have an unknown outcome, want 0", c.Unknown)
	}
}

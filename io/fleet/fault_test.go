package fleet

import (
	"context"
	"testing"
	"time"

	"burdockseam/core/config"
	"burdockseam/io/storetest"
)

// underLoad runs the workload while the fault is brought about, ends the fault and
// checks what callers were told against the surviving primaries.
func underLoad(t *testing.T, f *Fleet, fault func(ctx context.Context)) Counts {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &Workload{Fleet: f, Callers: 16, Think: 20 * time.Millisecond, Seed: 7}
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
	settle, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	if err := f.Ready(settle); err != nil {
		t.Fatal(err)
	}
	c, err := w.Check()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", c)
	if c.Broken() {
		t.Errorf("a promise was broken: %+v", c)
	}
	if c.Bookings == 0 {
		t.Error("no booking was acknowledged, so nothing was checked")
	}
	return c
}

// pass lets the load run for a time.
func pass(d time.Duration) { time.Sleep(d) }

// progress waits until the upstreams of a group have executed more statements.
func progress(t *testing.T, f *Fleet, group string) {
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

// Guards against a store outage that stops the service: it must go on for longer
// than the freshness bound and the leases.
func TestStoreOutage(t *testing.T) {
	for _, kind := range []storetest.Outage{storetest.OutageRefuse, storetest.OutageHang} {
		t.Run(string(kind), func(t *testing.T) {
			f := run(t, Saajghar, Options{Lag: 2 * time.Millisecond})
			c := underLoad(t, f, func(context.Context) {
				f.Store.SetOutage(kind)
				pass(9 * time.Second)
				for _, g := range f.Deployment.Groups {
					progress(t, f, g)
				}
				for _, m := range f.Members() {
					if s := m.Status(); !s.Fresh.Serve {
						t.Errorf("%s does not serve during a general outage: %+v", s.Name, s.Fresh)
					}
				}
				f.Store.SetOutage(storetest.OutageNone)
			})
			if c.Refused > c.Bookings/100 || c.Unknown > 0 {
				t.Errorf("the outage cost %d refusals and %d unknown outcomes", c.Refused, c.Unknown)
			}
		})
	}
}

// Guards against an old primary that wakes up and acknowledges writes, and against a
// group that stays without a primary.
func TestPrimaryPausedAndResumed(t *testing.T) {
	f := run(t, Ensayo, Options{Lag: 2 * time.Millisecond})
	group := f.Deployment.Groups[0]
	old := f.Groups[group].Primary()
	underLoad(t, f, func(context.Context) {
		old.Pause()
		eventually(t, "a new primary", func() bool {
			p := f.Groups[group].Primary()
			return p != nil && p != old
		})
		pass(time.Second)
		old.Resume()
		eventually(t, "the old primary follows", func() bool { return old.Status().Role == "replica" })
		progress(t, f, group)
	})
}

// Guards against a second failure in the middle of a recovery: the new primary is
// lost as soon as it is recorded.
func TestPrimaryLostTwice(t *testing.T) {
	f := run(t, Ensayo, Options{Lag: 2 * time.Millisecond})
	group := f.Deployment.Groups[0]
	first := f.Groups[group].Primary()
	underLoad(t, f, func(context.Context) {
		first.Isolate()
		eventually(t, "a new primary", func() bool {
			p := f.Groups[group].Primary()
			return p != nil && p != first
		})
		second := f.Groups[group].Primary()
		second.Crash()
		first.HealPartitions()
		pass(time.Second)
		second.Restart()
		progress(t, f, group)
	})
}

// Guards against work that is cut when an upstream's failure domain is taken out,
// and against new work there after it was.
func TestDomainOutAndIn(t *testing.T) {
	f := run(t, Saajghar, Options{Lag: 2 * time.Millisecond})
	domain := f.Deployment.Domains[0]
	c := underLoad(t, f, func(ctx context.Context) {
		pass(time.Second)
		if err := f.SetDomain(ctx, domain, config.StateOut); err != nil {
			t.Fatal(err)
		}
		pass(5 * time.Second)
		before := executedIn(f, 0)
		pass(2 * time.Second)
		if after := executedIn(f, 0); after != before {
			t.Errorf("upstreams of %s executed %d statements after it was taken out", domain, after-before)
		}
		if err := f.SetDomain(ctx, domain, config.StateIn); err != nil {
			t.Fatal(err)
		}
		pass(3 * time.Second)
		for _, g := range f.Deployment.Groups {
			progress(t, f, g)
		}
	})
	if c.Unknown > 0 {
		t.Errorf("%d requests were cut", c.Unknown)
	}
	if c.Refused > c.Bookings/1000 {
		t.Errorf("%d of %d requests were refused, want under 0.1%%", c.Refused, c.Bookings)
	}
}

// executedIn counts the statements of callers that the upstreams of a failure domain
// have executed.
func executedIn(f *Fleet, index int) int {
	n := 0
	for _, g := range f.Groups {
		n += g.Upstreams()[index].Stats().Executions["burdockseam"]
	}
	return n
}

// Guards against requests that a graceful shutdown cuts, while every instance is
// replaced one after the other.
func TestRollingReplacement(t *testing.T) {
	f := run(t, Saajghar, Options{Lag: 2 * time.Millisecond})
	c := underLoad(t, f, func(ctx context.Context) {
		for _, m := range f.Members() {
			if _, err := f.Add(ctx, m.Domain); err != nil {
				t.Fatal(err)
			}
			ready, stop := context.WithTimeout(ctx, 20*time.Second)
			err := f.Ready(ready)
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
		t.Errorf("%d requests were cut", c.Unknown)
	}
}

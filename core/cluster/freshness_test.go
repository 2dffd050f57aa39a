package cluster

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/config"
)

// Guards against a rule that lets an instance serve without a right to, and one
// that stops it in a general outage.
func TestFreshness(t *testing.T) {
	m, c := viewOf(2, map[string]config.State{"a": config.StateIn, "b": config.StateIn, "c": config.StateOut})
	v := m.View(t0, c, &DomainReturns{})
	all := append(v.Watchers("a"), v.Watchers("b")...)
	report := func(f *Freshness, at time.Duration, watchers ...string) {
		for _, w := range watchers {
			f.AddOutageReport(w, m.rows[w].Domain, t0.Add(at))
		}
	}
	for _, tc := range []struct {
		name string
		set  func(*Freshness)
		now  time.Duration
		want Reason
	}{
		{"no configuration", func(*Freshness) {}, 0, ReasonUnconfigured},
		{"never confirmed", func(f *Freshness) { f.SetInstalled(3) }, 0, ReasonStale},
		{"confirmed", func(f *Freshness) { f.SetInstalled(3); f.AddConfirmation(3, t0) }, 4 * time.Second, ReasonConfirmed},
		{"too old", func(f *Freshness) { f.SetInstalled(3); f.AddConfirmation(3, t0) }, FreshnessBound, ReasonStale},
		{"older confirmation holds", func(f *Freshness) { f.SetInstalled(3); f.AddConfirmation(2, t0) }, time.Second, ReasonConfirmed},
		{"newer confirmation does not", func(f *Freshness) { f.SetInstalled(3); f.AddConfirmation(4, t0) }, time.Second, ReasonStale},
		{"until its revision is there", func(f *Freshness) { f.SetInstalled(3); f.AddConfirmation(4, t0); f.SetInstalled(4) }, time.Second, ReasonConfirmed},
		{"revision goes back", func(f *Freshness) { f.SetInstalled(3); f.SetInstalled(2); f.AddConfirmation(3, t0) }, time.Second, ReasonConfirmed},
		{"general outage", func(f *Freshness) { f.SetInstalled(3); report(f, 0, all...) }, 4 * time.Second, ReasonOutage},
		{"old report", func(f *Freshness) { f.SetInstalled(3); report(f, 0, all...) }, FreshnessBound, ReasonStale},
		{"one watcher is missing", func(f *Freshness) { f.SetInstalled(3); report(f, 0, all[1:]...) }, time.Second, ReasonStale},
		{"instance knows more", func(f *Freshness) { f.SetInstalled(3); report(f, 0, all...); f.NoteRevision(4) }, time.Second, ReasonStale},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var f Freshness
			tc.set(&f)
			got := f.Verdict(t0.Add(tc.now), v)
			if got.Reason != tc.want || got.Serve != (tc.want == ReasonConfirmed || tc.want == ReasonOutage) {
				t.Errorf("the verdict is %+v, want %s", got, tc.want)
			}
		})
	}
	var f Freshness
	f.SetInstalled(3)
	report(&f, 0, all...)
	if got := f.Verdict(t0, View{}); got.Serve {
		t.Errorf("without a failure domain that is in: %+v", got)
	}
}

// storeWindow is how long the store must answer a failure domain for one of its
// watchers to have read the head: the end of a call under way, the pause before
// the next one, and that one's answer.
const storeWindow = pollTimeout + pollRetry + time.Second

// Guards against a withdrawn key that is served after F (plus the time until a
// watcher could read the store), a revision that goes back, and a fleet that does
// not converge after the faults.
func TestSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"a", "b", "c"}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, domains...)
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
		f.configure(t)
		f.startAll()
		f.run(8 * time.Second)

		// Each fault has a target and lasts for a time that ends in the run.
		type fault struct {
			kind, x, y string
			i          int
			from, to   time.Time
		}
		var faults []fault
		draw := func(kind string, i int) fault {
			from := f.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "from")) * time.Millisecond)
			return fault{
				kind, rapid.SampledFrom(domains).Draw(t, "x"), rapid.SampledFrom(domains).Draw(t, "y"), i, from,
				from.Add(time.Duration(rapid.IntRange(100, 30000).Draw(t, "length")) * time.Millisecond),
			}
		}
		for i := range rapid.IntRange(0, 8).Draw(t, "faults") {
			faults = append(faults, draw(rapid.SampledFrom([]string{"cut", "cut", "store", "store", "all", "pause", "crash"}).Draw(t, "kind"), i))
		}
		// The operator works through the store of one failure domain, which answers
		// that failure domain for a window from the withdrawal on.
		near := rapid.SampledFrom(domains).Draw(t, "operator")
		accepted := f.now.Add(time.Duration(rapid.IntRange(0, 40000).Draw(t, "withdrawal")) * time.Millisecond)
		window := func(at time.Time) bool { return !at.Before(accepted) && at.Before(accepted.Add(storeWindow)) }
		active := func(kind string, match func(fault) bool) bool {
			for _, x := range faults {
				if x.kind == kind && !f.now.Before(x.from) && f.now.Before(x.to) && match(x) {
					return true
				}
			}
			return false
		}
		f.out = func(i *inst) bool {
			if i.domain == near && window(f.now) {
				return false
			}
			return active("all", func(fault) bool { return true }) || active("store", func(x fault) bool { return x.x == i.domain })
		}
		f.reject = func(a, b *inst) bool {
			return active("cut", func(x fault) bool { return x.x == a.domain && x.y == b.domain && x.x != x.y })
		}
		for n, x := range faults {
			i := f.all[(n*5+int(x.x[0]))%len(f.all)]
			if i.domain == near && x.from.Before(accepted.Add(storeWindow+2*time.Second)) && x.to.After(accepted.Add(-suspectAfter-time.Second)) {
				continue // its watchers live while they read the store and pass it on
			}
			switch x.kind {
			case "pause":
				f.after(x.from.Sub(f.now), func() { i.paused = x.to })
			case "crash":
				f.after(x.from.Sub(f.now), func() { i.up = false })
				f.after(x.to.Sub(f.now), func() { f.start(i) })
			}
		}
		f.after(accepted.Sub(f.now), func() { f.withdraw(t) })

		low := map[string]uint64{}
		for end := f.now.Add(80 * time.Second); f.now.Before(end); f.run(50 * time.Millisecond) {
			for _, i := range f.all {
				key := fmt.Sprint(i.address, i.run)
				if r := i.Config().Revision; r < low[key] {
					t.Fatalf("%s went back from revision %d to %d", i.address, low[key], r)
				} else {
					low[key] = r
				}
				if f.now.After(accepted.Add(storeWindow+FreshnessBound)) && f.serves(i) {
					t.Fatalf("%s serves the withdrawn key %s after its withdrawal: %+v", i.address, f.now.Sub(accepted), i.FreshnessVerdict(f.now))
				}
			}
		}
		f.loss = 0
		f.run(20 * time.Second)
		for _, i := range f.all {
			if v := i.FreshnessVerdict(f.now); i.Config().Revision != 2 || v.Reason != ReasonConfirmed {
				t.Fatalf("%s has not converged: revision %d, %+v", i.address, i.Config().Revision, v)
			}
			for _, r := range i.Members().Records() {
				if r.State != Live {
					t.Fatalf("%s takes %s for %s", i.address, r.Address, r.State)
				}
			}
		}
	})
}

package cluster

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/config"
)

// Guards against a freshness rule that lets an instance serve protected routes with a
// configuration that may be stale, and against one that stops it in a general outage.
func TestFreshnessVerdict(t *testing.T) {
	members, cfg := newMembersAndConfig(2, map[string]config.State{"a": config.StateIn, "b": config.StateIn, "c": config.StateOut})
	view := members.View(t0, cfg, &DomainReturns{})
	all := append(view.Watchers("a"), view.Watchers("b")...)
	report := func(f *Freshness, at time.Duration, watchers ...string) {
		for _, w := range watchers {
			f.AddOutageReport(w, members.rows[w].Domain, t0.Add(at))
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
		{"confirmation too old", func(f *Freshness) { f.SetInstalled(3); f.AddConfirmation(3, t0) }, FreshnessBound, ReasonStale},
		{"confirmation of an older revision", func(f *Freshness) { f.SetInstalled(3); f.AddConfirmation(2, t0) }, time.Second, ReasonConfirmed},
		{"confirmation of a newer revision", func(f *Freshness) { f.SetInstalled(3); f.AddConfirmation(4, t0) }, time.Second, ReasonStale},
		{"confirmation of a newer revision that is installed later", func(f *Freshness) { f.SetInstalled(3); f.AddConfirmation(4, t0); f.SetInstalled(4) }, time.Second, ReasonConfirmed},
		{"lower revision ignored", func(f *Freshness) { f.SetInstalled(3); f.SetInstalled(2); f.AddConfirmation(3, t0) }, time.Second, ReasonConfirmed},
		{"general outage", func(f *Freshness) { f.SetInstalled(3); report(f, 0, all...) }, 4 * time.Second, ReasonOutage},
		{"outage reports too old", func(f *Freshness) { f.SetInstalled(3); report(f, 0, all...) }, FreshnessBound, ReasonStale},
		{"outage report of one watcher missing", func(f *Freshness) { f.SetInstalled(3); report(f, 0, all[1:]...) }, time.Second, ReasonStale},
		{"general outage with a newer revision known", func(f *Freshness) { f.SetInstalled(3); report(f, 0, all...); f.NoteRevision(4) }, time.Second, ReasonStale},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var f Freshness
			tc.set(&f)
			got := f.Verdict(t0.Add(tc.now), view)
			if got.Reason != tc.want || got.Serve != (tc.want == ReasonConfirmed || tc.want == ReasonOutage) {
				t.Errorf("the verdict is %+v, want %s", got, tc.want)
			}
		})
	}
	var f Freshness
	f.SetInstalled(3)
	report(&f, 0, all...)
	if got := f.Verdict(t0, View{}); got.Serve {
		t.Errorf("the verdict without a failure domain that is in is %+v, want Serve false", got)
	}
}

// storeResponseWindow is how long the store must respond to a failure domain until one
// of its watchers has read the head for certain: the timeout of a Poll under way, the
// delay before the next Poll, and the time of that Poll.
const storeResponseWindow = pollTimeout + pollRetry + time.Second

// Guards against an instance that accepts a withdrawn key later than FreshnessBound
// after a watcher could read the withdrawal, against a revision that decreases, and
// against a fleet that does not converge after the faults. Each run draws cuts, store
// outages, pauses and crashes at random.
func TestRandomFaultSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"a", "b", "c"}
		f := newSimFleet(rapid.Uint64().Draw(t, "seed"), 3, domains...)
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
		f.configure(t)
		f.startAll()
		f.run(8 * time.Second)

		// Each fault has targets and ends before the end of the run. x and y are failure
		// domains; a cut loses the messages from x to y.
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
		// The operator withdraws the key through the store in one failure domain. The
		// store responds to that failure domain for storeResponseWindow from then on.
		operatorDomain := rapid.SampledFrom(domains).Draw(t, "operator")
		accepted := f.now.Add(time.Duration(rapid.IntRange(0, 40000).Draw(t, "withdrawal")) * time.Millisecond)
		inWindow := func(at time.Time) bool { return !at.Before(accepted) && at.Before(accepted.Add(storeResponseWindow)) }
		active := func(kind string, match func(fault) bool) bool {
			for _, x := range faults {
				if x.kind == kind && !f.now.Before(x.from) && f.now.Before(x.to) && match(x) {
					return true
				}
			}
			return false
		}
		f.storeDown = func(i *simInstance) bool {
			if i.domain == operatorDomain && inWindow(f.now) {
				return false
			}
			return active("all", func(fault) bool { return true }) || active("store", func(x fault) bool { return x.x == i.domain })
		}
		f.cut = func(a, b *simInstance) bool {
			return active("cut", func(x fault) bool { return x.x == a.domain && x.y == b.domain && x.x != x.y })
		}
		for n, x := range faults {
			i := f.instances[(n*5+int(x.x[0]))%len(f.instances)]
			if i.domain == operatorDomain && x.from.Before(accepted.Add(storeResponseWindow+2*time.Second)) && x.to.After(accepted.Add(-suspectAfter-time.Second)) {
				continue // the watchers of this failure domain must run while they read and relay the withdrawal
			}
			switch x.kind {
			case "pause":
				f.schedule(x.from.Sub(f.now), func() { i.pausedUntil = x.to })
			case "crash":
				f.schedule(x.from.Sub(f.now), func() { i.running = false })
				f.schedule(x.to.Sub(f.now), func() { f.start(i) })
			}
		}
		f.schedule(accepted.Sub(f.now), func() { f.withdrawKey(t) })

		lowest := map[string]uint64{}
		for end := f.now.Add(80 * time.Second); f.now.Before(end); f.run(50 * time.Millisecond) {
			for _, i := range f.instances {
				key := fmt.Sprint(i.address, i.runs)
				if revision := i.Config().Revision; revision < lowest[key] {
					t.Fatalf("the revision of %s decreased from %d to %d", i.address, lowest[key], revision)
				} else {
					lowest[key] = revision
				}
				if f.now.After(accepted.Add(storeResponseWindow+FreshnessBound)) && f.serves(i) {
					t.Fatalf("%s accepts the withdrawn key %s after its withdrawal: %+v", i.address, f.now.Sub(accepted), i.FreshnessVerdict(f.now))
				}
			}
		}
		f.loss = 0
		f.run(20 * time.Second)
		for _, i := range f.instances {
			if v := i.FreshnessVerdict(f.now); i.Config().Revision != 2 || v.Reason != ReasonConfirmed {
				t.Fatalf("%s has not converged: revision %d, verdict %+v, want revision 2, confirmed", i.address, i.Config().Revision, v)
			}
			for _, record := range i.Members().Records() {
				if record.State != Live {
					t.Fatalf("%s has %s in state %s, want live", i.address, record.Address, record.State)
				}
			}
		}
	})
}

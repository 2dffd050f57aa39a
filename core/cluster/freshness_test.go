package cluster

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/config"
)

// TestFreshnessVerdict guards against a freshness rule that lets an instance serve
// protected routes with a configuration that may be stale, and against one that stops
// it in a general outage.
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

// TestRandomFaultSchedules guards against an instance that accepts a withdrawn key
// later than FreshnessBound after a watcher could read the withdrawal, against a
// revision that decreases, and against a fleet that does not converge after the faults.
// Each run draws cuts, store outages, pauses and crashes at random.
func TestRandomFaultSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"a", "b", "c"}
		f := newSimFleet(rapid.Uint64().Draw(t, "seed"), 3, domains...)
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
		f.configure(t)
		f.startAll()
		f.run(8 * time.Second)

		// Each fault ends before the end of the run. A cut loses the messages from domain
		// to target.
		type fault struct {
			kind, domain, target string
			index                int
			begin, end           time.Time
		}
		var faults []fault
		draw := func(kind string, index int) fault {
			begin := f.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "begin")) * time.Millisecond)
			return fault{
				kind, rapid.SampledFrom(domains).Draw(t, "domain"), rapid.SampledFrom(domains).Draw(t, "target"), index, begin,
				begin.Add(time.Duration(rapid.IntRange(100, 30000).Draw(t, "length")) * time.Millisecond),
			}
		}
		for index := range rapid.IntRange(0, 8).Draw(t, "faults") {
			faults = append(faults, draw(rapid.SampledFrom([]string{"cut", "cut", "store", "store", "all", "pause", "crash"}).Draw(t, "kind"), index))
		}
		// The operator withdraws the key through the store in one failure domain. The
		// store responds to that failure domain for storeResponseWindow from then on.
		operatorDomain := rapid.SampledFrom(domains).Draw(t, "operator")
		accepted := f.now.Add(time.Duration(rapid.IntRange(0, 40000).Draw(t, "withdrawal")) * time.Millisecond)
		inWindow := func(at time.Time) bool { return !at.Before(accepted) && at.Before(accepted.Add(storeResponseWindow)) }
		active := func(kind string, match func(fault) bool) bool {
			for _, ft := range faults {
				if ft.kind == kind && !f.now.Before(ft.begin) && f.now.Before(ft.end) && match(ft) {
					return true
				}
			}
			return false
		}
		f.storeDown = func(instance *simInstance) bool {
			if instance.domain == operatorDomain && inWindow(f.now) {
				return false
			}
			return active("all", func(fault) bool { return true }) || active("store", func(ft fault) bool { return ft.domain == instance.domain })
		}
		f.cut = func(a, b *simInstance) bool {
			return active("cut", func(ft fault) bool { return ft.domain == a.domain && ft.target == b.domain && ft.domain != ft.target })
		}
		for n, ft := range faults {
			instance := f.instances[(n*5+int(ft.domain[0]))%len(f.instances)]
			if instance.domain == operatorDomain && ft.begin.Before(accepted.Add(storeResponseWindow+2*time.Second)) && ft.end.After(accepted.Add(-suspectAfter-time.Second)) {
				continue // the watchers of this failure domain must run while they read and relay the withdrawal
			}
			switch ft.kind {
			case "pause":
				f.schedule(ft.begin.Sub(f.now), func() { instance.pausedUntil = ft.end })
			case "crash":
				f.schedule(ft.begin.Sub(f.now), func() { instance.running = false })
				f.schedule(ft.end.Sub(f.now), func() { f.start(instance) })
			}
		}
		f.schedule(accepted.Sub(f.now), func() { f.withdrawKey(t) })

		lowest := map[string]uint64{}
		for end := f.now.Add(80 * time.Second); f.now.Before(end); f.run(50 * time.Millisecond) {
			for _, instance := range f.instances {
				key := fmt.Sprint(instance.address, instance.runs)
				if revision := instance.Config().Revision; revision < lowest[key] {
					t.Fatalf("the revision of %s decreased from %d to %d", instance.address, lowest[key], revision)
				} else {
					lowest[key] = revision
				}
				if f.now.After(accepted.Add(storeResponseWindow+FreshnessBound)) && f.serves(instance) {
					t.Fatalf("%s accepts the withdrawn key %s after its withdrawal: %+v", instance.address, f.now.Sub(accepted), instance.FreshnessVerdict(f.now))
				}
			}
		}
		f.loss = 0
		f.run(20 * time.Second)
		for _, instance := range f.instances {
			if verdict := instance.FreshnessVerdict(f.now); instance.Config().Revision != 2 || verdict.Reason != ReasonConfirmed {
				t.Fatalf("%s has not converged: revision %d, verdict %+v, want revision 2, confirmed", instance.address, instance.Config().Revision, verdict)
			}
			for _, record := range instance.Members().Records() {
				if record.State != Live {
					t.Fatalf("%s has %s in state %s, want live", instance.address, record.Address, record.State)
				}
			}
		}
	})
}

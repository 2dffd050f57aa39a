package failover

import (
	"testing"
	"time"
)

// TestDetectorVerdict guards in each case against a suspicion or a promotion without cause.
// Observer x in failure domain dx polls three upstreams; primary a answers until 1 s. The
// verdict is taken at 2 s.
func TestDetectorVerdict(t *testing.T) {
	const ms = time.Millisecond
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	report := func(d *Detector, at time.Time, observer, domain string, suspected bool, age time.Duration) {
		d.HandleSuspicion(at, Suspicion{Observer: observer, Domain: domain, Term: 1, Suspected: suspected, Age: age})
	}
	for _, tc := range []struct {
		name    string
		prepare func(*Detector)
		want    Verdict
	}{
		{"two failure domains", func(d *Detector) { report(d, at(2*time.Second), "y", "dy", true, 0) }, Verdict{true, ReasonSuspected, 2}},
		{"own link only", func(*Detector) {}, Verdict{false, ReasonHealthy, 1}},
		{"same failure domain twice", func(d *Detector) { report(d, at(2*time.Second), "y", "dx", true, 0) }, Verdict{false, ReasonHealthy, 1}},
		{"suspicion that comes late", func(d *Detector) { report(d, at(2*time.Second), "y", "dy", true, 800*ms) }, Verdict{false, ReasonHealthy, 1}},
		{"withdrawn suspicion", func(d *Detector) {
			report(d, at(2*time.Second), "y", "dy", false, 100*ms)
			report(d, at(2*time.Second), "y", "dy", true, 200*ms) // sent before the withdrawal, arrives after it
		}, Verdict{false, ReasonHealthy, 1}},
		{"suspicion of another term", func(d *Detector) {
			d.HandleSuspicion(at(2*time.Second), Suspicion{Observer: "y", Domain: "dy", Term: 2, Suspected: true})
		}, Verdict{false, ReasonHealthy, 1}},
		{"pause of the observer", func(d *Detector) {
			report(d, at(2*time.Second), "y", "dy", true, 0)
			d.lastTick = at(time.Second)
			d.Tick(at(2 * time.Second))
		}, Verdict{false, ReasonHealthy, 1}},
		{"primary seen in the new term just now", func(d *Detector) {
			d.SetGroup(at(1100*ms), 2, "b")
			d.HandleSuspicion(at(2*time.Second), Suspicion{Observer: "y", Domain: "dy", Term: 2, Suspected: true, Served: true})
		}, Verdict{false, ReasonHysteresis, 2}},
		{"no majority", func(d *Detector) {
			report(d, at(2*time.Second), "y", "dy", true, 0)
			for i := range d.polls {
				d.polls[i].answeredAt = at(time.Second)
			}
		}, Verdict{false, ReasonNoMajority, 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := NewDetector("x", "dx", DefaultTiming)
			d.SetMembers(names[:3])
			d.SetGroup(at(-time.Hour), 1, "a")
			c := newCluster(3)
			for now := at(0); !now.After(at(2 * time.Second)); now = now.Add(50 * ms) {
				for _, r := range d.Tick(now) {
					if r.Upstream != "a" || !now.After(at(time.Second)) {
						d.HandleUpstream(c.controlCall(now, r))
					}
				}
			}
			tc.prepare(d)
			if got := d.Verdict(at(2 * time.Second)); got != tc.want {
				t.Errorf("Verdict = %+v, want %+v", got, tc.want)
			}
		})
	}
}

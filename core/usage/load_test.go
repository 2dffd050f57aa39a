package usage

import (
	"fmt"
	"testing"
	"time"
)

// TestLoad plays the deployment that reports are required on, without failures: 75 instances, of
// which 24 have a gateway and 80 teams send between 5 and 36 requests a second each, and one
// attempt in eight is refused by its upstream. It guards against numbers that are off for any
// team, more than one call for a window, more pushes than the fleet may send, and late reports.
func TestLoad(t *testing.T) {
	const instances, gateways, teams = 75, 24, 80
	w := newWorld(3, instances, true, "")
	w.perStep, w.repeatRate = 0, 0
	truth := make(map[uint64]Counts)
	var due []float64
	for k := range teams {
		due = append(due, float64(k)/teams) // teams do not send in the same step
	}
	w.run(10 * time.Second)
	first := WindowAt(w.now, testWindow) + 1
	began, pushes, writes := w.now, w.pushes, w.revision
	for range int(60 * time.Second / testStep) {
		for k := range teams {
			for due[k] += (5 + 0.4*float64(k)) * testStep.Seconds(); due[k] >= 1; due[k]-- {
				i, team := w.instances[w.random.IntN(gateways)], fmt.Sprint("t", k)
				window := i.counter.Add(w.boot(i), team)
				if w.random.IntN(8) == 0 {
					i.counter.Remove(window, team)
					continue
				}
				at := WindowAt(w.now, testWindow)
				if truth[at] == nil {
					truth[at] = make(Counts)
				}
				truth[at][team]++
			}
		}
		w.run(testStep)
	}
	var worst float64
	var latest time.Duration
	windows := 0
	for k := first; WindowEnd(k, testWindow).Add(testDelay).Before(w.now); k++ {
		windows++
		latest = max(latest, w.at[k].Sub(WindowEnd(k, testWindow)))
		for team, want := range truth[k] {
			got := float64(w.reported[k].Counts[team])
			worst = max(worst, max(got-float64(want), float64(want)-got)/float64(want))
		}
	}
	seconds := w.now.Sub(began).Seconds()
	pushRate, writeRate := float64(w.pushes-pushes)/seconds, float64(w.revision-writes)/seconds
	t.Logf("%d windows, the worst team is off by %.2f %%, the latest report came after %v; %.1f pushes/s, %.2f writes of the store/s", windows, worst*100, latest, pushRate, writeRate)
	if windows < 8 || worst > off || latest > testDelay || pushRate > maxPushRate || w.callCount != len(w.reported) {
		t.Errorf("%d calls for %d windows", w.callCount, len(w.reported))
	}
}

package usage

// Contact: which instances have pushed a short time ago, and the fleet clock that follows from
// their pushes. Wall clocks of some instances may jump by seconds, so the median counts.

import (
	"slices"
	"time"
)

// heardTimeout returns the time for which a push counts as contact.
func (g *Gatherer) heardTimeout() time.Duration {
	return max(minHeardTimeout, heardPeriods*pushPeriod(len(g.fleet.Runs), g.o.Window, g.o.Delay))
}

// heard returns the number of known runs that pushed a short time ago.
func (g *Gatherer) heard(now time.Time) int {
	n, timeout := 0, g.heardTimeout()
	for _, id := range g.fleet.Runs {
		if r := g.runs[id]; r != nil && now.Sub(r.at) < timeout {
			n++
		}
	}
	return n
}

// hasMost reports whether half of the known instances or more pushed a short time ago. Half is
// enough, so that one of two instances goes on alone; the record has one holder in any case.
func (g *Gatherer) hasMost(now time.Time) bool {
	// An instance that gathers nothing knows few runs, and need not look up all of the fleet.
	return 2*len(g.runs) >= len(g.fleet.Runs) && 2*g.heard(now) >= max(1, len(g.fleet.Runs))
}

// FleetTime returns the fleet clock as the median of the instances' wall clocks. It reports
// false while most instances have not pushed.
func (g *Gatherer) FleetTime(now time.Time) (time.Time, bool) {
	if !g.hasMost(now) {
		return time.Time{}, false
	}
	var offsets []time.Duration
	timeout := g.heardTimeout()
	for _, id := range g.fleet.Runs {
		if r := g.runs[id]; r != nil && now.Sub(r.at) < timeout {
			offsets = append(offsets, r.offset)
		}
	}
	slices.Sort(offsets)
	if g.o.without == guardMedian {
		return now.Add(offsets[len(offsets)-1]), true
	}
	return now.Add(offsets[(len(offsets)-1)/2]), true
}

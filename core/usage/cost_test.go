package usage

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// teamCounts returns counts of a number of teams.
func teamCounts(teams int) Counts {
	c := make(Counts, teams)
	for k := range teams {
		c[fmt.Sprintf("team%04d", k)] = uint64(40 + k%300)
	}
	return c
}

// pushSize returns the size of a push of two windows on a connection that knows the types.
func pushSize(t *testing.T, teams int) int {
	t.Helper()
	var buffer bytes.Buffer
	e := gob.NewEncoder(&buffer)
	p := Push{Run: "instance-7.18216ecbdfba0000", Seq: 1000, Wall: trueTime.UnixNano(), Current: 360000001, Windows: map[uint64]Counts{360000000: teamCounts(teams), 360000001: teamCounts(teams)}}
	last := 0
	for range 2 {
		last = buffer.Len()
		if err := e.Encode(p); err != nil {
			t.Fatal(err)
		}
	}
	return buffer.Len() - last
}

// TestGatherCost compares three ways to gather, and guards against a record that the store does
// not take. Of the instances, those with an upstream's gateway have counts.
func TestGatherCost(t *testing.T) {
	for _, test := range []struct{ instances, counting, teams, teamsEach, domains int }{
		{9, 9, 8, 8, 3}, {72, 24, 78, 78, 6}, {75, 24, 80, 80, 6}, {75, 24, 5000, 5000, 6}, {195, 72, 80, 80, 6}, {3500, 3500, 80, 80, 14}, {3500, 3500, 5000, 50, 14},
	} {
		pushes := 0
		for at := trueTime; ; pushes++ {
			if at = PushTime(at, 0.5, test.instances, testWindow, testDelay); !at.Before(trueTime.Add(testWindow)) {
				break
			}
		}
		perSecond := float64(pushes) / testWindow.Seconds()
		share := float64(test.counting) / float64(test.instances)
		bytesEach := share*float64(pushSize(t, test.teamsEach)) + (1-share)*float64(pushSize(t, 0))
		direct := float64(test.instances) * perSecond
		// Through a collector in each domain, the gatherer gets one push of all the domain's teams
		// from each domain a second, and the collectors get those of their domain.
		collector := float64(pushSize(t, min(test.teams, test.teamsEach*test.counting/test.domains)))
		// Through the store, each instance with counts writes an object per window, and the
		// gatherer lists them once.
		writes := float64(test.counting) / testWindow.Seconds()
		t.Logf("%d instances, %d teams: direct %.0f pushes/s and %.0f kB/s at the gatherer; by domains %d pushes/s and %.0f kB/s at the gatherer, %.0f kB/s at a collector; by the store %.0f calls/s",
			test.instances, test.teams, direct, direct*bytesEach/1000, test.domains, float64(test.domains)*collector/1000, direct*bytesEach/1000/float64(test.domains), writes+1/testWindow.Seconds())

		g := NewGatherer(Options{Run: "r0", Window: testWindow, Delay: testDelay, Lease: testLease}, boot)
		for k := range test.counting {
			g.HandlePush(boot, Push{Run: fmt.Sprintf("instance-%d.18216ecbdfba0000", k), Seq: 1, Windows: map[uint64]Counts{0: teamCounts(test.teamsEach), 1: teamCounts(test.teamsEach)}})
		}
		g.record.Open = []Report{{Counts: teamCounts(test.teams)}, {Counts: teamCounts(test.teams)}}
		r := g.record
		began := time.Now()
		r.Parts = g.parts(0)
		data, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("  record: %d kB with the parts of %d runs, encoded in %v", len(data)/1000, len(r.Parts), time.Since(began).Round(10*time.Microsecond))
		if len(data) > 900_000 {
			t.Errorf("the record has %d bytes, and the store takes 1 MB", len(data))
		}
	}
}

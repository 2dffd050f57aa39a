package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/wal"
)

// TestFloors guards against a floor that is too low: a read at or beyond the floor must
// see every commit that was acknowledged before the requested time.
func TestFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Floors
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		type commit struct {
			at time.Time
			p  wal.Position
		}
		p := wal.Position{Term: 1, Offset: 1}
		commits := []commit{{now, p}}
		var delayed []commit
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				p.Offset++
				commits = append(commits, commit{now, p})
			case 1:
				p = wal.Position{Term: p.Term + 1, Offset: p.Offset}
			case 2:
				// The time of a sample is that of the request, before the position was read.
				f.Add(now.Add(-time.Duration(rapid.IntRange(0, 50).Draw(t, "age"))*time.Millisecond), p)
			case 3:
				delayed = append(delayed, commit{now, p})
			case 4:
				// A delayed answer arrives, possibly after newer ones.
				if len(delayed) > 0 {
					k := rapid.IntRange(0, len(delayed)-1).Draw(t, "delayed")
					f.Add(delayed[k].at, delayed[k].p)
				}
			}
			since := now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "staleness")) * time.Millisecond)
			floor, _, ok := f.Oldest(since)
			if !ok {
				continue
			}
			for _, c := range commits {
				if c.at.Before(since) && c.p.Compare(floor) > 0 {
					t.Fatalf("floor %v for reads since %v misses the commit %v of %v", floor, since, c.p, c.at)
				}
			}
		}
	})
}

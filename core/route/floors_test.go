package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/wal"
)

// TestFloors guards against a floor that proves less than it should: a read behind the
// floor must see every commit that was acknowledged before the asked time.
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
		var held []commit
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				p.Offset++
				commits = append(commits, commit{now, p})
			case 1:
				p = wal.Position{Term: p.Term + 1, Offset: p.Offset}
			case 2:
				// The sample's time lies before the position was read.
				f.Add(now.Add(-time.Duration(rapid.IntRange(0, 50).Draw(t, "age"))*time.Millisecond), p)
			case 3:
				held = append(held, commit{now, p})
			case 4:
				// An answer arrives late, also after newer ones.
				if len(held) > 0 {
					k := rapid.IntRange(0, len(held)-1).Draw(t, "held")
					f.Add(held[k].at, held[k].p)
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

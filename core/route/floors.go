package route

// Floors are positions that prove the age of a replica's data where no majority of a
// group can be asked: each is a position that the primary's log had at a time at which
// it was proven to lead. A read behind the position sees every commit that was
// acknowledged before that time.

import (
	"time"

	"burdockseam/core/wal"
)

const (
	// floorSpacing keeps the ring from being filled by a burst of samples.
	floorSpacing = 100 * time.Millisecond
	// floorCount × floorSpacing covers staleness bounds of up to 6.4 s.
	floorCount = 64
)

type floor struct {
	at       time.Time
	position wal.Position
}

// Floors holds the samples of one group in the order of their times. The zero Floors
// is empty and ready to use.
type Floors struct {
	list []floor
}

// Add takes in a position that the primary's log had at the given time or later. A
// position below an earlier one comes from an upstream that led before and is ignored.
func (f *Floors) Add(at time.Time, p wal.Position) {
	n := len(f.list)
	if n > 0 && (!at.After(f.list[n-1].at) || p.Compare(f.list[n-1].position) < 0) {
		return
	}
	if n > 1 && at.Sub(f.list[n-2].at) < floorSpacing {
		f.list[n-1] = floor{at, p}
		return
	}
	if n == floorCount {
		f.list = append(f.list[:0], f.list[1:]...)
	}
	f.list = append(f.list, floor{at, p})
}

// Oldest returns the position and the time of the oldest sample that is not older than
// the given time, so that as many replicas as possible have reached it. It reports false
// if there is none.
func (f *Floors) Oldest(since time.Time) (p wal.Position, at time.Time, ok bool) {
	for _, s := range f.list {
		if !s.at.Before(since) {
			return s.position, s.at, true
		}
	}
	return wal.Position{}, time.Time{}, false
}

// Last returns the newest position and the time at which the primary is proven to have
// had it, and false if there is none.
func (f *Floors) Last() (p wal.Position, at time.Time, ok bool) {
	if n := len(f.list); n > 0 {
		return f.list[n-1].position, f.list[n-1].at, true
	}
	return wal.Position{}, time.Time{}, false
}

package route

// Floors bound the age of a replica's data for an instance that cannot ask a majority of
// the group. Each floor is a position that the primary's log had at a time at which the
// primary was proven to lead. A read at or beyond the position sees every commit that was
// acknowledged before that time.

import (
	"time"

	"burdockseam/core/wal"
)

const (
	// floorSpacing is the least time between stored samples, so that a burst of samples
	// does not displace the older ones.
	floorSpacing = 100 * time.Millisecond
	// floorCount × floorSpacing is the largest staleness bound that the samples cover,
	// 6.4 s.
	floorCount = 64
)

// floorSample is a position and a time at which the log of the proven primary had
// reached it.
type floorSample struct {
	at       time.Time
	position wal.Position
}

// Floors holds the samples of one group in the order of their times. The zero value is
// empty and ready to use.
type Floors struct {
	samples []floorSample
}

// Add adds a position that the primary's log had at the given time or later. A position
// below an earlier one comes from a former primary and is ignored.
func (f *Floors) Add(at time.Time, p wal.Position) {
	n := len(f.samples)
	if n > 0 && (!at.After(f.samples[n-1].at) || p.Compare(f.samples[n-1].position) < 0) {
		return
	}
	if n > 1 && at.Sub(f.samples[n-2].at) < floorSpacing {
		f.samples[n-1] = floorSample{at, p}
		return
	}
	if n == floorCount {
		f.samples = append(f.samples[:0], f.samples[1:]...)
	}
	f.samples = append(f.samples, floorSample{at, p})
}

// Oldest returns the position and the time of the oldest sample that was taken at or
// after the given time, and false if there is none. The oldest sample is the one that
// the most replicas have reached.
func (f *Floors) Oldest(since time.Time) (p wal.Position, at time.Time, ok bool) {
	for _, s := range f.samples {
		if !s.at.Before(since) {
			return s.position, s.at, true
		}
	}
	return wal.Position{}, time.Time{}, false
}

// Last returns the position and the time of the newest sample, and false if there is
// none.
func (f *Floors) Last() (p wal.Position, at time.Time, ok bool) {
	if n := len(f.samples); n > 0 {
		return f.samples[n-1].position, f.samples[n-1].at, true
	}
	return wal.Position{}, time.Time{}, false
}

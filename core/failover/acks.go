// AckTracker applies the acknowledgement rule to the writes of one group.
//
// A report that shows log term t, offset ≥ p and fenced term t stays valid evidence for
// the write (t, p) for ever: the log of an upstream only grows within a term, and the
// fence of a later promotion comes after the report and reads the position again. So the
// highest reported offset of each upstream is enough, and duplicated, late or reordered
// reports do no harm.

package failover

import (
	"cmp"
	"slices"
	"time"

	"burdockseam/core/wal"
)

// Outcome is the result of a write for its caller.
type Outcome string

// The outcomes.
const (
	OutcomeAcknowledged Outcome = "acknowledged"
	OutcomeUnknown      Outcome = "unknown"
)

// Write is a write that the primary has executed and that is not acknowledged yet.
type Write struct {
	ID uint64
	// Position is the commit position that the primary reported.
	Position wal.Position
	// Deadline is when the caller is told that the outcome is unknown.
	Deadline time.Time
}

// ResolvedWrite is a write whose outcome is decided.
type ResolvedWrite struct {
	ID       uint64
	Position wal.Position
	Outcome  Outcome
}

// AckTracker holds the pending writes of one group and the offsets that the upstreams have
// reported. The slices that its methods return are valid until the next call.
type AckTracker struct {
	term     uint64
	primary  string
	members  []string
	offsets  []uint64 // parallel to members: highest offset reported in term
	reported []bool   // parallel to members: whether the upstream has reported in term
	pending  []Write  // sorted by offset
	resolved []ResolvedWrite
	scratch  []uint64 // scratch space of confirmedOffset
}

// SetGroup sets the recorded term and primary and the names of all upstreams. Pending writes
// of another term become unknown. Upstreams may be added or removed only between two
// promotions and one at a time: after a bigger change, the majorities before and after it need
// not intersect.
func (a *AckTracker) SetGroup(term uint64, primary string, members []string) []ResolvedWrite {
	a.resolved = a.resolved[:0]
	if slices.Equal(members, a.members) && term == a.term && primary == a.primary {
		return a.resolved
	}
	offsets, reported := make([]uint64, len(members)), make([]bool, len(members))
	if term == a.term {
		for i, m := range members {
			if j := slices.Index(a.members, m); j >= 0 {
				offsets[i], reported[i] = a.offsets[j], a.reported[j]
			}
		}
	} else {
		for _, w := range a.pending {
			a.resolve(w, OutcomeUnknown)
		}
		a.pending = a.pending[:0]
	}
	a.term, a.primary = term, primary
	a.members, a.offsets, a.reported = slices.Clone(members), offsets, reported
	a.acknowledgePending()
	return a.resolved
}

// Add starts to wait for the acknowledgement of a write. A write of another term is unknown at
// once.
func (a *AckTracker) Add(w Write) []ResolvedWrite {
	a.resolved = a.resolved[:0]
	if w.Position.Term != a.term {
		a.resolve(w, OutcomeUnknown)
		return a.resolved
	}
	i, _ := slices.BinarySearchFunc(a.pending, w, func(x, y Write) int { return cmp.Compare(x.Position.Offset, y.Position.Offset) })
	a.pending = slices.Insert(a.pending, i, w)
	a.acknowledgePending()
	return a.resolved
}

// HandleStatus takes an upstream's status. The answer to a statement on a data connection of
// the term counts as a status of the primary: it proves that the primary was fenced at that
// term when it reached the commit position.
func (a *AckTracker) HandleStatus(upstream string, s Status) []ResolvedWrite {
	a.resolved = a.resolved[:0]
	i := slices.Index(a.members, upstream)
	if i < 0 || s.Fenced != a.term || s.Position.Term != a.term {
		return a.resolved
	}
	if !a.reported[i] || s.Position.Offset > a.offsets[i] {
		a.offsets[i], a.reported[i] = s.Position.Offset, true
		a.acknowledgePending()
	}
	return a.resolved
}

// Tick resolves writes whose deadline has passed as unknown.
func (a *AckTracker) Tick(now time.Time) []ResolvedWrite {
	a.resolved = a.resolved[:0]
	a.pending = slices.DeleteFunc(a.pending, func(w Write) bool {
		late := !now.Before(w.Deadline)
		if late {
			a.resolve(w, OutcomeUnknown)
		}
		return late
	})
	return a.resolved
}

// Pending returns the number of pending writes and their highest offset, which is the offset
// to wait for in group_status.
func (a *AckTracker) Pending() (int, uint64) {
	if len(a.pending) == 0 {
		return 0, 0
	}
	return len(a.pending), a.pending[len(a.pending)-1].Position.Offset
}

// acknowledgePending acknowledges the pending writes up to the confirmed offset.
func (a *AckTracker) acknowledgePending() {
	offset, ok := a.confirmedOffset()
	if !ok {
		return
	}
	n := 0
	for n < len(a.pending) && a.pending[n].Position.Offset <= offset {
		a.resolve(a.pending[n], OutcomeAcknowledged)
		n++
	}
	a.pending = slices.Delete(a.pending, 0, n)
}

// confirmedOffset returns the highest offset that a majority including the primary has
// reported, and false if there is none.
func (a *AckTracker) confirmedOffset() (uint64, bool) {
	p := slices.Index(a.members, a.primary)
	if p < 0 || !a.reported[p] {
		return 0, false
	}
	a.scratch = a.scratch[:0]
	for i, o := range a.offsets {
		if a.reported[i] {
			a.scratch = append(a.scratch, min(o, a.offsets[p]))
		}
	}
	need := majority(len(a.members))
	if len(a.scratch) < need {
		return 0, false
	}
	slices.Sort(a.scratch)
	return a.scratch[len(a.scratch)-need], true
}

// resolve adds a write and its outcome to the result of the present call.
func (a *AckTracker) resolve(w Write, o Outcome) {
	a.resolved = append(a.resolved, ResolvedWrite{w.ID, w.Position, o})
}

package health

import "time"

const (
	// gapWeight is the weight of one gap in the learned duration.
	gapWeight = 0.3
	// leastRemaining is the least expected rest of a gap that lasts longer than expected.
	leastRemaining = 100 * time.Millisecond
	// shortestGap is the shortest gap that is learned from. A gateway that does not reach the
	// primary makes it look missing until a statement reaches it through another gateway.
	shortestGap = 100 * time.Millisecond
	// longestGap bounds what is learned from a gap. An instance without statements for the
	// primary sees its end late.
	longestGap = 2 * time.Second
)

// Gap learns how long a group is without a primary when that changes.
type Gap struct {
	began    time.Time // zero while there is a primary
	expected time.Duration
}

// NewGap returns a Gap that expects the given duration until it has seen one.
func NewGap(expected time.Duration) Gap { return Gap{expected: expected} }

// Observe records whether the group has a primary now.
func (g *Gap) Observe(now time.Time, missing bool) {
	switch {
	case missing && g.began.IsZero():
		g.began = now
	case !missing && !g.began.IsZero():
		if lasted := now.Sub(g.began); lasted >= shortestGap {
			g.expected += time.Duration(gapWeight * float64(min(lasted, longestGap)-g.expected))
		}
		g.began = time.Time{}
	}
}

// Remaining returns the expected time until the group has a primary, or 0 if it has one. A gap
// that lasts longer than expected is expected to last for another half of its time.
func (g *Gap) Remaining(now time.Time) time.Duration {
	if g.began.IsZero() {
		return 0
	}
	lasted := now.Sub(g.began)
	return max(leastRemaining, g.expected-lasted, min(lasted/2, g.expected))
}

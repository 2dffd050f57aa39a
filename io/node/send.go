package node

// What a statement takes along to the gateway, and the statements in flight.

import (
	"time"

	"burdockseam/io/caller"
)

// targetLeft returns the time that is left until an operation should be done, or 0 if the
// route states no target. It is positive also after the target has passed.
func targetLeft(op *caller.Operation, now time.Time) time.Duration {
	target := op.Grant.Route.TargetLatency
	if target <= 0 {
		return 0
	}
	return max(time.Millisecond, op.Arrived.Add(target).Sub(now))
}

// addInFlight changes the number of this instance's statements in flight at an upstream.
func (n *Node) addInFlight(upstream string, d int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.statsOf(upstream).inFlight += d
}

package node

// The graceful shutdown of an instance.

import (
	"context"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/shutdown"
	"burdockseam/io/caller"
)

// Durations of a graceful shutdown.
const (
	// readinessDelay is the time after which no new caller is sent to this instance: the
	// readiness probe runs every second, and two failures take an instance out of rotation.
	readinessDelay = 2200 * time.Millisecond
	// exitReserve is the part of the drain timeout that is left for the process to exit.
	exitReserve       = 500 * time.Millisecond
	drainPollInterval = 25 * time.Millisecond
)

// drain takes the instance out of service because of a cause. The instance stops being ready at
// once, peers place no new work on it, and each session is closed when it has no open
// transaction.
func (n *Node) drain(ctx context.Context, cause error) {
	began := n.now()
	plan := shutdown.Plan{Start: began, End: began.Add(n.settings().DrainTimeout - exitReserve)}
	n.stopping.Store(&plan)
	n.draining.Store(true)
	open, active := n.callers.Sessions()
	n.log.Info("shutdown: draining", "sessions", open, "transactions", active, "why", errorText(cause))
	go func() {
		if err := n.writeOwnObject(ctx, true); err != nil {
			n.log.Info("shutdown: instance not marked as leaving in the store", "err", err.Error())
		}
	}()
	n.broadcast(ctx, "Node.Leave", LeaveNotice{Address: n.self.Address})
	for n.now().Sub(began) < min(readinessDelay, n.settings().DrainTimeout/2) {
		sleep(ctx, drainPollInterval)
		n.gateways.TrimIdle()
	}
	n.callers.Drain()
	n.limits.close()
	n.delegates.close()
	for n.now().Before(plan.End) {
		if open, _ = n.callers.Sessions(); open == 0 && n.gateways.OpenWork() == 0 {
			break
		}
		sleep(ctx, drainPollInterval)
		n.gateways.TrimIdle()
	}
	n.primaries.handOverAcknowledged(ctx)
	if n.usage != nil {
		n.usage.flush(ctx)
	}
	open, active = n.callers.Sessions()
	n.log.Info("shutdown: drained", "cut", open, "transactions", active, "upstreams", n.gateways.OpenWork(), "took", n.now().Sub(began))
}

// acceptsStatement reports whether a statement that takes up to timeout may be passed on.
func (n *Node) acceptsStatement(timeout time.Duration) bool {
	p := n.stopping.Load()
	return p == nil || p.Accepts(n.now(), timeout)
}

// refuseAtShutdown returns the reply to a caller's statement that is not passed on, because its
// answer might come after the end of the instance.
func refuseAtShutdown(op *caller.Operation) call.Reply {
	if op.Kind != "" {
		return call.Refusal(call.Aborted, "the instance is shutting down")
	}
	r := call.Refusal(call.Busy, "the instance is shutting down")
	r.Retry = noPrimaryRetry
	return r
}

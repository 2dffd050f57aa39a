package instance

// Acknowledgements: while writes wait, the gateway of the primary requests the status of
// the group's other upstreams, and the core decides when a majority holds a write.

import (
	"context"
	"time"

	"burdockseam/core"
	"burdockseam/core/failover"
	"burdockseam/core/wal"
	"burdockseam/io/postgres"
)

const (
	// statusWait bounds the time for which one status call waits for a replica to reach an
	// offset.
	statusWait = 250 * time.Millisecond
	// maxReplicaPolling bounds the time for which one task polls a replica; the next write
	// starts a new task.
	maxReplicaPolling = time.Hour
)

// awaitAck waits until a majority of the group holds the write at the position, or until
// the outcome is unknown.
func (g *gateway) awaitAck(h postgres.Header, p wal.Position) failover.Outcome {
	c := g.in.control
	ch := make(chan failover.Outcome, 1)
	c.mu.Lock()
	id, e := c.node.AddWrite(c.now(), g.group, h.Upstream, p)
	c.writeWaiters[writeID{g.group, id}] = ch
	c.deliver(e)
	pending, _ := c.node.PendingWrites(g.group)
	c.mu.Unlock()
	c.perform(e)
	if pending > 0 {
		g.pollReplicas()
	}
	begun := c.now()
	outcome := failover.OutcomeUnknown
	select {
	case outcome = <-ch:
	case <-c.ctx.Done():
		// The instance has ended, so no decision on the write follows here.
	}
	g.in.metrics.ackTime(g.group).UpdateDuration(begun)
	return outcome
}

// pollReplicas starts to poll the other upstreams of the group that are not polled yet.
func (g *gateway) pollReplicas() {
	for name, u := range g.in.config.Load().Upstreams {
		if u.Group != g.group || name == g.upstream {
			continue
		}
		g.mu.Lock()
		running := g.polledReplicas[name]
		g.polledReplicas[name] = true
		g.mu.Unlock()
		if !running {
			g.in.control.task(maxReplicaPolling, func(ctx context.Context) { g.pollReplica(ctx, name) })
		}
	}
}

// pollReplica passes a replica's statuses to the core until no write waits any more.
func (g *gateway) pollReplica(ctx context.Context, name string) {
	c := g.in.control
	var offset uint64
	for !g.stopIfNoWrites(ctx, name) {
		r := g.replicaStatus(ctx, name, offset+1)
		if r.Failure == failover.FailureNone {
			offset = r.Status.Position.Offset
		} else {
			sleep(ctx, retryOpen)
		}
		c.do(func(now time.Time) core.Effects { return c.node.HandleUpstreamResult(now, g.group, r) })
	}
}

// stopIfNoWrites reports whether no write waits any more or the context has ended, and then
// marks the replica as no longer polled. Both happen under the gateway's lock, so that a new
// write is either seen here or starts a new task.
func (g *gateway) stopIfNoWrites(ctx context.Context, name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.in.control
	c.mu.Lock()
	pending, _ := c.node.PendingWrites(g.group)
	c.mu.Unlock()
	if pending == 0 || ctx.Err() != nil {
		g.polledReplicas[name] = false
		return true
	}
	return false
}

// replicaStatus returns a replica's status once its log has reached the offset, or after
// statusWait.
func (g *gateway) replicaStatus(ctx context.Context, name string, offset uint64) failover.UpstreamResult {
	ctx, cancel := context.WithTimeout(ctx, upstreamTimeout+statusWait)
	defer cancel()
	return g.in.control.upstreams.callOn(ctx, channelWait, failover.Request{
		Kind: failover.KindStatus, Upstream: name, Offset: offset, Wait: statusWait,
	})
}

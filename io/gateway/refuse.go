package gateway

// Refusals by the queue: what the caller is told, and what operators see.

import (
	"time"

	"burdockseam/core/call"
	"burdockseam/core/queue"
)

const (
	// retryHint is the time after which a statement that was refused for lack of capacity
	// may be retried if the queue has no estimate: about the time in which two slots serve
	// the backlog of a full second.
	retryHint = 250 * time.Millisecond
	// minRetryHint and maxRetryHint bound the hint. A shorter one repeats a request before
	// the queue can have changed, and a longer one exceeds the deadlines of operations.
	minRetryHint = tickInterval
	maxRetryHint = 2 * time.Second
	// refusalLogInterval is the time between two log lines about the refusals at an upstream.
	refusalLogInterval = time.Second
)

// refusalReply returns the reply to a request that the queue has refused. Its retry hint is
// the time by which the requests ahead are served.
func refusalReply(d queue.Decision) call.Reply {
	if d.Reason == queue.ReasonTransaction || d.Reason == queue.ReasonIdle {
		return call.Refusal(call.Aborted, string(d.Reason))
	}
	r := call.Refusal(call.Busy, string(d.Reason))
	r.Retry = retryHint
	if d.Retry > 0 {
		r.Retry = min(max(d.Retry, minRetryHint), maxRetryHint)
	}
	return r
}

// refusals counts the requests refused at an upstream since the last log line about them.
type refusals struct {
	count, late int
	loggedAt    time.Time
}

// recordRefusal counts a request that was refused after it had been held for a time. One
// that was held for more than a quarter of its target is counted as late.
func (g *Gateway) recordRefusal(r call.Request, reply call.Reply, held time.Duration) {
	late := r.Target > 0 && held > r.Target/4+tickInterval
	g.gateways.observer.Refused(reply.Text, late)
	if reply.Code != call.Busy {
		return
	}
	now := g.gateways.now()
	g.mu.Lock()
	g.refused.count++
	if late {
		g.refused.late++
	}
	seen := g.refused
	due := now.Sub(seen.loggedAt) >= refusalLogInterval
	if due {
		g.refused = refusals{loggedAt: now}
	}
	queued, running := g.queue.Queued(), g.queue.Running()
	g.mu.Unlock()
	if due {
		g.gateways.log.Info("gateway: statements refused", "upstream", g.upstream, "requests", seen.count, "late", seen.late,
			"reason", reply.Text, "team", r.Team, "retry", reply.Retry, "queued", queued, "running", running)
	}
}

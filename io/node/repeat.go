package node

// Failed reads that are tried once more at another upstream, and statements that wait for a
// primary. Both need Settings.Adaptive.

import (
	"math/rand/v2"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/health"
	"burdockseam/io/caller"
)

// countAdmitted adds an operation to the retry budget of its team.
func (h *upstreamHealth) countAdmitted(team string) {
	if !h.n.settings().Adaptive {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.CountAdmitted(h.n.now(), team)
}

// mayRepeat reports whether a read outside of a transaction that failed is tried once more at
// another upstream. Replies other than Failed are not final for such a read and are tried
// elsewhere without this. An error of the statement itself would fail everywhere, so the upstream
// must fail more than the others. A probe is repeated in any case: its failure is due to the
// instance, which bounds the number of probes itself.
func (n *Node) mayRepeat(op *caller.Operation, s call.Statement, c choice, r call.Reply, deadline time.Time) bool {
	if !n.settings().Adaptive || r.Code != call.Failed || op.Kind != "" || !isRead(s) || c.reason != "replica" && !c.probe || op.Grant.Route.Consistency == access.Primary {
		return false
	}
	h, now, members := n.health, n.now(), n.snapshot.Load().members(c.upstream.Group)
	h.mu.Lock()
	g := h.group(c.upstream.Group)
	outcome := "repeated"
	switch {
	case len(members) < 2 || !c.probe && !g.FailsBeyond(now, c.upstream.Name, members):
		outcome = "statement"
	case deadline.Sub(now) < 2*g.Service(members):
		outcome = "late"
	case !c.probe && !h.budget.AllowRetry(now, op.Grant.Team.Name):
		outcome = "budget"
	}
	h.mu.Unlock()
	n.metrics.increment(`burdockseam_read_repeats_total{outcome="` + outcome + `"}`)
	n.log.V(1).Info("route: read failed", "id", s.ID, "upstream", c.upstream.Name, "step", outcome)
	return outcome == "repeated"
}

const (
	// waitShare is the share of the target latency for which a statement may be held without
	// having been offered to an upstream.
	waitShare = 0.25
	// maxWaitRetry bounds the suggested retry delay.
	maxWaitRetry = 2 * time.Second
	// retrySpread is the share by which suggested delays vary at random, so that the callers
	// do not all come back at the same time.
	retrySpread = 0.25
)

// untilChange returns the expected time until a statement for which no upstream can be chosen can
// be run, if it is refused because of it. The deadline is the statement's timeout after its start.
func (n *Node) untilChange(op *caller.Operation, deadline time.Time) (remaining time.Duration, refused bool) {
	r, now := op.Grant.Route, n.now()
	if !n.settings().Adaptive || r.TargetLatency <= 0 || n.primaries.isPromoting(r.Group) {
		return 0, false
	}
	remaining = n.health.untilPrimary(r.Group, now)
	left := deadline.Add(-r.Timeout).Add(time.Duration(waitShare * float64(r.TargetLatency))).Sub(now)
	return remaining, remaining != 0 && remaining > left
}

// refuseWait decides whether a statement for which no upstream can be chosen is refused now, as
// untilChange says.
func (n *Node) refuseWait(op *caller.Operation, deadline time.Time) (call.Reply, bool) {
	remaining, refused := n.untilChange(op, deadline)
	if !refused {
		return call.Reply{}, false
	}
	n.metrics.increment(`burdockseam_refused_total{reason="primary"}`)
	reply := call.Refusal(call.Busy, "no upstream can run this now: the group has no primary")
	reply.Retry = min(maxWaitRetry, time.Duration(float64(remaining)*(1+retrySpread*rand.Float64())))
	return reply, true
}

// observePrimary records whether a group has a primary that acts as one.
func (h *upstreamHealth) observePrimary(group string, missing bool) {
	if !h.n.settings().Adaptive {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gaps[group]
	if g == nil {
		if !missing {
			return
		}
		gap := health.NewGap(noPrimaryRetry)
		g = &gap
		h.gaps[group] = g
	}
	g.Observe(h.n.now(), missing)
}

// untilPrimary returns the expected time until a group has a primary, or 0 if it has one as far
// as this instance knows.
func (h *upstreamHealth) untilPrimary(group string, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.gaps[group]; g != nil {
		return g.Remaining(now)
	}
	return 0
}

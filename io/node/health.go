package node

// The health of upstreams as this instance knows it from the replies of gateways. The decisions
// are in core/health. The state has a lock of its own, and nothing else is locked while it is
// held; routing works on copies. Everything but the metric of routed statements is off unless
// Settings.Adaptive is set.

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/health"
	"burdockseam/core/queue"
	"burdockseam/io/caller"
)

const (
	// probingInstances is the number of instances that probe an avoided upstream in each
	// health.ProbeInterval, all together. It is more than one, since some instances have no
	// reads for the group.
	probingInstances = 4
	// probeShare is the share of the target latency that a probe may take, so that its read
	// can be served elsewhere in time.
	probeShare = 0.25
	// leastProbeBudget keeps routes with a short target from probes that cannot succeed.
	leastProbeBudget = 50 * time.Millisecond
)

// upstreamHealth holds what is known about the health of all groups' upstreams.
type upstreamHealth struct {
	n *Node

	mu     sync.Mutex
	groups map[string]*health.Group
	gaps   map[string]*health.Gap // without a primary, by group
	budget *queue.Budget          // for failed reads that are tried again
}

func newUpstreamHealth(n *Node) *upstreamHealth {
	return &upstreamHealth{n: n, groups: make(map[string]*health.Group), gaps: make(map[string]*health.Gap), budget: queue.NewBudget()}
}

// upstreamScore is what routing knows about an upstream's health.
type upstreamScore struct {
	health.Score
	probe bool // the next read should probe the upstream
}

// group returns the state of a group, and creates it if needed. The caller holds the lock.
func (h *upstreamHealth) group(name string) *health.Group {
	g := h.groups[name]
	if g == nil {
		g = health.NewGroup()
		h.groups[name] = g
	}
	return g
}

// members returns the names of a group's upstreams that take new work.
func (s *snapshot) members(group string) []string {
	list := make([]string, 0, len(s.groups[group]))
	for _, u := range s.groups[group] {
		if u.eligible {
			list = append(list, u.Name)
		}
	}
	return list
}

// scores returns the scores of an operation's group by upstream, or nil if the settings do not
// enable them. First says that the operation's statement was not sent yet. A read outside of a
// transaction may then probe an avoided upstream.
func (h *upstreamHealth) scores(snap *snapshot, op *caller.Operation, s call.Statement, first bool) map[string]upstreamScore {
	memory := probeMemory(snap)
	interval := memory*3/4 + rand.N(memory/2)
	return h.scoresWith(snap, op, s, first, func(g *health.Group, now time.Time, name string) bool { return g.TakeProbe(now, name, interval) })
}

// peekScores is scores without taking a probe that is due.
func (h *upstreamHealth) peekScores(snap *snapshot, op *caller.Operation, s call.Statement) map[string]upstreamScore {
	return h.scoresWith(snap, op, s, true, (*health.Group).ProbeDue)
}

// probeMemory returns the mean time between two probes of this instance. All instances together
// probe, and try slower upstreams, equally often in fleets of all sizes.
func probeMemory(snap *snapshot) time.Duration {
	return health.ProbeInterval * time.Duration(max(1, len(snap.instances)/probingInstances))
}

// scoresWith returns the scores. The function probe decides whether an avoided upstream gets the
// read as a probe.
func (h *upstreamHealth) scoresWith(snap *snapshot, op *caller.Operation, s call.Statement, first bool, probe func(*health.Group, time.Time, string) bool) map[string]upstreamScore {
	if !h.n.settings().Adaptive {
		return nil
	}
	r, now := op.Grant.Route, h.n.now()
	mayProbe := first && op.Kind == "" && isRead(s) && r.Consistency != access.Primary
	members := snap.members(r.Group)
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]upstreamScore, len(members))
	g := h.groups[r.Group]
	if g == nil {
		return out
	}
	for name, score := range g.Scores(now, members, probeMemory(snap)) {
		out[name] = upstreamScore{score, mayProbe && score.Avoided && probe(g, now, name)}
	}
	return out
}

// probeBudget returns the time that a probe may take.
func probeBudget(r access.Route) time.Duration {
	return max(leastProbeBudget, time.Duration(probeShare*float64(r.TargetLatency)))
}

// isRead reports whether a statement is a read whose time is measured.
func isRead(s call.Statement) bool {
	return s.Kind == call.Read || s.Kind == call.Execute && !s.Writes
}

// recordSent records that a statement is sent.
func (h *upstreamHealth) recordSent(c choice, s call.Statement, now time.Time) {
	reason := c.reason
	if c.probe {
		reason = "probe"
	}
	h.n.metrics.increment(fmt.Sprintf("burdockseam_routed_total{group=%q,upstream=%q,reason=%q}", c.upstream.Group, c.upstream.Name, reason))
	if !h.n.settings().Adaptive || !isRead(s) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.group(c.upstream.Group).Sent(now, c.upstream.Name)
}

// recordReply records the reply to a statement that was sent at began, and judges the group.
func (h *upstreamHealth) recordReply(c choice, s call.Statement, began time.Time, r call.Reply) {
	if !h.n.settings().Adaptive {
		return
	}
	now, members := h.n.now(), h.n.snapshot.Load().members(c.upstream.Group)
	h.mu.Lock()
	g := h.group(c.upstream.Group)
	if isRead(s) {
		g.Answered(began, c.upstream.Name)
	}
	var changes []health.Change
	if r.Service > 0 || r.Failing > 0 || r.Pace > 0 {
		changes = g.Report(now, c.upstream.Name, health.Figures{Service: r.Service, Failing: r.Failing, Load: r.Load, Pace: r.Pace}, members)
	}
	h.mu.Unlock()
	for _, change := range changes {
		h.logChange(c.upstream.Group, change)
	}
	switch {
	case c.reason != "primary":
	case r.Code == call.OK:
		h.observePrimary(c.upstream.Group, false)
	case r.Ran == call.RanNo && (r.Code == call.Unreachable || r.Code == call.ReadOnly):
		h.observePrimary(c.upstream.Group, true)
	}
}

// logChange logs and counts that an upstream is avoided or has returned.
func (h *upstreamHealth) logChange(group string, c health.Change) {
	text, state := "health: upstream returns", "returned"
	if c.Avoided {
		text, state = "health: upstream avoided", "avoided"
	}
	h.n.metrics.increment(fmt.Sprintf("burdockseam_upstream_avoided_total{group=%q,upstream=%q,state=%q}", group, c.Upstream, state))
	h.n.log.Info(text, "group", group, "upstream", c.Upstream, "why", c.Why, "failing", c.Own.Failing, "service", c.Own.Service,
		"others", c.Others.Failing, "usual", c.Others.Service, "load", c.Own.Load, "after", c.After)
}

// groupCount returns the number of groups with figures.
func (h *upstreamHealth) groupCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.groups)
}

// forget drops what is known about upstreams that have left or started again.
func (h *upstreamHealth) forget(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.groups {
		for _, name := range names {
			g.Forget(name)
		}
	}
}

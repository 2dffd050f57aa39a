package node

// Claims: an upstream's entry in the registry may say that it is the primary. A former primary
// that restarts behind a partition writes such an entry too, under its old name or a new one, and
// accepts statements until it reaches its successor. So a claim is checked by a probe before
// statements are sent there, and what an upstream answers at a term below one that the group is
// known to have had proves nothing.

import (
	"context"
	"errors"
	"sync"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/wal"
	"burdockseam/io/gateway"
)

const (
	// minClaimInterval and maxClaimInterval bound the time between two probes for a claim
	// while the claiming upstream does not answer. The time doubles, because all instances
	// probe.
	minClaimInterval = 500 * time.Millisecond
	maxClaimInterval = 8 * time.Second
	// claimRelays is the number of gateways that are asked to probe an upstream which this
	// instance does not reach. They are the ones that would run statements there.
	claimRelays = 2
)

// roleProbe is the result of probing an upstream for its role.
type roleProbe struct {
	upstream string
	sent     time.Time
	leads    bool
	position wal.Position
	answered bool
}

// checkClaims probes the upstreams of a group after a claim in the registry.
func (ps *primaries) checkClaims(name string) {
	ps.mu.Lock()
	ps.group(name).claimInterval = minClaimInterval
	ps.mu.Unlock()
	ps.locatePrimary(name, true)
}

// repeatClaimCheck probes the upstreams of a group again if the role of one that claims to be the
// primary is not known. The caller holds the lock.
func (ps *primaries) repeatClaimCheck(g *group, now time.Time) {
	if !g.claimsUnknown || g.locating || now.Before(g.nextClaimCheck) {
		return
	}
	g.claimInterval = min(max(2*g.claimInterval, minClaimInterval), maxClaimInterval)
	g.nextClaimCheck = now.Add(g.claimInterval)
	go ps.locatePrimary(g.name, true)
}

// locatePrimary probes the upstreams of a group for the primary. With relay set, other
// instances probe those that this instance does not reach, if they claim the role or have it
// in this instance's view.
func (ps *primaries) locatePrimary(name string, relay bool) {
	ps.mu.Lock()
	g := ps.group(name)
	if g.locating {
		g.locateAgain = true
		ps.mu.Unlock()
		return
	}
	g.locating = true
	ps.mu.Unlock()
	for again := true; again; {
		known := ps.probeRoles(g, relay)
		ps.mu.Lock()
		again = g.locateAgain
		g.locating, g.locateAgain = again, false
		// Without a primary, an upstream that was full or did not act as one yet is probed again.
		if g.claimsUnknown = !known || relay && g.primary == ""; g.claimsUnknown && relay {
			g.nextClaimCheck = ps.n.now().Add(g.claimInterval)
		}
		ps.mu.Unlock()
	}
}

// probeRoles probes the upstreams of a group, and reports whether the role of each one that
// claims to be the primary is known. A single answer counts at once only if it can't come from a
// former primary: at a term beyond all known ones, or if the present primary is proven.
func (ps *primaries) probeRoles(g *group, relay bool) bool {
	list := ps.n.snapshot.Load().groups[g.name]
	results := make(chan roleProbe)
	for _, u := range list {
		go func() { results <- ps.probeRole(u, relay && (u.ClaimsPrimary || ps.believes(g, u.Name))) }()
	}
	known := true
	var newest roleProbe
	for range list {
		r := <-results
		ps.mu.Lock()
		known = known && (r.answered || !g.claims[r.upstream] || r.upstream == g.primary)
		atOnce := g.term > 0 && (r.position.Term > g.term || g.primary != "" && g.provedAt.After(g.promotedAt))
		ps.mu.Unlock()
		switch {
		case !r.leads:
		case atOnce:
			ps.recordProof(g.name, r.upstream, r.sent, r.position, ps.n.now(), false)
		case !newest.leads || r.position.Compare(newest.position) > 0:
			newest = r
		}
	}
	if newest.leads {
		ps.recordProof(g.name, newest.upstream, newest.sent, newest.position, ps.n.now(), false)
	}
	ps.n.wakeStatements()
	return known
}

// believes reports whether this instance takes an upstream for the primary.
func (ps *primaries) believes(g *group, upstream string) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return g.primary == upstream
}

// probeRole asks an upstream for its role, by way of its gateways if relay is set and this
// instance gets no answer.
func (ps *primaries) probeRole(u *upstream, relay bool) roleProbe {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	t, sent := ps.controlTarget(u), ps.n.now()
	leads, position, err := ps.n.platform.Controls.IsPrimary(ctx, t)
	r := roleProbe{upstream: u.Name, sent: sent, leads: err == nil && leads, position: position, answered: err == nil || tellsRole(err)}
	if r.answered || !relay {
		return r
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, i := range ps.n.snapshot.Load().ranks.Top(u.Name, u.place, claimRelays) {
		if i.Address == ps.n.self.Address {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+pingTimeout/4)
			defer cancel()
			sent := ps.n.now()
			var p ProbeReply
			if err := ps.n.peers.Call(ctx, i.Address, "Node.Probe", t, &p); err != nil || !p.Reached {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			r = roleProbe{upstream: u.Name, sent: sent, leads: p.Leads, position: p.Position, answered: true}
		})
	}
	calls.Wait()
	return r
}

// tellsRole reports whether the refusal of a probe shows that the upstream does not lead. One that
// is full says nothing: probes of the whole fleet can take up its connections.
func tellsRole(err error) bool {
	var r gateway.RefusedError
	return isUpstreamRefusal(err) && errors.As(err, &r) && r.Code != call.TooMany && r.Code != call.Busy
}

// termOf returns the highest term that a group is known to have had, or 0.
func (ps *primaries) termOf(name string) uint64 {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.group(name).term
}

// isOutdated reports whether a position was sampled at a term of the group that has ended. A commit
// that was acknowledged there may be missing in the log of the present primary.
func (ps *primaries) isOutdated(name string, sample *call.Sample) bool {
	return sample != nil && sample.Position.Term < ps.termOf(name)
}

// rejectOutdated replaces a successful reply that depends on the upstream being the primary, if
// the upstream proved that at a term which has ended. Its rows may lack acknowledged commits.
func (ps *primaries) rejectOutdated(req call.Request, r call.Reply) call.Reply {
	needsPrimary := req.Open == call.OpenFence || req.Open == call.OpenWrite
	if !needsPrimary || r.Code != call.OK || !ps.isOutdated(req.Group, r.Sample) {
		return r
	}
	ps.n.log.Info("route: answer of a former primary rejected", "id", req.Statement.ID, "upstream", req.Upstream, "position", r.Sample.Position.String())
	ps.n.metrics.increment("burdockseam_outdated_total")
	return call.Reply{Ran: call.RanMaybe, Answer: call.Answer{Code: call.Aborted, Text: "the upstream is no longer the primary"}}
}

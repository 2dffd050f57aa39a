package node

// The costs by which the upstreams that may serve a read are compared.

import (
	"math/rand/v2"
	"time"

	"burdockseam/core/route"
	"burdockseam/core/wal"
)

// estimateCost estimates the time until an upstream answers a read. The caller holds the
// lock.
func (n *Node) estimateCost(u *upstream, after wal.Position, now time.Time) time.Duration {
	k := n.statsOf(u.Name)
	load := k.inFlight
	if now.Sub(k.loadAt) < route.MaxReplicaWait*10 {
		load = max(load, k.load)
	}
	cost := assumedStatementTime * time.Duration(load+1) / time.Duration(max(1, u.Slots))
	switch n.settings().Place(n.self.Domain).Distance(u.place) {
	case 1:
		cost += domainRoundTrip
	case 2:
		cost += regionRoundTrip
	}
	return cost + k.refusalCost(after, now)
}

// statsOf returns the stats of an upstream, and creates them if needed. The caller holds the
// lock.
func (n *Node) statsOf(name string) *upstreamStats {
	k := n.stats[name]
	if k == nil {
		k = &upstreamStats{}
		n.stats[name] = k
	}
	return k
}

// refusalCost is the cost of an upstream that has refused a statement a short time ago, for a
// reason that still holds.
func (k *upstreamStats) refusalCost(after wal.Position, now time.Time) (cost time.Duration) {
	if now.Sub(k.fullAt) < fullPause {
		cost += time.Second
	}
	if now.Sub(k.laggedAt) < lagPause && after.Compare(k.lackedPosition) >= 0 {
		cost += time.Second
	}
	return cost
}

const (
	// avoidedCost is the cost of a read at an avoided upstream. It exceeds the sum of all other
	// costs, so that such an upstream serves a read only if no other one can.
	avoidedCost = time.Minute
	// costSpread is the share by which expected times vary at random. Otherwise all instances
	// with the same figures, which are up to seconds old, would send their reads to the same
	// upstream. Upstreams in other failure domains cost the same share more, so that chance
	// does not send a read there: traffic between failure domains costs.
	costSpread = 0.2
)

// expectedCost is estimateCost by what the answers of the upstreams show. The caller holds the
// lock.
func (n *Node) expectedCost(u *upstream, s upstreamScore, after wal.Position, now time.Time) time.Duration {
	if s.probe {
		return -time.Minute
	}
	k := n.statsOf(u.Name)
	var network time.Duration
	far := 1.0
	switch n.settings().Place(n.self.Domain).Distance(u.place) {
	case 0:
		far = 0
	case 1:
		network = domainRoundTrip
	case 2:
		network = regionRoundTrip
	}
	cost := s.ExpectedTime(k.inFlight, u.Slots, network, 1+costSpread*(far+rand.Float64()))
	if s.Avoided {
		cost += avoidedCost
	}
	return cost + k.refusalCost(after, now)
}

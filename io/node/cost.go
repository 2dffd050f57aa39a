package node

// The costs by which the upstreams that may serve a read are compared.

import (
	"time"

	"burdockseam/core/route"
	"burdockseam/core/wal"
)

// readCost is the expected time of a read at an upstream, and what it is made of.
type readCost struct {
	total time.Duration
	// service is the typical time of one read, load the number of statements at the upstream and
	// pace the number that it runs at a time.
	service time.Duration
	load    float64
	pace    int
	network time.Duration
	failing float64 // share of the reads that fail
	waited  time.Duration
	// extra is the sum of the costs that are no expected time but rank the upstream.
	extra time.Duration
}

// add adds a cost that ranks the upstream.
func (c *readCost) add(extra time.Duration) {
	c.total += extra
	c.extra += extra
}

// estimateCost estimates the time until an upstream answers a read. The caller holds the
// lock.
func (n *Node) estimateCost(u *upstream, after wal.Position, now time.Time) readCost {
	k := n.knownStats(u.Name)
	load := k.inFlight
	if now.Sub(k.loadAt) < route.MaxReplicaWait*10 {
		load = max(load, k.load)
	}
	network, _ := n.networkCost(u)
	c := readCost{service: assumedStatementTime, load: float64(load), pace: max(1, u.Slots), network: network}
	c.total = assumedStatementTime*time.Duration(load+1)/time.Duration(max(1, u.Slots)) + network
	c.add(k.refusalCost(after, now))
	return c
}

// networkCost returns the assumed round trip to an upstream, and whether it is in another failure
// domain.
func (n *Node) networkCost(u *upstream) (network time.Duration, far bool) {
	switch n.settings().Place(n.self.Domain).Distance(u.place) {
	case 1:
		return domainRoundTrip, true
	case 2:
		return regionRoundTrip, true
	}
	return 0, false
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

// knownStats returns a copy of the stats of an upstream. The caller holds the lock.
func (n *Node) knownStats(name string) upstreamStats {
	if k := n.stats[name]; k != nil {
		return *k
	}
	return upstreamStats{}
}

// isFull reports whether the upstream had no free connection a short time ago.
func (k *upstreamStats) isFull(now time.Time) bool { return now.Sub(k.fullAt) < fullPause }

// lags reports whether the upstream lacked a position a short time ago.
func (k *upstreamStats) lags(after wal.Position, now time.Time) bool {
	return now.Sub(k.laggedAt) < lagPause && after.Compare(k.lackedPosition) >= 0
}

// refusalCost is the cost of an upstream that has refused a statement a short time ago, for a
// reason that still holds.
func (k *upstreamStats) refusalCost(after wal.Position, now time.Time) (cost time.Duration) {
	if k.isFull(now) {
		cost += time.Second
	}
	if k.lags(after, now) {
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

// expectedCost is estimateCost by what the answers of the upstreams show. The variation is
// between 0 and 1. The caller holds the lock.
func (n *Node) expectedCost(u *upstream, s *upstreamScore, after wal.Position, now time.Time, variation float64) readCost {
	k := n.knownStats(u.Name)
	network, isFar := n.networkCost(u)
	far := 0.0
	if isFar {
		far = 1
	}
	c := readCost{network: network, failing: s.Failing, waited: s.Waited}
	c.service, c.load, c.pace = s.Terms(k.inFlight, u.Slots)
	c.total = s.ExpectedTime(k.inFlight, u.Slots, network, 1+costSpread*(far+variation))
	if s.Avoided {
		c.add(avoidedCost)
	}
	c.add(k.refusalCost(after, now))
	if s.probe {
		c.total = -time.Minute
	}
	return c
}

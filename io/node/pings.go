package node

// Pings: instances learn which others answer, and whether tables or the lease of the limits
// have changed.

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"burdockseam/core/placement"
)

const (
	// pingInterval is the mean time between two rounds of pings.
	pingInterval = 500 * time.Millisecond
	// pingTimeout bounds a ping. It is far above a round trip between regions.
	pingTimeout = 400 * time.Millisecond
	// suspectAfter is the number of consecutive unanswered calls that make an instance
	// suspect.
	suspectAfter = 2
	// smallFleetSize is the largest size of a fleet in which each instance pings all others.
	// In a larger fleet the watchers of a failure domain ping the gateways, and report to
	// the other instances which of them do not answer.
	smallFleetSize = 16
	// randomPings is the number of random instances that each instance of a large fleet
	// pings in addition. ownerRandomPings is the same for the owner of the limits, which
	// removes the objects of lost instances.
	randomPings      = 1
	ownerRandomPings = 6
	// maxGatewayPings bounds the gateways that a watcher pings in each round. These pings were
	// about a tenth of the bytes between failure domains with three times as many. A gateway
	// that misses a ping comes first in the next round, and statements notice a lost one, too.
	maxGatewayPings = 16
	// maxContactPings replaces maxGatewayPings on a platform without fencing, where an instance
	// stops using primaries if it has not heard from most gateways for contactTimeout.
	maxContactPings = 48
	// suspectPingShare is the share of the suspect instances that is pinged in each round,
	// so that an instance that has recovered is used again within seconds.
	suspectPingShare = 0.4
	// watchingSuccessors is the number of most preferred coordinators of a group that watch
	// each other: each of them pings those that are preferred to it.
	watchingSuccessors = 3
	// storelessAfter is the time without an answer of the store after which an instance is
	// not considered able to take the lease. It is above the usual time of a retry.
	storelessAfter = time.Second
	// reportedSilence is the time without an answer from an instance after which it is
	// pinged if a watcher reports it.
	reportedSilence = 2 * pingInterval
)

// runPings pings other instances in rounds, and gets tables from them while the store does
// not answer.
func (n *Node) runPings(ctx context.Context) {
	role := roleNone
	for ctx.Err() == nil {
		sleep(ctx, pingInterval*9/10+rand.N(pingInterval/5))
		role = n.logWatchRole(role)
		for _, address := range n.pingTargets() {
			go n.ping(ctx, address)
		}
		if n.tables.silentFor() > 0 || !n.tables.complete() {
			go n.requestTablesFromRandomPeer(ctx)
		}
		n.gateways.CloseIdle(n.isPreferredGateway)
	}
}

// pingTargets chooses the instances to ping.
func (n *Node) pingTargets() []string {
	s := n.snapshot.Load()
	chosen := make(map[string]bool)
	add := func(list []placement.Instance) {
		for _, i := range list {
			chosen[i.Address] = true
		}
	}
	if len(s.instances) <= smallFleetSize {
		add(s.instances)
	} else {
		n.addLargeFleetTargets(s, add)
	}
	if address := n.limits.holderToWatch(); address != "" {
		chosen[address] = true
	}
	delete(chosen, n.self.Address)
	return slices.Collect(maps.Keys(chosen))
}

// addLargeFleetTargets adds the instances to ping in a large fleet.
func (n *Node) addLargeFleetTargets(s *snapshot, add func([]placement.Instance)) {
	if n.isWatcher() {
		add(n.gatewaysToPing(s))
	}
	for _, address := range n.watchers(n.self.Domain) {
		add([]placement.Instance{{Address: address}})
	}
	for group := range s.policy.Groups {
		list := s.ranks.Top(group, placement.Place{}, watchingSuccessors)
		if k := slices.IndexFunc(list, func(i placement.Instance) bool { return i.Address == n.self.Address }); k > 0 {
			add(list[:k])
		}
	}
	add(n.limits.precedingCandidates())
	count := randomPings
	if n.limits.holdsLease() {
		count = ownerRandomPings
	}
	for range count {
		k := rand.IntN(len(s.instances))
		add(s.instances[k : k+1])
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range s.instances {
		if r := n.peerStates[i.Address]; r != nil && r.suspect && rand.Float64() < suspectPingShare {
			add([]placement.Instance{i})
		}
	}
}

// gatewaysToPing returns the gateways that a watcher pings in this round: those that have
// not answered the last ping, and as many others as pingsPerRound allows.
func (n *Node) gatewaysToPing(s *snapshot) []placement.Instance {
	var list []placement.Instance
	seen := make(map[string]bool)
	for _, u := range s.upstreams {
		for _, i := range s.ranks.Top(u.Name, u.place, 2) {
			if !seen[i.Address] {
				seen[i.Address] = true
				list = append(list, i)
			}
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watchedGateways = slices.Clone(list)
	pingOrder := func(i placement.Instance) int {
		if r := n.peerStates[i.Address]; r != nil && r.failures > 0 && !r.suspect {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b placement.Instance) int { return cmp.Compare(pingOrder(a), pingOrder(b)) })
	return list[:min(n.pingsPerRound(), len(list))]
}

// pingsPerRound returns the number of gateways that a watcher pings in each round.
func (n *Node) pingsPerRound() int {
	if n.settings().Unfenced {
		return maxContactPings
	}
	return maxGatewayPings
}

// storeless reports whether the store has not answered this instance for storelessAfter.
func (n *Node) storeless() bool { return n.tables.silentFor() >= storelessAfter }

// suspectCount returns the number of instances that do not answer.
func (n *Node) suspectCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, r := range n.peerStates {
		if r.suspect {
			count++
		}
	}
	return count
}

// reportableSuspects returns the instances that do not answer this one, if this one is a
// watcher of its failure domain in a large fleet.
func (n *Node) reportableSuspects() []string {
	s := n.snapshot.Load()
	if len(s.instances) <= smallFleetSize || !n.isWatcher() {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, i := range s.instances {
		if r := n.peerStates[i.Address]; r != nil && r.suspect {
			out = append(out, i.Address)
		}
	}
	return out
}

// checkReportedSuspects pings the instances that a watcher reports, if they have not
// answered this instance for a while either. One unanswered ping then makes them suspect.
func (n *Node) checkReportedSuspects(list []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for _, address := range list {
		r := n.peerStateOf(address)
		if address == n.self.Address || r.suspect || now.Sub(r.lastAnswer) < reportedSilence {
			continue
		}
		r.failures = max(r.failures, suspectAfter-1)
		go n.ping(context.Background(), address)
	}
}

// ping pings an instance and records what its reply shows.
func (n *Node) ping(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var pong Pong
	sent := n.now()
	known, own, version := n.limits.newestLease(), n.tables.sums(), n.snapshot.Load().policy.Version
	if err := n.peers.Call(ctx, address, "Node.Ping", Ping{n.self.Address, own.Sum, known.Epoch, known.Beat, own.Content, version}, &pong); err != nil {
		n.recordNoAnswer(address, err)
		return
	}
	n.recordAnswer(address)
	n.recordContact(address, sent, pong)
	n.mu.Lock()
	r := n.peerStateOf(address)
	r.leaving, r.storeless = pong.Leaving, pong.Storeless
	n.mu.Unlock()
	n.limits.learnLease(pong.Lease)
	n.limits.recordRun(known, address, pong.ID)
	n.checkReportedSuspects(pong.Suspects)
	if own.differ(Sums{pong.Sum, pong.Content}) || pong.Version > version {
		n.requestTables(ctx, address)
	}
}

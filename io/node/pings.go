package node

// Pings: how instances learn which others answer, and that tables or the lease of the
// limits have changed.

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
	// pingEvery is the time between two pings of an instance.
	pingEvery = 500 * time.Millisecond
	// pingTimeout is far above a round trip between regions.
	pingTimeout = 400 * time.Millisecond
	// suspectAfter calls in a row without an answer make an instance suspect.
	suspectAfter = 2
	// pingAll is the size of a fleet in which each instance pings all others. In a larger
	// one the watchers of a failure domain ping the gateways and tell the others which of
	// them do not answer.
	pingAll = 16
	// pingSome is the number of instances that are pinged beside those that matter, and
	// pingMore that of the instance which removes the objects of lost ones.
	pingSome = 1
	pingMore = 6
	// pingMost bounds the gateways that a watcher pings each time. Two watchers of a failure
	// domain then ping each of a hundred gateways about every half second.
	pingMost = 48
	// pingSuspects is the part of the suspect instances that is pinged each time, so that
	// one that is back is used again within seconds.
	pingSuspects = 0.4
	// successors is the number of instances that watch the one which acts for a group.
	successors = 3
	// storelessAfter is the time without an answer of the store after which an instance does
	// not count as one that could take a lease. It is above a usual retry.
	storelessAfter = time.Second
	// hintAge is the time without an answer from an instance after which it is pinged if a
	// watcher gets no answer from it.
	hintAge = 2 * pingEvery
)

// pings asks other instances from time to time whether they are there, and gets their
// tables while the store does not answer.
func (n *Node) pings(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, pingEvery*9/10+rand.N(pingEvery/5))
		for _, address := range n.pingTargets() {
			go n.ping(ctx, address)
		}
		if n.tables.silent() > 0 || !n.tables.complete() {
			go n.askAnyone(ctx)
		}
		n.gateways.CloseIdle(n.serves)
	}
}

// pingTargets chooses whom to ping.
func (n *Node) pingTargets() []string {
	s := n.snapshot.Load()
	chosen := make(map[string]bool)
	add := func(list []placement.Instance) {
		for _, i := range list {
			chosen[i.Address] = true
		}
	}
	if len(s.instances) <= pingAll {
		add(s.instances)
	} else {
		n.pingLarge(s, add)
	}
	if address := n.limits.rival(); address != "" {
		chosen[address] = true
	}
	delete(chosen, n.self.Address)
	return slices.Collect(maps.Keys(chosen))
}

// pingLarge chooses whom to ping in a large fleet.
func (n *Node) pingLarge(s *snapshot, add func([]placement.Instance)) {
	if n.watches() {
		add(n.someGateways(s))
	}
	for _, address := range n.watchers(n.self.Domain) {
		add([]placement.Instance{{Address: address}})
	}
	for group := range s.policy.Groups {
		list := s.first.Top(group, placement.Place{}, successors)
		if k := slices.IndexFunc(list, func(i placement.Instance) bool { return i.Address == n.self.Address }); k > 0 {
			add(list[:k])
		}
	}
	add(n.limits.preceding())
	some := pingSome
	if n.limits.holds() {
		some = pingMore
	}
	for range some {
		k := rand.IntN(len(s.instances))
		add(s.instances[k : k+1])
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range s.instances {
		if r := n.remote[i.Address]; r != nil && r.suspect && rand.Float64() < pingSuspects {
			add([]placement.Instance{i})
		}
	}
}

// someGateways returns the gateways that a watcher pings this time: those that have not
// answered the last ping, and as many others as pingMost allows.
func (n *Node) someGateways(s *snapshot) []placement.Instance {
	var list []placement.Instance
	seen := make(map[string]bool)
	for _, u := range s.upstreams {
		for _, i := range s.first.Top(u.Name, u.place, 2) {
			if !seen[i.Address] {
				seen[i.Address] = true
				list = append(list, i)
			}
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	n.mu.Lock()
	defer n.mu.Unlock()
	missing := func(i placement.Instance) int {
		if r := n.remote[i.Address]; r != nil && r.failures > 0 && !r.suspect {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b placement.Instance) int { return cmp.Compare(missing(a), missing(b)) })
	return list[:min(pingMost, len(list))]
}

// storeless reports whether the store has not answered this instance for a while.
func (n *Node) storeless() bool { return n.tables.silent() >= storelessAfter }

// suspects returns the number of instances that do not answer.
func (n *Node) suspects() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, r := range n.remote {
		if r.suspect {
			count++
		}
	}
	return count
}

// hints returns the instances that do not answer this one, if it watches for its failure
// domain in a large fleet.
func (n *Node) hints() []string {
	s := n.snapshot.Load()
	if len(s.instances) <= pingAll || !n.watches() {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, i := range s.instances {
		if r := n.remote[i.Address]; r != nil && r.suspect {
			out = append(out, i.Address)
		}
	}
	return out
}

// hinted takes in which instances do not answer a watcher. Those that have not answered
// this one for a while either are suspect if they do not answer one ping.
func (n *Node) hinted(list []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for _, address := range list {
		r := n.peer(address)
		if address == n.self.Address || r.suspect || now.Sub(r.heard) < hintAge {
			continue
		}
		r.failures = max(r.failures, suspectAfter-1)
		go n.ping(context.Background(), address)
	}
}

func (n *Node) ping(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var pong Pong
	known, sum := n.limits.record(), n.tables.sum()
	if err := n.peers.Call(ctx, address, "Node.Ping", Ping{n.self.Address, sum, known.Epoch, known.Beat}, &pong); err != nil {
		n.unanswered(address, err)
		return
	}
	n.answered(address)
	n.mu.Lock()
	r := n.peer(address)
	r.leaving, r.storeless = pong.Leaving, pong.Storeless
	n.mu.Unlock()
	n.limits.learn(pong.Lease)
	n.limits.runs(known, address, pong.ID)
	n.hinted(pong.Suspects)
	if pong.Sum != sum {
		n.askTables(ctx, address)
	}
}

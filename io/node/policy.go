package node

// The configuration in force may be newer than that in the store, which loses the newest one
// when it comes back from a copy. Instances that start then learn it from others.

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
)

// startPings is the number of instances that one which starts pings before it is ready.
const startPings = 3

// newerPolicy returns a patch of the configuration in force if the sender of a request has an
// older one in force and will not find this one in the store.
func (n *Node) newerPolicy(r TablesRequest) Patch {
	s := n.snapshot.Load()
	o := s.policyObject
	if !r.Patches || o.Name == "" || s.policy.Version <= r.Version || bytes.Equal(n.tables.get(KindPolicy).Objects[o.Name].Data, o.Data) {
		return Patch{}
	}
	p, err := n.tables.contents.patch(o, r.Contents[KindPolicy][o.Name])
	if err != nil {
		n.log.Error(err, "config: newer policy not sent")
	}
	return p
}

// learnPolicy puts the configuration of another instance into force, if it is newer.
func (n *Node) learnPolicy(address string, p Patch) {
	if p.Name == "" {
		return
	}
	o, err := n.tables.contents.apply(p)
	if err != nil {
		n.log.Info("config: newer policy not understood", "peer", address, "err", err.Error())
		return
	}
	n.log.Info("config: the store has an older policy than another instance", "peer", address, "revision", o.Revision)
	n.mu.Lock()
	n.learnedPolicy = o
	n.mu.Unlock()
	n.tableChanged(KindPolicy)
}

// takeLearnedPolicy returns the configuration that was last learned from another instance and
// not yet decoded, or an object without a name.
func (n *Node) takeLearnedPolicy() Object {
	n.mu.Lock()
	defer n.mu.Unlock()
	o := n.learnedPolicy
	n.learnedPolicy = Object{}
	return o
}

// pingBeforeReady pings some instances, whose configuration may be newer than the store's. When
// it returns, what they told is in force.
func (n *Node) pingBeforeReady(ctx context.Context) {
	n.rebuild() // the instances of a table that was just read
	addresses := n.answeringPeers()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var wg sync.WaitGroup
	for _, address := range addresses[:min(startPings, len(addresses))] {
		wg.Go(func() { n.ping(ctx, address) })
	}
	wg.Wait()
	n.rebuild()
}

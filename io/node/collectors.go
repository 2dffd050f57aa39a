package node

// The work of an instance as a collector, and the choice of collectors. Collectors need not be
// unique, so each instance chooses by what answers it: of its own failure domain the first in
// the order for one key, and likewise of the others, which its collector asks for transfers.

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"burdockseam/core/placement"
	"burdockseam/core/quota"
)

const (
	// collectorKey is the key of the order of the collectors.
	collectorKey = "limits"
	// collectorTimeout bounds a call to a collector.
	collectorTimeout = 250 * time.Millisecond
	// transferWait is the longest time for which a collector delays a grant until transferred
	// tokens arrive: a round trip between regions and the time to answer.
	transferWait = 40 * time.Millisecond
)

// chooseCollectors returns the collector to ask for tokens, and the collectors of the other
// failure domains, the nearest first.
func (d *delegates) chooseCollectors() (preferred string, lenders []string) {
	s, self := d.n.snapshot.Load(), d.n.self
	domains := make(map[string]placement.Place)
	for _, i := range s.instances {
		if i.Domain != self.Domain && !s.outDomains[i.Domain] {
			domains[i.Domain] = placement.Place{Domain: i.Domain, Region: i.Region}
		}
	}
	home := d.n.settings().Place(self.Domain)
	first := d.firstCollector(s, home)
	if preferred = first; preferred == "" {
		preferred = self.Address
	}
	type candidate struct {
		address  string
		distance int
	}
	var others []candidate
	for _, place := range domains {
		if address := d.firstCollector(s, place); address != "" {
			others = append(others, candidate{address, home.Distance(place)})
		}
	}
	slices.SortFunc(others, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.address, b.address))
	})
	// A collector that is not the preferred one may still have parts of its failure domain.
	if preferred != self.Address {
		lenders = append(lenders, preferred)
	}
	for _, o := range others {
		lenders = append(lenders, o.address)
	}
	return preferred, lenders
}

// firstCollector returns the first instance of a failure domain that answers, or "".
func (d *delegates) firstCollector(s *snapshot, at placement.Place) (address string) {
	d.mu.Lock()
	now := d.n.now()
	silent := maps.Clone(d.silent)
	d.mu.Unlock()
	d.n.mu.Lock()
	defer d.n.mu.Unlock()
	s.ranks.Walk(collectorKey, at, func(i placement.Instance) bool {
		switch {
		case i.Domain != at.Domain:
			return false
		case i.Address == d.n.self.Address && d.n.draining.Load():
		case i.Address == d.n.self.Address, !silent[i.Address].isQuiet(now, d.n.peerStates[i.Address]) && !d.n.isUnavailable(i.Address, now):
			address = i.Address
			return false
		}
		return true
	})
	return address
}

// isQuiet reports whether a collector has left calls unanswered and has not answered since.
// Only an answer to a ping brings it back: one that is chosen again after a time would take the
// parts of its failure domain away from the collector that works.
func (p silentPeer) isQuiet(now time.Time, r *peerState) bool {
	return p.failures >= silentFailures && (now.Sub(p.at) < silentTime || r == nil || !r.lastAnswer.After(p.at))
}

// pingSilent pings the collectors that do not answer, and forgets those that have answered again
// or have left the fleet.
func (d *delegates) pingSilent(s *snapshot) {
	d.mu.Lock()
	now := d.n.now()
	due := now.Sub(d.pingedAt) >= silentPingInterval && len(d.silent) > 0
	if !due {
		d.mu.Unlock()
		return
	}
	d.pingedAt = now
	list := slices.Collect(maps.Keys(d.silent))
	d.mu.Unlock()
	for _, address := range list {
		if _, ok := s.objectNames[address]; ok && !d.hasAnswered(address) {
			go d.n.ping(context.Background(), address)
			continue
		}
		d.mu.Lock()
		delete(d.silent, address)
		d.mu.Unlock()
	}
}

// hasAnswered reports whether a collector has answered a ping since its last failed call, and
// silentTime has passed.
func (d *delegates) hasAnswered(address string) bool {
	d.n.mu.Lock()
	answered := time.Time{}
	if r := d.n.peerStates[address]; r != nil {
		answered = r.lastAnswer
	}
	d.n.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.silent[address]
	return answered.After(p.at) && d.n.now().Sub(p.at) >= silentTime
}

// call calls another instance and records whether it answers.
func (d *delegates) call(to, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), collectorTimeout)
	defer cancel()
	err := d.n.peers.Call(ctx, to, method, request, reply)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		delete(d.silent, to)
		return nil
	}
	p := d.silent[to]
	p.failures, p.at = p.failures+1, d.n.now()
	d.chosenAt = time.Time{}
	if d.silent[to] = p; p.failures == silentFailures {
		d.n.log.Info("limit: collector does not answer", "peer", to, "call", method, "err", err.Error())
	}
	d.n.metrics.increment("burdockseam_limit_failed_total")
	return err
}

// handleDelegation records the part that another instance delegates.
func (d *delegates) handleDelegation(m quota.Delegation) quota.DelegationReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.collector.Delegate(d.n.now(), m)
}

// grant answers a request for tokens. If there are too few, it waits for a short time until
// other collectors have transferred some.
func (d *delegates) grant(r quota.Request) (quota.Reply, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for end := d.n.now().Add(transferWait); d.collector.Expect(d.n.now(), r); {
		d.transfer(d.n.now())
		left, arrived := end.Sub(d.n.now()), d.arrived
		if left <= 0 {
			break
		}
		d.mu.Unlock()
		timer := time.NewTimer(left)
		select {
		case <-arrived:
		case <-timer.C:
		}
		timer.Stop()
		d.mu.Lock()
	}
	return d.collector.HandleRequest(d.n.now(), r)
}

// transfer requests the transfers that are due. The caller holds the lock.
func (d *delegates) transfer(now time.Time) {
	for lender, t := range d.collector.Transfers(now) {
		d.n.metrics.increment("burdockseam_limit_transfers_total")
		go func() {
			var reply quota.TransferReply
			if err := d.call(lender, "Node.Transfer", t, &reply); err != nil {
				reply = quota.TransferReply{}
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			d.n.metrics.countTransfer("in", d.collector.HandleTransfer(d.n.now(), now, lender, t, reply))
			close(d.arrived)
			d.arrived = make(chan struct{})
		}()
	}
}

// lend transfers tokens to another collector.
func (d *delegates) lend(t quota.Transfer) quota.TransferReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := d.collector.Lend(d.n.now(), t)
	tokens := 0.0
	for _, n := range reply.Tokens {
		tokens += n
	}
	d.n.metrics.countTransfer("out", tokens)
	return reply
}

// delegations returns the number of instances that delegate their part to this one.
func (d *delegates) delegations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.collector.Parts()
}

// sum returns the sum of the parts that are delegated to this instance.
func (d *delegates) sum() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.collector.Sum()
}

// Delegate records the part that another instance delegates to this one.
func (s *service) Delegate(m quota.Delegation, reply *quota.DelegationReply) error {
	*reply = s.n.delegates.handleDelegation(m)
	return nil
}

// Grant grants tokens of the delegated parts.
func (s *service) Grant(r quota.Request, reply *QuotaReply) error {
	reply.Reply, reply.Known = s.n.delegates.grant(r)
	return nil
}

// Transfer transfers tokens to another collector.
func (s *service) Transfer(t quota.Transfer, reply *quota.TransferReply) error {
	*reply = s.n.delegates.lend(t)
	return nil
}

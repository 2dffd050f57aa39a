package node

// Superseded primaries: on a platform that does not check fencing tokens, the old primary
// accepts work until it is demoted. Once its successor is announced, it gets nothing that
// only a primary may run, and its answers prove nothing.

import (
	"context"
	"errors"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/failover"
	"burdockseam/core/wal"
	"burdockseam/io/gateway"
)

const (
	// contactTimeout is the time after the last contact with most of the fleet for which an
	// instance sends statements to primaries. Instances that are cut off together with a
	// primary do not hear of its successor. It allows for two pings without an answer.
	contactTimeout = 1200 * time.Millisecond
	// storeContactAfter is the time without contact after which an instance relies on the
	// store. It is above the time of a promotion whose old primary can't be demoted.
	storeContactAfter = 6 * time.Second
	// relayAfter is the time without an answer after which other instances are asked to demote an
	// upstream, too.
	relayAfter = 100 * time.Millisecond
	// promotionMemory is the time for which a promotion is told to instances that may have
	// missed it, because they were cut off or started later.
	promotionMemory = 2 * time.Minute
)

// demoteHolder demotes the old primary of a promotion on a platform that checks fencing tokens, by
// way of other instances if this one does not reach it.
func (ps *primaries) demoteHolder(ctx context.Context, g *group, c failover.Command) {
	sent := ps.n.now()
	var s failover.ReplicationStatus
	err := error(Error.New("the upstream is not registered"))
	if u := ps.n.snapshot.Load().upstreams[c.Upstream]; u != nil {
		s, err = ps.demoteAnywhere(ctx, DemoteRequest{ps.controlTarget(u), c.Term})
	}
	var refused gateway.RefusedError
	if errors.As(err, &refused) && (refused.Code == call.Busy || refused.Code == call.TooMany) {
		err = errors.Join(err, failover.ErrRefused)
	}
	ps.n.log.Info("group: demotion of the old primary", "group", g.name, "upstream", c.Upstream, "term", c.Term, "primary", s.Primary, "led", s.Led, "received", s.Received.String(), "err", errorText(err))
	ps.handleResult(func(now time.Time) { g.promotion.HandleDemote(now, sent, c.Upstream, s, err, time.Time{}) })
}

// recordContact records the answer of another instance to a ping that was sent at the given
// time.
func (n *Node) recordContact(address string, sent time.Time, pong Pong) {
	for _, p := range pong.Promotions {
		n.primaries.learnPromotion(p)
	}
	for _, f := range pong.Freezes {
		n.primaries.freeze(f)
	}
	s := n.snapshot.Load()
	judges := len(s.instances) <= smallFleetSize || n.isWatcher()
	n.mu.Lock()
	n.peerStateOf(address).pongAt = sent
	judges = judges && n.mostAnswered(s, sent)
	n.mu.Unlock()
	if judges {
		n.majorityAt.Store(&sent)
	}
	if judges || pong.Majority {
		n.contactAt.Store(&sent)
	}
}

// mostAnswered reports whether most of the instances that this one pings have answered within
// contactWindow: of all instances in a small fleet, and of the gateways in a large one. Those that
// have ended do not count: on two sides of a partition, both can't find a majority of the others.
// The caller holds the lock.
func (n *Node) mostAnswered(s *snapshot, now time.Time) bool {
	pinged := n.watchedGateways
	if len(s.instances) <= smallFleetSize {
		pinged = s.instances
	}
	answered, running := 0, len(pinged)
	for _, i := range pinged {
		r := n.peerStates[i.Address]
		if r != nil && r.refused {
			running--
			continue
		}
		if i.Address == n.self.Address || r != nil && now.Sub(r.pongAt) < contactWindow(len(pinged), n.pingsPerRound()) {
			answered++
		}
	}
	return 2*answered > running
}

// contactWindow returns the time within which an instance pings each of the given number of
// instances and has their answers.
func contactWindow(pinged, perRound int) time.Duration {
	return pingInterval*time.Duration(1+pinged/perRound) + pingTimeout
}

// silentTimeout returns the time for which the order of a promotion waits for instances that
// did not answer its announcement, if the old primary could not be demoted. Until then they
// have lost contact: at a watcher, at those that it tells, and in calls that are under way.
func silentTimeout(instances int) time.Duration {
	return contactWindow(instances, maxContactPings) + contactTimeout + pingInterval
}

// runContactChecks lets an instance that has had no contact for storeContactAfter go on with
// what the store says about primaries, because most of the fleet may be lost. It returns when
// the context ends.
func (n *Node) runContactChecks(ctx context.Context) {
	lastContact := n.now()
	for ctx.Err() == nil {
		sleep(ctx, contactTimeout/2)
		sent := n.now()
		switch {
		case n.hadContact(contactTimeout):
			lastContact = sent
		case sent.Sub(lastContact) >= storeContactAfter:
			if n.primaries.listUpstreams(ctx) {
				n.storeContactAt.Store(&sent)
			}
		}
	}
}

// learnPromotion records a promotion that another instance knows.
func (ps *primaries) learnPromotion(p KeepNotice) {
	ps.mu.Lock()
	known := ps.group(p.Group).pendingPromotion.Token
	ps.mu.Unlock()
	if ps.n.settings().Unfenced && p.Token > known {
		ps.recordPendingPromotion(p)
	}
}

// recentPromotions returns the newest promotion of each group, if it became known within
// promotionMemory.
func (ps *primaries) recentPromotions() []KeepNotice {
	if !ps.n.settings().Unfenced {
		return nil
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var list []KeepNotice
	for _, g := range ps.groups {
		if p := g.pendingPromotion; p.Token > 0 && ps.n.now().Sub(g.pendingPromotionAt) < promotionMemory {
			list = append(list, p)
		}
	}
	return list
}

// hadContact reports whether this instance, or a watcher that told it so, had answers of most
// of the fleet within d, so that it must have heard of each promotion.
func (n *Node) hadContact(d time.Duration) bool {
	return len(n.snapshot.Load().instances) == 1 || n.isRecent(n.contactAt.Load(), d)
}

// isRecent reports whether a time is known and less than d ago.
func (n *Node) isRecent(at *time.Time, d time.Duration) bool {
	return at != nil && n.now().Sub(*at) < d
}

// mayUsePrimaries reports whether this instance would have heard if a primary were replaced.
// It matters only on a platform where an old primary goes on.
func (n *Node) mayUsePrimaries() bool {
	return !n.settings().Unfenced || n.hadContact(contactTimeout) || n.isRecent(n.storeContactAt.Load(), contactTimeout)
}

// newPromotion returns the state machine for the platform's kind of promotions.
func (ps *primaries) newPromotion(seed uint64) *failover.OrderedPromotion {
	if !ps.n.settings().Unfenced {
		return failover.NewOrderedPromotion(seed)
	}
	return failover.NewRecordedPromotion(seed)
}

// supersede records that a promotion replaces the primary. The caller holds the lock.
func (ps *primaries) supersede(g *group, successor string) {
	switch {
	case !ps.n.settings().Unfenced:
	case g.primary != "" && g.primary != successor:
		g.superseded = g.primary
	case g.superseded == successor:
		g.superseded = ""
	}
}

// supersedes reports whether a later term, or the newest promotion that was announced, outdates
// the evidence that an upstream was the primary at a position. The caller holds the lock.
func (ps *primaries) supersedes(g *group, upstream string, p wal.Position) bool {
	return p.Term < g.term || ps.n.settings().Unfenced && g.pendingPromotion.Upstream != "" &&
		upstream != g.pendingPromotion.Upstream && p.Term <= g.pendingPromotion.Kept.Term
}

// isSuperseded reports whether an upstream is the former primary of an announced promotion.
func (ps *primaries) isSuperseded(name, upstream string) bool {
	if !ps.n.settings().Unfenced {
		return false
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.group(name).superseded == upstream
}

// runAtGateway runs a request at this instance's gateway, unless the instance might end before
// the answer, or the request needs a primary and the upstream is superseded or might be. A read
// that ran while the upstream was superseded is not answered with its rows, because they may lack
// commits of the new primary.
func (n *Node) runAtGateway(ctx context.Context, r call.Request) call.Reply {
	switch {
	case n.acceptsStatement(r.Budget):
	case r.Inside:
		return call.Refusal(call.Aborted, "the gateway is shutting down")
	default:
		return call.Refusal(call.Misrouted, "the gateway is shutting down") // another gateway can run it
	}
	needsPrimary := r.Open == call.OpenFence || r.Open == call.OpenWrite || r.Statement.IsWrite()
	if needsPrimary && n.primaries.isSuperseded(r.Group, r.Upstream) {
		return call.Refusal(call.ReadOnly, "another upstream is being promoted")
	}
	if needsPrimary && !n.mayUsePrimaries() {
		return call.Refusal(call.Unreachable, "the gateway hears from too few others")
	}
	reply := n.confirmCommit(ctx, r, n.primaries.rejectOutdated(r, n.gateways.Run(ctx, r)))
	if commits(r) && reply.Code == call.OK {
		reply = n.passCommit(ctx, r, reply)
	}
	if r.Open == call.OpenFence && reply.Code == call.OK && (n.primaries.isSuperseded(r.Group, r.Upstream) || !n.mayUsePrimaries()) {
		return call.Reply{Ran: call.RanMaybe, Answer: call.Answer{Code: call.Aborted, Text: "another upstream was promoted during the read"}}
	}
	return reply
}

// demoteOld announces the promotion under way and demotes the old primary, by way of other
// instances if this one does not reach it.
func (ps *primaries) demoteOld(ctx context.Context, g *group, c failover.Command) {
	ps.mu.Lock()
	note := KeepNotice{g.name, g.promotion.Target(), g.promotion.KeptPosition(), g.promotion.Token(), g.promotion.Term()}
	underWay := g.promotion.Phase() == failover.PhaseDemote
	ps.mu.Unlock()
	began := ps.n.now()
	silent := make(chan int, 1)
	if underWay {
		ps.recordPendingPromotion(note)
		go func() { silent <- ps.announcePromotion(ctx, note) }()
	} else {
		silent <- 0
	}
	var s failover.ReplicationStatus
	err := error(Error.New("the upstream is not registered"))
	if u := ps.n.snapshot.Load().upstreams[c.Upstream]; u != nil {
		s, err = ps.demoteAnywhere(ctx, DemoteRequest{ps.controlTarget(u), c.Term})
	}
	var silentUntil time.Time
	if err != nil {
		if k := <-silent; k > 0 {
			silentUntil = ps.announcedAt(g, note, began).Add(silentTimeout(len(ps.n.snapshot.Load().instances)))
		}
	}
	ps.n.log.Info("group: demotion of the old primary", "group", g.name, "upstream", c.Upstream, "term", c.Term, "primary", s.Primary, "err", errorText(err))
	ps.handleResult(func(now time.Time) { g.promotion.HandleDemote(now, began, c.Upstream, s, err, silentUntil) })
}

// announcedAt returns when this instance first announced a promotion, which is now if it has
// not before.
func (ps *primaries) announcedAt(g *group, note KeepNotice, now time.Time) time.Time {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if g.announced != note {
		g.announced, g.announcedAt = note, now
	}
	return g.announcedAt
}

// announcePromotion tells all instances which upstream is being promoted. It returns the
// number of instances that did not answer.
func (ps *primaries) announcePromotion(ctx context.Context, note KeepNotice) int {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	results := make(chan error)
	called := 0
	for _, i := range ps.n.snapshot.Load().instances {
		if i.Address == ps.n.self.Address {
			continue
		}
		called++
		go func() { results <- ps.n.peers.Call(ctx, i.Address, "Node.Keep", note, &Empty{}) }()
	}
	silent := 0
	for range called {
		if err := <-results; err != nil {
			silent++
		}
	}
	return silent
}

// demoteDirectly demotes an upstream from this instance.
func (ps *primaries) demoteDirectly(ctx context.Context, r DemoteRequest) (failover.ReplicationStatus, error) {
	return ps.n.platform.Controls.Demote(ctx, r.Target, r.Term)
}

// demoteAnywhere demotes an upstream from this instance and, unless that succeeds within relayAfter,
// also from the instances that are likely to reach it.
func (ps *primaries) demoteAnywhere(ctx context.Context, r DemoteRequest) (failover.ReplicationStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	type answer struct {
		status failover.ReplicationStatus
		err    error
	}
	direct := make(chan answer, 1)
	go func() {
		s, err := ps.demoteDirectly(ctx, r)
		direct <- answer{s, err}
	}()
	result := answer{err: Error.New("no instance reaches the upstream")}
	// Only one of several demotions finds that the upstream led.
	decides := func(a answer) bool {
		if a.err == nil || result.err != nil && a.err != nil {
			result = a
		}
		return a.err == nil && (a.status.Led || a.status.Primary)
	}
	select {
	case a := <-direct:
		if decides(a) {
			return a.status, nil
		}
		direct = nil
	case <-time.After(relayAfter):
	}
	addresses := ps.chooseWitnesses(r.Target.Group)
	if u := ps.n.snapshot.Load().upstreams[r.Target.Upstream]; u != nil {
		for _, i := range ps.n.snapshot.Load().ranks.Top(u.Name, u.place, 3) {
			addresses = append(addresses, i.Address)
		}
	}
	relayed := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() {
			var s failover.ReplicationStatus
			err := ps.n.peers.Call(ctx, address, "Node.Demote", r, &s)
			relayed <- answer{s, err}
		}()
	}
	for open := len(addresses); open > 0 || direct != nil; {
		var a answer
		select {
		case a = <-relayed:
			open--
		case a = <-direct:
			direct = nil
		}
		if decides(a) {
			return a.status, nil
		}
	}
	return result.status, result.err
}

package node

// What instances ask of each other. All calls may be repeated.

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/failover"
	"burdockseam/core/lease"
	"burdockseam/core/placement"
	"burdockseam/core/quota"
	"burdockseam/core/wal"
	"burdockseam/io/peer"
)

const (
	// forgetAfter is the time without an answer after which the object of an instance is
	// removed from the store.
	removeLostAfter = 25 * time.Second
)

// None is an empty message.
type Empty struct{}

// EndNote ends the transaction of a session.
type EndRequest struct{ Upstream, Session string }

// LeaveNote says that an instance takes no new work.
type LeaveNotice struct{ Address string }

// LeadNote says that an upstream was promoted.
type LeadNotice struct{ Group, Upstream string }

// KeepNote says that the promotion of an upstream is being ordered, which keeps the old
// primary's commits up to a position.
type KeepNotice struct {
	Group, Upstream string
	Kept            wal.Position
}

// TokenNote tells the holder of an older token of a group which one was drawn after it.
type TokenNotice struct {
	Group string
	Token uint64
}

// SuspectNote tells the instance that acts for a group what another one has seen.
type SuspectReport struct{ Group, Upstream, Reason string }

// Ping asks whether an instance is there. Sum tells the tables of the asking one, and
// Epoch and Beat the newest lease of the limits that it knows.
type Ping struct {
	From        string
	Sum         uint64
	Epoch, Beat uint64
}

// Pong answers a Ping. Lease is set if it is newer than what the asking instance knows.
type Pong struct {
	ID      string // of the run
	Leaving bool
	Sum     uint64
	Lease   lease.StoreLeaseRecord
	// Storeless says that the store does not answer the instance.
	Storeless bool
	// Suspects are the addresses of instances that do not answer a watcher of the failure
	// domain.
	Suspects []string
}

// OwnerNote tells who owns the limits now, or that nobody does.
type OwnerNotice struct{ Lease lease.StoreLeaseRecord }

// TablesAsk asks for updates to tables of which the asking instance has these copies.
type TablesRequest struct{ Have map[Kind]TableVersion }

// TablesReply answers it.
type TablesReply struct{ Updates []Update }

// ProbeReply tells whether an instance reaches an upstream.
type ProbeReply struct {
	Reached, Leads bool
	// Commit is the time since an upstream of the group acknowledged a commit of this
	// instance's callers, and Known says that there was one.
	Commit time.Duration
	Known  bool
}

// FloorAsk asks for the newest position that a group's primary was proven to have.
type FloorRequest struct{ Group string }

// FloorReply answers it. Age is the time since the proof.
type FloorReply struct {
	Known    bool
	Position wal.Position
	Age      time.Duration
}

// HoldNote stops or resumes new work at an upstream.
type HoldRequest struct {
	Upstream string
	Held     bool
}

// HoldReply tells what still runs there.
type HoldReply struct{ Running int }

// QuotaReply answers a quota.Request if Known.
type QuotaReply struct {
	quota.Reply
	Known bool
}

// service has the methods that other instances call.
type service struct{ n *Node }

// Run runs a statement at an upstream.
func (s *service) Run(r call.Request, reply *call.Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.Budget)
	defer cancel()
	*reply = s.n.gateways.Run(ctx, r)
	return nil
}

// End ends a transaction.
func (s *service) End(e EndRequest, _ *Empty) error {
	s.n.gateways.End(e.Upstream, e.Session)
	return nil
}

// Leave notes that an instance takes no new work.
func (s *service) Leave(l LeaveNotice, _ *Empty) error {
	s.n.mu.Lock()
	s.n.peerStateOf(l.Address).leaving = true
	s.n.mu.Unlock()
	s.n.wakeStatements()
	return nil
}

// Lead notes a promotion.
func (s *service) Lead(l LeadNotice, _ *Empty) error {
	s.n.primaries.recordPromotion(l.Group, l.Upstream)
	return nil
}

// Keep notes that a promotion is being ordered.
func (s *service) Keep(note KeepNotice, _ *Empty) error {
	s.n.primaries.recordPendingPromotion(note)
	return nil
}

// Token notes that another instance has drawn a token.
func (s *service) Token(note TokenNotice, _ *Empty) error {
	s.n.primaries.recordNewerToken(note.Group, note.Token)
	return nil
}

// Suspect takes in what another instance has seen of a primary.
func (s *service) Suspect(note SuspectReport, _ *Empty) error {
	s.n.primaries.checkSuspect(note.Group, note.Upstream, note.Reason)
	return nil
}

// Ping answers.
func (s *service) Ping(p Ping, reply *Pong) error {
	reply.ID, reply.Leaving, reply.Sum = s.n.self.ID, s.n.draining.Load(), s.n.tables.contentSum()
	if r := s.n.limits.newestLease(); r.Epoch > p.Epoch || r.Epoch == p.Epoch && r.Beat > p.Beat {
		reply.Lease = r
	}
	reply.Storeless, reply.Suspects = s.n.storeless(), s.n.reportableSuspects()
	if reply.Sum != p.Sum {
		go s.n.askTables(context.Background(), p.From)
	}
	return nil
}

// Owner takes in who owns the limits.
func (s *service) Owner(o OwnerNotice, _ *Empty) error {
	s.n.limits.learnLease(o.Lease)
	return nil
}

// Tables gives updates to tables.
func (s *service) Tables(a TablesRequest, reply *TablesReply) error {
	reply.Updates = s.n.tables.updatesFor(a.Have)
	return nil
}

// Probe tries to reach an upstream.
func (s *service) Probe(t failover.ControlTarget, reply *ProbeReply) error {
	*reply = s.n.primaries.answerProbe(t)
	return nil
}

// Floor gives the newest floor of a group.
func (s *service) Floor(a FloorRequest, reply *FloorReply) error {
	*reply = s.n.primaries.newestFloor(a.Group)
	return nil
}

// Hold stops or resumes new work at an upstream.
func (s *service) Hold(h HoldRequest, reply *HoldReply) error {
	reply.Running = s.n.gateways.Hold(h.Upstream, h.Held)
	return nil
}

// Quota grants tokens.
func (s *service) Quota(r quota.Request, reply *QuotaReply) error {
	reply.Reply, reply.Known = s.n.limits.handleRequest(r)
	return nil
}

// remote is what is known about another instance.
type peerState struct {
	failures  int
	suspect   bool
	leaving   bool
	storeless bool
	heard     time.Time
}

// peer returns the entry of an instance. The lock is held.
func (n *Node) peerStateOf(address string) *peerState {
	r := n.peerStates[address]
	if r == nil {
		r = &peerState{heard: n.now()}
		n.peerStates[address] = r
	}
	return r
}

// suspected reports whether nothing new should be sent to an instance. The lock is held.
func (n *Node) isUnavailable(address string, _ time.Time) bool {
	r := n.peerStates[address]
	return r != nil && (r.suspect || r.leaving)
}

// answered notes that an instance is there.
func (n *Node) recordAnswer(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.peerStateOf(address)
	if r.suspect {
		n.log.Info("peer: answers again", "peer", address)
	}
	r.failures, r.suspect, r.heard = 0, false, n.now()
}

// unanswered notes that an instance gave no answer.
func (n *Node) recordNoAnswer(address string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.peerStateOf(address)
	r.failures++
	if !r.suspect && (r.failures >= suspectAfter || peer.Unsent.Has(err)) {
		r.suspect = true
		n.log.Info("peer: suspect", "peer", address, "heard", n.now().Sub(r.heard), "err", err.Error())
	}
}

// watchers returns the instances that watch the store closely for a failure domain:
// the first ones that answer, as this instance sees it.
func (n *Node) watchers(domain string) []string {
	s := n.snapshot.Load()
	most := 1
	if len(s.instances) > smallFleetSize {
		most = largeFleetWatchers
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	s.ranks.Walk("watch", n.settings().Place(domain), func(i placement.Instance) bool {
		if i.Domain != domain {
			return false // those of the domain come first
		}
		if i.Address == n.self.Address || !n.isUnavailable(i.Address, n.now()) {
			out = append(out, i.Address)
		}
		return len(out) < most
	})
	return out
}

// watches reports whether this instance watches the store closely.
func (n *Node) isWatcher() bool { return slices.Contains(n.watchers(n.self.Domain), n.self.Address) }

const (
	// watchersLarge is the number of watchers of a failure domain of a large fleet, in
	// which the other instances do not watch at all.
	largeFleetWatchers = 2
	// actDepth is the number of instances that may come to act for a group. One that is cut
	// off or overloaded finds that nobody answers, and must not take on every group of a
	// large fleet. With half of the instances lost, all of eight are once in 256 times.
	coordinatorCandidates = 8
	// askEvery is the least time between two requests for tables of an instance of a large
	// fleet, which several watchers tell of every change.
	tablesInterval = 200 * time.Millisecond
	// askFar is the same for instances of other regions: the watchers of the own region know
	// most changes as early, and traffic between regions costs more.
	farTablesInterval = time.Second
	// watchPause is the time in which changes of the registry are gathered by a watcher of a
	// large fleet after one.
	registryBatchDelay = 100 * time.Millisecond
	// gather is the time in which changes of instances are gathered into one answer.
	instanceBatchDelay = 700 * time.Millisecond
	// lookEvery is the least time between two looks at the store of an instance that does
	// not watch. It learns of changes from the watchers of its failure domain.
	staleListInterval = 20 * time.Second
)

// patience returns how the table of a kind is kept up to date. The store may drop a watch
// without a word, so the instances that watch for their failure domain ask again within
// half of the time in which a change must be in force. Waits differ, so that not all
// watches of the fleet end at the same time.
func (n *Node) refreshPlan(k Kind) refresh {
	bound := map[Kind]time.Duration{KindPolicy: n.settings().ApplyTimeout, KindOutDomain: n.settings().EvacuateTimeout, KindUpstream: n.settings().LeaveTimeout}[k]
	large := len(n.snapshot.Load().instances) > smallFleetSize
	switch watches := n.isWatcher(); {
	case large && !watches:
		return refresh{pause: staleListInterval + rand.N(staleListInterval), listOnly: true}
	case k == KindInstance:
		return refresh{pause: instanceBatchDelay, wait: watchTimeout}
	case !watches:
		return refresh{wait: watchTimeout}
	case large && k == KindUpstream:
		return refresh{pause: registryBatchDelay, wait: bound/4 + rand.N(bound/4)}
	}
	return refresh{wait: bound/4 + rand.N(bound/4)}
}

// spread tells others at once about a change that this instance saw for its domain.
func (n *Node) announceChange(k Kind) {
	if k == KindInstance || !n.isWatcher() || len(n.snapshot.Load().instances) > smallFleetSize {
		return
	}
	for _, address := range n.pingTargets() {
		go n.ping(context.Background(), address)
	}
}

// askAnyone gets newer tables from an instance that answers, one of the own region if there
// is any.
func (n *Node) askRandomPeer(ctx context.Context) {
	addresses := n.answeringPeers()
	if len(addresses) == 0 {
		addresses = n.settings().Seeds
	}
	if len(addresses) == 0 {
		return
	}
	s := n.snapshot.Load()
	var region []string
	for _, a := range addresses {
		if n.isInOwnRegion(s, a) {
			region = append(region, a)
		}
	}
	if len(region) > 0 {
		addresses = region
	}
	address := addresses[rand.IntN(len(addresses))]
	if address != n.self.Address {
		n.askTables(ctx, address)
	}
}

// serves reports whether this instance is the first choice as the gateway of an upstream.
func (n *Node) isPreferredGateway(name string) bool {
	s := n.snapshot.Load()
	u := s.upstreams[name]
	if u == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	own := false
	s.ranks.Walk(u.Name, u.place, func(i placement.Instance) bool {
		own = i.Address == n.self.Address
		return !own && n.isUnavailable(i.Address, n.now())
	})
	return own
}

// askTables gets newer tables from an instance.
func (n *Node) askTables(ctx context.Context, address string) {
	if !n.mayAskTables(address) {
		return // the next ping shows the difference again
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	have := n.tables.versions()
	for again := true; again; {
		again = false
		var reply TablesReply
		if err := n.peers.Call(ctx, address, "Node.Tables", TablesRequest{have}, &reply); err != nil {
			n.recordNoAnswer(address, err)
			return
		}
		for _, u := range reply.Updates {
			changed, fits := n.tables.applyUpdate(u)
			if changed || !fits {
				n.log.V(1).Info("peer: table taken over", "peer", address, "kind", u.Kind, "revision", u.Revision, "whole", u.Whole, "objects", len(u.Objects), "fits", fits)
			}
			if !fits {
				have[u.Kind] = TableVersion{} // asks for the whole table
				again = true
			}
		}
	}
}

// mayAsk reports whether it is time to ask an instance for tables.
func (n *Node) mayAskTables(address string) bool {
	s := n.snapshot.Load()
	if len(s.instances) <= smallFleetSize {
		return true
	}
	pause := farTablesInterval
	if n.isInOwnRegion(s, address) {
		pause = tablesInterval
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if now.Sub(n.tablesAskedAt) < pause {
		return false
	}
	n.tablesAskedAt = now
	return true
}

// near reports whether an instance is in this one's region.
func (n *Node) isInOwnRegion(s *snapshot, address string) bool {
	k, ok := slices.BinarySearchFunc(s.instances, address, func(i placement.Instance, a string) int { return cmp.Compare(i.Address, a) })
	return ok && s.instances[k].Region == n.self.Region
}

// others returns the addresses of the instances that answer.
func (n *Node) answeringPeers() []string {
	s := n.snapshot.Load()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, i := range s.instances {
		if i.Address != n.self.Address && !n.isUnavailable(i.Address, n.now()) {
			out = append(out, i.Address)
		}
	}
	return out
}

// acting returns the instance that acts for a key: the first that answers among the first
// few, or the first one of all.
func (n *Node) coordinatorOf(key string) placement.Instance {
	list := n.snapshot.Load().ranks.Top(key, placement.Place{}, coordinatorCandidates)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range list {
		if i.Address == n.self.Address && !n.draining.Load() || i.Address != n.self.Address && !n.isUnavailable(i.Address, n.now()) {
			return i
		}
	}
	return list[0]
}

// broadcast tells all instances that answer. It does not wait.
func (n *Node) broadcast(ctx context.Context, method string, note any) {
	for _, address := range n.answeringPeers() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if err := n.peers.Call(ctx, address, method, note, &Empty{}); err != nil {
				n.recordNoAnswer(address, err)
			}
		}()
	}
}

// forgotten returns the names of objects of instances that have not answered for long.
func (n *Node) objectsOfLostInstances(s *snapshot) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, i := range s.instances {
		r := n.peerStates[i.Address]
		if r != nil && r.suspect && n.now().Sub(r.heard) > removeLostAfter {
			out = append(out, s.objectNames[i.Address])
		}
	}
	return out
}

// isolated reports whether neither the store nor any other instance has answered for so
// long that a withdrawn key could still be accepted here.
func (n *Node) isolated() bool {
	limit := n.settings().ApplyTimeout + n.settings().OutageAllowance
	if n.tables.silentFor() < limit {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.peerStates {
		if n.now().Sub(r.heard) < limit {
			return false
		}
	}
	return true
}

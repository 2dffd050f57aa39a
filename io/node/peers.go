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
	forgetAfter = 25 * time.Second
)

// None is an empty message.
type None struct{}

// EndNote ends the transaction of a session.
type EndNote struct{ Upstream, Session string }

// LeaveNote says that an instance takes no new work.
type LeaveNote struct{ Address string }

// LeadNote says that an upstream was promoted.
type LeadNote struct{ Group, Upstream string }

// KeepNote says that the promotion of an upstream is being ordered, which keeps the old
// primary's commits up to a position.
type KeepNote struct {
	Group, Upstream string
	Kept            wal.Position
}

// TokenNote tells the holder of an older token of a group which one was drawn after it.
type TokenNote struct {
	Group string
	Token uint64
}

// SuspectNote tells the instance that acts for a group what another one has seen.
type SuspectNote struct{ Group, Upstream, Reason string }

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
type OwnerNote struct{ Lease lease.StoreLeaseRecord }

// TablesAsk asks for updates to tables of which the asking instance has these copies.
type TablesAsk struct{ Have map[Kind]Mark }

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
type FloorAsk struct{ Group string }

// FloorReply answers it. Age is the time since the proof.
type FloorReply struct {
	Known    bool
	Position wal.Position
	Age      time.Duration
}

// HoldNote stops or resumes new work at an upstream.
type HoldNote struct {
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
func (s *service) End(e EndNote, _ *None) error {
	s.n.gateways.End(e.Upstream, e.Session)
	return nil
}

// Leave notes that an instance takes no new work.
func (s *service) Leave(l LeaveNote, _ *None) error {
	s.n.mu.Lock()
	s.n.peer(l.Address).leaving = true
	s.n.mu.Unlock()
	s.n.wake()
	return nil
}

// Lead notes a promotion.
func (s *service) Lead(l LeadNote, _ *None) error {
	s.n.leaders.promoted(l.Group, l.Upstream)
	return nil
}

// Keep notes that a promotion is being ordered.
func (s *service) Keep(note KeepNote, _ *None) error {
	s.n.leaders.keep(note)
	return nil
}

// Token notes that another instance has drawn a token.
func (s *service) Token(note TokenNote, _ *None) error {
	s.n.leaders.outdated(note.Group, note.Token)
	return nil
}

// Suspect takes in what another instance has seen of a primary.
func (s *service) Suspect(note SuspectNote, _ *None) error {
	s.n.leaders.suspect(note.Group, note.Upstream, note.Reason)
	return nil
}

// Ping answers.
func (s *service) Ping(p Ping, reply *Pong) error {
	reply.ID, reply.Leaving, reply.Sum = s.n.self.ID, s.n.draining.Load(), s.n.tables.sum()
	if r := s.n.limits.record(); r.Epoch > p.Epoch || r.Epoch == p.Epoch && r.Beat > p.Beat {
		reply.Lease = r
	}
	reply.Storeless, reply.Suspects = s.n.storeless(), s.n.hints()
	if reply.Sum != p.Sum {
		go s.n.askTables(context.Background(), p.From)
	}
	return nil
}

// Owner takes in who owns the limits.
func (s *service) Owner(o OwnerNote, _ *None) error {
	s.n.limits.learn(o.Lease)
	return nil
}

// Tables gives updates to tables.
func (s *service) Tables(a TablesAsk, reply *TablesReply) error {
	reply.Updates = s.n.tables.newer(a.Have)
	return nil
}

// Probe tries to reach an upstream.
func (s *service) Probe(t failover.ControlTarget, reply *ProbeReply) error {
	*reply = s.n.leaders.probeFor(t)
	return nil
}

// Floor gives the newest floor of a group.
func (s *service) Floor(a FloorAsk, reply *FloorReply) error {
	*reply = s.n.leaders.newest(a.Group)
	return nil
}

// Hold stops or resumes new work at an upstream.
func (s *service) Hold(h HoldNote, reply *HoldReply) error {
	reply.Running = s.n.gateways.Hold(h.Upstream, h.Held)
	return nil
}

// Quota grants tokens.
func (s *service) Quota(r quota.Request, reply *QuotaReply) error {
	reply.Reply, reply.Known = s.n.limits.grant(r)
	return nil
}

// remote is what is known about another instance.
type remote struct {
	failures  int
	suspect   bool
	leaving   bool
	storeless bool
	heard     time.Time
}

// peer returns the entry of an instance. The lock is held.
func (n *Node) peer(address string) *remote {
	r := n.remote[address]
	if r == nil {
		r = &remote{heard: n.now()}
		n.remote[address] = r
	}
	return r
}

// suspected reports whether nothing new should be sent to an instance. The lock is held.
func (n *Node) suspected(address string, _ time.Time) bool {
	r := n.remote[address]
	return r != nil && (r.suspect || r.leaving)
}

// answered notes that an instance is there.
func (n *Node) answered(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.peer(address)
	if r.suspect {
		n.log.Info("peer: answers again", "peer", address)
	}
	r.failures, r.suspect, r.heard = 0, false, n.now()
}

// unanswered notes that an instance gave no answer.
func (n *Node) unanswered(address string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.peer(address)
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
	if len(s.instances) > pingAll {
		most = watchersLarge
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	s.first.Walk("watch", n.settings().Place(domain), func(i placement.Instance) bool {
		if i.Domain != domain {
			return false // those of the domain come first
		}
		if i.Address == n.self.Address || !n.suspected(i.Address, n.now()) {
			out = append(out, i.Address)
		}
		return len(out) < most
	})
	return out
}

// watches reports whether this instance watches the store closely.
func (n *Node) watches() bool { return slices.Contains(n.watchers(n.self.Domain), n.self.Address) }

const (
	// watchersLarge is the number of watchers of a failure domain of a large fleet, in
	// which the other instances do not watch at all.
	watchersLarge = 2
	// actDepth is the number of instances that may come to act for a group. One that is cut
	// off or overloaded finds that nobody answers, and must not take on every group of a
	// large fleet. With half of the instances lost, all of eight are once in 256 times.
	actDepth = 8
	// askEvery is the least time between two requests for tables of an instance of a large
	// fleet, which several watchers tell of every change.
	askEvery = 200 * time.Millisecond
	// askFar is the same for instances of other regions: the watchers of the own region know
	// most changes as early, and traffic between regions costs more.
	askFar = time.Second
	// watchPause is the time in which changes of the registry are gathered by a watcher of a
	// large fleet after one.
	watchPause = 100 * time.Millisecond
	// gather is the time in which changes of instances are gathered into one answer.
	gather = 700 * time.Millisecond
	// lookEvery is the least time between two looks at the store of an instance that does
	// not watch. It learns of changes from the watchers of its failure domain.
	lookEvery = 20 * time.Second
)

// patience returns how the table of a kind is kept up to date. The store may drop a watch
// without a word, so the instances that watch for their failure domain ask again within
// half of the time in which a change must be in force. Waits differ, so that not all
// watches of the fleet end at the same time.
func (n *Node) patience(k Kind) refresh {
	bound := map[Kind]time.Duration{KindPolicy: n.settings().Apply, KindOut: n.settings().Evacuate, KindUpstream: n.settings().Leave}[k]
	large := len(n.snapshot.Load().instances) > pingAll
	switch watches := n.watches(); {
	case large && !watches:
		return refresh{pause: lookEvery + rand.N(lookEvery), look: true}
	case k == KindInstance:
		return refresh{pause: gather, wait: watchWait}
	case !watches:
		return refresh{wait: watchWait}
	case large && k == KindUpstream:
		return refresh{pause: watchPause, wait: bound/4 + rand.N(bound/4)}
	}
	return refresh{wait: bound/4 + rand.N(bound/4)}
}

// spread tells others at once about a change that this instance saw for its domain.
func (n *Node) spread(k Kind) {
	if k == KindInstance || !n.watches() || len(n.snapshot.Load().instances) > pingAll {
		return
	}
	for _, address := range n.pingTargets() {
		go n.ping(context.Background(), address)
	}
}

// askAnyone gets newer tables from an instance that answers, one of the own region if there
// is any.
func (n *Node) askAnyone(ctx context.Context) {
	addresses := n.others()
	if len(addresses) == 0 {
		addresses = n.settings().Seeds
	}
	if len(addresses) == 0 {
		return
	}
	s := n.snapshot.Load()
	var region []string
	for _, a := range addresses {
		if n.near(s, a) {
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
func (n *Node) serves(name string) bool {
	s := n.snapshot.Load()
	u := s.upstreams[name]
	if u == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	own := false
	s.first.Walk(u.Name, u.place, func(i placement.Instance) bool {
		own = i.Address == n.self.Address
		return !own && n.suspected(i.Address, n.now())
	})
	return own
}

// askTables gets newer tables from an instance.
func (n *Node) askTables(ctx context.Context, address string) {
	if !n.mayAsk(address) {
		return // the next ping shows the difference again
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	have := n.tables.marks()
	for again := true; again; {
		again = false
		var reply TablesReply
		if err := n.peers.Call(ctx, address, "Node.Tables", TablesAsk{have}, &reply); err != nil {
			n.unanswered(address, err)
			return
		}
		for _, u := range reply.Updates {
			changed, fits := n.tables.apply(u)
			if changed || !fits {
				n.log.V(1).Info("peer: table taken over", "peer", address, "kind", u.Kind, "revision", u.Revision, "whole", u.Whole, "objects", len(u.Objects), "fits", fits)
			}
			if !fits {
				have[u.Kind] = Mark{} // asks for the whole table
				again = true
			}
		}
	}
}

// mayAsk reports whether it is time to ask an instance for tables.
func (n *Node) mayAsk(address string) bool {
	s := n.snapshot.Load()
	if len(s.instances) <= pingAll {
		return true
	}
	pause := askFar
	if n.near(s, address) {
		pause = askEvery
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if now.Sub(n.asked) < pause {
		return false
	}
	n.asked = now
	return true
}

// near reports whether an instance is in this one's region.
func (n *Node) near(s *snapshot, address string) bool {
	k, ok := slices.BinarySearchFunc(s.instances, address, func(i placement.Instance, a string) int { return cmp.Compare(i.Address, a) })
	return ok && s.instances[k].Region == n.self.Region
}

// others returns the addresses of the instances that answer.
func (n *Node) others() []string {
	s := n.snapshot.Load()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, i := range s.instances {
		if i.Address != n.self.Address && !n.suspected(i.Address, n.now()) {
			out = append(out, i.Address)
		}
	}
	return out
}

// acting returns the instance that acts for a key: the first that answers among the first
// few, or the first one of all.
func (n *Node) acting(key string) placement.Instance {
	list := n.snapshot.Load().first.Top(key, placement.Place{}, actDepth)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range list {
		if i.Address == n.self.Address && !n.draining.Load() || i.Address != n.self.Address && !n.suspected(i.Address, n.now()) {
			return i
		}
	}
	return list[0]
}

// broadcast tells all instances that answer. It does not wait.
func (n *Node) broadcast(ctx context.Context, method string, note any) {
	for _, address := range n.others() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if err := n.peers.Call(ctx, address, method, note, &None{}); err != nil {
				n.unanswered(address, err)
			}
		}()
	}
}

// forgotten returns the names of objects of instances that have not answered for long.
func (n *Node) forgotten(s *snapshot) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, i := range s.instances {
		r := n.remote[i.Address]
		if r != nil && r.suspect && n.now().Sub(r.heard) > forgetAfter {
			out = append(out, s.objects[i.Address])
		}
	}
	return out
}

// isolated reports whether neither the store nor any other instance has answered for so
// long that a withdrawn key could still be accepted here.
func (n *Node) isolated() bool {
	limit := n.settings().Apply + n.settings().Outage
	if n.tables.silent() < limit {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.remote {
		if n.now().Sub(r.heard) < limit {
			return false
		}
	}
	return true
}

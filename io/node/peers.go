package node

// Calls between instances. Each of them may be repeated without harm.

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/failover"
	"burdockseam/core/lease"
	"burdockseam/core/placement"
	"burdockseam/core/quota"
	"burdockseam/core/usage"
	"burdockseam/core/wal"
	"burdockseam/io/peer"
)

const (
	// removeLostAfter is the time without an answer after which an instance's object is
	// removed from the store.
	removeLostAfter = 25 * time.Second
)

// Empty is an empty message.
type Empty struct{}

// EndRequest requests the end of a session's transaction from its gateway.
type EndRequest struct{ Upstream, Session string }

// LeaveNotice announces that an instance takes no new work. When it has ended its work, it tells
// the coordinators of groups which commits it has acknowledged, by group.
type LeaveNotice struct {
	Address      string
	Acknowledged map[string]failover.Acknowledged
}

// LeadNotice announces that an upstream was promoted.
type LeadNotice struct{ Group, Upstream string }

// KeepNotice announces that the promotion of an upstream is being ordered. The promotion
// keeps the old primary's commits up to the given position.
type KeepNotice struct {
	Group, Upstream string
	Kept            wal.Position
	// Token is the fencing token of the order.
	Token uint64
	// Term is the term that the promotion ends, or 0 from an instance of an older build.
	Term uint64
}

// FreezeRequest asks an instance to acknowledge no further commits of a term, because the
// primary is being replaced. Token is the fencing token of the change.
type FreezeRequest struct {
	Group       string
	Term, Token uint64
}

// FreezeReply is the answer to a FreezeRequest.
type FreezeReply struct{ Answer failover.FreezeAnswer }

// DemoteRequest requests the demotion of an upstream that the sender does not reach.
type DemoteRequest struct {
	Target failover.ControlTarget
	Term   uint64
}

// TokenNotice announces a newly drawn fencing token to the holder of the group's older one.
type TokenNotice struct {
	Group string
	Token uint64
}

// SuspectReport reports a primary as lost to the group's coordinator.
type SuspectReport struct{ Group, Upstream, Reason string }

// Ping checks whether an instance answers. Sum and Content are the Sums of the sender's tables,
// and Epoch and Beat identify the newest lease of the limits that the sender knows.
type Ping struct {
	From        string
	Sum         uint64
	Epoch, Beat uint64
	Content     uint64
	// Version is the version of the configuration that is in force at the sender.
	Version uint64
}

// Pong answers a Ping. Lease is set if it is newer than the lease that the sender of the
// Ping knows.
type Pong struct {
	ID      string // identifies the run of the instance
	Leaving bool
	Sum     uint64
	Lease   lease.StoreLeaseRecord
	// Storeless is set if the store does not answer the instance.
	Storeless bool
	// Suspects are the addresses of the instances that do not answer this one. Only a
	// watcher of a failure domain reports them.
	Suspects []string
	// Promotions are those that were announced a short time ago, on a platform where an old
	// primary goes on.
	Promotions []KeepNotice
	// Freezes are those that have not ended.
	Freezes []FreezeRequest
	// Majority is set if the instance itself had answers of most of the fleet a short time
	// ago.
	Majority bool
	Content  uint64
	// Version is the version of the configuration that is in force at the instance.
	Version uint64
}

// OwnerNotice announces the owner of the limits, or that there is none.
type OwnerNotice struct{ Lease lease.StoreLeaseRecord }

// TablesRequest requests updates of tables. Have holds the versions of the sender's copies.
type TablesRequest struct {
	Have map[Kind]TableVersion
	// Contents has the hashes of the contents of the sender's large objects.
	Contents map[Kind]map[string]uint64
	// Patches is set if the sender understands Update.Patches and TablesReply.Policy.
	Patches bool
	// Version is the version of the configuration that is in force at the sender.
	Version uint64
}

// TablesReply answers a TablesRequest. Policy describes the configuration in force if it is
// newer than the sender's, and newer than that of the store, which came back from a copy.
type TablesReply struct {
	Updates []Update
	Policy  Patch
}

// ProbeReply reports whether an instance reaches an upstream, and whether the upstream is the
// primary.
type ProbeReply struct {
	Reached, Leads bool
	// Commit is the time since an upstream of the group acknowledged a commit of this
	// instance's callers. Known is set if there was such a commit.
	Commit time.Duration
	Known  bool
	// Position is the position of the upstream's log if it leads.
	Position wal.Position
}

// FloorRequest requests the newest floor of a group: the newest position that its primary is
// proven to have had.
type FloorRequest struct{ Group string }

// FloorReply answers a FloorRequest. Age is the time since the proof.
type FloorReply struct {
	Known    bool
	Position wal.Position
	Age      time.Duration
}

// HoldRequest stops or resumes new work at an upstream.
type HoldRequest struct {
	Upstream string
	Held     bool
}

// HoldReply has the number of statements that are still running at the upstream.
type HoldReply struct{ Running int }

// QuotaReply answers a quota.Request. Known is set if the instance answered it as the owner
// of the limits.
type QuotaReply struct {
	quota.Reply
	Known bool
}

// LoanRequest requests tokens of a team from another instance's part of the reserve.
type LoanRequest struct {
	Team string
	Want int
}

// LoanReply has the number of tokens that were lent.
type LoanReply struct{ Tokens int }

// service has the methods that other instances call.
type service struct{ n *Node }

// Run runs a statement at an upstream.
func (s *service) Run(r call.Request, reply *call.Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.Budget)
	defer cancel()
	*reply = s.n.runAtGateway(ctx, r)
	return nil
}

// End ends the transaction of a session.
func (s *service) End(e EndRequest, _ *Empty) error {
	s.n.gateways.EndTransaction(e.Upstream, e.Session)
	return nil
}

// Leave records that an instance takes no new work.
func (s *service) Leave(l LeaveNotice, _ *Empty) error {
	s.n.mu.Lock()
	s.n.peerStateOf(l.Address).leaving = true
	s.n.mu.Unlock()
	s.n.primaries.learnAcknowledged(l.Acknowledged)
	s.n.wakeStatements()
	return nil
}

// Lead records a promotion.
func (s *service) Lead(l LeadNotice, _ *Empty) error {
	s.n.primaries.recordPromotion(l.Group, l.Upstream)
	return nil
}

// Keep records that a promotion is being ordered.
func (s *service) Keep(note KeepNotice, _ *Empty) error {
	s.n.primaries.recordPendingPromotion(note)
	return nil
}

// Freeze lets this instance acknowledge no further commits of a term.
func (s *service) Freeze(r FreezeRequest, reply *FreezeReply) error {
	reply.Answer = s.n.primaries.freeze(r)
	return nil
}

// Demote demotes an upstream for an instance that does not reach it.
func (s *service) Demote(r DemoteRequest, reply *failover.ReplicationStatus) error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	status, err := s.n.primaries.demoteDirectly(ctx, r)
	*reply = status
	return err
}

// Token records that another instance has drawn a newer fencing token.
func (s *service) Token(note TokenNotice, _ *Empty) error {
	s.n.primaries.recordNewerToken(note.Group, note.Token)
	return nil
}

// Suspect checks a primary that another instance reported as lost.
func (s *service) Suspect(note SuspectReport, _ *Empty) error {
	s.n.primaries.checkSuspect(note.Group, note.Upstream, note.Reason)
	return nil
}

// Ping reports the state of this instance, and requests the sender's tables if they differ.
func (s *service) Ping(p Ping, reply *Pong) error {
	own := s.n.tables.sums()
	reply.ID, reply.Leaving, reply.Sum, reply.Content = s.n.self.ID, s.n.draining.Load(), own.Sum, own.Content
	if r := s.n.limits.newestLease(); r.Epoch > p.Epoch || r.Epoch == p.Epoch && r.Beat > p.Beat {
		reply.Lease = r
	}
	reply.Promotions, reply.Majority = s.n.primaries.recentPromotions(), s.n.isRecent(s.n.majorityAt.Load(), pingInterval)
	reply.Freezes = s.n.primaries.activeFreezes()
	reply.Storeless, reply.Suspects = s.n.storeless(), s.n.reportableSuspects()
	reply.Version = s.n.snapshot.Load().policy.Version
	if own.differ(Sums{p.Sum, p.Content}) || p.Version > reply.Version {
		go s.n.requestTables(context.Background(), p.From)
	}
	return nil
}

// Owner records who owns the limits.
func (s *service) Owner(o OwnerNotice, _ *Empty) error {
	s.n.limits.learnLease(o.Lease)
	return nil
}

// Tables returns the tables' changes since the sender's copies.
func (s *service) Tables(a TablesRequest, reply *TablesReply) error {
	reply.Updates = s.n.tables.answer(a)
	reply.Policy = s.n.newerPolicy(a)
	return nil
}

// Probe probes an upstream.
func (s *service) Probe(t failover.ControlTarget, reply *ProbeReply) error {
	*reply = s.n.primaries.answerProbe(t)
	return nil
}

// Floor returns the newest floor of a group.
func (s *service) Floor(a FloorRequest, reply *FloorReply) error {
	*reply = s.n.primaries.newestFloor(a.Group)
	return nil
}

// Hold stops or resumes new work at an upstream.
func (s *service) Hold(h HoldRequest, reply *HoldReply) error {
	reply.Running = s.n.gateways.SetHeld(h.Upstream, h.Held)
	return nil
}

// Usage takes over the counts of another instance.
func (s *service) Usage(p usage.Push, reply *usage.Ack) error {
	if s.n.usage != nil {
		*reply = s.n.usage.handlePush(p)
	}
	return nil
}

// Quota grants tokens of the limits.
func (s *service) Quota(r quota.Request, reply *QuotaReply) error {
	reply.Reply, reply.Known = s.n.limits.handleRequest(r)
	return nil
}

// Lend lends tokens of a team.
func (s *service) Lend(r LoanRequest, reply *LoanReply) error {
	s.n.limits.mu.Lock()
	defer s.n.limits.mu.Unlock()
	reply.Tokens = s.n.limits.reserve.Lend(s.n.now(), r.Team, r.Want)
	return nil
}

// peerState is what this instance knows about another one.
type peerState struct {
	failures   int
	suspect    bool
	leaving    bool
	storeless  bool
	refused    bool      // its machine refuses connections, so that the process has ended
	pongAt     time.Time // when the last ping that it answered was sent
	lastAnswer time.Time // or the time when the instance became known
}

// peerStateOf returns the state of another instance, and creates it if needed. The caller
// holds the lock.
func (n *Node) peerStateOf(address string) *peerState {
	r := n.peerStates[address]
	if r == nil {
		r = &peerState{lastAnswer: n.now()}
		n.peerStates[address] = r
	}
	return r
}

// isUnavailable reports whether an instance should receive no new work. The caller holds the
// lock.
func (n *Node) isUnavailable(address string, _ time.Time) bool {
	r := n.peerStates[address]
	return r != nil && (r.suspect || r.leaving)
}

// recordAnswer records that an instance has answered.
func (n *Node) recordAnswer(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.peerStateOf(address)
	if r.suspect {
		n.log.Info("peer: answers again", "peer", address)
	}
	r.failures, r.suspect, r.refused, r.lastAnswer = 0, false, false, n.now()
}

// recordNoAnswer records that an instance has not answered.
func (n *Node) recordNoAnswer(address string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.peerStateOf(address)
	r.failures++
	r.refused = errors.Is(err, syscall.ECONNREFUSED)
	if !r.suspect && (r.failures >= suspectAfter || peer.Unsent.Has(err)) {
		r.suspect = true
		n.log.Info("peer: suspect", "peer", address, "heard", n.now().Sub(r.lastAnswer), "err", err.Error())
	}
}

// coordinatorCandidates is the number of instances that may become the coordinator of a
// group. An instance that is cut off or overloaded gets no answers from the others, and
// must not take on every group of a large fleet. With half of the instances lost, all
// eight candidates are lost once in 256 times.
const coordinatorCandidates = 8

// isPreferredGateway reports whether this instance is the first choice as the gateway of an
// upstream.
func (n *Node) isPreferredGateway(name string) bool {
	s := n.snapshot.Load()
	u := s.upstreams[name]
	if u == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	preferred := false
	s.ranks.Walk(u.Name, u.place, func(i placement.Instance) bool {
		preferred = i.Address == n.self.Address
		return !preferred && n.isUnavailable(i.Address, n.now())
	})
	return preferred
}

// isInOwnRegion reports whether an instance is in this one's region.
func (n *Node) isInOwnRegion(s *snapshot, address string) bool {
	k, ok := slices.BinarySearchFunc(s.instances, address, func(i placement.Instance, a string) int { return cmp.Compare(i.Address, a) })
	return ok && s.instances[k].Region == n.self.Region
}

// answeringPeers returns the addresses of the other instances that answer.
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

// coordinatorOf returns the coordinator for a key: the first of its candidates that answers,
// or the first candidate if none does.
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

// broadcast sends a message to all instances that answer. It does not wait for replies.
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

// objectsOfLostInstances returns the names of the objects of instances that have not
// answered for removeLostAfter.
func (n *Node) objectsOfLostInstances(s *snapshot) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, i := range s.instances {
		r := n.peerStates[i.Address]
		if r != nil && r.suspect && n.now().Sub(r.lastAnswer) > removeLostAfter {
			out = append(out, s.objectNames[i.Address])
		}
	}
	return out
}

// isolated reports whether neither the store nor any other instance has answered for so long
// that a withdrawn key might still be accepted here.
func (n *Node) isolated() bool {
	limit := n.settings().ApplyTimeout + n.settings().OutageAllowance
	if n.tables.silentFor() < limit {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.peerStates {
		if n.now().Sub(r.lastAnswer) < limit {
			return false
		}
	}
	return true
}

package core

// Limits: every instance holds slices for the teams that it serves; the owner of a
// team's shard grants them, under a lease that two standbys promise.

import (
	"slices"
	"strings"
	"time"

	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/core/lease"
	"burdockseam/core/quota"
)

// Shards is the number of parts that the teams are divided into.
const Shards = 8

// listValid is the age up to which the platform's list is taken as fresh. Watchers
// read it every 5 s.
const listValid = 15 * time.Second

type shard struct {
	name   string
	id     lease.Instance
	member *lease.Member
	owner  *quota.Owner
	out    bool // the instance's failure domain is out, and leases are handed over
}

func (n *Node) newShard(name string) *shard {
	id := lease.Instance{ID: n.self.ID(), Domain: n.self.Domain}
	member := lease.NewMember(id, name)
	return &shard{name: name, id: id, member: member, owner: quota.NewOwner(id.ID, name, member)}
}

// yield hands the leases over while the instance's failure domain is out.
func (n *Node) yield() {
	out := n.config.Revision > 0 && n.config.Domains[n.self.Domain].State != config.StateIn
	for _, s := range n.shards {
		switch {
		case out && !s.out:
			s.member.Leave()
		case !out && s.out && !n.leave:
			s.member.Rejoin()
		}
		s.out = out
	}
}

// platformList is the platform's list of instances and when it was read.
type platformList struct {
	read    time.Time
	present map[string]bool
}

func newPlatformList(now time.Time, list []cluster.PlatformInstance) platformList {
	l := platformList{read: now, present: make(map[string]bool)}
	for _, entry := range list {
		l.present[entry.Address] = true
	}
	return l
}

// addressOf returns the peer address in an instance's id.
func addressOf(id string) string {
	address, _, _ := strings.Cut(id, "#")
	return address
}

// configureLimits passes the teams on to the holder and to the owners.
func (n *Node) configureLimits(now time.Time) {
	n.holder.Configure(now, n.config.Teams)
	for _, s := range n.shards {
		teams := make(map[string]config.Team)
		for name, t := range n.config.Teams {
			if quota.ShardOf(name, Shards) == s.name {
				teams[name] = t
			}
		}
		s.owner.Configure(now, teams)
	}
}

// tickShards moves the leases and the holder on.
func (n *Node) tickShards(now time.Time) Effects {
	n.yield()
	var e Effects
	if now.Sub(n.candidates.at) >= candidatePeriod+time.Duration(len(n.candidates.ids))*candidatePause {
		n.findCandidates(now)
	}
	for _, s := range n.shards {
		e.add(n.leaseOutput(s, s.member.Tick(now, n.leaseView(now, s))))
		n.follow(now, s)
	}
	e.add(n.holderOutput(now, n.holder.Tick(now)))
	return e
}

// candidates are the instances that may own shards or stand by.
type candidates struct {
	at      time.Time
	ids     map[string]string // by address
	byShard map[string][]lease.Instance
}

const (
	// candidatePeriod is the time between two looks at all members. A shard's member
	// needs its candidates only when an owner or a standby is lost.
	// The time grows by candidatePause with each member, since the look at one costs
	// about a microsecond.
	candidatePeriod = 500 * time.Millisecond
	candidatePause  = time.Millisecond
	// spares is the number of candidates besides the placed ones, so that a lease can
	// be completed while those are gone.
	spares = 16
)

func (n *Node) findCandidates(now time.Time) {
	n.candidates = candidates{at: now, ids: make(map[string]string), byShard: make(map[string][]lease.Instance)}
	records := make(map[string]cluster.Record)
	var others []cluster.Record
	for _, r := range n.spread.Members().Records() {
		records[r.Address] = r
		n.candidates.ids[r.Address] = identity(r.Address, r.Incarnation)
		if len(others) < spares && n.config.Domains[r.Domain].State == config.StateIn {
			others = append(others, r)
		}
	}
	for _, s := range n.shards {
		var list []lease.Instance
		owner, standbys := n.view.ShardOwner(s.name)
		for _, address := range append([]string{owner}, standbys...) {
			list = n.candidate(list, records[address])
		}
		for _, r := range others {
			list = n.candidate(list, r)
		}
		n.candidates.byShard[s.name] = list
	}
}

// leaseView describes the fleet to a shard's member.
func (n *Node) leaseView(now time.Time, s *shard) lease.View {
	v := lease.View{OwnerSilent: n.holder.OwnerSilent(now, s.name), Candidates: n.candidates.byShard[s.name]}
	if !n.listed.read.IsZero() && now.Sub(n.listed.read) < listValid {
		v.Listed = func(id string) bool {
			address := addressOf(id)
			current, known := n.candidates.ids[address]
			return n.listed.present[address] && (!known || current == id)
		}
	}
	return v
}

// candidate adds a live instance whose incarnation is known.
func (n *Node) candidate(list []lease.Instance, r cluster.Record) []lease.Instance {
	if r.State != cluster.Live || r.Start == 0 {
		return list
	}
	i := lease.Instance{ID: identity(r.Address, r.Incarnation), Domain: r.Domain}
	if slices.Contains(list, i) {
		return list
	}
	return append(list, i)
}

// follow tells the holder who owns a shard.
func (n *Node) follow(now time.Time, s *shard) {
	if l, version := s.member.Lease(); version > 0 {
		n.holder.SetOwner(now, s.name, l.Owner.ID, l.Epoch)
	}
}

func (n *Node) leaseOutput(s *shard, o lease.Output) Effects {
	var e Effects
	for _, m := range o.Messages {
		e.Messages = append(e.Messages, Message{To: addressOf(m.To), Lease: &m})
	}
	for _, c := range o.Calls {
		e.Leases = append(e.Leases, LeaseCall{Shard: s.name, Call: c})
	}
	return e
}

// holderOutput answers the holder's own requests at once if this instance owns the
// shard, and sends the others.
func (n *Node) holderOutput(now time.Time, o quota.Output) Effects {
	e := Effects{Quota: o.Decisions}
	for _, r := range o.Requests {
		if addressOf(r.To) != n.self.Address {
			e.Messages = append(e.Messages, Message{To: addressOf(r.To), Quota: &r})
			continue
		}
		if reply, ok := n.QuotaAsked(now, r); ok {
			e.add(n.QuotaReply(now, reply))
		}
	}
	return e
}

func (n *Node) shard(name string) *shard {
	for _, s := range n.shards {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Lease takes in a message about a shard's lease.
func (n *Node) Lease(now time.Time, m lease.Message) Effects {
	s := n.shard(m.Shard)
	if s == nil || m.To != s.id.ID {
		return Effects{}
	}
	e := n.leaseOutput(s, s.member.HandleMessage(now, m))
	n.follow(now, s)
	return e
}

// LeaseResult takes in the store's answer to a LeaseCall.
func (n *Node) LeaseResult(now time.Time, name string, r lease.Result) Effects {
	s := n.shard(name)
	if s == nil {
		return Effects{}
	}
	e := n.leaseOutput(s, s.member.HandleResult(now, r))
	n.follow(now, s)
	return e
}

// QuotaAsked answers a holder's request. The reply must be sent only if ok.
func (n *Node) QuotaAsked(now time.Time, r quota.Request) (reply quota.Reply, ok bool) {
	s := n.shard(r.Shard)
	if s == nil || r.To != s.id.ID {
		return quota.Reply{}, false
	}
	return s.owner.HandleRequest(now, r)
}

// QuotaReply takes in an owner's answer.
func (n *Node) QuotaReply(now time.Time, r quota.Reply) Effects {
	return n.holderOutput(now, n.holder.HandleReply(now, r))
}

// Admit takes a token of the team for one request. A waiting request is decided
// later by Effects.Quota with the decision's ticket.
func (n *Node) Admit(now time.Time, team string) (quota.Decision, Effects) {
	d := n.holder.TakeToken(now, team)
	if !d.TickNow {
		return d, Effects{}
	}
	return d, n.holderOutput(now, n.holder.Tick(now))
}

// Ownerless reports whether the owner of a team's shard is unknown or silent, so that
// a refusal says nothing about the team's rate.
func (n *Node) Ownerless(now time.Time, team string) bool {
	s := n.shard(quota.ShardOf(team, Shards))
	_, version := s.member.Lease()
	return version == 0 || n.holder.OwnerSilent(now, s.name)
}

// Withdraw gives up a waiting request. It reports false if it no longer waits.
func (n *Node) Withdraw(team string, ticket uint64) bool { return n.holder.CancelRequest(team, ticket) }

// ReturnSlices gives all unspent tokens back, for an instance that leaves.
func (n *Node) ReturnSlices(now time.Time) Effects {
	return n.holderOutput(now, n.holder.ReturnSlices(now))
}

// Owners returns the id of the owner of each shard, as far as known.
func (n *Node) Owners() map[string]string {
	owners := make(map[string]string)
	for _, s := range n.shards {
		if l, version := s.member.Lease(); version > 0 {
			owners[s.name] = l.Owner.ID
		}
	}
	return owners
}

// Owned lists the shards whose lease is valid here.
func (n *Node) Owned(now time.Time) []string {
	var list []string
	for _, s := range n.shards {
		if s.member.Valid(now) {
			list = append(list, s.name)
		}
	}
	return list
}

package core

// Rate limits of teams. The teams are divided into shards. The owner of a shard, which
// holds the shard's lease with the promises of two standbys, grants slices of tokens;
// every instance holds slices for the teams that it serves.

import (
	"slices"
	"strings"
	"time"

	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/core/lease"
	"burdockseam/core/quota"
)

// Shards is the number of quota shards that the teams are divided into.
const Shards = 8

// platformListMaxAge is the age up to which the platform's list is used. Store watchers
// read the list every 5 s.
const platformListMaxAge = 15 * time.Second

// shard holds this instance's part in one quota shard: the member of the shard's lease
// and the owner, which grants tokens while that lease is valid here.
type shard struct {
	name      string
	self      lease.Instance
	member    *lease.Member
	owner     *quota.Owner
	domainOut bool // the instance's failure domain is out, so that the lease is handed over
}

func (n *Node) newShard(name string) *shard {
	id := lease.Instance{ID: n.self.ID(), Domain: n.self.Domain}
	member := lease.NewMember(id, name)
	return &shard{name: name, self: id, member: member, owner: quota.NewOwner(id.ID, name, member)}
}

// leaveIfDomainOut hands all leases over when the instance's failure domain is taken
// out, and takes part again when the domain is back in.
func (n *Node) leaveIfDomainOut() {
	out := n.config.Revision > 0 && n.config.Domains[n.self.Domain].State != config.StateIn
	for _, s := range n.shards {
		switch {
		case out && !s.domainOut:
			s.member.Leave()
		case !out && s.domainOut && !n.leaving:
			s.member.Rejoin()
		}
		s.domainOut = out
	}
}

// platformList has the addresses in the platform's list of instances, and the time at
// which the list was read.
type platformList struct {
	readAt    time.Time
	addresses map[string]bool
}

func newPlatformList(now time.Time, list []cluster.PlatformInstance) platformList {
	l := platformList{readAt: now, addresses: make(map[string]bool)}
	for _, entry := range list {
		l.addresses[entry.Address] = true
	}
	return l
}

// addressOf returns the peer address that is part of an instance's ID.
func addressOf(id string) string {
	address, _, _ := strings.Cut(id, "#")
	return address
}

// configureLimits passes the configured teams to the holder and to the shards' owners.
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

// tickShards performs the work that is due for the leases and the holder.
func (n *Node) tickShards(now time.Time) Effects {
	n.leaveIfDomainOut()
	var e Effects
	if now.Sub(n.candidates.foundAt) >= candidateInterval+time.Duration(len(n.candidates.idByAddress))*candidateIntervalPerMember {
		n.findCandidates(now)
	}
	for _, s := range n.shards {
		e.merge(n.leaseEffects(s, s.member.Tick(now, n.leaseView(now, s))))
		n.updateOwner(now, s)
	}
	e.merge(n.holderEffects(now, n.holder.Tick(now)))
	return e
}

// candidates has the instances that may become owners or standbys of shards.
type candidates struct {
	foundAt     time.Time
	idByAddress map[string]string // by peer address, of all members
	byShard     map[string][]lease.Instance
}

const (
	// candidateInterval is the time between two searches for candidates among all
	// members. A shard needs its candidates only when its owner or a standby is lost.
	candidateInterval = 500 * time.Millisecond
	// candidateIntervalPerMember is added to candidateInterval for each member, since
	// the search takes about a microsecond per member.
	candidateIntervalPerMember = time.Millisecond
	// maxExtraCandidates bounds the number of candidates besides the instances that the
	// shard is placed at, so that a lease can be completed while those are gone.
	maxExtraCandidates = 16
)

func (n *Node) findCandidates(now time.Time) {
	n.candidates = candidates{foundAt: now, idByAddress: make(map[string]string), byShard: make(map[string][]lease.Instance)}
	records := make(map[string]cluster.Record)
	var others []cluster.Record
	for _, r := range n.agent.Members().Records() {
		records[r.Address] = r
		n.candidates.idByAddress[r.Address] = runID(r.Address, r.Incarnation)
		if len(others) < maxExtraCandidates && n.config.Domains[r.Domain].State == config.StateIn {
			others = append(others, r)
		}
	}
	for _, s := range n.shards {
		var list []lease.Instance
		owner, standbys := n.view.ShardOwner(s.name)
		for _, address := range append([]string{owner}, standbys...) {
			list = n.appendCandidate(list, records[address])
		}
		for _, r := range others {
			list = n.appendCandidate(list, r)
		}
		n.candidates.byShard[s.name] = list
	}
}

// leaseView returns the view of the fleet for the member of a shard's lease.
func (n *Node) leaseView(now time.Time, s *shard) lease.View {
	v := lease.View{OwnerSilent: n.holder.OwnerSilent(now, s.name), Candidates: n.candidates.byShard[s.name]}
	if !n.platform.readAt.IsZero() && now.Sub(n.platform.readAt) < platformListMaxAge {
		v.IsListed = func(id string) bool {
			address := addressOf(id)
			current, known := n.candidates.idByAddress[address]
			return n.platform.addresses[address] && (!known || current == id)
		}
	}
	return v
}

// appendCandidate appends the instance of a record if it is live, its incarnation is
// known and the list does not have it yet.
func (n *Node) appendCandidate(list []lease.Instance, r cluster.Record) []lease.Instance {
	if r.State != cluster.Live || r.Start == 0 {
		return list
	}
	i := lease.Instance{ID: runID(r.Address, r.Incarnation), Domain: r.Domain}
	if slices.Contains(list, i) {
		return list
	}
	return append(list, i)
}

// updateOwner passes the known owner of a shard to the holder.
func (n *Node) updateOwner(now time.Time, s *shard) {
	if l, version := s.member.Lease(); version > 0 {
		n.holder.SetOwner(now, s.name, l.Owner.ID, l.Epoch)
	}
}

// leaseEffects converts the output of a lease member to effects.
func (n *Node) leaseEffects(s *shard, o lease.Output) Effects {
	var e Effects
	for _, m := range o.Messages {
		e.Messages = append(e.Messages, Message{To: addressOf(m.To), Lease: &m})
	}
	for _, c := range o.Calls {
		e.LeaseCalls = append(e.LeaseCalls, LeaseCall{Shard: s.name, Call: c})
	}
	return e
}

// holderEffects handles the holder's requests to this instance directly and sends the
// others.
func (n *Node) holderEffects(now time.Time, o quota.Output) Effects {
	e := Effects{QuotaDecisions: o.Decisions}
	for _, r := range o.Requests {
		if addressOf(r.To) != n.self.Address {
			e.Messages = append(e.Messages, Message{To: addressOf(r.To), Quota: &r})
			continue
		}
		if reply, ok := n.HandleQuotaRequest(now, r); ok {
			e.merge(n.HandleQuotaReply(now, reply))
		}
	}
	return e
}

func (n *Node) shardByName(name string) *shard {
	for _, s := range n.shards {
		if s.name == name {
			return s
		}
	}
	return nil
}

// HandleLeaseMessage processes a message about a shard's lease. A message to an
// earlier run of this instance is ignored.
func (n *Node) HandleLeaseMessage(now time.Time, m lease.Message) Effects {
	s := n.shardByName(m.Shard)
	if s == nil || m.To != s.self.ID {
		return Effects{}
	}
	e := n.leaseEffects(s, s.member.HandleMessage(now, m))
	n.updateOwner(now, s)
	return e
}

// HandleLeaseResult processes the result of a LeaseCall.
func (n *Node) HandleLeaseResult(now time.Time, name string, r lease.Result) Effects {
	s := n.shardByName(name)
	if s == nil {
		return Effects{}
	}
	e := n.leaseEffects(s, s.member.HandleResult(now, r))
	n.updateOwner(now, s)
	return e
}

// HandleQuotaRequest answers a holder's request for tokens. The reply is valid only if
// ok is true.
func (n *Node) HandleQuotaRequest(now time.Time, r quota.Request) (reply quota.Reply, ok bool) {
	s := n.shardByName(r.Shard)
	if s == nil || r.To != s.self.ID {
		return quota.Reply{}, false
	}
	return s.owner.HandleRequest(now, r)
}

// HandleQuotaReply processes an owner's reply to a request for tokens.
func (n *Node) HandleQuotaReply(now time.Time, r quota.Reply) Effects {
	return n.holderEffects(now, n.holder.HandleReply(now, r))
}

// Admit takes a token of the team for one request. If the request has to wait, the
// decision follows in Effects.QuotaDecisions, with the returned ticket.
func (n *Node) Admit(now time.Time, team string) (quota.Decision, Effects) {
	d := n.holder.TakeToken(now, team)
	if !d.TickNow {
		return d, Effects{}
	}
	return d, n.holderEffects(now, n.holder.Tick(now))
}

// OwnerUnavailable reports whether the owner of a team's shard is unknown or does not
// answer. A refusal then does not mean that the team is over its rate.
func (n *Node) OwnerUnavailable(now time.Time, team string) bool {
	s := n.shardByName(quota.ShardOf(team, Shards))
	_, version := s.member.Lease()
	return version == 0 || n.holder.OwnerSilent(now, s.name)
}

// CancelRequest gives up a waiting request. It returns false if the request no longer
// waits.
func (n *Node) CancelRequest(team string, ticket uint64) bool {
	return n.holder.CancelRequest(team, ticket)
}

// ReturnSlices returns all unspent tokens to their owners when the instance leaves.
func (n *Node) ReturnSlices(now time.Time) Effects {
	return n.holderEffects(now, n.holder.ReturnSlices(now))
}

// ShardOwners returns the ID of the owner of each shard whose owner is known, by the
// name of the shard.
func (n *Node) ShardOwners() map[string]string {
	owners := make(map[string]string)
	for _, s := range n.shards {
		if l, version := s.member.Lease(); version > 0 {
			owners[s.name] = l.Owner.ID
		}
	}
	return owners
}

// OwnedShards returns the names of the shards that this instance owns by a valid lease.
func (n *Node) OwnedShards(now time.Time) []string {
	var list []string
	for _, s := range n.shards {
		if s.member.Valid(now) {
			list = append(list, s.name)
		}
	}
	return list
}

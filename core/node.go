package core

// Node: construction, the periodic tick, the configuration, and the distribution of
// results and messages to the parts.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/core/quota"
)

// Self describes the instance that a Node runs in, as known at its start.
type Self struct {
	// Address is the peer address, by which other instances refer to this one.
	Address     string
	Domain      string
	Incarnation cluster.Incarnation
	// Seeds are the peer addresses to contact until the platform's list has been read.
	Seeds []string
}

// ID identifies this run of the instance; a restart at the same address gets another ID.
func (s Self) ID() string { return runID(s.Address, s.Incarnation) }

func runID(address string, i cluster.Incarnation) string {
	return fmt.Sprintf("%s#%x-%x", address, i.Start, i.Random)
}

// Node holds the state of one instance and decides what the instance does.
type Node struct {
	self          Self
	random        *rand.Rand
	agent         *cluster.Agent
	config        config.Config
	view          cluster.View
	holder        *quota.Holder
	shards        []*shard
	groups        map[string]*group
	activeGroups  []*group // the groups that Tick updates, sorted by name
	placedView    uint64   // digest of the view for which roles were placed
	placedAt      time.Time
	requestBudget requestBudget

	candidates candidates
	platform   platformList
	leaving    bool
}

// New returns the node of an instance that has just started. All its random choices
// are drawn from random.
func New(now time.Time, self Self, random *rand.Rand) *Node {
	n := &Node{
		self:   self,
		random: random,
		agent: cluster.New(now, cluster.Options{
			Address: self.Address, Domain: self.Domain, Incarnation: self.Incarnation, Seeds: self.Seeds,
		}, random),
		holder: quota.NewHolder(self.ID(), Shards),
		groups: make(map[string]*group),
	}
	for i := range Shards {
		n.shards = append(n.shards, n.newShard(fmt.Sprint(i)))
	}
	n.view = n.agent.View()
	return n
}

// Config returns the configuration in force; its Revision is 0 if there is none yet.
func (n *Node) Config() config.Config { return n.config }

// View returns the view of the fleet as of the last Tick.
func (n *Node) View() cluster.View { return n.view }

// Agent returns the agent for the membership and the configuration, for reading its
// status.
func (n *Node) Agent() *cluster.Agent { return n.agent }

// FreshnessVerdict reports whether the configuration is known to be fresh enough to
// serve protected routes.
func (n *Node) FreshnessVerdict(now time.Time) cluster.Verdict { return n.agent.FreshnessVerdict(now) }

// Leave starts a graceful shutdown: no further roles are placed at this instance, and
// its leases are handed over. HasLeft reports when the handover is complete.
func (n *Node) Leave() {
	n.leaving = true
	n.agent.Leave()
	for _, s := range n.shards {
		s.member.Leave()
	}
}

// HasLeft reports whether no lease names this instance any more, as owner or standby.
func (n *Node) HasLeft() bool {
	for _, s := range n.shards {
		if s.member.IsNamed() {
			return false
		}
	}
	return true
}

// minPlaceInterval is the minimum time between two placements of all roles, per
// configured group. It bounds the CPU time spent while the view of the fleet keeps
// changing, for example while a failure domain's share of the work grows with every
// tick.
const minPlaceInterval = time.Millisecond

// Tick performs the work that is due at the time now in all parts.
func (n *Node) Tick(now time.Time) Effects {
	var e Effects
	e.merge(n.applyClusterEffects(now, n.agent.Tick(now)))
	n.view = n.agent.View()
	e.merge(n.tickShards(now))
	if d := n.view.Digest(); d != n.placedView && now.Sub(n.placedAt) >= time.Duration(len(n.groups))*minPlaceInterval {
		n.placedView, n.placedAt = d, now
		n.placeRoles()
	}
	e.merge(n.tickGroups(now))
	return e
}

// applyClusterEffects applies a new configuration to the node and returns all effects
// for the caller.
func (n *Node) applyClusterEffects(now time.Time, list []cluster.Effect) Effects {
	var e Effects
	for _, c := range list {
		if i, ok := c.(cluster.Install); ok {
			e.merge(n.install(now, i.Config))
		}
		e.Cluster = append(e.Cluster, c)
	}
	return e
}

// install applies a configuration to all parts.
func (n *Node) install(now time.Time, c config.Config) Effects {
	n.config = c
	n.view = n.agent.View()
	n.configureLimits(now)
	var e Effects
	for name := range c.Groups {
		if n.groups[name] == nil {
			n.groups[name] = n.newGroup(name)
		}
	}
	upstreams := make(map[string][]config.Upstream, len(c.Groups))
	for _, u := range c.Upstreams {
		upstreams[u.Group] = append(upstreams[u.Group], u)
	}
	for name, g := range n.groups {
		if _, ok := c.Groups[name]; !ok {
			delete(n.groups, name)
			continue
		}
		e.merge(g.configure(now, c, upstreams[name]))
	}
	n.placedView = n.view.Digest()
	n.placeRoles()
	return n.addressMessages(e)
}

// HandleRequest answers a peer's request about the membership and the configuration.
func (n *Node) HandleRequest(now time.Time, request cluster.Request) (cluster.Response, Effects) {
	response, list := n.agent.HandleRequest(now, request)
	return response, n.applyClusterEffects(now, list)
}

// HandleResponse processes a peer's response to a request that was sent at the given
// time, or the error of the call.
func (n *Node) HandleResponse(now, sent time.Time, to string, response cluster.Response, err error) Effects {
	return n.applyClusterEffects(now, n.agent.HandleResponse(now, sent, to, response, err))
}

// HandlePollResult processes the result of a cluster.Poll that was sent at the given
// time.
func (n *Node) HandlePollResult(now, sent time.Time, since uint64, head *config.Head, err error) Effects {
	return n.applyClusterEffects(now, n.agent.HandlePollResult(now, sent, since, head, err))
}

// HandleFetchResult processes the result of a cluster.Fetch: the contents of a file, or
// the error.
func (n *Node) HandleFetchResult(now time.Time, hash string, data []byte, err error) Effects {
	return n.applyClusterEffects(now, n.agent.HandleFetchResult(now, hash, data, err))
}

// HandlePlatformList processes the result of a cluster.ReadPlatformList: the platform's
// list of instances, or the error.
func (n *Node) HandlePlatformList(now time.Time, list []cluster.PlatformInstance, err error) {
	n.agent.HandlePlatformList(now, list, err)
	if err == nil {
		n.platform = newPlatformList(now, list)
	}
}

// HandleGroupRequest answers another instance's request for the view of a group.
func (n *Node) HandleGroupRequest(now time.Time, request GroupRequest) GroupView {
	if g := n.groups[request.Group]; g != nil {
		return g.view(now)
	}
	return GroupView{}
}

// HandleGroupView processes the response to a GroupRequest that was sent at the given
// time.
func (n *Node) HandleGroupView(now, sent time.Time, name string, v GroupView) Effects {
	if g := n.groups[name]; g != nil {
		return n.addressMessages(g.handleView(now, sent, v))
	}
	return Effects{}
}

// HandleAnnouncement processes another instance's announcement of a group's state.
func (n *Node) HandleAnnouncement(now time.Time, a Announcement) Effects {
	return n.HandleStoreResult(now, a.Group, failover.StoreResult{Kind: failover.KindGet, Version: a.Version, Group: a.State})
}

// WatchesStore reports whether this instance is one of those that watch the store for
// its failure domain.
func (n *Node) WatchesStore() bool {
	return slices.Contains(n.view.Watchers(n.self.Domain), n.self.Address)
}

// HandleGroupChange processes a group's state that a watch of the store returned. If
// the state is new, it is sent to the group's observers.
func (n *Node) HandleGroupChange(now time.Time, a Announcement) Effects {
	g := n.groups[a.Group]
	if g == nil || a.Version <= g.version {
		return Effects{}
	}
	e := n.HandleAnnouncement(now, a)
	for _, to := range g.observers {
		if to != n.self.Address {
			e.Messages = append(e.Messages, Message{To: to, Announce: &a})
		}
	}
	return e
}

// HandleStoreResult processes the store's result of a GroupCall.
func (n *Node) HandleStoreResult(now time.Time, name string, r failover.StoreResult) Effects {
	g := n.groups[name]
	if g == nil {
		return Effects{}
	}
	e := g.failoverEffects(g.coordinator.HandleStore(now, r))
	e.merge(g.applyState(now))
	return n.addressMessages(e)
}

// HandleUpstreamResult processes the result of a GroupCall to an upstream, or of a
// GatewayCall.
func (n *Node) HandleUpstreamResult(now time.Time, name string, r failover.UpstreamResult) Effects {
	if g := n.groups[name]; g != nil {
		return n.addressMessages(g.handleUpstreamResult(now, r))
	}
	return Effects{}
}

// StartSwitchover starts a planned switchover of a group's primary to the target
// upstream. It fails if this instance does not coordinate the group.
func (n *Node) StartSwitchover(now time.Time, name, target string) error {
	g := n.groups[name]
	if g == nil {
		return Error.New("group %s is not configured", name)
	}
	return Error.Wrap(g.coordinator.StartSwitchover(now, target))
}

// IsCoordinator reports whether this instance, as far as it knows, coordinates a group.
func (n *Node) IsCoordinator(name string) bool {
	g := n.groups[name]
	return g != nil && g.coordinator.Active()
}

// addressMessages sets the receivers of messages to gateways and of announcements.
// Messages to a gateway that does not exist are dropped.
func (n *Node) addressMessages(e Effects) Effects {
	out := e.Messages[:0:0]
	for _, m := range e.Messages {
		switch {
		case m.Gateway != nil:
			m.To = n.Gateway(m.Gateway.Request.Upstream)
			if m.To != "" {
				out = append(out, m)
			}
		case m.Announce != nil:
			for _, to := range n.announceTargets() {
				out = append(out, Message{To: to, Announce: m.Announce})
			}
		default:
			out = append(out, m)
		}
	}
	e.Messages = out
	return e
}

// maxAnnounceTargets bounds the number of instances that an announcement is sent to. In
// a larger fleet the others learn the new state with their next request to an observer.
const maxAnnounceTargets = 64

func (n *Node) announceTargets() []string {
	var list []string
	for _, r := range n.agent.Members().Records() {
		if r.Address != n.self.Address && r.State == cluster.Live && len(list) < maxAnnounceTargets {
			list = append(list, r.Address)
		}
	}
	return list
}

// Gateway returns the peer address of an upstream's gateway, or "".
func (n *Node) Gateway(upstream string) string {
	u, ok := n.config.Upstreams[upstream]
	if !ok {
		return ""
	}
	if list := n.view.Gateways(u.Name, u.Domain, 1); len(list) > 0 {
		return list[0]
	}
	return ""
}

// Gateways returns the peer addresses of an upstream's gateway and its rescue gateway.
func (n *Node) Gateways(upstream string) []string {
	u, ok := n.config.Upstreams[upstream]
	if !ok {
		return nil
	}
	list := n.view.Gateways(u.Name, u.Domain, 1)
	if rescue := n.view.RescueGateway(u.Name, u.Domain); rescue != "" {
		list = append(list, rescue)
	}
	return list
}

// SpareGateway returns the peer address of a further instance that can serve as the
// gateway of an upstream, or "". It is used only after neither the gateway nor the
// rescue gateway has answered, since the membership takes 3 s to notice that an
// instance has died.
func (n *Node) SpareGateway(upstream string) string {
	known := n.Gateways(upstream)
	for _, address := range n.view.Gateways(upstream, n.config.Upstreams[upstream].Domain, len(known)+1) {
		if !slices.Contains(known, address) {
			return address
		}
	}
	return ""
}

func (n *Node) newSeed() uint64 { return n.random.Uint64() }

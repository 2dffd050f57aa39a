package core

// The node holds the tables of one instance and runs the systems over them.

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

// Self is what an instance knows about itself when it starts.
type Self struct {
	// Address is the instance's peer address, which also names it.
	Address     string
	Domain      string
	Incarnation cluster.Incarnation
	// Seeds are peer addresses to ask before the platform's list was read.
	Seeds []string
}

// ID names this run of the instance; a restart at the same address has another.
func (s Self) ID() string { return identity(s.Address, s.Incarnation) }

func identity(address string, i cluster.Incarnation) string {
	return fmt.Sprintf("%s#%x-%x", address, i.Start, i.Random)
}

// Node is the core of one instance.
type Node struct {
	self     Self
	random   *rand.Rand
	spread   *cluster.Agent
	config   config.Config
	view     cluster.View
	holder   *quota.Holder
	shards   []*shard
	groups   map[string]*group
	active   []*group // those that need a tick, by name
	placed   uint64   // digest of the view for which roles were placed
	placedAt time.Time
	asks     budget

	candidates candidates
	listed     platformList
	leave      bool
}

// New returns the core of an instance that has just started. All its random
// choices come from random.
func New(now time.Time, self Self, random *rand.Rand) *Node {
	n := &Node{
		self:   self,
		random: random,
		spread: cluster.New(now, cluster.Options{
			Address: self.Address, Domain: self.Domain, Incarnation: self.Incarnation, Seeds: self.Seeds,
		}, random),
		holder: quota.NewHolder(self.ID(), Shards),
		groups: make(map[string]*group),
	}
	for i := range Shards {
		n.shards = append(n.shards, n.newShard(fmt.Sprint(i)))
	}
	n.view = n.spread.View()
	return n
}

// Config returns the configuration in force; its Revision is 0 if there is none.
func (n *Node) Config() config.Config { return n.config }

// View returns the fleet as of the last Tick.
func (n *Node) View() cluster.View { return n.view }

// Spread returns the part that keeps the configuration and the membership, for
// reading its status.
func (n *Node) Spread() *cluster.Agent { return n.spread }

// Serves applies the freshness rule: it tells whether protected routes may be served.
func (n *Node) Serves(now time.Time) cluster.Verdict { return n.spread.FreshnessVerdict(now) }

// Leave starts a graceful shutdown: nothing new is placed here, and leases are
// handed over. Left reports when that is done.
func (n *Node) Leave() {
	n.leave = true
	n.spread.Leave()
	for _, s := range n.shards {
		s.member.Leave()
	}
}

// Left reports whether no lease names this instance any more.
func (n *Node) Left() bool {
	for _, s := range n.shards {
		if s.member.IsNamed() {
			return false
		}
	}
	return true
}

// placePause is the least time between two placements of all roles, for each
// configured group. It bounds the processor time that a fleet in motion costs, such as
// a failure domain whose share of the work grows with every tick.
const placePause = time.Millisecond

// Tick moves all parts on to the time now.
func (n *Node) Tick(now time.Time) Effects {
	var e Effects
	e.add(n.cluster(now, n.spread.Tick(now)))
	n.view = n.spread.View()
	e.add(n.tickShards(now))
	if d := n.view.Digest(); d != n.placed && now.Sub(n.placedAt) >= time.Duration(len(n.groups))*placePause {
		n.placed, n.placedAt = d, now
		n.place()
	}
	e.add(n.tickGroups(now))
	return e
}

// cluster performs the installation of a configuration and passes the rest on.
func (n *Node) cluster(now time.Time, list []cluster.Effect) Effects {
	var e Effects
	for _, c := range list {
		if i, ok := c.(cluster.Install); ok {
			e.add(n.install(now, i.Config))
		}
		e.Cluster = append(e.Cluster, c)
	}
	return e
}

// install puts a configuration into force in all parts.
func (n *Node) install(now time.Time, c config.Config) Effects {
	n.config = c
	n.view = n.spread.View()
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
		e.add(g.configure(now, c, upstreams[name]))
	}
	n.placed = n.view.Digest()
	n.place()
	return n.address(e)
}

// Asked answers a peer's question about the fleet.
func (n *Node) Asked(now time.Time, a cluster.Request) (cluster.Response, Effects) {
	answer, list := n.spread.HandleRequest(now, a)
	return answer, n.cluster(now, list)
}

// Answered takes in a peer's answer to a question sent at the given time, or the error.
func (n *Node) Answered(now, sent time.Time, to string, a cluster.Response, err error) Effects {
	return n.cluster(now, n.spread.HandleResponse(now, sent, to, a, err))
}

// Polled takes in the store's answer to a cluster.Poll sent at the given time.
func (n *Node) Polled(now, sent time.Time, since uint64, head *config.Head, err error) Effects {
	return n.cluster(now, n.spread.HandlePollResult(now, sent, since, head, err))
}

// Fetched takes in a content that the store gave, or the error.
func (n *Node) Fetched(now time.Time, hash string, data []byte, err error) Effects {
	return n.cluster(now, n.spread.HandleFetchResult(now, hash, data, err))
}

// Listed takes in the platform's list, or the error.
func (n *Node) Listed(now time.Time, list []cluster.PlatformInstance, err error) {
	n.spread.HandlePlatformList(now, list, err)
	if err == nil {
		n.listed = newPlatformList(now, list)
	}
}

// GroupAsked answers another instance's question about a group.
func (n *Node) GroupAsked(now time.Time, a GroupAsk) GroupView {
	if g := n.groups[a.Group]; g != nil {
		return g.view(now)
	}
	return GroupView{}
}

// GroupReply takes in the answer to a GroupAsk that was sent at the given time.
func (n *Node) GroupReply(now, asked time.Time, name string, v GroupView) Effects {
	if g := n.groups[name]; g != nil {
		return n.address(g.reply(now, asked, v))
	}
	return Effects{}
}

// Announced takes in another instance's announcement of a group's state.
func (n *Node) Announced(now time.Time, a Announce) Effects {
	return n.StoreResult(now, a.Group, failover.StoreResult{Kind: failover.KindGet, Version: a.Version, Group: a.State})
}

// Watches reports whether this instance watches the store for its failure domain.
func (n *Node) Watches() bool {
	return slices.Contains(n.view.Watchers(n.self.Domain), n.self.Address)
}

// Watched takes in a group's state that a watch of the store showed, and tells the
// group's observers if it is new.
func (n *Node) Watched(now time.Time, a Announce) Effects {
	g := n.groups[a.Group]
	if g == nil || a.Version <= g.version {
		return Effects{}
	}
	e := n.Announced(now, a)
	for _, to := range g.observers {
		if to != n.self.Address {
			e.Messages = append(e.Messages, Message{To: to, Announce: &a})
		}
	}
	return e
}

// StoreResult takes in the store's answer to a GroupCall.
func (n *Node) StoreResult(now time.Time, name string, r failover.StoreResult) Effects {
	g := n.groups[name]
	if g == nil {
		return Effects{}
	}
	e := g.requests(g.coord.HandleStore(now, r))
	e.add(g.adopt(now))
	return n.address(e)
}

// UpstreamResult takes in an upstream's or a gateway's answer to a GroupCall.
func (n *Node) UpstreamResult(now time.Time, name string, r failover.UpstreamResult) Effects {
	if g := n.groups[name]; g != nil {
		return n.address(g.result(now, r))
	}
	return Effects{}
}

// Switch starts a planned switch of a group's primary to an upstream. It fails if
// this instance does not coordinate the group.
func (n *Node) Switch(now time.Time, name, target string) error {
	g := n.groups[name]
	if g == nil {
		return Error.New("no such group %s", name)
	}
	return Error.Wrap(g.coord.StartSwitchover(now, target))
}

// Leads reports whether this instance coordinates a group as far as it knows.
func (n *Node) Leads(name string) bool {
	g := n.groups[name]
	return g != nil && g.coord.Active()
}

// address fills in to whom messages about upstreams and announcements go.
func (n *Node) address(e Effects) Effects {
	out := e.Messages[:0:0]
	for _, m := range e.Messages {
		switch {
		case m.Gateway != nil:
			m.To = n.Gateway(m.Gateway.Request.Upstream)
			if m.To != "" {
				out = append(out, m)
			}
		case m.Announce != nil:
			for _, to := range n.audience() {
				out = append(out, Message{To: to, Announce: m.Announce})
			}
		default:
			out = append(out, m)
		}
	}
	e.Messages = out
	return e
}

// maxAudience bounds the instances that an announcement goes to. In a larger fleet
// the rest learns of the new state when it next asks an observer.
const maxAudience = 64

func (n *Node) audience() []string {
	var list []string
	for _, r := range n.spread.Members().Records() {
		if r.Address != n.self.Address && r.State == cluster.Live && len(list) < maxAudience {
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

// Spare returns the peer address of another instance that may serve as the gateway of an
// upstream, or "". It is asked only after the gateway and its rescue gateway did not
// answer, which the membership takes 3 s to notice.
func (n *Node) Spare(upstream string) string {
	known := n.Gateways(upstream)
	for _, address := range n.view.Gateways(upstream, n.config.Upstreams[upstream].Domain, len(known)+1) {
		if !slices.Contains(known, address) {
			return address
		}
	}
	return ""
}

func (n *Node) seed() uint64 { return n.random.Uint64() }

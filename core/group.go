package core

// A group joins the parts of one database group at one instance: the table for
// routing, the detector, the coordinator and the writes that wait for their
// acknowledgement.
//
// Observers (the gateways of the group's upstreams) poll the upstreams themselves
// and ask each other for suspicions. All other instances ask one observer after
// another for its view. Only statuses of own polls are relayed, so that no report
// goes round between instances.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/core/route"
	"burdockseam/core/wal"
)

const (
	// askBusy and askIdle are the times between two questions to an observer about a
	// group that was used within busyFor, and about any other.
	askBusy = 200 * time.Millisecond
	askIdle = 2 * time.Second
	busyFor = 10 * time.Second
	// service is the expected time that a queued statement adds to the wait.
	service = 2 * time.Millisecond
	// asksPerSecond bounds an entry's questions. One takes about 250 bytes both ways,
	// so they stay at 5 KB/s of the 8 KB/s that control may take.
	asksPerSecond = 20
	// warmGroups is the number of configured groups up to which all are kept known, so
	// that the first statement for one does not wait.
	warmGroups = 16
	// ackTimeout bounds the wait for an acknowledgement. It is longer than a
	// promotion usually takes, but a caller should not wait for a lost majority.
	ackTimeout = 3 * time.Second
)

type group struct {
	name      string
	upstreams []config.Upstream
	coord     *failover.Coordinator
	detector  *failover.Detector
	acks      failover.AckTracker
	route     *route.Group
	seen      map[string]failover.UpstreamResult
	queues    map[string]int
	observers []string
	observer  bool
	version   uint64
	used      time.Time
	asked     time.Time
	next      int // index of the observer to ask next
	active    bool
	answered  bool // by the observer that was asked last, which is then kept
	writes    uint64
}

func (n *Node) newGroup(name string) *group {
	return &group{
		name: name,
		coord: failover.NewCoordinator(failover.Options{
			Self: n.self.Address, Incarnation: n.self.ID(), Timing: failover.DefaultTiming, Seed: n.seed(),
		}),
		detector: failover.NewDetector(n.self.Address, n.self.Domain, failover.DefaultTiming),
		route:    route.NewGroup(service),
		seen:     make(map[string]failover.UpstreamResult),
		queues:   make(map[string]int),
	}
}

// configure sets the group's upstreams, as the configuration has them.
func (g *group) configure(now time.Time, c config.Config, upstreams []config.Upstream) Effects {
	g.upstreams = upstreams
	slices.SortFunc(g.upstreams, func(a, b config.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	var members []failover.Member
	var views []route.Upstream
	var names []string
	for _, u := range g.upstreams {
		in := u.State != config.StateLeaving && c.Domains[u.Domain].State == config.StateIn
		members = append(members, failover.Member{Name: u.Name, Domain: u.Domain, Eligible: in})
		views = append(views, route.Upstream{Name: u.Name, Domain: u.Domain})
		names = append(names, u.Name)
	}
	g.coord.SetMembers(members)
	g.detector.SetMembers(names)
	g.route.Members(views)
	for _, m := range members {
		g.route.SetServing(now, m.Name, m.Eligible)
	}
	return g.adopt(now)
}

// place sets the instance's part in the group from the present view of the fleet.
func (g *group) place(self string, v cluster.View) {
	g.observers = v.GroupObservers(g.name, g.upstreams)
	g.observer = slices.Contains(g.observers, self)
}

func (g *group) tick(now time.Time, self string) Effects {
	var e Effects
	if g.observer {
		e.add(g.requests(g.detector.Tick(now)))
		e.add(g.requests(g.coord.SetActive(now, g.detector.IsCoordinator(now, g.observers))))
		e.add(g.requests(g.coord.Tick(now, g.detector.Verdict(now))))
	} else {
		e.add(g.requests(g.coord.SetActive(now, false)))
	}
	e.add(g.adopt(now))
	e.add(g.settled(g.acks.Tick(now)))
	return e
}

// place sets the instance's part in all groups. It is done when the view of the
// fleet changes, since it scores every instance for every upstream.
func (n *Node) place() {
	n.active = n.active[:0]
	warm := len(n.groups) <= warmGroups
	for _, name := range slices.Sorted(maps.Keys(n.groups)) {
		g := n.groups[name]
		g.place(n.self.Address, n.view)
		g.active = warm || g.active || g.observer
		if g.active {
			n.active = append(n.active, g)
		}
	}
}

// activate makes sure that a group gets its tick.
func (n *Node) activate(g *group) {
	if g.active {
		return
	}
	g.active = true
	i, _ := slices.BinarySearchFunc(n.active, g.name, func(a *group, name string) int { return cmp.Compare(a.name, name) })
	n.active = slices.Insert(n.active, i, g)
}

// tickGroups moves the active groups on. Those that are neither observed nor used any
// more cost nothing from then on. Questions about groups have a budget for the whole
// instance, so their traffic does not grow with the number of groups in use; their
// views get older instead, and more reads go to primaries.
func (n *Node) tickGroups(now time.Time) Effects {
	var e Effects
	n.asks.refill(now)
	warm := len(n.groups) <= warmGroups
	keep := n.active[:0]
	for _, g := range n.active {
		e.add(n.address(g.tick(now, n.self.Address)))
		pending, _ := g.acks.Pending()
		g.active = warm || g.observer || pending > 0 || now.Sub(g.used) < busyFor
		if g.active {
			keep = append(keep, g)
		}
	}
	clear(n.active[len(keep):])
	n.active = keep
	for i := range n.active {
		g := n.active[(n.asks.turn+i)%len(n.active)]
		e.add(g.ask(now, n.self.Address, &n.asks))
	}
	if len(n.active) > 0 {
		n.asks.turn = (n.asks.turn + 1) % len(n.active)
	}
	return e
}

// budget limits the questions of an entry about groups.
type budget struct {
	at     time.Time
	credit float64
	turn   int // whose turn it is first
}

func (b *budget) refill(now time.Time) {
	if !b.at.IsZero() {
		b.credit += asksPerSecond * now.Sub(b.at).Seconds()
	}
	b.credit = min(b.credit, asksPerSecond)
	b.at = now
}

func (b *budget) spend() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// ask returns the questions to observers that are due.
func (g *group) ask(now time.Time, self string, asks *budget) Effects {
	var e Effects
	interval := askIdle
	switch {
	case g.observer:
		interval = failover.DefaultTiming.PollInterval
	case now.Sub(g.used) < busyFor:
		interval = askBusy
	}
	if now.Sub(g.asked) < interval || !g.observer && !asks.spend() {
		return e
	}
	g.asked = now
	if g.observer {
		for _, o := range g.observers {
			if o != self {
				e.Messages = append(e.Messages, Message{To: o, Ask: &GroupAsk{Group: g.name}})
			}
		}
		return e
	}
	if len(g.observers) > 0 {
		if !g.answered {
			g.next++
		}
		g.answered = false
		g.next %= len(g.observers)
		e.Messages = append(e.Messages, Message{To: g.observers[g.next], Ask: &GroupAsk{Group: g.name}})
	}
	return e
}

// requests sorts the requests of the failover parts by whom they go to.
func (g *group) requests(list []failover.Request) Effects {
	var e Effects
	for _, r := range list {
		switch r.Kind {
		case failover.KindDrain, failover.KindRelease:
			e.Messages = append(e.Messages, Message{Gateway: &GatewayCall{Group: g.name, Request: r}})
		case failover.KindAnnounce:
			e.Messages = append(e.Messages, Message{Announce: &Announce{Group: g.name, Version: g.version, State: r.Group}})
		default:
			e.Groups = append(e.Groups, GroupCall{Group: g.name, Request: r})
		}
	}
	return e
}

// adopt passes the recorded state on to all parts.
func (g *group) adopt(now time.Time) Effects {
	state, version, ok := g.coord.Group()
	if !ok {
		return Effects{}
	}
	var e Effects
	if version != g.version {
		g.version = version
		e.Changed = append(e.Changed, g.name)
	}
	g.detector.SetGroup(now, state.Term, state.Primary)
	names := make([]string, len(g.upstreams))
	for i, u := range g.upstreams {
		names[i] = u.Name
	}
	g.route.Lead(state.Term, state.Primary, state.History)
	e.add(g.settled(g.acks.SetGroup(state.Term, state.Primary, names)))
	return e
}

func (g *group) settled(list []failover.ResolvedWrite) Effects {
	var e Effects
	for _, s := range list {
		e.Settled = append(e.Settled, Settled{Group: g.name, ResolvedWrite: s})
	}
	return e
}

// result takes an answer of an upstream, own or by its gateway.
func (g *group) result(now time.Time, r failover.UpstreamResult) Effects {
	var e Effects
	valid := r.Failure == failover.FailureNone || r.Failure == failover.FailureRefused
	if valid {
		g.detector.HandleUpstream(r)
		e.add(g.settled(g.acks.HandleStatus(r.Upstream, r.Status)))
	}
	if r.Kind != failover.KindDrain && r.Kind != failover.KindRelease {
		if old, ok := g.seen[r.Upstream]; !ok || r.Begun.After(old.Begun) {
			g.seen[r.Upstream] = r
		}
		g.route.Report(report(r))
		e.Changed = append(e.Changed, g.name)
	}
	e.add(g.requests(g.coord.HandleUpstream(now, r)))
	e.add(g.adopt(now))
	return e
}

func report(r failover.UpstreamResult) route.Report {
	return route.Report{
		Upstream: r.Upstream,
		Begun:    r.Begun,
		Lost:     r.Failure == failover.FailureLost,
		Primary:  r.Status.Role == failover.RolePrimary,
		Fenced:   r.Status.Fenced,
		Position: r.Status.Position,
	}
}

// view answers another instance's question.
func (g *group) view(now time.Time) GroupView {
	var v GroupView
	v.State, v.Version, v.Known = g.coord.Group()
	v.Observer = g.observer
	if !g.observer {
		return v
	}
	v.Suspicion = g.detector.OwnSuspicion(now)
	for _, u := range g.upstreams {
		r, ok := g.seen[u.Name]
		if !ok {
			continue
		}
		v.Seen = append(v.Seen, Seen{
			Upstream: u.Name,
			Age:      now.Sub(r.Begun),
			Lost:     r.Failure == failover.FailureLost,
			Primary:  r.Status.Role == failover.RolePrimary,
			Fenced:   r.Status.Fenced,
			Position: r.Status.Position,
			Queue:    g.queues[u.Name],
		})
	}
	return v
}

// reply takes an observer's view. Ages count from the time of the question, which
// can only overstate them.
func (g *group) reply(now, asked time.Time, v GroupView) Effects {
	var e Effects
	if v.Known {
		e.add(g.requests(g.coord.HandleStore(now, failover.StoreResult{
			Kind: failover.KindGet, Version: v.Version, Group: v.State,
		})))
	}
	e.add(g.adopt(now))
	if !v.Observer {
		return e
	}
	if g.observer {
		g.detector.HandleSuspicion(asked, v.Suspicion)
	} else {
		g.answered = true
	}
	for _, s := range v.Seen {
		g.route.Report(route.Report{
			Upstream: s.Upstream, Begun: asked.Add(-s.Age), Lost: s.Lost,
			Primary: s.Primary, Fenced: s.Fenced, Position: s.Position,
		})
		if _, local := g.queues[s.Upstream]; !local {
			g.route.Queue(s.Upstream, s.Queue)
		}
	}
	e.Changed = append(e.Changed, g.name)
	return e
}

// Choose picks the upstream for a statement of a session. Term is the group's
// recorded term, which the data connection states.
func (n *Node) Choose(now time.Time, name string, r route.Request) (d route.Decision, term uint64) {
	g := n.groups[name]
	if g == nil {
		return route.Decision{Reason: route.ReasonNoPrimary}, 0
	}
	if now.Sub(g.used) >= busyFor {
		g.asked = time.Time{}
	}
	g.used = now
	n.activate(g)
	state, _, _ := g.coord.Group()
	return g.route.Choose(now, r), state.Term
}

// Missing names the upstreams that do not answer, if the rest is no majority.
func (n *Node) Missing(now time.Time, name string) []string {
	if g := n.groups[name]; g != nil && g.observer {
		return g.detector.MissingUpstreams(now)
	}
	return nil
}

// Silent returns the time since an upstream of a group last answered a poll, 0 if
// this instance does not observe the group.
func (n *Node) Silent(now time.Time, name, upstream string) time.Duration {
	if g := n.groups[name]; g != nil && g.observer {
		return g.detector.TimeSinceAnswer(now, upstream)
	}
	return 0
}

// Written registers a write that the primary has executed at the position; the
// answer to the statement is the primary's own report. The result comes as an
// Effects.Settled with the returned id.
func (n *Node) Written(now time.Time, name, upstream string, p wal.Position) (uint64, Effects) {
	g := n.groups[name]
	if g == nil {
		return 0, Effects{}
	}
	n.activate(g)
	g.writes++
	id := g.writes
	e := g.settled(g.acks.Add(failover.Write{ID: id, Position: p, Deadline: now.Add(ackTimeout)}))
	e.add(g.settled(g.acks.HandleStatus(upstream, failover.Status{Role: failover.RolePrimary, Fenced: p.Term, Position: p})))
	return id, e
}

// Pending returns the number of writes of a group that wait for replicas, and the
// highest offset among them.
func (n *Node) Pending(name string) (int, uint64) {
	if g := n.groups[name]; g != nil {
		return g.acks.Pending()
	}
	return 0, 0
}

// Queue sets the number of statements that wait or run at an upstream's gateway here.
func (n *Node) Queue(name, upstream string, statements int) {
	if g := n.groups[name]; g != nil {
		g.queues[upstream] = statements
		g.route.Queue(upstream, statements)
	}
}

// State returns a group's recorded state, and false if it is not known.
func (n *Node) State(name string) (failover.Group, uint64, bool) {
	if g := n.groups[name]; g != nil {
		return g.coord.Group()
	}
	return failover.Group{}, 0, false
}

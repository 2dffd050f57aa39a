package core

// A group combines the parts that one instance has of a database group: the routing
// table, the failure detector, the coordinator, and the writes that wait for their
// acknowledgement.
//
// The observers of a group, which are the gateways of its upstreams, poll the upstreams
// and request each other's suspicions. Every other instance requests the view of one
// observer, and changes to the next when that one does not answer. An observer reports
// only statuses that it has polled itself, so no report circulates between instances.

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
	// busyRequestInterval is the time between two requests for the view of a group that
	// was used within busyPeriod, and idleRequestInterval that for any other group.
	busyRequestInterval = 200 * time.Millisecond
	idleRequestInterval = 2 * time.Second
	busyPeriod          = 10 * time.Second
	// meanServiceTime is the time that a queued statement is expected to add to the
	// wait at an upstream.
	meanServiceTime = 2 * time.Millisecond
	// requestsPerSecond bounds an instance's requests for views of groups that it does
	// not observe. A request and its response take about 250 bytes, so these requests
	// take 5 KB/s of the 8 KB/s that control traffic may use.
	requestsPerSecond = 20
	// maxWarmGroups is the number of configured groups up to which the views of all of
	// them are kept up to date, so that the first statement for a group does not wait.
	maxWarmGroups = 16
	// ackTimeout bounds the wait for an acknowledgement. It is longer than a promotion
	// usually takes, but short enough that no caller waits for a lost majority.
	ackTimeout = 3 * time.Second
)

// group is the state of one database group at this instance.
type group struct {
	name         string
	upstreams    []config.Upstream
	coordinator  *failover.Coordinator
	detector     *failover.Detector
	acks         failover.AckTracker
	route        *route.Group
	polled       map[string]failover.UpstreamResult // the newest results of own polls, by upstream
	queueLengths map[string]int                     // of the gateways at this instance, by upstream
	observers    []string
	isObserver   bool
	version      uint64 // of the recorded state in the store, 0 if none is known
	lastUsed     time.Time
	lastRequest  time.Time // when views were last requested
	nextObserver int       // index in observers of the one to ask next
	active       bool      // in Node.activeGroups
	answered     bool      // the observer that was asked last has answered; it is then asked again
	lastWriteID  uint64
}

func (n *Node) newGroup(name string) *group {
	return &group{
		name: name,
		coordinator: failover.NewCoordinator(failover.Options{
			Self: n.self.Address, Incarnation: n.self.ID(), Timing: failover.DefaultTiming, Seed: n.newSeed(),
		}),
		detector:     failover.NewDetector(n.self.Address, n.self.Domain, failover.DefaultTiming),
		route:        route.NewGroup(meanServiceTime),
		polled:       make(map[string]failover.UpstreamResult),
		queueLengths: make(map[string]int),
	}
}

// configure sets the group's upstreams from the configuration.
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
	g.coordinator.SetMembers(members)
	g.detector.SetMembers(names)
	g.route.SetMembers(views)
	for _, m := range members {
		g.route.SetServing(now, m.Name, m.Eligible)
	}
	return g.applyState(now)
}

// setObservers sets the group's observers from the view of the fleet.
func (g *group) setObservers(self string, v cluster.View) {
	g.observers = v.GroupObservers(g.name, g.upstreams)
	g.isObserver = slices.Contains(g.observers, self)
}

// tick performs the work that is due for the group, except requests for views.
func (g *group) tick(now time.Time, self string) Effects {
	var e Effects
	if g.isObserver {
		e.merge(g.failoverEffects(g.detector.Tick(now)))
		e.merge(g.failoverEffects(g.coordinator.SetActive(now, g.detector.IsCoordinator(now, g.observers))))
		e.merge(g.failoverEffects(g.coordinator.Tick(now, g.detector.Verdict(now))))
	} else {
		e.merge(g.failoverEffects(g.coordinator.SetActive(now, false)))
	}
	e.merge(g.applyState(now))
	e.merge(g.resolvedEffects(g.acks.Tick(now)))
	return e
}

// placeRoles sets the observers of all groups and the list of active groups. It runs
// only when the view of the fleet has changed, since it scores every instance for
// every upstream.
func (n *Node) placeRoles() {
	n.activeGroups = n.activeGroups[:0]
	warm := len(n.groups) <= maxWarmGroups
	for _, name := range slices.Sorted(maps.Keys(n.groups)) {
		g := n.groups[name]
		g.setObservers(n.self.Address, n.view)
		g.active = warm || g.active || g.isObserver
		if g.active {
			n.activeGroups = append(n.activeGroups, g)
		}
	}
}

// activate adds a group to those that Tick updates.
func (n *Node) activate(g *group) {
	if g.active {
		return
	}
	g.active = true
	i, _ := slices.BinarySearchFunc(n.activeGroups, g.name, func(a *group, name string) int { return cmp.Compare(a.name, name) })
	n.activeGroups = slices.Insert(n.activeGroups, i, g)
}

// tickGroups updates the active groups. A group that is no longer observed or used
// becomes inactive and costs nothing from then on. One budget bounds the instance's
// requests for views, so the traffic does not grow with the number of groups in use;
// the views get older instead, and more reads go to primaries.
func (n *Node) tickGroups(now time.Time) Effects {
	var e Effects
	n.requestBudget.refill(now)
	warm := len(n.groups) <= maxWarmGroups
	keep := n.activeGroups[:0]
	for _, g := range n.activeGroups {
		e.merge(n.addressMessages(g.tick(now, n.self.Address)))
		pending, _ := g.acks.Pending()
		g.active = warm || g.isObserver || pending > 0 || now.Sub(g.lastUsed) < busyPeriod
		if g.active {
			keep = append(keep, g)
		}
	}
	clear(n.activeGroups[len(keep):])
	n.activeGroups = keep
	for i := range n.activeGroups {
		g := n.activeGroups[(n.requestBudget.firstTurn+i)%len(n.activeGroups)]
		e.merge(g.dueRequests(now, n.self.Address, &n.requestBudget))
	}
	if len(n.activeGroups) > 0 {
		n.requestBudget.firstTurn = (n.requestBudget.firstTurn + 1) % len(n.activeGroups)
	}
	return e
}

// requestBudget limits the requests for views of groups to requestsPerSecond.
type requestBudget struct {
	refilledAt time.Time
	credit     float64
	firstTurn  int // index in Node.activeGroups of the group that may spend first
}

func (b *requestBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.credit += requestsPerSecond * now.Sub(b.refilledAt).Seconds()
	}
	b.credit = min(b.credit, requestsPerSecond)
	b.refilledAt = now
}

func (b *requestBudget) spend() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// dueRequests returns the requests for views that are due. An observer of the group
// asks all other observers, and any other instance asks a single observer.
func (g *group) dueRequests(now time.Time, self string, budget *requestBudget) Effects {
	var e Effects
	interval := idleRequestInterval
	switch {
	case g.isObserver:
		interval = failover.DefaultTiming.PollInterval
	case now.Sub(g.lastUsed) < busyPeriod:
		interval = busyRequestInterval
	}
	if now.Sub(g.lastRequest) < interval || !g.isObserver && !budget.spend() {
		return e
	}
	g.lastRequest = now
	if g.isObserver {
		for _, o := range g.observers {
			if o != self {
				e.Messages = append(e.Messages, Message{To: o, GroupRequest: &GroupRequest{Group: g.name}})
			}
		}
		return e
	}
	if len(g.observers) > 0 {
		if !g.answered {
			g.nextObserver++
		}
		g.answered = false
		g.nextObserver %= len(g.observers)
		e.Messages = append(e.Messages, Message{To: g.observers[g.nextObserver], GroupRequest: &GroupRequest{Group: g.name}})
	}
	return e
}

// failoverEffects converts requests of the detector and the coordinator to effects, by
// their receivers.
func (g *group) failoverEffects(list []failover.Request) Effects {
	var e Effects
	for _, r := range list {
		switch r.Kind {
		case failover.KindDrain, failover.KindRelease:
			e.Messages = append(e.Messages, Message{Gateway: &GatewayCall{Group: g.name, Request: r}})
		case failover.KindAnnounce:
			e.Messages = append(e.Messages, Message{Announce: &Announcement{Group: g.name, Version: g.version, State: r.Group}})
		default:
			e.GroupCalls = append(e.GroupCalls, GroupCall{Group: g.name, Request: r})
		}
	}
	return e
}

// applyState passes the group's recorded state to all parts.
func (g *group) applyState(now time.Time) Effects {
	state, version, ok := g.coordinator.Group()
	if !ok {
		return Effects{}
	}
	var e Effects
	if version != g.version {
		g.version = version
		e.ChangedGroups = append(e.ChangedGroups, g.name)
	}
	g.detector.SetGroup(now, state.Term, state.Primary)
	names := make([]string, len(g.upstreams))
	for i, u := range g.upstreams {
		names[i] = u.Name
	}
	g.route.SetLeadership(state.Term, state.Primary, state.History)
	e.merge(g.resolvedEffects(g.acks.SetGroup(state.Term, state.Primary, names)))
	return e
}

// resolvedEffects converts writes whose outcome is decided to effects.
func (g *group) resolvedEffects(list []failover.ResolvedWrite) Effects {
	var e Effects
	for _, w := range list {
		e.ResolvedWrites = append(e.ResolvedWrites, ResolvedWrite{Group: g.name, ResolvedWrite: w})
	}
	return e
}

// handleUpstreamResult processes the result of a call to an upstream, made by this
// instance or by the upstream's gateway.
func (g *group) handleUpstreamResult(now time.Time, r failover.UpstreamResult) Effects {
	var e Effects
	valid := r.Failure == failover.FailureNone || r.Failure == failover.FailureRefused
	if valid {
		g.detector.HandleUpstream(r)
		e.merge(g.resolvedEffects(g.acks.HandleStatus(r.Upstream, r.Status)))
	}
	if r.Kind != failover.KindDrain && r.Kind != failover.KindRelease {
		if old, ok := g.polled[r.Upstream]; !ok || r.Begun.After(old.Begun) {
			g.polled[r.Upstream] = r
		}
		g.route.AddReport(routeReport(r))
		e.ChangedGroups = append(e.ChangedGroups, g.name)
	}
	e.merge(g.failoverEffects(g.coordinator.HandleUpstream(now, r)))
	e.merge(g.applyState(now))
	return e
}

func routeReport(r failover.UpstreamResult) route.Report {
	return route.Report{
		Upstream: r.Upstream,
		Begun:    r.Begun,
		Lost:     r.Failure == failover.FailureLost,
		Primary:  r.Status.Role == failover.RolePrimary,
		Fenced:   r.Status.Fenced,
		Position: r.Status.Position,
	}
}

// view returns the response to another instance's GroupRequest.
func (g *group) view(now time.Time) GroupView {
	var v GroupView
	v.State, v.Version, v.Known = g.coordinator.Group()
	v.Observer = g.isObserver
	if !g.isObserver {
		return v
	}
	v.Suspicion = g.detector.OwnSuspicion(now)
	for _, u := range g.upstreams {
		r, ok := g.polled[u.Name]
		if !ok {
			continue
		}
		v.Seen = append(v.Seen, RelayedStatus{
			Upstream: u.Name,
			Age:      now.Sub(r.Begun),
			Lost:     r.Failure == failover.FailureLost,
			Primary:  r.Status.Role == failover.RolePrimary,
			Fenced:   r.Status.Fenced,
			Position: r.Status.Position,
			Queue:    g.queueLengths[u.Name],
		})
	}
	return v
}

// handleView processes an observer's view. The ages in it are counted back from the time
// at which the request was sent, so they can only be overstated.
func (g *group) handleView(now, sent time.Time, v GroupView) Effects {
	var e Effects
	if v.Known {
		e.merge(g.failoverEffects(g.coordinator.HandleStore(now, failover.StoreResult{
			Kind: failover.KindGet, Version: v.Version, Group: v.State,
		})))
	}
	e.merge(g.applyState(now))
	if !v.Observer {
		return e
	}
	if g.isObserver {
		g.detector.HandleSuspicion(sent, v.Suspicion)
	} else {
		g.answered = true
	}
	for _, s := range v.Seen {
		g.route.AddReport(route.Report{
			Upstream: s.Upstream, Begun: sent.Add(-s.Age), Lost: s.Lost,
			Primary: s.Primary, Fenced: s.Fenced, Position: s.Position,
		})
		if _, local := g.queueLengths[s.Upstream]; !local {
			g.route.SetQueueLength(s.Upstream, s.Queue)
		}
	}
	e.ChangedGroups = append(e.ChangedGroups, g.name)
	return e
}

// ChooseUpstream chooses the upstream for a statement of a session. Term is the group's
// recorded term, which the connection to the upstream has to state.
func (n *Node) ChooseUpstream(now time.Time, name string, r route.Request) (d route.Decision, term uint64) {
	g := n.groups[name]
	if g == nil {
		return route.Decision{Reason: route.ReasonNoPrimary}, 0
	}
	if now.Sub(g.lastUsed) >= busyPeriod {
		g.lastRequest = time.Time{}
	}
	g.lastUsed = now
	n.activate(g)
	state, _, _ := g.coordinator.Group()
	return g.route.Choose(now, r), state.Term
}

// MissingUpstreams returns the names of the upstreams that do not answer, if the others
// are not a majority and this instance observes the group.
func (n *Node) MissingUpstreams(now time.Time, name string) []string {
	if g := n.groups[name]; g != nil && g.isObserver {
		return g.detector.MissingUpstreams(now)
	}
	return nil
}

// TimeSinceAnswer returns the time since an upstream of a group last answered a poll, or
// 0 if this instance does not observe the group.
func (n *Node) TimeSinceAnswer(now time.Time, name, upstream string) time.Duration {
	if g := n.groups[name]; g != nil && g.isObserver {
		return g.detector.TimeSinceAnswer(now, upstream)
	}
	return 0
}

// AddWrite registers a write that the primary has executed at the position. The answer
// to the statement counts as the primary's own status. The outcome follows in
// Effects.ResolvedWrites, with the returned ID.
func (n *Node) AddWrite(now time.Time, name, upstream string, p wal.Position) (uint64, Effects) {
	g := n.groups[name]
	if g == nil {
		return 0, Effects{}
	}
	n.activate(g)
	g.lastWriteID++
	id := g.lastWriteID
	e := g.resolvedEffects(g.acks.Add(failover.Write{ID: id, Position: p, Deadline: now.Add(ackTimeout)}))
	e.merge(g.resolvedEffects(g.acks.HandleStatus(upstream, failover.Status{Role: failover.RolePrimary, Fenced: p.Term, Position: p})))
	return id, e
}

// PendingWrites returns the number of writes of a group that wait for their
// acknowledgement, and the highest offset among them.
func (n *Node) PendingWrites(name string) (int, uint64) {
	if g := n.groups[name]; g != nil {
		return g.acks.Pending()
	}
	return 0, 0
}

// SetQueueLength sets the number of statements that wait or run at this instance's
// gateway of an upstream.
func (n *Node) SetQueueLength(name, upstream string, statements int) {
	if g := n.groups[name]; g != nil {
		g.queueLengths[upstream] = statements
		g.route.SetQueueLength(upstream, statements)
	}
}

// GroupState returns a group's recorded state and the version of its object in the
// store, or false if the state is not known.
func (n *Node) GroupState(name string) (failover.Group, uint64, bool) {
	if g := n.groups[name]; g != nil {
		return g.coordinator.Group()
	}
	return failover.Group{}, 0, false
}

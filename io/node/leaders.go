package node

// Leaders: which upstream of each group is the primary, what proves it, and the change to
// another one. What an instance believes only decides where it sends; the upstream
// refuses what only a primary may run.

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/core/placement"
	"burdockseam/core/route"
	"burdockseam/core/wal"
	"burdockseam/io/gateway"
)

const (
	// watchLeader is the time without evidence after which the acting instance looks at
	// the primary itself.
	watchLeader = 300 * time.Millisecond
	// probeTimeout bounds one look at an upstream.
	probeTimeout = 350 * time.Millisecond
	// witnesses is the number of other instances that are asked before a primary counts
	// as lost.
	witnesses = 4
	// suspectEvery bounds how often an instance reports the same primary.
	suspectEvery = 200 * time.Millisecond
	// stallAfter is the time without any acknowledged commit after which commits that got
	// no answer count as stalled, and stallCount their number.
	stallAfter = 700 * time.Millisecond
	stallCount = 2
	// commitRecent is the age of a commit elsewhere that contradicts a stall.
	commitRecent = 600 * time.Millisecond
	// promotionTime is the time for which a promoted upstream may still refuse to lead.
	promotionTime = 2500 * time.Millisecond
	// refusedPause is the time between two tries at a primary that does not lead yet.
	refusedPause = 40 * time.Millisecond
	// absentAfter is the time without a known primary after which one is promoted.
	absentAfter = 1200 * time.Millisecond
	// tickIdle and tickBusy are the times between two steps, without and with a change of
	// a primary under way.
	tickIdle = 250 * time.Millisecond
	tickBusy = 30 * time.Millisecond
	// plannedRetry is the time between two attempts at a planned change.
	plannedRetry = 500 * time.Millisecond
	// pauseTimeout bounds a control statement, and orderTimeout an order.
	pauseTimeout = 400 * time.Millisecond
	orderTimeout = time.Second
)

// group is what an instance believes about a group.
type group struct {
	name     string
	leader   string
	since    time.Time // when leader was last set
	promoted time.Time // when it was promoted, if that is known
	notAsk   time.Time // no statement is sent to the leader before
	roles    map[string]bool
	denied   map[string]uint64 // revisions of entries of upstreams that refused to lead
	floors   route.Floors
	proved   time.Time // newest evidence
	commit   time.Time // newest acknowledged commit
	stalls   int
	stalled  time.Time // first commit without an answer since
	reported time.Time

	acts      bool // this instance acts for the group
	change    *failover.Ordered
	prober    gateway.Conn
	probing   bool
	checking  bool
	tried     time.Time // last planned attempt
	missing   time.Time // since when no primary is known
	locating  bool
	nonce     uint64
	ordered   time.Time
	lastPhase failover.Phase
}

type leaders struct {
	n      *Node
	mu     sync.Mutex
	groups map[string]*group
	kick   chan struct{}
}

func newLeaders(n *Node) *leaders {
	return &leaders{n: n, groups: make(map[string]*group), kick: make(chan struct{}, 1)}
}

func (l *leaders) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// group returns a group's entry. The lock is held.
func (l *leaders) group(name string) *group {
	g := l.groups[name]
	if g == nil {
		g = &group{name: name, roles: make(map[string]bool), denied: make(map[string]uint64), change: failover.NewOrdered(), missing: l.n.now()}
		l.groups[name] = g
	}
	return g
}

// leader returns the upstream that is asked as the primary, or "".
func (l *leaders) leader(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(name)
	if l.n.now().Before(g.notAsk) {
		return ""
	}
	return g.leader
}

// leads reports whether an upstream is believed to be the primary.
func (l *leaders) leads(name, upstream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group(name).leader == upstream
}

// floor returns a position that proves reads behind it to be no older than since.
func (l *leaders) floor(name string, since time.Time) (wal.Position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group(name).floors.Oldest(since)
}

// set changes the belief. The lock is held.
func (l *leaders) set(g *group, upstream, why string) {
	if g.leader == upstream {
		return
	}
	l.n.log.Info("group: primary", "group", g.name, "primary", upstream, "before", g.leader, "why", why, "proved", age(l.n.now(), g.proved))
	g.leader, g.since = upstream, l.n.now()
	g.stalls, g.missing = 0, time.Time{}
	if upstream == "" {
		g.missing = l.n.now()
	}
}

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// configure takes in the registry. An upstream that begins to call itself the primary is
// believed until it refuses.
func (l *leaders) configure(s *snapshot) {
	l.mu.Lock()
	for name := range s.policy.Groups {
		g := l.group(name)
		var newest *upstream
		present := make(map[string]bool)
		for _, u := range s.groups[name] {
			present[u.Name] = true
			if was := g.roles[u.Name]; u.Leads && !was && g.denied[u.Name] < u.changed && (newest == nil || u.changed > newest.changed) {
				newest = u
			}
			g.roles[u.Name] = u.Leads
		}
		for id := range g.roles {
			if !present[id] {
				delete(g.roles, id)
				delete(g.denied, id)
			}
		}
		if newest != nil {
			l.set(g, newest.Name, "registry")
		}
		if g.leader != "" && !present[g.leader] {
			l.set(g, "", "gone from the registry")
		}
		l.members(g, s)
	}
	l.mu.Unlock()
	l.wake()
}

// members tells the change who belongs to the group. The lock is held.
func (l *leaders) members(g *group, s *snapshot) {
	list := make([]failover.Candidate, 0, len(s.groups[g.name]))
	home := l.n.settings.Place(l.n.self.Domain)
	for _, u := range s.groups[g.name] {
		list = append(list, failover.Candidate{Upstream: u.Name, Unfit: !u.fit, Distance: home.Distance(u.place)})
	}
	term := uint64(0)
	if last, ok := g.floors.Last(); ok {
		term = last.Term
	}
	g.change.Members(g.leader, term, list)
}

// proved takes in evidence that an upstream led at the given time or later.
func (l *leaders) proved(name, upstream string, at time.Time, p wal.Position, now time.Time, commit bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(name)
	if g.leader != upstream && at.After(g.since) {
		l.set(g, upstream, "proved")
	}
	g.floors.Add(at, p)
	if g.leader == upstream {
		if at.After(g.proved) {
			g.proved = at
		}
		g.notAsk = time.Time{}
		if commit {
			g.commit, g.stalls = now, 0
		}
		if g.acts {
			g.change.Recovered(now, upstream)
		}
	}
}

// refused takes in that an upstream did not accept what only a primary may run.
func (l *leaders) refused(u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(u.Group)
	if g.leader != u.Name {
		return
	}
	now := l.n.now()
	if now.Sub(g.promoted) < promotionTime {
		g.notAsk = now.Add(refusedPause)
		return
	}
	g.denied[u.Name] = u.changed
	next := ""
	var changed uint64
	for _, o := range l.n.snapshot.Load().groups[u.Group] {
		if o.Leads && o.changed > g.denied[o.Name] && o.changed > changed {
			next, changed = o.Name, o.changed
		}
	}
	l.set(g, next, "refused by "+u.Name)
	if next == "" {
		go l.locate(u.Group)
	}
}

// locate asks the upstreams of a group which of them leads.
func (l *leaders) locate(name string) {
	l.mu.Lock()
	g := l.group(name)
	if g.locating {
		l.mu.Unlock()
		return
	}
	g.locating = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		g.locating = false
		l.mu.Unlock()
	}()
	for _, u := range l.n.snapshot.Load().groups[name] {
		t := l.target(u)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		sent := l.n.now()
		leads, position, err := l.n.platform.Controls.Leads(ctx, t)
		cancel()
		if err == nil && leads {
			l.proved(name, u.Name, sent, position, l.n.now(), false)
			l.n.wake()
			return
		}
	}
}

// promoted takes in the news of a promotion.
func (l *leaders) promoted(name, upstream string) {
	l.mu.Lock()
	g := l.group(name)
	l.set(g, upstream, "promoted")
	g.promoted = l.n.now()
	delete(g.denied, upstream)
	l.mu.Unlock()
	l.n.wake()
	l.wake()
}

// unreachable takes in that a gateway could not reach an upstream.
func (l *leaders) unreachable(u *upstream) { l.report(u, "unreachable") }

// stalled takes in that a commit or a write got no answer.
func (l *leaders) stalled(u *upstream, began, now time.Time) {
	l.mu.Lock()
	g := l.group(u.Group)
	if g.leader != u.Name || g.commit.After(began) {
		l.mu.Unlock()
		return
	}
	if g.stalls == 0 {
		g.stalled = began
	}
	g.stalls++
	stalled := g.stalls >= stallCount && now.Sub(g.stalled) >= stallAfter
	l.mu.Unlock()
	if stalled {
		l.report(u, "commits without an answer")
	}
}

// report tells the acting instance about a primary.
func (l *leaders) report(u *upstream, reason string) {
	l.mu.Lock()
	g := l.group(u.Group)
	now := l.n.now()
	if g.leader != u.Name || now.Sub(g.reported) < suspectEvery {
		l.mu.Unlock()
		return
	}
	g.reported = now
	l.mu.Unlock()
	acting := l.n.acting(u.Group)
	if acting.Address == l.n.self.Address {
		l.suspect(u.Group, u.Name, reason)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := l.n.peers.Call(ctx, acting.Address, "Node.Suspect", SuspectNote{u.Group, u.Name, reason}, &None{}); err != nil {
			l.n.unanswered(acting.Address, err)
		}
	}()
}

// target describes an upstream for control statements.
func (l *leaders) target(u *upstream) failover.Target {
	team := ""
	for name := range l.n.snapshot.Load().policy.Teams {
		if team == "" || name < team {
			team = name
		}
	}
	return failover.Target{Group: u.Group, Upstream: u.Name, Address: u.Address, Team: team}
}

// probeFor looks at an upstream for another instance.
func (l *leaders) probeFor(t failover.Target) ProbeReply {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	leads, _, err := l.n.platform.Controls.Leads(ctx, t)
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(t.Group)
	return ProbeReply{Reached: err == nil || refusedBy(err), Leads: leads, Commit: l.n.now().Sub(g.commit), Known: !g.commit.IsZero()}
}

// refusedBy reports whether an error is an answer of the upstream.
func refusedBy(err error) bool {
	var r gateway.Refused
	return errors.As(err, &r) && r.Code != "misrouted"
}

// suspect checks a primary that was reported as lost, with the help of other instances,
// and begins a change if most of them do not reach it or see no commits.
func (l *leaders) suspect(name, upstream, reason string) {
	u := l.n.snapshot.Load().upstreams[upstream]
	l.mu.Lock()
	g := l.group(name)
	if !g.acts || g.checking || u == nil || g.leader != upstream || g.change.Phase() != failover.PhaseIdle {
		l.mu.Unlock()
		return
	}
	g.checking = true
	l.mu.Unlock()
	go func() {
		lost, votes := l.vote(l.target(u), reason)
		l.mu.Lock()
		defer l.mu.Unlock()
		g.checking = false
		l.n.log.Info("group: primary checked", "group", name, "primary", upstream, "why", reason, "lost", lost, "votes", votes)
		if 2*lost > votes && g.leader == upstream {
			l.begin(g, false, reason)
		}
	}()
}

// vote asks this and other instances about an upstream.
func (l *leaders) vote(t failover.Target, reason string) (lost, votes int) {
	addresses := l.witnesses(t.Group)
	replies := make(chan *ProbeReply, len(addresses)+1)
	go func() { r := l.probeFor(t); replies <- &r }()
	for _, address := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+pingTimeout/4)
			defer cancel()
			var r ProbeReply
			if err := l.n.peers.Call(ctx, address, "Node.Probe", t, &r); err != nil {
				l.n.unanswered(address, err)
				replies <- nil
				return
			}
			replies <- &r
		}()
	}
	others := 0
	for k := range len(addresses) + 1 {
		r := <-replies
		if r == nil {
			continue
		}
		votes++
		others += min(k, 1)
		switch {
		case reason == "unreachable" && !r.Reached, reason != "unreachable" && (!r.Known || r.Commit > commitRecent):
			lost++
		}
	}
	if reason != "unreachable" && lost < votes {
		lost = 0 // a commit anywhere shows that commits are acknowledged
	}
	if len(l.n.snapshot.Load().instances) > 1 && votes < 2 {
		return 0, votes // alone, this instance may be the one that is cut off
	}
	return lost, votes
}

// witnesses chooses instances of as many failure domains as possible.
func (l *leaders) witnesses(key string) []string {
	alive := make(map[string]bool)
	for _, address := range l.n.others() {
		alive[address] = true
	}
	var out, rest []string
	seen := make(map[string]bool)
	for _, i := range placement.Rank(key, placement.Place{}, l.n.snapshot.Load().instances) {
		switch {
		case !alive[i.Address]:
		case seen[i.Domain]:
			rest = append(rest, i.Address)
		default:
			seen[i.Domain] = true
			out = append(out, i.Address)
		}
	}
	out = append(out, rest...)
	return out[:min(len(out), witnesses)]
}

// begin starts a change of the primary. The lock is held.
func (l *leaders) begin(g *group, planned bool, reason string) {
	s := l.n.snapshot.Load()
	l.members(g, s)
	if g.change.Start(l.n.now(), planned, reason) {
		g.ordered = l.n.now()
		l.n.log.Info("group: change of primary begins", "group", g.name, "primary", g.leader, "planned", planned, "why", reason, "upstreams", len(s.groups[g.name]))
		l.n.metrics.count("burdockseam_promotions_total{step=\"begun\"}")
		l.wake()
	}
}

// run watches the groups for which this instance acts until the context ends.
func (l *leaders) run(ctx context.Context) {
	for ctx.Err() == nil {
		busy := false
		for _, name := range l.names() {
			busy = l.step(ctx, name) || busy
		}
		d := tickIdle
		if busy {
			d = tickBusy
		}
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-l.kick:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (l *leaders) names() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]string, 0, len(l.groups))
	for name := range l.groups {
		out = append(out, name)
	}
	return out
}

// step moves one group on and reports whether a change is under way.
func (l *leaders) step(ctx context.Context, name string) bool {
	acting := l.n.acting(name).Address == l.n.self.Address && l.n.ready.Load()
	s := l.n.snapshot.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(name)
	if acting != g.acts {
		g.acts = acting
		l.n.log.Info("group: acting instance", "group", name, "acts", acting)
	}
	if !acting && g.change.Phase() == failover.PhaseIdle || len(s.groups[name]) == 0 {
		return false
	}
	now := l.n.now()
	l.members(g, s)
	switch g.change.Phase() {
	case failover.PhaseIdle:
		l.look(ctx, g, s, now)
	case failover.PhaseSurvey:
		if u := s.upstreams[g.leader]; u != nil && !g.probing && now.Sub(g.proved) >= watchLeader {
			g.probing = true
			go l.probe(ctx, g, u)
		}
	}
	for _, c := range g.change.Tick(now) {
		go l.perform(ctx, g, c)
	}
	if p := g.change.Phase(); p != g.lastPhase {
		l.n.log.Info("group: change of primary", "group", name, "phase", p, "target", g.change.Target(), "took", now.Sub(g.ordered))
		g.lastPhase = p
	}
	return g.change.Phase() != failover.PhaseIdle
}

// look decides whether the primary needs a look or a change. The lock is held.
func (l *leaders) look(ctx context.Context, g *group, s *snapshot, now time.Time) {
	u := s.upstreams[g.leader]
	switch {
	case u == nil:
		if now.Sub(g.missing) >= absentAfter {
			g.missing = now
			go l.absent(g)
		}
	case !u.fit && now.Sub(g.tried) >= plannedRetry:
		g.tried = now
		why := "primary is leaving"
		if u.State == config.StateActive {
			why = "failure domain is out"
		}
		l.begin(g, true, why)
	case now.Sub(g.proved) >= watchLeader && !g.probing && now.Sub(g.promoted) >= promotionTime/4:
		g.probing = true
		go l.probe(ctx, g, u)
	}
}

// absent promotes an upstream of a group in which none leads.
func (l *leaders) absent(g *group) {
	l.locate(g.name)
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.leader == "" {
		l.begin(g, false, "no primary")
	}
}

// probe looks at the primary over a connection of its own.
func (l *leaders) probe(ctx context.Context, g *group, u *upstream) {
	err := l.tryProbe(ctx, g, u)
	if err != nil {
		// A connection may have ended for reasons of its own.
		err = l.tryProbe(ctx, g, u)
	}
	l.mu.Lock()
	g.probing = false
	l.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		l.n.log.Info("group: primary does not answer", "group", g.name, "primary", u.Name, "err", err.Error())
		l.suspect(g.name, u.Name, "unreachable")
	}
}

func (l *leaders) tryProbe(ctx context.Context, g *group, u *upstream) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	t := l.target(u)
	l.mu.Lock()
	c := g.prober
	g.prober = nil
	l.mu.Unlock()
	if c != nil && !c.Usable() {
		c.Close()
		c = nil
	}
	if c == nil {
		var err error
		if c, err = l.n.platform.Dialer.Dial(ctx, t.Address, t.Group, t.Team, t.Upstream); err != nil {
			if refusedBy(err) {
				return nil
			}
			return err
		}
	}
	sent := l.n.now()
	deadline := sent.Add(probeTimeout)
	a, err := c.Begin(deadline, false, wal.Position{})
	if err != nil {
		c.Close()
		return err
	}
	if a.Code != "" {
		c.Close()
		if a.Code == "readonly" {
			l.refused(u)
		}
		return nil
	}
	l.proved(g.name, u.Name, sent, a.Position, l.n.now(), false)
	if _, err := c.Rollback(deadline); err != nil {
		c.Close()
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.leader != u.Name || g.prober != nil {
		c.Close()
		return nil
	}
	g.prober = c
	return nil
}

// perform carries out a command of a change and feeds the result back.
func (l *leaders) perform(ctx context.Context, g *group, c failover.Command) {
	u := l.n.snapshot.Load().upstreams[c.Upstream]
	sent := l.n.now()
	switch c.Action {
	case failover.ActionDraw:
		l.draw(ctx, g)
	case failover.ActionHold, failover.ActionFree:
		running := l.hold(ctx, u, c.Action == failover.ActionHold)
		l.feed(func(now time.Time) { g.change.Held(now, running) })
	case failover.ActionPause:
		if u == nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, pauseTimeout)
		defer cancel()
		s, err := l.n.platform.Controls.Pause(ctx, l.target(u), c.Term)
		l.n.log.Info("group: replica paused", "group", g.name, "upstream", c.Upstream, "term", c.Term, "received", s.Received.String(), "primary", s.Primary, "err", text(err))
		l.feed(func(now time.Time) { g.change.Paused(now, sent, c.Upstream, s, err) })
	case failover.ActionList:
		l.list(ctx)
		l.feed(func(now time.Time) {
			l.members(g, l.n.snapshot.Load())
			g.change.Listed(now)
		})
	case failover.ActionOrder:
		l.order(ctx, g, c)
	case failover.ActionSurvey:
		if u == nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, pauseTimeout)
		defer cancel()
		leads, position, err := l.n.platform.Controls.Leads(ctx, l.target(u))
		if refusedBy(err) {
			err = nil // it is there
		}
		if leads {
			l.proved(g.name, u.Name, sent, position, l.n.now(), false)
		}
		l.n.log.Info("group: replica asked", "group", g.name, "upstream", c.Upstream, "leads", leads, "err", text(err))
		l.feed(func(now time.Time) { g.change.Surveyed(now, sent, c.Upstream, leads, err) })
	}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// feed hands a result to a change.
func (l *leaders) feed(f func(now time.Time)) {
	l.mu.Lock()
	f(l.n.now())
	l.mu.Unlock()
	l.wake()
}

// order orders a promotion and tells the others about it.
func (l *leaders) order(ctx context.Context, g *group, c failover.Command) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	response, err := l.n.platform.Promoter.Promote(call, g.name, c.Upstream, l.n.settings.Name, c.Token)
	cancel()
	l.n.log.Info("group: promotion ordered", "group", g.name, "upstream", c.Upstream, "token", c.Token, "response", response, "err", text(err))
	leader := ""
	l.feed(func(now time.Time) {
		var out []failover.Command
		if leader, out = g.change.Answered(now, c, response); leader != "" {
			l.n.log.Info("group: change of primary over", "group", g.name, "primary", leader, "why", g.change.Reason(), "took", now.Sub(g.ordered))
		}
		for _, c := range out {
			go l.perform(ctx, g, c)
		}
	})
	if leader != "" {
		l.n.metrics.count("burdockseam_promotions_total{step=\"done\"}")
		l.promoted(g.name, leader)
		l.n.broadcast(ctx, "Node.Lead", LeadNote{g.name, leader})
	}
}

// hold stops or resumes new work at an upstream's gateways.
func (l *leaders) hold(ctx context.Context, u *upstream, held bool) int {
	if u == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, pauseTimeout/2)
	defer cancel()
	note := HoldNote{u.Name, held}
	running := l.n.gateways.Hold(u.Name, held)
	list := l.n.snapshot.Load().ranked(u)
	for _, i := range list[:min(len(list), 3)] {
		if i.Address == l.n.self.Address {
			continue
		}
		var r HoldReply
		if err := l.n.peers.Call(ctx, i.Address, "Node.Hold", note, &r); err != nil {
			l.n.unanswered(i.Address, err)
			continue
		}
		running += r.Running
	}
	return running
}

// list reads the registry from the store.
func (l *leaders) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pauseTimeout)
	defer cancel()
	objects, revision, err := l.n.platform.Store.List(ctx, KindUpstream)
	if err != nil {
		l.n.log.Info("group: registry not read before the order", "err", err.Error())
		return
	}
	t := Table{Kind: KindUpstream, Revision: revision, Objects: make(map[string]Object, len(objects))}
	for _, o := range objects {
		t.Objects[o.Name] = o
	}
	l.n.tables.install(t)
}

// token is the content of the object from which a group's tokens are drawn.
type token struct {
	Token  uint64 `json:"token"`
	Holder string `json:"holder"`
	// Nonce tells the draws of a holder apart, so that a draw whose answer was lost can be
	// recognized.
	Nonce uint64 `json:"nonce"`
}

// draw draws the next token of a group by a conditional update.
func (l *leaders) draw(ctx context.Context, g *group) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := l.n.platform.Store
	l.mu.Lock()
	if g.change.Drawn() {
		l.mu.Unlock()
		return
	}
	g.nonce++
	next := token{Holder: l.n.self.ID, Nonce: g.nonce}
	l.mu.Unlock()
	present, err := store.Get(ctx, KindPromotion, g.name)
	var before token
	if err == nil {
		if err = json.Unmarshal(present.Data, &before); err != nil {
			l.n.log.Info("group: token not understood", "group", g.name, "err", err.Error())
			return
		}
	}
	if err != nil && !errors.Is(err, ErrMissing) {
		l.n.log.Info("group: no token drawn", "group", g.name, "err", err.Error())
		return
	}
	next.Token = before.Token + 1
	data, err := json.Marshal(next)
	if err != nil {
		l.n.log.Error(err, "group: no token drawn", "group", g.name)
		return
	}
	o := Object{Name: g.name, Revision: present.Revision, Data: data}
	if present.Revision == 0 {
		_, err = store.Create(ctx, KindPromotion, o)
	} else {
		_, err = store.Replace(ctx, KindPromotion, o)
	}
	if err != nil {
		l.n.log.Info("group: no token drawn", "group", g.name, "err", err.Error())
		if errors.Is(err, ErrConflict) || !l.drew(ctx, g, next) {
			return
		}
	}
	l.n.log.Info("group: token drawn", "group", g.name, "token", next.Token)
	l.feed(func(time.Time) { g.change.Drew(next.Token) })
}

// drew reads whether a draw without an answer has taken effect.
func (l *leaders) drew(ctx context.Context, g *group, want token) bool {
	o, err := l.n.platform.Store.Get(ctx, KindPromotion, g.name)
	if err != nil {
		return false
	}
	var have token
	return json.Unmarshal(o.Data, &have) == nil && have == want
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

package node

// Leaders: which upstream of each group is the primary, what proves it, and the change to
// another one. What an instance believes only decides where it sends; the upstream
// refuses what only a primary may run.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"burdockseam/core/failover"
	"burdockseam/core/route"
	"burdockseam/core/wal"
	"burdockseam/io/gateway"
)

const (
	// fetchWait bounds the wait of a read for a floor: a round trip between regions, with
	// room for a busy instance.
	fetchWait = 80 * time.Millisecond
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

// Why a primary is reported.
const (
	reasonUnreachable = "unreachable"
	reasonStalled     = "commits without an answer"
)

// group is what an instance believes about a group.
type group struct {
	name     string
	leader   string
	since    time.Time // when leader was last set
	promoted time.Time // when it was promoted, if that is known
	notAsk   time.Time // no statement is sent to the leader before
	keep     KeepNote  // the newest promotion that is known to be ordered
	keepAt   time.Time // when that became known
	roles    map[string]bool
	denied   map[string]uint64 // revisions of entries of upstreams that refused to lead
	floors   route.Floors
	proved   time.Time // newest evidence
	commit   time.Time // newest acknowledged commit
	stalls   int
	stalled  time.Time // first commit without an answer since
	reported time.Time
	fetching chan struct{} // closed when a floor has arrived; nil if none is asked for

	acts      bool // this instance acts for the group
	change    *failover.OrderedPromotion
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
		g = &group{name: name, roles: make(map[string]bool), denied: make(map[string]uint64), change: failover.NewOrderedPromotion(rand.Uint64()), missing: l.n.now(), lastPhase: failover.PhaseIdle}
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

// floor returns a position that proves reads behind it to be no older than since, and the
// time from which it is.
func (l *leaders) floor(name string, since time.Time) (wal.Position, time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group(name).floors.Oldest(since)
}

// fetch gets a floor from the instance that acts for the group, which has looked at the
// primary a short time ago. Without one, reads that may be old could only go to the
// primary. One fetch a group runs at a time; others wait for it.
func (l *leaders) fetch(ctx context.Context, name string) {
	l.mu.Lock()
	g := l.group(name)
	done := g.fetching
	if done == nil {
		g.fetching = make(chan struct{})
		go l.fetchFrom(g, l.n.acting(name).Address)
		done = g.fetching
	}
	l.mu.Unlock()
	timer := time.NewTimer(fetchWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (l *leaders) fetchFrom(g *group, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*fetchWait)
	defer cancel()
	sent := l.n.now()
	var r FloorReply
	if address != l.n.self.Address {
		if err := l.n.peers.Call(ctx, address, "Node.Floor", FloorAsk{g.name}, &r); err != nil {
			l.n.unanswered(address, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Known {
		g.floors.Add(sent.Add(-r.Age), r.Position)
	}
	close(g.fetching)
	g.fetching = nil
}

// newest returns the newest floor for another instance.
func (l *leaders) newest(name string) FloorReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, at, ok := l.group(name).floors.Last()
	return FloorReply{Known: ok, Position: p, Age: l.n.now().Sub(at)}
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
	home := l.n.settings().Place(l.n.self.Domain)
	for _, u := range s.groups[g.name] {
		list = append(list, failover.Candidate{Upstream: u.Name, Ineligible: !u.fit, Distance: home.Distance(u.place)})
	}
	term := uint64(0)
	if last, _, ok := g.floors.Last(); ok {
		term = last.Term
	}
	g.change.SetMembers(g.leader, term, list)
}

// proved takes in evidence that an upstream led at the given time or later, and whether it
// is an acknowledged commit.
func (l *leaders) proved(name, upstream string, at time.Time, p wal.Position, now time.Time, commit bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(name)
	other := g.leader != upstream
	if other && at.After(g.since) {
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
		g.change.HandlePrimarySeen(now, upstream)
		// A primary that reaches no replica goes on to lead, which is why its commits get no
		// answer. Only one that is acknowledged shows that a change for that is not needed.
		if g.acts && (commit || other || g.change.Reason() != reasonStalled) {
			g.change.HandlePrimaryConfirmed(now, upstream)
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
	g.change.HandlePrimaryConfirmed(g.promoted, upstream)
	delete(g.denied, upstream)
	l.mu.Unlock()
	l.n.wake()
	l.wake()
}

// unreachable takes in that a gateway could not reach an upstream.
func (l *leaders) unreachable(u *upstream) { l.report(u, reasonUnreachable) }

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
		l.report(u, reasonStalled)
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

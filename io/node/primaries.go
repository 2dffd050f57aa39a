package node

// Primaries: which upstream of each group is the primary, the evidence for it, and the
// promotion of another one. An instance's view only decides where it sends statements. It
// may be wrong, because an upstream itself refuses statements that only a primary may run.

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
	// floorTimeout bounds the wait of a read for a floor: a round trip between regions, and
	// some slack for a busy instance.
	floorTimeout = 80 * time.Millisecond
	// primaryProbeAfter is the time without evidence for the primary after which the
	// coordinator probes it.
	primaryProbeAfter = 300 * time.Millisecond
	// probeTimeout bounds one probe of an upstream.
	probeTimeout = 350 * time.Millisecond
	// witnessCount is the number of other instances that are polled before a primary is
	// considered lost.
	witnessCount = 4
	// suspectInterval is the shortest time between two reports of the same primary by an
	// instance.
	suspectInterval = 200 * time.Millisecond
	// stallAfter is the time without any acknowledged commit after which unanswered commits
	// count as a stall, and stallThreshold is the number of unanswered commits that this
	// takes.
	stallAfter     = 700 * time.Millisecond
	stallThreshold = 2
	// recentCommitAge is the highest age of a commit, acknowledged to another instance, that
	// disproves a stall.
	recentCommitAge = 600 * time.Millisecond
	// promotionGrace is the time for which a promoted upstream may still refuse to act as
	// the primary.
	promotionGrace = 2500 * time.Millisecond
	// refusedRetry is the time between two attempts at a promoted upstream that does not act
	// as the primary yet, and at a primary without a free connection.
	refusedRetry = 40 * time.Millisecond
	// missingAfter is the time without a known primary after which an upstream is promoted.
	missingAfter = 1200 * time.Millisecond
	// idleInterval and promotingInterval are the times between two steps of the coordinator,
	// without and with a promotion under way.
	idleInterval      = 250 * time.Millisecond
	promotingInterval = 30 * time.Millisecond
	// switchoverRetry is the time between two attempts at a switchover.
	switchoverRetry = 500 * time.Millisecond
	// controlTimeout bounds a control statement, and orderTimeout an order of a promotion.
	controlTimeout = 400 * time.Millisecond
	orderTimeout   = time.Second
)

// Reasons to report a primary as lost.
const (
	reasonUnreachable = "unreachable"
	reasonStalled     = failover.ReasonUnanswered
)

// group is an instance's view of a group.
type group struct {
	name               string
	primary            string
	primarySince       time.Time        // when primary was last set
	promotedAt         time.Time        // when the primary was promoted, if known
	avoidUntil         time.Time        // no statement is sent to the primary before this time
	pendingPromotion   KeepNotice       // the newest promotion that is known to be ordered
	pendingPromotionAt time.Time        // when pendingPromotion became known
	superseded         string           // former primary that may still accept work; "" if there is none
	announced          KeepNotice       // the newest promotion that this instance has announced
	announcedAt        time.Time        // when it was first announced
	claims             map[string]bool  // whether an upstream reports itself as the primary, by name
	refusedEntries     map[string]Stamp // stamps of the entries of upstreams that refused to act as the primary
	term               uint64           // highest term that the group is known to have had
	floors             route.Floors
	gate               failover.CommitGate // of the commits that pass this instance
	frozen             FreezeRequest       // the newest freeze of the gate
	frozenAt           time.Time           // when it became known
	provedAt           time.Time           // time of the newest evidence for the primary
	lastCommit         time.Time           // time of the newest acknowledged commit
	stalledCommits     int
	stalledSince       time.Time // start of the first commit without an answer since lastCommit
	reportedAt         time.Time
	floorFetched       chan struct{} // closed when a floor has arrived; nil if none was requested

	coordinating     bool // this instance is the group's coordinator
	promotion        *failover.OrderedPromotion
	prober           gateway.Conn // idle connection for probes; nil if there is none
	probing          bool
	pollingWitnesses bool
	lastSwitchover   time.Time // time of the last attempt at a switchover
	missingSince     time.Time // since when no primary is known
	locating         bool      // locatePrimary is running
	locateAgain      bool      // locatePrimary was called while it was running
	claimsUnknown    bool      // an upstream claims to be the primary, and its role is not known
	claimInterval    time.Duration
	nextClaimCheck   time.Time // earliest time of the next probe while claimsUnknown is set
	lastNonce        uint64    // nonce of the last draw of a fencing token
	begunAt          time.Time // start of the promotion under way
	lastPhase        failover.Phase
	waitLoggedAt     time.Time // when it was last logged what the promotion under way waits for
}

// primaries holds the views of all groups, and coordinates promotions in some of them.
type primaries struct {
	n *Node
	// mu is never held while Node.mu is taken, nor the other way round: statements need both.
	mu     sync.Mutex
	groups map[string]*group
	wakeup chan struct{}
	// steppedAt is the time of the loop's last step, and wokeAt the end of the last suspension of the process.
	steppedAt, wokeAt time.Time
	startedAt         time.Time
}

func newPrimaries(n *Node) *primaries {
	return &primaries{n: n, groups: make(map[string]*group), wakeup: make(chan struct{}, 1), startedAt: n.now(), steppedAt: n.now()}
}

// wakeLoop makes the loop in run start its next step now.
func (ps *primaries) wakeLoop() {
	select {
	case ps.wakeup <- struct{}{}:
	default:
	}
}

// group returns the view of a group, and creates it if needed. The caller holds the lock.
func (ps *primaries) group(name string) *group {
	g := ps.groups[name]
	if g == nil {
		g = &group{name: name, claims: make(map[string]bool), refusedEntries: make(map[string]Stamp), promotion: ps.newPromotion(rand.Uint64()), missingSince: ps.n.now(), lastPhase: failover.PhaseIdle}
		ps.groups[name] = g
	}
	return g
}

// groupView is what routing knows of a group.
type groupView struct {
	// primary is the upstream to which statements for the primary are sent, or "" if there is
	// none now.
	primary string
	// believed is the upstream that this instance takes for the primary, or "".
	believed string
	// floor is the oldest known floor that satisfies a staleness bound, and floorTime the
	// floor's time, if hasFloor is set.
	floor     wal.Position
	floorTime time.Time
	hasFloor  bool
}

// view returns the view of a group for a statement whose reads show data no older than since.
func (ps *primaries) view(name string, since time.Time) groupView {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	g := ps.group(name)
	return viewOf(g, since, ps.n.now())
}

// peekView is view for a statement that is not sent: it creates no view of the group.
func (ps *primaries) peekView(name string, since time.Time) groupView {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if g := ps.groups[name]; g != nil {
		return viewOf(g, since, ps.n.now())
	}
	return groupView{}
}

// viewOf returns the view of a group. The caller holds the lock.
func viewOf(g *group, since, now time.Time) groupView {
	v := groupView{believed: g.primary}
	if !now.Before(g.avoidUntil) {
		v.primary = g.primary
	}
	v.floor, v.floorTime, v.hasFloor = g.floors.Oldest(since)
	return v
}

// recordAttempt records that a statement is sent to the primary of a group. One statement at a
// time finds out whether a promotion has taken effect.
func (ps *primaries) recordAttempt(name string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if g, now := ps.group(name), ps.n.now(); takesOver(g, now) {
		g.avoidUntil = now.Add(refusedRetry)
	}
}

// isPromoting reports whether the group has a promoted primary that has not acted as one yet.
func (ps *primaries) isPromoting(name string) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	g := ps.groups[name]
	return g != nil && g.primary != "" && takesOver(g, ps.n.now())
}

// takesOver reports whether the primary was promoted and has not been seen to act as the
// primary yet.
func takesOver(g *group, now time.Time) bool {
	return now.Sub(g.promotedAt) < promotionGrace && !g.provedAt.After(g.promotedAt)
}

// isTakingOver reports whether an upstream was promoted and has not been seen to act as the
// primary yet.
func (ps *primaries) isTakingOver(name, upstream string) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	g := ps.group(name)
	return g.primary == upstream && takesOver(g, ps.n.now())
}

// hasFloor reports whether a floor is known that satisfies a staleness bound. A floor is a
// position that the primary had at some time: a read from a replica that has applied it shows
// data no older than that.
func (ps *primaries) hasFloor(name string, since time.Time) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	_, _, ok := ps.group(name).floors.Oldest(since)
	return ok
}

// fetchFloor gets a floor from the group's coordinator, which has probed the primary a short
// time ago. Without a floor, reads that accept stale data could only run at the primary. At
// most one request per group is in flight, and other reads wait for its result.
func (ps *primaries) fetchFloor(ctx context.Context, name string) {
	coordinator := ps.n.coordinatorOf(name).Address
	ps.mu.Lock()
	g := ps.group(name)
	done := g.floorFetched
	if done == nil {
		g.floorFetched = make(chan struct{})
		go ps.fetchFloorFrom(g, coordinator)
		done = g.floorFetched
	}
	ps.mu.Unlock()
	timer := time.NewTimer(floorTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// fetchFloorFrom requests a floor from the coordinator and wakes the reads that wait for it.
func (ps *primaries) fetchFloorFrom(g *group, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*floorTimeout)
	defer cancel()
	sent := ps.n.now()
	var r FloorReply
	if address != ps.n.self.Address {
		if err := ps.n.peers.Call(ctx, address, "Node.Floor", FloorRequest{g.name}, &r); err != nil {
			ps.n.recordNoAnswer(address, err)
		}
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if r.Known {
		g.term = max(g.term, r.Position.Term)
		g.floors.Add(sent.Add(-r.Age), r.Position)
	}
	close(g.floorFetched)
	g.floorFetched = nil
}

// newestFloor returns the newest floor in reply to another instance.
func (ps *primaries) newestFloor(name string) FloorReply {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p, at, ok := ps.group(name).floors.Last()
	return FloorReply{Known: ok, Position: p, Age: ps.n.now().Sub(at)}
}

// setPrimary changes the primary in this instance's view of a group. The caller holds the
// lock.
func (ps *primaries) setPrimary(g *group, upstream, why string) {
	if g.primary == upstream {
		return
	}
	ps.n.log.Info("group: primary changed", "group", g.name, "primary", upstream, "before", g.primary, "why", why, "proved", ageOrUnknown(ps.n.now(), g.provedAt), "acknowledged", g.gate.Acknowledged().Most.String())
	g.primary, g.primarySince = upstream, ps.n.now()
	g.stalledCommits, g.missingSince = 0, time.Time{}
	if upstream == "" {
		g.missingSince = ps.n.now()
	}
}

// ageOrUnknown returns the time since an event, or -1 if it never happened.
func ageOrUnknown(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// configure applies the registry. An upstream that newly reports itself as the primary is
// probed. Its claim counts by itself only in a group about which nothing else is known.
func (ps *primaries) configure(s *snapshot) {
	ps.mu.Lock()
	for name := range s.policy.Groups {
		g := ps.group(name)
		var newest *upstream
		claims := 0
		present := make(map[string]bool)
		for _, u := range s.groups[name] {
			present[u.Name] = true
			if was := g.claims[u.Name]; u.ClaimsPrimary && !was && u.Name != g.superseded && u.stamp.after(g.refusedEntries[u.Name]) && (newest == nil || u.stamp.after(newest.stamp)) {
				newest = u
			}
			if u.ClaimsPrimary {
				claims++
			}
			g.claims[u.Name] = u.ClaimsPrimary
		}
		for id := range g.claims {
			if !present[id] {
				delete(g.claims, id)
				delete(g.refusedEntries, id)
			}
		}
		switch {
		case newest == nil || newest.Name == g.primary:
		case g.primary == "" && g.term == 0 && claims == 1:
			ps.setPrimary(g, newest.Name, "registry")
		default:
			go ps.checkClaims(name)
		}
		if g.primary != "" && !present[g.primary] {
			ps.setPrimary(g, "", "gone from the registry")
			if claims > 0 {
				go ps.checkClaims(name)
			}
		}
		ps.updateCandidates(g, s)
	}
	ps.mu.Unlock()
	ps.wakeLoop()
}

// updateCandidates sets the promotion's candidates to the members of the group. The caller
// holds the lock.
func (ps *primaries) updateCandidates(g *group, s *snapshot) {
	list := make([]failover.Candidate, 0, len(s.groups[g.name]))
	home := ps.n.settings().Place(ps.n.self.Domain)
	for _, u := range s.groups[g.name] {
		list = append(list, failover.Candidate{
			Upstream: u.Name, Ineligible: !u.eligible, Domain: u.Domain, Distance: home.Distance(u.place),
		})
	}
	term := uint64(0)
	if last, _, ok := g.floors.Last(); ok {
		term = last.Term
	}
	for _, d := range g.promotion.SetMembers(ps.n.now(), g.primary, term, list) {
		ps.n.log.Info("group: entry of an upstream disappeared", "group", g.name, "upstream", d.Upstream, "eligible", d.Eligible, "domain", d.Domain, "primary", g.primary, "phase", g.promotion.Phase(), "remembered", d.Remembered)
	}
}

// recordProof records that an upstream was the primary at the given time or later. Commit
// says whether the evidence is an acknowledged commit.
func (ps *primaries) recordProof(name, upstream string, at time.Time, p wal.Position, now time.Time, commit bool) {
	ps.mu.Lock()
	g := ps.group(name)
	waited := ps.addProof(g, upstream, at, p, now, commit)
	leads := g.primary == upstream && !takesOver(g, now)
	ps.mu.Unlock()
	if leads {
		ps.n.health.observePrimary(name, false)
	}
	if waited {
		ps.n.wakeStatements()
	}
}

// addProof is recordProof for a caller that holds the lock. It reports whether statements
// may wait for this evidence.
func (ps *primaries) addProof(g *group, upstream string, at time.Time, p wal.Position, now time.Time, commit bool) (waited bool) {
	if ps.supersedes(g, upstream, p) || !ps.n.mayUsePrimaries() {
		return false
	}
	other := g.primary != upstream
	if other && (p.Term > g.term || at.After(g.primarySince)) {
		ps.setPrimary(g, upstream, "proved")
	}
	g.term = max(g.term, p.Term)
	g.floors.Add(at, p)
	if g.superseded == upstream {
		g.superseded = "" // a newer promotion than the one that replaced it
	}
	if g.primary == upstream {
		waited = takesOver(g, now) && at.After(g.promotedAt)
		if at.After(g.provedAt) {
			g.provedAt = at
		}
		g.avoidUntil = time.Time{}
		if commit {
			g.lastCommit, g.stalledCommits = now, 0
		}
		g.promotion.HandlePrimarySeen(now, upstream)
		// A primary that reaches no replica still accepts transactions, although its commits
		// get no answer. Only an acknowledged commit shows that a promotion because of
		// stalled commits is not needed.
		if (g.coordinating || g.promotion.Pauses()) && (commit || other || g.promotion.Reason() != reasonStalled) {
			g.promotion.HandlePrimaryConfirmed(now, at, upstream)
		}
	}
	return waited
}

// recordRefusal records that an upstream refused a statement that only a primary may run.
func (ps *primaries) recordRefusal(u *upstream) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	g := ps.group(u.Group)
	if g.primary != u.Name {
		return
	}
	now := ps.n.now()
	if now.Sub(g.promotedAt) < promotionGrace {
		g.avoidUntil = now.Add(refusedRetry)
		return
	}
	g.refusedEntries[u.Name] = u.stamp
	ps.setPrimary(g, "", "refused by "+u.Name)
	go ps.checkClaims(u.Group)
}

// recordPromotion records that an upstream was promoted.
func (ps *primaries) recordPromotion(name, upstream string) {
	ps.mu.Lock()
	g := ps.group(name)
	ps.supersede(g, upstream)
	ps.setPrimary(g, upstream, "promoted")
	g.promotedAt = ps.n.now()
	if g.pendingPromotion.Upstream == upstream {
		g.promotion.HandleKept(g.pendingPromotion.Kept)
	}
	g.promotion.HandlePrimaryConfirmed(g.promotedAt, g.promotedAt, upstream)
	delete(g.refusedEntries, upstream)
	ps.mu.Unlock()
	ps.n.wakeStatements()
	ps.wakeLoop()
}

// reportUnreachable reports that a gateway could not reach an upstream.
func (ps *primaries) reportUnreachable(u *upstream) { ps.reportPrimary(u, reasonUnreachable) }

// recordUnansweredCommit records that a commit or a write got no answer, and reports the
// primary once such commits count as a stall.
func (ps *primaries) recordUnansweredCommit(u *upstream, began, now time.Time) {
	ps.mu.Lock()
	g := ps.group(u.Group)
	if g.primary != u.Name || g.lastCommit.After(began) {
		ps.mu.Unlock()
		return
	}
	if g.stalledCommits == 0 {
		g.stalledSince = began
	}
	g.stalledCommits++
	stalled := g.stalledCommits >= stallThreshold && now.Sub(g.stalledSince) >= stallAfter
	ps.mu.Unlock()
	if stalled {
		ps.reportPrimary(u, reasonStalled)
	}
}

// reportPrimary reports a primary as lost to the group's coordinator.
func (ps *primaries) reportPrimary(u *upstream, reason string) {
	ps.mu.Lock()
	g := ps.group(u.Group)
	now := ps.n.now()
	if g.primary != u.Name || now.Sub(g.reportedAt) < suspectInterval {
		ps.mu.Unlock()
		return
	}
	g.reportedAt = now
	ps.mu.Unlock()
	coordinator := ps.n.coordinatorOf(u.Group)
	if coordinator.Address == ps.n.self.Address {
		ps.checkSuspect(u.Group, u.Name, reason)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := ps.n.peers.Call(ctx, coordinator.Address, "Node.Suspect", SuspectReport{u.Group, u.Name, reason}, &Empty{}); err != nil {
			ps.n.recordNoAnswer(coordinator.Address, err)
		}
	}()
}

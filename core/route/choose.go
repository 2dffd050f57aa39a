// Group.Choose picks the upstream of a statement. It runs for every statement, so it
// must not allocate; it does not change the group either.

package route

import (
	"time"

	"burdockseam/core/wal"
)

// Mode selects the rules for reads.
type Mode string

// The modes. ModePrimary and ModeAny are baselines for measurements.
const (
	ModeSession Mode = ""        // replicas that satisfy the session and the route
	ModePrimary Mode = "primary" // the primary only
	ModeAny     Mode = "any"     // any replica, however old its data is
)

// Request describes a statement and its session.
type Request struct {
	Write bool
	Mode  Mode
	// Token is the position that the session has observed in this group. HasToken is
	// false if it has observed none.
	Token    wal.Position
	HasToken bool
	// Started is the time at which the session began. It is used if HasToken is false.
	Started time.Time
	// Staleness bounds the age of the data that a read sees; 0 means no bound, so that
	// only the session's position counts.
	Staleness time.Duration
	// Domain is the failure domain of the caller's entry instance.
	Domain string
	// Waited is the time that the statement has already waited for a replica.
	Waited time.Duration
	// TieBreak selects among upstreams that are otherwise equal; a hash of the session
	// is suitable.
	TieBreak uint64
}

// Reason says why an upstream was chosen or why the statement is refused.
type Reason string

// The reasons. With the last five the statement is refused and has not run.
const (
	ReasonWrite       Reason = "write"       // only the primary takes writes
	ReasonBaseline    Reason = "baseline"    // required by ModePrimary or ModeAny
	ReasonReplica     Reason = "replica"     // a replica satisfies the session and the route
	ReasonNoFloor     Reason = "floor"       // primary: no proven sample since the session's start
	ReasonLagging     Reason = "lagging"     // primary: no replica has reached the session's position
	ReasonStale       Reason = "stale"       // primary: no replica is proven to be within the staleness bound
	ReasonNoReplica   Reason = "noreplica"   // primary: no replica is usable
	ReasonWait        Reason = "wait"        // a replica is expected to reach the session's position within Decision.Wait
	ReasonNoPrimary   Reason = "unknown"     // no primary is recorded
	ReasonUnreachable Reason = "unreachable" // the primary does not answer or is fenced at another term
	ReasonOut         Reason = "out"         // the primary takes no new work
	ReasonUnproven    Reason = "unproven"    // no majority has confirmed the term within the staleness bound
	ReasonBehind      Reason = "behind"      // the session has observed a newer term than the group's view
)

// Decision is the result of Choose.
type Decision struct {
	// Upstream is "" if the statement must be refused.
	Upstream string
	Reason   Reason
	// Wait, if not 0, is the time to wait for Upstream to be confirmed at Offset. Then
	// Choose is called again, with the time waited added to Request.Waited.
	Wait   time.Duration
	Offset uint64
}

// Choose picks the upstream for a statement. The data connection to an upstream states
// the group's term as set by SetLeadership, so an upstream that has been fenced at a newer term
// refuses the statement without running it.
func (g *Group) Choose(now time.Time, r Request) Decision {
	switch {
	case r.Write:
		return g.choosePrimary(now, 0, ReasonWrite)
	case r.Mode == ModePrimary:
		return g.choosePrimary(now, 0, ReasonBaseline)
	case r.Mode == ModeAny:
		if i := g.bestReplica(r, func(int) bool { return true }); i >= 0 {
			return Decision{Upstream: g.views[i].Name, Reason: ReasonBaseline}
		}
		return g.choosePrimary(now, 0, ReasonNoReplica)
	}
	want, ok := r.Token, r.HasToken
	if !ok {
		if want, ok = g.Floor(r.Started); !ok {
			return g.choosePrimary(now, r.Staleness, ReasonNoFloor)
		}
	}
	if want.Term > g.term {
		// The history lacks the token's term, so offsets cannot be compared: a replica
		// may have reached the same offset with entries that the newer term dropped.
		return Decision{Reason: ReasonBehind}
	}
	want = g.history.Clamp(want)
	usable, covering := false, false // whether any replica is usable, or has reached want
	i := g.bestReplica(r, func(i int) bool {
		usable = true
		if !g.history.Covers(g.views[i].position, want) {
			return false
		}
		covering = true
		age, ok := g.ageOf(now, i)
		return r.Staleness == 0 || ok && age <= r.Staleness
	})
	if i >= 0 {
		return Decision{Upstream: g.views[i].Name, Reason: ReasonReplica}
	}
	reason := ReasonNoReplica
	switch {
	case covering:
		reason = ReasonStale
	case usable:
		reason = ReasonLagging
	}
	d := g.choosePrimary(now, r.Staleness, reason)
	if reason == ReasonLagging {
		return g.waitForReplica(now, r, want.Offset, d)
	}
	return d
}

// isUsable reports whether a replica may get work: it answers, takes new work, and is
// fenced at the group's term, so that it would accept a data connection in that term.
func (g *Group) isUsable(i int) bool {
	v := &g.views[i]
	return i != g.primary && v.reachable && !v.out && v.fencedTerm == g.term && g.term > 0
}

// bestReplica returns the index of the usable replica that accept accepts, or -1 if
// there is none. It prefers replicas in the caller's failure domain, and among equally
// near ones that with the shortest queue.
func (g *Group) bestReplica(r Request, accept func(int) bool) int {
	best, n := -1, len(g.views)
	for k := range n {
		i := int((r.TieBreak + uint64(k)) % uint64(n))
		if !g.isUsable(i) || !accept(i) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		a, b := &g.views[i], &g.views[best]
		near, nearBest := a.Domain == r.Domain, b.Domain == r.Domain
		if near && !nearBest || near == nearBest && a.queueLength < b.queueLength {
			best = i
		}
	}
	return best
}

// choosePrimary chooses the primary for the given reason, or refuses the statement if
// the primary cannot be used. For a read with a staleness bound, a majority must have
// confirmed the term within that bound, since a primary that is cut off may not know
// that a newer term has begun.
func (g *Group) choosePrimary(now time.Time, bound time.Duration, reason Reason) Decision {
	if g.primary < 0 {
		return Decision{Reason: ReasonNoPrimary}
	}
	v := &g.views[g.primary]
	switch {
	case !v.reachable || v.fencedTerm != g.term:
		return Decision{Reason: ReasonUnreachable}
	case v.out && now.Sub(v.outSince) > PrimaryGrace:
		return Decision{Reason: ReasonOut}
	case bound > 0 && now.Sub(g.provenAt) > bound:
		return Decision{Reason: ReasonUnproven}
	}
	return Decision{Upstream: v.Name, Reason: reason}
}

// waitForReplica returns a wait for the replica that is expected to reach the offset
// first, if that takes less time than the primary's queue; otherwise it returns d.
func (g *Group) waitForReplica(now time.Time, r Request, offset uint64, d Decision) Decision {
	left := MaxReplicaWait - r.Waited
	if d.Upstream != "" {
		left = min(left, time.Duration(g.views[g.primary].queueLength)*g.serviceTime)
	}
	written := g.writeTime(now, offset)
	for i := range g.views {
		if !g.isUsable(i) {
			continue
		}
		wait := max(written.Add(g.views[i].lag).Sub(now), minWait)
		if wait < left {
			left = wait
			d = Decision{Upstream: g.views[i].Name, Reason: ReasonWait, Wait: wait, Offset: offset}
		}
	}
	return d
}

// writeTime estimates the time at which the primary's log reached an offset. It returns
// now if the offset is beyond every sample.
func (g *Group) writeTime(now time.Time, offset uint64) time.Time {
	at := now
	for k := range g.count {
		s := g.sampleAt(k)
		if s.offset < offset {
			break
		}
		at = s.begun
	}
	return at
}

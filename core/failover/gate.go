package failover

import (
	"time"

	"burdockseam/core/wal"
)

// FreezeTimeout ends a freeze that is not renewed: a coordinator that was lost may have ordered a
// promotion that takes effect later.
const FreezeTimeout = 6 * time.Second

// Passage says what happens to the acknowledgement of a commit at an instance.
type Passage string

// The passages.
const (
	PassageOpen    Passage = "open"    // the caller is told of the commit
	PassageWait    Passage = "wait"    // it is not known yet whether the promotion under way keeps the commit
	PassageInDoubt Passage = "indoubt" // the promotion may drop the commit
)

// FreezeAnswer is what an instance answers to a freeze.
type FreezeAnswer struct {
	// Acknowledged bounds the commits that the instance has acknowledged.
	Acknowledged Acknowledged
	// Age is the time since the instance started, and Idle the time since it has acknowledged a
	// commit of the group, or Age if it has not.
	Age, Idle time.Duration
	// Term is the newest term of the group that the instance knows.
	Term uint64
}

// CommitGate passes the acknowledgements of a group's commits at one instance. While the primary
// is being replaced, the gate is frozen: the coordinator knows the commits that were acknowledged
// before, and orders nothing that lacks them, so no others may be acknowledged unless the
// announced promotion keeps them. The zero value is open.
type CommitGate struct {
	acknowledged Acknowledged
	passedAt     time.Time // when the newest commit passed; zero before the first one
	term         uint64    // commits of this term and of earlier ones are frozen
	token        uint64    // fencing token of the change that froze them
	frozenAt     time.Time
	kept         wal.Position
	announced    bool // kept is what the promotion with the token keeps
}

// Acknowledged returns the bounds of the commits that were acknowledged here.
func (g *CommitGate) Acknowledged() Acknowledged { return g.acknowledged }

// Answer returns the answer to a freeze of an instance that started at the given time and knows a term.
func (g *CommitGate) Answer(now, started time.Time, term uint64) FreezeAnswer {
	a := FreezeAnswer{Acknowledged: g.acknowledged, Term: max(term, g.acknowledged.Most.Term), Age: now.Sub(started), Idle: now.Sub(started)}
	if !g.passedAt.IsZero() {
		a.Idle = now.Sub(g.passedAt)
	}
	return a
}

// Learn records the bounds of commits that another instance has acknowledged.
func (g *CommitGate) Learn(a Acknowledged) { g.acknowledged = g.acknowledged.Join(a) }

// Record records a commit that is acknowledged here without the gate's decision.
func (g *CommitGate) Record(now time.Time, commit Acknowledged) {
	g.acknowledged, g.passedAt = g.acknowledged.Join(commit), now
}

// Freeze freezes the commits of a term for the change of primary with a fencing token, or renews
// the freeze. It returns the bounds of the commits that were acknowledged before.
func (g *CommitGate) Freeze(now time.Time, term, token uint64) Acknowledged {
	if token > g.token || token == g.token && term > g.term {
		g.announced = false
	}
	if token >= g.token {
		g.token, g.frozenAt = token, now
		g.term = max(g.term, term)
	}
	return g.acknowledged
}

// Keep records the announcement of a promotion that ends a term and keeps its commits up to a
// position. The announcement of an earlier change, whose order was given up, says nothing.
func (g *CommitGate) Keep(now time.Time, token, term uint64, kept wal.Position) {
	if token < g.token {
		return
	}
	g.term = max(g.term, term)
	g.token, g.frozenAt, g.kept, g.announced = token, now, kept, g.term == term
}

// Pass decides on the acknowledgement of a commit with the given bounds, given the newest term of
// the group that is known here. If the commit passes, it counts as acknowledged.
func (g *CommitGate) Pass(now time.Time, term uint64, commit Acknowledged) Passage {
	end := commit.Most
	switch {
	case isKept(end, g.acknowledged.Least):
	case end.Term < g.term:
		return PassageInDoubt // an earlier promotion may have dropped it
	case end.Term == g.term && g.announced && isKept(end, g.kept):
	case end.Term < term:
		return PassageInDoubt
	case end.Term > g.term, now.Sub(g.frozenAt) >= FreezeTimeout:
	case g.announced:
		return PassageInDoubt
	default:
		return PassageWait
	}
	g.Record(now, commit)
	return PassageOpen
}

// isKept reports whether a promotion that keeps a position keeps a commit. Positions of two terms
// say nothing about each other, because the earlier term may have been cut.
func isKept(commit, kept wal.Position) bool {
	return commit.Term == kept.Term && commit.Compare(kept) <= 0
}

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

// CommitGate passes the acknowledgements of a group's commits at one instance. While the primary
// is being replaced, the gate is frozen: the coordinator knows the commits that were acknowledged
// before, and orders nothing that lacks them, so no others may be acknowledged unless the
// announced promotion keeps them. The zero value is open.
type CommitGate struct {
	acknowledged Acknowledged
	term         uint64 // commits of this term and of earlier ones are frozen
	token        uint64 // fencing token of the change that froze them
	frozenAt     time.Time
	kept         wal.Position
	announced    bool // kept is what the promotion with the token keeps
}

// Acknowledged returns the bounds of the commits that were acknowledged here.
func (g *CommitGate) Acknowledged() Acknowledged { return g.acknowledged }

// Learn records the bounds of commits that another instance has acknowledged.
func (g *CommitGate) Learn(a Acknowledged) { g.acknowledged = g.acknowledged.Join(a) }

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

// Keep records the announcement of a promotion that keeps the commits up to a position. The
// announcement of an earlier change, whose order was given up, says nothing.
func (g *CommitGate) Keep(now time.Time, token uint64, kept wal.Position) {
	if token < g.token {
		return
	}
	if token > g.token {
		g.term = max(g.term, kept.Term)
	}
	g.token, g.frozenAt, g.kept, g.announced = token, now, kept, true
}

// Pass decides on the acknowledgement of a commit with the given bounds, given the newest term of
// the group that is known here. If the commit passes, it counts as acknowledged.
func (g *CommitGate) Pass(now time.Time, term uint64, commit Acknowledged) Passage {
	frozen := commit.Most.Term <= g.term && now.Sub(g.frozenAt) < FreezeTimeout
	switch {
	case frozen && commit.Most.Compare(g.acknowledged.Least) <= 0:
	case frozen && !g.announced && term <= g.term:
		return PassageWait
	case frozen && (!g.announced || commit.Most.Compare(g.kept) > 0):
		return PassageInDoubt
	}
	g.acknowledged = g.acknowledged.Join(commit)
	return PassageOpen
}

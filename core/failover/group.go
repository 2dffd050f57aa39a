package failover

import (
	"encoding/json"

	"github.com/zeebo/errs"

	"burdockseam/core/wal"
)

// Error is the class of this package's errors.
var Error = errs.Class("failover")

// Claim identifies the promotion that was begun last.
type Claim struct {
	// Term is the term that the promotion is to start. No two claims of a group have the same
	// term.
	Term uint64
	// Op is the operation id of the attempt. A coordinator recognises its own claim by it.
	Op string
	// By is the address of the coordinator's instance.
	By string
}

// Group is the recorded state of a database group, the store's object group/NAME. It is
// changed by conditional updates only. If Claim.Term > Term, a promotion was begun and its
// result is not recorded.
type Group struct {
	// Term is the newest recorded term; 0 means that no promotion was recorded.
	Term uint64
	// Primary is the upstream that is the primary in Term.
	Primary string
	// History lists the recorded terms; it ends with Term.
	History wal.History
	Claim   Claim
}

// WithClaim returns a copy of the group with another claim.
func (g Group) WithClaim(c Claim) Group {
	g.Claim = c
	return g
}

// WithPrimary returns a copy of the group in the claimed term with the chosen primary, whose
// log ends at p. The new term starts at p, clamped to the group's history: what the chosen
// upstream holds beyond the start of a later recorded term was never acknowledged, and
// counting it would join the tails of two terms.
func (g Group) WithPrimary(primary string, p wal.Position) Group {
	if len(g.History) == 0 && p.Offset > 0 && p.Term < g.Claim.Term {
		// This is the first record of a group that has data. Without the start of the data's
		// term, no entry would be in the history, and each follower would drop its whole log.
		g.History = g.History.With(wal.Start{Term: p.Term})
	}
	start := wal.Start{Term: g.Claim.Term, Offset: g.History.Clamp(p).Offset}
	g.Term, g.Primary, g.History = g.Claim.Term, primary, g.History.With(start)
	return g
}

// Start returns the offset at which the recorded term began.
func (g Group) Start() uint64 {
	if len(g.History) == 0 {
		return 0
	}
	return g.History[len(g.History)-1].Offset
}

// groupJSON is the stored form of Group. History is a list of [term, offset].
type groupJSON struct {
	Term    uint64      `json:"term"`
	Primary string      `json:"primary"`
	History [][2]uint64 `json:"history"`
	Claim   claimJSON   `json:"claim"`
}

type claimJSON struct {
	Term uint64 `json:"term"`
	Op   string `json:"op"`
	By   string `json:"by"`
}

// MarshalJSON returns the stored form.
func (g Group) MarshalJSON() ([]byte, error) {
	out := groupJSON{Term: g.Term, Primary: g.Primary, History: [][2]uint64{}, Claim: claimJSON(g.Claim)}
	for _, s := range g.History {
		out.History = append(out.History, [2]uint64{s.Term, s.Offset})
	}
	b, err := json.Marshal(out)
	return b, Error.Wrap(err)
}

// UnmarshalJSON reads the stored form. It fails if the terms of the history do not ascend to
// Term, if a recorded term has no primary, or if the claimed term is below the recorded term.
func (g *Group) UnmarshalJSON(b []byte) error {
	var in groupJSON
	if err := json.Unmarshal(b, &in); err != nil {
		return Error.Wrap(err)
	}
	out := Group{Term: in.Term, Primary: in.Primary, Claim: Claim(in.Claim)}
	last := uint64(0)
	for _, s := range in.History {
		if s[0] <= last {
			return Error.New("group history: term %d follows term %d, want ascending terms", s[0], last)
		}
		last = s[0]
		out.History = append(out.History, wal.Start{Term: s[0], Offset: s[1]})
	}
	if last != in.Term {
		return Error.New("group history ends with term %d, want the recorded term %d", last, in.Term)
	}
	if (in.Term == 0) != (in.Primary == "") {
		return Error.New("group has term %d and primary %q, want a primary if and only if the term is above 0", in.Term, in.Primary)
	}
	if in.Claim.Term < in.Term {
		return Error.New("group claim: term %d is below the recorded term %d", in.Claim.Term, in.Term)
	}
	*g = out
	return nil
}

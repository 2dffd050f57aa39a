// Package wal describes positions in the replicated log of a database group.
//
// The offsets of a group continue over its terms. A promotion starts a new term at the
// offset of the upstream that was chosen as the primary. What an old primary wrote beyond
// that offset is a dropped tail: it is not part of the group's history.
package wal

import "fmt"

// Position is a position in a group's log. The zero Position lies before every write.
type Position struct {
	// Term is the term in which the entry was written.
	Term uint64
	// Offset counts log entries over all terms.
	Offset uint64
}

// String returns the position as term/offset.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Offset) }

// Compare orders positions by term and then by offset, as a promotion does. It returns -1, 0
// or 1.
func (p Position) Compare(q Position) int {
	switch {
	case p.Term < q.Term:
		return -1
	case p.Term > q.Term:
		return 1
	case p.Offset < q.Offset:
		return -1
	case p.Offset > q.Offset:
		return 1
	}
	return 0
}

// Start is the offset at which a term began.
type Start struct {
	Term   uint64
	Offset uint64
}

// History lists the starts of a group's terms in ascending order of the terms.
type History []Start

// With returns a copy of h with the given start appended.
func (h History) With(s Start) History {
	out := make(History, 0, len(h)+1)
	return append(append(out, h...), s)
}

// Clamp maps a position to the newest term's log. A position beyond the start of a later term
// belongs to a tail that the later promotion dropped. It becomes that start, since no
// acknowledged write lies beyond it. A later term may start before an earlier term, if the
// earlier term was recorded but reached no majority, so the result is clamped by every later
// start.
func (h History) Clamp(p Position) Position {
	for _, s := range h {
		if s.Term > p.Term && p.Offset > s.Offset {
			p = Position(s)
		}
	}
	return p
}

// Covers reports whether a log that ends at have contains everything up to want. Both
// positions are clamped first, so that positions of different terms can be compared.
func (h History) Covers(have, want Position) bool {
	return h.Clamp(have).Offset >= h.Clamp(want).Offset
}

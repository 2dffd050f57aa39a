// Package session keeps the log positions that a caller's session has observed.
//
// A Token is a small sorted table of one position per group. Positions in it only
// increase: With and Merge keep the newer position of each group. Positions are ordered
// by term first, because on the current history a position of an older term never lies
// beyond the start of a newer term. The caller keeps the encoded token between
// connections, so the text is authenticated and bound to the team.
package session

import (
	"slices"
	"strings"

	"burdockseam/core/wal"
)

// Entry is the position that a session observed in one group.
type Entry struct {
	Group    string
	Position wal.Position
}

// Token is the session token: a table of the position that a session has observed in
// each group. The zero Token has observed nothing. A Token is immutable, so it can be
// shared.
type Token struct {
	entries []Entry // sorted by group, one per group, no zero position
}

// Position returns the position that the session has observed in a group, or false if it
// has observed none.
func (t Token) Position(group string) (wal.Position, bool) {
	i, ok := t.find(group)
	if !ok {
		return wal.Position{}, false
	}
	return t.entries[i].Position, true
}

// Entries returns a copy of the entries, sorted by group name.
func (t Token) Entries() []Entry { return slices.Clone(t.entries) }

// Len returns the number of groups in the token.
func (t Token) Len() int { return len(t.entries) }

// With returns a token that has also observed position p in the group. If the token
// already holds p or a newer position, it is returned unchanged.
func (t Token) With(group string, p wal.Position) Token {
	i, ok := t.find(group)
	switch {
	case p == wal.Position{}, ok && t.entries[i].Position.Compare(p) >= 0:
		return t
	case ok:
		out := slices.Clone(t.entries)
		out[i].Position = p
		return Token{out}
	}
	out := make([]Entry, 0, len(t.entries)+1)
	out = append(out, t.entries[:i]...)
	out = append(out, Entry{group, p})
	return Token{append(out, t.entries[i:]...)}
}

// Merge returns a token with the newer position of both tokens for each group.
func (t Token) Merge(o Token) Token {
	for _, e := range o.entries {
		t = t.With(e.Group, e.Position)
	}
	return t
}

// find returns the index of the group's entry, or the index to insert it at and false.
func (t Token) find(group string) (int, bool) {
	return slices.BinarySearchFunc(t.entries, group, func(e Entry, g string) int {
		return strings.Compare(e.Group, g)
	})
}

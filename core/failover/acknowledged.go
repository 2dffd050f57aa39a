package failover

import "burdockseam/core/wal"

// Acknowledged bounds the highest position of the commits that callers were told of. The answer
// to a commit tells the end of the primary's log, which may include later commits that no replica
// has received. The commit's own position follows the end of the log that an earlier answer told.
type Acknowledged struct {
	// Least is a position that an acknowledged commit has reached.
	Least wal.Position
	// Most is a position that no acknowledged commit has passed.
	Most wal.Position
}

// Join returns the bounds of the commits of both.
func (a Acknowledged) Join(b Acknowledged) Acknowledged {
	if b.Least.Compare(a.Least) > 0 {
		a.Least = b.Least
	}
	if b.Most.Compare(a.Most) > 0 {
		a.Most = b.Most
	}
	return a
}

// CommitBounds returns the bounds of a commit whose answer told the position end, given the end
// of the log before the commit was sent, or the zero position if it is not known.
func CommitBounds(before, end wal.Position) Acknowledged {
	a := Acknowledged{Most: end}
	switch {
	case before.Term < end.Term && end.Offset > 0:
		a.Least = wal.Position{Term: end.Term, Offset: 1} // the first commit of the term that is seen here
	case before.Term == end.Term && before.Offset < end.Offset:
		a.Least = wal.Position{Term: end.Term, Offset: before.Offset + 1}
	}
	return a
}

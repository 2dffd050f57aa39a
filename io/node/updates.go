package node

// Updates carry tables from one instance to another: what has changed since the copy that
// the other one has, or the whole table. In a large fleet most instances learn of changes
// in this way, and whole tables made up most of the traffic between regions.

import (
	"maps"
)

// removalsKept bounds the removed objects of a kind that are remembered. An instance whose
// copy is older than the oldest of them gets the whole table.
const maxRemovals = 1000

// Update is a newer copy of a table, or what leads to it.
type Update struct {
	// Table has the revision and the digest of the newer copy. Its objects are all of them
	// if Whole is set, and else those that have changed.
	Table
	Whole bool
	// Removed names objects that are gone.
	Removed []string
}

// removals are the objects of a kind that were removed.
type removals struct {
	// since is the revision behind which they are known, except objects that came and went
	// between two reads of the store. The digest shows whether an update lacks one of those.
	since uint64
	// at are the revisions at which they were found to be gone, by name.
	removedAt map[string]uint64
}

// next returns the removals after a table has changed.
func (r removals) updated(before, after Table) removals {
	if before.Revision == 0 || len(r.removedAt) > maxRemovals {
		return removals{since: after.Revision, removedAt: make(map[string]uint64)}
	}
	for name := range before.Objects {
		if _, ok := after.Objects[name]; !ok {
			r.removedAt[name] = after.Revision
		}
	}
	for name := range after.Objects {
		delete(r.removedAt, name)
	}
	return r
}

// newer returns updates to the copies that are newer than what another instance has, and
// differ.
func (t *tables) updatesFor(have map[Kind]TableVersion) []Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Update
	for _, k := range mirroredKinds {
		own, theirs, removed := t.all[k], have[k], t.removed[k]
		if own.Revision <= theirs.Revision || own.Digest == theirs.Digest {
			continue
		}
		u := Update{Table: own, Whole: theirs.Revision == 0 || theirs.Revision < removed.since}
		if !u.Whole {
			u.Objects = make(map[string]Object)
			for name, o := range own.Objects {
				if o.Revision > theirs.Revision {
					u.Objects[name] = o
				}
			}
			for name, at := range removed.removedAt {
				if at > theirs.Revision {
					u.Removed = append(u.Removed, name)
				}
			}
		}
		out = append(out, u)
	}
	return out
}

// apply takes in an update. It reports whether the copy has changed, and whether the update
// fits it; one that does not fit changes nothing.
func (t *tables) applyUpdate(u Update) (changed, fits bool) {
	next := u.Table
	if !u.Whole {
		t.mu.Lock()
		own := t.all[u.Kind]
		t.mu.Unlock()
		if own.Revision >= u.Revision {
			return false, true
		}
		next.Objects = maps.Clone(own.Objects)
		if next.Objects == nil {
			next.Objects = make(map[string]Object)
		}
		for _, name := range u.Removed {
			delete(next.Objects, name)
		}
		maps.Copy(next.Objects, u.Objects)
		if contentDigest(u.Kind, next.Objects) != u.Digest {
			return false, false
		}
	}
	return t.install(next), true
}

package node

// Updates bring the tables of another instance up to date. An update holds either the
// changes since the copy that the other instance has, or the whole table. In a large fleet
// most instances learn of changes through updates, and whole tables made up most of the
// traffic between regions.

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// maxRemovals bounds the number of removed objects that are remembered for a kind. An
// instance with a copy from before the oldest remembered removal receives the whole table.
const maxRemovals = 1000

// Update holds a newer copy of a table, or the changes that lead to it.
type Update struct {
	// Table has the revision and the digest of the newer copy. It has all objects if Whole
	// is set, and otherwise only those that have changed.
	Table
	Whole bool
	// Removed lists the names of removed objects.
	Removed []string
	// Patches describe those objects of Table that are large. They are sent only to an
	// instance that has asked for them.
	Patches []Patch
}

// size returns the number of bytes of the objects and patches in the update.
func (u Update) size() int {
	n := 0
	for _, o := range u.Objects {
		n += len(o.Data)
	}
	for _, p := range u.Patches {
		n += len(p.Data)
	}
	return n
}

// removals records which objects of a kind were removed, and when.
type removals struct {
	// since is the revision after which removals are known, except those of objects that
	// were created and removed between two reads of the store. If an update lacks one of
	// these, its digest shows it.
	since uint64
	// removedAt has the revisions at which removals were noticed, by the object's name.
	removedAt map[string]uint64
}

// updated returns the removals after a table has changed.
func (r removals) updated(before, after Table) removals {
	if before.Revision == 0 || before.Era != after.Era || len(r.removedAt) > maxRemovals {
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

// answer returns the updates that a request asks for.
func (t *tables) answer(r TablesRequest) []Update {
	out := t.updatesFor(r.Have)
	if r.Patches {
		for k, u := range out {
			out[k] = t.contents.withPatches(u, r.Contents[u.Kind])
		}
	}
	return out
}

// request returns a request for the changes of all tables.
func (t *tables) request() TablesRequest {
	r := TablesRequest{Have: t.versions(), Contents: make(map[Kind]map[string]uint64), Patches: true}
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, table := range t.byKind {
		for name, o := range table.Objects {
			if len(o.Data) < minPatchedSize {
				continue
			}
			if r.Contents[k] == nil {
				r.Contents[k] = make(map[string]uint64)
			}
			r.Contents[k][name] = xxhash.Sum64(o.Data)
		}
	}
	return r
}

// updatesFor returns updates for the tables of which this instance has newer, different
// copies than the other instance.
func (t *tables) updatesFor(have map[Kind]TableVersion) []Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Update
	for _, k := range mirroredKinds {
		own, theirs, removed := t.byKind[k], have[k], t.removed[k]
		// Without both eras, copies are ordered by their revisions alone.
		sameEra := theirs.Era == own.Era || theirs.Era == 0 || own.Era == 0
		if sameEra && own.Revision <= theirs.Revision || !sameEra && own.Era < theirs.Era || theirs.describes(own) {
			continue
		}
		u := Update{Table: own, Whole: theirs.Revision == 0 || !sameEra || theirs.Revision < removed.since}
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

// applyUpdate applies an update to its table. It reports whether the table's content
// changed, and whether the update fits the copy. An update that does not fit changes
// nothing.
func (t *tables) applyUpdate(u Update) (changed, fits bool) {
	u, err := t.contents.withObjects(u)
	if err != nil {
		t.log.Info("peer: patch does not fit", "kind", u.Kind, "revision", u.Revision, "err", err.Error())
		return false, false
	}
	next := u.Table
	if !u.Whole {
		t.mu.Lock()
		own := t.byKind[u.Kind]
		t.mu.Unlock()
		switch {
		case !u.stamp().after(own.stamp()):
			return false, true
		case u.Era != 0 && u.Era != own.Era:
			return false, false
		}
		next.Objects = maps.Clone(own.Objects)
		if next.Objects == nil {
			next.Objects = make(map[string]Object)
		}
		for _, name := range u.Removed {
			delete(next.Objects, name)
		}
		maps.Copy(next.Objects, u.Objects)
		if revisionDigest(u.Kind, next.Objects) != u.Digest || u.Content != 0 && contentDigest(u.Kind, next.Objects) != u.Content {
			return false, false
		}
	}
	return t.install(next), true
}

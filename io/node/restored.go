package node

// A store that comes back from a copy has lost the newest objects. Operators and upstreams
// write theirs again after a moment. Until then, what they have said last stays in force where
// the older objects would permit more: failure domains that are out, and upstreams that leave.

import (
	"bytes"
	"maps"
	"time"
)

// restoredGrace is the time for which lost objects stay in force. It covers the interval at
// which upstreams write their entries several times.
const restoredGrace = 5 * time.Second

// lostObjects are the objects of a kind at the end of an era that the next era began without.
type lostObjects struct {
	objects map[string]Object
	until   time.Time
	// revision is the one at which the copy of the store was seen first. Objects with a later
	// one have been written again.
	revision uint64
}

// afterRestoration returns the objects that are lost when a table is replaced by one of the
// next era. It includes those that an earlier restoration has lost.
func (l lostObjects) afterRestoration(before, next Table, now time.Time) lostObjects {
	out := lostObjects{make(map[string]Object), now.Add(restoredGrace), next.Revision}
	maps.Copy(out.objects, before.Objects)
	if now.Before(l.until) {
		maps.Copy(out.objects, l.objects)
	}
	maps.DeleteFunc(out.objects, func(name string, o Object) bool {
		present, ok := next.Objects[name]
		return ok && bytes.Equal(present.Data, o.Data)
	})
	return out
}

// forgetWritten forgets the objects that a table shows to be written again.
func (l lostObjects) forgetWritten(next Table) {
	maps.DeleteFunc(l.objects, func(name string, _ Object) bool { return next.Objects[name].Revision > l.revision })
}

// trackLost records which objects are lost when a table replaces another one. The caller holds
// the lock.
func (t *tables) trackLost(before, next Table) {
	switch {
	case next.Kind != KindOutDomain && next.Kind != KindUpstream:
	case before.Era == 0 || before.Era == next.Era:
		t.lost[next.Kind].forgetWritten(next)
	default:
		lost := t.lost[next.Kind].afterRestoration(before, next, t.now())
		t.lost[next.Kind] = lost
		if len(lost.objects) > 0 {
			t.log.Info("store: objects lost", "kind", next.Kind, "era", next.Era, "objects", len(lost.objects))
			time.AfterFunc(restoredGrace, func() { t.onChange(next.Kind) })
		}
	}
}

// lostOf returns the objects of a kind that the store has lost a short time ago.
func (t *tables) lostOf(k Kind) map[string]Object {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.now().Before(t.lost[k].until) {
		return nil
	}
	return maps.Clone(t.lost[k].objects)
}

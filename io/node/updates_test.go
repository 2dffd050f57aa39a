package node

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestUpdatesMatchStore guards against a copy that differs from the store's table after an
// update, and against an update that restores removed objects.
func TestUpdatesMatchStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		store := Table{Kind: KindOutDomain, Revision: 1, Objects: make(map[string]Object)}
		history := map[uint64]map[string]Object{}
		copies := make([]*tables, 3)
		for k := range copies {
			copies[k], _ = newTestTables(&now)
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			x := copies[rapid.IntRange(0, 2).Draw(t, "copy")]
			switch rapid.SampledFrom([]string{"put", "put", "remove", "read", "update", "update"}).Draw(t, "step") {
			case "put":
				store.Revision++
				name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"))
				store.Objects[name] = Object{Name: name, Revision: store.Revision}
			case "remove":
				store.Revision++
				delete(store.Objects, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name")))
			case "read":
				next := store
				next.Objects = maps.Clone(store.Objects)
				x.install(next)
			case "update":
				from := copies[rapid.IntRange(0, 2).Draw(t, "from")]
				for _, u := range from.updatesFor(x.versions()) {
					if _, fits := x.applyUpdate(u); fits {
						continue
					}
					// The sender has missed an object that was created and removed between
					// two reads.
					for _, whole := range from.updatesFor(nil) {
						if _, fits := x.applyUpdate(whole); !fits || !whole.Whole {
							t.Fatalf("update of the whole table %+v does not fit", whole)
						}
					}
				}
				if a, b := x.get(KindOutDomain), from.get(KindOutDomain); a.Revision < b.Revision && a.Digest != b.Digest {
					t.Fatalf("copy at revision %d after an update to revision %d", a.Revision, b.Revision)
				}
			}
			history[store.Revision] = maps.Clone(store.Objects)
			for _, x := range copies {
				if own := x.get(KindOutDomain); own.Revision > 0 && !maps.EqualFunc(own.Objects, history[own.Revision], func(a, b Object) bool { return a.Revision == b.Revision }) {
					t.Fatalf("copy of revision %d: %v, want %v", own.Revision, own.Objects, history[own.Revision])
				}
			}
		}
	})
}

// TestUpdateSendsOnlyChanges guards against whole tables sent for single changes. They made
// up most of the traffic between the regions of a large fleet.
func TestUpdateSendsOnlyChanges(t *testing.T) {
	now := time.Unix(0, 0)
	x, _ := newTestTables(&now)
	names := make([]string, 200)
	for k := range names {
		names[k] = fmt.Sprint("u", k)
	}
	x.install(table(KindUpstream, 5, names...))
	have := x.versions()
	next := table(KindUpstream, 7, names[1:]...)
	next.Objects["u9"] = Object{Name: "u9", Revision: 6}
	x.install(next)
	got := x.updatesFor(have)
	if len(got) != 1 || got[0].Whole || len(got[0].Objects) != 1 || len(got[0].Removed) != 1 {
		t.Errorf("updates %+v, want one change and one removal", got)
	}
	if got := x.updatesFor(nil); len(got) != 1 || !got[0].Whole || len(got[0].Objects) != 199 {
		t.Errorf("%d updates for an instance without a copy, want one whole table of 199 objects", len(got))
	}
}

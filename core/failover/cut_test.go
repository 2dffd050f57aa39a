package failover

import (
	"testing"
	"time"
)

// cutGroup returns a group whose primary a and whose upstream b were cut off together with the only
// gateway, after which the gateway acknowledged a commit that b alone has received. The entry of b has
// expired, and an instance outside has begun to replace the primary.
func cutGroup(t *testing.T, newWorld func(int) *orderedWorld, c cutCase) (*orderedWorld, *orderingInstance) {
	t.Helper()
	w := newWorld(1)
	x := w.instances[0]
	w.tickAndPerform(x)
	leaving := w.candidates()
	leaving[1].Ineligible = c.leaving
	if c.former {
		w.list(x, "b", "a", "b", "c")
		x.promotion.SetMembers(w.now, "a", 1, leaving)
		w.advance(time.Second)
	}
	x.promotion.SetMembers(w.now, "a", 1, leaving)
	w.commit(map[string]bool{"b": true, "c": true})
	w.seePrimary(x)
	w.commit(map[string]bool{"b": true})
	w.silent, w.down["a"], w.down["b"] = true, true, true
	w.advance(2 * time.Second)
	if c.before {
		w.list(x, "a", "a", "c")
	}
	if !x.promotion.Start(w.now, c.planned, "test") {
		t.Fatal("the change does not begin")
	}
	w.run(x, 500*time.Millisecond)
	w.list(x, "a", "a", "c")
	return w, x
}

// cutCase says what is cut off and how the primary is replaced.
type cutCase struct {
	planned bool // a switchover
	leaving bool // b is leaving
	former  bool // b was the primary before a
	before  bool // the entry of b expires before the change begins
}

var cutCases = map[string]cutCase{
	"switchover":                                 {planned: true},
	"switchover, leaving replica":                {planned: true, leaving: true},
	"switchover, entry expired before":           {planned: true, before: true},
	"failover":                                   {},
	"failover, leaving replica":                  {leaving: true},
	"failover, leaving replica, expired before":  {leaving: true, before: true},
	"failover, former primary":                   {leaving: true, former: true},
	"failover, former primary, expired before":   {former: true, before: true},
	"switchover, former primary, expired before": {planned: true, leaving: true, former: true, before: true},
}

// TestCutKeepsAcknowledgedCommits guards against a promotion outside a cut that drops what the old primary
// has acknowledged behind it, together with an upstream whose entry has expired.
func TestCutKeepsAcknowledgedCommits(t *testing.T) {
	for face, newWorld := range map[string]func(int) *orderedWorld{"fenced": newOrderedWorld, "unfenced": newUnfencedWorld} {
		for name, c := range cutCases {
			t.Run(face+", "+name, func(t *testing.T) {
				w, x := cutGroup(t, newWorld, c)
				w.run(x, 20*time.Second)
				if w.primary != "a" || w.term != 1 || len(w.lost) > 0 {
					t.Fatalf("primary %s in term %d, lost %v during the cut, want a in term 1 and none", w.primary, w.term, w.lost)
				}
				w.silent, w.down = false, make(map[string]bool)
				w.list(x, "a", "a", "b", "c")
				w.run(x, 6*time.Second)
				if w.primary == "" || len(w.lost) > 0 || x.promotion.Phase() != PhaseIdle {
					t.Errorf("primary %q, lost %v, phase %s after the cut, want one, none and %s", w.primary, w.lost, x.promotion.Phase(), PhaseIdle)
				}
			})
		}
	}
}

// TestCutWaitEnds guards against a group that stays without a primary although nothing is gained by a
// wait: for an upstream that has left, for one that has no commits of its own, or for one behind a cut
// that does not end.
func TestCutWaitEnds(t *testing.T) {
	for _, test := range []struct {
		name   string
		c      cutCase
		settle func(w *orderedWorld)
		within time.Duration
	}{
		{"the leaving replica has left from another failure domain", cutCase{leaving: true}, func(w *orderedWorld) { w.silentDomain = "y" }, time.Second},
		{"the former primary is in another failure domain", cutCase{former: true, before: true}, func(w *orderedWorld) { w.silentDomain = "y" }, time.Second},
		{"the old primary is back", cutCase{planned: true}, func(w *orderedWorld) { w.down["a"] = false }, 2 * time.Second},
		{"the silent instance is removed", cutCase{planned: true}, func(w *orderedWorld) { w.silent, w.gate = false, CommitGate{} }, vanishedTimeout + time.Second},
		{"the leaving replica and the silent instance are removed", cutCase{leaving: true}, func(w *orderedWorld) { w.silent, w.gate = false, CommitGate{} }, 3 * time.Second},
		{"the instance stays silent", cutCase{planned: true}, func(*orderedWorld) {}, silentTimeout + time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, x := cutGroup(t, newOrderedWorld, test.c)
			test.settle(w)
			w.run(x, test.within)
			if w.term != 2 || x.promotion.Phase() != PhaseIdle {
				t.Errorf("term %d, phase %s after %v, want 2 and %s", w.term, x.promotion.Phase(), test.within, PhaseIdle)
			}
		})
	}
	t.Run("all instances tell", func(t *testing.T) {
		w := newOrderedWorld(1)
		x := w.instances[0]
		w.tickAndPerform(x)
		w.commit(map[string]bool{"c": true})
		w.down["a"], w.down["b"] = true, true
		w.list(x, "a", "a", "c")
		x.promotion.Start(w.now, true, "test")
		w.run(x, time.Second)
		if w.primary != "c" || len(w.lost) > 0 {
			t.Errorf("primary %s, lost %v, want c after 1 s and none", w.primary, w.lost)
		}
	})
}

package failover

import (
	"testing"
	"time"
)

// everywhere names the upstreams of a world.
var everywhere = map[string]bool{"a": true, "b": true, "c": true}

// play ticks an instance for a time, and calls step before each tick.
func play(w *orderedWorld, x *orderingInstance, d time.Duration, step func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance(20 * time.Millisecond)
		step()
		w.tickAndPerform(x)
	}
}

// expectPrimary checks the primary, and that no acknowledged commit is lost.
func expectPrimary(t *testing.T, w *orderedWorld, want string) {
	t.Helper()
	if w.primary != want || len(w.lost) > 0 {
		t.Errorf("primary %q, lost %v, want %q and none", w.primary, w.lost, want)
	}
}

// TestPromotionLosesCommitsOfUnlistedReplica guards against commits that a replica which is not
// listed yet receives while the primary is being replaced.
func TestPromotionLosesCommitsOfUnlistedReplica(t *testing.T) {
	for _, test := range []struct {
		name    string
		planned bool
		silent  bool // the gateway does not answer the freeze
		lags    bool // the listed replicas receive nothing
		want    string
	}{
		{name: "planned", planned: true, want: "b"},
		{name: "planned, the listed replicas lag", planned: true, lags: true, want: "a"},
		{name: "planned, the gateway does not answer", planned: true, silent: true, want: "a"},
		{name: "failover", want: "b"},
		{name: "failover, the listed replicas lag", lags: true, want: "a"},
		{name: "failover, the gateway does not answer", silent: true, want: "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newOrderedWorld(1)
			x := w.instances[0]
			w.orderDelay, w.silent = 300*time.Millisecond, test.silent
			w.commit(everywhere)
			play(w, x, time.Second, func() {})
			w.unlisted = []string{"d"}
			x.promotion.Start(w.now, test.planned, "test")
			play(w, x, 3*time.Second, func() { w.commit(map[string]bool{"b": !test.lags, "c": !test.lags, "d": true}) })
			expectPrimary(t, w, test.want)
			if n := len(w.acked); n < 2 {
				t.Errorf("%d commits were acknowledged, want some by way of the unlisted replica", n)
			}
		})
	}
}

// TestPromotionWithoutOnlyHolder guards against a promotion that lacks commits whose only holders
// are the crashed primary and a leaving replica that has ended.
func TestPromotionWithoutOnlyHolder(t *testing.T) {
	for name, newWorld := range map[string]func(int) *orderedWorld{"fenced": newOrderedWorld, "unfenced": newUnfencedWorld} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1)
			x := w.instances[0]
			list := w.candidates()
			list[2].Ineligible = true // c is leaving
			x.promotion.SetMembers(w.now, "a", 1, list)
			w.commit(everywhere)
			play(w, x, time.Second, func() { w.commit(map[string]bool{"c": true}) })
			w.down["a"] = true
			x.promotion.Start(w.now, false, "test")
			play(w, x, 20*time.Millisecond, func() {})
			w.down["c"], w.names = true, []string{"a", "b"}
			x.promotion.SetMembers(w.now, "", 1, w.candidates())
			play(w, x, 20*time.Second, func() {})
			if w.highestToken != 0 {
				t.Errorf("an order with token %d was sent, want none while the commits are gone", w.highestToken)
			}
			w.names, w.logs["a2"], w.primary = []string{"a2", "b"}, w.logs["a"], "a2" // the primary is back under another name
			x.promotion.SetMembers(w.now, "a2", 1, w.candidates())
			play(w, x, 2*time.Second, func() {})
			expectPrimary(t, w, "a2")
			if w.term != 2 {
				t.Errorf("term %d, want 2: only a promotion lets the paused replica receive again", w.term)
			}
		})
	}
}

// TestLateOrderUndoesChange guards against an order without an answer that takes effect during the
// next change, after its replicas were paused.
func TestLateOrderUndoesChange(t *testing.T) {
	w := newOrderedWorld(1)
	x := w.instances[0]
	w.commit(everywhere)
	play(w, x, time.Second, func() {})
	x.promotion.Start(w.now, false, "test")
	for x.promotion.Phase() != PhaseOrder {
		w.advance(20 * time.Millisecond)
		w.tickAndPerform(x)
	}
	w.enqueue(x, x.promotion.Tick(w.now))
	for len(x.commands) > 0 {
		w.performCommand(x, 0, x.commands[0].Action != ActionOrderPromotion)
	}
	first := w.lateOrders[0]
	runUntilIdle(t, w, x)
	play(w, x, changeCooldown+time.Second, func() { w.commit(everywhere) })
	x.promotion.SetMembers(w.now, w.primary, w.term, w.candidates())
	x.promotion.Start(w.now, false, "test")
	late := false
	play(w, x, 5*time.Second, func() {
		if x.promotion.Phase() == PhaseOrder && !late {
			late = true
			w.answerOrder(first)
			w.orderDelay = 300 * time.Millisecond
		}
		target := x.promotion.Target()
		w.commit(map[string]bool{"a": !late || target != "a", "b": !late || target != "b", "c": !late || target != "c"})
	})
	if len(w.lost) > 0 {
		t.Errorf("lost %v, want none", w.lost)
	}
	if !late || w.highestToken <= first.Token {
		t.Errorf("late order played: %t, highest token %d, want a newer one", late, w.highestToken)
	}
}

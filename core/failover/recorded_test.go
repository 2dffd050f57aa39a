package failover

import (
	"slices"
	"testing"
	"time"
)

// unansweredOrder returns a group in which the first instance has ordered the promotion of b,
// has got no answer and is lost, and the second one has begun a change. For the second
// instance c is nearer than b. If bBehind is set, b restarts and lacks a commit that c has.
func unansweredOrder(t *testing.T, bBehind bool) (w *orderedWorld, second *orderingInstance) {
	t.Helper()
	w = newUnfencedWorld(2)
	first, second := w.instances[0], w.instances[1]
	w.tickAndPerform(first) // draws a token
	w.commit(map[string]bool{"b": true, "c": true})
	first.promotion.Start(w.now, false, "test")
	for len(w.lateOrders) == 0 {
		w.advance(20 * time.Millisecond)
		w.enqueue(first, first.promotion.Tick(w.now))
		for len(first.commands) > 0 {
			w.performCommand(first, 0, first.commands[0].Action != ActionOrderPromotion)
		}
		if w.now.Sub(epoch) > time.Minute {
			t.Fatalf("nothing was ordered in phase %s", first.promotion.Phase())
		}
	}
	if w.target != "b" {
		t.Fatalf("recorded target %q, want b", w.target)
	}
	if bBehind {
		w.logs["c"] = append(slices.Clone(w.logs["c"]), 99)
	}
	list := w.candidates()
	list[1].Distance = 1
	second.promotion.SetMembers(w.now, "a", 1, list)
	second.promotion.Start(w.now, false, "test")
	return w, second
}

// firstOrder ticks an instance until it orders a promotion, and returns the order and the
// time that it took.
func firstOrder(t *testing.T, w *orderedWorld, x *orderingInstance) (Command, time.Duration) {
	t.Helper()
	began := w.now
	for w.now.Sub(began) < time.Minute {
		w.advance(20 * time.Millisecond)
		w.enqueue(x, x.promotion.Tick(w.now))
		for len(x.commands) > 0 {
			if c := x.commands[0]; c.Action == ActionOrderPromotion {
				return c, w.now.Sub(began)
			}
			w.performCommand(x, 0, true)
		}
	}
	t.Fatalf("no order in phase %s", x.promotion.Phase())
	return Command{}, 0
}

// runUntilDemote starts a change and ticks an instance until it demotes the old primary.
func runUntilDemote(t *testing.T, w *orderedWorld, x *orderingInstance) {
	t.Helper()
	x.promotion.Start(w.now, false, "test")
	for range 400 {
		w.advance(20 * time.Millisecond)
		w.tickAndPerform(x)
		if x.promotion.Phase() == PhaseDemote {
			return
		}
	}
	t.Fatalf("the change is in phase %s and does not demote the old primary", x.promotion.Phase())
}

// TestRecordedPromotionAfterUnansweredOrder guards against the loss of acknowledged commits
// by an order that is carried out after another upstream was promoted, and against an order
// with an outdated token that arrives after a newer one.
func TestRecordedPromotionAfterUnansweredOrder(t *testing.T) {
	t.Run("the same target is ordered", func(t *testing.T) {
		w, second := unansweredOrder(t, false)
		c, after := firstOrder(t, w, second)
		if c.Upstream != "b" || after < settleTime {
			t.Errorf("%s ordered after %v, want b after at least %v", c.Upstream, after, settleTime)
		}
	})
	t.Run("another target is ordered only later", func(t *testing.T) {
		w, second := unansweredOrder(t, true)
		c, after := firstOrder(t, w, second)
		if c.Upstream != "c" || after < lateOrderTime {
			t.Errorf("%s ordered after %v, want c after at least %v", c.Upstream, after, lateOrderTime)
		}
	})
	t.Run("the instance that ordered begins no other change", func(t *testing.T) {
		w, _ := unansweredOrder(t, false)
		first := w.instances[0]
		runUntilIdle(t, w, first)
		w.advance(changeCooldown)
		if first.promotion.Start(w.now, false, "test") {
			t.Error("a change begins while an order without an answer may be carried out")
		}
		w.advance(lateOrderTime)
		if !first.promotion.Start(w.now, false, "test") {
			t.Error("no change begins later")
		}
	})
	t.Run("the target stays recorded", func(t *testing.T) {
		w, _ := unansweredOrder(t, false)
		runUntilIdle(t, w, w.instances[0]) // a repeated order is answered
		x := w.instances[0].promotion
		if !x.MayStillBeCarriedOut(w.now, w.target, w.targetToken) {
			t.Error("the next token object would not have the target")
		}
		if w.advance(lateOrderTime); x.MayStillBeCarriedOut(w.now, w.target, w.targetToken) {
			t.Error("the target is never erased")
		}
	})
}

// TestRecordedPromotionOfDemotedPrimary guards against an order beside an old primary that
// has become the primary of a later term.
func TestRecordedPromotionOfDemotedPrimary(t *testing.T) {
	w := newUnfencedWorld(1)
	x := w.instances[0]
	w.tickAndPerform(x)
	w.commit(map[string]bool{"b": true, "c": true})
	runUntilDemote(t, w, x)
	w.term = 4
	x.promotion.HandleDemote(w.now, w.now, "a", ReplicationStatus{Primary: true, Term: 4}, nil, time.Time{})
	if p := x.promotion.Phase(); p != PhasePause {
		t.Errorf("phase %s, want the replicas paused for the later term", p)
	}
	runUntilIdle(t, w, x)
	if w.primary == "a" || w.primary == "" || w.goesOn["a"] {
		t.Errorf("primary %q, a goes on: %v, want another primary and false", w.primary, w.goesOn["a"])
	}
}

// TestRecordedPromotionOfUnreachablePrimary guards against an order before the instances that
// did not hear of it have stopped, and against an old primary that goes on when it is back.
func TestRecordedPromotionOfUnreachablePrimary(t *testing.T) {
	w := newUnfencedWorld(1)
	x := w.instances[0].promotion
	w.tickAndPerform(w.instances[0])
	runUntilDemote(t, w, w.instances[0])
	until := w.now.Add(time.Second)
	x.HandleDemote(w.now, w.now, "a", ReplicationStatus{}, errNoAnswer, until)
	if x.Phase() != PhaseDemote {
		t.Fatalf("phase %s before the silent instances have stopped", x.Phase())
	}
	w.advance(time.Second)
	x.HandleDemote(w.now, w.now, "a", ReplicationStatus{}, errNoAnswer, until)
	if x.Phase() != PhaseOrder {
		t.Fatalf("phase %s, want the order", x.Phase())
	}
	runUntilIdle(t, w, w.instances[0])
	w.advance(commandInterval)
	if !slices.ContainsFunc(x.Tick(w.now), func(c Command) bool { return c.Action == ActionDemote && c.Upstream == "a" }) {
		t.Error("the old primary is not demoted after the change")
	}
}

package failover

import (
	"testing"
	"time"

	"burdockseam/core/wal"
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

// TestGatePassesCommitOfEarlierTerm guards against the late answer to a commit that a promotion drops.
func TestGatePassesCommitOfEarlierTerm(t *testing.T) {
	at := func(term, offset uint64) Acknowledged {
		p := wal.Position{Term: term, Offset: offset}
		return Acknowledged{Least: p, Most: p}
	}
	expect := func(t *testing.T, g *CommitGate, commit Acknowledged, want Passage) {
		t.Helper()
		if p := g.Pass(epoch, 2, commit); p != want {
			t.Errorf("commit %v: %s, want %s", commit.Most, p, want)
		}
	}
	t.Run("after a commit of the next term", func(t *testing.T) {
		var g CommitGate
		g.Freeze(epoch, 1, 1)
		g.Keep(epoch, 1, 1, wal.Position{Term: 1, Offset: 5})
		expect(t, &g, at(2, 6), PassageOpen)
		expect(t, &g, at(1, 9), PassageInDoubt)
	})
	t.Run("before the next promotion, after a missed announcement", func(t *testing.T) {
		var g CommitGate
		g.Freeze(epoch, 1, 1) // this promotion keeps 1/5
		g.Freeze(epoch, 2, 2)
		g.Keep(epoch, 2, 2, wal.Position{Term: 2, Offset: 8})
		expect(t, &g, at(1, 7), PassageInDoubt)
		expect(t, &g, at(2, 8), PassageOpen)
	})
}

// playPartlySilent plays with another gateway that answers freezes and has seen commits of the term.
func playPartlySilent(w *orderedWorld, x *orderingInstance, d time.Duration, step func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance(20 * time.Millisecond)
		step()
		w.enqueue(x, x.promotion.Tick(w.now))
		for len(x.commands) > 0 {
			if c := x.commands[0]; c.Action == ActionFreeze {
				x.commands, x.sent = x.commands[1:], x.sent[1:]
				x.promotion.HandleFreeze(w.now, w.now, c, []FreezeAnswer{{Acknowledged: Acknowledged{Most: wal.Position{Term: w.term, Offset: 1}}}}, []string{"x"})
				continue
			}
			w.performCommand(x, 0, true)
		}
	}
}

// TestPromotionBecauseOfUnansweredCommits guards against the loss of commits that a silent gateway has
// acknowledged, although the old primary was demoted and has them.
func TestPromotionBecauseOfUnansweredCommits(t *testing.T) {
	w := newOrderedWorld(1)
	x := w.instances[0]
	w.silent, w.unlisted = true, []string{"d"}
	w.commit(everywhere)
	play(w, x, time.Second, func() { w.commit(map[string]bool{"d": true}) })
	x.promotion.Start(w.now, false, ReasonUnanswered)
	play(w, x, 3*time.Second, func() { w.commit(map[string]bool{"d": true}) })
	expectPrimary(t, w, "a")
}

// TestDemotionForOutdatedTerm guards against a demotion and pauses that did nothing, because the term
// had moved on, and that count as attempted and paused.
func TestDemotionForOutdatedTerm(t *testing.T) {
	t.Run("demotion", func(t *testing.T) {
		w := newOrderedWorld(1)
		x := w.instances[0]
		w.term, w.silent, w.unlisted = 2, true, []string{"d"} // the instance knows term 1
		w.commit(everywhere)
		play(w, x, time.Second, func() { w.commit(map[string]bool{"d": true}) })
		x.promotion.Start(w.now, false, "test")
		playPartlySilent(w, x, 3*time.Second, func() { w.commit(map[string]bool{"d": true}) })
		expectPrimary(t, w, "a")
	})
	t.Run("pause", func(t *testing.T) {
		w := newOrderedWorld(1)
		x := w.instances[0]
		x.promotion.Start(w.now, true, "test")
		for x.promotion.Phase() != PhasePause {
			w.advance(20 * time.Millisecond)
			w.tickAndPerform(x)
		}
		w.term = 2
		play(w, x, 40*time.Millisecond, func() {})
		if x.promotion.findCandidate("b").isPaused(w.now) && !w.paused["b"] {
			t.Error("a replica that still receives counts as paused")
		}
	})
}

// TestHolderOfEarlierTerm guards against an upstream that was demoted before another instance promoted
// a third one, and then counts as the holder of the commits of the next term.
func TestHolderOfEarlierTerm(t *testing.T) {
	w := newOrderedWorld(1)
	x := w.instances[0]
	w.silent, w.unlisted = true, []string{"d"}
	w.commit(everywhere)
	play(w, x, time.Second, func() { w.commit(everywhere) })
	x.promotion.Start(w.now, false, "test")
	for x.promotion.Phase() != PhasePause {
		w.advance(20 * time.Millisecond)
		w.tickAndPerform(x)
	}
	w.down["a"], w.down["c"] = true, true
	play(w, x, 700*time.Millisecond, func() {})
	w.down["a"] = false
	for x.promotion.holder.upstream == "" {
		w.advance(20 * time.Millisecond)
		w.tickAndPerform(x)
	}
	w.makePrimary("b")
	w.down["c"] = false
	x.promotion.HandlePrimaryConfirmed(w.now, w.now, "b")
	playPartlySilent(w, x, 5*time.Second, func() { w.commit(map[string]bool{"d": true}) })
	if len(w.lost) > 0 {
		t.Errorf("lost %v, want none", w.lost)
	}
}

// TestOrderIsNotRepeatedBelowAcknowledged guards against an order that is repeated after a gateway has
// told that the target lacks a commit.
func TestOrderIsNotRepeatedBelowAcknowledged(t *testing.T) {
	w := newOrderedWorld(1)
	x := w.instances[0]
	w.silent, w.unlisted = true, []string{"d"}
	w.commit(everywhere)
	play(w, x, time.Second, func() { w.commit(map[string]bool{"d": true}) })
	w.down["a"] = true
	x.promotion.Start(w.now, false, "test")
	for x.promotion.Phase() != PhaseOrder {
		w.advance(20 * time.Millisecond)
		w.tickAndPerform(x)
	}
	w.enqueue(x, x.promotion.Tick(w.now))
	for len(x.commands) > 0 {
		w.performCommand(x, 0, x.commands[0].Action != ActionOrderPromotion)
	}
	w.lateOrders = nil // it is never carried out
	w.silent = false
	w.enqueue(x, []Command{{Action: ActionFreeze, Term: 1, Token: x.promotion.token}})
	w.performCommand(x, 0, true)
	play(w, x, 5*time.Second, func() {})
	w.down["a"] = false
	play(w, x, 5*time.Second, func() {})
	expectPrimary(t, w, "a")
}

// TestChangeWaitsForKeptPosition guards against a change that never ends, because the only replica is
// still paused and lacks what the last promotion kept, while the primary works and acknowledges nothing.
func TestChangeWaitsForKeptPosition(t *testing.T) {
	w := newOrderedWorld(1)
	x := w.instances[0]
	w.commit(everywhere)
	w.commit(map[string]bool{"c": true})
	x.promotion.HandleKept(w.position("a"))
	w.names, w.paused["b"] = []string{"a", "b"}, true
	x.promotion.SetMembers(w.now, "a", 1, w.candidates())
	play(w, x, vanishedTimeout, func() {})
	x.promotion.Start(w.now, false, ReasonUnanswered)
	before := len(w.acked)
	play(w, x, 20*time.Second, func() {
		w.commit(everywhere)
		if w.primary == "a" {
			x.promotion.HandlePrimarySeen(w.now, "a")
		}
	})
	if len(w.acked) == before || len(w.lost) > 0 {
		t.Errorf("phase %s, primary %q, %d commits acknowledged, lost %v", x.promotion.Phase(), w.primary, len(w.acked)-before, w.lost)
	}
}

// TestHolderAfterUnknownPromotion guards against the same, if the promotion by another instance is only
// seen in the term that the replicas tell, since the new primary does not answer.
func TestHolderAfterUnknownPromotion(t *testing.T) {
	w := newOrderedWorld(1)
	x := w.instances[0]
	w.silent, w.unlisted = true, []string{"d"}
	w.commit(everywhere)
	play(w, x, time.Second, func() { w.commit(everywhere) })
	x.promotion.Start(w.now, false, "test")
	for x.promotion.holder.upstream == "" {
		w.advance(20 * time.Millisecond)
		w.tickAndPerform(x)
	}
	w.makePrimary("b")
	x.promotion.enterPhase(w.now, PhasePause)
	for end := w.now.Add(3 * time.Second); w.now.Before(end); {
		w.advance(20 * time.Millisecond)
		w.commit(map[string]bool{"d": true})
		w.enqueue(x, x.promotion.Tick(w.now))
		for len(x.commands) > 0 {
			if x.commands[0].Upstream == "b" {
				x.commands, x.sent = x.commands[1:], x.sent[1:]
				continue
			}
			w.performCommand(x, 0, true)
		}
	}
	if len(w.lost) > 0 {
		t.Errorf("lost %v, want none", w.lost)
	}
}

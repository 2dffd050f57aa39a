package failover

import (
	"testing"
	"time"

	"burdockseam/core/wal"
)

// at returns a position of term 1.
func at(offset uint64) wal.Position { return wal.Position{Term: 1, Offset: offset} }

// answersOf returns the answers of one instance that has acknowledged commits up to a position.
func answersOf(p wal.Position) []FreezeAnswer {
	return []FreezeAnswer{{Acknowledged: Acknowledged{p, p}, Age: time.Hour, Term: p.Term}}
}

// startPauses takes a failover from a to the pauses of b and c, which both have received 1/96.
func startPauses(t *testing.T, c *OrderedPromotion) time.Time {
	t.Helper()
	now := epoch.Add(time.Hour)
	c.SetMembers(now, "a", 1, []Candidate{{Upstream: "a"}, {Upstream: "b"}, {Upstream: "c"}})
	c.SetContact(true)
	c.HandleToken(now, 1, 0)
	c.Start(now, false, "test")
	c.Tick(now)
	for _, name := range []string{"b", "c"} {
		c.HandleSurvey(now, now, name, false, at(96), nil)
	}
	now = now.Add(10 * time.Millisecond)
	c.Tick(now)
	if c.Tick(now); c.Phase() != PhasePause {
		t.Fatalf("phase %s, want %s", c.Phase(), PhasePause)
	}
	for _, name := range []string{"b", "c"} {
		c.HandlePause(now, now, name, ReplicationStatus{Term: 1, Received: at(96)}, nil)
	}
	return now
}

// expectNoOrder checks that no order is among the commands that are due.
func expectNoOrder(t *testing.T, c *OrderedPromotion, now time.Time) {
	t.Helper()
	for _, cmd := range c.Tick(now) {
		if cmd.Action == ActionOrderPromotion {
			t.Errorf("ordered %s, which keeps %v", cmd.Upstream, c.KeptPosition())
		}
	}
}

// TestOrderByOutdatedAnswers guards against an order that is sent after the facts by which its target
// was chosen have ended or changed.
func TestOrderByOutdatedAnswers(t *testing.T) {
	freeze := Command{Action: ActionFreeze, Term: 1, Token: 1}
	setup := func(t *testing.T) (*OrderedPromotion, time.Time) {
		c := NewOrderedPromotion(1)
		now := startPauses(t, c)
		c.HandleFreeze(now, now, freeze, answersOf(at(95)), nil)
		c.Tick(now)
		if c.HandleList(now); c.Phase() != PhaseOrder {
			t.Fatalf("phase %s, want %s", c.Phase(), PhaseOrder)
		}
		return c, now
	}
	t.Run("the instance was suspended", func(t *testing.T) {
		c, now := setup(t)
		expectNoOrder(t, c, now.Add(30*time.Second))
	})
	t.Run("a gateway tells of another commit", func(t *testing.T) {
		c, now := setup(t)
		c.HandleFreeze(now, now.Add(time.Millisecond), freeze, answersOf(at(120)), nil)
		expectNoOrder(t, c, now.Add(10*time.Millisecond))
	})
	t.Run("a gateway knows a newer term", func(t *testing.T) {
		c, now := setup(t)
		c.HandleFreeze(now, now.Add(time.Millisecond), freeze, []FreezeAnswer{{Age: time.Hour, Term: 2}}, nil)
		expectNoOrder(t, c, now.Add(10*time.Millisecond))
	})
}

// TestFreezeOfOrderedTerm guards against commits of the new primary that wait, because its order was
// carried out without an answer and a renewed freeze takes its term for that of the old primary.
func TestFreezeOfOrderedTerm(t *testing.T) {
	c := NewOrderedPromotion(1)
	now := startPauses(t, c)
	freeze := Command{Action: ActionFreeze, Term: 1, Token: 1}
	c.HandleFreeze(now, now, freeze, answersOf(at(95)), nil)
	c.Tick(now)
	c.HandleList(now)
	c.Tick(now)
	c.HandleOrder(now, Command{Action: ActionOrderPromotion, Upstream: c.Target(), Token: 1}, ResponseUnknown)
	c.HandleFreeze(now, now.Add(time.Millisecond), freeze, answersOf(wal.Position{Term: 2, Offset: 97}), nil)
	freezes, orders := 0, 0
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		for _, cmd := range c.Tick(now) {
			switch cmd.Action {
			case ActionFreeze:
				if freezes++; cmd.Term != 1 {
					t.Fatalf("term %d is frozen, want 1", cmd.Term)
				}
				c.HandleFreeze(now, now, cmd, answersOf(wal.Position{Term: 2, Offset: 97}), nil)
			case ActionOrderPromotion:
				orders++
			}
		}
	}
	if freezes == 0 || orders == 0 {
		t.Errorf("%d freezes and %d orders in 2 s, want some", freezes, orders)
	}
}

// TestHolderStartsAgainWithoutLog guards against a demoted primary that has started again under its
// name with nothing, and still stands for every acknowledged commit.
func TestHolderStartsAgainWithoutLog(t *testing.T) {
	c := NewOrderedPromotion(1)
	now := startPauses(t, c)
	c.HandleFreeze(now, now, Command{Action: ActionFreeze, Term: 1, Token: 1}, answersOf(at(95)), []string{"x"})
	c.HandleDemote(now, now, "a", ReplicationStatus{Term: 1, Received: at(100), Led: true}, nil, time.Time{})
	c.HandlePause(now, now.Add(time.Millisecond), "a", ReplicationStatus{Term: 1}, nil)
	for range 30 {
		now = now.Add(20 * time.Millisecond)
		expectNoOrder(t, c, now)
		c.HandleList(now)
	}
}

// TestDemotionIsRefusedOnce guards against a change that leaves a working primary alone, because it had
// no free connection once, although a gateway that does not answer may have acknowledged commits.
func TestDemotionIsRefusedOnce(t *testing.T) {
	c := NewOrderedPromotion(1)
	now := startPauses(t, c)
	c.HandleFreeze(now, now, Command{Action: ActionFreeze, Term: 1, Token: 1}, answersOf(at(95)), []string{"x"})
	c.HandleDemote(now, now, "a", ReplicationStatus{}, ErrRefused, time.Time{})
	if c.Tick(now); c.Phase() != PhasePause {
		t.Errorf("phase %s, want %s", c.Phase(), PhasePause)
	}
}

// TestForgetfulInstancesBeforeDemotion guards against a choice by what instances know that have all
// started again, before the demotion of the old primary is answered.
func TestForgetfulInstancesBeforeDemotion(t *testing.T) {
	c := NewOrderedPromotion(1)
	now := startPauses(t, c)
	c.HandleFreeze(now, now, Command{Action: ActionFreeze, Term: 1, Token: 1}, []FreezeAnswer{{Age: time.Second, Idle: time.Second}}, nil)
	if c.Tick(now); c.Phase() != PhasePause {
		t.Errorf("phase %s, want %s", c.Phase(), PhasePause)
	}
	c.HandleDemote(now, now, "a", ReplicationStatus{Term: 1, Received: at(100), Led: true}, nil, time.Time{})
	c.Tick(now)
	if c.HandleList(now); c.Target() != "a" {
		t.Errorf("target %q in phase %s, want a", c.Target(), c.Phase())
	}
}

// TestUnlistedPrimaryIsNotDemoted guards against a change that never ends, because an instance does not
// answer and the entry of the crashed primary has lapsed.
func TestUnlistedPrimaryIsNotDemoted(t *testing.T) {
	c := NewOrderedPromotion(1)
	now := startPauses(t, c)
	c.SetMembers(now, "a", 1, []Candidate{{Upstream: "b"}, {Upstream: "c"}})
	c.HandleFreeze(now, now, Command{Action: ActionFreeze, Term: 1, Token: 1}, answersOf(at(95)), []string{"x"})
	c.HandleDemote(now, now, "a", ReplicationStatus{}, errNoAnswer, time.Time{})
	if c.Tick(now); c.Phase() != PhaseList {
		t.Errorf("phase %s, want %s", c.Phase(), PhaseList)
	}
}

// TestDemotedPrimaryHasMore guards against an order on a platform without fencing for a target that
// lacks commits which the old primary acknowledged until its demotion.
func TestDemotedPrimaryHasMore(t *testing.T) {
	w := newUnfencedWorld(1)
	x := w.instances[0]
	w.orderDelay = 300 * time.Millisecond
	w.commit(everywhere)
	play(w, x, time.Second, func() {})
	w.unlisted = []string{"d"}
	x.promotion.Start(w.now, false, "test")
	play(w, x, 3*time.Second, func() {
		if p := x.promotion.Phase(); p == PhaseSurvey || p == PhasePause || p == PhaseList {
			w.commit(map[string]bool{"b": true, "c": true, "d": true}) // later ones are superseded
		}
	})
	if len(w.lost) > 0 || w.term < 2 {
		t.Errorf("lost %v, term %d, want none and a promotion", w.lost, w.term)
	}
}

// TestStalledPrimaryIsOrderedAgain guards against a platform without fencing on which a primary that
// reaches no replica is ordered again and again.
func TestStalledPrimaryIsOrderedAgain(t *testing.T) {
	w := newUnfencedWorld(1)
	x := w.instances[0]
	w.commit(everywhere)
	play(w, x, time.Second, func() { w.commit(everywhere) })
	x.promotion.Start(w.now, false, ReasonUnanswered)
	play(w, x, 3*time.Second, func() {
		if w.primary == "a" {
			w.commit(nil) // without an answer
		}
	})
	if w.primary == "a" || w.primary == "" || len(w.lost) > 0 {
		t.Errorf("primary %q, lost %v, want b or c and none", w.primary, w.lost)
	}
}

package failover

import (
	"slices"
	"testing"
	"time"
)

// run ticks an instance for a time and performs its commands.
func (w *orderedWorld) run(x *orderingInstance, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance(20 * time.Millisecond)
		w.tickAndPerform(x)
	}
}

// seePrimary makes an instance see that the primary works.
func (w *orderedWorld) seePrimary(x *orderingInstance) {
	x.promotion.HandlePrimarySeen(w.now, w.primary)
	x.promotion.HandlePrimaryConfirmed(w.now, w.now, w.primary)
}

// list sets the upstreams that an instance finds in its list, and the primary in its view.
func (w *orderedWorld) list(x *orderingInstance, primary string, names ...string) {
	list := slices.DeleteFunc(w.candidates(), func(m Candidate) bool { return !slices.Contains(names, m.Upstream) })
	x.promotion.SetMembers(w.now, primary, 1, list)
}

// expectState checks the primary, the paused replicas and that no acknowledged commit was lost.
func (w *orderedWorld) expectState(t *testing.T, x *orderingInstance, primary string, paused int, phase Phase) {
	t.Helper()
	if w.primary != primary || len(w.paused) != paused || x.promotion.Phase() != phase || len(w.lost) > 0 {
		t.Fatalf("primary %s, paused %v, phase %s, lost %v, want %s, %d paused, %s and nothing lost", w.primary, w.paused, x.promotion.Phase(), w.lost, primary, paused, phase)
	}
}

// TestChangeNeedsContact guards against the loss of acknowledged commits by an instance that is
// cut off together with a part of the group: it takes a healthy primary for lost and chooses among
// upstreams that have received nothing.
func TestChangeNeedsContact(t *testing.T) {
	all := map[string]bool{"b": true, "c": true}
	setup := func() (*orderedWorld, *orderingInstance) {
		w := newUnfencedWorld(1)
		x := w.instances[0]
		w.tickAndPerform(x) // draws a token
		w.commit(all)
		return w, x
	}
	t.Run("the primary is back when contact is", func(t *testing.T) {
		w, x := setup()
		x.promotion.SetContact(false)
		x.promotion.Start(w.now, false, "test")
		for range 60 { // 3 s
			w.run(x, 50*time.Millisecond)
			w.commit(map[string]bool{"b": true})
		}
		w.expectState(t, x, "a", 0, PhaseSurvey)
		x.promotion.SetContact(true)
		w.seePrimary(x)
		w.expectState(t, x, "a", 0, PhaseIdle)
	})
	t.Run("the primary is lost when contact is back", func(t *testing.T) {
		w, x := setup()
		w.down["a"] = true
		x.promotion.SetContact(false)
		x.promotion.Start(w.now, false, "test")
		w.run(x, 3*time.Second)
		x.promotion.SetContact(true)
		w.run(x, 200*time.Millisecond)
		if w.primary == "a" || len(w.lost) > 0 {
			t.Errorf("primary %s, lost %v, want another one than a in 200 ms", w.primary, w.lost)
		}
	})
	for _, until := range []Phase{PhasePause, PhaseList, PhaseDemote, PhaseOrder} {
		t.Run("contact is lost in phase "+string(until), func(t *testing.T) {
			w, x := setup()
			w.down["a"] = true
			x.promotion.Start(w.now, false, "test")
			for x.promotion.Phase() != until {
				w.advance(20 * time.Millisecond)
				w.enqueue(x, x.promotion.Tick(w.now))
				for len(x.commands) > 0 && x.promotion.Phase() != until {
					w.performCommand(x, 0, true)
				}
				if w.now.Sub(epoch) > time.Minute {
					t.Fatalf("phase %s, want %s", x.promotion.Phase(), until)
				}
			}
			x.commands, x.sent = nil, nil
			x.promotion.SetContact(false)
			w.run(x, 3*time.Second)
			if x.promotion.Phase() != PhaseSurvey || w.primary != "a" {
				t.Fatalf("phase %s, primary %s, want a survey and no order", x.promotion.Phase(), w.primary)
			}
			// Both replicas have restarted, and the primary has gone on with one of them.
			w.paused, w.down["a"] = make(map[string]bool), false
			w.commit(map[string]bool{"c": true})
			x.promotion.SetContact(true)
			runUntilIdle(t, w, x)
			w.expectState(t, x, w.primary, 0, PhaseIdle)
		})
	}
	t.Run("contact is lost after the order", func(t *testing.T) {
		// The order may be carried out at any time, so no other target may be chosen.
		w, x := setup()
		w.down["a"] = true
		x.promotion.Start(w.now, false, "test")
		c, _ := firstOrder(t, w, x)
		x.commands = nil
		x.promotion.SetContact(false)
		w.advance(20 * time.Millisecond)
		x.promotion.Tick(w.now)
		if x.promotion.Phase() != PhaseOrder {
			t.Fatalf("phase %s, want the order of %s", x.promotion.Phase(), c.Upstream)
		}
		x.promotion.HandleOrder(w.now, c, ResponseUnsent)
		w.advance(20 * time.Millisecond)
		x.promotion.Tick(w.now)
		if x.promotion.Phase() != PhaseSurvey {
			t.Errorf("phase %s after the order was not sent, want the survey", x.promotion.Phase())
		}
	})
	t.Run("a switchover without contact lets the primary go on", func(t *testing.T) {
		w, x := setup()
		x.promotion.Start(w.now, true, "test")
		for x.promotion.Phase() != PhaseHold {
			w.advance(20 * time.Millisecond)
			w.tickAndPerform(x)
		}
		x.promotion.SetContact(false)
		if !slices.ContainsFunc(x.promotion.Tick(w.now), func(c Command) bool { return c.Action == ActionRelease && c.Upstream == "a" }) {
			t.Error("the held work is not released")
		}
		w.run(x, 2*pauseValidity)
		w.expectState(t, x, "a", 0, PhaseIdle)
	})
}

// TestPrimaryIsBackDuringPauses guards against replicas that stay paused because a change ends when
// its primary is proven again, and against a change that goes on for no reason before it has paused
// one.
func TestPrimaryIsBackDuringPauses(t *testing.T) {
	setup := func(t *testing.T) (*orderedWorld, *orderingInstance) {
		t.Helper()
		w := newUnfencedWorld(2)
		x := w.instances[0]
		w.tickAndPerform(x)
		w.commit(map[string]bool{"b": true, "c": true})
		x.promotion.Start(w.now, false, "test")
		for x.promotion.Phase() != PhasePause {
			w.advance(20 * time.Millisecond)
			w.tickAndPerform(x)
		}
		return w, x
	}
	t.Run("nothing is paused yet", func(t *testing.T) {
		w, x := setup(t)
		w.advance(20 * time.Millisecond)
		w.seePrimary(x)
		w.expectState(t, x, "a", 0, PhaseIdle)
	})
	t.Run("older evidence", func(t *testing.T) {
		w, x := setup(t)
		x.promotion.HandlePrimaryConfirmed(w.now, epoch, "a")
		w.expectState(t, x, "a", 0, PhasePause)
	})
	t.Run("an order of another upstream may still be carried out", func(t *testing.T) {
		w, x := setup(t)
		w.advance(20 * time.Millisecond)
		x.promotion.unfinished, x.promotion.unfinishedToken, x.promotion.unfinishedSince = "b", 99, w.now
		w.seePrimary(x)
		w.expectState(t, x, "a", 0, PhasePause)
	})
	t.Run("a replica is paused", func(t *testing.T) {
		w, x := setup(t)
		w.enqueue(x, x.promotion.Tick(w.now))
		w.performCommand(x, 0, true)
		w.expectState(t, x, "a", 1, PhasePause)
		w.advance(20 * time.Millisecond)
		w.seePrimary(x)
		w.expectState(t, x, "a", 1, PhasePause)
		runUntilIdle(t, w, x)
		if w.primary == "a" || len(w.paused) > 0 || len(w.lost) > 0 {
			t.Errorf("primary %s, paused %v, lost %v, want another one than a and none", w.primary, w.paused, w.lost)
		}
	})
}

// TestEntryExpiredBeforeChange guards against a promotion of an upstream that lacks acknowledged
// commits, because the entry of the replica that has them expired before the change began, and
// against a wait where no replica can have them.
func TestEntryExpiredBeforeChange(t *testing.T) {
	for name, newWorld := range map[string]func(int) *orderedWorld{"fenced": newOrderedWorld, "unfenced": newUnfencedWorld} {
		// The entries of a and b expire while both go on, and c receives nothing.
		cut := func() (*orderedWorld, *orderingInstance) {
			w := newWorld(1)
			x := w.instances[0]
			w.tickAndPerform(x)
			w.commit(map[string]bool{"b": true})
			w.list(x, "", "c")
			w.advance(500 * time.Millisecond)
			w.list(x, "", "c")
			// One upstream alone has no other to be promoted from, so d joins.
			w.names = append(w.names, "d")
			w.list(x, "", "c", "d")
			if !x.promotion.Start(w.now, false, "test") {
				t.Fatal("the change does not begin")
			}
			return w, x
		}
		t.Run(name+", the entries are back", func(t *testing.T) {
			w, x := cut()
			w.run(x, 6*time.Second)
			w.expectState(t, x, "a", 0, PhaseSurvey)
			w.list(x, "", "a", "b", "c", "d")
			runUntilIdle(t, w, x)
			w.expectState(t, x, "a", 0, PhaseIdle)
		})
		t.Run(name+", the replica is back without the primary", func(t *testing.T) {
			w, x := cut()
			w.down["a"] = true
			w.run(x, 6*time.Second)
			w.list(x, "", "b", "c", "d")
			runUntilIdle(t, w, x)
			if w.primary != "b" || len(w.lost) > 0 {
				t.Errorf("primary %s, lost %v, want b and none", w.primary, w.lost)
			}
		})
		for _, test := range []struct {
			name string
			// lose makes b unavailable before a is lost.
			lose func(w *orderedWorld, x *orderingInstance)
		}{
			{"the entry expired long ago", func(w *orderedWorld, x *orderingInstance) {
				w.list(x, "a", "a", "c")
				w.run(x, vanishedTimeout)
			}},
			{"the replica was leaving", func(w *orderedWorld, x *orderingInstance) {
				list := w.candidates()
				list[1].Ineligible = true
				x.promotion.SetMembers(w.now, "a", 1, list)
				w.list(x, "a", "a", "c")
				x.promotion.HandlePrimarySeen(w.now, "a")
			}},
			{"the entry is of the primary before", func(w *orderedWorld, x *orderingInstance) {
				w.list(x, "b", "a", "b", "c")
				w.list(x, "a", "a", "b", "c")
				w.list(x, "a", "a", "c")
			}},
		} {
			t.Run(name+", "+test.name, func(t *testing.T) {
				w := newWorld(1)
				x := w.instances[0]
				w.tickAndPerform(x)
				w.commit(map[string]bool{"c": true})
				w.down["b"] = true
				test.lose(w, x)
				w.down["a"] = true
				if !x.promotion.Start(w.now, false, "test") {
					t.Fatal("the change does not begin")
				}
				w.run(x, 200*time.Millisecond)
				if w.primary != "c" || len(w.lost) > 0 {
					t.Errorf("primary %s, lost %v, want c after 200 ms", w.primary, w.lost)
				}
			})
		}
	}
}

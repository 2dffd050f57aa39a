package failover

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPromotionsKeepCommitsWhileUpstreamsJoinAndLeave guards against a promotion that loses an
// acknowledged commit, and against a change that does not end, in a group whose upstreams join before
// they are listed, leave for good and come back under other names, with gateways that are silent or new.
func TestPromotionsKeepCommitsWhileUpstreamsJoinAndLeave(t *testing.T) {
	// Some losses take thousands of days to appear.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == defaultChecks {
		if err := f.Value.Set("8000"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = f.Value.Set(defaultChecks) })
	}
	gap, promotions, checks := make(map[string]int), 0, 0
	var slowest time.Duration
	rapid.Check(t, func(t *rapid.T) {
		w := newJoinsWorld(t)
		w.exact = true
		w.playRandomly()
		took := w.recover()
		for obstacle, n := range w.gap {
			gap[obstacle] += n
		}
		promotions, checks, slowest = promotions+w.promotions, checks+1, max(slowest, took)
	})
	t.Logf("%d checks, %d promotions, commits lost in the gap %v, slowest recovery %v", checks, promotions, gap, slowest)
}

// playRandomly plays random events.
func (w *joinsWorld) playRandomly() {
	w.gateways[2].silent = rapid.Bool().Draw(w.t, "silent gateway")
	if rapid.Bool().Draw(w.t, "unlisted replica") {
		w.join(false).listAt = w.now.Add(w.ms("listed after", 0, 10000))
	}
	for _, u := range w.upstreams[1:3] {
		u.receives = rapid.IntRange(0, 3).Draw(w.t, "receives") > 0
	}
	for range rapid.IntRange(1, 25).Draw(w.t, "events") {
		u := rapid.SampledFrom(w.upstreams).Draw(w.t, "upstream")
		u = w.find(u.name)
		k := rapid.IntRange(0, len(w.coordinators)-1).Draw(w.t, "coordinator")
		x := w.coordinators[k]
		g := rapid.IntRange(0, len(w.gateways)-1).Draw(w.t, "gateway")
		switch action := rapid.SampledFrom([]string{"wait", "start", "start", "start", "receives", "receives", "crash", "crash", "crash primary", "back", "back", "back renamed", "restart", "join", "leaving", "leave", "store", "silent", "new gateway", "new coordinator", "cut", "cut off", "cut off", "heal", "stale", "coordinating"}).Draw(w.t, "action"); action {
		case "start":
			x.coordinating = true
			switch rapid.IntRange(0, 3).Draw(w.t, "reason") {
			case 0, 1:
				w.start(x, false, "test")
			case 2:
				w.start(x, false, ReasonUnanswered)
			case 3:
				w.start(x, true, "test")
			}
		case "receives":
			u.receives = !u.receives
		case "crash":
			w.crash(u)
		case "crash primary":
			if w.primary != nil {
				w.crash(w.primary)
			}
		case "back", "back renamed":
			if u.down {
				w.comeBack(u, action == "back renamed")
			}
		case "restart":
			if u != w.primary {
				w.resume(u)
			}
		case "join":
			if len(w.upstreams) < 5 {
				w.join(false).listAt = w.now.Add(w.ms("listed after", 0, 1500))
			}
		case "leaving":
			u.leaving = true
		case "leave":
			if u.leaving {
				w.leave(u)
			}
		case "store":
			w.storeDown = !w.storeDown
		case "silent":
			w.gateways[g].silent = !w.gateways[g].silent
		case "new gateway":
			if g >= len(w.coordinators) {
				w.restartGateway(g)
			}
		case "new coordinator":
			w.restartGateway(k)
			w.startCoordinator(k)
		case "cut":
			x.cut = !x.cut
		case "cut off":
			if w.cutSince.IsZero() {
				w.cutSince = w.now
			}
		case "heal":
			w.heal()
		case "stale":
			x.stale = !x.stale
		case "coordinating":
			if x.coordinating = !x.coordinating; x.coordinating {
				x.promotion.StartCoordinating(w.now)
			}
		}
		for end := w.now.Add(w.ms("ms", 0, 1500)); w.now.Before(end); {
			w.step()
			if w.failure != "" {
				w.t.Fatal(w.failure)
			}
		}
	}
}

// restartGateway replaces a gateway by one that has forgotten what it acknowledged.
func (w *joinsWorld) restartGateway(g int) {
	w.gateways[g] = &joinsGateway{started: w.now, domain: w.gateways[g].domain}
	for _, x := range w.coordinators {
		x.unknown[w.gateways[g]] = w.now.Add(w.ms("known after", 0, 2000))
	}
}

// recover ends all disturbances, and returns the time until commits are acknowledged again.
func (w *joinsWorld) recover() time.Duration {
	w.faulty, w.storeDown = false, false
	w.heal()
	for _, u := range w.upstreams {
		u.receives, u.leaving = true, false
		if u.down {
			u.down, u.paused = false, false
			if w.primary != nil && u != w.primary {
				u.log = commonPrefix(u.log, w.primary.log)
			}
		}
		u.listAt = w.now
	}
	for _, g := range w.gateways {
		g.silent = false
	}
	for k, x := range w.coordinators {
		x.cut, x.stale = false, false
		x.coordinating = k == 0
	}
	began, well := w.now, time.Time{}
	for w.now.Sub(began) < time.Minute {
		w.step()
		if w.failure != "" {
			w.t.Fatal(w.failure)
		}
		idle := w.coordinators[0].promotion.Phase() == PhaseIdle && w.coordinators[1].promotion.Phase() == PhaseIdle
		switch acking := w.now.Sub(w.lastAck) < 300*time.Millisecond; {
		case !idle || !acking:
			well = time.Time{}
		case well.IsZero():
			well = w.now
		case w.now.Sub(well) >= 2*time.Second:
			return well.Sub(began)
		}
		if w.now.Sub(w.lastAck) >= 1500*time.Millisecond && w.steps%20 == 0 && len(w.upstreams) > 1 {
			reason := ReasonUnanswered // the primary is proven to work, but acknowledges nothing
			if w.primary == nil {
				reason = "test"
			}
			w.start(w.coordinators[0], false, reason)
		}
		if len(w.upstreams) < 2 {
			w.join(true)
		}
	}
	w.t.Fatalf("phases %s and %s, last commit %v ago", w.coordinators[0].promotion.Phase(), w.coordinators[1].promotion.Phase(), w.now.Sub(w.lastAck))
	return 0
}

package queue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// loadKind is a kind of requests as callers send it, with its mean rate over all teams.
type loadKind struct {
	name             string
	priority         int
	rate             float64
	service          time.Duration
	target, deadline time.Duration
	value, late      float64 // worth of an answer within the target, and of a later one
}

// loadKinds has the kinds of deployment A, with the rates of a busy primary. They take
// 0.70 of the slots. Reads are offered with 0.4 of the route's timeout, which is about
// twice the target.
var loadKinds = []loadKind{
	{"urgent", 0, 60, 3 * time.Millisecond, 400 * time.Millisecond, 320 * time.Millisecond, 5, 0.59},
	{"view", 1, 60, 15 * time.Millisecond, 600 * time.Millisecond, 480 * time.Millisecond, 1.3, 0.39},
	{"sync", 2, 190, 9 * time.Millisecond, 1500 * time.Millisecond, 1200 * time.Millisecond, 1.3, 0.29},
}

// load is a load on one upstream with 4 slots and 42 connections.
type load struct {
	kinds   []loadKind
	teams   int
	length  time.Duration
	plain   bool                                                 // requests state neither priority nor target
	rate    func(k loadKind, team int, at time.Duration) float64 // factor of a team's rate
	service func(at time.Duration) float64                       // factor of the service times
}

// outcome is what the callers of one kind, or one team, got.
type outcome struct {
	offered, served, inTime, heldThenRefused int
	value, possible                          float64
}

func (o outcome) String() string {
	n := float64(max(1, o.offered))
	return fmt.Sprintf("served %.3f, in time %.3f, refused after a quarter of the target %.4f, value %.3f",
		float64(o.served)/n, float64(o.inTime)/n, float64(o.heldThenRefused)/n, o.value/max(o.possible, 1e-9))
}

func (o outcome) share() float64 { return float64(o.served) / float64(max(1, o.offered)) }

func (o outcome) worth() float64 { return o.value / max(o.possible, 1e-9) }

// play runs the load in simulated time, and returns the outcomes by kind and by team.
func (l load) play(seed uint64) (kinds map[string]*outcome, teams []outcome) {
	rng := rand.New(rand.NewPCG(seed, 7))
	q := New(Options{Slots: 4, Connections: 42, TeamBound: true})
	var events eventQueue
	now := startTime
	after := func(d time.Duration, run func()) { heap.Push(&events, event{now.Add(d), run}) }
	exponential := func(d float64) time.Duration { return time.Duration(rng.ExpFloat64() * d) }
	type call struct {
		kind    loadKind
		team    int
		arrived time.Time
	}
	calls := map[uint64]call{}
	kinds, teams = map[string]*outcome{}, make([]outcome, l.teams)
	record := func(c call, f func(*outcome)) { f(kinds[c.kind.name]); f(&teams[c.team]) }
	var apply func([]Decision)
	apply = func(out []Decision) {
		for _, d := range out {
			c := calls[d.Request]
			switch d.Kind {
			case Open:
				after(12*time.Millisecond, func() { apply(q.ConnectionOpened(now, d.Connection)) })
			case Refuse:
				record(c, func(o *outcome) {
					if now.Sub(c.arrived) > c.kind.target/4+20*time.Millisecond {
						o.heldThenRefused++
					}
				})
			case Start:
				service := float64(c.kind.service)
				if l.service != nil {
					service *= l.service(now.Sub(startTime))
				}
				after(exponential(service), func() {
					record(c, func(o *outcome) {
						o.served++
						if now.Sub(c.arrived) <= c.kind.target {
							o.inTime++
							o.value += c.kind.value
						} else {
							o.value += c.kind.late
						}
					})
					apply(q.Finish(now, d.Request, false))
				})
			}
		}
	}
	id := uint64(0)
	for _, k := range l.kinds {
		kinds[k.name] = &outcome{}
		for team := range l.teams {
			var next func()
			next = func() {
				factor := 1.0
				if l.rate != nil {
					factor = l.rate(k, team, now.Sub(startTime))
				}
				after(exponential(float64(time.Second)*float64(l.teams)/k.rate/factor), next)
				id++
				c := call{k, team, now}
				calls[id] = c
				record(c, func(o *outcome) { o.offered++; o.possible += k.value })
				r := Request{ID: id, Team: fmt.Sprint(team), Deadline: now.Add(k.deadline)}
				if !l.plain {
					r.Priority, r.Target = k.priority, k.target
				}
				apply(q.Enqueue(now, r))
			}
			after(exponential(float64(time.Second)), next)
		}
	}
	var tick func()
	tick = func() { apply(q.Tick(now)); after(20*time.Millisecond, tick) }
	after(0, tick)
	for end := startTime.Add(l.length); events[0].at.Before(end); {
		h := heap.Pop(&events).(event)
		now = h.at
		h.run()
	}
	return kinds, teams
}

// playBoth plays a load with and without priorities and targets, and prints the outcomes.
func playBoth(t *testing.T, l load) (kinds, plain map[string]*outcome, teams, plainTeams []outcome) {
	t.Helper()
	kinds, teams = l.play(1)
	l.plain = true
	plain, plainTeams = l.play(1)
	for _, k := range l.kinds {
		t.Logf("%-6s with priorities: %v", k.name, kinds[k.name])
		t.Logf("%-6s without:         %v", k.name, plain[k.name])
	}
	return kinds, plain, teams, plainTeams
}

// TestLoads checks what callers get by kind under the loads that the queue is designed for.
func TestLoads(t *testing.T) {
	between := func(at, from, to time.Duration) bool { return at >= from && at < to }
	t.Run("usual load", func(t *testing.T) {
		t.Parallel()
		kinds, _, _, _ := playBoth(t, load{kinds: loadKinds, teams: 20, length: time.Minute})
		for name, o := range kinds {
			if o.share() < 0.999 {
				t.Errorf("%s: %v", name, o)
			}
		}
	})
	// Guards against urgent requests, or most of the slots, that are lost to the opening of
	// connections: without any reuse they take 0.9 of the slots here.
	t.Run("more teams than connections", func(t *testing.T) {
		t.Parallel()
		kinds, _, _, _ := playBoth(t, load{kinds: loadKinds, teams: 78, length: 30 * time.Second})
		if o := kinds["urgent"]; o.share() < 0.98 {
			t.Errorf("urgent: %v", o)
		}
		if o := kinds["view"]; o.share() < 0.95 {
			t.Errorf("view: %v", o)
		}
		if o := kinds["sync"]; o.share() < 0.75 || o.heldThenRefused > o.offered/12 {
			t.Errorf("sync: %v", o)
		}
	})
	// Guards against a burst of the least urgent kind that takes slots from urgent requests.
	t.Run("burst of the least urgent kind", func(t *testing.T) {
		t.Parallel()
		kinds, plain, _, _ := playBoth(t, load{
			kinds: loadKinds, teams: 20, length: 30 * time.Second,
			rate: func(k loadKind, _ int, at time.Duration) float64 {
				if k.name == "sync" && between(at, 5*time.Second, 25*time.Second) {
					return 4
				}
				return 1
			},
		})
		if o := kinds["urgent"]; o.worth() < 0.98 || o.share() < 0.99 {
			t.Errorf("urgent: %v", o)
		}
		if o := kinds["view"]; o.worth() < plain["view"].worth() {
			t.Errorf("view: %v, without priorities %v", o, plain["view"])
		}
		if o := kinds["sync"]; o.heldThenRefused > o.offered/20 || o.share() < 0.2 {
			t.Errorf("sync: %v", o)
		}
	})
	// Guards against a team above its usual load that takes the share of the others.
	t.Run("one team sends eight times its usual", func(t *testing.T) {
		t.Parallel()
		_, _, teams, plain := playBoth(t, load{
			kinds: loadKinds, teams: 10, length: 30 * time.Second,
			rate: func(_ loadKind, team int, _ time.Duration) float64 {
				if team == 0 {
					return 8
				}
				return 1
			},
		})
		t.Logf("team 0: %v", teams[0])
		t.Logf("team 0 without priorities: %v", plain[0])
		for k, o := range teams[1:] {
			if o.share() < 0.97 || o.worth() < 0.95 {
				t.Errorf("team %d: %v", k+1, o)
			}
		}
	})
	// Guards against requests that wait long at a slow upstream and are refused untried.
	t.Run("slow upstream", func(t *testing.T) {
		t.Parallel()
		kinds, plain, _, _ := playBoth(t, load{
			kinds: loadKinds, teams: 20, length: 30 * time.Second,
			service: func(at time.Duration) float64 {
				if between(at, 5*time.Second, 20*time.Second) {
					return 8
				}
				return 1
			},
		})
		// The queue learns only from answers that the upstream has become slow.
		for name, o := range kinds {
			if o.heldThenRefused > o.offered/12 {
				t.Errorf("%s: %v", name, o)
			}
		}
		if o := kinds["urgent"]; o.worth() < 0.95 {
			t.Errorf("urgent: %v", o)
		}
		if kinds["urgent"].worth() < plain["urgent"].worth() {
			t.Errorf("urgent: %v, without priorities %v", kinds["urgent"], plain["urgent"])
		}
	})
}

package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// startOrder lets the queue serve all waiting requests one after the other, each for the
// given time, and returns the IDs in the order of their starts.
func startOrder(q *Queue, now time.Time, running uint64, service time.Duration) []uint64 {
	var order []uint64
	for running != 0 {
		now = now.Add(service)
		list := q.Finish(now, running, false)
		running = 0
		for _, d := range list {
			if d.Kind == Start {
				running = d.Request
				order = append(order, d.Request)
			}
		}
	}
	return order
}

// TestOrder guards against an order of requests that differs from the one that order.go
// states.
func TestOrder(t *testing.T) {
	const target = time.Second
	for _, test := range []struct {
		name     string
		requests []Request // with the IDs 2 and up, while 1 is running
		want     []uint64
	}{
		{"arrival, without priorities and targets", []Request{{Team: "a"}, {Team: "a"}, {Team: "a"}}, []uint64{2, 3, 4}},
		{"priority", []Request{{Team: "a", Priority: 2}, {Team: "a", Priority: 1}, {Team: "a"}}, []uint64{4, 3, 2}},
		{"target within a priority", []Request{
			{Team: "a", Target: 3 * target}, {Team: "a", Target: 2 * target}, {Team: "a", Priority: 1, Target: target},
		}, []uint64{3, 2, 4}},
		{"the more urgent head of two teams", []Request{{Team: "b", Priority: 1}, {Team: "a"}}, []uint64{3, 2}},
		{"an unknown target counts as a second", []Request{{Team: "a", Target: 2 * target}, {Team: "a"}, {Team: "a", Target: target / 2}}, []uint64{4, 3, 2}},
		{"priorities out of range", []Request{{Team: "a", Priority: 100}, {Team: "a", Priority: -1}}, []uint64{3, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := openQueue(Options{Slots: 1, Connections: 3})
			q.Enqueue(ms(0), Request{ID: 1, Team: "first"})
			for k, r := range test.requests {
				r.ID = uint64(k + 2)
				q.Enqueue(ms(0), r)
			}
			if got := startOrder(q, ms(0), 1, time.Millisecond); !slices.Equal(got, test.want) {
				t.Errorf("served in the order %v, want %v", got, test.want)
			}
		})
	}
}

// TestLeastShare guards against a priority that is starved by more urgent requests of its
// team, or that takes more than its share from them.
func TestLeastShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		levels := rapid.IntRange(2, 4).Draw(t, "levels")
		q := openQueue(Options{Slots: slots, Connections: slots})
		now, id := startTime, uint64(0)
		used, priority, running := make([]time.Duration, levels), map[uint64]int{}, map[uint64]time.Time{}
		longest := 0
		var apply func([]Decision)
		arrive := func(p int) {
			id++
			priority[id] = p
			apply(q.Enqueue(now, Request{ID: id, Team: "a", Priority: p}))
		}
		apply = func(list []Decision) {
			for _, d := range list {
				if d.Kind == Start {
					length := rapid.IntRange(1, 20).Draw(t, "length")
					longest = max(longest, length)
					running[d.Request] = now.Add(time.Duration(length) * time.Millisecond)
					used[priority[d.Request]] += time.Duration(length) * time.Millisecond
				}
			}
		}
		for range 2 * slots {
			for p := range levels {
				arrive(p)
			}
		}
		for range 400 {
			first := uint64(0)
			for r, end := range running {
				if first == 0 || end.Before(running[first]) || end.Equal(running[first]) && r < first {
					first = r
				}
			}
			now = running[first]
			delete(running, first)
			arrive(priority[first])
			apply(q.Finish(now, first, false))
		}
		var all time.Duration
		for _, u := range used {
			all += u
		}
		slack := time.Duration(longest*(2*slots+levels)) * time.Millisecond
		for p := 1; p < levels; p++ {
			if least := time.Duration(leastShare*float64(all)) - slack; used[p] < least {
				t.Fatalf("priority %d has used %v of %v, at least %v", p, used[p], all, least)
			}
		}
		if most := time.Duration(leastShare*float64(levels-1)*float64(all)) + time.Duration(levels)*slack; all-used[0] > most {
			t.Fatalf("the less urgent priorities have used %v of %v, at most %v", all-used[0], all, most)
		}
	})
}

// TestDisplacement guards against displacing an urgent request, or one of a light team, from
// a full queue.
func TestDisplacement(t *testing.T) {
	full := func(o Options) *Queue {
		q := openQueue(o)
		q.Enqueue(ms(0), Request{ID: 1, Team: "a"})
		q.Enqueue(ms(0), Request{ID: 2, Team: "a", Priority: 1})
		q.Enqueue(ms(0), Request{ID: 3, Team: "a"})
		return q
	}
	t.Run("the least urgent of the heaviest team", func(t *testing.T) {
		q := full(Options{Slots: 1, Connections: 1, Limit: 2})
		expectDecisions(t, "another team", q.Enqueue(ms(1), Request{ID: 9, Team: "b", Priority: 3}), refusedDecision(2, ReasonFull))
	})
	t.Run("the least urgent of a team at its limit", func(t *testing.T) {
		q := full(Options{Slots: 1, Connections: 1, TeamLimit: 2})
		expectDecisions(t, "the same team", q.Enqueue(ms(1), Request{ID: 9, Team: "a"}), refusedDecision(2, ReasonTeamFull))
	})
	t.Run("one that has waited for less than a quarter of its target", func(t *testing.T) {
		q := openQueue(Options{Slots: 1, Connections: 1, Limit: 2})
		q.Enqueue(ms(0), Request{ID: 1, Team: "a"})
		q.Enqueue(ms(0), Request{ID: 2, Team: "a", Target: time.Second})
		q.Enqueue(ms(240), Request{ID: 3, Team: "a", Target: 100 * time.Millisecond})
		expectDecisions(t, "full", q.Enqueue(ms(260), Request{ID: 4, Team: "a", Target: 50 * time.Millisecond}), refusedDecision(3, ReasonFull))
	})
}

// TestHold guards against a request that is held for long and refused in the end, although
// the queue could have known earlier that its deadline can't be met.
func TestHold(t *testing.T) {
	q := openQueue(Options{Slots: 1, Connections: 2})
	q.Enqueue(ms(0), Request{ID: 1, Team: "a"})
	q.Finish(ms(100), 1, false)
	q.Enqueue(ms(100), Request{ID: 2, Team: "a"})
	expectDecisions(t, "in time", q.Enqueue(ms(100), Request{ID: 3, Team: "a", Priority: 1, Target: 400 * time.Millisecond, Deadline: ms(500)}))
	for id := range uint64(5) {
		q.Enqueue(ms(110), Request{ID: id + 10, Team: "a"})
	}
	expectDecisions(t, "before a quarter of the target", q.Tick(ms(190)))
	expectDecisions(t, "after a quarter of the target", q.Tick(ms(200)), refusedDecision(3, ReasonDeadline))
}

// TestRetryHint guards against a hint that makes a caller return before the requests ahead
// of it are served, or long after.
func TestRetryHint(t *testing.T) {
	q := openQueue(Options{Slots: 2, Connections: 2})
	for id := range uint64(2) {
		q.Enqueue(ms(0), Request{ID: id + 1, Team: "a"})
	}
	for id := range uint64(2) {
		q.Finish(ms(100), id+1, false)
	}
	for id := range uint64(6) { // two are running, four wait: 50 ms and 200 ms
		q.Enqueue(ms(100), Request{ID: id + 10, Team: "a"})
	}
	list := q.Enqueue(ms(100), Request{ID: 20, Team: "a", Deadline: ms(300)})
	if len(list) != 1 || list[0].Kind != Refuse {
		t.Fatalf("decisions %v, want a refusal", list)
	}
	if r := list[0].Retry; r < 200*time.Millisecond || r > 300*time.Millisecond {
		t.Errorf("retry after %v, want 250 ms", r)
	}
}

// TestOpensInTurn guards against a team without a connection that waits for as long as
// other teams keep all slots busy.
func TestOpensInTurn(t *testing.T) {
	q := New(Options{Slots: 1, Connections: 2, TeamBound: true})
	open := q.Enqueue(ms(0), Request{ID: 1, Team: "a"})
	q.ConnectionOpened(ms(12), open[0].Connection)
	for id := range uint64(10) {
		q.Enqueue(ms(12), Request{ID: id + 10, Team: "a"})
	}
	q.Enqueue(ms(12), Request{ID: 2, Team: "b"})
	running := uint64(1)
	for k := range 10 {
		for _, d := range q.Finish(ms(22+10*k), running, false) {
			switch {
			case d.Kind == Open && d.Team == "b":
				return
			case d.Kind == Start:
				running = d.Request
			}
		}
	}
	t.Error("no connection was opened for the second team")
}

// TestSetSlots guards against statements that are cut off or started above a changed number
// of slots.
func TestSetSlots(t *testing.T) {
	q := openQueue(Options{Slots: 3, Connections: 4})
	for id := range uint64(5) {
		q.Enqueue(ms(0), Request{ID: id + 1, Team: "a"})
	}
	expectDecisions(t, "lowered", q.SetSlots(ms(1), 1))
	if q.Running() != 3 {
		t.Errorf("%d statements are running, want 3", q.Running())
	}
	expectDecisions(t, "above the limit", q.Finish(ms(2), 1, false))
	expectDecisions(t, "raised", q.SetSlots(ms(3), 4), startedDecision(4), startedDecision(5))
	q.SetSlots(ms(4), 0)
	for _, id := range []uint64{2, 3, 4, 5} {
		q.Finish(ms(5), id, false)
	}
	expectDecisions(t, "at least one", q.Enqueue(ms(6), Request{ID: 9, Team: "a"}), startedDecision(9))
}

// BenchmarkStatement measures the queue's work for one statement, with 42 connections and a
// number of teams and of waiting requests.
func BenchmarkStatement(b *testing.B) {
	for _, size := range []struct{ teams, waiting int }{{78, 0}, {78, 20}, {78, 300}, {5000, 20}} {
		b.Run(fmt.Sprintf("%d teams, %d waiting", size.teams, size.waiting), func(b *testing.B) {
			q := openQueue(Options{Slots: 5, Connections: 42})
			teams := make([]string, size.teams)
			now, id := startTime, uint64(0)
			var running []uint64
			apply := func(list []Decision) {
				for _, d := range list {
					if d.Kind == Start {
						running = append(running, d.Request)
					}
				}
			}
			arrive := func() {
				id++
				apply(q.Enqueue(now, Request{
					ID: id, Team: teams[id%uint64(len(teams))], Priority: int(id % 3), Target: time.Minute, Deadline: now.Add(time.Hour),
				}))
			}
			finish := func() {
				now = now.Add(2 * time.Millisecond)
				first := running[0]
				running = running[1:]
				apply(q.Finish(now, first, false))
			}
			for k := range teams { // each team is known
				teams[k] = fmt.Sprint("team", k)
				q.team(teams[k])
			}
			for range size.waiting + 5 {
				arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				finish()
				arrive()
			}
		})
	}
}

package queue

import (
	"testing"
	"time"
)

// TestTeamBound guards against a statement that runs on a connection bound to another
// team, and against more connections or busy slots than the upstream allows.
func TestTeamBound(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := New(Options{Slots: 2, Connections: 2, TeamBound: true})
	find := func(list []Decision, k Kind) []Decision {
		var out []Decision
		for _, d := range list {
			if d.Kind == k {
				out = append(out, d)
			}
		}
		return out
	}
	first := find(q.Enqueue(start, Request{ID: 1, Team: "x", Session: 1}), Open)
	if len(first) != 1 || first[0].Team != "x" {
		t.Fatalf("opened %v, want one connection for x", first)
	}
	if s := find(q.ConnectionOpened(start, first[0].Connection), Start); len(s) != 1 || s[0].Request != 1 {
		t.Fatalf("started %v", s)
	}
	q.Finish(start, 1, false)
	second := find(q.Enqueue(start, Request{ID: 2, Team: "y", Session: 2}), Open)
	if len(second) != 1 || second[0].Team != "y" {
		t.Fatalf("opened %v, want one connection for y although x has an idle one", second)
	}
	if s := find(q.ConnectionOpened(start, second[0].Connection), Start); len(s) != 1 || s[0].Connection != second[0].Connection {
		t.Fatalf("started %v", s)
	}
	// Both connections are open, so the idle connection of x is closed to open one for z.
	list := q.Enqueue(start, Request{ID: 3, Team: "z", Session: 3})
	if c := find(list, Close); len(c) != 1 || c[0].Connection != first[0].Connection || c[0].Reason != ReasonReplaced {
		t.Errorf("closed %v, want the connection of x", c)
	}
	third := find(list, Open)
	if len(third) != 1 || third[0].Team != "z" {
		t.Fatalf("opened %v, want one connection for z", third)
	}
	// One statement runs and one connection is being opened: both slots are taken.
	if s := find(q.Enqueue(start, Request{ID: 4, Team: "y", Session: 4}), Start); len(s) != 0 {
		t.Errorf("started %v while an opening connection takes a slot", s)
	}
}

// TestLoweredConnectionLimit guards against a team that waits forever for a connection
// because the upstream also counts idle connections of other teams. When the limit is
// lowered to the number of open connections, an idle one must be closed.
func TestLoweredConnectionLimit(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := New(Options{Slots: 2, Connections: 4, TeamBound: true})
	open := func(list []Decision) (uint64, bool) {
		for _, d := range list {
			if d.Kind == Open {
				return d.Connection, true
			}
		}
		return 0, false
	}
	for k, team := range []string{"x", "y"} {
		c, ok := open(q.Enqueue(now, Request{ID: uint64(k + 1), Team: team}))
		if !ok {
			t.Fatalf("no connection for %s", team)
		}
		q.ConnectionOpened(now, c)
		q.Finish(now, uint64(k+1), false)
	}
	c, _ := open(q.Enqueue(now, Request{ID: 3, Team: "z"}))
	q.ConnectionLost(now, c) // the upstream accepts no more connections
	q.SetConnectionLimit(now, q.Connections())
	later := now.Add(time.Second)
	list := q.Tick(later)
	if _, ok := open(list); !ok || list[0].Kind != Close {
		t.Errorf("decisions %v, want a connection closed and one opened", list)
	}
	if q.Connections() != 2 {
		t.Errorf("%d connections are open or being opened, want 2", q.Connections())
	}
}

// TestTrimIdle guards against a gateway that is being replaced and keeps its idle
// connections open, so that its successor cannot open any.
func TestTrimIdle(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := New(Options{Slots: 2, Connections: 4, TeamBound: true})
	list := q.Enqueue(now, Request{ID: 1, Team: "x"})
	q.ConnectionOpened(now, list[len(list)-1].Connection)
	q.Finish(now, 1, false)
	if list := q.TrimIdle(now.Add(50*time.Millisecond), 100*time.Millisecond); len(list) != 0 {
		t.Errorf("closed %v too early", list)
	}
	if list := q.TrimIdle(now.Add(100*time.Millisecond), 100*time.Millisecond); len(list) != 1 || list[0].Kind != Close {
		t.Errorf("decisions %v, want one connection closed", list)
	}
}

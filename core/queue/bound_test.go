package queue

import (
	"testing"
	"time"
)

// TestBound guards against a statement on a connection of another team, and against more
// connections or busy slots than the upstream allows.
func TestBound(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := New(Options{Slots: 2, Connections: 2, Bound: true})
	find := func(list []Decision, k Kind) []Decision {
		var out []Decision
		for _, d := range list {
			if d.Kind == k {
				out = append(out, d)
			}
		}
		return out
	}
	first := find(q.Arrive(start, Request{ID: 1, Team: "x", Session: 1}), Open)
	if len(first) != 1 || first[0].Team != "x" {
		t.Fatalf("opened %v, want one connection for x", first)
	}
	if s := find(q.Opened(start, first[0].Connection), Start); len(s) != 1 || s[0].Request != 1 {
		t.Fatalf("started %v", s)
	}
	q.Finish(start, 1, false)
	second := find(q.Arrive(start, Request{ID: 2, Team: "y", Session: 2}), Open)
	if len(second) != 1 || second[0].Team != "y" {
		t.Fatalf("opened %v, want one connection for y although x has an idle one", second)
	}
	if s := find(q.Opened(start, second[0].Connection), Start); len(s) != 1 || s[0].Connection != second[0].Connection {
		t.Fatalf("started %v", s)
	}
	// Both connections are open; the idle one of x makes room for z.
	list := q.Arrive(start, Request{ID: 3, Team: "z", Session: 3})
	if c := find(list, Close); len(c) != 1 || c[0].Connection != first[0].Connection || c[0].Reason != ReasonReplaced {
		t.Errorf("closed %v, want the connection of x", c)
	}
	third := find(list, Open)
	if len(third) != 1 || third[0].Team != "z" {
		t.Fatalf("opened %v", third)
	}
	// One statement runs and one connection is being opened: both slots are taken.
	if s := find(q.Arrive(start, Request{ID: 4, Team: "y", Session: 4}), Start); len(s) != 0 {
		t.Errorf("started %v while an opening connection takes a slot", s)
	}
}

// TestBoundLimit guards against a team that waits for a connection while others hold idle
// ones that the upstream counts: below the limit the idle ones make room.
func TestBoundLimit(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := New(Options{Slots: 2, Connections: 4, Bound: true})
	open := func(list []Decision) (uint64, bool) {
		for _, d := range list {
			if d.Kind == Open {
				return d.Connection, true
			}
		}
		return 0, false
	}
	for k, team := range []string{"x", "y"} {
		c, ok := open(q.Arrive(now, Request{ID: uint64(k + 1), Team: team}))
		if !ok {
			t.Fatalf("no connection for %s", team)
		}
		q.Opened(now, c)
		q.Finish(now, uint64(k+1), false)
	}
	c, _ := open(q.Arrive(now, Request{ID: 3, Team: "z"}))
	q.Lost(now, c) // the upstream is full
	q.Limit(now, q.Connections())
	later := now.Add(time.Second)
	list := q.Tick(later)
	if _, ok := open(list); !ok || list[0].Kind != Close {
		t.Errorf("decisions %v, want a connection closed and one opened", list)
	}
	if q.Connections() != 2 {
		t.Errorf("%d connections", q.Connections())
	}
}

// TestTrim guards against idle connections that stay at a gateway that is replaced.
func TestTrim(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := New(Options{Slots: 2, Connections: 4, Bound: true})
	list := q.Arrive(now, Request{ID: 1, Team: "x"})
	q.Opened(now, list[len(list)-1].Connection)
	q.Finish(now, 1, false)
	if list := q.Trim(now.Add(50*time.Millisecond), 100*time.Millisecond); len(list) != 0 {
		t.Errorf("closed %v too early", list)
	}
	if list := q.Trim(now.Add(100*time.Millisecond), 100*time.Millisecond); len(list) != 1 || list[0].Kind != Close {
		t.Errorf("decisions %v", list)
	}
}

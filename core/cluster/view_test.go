package cluster

import (
	"fmt"
	"testing"
	"time"

	"burdockseam/core/config"
)

var t0 = time.Unix(1_700_000_000, 0)

// viewOf builds the view of a fleet whose failure domains have the given states.
func viewOf(perDomain int, states map[string]config.State, lost ...string) (*Members, config.Config) {
	m := NewMembers(t0, Record{Address: "observer", Domain: "z"})
	c := config.Config{Revision: 1, Domains: map[string]config.Domain{}}
	for _, d := range sortedKeys(states) {
		c.Domains[d] = config.Domain{Name: d, State: states[d]}
		for i := range perDomain {
			m.Merge(t0, Record{Address: fmt.Sprint(d, i), Domain: d, State: Live})
		}
	}
	for _, a := range lost {
		m.MarkSuspect(t0, a)
	}
	return m, c
}

var threeIn = map[string]config.State{"a": config.StateIn, "b": config.StateIn, "c": config.StateIn}

func with(states map[string]config.State, name string, s config.State) map[string]config.State {
	next := map[string]config.State{}
	for k, v := range states {
		next[k] = v
	}
	next[name] = s
	return next
}

// Guards against work that moves without need, roles in the wrong failure domain,
// and a failure domain that returns all at once.
func TestPlacement(t *testing.T) {
	m, c := viewOf(3, threeIn)
	before := m.View(t0, c, &DomainReturns{})
	domainOf := func(address string) string { return m.rows[address].Domain }

	t.Run("owners", func(t *testing.T) {
		for i := range 100 {
			owner, standbys := before.ShardOwner(fmt.Sprint(i))
			if len(standbys) != 2 || domainOf(owner) == domainOf(standbys[0]) || domainOf(owner) == domainOf(standbys[1]) || domainOf(standbys[0]) == domainOf(standbys[1]) {
				t.Fatalf("owner %s, standbys %v", owner, standbys)
			}
		}
		m, c := viewOf(3, map[string]config.State{"a": config.StateIn, "b": config.StateIn})
		v := m.View(t0, c, &DomainReturns{})
		if owner, standbys := v.ShardOwner("1"); len(standbys) != 2 || owner[0] == standbys[0][0] || owner[0] == standbys[1][0] || standbys[0] == standbys[1] {
			t.Errorf("two failure domains: owner %s, standbys %v", owner, standbys)
		}
	})
	t.Run("one instance lost", func(t *testing.T) {
		m2, _ := viewOf(3, threeIn, "a1")
		after := m2.View(t0, c, &DomainReturns{})
		for i := range 1000 {
			u := fmt.Sprint("u", i)
			x, y := before.Gateways(u, "a", 1)[0], after.Gateways(u, "a", 1)[0]
			if x != y && x != "a1" || y == "a1" || domainOf(y) != "a" {
				t.Fatalf("gateway of %s moved from %s to %s", u, x, y)
			}
			if g := before.Gateways(u, "a", 4); len(g) != 4 || domainOf(g[2]) != "a" || domainOf(g[3]) == "a" || x == "a1" && g[1] != y {
				t.Fatalf("rescue order %v; the next placement is %s", g, y)
			}
		}
	})
	t.Run("failure domain out", func(t *testing.T) {
		m2, c2 := viewOf(3, with(threeIn, "a", config.StateOut))
		after := m2.View(t0, c2, &DomainReturns{})
		if len(after.Watchers("a")) > 0 || after.StatusWriter("a") != "" {
			t.Error("a failure domain that is out has watchers")
		}
		for i := range 200 {
			u := fmt.Sprint("u", i)
			owner, standbys := after.ShardOwner(u)
			for _, x := range append(append(after.Gateways(u, "a", 9), standbys...), owner) {
				if domainOf(x) == "a" {
					t.Fatalf("%s is placed on %s", u, x)
				}
			}
		}
	})
	t.Run("paced return", func(t *testing.T) {
		m2, c2 := viewOf(3, with(threeIn, "a", config.StateOut))
		var d DomainReturns
		m2.View(t0, c2, &d)
		last := 0
		for s := 0; s <= 10; s += 2 {
			now := t0.Add(time.Duration(s) * time.Second)
			m2.ResetSilence(now) // everything was heard just now
			v := m2.View(now, c, &d)
			n := 0
			for i := range 1000 {
				if g := v.Gateways(fmt.Sprint("u", i), "a", 1); domainOf(g[0]) == "a" {
					n++
				}
			}
			if n < last || n < s*100-60 || n > s*100+60 {
				t.Errorf("%d of 1000 gateways after %d s", n, s)
			}
			last = n
		}
	})
	t.Run("coordinator", func(t *testing.T) {
		up := []config.Upstream{{Name: "u1", Domain: "a"}, {Name: "u2", Domain: "b"}, {Name: "u3", Domain: "c"}}
		list := before.GroupObservers("g", up)
		if len(list) != 3 || domainOf(list[0]) == domainOf(list[1]) {
			t.Fatalf("observers %v", list)
		}
		m2, _ := viewOf(3, threeIn, list[0])
		if next := m2.View(t0, c, &DomainReturns{}).GroupObservers("g", up); next[0] != list[1] && domainOf(next[0]) != domainOf(list[0]) {
			t.Errorf("observers %v after the loss of %s; before %v", next, list[0], list)
		}
	})
	t.Run("nothing in", func(t *testing.T) {
		m2, c2 := viewOf(3, map[string]config.State{"a": config.StateOut})
		v := m2.View(t0, c2, &DomainReturns{})
		if owner, standbys := v.ShardOwner("1"); owner != "" || standbys != nil || v.Gateways("u", "a", 1) != nil {
			t.Error("work is placed though every failure domain is out")
		}
	})
}

// Guards against records that count in the wrong order, and against a member that
// cannot return.
func TestMembers(t *testing.T) {
	r := func(start int64, seq uint64, s State) Record {
		return Record{"x", "a", Incarnation{start, 0}, seq, s}
	}
	for _, tc := range []struct {
		name     string
		old, new Record
		want     State
		start    int64
	}{
		{"suspicion", r(1, 0, Live), r(1, 0, Suspect), Suspect, 1},
		{"stale life sign", r(1, 0, Suspect), r(1, 0, Live), Suspect, 1},
		{"defence", r(1, 0, Suspect), r(1, 1, Live), Live, 1},
		{"late suspicion", r(1, 1, Live), r(1, 0, Suspect), Live, 1},
		{"tombstone holds", r(1, 0, Gone), r(1, 9, Live), Gone, 1},
		{"restart", r(1, 9, Gone), r(2, 0, Live), Live, 2},
		{"old run", r(2, 0, Live), r(1, 9, Gone), Live, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := NewMembers(t0, Record{Address: "self", Domain: "a"})
			m.Merge(t0, tc.old)
			if tc.old.State == Gone {
				m.Merge(t0, r(tc.old.Start, 0, Live))
				m.Merge(t0, tc.old)
			}
			m.Merge(t0, tc.new)
			if got := m.rows["x"]; got.State != tc.want || got.Start != tc.start {
				t.Errorf("the table has %+v", got.Record)
			}
		})
	}
	m := NewMembers(t0, r(5, 0, Live))
	m.Merge(t0, r(5, 3, Suspect))
	m.Merge(t0, r(9, 0, Gone))
	if s := m.Self(); s.Start != 10 || s.State != Live {
		t.Errorf("the instance does not outlive its tombstone: %+v", s)
	}
	// The platform's list lags: it shows the earlier run of a restarted instance.
	m.Merge(t0, Record{"x", "a", Incarnation{10, 0}, 0, Leaving})
	if s := m.Self(); s.State != Live {
		t.Errorf("a restarted instance is %s", s.State)
	}
	m.Merge(t0.Add(platformListLag), Record{"x", "a", Incarnation{10, 0}, m.Self().Seq, Leaving})
	if s := m.Self(); s.State != Leaving {
		t.Errorf("an instance that the platform stops is %s", s.State)
	}
	// Absence from the list alone gives nobody up.
	m.Merge(t0, Record{Address: "y", Domain: "a", State: Live})
	m.MergePlatformList(t0, nil)
	m.MergePlatformList(t0.Add(unlistedGoneAfter), nil)
	if m.rows["y"].State != Live {
		t.Error("an unlisted instance was given up")
	}
	m.MarkSuspect(t0, "y")
	m.MergePlatformList(t0.Add(unlistedGoneAfter), nil)
	if m.rows["y"].State != Gone {
		t.Error("an unlisted and silent instance was not given up")
	}
}

// Guards against a rescue gateway that is lost together with the first one: they must
// lie in different failure domains, if there are several.
func TestRescueIsInAnotherDomain(t *testing.T) {
	m, c := viewOf(3, threeIn)
	v := m.View(t0, c, &DomainReturns{})
	for i := range 100 {
		u := fmt.Sprint("u", i)
		first, rescue := v.Gateways(u, "a", 1)[0], v.RescueGateway(u, "a")
		if d := m.rows[rescue].Domain; d == "a" || rescue == first {
			t.Fatalf("gateway %s, rescue %s", first, rescue)
		}
	}
	m, c = viewOf(3, map[string]config.State{"a": config.StateIn})
	v = m.View(t0, c, &DomainReturns{})
	if first, rescue := v.Gateways("u", "a", 1)[0], v.RescueGateway("u", "a"); rescue == "" || rescue == first {
		t.Errorf("a single failure domain: gateway %s, rescue %s", first, rescue)
	}
}

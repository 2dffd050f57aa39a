package cluster

import (
	"fmt"
	"testing"
	"time"

	"burdockseam/core/config"
)

var t0 = time.Unix(1_700_000_000, 0)

// newMembersAndConfig returns the membership table of a fleet, in which the lost
// instances are suspect, and a configuration with the given states of its failure
// domains.
func newMembersAndConfig(perDomain int, states map[string]config.State, lost ...string) (*Members, config.Config) {
	members := NewMembers(t0, Record{Address: "observer", Domain: "z"})
	cfg := config.Config{Revision: 1, Domains: map[string]config.Domain{}}
	for _, domain := range sortedKeys(states) {
		cfg.Domains[domain] = config.Domain{Name: domain, State: states[domain]}
		for i := range perDomain {
			members.Merge(t0, Record{Address: fmt.Sprint(domain, i), Domain: domain, State: Live})
		}
	}
	for _, address := range lost {
		members.MarkSuspect(t0, address)
	}
	return members, cfg
}

var threeDomainsIn = map[string]config.State{"a": config.StateIn, "b": config.StateIn, "c": config.StateIn}

// withState returns a copy of states in which one failure domain has another state.
func withState(states map[string]config.State, name string, s config.State) map[string]config.State {
	next := map[string]config.State{}
	for k, v := range states {
		next[k] = v
	}
	next[name] = s
	return next
}

// TestWorkPlacement guards against work that moves although its instance still lives,
// against roles in the wrong failure domain, and against a returning failure domain
// that gets all of its work at once.
func TestWorkPlacement(t *testing.T) {
	members, cfg := newMembersAndConfig(3, threeDomainsIn)
	before := members.View(t0, cfg, &DomainReturns{})
	domainOf := func(address string) string { return members.rows[address].Domain }

	t.Run("owners", func(t *testing.T) {
		for i := range 100 {
			owner, standbys := before.ShardOwner(fmt.Sprint(i))
			if len(standbys) != 2 || domainOf(owner) == domainOf(standbys[0]) || domainOf(owner) == domainOf(standbys[1]) || domainOf(standbys[0]) == domainOf(standbys[1]) {
				t.Fatalf("owner %s and standbys %v, want three different failure domains", owner, standbys)
			}
		}
		members, cfg := newMembersAndConfig(3, map[string]config.State{"a": config.StateIn, "b": config.StateIn})
		view := members.View(t0, cfg, &DomainReturns{})
		if owner, standbys := view.ShardOwner("1"); len(standbys) != 2 || owner[0] == standbys[0][0] || owner[0] == standbys[1][0] || standbys[0] == standbys[1] {
			t.Errorf("two failure domains: owner %s and standbys %v, want two standbys in the other failure domain", owner, standbys)
		}
	})
	t.Run("one instance lost", func(t *testing.T) {
		membersAfter, _ := newMembersAndConfig(3, threeDomainsIn, "a1")
		after := membersAfter.View(t0, cfg, &DomainReturns{})
		for i := range 1000 {
			name := fmt.Sprint("u", i)
			x, y := before.Gateways(name, "a", 1)[0], after.Gateways(name, "a", 1)[0]
			if x != y && x != "a1" || y == "a1" || domainOf(y) != "a" {
				t.Fatalf("gateway of %s moved from %s to %s", name, x, y)
			}
			if gateways := before.Gateways(name, "a", 4); len(gateways) != 4 || domainOf(gateways[2]) != "a" || domainOf(gateways[3]) == "a" || x == "a1" && gateways[1] != y {
				t.Fatalf("gateway order %v, want three of the failure domain a before the others, and %s after the loss of a1", gateways, y)
			}
		}
	})
	t.Run("failure domain out", func(t *testing.T) {
		membersAfter, cfgAfter := newMembersAndConfig(3, withState(threeDomainsIn, "a", config.StateOut))
		after := membersAfter.View(t0, cfgAfter, &DomainReturns{})
		if len(after.Watchers("a")) > 0 || after.StatusWriter("a") != "" {
			t.Error("a failure domain that is out has watchers")
		}
		for i := range 200 {
			name := fmt.Sprint("u", i)
			owner, standbys := after.ShardOwner(name)
			for _, x := range append(append(after.Gateways(name, "a", 9), standbys...), owner) {
				if domainOf(x) == "a" {
					t.Fatalf("%s is placed on %s, whose failure domain is out", name, x)
				}
			}
		}
	})
	t.Run("returning failure domain", func(t *testing.T) {
		membersAfter, cfgAfter := newMembersAndConfig(3, withState(threeDomainsIn, "a", config.StateOut))
		var returns DomainReturns
		membersAfter.View(t0, cfgAfter, &returns)
		last := 0
		for seconds := 0; seconds <= 10; seconds += 2 {
			now := t0.Add(time.Duration(seconds) * time.Second)
			membersAfter.ResetSilence(now) // no failure domain is silent
			view := membersAfter.View(now, cfg, &returns)
			placed := 0
			for i := range 1000 {
				if gateways := view.Gateways(fmt.Sprint("u", i), "a", 1); domainOf(gateways[0]) == "a" {
					placed++
				}
			}
			if placed < last || placed < seconds*100-60 || placed > seconds*100+60 {
				t.Errorf("%d of 1000 gateways %d s after the return, want a rise in proportion over 10 s", placed, seconds)
			}
			last = placed
		}
	})
	t.Run("coordinator", func(t *testing.T) {
		upstreams := []config.Upstream{{Name: "u1", Domain: "a"}, {Name: "u2", Domain: "b"}, {Name: "u3", Domain: "c"}}
		list := before.GroupObservers("g", upstreams)
		if len(list) != 3 || domainOf(list[0]) == domainOf(list[1]) {
			t.Fatalf("observers %v, want 3 in different failure domains", list)
		}
		membersAfter, _ := newMembersAndConfig(3, threeDomainsIn, list[0])
		if next := membersAfter.View(t0, cfg, &DomainReturns{}).GroupObservers("g", upstreams); next[0] != list[1] && domainOf(next[0]) != domainOf(list[0]) {
			t.Errorf("observers %v after the loss of %s; before %v", next, list[0], list)
		}
	})
	t.Run("no failure domain in", func(t *testing.T) {
		membersAfter, cfgAfter := newMembersAndConfig(3, map[string]config.State{"a": config.StateOut})
		view := membersAfter.View(t0, cfgAfter, &DomainReturns{})
		if owner, standbys := view.ShardOwner("1"); owner != "" || standbys != nil || view.Gateways("u", "a", 1) != nil {
			t.Error("work is placed though every failure domain is out")
		}
	})
}

// TestMembershipTable guards against records that supersede each other in the wrong
// order, against a live member that cannot refute a record, and against a live member
// that becomes gone only because the platform's list lacks it.
func TestMembershipTable(t *testing.T) {
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
		{"live with equal sequence number", r(1, 0, Suspect), r(1, 0, Live), Suspect, 1},
		{"refutation", r(1, 0, Suspect), r(1, 1, Live), Live, 1},
		{"suspicion after refutation", r(1, 1, Live), r(1, 0, Suspect), Live, 1},
		{"tombstone holds", r(1, 0, Gone), r(1, 9, Live), Gone, 1},
		{"restart", r(1, 9, Gone), r(2, 0, Live), Live, 2},
		{"tombstone of an earlier run", r(2, 0, Live), r(1, 9, Gone), Live, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			members := NewMembers(t0, Record{Address: "self", Domain: "a"})
			members.Merge(t0, tc.old)
			if tc.old.State == Gone {
				members.Merge(t0, r(tc.old.Start, 0, Live))
				members.Merge(t0, tc.old)
			}
			members.Merge(t0, tc.new)
			if got := members.rows["x"]; got.State != tc.want || got.Start != tc.start {
				t.Errorf("the membership table has the wrong record %+v", got.Record)
			}
		})
	}
	members := NewMembers(t0, r(5, 0, Live))
	members.Merge(t0, r(5, 3, Suspect))
	members.Merge(t0, r(9, 0, Gone))
	if s := members.Self(); s.Start != 10 || s.State != Live {
		t.Errorf("the instance does not refute its tombstone: %+v", s)
	}
	// The platform's list lags and still shows the previous run as leaving.
	members.Merge(t0, Record{"x", "a", Incarnation{10, 0}, 0, Leaving})
	if s := members.Self(); s.State != Live {
		t.Errorf("a restarted instance is %s, want live", s.State)
	}
	members.Merge(t0.Add(platformListLag), Record{"x", "a", Incarnation{10, 0}, members.Self().Seq, Leaving})
	if s := members.Self(); s.State != Leaving {
		t.Errorf("an instance that the platform stops is %s, want leaving", s.State)
	}
	// An instance that the list lacks becomes gone only if it is silent as well.
	members.Merge(t0, Record{Address: "y", Domain: "a", State: Live})
	members.MergePlatformList(t0, nil)
	members.MergePlatformList(t0.Add(unlistedGoneAfter), nil)
	if members.rows["y"].State != Live {
		t.Error("an unlisted live instance became gone")
	}
	members.MarkSuspect(t0, "y")
	members.MergePlatformList(t0.Add(unlistedGoneAfter), nil)
	if members.rows["y"].State != Gone {
		t.Error("an unlisted suspect instance did not become gone")
	}
}

// TestRescueGatewayInAnotherDomain guards against a rescue gateway that is lost
// together with the gateway: they must lie in different failure domains if there are
// several.
func TestRescueGatewayInAnotherDomain(t *testing.T) {
	members, cfg := newMembersAndConfig(3, threeDomainsIn)
	view := members.View(t0, cfg, &DomainReturns{})
	for i := range 100 {
		name := fmt.Sprint("u", i)
		first, rescue := view.Gateways(name, "a", 1)[0], view.RescueGateway(name, "a")
		if d := members.rows[rescue].Domain; d == "a" || rescue == first {
			t.Fatalf("gateway %s, rescue %s", first, rescue)
		}
	}
	members, cfg = newMembersAndConfig(3, map[string]config.State{"a": config.StateIn})
	view = members.View(t0, cfg, &DomainReturns{})
	if first, rescue := view.Gateways("u", "a", 1)[0], view.RescueGateway("u", "a"); rescue == "" || rescue == first {
		t.Errorf("a single failure domain: gateway %s, rescue %s", first, rescue)
	}
}

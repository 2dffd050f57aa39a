package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/failover"
	"burdockseam/core/wal"
)

// fakeRoles answers probes of the upstreams that lead by their own account, with the term of
// each. Other upstreams are replicas, and an upstream of term 0 does not answer.
type fakeRoles struct {
	Controls
	mu     sync.Mutex
	leads  map[string]uint64
	probes atomic.Int32
	pauses atomic.Int32
}

// Pause makes an upstream a paused replica.
func (f *fakeRoles) Pause(context.Context, failover.ControlTarget, uint64) (failover.ReplicationStatus, error) {
	f.pauses.Add(1)
	return failover.ReplicationStatus{Term: 2, Received: wal.Position{Term: 2, Offset: 5}}, nil
}

// Demote finds that the upstream does not answer.
func (f *fakeRoles) Demote(context.Context, failover.ControlTarget, uint64) (failover.ReplicationStatus, error) {
	return failover.ReplicationStatus{}, errors.New("no answer")
}

func (f *fakeRoles) IsPrimary(_ context.Context, t failover.ControlTarget) (bool, wal.Position, error) {
	f.probes.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	term, ok := f.leads[t.Upstream]
	if ok && term == 0 {
		return false, wal.Position{}, errors.New("no answer")
	}
	return ok, wal.Position{Term: term, Offset: 5}, nil
}

// set makes an upstream lead by its own account.
func (f *fakeRoles) set(upstream string, term uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leads[upstream] = term
}

// newClaimNode returns an instance with one group of three upstreams, of which the given ones
// claim to be the primary, and the way to change the claims.
func newClaimNode(t *testing.T, roles *fakeRoles, unfenced bool) (n *Node, claim func(names ...string)) {
	t.Helper()
	n, _ = newServingNode(t)
	n.platform.Controls = roles
	s := *n.settings()
	s.Unfenced = unfenced
	n.activeSettings.Store(&s)
	n.tables.install(Table{Kind: KindPolicy, Revision: 1, Objects: map[string]Object{"main": {Name: "main", Revision: 1}}})
	revision := uint64(1)
	return n, func(names ...string) {
		revision++
		objects := make(map[string]Object)
		for _, name := range []string{"u0", "u1", "u2", "reborn"} {
			objects[name] = Object{Name: name, Revision: revision, Data: []byte("g0 d1 active")}
		}
		n.tables.install(Table{Kind: KindUpstream, Revision: revision, Objects: objects})
		n.rebuild()
		s := *n.snapshot.Load()
		list := make([]*upstream, 0, len(objects))
		for _, u := range s.groups["g0"] {
			c := *u
			for _, name := range names {
				c.ClaimsPrimary = c.ClaimsPrimary || c.Name == name
			}
			list = append(list, &c)
		}
		s.groups = map[string][]*upstream{"g0": list}
		n.snapshot.Store(&s)
		n.primaries.configure(&s)
	}
}

// expectPrimary checks an instance's view of the primary once its probes have ended.
func expectPrimary(t *testing.T, n *Node, roles *fakeRoles, probes bool, want string) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for {
		n.primaries.mu.Lock()
		got, locating := n.primaries.group("g0").primary, n.primaries.group("g0").locating
		n.primaries.mu.Unlock()
		settled := !locating && (roles.probes.Load() > 0) == probes
		if settled && got == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("primary %q, %d probes, want %q", got, roles.probes.Load(), want)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestClaimsInRegistry guards against reads at a former primary that has restarted and claims in
// the registry to be the primary, although its successor has acknowledged commits.
func TestClaimsInRegistry(t *testing.T) {
	at := func(term uint64) wal.Position { return wal.Position{Term: term, Offset: 9} }
	proven := func(upstream string, term uint64) func(n *Node) {
		return func(n *Node) {
			now := n.now()
			n.primaries.recordProof("g0", upstream, now, at(term), now, false)
		}
	}
	promoted := func(n *Node) { n.primaries.recordPromotion("g0", "u1") }
	refused := func(n *Node) {
		proven("u1", 2)(n)
		n.primaries.recordRefusal(n.snapshot.Load().upstreams["u1"])
	}
	for _, test := range []struct {
		name   string
		before func(n *Node)
		claims []string
		leads  map[string]uint64
		probes bool
		want   string
	}{
		{"the only claim in a group that is not known", nil, []string{"u0"}, nil, false, "u0"},
		{"two claims in a group that is not known", nil, []string{"u1", "reborn"}, map[string]uint64{"u1": 2, "reborn": 1}, true, "u1"},
		{"restarted under a new name", proven("u1", 2), []string{"reborn"}, map[string]uint64{"u1": 2, "reborn": 1}, true, "u1"},
		{"restarted under its old name", proven("u1", 2), []string{"u0"}, map[string]uint64{"u1": 2, "u0": 1}, true, "u1"},
		{"its successor is promoted and not proven yet", promoted, []string{"reborn"}, map[string]uint64{"u1": 2, "reborn": 1}, true, "u1"},
		{"its successor does not answer", proven("u1", 2), []string{"reborn"}, map[string]uint64{"u1": 0, "reborn": 1}, true, "u1"},
		{"its successor has refused", refused, []string{"reborn"}, map[string]uint64{"reborn": 1}, true, ""},
		{"the claim does not answer", proven("u1", 2), []string{"reborn"}, map[string]uint64{"reborn": 0}, true, "u1"},
		{"the claim is a replica", proven("u1", 2), []string{"u0"}, map[string]uint64{"u1": 2}, true, "u1"},
		{"a primary of a later term", proven("u1", 2), []string{"u2"}, map[string]uint64{"u2": 3}, true, "u2"},
		{"the primary itself under a new name", proven("u1", 2), []string{"reborn"}, map[string]uint64{"reborn": 2}, true, "reborn"},
		{"the primary of a later term after a refusal", refused, []string{"u2"}, map[string]uint64{"u2": 3}, true, "u2"},
	} {
		for _, unfenced := range []bool{false, true} {
			t.Run(test.name+map[bool]string{false: ", fenced", true: ", unfenced"}[unfenced], func(t *testing.T) {
				roles := &fakeRoles{leads: test.leads}
				n, claim := newClaimNode(t, roles, unfenced)
				n.recordContact("10.0.0.1", n.now(), Pong{Majority: true})
				claim()
				if test.before != nil {
					test.before(n)
				}
				claim(test.claims...)
				if test.probes {
					time.Sleep(50 * time.Millisecond) // until the probes have been answered
				}
				expectPrimary(t, n, roles, test.probes, test.want)
			})
		}
	}
}

// TestClaimThatIsNotReached guards against a group whose primary an instance never learns, because
// the instance does not reach the upstream or the upstream answers only later.
func TestClaimThatIsNotReached(t *testing.T) {
	setup := func(t *testing.T, roles *fakeRoles) (n *Node, claim func(names ...string)) {
		t.Helper()
		n, claim = newClaimNode(t, roles, false)
		claim()
		now := n.now()
		n.primaries.recordProof("g0", "u1", now, wal.Position{Term: 2}, now, false)
		return n, claim
	}
	t.Run("a gateway reaches it", func(t *testing.T) {
		roles := &fakeRoles{leads: map[string]uint64{"u2": 0}}
		n, claim := setup(t, roles)
		other, address := newServingNode(t)
		other.platform.Controls = &fakeRoles{leads: map[string]uint64{"u2": 3}}
		other.tables.install(n.tables.get(KindPolicy))
		data := fmt.Appendf(nil, `{"id":"b","address":%q,"domain":"d1"}`, address)
		n.tables.install(Table{Kind: KindInstance, Revision: 1, Objects: map[string]Object{"b": {Name: "b", Revision: 1, Data: data}}})
		claim("u2")
		expectPrimary(t, n, roles, true, "u2")
	})
	t.Run("it answers later", func(t *testing.T) {
		roles := &fakeRoles{leads: map[string]uint64{"u2": 0}}
		n, claim := setup(t, roles)
		claim("u2")
		unknown := func() bool {
			n.primaries.mu.Lock()
			defer n.primaries.mu.Unlock()
			return n.primaries.group("g0").claimsUnknown
		}
		for !unknown() {
			time.Sleep(time.Millisecond)
		}
		expectPrimary(t, n, roles, true, "u1")
		roles.set("u2", 3)
		for end := time.Now().Add(2 * minClaimInterval); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			n.primaries.stepGroup(t.Context(), "g0")
		}
		expectPrimary(t, n, roles, true, "u2")
	})
}

// TestEvidenceOfEndedTerm guards against an upstream that is taken for the primary, and whose
// rows reach a caller, because it accepted a statement at a term that has ended.
func TestEvidenceOfEndedTerm(t *testing.T) {
	n := newLargeNode(t)
	now := n.now()
	n.primaries.recordProof("g0", "u1", now, wal.Position{Term: 2, Offset: 1}, now, false)
	later := now.Add(time.Second)
	n.primaries.recordProof("g0", "u0", later, wal.Position{Term: 1, Offset: 90}, later, false)
	if g := n.primaries.group("g0"); g.primary != "u1" {
		t.Errorf("primary %s, want u1", g.primary)
	}
	n.primaries.recordProof("g0", "u2", now.Add(-time.Second), wal.Position{Term: 3}, later, false)
	if g := n.primaries.group("g0"); g.primary != "u2" {
		t.Errorf("primary %s after older evidence of a later term, want u2", g.primary)
	}
	for _, test := range []struct {
		name string
		open call.Open
		term uint64
		want call.Code
	}{
		{"a read at a former primary", call.OpenFence, 2, call.Aborted},
		{"a transaction at a former primary", call.OpenWrite, 2, call.Aborted},
		{"a read at the primary", call.OpenFence, 3, call.OK},
		{"a statement that needs no primary", call.OpenNone, 2, call.OK},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := call.Reply{Sample: &call.Sample{Position: wal.Position{Term: test.term, Offset: 9}}}
			if got := n.primaries.rejectOutdated(call.Request{Group: "g0", Open: test.open}, r); got.Code != test.want {
				t.Errorf("code %q, want %q", got.Code, test.want)
			}
		})
	}
}

// TestCutOffCoordinatorPausesNothing guards against a coordinator that pauses the replicas of a
// healthy primary because it is cut off from both, on a platform where no fence stops its order.
func TestCutOffCoordinatorPausesNothing(t *testing.T) {
	for _, test := range []struct {
		name              string
		unfenced, contact bool
		pauses            bool
	}{
		{"without fencing, cut off", true, false, false},
		{"without fencing", true, true, true},
		{"with fencing", false, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			roles := &fakeRoles{leads: map[string]uint64{"u0": 0}}
			n, claim := newClaimNode(t, roles, test.unfenced)
			fleet := Table{Kind: KindInstance, Revision: 1, Objects: map[string]Object{"b": {Name: "b", Revision: 1, Data: []byte(`{"id":"b","address":"10.9.9.9","domain":"d1"}`)}}}
			n.tables.install(fleet)
			n.ready.Store(true)
			claim("u0")
			n.recordNoAnswer("10.9.9.9", errors.New("no answer"))
			n.recordNoAnswer("10.9.9.9", errors.New("no answer"))
			ps := n.primaries
			ps.mu.Lock()
			g := ps.group("g0")
			ps.setPrimary(g, "u0", "test")
			g.probing = true // no probe of the primary
			if test.unfenced {
				g.promotion.HandleRecordedToken(n.now(), 5, "", 0)
			} else {
				g.promotion.HandleToken(n.now(), 5, 0)
			}
			ps.startPromotion(g, false, "test")
			ps.mu.Unlock()
			for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end) && roles.pauses.Load() == 0; {
				if test.contact {
					n.recordContact("10.0.0.1", n.now(), Pong{Majority: true})
				}
				ps.stepGroup(t.Context(), "g0")
				time.Sleep(5 * time.Millisecond)
			}
			if got := roles.pauses.Load() > 0; got != test.pauses {
				t.Errorf("replicas are paused: %v, want %v", got, test.pauses)
			}
		})
	}
}

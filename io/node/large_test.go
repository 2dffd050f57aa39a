package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/failover"
	"burdockseam/core/placement"
	"burdockseam/core/wal"
)

// newLargeNode returns an instance of a fleet of 100 instances with 200 groups.
func newLargeNode(t *testing.T) *Node {
	t.Helper()
	n, err := New(Settings{Name: "a", Domain: "d0", Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Advertise: "10.0.0.0"}, Platform{Schema: largeSchema{groups: 200}}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	n.tables.install(Table{Kind: KindPolicy, Revision: 1, Objects: map[string]Object{"main": {Name: "main", Revision: 1}}})
	fleet := Table{Kind: KindInstance, Revision: 1, Objects: make(map[string]Object)}
	registry := Table{Kind: KindUpstream, Revision: 1, Objects: make(map[string]Object)}
	for k := range 100 {
		data, err := json.Marshal(member{ID: fmt.Sprint(k), Address: fmt.Sprint("10.0.0.", k), Domain: fmt.Sprint("d", k%6)})
		if err != nil {
			t.Fatal(err)
		}
		fleet.Objects[fmt.Sprint(k)] = Object{Name: fmt.Sprint(k), Revision: 1, Data: data}
	}
	for k := range 600 {
		name := fmt.Sprint("u", k)
		registry.Objects[name] = Object{Name: name, Revision: 1, Data: fmt.Appendf(nil, "g%d d%d active", k/3, k%6)}
	}
	n.tables.install(fleet)
	n.tables.install(registry)
	n.rebuild()
	return n
}

// TestCutOffInstanceCoordinatesFewGroups guards against an instance that becomes the
// coordinator of every group because no other instance answers it. Such an instance probed
// all primaries and drew tokens for all groups, which worsened the overload that had cut it
// off.
func TestCutOffInstanceCoordinatesFewGroups(t *testing.T) {
	n := newLargeNode(t)
	for _, i := range n.snapshot.Load().instances {
		if i.Address != n.self.Address {
			n.recordNoAnswer(i.Address, errors.New("no answer"))
			n.recordNoAnswer(i.Address, errors.New("no answer"))
		}
	}
	coordinated := 0
	for k := range 200 {
		if n.coordinatorOf(fmt.Sprint("g", k)).Address == n.self.Address {
			coordinated++
		}
	}
	if coordinated == 0 || coordinated > 3*coordinatorCandidates*200/100 {
		t.Errorf("coordinator of %d groups of 200, want at least one and at most three times an even share", coordinated)
	}
}

// TestCoordinatorPassesToNextAnswering guards against a group without a coordinator when
// only few of its candidates answer.
func TestCoordinatorPassesToNextAnswering(t *testing.T) {
	n := newLargeNode(t)
	list := n.snapshot.Load().ranks.Top("g0", placement.Place{}, coordinatorCandidates)
	for k := range coordinatorCandidates - 1 {
		if got := n.coordinatorOf("g0").Address; got != list[k].Address {
			t.Errorf("coordinator %s after the loss of %d candidates, want %s", got, k, list[k].Address)
		}
		n.recordNoAnswer(list[k].Address, errors.New("no answer"))
		n.recordNoAnswer(list[k].Address, errors.New("no answer"))
	}
}

// TestWatcherPings guards against a watcher that pings every gateway of a large fleet in
// each round, and against a watcher that skips a gateway which has just missed a ping.
func TestWatcherPings(t *testing.T) {
	n := newLargeNode(t)
	s := n.snapshot.Load()
	missing := n.gatewaysToPing(s)[0].Address
	n.recordNoAnswer(missing, errors.New("no answer"))
	for range 20 {
		list := n.gatewaysToPing(s)
		if len(list) != maxGatewayPings || list[0].Address != missing {
			t.Fatalf("%d pings, the first to %s, want the maximum, and the first to %s", len(list), list[0].Address, missing)
		}
	}
}

// TestTableRequestRate guards against a request for tables after each ping of each watcher.
func TestTableRequestRate(t *testing.T) {
	n := newLargeNode(t)
	now := time.Unix(100, 0)
	n.now = func() time.Time { return now }
	near, far := "10.0.0.6", "10.0.0.7" // near shares this instance's failure domain; a failure domain without a region is a region of its own
	asked := make(map[string]int)
	for range 1000 {
		for _, address := range []string{far, near} {
			if n.mayRequestTables(address) {
				asked[address]++
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	if asked[near] < 45 || asked[near] > 51 || asked[far] > 1 {
		t.Errorf("requests for tables in 10 s: %v, want 45 to 51 to the near instance and at most 1 to the far one", asked)
	}
	for range 1000 {
		if n.mayRequestTables(far) {
			asked[far]++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if asked[far] < 9 || asked[far] > 11 {
		t.Errorf("requests for tables in 10 s without a near instance: %v, want 9 to 11 to the far one", asked)
	}
}

// TestMayDropCommit guards against a commit that is acknowledged to the caller although a
// pending promotion drops it, and against doubts about commits that the promotion keeps.
func TestMayDropCommit(t *testing.T) {
	n := newLargeNode(t)
	now := time.Unix(100, 0)
	n.now = func() time.Time { return now }
	old, next := &upstream{}, &upstream{}
	old.Group, old.Name, next.Group, next.Name = "g0", "old", "g0", "next"
	other := &upstream{}
	other.Group, other.Name = "g1", "old"
	at := func(term, offset uint64) wal.Position { return wal.Position{Term: term, Offset: offset} }
	if n.primaries.mayDropCommit(old, at(1, 90)) {
		t.Error("a commit may be dropped without a promotion")
	}
	n.primaries.recordPendingPromotion(KeepNotice{"g0", "next", at(1, 82), 0, 0})
	for _, test := range []struct {
		name  string
		u     *upstream
		p     wal.Position
		after time.Duration
		want  bool
	}{
		{"after the kept position", old, at(1, 83), 0, true},
		{"at the kept position", old, at(1, 82), 0, false},
		{"without a position", old, wal.Position{}, 0, false},
		{"of the promoted upstream", next, at(2, 83), 0, false},
		{"of the old primary in a later term", old, at(3, 90), 0, false},
		{"of another group", other, at(1, 90), 0, false},
		{"just within the grace of the promotion", old, at(1, 83), promotionGrace - 1, true},
		{"after the grace of a promotion that did not take effect", old, at(1, 83), promotionGrace, false},
	} {
		now = time.Unix(100, 0).Add(test.after)
		if got := n.primaries.mayDropCommit(test.u, test.p); got != test.want {
			t.Errorf("commit %s: may be dropped is wrongly %v", test.name, got)
		}
	}
}

// TestMayDropCommitAfterOtherPromotion guards against a commit that is acknowledged although a
// pending promotion drops it, because another upstream was promoted meanwhile.
func TestMayDropCommitAfterOtherPromotion(t *testing.T) {
	n := newLargeNode(t)
	old := &upstream{}
	old.Group, old.Name = "g0", "old"
	n.primaries.recordPendingPromotion(KeepNotice{Group: "g0", Upstream: "next", Kept: wal.Position{Term: 1, Offset: 82}})
	n.primaries.recordPromotion("g0", "other")
	if !n.primaries.mayDropCommit(old, wal.Position{Term: 1, Offset: 83}) {
		t.Error("the commit may not be dropped by the pending promotion")
	}
}

// TestProofDuringStallPromotion guards against a promotion that is cancelled because the
// primary still accepts transactions, although it reaches no replica. The group's commits
// got no answer for as long as each probe of the primary was quicker than the survey of the
// replicas.
func TestProofDuringStallPromotion(t *testing.T) {
	for _, test := range []struct {
		reason, upstream string
		commit, over     bool
	}{
		{reasonStalled, "u0", false, false},
		{reasonStalled, "u0", true, true},
		{reasonStalled, "u1", false, true},
		{reasonUnreachable, "u0", false, true},
	} {
		n := newLargeNode(t)
		ps := n.primaries
		ps.mu.Lock()
		g := ps.group("g0")
		ps.setPrimary(g, "u0", "test")
		g.coordinating = true
		ps.startPromotion(g, false, test.reason)
		ps.mu.Unlock()
		now := n.now().Add(time.Second)
		ps.recordProof("g0", test.upstream, now, wal.Position{Term: 1, Offset: 1}, now, test.commit)
		if over := g.promotion.Phase() == failover.PhaseIdle; over != test.over {
			t.Errorf("%+v: promotion in phase %s", test, g.promotion.Phase())
		}
	}
}

// TestSupersededPrimary guards against an old primary that is taken for the primary again
// after its successor was announced, on a platform where it goes on until it is demoted: by a
// statement that it accepts, by its entry in the registry, or at the gateway of another
// instance that has not heard of the successor.
func TestSupersededPrimary(t *testing.T) {
	at := func(term, offset uint64) wal.Position { return wal.Position{Term: term, Offset: offset} }
	announced := func(unfenced bool) (*Node, *group) {
		n := newLargeNode(t)
		s := *n.settings()
		s.Unfenced = unfenced
		n.activeSettings.Store(&s)
		n.recordContact("10.0.0.1", n.now(), Pong{Majority: true})
		ps := n.primaries
		now := n.now()
		ps.mu.Lock()
		ps.setPrimary(ps.group("g0"), "u0", "test")
		ps.mu.Unlock()
		ps.recordProof("g0", "u0", now, at(1, 80), now, false)
		ps.recordPendingPromotion(KeepNotice{"g0", "u1", at(1, 82), 5, 0})
		return n, ps.group("g0")
	}
	read := call.Request{Group: "g0", Upstream: "u0", Open: call.OpenFence, Statement: call.Statement{Kind: call.Read}}
	t.Run("a statement that it accepts", func(t *testing.T) {
		n, g := announced(true)
		later := n.now().Add(time.Second)
		n.primaries.recordProof("g0", "u0", later, at(1, 90), later, false)
		if p, _, _ := g.floors.Last(); g.primary != "u1" || p != at(1, 80) {
			t.Errorf("primary %s, floor %v, want u1 and the floor before the announcement", g.primary, p)
		}
		n.primaries.recordProof("g0", "u0", later, at(3, 90), later, false)
		if g.primary != "u0" {
			t.Errorf("primary %s after a proof of a later term, want u0", g.primary)
		}
	})
	t.Run("its entry in the registry", func(t *testing.T) {
		n, g := announced(true)
		u := *n.snapshot.Load().upstreams["u0"]
		u.ClaimsPrimary = true
		s := *n.snapshot.Load()
		s.policy = access.Policy{Groups: map[string]access.Group{"g0": {}}}
		s.groups = map[string][]*upstream{"g0": {&u, s.upstreams["u1"]}}
		n.primaries.configure(&s)
		if g.primary != "u1" {
			t.Errorf("primary %s, want u1", g.primary)
		}
	})
	t.Run("at a gateway", func(t *testing.T) {
		n, _ := announced(true)
		if r := n.runAtGateway(t.Context(), read); r.Code != call.ReadOnly || r.Ran != call.RanNo {
			t.Errorf("code %q, ran %q, want it refused without running", r.Code, r.Ran)
		}
	})
	t.Run("at an instance that is cut off", func(t *testing.T) {
		n, g := announced(true)
		now := n.now()
		n.now = func() time.Time { return now.Add(contactTimeout) }
		n.recordContact("10.0.0.6", n.now(), Pong{}) // which is cut off, too
		successor := read
		successor.Upstream = "u1"
		if r := n.runAtGateway(t.Context(), successor); r.Code != call.Unreachable || r.Ran != call.RanNo {
			t.Errorf("code %q, ran %q, want it refused without running", r.Code, r.Ran)
		}
		before, _, _ := g.floors.Last()
		n.primaries.recordProof("g0", "u1", n.now(), at(3, 99), n.now(), false)
		if p, _, _ := g.floors.Last(); p != before {
			t.Errorf("floor %v, want none from a primary that may have been replaced", p)
		}
	})
	t.Run("ordered by an instance that is cut off", func(t *testing.T) {
		n, g := announced(true)
		now := n.now()
		n.now = func() time.Time { return now.Add(contactTimeout) }
		if r, err := n.primaries.sendOrder(t.Context(), g, failover.Command{Upstream: "u1", Token: 5}); r != failover.ResponseUnsent || err == nil {
			t.Errorf("response %q, error %v, want the order not sent", r, err)
		}
	})
	t.Run("at an instance that has missed the announcement", func(t *testing.T) {
		told, _ := announced(true)
		n := newLargeNode(t)
		n.activeSettings.Store(told.settings())
		n.primaries.mu.Lock()
		g := n.primaries.group("g0")
		n.primaries.setPrimary(g, "u0", "test")
		n.primaries.mu.Unlock()
		if n.mayUsePrimaries() {
			t.Error("it uses primaries before most of the fleet has answered")
		}
		n.recordContact("10.0.0.1", n.now(), Pong{Majority: true, Promotions: told.primaries.recentPromotions()})
		if !n.mayUsePrimaries() || g.primary != "u1" || !n.primaries.isSuperseded("g0", "u0") {
			t.Errorf("primary %s after contact, want u1", g.primary)
		}
	})
	t.Run("on a platform that checks tokens", func(t *testing.T) {
		n, g := announced(false)
		later := n.now().Add(time.Second)
		n.primaries.recordProof("g0", "u0", later, at(1, 90), later, false)
		if p, _, _ := g.floors.Last(); g.primary != "u0" || p != at(1, 90) {
			t.Errorf("primary %s, floor %v, want the old primary until the promotion takes effect", g.primary, p)
		}
	})
}

// TestStatementsWaitForPromotion guards against statements that use up their attempts at an
// upstream whose promotion has not taken effect, and then wait until their deadline although
// it has: a promotion takes longer than the attempts.
func TestStatementsWaitForPromotion(t *testing.T) {
	n := newLargeNode(t)
	now := time.Unix(100, 0)
	n.now = func() time.Time { return now }
	ps := n.primaries
	ps.recordPromotion("g0", "u1")
	sent := 0
	for range 100 { // a second
		for range 10 { // waiting statements
			if ps.view("g0", now).primary == "u1" {
				ps.recordAttempt("g0") // sendStatement does so
				sent++
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	if !ps.isTakingOver("g0", "u1") || sent < 20 || sent > 26 {
		t.Errorf("%d statements sent in a second, taking over: %v, want one each %v and true", sent, ps.isTakingOver("g0", "u1"), refusedRetry)
	}
	changed := n.nextChange()
	ps.recordProof("g0", "u1", now, wal.Position{Term: 2, Offset: 1}, now, false)
	select {
	case <-changed:
	default:
		t.Error("waiting statements are not woken by the first proof")
	}
	for range 10 {
		if ps.view("g0", now).primary != "u1" {
			t.Error("a statement waits although the upstream acts as the primary")
		}
	}
}

// TestContactOfWatcher guards against a watcher that takes the answers of less than half of
// the gateways for contact, or needs more than half of them.
func TestContactOfWatcher(t *testing.T) {
	for _, test := range []struct {
		share float64
		want  bool
	}{{0.45, false}, {0.55, true}} {
		n := newLargeNode(t)
		now := n.now()
		n.gatewaysToPing(n.snapshot.Load())
		for _, i := range n.watchedGateways[:int(test.share*float64(len(n.watchedGateways)))] {
			n.recordContact(i.Address, now, Pong{})
		}
		n.mu.Lock()
		got := n.mostAnswered(n.snapshot.Load(), now)
		n.mu.Unlock()
		if got != test.want {
			t.Errorf("contact with %.2f of %d gateways: %v, want %v", test.share, len(n.watchedGateways), got, test.want)
		}
	}
}

package core

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/core/key"
	"burdockseam/core/quota"
	"burdockseam/core/route"
	"burdockseam/core/wal"
)

var start = time.Unix(1_700_000_000, 0)

// testConfig returns a configuration with one group of three upstreams in three failure
// domains.
func testConfig(t testing.TB) []config.File {
	t.Helper()
	issued, err := key.Issue(rand.NewChaCha8([32]byte{1}))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[team a]\nrate = 40/s\nburst = 80\n[key %s]\nteam = a\nhash = %s\n", issued.ID, issued.Hash)
	b.WriteString("[group g]\ncredentials = main\n[route r]\ngroup = g\nteams = a\n")
	for i, d := range []string{"x", "y", "z"} {
		fmt.Fprintf(&b, "[domain %s]\nregion = %s\nstate = in\n", d, d)
		fmt.Fprintf(&b, "[upstream u%d]\ngroup = g\naddress = 127.0.0.1:%d\ndomain = %s\nslots = 2\nconnections = 16\nstate = active\n", i, 5000+i, d)
	}
	return []config.File{{Name: "all.ini", Data: []byte(b.String())}}
}

// newTestNode returns a node that has installed the configuration, by default that of
// testConfig, and knows three instances, one in each failure domain.
func newTestNode(t testing.TB, address, domain string, all ...config.File) *Node {
	t.Helper()
	if len(all) == 0 {
		all = testConfig(t)
	}
	n := New(start, Self{Address: address, Domain: domain, Incarnation: cluster.Incarnation{Start: 1}}, rand.New(rand.NewPCG(1, 2)))
	n.HandlePlatformList(start, []cluster.PlatformInstance{{Address: "1:1", Domain: "x"}, {Address: "2:1", Domain: "y"}, {Address: "3:1", Domain: "z"}}, nil)
	head, _, err := config.Head{}.Apply(config.HashFiles(all), config.ChangeInfo{Op: "1", Time: start})
	if err != nil {
		t.Fatal(err)
	}
	n.HandlePollResult(start, start, 0, &head, nil)
	for _, f := range all {
		n.HandleFetchResult(start, config.Hash(f.Data), f.Data, nil)
	}
	if _, faults := config.Parse(all); len(faults) > 0 {
		t.Fatal(faults[0])
	}
	if n.Config().Revision != 1 {
		t.Fatalf("revision %d is in force, want 1", n.Config().Revision)
	}
	return n
}

func observerView(age time.Duration, offset uint64) GroupView {
	v := GroupView{Known: true, Version: 1, Observer: true}
	v.State = failover.Group{Term: 1, Primary: "u0", History: wal.History{{Term: 1}}, Claim: failover.Claim{Term: 1}}
	for i := range 3 {
		v.Seen = append(v.Seen, RelayedStatus{
			Upstream: fmt.Sprint("u", i), Age: age, Primary: i == 0, Fenced: 1, Position: wal.Position{Term: 1, Offset: offset},
		})
	}
	return v
}

// TestRepeatedGroupViews guards against responses that arrive twice or without a
// request: they once moved the index of the observer to ask below zero, and the node
// panicked at its next request.
func TestRepeatedGroupViews(t *testing.T) {
	n := newTestNode(t, "9:1", "x")
	asked := make(map[string]int)
	for i := range 25 { // shorter than the time after which silent members are removed from the view
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, m := range n.Tick(now).Messages {
			if m.GroupRequest == nil {
				continue
			}
			asked[m.To]++
			for range 3 {
				n.HandleGroupView(now, now, "g", observerView(0, 5))
			}
		}
	}
	if len(asked) != 1 {
		t.Errorf("requests went to %v, want only one observer as long as it answers", asked)
	}
}

// TestSilentObserverIsReplaced guards against endless requests to a dead observer.
func TestSilentObserverIsReplaced(t *testing.T) {
	n := newTestNode(t, "9:1", "x")
	asked := make(map[string]int)
	for i := range 100 {
		for _, m := range n.Tick(start.Add(time.Duration(i) * 100 * time.Millisecond)).Messages {
			if m.GroupRequest != nil {
				asked[m.To]++
			}
		}
	}
	if len(asked) < 2 {
		t.Errorf("requests went to %v, want at least two observers", asked)
	}
}

// TestRouteByRelayedStatuses guards against a read that is routed to a replica because
// of an outdated view. The ages in a view count from the time of the request, and a
// read with a token beyond the reported positions must go to the primary.
func TestRouteByRelayedStatuses(t *testing.T) {
	n := newTestNode(t, "9:1", "x")
	if d, _ := n.ChooseUpstream(start, "g", route.Request{}); d.Upstream != "" {
		t.Fatalf("upstream %s was chosen before any status was known", d.Upstream)
	}
	now := start.Add(time.Second)
	n.HandleGroupView(now, start.Add(900*time.Millisecond), "g", observerView(100*time.Millisecond, 5))
	token := route.Request{HasToken: true, Token: wal.Position{Term: 1, Offset: 6}}
	if d, term := n.ChooseUpstream(now, "g", token); d.Upstream != "u0" || term != 1 {
		t.Errorf("a read with a token beyond the replicas was routed to %q in term %d, want u0 in term 1", d.Upstream, term)
	}
	token.Token.Offset = 5
	if d, _ := n.ChooseUpstream(now, "g", token); d.Upstream == "u0" || d.Upstream == "" {
		t.Errorf("a read with a token that the replicas have reached was routed to %q, want a replica", d.Upstream)
	}
	if d, _ := n.ChooseUpstream(now, "g", route.Request{Write: true}); d.Upstream != "u0" {
		t.Errorf("a write was routed to %q, want u0", d.Upstream)
	}
}

// TestNoTokenWithoutShardOwner guards against an instance that grants itself tokens
// while no instance owns the shard by a lease.
func TestNoTokenWithoutShardOwner(t *testing.T) {
	n := newTestNode(t, "1:1", "x")
	for i := range 40 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		n.Tick(now)
		if d, _ := n.Admit(now, "a"); d.Outcome == quota.Granted {
			t.Fatalf("a token was granted after %v although no owner is known", now.Sub(start))
		}
	}
}

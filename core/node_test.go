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

// files is a configuration with one group of three upstreams in three failure domains.
func files(t testing.TB) []config.File {
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

// node returns a node that has the configuration and knows one instance in each of
// the other failure domains.
func node(t testing.TB, address, domain string, all ...config.File) *Node {
	t.Helper()
	if len(all) == 0 {
		all = files(t)
	}
	n := New(start, Self{Address: address, Domain: domain, Incarnation: cluster.Incarnation{Start: 1}}, rand.New(rand.NewPCG(1, 2)))
	n.Listed(start, []cluster.PlatformInstance{{Address: "1:1", Domain: "x"}, {Address: "2:1", Domain: "y"}, {Address: "3:1", Domain: "z"}}, nil)
	head, _, err := config.Head{}.Apply(config.HashFiles(all), config.Note{Op: "1", Time: start})
	if err != nil {
		t.Fatal(err)
	}
	n.Polled(start, start, 0, &head, nil)
	for _, f := range all {
		n.Fetched(start, config.Hash(f.Data), f.Data, nil)
	}
	if _, faults := config.Parse(all); len(faults) > 0 {
		t.Fatal(faults[0])
	}
	if n.Config().Revision != 1 {
		t.Fatalf("revision %d is in force, want 1", n.Config().Revision)
	}
	return n
}

func seen(age time.Duration, offset uint64) GroupView {
	v := GroupView{Known: true, Version: 1, Observer: true}
	v.State = failover.Group{Term: 1, Primary: "u0", History: wal.History{{Term: 1}}, Claim: failover.Claim{Term: 1}}
	for i := range 3 {
		v.Seen = append(v.Seen, Seen{
			Upstream: fmt.Sprint("u", i), Age: age, Primary: i == 0, Fenced: 1, Position: wal.Position{Term: 1, Offset: offset},
		})
	}
	return v
}

// Guards against answers that arrive twice or unasked: they once moved the index of
// the observer to ask below zero, and the node panicked at the next question.
func TestRepeatedGroupReplies(t *testing.T) {
	n := node(t, "9:1", "x")
	asked := make(map[string]int)
	for i := range 25 { // shorter than the time after which silent members leave the view
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, m := range n.Tick(now).Messages {
			if m.Ask == nil {
				continue
			}
			asked[m.To]++
			for range 3 {
				n.GroupReply(now, now, "g", seen(0, 5))
			}
		}
	}
	if len(asked) != 1 {
		t.Errorf("asked %v; an observer that answers should be kept", asked)
	}
}

// Guards against a dead observer that is asked for ever.
func TestSilentObserverIsPassedOver(t *testing.T) {
	n := node(t, "9:1", "x")
	asked := make(map[string]int)
	for i := range 100 {
		for _, m := range n.Tick(start.Add(time.Duration(i) * 100 * time.Millisecond)).Messages {
			if m.Ask != nil {
				asked[m.To]++
			}
		}
	}
	if len(asked) < 2 {
		t.Errorf("asked only %v", asked)
	}
}

// Guards against a route to an upstream from a view that came late: its age counts
// from the question, so a token beyond it must go to the primary.
func TestRelayedViewRoutes(t *testing.T) {
	n := node(t, "9:1", "x")
	if d, _ := n.Choose(start, "g", route.Request{}); d.Upstream != "" {
		t.Fatalf("chose %s before anything was known", d.Upstream)
	}
	now := start.Add(time.Second)
	n.GroupReply(now, start.Add(900*time.Millisecond), "g", seen(100*time.Millisecond, 5))
	token := route.Request{HasToken: true, Token: wal.Position{Term: 1, Offset: 6}}
	if d, term := n.Choose(now, "g", token); d.Upstream != "u0" || term != 1 {
		t.Errorf("a token beyond the replicas went to %q in term %d", d.Upstream, term)
	}
	token.Token.Offset = 5
	if d, _ := n.Choose(now, "g", token); d.Upstream == "u0" || d.Upstream == "" {
		t.Errorf("a covered token went to %q, want a replica", d.Upstream)
	}
	if d, _ := n.Choose(now, "g", route.Request{Write: true}); d.Upstream != "u0" {
		t.Errorf("a write went to %q", d.Upstream)
	}
}

// Guards against an instance that grants itself tokens without a lease.
func TestNoGrantWithoutLease(t *testing.T) {
	n := node(t, "1:1", "x")
	for i := range 40 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		n.Tick(now)
		if d, _ := n.Admit(now, "a"); d.Outcome == quota.Granted {
			t.Fatalf("granted after %v although no owner is known", now.Sub(start))
		}
	}
}

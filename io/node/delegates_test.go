package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/config"
	"burdockseam/core/quota"
)

// fleetTable returns a table of instances in six failure domains, of which the first few are of
// a build without delegated parts.
func fleetTable(t *testing.T, revision uint64, instances, old int) Table {
	t.Helper()
	table := Table{Kind: KindInstance, Revision: revision, Objects: make(map[string]Object)}
	for k := range instances {
		data, err := json.Marshal(member{ID: fmt.Sprint(k), Address: fmt.Sprint("10.0.0.", k), Domain: fmt.Sprint("d", k%6), Delegates: k >= old})
		if err != nil {
			t.Fatal(err)
		}
		table.Objects[fmt.Sprint(k)] = Object{Name: fmt.Sprint(k), Revision: revision, Data: data}
	}
	return table
}

// newDelegatingNode returns an instance of a fleet whose only team is named "red" and has a
// burst of 20.
func newDelegatingNode(t *testing.T, instances, old int) *Node {
	t.Helper()
	return newSpareNode(t, instances, old, 0)
}

// newSpareNode returns such an instance of a deployment with a burst allowance.
func newSpareNode(t *testing.T, instances, old int, allowance float64) *Node {
	t.Helper()
	n := newLargeNode(t)
	settings := *n.settings()
	settings.BurstAllowance = allowance
	n.activeSettings.Store(&settings)
	s := *n.snapshot.Load()
	s.policy.Teams = map[string]access.Team{"red": {Team: config.Team{Name: "red", Rate: 20, Burst: 20}}}
	n.snapshot.Store(&s)
	n.tables.install(Table{Kind: KindOutDomain, Revision: 1})
	n.tables.install(fleetTable(t, 2, instances, old))
	n.rebuild()
	return n
}

// TestDelegatedTeams guards against a fleet in which some instances use the owner and others
// delegated parts, and against a change of small fleets.
func TestDelegatedTeams(t *testing.T) {
	for name, test := range map[string]struct {
		instances, old int
		allowance      float64
		delegated      bool
	}{
		"all support it":                  {100, 0, 20, true},
		"one instance is of an old build": {100, 1, 20, false},
		"the local part is a token":       {12, 0, 0, true},
		"a spare token for each instance": {9, 0, 20, false},
	} {
		t.Run(name, func(t *testing.T) {
			n := newSpareNode(t, test.instances, test.old, test.allowance)
			if got := n.delegates.limits("red"); got != test.delegated {
				t.Errorf("limited by delegated parts: got %v, want %v", got, test.delegated)
			}
		})
	}
}

// TestChooseCollectors guards against a collector that does not answer, and against more than one
// lender in each failure domain.
func TestChooseCollectors(t *testing.T) {
	n := newDelegatingNode(t, 100, 0)
	d := n.delegates
	domainOf := func(address string) string {
		for _, i := range n.snapshot.Load().instances {
			if i.Address == address {
				return i.Domain
			}
		}
		return ""
	}
	first, lenders := d.chooseCollectors()
	if domainOf(first) != n.self.Domain || len(lenders) < 5 {
		t.Fatalf("got collector %s of %s and lenders %v, want one of the own failure domain and one of each other", first, domainOf(first), lenders)
	}
	for what, fail := range map[string]func(address string){
		"calls to it fail": func(address string) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.silent[address] = silentPeer{silentFailures, n.now()}
		},
		"it is suspect": func(address string) {
			n.recordNoAnswer(address, errors.New("no answer"))
			n.recordNoAnswer(address, errors.New("no answer"))
		},
	} {
		before, _ := d.chooseCollectors()
		if before == n.self.Address {
			t.Fatal("the own instance is first of its failure domain; the test needs another key")
		}
		fail(before)
		if after, _ := d.chooseCollectors(); after == before || domainOf(after) != n.self.Domain {
			t.Errorf("%s: got collector %s of %s, want another one of the own failure domain", what, after, domainOf(after))
		}
	}
}

// TestOwnCollector guards against an instance that can't serve a team when no other instance of
// its failure domain answers, and against operations that wait for longer than they may.
func TestOwnCollector(t *testing.T) {
	n := newDelegatingNode(t, 100, 0)
	d := n.delegates
	for _, i := range n.snapshot.Load().instances {
		if i.Address != n.self.Address {
			n.recordNoAnswer(i.Address, errors.New("no answer"))
			n.recordNoAnswer(i.Address, errors.New("no answer"))
		}
	}
	for range 3 {
		d.step()
	}
	if p := d.collector.Parts(); p != 1 {
		t.Fatalf("%d parts are delegated to the only instance, want its own", p)
	}
	sent := time.Now()
	if retry, ok := d.takeToken(t.Context(), "red", 0, 0); ok || retry <= 0 {
		t.Errorf("a token of an empty bucket: got %v with retry %v, want a refusal with a hint", ok, retry)
	}
	if took := time.Since(sent); took > 4*minTokenWait {
		t.Errorf("the operation waited for %v, at most %v allowed", took, minTokenWait)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, ok := d.takeToken(ctx, "red", 0, time.Hour); ok {
		t.Error("a token was granted to an operation that has ended")
	}
	var metrics strings.Builder
	n.metrics.set.WritePrometheus(&metrics)
	if !strings.Contains(metrics.String(), "burdockseam_limit_delegations 1\n") {
		t.Error("the metrics do not show the delegation")
	}
}

// TestCutOffInstanceDelegatesNothing guards against an instance that spends its part after the
// others may have removed its object and count the fleet without it.
func TestCutOffInstanceDelegatesNothing(t *testing.T) {
	n := newDelegatingNode(t, 100, 0)
	for _, i := range n.snapshot.Load().instances {
		if i.Address != n.self.Address {
			n.recordNoAnswer(i.Address, errors.New("no answer"))
			n.recordNoAnswer(i.Address, errors.New("no answer"))
		}
	}
	began := n.now()
	n.contactAt.Store(&began)
	n.tables.unansweredSince[KindInstance] = began // the store does not answer
	for _, test := range []struct {
		after time.Duration
		parts bool
	}{{time.Second, true}, {cutOffAfter - time.Second, true}, {cutOffAfter + time.Second, false}, {cutOffAfter + 5*time.Second, false}} {
		n.now = func() time.Time { return began.Add(test.after) }
		n.tables.now = n.now
		n.delegates.step()
		n.delegates.step()
		if got := n.delegates.sum() > 0; got != test.parts {
			t.Errorf("after %v: got parts %v, want %v", test.after, got, test.parts)
		}
	}
	// The others may count the fleet without this instance until they have seen it again.
	delete(n.tables.unansweredSince, KindInstance)
	for _, test := range []struct {
		after time.Duration
		parts bool
	}{{cutOffAfter + 6*time.Second, false}, {cutOffAfter + 9*time.Second, false}, {cutOffAfter + 12*time.Second, true}} {
		n.now = func() time.Time { return began.Add(test.after) }
		n.tables.now = n.now
		n.delegates.step()
		n.delegates.step()
		if got := n.delegates.sum() > 0; got != test.parts {
			t.Errorf("%v after the link has healed: got parts %v, want %v", test.after-cutOffAfter-5*time.Second, got, test.parts)
		}
	}
}

// TestSilentCollectorStaysAvoided guards against a lost collector that is chosen again and again
// because nothing but the failed calls shows that it is lost.
func TestSilentCollectorStaysAvoided(t *testing.T) {
	n := newDelegatingNode(t, 100, 0)
	d := n.delegates
	began := n.now()
	lost, _ := d.chooseCollectors()
	d.silent[lost] = silentPeer{silentFailures, began}
	for _, after := range []time.Duration{0, silentTime + time.Second, time.Minute} {
		n.now = func() time.Time { return began.Add(after) }
		if got, _ := d.chooseCollectors(); got == lost {
			t.Errorf("the collector that does not answer is chosen after %v", after)
		}
	}
	n.recordAnswer(lost)
	if got, _ := d.chooseCollectors(); got != lost {
		t.Errorf("collector %s after %s has answered a ping, want %s", got, lost, lost)
	}
}

// TestLendUnknownTeam guards against a peer that asks for a team which is not configured here.
func TestLendUnknownTeam(t *testing.T) {
	n := newDelegatingNode(t, 100, 0)
	var reply quota.TransferReply
	if err := (&service{n}).Transfer(quota.Transfer{Wants: []quota.TransferWant{{Team: "blue", Tokens: 1}}}, &reply); err != nil || len(reply.Tokens) != 1 || reply.Tokens[0] != 0 {
		t.Errorf("got %v, %v, want no tokens", reply, err)
	}
}

package failover

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"burdockseam/core/wal"
)

const warmUp = 6 * time.Second // longer than Timing.Hysteresis

// newRunningSim returns a simulation past the hysteresis of its first term.
func newRunningSim(t *testing.T, upstreams int) *sim {
	t.Helper()
	s := newSim(upstreams, 1)
	if s.run(warmUp, nil); len(s.ackTimes) < 200 {
		t.Fatalf("%d writes acknowledged before the fault, want at least 200", len(s.ackTimes))
	}
	return s
}

// checkRecovered checks that writes are acknowledged again and that, with every link repaired,
// all upstreams follow the group in the same term.
func checkRecovered(t *testing.T, s *sim, term uint64) {
	t.Helper()
	if !s.runUntilWritable(20*time.Second, 5, term) {
		t.Errorf("no acknowledged writes after the fault; group %+v", s.storedGroup())
	}
	clear(s.cutLinks)
	same := s.run(20*time.Second, func() bool {
		g := s.storedGroup()
		return !slices.ContainsFunc(s.upstreams, func(u *fakeUpstream) bool {
			return u.fenced != g.Term || u.term != g.Term || (u.role == RolePrimary) != (u.name == g.Primary)
		})
	})
	if !same {
		t.Errorf("upstreams do not follow the group %+v", s.storedGroup())
	}
	s.failOnFaults(t)
}

// TestFaultAtEachStep guards against a promotion that stops or loses a write because of a
// second fault at one of its steps. The first fault is that the primary is cut off.
func TestFaultAtEachStep(t *testing.T) {
	steps := map[string]func(Request) bool{
		"claim":   func(r Request) bool { return strings.HasSuffix(r.ID, "/claim") },
		"fence":   func(r Request) bool { return r.Kind == KindFence },
		"record":  func(r Request) bool { return strings.HasSuffix(r.ID, "/record") },
		"promote": func(r Request) bool { return r.Kind == KindPromote },
		"follow":  func(r Request) bool { return r.Kind == KindFollow },
	}
	restart := func(s *sim, n *simNode) {
		n.dead = true
		s.after(time.Second, func() { s.startNode(n) })
	}
	faults := map[string]func(*sim, *simNode, Request) bool{
		"crash before": func(s *sim, n *simNode, _ Request) bool { restart(s, n); return false },
		"crash after": func(s *sim, n *simNode, _ Request) bool {
			s.after(8*time.Millisecond, func() { restart(s, n) })
			return true
		},
		"pause": func(s *sim, n *simNode, _ Request) bool { n.paused = s.now.Add(4 * time.Second); return true },
		"pause before": func(s *sim, n *simNode, r Request) bool {
			n.paused = s.now.Add(4 * time.Second)
			s.after(4*time.Second, func() { s.sendRequests(n, []Request{r}) })
			return false
		},
		"lost request": func(*sim, *simNode, Request) bool { return false },
		"lost answer": func(s *sim, n *simNode, r Request) bool {
			s.onAnswer = func(o *simNode, q Request) bool {
				lose := o == n && q.Kind == r.Kind && q.Upstream == r.Upstream
				if lose {
					s.onAnswer = nil
				}
				return !lose
			}
			return true
		},
		"rival": func(s *sim, n *simNode, _ Request) bool {
			for _, o := range s.nodes {
				if o != n {
					s.sendRequests(o, o.coordinator.SetActive(s.now, true))
					s.sendRequests(o, o.coordinator.Tick(s.now.Add(2*time.Second), Verdict{Start: true}))
				}
			}
			return true
		},
		"old primary returns": func(s *sim, _ *simNode, _ Request) bool { s.isolate(false, "a"); return true },
		"store out":           func(s *sim, _ *simNode, _ Request) bool { s.cutStore(3 * time.Second); return true },
		"next primary cut off": func(s *sim, _ *simNode, _ Request) bool {
			s.isolate(true, "b", "nb")
			s.after(2*time.Second, func() { s.isolate(false, "a") })
			return true
		},
	}
	for step, matches := range steps {
		for name, fault := range faults {
			for _, upstreams := range []int{3, 5} {
				t.Run(step+"/"+name, func(t *testing.T) {
					t.Parallel()
					s := newRunningSim(t, upstreams)
					faultInjected := false
					s.onRequest = func(n *simNode, r Request) bool {
						if faultInjected || !matches(r) {
							return true
						}
						faultInjected = true
						return fault(s, n, r)
					}
					s.isolate(true, "a")
					checkRecovered(t, s, 2)
					if !faultInjected {
						t.Error("no request of the step was sent")
					}
				})
			}
		}
	}
}

// TestLateRecordConflicts guards against a late record that overwrites the later term which
// another coordinator has recorded.
func TestLateRecordConflicts(t *testing.T) {
	c := newCluster(3)
	var heldRecords []Request
	// deliverAll performs requests and delivers the answers until there are none. It holds
	// back the record of the first coordinator, and sends nothing to the upstream skip.
	deliverAll := func(k *Coordinator, reqs []Request, skip string) {
		for ; len(reqs) > 0; reqs = reqs[1:] {
			switch r := reqs[0]; {
			case r.ID == "x-1/record":
				heldRecords = append(heldRecords, r)
			case r.Kind == KindGet || r.Kind == KindPut:
				reqs = append(reqs, k.HandleStore(epoch, c.storeCall(r))...)
			case r.Kind != KindAnnounce && r.Upstream != skip:
				reqs = append(reqs, k.HandleUpstream(epoch, c.controlCall(epoch, r))...)
			}
		}
	}
	for i, skip := range []string{"a", "b"} { // x fences b and c, y fences a and c
		self := string(rune('x' + i))
		k := NewCoordinator(Options{Self: self, Incarnation: self, Timing: DefaultTiming})
		k.SetMembers((&sim{fakeCluster: c}).members())
		deliverAll(k, k.SetActive(epoch, true), skip)
		late := epoch.Add(time.Duration(2*i) * time.Second)
		deliverAll(k, k.Tick(late, Verdict{Start: true}), skip)
	}
	if g := c.storedGroup(); len(heldRecords) != 1 || g.Term != 3 {
		t.Fatalf("%d records held back, group %+v, want 1 and term 3", len(heldRecords), g)
	}
	if r := c.storeCall(heldRecords[0]); r.Failure != FailureConflict {
		t.Errorf("late record: %+v, want a conflict", r)
	}
	c.failOnFaults(t)
}

// TestAcknowledgementRule guards in each case against an acknowledgement without one part of
// the rule.
func TestAcknowledgementRule(t *testing.T) {
	status := func(role Role, fenced, term, offset uint64) Status {
		return Status{role, fenced, wal.Position{Term: term, Offset: offset}}
	}
	primary, replica := status(RolePrimary, 2, 2, 7), status(RoleReplica, 2, 2, 7)
	for _, tc := range []struct {
		name    string
		reports map[string]Status
		want    Outcome
	}{
		{"majority", map[string]Status{"a": primary, "b": replica}, OutcomeAcknowledged},
		{"primary alone", map[string]Status{"a": primary}, OutcomeUnknown},
		{"replicas without the primary", map[string]Status{"b": replica, "c": replica}, OutcomeUnknown},
		{"replica behind", map[string]Status{"a": primary, "b": status(RoleReplica, 2, 2, 6)}, OutcomeUnknown},
		{"replica with the tail of an old term", map[string]Status{"a": primary, "b": status(RoleReplica, 2, 1, 9)}, OutcomeUnknown},
		{"replica fenced at a newer term", map[string]Status{"a": primary, "b": status(RoleReplica, 3, 2, 7)}, OutcomeUnknown},
		{"primary fenced at a newer term", map[string]Status{"a": status(RolePrimary, 3, 2, 7), "b": replica}, OutcomeUnknown},
		{"replica outside the group", map[string]Status{"a": primary, "z": replica}, OutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var a AckTracker
			a.SetGroup(2, "a", names[:3])
			got := slices.Clone(a.Add(Write{ID: 1, Position: wal.Position{Term: 2, Offset: 7}, Deadline: epoch}))
			for up, s := range tc.reports {
				got = append(got, a.HandleStatus(up, s)...)
			}
			got = append(got, a.Tick(epoch)...)
			if n, _ := a.Pending(); len(got) != 1 || got[0].Outcome != tc.want || n != 0 {
				t.Errorf("resolved %+v with %d pending, want one %s", got, n, tc.want)
			}
		})
	}
}

// TestReturnedPrimaryDropsTail guards against an old primary that keeps acknowledging writes,
// or keeps its own tail when it returns. Its gateway is cut off together with it and goes on
// writing.
func TestReturnedPrimaryDropsTail(t *testing.T) {
	s := newRunningSim(t, 3)
	cut := uint64(0)
	s.onRequest = func(_ *simNode, r Request) bool {
		if r.Kind == KindFollow && r.Upstream == "a" {
			cut = max(cut, r.Cut)
		}
		return true
	}
	s.isolate(true, "a", "na")
	s.run(4*time.Second, nil)
	checkRecovered(t, s, 2)
	if cut == 0 || s.unknown == 0 {
		t.Errorf("a tail of %d entries was cut and %d writes are unknown, want both above 0", cut, s.unknown)
	}
}

// TestOneSidedCutStartsNoPromotion guards against a promotion because of the link of a single
// observer, in either direction.
func TestOneSidedCutStartsNoPromotion(t *testing.T) {
	for _, link := range [][2]string{{"nb", "a"}, {"a", "nb"}, {"na", "nb"}, {"store", "na"}, {"a", "na"}} {
		s := newRunningSim(t, 3)
		s.cutLinks[link] = true
		s.run(20*time.Second, nil)
		if g := s.storedGroup(); g.Term != 1 || g.Claim.Term != 1 {
			t.Errorf("cut %v: group %+v, want term 1", link, g)
		}
		s.failOnFaults(t)
	}
}

// TestNoPromotionWithoutMajority guards against a promotion without a majority, and checks
// that a refused write can name the missing upstreams.
func TestNoPromotionWithoutMajority(t *testing.T) {
	s := newRunningSim(t, 3)
	s.isolate(true, "a")
	s.isolate(true, "b")
	s.run(10*time.Second, nil)
	n := s.nodes[2]
	if got := n.detector.MissingUpstreams(s.now); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("MissingUpstreams = %v, want a and b", got)
	}
	if v := n.detector.Verdict(s.now); v.Start || v.Reason != ReasonNoMajority || s.storedGroup().Term != 1 {
		t.Errorf("verdict %+v in group %+v, want term 1 without a majority", v, s.storedGroup())
	}
	ackedBefore := len(s.ackTimes)
	s.isolate(false, "b")
	checkRecovered(t, s, 2)
	if len(s.ackTimes) == ackedBefore {
		t.Error("no acknowledged writes after the majority was back")
	}
}

// TestStoreOutage guards against a promotion that an outage of the store delays until the
// promotion is no longer needed.
func TestStoreOutage(t *testing.T) {
	s := newRunningSim(t, 3)
	s.cutStore(10 * time.Second)
	s.isolate(true, "a")
	s.run(5*time.Second, nil)
	s.isolate(false, "a")
	s.run(10*time.Second, nil)
	if g := s.storedGroup(); g.Term != 1 {
		t.Errorf("group %+v, want term 1 because the primary came back", g)
	}
	checkRecovered(t, s, 1)
}

// cutStore makes the store unreachable for a time.
func (s *sim) cutStore(d time.Duration) {
	s.isolate(true, "store")
	s.after(d, func() { s.isolate(false, "store") })
}

// TestHysteresis guards against two failovers within the hysteresis, and against waiting for
// the hysteresis when the new primary never worked.
func TestHysteresis(t *testing.T) {
	s := newRunningSim(t, 5)
	s.isolate(true, "a")
	s.runUntilWritable(5*time.Second, 5, 2)
	second := s.now
	s.isolate(true, s.storedGroup().Primary)
	s.runUntilWritable(10*time.Second, 5, 3)
	if gap := s.now.Sub(second); gap < 4500*time.Millisecond || gap > 6*time.Second {
		t.Errorf("second promotion after %v, want about 5s", gap)
	}
	checkRecovered(t, s, 3)

	s = newRunningSim(t, 5)
	s.onRequest = func(_ *simNode, r Request) bool {
		if r.Kind == KindPromote && r.Term == 2 {
			s.isolate(true, r.Upstream)
		}
		return true
	}
	s.isolate(true, "a")
	if s.runUntilWritable(4*time.Second, 5, 3); s.storedGroup().Term != 3 {
		t.Errorf("group %+v, want term 3 without hysteresis", s.storedGroup())
	}
	checkRecovered(t, s, 3)
}

// TestSwitchover guards against a switchover that leaves unknown writes, ends at another
// upstream than the requested one, or keeps writes held when it fails.
func TestSwitchover(t *testing.T) {
	makePrimaryIneligible := func(s *sim) {
		for _, n := range s.nodes {
			m := s.members()
			m[0].Eligible = false
			n.coordinator.SetMembers(m)
		}
	}
	startSwitchover := func(target string) func(*sim) {
		return func(s *sim) {
			if err := s.nodes[0].coordinator.StartSwitchover(s.now, target); err != nil {
				t.Error(err)
			}
		}
	}
	for _, tc := range []struct {
		name  string
		begin func(*sim)
		cut   string
		term  uint64
		want  string
	}{
		{"requested by an operator", startSwitchover("c"), "", 2, "c"},
		{"primary's failure domain is out", makePrimaryIneligible, "", 2, "bc"},
		{"target does not catch up", startSwitchover("c"), "c", 1, "a"},
		{"upstream stuck at a claim that was given up", func(s *sim) {
			g := s.storedGroup()
			s.putGroup(g.WithClaim(Claim{Term: 2, Op: "x", By: "x"}), s.version)
			s.upstreams[2].fenced = 2
			for _, n := range s.nodes {
				s.sendRequests(n, n.coordinator.HandleStore(s.now, s.storeCall(Request{Kind: KindGet})))
			}
		}, "", 3, "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newRunningSim(t, 3)
			tc.begin(s)
			if tc.cut != "" {
				s.cutLinks[[2]string{"a", tc.cut}] = true
			}
			s.run(12*time.Second, nil)
			if g := s.storedGroup(); !strings.Contains(tc.want, g.Primary) || g.Term != tc.term || s.unknown != 0 {
				t.Errorf("group %+v with %d unknown writes, want %s in term %d and 0", g, s.unknown, tc.want, tc.term)
			}
			checkRecovered(t, s, tc.term)
		})
	}
}

// TestSwitchoverBehindCut guards against a switchover, or a failover after it, that leaves out writes
// which the primary and one replica acknowledge behind a cut while the primary is leaving.
func TestSwitchoverBehindCut(t *testing.T) {
	for _, test := range []struct {
		name    string
		removed bool // the replica behind the cut is removed from the configuration meanwhile
	}{{"", false}, {"removed replica", true}} {
		t.Run(test.name, func(t *testing.T) {
			s := newRunningSim(t, 3)
			members := s.members()
			members[0].Eligible, members[1].Eligible = false, false
			for _, n := range s.nodes {
				n.coordinator.SetMembers(members)
			}
			cut := func(cut bool) {
				for _, inside := range []string{"a", "b", "na", "nb"} {
					for _, outside := range []string{"c", "nc", "store"} {
						s.cutLinks[[2]string{inside, outside}], s.cutLinks[[2]string{outside, inside}] = cut, cut
					}
				}
			}
			cut(true)
			before := len(s.ackTimes)
			if test.removed {
				s.nodes[2].coordinator.SetMembers([]Member{members[0], members[2]})
			}
			s.run(12*time.Second, nil)
			if g := s.storedGroup(); g.Term != 1 || len(s.ackTimes) == before {
				t.Errorf("group %+v, %d writes acknowledged behind the cut, want term 1 and some", g, len(s.ackTimes)-before)
			}
			cut(false)
			s.run(12*time.Second, nil)
			if g := s.storedGroup(); g.Primary != "c" {
				t.Errorf("group %+v after the cut, want primary c", g)
			}
			s.failOnFaults(t)
		})
	}
}

// TestWithPrimary guards against a start that joins the tails of two terms: entries 11 and 12
// of term 1 at c are not in the history, since term 2 began at 10.
func TestWithPrimary(t *testing.T) {
	g := Group{Term: 2, Primary: "b", History: wal.History{{Term: 1}, {Term: 2, Offset: 10}}, Claim: Claim{Term: 3, Op: "op", By: "i"}}
	next := g.WithPrimary("c", wal.Position{Term: 1, Offset: 12})
	if next.Term != 3 || next.Primary != "c" || next.Start() != 10 || len(g.History) != 2 {
		t.Errorf("WithPrimary = %+v from %+v, want a start at 10", next, g)
	}
	if next.History.Covers(wal.Position{Term: 2, Offset: 12}, wal.Position{Term: 3, Offset: 11}) {
		t.Error("b's tail of term 2 covers a write of term 3")
	}
	b, err := json.Marshal(next)
	if want := `{"term":3,"primary":"c","history":[[1,0],[2,10],[3,10]],"claim":{"term":3,"op":"op","by":"i"}}`; err != nil || string(b) != want {
		t.Errorf("JSON %s, %v, want %s", b, err, want)
	}
	for _, text := range []string{
		`{"term":1}`, `{"term":1,"primary":"a","history":[[2,0],[1,0]],"claim":{"term":1}}`, `[]`,
		`{"term":2,"primary":"a","history":[[2,0]],"claim":{"term":1}}`, `{"term":2,"history":[[2,0]],"claim":{"term":2}}`,
	} {
		if err := json.Unmarshal([]byte(text), &g); !Error.Has(err) {
			t.Errorf("%s: error %v, want a refusal", text, err)
		}
	}
}

// TestSwitchoverWaitsForConfiguration guards against a switchover that begins while a change
// of the configuration is not in force everywhere yet, so that other instances send writes to
// a gateway that is not drained.
func TestSwitchoverWaitsForConfiguration(t *testing.T) {
	s := newRunningSim(t, 3)
	s.onRequest = func(_ *simNode, r Request) bool {
		if r.Kind == KindDrain {
			t.Error("the gateway is drained at once")
		}
		return true
	}
	for _, n := range s.nodes {
		m := s.members()
		m[0].Eligible = false
		n.coordinator.SetMembers(m)
	}
	s.run(DefaultTiming.SwitchoverDelay-2*simTick, nil)
	s.onRequest = nil
	s.run(5*time.Second, nil)
	if g := s.storedGroup(); g.Primary == "a" {
		t.Errorf("group %+v, want another primary", g)
	}
}

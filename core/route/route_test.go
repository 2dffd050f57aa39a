package route

import (
	"testing"
	"time"

	"burdockseam/core/wal"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// newTestGroup returns a group in term 2, which started at offset 10, with primary a and
// replicas b and c in the failure domains x, y and z. At 1,000 ms all are confirmed: a
// and b at 100, c at 60. The samples of the primary are 40 at 0 ms, 60 at 500 ms and 100
// at 1,000 ms.
func newTestGroup() *Group {
	g := NewGroup(time.Millisecond)
	g.SetMembers([]Upstream{{"a", "x"}, {"b", "y"}, {"c", "z"}})
	g.SetLeadership(2, "a", wal.History{{Term: 1}, {Term: 2, Offset: 10}})
	for i, offset := range []uint64{40, 60, 100} {
		addReport(g, "a", i*500, 2, offset)
	}
	addReport(g, "b", 1000, 2, 100)
	addReport(g, "c", 1000, 2, 60)
	return g
}

// addReport adds a report of an upstream that is fenced at the term and has reached the
// offset in it.
func addReport(g *Group, name string, ms int, term, offset uint64) {
	g.AddReport(Report{
		Upstream: name, Begun: at(ms), Primary: name == "a", Fenced: term, Position: wal.Position{Term: term, Offset: offset},
	})
}

// tokenRequest returns a read of a session that has observed the position.
func tokenRequest(term, offset uint64) Request {
	return Request{HasToken: true, Token: wal.Position{Term: term, Offset: offset}}
}

// TestChoose checks the destination of statements. Each case is named after the wrong
// destination that it guards against.
func TestChoose(t *testing.T) {
	local := tokenRequest(2, 60)
	local.Domain = "z"
	bounded := tokenRequest(2, 1)
	bounded.Domain, bounded.Staleness = "z", 400*time.Millisecond
	onlyC := func(g *Group) { g.SetServing(at(1000), "b", false) }
	for _, tc := range []struct {
		name   string
		change func(*Group)
		now    int
		req    Request
		want   Decision
	}{
		{"write goes to a replica", nil, 1000, Request{Write: true}, Decision{Upstream: "a", Reason: ReasonWrite}},
		{"replica lacks the session's write", nil, 1000, tokenRequest(2, 100), Decision{Upstream: "b", Reason: ReasonReplica}},
		{"remote replica although a local one holds the write", nil, 1000, local, Decision{Upstream: "c", Reason: ReasonReplica}},
		{"local replica beyond the staleness bound", nil, 1000, bounded, Decision{Upstream: "b", Reason: ReasonReplica}},
		{"lagging replica is read", onlyC, 1000, tokenRequest(2, 100), Decision{Upstream: "a", Reason: ReasonLagging}},
		{"stale replica is read", onlyC, 1000, bounded, Decision{Upstream: "a", Reason: ReasonStale}},
		{"token of an old term requires entries that the new term dropped", onlyC, 1000, tokenRequest(1, 90), Decision{Upstream: "c", Reason: ReasonReplica}},
		{"token of a newer term is compared with an older view", nil, 1000, tokenRequest(3, 20), Decision{Reason: ReasonBehind}},
		{"leaving upstream gets work", func(g *Group) {
			g.SetServing(at(1000), "b", false)
			g.SetServing(at(1000), "c", false)
		}, 1000, tokenRequest(2, 1), Decision{Upstream: "a", Reason: ReasonNoReplica}},
		{
			"primary that is out gets work after the grace time", func(g *Group) { g.SetServing(at(1000), "a", false) }, 4001,
			Request{Write: true},
			Decision{Reason: ReasonOut},
		},
		{"unreachable replica gets work", func(g *Group) {
			g.AddReport(Report{Upstream: "b", Begun: at(1100), Lost: true})
		}, 1100, tokenRequest(2, 100), Decision{Upstream: "a", Reason: ReasonLagging}},
		{"fenced replica gets work", func(g *Group) { addReport(g, "b", 1100, 3, 100) }, 1100, tokenRequest(2, 100), Decision{Upstream: "a", Reason: ReasonLagging}},
		{"fenced primary gets work", func(g *Group) { addReport(g, "a", 1100, 3, 100) }, 1100, Request{Write: true}, Decision{Reason: ReasonUnreachable}},
		{"old report overrides a newer one", func(g *Group) { addReport(g, "b", 100, 2, 40) }, 1000, tokenRequest(2, 100), Decision{Upstream: "b", Reason: ReasonReplica}},
		{"session floor is from before the session's start", nil, 1000, Request{Started: at(1000)}, Decision{Upstream: "a", Reason: ReasonNoFloor}},
		{"session floor is ignored", onlyC, 1000, Request{Started: at(700)}, Decision{Upstream: "a", Reason: ReasonLagging}},
		{"session floor is too strict", nil, 1000, Request{Started: at(700)}, Decision{Upstream: "b", Reason: ReasonReplica}},
		{"bounded read goes to a primary without proof", nil, 1500, bounded, Decision{Reason: ReasonUnproven}},
		{"wait is longer than the primary's queue", func(g *Group) {
			onlyC(g)
			g.SetQueueLength("a", 2)
		}, 1000, tokenRequest(2, 100), Decision{Upstream: "a", Reason: ReasonLagging}},
		{"no wait although the replica will catch up soon", func(g *Group) {
			onlyC(g)
			g.SetQueueLength("a", 40)
			addReport(g, "c", 1010, 2, 98)
		}, 1490, tokenRequest(2, 100), Decision{Upstream: "c", Reason: ReasonWait, Wait: 20 * time.Millisecond, Offset: 100}},
		{"ModePrimary reads from a replica", nil, 1000, Request{Mode: ModePrimary}, Decision{Upstream: "a", Reason: ReasonBaseline}},
		{"ModeAny respects the token", nil, 1000, Request{Mode: ModeAny, Domain: "z", HasToken: true, Token: wal.Position{Term: 2, Offset: 100}}, Decision{Upstream: "c", Reason: ReasonBaseline}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newTestGroup()
			if tc.change != nil {
				tc.change(g)
			}
			if got := g.Choose(at(tc.now), tc.req); got != tc.want {
				t.Errorf("Choose = %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestAgeNeedsProof guards against samples of an old primary that make a stale replica
// look fresh. Samples count only up to the time at which a majority showed the term.
func TestAgeNeedsProof(t *testing.T) {
	g := newTestGroup()
	for ms := 1050; ms <= 5000; ms += 50 {
		addReport(g, "a", ms, 2, 100) // only the old primary still answers
	}
	if age, ok := g.Age(at(5000), "b"); !ok || age != 4*time.Second {
		t.Errorf("Age = %v, %v, want 4s from the proven sample", age, ok)
	}
	if _, ok := g.Floor(at(1200)); ok {
		t.Error("an unproven sample gives a floor, want none")
	}
	addReport(g, "b", 5000, 2, 100)
	if age, ok := g.Age(at(5000), "b"); !ok || age != 0 {
		t.Errorf("Age = %v, %v, want 0 after the proof", age, ok)
	}
	g.SetLeadership(3, "b", wal.History{{Term: 1}, {Term: 2, Offset: 10}, {Term: 3, Offset: 100}})
	if _, ok := g.Age(at(5000), "b"); ok {
		t.Error("a sample of the old term bounds an age in the new term, want no bound")
	}
}

// benchmarkGroup returns a group whose ring of samples is full, and a read that fits its
// replicas.
func benchmarkGroup() (*Group, Request) {
	g := newTestGroup()
	for ms := 1050; ms < 20000; ms += 50 {
		addReport(g, "a", ms, 2, uint64(100+ms))
		addReport(g, "b", ms, 2, uint64(90+ms))
		addReport(g, "c", ms, 2, uint64(80+ms))
	}
	r := tokenRequest(2, 19000)
	r.Staleness, r.Domain = 2*time.Second, "z"
	return g, r
}

// TestChooseAllocations guards against allocations in Choose, which runs for every
// statement.
func TestChooseAllocations(t *testing.T) {
	g, r := benchmarkGroup()
	lagging, floor := r, r
	lagging.Token.Offset = 1 << 40
	floor.HasToken, floor.Started = false, at(19000)
	for _, req := range []Request{r, lagging, floor, {Write: true}, {Mode: ModeAny}} {
		var d Decision
		if n := testing.AllocsPerRun(100, func() { d = g.Choose(at(20000), req) }); n != 0 || d.Upstream == "" {
			t.Errorf("Choose(%+v) = %+v with %v allocations, want 0", req, d, n)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	g, r := benchmarkGroup()
	b.ReportAllocs()
	for b.Loop() {
		if d := g.Choose(at(20000), r); d.Upstream != "c" {
			b.Fatal(d)
		}
	}
}

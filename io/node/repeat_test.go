package node

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/health"
	"burdockseam/core/wal"
)

// newAdaptiveNode returns an instance with the health contract and a clock that stands still.
func newAdaptiveNode(t *testing.T) (*Node, *time.Time) {
	t.Helper()
	n := newLargeNode(t)
	settings := *n.settings()
	settings.Adaptive = true
	n.activeSettings.Store(&settings)
	now := n.now()
	n.now = func() time.Time { return now }
	return n, &now
}

// TestRepeatOfFailedRead guards against reads that are tried again although that can't help,
// though they may have changed something, without a bound, or without the contract.
func TestRepeatOfFailedRead(t *testing.T) {
	read, write := call.Statement{Kind: call.Read}, call.Statement{Kind: call.Write}
	failed := call.Reply{Ran: call.RanYes, Answer: call.Answer{Code: call.Failed}}
	for _, c := range []struct {
		name    string
		failing [3]float64
		change  func(r *access.Route, s *call.Statement, kind *call.Kind, x *choice, left *time.Duration)
		want    int // of 100
	}{
		{"the upstream fails more than the others", [3]float64{0, 0.4, 0}, nil, 3},
		{"the statement fails everywhere", [3]float64{0.3, 0.4, 0.35}, nil, 0},
		{"nothing is known", [3]float64{}, nil, 0},
		{"a write", [3]float64{0, 0.4, 0}, func(_ *access.Route, s *call.Statement, _ *call.Kind, _ *choice, _ *time.Duration) { *s = write }, 0},
		{"in a transaction", [3]float64{0, 0.4, 0}, func(_ *access.Route, _ *call.Statement, k *call.Kind, _ *choice, _ *time.Duration) {
			*k = call.BeginRead
		}, 0},
		{"at the primary", [3]float64{0, 0.4, 0}, func(_ *access.Route, _ *call.Statement, _ *call.Kind, x *choice, _ *time.Duration) {
			x.reason = "primary"
		}, 0},
		{"no time left", [3]float64{0, 0.4, 0}, func(_ *access.Route, _ *call.Statement, _ *call.Kind, _ *choice, left *time.Duration) {
			*left = 10 * time.Millisecond
		}, 0},
		{"a probe", [3]float64{}, func(_ *access.Route, _ *call.Statement, _ *call.Kind, x *choice, _ *time.Duration) { x.probe = true }, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, now := newAdaptiveNode(t)
			snap := n.snapshot.Load()
			for i, u := range snap.groups["g0"] {
				n.health.group("g0").Report(*now, u.Name, health.Figures{Service: 15 * time.Millisecond, Failing: c.failing[i]}, snap.members("g0"))
			}
			op, s, left := newReadOperation(n, access.Bounded), read, time.Second
			x := choice{upstream: snap.groups["g0"][1], reason: "replica"}
			if c.change != nil {
				c.change(&op.Grant.Route, &s, &op.Kind, &x, &left)
			}
			got := 0
			for range 100 {
				if n.mayRepeat(op, s, x, failed, now.Add(left)) {
					got++
				}
			}
			if got != c.want {
				t.Errorf("%d of 100 reads repeated, want %d", got, c.want)
			}
			settings := *n.settings()
			settings.Adaptive = false
			n.activeSettings.Store(&settings)
			if n.mayRepeat(op, s, x, failed, now.Add(left)) {
				t.Error("repeated without the contract")
			}
		})
	}
}

// TestWaitForPrimary guards against statements that are held for their whole timeout and then
// refused untried, and against refusals of statements that a primary will serve soon.
func TestWaitForPrimary(t *testing.T) {
	for _, c := range []struct {
		name   string
		target time.Duration
		waited time.Duration
		lost   time.Duration // for how long the group has no primary; negative if it has one
		plain  bool          // without Settings.Adaptive
		refuse bool
	}{
		{"a primary is there", 400 * time.Millisecond, 0, -1, false, false},
		{"just lost", 400 * time.Millisecond, 0, 0, false, true},
		{"soon back", 400 * time.Millisecond, 0, 420 * time.Millisecond, false, true}, // expected for another half of its time
		{"soon back, long target", time.Second, 0, 420 * time.Millisecond, false, false},
		{"long target, most of it over", time.Second, 200 * time.Millisecond, 420 * time.Millisecond, false, true},
		{"no target", 0, 0, 0, false, false},
		{"without the contract", 400 * time.Millisecond, 0, 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, now := newAdaptiveNode(t)
			settings := *n.settings()
			settings.Adaptive = !c.plain
			n.activeSettings.Store(&settings)
			if c.lost >= 0 {
				n.health.observePrimary("g0", true)
				*now = now.Add(c.lost)
			}
			op := newReadOperation(n, access.Primary)
			op.Grant.Route.TargetLatency = c.target
			deadline := now.Add(op.Grant.Route.Timeout - c.waited)
			r, refused := n.refuseWait(op, deadline)
			if refused != c.refuse {
				t.Fatalf("refused: %t, want %t", refused, c.refuse)
			}
			if refused && (r.Code != call.Busy || r.Ran != call.RanNo || r.Retry < 100*time.Millisecond || r.Retry > maxWaitRetry) {
				t.Errorf("reply %+v", r)
			}
			n.health.observePrimary("g0", false)
			if _, refused := n.refuseWait(op, deadline); refused {
				t.Error("refused although the primary is back")
			}
		})
	}
}

// TestHealthLines guards against log lines and metrics that do not tell which figures decided,
// and against an upstream that stays avoided after it has started again.
func TestHealthLines(t *testing.T) {
	n, now := newAdaptiveNode(t)
	var lines []string
	n.log = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	list := n.snapshot.Load().groups["g0"]
	reply := func(i int, failing float64) {
		*now = now.Add(100 * time.Millisecond)
		n.health.recordReply(choice{upstream: list[i], reason: "replica"}, call.Statement{Kind: call.Read}, *now, call.Reply{Service: 15 * time.Millisecond, Failing: failing, Load: 3})
	}
	for i, failing := range []float64{0.01, 0.4, 0.01} {
		reply(i, failing)
	}
	reply(2, 0.01)
	reply(1, 0)
	want := []string{
		`"msg"="health: upstream avoided" "group"="g0" "upstream"="u1" "why"="failing" "failing"=0.4 "service"="15ms" "others"=0.01 "usual"="15ms" "load"=3 "after"="0s"`,
		`"msg"="health: upstream returns" "group"="g0" "upstream"="u1" "why"="failing" "failing"=0 "service"="15ms" "others"=0.01 "usual"="15ms" "load"=3 "after"="300ms"`,
	}
	if len(lines) != len(want) {
		t.Fatalf("%d lines, want %d: %q", len(lines), len(want), lines)
	}
	for i, line := range lines {
		if !strings.HasSuffix(line, want[i]) {
			t.Errorf("line %q, want %q", line, want[i])
		}
	}
	if avoided, returned := avoidances([]*Node{n}, "u1"); avoided != 1 || returned != 1 {
		t.Errorf("avoided %d times, returned %d times, want 1 and 1", avoided, returned)
	}
	reply(1, 0.4)
	n.health.forget([]string{"u1"})
	op := newReadOperation(n, access.Bounded)
	if s, ok := n.health.scores(n.snapshot.Load(), op, call.Statement{Kind: call.Read}, true)["u1"]; ok {
		t.Errorf("score %+v of an upstream that has started again, want none", s)
	}
}

// TestProximity guards against reads that cross failure domains or regions by chance, and against
// reads that stay near although that takes much longer.
func TestProximity(t *testing.T) {
	n, now := newAdaptiveNode(t)
	for _, c := range []struct {
		name     string
		far      string  // region of the farther upstream; the near one is in the instance's failure domain
		nearLoad float64 // statements at the near upstream; none at the far one
		near     bool
	}{
		{"equal, another failure domain", "r0", 0, true},
		{"a small load, another failure domain", "r0", 0.5, true},
		{"a queue, another failure domain", "r0", 4, false},
		{"a queue, another region", "r1", 4, true},
		{"a long queue, another region", "r1", 20, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := *n.settings()
			settings.Regions = map[string]string{"d0": "r0", "d1": c.far}
			n.activeSettings.Store(&settings)
			place := func(domain string) *upstream {
				u := &upstream{place: settings.Place(domain)}
				u.Name, u.Slots = domain, testSlots
				return u
			}
			score := upstreamScore{Score: health.Score{Service: testService}}
			loaded := upstreamScore{Score: health.Score{Service: testService, Load: c.nearLoad}}
			for range 200 {
				near := n.expectedCost(place("d0"), &loaded, wal.Position{}, *now, rand.Float64()).total
				far := n.expectedCost(place("d1"), &score, wal.Position{}, *now, rand.Float64()).total
				if near < far != c.near {
					t.Fatalf("near %v, far %v", near, far)
				}
			}
		})
	}
}

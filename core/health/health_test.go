package health

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var members = []string{"u0", "u1", "u2"}

// feed gives a meter a number of answers, 25 ms apart, of which a share fails.
func feed(m *Meter, now time.Time, count int, took time.Duration, failing float64) time.Time {
	r := rand.New(rand.NewPCG(1, 1))
	for range count {
		m.Begin(now, true)
		o := Good
		if r.Float64() < failing {
			o = Bad
		}
		m.End(now, now.Add(took), true, o)
		now = now.Add(max(took, 25*ms))
	}
	return now
}

func assertBetween[T time.Duration | float64 | int](t *testing.T, what string, got, least, most T) {
	t.Helper()
	if got < least || got > most {
		t.Errorf("%s: %v, want %v to %v", what, got, least, most)
	}
}

// TestMeter guards against figures that miss a bad upstream, or take a good one for bad.
func TestMeter(t *testing.T) {
	for _, c := range []struct {
		name                     string
		do                       func(m *Meter, now time.Time) time.Time
		leastService             time.Duration
		mostService              time.Duration
		leastFailing, mostFailed float64
	}{
		{"no answer yet", func(_ *Meter, now time.Time) time.Time { return now }, 0, 0, 0, 0},
		{"one failure", func(m *Meter, now time.Time) time.Time { return feed(m, now, 1, 15*ms, 1) }, 0, 0, 0.01, 0.1},
		{"good", func(m *Meter, now time.Time) time.Time { return feed(m, now, 100, 15*ms, 0) }, 14 * ms, 16 * ms, 0, 0},
		{"40 % fail", func(m *Meter, now time.Time) time.Time { return feed(m, now, 100, 15*ms, 0.4) }, 14 * ms, 16 * ms, AvoidFailing, 0.45},
		{"slow after 20 answers", func(m *Meter, now time.Time) time.Time {
			return feed(m, feed(m, now, 100, 15*ms, 0), 20, 120*ms, 0)
		}, 45 * ms, 120 * ms, 0, 0},
		{"idle time forgets no failures", func(m *Meter, now time.Time) time.Time { return feed(m, now, 100, 15*ms, 0.4).Add(time.Hour) }, 14 * ms, 16 * ms, AvoidFailing, 0.45},
		{"mute, before any time-out", func(m *Meter, now time.Time) time.Time {
			now = feed(m, now, 100, 15*ms, 0)
			for range 6 {
				m.Begin(now, true)
			}
			return now.Add(150 * ms)
		}, 25 * ms, 200 * ms, AvoidFailing, 0.5},
		{"the gateway was frozen for 3 s", func(m *Meter, now time.Time) time.Time {
			now = feed(m, now, 100, 15*ms, 0)
			for range 6 {
				m.Begin(now, true)
			}
			m.End(now, now.Add(3*time.Second), true, Good)
			return now.Add(3 * time.Second)
		}, 15 * ms, 40 * ms, 0, 0},
		{"a gateway that has just taken over", func(m *Meter, now time.Time) time.Time { return feed(m, now, 4, 15*ms, 0) }, 0, 0, 0, 0},
		{"callers with little time left", func(m *Meter, now time.Time) time.Time {
			now = feed(m, now, 100, 15*ms, 0)
			for range 50 {
				m.Begin(now, true)
				m.End(now, now.Add(5*ms), true, Late)
				now = now.Add(5 * ms)
			}
			return now
		}, 14 * ms, 25 * ms, 0, 0},
		{"no connection", func(m *Meter, now time.Time) time.Time {
			now = feed(m, now, 100, 15*ms, 0)
			for range 5 {
				m.EndUnsent(time.Second, now, Late)
			}
			return now
		}, 14 * ms, 16 * ms, AvoidFailing, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &Meter{}
			f := m.Figures(c.do(m, time.Unix(1000, 0)))
			assertBetween(t, "service", f.Service, c.leastService, c.mostService)
			assertBetween(t, "failing", f.Failing, c.leastFailing, c.mostFailed)
		})
	}
	m := &Meter{}
	now := feed(m, feed(m, time.Unix(1000, 0), 90, 10*ms, 0), 10, 100*ms, 0)
	m.End(now, now.Add(30*ms), false, Good)
	assertBetween(t, "high percentile", m.High(), 90*ms, 150*ms)
	assertBetween(t, "time of writes", m.WriteTime(), 30*ms, 30*ms)
}

// TestOpenReads guards against reads that count as unanswered for good, since they were recorded in
// another order than sent. Such a read made a good upstream look mute.
func TestOpenReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o openReads
		start := time.Unix(1000, 0)
		var open []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at := start.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "at")) * ms)
			if len(open) > 0 && rapid.Bool().Draw(t, "ends") {
				k := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				o.remove(open[k])
				open = slices.Delete(open, k, k+1)
			} else {
				o.add(at)
				open = append(open, at)
			}
			now, want := start.Add(time.Second), time.Duration(0)
			for _, began := range open {
				want += now.Sub(began)
			}
			if _, sum := o.ages(now); o.count != len(open) || sum != want {
				t.Fatalf("%d reads of together %v, want %d of %v", o.count, sum, len(open), want)
			}
		}
	})
}

// TestReturnNeedsAnswers guards against an upstream that returns although it still fails, when
// only few probes reach it.
func TestReturnNeedsAnswers(t *testing.T) {
	for _, failing := range []float64{1, 0.4, 0} {
		m := &Meter{}
		now := feed(m, time.Unix(1000, 0), 200, 15*ms, 0.4)
		r := rand.New(rand.NewPCG(2, 2))
		returned := 0
		for probes := 1; probes <= 120 && returned == 0; probes++ {
			now = now.Add(time.Second)
			m.Begin(now, true)
			o := Good
			if r.Float64() < failing {
				o = Bad
			}
			m.End(now, now.Add(15*ms), true, o)
			if m.Figures(now).Failing <= ReturnFailing {
				returned = probes
			}
		}
		t.Logf("failing %v: returns after %d probes", failing, returned)
		if failing > 0 && returned > 0 || failing == 0 && (returned == 0 || returned > 40) {
			t.Errorf("failing %v: returned after %d probes", failing, returned)
		}
	}
}

// avoidedOf returns the avoided members.
func avoidedOf(g *Group, now time.Time) []string {
	var out []string
	for name, s := range g.Scores(now, members, time.Second) {
		if s.Avoided {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// TestJudgement guards against judgements by figures that the group has in common, and against
// more than half of a group being avoided.
func TestJudgement(t *testing.T) {
	good := Figures{Service: 15 * ms}
	for _, c := range []struct {
		name    string
		figures [3]Figures
		want    []string
	}{
		{"all good", [3]Figures{good, good, good}, nil},
		{"one fails", [3]Figures{good, good, {15 * ms, 0.4, 0, 0}}, []string{"u2"}},
		{"one is slow", [3]Figures{good, {120 * ms, 0, 0, 0}, good}, []string{"u1"}},
		{"one is somewhat slow", [3]Figures{good, {40 * ms, 0, 0, 0}, good}, nil},
		{"all are slow", [3]Figures{{200 * ms, 0, 0, 0}, {120 * ms, 0, 0, 0}, {300 * ms, 0, 0, 0}}, nil},
		{"all fail", [3]Figures{{15 * ms, 0.5, 0, 0}, {15 * ms, 0.6, 0, 0}, {15 * ms, 0.4, 0, 0}}, nil},
		{"a statement fails everywhere", [3]Figures{{15 * ms, 0.3, 0, 0}, {15 * ms, 0.3, 0, 0}, {15 * ms, 0.35, 0, 0}}, nil},
		{"two fail alike", [3]Figures{{15 * ms, 0.4, 0, 0}, good, {15 * ms, 0.4, 0, 0}}, nil},
		{"a statement fails at all that are read", [3]Figures{good, {15 * ms, 0.3, 0, 0}, {15 * ms, 0.3, 0, 0}}, nil},
		{"two fail, the worse is avoided", [3]Figures{{15 * ms, 0.3, 0, 0}, good, {15 * ms, 0.9, 0, 0}}, []string{"u2"}},
		{"gateways that do not measure", [3]Figures{{}, {}, {}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, now := NewGroup(), time.Unix(1000, 0)
			for k := range 10 {
				for i, f := range c.figures {
					now = now.Add(10 * ms)
					if k == 0 && f != (Figures{}) {
						f = good // all begin well
					}
					g.Report(now, members[i], f, members)
				}
			}
			if got := avoidedOf(g, now); !slices.Equal(got, c.want) {
				t.Errorf("avoided %v, want %v", got, c.want)
			}
		})
	}
	t.Run("slower than the others as always", func(t *testing.T) {
		g, now := NewGroup(), time.Unix(1000, 0)
		for k := range 400 {
			now = now.Add(10 * ms)
			f := Figures{Service: 15 * ms}
			if k%3 == 2 {
				f.Service = 50 * ms
			}
			if k%3 != 2 && k > 300 {
				f.Service = 10 * ms // the others get faster
			}
			g.Report(now, members[k%3], f, members)
		}
		if got := avoidedOf(g, now); len(got) > 0 {
			t.Errorf("avoided %v although it is as fast as ever", got)
		}
	})
}

// TestProbesAndReturn guards against an avoided upstream that gets all its reads back by one
// good answer after it has failed by turns, and against probes without a bound.
func TestProbesAndReturn(t *testing.T) {
	g, now := NewGroup(), time.Unix(1000, 0)
	good, bad := Figures{Service: 15 * ms}, Figures{Service: 15 * ms, Failing: 0.5}
	g.Report(now, "u0", good, members)
	g.Report(now, "u1", good, members)
	for turn, want := range []int{1, 2, 4, 8, 8} {
		if list := g.Report(now, "u2", bad, members); len(list) != 1 || !list[0].Avoided || list[0].Why != Failing {
			t.Fatalf("turn %d: changes %+v", turn, list)
		}
		if g.TakeProbe(now, "u2", time.Second) {
			t.Errorf("turn %d: a probe at once", turn)
		}
		probes := 0
		for range 100 {
			if now = now.Add(10 * ms); g.TakeProbe(now, "u2", time.Second) {
				probes++
			}
		}
		assertBetween(t, "probes in the first second", probes, 1, 1)
		got := 0
		for returned := false; !returned && got < 50; got++ {
			now = now.Add(100 * ms)
			list := g.Report(now, "u2", good, members)
			returned = len(list) == 1 && !list[0].Avoided && list[0].After > 0
		}
		if got != want {
			t.Errorf("turn %d: returned after %d good reports, want %d", turn, got, want)
		}
	}
	if g.TakeProbe(now.Add(time.Minute), "u2", time.Second) {
		t.Error("a probe of an upstream that is not avoided")
	}
}

// TestBound guards against groups that are emptied by whatever figures arrive, and against
// upstreams that stay avoided although all are good.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := NewGroup(), time.Unix(1000, 0)
		names := []string{"a", "b", "c", "d", "e"}[:rapid.IntRange(1, 5).Draw(t, "size")]
		for range rapid.IntRange(1, 200).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * ms)
			present := names[:rapid.IntRange(1, len(names)).Draw(t, "members")]
			g.Report(now, rapid.SampledFrom(present).Draw(t, "from"), Figures{
				Service: time.Duration(rapid.IntRange(0, 500).Draw(t, "service")) * ms,
				Failing: float64(rapid.IntRange(0, 10).Draw(t, "failing")) / 10,
			}, present)
			avoided := 0
			for _, s := range g.Scores(now, present, time.Second) {
				if s.Avoided {
					avoided++
				}
			}
			if avoided > len(present)/2 {
				t.Fatalf("%d of %d avoided", avoided, len(present))
			}
		}
		for k := range 40 * len(names) {
			now = now.Add(100 * ms)
			g.Report(now, names[k%len(names)], Figures{Service: 15 * ms}, names)
		}
		for name, s := range g.Scores(now, names, time.Second) {
			if s.Avoided {
				t.Fatalf("%s is avoided although all are good", name)
			}
		}
	})
}

// TestExpectedTime guards against reads that go to a near but slow, failing or loaded upstream.
func TestExpectedTime(t *testing.T) {
	local := Score{Service: 15 * ms, Load: 2, Pace: 5}
	for _, c := range []struct {
		name        string
		a, b        Score // a is near, b 3 ms away
		near        bool
		loadA, away int
	}{
		{"equal", local, local, true, 0, 3},
		{"slow", Score{Service: 120 * ms, Load: 2, Pace: 5}, local, false, 0, 3},
		{"fails", Score{Service: 15 * ms, Load: 2, Pace: 5, Failing: 0.4}, local, false, 0, 3},
		{"loaded", Score{Service: 15 * ms, Load: 8, Pace: 5}, local, false, 0, 3},
		{"low pace", Score{Service: 15 * ms, Load: 2, Pace: 1}, local, false, 0, 3},
		{"own reads without an answer", Score{Service: 15 * ms, Load: 2, Pace: 5, Waited: 200 * ms}, local, false, 0, 3},
		{"another region is not worth a short queue", Score{Service: 15 * ms, Load: 4, Pace: 5}, local, true, 0, 45},
		{"without figures", Score{}, Score{}, true, 0, 3},
		{"own load without figures", Score{}, Score{}, false, 3, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := c.a.ExpectedTime(c.loadA, 4, 0, 1), c.b.ExpectedTime(0, 4, time.Duration(c.away)*ms, 1)
			if near < far != c.near {
				t.Errorf("near %v, far %v", near, far)
			}
		})
	}
}

// TestGap guards against refusals that promise a primary too early, or wait for one too long.
func TestGap(t *testing.T) {
	g, now := NewGap(500*ms), time.Unix(1000, 0)
	assertBetween(t, "with a primary", g.Remaining(now), 0, 0)
	for range 20 {
		g.Observe(now, true)
		now = now.Add(800 * ms)
		g.Observe(now, false)
	}
	g.Observe(now, true)
	for _, c := range []struct{ lasted, least, most time.Duration }{{0, 780 * ms, 800 * ms}, {400 * ms, 380 * ms, 400 * ms}, {790 * ms, 390 * ms, 400 * ms}, {5 * time.Second, 500 * ms, 900 * ms}} {
		assertBetween(t, fmt.Sprint("after ", c.lasted), g.Remaining(now.Add(c.lasted)), c.least, c.most)
	}
}

// TestFailures guards against judgements by figures of an earlier run, by figures that nobody
// renews, and by gateways that do not measure.
func TestFailures(t *testing.T) {
	good, bad := Figures{Service: 15 * ms}, Figures{Service: 15 * ms, Failing: 0.5}
	for _, c := range []struct {
		name string
		then func(g *Group, now time.Time) time.Time
		want []string
	}{
		{"nothing", func(_ *Group, now time.Time) time.Time { return now }, []string{"u2"}},
		{"it starts again", func(g *Group, now time.Time) time.Time { g.Forget("u2"); return now }, nil},
		{"its new gateway has measured nothing", func(g *Group, now time.Time) time.Time {
			g.Report(now, "u2", Figures{Load: 1}, members)
			return now
		}, []string{"u2"}},
		{"no read for long", func(g *Group, now time.Time) time.Time {
			now = now.Add(figuresAge + time.Second)
			g.Report(now, "u0", good, members)
			return now
		}, nil},
		{"only it is left", func(g *Group, now time.Time) time.Time { g.Report(now, "u2", bad, members[2:]); return now }, nil},
		{"another one is far worse", func(g *Group, now time.Time) time.Time {
			g.Report(now, "u1", Figures{Service: 15 * ms, Failing: 0.95}, members)
			return now
		}, []string{"u1"}},
		{"another one is a little worse", func(g *Group, now time.Time) time.Time {
			g.Report(now, "u1", Figures{Service: 15 * ms, Failing: 0.6}, members)
			return now
		}, []string{"u2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, now := NewGroup(), time.Unix(1000, 0)
			g.Sent(now, "u2")
			for i, f := range []Figures{good, good, bad} {
				g.Report(now, members[i], f, members)
			}
			now = c.then(g, now.Add(10*ms))
			g.Answered(time.Unix(1000, 0), "u2") // the answer to a read from before
			if got := avoidedOf(g, now); !slices.Equal(got, c.want) {
				t.Errorf("avoided %v, want %v", got, c.want)
			}
			for name, s := range g.Scores(now, members, time.Second) {
				if s.Waited != 0 {
					t.Errorf("%s: a read waits for %v, want none", name, s.Waited)
				}
			}
		})
	}
}

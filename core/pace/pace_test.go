package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// playRound records a round of answers, and returns the limit after it.
func playRound(p *Pace, r Result, took func() time.Duration) int {
	round, limit := p.Round(), p.Limit()
	for p.Round() == round {
		p.Record(Answer{Result: r, Took: took(), Round: round}, min(limit, p.slots))
	}
	return p.Limit()
}

func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// TestFullWithinRounds guards against an upstream that answers at its usual speed and does
// not get all of its slots soon.
func TestFullWithinRounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	random := func() time.Duration { return time.Duration(rng.ExpFloat64() * 1e7) }
	for _, slots := range []int{1, 4, 5, 16, 64, 500} {
		for name, took := range map[string]func() time.Duration{"constant": constant(10 * time.Millisecond), "exponential": random} {
			worst, total := 0, 0
			for range 200 {
				p, rounds := New(slots, 1), 0
				for p.Restart(); p.Phase() != Full; rounds++ {
					playRound(p, Good, took)
				}
				worst, total = max(worst, rounds), total+rounds
			}
			t.Logf("%d slots, %s times: %.2f rounds, at most %d", slots, name, float64(total)/200, worst)
			if float64(total)/200 > 5 || name == "constant" && worst > 5 {
				t.Errorf("%d slots, %s times: %.2f rounds, at most %d", slots, name, float64(total)/200, worst)
			}
		}
	}
}

// TestReductions guards against a limit that ignores failures or overload, and against one
// that stays low although the load is not the cause.
func TestReductions(t *testing.T) {
	normal := constant(10 * time.Millisecond)
	full := func() *Pace {
		p := New(4, 0)
		for range 3 {
			playRound(p, Good, normal)
		}
		return p
	}
	t.Run("failures", func(t *testing.T) {
		p := full()
		if l := playRound(p, Bad, normal); l != 2 || p.Phase() != Reduced {
			t.Errorf("limit %d, phase %s after failures", l, p.Phase())
		}
		if l := playRound(p, Bad, normal); l != 1 {
			t.Errorf("limit %d after more failures", l)
		}
		for range 3 {
			playRound(p, Good, normal)
		}
		if p.Limit() != 4 || p.Phase() != Full {
			t.Errorf("limit %d, phase %s after the recovery", p.Limit(), p.Phase())
		}
	})
	t.Run("few failures at full pace", func(t *testing.T) {
		p := full()
		for k := range 200 {
			r := Good
			if k%20 == 0 {
				r = Bad
			}
			p.Record(Answer{Result: r, Took: 10 * time.Millisecond, Round: p.Round()}, 4)
		}
		if p.Limit() != 4 {
			t.Errorf("limit %d", p.Limit())
		}
	})
	t.Run("slower with the work in flight", func(t *testing.T) {
		p := full()
		// One slot is left: the time is proportional to the work in flight.
		overloaded := func() time.Duration { return time.Duration(p.Limit()) * 10 * time.Millisecond }
		least := 4
		for range 4 {
			least = min(least, playRound(p, Good, overloaded))
		}
		if least > 2 {
			t.Errorf("the limit stayed at %d", least)
		}
	})
	t.Run("slow whatever the work in flight", func(t *testing.T) {
		p := full()
		for range 12 {
			playRound(p, Good, constant(80*time.Millisecond))
		}
		if p.Limit() != 4 {
			t.Errorf("limit %d", p.Limit())
		}
	})
	t.Run("answers to statements of an earlier round", func(t *testing.T) {
		p := full()
		p.Restart()
		p.Record(Answer{Result: Good, Took: time.Millisecond, Round: p.Round() - 1}, 4)
		if p.Limit() != 1 {
			t.Errorf("limit %d", p.Limit())
		}
	})
}

// TestFullPaceIsKept guards against reductions by chance, which cost throughput.
func TestFullPaceIsKept(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	p := New(4, 1)
	below, all := 0, 200_000
	for range all {
		kind := rng.IntN(3)
		took := time.Duration(rng.ExpFloat64() * float64(kind+1) * 5e6)
		p.Record(Answer{Result: Good, Kind: kind, Took: took, Round: p.Round()}, min(4, p.Limit()))
		if p.Phase() != Full {
			below++
		}
	}
	t.Logf("%.4f of the answers below full pace", float64(below)/float64(all))
	if below > all/100 {
		t.Errorf("%.4f of the answers below full pace", float64(below)/float64(all))
	}
}

// TestBounds checks over random results that the limit stays within 1 and full, and that it
// becomes full again after at most one round for each statement of it and five more.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		p := New(slots, 1)
		check := func() {
			if p.Limit() < 1 || p.Limit() > slots+1 || (p.Phase() == Full) != (p.Limit() == slots+1) {
				t.Fatalf("limit %d of %d, phase %s", p.Limit(), slots+1, p.Phase())
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				p.Restart()
			}
			p.Record(Answer{
				Result: rapid.SampledFrom([]Result{Good, Bad, Neutral}).Draw(t, "result"), Kind: rapid.IntRange(0, 2).Draw(t, "kind"),
				Took:  time.Duration(rapid.IntRange(1, 100).Draw(t, "took")) * time.Millisecond,
				Round: p.Round() - rapid.IntRange(0, 1).Draw(t, "earlier"),
			}, rapid.IntRange(1, slots+1).Draw(t, "in flight"))
			check()
		}
		for range slots + 6 {
			playRound(p, Good, constant(time.Millisecond))
			check()
		}
		if p.Phase() != Full {
			t.Fatalf("limit %d of %d after good rounds", p.Limit(), slots+1)
		}
	})
}

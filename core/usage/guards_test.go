package usage

import (
	"testing"
	"time"
)

// fault causes or ends a random fault.
func (w *world) fault() {
	i := w.instances[w.random.IntN(len(w.instances))]
	switch w.random.IntN(16) {
	case 0:
		i.up = false
	case 1, 2:
		if !i.up {
			w.start(i)
		}
	case 3:
		i.frozen = !i.frozen
	case 4:
		i.side ^= 1
	case 5, 6:
		i.confused = !i.confused
	case 7:
		w.storeUp = !w.storeUp
	case 8:
		w.restore(w.random.IntN(12))
	case 9, 10:
		w.loseRate, w.lateRate = []float64{0, 0.3, 0.9}[w.random.IntN(3)], []float64{0, 0.5, 1}[w.random.IntN(3)]
	case 11, 12:
		holderOf(w).side ^= 1
	case 13:
		holderOf(w).frozen = true
	default:
		for _, i := range w.instances {
			i.side, i.frozen, i.confused = 0, false, false
		}
		w.storeUp = true
	}
}

// takeover cuts the holder off while half of the calls are carried out late.
func (w *world) takeover() {
	heal(w)
	w.loseRate, w.lateRate = 0.5, 1
	holderOf(w).side = 1
}

// faultyDays runs worlds with random faults until a rule is broken, and returns the rule and
// the number of worlds, or "".
func faultyDays(days int, unfenced bool, without guard, fault func(*world)) (broken string, day int) {
	for day = range days {
		w := newWorld(uint64(day), 4, unfenced, without)
		w.run(8 * time.Second)
		for range 40 {
			fault(w)
			w.run(time.Duration(1+w.random.IntN(40)) * testStep)
		}
		if len(w.broken) > 0 {
			return w.broken[0], day
		}
		if got, most := w.total(); got > most {
			return "requests are reported twice", day
		}
	}
	return "", days
}

// TestGuards guards against a guard that no rule depends on, and against a test of the rules
// that notices nothing: each rule breaks without its guard.
func TestGuards(t *testing.T) {
	const days = 300
	for _, unfenced := range []bool{false, true} {
		for _, fault := range []func(*world){(*world).fault, (*world).takeover} {
			if broken, day := faultyDays(days/3, unfenced, "", fault); broken != "" {
				t.Errorf("unfenced %v, day %d: %s", unfenced, day, broken)
			}
		}
	}
	for _, test := range []struct {
		without  guard
		unfenced bool
		fault    func(*world)
	}{
		{guardWait, true, (*world).fault},
		{guardSettle, true, (*world).takeover},
		{guardValid, true, (*world).fault},
		{guardSealed, false, (*world).fault},
		{guardRestored, false, (*world).fault},
	} {
		t.Run(string(test.without), func(t *testing.T) {
			broken, day := faultyDays(days, test.unfenced, test.without, test.fault)
			if broken == "" {
				t.Errorf("no rule is broken in %d days without the guard", days)
			}
			t.Logf("day %d: %s", day, broken)
		})
	}
}

// holderAlone returns a world of one instance that holds the record, and the next report.
func holderAlone(t *testing.T, without guard) (*world, Report, uint64) {
	t.Helper()
	w := newWorld(1, 1, false, without)
	i := w.instances[0]
	for {
		w.now = w.now.Add(testStep)
		if w.now.Sub(trueTime) > time.Minute {
			t.Fatal("no report is due")
		}
		for range w.perStep {
			i.counter.Add(w.boot(i), "a")
		}
		i.gatherer.SetFleet(w.boot(i), Fleet{Runs: []string{i.run}, MayHold: true})
		i.gatherer.HandlePush(w.boot(i), i.counter.Push(w.boot(i), w.wall(i)))
		w.store(i)
		if r, token, due := i.gatherer.CallDue(w.boot(i), w.clock(i)); due {
			return w, r, token
		}
	}
}

// TestRefusedToken guards against a token that is used again after the platform refused it. The
// lease excludes that in the world, which has no clock that stands still, so the refusal is
// given here.
func TestRefusedToken(t *testing.T) {
	for _, without := range []guard{"", guardRefused} {
		w, r, token := holderAlone(t, without)
		g := w.instances[0].gatherer
		i := w.instances[0]
		write, at, due := g.PrepareWrite(w.boot(i).Add(testLease/2), w.clock(i))
		if !due {
			t.Fatal("no renewal is due")
		}
		g.HandleOutcome(r.Window, token, Refused) // while the renewal is under way
		if stored, ok := w.write(write, at); ok {
			g.ConfirmWrite(w.boot(i), w.boot(i), write, stored)
		}
		w.refused[token], w.users[token] = true, i.name
		w.run(20 * time.Second)
		if got, want := len(w.broken) > 0, without != ""; got != want || without == "" && len(w.calls) == 0 {
			t.Errorf("without %q: the token is used again: %v, want %v; %d calls", without, got, want, len(w.calls))
		}
	}
}

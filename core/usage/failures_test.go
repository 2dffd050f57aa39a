package usage

import (
	"testing"
	"time"
)

// off is the share by which a report may differ from the truth.
const off = 0.05

// failure is a failure that begins at a time of the world and what may be lost by it.
type failure struct {
	name     string
	unfenced bool
	without  guard
	at       time.Duration // from the beginning of a window
	cause    func(w *world)
	lasts    time.Duration
	end      func(w *world)
	// lost is the number of windows that may be missing, late, or off by more than allowed.
	lost int
	// calls is the number of calls beyond one for each window, or -1 if it does not matter.
	calls int
}

// holderOf returns the instance that reports.
func holderOf(w *world) *instance {
	for _, i := range w.instances {
		if address, _ := i.gatherer.Holder(w.boot(i)); address != "" && i.up {
			return i
		}
	}
	return w.instances[0]
}

// heal ends all faults that do not need a start.
func heal(w *world) {
	w.storeUp, w.loseRate, w.repeatRate = true, 0, 0
	for _, i := range w.instances {
		i.side, i.frozen = 0, false
	}
}

// wrongWindows returns the number of windows from first on that are wrong, missing or late.
func (w *world) wrongWindows(t *testing.T, first uint64) (wrong int) {
	t.Helper()
	for k := first; WindowEnd(k, testWindow).Add(testDelay).Before(w.now); k++ {
		share := w.missing(k)
		if share > off {
			wrong++
		}
		if r, ok := w.reported[k]; share > 0 {
			t.Logf("window %d: reported %v after %v, %d of %d", k-first, ok, w.at[k].Sub(WindowEnd(k, testWindow)), r.Counts["a"], w.truth[k])
		}
	}
	return wrong
}

// TestFailures guards against reports that are wrong, late, missing or repeated after a single
// failure, beyond what the failure itself costs. A run that is killed takes the counts with it
// that it had not pushed: up to a push interval of one instance's share.
func TestFailures(t *testing.T) {
	tests := []failure{
		{name: "none"},
		{name: "none, unfenced", unfenced: true},
		{name: "an instance is killed", at: 2 * time.Second, cause: func(w *world) { w.instances[7].up = false }},
		{name: "half of the instances are killed", at: 4900 * time.Millisecond, lost: 1, cause: func(w *world) {
			for _, i := range w.instances[12:] {
				i.up = false
			}
		}},
		{name: "an instance is restarted", at: 2 * time.Second, cause: func(w *world) { w.start(w.instances[7]) }},
		{
			name: "an instance is frozen over a window's end", at: 4 * time.Second, lasts: 2 * time.Second,
			cause: func(w *world) { w.instances[7].frozen = true }, end: heal,
		},
		{
			name: "a partition over a window's end", at: 3 * time.Second, lasts: 5 * time.Second,
			cause: func(w *world) {
				for _, i := range w.instances[15:] {
					i.side = 1
				}
			}, end: heal,
		},
		{
			name: "a partition for longer than half of the delay", at: 4 * time.Second, lasts: 7 * time.Second,
			cause: func(w *world) {
				for _, i := range w.instances[15:] {
					i.side = 1
				}
			}, end: heal,
		},
		{
			name: "the gatherer is lost between the call and its answer", unfenced: true, at: 900 * time.Millisecond, calls: -1,
			cause: func(w *world) { w.loseRate = 1 }, lasts: 500 * time.Millisecond,
			end: func(w *world) { heal(w); holderOf(w).up = false },
		},
		{name: "the gatherer is killed", at: 3 * time.Second, cause: func(w *world) { holderOf(w).up = false }},
		{
			name: "the gatherer is cut off with few others", unfenced: true, at: 3 * time.Second, lasts: 30 * time.Second,
			cause: func(w *world) { holderOf(w).side = 1 }, end: heal, lost: 1, calls: -1,
		},
		{
			name: "calls get no answer and are carried out late", unfenced: true, lasts: 3 * time.Second, calls: -1,
			cause: func(w *world) { w.loseRate, w.lateRate = 0.9, 1 }, end: heal,
		},
		{
			name: "the store is down for 6 s", at: 3 * time.Second, lasts: 6 * time.Second,
			cause: func(w *world) { w.storeUp = false }, end: heal,
		},
		{
			name: "the store's answers are lost after the writes", lasts: 3 * time.Second, calls: -1,
			cause: func(w *world) { w.loseRate = 1 }, end: heal,
		},
		{
			name: "the store's answers are lost, without reading the record again", without: guardDoubt, lost: 20, lasts: 3 * time.Second, calls: -1,
			cause: func(w *world) { w.loseRate = 1 }, end: heal,
		},
		{
			name: "pushes arrive twice and late", lasts: 30 * time.Second, calls: -1,
			cause: func(w *world) { w.repeatRate = 1 }, end: heal,
		},
		{
			name: "pushes arrive twice and late, without their order", without: guardSeq, lost: 20, lasts: 30 * time.Second, calls: -1,
			cause: func(w *world) { w.repeatRate = 1 }, end: heal,
		},
		{
			name: "the store is restored from an older copy", at: 3 * time.Second,
			cause: func(w *world) { w.restore(14) },
		},
		{
			name: "the store is down for longer than a lease and comes back from a copy", unfenced: true, at: 3 * time.Second, lasts: 4 * time.Second,
			cause: func(w *world) { w.storeUp = false }, end: func(w *world) { w.restore(14); heal(w) },
		},
		{
			name: "the store is restored and the gatherer lost", at: 3 * time.Second, lost: 3,
			cause: func(w *world) { w.restore(14); holderOf(w).up = false },
		},
		{
			name: "wall clocks jump", at: 2 * time.Second,
			cause: func(w *world) {
				for k, i := range w.instances[:11] {
					i.wall = time.Duration(k-5) * 7 * time.Second
				}
			},
		},
		{
			name: "instances start with a wrong wall clock", at: 500 * time.Millisecond,
			cause: func(w *world) {
				for _, i := range w.instances[7:11] {
					i.wall = 20 * time.Second
					w.start(i)
				}
			},
		},
		{
			name: "wall clocks jump, without the median", without: guardMedian, at: 2 * time.Second, lost: 20,
			cause: func(w *world) { w.instances[1].wall = 7 * time.Second },
		},
		{
			name: "all instances are killed", at: 2500 * time.Millisecond, lost: 1,
			cause: func(w *world) {
				for _, i := range w.instances {
					w.start(i)
				}
			},
		},
		{
			name: "all instances are killed, without parts in the record", without: guardParts, at: 2500 * time.Millisecond, lost: 1,
			cause: func(w *world) {
				for _, i := range w.instances {
					w.start(i)
				}
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(7, 24, test.unfenced, test.without)
			w.run(15 * time.Second) // the first record is taken after the wait for a lease
			first := WindowAt(w.now, testWindow)
			w.run(test.at)
			if test.cause != nil {
				test.cause(w)
			}
			w.run(test.lasts)
			if test.end != nil {
				test.end(w)
			}
			w.run(45 * time.Second)
			for _, b := range w.broken {
				t.Error(b)
			}
			wrong := w.wrongWindows(t, first)
			if wrong > test.lost || test.without != "" && wrong == 0 {
				t.Errorf("%d windows are wrong, want at most %d", wrong, test.lost)
			}
			missing := 0
			for k := first; WindowEnd(k, testWindow).Add(LateLimit + testWindow).Before(w.now); k++ {
				if _, ok := w.reported[k]; !ok {
					missing++
				}
			}
			if test.without == "" && w.givenUp < missing {
				t.Errorf("%d windows were given up, and %d are missing", w.givenUp, missing)
			}
			if extra := w.callCount - len(w.reported); test.calls >= 0 && extra > test.calls {
				t.Errorf("%d calls beyond one for each window, want %d", extra, test.calls)
			}
		})
	}
}

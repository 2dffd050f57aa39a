package usage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// actions are the faults of the rapid test.
func actions(w *world, t *rapid.T) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *instance {
		return w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(t, "instance")]
	}
	pass := func(t *rapid.T) {
		w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * testStep)
	}
	return map[string]func(*rapid.T){
		"time": pass, "more time": pass, "long time": func(*rapid.T) { w.run(8 * time.Second) },
		"kill": func(t *rapid.T) { pick(t).up = false },
		"start": func(t *rapid.T) {
			if i := pick(t); !i.up {
				w.start(i)
			}
		},
		"kill all": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
				for _, i := range w.instances {
					w.start(i)
				}
			}
		},
		"freeze":    func(t *rapid.T) { i := pick(t); i.frozen = !i.frozen },
		"partition": func(t *rapid.T) { pick(t).side ^= 1 },
		"heal": func(*rapid.T) {
			for _, i := range w.instances {
				i.side, i.frozen, i.confused = 0, false, false
			}
		},
		"confuse": func(t *rapid.T) { i := pick(t); i.confused = !i.confused },
		"store":   func(*rapid.T) { w.storeUp = !w.storeUp },
		"restore": func(t *rapid.T) { w.restore(rapid.IntRange(0, 12).Draw(t, "writes")) },
		"answers": func(t *rapid.T) {
			w.loseRate = rapid.SampledFrom([]float64{0, 0, 0.3, 0.9}).Draw(t, "lost")
			w.lateRate = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "late")
		},
		"": func(t *rapid.T) {
			if len(w.broken) > 0 {
				t.Fatal(w.broken[0])
			}
			if got, most := w.total(); got > most {
				t.Fatalf("%d requests were reported of %d", got, most)
			}
		},
	}
}

// TestRules guards against reports of a window that differ, tokens with two holders, tokens
// that fall, holders that take turns, refused tokens that are used again, and requests that are
// reported twice, under all faults at once.
func TestRules(t *testing.T) {
	for name, unfenced := range map[string]bool{"fenced": false, "unfenced": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "instances"), unfenced, "")
				w.run(7 * time.Second)
				t.Repeat(actions(w, t))
			})
		})
	}
}

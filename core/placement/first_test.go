package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestFirst guards against an instance that takes a role which another one has by the whole
// rank: what is carried over from fleet to fleet must be what Rank says.
func TestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := 0
		instance := func(k int) Instance {
			run++
			return Instance{ID: fmt.Sprint(run), Address: fmt.Sprint("a", k), Domain: fmt.Sprint("d", k%4), Region: fmt.Sprint("r", k%2)}
		}
		var list []Instance
		for k := range rapid.IntRange(0, 60).Draw(t, "size") {
			list = append(list, instance(k))
		}
		keys := []string{"x", "y", "z"}
		places := []Place{{}, {"d1", "r1"}, {"d2", "r0"}, {"d9", "r9"}}
		f := NewFirst(list)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			for _, key := range keys {
				if rapid.Bool().Draw(t, "asked") {
					f.Top(key, places[0], 1)
				}
			}
			next := slices.Clone(list)
			for range rapid.IntRange(0, 4).Draw(t, "losses") {
				if len(next) > 0 {
					k := rapid.IntRange(0, len(next)-1).Draw(t, "lost")
					next = slices.Delete(next, k, k+1)
				}
			}
			for range rapid.IntRange(0, 4).Draw(t, "joins") {
				in := instance(rapid.IntRange(0, 80).Draw(t, "joins as"))
				next = slices.DeleteFunc(next, func(o Instance) bool { return o.Address == in.Address })
				next = append(next, in)
			}
			list, f = next, f.With(next)
			for _, key := range keys {
				for _, at := range places {
					want := Rank(key, at, list)
					n := rapid.IntRange(0, len(list)+2).Draw(t, "n")
					if got := f.Top(key, at, n); !slices.Equal(got, want[:min(n, len(want))]) {
						t.Fatalf("key %s at %v: first %d are %v, not %v", key, at, n, got, want)
					}
				}
			}
		}
	})
}

// BenchmarkFirst measures the change of a fleet by one instance for all groups.
func BenchmarkFirst(b *testing.B) {
	for _, size := range []int{30, 300, 3500} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var list []Instance
			for k := range size {
				list = append(list, Instance{ID: fmt.Sprint(k), Address: fmt.Sprint("10.0.0.", k), Domain: fmt.Sprint("d", k%14), Region: fmt.Sprint("r", k%7)})
			}
			f := NewFirst(list)
			groups := 2 * size
			for g := range groups {
				f.Top(fmt.Sprint("g", g), Place{}, 1)
			}
			b.ResetTimer()
			for k := range b.N {
				changed := slices.Clone(list)
				changed[k%size].ID += "x"
				f = f.With(changed)
				list = changed
			}
			b.ReportMetric(float64(groups), "groups")
		})
	}
}

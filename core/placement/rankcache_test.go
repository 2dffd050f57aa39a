package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestRankCacheMatchesRank guards against cached rankings that differ from Rank after changes of
// the fleet, so that two instances take the same role.
func TestRankCacheMatchesRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lastID := 0
		instance := func(k int) Instance {
			lastID++
			return Instance{ID: fmt.Sprint(lastID), Address: fmt.Sprint("a", k), Domain: fmt.Sprint("d", k%4), Region: fmt.Sprint("r", k%2)}
		}
		var list []Instance
		for k := range rapid.IntRange(0, 60).Draw(t, "size") {
			list = append(list, instance(k))
		}
		keys := []string{"x", "y", "z"}
		places := []Place{{}, {"d1", "r1"}, {"d2", "r0"}, {"d9", "r9"}}
		cache := NewRankCache(list)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			for _, key := range keys {
				if rapid.Bool().Draw(t, "asked") {
					cache.Top(key, places[0], 1)
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
			list, cache = next, cache.WithInstances(next)
			for _, key := range keys {
				for _, at := range places {
					want := Rank(key, at, list)
					n := rapid.IntRange(0, len(list)+2).Draw(t, "n")
					if got := cache.Top(key, at, n); !slices.Equal(got, want[:min(n, len(want))]) {
						t.Fatalf("key %s at %v: first %d are %v, want %v", key, at, n, got, want)
					}
				}
			}
		}
	})
}

// BenchmarkRankCacheChange measures the update of the cached rankings of all groups when one
// instance changes.
func BenchmarkRankCacheChange(b *testing.B) {
	for _, size := range []int{30, 300, 3500} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var list []Instance
			for k := range size {
				list = append(list, Instance{ID: fmt.Sprint(k), Address: fmt.Sprint("10.0.0.", k), Domain: fmt.Sprint("d", k%14), Region: fmt.Sprint("r", k%7)})
			}
			cache := NewRankCache(list)
			groups := 2 * size
			for g := range groups {
				cache.Top(fmt.Sprint("g", g), Place{}, 1)
			}
			b.ResetTimer()
			for k := range b.N {
				changed := slices.Clone(list)
				changed[k%size].ID += "x"
				cache = cache.WithInstances(changed)
				list = changed
			}
			b.ReportMetric(float64(groups), "groups")
		})
	}
}

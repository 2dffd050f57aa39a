package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/config"
)

// TestReservesStayWithinShare guards against admissions over a team's rate: the reserves of
// all instances together must stay within ReserveShare, also when instances restart and
// bursts fall into one window.
func TestReservesStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		team := config.Team{
			Name: "x", Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 200).Draw(t, "burst")),
		}
		const spare = 10.0
		reserves := make([]*Reserve, n)
		newReserve := func() *Reserve {
			r := NewReserve()
			r.Configure(now, n, spare, map[string]config.Team{"x": team})
			return r
		}
		for i := range reserves {
			reserves[i] = newReserve()
		}
		const window = 5 * time.Second
		var spent []time.Time
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				reserves[i] = newReserve()
			}
			for range rapid.IntRange(1, 40).Draw(t, "requests") {
				if reserves[i].TakeToken(now, "x") {
					spent = append(spent, now)
				}
			}
			for len(spent) > 0 && now.Sub(spent[0]) >= window {
				spent = spent[1:]
			}
			if allowed := (team.Rate*window.Seconds()+team.Burst)*ReserveShare + spare; float64(len(spent)) > allowed {
				t.Fatalf("%d requests were admitted in %v, at most %.1f allowed", len(spent), window, allowed)
			}
		}
	})
}

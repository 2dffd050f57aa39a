package load

import (
	"math/rand/v2"
	"sort"
	"time"

	"burdockseam/io/fleet"
)

// arrival is one planned request.
type arrival struct {
	at        time.Duration // after the start
	kind      Kind
	pool      int  // index of the pool that sends it
	reconnect bool // the session first moves to a random instance
}

// pool is a set of sessions of one team on one route.
type pool struct {
	team         fleet.Team
	group, route string
	bounded      bool // reads may miss writes that are younger than the staleness bound
	sessions     int
}

// requestsPerMove is the mean number of requests of a session between two moves to another
// instance.
const requestsPerMove = 12

// pools returns two pools for each team and group, one for each of the group's routes.
// Teams with a higher rate have more sessions.
func pools(d fleet.Deployment) []pool {
	var list []pool
	for _, t := range d.Teams {
		for _, g := range d.Groups {
			n := 2 + t.Rate/50
			list = append(list,
				pool{team: t, group: g, route: g, sessions: n},
				pool{team: t, group: g, route: g + "-slots", bounded: true, sessions: n})
		}
	}
	return list
}

// schedule draws Poisson arrivals for the duration d, in the order of their times. Each
// team gets a share of the rate in proportion to its configured rate, and the surge adds
// demand of one team.
func schedule(seed uint64, list []pool, rate float64, d time.Duration, s surge) []arrival {
	total := 0.0
	for _, p := range list {
		total += float64(p.team.Rate)
	}
	var out []arrival
	for i, p := range list {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		mean := rate * float64(p.team.Rate) / total // per second
		out = append(out, drawArrivals(random, i, mean, 0, d)...)
		if p.team.Name == s.team {
			// The team's pools share factor times its configured rate.
			extra := s.factor * float64(p.team.Rate) / float64(countPools(list, s.team))
			out = append(out, drawArrivals(random, i, extra, s.from, s.to)...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// surge is extra demand of one team between two times.
type surge struct {
	team     string
	factor   float64 // multiple of the team's configured rate
	from, to time.Duration
}

// countPools counts the pools of a team.
func countPools(list []pool, team string) int {
	n := 0
	for _, p := range list {
		if p.team.Name == team {
			n++
		}
	}
	return n
}

// drawArrivals draws the arrivals of a pool between two times: 63% reads, 27% writes, 5%
// writes with an idempotency key and 5% transactions.
func drawArrivals(random *rand.Rand, pool int, rate float64, from, to time.Duration) []arrival {
	var out []arrival
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return out
		}
		kind := KindRead
		switch n := random.IntN(100); {
		case n < 27:
			kind = KindWrite
		case n < 32:
			kind = KindKeyed
		case n < 37:
			kind = KindTransaction
		}
		out = append(out, arrival{at: at, kind: kind, pool: pool, reconnect: random.IntN(requestsPerMove) == 0})
	}
}

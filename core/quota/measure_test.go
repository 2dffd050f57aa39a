package quota_test

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"burdockseam/core/config"
	"burdockseam/core/quota"
)

// scenario is one row of the table in docs/decisions/limits.md.
type scenario struct {
	name     string
	duration time.Duration
	demand   func(w *world, team int) float64
	choose   func(w *world, team int) *process
	faults   func(w *world)
}

// rates are the rate limits of the teams. The demand is 0.8 times the limit, except for the
// team at 10 times its limit.
var rates = []float64{400, 200, 100, 50, 40, 20, 10, 5}

func steadyDemand(_ *world, team int) float64 { return 0.8 * rates[team] }

// skewedChoice sends 60% of a team's requests to one instance, which differs between teams.
func skewedChoice(w *world, team int) *process {
	if p := w.processes[team%9]; w.rng.Float64() < 0.6 && !p.dead {
		return p
	}
	return w.randomProcess()
}

var scenarios = []scenario{
	{name: "steady", duration: time.Minute, demand: steadyDemand, choose: skewedChoice},
	{name: "moving", duration: time.Minute, demand: steadyDemand, choose: func(w *world, team int) *process {
		if w.rng.Float64() < 0.9 {
			return w.processes[(int(w.now/time.Second)*4+team)%9]
		}
		return w.randomProcess()
	}},
	{name: "10x", duration: time.Minute, choose: skewedChoice, demand: func(w *world, team int) float64 {
		if team == 1 {
			return 10 * rates[team]
		}
		return steadyDemand(w, team)
	}},
	{name: "lost", duration: time.Minute, demand: steadyDemand, choose: skewedChoice, faults: func(w *world) {
		w.after(20*time.Second, func() { w.ownerProcess(quota.ShardOf("t0", w.shards)).kill() })
	}},
	{name: "store out", duration: 11 * time.Minute, demand: steadyDemand, choose: skewedChoice, faults: func(w *world) {
		w.after(30*time.Second, func() { w.storeDown = true })
		w.after(630*time.Second, func() { w.storeDown = false })
	}},
}

// centralBucket is a token bucket for all instances: the reference for admissions.
type centralBucket struct {
	config.Team
	level float64
	last  time.Duration
}

func (b *centralBucket) takeToken(now time.Duration) bool {
	b.level = min(b.Burst, b.level+b.Rate*(now-b.last).Seconds())
	b.last = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

type measurements struct {
	insideRate, refused, staticRefused int // requests that the central bucket admits; of these, the refused ones
	hotAdmitted, hotCentral            int
	hotStatic                          int
	excess                             float64
	messages, bytes, storeCalls        float64 // per instance and second
	waitedLong                         int     // requests inside the rate that were admitted after more than 50 ms
	maxWait                            time.Duration
}

func runScenario(s scenario, seed uint64) measurements {
	const warm = 10 * time.Second
	w := newWorld(seed, 9, 8, teamsWithRates(rates...))
	w.encoder = gob.NewEncoder(&w.bytes)
	var result measurements
	staticLimiters := map[*process]*quota.StaticLimiter{}
	for _, p := range w.processes {
		staticLimiters[p] = quota.NewStaticLimiter(p.clock(), len(w.processes), w.teams)
	}
	if s.faults != nil {
		w.after(warm, func() { s.faults(w) })
	}
	for i := range rates {
		name := fmt.Sprintf("t%d", i)
		b := &centralBucket{Team: w.teams[name], level: w.teams[name].Burst}
		w.offerLoad(name, func() float64 { return s.demand(w, i) }, func() *process { return s.choose(w, i) },
			func(p *process) func(bool) {
				began := w.now
				inside := b.takeToken(began) && began > warm
				hot := s.demand(w, i) > rates[i]
				ok := staticLimiters[p].TakeToken(p.clock(), name)
				switch {
				case hot && inside:
					result.hotCentral++
				case inside:
					result.insideRate++
				}
				if began > warm && hot && ok {
					result.hotStatic++
				}
				if inside && !hot && !ok {
					result.staticRefused++
				}
				return func(admitted bool) {
					if began <= warm {
						return
					}
					if admitted {
						result.maxWait = max(result.maxWait, w.now-began)
						if !hot && w.now-began > 50*time.Millisecond {
							result.waitedLong++
						}
					}
					switch {
					case hot && admitted:
						result.hotAdmitted++
					case !hot && inside && !admitted:
						result.refused++
					}
				}
			})
	}
	w.run(warm)
	w.messages, w.bytes, w.storeCalls = 0, 0, 0
	w.run(warm + s.duration)
	for name := range w.teams {
		result.excess = max(result.excess, w.excess(name))
	}
	n := 9 * s.duration.Seconds()
	result.messages, result.bytes, result.storeCalls = float64(w.messages)/n, float64(w.bytes)/n, float64(w.storeCalls)/n
	return result
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }

// TestScenariosRefuseLittleAndKeepRate checks over a minute of each scenario that no team
// exceeds its rate and that few requests inside the rate are refused.
func TestScenariosRefuseLittleAndKeepRate(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			s.duration = time.Minute
			result := runScenario(s, 1)
			limit := 1.0
			if s.name == "steady" {
				limit = 0.1
			}
			if r := percent(result.refused, result.insideRate); r >= limit || result.insideRate < 10000 {
				t.Errorf("refused %.3f%% of %d requests inside the rate, want under %.1f%%", r, result.insideRate, limit)
			}
			if result.excess > 0 {
				t.Errorf("admitted %.2f requests more than rate × t + burst", result.excess)
			}
		})
	}
}

// BenchmarkMeasure computes the table in docs/decisions/limits.md.
func BenchmarkMeasure(b *testing.B) {
	for _, s := range scenarios {
		b.Run(s.name, func(b *testing.B) {
			var result measurements
			for i := range b.N {
				result = runScenario(s, uint64(i+1))
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(result.insideRate), "inside")
			b.ReportMetric(percent(result.refused, result.insideRate), "refused%")
			b.ReportMetric(percent(result.staticRefused, result.insideRate), "static-refused%")
			b.ReportMetric(percent(result.waitedLong, result.insideRate), "waited>50ms%")
			b.ReportMetric(float64(result.maxWait.Milliseconds()), "maxwait-ms")
			b.ReportMetric(percent(result.hotAdmitted, result.hotCentral), "hot/bucket%")
			b.ReportMetric(percent(result.hotStatic, result.hotCentral), "hot-static/bucket%")
			b.ReportMetric(result.excess, "over")
			b.ReportMetric(result.messages, "msg/s")
			b.ReportMetric(result.bytes, "B/s")
			b.ReportMetric(result.storeCalls, "store/s")
		})
	}
}

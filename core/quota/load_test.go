package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"burdockseam/core/config"
)

// A loadScenario is the demand of a fleet like deployment A: 72 instances in 6 failure domains
// of 3 regions.
type loadScenario struct {
	// demand returns the demand of a team in a failure domain, relative to the usual one. The
	// usual demand is 1/1.6 of the team's rate.
	demand func(at time.Duration, domain, team, kind int) float64
	// fault is called at each step.
	fault func(f *limitFleet)
	// least has the least number of requests that are served, at once or when repeated, by kind
	// and relative to those that one central bucket serves.
	least [3]float64
	// urgent is the least share of the most urgent requests that are served at once.
	urgent float64
	ignore int // team that is left out, or -1
}

// kindShares and kindWaits are the shares of the kinds of requests, and for how long they wait
// for a token: an eighth of their target latency.
var (
	kindShares = [3]float64{0.15, 0.15, 0.7}
	kindWaits  = [3]time.Duration{50 * time.Millisecond, 75 * time.Millisecond, 187 * time.Millisecond}
)

// loadResult counts requests by kind.
type loadResult struct {
	offered, central, served, again, returned [3]int
	messages, crossing                        int
	byTeam                                    [4][2]int // offered and served at once
}

// waitingLoad is a request that waits for a token.
type waitingLoad struct {
	team, kind int
	until      time.Duration
	repeated   bool
	measured   bool
}

// playLoad plays a scenario for 20 s after 5 s of warm-up.
func playLoad(s loadScenario) (r loadResult) {
	const domains, each, step = 6, 12, 2 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	rates := []float64{5, 13, 60, 300}
	f := &limitFleet{spare: 10, random: random, teams: make(map[string]config.Team), cut: make(map[[2]int]bool)}
	name := func(team int) string { return fmt.Sprint("t", team) }
	for k, rate := range rates {
		f.teams[name(k)] = config.Team{Name: name(k), Rate: rate, Burst: rate}
	}
	f.delay = func(from, to int) time.Duration {
		a, b := f.instances[from].domain, f.instances[to].domain
		r.messages++
		switch {
		case a == b:
			return 500 * time.Microsecond
		case a/2 == b/2:
			r.crossing++
			return 1400 * time.Microsecond
		}
		r.crossing++
		return 12 * time.Millisecond
	}
	f.lenders = func(i int) (list []string) {
		d := f.instances[i].domain
		for _, k := range []int{d ^ 1, (d + 2) % domains, (d + 3) % domains, (d + 4) % domains, (d + 5) % domains, d} {
			if k != d && (len(list) == 0 || k != d^1) {
				list = append(list, f.address(f.collectorOf(k)))
			}
		}
		return list
	}
	for i := range domains * each {
		f.instances = append(f.instances, &fleetInstance{domain: i % domains, part: 1.0 / (domains * each), preferred: i % domains})
	}
	waiting := make([]map[uint64]waitingLoad, len(f.instances))
	for i := range f.instances {
		f.start(i)
		waiting[i] = make(map[uint64]waitingLoad)
	}
	type repeat struct {
		at time.Duration
		i  int
		w  waitingLoad
	}
	var repeats []repeat
	serve := func(w waitingLoad) {
		switch {
		case !w.measured:
		case w.repeated:
			r.again[w.kind]++
		default:
			r.byTeam[w.team][1]++
			r.served[w.kind]++
		}
	}
	refuse := func(i int, w waitingLoad, retry time.Duration) {
		if !w.repeated && w.measured {
			r.returned[w.kind]++
			w.repeated = true
			repeats = append(repeats, repeat{f.now + retry, i, w})
		}
	}
	f.decide = func(i int, d Decision) {
		if w, ok := waiting[i][d.Ticket]; ok {
			delete(waiting[i], d.Ticket)
			if d.Outcome == Granted {
				serve(w)
			} else {
				refuse(i, w, d.Retry)
			}
		}
	}
	ask := func(i int, w waitingLoad) {
		in := f.instances[i]
		w.until = f.now + kindWaits[w.kind]
		d := in.holder.TakeTokenFor(f.clock(i), name(w.team), w.kind, kindWaits[w.kind])
		switch d.Outcome {
		case Granted:
			serve(w)
		case Refused:
			refuse(i, w, d.Retry)
		case Waiting:
			waiting[i][d.Ticket] = w
		}
		if d.TickNow {
			f.requests(i, in.holder.Tick(f.clock(i)))
		}
	}
	central := make([]float64, len(rates))
	for f.now = 0; f.now < 25*time.Second; f.now += step {
		if s.fault != nil {
			s.fault(f)
		}
		f.deliver()
		for i := range f.instances {
			if !f.frozen(i) && (f.now/step)%50 == time.Duration(i%50) {
				f.step(i)
			}
			for ticket, w := range waiting[i] {
				if f.now >= w.until {
					delete(waiting[i], ticket)
					f.instances[i].holder.CancelRequest(name(w.team), ticket)
					refuse(i, w, f.instances[i].holder.RetryHint(f.clock(i), name(w.team)))
				}
			}
		}
		pending := repeats
		repeats = nil
		for _, p := range pending {
			if p.at > f.now {
				repeats = append(repeats, p)
			} else {
				ask(p.i, p.w)
			}
		}
		for team, rate := range rates {
			central[team] = min(rate, central[team]+rate*step.Seconds())
			for domain := range domains {
				for kind, share := range kindShares {
					mean := rate / 1.6 / domains * share * s.demand(f.now, domain, team, kind) * step.Seconds()
					for range poisson(random, mean) {
						w := waitingLoad{team: team, kind: kind, measured: f.now >= 5*time.Second && team != s.ignore}
						if w.measured {
							r.byTeam[team][0]++
							r.offered[kind]++
						}
						if central[team] >= 1 {
							central[team]--
							if w.measured {
								r.central[kind]++
							}
						}
						i := domain + domains*random.IntN(each)
						for f.frozen(i) { // callers connect to an instance that answers
							i = domain + domains*random.IntN(each)
						}
						ask(i, w)
					}
				}
			}
		}
	}
	return r
}

func poisson(r *rand.Rand, mean float64) (n int) {
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

// collectorOf returns the collector of a failure domain: the first instance that runs.
func (f *limitFleet) collectorOf(domain int) int {
	for i := domain; i < len(f.instances); i += 6 {
		if !f.frozen(i) {
			return i
		}
	}
	return domain
}

// TestCollectorLoad guards against refusals that one central bucket would not make, by kind of
// request, and against urgent requests that suffer from less urgent ones.
func TestCollectorLoad(t *testing.T) {
	usual := func(time.Duration, int, int, int) float64 { return 1 }
	for name, s := range map[string]loadScenario{
		"usual demand": {demand: usual, least: [3]float64{0.99, 0.99, 0.99}, urgent: 0.99, ignore: -1},
		"a wave over the failure domains": {
			demand: func(at time.Duration, domain, _, _ int) float64 {
				return 1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/15+float64(domain)/6))
			},
			least: [3]float64{0.99, 0.99, 0.99}, urgent: 0.99, ignore: -1,
		},
		"a shift of demand to two failure domains": {
			demand: func(at time.Duration, domain, _, _ int) float64 {
				switch {
				case at < 12*time.Second:
					return 1
				case domain < 2:
					return 2.5
				}
				return 0.25
			},
			least: [3]float64{0.97, 0.97, 0.97}, urgent: 0.95, ignore: -1,
		},
		"a team at eight times its demand": {
			demand: func(_ time.Duration, _, team, _ int) float64 {
				if team == 2 {
					return 8
				}
				return 1
			},
			least: [3]float64{0.99, 0.99, 0.99}, urgent: 0.99, ignore: 2,
		},
		"a burst of the least urgent kind": {
			demand: func(at time.Duration, _, _, kind int) float64 {
				if kind == 2 && at > 8*time.Second && at < 16*time.Second {
					return 4
				}
				return 1
			},
			least: [3]float64{1, 1, 0.95}, urgent: 0.96, ignore: -1,
		},
		"collectors of two failure domains are lost": {
			demand: usual, least: [3]float64{0.96, 0.96, 0.96}, urgent: 0.94, ignore: -1,
			fault: func(f *limitFleet) {
				if f.now == 10*time.Second {
					f.instances[0].frozenUntil, f.instances[1].frozenUntil = time.Hour, time.Hour
				}
				for _, in := range f.instances {
					if f.now > 10600*time.Millisecond { // after the loss is noticed
						in.preferred = f.collectorOf(in.domain)
					}
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := playLoad(s)
			for kind := range kindShares {
				share := float64(r.served[kind]+r.again[kind]) / float64(max(1, r.central[kind]))
				t.Logf("priority %d: offered %d, central bucket %d, served %d at once (%.3f with repeats), of %d refused %d later", kind, r.offered[kind], r.central[kind], r.served[kind], share, r.returned[kind], r.again[kind])
				if share < s.least[kind] {
					t.Errorf("priority %d: served %.3f of what a central bucket serves, want %.3f", kind, share, s.least[kind])
				}
			}
			if share := float64(r.served[0]) / float64(r.offered[0]); share < s.urgent {
				t.Errorf("%.3f of the most urgent requests are served at once, want %.3f", share, s.urgent)
			}
			t.Logf("offered and served at once, by team: %v", r.byTeam)
			t.Logf("%.1f messages of an instance in a second, %.2f of them between failure domains", float64(r.messages)/72/25, float64(r.crossing)/72/25)
		})
	}
}

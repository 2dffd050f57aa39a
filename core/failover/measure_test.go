package failover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"burdockseam/core/route"
	"burdockseam/core/session"
	"burdockseam/core/wal"
)

// The benchmarks run in simulated time with fixed seeds, so one iteration gives the
// figures and ns/op means nothing:
//
//	go test ./core/failover -run '^$' -bench . -benchtime 1x

const seedCount = 30

// reportDurations reports the median and the maximum of ds.
func reportDurations(b *testing.B, name string, ds []time.Duration) {
	slices.Sort(ds)
	b.ReportMetric(float64(ds[len(ds)/2].Milliseconds()), name+"-median-ms")
	b.ReportMetric(float64(ds[len(ds)-1].Milliseconds()), name+"-max-ms")
}

// measureFailover cuts off the given places at a random moment: the primary and, in some
// cases, the instance in its failure domain. It returns the times of the phases and of the
// whole gap.
func measureFailover(b *testing.B, seed uint64, places []string, regional bool) map[string]time.Duration {
	s := newSim(3, seed)
	if regional {
		s.addRegion(20 * time.Millisecond)
	}
	s.run(warmUp+time.Duration(s.rand.Int64N(int64(time.Second))), nil)
	cut, last := s.now, s.ackTimes[len(s.ackTimes)-1]
	for _, n := range s.nodes {
		clear(n.stepTimes)
	}
	s.isolate(true, places...)
	if !s.run(20*time.Second, func() bool {
		return s.storedGroup().Term == 2 && s.ackTimes[len(s.ackTimes)-1].After(last.Add(400*time.Millisecond))
	}) {
		b.Fatalf("seed %d: no failover, group %+v", seed, s.storedGroup())
	}
	s.failOnFaults(b)
	for _, n := range s.nodes {
		if n.announced.IsZero() {
			continue
		}
		st := n.stepTimes
		return map[string]time.Duration{
			"detect": st[StepClaim].Sub(cut), "claim": st[StepFence].Sub(st[StepClaim]),
			"fence": st[StepRecord].Sub(st[StepFence]), "record": st[StepPromote].Sub(st[StepRecord]),
			"promote": n.announced.Sub(st[StepPromote]), "announce": s.now.Sub(n.announced), "gap": s.now.Sub(cut),
		}
	}
	b.Fatalf("seed %d: no announcement", seed)
	return nil
}

// addRegion moves upstream c, its gateway and the store to another region.
func (s *sim) addRegion(oneWay time.Duration) {
	near := s.delay
	s.delay = func(from, to string) time.Duration {
		far := func(place string) bool { return place == "c" || place == "nc" || place == "store" }
		if far(from) != far(to) {
			return oneWay + near(from, to)
		}
		return near(from, to)
	}
}

// BenchmarkFailoverGap measures the time from the cut to the first write that the new primary
// acknowledges, over 30 seeds. The announce phase ends with that write.
func BenchmarkFailoverGap(b *testing.B) {
	for _, tc := range []struct {
		name     string
		cut      []string
		regional bool
	}{
		{"primary", []string{"a"}, false},
		{"domain", []string{"a", "na"}, false},
		{"domain-regions", []string{"a", "na"}, true},
	} {
		b.Run(tc.name, func(b *testing.B) {
			for b.Loop() {
				all := map[string][]time.Duration{}
				for seed := range uint64(seedCount) {
					for phase, d := range measureFailover(b, seed, tc.cut, tc.regional) {
						all[phase] = append(all[phase], d)
					}
				}
				for phase, ds := range all {
					reportDurations(b, phase, ds)
				}
			}
		})
	}
}

// BenchmarkFalsePromotions runs 10 simulated minutes for each kind of disturbance that leaves
// the primary working, and counts promotions and claims.
func BenchmarkFalsePromotions(b *testing.B) {
	for _, tc := range []struct {
		name    string
		disturb func(*sim)
	}{
		// Each message takes up to 150 ms longer, and one in 50 up to 600 ms.
		{"jitter", func(s *sim) {
			near := s.delay
			s.delay = func(from, to string) time.Duration {
				d := near(from, to) + time.Duration(s.rand.Int64N(int64(150*time.Millisecond)))
				if s.rand.IntN(50) == 0 {
					d += time.Duration(s.rand.Int64N(int64(600 * time.Millisecond)))
				}
				return d
			}
		}},
		// Every 5 s, one directed link between an observer and any place fails for up to 5 s.
		{"one-sided-cuts", func(s *sim) {
			s.every(time.Second, 5*time.Second, func() {
				places := []string{"a", "b", "c", "na", "nb", "nc", "store"}
				link := [2]string{places[3+s.rand.IntN(3)], places[s.rand.IntN(7)]}
				if s.rand.IntN(2) == 0 {
					link[0], link[1] = link[1], link[0]
				}
				s.cutLinks[link] = true
				s.after(time.Duration(s.rand.Int64N(int64(5*time.Second))), func() { delete(s.cutLinks, link) })
			})
		}},
		// Every 5 s an instance pauses for up to 4 s.
		{"pauses", func(s *sim) {
			s.every(time.Second, 5*time.Second, func() {
				s.nodes[s.rand.IntN(3)].paused = s.now.Add(time.Duration(s.rand.Int64N(int64(4 * time.Second))))
			})
		}},
	} {
		b.Run(tc.name, func(b *testing.B) {
			for b.Loop() {
				s := newSim(3, 7)
				s.run(warmUp, nil)
				tc.disturb(s)
				s.run(10*time.Minute, nil)
				s.failOnFaults(b)
				b.ReportMetric(float64(s.storedGroup().Term-1), "promotions")
				b.ReportMetric(float64(s.storedGroup().Claim.Term-1), "claims")
				b.ReportMetric(float64(len(s.ackTimes)), "acknowledged")
			}
		})
	}
}

// BenchmarkReads measures the share of the reads of 100 sessions that goes to replicas in 60
// simulated seconds, and how many reads are stale: older than the route's 2 s or without an
// acknowledged write of the session. Each session runs 10 statements/s at random moments, of
// which 5% write, and starts anew without a token after 100 statements on average. The
// upstreams are polled every 50 ms; the primary has a queue of up to 20 statements.
func BenchmarkReads(b *testing.B) {
	for _, lag := range []int{0, 50, 500, 5000} {
		for _, mode := range []route.Mode{route.ModeSession, route.ModePrimary, route.ModeAny} {
			name := string(mode)
			if mode == route.ModeSession {
				name = "session"
			}
			b.Run(fmt.Sprintf("lag=%dms/%s", lag, name), func(b *testing.B) {
				for b.Loop() {
					r := newReadSim(time.Duration(lag)*time.Millisecond, mode)
					r.run(60 * time.Second)
					b.ReportMetric(100*float64(r.replica)/float64(r.reads), "replica-%")
					b.ReportMetric(float64(r.reads), "reads")
					b.ReportMetric(float64(r.stale), "stale")
					b.ReportMetric(float64(r.refused), "refused")
					b.ReportMetric(float64(r.waits), "waits")
				}
			})
		}
	}
}

// readSim simulates one primary whose offset at each millisecond is kept, and two replicas
// whose logs are behind the primary's by lag.
type readSim struct {
	mode           route.Mode
	lag            time.Duration
	rand           *rand.Rand
	views          *route.Group
	primaryOffsets []uint64 // offset of the primary at the end of each millisecond
	tokens         [100]session.Token
	started        [100]time.Time
	waiting        map[int][]func() // millisecond → reads that continue then

	reads, replica, stale, refused, waits int
}

func newReadSim(lag time.Duration, mode route.Mode) *readSim {
	r := &readSim{mode: mode, lag: lag, rand: rand.New(rand.NewPCG(11, 2)), views: route.NewGroup(time.Millisecond), waiting: map[int][]func(){}}
	r.views.SetMembers([]route.Upstream{{Name: "a", Domain: "da"}, {Name: "b", Domain: "db"}, {Name: "c", Domain: "dc"}})
	r.views.SetLeadership(1, "a", wal.History{{Term: 1}})
	return r
}

// offset returns the offset of an upstream at a millisecond.
func (r *readSim) offset(up string, ms int) uint64 {
	if up != "a" {
		ms -= int(r.lag.Milliseconds())
	}
	if ms < 0 {
		return 0
	}
	return r.primaryOffsets[min(ms, len(r.primaryOffsets)-1)]
}

func (r *readSim) run(d time.Duration) {
	for ms := 0; ms < int(d.Milliseconds()); ms++ {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if ms == 0 {
			r.primaryOffsets = append(r.primaryOffsets, 0)
		} else {
			r.primaryOffsets = append(r.primaryOffsets, r.primaryOffsets[ms-1])
		}
		if ms%50 == 0 {
			for _, up := range []string{"a", "b", "c"} {
				r.reportUpstream(up, ms, now)
			}
			r.views.SetQueueLength("a", r.rand.IntN(20))
		}
		for _, run := range r.waiting[ms] {
			run()
		}
		delete(r.waiting, ms)
		for i := range r.tokens {
			if r.rand.IntN(100) == 0 {
				r.statement(i, ms, now)
			}
		}
	}
}

func (r *readSim) reportUpstream(up string, ms int, now time.Time) {
	r.views.AddReport(route.Report{
		Upstream: up, Begun: now, Primary: up == "a", Fenced: 1, Position: wal.Position{Term: 1, Offset: r.offset(up, ms)},
	})
}

// statement runs the next statement of a session.
func (r *readSim) statement(i, ms int, now time.Time) {
	if r.rand.IntN(100) == 0 || r.started[i].IsZero() {
		r.tokens[i], r.started[i] = session.Token{}, now
	}
	if r.rand.IntN(20) == 0 {
		r.primaryOffsets[ms]++
		r.tokens[i] = r.tokens[i].With("g", wal.Position{Term: 1, Offset: r.primaryOffsets[ms]})
		return
	}
	r.reads++
	p, ok := r.tokens[i].Position("g")
	r.chooseAndRead(ms, now, route.Request{
		Mode: r.mode, Token: p, HasToken: ok, Started: r.started[i], Staleness: 2 * time.Second,
		Domain: []string{"da", "db", "dc"}[i%3], TieBreak: uint64(i),
	})
}

// chooseAndRead chooses an upstream and reads there. If the choice is to wait for a replica,
// it asks that replica for its status after the wait and chooses again.
func (r *readSim) chooseAndRead(ms int, now time.Time, req route.Request) {
	d := r.views.Choose(now, req)
	if d.Wait > 0 {
		r.waits++
		req.Waited += d.Wait
		ready := ms + max(int(d.Wait.Milliseconds()), 1)
		r.waiting[ready] = append(r.waiting[ready], func() {
			now := epoch.Add(time.Duration(ready) * time.Millisecond)
			r.reportUpstream(d.Upstream, ready, now)
			r.chooseAndRead(ready, now, req)
		})
		return
	}
	if d.Upstream == "" {
		r.refused++
		return
	}
	if d.Upstream != "a" {
		r.replica++
	}
	if got := r.offset(d.Upstream, ms); got < req.Token.Offset || got < r.offset("a", ms-2000) {
		r.stale++
	}
}

// BenchmarkWithoutMajority measures the losses that the majority condition prevents: it counts
// each write that the primary has executed as acknowledged, and reports how many of these 30
// failovers lose, with replication every 2, 50 and 500 ms.
func BenchmarkWithoutMajority(b *testing.B) {
	for _, lag := range []time.Duration{2, 50, 500} {
		b.Run(fmt.Sprintf("lag=%dms", lag), func(b *testing.B) {
			for b.Loop() {
				lost, before, kept, unknown := 0, 0, 0, 0
				for seed := range uint64(seedCount) {
					s := newSimLag(3, seed, lag*time.Millisecond)
					s.run(warmUp+time.Duration(s.rand.Int64N(int64(time.Second))), nil)
					cut := len(s.upstream("a").log)
					s.isolate(true, "a", "na")
					if !s.runUntilWritable(20*time.Second, 5, 2) {
						b.Fatalf("seed %d: no failover", seed)
					}
					old, now := s.upstream("a").log, s.upstream(s.storedGroup().Primary).log
					for i, id := range old {
						if i < len(now) && now[i] == id {
							continue
						}
						if lost++; i < cut {
							before++
						}
					}
					for id := range s.acked {
						if !slices.Contains(now, id) {
							kept++
						}
					}
					pending, _ := s.nodes[0].acks.Pending()
					unknown += s.unknown + pending
				}
				b.ReportMetric(float64(lost), "lost-without-majority")
				b.ReportMetric(float64(before), "of-these-before-the-cut")
				b.ReportMetric(float64(kept), "lost-with-majority")
				b.ReportMetric(float64(unknown), "unknown-with-majority")
			}
		})
	}
}

// TestGapAndStaleReadLimits guards against a failover gap over 5 s, against stale reads in a
// session and against too few reads at replicas, with fewer seeds than the benchmarks.
func TestGapAndStaleReadLimits(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(3, 100+seed)
		s.run(warmUp, nil)
		cut := s.now
		s.isolate(true, "a", "na")
		if !s.runUntilWritable(5*time.Second, 1, 2) {
			t.Errorf("seed %d: no acknowledged write %v after the cut; group %+v", seed, s.now.Sub(cut), s.storedGroup())
		}
		s.failOnFaults(t)
	}
	r := newReadSim(500*time.Millisecond, route.ModeSession)
	if r.run(10 * time.Second); r.stale != 0 || r.replica*2 < r.reads {
		t.Errorf("%d of %d reads are stale and %d from replicas, want 0 and at least half", r.stale, r.reads, r.replica)
	}
	r = newReadSim(5*time.Second, route.ModeAny)
	if r.run(10 * time.Second); r.stale == 0 {
		t.Error("the baseline shows no stale reads, so the count means nothing")
	}
}

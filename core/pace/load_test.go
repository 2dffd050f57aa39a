package pace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"burdockseam/core/queue"
)

// loadKind is a kind of requests with its rate at one upstream.
type loadKind struct {
	name     string
	rate     float64
	service  time.Duration
	target   time.Duration
	deadline time.Duration
}

// loadKinds are those of deployment A, by priority. With 4 slots they take 0.56 of them.
var loadKinds = []loadKind{
	{"urgent", 60, 3 * time.Millisecond, 400 * time.Millisecond, 320 * time.Millisecond},
	{"view", 50, 15 * time.Millisecond, 600 * time.Millisecond, 480 * time.Millisecond},
	{"sync", 145, 9 * time.Millisecond, 1500 * time.Millisecond, 1200 * time.Millisecond},
}

const (
	loadSlots = 4
	loadTeams = 10
)

// server is an upstream that becomes warm with the statements that it has run. While it is
// cold it runs statements as if it had one slot, more statements slow each other down, and
// it refuses those above twice its present capacity. If it is slow, statements take up to
// four times their usual time in addition while it is cold.
type server struct {
	cold     int // statements until it is warm
	slow     bool
	served   int
	inFlight int
}

// capacity returns the number of statements that the server runs without slowing them down.
func (s *server) capacity() float64 {
	if s.served >= s.cold {
		return loadSlots
	}
	return 1 + (loadSlots-1)*float64(s.served)/float64(s.cold)
}

// serviceTime returns the time of a statement that would usually take d.
func (s *server) serviceTime(d time.Duration) time.Duration {
	factor := max(1, float64(s.inFlight)/s.capacity())
	if s.slow && s.served < s.cold {
		factor *= 1 + 3*(1-float64(s.served)/float64(s.cold))
	}
	return time.Duration(float64(d) * factor)
}

// result is what the callers of a kind got.
type result struct{ offered, served, inTime, failed int }

func (r result) share() float64 { return float64(r.inTime) / float64(max(1, r.offered)) }

func (r result) String() string {
	n := float64(max(1, r.offered))
	return fmt.Sprintf("served %.3f, in time %.3f, failed at the upstream %.3f", float64(r.served)/n, float64(r.inTime)/n, float64(r.failed)/n)
}

// play offers the load for 3 s to a number of upstreams that have just started, and returns
// the results by kind, and the time until the pace of all of them has been full. It is the whole time if
// one is not full at the end. All requests that
// arrived while the upstreams were away, for the given time, arrive at the start.
func play(cold int, slow bool, upstreams int, away time.Duration, paced bool, seed uint64) (map[string]*result, time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 3))
	type event struct {
		at  time.Time
		run func()
	}
	start := time.Unix(1000, 0)
	now, fullAt := start, start
	var events []event
	var paces []*Pace
	after := func(d time.Duration, run func()) {
		e := event{now.Add(d), run}
		k, _ := slices.BinarySearchFunc(events, e, func(a, b event) int {
			if a.at.After(b.at) {
				return 1
			}
			return -1
		})
		events = slices.Insert(events, k, e)
	}
	exponential := func(d time.Duration) time.Duration { return time.Duration(rng.ExpFloat64() * float64(d)) }
	results := map[string]*result{}
	for _, k := range loadKinds {
		results[k.name] = &result{}
	}
	type request struct {
		kind    int
		arrived time.Time
	}
	for range upstreams {
		s := &server{cold: cold, slow: slow}
		q := queue.New(queue.Options{Slots: loadSlots + 1, Connections: 42, TeamBound: true})
		p := New(loadSlots, 1)
		paces = append(paces, p)
		requests, wasFull := map[uint64]request{}, false
		var apply func([]queue.Decision)
		if paced {
			p.Restart()
			q.SetSlots(now, p.Limit())
		}
		apply = func(list []queue.Decision) {
			for _, d := range list {
				switch d.Kind {
				case queue.Open:
					after(12*time.Millisecond, func() { apply(q.ConnectionOpened(now, d.Connection)) })
				case queue.Start:
					r, round, began := requests[d.Request], p.Round(), now
					k := loadKinds[r.kind]
					s.inFlight++
					took, outcome := s.serviceTime(exponential(k.service)), Good
					if float64(s.inFlight) > 2*s.capacity() {
						took, outcome = 2*time.Millisecond, Bad
					}
					after(took, func() {
						s.inFlight--
						if outcome == Good {
							s.served++
							results[k.name].served++
							if now.Sub(r.arrived) <= k.target {
								results[k.name].inTime++
							}
						} else {
							results[k.name].failed++
						}
						if paced && p.Record(Answer{Result: outcome, Kind: r.kind, Took: now.Sub(began), Round: round}, q.Running()) {
							if p.Phase() == Full && !wasFull {
								wasFull, fullAt = true, now
							}
							apply(q.SetSlots(now, p.Limit()))
						}
						apply(q.Finish(now, d.Request, false))
					})
				}
			}
		}
		var id uint64
		arrive := func(kind int) {
			k := loadKinds[kind]
			id++
			requests[id] = request{kind, now}
			results[k.name].offered++
			apply(q.Enqueue(now, queue.Request{
				ID: id, Team: fmt.Sprint(rng.IntN(loadTeams)), Priority: kind, Target: k.target, Deadline: now.Add(k.deadline),
			}))
		}
		for kind, k := range loadKinds {
			for range int(k.rate * away.Seconds()) {
				after(exponential(20*time.Millisecond), func() { arrive(kind) })
			}
			var next func()
			next = func() {
				after(exponential(time.Duration(float64(time.Second)/k.rate)), next)
				arrive(kind)
			}
			after(exponential(time.Duration(float64(time.Second)/k.rate)), next)
		}
		var tick func()
		tick = func() { apply(q.Tick(now)); after(20*time.Millisecond, tick) }
		after(0, tick)
	}
	for end := start.Add(3 * time.Second); events[0].at.Before(end); {
		e := events[0]
		events = events[1:]
		now = e.at
		e.run()
	}
	for _, p := range paces {
		if p.Phase() != Full {
			return results, now.Sub(start)
		}
	}
	return results, fullAt.Sub(start)
}

// TestLoads checks what callers get from upstreams that have just started, by kind, with and
// without the pace.
func TestLoads(t *testing.T) {
	for _, test := range []struct {
		name      string
		cold      int
		slow      bool
		upstreams int
		away      time.Duration
		latest    time.Duration // until the pace is full
		least     float64       // share of the urgent requests that are served in time
		loss      float64       // share of all requests in time that the pace may cost
	}{
		// Guards against an upstream that is held back although it is fast.
		{"full speed at once", 0, false, 1, 0, 300 * time.Millisecond, 0.98, 0.01},
		{"full speed at once after a pause", 0, false, 1, time.Second, 300 * time.Millisecond, 0.95, 0.02},
		// Guards against a cold upstream that is overloaded, so that urgent requests fail.
		{"cold", 200, false, 1, 0, 2 * time.Second, 0.97, 0.02},
		{"cold after a pause", 200, false, 1, time.Second, 2 * time.Second, 0.90, 0.02},
		{"cold and slow", 200, true, 1, 0, 2500 * time.Millisecond, 0.85, 0.02},
		{"a group after a loss of power", 200, false, 3, time.Second, 2500 * time.Millisecond, 0.90, 0.02},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var all, allPlain, urgent, urgentPlain, failed, failedPlain, offered float64
			var latest time.Duration
			const seeds = 10
			for seed := range uint64(seeds) {
				paced, fullAt := play(test.cold, test.slow, test.upstreams, test.away, true, seed)
				plain, _ := play(test.cold, test.slow, test.upstreams, test.away, false, seed)
				latest = max(latest, fullAt)
				for _, k := range loadKinds {
					offered += float64(paced[k.name].offered)
					all += float64(paced[k.name].inTime)
					allPlain += plain[k.name].share() * float64(paced[k.name].offered)
					failed += float64(paced[k.name].failed)
					failedPlain += float64(plain[k.name].failed)
				}
				urgent += paced["urgent"].share() / seeds
				urgentPlain += plain["urgent"].share() / seeds
				if seed == 0 {
					for _, k := range loadKinds {
						t.Logf("%-6s with the pace: %v", k.name, paced[k.name])
						t.Logf("%-6s without:       %v", k.name, plain[k.name])
					}
				}
			}
			t.Logf("in time, 10 seeds: all %.4f, without %.4f; urgent %.4f, without %.4f; failed %.4f, without %.4f; full after %v at the latest",
				all/offered, allPlain/offered, urgent, urgentPlain, failed/offered, failedPlain/offered, latest)
			switch {
			case latest > test.latest:
				t.Errorf("full after %v", latest)
			case urgent < test.least || urgent < urgentPlain-test.loss:
				t.Errorf("%.4f of the urgent requests in time, without the pace %.4f", urgent, urgentPlain)
			case all < allPlain-test.loss*offered:
				t.Errorf("%.4f of all requests in time, without the pace %.4f", all/offered, allPlain/offered)
			case failed > failedPlain:
				t.Errorf("%.0f requests failed, without the pace %.0f", failed, failedPlain)
			}
		})
	}
}

package queue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulated upstream has 2 slots and 16 connections that take 12 ms to open. Seven
// normal teams send 10 statements of 20 ms a second each, which takes 1.4 of the 2 slots.
// Team 0 is the one whose load a scenario changes.
const (
	normalTeams   = 7
	normalRate    = 10.0
	normalService = 20 * time.Millisecond
)

type scenario struct {
	name    string
	rate    float64 // of team 0, requests or transactions per second
	service time.Duration
	// If statements is not 0, team 0 sends transactions of that many statements, and
	// waits for think between two of them.
	statements int
	think      time.Duration
}

var scenarios = []scenario{
	{name: "equal", rate: normalRate, service: normalService},
	{name: "10x", rate: 10 * normalRate, service: normalService},
	{name: "slow", rate: normalRate, service: 20 * normalService},
	{name: "transactions", rate: normalRate, service: normalService, statements: 4, think: 500 * time.Millisecond},
}

type event struct {
	at  time.Time
	run func()
}

// eventQueue is a heap of simulated events in the order of their times.
type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// result holds the figures of one simulation.
type result struct {
	worst, best    float64 // share of the requests served, over the normal teams
	p99, p99best   time.Duration
	jain, busy     float64
	offenderServed float64
}

// simulate runs the scenario in simulated time. Each request has a deadline of 2 s.
func simulate(s scenario, policy Policy, seed uint64, length time.Duration) result {
	rng := rand.New(rand.NewPCG(seed, 2))
	q := New(Options{Policy: policy, Slots: 2, Connections: 16, TeamLimit: 64, Limit: 256})
	var events eventQueue
	now := startTime
	after := func(d time.Duration, run func()) { heap.Push(&events, event{now.Add(d), run}) }
	exponential := func(d time.Duration) time.Duration { return time.Duration(rng.ExpFloat64() * float64(d)) }

	offered, served := make([]float64, normalTeams+1), make([]float64, normalTeams+1)
	used := make([]float64, normalTeams+1)
	waits := make([][]time.Duration, normalTeams+1)
	type call struct {
		team    int
		arrived time.Time
		left    int // statements of the transaction still to come
		session uint64
	}
	calls := map[uint64]call{}
	id, session := uint64(0), uint64(0)
	var apply func(out []Decision)
	arrive := func(c call, begin bool) {
		id++
		c.arrived = now
		calls[id] = c
		offered[c.team]++
		apply(q.Enqueue(now, Request{
			ID: id, Team: fmt.Sprint(c.team), Session: c.session, Begin: begin, Deadline: now.Add(2 * time.Second),
		}))
	}
	apply = func(out []Decision) {
		for _, d := range out {
			c := calls[d.Request]
			switch d.Kind {
			case Open:
				after(12*time.Millisecond, func() { apply(q.ConnectionOpened(now, d.Connection)) })
			case Refuse:
				delete(calls, d.Request)
				if c.session != 0 {
					after(0, func() { apply(q.SessionClosed(now, c.session)) })
				}
			case Start:
				waits[c.team] = append(waits[c.team], now.Sub(c.arrived))
				service := normalService
				if c.team == 0 {
					service = s.service
				}
				service = exponential(service)
				used[c.team] += service.Seconds()
				after(service, func() {
					served[c.team]++
					delete(calls, d.Request)
					apply(q.Finish(now, d.Request, c.left > 0))
					if c.left > 0 {
						c.left--
						after(exponential(s.think), func() { arrive(c, false) })
					}
				})
			}
		}
	}
	for team := range normalTeams + 1 {
		rate := normalRate
		if team == 0 {
			rate = s.rate
		}
		var next func()
		next = func() {
			c := call{team: team}
			if team == 0 && s.statements > 0 {
				session++
				c.session, c.left = session, s.statements-1
			}
			arrive(c, c.session != 0)
			after(exponential(time.Duration(float64(time.Second)/rate)), next)
		}
		after(exponential(time.Second), next)
	}
	var tick func()
	tick = func() { apply(q.Tick(now)); after(10*time.Millisecond, tick) }
	after(0, tick)
	for end := startTime.Add(length); events[0].at.Before(end); {
		h := heap.Pop(&events).(event)
		now = h.at
		h.run()
	}

	r := result{worst: 1, p99best: time.Hour, offenderServed: served[0] / offered[0]}
	var sum, squares float64
	for team := range normalTeams + 1 {
		r.busy += used[team] / length.Seconds() / 2
		if team == 0 {
			continue
		}
		share := served[team] / offered[team]
		sum += share
		squares += share * share
		r.worst, r.best = min(r.worst, share), max(r.best, share)
		slices.Sort(waits[team])
		p99 := waits[team][len(waits[team])*99/100]
		r.p99, r.p99best = max(r.p99, p99), min(r.p99best, p99)
	}
	r.jain = sum * sum / normalTeams / squares
	return r
}

// TestFairness guards against one misbehaving team that takes service away from the
// normal teams or makes them wait longer than FIFO would.
func TestFairness(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			fair, fifo := simulate(s, Fair, 1, 5*time.Minute), simulate(s, FIFO, 1, 5*time.Minute)
			if fair.worst < 0.99 || fair.worst/fair.best < 0.95 {
				t.Errorf("the worst team was served %.3f, the best %.3f", fair.worst, fair.best)
			}
			if s.name != "equal" && fair.p99 >= fifo.p99 {
				t.Errorf("p99 wait %v, with FIFO %v", fair.p99, fifo.p99)
			}
		})
	}
}

// BenchmarkFairness gives the table in docs/decisions/limits.md.
func BenchmarkFairness(b *testing.B) {
	for _, s := range scenarios {
		for _, p := range []Policy{Fair, FIFO} {
			b.Run(s.name+"/"+string(p), func(b *testing.B) {
				var r result
				for i := range b.N {
					r = simulate(s, p, uint64(i+1), 12*time.Hour)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(r.worst, "served-worst")
				b.ReportMetric(r.worst/r.best, "served-worst/best")
				b.ReportMetric(float64(r.p99.Milliseconds()), "p99-worst-ms")
				b.ReportMetric(float64(r.p99best)/float64(r.p99), "p99-best/worst")
				b.ReportMetric(r.jain, "jain")
				b.ReportMetric(r.offenderServed, "served-team0")
				b.ReportMetric(r.busy, "slots-busy")
			})
		}
	}
}

package health

// Expected times of reads. They decide where a read goes among the upstreams that may serve it.

import (
	"math"
	"time"
)

const (
	// loadWeight is the weight of one report in the mean load.
	loadWeight = 0.2
	// loadMemory is the time in which a reported load loses most of its difference from the
	// mean: a queue of 20 statements of 15 ms with 5 slots is served in 60 ms, and a wave of
	// callers lasts for seconds.
	loadMemory = 300 * time.Millisecond
	// meanMemory is the time in which the mean load loses most of its weight without a report.
	meanMemory = time.Second
	// maxFailing bounds the failing share in an expected time, which stays finite.
	maxFailing = 0.95
	// AssumedService is the assumed time of a read at an upstream without figures.
	AssumedService = 15 * time.Millisecond
)

// Score is what is expected of an upstream. Scores are not changed after they were handed out.
type Score struct {
	Service time.Duration
	Failing float64
	Load    float64
	// Pace is 0 if the gateway does not state it.
	Pace int
	// Waited is the mean time for which this instance's reads are without an answer.
	Waited time.Duration
	// Avoided is set if reads go elsewhere, and Why says why.
	Avoided bool
	Why     Why
}

// Scores returns what is expected of the members. Upstreams without any report are left out. In
// the time memory, figures without a newer report lose most of their weight against the upstream's
// own past. An upstream that gets no reads since it was somewhat slower than the others is thus
// tried again.
func (g *Group) Scores(now time.Time, members []string, memory time.Duration) map[string]Score {
	out := make(map[string]Score, len(members))
	for _, name := range members {
		s := g.states[name]
		if s == nil {
			continue
		}
		waited, _ := s.open.ages(now)
		age := now.Sub(s.at)
		score := Score{Waited: waited, Avoided: s.why != "", Why: s.why}
		if !s.at.IsZero() && age <= figuresAge {
			faded := math.Exp(-float64(age) / float64(memory))
			score.Service, score.Failing, score.Pace = s.figures.Service, s.figures.Failing*faded, s.figures.Pace
			if s.past > 0 && s.past < score.Service {
				score.Service = s.past + time.Duration(faded*float64(score.Service-s.past))
			}
			mean := s.meanLoad * math.Exp(-float64(age)/float64(meanMemory))
			score.Load = mean + (float64(s.figures.Load)-mean)*math.Exp(-float64(age)/float64(loadMemory))
		}
		out[name] = score
	}
	return out
}

// Terms returns the service time, the load and the pace that an expected time is made of.
func (s Score) Terms(load, slots int) (service time.Duration, waiting float64, pace int) {
	service, pace = s.Service, s.Pace
	if service == 0 {
		service = AssumedService
	}
	if pace <= 0 {
		pace = max(1, slots)
	}
	return service, max(s.Load, float64(load)), pace
}

// ExpectedTime returns the expected time of a read: the queue and the read itself, plus the
// network, divided by the probability of success. Load is the number of statements that the
// instance itself has under way, and slots stands in for an unknown pace. Variation is a factor
// of the time at the upstream; it is 1 for the expected time itself.
func (s Score) ExpectedTime(load, slots int, network time.Duration, variation float64) time.Duration {
	service, waiting, pace := s.Terms(load, slots)
	t := float64(service) * (1 + waiting/float64(pace))
	t = max(t, float64(s.Waited))*variation + float64(network)
	return time.Duration(t / (1 - min(s.Failing, maxFailing)))
}

// Service returns the shortest service time of the members, or AssumedService if none is known.
func (g *Group) Service(members []string) time.Duration {
	least := time.Duration(0)
	for _, name := range members {
		if s := g.states[name]; s != nil && s.figures.Service > 0 && (least == 0 || s.figures.Service < least) {
			least = s.figures.Service
		}
	}
	if least == 0 {
		return AssumedService
	}
	return least
}

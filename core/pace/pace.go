// Package pace decides how many statements a gateway allows an upstream at a time. An
// upstream that has just started or recovered begins with few. The limit doubles with each
// round of good answers, so an upstream that answers at its usual speed has all of its slots
// after at most five rounds. The limit halves if answers fail or become slower with the work
// in flight. If a halved limit makes the answers no faster, the upstream is slow for another
// reason, and the limit grows again.
//
// A round is as many answers as the limit allows statements. Only answers to statements that
// were started in the round count, since the others show the effect of an earlier limit.
// Nothing depends on time, so an upstream without work keeps its limit.
package pace

import (
	"math"
	"time"
)

const (
	// startShare is the share of the full limit that an upstream starts with. Three doublings
	// lead from there to the full limit.
	startShare = 1.0 / 8
	// A round is slow if its answers take slowFactor times the usual time, plus slowNoise
	// standard errors of exponential service times. The usual time has an error too while
	// few answers are known.
	slowFactor = 1.5
	slowNoise  = 3.0
	// helpedShare is the share of the time before a reduction below which answers are faster
	// because of it. A halved limit halves the time if the upstream was overloaded.
	helpedShare = 0.75
	// fullRounds is the number of rounds that are judged together at the full limit, so that
	// chance does not reduce it. It is reached from one round by doubling.
	fullRounds = 8
	// failedShare is the share of failed answers above which the full limit is reduced. Below
	// the full limit each round with a failure reduces it.
	failedShare = 0.25
	// leastAnswers is the number of answers of a kind from which its usual time counts. The
	// ratio of two exponential times exceeds 5 in 17 of 100 cases.
	leastAnswers = 6
	// The usual time of a kind is the mean of its first answers. It then follows the answers,
	// faster ones sooner than slower ones.
	firstAnswers = 16
	fasterWeight = 1.0 / firstAnswers
	slowerWeight = 1.0 / 32
)

// Phase is the phase of an upstream.
type Phase string

// The phases.
const (
	Start   Phase = "start"   // few answers are known since the start
	Reduced Phase = "reduced" // answers failed or became slower
	Full    Phase = "full"
)

// Result is the result of a statement at the upstream.
type Result string

// The results.
const (
	Good    Result = "good"
	Bad     Result = "bad"     // no answer, or the upstream had no capacity
	Neutral Result = "neutral" // says nothing about the upstream's capacity
)

// Answer is what a statement showed.
type Answer struct {
	Result Result
	// Kind separates statements that usually take different times.
	Kind int
	Took time.Duration
	// Round is the value of Pace.Round when the statement was started.
	Round int
}

// Pace is the limit of one upstream. It is not safe for concurrent use.
type Pace struct {
	slots, full int // slots of the upstream, and statements allowed at full pace
	limit       int
	phase       Phase
	round       int
	answers     int // in this round, with a known usual time
	good, bad   int // in this round
	took, usual float64
	together    int     // rounds that are judged together at the full limit
	known       float64 // sum of the reciprocal numbers of answers behind the usual times
	times       map[int]*usualTime

	// After a reduction for slow answers: the ratio of their time to the usual one before,
	// or 0.
	before float64
	// cautious is set after a reduction. The limit then grows by a quarter in a round.
	cautious bool
}

// usualTime is the usual time of a kind of statement, in nanoseconds. The answers of a round
// are compared with mean; next includes them, and becomes the mean unless the round was slow.
type usualTime struct {
	mean, next float64
	// known and count are the numbers of answers behind mean and next, up to firstAnswers.
	known, count int
}

// New returns a pace for an upstream that has been running for long. At full pace it has
// extra statements more than slots.
func New(slots, extra int) *Pace {
	full := max(1, slots+extra)
	return &Pace{slots: max(1, slots), full: full, limit: full, phase: Full, together: fullRounds, times: make(map[int]*usualTime)}
}

// Restart begins with few statements, for an upstream that has started, recovered or been
// promoted.
func (p *Pace) Restart() {
	p.limit = max(1, int(startShare*float64(p.full)))
	p.phase, p.together, p.before, p.cautious = Start, 1, 0, false
	p.times = make(map[int]*usualTime)
	p.endRound(true)
	if p.limit >= p.full {
		p.phase = Full
	}
}

// Limit returns the number of statements allowed at a time.
func (p *Pace) Limit() int { return p.limit }

// Phase returns the phase.
func (p *Pace) Phase() Phase { return p.phase }

// Round returns the number of the current round.
func (p *Pace) Round() int { return p.round }

// Record records the result of a statement while a number of statements was in flight, and
// reports whether the limit has changed.
func (p *Pace) Record(a Answer, inFlight int) bool {
	if a.Result == Neutral || a.Round != p.round {
		return false
	}
	if a.Result == Bad {
		p.bad++
		if p.phase != Full || p.bad > max(1, int(failedShare*float64(p.window()))) {
			return p.reduce(0)
		}
		return false
	}
	p.good++
	p.learnTime(a, inFlight)
	if p.good+p.bad < p.window() {
		return false
	}
	ratio := 0.0
	if p.answers > 0 {
		ratio = p.took / p.usual
	}
	n := float64(p.answers)
	slow := p.answers > 0 && ratio > slowFactor+slowNoise*math.Sqrt(1/n+p.known/n)
	switch {
	case p.before > 0 && ratio > helpedShare*p.before:
		// The reduction made the answers no faster: this is the upstream's usual speed now.
		for _, t := range p.times {
			t.next = t.mean * ratio
		}
		p.cautious = false
		return p.grow()
	case slow && p.limit > 1:
		return p.reduce(ratio)
	}
	return p.grow()
}

// window returns the number of answers that are judged together.
func (p *Pace) window() int {
	if p.phase == Full {
		return p.together * p.limit
	}
	return p.limit
}

// learnTime compares the time of an answer with the usual one of its kind, and updates that.
// More statements in flight than slots wait for each other at the upstream.
func (p *Pace) learnTime(a Answer, inFlight int) {
	took := float64(a.Took) / max(1, float64(inFlight)/float64(p.slots))
	t := p.times[a.Kind]
	if t == nil {
		p.times[a.Kind] = &usualTime{mean: took, next: took, count: 1}
		return
	}
	if t.known >= leastAnswers {
		p.answers++
		p.took += took
		p.usual += t.mean
		p.known += 1 / float64(t.known)
	}
	weight := slowerWeight
	switch {
	case t.count < firstAnswers:
		t.count++
		weight = 1 / float64(t.count)
	case took < t.next:
		weight = fasterWeight
	}
	t.next += weight * (took - t.next)
}

// grow raises the limit after a round of good answers.
func (p *Pace) grow() bool {
	old := p.limit
	if p.phase == Full {
		p.together = min(fullRounds, 2*p.together)
	}
	p.limit = min(p.full, 2*old)
	if p.cautious {
		p.limit = min(p.full, old+max(1, old/4))
	}
	p.before = 0
	if p.limit == p.full {
		p.phase, p.cautious = Full, false
	}
	p.endRound(true)
	return p.limit != old
}

// reduce halves the limit. ratio is that of the time of the answers to the usual one, or 0 if
// answers failed.
func (p *Pace) reduce(ratio float64) bool {
	old := p.limit
	p.limit = max(1, old/2)
	p.before, p.cautious, p.together = ratio, true, 1
	if p.phase == Full && p.limit < p.full {
		p.phase = Reduced
	}
	p.endRound(ratio == 0)
	return p.limit != old
}

// endRound starts the next round. keep says that the times of the round count as usual.
func (p *Pace) endRound(keep bool) {
	p.round++
	p.answers, p.good, p.bad, p.took, p.usual, p.known = 0, 0, 0, 0, 0, 0
	for _, t := range p.times {
		if keep {
			t.mean, t.known = t.next, t.count
		} else {
			t.next, t.count = t.mean, t.known
		}
	}
}

// Package health judges upstreams by their answers. A Meter learns at an upstream's gateway how
// long reads and writes take there and which share of the reads fails. A Group, at an instance
// that callers are connected to, compares the figures of the upstreams of one database group.
//
// The package has no clock and no random source: the present time is an argument.
package health

import (
	"math"
	"time"
)

const (
	// longWindow and shortWindow are the shares of the earlier evidence that one answer leaves
	// for times and for failures. They make about 50 and 20 answers count. 20 answers with
	// priorReads show a share of 0.4 within 10 reads, and a common share of 0.05 stays below
	// AvoidFailing.
	longWindow, shortWindow = 0.98, 0.95
	// leastKept bounds how much one answer replaces after a time without answers. Time alone
	// proves nothing, so an upstream returns by its answers only.
	leastKept = 0.9
	// leastKeptTimes is the same for times. It is lower, since a single time tells more than a
	// single success: after three reads at the usual speed, little is left of a slow past.
	leastKeptTimes = 0.5
	// halfLife is the time in which evidence loses half of its weight while answers come.
	halfLife = 2 * time.Second
	// priorReads is the number of good reads that an upstream is credited with, so that a
	// single failure is no share of 1.
	priorReads = 10
	// lateFactor is the multiple of the usual high percentile beyond which an unanswered read
	// counts as a failure. Before that, a time-out only shows that the caller had little time.
	lateFactor = 4
	// leastLate is the least time after which an unanswered read counts as a failure.
	leastLate = 50 * time.Millisecond
	// leastAnswers is the number of answers from which a service time is reported. Instances keep
	// what they know until then: the few good answers to a gateway that has just taken over do
	// not outweigh what its predecessor has seen.
	leastAnswers = 5
	// highPercentile is the share of reads that is faster than High.
	highPercentile = 0.95
)

// Outcome is the result of a statement as it concerns the upstream's health.
type Outcome string

// The outcomes.
const (
	Good    Outcome = "good"    // answered
	Bad     Outcome = "bad"     // failed, refused for lack of capacity, or the connection was lost
	Late    Outcome = "late"    // no answer within the time that the caller had
	Neutral Outcome = "neutral" // says nothing about the upstream's health
)

// Figures are what a gateway reports about an upstream.
type Figures struct {
	// Service is the typical time of a read, or 0 if it is not known.
	Service time.Duration
	// Failing is the share of the recent reads that failed, from 0 to 1.
	Failing float64
	// Load is the number of statements that wait for the upstream or run at it, and Pace the
	// number that may run at a time.
	Load, Pace int
}

// Meter learns from the answers of one upstream. The zero value is ready for use. It is not safe
// for concurrent use.
type Meter struct {
	reads, writes times
	good, bad     float64 // answers to reads, with decaying weights
	answeredAt    time.Time
	open          openReads
}

// Begin records that a statement is sent.
func (m *Meter) Begin(now time.Time, read bool) {
	if read {
		m.open.add(now)
	}
}

// End records the outcome of a statement that was sent at began.
func (m *Meter) End(began, now time.Time, read bool, o Outcome) {
	took := now.Sub(began)
	if !read {
		if o == Good {
			m.writes.add(took, longWindow)
		}
		return
	}
	m.open.remove(began)
	if o == Late && took < m.lateAfter() {
		m.reads.addUnfinished(took)
		return
	}
	m.record(now, o, took)
}

// EndUnsent records the outcome of an attempt that ended before its statement was sent, such as
// the opening of a connection. An attempt that did not fail says nothing about reads.
func (m *Meter) EndUnsent(took time.Duration, now time.Time, o Outcome) {
	if o == Bad || o == Late && took >= m.lateAfter() {
		m.record(now, Bad, took)
	}
}

func (m *Meter) record(now time.Time, o Outcome, took time.Duration) {
	if o == Neutral {
		return
	}
	faded := 1.0
	if !m.answeredAt.IsZero() {
		faded = math.Exp2(-float64(now.Sub(m.answeredAt)) / float64(halfLife))
	}
	m.answeredAt = now
	kept := min(shortWindow, max(leastKept, faded))
	m.good, m.bad = m.good*kept, m.bad*kept
	switch o {
	case Good:
		m.good++
		if m.good >= leastAnswers {
			// A frozen gateway sees a long time at each read that was under way.
			took = min(took, m.lateAfter())
		}
		m.reads.add(took, min(longWindow, max(leastKeptTimes, faded)))
	case Late:
		m.bad++
		m.reads.addUnfinished(took)
	default:
		m.bad++
	}
}

// lateAfter returns the time after which an unanswered read counts as a failure.
func (m *Meter) lateAfter() time.Duration {
	return max(leastLate, lateFactor*m.reads.high())
}

// Figures returns the service time and the failing share. Reads that have been without an answer
// for long count, so that an upstream that does not answer at all is noticed before the time-outs
// of its reads. A gateway that was frozen itself has an answer first.
func (m *Meter) Figures(now time.Time) Figures {
	bad, excess := m.bad, time.Duration(0)
	waited, total := m.open.ages(now)
	if late := m.lateAfter(); m.open.count > 0 && waited > late && now.Sub(m.answeredAt) > late {
		bad += float64(m.open.count)
		excess = max(0, total-time.Duration(m.open.count)*m.reads.high())
	}
	f := Figures{Failing: bad / (m.good + bad + priorReads)}
	if m.good+bad >= leastAnswers {
		f.Service = m.reads.mean(excess)
	}
	return f
}

// High returns a high percentile of the time of reads, or 0 if it is not known.
func (m *Meter) High() time.Duration { return m.reads.high() }

// WriteTime returns the typical time of a write, or 0 if it is not known.
func (m *Meter) WriteTime() time.Duration { return m.writes.mean(0) }

// openReads has the number of unanswered reads and the sum of the times since they were sent.
type openReads struct {
	count int
	base  time.Time
	sum   time.Duration // of the times from base until each read was sent
}

func (o *openReads) add(now time.Time) {
	switch {
	case o.count == 0:
		o.base, o.sum = now, 0
	case now.Before(o.base): // reads that are sent at the same time arrive here in any order
		o.sum += time.Duration(o.count) * o.base.Sub(now)
		o.base = now
	}
	o.count++
	o.sum += now.Sub(o.base)
}

func (o *openReads) remove(began time.Time) {
	if o.count > 0 && !began.Before(o.base) { // not a read from before the upstream was forgotten
		o.count--
		o.sum -= began.Sub(o.base)
	}
}

// ages returns the mean and the sum of the times since the open reads were sent.
func (o *openReads) ages(now time.Time) (mean, sum time.Duration) {
	if o.count == 0 {
		return 0, 0
	}
	sum = time.Duration(o.count)*now.Sub(o.base) - o.sum
	return sum / time.Duration(o.count), sum
}

const (
	// buckets, firstBucket and bucketFactor cover times from 0.25 ms to 8 s.
	buckets      = 32
	firstBucket  = 250 * time.Microsecond
	bucketFactor = 1.4
)

// times has the sum and the distribution of times, with decaying weights.
type times struct {
	count, sum float64 // sum in nanoseconds
	bucket     [buckets]float64
}

// add adds the time of a finished statement. The earlier ones keep the given share.
func (t *times) add(d time.Duration, kept float64) {
	t.count, t.sum = t.count*kept+1, t.sum*kept+float64(d)
	for i := range t.bucket {
		t.bucket[i] *= kept
	}
	i := math.Ceil(math.Log(float64(max(d, 1))/float64(firstBucket)) / math.Log(bucketFactor))
	t.bucket[int(min(max(i, 0), buckets-1))]++
}

// addUnfinished adds the time of a statement that has not finished. The sum of all times divided
// by the number of finished statements is an unbiased mean also if some are not waited for.
func (t *times) addUnfinished(d time.Duration) {
	if t.count > 0 {
		t.sum += float64(d)
	}
}

// mean returns the mean time, with the excess of statements under way, or 0 if none has finished.
func (t *times) mean(excess time.Duration) time.Duration {
	if t.count == 0 {
		return 0
	}
	return time.Duration((t.sum + float64(excess)) / t.count)
}

// high returns the upper end of the bucket of the high percentile, or 0 if none has finished.
func (t *times) high() time.Duration {
	if t.count == 0 {
		return 0
	}
	seen, limit := 0.0, float64(firstBucket)
	for _, n := range t.bucket {
		if seen += n; seen >= highPercentile*t.count {
			break
		}
		limit *= bucketFactor
	}
	return time.Duration(limit)
}

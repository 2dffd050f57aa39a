// Detector decides whether a group's primary is lost, as seen by one observer. Each
// instance with a detector of the group is an observer.
//
// An observer suspects the primary when none of its polls in the last Timing.SuspectAfter
// had an answer of a working primary. An answer that shows another role or another fenced
// term does not count: a primary that a crashed coordinator has fenced is as lost as a
// primary that is cut off. One observer's suspicion may come from its own link, so a
// promotion needs suspicions from MinDomains failure domains at the same time.

package failover

import (
	"slices"
	"time"
)

// Timing holds the time limits of detection and promotion.
type Timing struct {
	// PollInterval is the time between two polls of an upstream.
	PollInterval time.Duration
	// SuspectAfter is how long the primary may be silent before it is suspected. It is also
	// how long the answer to a poll and the suspicion of another observer count.
	SuspectAfter time.Duration
	// Hysteresis is the least time between a promotion and the next failover, unless the new
	// primary never worked, and between two automatic switchovers.
	Hysteresis time.Duration
	// RetryMin is the first wait before a request is sent again. The wait doubles up to
	// RetryMax.
	RetryMin, RetryMax time.Duration
	// RivalTimeout is how long another coordinator's unfinished claim is left alone.
	RivalTimeout time.Duration
	// SwitchoverTimeout bounds draining and catching up. ClaimTimeout bounds the claim of a
	// switchover, because callers wait for the claim.
	SwitchoverTimeout, ClaimTimeout time.Duration
	// SwitchoverDelay is the time between a reason for an automatic switchover and its start.
	// The reason is a change of the configuration, and until that change is in force
	// everywhere, instances may use different gateways, of which only one is drained.
	SwitchoverDelay time.Duration
}

// DefaultTiming has the limits that the design gives. RetryMin is a few round trips between
// regions (20 ms each way), RivalTimeout the time of a few answers of the store.
var DefaultTiming = Timing{
	PollInterval:      250 * time.Millisecond,
	SuspectAfter:      750 * time.Millisecond,
	Hysteresis:        5 * time.Second,
	RetryMin:          100 * time.Millisecond,
	RetryMax:          time.Second,
	RivalTimeout:      time.Second,
	SwitchoverTimeout: 10 * time.Second,
	ClaimTimeout:      2 * time.Second,
	SwitchoverDelay:   time.Second, // twice the longest time until a change is in force, without faults
}

const (
	// MinDomains is the number of failure domains that must suspect the primary.
	MinDomains = 2
	// DrainLimit ends a drain whose coordinator was lost. It exceeds the sum of
	// Timing.SwitchoverTimeout and Timing.ClaimTimeout.
	DrainLimit = 15 * time.Second
)

// Suspicion is what one observer reports about the primary of a term: whether it suspects the
// primary, and what it sees itself. Observers request it from each other and count Age from the
// time of the request, since Age must not understate how old the report is.
type Suspicion struct {
	Observer, Domain string
	Term             uint64
	Suspected        bool
	// Served is set if the observer has seen the primary work in this term.
	Served bool
	// Majority is set if the observer reaches a majority of the upstreams.
	Majority bool
	Age      time.Duration
}

// Reason says why a failover may start or not.
type Reason string

// The reasons of a Verdict.
const (
	ReasonHealthy    Reason = "healthy"    // too few failure domains suspect the primary
	ReasonNoMajority Reason = "nomajority" // the observer itself reaches no majority of the upstreams
	ReasonHysteresis Reason = "hysteresis" // the primary's term began less than Timing.Hysteresis ago
	ReasonSuspected  Reason = "suspected"  // a failover may start
)

// Verdict is the detector's answer to the coordinator of the same instance. Start is set if a
// failover may start.
type Verdict struct {
	Start  bool
	Reason Reason
	// Domains is the number of failure domains that suspect the primary.
	Domains int
}

// pollState is the state of the polls of one upstream.
type pollState struct {
	name       string
	nextPoll   time.Time
	answeredAt time.Time // when the newest answered request was sent
	answered   bool
}

// receivedSuspicion is a suspicion of another observer.
type receivedSuspicion struct {
	Suspicion
	at time.Time // not later than the observer reported the suspicion
}

// Detector is one observer's view of one group.
type Detector struct {
	self, domain string
	timing       Timing
	term         uint64
	primary      string
	termSince    time.Time // when the detector learned of the term
	served       bool      // some observer saw the primary work in term
	workingAt    time.Time // when the newest request was sent that found the primary working
	lastTick     time.Time
	polls        []pollState
	suspicions   []receivedSuspicion // newest suspicion of each other observer in term
	latest       []receivedSuspicion // newest suspicion of each other observer in any term
}

// NewDetector returns the detector of an observer in a failure domain.
func NewDetector(self, domain string, timing Timing) *Detector {
	return &Detector{self: self, domain: domain, timing: timing}
}

// SetMembers sets the names of the group's upstreams.
func (d *Detector) SetMembers(names []string) {
	polls := make([]pollState, 0, len(names))
	for _, n := range names {
		p := pollState{name: n}
		if i := d.index(n); i >= 0 {
			p = d.polls[i]
		}
		polls = append(polls, p)
	}
	d.polls = polls
}

// SetGroup sets the recorded term and primary. A new primary has Timing.SuspectAfter to show
// that it works.
func (d *Detector) SetGroup(now time.Time, term uint64, primary string) {
	if !d.termSince.IsZero() && (term < d.term || term == d.term && primary == d.primary) {
		return
	}
	d.term, d.primary = term, primary
	d.termSince, d.workingAt, d.served = now, now, false
	d.suspicions = nil
}

// Tick returns the polls that are due, and detects a pause of the observer itself. After a
// pause, the answers that arrived meanwhile are still unread, so the primary's silence is
// counted from the end of the pause.
func (d *Detector) Tick(now time.Time) []Request {
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > d.timing.SuspectAfter/2 {
		d.workingAt = now
	}
	d.lastTick = now
	var out []Request
	for i := range d.polls {
		if p := &d.polls[i]; !now.Before(p.nextPoll) {
			p.nextPoll = now.Add(d.timing.PollInterval)
			out = append(out, Request{Kind: KindStatus, Upstream: p.name})
		}
	}
	return out
}

// HandleUpstream takes an upstream's status, from a poll or from any other request. Duplicated
// and reordered answers are harmless, since each counts from the time at which its request was
// sent.
func (d *Detector) HandleUpstream(r UpstreamResult) {
	i := d.index(r.Upstream)
	if i < 0 || !r.hasStatus() {
		return
	}
	if p := &d.polls[i]; !p.answered || r.Begun.After(p.answeredAt) {
		p.answeredAt, p.answered = r.Begun, true
	}
	if r.Upstream == d.primary && r.Status.Serves(d.term) {
		d.served = true
		if r.Begun.After(d.workingAt) {
			d.workingAt = r.Begun
		}
	}
}

// OwnSuspicion returns this observer's suspicion, for the other observers.
func (d *Detector) OwnSuspicion(now time.Time) Suspicion {
	return Suspicion{
		Observer: d.self, Domain: d.domain, Term: d.term,
		Suspected: !d.termSince.IsZero() && now.Sub(d.workingAt) >= d.timing.SuspectAfter,
		Served:    d.served,
		Majority:  len(d.MissingUpstreams(now)) == 0,
	}
}

// HandleSuspicion takes another observer's suspicion. The newest suspicion of each observer
// counts.
func (d *Detector) HandleSuspicion(now time.Time, s Suspicion) {
	if s.Observer == d.self {
		return
	}
	received := receivedSuspicion{s, now.Add(-s.Age)}
	d.latest = keepNewest(d.latest, received)
	if s.Term == d.term {
		d.served = d.served || s.Served
		d.suspicions = keepNewest(d.suspicions, received)
	}
}

// keepNewest puts received in the table unless the table has a newer suspicion of the same
// observer.
func keepNewest(table []receivedSuspicion, received receivedSuspicion) []receivedSuspicion {
	i := slices.IndexFunc(table, func(o receivedSuspicion) bool { return o.Observer == received.Observer })
	switch {
	case i < 0:
		return append(table, received)
	case received.at.After(table[i].at):
		table[i] = received
	}
	return table
}

// IsCoordinator reports whether this observer is the group's coordinator: the first observer
// in the given order that reaches a majority of the upstreams and whose suspicion was received
// within Timing.SuspectAfter. The heartbeats of the membership take 3 s to notice a loss,
// which is too long for an observer that is lost together with the primary.
func (d *Detector) IsCoordinator(now time.Time, order []string) bool {
	for _, name := range order {
		if name == d.self {
			return len(d.MissingUpstreams(now)) == 0
		}
		i := slices.IndexFunc(d.latest, func(h receivedSuspicion) bool { return h.Observer == name })
		if i >= 0 && d.latest[i].Majority && now.Sub(d.latest[i].at) < d.timing.SuspectAfter {
			return false
		}
	}
	return false
}

// Verdict reports whether the coordinator of this instance may start a failover.
func (d *Detector) Verdict(now time.Time) Verdict {
	domains := make([]string, 0, 4)
	add := func(s Suspicion) {
		if s.Suspected && !slices.Contains(domains, s.Domain) {
			domains = append(domains, s.Domain)
		}
	}
	add(d.OwnSuspicion(now))
	for _, h := range d.suspicions {
		if now.Sub(h.at) < d.timing.SuspectAfter {
			add(h.Suspicion)
		}
	}
	v := Verdict{Domains: len(domains)}
	switch {
	case len(domains) < MinDomains:
		v.Reason = ReasonHealthy
	case len(d.MissingUpstreams(now)) > 0:
		v.Reason = ReasonNoMajority
	case d.served && now.Sub(d.termSince) < d.timing.Hysteresis:
		v.Reason = ReasonHysteresis
	default:
		v.Start, v.Reason = true, ReasonSuspected
	}
	return v
}

// MissingUpstreams returns the names of the upstreams that did not answer within
// Timing.SuspectAfter. It returns nil if the upstreams that did answer are a majority. A
// refused write names the missing upstreams.
func (d *Detector) MissingUpstreams(now time.Time) []string {
	var out []string
	for _, p := range d.polls {
		if !p.answered || now.Sub(p.answeredAt) >= d.timing.SuspectAfter {
			out = append(out, p.name)
		}
	}
	if len(d.polls)-len(out) >= majority(len(d.polls)) {
		return nil
	}
	return out
}

// TimeSinceAnswer returns the time since the upstream's last answer, or 0 if the upstream
// never answered or is not polled here.
func (d *Detector) TimeSinceAnswer(now time.Time, name string) time.Duration {
	i := d.index(name)
	if i < 0 || !d.polls[i].answered {
		return 0
	}
	return now.Sub(d.polls[i].answeredAt)
}

func (d *Detector) index(name string) int {
	return slices.IndexFunc(d.polls, func(p pollState) bool { return p.name == name })
}

// Detector decides whether a group's primary is lost, as seen by one observer.
//
// An observer suspects the primary when its polls have had no answer of a working
// primary for Timing.Suspect. An answer that shows another role or another fenced
// term does not count: a primary that a crashed coordinator has fenced is as lost as
// one that is cut off. One observer's suspicion may come from its own link, so a
// promotion needs suspicions from MinDomains failure domains at the same time.

package failover

import (
	"slices"
	"time"
)

// Timing holds the time limits of detection and promotion.
type Timing struct {
	// Poll is the time between two polls of an upstream.
	Poll time.Duration
	// Suspect is how long the primary may be silent, and how long a poll's answer
	// and another observer's suspicion count.
	Suspect time.Duration
	// Hysteresis is the least time between unplanned promotions.
	Hysteresis time.Duration
	// Retry is the first wait before a request is sent again; it doubles up to RetryMax.
	Retry, RetryMax time.Duration
	// Patience is how long another coordinator's unfinished claim is left alone.
	Patience time.Duration
	// Planned bounds draining and catching up; Claim bounds the claim of a planned
	// switch, because callers wait for it.
	Planned, Claim time.Duration
	// Spread is the time between a reason for a planned switch that nobody asked for and
	// its start. The reason is a change of the configuration, and until that is in force
	// everywhere instances may use different gateways, of which only one is drained.
	Spread time.Duration
}

// DefaultTiming has the limits of the design page where it names them. Retry is a
// few round trips between regions (20 ms each way), Patience a few store answers.
var DefaultTiming = Timing{
	Poll:       250 * time.Millisecond,
	Suspect:    750 * time.Millisecond,
	Hysteresis: 5 * time.Second,
	Retry:      100 * time.Millisecond,
	RetryMax:   time.Second,
	Patience:   time.Second,
	Planned:    10 * time.Second,
	Claim:      2 * time.Second,
	Spread:     time.Second, // twice the longest time until in force, without faults
}

const (
	// MinDomains is the number of failure domains that must suspect the primary.
	MinDomains = 2
	// DrainLimit ends a drain whose coordinator was lost. It exceeds the sum of
	// Timing.Planned and Timing.Claim.
	DrainLimit = 15 * time.Second
)

// Suspicion is one observer's opinion about the primary of a term. Observers ask
// each other for it, so that Age can be counted from the time of the question: it
// must not understate how long ago the opinion was held.
type Suspicion struct {
	Observer, Domain string
	Term             uint64
	Suspected        bool
	// Served says that the observer has seen the primary work in this term.
	Served bool
	// Majority says that the observer reaches a majority of the upstreams.
	Majority bool
	Age      time.Duration
}

// Reason says why a promotion is started or not.
type Reason string

// The reasons.
const (
	ReasonHealthy    Reason = "healthy"    // too few failure domains suspect the primary
	ReasonNoMajority Reason = "nomajority" // the observer itself reaches no majority
	ReasonHysteresis Reason = "hysteresis" // the primary's term is too young
	ReasonSuspected  Reason = "suspected"  // a promotion may start
)

// Verdict is the detector's advice to the coordinator of the same instance.
type Verdict struct {
	Start  bool
	Reason Reason
	// Domains is the number of failure domains that suspect the primary.
	Domains int
}

type polled struct {
	name string
	next time.Time // of the next poll
	good time.Time // start of the newest poll that was answered
	seen bool
}

type heard struct {
	Suspicion
	at time.Time
}

// Detector is one observer's view of one group.
type Detector struct {
	self, domain string
	timing       Timing
	term         uint64
	primary      string
	learned      time.Time // when term was first known here
	served       bool      // somebody saw the primary work in term
	working      time.Time // start of the newest poll that found the primary working
	ticked       time.Time
	polls        []polled
	heard        []heard
	live         []heard // newest opinion of each observer, in whatever term
}

// NewDetector returns the detector of an observer in a failure domain.
func NewDetector(self, domain string, timing Timing) *Detector {
	return &Detector{self: self, domain: domain, timing: timing}
}

// Members sets the names of the group's upstreams.
func (d *Detector) Members(names []string) {
	polls := make([]polled, 0, len(names))
	for _, n := range names {
		p := polled{name: n}
		if i := d.index(n); i >= 0 {
			p = d.polls[i]
		}
		polls = append(polls, p)
	}
	d.polls = polls
}

// Group sets the recorded term and primary. A new term starts with a primary that
// has Timing.Suspect to show that it works.
func (d *Detector) Group(now time.Time, term uint64, primary string) {
	if !d.learned.IsZero() && (term < d.term || term == d.term && primary == d.primary) {
		return
	}
	d.term, d.primary = term, primary
	d.learned, d.working, d.served = now, now, false
	d.heard = nil
}

// Tick notices a pause of the observer itself and returns the polls that are due.
// After a pause the answers that arrived meanwhile are still unread, so silence is
// counted from the end of the pause.
func (d *Detector) Tick(now time.Time) []Request {
	if !d.ticked.IsZero() && now.Sub(d.ticked) > d.timing.Suspect/2 {
		d.working = now
	}
	d.ticked = now
	var out []Request
	for i := range d.polls {
		if p := &d.polls[i]; !now.Before(p.next) {
			p.next = now.Add(d.timing.Poll)
			out = append(out, Request{Kind: KindStatus, Upstream: p.name})
		}
	}
	return out
}

// Answer takes an upstream's status, of a poll or of any other request. Duplicated
// and reordered answers are harmless, since each counts from the start of its request.
func (d *Detector) Answer(r UpstreamResult) {
	i := d.index(r.Upstream)
	if i < 0 || !r.hasStatus() {
		return
	}
	if p := &d.polls[i]; !p.seen || r.Begun.After(p.good) {
		p.good, p.seen = r.Begun, true
	}
	if r.Upstream == d.primary && r.Status.Serves(d.term) {
		d.served = true
		if r.Begun.After(d.working) {
			d.working = r.Begun
		}
	}
}

// Own returns this observer's opinion, for the other observers.
func (d *Detector) Own(now time.Time) Suspicion {
	return Suspicion{
		Observer: d.self, Domain: d.domain, Term: d.term,
		Suspected: !d.learned.IsZero() && now.Sub(d.working) >= d.timing.Suspect,
		Served:    d.served,
		Majority:  len(d.Missing(now)) == 0,
	}
}

// Hear takes another observer's opinion. The newest opinion of each observer counts.
func (d *Detector) Hear(now time.Time, s Suspicion) {
	if s.Observer == d.self {
		return
	}
	h := heard{s, now.Add(-s.Age)}
	d.live = newest(d.live, h)
	if s.Term == d.term {
		d.served = d.served || s.Served
		d.heard = newest(d.heard, h)
	}
}

func newest(table []heard, h heard) []heard {
	i := slices.IndexFunc(table, func(o heard) bool { return o.Observer == h.Observer })
	switch {
	case i < 0:
		return append(table, h)
	case h.at.After(table[i].at):
		table[i] = h
	}
	return table
}

// Lead reports whether this observer is the group's coordinator: the first in the
// given order that reaches a majority of the upstreams and has told its opinion
// within Timing.Suspect. Heartbeats of the membership take 3 s to notice a loss,
// which is too long for an observer that is lost together with the primary.
func (d *Detector) Lead(now time.Time, order []string) bool {
	for _, name := range order {
		if name == d.self {
			return len(d.Missing(now)) == 0
		}
		i := slices.IndexFunc(d.live, func(h heard) bool { return h.Observer == name })
		if i >= 0 && d.live[i].Majority && now.Sub(d.live[i].at) < d.timing.Suspect {
			return false
		}
	}
	return false
}

// Verdict says whether the coordinator of this instance may start a promotion.
func (d *Detector) Verdict(now time.Time) Verdict {
	domains := make([]string, 0, 4)
	add := func(s Suspicion) {
		if s.Suspected && !slices.Contains(domains, s.Domain) {
			domains = append(domains, s.Domain)
		}
	}
	add(d.Own(now))
	for _, h := range d.heard {
		if now.Sub(h.at) < d.timing.Suspect {
			add(h.Suspicion)
		}
	}
	v := Verdict{Domains: len(domains)}
	switch {
	case len(domains) < MinDomains:
		v.Reason = ReasonHealthy
	case len(d.Missing(now)) > 0:
		v.Reason = ReasonNoMajority
	case d.served && now.Sub(d.learned) < d.timing.Hysteresis:
		v.Reason = ReasonHysteresis
	default:
		v.Start, v.Reason = true, ReasonSuspected
	}
	return v
}

// Missing names the upstreams that did not answer within Timing.Suspect, if those
// that did are no majority; it is empty if they are. Writes are refused with these
// names.
func (d *Detector) Missing(now time.Time) []string {
	var out []string
	for _, p := range d.polls {
		if !p.seen || now.Sub(p.good) >= d.timing.Suspect {
			out = append(out, p.name)
		}
	}
	if len(d.polls)-len(out) >= majority(len(d.polls)) {
		return nil
	}
	return out
}

// Silent returns the time since the upstream's last answer, 0 if it never answered or
// is not polled here.
func (d *Detector) Silent(now time.Time, name string) time.Duration {
	i := d.index(name)
	if i < 0 || !d.polls[i].seen {
		return 0
	}
	return now.Sub(d.polls[i].good)
}

func (d *Detector) index(name string) int {
	return slices.IndexFunc(d.polls, func(p polled) bool { return p.name == name })
}

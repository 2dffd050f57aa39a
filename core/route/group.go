// Package route chooses the upstream for each statement.
//
// A Group holds a view of each upstream, filled from status reports that may be late or
// relayed, and a ring of samples of the primary's offset. Everything in it is a lower
// bound: a confirmed position, the time of a sample and a confirmed term stay true
// however old the report is, so late and duplicated reports do no harm.
//
// # Age without shared clocks
//
// A sample is the pair (T0, offset), where T0 is the local time at which a status
// request was sent to the primary. Every write that was acknowledged before T0 lies at
// or below offset, provided that no newer term had acknowledged a write by then. The
// proof is a majority of reports that were requested at or after T0 and show the current
// term as the fenced one: a newer term can then not have fenced a majority before T0.
// Samples without this proof are kept but not used. The data of a replica that is
// confirmed at or beyond the offset of a proven sample is at most now − T0 old.
package route

import (
	"slices"
	"time"

	"burdockseam/core/wal"
)

const (
	// MaxReplicaWait bounds the time that a statement waits for a replica to catch up.
	MaxReplicaWait = 50 * time.Millisecond
	// PrimaryGrace is the time for which a primary still gets work after it began to
	// leave or its failure domain was taken out, so that a planned switch can complete.
	PrimaryGrace = 3 * time.Second
	// minWait is the least wait to expect for a replica. A status request to a replica in
	// another failure domain takes about this long.
	minWait = 2 * time.Millisecond
	// maxSamples × sampleSpacing is the greatest age that can be proven, 12.8 s.
	maxSamples    = 256
	sampleSpacing = 50 * time.Millisecond
)

// Upstream names an upstream and its failure domain.
type Upstream struct {
	Name   string
	Domain string
}

// Report is the status of an upstream, or the lack of an answer to a status request.
type Report struct {
	Upstream string
	// Begun is the local time at which the status request was sent. For a relayed report
	// it is the time at which this instance's request to the relaying instance was sent,
	// less the age of the report.
	Begun time.Time
	// Lost says that no answer arrived; the fields below are then ignored.
	Lost     bool
	Primary  bool   // whether the upstream has the role of the primary
	Fenced   uint64 // term at which the upstream is fenced
	Position wal.Position
}

// view is what is known about one upstream.
type view struct {
	Upstream
	position    wal.Position  // newest confirmed position
	fencedTerm  uint64        // highest reported fenced term
	confirmed   time.Time     // time of the newest status request whose answer showed the group's term as fenced
	asked       time.Time     // time of the newest status request
	lag         time.Duration // estimated delay of a replica behind the primary
	reachable   bool
	out         bool // takes no new work; see SetServing
	outSince    time.Time
	queueLength int
}

// sample is an offset that the primary reported, and the time of the status request.
type sample struct {
	begun  time.Time
	offset uint64
}

// Group is the view of one database group. It is not safe for concurrent use.
type Group struct {
	serviceTime    time.Duration
	term           uint64
	primary        int // index in views, -1 if unknown
	primaryName    string
	history        wal.History
	views          []view
	confirmedTimes []time.Time // scratch space of updateProven
	provenAt       time.Time   // newest time at or after which a majority was asked and showed the group's term as fenced
	samples        [maxSamples]sample
	head           int // index of the newest sample
	count          int
}

// NewGroup returns an empty view. The service time is the mean time by which each queued
// statement lengthens the wait at an upstream.
func NewGroup(service time.Duration) *Group {
	return &Group{serviceTime: service, primary: -1}
}

// SetMembers sets the upstreams of the group. What is known about those that were
// members before is kept.
func (g *Group) SetMembers(members []Upstream) {
	views := make([]view, 0, len(members))
	for _, m := range members {
		v := view{}
		if i := g.indexOf(m.Name); i >= 0 {
			v = g.views[i]
		}
		v.Upstream = m
		views = append(views, v)
	}
	g.views = views
	g.confirmedTimes = make([]time.Time, len(views))
	g.primary = g.indexOf(g.primaryName)
	g.updateProven()
}

// SetLeadership sets the term that is recorded for the group, its primary and its
// history. A term that is not newer than the known one is ignored.
func (g *Group) SetLeadership(term uint64, primary string, history wal.History) {
	if term <= g.term {
		return
	}
	g.term, g.primaryName, g.history = term, primary, slices.Clone(history)
	g.primary = g.indexOf(primary)
	g.count, g.provenAt = 0, time.Time{}
	for i := range g.views {
		g.views[i].confirmed = time.Time{}
	}
}

// SetServing sets whether an upstream takes new work, which is so while the upstream is
// active and its failure domain is in.
func (g *Group) SetServing(now time.Time, upstream string, serving bool) {
	i := g.indexOf(upstream)
	if i < 0 || g.views[i].out == !serving {
		return
	}
	g.views[i].out, g.views[i].outSince = !serving, now
}

// SetQueueLength sets the number of statements that wait for an upstream or run at it.
func (g *Group) SetQueueLength(upstream string, statements int) {
	if i := g.indexOf(upstream); i >= 0 {
		g.views[i].queueLength = statements
	}
}

// AddReport adds a status report. A report of the current primary also gives a sample
// of its offset.
func (g *Group) AddReport(r Report) {
	i := g.indexOf(r.Upstream)
	if i < 0 {
		return
	}
	v := &g.views[i]
	if !r.Begun.Before(v.asked) {
		v.asked, v.reachable = r.Begun, !r.Lost
	}
	if r.Lost || r.Fenced < v.fencedTerm {
		return
	}
	// The position never decreases while the fenced term stays the same.
	if r.Fenced > v.fencedTerm || r.Position.Compare(v.position) > 0 {
		v.fencedTerm, v.position = r.Fenced, r.Position
	}
	if r.Fenced != g.term {
		return
	}
	if r.Begun.After(v.confirmed) {
		v.confirmed = r.Begun
		g.updateProven()
	}
	if i == g.primary && r.Primary && r.Position.Term == g.term {
		g.addSample(sample{r.Begun, r.Position.Offset})
	}
	if i != g.primary {
		if s, ok := g.newestSample(g.history.Clamp(v.position).Offset, r.Begun); ok {
			v.lag = max(r.Begun.Sub(s.begun), 0)
		}
	}
}

// Floor returns the position that reads of a session without a token must see, or false
// while there is no proven sample from after the start of the session.
func (g *Group) Floor(started time.Time) (wal.Position, bool) {
	for k := g.count - 1; k >= 0; k-- {
		s := g.sampleAt(k)
		if !s.begun.After(started) {
			continue
		}
		return wal.Position{Term: g.term, Offset: s.offset}, !s.begun.After(g.provenAt)
	}
	return wal.Position{}, false
}

// Age returns an upper bound of the age of an upstream's data, or false if no proven
// sample gives one.
func (g *Group) Age(now time.Time, upstream string) (time.Duration, bool) {
	i := g.indexOf(upstream)
	if i < 0 {
		return 0, false
	}
	return g.ageOf(now, i)
}

// ageOf is Age for the upstream at index i.
func (g *Group) ageOf(now time.Time, i int) (time.Duration, bool) {
	s, ok := g.newestSample(g.history.Clamp(g.views[i].position).Offset, g.provenAt)
	if !ok {
		return 0, false
	}
	return now.Sub(s.begun), true
}

// newestSample returns the newest sample that was requested at or before limit and has
// an offset of at most offset.
func (g *Group) newestSample(offset uint64, limit time.Time) (sample, bool) {
	for k := range g.count {
		if s := g.sampleAt(k); s.offset <= offset && !s.begun.After(limit) {
			return s, true
		}
	}
	return sample{}, false
}

// sampleAt returns the sample that is k places older than the newest one.
func (g *Group) sampleAt(k int) sample { return g.samples[(g.head-k+maxSamples)%maxSamples] }

// addSample adds a sample to the ring. While the newest sample is closer than
// sampleSpacing to the one before, it is overwritten, so that frequent samples do not
// shorten the time that the ring covers.
func (g *Group) addSample(s sample) {
	if g.count > 0 && !s.begun.After(g.sampleAt(0).begun) {
		return
	}
	if g.count < 2 || g.sampleAt(0).begun.Sub(g.sampleAt(1).begun) >= sampleSpacing {
		g.head = (g.head + 1) % maxSamples
		g.count = min(g.count+1, maxSamples)
	}
	g.samples[g.head] = s
}

// updateProven sets provenAt to the newest time at or after which a majority of the
// upstreams was asked and still had the group's term as the fenced one.
func (g *Group) updateProven() {
	for i := range g.views {
		g.confirmedTimes[i] = g.views[i].confirmed
	}
	slices.SortFunc(g.confirmedTimes, time.Time.Compare)
	g.provenAt = time.Time{}
	if n := len(g.confirmedTimes); n > 0 {
		g.provenAt = g.confirmedTimes[n-(n/2+1)]
	}
}

// indexOf returns the index of the named upstream in views, or -1.
func (g *Group) indexOf(name string) int {
	for i := range g.views {
		if g.views[i].Name == name {
			return i
		}
	}
	return -1
}

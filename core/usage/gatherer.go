// Package usage counts the requests of teams in windows of the wall clock and reports each
// window once. Each instance counts what it sends (Counter) and pushes its counts to one
// instance, the gatherer (Gatherer). The gatherer holds a lease and a fencing token by an object
// of the store. It writes the counts of a window into that object, which seals the window, and
// only then calls the platform. All reports of a window are taken from the object, so they
// never differ, whoever sends them.
package usage

import (
	"maps"
	"slices"
	"time"

	"burdockseam/core/lease"
)

// Fleet is what the instance knows about the others.
type Fleet struct {
	// Runs are the runs of all known instances, with this one.
	Runs []string
	// Teams are the teams that a report lists even if they sent nothing.
	Teams []string
	// MayHold is set if this instance is the first choice as the gatherer and knows of no
	// other holder, and Leaving if it takes no new work.
	MayHold, Leaving bool
}

const (
	// beatsPerLease is the number of renewals in a lease.
	beatsPerLease = 3
	// lastResort is the time after a window's end at which it is sealed without the counts of
	// most of the fleet. Instances keep their counts until LateLimit.
	lastResort = LateLimit - 5*time.Second
	// minHeardTimeout is the least time for which a push counts as contact, and heardPeriods the
	// number of periods of pushes.
	minHeardTimeout = 6 * time.Second
	heardPeriods    = 3
	// retryInterval is the time between two attempts of a call or of a write.
	retryInterval = time.Second
	// maxParts bounds the number of counts in Record.Parts. An object may have 1 MB, and a
	// count takes about 20 bytes.
	maxParts = 20000
)

// pushed is what a run has pushed.
type pushed struct {
	seq     uint64
	at      time.Time
	offset  time.Duration // the run's wall clock minus this instance's clock
	current uint64
	windows map[uint64]Counts
}

// Gatherer is the state of one instance as the gatherer or as a possible successor. Times are
// those of a clock that never jumps. It is not safe for concurrent use.
type Gatherer struct {
	o     Options
	fleet Fleet
	runs  map[string]*pushed

	record Record         // the newest content known
	at     lease.StoredAt // where it is stored; revision 0 if the era has no object yet
	known  bool           // the object was read
	seenAt time.Time      // when the object was first seen at this place
	readAt time.Time      // when a read was last started
	// renewedAt is when the object was last seen to have been written by another instance.
	renewedAt time.Time
	owns      bool
	valid     time.Time // the end of the own lease
	sentAt    time.Time // when a write was last started
	pending   Record    // the record of that write, with a Beat that no other write of this run has
	refused   uint64    // the highest own token that the platform refused
	maxToken  uint64    // the highest token known
	eras      map[uint64]bool
	started   time.Time
	doubt     bool // the outcome of the last write is not known

	confirmed map[uint64]bool // windows whose report was accepted, while they are in record.Open
	calling   bool
	calledAt  time.Time
}

// NewGatherer returns the state of an instance that started at a time and holds nothing.
func NewGatherer(o Options, started time.Time) *Gatherer {
	return &Gatherer{
		o: o, runs: make(map[string]*pushed), confirmed: make(map[uint64]bool),
		eras: make(map[uint64]bool), started: started,
	}
}

// SetFleet replaces what is known about the other instances, and forgets runs that have pushed
// nothing for so long that their counts are in no window that can still be reported.
func (g *Gatherer) SetFleet(now time.Time, f Fleet) {
	g.fleet = f
	maps.DeleteFunc(g.runs, func(_ string, p *pushed) bool { return now.Sub(p.at) > 2*LateLimit })
}

// HandlePush takes over the counts of a run.
func (g *Gatherer) HandlePush(now time.Time, p Push) {
	r := g.runs[p.Run]
	if r == nil {
		r = &pushed{}
		g.runs[p.Run] = r
	}
	if p.Seq <= r.seq && g.o.without != guardSeq {
		return
	}
	r.seq, r.at, r.offset, r.current = p.Seq, now, time.Unix(0, p.Wall).Sub(now), p.Current
	r.windows = p.Windows
}

// LeaseEnd returns the end of the own lease. A call of the platform must not last longer: the
// successor counts the time in which it may still be carried out from there.
func (g *Gatherer) LeaseEnd() time.Time { return g.valid }

// Settled returns the first window whose counts may still be needed.
func (g *Gatherer) Settled() uint64 {
	if !g.owns {
		return 0
	}
	first := g.record.Next
	for _, r := range g.record.Open {
		if !g.confirmed[r.Window] {
			first = min(first, r.Window)
		}
	}
	return first
}

// Holder returns the address of the instance that reports and its token, as far as this one
// knows. The address is "" if that instance does not renew its record.
func (g *Gatherer) Holder(now time.Time) (address string, token uint64) {
	if g.owns && now.Before(g.valid) {
		return g.o.Address, g.record.Token
	}
	return "", g.maxToken
}

// Renewing returns the address and the token of another instance that was seen to renew the
// object during the last lease, or "". An instance that was cut off finds the holder by it.
func (g *Gatherer) Renewing(now time.Time) (address string, token uint64) {
	if g.owns || g.renewedAt.IsZero() || now.Sub(g.renewedAt) >= g.o.Lease {
		return "", 0
	}
	return g.record.Machine, g.record.Token
}

// LearnToken records a token that another instance holds.
func (g *Gatherer) LearnToken(token uint64) { g.maxToken = max(g.maxToken, token) }

// ReadDue reports whether the object should be read, and records the attempt. An instance that
// does not hold the record reads it only if it may come to hold it.
func (g *Gatherer) ReadDue(now time.Time) bool {
	due := g.doubt || !g.owns && g.fleet.MayHold
	if !due || !g.readAt.IsZero() && now.Sub(g.readAt) < retryInterval {
		return false
	}
	g.readAt = now
	return true
}

// Observe takes over the object as read from the store. The record is the newest in the store
// and belongs to the given era; at has the store's present era, and revision 0 if that era has
// no object yet.
func (g *Gatherer) Observe(now time.Time, r Record, era uint64, at lease.StoredAt) {
	if !g.known || at != g.at {
		g.seenAt = now
	}
	if g.known && at != g.at && r.Run != g.o.Run {
		g.renewedAt = now
	}
	g.eras[at.Era] = true
	g.at, g.known, g.doubt = at, true, false
	g.maxToken = max(g.maxToken, r.Token)
	switch {
	case at.Revision == 0 && g.owns && now.Before(g.valid.Add(g.settleTime())):
		// The store came back from a copy. No successor can have waited long enough since this
		// instance renewed its record, so its memory is the newest state.
	case era == at.Era && at.Revision > 0 && r.Run == g.o.Run && r.Token > g.refused && (g.owns || r.Beat == g.pending.Beat):
		g.owns, g.record = true, r
		if r.Beat == g.pending.Beat {
			g.valid = g.sentAt.Add(g.o.Lease) // the write took effect although its answer was lost
		}
	default:
		g.owns, g.record = false, r
	}
}

// FailWrite records that a write was refused or got no answer. The object is read before the
// next write.
func (g *Gatherer) FailWrite() { g.doubt = g.o.without != guardDoubt }

// takeoverWait returns the time for which the object must have stayed the same before another
// instance may take it: the lease, and where the platform accepts any token, the time in which
// a call of the holder may still be carried out.
func (g *Gatherer) takeoverWait() time.Duration {
	wait := lease.AddClockMargin(g.o.Lease)
	if g.o.without == guardWait {
		return 0
	}
	return wait + g.settleTime()
}

// settleTime is the time after the end of a lease within which a call that got no answer may
// be carried out. With fencing it makes no difference.
func (g *Gatherer) settleTime() time.Duration {
	if !g.o.Unfenced || g.o.without == guardSettle {
		return 0
	}
	return g.o.Lease
}

// PrepareWrite returns the record to write if a write is due: a takeover, a renewal or the
// sealing of windows. Fleet is the fleet clock. One write is under way at a time; the caller
// ends it with ConfirmWrite or FailWrite.
func (g *Gatherer) PrepareWrite(now, fleet time.Time) (r Record, at lease.StoredAt, due bool) {
	if !g.known || g.doubt {
		return r, at, false
	}
	if g.owns {
		r, due = g.renewal(now, fleet)
	} else {
		r, due = g.takeover(now, fleet)
	}
	if due {
		r.Beat = max(g.record.Beat, g.pending.Beat) + 1
		g.sentAt, g.pending = now, r
	}
	return r, g.at, due
}

// takeover returns the record with which this instance takes over.
func (g *Gatherer) takeover(now, fleet time.Time) (Record, bool) {
	if !g.fleet.MayHold || !g.hasMost(now) || now.Sub(g.seenAt) < g.takeoverWait() {
		return Record{}, false
	}
	r := g.record
	first := r.Token == 0 && g.maxToken == 0 && len(g.eras) == 1
	if r.Next == 0 {
		r.Next = WindowAt(fleet.Add(g.started.Sub(now)), g.o.Window)
	}
	if g.at.Revision == 0 && !first && g.o.without != guardRestored {
		// The store came back from a copy, and the windows that were sealed since are not
		// known. A window that has begun may be one of them.
		r.Next = max(r.Next, WindowAt(fleet, g.o.Window)+1)
	}
	r.Token = lease.NextNumber(max(r.Token, g.maxToken), g.at.Era)
	r.Holder, r.Run, r.Machine = g.o.Name, g.o.Run, g.o.Address
	r.Open = g.unreported(r, fleet)
	return r, true
}

// renewal returns the next record of the holder.
func (g *Gatherer) renewal(now, fleet time.Time) (Record, bool) {
	r := g.record
	r.Open = g.unreported(r, fleet)
	r.Next = max(r.Next, WindowAt(fleet.Add(-LateLimit-g.o.Window), g.o.Window))
	sealed := false
	for end := WindowEnd(r.Next, g.o.Window); g.canSeal(now, fleet, r.Next); end = WindowEnd(r.Next, g.o.Window) {
		if fleet.Sub(end) < LateLimit {
			r.Open, sealed = append(r.Open, g.seal(r.Next)), true
		}
		r.Next++
	}
	if !sealed && (now.Sub(g.sentAt) < g.o.Lease/beatsPerLease || !g.hasMost(now) || g.fleet.Leaving) {
		return r, false
	}
	if g.o.without != guardParts {
		r.Parts = g.parts(r.Next)
	}
	return r, true
}

// unreported returns the sealed windows of a record that are still to be reported.
func (g *Gatherer) unreported(r Record, fleet time.Time) []Report {
	return slices.DeleteFunc(slices.Clone(r.Open), func(r Report) bool {
		return g.confirmed[r.Window] || fleet.Sub(WindowEnd(r.Window, g.o.Window)) >= LateLimit
	})
}

// canSeal reports whether a window may be sealed: all known instances have completed it, or
// the time for that is over.
func (g *Gatherer) canSeal(now, fleet time.Time, window uint64) bool {
	late := fleet.Sub(WindowEnd(window, g.o.Window))
	switch {
	case late < 0:
		return false
	case g.lacking(window) == 0:
		return true
	case late >= lastResort:
		return true
	}
	wait := g.o.Delay / 2
	if float64(g.lacking(window)) > g.o.Off*float64(len(g.fleet.Runs)) {
		// The report would be wrong, for example during a partition. Two seconds are left for
		// the write, the call and one repetition at a delay of 10 s.
		wait = g.o.Delay * 4 / 5
	}
	return late >= wait && g.hasMost(now)
}

// lacking returns the number of known instances that have not completed a window.
func (g *Gatherer) lacking(window uint64) int {
	n := 0
	for _, id := range g.fleet.Runs {
		if r := g.runs[id]; r == nil || r.current <= window {
			n++
		}
	}
	return n
}

// total returns the number of requests of all teams.
func (c Counts) total() (n uint64) {
	for _, k := range c {
		n += k
	}
	return n
}

// countsOf returns the counts of each run in a window: what the run pushed to this instance or
// what the record has, whichever is more, since either may be older.
func (g *Gatherer) countsOf(window uint64) map[string]Counts {
	out := make(map[string]Counts)
	for run, windows := range g.record.Parts {
		if c := windows[window]; c != nil {
			out[run] = c
		}
	}
	for run, p := range g.runs {
		if c := p.windows[window]; c != nil && c.total() >= out[run].total() {
			out[run] = c
		}
	}
	return out
}

// seal returns the report of a window.
func (g *Gatherer) seal(window uint64) Report {
	r := Report{Window: window, Counts: make(Counts), Lacking: g.lacking(window)}
	for _, team := range g.fleet.Teams {
		r.Counts[team] = 0
	}
	counts := g.countsOf(window)
	for _, id := range g.fleet.Runs {
		if p := g.runs[id]; p != nil && p.current > window && counts[id] == nil {
			r.From++
		}
	}
	for _, counts := range counts {
		r.From++
		for team, n := range counts {
			r.Counts[team] += n
		}
	}
	return r
}

// parts returns the counts of all runs from a window on, or only those of this run if they are
// too many for an object.
func (g *Gatherer) parts(from uint64) map[string]map[uint64]Counts {
	windows := make(map[uint64]bool)
	for _, w := range g.record.Parts {
		for k := range w {
			windows[k] = true
		}
	}
	for _, p := range g.runs {
		for k := range p.windows {
			windows[k] = true
		}
	}
	out := make(map[string]map[uint64]Counts)
	size := 0
	for w := range windows {
		if w < from {
			continue
		}
		for run, counts := range g.countsOf(w) {
			if out[run] == nil {
				out[run] = make(map[uint64]Counts)
			}
			out[run][w] = counts
			size += len(counts)
		}
	}
	if size > maxParts {
		maps.DeleteFunc(out, func(run string, _ map[uint64]Counts) bool { return run != g.o.Run })
	}
	return out
}

// ConfirmWrite takes over a record that was written at the given time. It returns the number of
// windows that the record gives up, and the first of them.
func (g *Gatherer) ConfirmWrite(now, sent time.Time, r Record, at lease.StoredAt) (first uint64, givenUp int) {
	if at.Era != g.at.Era {
		g.doubt = true // the store came back from a copy before the write
		return 0, 0
	}
	first, givenUp = g.givenUp(r)
	g.owns, g.record, g.pending, g.at, g.seenAt = r.Token > g.refused, r, r, at, now
	g.valid, g.maxToken = sent.Add(g.o.Lease), max(g.maxToken, r.Token)
	maps.DeleteFunc(g.confirmed, func(w uint64, _ bool) bool {
		return !slices.ContainsFunc(r.Open, func(o Report) bool { return o.Window == w })
	})
	for _, p := range g.runs {
		maps.DeleteFunc(p.windows, func(w uint64, _ Counts) bool { return w < r.Next })
	}
	return first, givenUp
}

// givenUp returns the number of windows that were to be reported by the present record and are
// no more by the next one, and the first of them.
func (g *Gatherer) givenUp(next Record) (first uint64, n int) {
	open := func(w uint64) bool {
		return slices.ContainsFunc(next.Open, func(r Report) bool { return r.Window == w })
	}
	for _, r := range g.record.Open {
		if !g.confirmed[r.Window] && !open(r.Window) {
			if n++; n == 1 {
				first = r.Window
			}
		}
	}
	if g.record.Next == 0 || next.Next <= g.record.Next {
		return first, n
	}
	kept := 0
	for _, r := range next.Open {
		if r.Window >= g.record.Next {
			kept++
		}
	}
	skipped := int(next.Next-g.record.Next) - kept
	if skipped > 0 && n == 0 {
		first = g.record.Next
	}
	return first, n + skipped
}

// CallDue returns the report to send next, with the token to send it under. At most one call is
// under way.
func (g *Gatherer) CallDue(now, fleet time.Time) (r Report, token uint64, due bool) {
	if !g.owns || g.calling || !now.Before(g.valid) && g.o.without != guardValid || !g.calledAt.IsZero() && now.Sub(g.calledAt) < retryInterval {
		return r, 0, false
	}
	open := g.unreported(g.record, fleet)
	if len(open) == 0 {
		return r, 0, false
	}
	g.calling, g.calledAt = true, now
	if g.o.without == guardSealed {
		return g.seal(open[0].Window), g.record.Token, true
	}
	return open[0], g.record.Token, true
}

// HandleOutcome processes the outcome of a call.
func (g *Gatherer) HandleOutcome(window, token uint64, o Outcome) {
	g.calling = false
	switch {
	case o == Accepted:
		g.confirmed[window] = true
		g.calledAt = time.Time{}
	case o == Refused && g.owns && g.record.Token == token && g.o.without != guardRefused:
		g.refused, g.owns, g.known = token, false, false
	}
}

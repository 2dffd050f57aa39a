package cluster

// This file holds the freshness rule. It decides whether an instance may serve
// protected routes, that is, whether a key that has been withdrawn could still be
// in force here.
//
// A confirmation (revision r, time t) says that no revision above r was accepted
// before t. It therefore also holds for every revision above r. An outage report
// (watcher w, time t) says that at time t the most recent store call of w had
// failed. Responses carry both as ages. The receiver counts an age from the time it
// sent its request, which can only overstate the age.
//
// The rule gives this bound. Let a revision be accepted at time W, let a watcher of
// some failure domain that is in read the new head at time A ≥ W, and let F be
// FreshnessBound. From A on, that watcher's outage reports travel together with the
// file list of the new revision, and an outage does not permit an instance to serve
// while it knows a newer revision than its own. An instance without the new revision
// therefore serves until max(W, A) + F at the latest. The failure cases:
//
//   - The store is down and a whole failure domain is cut off or lost: its outage
//     reports are missing, so protected routes stop. This is safe but unavailable.
//   - The store accepts a change while it responds to no watcher: no instance can
//     learn of the change, and the rule sees a general outage. A is then the time
//     of the first response to a watcher.
//   - The watcher that read the head is lost, or cut off from all peers, before it
//     relays the revision, and the store goes down again: as in the case before.
//   - An instance rejects a revision, for example because its build does not know a
//     new setting: it stops protected routes after F, because its own revision is no
//     longer confirmed.

import (
	"slices"
	"time"
)

// FreshnessBound is the age up to which a confirmation or an outage report counts. It
// is F in the description of the freshness rule.
const FreshnessBound = 5 * time.Second

// maxAge is the greatest age that counts by the local clock. It is FreshnessBound less
// 2%, because each of two monotonic clocks may run up to 1% fast or slow.
const maxAge = FreshnessBound * 98 / 100

// Reason says why an instance may or may not serve protected routes.
type Reason string

// The reasons of a Verdict.
const (
	ReasonConfirmed    Reason = "confirmed"    // the revision in force was confirmed within FreshnessBound
	ReasonOutage       Reason = "outage"       // every failure domain that is in reports that the store is out of reach
	ReasonStale        Reason = "stale"        // neither of the above; protected routes stop
	ReasonUnconfigured Reason = "unconfigured" // no configuration is in force
)

// Verdict is the result of the freshness rule.
type Verdict struct {
	// Serve tells whether protected routes may be served.
	Serve  bool
	Reason Reason
	// Age is the time since the last confirmation, or negative if there was none.
	Age time.Duration
	// Missing lists the failure domains that lack an outage report of a watcher, so
	// that the rule cannot conclude that there is a general outage.
	Missing []string
}

// outageReport is the latest report of a watcher that its store call failed.
type outageReport struct {
	domain string
	at     time.Time
}

// Freshness holds what one instance knows about the freshness of its configuration.
type Freshness struct {
	installed   uint64 // the revision in force
	newest      uint64 // the newest revision that is known to exist
	confirmedAt time.Time
	pending     map[uint64]time.Time    // confirmations of revisions that are not in force yet
	reports     map[string]outageReport // by watcher
}

// maxPending bounds the confirmations that are kept until their revision comes into
// force.
const maxPending = 16

// SetInstalled notes that a revision has come into force here. A lower revision than
// the current one is ignored.
func (f *Freshness) SetInstalled(revision uint64) {
	f.installed = max(f.installed, revision)
	f.NoteRevision(revision)
	for r, at := range f.pending {
		if r <= f.installed {
			delete(f.pending, r)
			f.AddConfirmation(r, at)
		}
	}
}

// NoteRevision notes that a revision exists. An outage does not permit an instance
// without that revision to serve, since the revision may withdraw a key.
func (f *Freshness) NoteRevision(revision uint64) { f.newest = max(f.newest, revision) }

// AddConfirmation notes that at the given time no higher revision than this one had
// been accepted. Revision 0 means that there is no confirmation.
func (f *Freshness) AddConfirmation(revision uint64, at time.Time) {
	switch {
	case revision == 0:
	case revision <= f.installed:
		if at.After(f.confirmedAt) {
			f.confirmedAt = at
		}
	case len(f.pending) < maxPending || !f.pending[revision].IsZero():
		if f.pending == nil {
			f.pending = map[uint64]time.Time{}
		}
		if at.After(f.pending[revision]) {
			f.pending[revision] = at
		}
	}
}

// AddOutageReport notes a watcher's outage report. The report arrives with the
// newest revision that the watcher and each relaying peer knew, and that revision
// was passed to NoteRevision. A watcher's report therefore never permits an instance
// to serve without a revision that the watcher had read.
func (f *Freshness) AddOutageReport(watcher, domain string, at time.Time) {
	if f.reports == nil {
		f.reports = map[string]outageReport{}
	}
	if at.After(f.reports[watcher].at) {
		f.reports[watcher] = outageReport{domain, at}
	}
}

// Verdict applies the freshness rule. It takes the store for unreachable only if every
// watcher of every failure domain that is in has reported an outage, because a
// watcher that reaches the store may know a newer revision.
func (f *Freshness) Verdict(now time.Time, view View) Verdict {
	verdict := Verdict{Age: -1}
	if f.installed == 0 {
		verdict.Reason = ReasonUnconfigured
		return verdict
	}
	if !f.confirmedAt.IsZero() {
		verdict.Age = now.Sub(f.confirmedAt)
		if verdict.Age <= maxAge {
			verdict.Serve, verdict.Reason = true, ReasonConfirmed
			return verdict
		}
	}
	for _, domain := range view.InDomains() {
		watchers := view.Watchers(domain)
		if len(watchers) == 0 || slices.ContainsFunc(watchers, func(w string) bool {
			r, ok := f.reports[w]
			return !ok || now.Sub(r.at) > maxAge
		}) {
			verdict.Missing = append(verdict.Missing, domain)
		}
	}
	if len(view.InDomains()) > 0 && len(verdict.Missing) == 0 && f.newest <= f.installed {
		verdict.Serve, verdict.Reason = true, ReasonOutage
		return verdict
	}
	verdict.Reason = ReasonStale
	return verdict
}

// dropOldReports removes outage reports that are too old for the freshness rule.
func (f *Freshness) dropOldReports(now time.Time) {
	for w, r := range f.reports {
		if now.Sub(r.at) > 2*FreshnessBound {
			delete(f.reports, w)
		}
	}
}

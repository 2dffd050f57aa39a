// Package load applies open-loop load with one fault to a deployment and measures
// what callers experience. Arrivals follow a schedule that is drawn before the run, and
// latency counts from the planned arrival, so that a stalled system cannot hide
// its delays by slowing the load down.
package load

import (
	"time"

	"github.com/zeebo/errs"

	"burdockseam/core/wal"
	"burdockseam/io/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("load")

// Kind is a kind of request.
type Kind string

// The kinds of requests.
const (
	KindRead        Kind = "read"
	KindWrite       Kind = "write"
	KindKeyed       Kind = "keyed" // a write with an idempotency key, retried while its outcome is unknown
	KindTransaction Kind = "pair"  // a transaction with two writes and a read
)

// Outcome is what a caller knows about a request.
type Outcome string

// The outcomes of requests.
const (
	OutcomeDone    Outcome = "done"    // succeeded
	OutcomeNotRun  Outcome = "notrun"  // certainly without effect
	OutcomeUnknown Outcome = "unknown" // may have run
	OutcomeFailed  Outcome = "failed"  // rejected by the database
)

// Event is one request and its outcome.
type Event struct {
	Kind            Kind
	Team, Group, ID string
	// Planned is the scheduled arrival, Sent the time at which the caller began, and
	// Completed the time of the response.
	Planned, Sent, Completed time.Time
	Outcome                  Outcome
	Reason                   string // why the outcome is not done
	// Position is the position of the group in the session's token after the request.
	Position wal.Position
	// Statements is the number of statements that were admitted.
	Statements int
	// Stale is set if a read missed a row that it had to see, Foreign if a response
	// contained a row that was not requested, and Mixed if a transaction did not see
	// exactly the two rows that it had inserted.
	Stale, Foreign, Mixed bool
}

// Latency is the time from the planned arrival to the response.
func (e Event) Latency() time.Duration { return e.Completed.Sub(e.Planned) }

// Promise is a property that must always hold. Its value describes a violation.
type Promise string

// The promises, in the order of the design page.
const (
	StaleReads          Promise = "stale reads"
	OldPrimaryAcks      Promise = "acknowledgements by an old primary"
	MixedTransactions   Promise = "mixed transactions"
	WrongTeamWork       Promise = "work for a wrong team's key"
	KeysAtUpstreams     Promise = "keys seen at upstreams"
	WithdrawnKeyWork    Promise = "work of a withdrawn key after the bound"
	ExcessAdmissions    Promise = "admissions over rate and burst"
	OutDomainWork       Promise = "work in a failure domain that is out"
	ForeignAnswers      Promise = "answers that belong to another request"
	FalseNotRun         Promise = "false notrun"
	DoubledWrites       Promise = "doubled writes"
	LostWrites          Promise = "lost writes"
	LeavingUpstreamWork Promise = "work at a leaving upstream"
	CutRequests         Promise = "requests cut at graceful shutdown"
	RevertedRevisions   Promise = "reverted revisions"
	LateRevisions       Promise = "revisions late or lost"
)

// Promises lists all promises.
var Promises = []Promise{
	StaleReads, OldPrimaryAcks, MixedTransactions, WrongTeamWork, KeysAtUpstreams, WithdrawnKeyWork, ExcessAdmissions, OutDomainWork, ForeignAnswers,
	FalseNotRun, DoubledWrites, LostWrites, LeavingUpstreamWork, CutRequests, RevertedRevisions, LateRevisions,
}

// Bounds after which a change must be in force.
const (
	// KeyBound is the time after which a withdrawn key must not work: the freshness bound
	// of the design page (5 s) plus one second for a statement in progress.
	KeyBound = 6 * time.Second
	// OutOfServiceBound is the time after which a failure domain that is out of service
	// or an upstream that is leaving gets no new work.
	OutOfServiceBound = 5 * time.Second
	// RevisionBound is the time within which a revision must be in force at every instance.
	RevisionBound = 15 * time.Second
)

// Evidence holds what the stand-ins contain after the faults have ended.
type Evidence struct {
	// BookingRows and PairRows are the rows (id, value) of the surviving primaries, by group.
	BookingRows, PairRows map[string][][]string
	// Logs are the logs of the surviving primaries, by group.
	Logs map[string][]wal.Position
	// UpstreamTexts holds the texts that upstreams have received, and Secrets those
	// that they must not receive.
	UpstreamTexts, Secrets []string
	Teams                  []fleet.Team
}

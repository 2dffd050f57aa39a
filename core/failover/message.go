// Package failover keeps a database group writable when its primary is lost, without
// losing an acknowledged write.
//
// It has three parts. AckTracker decides when a write is acknowledged. Detector decides
// from one observer's polls and from other observers' suspicions whether the primary is
// lost. Coordinator moves the group to a new term: it claims the term in the store, fences
// a majority of the upstreams, chooses the upstream with the highest position, records it
// in the store, promotes it, makes the others follow and announces the result.
//
// Where the platform promotes upstreams on an order, OrderedPromotion takes the place of
// Detector and Coordinator; see ordered.go.
//
// # Why no acknowledged write is lost
//
// A write (t, p) is acknowledged once a majority reported log term t, offset ≥ p and
// fenced term t. A promotion to t' > t fences a majority at t' before it chooses a
// primary, so one upstream U of the first majority is in the second, and U's report
// preceded its fence. U then answers the fence with a position ≥ (t, p), and the chosen
// position is at least U's. This needs three properties of the upstreams: the fenced term
// never decreases; an upstream fenced at t' accepts no statement, replication or promotion
// of a lower term; and an upstream reports log term t' only once its log contains
// everything up to the start of t'.
//
// # Contract with the adapter
//
// This package performs no input or output. The adapter, which is the code that uses the
// package, calls a method, performs each returned Request and passes each result back:
//
//   - KindGet and KindPut go to the store; the answer is a StoreResult with the request's
//     ID, passed to Coordinator.HandleStore. A changed group object seen by a watch is
//     passed to the same method as a KindGet result.
//   - KindStatus, KindFence, KindPromote and KindFollow go to the upstream's control
//     functions; the answer is an UpstreamResult. The adapter passes every answer with a
//     status, whatever its kind, to Coordinator.HandleUpstream and to
//     Detector.HandleUpstream, and to AckTracker.HandleStatus at the primary's gateway.
//   - KindDrain and KindRelease go to the gateway of Request.Upstream. A gateway ends a
//     drain by itself after DrainLimit, or when it learns of a newer term.
//   - KindAnnounce is sent once to the peers that observe the group. It spares them the
//     delay of the watch, and replaces the watch while the store is out. The peers pass
//     Group and Version to Coordinator.HandleStore as a KindGet result.
//
// Results may be lost, late, duplicated or reordered. A request whose result does not
// arrive is sent again with backoff, so the adapter does not retry by itself; it reports a
// failure or a timeout with the Failure field, or not at all. Begun must be the time at
// which the adapter sent the request, never a later time.
//
// A store answer is FailureConflict only if the store said that the version did not match.
// Any doubt is FailureLost: the change may have taken effect or may do so later.
//
// After each call to the Coordinator, the adapter passes Coordinator.Group on to
// Detector.SetGroup, AckTracker.SetGroup and the route table. It calls Tick of all three
// parts at least every 100 ms. Each value is used by one goroutine at a time.
package failover

import (
	"time"

	"burdockseam/core/wal"
)

// Kind is the operation that a Request asks for.
type Kind string

// The kinds of requests.
const (
	KindGet      Kind = "get"      // read the group object
	KindPut      Kind = "put"      // conditional update of the group object
	KindStatus   Kind = "status"   // group_status
	KindFence    Kind = "fence"    // group_fence
	KindPromote  Kind = "promote"  // group_promote
	KindFollow   Kind = "follow"   // group_follow
	KindDrain    Kind = "drain"    // hold new writes, end running ones, then read the status
	KindRelease  Kind = "release"  // release held writes
	KindAnnounce Kind = "announce" // send the group to the observing peers
)

// Request is an operation for the adapter to perform.
type Request struct {
	// ID is repeated in the result. The control functions of upstreams need no ID, since a
	// status is valid whatever request it answers. A gateway ignores a release whose ID is not
	// that of its drain.
	ID       string
	Kind     Kind
	Upstream string
	// Term is the term to fence, promote or follow in, or to drain.
	Term uint64
	// Start is the offset at which Term begins, for KindPromote.
	Start uint64
	// Primary is the upstream to follow, for KindFollow.
	Primary string
	// Cut is the number of log entries that the upstream drops when it follows. These entries
	// were never acknowledged; the adapter logs the number.
	Cut uint64
	// Offset is the offset to wait for, and Wait the longest wait, for KindStatus.
	Offset uint64
	Wait   time.Duration
	// Group is the value for KindPut and KindAnnounce. KindFollow uses its history.
	Group Group
	// IfVersion is the version that the group object must have for KindPut, 0 for an absent
	// object.
	IfVersion uint64
	// Version is the version of Group, for KindAnnounce.
	Version uint64
}

// Failure says why a request gave no result.
type Failure string

// The failures.
const (
	FailureNone     Failure = ""
	FailureLost     Failure = "lost"     // no answer; the request may have taken effect or may do so later
	FailureConflict Failure = "conflict" // the group object has another version; nothing was changed
	FailureRefused  Failure = "refused"  // the upstream is fenced at a higher term; the status is valid
)

// StoreResult answers KindGet or KindPut.
type StoreResult struct {
	ID      string
	Kind    Kind
	Failure Failure
	// Version is the version of the group object after the call, 0 if the object is absent.
	Version uint64
	// Group is the value that KindGet or a watch read.
	Group Group
}

// Role is an upstream's role.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Status is what an upstream reports about itself.
type Status struct {
	Role Role
	// Fenced is the highest term that the upstream was fenced at; it rejects lower terms.
	Fenced uint64
	// Position is the end of the upstream's log. Its term is the newest term whose
	// start the log contains.
	Position wal.Position
}

// Serves reports whether the status is that of the working primary of a term.
func (s Status) Serves(term uint64) bool {
	return s.Role == RolePrimary && s.Fenced == term && s.Position.Term == term
}

// UpstreamResult answers a request to an upstream or to its gateway. A KindDrain is answered
// with the primary's status after the last running transaction has ended and the last write
// was acknowledged or reported as unknown.
type UpstreamResult struct {
	ID       string // ID of the request, for KindDrain and KindRelease
	Kind     Kind
	Upstream string
	// Begun is when the request was sent, by the clock of the instance that receives the
	// result.
	Begun   time.Time
	Failure Failure
	// Status is valid if Failure is FailureNone or FailureRefused.
	Status Status
}

// hasStatus reports whether Status is valid.
func (r UpstreamResult) hasStatus() bool {
	return r.Failure == FailureNone || r.Failure == FailureRefused
}

// Member is an upstream of the group.
type Member struct {
	Name   string
	Domain string
	// Eligible is set if the upstream is active and its failure domain is in.
	Eligible bool
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }

// Package lease implements leases by which one instance owns a shard. Standbys in
// other failure domains keep promising the owner not to take the lease over. The
// object in the store changes only when the owner or a standby changes, so a store
// outage does not end a lease. Member implements this for one instance and shard.
//
// Safety rests on four rules:
//
//   - The owner acts only while every standby of the lease has promised in answer to
//     a request that the owner sent less than PromiseDuration ago.
//   - A standby takes over only by a conditional update of the object, at the
//     earliest PromiseDuration after its last promise. It makes no promise while the
//     outcome of that update is unknown.
//   - While the outcome of a change of standbys is unknown, the owner needs promises
//     from both the old and the new standbys.
//   - An instance refuses promise requests of an epoch lower than one it knows.
//
// StoreLease is a simpler lease, without standbys, that the owner renews in the store.
package lease

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("lease")

// PromiseDuration is the time for which a promise prevents a standby from taking over.
const PromiseDuration = time.Second

// clockMarginDivisor makes the margin 2%: monotonic clocks differ in rate by at most 1%,
// and the durations on both sides of a comparison may be off by that much.
const clockMarginDivisor = 50

// AddClockMargin lengthens a time to wait, so that it has passed on every clock.
func AddClockMargin(d time.Duration) time.Duration { return d + d/clockMarginDivisor }

// SubtractClockMargin shortens the validity of a right, so that it ends early on
// every clock.
func SubtractClockMargin(d time.Duration) time.Duration { return d - d/clockMarginDivisor }

// Instance identifies one incarnation of an instance; each restart gives it a new ID.
type Instance struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
}

// Lease is the content of the store object owner/SHARD.
type Lease struct {
	Shard    string     `json:"shard"`
	Owner    Instance   `json:"owner"`
	Standbys []Instance `json:"standbys"`
	// Epoch increases with each change of the owner.
	Epoch uint64 `json:"epoch"`
	// Op is the operation ID of the update that wrote this value.
	Op string `json:"op"`
}

// Encode returns the lease as JSON.
func (l Lease) Encode() ([]byte, error) {
	data, err := json.Marshal(l)
	return data, Error.Wrap(err)
}

// Decode parses a lease from JSON. It fails if the shard, the owner, the epoch or
// the operation ID is missing.
func Decode(data []byte) (Lease, error) {
	var l Lease
	if err := json.Unmarshal(data, &l); err != nil {
		return Lease{}, Error.Wrap(err)
	}
	if l.Shard == "" || l.Owner.ID == "" || l.Epoch == 0 || l.Op == "" {
		return Lease{}, Error.New("lease object lacks its shard, owner, epoch or operation ID: %q", data)
	}
	return l, nil
}

// HasStandby reports whether the instance with the ID is a standby of the lease.
func (l Lease) HasStandby(id string) bool { return l.standbyIndex(id) >= 0 }

// standbyIndex returns the position among the standbys of the instance with the ID, or -1.
func (l Lease) standbyIndex(id string) int {
	for i, s := range l.Standbys {
		if s.ID == id {
			return i
		}
	}
	return -1
}

// Kind distinguishes the messages between members.
type Kind string

// Kinds of messages.
const (
	RequestPromise Kind = "ask"     // owner to standby: asks for a promise not to take over
	Promise        Kind = "promise" // standby to owner: answers the RequestPromise with the same Seq
	Notice         Kind = "notice"  // tells an instance about a newer lease
	Release        Kind = "release" // owner to standby: the owner no longer acts
	Resign         Kind = "resign"  // standby to owner: asks to be replaced
)

// Message is sent between the members of a shard.
type Message struct {
	Kind     Kind
	Shard    string
	From, To string
	Epoch    uint64
	Seq      uint64
	// Lease and Version are the newest lease object that the sender knows.
	Lease   Lease
	Version uint64
}

// Method selects the operation of a store call.
type Method string

// Methods of store calls.
const (
	Get Method = "get"
	Put Method = "put"
)

// Call is a call to the store. A Put takes effect only if the object has the version
// IfVersion; with IfVersion 0 it creates the object.
type Call struct {
	ID        uint64
	Method    Method
	Key       string
	Value     []byte
	IfVersion uint64
}

// Status is the outcome of a store call.
type Status string

// Outcomes of store calls.
const (
	Done     Status = "done"
	Conflict Status = "conflict" // the object has another version
	Missing  Status = "missing"  // there is no such object
	Unknown  Status = "unknown"  // no answer; a Put may have taken effect
)

// Result is the answer to the Call with the same ID. Value and Version describe the
// object after the call.
type Result struct {
	ID      uint64
	Status  Status
	Value   []byte
	Version uint64
}

// Output lists the messages and store calls that the caller must send for a member.
type Output struct {
	Messages []Message
	Calls    []Call
}

// View is what an instance knows about the fleet, as input to its members.
type View struct {
	// Candidates are the live instances that may own the shard, in placement order.
	Candidates []Instance
	// IsListed reports whether the platform lists the instance with the ID. It is nil
	// while the platform's list may be stale.
	IsListed func(id string) bool
	// OwnerSilent is set while the owner leaves this instance's requests unanswered.
	OwnerSilent bool
}

// ChooseStandbys returns up to two standbys for the owner. It prefers candidates in
// failure domains that differ from the owner's and from each other's, then those in
// domains other than the owner's, then any. Within each class the order of the
// candidates decides.
func ChooseStandbys(owner Instance, candidates []Instance) []Instance {
	chosen := make([]Instance, 0, standbyCount)
	for _, allowed := range []func(Instance) bool{
		func(i Instance) bool {
			return i.Domain != owner.Domain && (len(chosen) == 0 || chosen[0].Domain != i.Domain)
		},
		func(i Instance) bool { return i.Domain != owner.Domain },
		func(Instance) bool { return true },
	} {
		for _, i := range candidates {
			if len(chosen) < standbyCount && i.ID != owner.ID && !containsInstance(chosen, i.ID) && allowed(i) {
				chosen = append(chosen, i)
			}
		}
	}
	return chosen
}

// standbyCount is the number of standbys of a complete lease.
const standbyCount = 2

func containsInstance(list []Instance, id string) bool {
	for _, i := range list {
		if i.ID == id {
			return true
		}
	}
	return false
}

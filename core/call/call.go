// Package call defines the requests that instances send to the gateway of an upstream,
// and its replies, for callers whose protocol states the kind of each statement.
package call

import (
	"time"

	"burdockseam/core/wal"
)

// Kind is the kind of a statement.
type Kind string

// The kinds of statements.
const (
	Begin      Kind = "begin"      // opens a transaction that may write
	BeginRead  Kind = "beginread"  // opens a transaction that only reads
	Commit     Kind = "commit"     // commits a transaction
	Rollback   Kind = "rollback"   // ends a transaction and discards its changes
	Read       Kind = "read"       // reads an item
	Write      Kind = "write"      // writes an item
	Set        Kind = "set"        // sets a session value
	Prepare    Kind = "prepare"    // prepares a named statement
	Execute    Kind = "execute"    // runs a prepared statement
	Deallocate Kind = "deallocate" // removes a prepared statement
	Malformed  Kind = "malformed"  // could not be parsed
)

// Statement is one statement of a caller.
type Statement struct {
	// ID is the id that the caller gave to the statement.
	ID   string
	Kind Kind
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the value of a Set.
	Value string
	// Shape is the statement that a Prepare defines or that an Execute runs.
	Shape string
	// Writes says that the statement of a Prepare or Execute is a write.
	Writes bool
	// Args are the arguments of an Execute, as the caller wrote them.
	Args string
}

// IsWrite reports whether the statement changes data.
func (s Statement) IsWrite() bool { return s.Kind == Write || s.Kind == Execute && s.Writes }

// Code says why a statement failed.
type Code string

// The codes. With Aborted and the codes marked "nothing ran", the statement had no effect.
const (
	OK         Code = ""
	Busy       Code = "busy"       // no capacity left; nothing ran
	Aborted    Code = "aborted"    // the transaction was rolled back
	Lagging    Code = "lagging"    // the upstream's log has not reached Request.After; nothing ran
	ReadOnly   Code = "readonly"   // the upstream is not the primary; nothing ran
	Misrouted  Code = "misrouted"  // the request reached another upstream or group than expected
	TooMany    Code = "toomany"    // the upstream accepts no further connection, or the session holds too much
	Unknown    Code = "unknown"    // no prepared statement has this name
	NoDatabase Code = "nodatabase" // no route has this name
	Denied     Code = "denied"     // the key gives no access to the route
	BadInput   Code = "badinput"   // the statement is malformed or not allowed in the session's state
	Failed     Code = "failed"     // the statement ran and failed
	Timeout    Code = "timeout"    // no answer in time; the statement may have run
	InDoubt    Code = "indoubt"    // it is not known whether a commit or a write took effect
	// Unreachable says that the gateway cannot reach the upstream; nothing ran. It is
	// used between instances only.
	Unreachable Code = "unreachable"
)

// Ran says whether the upstream ran a statement.
type Ran string

// What is known about whether a statement ran.
const (
	RanNo    Ran = "no"
	RanYes   Ran = "yes"
	RanMaybe Ran = "maybe" // it was sent, but no answer arrived
)

// State is the state of a session as the caller sees it.
type State string

// The states of a session.
const (
	Idle   State = "idle"   // outside a transaction
	Active State = "active" // in a transaction
	Broken State = "broken" // in a failed transaction
)

// Answer is an upstream's answer to a statement.
type Answer struct {
	Rows      []string
	Signature string
	Code      Code
	// Text is the error text that belongs to Code.
	Text  string
	State State
	// Position is the position of the upstream's log.
	Position wal.Position
}

// Value is a session value.
type Value struct{ Name, Data string }

// Open says which transaction the gateway opens before the statement of a request.
type Open string

// The kinds of transactions to open.
const (
	OpenNone  Open = ""
	OpenWrite Open = "write" // accepted by the primary only
	OpenRead  Open = "read"
	// OpenFence wraps a single read in a transaction that only the primary accepts, and
	// rolls the transaction back afterwards.
	OpenFence Open = "fence"
)

// Request asks the gateway of an upstream to run a statement.
type Request struct {
	// Group and Upstream name the target. Address is the upstream's address as the
	// requesting instance knows it, and Limit is the number of connections that the
	// upstream accepts.
	Group, Upstream, Address string
	Slots, Limit             int
	Team                     string
	// Session identifies the caller's transaction or, outside a transaction, the caller's
	// session.
	Session string
	// Inside says that Session has an open transaction at this gateway.
	Inside    bool
	Open      Open
	Statement Statement
	// After is the position that the upstream's log must have reached.
	After  wal.Position
	Values []Value
	// Budget is the time that is left until the answer is due.
	Budget time.Duration
	// Idle is the time after which a transaction without new statements may be ended.
	Idle time.Duration
	// Priority is the priority of the route. 0 is the most urgent.
	Priority int
	// Target is the time that is left until the operation should be done, or 0 if unknown.
	Target time.Duration
	// Born identifies the run of the upstream, by its start in Unix milliseconds, and Since is
	// the time for which the requesting instance has known this run. Born is 0 if unknown.
	Born  int64
	Since time.Duration
	// Adaptive is set if the gateway adapts the concurrency at the upstream to its answers.
	Adaptive bool
}

// Sample is a position that the primary's log had at a time at which the primary was
// proven to lead.
type Sample struct {
	Position wal.Position
	// Age is the time since the position was sampled, as the gateway measured it when it
	// replied.
	Age time.Duration
	// Before is a position that the log had before the statement was sent, or the zero position.
	Before wal.Position
}

// Reply answers a Request.
type Reply struct {
	Answer
	Ran Ran
	// Sample is set if the statement proved that the upstream leads.
	Sample *Sample
	// Load is the number of statements that wait for the upstream or run at it.
	Load int
	// Retry is the time after which it is worth retrying a refused statement.
	Retry time.Duration
	// Service is the typical time of a read at the upstream, and Failing the share of recent
	// requests that failed there, from 0 to 1. Pace is the number of statements that the
	// gateway allows the upstream at a time. They are 0 if the gateway does not measure them.
	Service time.Duration
	Failing float64
	Pace    int
}

// Refusal returns the reply to a request that was refused and did not run.
func Refusal(code Code, text string) Reply {
	return Reply{Ran: RanNo, Answer: Answer{Code: code, Text: text}}
}

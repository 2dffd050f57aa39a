// Package call holds what instances ask of the gateway of an upstream, and what it
// answers, for callers whose protocol names each statement's kind.
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
	Commit     Kind = "commit"     // ends a transaction
	Rollback   Kind = "rollback"   // ends a transaction and keeps nothing
	Read       Kind = "read"       // reads an item
	Write      Kind = "write"      // writes an item
	Set        Kind = "set"        // sets a session value
	Prepare    Kind = "prepare"    // names a statement
	Execute    Kind = "execute"    // runs a named statement
	Deallocate Kind = "deallocate" // forgets a named statement
	Malformed  Kind = "malformed"  // cannot be understood
)

// Statement is one statement of a caller.
type Statement struct {
	// ID is the caller's id of the statement.
	ID   string
	Kind Kind
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the name of a value or of a prepared statement.
	Name string
	// Value is the value of a Set.
	Value string
	// Shape is what a Prepare names, and what an Execute runs.
	Shape string
	// Writes says that a Prepare names a write, or that an Execute runs one.
	Writes bool
	// Args are the arguments of an Execute, as the caller wrote them.
	Args string
}

// IsWrite reports whether the statement changes data.
func (s Statement) IsWrite() bool { return s.Kind == Write || s.Kind == Execute && s.Writes }

// Code says why a statement failed.
type Code string

// The codes. Those that Kept lists promise that nothing was kept.
const (
	OK         Code = ""
	Busy       Code = "busy"       // no capacity; nothing ran
	Aborted    Code = "aborted"    // the transaction was rolled back
	Lagging    Code = "lagging"    // the log lacks the position asked for; nothing ran
	ReadOnly   Code = "readonly"   // the upstream does not lead; nothing ran
	Misrouted  Code = "misrouted"  // another upstream or group than expected
	TooMany    Code = "toomany"    // the upstream has no connection left
	Unknown    Code = "unknown"    // no prepared statement has this name
	NoDatabase Code = "nodatabase" // no route has this name
	Denied     Code = "denied"     // the key does not open the route
	BadInput   Code = "badinput"   // the statement cannot be understood, or not in this state
	Failed     Code = "failed"     // the statement ran and failed
	Timeout    Code = "timeout"    // no answer in time; the statement may have run
	InDoubt    Code = "indoubt"    // the outcome of a commit or a write is not known
	// Unreachable is used between instances only: the gateway cannot reach the
	// upstream, and nothing ran.
	Unreachable Code = "unreachable"
)

// Ran says whether the upstream has run a statement.
type Ran string

// What is known about a statement.
const (
	RanNo    Ran = "no"
	RanYes   Ran = "yes"
	RanMaybe Ran = "maybe" // sent, and no answer came
)

// State is the state of a session as the caller sees it.
type State string

// The states.
const (
	Idle   State = "idle"
	Active State = "active" // in a transaction
	Broken State = "broken" // in a transaction that failed
)

// Answer is an upstream's answer to a statement.
type Answer struct {
	Rows      []string
	Signature string
	Code      Code
	// Text goes with a code.
	Text  string
	State State
	// Position is the position of the upstream's log.
	Position wal.Position
}

// Value is a session value.
type Value struct{ Name, Data string }

// Open says which transaction a request opens before its statement.
type Open string

// The ways to open a transaction.
const (
	OpenNone  Open = ""
	OpenWrite Open = "write" // accepted by the primary only
	OpenRead  Open = "read"
	// OpenFence opens a transaction of the proxy's own around a single read, which is
	// accepted by the primary only, and rolls it back afterwards.
	OpenFence Open = "fence"
)

// Request asks the gateway of an upstream to run a statement.
type Request struct {
	// Group and Upstream say where; Address is the upstream's as the asking instance
	// knows it, and Limit the number of connections that it accepts.
	Group, Upstream, Address string
	Slots, Limit             int
	Team                     string
	// Session names the caller's transaction, or the caller's session outside one.
	Session string
	// Inside says that Session has an open transaction at this gateway.
	Inside    bool
	Open      Open
	Statement Statement
	// After is the position that the upstream's log must have reached.
	After  wal.Position
	Values []Value
	// Budget is the time left for the answer.
	Budget time.Duration
	// Idle is the time after which a transaction without statements may be ended.
	Idle time.Duration
}

// Sample is a position that the primary's log had at some time. The primary was
// proven to lead at that time.
type Sample struct {
	Position wal.Position
	// Age is the time since then, as the gateway measured it when it answered.
	Age time.Duration
}

// Reply answers a Request.
type Reply struct {
	Answer
	Ran Ran
	// Sample is set if the statement proved the upstream's leadership.
	Sample *Sample
	// Load is the number of statements that wait or run at the upstream.
	Load int
	// Retry is the time after which a refused statement is worth repeating.
	Retry time.Duration
}

// Refusal is the reply to a request that did not run.
func Refusal(code Code, text string) Reply {
	return Reply{Ran: RanNo, Answer: Answer{Code: code, Text: text}}
}

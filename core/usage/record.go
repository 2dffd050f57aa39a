package usage

// The store's object, and the options and outcomes of a Gatherer.

import "time"

// Options configure a Gatherer.
type Options struct {
	// Name is the instance's name across restarts, Run identifies its run, and Address is its
	// address for other instances.
	Name, Run, Address string
	// Window is the length of a window, Delay the time after its end by which the report is
	// due, and Lease the time for which a holder may act after it has renewed its record.
	Window, Delay, Lease time.Duration
	// Off is the share by which a report may differ from the truth.
	Off float64
	// Unfenced is set if the platform does not refuse low tokens.
	Unfenced bool
	// without is the guard that a test takes out, to show that the rules fail without it.
	without guard
}

// guard is a part of the algorithm that a rule depends on.
type guard string

// The guards that tests can take out.
const (
	guardWait     guard = "wait"     // a successor waits for the end of the lease
	guardSettle   guard = "settle"   // and, without fencing, for calls that are carried out late
	guardValid    guard = "valid"    // a holder calls only while its lease is valid
	guardSealed   guard = "sealed"   // a report is taken from the record
	guardRestored guard = "restored" // windows that a lost record may have are given up
	guardRefused  guard = "refused"  // a refused token is given up
	guardSeq      guard = "seq"      // older pushes of a run are ignored
	guardMedian   guard = "median"   // the fleet clock is a median
	guardParts    guard = "parts"    // counts that are not sealed yet are in the record
	guardDoubt    guard = "doubt"    // the record is read after a write without an answer
)

// Record is the content of the store's object. It belongs to one era of the store.
type Record struct {
	Token   uint64 `json:"token"`
	Holder  string `json:"holder"`
	Run     string `json:"run"`
	Machine string `json:"machine"`
	Beat    uint64 `json:"beat"`
	// Next is the first window that is neither sealed nor given up.
	Next uint64 `json:"next"`
	// Open are the sealed windows whose report has no confirmed answer.
	Open []Report `json:"open"`
	// Parts are the counts of the runs in the windows that are not sealed, so that they
	// outlive the gatherer and the runs.
	Parts map[string]map[uint64]Counts `json:"parts,omitempty"`
}

// Report is a sealed window.
type Report struct {
	Window uint64 `json:"window"`
	Counts Counts `json:"counts"`
	// From is the number of runs that completed the window or whose counts are included, and
	// Lacking the number of known instances that had not completed the window.
	From    int `json:"from"`
	Lacking int `json:"lacking,omitempty"`
}

// Outcome is the outcome of a call of the platform.
type Outcome string

// The outcomes of a call.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"  // a higher token was seen
	NoAnswer Outcome = "noanswer" // the call may still be carried out
)

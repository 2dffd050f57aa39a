package failover

// What an Ordered wants done, and what it is told of the results.

import "burdockseam/core/wal"

// Target names an upstream to whom control statements are sent.
type Target struct {
	Group, Upstream, Address string
	// Team is the team in whose name the connection opens.
	Team string
}

// Standing is what an upstream says about itself.
type Standing struct {
	Primary bool
	Term    uint64
	// Received is the position up to which its log has received the primary's.
	Received wal.Position
	// Paused is the term at which receiving is paused, or 0.
	Paused uint64
}

// Action is something that an Ordered wants done.
type Action string

// The actions.
const (
	ActionDraw   Action = "draw"   // draw a token from the store
	ActionHold   Action = "hold"   // stop new work at the old primary
	ActionFree   Action = "free"   // let it go on
	ActionSurvey Action = "survey" // ask a replica whether it leads
	ActionPause  Action = "pause"  // stop a replica from receiving
	ActionList   Action = "list"   // read the group's upstreams from the store
	ActionRaise  Action = "raise"  // show the platform a token without promoting anything
	ActionOrder  Action = "order"  // order the promotion of an upstream
)

// Command is an action on an upstream.
type Command struct {
	Action   Action
	Upstream string
	Term     uint64
	Token    uint64
}

// Candidate is an upstream of the group.
type Candidate struct {
	Upstream string
	// Unfit says that the upstream is leaving or its failure domain is out. It still
	// counts as a holder of commits, but is promoted only if nothing else is safe.
	Unfit bool
	// Distance orders equal candidates; the nearest is taken.
	Distance int
}

// Phase says what an Ordered is doing.
type Phase string

// The phases.
const (
	PhaseIdle   Phase = "idle"
	PhaseSurvey Phase = "survey" // wait until all replicas are reached, and a token is drawn
	PhaseHold   Phase = "hold"   // wait until the old primary has no running work
	PhasePause  Phase = "pause"  // wait until all replicas have paused
	PhaseList   Phase = "list"   // look for replicas that were not known
	PhaseOrder  Phase = "order"  // wait until the order is answered
)

// Response is the platform's answer to an order.
type Response string

// The responses.
const (
	ResponseDone    Response = "done"    // carried out, or nothing to do
	ResponseRefused Response = "refused" // the token is too low, or the upstream does not run
	ResponseUnknown Response = "unknown" // no answer; it may be carried out later
)

package failover

// The commands that an OrderedPromotion returns, and the types of their results.

import "burdockseam/core/wal"

// ControlTarget names an upstream to which control statements are sent.
type ControlTarget struct {
	Group, Upstream, Address string
	// Team is the team whose credentials open the connection.
	Team string
}

// ReplicationStatus is what an upstream of an ordered promotion reports about itself.
type ReplicationStatus struct {
	Primary bool
	Term    uint64
	// Received is the position up to which the upstream's log has received the primary's log.
	Received wal.Position
	// PausedTerm is the term for which receiving is paused, or 0.
	PausedTerm uint64
	// Led is set in the answer to a demotion if the upstream led right before.
	Led bool
}

// Action is a kind of Command.
type Action string

// The actions of an ordered promotion.
const (
	ActionDrawToken      Action = "draw"   // draw a fencing token from the store
	ActionHold           Action = "hold"   // hold new work at the old primary
	ActionRelease        Action = "free"   // let the old primary accept new work again
	ActionSurvey         Action = "survey" // ask a replica whether it is the primary
	ActionPause          Action = "pause"  // stop a replica from receiving the primary's log
	ActionFreeze         Action = "freeze" // let the gateways acknowledge no further commits of the term
	ActionListUpstreams  Action = "list"   // read the group's upstreams from the store
	ActionRaiseToken     Action = "raise"  // send the platform a token without a promotion
	ActionDemote         Action = "demote" // make the old primary a replica, and announce its successor
	ActionOrderPromotion Action = "order"  // order the promotion of an upstream from the platform
)

// Command is an action to perform, and the upstream, term and fencing token that it needs.
type Command struct {
	Action   Action
	Upstream string
	Term     uint64
	Token    uint64
}

// Candidate is an upstream of the group that may be promoted.
type Candidate struct {
	Upstream string
	// Ineligible is set if the upstream is leaving or its failure domain is out. The upstream
	// still counts as a holder of commits, but is promoted only if no eligible upstream has
	// received as much.
	Ineligible bool
	// Domain is the upstream's failure domain.
	Domain string
	// Distance breaks ties between equal candidates; the nearest is chosen.
	Distance int
}

// Phase is the state of an OrderedPromotion.
type Phase string

// The phases, in their order. PhaseHold belongs to a switchover only.
const (
	PhaseIdle   Phase = "idle"
	PhaseSurvey Phase = "survey" // wait until all replicas have answered and a token can be used
	PhaseHold   Phase = "hold"   // wait until the old primary has no running work
	PhasePause  Phase = "pause"  // wait until all replicas have paused
	PhaseList   Phase = "list"   // read the list of upstreams again, to find replicas that were not known
	PhaseDemote Phase = "demote" // wait until the old primary is demoted; only if the platform checks no tokens
	PhaseOrder  Phase = "order"  // wait until the platform answers the order
)

// OrderResponse is the platform's answer to an order.
type OrderResponse string

// The responses.
const (
	ResponseDone    OrderResponse = "done"    // carried out, or nothing to do
	ResponseRefused OrderResponse = "refused" // the token is too low, or the upstream does not run
	ResponseUnsent  OrderResponse = "unsent"  // the order was not sent
	ResponseUnknown OrderResponse = "unknown" // no answer; the platform may carry out the order later
)

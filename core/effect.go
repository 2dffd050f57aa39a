// Package core joins the decisions of one instance: membership, configuration,
// limits and failover. It is the narrow entry point for whoever drives them.
//
// A Node has no goroutine, socket, clock or global random source. Each method takes
// the present time, changes tables and returns Effects: messages for other
// instances, calls to the store and to upstreams, and decisions for requests that
// wait here. The driver performs them in any order, concurrently if it likes, and
// feeds the results back. A result that never comes is the same as a lost message.
//
// A Node is used by one goroutine at a time. Tick is to be called every
// TickInterval; a longer gap is taken for a pause of the process.
package core

import (
	"time"

	"github.com/zeebo/errs"

	"burdockseam/core/cluster"
	"burdockseam/core/failover"
	"burdockseam/core/lease"
	"burdockseam/core/quota"
	"burdockseam/core/wal"
)

// Error is the class of this package's errors.
var Error = errs.Class("core")

// TickInterval is the time between two calls of Tick.
const TickInterval = 50 * time.Millisecond

// Effects are what a step of a Node wants done.
type Effects struct {
	// Cluster has what the membership and the spread of the configuration need. A
	// cluster.Install among them has already taken effect in the Node.
	Cluster  []cluster.Effect
	Messages []Message
	Leases   []LeaseCall
	Groups   []GroupCall
	// Quota has the decisions for requests that waited for a token.
	Quota []quota.Decision
	// Settled has the writes that are acknowledged or whose outcome is unknown.
	Settled []Settled
	// Changed names the groups of which a new state is known, so that statements
	// that wait for one may try again.
	Changed []string
}

// Message goes to the instance with the given peer address. One of the pointers is set.
type Message struct {
	To    string
	Lease *lease.Message
	// Quota is answered with a quota.Reply, which goes to Node.QuotaReply.
	Quota *quota.Request
	// Ask is answered with a GroupView, which goes to Node.GroupReply.
	Ask *GroupAsk
	// Gateway is answered with a failover.UpstreamResult, which goes to Node.UpstreamResult.
	Gateway *GatewayCall
	// Announce needs no answer.
	Announce *Announce
}

// LeaseCall is a call to the store for a shard's lease. The result goes to
// Node.LeaseResult.
type LeaseCall struct {
	Shard string
	Call  lease.Call
}

// GroupCall is a request of a group's detector or coordinator to the store or to an
// upstream. The result goes to Node.StoreResult or Node.UpstreamResult.
type GroupCall struct {
	Group   string
	Request failover.Request
}

// GatewayCall asks the gateway of an upstream to hold its writes or to let them go.
type GatewayCall struct {
	Group   string
	Request failover.Request
}

// Announce tells other instances of a group's new state.
type Announce struct {
	Group   string
	Version uint64
	State   failover.Group
}

// Settled is a write that waits for its acknowledgement no longer.
type Settled struct {
	Group string
	failover.ResolvedWrite
}

// GroupAsk asks an observer for what it knows about a group.
type GroupAsk struct {
	Group string
}

// GroupView is an observer's answer to a GroupAsk.
type GroupView struct {
	// Known says that State and Version come from the store.
	Known   bool
	Version uint64
	State   failover.Group
	// Seen has the newest status of each upstream that the observer polled itself.
	Seen      []Seen
	Observer  bool
	Suspicion failover.Suspicion
}

// Seen is a relayed status of an upstream.
type Seen struct {
	Upstream string
	// Age is the time since the question was sent.
	Age      time.Duration
	Lost     bool
	Primary  bool
	Fenced   uint64
	Position wal.Position
	// Queue is the number of statements that wait or run at the upstream's gateway,
	// if the observer is the gateway.
	Queue int
}

func (e *Effects) add(o Effects) {
	e.Cluster = append(e.Cluster, o.Cluster...)
	e.Messages = append(e.Messages, o.Messages...)
	e.Leases = append(e.Leases, o.Leases...)
	e.Groups = append(e.Groups, o.Groups...)
	e.Quota = append(e.Quota, o.Quota...)
	e.Settled = append(e.Settled, o.Settled...)
	e.Changed = append(e.Changed, o.Changed...)
}

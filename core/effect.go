// Package core combines the state machines of one instance: membership,
// configuration, limits, routing and failover. Its Node is their only entry point.
//
// A Node starts no goroutine and uses no socket, clock or global random source. Each
// method takes the current time, updates the state and returns Effects: messages to
// other instances, calls to the store and to upstreams, and decisions on requests
// that wait at this instance. The caller performs the effects in any order, also
// concurrently, and passes their results to the Handle methods. A result that never
// arrives is treated as a lost message.
//
// A Node is not safe for concurrent use. Tick must be called every TickInterval; a
// longer gap is taken for a pause of the process.
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

// Effects are the actions that a method of a Node asks its caller to perform.
type Effects struct {
	// Cluster has the effects of the membership and of the distribution of the
	// configuration. A cluster.Install among them has already been applied to the Node.
	Cluster    []cluster.Effect
	Messages   []Message
	LeaseCalls []LeaseCall
	GroupCalls []GroupCall
	// QuotaDecisions has the decisions on requests that waited for a token.
	QuotaDecisions []quota.Decision
	// ResolvedWrites has the writes that are acknowledged or whose outcome is unknown.
	ResolvedWrites []ResolvedWrite
	// ChangedGroups names the groups about which something new is known, so that
	// statements that wait for their group can be routed again.
	ChangedGroups []string
}

// Message is sent to the instance with the peer address To. Exactly one of the
// pointers is set.
type Message struct {
	To string
	// Lease has no reply.
	Lease *lease.Message
	// Quota is answered with a quota.Reply, which is passed to Node.HandleQuotaReply.
	Quota *quota.Request
	// GroupRequest is answered with a GroupView, which is passed to Node.HandleGroupView.
	GroupRequest *GroupRequest
	// Gateway is answered with a failover.UpstreamResult, which is passed to
	// Node.HandleUpstreamResult.
	Gateway *GatewayCall
	// Announce has no reply.
	Announce *Announcement
}

// LeaseCall is a call to the store for a shard's lease. The result is passed to
// Node.HandleLeaseResult.
type LeaseCall struct {
	Shard string
	Call  lease.Call
}

// GroupCall is a request of a group's detector or coordinator to the store or to an
// upstream. The result is passed to Node.HandleStoreResult or
// Node.HandleUpstreamResult.
type GroupCall struct {
	Group   string
	Request failover.Request
}

// GatewayCall asks the gateway of an upstream to drain its writes, that is, to hold new
// ones and wait for those that run, or to release the held ones.
type GatewayCall struct {
	Group   string
	Request failover.Request
}

// Announcement tells other instances the new state of a group.
type Announcement struct {
	Group   string
	Version uint64
	State   failover.Group
}

// ResolvedWrite is a write whose outcome is decided, and the group that it belongs to.
type ResolvedWrite struct {
	Group string
	failover.ResolvedWrite
}

// GroupRequest asks an observer for its view of a group.
type GroupRequest struct {
	Group string
}

// GroupView is the response to a GroupRequest. An instance that does not observe the
// group returns only the state.
type GroupView struct {
	// Known reports whether State and Version have been read from the store.
	Known   bool
	Version uint64
	State   failover.Group
	// Seen has the newest status of each upstream that the observer has polled itself.
	Seen      []RelayedStatus
	Observer  bool
	Suspicion failover.Suspicion
}

// RelayedStatus is the status of an upstream as an observer reports it to other instances.
type RelayedStatus struct {
	Upstream string
	// Age is the time since the observer sent its status request.
	Age      time.Duration
	Lost     bool
	Primary  bool
	Fenced   uint64
	Position wal.Position
	// Queue is the number of statements that wait or run at the upstream's gateway.
	// It is set only if the observer is that gateway.
	Queue int
}

func (e *Effects) merge(o Effects) {
	e.Cluster = append(e.Cluster, o.Cluster...)
	e.Messages = append(e.Messages, o.Messages...)
	e.LeaseCalls = append(e.LeaseCalls, o.LeaseCalls...)
	e.GroupCalls = append(e.GroupCalls, o.GroupCalls...)
	e.QuotaDecisions = append(e.QuotaDecisions, o.QuotaDecisions...)
	e.ResolvedWrites = append(e.ResolvedWrites, o.ResolvedWrites...)
	e.ChangedGroups = append(e.ChangedGroups, o.ChangedGroups...)
}

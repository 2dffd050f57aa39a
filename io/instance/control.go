package instance

// The control part drives the core: it calls Tick, performs the effects and passes their
// results back. One lock guards the node and is never held during a network call. Each call
// runs in its own goroutine with a timeout, so that a peer, an upstream or the store that
// hangs delays nothing else.

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core"
	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/core/lease"
	"burdockseam/core/quota"
	"burdockseam/io/peer"
	"burdockseam/io/store"
)

const (
	// callTimeout bounds a call to a peer, and a call to the store apart from the time that
	// the store is asked to wait. It is several round trips between regions (40 ms each).
	callTimeout = time.Second
	// upstreamTimeout bounds a control call to an upstream, apart from the time that the
	// upstream is asked to wait. It is below the time after which a primary is suspected.
	upstreamTimeout = 500 * time.Millisecond
)

// Keys and key prefixes of objects in the store, besides those of the configuration.
const (
	groupPrefix  = "group/"
	statusPrefix = "status/"
	listKey      = "platform/instances"
)

// ListedInstance is an instance in the platform's list.
type ListedInstance struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving,omitempty"`
}

// control drives the core of one instance.
type control struct {
	log       logr.Logger
	store     *store.Client
	peers     *peer.Pool
	upstreams *upstreams
	gateways  *gateways
	now       func() time.Time
	// onNewTerm is called with each new recorded term of a group.
	onNewTerm func(group string, before, after failover.Group)
	// notReady returns the reason why the instance must get no new callers, or nil.
	notReady func() error
	// onInstall is called with each configuration that comes into force.
	onInstall func(config.Config)

	// headRevision is the revision of the store up to which the head of the configuration
	// has been read, or 0 if it has not been read.
	headRevision atomic.Uint64
	// pollFailed is set if the last poll got no answer, and storeReturned receives a value at the
	// first one after that.
	pollFailed    atomic.Bool
	storeReturned chan struct{}

	ctx   context.Context
	tasks sync.WaitGroup

	taskMu sync.Mutex
	ending bool // no further task may start

	mu             sync.Mutex
	node           *core.Node
	tokenWaiters   map[uint64]chan quota.Decision
	writeWaiters   map[writeID]chan failover.Outcome
	groupChanges   map[string]chan struct{}
	reportedStates map[string]failover.Group // as last passed to onNewTerm
}

// writeID identifies a write that waits for its acknowledgement.
type writeID struct {
	group string
	id    uint64
}

// run calls Tick until the context ends, and then waits for all running tasks.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		ready := c.notReady() == nil
		c.do(func(now time.Time) core.Effects {
			c.node.Agent().SetReady(ready)
			return c.node.Tick(now)
		})
		c.gateways.tick()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			// This is not deferred: a panic has to end the process, and must not wait for
			// tasks that need the lock which the panicking goroutine holds.
			c.taskMu.Lock()
			c.ending = true
			c.taskMu.Unlock()
			c.tasks.Wait()
			return nil
		}
	}
}

// do runs one step of the node and performs its effects.
func (c *control) do(step func(now time.Time) core.Effects) {
	c.mu.Lock()
	e := step(c.now())
	c.deliver(e)
	c.mu.Unlock()
	c.perform(e)
}

// deliver passes decisions to the goroutines of this instance that wait for them. The
// lock must be held.
func (c *control) deliver(e core.Effects) {
	for _, d := range e.QuotaDecisions {
		if ch, ok := c.tokenWaiters[d.Ticket]; ok {
			ch <- d
			delete(c.tokenWaiters, d.Ticket)
		}
	}
	for _, s := range e.ResolvedWrites {
		id := writeID{s.Group, s.ID}
		if ch, ok := c.writeWaiters[id]; ok {
			ch <- s.Outcome
			delete(c.writeWaiters, id)
		}
	}
	for _, name := range e.ChangedGroups {
		if ch, ok := c.groupChanges[name]; ok {
			close(ch)
			delete(c.groupChanges, name)
		}
		if g, _, ok := c.node.GroupState(name); ok && g.Term != c.reportedStates[name].Term {
			go c.onNewTerm(name, c.reportedStates[name], g)
			c.reportedStates[name] = g
			c.log.Info("group: term recorded", "group", name, "term", g.Term, "upstream", g.Primary, "offset", g.Start())
		}
	}
}

// groupChanged returns a channel that is closed when something new is known about the
// group. The lock must be held.
func (c *control) groupChanged(name string) <-chan struct{} {
	ch, ok := c.groupChanges[name]
	if !ok {
		ch = make(chan struct{})
		c.groupChanges[name] = ch
	}
	return ch
}

// awaitGroupChange returns when something new is known about the group, or after the
// given time.
func (c *control) awaitGroupChange(group string, d time.Duration) {
	c.mu.Lock()
	changed := c.groupChanged(group)
	c.mu.Unlock()
	// The wait also ends with the instance, which makes no difference to the caller.
	_ = await(c.ctx, changed, d)
}

// perform starts all effects except the decisions, which deliver handles.
func (c *control) perform(e core.Effects) {
	for _, effect := range e.Cluster {
		c.performClusterEffect(effect)
	}
	for _, m := range e.Messages {
		c.sendMessage(m)
	}
	for _, l := range e.LeaseCalls {
		c.task(callTimeout, func(ctx context.Context) { c.callLeaseStore(ctx, l) })
	}
	for _, g := range e.GroupCalls {
		c.callGroup(g)
	}
}

// task runs f in a goroutine with a timeout, unless the instance is ending.
func (c *control) task(timeout time.Duration, f func(ctx context.Context)) {
	c.taskMu.Lock()
	defer c.taskMu.Unlock()
	if c.ending {
		return
	}
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		f(ctx)
	}()
}

func (c *control) performClusterEffect(effect cluster.Effect) {
	switch e := effect.(type) {
	case cluster.Install:
		c.onInstall(e.Config)
	case cluster.Reject:
		for _, f := range e.Faults {
			c.log.Info("config: revision rejected", "revision", e.Revision, "fault", f.String())
		}
	case cluster.Send:
		c.task(callTimeout, func(ctx context.Context) {
			sent := c.now()
			var response cluster.Response
			err := c.peers.Call(ctx, e.To, "Node.Exchange", e.Request, &response)
			c.do(func(now time.Time) core.Effects { return c.node.HandleResponse(now, sent, e.To, response, err) })
		})
	case cluster.Poll:
		c.task(callTimeout+e.Wait, func(ctx context.Context) { c.poll(ctx, e) })
	case cluster.Fetch:
		c.task(callTimeout, func(ctx context.Context) {
			o, err := c.store.Get(ctx, config.FilePrefix+e.Hash)
			c.do(func(now time.Time) core.Effects { return c.node.HandleFetchResult(now, e.Hash, o.Value, err) })
		})
	case cluster.ReadPlatformList:
		c.task(callTimeout, c.readList)
	case cluster.WriteStatus:
		c.task(callTimeout, func(ctx context.Context) {
			text, err := json.Marshal(e.Status)
			if err == nil {
				_, err = c.store.Put(ctx, statusPrefix+e.Domain, text, store.AnyVersion)
			}
			if err != nil {
				c.log.V(1).Info("status: not written", "domain", e.Domain, "error", err.Error())
			}
		})
	}
}

// readList reads the platform's list of instances from the store.
func (c *control) readList(ctx context.Context) {
	o, err := c.store.Get(ctx, listKey)
	var entries []ListedInstance
	if err == nil {
		err = json.Unmarshal(o.Value, &entries)
	}
	list := make([]cluster.PlatformInstance, len(entries))
	for i, l := range entries {
		list[i] = cluster.PlatformInstance(l)
	}
	c.do(func(now time.Time) core.Effects {
		c.node.HandlePlatformList(now, list, err)
		return core.Effects{}
	})
}

// sendMessage sends a message to a peer and passes the reply to the node. A failed call
// is only logged: the node sends again what is still needed.
func (c *control) sendMessage(m core.Message) {
	c.task(c.messageTimeout(m), func(ctx context.Context) {
		sent := c.now()
		switch {
		case m.Lease != nil:
			c.logCallError(m.To, c.peers.Call(ctx, m.To, "Node.Lease", *m.Lease, &Nothing{}))
		case m.Announce != nil:
			c.logCallError(m.To, c.peers.Call(ctx, m.To, "Node.Announce", *m.Announce, &Nothing{}))
		case m.Quota != nil:
			var reply QuotaReply
			if err := c.peers.Call(ctx, m.To, "Node.Quota", *m.Quota, &reply); err != nil || !reply.OK {
				c.logCallError(m.To, err)
				return
			}
			c.do(func(now time.Time) core.Effects { return c.node.HandleQuotaReply(now, reply.Reply) })
		case m.GroupRequest != nil:
			var view core.GroupView
			if err := c.peers.Call(ctx, m.To, "Node.Group", *m.GroupRequest, &view); err != nil {
				c.logCallError(m.To, err)
				return
			}
			c.do(func(now time.Time) core.Effects { return c.node.HandleGroupView(now, sent, m.GroupRequest.Group, view) })
		case m.Gateway != nil:
			var result failover.UpstreamResult
			if err := c.peers.Call(ctx, m.To, "Node.Gateway", *m.Gateway, &result); err != nil {
				c.logCallError(m.To, err)
				return
			}
			result.Begun = sent
			c.do(func(now time.Time) core.Effects { return c.node.HandleUpstreamResult(now, m.Gateway.Group, result) })
		}
	})
}

// messageTimeout returns the time for a message and its reply. A drain waits for running
// writes.
func (c *control) messageTimeout(m core.Message) time.Duration {
	if m.Gateway != nil && m.Gateway.Request.Kind == failover.KindDrain {
		return failover.DefaultTiming.SwitchoverTimeout
	}
	return callTimeout
}

func (c *control) logCallError(to string, err error) {
	if err != nil {
		c.log.V(1).Info("peer: call failed", "peer", to, "error", err.Error())
	}
}

// callLeaseStore performs a call to the store for a shard's lease.
func (c *control) callLeaseStore(ctx context.Context, l core.LeaseCall) {
	r := lease.Result{ID: l.Call.ID, Status: lease.Done}
	var err error
	if l.Call.Method == lease.Get {
		var o store.Object
		o, err = c.store.Get(ctx, l.Call.Key)
		r.Value, r.Version = o.Value, o.Version
	} else {
		r.Version, err = c.store.Put(ctx, l.Call.Key, l.Call.Value, l.Call.IfVersion)
		r.Value = l.Call.Value
	}
	var conflict *store.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		r = lease.Result{ID: l.Call.ID, Status: lease.Conflict, Version: conflict.CurrentVersion}
	case store.NotFound.Has(err):
		r.Status = lease.Missing
	default:
		r.Status = lease.Unknown
	}
	if l.Call.Method == lease.Put {
		c.log.Info("lease: owner proposed", "shard", l.Shard, "status", string(r.Status))
	}
	c.do(func(now time.Time) core.Effects { return c.node.HandleLeaseResult(now, l.Shard, r) })
}

// callGroup performs a request of a detector or coordinator to the store or to an
// upstream.
func (c *control) callGroup(g core.GroupCall) {
	switch g.Request.Kind {
	case failover.KindGet, failover.KindPut:
		c.task(callTimeout, func(ctx context.Context) { c.callGroupStore(ctx, g) })
	default:
		c.task(upstreamTimeout+g.Request.Wait, func(ctx context.Context) { c.callUpstream(ctx, g) })
	}
}

func (c *control) callGroupStore(ctx context.Context, g core.GroupCall) {
	r := failover.StoreResult{ID: g.Request.ID, Kind: g.Request.Kind}
	var err error
	if g.Request.Kind == failover.KindGet {
		var o store.Object
		if o, err = c.store.Get(ctx, groupPrefix+g.Group); err == nil {
			r.Version = o.Version
			err = json.Unmarshal(o.Value, &r.Group)
		} else if store.NotFound.Has(err) {
			err = nil // a group without an object has version 0 and an empty state
		}
	} else {
		var text []byte
		if text, err = json.Marshal(g.Request.Group); err == nil {
			r.Version, err = c.store.Put(ctx, groupPrefix+g.Group, text, g.Request.IfVersion)
		}
	}
	var conflict *store.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		r.Failure = failover.FailureConflict
	default:
		r.Failure = failover.FailureLost
	}
	if g.Request.Kind == failover.KindPut {
		c.log.Info("group: state proposed", "group", g.Group, "step", g.Request.ID, "term", g.Request.Group.Claim.Term,
			"upstream", g.Request.Group.Primary, "failure", string(r.Failure))
	}
	c.do(func(now time.Time) core.Effects { return c.node.HandleStoreResult(now, g.Group, r) })
}

func (c *control) callUpstream(ctx context.Context, g core.GroupCall) {
	r := c.upstreams.call(ctx, g.Request)
	if g.Request.Kind != failover.KindStatus {
		c.log.Info("group: upstream called", "group", g.Group, "upstream", g.Request.Upstream,
			"call", string(g.Request.Kind), "term", g.Request.Term, "cut", g.Request.Cut, "failure", string(r.Failure))
	}
	c.do(func(now time.Time) core.Effects { return c.node.HandleUpstreamResult(now, g.Group, r) })
}

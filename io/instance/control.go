package instance

// The control part drives the core: it ticks, performs effects and feeds results
// back. One lock guards the node; no call to the network is made under it. Every
// effect runs in a goroutine of its own that ends with its timeout, so a peer, an
// upstream or the store that hangs delays nothing else.

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
	// callTimeout bounds a call to a peer, and a call to the store beyond its wait.
	// It is above several round trips between regions (40 ms each).
	callTimeout = time.Second
	// upstreamTimeout bounds a control call to an upstream beyond its wait. It is
	// below the time after which a primary is suspected.
	upstreamTimeout = 500 * time.Millisecond
)

// Keys of the store's objects besides the configuration.
const (
	groupPrefix  = "group/"
	statusPrefix = "status/"
	listKey      = "platform/instances"
)

// Listed is an instance in the platform's list.
type Listed struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving,omitempty"`
}

type control struct {
	log      logr.Logger
	store    *store.Client
	peers    *peer.Pool
	ups      *upstreams
	gateways *gateways
	now      func() time.Time
	// recorded is called with each new recorded term of a group.
	recorded func(group string, before, after failover.Group)
	// ready tells why the instance must get no new callers, or nil.
	ready func() error
	// installed is called with each configuration that comes into force.
	installed func(config.Config)

	// headRevision is the store's revision up to which the head is known, 0 if not known.
	headRevision atomic.Uint64

	ctx   context.Context
	tasks sync.WaitGroup

	taskMu sync.Mutex
	ending bool // no task starts any more

	mu      sync.Mutex
	node    *core.Node
	tokens  map[uint64]chan quota.Decision
	writes  map[writeID]chan failover.Outcome
	changed map[string]chan struct{}
	states  map[string]failover.Group // as last told to recorded
}

type writeID struct {
	group string
	id    uint64
}

// run ticks until the context ends and then waits for all calls under way.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		ready := c.ready() == nil
		c.do(func(now time.Time) core.Effects {
			c.node.Spread().SetReady(ready)
			return c.node.Tick(now)
		})
		c.gateways.tick()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			// Not deferred: a panic must end the process and not wait for calls that need
			// the lock which it holds.
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

// deliver wakes whoever waits for a decision here. The lock is held.
func (c *control) deliver(e core.Effects) {
	for _, d := range e.Quota {
		if ch, ok := c.tokens[d.Ticket]; ok {
			ch <- d
			delete(c.tokens, d.Ticket)
		}
	}
	for _, s := range e.Settled {
		id := writeID{s.Group, s.ID}
		if ch, ok := c.writes[id]; ok {
			ch <- s.Outcome
			delete(c.writes, id)
		}
	}
	for _, name := range e.Changed {
		if ch, ok := c.changed[name]; ok {
			close(ch)
			delete(c.changed, name)
		}
		if g, _, ok := c.node.State(name); ok && g.Term != c.states[name].Term {
			go c.recorded(name, c.states[name], g)
			c.states[name] = g
			c.log.Info("group: term recorded", "group", name, "term", g.Term, "upstream", g.Primary, "offset", g.Start())
		}
	}
}

// groupChanged returns a channel that is closed when something new is known about
// the group. The lock is held.
func (c *control) groupChanged(name string) <-chan struct{} {
	ch, ok := c.changed[name]
	if !ok {
		ch = make(chan struct{})
		c.changed[name] = ch
	}
	return ch
}

// wait returns when something new is known about the group, or after the time.
func (c *control) wait(group string, d time.Duration) {
	c.mu.Lock()
	changed := c.groupChanged(group)
	c.mu.Unlock()
	// The end of the instance ends the wait as well; the caller does not need to know.
	_ = await(c.ctx, changed, d)
}

func (c *control) perform(e core.Effects) {
	for _, effect := range e.Cluster {
		c.cluster(effect)
	}
	for _, m := range e.Messages {
		c.send(m)
	}
	for _, l := range e.Leases {
		c.task(callTimeout, func(ctx context.Context) { c.leaseCall(ctx, l) })
	}
	for _, g := range e.Groups {
		c.groupCall(g)
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

func (c *control) cluster(effect cluster.Effect) {
	switch e := effect.(type) {
	case cluster.Install:
		c.installed(e.Config)
	case cluster.Reject:
		for _, f := range e.Faults {
			c.log.Info("config: revision rejected", "revision", e.Revision, "fault", f.String())
		}
	case cluster.Send:
		c.task(callTimeout, func(ctx context.Context) {
			sent := c.now()
			var answer cluster.Response
			err := c.peers.Call(ctx, e.To, "Node.Exchange", e.Request, &answer)
			c.do(func(now time.Time) core.Effects { return c.node.Answered(now, sent, e.To, answer, err) })
		})
	case cluster.Poll:
		c.task(callTimeout+e.Wait, func(ctx context.Context) { c.poll(ctx, e) })
	case cluster.Fetch:
		c.task(callTimeout, func(ctx context.Context) {
			o, err := c.store.Get(ctx, config.FilePrefix+e.Hash)
			c.do(func(now time.Time) core.Effects { return c.node.Fetched(now, e.Hash, o.Value, err) })
		})
	case cluster.ReadPlatformList:
		c.task(callTimeout, c.readList)
	case cluster.WriteStatus:
		c.task(callTimeout, func(ctx context.Context) {
			text, err := json.Marshal(e.Status)
			if err == nil {
				_, err = c.store.Put(ctx, statusPrefix+e.Domain, text, store.Any)
			}
			if err != nil {
				c.log.V(1).Info("status: not written", "domain", e.Domain, "error", err.Error())
			}
		})
	}
}

// readList reads the platform's list of instances.
func (c *control) readList(ctx context.Context) {
	o, err := c.store.Get(ctx, listKey)
	var entries []Listed
	if err == nil {
		err = json.Unmarshal(o.Value, &entries)
	}
	list := make([]cluster.PlatformInstance, len(entries))
	for i, l := range entries {
		list[i] = cluster.PlatformInstance(l)
	}
	c.do(func(now time.Time) core.Effects {
		c.node.Listed(now, list, err)
		return core.Effects{}
	})
}

// send passes a message to a peer and feeds its answer back. A lost message needs
// no report: the node sends again what is still needed.
func (c *control) send(m core.Message) {
	c.task(c.patience(m), func(ctx context.Context) {
		sent := c.now()
		switch {
		case m.Lease != nil:
			c.report(m.To, c.peers.Call(ctx, m.To, "Node.Lease", *m.Lease, &Nothing{}))
		case m.Announce != nil:
			c.report(m.To, c.peers.Call(ctx, m.To, "Node.Announce", *m.Announce, &Nothing{}))
		case m.Quota != nil:
			var reply QuotaReply
			if err := c.peers.Call(ctx, m.To, "Node.Quota", *m.Quota, &reply); err != nil || !reply.OK {
				c.report(m.To, err)
				return
			}
			c.do(func(now time.Time) core.Effects { return c.node.QuotaReply(now, reply.Reply) })
		case m.Ask != nil:
			var view core.GroupView
			if err := c.peers.Call(ctx, m.To, "Node.Group", *m.Ask, &view); err != nil {
				c.report(m.To, err)
				return
			}
			c.do(func(now time.Time) core.Effects { return c.node.GroupReply(now, sent, m.Ask.Group, view) })
		case m.Gateway != nil:
			var result failover.UpstreamResult
			if err := c.peers.Call(ctx, m.To, "Node.Gateway", *m.Gateway, &result); err != nil {
				c.report(m.To, err)
				return
			}
			result.Begun = sent
			c.do(func(now time.Time) core.Effects { return c.node.UpstreamResult(now, m.Gateway.Group, result) })
		}
	})
}

func (c *control) patience(m core.Message) time.Duration {
	if m.Gateway != nil && m.Gateway.Request.Kind == failover.KindDrain {
		return failover.DefaultTiming.SwitchoverTimeout
	}
	return callTimeout
}

func (c *control) report(to string, err error) {
	if err != nil {
		c.log.V(1).Info("peer: call failed", "peer", to, "error", err.Error())
	}
}

// leaseCall performs a store call of a lease.
func (c *control) leaseCall(ctx context.Context, l core.LeaseCall) {
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
	var conflict *store.Conflict
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		r = lease.Result{ID: l.Call.ID, Status: lease.Conflict, Version: conflict.Present}
	case store.NotFound.Has(err):
		r.Status = lease.Missing
	default:
		r.Status = lease.Unknown
	}
	if l.Call.Method == lease.Put {
		c.log.Info("lease: owner proposed", "shard", l.Shard, "status", string(r.Status))
	}
	c.do(func(now time.Time) core.Effects { return c.node.LeaseResult(now, l.Shard, r) })
}

// groupCall performs a request of a detector or coordinator.
func (c *control) groupCall(g core.GroupCall) {
	switch g.Request.Kind {
	case failover.KindGet, failover.KindPut:
		c.task(callTimeout, func(ctx context.Context) { c.groupStore(ctx, g) })
	default:
		c.task(upstreamTimeout+g.Request.Wait, func(ctx context.Context) { c.groupUpstream(ctx, g) })
	}
}

func (c *control) groupStore(ctx context.Context, g core.GroupCall) {
	r := failover.StoreResult{ID: g.Request.ID, Kind: g.Request.Kind}
	var err error
	if g.Request.Kind == failover.KindGet {
		var o store.Object
		if o, err = c.store.Get(ctx, groupPrefix+g.Group); err == nil {
			r.Version = o.Version
			err = json.Unmarshal(o.Value, &r.Group)
		} else if store.NotFound.Has(err) {
			err = nil // version 0 and an empty group
		}
	} else {
		var text []byte
		if text, err = json.Marshal(g.Request.Group); err == nil {
			r.Version, err = c.store.Put(ctx, groupPrefix+g.Group, text, g.Request.IfVersion)
		}
	}
	var conflict *store.Conflict
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
	c.do(func(now time.Time) core.Effects { return c.node.StoreResult(now, g.Group, r) })
}

func (c *control) groupUpstream(ctx context.Context, g core.GroupCall) {
	r := c.ups.call(ctx, g.Request)
	if g.Request.Kind != failover.KindStatus {
		c.log.Info("group: upstream called", "group", g.Group, "upstream", g.Request.Upstream,
			"call", string(g.Request.Kind), "term", g.Request.Term, "cut", g.Request.Cut, "failure", string(r.Failure))
	}
	c.do(func(now time.Time) core.Effects { return c.node.UpstreamResult(now, g.Group, r) })
}

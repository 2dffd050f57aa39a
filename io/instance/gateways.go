package instance

// The gateways of this instance, and the way to those of other instances.

import (
	"context"
	"sync"

	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/io/postgres"
)

// gatewayKey identifies a gateway of this instance.
type gatewayKey struct {
	upstream string
	rescue   bool
}

// gateways has the gateways of this instance.
type gateways struct {
	in *Instance

	mu  sync.Mutex
	all map[gatewayKey]*gateway
}

// get returns the gateway of an upstream. A gateway is created when it is first used, and
// again when the address of the upstream has changed.
func (gs *gateways) get(u config.Upstream, rescue bool) *gateway {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	key := gatewayKey{u.Name, rescue}
	g, ok := gs.all[key]
	if !ok || g.address != u.Address {
		if ok {
			g.close()
		}
		g = newGateway(gs.in, u, rescue)
		gs.all[key] = g
	}
	return g
}

func (gs *gateways) list() []*gateway {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	list := make([]*gateway, 0, len(gs.all))
	for _, g := range gs.all {
		list = append(list, g)
	}
	return list
}

// configure closes the gateways of upstreams that were removed or moved, and passes the
// teams' settings to the other gateways.
func (gs *gateways) configure(c config.Config) {
	for _, g := range gs.list() {
		if u, ok := c.Upstreams[g.upstream]; ok && u.Address == g.address {
			g.mu.Lock()
			g.queue.Configure(c.Teams)
			g.mu.Unlock()
			continue
		}
		g.close()
		gs.mu.Lock()
		delete(gs.all, gatewayKey{g.upstream, g.rescue})
		gs.mu.Unlock()
	}
}

// tick updates all gateways and passes the lengths of their queues to the core.
func (gs *gateways) tick() {
	for _, g := range gs.list() {
		n := g.tick()
		c := gs.in.control
		c.mu.Lock()
		silent := c.node.TimeSinceAnswer(c.now(), g.group, g.upstream)
		if !g.rescue {
			c.node.SetQueueLength(g.group, g.upstream, n)
		}
		c.mu.Unlock()
		g.closeIfSilent(silent)
	}
}

func (gs *gateways) close() {
	for _, g := range gs.list() {
		g.close()
	}
}

// handleDrainOrRelease drains or releases the writes of an upstream for a coordinator.
// The result of a drain has the upstream's status.
func (gs *gateways) handleDrainOrRelease(ctx context.Context, group string, r failover.Request) (failover.UpstreamResult, error) {
	u, ok := gs.in.config.Load().Upstreams[r.Upstream]
	if !ok {
		return failover.UpstreamResult{}, Error.New("upstream %s is not configured", r.Upstream)
	}
	g := gs.get(u, false)
	if r.Kind == failover.KindRelease {
		g.release(r.ID)
		return failover.UpstreamResult{ID: r.ID, Kind: r.Kind, Upstream: r.Upstream}, nil
	}
	gs.in.log.Info("gateway: writes held", "group", group, "upstream", r.Upstream, "term", r.Term)
	if err := g.drain(ctx, r.ID, r.Term); err != nil {
		return failover.UpstreamResult{}, err
	}
	status := gs.in.control.upstreams.call(ctx, failover.Request{Kind: failover.KindStatus, Upstream: r.Upstream})
	status.ID, status.Kind = r.ID, r.Kind
	return status, nil
}

// openGateway opens the header's upstream at its gateway, or else at its rescue gateway
// or at a spare one.
func (in *Instance) openGateway(ctx context.Context, h postgres.Header, b *postgres.Batch) (postgres.Backend, error) {
	in.control.mu.Lock()
	list := in.control.node.Gateways(h.Upstream)
	in.control.mu.Unlock()
	var err error = retryable(postgres.NewRefusal(postgres.NotRun, "upstream %s has no gateway", h.Upstream))
	for i, address := range list {
		h.Rescue = i > 0
		backend, reached, failure := in.tryGateway(ctx, address, h, b)
		if reached {
			return backend, failure
		}
		err = failure
	}
	in.control.mu.Lock()
	spare := in.control.node.SpareGateway(h.Upstream)
	in.control.mu.Unlock()
	if spare == "" {
		return nil, err
	}
	h.Rescue = true
	backend, _, err := in.tryGateway(ctx, spare, h, b)
	return backend, err
}

// tryGateway opens an upstream at the gateway at a peer address, and reports whether the
// gateway was reached.
func (in *Instance) tryGateway(ctx context.Context, address string, h postgres.Header, b *postgres.Batch) (_ postgres.Backend, reached bool, _ error) {
	if address == in.settings.Peer {
		backend, err := in.OpenUpstream(ctx, h, b)
		return backend, true, err
	}
	backend, err := in.openLink(ctx, address, h)
	if err != nil {
		in.log.Info("gateway: not reached", "request", h.ID, "team", h.Team, "upstream", h.Upstream, "term", h.Term,
			"peer", address, "rescue", h.Rescue, "reason", err.Error())
		return nil, false, err
	}
	return backend, true, nil
}

// openLink opens an upstream at the gateway of another instance.
func (in *Instance) openLink(ctx context.Context, address string, h postgres.Header) (postgres.Backend, error) {
	link, err := in.directory.linkAddress(ctx, address)
	if err != nil {
		return nil, retryable(postgres.NewRefusal(postgres.NotRun, "gateway at %s does not answer", address))
	}
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	backend, err := in.links.Open(ctx, link, h)
	if err != nil {
		in.directory.forget(address)
		// The membership takes 3 s to notice that an instance has ended. A retry may find
		// another gateway by then.
		return nil, retryable(postgres.NewRefusal(postgres.NotRun, "gateway at %s cannot be reached", address))
	}
	return backend, nil
}

// linkTimeout bounds the opening of a link, so that enough time remains to try a rescue
// gateway.
const linkTimeout = callTimeout / 2

// OpenUpstream implements postgres.Opener for entry instances, this one and others.
func (in *Instance) OpenUpstream(ctx context.Context, h postgres.Header, b *postgres.Batch) (postgres.Backend, error) {
	u, ok := in.config.Load().Upstreams[h.Upstream]
	if !ok {
		return nil, retryable(postgres.NewRefusal(postgres.NotRun, "upstream %s is not configured at its gateway", h.Upstream))
	}
	return in.gateways.get(u, h.Rescue).open(ctx, h, b)
}

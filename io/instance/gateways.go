package instance

// The gateways at one instance, and the way to those at others.

import (
	"context"
	"sync"

	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/io/postgres"
)

type gatewayKey struct {
	upstream string
	rescue   bool
}

type gateways struct {
	in *Instance

	mu  sync.Mutex
	all map[gatewayKey]*gateway
}

// get returns the gateway of an upstream, which is made when it is first used.
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

// configure closes the gateways of upstreams that are gone and passes weights on.
func (gs *gateways) configure(c config.Config) {
	for _, g := range gs.list() {
		if u, ok := c.Upstreams[g.name]; ok && u.Address == g.address {
			g.mu.Lock()
			g.queue.Configure(c.Teams)
			g.mu.Unlock()
			continue
		}
		g.close()
		gs.mu.Lock()
		delete(gs.all, gatewayKey{g.name, g.rescue})
		gs.mu.Unlock()
	}
}

// tick moves all queues on and reports their lengths to the routing tables.
func (gs *gateways) tick() {
	for _, g := range gs.list() {
		n := g.tick()
		c := gs.in.control
		c.mu.Lock()
		silent := c.node.Silent(c.now(), g.group, g.name)
		if !g.rescue {
			c.node.Queue(g.group, g.name, n)
		}
		c.mu.Unlock()
		g.hear(silent)
	}
}

func (gs *gateways) close() {
	for _, g := range gs.list() {
		g.close()
	}
}

// hold performs a drain or a release for a coordinator.
func (gs *gateways) hold(ctx context.Context, group string, r failover.Request) (failover.UpstreamResult, error) {
	u, ok := gs.in.config.Load().Upstreams[r.Upstream]
	if !ok {
		return failover.UpstreamResult{}, Error.New("no such upstream %s", r.Upstream)
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
	status := gs.in.control.ups.call(ctx, failover.Request{Kind: failover.KindStatus, Upstream: r.Upstream})
	status.ID, status.Kind = r.ID, r.Kind
	return status, nil
}

// reach finds the way to the gateway of the header's upstream.
func (in *Instance) reach(ctx context.Context, h postgres.Header, b *postgres.Batch) (postgres.Backend, error) {
	in.control.mu.Lock()
	list := in.control.node.Gateways(h.Upstream)
	in.control.mu.Unlock()
	var err error = later(postgres.NewRefusal(postgres.NotRun, "upstream %s has no gateway", h.Upstream))
	for i, address := range list {
		h.Rescue = i > 0
		backend, reached, failure := in.tryGateway(ctx, address, h, b)
		if reached {
			return backend, failure
		}
		err = failure
	}
	in.control.mu.Lock()
	spare := in.control.node.Spare(h.Upstream)
	in.control.mu.Unlock()
	if spare == "" {
		return nil, err
	}
	h.Rescue = true
	backend, _, err := in.tryGateway(ctx, spare, h, b)
	return backend, err
}

// tryGateway opens an upstream at a gateway, and tells whether that was reached.
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

func (in *Instance) openLink(ctx context.Context, address string, h postgres.Header) (postgres.Backend, error) {
	link, err := in.directory.link(ctx, address)
	if err != nil {
		return nil, later(postgres.NewRefusal(postgres.NotRun, "gateway at %s does not answer", address))
	}
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	backend, err := in.links.Open(ctx, link, h)
	if err != nil {
		in.directory.forget(address)
		// The membership takes 3 s to notice that an instance has died; until then the
		// next look may find another gateway.
		return nil, later(postgres.NewRefusal(postgres.NotRun, "gateway at %s cannot be reached", address))
	}
	return backend, nil
}

// linkTimeout bounds the opening of a link, so that a rescue gateway is tried in time.
const linkTimeout = callTimeout / 2

// OpenUpstream implements postgres.Opener for entries, this one or others.
func (in *Instance) OpenUpstream(ctx context.Context, h postgres.Header, b *postgres.Batch) (postgres.Backend, error) {
	u, ok := in.config.Load().Upstreams[h.Upstream]
	if !ok {
		return nil, later(postgres.NewRefusal(postgres.NotRun, "upstream %s is not configured at its gateway", h.Upstream))
	}
	return in.gateways.get(u, h.Rescue).open(ctx, h, b)
}

// Package node is one instance of the fleet for callers and upstreams that speak a
// protocol with typed statements. It joins the parts: the tables that mirror the store,
// the routing of statements to the gateways of upstreams, the limits of teams, and the
// change of a group's primary. The adapter to a platform supplies the protocols.
//
// Any instance may act as the gateway of any upstream. Which one does is decided by each
// instance for itself, so two may act at once for a while; no promise rests on it.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"burdockseam/core/access"
	"burdockseam/core/failover"
	"burdockseam/core/placement"
	"burdockseam/core/wal"
	"burdockseam/io/boottime"
	"burdockseam/io/caller"
	"burdockseam/io/gateway"
	"burdockseam/io/peer"
)

// Controls sends control statements to upstreams.
type Controls interface {
	Pause(ctx context.Context, t failover.ControlTarget, term uint64) (failover.ReplicationStatus, error)
	// Leads reports whether the upstream accepts a transaction that may write. An error
	// means that it was not reached.
	Leads(ctx context.Context, t failover.ControlTarget) (bool, wal.Position, error)
}

// Promoter orders promotions at the platform.
type Promoter interface {
	// Promote orders that the upstream leads its group. Holder and token are those of
	// the decision. The error explains a response that is not ResponseDone.
	Promote(ctx context.Context, group, upstream, holder string, token uint64) (failover.OrderResponse, error)
	// Raise shows a token to the platform, which then refuses orders with lower ones. It
	// promotes nothing. Without an error the platform has seen this token or a higher one.
	Raise(ctx context.Context, group, holder string, token uint64) error
}

// Platform is what an adapter supplies.
type Platform struct {
	Store    Store
	Schema   Schema
	Dialer   gateway.Dialer
	Controls Controls
	Promoter Promoter
	Protocol func(net.Conn) caller.Protocol
}

// peerCalls bounds the calls in flight to one instance. Statements that wait for a slot
// count, so that it is above what an upstream's queue holds.
const peerCalls = 512

// Node is one running instance.
type Node struct {
	set      atomic.Pointer[Settings]
	platform Platform
	schema   Schema
	log      logr.Logger
	now      func() time.Time
	self     placement.Instance
	metrics  *nodeMetrics

	tables   *tables
	snapshot atomic.Pointer[snapshot]
	gateways *gateway.Gateways
	peers    *peer.Pool
	peerIn   *peer.Server
	callers  *caller.Server
	limits   *limits
	leaders  *leaders
	ready    atomic.Bool
	draining atomic.Bool

	building sync.Mutex // held while a snapshot is built and put into force

	mu      sync.Mutex
	dirty   map[Kind]bool     // tables that changed since the last snapshot
	pending bool              // a snapshot will be built at calm
	busy    bool              // one is being built
	calm    time.Time         // no snapshot is built before
	skipped map[string]uint64 // revisions of entries that were passed over
	known   map[string]*knowledge
	remote  map[string]*remote // other instances, by address
	links   map[link]time.Time // gateways that can't reach an upstream, until when
	born    map[string]int64
	unfit   map[string]time.Time // since when an upstream takes no new work
	asked   time.Time            // when this instance last asked for tables
	change  chan struct{}        // closed when routing may decide differently
}

// New opens the instance's addresses.
func New(s Settings, p Platform, log logr.Logger) (*Node, error) {
	n := &Node{
		platform: p, schema: p.Schema, log: log, now: boottime.Now,
		metrics: newNodeMetrics(),
		dirty:   make(map[Kind]bool), skipped: make(map[string]uint64), known: make(map[string]*knowledge),
		remote: make(map[string]*remote), links: make(map[link]time.Time),
		born: make(map[string]int64), unfit: make(map[string]time.Time),
		change: make(chan struct{}),
	}
	n.set.Store(&s)
	n.platform.Store = counted{p.Store, n.metrics}
	n.self = placement.Instance{
		ID:      fmt.Sprintf("%s.%x", s.Name, rand.Uint64()),
		Address: s.Advertise, Domain: s.Domain, Region: s.Region(s.Domain),
	}
	n.snapshot.Store(newSnapshot(n.self))
	n.tables = newTables(n.platform.Store, log, n.now)
	n.tables.changed = n.tableChanged
	n.tables.patience = n.patience
	n.gateways = gateway.New(p.Dialer, n.metrics, log, n.now)
	n.limits = newLimits(n)
	n.leaders = newLeaders(n)
	config := peer.Config{Addr: s.Peer, InFlight: peerCalls, Metrics: n.metrics.set}
	n.peers = peer.NewPool(config)
	var err error
	if n.peerIn, err = peer.Listen(config); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := n.peerIn.Register("Node", &service{n}); err != nil {
		return nil, Error.Wrap(err)
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n.callers = &caller.Server{
		Listener: listener, Protocol: p.Protocol, Router: n, Known: n.await, Name: n.self.ID,
		Log: log, Now: n.now, Limit: s.Callers,
	}
	n.metrics.watch(n)
	return n, nil
}

// settings returns the settings in force.
func (n *Node) settings() *Settings { return n.set.Load() }

// Ready reports whether callers should be sent here.
func (n *Node) Ready() bool { return n.ready.Load() && !n.draining.Load() }

// Serve serves until the context ends and then drains.
func (n *Node) Serve(ctx context.Context) error {
	n.log.Info("instance: started", "instance", n.self.ID, "domain", n.self.Domain, "callers", n.settings().Listen, "peer", n.settings().Peer)
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, base := errgroup.WithContext(base)
	for _, k := range watched {
		g.Go(func() error { n.tables.follow(base, k); return nil })
	}
	g.Go(func() error { return n.peerIn.Serve(base) })
	g.Go(func() error { return n.callers.Serve(base) })
	g.Go(func() error { n.register(base); return nil })
	g.Go(func() error { n.pings(base); return nil })
	g.Go(func() error { n.limits.run(base); return nil })
	g.Go(func() error { n.leaders.run(base); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			n.drain(base)
			stop()
		case <-base.Done():
		}
		return nil
	})
	err := g.Wait()
	n.peers.Close()
	n.log.Info("instance: stopped")
	return err
}

// wake lets statements that wait for a change look again.
func (n *Node) wake() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.change)
	n.change = make(chan struct{})
}

// changes returns a channel that is closed at the next change.
func (n *Node) changes() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.change
}

// await waits for the first configuration.
func (n *Node) await(ctx context.Context) bool {
	for {
		next := n.changes()
		if n.snapshot.Load().policy.Version > 0 {
			return true
		}
		select {
		case <-next:
		case <-ctx.Done():
			return false
		}
	}
}

// register writes the instance's object, and reports the instance as ready once the
// others can know of it and all tables have been read.
func (n *Node) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.writeSelf(ctx, false); err == nil {
			break
		} else if !errors.Is(err, context.Canceled) {
			n.log.Info("instance: not registered yet", "err", err.Error())
		}
		if n.tables.complete() {
			// Peers gave the tables; the store will learn of this instance later.
			n.setReady()
		}
		wait(ctx, storeRetry)
	}
	for ctx.Err() == nil && !n.tables.complete() {
		wait(ctx, 20*time.Millisecond)
	}
	n.setReady()
}

func (n *Node) setReady() {
	if !n.ready.Swap(true) {
		n.log.Info("instance: ready", "version", n.snapshot.Load().policy.Version)
	}
}

// writeSelf writes the instance's object.
func (n *Node) writeSelf(ctx context.Context, leaving bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(member{ID: n.self.ID, Address: n.self.Address, Domain: n.self.Domain, Leaving: leaving})
	if err != nil {
		return Error.Wrap(err)
	}
	o := Object{Name: n.settings().Name, Data: data}
	present, err := n.platform.Store.Get(ctx, KindInstance, o.Name)
	switch {
	case errors.Is(err, ErrMissing):
		_, err = n.platform.Store.Create(ctx, KindInstance, o)
	case err == nil:
		o.Revision = present.Revision
		_, err = n.platform.Store.Replace(ctx, KindInstance, o)
	}
	return err
}

// Times of a graceful shutdown.
const (
	// offRotation is the time after which no new caller is sent here: the readiness
	// probe comes each second, and two failures count.
	offRotation = 2200 * time.Millisecond
	// lastMoment is kept for the end of the process itself.
	lastMoment = 500 * time.Millisecond
	drainStep  = 25 * time.Millisecond
)

// drain takes the instance out of service: it is not ready at once, other instances place
// no new work on it, and each session ends when it rests.
func (n *Node) drain(ctx context.Context) {
	began := n.now()
	n.draining.Store(true)
	open, active := n.callers.Sessions()
	n.log.Info("shutdown: draining", "sessions", open, "transactions", active)
	go func() {
		if err := n.writeSelf(ctx, true); err != nil {
			n.log.Info("shutdown: not marked as leaving in the store", "err", err.Error())
		}
	}()
	n.broadcast(ctx, "Node.Leave", LeaveNote{Address: n.self.Address})
	for n.now().Sub(began) < min(offRotation, n.settings().Drain/2) {
		wait(ctx, drainStep)
		n.gateways.Leave()
	}
	n.callers.Drain()
	n.limits.close()
	for n.now().Sub(began) < n.settings().Drain-lastMoment {
		if open, _ = n.callers.Sessions(); open == 0 && n.gateways.Open() == 0 {
			break
		}
		wait(ctx, drainStep)
		n.gateways.Leave()
	}
	open, active = n.callers.Sessions()
	n.log.Info("shutdown: drained", "cut", open, "transactions", active, "upstreams", n.gateways.Open(), "took", n.now().Sub(began))
}

// Check implements caller.Router.
func (n *Node) Check(database string, c access.Credential) (code callCode) {
	_, code = n.snapshot.Load().policy.Authorize(database, c)
	return code
}

// Reload reads the settings again and takes over the limits and the regions. The name,
// the failure domain and the addresses stay those of the start. Broken settings change
// nothing.
func (n *Node) Reload(path string) {
	s, err := ReadSettings(path)
	if err != nil {
		n.log.Error(err, "settings: not reloaded")
		return
	}
	before := n.settings()
	fixed := s.Name != before.Name || s.Domain != before.Domain || s.Listen != before.Listen || s.Peer != before.Peer ||
		s.Advertise != before.Advertise || s.Operator != before.Operator || s.Store != before.Store || s.Promoter != before.Promoter
	s.Name, s.Domain, s.Listen, s.Operator = before.Name, before.Domain, before.Listen, before.Operator
	s.Peer, s.Advertise = before.Peer, before.Advertise
	s.Store, s.Promoter, s.Seeds, s.Callers = before.Store, before.Promoter, before.Seeds, before.Callers
	n.set.Store(&s)
	n.tableChanged(KindInstance)
	n.log.Info("settings: reloaded", "ignored", fixed)
}

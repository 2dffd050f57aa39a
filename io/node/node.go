// Package node implements one instance of the fleet for callers and upstreams whose protocol
// carries typed statements. It connects the tables that mirror the store, the routing of
// statements to the gateways of upstreams, the rate limits of teams, and the promotion of a
// group's primary. The platform's adapter supplies the protocols.
//
// Any instance may act as the gateway of any upstream. Each instance chooses the gateway of
// an upstream for itself, so two instances may act as the gateway of one upstream for a
// while. No guarantee depends on there being only one.
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
	"burdockseam/core/call"
	"burdockseam/core/failover"
	"burdockseam/core/placement"
	"burdockseam/core/shutdown"
	"burdockseam/core/usage"
	"burdockseam/core/wal"
	"burdockseam/io/boottime"
	"burdockseam/io/caller"
	"burdockseam/io/gateway"
	"burdockseam/io/peer"
)

// Controls sends control statements to upstreams.
type Controls interface {
	Pause(ctx context.Context, t failover.ControlTarget, term uint64) (failover.ReplicationStatus, error)
	// Demote makes the upstream a replica unless it is the primary of this term or a later
	// one.
	Demote(ctx context.Context, t failover.ControlTarget, term uint64) (failover.ReplicationStatus, error)
	// IsPrimary reports whether the upstream accepts a transaction that may write. An error
	// means that the upstream was not reached.
	IsPrimary(ctx context.Context, t failover.ControlTarget) (bool, wal.Position, error)
}

// Promoter orders promotions from the platform.
type Promoter interface {
	// Promote orders the upstream to become its group's primary. The holder and the fencing
	// token are those of the coordinator that decided on the promotion. The error explains a
	// response other than ResponseDone.
	Promote(ctx context.Context, group, upstream, holder string, token uint64) (failover.OrderResponse, error)
	// RaiseToken presents a fencing token to the platform without promoting an upstream. The
	// platform then refuses orders with lower tokens. A nil error means that the platform
	// has seen this token or a higher one.
	RaiseToken(ctx context.Context, group, holder string, token uint64) error
}

// Reporter sends usage reports to the platform.
type Reporter interface {
	// Report sends the counts of a window under the holder's fencing token. The error explains
	// an outcome other than usage.Accepted.
	Report(ctx context.Context, holder string, token, window uint64, counts usage.Counts) (usage.Outcome, error)
}

// Platform holds the dependencies that the platform's adapter supplies.
type Platform struct {
	Store    Store
	Schema   Schema
	Dialer   gateway.Dialer
	Controls Controls
	Promoter Promoter
	Reporter Reporter
	Protocol func(net.Conn) caller.Protocol
}

// maxPeerCalls bounds the calls in flight to one instance. Statements that wait for a slot
// count as calls in flight, so the bound exceeds the length of an upstream's queue.
const maxPeerCalls = 512

// Node is a running instance.
type Node struct {
	activeSettings atomic.Pointer[Settings]
	platform       Platform
	schema         Schema
	log            logr.Logger
	now            func() time.Time
	self           placement.Instance
	metrics        *nodeMetrics

	tables     *tables
	snapshot   atomic.Pointer[snapshot]
	gateways   *gateway.Gateways
	peers      *peer.Pool
	peerServer *peer.Server
	callers    *caller.Server
	limits     *limits
	delegates  *delegates
	usage      *usageReports // nil without usage reports
	primaries  *primaries
	health     *upstreamHealth
	ready      atomic.Bool
	draining   atomic.Bool
	stopping   atomic.Pointer[shutdown.Plan] // nil before the shutdown

	buildMu sync.Mutex // held while a snapshot is built and put into force

	mu                sync.Mutex
	dirty             map[Kind]bool     // tables that changed since the last snapshot
	buildScheduled    bool              // a snapshot will be built at nextBuildAt
	building          bool              // a snapshot is being built
	nextBuildAt       time.Time         // no snapshot is built before this time
	skippedRevisions  map[string]uint64 // revisions of the objects that were logged as skipped, by name
	stats             map[string]*upstreamStats
	peerStates        map[string]*peerState     // what is known about other instances, by address
	badLinks          map[link]time.Time        // gateways that could not reach an upstream, and until when they are avoided
	watchedGateways   []placement.Instance      // those that this instance pings as a watcher of a large fleet
	contactAt         atomic.Pointer[time.Time] // last contact with most of the fleet, its own or a watcher's; nil before the first
	majorityAt        atomic.Pointer[time.Time] // last own contact with most of the fleet; nil before the first
	contact           contactRounds
	storeContactAt    atomic.Pointer[time.Time] // last reading of the registry without contact; nil before the first
	incarnations      map[string]int64
	ineligibleSince   map[string]time.Time // since when an upstream takes no new work, by name
	tablesRequestedAt time.Time            // when this instance last requested tables from another one
	learnedPolicy     Object               // configuration of another instance that is not decoded yet
	tableRequests     atomic.Int32         // requests for tables that are under way
	changed           chan struct{}        // closed and replaced when a routing decision may change
}

// New creates an instance and opens its listeners for callers and peers.
func New(s Settings, p Platform, log logr.Logger) (*Node, error) {
	n := &Node{
		platform: p, schema: p.Schema, log: log, now: boottime.Now,
		metrics: newNodeMetrics(),
		dirty:   make(map[Kind]bool), skippedRevisions: make(map[string]uint64), stats: make(map[string]*upstreamStats),
		peerStates: make(map[string]*peerState), badLinks: make(map[link]time.Time),
		incarnations: make(map[string]int64), ineligibleSince: make(map[string]time.Time),
		changed: make(chan struct{}),
	}
	n.activeSettings.Store(&s)
	n.platform.Store = countingStore{p.Store, n.metrics}
	n.self = placement.Instance{
		ID:      fmt.Sprintf("%s.%x", s.Name, rand.Uint64()),
		Address: s.Advertise, Domain: s.Domain, Region: s.Region(s.Domain),
	}
	n.snapshot.Store(newSnapshot(n.self))
	n.tables = newTables(n.platform.Store, log, n.now)
	n.tables.onChange = n.tableChanged
	n.tables.refreshPlan, n.tables.mayListStale = n.refreshPlan, n.mayListStale
	n.gateways = gateway.New(p.Dialer, n.metrics, log, n.now)
	n.delegates = newDelegates(n)
	n.limits = newLimits(n)
	if s.Usage.Window > 0 {
		n.usage = newUsageReports(n)
		n.gateways.Meter = n.usage
	}
	n.primaries = newPrimaries(n)
	n.health = newUpstreamHealth(n)
	config := peer.Config{Addr: s.Peer, MaxInFlight: maxPeerCalls, Metrics: n.metrics.set}
	n.peers = peer.NewPool(config)
	var err error
	if n.peerServer, err = peer.Listen(config); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := n.peerServer.Register("Node", &service{n}); err != nil {
		return nil, Error.Wrap(err)
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n.callers = &caller.Server{
		Listener: listener, Protocol: p.Protocol, Router: n, AwaitConfig: n.awaitConfiguration, SessionPrefix: n.self.ID,
		Log: log, Now: n.now, ConnectionLimit: s.MaxCallers,
	}
	n.metrics.registerGauges(n)
	return n, nil
}

// settings returns the settings in force.
func (n *Node) settings() *Settings { return n.activeSettings.Load() }

// Ready reports whether the instance accepts new callers. It takes the locks that each
// statement takes, so that an instance that can't route does not answer its probe.
func (n *Node) Ready() bool {
	n.nextChange()
	n.primaries.groupCount()
	n.health.groupCount()
	return n.ready.Load() && !n.draining.Load()
}

// Serve runs the instance until the context ends, and then drains it.
func (n *Node) Serve(ctx context.Context) error {
	n.log.Info("instance: started", "instance", n.self.ID, "domain", n.self.Domain, "callers", n.settings().Listen, "peer", n.settings().Peer)
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, base := errgroup.WithContext(base)
	for _, k := range mirroredKinds {
		g.Go(func() error { n.tables.keepCurrent(base, k); return nil })
	}
	g.Go(func() error { return n.peerServer.Serve(base) })
	g.Go(func() error { return n.callers.Serve(base) })
	g.Go(func() error {
		n.register(base)
		n.keepRegistered(base)
		return nil
	})
	g.Go(func() error { n.runPings(base); return nil })
	g.Go(func() error { n.runContactChecks(base); return nil })
	g.Go(func() error { n.limits.run(base); return nil })
	g.Go(func() error { n.delegates.run(base); return nil })
	g.Go(func() error { n.primaries.run(base); return nil })
	if n.usage != nil {
		g.Go(func() error { n.usage.run(base); return nil })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			n.drain(base, context.Cause(ctx))
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

// wakeStatements wakes the statements that wait for a change, so that they are routed again.
func (n *Node) wakeStatements() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change that may affect routing.
func (n *Node) nextChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// awaitConfiguration waits for the first configuration. It returns false if the context ends
// first.
func (n *Node) awaitConfiguration(ctx context.Context) bool {
	for {
		next := n.nextChange()
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

// register writes the instance's object to the store. It reports the instance as ready after
// the object is written and all tables have been read, or, if the write fails, as soon as
// all tables are known from peers.
func (n *Node) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.writeOwnObject(ctx, false); err == nil {
			break
		} else if !errors.Is(err, context.Canceled) {
			n.log.Info("instance: not registered yet", "err", err.Error())
		}
		if n.tables.complete() {
			// Peers supplied the tables. The object is written once the store answers.
			n.markReady()
		}
		sleep(ctx, storeRetryInterval)
	}
	for ctx.Err() == nil && !n.tables.complete() {
		sleep(ctx, 20*time.Millisecond)
	}
	n.pingBeforeReady(ctx)
	n.markReady()
}

const (
	// registrationCheckInterval is the time between two looks for the instance's own object.
	registrationCheckInterval = time.Second
	// registrationDelay is the time for which the own object must be missing before it is
	// written again: a table can be some seconds old.
	registrationDelay = 3 * time.Second
	// registrationInterval is the shortest time between two such writes. An instance that is
	// cut off from the others is removed from the store again and again.
	registrationInterval = 10 * time.Second
)

// keepRegistered writes the instance's object again if the store does not have it, because it
// came back from a copy or another instance has removed it. It returns when the context ends.
func (n *Node) keepRegistered(ctx context.Context) {
	var missingSince, writtenAt time.Time
	for ctx.Err() == nil {
		sleep(ctx, registrationCheckInterval)
		now := n.now()
		switch {
		case n.isRegistered():
			missingSince = time.Time{}
		case missingSince.IsZero():
			missingSince = now
		case now.Sub(missingSince) >= registrationDelay && now.Sub(writtenAt) >= registrationInterval:
			writtenAt = now
			err := n.writeOwnObject(ctx, n.draining.Load())
			n.log.Info("instance: own object was missing in the store", "leaving", n.draining.Load(), "err", errorText(err))
		}
	}
}

// isRegistered reports whether the table of instances has the object of this run.
func (n *Node) isRegistered() bool {
	var m member
	err := json.Unmarshal(n.tables.get(KindInstance).Objects[n.settings().Name].Data, &m)
	return err == nil && m == n.ownMember(n.draining.Load())
}

// ownMember returns the content of the instance's object.
func (n *Node) ownMember(leaving bool) member {
	return member{ID: n.self.ID, Address: n.self.Address, Domain: n.self.Domain, Leaving: leaving, Delegates: true}
}

// markReady reports the instance as ready, once.
func (n *Node) markReady() {
	if !n.ready.Swap(true) {
		n.log.Info("instance: ready", "version", n.snapshot.Load().policy.Version)
	}
}

// writeOwnObject creates this instance's object in the store, or replaces that of an earlier run.
func (n *Node) writeOwnObject(ctx context.Context, leaving bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(n.ownMember(leaving))
	if err != nil {
		return Error.Wrap(err)
	}
	o := Object{Name: n.settings().Name, Data: data}
	present, err := n.platform.Store.Create(ctx, KindInstance, o)
	if errors.Is(err, ErrConflict) {
		if present.Revision == 0 {
			if present, err = n.platform.Store.Get(ctx, KindInstance, o.Name); err != nil {
				return err
			}
		}
		o.Revision = present.Revision
		_, err = n.platform.Store.Replace(ctx, KindInstance, o)
	}
	return err
}

// CheckAccess implements caller.Router.
func (n *Node) CheckAccess(database string, c access.Credential) (code callCode) {
	_, code = n.snapshot.Load().policy.Authorize(database, c)
	return code
}

// CheckTransaction implements caller.Router.
func (n *Node) CheckTransaction(id string, op *caller.Operation, database string, c access.Credential) call.Code {
	policy := n.snapshot.Load().policy
	code := policy.Reauthorize(op.Grant, database, c)
	if code != call.OK {
		n.log.Info("request: transaction refused", "id", id, "op", op.Name, "team", op.Grant.Team.Name, "database", database, "code", code, "version", policy.Version)
		n.metrics.increment("burdockseam_refused_total{reason=\"" + string(code) + "\"}")
	}
	return code
}

// Reload reads the settings file again and applies the limits and the regions. The name, the
// failure domain, the addresses, the seeds, the bound on callers and the usage reports keep
// their values from the start of the process. If the file has errors, the settings stay as they are.
func (n *Node) Reload(path string) {
	s, err := ReadSettings(path)
	if err != nil {
		n.log.Error(err, "settings: not reloaded")
		return
	}
	before := n.settings()
	ignored := s.Name != before.Name || s.Domain != before.Domain || s.Listen != before.Listen || s.Peer != before.Peer ||
		s.Advertise != before.Advertise || s.Operator != before.Operator || s.Store != before.Store || s.Promoter != before.Promoter || s.Unfenced != before.Unfenced || s.Usage != before.Usage
	s.Name, s.Domain, s.Listen, s.Operator = before.Name, before.Domain, before.Listen, before.Operator
	s.Peer, s.Advertise = before.Peer, before.Advertise
	s.Store, s.Promoter, s.Unfenced, s.Seeds, s.MaxCallers = before.Store, before.Promoter, before.Unfenced, before.Seeds, before.MaxCallers
	s.Usage = before.Usage
	n.activeSettings.Store(&s)
	n.tableChanged(KindInstance)
	n.log.Info("settings: reloaded", "ignored", ignored)
}

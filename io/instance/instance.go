// Package instance builds one instance of the fleet from its settings and runs it
// until its context ends.
package instance

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"burdockseam/core"
	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/core/queue"
	"burdockseam/core/quota"
	"burdockseam/io/operator"
	"burdockseam/io/peer"
	"burdockseam/io/postgres"
	"burdockseam/io/store"
)

// loopPollers is the number of pollers of the event loop.
const loopPollers = 2

// linkQuiet is the time without statements of other instances after which a leaving gateway
// may end. It covers the time in which the others learn that the instance leaves: two rounds
// of the relay tree, 0.5 s each.
const linkQuiet = 1500 * time.Millisecond

// Instance is one instance of the fleet.
type Instance struct {
	settings Settings
	secret   []byte
	log      logr.Logger
	now      func() time.Time
	metrics  instanceMetrics

	loop       *postgres.Loop
	server     *postgres.Server
	links      *postgres.LinkPool
	linkServer *postgres.LinkServer
	gateways   *gateways
	control    *control
	peers      *peer.Pool
	peerServer *peer.Server
	operator   *operator.Server
	directory  *directory
	callerPort net.Listener
	linkPort   net.Listener

	config   atomic.Pointer[config.Config]
	sessions atomic.Uint64
	draining atomic.Bool

	mu        sync.Mutex
	cancelRun context.CancelFunc
	teams     map[string]int // connections of callers, by team
	retries   *queue.Budget
}

// New opens the ports of the instance. Port 0 in the settings is replaced by the port that
// was opened.
func New(s Settings, log logr.Logger) (*Instance, error) {
	in := &Instance{
		settings: s,
		secret:   []byte(s.Secret),
		log:      log.WithValues("instance", s.Name),
		now:      time.Now,
		metrics:  instanceMetrics{set: metrics.NewSet()},
		teams:    make(map[string]int),
		retries:  queue.NewBudget(),
	}
	in.config.Store(&config.Config{})
	if err := in.listen(); err != nil {
		in.close()
		return nil, err
	}
	if err := in.build(); err != nil {
		in.close()
		return nil, err
	}
	return in, nil
}

// listen opens the ports and stores their actual addresses in the settings.
func (in *Instance) listen() error {
	var err error
	if in.loop, err = postgres.NewLoop(loopPollers); err != nil {
		return err
	}
	if in.callerPort, err = net.Listen("tcp", in.settings.Listen); err != nil {
		return Error.Wrap(err)
	}
	if in.linkPort, err = net.Listen("tcp", in.settings.Link); err != nil {
		return Error.Wrap(err)
	}
	in.settings.Listen = in.callerPort.Addr().String()
	in.settings.Link = in.linkPort.Addr().String()
	if in.peerServer, err = peer.Listen(peer.Config{Addr: in.settings.Peer, Metrics: in.metrics.set, Partition: in.settings.Partition}); err != nil {
		return err
	}
	in.settings.Peer = in.peerServer.Addr()
	in.operator, err = operator.Listen(operator.Config{
		Addr: in.settings.Operator, Metrics: in.metrics.set, NotReady: in.notReady, Status: func() any { return in.Status() },
		Members: func(ctx context.Context) any { return in.MemberContacts(ctx) }, Switch: in.Switch, Secret: in.settings.Secret,
	})
	if err != nil {
		return err
	}
	in.settings.Operator = in.operator.Addr()
	return nil
}

// build creates the parts of the instance and connects them.
func (in *Instance) build() error {
	s := in.settings
	var offer *tls.Config
	if s.Certificate != "" {
		certificate, err := postgres.ReloadingCertificate(s.Certificate, s.PrivateKey, func(err error) {
			in.log.Error(err, "caller: certificate not reloaded")
		})
		if err != nil {
			return err
		}
		offer = &tls.Config{GetCertificate: certificate, MinVersion: tls.VersionTLS12}
	}
	in.links = &postgres.LinkPool{Loop: in.loop, Secret: s.Secret, StallTimeout: s.Stall}
	in.linkServer = &postgres.LinkServer{Loop: in.loop, Opener: in, Log: in.log, Secret: s.Secret, StallTimeout: s.Stall}
	in.server = &postgres.Server{Loop: in.loop, Handler: in, Log: in.log, StallTimeout: s.Stall, TLS: offer, ForwardCancel: in.forwardCancel}
	in.gateways = &gateways{in: in, all: make(map[gatewayKey]*gateway)}
	in.directory = &directory{in: in, descriptions: make(map[string]Description)}
	in.peers = peer.NewPool(peer.Config{Addr: s.Peer, Metrics: in.metrics.set, Partition: s.Partition})
	in.control = &control{
		log:            in.log,
		store:          store.New(store.Config{Addr: s.Store, Name: s.Name}),
		peers:          in.peers,
		upstreams:      &upstreams{credentials: s.Credentials, instanceName: s.Name, now: in.now},
		gateways:       in.gateways,
		now:            in.now,
		notReady:       in.notReady,
		onInstall:      in.applyConfig,
		onNewTerm:      in.handleNewTerm,
		tokenWaiters:   make(map[uint64]chan quota.Decision),
		writeWaiters:   make(map[writeID]chan failover.Outcome),
		groupChanges:   make(map[string]chan struct{}),
		reportedStates: make(map[string]failover.Group),
		storeReturned:  make(chan struct{}, 1),
		node: core.New(in.now(), core.Self{
			Address:     s.Peer,
			Domain:      s.Domain,
			Incarnation: cluster.Incarnation{Start: in.now().UnixNano(), Random: rand.Uint32()},
			Seeds:       s.Seeds,
		}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	return nil
}

// Settings returns the settings, with the actual addresses of the ports.
func (in *Instance) Settings() Settings { return in.settings }

// Run serves until the context ends and then shuts down gracefully: the instance gets no
// new work, finishes what runs within the drain time, and hands its leases over.
func (in *Instance) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.Background())
	defer stop()
	in.mu.Lock()
	in.cancelRun = stop
	in.mu.Unlock()
	in.control.ctx = base
	if err := in.peerServer.Register("Node", &service{in: in}); err != nil {
		return err
	}
	g, base := errgroup.WithContext(base)
	g.Go(func() error { return in.control.run(base) })
	g.Go(func() error { return in.peerServer.Serve(base) })
	g.Go(func() error { return in.operator.Serve(base) })
	g.Go(func() error { return in.linkServer.Serve(base, in.linkPort) })
	g.Go(func() error { return in.server.Serve(base, in.callerPort) })
	g.Go(func() error { return in.control.watchGroups(base) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			in.drain(base)
			stop()
		case <-base.Done():
		}
		return nil
	})
	err := g.Wait()
	in.close()
	return err
}

// Kill ends the instance at once, without finishing what runs.
func (in *Instance) Kill() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cancelRun != nil {
		in.cancelRun()
	}
}

// drain performs a graceful shutdown, within the drain time of the settings.
func (in *Instance) drain(base context.Context) {
	in.draining.Store(true)
	in.log.Info("shutdown: draining", "callers", in.server.Callers())
	in.control.do(func(time.Time) core.Effects {
		in.control.node.Leave()
		return core.Effects{}
	})
	ctx, cancel := context.WithTimeout(base, in.settings.Drain)
	defer cancel()
	cut := in.server.Drain(ctx)
	in.control.do(func(now time.Time) core.Effects { return in.control.node.ReturnSlices(now) })
	for !in.hasLeft() && sleep(ctx, core.TickInterval) {
	}
	// Other instances send statements to this one until they learn that it leaves.
	for (in.linkServer.Active() > 0 || in.linkServer.SinceLastBatch(in.now()) < linkQuiet) && sleep(ctx, core.TickInterval) {
	}
	in.log.Info("shutdown: drained", "cut", cut+in.linkServer.Active())
}

func (in *Instance) hasLeft() bool {
	in.control.mu.Lock()
	defer in.control.mu.Unlock()
	return in.control.node.HasLeft()
}

// close releases all resources. It also works on a partly built instance.
func (in *Instance) close() {
	if in.server != nil {
		in.server.Close()
		in.links.Close()
		in.gateways.close()
		in.control.upstreams.close()
		in.peers.Close()
		in.control.store.Close()
	}
	var failed errs.Group
	for _, ln := range []net.Listener{in.callerPort, in.linkPort} {
		if ln != nil {
			failed.Add(ln.Close())
		}
	}
	if in.loop != nil {
		in.loop.Close()
	}
}

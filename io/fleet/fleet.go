package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core"
	"burdockseam/core/config"
	"burdockseam/io/instance"
	"burdockseam/io/peer"
	"burdockseam/io/store"
	"burdockseam/io/storetest"
	"burdockseam/io/upstreamtest"
)

// Options configures a fleet.
type Options struct {
	// Log receives the logs of the instances.
	Log logr.Logger
	// Instances is the number of instances to start. 0 means the number of the
	// deployment, and a negative number means none.
	Instances int
	// Settings, if not nil, changes an instance's settings before it starts.
	Settings func(*instance.Settings)
	// ReplicaLag is the replication lag of the replicas.
	ReplicaLag time.Duration
	// ExecTime is how long a statement executes at an upstream.
	ExecTime time.Duration
}

// Fleet is a running deployment: instances, and stand-ins for the store and the
// upstreams.
type Fleet struct {
	Deployment Deployment
	Keys       Keys
	Store      *storetest.Server
	Groups     map[string]*upstreamtest.Group

	options     Options
	storeClient *store.Client

	mu      sync.Mutex
	members []*Member
	serial  int // number of instances started so far; part of their names
}

// Member is one instance of the fleet.
type Member struct {
	*instance.Instance
	Domain string
	stop   context.CancelFunc // starts a graceful shutdown
	done   chan error         // receives the result of Run
}

// Start starts a deployment, which runs until Close.
func Start(ctx context.Context, d Deployment, o Options) (*Fleet, error) {
	f := &Fleet{Deployment: d, Store: storetest.New(storetest.Options{}), Groups: make(map[string]*upstreamtest.Group), options: o}
	f.storeClient = store.New(store.Config{Addr: f.Store.Addr(), Name: "operator"})
	addresses := make(map[string]string)
	for _, name := range d.Groups {
		g := upstreamtest.New(upstreamtest.Options{
			Name: name, Upstreams: len(d.Domains), Slots: d.Slots, Connections: d.Connections,
			OpenTime: d.ConnectTime, Latency: d.DomainLatency, Lag: o.ReplicaLag, ExecTime: o.ExecTime,
		})
		f.Groups[name] = g
		for i, u := range g.Upstreams() {
			addresses[upstreamName(name, d.Domains[i])] = u.Addr()
		}
	}
	files, keys, err := d.configFiles(addresses)
	if err != nil {
		f.Close()
		return nil, err
	}
	f.Keys = keys
	if _, err := f.ConfigClient().Apply(ctx, config.Request{
		ChangeInfo: config.ChangeInfo{Op: "start", Author: "fleet", Time: time.Now()}, Files: files,
	}); err != nil {
		f.Close()
		return nil, err
	}
	n := o.Instances
	if n == 0 {
		n = d.Instances
	}
	for i := range n {
		if _, err := f.Add(ctx, d.Domains[i%len(d.Domains)]); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// ConfigClient returns a client that reads and changes the configuration. Before retry
// n it waits n times 10 ms.
func (f *Fleet) ConfigClient() config.Client {
	return config.Client{Store: f.storeClient.ConfigStore(), Pause: func(ctx context.Context, n int) error {
		select {
		case <-time.After(time.Duration(n) * 10 * time.Millisecond):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}}
}

// Add starts one more instance in a failure domain.
func (f *Fleet) Add(ctx context.Context, domain string) (*Member, error) {
	f.mu.Lock()
	f.serial++
	serial := f.serial
	var seeds []string
	for _, m := range f.members {
		seeds = append(seeds, m.Settings().Peer)
	}
	f.mu.Unlock()
	s := instance.Settings{
		Name:   fmt.Sprintf("%s-%d", domain, serial),
		Domain: domain,
		Listen: "127.0.0.1:0", Link: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0",
		Store: f.Store.Addr(), Secret: "fleet", Cleartext: true,
		Stall: instance.DefaultStall, Deadline: instance.DefaultDeadline, Drain: instance.DefaultDrain,
		Seeds: seeds, Acks: instance.AckMajority, Partition: &peer.Partition{},
		Credentials: map[string]instance.Credentials{"main": f.upstreamCredentials()},
	}
	if f.options.Settings != nil {
		f.options.Settings(&s)
	}
	in, err := instance.New(s, f.options.Log)
	if err != nil {
		return nil, err
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	m := &Member{Instance: in, Domain: domain, stop: stop, done: make(chan error, 1)}
	go func() { m.done <- in.Run(run) }()
	f.mu.Lock()
	f.members = append(f.members, m)
	f.mu.Unlock()
	return m, f.publishInstances(ctx)
}

// upstreamCredentials returns the login that the upstreams of all groups accept.
func (f *Fleet) upstreamCredentials() instance.Credentials {
	for _, g := range f.Groups {
		return instance.Credentials{User: g.User(), Password: g.Password()}
	}
	return instance.Credentials{}
}

// publishInstances writes the list of running instances to the store, as the platform
// does.
func (f *Fleet) publishInstances(ctx context.Context) error {
	f.mu.Lock()
	list := make([]instance.ListedInstance, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, instance.ListedInstance{Address: m.Settings().Peer, Domain: m.Domain})
	}
	f.mu.Unlock()
	text, err := json.Marshal(list)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.storeClient.Put(ctx, "platform/instances", text, store.AnyVersion)
	return Error.Wrap(err)
}

// Members returns the running instances.
func (f *Fleet) Members() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Member(nil), f.members...)
}

// Stop shuts an instance down gracefully, waits until it has ended and removes it.
func (f *Fleet) Stop(m *Member) error {
	m.stop()
	return f.awaitExit(m)
}

// Kill ends an instance without draining it and removes it.
func (f *Fleet) Kill(m *Member) error {
	m.Kill()
	return f.awaitExit(m)
}

// awaitExit waits until the instance has ended, removes it from the members and
// returns the error with which it ended.
func (f *Fleet) awaitExit(m *Member) error {
	err := <-m.done
	f.mu.Lock()
	for i, other := range f.members {
		if other == m {
			f.members = append(f.members[:i], f.members[i+1:]...)
			break
		}
	}
	f.mu.Unlock()
	return err
}

// WaitReady waits until every instance is ready for callers and knows the primary of
// every group, and every quota shard has an owner.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		reason := f.unreadyReason()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("fleet is not ready: %s", reason)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// unreadyReason returns why the fleet is not ready, or "" if it is.
func (f *Fleet) unreadyReason() string {
	owned := 0
	for _, m := range f.Members() {
		s := m.Status()
		owned += len(s.Shards)
		if !s.Ready {
			return s.Name + ": " + s.Reason
		}
		if len(s.Owners) < core.Shards {
			return s.Name + ": a quota shard has no known owner"
		}
		for _, g := range f.Deployment.Groups {
			if s.Groups[g].Term == 0 {
				return s.Name + ": group " + g + " has no recorded primary"
			}
		}
	}
	if owned < core.Shards {
		return fmt.Sprintf("%d of %d quota shards have an owner", owned, core.Shards)
	}
	return ""
}

// URL returns the connection URL with which a team's driver reaches a route through an
// instance.
func (f *Fleet) URL(m *Member, team, route string) string {
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(team, f.Keys[team]), Host: m.Settings().Listen,
		Path: route, RawQuery: "sslmode=disable",
	}
	return u.String()
}

// Close kills all instances and stops the stand-ins.
func (f *Fleet) Close() {
	for _, m := range f.Members() {
		// An instance that is killed may end with any error.
		_ = f.Kill(m)
	}
	for _, g := range f.Groups {
		g.Close()
	}
	f.storeClient.Close()
	f.Store.Close()
}

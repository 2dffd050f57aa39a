package gateway

// The table of an instance's gateways, one for each upstream that it was asked for.

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/call"
)

// Gateways are the gateways of one instance. The methods may be called concurrently.
type Gateways struct {
	dialer   Dialer
	observer Observer
	log      logr.Logger
	now      func() time.Time

	mu  sync.Mutex
	all map[string]*Gateway
}

// Observer is told how long statements took.
type Observer interface {
	// Waited is told the time until a statement had its turn or was refused.
	Waited(time.Duration)
	// Answered is told the time until the upstream's answer.
	Answered(time.Duration)
}

// Use is what runs at an instance's gateways.
type Use struct{ Queued, Running, Connections int }

// New returns gateways without connections.
func New(d Dialer, o Observer, log logr.Logger, now func() time.Time) *Gateways {
	return &Gateways{dialer: d, observer: o, log: log, now: now, all: make(map[string]*Gateway)}
}

// Run runs a request at the upstream that it names.
func (s *Gateways) Run(ctx context.Context, r call.Request) call.Reply {
	return s.gateway(r).run(ctx, r)
}

// End ends the transaction of a session that its caller has given up.
func (s *Gateways) End(upstream, session string) {
	if g := s.find(upstream); g != nil {
		g.end(session)
	}
}

// Hold stops (or with false resumes) new work at an upstream, before its group gets
// another primary. It returns the number of statements and transactions that still run.
func (s *Gateways) Hold(upstream string, held bool) int {
	g := s.find(upstream)
	if g == nil {
		return 0
	}
	return g.hold(held)
}

// Open returns the number of statements and transactions at all upstreams.
func (s *Gateways) Open() int {
	n := 0
	for _, g := range s.list() {
		n += g.busy()
	}
	return n
}

// Use returns what runs at all upstreams.
func (s *Gateways) Use() Use {
	var u Use
	for _, g := range s.list() {
		g.mu.Lock()
		u.Queued += g.queue.Queued()
		u.Running += g.queue.Running()
		u.Connections += len(g.conns)
		g.mu.Unlock()
	}
	return u
}

func (s *Gateways) list() []*Gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.all))
}

// Forget closes the connections to an upstream that has left or started anew.
func (s *Gateways) Forget(upstream string) {
	s.mu.Lock()
	g := s.all[upstream]
	delete(s.all, upstream)
	s.mu.Unlock()
	if g != nil {
		g.close()
	}
}

// Sweep closes gateways without work. Those that are placed elsewhere now are closed
// sooner, since their connections are missing there.
func (s *Gateways) Sweep(placed func(upstream string) bool) {
	s.mu.Lock()
	var list []*Gateway
	for name, g := range s.all {
		limit := idleGateway
		if !placed(name) {
			limit = idleElsewhere
			g.trim()
		}
		if g.idleFor() > limit {
			delete(s.all, name)
			list = append(list, g)
		}
	}
	s.mu.Unlock()
	for _, g := range list {
		g.close()
	}
}

// Leave closes idle connections from now on, since other instances take over.
func (s *Gateways) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.all {
		g.trim()
	}
}

func (s *Gateways) find(upstream string) *Gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[upstream]
}

func (s *Gateways) gateway(r call.Request) *Gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.all[r.Upstream]
	if g == nil || g.address != r.Address {
		if g != nil {
			go g.close()
		}
		g = newGateway(s, r)
		s.all[r.Upstream] = g
	}
	return g
}

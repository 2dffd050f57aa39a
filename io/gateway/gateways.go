package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/call"
	"burdockseam/core/pace"
)

// Gateways holds the gateways of one instance, one for each upstream for which the
// instance has received requests. Its methods may be called concurrently.
type Gateways struct {
	// Meter, if set before the first request, is told of each statement that is sent.
	Meter Meter

	dialer   Dialer
	observer Observer
	log      logr.Logger
	now      func() time.Time
	wall     func() time.Time // wall clock, for the age of an upstream

	mu         sync.Mutex
	byUpstream map[string]*Gateway
}

// Observer receives the durations of the stages of statements.
type Observer interface {
	// Waited receives the time until a statement was started or refused.
	Waited(time.Duration)
	// Answered receives the time from sending a statement to the upstream's answer.
	Answered(time.Duration)
	// Refused receives the reason why a request was refused before it was sent to the
	// upstream, and whether it had been held for more than a quarter of its target.
	Refused(reason string, late bool)
	// Paced receives the phase into which the pace of an upstream has changed.
	Paced(phase string)
}

// Usage counts the statements and connections of all gateways of an instance. Pace is the
// number of statements allowed at a time at the upstreams whose pace is adapted, and Below the
// number of upstreams below their full pace.
type Usage struct{ Queued, Running, Connections, Pace, Below int }

// Meter counts the statements that are sent to upstreams.
type Meter interface {
	// Sent is called just before a caller's statement is sent, and the returned function
	// with the final reply.
	Sent(r call.Request) func(*call.Reply)
}

// New returns Gateways without any gateway. Run creates gateways on demand.
func New(d Dialer, o Observer, log logr.Logger, now func() time.Time) *Gateways {
	return &Gateways{dialer: d, observer: o, log: log, now: now, wall: time.Now, byUpstream: make(map[string]*Gateway)}
}

// Run runs a request at the upstream that it names.
func (s *Gateways) Run(ctx context.Context, r call.Request) call.Reply {
	g := s.getOrCreate(r)
	reply := g.run(ctx, r)
	if r.Adaptive {
		g.addFigures(&reply)
	}
	return reply
}

// EndTransaction rolls back the transaction of a session whose caller has given it up.
func (s *Gateways) EndTransaction(upstream, session string) {
	if g := s.find(upstream); g != nil {
		g.endTransaction(session)
	}
}

// SetHeld stops new work at an upstream before its group gets another primary, or resumes
// it if held is false. It returns the number of running statements and open transactions.
func (s *Gateways) SetHeld(upstream string, held bool) int {
	g := s.find(upstream)
	if g == nil {
		return 0
	}
	return g.setHeld(held)
}

// OpenWork returns the number of running and waiting statements and open transactions at
// all upstreams.
func (s *Gateways) OpenWork() int {
	n := 0
	for _, g := range s.listGateways() {
		n += g.openWork()
	}
	return n
}

// Usage returns the current counts over all upstreams.
func (s *Gateways) Usage() Usage {
	var u Usage
	for _, g := range s.listGateways() {
		g.mu.Lock()
		u.Queued += g.queue.Queued()
		u.Running += g.queue.Running()
		u.Connections += len(g.conns)
		u.Pace += g.pace.limit()
		if g.pace.Pace != nil && g.pace.Phase() != pace.Full {
			u.Below++
		}
		g.mu.Unlock()
	}
	return u
}

func (s *Gateways) listGateways() []*Gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.byUpstream))
}

// CloseGateway closes the connections to an upstream that has left or restarted.
func (s *Gateways) CloseGateway(upstream string) {
	s.mu.Lock()
	g := s.byUpstream[upstream]
	delete(s.byUpstream, upstream)
	s.mu.Unlock()
	if g != nil {
		g.close()
	}
}

// CloseIdle closes gateways without work. placed reports whether this instance is still
// the chosen gateway of an upstream. The other gateways are closed sooner, since the
// instances that are chosen now need the connections.
func (s *Gateways) CloseIdle(placed func(upstream string) bool) {
	s.mu.Lock()
	var list []*Gateway
	for name, g := range s.byUpstream {
		limit := idleTimeout
		if !placed(name) {
			limit = idleTimeoutElsewhere
			g.trimIdle()
		}
		if g.idleTime() > limit {
			delete(s.byUpstream, name)
			list = append(list, g)
		}
	}
	s.mu.Unlock()
	for _, g := range list {
		g.close()
	}
}

// TrimIdle closes idle connections of an instance that is leaving, since other instances
// take over its upstreams.
func (s *Gateways) TrimIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.byUpstream {
		g.trimIdle()
	}
}

func (s *Gateways) find(upstream string) *Gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byUpstream[upstream]
}

// getOrCreate returns the gateway of the upstream that the request names. A gateway for
// an earlier address of the upstream is replaced.
func (s *Gateways) getOrCreate(r call.Request) *Gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.byUpstream[r.Upstream]
	if g == nil || g.address != r.Address {
		if g != nil {
			go g.close()
		}
		g = newGateway(s, r)
		s.byUpstream[r.Upstream] = g
	}
	return g
}

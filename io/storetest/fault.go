package storetest

import (
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// Kind is the kind of a store request.
type Kind string

// The kinds of store requests.
const (
	KindGet    Kind = "get"
	KindPut    Kind = "put"
	KindDelete Kind = "delete"
	KindList   Kind = "list"
	KindWatch  Kind = "watch"
)

// Outage is the way in which an unreachable store fails.
type Outage string

// The kinds of outages.
const (
	OutageNone   Outage = ""       // the store works
	OutageRefuse Outage = "refuse" // every connection is reset
	OutageHang   Outage = "hang"   // requests get no response until the outage ends
	OutageLose   Outage = "lose"   // requests under way or sent meanwhile never get a response
)

// faults holds the injected faults of a server.
type faults struct {
	mu              sync.Mutex
	changed         chan struct{} // closed and replaced at each change of the faults
	delay           time.Duration // see SetDelay
	serviceTime     time.Duration // see SetServiceTime
	serving         sync.Mutex    // held by the request in progress while serviceTime is set
	outage          Outage
	losses          int                      // number of outages of the kind OutageLose so far
	responsesToLose int                      // number of write responses still to lose
	partitioned     func(client string) bool // selects the clients that cannot reach the store; nil for none
}

// update changes the faults and wakes the requests that wait for a change.
func (f *faults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// refusesConnections reports whether connections are reset. It also returns a channel
// that is closed at the next change of the faults.
func (f *faults) refusesConnections() (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage == OutageRefuse, f.changed
}

// lossCount returns the number of outages in which requests lose their responses, and whether
// there is one now.
func (f *faults) lossCount() (count int, losing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.losses, f.outage == OutageLose
}

// waitAbandoned returns when the client has given up a request or the server is closed.
func (s *Server) waitAbandoned(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
}

// loseNextResponse reports whether the response of the current write is to be lost, and
// counts the loss.
func (f *faults) loseNextResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.responsesToLose == 0 {
		return false
	}
	f.responsesToLose--
	return true
}

// waitUnblocked blocks a request during a hanging outage or a partition of its client.
// It returns false if the connection is to be reset instead.
func (s *Server) waitUnblocked(r *http.Request, client string) bool {
	f := &s.faults
	for {
		f.mu.Lock()
		outage, changed := f.outage, f.changed
		blocked := outage == OutageHang || f.partitioned != nil && f.partitioned(client)
		f.mu.Unlock()
		switch {
		case outage == OutageRefuse:
			return false
		case !blocked:
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		case <-s.closed:
			return false
		}
	}
}

// waitServiceTime delays a request by the service time that SetServiceTime sets, one
// request at a time. It returns half of the delay that SetDelay sets.
func (s *Server) waitServiceTime() time.Duration {
	f := &s.faults
	f.mu.Lock()
	delay, slow := f.delay, f.serviceTime
	f.mu.Unlock()
	if slow > 0 {
		f.serving.Lock()
		s.sleep(slow)
		f.serving.Unlock()
	}
	return delay / 2
}

// resetConnection resets the TCP connection without sending a response.
func resetConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	nc, _, err := h.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if t, ok := nc.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	nc.Close()
}

// SetOutage begins or ends an outage. It also affects requests that are already
// waiting.
func (s *Server) SetOutage(o Outage) {
	s.faults.update(func() {
		s.faults.outage = o
		if o == OutageLose {
			s.faults.losses++
		}
	})
}

// SetDelay sets the duration of a request: half of it passes before the request takes
// effect and half after. The request takes effect even if the client has given up
// meanwhile.
func (s *Server) SetDelay(d time.Duration) { s.faults.update(func() { s.faults.delay = d }) }

// SetServiceTime makes the store serve one request at a time, each for the duration d;
// 0 restores concurrent service.
func (s *Server) SetServiceTime(d time.Duration) {
	s.faults.update(func() { s.faults.serviceTime = d })
}

// LoseResponses makes the next n puts and deletes take effect and then resets their
// connections without a response.
func (s *Server) LoseResponses(n int) { s.faults.update(func() { s.faults.responsesToLose = n }) }

// SetPartition makes the requests of the clients that match selects hang; nil ends the
// partition.
func (s *Server) SetPartition(match func(client string) bool) {
	s.faults.update(func() { s.faults.partitioned = match })
}

// counts holds the number of requests of each client by kind.
type counts struct {
	mu       sync.Mutex
	byClient map[string]map[Kind]int
}

func (c *counts) add(client string, k Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byClient[client] == nil {
		c.byClient[client] = map[Kind]int{}
	}
	c.byClient[client][k]++
}

// Calls returns the number of requests that reached the store, by kind. A watch counts
// once, however long it waits.
func (s *Server) Calls() map[Kind]int {
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	out := map[Kind]int{}
	for _, m := range s.counts.byClient {
		for k, n := range m {
			out[k] += n
		}
	}
	return out
}

// CallsOf returns the number of requests of one client, by kind.
func (s *Server) CallsOf(client string) map[Kind]int {
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	return maps.Clone(s.counts.byClient[client])
}

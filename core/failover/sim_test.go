package failover

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// sim runs nodes over a network with delays, in simulated time. Each node is the gateway of
// one upstream, in a failure domain of its own.
type sim struct {
	*fakeCluster
	now       time.Time
	rand      *rand.Rand
	events    events
	seq       int
	nodes     []*simNode
	cutLinks  map[[2]string]bool // directed links that are cut: from, to
	delay     func(from, to string) time.Duration
	onRequest func(*simNode, Request) bool // called with each request; the request is lost if it returns false
	onAnswer  func(*simNode, Request) bool // called with each answer; the answer is lost if it returns false
	ackTimes  []time.Time                  // when writes were acknowledged
	unknown   int                          // writes with an unknown outcome
}

// simNode is an instance with its gateway. Node na is the gateway of upstream a.
type simNode struct {
	name        string
	index       int
	incarnation int // number of the present incarnation
	ticks       int
	dead        bool
	paused      time.Time // end of the pause
	detector    *Detector
	coordinator *Coordinator
	acks        AckTracker
	drainID     string
	stepTimes   map[Step]time.Time // when each step was first seen
	announced   time.Time          // when the node announced a group
}

// event is a function to run at a time. Events of the same time run in the order of seq.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	simTick  = 50 * time.Millisecond
	simWrite = 20 * time.Millisecond
)

// newSim returns a running group of n upstreams: one write every 20 ms, replication every 2
// ms, delays of 1 to 2 ms each way, 2 to 6 ms to the store.
func newSim(n int, seed uint64) *sim { return newSimLag(n, seed, 2*time.Millisecond) }

// newSimLag returns a running group like newSim, with replication every lag.
func newSimLag(n int, seed uint64, lag time.Duration) *sim {
	s := &sim{
		fakeCluster: newCluster(n), now: epoch, rand: rand.New(rand.NewPCG(seed, 1)),
		cutLinks: map[[2]string]bool{},
	}
	s.delay = func(_, to string) time.Duration {
		ms := time.Millisecond
		if to == "store" {
			ms *= 2
		}
		return ms + time.Duration(s.rand.Int64N(int64(ms)))
	}
	for i := range n {
		n := &simNode{name: "n" + names[i], index: i, stepTimes: map[Step]time.Time{}}
		s.nodes = append(s.nodes, n)
		s.startNode(n)
		s.every(time.Duration(1+s.rand.Int64N(int64(simTick))), simTick, func() { s.tickNode(n) })
		s.every(simWrite, simWrite, func() { s.clientWrite(n) })
		s.every(0, 5*time.Millisecond, func() { s.pollAcks(n) })
		u := s.upstreams[i]
		s.every(0, lag, func() {
			if !s.cutLinks[[2]string{u.following, u.name}] {
				s.replicate(u, 50)
			}
		})
	}
	return s
}

// startNode starts a new incarnation of a node without any memory.
func (s *sim) startNode(n *simNode) {
	n.incarnation++
	n.dead, n.drainID, n.acks = false, "", AckTracker{}
	n.detector = NewDetector(n.name, "d"+n.name, DefaultTiming)
	n.detector.SetMembers(names[:len(s.upstreams)])
	n.coordinator = NewCoordinator(Options{
		Self: n.name, Incarnation: n.name + string(rune('0'+n.incarnation)), Timing: DefaultTiming, Seed: s.rand.Uint64(),
	})
	n.coordinator.SetMembers(s.members())
	s.sendRequests(n, n.coordinator.HandleStore(s.now, s.storeCall(Request{Kind: KindGet})))
}

func (s *sim) members() []Member {
	var out []Member
	for _, u := range s.upstreams {
		out = append(out, Member{u.name, "d" + u.name, true})
	}
	return out
}

// after runs a function when d has passed.
func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(max(d, 0)), s.seq, run})
}

// every runs a function again and again, each time when the period has passed.
func (s *sim) every(first, period time.Duration, run func()) {
	s.after(first, func() {
		run()
		s.every(period, period, run)
	})
}

// run advances the time until done returns true or d is over, and reports whether done did.
func (s *sim) run(d time.Duration, done func() bool) bool {
	for end := s.now.Add(d); s.events[0].at.Before(end); {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
		if done != nil && done() {
			return true
		}
	}
	return false
}

// deliver runs a function after the delay between two places, unless the link is cut then.
func (s *sim) deliver(from, to string, run func()) {
	s.after(s.delay(from, to), func() {
		if !s.cutLinks[[2]string{from, to}] {
			run()
		}
	})
}

// runWhenAwake runs a function at a node once the node is not paused, if the node is still the
// same incarnation.
func (s *sim) runWhenAwake(n *simNode, incarnation int, run func()) {
	if s.now.Before(n.paused) {
		s.after(n.paused.Sub(s.now), func() { s.runWhenAwake(n, incarnation, run) })
		return
	}
	if n.incarnation == incarnation && !n.dead {
		run()
	}
}

// tickNode does the periodic work of a node: it ticks its parts and requests the suspicions of
// the other nodes.
func (s *sim) tickNode(n *simNode) {
	if n.dead || s.now.Before(n.paused) {
		return
	}
	s.sendRequests(n, n.detector.Tick(s.now))
	var order []string
	for _, o := range s.nodes {
		order = append(order, o.name)
	}
	s.sendRequests(n, n.coordinator.SetActive(s.now, n.detector.IsCoordinator(s.now, order)))
	s.sendRequests(n, n.coordinator.Tick(s.now, n.detector.Verdict(s.now)))
	s.recordOutcomes(n.acks.Tick(s.now))
	if n.ticks++; n.ticks%5 != 0 && !n.detector.OwnSuspicion(s.now).Suspected {
		return // suspicions are requested every 250 ms, and at each tick during a suspicion
	}
	for _, o := range s.nodes {
		if o == n {
			continue
		}
		asked, incarnation := s.now, n.incarnation
		s.deliver(n.name, o.name, func() {
			s.runWhenAwake(o, o.incarnation, func() {
				suspicion := o.detector.OwnSuspicion(s.now)
				s.deliver(o.name, n.name, func() {
					s.runWhenAwake(n, incarnation, func() {
						suspicion.Age = s.now.Sub(asked)
						n.detector.HandleSuspicion(s.now, suspicion)
					})
				})
			})
		})
	}
}

// sendRequests performs the requests of a node and delivers the answers.
func (s *sim) sendRequests(n *simNode, reqs []Request) {
	s.passGroup(n)
	for _, r := range reqs {
		if s.onRequest != nil && !s.onRequest(n, r) || n.dead {
			continue
		}
		if r.Kind == KindAnnounce {
			n.announced = s.now
			for _, o := range s.nodes {
				incarnation, change := o.incarnation, StoreResult{Kind: KindGet, Group: r.Group, Version: r.Version}
				s.deliver(n.name, o.name, func() {
					s.runWhenAwake(o, incarnation, func() { s.sendRequests(o, o.coordinator.HandleStore(s.now, change)) })
				})
			}
			continue
		}
		begun, incarnation := s.now, n.incarnation
		to := r.Upstream
		if r.Kind == KindGet || r.Kind == KindPut {
			to = "store"
		}
		s.deliver(n.name, to, func() {
			deliverAnswer := s.performRequest(begun, r)
			if deliverAnswer == nil {
				return
			}
			s.deliver(to, n.name, func() {
				if s.onAnswer != nil && !s.onAnswer(n, r) {
					return
				}
				s.runWhenAwake(n, incarnation, func() { deliverAnswer(n) })
			})
		})
	}
}

// performRequest performs a request and returns the function that delivers the answer, or nil
// if there is no answer.
func (s *sim) performRequest(begun time.Time, r Request) func(*simNode) {
	switch r.Kind {
	case KindGet, KindPut:
		before := s.version
		out := s.storeCall(r)
		if s.version != before {
			for _, o := range s.nodes {
				s.deliverChange(o, o.incarnation)
			}
		}
		return func(n *simNode) { s.sendRequests(n, n.coordinator.HandleStore(s.now, out)) }
	case KindDrain, KindRelease:
		g := s.nodes[slices.Index(names, r.Upstream)]
		if r.Kind == KindDrain {
			g.drainID = r.ID
		} else if g.drainID == r.ID {
			g.drainID = ""
		}
		if n, _ := g.acks.Pending(); n > 0 || g.dead {
			return nil // the coordinator repeats the request
		}
	}
	out := s.controlCall(begun, r)
	return func(n *simNode) {
		n.detector.HandleUpstream(out)
		s.recordOutcomes(n.acks.HandleStatus(out.Upstream, out.Status))
		s.sendRequests(n, n.coordinator.HandleUpstream(s.now, out))
	}
}

// deliverChange delivers the group object to a node, and tries again while the link from the
// store is cut.
func (s *sim) deliverChange(n *simNode, incarnation int) {
	s.after(s.delay("store", n.name), func() {
		if s.cutLinks[[2]string{"store", n.name}] {
			s.after(100*time.Millisecond, func() { s.deliverChange(n, incarnation) })
			return
		}
		change := s.storeCall(Request{Kind: KindGet})
		s.runWhenAwake(n, incarnation, func() { s.sendRequests(n, n.coordinator.HandleStore(s.now, change)) })
	})
}

// passGroup passes the recorded group on to the other parts of a node.
func (s *sim) passGroup(n *simNode) {
	if step, _ := n.coordinator.Step(); n.stepTimes[step].IsZero() {
		n.stepTimes[step] = s.now
	}
	g, _, ok := n.coordinator.Group()
	if !ok {
		return
	}
	n.detector.SetGroup(s.now, g.Term, g.Primary)
	if g.Term != n.acks.term {
		n.drainID = ""
	}
	s.recordOutcomes(n.acks.SetGroup(g.Term, g.Primary, names[:len(s.upstreams)]))
}

// clientWrite runs one write if the node is, by the group that it knows, the gateway of the
// primary.
func (s *sim) clientWrite(n *simNode) {
	g, _, _ := n.coordinator.Group()
	if n.dead || n.drainID != "" || s.now.Before(n.paused) || g.Primary != names[n.index] || s.cutLinks[[2]string{n.name, g.Primary}] {
		return
	}
	id, p, ok := s.write(g.Primary, g.Term)
	if !ok {
		return
	}
	s.recordOutcomes(n.acks.Add(Write{ID: id, Position: p, Deadline: s.now.Add(time.Second)}))
	s.recordOutcomes(n.acks.HandleStatus(g.Primary, Status{RolePrimary, p.Term, p}))
}

// pollAcks requests the statuses of the upstreams while writes are pending.
func (s *sim) pollAcks(n *simNode) {
	if count, offset := n.acks.Pending(); count > 0 && !n.dead {
		for _, u := range s.upstreams {
			s.sendRequests(n, []Request{{Kind: KindStatus, Upstream: u.name, Offset: offset}})
		}
	}
}

func (s *sim) recordOutcomes(resolved []ResolvedWrite) {
	s.fakeCluster.recordOutcomes(resolved)
	for _, x := range resolved {
		if x.Outcome == OutcomeAcknowledged {
			s.ackTimes = append(s.ackTimes, s.now)
		} else {
			s.unknown++
		}
	}
}

// isolate cuts places off from all other places, or joins them again.
func (s *sim) isolate(cut bool, places ...string) {
	for _, other := range append([]string{"store"}, names...) {
		for _, o := range []string{other, "n" + other} {
			if slices.Contains(places, o) {
				continue
			}
			for _, p := range places {
				s.cutLinks[[2]string{p, o}], s.cutLinks[[2]string{o, p}] = cut, cut
			}
		}
	}
}

// runUntilWritable runs for up to d until n more writes are acknowledged and at least the
// given term is recorded, and reports whether that happened.
func (s *sim) runUntilWritable(d time.Duration, n int, term uint64) bool {
	n += len(s.ackTimes)
	return s.run(d, func() bool { return len(s.ackTimes) >= n && s.storedGroup().Term >= term })
}

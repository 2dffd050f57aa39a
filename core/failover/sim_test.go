package failover

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// sim runs nodes, each the gateway of one upstream in its own failure domain, over a
// network with delays in simulated time.
type sim struct {
	*fakeCluster
	now     time.Time
	rand    *rand.Rand
	events  events
	seq     int
	nodes   []*simNode
	cut     map[[2]string]bool // directed: from, to
	delay   func(from, to string) time.Duration
	hook    func(*simNode, Request) bool // sees each request; false loses it
	answer  func(*simNode, Request) bool // sees each answer; false loses it
	acks    []time.Time                  // when writes were acknowledged
	unknown int
}

type simNode struct {
	name   string
	index  int
	gen    int // counts restarts
	ticks  int
	dead   bool
	paused time.Time // until
	det    *Detector
	coord  *Coordinator
	acks   AckTracker
	drain  string
	steps  map[Step]time.Time // when a step was last entered
	told   time.Time          // when it announced
}

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

// newSim returns a running group of n upstreams: one write each 20 ms, replication
// each 2 ms, delays of 1 to 2 ms each way, 2 to 6 ms to the store.
func newSim(n int, seed uint64) *sim { return newSimLag(n, seed, 2*time.Millisecond) }

func newSimLag(n int, seed uint64, lag time.Duration) *sim {
	s := &sim{
		fakeCluster: newCluster(n), now: epoch, rand: rand.New(rand.NewPCG(seed, 1)),
		cut: map[[2]string]bool{},
	}
	s.delay = func(_, to string) time.Duration {
		ms := time.Millisecond
		if to == "store" {
			ms *= 2
		}
		return ms + time.Duration(s.rand.Int64N(int64(ms)))
	}
	for i := range n {
		n := &simNode{name: "n" + names[i], index: i, steps: map[Step]time.Time{}}
		s.nodes = append(s.nodes, n)
		s.start(n)
		s.every(time.Duration(1+s.rand.Int64N(int64(simTick))), simTick, func() { s.tick(n) })
		s.every(simWrite, simWrite, func() { s.clientWrite(n) })
		s.every(0, 5*time.Millisecond, func() { s.pollAcks(n) })
		u := s.ups[i]
		s.every(0, lag, func() {
			if !s.cut[[2]string{u.following, u.name}] {
				s.replicate(u, 50)
			}
		})
	}
	return s
}

// start gives a node a new incarnation without any memory.
func (s *sim) start(n *simNode) {
	n.gen++
	n.dead, n.drain, n.acks = false, "", AckTracker{}
	n.det = NewDetector(n.name, "d"+n.name, DefaultTiming)
	n.det.SetMembers(names[:len(s.ups)])
	n.coord = NewCoordinator(Options{
		Self: n.name, Incarnation: n.name + string(rune('0'+n.gen)), Timing: DefaultTiming, Seed: s.rand.Uint64(),
	})
	n.coord.SetMembers(s.members())
	s.send(n, n.coord.HandleStore(s.now, s.storeCall(Request{Kind: KindGet})))
}

func (s *sim) members() []Member {
	var out []Member
	for _, u := range s.ups {
		out = append(out, Member{u.name, "d" + u.name, true})
	}
	return out
}

func (s *sim) at(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(max(d, 0)), s.seq, run})
}

func (s *sim) every(first, period time.Duration, run func()) {
	s.at(first, func() {
		run()
		s.every(period, period, run)
	})
}

// run lets time pass until done holds or d is over, and reports whether it held.
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

// carry brings something from one place to another, unless the link is cut.
func (s *sim) carry(from, to string, run func()) {
	s.at(s.delay(from, to), func() {
		if !s.cut[[2]string{from, to}] {
			run()
		}
	})
}

// wake runs something at a node once it is not paused, if it is the same incarnation.
func (s *sim) wake(n *simNode, gen int, run func()) {
	if s.now.Before(n.paused) {
		s.at(n.paused.Sub(s.now), func() { s.wake(n, gen, run) })
		return
	}
	if n.gen == gen && !n.dead {
		run()
	}
}

func (s *sim) tick(n *simNode) {
	if n.dead || s.now.Before(n.paused) {
		return
	}
	s.send(n, n.det.Tick(s.now))
	var order []string
	for _, o := range s.nodes {
		order = append(order, o.name)
	}
	s.send(n, n.coord.SetActive(s.now, n.det.IsCoordinator(s.now, order)))
	s.send(n, n.coord.Tick(s.now, n.det.Verdict(s.now)))
	s.settle(n.acks.Tick(s.now))
	if n.ticks++; n.ticks%5 != 0 && !n.det.OwnSuspicion(s.now).Suspected {
		return // opinions are asked for every 250 ms, and each tick during a suspicion
	}
	for _, o := range s.nodes {
		if o == n {
			continue
		}
		asked, gen := s.now, n.gen
		s.carry(n.name, o.name, func() {
			s.wake(o, o.gen, func() {
				opinion := o.det.OwnSuspicion(s.now)
				s.carry(o.name, n.name, func() {
					s.wake(n, gen, func() {
						opinion.Age = s.now.Sub(asked)
						n.det.HandleSuspicion(s.now, opinion)
					})
				})
			})
		})
	}
}

// send performs requests of a node and brings the answers back.
func (s *sim) send(n *simNode, reqs []Request) {
	s.learn(n)
	for _, r := range reqs {
		if s.hook != nil && !s.hook(n, r) || n.dead {
			continue
		}
		if r.Kind == KindAnnounce {
			n.told = s.now
			for _, o := range s.nodes {
				gen, news := o.gen, StoreResult{Kind: KindGet, Group: r.Group, Version: r.Version}
				s.carry(n.name, o.name, func() {
					s.wake(o, gen, func() { s.send(o, o.coord.HandleStore(s.now, news)) })
				})
			}
			continue
		}
		begun, gen := s.now, n.gen
		to := r.Upstream
		if r.Kind == KindGet || r.Kind == KindPut {
			to = "store"
		}
		s.carry(n.name, to, func() {
			back := s.perform(begun, r)
			if back == nil {
				return
			}
			s.carry(to, n.name, func() {
				if s.answer != nil && !s.answer(n, r) {
					return
				}
				s.wake(n, gen, func() { back(n) })
			})
		})
	}
}

// perform returns the delivery of the answer, or nil if there is none.
func (s *sim) perform(begun time.Time, r Request) func(*simNode) {
	switch r.Kind {
	case KindGet, KindPut:
		before := s.version
		out := s.storeCall(r)
		if s.version != before {
			for _, o := range s.nodes {
				s.watch(o, o.gen)
			}
		}
		return func(n *simNode) { s.send(n, n.coord.HandleStore(s.now, out)) }
	case KindDrain, KindRelease:
		g := s.nodes[slices.Index(names, r.Upstream)]
		if r.Kind == KindDrain {
			g.drain = r.ID
		} else if g.drain == r.ID {
			g.drain = ""
		}
		if n, _ := g.acks.Pending(); n > 0 || g.dead {
			return nil // the coordinator asks again
		}
	}
	out := s.control(begun, r)
	return func(n *simNode) {
		n.det.HandleUpstream(out)
		s.settle(n.acks.HandleStatus(out.Upstream, out.Status))
		s.send(n, n.coord.HandleUpstream(s.now, out))
	}
}

// watch brings the object to a node, when the store can be reached again if need be.
func (s *sim) watch(n *simNode, gen int) {
	s.at(s.delay("store", n.name), func() {
		if s.cut[[2]string{"store", n.name}] {
			s.at(100*time.Millisecond, func() { s.watch(n, gen) })
			return
		}
		change := s.storeCall(Request{Kind: KindGet})
		s.wake(n, gen, func() { s.send(n, n.coord.HandleStore(s.now, change)) })
	})
}

// learn passes the group on to the other parts of a node.
func (s *sim) learn(n *simNode) {
	if step, _ := n.coord.Step(); n.steps[step].IsZero() {
		n.steps[step] = s.now
	}
	g, _, ok := n.coord.Group()
	if !ok {
		return
	}
	n.det.SetGroup(s.now, g.Term, g.Primary)
	if g.Term != n.acks.term {
		n.drain = ""
	}
	s.settle(n.acks.SetGroup(g.Term, g.Primary, names[:len(s.ups)]))
}

// clientWrite runs one write if the node believes that it is the primary's gateway.
func (s *sim) clientWrite(n *simNode) {
	g, _, _ := n.coord.Group()
	if n.dead || n.drain != "" || s.now.Before(n.paused) || g.Primary != names[n.index] || s.cut[[2]string{n.name, g.Primary}] {
		return
	}
	id, p, ok := s.write(g.Primary, g.Term)
	if !ok {
		return
	}
	s.settle(n.acks.Add(Write{ID: id, At: p, Deadline: s.now.Add(time.Second)}))
	s.settle(n.acks.HandleStatus(g.Primary, Status{RolePrimary, p.Term, p}))
}

// pollAcks asks the upstreams while writes are pending.
func (s *sim) pollAcks(n *simNode) {
	if count, offset := n.acks.Pending(); count > 0 && !n.dead {
		for _, u := range s.ups {
			s.send(n, []Request{{Kind: KindStatus, Upstream: u.name, Offset: offset}})
		}
	}
}

func (s *sim) settle(settled []ResolvedWrite) {
	s.fakeCluster.settle(settled)
	for _, x := range settled {
		if x.Outcome == OutcomeAcknowledged {
			s.acks = append(s.acks, s.now)
		} else {
			s.unknown++
		}
	}
}

// isolate cuts places off from every other one, or joins them again.
func (s *sim) isolate(cut bool, places ...string) {
	for _, other := range append([]string{"store"}, names...) {
		for _, o := range []string{other, "n" + other} {
			if slices.Contains(places, o) {
				continue
			}
			for _, p := range places {
				s.cut[[2]string{p, o}], s.cut[[2]string{o, p}] = cut, cut
			}
		}
	}
}

// writable runs until n more writes are acknowledged and at least term is recorded.
func (s *sim) writable(d time.Duration, n int, term uint64) bool {
	n += len(s.acks)
	return s.run(d, func() bool { return len(s.acks) >= n && s.get().Term >= term })
}

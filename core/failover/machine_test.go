package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/route"
	"burdockseam/core/session"
	"burdockseam/core/wal"
)

// messageInFlight is a request that was sent and not performed yet, or its answer that was not
// delivered yet.
type messageInFlight struct {
	coordinator *Coordinator // the sender; nil if a gateway or a router sent the request
	acks        *AckTracker
	routes      *route.Group
	req         Request
	begun       time.Time
	answer      any // nil until the request was performed
}

// machine drives two coordinators and a gateway of each upstream. Every message may be lost,
// duplicated, late or reordered, and the verdicts are arbitrary.
type machine struct {
	*fakeCluster
	t            *rapid.T
	now          time.Time
	incarnations int // number of coordinators that were started
	coordinators []*Coordinator
	trackers     []*AckTracker // of the gateway of the upstream with the same index
	routes       *route.Group
	inFlight     []messageInFlight
	token        session.Token
	sessionAcked map[uint64]wal.Position // acknowledged writes of the session
	sessionWrote map[uint64]bool         // whether the session made the write
}

// reached counts what all runs together have reached, so that the test fails if the runs never
// get to acknowledgements, promotions and reads of replicas.
var reached = map[string]int{}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		fakeCluster: newCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "upstreams")), t: t, now: epoch,
		routes: route.NewGroup(time.Millisecond), sessionAcked: map[uint64]wal.Position{}, sessionWrote: map[uint64]bool{},
	}
	var upstreams []route.Upstream
	for _, u := range m.upstreams {
		upstreams = append(upstreams, route.Upstream{Name: u.name, Domain: "d" + u.name})
		m.trackers = append(m.trackers, &AckTracker{})
	}
	m.routes.SetMembers(upstreams)
	m.routes.SetLeadership(1, "a", wal.History{{Term: 1}})
	m.coordinators = make([]*Coordinator, 2)
	for i := range m.coordinators {
		m.restartCoordinator(i)
	}
	for i := range m.trackers {
		m.passGroup(i)
	}
	return m
}

// restartCoordinator replaces a coordinator by a new incarnation without any memory.
func (m *machine) restartCoordinator(i int) {
	m.incarnations++
	c := NewCoordinator(Options{
		Self: names[i], Incarnation: fmt.Sprintf("%s%d", names[i], m.incarnations), Timing: DefaultTiming, Seed: uint64(m.incarnations),
	})
	var members []Member
	for _, u := range m.upstreams {
		members = append(members, Member{u.name, "d" + u.name, true})
	}
	c.SetMembers(members)
	m.coordinators[i] = c
	m.sendRequests(c, c.SetActive(m.now, true))
}

// passGroup passes the stored group on to a gateway.
func (m *machine) passGroup(i int) {
	g := m.storedGroup()
	m.recordOutcomes(m.trackers[i].SetGroup(g.Term, g.Primary, names[:len(m.upstreams)]))
}

func (m *machine) sendRequests(c *Coordinator, reqs []Request) {
	for _, r := range reqs {
		if r.Kind != KindAnnounce {
			m.inFlight = append(m.inFlight, messageInFlight{coordinator: c, req: r, begun: m.now})
		}
	}
}

// advanceMessage performs a request, or delivers its answer if it was performed.
func (m *machine) advanceMessage(i int) {
	f := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	switch answer := f.answer.(type) {
	case nil:
		if f.req.Kind == KindGet || f.req.Kind == KindPut {
			f.answer = m.storeCall(f.req)
		} else {
			f.answer = m.controlCall(f.begun, f.req)
		}
		m.inFlight = append(m.inFlight, f)
	case StoreResult:
		if slices.Contains(m.coordinators, f.coordinator) {
			m.sendRequests(f.coordinator, f.coordinator.HandleStore(m.now, answer))
		}
	case UpstreamResult:
		switch {
		case f.acks != nil:
			m.recordOutcomes(f.acks.HandleStatus(answer.Upstream, answer.Status))
		case f.routes != nil:
			f.routes.AddReport(route.Report{
				Upstream: answer.Upstream, Begun: f.begun, Primary: answer.Status.Role == RolePrimary,
				Fenced: answer.Status.Fenced, Position: answer.Status.Position,
			})
		case slices.Contains(m.coordinators, f.coordinator):
			m.sendRequests(f.coordinator, f.coordinator.HandleUpstream(m.now, answer))
		}
	}
}

// recordOutcomes records outcomes and adds the session's acknowledged writes to its token.
func (m *machine) recordOutcomes(resolved []ResolvedWrite) {
	m.fakeCluster.recordOutcomes(resolved)
	for _, s := range resolved {
		if s.Outcome == OutcomeAcknowledged {
			if m.sessionWrote[s.ID] {
				m.sessionAcked[s.ID] = s.Position
				m.token = m.token.With("g", s.Position)
			}
		}
	}
}

// requestStatus sends a status request of a gateway or a router.
func (m *machine) requestStatus(acks *AckTracker, routes *route.Group, up string) {
	m.inFlight = append(m.inFlight, messageInFlight{acks: acks, routes: routes, req: Request{Kind: KindStatus, Upstream: up}, begun: m.now})
}

// write makes a write at the upstream of a gateway.
func (m *machine) write(i int) {
	a := m.trackers[i]
	id, p, ok := m.fakeCluster.write(names[i], a.term)
	if !ok {
		return
	}
	m.sessionWrote[id] = id%2 == 0
	m.recordOutcomes(a.Add(Write{ID: id, Position: p, Deadline: m.now.Add(5 * time.Second)}))
	m.recordOutcomes(a.HandleStatus(names[i], Status{RolePrimary, p.Term, p}))
	for _, u := range m.upstreams {
		m.requestStatus(a, nil, u.name)
	}
}

// read lets the session read at the upstream that Choose returns. A replica must hold the
// session's writes at that moment, even if it has since moved to a later term and would refuse
// the statement.
func (m *machine) read() {
	p, ok := m.token.Position("g")
	d := m.routes.Choose(m.now, route.Request{Token: p, HasToken: ok, TieBreak: m.lastWrite})
	if d.Upstream == "" || d.Wait > 0 {
		return
	}
	u := m.upstream(d.Upstream)
	for id, at := range m.sessionAcked {
		if d.Reason == route.ReasonReplica && !containsWrite(u.log, id, at) {
			m.addFault("read at %s, %v misses the session's write %d at %v", u.name, u.status(), id, at)
		}
	}
	reached[string(d.Reason)]++
}

func (m *machine) drawIndex(n int) int { return rapid.IntRange(0, n-1).Draw(m.t, "index") }

// checkRecovery delivers all messages in order and repairs nothing else. The group must get a
// primary again that accepts a write which is then acknowledged.
func (m *machine) checkRecovery() {
	before := len(m.acked)
	for range 600 {
		m.now = m.now.Add(50 * time.Millisecond)
		g := m.storedGroup()
		for _, u := range m.upstreams {
			for _, f := range []messageInFlight{{coordinator: m.coordinators[0]}, {acks: m.trackers[0]}} {
				f.req, f.begun = Request{Kind: KindStatus, Upstream: u.name}, m.now
				m.inFlight = append(m.inFlight, f)
			}
			m.replicate(u, 100)
		}
		lost := g.Primary == "" || !m.upstream(g.Primary).status().Serves(g.Term)
		m.sendRequests(m.coordinators[0], m.coordinators[0].HandleStore(m.now, m.storeCall(Request{Kind: KindGet})))
		m.sendRequests(m.coordinators[0], m.coordinators[0].Tick(m.now, Verdict{Start: lost, Reason: ReasonHealthy}))
		for i := range m.trackers {
			m.passGroup(i)
			m.write(i)
		}
		for n := 0; len(m.inFlight) > 0 && n < 1000; n++ {
			m.advanceMessage(0)
		}
		if step, _ := m.coordinators[0].Step(); len(m.acked) > before+3 && step == StepIdle && !lost {
			return
		}
	}
	m.addFault("no acknowledged write after all messages were delivered, group %+v", m.storedGroup())
}

// TestPromotionInvariants checks the guarantees of the package comment under random faults: no
// promotion loses an acknowledged write, an old primary acknowledges none, each term has one
// primary, and a replica that Choose returns holds the session's acknowledged writes.
func TestPromotionInvariants(t *testing.T) {
	clear(reached)
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		step := func(n int) func(*rapid.T) {
			return func(*rapid.T) {
				for range n {
					if len(m.inFlight) > 0 {
						m.advanceMessage(m.drawIndex(len(m.inFlight)))
					}
				}
			}
		}
		tick := func(*rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			c := m.coordinators[m.drawIndex(2)]
			m.sendRequests(c, c.Tick(m.now, Verdict{Start: rapid.IntRange(0, 3).Draw(t, "start") > 0, Reason: ReasonSuspected}))
		}
		replicate := func(*rapid.T) { m.replicate(m.upstreams[m.drawIndex(len(m.upstreams))], 1+m.drawIndex(3)) }
		t.Repeat(map[string]func(*rapid.T){
			"":     func(t *rapid.T) { m.failOnFaults(t) },
			"step": step(1), "steps": step(4), "more": step(8), "many": step(16),
			"tick": tick, "tick2": tick, "replicate": replicate, "replicate2": replicate, "replicate3": replicate,
			"lose": func(*rapid.T) {
				if n := len(m.inFlight); n > 0 {
					i := m.drawIndex(n)
					m.inFlight = slices.Delete(m.inFlight, i, i+1)
				}
			},
			"duplicate": func(*rapid.T) {
				if n := len(m.inFlight); n > 0 {
					m.inFlight = append(m.inFlight, m.inFlight[m.drawIndex(n)])
				}
			},
			"crash": func(*rapid.T) { m.restartCoordinator(m.drawIndex(2)) },
			"learn": func(*rapid.T) { m.passGroup(m.drawIndex(len(m.trackers))) },
			"lead": func(*rapid.T) {
				g := m.storedGroup()
				m.routes.SetLeadership(g.Term, g.Primary, g.History)
			},
			"write":  func(*rapid.T) { m.write(m.drawIndex(len(m.trackers))) },
			"write2": func(*rapid.T) { m.write(slices.Index(names, m.storedGroup().Primary)) },
			"report": func(*rapid.T) {
				up := names[m.drawIndex(len(m.upstreams))]
				m.requestStatus(m.trackers[m.drawIndex(len(m.trackers))], nil, up)
				m.requestStatus(nil, m.routes, up)
			},
			"read": func(*rapid.T) { m.read() },
			"watch": func(*rapid.T) {
				c := m.coordinators[m.drawIndex(2)]
				m.sendRequests(c, c.HandleStore(m.now, m.storeCall(Request{Kind: KindGet})))
			},
			"switch": func(*rapid.T) {
				_ = m.coordinators[m.drawIndex(2)].StartSwitchover(m.now, names[m.drawIndex(len(m.upstreams))])
			},
		})
		reached["acknowledged"] += len(m.acked)
		reached["promoted"] += len(m.promotedLogs)
		m.checkRecovery()
		m.failOnFaults(t)
	})
	t.Log(reached)
	for _, k := range []string{"acknowledged", "replica", "promoted"} {
		if reached[k] < 300 {
			t.Errorf("the runs reached %d %s, too few to show anything", reached[k], k)
		}
	}
}

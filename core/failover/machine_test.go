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

// flight is a request on its way, or its answer on its way back.
type flight struct {
	coord *Coordinator // that asked; nil if a gateway or a router did
	acks  *AckTracker
	views *route.Group
	req   Request
	begun time.Time
	back  any // the answer
}

// machine drives two coordinators and one gateway for each upstream. Every message
// may be lost, duplicated, late or reordered, and the verdicts are arbitrary.
type machine struct {
	*fakeCluster
	t      *rapid.T
	now    time.Time
	gen    int
	coords []*Coordinator
	gates  []*AckTracker // of the upstream with the same index
	views  *route.Group
	flight []flight
	token  session.Token
	own    map[uint64]wal.Position // acknowledged writes of the session
	mine   map[uint64]bool         // pending writes of the session
}

// seen counts what all runs together have reached, so that a machine that never gets
// anywhere does not pass.
var seen = map[string]int{}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		fakeCluster: newCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "upstreams")), t: t, now: epoch,
		views: route.NewGroup(time.Millisecond), own: map[uint64]wal.Position{}, mine: map[uint64]bool{},
	}
	var ups []route.Upstream
	for _, u := range m.ups {
		ups = append(ups, route.Upstream{Name: u.name, Domain: "d" + u.name})
		m.gates = append(m.gates, &AckTracker{})
	}
	m.views.Members(ups)
	m.views.Lead(1, "a", wal.History{{Term: 1}})
	m.coords = make([]*Coordinator, 2)
	for i := range m.coords {
		m.restart(i)
	}
	for i := range m.gates {
		m.learn(i)
	}
	return m
}

func (m *machine) restart(i int) {
	m.gen++
	c := NewCoordinator(Options{
		Self: names[i], Incarnation: fmt.Sprintf("%s%d", names[i], m.gen), Timing: DefaultTiming, Seed: uint64(m.gen),
	})
	var members []Member
	for _, u := range m.ups {
		members = append(members, Member{u.name, "d" + u.name, true})
	}
	c.SetMembers(members)
	m.coords[i] = c
	m.send(c, c.SetActive(m.now, true))
}

func (m *machine) learn(i int) {
	g := m.get()
	m.settle(m.gates[i].SetGroup(g.Term, g.Primary, names[:len(m.ups)]))
}

func (m *machine) send(c *Coordinator, reqs []Request) {
	for _, r := range reqs {
		if r.Kind != KindAnnounce {
			m.flight = append(m.flight, flight{coord: c, req: r, begun: m.now})
		}
	}
}

// step performs a request, or delivers its answer if it was performed.
func (m *machine) step(i int) {
	f := m.flight[i]
	m.flight = slices.Delete(m.flight, i, i+1)
	switch back := f.back.(type) {
	case nil:
		if f.req.Kind == KindGet || f.req.Kind == KindPut {
			f.back = m.storeCall(f.req)
		} else {
			f.back = m.control(f.begun, f.req)
		}
		m.flight = append(m.flight, f)
	case StoreResult:
		if slices.Contains(m.coords, f.coord) {
			m.send(f.coord, f.coord.HandleStore(m.now, back))
		}
	case UpstreamResult:
		switch {
		case f.acks != nil:
			m.settle(f.acks.HandleStatus(back.Upstream, back.Status))
		case f.views != nil:
			f.views.Report(route.Report{
				Upstream: back.Upstream, Begun: f.begun, Primary: back.Status.Role == RolePrimary,
				Fenced: back.Status.Fenced, Position: back.Status.Position,
			})
		case slices.Contains(m.coords, f.coord):
			m.send(f.coord, f.coord.HandleUpstream(m.now, back))
		}
	}
}

// settle records outcomes and gives the session a token of its acknowledged writes.
func (m *machine) settle(settled []ResolvedWrite) {
	m.fakeCluster.settle(settled)
	for _, s := range settled {
		if s.Outcome == OutcomeAcknowledged {
			if m.mine[s.ID] {
				m.own[s.ID] = s.At
				m.token = m.token.With("g", s.At)
			}
		}
	}
}

func (m *machine) poll(acks *AckTracker, views *route.Group, up string) {
	m.flight = append(m.flight, flight{acks: acks, views: views, req: Request{Kind: KindStatus, Upstream: up}, begun: m.now})
}

func (m *machine) write(i int) {
	a := m.gates[i]
	id, p, ok := m.fakeCluster.write(names[i], a.term)
	if !ok {
		return
	}
	m.mine[id] = id%2 == 0
	m.settle(a.Add(Write{ID: id, At: p, Deadline: m.now.Add(5 * time.Second)}))
	m.settle(a.HandleStatus(names[i], Status{RolePrimary, p.Term, p}))
	for _, u := range m.ups {
		m.poll(a, nil, u.name)
	}
}

// read lets the session read where Choose says. What a replica held it must hold
// even if it has moved on and would refuse the statement.
func (m *machine) read() {
	p, ok := m.token.Position("g")
	d := m.views.Choose(m.now, route.Request{Token: p, HasToken: ok, Spread: m.next})
	if d.Upstream == "" || d.Wait > 0 {
		return
	}
	u := m.up(d.Upstream)
	for id, at := range m.own {
		if d.Reason == route.ReasonReplica && !holds(u.log, id, at) {
			m.fault("read at %s, %v misses the session's write %d at %v", u.name, u.status(), id, at)
		}
	}
	seen[string(d.Reason)]++
}

func (m *machine) index(n int) int { return rapid.IntRange(0, n-1).Draw(m.t, "index") }

// heal delivers everything in order and repairs nothing else: the group must get a
// primary again that takes and acknowledges a write.
func (m *machine) heal() {
	before := len(m.acked)
	for range 600 {
		m.now = m.now.Add(50 * time.Millisecond)
		g := m.get()
		for _, u := range m.ups {
			for _, f := range []flight{{coord: m.coords[0]}, {acks: m.gates[0]}} {
				f.req, f.begun = Request{Kind: KindStatus, Upstream: u.name}, m.now
				m.flight = append(m.flight, f)
			}
			m.replicate(u, 100)
		}
		lost := g.Primary == "" || !m.up(g.Primary).status().Serves(g.Term)
		m.send(m.coords[0], m.coords[0].HandleStore(m.now, m.storeCall(Request{Kind: KindGet})))
		m.send(m.coords[0], m.coords[0].Tick(m.now, Verdict{Start: lost, Reason: ReasonHealthy}))
		for i := range m.gates {
			m.learn(i)
			m.write(i)
		}
		for n := 0; len(m.flight) > 0 && n < 1000; n++ {
			m.step(0)
		}
		if step, _ := m.coords[0].Step(); len(m.acked) > before+3 && step == StepIdle && !lost {
			return
		}
	}
	m.fault("no acknowledged write after healing, group %+v", m.get())
}

// Guards the promises of the package comment: no acknowledged write is lost by a
// promotion, none is acknowledged by an old primary, each term has one primary, and
// a replica that Choose picks holds the session's acknowledged writes.
func TestMachine(t *testing.T) {
	clear(seen)
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		step := func(n int) func(*rapid.T) {
			return func(*rapid.T) {
				for range n {
					if len(m.flight) > 0 {
						m.step(m.index(len(m.flight)))
					}
				}
			}
		}
		tick := func(*rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			c := m.coords[m.index(2)]
			m.send(c, c.Tick(m.now, Verdict{Start: rapid.IntRange(0, 3).Draw(t, "start") > 0, Reason: ReasonSuspected}))
		}
		replicate := func(*rapid.T) { m.replicate(m.ups[m.index(len(m.ups))], 1+m.index(3)) }
		t.Repeat(map[string]func(*rapid.T){
			"":     func(t *rapid.T) { m.check(t) },
			"step": step(1), "steps": step(4), "more": step(8), "many": step(16),
			"tick": tick, "tick2": tick, "replicate": replicate, "replicate2": replicate, "replicate3": replicate,
			"lose": func(*rapid.T) {
				if n := len(m.flight); n > 0 {
					i := m.index(n)
					m.flight = slices.Delete(m.flight, i, i+1)
				}
			},
			"duplicate": func(*rapid.T) {
				if n := len(m.flight); n > 0 {
					m.flight = append(m.flight, m.flight[m.index(n)])
				}
			},
			"crash": func(*rapid.T) { m.restart(m.index(2)) },
			"learn": func(*rapid.T) { m.learn(m.index(len(m.gates))) },
			"lead": func(*rapid.T) {
				g := m.get()
				m.views.Lead(g.Term, g.Primary, g.History)
			},
			"write":  func(*rapid.T) { m.write(m.index(len(m.gates))) },
			"write2": func(*rapid.T) { m.write(slices.Index(names, m.get().Primary)) },
			"report": func(*rapid.T) {
				up := names[m.index(len(m.ups))]
				m.poll(m.gates[m.index(len(m.gates))], nil, up)
				m.poll(nil, m.views, up)
			},
			"read": func(*rapid.T) { m.read() },
			"watch": func(*rapid.T) {
				c := m.coords[m.index(2)]
				m.send(c, c.HandleStore(m.now, m.storeCall(Request{Kind: KindGet})))
			},
			"switch": func(*rapid.T) { _ = m.coords[m.index(2)].StartSwitchover(m.now, names[m.index(len(m.ups))]) },
		})
		seen["acknowledged"] += len(m.acked)
		seen["promoted"] += len(m.started)
		m.heal()
		m.check(t)
	})
	t.Log(seen)
	for _, k := range []string{"acknowledged", "replica", "promoted"} {
		if seen[k] < 300 {
			t.Errorf("the runs reached %d %s, too few to show anything", seen[k], k)
		}
	}
}

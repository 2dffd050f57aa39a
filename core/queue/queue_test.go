package queue

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/config"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var startTime = time.Unix(1000, 0)

func ms(n int) time.Time { return startTime.Add(time.Duration(n) * time.Millisecond) }

// openQueue returns a queue whose connections are all open.
func openQueue(o Options) *Queue {
	o.WarmConnections, o.MaxOpening = o.Connections, o.Connections
	q := New(o)
	for _, d := range q.Tick(startTime) {
		q.ConnectionOpened(startTime, d.Connection)
	}
	return q
}

// expectDecisions compares decisions by all fields except the connection and the retry
// hint, which TestRetryHint checks.
func expectDecisions(t *testing.T, what string, got []Decision, want ...Decision) {
	t.Helper()
	for i := range got {
		got[i].Connection, got[i].Retry = 0, 0
	}
	if !slices.Equal(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func startedDecision(id uint64) Decision { return Decision{Kind: Start, Request: id} }

func refusedDecision(id uint64, reason Reason) Decision {
	return Decision{Kind: Refuse, Request: id, Reason: reason}
}

func TestQueue(t *testing.T) {
	oneSlot := Options{Slots: 1, Connections: 3}
	t.Run("a request that cannot finish by its deadline is refused at once", func(t *testing.T) {
		q := openQueue(oneSlot)
		q.Enqueue(ms(0), Request{ID: 1, Team: "a"})
		q.Finish(ms(100), 1, false)
		expectDecisions(t, "too tight", q.Enqueue(ms(100), Request{ID: 2, Team: "a", Deadline: ms(150)}), refusedDecision(2, ReasonDeadline))
		expectDecisions(t, "in time", q.Enqueue(ms(100), Request{ID: 3, Team: "a", Deadline: ms(210)}), startedDecision(3))
		expectDecisions(t, "behind another", q.Enqueue(ms(100), Request{ID: 4, Team: "a", Deadline: ms(290)}))
		expectDecisions(t, "behind two", q.Enqueue(ms(100), Request{ID: 5, Team: "a", Deadline: ms(290)}), refusedDecision(5, ReasonDeadline))
		expectDecisions(t, "after the deadline", q.Tick(ms(290)), refusedDecision(4, ReasonDeadline))
	})
	t.Run("an old estimate of the service time does not refuse requests forever", func(t *testing.T) {
		q := openQueue(oneSlot)
		q.Enqueue(ms(0), Request{ID: 1, Team: "a"})
		q.Finish(ms(1000), 1, false)
		expectDecisions(t, "later", q.Enqueue(ms(9000), Request{ID: 2, Team: "a", Deadline: ms(9050)}), startedDecision(2))
	})
	t.Run("a full queue sheds the newest request of the team with the most waiting", func(t *testing.T) {
		q := openQueue(Options{Slots: 1, Connections: 1, Limit: 3, TeamLimit: 10})
		for id := range uint64(4) {
			q.Enqueue(ms(0), Request{ID: id + 1, Team: "a"})
		}
		expectDecisions(t, "another team", q.Enqueue(ms(1), Request{ID: 9, Team: "b"}), refusedDecision(4, ReasonFull))
	})
	t.Run("a team's queue is bounded", func(t *testing.T) {
		q := openQueue(Options{Slots: 1, Connections: 1, TeamLimit: 1})
		q.Enqueue(ms(0), Request{ID: 1, Team: "a"})
		q.Enqueue(ms(0), Request{ID: 2, Team: "a"})
		expectDecisions(t, "third", q.Enqueue(ms(0), Request{ID: 3, Team: "a"}), refusedDecision(3, ReasonTeamFull))
	})
	t.Run("a transaction keeps its connection until it has been idle too long", func(t *testing.T) {
		q := openQueue(Options{Slots: 1, Connections: 1, IdleTimeout: time.Second})
		expectDecisions(t, "begin", q.Enqueue(ms(0), Request{ID: 1, Team: "a", Session: 7, Begin: true}), startedDecision(1))
		expectDecisions(t, "open", q.Finish(ms(1), 1, true))
		expectDecisions(t, "another has to wait", q.Enqueue(ms(2), Request{ID: 2, Team: "b"}))
		expectDecisions(t, "its own goes on", q.Enqueue(ms(3), Request{ID: 3, Team: "a", Session: 7}), startedDecision(3))
		q.Finish(ms(4), 3, true)
		got := q.Tick(ms(1004))
		expectDecisions(t, "idle", got, Decision{Kind: Close, Reason: ReasonIdle}, Decision{Kind: Open})
	})
	t.Run("transactions leave connections for single statements", func(t *testing.T) {
		q := openQueue(oneSlot)
		for id := range uint64(2) {
			q.Enqueue(ms(0), Request{ID: id + 1, Team: "a", Session: id + 1, Begin: true})
			q.Finish(ms(1), id+1, true)
		}
		expectDecisions(t, "a third transaction waits", q.Enqueue(ms(2), Request{ID: 3, Team: "a", Session: 3, Begin: true}))
		expectDecisions(t, "a single statement runs", q.Enqueue(ms(3), Request{ID: 4, Team: "b"}), startedDecision(4))
	})
	t.Run("a lost connection fails its running statement and refuses those waiting for its transaction", func(t *testing.T) {
		q := openQueue(oneSlot)
		q.Enqueue(ms(0), Request{ID: 1, Team: "a", Session: 7, Begin: true})
		q.Enqueue(ms(0), Request{ID: 2, Team: "a", Session: 7})
		c := q.sessions[7].id
		expectDecisions(t, "lost", q.ConnectionLost(ms(1), c),
			Decision{Kind: Fail, Request: 1, Reason: ReasonLost}, refusedDecision(2, ReasonTransaction), Decision{Kind: Open})
	})
	t.Run("a statement whose transaction is gone is refused, and not run outside of it", func(t *testing.T) {
		q := openQueue(oneSlot)
		q.Enqueue(ms(0), Request{ID: 1, Team: "a", Session: 7, Begin: true})
		q.Finish(ms(1), 1, true)
		q.TransactionEnded(ms(2), 7)
		expectDecisions(t, "late", q.Enqueue(ms(3), Request{ID: 2, Team: "a", Session: 7, Inside: true}), refusedDecision(2, ReasonTransaction))
		if q.Queued() != 0 {
			t.Errorf("%d requests wait", q.Queued())
		}
	})
	t.Run("few connections are opened at a time, with a backoff after a failure", func(t *testing.T) {
		q := New(Options{Slots: 8, Connections: 16, MaxOpening: 2})
		for id := range uint64(8) {
			q.Enqueue(ms(0), Request{ID: id + 1, Team: "a"})
		}
		if q.opening != 2 {
			t.Errorf("%d connections are being opened, want 2", q.opening)
		}
		expectDecisions(t, "failed", q.ConnectionLost(ms(1), 1))
		expectDecisions(t, "too early", q.Tick(ms(20)))
		expectDecisions(t, "after the wait", q.Tick(ms(21)), Decision{Kind: Open})
	})
	t.Run("a team without work gathers no credit", func(t *testing.T) {
		q := openQueue(oneSlot)
		q.Enqueue(ms(0), Request{ID: 1, Team: "idle"})
		q.Finish(ms(1), 1, false)
		for id := uint64(10); id < 60; id++ {
			q.Enqueue(ms(int(id)), Request{ID: id, Team: "busy"})
			q.Finish(ms(int(id)+1), id, false)
		}
		if c := q.byName["idle"].credit; c > 0 {
			t.Errorf("the idle team has a credit of %v", c)
		}
	})
	t.Run("a paused queue starts only statements of open transactions", func(t *testing.T) {
		q := openQueue(oneSlot)
		q.Enqueue(ms(0), Request{ID: 1, Team: "a", Session: 7, Begin: true})
		q.Finish(ms(1), 1, true)
		q.SetPaused(ms(2), true)
		expectDecisions(t, "plain", q.Enqueue(ms(3), Request{ID: 2, Team: "a"}))
		expectDecisions(t, "in transaction", q.Enqueue(ms(4), Request{ID: 3, Team: "a", Session: 7}), startedDecision(3))
		q.Finish(ms(5), 3, false)
		expectDecisions(t, "resumed", q.SetPaused(ms(6), false), startedDecision(2))
	})
	t.Run("Cancel withdraws waiting requests only", func(t *testing.T) {
		q := openQueue(oneSlot)
		q.Enqueue(ms(0), Request{ID: 1, Team: "a"})
		q.Enqueue(ms(0), Request{ID: 2, Team: "a"})
		if ran, _ := q.Cancel(ms(1), 1); ran {
			t.Error("a running request was withdrawn")
		}
		if waited, _ := q.Cancel(ms(1), 2); !waited || q.Queued() != 0 {
			t.Error("a waiting request was not withdrawn")
		}
	})
	t.Run("Shutdown refuses waiting and new requests", func(t *testing.T) {
		q := openQueue(oneSlot)
		q.Enqueue(ms(0), Request{ID: 1, Team: "a"})
		q.Enqueue(ms(0), Request{ID: 2, Team: "a"})
		expectDecisions(t, "waiting", q.Shutdown(ms(1)), refusedDecision(2, ReasonClosed))
		expectDecisions(t, "new", q.Enqueue(ms(2), Request{ID: 3, Team: "a"}), refusedDecision(3, ReasonClosed))
	})
}

// TestBudget guards against a retry budget that grants more or fewer retries than its
// constants say.
func TestBudget(t *testing.T) {
	b := NewBudget()
	retries := func(now time.Time) (n int) {
		for b.AllowRetry(now, "a") {
			n++
		}
		return n
	}
	for _, c := range []struct {
		what     string
		admitted int
		now      time.Time
		want     int
	}{
		{"minimum", 0, ms(0), 3},
		{"a tenth", 100, ms(0), 10},
		{"bounded", 10000, ms(0), 50},
		{"minimum again after the period", 0, ms(10000), 3},
	} {
		for range c.admitted {
			b.CountAdmitted(c.now, "a")
		}
		if got := retries(c.now); got < c.want-1 || got > c.want {
			t.Errorf("%s: %d retries, want %d", c.what, got, c.want)
		}
	}
}

// model applies the queue's decisions to its own state and fails the test if a decision
// or a bound is violated.
type model struct {
	t       *rapid.T
	q       *Queue
	o       Options
	now     time.Time
	waiting map[uint64]Request
	running map[uint64]uint64 // connection by request
	conns   map[uint64]uint64 // session of the open transaction by connection, 0 if none
	opening map[uint64]bool
	nextID  uint64
}

func (m *model) apply(out []Decision) {
	for _, d := range out {
		r, waits := m.waiting[d.Request]
		switch d.Kind {
		case Start:
			s, open := m.conns[d.Connection]
			for _, c := range m.running {
				open = open && c != d.Connection
			}
			if !waits || !open || s != 0 && s != r.Session {
				m.t.Fatalf("%v: waits=%v, connection free=%v, held by session %d", d, waits, open, s)
			}
			delete(m.waiting, r.ID)
			m.running[r.ID] = d.Connection
			if r.Begin {
				m.conns[d.Connection] = r.Session
			}
		case Refuse:
			if !waits {
				m.t.Fatalf("%v, but the request is not waiting", d)
			}
			delete(m.waiting, r.ID)
		case Fail:
			if _, ok := m.running[d.Request]; !ok {
				m.t.Fatalf("%v, but the request is not running", d)
			}
			delete(m.running, d.Request)
		case Open:
			m.opening[d.Connection] = true
		case Close:
			delete(m.conns, d.Connection)
		}
	}
	count := map[string]int{}
	free := len(m.conns) // connections that a single statement could use
	for id, r := range m.waiting {
		if !r.Begin && m.sessionConn(r.Session) == 0 && m.q.items[id].class == classSingle {
			count["plain"]++
		}
		count["team "+r.Team]++
	}
	busy := map[uint64]bool{}
	for _, c := range m.running {
		busy[c] = true
	}
	for c, s := range m.conns {
		if s != 0 || busy[c] {
			free--
		}
	}
	switch {
	case len(m.running) > m.o.Slots, len(m.conns)+len(m.opening) > m.o.Connections, len(m.opening) > m.o.MaxOpening:
		m.t.Fatalf("%d running, %d connections, %d opening", len(m.running), len(m.conns), len(m.opening))
	case len(m.waiting) > m.o.Limit || m.q.Queued() != len(m.waiting):
		m.t.Fatalf("%d waiting, the queue says %d", len(m.waiting), m.q.Queued())
	case count["plain"] > 0 && free > 0 && len(m.running) < m.o.Slots:
		m.t.Fatalf("not work-conserving: %d single statements wait, %d connections free, %d running", count["plain"], free, len(m.running))
	}
	for what, n := range count {
		if what != "plain" && n > m.o.TeamLimit {
			m.t.Fatalf("%s has %d waiting", what, n)
		}
	}
}

func (m *model) sessionConn(session uint64) uint64 {
	for c, s := range m.conns {
		if s == session && s != 0 {
			return c
		}
	}
	return 0
}

// drawKey draws a key of the map and skips the action if the map is empty.
func drawKey[V any](t *rapid.T, from map[uint64]V) uint64 {
	keys := make([]uint64, 0, len(from))
	for k := range from {
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		t.Skip("the map is empty")
	}
	slices.Sort(keys)
	return rapid.SampledFrom(keys).Draw(t, "id")
}

// TestModel checks over random events that the limits hold, each connection serves one
// session at a time, each request has one outcome, and no slot stays free while a single
// statement could run.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{
			Policy: rapid.SampledFrom([]Policy{Fair, FIFO}).Draw(t, "policy"),
			Slots:  rapid.IntRange(1, 3).Draw(t, "slots"), Connections: rapid.IntRange(1, 8).Draw(t, "connections"),
			TeamLimit: 6, Limit: 12, MaxOpening: 2, IdleTimeout: time.Second,
		}
		m := &model{
			t: t, q: New(o), o: o, now: startTime,
			waiting: map[uint64]Request{}, running: map[uint64]uint64{}, conns: map[uint64]uint64{}, opening: map[uint64]bool{},
		}
		if o.Policy == FIFO {
			m.o.TeamLimit = o.Limit
		}
		arrive := func(t *rapid.T) {
			m.nextID++
			r := Request{
				ID: m.nextID, Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
				Session: rapid.Uint64Range(1, 6).Draw(t, "session"),
			}
			r.Begin = m.sessionConn(r.Session) == 0 && rapid.IntRange(0, 3).Draw(t, "begin") == 0
			for _, w := range m.waiting {
				if w.Session == r.Session {
					r.Session, r.Begin = 0, false
				}
			}
			if c := m.sessionConn(r.Session); c != 0 {
				r.Team = m.q.conns[c].team.name
			}
			r.Priority = rapid.IntRange(0, numPriorities).Draw(t, "priority")
			r.Target = time.Duration(rapid.IntRange(0, 100).Draw(t, "target")) * time.Millisecond
			if rapid.Bool().Draw(t, "limited") {
				r.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "deadline")) * time.Millisecond)
			}
			m.waiting[r.ID] = r
			m.apply(m.q.Enqueue(m.now, r))
		}
		finish := func(t *rapid.T) {
			id := drawKey(t, m.running)
			c := m.running[id]
			stays := m.conns[c] != 0 && rapid.Bool().Draw(t, "stays")
			if !stays {
				m.conns[c] = 0
			}
			delete(m.running, id)
			m.apply(m.q.Finish(m.now, id, stays))
		}
		opened := func(t *rapid.T) {
			c := drawKey(t, m.opening)
			delete(m.opening, c)
			m.conns[c] = 0
			m.apply(m.q.ConnectionOpened(m.now, c))
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive2": arrive, "finish": finish, "finish2": finish, "opened": opened, "opened2": opened,
			"cancel": func(t *rapid.T) {
				id := drawKey(t, m.waiting)
				if ok, out := m.q.Cancel(m.now, id); ok {
					delete(m.waiting, id)
					m.apply(out)
				}
			},
			"lost": func(t *rapid.T) {
				c := drawKey(t, m.conns)
				delete(m.conns, c)
				m.apply(m.q.ConnectionLost(m.now, c))
			},
			"failed": func(t *rapid.T) {
				c := drawKey(t, m.opening)
				delete(m.opening, c)
				m.apply(m.q.ConnectionLost(m.now, c))
			},
			"release": func(t *rapid.T) {
				m.apply(m.q.SessionClosed(m.now, rapid.Uint64Range(1, 6).Draw(t, "session")))
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				m.apply(m.q.Tick(m.now))
			},
		})
	})
}

// TestDeficitBound checks that the slot time per weight of teams that always have work
// differs by no more than the quantum and the running statements allow, and with priorities
// by the overdraft in addition.
func TestDeficitBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := openQueue(Options{Slots: slots, Connections: slots})
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "teams")]
		teams := map[string]config.Team{}
		longest := map[string]int{}
		for _, n := range names {
			teams[n] = config.Team{Weight: rapid.IntRange(1, 5).Draw(t, "weight")}
			longest[n] = rapid.IntRange(1, 100).Draw(t, "longest")
		}
		q.Configure(teams)
		priorities := rapid.IntRange(1, 3).Draw(t, "priorities")
		now, id := startTime, uint64(0)
		used, running, team := map[string]time.Duration{}, map[uint64]time.Time{}, map[uint64]string{}
		var apply func(out []Decision)
		arrive := func(n string) {
			id++
			team[id] = n
			apply(q.Enqueue(now, Request{ID: id, Team: n, Priority: rapid.IntRange(0, priorities-1).Draw(t, "priority")}))
		}
		apply = func(out []Decision) {
			for _, d := range out {
				if d.Kind == Start {
					n := team[d.Request]
					length := time.Duration(rapid.IntRange(1, longest[n]).Draw(t, "length")) * time.Millisecond
					running[d.Request] = now.Add(length)
					used[n] += length
				}
			}
		}
		for range 2 * slots {
			for _, n := range names {
				arrive(n)
			}
		}
		for range 300 {
			first := uint64(0)
			for r, end := range running {
				if first == 0 || end.Before(running[first]) || end.Equal(running[first]) && r < first {
					first = r
				}
			}
			now = running[first]
			delete(running, first)
			arrive(team[first])
			apply(q.Finish(now, first, false))
		}
		for _, a := range names {
			for _, b := range names {
				wa, wb := time.Duration(teams[a].Weight), time.Duration(teams[b].Weight)
				bound := 2*quantum + time.Duration(2*slots*max(longest[a], longest[b]))*time.Millisecond
				if priorities > 1 {
					bound += overdraftTime * time.Duration(slots) / wa
				}
				if d := used[a]/wa - used[b]/wb; d > bound {
					t.Fatalf("%s got %v and %s %v of slot time per weight, bound %v", a, used[a]/wa, b, used[b]/wb, bound)
				}
			}
		}
	})
}

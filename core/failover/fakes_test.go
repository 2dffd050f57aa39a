package failover

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"burdockseam/core/wal"
)

// TestMain fixes the seed of rapid, so that each run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "200", "rapid.checks": "800"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	names = []string{"a", "b", "c", "d", "e"}
)

// fakeUpstream is an upstream with asynchronous replication. Offset i of its log is
// log[i-1], the id of a write.
type fakeUpstream struct {
	name      string
	role      Role
	fenced    uint64
	term      uint64 // newest term whose start the log contains
	start     uint64 // of the term in which it is or follows the primary
	following string
	log       []uint64
}

func (u *fakeUpstream) status() Status {
	return Status{u.role, u.fenced, wal.Position{Term: u.term, Offset: uint64(len(u.log))}}
}

// fakeCluster holds the upstreams and the store of one group, and what must hold.
type fakeCluster struct {
	ups     []*fakeUpstream
	group   []byte // the stored object
	version uint64
	next    uint64 // last write id

	faults   []string
	acked    map[uint64]wal.Position
	doomed   map[uint64]bool     // written when a majority had moved on
	accepted map[uint64]string   // term → upstream that took a write
	started  map[uint64][]uint64 // term → log of its primary at the promotion
}

// newCluster returns n upstreams in term 1, whose primary is the first.
func newCluster(n int) *fakeCluster {
	c := &fakeCluster{
		acked: map[uint64]wal.Position{}, doomed: map[uint64]bool{},
		accepted: map[uint64]string{}, started: map[uint64][]uint64{},
	}
	for _, name := range names[:n] {
		c.ups = append(c.ups, &fakeUpstream{name: name, role: RoleReplica, fenced: 1, term: 1, following: "a"})
	}
	c.ups[0].role = RolePrimary
	c.put(Group{Term: 1, Primary: "a", History: wal.History{{Term: 1}}, Claim: Claim{Term: 1, Op: "setup", By: "setup"}}, 0)
	return c
}

func (c *fakeCluster) up(name string) *fakeUpstream {
	return c.ups[slices.IndexFunc(c.ups, func(u *fakeUpstream) bool { return u.name == name })]
}

func holds(log []uint64, id uint64, p wal.Position) bool {
	return p.Offset <= uint64(len(log)) && log[p.Offset-1] == id
}

func (c *fakeCluster) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *fakeCluster) get() Group {
	var g Group
	if err := json.Unmarshal(c.group, &g); err != nil {
		c.fault("stored object: %v", err)
	}
	return g
}

func (c *fakeCluster) put(g Group, ifVersion uint64) bool {
	if ifVersion != c.version {
		return false
	}
	if c.version > 0 && g.Term < c.get().Term {
		c.fault("the recorded term goes back to %d", g.Term)
	}
	b, err := json.Marshal(g)
	if err != nil {
		c.fault("object: %v", err)
	}
	c.group, c.version = b, c.version+1
	return true
}

// storeCall performs a call to the store.
func (c *fakeCluster) storeCall(r Request) StoreResult {
	out := StoreResult{ID: r.ID, Kind: r.Kind}
	if r.Kind == KindPut && !c.put(r.Group, r.IfVersion) {
		out.Failure = FailureConflict
	}
	out.Version = c.version
	if r.Kind == KindGet {
		out.Group = c.get()
	}
	return out
}

// control performs a control function of an upstream.
func (c *fakeCluster) control(begun time.Time, r Request) UpstreamResult {
	u := c.up(r.Upstream)
	out := UpstreamResult{ID: r.ID, Kind: r.Kind, Upstream: r.Upstream, Begun: begun}
	switch {
	case r.Kind == KindStatus || r.Kind == KindDrain || r.Kind == KindRelease:
	case r.Term < u.fenced:
		out.Failure = FailureRefused
	case r.Kind == KindFence && r.Term > u.fenced:
		u.fenced, u.following = r.Term, ""
	case r.Kind == KindPromote && u.term < r.Term:
		u.fenced, u.term, u.role, u.start, u.following = r.Term, r.Term, RolePrimary, r.Start, ""
		u.log = u.log[:min(r.Start, uint64(len(u.log)))]
		c.started[r.Term] = slices.Clone(u.log)
		for id, p := range c.acked {
			if p.Term < r.Term && !holds(u.log, id, p) {
				c.fault("promotion of %s to %d/%d loses acknowledged write %d at %v", u.name, r.Term, r.Start, id, p)
			}
		}
	case r.Kind == KindFollow && r.Primary != u.name:
		p := r.Group.History.Clamp(u.status().Position)
		u.log, u.term = u.log[:p.Offset], p.Term
		u.fenced, u.role, u.following, u.start = r.Term, RoleReplica, r.Primary, r.Group.Start()
	}
	out.Status = u.status()
	return out
}

// replicate copies up to n entries from the primary that u follows.
func (c *fakeCluster) replicate(u *fakeUpstream, n int) {
	if u.following == "" {
		return
	}
	p := c.up(u.following)
	if p.role != RolePrimary || p.term != u.fenced || p.fenced != u.fenced || len(p.log) < len(u.log) {
		return
	}
	if u.term == u.fenced && len(p.log) == len(u.log) {
		return
	}
	if !slices.Equal(p.log[:len(u.log)], u.log) {
		c.fault("%s follows %s in term %d with another log", u.name, p.name, u.fenced)
		return
	}
	u.log = append(u.log, p.log[len(u.log):min(len(p.log), len(u.log)+n)]...)
	if uint64(len(u.log)) >= u.start {
		u.term = u.fenced
	}
}

// write runs a statement on a data connection of a term.
func (c *fakeCluster) write(name string, term uint64) (uint64, wal.Position, bool) {
	u := c.up(name)
	if u.role != RolePrimary || u.fenced != term || u.term != term {
		return 0, wal.Position{}, false
	}
	if by, ok := c.accepted[term]; ok && by != name {
		c.fault("%s and %s both accept writes in term %d", by, name, term)
	}
	c.accepted[term] = name
	c.next++
	moved := 0
	for _, o := range c.ups {
		if o.fenced > term {
			moved++
		}
	}
	c.doomed[c.next] = moved >= majority(len(c.ups))
	u.log = append(u.log, c.next)
	return c.next, u.status().Position, true
}

// settle records the outcomes of writes.
func (c *fakeCluster) settle(settled []ResolvedWrite) {
	for _, s := range settled {
		if s.Outcome != OutcomeAcknowledged {
			continue
		}
		if c.doomed[s.ID] {
			c.fault("write %d at %v acknowledged by an old primary", s.ID, s.At)
		}
		copies := 0
		for _, u := range c.ups {
			if holds(u.log, s.ID, s.At) {
				copies++
			}
		}
		if copies < majority(len(c.ups)) {
			c.fault("write %d at %v acknowledged with %d copies", s.ID, s.At, copies)
		}
		for term, log := range c.started {
			if term > s.At.Term && !holds(log, s.ID, s.At) {
				c.fault("write %d at %v acknowledged after term %d began without it", s.ID, s.At, term)
			}
		}
		c.acked[s.ID] = s.At
	}
}

func (c *fakeCluster) check(t interface{ Fatalf(string, ...any) }) {
	if len(c.faults) > 0 {
		t.Fatalf("%d faults, first: %s", len(c.faults), c.faults[0])
	}
}

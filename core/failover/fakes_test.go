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

// defaultChecks is the number of random cases of a check.
const defaultChecks = "800"

// TestMain fixes the seed of rapid, so that each run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "200", "rapid.checks": defaultChecks} {
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

// fakeUpstream is an upstream with asynchronous replication. Offset i of its log is log[i-1],
// the id of a write.
type fakeUpstream struct {
	name      string
	role      Role
	fenced    uint64
	term      uint64 // newest term whose start the log contains
	start     uint64 // start of the term in which it is the primary or follows the primary
	following string
	log       []uint64
}

func (u *fakeUpstream) status() Status {
	return Status{u.role, u.fenced, wal.Position{Term: u.term, Offset: uint64(len(u.log))}}
}

// fakeCluster holds the upstreams and the stored object of one group, and records violations
// of what must hold.
type fakeCluster struct {
	upstreams []*fakeUpstream
	group     []byte // the stored group object
	version   uint64
	lastWrite uint64 // id of the last write

	faults       []string
	acked        map[uint64]wal.Position
	writtenLate  map[uint64]bool     // write → whether it was made after a majority was fenced at a later term
	acceptedBy   map[uint64]string   // term → upstream that accepted writes in it
	promotedLogs map[uint64][]uint64 // term → log of its primary at the promotion
}

// newCluster returns a cluster of n upstreams in term 1. The first upstream is the primary.
func newCluster(n int) *fakeCluster {
	c := &fakeCluster{
		acked: map[uint64]wal.Position{}, writtenLate: map[uint64]bool{},
		acceptedBy: map[uint64]string{}, promotedLogs: map[uint64][]uint64{},
	}
	for _, name := range names[:n] {
		c.upstreams = append(c.upstreams, &fakeUpstream{name: name, role: RoleReplica, fenced: 1, term: 1, following: "a"})
	}
	c.upstreams[0].role = RolePrimary
	c.putGroup(Group{Term: 1, Primary: "a", History: wal.History{{Term: 1}}, Claim: Claim{Term: 1, Op: "setup", By: "setup"}}, 0)
	return c
}

func (c *fakeCluster) upstream(name string) *fakeUpstream {
	return c.upstreams[slices.IndexFunc(c.upstreams, func(u *fakeUpstream) bool { return u.name == name })]
}

// containsWrite reports whether a log has a write at a position.
func containsWrite(log []uint64, id uint64, p wal.Position) bool {
	return p.Offset <= uint64(len(log)) && log[p.Offset-1] == id
}

// addFault records a violation of what must hold.
func (c *fakeCluster) addFault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// storedGroup returns the stored group object.
func (c *fakeCluster) storedGroup() Group {
	var g Group
	if err := json.Unmarshal(c.group, &g); err != nil {
		c.addFault("stored group object: %v", err)
	}
	return g
}

// putGroup stores a group object if the stored version is ifVersion, and reports whether it did.
func (c *fakeCluster) putGroup(g Group, ifVersion uint64) bool {
	if ifVersion != c.version {
		return false
	}
	if c.version > 0 && g.Term < c.storedGroup().Term {
		c.addFault("the recorded term goes back to %d", g.Term)
	}
	b, err := json.Marshal(g)
	if err != nil {
		c.addFault("marshal the group object: %v", err)
	}
	c.group, c.version = b, c.version+1
	return true
}

// storeCall performs a call to the store.
func (c *fakeCluster) storeCall(r Request) StoreResult {
	out := StoreResult{ID: r.ID, Kind: r.Kind}
	if r.Kind == KindPut && !c.putGroup(r.Group, r.IfVersion) {
		out.Failure = FailureConflict
	}
	out.Version = c.version
	if r.Kind == KindGet {
		out.Group = c.storedGroup()
	}
	return out
}

// controlCall performs a control function of an upstream.
func (c *fakeCluster) controlCall(begun time.Time, r Request) UpstreamResult {
	u := c.upstream(r.Upstream)
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
		c.promotedLogs[r.Term] = slices.Clone(u.log)
		for id, p := range c.acked {
			if p.Term < r.Term && !containsWrite(u.log, id, p) {
				c.addFault("promotion of %s to %d/%d loses acknowledged write %d at %v", u.name, r.Term, r.Start, id, p)
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
	p := c.upstream(u.following)
	if p.role != RolePrimary || p.term != u.fenced || p.fenced != u.fenced || len(p.log) < len(u.log) {
		return
	}
	if u.term == u.fenced && len(p.log) == len(u.log) {
		return
	}
	if !slices.Equal(p.log[:len(u.log)], u.log) {
		c.addFault("%s follows %s in term %d with another log", u.name, p.name, u.fenced)
		return
	}
	u.log = append(u.log, p.log[len(u.log):min(len(p.log), len(u.log)+n)]...)
	if uint64(len(u.log)) >= u.start {
		u.term = u.fenced
	}
}

// write runs a write on a data connection of a term. It returns false if the upstream does not
// accept writes in that term.
func (c *fakeCluster) write(name string, term uint64) (uint64, wal.Position, bool) {
	u := c.upstream(name)
	if u.role != RolePrimary || u.fenced != term || u.term != term {
		return 0, wal.Position{}, false
	}
	if by, ok := c.acceptedBy[term]; ok && by != name {
		c.addFault("%s and %s both accept writes in term %d", by, name, term)
	}
	c.acceptedBy[term] = name
	c.lastWrite++
	fencedLater := 0
	for _, o := range c.upstreams {
		if o.fenced > term {
			fencedLater++
		}
	}
	c.writtenLate[c.lastWrite] = fencedLater >= majority(len(c.upstreams))
	u.log = append(u.log, c.lastWrite)
	return c.lastWrite, u.status().Position, true
}

// recordOutcomes records the outcomes of writes, and a fault for each acknowledgement that
// must not be.
func (c *fakeCluster) recordOutcomes(resolved []ResolvedWrite) {
	for _, s := range resolved {
		if s.Outcome != OutcomeAcknowledged {
			continue
		}
		if c.writtenLate[s.ID] {
			c.addFault("write %d at %v acknowledged by an old primary", s.ID, s.Position)
		}
		copies := 0
		for _, u := range c.upstreams {
			if containsWrite(u.log, s.ID, s.Position) {
				copies++
			}
		}
		if copies < majority(len(c.upstreams)) {
			c.addFault("write %d at %v acknowledged with %d copies", s.ID, s.Position, copies)
		}
		for term, log := range c.promotedLogs {
			if term > s.Position.Term && !containsWrite(log, s.ID, s.Position) {
				c.addFault("write %d at %v acknowledged after term %d began without it", s.ID, s.Position, term)
			}
		}
		c.acked[s.ID] = s.Position
	}
}

// failOnFaults ends the test if a fault was recorded.
func (c *fakeCluster) failOnFaults(t interface{ Fatalf(string, ...any) }) {
	if len(c.faults) > 0 {
		t.Fatalf("%d faults, first: %s", len(c.faults), c.faults[0])
	}
}

package node

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/config"
	"burdockseam/core/lease"
	"burdockseam/io/caller"
)

func newTestTables(now *time.Time) (*tables, *[]Kind) {
	var mu sync.Mutex // a timer of a vanished entry reports its change after the test has ended
	var changes []Kind
	t := newTables(nil, logr.Discard(), func() time.Time { return *now })
	t.onChange = func(k Kind) {
		mu.Lock()
		defer mu.Unlock()
		changes = append(changes, k)
	}
	return t, &changes
}

func table(k Kind, revision uint64, names ...string) Table {
	t := Table{Kind: k, Revision: revision, Objects: make(map[string]Object)}
	for _, name := range names {
		t.Objects[name] = Object{Name: name, Revision: 1}
	}
	return t
}

func TestTableCopies(t *testing.T) {
	t.Run("an older copy is ignored", func(t *testing.T) {
		now := time.Unix(0, 0)
		x, changes := newTestTables(&now)
		x.install(table(KindPolicy, 5, "a"))
		x.install(table(KindPolicy, 4))
		if got := x.get(KindPolicy); got.Revision != 5 || len(got.Objects) != 1 || len(*changes) != 1 {
			t.Errorf("table %+v, changes %v, want revision 5 with one object and one change", got, *changes)
		}
	})
	t.Run("a newer copy with the same content is no change", func(t *testing.T) {
		now := time.Unix(0, 0)
		x, changes := newTestTables(&now)
		x.install(table(KindOutDomain, 5, "a"))
		if x.install(table(KindOutDomain, 6, "a")) || len(*changes) != 1 || x.get(KindOutDomain).Revision != 6 {
			t.Errorf("changes %v, want one, and the newer revision", *changes)
		}
	})
	t.Run("an update has only tables that are newer and differ", func(t *testing.T) {
		now := time.Unix(0, 0)
		x, _ := newTestTables(&now)
		x.install(table(KindPolicy, 5, "a"))
		have := x.versions()
		x.install(table(KindPolicy, 6, "a"))
		x.install(table(KindOutDomain, 7, "b"))
		got := x.updatesFor(have)
		if len(got) != 1 || got[0].Kind != KindOutDomain {
			t.Errorf("updates %v, want one of the failure domains that are out", got)
		}
	})
	t.Run("an update that does not fit changes nothing", func(t *testing.T) {
		now := time.Unix(0, 0)
		x, changes := newTestTables(&now)
		x.install(table(KindOutDomain, 5, "a"))
		u := Update{Table: Table{Kind: KindOutDomain, Revision: 7, Digest: 1}}
		if changed, fits := x.applyUpdate(u); changed || fits || len(*changes) != 1 {
			t.Errorf("changed %v, fits %v, want neither", changed, fits)
		}
	})
	t.Run("an upstream stays in use for a while after its entry disappeared", func(t *testing.T) {
		// Entries that expired during a store outage come back within two seconds.
		now := time.Unix(0, 0)
		x, _ := newTestTables(&now)
		x.install(table(KindUpstream, 5, "a", "b"))
		x.install(table(KindUpstream, 6, "b"))
		if got := x.upstreams(); len(got) != 2 {
			t.Errorf("upstreams %v, want both within the grace", got)
		}
		now = now.Add(vanishedGrace)
		if got := x.upstreams(); len(got) != 1 {
			t.Errorf("upstreams %v, want one after the grace", got)
		}
	})
}

// noHistoryStore has always lost its history, and returns a newer list on each call.
type noHistoryStore struct {
	Store
	lists int
}

func (s *noHistoryStore) List(context.Context, Kind) ([]Object, Stamp, error) {
	s.lists++
	return []Object{{Name: "main", Revision: uint64(s.lists)}}, Stamp{Revision: uint64(10 * s.lists)}, nil
}

func (s *noHistoryStore) Watch(context.Context, Kind, uint64, time.Duration) ([]Event, Stamp, error) {
	return nil, Stamp{}, ErrHistoryLost
}

// TestHistoryAlwaysLost guards against an instance that calls the store without a pause while
// its history is lost again and again.
func TestHistoryAlwaysLost(t *testing.T) {
	now := time.Unix(0, 0)
	x, _ := newTestTables(&now)
	store := &noHistoryStore{}
	x.store = store
	x.refreshPlan = func(Kind) refresh { return refresh{wait: time.Millisecond} }
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	x.keepCurrent(ctx, KindPolicy)
	if store.lists < 2 || store.lists > 10 {
		t.Errorf("%d lists in a second, want 2 to 10", store.lists)
	}
}

// TestListAgainAfterHistoryLost guards against a table that stays old after the store has
// lost its history.
func TestListAgainAfterHistoryLost(t *testing.T) {
	now := time.Unix(0, 0)
	x, _ := newTestTables(&now)
	store := &noHistoryStore{}
	x.store = store
	x.refreshPlan = func(Kind) refresh { return refresh{wait: time.Millisecond} }
	listed := false
	for k, want := range []error{nil, ErrHistoryLost, nil} {
		if err := x.refreshOnce(context.Background(), KindPolicy, &listed); !errors.Is(err, want) {
			t.Fatalf("step %d: unexpected error %v", k, err)
		}
	}
	if got := x.get(KindPolicy).Revision; got != 20 {
		t.Errorf("revision %d, want 20 of the second list", got)
	}
}

// testSchema decodes "group domain state" as an upstream, and fails for a policy that is
// "broken".
type testSchema struct{}

func (testSchema) Policy(o Object) (access.Policy, error) {
	if string(o.Data) == "broken" {
		return access.Policy{}, errors.New("broken")
	}
	return access.Policy{Version: o.Revision, Groups: map[string]access.Group{"g": {Name: "g", Connections: 8}}}, nil
}

func (testSchema) Upstream(o Object) (Entry, error) {
	f := strings.Fields(string(o.Data))
	if len(f) != 3 {
		return Entry{}, errors.New("broken")
	}
	return Entry{Upstream: config.Upstream{Name: o.Name, Group: f[0], Domain: f[1], State: config.State(f[2])}}, nil
}

func (testSchema) OutDomain(o Object) string { return o.Name }

// TestSnapshotSkipsUnreadableObjects guards against entries and policies that can't be
// decoded. Unreadable entries are left out, and an unreadable policy does not replace the
// one in force.
func TestSnapshotSkipsUnreadableObjects(t *testing.T) {
	now := time.Unix(0, 0)
	n := &Node{schema: testSchema{}, log: logr.Discard(), now: func() time.Time { return now }, skippedRevisions: make(map[string]uint64)}
	n.activeSettings.Store(&Settings{Regions: map[string]string{"d1": "r1", "d2": "r1"}})
	n.self.Address = "self"
	n.tables, _ = newTestTables(&now)
	objects := func(k Kind, revision uint64, data map[string]string) {
		x := Table{Kind: k, Revision: revision, Objects: make(map[string]Object)}
		for name, d := range data {
			x.Objects[name] = Object{Name: name, Revision: revision, Data: []byte(d)}
		}
		n.tables.install(x)
	}
	objects(KindPolicy, 3, map[string]string{"main": "{}"})
	objects(KindUpstream, 4, map[string]string{
		"ok": "g d1 active", "leaving": "g d1 leaving", "out": "g d2 active", "foreign": "other d1 active", "broken": "x",
	})
	objects(KindOutDomain, 5, map[string]string{"d2": "{}"})
	objects(KindInstance, 6, map[string]string{"i1": `{"address":"a1","domain":"d1"}`, "i2": `{"address":"a2","leaving":true}`, "i3": "x"})
	s := n.buildSnapshot(newSnapshot(n.self))
	eligible := make(map[string]bool)
	for name, u := range s.upstreams {
		eligible[name] = u.eligible
	}
	if len(eligible) != 3 || !eligible["ok"] || eligible["leaving"] || eligible["out"] {
		t.Errorf("upstreams and whether they are eligible: %v", eligible)
	}
	if len(s.instances) != 2 || s.runningInstances != 3 {
		t.Errorf("instances %v, want 2; running %d, want 3", s.instances, s.runningInstances)
	}
	objects(KindPolicy, 7, map[string]string{"main": "broken"})
	if after := n.buildSnapshot(s); after.policy.Version != 3 {
		t.Errorf("version %d after an unreadable policy, want 3", after.policy.Version)
	}
}

// slowSchema blocks the first decoding of an entry until it is released.
type slowSchema struct {
	testSchema
	started          *atomic.Bool
	reading, release chan struct{}
}

func (s slowSchema) Upstream(o Object) (Entry, error) {
	if s.started.CompareAndSwap(false, true) {
		close(s.reading)
		<-s.release
	}
	return s.testSchema.Upstream(o)
}

// TestNewerSnapshotStays guards against a change that is lost until the next change, because
// a snapshot of older tables came into force after a newer one.
func TestNewerSnapshotStays(t *testing.T) {
	schema := slowSchema{started: new(atomic.Bool), reading: make(chan struct{}), release: make(chan struct{})}
	n, err := New(Settings{Name: "a", Domain: "d1", Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Advertise: "a"}, Platform{Schema: schema}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	install := func(k Kind, revision uint64, name, data string) {
		n.tables.install(Table{Kind: k, Revision: revision, Objects: map[string]Object{name: {Name: name, Revision: revision, Data: []byte(data)}}})
	}
	install(KindPolicy, 1, "main", "{}")
	n.mu.Lock()
	n.nextBuildAt = time.Time{} // the first snapshot is built by the goroutine that waits for it
	n.mu.Unlock()
	first, second := make(chan struct{}), make(chan struct{})
	go func() {
		install(KindUpstream, 2, "u", "g d1 active")
		close(first)
	}()
	<-schema.reading // the first snapshot is being built, without failure domains that are out
	go func() {
		install(KindOutDomain, 3, "d1", "{}")
		close(second)
	}()
	// Without mutual exclusion the second snapshot is finished first.
	select {
	case <-second:
	case <-time.After(100 * time.Millisecond):
	}
	close(schema.release)
	<-first
	<-second
	n.rebuild() // builds the second snapshot without waiting for the pause
	if s := n.snapshot.Load(); !s.outDomains["d1"] || s.upstreams["u"].eligible {
		t.Errorf("failure domains that are out: %v, upstream %+v", s.outDomains, s.upstreams["u"])
	}
}

// TestIsFinal guards against a second run of a statement that may have run.
func TestIsFinal(t *testing.T) {
	for _, test := range []struct {
		name  string
		in    call.Kind // kind of the statement that opens the transaction, or "" outside of a transaction
		kind  call.Kind
		ran   call.Ran
		code  call.Code
		final bool
	}{
		{"read without an answer", "", call.Read, call.RanMaybe, call.Aborted, false},
		{"write without an answer", "", call.Write, call.RanMaybe, call.InDoubt, true},
		{"first read of a transaction without an answer", call.BeginRead, call.Read, call.RanMaybe, call.Aborted, true},
		{"first read of a transaction that did not run", call.BeginRead, call.Read, call.RanNo, call.Lagging, false},
		{"write that did not run", "", call.Write, call.RanNo, call.ReadOnly, false},
		{"write refused for lack of capacity", "", call.Write, call.RanNo, call.Busy, true},
		{"read refused for lack of capacity", "", call.Read, call.RanNo, call.Busy, false},
		{"success", "", call.Read, call.RanYes, call.OK, true},
		{"failure", "", call.Read, call.RanYes, call.Failed, true},
	} {
		op := &caller.Operation{Kind: test.in}
		r := call.Reply{Ran: test.ran, Answer: call.Answer{Code: test.code}}
		if got := isFinal(op, call.Statement{Kind: test.kind}, r); got != test.final {
			t.Errorf("%s: final is wrongly %v", test.name, got)
		}
	}
}

// TestEarlierRunDoesNotEndLease guards against two owners of the limits: an answer from an
// earlier run of the holder's instance must not end the lease of its next run.
func TestEarlierRunDoesNotEndLease(t *testing.T) {
	old := lease.StoreLeaseRecord{Holder: "a.1", Machine: "p", Epoch: 1, Beat: 1}
	next := lease.StoreLeaseRecord{Holder: "a.2", Machine: "p", Epoch: 2, Beat: 1}
	for _, test := range []struct {
		name              string
		known, knownLease lease.StoreLeaseRecord
		id, want          string
	}{
		{"the holder answers", old, old, "a.1", ""},
		{"the next run answers", old, old, "a.2", "a.1"},
		{"the earlier run's answer comes late", old, next, "a.1", ""},
		{"the next run answers and holds the lease already", old, next, "a.2", ""},
		{"another instance answers", lease.StoreLeaseRecord{Holder: "b.1", Machine: "q"}, old, "a.2", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &limits{n: &Node{log: logr.Discard()}, knownLease: test.knownLease}
			l.recordRun(test.known, "p", test.id)
			if l.endedHolder != test.want {
				t.Errorf("ended holder %q, want %q", l.endedHolder, test.want)
			}
		})
	}
}

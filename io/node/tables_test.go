package node

import (
	"context"
	"errors"
	"strings"
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
	var changes []Kind
	t := newTables(nil, logr.Discard(), func() time.Time { return *now })
	t.changed = func(k Kind) { changes = append(changes, k) }
	return t, &changes
}

func table(k Kind, revision uint64, names ...string) Table {
	t := Table{Kind: k, Revision: revision, Objects: make(map[string]Object)}
	for _, name := range names {
		t.Objects[name] = Object{Name: name, Revision: 1}
	}
	return t
}

func TestTables(t *testing.T) {
	t.Run("a copy never goes back", func(t *testing.T) {
		now := time.Unix(0, 0)
		x, changes := newTestTables(&now)
		x.install(table(KindPolicy, 5, "a"))
		x.install(table(KindPolicy, 4))
		if got := x.get(KindPolicy); got.Revision != 5 || len(got.Objects) != 1 || len(*changes) != 1 {
			t.Errorf("table %+v, changes %v", got, *changes)
		}
	})
	t.Run("the same content is no change", func(t *testing.T) {
		now := time.Unix(0, 0)
		x, changes := newTestTables(&now)
		x.install(table(KindOut, 5, "a"))
		if x.install(table(KindOut, 6, "a")) || len(*changes) != 1 || x.get(KindOut).Revision != 6 {
			t.Errorf("changes %v", *changes)
		}
	})
	t.Run("another instance gets only what is newer and differs", func(t *testing.T) {
		now := time.Unix(0, 0)
		x, _ := newTestTables(&now)
		x.install(table(KindPolicy, 5, "a"))
		have := x.marks()
		x.install(table(KindPolicy, 6, "a"))
		x.install(table(KindOut, 7, "b"))
		got := x.newer(have)
		if len(got) != 1 || got[0].Kind != KindOut {
			t.Errorf("newer %v", got)
		}
	})
	t.Run("an update that does not fit changes nothing", func(t *testing.T) {
		now := time.Unix(0, 0)
		x, changes := newTestTables(&now)
		x.install(table(KindOut, 5, "a"))
		u := Update{Table: Table{Kind: KindOut, Revision: 7, Digest: 1}}
		if changed, fits := x.apply(u); changed || fits || len(*changes) != 1 {
			t.Errorf("changed %v, fits %v", changed, fits)
		}
	})
	t.Run("an upstream counts for a while after its entry is gone", func(t *testing.T) {
		// Entries that expired during a store outage come back within two seconds.
		now := time.Unix(0, 0)
		x, _ := newTestTables(&now)
		x.install(table(KindUpstream, 5, "a", "b"))
		x.install(table(KindUpstream, 6, "b"))
		if got := x.upstreams(); len(got) != 2 {
			t.Errorf("upstreams %v", got)
		}
		now = now.Add(vanishedFor)
		if got := x.upstreams(); len(got) != 1 {
			t.Errorf("upstreams %v after the time is over", got)
		}
	})
}

// silentStore drops a watch without a word, and has another list by then.
type silentStore struct {
	Store
	lists int
}

func (s *silentStore) List(context.Context, Kind) ([]Object, uint64, error) {
	s.lists++
	return []Object{{Name: "main", Revision: uint64(s.lists)}}, uint64(10 * s.lists), nil
}

func (s *silentStore) Watch(context.Context, Kind, uint64, time.Duration) ([]Event, uint64, error) {
	return nil, 0, ErrHistory
}

// TestHistoryDropped guards against a table that stays old after the store has dropped
// its history.
func TestHistoryDropped(t *testing.T) {
	now := time.Unix(0, 0)
	x, _ := newTestTables(&now)
	store := &silentStore{}
	x.store = store
	x.patience = func(Kind) refresh { return refresh{wait: time.Millisecond} }
	listed := false
	for k, want := range []error{nil, ErrHistory, nil} {
		if err := x.step(context.Background(), KindPolicy, &listed); !errors.Is(err, want) {
			t.Fatalf("step %d: %v", k, err)
		}
	}
	if got := x.get(KindPolicy).Revision; got != 20 {
		t.Errorf("revision %d", got)
	}
}

// testSchema reads "group domain state" as an upstream.
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

func (testSchema) Out(o Object) string { return o.Name }

// TestSnapshot guards against entries and configurations that can't be read.
func TestSnapshot(t *testing.T) {
	now := time.Unix(0, 0)
	n := &Node{schema: testSchema{}, log: logr.Discard(), skipped: make(map[string]uint64)}
	n.set.Store(&Settings{Regions: map[string]string{"d1": "r1", "d2": "r1"}})
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
	objects(KindOut, 5, map[string]string{"d2": "{}"})
	objects(KindInstance, 6, map[string]string{"i1": `{"address":"a1","domain":"d1"}`, "i2": `{"address":"a2","leaving":true}`, "i3": "x"})
	s := n.build(newSnapshot(n.self))
	fit := make(map[string]bool)
	for name, u := range s.upstreams {
		fit[name] = u.fit
	}
	if len(fit) != 3 || !fit["ok"] || fit["leaving"] || fit["out"] {
		t.Errorf("upstreams %v", fit)
	}
	if len(s.instances) != 2 || s.running != 3 {
		t.Errorf("instances %v, running %d", s.instances, s.running)
	}
	objects(KindPolicy, 7, map[string]string{"main": "broken"})
	if after := n.build(s); after.policy.Version != 3 {
		t.Errorf("version %d after a broken configuration", after.policy.Version)
	}
}

// slowSchema reads entries slowly until it is released.
type slowSchema struct {
	testSchema
	reading, release chan struct{}
}

func (s slowSchema) Upstream(o Object) (Entry, error) {
	select {
	case s.reading <- struct{}{}:
		<-s.release
	default:
	}
	return s.testSchema.Upstream(o)
}

// TestRebuildOrder guards against a change that is not in force until the next one, since a
// snapshot that was built from older tables was put into force after a newer one.
func TestRebuildOrder(t *testing.T) {
	schema := slowSchema{reading: make(chan struct{}), release: make(chan struct{})}
	n, err := New(Settings{Name: "a", Domain: "d1", Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Advertise: "a"}, Platform{Schema: schema}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	install := func(k Kind, revision uint64, name, data string) {
		n.tables.install(Table{Kind: k, Revision: revision, Objects: map[string]Object{name: {Name: name, Revision: revision, Data: []byte(data)}}})
	}
	install(KindPolicy, 1, "main", "{}")
	first, second := make(chan struct{}), make(chan struct{})
	go func() {
		install(KindUpstream, 2, "u", "g d1 active")
		close(first)
	}()
	<-schema.reading // the first snapshot is being built from a table without failure domains
	go func() {
		install(KindOut, 3, "d1", "{}")
		close(second)
	}()
	// The second snapshot comes before the first one unless it waits for it.
	select {
	case <-second:
	case <-time.After(100 * time.Millisecond):
	}
	close(schema.release)
	<-first
	<-second
	n.rebuild() // the second one comes after a pause
	if s := n.snapshot.Load(); !s.out["d1"] || s.upstreams["u"].fit {
		t.Errorf("failure domains that are out: %v, upstream %+v", s.out, s.upstreams["u"])
	}
}

// TestFinal guards against a second run of a statement that may have run.
func TestFinal(t *testing.T) {
	for _, test := range []struct {
		name  string
		in    call.Kind // of the transaction's first statement, or none
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
		if got := final(op, call.Statement{Kind: test.kind}, r); got != test.final {
			t.Errorf("%s: final %v", test.name, got)
		}
	}
}

// TestHolderEnded guards against two owners of the limits: an answer that an earlier run of
// the holder's instance gave must not end the lease of its next run.
func TestHolderEnded(t *testing.T) {
	old := lease.StoreLeaseRecord{Holder: "a.1", Machine: "p", Epoch: 1, Beat: 1}
	next := lease.StoreLeaseRecord{Holder: "a.2", Machine: "p", Epoch: 2, Beat: 1}
	for _, test := range []struct {
		name         string
		known, owned lease.StoreLeaseRecord
		id, want     string
	}{
		{"the holder answers", old, old, "a.1", ""},
		{"the next run answers", old, old, "a.2", "a.1"},
		{"the earlier run's answer comes late", old, next, "a.1", ""},
		{"the next run answers and holds the lease already", old, next, "a.2", ""},
		{"another instance answers", lease.StoreLeaseRecord{Holder: "b.1", Machine: "q"}, old, "a.2", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &limits{n: &Node{log: logr.Discard()}, owned: test.owned}
			l.runs(test.known, "p", test.id)
			if l.ended != test.want {
				t.Errorf("ended %q, want %q", l.ended, test.want)
			}
		})
	}
}

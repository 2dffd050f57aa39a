package node

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/wal"
	"burdockseam/io/caller"
	"burdockseam/io/gateway"
)

// TestTargetLeft guards against a target of 0 for a late operation, which the gateway would
// take for an unknown one.
func TestTargetLeft(t *testing.T) {
	arrived := time.Unix(100, 0)
	for _, test := range []struct {
		name                string
		target, after, want time.Duration
	}{
		{"on arrival", time.Second, 0, time.Second},
		{"later", time.Second, 300 * time.Millisecond, 700 * time.Millisecond},
		{"after the target", time.Second, 2 * time.Second, time.Millisecond},
		{"unknown", 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			op := &caller.Operation{Arrived: arrived, Grant: access.Grant{Route: access.Route{TargetLatency: test.target}}}
			if got := targetLeft(op, arrived.Add(test.after)); got != test.want {
				t.Errorf("%v left, want %v", got, test.want)
			}
		})
	}
}

// bornSchema decodes entries whose last word is the incarnation.
type bornSchema struct{ testSchema }

func (s bornSchema) Upstream(o Object) (Entry, error) {
	words := strings.Fields(string(o.Data))
	last := len(words) - 1
	born, err := strconv.ParseInt(words[last], 10, 64)
	if err != nil {
		return Entry{}, err
	}
	o.Data = []byte(strings.Join(words[:last], " "))
	e, err := s.testSchema.Upstream(o)
	e.Incarnation = born
	return e, err
}

// TestIncarnationKnownSince guards against a time that restarts with each change of an
// upstream's entry, and against one that continues over a restart of the upstream.
func TestIncarnationKnownSince(t *testing.T) {
	now := time.Unix(0, 0)
	n := &Node{schema: bornSchema{}, log: logr.Discard(), now: func() time.Time { return now }, skippedRevisions: make(map[string]uint64)}
	n.activeSettings.Store(&Settings{})
	n.tables, _ = newTestTables(&now)
	n.tables.install(Table{Kind: KindPolicy, Revision: 1, Objects: map[string]Object{"main": {Name: "main", Revision: 1, Data: []byte("{}")}}})
	s := newSnapshot(n.self)
	for k, step := range []struct {
		data  string
		since int64
	}{{"g d1 active 7", 0}, {"g d1 leaving 7", 0}, {"g d1 leaving 7", 0}, {"g d1 active 8", 3}, {"g d1 active 8", 3}} {
		now = time.Unix(int64(k), 0)
		n.tables.install(Table{Kind: KindUpstream, Revision: uint64(k + 1), Objects: map[string]Object{"u": {Name: "u", Revision: uint64(k + 1), Data: []byte(step.data)}}})
		s = n.buildSnapshot(s)
		if got := s.upstreams["u"].since.Unix(); got != step.since {
			t.Errorf("step %d, %s: known since %d s, want %d s", k, step.data, got, step.since)
		}
	}
}

// slowUpstream is an upstream whose statements take 300 ms. It counts them.
type slowUpstream struct {
	gateway.Conn
	ran *atomic.Int32
}

// Dial implements gateway.Dialer.
func (u slowUpstream) Dial(context.Context, string, string, string, string) (gateway.Conn, error) {
	return u, nil
}

func (slowUpstream) Begin(time.Time, bool, wal.Position) (call.Answer, error) {
	return call.Answer{State: call.Active}, nil
}

func (u slowUpstream) Run(time.Time, call.Statement, string, wal.Position) (call.Answer, error) {
	u.ran.Add(1)
	time.Sleep(300 * time.Millisecond)
	return call.Answer{State: call.Active}, nil
}

func (slowUpstream) Rollback(time.Time) (call.Answer, error) { return call.Answer{}, nil }
func (slowUpstream) Usable() bool                            { return true }
func (slowUpstream) Close()                                  {}

// TestReadRefusedByQueue guards against a read that is refused because it can't be served in
// the time of one attempt, although it could be in all of its time, and against one that is
// sent to the refusing gateway many times or held for the rest of its time.
func TestReadRefusedByQueue(t *testing.T) {
	n, err := New(Settings{Name: "a", Domain: "d0", Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Advertise: "a"}, Platform{Schema: largeSchema{groups: 1}}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	n.tables.install(Table{Kind: KindPolicy, Revision: 1, Objects: map[string]Object{"main": {Name: "main", Revision: 1}}})
	n.tables.install(Table{Kind: KindUpstream, Revision: 1, Objects: map[string]Object{"u0": {Name: "u0", Revision: 1, Data: []byte("g0 d0 active")}}})
	n.rebuild()
	u := slowUpstream{ran: new(atomic.Int32)}
	n.gateways = gateway.New(u, n.metrics, n.log, n.now)
	n.primaries.recordProof("g0", "u0", n.now(), wal.Position{Term: 1, Offset: 1}, n.now(), false)
	for _, step := range []struct {
		name          string
		timeout, most time.Duration
		code          call.Code
	}{
		{"the first read, whose time is not known", 3 * time.Second, time.Second, call.OK},
		{"longer than one attempt", 700 * time.Millisecond, 600 * time.Millisecond, call.OK},
		{"longer than all of its time", 200 * time.Millisecond, 100 * time.Millisecond, call.Busy},
	} {
		op := newReadOperation(n, access.Primary)
		op.Grant.Route.Timeout = step.timeout
		ran, began := u.ran.Load(), n.now()
		reply := n.Run(t.Context(), op, call.Statement{Kind: call.Read})
		if took := n.now().Sub(began); reply.Code != step.code || took > step.most {
			t.Errorf("%s: reply %+v after %v", step.name, reply, took)
		}
		if offered := u.ran.Load() > ran; offered != (step.code == call.OK) {
			t.Errorf("%s: sent to the upstream: %v", step.name, offered)
		}
	}
}

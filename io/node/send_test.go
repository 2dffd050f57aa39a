package node

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/access"
	"burdockseam/io/caller"
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

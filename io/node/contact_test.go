package node

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/wal"
)

// silentAddress returns an address at which connections are accepted and nothing is answered, like
// that of an instance behind a cut.
func silentAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// newContactNode returns an instance of a fleet without fencing. The given number of the other
// instances answer, and three do not.
func newContactNode(t *testing.T, answering int) (n *Node, others []*Node) {
	t.Helper()
	n, _ = newServingNode(t)
	s := *n.settings()
	s.Unfenced = true
	n.activeSettings.Store(&s)
	fleet := Table{Kind: KindInstance, Revision: 1, Objects: make(map[string]Object)}
	add := func(name, address string) {
		data, err := json.Marshal(member{ID: name, Address: address, Domain: "d1"})
		if err != nil {
			t.Fatal(err)
		}
		fleet.Objects[name] = Object{Name: name, Revision: 1, Data: data}
	}
	for k := range answering {
		other, address := newServingNode(t)
		other.activeSettings.Store(&s)
		others = append(others, other)
		add(string(rune('b'+k)), address)
	}
	for k := range 3 {
		add(string(rune('x'+k)), silentAddress(t))
	}
	n.tables.install(fleet)
	n.tables.install(Table{Kind: KindPolicy, Revision: 1, Objects: map[string]Object{"main": {Name: "main", Revision: 1}}})
	n.rebuild()
	return n, others
}

// acknowledged is the reply to a commit that took the given time at the upstream.
func acknowledged(took time.Duration) call.Reply {
	p := wal.Position{Term: 1, Offset: 5}
	return call.Reply{Ran: call.RanYes, Answer: call.Answer{Position: p}, Sample: &call.Sample{Position: p, Age: took}}
}

// hearAll records answers of all instances to pings that were sent at a time.
func hearAll(n *Node, at time.Time) {
	for _, i := range n.snapshot.Load().instances {
		if i.Address != n.self.Address {
			n.recordContact(i.Address, at, Pong{})
		}
	}
}

// TestCommitWithoutContact guards against commits that are acknowledged to callers although a
// promotion drops them: the primary is cut off, and only a replica that has started beside it
// receives them.
func TestCommitWithoutContact(t *testing.T) {
	commit := call.Request{Inside: true, Statement: call.Statement{Kind: call.Commit}}
	write := call.Request{Statement: call.Statement{Kind: call.Write}}
	for _, test := range []struct {
		name      string
		answering int
		heard     time.Duration // age of the last answers to pings
		r         call.Request
		reply     call.Reply
		want      call.Code
	}{
		{"pings were answered a short time ago", 0, 0, commit, acknowledged(time.Millisecond), call.OK},
		{"pings were answered before the commit waited", 0, 0, commit, acknowledged(time.Second), call.InDoubt},
		{"no ping is answered any more", 0, freshContact, commit, acknowledged(time.Millisecond), call.InDoubt},
		{"a write outside a transaction", 0, freshContact, write, acknowledged(time.Millisecond), call.InDoubt},
		{"most of the fleet answers again", 4, freshContact, commit, acknowledged(time.Second), call.OK},
		{"half of the fleet answers", 2, freshContact, commit, acknowledged(time.Second), call.InDoubt},
		{"a transaction without writes", 0, freshContact, commit, call.Reply{Ran: call.RanYes}, call.OK},
		{"a write in a transaction", 0, freshContact, call.Request{Inside: true, Statement: write.Statement}, acknowledged(time.Second), call.OK},
		{"the first write of a transaction", 0, freshContact, call.Request{Open: call.OpenWrite, Statement: write.Statement}, acknowledged(time.Second), call.OK},
		{"a read", 0, freshContact, call.Request{Statement: call.Statement{Kind: call.Read}}, acknowledged(time.Second), call.OK},
	} {
		t.Run(test.name, func(t *testing.T) {
			n, _ := newContactNode(t, test.answering)
			hearAll(n, n.now().Add(-test.heard))
			if got := n.confirmCommit(t.Context(), test.r, test.reply); got.Code != test.want || (test.want == call.InDoubt) != (got.Ran == call.RanMaybe) {
				t.Errorf("code %q, ran %q, want %q", got.Code, got.Ran, test.want)
			}
		})
	}
	t.Run("a platform with fencing", func(t *testing.T) {
		n, _ := newContactNode(t, 0)
		s := *n.settings()
		s.Unfenced = false
		n.activeSettings.Store(&s)
		if got := n.confirmCommit(t.Context(), commit, acknowledged(time.Second)); got.Code != call.OK {
			t.Errorf("code %q, want ok", got.Code)
		}
	})
	t.Run("a commit on a platform with fencing", func(t *testing.T) {
		for _, test := range []struct {
			name      string
			answering int
			heard     time.Duration
			want      call.Code
		}{
			{"pings were answered a short time ago", 0, 0, call.OK},
			{"no ping is answered any more", 0, freshContact, call.InDoubt},
			{"half of the fleet answers", 2, freshContact, call.InDoubt},
			{"most of the fleet answers again", 4, freshContact, call.OK},
		} {
			t.Run(test.name, func(t *testing.T) {
				n, _ := newContactNode(t, test.answering)
				s := *n.settings()
				s.Unfenced = false
				n.activeSettings.Store(&s)
				n.primaries.startedAt = n.now().Add(-time.Minute)
				hearAll(n, n.now().Add(-test.heard))
				r := commit
				r.Budget = time.Second
				if got := n.passCommit(t.Context(), r, acknowledged(time.Millisecond)); got.Code != test.want {
					t.Errorf("code %q, want %q", got.Code, test.want)
				}
			})
		}
	})
	t.Run("half of the fleet does not answer", func(t *testing.T) {
		for _, ended := range []bool{false, true} {
			n, others := newContactNode(t, 2)
			answering := map[string]bool{n.self.Address: true}
			for _, o := range others {
				answering[o.self.Address] = true
			}
			for _, i := range n.snapshot.Load().instances {
				if ended && !answering[i.Address] {
					n.recordNoAnswer(i.Address, syscall.ECONNREFUSED)
				}
			}
			for _, o := range others {
				n.recordContact(o.self.Address, n.now(), Pong{})
			}
			if got := n.hadContact(time.Second); got != ended {
				t.Errorf("contact %t, want %t if the others have ended: %t", got, ended, ended)
			}
		}
	})
	t.Run("most of the fleet is lost and the store answers", func(t *testing.T) {
		n, _ := newContactNode(t, 0)
		now := n.now()
		n.storeContactAt.Store(&now)
		if got := n.confirmCommit(t.Context(), commit, acknowledged(time.Second)); got.Code != call.OK {
			t.Errorf("code %q, want ok", got.Code)
		}
	})
	t.Run("a fleet of one instance", func(t *testing.T) {
		n, _ := newServingNode(t)
		s := *n.settings()
		s.Unfenced = true
		n.activeSettings.Store(&s)
		if got := n.confirmCommit(t.Context(), commit, acknowledged(time.Second)); got.Code != call.OK {
			t.Errorf("code %q, want ok", got.Code)
		}
	})
}

// TestCommitsShareContactRounds guards against a round of calls for each commit that has waited,
// and against a round that is older than a commit.
func TestCommitsShareContactRounds(t *testing.T) {
	n, others := newContactNode(t, 4)
	calls := func() (sum uint64) {
		for _, o := range others {
			sum += o.metrics.set.GetOrCreateCounter("burdockseam_peer_served_calls_total").Get()
		}
		return sum
	}
	before := calls()
	for last := before + 1; last != before; before = calls() {
		last = before
		time.Sleep(100 * time.Millisecond) // until the notices of the start have arrived
	}
	var commits sync.WaitGroup
	for range 200 {
		commits.Go(func() {
			if !n.confirmContact(t.Context(), time.Second) {
				t.Error("no contact")
			}
		})
	}
	commits.Wait()
	if got := calls() - before; got < 4 || got > 3*4 {
		t.Errorf("%d calls for 200 commits, want those of one to three rounds", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if n.askForContact(ctx, n.now()) {
		t.Error("contact is confirmed by an older round")
	}
}

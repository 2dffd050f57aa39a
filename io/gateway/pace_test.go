package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/call"
)

// adaptiveRequest returns a request for an upstream with 4 slots that started at a time.
func adaptiveRequest(born time.Time, id string) call.Request {
	r := newRequest("", id, call.Read)
	r.Slots, r.Adaptive, r.Born = 4, true, born.UnixMilli()
	return r
}

// runReads runs reads one after the other, and returns the pace in the last reply.
func runReads(g *Gateways, n int, r call.Request) int {
	var reply call.Reply
	for range n {
		reply = g.Run(context.Background(), r)
	}
	return reply.Pace
}

// TestPaceAtStart guards against full pace for an upstream that has just started, against a
// low one where it has been running for long or the pace is not to be adapted, and against a
// low pace that lasts for more than a few rounds.
func TestPaceAtStart(t *testing.T) {
	young, old := time.Now().Add(-time.Second), time.Now().Add(-time.Hour)
	for _, test := range []struct {
		name        string
		change      func(*call.Request)
		first, then int // after the first answer, and after 7
	}{
		{"young", func(*call.Request) {}, 2, 5},
		{"known for long", func(r *call.Request) { r.Since = time.Hour }, 5, 5},
		{"old", func(r *call.Request) { r.Born = old.UnixMilli() }, 5, 5},
		{"unknown", func(r *call.Request) { r.Born = 0 }, 5, 5},
		{"not adaptive", func(r *call.Request) { r.Adaptive = false }, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, g := newTestGateways(nil)
			r := adaptiveRequest(young, "1")
			test.change(&r)
			if got := runReads(g, 1, r); got != test.first {
				t.Errorf("pace %d after the first answer, want %d", got, test.first)
			}
			if got := runReads(g, 6, r); got != test.then {
				t.Errorf("pace %d after 7 answers, want %d", got, test.then)
			}
		})
	}
}

// TestPaceInForce guards against a pace that is reported and not kept.
func TestPaceInForce(t *testing.T) {
	var running, most atomic.Int32
	s, g := newTestGateways(nil)
	s.block = func(string) {
		n := running.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(10 * time.Millisecond)
		running.Add(-1)
	}
	var done sync.WaitGroup
	for range 7 {
		done.Add(1)
		go func() {
			defer done.Done()
			g.Run(context.Background(), adaptiveRequest(time.Now(), "1"))
		}()
	}
	for g.Usage().Queued+g.Usage().Running < 7 {
		time.Sleep(time.Millisecond)
	}
	if u := g.Usage(); u.Running > 1 || u.Below != 1 {
		t.Errorf("usage %+v, want one running statement", u)
	}
	done.Wait()
	if m := most.Load(); m > 4 {
		t.Errorf("%d statements at a time during the first seven", m)
	}
}

// failingDialer fails to reach the upstream while down is set.
type failingDialer struct {
	*fakeUpstream
	down atomic.Bool
}

func (d *failingDialer) Dial(ctx context.Context, address, group, team, upstream string) (Conn, error) {
	if d.down.Load() {
		return nil, errors.New("refused")
	}
	return d.fakeUpstream.Dial(ctx, address, group, team, upstream)
}

// TestPaceRestarts guards against full pace after an upstream has restarted, recovered or
// been promoted, and after answers that show that it has no capacity.
func TestPaceRestarts(t *testing.T) {
	old := time.Now().Add(-time.Hour)
	var answer atomic.Value
	answer.Store(call.OK)
	start := func() (*failingDialer, *Gateways) {
		answer.Store(call.OK)
		d := &failingDialer{fakeUpstream: &fakeUpstream{answer: func(string) (call.Answer, error) {
			return call.Answer{Code: answer.Load().(call.Code)}, nil
		}}}
		g := New(d, silentObserver{}, logr.Discard(), time.Now)
		if got := runReads(g, 1, adaptiveRequest(old, "1")); got != 5 {
			t.Fatalf("pace %d at first, want 5", got)
		}
		return d, g
	}
	t.Run("a new incarnation", func(t *testing.T) {
		_, g := start()
		if got := runReads(g, 1, adaptiveRequest(old.Add(time.Minute), "1")); got != 2 {
			t.Errorf("pace %d, want 2", got)
		}
	})
	t.Run("a promotion", func(t *testing.T) {
		_, g := start()
		if got := runReads(g, 1, withOpen(adaptiveRequest(old, "1"), call.OpenFence)); got > 2 {
			t.Errorf("pace %d, want at most 2", got)
		}
	})
	t.Run("an upstream that was unreachable", func(t *testing.T) {
		d, g := start()
		d.down.Store(true)
		g.find("u").trimAll()
		runReads(g, 1, adaptiveRequest(old, "1"))
		time.Sleep(dialFailureTTL + 10*time.Millisecond)
		d.down.Store(false)
		if got := runReads(g, 1, adaptiveRequest(old, "1")); got != 2 {
			t.Errorf("pace %d, want 2", got)
		}
	})
	t.Run("an upstream without capacity", func(t *testing.T) {
		_, g := start()
		answer.Store(call.Busy)
		if got := runReads(g, 20, adaptiveRequest(old, "1")); got > 2 {
			t.Errorf("pace %d after 20 refusals", got)
		}
		answer.Store(call.Failed)
		if got := runReads(g, 20, adaptiveRequest(old, "1")); got > 2 {
			t.Errorf("pace %d after statements that failed", got)
		}
		answer.Store(call.OK)
		if got := runReads(g, 20, adaptiveRequest(old, "1")); got != 5 {
			t.Errorf("pace %d after 20 good answers", got)
		}
	})
}

// trimAll closes all idle connections.
func (g *Gateway) trimAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDecisions(g.queue.TrimIdle(g.gateways.now(), 0))
}

package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/call"
)

// countingObserver counts the refusals by reason.
type countingObserver struct {
	silentObserver
	mu      sync.Mutex
	refused map[string]int
}

// Refused implements Observer.
func (o *countingObserver) Refused(reason string, _ bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused[reason]++
}

// TestUrgentFirst guards against a priority or a target that does not reach the queue: urgent
// statements would wait behind a burst of others.
func TestUrgentFirst(t *testing.T) {
	proceed := make(chan bool)
	var blocked sync.WaitGroup
	s, g := newTestGateways(nil)
	s.block = func(text string) {
		if text == "read long" {
			blocked.Done()
			<-proceed
		}
	}
	var done sync.WaitGroup
	start := func(r call.Request) {
		done.Add(1)
		go func() { defer done.Done(); g.Run(context.Background(), r) }()
	}
	blocked.Add(2)
	for range 2 {
		r := newRequest("", "long", call.Read)
		// Of another team: a long statement of the same team would make it owe slot time to
		// its less urgent priorities, on a slow machine for long enough to change the order.
		r.Slots, r.Team = 1, "b"
		start(r)
	}
	blocked.Wait()
	for k, r := range []struct {
		id       string
		priority int
		target   time.Duration
	}{{"low", 2, 0}, {"later", 1, 900 * time.Millisecond}, {"sooner", 1, 300 * time.Millisecond}, {"urgent", 0, 0}} {
		q := newRequest("", r.id, call.Read)
		q.Priority, q.Target = r.priority, r.target
		start(q)
		for g.Usage().Queued < k+1 {
			time.Sleep(time.Millisecond)
		}
	}
	proceed <- true // one slot becomes free, and serves the waiting statements one by one
	wantSent(t, s, "read long", "read urgent", "read sooner", "read later", "read low")
	proceed <- true
	done.Wait()
}

// TestRefusedAtOnce guards against a statement that waits although the queue knows that it
// can't be served in time, and against a retry hint that ignores the backlog.
func TestRefusedAtOnce(t *testing.T) {
	o := &countingObserver{refused: map[string]int{}}
	s := &fakeUpstream{block: func(string) { time.Sleep(40 * time.Millisecond) }}
	g := New(s, o, logr.Discard(), time.Now)
	g.Run(context.Background(), newRequest("", "first", call.Read))
	var done sync.WaitGroup
	for range 15 { // three at a time
		done.Add(1)
		go func() { defer done.Done(); g.Run(context.Background(), newRequest("", "read", call.Read)) }()
	}
	for g.Usage().Queued < 12 {
		time.Sleep(time.Millisecond)
	}
	r := newRequest("", "late", call.Read)
	r.Budget = 80 * time.Millisecond
	began := time.Now()
	reply := g.Run(context.Background(), r)
	if reply.Code != call.Busy || reply.Ran != call.RanNo || time.Since(began) > 20*time.Millisecond {
		t.Errorf("reply %+v after %v", reply, time.Since(began))
	}
	if reply.Retry < 80*time.Millisecond || reply.Retry > 400*time.Millisecond {
		t.Errorf("retry after %v, want about 180 ms", reply.Retry)
	}
	done.Wait()
	if o.refused[reply.Text] != 1 {
		t.Errorf("refusals %v", o.refused)
	}
}

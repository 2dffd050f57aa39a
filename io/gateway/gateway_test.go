package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/call"
	"burdockseam/core/wal"
)

// fakeUpstream is an upstream whose answers are set by a test. It records the texts that
// it was sent.
type fakeUpstream struct {
	mu     sync.Mutex
	sent   []string
	alone  []string // statements of callers that ran outside of a transaction
	teams  []string
	open   int
	answer func(text string) (call.Answer, error)
	// block is called before a text is recorded, without the lock.
	block func(text string)
}

func (s *fakeUpstream) Dial(_ context.Context, _, _, team, _ string) (Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams = append(s.teams, team)
	s.open++
	return &fakeConn{upstream: s}, nil
}

func (s *fakeUpstream) sentTexts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sent)
}

// fakeConn is a connection that tracks the state of its transaction as an upstream does.
type fakeConn struct {
	upstream      *fakeUpstream
	inTransaction bool
	closed        bool
}

func (c *fakeConn) send(text string) (call.Answer, error) {
	if c.upstream.block != nil {
		c.upstream.block(text)
	}
	c.upstream.mu.Lock()
	defer c.upstream.mu.Unlock()
	c.upstream.sent = append(c.upstream.sent, text)
	if strings.Contains(text, " ") && !strings.HasPrefix(text, "begin") && !c.inTransaction {
		c.upstream.alone = append(c.upstream.alone, text)
	}
	var a call.Answer
	var err error
	if c.upstream.answer != nil {
		a, err = c.upstream.answer(text)
	}
	if a.Code == call.OK && err == nil {
		switch {
		case strings.HasPrefix(text, "begin"):
			c.inTransaction = true
		case text == "rollback" || strings.HasPrefix(text, "commit"):
			c.inTransaction = false
		}
	}
	a.State = call.Idle
	if c.inTransaction {
		a.State = call.Active
	}
	if a.Position == (wal.Position{}) {
		a.Position = wal.Position{Term: 1, Offset: 5}
	}
	return a, err
}

func (c *fakeConn) Begin(_ time.Time, read bool, _ wal.Position) (call.Answer, error) {
	if read {
		return c.send("begin read")
	}
	return c.send("begin")
}

func (c *fakeConn) Rollback(time.Time) (call.Answer, error) { return c.send("rollback") }

func (c *fakeConn) Run(_ time.Time, s call.Statement, name string, _ wal.Position) (call.Answer, error) {
	if s.Kind == call.Execute {
		return c.send("execute " + name)
	}
	return c.send(string(s.Kind) + " " + s.ID)
}

func (c *fakeConn) Set(_ time.Time, v call.Value) (call.Answer, error) {
	return c.send("set " + v.Name + " " + v.Data)
}

func (c *fakeConn) Prepare(_ time.Time, name, shape string, writes bool) (call.Answer, error) {
	return c.send(fmt.Sprintf("prepare %s %q %t", name, shape, writes))
}

func (c *fakeConn) Deallocate(_ time.Time, name string) (call.Answer, error) {
	return c.send("dealloc " + name)
}

func (c *fakeConn) Reset(time.Time) (call.Answer, error) { return c.send("reset") }
func (c *fakeConn) Usable() bool                         { return !c.closed }
func (c *fakeConn) Close()                               { c.closed = true }

func newRequest(session, id string, k call.Kind) call.Request {
	return call.Request{
		Group: "g", Upstream: "u", Address: "a", Slots: 2, Limit: 8, Team: "x", Session: session,
		Statement: call.Statement{ID: id, Kind: k}, Budget: time.Second, Idle: time.Second,
	}
}

func withInside(r call.Request) call.Request { r.Inside = true; return r }

func withOpen(r call.Request, o call.Open) call.Request { r.Open = o; return r }

func newTestGateways(answer func(string) (call.Answer, error)) (*fakeUpstream, *Gateways) {
	s := &fakeUpstream{answer: answer}
	return s, New(s, silentObserver{}, logr.Discard(), time.Now)
}

// wantSent waits until the upstream was sent the wanted texts, and nothing else.
func wantSent(t *testing.T, s *fakeUpstream, want ...string) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) {
		if slices.Equal(s.sentTexts(), want) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("sent %q, want %q", s.sentTexts(), want)
}

func TestPrimaryProof(t *testing.T) {
	t.Run("a read at the primary runs inside a transaction that is rolled back", func(t *testing.T) {
		s, g := newTestGateways(nil)
		r := g.Run(context.Background(), withOpen(newRequest("s", "1", call.Read), call.OpenFence))
		if r.Code != call.OK || r.Sample == nil || r.Sample.Position != (wal.Position{Term: 1, Offset: 5}) {
			t.Errorf("reply %+v", r)
		}
		wantSent(t, s, "begin", "read 1", "rollback")
	})
	t.Run("an upstream that is no longer the primary runs nothing", func(t *testing.T) {
		s, g := newTestGateways(func(text string) (call.Answer, error) {
			if text == "begin" {
				return call.Answer{Code: call.ReadOnly}, nil
			}
			return call.Answer{}, nil
		})
		r := g.Run(context.Background(), withOpen(newRequest("s", "1", call.Read), call.OpenFence))
		if r.Code != call.ReadOnly || r.Ran != call.RanNo || r.Sample != nil {
			t.Errorf("reply %+v", r)
		}
		wantSent(t, s, "begin")
	})
	t.Run("a replica's answer proves nothing", func(t *testing.T) {
		_, g := newTestGateways(nil)
		if r := g.Run(context.Background(), newRequest("s", "1", call.Read)); r.Sample != nil {
			t.Errorf("sample %+v", r.Sample)
		}
	})
	t.Run("a commit without writes proves nothing", func(t *testing.T) {
		_, g := newTestGateways(nil)
		g.Run(context.Background(), withOpen(newRequest("s", "1", call.Read), call.OpenWrite))
		if r := g.Run(context.Background(), withInside(newRequest("s", "2", call.Commit))); r.Code != call.OK || r.Sample != nil {
			t.Errorf("reply %+v", r)
		}
	})
}

// A commit that did not run leaves the transaction open. Without a rollback, the pooled
// connection would run other callers' statements inside that transaction.
func TestFailedCommitRollsBack(t *testing.T) {
	s, g := newTestGateways(func(text string) (call.Answer, error) {
		if text == "commit 2" {
			return call.Answer{Code: call.Failed}, nil
		}
		return call.Answer{}, nil
	})
	g.Run(context.Background(), withOpen(newRequest("s", "1", call.Write), call.OpenWrite))
	if r := g.Run(context.Background(), withInside(newRequest("s", "2", call.Commit))); r.Code != call.Failed {
		t.Errorf("reply %+v", r)
	}
	wantSent(t, s, "begin", "write 1", "commit 2", "rollback")
	g.Run(context.Background(), newRequest("other", "3", call.Read))
	wantSent(t, s, "begin", "write 1", "commit 2", "rollback", "read 3")
}

// Guards against losing a transaction because the upstream had no free slot for one of
// its statements.
func TestBusyRetriedInTransaction(t *testing.T) {
	tries := 0
	s, g := newTestGateways(func(text string) (call.Answer, error) {
		if text == "commit 2" {
			if tries++; tries < 3 {
				return call.Answer{Code: call.Busy}, nil
			}
		}
		return call.Answer{}, nil
	})
	g.Run(context.Background(), withOpen(newRequest("s", "1", call.Write), call.OpenWrite))
	if r := g.Run(context.Background(), withInside(newRequest("s", "2", call.Commit))); r.Code != call.OK || r.Ran != call.RanYes {
		t.Errorf("reply %+v", r)
	}
	wantSent(t, s, "begin", "write 1", "commit 2", "commit 2", "commit 2")
}

// Guards against a reply that states whether a statement ran although its answer was
// lost.
func TestLostAnswers(t *testing.T) {
	errCut := errors.New("cut")
	for _, test := range []struct {
		name string
		kind call.Kind
		open call.Open
		err  error
		code call.Code
		ran  call.Ran
	}{
		{"single write", call.Write, call.OpenNone, errCut, call.InDoubt, call.RanMaybe},
		{"single read", call.Read, call.OpenNone, errCut, call.Aborted, call.RanMaybe},
		{"write in a transaction", call.Write, call.OpenWrite, errCut, call.Aborted, call.RanMaybe},
		{"commit", call.Commit, call.OpenWrite, errCut, call.InDoubt, call.RanMaybe},
		{"unsent write", call.Write, call.OpenNone, ErrUnsent, call.Aborted, call.RanNo},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, g := newTestGateways(func(text string) (call.Answer, error) {
				if strings.HasSuffix(text, " 1") {
					return call.Answer{}, test.err
				}
				return call.Answer{}, nil
			})
			r := g.Run(context.Background(), withOpen(newRequest("s", "1", test.kind), test.open))
			if r.Code != test.code || r.Ran != test.ran {
				t.Errorf("code %q, ran %q; want %q, %q", r.Code, r.Ran, test.code, test.ran)
			}
		})
	}
}

// Guards against running a statement with another session's values or prepared
// statements.
func TestSessionStatePerCaller(t *testing.T) {
	s, g := newTestGateways(nil)
	with := func(r call.Request, values ...call.Value) call.Request { r.Values = values; return r }
	g.Run(context.Background(), with(newRequest("s1", "1", call.Read), call.Value{Name: "a", Data: "1"}))
	g.Run(context.Background(), with(newRequest("s2", "2", call.Read), call.Value{Name: "a", Data: "2"}))
	g.Run(context.Background(), newRequest("s3", "3", call.Read))
	wantSent(t, s, "set a 1", "read 1", "set a 2", "read 2", "reset", "read 3")
	execute := newRequest("s3", "4", call.Execute)
	execute.Statement.Shape = "q1"
	g.Run(context.Background(), execute)
	execute.Session, execute.Statement.ID, execute.Statement.Writes = "s4", "5", true
	g.Run(context.Background(), execute)
	got := s.sentTexts()[6:]
	if !slices.Equal(got, []string{`prepare p1 "q1" false`, "execute p1", `prepare p2 "q1" true`, "execute p2"}) {
		t.Errorf("sent %q", got)
	}
}

// Guards against running a statement on a connection that was opened for another team.
func TestConnectionsPerTeam(t *testing.T) {
	s, g := newTestGateways(nil)
	g.Run(context.Background(), newRequest("s1", "1", call.Read))
	other := newRequest("s2", "2", call.Read)
	other.Team = "y"
	g.Run(context.Background(), other)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.teams, []string{"x", "y"}) {
		t.Errorf("connections for %v", s.teams)
	}
}

// Guards against running a statement whose transaction was never opened, or has ended,
// outside of a transaction.
func TestStatementAfterTransactionEnd(t *testing.T) {
	s, g := newTestGateways(nil)
	if r := g.Run(context.Background(), withInside(newRequest("s", "1", call.Read))); r.Code != call.Aborted || r.Ran != call.RanNo {
		t.Errorf("reply %+v", r)
	}
	g.Run(context.Background(), withOpen(newRequest("s", "2", call.Read), call.OpenRead))
	g.EndTransaction("u", "s")
	if r := g.Run(context.Background(), withInside(newRequest("s", "3", call.Commit))); r.Code != call.Aborted {
		t.Errorf("reply %+v", r)
	}
	wantSent(t, s, "begin read", "read 2", "rollback")
}

// busyFirstTry starts a transaction whose first statement finds no free slot until its time
// is over. The rollback behind the answer is blocked until finish is closed.
func busyFirstTry(t *testing.T) (s *fakeUpstream, g *Gateways, rollingBack chan bool, finish chan bool) {
	t.Helper()
	rollingBack, finish = make(chan bool), make(chan bool)
	s, g = newTestGateways(func(text string) (call.Answer, error) {
		if text == "read 1" {
			return call.Answer{Code: call.Busy}, nil
		}
		return call.Answer{}, nil
	})
	s.block = func(text string) {
		if text == "rollback" {
			close(rollingBack)
			<-finish
		}
	}
	first := withOpen(newRequest("s", "1", call.Read), call.OpenWrite)
	first.Budget = 30 * time.Millisecond
	if r := g.Run(context.Background(), first); r.Code != call.Busy || r.Ran != call.RanNo {
		t.Fatalf("reply to the first try: %+v", r)
	}
	<-rollingBack
	return s, g, rollingBack, finish
}

// wantCommitted runs the rest of session "s"'s transaction, and checks that all of it ran
// inside the transaction.
func wantCommitted(t *testing.T, s *fakeUpstream, g *Gateways) {
	t.Helper()
	for _, st := range []call.Request{newRequest("s", "3", call.Write), newRequest("s", "4", call.Commit)} {
		if r := g.Run(context.Background(), withInside(st)); r.Code != call.OK {
			t.Errorf("reply to %s: %+v", st.Statement.Kind, r)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.alone) > 0 {
		t.Errorf("%q ran outside of a transaction; sent %q", s.alone, s.sent)
	}
}

// The first statement of a transaction is tried again while the failed try is still being
// rolled back. Guards against a write outside of its transaction, which is kept although
// the caller is told that nothing is.
func TestRollbackDuringNextTry(t *testing.T) {
	waitReleased := func(t *testing.T, g *Gateways, running int) {
		t.Helper()
		for deadline := time.Now().Add(2 * time.Second); g.Usage().Running != running; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d statements are running, want %d", g.Usage().Running, running)
			}
		}
	}
	second := withOpen(newRequest("s", "2", call.Read), call.OpenWrite)
	t.Run("the rollback ends while the next try is running", func(t *testing.T) {
		s, g, _, finish := busyFirstTry(t)
		running, proceed := make(chan bool), make(chan bool)
		s.block = func(text string) {
			switch text {
			case "read 2":
				close(running)
				<-proceed
			}
		}
		done := make(chan call.Reply)
		go func() { done <- g.Run(context.Background(), second) }()
		<-running
		close(finish)
		waitReleased(t, g, 1)
		close(proceed)
		if r := <-done; r.Code != call.OK {
			t.Errorf("reply to the next try: %+v", r)
		}
		wantCommitted(t, s, g)
	})
	t.Run("the rollback ends after the next try", func(t *testing.T) {
		s, g, _, finish := busyFirstTry(t)
		if r := g.Run(context.Background(), second); r.Code != call.OK {
			t.Errorf("reply to the next try: %+v", r)
		}
		close(finish)
		waitReleased(t, g, 0)
		wantCommitted(t, s, g)
	})
}

// The end of a transaction arrives while its first statement is running. Guards against a
// transaction that stays open, with its locks and its connection, until it has been idle
// for too long.
func TestEndDuringFirstStatement(t *testing.T) {
	running, proceed := make(chan bool), make(chan bool)
	s, g := newTestGateways(nil)
	s.block = func(text string) {
		if text == "read 1" {
			close(running)
			<-proceed
		}
	}
	done := make(chan call.Reply)
	go func() {
		done <- g.Run(context.Background(), withOpen(newRequest("s", "1", call.Read), call.OpenRead))
	}()
	<-running
	g.EndTransaction("u", "s")
	close(proceed)
	<-done
	wantSent(t, s, "begin read", "read 1", "rollback")
}

// The end of a transaction arrives while one of its statements is running. Guards against
// sending the rollback at once: with two statements on one connection, the answer of one
// would be taken for that of the other.
func TestEndDuringStatement(t *testing.T) {
	running, proceed := make(chan bool), make(chan bool)
	s, g := newTestGateways(func(text string) (call.Answer, error) {
		return call.Answer{}, nil
	})
	s.block = func(text string) {
		if text == "read 2" {
			close(running)
			<-proceed
		}
	}
	g.Run(context.Background(), withOpen(newRequest("s", "1", call.Read), call.OpenRead))
	done := make(chan call.Reply)
	go func() { done <- g.Run(context.Background(), withInside(newRequest("s", "2", call.Read))) }()
	<-running
	g.EndTransaction("u", "s")
	wantSent(t, s, "begin read", "read 1")
	close(proceed)
	if r := <-done; r.Code != call.OK {
		t.Errorf("reply %+v", r)
	}
	wantSent(t, s, "begin read", "read 1", "read 2", "rollback")
	// The connection is free again.
	if r := g.Run(context.Background(), newRequest("t", "3", call.Read)); r.Code != call.OK {
		t.Errorf("reply %+v", r)
	}
}

// The end of a transaction arrives while one of its statements waits for a slot. Guards
// against running that statement outside of its transaction.
func TestEndWhileWaiting(t *testing.T) {
	proceed, finishRollback := make(chan bool), make(chan bool)
	var blocked sync.WaitGroup
	s, g := newTestGateways(nil)
	s.block = func(text string) {
		switch {
		case strings.HasPrefix(text, "read long"):
			blocked.Done()
			<-proceed
		case text == "rollback":
			<-finishRollback // slots become free while the rollback is running
		}
	}
	g.Run(context.Background(), withOpen(newRequest("s", "1", call.Read), call.OpenRead))
	var done sync.WaitGroup
	for _, id := range []string{"long1", "long2", "long3"} { // all slots, and the extra slot
		blocked.Add(1)
		done.Add(1)
		go func() { defer done.Done(); g.Run(context.Background(), newRequest(id, id, call.Read)) }()
	}
	blocked.Wait()
	reply := make(chan call.Reply)
	go func() { reply <- g.Run(context.Background(), withInside(newRequest("s", "2", call.Read))) }()
	for g.OpenWork() < 5 { // three statements run, one waits, and one transaction is open
		time.Sleep(time.Millisecond)
	}
	g.EndTransaction("u", "s")
	time.Sleep(20 * time.Millisecond)
	close(proceed)
	done.Wait()
	if r := <-reply; r.Code != call.Aborted || r.Ran != call.RanNo {
		t.Errorf("reply %+v", r)
	}
	close(finishRollback)
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) && !slices.Contains(s.sentTexts(), "rollback") {
		time.Sleep(time.Millisecond)
	}
	if log := s.sentTexts(); !slices.Contains(log, "rollback") || slices.Contains(log, "read 2") {
		t.Errorf("sent %q", log)
	}
}

// silentObserver is an Observer that discards the durations.
type silentObserver struct{}

// Waited implements Observer.
func (silentObserver) Waited(time.Duration) {}

// Answered implements Observer.
func (silentObserver) Answered(time.Duration) {}

// Refused implements Observer.
func (silentObserver) Refused(string, bool) {}

// Paced implements Observer.
func (silentObserver) Paced(string) {}

// TestEmptyTransactionIsNoCommit guards against a commit without writes that counts as the
// acknowledgement of what others commit meanwhile.
func TestEmptyTransactionIsNoCommit(t *testing.T) {
	_, g := newTestGateways(func(text string) (call.Answer, error) {
		if strings.HasPrefix(text, "commit") {
			return call.Answer{State: call.Idle, Position: wal.Position{Term: 1, Offset: 130}}, nil
		}
		return call.Answer{State: call.Active, Position: wal.Position{Term: 1, Offset: 100}}, nil
	})
	r := g.Run(context.Background(), withOpen(newRequest("s", "1", call.Commit), call.OpenWrite))
	if r.Code != call.OK || r.Sample != nil {
		t.Errorf("code %q, sample %+v, want ok without a sample", r.Code, r.Sample)
	}
}

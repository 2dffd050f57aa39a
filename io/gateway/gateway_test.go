package gateway

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/call"
	"burdockseam/core/wal"
)

// script is an upstream whose answers a test sets. It notes what it was sent.
type script struct {
	mu     sync.Mutex
	sent   []string
	teams  []string
	open   int
	answer func(text string) (call.Answer, error)
	// block is called before a statement is noted, without the lock.
	block func(text string)
}

func (s *script) Dial(_ context.Context, _, _, team, _ string) (Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams = append(s.teams, team)
	s.open++
	return &scripted{s: s}, nil
}

func (s *script) log() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sent)
}

// scripted is a connection that keeps the state as an upstream does.
type scripted struct {
	s      *script
	in     bool
	closed bool
}

func (c *scripted) do(text string) (call.Answer, error) {
	if c.s.block != nil {
		c.s.block(text)
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.sent = append(c.s.sent, text)
	var a call.Answer
	var err error
	if c.s.answer != nil {
		a, err = c.s.answer(text)
	}
	if a.Code == call.OK && err == nil {
		switch {
		case strings.HasPrefix(text, "begin"):
			c.in = true
		case text == "rollback" || strings.HasPrefix(text, "commit"):
			c.in = false
		}
	}
	a.State = call.Idle
	if c.in {
		a.State = call.Active
	}
	if a.Position == (wal.Position{}) {
		a.Position = wal.Position{Term: 1, Offset: 5}
	}
	return a, err
}

func (c *scripted) Begin(_ time.Time, read bool, _ wal.Position) (call.Answer, error) {
	if read {
		return c.do("begin read")
	}
	return c.do("begin")
}

func (c *scripted) Rollback(time.Time) (call.Answer, error) { return c.do("rollback") }

func (c *scripted) Run(_ time.Time, s call.Statement, name string, _ wal.Position) (call.Answer, error) {
	if s.Kind == call.Execute {
		return c.do("execute " + name)
	}
	return c.do(string(s.Kind) + " " + s.ID)
}

func (c *scripted) Set(_ time.Time, v call.Value) (call.Answer, error) {
	return c.do("set " + v.Name + " " + v.Data)
}

func (c *scripted) Prepare(_ time.Time, name, _ string, _ bool) (call.Answer, error) {
	return c.do("prepare " + name)
}

func (c *scripted) Reset(time.Time) (call.Answer, error) { return c.do("reset") }
func (c *scripted) Usable() bool                         { return !c.closed }
func (c *scripted) Close()                               { c.closed = true }

func request(session, id string, k call.Kind) call.Request {
	return call.Request{
		Group: "g", Upstream: "u", Address: "a", Slots: 2, Limit: 8, Team: "x", Session: session,
		Statement: call.Statement{ID: id, Kind: k}, Budget: time.Second, Idle: time.Second,
	}
}

func inside(r call.Request) call.Request { r.Inside = true; return r }

func opening(r call.Request, o call.Open) call.Request { r.Open = o; return r }

func newTest(answer func(string) (call.Answer, error)) (*script, *Gateways) {
	s := &script{answer: answer}
	return s, New(s, silentObserver{}, logr.Discard(), time.Now)
}

func wantSent(t *testing.T, s *script, want ...string) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) {
		if slices.Equal(s.log(), want) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("sent %q, want %q", s.log(), want)
}

func TestFence(t *testing.T) {
	t.Run("a read at the primary runs inside a transaction that is rolled back", func(t *testing.T) {
		s, g := newTest(nil)
		r := g.Run(context.Background(), opening(request("s", "1", call.Read), call.OpenFence))
		if r.Code != call.OK || r.Sample == nil || r.Sample.Position != (wal.Position{Term: 1, Offset: 5}) {
			t.Errorf("reply %+v", r)
		}
		wantSent(t, s, "begin", "read 1", "rollback")
	})
	t.Run("an upstream that leads no more runs nothing", func(t *testing.T) {
		s, g := newTest(func(text string) (call.Answer, error) {
			if text == "begin" {
				return call.Answer{Code: call.ReadOnly}, nil
			}
			return call.Answer{}, nil
		})
		r := g.Run(context.Background(), opening(request("s", "1", call.Read), call.OpenFence))
		if r.Code != call.ReadOnly || r.Ran != call.RanNo || r.Sample != nil {
			t.Errorf("reply %+v", r)
		}
		wantSent(t, s, "begin")
	})
	t.Run("a replica's answer proves nothing", func(t *testing.T) {
		_, g := newTest(nil)
		if r := g.Run(context.Background(), request("s", "1", call.Read)); r.Sample != nil {
			t.Errorf("sample %+v", r.Sample)
		}
	})
	t.Run("a commit without writes proves nothing", func(t *testing.T) {
		_, g := newTest(nil)
		g.Run(context.Background(), opening(request("s", "1", call.Read), call.OpenWrite))
		if r := g.Run(context.Background(), inside(request("s", "2", call.Commit))); r.Code != call.OK || r.Sample != nil {
			t.Errorf("reply %+v", r)
		}
	})
}

// TestCommitRefused guards against a pooled connection inside another caller's
// transaction: a commit that did not run leaves the transaction open.
func TestCommitRefused(t *testing.T) {
	s, g := newTest(func(text string) (call.Answer, error) {
		if text == "commit 2" {
			return call.Answer{Code: call.Failed}, nil
		}
		return call.Answer{}, nil
	})
	g.Run(context.Background(), opening(request("s", "1", call.Write), call.OpenWrite))
	if r := g.Run(context.Background(), inside(request("s", "2", call.Commit))); r.Code != call.Failed {
		t.Errorf("reply %+v", r)
	}
	wantSent(t, s, "begin", "write 1", "commit 2", "rollback")
	g.Run(context.Background(), request("other", "3", call.Read))
	wantSent(t, s, "begin", "write 1", "commit 2", "rollback", "read 3")
}

// TestBusyInside guards against the loss of a transaction whose statement found no slot.
func TestBusyInside(t *testing.T) {
	tries := 0
	s, g := newTest(func(text string) (call.Answer, error) {
		if text == "commit 2" {
			if tries++; tries < 3 {
				return call.Answer{Code: call.Busy}, nil
			}
		}
		return call.Answer{}, nil
	})
	g.Run(context.Background(), opening(request("s", "1", call.Write), call.OpenWrite))
	if r := g.Run(context.Background(), inside(request("s", "2", call.Commit))); r.Code != call.OK || r.Ran != call.RanYes {
		t.Errorf("reply %+v", r)
	}
	wantSent(t, s, "begin", "write 1", "commit 2", "commit 2", "commit 2")
}

// TestLostAnswers guards against a promise about a statement that may have run.
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
			_, g := newTest(func(text string) (call.Answer, error) {
				if strings.HasSuffix(text, " 1") {
					return call.Answer{}, test.err
				}
				return call.Answer{}, nil
			})
			r := g.Run(context.Background(), opening(request("s", "1", test.kind), test.open))
			if r.Code != test.code || r.Ran != test.ran {
				t.Errorf("code %q, ran %q; want %q, %q", r.Code, r.Ran, test.code, test.ran)
			}
		})
	}
}

// TestValues guards against a statement with another session's values or statements.
func TestValues(t *testing.T) {
	s, g := newTest(nil)
	with := func(r call.Request, values ...call.Value) call.Request { r.Values = values; return r }
	g.Run(context.Background(), with(request("s1", "1", call.Read), call.Value{Name: "a", Data: "1"}))
	g.Run(context.Background(), with(request("s2", "2", call.Read), call.Value{Name: "a", Data: "2"}))
	g.Run(context.Background(), request("s3", "3", call.Read))
	wantSent(t, s, "set a 1", "read 1", "set a 2", "read 2", "reset", "read 3")
	execute := request("s3", "4", call.Execute)
	execute.Statement.Shape = "q1"
	g.Run(context.Background(), execute)
	execute.Session, execute.Statement.ID, execute.Statement.Writes = "s4", "5", true
	g.Run(context.Background(), execute)
	got := s.log()[6:]
	if !slices.Equal(got, []string{"prepare rq1", "execute rq1", "prepare wq1", "execute wq1"}) {
		t.Errorf("sent %q", got)
	}
}

// TestTeams guards against a statement on a connection that was opened for another team.
func TestTeams(t *testing.T) {
	s, g := newTest(nil)
	g.Run(context.Background(), request("s1", "1", call.Read))
	other := request("s2", "2", call.Read)
	other.Team = "y"
	g.Run(context.Background(), other)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.teams, []string{"x", "y"}) {
		t.Errorf("connections for %v", s.teams)
	}
}

// TestGoneTransaction guards against a statement outside of its transaction.
func TestGoneTransaction(t *testing.T) {
	s, g := newTest(nil)
	if r := g.Run(context.Background(), inside(request("s", "1", call.Read))); r.Code != call.Aborted || r.Ran != call.RanNo {
		t.Errorf("reply %+v", r)
	}
	g.Run(context.Background(), opening(request("s", "2", call.Read), call.OpenRead))
	g.End("u", "s")
	if r := g.Run(context.Background(), inside(request("s", "3", call.Commit))); r.Code != call.Aborted {
		t.Errorf("reply %+v", r)
	}
	wantSent(t, s, "begin read", "read 2", "rollback")
}

// TestEndDuringStatement guards against two statements at once on one connection, whose
// answers would be taken for each other's: the end of a transaction arrives while its
// statement runs.
func TestEndDuringStatement(t *testing.T) {
	running, goOn := make(chan bool), make(chan bool)
	s, g := newTest(func(text string) (call.Answer, error) {
		return call.Answer{}, nil
	})
	s.block = func(text string) {
		if text == "read 2" {
			close(running)
			<-goOn
		}
	}
	g.Run(context.Background(), opening(request("s", "1", call.Read), call.OpenRead))
	done := make(chan call.Reply)
	go func() { done <- g.Run(context.Background(), inside(request("s", "2", call.Read))) }()
	<-running
	g.End("u", "s")
	wantSent(t, s, "begin read", "read 1")
	close(goOn)
	if r := <-done; r.Code != call.OK {
		t.Errorf("reply %+v", r)
	}
	wantSent(t, s, "begin read", "read 1", "read 2", "rollback")
	// The connection is free again.
	if r := g.Run(context.Background(), request("t", "3", call.Read)); r.Code != call.OK {
		t.Errorf("reply %+v", r)
	}
}

// TestEndWhileWaiting guards against a statement outside of its transaction: the end of
// the transaction arrives while its statement waits for a slot.
func TestEndWhileWaiting(t *testing.T) {
	goOn, freed := make(chan bool), make(chan bool)
	var blocked sync.WaitGroup
	s, g := newTest(nil)
	s.block = func(text string) {
		switch {
		case strings.HasPrefix(text, "read long"):
			blocked.Done()
			<-goOn
		case text == "rollback":
			<-freed // slots become free while the rollback is on its way
		}
	}
	g.Run(context.Background(), opening(request("s", "1", call.Read), call.OpenRead))
	var done sync.WaitGroup
	for _, id := range []string{"long1", "long2", "long3"} { // all slots, and the one ahead
		blocked.Add(1)
		done.Add(1)
		go func() { defer done.Done(); g.Run(context.Background(), request(id, id, call.Read)) }()
	}
	blocked.Wait()
	reply := make(chan call.Reply)
	go func() { reply <- g.Run(context.Background(), inside(request("s", "2", call.Read))) }()
	for g.Open() < 5 { // three run, one waits, one transaction is open
		time.Sleep(time.Millisecond)
	}
	g.End("u", "s")
	time.Sleep(20 * time.Millisecond)
	close(goOn)
	done.Wait()
	if r := <-reply; r.Code != call.Aborted || r.Ran != call.RanNo {
		t.Errorf("reply %+v", r)
	}
	close(freed)
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) && !slices.Contains(s.log(), "rollback") {
		time.Sleep(time.Millisecond)
	}
	if log := s.log(); !slices.Contains(log, "rollback") || slices.Contains(log, "read 2") {
		t.Errorf("sent %q", log)
	}
}

// silentObserver is an Observer that notes nothing.
type silentObserver struct{}

// Waited implements Observer.
func (silentObserver) Waited(time.Duration) {}

// Answered implements Observer.
func (silentObserver) Answered(time.Duration) {}

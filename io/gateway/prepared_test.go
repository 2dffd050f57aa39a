package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/call"
)

// newExecute returns a request that runs a prepared statement of this shape.
func newExecute(session, id, shape string) call.Request {
	r := newRequest(session, id, call.Execute)
	r.Statement.Shape = shape
	return r
}

// TestShapeInPreparedName guards against a name that has blanks because it is derived from the
// shape.
func TestShapeInPreparedName(t *testing.T) {
	s, g := newTestGateways(nil)
	for _, r := range []call.Request{newExecute("s1", "1", "q1 WRITE jk"), newExecute("s2", "2", "q1 WRITE jk"), newExecute("s2", "3", "q1")} {
		g.Run(context.Background(), r)
	}
	wantSent(t, s, `prepare p1 "q1 WRITE jk" false`, "execute p1", "execute p1", `prepare p2 "q1" false`, "execute p2")
}

// TestNameUsedAgainAfterReset guards against an EXECUTE of a name that RESET has dropped.
func TestNameUsedAgainAfterReset(t *testing.T) {
	s, g := newTestGateways(nil)
	first := newExecute("s1", "1", "q1")
	first.Values = []call.Value{{Name: "a", Data: "1"}}
	g.Run(context.Background(), first)
	g.Run(context.Background(), newExecute("s2", "2", "q1"))
	wantSent(t, s, "set a 1", `prepare p1 "q1" false`, "execute p1", "reset", `prepare p2 "q1" false`, "execute p2")
}

// runExecutes runs an Execute of each shape by one session.
func runExecutes(t *testing.T, g *Gateways, shapes ...string) {
	t.Helper()
	for k, shape := range shapes {
		if r := g.Run(context.Background(), newExecute("s", fmt.Sprint(k), shape)); r.Code != call.OK {
			t.Fatalf("reply to %.20q: %.100s %.100s", shape, r.Code, r.Text)
		}
	}
}

// manyShapes returns shapes that fill a connection to its limit.
func manyShapes() []string {
	out := make([]string, maxStatements)
	for k := range out {
		out[k] = fmt.Sprintf("q%d of several words", k)
	}
	return out
}

// TestPreparedWithoutBound guards against a connection whose prepared statements only grow.
func TestPreparedWithoutBound(t *testing.T) {
	t.Run("the statement that was not used for longest goes first", func(t *testing.T) {
		s, g := newTestGateways(nil)
		list := manyShapes()
		runExecutes(t, g, list...)
		runExecutes(t, g, list[0], "one more", list[0], list[1])
		want := []string{
			"execute p1", "dealloc p2", `prepare p257 "one more" false`, "execute p257", "execute p1",
			"dealloc p3", fmt.Sprintf("prepare p258 %q false", list[1]), "execute p258",
		}
		if got := s.sentTexts()[2*len(list):]; !slices.Equal(got, want) {
			t.Errorf("sent %q, want %q", got, want)
		}
	})
	t.Run("a long shape takes the place of several", func(t *testing.T) {
		s, g := newTestGateways(nil)
		part := strings.Repeat("x", maxStatementBytes/3)
		runExecutes(t, g, "a"+part, "b"+part, "c"+strings.Repeat("x", maxStatementBytes-1), "d")
		var got []string
		for _, text := range s.sentTexts() {
			got = append(got, text[:min(len(text), 13)])
		}
		want := []string{
			`prepare p1 "a`, "execute p1", `prepare p2 "b`, "execute p2",
			"dealloc p1", "dealloc p2", `prepare p3 "c`, "execute p3", "dealloc p3", `prepare p4 "d`, "execute p4",
		}
		if !slices.Equal(got, want) {
			t.Errorf("sent %q, want %q", got, want)
		}
	})
	t.Run("in a transaction a removed statement is prepared again before it runs", func(t *testing.T) {
		s, g := newTestGateways(nil)
		list := manyShapes()
		runExecutes(t, g, list...)
		g.Run(context.Background(), withOpen(newRequest("t", "t1", call.Read), call.OpenWrite))
		for k, shape := range []string{"one more", list[0]} {
			if r := g.Run(context.Background(), withInside(newExecute("t", fmt.Sprintf("t%d", k+2), shape))); r.Code != call.OK {
				t.Errorf("reply %+v", r)
			}
		}
		want := []string{
			"begin", "read t1", "dealloc p1", `prepare p257 "one more" false`, "execute p257",
			"dealloc p2", fmt.Sprintf("prepare p258 %q false", list[0]), "execute p258",
		}
		if got := s.sentTexts()[2*len(list):]; !slices.Equal(got, want) {
			t.Errorf("sent %q, want %q", got, want)
		}
	})
}

// TestRemovalRefused guards against a connection that counts a statement as removed which the
// upstream may still have.
func TestRemovalRefused(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer call.Answer
		err    error
		ok     bool
	}{
		{"refused", call.Answer{Code: call.Busy}, nil, false},
		{"not answered", call.Answer{}, errors.New("cut"), false},
		{"the name is gone already", call.Answer{Code: call.Unknown}, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, g := newTestGateways(func(text string) (call.Answer, error) {
				if strings.HasPrefix(text, "dealloc") {
					return test.answer, test.err
				}
				return call.Answer{}, nil
			})
			runExecutes(t, g, manyShapes()...)
			r := g.Run(context.Background(), newExecute("s", "x", "one more"))
			if (r.Code == call.OK) != test.ok || !test.ok && (r.Code != call.Unreachable || r.Ran != call.RanNo) {
				t.Errorf("reply %+v", r)
			}
			runExecutes(t, g, "one more")
			if opened := len(s.teams); (opened == 1) != test.ok {
				t.Errorf("%d connections were opened", opened)
			}
		})
	}
}

// TestRefusedPreparation guards against an answer about the gateway's own statement that reaches
// the caller as one about its statement, and against using a session whose state is not known.
func TestRefusedPreparation(t *testing.T) {
	for _, test := range []struct {
		step         string
		code, want   call.Code
		keepsSession bool
	}{
		{"prepare", call.BadInput, call.Aborted, true},
		{"prepare", call.Unknown, call.Aborted, true},
		{"prepare", call.Busy, call.Busy, true},
		{"prepare", call.ReadOnly, call.ReadOnly, true},
		{"prepare", call.Failed, call.Aborted, false},
		{"prepare", call.Timeout, call.Aborted, false},
		{"set", call.Timeout, call.Aborted, false},
		{"begin", call.Timeout, call.Aborted, false},
		{"execute", call.Unknown, call.Aborted, false},
	} {
		t.Run(fmt.Sprintf("%s answered %s", test.step, test.code), func(t *testing.T) {
			refused := false
			s, g := newTestGateways(func(text string) (call.Answer, error) {
				if !refused && strings.HasPrefix(text, test.step) {
					refused = true
					return call.Answer{Code: test.code}, nil
				}
				return call.Answer{}, nil
			})
			r := withOpen(newExecute("s", "1", "q1"), call.OpenRead)
			r.Values = []call.Value{{Name: "a", Data: "1"}}
			if reply := g.Run(context.Background(), r); reply.Code != test.want || reply.Ran != call.RanNo {
				t.Errorf("reply %+v, want %s", reply, test.want)
			}
			r.Session = "t"
			if reply := g.Run(context.Background(), r); reply.Code != call.OK {
				t.Errorf("reply to the next statement: %+v", reply)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if kept := len(s.teams) == 1; kept != test.keepsSession {
				t.Errorf("the connection was kept: %t; sent %q", kept, s.sent)
			}
		})
	}
}

// TestUnsendableClosesConnection guards against a connection, or a team, that is lost because of
// a statement which was never sent.
func TestUnsendableClosesConnection(t *testing.T) {
	for _, test := range []struct {
		name string
		open call.Open
		code call.Code
		sent []string
	}{
		{"alone", call.OpenNone, call.BadInput, []string{"read 1", "read 2"}},
		{"in a transaction", call.OpenWrite, call.BadInput, []string{"begin", "read 1", "rollback", "read 2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, g := newTestGateways(func(text string) (call.Answer, error) {
				if text == "read 1" {
					return call.Answer{}, ErrUnsendable
				}
				return call.Answer{}, nil
			})
			r := g.Run(context.Background(), withOpen(newRequest("s", "1", call.Read), test.open))
			if r.Code != test.code || r.Ran != call.RanNo {
				t.Errorf("reply %+v", r)
			}
			// The rollback follows the reply.
			for deadline := time.Now().Add(2 * time.Second); g.Usage().Running > 0 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			if r := g.Run(context.Background(), newRequest("t", "2", call.Read)); r.Code != call.OK {
				t.Errorf("reply to the next statement: %+v", r)
			}
			wantSent(t, s, test.sent...)
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(s.teams) != 1 {
				t.Errorf("%d connections were opened", len(s.teams))
			}
		})
	}
}

// unsendableTeam is a dialer that cannot tell the name of one team.
type unsendableTeam struct{ *fakeUpstream }

func (u unsendableTeam) Dial(ctx context.Context, address, group, team, upstream string) (Conn, error) {
	if team == "bad team" {
		return nil, ErrUnsendable
	}
	return u.fakeUpstream.Dial(ctx, address, group, team, upstream)
}

// TestUnsendableTeamStopsOthers guards against refusing all teams because the name of one cannot
// be sent.
func TestUnsendableTeamStopsOthers(t *testing.T) {
	g := New(unsendableTeam{&fakeUpstream{}}, silentObserver{}, logr.Discard(), time.Now)
	bad := newRequest("s", "1", call.Read)
	bad.Team = "bad team"
	if r := g.Run(context.Background(), bad); r.Code != call.Aborted || r.Ran != call.RanNo {
		t.Errorf("reply %+v", r)
	}
	if r := g.Run(context.Background(), newRequest("t", "2", call.Read)); r.Code != call.OK {
		t.Errorf("reply to another team: %+v", r)
	}
}

package caller

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/call"
)

func newTestSession() *Session {
	return NewSession("s", "db", access.Credential{}, &blockingRouter{}, time.Now)
}

// wantCode runs a statement and checks the code of its answer and the state after it.
func wantCode(t *testing.T, s *Session, st call.Statement, code call.Code, state call.State) {
	t.Helper()
	if a := s.Execute(context.Background(), st); a.Code != code || a.State != state {
		t.Errorf("%s %.20q: code %q, state %q; want %q, %q", st.Kind, st.Name, a.Code, a.State, code, state)
	}
}

func prepareStatement(name, shape string) call.Statement {
	return call.Statement{ID: "1", Kind: call.Prepare, Name: name, Shape: shape}
}

func setValue(name, data string) call.Statement {
	return call.Statement{ID: "1", Kind: call.Set, Name: name, Value: data}
}

// TestSessionWithoutBound guards against a session that holds whatever its caller prepares and
// sets.
func TestSessionWithoutBound(t *testing.T) {
	t.Run("names of statements", func(t *testing.T) {
		s := newTestSession()
		for k := range maxStatements {
			wantCode(t, s, prepareStatement(fmt.Sprint(k), "q"), call.OK, call.Idle)
		}
		wantCode(t, s, prepareStatement("more", "q"), call.TooMany, call.Idle)
		wantCode(t, s, call.Statement{Kind: call.Execute, Name: "more", Args: "x"}, call.Unknown, call.Idle)
		wantCode(t, s, prepareStatement("0", "another shape"), call.OK, call.Idle)
		wantCode(t, s, call.Statement{Kind: call.Deallocate, Name: "1"}, call.OK, call.Idle)
		wantCode(t, s, prepareStatement("more", "q"), call.OK, call.Idle)
		wantCode(t, s, call.Statement{Kind: call.Execute, Name: "more", Args: "x"}, call.OK, call.Idle)
	})
	t.Run("bytes of statements", func(t *testing.T) {
		s := newTestSession()
		shape := strings.Repeat("x", maxStatementBytes/4-1)
		for k := range 4 {
			wantCode(t, s, prepareStatement(fmt.Sprint(k), shape), call.OK, call.Idle)
		}
		wantCode(t, s, prepareStatement("4", "q"), call.TooMany, call.Idle)
		wantCode(t, s, prepareStatement("3", "q"), call.OK, call.Idle)
		wantCode(t, s, prepareStatement("4", "q"), call.OK, call.Idle)
		wantCode(t, s, prepareStatement("5", shape), call.TooMany, call.Idle)
		wantCode(t, s, prepareStatement("0", shape+"yy"), call.OK, call.Idle)
	})
	t.Run("a refused one fails the transaction", func(t *testing.T) {
		s := newTestSession()
		wantCode(t, s, call.Statement{Kind: call.Begin}, call.OK, call.Active)
		wantCode(t, s, prepareStatement("s", strings.Repeat("x", maxStatementBytes)), call.TooMany, call.Broken)
	})
	t.Run("values", func(t *testing.T) {
		s := newTestSession()
		for k := range maxValues {
			wantCode(t, s, setValue(fmt.Sprint(k), "v"), call.OK, call.Idle)
		}
		wantCode(t, s, setValue("more", "v"), call.TooMany, call.Idle)
		wantCode(t, s, setValue("0", "w"), call.OK, call.Idle)
		wantCode(t, s, setValue("0", strings.Repeat("x", maxValueBytes)), call.TooMany, call.Idle)
		if len(s.values) != maxValues || s.values[0] != (call.Value{Name: "0", Data: "w"}) {
			t.Errorf("%d values, the first is %.50v", len(s.values), s.values[0])
		}
	})
}

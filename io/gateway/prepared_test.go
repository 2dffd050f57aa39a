package gateway

import (
	"context"
	"testing"

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

package gateway

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"

	"burdockseam/core/call"
	"burdockseam/core/health"
)

// TestFiguresInReplies guards against replies that hide a failing upstream, blame an upstream for
// a refusal that is right, or change for instances that did not ask for figures.
func TestFiguresInReplies(t *testing.T) {
	for _, c := range []struct {
		name     string
		adaptive bool
		kind     call.Kind
		answer   call.Answer
		err      error
		least    float64
		most     float64
	}{
		{"good", true, call.Read, call.Answer{}, nil, 0, 0},
		{"failed", true, call.Read, call.Answer{Code: call.Failed}, nil, health.AvoidFailing, 1},
		{"busy", true, call.Read, call.Answer{Code: call.Busy}, nil, health.AvoidFailing, 1},
		{"reset", true, call.Read, call.Answer{}, errors.New("reset"), health.AvoidFailing, 1},
		{"no time left", true, call.Read, call.Answer{}, os.ErrDeadlineExceeded, 0, 0},
		{"lagging", true, call.Read, call.Answer{Code: call.Lagging}, nil, 0, 0},
		{"not the primary", true, call.Read, call.Answer{Code: call.ReadOnly}, nil, 0, 0},
		{"failed writes", true, call.Write, call.Answer{Code: call.Failed}, nil, 0, 0},
		{"not asked for", false, call.Read, call.Answer{Code: call.Failed}, nil, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := 0
			_, g := newTestGateways(func(string) (call.Answer, error) {
				if n++; n <= 10 {
					return call.Answer{}, nil
				}
				return c.answer, c.err
			})
			var r call.Reply
			for k := range 20 {
				q := newRequest("s", fmt.Sprint(k), c.kind)
				q.Adaptive = c.adaptive
				r = g.Run(context.Background(), q)
			}
			if r.Failing < c.least || r.Failing > c.most {
				t.Errorf("failing %v, want %v to %v", r.Failing, c.least, c.most)
			}
			if want := c.adaptive && c.kind == call.Read; r.Service > 0 != want {
				t.Errorf("service time %v, want one: %t", r.Service, want)
			}
		})
	}
}

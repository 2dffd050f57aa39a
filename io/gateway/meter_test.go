package gateway

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"

	"burdockseam/core/call"
)

// recordingMeter records the statements that were sent and whether they ran.
type recordingMeter struct {
	mu   sync.Mutex
	seen []string
}

func (m *recordingMeter) Sent(r call.Request) func(*call.Reply) {
	return func(reply *call.Reply) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.seen = append(m.seen, r.Statement.ID+" "+string(reply.Ran))
	}
}

// TestMeter guards against a statement that is metered although it was never sent, is metered
// twice, or is metered before its outcome is known.
func TestMeter(t *testing.T) {
	for _, test := range []struct {
		name    string
		answer  func(text string) (call.Answer, error)
		request call.Request
		want    []string
	}{
		{"a read that runs", nil, newRequest("s", "1", call.Read), []string{"1 " + string(call.RanYes)}},
		{"a read in a fence", nil, withOpen(newRequest("s", "1", call.Read), call.OpenFence), []string{"1 " + string(call.RanYes)}},
		{"a refused read", func(text string) (call.Answer, error) { return call.Answer{Code: call.Busy}, nil }, newRequest("s", "1", call.Read), []string{"1 " + string(call.RanNo)}},
		{"an answer that is lost", func(text string) (call.Answer, error) { return call.Answer{}, errors.New("lost") }, newRequest("s", "1", call.Read), []string{"1 " + string(call.RanMaybe)}},
		{"a refused opening", func(text string) (call.Answer, error) {
			if strings.HasPrefix(text, "begin") {
				return call.Answer{Code: call.ReadOnly}, nil
			}
			return call.Answer{}, nil
		}, withOpen(newRequest("s", "1", call.Read), call.OpenFence), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, g := newTestGateways(test.answer)
			m := &recordingMeter{}
			g.Meter = m
			g.Run(context.Background(), test.request)
			if !slices.Equal(m.seen, test.want) {
				t.Errorf("metered %q, want %q", m.seen, test.want)
			}
		})
	}
}

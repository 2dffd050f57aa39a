package shutdown

import (
	"testing"
	"time"
)

// TestAccepts guards against statements that are passed on although their connections are closed
// before the answer, and against transactions that are ended in the first half of a shutdown.
func TestAccepts(t *testing.T) {
	start := time.Unix(100, 0)
	p := Plan{Start: start, End: start.Add(5500 * time.Millisecond)}
	for _, test := range []struct {
		name        string
		plan        Plan
		at, timeout time.Duration
		want        bool
	}{
		{"no shutdown", Plan{}, time.Hour, time.Hour, true},
		{"slow statement in the first half", p, 2700 * time.Millisecond, 5 * time.Second, true},
		{"slow statement in the second half", p, 2800 * time.Millisecond, 5 * time.Second, false},
		{"answer in time", p, 4500 * time.Millisecond, 800 * time.Millisecond, true},
		{"answer too late", p, 4600 * time.Millisecond, 800 * time.Millisecond, false},
		{"after the end", p, 6 * time.Second, time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.plan.Accepts(start.Add(test.at), test.timeout); got != test.want {
				t.Errorf("accepted: %v, want %v", got, test.want)
			}
		})
	}
}

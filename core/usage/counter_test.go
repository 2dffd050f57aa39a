package usage

import (
	"testing"
	"time"

	"burdockseam/core/call"
)

// TestCountsAsRequest guards against an operation that is counted for each of its statements,
// or although it did not run.
func TestCountsAsRequest(t *testing.T) {
	for _, test := range []struct {
		name string
		r    call.Request
		ran  call.Ran
		want bool
	}{
		{"single statement, not answered", call.Request{Team: "a"}, call.RanMaybe, true},
		{"first statement of a transaction", call.Request{Team: "a", Open: call.OpenWrite}, call.RanYes, true},
		{"later statement of a transaction", call.Request{Team: "a", Inside: true}, call.RanYes, false},
		{"refused by the upstream", call.Request{Team: "a"}, call.RanNo, false},
		{"without a team", call.Request{}, call.RanYes, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := CountsAsRequest(test.r, test.ran); got != test.want {
				t.Errorf("counts: %v, want %v", got, test.want)
			}
		})
	}
}

// boot is the present time on a clock that never jumps, and trueTime the true time then. It is
// the beginning of a window of 5 s.
var boot, trueTime = time.Unix(1000, 0), time.Unix(1_800_000_000, 0)

// TestFinalCounts guards against a count that is added to a window after it was declared final,
// and against a window that stays empty because the first clock was wrong.
func TestFinalCounts(t *testing.T) {
	c := NewCounter("run", 5*time.Second, boot, trueTime)
	final := c.Push(boot.Add(5*time.Second), trueTime).Current
	c.LearnClock(boot.Add(5*time.Second), trueTime.Add(4990*time.Millisecond))
	if got := c.Add(boot.Add(5*time.Second), "a"); got < final {
		t.Errorf("a request counts in window %d after the windows before %d were final", got, final)
	}
	c.LearnClock(boot.Add(5*time.Second), trueTime.Add(-20*time.Second))
	if got, want := c.Add(boot.Add(5*time.Second), "a"), WindowAt(trueTime.Add(-20*time.Second), 5*time.Second); got != want {
		t.Errorf("a request counts in window %d after the clock was corrected by 25 s, want %d", got, want)
	}
}

// TestRemovedCounts guards against attempts that did not run in a report, and against counts
// that are kept for good.
func TestRemovedCounts(t *testing.T) {
	c := NewCounter("run", 5*time.Second, boot, trueTime)
	w := c.Add(boot, "a")
	c.Add(boot, "a")
	c.Remove(w, "a")
	if got := c.Push(boot, trueTime).Windows[w]["a"]; got != 1 {
		t.Errorf("%d requests, want 1", got)
	}
	if got := len(c.Push(boot.Add(LateLimit+11*time.Second), trueTime).Windows); got != 0 {
		t.Errorf("%d windows after they can't be reported, want none", got)
	}
}

// TestPushTimes guards against more pushes than the fleet may send, and against windows that no
// push completes in time.
func TestPushTimes(t *testing.T) {
	const window, delay = 5 * time.Second, 10 * time.Second
	for _, test := range []struct {
		instances int
		maxRate   float64 // pushes of the fleet per second
	}{{9, 9}, {72, 70}, {195, 70}, {3500, 700}} {
		pushes, latest := 0, time.Duration(0)
		for k := range test.instances {
			first := time.Duration(0)
			for at := trueTime; ; {
				if at = PushTime(at, float64(k)/float64(test.instances), test.instances, window, delay); !at.Before(trueTime.Add(window)) {
					break
				}
				pushes++
				if first == 0 {
					first = at.Sub(trueTime)
				}
			}
			latest = max(latest, first)
		}
		rate := float64(pushes) / window.Seconds()
		t.Logf("%d instances: %.1f pushes a second, the last push after a window's end comes after %v", test.instances, rate, latest)
		if rate > test.maxRate || latest > delay/2 {
			t.Errorf("%d instances: %.1f pushes a second and %v, want at most %v and %v", test.instances, rate, latest, test.maxRate, delay/2)
		}
	}
}

package usage

import (
	"maps"
	"time"

	"burdockseam/core/call"
)

// LateLimit is the time after a window's end for which its report may still be sent. Counts
// are kept as long.
const LateLimit = 30 * time.Second

// CountsAsRequest reports whether an attempt counts as a request of its team, given what is
// known about whether the upstream ran it. RanMaybe stands for a statement that was sent and is
// not answered yet. Requests
// without a key belong to no team. No other place decides what is counted.
func CountsAsRequest(r call.Request, ran call.Ran) bool {
	return r.Team != "" && !r.Inside && ran != call.RanNo
}

// WindowAt returns the number of the window that contains a time of the wall clock.
func WindowAt(t time.Time, length time.Duration) uint64 {
	return uint64(max(0, t.UnixNano())) / uint64(length)
}

// WindowEnd returns the end of a window.
func WindowEnd(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Counts are the numbers of requests by team.
type Counts map[string]uint64

// Push is what an instance has counted, sent to the gatherer. The windows are cumulative, so
// the push with the highest Seq replaces all earlier ones of the run.
type Push struct {
	Run string
	Seq uint64
	// Wall is the sender's wall clock in Unix nanoseconds.
	Wall int64
	// Current is the sender's window. The counts of earlier windows are final.
	Current uint64
	Windows map[uint64]Counts
}

// Ack answers a Push.
type Ack struct {
	// Time is the fleet's clock in Unix nanoseconds, or 0 if the instance does not know it.
	Time int64
	// Settled is the first window whose counts are still needed.
	Settled uint64
	// Machine is the address of the instance that reports, or "" if the answering instance
	// knows none, and Token is its fencing token.
	Machine string
	Token   uint64
}

// maxClockStep is the change of the fleet clock above which a window may be opened again. The
// differences between two measurements of one clock are below it.
const maxClockStep = 500 * time.Millisecond

// Counter counts the requests that one instance sends to upstreams. Times are those of a clock
// that never jumps. It is not safe for concurrent use.
type Counter struct {
	run     string
	length  time.Duration
	offset  time.Duration // fleet clock minus the clock of the arguments
	learned bool          // offset comes from a gatherer
	current uint64
	seq     uint64
	windows map[uint64]Counts
}

// NewCounter returns a counter for a run of an instance. Wall is the instance's wall clock at
// now; it is used until a gatherer has told the fleet clock.
func NewCounter(run string, length time.Duration, now, wall time.Time) *Counter {
	return &Counter{run: run, length: length, offset: wall.Sub(now), windows: make(map[uint64]Counts)}
}

// FleetTime returns the fleet clock.
func (c *Counter) FleetTime(now time.Time) time.Time { return now.Add(c.offset) }

// ClockLearned reports whether the fleet clock comes from a gatherer.
func (c *Counter) ClockLearned() bool { return c.learned }

// LearnClock takes over the fleet clock as it was at now. It reports whether the clock steps, so
// that earlier times of it mean nothing any more.
func (c *Counter) LearnClock(now, fleet time.Time) (step bool) {
	offset := fleet.Sub(now)
	if step = (offset - c.offset).Abs() > maxClockStep; step {
		c.current = 0
	}
	c.offset, c.learned = offset, true
	return step
}

// advance returns the current window. It does not return to an earlier window when a
// measurement of the clock differs a little, since the counts before it were declared final.
func (c *Counter) advance(now time.Time) uint64 {
	c.current = max(c.current, WindowAt(c.FleetTime(now), c.length))
	return c.current
}

// Add counts a request that is being sent, and returns its window.
func (c *Counter) Add(now time.Time, team string) (window uint64) {
	window = c.advance(now)
	if c.windows[window] == nil {
		c.windows[window] = make(Counts)
	}
	c.windows[window][team]++
	return window
}

// Remove takes back a request that turned out not to count.
func (c *Counter) Remove(window uint64, team string) {
	if counts := c.windows[window]; counts[team] > 0 {
		counts[team]--
	}
}

// Push returns a push of everything that is kept. Wall is the wall clock at now.
func (c *Counter) Push(now, wall time.Time) Push {
	c.seq++
	p := Push{Run: c.run, Seq: c.seq, Wall: wall.UnixNano(), Current: c.advance(now), Windows: make(map[uint64]Counts, len(c.windows))}
	oldest := WindowAt(c.FleetTime(now).Add(-LateLimit-c.length), c.length)
	for w, counts := range c.windows {
		if w < oldest {
			delete(c.windows, w)
			continue
		}
		p.Windows[w] = maps.Clone(counts)
	}
	return p
}

// Settle forgets the windows before the given one.
func (c *Counter) Settle(first uint64) {
	maps.DeleteFunc(c.windows, func(w uint64, _ Counts) bool { return w < first && w < c.current })
}

// maxPushRate is the number of pushes that the fleet sends in a second, as far as a report can
// still be gathered in time.
const maxPushRate = 70

// pushPeriod returns the longest time between two pushes of an instance.
func pushPeriod(instances int, window, delay time.Duration) time.Duration {
	period := max(time.Second, time.Duration(float64(instances)/maxPushRate*float64(time.Second)))
	return min(period, delay/2, window)
}

// PushTime returns the first time after the given one of the fleet clock at which an instance
// pushes. Pushes are spread over the fleet: phase, from 0 to 1, differs between instances. The
// first push of each window completes the counts of the window before.
func PushTime(after time.Time, phase float64, instances int, window, delay time.Duration) time.Time {
	period := pushPeriod(instances, window, delay)
	spacing := window / max(1, window/period)
	start := WindowEnd(WindowAt(after, window)-1, window)
	t := start.Add(after.Sub(start).Truncate(spacing)).Add(time.Duration(phase * float64(spacing)))
	if !t.After(after) {
		t = t.Add(spacing)
	}
	return t
}

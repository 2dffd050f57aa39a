package logs

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// clock is a time that tests move.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func setup() (*clock, *Handler, logr.Logger, *bytes.Buffer) {
	c := &clock{time.Unix(1000, 0)}
	var out bytes.Buffer
	h := New(slog.NewTextHandler(&out, nil), NewLimiter(Limit{Rate: 2, Burst: 3}), c.now)
	return c, h, logr.FromSlogHandler(h), &out
}

func want(t *testing.T, out *bytes.Buffer, part string, n int) {
	t.Helper()
	if got := strings.Count(out.String(), part); got != n {
		t.Errorf("%q is logged %d times, want %d:\n%s", part, got, n, out)
	}
}

// Guards against a flood of one line, against a count that is wrong or lost, and
// against a rare line that goes under in the flood of another.
func TestRepeatedLines(t *testing.T) {
	c, h, log, out := setup()
	for i := range 10 {
		log.WithValues("instance", "a").Info("route: chosen", "request", i)
	}
	want(t, out, "route: chosen", 3)
	log.Info("failover: promoted")
	want(t, out, "failover: promoted", 1)
	c.at = c.at.Add(time.Second) // 2 more lines
	for i := range 3 {
		log.Info("route: chosen", "request", i)
	}
	want(t, out, "route: chosen", 5)
	want(t, out, "leftout=7", 1)
	c.at = c.at.Add(500 * time.Millisecond)
	if err := h.Flush(context.Background(), false); err != nil {
		t.Fatal(err)
	}
	want(t, out, `msg="log: lines left out" line="route: chosen" leftout=1`, 1)
}

// Guards against a line that is left out after a pause, against lines of another
// level that count as repetitions, and against a table that only grows.
func TestPause(t *testing.T) {
	c, h, log, out := setup()
	for range 4 {
		log.Info("store: no answer")
	}
	log.Error(nil, "store: no answer")
	want(t, out, "store: no answer", 4)
	c.at = c.at.Add(time.Hour)
	if err := h.Flush(context.Background(), false); err != nil {
		t.Fatal(err)
	}
	want(t, out, "leftout=1", 1)
	if n := len(h.limiter.buckets); n != 0 {
		t.Errorf("%d kinds are kept after a long pause, want 0", n)
	}
	for range 4 {
		log.Info("store: no answer")
	}
	want(t, out, "level=INFO msg=\"store: no answer\"", 6)
	// A clock that is set back gives no lines and takes none away.
	c.at = c.at.Add(-time.Minute)
	log.Info("store: no answer")
	want(t, out, "level=INFO msg=\"store: no answer\"", 6)
}

// Guards against a count that is lost when the process ends.
func TestRunFlushesAtTheEnd(t *testing.T) {
	_, h, log, out := setup()
	for range 5 {
		log.Info("peer: lost")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := h.Run(ctx, time.Hour); err != nil {
		t.Fatal(err)
	}
	want(t, out, "leftout=2", 1)
}

// TestRoutine guards against lines about failures that are left out while lines about
// successes still pass.
func TestRoutine(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := NewLimiter(Limit{Rate: 10, Burst: 1, RoutineRate: 1})
	passed := make(map[slog.Level]int)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for _, level := range []slog.Level{LevelRoutine, slog.LevelInfo} {
			if ok, _ := l.Allow(now, level, "line"); ok {
				passed[level]++
			}
		}
	}
	if passed[slog.LevelInfo] != 100 || passed[LevelRoutine] != 10 {
		t.Errorf("passed %v in 10 s", passed)
	}
}

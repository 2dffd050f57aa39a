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

// clock is a clock that tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newTestHandler() (*clock, *Handler, logr.Logger, *bytes.Buffer) {
	c := &clock{time.Unix(1000, 0)}
	var out bytes.Buffer
	h := New(slog.NewTextHandler(&out, nil), NewLimiter(Limit{Rate: 2, Burst: 3}), c.now)
	return c, h, logr.FromSlogHandler(h), &out
}

func expectCount(t *testing.T, out *bytes.Buffer, text string, n int) {
	t.Helper()
	if got := strings.Count(out.String(), text); got != n {
		t.Errorf("%q is logged %d times, want %d:\n%s", text, got, n, out)
	}
}

// Guards against too many repetitions of a line, against a wrong or missing number of left out
// lines, and against a rare line that is left out because of repetitions of another line.
func TestRepeatedLines(t *testing.T) {
	c, h, log, out := newTestHandler()
	for i := range 10 {
		log.WithValues("instance", "a").Info("route: chosen", "request", i)
	}
	expectCount(t, out, "route: chosen", 3)
	log.Info("failover: promoted")
	expectCount(t, out, "failover: promoted", 1)
	c.at = c.at.Add(time.Second) // allows 2 more lines
	for i := range 3 {
		log.Info("route: chosen", "request", i)
	}
	expectCount(t, out, "route: chosen", 5)
	expectCount(t, out, "leftout=7", 1)
	c.at = c.at.Add(500 * time.Millisecond)
	if err := h.Flush(context.Background(), false); err != nil {
		t.Fatal(err)
	}
	expectCount(t, out, `msg="log: lines left out" line="route: chosen" leftout=1`, 1)
}

// Guards against a line that is left out after a pause, against lines of another level that
// count as repetitions, and against buckets that are never removed.
func TestLimitAfterPause(t *testing.T) {
	c, h, log, out := newTestHandler()
	for range 4 {
		log.Info("store: no answer")
	}
	log.Error(nil, "store: no answer")
	expectCount(t, out, "store: no answer", 4)
	c.at = c.at.Add(time.Hour)
	if err := h.Flush(context.Background(), false); err != nil {
		t.Fatal(err)
	}
	expectCount(t, out, "leftout=1", 1)
	if n := len(h.limiter.buckets); n != 0 {
		t.Errorf("%d buckets are kept after a long pause, want 0", n)
	}
	for range 4 {
		log.Info("store: no answer")
	}
	expectCount(t, out, "level=INFO msg=\"store: no answer\"", 6)
	// A clock that is set back must neither add tokens nor remove them.
	c.at = c.at.Add(-time.Minute)
	log.Info("store: no answer")
	expectCount(t, out, "level=INFO msg=\"store: no answer\"", 6)
}

// Guards against a number of left out lines that is not logged when the process ends.
func TestRunFlushesAtTheEnd(t *testing.T) {
	_, h, log, out := newTestHandler()
	for range 5 {
		log.Info("peer: lost")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := h.Run(ctx, time.Hour); err != nil {
		t.Fatal(err)
	}
	expectCount(t, out, "leftout=2", 1)
}

// Guards against lines about failures that are left out although lines about successful
// requests could be left out instead.
func TestRoutineRate(t *testing.T) {
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
		t.Errorf("lines logged in 10 s per level: %v, want 100 of level INFO and 10 of level DEBUG", passed)
	}
}

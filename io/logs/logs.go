// Package logs limits the rate of repeated log lines. Two lines are of the same kind if they
// have the same level and message; messages are constant, and variable data is logged as
// attributes. Lines over the limit are left out, and the next line of the same kind that is
// logged carries their number.
package logs

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"
)

// LeftOutKey is the key of the attribute with the number of lines that were left out.
const LeftOutKey = "leftout"

// Limit configures the token bucket of each kind of line.
type Limit struct {
	// Rate is in lines per second.
	Rate float64
	// Burst is the number of lines that may be logged at once; at least 1.
	Burst int
	// RoutineRate replaces Rate for lines with a level lower than slog.LevelInfo, so that
	// they are left out first. 0 means Rate.
	RoutineRate float64
}

// rate returns the rate limit for lines of the given level.
func (l Limit) rate(level slog.Level) float64 {
	if level < slog.LevelInfo && l.RoutineRate > 0 {
		return l.RoutineRate
	}
	return l.Rate
}

// RequestLimit is the limit for deployments whose operators trace individual requests: each
// refused or failed request is logged, up to a few hundred per second, and successful
// requests are sampled.
var RequestLimit = Limit{Rate: 300, Burst: 600, RoutineRate: 10}

// DefaultLimit is the limit for terminals and log collectors: a busy instance writes at most
// a few hundred lines per second, and rare lines are never left out.
var DefaultLimit = Limit{Rate: 20, Burst: 50}

// lineKind identifies lines that count as repetitions of each other.
type lineKind struct {
	level   slog.Level
	message string
}

// bucket is the token bucket of one kind of line, and the number of lines that were left
// out since the last logged one.
type bucket struct {
	tokens   float64
	refilled time.Time
	leftOut  int
}

// Limiter keeps a token bucket for each kind of line. Its methods may be called
// concurrently.
type Limiter struct {
	limit Limit

	mu      sync.Mutex
	buckets map[lineKind]*bucket
}

// NewLimiter returns a Limiter with the given limit for each kind of line.
func NewLimiter(l Limit) *Limiter {
	return &Limiter{limit: l, buckets: make(map[lineKind]*bucket)}
}

// Allow reports whether a line may be logged. If so, leftOut is the number of lines of its
// kind that were left out since the last logged one.
func (l *Limiter) Allow(now time.Time, level slog.Level, message string) (ok bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := lineKind{level, message}
	b := l.buckets[k]
	if b == nil {
		b = &bucket{tokens: float64(l.limit.Burst), refilled: now}
		l.buckets[k] = b
	}
	l.refill(now, k, b)
	if b.tokens < 1 {
		b.leftOut++
		return false, 0
	}
	b.tokens--
	leftOut, b.leftOut = b.leftOut, 0
	return true, leftOut
}

// refill adds the tokens for the time since the last refill.
func (l *Limiter) refill(now time.Time, k lineKind, b *bucket) {
	b.tokens = min(float64(l.limit.Burst), b.tokens+l.limit.rate(k.level)*max(0, now.Sub(b.refilled).Seconds()))
	b.refilled = now
}

// LeftOut is the number of lines of one kind that were left out and not reported by a later
// line.
type LeftOut struct {
	Level   slog.Level
	Message string
	Count   int
}

// TakeLeftOut returns the numbers of left out lines of all kinds, or, unless all is set, of
// the kinds whose next line would be logged. It resets the returned numbers. It also removes
// full buckets without left out lines, which bounds the memory of the Limiter.
func (l *Limiter) TakeLeftOut(now time.Time, all bool) []LeftOut {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []LeftOut
	for _, k := range slices.SortedFunc(maps.Keys(l.buckets), lineKind.compare) {
		b := l.buckets[k]
		l.refill(now, k, b)
		if b.leftOut > 0 && (all || b.tokens >= 1) {
			list = append(list, LeftOut{k.level, k.message, b.leftOut})
			b.leftOut = 0
		}
		if b.leftOut == 0 && b.tokens >= float64(l.limit.Burst) {
			delete(l.buckets, k)
		}
	}
	return list
}

func (k lineKind) compare(o lineKind) int {
	if k.message != o.message {
		if k.message < o.message {
			return -1
		}
		return 1
	}
	return int(k.level - o.level)
}

// Handler is a slog.Handler that forwards the records which the limiter allows.
type Handler struct {
	next    slog.Handler
	limiter *Limiter
	now     func() time.Time
}

// New returns a Handler that forwards records to next. now returns the current time.
func New(next slog.Handler, l *Limiter, now func() time.Time) *Handler {
	return &Handler{next, l, now}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	ok, leftOut := h.limiter.Allow(h.now(), r.Level, r.Message)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(LeftOutKey, leftOut))
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler. The handlers share the limiter.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{h.next.WithAttrs(attrs), h.limiter, h.now}
}

// WithGroup implements slog.Handler. The handlers share the limiter.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.next.WithGroup(name), h.limiter, h.now}
}

// Flush logs the number of left out lines for each kind that has such lines and is allowed
// to log again, or for each kind with such lines if all is set.
func (h *Handler) Flush(ctx context.Context, all bool) error {
	now := h.now()
	for _, l := range h.limiter.TakeLeftOut(now, all) {
		r := slog.NewRecord(now, l.Level, "log: lines left out", 0)
		r.AddAttrs(slog.String("line", l.Message), slog.Int(LeftOutKey, l.Count))
		if err := h.next.Handle(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// Run calls Flush at the given interval until the context ends, and a last time for all
// kinds at the end.
func (h *Handler) Run(ctx context.Context, every time.Duration) error {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := h.Flush(ctx, false); err != nil {
				return err
			}
		case <-ctx.Done():
			return h.Flush(context.WithoutCancel(ctx), true)
		}
	}
}

// LevelRoutine is the level of lines about successful requests.
const LevelRoutine = slog.LevelDebug

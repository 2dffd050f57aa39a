// Package logs bounds the rate of repeated log lines. A line repeats another one if
// it has the same level and message; the messages of the daemon are constant and
// what varies stands in the attributes. The next line that passes says how many
// were left out before it.
package logs

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"
)

// Attribute is the name of the attribute with the number of lines left out.
const Attribute = "leftout"

// Limit decides which lines pass: of each kind, Burst at once and Rate a second.
type Limit struct {
	// Rate is in lines per second.
	Rate float64
	// Burst is in lines; at least 1.
	Burst int
	// Routine is the rate of lines below the level of information, which are left out
	// first; 0 means Rate.
	Routine float64
}

// rate returns the rate of lines of a level.
func (l Limit) rate(level slog.Level) float64 {
	if level < slog.LevelInfo && l.Routine > 0 {
		return l.Routine
	}
	return l.Rate
}

// Requests suits a platform whose operators trace single requests: each refused or
// failed one has its line up to some hundred a second, and some of the others have one.
var Requests = Limit{Rate: 300, Burst: 600, Routine: 10}

// Default suits a terminal and a collector: a busy instance writes at most a few
// hundred lines a second, and a rare line is never left out.
var Default = Limit{Rate: 20, Burst: 50}

// kind is what lines have in common that count as repetitions.
type kind struct {
	level   slog.Level
	message string
}

// bucket is the state of one kind of line.
type bucket struct {
	tokens float64
	at     time.Time
	left   int
}

// Limiter keeps a bucket per kind of line. Its methods may be called concurrently.
type Limiter struct {
	limit Limit

	mu    sync.Mutex
	kinds map[kind]*bucket
}

// NewLimiter returns a Limiter that has seen no line.
func NewLimiter(l Limit) *Limiter {
	return &Limiter{limit: l, kinds: make(map[kind]*bucket)}
}

// Pass reports whether a line passes, and how many of its kind were left out since
// the last one that did.
func (l *Limiter) Pass(now time.Time, level slog.Level, message string) (ok bool, left int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := kind{level, message}
	b := l.kinds[k]
	if b == nil {
		b = &bucket{tokens: float64(l.limit.Burst), at: now}
		l.kinds[k] = b
	}
	l.fill(now, k, b)
	if b.tokens < 1 {
		b.left++
		return false, 0
	}
	b.tokens--
	left, b.left = b.left, 0
	return true, left
}

func (l *Limiter) fill(now time.Time, k kind, b *bucket) {
	b.tokens = min(float64(l.limit.Burst), b.tokens+l.limit.rate(k.level)*max(0, now.Sub(b.at).Seconds()))
	b.at = now
}

// Left is a kind of line of which some were left out and none has passed since.
type Left struct {
	Level   slog.Level
	Message string
	Lines   int
}

// Quiet returns the kinds that may pass again but have not, or all kinds with lines
// left out. It forgets those that are as good as new, so that the table does not grow.
func (l *Limiter) Quiet(now time.Time, all bool) []Left {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Left
	for _, k := range slices.SortedFunc(maps.Keys(l.kinds), kind.compare) {
		b := l.kinds[k]
		l.fill(now, k, b)
		if b.left > 0 && (all || b.tokens >= 1) {
			list = append(list, Left{k.level, k.message, b.left})
			b.left = 0
		}
		if b.left == 0 && b.tokens >= float64(l.limit.Burst) {
			delete(l.kinds, k)
		}
	}
	return list
}

func (k kind) compare(o kind) int {
	if k.message != o.message {
		if k.message < o.message {
			return -1
		}
		return 1
	}
	return int(k.level - o.level)
}

// Handler passes the records on that the limiter lets pass.
type Handler struct {
	next  slog.Handler
	limit *Limiter
	now   func() time.Time
}

// New returns a handler before another one. now gives the present time.
func New(next slog.Handler, l *Limiter, now func() time.Time) *Handler {
	return &Handler{next, l, now}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	ok, left := h.limit.Pass(h.now(), r.Level, r.Message)
	if !ok {
		return nil
	}
	if left > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(Attribute, left))
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler. The limit is shared.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{h.next.WithAttrs(attrs), h.limit, h.now}
}

// WithGroup implements slog.Handler. The limit is shared.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.next.WithGroup(name), h.limit, h.now}
}

// Flush writes a line for each kind of which lines were left out and none followed.
// With all, kinds are included whose rate does not let a line pass yet.
func (h *Handler) Flush(ctx context.Context, all bool) error {
	now := h.now()
	for _, l := range h.limit.Quiet(now, all) {
		r := slog.NewRecord(now, l.Level, "log: lines left out", 0)
		r.AddAttrs(slog.String("line", l.Message), slog.Int(Attribute, l.Lines))
		if err := h.next.Handle(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// Run flushes until the context ends, and once more then.
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

// LevelRoutine is the level of lines about requests that went well.
const LevelRoutine = slog.LevelDebug

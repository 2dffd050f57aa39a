package instance

// Holding writes: during a planned switch the primary's gateway starts no new write
// and waits for the running ones. A hold ends by the coordinator's release, by a
// newer term, or by itself after failover.DrainLimit.

import (
	"context"
	"time"

	"burdockseam/core/failover"
	"burdockseam/core/queue"
	"burdockseam/io/postgres"
)

type hold struct {
	id      string // of the drain that holds new writes, or ""
	term    uint64
	free    chan struct{} // closed when writes may go on
	writing int
	written chan struct{} // closed when no write runs; nil if nobody waits for that
}

// beginWrite waits while writes of the term are held.
func (g *gateway) beginWrite(ctx context.Context, term uint64, wait time.Duration) error {
	g.mu.Lock()
	h := &g.holding
	if h.id == "" || term > h.term {
		h.writing++
		g.mu.Unlock()
		return nil
	}
	free := h.free
	g.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-free:
		// The term has most likely changed; the entry chooses again.
		return later(postgres.NewRefusal(postgres.NotRun, "upstream %s was switched", g.name))
	case <-timer.C:
		return postgres.NewRefusal(postgres.NotRun, "writes of upstream %s are held for a planned switch", g.name)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gateway) endWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &g.holding
	h.writing--
	if h.writing == 0 && h.written != nil {
		close(h.written)
		h.written = nil
	}
}

// drain holds new writes of the term and waits for the running ones.
func (g *gateway) drain(ctx context.Context, id string, term uint64) error {
	g.mu.Lock()
	h := &g.holding
	if h.id == "" {
		h.free = make(chan struct{})
	}
	h.id, h.term = id, term
	if h.writing > 0 && h.written == nil {
		h.written = make(chan struct{})
	}
	written, running := h.written, h.writing
	g.mu.Unlock()
	time.AfterFunc(failover.DrainLimit, func() { g.release(id) })
	if running == 0 {
		return nil
	}
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return Error.New("%d writes are still running at upstream %s", running, g.name)
	}
}

// release lets writes go on, unless another drain has begun.
func (g *gateway) release(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h := &g.holding; h.id == id && id != "" {
		h.id = ""
		close(h.free)
	}
}

// reasonMoved refuses a request that waits at an upstream of an older term.
const reasonMoved queue.Reason = "the group has moved to another term"

// refusalTime is the time for which a former primary may answer what it still got: one
// that is not cut off refuses it as fenced, so that it is known not to have run. It is a
// few round trips between regions.
const refusalTime = 150 * time.Millisecond

// moved takes in a newer recorded term. It ends a hold, and sends requests that wait
// for an older term back to their entries, which choose again. At a former primary it
// also ends the connections a little later: what still runs there then is cut off, so
// its caller would only wait for a timeout.
func (g *gateway) moved(term uint64, former bool) {
	g.mu.Lock()
	id, newer := g.holding.id, term > g.holding.term
	for request, w := range g.waits {
		if w.term >= term {
			continue
		}
		waiting, list := g.queue.Cancel(g.in.now(), request)
		if waiting {
			w.turn <- queue.Decision{Kind: queue.Refuse, Request: request, Reason: reasonMoved}
			delete(g.waits, request)
		}
		g.perform(list)
	}
	for _, c := range g.conns {
		if former && c.term < term {
			c.retired = true
			time.AfterFunc(refusalTime, c.Close)
		}
	}
	g.mu.Unlock()
	if newer {
		g.release(id)
	}
}

package instance

// Holding writes: during a switchover, the primary's gateway starts no new writes and
// waits for the running ones. A hold ends when the coordinator releases it, when a newer
// term is recorded, or after failover.DrainLimit.

import (
	"context"
	"time"

	"burdockseam/core/failover"
	"burdockseam/core/queue"
	"burdockseam/io/postgres"
)

// writeHold is the state of a hold, and the number of running writes.
type writeHold struct {
	id            string // of the drain that began the hold, or "" if writes are not held
	term          uint64
	released      chan struct{} // closed when the hold ends
	runningWrites int
	drained       chan struct{} // closed when no write runs any more; nil if no drain waits
}

// beginWrite counts a write as running. While writes of its term are held, it waits for
// the end of the hold and then refuses the write.
func (g *gateway) beginWrite(ctx context.Context, term uint64, wait time.Duration) error {
	g.mu.Lock()
	h := &g.holding
	if h.id == "" || term > h.term {
		h.runningWrites++
		g.mu.Unlock()
		return nil
	}
	released := h.released
	g.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-released:
		// The term has most likely changed, so the entry instance chooses an upstream again.
		return retryable(postgres.NewRefusal(postgres.NotRun, "upstream %s was switched", g.upstream))
	case <-timer.C:
		return postgres.NewRefusal(postgres.NotRun, "writes of upstream %s are held for a planned switch", g.upstream)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gateway) endWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &g.holding
	h.runningWrites--
	if h.runningWrites == 0 && h.drained != nil {
		close(h.drained)
		h.drained = nil
	}
}

// drain holds new writes of the term and waits for the running ones.
func (g *gateway) drain(ctx context.Context, id string, term uint64) error {
	g.mu.Lock()
	h := &g.holding
	if h.id == "" {
		h.released = make(chan struct{})
	}
	h.id, h.term = id, term
	if h.runningWrites > 0 && h.drained == nil {
		h.drained = make(chan struct{})
	}
	drained, running := h.drained, h.runningWrites
	g.mu.Unlock()
	time.AfterFunc(failover.DrainLimit, func() { g.release(id) })
	if running == 0 {
		return nil
	}
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return Error.New("%d writes are still running at upstream %s", running, g.upstream)
	}
}

// release ends the hold that the drain with the ID began.
func (g *gateway) release(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h := &g.holding; h.id == id && id != "" {
		h.id = ""
		close(h.released)
	}
}

// reasonNewTerm refuses a request that waits at an upstream for an older term.
const reasonNewTerm queue.Reason = "the group has moved to another term"

// fencedReplyTime is the time that a former primary has to answer the statements that it
// has received. Unless it is partitioned, it refuses them as fenced, so that they are known
// not to have run. The time is a few round trips between regions.
const fencedReplyTime = 150 * time.Millisecond

// handleNewTerm handles a newer recorded term. It ends a hold of an older term and refuses
// the requests that wait for an older term, so that their entry instances choose an upstream
// again. If the upstream is the former primary, it also closes the connections after
// fencedReplyTime: what still runs then is at a partitioned upstream, and its callers would
// only wait for a timeout.
func (g *gateway) handleNewTerm(term uint64, formerPrimary bool) {
	g.mu.Lock()
	id, newer := g.holding.id, term > g.holding.term
	for request, w := range g.waiters {
		if w.term >= term {
			continue
		}
		waiting, list := g.queue.Cancel(g.in.now(), request)
		if waiting {
			w.turn <- queue.Decision{Kind: queue.Refuse, Request: request, Reason: reasonNewTerm}
			delete(g.waiters, request)
		}
		g.perform(list)
	}
	for _, c := range g.connections {
		if formerPrimary && c.term < term {
			c.retired = true
			time.AfterFunc(fencedReplyTime, c.Close)
		}
	}
	g.mu.Unlock()
	if newer {
		g.release(id)
	}
}

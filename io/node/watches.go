package node

// Watches of the store. An answer may never come: the store was silent when the call began or
// while it waited, or the store has lost the answer. A watch that may wait for long relies on
// other instances that call the store in short intervals, so it ends early when they no longer do.

import (
	"context"
	"errors"
	"time"
)

// watchGrace is the time that a watch may take in addition to its wait.
const watchGrace = callTimeout / 2

// errOverdue means that a watch was ended because its answer may never come.
var errOverdue = errors.New("the watch was overdue")

// unanswered reports whether the last call for a kind got no answer.
func (t *tables) unanswered(k Kind) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.unansweredSince[k]
	return ok
}

// watch waits for changes of a kind after a revision. It returns errOverdue if the watch was ended
// early. Without a wait the store answers at once, so that a silent store is told from one without
// changes within callTimeout.
func (t *tables) watch(ctx context.Context, k Kind, since uint64, wait time.Duration) ([]Event, Stamp, error) {
	timeout := wait + watchGrace
	if wait == 0 {
		timeout = callTimeout
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := t.now()
	t.setWatchedSince(k, began)
	defer t.setWatchedSince(k, time.Time{})
	if wait > 0 {
		go t.endOverdue(ctx, k, began, end)
	}
	events, stamp, err := t.store.Watch(call, k, since, wait)
	if err != nil && errors.Is(context.Cause(call), errOverdue) {
		err = errOverdue
	}
	t.log.V(1).Info("store: watch ended", "kind", k, "since", since, "wait", wait, "took", t.now().Sub(began), "events", len(events), "err", errorText(err))
	return events, stamp, err
}

// endOverdue ends a watch once it is overdue. It returns when the watch has ended.
func (t *tables) endOverdue(ctx context.Context, k Kind, began time.Time, end context.CancelCauseFunc) {
	for {
		sleep(ctx, replanInterval)
		now := t.now()
		switch {
		case ctx.Err() != nil:
			return
		case t.isOverdue(k, began, now):
			t.log.Info("store: watch overdue", "kind", k, "took", now.Sub(began))
			end(errOverdue)
			return
		}
	}
}

// isOverdue reports whether a watch that began at a time may never be answered: it has waited
// for longer than the instance would wait now, or the store was silent since it began.
func (t *tables) isOverdue(k Kind, began, now time.Time) bool {
	limit := t.refreshPlan(k).limit
	t.mu.Lock()
	defer t.mu.Unlock()
	return limit > 0 && now.Sub(began) >= limit+watchGrace || began.Before(t.returnedAt)
}

// setWatchedSince records when the watch of a kind began that is under way, or that none is.
func (t *tables) setWatchedSince(k Kind, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchedSince[k] = at
}

// watchedFor returns how long the watch of a kind that is under way has waited, or 0 if none is.
func (t *tables) watchedFor(k Kind) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := t.watchedSince[k]; !at.IsZero() {
		return t.now().Sub(at)
	}
	return 0
}

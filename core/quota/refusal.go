package quota

// The part of a holder that knows priorities, for holders that ask a collector. A collector
// that has too few tokens tells from which class on, and the pace at which it expects to grant
// more to this holder. A request that the pace does not serve in time is refused at once. The
// retry hints of refused requests follow each other at the pace, so that callers return when
// there are tokens and not all together. Owners tell neither, and requests without a priority
// have the most urgent one, so that nothing changes for them.

import (
	"slices"
	"time"
)

const (
	// maxRetryHint is the longest retry hint of a refused request.
	maxRetryHint = 2 * time.Second
	// retryJitter is the share of a retry hint that is varied.
	retryJitter = 0.25
	// paceLifetime is the time for which a pace is used after the collector told it.
	paceLifetime = time.Second
)

// classState is what a holder knows about the classes of a team's requests.
type classState struct {
	seenAt   [Classes]time.Time
	barred   int       // 1 more than the most urgent class that lacked tokens in the last grant; 0 if none
	pace     float64   // tokens that the collector grants in a second, 0 if unknown
	paceAt   time.Time // when the collector told the pace
	nextSlot time.Time // when the last refused request is expected to be served
	refused  uint64    // number of retry hints
}

func (c *classState) count(now time.Time, class int) { c.seenAt[class] = now }

// least returns the least urgent class that asks.
func (c *classState) least(now time.Time) int {
	for class := Classes - 1; class > 0; class-- {
		if now.Sub(c.seenAt[class]) < classLifetime {
			return class
		}
	}
	return 0
}

// addWaiter inserts a request behind those of the same and of more urgent classes.
func (t *team) addWaiter(w waiter) {
	k := len(t.waiting)
	for k > 0 && t.waiting[k-1].class > w.class {
		k--
	}
	t.waiting = slices.Insert(t.waiting, k, w)
}

// waitingBefore returns the number of requests that wait and are at least as urgent as a class.
func (t *team) waitingBefore(class int) int {
	k := len(t.waiting)
	for k > 0 && t.waiting[k-1].class > class {
		k--
	}
	return k
}

// mayRequest reports whether tokens of a class may be requested now.
func (t *team) mayRequest(now time.Time, class int) bool {
	return !now.Before(t.retryAt) || class < t.classes.barred-1
}

// tokensByClass divides wanted tokens among the classes: those that are missing for requests
// that wait, and the rest for the least urgent class. It returns nil if all are of the most
// urgent one.
func (t *team) tokensByClass(now time.Time, tokens int) []int {
	least := t.classes.least(now)
	if tokens == 0 || least == 0 {
		return nil
	}
	out := make([]int, Classes)
	for _, w := range t.waiting[min(len(t.waiting), t.stock+t.pendingTokens):] {
		if tokens > 0 {
			out[w.class]++
			tokens--
		}
	}
	out[least] += tokens
	last := Classes
	for last > 0 && out[last-1] == 0 {
		last--
	}
	return out[:last]
}

// barredPace returns the pace of grants to a class that lacks tokens. ok is false if the class
// does not, as far as is known.
func (t *team) barredPace(now time.Time, class int) (pace float64, ok bool) {
	c := &t.classes
	return c.pace, c.barred > 0 && class >= c.barred-1 && c.pace > 0 && now.Before(t.retryAt)
}

// hopeless reports whether the k-th request that waits will not get a token within d.
func (t *team) hopeless(now time.Time, class, k int, d time.Duration) bool {
	pace, ok := t.barredPace(now, class)
	return ok && float64(k)/pace > d.Seconds()
}

// refuseHopeless records what a grant tells about the classes, and refuses the requests that
// will not be served in time.
func (t *team) refuseHopeless(now time.Time, g Grant, out []Decision) []Decision {
	t.classes.barred = g.Barred
	if g.Pace > 0 || g.Barred == 0 {
		t.classes.pace, t.classes.paceAt = g.Pace, now
	}
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		if t.hopeless(now, w.class, len(kept)+1, w.until.Sub(now)) {
			out = append(out, Decision{Outcome: Refused, Ticket: w.ticket, Retry: t.retryHint(now)})
		} else {
			kept = append(kept, w)
		}
	}
	t.waiting = kept
	return out
}

// RetryHint returns the time after which a request that was refused or has waited in vain may
// be repeated.
func (h *Holder) RetryHint(now time.Time, name string) time.Duration {
	if t := h.teams[name]; t != nil {
		return t.retryHint(now)
	}
	return MaxWait
}

// retryHint returns the time at which the next refused request is expected to be served: each
// of them a token after the one before.
func (t *team) retryHint(now time.Time) time.Duration {
	c := &t.classes
	c.refused++
	// The golden ratio spreads the variation evenly over any number of requests.
	const goldenRatio = 0.6180339887498949
	varied := float64(c.refused) * goldenRatio
	varied -= float64(uint64(varied))
	if c.pace <= 0 || now.Sub(c.paceAt) > paceLifetime {
		return maxRetry + time.Duration(varied*float64(maxRetry))
	}
	// Requests that wait are served first.
	first := now.Add(secondsToDuration(float64(len(t.waiting)) / c.pace))
	if c.nextSlot.Before(first) {
		c.nextSlot = first
	}
	token := secondsToDuration(1 / c.pace)
	if c.nextSlot = c.nextSlot.Add(token); c.nextSlot.Sub(now) > maxRetryHint {
		c.nextSlot = now.Add(maxRetryHint)
		return maxRetryHint - time.Duration(varied*retryJitter*float64(maxRetryHint))
	}
	hint := c.nextSlot.Sub(now) + time.Duration((varied-0.5)*retryJitter*float64(token))
	return min(max(hint, minRetry), maxRetryHint)
}

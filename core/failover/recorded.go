package failover

// A recorded promotion is an ordered promotion on a platform that does not check fencing
// tokens, and on which the old primary continues to accept work until it is demoted. These
// rules replace the platform's check:
//
//   - The target is written to the group's token object before it is ordered, on the
//     condition that no newer token was drawn. An instance whose token is outdated therefore
//     orders nothing, and the instance that draws the next token learns the target of an
//     order that may still be carried out. It promotes the same target, or waits until that
//     order can no longer take effect.
//   - The old primary is demoted before the order. If no instance reaches it, all instances
//     are told that it is superseded, and the order waits for those that do not answer.
//   - An instance that was told so takes no statement as evidence for the old primary, and
//     sends nothing to it that only a primary may run.
//
//   - A change goes beyond its survey only while this instance has contact to most of the
//     fleet, and goes back to the survey if contact is lost before an order may have been sent.
//     An instance that is cut off together with a part of the group sees a healthy primary as
//     lost, and its list of upstreams is incomplete.
//
// Nothing is ordered while the store does not answer.

import (
	"slices"
	"time"
)

const (
	// OrderValidity is the time after the start of recording a target within which the order
	// must be sent.
	OrderValidity = time.Second
	// settleTime is the time after which the last order of an instance with an outdated token
	// was sent, was answered or timed out, and took effect if it was accepted.
	settleTime = 2*OrderValidity + orderEffectTime
	// lateOrderTime is the time for which an order without an answer may still be carried
	// out.
	lateOrderTime = 6 * time.Second
)

// NewRecordedPromotion returns the state machine of a group on a platform that does not
// check fencing tokens. The seed is as in NewOrderedPromotion.
func NewRecordedPromotion(seed uint64) *OrderedPromotion {
	c := NewOrderedPromotion(seed)
	c.recorded = true
	return c
}

// Token returns the fencing token at hand, or 0.
func (c *OrderedPromotion) Token() uint64 { return c.token }

// MayStillBeCarriedOut reports whether the order in the token object may take effect later,
// given its target and its token.
func (c *OrderedPromotion) MayStillBeCarriedOut(now time.Time, target string, ordered uint64) bool {
	switch ordered {
	case c.answered:
		return now.Sub(c.unansweredAt) < lateOrderTime
	case c.unfinishedToken:
		return target != c.primary || now.Sub(c.unfinishedSince) < lateOrderTime
	}
	return true
}

// HandleRecordedToken takes a token that was drawn from the store, with the target and the
// token of an order that may still be carried out, or "" and 0.
func (c *OrderedPromotion) HandleRecordedToken(now time.Time, token uint64, unfinished string, ordered uint64) {
	if c.token != 0 {
		return
	}
	c.token, c.lastDrawn = token, token
	if ordered != c.unfinishedToken {
		c.unfinished, c.unfinishedToken, c.unfinishedSince = unfinished, ordered, now
	}
}

// settled reports whether the orders of instances with older tokens have ended.
func (c *OrderedPromotion) settled(now time.Time) bool {
	return c.unfinished == "" || now.Sub(c.unfinishedSince) >= settleTime
}

// mayRevive reports whether an order of another target than the present one may still be
// carried out.
func (c *OrderedPromotion) mayRevive(now time.Time) bool {
	return c.recorded && c.unfinished != "" && now.Sub(c.unfinishedSince) < lateOrderTime
}

// preferUnfinished returns the target of an unfinished order if it is among the replicas
// that have received most. If it is not, wait is set, and nothing may be ordered yet.
func (c *OrderedPromotion) preferUnfinished(now time.Time, furthest *candidateState) (target *candidateState, wait bool) {
	if !c.mayRevive(now) {
		return nil, false
	}
	r := c.findCandidate(c.unfinished)
	if r == nil || r.Upstream == c.primary || r.status.Received != furthest.status.Received {
		return nil, true
	}
	return r, false
}

// demoteOld returns the command that demotes the old primary, whenever it is due.
func (c *OrderedPromotion) demoteOld(now time.Time) []Command {
	if now.Before(c.nextCommand) {
		return nil
	}
	c.nextCommand = now.Add(commandInterval)
	return []Command{{Action: ActionDemote, Upstream: c.primary, Term: c.term + 1}}
}

// demoteLate returns the command that demotes an old primary that could not be reached
// before its successor was ordered.
func (c *OrderedPromotion) demoteLate(now time.Time) []Command {
	if c.undemoted == "" || c.phase != PhaseIdle || now.Before(c.nextDemote) {
		return nil
	}
	if c.undemoted == c.primary || c.findCandidate(c.undemoted) == nil {
		c.undemoted = ""
		return nil
	}
	c.nextDemote = now.Add(commandInterval)
	return []Command{{Action: ActionDemote, Upstream: c.undemoted, Term: c.term}}
}

// HandleDemote takes the status in an upstream's answer to its demotion, which was sent at the
// given time. Without an answer, the order waits until silentUntil on a platform that does not
// check fencing tokens, because an instance that did not answer may still send statements to the
// upstream.
func (c *OrderedPromotion) HandleDemote(now, sent time.Time, upstream string, s ReplicationStatus, err error, silentUntil time.Time) {
	if !c.recorded {
		c.handleHolder(now, sent, upstream, s, err)
		return
	}
	demoted := err == nil && !s.Primary
	c.term = max(c.term, s.Term)
	if demoted && upstream == c.undemoted {
		c.undemoted = ""
	}
	if c.phase != PhaseDemote || upstream != c.primary {
		return
	}
	switch {
	case demoted:
		// The old primary has become a replica with the whole log.
		c.primary = ""
		if r := c.findCandidate(upstream); r != nil && s.Led {
			r.status, r.pausedAt, c.holder = s, sent, holder{upstream: upstream, since: now, term: c.term, position: s.Received, answeredAt: sent}
		}
		if s.Received.Compare(c.keptPosition) > 0 {
			// Some of the commits that the target lacks may be acknowledged. The instances know now.
			c.freeze.at, c.freeze.next = time.Time{}, now
			c.enterPhase(now, PhasePause)
			return
		}
	case err == nil:
		// It leads a later term, for which the replicas are not paused.
		c.enterPhase(now, PhasePause)
		return
	case now.Before(silentUntil), len(c.awaited(now)) > 0:
		return
	default:
		c.undemoted = upstream
	}
	if slices.ContainsFunc(c.candidates, func(r *candidateState) bool {
		return r.Upstream != upstream && now.Sub(r.pausedAt) >= pauseValidity
	}) {
		c.enterPhase(now, PhasePause)
		return
	}
	if c.keptPosition.Compare(c.acknowledged.Least) < 0 {
		c.enterPhase(now, PhasePause) // the old primary, which may be a candidate now, has more
		return
	}
	c.enterPhase(now, PhaseOrder)
}

// SetContact sets whether this instance has contact to most of the fleet.
func (c *OrderedPromotion) SetContact(contact bool) { c.noContact = !contact }

// mayEnd reports whether the change ends because the old primary is proven at a time: the evidence
// is newer than the phase, nothing is paused, and no order of another upstream may take effect.
func (c *OrderedPromotion) mayEnd(now, at time.Time) bool {
	return c.recorded && !c.planned && !c.pausing && c.ordersSent == 0 && !at.Before(c.since) &&
		(!c.mayRevive(now) || c.unfinished == c.primary)
}

// checkContact takes a change back to its survey if contact is lost. It returns the command that
// releases the held work of a switchover.
func (c *OrderedPromotion) checkContact(now time.Time) []Command {
	if !c.noContact || !c.recorded || c.ordersSent > 0 {
		return nil
	}
	switch c.phase {
	case PhaseHold, PhasePause, PhaseList, PhaseDemote, PhaseOrder:
		c.enterPhase(now, PhaseSurvey)
		return c.releaseHeld()
	}
	return nil
}

// Pauses reports whether the change pauses replicas or has paused them, and chooses no target yet.
func (c *OrderedPromotion) Pauses() bool {
	return c.phase == PhasePause || c.phase == PhaseList || c.phase == PhaseSurvey && c.pausing
}

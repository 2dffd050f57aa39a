package failover

// What an ordered promotion must keep. Pausing the listed replicas does not end the old primary's
// work: a replica that is not listed yet may receive, and the only replica that has received may be
// gone. Two facts take the place of a complete list:
//
//   - Frozen gateways. The instances that acknowledge commits have told which ones, and
//     acknowledge no others. Nothing is ordered that lacks what they have acknowledged. On a
//     platform that does not check fencing tokens, they only tell; see recorded.go for the rest.
//   - The holder, where the platform checks fencing tokens. An old primary that led until it was demoted has every acknowledged commit. It
//     can be ordered again, so that no other upstream has to be waited for.

import (
	"time"

	"burdockseam/core/wal"
)

const (
	// freezeInterval is the time between two renewals of a freeze while a change is under way.
	freezeInterval = time.Second
	// freezeValidity is the age up to which a freeze counts. Gates end it only after FreezeTimeout.
	freezeValidity = 2 * time.Second
	// holderWait is the time for which the other upstreams may still answer once the old primary
	// is demoted. One that has as much is preferred, since something was wrong with the old primary.
	holderWait = 350 * time.Millisecond
	// restoredMemory is the time after a change that ordered the old primary again in which the
	// next change prefers another upstream.
	restoredMemory = 30 * time.Second
)

// ReasonUnanswered is the reason of a failover from a primary whose commits get no answer. Its
// replicas receive nothing, so ordering it again would not help.
const ReasonUnanswered = "commits without an answer"

// freeze is what is known of the gateways' commits during a change.
type freeze struct {
	at          time.Time // when the newest answered freeze was sent; zero without one
	term, token uint64
	silent      int       // instances that did not answer it
	next        time.Time // earliest time of the next freeze
}

// holder is the old primary after its demotion.
type holder struct {
	upstream    string // "" if it is not demoted
	since       time.Time
	attempted   bool      // an attempt to demote it has ended
	nextAttempt time.Time // earliest time of the next attempt
}

// freezeCommits returns the command that freezes the gateways, whenever it is due. A change that
// waits for upstreams renews the freeze only when it goes on.
func (c *OrderedPromotion) freezeCommits(now time.Time, goesOn bool) []Command {
	first := c.freeze.token != c.token || c.freeze.term < c.term
	if c.token == 0 || now.Before(c.freeze.next) || !first && !goesOn {
		return nil
	}
	c.freeze.next = now.Add(freezeInterval)
	return []Command{{Action: ActionFreeze, Term: c.term, Token: c.token}}
}

// HandleFreeze takes the answers of the instances to a freeze that was sent at the given time: the
// bounds of the commits that they have acknowledged, and the number of instances without an answer.
func (c *OrderedPromotion) HandleFreeze(now, sent time.Time, cmd Command, a Acknowledged, silent int) {
	c.acknowledged = c.acknowledged.Join(a)
	if a.Most.Term > c.term {
		c.term, c.freeze.next = a.Most.Term, now
	}
	if cmd.Token == c.token && sent.After(c.freeze.at) {
		c.freeze.at, c.freeze.term, c.freeze.token, c.freeze.silent = sent, cmd.Term, cmd.Token, silent
	}
}

// isFrozen reports whether the gateways that answered acknowledge no further commits.
func (c *OrderedPromotion) isFrozen(now time.Time) bool {
	f := c.freeze
	return !f.at.IsZero() && f.token == c.token && f.term >= c.term && now.Sub(f.at) < freezeValidity
}

// hasHolder reports whether the old primary was demoted and its position is known.
func (c *OrderedPromotion) hasHolder(now time.Time) bool {
	r := c.findCandidate(c.holder.upstream)
	return r != nil && r.isPaused(now)
}

// mayLeaveOut reports whether the upstreams that have not answered need not be waited for.
func (c *OrderedPromotion) mayLeaveOut(now time.Time) bool {
	return c.hasHolder(now) && now.Sub(c.holder.since) >= holderWait
}

// demoteHolder returns the command that demotes the old primary, whenever it is due. A switchover
// leaves it alone, unless the commits that it has acknowledged are not known without it.
func (c *OrderedPromotion) demoteHolder(now time.Time, allPaused bool) []Command {
	if c.recorded || c.primary == "" || now.Before(c.holder.nextAttempt) {
		return nil
	}
	if c.planned && !(allPaused && c.isFrozen(now) && (c.freeze.silent > 0 || c.lacksAcknowledged(now))) {
		return nil
	}
	c.holder.nextAttempt = now.Add(commandInterval)
	c.pausing = true
	return []Command{{Action: ActionDemote, Upstream: c.primary, Term: c.term + 1}}
}

// handleHolder takes the answer to the demotion of the old primary.
func (c *OrderedPromotion) handleHolder(now, sent time.Time, upstream string, s ReplicationStatus, err error) {
	r := c.findCandidate(upstream)
	if r == nil || c.phase != PhasePause || upstream != c.primary {
		return
	}
	c.holder.attempted = true
	if err != nil {
		return
	}
	c.term = max(c.term, s.Term)
	if s.Primary {
		c.enterPhase(now, PhasePause) // it leads a later term
		return
	}
	// Without proof that it led, it is a replica like the others.
	c.primary, r.status, r.pausedAt, r.nextCommand = "", s, sent, now
	if s.Led {
		c.holder.upstream, c.holder.since = upstream, now
	}
}

// lacksAcknowledged reports whether no upstream that has answered has all commits that are known
// to be acknowledged.
func (c *OrderedPromotion) lacksAcknowledged(now time.Time) bool {
	for _, r := range c.replicas() {
		if r.isPaused(now) && r.status.Received.Compare(c.acknowledged.Least) >= 0 {
			return false
		}
	}
	return true
}

// Lacking returns the position that is known to be acknowledged, and the highest one of the upstreams
// that have answered, if the change waits because none of them has it.
func (c *OrderedPromotion) Lacking(now time.Time) (acknowledged, highest wal.Position, waits bool) {
	if c.phase != PhasePause || !c.isFrozen(now) || !c.lacksAcknowledged(now) {
		return wal.Position{}, wal.Position{}, false
	}
	for _, r := range c.replicas() {
		if r.isPaused(now) && r.status.Received.Compare(highest) > 0 {
			highest = r.status.Received
		}
	}
	return c.acknowledged.Least, highest, highest != (wal.Position{})
}

// mayChoose reports whether the answers of the gateways and of the old primary allow the choice of
// a target.
func (c *OrderedPromotion) mayChoose(now time.Time) bool {
	mayDemote := c.recorded && c.primary != "" // the demotion comes after the choice
	if !c.isFrozen(now) || c.lacksAcknowledged(now) && !mayDemote {
		return false
	}
	return c.recorded || c.freeze.silent == 0 || c.primary == "" || c.holder.attempted
}

// leastPosition returns the position that the target must have at least.
func (c *OrderedPromotion) leastPosition(now time.Time) wal.Position {
	h := c.findCandidate(c.holder.upstream)
	avoided := c.reason == ReasonUnanswered || c.planned || c.restored == c.holder.upstream && now.Sub(c.finishedAt) < restoredMemory
	switch {
	case c.recorded || !c.hasHolder(now):
		return c.acknowledged.Least
	case c.freeze.silent > 0 && c.reason != ReasonUnanswered:
		return h.status.Received
	case avoided:
		return c.acknowledged.Least
	}
	return c.acknowledged.Most
}

// avoidHolder returns the target to take instead of the holder: the one with the highest position
// of the others, if it has all that must be kept.
func (c *OrderedPromotion) avoidHolder(now time.Time, list []*candidateState) []*candidateState {
	if !c.hasHolder(now) {
		return list
	}
	least := c.leastPosition(now)
	var others []*candidateState
	for _, r := range list {
		if r.Upstream != c.holder.upstream && !r.Ineligible && r.status.Received.Compare(least) >= 0 {
			others = append(others, r)
		}
	}
	if len(others) == 0 {
		return list
	}
	return others
}

// isPaused reports whether an answer to a pause or a demotion is new enough to count.
func (r *candidateState) isPaused(now time.Time) bool {
	return !r.pausedAt.IsZero() && now.Sub(r.pausedAt) < pauseValidity
}

package failover

// What an ordered promotion must keep. Pausing the listed replicas does not end the old primary's
// work: a replica that is not listed yet may receive, and the only replica that has received may be
// gone. Two facts take the place of a complete list:
//
//   - Frozen gateways. The instances that acknowledge commits have told which ones, and
//     acknowledge no others. Nothing is ordered that lacks what they have acknowledged. On a
//     platform that does not check fencing tokens, they only tell; see recorded.go for the rest.
//   - The holder. An old primary that led until it was demoted has every acknowledged commit. It
//     can be ordered again, so that no other upstream has to be waited for. Where the platform
//     does not check fencing tokens, the demotion comes after the choice of a target.

import (
	"cmp"
	"errors"
	"slices"
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
	// maxRefusals is the number of failed demotions after which an old primary that answers, but
	// has no free slot or connection, is left alone.
	maxRefusals = 5
	// restartSlack is above the time from the end of an instance to the start of its successor.
	restartSlack = time.Second
)

// ReasonUnanswered is the reason of a failover from a primary whose commits get no answer. Its
// replicas receive nothing, so ordering it again would not help.
const ReasonUnanswered = "commits without an answer"

// ErrRefused is the error of a demotion that the upstream refuses for the moment.
var ErrRefused = errors.New("refused for the moment")

// freeze is what is known of the gateways' commits during a change.
type freeze struct {
	at          time.Time // when the newest answered freeze was sent; zero without one
	term, token uint64
	// silentDomains are the failure domains of the instances that did not answer it.
	silentDomains []string
	// chosenSilent is their number when the target was chosen.
	chosenSilent int
	forgetful    bool      // an instance may have forgotten the newest commits
	next         time.Time // earliest time of the next freeze
}

// holder is the old primary after its demotion.
type holder struct {
	upstream    string // "" if it is not demoted
	since       time.Time
	attempted   bool   // it does not answer, or refuses again and again
	refusals    int    // attempts to demote it that failed
	term        uint64 // term that it led
	position    wal.Position
	answeredAt  time.Time // when its last answer was sent
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

// HandleFreeze takes the answers of the instances to a freeze that was sent at the given time, and the
// failure domains of the instances without an answer.
func (c *OrderedPromotion) HandleFreeze(now, sent time.Time, cmd Command, answers []FreezeAnswer, silent []string) {
	ordered := c.phase == PhaseOrder && c.ordersSent > 0 // a newer term may be the order's own
	for _, a := range answers {
		c.acknowledged = c.acknowledged.Join(a.Acknowledged)
		if a.Term > c.term && !ordered {
			c.term, c.freeze.next = a.Term, now
		}
	}
	if cmd.Token == c.token && sent.After(c.freeze.at) {
		c.freeze.at, c.freeze.term, c.freeze.token, c.freeze.silentDomains = sent, cmd.Term, cmd.Token, silent
		c.freeze.forgetful = mayHaveForgotten(answers)
	}
}

// mayHaveForgotten reports whether an instance started after the newest commit that the instances
// know. One that was there before it may have acknowledged later commits.
func mayHaveForgotten(answers []FreezeAnswer) bool {
	if len(answers) == 0 {
		return true
	}
	newest := slices.MinFunc(answers, func(a, b FreezeAnswer) int { return cmp.Compare(a.Idle, b.Idle) }).Idle
	return slices.ContainsFunc(answers, func(a FreezeAnswer) bool { return a.Age < newest+restartSlack })
}

// isFrozen reports whether the gateways that answered acknowledge no further commits.
func (c *OrderedPromotion) isFrozen(now time.Time) bool {
	f := c.freeze
	return !f.at.IsZero() && f.token == c.token && f.term >= c.term && now.Sub(f.at) < freezeValidity
}

// hasHolder reports whether the old primary was demoted and its position is known.
func (c *OrderedPromotion) hasHolder(now time.Time) bool {
	r := c.findCandidate(c.holder.upstream)
	return r != nil && r.isPaused(now) && c.term == c.holder.term
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
	needed := allPaused && c.isFrozen(now) && (c.unsure() || c.lacksAcknowledged(now) || len(c.awaited(now)) > 0)
	stuck := now.Sub(c.since) >= pauseValidity // a replica does not answer any more
	if c.planned && !needed && !stuck {
		return nil
	}
	c.holder.nextAttempt = now.Add(commandInterval)
	c.pausing = true
	return []Command{{Action: ActionDemote, Upstream: c.primary, Term: c.term + 1}}
}

// handleHolder takes the answer to the demotion of the old primary.
func (c *OrderedPromotion) handleHolder(now, sent time.Time, upstream string, s ReplicationStatus, err error) {
	if c.phase != PhasePause || upstream != c.primary {
		return
	}
	r := c.findCandidate(upstream)
	if err != nil || r == nil {
		c.holder.refusals++
		c.holder.attempted = !errors.Is(err, ErrRefused) || c.holder.refusals >= maxRefusals
		return
	}
	c.term = max(c.term, s.Term)
	if s.Primary {
		c.holder.nextAttempt = now
		c.enterPhase(now, PhasePause) // it leads a later term
		return
	}
	c.holder.attempted = true
	// Without proof that it led, it is a replica like the others.
	c.primary, r.status, r.pausedAt, r.nextCommand = "", s, sent, now
	if s.Led {
		c.holder.upstream, c.holder.since, c.holder.term, c.holder.position, c.holder.answeredAt = upstream, now, c.term, s.Received, sent
	}
}

// lacksAcknowledged reports whether no upstream that has answered has all commits that are known
// to be acknowledged.
func (c *OrderedPromotion) lacksAcknowledged(now time.Time) bool {
	return c.highest(now).Compare(c.acknowledged.Least) < 0
}

// Lacking returns the position that is known to be acknowledged, and the highest one of the upstreams
// that have answered, if the change waits because none of them has it.
func (c *OrderedPromotion) Lacking(now time.Time) (acknowledged, highest wal.Position, waits bool) {
	if c.phase != PhasePause || !c.isFrozen(now) || !c.lacksAcknowledged(now) {
		return wal.Position{}, wal.Position{}, false
	}
	highest = c.highest(now)
	return c.acknowledged.Least, highest, highest != (wal.Position{})
}

// mayChoose reports whether the answers of the gateways and of the old primary allow the choice of
// a target.
func (c *OrderedPromotion) mayChoose(now time.Time) bool {
	mayDemote := c.recorded && c.primary != "" // the demotion comes after the choice
	if !c.isFrozen(now) || c.highest(now).Compare(c.leastPosition(now)) < 0 && !mayDemote {
		return false
	}
	if !mayDemote && len(c.awaited(now)) > 0 {
		return false
	}
	return c.recorded || c.primary == "" || c.holder.attempted || !c.unsure() && c.highest(now).Compare(c.acknowledged.Most) >= 0
}

// unsure reports whether an instance may have acknowledged commits that it has not told.
func (c *OrderedPromotion) unsure() bool {
	return len(c.freeze.silentDomains) > 0 || c.freeze.forgetful
}

// highest returns the highest position of the upstreams that have answered.
func (c *OrderedPromotion) highest(now time.Time) wal.Position {
	var highest wal.Position
	for _, r := range c.replicas() {
		if r.isPaused(now) && r.status.Received.Compare(highest) > 0 {
			highest = r.status.Received
		}
	}
	return highest
}

// leastPosition returns the position that the target must have at least.
func (c *OrderedPromotion) leastPosition(now time.Time) wal.Position {
	least := c.acknowledged.Least
	switch {
	case c.hasHolder(now) && c.unsure(), c.unsure() && now.Sub(c.holder.answeredAt) < vanishedTimeout:
		return c.holder.position // it bounds what these instances have acknowledged
	case c.hasHolder(now) && !c.recorded && !c.planned && c.reason != ReasonUnanswered:
		least = c.acknowledged.Most
	}
	noSurveyWait := c.reason == ReasonUnanswered && now.Sub(c.pausesSince) < vanishedTimeout
	if (c.hasHolder(now) || noSurveyWait) && c.lastKept.Compare(least) > 0 {
		return c.lastKept
	}
	return least
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

package failover

// Members of an ordered promotion, and the replicas whose entries disappeared from the list of
// upstreams. Such a replica may be the only one that holds a commit: an entry expires when its
// upstream has crashed and will be back with its log, and also when the upstream or this instance
// is cut off from the store while the group goes on elsewhere.

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// vanishedCandidate is an upstream whose entry disappeared.
type vanishedCandidate struct {
	Candidate
	at     time.Time
	before bool // it disappeared before the change began
}

// Disappearance is an upstream whose entry has just disappeared, for logs.
type Disappearance struct {
	Upstream string
	Leaving  bool
	// Remembered is set if a change may wait for the upstream.
	Remembered bool
}

// SetMembers sets the group's upstreams and the highest term seen, and returns the upstreams whose
// entries have disappeared. The answers of upstreams that stay in the group are kept. The primary is
// replaced only while no change is under way.
func (c *OrderedPromotion) SetMembers(now time.Time, primary string, term uint64, list []Candidate) []Disappearance {
	c.term = max(c.term, term)
	isListed := func(upstream string) bool {
		return slices.ContainsFunc(list, func(m Candidate) bool { return m.Upstream == upstream })
	}
	var disappeared []Disappearance
	for _, r := range c.candidates {
		if isListed(r.Upstream) {
			continue
		}
		d := Disappearance{r.Upstream, r.Ineligible, c.mayHoldCommits(now, r.Upstream)}
		if d.Remembered {
			c.vanished = append(c.vanished, vanishedCandidate{Candidate: r.Candidate, at: now})
		}
		disappeared = append(disappeared, d)
	}
	// An upstream that is listed again can be asked itself.
	c.vanished = slices.DeleteFunc(c.vanished, func(v vanishedCandidate) bool {
		return isListed(v.Upstream) || now.Sub(v.at) >= vanishedTimeout
	})
	candidates := make([]*candidateState, 0, len(list))
	for _, m := range list {
		r := c.findCandidate(m.Upstream)
		if r == nil {
			r = &candidateState{}
		}
		r.Candidate = m
		candidates = append(candidates, r)
	}
	c.candidates = candidates
	if c.phase == PhaseIdle {
		c.setPrimary(now, primary)
	}
	return disappeared
}

// setPrimary sets the primary, or "" if none is known, and keeps the one before it.
func (c *OrderedPromotion) setPrimary(now time.Time, primary string) {
	if primary != "" {
		c.holder = holder{}
	}
	c.primary = primary
	if primary != "" && primary != c.lastPrimary {
		c.former, c.formerSince, c.lastPrimary = c.lastPrimary, now, primary
	}
}

// mayHoldCommits reports whether a failover waits for an upstream whose entry disappears. A lost
// primary is not waited for by itself: lacksAcknowledged waits if no other upstream has what it
// acknowledged. Its entry expires only after it was replaced, so the next change does not wait for
// it either.
func (c *OrderedPromotion) mayHoldCommits(now time.Time, upstream string) bool {
	switch {
	case upstream == c.primary:
		return c.phase == PhaseIdle && now.Sub(c.primarySeen) < primarySeenValidity
	case upstream == c.former && c.phase == PhaseIdle:
		return now.Sub(c.formerSince) >= vanishedTimeout
	}
	return true
}

// mustWaitForVanished reports whether nothing may be ordered yet, because a replica has
// vanished that may be the only one that holds a commit. A replica that was leaving does not
// come back, but a working old primary holds what it held, and so does one that was demoted. A
// switchover does not wait: new work at the old primary has ended before the pauses, and the old
// primary must be left in time.
func (c *OrderedPromotion) mustWaitForVanished(now time.Time) bool {
	return !c.planned && !c.hasHolder(now) && slices.ContainsFunc(c.vanished, func(v vanishedCandidate) bool {
		mayReturn := !v.Ineligible || !v.before && now.Sub(c.primarySeen) < primarySeenValidity
		return mayReturn && now.Sub(v.at) < vanishedTimeout
	})
}

// describeVanished lists the upstreams whose entries have disappeared and may come back, with the time
// since then.
func (c *OrderedPromotion) describeVanished(now time.Time) string {
	var list []string
	for _, v := range c.vanished {
		list = append(list, fmt.Sprintf("%s %dms", v.Upstream, now.Sub(v.at).Milliseconds()))
	}
	return strings.Join(list, ", ")
}

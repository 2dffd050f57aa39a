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

// silentTimeout bounds the wait for an upstream without an entry while an instance is silent. An
// instance that stays silent is removed from the fleet before.
const silentTimeout = 30 * time.Second

// vanishedCandidate is an upstream whose entry disappeared.
type vanishedCandidate struct {
	Candidate
	at     time.Time
	before bool // it disappeared before the change began
	former bool // it was the primary, and was replaced a short time before
}

// Disappearance is an upstream whose entry has just disappeared, for logs.
type Disappearance struct {
	Upstream, Domain string
	Eligible         bool
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
		d := Disappearance{r.Upstream, r.Domain, !r.Ineligible, c.mayHoldCommits(now, r.Upstream)}
		if d.Remembered {
			c.vanished = append(c.vanished, &vanishedCandidate{Candidate: r.Candidate, at: now, former: c.wasReplaced(now, r.Upstream)})
		}
		disappeared = append(disappeared, d)
	}
	// An upstream that is listed again can be asked itself.
	c.vanished = slices.DeleteFunc(c.vanished, func(v *vanishedCandidate) bool {
		return isListed(v.Upstream) || now.Sub(v.at) >= silentTimeout
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

// mayHoldCommits reports whether a change may wait for an upstream whose entry disappears. A lost
// primary is not waited for by itself: what it has acknowledged, a replica has received.
func (c *OrderedPromotion) mayHoldCommits(now time.Time, upstream string) bool {
	return upstream != c.primary || c.phase == PhaseIdle && now.Sub(c.primarySeen) < primarySeenValidity
}

// wasReplaced reports whether an upstream whose entry disappears is the primary before the present
// one, and the change is over that replaced it a short time ago.
func (c *OrderedPromotion) wasReplaced(now time.Time, upstream string) bool {
	return upstream == c.former && c.phase == PhaseIdle && now.Sub(c.formerSince) < vanishedTimeout
}

// mustWaitForVanished reports whether no replica may be paused yet, because a replica has vanished
// that is likely to come back with commits that no other one has. A replica that was leaving is
// not, but a working old primary holds what it held, and so does one that was demoted. A switchover
// does not wait here, because the old primary must be left in time.
func (c *OrderedPromotion) mustWaitForVanished(now time.Time) bool {
	return !c.planned && !c.hasHolder(now) && slices.ContainsFunc(c.vanished, func(v *vanishedCandidate) bool {
		mayReturn := !v.Ineligible || !v.before && now.Sub(c.primarySeen) < primarySeenValidity
		return mayReturn && !v.former && now.Sub(v.at) < vanishedTimeout
	})
}

// awaited returns the upstreams without an entry for which the choice of a target waits. Behind a
// cut, an upstream whose entry expires goes on to receive, and to acknowledge commits together with the
// old primary and the instances there. One that was leaving, or was replaced, has mostly ended, and
// is waited for only while an instance of its failure domain is silent. Nothing is waited for if the
// old primary was demoted, or if the instances have told all that was acknowledged.
func (c *OrderedPromotion) awaited(now time.Time) []*vanishedCandidate {
	if c.hasHolder(now) || c.isFrozen(now) && !c.unsure() && c.highest(now).Compare(c.acknowledged.Most) >= 0 {
		return nil
	}
	var list []*vanishedCandidate
	for _, v := range c.vanished {
		age := now.Sub(v.at)
		cutOff := slices.Contains(c.freeze.silentDomains, v.Domain)
		if cutOff && age < silentTimeout || !v.Ineligible && !v.former && age < vanishedTimeout {
			list = append(list, v)
		}
	}
	return list
}

// Awaited returns the upstreams without an entry that the present change waits for, with the time since
// their entries disappeared; "" if it does not wait.
func (c *OrderedPromotion) Awaited(now time.Time) string {
	if c.phase != PhasePause && c.phase != PhaseDemote || !c.isFrozen(now) {
		return ""
	}
	return describeVanished(now, c.awaited(now))
}

// describeVanished lists upstreams without an entry, with the time since their entries disappeared.
func describeVanished(now time.Time, list []*vanishedCandidate) string {
	var texts []string
	for _, v := range list {
		texts = append(texts, fmt.Sprintf("%s %dms", v.Upstream, now.Sub(v.at).Milliseconds()))
	}
	return strings.Join(texts, ", ")
}

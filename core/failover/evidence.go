package failover

import "time"

// Evidence is what was known about acknowledged commits when a target was chosen, for logs.
type Evidence struct {
	Planned       bool
	Primary       string // the old primary, or "" if it is not known or was demoted
	Demoted       bool   // the old primary led until it was demoted
	DemotionTried bool
	Silent        int  // instances that did not tell what they have acknowledged
	Forgetful     bool // an instance may have forgotten what it has acknowledged
	Acknowledged  Acknowledged
	Vanished      string // upstreams whose entries have disappeared, with the time since then
}

// Unconfirmed reports whether the target was chosen although an instance may have acknowledged
// commits that it has not told, and although the old primary was not demoted.
func (e Evidence) Unconfirmed() bool { return (e.Silent > 0 || e.Forgetful) && !e.Demoted }

// newEvidence returns what is known now.
func (c *OrderedPromotion) newEvidence(now time.Time) Evidence {
	return Evidence{
		Planned: c.planned, Primary: c.primary, Demoted: c.hasHolder(now), DemotionTried: c.holder.attempted,
		Silent: len(c.freeze.silentDomains), Forgetful: c.freeze.forgetful, Acknowledged: c.acknowledged, Vanished: describeVanished(now, c.vanished),
	}
}

// Evidence returns what was known when the target was chosen.
func (c *OrderedPromotion) Evidence() Evidence { return c.evidence }

// The switchover: the gateway of the primary holds new writes and waits for the running
// writes, the target reaches the primary's last offset, and then the steps of every
// promotion follow, with the target preferred among equal positions. If the switchover
// fails before the claim, the held writes are released. After the claim the group moves to
// a new term in any case, and the gateway sends the held writes to the primary of that
// term.

package failover

import "time"

// StartSwitchover starts a switchover to the target. It fails if this instance is not the
// group's coordinator, if a promotion is under way, or if the group has no working primary to
// switch from.
func (c *Coordinator) StartSwitchover(now time.Time, target string) error {
	switch u := c.upstream(c.group.Primary); {
	case !c.active:
		return Error.New("this instance is not the coordinator of the group")
	case c.step != StepIdle:
		return Error.New("a promotion of the group is under way, in step %s", c.step)
	case c.upstream(target) == nil:
		return Error.New("upstream %q is not in the group", target)
	case u == nil || !u.known || !u.status.Serves(c.group.Term):
		return Error.New("the group has no working primary to switch from")
	}
	c.release = Request{}
	c.attempt = attempt{
		planned: true, target: target, deadline: now.Add(c.options.Timing.SwitchoverTimeout),
		drainID: c.nextOp() + "/drain", drained: c.group.Primary,
	}
	c.enterStep(StepDrain)
	return nil
}

// claimIfCaughtUp claims a new term once the target holds everything that the primary has
// written.
func (c *Coordinator) claimIfCaughtUp(now time.Time) {
	u := c.upstream(c.attempt.target)
	if u == nil || !u.known || u.status.Fenced != c.group.Term {
		return
	}
	if p := u.status.Position; p.Term == c.group.Term && p.Offset >= c.attempt.drainedOffset {
		c.beginClaim(now, c.attempt)
	}
}

// automaticTarget returns the upstream to which the group should be switched over without an
// operator's request, or "". There are two causes: the primary is leaving or its failure
// domain is out; or an unfinished promotion left an upstream fenced at a higher term, which
// can follow again only in a new term.
func (c *Coordinator) automaticTarget(now time.Time) string {
	p := c.upstream(c.group.Primary)
	switch {
	case p == nil || p.Eligible:
		c.ineligibleSince = time.Time{}
	case c.ineligibleSince.IsZero():
		c.ineligibleSince = now
	}
	if p == nil || !p.known || !p.status.Serves(c.group.Term) {
		return ""
	}
	var best *upstreamState
	stuckAhead := false
	for i := range c.upstreams {
		u := &c.upstreams[i]
		if !u.known || now.Sub(u.sentAt) >= c.options.Timing.SuspectAfter {
			continue
		}
		stuckAhead = stuckAhead || u.status.Fenced > c.group.Term && now.Sub(c.claimSeen) >= c.options.Timing.RivalTimeout
		if u.Eligible && u.status.Fenced == c.group.Term && u.status.Position.Term == c.group.Term &&
			(best == nil || u.status.Position.Compare(best.status.Position) > 0) {
			best = u
		}
	}
	switch {
	case !p.Eligible && best != nil && now.Sub(c.ineligibleSince) >= c.options.Timing.SwitchoverDelay:
		return best.Name
	case stuckAhead:
		return p.Name
	}
	return ""
}

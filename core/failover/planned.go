// The planned switch: the gateway of the primary holds new writes and waits for the
// running ones, the target reaches the primary's last offset, and then the steps of
// every promotion follow, with the target preferred among equal positions. Writes
// are let go if the switch fails before the claim; after the claim the group moves
// to a new term in any case, and the gateway lets them go to its primary.

package failover

import "time"

// Switch starts a planned switch to an upstream. It fails if this coordinator does
// not lead, is busy, or if the group has no working primary to switch from.
func (c *Coordinator) Switch(now time.Time, target string) error {
	switch u := c.row(c.group.Primary); {
	case !c.lead:
		return Error.New("this instance does not coordinate the group")
	case c.step != StepIdle:
		return Error.New("a promotion is in step %s", c.step)
	case c.row(target) == nil:
		return Error.New("upstream %q is not in the group", target)
	case u == nil || !u.known || !u.status.Serves(c.group.Term):
		return Error.New("the group has no working primary")
	}
	c.release = Request{}
	c.try = attempt{
		planned: true, target: target, limit: now.Add(c.opt.Timing.Planned),
		drain: c.nextOp() + "/drain", held: c.group.Primary,
	}
	c.enter(StepDrain)
	return nil
}

// caughtUp claims once the target holds everything that the primary has written.
func (c *Coordinator) caughtUp(now time.Time) {
	u := c.row(c.try.target)
	if u == nil || !u.known || u.status.Fenced != c.group.Term {
		return
	}
	if p := u.status.Position; p.Term == c.group.Term && p.Offset >= c.try.offset {
		c.begin(now, c.try)
	}
}

// switchTarget names the upstream to which the group should be switched without
// being asked, or "". There are two causes: the primary is leaving or its failure
// domain is out; or a promotion that was not finished left an upstream fenced at a
// higher term, which can follow again only in a new term.
func (c *Coordinator) switchTarget(now time.Time) string {
	p := c.row(c.group.Primary)
	switch {
	case p == nil || p.Eligible:
		c.unfit = time.Time{}
	case c.unfit.IsZero():
		c.unfit = now
	}
	if p == nil || !p.known || !p.status.Serves(c.group.Term) {
		return ""
	}
	var best *row
	stuck := false
	for i := range c.rows {
		u := &c.rows[i]
		if !u.known || now.Sub(u.begun) >= c.opt.Timing.Suspect {
			continue
		}
		stuck = stuck || u.status.Fenced > c.group.Term && now.Sub(c.claimed) >= c.opt.Timing.Patience
		if u.Eligible && u.status.Fenced == c.group.Term && u.status.Position.Term == c.group.Term &&
			(best == nil || u.status.Position.Compare(best.status.Position) > 0) {
			best = u
		}
	}
	switch {
	case !p.Eligible && best != nil && now.Sub(c.unfit) >= c.opt.Timing.Spread:
		return best.Name
	case stuck:
		return p.Name
	}
	return ""
}

// The requests of each step. dueRequests compares the wanted state with what is known and
// returns the requests that are due. A request without a result becomes due again after a
// backoff.

package failover

import "time"

// dueRequests returns the requests of the present step that are due, with those that were
// added earlier.
func (c *Coordinator) dueRequests(now time.Time) []Request {
	switch c.step {
	case StepIdle:
		c.addIdleRequests(now)
	case StepDrain:
		if now.After(c.attempt.deadline) {
			c.abandonAttempt()
			break
		}
		c.addUpstreamRequest(now, c.group.Primary, Request{ID: c.attempt.drainID, Kind: KindDrain, Term: c.group.Term})
	case StepCatchup:
		if now.After(c.attempt.deadline) {
			c.abandonAttempt()
			break
		}
		c.addUpstreamRequest(now, c.attempt.target, Request{Kind: KindStatus, Offset: c.attempt.drainedOffset, Wait: c.options.Timing.PollInterval})
	case StepClaim:
		if c.attempt.planned && now.After(c.attempt.deadline) {
			c.abandonAttempt()
			break
		}
		c.addPut(now)
	case StepFence:
		for i := range c.upstreams {
			if u := &c.upstreams[i]; !u.known || u.status.Fenced < c.attempt.term {
				c.addUpstreamRequest(now, u.Name, Request{Kind: KindFence, Term: c.attempt.term})
			}
		}
	case StepRecord:
		c.addPut(now)
	case StepPromote:
		c.reconcileUpstreams(now)
	}
	if c.release.Kind != "" && c.takeIfDue(now, &c.releaseRetry) {
		c.requests = append(c.requests, c.release)
	}
	requests := c.requests
	c.requests = nil
	return requests
}

// addIdleRequests reads the group object if it has to be read, and makes the upstreams match
// it.
func (c *Coordinator) addIdleRequests(now time.Time) {
	if !c.active {
		return
	}
	if c.mustRead {
		c.addGet(now)
	}
	if c.groupKnown && c.group.Term > 0 && (c.group.Claim.Term == c.group.Term || now.Sub(c.claimSeen) >= c.options.Timing.RivalTimeout) {
		c.reconcileUpstreams(now)
	}
}

// reconcileUpstreams promotes the recorded primary and makes the others follow it. This also
// finishes the promotion of a coordinator that crashed after the record, and makes an old
// primary follow when it returns.
func (c *Coordinator) reconcileUpstreams(now time.Time) {
	g := c.group
	for i := range c.upstreams {
		u := &c.upstreams[i]
		s := u.status
		switch {
		case u.known && s.Fenced > g.Term:
			continue
		case c.step == StepIdle && (!u.known || now.Sub(u.sentAt) >= c.options.Timing.SuspectAfter):
			continue
		case u.Name == g.Primary && !s.Serves(g.Term):
			c.addUpstreamRequest(now, u.Name, Request{Kind: KindPromote, Term: g.Term, Start: g.Start()})
		case u.Name != g.Primary && (s.Fenced < g.Term || s.Role == RolePrimary || s.Position.Term < g.Term):
			c.addUpstreamRequest(now, u.Name, Request{
				Kind: KindFollow, Term: g.Term, Primary: g.Primary, Group: g, Cut: discardedEntries(g.History, s.Position),
			})
		}
	}
}

// putID returns the id of the conditional update of the current step, or "" if the step has
// none.
func (c *Coordinator) putID() string {
	if c.step != StepClaim && c.step != StepRecord {
		return ""
	}
	return c.attempt.op + "/" + string(c.step)
}

// groupToPut returns the value of the conditional update of the current step.
func (c *Coordinator) groupToPut() Group {
	if c.step == StepRecord {
		return c.attempt.record
	}
	return c.group.WithClaim(Claim{Term: c.attempt.term, Op: c.attempt.op, By: c.options.Self})
}

// addPut adds the conditional update of the current step. Before the update is sent again, the
// group object is read, because the first update may have taken effect.
func (c *Coordinator) addPut(now time.Time) {
	if c.mustRead {
		c.addGet(now)
		return
	}
	if !c.takeIfDue(now, &c.storeRetry) {
		return
	}
	c.mustRead = true
	c.requests = append(c.requests, Request{ID: c.putID(), Kind: KindPut, Group: c.groupToPut(), IfVersion: c.version})
}

// addGet adds a read of the group object if it is due.
func (c *Coordinator) addGet(now time.Time) {
	if c.takeIfDue(now, &c.storeRetry) {
		c.requests = append(c.requests, Request{Kind: KindGet})
	}
}

// addUpstreamRequest adds a request to an upstream if the upstream's retry is due.
func (c *Coordinator) addUpstreamRequest(now time.Time, name string, r Request) {
	u := c.upstream(name)
	if u == nil || !c.takeIfDue(now, &u.retry) {
		return
	}
	r.Upstream = name
	c.requests = append(c.requests, r)
}

// takeIfDue reports whether a request may be sent and, if so, sets the time of its repetition,
// with a jitter of up to a quarter so that rival coordinators do not stay in step.
func (c *Coordinator) takeIfDue(now time.Time, r *retry) bool {
	if now.Before(r.next) {
		return false
	}
	t := c.options.Timing
	r.wait = min(max(2*r.wait, t.RetryMin), t.RetryMax)
	r.next = now.Add(r.wait + time.Duration(c.rand.Int64N(int64(r.wait)/4+1)))
	return true
}

package node

// Watching primaries: a group's coordinator probes the primary while there is no other
// evidence that it works, and polls other instances before it treats the primary as lost.

import (
	"context"
	"errors"
	"time"

	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/core/placement"
	"burdockseam/core/wal"
	"burdockseam/io/gateway"
)

// run watches the groups that this instance coordinates, until the context ends.
func (ps *primaries) run(ctx context.Context) {
	for ctx.Err() == nil {
		ps.recordStep(ps.n.now())
		busy := false
		for _, name := range ps.groupNames() {
			busy = ps.stepGroup(ctx, name) || busy
		}
		d := idleInterval
		if busy {
			d = promotingInterval
		}
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-ps.wakeup:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// groupCount returns the number of groups that this instance has a view of.
func (ps *primaries) groupCount() int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return len(ps.groups)
}

func (ps *primaries) groupNames() []string {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	out := make([]string, 0, len(ps.groups))
	for name := range ps.groups {
		out = append(out, name)
	}
	return out
}

// stepGroup advances one group and reports whether a promotion is under way.
func (ps *primaries) stepGroup(ctx context.Context, name string) bool {
	coordinating := ps.n.coordinatorOf(name).Address == ps.n.self.Address && ps.n.ready.Load()
	s := ps.n.snapshot.Load()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	g := ps.group(name)
	ps.repeatClaimCheck(g, ps.n.now())
	if coordinating != g.coordinating {
		if g.coordinating = coordinating; coordinating {
			g.promotion.StartCoordinating(ps.n.now())
		}
		ps.n.log.Info("group: coordinator changed", "group", name, "acts", coordinating)
	}
	if !coordinating {
		for _, c := range g.promotion.StopCoordinating(ps.n.now()) {
			go ps.performCommand(ctx, g, c)
		}
	}
	if !coordinating && g.promotion.Phase() == failover.PhaseIdle || len(s.groups[name]) == 0 {
		return false
	}
	now := ps.n.now()
	ps.updateCandidates(g, s)
	g.promotion.SetContact(!ps.n.settings().Unfenced || ps.n.hadContact(contactTimeout))
	switch g.promotion.Phase() {
	case failover.PhaseIdle:
		ps.checkPrimary(ctx, g, s, now)
	case failover.PhaseSurvey, failover.PhasePause:
		if u := s.upstreams[g.primary]; u != nil && !g.probing && now.Sub(g.provedAt) >= primaryProbeAfter {
			g.probing = true
			go ps.probePrimary(ctx, g, u)
		}
	}
	for _, c := range g.promotion.Tick(now) {
		go ps.performCommand(ctx, g, c)
	}
	if p := g.promotion.Phase(); p != g.lastPhase {
		ps.n.log.Info("group: change of primary reached a phase", "group", name, "phase", p, "target", g.promotion.Target(), "took", now.Sub(g.begunAt))
		g.lastPhase = p
		if p == failover.PhaseOrder || p == failover.PhaseDemote {
			ps.recordChoice(g)
		}
	}
	ps.logWait(g, now)
	return g.promotion.Phase() != failover.PhaseIdle
}

// logWait logs what a change of primary waits for, at most every waitLogInterval. The caller holds the
// lock.
func (ps *primaries) logWait(g *group, now time.Time) {
	if now.Sub(g.waitLoggedAt) < waitLogInterval {
		return
	}
	least, highest, lacking := g.promotion.Lacking(now)
	awaited := g.promotion.Awaited(now)
	if !lacking && awaited == "" {
		return
	}
	g.waitLoggedAt = now
	if lacking {
		ps.n.metrics.increment("burdockseam_promotions_total{step=\"waiting\"}")
		ps.n.log.Info("group: change of primary waits for acknowledged commits", "group", g.name, "acknowledged", least.String(), "highest", highest.String(), "took", now.Sub(g.begunAt))
	}
	if awaited != "" {
		ps.n.metrics.increment("burdockseam_promotions_total{step=\"awaiting\"}")
		ps.n.log.Info("group: change of primary waits for upstreams without an entry", "group", g.name, "upstreams", awaited, "took", now.Sub(g.begunAt))
	}
}

// recordChoice logs the choice of a target and counts one that a commit may be missing from. The
// caller holds the lock.
func (ps *primaries) recordChoice(g *group) {
	e := g.promotion.Evidence()
	ps.n.log.Info("group: target chosen", "group", g.name, "target", g.promotion.Target(), "kept", g.promotion.KeptPosition().String(), "planned", e.Planned,
		"primary", e.Primary, "demoted", e.Demoted, "tried", e.DemotionTried, "silent", e.Silent, "forgetful", e.Forgetful,
		"least", e.Acknowledged.Least.String(), "most", e.Acknowledged.Most.String(), "vanished", e.Vanished)
	if e.Unconfirmed() {
		ps.n.metrics.increment("burdockseam_promotions_total{step=\"unconfirmed\"}")
	}
}

// checkPrimary decides whether the primary needs a probe or a promotion. The caller holds
// the lock.
func (ps *primaries) checkPrimary(ctx context.Context, g *group, s *snapshot, now time.Time) {
	u := s.upstreams[g.primary]
	switch {
	case u == nil:
		if now.Sub(g.missingSince) >= missingAfter {
			g.missingSince = now
			go ps.promoteIfMissing(g)
		}
	case !u.eligible && now.Sub(g.lastSwitchover) >= switchoverRetry:
		g.lastSwitchover = now
		why := "primary is leaving"
		if u.State == config.StateActive {
			why = "failure domain is out"
		}
		ps.startPromotion(g, true, why)
	case now.Sub(g.provedAt) >= primaryProbeAfter && !g.probing && now.Sub(g.promotedAt) >= promotionGrace/4:
		g.probing = true
		go ps.probePrimary(ctx, g, u)
	}
}

// promoteIfMissing starts a promotion in a group in which no upstream is the primary.
func (ps *primaries) promoteIfMissing(g *group) {
	ps.locatePrimary(g.name, false)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if g.primary == "" {
		ps.startPromotion(g, false, "no primary")
	}
}

// probePrimary probes the primary over a separate connection and reports it if it does not
// answer.
func (ps *primaries) probePrimary(ctx context.Context, g *group, u *upstream) {
	err := ps.tryProbePrimary(ctx, g, u)
	if err != nil {
		// The connection may have been closed for a reason that does not concern the
		// primary.
		err = ps.tryProbePrimary(ctx, g, u)
	}
	ps.mu.Lock()
	g.probing = false
	ps.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		ps.n.log.Info("group: primary does not answer", "group", g.name, "primary", u.Name, "err", err.Error())
		ps.checkSuspect(g.name, u.Name, reasonUnreachable)
	}
}

// tryProbePrimary begins and rolls back a transaction at the primary. An error means that the
// primary gave no answer.
func (ps *primaries) tryProbePrimary(ctx context.Context, g *group, u *upstream) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	t := ps.controlTarget(u)
	ps.mu.Lock()
	c := g.prober
	g.prober = nil
	ps.mu.Unlock()
	if c != nil && !c.Usable() {
		c.Close()
		c = nil
	}
	if c == nil {
		var err error
		if c, err = ps.n.platform.Dialer.Dial(ctx, t.Address, t.Group, t.Team, t.Upstream); err != nil {
			if isUpstreamRefusal(err) {
				return nil
			}
			return err
		}
	}
	sent := ps.n.now()
	deadline := sent.Add(probeTimeout)
	a, err := c.Begin(deadline, false, wal.Position{})
	if err != nil {
		c.Close()
		return err
	}
	if a.Code != "" {
		c.Close()
		if a.Code == "readonly" {
			ps.recordRefusal(u)
		}
		return nil
	}
	ps.recordProof(g.name, u.Name, sent, a.Position, ps.n.now(), false)
	if _, err := c.Rollback(deadline); err != nil {
		c.Close()
		return nil
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if g.primary != u.Name || g.prober != nil {
		c.Close()
		return nil
	}
	g.prober = c
	return nil
}

// controlTarget returns the destination of control statements to an upstream.
func (ps *primaries) controlTarget(u *upstream) failover.ControlTarget {
	team := ""
	for name := range ps.n.snapshot.Load().policy.Teams {
		if team == "" || name < team {
			team = name
		}
	}
	return failover.ControlTarget{Group: u.Group, Upstream: u.Name, Address: u.Address, Team: team}
}

// answerProbe probes an upstream on behalf of another instance.
func (ps *primaries) answerProbe(t failover.ControlTarget) ProbeReply {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	isPrimary, position, err := ps.n.platform.Controls.IsPrimary(ctx, t)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	g := ps.group(t.Group)
	return ProbeReply{Reached: err == nil || isUpstreamRefusal(err), Leads: isPrimary, Commit: ps.n.now().Sub(g.lastCommit), Known: !g.lastCommit.IsZero(), Position: position}
}

// isUpstreamRefusal reports whether an error is an upstream's own refusal, which shows that
// the upstream is reachable.
func isUpstreamRefusal(err error) bool {
	var r gateway.RefusedError
	return errors.As(err, &r) && r.Code != "misrouted"
}

// checkSuspect checks a primary that was reported as lost. It polls other instances, and
// starts a promotion if most of them do not reach the primary or see no commits.
func (ps *primaries) checkSuspect(name, upstream, reason string) {
	u := ps.n.snapshot.Load().upstreams[upstream]
	ps.mu.Lock()
	g := ps.group(name)
	if !g.coordinating || g.pollingWitnesses || u == nil || g.primary != upstream || g.promotion.Phase() != failover.PhaseIdle {
		ps.mu.Unlock()
		return
	}
	g.pollingWitnesses = true
	ps.mu.Unlock()
	go func() {
		lost, votes := ps.pollWitnesses(ps.controlTarget(u), reason)
		ps.mu.Lock()
		defer ps.mu.Unlock()
		g.pollingWitnesses = false
		ps.n.log.Info("group: primary checked by witnesses", "group", name, "primary", upstream, "why", reason, "lost", lost, "votes", votes)
		if 2*lost > votes && g.primary == upstream {
			ps.startPromotion(g, false, reason)
		}
	}()
}

// pollWitnesses probes a primary from this and other instances. It returns the numbers of
// instances that consider it lost and of those that answered.
func (ps *primaries) pollWitnesses(t failover.ControlTarget, reason string) (lost, votes int) {
	addresses := ps.chooseWitnesses(t.Group)
	replies := make(chan *ProbeReply, len(addresses)+1)
	go func() { r := ps.answerProbe(t); replies <- &r }()
	for _, address := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+pingTimeout/4)
			defer cancel()
			var r ProbeReply
			if err := ps.n.peers.Call(ctx, address, "Node.Probe", t, &r); err != nil {
				ps.n.recordNoAnswer(address, err)
				replies <- nil
				return
			}
			replies <- &r
		}()
	}
	repliesOfOthers := 0
	for k := range len(addresses) + 1 {
		r := <-replies
		if r == nil {
			continue
		}
		votes++
		repliesOfOthers += min(k, 1)
		switch {
		case reason == reasonUnreachable && !r.Reached, reason != reasonUnreachable && (!r.Known || r.Commit > recentCommitAge):
			lost++
		}
	}
	if reason != reasonUnreachable && lost < votes {
		lost = 0 // a recent commit at any instance shows that commits are acknowledged
	}
	if len(ps.n.snapshot.Load().instances) > 1 && votes < 2 {
		return 0, votes // without another witness, this instance itself may be cut off
	}
	return lost, votes
}

// chooseWitnesses chooses instances from as many failure domains as possible.
func (ps *primaries) chooseWitnesses(key string) []string {
	alive := make(map[string]bool)
	for _, address := range ps.n.answeringPeers() {
		alive[address] = true
	}
	var out, rest []string
	seen := make(map[string]bool)
	ps.n.snapshot.Load().ranks.Walk(key, placement.Place{}, func(i placement.Instance) bool {
		switch {
		case !alive[i.Address]:
		case seen[i.Domain]:
			rest = append(rest, i.Address)
		default:
			seen[i.Domain] = true
			out = append(out, i.Address)
		}
		return len(out) < witnessCount
	})
	out = append(out, rest...)
	return out[:min(len(out), witnessCount)]
}

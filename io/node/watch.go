package node

// Watching primaries: the instance that acts for a group looks at its primary while there
// is no other evidence, and has a suspicion confirmed by other instances.

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

// run watches the groups for which this instance acts until the context ends.
func (l *leaders) run(ctx context.Context) {
	for ctx.Err() == nil {
		busy := false
		for _, name := range l.names() {
			busy = l.step(ctx, name) || busy
		}
		d := tickIdle
		if busy {
			d = tickBusy
		}
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-l.kick:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (l *leaders) names() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]string, 0, len(l.groups))
	for name := range l.groups {
		out = append(out, name)
	}
	return out
}

// step moves one group on and reports whether a change is under way.
func (l *leaders) step(ctx context.Context, name string) bool {
	acting := l.n.acting(name).Address == l.n.self.Address && l.n.ready.Load()
	s := l.n.snapshot.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(name)
	if acting != g.acts {
		if g.acts = acting; acting {
			g.change.StartCoordinating(l.n.now())
		}
		l.n.log.Info("group: acting instance", "group", name, "acts", acting)
	}
	if !acting {
		for _, c := range g.change.StopCoordinating(l.n.now()) {
			go l.perform(ctx, g, c)
		}
	}
	if !acting && g.change.Phase() == failover.PhaseIdle || len(s.groups[name]) == 0 {
		return false
	}
	now := l.n.now()
	l.members(g, s)
	switch g.change.Phase() {
	case failover.PhaseIdle:
		l.look(ctx, g, s, now)
	case failover.PhaseSurvey, failover.PhasePause:
		if u := s.upstreams[g.leader]; u != nil && !g.probing && now.Sub(g.proved) >= watchLeader {
			g.probing = true
			go l.probe(ctx, g, u)
		}
	}
	for _, c := range g.change.Tick(now) {
		go l.perform(ctx, g, c)
	}
	if p := g.change.Phase(); p != g.lastPhase {
		l.n.log.Info("group: change of primary", "group", name, "phase", p, "target", g.change.Target(), "took", now.Sub(g.ordered))
		g.lastPhase = p
	}
	return g.change.Phase() != failover.PhaseIdle
}

// look decides whether the primary needs a look or a change. The lock is held.
func (l *leaders) look(ctx context.Context, g *group, s *snapshot, now time.Time) {
	u := s.upstreams[g.leader]
	switch {
	case u == nil:
		if now.Sub(g.missing) >= absentAfter {
			g.missing = now
			go l.absent(g)
		}
	case !u.fit && now.Sub(g.tried) >= plannedRetry:
		g.tried = now
		why := "primary is leaving"
		if u.State == config.StateActive {
			why = "failure domain is out"
		}
		l.begin(g, true, why)
	case now.Sub(g.proved) >= watchLeader && !g.probing && now.Sub(g.promoted) >= promotionTime/4:
		g.probing = true
		go l.probe(ctx, g, u)
	}
}

// absent promotes an upstream of a group in which none leads.
func (l *leaders) absent(g *group) {
	l.locate(g.name)
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.leader == "" {
		l.begin(g, false, "no primary")
	}
}

// probe looks at the primary over a connection of its own.
func (l *leaders) probe(ctx context.Context, g *group, u *upstream) {
	err := l.tryProbe(ctx, g, u)
	if err != nil {
		// A connection may have ended for reasons of its own.
		err = l.tryProbe(ctx, g, u)
	}
	l.mu.Lock()
	g.probing = false
	l.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		l.n.log.Info("group: primary does not answer", "group", g.name, "primary", u.Name, "err", err.Error())
		l.suspect(g.name, u.Name, reasonUnreachable)
	}
}

func (l *leaders) tryProbe(ctx context.Context, g *group, u *upstream) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	t := l.target(u)
	l.mu.Lock()
	c := g.prober
	g.prober = nil
	l.mu.Unlock()
	if c != nil && !c.Usable() {
		c.Close()
		c = nil
	}
	if c == nil {
		var err error
		if c, err = l.n.platform.Dialer.Dial(ctx, t.Address, t.Group, t.Team, t.Upstream); err != nil {
			if refusedBy(err) {
				return nil
			}
			return err
		}
	}
	sent := l.n.now()
	deadline := sent.Add(probeTimeout)
	a, err := c.Begin(deadline, false, wal.Position{})
	if err != nil {
		c.Close()
		return err
	}
	if a.Code != "" {
		c.Close()
		if a.Code == "readonly" {
			l.refused(u)
		}
		return nil
	}
	l.proved(g.name, u.Name, sent, a.Position, l.n.now(), false)
	if _, err := c.Rollback(deadline); err != nil {
		c.Close()
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.leader != u.Name || g.prober != nil {
		c.Close()
		return nil
	}
	g.prober = c
	return nil
}

// target describes an upstream for control statements.
func (l *leaders) target(u *upstream) failover.ControlTarget {
	team := ""
	for name := range l.n.snapshot.Load().policy.Teams {
		if team == "" || name < team {
			team = name
		}
	}
	return failover.ControlTarget{Group: u.Group, Upstream: u.Name, Address: u.Address, Team: team}
}

// probeFor looks at an upstream for another instance.
func (l *leaders) probeFor(t failover.ControlTarget) ProbeReply {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	leads, _, err := l.n.platform.Controls.Leads(ctx, t)
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(t.Group)
	return ProbeReply{Reached: err == nil || refusedBy(err), Leads: leads, Commit: l.n.now().Sub(g.commit), Known: !g.commit.IsZero()}
}

// refusedBy reports whether an error is an answer of the upstream.
func refusedBy(err error) bool {
	var r gateway.Refused
	return errors.As(err, &r) && r.Code != "misrouted"
}

// suspect checks a primary that was reported as lost, with the help of other instances,
// and begins a change if most of them do not reach it or see no commits.
func (l *leaders) suspect(name, upstream, reason string) {
	u := l.n.snapshot.Load().upstreams[upstream]
	l.mu.Lock()
	g := l.group(name)
	if !g.acts || g.checking || u == nil || g.leader != upstream || g.change.Phase() != failover.PhaseIdle {
		l.mu.Unlock()
		return
	}
	g.checking = true
	l.mu.Unlock()
	go func() {
		lost, votes := l.vote(l.target(u), reason)
		l.mu.Lock()
		defer l.mu.Unlock()
		g.checking = false
		l.n.log.Info("group: primary checked", "group", name, "primary", upstream, "why", reason, "lost", lost, "votes", votes)
		if 2*lost > votes && g.leader == upstream {
			l.begin(g, false, reason)
		}
	}()
}

// vote asks this and other instances about an upstream.
func (l *leaders) vote(t failover.ControlTarget, reason string) (lost, votes int) {
	addresses := l.witnesses(t.Group)
	replies := make(chan *ProbeReply, len(addresses)+1)
	go func() { r := l.probeFor(t); replies <- &r }()
	for _, address := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+pingTimeout/4)
			defer cancel()
			var r ProbeReply
			if err := l.n.peers.Call(ctx, address, "Node.Probe", t, &r); err != nil {
				l.n.unanswered(address, err)
				replies <- nil
				return
			}
			replies <- &r
		}()
	}
	others := 0
	for k := range len(addresses) + 1 {
		r := <-replies
		if r == nil {
			continue
		}
		votes++
		others += min(k, 1)
		switch {
		case reason == reasonUnreachable && !r.Reached, reason != reasonUnreachable && (!r.Known || r.Commit > commitRecent):
			lost++
		}
	}
	if reason != reasonUnreachable && lost < votes {
		lost = 0 // a commit anywhere shows that commits are acknowledged
	}
	if len(l.n.snapshot.Load().instances) > 1 && votes < 2 {
		return 0, votes // alone, this instance may be the one that is cut off
	}
	return lost, votes
}

// witnesses chooses instances of as many failure domains as possible.
func (l *leaders) witnesses(key string) []string {
	alive := make(map[string]bool)
	for _, address := range l.n.others() {
		alive[address] = true
	}
	var out, rest []string
	seen := make(map[string]bool)
	l.n.snapshot.Load().first.Walk(key, placement.Place{}, func(i placement.Instance) bool {
		switch {
		case !alive[i.Address]:
		case seen[i.Domain]:
			rest = append(rest, i.Address)
		default:
			seen[i.Domain] = true
			out = append(out, i.Address)
		}
		return len(out) < witnesses
	})
	out = append(out, rest...)
	return out[:min(len(out), witnesses)]
}

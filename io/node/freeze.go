package node

// Freezes: while a primary is being replaced, the instances that acknowledge its commits have told
// the coordinator which ones, and pass no others on until they know what the promotion keeps.

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/failover"
)

const (
	// heldCommitInterval is the time between two checks of a commit that waits.
	heldCommitInterval = 20 * time.Millisecond
	// suspendedAfter is the time without a step of the loop after which the process counts as
	// suspended, so that it may have missed a freeze.
	suspendedAfter = time.Second
	// handOverTimeout bounds the last calls of an instance that ends. It is below exitReserve.
	handOverTimeout = 300 * time.Millisecond
	// waitLogInterval is the time between two log lines of a change that waits.
	waitLogInterval = 5 * time.Second
	// newInstanceAge is the age up to which other instances may not know an instance.
	newInstanceAge = 3 * time.Second
)

// freeze freezes the commits of a group at this instance and tells which were acknowledged before.
func (ps *primaries) freeze(r FreezeRequest) failover.FreezeAnswer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	g, now := ps.group(r.Group), ps.n.now()
	if r.Token > g.frozen.Token || r.Token == g.frozen.Token && r.Term > g.frozen.Term {
		ps.n.log.Info("group: commits frozen", "group", g.name, "primary", g.primary, "term", r.Term, "token", r.Token,
			"least", g.gate.Acknowledged().Least.String(), "most", g.gate.Acknowledged().Most.String())
	}
	if r.Token >= g.frozen.Token {
		g.frozen, g.frozenAt = r, now
	}
	g.gate.Freeze(now, r.Term, r.Token)
	return g.gate.Answer(now, ps.startedAt, g.term)
}

// activeFreezes returns the freezes that may not have ended.
func (ps *primaries) activeFreezes() []FreezeRequest {
	if ps.n.settings().Unfenced {
		return nil
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var list []FreezeRequest
	for _, g := range ps.groups {
		if g.frozen.Token > 0 && g.term <= g.frozen.Term && ps.n.now().Sub(g.frozenAt) < failover.FreezeTimeout {
			list = append(list, g.frozen)
		}
	}
	return list
}

// freezeGateways freezes the commits of a group at all instances and passes on what they have
// acknowledged. Instances that have not answered for a while are not waited for.
func (ps *primaries) freezeGateways(ctx context.Context, g *group, c failover.Command) {
	sent, r := ps.n.now(), FreezeRequest{g.name, c.Term, c.Token}
	answers := []failover.FreezeAnswer{ps.freeze(r)}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	type answer struct {
		address string
		reply   *FreezeReply // nil without one
		late    bool         // the instance was not expected to answer
	}
	s := ps.n.snapshot.Load()
	instances := slices.Concat(s.instances, s.leaving) // an instance that leaves finishes its work
	results := make(chan answer, len(instances))
	expected, silent := 0, make(map[string]string) // failure domains by address
	for _, i := range instances {
		if i.Address == ps.n.self.Address {
			continue
		}
		late := ps.n.isSuspect(i.Address)
		silent[i.Address] = i.Domain
		if !late {
			expected++
		}
		go func() {
			var reply FreezeReply
			if err := ps.n.peers.Call(ctx, i.Address, "Node.Freeze", r, &reply); err != nil {
				results <- answer{i.Address, nil, late}
				return
			}
			results <- answer{i.Address, &reply, late}
		}()
	}
	for expected > 0 {
		a := <-results
		if !a.late {
			expected--
		}
		if a.reply != nil {
			delete(silent, a.address)
			answers = append(answers, a.reply.Answer)
		}
	}
	var acknowledged failover.Acknowledged
	for _, a := range answers {
		acknowledged = acknowledged.Join(a.Acknowledged)
	}
	ps.n.log.Info("group: gateways frozen", "group", g.name, "term", c.Term, "token", c.Token, "instances", len(instances), "silent", len(silent), "least", acknowledged.Least.String(), "most", acknowledged.Most.String(), "took", ps.n.now().Sub(sent))
	ps.handleResult(func(now time.Time) {
		g.promotion.HandleFreeze(now, sent, c, answers, slices.Collect(maps.Values(silent)))
	})
}

// isSuspect reports whether an instance has not answered for a while.
func (n *Node) isSuspect(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.peerStates[address]
	return r != nil && r.suspect
}

// passCommit returns the reply to a commit that succeeded, or InDoubt if a promotion may drop the
// commit. It waits while that is not known.
func (n *Node) passCommit(ctx context.Context, r call.Request, reply call.Reply) call.Reply {
	if reply.Sample == nil {
		return reply // a commit without writes
	}
	commit := failover.CommitBounds(reply.Sample.Before, reply.Position)
	if n.settings().Unfenced {
		n.primaries.recordAcknowledged(r.Group, commit)
		return reply // confirmCommit and the announcement of the promotion decide
	}
	ctx, cancel := context.WithTimeout(ctx, r.Budget)
	defer cancel()
	switch absent := n.primaries.mayHaveMissedFreeze(reply.Sample.Age); {
	case len(n.snapshot.Load().instances) == 1:
	case absent == isNew && n.contactAt.Load() == nil:
		n.askForContact(ctx, n.now()) // in a fleet that starts, most others may not answer yet
	case absent == notAbsent && n.hearsMost():
	case !n.askForContact(ctx, n.now()):
		return n.doubtCommit(r, reply, "this instance may have missed that the primary is being replaced")
	}
	for {
		switch n.primaries.passage(r.Group, commit) {
		case failover.PassageOpen:
			return reply
		case failover.PassageInDoubt:
			return n.doubtCommit(r, reply, "the primary is being replaced")
		}
		if sleep(ctx, heldCommitInterval); ctx.Err() != nil {
			return n.doubtCommit(r, reply, "the primary is being replaced")
		}
	}
}

// hearsMost reports whether this instance had contact to most of the fleet a short time ago, so that
// it has heard of each freeze, or relies on the store because most of the fleet may be lost. In a
// large fleet, the watchers tell of contact, which takes longer.
func (n *Node) hearsMost() bool {
	s, now := n.snapshot.Load(), n.now()
	if len(s.instances) <= smallFleetSize && now.Sub(n.lastContact(s, now)) < freshContact {
		return true
	}
	if len(s.instances) > smallFleetSize && n.hadContact(contactTimeout) {
		return true
	}
	return !n.hadContact(contactTimeout) && n.isRecent(n.storeContactAt.Load(), contactTimeout)
}

// doubtCommit returns the reply to a commit that the caller must not rely on.
func (n *Node) doubtCommit(r call.Request, reply call.Reply, why string) call.Reply {
	n.log.Info("route: commit may be dropped by a promotion", "id", r.Statement.ID, "upstream", r.Upstream, "position", reply.Position.String(), "why", why)
	n.metrics.increment("burdockseam_unconfirmed_total")
	return call.Reply{Ran: call.RanMaybe, Load: reply.Load, Answer: call.Answer{Code: call.InDoubt, Text: why}}
}

// passage asks the group's gate about a commit.
func (ps *primaries) passage(name string, commit failover.Acknowledged) failover.Passage {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	g := ps.group(name)
	return g.gate.Pass(ps.n.now(), g.term, commit)
}

// recordAcknowledged records a commit that is acknowledged whatever the group's gate says.
func (ps *primaries) recordAcknowledged(name string, commit failover.Acknowledged) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.group(name).gate.Record(ps.n.now(), commit)
}

// absence says why an instance may have missed a freeze.
type absence string

// The absences.
const (
	notAbsent    absence = ""
	wasSuspended absence = "suspended" // the process was suspended during the commit
	isNew        absence = "new"       // a coordinator may not know the instance yet
)

// mayHaveMissedFreeze reports whether this instance may have missed a freeze during a commit that
// has taken the given time.
func (ps *primaries) mayHaveMissedFreeze(took time.Duration) absence {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	switch now := ps.n.now(); {
	case now.Sub(ps.steppedAt) >= suspendedAfter, now.Add(-took).Before(ps.wokeAt):
		return wasSuspended
	case now.Sub(ps.startedAt) < newInstanceAge:
		return isNew
	}
	return notAbsent
}

// recordStep records a step of the loop.
func (ps *primaries) recordStep(now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if now.Sub(ps.steppedAt) >= suspendedAfter {
		ps.wokeAt = now
	}
	ps.steppedAt = now
}

// learnAcknowledged records commits that another instance has acknowledged, by group.
func (ps *primaries) learnAcknowledged(list map[string]failover.Acknowledged) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for name, a := range list {
		ps.group(name).gate.Learn(a)
	}
}

// handOverAcknowledged tells the coordinators which commits this instance, which is about to end,
// has acknowledged.
func (ps *primaries) handOverAcknowledged(ctx context.Context) {
	known := make(map[string]failover.Acknowledged)
	ps.mu.Lock()
	for name, g := range ps.groups {
		if a := g.gate.Acknowledged(); a != (failover.Acknowledged{}) {
			known[name] = a
		}
	}
	ps.mu.Unlock()
	notices := make(map[string]LeaveNotice)
	for name, a := range known {
		address := ps.n.coordinatorOf(name).Address
		if notices[address].Acknowledged == nil {
			notices[address] = LeaveNotice{ps.n.self.Address, make(map[string]failover.Acknowledged)}
		}
		notices[address].Acknowledged[name] = a
	}
	delete(notices, ps.n.self.Address)
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for address, notice := range notices {
		calls.Go(func() {
			if err := ps.n.peers.Call(ctx, address, "Node.Leave", notice, &Empty{}); err != nil {
				ps.n.log.Info("shutdown: acknowledged commits not handed over", "peer", address, "groups", len(notice.Acknowledged), "err", err.Error())
			}
		})
	}
	calls.Wait()
}

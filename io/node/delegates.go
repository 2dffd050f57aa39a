package node

// Rate limits of teams whose local part would be too small, in a large fleet. Each
// instance delegates its part of all limits to a collector of its failure domain, and requests
// tokens from the collector that answers. Neither the store nor a lease is involved. The state
// has a lock of its own. While no team is limited in this way nothing is sent.
// docs/design/limits.md describes the design.

import (
	"context"
	"maps"
	"sync"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/config"
	"burdockseam/core/quota"
)

const (
	// tokenWaitShare is the part of a route's target latency for which an operation waits for a
	// token.
	tokenWaitShare = 8
	// minTokenWait is the least bound of that wait: two round trips between regions.
	minTokenWait = 50 * time.Millisecond
	// silentFailures is the number of consecutive calls without an answer after which another
	// collector is preferred, for silentTime.
	silentFailures = 2
	silentTime     = 2 * time.Second
	// cutOffAfter is the time without contact to the store and to most of the fleet after which
	// an instance delegates nothing. It is below removeLostAfter: the others may then count the
	// fleet without this instance.
	cutOffAfter = 20 * time.Second
	// countedDelay is the time after an instance has contact and an object again before it
	// delegates its part: by then the others count it.
	countedDelay = 5 * time.Second
	// chooseInterval is the time between two choices of the collectors while nothing changes.
	chooseInterval = 500 * time.Millisecond
	// silentPingInterval is the time between two pings of collectors that do not answer.
	silentPingInterval = time.Second
)

// delegates is an instance's share in the limits by delegated parts: its own part, its tokens,
// and its work as a collector.
type delegates struct {
	n *Node

	mu        sync.Mutex
	modes     *quota.Modes
	inputs    delegateInputs
	nextMode  time.Time              // when the pause of a team ends; zero if there is none
	teams     map[string]config.Team // those that are limited by delegated parts
	spare     float64                // as the collector was configured
	owned     map[string]config.Team // the others
	ways      uint64                 // number of changes of owned
	holder    *quota.Holder
	collector *quota.Collector
	delegator *quota.Delegator
	preferred string // collector that is asked for tokens
	waiting   map[uint64]chan quota.Decision
	arrived   chan struct{}         // closed and replaced when transferred tokens arrive
	silent    map[string]silentPeer // by address
	closed    bool
	chosen    collectorChoice
	chosenAt  time.Time // when chosen was made; zero if it must be made again
	pingedAt  time.Time // when silent collectors were last pinged
	steppedAt time.Time
	// uncountedAt is when others may last have counted the fleet without this instance.
	uncountedAt time.Time
}

// collectorChoice is the choice of collectors for a snapshot.
type collectorChoice struct {
	snapshot  *snapshot
	preferred string
	lenders   []string
}

// delegateInputs are the inputs that tell how each team is limited.
type delegateInputs struct {
	version uint64
	fleet   quota.Fleet
}

// silentPeer is a collector that has left calls unanswered.
type silentPeer struct {
	failures int
	at       time.Time
}

func newDelegates(n *Node) *delegates {
	return &delegates{
		n: n, modes: quota.NewModes(), holder: quota.NewHolder(n.self.ID, 1),
		collector: quota.NewCollector(n.now(), n.self.ID, n.self.Address), delegator: quota.NewDelegator(n.self.ID, n.self.Address),
		waiting: make(map[uint64]chan quota.Decision), arrived: make(chan struct{}), silent: make(map[string]silentPeer),
	}
}

// configure divides the teams by the way in which they are limited. It returns those that are
// not limited by delegated parts, and the number of changes of these.
func (d *delegates) configure(s *snapshot) (owned map[string]config.Team, ways uint64) {
	fleet := quota.Fleet{
		Instances: s.runningInstances, Spare: d.n.settings().BurstAllowance * allowanceShare,
		Delegates: s.delegates, Complete: d.n.tables.complete(),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.n.now()
	in := delegateInputs{s.policy.Version, fleet}
	if in == d.inputs && (d.nextMode.IsZero() || now.Before(d.nextMode)) {
		return d.owned, d.ways
	}
	d.inputs = in
	teams := make(map[string]config.Team, len(s.policy.Teams))
	for name, t := range s.policy.Teams {
		teams[name] = t.Team
	}
	owned, delegated, next := d.modes.Update(now, fleet, teams)
	d.nextMode = next
	if !maps.Equal(owned, d.owned) {
		d.owned = owned
		d.ways++
	}
	if maps.Equal(delegated, d.teams) && fleet.Spare == d.spare {
		return owned, d.ways
	}
	if len(delegated) == 0 != (len(d.teams) == 0) {
		d.n.log.Info("limit: parts delegated", "teams", len(delegated), "instances", s.runningInstances, "supported", s.delegates)
	}
	d.teams, d.spare = delegated, fleet.Spare
	d.collector.Configure(now, delegated, fleet.Spare)
	d.holder.Configure(now, delegated)
	return owned, d.ways
}

// limits reports whether a team is limited by delegated parts.
func (d *delegates) limits(team string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.teams[team]
	return ok
}

// collectorOf returns the collector that is asked for tokens of a team, or "" if the team is not
// limited by delegated parts.
func (d *delegates) collectorOf(team string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.teams[team]; !ok {
		return ""
	}
	return d.preferred
}

// run advances the state until the context ends.
func (d *delegates) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, quota.CollectorInterval)
		d.step()
	}
}

// step renews the delegation, advances the collector and requests tokens and transfers.
func (d *delegates) step() {
	d.mu.Lock()
	idle := len(d.teams) == 0 && d.delegator.Collector() == ""
	due := !d.nextMode.IsZero() && !d.n.now().Before(d.nextMode)
	d.mu.Unlock()
	if due {
		d.n.buildMu.Lock() // an older snapshot must not replace a newer one
		d.n.limits.configure(d.n.snapshot.Load())
		d.n.buildMu.Unlock()
	}
	if idle {
		return
	}
	s := d.n.snapshot.Load()
	d.pingSilent(s)
	preferred, lenders := d.currentCollectors(s)
	cutOff := d.n.storeless() && !d.n.hadContact(cutOffAfter)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.n.now()
	if cutOff || s.objectNames[d.n.self.Address] == "" || !d.steppedAt.IsZero() && now.Sub(d.steppedAt) > cutOffAfter {
		d.uncountedAt = now
	}
	d.steppedAt = now
	cutOff = !d.uncountedAt.IsZero() && now.Sub(d.uncountedAt) < countedDelay
	if preferred != d.preferred {
		d.n.log.Info("limit: collector", "collector", preferred, "before", d.preferred)
		d.n.metrics.increment("burdockseam_limit_collectors_total")
		d.preferred = preferred
	}
	if !d.closed {
		d.holder.SetOwner(now, onlyShard, preferred, 1)
	}
	d.delegate(now, cutOff)
	d.collector.SetLenders(lenders)
	d.collector.Step(now)
	d.transfer(now)
	if !d.closed {
		d.apply(d.holder.Tick(now))
	}
}

// currentCollectors returns the collectors to ask. They are chosen again for a new snapshot, after
// a failed call, and every chooseInterval, since the choice walks over the whole fleet.
func (d *delegates) currentCollectors(s *snapshot) (preferred string, lenders []string) {
	d.mu.Lock()
	now := d.n.now()
	if d.chosen.snapshot == s && now.Sub(d.chosenAt) < chooseInterval {
		defer d.mu.Unlock()
		return d.chosen.preferred, d.chosen.lenders
	}
	d.chosenAt = now
	d.mu.Unlock()
	preferred, lenders = d.chooseCollectors()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chosen = collectorChoice{s, preferred, lenders}
	return preferred, lenders
}

// delegate sends the delegation that is due. The caller holds the lock.
func (d *delegates) delegate(now time.Time, cutOff bool) {
	target, part := d.preferred, d.modes.Part(now)
	if len(d.teams) == 0 || part == 0 || cutOff {
		target = ""
	}
	to, m, due := d.delegator.Step(now, target, part)
	if !due {
		return
	}
	if to == d.n.self.Address {
		if d.delegator.HandleReply(now, to, m, d.collector.Delegate(now, m)) {
			d.delegate(now, cutOff)
		}
		return
	}
	go d.sendDelegation(to, m, cutOff)
}

func (d *delegates) sendDelegation(to string, m quota.Delegation, cutOff bool) {
	var reply quota.DelegationReply
	if err := d.call(to, "Node.Delegate", m, &reply); err != nil {
		return // the delegator repeats it
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := d.n.now(); d.delegator.HandleReply(now, to, m, reply) {
		d.delegate(now, cutOff)
	}
}

// takeToken takes a token in the way in which the team is limited.
func (n *Node) takeToken(ctx context.Context, g access.Grant) (retry time.Duration, ok bool) {
	if n.delegates.limits(g.Team.Name) {
		return n.delegates.takeToken(ctx, g.Team.Name, g.Route.Priority, g.Route.TargetLatency/tokenWaitShare)
	}
	return n.limits.takeToken(ctx, g.Team.Name, g.Route.TargetLatency/2)
}

// takeToken takes a token for an operation, and waits for it for maxWait at most. Without a
// token it returns the time after which another attempt is worthwhile.
func (d *delegates) takeToken(ctx context.Context, team string, priority int, maxWait time.Duration) (retry time.Duration, ok bool) {
	d.mu.Lock()
	maxWait = max(minTokenWait, maxWait)
	decision := d.holder.TakeTokenFor(d.n.now(), team, priority, maxWait)
	decided := make(chan quota.Decision, 1)
	if decision.Outcome == quota.Waiting {
		d.waiting[decision.Ticket] = decided
	}
	if decision.TickNow && !d.closed {
		d.apply(d.holder.Tick(d.n.now()))
	}
	d.mu.Unlock()
	switch decision.Outcome {
	case quota.Granted:
		d.n.metrics.countLimitOutcome("delegated")
		return 0, true
	case quota.Refused:
		return decision.Retry, false
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case decision = <-decided:
	case <-timer.C:
		decision = d.cancel(team, decision.Ticket, decided)
	case <-ctx.Done():
		decision = d.cancel(team, decision.Ticket, decided)
	}
	if decision.Outcome == quota.Granted {
		d.n.metrics.countLimitOutcome("collected")
		return 0, true
	}
	return decision.Retry, false
}

// cancel withdraws an operation that waits, unless it is decided already.
func (d *delegates) cancel(team string, ticket uint64, decided chan quota.Decision) quota.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case decision := <-decided:
		return decision
	default:
	}
	delete(d.waiting, ticket)
	d.holder.CancelRequest(team, ticket)
	return quota.Decision{Outcome: quota.Refused, Retry: d.holder.RetryHint(d.n.now(), team)}
}

// apply delivers the decisions and sends the requests of the quota holder. The caller holds the
// lock.
func (d *delegates) apply(out quota.Output) {
	for _, decision := range out.Decisions {
		if decided := d.waiting[decision.Ticket]; decided != nil {
			delete(d.waiting, decision.Ticket)
			decided <- decision
		}
	}
	for _, r := range out.Requests {
		go d.request(r)
	}
}

// request sends a request to a collector and passes the reply to the quota holder.
func (d *delegates) request(r quota.Request) {
	var reply QuotaReply
	if r.To == d.n.self.Address {
		reply.Reply, reply.Known = d.grant(r)
	} else if err := d.call(r.To, "Node.Grant", r, &reply); err != nil {
		return // the quota holder repeats unanswered requests
	}
	if !reply.Known {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.holder.HandleReply(d.n.now(), reply.Reply))
}

// close returns the unused tokens of an instance that leaves.
func (d *delegates) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if len(d.teams) > 0 {
		d.apply(d.holder.ReturnSlices(d.n.now()))
	}
}

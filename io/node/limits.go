package node

// Limits of teams over all instances. A part of each team's rate is spent by every
// instance for itself, the rest is granted by the instance that holds a lease. So the
// loss of that instance, or a store outage that outlasts the lease, takes a part of a
// team's rate and never all of it.

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/config"
	"burdockseam/core/lease"
	"burdockseam/core/placement"
	"burdockseam/core/quota"
)

const (
	// limitTick is the time between two steps of the holder. It is below the time for
	// which a slice lasts, so that unused ones are returned.
	limitTick = 100 * time.Millisecond
	// grantWait bounds the wait of an operation for a grant: a few round trips between
	// regions, and well below the latencies aimed at.
	grantWait = 100 * time.Millisecond
	// grantTimeout bounds the exchange with the owner.
	grantTimeout = 300 * time.Millisecond
	// leaseLook is the time between two looks at the lease of an instance that may take it.
	leaseLook = time.Second
	// leaseName is the name of the object that holds the lease.
	leaseName = "limits"
	// standbys is the number of instances that may take the lease.
	standbys = 3
	// spareShare is the part of the allowed excess that small bursts may use.
	spareShare = 0.5
	// shard is the name of the only shard: one owner serves all teams.
	shard = "0"
)

type limits struct {
	n *Node

	mu      sync.Mutex
	reserve *quota.Reserve
	holder  *quota.Holder
	owner   *quota.Owner
	lease   *lease.Sole
	waiting map[uint64]chan bool
	closed  bool
	looked  time.Time
	looking bool
	owned   lease.SoleRecord // the newest lease known, also from others
	ended   string           // a holder that is known to have ended
}

func newLimits(n *Node) *limits {
	l := &limits{
		n: n, reserve: quota.NewReserve(), holder: quota.NewHolder(n.self.ID, 1),
		lease: lease.NewSole(n.self.ID, n.self.Address), waiting: make(map[uint64]chan bool),
	}
	l.owner = quota.NewOwner(n.self.ID, shard, l.lease)
	return l
}

// configure puts the limits of a snapshot into force.
func (l *limits) configure(s *snapshot) {
	now := l.n.now()
	own := make(map[string]config.Team, len(s.policy.Teams))
	granted := make(map[string]config.Team, len(s.policy.Teams))
	for name, t := range s.policy.Teams {
		own[name] = t.Team
		granted[name] = quota.OwnerPart(t.Team, s.running, l.n.settings().Spare*spareShare)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserve.Configure(now, s.running, l.n.settings().Spare*spareShare, own)
	l.holder.Configure(now, granted)
	l.owner.Configure(now, granted)
}

// observe takes in the lease as the store has it. The lock is held.
func (l *limits) observe(now time.Time, o Object) {
	var r lease.SoleRecord
	if o.Revision > 0 {
		if err := json.Unmarshal(o.Data, &r); err != nil {
			l.n.log.Info("limit: lease not understood", "revision", o.Revision, "err", err.Error())
			return
		}
	}
	l.lease.Observe(now, r, o.Revision)
	l.follow(now, l.lease.Record())
}

// follow tells the holder who owns the limits. The lock is held.
func (l *limits) follow(now time.Time, r lease.SoleRecord) {
	if r.Epoch < l.owned.Epoch || r.Epoch == l.owned.Epoch && r.Beat <= l.owned.Beat {
		return
	}
	if r.Holder != l.owned.Holder {
		l.n.log.Info("limit: owner", "owner", r.Holder, "epoch", r.Epoch, "before", l.owned.Holder)
	}
	l.owned = r
	if r.Holder != "" {
		l.holder.SetOwner(now, shard, r.Holder, r.Epoch)
	}
}

// learn takes in the lease as another instance knows it.
func (l *limits) learn(r lease.SoleRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(l.n.now(), r)
}

// record returns the newest lease known.
func (l *limits) record() lease.SoleRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owned
}

// Admit implements caller.Router.
func (n *Node) Admit(ctx context.Context, database string, c access.Credential) (access.Grant, call.Reply) {
	policy := n.snapshot.Load().policy
	grant, code := policy.Authorize(database, c)
	switch {
	case code != call.OK:
		n.log.Info("request: refused", "database", database, "code", code, "version", policy.Version)
		n.metrics.count("burdockseam_refused_total{reason=\"" + string(code) + "\"}")
		return grant, call.Refusal(code, "version "+strconv.FormatUint(policy.Version, 10))
	case grant.Team.Name == "":
		return grant, call.Reply{}
	case n.isolated():
		r := call.Refusal(call.Busy, "the configuration is not confirmed")
		r.Retry = leaderRetry
		return grant, r
	}
	retry, ok := n.limits.take(ctx, grant.Team.Name)
	if ok {
		return grant, call.Reply{}
	}
	n.metrics.limit("refused")
	n.log.Info("request: over the limit", "team", grant.Team.Name, "route", grant.Route.Name, "rate", grant.Team.Rate, "burst", grant.Team.Burst, "retry", retry)
	n.metrics.count("burdockseam_refused_total{reason=\"limit\"}")
	r := call.Refusal(call.Busy, "over the team's rate")
	r.Retry = retry
	return grant, r
}

// take takes a token for an operation.
func (l *limits) take(ctx context.Context, team string) (retry time.Duration, ok bool) {
	l.mu.Lock()
	now := l.n.now()
	if l.reserve.Take(now, team) {
		l.mu.Unlock()
		l.n.metrics.limit("reserve")
		return 0, true
	}
	l.n.metrics.limit("asked")
	d := l.holder.Take(now, team)
	if d.Outcome != quota.Waiting {
		own := l.reserve.Wait(now, team)
		poll := d.Poll
		l.mu.Unlock()
		if poll {
			l.tick(ctx)
		}
		return min(own, max(d.Retry, limitTick)), d.Outcome == quota.Granted
	}
	decided := make(chan bool, 1)
	l.waiting[d.Ticket] = decided
	l.mu.Unlock()
	if d.Poll {
		l.tick(ctx)
	}
	timer := time.NewTimer(grantWait)
	defer timer.Stop()
	select {
	case ok := <-decided:
		return limitTick, ok
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, d.Ticket)
	if l.holder.Cancel(team, d.Ticket) {
		now := l.n.now()
		return max(limitTick, l.reserve.Wait(now, team)), l.reserve.Take(now, team)
	}
	return limitTick, <-decided
}

// tick moves the holder on.
func (l *limits) tick(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.output(ctx, l.holder.Tick(l.n.now()))
	}
}

// output performs what the holder wants. The lock is held.
func (l *limits) output(ctx context.Context, o quota.Output) {
	for _, d := range o.Decisions {
		if decided := l.waiting[d.Ticket]; decided != nil {
			delete(l.waiting, d.Ticket)
			decided <- d.Outcome == quota.Granted
		}
	}
	for _, r := range o.Requests {
		if r.To == l.n.self.ID {
			if reply, ok := l.owner.Handle(l.n.now(), r); ok {
				l.output(ctx, l.holder.Reply(l.n.now(), reply))
			}
			continue
		}
		go l.ask(l.owned.Machine, r)
	}
}

// ask sends a request to the owner.
func (l *limits) ask(address string, r quota.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	var reply QuotaReply
	if err := l.n.peers.Call(ctx, address, "Node.Quota", r, &reply); err != nil || !reply.Known {
		return // the holder repeats what was not answered
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.output(ctx, l.holder.Reply(l.n.now(), reply.Reply))
}

// grant answers a holder.
func (l *limits) grant(r quota.Request) (quota.Reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.Handle(l.n.now(), r)
}

// close returns what is left of the grants.
func (l *limits) close() {
	l.mu.Lock()
	l.closed = true
	l.output(context.Background(), l.holder.Close(l.n.now()))
	r, revision, held := l.lease.Release(l.n.now())
	l.mu.Unlock()
	if held {
		go l.release(r, revision)
	}
}

// release gives the lease up, so that another instance takes it at once.
func (l *limits) release(r lease.SoleRecord, revision uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err == nil {
		_, err = l.n.platform.Store.Replace(ctx, KindLease, Object{Name: leaseName, Revision: revision, Data: data})
	}
	l.n.log.Info("limit: lease released", "epoch", r.Epoch, "err", text(err))
}

// run moves the holder and the lease on until the context ends.
func (l *limits) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, limitTick)
		l.tick(ctx)
		l.renew(ctx)
	}
}

// renew writes the lease if that is due.
func (l *limits) renew(ctx context.Context) {
	s := l.n.snapshot.Load()
	candidate := false
	if !l.n.draining.Load() && l.n.ready.Load() {
		for k, i := range placement.Rank(leaseName, placement.Place{}, s.instances) {
			candidate = candidate || k < standbys && i.Address == l.n.self.Address
		}
	}
	l.mu.Lock()
	now := l.n.now()
	// The instance that held the lease before it was restarted can take it at once.
	candidate = candidate || l.owned.Machine == l.n.self.Address && !l.n.draining.Load()
	record, revision, due := l.lease.Due(now, candidate, l.ended)
	look := candidate && !due && !l.looking && !l.lease.Valid(now) && now.Sub(l.looked) >= leaseLook
	l.looking = l.looking || look
	l.mu.Unlock()
	if due {
		go l.write(ctx, now, record, revision)
	}
	if look {
		go l.look(ctx)
	}
}

// look reads the lease.
func (l *limits) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := l.n.platform.Store.Get(ctx, KindLease, leaseName)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.looking, l.looked = false, l.n.now()
	if err == nil || errors.Is(err, ErrMissing) {
		l.observe(l.looked, o)
	}
	if r := l.lease.Record(); r.Holder != "" && r.Holder != l.n.self.ID && r.Machine != l.n.self.Address {
		go l.check(r)
	}
}

// check asks the instance of the holder whether it is still the same run.
func (l *limits) check(r lease.SoleRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	var pong Pong
	if err := l.n.peers.Call(ctx, r.Machine, "Node.Ping", Ping{From: l.n.self.Address, Sum: l.n.tables.sum()}, &pong); err != nil {
		return // without an answer the lease is waited for
	}
	if pong.ID == r.Holder {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != r.Holder {
		l.ended = r.Holder
		l.n.log.Info("limit: owner has ended", "owner", r.Holder, "now", pong.ID)
	}
}

// write renews or takes the lease and removes the objects of lost instances.
func (l *limits) write(ctx context.Context, sent time.Time, r lease.SoleRecord, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err != nil {
		l.n.log.Error(err, "limit: lease not written")
		return
	}
	o := Object{Name: leaseName, Revision: revision, Data: data}
	store := l.n.platform.Store
	if revision == 0 {
		o, err = store.Create(ctx, KindLease, o)
	} else {
		o, err = store.Replace(ctx, KindLease, o)
	}
	now := l.n.now()
	l.mu.Lock()
	if err == nil {
		l.lease.Wrote(now, sent, r, o.Revision)
		l.follow(now, r)
	}
	l.mu.Unlock()
	if err != nil {
		l.n.log.Info("limit: lease not written", "epoch", r.Epoch, "err", err.Error())
		if errors.Is(err, ErrConflict) {
			return
		}
		// The change may have been made although no answer came.
		if o, err = store.Get(ctx, KindLease, leaseName); err == nil {
			l.mu.Lock()
			l.observe(now, o)
			l.mu.Unlock()
		}
		return
	}
	for _, name := range l.n.forgotten(l.n.snapshot.Load()) {
		if err := store.Delete(ctx, KindInstance, name); err != nil {
			l.n.log.Info("instance: object of a lost instance not removed", "name", name, "err", err.Error())
		} else {
			l.n.log.Info("instance: object of a lost instance removed", "name", name)
		}
	}
}

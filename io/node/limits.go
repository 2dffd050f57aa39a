package node

// Limits of teams over all instances. A part of each team's rate is spent by every
// instance for itself, the rest is granted by the instance that holds a lease. So the
// loss of that instance, or a store outage that outlasts the lease, takes a part of a
// team's rate and never all of it.

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
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
	// ownerWait replaces grantWait while the owner changes, which takes about a second. An
	// operation waits for half of its target latency at most.
	ownerWait = 400 * time.Millisecond
	// ownerChange is the time after a change of the owner for which that counts.
	ownerChange = time.Second
	// leaseLook is the time between two looks at the lease of an instance that may take it.
	leaseLook = time.Second
	// leaseDoubt is the time without news of a renewal after which an instance that may
	// take the lease looks at it: two renewals and a ping.
	leaseDoubt = 3500 * time.Millisecond
	// leaseName is the name of the object that holds the lease.
	leaseName = "limits"
	// standbys is the number of instances that may take the lease at a time, and leaseDepth
	// that of those among which they are the first that answer. With a third of the fleet
	// cut off, all of eight are so once in several thousand times.
	standbys   = 3
	leaseDepth = 8
	// spareShare is the part of the allowed excess that small bursts may use.
	spareShare = 0.5
	// shard is the name of the only shard: one owner serves all teams.
	shard = "0"
)

// inForce is what the limits of an instance depend on.
type inForce struct {
	version uint64
	running int
	spare   float64
}

type limits struct {
	n *Node

	mu      sync.Mutex
	inForce inForce
	reserve *quota.Reserve
	holder  *quota.Holder
	owner   *quota.Owner
	lease   *lease.StoreLease
	waiting map[uint64]chan bool
	closed  bool
	looked  time.Time
	looking bool
	owned   lease.StoreLeaseRecord // the newest lease known, also from others
	learned time.Time              // when owned became known
	changed time.Time              // when the owner changed last
	ended   string                 // a holder that is known to have ended
}

func newLimits(n *Node) *limits {
	l := &limits{
		n: n, reserve: quota.NewReserve(), holder: quota.NewHolder(n.self.ID, 1),
		lease: lease.NewStoreLease(n.self.ID, n.self.Address), waiting: make(map[uint64]chan bool),
	}
	l.owner = quota.NewOwner(n.self.ID, shard, l.lease)
	return l
}

// configure puts the limits of a snapshot into force.
func (l *limits) configure(s *snapshot) {
	in := inForce{s.policy.Version, s.running, l.n.settings().Spare}
	l.mu.Lock()
	defer l.mu.Unlock()
	if in == l.inForce {
		return
	}
	l.inForce = in
	now := l.n.now()
	own := make(map[string]config.Team, len(s.policy.Teams))
	granted := make(map[string]config.Team, len(s.policy.Teams))
	for name, t := range s.policy.Teams {
		own[name] = t.Team
		granted[name] = quota.OwnerPart(t.Team, s.running, l.n.settings().Spare*spareShare)
	}
	l.reserve.Configure(now, s.running, l.n.settings().Spare*spareShare, own)
	l.holder.Configure(now, granted)
	l.owner.Configure(now, granted)
}

// observe takes in the lease as the store has it. The lock is held.
func (l *limits) observe(now time.Time, o Object) {
	var r lease.StoreLeaseRecord
	if o.Revision > 0 {
		if err := json.Unmarshal(o.Data, &r); err != nil {
			l.n.log.Info("limit: lease not understood", "revision", o.Revision, "err", err.Error())
			return
		}
	}
	at := now
	if r == l.owned && !l.learned.IsZero() {
		at = l.learned // it was written before
	}
	l.lease.Observe(at, r, o.Revision)
	l.follow(now, l.lease.Record())
}

// follow tells the holder who owns the limits. The lock is held.
func (l *limits) follow(now time.Time, r lease.StoreLeaseRecord) {
	if r.Epoch < l.owned.Epoch || r.Epoch == l.owned.Epoch && r.Beat <= l.owned.Beat {
		return
	}
	if r.Holder != l.owned.Holder {
		l.n.log.Info("limit: owner", "owner", r.Holder, "epoch", r.Epoch, "before", l.owned.Holder)
		l.changed = now
	}
	l.owned, l.learned = r, now
	if r.Holder != "" {
		l.holder.SetOwner(now, shard, r.Holder, r.Epoch)
	}
}

// learn takes in the lease as another instance knows it.
func (l *limits) learn(r lease.StoreLeaseRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(l.n.now(), r)
}

// record returns the newest lease known.
func (l *limits) record() lease.StoreLeaseRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owned
}

// Admit implements caller.Router.
func (n *Node) Admit(ctx context.Context, id, database string, c access.Credential) (access.Grant, call.Reply) {
	policy := n.snapshot.Load().policy
	grant, code := policy.Authorize(database, c)
	switch {
	case code != call.OK:
		n.log.Info("request: refused", "id", id, "database", database, "code", code, "version", policy.Version)
		n.metrics.count("burdockseam_refused_total{reason=\"" + string(code) + "\"}")
		return grant, call.Refusal(code, "version "+strconv.FormatUint(policy.Version, 10))
	case grant.Team.Name == "":
		return grant, call.Reply{}
	case n.isolated():
		r := call.Refusal(call.Busy, "the configuration is not confirmed")
		r.Retry = leaderRetry
		n.log.Info("request: refused", "id", id, "database", database, "code", r.Code, "why", r.Text, "version", policy.Version)
		return grant, r
	}
	retry, ok := n.limits.take(ctx, grant.Team.Name, grant.Route.TargetLatency/2)
	if ok {
		return grant, call.Reply{}
	}
	n.metrics.limit("refused")
	n.log.Info("request: over the limit", "id", id, "team", grant.Team.Name, "route", grant.Route.Name, "rate", grant.Team.Rate, "burst", grant.Team.Burst, "retry", retry)
	n.metrics.count("burdockseam_refused_total{reason=\"limit\"}")
	r := call.Refusal(call.Busy, "over the team's rate")
	r.Retry = retry
	return grant, r
}

// take takes a token for an operation, which waits for the given time at most. Otherwise
// it returns the time after which another try is worth it.
func (l *limits) take(ctx context.Context, team string, most time.Duration) (retry time.Duration, ok bool) {
	l.mu.Lock()
	now := l.n.now()
	if l.reserve.TakeToken(now, team) {
		l.mu.Unlock()
		l.n.metrics.limit("reserve")
		return 0, true
	}
	l.n.metrics.limit("asked")
	d := l.holder.TakeToken(now, team)
	if d.Outcome != quota.Waiting {
		own := l.reserve.TimeToNextToken(now, team)
		poll := d.TickNow
		l.mu.Unlock()
		if poll {
			l.tick(ctx)
		}
		return min(own, max(d.Retry, limitTick)), d.Outcome == quota.Granted
	}
	decided := make(chan bool, 1)
	l.waiting[d.Ticket] = decided
	wait := grantWait
	if l.owned.Holder == "" || now.Sub(l.changed) < ownerChange || l.holder.OwnerSilent(now, shard) {
		wait = min(ownerWait, most)
	}
	l.mu.Unlock()
	if d.TickNow {
		l.tick(ctx)
	}
	timer := time.NewTimer(wait)
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
	if l.holder.CancelRequest(team, d.Ticket) {
		now := l.n.now()
		return max(limitTick, min(ownerWait, l.reserve.TimeToNextToken(now, team))), l.reserve.TakeToken(now, team)
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
			if reply, ok := l.owner.HandleRequest(l.n.now(), r); ok {
				l.output(ctx, l.holder.HandleReply(l.n.now(), reply))
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
	l.output(ctx, l.holder.HandleReply(l.n.now(), reply.Reply))
}

// grant answers a holder.
func (l *limits) grant(r quota.Request) (quota.Reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.HandleRequest(l.n.now(), r)
}

// close returns what is left of the grants.
func (l *limits) close() {
	l.mu.Lock()
	l.closed = true
	l.output(context.Background(), l.holder.ReturnSlices(l.n.now()))
	r, revision, held := l.lease.Release(l.n.now())
	l.mu.Unlock()
	if held {
		go l.release(r, revision)
	}
}

// release gives the lease up, so that another instance takes it at once.
func (l *limits) release(r lease.StoreLeaseRecord, revision uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err == nil {
		_, err = l.n.platform.Store.Replace(ctx, KindLease, Object{Name: leaseName, Revision: revision, Data: data})
	}
	if err == nil {
		l.n.broadcast(context.Background(), "Node.Owner", OwnerNote{r})
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

// renew writes the lease if that is due, and looks at it if its holder may be lost.
func (l *limits) renew(ctx context.Context) {
	l.mu.Lock()
	now := l.n.now()
	record, revision, due := l.lease.PrepareWrite(now, l.doubts(now) && !l.looked.Before(l.learned), l.ended)
	look := !due && !l.looking && !l.lease.Valid(now) && l.doubts(now) &&
		(now.Sub(l.looked) >= leaseLook || l.looked.Before(l.learned))
	l.looking = l.looking || look
	l.mu.Unlock()
	if due {
		go l.write(ctx, now, record, revision)
	}
	if look {
		go l.look(ctx)
	}
}

// doubts reports whether this instance may take the lease if nobody holds it, and whether
// the holder may be lost. The lock is held.
func (l *limits) doubts(now time.Time) bool {
	// The instance that held the lease before it was restarted can take it at once.
	before := l.owned.Machine == l.n.self.Address && l.owned.Holder != l.n.self.ID
	if l.n.draining.Load() || !l.isFirst() && !before {
		return false
	}
	return before || l.owned.Holder == "" || l.owned.Holder == l.ended || now.Sub(l.learned) >= leaseDoubt
}

// isFirst reports whether this instance is one of those that may take the lease: the first
// ones that answer and reach the store. The lock is held.
func (l *limits) isFirst() bool {
	if !l.n.ready.Load() || l.n.storeless() {
		return false
	}
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	return placement.IsAmongFirstEligible(l.successors(), l.n.self.Address, standbys, func(address string) bool {
		r := l.n.remote[address]
		return r == nil || !r.suspect && !r.leaving && !r.storeless
	})
}

// successors returns the instances that may come to hold the lease, the first choice
// first.
func (l *limits) successors() []placement.Instance {
	return l.n.snapshot.Load().first.Top(leaseName, placement.Place{}, leaseDepth)
}

// preceding returns the instances that may take the lease before this one.
func (l *limits) preceding() []placement.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	order := l.successors()
	k := slices.IndexFunc(order, func(i placement.Instance) bool { return i.Address == l.n.self.Address })
	return order[:max(0, k)]
}

// rival returns the address of the holder if this instance may take the lease after it.
func (l *limits) rival() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isFirst() {
		return ""
	}
	return l.owned.Machine
}

// holds reports whether this instance holds the lease.
func (l *limits) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Valid(l.n.now())
}

// look reads the lease.
func (l *limits) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := l.n.platform.Store.Get(ctx, KindLease, leaseName)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.looking = false
	if err == nil || errors.Is(err, ErrMissing) {
		l.observe(l.n.now(), o)
	}
	l.looked = l.n.now()
}

// runs takes in which run of an instance answered a ping, and who was known to own the
// limits when the ping was sent. A holder that took the lease later may have started after
// the answer, which counts for nothing then.
func (l *limits) runs(known lease.StoreLeaseRecord, address, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known.Machine == address && known.Holder != "" && known.Holder != id && l.owned.Holder == known.Holder && l.ended != known.Holder {
		l.ended = known.Holder
		l.n.log.Info("limit: owner has ended", "owner", l.ended, "now", id)
	}
}

// write renews or takes the lease and removes the objects of lost instances.
func (l *limits) write(ctx context.Context, sent time.Time, r lease.StoreLeaseRecord, revision uint64) {
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
	taken := err == nil && r.Epoch != l.owned.Epoch
	if err == nil {
		l.lease.ConfirmWrite(now, sent, r, o.Revision)
		l.follow(now, r)
	}
	l.mu.Unlock()
	if taken {
		l.n.broadcast(context.WithoutCancel(ctx), "Node.Owner", OwnerNote{r})
	}
	if err != nil {
		l.n.log.Info("limit: lease not written", "epoch", r.Epoch, "err", err.Error())
		if errors.Is(err, ErrConflict) {
			l.mu.Lock()
			l.looked = time.Time{} // it is read before the next attempt
			l.mu.Unlock()
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

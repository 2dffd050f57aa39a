package node

// Rate limits of teams across all instances. Each instance spends a part of each team's rate
// from its own reserve. The rest is granted by the owner, the instance that holds a lease.
// The loss of the owner, or a store outage that outlasts the lease, therefore takes away a
// part of a team's rate and never all of it.

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
	// limitInterval is the time between two steps of the quota holder. It is below the
	// lifetime of a slice, so that unused slices are returned.
	limitInterval = 100 * time.Millisecond
	// grantWait bounds the wait of an operation for a grant: a few round trips between
	// regions, and well below the target latencies.
	grantWait = 100 * time.Millisecond
	// grantTimeout bounds a request to the owner.
	grantTimeout = 300 * time.Millisecond
	// ownerWait replaces grantWait while the owner changes, which takes about a second. An
	// operation waits for half of its target latency at most.
	ownerWait = 400 * time.Millisecond
	// ownerChangePeriod is the time after a change of the owner in which ownerWait applies.
	ownerChangePeriod = time.Second
	// leaseReadInterval is the time between two reads of the lease by an instance that may
	// take it.
	leaseReadInterval = time.Second
	// leaseDoubtAfter is the time without news of a renewal after which an instance that may
	// take the lease reads it: two renewals and a ping.
	leaseDoubtAfter = 3500 * time.Millisecond
	// leaseName is the name of the object that holds the lease.
	leaseName = "limits"
	// maxStandbys is the number of instances that may take the lease at a time. They are the
	// first that answer among leaseCandidateCount instances. With a third of the fleet cut
	// off, all eight candidates are cut off once in several thousand times.
	maxStandbys         = 3
	leaseCandidateCount = 8
	// allowanceShare is the share of the burst allowance that small bursts may use.
	allowanceShare = 0.5
	// onlyShard is the name of the only shard: one owner serves all teams.
	onlyShard = "0"
)

// limitInputs are the inputs from which the limits of an instance are computed.
type limitInputs struct {
	version          uint64
	ways             uint64 // number of changes of the way in which teams are limited
	runningInstances int
	burstAllowance   float64
}

// limits applies the rate limits of teams and keeps the lease of the limits.
type limits struct {
	n *Node

	mu             sync.Mutex
	inputs         limitInputs
	reserve        *quota.Reserve
	quotaHolder    *quota.Holder
	quotaOwner     *quota.Owner
	lease          *lease.StoreLease
	waiting        map[uint64]chan bool      // operations that wait for a grant, by ticket
	borrowers      map[string][]*tokenWaiter // operations that wait for a grant or a loan, by team
	lastLender     string                    // instance that lent tokens last
	lenderTurn     int                       // number of loans that were requested
	closed         bool
	leaseReadAt    time.Time
	readingLease   bool
	knownLease     lease.StoreLeaseRecord // the newest lease known, from the store or from peers
	knownLeaseAt   time.Time              // when knownLease became known
	ownerChangedAt time.Time              // when the owner last changed
	endedHolder    string                 // a lease holder that is known to have ended
}

func newLimits(n *Node) *limits {
	l := &limits{
		n: n, reserve: quota.NewReserve(), quotaHolder: quota.NewHolder(n.self.ID, 1),
		lease: lease.NewStoreLease(n.self.ID, n.self.Address), waiting: make(map[uint64]chan bool), borrowers: make(map[string][]*tokenWaiter),
	}
	l.quotaOwner = quota.NewOwner(n.self.ID, onlyShard, l.lease)
	return l
}

// configure applies the limits of a snapshot.
func (l *limits) configure(s *snapshot) {
	teams, ways := l.n.delegates.configure(s)
	in := limitInputs{s.policy.Version, ways, s.runningInstances, l.n.settings().BurstAllowance}
	l.mu.Lock()
	defer l.mu.Unlock()
	if in == l.inputs {
		return
	}
	l.inputs = in
	now := l.n.now()
	granted := make(map[string]config.Team, len(teams))
	for name, t := range teams {
		granted[name] = quota.OwnerPart(t, s.runningInstances, l.n.settings().BurstAllowance*allowanceShare)
	}
	l.reserve.Configure(now, s.runningInstances, l.n.settings().BurstAllowance*allowanceShare, teams)
	l.quotaHolder.Configure(now, granted)
	l.quotaOwner.Configure(now, granted)
}

// observeLease records the lease as read from the store. The caller holds the lock.
func (l *limits) observeLease(now time.Time, o Object) {
	var r lease.StoreLeaseRecord
	if o.Revision > 0 {
		if err := json.Unmarshal(o.Data, &r); err != nil {
			l.n.log.Info("limit: lease not decoded", "revision", o.Revision, "err", err.Error())
			return
		}
	}
	at := now
	if r == l.knownLease && r.Era == o.Era && !l.knownLeaseAt.IsZero() {
		at = l.knownLeaseAt // this renewal was known before the read
	}
	l.lease.Observe(at, r, lease.StoredAt{Era: o.Era, Revision: o.Revision})
	l.adoptLease(now, l.lease.Record())
}

// adoptLease records a lease if it is newer than the known one, and passes its owner to the
// quota holder. The caller holds the lock.
func (l *limits) adoptLease(now time.Time, r lease.StoreLeaseRecord) {
	if r.Epoch < l.knownLease.Epoch || r.Epoch == l.knownLease.Epoch && r.Beat <= l.knownLease.Beat {
		return
	}
	if r.Holder != l.knownLease.Holder {
		l.n.log.Info("limit: owner", "owner", r.Holder, "epoch", r.Epoch, "before", l.knownLease.Holder)
		l.ownerChangedAt = now
	}
	l.knownLease, l.knownLeaseAt = r, now
	l.lease.ObserveEpoch(r.Epoch)
	if r.Holder != "" {
		l.quotaHolder.SetOwner(now, onlyShard, r.Holder, r.Epoch)
	}
}

// learnLease records the lease that another instance knows.
func (l *limits) learnLease(r lease.StoreLeaseRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adoptLease(l.n.now(), r)
}

// newestLease returns the newest lease known.
func (l *limits) newestLease() lease.StoreLeaseRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownLease
}

// Admit implements caller.Router.
func (n *Node) Admit(ctx context.Context, id, database string, c access.Credential) (access.Grant, call.Reply) {
	policy := n.snapshot.Load().policy
	grant, code := policy.Authorize(database, c)
	switch {
	case code != call.OK:
		n.log.Info("request: refused", "id", id, "database", database, "code", code, "version", policy.Version)
		n.metrics.increment("burdockseam_refused_total{reason=\"" + string(code) + "\"}")
		return grant, call.Refusal(code, "version "+strconv.FormatUint(policy.Version, 10))
	case grant.Team.Name == "":
		return grant, call.Reply{}
	case n.isolated():
		r := call.Refusal(call.Busy, "the configuration is not confirmed")
		r.Retry = noPrimaryRetry
		n.log.Info("request: refused", "id", id, "database", database, "code", r.Code, "why", r.Text, "version", policy.Version)
		return grant, r
	}
	retry, ok := n.takeToken(ctx, grant)
	if ok {
		return grant, call.Reply{}
	}
	n.metrics.countLimitOutcome("refused")
	log := n.log
	if collector := n.delegates.collectorOf(grant.Team.Name); collector != "" {
		log = log.WithValues("collector", collector)
	}
	log.Info("request: over the limit", "id", id, "team", grant.Team.Name, "route", grant.Route.Name, "rate", grant.Team.Rate, "burst", grant.Team.Burst, "retry", retry)
	n.metrics.increment("burdockseam_refused_total{reason=\"limit\"}")
	r := call.Refusal(call.Busy, "over the team's rate")
	r.Retry = retry
	return grant, r
}

// tokenWaiter is an operation that waits for a grant of the owner or for a loan.
type tokenWaiter struct {
	ticket  uint64 // of the quota holder; 0 if the owner is not asked
	decided chan bool
}

// takeToken takes a token for an operation, and waits for it for maxWait at most while the
// owner changes. Without a token it returns the time after which another attempt is
// worthwhile.
func (l *limits) takeToken(ctx context.Context, team string, maxWait time.Duration) (retry time.Duration, ok bool) {
	l.mu.Lock()
	now := l.n.now()
	if l.reserve.TakeToken(now, team) {
		l.mu.Unlock()
		l.n.metrics.countLimitOutcome("reserve")
		return 0, true
	}
	l.n.metrics.countLimitOutcome("asked")
	d := l.quotaHolder.TakeToken(now, team)
	if d.Outcome == quota.Granted {
		l.mu.Unlock()
		if d.TickNow {
			l.tickHolder(ctx)
		}
		return 0, true
	}
	if want := l.reserve.RequestLoan(now, team, len(l.borrowers[team])+1); want > 0 {
		go l.borrow(team, want)
	}
	if d.Outcome == quota.Refused && !l.reserve.AwaitsLoan(team) {
		ownWait := l.reserve.TimeToNextToken(now, team)
		l.mu.Unlock()
		return min(ownWait, max(d.Retry, limitInterval)), false
	}
	w := &tokenWaiter{ticket: d.Ticket, decided: make(chan bool, 1)}
	if w.ticket != 0 {
		l.waiting[w.ticket] = w.decided
	}
	l.borrowers[team] = append(l.borrowers[team], w)
	wait := grantWait
	if l.knownLease.Holder == "" || now.Sub(l.ownerChangedAt) < ownerChangePeriod || l.quotaHolder.OwnerSilent(now, onlyShard) {
		wait = min(ownerWait, maxWait)
	}
	l.mu.Unlock()
	if d.TickNow {
		l.tickHolder(ctx)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case ok := <-w.decided:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.removeBorrower(team, w)
		return limitInterval, ok
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeBorrower(team, w)
	delete(l.waiting, w.ticket)
	select {
	case ok := <-w.decided:
		return limitInterval, ok
	default:
	}
	if w.ticket != 0 {
		l.quotaHolder.CancelRequest(team, w.ticket)
	}
	now = l.n.now()
	return max(limitInterval, min(ownerWait, l.reserve.TimeToNextToken(now, team))), l.reserve.RetakeToken(now, team)
}

// removeBorrower removes an operation that waits no more. The caller holds the lock.
func (l *limits) removeBorrower(team string, w *tokenWaiter) {
	l.borrowers[team] = slices.DeleteFunc(l.borrowers[team], func(o *tokenWaiter) bool { return o == w })
	if len(l.borrowers[team]) == 0 {
		delete(l.borrowers, team)
	}
}

// tickHolder advances the quota holder.
func (l *limits) tickHolder(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.applyOutput(ctx, l.quotaHolder.Tick(l.n.now()))
	}
}

// applyOutput delivers the holder's decisions and sends its requests. The caller holds the
// lock.
func (l *limits) applyOutput(ctx context.Context, o quota.Output) {
	for _, d := range o.Decisions {
		if decided := l.waiting[d.Ticket]; decided != nil {
			delete(l.waiting, d.Ticket)
			decided <- d.Outcome == quota.Granted
		}
	}
	for _, r := range o.Requests {
		if r.To == l.n.self.ID {
			if reply, ok := l.quotaOwner.HandleRequest(l.n.now(), r); ok {
				l.applyOutput(ctx, l.quotaHolder.HandleReply(l.n.now(), reply))
			}
			continue
		}
		go l.requestSlice(l.knownLease.Machine, r)
	}
}

// requestSlice sends a request to the owner and passes the reply to the quota holder.
func (l *limits) requestSlice(address string, r quota.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	var reply QuotaReply
	if err := l.n.peers.Call(ctx, address, "Node.Quota", r, &reply); err != nil || !reply.Known {
		return // the quota holder repeats unanswered requests
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyOutput(ctx, l.quotaHolder.HandleReply(l.n.now(), reply.Reply))
}

// handleRequest answers the request of a quota holder. It reports false if this instance
// can't answer as the owner.
func (l *limits) handleRequest(r quota.Request) (quota.Reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quotaOwner.HandleRequest(l.n.now(), r)
}

// close returns the unused slices and releases the lease.
func (l *limits) close() {
	l.mu.Lock()
	l.closed = true
	l.applyOutput(context.Background(), l.quotaHolder.ReturnSlices(l.n.now()))
	r, at, held := l.lease.Release(l.n.now())
	l.mu.Unlock()
	if held {
		go l.releaseLease(r, at.Revision)
	}
}

// releaseLease writes the released lease to the store, so that another instance can take it
// at once.
func (l *limits) releaseLease(r lease.StoreLeaseRecord, revision uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err == nil {
		_, err = l.n.platform.Store.Replace(ctx, KindLease, Object{Name: leaseName, Revision: revision, Data: data})
	}
	if err == nil {
		l.n.broadcast(context.Background(), "Node.Owner", OwnerNotice{r})
	}
	l.n.log.Info("limit: lease released", "epoch", r.Epoch, "err", errorText(err))
}

// run advances the quota holder and the lease until the context ends.
func (l *limits) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, limitInterval)
		l.tickHolder(ctx)
		l.renewLease(ctx)
	}
}

// renewLease writes the lease if a write is due, and reads it if its holder may be lost.
func (l *limits) renewLease(ctx context.Context) {
	l.mu.Lock()
	now := l.n.now()
	record, at, due := l.lease.PrepareWrite(now, l.mayTakeOver(now) && !l.leaseReadAt.Before(l.knownLeaseAt), l.endedHolder)
	read := !due && !l.readingLease && !l.lease.Valid(now) && l.mayTakeOver(now) &&
		(now.Sub(l.leaseReadAt) >= leaseReadInterval || l.leaseReadAt.Before(l.knownLeaseAt))
	l.readingLease = l.readingLease || read
	l.mu.Unlock()
	if due {
		go l.writeLease(ctx, now, record, at.Revision)
	}
	if read {
		go l.readLease(ctx)
	}
}

// mayTakeOver reports whether this instance is one that may take the lease, and has a reason
// to assume that the lease is free or its holder lost. The caller holds the lock.
func (l *limits) mayTakeOver(now time.Time) bool {
	// An instance that held the lease before its restart can take it at once.
	heldBefore := l.knownLease.Machine == l.n.self.Address && l.knownLease.Holder != l.n.self.ID
	if l.n.draining.Load() || !l.isStandby() && !heldBefore {
		return false
	}
	return heldBefore || l.knownLease.Holder == "" || l.knownLease.Holder == l.endedHolder || now.Sub(l.knownLeaseAt) >= leaseDoubtAfter
}

// isStandby reports whether this instance is one of those that may take the lease: the first
// candidates that answer and reach the store. The caller holds the lock.
func (l *limits) isStandby() bool {
	if !l.n.ready.Load() || l.n.storeless() {
		return false
	}
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	return placement.IsAmongFirstEligible(l.leaseCandidates(), l.n.self.Address, maxStandbys, func(address string) bool {
		r := l.n.peerStates[address]
		return r == nil || !r.suspect && !r.leaving && !r.storeless
	})
}

// leaseCandidates returns the instances that may come to hold the lease, in the order of
// preference.
func (l *limits) leaseCandidates() []placement.Instance {
	return l.n.snapshot.Load().ranks.Top(leaseName, placement.Place{}, leaseCandidateCount)
}

// precedingCandidates returns the candidates that are preferred to this instance.
func (l *limits) precedingCandidates() []placement.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	order := l.leaseCandidates()
	k := slices.IndexFunc(order, func(i placement.Instance) bool { return i.Address == l.n.self.Address })
	return order[:max(0, k)]
}

// holderToWatch returns the address of the lease's holder if this instance is a standby, and
// otherwise "".
func (l *limits) holderToWatch() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isStandby() {
		return ""
	}
	return l.knownLease.Machine
}

// holdsLease reports whether this instance holds the lease.
func (l *limits) holdsLease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Valid(l.n.now())
}

// readLease reads the lease from the store.
func (l *limits) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := l.n.platform.Store.Get(ctx, KindLease, leaseName)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readingLease = false
	if err == nil || errors.Is(err, ErrMissing) {
		l.observeLease(l.n.now(), o)
	}
	l.leaseReadAt = l.n.now()
}

// recordRun records which run of an instance answered a ping. Known is the newest lease
// known when the ping was sent: if the lease was taken later, its holder may have started
// after the answer, which then shows nothing about it.
func (l *limits) recordRun(known lease.StoreLeaseRecord, address, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known.Machine == address && known.Holder != "" && known.Holder != id && l.knownLease.Holder == known.Holder && l.endedHolder != known.Holder {
		l.endedHolder = known.Holder
		l.n.log.Info("limit: owner has ended", "owner", l.endedHolder, "now", id)
	}
}

// writeLease renews or takes the lease, and then removes the objects of lost instances.
func (l *limits) writeLease(ctx context.Context, sent time.Time, r lease.StoreLeaseRecord, revision uint64) {
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
	taken := err == nil && r.Epoch != l.knownLease.Epoch
	if err == nil {
		l.lease.ConfirmWrite(now, sent, r, lease.StoredAt{Era: o.Era, Revision: o.Revision})
		l.adoptLease(now, r)
	}
	l.mu.Unlock()
	if taken {
		l.n.broadcast(context.WithoutCancel(ctx), "Node.Owner", OwnerNotice{r})
	}
	if err != nil {
		l.n.log.Info("limit: lease not written", "epoch", r.Epoch, "err", err.Error())
		// Another instance may have written the lease, the store may have come back from a
		// copy, or this write may have taken effect although no answer arrived.
		o, err = store.Get(ctx, KindLease, leaseName)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.leaseReadAt = time.Time{}
		if err == nil || errors.Is(err, ErrMissing) {
			now = l.n.now()
			l.observeLease(now, o)
			l.leaseReadAt = now
		}
		return
	}
	for _, name := range l.n.objectsOfLostInstances(l.n.snapshot.Load()) {
		if err := store.Delete(ctx, KindInstance, name); err != nil {
			l.n.log.Info("instance: object of a lost instance not removed", "name", name, "err", err.Error())
		} else {
			l.n.log.Info("instance: object of a lost instance removed", "name", name)
		}
	}
}

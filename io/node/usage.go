package node

// Usage reports. The decisions are those of package usage; this file holds their state under a
// lock of its own, sends the pushes, and carries out the calls of the store and of the platform.
// The lock is never held during a call, nor while another lock of the node is taken.

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"maps"
	"math"
	"net/rpc"
	"slices"
	"strconv"
	"sync"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/lease"
	"burdockseam/core/placement"
	"burdockseam/core/usage"
)

const (
	// usageKey is the key whose rendezvous order gives the gatherer.
	usageKey = "usage"
	// usageInterval is the time between two steps. It is far below the lease and the delay.
	usageInterval = 100 * time.Millisecond
	// reportTimeout bounds a call of the platform.
	reportTimeout = 2 * time.Second
	// maxCallDelay is the time within which a call that is due must begin. It is below the time
	// for which a successor waits beyond the end of a lease.
	maxCallDelay = 300 * time.Millisecond
	// flushTimeout bounds the last push. It is below the time that is left for the exit of the
	// process after a shutdown.
	flushTimeout = exitReserve / 2
	// holderNewsTimeout is the time for which an answer that names the holder counts: a few
	// pushes.
	holderNewsTimeout = 3 * time.Second
	// gathererCandidates is the number of instances that may gather. With half of a fleet lost,
	// all of them are lost once in 256 times.
	gathererCandidates = 8
	// buildTimeout is the time after which an instance whose build had no usage reports is
	// asked again.
	buildTimeout = 10 * time.Second
	// usageHistory is the number of windows that operators can see.
	usageHistory = 20
)

// usageReports is the part of an instance that counts requests and reports them.
type usageReports struct {
	n        *Node
	settings UsageSettings
	phase    float64 // the instance's place in the order of pushes, from 0 to 1
	wall     func() time.Time

	mu       sync.Mutex
	counter  *usage.Counter
	gatherer *usage.Gatherer
	pushAt   time.Time // on the fleet clock; zero for at once
	pushing  bool
	storing  bool
	holder   usageHolder
	// without has the instances of builds without usage reports, and since when.
	without  map[string]time.Time
	history  []usage.Summary
	snapshot *snapshot   // the one from which fleet was taken
	fleet    usage.Fleet // without MayHold and Leaving
}

// usageHolder is the instance that reports, as another one or the instance itself has said.
type usageHolder struct {
	address string
	token   uint64
	at      time.Time
}

func newUsageReports(n *Node) *usageReports {
	s := n.settings()
	h := fnv.New32a()
	h.Write([]byte(n.self.ID))
	now := n.now()
	u := &usageReports{n: n, without: make(map[string]time.Time), settings: s.Usage, phase: float64(h.Sum32()) / (math.MaxUint32 + 1), wall: time.Now}
	u.counter = usage.NewCounter(n.self.ID, s.Usage.Window, now, u.wall())
	u.gatherer = usage.NewGatherer(usage.Options{
		Name: s.Name, Run: n.self.ID, Address: n.self.Address,
		Window: s.Usage.Window, Delay: s.Usage.Delay, Lease: s.Usage.Lease, Off: s.Usage.Off, Unfenced: s.Unfenced,
	}, now)
	return u
}

// Sent implements gateway.Meter.
func (u *usageReports) Sent(r call.Request) func(*call.Reply) {
	if !usage.CountsAsRequest(r, call.RanMaybe) {
		return func(*call.Reply) {}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	window := u.counter.Add(u.n.now(), r.Team)
	return func(reply *call.Reply) {
		if usage.CountsAsRequest(r, reply.Ran) {
			return
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		u.counter.Remove(window, r.Team)
	}
}

// run pushes and reports until the context ends.
func (u *usageReports) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, usageInterval)
		if u.n.ready.Load() {
			u.step(ctx)
		}
	}
}

// step starts the calls that are due.
func (u *usageReports) step(ctx context.Context) {
	s := u.n.snapshot.Load()
	leaving := u.n.draining.Load()
	target := u.target()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.n.now()
	if s != u.snapshot {
		u.snapshot, u.fleet = s, usage.Fleet{Teams: slices.Sorted(maps.Keys(s.policy.Teams))}
		for _, i := range s.instances {
			u.fleet.Runs = append(u.fleet.Runs, i.ID)
		}
	}
	fleet := u.fleet
	fleet.MayHold, fleet.Leaving = target == u.n.self.Address && !leaving, leaving
	u.gatherer.SetFleet(now, fleet)
	if clock := u.counter.FleetTime(now); !u.pushing && !clock.Before(u.pushAt) {
		u.pushing = true
		u.pushAt = usage.PushTime(clock, u.phase, len(s.instances), u.settings.Window, u.settings.Delay)
		go u.push(ctx, target)
	}
	if !u.storing {
		u.storing = true
		go u.updateRecord(ctx)
	}
	if r, token, due := u.gatherer.CallDue(now, u.fleetTime(now)); due {
		go u.report(ctx, now, u.gatherer.LeaseEnd(), r, token)
	}
}

// fleetTime returns the fleet clock. The caller holds the lock.
func (u *usageReports) fleetTime(now time.Time) time.Time {
	if t, ok := u.gatherer.FleetTime(now); ok {
		return t
	}
	return u.counter.FleetTime(now)
}

// target returns the address of the gatherer: the instance that is known to report, or else
// the first in the order of the key that answers.
func (u *usageReports) target() string {
	now := u.n.now()
	u.mu.Lock()
	h, without := u.holder, maps.Clone(u.without)
	u.mu.Unlock()
	order := u.n.snapshot.Load().ranks.Top(usageKey, placement.Place{}, gathererCandidates)
	draining := u.n.draining.Load()
	u.n.mu.Lock()
	defer u.n.mu.Unlock()
	if h.address != "" && (h.address != u.n.self.Address || !draining) && now.Sub(h.at) < holderNewsTimeout && !u.n.isUnavailable(h.address, now) {
		return h.address
	}
	for _, i := range order {
		own := i.Address == u.n.self.Address
		if own && !draining || !own && !u.n.isUnavailable(i.Address, now) && now.Sub(without[i.Address]) > buildTimeout {
			return i.Address
		}
	}
	return order[0].Address
}

// push sends the counts to the gatherer.
func (u *usageReports) push(ctx context.Context, target string) {
	u.mu.Lock()
	sent := u.n.now()
	p := u.counter.Push(sent, u.wall())
	u.mu.Unlock()
	own := p
	own.Windows = maps.Clone(p.Windows) // the gatherer removes windows from its map
	ack := u.handlePush(own)            // a copy for the case that this instance becomes the gatherer
	var err error
	if target != u.n.self.Address {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		ack = usage.Ack{}
		if err = u.n.peers.Call(ctx, target, "Node.Usage", p, &ack); err != nil {
			u.recordFailedPush(target, err)
		}
	}
	u.n.metrics.increment("burdockseam_usage_pushes_total{outcome=\"" + usageOutcome(err) + "\"}")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pushing = false
	now := u.n.now()
	if err != nil {
		if u.holder.address == target {
			u.holder = usageHolder{}
		}
		return
	}
	if ack.Time != 0 && u.counter.LearnClock(now, time.Unix(0, ack.Time).Add(now.Sub(sent)/2)) {
		u.pushAt = time.Time{}
	}
	if target == ack.Machine {
		u.counter.Settle(ack.Settled)
	}
	u.gatherer.LearnToken(ack.Token)
	// Second-hand news does not renew what is known, or instances would confirm it to each other
	// after the holder is lost.
	if ack.Machine != "" && (ack.Token > u.holder.token || ack.Token == u.holder.token && ack.Machine == target) {
		u.holder = usageHolder{ack.Machine, ack.Token, now}
	}
}

// flush pushes the last counts before the end of the instance.
func (u *usageReports) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if target := u.target(); target != u.n.self.Address {
		u.push(ctx, target)
	}
}

// recordFailedPush records that an instance did not take a push. An error that it returned comes
// from a build without usage reports, and does not show that the instance is lost.
func (u *usageReports) recordFailedPush(target string, err error) {
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		u.n.recordNoAnswer(target, err)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.without[target] = u.n.now()
}

// usageOutcome returns the label of a metric for an error.
func usageOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// handlePush takes over the counts of an instance.
func (u *usageReports) handlePush(p usage.Push) usage.Ack {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.n.now()
	u.gatherer.HandlePush(now, p)
	ack := usage.Ack{Settled: u.gatherer.Settled()}
	if t, ok := u.gatherer.FleetTime(now); ok {
		ack.Time = t.UnixNano()
	} else if u.counter.ClockLearned() {
		ack.Time = u.counter.FleetTime(now).UnixNano()
	}
	ack.Machine, ack.Token = u.gatherer.Holder(now)
	if ack.Machine == "" && u.holder.address != u.n.self.Address && now.Sub(u.holder.at) < holderNewsTimeout {
		ack.Machine, ack.Token = u.holder.address, u.holder.token
	}
	return ack
}

// updateRecord reads or writes the record in the store if that is due.
func (u *usageReports) updateRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u.mu.Lock()
	defer u.mu.Unlock()
	defer func() { u.storing = false }()
	if u.gatherer.ReadDue(u.n.now()) {
		u.mu.Unlock()
		r, era, at, err := u.readRecord(ctx)
		u.mu.Lock()
		if err != nil {
			u.n.log.Info("usage: record not read", "err", err.Error())
			return
		}
		u.gatherer.Observe(u.n.now(), r, era, at)
		if address, token := u.gatherer.Renewing(u.n.now()); address != "" {
			u.holder = usageHolder{address, token, u.n.now()}
		}
	}
	sent := u.n.now()
	r, at, due := u.gatherer.PrepareWrite(sent, u.fleetTime(sent))
	if !due {
		return
	}
	held, _ := u.gatherer.Holder(sent)
	u.mu.Unlock()
	stored, err := u.writeRecord(ctx, r, at)
	u.mu.Lock()
	if err != nil {
		u.n.log.Info("usage: record not written", "token", r.Token, "err", err.Error())
		u.gatherer.FailWrite()
		return
	}
	first, givenUp := u.gatherer.ConfirmWrite(u.n.now(), sent, r, lease.StoredAt{Era: stored.Era, Revision: stored.Revision})
	if givenUp > 0 {
		u.n.log.Info("usage: windows given up", "window", first, "windows", givenUp, "token", r.Token)
		u.n.metrics.set.GetOrCreateCounter("burdockseam_usage_lost_total").Add(givenUp)
	}
	if now, _ := u.gatherer.Holder(u.n.now()); held == "" && now != "" {
		u.n.log.Info("usage: reports taken over", "token", r.Token, "era", stored.Era, "next", r.Next, "open", len(r.Open))
	}
}

// readRecord reads the newest record of the store. Each era has an object of its own, so that a
// write that was meant for one era can't replace the record of another.
func (u *usageReports) readRecord(ctx context.Context) (r usage.Record, era uint64, at lease.StoredAt, err error) {
	objects, stamp, err := u.n.platform.Store.List(ctx, KindUsage)
	if err != nil {
		return r, 0, at, err
	}
	at.Era = stamp.Era
	var newest Object
	for _, o := range objects {
		if e, err := strconv.ParseUint(o.Name, 10, 64); err == nil && (newest.Name == "" || e > era) {
			newest, era = o, e
		}
	}
	if newest.Name == "" {
		return r, stamp.Era, at, nil
	}
	if era == stamp.Era {
		at.Revision = newest.Revision
	}
	return r, era, at, Error.Wrap(json.Unmarshal(newest.Data, &r))
}

// writeRecord writes a record in place of the one at the given point.
func (u *usageReports) writeRecord(ctx context.Context, r usage.Record, at lease.StoredAt) (Object, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return Object{}, Error.Wrap(err)
	}
	o := Object{Name: strconv.FormatUint(at.Era, 10), Revision: at.Revision, Data: data}
	if at.Revision == 0 {
		return u.n.platform.Store.Create(ctx, KindUsage, o)
	}
	return u.n.platform.Store.Replace(ctx, KindUsage, o)
}

// report sends the report of a sealed window to the platform. It was due at the given time; if
// the process has stood still since, the lease may have ended. The call ends with the lease.
func (u *usageReports) report(ctx context.Context, due, leaseEnd time.Time, r usage.Report, token uint64) {
	ctx, cancel := context.WithTimeout(ctx, min(reportTimeout, leaseEnd.Sub(due)))
	defer cancel()
	name := u.n.settings().Name
	outcome, err := usage.NoAnswer, error(Error.New("the process stood still before the call"))
	if u.n.now().Sub(due) < maxCallDelay {
		outcome, err = u.n.platform.Reporter.Report(ctx, name, token, r.Window, r.Counts)
	}
	u.n.metrics.increment("burdockseam_usage_reports_total{outcome=\"" + string(outcome) + "\"}")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gatherer.HandleOutcome(r.Window, token, outcome)
	end := usage.WindowEnd(r.Window, u.settings.Window)
	w := usage.Summarize(r, end, name, token, outcome, u.fleetTime(u.n.now()))
	u.history = usage.MergeHistory(u.history, []usage.Summary{w}, usageHistory)
	u.n.log.Info("usage: window", "window", w.Window, "requests", w.Requests, "teams", w.Teams, "from", w.From, "lacking", w.Lacking,
		"holder", name, "token", token, "outcome", outcome, "after", w.After, "short", float64(r.Lacking) > u.settings.Off*float64(r.From+r.Lacking), "err", errorText(err))
}

// windows returns the last windows that this instance has reported, the newest last.
func (u *usageReports) windows() []usage.Summary {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.history)
}

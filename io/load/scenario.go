package load

// A scenario injects one fault. Most faults begin at three tenths of the run and end at
// seven tenths, so that there is load before, during and after them.

import (
	"context"
	"time"

	"burdockseam/io/storetest"
	"burdockseam/io/upstreamtest"
)

// Scenario injects a fault while the load runs.
type Scenario struct {
	// Name identifies the scenario, and Fault describes what it injects.
	Name, Fault string
	// Processes is set if the scenario needs instances in processes of their own, and
	// InProcess if it needs them in this process.
	Processes, InProcess bool
	// HotTeam is set if one team sends more than its rate.
	HotTeam bool
	run     func(ctx context.Context, r *Run) error
}

const (
	faultBegin = 0.3
	faultEnd   = 0.7
)

// faultBetween returns a scenario that calls begin and end at the usual shares of the run.
func faultBetween(begin, end func(ctx context.Context, r *Run) error) func(context.Context, *Run) error {
	return func(ctx context.Context, r *Run) error {
		if !r.waitUntilShare(ctx, faultBegin) {
			return nil
		}
		r.addMark("fault begins")
		if err := begin(ctx, r); err != nil {
			return err
		}
		if !r.waitUntilShare(ctx, faultEnd) {
			return nil
		}
		r.addMark("fault ends")
		return end(ctx, r)
	}
}

// action adapts a function that cannot fail, such as one that switches a fault of a
// stand-in, for faultBetween.
func action(f func(r *Run)) func(context.Context, *Run) error {
	return func(_ context.Context, r *Run) error {
		f(r)
		return nil
	}
}

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	{Name: "none", Fault: "no fault", run: func(context.Context, *Run) error { return nil }},
	{Name: "primary-cut", Fault: "a primary is cut off until the end", run: faultBetween(
		action(func(r *Run) { r.firstPrimary().Isolate() }), action(func(*Run) {}))},
	{Name: "primary-paused", Fault: "a primary is paused and resumed", run: pausePrimary},
	{Name: "primary-back", Fault: "a primary is cut off and comes back", run: isolatePrimary},
	{Name: "lag", Fault: "one replica of each group lags by 500 ms", run: faultBetween(
		action(func(r *Run) { r.setReplicaLag(500 * time.Millisecond) }), action(func(r *Run) { r.setReplicaLag(r.Lag) }))},
	{Name: "instance-killed", Fault: "two instances are killed", run: killInstances},
	{Name: "instance-paused", Fault: "an instance is paused and resumed", Processes: true, run: pauseInstance},
	{Name: "store-refuse", Fault: "the store refuses connections", run: faultBetween(
		action(func(r *Run) { r.Fleet.Store.SetOutage(storetest.OutageRefuse) }),
		action(func(r *Run) { r.Fleet.Store.SetOutage(storetest.OutageNone) }))},
	{Name: "store-hang", Fault: "the store does not answer", run: faultBetween(
		action(func(r *Run) { r.Fleet.Store.SetOutage(storetest.OutageHang) }),
		action(func(r *Run) { r.Fleet.Store.SetOutage(storetest.OutageNone) }))},
	{Name: "store-lost", Fault: "the store's answers are lost while a primary is cut off", run: loseStoreResponses},
	{Name: "store-slow", Fault: "the store serves one call in 50 ms", run: faultBetween(
		action(func(r *Run) { r.Fleet.Store.SetServiceTime(50 * time.Millisecond) }),
		action(func(r *Run) { r.Fleet.Store.SetServiceTime(0) }))},
	{Name: "key-withdrawn", Fault: "a key is withdrawn while it is used", run: withdrawUsedKey},
	{Name: "operators", Fault: "operators race with configuration changes", run: raceOperators},
	{Name: "domain-out", Fault: "a failure domain is taken out and back", run: takeDomainOut},
	{Name: "domain-lost", Fault: "a failure domain is lost and comes back", InProcess: true, run: loseDomain},
	{Name: "upstream-leaving", Fault: "a primary's upstream leaves", run: markUpstreamLeaving},
	{Name: "team-10x", Fault: "one team sends 10 times its rate", HotTeam: true, run: faultBetween(
		action(func(*Run) {}), action(func(*Run) {}))},
	{Name: "rolling", Fault: "every instance is replaced", run: replaceInstances},
	{Name: "region-cut", Fault: "a region is cut off from peers and the store", InProcess: true, run: partitionRegion},
	{Name: "answers-swapped", Fault: "an upstream swaps answers of connections", run: faultBetween(
		action(func(r *Run) { r.firstPrimary().SwapResponses(5) }), action(func(r *Run) { r.firstPrimary().SwapResponses(0) }))},
	{Name: "answers-delayed", Fault: "an upstream delays answers by 300 ms", run: faultBetween(
		action(func(r *Run) { r.firstPrimary().DelayResponses(300 * time.Millisecond) }),
		action(func(r *Run) { r.firstPrimary().DelayResponses(0) }))},
	{Name: "answers-lost", Fault: "a primary loses answers to committed writes", run: faultBetween(
		action(func(r *Run) { r.firstPrimary().LoseResponses(10, false) }), action(func(r *Run) { r.firstPrimary().LoseResponses(0, false) }))},
}

// FindScenario returns the scenario with the name.
func FindScenario(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// firstPrimary returns the present primary of the first group, or nil.
func (r *Run) firstPrimary() *upstreamtest.Upstream {
	return r.Fleet.Groups[r.Deployment.Groups[0]].Primary()
}

// setReplicaLag sets the replication lag of one replica of each group. If all replicas
// lagged alike, acknowledgements would wait for them, and even a baseline that reads
// anywhere would see every write.
func (r *Run) setReplicaLag(d time.Duration) {
	for _, g := range r.Fleet.Groups {
		p := g.Primary()
		for _, u := range g.Upstreams() {
			if u != p {
				u.SetLag(d)
				break
			}
		}
	}
}

// waitPrimary waits until the first group has a primary other than old and reports
// whether that happened before the context ended.
func (r *Run) waitPrimary(ctx context.Context, old *upstreamtest.Upstream) bool {
	for sleep(ctx, pollInterval/10) {
		if p := r.firstPrimary(); p != nil && p != old {
			return true
		}
	}
	return false
}

// pausePrimary pauses the primary of the first group and resumes it later.
func pausePrimary(ctx context.Context, r *Run) error {
	if !r.waitUntilShare(ctx, faultBegin) {
		return nil
	}
	old := r.firstPrimary()
	r.addMark("primary %s is paused", old.Name())
	old.Pause()
	if r.waitPrimary(ctx, old) {
		r.addMark("primary is %s", r.firstPrimary().Name())
	}
	r.waitUntilShare(ctx, faultEnd)
	r.addMark("%s is resumed", old.Name())
	old.Resume()
	return nil
}

// isolatePrimary partitions the primary of the first group and heals it later.
func isolatePrimary(ctx context.Context, r *Run) error {
	if !r.waitUntilShare(ctx, faultBegin) {
		return nil
	}
	old := r.firstPrimary()
	r.addMark("primary %s is cut off", old.Name())
	old.Isolate()
	if r.waitPrimary(ctx, old) {
		r.addMark("primary is %s", r.firstPrimary().Name())
	}
	r.waitUntilShare(ctx, faultEnd)
	r.addMark("%s is back", old.Name())
	old.HealPartitions()
	return nil
}

// loseStoreResponses lets the store lose 20 responses while a primary is partitioned, so
// that the coordinator does not learn whether its writes took effect.
func loseStoreResponses(ctx context.Context, r *Run) error {
	if !r.waitUntilShare(ctx, faultBegin) {
		return nil
	}
	r.addMark("the store loses 20 answers, %s is cut off", r.firstPrimary().Name())
	r.Fleet.Store.LoseResponses(20)
	old := r.firstPrimary()
	old.Isolate()
	if r.waitPrimary(ctx, old) {
		r.addMark("primary is %s", r.firstPrimary().Name())
	}
	r.waitUntilShare(ctx, faultEnd)
	r.addMark("fault ends")
	r.Fleet.Store.LoseResponses(0)
	old.HealPartitions()
	return nil
}

// killInstances kills two instances, the second at half of the run.
func killInstances(ctx context.Context, r *Run) error {
	for _, share := range []float64{faultBegin, 0.5} {
		if !r.waitUntilShare(ctx, share) {
			return nil
		}
		e := r.cluster.Endpoints()[0]
		r.addMark("%s is killed", e.Name)
		if err := r.cluster.Kill(e.Name); err != nil {
			return err
		}
	}
	return nil
}

// pauseInstance pauses the process of an instance and resumes it later.
func pauseInstance(ctx context.Context, r *Run) error {
	if !r.waitUntilShare(ctx, faultBegin) {
		return nil
	}
	e := r.cluster.Endpoints()[0]
	r.addMark("%s is paused", e.Name)
	if err := r.cluster.SetPaused(e.Name, true); err != nil {
		return err
	}
	r.waitUntilShare(ctx, faultEnd)
	r.addMark("%s is resumed", e.Name)
	return r.cluster.SetPaused(e.Name, false)
}

// replaceInstances replaces every instance, one after the other: a new instance starts and
// becomes ready before the old one is shut down gracefully.
func replaceInstances(ctx context.Context, r *Run) error {
	r.graceful = true
	if !r.waitUntilShare(ctx, 0.1) {
		return nil
	}
	for _, e := range r.cluster.Endpoints() {
		if ctx.Err() != nil {
			return nil
		}
		r.addMark("%s is replaced", e.Name)
		if err := r.cluster.Add(context.WithoutCancel(ctx), e.Domain); err != nil {
			return err
		}
		ready, stop := context.WithTimeout(context.WithoutCancel(ctx), 20*time.Second)
		err := r.waitReady(ready)
		stop()
		if err != nil {
			return err
		}
		if err := r.cluster.Stop(e.Name); err != nil {
			return err
		}
	}
	return nil
}

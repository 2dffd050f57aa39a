package load

// A scenario brings about one fault. Faults begin at three tenths of the run and end
// at seven tenths, so that there is load before, during and after them.

import (
	"context"
	"time"

	"burdockseam/io/storetest"
	"burdockseam/io/upstreamtest"
)

// Scenario is a fault under load.
type Scenario struct {
	Name, Fault string
	// Processes is set if the scenario needs instances in processes of their own, and
	// InProcess if it needs them in this process.
	Processes, InProcess bool
	// Hot is set if one team sends more than its rate.
	Hot bool
	do  func(ctx context.Context, r *Run) error
}

const (
	faultBegin = 0.3
	faultEnd   = 0.7
)

// during makes a scenario from the begin and the end of its fault.
func during(begin, end func(ctx context.Context, r *Run) error) func(context.Context, *Run) error {
	return func(ctx context.Context, r *Run) error {
		if !r.at(ctx, faultBegin) {
			return nil
		}
		r.mark("fault begins")
		if err := begin(ctx, r); err != nil {
			return err
		}
		if !r.at(ctx, faultEnd) {
			return nil
		}
		r.mark("fault ends")
		return end(ctx, r)
	}
}

// simple is a part of a scenario that only switches a fault of a stand-in.
func simple(f func(r *Run)) func(context.Context, *Run) error {
	return func(_ context.Context, r *Run) error {
		f(r)
		return nil
	}
}

// Scenarios are all scenarios.
var Scenarios = []Scenario{
	{Name: "none", Fault: "no fault", do: func(context.Context, *Run) error { return nil }},
	{Name: "primary-cut", Fault: "a primary is cut off until the end", do: during(
		simple(func(r *Run) { r.first().Isolate() }), simple(func(*Run) {}))},
	{Name: "primary-paused", Fault: "a primary is paused and resumed", do: pausedPrimary},
	{Name: "primary-back", Fault: "a primary is cut off and comes back", do: backPrimary},
	{Name: "lag", Fault: "one replica of each group lags by 500 ms", do: during(
		simple(func(r *Run) { r.lag(500 * time.Millisecond) }), simple(func(r *Run) { r.lag(r.Lag) }))},
	{Name: "instance-killed", Fault: "two instances are killed", do: killed},
	{Name: "instance-paused", Fault: "an instance is paused and resumed", Processes: true, do: pausedInstance},
	{Name: "store-refuse", Fault: "the store refuses connections", do: during(
		simple(func(r *Run) { r.Fleet.Store.SetOutage(storetest.OutageRefuse) }),
		simple(func(r *Run) { r.Fleet.Store.SetOutage(storetest.OutageNone) }))},
	{Name: "store-hang", Fault: "the store does not answer", do: during(
		simple(func(r *Run) { r.Fleet.Store.SetOutage(storetest.OutageHang) }),
		simple(func(r *Run) { r.Fleet.Store.SetOutage(storetest.OutageNone) }))},
	{Name: "store-lost", Fault: "the store's answers are lost while a primary is cut off", do: storeLost},
	{Name: "store-slow", Fault: "the store serves one call in 50 ms", do: during(
		simple(func(r *Run) { r.Fleet.Store.SetServiceTime(50 * time.Millisecond) }),
		simple(func(r *Run) { r.Fleet.Store.SetServiceTime(0) }))},
	{Name: "key-withdrawn", Fault: "a key is withdrawn while it is used", do: withdrawn},
	{Name: "operators", Fault: "operators race with configuration changes", do: operators},
	{Name: "domain-out", Fault: "a failure domain is taken out and back", do: domainOut},
	{Name: "domain-lost", Fault: "a failure domain is lost and comes back", InProcess: true, do: domainLost},
	{Name: "upstream-leaving", Fault: "a primary's upstream leaves", do: leaving},
	{Name: "team-10x", Fault: "one team sends 10 times its rate", Hot: true, do: during(
		simple(func(*Run) {}), simple(func(*Run) {}))},
	{Name: "rolling", Fault: "every instance is replaced", do: rolling},
	{Name: "region-cut", Fault: "a region is cut off from peers and the store", InProcess: true, do: regionCut},
	{Name: "answers-swapped", Fault: "an upstream swaps answers of connections", do: during(
		simple(func(r *Run) { r.first().SwapAnswers(5) }), simple(func(r *Run) { r.first().SwapAnswers(0) }))},
	{Name: "answers-delayed", Fault: "an upstream delays answers by 300 ms", do: during(
		simple(func(r *Run) { r.first().DelayAnswers(300 * time.Millisecond) }),
		simple(func(r *Run) { r.first().DelayAnswers(0) }))},
	{Name: "answers-lost", Fault: "a primary loses answers to committed writes", do: during(
		simple(func(r *Run) { r.first().LoseAnswers(10, false) }), simple(func(r *Run) { r.first().LoseAnswers(0, false) }))},
}

// Find returns a scenario by name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// first is the primary of the first group.
func (r *Run) first() *upstreamtest.Upstream {
	return r.Fleet.Groups[r.Deployment.Groups[0]].Primary()
}

// lag sets the lag of one replica of each group. If all lag alike, acknowledgements
// wait for them, and even a baseline that reads anywhere sees every write.
func (r *Run) lag(d time.Duration) {
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

// waitPrimary waits until the first group has another primary than the old one.
func (r *Run) waitPrimary(ctx context.Context, old *upstreamtest.Upstream) bool {
	for sleep(ctx, pollInterval/10) {
		if p := r.first(); p != nil && p != old {
			return true
		}
	}
	return false
}

func pausedPrimary(ctx context.Context, r *Run) error {
	if !r.at(ctx, faultBegin) {
		return nil
	}
	old := r.first()
	r.mark("primary %s is paused", old.Name())
	old.Pause()
	if r.waitPrimary(ctx, old) {
		r.mark("primary is %s", r.first().Name())
	}
	r.at(ctx, faultEnd)
	r.mark("%s is resumed", old.Name())
	old.Resume()
	return nil
}

func backPrimary(ctx context.Context, r *Run) error {
	if !r.at(ctx, faultBegin) {
		return nil
	}
	old := r.first()
	r.mark("primary %s is cut off", old.Name())
	old.Isolate()
	if r.waitPrimary(ctx, old) {
		r.mark("primary is %s", r.first().Name())
	}
	r.at(ctx, faultEnd)
	r.mark("%s is back", old.Name())
	old.HealPartitions()
	return nil
}

func storeLost(ctx context.Context, r *Run) error {
	if !r.at(ctx, faultBegin) {
		return nil
	}
	r.mark("the store loses 20 answers, %s is cut off", r.first().Name())
	r.Fleet.Store.LoseResponses(20)
	old := r.first()
	old.Isolate()
	if r.waitPrimary(ctx, old) {
		r.mark("primary is %s", r.first().Name())
	}
	r.at(ctx, faultEnd)
	r.mark("fault ends")
	r.Fleet.Store.LoseResponses(0)
	old.HealPartitions()
	return nil
}

func killed(ctx context.Context, r *Run) error {
	for _, share := range []float64{faultBegin, 0.5} {
		if !r.at(ctx, share) {
			return nil
		}
		e := r.cluster.Endpoints()[0]
		r.mark("%s is killed", e.Name)
		if err := r.cluster.Kill(e.Name); err != nil {
			return err
		}
	}
	return nil
}

func pausedInstance(ctx context.Context, r *Run) error {
	if !r.at(ctx, faultBegin) {
		return nil
	}
	e := r.cluster.Endpoints()[0]
	r.mark("%s is paused", e.Name)
	if err := r.cluster.Pause(e.Name, true); err != nil {
		return err
	}
	r.at(ctx, faultEnd)
	r.mark("%s is resumed", e.Name)
	return r.cluster.Pause(e.Name, false)
}

func rolling(ctx context.Context, r *Run) error {
	r.graceful = true
	if !r.at(ctx, 0.1) {
		return nil
	}
	for _, e := range r.cluster.Endpoints() {
		if ctx.Err() != nil {
			return nil
		}
		r.mark("%s is replaced", e.Name)
		if err := r.cluster.Add(context.WithoutCancel(ctx), e.Domain); err != nil {
			return err
		}
		ready, stop := context.WithTimeout(context.WithoutCancel(ctx), 20*time.Second)
		err := r.ready(ready)
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

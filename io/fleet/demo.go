package fleet

import (
	"context"
	"fmt"
	"io"
	"time"

	"burdockseam/core/config"
	"burdockseam/io/upstreamtest"
)

// Demo runs the booking workload for the duration d. Meanwhile it partitions a primary,
// kills an instance, and takes a failure domain out of service and puts it back. It then
// compares the outcomes reported to callers with the rows of the surviving primaries.
func (f *Fleet) Demo(ctx context.Context, d time.Duration, out io.Writer) (Counts, error) {
	w := &Workload{Fleet: f, Callers: 24, ThinkTime: 20 * time.Millisecond, Seed: 1}
	running, stop := context.WithTimeout(ctx, d)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(running)
	}()
	err := f.injectFaults(running, d, out)
	<-done
	if err != nil {
		return Counts{}, err
	}
	for _, g := range f.Groups {
		for _, u := range g.Upstreams() {
			u.HealPartitions()
		}
	}
	recovery, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
	defer cancel()
	if err := f.WaitReady(recovery); err != nil {
		return Counts{}, err
	}
	return w.Check()
}

// injectFaults injects the demo's faults, each at a fixed share of the duration, and
// prints each one.
func (f *Fleet) injectFaults(ctx context.Context, d time.Duration, out io.Writer) error {
	start := time.Now()
	domain := f.Deployment.Domains[len(f.Deployment.Domains)-1]
	primary := f.Groups[f.Deployment.Groups[0]].Primary()
	for _, step := range []struct {
		at     float64 // share of the duration
		name   string
		inject func() error
	}{
		{0.15, "primary " + primary.Name() + " is cut off", func() error { primary.Isolate(); return nil }},
		{0.45, "primary " + primary.Name() + " is back", func() error { primary.HealPartitions(); return nil }},
		{0.5, "an instance is killed", func() error { return f.Kill(f.Members()[0]) }},
		{0.65, "failure domain " + domain + " is taken out", func() error { return f.SetDomainState(ctx, domain, config.StateOut) }},
		{0.85, "failure domain " + domain + " is back", func() error { return f.SetDomainState(ctx, domain, config.StateIn) }},
	} {
		select {
		case <-time.After(time.Duration(step.at*float64(d)) - time.Since(start)):
		case <-ctx.Done():
			return nil
		}
		if _, err := fmt.Fprintf(out, "%6.1fs %s\n", time.Since(start).Seconds(), step.name); err != nil {
			return Error.Wrap(err)
		}
		if err := step.inject(); err != nil {
			return err
		}
	}
	return nil
}

// SetDomainState takes a failure domain out of service or puts it back, as an operator does.
func (f *Fleet) SetDomainState(ctx context.Context, domain string, s config.State) error {
	return f.EditConfig(ctx, "domain", func(files []config.File) ([]config.File, error) {
		return config.SetDomainState(files, domain, s, false)
	})
}

// EditConfig changes the configuration, as an operator does. The id of the operation
// begins with op.
func (f *Fleet) EditConfig(ctx context.Context, op string, edit func([]config.File) ([]config.File, error)) error {
	now := time.Now()
	_, err := f.ConfigClient().Edit(ctx, config.ChangeInfo{Op: fmt.Sprint(op, "-", now.UnixNano()), Author: "demo", Time: now}, edit)
	return Error.Wrap(err)
}

// UpstreamName returns the name of a group's upstream in the configuration, or "" if
// the upstream does not belong to the group.
func (f *Fleet) UpstreamName(group string, u *upstreamtest.Upstream) string {
	for i, other := range f.Groups[group].Upstreams() {
		if other == u {
			return upstreamName(group, f.Deployment.Domains[i])
		}
	}
	return ""
}

// PrintAddresses prints the addresses of the store and of the instances, the primary of
// each group, and a sample connection URL with a key, for an operator who wants to try
// the deployment.
func (f *Fleet) PrintAddresses(out io.Writer) error {
	p := &printer{out: out}
	p.printLine("deployment %s: store at %s", f.Deployment.Name, f.Store.Addr())
	for _, m := range f.Members() {
		s := m.Settings()
		p.printLine("instance %-10s callers %-22s operators http://%s", s.Name, s.Listen, s.Operator)
	}
	for _, name := range f.Deployment.Groups {
		p.printLine("group %s: primary %s", name, f.Groups[name].Primary().Name())
	}
	p.printLine("sample URL: %s", f.URL(f.Members()[0], f.Deployment.Teams[0].Name, f.Deployment.Groups[0]))
	return p.err
}

// printer writes lines and keeps the first error, after which it writes no more.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printLine(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format+"\n", args...)
	}
}

package fleet

import (
	"context"
	"fmt"
	"io"
	"time"

	"burdockseam/core/config"
	"burdockseam/io/upstreamtest"
)

// Demo runs the booking workload with a primary cut off, an instance killed and a
// failure domain taken out and back, and checks the result.
func (f *Fleet) Demo(ctx context.Context, d time.Duration, out io.Writer) (Counts, error) {
	w := &Workload{Fleet: f, Callers: 24, Think: 20 * time.Millisecond, Seed: 1}
	running, stop := context.WithTimeout(ctx, d)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(running)
	}()
	err := f.faults(running, d, out)
	<-done
	if err != nil {
		return Counts{}, err
	}
	for _, g := range f.Groups {
		for _, u := range g.Upstreams() {
			u.HealPartitions()
		}
	}
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
	defer cancel()
	if err := f.Ready(settle); err != nil {
		return Counts{}, err
	}
	return w.Check()
}

// faults brings about the demo's faults, each at its share of the duration.
func (f *Fleet) faults(ctx context.Context, d time.Duration, out io.Writer) error {
	start := time.Now()
	domain := f.Deployment.Domains[len(f.Deployment.Domains)-1]
	cut := f.Groups[f.Deployment.Groups[0]].Primary()
	for _, step := range []struct {
		at   float64
		name string
		do   func() error
	}{
		{0.15, "primary " + cut.Name() + " is cut off", func() error { cut.Isolate(); return nil }},
		{0.45, "primary " + cut.Name() + " is back", func() error { cut.HealPartitions(); return nil }},
		{0.5, "an instance is killed", func() error { return f.Kill(f.Members()[0]) }},
		{0.65, "failure domain " + domain + " is taken out", func() error { return f.SetDomain(ctx, domain, config.StateOut) }},
		{0.85, "failure domain " + domain + " is back", func() error { return f.SetDomain(ctx, domain, config.StateIn) }},
	} {
		select {
		case <-time.After(time.Duration(step.at*float64(d)) - time.Since(start)):
		case <-ctx.Done():
			return nil
		}
		if _, err := fmt.Fprintf(out, "%6.1fs %s\n", time.Since(start).Seconds(), step.name); err != nil {
			return Error.Wrap(err)
		}
		if err := step.do(); err != nil {
			return err
		}
	}
	return nil
}

// SetDomain takes a failure domain out or in, as an operator does.
func (f *Fleet) SetDomain(ctx context.Context, domain string, s config.State) error {
	return f.Edit(ctx, "domain", func(files []config.File) ([]config.File, error) {
		return config.SetDomainState(files, domain, s, false)
	})
}

// Edit changes the configuration, as an operator does.
func (f *Fleet) Edit(ctx context.Context, op string, edit func([]config.File) ([]config.File, error)) error {
	now := time.Now()
	_, err := f.Config().Edit(ctx, config.ChangeInfo{Op: fmt.Sprint(op, "-", now.UnixNano()), Author: "demo", Time: now}, edit)
	return Error.Wrap(err)
}

// UpstreamName returns the configuration's name for an upstream of a group.
func (f *Fleet) UpstreamName(group string, u *upstreamtest.Upstream) string {
	for i, other := range f.Groups[group].Upstreams() {
		if other == u {
			return upstreamName(group, f.Deployment.Domains[i])
		}
	}
	return ""
}

// Describe prints the addresses, and a sample URL with a key, for an operator who
// wants to try the deployment.
func (f *Fleet) Describe(out io.Writer) error {
	p := &printer{out: out}
	p.line("deployment %s: store at %s", f.Deployment.Name, f.Store.Addr())
	for _, m := range f.Members() {
		s := m.Settings()
		p.line("instance %-10s callers %-22s operators http://%s", s.Name, s.Listen, s.Operator)
	}
	for _, name := range f.Deployment.Groups {
		p.line("group %s: primary %s", name, f.Groups[name].Primary().Name())
	}
	p.line("sample URL: %s", f.URL(f.Members()[0], f.Deployment.Teams[0].Name, f.Deployment.Groups[0]))
	return p.err
}

// printer writes lines until one fails.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format+"\n", args...)
	}
}

package load

// Scenarios in which operators change something, and cuts between regions.

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"sync"
	"time"

	"burdockseam/core/config"
	"burdockseam/core/key"
	"burdockseam/io/upstreamtest"
)

// withdrawn uses a second key of a team at every instance until long after its
// withdrawal.
func withdrawn(ctx context.Context, r *Run) error {
	team := r.Deployment.Teams[0].Name
	issued, err := key.Issue(rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	r.mu.Lock()
	r.secrets = append(r.secrets, issued.Text, issued.Hash)
	r.mu.Unlock()
	rev, err := r.edit(ctx, "issue", func(files []config.File) ([]config.File, error) {
		return config.IssueKey(files, team, issued)
	})
	if err != nil {
		return err
	}
	r.accepted(ctx, rev)
	r.mark("a key is issued")
	var gone time.Time
	var mu sync.Mutex
	var users sync.WaitGroup
	last := make(map[string]time.Duration) // the latest use after the withdrawal
	for _, e := range r.cluster.Endpoints() {
		users.Go(func() {
			for sleep(ctx, pollInterval) {
				begun := time.Now()
				if !r.works(ctx, e, team, issued.Text) {
					continue
				}
				mu.Lock()
				if after := begun.Sub(gone); !gone.IsZero() && after > 0 {
					last[e.Name] = after
					r.used(e.Name, after)
				}
				mu.Unlock()
			}
		})
	}
	if r.at(ctx, faultBegin) {
		rev, err = r.edit(ctx, "withdraw", func(files []config.File) ([]config.File, error) {
			return config.WithdrawKey(files, issued.ID)
		})
		mu.Lock()
		gone = time.Now()
		mu.Unlock()
		r.mark("the key is withdrawn")
		if err == nil {
			r.accepted(ctx, rev)
		}
	}
	users.Wait()
	worst := time.Duration(0)
	for _, d := range last {
		worst = max(worst, d)
	}
	r.mark("last use of the key %v after its withdrawal", worst.Round(time.Millisecond))
	return err
}

// used counts a use of a withdrawn key that is later than the bound.
func (r *Run) used(name string, after time.Duration) {
	if after > r.bounds.key {
		r.broken(Withdrawn, 1, "at %s after %v", name, after)
	}
}

// operatorsAtOnce is the number of operators that change different files.
const operatorsAtOnce = 4

// operators lets several operators change files of their own at the same time. Every
// accepted change must be in force at the end.
func operators(ctx context.Context, r *Run) error {
	if !r.at(ctx, 0.1) {
		return nil
	}
	r.mark("operators begin")
	var mu sync.Mutex
	var all sync.WaitGroup
	var late time.Duration
	changes := 0
	final := make(map[string]string)
	for i := range operatorsAtOnce {
		team := r.Deployment.Teams[i].Name
		name := fmt.Sprintf("80-%s.ini", team)
		all.Go(func() {
			for n := 1; ctx.Err() == nil; n++ {
				text := fmt.Sprintf("[team %s]\nburst = %d\n", team, r.Deployment.Teams[i].Burst+n)
				rev, err := r.edit(ctx, team, func(files []config.File) ([]config.File, error) {
					return replace(files, name, text), nil
				})
				if err != nil {
					continue // nothing was accepted, or the run is over
				}
				d := r.accepted(ctx, rev)
				mu.Lock()
				final[name] = text
				changes++
				late = max(late, d)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	r.mark("operators end: %d changes, the slowest in force everywhere after %v", changes, late.Round(time.Millisecond))
	load, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Second)
	defer cancel()
	_, files, err := r.Fleet.Config().Load(load)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, f := range files {
		if want, ok := final[f.Name]; ok && newer(want, string(f.Data)) {
			r.broken(LateRevisions, 1, "%s holds %q, accepted was %q", f.Name, f.Data, want)
		}
	}
	return nil
}

// newer reports whether the accepted text is newer than the one that is in force. A
// change whose acceptance was not told may be one ahead.
func newer(accepted, have string) bool {
	var a, h int
	_, err := fmt.Sscanf(accepted[strings.Index(accepted, "burst"):], "burst = %d", &a)
	if i := strings.Index(have, "burst"); i < 0 || err != nil {
		return true
	} else if _, err := fmt.Sscanf(have[i:], "burst = %d", &h); err != nil {
		return true
	}
	return h < a
}

func replace(files []config.File, name, text string) []config.File {
	var out []config.File
	for _, f := range files {
		if f.Name != name {
			out = append(out, f)
		}
	}
	return append(out, config.File{Name: name, Data: []byte(text)})
}

// executed counts the statements of callers at upstreams.
func executed(list []*upstreamtest.Upstream) int {
	n := 0
	for _, u := range list {
		n += u.Stats().Executions["burdockseam"]
	}
	return n
}

// quiet counts as broken what upstreams execute from the bound after a change on,
// until the share of the run.
func (r *Run) quiet(ctx context.Context, p Promise, list []*upstreamtest.Upstream, share float64) {
	changed := time.Now()
	if !sleep(ctx, r.bounds.out) {
		r.note("%s: the run is too short for the bound of %v", p, r.bounds.out)
		return
	}
	before := executed(list)
	r.at(ctx, share)
	r.broken(p, executed(list)-before, "statements later than %v", time.Since(changed).Round(time.Millisecond))
}

func (r *Run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

func (r *Run) inDomain(index int) []*upstreamtest.Upstream {
	var list []*upstreamtest.Upstream
	for _, g := range r.Fleet.Groups {
		list = append(list, g.Upstreams()[index])
	}
	return list
}

func domainOut(ctx context.Context, r *Run) error {
	if !r.at(ctx, 0.2) {
		return nil
	}
	domain := r.Deployment.Domains[0]
	set := func(s config.State) error {
		_, err := r.edit(ctx, "domain", func(files []config.File) ([]config.File, error) {
			return config.SetDomainState(files, domain, s, false)
		})
		return err
	}
	r.mark("failure domain %s is taken out", domain)
	r.mu.Lock()
	r.out[0], r.out[1] = time.Now(), r.begun.Add(r.Length)
	r.mu.Unlock()
	if err := set(config.StateOut); err != nil {
		return err
	}
	r.quiet(ctx, OutWork, r.inDomain(0), faultEnd)
	if ctx.Err() != nil {
		return nil
	}
	r.mark("failure domain %s is back", domain)
	return set(config.StateIn)
}

func leaving(ctx context.Context, r *Run) error {
	if !r.at(ctx, 0.2) {
		return nil
	}
	group := r.Deployment.Groups[0]
	u := r.first()
	name := r.Fleet.UpstreamName(group, u)
	r.mark("upstream %s leaves", name)
	if _, err := r.edit(ctx, "leaving", func(files []config.File) ([]config.File, error) {
		return config.SetUpstreamState(files, name, config.StateLeaving, false)
	}); err != nil {
		return err
	}
	r.quiet(ctx, LeavingWork, []*upstreamtest.Upstream{u}, 1)
	return nil
}

// domainLost kills the instances of a failure domain and cuts its upstreams off.
func domainLost(ctx context.Context, r *Run) error {
	if !r.at(ctx, faultBegin) {
		return nil
	}
	domain := r.Deployment.Domains[0]
	r.mark("failure domain %s is lost", domain)
	for _, u := range r.inDomain(0) {
		u.Isolate()
	}
	lost := 0
	for _, e := range r.cluster.Endpoints() {
		if e.Domain != domain {
			continue
		}
		if err := r.cluster.Kill(e.Name); err != nil {
			return err
		}
		lost++
	}
	r.at(ctx, faultEnd)
	r.mark("failure domain %s is back", domain)
	for _, u := range r.inDomain(0) {
		u.Heal()
	}
	for range lost {
		if err := r.cluster.Add(context.WithoutCancel(ctx), domain); err != nil {
			return err
		}
	}
	return nil
}

// regionCut cuts the instances and the upstreams of the first failure domain off
// from the others and from the store.
func regionCut(ctx context.Context, r *Run) error {
	if !r.at(ctx, faultBegin) {
		return nil
	}
	domain := r.Deployment.Domains[0]
	inside := make(map[string]bool) // names and peer addresses
	applications := make(map[string]bool)
	for _, e := range r.cluster.Endpoints() {
		if e.Domain == domain {
			inside[e.Name], inside[e.Peer] = true, true
			applications["burdockseam "+e.Name] = true
		}
	}
	cut := func(on bool) {
		for _, m := range r.Fleet.Members() {
			here := m.Domain == domain
			other := func(peer string) bool { return inside[peer] != here }
			if !on {
				other = nil
			}
			m.Settings().Partition.Set(other, other)
		}
		if !on {
			r.Fleet.Store.Cut(nil)
		} else {
			r.Fleet.Store.Cut(func(client string) bool { return inside[client] })
		}
		for _, g := range r.Fleet.Groups {
			for i, u := range g.Upstreams() {
				if !on {
					u.Heal()
					continue
				}
				here := i == 0
				// Data connections do not say whose they are, so only control is cut.
				u.Cut(func(c upstreamtest.Client) bool {
					app := c.Params["application_name"]
					return c.Params["database"] == upstreamtest.ControlDatabase && applications[app] != here
				})
				if here {
					u.CutPeers(g.Upstreams()...)
				}
			}
		}
	}
	r.mark("region of %s is cut off", domain)
	cut(true)
	r.at(ctx, faultEnd)
	r.mark("region of %s is back", domain)
	cut(false)
	return nil
}

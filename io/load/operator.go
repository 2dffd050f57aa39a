package load

// Scenarios in which operators change the configuration, or in which a whole failure
// domain is lost or partitioned.

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

// withdrawUsedKey issues a second key of a team and uses it at every instance, also long
// after its withdrawal. A use later than the bound breaks a promise.
func withdrawUsedKey(ctx context.Context, r *Run) error {
	team := r.Deployment.Teams[0].Name
	issued, err := key.Issue(rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	r.mu.Lock()
	r.secrets = append(r.secrets, issued.Text, issued.Hash)
	r.mu.Unlock()
	rev, err := r.editConfig(ctx, "issue", func(files []config.File) ([]config.File, error) {
		return config.IssueKey(files, team, issued)
	})
	if err != nil {
		return err
	}
	r.awaitInForce(ctx, rev)
	r.addMark("a key is issued")
	var withdrawnAt time.Time
	var mu sync.Mutex
	var users sync.WaitGroup
	last := make(map[string]time.Duration) // the latest use after the withdrawal
	for _, e := range r.cluster.Endpoints() {
		users.Go(func() {
			for sleep(ctx, pollInterval) {
				begun := time.Now()
				if !r.statementRuns(ctx, e, team, issued.Text) {
					continue
				}
				mu.Lock()
				if after := begun.Sub(withdrawnAt); !withdrawnAt.IsZero() && after > 0 {
					last[e.Name] = after
					r.checkKeyUse(e.Name, after)
				}
				mu.Unlock()
			}
		})
	}
	if r.waitUntilShare(ctx, faultBegin) {
		rev, err = r.editConfig(ctx, "withdraw", func(files []config.File) ([]config.File, error) {
			return config.WithdrawKey(files, issued.ID)
		})
		mu.Lock()
		withdrawnAt = time.Now()
		mu.Unlock()
		r.addMark("the key is withdrawn")
		if err == nil {
			r.awaitInForce(ctx, rev)
		}
	}
	users.Wait()
	worst := time.Duration(0)
	for _, d := range last {
		worst = max(worst, d)
	}
	r.addMark("last use of the key %v after its withdrawal", worst.Round(time.Millisecond))
	return err
}

// checkKeyUse counts a violation if a withdrawn key was used later than the bound after
// its withdrawal.
func (r *Run) checkKeyUse(name string, after time.Duration) {
	if after > r.bounds.key {
		r.recordViolation(WithdrawnKeyWork, 1, "at %s after %v", name, after)
	}
}

// operatorsAtOnce is the number of operators that change files at the same time.
const operatorsAtOnce = 4

// raceOperators lets several operators change the configuration at the same time, each in
// a file of its own. The configuration must hold every accepted change at the end.
func raceOperators(ctx context.Context, r *Run) error {
	if !r.waitUntilShare(ctx, 0.1) {
		return nil
	}
	r.addMark("operators begin")
	var mu sync.Mutex
	var all sync.WaitGroup
	var slowest time.Duration
	changes := 0
	final := make(map[string]string)
	for i := range operatorsAtOnce {
		team := r.Deployment.Teams[i].Name
		name := fmt.Sprintf("80-%s.ini", team)
		all.Go(func() {
			for n := 1; ctx.Err() == nil; n++ {
				text := fmt.Sprintf("[team %s]\nburst = %d\n", team, r.Deployment.Teams[i].Burst+n)
				rev, err := r.editConfig(ctx, team, func(files []config.File) ([]config.File, error) {
					return replaceFile(files, name, text), nil
				})
				if err != nil {
					continue // no change was accepted, or the run has ended
				}
				d := r.awaitInForce(ctx, rev)
				mu.Lock()
				final[name] = text
				changes++
				slowest = max(slowest, d)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	r.addMark("operators end: %d changes, the slowest in force everywhere after %v", changes, slowest.Round(time.Millisecond))
	load, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Second)
	defer cancel()
	_, files, err := r.Fleet.ConfigClient().Load(load)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, f := range files {
		if want, ok := final[f.Name]; ok && lostChange(want, string(f.Data)) {
			r.recordViolation(LateRevisions, 1, "file %s holds %q, want the accepted %q", f.Name, f.Data, want)
		}
	}
	return nil
}

// lostChange reports whether the text that the configuration holds is older than the
// accepted one. It may be newer, since a change can be accepted although its operator
// got an error.
func lostChange(accepted, have string) bool {
	var a, h int
	_, err := fmt.Sscanf(accepted[strings.Index(accepted, "burst"):], "burst = %d", &a)
	if i := strings.Index(have, "burst"); i < 0 || err != nil {
		return true
	} else if _, err := fmt.Sscanf(have[i:], "burst = %d", &h); err != nil {
		return true
	}
	return h < a
}

// replaceFile returns the files with the named file replaced or added.
func replaceFile(files []config.File, name, text string) []config.File {
	var out []config.File
	for _, f := range files {
		if f.Name != name {
			out = append(out, f)
		}
	}
	return append(out, config.File{Name: name, Data: []byte(text)})
}

// countExecuted counts the statements of callers that the upstreams have executed.
func countExecuted(list []*upstreamtest.Upstream) int {
	n := 0
	for _, u := range list {
		n += u.Stats().Executions["burdockseam"]
	}
	return n
}

// expectNoWork counts as violations of p the statements that the upstreams execute later
// than the bound after a change. It returns when the share of the run has passed.
func (r *Run) expectNoWork(ctx context.Context, p Promise, list []*upstreamtest.Upstream, share float64) {
	changed := time.Now()
	if !sleep(ctx, r.bounds.out) {
		r.addNote("%s: the run is too short for the bound of %v", p, r.bounds.out)
		return
	}
	before := countExecuted(list)
	r.waitUntilShare(ctx, share)
	r.recordViolation(p, countExecuted(list)-before, "statements ran later than %v after the change", time.Since(changed).Round(time.Millisecond))
}

// addNote adds a line to the notes of the result.
func (r *Run) addNote(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// upstreamsInDomain returns each group's upstream in the failure domain with the index.
func (r *Run) upstreamsInDomain(index int) []*upstreamtest.Upstream {
	var list []*upstreamtest.Upstream
	for _, g := range r.Fleet.Groups {
		list = append(list, g.Upstreams()[index])
	}
	return list
}

// takeDomainOut takes the first failure domain out of service, checks that its upstreams
// get no more work, and puts it back.
func takeDomainOut(ctx context.Context, r *Run) error {
	if !r.waitUntilShare(ctx, 0.2) {
		return nil
	}
	domain := r.Deployment.Domains[0]
	set := func(s config.State) error {
		_, err := r.editConfig(ctx, "domain", func(files []config.File) ([]config.File, error) {
			return config.SetDomainState(files, domain, s, false)
		})
		return err
	}
	r.addMark("failure domain %s is taken out", domain)
	r.mu.Lock()
	r.domainMove[0], r.domainMove[1] = time.Now(), r.started.Add(r.Length)
	r.mu.Unlock()
	if err := set(config.StateOut); err != nil {
		return err
	}
	r.expectNoWork(ctx, OutDomainWork, r.upstreamsInDomain(0), faultEnd)
	if ctx.Err() != nil {
		return nil
	}
	r.addMark("failure domain %s is back", domain)
	return set(config.StateIn)
}

// markUpstreamLeaving marks the primary of the first group as leaving and checks that it
// gets no more work.
func markUpstreamLeaving(ctx context.Context, r *Run) error {
	if !r.waitUntilShare(ctx, 0.2) {
		return nil
	}
	group := r.Deployment.Groups[0]
	u := r.firstPrimary()
	name := r.Fleet.UpstreamName(group, u)
	r.addMark("upstream %s leaves", name)
	if _, err := r.editConfig(ctx, "leaving", func(files []config.File) ([]config.File, error) {
		return config.SetUpstreamState(files, name, config.StateLeaving, false)
	}); err != nil {
		return err
	}
	r.expectNoWork(ctx, LeavingUpstreamWork, []*upstreamtest.Upstream{u}, 1)
	return nil
}

// loseDomain kills the instances of the first failure domain and partitions its upstreams.
// At the end it starts as many new instances there.
func loseDomain(ctx context.Context, r *Run) error {
	if !r.waitUntilShare(ctx, faultBegin) {
		return nil
	}
	domain := r.Deployment.Domains[0]
	r.addMark("failure domain %s is lost", domain)
	for _, u := range r.upstreamsInDomain(0) {
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
	r.waitUntilShare(ctx, faultEnd)
	r.addMark("failure domain %s is back", domain)
	for _, u := range r.upstreamsInDomain(0) {
		u.HealPartitions()
	}
	for range lost {
		if err := r.cluster.Add(context.WithoutCancel(ctx), domain); err != nil {
			return err
		}
	}
	return nil
}

// partitionRegion partitions the instances and the upstreams of the first failure
// domain from the others and from the store.
func partitionRegion(ctx context.Context, r *Run) error {
	if !r.waitUntilShare(ctx, faultBegin) {
		return nil
	}
	domain := r.Deployment.Domains[0]
	inside := make(map[string]bool) // names and peer addresses of the instances
	applications := make(map[string]bool)
	for _, e := range r.cluster.Endpoints() {
		if e.Domain == domain {
			inside[e.Name], inside[e.Peer] = true, true
			applications["burdockseam "+e.Name] = true
		}
	}
	setPartition := func(on bool) {
		for _, m := range r.Fleet.Members() {
			here := m.Domain == domain
			unreachable := func(peer string) bool { return inside[peer] != here }
			if !on {
				unreachable = nil
			}
			m.Settings().Partition.Set(unreachable, unreachable)
		}
		if !on {
			r.Fleet.Store.SetPartition(nil)
		} else {
			r.Fleet.Store.SetPartition(func(client string) bool { return inside[client] })
		}
		for _, g := range r.Fleet.Groups {
			for i, u := range g.Upstreams() {
				if !on {
					u.HealPartitions()
					continue
				}
				here := i == 0
				// A data connection does not tell which instance opened it, so only control
				// connections are partitioned.
				u.Partition(func(c upstreamtest.Client) bool {
					app := c.Params["application_name"]
					return c.Params["database"] == upstreamtest.ControlDatabase && applications[app] != here
				})
				if here {
					u.PartitionPeers(g.Upstreams()...)
				}
			}
		}
	}
	r.addMark("region of %s is cut off", domain)
	setPartition(true)
	r.waitUntilShare(ctx, faultEnd)
	r.addMark("region of %s is back", domain)
	setPartition(false)
	return nil
}

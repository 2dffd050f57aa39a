package load

// What the run observes beside its own requests: readiness, revisions in force and logins
// with wrong keys.

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"burdockseam/core"
	"burdockseam/core/config"
	"burdockseam/io/instance"
)

// pollInterval is the time between two polls of the instances' status.
const pollInterval = 100 * time.Millisecond

// publishInstances writes the list of running instances to the store, as the platform
// does.
func (r *Run) publishInstances(list []instance.ListedInstance) error {
	text, err := json.Marshal(list)
	if err != nil {
		return Error.Wrap(err)
	}
	r.Fleet.Store.Set("platform/instances", text)
	return nil
}

// waitReady waits until every instance is ready for callers and knows the primary of
// every group, and every quota shard has an owner.
func (r *Run) waitReady(ctx context.Context) error {
	for {
		reason := r.unreadyReason(ctx)
		if reason == "" {
			return nil
		}
		if !sleep(ctx, pollInterval/2) {
			return Error.New("the deployment is not ready: %s", reason)
		}
	}
}

// unreadyReason returns why the deployment is not ready, or "" if it is.
func (r *Run) unreadyReason(ctx context.Context) string {
	owned := 0
	list := r.cluster.Endpoints()
	for _, e := range list {
		s, err := r.instanceStatus(ctx, e)
		if err != nil {
			return err.Error()
		}
		owned += len(s.Shards)
		switch {
		case !s.Ready:
			return e.Name + ": " + s.Reason
		case len(s.Owners) < core.Shards:
			return e.Name + ": a quota shard has no known owner"
		}
		for _, g := range r.Deployment.Groups {
			if s.Groups[g].Term == 0 {
				return e.Name + ": group " + g + " has no recorded primary"
			}
		}
	}
	if owned < core.Shards {
		return fmt.Sprintf("%d of %d quota shards have an owner", owned, core.Shards)
	}
	return ""
}

// instanceStatus fetches the status of an instance within a second.
func (r *Run) instanceStatus(ctx context.Context, e Endpoint) (instance.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return fetchStatus(ctx, e)
}

// watchRevisions counts a violation for each time that the revision in force at an
// instance decreases.
func (r *Run) watchRevisions(ctx context.Context) {
	newest := make(map[string]uint64)
	for sleep(ctx, pollInterval) {
		for _, e := range r.cluster.Endpoints() {
			s, err := r.instanceStatus(ctx, e)
			if err != nil {
				continue // the instance is down or paused
			}
			if s.Revision < newest[e.Name] {
				r.recordViolation(RevertedRevisions, 1, "%s went back from revision %d to %d", e.Name, newest[e.Name], s.Revision)
			}
			newest[e.Name] = max(newest[e.Name], s.Revision)
		}
	}
}

// tryWrongKeys repeatedly logs in as a team with the key of another. It must never work.
func (r *Run) tryWrongKeys(ctx context.Context) {
	teams := r.Deployment.Teams
	for i := 0; sleep(ctx, 3*pollInterval); i++ {
		list := r.cluster.Endpoints()
		if len(list) == 0 {
			continue
		}
		team, other := teams[i%len(teams)].Name, teams[(i+1)%len(teams)].Name
		if r.statementRuns(ctx, list[i%len(list)], team, r.Fleet.Keys[other]) {
			r.recordViolation(WrongTeamWork, 1, "team %s ran a statement with a key of team %s at %s", team, other, list[i%len(list)].Name)
		}
	}
}

// statementRuns reports whether the team can log in with the key and run a statement.
func (r *Run) statementRuns(ctx context.Context, e Endpoint, team, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := pgconn.Connect(ctx, r.callerURL(e, team, r.Deployment.Groups[0], key))
	if err != nil {
		return false
	}
	defer c.Close(ctx)
	_, err = c.Exec(ctx, "SELECT 1").ReadAll()
	return err == nil
}

// awaitInForce waits until a revision is in force at every instance and returns how long
// that took. It counts a violation if that takes longer than the bound.
func (r *Run) awaitInForce(ctx context.Context, revision uint64) time.Duration {
	begun := time.Now()
	for {
		behind := ""
		for _, e := range r.cluster.Endpoints() {
			if s, err := r.instanceStatus(ctx, e); err != nil || s.Revision < revision {
				behind = e.Name
			}
		}
		if behind == "" {
			return time.Since(begun)
		}
		if time.Since(begun) > r.bounds.revision {
			r.recordViolation(LateRevisions, 1, "revision %d is not in force at %s", revision, behind)
			return time.Since(begun)
		}
		if !sleep(ctx, pollInterval/4) {
			return time.Since(begun)
		}
	}
}

// editConfig changes the configuration, as an operator does, and returns the new revision.
func (r *Run) editConfig(ctx context.Context, author string, change func([]config.File) ([]config.File, error)) (uint64, error) {
	now := time.Now()
	res, err := r.Fleet.ConfigClient().Edit(ctx, config.ChangeInfo{
		Op: fmt.Sprint(author, "-", now.UnixNano()), Author: author, Time: now,
	}, change)
	return res.Revision, Error.Wrap(err)
}

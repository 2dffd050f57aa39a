package load

// What the run observes besides its requests: readiness, revisions and wrong keys.

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

// pollInterval is the time between two looks at the instances.
const pollInterval = 100 * time.Millisecond

// publish writes the platform's list of instances.
func (r *Run) publish(list []instance.ListedInstance) error {
	text, err := json.Marshal(list)
	if err != nil {
		return Error.Wrap(err)
	}
	r.Fleet.Store.Set("platform/instances", text)
	return nil
}

// ready waits until every instance serves and every group has a primary.
func (r *Run) ready(ctx context.Context) error {
	for {
		reason := r.notReady(ctx)
		if reason == "" {
			return nil
		}
		if !sleep(ctx, pollInterval/2) {
			return Error.New("the deployment is not ready: %s", reason)
		}
	}
}

func (r *Run) notReady(ctx context.Context) string {
	owned := 0
	list := r.cluster.Endpoints()
	for _, e := range list {
		s, err := r.status(ctx, e)
		if err != nil {
			return err.Error()
		}
		owned += len(s.Shards)
		switch {
		case !s.Ready:
			return e.Name + ": " + s.Reason
		case len(s.Owners) < core.Shards:
			return e.Name + ": an owner of a quota shard is not known"
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

func (r *Run) status(ctx context.Context, e Endpoint) (instance.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return status(ctx, e)
}

// watchRevisions counts revisions that decrease at an instance.
func (r *Run) watchRevisions(ctx context.Context) {
	newest := make(map[string]uint64)
	for sleep(ctx, pollInterval) {
		for _, e := range r.cluster.Endpoints() {
			s, err := r.status(ctx, e)
			if err != nil {
				continue // the instance is down or paused
			}
			if s.Revision < newest[e.Name] {
				r.broken(Reverted, 1, "%s went from %d to %d", e.Name, newest[e.Name], s.Revision)
			}
			newest[e.Name] = max(newest[e.Name], s.Revision)
		}
	}
}

// tryWrongKeys logs in with another team's key again and again. It must never work.
func (r *Run) tryWrongKeys(ctx context.Context) {
	teams := r.Deployment.Teams
	for i := 0; sleep(ctx, 3*pollInterval); i++ {
		list := r.cluster.Endpoints()
		if len(list) == 0 {
			continue
		}
		team, other := teams[i%len(teams)].Name, teams[(i+1)%len(teams)].Name
		if r.works(ctx, list[i%len(list)], team, r.Fleet.Keys[other]) {
			r.broken(WrongTeam, 1, "team %s with a key of %s at %s", team, other, list[i%len(list)].Name)
		}
	}
}

// works reports whether a statement runs for the team with the key.
func (r *Run) works(ctx context.Context, e Endpoint, team, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := pgconn.Connect(ctx, r.url(e, team, r.Deployment.Groups[0], key))
	if err != nil {
		return false
	}
	defer c.Close(ctx)
	_, err = c.Exec(ctx, "SELECT 1").ReadAll()
	return err == nil
}

// accepted waits until a revision is in force everywhere and counts if it is late.
func (r *Run) accepted(ctx context.Context, revision uint64) time.Duration {
	begun := time.Now()
	for {
		behind := ""
		for _, e := range r.cluster.Endpoints() {
			if s, err := r.status(ctx, e); err != nil || s.Revision < revision {
				behind = e.Name
			}
		}
		if behind == "" {
			return time.Since(begun)
		}
		if time.Since(begun) > r.bounds.revision {
			r.broken(LateRevisions, 1, "revision %d is not in force at %s", revision, behind)
			return time.Since(begun)
		}
		if !sleep(ctx, pollInterval/4) {
			return time.Since(begun)
		}
	}
}

// edit changes the configuration as an operator does.
func (r *Run) edit(ctx context.Context, author string, change func([]config.File) ([]config.File, error)) (uint64, error) {
	now := time.Now()
	res, err := r.Fleet.Config().Edit(ctx, config.ChangeInfo{
		Op: fmt.Sprint(author, "-", now.UnixNano()), Author: author, Time: now,
	}, change)
	return res.Revision, Error.Wrap(err)
}

package load

// A benchmark of failovers, one after the other. Each group has several writers, which
// write all the time at different instances. The times at which the coordinator logs its
// steps show how the failover gap divides.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"burdockseam/core/wal"
	"burdockseam/io/fleet"
)

// FailoverOptions configures a benchmark of failovers.
type FailoverOptions struct {
	Deployment fleet.Deployment
	Count      int // number of failovers
	Seed       uint64
	Lag        time.Duration // replication lag of the replicas
	// Log receives the instances' logs. If it has a sink, the times Claim, Record and
	// Promoted are not measured, since they are taken from these logs.
	Log logr.Logger
}

// Failover is one unplanned change of a primary. Gap is a duration, and the other times
// count from the partition of the old primary, all in milliseconds.
type Failover struct {
	Group string `json:"group"`
	// Gap is the time from the last acknowledgement by the old primary to the first by
	// the new one.
	Gap float64 `json:"gap"`
	// Claim is when the coordinator first proposed its claim, Record when it recorded
	// the new term, and Promoted when the promoted upstream responded. First is the
	// first acknowledgement by the new primary.
	Claim    float64 `json:"claim"`
	Record   float64 `json:"record"`
	Promoted float64 `json:"promoted"`
	First    float64 `json:"first"`
}

// FailoverResult holds the failovers of a run, with the median and the maximum of their
// gaps in milliseconds.
type FailoverResult struct {
	Deployment string     `json:"deployment"`
	Seed       uint64     `json:"seed"`
	List       []Failover `json:"list"`
	Median     float64    `json:"median"`
	Max        float64    `json:"max"`
}

// stepLog keeps the log lines about groups with the times at which they were logged.
type stepLog struct {
	mu   sync.Mutex
	list []loggedStep
}

type loggedStep struct {
	at   time.Time
	text string
}

// add is the sink of the instances' logs.
func (s *stepLog) add(_, args string) {
	if !strings.Contains(args, `"msg"="group: `) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, loggedStep{time.Now(), args})
}

// millisAfter returns the milliseconds from t to the first line since t that contains all
// parts, or 0 if there is none.
func (s *stepLog) millisAfter(t time.Time, parts ...string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
next:
	for _, x := range s.list {
		if x.at.Before(t) {
			continue
		}
		for _, p := range parts {
			if !strings.Contains(x.text, p) {
				continue next
			}
		}
		return millis(x.at.Sub(t))
	}
	return 0
}

// millis converts a duration to milliseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

const (
	// writersPerGroup is the number of writers of each group. They write at different
	// instances, so that the gap does not depend on a single instance.
	writersPerGroup = 4
	// failoverSpacing is the least time between two failovers of a group. It exceeds the
	// hysteresis of the coordinator, 5 s.
	failoverSpacing = 5500 * time.Millisecond
	// failoverTimeout is the time after which a failover has failed and the run ends.
	failoverTimeout = 30 * time.Second
)

// Failovers partitions the primaries of the groups in turn, o.Count times, and measures
// each failover.
func Failovers(ctx context.Context, o FailoverOptions) (FailoverResult, error) {
	var logged stepLog
	res := FailoverResult{Deployment: string(o.Deployment.Name), Seed: o.Seed}
	log := funcr.New(logged.add, funcr.Options{})
	if o.Log.GetSink() != nil {
		log = o.Log
	}
	f, err := fleet.Start(ctx, o.Deployment, fleet.Options{Log: log, ReplicaLag: o.Lag})
	if err != nil {
		return res, Error.Wrap(err)
	}
	defer f.Close()
	ready, cancel := context.WithTimeout(ctx, time.Minute)
	err = f.WaitReady(ready)
	cancel()
	if err != nil {
		return res, Error.Wrap(err)
	}
	r := &Run{Options: Options{Deployment: o.Deployment}, Fleet: f, cluster: inProcessCluster{f}, written: make(map[string][]Event), started: time.Now()}
	writing, stop := context.WithCancel(ctx)
	defer stop()
	var writers sync.WaitGroup
	for gi, group := range o.Deployment.Groups {
		for w := range writersPerGroup {
			c := &caller{
				run: r, pool: pool{team: o.Deployment.Teams[w%2], group: group, route: group}, name: fmt.Sprintf("w%d-%d", gi, w),
				random: rand.New(rand.NewPCG(o.Seed, uint64(gi*writersPerGroup+w))),
			}
			writers.Go(func() {
				defer c.disconnect()
				for sleep(writing, 25*time.Millisecond) {
					c.perform(writing, arrival{at: time.Since(r.started), kind: KindWrite})
				}
			})
		}
	}
	random := rand.New(rand.NewPCG(o.Seed, 99))
	last := make(map[string]time.Time)
	for i := range o.Count {
		group := o.Deployment.Groups[i%len(o.Deployment.Groups)]
		if !sleep(ctx, time.Until(last[group].Add(failoverSpacing))) || !sleep(ctx, time.Duration(random.Int64N(int64(500*time.Millisecond)))) {
			return res, Error.Wrap(ctx.Err())
		}
		measured, err := r.measureFailover(ctx, group, &logged)
		if err != nil {
			return res, err
		}
		last[group] = time.Now()
		res.List = append(res.List, measured)
	}
	stop()
	writers.Wait()
	var gaps []float64
	for _, x := range res.List {
		gaps = append(gaps, x.Gap)
	}
	sort.Float64s(gaps)
	res.Median, res.Max = gaps[len(gaps)/2], gaps[len(gaps)-1]
	return res, nil
}

// measureFailover partitions a group's primary until a new primary has acknowledged a
// write, and returns the times.
func (r *Run) measureFailover(ctx context.Context, group string, logged *stepLog) (Failover, error) {
	g := r.Fleet.Groups[group]
	old := g.Primary()
	if old == nil {
		return Failover{}, Error.New("group %s has no primary", group)
	}
	term := old.Status().FencedTerm
	partitionedAt := time.Now()
	old.Isolate()
	defer old.HealPartitions()
	var before, first time.Time
	for first.IsZero() {
		if !sleep(ctx, pollInterval/10) || time.Since(partitionedAt) > failoverTimeout {
			return Failover{}, Error.New("group %s has no new primary after %v", group, time.Since(partitionedAt))
		}
		before, first = r.acknowledgementsAround(group, term)
	}
	name := fmt.Sprintf(`"group"=%q`, group)
	return Failover{
		Group: group, Gap: millis(first.Sub(before)), First: millis(first.Sub(partitionedAt)),
		Claim:    logged.millisAfter(partitionedAt, name, `"group: state proposed"`),
		Record:   logged.millisAfter(partitionedAt, name, `"group: term recorded"`),
		Promoted: logged.millisAfter(partitionedAt, name, `"group: upstream called"`, `"call"="promote"`, `"failure"=""`),
	}, nil
}

// acknowledgementsAround returns the times of a group's last acknowledgement up to the
// term and of the first in a later term.
func (r *Run) acknowledgementsAround(group string, term uint64) (last, first time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.written[group] {
		switch at := e.Completed; {
		case e.Position == (wal.Position{}):
		case e.Position.Term <= term:
			if at.After(last) {
				last = at
			}
		case first.IsZero() || at.Before(first):
			first = at
		}
	}
	return last, first
}

// WriteText writes the failovers as text.
func (r FailoverResult) WriteText(out io.Writer) error {
	var b strings.Builder
	for i, x := range r.List {
		fmt.Fprintf(&b, "%2d %-14s gap %.0f ms; after the cut: claim %.0f, record %.0f, promoted %.0f, first acknowledgement %.0f\n",
			i+1, x.Group, x.Gap, x.Claim, x.Record, x.Promoted, x.First)
	}
	fmt.Fprintf(&b, "%s, seed %d: %d failovers, gap median %.0f ms, maximum %.0f ms\n", r.Deployment, r.Seed, len(r.List), r.Median, r.Max)
	_, err := io.WriteString(out, b.String())
	return Error.Wrap(err)
}

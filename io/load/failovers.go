package load

// Failovers in a row. One writer per group writes without a pause at several
// instances; the times of the logged steps split the gap.

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

// FailoverOptions choose what is repeated.
type FailoverOptions struct {
	Deployment fleet.Deployment
	Count      int
	Seed       uint64
	Lag        time.Duration
	Log        logr.Logger
}

// Failover is one change of a primary. Times are in milliseconds after the cut.
type Failover struct {
	Group string `json:"group"`
	// Gap is the time from the last acknowledgement by the old primary to the first by
	// the new one.
	Gap float64 `json:"gap"`
	// Claim, Record and Promoted are the first proposal of the claim, the proposal of
	// the new primary, and the answer of the promoted upstream. First is the first
	// acknowledgement by the new primary.
	Claim    float64 `json:"claim"`
	Record   float64 `json:"record"`
	Promoted float64 `json:"promoted"`
	First    float64 `json:"first"`
}

// FailoverResult are the failovers of a run.
type FailoverResult struct {
	Deployment string     `json:"deployment"`
	Seed       uint64     `json:"seed"`
	List       []Failover `json:"list"`
	Median     float64    `json:"median"`
	Max        float64    `json:"max"`
}

// steps notes the times of logged steps of failovers.
type steps struct {
	mu   sync.Mutex
	list []step
}

type step struct {
	at   time.Time
	text string
}

func (s *steps) add(_, args string) {
	if !strings.Contains(args, `"msg"="group: `) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, step{time.Now(), args})
}

// after returns the milliseconds from a time to the first line after it that has all
// parts, or 0.
func (s *steps) after(t time.Time, parts ...string) float64 {
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
		return ms(x.at.Sub(t))
	}
	return 0
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

const (
	// writersPerGroup write at different instances, so that the gap does not depend on one.
	writersPerGroup = 4
	// calm is the time between two failovers of a group. It exceeds the hysteresis of
	// the coordinator, 5 s.
	calm = 5500 * time.Millisecond
	// failoverLimit is the time after which a failover counts as failed.
	failoverLimit = 30 * time.Second
)

// Failovers cuts primaries off one after the other.
func Failovers(ctx context.Context, o FailoverOptions) (FailoverResult, error) {
	var logged steps
	res := FailoverResult{Deployment: string(o.Deployment.Name), Seed: o.Seed}
	log := funcr.New(logged.add, funcr.Options{})
	if o.Log.GetSink() != nil {
		log = o.Log
	}
	f, err := fleet.Start(ctx, o.Deployment, fleet.Options{Log: log, Lag: o.Lag})
	if err != nil {
		return res, Error.Wrap(err)
	}
	defer f.Close()
	ready, cancel := context.WithTimeout(ctx, time.Minute)
	err = f.Ready(ready)
	cancel()
	if err != nil {
		return res, Error.Wrap(err)
	}
	r := &Run{Options: Options{Deployment: o.Deployment}, Fleet: f, cluster: inProcess{f}, written: make(map[string][]Event), begun: time.Now()}
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
					c.perform(writing, arrival{at: time.Since(r.begun), kind: KindWrite})
				}
			})
		}
	}
	random := rand.New(rand.NewPCG(o.Seed, 99))
	last := make(map[string]time.Time)
	for i := range o.Count {
		group := o.Deployment.Groups[i%len(o.Deployment.Groups)]
		if !sleep(ctx, time.Until(last[group].Add(calm))) || !sleep(ctx, time.Duration(random.Int64N(int64(500*time.Millisecond)))) {
			return res, Error.Wrap(ctx.Err())
		}
		one, err := r.failover(ctx, group, &logged)
		if err != nil {
			return res, err
		}
		last[group] = time.Now()
		res.List = append(res.List, one)
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

// failover cuts a group's primary off until the group writes again.
func (r *Run) failover(ctx context.Context, group string, logged *steps) (Failover, error) {
	g := r.Fleet.Groups[group]
	old := g.Primary()
	if old == nil {
		return Failover{}, Error.New("group %s has no primary", group)
	}
	term := old.Status().FencedTerm
	cut := time.Now()
	old.Isolate()
	defer old.HealPartitions()
	var before, first time.Time
	for first.IsZero() {
		if !sleep(ctx, pollInterval/10) || time.Since(cut) > failoverLimit {
			return Failover{}, Error.New("group %s has no new primary after %v", group, time.Since(cut))
		}
		before, first = r.acknowledged(group, term)
	}
	name := fmt.Sprintf(`"group"=%q`, group)
	return Failover{
		Group: group, Gap: ms(first.Sub(before)), First: ms(first.Sub(cut)),
		Claim:    logged.after(cut, name, `"group: state proposed"`),
		Record:   logged.after(cut, name, `"group: term recorded"`),
		Promoted: logged.after(cut, name, `"group: upstream called"`, `"call"="promote"`, `"failure"=""`),
	}, nil
}

// acknowledged returns the last acknowledgement of a group up to the term and the
// first after it.
func (r *Run) acknowledged(group string, term uint64) (last, first time.Time) {
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

// Text prints the failovers.
func (r FailoverResult) Text(out io.Writer) error {
	var b strings.Builder
	for i, x := range r.List {
		fmt.Fprintf(&b, "%2d %-14s gap %.0f ms; after the cut: claim %.0f, record %.0f, promoted %.0f, first acknowledgement %.0f\n",
			i+1, x.Group, x.Gap, x.Claim, x.Record, x.Promoted, x.First)
	}
	fmt.Fprintf(&b, "%s, seed %d: %d failovers, gap median %.0f ms, maximum %.0f ms\n", r.Deployment, r.Seed, len(r.List), r.Median, r.Max)
	_, err := io.WriteString(out, b.String())
	return Error.Wrap(err)
}

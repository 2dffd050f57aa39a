package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgconn"

	"burdockseam/core/queue"
	"burdockseam/core/route"
	"burdockseam/core/wal"
	"burdockseam/io/fleet"
	"burdockseam/io/instance"
)

// secret is the instances' shared secret of fleet.Fleet. The load tool needs it to
// read the positions in session tokens.
const secret = "fleet"

// Options of a run.
type Options struct {
	Deployment fleet.Deployment
	Scenario   string
	// Length is the time for which requests arrive.
	Length time.Duration
	// Rate is the number of requests per second of all teams together.
	Rate float64
	Seed uint64
	// Lag is the replicas' lag, and Exec the time that a statement takes.
	Lag, Exec time.Duration
	Reads     route.Mode
	Queue     queue.Policy
	Acks      instance.Acks
	// Binary is the daemon for instances in processes of their own; "" runs them in
	// this process.
	Binary string
	Log    logr.Logger
}

// Run is a running load.
type Run struct {
	Options
	Fleet *fleet.Fleet

	scenario Scenario
	cluster  Cluster
	begun    time.Time
	unsent   atomic.Int64
	moved    atomic.Int64

	mu      sync.Mutex
	events  []Event
	written map[string][]Event // acknowledged bookings by group, in order
	marks   []Mark
	found   map[Promise]int // counted while running
	notes   []string
	secrets []string
	// graceful is set if no request may be cut in the scenario.
	graceful bool
	bounds   bounds
	out      [2]time.Time // the time of an operators' change of a failure domain
}

// bounds are the times after which a change must be in force.
type bounds struct{ key, out, revision time.Duration }

// Mark is a moment of a run.
type Mark struct {
	At   time.Duration `json:"at"`
	Text string        `json:"text"`
}

// Execute runs the load and its scenario and returns what was measured.
func Execute(ctx context.Context, o Options) (Result, error) {
	s, ok := Find(o.Scenario)
	if !ok {
		return Result{}, Error.New("no scenario %q", o.Scenario)
	}
	r := &Run{Options: o, scenario: s, written: make(map[string][]Event), found: make(map[Promise]int)}
	r.bounds = bounds{KeyBound, OutBound, RevisionBound}
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	defer r.Fleet.Close()
	defer r.cluster.Close()
	if err := r.load(ctx); err != nil {
		return Result{}, err
	}
	return r.finish(ctx)
}

// start brings the deployment up.
func (r *Run) start(ctx context.Context) error {
	settings := func(s *instance.Settings) {
		s.Reads, s.Queue = r.Reads, r.Queue
		if r.Acks != "" {
			s.Acks = r.Acks
		}
	}
	o := fleet.Options{Log: r.Log, Lag: r.Lag, Exec: r.Exec, Settings: settings}
	if r.Binary != "" {
		o.Instances = -1 // none in this process
	}
	var err error
	if r.Fleet, err = fleet.Start(ctx, r.Deployment, o); err != nil {
		return Error.Wrap(err)
	}
	r.cluster = inProcess{r.Fleet}
	if r.Binary != "" {
		if err = r.processes(ctx, settings); err != nil {
			r.cluster.Close()
			r.Fleet.Close()
			return err
		}
	}
	for _, k := range r.Fleet.Keys {
		r.secrets = append(r.secrets, k)
	}
	ready, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	err = r.ready(ready)
	if err == nil {
		err = r.tables(ready)
	}
	if err != nil {
		r.cluster.Close()
		r.Fleet.Close()
	}
	return err
}

// tables makes the tables, which come into being with their first rows.
func (r *Run) tables(ctx context.Context) error {
	team := r.Deployment.Teams[0].Name
	for _, group := range r.Deployment.Groups {
		c, err := pgconn.Connect(ctx, r.url(r.cluster.Endpoints()[0], team, group, r.Fleet.Keys[team]))
		if err != nil {
			return Error.Wrap(err)
		}
		for _, sql := range []string{insert("first"), "INSERT INTO " + pairs + " (id, part) VALUES ('first', '1')"} {
			if _, err = c.Exec(ctx, sql).ReadAll(); err != nil {
				break
			}
		}
		if err := errors.Join(err, c.Close(ctx)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func (r *Run) processes(ctx context.Context, settings func(*instance.Settings)) error {
	p, err := newProcesses(r.Fleet, r.Binary, settings, r.publish)
	if err != nil {
		return err
	}
	r.cluster = p
	for i := range r.Deployment.Instances {
		if err := p.Add(ctx, r.Deployment.Domains[i%len(r.Deployment.Domains)]); err != nil {
			return err
		}
	}
	return nil
}

// load sends the schedule's requests while the scenario goes on.
func (r *Run) load(ctx context.Context) error {
	list := pools(r.Deployment)
	arrivals := schedule(r.Seed, list, r.Rate, r.Length, r.surge())
	queues := make([]chan arrival, len(list))
	for i := range queues {
		queues[i] = make(chan arrival, len(arrivals))
	}
	serving, stop := context.WithCancel(ctx)
	defer stop()
	var callers, side sync.WaitGroup
	r.begun = time.Now()
	for i, p := range list {
		sessions := p.sessions
		if p.team.Name == r.hot() {
			// Enough that the team's requests do not wait for each other at the caller.
			sessions = hotSessions
		}
		for j := range sessions {
			c := &caller{
				run: r, pool: p, name: fmt.Sprintf("%d-%d", i, j),
				random: rand.New(rand.NewPCG(r.Seed, uint64(1000+i*100+j))),
			}
			callers.Go(func() { c.serve(serving, queues[i]) })
		}
	}
	fault := make(chan error, 1)
	running, end := context.WithTimeout(ctx, r.Length)
	defer end()
	side.Go(func() { r.watchRevisions(running) })
	side.Go(func() { r.tryWrongKeys(running) })
	go func() { fault <- r.scenario.do(running, r) }()
	for _, a := range arrivals {
		if !sleep(running, time.Until(r.begun.Add(a.at))) {
			break
		}
		queues[a.pool] <- a
	}
	sleep(running, r.Length)
	for _, q := range queues {
		close(q)
	}
	rest := time.AfterFunc(2*statementTimeout, stop)
	defer rest.Stop()
	callers.Wait()
	side.Wait()
	return <-fault
}

func (r *Run) surge() surge {
	if !r.scenario.Hot {
		return surge{}
	}
	return surge{team: r.hot(), factor: hotFactor, from: r.Length * 3 / 10, to: r.Length * 7 / 10}
}

// hot is the team whose demand rises, a small one.
func (r *Run) hot() string {
	if !r.scenario.Hot {
		return ""
	}
	return r.Deployment.Teams[4].Name
}

// hotSessions is the number of sessions of the hot team on each route.
const hotSessions = 30

// hotFactor is the demand of the hot team, as a multiple of its rate.
const hotFactor = 10

// sleep waits and reports whether the context is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Run) add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

func (r *Run) wrote(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written[e.Group] = append(r.written[e.Group], e)
}

// writtenBefore returns a recent booking of the group that was acknowledged before
// the time, or "".
func (r *Run) writtenBefore(group string, t time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.written[group]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Completed.Before(t) {
			return list[i].ID
		}
	}
	return ""
}

// mark notes a moment of the run.
func (r *Run) mark(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, Mark{At: time.Since(r.begun), Text: fmt.Sprintf(format, args...)})
}

// broken counts broken promises that the run itself has seen.
func (r *Run) broken(p Promise, n int, format string, args ...any) {
	if n == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found[p] += n
	r.notes = append(r.notes, fmt.Sprintf("%.1fs %s: ", time.Since(r.begun).Seconds(), p)+fmt.Sprintf(format, args...))
}

// at waits for a share of the run's length.
func (r *Run) at(ctx context.Context, share float64) bool {
	return sleep(ctx, time.Until(r.begun.Add(time.Duration(share*float64(r.Length)))))
}

func (r *Run) url(e Endpoint, team, route, key string) string {
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(team, key), Host: e.Listen, Path: route, RawQuery: "sslmode=disable",
	}
	return u.String()
}

// finish ends all faults, waits until the deployment is whole and counts.
func (r *Run) finish(ctx context.Context) (Result, error) {
	for _, g := range r.Fleet.Groups {
		for _, u := range g.Upstreams() {
			u.HealPartitions()
			u.Resume()
			u.SwapAnswers(0)
			u.DelayAnswers(0)
		}
	}
	settle, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := r.ready(settle); err != nil {
		return Result{}, err
	}
	ev := Evidence{
		Bookings: make(map[string][][]string), Pairs: make(map[string][][]string),
		Logs: make(map[string][]wal.Position), Secrets: r.secrets, Teams: r.Deployment.Teams,
	}
	for name, g := range r.Fleet.Groups {
		p := g.Primary()
		if p == nil {
			return Result{}, Error.New("group %s has no primary", name)
		}
		ev.Bookings[name], ev.Pairs[name], ev.Logs[name] = p.Rows(bookings), p.Rows(pairs), p.Log()
		for _, u := range g.Upstreams() {
			s := u.Stats()
			ev.Seen = append(ev.Seen, s.Statements...)
			for _, params := range s.Params {
				for _, v := range params {
					ev.Seen = append(ev.Seen, v)
				}
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := Check(r.events, ev)
	for p, n := range r.found {
		counts[p] += n
	}
	if r.graceful {
		counts[CutRequests] += cut(r.events)
	}
	return r.measure(ctx, counts), nil
}

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

// fleetSecret is the secret that the instances of fleet.Fleet share. The load tool needs
// it to decode the positions in session tokens.
const fleetSecret = "fleet"

// Options configures a run.
type Options struct {
	Deployment fleet.Deployment
	Scenario   string
	// Length is the time during which requests arrive.
	Length time.Duration
	// Rate is the number of requests per second of all teams together.
	Rate float64
	Seed uint64
	// Lag is the replication lag of the replicas, and Exec the time that an upstream
	// needs to execute a statement.
	Lag, Exec time.Duration
	Reads     route.Mode
	Queue     queue.Policy
	Acks      instance.Acks
	// Binary is the executable of the daemon, for instances in processes of their own.
	// If it is empty, the instances run in this process.
	Binary string
	Log    logr.Logger
}

// Run is a running load test.
type Run struct {
	Options
	Fleet *fleet.Fleet

	scenario         Scenario
	cluster          Cluster
	started          time.Time
	unsent           atomic.Int64
	retriedElsewhere atomic.Int64

	mu         sync.Mutex
	events     []Event
	written    map[string][]Event // acknowledged bookings by group, in the order of acknowledgement
	marks      []Mark
	violations map[Promise]int // observed during the run, in addition to those that Check counts
	notes      []string
	secrets    []string
	// graceful is set if the scenario may not interrupt any request.
	graceful   bool
	bounds     bounds
	domainMove [2]time.Time // begin and end of the time in which operators move a failure domain
}

// bounds are the times after which a change must be in force.
type bounds struct{ key, out, revision time.Duration }

// Mark is a moment of a run that the report names.
type Mark struct {
	At   time.Duration `json:"at"`
	Text string        `json:"text"`
}

// Execute runs the load and its scenario and returns the measurements.
func Execute(ctx context.Context, o Options) (Result, error) {
	s, ok := FindScenario(o.Scenario)
	if !ok {
		return Result{}, Error.New("scenario %q does not exist", o.Scenario)
	}
	r := &Run{Options: o, scenario: s, written: make(map[string][]Event), violations: make(map[Promise]int)}
	r.bounds = bounds{KeyBound, OutOfServiceBound, RevisionBound}
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	defer r.Fleet.Close()
	defer r.cluster.Close()
	if err := r.sendLoad(ctx); err != nil {
		return Result{}, err
	}
	return r.collectResult(ctx)
}

// start starts the deployment, waits until it is ready and creates the tables.
func (r *Run) start(ctx context.Context) error {
	settings := func(s *instance.Settings) {
		s.Reads, s.Queue = r.Reads, r.Queue
		if r.Acks != "" {
			s.Acks = r.Acks
		}
	}
	o := fleet.Options{Log: r.Log, ReplicaLag: r.Lag, ExecTime: r.Exec, Settings: settings}
	if r.Binary != "" {
		o.Instances = -1 // none in this process
	}
	var err error
	if r.Fleet, err = fleet.Start(ctx, r.Deployment, o); err != nil {
		return Error.Wrap(err)
	}
	r.cluster = inProcessCluster{r.Fleet}
	if r.Binary != "" {
		if err = r.startProcesses(ctx, settings); err != nil {
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
	err = r.waitReady(ready)
	if err == nil {
		err = r.createTables(ready)
	}
	if err != nil {
		r.cluster.Close()
		r.Fleet.Close()
	}
	return err
}

// createTables creates the tables. The stand-ins create a table with its first row.
func (r *Run) createTables(ctx context.Context) error {
	team := r.Deployment.Teams[0].Name
	for _, group := range r.Deployment.Groups {
		c, err := pgconn.Connect(ctx, r.callerURL(r.cluster.Endpoints()[0], team, group, r.Fleet.Keys[team]))
		if err != nil {
			return Error.Wrap(err)
		}
		for _, sql := range []string{insertBooking("first"), "INSERT INTO " + pairsTable + " (id, part) VALUES ('first', '1')"} {
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

// startProcesses starts the deployment's instances in processes of their own.
func (r *Run) startProcesses(ctx context.Context, settings func(*instance.Settings)) error {
	p, err := newProcesses(r.Fleet, r.Binary, settings, r.publishInstances)
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

// sendLoad sends the requests of the schedule while the scenario runs. It returns the
// error of the scenario.
func (r *Run) sendLoad(ctx context.Context) error {
	list := pools(r.Deployment)
	arrivals := schedule(r.Seed, list, r.Rate, r.Length, r.hotTeamSurge())
	queues := make([]chan arrival, len(list))
	for i := range queues {
		queues[i] = make(chan arrival, len(arrivals))
	}
	serving, stop := context.WithCancel(ctx)
	defer stop()
	var callers, observers sync.WaitGroup
	r.started = time.Now()
	for i, p := range list {
		sessions := p.sessions
		if p.team.Name == r.hotTeam() {
			// More sessions, so that the hot team's requests do not wait for each other in
			// the load tool.
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
	observers.Go(func() { r.watchRevisions(running) })
	observers.Go(func() { r.tryWrongKeys(running) })
	go func() { fault <- r.scenario.run(running, r) }()
	for _, a := range arrivals {
		if !sleep(running, time.Until(r.started.Add(a.at))) {
			break
		}
		queues[a.pool] <- a
	}
	sleep(running, r.Length)
	for _, q := range queues {
		close(q)
	}
	stopTimer := time.AfterFunc(2*statementTimeout, stop)
	defer stopTimer.Stop()
	callers.Wait()
	observers.Wait()
	return <-fault
}

// hotTeamSurge returns the extra demand of the scenario.
func (r *Run) hotTeamSurge() surge {
	if !r.scenario.HotTeam {
		return surge{}
	}
	return surge{team: r.hotTeam(), factor: hotFactor, from: r.Length * 3 / 10, to: r.Length * 7 / 10}
}

// hotTeam returns the team whose demand exceeds its rate, a small team, or "".
func (r *Run) hotTeam() string {
	if !r.scenario.HotTeam {
		return ""
	}
	return r.Deployment.Teams[4].Name
}

// hotSessions is the number of sessions of the hot team on each route.
const hotSessions = 30

// hotFactor is the demand of the hot team, as a multiple of its rate.
const hotFactor = 10

// sleep waits for the duration and reports whether the context is still valid.
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

// addEvent records a completed request.
func (r *Run) addEvent(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// addAcknowledged records an acknowledged booking, which later reads look for.
func (r *Run) addAcknowledged(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written[e.Group] = append(r.written[e.Group], e)
}

// writtenBefore returns the id of a recent booking of the group that was acknowledged
// before the time, or "".
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

// addMark records the present moment of the run with a text.
func (r *Run) addMark(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, Mark{At: time.Since(r.started), Text: fmt.Sprintf(format, args...)})
}

// recordViolation counts n violations of a promise that the run itself observed, with a
// note about them.
func (r *Run) recordViolation(p Promise, n int, format string, args ...any) {
	if n == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations[p] += n
	r.notes = append(r.notes, fmt.Sprintf("%.1fs %s: ", time.Since(r.started).Seconds(), p)+fmt.Sprintf(format, args...))
}

// waitUntilShare waits until a share of the run's length has passed and reports whether
// the context is still valid.
func (r *Run) waitUntilShare(ctx context.Context, share float64) bool {
	return sleep(ctx, time.Until(r.started.Add(time.Duration(share*float64(r.Length)))))
}

// callerURL returns the connection URL with which a team reaches a route.
func (r *Run) callerURL(e Endpoint, team, route, key string) string {
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(team, key), Host: e.Listen, Path: route, RawQuery: "sslmode=disable",
	}
	return u.String()
}

// collectResult ends all faults, waits until the deployment is ready, collects the
// evidence and checks the promises.
func (r *Run) collectResult(ctx context.Context) (Result, error) {
	for _, g := range r.Fleet.Groups {
		for _, u := range g.Upstreams() {
			u.HealPartitions()
			u.Resume()
			u.SwapResponses(0)
			u.DelayResponses(0)
		}
	}
	recovery, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := r.waitReady(recovery); err != nil {
		return Result{}, err
	}
	ev := Evidence{
		BookingRows: make(map[string][][]string), PairRows: make(map[string][][]string),
		Logs: make(map[string][]wal.Position), Secrets: r.secrets, Teams: r.Deployment.Teams,
	}
	for name, g := range r.Fleet.Groups {
		p := g.Primary()
		if p == nil {
			return Result{}, Error.New("group %s has no primary", name)
		}
		ev.BookingRows[name], ev.PairRows[name], ev.Logs[name] = p.Rows(bookingsTable), p.Rows(pairsTable), p.Log()
		for _, u := range g.Upstreams() {
			s := u.Stats()
			ev.UpstreamTexts = append(ev.UpstreamTexts, s.Statements...)
			for _, params := range s.Params {
				for _, v := range params {
					ev.UpstreamTexts = append(ev.UpstreamTexts, v)
				}
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := Check(r.events, ev)
	for p, n := range r.violations {
		counts[p] += n
	}
	if r.graceful {
		counts[CutRequests] += countCutRequests(r.events)
	}
	return r.buildResult(ctx, counts), nil
}

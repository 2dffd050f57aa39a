package fleet

// The booking workload. Callers insert bookings in the states reserved, confirmed and
// returned, read back each acknowledged one, and reconnect to other instances with their
// session token. Every write inserts a row with a unique id, so the rows of the surviving
// primary show whether each write ran and how often. Workload.Check compares them with
// the outcomes that were reported to callers.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"burdockseam/io/postgres"
)

// WriteOutcome is the outcome of a write as reported to its caller.
type WriteOutcome string

// The outcomes of a write.
const (
	WriteDone    WriteOutcome = "done"    // acknowledged
	WriteNotRun  WriteOutcome = "notrun"  // certainly without effect
	WriteUnknown WriteOutcome = "unknown" // may have run
	WriteFailed  WriteOutcome = "failed"  // rejected by the database
)

// Counts holds the results of a workload.
type Counts struct {
	// Bookings counts acknowledged writes and Reads successful reads.
	Bookings, Reads int
	// Lost counts acknowledged writes that the surviving primary lacks, Doubled
	// writes that it has more than once, and FalseNotRun writes that it has although
	// they were reported as not run.
	Lost, Doubled, FalseNotRun int
	// Stale counts reads that missed an acknowledged write of their own session.
	Stale int
	// Unknown counts writes with an unknown outcome, Refused those that did not run.
	Unknown, Refused int
	// Reconnects counts connections that were lost while a statement ran.
	Reconnects int
}

// Violated reports whether a promise to callers was broken.
func (c Counts) Violated() bool { return c.Lost+c.Doubled+c.Stale+c.FalseNotRun > 0 }

// String returns the counts in the form of the demo's last line.
func (c Counts) String() string {
	return fmt.Sprintf("bookings=%d lost=%d doubled=%d stale=%d unknown=%d refused=%d",
		c.Bookings, c.Lost, c.Doubled, c.Stale, c.Unknown, c.Refused)
}

// Workload runs callers against a fleet.
type Workload struct {
	Fleet *Fleet
	// Callers is the number of callers that run at the same time.
	Callers int
	// ThinkTime is the mean pause of a caller between two writes.
	ThinkTime time.Duration
	// Seed seeds the random choices of the callers.
	Seed uint64
	// OnAcknowledged, if not nil, is called with each acknowledged write.
	OnAcknowledged func(group string, at time.Time)

	mu       sync.Mutex
	counts   Counts
	outcomes map[string]map[string]WriteOutcome // by group and id
}

const (
	bookingsTable = "bookings"
	// statementTimeout bounds each statement. It exceeds the proxy's own deadlines.
	statementTimeout = 10 * time.Second
)

// Run runs the callers until the context ends and returns when all have stopped.
func (w *Workload) Run(ctx context.Context) {
	w.outcomes = make(map[string]map[string]WriteOutcome)
	for _, g := range w.Fleet.Deployment.Groups {
		w.outcomes[g] = make(map[string]WriteOutcome)
	}
	var callers sync.WaitGroup
	for i := range w.Callers {
		callers.Go(func() {
			c := &caller{
				workload: w, id: i, random: rand.New(rand.NewPCG(w.Seed, uint64(i))),
				team:  w.Fleet.Deployment.Teams[i%len(w.Fleet.Deployment.Teams)].Name,
				group: w.Fleet.Deployment.Groups[i%len(w.Fleet.Deployment.Groups)],
			}
			c.run(ctx)
		})
	}
	callers.Wait()
}

// Check compares the reported outcomes with the rows of the surviving primaries. All
// faults must have ended. It returns an error if a group has no primary.
func (w *Workload) Check() (Counts, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts
	for name, outcomes := range w.outcomes {
		u := w.Fleet.Groups[name].Primary()
		if u == nil {
			return c, Error.New("group %s has no primary", name)
		}
		rows := make(map[string]int)
		for _, row := range u.Rows(bookingsTable) {
			rows[row[0]]++
		}
		for id, t := range outcomes {
			switch n := rows[id]; {
			case n == 0 && t == WriteDone:
				c.Lost++
			case n > 1:
				c.Doubled++
			case n > 0 && t == WriteNotRun:
				c.FalseNotRun++
			}
		}
	}
	return c, nil
}

// recordWrite stores the outcome of a write and counts it.
func (w *Workload) recordWrite(group, id string, t WriteOutcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[group][id] = t
	switch t {
	case WriteDone:
		w.counts.Bookings++
	case WriteNotRun:
		w.counts.Refused++
	case WriteUnknown:
		w.counts.Unknown++
	}
	if t == WriteDone && w.OnAcknowledged != nil {
		w.OnAcknowledged(group, time.Now())
	}
}

// updateCounts changes the counts under the lock.
func (w *Workload) updateCounts(f func(*Counts)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.counts)
}

// caller is one session of a team on the route of a group.
type caller struct {
	workload   *Workload
	id         int
	random     *rand.Rand
	team       string
	group      string
	conn       *pgconn.PgConn
	token      string
	writeCount int // number of writes so far; part of their ids
}

// run writes and reads bookings until the context ends. In one of eight rounds the
// caller reconnects to a random instance.
func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil || c.random.IntN(8) == 0 {
			c.disconnect()
			if !c.connect(ctx) {
				c.think(ctx)
				continue
			}
		}
		for _, state := range []string{"reserved", "confirmed", "returned"} {
			id, outcome := c.write(state)
			if outcome == WriteDone {
				c.readBack(id)
			}
			c.think(ctx)
			if c.conn == nil || ctx.Err() != nil {
				break
			}
		}
	}
}

// think pauses for a random time with the mean of Workload.ThinkTime.
func (c *caller) think(ctx context.Context) {
	d := time.Duration(c.random.Int64N(2*int64(c.workload.ThinkTime) + 1))
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// connect opens a connection to a random instance with the session's token, and reports
// whether it succeeded.
func (c *caller) connect(ctx context.Context) bool {
	members := c.workload.Fleet.Members()
	if len(members) == 0 {
		return false
	}
	m := members[c.random.IntN(len(members))]
	cfg, err := pgconn.ParseConfig(c.workload.Fleet.URL(m, c.team, c.group))
	if err != nil {
		return false
	}
	if c.token != "" {
		cfg.RuntimeParams[postgres.ParameterToken] = c.token
	}
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	if c.conn, err = pgconn.ConnectConfig(ctx, cfg); err != nil {
		c.conn = nil
		return false
	}
	return true
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// An error does not matter, since the connection is given up anyway.
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// exec runs one statement, keeps the session's new token and returns the rows.
func (c *caller) exec(sql string) ([][][]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if text := c.conn.ParameterStatus(postgres.ParameterToken); text != "" {
		c.token = text
	}
	if c.conn.IsClosed() {
		c.conn = nil
		c.workload.updateCounts(func(n *Counts) { n.Reconnects++ })
	}
	if err != nil || len(results) == 0 {
		return nil, err
	}
	return results[0].Rows, nil
}

// write inserts a booking and returns its id and its outcome.
func (c *caller) write(state string) (string, WriteOutcome) {
	c.writeCount++
	id := fmt.Sprintf("%d-%d", c.id, c.writeCount)
	_, err := c.exec(fmt.Sprintf("INSERT INTO %s (id, state) VALUES ('%s', '%s')", bookingsTable, id, state))
	outcome := classifyWrite(err)
	c.workload.recordWrite(c.group, id, outcome)
	return id, outcome
}

// readBack reads a booking that the session wrote. A missing row is a stale read.
func (c *caller) readBack(id string) {
	if c.conn == nil {
		return
	}
	rows, err := c.exec(fmt.Sprintf("SELECT state FROM %s WHERE id = '%s'", bookingsTable, id))
	if err != nil {
		return
	}
	c.workload.updateCounts(func(n *Counts) {
		n.Reads++
		if len(rows) == 0 {
			n.Stale++
		}
	})
}

// classifyWrite returns what the caller knows about a write that ended with the error.
func classifyWrite(err error) WriteOutcome {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return WriteDone
	case errors.As(err, &pe) && pe.Code == postgres.StateNotRun:
		return WriteNotRun
	case errors.As(err, &pe) && pe.Code != postgres.StateUnknown:
		return WriteFailed
	case pgconn.SafeToRetry(err):
		return WriteNotRun
	}
	return WriteUnknown
}

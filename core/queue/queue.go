// Package queue decides which waiting request the gateway of an upstream runs next. It
// serves teams by weighted deficit round robin over the time that they use: a team's
// credit falls by the slot time of its statements and, at a lower price, by the time
// that its transactions hold an idle connection. Running statements are charged as time
// passes, so that slow statements cost what they use. A team without work keeps its debt
// but loses its credit. Within a team, requests are served by priority and by the time at
// which they should be done (order.go). A request that cannot be served by its deadline is
// refused on arrival (wait.go).
//
// The package does no input or output: a caller passes in events with their times and
// carries out the returned decisions.
package queue

import (
	"slices"
	"time"

	"burdockseam/core/config"
)

// Policy is the order in which waiting requests are served.
type Policy string

// The policies. FIFO is the baseline for measurements: it serves requests in arrival
// order over all teams and refuses new ones while the queue is full.
const (
	Fair Policy = "fair"
	FIFO Policy = "fifo"
)

// Defaults of Options.
const (
	DefaultTeamLimit = 256
	DefaultLimit     = 1024
	// DefaultMaxOpening is the number of connections opened at the same time. Opening
	// one takes 12 to 25 ms, so this allows 80 to 160 new connections a second.
	DefaultMaxOpening = 2
	// DefaultIdleTimeout limits how long an open transaction waits for its next
	// statement.
	DefaultIdleTimeout = 10 * time.Second
)

// quantum is the credit that a team of weight 1 gets in each round. It is about the time
// of a short statement, so that teams alternate after few statements.
const quantum = 2 * time.Millisecond

// boundQuantum replaces quantum if connections are bound to teams, so that a connection that
// was opened in a team's turn serves more than one statement before it is closed for another
// team. Of 2, 8 and 20 ms, 8 ms served the most with 78 teams and 42 connections.
const boundQuantum = 8 * time.Millisecond

// openBackoff is the wait after a failed attempt to open a connection. It doubles with
// each further failure, up to maxOpenBackoff.
const (
	openBackoff    = 20 * time.Millisecond
	maxOpenBackoff = time.Second
)

// Options are the settings of a queue. Fields that are zero get defaults; Slots and
// Connections are at least 1.
type Options struct {
	Policy Policy
	// Slots is the number of statements that may execute at the same time.
	Slots int
	// Connections is the number of connections that this gateway may have open.
	Connections int
	// TeamLimit and Limit bound the waiting requests of one team and of all teams.
	TeamLimit, Limit int
	// MaxOpening bounds the connections that are being opened at the same time.
	MaxOpening int
	// WarmConnections is the number of connections opened without demand; Slots by
	// default.
	WarmConnections int
	// IdleTimeout limits how long an open transaction waits for its next statement.
	IdleTimeout time.Duration
	// TeamBound says that each connection serves one team only, because the upstream is
	// told the team when the connection opens. Connections are then opened on demand, a
	// connection that is being opened takes a slot, and if all connections are open, the
	// least recently used idle connection of another team is closed to make room.
	TeamBound bool
}

// Request is a statement that waits to run.
type Request struct {
	ID   uint64
	Team string
	// Session identifies the caller connection. A statement of a session that holds a
	// transaction runs on the transaction's connection.
	Session uint64
	// Begin says that the statement opens a transaction.
	Begin bool
	// Inside says that the statement belongs to the session's open transaction. It is
	// refused if the session holds none.
	Inside bool
	// Deadline is the time by which the answer is wanted; zero means no deadline.
	Deadline time.Time
	// Priority is the urgency of the request; 0 is the most urgent.
	Priority int
	// Target is the time from the arrival at the queue until the operation should be done;
	// 0 is unknown.
	Target time.Duration
}

// Kind is the kind of a decision.
type Kind string

// The kinds of decisions.
const (
	Start  Kind = "start"  // run the request on the connection
	Refuse Kind = "refuse" // the request was not run
	Fail   Kind = "fail"   // the connection was lost while the request ran
	Open   Kind = "open"   // open the connection, then call ConnectionOpened or ConnectionLost
	Close  Kind = "close"  // close the connection; its transaction rolls back
)

// Reason says why a request was refused or a connection closed.
type Reason string

// The reasons.
const (
	ReasonDeadline    Reason = "cannot finish by its deadline"
	ReasonTeamFull    Reason = "too many waiting requests of the team"
	ReasonFull        Reason = "too many waiting requests"
	ReasonLost        Reason = "connection lost"
	ReasonTransaction Reason = "transaction ended"
	ReasonIdle        Reason = "idle in transaction"
	ReasonClosed      Reason = "gateway closed"
	ReasonReplaced    Reason = "connection given up for another team"
)

// Decision is an action that the caller of the queue must carry out. Request is 0 in
// decisions about connections only.
type Decision struct {
	Kind       Kind
	Request    uint64
	Connection uint64
	Reason     Reason
	// Team is the team that a connection to open is bound to, if Options.TeamBound is set.
	Team string
	// Retry is the estimated time by which the requests ahead of a refused one are served.
	Retry time.Duration
}

// Queue holds the waiting requests of one upstream at its gateway. It is not safe
// for concurrent use.
type Queue struct {
	opts    Options
	weights map[string]int
	teams   []*team // in round-robin order
	active  []*team // those with requests or connections being opened, in the same order
	byName  map[string]*team
	next    int           // index in teams of the team whose turn it is
	rounds  time.Duration // rounds of credit granted so far

	items    map[uint64]*item // waiting and running requests by ID
	queued   int
	running  int
	arrivals uint64

	conns     map[uint64]*conn // all connections by ID
	idle      []*conn          // open and unused; the most recently used is last
	sessions  map[uint64]*conn // connections of open transactions by session
	opening   int              // number of connections being opened
	lastConn  uint64
	backoff   time.Duration
	openAfter time.Time // no connection is opened before this time

	paused    bool
	closed    bool
	decisions []Decision

	held     int                     // connections held by transactions
	heldBy   float64                 // weights of the teams whose transactions hold connections
	services [numPriorities]estimate // service time of a request by priority, over all teams
	openTime estimate                // time to open a connection
	usage    usage                   // slot time used by priority
	opens    usage                   // slot time used by the opening of connections, as priority 0
	// elapsed and expected are the sums of the time that the running statements have taken
	// so far and that they were expected to take.
	elapsed, expected time.Duration
	ready             []candidate // reused by pickNext
}

// team is the scheduling state of one team.
type team struct {
	name   string
	weight float64
	credit time.Duration // slot time that the team may use; negative if it owes some
	index  int           // in Queue.teams
	active bool          // in Queue.active
	rounds time.Duration // value of Queue.rounds up to which the credit of an inactive team is settled
	// waiting holds the waiting requests by class. Statements of open transactions are in
	// arrival order, the others in the order in which the team is served.
	waiting [numClasses][]*item
	count   int                // waiting requests
	counts  [numPriorities]int // waiting requests by priority
	// owed is the slot time that each priority is owed while it waits, see order.go.
	owed      [numPriorities]time.Duration
	idle      int // idle connections bound to the team
	opening   int // connections being opened for the team
	running   int
	heldConns int                     // connections held by transactions
	services  [numPriorities]estimate // service time of a request by priority
	usage     usage                   // slot time used by priority
}

// Classes of waiting requests: statements of open transactions, single statements, and
// statements that open a transaction.
const (
	classInTransaction = iota
	classSingle
	classBegin
	numClasses
)

// item is a request that waits or runs.
type item struct {
	Request
	team      *team
	class     int
	priority  int           // Request.Priority, limited to the priorities that are distinguished
	due       time.Time     // when the operation should be done
	holdUntil time.Time     // when to check again that the deadline can be met; zero if checked or not needed
	order     uint64        // order of arrival over all teams
	conn      *conn         // nil while the request waits outside a transaction
	started   time.Time     // zero while the request waits
	charged   time.Duration // slot time already charged to the team
	expected  time.Duration // slot time that was expected at the start
}

// conn is a connection to the upstream that is open or being opened.
type conn struct {
	id           uint64
	opening      bool
	openedAt     time.Time     // start of the attempt to open it
	charged      time.Duration // slot time charged to the team for opening it
	boundTeam    *team         // the team that the connection is bound to; nil unless Options.TeamBound is set
	lastSession  uint64        // session of the last statement
	team         *team         // team of the open transaction; nil if none
	session      uint64        // session of the open transaction; 0 if none
	running      *item         // the request that runs on the connection; nil if none
	chargedUntil time.Time     // the idle time of the open transaction is charged up to this time
	idleSince    time.Time     // start of the idle time, in or outside a transaction
}

// New returns a queue without connections.
func New(o Options) *Queue {
	if o.Policy == "" {
		o.Policy = Fair
	}
	for _, d := range []struct {
		field *int
		value int
	}{{&o.Slots, 1}, {&o.TeamLimit, DefaultTeamLimit}, {&o.Limit, DefaultLimit}, {&o.MaxOpening, DefaultMaxOpening}, {&o.WarmConnections, o.Slots}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	o.Connections = max(o.Connections, 1)
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	return &Queue{
		opts: o, weights: map[string]int{}, byName: map[string]*team{}, items: map[uint64]*item{},
		conns: map[uint64]*conn{}, sessions: map[uint64]*conn{},
	}
}

// Configure sets the weights of the teams. Teams that are not listed have weight 1.
func (q *Queue) Configure(teams map[string]config.Team) {
	clear(q.weights)
	for name, t := range teams {
		q.weights[name] = max(1, t.Weight)
	}
	q.heldBy = 0
	for _, t := range q.teams {
		q.settle(t)
		t.weight = q.weight(t.name)
		if t.heldConns > 0 {
			q.heldBy += t.weight
		}
	}
}

func (q *Queue) weight(name string) float64 { return float64(max(1, q.weights[name])) }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

// Running returns the number of executing requests.
func (q *Queue) Running() int { return q.running }

// SetPaused stops or resumes the start of requests outside transactions, for a planned
// switch of the primary. Waiting requests stay in the queue.
func (q *Queue) SetPaused(now time.Time, paused bool) []Decision {
	q.paused = paused
	return q.schedule(now)
}

// Shutdown refuses all waiting requests outside transactions, and those that arrive
// later. Running requests and open transactions go on.
func (q *Queue) Shutdown(now time.Time) []Decision {
	q.closed = true
	for _, t := range q.active {
		for class := classSingle; class < numClasses; class++ {
			for len(t.waiting[class]) > 0 {
				q.refuseRequest(now, t.waiting[class][0], ReasonClosed)
			}
		}
	}
	return q.schedule(now)
}

// Enqueue adds a request, whose ID must be unused.
func (q *Queue) Enqueue(now time.Time, r Request) []Decision {
	t := q.team(r.Team)
	q.arrivals++
	i := &item{Request: r, team: t, class: classSingle, order: q.arrivals}
	i.setUrgency(now)
	if c := q.sessions[r.Session]; c != nil && r.Session != 0 {
		i.class, i.conn = classInTransaction, c
	} else if r.Begin {
		i.class = classBegin
	}
	q.items[r.ID] = i
	q.insertWaiting(i)
	q.chargeElapsed(now)
	switch {
	case r.Inside && i.class != classInTransaction:
		q.refuseRequest(now, i, ReasonTransaction)
	case q.closed && i.class != classInTransaction:
		q.refuseRequest(now, i, ReasonClosed)
	case q.missesDeadline(now, i):
		q.refuseRequest(now, i, ReasonDeadline)
	case q.opts.Policy == Fair && t.count > q.opts.TeamLimit:
		q.refuseRequest(now, q.leastUrgent(now, t, i), ReasonTeamFull)
	case q.queued > q.opts.Limit:
		q.shedRequest(now, i)
	}
	return q.schedule(now)
}

// refuseRequest refuses a waiting request for the given reason.
func (q *Queue) refuseRequest(now time.Time, i *item, reason Reason) {
	var retry time.Duration
	if reason == ReasonDeadline || reason == ReasonFull || reason == ReasonTeamFull {
		retry = q.waitOf(now, i)
	}
	q.removeWaiting(i)
	q.decisions = append(q.decisions, Decision{Kind: Refuse, Request: i.ID, Reason: reason, Retry: retry})
}

// removeWaiting removes a request from the waiting ones.
func (q *Queue) removeWaiting(i *item) {
	w := &i.team.waiting[i.class]
	if k := slices.Index(*w, i); k >= 0 {
		*w = slices.Delete(*w, k, k+1)
		q.uncountWaiting(i)
	}
	delete(q.items, i.ID)
}

// Cancel withdraws a waiting request and reports true. It reports false for a running
// request, which goes on until Finish or ConnectionLost, and for an unknown ID.
func (q *Queue) Cancel(now time.Time, id uint64) (bool, []Decision) {
	i := q.items[id]
	if i == nil || !i.started.IsZero() {
		return false, nil
	}
	q.removeWaiting(i)
	return true, q.schedule(now)
}

// team returns the state of the named team, which it creates if needed.
func (q *Queue) team(name string) *team {
	t := q.byName[name]
	if t == nil {
		t = &team{name: name, weight: q.weight(name), index: len(q.teams), rounds: q.rounds}
		q.byName[name] = t
		q.teams = append(q.teams, t)
	}
	return t
}

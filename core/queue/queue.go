// Package queue decides which waiting request an upstream's gateway runs next. It
// serves teams by weighted deficit round robin over the time that they use: a
// team's credit falls by the slot time of its statements and, at a lower price, by
// the time that its transactions hold a connection idle. Running statements are
// charged as time passes, so that slow statements cost what they use. A team
// without work keeps debts, but no credit.
//
// The package is pure: events go in with their time, decisions come out.
package queue

import (
	"math"
	"slices"
	"time"

	"burdockseam/core/config"
)

// Policy is the order of service.
type Policy string

// The policies. FIFO is the baseline: arrival order over all teams, and new arrivals
// are refused when the queue is full.
const (
	Fair Policy = "fair"
	FIFO Policy = "fifo"
)

// Defaults of Options.
const (
	DefaultTeamLimit = 256
	DefaultLimit     = 1024
	// DefaultOpening is the number of connections opened at the same time; with 12 to
	// 25 ms for each this is 80 to 160 a second.
	DefaultOpening = 2
	// DefaultIdle is the limit on the time that a transaction waits for its caller.
	DefaultIdle = 10 * time.Second
)

// quantum is the credit of a team of weight 1 for each round. It is about the time
// of a short statement, so that teams alternate finely.
const quantum = 2 * time.Millisecond

// openBackoff is the wait after a connection could not be opened; it doubles up to
// maxOpenBackoff.
const (
	openBackoff    = 20 * time.Millisecond
	maxOpenBackoff = time.Second
)

// Options are the settings of a queue; zero fields but Slots and Connections get
// defaults.
type Options struct {
	Policy Policy
	// Slots is the number of statements that may execute at the same time.
	Slots int
	// Connections is the number of connections that this gateway may have open.
	Connections int
	// TeamLimit and Limit bound the waiting requests of a team and of all teams.
	TeamLimit, Limit int
	// Opening bounds the connections that are being opened at the same time.
	Opening int
	// Warm is the number of connections opened without demand; by default Slots.
	Warm int
	// Idle is the limit on idle time in a transaction.
	Idle time.Duration
	// Bound says that a connection serves one team only, because the upstream is told
	// the team when the connection opens. Connections are then opened on demand, the
	// least recently used idle one of another team is given up for them, and one that is
	// being opened takes a slot.
	Bound bool
}

// Request is a statement that wants to run.
type Request struct {
	ID   uint64
	Team string
	// Session identifies the caller connection. A statement of a session that holds a
	// transaction runs on the transaction's connection.
	Session uint64
	// Begin says that the statement opens a transaction.
	Begin bool
	// Deadline is the time by which the answer is wanted; zero means none.
	Deadline time.Time
}

// Kind is the kind of a decision.
type Kind string

// The kinds of decisions.
const (
	Start  Kind = "start"  // run the request on the connection
	Refuse Kind = "refuse" // the request was not run
	Fail   Kind = "fail"   // the connection was lost while the request ran
	Open   Kind = "open"   // open the connection, then call Opened or Lost
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

// Decision is an output. Request is 0 in decisions about connections only.
type Decision struct {
	Kind       Kind
	Request    uint64
	Connection uint64
	Reason     Reason
	// Team is the team that an opened connection is bound to, if connections are bound.
	Team string
}

// Queue holds the waiting requests of one upstream at its gateway. It is not safe
// for concurrent use.
type Queue struct {
	o       Options
	weights map[string]int
	teams   []*team // in round-robin order
	byName  map[string]*team
	next    int // team whose turn it is

	items    map[uint64]*item // waiting and running
	queued   int
	running  int
	arrivals uint64

	conns    map[uint64]*conn
	idle     []*conn // warm; the last used comes last
	sessions map[uint64]*conn
	opening  int
	lastConn uint64
	backoff  time.Duration
	openFrom time.Time // no connection is opened before

	held   bool
	closed bool
	out    []Decision
}

type team struct {
	name   string
	weight float64
	credit time.Duration // slot time
	// waiting by class: statements of open transactions, single statements, and
	// statements that open a transaction.
	waiting [classes][]*item
	running int
	held    int // connections held by transactions
	service estimate
}

// Classes of waiting requests.
const (
	inner = iota
	plain
	begin
	classes
)

type item struct {
	Request
	team    *team
	class   int
	order   uint64
	conn    *conn
	started time.Time
	charged time.Duration
}

type conn struct {
	id      uint64
	opening bool
	owner   *team  // the team that the connection is bound to, if connections are bound
	last    uint64 // session of the last statement
	team    *team
	session uint64 // of the open transaction; 0 if none
	run     *item
	since   time.Time // idle in transaction since, and charged up to here
	idleAt  time.Time
}

// New returns a queue without connections.
func New(o Options) *Queue {
	if o.Policy == "" {
		o.Policy = Fair
	}
	for _, d := range []struct {
		field *int
		value int
	}{{&o.Slots, 1}, {&o.TeamLimit, DefaultTeamLimit}, {&o.Limit, DefaultLimit}, {&o.Opening, DefaultOpening}, {&o.Warm, o.Slots}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	o.Connections = max(o.Connections, 1)
	if o.Idle <= 0 {
		o.Idle = DefaultIdle
	}
	return &Queue{
		o: o, weights: map[string]int{}, byName: map[string]*team{}, items: map[uint64]*item{},
		conns: map[uint64]*conn{}, sessions: map[uint64]*conn{},
	}
}

// Configure sets the weights of the teams; others have weight 1.
func (q *Queue) Configure(teams map[string]config.Team) {
	clear(q.weights)
	for name, t := range teams {
		q.weights[name] = max(1, t.Weight)
	}
	for _, t := range q.teams {
		t.weight = q.weight(t.name)
	}
}

func (q *Queue) weight(name string) float64 { return float64(max(1, q.weights[name])) }

// Queued and Running return the numbers of waiting and executing requests.
func (q *Queue) Queued() int { return q.queued }

// Running returns the number of executing requests.
func (q *Queue) Running() int { return q.running }

// Hold stops (or with false resumes) the start of requests outside transactions, for
// a planned switch of the primary. Waiting requests stay.
func (q *Queue) Hold(now time.Time, held bool) []Decision {
	q.held = held
	return q.step(now)
}

// Shut refuses all waiting requests and those that arrive later. Running requests and
// open transactions go on.
func (q *Queue) Shut(now time.Time) []Decision {
	q.closed = true
	for _, t := range q.teams {
		for class := plain; class < classes; class++ {
			for len(t.waiting[class]) > 0 {
				q.refuse(t.waiting[class][0], ReasonClosed)
			}
		}
	}
	return q.step(now)
}

// Arrive takes in a request with an unused ID.
func (q *Queue) Arrive(now time.Time, r Request) []Decision {
	t := q.team(r.Team)
	q.arrivals++
	i := &item{Request: r, team: t, class: plain, order: q.arrivals}
	if c := q.sessions[r.Session]; c != nil && r.Session != 0 {
		i.class, i.conn = inner, c
	} else if r.Begin {
		i.class = begin
	}
	q.items[r.ID] = i
	t.waiting[i.class] = append(t.waiting[i.class], i)
	q.queued++
	q.accrue(now)
	switch {
	case q.closed && i.class != inner:
		q.refuse(i, ReasonClosed)
	case q.late(now, i):
		q.refuse(i, ReasonDeadline)
	case q.o.Policy == Fair && t.queued() > q.o.TeamLimit:
		q.refuse(i, ReasonTeamFull)
	case q.queued > q.o.Limit:
		q.shed(i)
	}
	return q.step(now)
}

// late reports whether the new request i cannot finish by its deadline, by the
// observed service times of its team and the team's present share.
func (q *Queue) late(now time.Time, i *item) bool {
	if i.Deadline.IsZero() {
		return false
	}
	service := i.team.service.at(now)
	var ahead time.Duration
	if i.team.queued() > 1 || q.running >= q.o.Slots {
		active, all := 0.0, time.Duration(0)
		for _, t := range q.teams {
			if n := t.queued(); n > 0 {
				active += t.weight
				all += time.Duration(n) * t.service.at(now)
			}
		}
		own := time.Duration(i.team.queued()-1) * service
		ahead = min(time.Duration(float64(own)*active/i.team.weight), all-service) / time.Duration(q.o.Slots)
		if q.o.Policy == FIFO {
			ahead = (all - service) / time.Duration(q.o.Slots)
		}
	}
	return now.Add(max(0, ahead) + service).After(i.Deadline)
}

// shed makes room: the team with the most waiting time per weight loses its newest
// request outside transactions.
func (q *Queue) shed(i *item) {
	if q.o.Policy == FIFO {
		q.refuse(i, ReasonFull)
		return
	}
	var heaviest *team
	most := 0.0
	for _, t := range q.teams {
		n := len(t.waiting[plain]) + len(t.waiting[begin])
		if load := float64(n) / t.weight; n > 0 && load > most {
			heaviest, most = t, load
		}
	}
	if heaviest == nil {
		q.refuse(i, ReasonFull)
		return
	}
	var newest *item
	for class := plain; class < classes; class++ {
		if w := heaviest.waiting[class]; len(w) > 0 && (newest == nil || w[len(w)-1].order > newest.order) {
			newest = w[len(w)-1]
		}
	}
	q.refuse(newest, ReasonFull)
}

func (q *Queue) refuse(i *item, why Reason) {
	q.drop(i)
	q.out = append(q.out, Decision{Kind: Refuse, Request: i.ID, Reason: why})
}

// drop takes a waiting request out.
func (q *Queue) drop(i *item) {
	w := &i.team.waiting[i.class]
	if k := slices.Index(*w, i); k >= 0 {
		*w = slices.Delete(*w, k, k+1)
		q.queued--
	}
	delete(q.items, i.ID)
}

// Cancel withdraws a request. It reports true if the request was waiting and so has
// not run; a running request goes on until Finish or Lost.
func (q *Queue) Cancel(now time.Time, id uint64) (bool, []Decision) {
	i := q.items[id]
	if i == nil || !i.started.IsZero() {
		return false, nil
	}
	q.drop(i)
	return true, q.step(now)
}

func (q *Queue) team(name string) *team {
	t := q.byName[name]
	if t == nil {
		t = &team{name: name, weight: q.weight(name)}
		q.byName[name] = t
		q.teams = append(q.teams, t)
	}
	return t
}

func (t *team) queued() int {
	return len(t.waiting[inner]) + len(t.waiting[plain]) + len(t.waiting[begin])
}

// estimate is a mean of service times that halves with each second without a new
// one, so that a wrong estimate does not refuse a team's requests for ever.
type estimate struct {
	mean time.Duration
	last time.Time
}

func (e *estimate) add(now time.Time, d time.Duration) {
	if e.last.IsZero() {
		e.mean = d
	} else {
		e.mean += (d - e.mean) / 8
	}
	e.last = now
}

func (e *estimate) at(now time.Time) time.Duration {
	if e.last.IsZero() {
		return 0
	}
	return time.Duration(float64(e.mean) * math.Exp2(-now.Sub(e.last).Seconds()))
}

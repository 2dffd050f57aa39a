package quota

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockseam/core/config"
)

// Shard returns the name of the team's shard.
func Shard(team string, shards int) string {
	return strconv.FormatUint(xxhash.Sum64String(team)%uint64(max(1, shards)), 10)
}

// Times of a holder.
const (
	// MaxWait is the longest wait of a request for a token. It covers the loss of an
	// owner: the end of the promises, the wait of the successor and the exchanges, up to
	// 3 s when a whole failure domain is lost (docs/measures.md).
	MaxWait = 3500 * time.Millisecond
	// maxBacklog is the wait for the rate itself above which a request is refused at once.
	maxBacklog = 2 * time.Second
	// giveUp is the time after which a request counts as lost. It is above the round
	// trip between regions (40 ms) and leaves time for repeats within MaxWait.
	giveUp = 150 * time.Millisecond
	// returnAge is the age at which a holder returns what is left of a slice, so that
	// the report reaches the owner before the slice expires there.
	returnAge = Life * 6 / 10
	// silentAfter is the time without an answer after which an owner is reported as silent.
	silentAfter = time.Second
	// measure is the shortest time over which arrivals are counted for the demand.
	measure = 20 * time.Millisecond
	// smoothing is the time constant of the demand.
	smoothing = 150 * time.Millisecond
	// The horizon is the time for which a holder keeps tokens in stock: an eighth of
	// the time in which the rate fills the burst, so that the stocks of all holders
	// together stay a small part of the burst.
	minHorizon = 10 * time.Millisecond
	maxHorizon = 150 * time.Millisecond
	// Reports are delayed by the same rule, since unreported tokens hold up refill.
	minFlush = 2 * time.Millisecond
	maxFlush = 200 * time.Millisecond
	// maxWaiting bounds the waiting requests of a team at one holder.
	maxWaiting = 4096
)

// Outcome is what became of a request for a token.
type Outcome string

// The outcomes.
const (
	Granted Outcome = "granted"
	Waiting Outcome = "waiting" // decided later, by a Decision with the same ticket
	Refused Outcome = "refused"
)

// Decision tells whether a request is admitted.
type Decision struct {
	Outcome Outcome
	// Ticket identifies a waiting request; 0 if the request was decided at once.
	Ticket uint64
	// Retry is the time after which a refused request is worth repeating.
	Retry time.Duration
	// Poll asks the caller to call Tick now rather than at its next interval.
	Poll bool
}

// Output is what a step of a holder wants done.
type Output struct {
	Requests  []Request
	Decisions []Decision
}

// Holder spends slices at one instance. It is not safe for concurrent use.
type Holder struct {
	self   string
	shards int
	teams  map[string]*team
	links  []*link // by shard
	ticket uint64
}

// link is the exchange with the owner of one shard.
type link struct {
	shard, owner string
	epoch, seq   uint64
	teams        []*team // by name
	sent         []sent
	unanswered   time.Time // since when requests go unanswered; zero if they are answered
}

type sent struct {
	seq   uint64
	at    time.Time
	wants []Want
}

type team struct {
	name           string
	link           *link
	removed        bool
	rate, burst    float64
	horizon, flush time.Duration

	slices []held
	stock  int // tokens left in open slices

	count    int // arrivals since measured
	measured time.Time
	demand   float64 // requests per second

	waiting   []waiter
	low       int // stock at which Take asks for a Tick
	pending   int // tokens wanted by unanswered requests
	retryAt   time.Time
	backlog   time.Duration // as of backlogAt
	backlogAt time.Time
}

type waiter struct {
	ticket uint64
	at     time.Time
}

// held is a slice at the holder. It stays after it is closed until the owner has
// confirmed the last report, or has surely dropped the slice itself.
type held struct {
	seq           uint64
	sent          time.Time // of the request
	left, spent   int
	closed        bool
	ackSpent      int
	ackClosed     bool
	reportedSince time.Time // when the oldest unconfirmed spending was seen
}

// NewHolder returns the holder of an instance, for teams that hash to a number of
// shards. The instance's id must be new with each start.
func NewHolder(self string, shards int) *Holder {
	return &Holder{self: self, shards: shards, teams: map[string]*team{}}
}

// Configure sets the teams. Slices of a removed team are returned and its waiting
// requests refused at the next Tick.
func (h *Holder) Configure(now time.Time, teams map[string]config.Team) {
	for name, t := range h.teams {
		if _, ok := teams[name]; !ok {
			t.removed = true
			delete(h.teams, name)
		}
	}
	for name, c := range teams {
		t := h.teams[name]
		l := h.link(Shard(name, h.shards))
		if t == nil {
			t = &team{name: name, measured: now, link: l}
			h.teams[name] = t
			l.teams = slices.DeleteFunc(l.teams, func(o *team) bool { return o.name == name })
			l.teams = append(l.teams, t)
			slices.SortFunc(l.teams, func(a, b *team) int {
				if a.name < b.name {
					return -1
				}
				return 1
			})
		}
		t.rate, t.burst = c.Rate, c.Burst
		part := seconds(c.Burst / c.Rate / 8)
		t.horizon = min(max(part, minHorizon), maxHorizon)
		t.flush = min(max(part, minFlush), maxFlush)
	}
}

func (h *Holder) link(shard string) *link {
	i, ok := slices.BinarySearchFunc(h.links, shard, func(l *link, s string) int {
		switch {
		case l.shard < s:
			return -1
		case l.shard > s:
			return 1
		}
		return 0
	})
	if !ok {
		h.links = slices.Insert(h.links, i, &link{shard: shard})
	}
	return h.links[i]
}

// SetOwner tells the holder which instance owns a shard. A lower epoch than one
// already seen is ignored.
func (h *Holder) SetOwner(now time.Time, shard, owner string, epoch uint64) {
	l := h.link(shard)
	if epoch < l.epoch || owner == l.owner {
		return
	}
	l.epoch, l.owner = epoch, owner
	for len(l.sent) > 0 {
		l.abandon(now)
	}
	for _, t := range l.teams {
		t.retryAt = time.Time{}
	}
}

// Silent reports whether requests to the shard's owner have gone unanswered for
// long enough to look for another owner.
func (h *Holder) Silent(now time.Time, shard string) bool {
	l := h.link(shard)
	return !l.unanswered.IsZero() && now.Sub(l.unanswered) > silentAfter
}

// Take takes a token for a request of the team. If there is none in stock, the
// request waits for a grant, unless the wait would be longer than maxBacklog. The time
// must be fresh: a slice that expired during a pause must not be spent.
func (h *Holder) Take(now time.Time, name string) Decision {
	t := h.teams[name]
	if t == nil {
		return Decision{Outcome: Refused, Retry: MaxWait}
	}
	t.count++
	if len(t.waiting) == 0 && t.spend(now) {
		return Decision{Outcome: Granted, Poll: t.stock < t.low && t.pending == 0 && !now.Before(t.retryAt)}
	}
	if wait := t.backlog - now.Sub(t.backlogAt); wait >= maxBacklog || len(t.waiting) >= t.room() {
		return Decision{Outcome: Refused, Retry: max(wait, minRetry)}
	}
	h.ticket++
	t.waiting = append(t.waiting, waiter{ticket: h.ticket, at: now})
	return Decision{
		Outcome: Waiting, Ticket: h.ticket,
		Poll: len(t.waiting) > t.pending && !now.Before(t.retryAt),
	}
}

// Cancel withdraws a waiting request. It reports false if it no longer waits.
func (h *Holder) Cancel(name string, ticket uint64) bool {
	t := h.teams[name]
	if t == nil {
		return false
	}
	n := len(t.waiting)
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter) bool { return w.ticket == ticket })
	return len(t.waiting) < n
}

// room is the number of requests that may wait: what the whole rate serves in maxBacklog.
func (t *team) room() int {
	return int(min(max(1, t.rate*maxBacklog.Seconds()), maxWaiting))
}

// spend uses a token of the slice that expires first.
func (t *team) spend(now time.Time) bool {
	for i := range t.slices {
		s := &t.slices[i]
		if s.left == 0 || s.closed || !now.Before(s.expires()) {
			continue
		}
		if s.spent == s.ackSpent {
			s.reportedSince = now
		}
		s.left--
		s.spent++
		t.stock--
		return true
	}
	return false
}

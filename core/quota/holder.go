package quota

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockseam/core/config"
)

// ShardOf returns the name of the shard that a team belongs to.
func ShardOf(team string, shards int) string {
	return strconv.FormatUint(xxhash.Sum64String(team)%uint64(max(1, shards)), 10)
}

// Times of a holder.
const (
	// MaxWait is the longest wait of a request for a token. It covers the failure of an
	// owner: the expiry of its lease, the wait of its successor and the message round
	// trips, up to 3 s when a whole failure domain fails (docs/measures.md).
	MaxWait = 3500 * time.Millisecond
	// maxBacklog is the expected wait for refill above which a request is refused at once.
	maxBacklog = 2 * time.Second
	// requestTimeout is the time after which a request to the owner counts as lost. It is
	// above the round trip between regions (40 ms) and allows repeats within MaxWait.
	requestTimeout = 150 * time.Millisecond
	// returnAge is the age at which a holder returns the rest of a slice, so that the
	// report reaches the owner before the slice expires there.
	returnAge = SliceLifetime * 6 / 10
	// ownerSilentAfter is the time without an answer after which OwnerSilent reports true.
	ownerSilentAfter = time.Second
	// demandInterval is the shortest time over which arrivals are counted to measure the
	// demand.
	demandInterval = 20 * time.Millisecond
	// demandTimeConstant is the time constant of the exponential average of the demand.
	demandTimeConstant = 150 * time.Millisecond
	// minHorizon and maxHorizon bound the horizon, the time for which a holder keeps
	// tokens in stock. It is an eighth of the time in which the rate fills the burst, so
	// that the stocks of all holders together stay a small part of the burst.
	minHorizon = 10 * time.Millisecond
	maxHorizon = 150 * time.Millisecond
	// Reports are delayed by the same eighth within these bounds, since unreported
	// tokens hold up refill.
	minReportDelay = 2 * time.Millisecond
	maxReportDelay = 200 * time.Millisecond
	// maxWaitingPerTeam limits the waiting requests of a team at one holder, for teams
	// of any rate.
	maxWaitingPerTeam = 4096
)

// Outcome is the result of a request for a token.
type Outcome string

// Outcomes of requests for a token.
const (
	Granted Outcome = "granted"
	Waiting Outcome = "waiting" // a later Decision with the same Ticket has the final outcome
	Refused Outcome = "refused"
)

// Decision is the answer to a request for a token.
type Decision struct {
	Outcome Outcome
	// Ticket identifies a waiting request. It is 0 if the request did not wait.
	Ticket uint64
	// Retry is the time after which a refused request may be repeated.
	Retry time.Duration
	// TickNow asks the caller to call Tick now, without waiting for its next interval.
	TickNow bool
}

// Output lists the requests to send to owners and the decisions on waiting requests.
type Output struct {
	Requests  []Request
	Decisions []Decision
}

// Holder admits the requests of one instance by spending the slices that owners grant.
// It is not safe for concurrent use.
type Holder struct {
	self       string
	shards     int
	teams      map[string]*team
	links      []*ownerLink // by shard
	lastTicket uint64
}

// ownerLink is the state of the exchange with the owner of one shard.
type ownerLink struct {
	shard, owner       string
	epoch, lastSeq     uint64
	teams              []*team // by name
	unansweredRequests []sentRequest
	silentSince        time.Time // since when the owner is unknown or leaves requests unanswered; zero after a reply
}

// sentRequest is a request that the owner has not answered yet.
type sentRequest struct {
	seq   uint64
	at    time.Time
	wants []Want
}

// team is the state of one team at the holder.
type team struct {
	name                 string
	link                 *ownerLink
	removed              bool
	rate, burst          float64
	horizon, reportDelay time.Duration

	slices []heldSlice
	stock  int // unspent tokens in open slices

	arrivals     int // requests since countedSince
	countedSince time.Time
	demand       float64 // requests per second

	waiting       []waiter
	lowStock      int // stock below which TakeToken asks for a Tick
	pendingTokens int // tokens wanted by unanswered requests
	retryAt       time.Time
	backlog       time.Duration // as of backlogAt
	backlogAt     time.Time
	classes       classState
}

// waiter is a request that waits for a token.
type waiter struct {
	ticket uint64
	at     time.Time
	class  int
	until  time.Time // when the request gives up
}

// heldSlice is a slice at the holder. A closed slice is kept until the owner has confirmed
// its last report or must have dropped the slice on expiry.
type heldSlice struct {
	seq              uint64
	sent             time.Time // when the request was sent
	left, spent      int
	closed           bool
	confirmedSpent   int
	confirmedClosed  bool
	reportDelayStart time.Time // time of the oldest unconfirmed spending, or of the last report
}

// NewHolder returns the holder of an instance, for teams that are divided into the given
// number of shards. The ID self must be new with each start of the instance.
func NewHolder(self string, shards int) *Holder {
	return &Holder{self: self, shards: shards, teams: map[string]*team{}}
}

// Configure sets the teams. The next Tick returns the slices of removed teams and refuses
// their waiting requests.
func (h *Holder) Configure(now time.Time, teams map[string]config.Team) {
	for name, t := range h.teams {
		if _, ok := teams[name]; !ok {
			t.removed = true
			delete(h.teams, name)
		}
	}
	for name, c := range teams {
		t := h.teams[name]
		l := h.linkTo(ShardOf(name, h.shards))
		if t == nil {
			t = &team{name: name, countedSince: now, link: l}
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
		eighthOfFillTime := secondsToDuration(c.Burst / c.Rate / 8)
		t.horizon = min(max(eighthOfFillTime, minHorizon), maxHorizon)
		t.reportDelay = min(max(eighthOfFillTime, minReportDelay), maxReportDelay)
	}
}

// linkTo returns the link of a shard. It adds the link if there is none.
func (h *Holder) linkTo(shard string) *ownerLink {
	i, ok := slices.BinarySearchFunc(h.links, shard, func(l *ownerLink, s string) int {
		switch {
		case l.shard < s:
			return -1
		case l.shard > s:
			return 1
		}
		return 0
	})
	if !ok {
		h.links = slices.Insert(h.links, i, &ownerLink{shard: shard})
	}
	return h.links[i]
}

// SetOwner sets the instance that owns a shard. An owner of an epoch lower than one
// already seen is ignored.
func (h *Holder) SetOwner(now time.Time, shard, owner string, epoch uint64) {
	l := h.linkTo(shard)
	if epoch < l.epoch || owner == l.owner {
		return
	}
	l.epoch, l.owner = epoch, owner
	for len(l.unansweredRequests) > 0 {
		l.abandonOldest(now)
	}
	for _, t := range l.teams {
		t.retryAt = time.Time{}
	}
}

// OwnerSilent reports whether the shard's owner has left requests unanswered for long
// enough to look for another owner.
func (h *Holder) OwnerSilent(now time.Time, shard string) bool {
	l := h.linkTo(shard)
	return !l.silentSince.IsZero() && now.Sub(l.silentSince) > ownerSilentAfter
}

// TakeToken takes a token for a request of the team. If there is none in stock, the
// request waits for a grant, unless the wait would be longer than maxBacklog. now must be
// the current time, since a slice that expired during a pause must not be spent.
func (h *Holder) TakeToken(now time.Time, name string) Decision {
	return h.TakeTokenFor(now, name, 0, MaxWait)
}

// TakeTokenFor is TakeToken for a request of a priority that waits for maxWait at most. It is
// refused at once if the collector can't serve it within that time.
func (h *Holder) TakeTokenFor(now time.Time, name string, priority int, maxWait time.Duration) Decision {
	t := h.teams[name]
	if t == nil {
		return Decision{Outcome: Refused, Retry: MaxWait}
	}
	t.arrivals++
	class := classOf(priority)
	t.classes.count(now, class)
	if len(t.waiting) == 0 && t.spendToken(now) {
		return Decision{Outcome: Granted, TickNow: t.stock < t.lowStock && t.pendingTokens == 0 && !now.Before(t.retryAt)}
	}
	if retry, refused := t.refuses(now, class, maxWait); refused {
		return Decision{Outcome: Refused, Retry: retry}
	}
	h.lastTicket++
	t.addWaiter(waiter{ticket: h.lastTicket, at: now, class: class, until: now.Add(maxWait)})
	return Decision{
		Outcome: Waiting, Ticket: h.lastTicket,
		TickNow: len(t.waiting) > t.pendingTokens && t.mayRequest(now, class),
	}
}

// refuses reports whether a request for which no token is in stock is refused at once, and the
// retry hint, which counts as given.
func (t *team) refuses(now time.Time, class int, maxWait time.Duration) (retry time.Duration, refused bool) {
	if wait := t.backlog - now.Sub(t.backlogAt); wait >= maxBacklog || t.waitingBefore(class) >= t.maxWaitingRequests() {
		return max(wait, minRetry), true
	}
	if t.hopeless(now, class, t.waitingBefore(class)+1, maxWait) {
		return t.retryHint(now), true
	}
	return 0, false
}

// CancelRequest withdraws a waiting request. It reports false if the request does not wait
// any more.
func (h *Holder) CancelRequest(name string, ticket uint64) bool {
	t := h.teams[name]
	if t == nil {
		return false
	}
	n := len(t.waiting)
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter) bool { return w.ticket == ticket })
	return len(t.waiting) < n
}

// maxWaitingRequests is the number of requests that may wait: as many as the team's whole
// rate serves in maxBacklog, but at least one and at most maxWaitingPerTeam.
func (t *team) maxWaitingRequests() int {
	return int(min(max(1, t.rate*maxBacklog.Seconds()), maxWaitingPerTeam))
}

// usable reports whether a token of the slice may be spent.
func (s *heldSlice) usable(now time.Time) bool {
	return s.left > 0 && !s.closed && now.Before(s.expiresAt())
}

// spendToken spends a token of the slice that expires first. It reports false if no slice has
// one.
func (t *team) spendToken(now time.Time) bool {
	for i := range t.slices {
		s := &t.slices[i]
		if !s.usable(now) {
			continue
		}
		if s.spent == s.confirmedSpent {
			s.reportDelayStart = now
		}
		s.left--
		s.spent++
		t.stock--
		return true
	}
	return false
}

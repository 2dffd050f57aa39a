package quota

// A collector grants the tokens of teams whose local part would be too small. Each
// instance delegates its part of all rates and bursts to a collector of its failure domain
// (delegate.go), so a collector is an owner of the teams scaled by the sum of these parts.
//
// Rate bound: a collector keeps level + outstanding ≤ sum × (burst + spare) for each team, where
// outstanding counts the own tokens that holders may still spend and those transferred to
// other collectors (transfer.go). Only refill raises level + outstanding, by at most
// sum × rate × time. No part counts at two collectors at a time, so over all collectors the
// bound of the package comment holds with the sum of all parts, which is 1 if all instances
// count the same number of instances. docs/design/limits.md has the excess while they differ.

import (
	"math"
	"slices"
	"time"

	"burdockseam/core/config"
	"burdockseam/core/lease"
)

const (
	// CollectorInterval is the time between two steps of a collector.
	CollectorInterval = 100 * time.Millisecond
	// maxStepGap is the time after a step for which its sum of the parts is used if the process
	// runs. Parts that end within it are left out of the sum.
	maxStepGap = 150 * time.Millisecond
	// collectorDemandTime is the time constant of the exponential average of the demand.
	collectorDemandTime = time.Second
	// seenWindow is the number of the latest requests of a holder that are told apart. A
	// request may be handled after later ones, since it can wait for a transfer.
	seenWindow = 64
	// tokenError is far above the rounding errors of a level and far below a token.
	tokenError = 1e-6
)

// Collector keeps the buckets of the parts that instances delegate to this one. It is not safe
// for concurrent use.
type Collector struct {
	run, self string
	start     time.Time
	parts     map[string]delegatedPart // by address of the delegating instance
	spare     float64
	sum       float64   // of the parts in force, as of the last step
	sumUntil  time.Time // when the first of these parts ends
	steppedAt time.Time
	accounts  map[string]*account
	active    map[string]*account // those with recent demand, which may be short of tokens
	holders   map[string]*seenRequests
	lastSweep time.Time
	lenders   []string // other collectors, nearest first
	pairs     map[string]*lenderPair
}

// seenRequests tells which requests of a holder were handled.
type seenRequests struct {
	highest uint64
	below   uint64 // bit k is set if request highest-k was handled
	at      time.Time
}

// add records a request. It reports false if the request was handled or is too old to tell.
func (s *seenRequests) add(seq uint64) bool {
	if seq > s.highest {
		s.below = s.below<<(seq-s.highest) | 1 // a shift by 64 or more gives 0
		s.highest = seq
		return true
	}
	bit := uint64(1) << (s.highest - seq)
	if s.highest-seq >= seenWindow || s.below&bit != 0 {
		return false
	}
	s.below |= bit
	return true
}

// account is the bucket of a team at a collector.
type account struct {
	whole       config.Team // as configured
	rate, burst float64     // of the collector's parts
	level       float64
	outstanding float64 // own tokens in holds that may still be spent
	refilledTo  time.Time
	holds       []*hold // sorted by expiry
	borrowed    []lot
	wants       map[string]classWants // unserved wants of holders
	demand      [Classes]float64      // tokens wanted in a second, by class, as of demandAt
	demandAt    time.Time
	seenAt      [Classes]time.Time // when the class was last wanted
	granted     float64            // tokens granted in a second, as of demandAt
	least       float64            // tokens that the least urgent class may take from the reserved ones
	lackedAt    time.Time          // when the least urgent class last lacked tokens
	lenders     map[string]lenderState
	scarceAt    time.Time // when tokens were last lacking and others lent none
}

// hold is a number of own tokens that were granted to a holder, or transferred to another
// collector, which has no holder.
type hold struct {
	holder        string
	id            uint64
	tokens, spent float64
	expires       time.Time
}

// classWants is the unserved demand of a holder.
type classWants struct {
	at      time.Time
	tokens  [Classes]int
	waiting int
}

// NewCollector returns the state of an instance as a collector. It grants nothing until parts
// are delegated to it.
func NewCollector(now time.Time, run, self string) *Collector {
	return &Collector{
		run: run, self: self, start: now, steppedAt: now, parts: make(map[string]delegatedPart),
		accounts: make(map[string]*account), active: make(map[string]*account), holders: make(map[string]*seenRequests), pairs: make(map[string]*lenderPair),
	}
}

// Configure sets the teams, with their whole rate and burst. The bucket of a new team starts
// empty. spare is the number of tokens by which all collectors together may exceed a small
// burst, so that each of them can hold some whole tokens.
func (c *Collector) Configure(now time.Time, teams map[string]config.Team, spare float64) {
	c.Step(now)
	c.spare = spare
	for name, a := range c.accounts {
		a.advance(now)
		if _, ok := teams[name]; ok {
			continue
		}
		if a.whole = (config.Team{}); a.outstanding < tokenError {
			delete(c.accounts, name)
			delete(c.active, name)
		}
		a.scale(0, 0)
	}
	for name, t := range teams {
		a := c.accounts[name]
		if a == nil {
			a = &account{refilledTo: now, demandAt: now, wants: make(map[string]classWants), lenders: make(map[string]lenderState)}
			c.accounts[name] = a
		}
		a.whole = t
		a.scale(c.sum, spare)
	}
}

// scale sets the collector's parts of the team. The spare tokens add to each burst: the part of a
// small one is a few tokens, which slices and transfers that are under way take up, and refill
// stops meanwhile. The caller has refilled the bucket.
func (a *account) scale(sum, spare float64) {
	a.rate, a.burst = a.whole.Rate*sum*(1-maxClockDrift), a.whole.Burst*sum
	if a.burst > 0 {
		a.burst += spare * sum
	}
	a.level = max(0, min(a.level, a.burst-a.outstanding))
}

// Step brings the sum of the parts up to date. Between two steps the sum is constant, and it
// leaves out the parts that end soon. After a pause of the process nothing is refilled for the
// time in which a part of the sum may have ended.
func (c *Collector) Step(now time.Time) {
	limit := c.sumUntil
	sum, until := 0.0, now.Add(delegationLife)
	for address, p := range c.parts {
		if p.until.Before(now.Add(maxStepGap)) {
			if !p.until.After(now) {
				delete(c.parts, address)
			}
			continue
		}
		sum += p.part
		if p.part > 0 && p.until.Before(until) {
			until = p.until
		}
	}
	sum = min(1, sum)
	paused := c.sum > 0 && now.After(limit)
	if paused || math.Abs(sum-c.sum) > 1e-9 {
		for _, a := range c.accounts {
			if paused {
				if limit.After(a.refilledTo) {
					a.advance(limit)
				}
				a.refilledTo = now
			}
			a.advance(now)
			a.scale(sum, c.spare)
		}
		c.sum = sum
	}
	c.steppedAt, c.sumUntil = now, until
	if now.Sub(c.lastSweep) > holderLifetime {
		c.lastSweep = now
		for name, s := range c.holders {
			if now.Sub(s.at) > holderLifetime {
				delete(c.holders, name)
			}
		}
	}
}

// catchUp steps if the last step is too long ago for its sum to be used.
func (c *Collector) catchUp(now time.Time) {
	if now.After(c.steppedAt.Add(maxStepGap)) {
		c.Step(now)
	}
}

// advance refills the bucket up to now and drops the holds that have expired by then.
func (a *account) advance(now time.Time) {
	for len(a.holds) > 0 && !a.holds[0].expires.After(now) {
		h := a.holds[0]
		a.refill(h.expires)
		a.release(h.tokens - h.spent)
		a.holds = a.holds[1:]
	}
	a.refill(now)
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l lot) bool { return l.tokens < tokenError || !now.Before(l.expires) })
}

// release takes tokens off the outstanding ones.
func (a *account) release(tokens float64) {
	if a.outstanding -= tokens; a.outstanding < tokenError {
		a.outstanding = max(0, a.outstanding)
	}
}

func (a *account) refill(now time.Time) {
	d := now.Sub(a.refilledTo)
	if d <= 0 {
		return
	}
	a.refilledTo = now
	refill := a.rate * d.Seconds()
	a.level = max(a.level, min(a.burst-a.outstanding, a.level+refill))
	a.least = min(1, a.least+refill*leastShare)
}

// hold makes own tokens outstanding.
func (a *account) hold(h *hold) {
	a.level = max(0, a.level-h.tokens)
	a.outstanding += h.tokens
	k, _ := slices.BinarySearchFunc(a.holds, h.expires, func(o *hold, t time.Time) int { return o.expires.Compare(t) })
	a.holds = slices.Insert(a.holds, k, h)
}

// applyReports applies the reports of a holder. The caller has refilled the bucket up to now,
// since the tokens reported as spent may have been spent just now. A slice may hold borrowed
// tokens beside the own ones, which the lender accounts for: the own ones count as spent first,
// so that a report never frees more than was not spent.
func (a *account) applyReports(holder string, reports []Report) {
	for _, r := range reports {
		k := slices.IndexFunc(a.holds, func(h *hold) bool { return h.holder == holder && h.id == r.Slice })
		if k < 0 {
			continue
		}
		h := a.holds[k]
		if spent := min(float64(r.Spent), h.tokens); spent > h.spent {
			a.release(spent - h.spent)
			h.spent = spent
		}
		if r.Closed {
			unspent := h.tokens - h.spent
			a.release(unspent)
			a.level = min(a.level+unspent, max(a.level, a.burst-a.outstanding))
			a.holds = slices.Delete(a.holds, k, k+1)
		}
	}
}

// lent returns the number of borrowed tokens. The caller has advanced the account.
func (a *account) lent() float64 {
	n := 0.0
	for _, l := range a.borrowed {
		n += l.tokens
	}
	return n
}

// take takes tokens for a slice, borrowed ones first since they expire sooner.
func (a *account) take(now time.Time, holder string, id uint64, tokens float64) {
	for k := range a.borrowed {
		n := min(tokens, a.borrowed[k].tokens)
		a.borrowed[k].tokens -= n
		tokens -= n
	}
	if tokens > tokenError {
		a.hold(&hold{holder: holder, id: id, tokens: tokens, expires: now.Add(lease.AddClockMargin(SliceLifetime))})
	}
}

// Expect records the demand of a request that is going to be handled. It reports whether the
// collector has too few tokens for it, so that a transfer is worth a wait.
func (c *Collector) Expect(now time.Time, r Request) bool {
	c.catchUp(now)
	short := false
	for _, w := range r.Wants {
		a := c.accounts[w.Team]
		if a == nil || w.Tokens == 0 {
			continue
		}
		a.advance(now)
		a.countDemand(now, r.From, w)
		c.active[w.Team] = a
		short = short || a.shortfall(now) > tokenError && !a.exhausted(now, c.lenders)
	}
	return short
}

// HandleRequest processes a holder's request. ok is false, and no reply must be sent, if the
// request is not for this collector or a duplicate.
func (c *Collector) HandleRequest(now time.Time, r Request) (reply Reply, ok bool) {
	if r.To != c.self {
		return Reply{}, false
	}
	c.catchUp(now)
	for _, w := range r.Wants {
		if a := c.accounts[w.Team]; a != nil {
			a.advance(now)
			a.applyReports(r.From, w.Reports)
		}
	}
	seen := c.holders[r.From]
	if seen == nil {
		seen = &seenRequests{}
		c.holders[r.From] = seen
	}
	if seen.at = now; !seen.add(r.Seq) {
		return Reply{}, false
	}
	reply = Reply{Shard: r.Shard, From: c.self, To: r.From, Epoch: r.Epoch, Seq: r.Seq}
	for _, w := range r.Wants {
		g := Grant{Team: w.Team, Retry: maxRetry}
		if a := c.accounts[w.Team]; a != nil && a.whole.Rate > 0 {
			g = a.grantTokens(now, r.From, r.Seq, w, c.lenders)
			c.active[w.Team] = a
		}
		reply.Grants = append(reply.Grants, g)
	}
	return reply, true
}

// grantTokens grants a holder the tokens that it wants, the most urgent first. If there are too
// few for the wants of all holders, it gets its share of them, but at least one token unless
// there is less than one.
func (a *account) grantTokens(now time.Time, holder string, seq uint64, w Want, lenders []string) Grant {
	a.countDemand(now, holder, w)
	g := Grant{Team: w.Team}
	wanted := a.wants[holder]
	total, _ := a.totalWants(now)
	barred, least := 0, a.leastUrgent(now)
	for class := range Classes {
		if wanted.tokens[class] == 0 {
			continue
		}
		free := a.level + a.lent() - float64(g.Tokens) - a.reserved(now, class)
		if class == least {
			free = max(free, min(a.least, a.level+a.lent()-float64(g.Tokens)))
		} else if now.Sub(a.lackedAt) < wantLifetime {
			free -= a.least
		}
		n := 0.0
		if free+tokenError >= 1 {
			n = float64(wanted.tokens[class])
			if all := float64(total[class]); free < all {
				n = math.Ceil(free * n / all)
			}
			n = math.Floor(min(n, float64(wanted.tokens[class]), free+tokenError))
		}
		g.Tokens += int(n)
		wanted.tokens[class] -= int(n)
		if class == least {
			a.least = max(0, a.least-n)
		}
		if wanted.tokens[class] > 0 && barred == 0 {
			barred = class + 1
		}
		if wanted.tokens[class] > 0 && class == least {
			a.lackedAt = now
		}
	}
	if g.Tokens > 0 {
		a.take(now, holder, seq, float64(g.Tokens))
		a.granted += float64(g.Tokens) / collectorDemandTime.Seconds()
	}
	wanted.waiting = max(0, w.Waiting-g.Tokens)
	a.wants[holder] = wanted
	left := 0
	for _, n := range wanted.tokens {
		left += n
	}
	if left == 0 {
		return g
	}
	supply := max(a.rate, a.granted, tokenError)
	need := max(1, float64(left)) - a.level - a.lent()
	g.Retry = min(max(secondsToDuration(need/supply), minRetry), maxRetry)
	g.Barred = barred
	if !a.exhausted(now, lenders) {
		g.Retry = min(g.Retry, transferRetry)
		return g
	}
	a.scarceAt = now
	g.Pace = supply / float64(len(a.wants))
	return g
}

// totalWants returns the unserved wants of all holders, by class, and the number of callers'
// requests that wait at them. It forgets those that are not current.
func (a *account) totalWants(now time.Time) (tokens [Classes]int, waiting int) {
	for holder, w := range a.wants {
		if now.Sub(w.at) > wantLifetime {
			delete(a.wants, holder)
			continue
		}
		for class, n := range w.tokens {
			tokens[class] += n
		}
		waiting += w.waiting
	}
	return tokens, waiting
}

package quota

// Transfers of tokens between collectors. A collector whose bucket runs short asks others. The
// lender makes the tokens outstanding before it answers, and counts them until no holder can
// spend them any more. The borrower drops what it has not granted TransferLifetime after it
// asked. So a lost answer loses tokens and never doubles them, and level + outstanding of all
// collectors stays within the burst. Tokens are fractional, since the part of a failure domain
// in a small burst can be below one token.

import (
	"math"
	"slices"
	"time"

	"burdockseam/core/lease"
)

const (
	// TransferLifetime is the time after a request for a transfer after which its tokens are
	// dropped.
	TransferLifetime = 250 * time.Millisecond
	// pairInterval is the shortest time between two transfers that a collector requests of
	// another one.
	pairInterval = 100 * time.Millisecond
	// transferTimeout is the time after which an unanswered transfer counts as lost.
	transferTimeout = TransferLifetime
	// transferRetry is the time after which a holder asks again while transfers are tried: a
	// round trip between regions.
	transferRetry = 30 * time.Millisecond
	// needTime is the time for which a collector keeps tokens for the demand of its own
	// holders, and ahead of which it asks for them.
	needTime = 200 * time.Millisecond
	// minLenderPause and maxLenderPause bound the time for which a collector that lent less than
	// half of what was asked is not asked again. The pause doubles with each answer of nothing, so that collectors
	// do not ask each other all the time while the whole team is over its limit.
	minLenderPause = 200 * time.Millisecond
	maxLenderPause = 1600 * time.Millisecond
	// minTransfer is the least number of tokens in a transfer.
	minTransfer = 0.05
	// maxLenders is the number of collectors that are asked in turn.
	maxLenders = 8
)

// TransferWant is the part of a transfer for one team.
type TransferWant struct {
	Team     string
	Tokens   float64
	Priority int
}

// Transfer asks another collector for tokens.
type Transfer struct {
	From  string
	Wants []TransferWant
}

// TransferReply has the transferred tokens, in the order of the wants.
type TransferReply struct{ Tokens []float64 }

// lot is a number of borrowed tokens.
type lot struct {
	tokens  float64
	expires time.Time
}

// lenderPair is the exchange with another collector.
type lenderPair struct {
	sentAt  time.Time
	pending bool
}

// lenderState is what an account knows about a lender.
type lenderState struct {
	pause   time.Duration
	retryAt time.Time
}

// SetLenders sets the other collectors, the nearest first.
func (c *Collector) SetLenders(addresses []string) {
	c.lenders = addresses[:min(len(addresses), maxLenders)]
	for address := range c.pairs {
		if !slices.Contains(c.lenders, address) {
			delete(c.pairs, address)
		}
	}
}

// Transfers returns the transfers to request now, by lender. A small shortfall is asked of the
// nearest collector, a large one of all of them.
func (c *Collector) Transfers(now time.Time) map[string]Transfer {
	c.catchUp(now)
	var free []string
	for _, address := range c.lenders {
		p := c.pairs[address]
		if p == nil {
			p = &lenderPair{}
			c.pairs[address] = p
		}
		if now.Sub(p.sentAt) >= pairInterval && (!p.pending || now.Sub(p.sentAt) >= transferTimeout) {
			free = append(free, address)
		}
	}
	if len(free) == 0 {
		return nil
	}
	out := make(map[string]Transfer)
	for name, a := range c.active {
		if a.quiet(now) {
			delete(c.active, name)
			continue
		}
		a.advance(now)
		short := a.shortfall(now)
		if short < minTransfer {
			continue
		}
		var lenders []string
		for _, address := range free {
			if !now.Before(a.lenders[address].retryAt) {
				lenders = append(lenders, address)
			}
		}
		if most := 1 + int(2*short/max(1, a.burst)); len(lenders) > most {
			lenders = lenders[:most]
		}
		for _, address := range lenders {
			t := out[address]
			t.From = c.self
			t.Wants = append(t.Wants, TransferWant{Team: name, Tokens: short / float64(len(lenders)), Priority: a.mostUrgent(now)})
			out[address] = t
		}
	}
	for address := range out {
		*c.pairs[address] = lenderPair{sentAt: now, pending: true}
	}
	return out
}

// quiet reports whether no class has had demand for a while.
func (a *account) quiet(now time.Time) bool {
	return !slices.ContainsFunc(a.seenAt[:], func(t time.Time) bool { return now.Sub(t) < classLifetime })
}

// shortfall returns the number of tokens that are missing for the unserved wants, besides what
// is reserved for more urgent ones, and for the whole tokens that the demand of needTime calls
// for. The caller has advanced the account.
func (a *account) shortfall(now time.Time) float64 {
	tokens, _ := a.totalWants(now)
	available := a.level + a.lent()
	need, short := 0.0, 0.0
	for class, n := range tokens {
		if n > 0 {
			need += float64(n)
			reserved := 0.0
			if a.burst >= smallBucket {
				reserved = a.reserved(now, class)
			}
			short = max(short, need+reserved-available)
		}
	}
	if ahead := math.Floor(a.totalDemand(now) * needTime.Seconds()); ahead >= 1 {
		refill := min(a.rate*CollectorInterval.Seconds(), max(0, a.burst-a.outstanding-a.level))
		short = max(short, need+ahead-available-refill)
	}
	return short
}

// exhausted reports whether all other collectors have lent nothing of the team lately.
func (a *account) exhausted(now time.Time, lenders []string) bool {
	return !slices.ContainsFunc(lenders, func(address string) bool { return !now.Before(a.lenders[address].retryAt) })
}

// Lend takes tokens out of the buckets for another collector. It keeps those that the own
// holders are expected to need for requests that are as urgent, and those that are reserved
// from requests of that priority.
func (c *Collector) Lend(now time.Time, t Transfer) TransferReply {
	c.catchUp(now)
	reply := TransferReply{Tokens: make([]float64, len(t.Wants))}
	for k, w := range t.Wants {
		a := c.accounts[w.Team]
		if a == nil || math.IsNaN(w.Tokens) {
			continue
		}
		a.advance(now)
		a.decayDemand(now)
		kept, class := 0.0, classOf(w.Priority)
		wants, _ := a.totalWants(now)
		for k := range class + 1 {
			kept += a.demand[k]*needTime.Seconds() + float64(wants[k])
		}
		kept = max(kept, a.reserved(now, class))
		n := min(w.Tokens, a.level-kept)
		if a.burst >= smallBucket {
			n = math.Floor(n) // fractions that do not add up to a token would expire
		}
		if n >= minTransfer {
			a.hold(&hold{tokens: n, expires: now.Add(lease.AddClockMargin(spendingTime))})
			reply.Tokens[k] = n
		}
	}
	return reply
}

// HandleTransfer adds the tokens that a lender transferred in answer to a request sent at the
// given time. A zero reply stands for a lost one.
func (c *Collector) HandleTransfer(now, sent time.Time, lender string, t Transfer, r TransferReply) (tokens float64) {
	p := c.pairs[lender]
	if p == nil || !p.pending || !p.sentAt.Equal(sent) {
		return 0 // repeated, or too late for its tokens to be spent
	}
	p.pending = false
	for k, w := range t.Wants {
		a := c.accounts[w.Team]
		if a == nil {
			continue
		}
		n := 0.0
		if k < len(r.Tokens) {
			n = min(r.Tokens[k], w.Tokens)
		}
		state := a.lenders[lender]
		switch {
		case n == 0:
			state.pause = min(max(2*state.pause, minLenderPause), maxLenderPause)
		case n < w.Tokens/2:
			state.pause = minLenderPause // all that it has now
		default:
			state.pause = 0
		}
		state.retryAt = now.Add(state.pause)
		a.lenders[lender] = state
		if n > 0 {
			a.borrowed = append(a.borrowed, lot{n, sent.Add(lease.SubtractClockMargin(TransferLifetime))})
			tokens += n
		}
	}
	return tokens
}

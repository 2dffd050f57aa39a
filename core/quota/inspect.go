package quota

// What a request for a token would find now. Nothing is taken, counted or refilled: the functions
// work on copies.

import "time"

// Stock is what an instance holds of a team's tokens, and what a request would get.
type Stock struct {
	Outcome Outcome
	// Tokens is the number of tokens that may be spent now.
	Tokens float64
	// Rate and Burst are those of the part that the tokens come from.
	Rate, Burst float64
	// Queued is the number of requests that wait for a token.
	Queued int
	// After is the expected time until the next token, if Known is set.
	After time.Duration
	Known bool
	// Retry is the hint that a request would be refused with, unless the reserve is asked.
	Retry time.Duration
}

// Inspect returns the stock of a team. ok is false if the team has no part here.
func (r *Reserve) Inspect(now time.Time, team string) (s Stock, ok bool) {
	if r.buckets[team] == nil {
		return Stock{Outcome: Refused, After: MaxWait}, false
	}
	b := *r.buckets[team]
	b.refill(now)
	s = Stock{Outcome: Refused, Tokens: b.level, Rate: b.rate, Burst: b.burst}
	if b.loan.tokens > 0 && now.Before(b.loan.expires) {
		s.Tokens += float64(b.loan.tokens)
	}
	copied := Reserve{buckets: map[string]*localBucket{team: &b}}
	s.After, s.Known = copied.TimeToNextToken(now, team), b.rate > 0
	if copied.AwaitsLoan(team) || b.loanDue(now) {
		s.Outcome = Waiting
	}
	if copied.RetakeToken(now, team) {
		s.Outcome, s.After, s.Known = Granted, 0, true
	}
	return s, true
}

// Inspect returns the stock of a team for a request of a priority that waits for maxWait at most.
// ok is false if the holder has no such team.
func (h *Holder) Inspect(now time.Time, name string, priority int, maxWait time.Duration) (s Stock, ok bool) {
	if h.teams[name] == nil {
		return Stock{Outcome: Refused, Retry: MaxWait}, false
	}
	t := *h.teams[name]
	s = Stock{Outcome: Waiting, Rate: t.rate, Burst: t.burst, Queued: len(t.waiting)}
	for i := range t.slices {
		if t.slices[i].usable(now) {
			s.Tokens += float64(t.slices[i].left)
		}
	}
	if s.Tokens > 0 && s.Queued == 0 {
		s.Outcome, s.Known = Granted, true
		return s, true
	}
	switch c := t.classes; {
	case c.pace > 0 && now.Sub(c.paceAt) <= paceLifetime:
		s.After, s.Known = secondsToDuration(float64(s.Queued+1)/c.pace), true
	case now.Before(t.retryAt):
		s.After, s.Known = t.retryAt.Sub(now), true
	}
	if retry, refused := t.refuses(now, classOf(priority), maxWait); refused {
		s.Outcome, s.Retry = Refused, retry
	}
	return s, true
}

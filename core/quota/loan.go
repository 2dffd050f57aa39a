package quota

// Loans move tokens of the reserve between instances without the owner. Callers are spread
// unevenly: while a team's callers are at few instances, the parts of the others stay
// unspent. An instance whose part is spent asks others for tokens. The lender takes them out
// of its own part before it answers, so a lost answer loses tokens and never doubles them.
//
// The lender refills while the tokens are on their way, and they are dropped LoanLifetime
// after they were requested. All instances together therefore admit at most ReserveShare of
// the burst, and of the rate over the window and LoanLifetime.

import (
	"math"
	"time"
)

const (
	// LoanLifetime is the time after a request for a loan after which its tokens are dropped.
	LoanLifetime = 250 * time.Millisecond
	// loanPause is the time after loanTries loans in a row without tokens in which none is
	// requested.
	loanPause = 100 * time.Millisecond
	loanTries = 3
	// reserveDemandTime is the time constant of the exponential average of a team's requests.
	reserveDemandTime = 500 * time.Millisecond
	// keptTime is the time for which a lender keeps tokens for its own callers.
	keptTime = 100 * time.Millisecond
	// maxLoan is the largest number of tokens in one loan.
	maxLoan = 16
)

// loan holds the borrowed tokens of a team.
type loan struct {
	tokens  int
	expires time.Time
	pending bool      // a request is unanswered
	empty   int       // number of answers in a row without tokens
	retryAt time.Time // earliest time of the next request
}

// countRequest adds a request to the average of the team's requests.
func (b *localBucket) countRequest(now time.Time) {
	b.decayDemand(now)
	b.demand += 1 / reserveDemandTime.Seconds()
}

func (b *localBucket) decayDemand(now time.Time) {
	if d := now.Sub(b.countedAt); d > 0 {
		b.demand *= math.Exp(-d.Seconds() / reserveDemandTime.Seconds())
		b.countedAt = now
	}
}

// Lend takes up to want tokens out of this instance's part of a team's reserve for another
// instance. It keeps those that its own callers are expected to need.
func (r *Reserve) Lend(now time.Time, team string, want int) int {
	b := r.buckets[team]
	if b == nil {
		return 0
	}
	b.refill(now)
	b.decayDemand(now)
	k := min(want, maxLoan, int(b.level-b.demand*keptTime.Seconds()))
	if k <= 0 {
		return 0
	}
	b.level -= float64(k)
	return k
}

// RequestLoan returns the number of tokens to request from other instances for the requests
// of a team that wait, or 0 if no request is due. Until AddLoan no other request is due.
func (r *Reserve) RequestLoan(now time.Time, team string, waiting int) int {
	b := r.buckets[team]
	if b == nil || waiting == 0 || !b.loanDue(now) {
		return 0
	}
	b.loan.pending = true
	return min(maxLoan, waiting)
}

// loanDue reports whether a loan may be requested now.
func (b *localBucket) loanDue(now time.Time) bool {
	return b.rate > 0 && !b.loan.pending && !now.Before(b.loan.retryAt)
}

// AwaitsLoan reports whether a request for a loan is unanswered.
func (r *Reserve) AwaitsLoan(team string) bool {
	b := r.buckets[team]
	return b != nil && b.loan.pending
}

// AddLoan adds the tokens that were lent in answer to a request sent at the given time.
func (r *Reserve) AddLoan(now, sent time.Time, team string, tokens int) {
	b := r.buckets[team]
	if b == nil {
		return
	}
	b.loan.pending = false
	if tokens <= 0 {
		if b.loan.empty++; b.loan.empty%loanTries == 0 {
			b.loan.retryAt = now.Add(loanPause)
		}
		return
	}
	b.loan.tokens, b.loan.expires, b.loan.empty = tokens, sent.Add(LoanLifetime), 0
}

// spendLoan spends a borrowed token.
func (b *localBucket) spendLoan(now time.Time) bool {
	if b.loan.tokens <= 0 || !now.Before(b.loan.expires) {
		return false
	}
	b.loan.tokens--
	return true
}

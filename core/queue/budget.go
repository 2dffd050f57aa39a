package queue

import "time"

// Settings of a retry budget.
const (
	// RetryShare is the number of retries that each admitted request adds to its team's
	// budget.
	RetryShare = 0.1
	// RetryMinimum is the number of retries that a team may make in each RetryPeriod
	// however few requests it has had admitted, so that a small team can retry at all.
	RetryMinimum = 3
	RetryPeriod  = 10 * time.Second
	// maxRetries bounds the unused retries that a team can accumulate.
	maxRetries = 50
)

// Budget limits the retries of each team. In every window of length t a team makes
// at most 50 + 10% of its admitted requests + 3 × t / 10 s retries. It is not safe for
// concurrent use.
type Budget struct {
	teams map[string]*allowance
}

// allowance is the number of retries that a team has left.
type allowance struct {
	available float64
	updated   time.Time
}

// NewBudget returns a budget in which each team has RetryMinimum retries.
func NewBudget() *Budget { return &Budget{teams: map[string]*allowance{}} }

// allowanceOf returns the team's allowance. If it is below RetryMinimum, it is first
// refilled towards that for the time since the last call.
func (b *Budget) allowanceOf(now time.Time, name string) *allowance {
	a := b.teams[name]
	if a == nil {
		a = &allowance{available: RetryMinimum, updated: now}
		b.teams[name] = a
	}
	if a.available < RetryMinimum {
		a.available = min(RetryMinimum, a.available+RetryMinimum*now.Sub(a.updated).Seconds()/RetryPeriod.Seconds())
	}
	a.updated = now
	return a
}

// CountAdmitted adds RetryShare to the team's budget for an admitted request that is not
// a retry.
func (b *Budget) CountAdmitted(now time.Time, name string) {
	a := b.allowanceOf(now, name)
	a.available = min(maxRetries, a.available+RetryShare)
}

// AllowRetry reports whether the team may retry a request, and if so takes one retry
// from its budget.
func (b *Budget) AllowRetry(now time.Time, name string) bool {
	a := b.allowanceOf(now, name)
	if a.available < 1 {
		return false
	}
	a.available--
	return true
}

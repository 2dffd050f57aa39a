package quota

import (
	"time"

	"burdockseam/core/config"
)

// StaticLimiter divides the rate and burst of each team by the number of instances and
// exchanges no messages. It is the baseline that the tests compare Holder with.
type StaticLimiter struct {
	instances float64
	buckets   map[string]*localBucket
}

// localBucket is the token bucket of a team at one instance.
type localBucket struct {
	rate, burst, level float64
	refilledTo         time.Time

	// Only buckets of a Reserve use the rest.
	demand    float64 // average number of requests a second, as of countedAt
	countedAt time.Time
	loan      loan
}

// NewStaticLimiter returns the limiter of one instance. Its buckets start full.
func NewStaticLimiter(now time.Time, instances int, teams map[string]config.Team) *StaticLimiter {
	s := &StaticLimiter{instances: float64(instances), buckets: map[string]*localBucket{}}
	for name, t := range teams {
		burst := t.Burst / s.instances
		s.buckets[name] = &localBucket{rate: t.Rate / s.instances, burst: burst, level: burst, refilledTo: now}
	}
	return s
}

// TakeToken takes a token of the team and reports whether the bucket had one.
func (s *StaticLimiter) TakeToken(now time.Time, team string) bool {
	bucket := s.buckets[team]
	if bucket == nil {
		return false
	}
	bucket.refill(now)
	if bucket.level < 1 {
		return false
	}
	bucket.level--
	return true
}

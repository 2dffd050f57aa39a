package quota

// This file implements the reserve: the part of each team's rate and burst that is divided
// equally among the instances and spent without asking the owner. It keeps teams served
// while a shard has no owner. The buckets start empty, so that the restart of a fleet does
// not admit a second burst.

import (
	"time"

	"burdockseam/core/config"
)

const (
	// ReserveShare is the part of a team's rate and burst that is spent without the owner.
	// It covers the usual load of teams, so that they are served while there is no owner.
	ReserveShare = 0.65
	// OwnerShare is the part that the owner grants to instances whose part of the reserve is
	// too small for their callers.
	OwnerShare = 0.35
	// WholeShare is the part that the owner grants if the team has no reserve.
	WholeShare = 1.0
	// minReserveBurst is the least burst, in tokens per instance, for which there is a
	// reserve. It is above the burst of one token from which on the owner grants only
	// OwnerShare. So instances that count different numbers of instances do not spend a
	// reserve while the owner grants the whole rate.
	minReserveBurst = 1.25
)

// OwnerPart returns the team with the part of its rate and burst that the owner grants when
// the given number of instances are running. That is the whole rate if the reserve of an
// instance would hold less than one token. For spare, see Reserve.Configure.
func OwnerPart(t config.Team, instances int, spare float64) config.Team {
	part := OwnerShare
	if n := float64(max(1, instances)); t.Burst*ReserveShare < n && spare < n {
		part = WholeShare
	}
	t.Rate, t.Burst = t.Rate*part, t.Burst*part
	return t
}

// Reserve is one instance's part of the reserve. It is not safe for concurrent use.
type Reserve struct {
	buckets map[string]*localBucket
}

// NewReserve returns a reserve without teams.
func NewReserve() *Reserve { return &Reserve{buckets: make(map[string]*localBucket)} }

// Configure sets the teams and the number of instances that may be running. spare is the
// number of tokens by which all instances together may exceed a small burst, so that each
// of them can hold one whole token.
func (r *Reserve) Configure(now time.Time, instances int, spare float64, teams map[string]config.Team) {
	n := float64(max(1, instances))
	for name := range r.buckets {
		if _, ok := teams[name]; !ok {
			delete(r.buckets, name)
		}
	}
	for name, t := range teams {
		bucket := r.buckets[name]
		if bucket == nil {
			bucket = &localBucket{refilledTo: now}
			r.buckets[name] = bucket
		}
		bucket.refill(now)
		bucket.rate, bucket.burst = t.Rate*ReserveShare/n, t.Burst*ReserveShare/n
		switch {
		case bucket.burst < minReserveBurst && spare >= n:
			bucket.burst = max(bucket.burst, 1)
		case bucket.burst < minReserveBurst:
			bucket.rate, bucket.burst = 0, 0
		}
		bucket.level = min(bucket.level, bucket.burst)
	}
}

// TakeToken takes a token for a new request of the team, its own or a borrowed one, and
// reports whether there was one.
func (r *Reserve) TakeToken(now time.Time, team string) bool {
	if bucket := r.buckets[team]; bucket != nil {
		bucket.countRequest(now)
	}
	return r.RetakeToken(now, team)
}

// RetakeToken is TakeToken for a request that has waited.
func (r *Reserve) RetakeToken(now time.Time, team string) bool {
	bucket := r.buckets[team]
	if bucket == nil {
		return false
	}
	bucket.refill(now)
	if bucket.level < 1 {
		return bucket.spendLoan(now)
	}
	bucket.level--
	return true
}

// TimeToNextToken returns the time until the team's next token is available, at most
// MaxWait.
func (r *Reserve) TimeToNextToken(now time.Time, team string) time.Duration {
	bucket := r.buckets[team]
	if bucket == nil || bucket.rate <= 0 {
		return MaxWait
	}
	bucket.refill(now)
	return min(MaxWait, secondsToDuration(max(0, 1-bucket.level)/bucket.rate))
}

func (b *localBucket) refill(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*max(0, now.Sub(b.refilledTo).Seconds()))
	b.refilledTo = now
}

package quota

// Reserve is the part of each team's rate that instances spend without asking anybody:
// every instance gets an equal part of it. It keeps teams served while a shard has no
// owner. The buckets start empty, so that a fleet that restarts spends nothing twice.

import (
	"time"

	"burdockseam/core/config"
)

const (
	// ReserveShare is the part of a team's rate and burst that is spent without the owner.
	// It covers what teams usually send, so that they are served while there is no owner.
	ReserveShare = 0.65
	// OwnerShare is the part that the owner grants, to instances whose part of the reserve
	// is too small for their callers.
	OwnerShare = 0.35
	// WholeShare is the part that the owner grants of the rate of a team that has no
	// reserve.
	WholeShare = 1.0
	// reserveLeast is the burst in tokens that an instance needs for a reserve. It lies
	// above the one at which the owner grants only a part, so that instances that count
	// each other differently do not spend both.
	reserveLeast = 1.25
)

// OwnerPart returns the part of a team's rate and burst that the owner grants, if so many
// instances are running: the whole if the reserve of an instance would hold less than
// one token.
func OwnerPart(t config.Team, instances int, spare float64) config.Team {
	part := OwnerShare
	if n := float64(max(1, instances)); t.Burst*ReserveShare < n && spare < n {
		part = WholeShare
	}
	t.Rate, t.Burst = t.Rate*part, t.Burst*part
	return t
}

// Reserve holds one instance's part. It is not safe for concurrent use.
type Reserve struct {
	teams map[string]*share
}

// NewReserve returns a reserve without teams.
func NewReserve() *Reserve { return &Reserve{teams: make(map[string]*share)} }

// Configure sets the teams and the number of instances that may be running. Spare is
// the number of tokens by which all instances together may exceed a small burst, so that
// each can hold one whole token.
func (r *Reserve) Configure(now time.Time, instances int, spare float64, teams map[string]config.Team) {
	n := float64(max(1, instances))
	for name := range r.teams {
		if _, ok := teams[name]; !ok {
			delete(r.teams, name)
		}
	}
	for name, t := range teams {
		s := r.teams[name]
		if s == nil {
			s = &share{last: now}
			r.teams[name] = s
		}
		s.refill(now)
		s.rate, s.burst = t.Rate*ReserveShare/n, t.Burst*ReserveShare/n
		switch {
		case s.burst < reserveLeast && spare >= n:
			s.burst = max(s.burst, 1)
		case s.burst < reserveLeast:
			s.rate, s.burst = 0, 0
		}
		s.level = min(s.level, s.burst)
	}
}

// Take takes a token of the team and reports whether there was one.
func (r *Reserve) Take(now time.Time, team string) bool {
	s := r.teams[team]
	if s == nil {
		return false
	}
	s.refill(now)
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}

// Wait returns the time until the team's next token.
func (r *Reserve) Wait(now time.Time, team string) time.Duration {
	s := r.teams[team]
	if s == nil || s.rate <= 0 {
		return MaxWait
	}
	s.refill(now)
	return min(MaxWait, seconds(max(0, 1-s.level)/s.rate))
}

func (s *share) refill(now time.Time) {
	s.level = min(s.burst, s.level+s.rate*max(0, now.Sub(s.last).Seconds()))
	s.last = now
}

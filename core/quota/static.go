package quota

import (
	"time"

	"burdockseam/core/config"
)

// Static is the baseline: each instance gets the rate and the burst divided by the
// number of instances, without any messages.
type Static struct {
	instances float64
	teams     map[string]*share
}

type share struct {
	rate, burst, level float64
	last               time.Time
}

// NewStatic returns the share of one of the instances. Its buckets start full.
func NewStatic(now time.Time, instances int, teams map[string]config.Team) *Static {
	s := &Static{instances: float64(instances), teams: map[string]*share{}}
	for name, t := range teams {
		burst := t.Burst / s.instances
		s.teams[name] = &share{rate: t.Rate / s.instances, burst: burst, level: burst, last: now}
	}
	return s
}

// Take takes a token of the team and reports whether there was one.
func (s *Static) Take(now time.Time, team string) bool {
	t := s.teams[team]
	if t == nil {
		return false
	}
	t.refill(now)
	if t.level < 1 {
		return false
	}
	t.level--
	return true
}

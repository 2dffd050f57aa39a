package quota

// Which teams are limited by delegated parts, and which by the reserve and the owner. Instances
// learn of changes at different times. A team therefore changes from one way to the other with
// a pause in which it has no tokens, of twice the time that a change of the tables takes at
// most. Within the first half, every other instance has stopped the one way, or has learned of
// a change back and gone on; the second half tells this instance of such a change. Instances
// that have started a short time ago use a shorter pause, since they have spent nothing before,
// and the first complete tables apply without one.

import (
	"slices"
	"time"

	"burdockseam/core/config"
	"burdockseam/core/lease"
)

const (
	// tableDelay is the time within which a change of the instances is known to all of them.
	tableDelay = 5 * time.Second
	// youngTime is the time after the first complete tables in which an instance counts as
	// started a short time ago, and youngDelay replaces the pause then.
	youngTime  = 15 * time.Second
	youngDelay = time.Second
	// minLocalPart is the least burst, in tokens, that makes the local part of a team useful: the
	// callers of a team are spread unevenly, and a part of a few tokens refuses some while others
	// have tokens left. With 4 tokens (72 instances, 463/s) a team that sent more than its limit
	// got about half of it.
	minLocalPart = 20
	// returnShare is the part of the number of instances at which a team is limited by the
	// reserve again, so that the join and the loss of single instances do not change the way.
	returnShare = 0.8
	// settleDelay is the time for which a fleet must have grown before that changes how a team is
	// limited. The object of a lost instance is removed within half of it.
	settleDelay = time.Minute
	// shrinkDelay is the time after which a lower number of instances applies. A running
	// instance whose object was removed writes it again within 13 s.
	shrinkDelay = 15 * time.Second
	// growthPause is the time without growth after which an instance that has started a short
	// time ago delegates its part. The objects of a fleet that starts for the first time appear
	// one after the other.
	growthPause = 700 * time.Millisecond
)

// Fleet is what the division of the limits depends on.
type Fleet struct {
	// Instances is the number of those that may be running.
	Instances int
	// Spare is as for Reserve.Configure.
	Spare float64
	// Delegates is set if all instances support delegated parts.
	Delegates bool
	// Complete is set once all tables are known.
	Complete bool
}

// Modes tells how each team is limited. It is not safe for concurrent use.
type Modes struct {
	teams      map[string]teamMode
	completeAt time.Time // zero before the first complete tables
	sizes      []fleetSize
	grownAt    time.Time
	settled    int       // number of instances that decides how teams are limited
	grewAt     time.Time // since when there are more; zero if there are not
}

type teamMode struct {
	delegated bool
	from      time.Time // no tokens before
}

// fleetSize is a number of instances and the time at which it was last the newest.
type fleetSize struct {
	instances int
	until     time.Time
}

// NewModes returns the state of an instance without teams.
func NewModes() *Modes { return &Modes{teams: make(map[string]teamMode)} }

// Update returns the teams that are limited by the owner and the reserve and those that are
// limited by delegated parts. If next is not zero, a pause ends then and Update is due again.
func (m *Modes) Update(now time.Time, f Fleet, teams map[string]config.Team) (owned, delegated map[string]config.Team, next time.Time) {
	owned, delegated = make(map[string]config.Team), make(map[string]config.Team)
	first := f.Complete && m.completeAt.IsZero()
	if first {
		m.completeAt = now
	}
	m.observeSize(now, f)
	if f.Complete {
		f.Instances = m.settled
	}
	for name := range m.teams {
		if _, ok := teams[name]; !ok || first || m.completeAt.IsZero() {
			delete(m.teams, name)
		}
	}
	for name, t := range teams {
		mode, known := m.teams[name]
		if want := f.Complete && f.Delegates && localPartTooSmall(t, f, mode.delegated); !known {
			mode = teamMode{delegated: want}
		} else if want != mode.delegated {
			mode = teamMode{delegated: want, from: now.Add(m.pause(now, want))}
		}
		m.teams[name] = mode
		switch {
		case now.Before(mode.from):
			if next.IsZero() || mode.from.Before(next) {
				next = mode.from
			}
		case mode.delegated:
			delegated[name] = t
		default:
			owned[name] = t
		}
	}
	if !m.grewAt.IsZero() && (next.IsZero() || m.grewAt.Add(settleDelay).Before(next)) {
		next = m.grewAt.Add(settleDelay)
	}
	return owned, delegated, next
}

// localPartTooSmall reports whether an instance's part of a team's reserve is below minLocalPart.
// A fleet that is so small that the spare tokens give each instance a whole one keeps its reserve.
func localPartTooSmall(t config.Team, f Fleet, before bool) bool {
	n := float64(max(1, f.Instances))
	if before {
		n /= returnShare
	}
	return t.Burst*ReserveShare < minLocalPart*n && f.Spare < n
}

// pause returns the time without tokens when a team changes its way.
func (m *Modes) pause(now time.Time, toDelegated bool) time.Duration {
	switch {
	case !toDelegated:
		return 2*tableDelay + lease.AddClockMargin(delegationLife+TransferLifetime)
	case now.Sub(m.completeAt) < youngTime:
		return youngDelay
	}
	return 2 * tableDelay
}

// observeSize records the number of instances.
func (m *Modes) observeSize(now time.Time, f Fleet) {
	if !f.Complete {
		return
	}
	last := len(m.sizes) - 1
	if last >= 0 && f.Instances > m.sizes[last].instances {
		m.grownAt = now
	}
	m.settleSize(now, f.Instances)
	if last >= 0 && m.sizes[last].instances == f.Instances {
		m.sizes[last].until = now
		return
	}
	if last >= 0 {
		m.sizes[last].until = now
	}
	m.sizes = append(m.sizes, fleetSize{f.Instances, now})
	m.dropOldSizes(now)
}

// dropOldSizes removes the sizes that no longer count, but not the newest one.
func (m *Modes) dropOldSizes(now time.Time) {
	last := m.sizes[len(m.sizes)-1]
	m.sizes = slices.DeleteFunc(m.sizes, func(s fleetSize) bool { return s != last && now.Sub(s.until) >= shrinkDelay })
}

// settleSize sets the number of instances that decides how teams are limited. Growth counts only
// once it has lasted for settleDelay: a replacement counts beside the object of the instance
// that it replaces, and each change of the way refuses the teams for some seconds.
func (m *Modes) settleSize(now time.Time, instances int) {
	switch {
	case instances <= m.settled || now.Sub(m.completeAt) < youngTime:
		m.settled, m.grewAt = instances, time.Time{}
	case m.grewAt.IsZero():
		m.grewAt = now
	case now.Sub(m.grewAt) >= settleDelay:
		m.settled, m.grewAt = instances, time.Time{}
	}
}

// Part returns the part of all limits that the instance may delegate. A lower number of
// instances raises it only after shrinkDelay. It is 0 before the tables are complete, and while
// an instance that has just started sees the fleet grow.
func (m *Modes) Part(now time.Time) float64 {
	if len(m.sizes) == 0 || now.Sub(m.completeAt) < youngTime && now.Sub(m.grownAt) < growthPause {
		return 0
	}
	m.dropOldSizes(now)
	n := 1
	for _, s := range m.sizes {
		n = max(n, s.instances)
	}
	return 1 / float64(n)
}

package lease

import (
	"slices"
	"time"
)

// startChange reads the lease object, as the first step of a change or of a look-up.
func (m *Member) startChange(now time.Time) {
	m.change = &change{began: now, ifVersion: m.version}
	m.nextAttempt = now.Add(callTimeout)
	m.readLease(now)
}

func (m *Member) readLease(now time.Time) {
	m.lastRead = now
	m.callStore(now, Call{Method: Get})
}

func (m *Member) callStore(now time.Time, c Call) {
	m.lastCallID++
	c.ID, c.Key = m.lastCallID, "owner/"+m.shard
	m.change.callID, m.change.sentAt = c.ID, now
	m.output.Calls = append(m.output.Calls, c)
}

// putLease sends the proposed lease to the store. Repeated calls carry the same
// operation ID and version, so that at most one of them takes effect.
func (m *Member) putLease(now time.Time) {
	c := m.change
	data, err := c.next.Encode()
	if err != nil {
		m.change = nil
		return
	}
	m.callStore(now, Call{Method: Put, Value: data, IfVersion: c.ifVersion})
}

// retryCall repeats a put, or gives up a read, that was not answered within callTimeout.
func (m *Member) retryCall(now time.Time) {
	c := m.change
	if now.Sub(c.sentAt) < callTimeout {
		return
	}
	if !c.putSent {
		m.change = nil // nothing was written; the next tick decides again
		return
	}
	m.putLease(now)
}

// HandleResult processes the answer to a store call.
func (m *Member) HandleResult(now time.Time, r Result) Output {
	l, err := Decode(r.Value)
	if err == nil && r.Status == Done {
		m.Observe(now, l, r.Version)
	}
	c := m.change
	if c == nil || c.callID != r.ID {
		return m.takeOutput()
	}
	switch {
	case r.Status == Unknown:
		// The outcome is unknown; retryCall repeats the call after callTimeout.
	case c.putSent && r.Status == Conflict:
		// Either an earlier attempt of this update or another instance's update took
		// effect; the object's operation ID tells which.
		m.readLease(now)
	case c.putSent && r.Status == Missing:
		// Only an operator can have deleted the object. The update may still take
		// effect until a newer version is seen.
	case c.putSent:
		// A read still shows the old version; retryCall repeats the update.
	case r.Status == Missing && m.version == 0:
		m.proposeFirstLease(now)
	case r.Status == Done && err == nil:
		m.proposeUpdate(now)
	default:
		m.change = nil
	}
	return m.takeOutput()
}

// proposeFirstLease proposes the first lease of a shard, if this instance is the first
// candidate.
func (m *Member) proposeFirstLease(now time.Time) {
	standbys := ChooseStandbys(m.self, m.view.Candidates)
	if m.leaving || len(standbys) == 0 || m.view.Candidates[0].ID != m.self.ID {
		m.change = nil
		return
	}
	m.startUpdate(now, Lease{Shard: m.shard, Owner: m.self, Standbys: standbys, Epoch: 1})
}

// proposeUpdate sends the update that is due according to the lease that was just
// read: new standbys if this instance is the owner, else a takeover.
func (m *Member) proposeUpdate(now time.Time) {
	next := m.known
	switch {
	case m.IsOwner():
		next.Standbys = m.wantedStandbys(now)
		if m.released || slices.Equal(next.Standbys, m.known.Standbys) {
			m.change = nil
			return
		}
	case !m.leaving && (m.known.HasStandby(m.self.ID) && m.mayTakeOver(now) || !m.known.HasStandby(m.self.ID) && m.mayTakeOverUnnamed(now)):
		candidates := slices.DeleteFunc(slices.Clone(m.view.Candidates), func(i Instance) bool {
			return i.ID == m.known.Owner.ID
		})
		// The old owner is the last choice, since it has most likely failed.
		next.Standbys = ChooseStandbys(m.self, append(candidates, m.known.Owner))
		next.Owner = m.self
		next.Epoch++
	default:
		m.change = nil
		return
	}
	m.startUpdate(now, next)
}

func (m *Member) startUpdate(now time.Time, next Lease) {
	next.Op = m.nextOp()
	m.change = &change{putSent: true, began: now, next: next, ifVersion: m.version}
	m.putLease(now)
}

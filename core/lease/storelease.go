package lease

// This file implements a lease without standbys, for work that has a fallback while there
// is no owner. One store object names the owner, and each renewal writes it. The lease
// survives store outages shorter than StoreLeaseDuration; in exchange, the failure of the
// owner is noticed only after that time.

import "time"

// Times of a StoreLease.
const (
	// StoreLeaseDuration trades the time without an owner after its failure against the
	// length of the store outages that the lease survives. After a restart of the whole
	// fleet, instances also wait for it.
	StoreLeaseDuration = 6 * time.Second
	// renewInterval leaves three quarters of StoreLeaseDuration for a store outage that
	// begins just before a renewal.
	renewInterval = 1500 * time.Millisecond
	// retryInterval is the time between two attempts to write the object.
	retryInterval = 500 * time.Millisecond
)

// StoreLeaseRecord is the content of the store object.
type StoreLeaseRecord struct {
	// Holder is the ID of the run of an instance that owns the lease, or empty if the
	// lease was released. Machine is the instance's peer address, which does not change
	// with a restart.
	Holder  string `json:"holder"`
	Machine string `json:"machine"`
	// Epoch increases when the owner changes.
	Epoch uint64 `json:"epoch"`
	// Beat increases with each renewal.
	Beat uint64 `json:"beat"`
	// Era is the store's era in which the record was written.
	Era uint64 `json:"era,omitempty"`
}

// StoredAt is a point in the history of the store at which a record was read or written.
type StoredAt struct {
	// Era counts how often the store has come back from a copy. It is 0 if the store does not
	// tell it.
	Era uint64
	// Revision identifies the record within the era; 0 means that there is no record.
	Revision uint64
}

// before reports whether a point is earlier than another one.
func (a StoredAt) before(b StoredAt) bool {
	return a.Era < b.Era || a.Era == b.Era && a.Revision < b.Revision
}

// NextNumber returns the successor of a number that is drawn from an object of the store. It
// differs from all numbers that were drawn in earlier eras, also from those that the store has
// lost.
func NextNumber(before, era uint64) uint64 { return max(before, era<<eraShift) + 1 }

// eraShift leaves room for four billion numbers in each era.
const eraShift = 32

// StoreLease is the state of one instance for the lease. It is not safe for concurrent use.
//
// A store that comes back from a copy loses the newest records. A record of an earlier era
// therefore does not show who owns the lease: for StoreLeaseDuration after it is seen, only an
// owner that is still valid may replace it.
type StoreLease struct {
	self, address string
	record        StoreLeaseRecord
	at            StoredAt
	seenAt        time.Time // when the record was first seen
	seenEpoch     uint64    // highest epoch known
	owns          bool      // this instance has taken the lease and has not seen another owner
	epoch         uint64    // epoch in which this instance last took the lease
	validUntil    time.Time // until when this instance may act as the owner
	ownerSince    time.Time // when this instance became the owner
	renewedAt     time.Time
	lastAttempt   time.Time
}

// NewStoreLease returns the state of an instance that has not read the object. self is the ID
// of its run, address its peer address.
func NewStoreLease(self, address string) *StoreLease {
	return &StoreLease{self: self, address: address}
}

// Observe processes the object as read from the store. Without an object, r is zero and at has
// only the era.
func (s *StoreLease) Observe(now time.Time, r StoreLeaseRecord, at StoredAt) {
	if !s.seenAt.IsZero() && !s.at.before(at) {
		return
	}
	s.record, s.at, s.seenAt = r, at, now
	s.ObserveEpoch(r.Epoch)
	if r.Holder != s.self && !s.restored() {
		s.owns = false
	}
}

// ObserveEpoch processes an epoch that another instance knows. The epochs that this instance
// takes are higher.
func (s *StoreLease) ObserveEpoch(epoch uint64) { s.seenEpoch = max(s.seenEpoch, epoch) }

// restored reports whether the record is from an earlier era, so that newer ones may be lost.
func (s *StoreLease) restored() bool { return s.record.Era != s.at.Era }

// Record returns the newest record seen.
func (s *StoreLease) Record() StoreLeaseRecord { return s.record }

// Era returns the era of the newest record seen.
func (s *StoreLease) Era() uint64 { return s.at.Era }

// PrepareWrite returns the record to write and the point of the record that it replaces, if
// this instance should renew the lease or, as a candidate, take it. endedOwner is the ID of a
// run that is known to have ended since its instance has restarted; the lease of that run need
// not expire first. The caller must have passed the object to Observe, and passes the store's
// answer to ConfirmWrite or Observe.
func (s *StoreLease) PrepareWrite(now time.Time, candidate bool, endedOwner string) (r StoreLeaseRecord, at StoredAt, due bool) {
	if s.seenAt.IsZero() || !s.lastAttempt.IsZero() && now.Sub(s.lastAttempt) < retryInterval {
		return r, at, false
	}
	r = s.record
	taken := StoreLeaseRecord{Holder: s.self, Machine: s.address, Epoch: NextNumber(s.seenEpoch, s.at.Era), Era: s.at.Era}
	wait := AddClockMargin(StoreLeaseDuration)
	switch {
	case s.restored() && s.Valid(now):
		r = taken
	case !s.restored() && r.Holder == s.self && s.at.Revision > 0:
		if now.Sub(s.renewedAt) < renewInterval {
			return r, at, false
		}
	case !candidate:
		return r, at, false
	case s.restored() && now.Sub(s.seenAt) < wait:
		return r, at, false
	case s.at.Revision > 0 && r.Holder != "" && r.Holder != endedOwner && r.Machine != s.address && now.Sub(s.seenAt) < wait:
		// Another instance may still act as the owner.
		return r, at, false
	default:
		r = taken
	}
	r.Beat++
	s.lastAttempt = now
	return r, s.at, true
}

// Release returns the record that gives up the lease, if this instance owns it. Valid
// reports false from then on, unless the lease is taken or renewed again.
func (s *StoreLease) Release(now time.Time) (r StoreLeaseRecord, at StoredAt, held bool) {
	if !s.Valid(now) {
		return StoreLeaseRecord{}, StoredAt{}, false
	}
	s.validUntil = time.Time{}
	return StoreLeaseRecord{Machine: s.address, Epoch: s.epoch, Beat: s.record.Beat + 1, Era: s.at.Era}, s.at, true
}

// ConfirmWrite processes the success of a write that was sent at the time sent. A write that
// the store has taken in another era than that of the record to replace does not make this
// instance the owner, because that record was not the newest one.
func (s *StoreLease) ConfirmWrite(now, sent time.Time, r StoreLeaseRecord, at StoredAt) {
	outdated := at.before(s.at)
	switch {
	case r.Era != at.Era:
		s.Observe(now, r, at)
		return
	case outdated && at.Era == s.at.Era && s.record.Holder != s.self:
		return // another instance has taken the lease since
	}
	if r.Epoch != s.epoch || s.ownerSince.IsZero() {
		s.ownerSince = now
	}
	if !outdated {
		s.record, s.at, s.seenAt = r, at, now
	}
	s.owns, s.epoch = true, r.Epoch
	s.ObserveEpoch(r.Epoch)
	s.renewedAt, s.lastAttempt = sent, time.Time{}
	s.validUntil = sent.Add(SubtractClockMargin(StoreLeaseDuration))
}

// Valid reports whether this instance may act as the owner at the time now.
func (s *StoreLease) Valid(now time.Time) bool { return s.owns && now.Before(s.validUntil) }

// OwnedEpoch returns the epoch of the lease and the time from which no earlier owner can
// have acted. ok is false if this instance is not the owner.
func (s *StoreLease) OwnedEpoch() (epoch uint64, since time.Time, ok bool) {
	return s.epoch, s.ownerSince, s.owns && !s.ownerSince.IsZero()
}

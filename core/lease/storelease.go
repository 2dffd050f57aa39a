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
}

// StoreLease is the state of one instance for the lease. It is not safe for concurrent use.
type StoreLease struct {
	self, address string
	record        StoreLeaseRecord
	revision      uint64
	seenAt        time.Time // when the revision was first seen
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

// Observe processes the object as read from the store. revision 0 means that there is none.
func (s *StoreLease) Observe(now time.Time, r StoreLeaseRecord, revision uint64) {
	if revision < s.revision || revision == s.revision && !s.seenAt.IsZero() {
		return
	}
	s.record, s.revision, s.seenAt = r, revision, now
}

// Record returns the newest record seen.
func (s *StoreLease) Record() StoreLeaseRecord { return s.record }

// PrepareWrite returns the record to write and the revision that it replaces, if this instance
// should renew the lease or, as a candidate, take it. endedOwner is the ID of a run that
// is known to have ended since its instance has restarted; the lease of that run need not
// expire first. The caller must have passed the object to Observe, and passes the store's
// answer to ConfirmWrite or Observe.
func (s *StoreLease) PrepareWrite(now time.Time, candidate bool, endedOwner string) (r StoreLeaseRecord, revision uint64, due bool) {
	if s.seenAt.IsZero() || !s.lastAttempt.IsZero() && now.Sub(s.lastAttempt) < retryInterval {
		return r, 0, false
	}
	r = s.record
	switch {
	case r.Holder == s.self && s.revision > 0:
		if now.Sub(s.renewedAt) < renewInterval {
			return r, 0, false
		}
	case !candidate:
		return r, 0, false
	case s.revision > 0 && r.Holder != "" && r.Holder != endedOwner && r.Machine != s.address && now.Sub(s.seenAt) < AddClockMargin(StoreLeaseDuration):
		// Another instance may still act as the owner.
		return r, 0, false
	default:
		r = StoreLeaseRecord{Holder: s.self, Machine: s.address, Epoch: r.Epoch + 1}
	}
	r.Beat++
	s.lastAttempt = now
	return r, s.revision, true
}

// Release returns the record that gives up the lease, if this instance owns it. Valid
// reports false from then on, unless the lease is taken or renewed again.
func (s *StoreLease) Release(now time.Time) (r StoreLeaseRecord, revision uint64, held bool) {
	if !s.Valid(now) {
		return StoreLeaseRecord{}, 0, false
	}
	s.validUntil = time.Time{}
	return StoreLeaseRecord{Machine: s.address, Epoch: s.record.Epoch, Beat: s.record.Beat + 1}, s.revision, true
}

// ConfirmWrite processes the success of a write that was sent at the time sent.
func (s *StoreLease) ConfirmWrite(now, sent time.Time, r StoreLeaseRecord, revision uint64) {
	if r.Epoch != s.record.Epoch || s.ownerSince.IsZero() {
		s.ownerSince = now
	}
	s.record, s.revision, s.seenAt = r, revision, now
	s.renewedAt, s.lastAttempt = sent, time.Time{}
	s.validUntil = sent.Add(SubtractClockMargin(StoreLeaseDuration))
}

// Valid reports whether this instance may act as the owner at the time now.
func (s *StoreLease) Valid(now time.Time) bool {
	return s.revision > 0 && s.record.Holder == s.self && now.Before(s.validUntil)
}

// OwnedEpoch returns the epoch of the lease and the time from which no earlier owner can
// have acted. ok is false if this instance is not the owner.
func (s *StoreLease) OwnedEpoch() (epoch uint64, since time.Time, ok bool) {
	return s.record.Epoch, s.ownerSince, s.record.Holder == s.self && s.revision > 0 && !s.ownerSince.IsZero()
}

package lease

// Sole is a lease that rests on the store alone: one object names the holder, and each
// renewal changes it. It outlives store outages that are shorter than its length, and
// in exchange the loss of the holder is noticed only after that length. Work that has a
// fallback for that time needs no standbys.

import "time"

// Times of a Sole lease.
const (
	// SoleLength weighs two losses: work without a holder after one was lost for good, and
	// the right that ends in a store outage. Instances that have all started again also
	// wait for it.
	SoleLength = 6 * time.Second
	// soleRenew leaves three quarters of the length for an outage that begins just before
	// a renewal.
	soleRenew = 1500 * time.Millisecond
	// soleRetry is the time between two attempts.
	soleRetry = 500 * time.Millisecond
)

// SoleRecord is the content of the object.
type SoleRecord struct {
	// Holder names one run of an instance, or nobody. Machine is the instance's peer
	// address, which it keeps over its restarts.
	Holder  string `json:"holder"`
	Machine string `json:"machine"`
	// Epoch rises when the holder changes.
	Epoch uint64 `json:"epoch"`
	// Beat rises with each renewal.
	Beat uint64 `json:"beat"`
}

// Sole is one instance's part in the lease. It is not safe for concurrent use.
type Sole struct {
	holder, machine string
	record          SoleRecord
	revision        uint64
	seen            time.Time // when the revision was first seen
	until           time.Time // end of the own right
	since           time.Time // start of the own epoch
	renewed         time.Time
	tried           time.Time
}

// NewSole returns the part of an instance that knows nothing of the object.
func NewSole(holder, machine string) *Sole { return &Sole{holder: holder, machine: machine} }

// Observe takes in the object as read from the store; revision 0 says that there is none.
func (s *Sole) Observe(now time.Time, r SoleRecord, revision uint64) {
	if revision < s.revision || revision == s.revision && !s.seen.IsZero() {
		return
	}
	s.record, s.revision, s.seen = r, revision, now
}

// Record returns the newest record seen.
func (s *Sole) Record() SoleRecord { return s.record }

// Due returns the record to write and the revision that it replaces, if this instance
// should renew the lease or, as a candidate, take it. Ended is a holder whose run is known
// to have ended, since its instance has started again; such a lease is not waited for. The
// caller must have read the object, and passes the store's answer to Wrote or Observe.
func (s *Sole) Due(now time.Time, candidate bool, ended string) (r SoleRecord, revision uint64, due bool) {
	if s.seen.IsZero() || !s.tried.IsZero() && now.Sub(s.tried) < soleRetry {
		return r, 0, false
	}
	r = s.record
	switch {
	case r.Holder == s.holder && s.revision > 0:
		if now.Sub(s.renewed) < soleRenew {
			return r, 0, false
		}
	case !candidate:
		return r, 0, false
	case s.revision > 0 && r.Holder != "" && r.Holder != ended && r.Machine != s.machine && now.Sub(s.seen) < Longer(SoleLength):
		// The previous run of the same instance has ended; others may still act.
		return r, 0, false
	default:
		r = SoleRecord{Holder: s.holder, Machine: s.machine, Epoch: r.Epoch + 1}
	}
	r.Beat++
	s.tried = now
	return r, s.revision, true
}

// Release returns the record that gives the lease up, if it is held. The instance must
// not act as the holder any more.
func (s *Sole) Release(now time.Time) (r SoleRecord, revision uint64, held bool) {
	if !s.Valid(now) {
		return SoleRecord{}, 0, false
	}
	s.until = time.Time{}
	return SoleRecord{Machine: s.machine, Epoch: s.record.Epoch, Beat: s.record.Beat + 1}, s.revision, true
}

// Wrote takes in that a write which was sent at the given time succeeded.
func (s *Sole) Wrote(now, sent time.Time, r SoleRecord, revision uint64) {
	if r.Epoch != s.record.Epoch || s.since.IsZero() {
		s.since = now
	}
	s.record, s.revision, s.seen = r, revision, now
	s.renewed, s.tried = sent, time.Time{}
	s.until = sent.Add(Shorter(SoleLength))
}

// Valid reports whether this instance may act as the holder at the time now.
func (s *Sole) Valid(now time.Time) bool {
	return s.revision > 0 && s.record.Holder == s.holder && now.Before(s.until)
}

// Term returns the epoch held and the time from which no earlier holder can have acted.
func (s *Sole) Term() (epoch uint64, since time.Time, ok bool) {
	return s.record.Epoch, s.since, s.record.Holder == s.holder && s.revision > 0 && !s.since.IsZero()
}

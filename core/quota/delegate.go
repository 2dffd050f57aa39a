package quota

// Delegation of parts. Each instance owns one part of every team's rate and burst and
// delegates it to one collector at a time.
//
// No two collectors use the same part at a time. A delegation is in force for delegationLife
// from when it was sent, which includes the spending of all tokens granted from it. A collector
// can't know when a message was sent by its own clock, so it returns its clock with each reply,
// and the next delegation carries that reading and the time that has passed at the sender since
// the reply arrived. The sum of both is never after the sending. A delegation without a reading
// is not in force; the reply to it has one. The delegating instance changes its collector only
// after the last delegation that it sent has certainly ended, or a while after the collector
// has confirmed a part of 0.

import (
	"time"

	"burdockseam/core/lease"
)

const (
	// delegationLife is the time for which a delegation and the tokens granted from it are
	// valid after it was sent.
	delegationLife = 2500 * time.Millisecond
	// renewInterval is the time between two delegations. One lost message does not end a
	// delegation.
	renewInterval = 800 * time.Millisecond
	// delegateTimeout is the time after which an unanswered delegation is repeated.
	delegateTimeout = 300 * time.Millisecond
	// spendingTime is the longest time for which tokens may be spent after a collector has
	// granted or transferred them.
	spendingTime = TransferLifetime + SliceLifetime
)

// Delegation hands a part of all teams over to a collector.
type Delegation struct {
	// Run and Address identify the delegating instance. A new run replaces the delegation of
	// the former one at the same address.
	Run, Address string
	Part         float64
	// Number increases with each delegation of a run.
	Number uint64
	// To is the run of the collector that Clock belongs to, "" if none is known.
	To string
	// Clock is the collector's clock in its last reply, and After the time since it arrived.
	Clock, After time.Duration
}

// DelegationReply answers a Delegation.
type DelegationReply struct {
	Run   string
	Clock time.Duration
}

// delegatedPart is a part in force at a collector.
type delegatedPart struct {
	run    string
	number uint64
	part   float64
	until  time.Time
}

// Delegate records a delegation.
func (c *Collector) Delegate(now time.Time, d Delegation) DelegationReply {
	reply := DelegationReply{c.run, now.Sub(c.start)}
	present, ok := c.parts[d.Address]
	if d.To != c.run || d.After < 0 || ok && present.run == d.Run && d.Number <= present.number {
		return reply
	}
	sent := c.start.Add(d.Clock + lease.SubtractClockMargin(d.After))
	until := sent.Add(lease.SubtractClockMargin(delegationLife) - lease.AddClockMargin(SliceLifetime))
	if d.Part <= 0 {
		// A part of 0 is kept until delayed delegations of a lower number have ended.
		until = now.Add(delegationLife)
	}
	if sent.After(now) || !until.After(now) {
		return reply
	}
	c.parts[d.Address] = delegatedPart{run: d.Run, number: d.Number, part: max(0, min(1, d.Part)), until: until}
	c.Step(now)
	return reply
}

// Sum returns the sum of the parts in force.
func (c *Collector) Sum() float64 { return c.sum }

// Parts returns the number of instances that delegate to this one.
func (c *Collector) Parts() int { return len(c.parts) }

// Delegator decides to which collector an instance delegates its part. It is not safe for
// concurrent use.
type Delegator struct {
	run, address string
	collector    string // "" before the first one
	number       uint64
	to           string // run of the collector
	clock        time.Duration
	clockAt      time.Time // when clock arrived
	sentAt       time.Time // when a delegation was last sent
	pending      bool      // the last delegation is unanswered
	part         float64   // of the last delegation
	freeAt       time.Time // when the part has certainly no collector
	released     uint64    // number of the delegation of a part of 0 that ends the present one; 0 if none
}

// NewDelegator returns the state of an instance that has delegated nothing. The run must be
// new with each start of the instance.
func NewDelegator(run, address string) *Delegator {
	return &Delegator{run: run, address: address}
}

// Step returns the delegation that is due, if any, and the collector to send it to. Preferred
// is the collector that the instance should delegate to, or "" if it should delegate nothing.
func (d *Delegator) Step(now time.Time, preferred string, part float64) (to string, out Delegation, due bool) {
	if preferred != d.collector {
		if !now.Before(d.freeAt) {
			d.collector, d.to, d.pending, d.released, d.part = preferred, "", false, 0, 0
		} else if d.released != 0 && !(d.pending && now.Sub(d.sentAt) >= delegateTimeout) {
			return "", out, false
		} else {
			part = 0
		}
	} else if d.released != 0 && d.part == 0 && part > 0 {
		d.released = 0
	}
	if d.collector == "" {
		return "", out, false
	}
	switch {
	case preferred != d.collector:
	case d.pending && now.Sub(d.sentAt) < delegateTimeout:
		return "", out, false
	case !d.pending && d.to != "" && part == d.part && now.Sub(d.sentAt) < renewInterval:
		return "", out, false
	}
	d.number++
	d.sentAt, d.pending, d.part = now, true, part
	out = Delegation{Run: d.run, Address: d.address, Part: part, Number: d.number, To: d.to}
	if d.to != "" {
		out.Clock, out.After = d.clock, now.Sub(d.clockAt)
		if part > 0 {
			d.freeAt = now.Add(lease.AddClockMargin(delegationLife + TransferLifetime))
		}
	}
	if preferred != d.collector {
		d.released = d.number
	}
	return d.collector, out, true
}

// HandleReply processes the reply of a collector to a delegation. It reports whether a
// further step is due at once.
func (d *Delegator) HandleReply(now time.Time, to string, sent Delegation, r DelegationReply) bool {
	if to != d.collector || sent.Number != d.number || !d.pending {
		return false
	}
	d.pending = false
	first := d.to == ""
	restarted := !first && d.to != r.Run
	d.to, d.clock, d.clockAt = r.Run, r.Clock, now
	if d.released == sent.Number && !restarted {
		// The collector uses the part no more, but granted tokens may still be spent.
		if free := now.Add(lease.AddClockMargin(spendingTime)); free.Before(d.freeAt) {
			d.freeAt = free
		}
	}
	if first || restarted {
		d.part = -1 // not in force yet
		return true
	}
	return false
}

// Collector returns the collector that the part is delegated to, or "".
func (d *Delegator) Collector() string { return d.collector }

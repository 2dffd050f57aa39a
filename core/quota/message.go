// Package quota limits the request rate of each team across all instances. Teams are
// divided into shards. The instance that owns a shard keeps a token bucket for each of
// its teams and grants slices of tokens to holders; each instance has a holder, which
// admits requests by spending the tokens of its slices.
//
// Rate bound: for each team the owner keeps level + outstanding ≤ burst, where
// outstanding counts the granted tokens that may still be spent or whose spending
// is not yet reported, and refill stops at that bound. An admission lowers the sum of
// level and the tokens that holders can still spend by one, and only refill raises it.
// So in every window of length t at most rate × t + burst requests are admitted.
// docs/decisions/limits.md extends the argument to owner changes and clock drift.
package quota

import (
	"time"

	"burdockseam/core/lease"
)

// SliceLifetime is the time for which a holder may spend a slice, from when it sent the
// request.
const SliceLifetime = 500 * time.Millisecond

// maxClockDrift is the largest relative difference between the rates of two clocks.
// Refill is reduced by it, so that an owner with a fast clock does not exceed the rate.
const maxClockDrift = 0.01

// Report is a holder's account of a slice. Reports are cumulative: a later report
// includes the earlier ones.
type Report struct {
	// Slice is the Seq of the request for which the slice was granted.
	Slice uint64
	// Spent is the number of tokens of the slice that were spent so far.
	Spent int
	// Closed means that the holder will spend no more tokens of the slice, even if it
	// never received the slice.
	Closed bool
}

// Want is the part of a request for one team.
type Want struct {
	Team string
	// Tokens is the number of tokens wanted. It is 0 if there are only reports.
	Tokens int
	// Waiting is the number of callers' requests that wait for a token at the holder.
	Waiting int
	Reports []Report
	// Classes has the wanted tokens by the priority of the requests. Only collectors use it.
	Classes []int
}

// Request asks the owner of a shard for tokens and reports the spending of earlier ones.
type Request struct {
	Shard    string
	From, To string
	// Epoch is the highest epoch that the holder has seen.
	Epoch uint64
	// Seq increases with each request that a holder sends about a shard.
	Seq   uint64
	Wants []Want
}

// Grant answers a Want. The granted slice is identified by the Seq of the request.
type Grant struct {
	Team   string
	Tokens int
	// Retry is the time after which to ask again, or 0 if all wanted tokens were granted.
	Retry time.Duration
	// Backlog is the expected wait of a new request behind those that wait at all
	// holders now.
	Backlog time.Duration
	// Barred is 1 more than the most urgent priority whose tokens were not all granted, or 0 if
	// there is none. Requests of more urgent priorities need not wait for Retry. Pace is the
	// number of tokens that the holder can expect in a second, or 0 while the collector may
	// still get tokens of others. Only collectors set them.
	Barred int
	Pace   float64
}

// Reply answers the Request with the same Seq.
type Reply struct {
	Shard    string
	From, To string
	Epoch    uint64
	Seq      uint64
	Grants   []Grant
}

// Lease tells an owner whether it may grant tokens.
type Lease interface {
	// Valid reports whether the lease is held at the time now.
	Valid(now time.Time) bool
	// OwnedEpoch returns the epoch owned and the time from which no earlier owner can
	// have granted; ok is false if this instance is not the owner.
	OwnedEpoch() (epoch uint64, since time.Time, ok bool)
}

var _ Lease = (*lease.Member)(nil)

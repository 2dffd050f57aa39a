package quota

import (
	"maps"
	"math"
	"time"

	"burdockseam/core/config"
	"burdockseam/core/lease"
)

// Times of an owner.
const (
	// wantLifetime is the time for which a holder's want counts as current demand.
	wantLifetime = 250 * time.Millisecond
	// holderLifetime is the time after which a holder that sends no requests is forgotten. It
	// is far above SliceLifetime, so that a duplicate request that arrives later yields
	// only a slice that has already expired at the holder.
	holderLifetime = time.Minute
	// minRetry and maxRetry bound the time after which holders ask again.
	minRetry = 10 * time.Millisecond
	maxRetry = 200 * time.Millisecond
)

// Owner keeps the token buckets of a shard's teams and grants slices of their
// tokens. It is not safe for concurrent use.
type Owner struct {
	self       string
	shard      string
	lease      Lease
	epoch      uint64
	grantsFrom time.Time // no grants before: slices of earlier owners may still be spent
	teams      map[string]*bucket
	holders    map[string]*holderState
	lastSweep  time.Time
}

// holderState is what the owner knows about a holder.
type holderState struct {
	seq  uint64 // highest request handled
	seen time.Time
}

// bucket is the token bucket of a team.
type bucket struct {
	rate, burst float64
	level       float64
	// outstanding counts the granted tokens that are not reported as spent, returned or
	// expired.
	outstanding int
	refilledTo  time.Time       // time up to which level is refilled
	slices      []*grantedSlice // sorted by expiry
	wants       map[string]currentWant
	// removed is set while a team is not configured. Its bucket is kept until its
	// slices have expired, since the team may be configured again.
	removed bool
}

// grantedSlice is a slice that a holder may still spend.
type grantedSlice struct {
	holder  string
	id      uint64
	tokens  int
	spent   int
	expires time.Time
}

// currentWant is the demand that a holder last reported.
type currentWant struct {
	at              time.Time
	tokens, waiting int
}

// NewOwner returns the state of an instance as a possible owner of a shard. It grants
// nothing until it is configured and its lease is valid.
func NewOwner(self, shard string, l Lease) *Owner {
	return &Owner{self: self, shard: shard, lease: l, teams: map[string]*bucket{}, holders: map[string]*holderState{}}
}

// Configure sets the shard's teams. The bucket of a new team starts empty. After a change
// of rate or burst the new bound holds for windows that begin once the slices granted
// before have expired; until then the larger burst applies.
func (o *Owner) Configure(now time.Time, teams map[string]config.Team) {
	o.syncEpoch(now)
	for name, b := range o.teams {
		b.advance(now)
		_, ok := teams[name]
		b.removed = !ok
	}
	for name, t := range teams {
		b := o.teams[name]
		if b == nil {
			b = &bucket{refilledTo: now, wants: map[string]currentWant{}}
			if o.grantsFrom.After(now) {
				b.refilledTo = o.grantsFrom
			}
			o.teams[name] = b
		}
		b.rate, b.burst = t.Rate, t.Burst
		b.level = max(0, min(b.level, b.burst-float64(b.outstanding)))
	}
}

// syncEpoch empties the buckets when this instance has become the owner in a new epoch. It
// reports whether this instance is the owner.
func (o *Owner) syncEpoch(now time.Time) bool {
	epoch, since, ok := o.lease.OwnedEpoch()
	if !ok {
		return false
	}
	if epoch != o.epoch {
		o.epoch = epoch
		o.grantsFrom = since.Add(lease.AddClockMargin(SliceLifetime))
		o.holders = map[string]*holderState{}
		for _, b := range o.teams {
			b.level, b.outstanding, b.slices = 0, 0, nil
			// Refill starts when the first grant is allowed.
			b.refilledTo = o.grantsFrom
			clear(b.wants)
		}
	}
	if now.Sub(o.lastSweep) > holderLifetime {
		o.lastSweep = now
		maps.DeleteFunc(o.holders, func(_ string, s *holderState) bool { return now.Sub(s.seen) > holderLifetime })
		maps.DeleteFunc(o.teams, func(_ string, b *bucket) bool { return b.removed && b.noneOutstanding(now) })
	}
	return true
}

// noneOutstanding reports whether no granted token may still be spent by a holder.
func (b *bucket) noneOutstanding(now time.Time) bool {
	b.advance(now)
	return b.outstanding == 0
}

// HandleRequest processes a holder's request. ok is false, and no reply must be sent, if
// this instance has no valid lease or the request is a duplicate or out of order.
func (o *Owner) HandleRequest(now time.Time, r Request) (reply Reply, ok bool) {
	if r.Shard != o.shard || r.To != o.self || !o.syncEpoch(now) || !o.lease.Valid(now) || r.Epoch > o.epoch {
		return Reply{}, false
	}
	for _, w := range r.Wants {
		if b := o.teams[w.Team]; b != nil {
			b.advance(now)
			b.applyReports(r.From, w.Reports)
		}
	}
	state := o.holders[r.From]
	if state == nil {
		state = &holderState{}
		o.holders[r.From] = state
	}
	if r.Seq <= state.seq {
		// A repeated request must not be granted twice. Its reports may be applied again,
		// since they are cumulative.
		return Reply{}, false
	}
	state.seq, state.seen = r.Seq, now
	reply = Reply{Shard: o.shard, From: o.self, To: r.From, Epoch: o.epoch, Seq: r.Seq}
	for _, w := range r.Wants {
		g := Grant{Team: w.Team, Retry: maxRetry}
		switch b := o.teams[w.Team]; {
		case b == nil || b.removed:
		case now.Before(o.grantsFrom):
			g.Retry = o.grantsFrom.Sub(now) + time.Millisecond
		default:
			g = b.grantTokens(now, r.From, r.Seq, w)
		}
		reply.Grants = append(reply.Grants, g)
	}
	return reply, true
}

// advance refills the bucket up to now and drops the slices that have expired by then.
// The tokens of an expired slice make room for refill only from its expiry on, since they
// may have been spent until then.
func (b *bucket) advance(now time.Time) {
	for len(b.slices) > 0 && !b.slices[0].expires.After(now) {
		s := b.slices[0]
		b.refill(s.expires)
		b.outstanding -= s.tokens - s.spent
		b.slices = b.slices[1:]
	}
	b.refill(now)
}

// refill adds the tokens that accrue until now, as far as the burst and the outstanding
// tokens allow.
func (b *bucket) refill(now time.Time) {
	d := now.Sub(b.refilledTo)
	if d <= 0 {
		return
	}
	b.refilledTo = now
	maxLevel := b.burst - float64(b.outstanding)
	b.level = max(b.level, min(maxLevel, b.level+b.rate*(1-maxClockDrift)*d.Seconds()))
}

// applyReports applies the reports of a holder. The caller must have refilled the bucket up
// to now, since the tokens reported as spent may have been spent just now.
func (b *bucket) applyReports(holder string, reports []Report) {
	for _, r := range reports {
		for i, s := range b.slices {
			if s.holder != holder || s.id != r.Slice {
				continue
			}
			if spent := min(r.Spent, s.tokens); spent > s.spent {
				b.outstanding -= spent - s.spent
				s.spent = spent
			}
			if r.Closed {
				unspent := s.tokens - s.spent
				b.outstanding -= unspent
				b.level = min(b.level+float64(unspent), max(b.level, b.burst-float64(b.outstanding)))
				b.slices = append(b.slices[:i:i], b.slices[i+1:]...)
			}
			break
		}
	}
}

// grantTokens grants a holder its part of the level: all that it wants if the level covers
// the current wants of all holders, else in proportion to its want, but at least one
// token unless the level is below one.
func (b *bucket) grantTokens(now time.Time, holder string, seq uint64, w Want) Grant {
	b.wants[holder] = currentWant{at: now, tokens: w.Tokens, waiting: w.Waiting}
	wanted, waiting := 0, 0
	for name, want := range b.wants {
		if now.Sub(want.at) > wantLifetime {
			delete(b.wants, name)
			continue
		}
		wanted += want.tokens
		waiting += want.waiting
	}
	g := Grant{Team: w.Team}
	if w.Tokens > 0 && b.level >= 1 {
		tokens := float64(w.Tokens)
		if b.level < float64(wanted) {
			tokens = math.Ceil(b.level * tokens / float64(wanted))
		}
		g.Tokens = int(min(tokens, float64(w.Tokens), math.Floor(b.level)))
		b.level -= float64(g.Tokens)
		b.outstanding += g.Tokens
		b.slices = append(b.slices, &grantedSlice{
			holder: holder, id: seq, tokens: g.Tokens, expires: now.Add(lease.AddClockMargin(SliceLifetime)),
		})
	}
	if g.Tokens < w.Tokens {
		shortfall := max(1, float64(w.Tokens-g.Tokens)-b.level)
		g.Retry = min(max(secondsToDuration(shortfall/b.rate), minRetry), maxRetry)
		b.wants[holder] = currentWant{at: now, tokens: w.Tokens - g.Tokens, waiting: max(0, w.Waiting-g.Tokens)}
	}
	g.Backlog = secondsToDuration(max(0, float64(waiting)-b.level) / b.rate)
	return g
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

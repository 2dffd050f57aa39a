package node

// Contact at the acknowledgement of a commit: on a platform without fencing, a primary that is cut
// off goes on, and a replica that starts beside it receives its commits. The coordinator outside
// does not know that replica, so the promotion that it orders drops what the replica alone has
// received. A gateway therefore passes an acknowledgement on only with contact to most of the
// fleet at that time.
//
// Pings show contact up to freshContact ago, which costs nothing. If they are older, or if the
// commit has waited, as it does while no replica receives it, the gateway asks the fleet again and
// waits for the answers. All commits that wait share one round of calls.

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/placement"
)

const (
	// freshContact is the age up to which answers to pings show contact: the longest time
	// between two pings, and a slow round trip between regions.
	freshContact = pingInterval*11/10 + 100*time.Millisecond
	// slowCommit is the time at the upstream from which on a commit may have waited for a
	// replica to start. It is far above the round trip to a replica in another region.
	slowCommit = 250 * time.Millisecond
	// maxContactCalls is the number of calls in a round, and contactCallRate the rate of calls
	// of an instance in successive rounds, in calls a second. A majority of a random part of
	// a larger fleet answers only if a majority of the fleet would, but for rare errors.
	maxContactCalls = 100
	contactCallRate = 150
)

// contactRound is a round of calls to most of the fleet.
type contactRound struct {
	sent time.Time
	done chan struct{} // closed when ok is set
	ok   bool
}

// contactRounds runs one round at a time.
type contactRounds struct {
	mu   sync.Mutex
	last *contactRound // nil before the first round
	next time.Time     // earliest start of the next round
}

// confirmCommit returns the reply to a request, or InDoubt if the reply acknowledges a commit and
// this instance has no contact to most of the fleet.
func (n *Node) confirmCommit(ctx context.Context, r call.Request, reply call.Reply) call.Reply {
	// The commit of a transaction without writes has no sample.
	if !n.settings().Unfenced || !commits(r) || reply.Code != call.OK || reply.Sample == nil || n.confirmContact(ctx, reply.Sample.Age) {
		return reply
	}
	n.log.Info("route: commit not confirmed without contact", "id", r.Statement.ID, "upstream", r.Upstream, "position", reply.Position.String(), "took", reply.Sample.Age)
	n.metrics.increment("burdockseam_unconfirmed_total")
	return call.Reply{Ran: call.RanMaybe, Load: reply.Load, Answer: call.Answer{Code: call.InDoubt, Text: "the gateway hears from too few others"}}
}

// commits reports whether a request commits changes if it succeeds.
func commits(r call.Request) bool {
	return r.Statement.Kind == call.Commit || r.Statement.IsWrite() && !r.Inside && r.Open != call.OpenWrite
}

// confirmContact reports whether this instance has contact to most of the fleet, given the time
// that a commit took. An instance that relies on the store, because most of the fleet may be
// lost, needs none.
func (n *Node) confirmContact(ctx context.Context, took time.Duration) bool {
	now, s := n.now(), n.snapshot.Load()
	switch {
	case len(s.instances) == 1:
		return true
	case took < slowCommit && now.Sub(n.lastContact(s, now)) < freshContact:
		return true
	case !n.hadContact(contactTimeout) && n.isRecent(n.storeContactAt.Load(), contactTimeout):
		return true
	}
	return n.askForContact(ctx, now)
}

// lastContact returns the newest time at which this instance sent pings to most of a small fleet
// that were answered. In a large one it is the last contact of a watcher.
func (n *Node) lastContact(s *snapshot, now time.Time) time.Time {
	if len(s.instances) > smallFleetSize {
		if at := n.contactAt.Load(); at != nil {
			return *at
		}
		return time.Time{}
	}
	times := make([]time.Time, 0, len(s.instances)) // of those that have not ended
	n.mu.Lock()
	for _, i := range s.instances {
		switch r := n.peerStates[i.Address]; {
		case i.Address == n.self.Address:
			times = append(times, now)
		case r != nil && r.refused:
		case r != nil:
			times = append(times, r.pongAt)
		default:
			times = append(times, time.Time{})
		}
	}
	n.mu.Unlock()
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

// askForContact reports whether most of the fleet answers calls that are sent at the given time or
// later.
func (n *Node) askForContact(ctx context.Context, since time.Time) bool {
	for ctx.Err() == nil {
		n.contact.mu.Lock()
		round := n.contact.last
		if round == nil || round.isOver() && round.sent.Before(since) {
			round = &contactRound{sent: n.now(), done: make(chan struct{})}
			wait := n.contact.next.Sub(round.sent)
			if wait > 0 {
				round.sent = n.contact.next
			}
			n.contact.last = round
			n.contact.next = round.sent.Add(time.Duration(min(len(n.snapshot.Load().instances), maxContactCalls)) * time.Second / contactCallRate)
			go n.runContactRound(round, wait)
		}
		n.contact.mu.Unlock()
		select {
		case <-round.done:
			if !round.sent.Before(since) {
				return round.ok
			}
		case <-ctx.Done():
		}
	}
	return false
}

// isOver reports whether all answers of a round that count have arrived.
func (r *contactRound) isOver() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// runContactRound runs a round after a wait. It ends with the answer that decides.
func (n *Node) runContactRound(round *contactRound, wait time.Duration) {
	defer close(round.done)
	time.Sleep(wait)
	others := slices.DeleteFunc(slices.Clone(n.snapshot.Load().instances), func(i placement.Instance) bool { return i.Address == n.self.Address })
	answered, asked := 1, len(others)+1 // with this instance
	if len(others) > maxContactCalls {
		rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
		others = others[:maxContactCalls]
		answered, asked = 0, maxContactCalls
	}
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	results := make(chan error, len(others))
	for _, i := range others {
		go func() { results <- n.askOne(ctx, i.Address) }()
	}
	for range others {
		switch err := <-results; {
		case err == nil:
			answered++
		case errors.Is(err, syscall.ECONNREFUSED):
			asked-- // it has ended
		}
		if 2*answered > asked {
			round.ok = true
			return
		}
	}
}

// askOne pings another instance for a round, and learns the promotions that it knows.
func (n *Node) askOne(ctx context.Context, address string) error {
	sent, own := n.now(), n.tables.sums()
	known := n.limits.newestLease()
	var pong Pong
	if err := n.peers.Call(ctx, address, "Node.Ping", Ping{n.self.Address, own.Sum, known.Epoch, known.Beat, own.Content, n.snapshot.Load().policy.Version}, &pong); err != nil {
		return err
	}
	n.recordAnswer(address)
	n.recordContact(address, sent, pong)
	return nil
}

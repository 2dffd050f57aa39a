package failover

import (
	"errors"
	"slices"
	"testing"
	"time"

	"burdockseam/core/wal"
)

// orderedWorld is a group whose promotions are ordered, with its upstreams, store and
// platform. A commit is acknowledged once a replica has received it. A promotion keeps what
// the named upstream had received.
type orderedWorld struct {
	now            time.Time
	names          []string
	logs           map[string][]int // upstream → ids of commits
	paused         map[string]bool
	down           map[string]bool
	primary        string
	term           uint64
	acked          []int // acknowledged commits
	lastCommit     int
	commitTerms    map[int]uint64 // terms of commits
	drawn          uint64         // newest token drawn from the store
	orderDelay     time.Duration  // time from an accepted order to its effect
	acceptedOrders []acceptedOrder
	highestToken   uint64    // highest token that the platform has seen
	lateOrders     []Command // orders without an answer, to be carried out later
	lost           []int     // acknowledged commits that a promotion has lost
	instances      []*orderingInstance

	storeDown bool
	gate      CommitGate // of the only gateway
	held      []int      // commits that wait at the gate
	unlisted  []string   // replicas that receive commits and are not listed yet
	silent    bool       // the gateway does not answer a freeze

	silentDomain string // failure domain of the gateway; all upstreams are in "x"

	// unfenced makes the platform carry out orders with any token, and old primaries go on.
	unfenced      bool
	target        string          // target in the token object
	targetToken   uint64          // token for which it was recorded
	lateSince     []time.Time     // when the late orders were sent
	goesOn        map[string]bool // old primaries that were not demoted
	unreachable   map[string]bool // upstreams that could not be demoted
	stale         int             // commits of a new primary beside an old one that goes on
	outdatedOrder int             // orders with a token below one that the platform had seen
}

// newUnfencedWorld returns a group as newOrderedWorld does, on a platform that checks no
// fencing tokens.
func newUnfencedWorld(instances int) *orderedWorld {
	w := newOrderedWorld(instances)
	w.unfenced, w.goesOn, w.unreachable = true, make(map[string]bool), make(map[string]bool)
	for k, x := range w.instances {
		x.promotion = NewRecordedPromotion(uint64(k))
		x.promotion.SetMembers(w.now, "a", 1, w.candidates())
	}
	return w
}

// acceptedOrder is an order that takes effect at a later time.
type acceptedOrder struct {
	at       time.Time
	upstream string
}

// advance advances the time and applies the accepted orders that are due.
func (w *orderedWorld) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for len(w.acceptedOrders) > 0 && !w.now.Before(w.acceptedOrders[0].at) {
		w.makePrimary(w.acceptedOrders[0].upstream)
		w.acceptedOrders = w.acceptedOrders[1:]
	}
}

// orderingInstance is an instance that may coordinate the group, with the commands that it has
// not performed yet and the times at which they were sent.
type orderingInstance struct {
	promotion *OrderedPromotion
	commands  []Command
	sent      []time.Time
}

// newOrderedWorld returns a group of upstreams a, b and c, whose primary is a.
func newOrderedWorld(instances int) *orderedWorld {
	w := &orderedWorld{
		now: epoch, silentDomain: "x", names: []string{"a", "b", "c"}, logs: make(map[string][]int), commitTerms: make(map[int]uint64),
		paused: make(map[string]bool), down: make(map[string]bool), primary: "a", term: 1,
	}
	for range instances {
		x := &orderingInstance{promotion: NewOrderedPromotion(uint64(len(w.instances)))}
		x.promotion.SetMembers(w.now, "a", 1, w.candidates())
		w.instances = append(w.instances, x)
	}
	return w
}

func (w *orderedWorld) candidates() []Candidate {
	var list []Candidate
	for _, name := range w.names {
		list = append(list, Candidate{Upstream: name, Domain: "x"})
	}
	return list
}

// commit appends a commit to the primary's log and to the logs of the replicas in receives
// that can receive it.
func (w *orderedWorld) commit(receives map[string]bool) {
	if w.primary == "" || w.down[w.primary] {
		return
	}
	w.lastCommit++
	w.commitTerms[w.lastCommit] = w.term
	w.logs[w.primary] = append(w.logs[w.primary], w.lastCommit)
	acked := false
	for _, name := range append(slices.Clone(w.names), w.unlisted...) {
		if name != w.primary && receives[name] && !w.paused[name] && !w.down[name] {
			w.logs[name] = slices.Clone(w.logs[w.primary])
			acked = true
		}
	}
	if acked {
		for name := range w.goesOn {
			if !w.down[name] && !w.unreachable[name] {
				w.stale++
			}
		}
		w.acknowledge(w.lastCommit, w.position(w.primary))
	}
}

// acknowledge passes the acknowledgement of a commit through the gate.
func (w *orderedWorld) acknowledge(id int, end wal.Position) {
	if w.unfenced {
		w.gate.Record(w.now, CommitBounds(wal.Position{Term: end.Term, Offset: end.Offset - 1}, end))
		w.acked = append(w.acked, id)
		return
	}
	switch w.gate.Pass(w.now, w.term, CommitBounds(wal.Position{Term: end.Term, Offset: end.Offset - 1}, end)) {
	case PassageOpen:
		w.acked = append(w.acked, id)
	case PassageWait:
		w.held = append(w.held, id)
	}
}

// answerOrder carries out an order, or refuses it.
func (w *orderedWorld) answerOrder(c Command) OrderResponse {
	if c.Token < w.highestToken && !w.unfenced || w.down[c.Upstream] {
		return ResponseRefused
	}
	w.highestToken = max(w.highestToken, c.Token)
	if w.orderDelay > 0 {
		w.acceptedOrders = append(w.acceptedOrders, acceptedOrder{w.now.Add(w.orderDelay), c.Upstream})
		return ResponseDone
	}
	w.makePrimary(c.Upstream)
	return ResponseDone
}

// makePrimary makes an upstream the primary with what it has received, and records the
// acknowledged commits that it lacks as lost. The promotion of the present primary changes nothing.
func (w *orderedWorld) makePrimary(upstream string) {
	if upstream == w.primary {
		return
	}
	if w.unfenced && w.primary != "" {
		w.goesOn[w.primary] = true
	}
	delete(w.goesOn, upstream)
	w.primary, w.paused = upstream, make(map[string]bool)
	w.term++
	for _, id := range w.acked {
		if !slices.Contains(w.logs[upstream], id) {
			w.lost = append(w.lost, id)
		}
	}
	for name := range w.logs {
		w.logs[name] = commonPrefix(w.logs[name], w.logs[upstream])
	}
}

// commonPrefix returns the part of a log that the new primary's log has as well.
func commonPrefix(log, newLog []int) []int {
	n := 0
	for n < len(log) && n < len(newLog) && log[n] == newLog[n] {
		n++
	}
	return slices.Clone(newLog[:n])
}

func (w *orderedWorld) position(name string) wal.Position {
	if len(w.logs[name]) == 0 {
		return wal.Position{}
	}
	log := w.logs[name]
	return wal.Position{Term: max(1, w.commitTerms[log[len(log)-1]]), Offset: uint64(len(log))}
}

var errNoAnswer = errors.New("no answer")

// performCommand performs one command of an instance. Without an answer the command still
// takes effect.
func (w *orderedWorld) performCommand(x *orderingInstance, k int, answered bool) {
	c, sent := x.commands[k], x.sent[k]
	x.commands, x.sent = slices.Delete(x.commands, k, k+1), slices.Delete(x.sent, k, k+1)
	switch c.Action {
	case ActionDrawToken:
		if w.storeDown {
			return
		}
		if w.drawn++; w.unfenced {
			if w.targetToken != 0 && !x.promotion.MayStillBeCarriedOut(w.now, w.target, w.targetToken) {
				w.target, w.targetToken = "", 0
			}
			if answered {
				x.promotion.HandleRecordedToken(w.now, w.drawn, w.target, w.targetToken)
			}
		} else if answered {
			x.promotion.HandleToken(w.now, w.drawn, w.drawn-1)
		}
	case ActionRaiseToken:
		if w.highestToken = max(w.highestToken, c.Token); answered {
			x.promotion.HandleTokenRaised(w.now, c.Token)
		}
	case ActionHold:
		x.promotion.HandleHold(w.now, 0)
	case ActionSurvey:
		err := errNoAnswer
		if answered && !w.down[c.Upstream] {
			err = nil
		}
		x.promotion.HandleSurvey(w.now, sent, c.Upstream, w.primary == c.Upstream, w.position(c.Upstream), err)
	case ActionPause:
		if w.down[c.Upstream] {
			x.promotion.HandlePause(w.now, sent, c.Upstream, ReplicationStatus{}, errNoAnswer)
			return
		}
		s := ReplicationStatus{Primary: w.primary == c.Upstream, Term: w.term, Received: w.position(c.Upstream)}
		if !s.Primary && c.Term > w.term {
			w.paused[c.Upstream] = true
		}
		if answered {
			x.promotion.HandlePause(w.now, sent, c.Upstream, s, nil)
		}
	case ActionListUpstreams:
		x.promotion.HandleList(w.now)
	case ActionFreeze:
		if w.silent {
			x.promotion.HandleFreeze(w.now, sent, c, nil, []string{w.silentDomain})
			return
		}
		if w.gate.Freeze(w.now, c.Term, c.Token); answered {
			x.promotion.HandleFreeze(w.now, sent, c, []FreezeAnswer{w.gate.Answer(w.now, epoch.Add(-time.Minute), 0)}, nil)
		}
	case ActionDemote:
		if w.down[c.Upstream] {
			if w.unfenced {
				w.unreachable[c.Upstream] = true
			}
			x.promotion.HandleDemote(w.now, sent, c.Upstream, ReplicationStatus{}, errNoAnswer, w.now)
			return
		}
		led := w.primary == c.Upstream
		if w.goesOn[c.Upstream] {
			delete(w.goesOn, c.Upstream)
		} else if w.primary == c.Upstream && c.Term > w.term {
			w.primary = ""
		}
		if answered {
			s := ReplicationStatus{Primary: w.primary == c.Upstream, Term: w.term, Received: w.position(c.Upstream), Led: led}
			x.promotion.HandleDemote(w.now, sent, c.Upstream, s, nil, time.Time{})
		}
	case ActionOrderPromotion:
		if w.unfenced && !w.recordTarget(x, c) {
			return
		}
		if !answered {
			w.lateOrders, w.lateSince = append(w.lateOrders, c), append(w.lateSince, w.now)
			x.promotion.HandleOrder(w.now, c, ResponseUnknown)
			return
		}
		_, commands := x.promotion.HandleOrder(w.now, c, w.answerOrder(c))
		w.enqueue(x, commands)
	}
}

// recordTarget records the target of an order, and reports whether it may be sent.
func (w *orderedWorld) recordTarget(x *orderingInstance, c Command) bool {
	switch {
	case w.storeDown:
		x.promotion.HandleOrder(w.now, c, ResponseUnsent)
		return false
	case c.Token != w.drawn:
		x.promotion.HandleOrder(w.now, c, ResponseRefused)
		return false
	}
	w.target, w.targetToken = c.Upstream, c.Token
	if c.Token < w.highestToken {
		w.outdatedOrder++
	}
	return true
}

// enqueue adds commands to those that an instance has not performed yet.
func (w *orderedWorld) enqueue(x *orderingInstance, list []Command) {
	for _, c := range list {
		x.commands, x.sent = append(x.commands, c), append(x.sent, w.now)
	}
}

// tickAndPerform ticks once and performs all commands with an answer.
func (w *orderedWorld) tickAndPerform(x *orderingInstance) {
	w.enqueue(x, x.promotion.Tick(w.now))
	for len(x.commands) > 0 {
		w.performCommand(x, 0, true)
	}
}

// runUntilIdle ticks an instance until its change is over.
func runUntilIdle(t *testing.T, w *orderedWorld, x *orderingInstance) {
	t.Helper()
	for range 400 {
		w.advance(20 * time.Millisecond)
		w.tickAndPerform(x)
		if x.promotion.Phase() == PhaseIdle {
			return
		}
	}
	t.Fatalf("the change is still in phase %s", x.promotion.Phase())
}

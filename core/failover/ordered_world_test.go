package failover

import (
	"errors"
	"slices"
	"testing"
	"time"

	"burdockseam/core/wal"
)

// orderedWorld is a group whose promotions are ordered. A commit is acknowledged once a
// replica has received it; a promotion keeps what the named upstream had received.
type orderedWorld struct {
	now     time.Time
	names   []string
	logs    map[string][]int // ids of commits
	paused  map[string]bool
	down    map[string]bool
	primary string
	term    uint64
	acked   []int
	next    int
	drawn   uint64        // newest token in the store
	takes   time.Duration // from an order to its effect
	effects []effect
	fence   uint64 // highest token that the platform has seen
	pending []Command
	lost    []int
	actors  []*actor

	storeDown bool
}

// effect is an accepted order that takes effect later.
type effect struct {
	at       time.Time
	upstream string
}

// pass moves the time on and lets orders take effect.
func (w *orderedWorld) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for len(w.effects) > 0 && !w.now.Before(w.effects[0].at) {
		w.lead(w.effects[0].upstream)
		w.effects = w.effects[1:]
	}
}

// actor is an instance that may act for the group.
type actor struct {
	change   *OrderedPromotion
	commands []Command
	sent     []time.Time
}

func newOrderedWorld(actors int) *orderedWorld {
	w := &orderedWorld{
		now: epoch, names: []string{"a", "b", "c"}, logs: make(map[string][]int),
		paused: make(map[string]bool), down: make(map[string]bool), primary: "a", term: 1,
	}
	for range actors {
		x := &actor{change: NewOrderedPromotion(uint64(len(w.actors)))}
		x.change.SetMembers("a", 1, w.candidates())
		w.actors = append(w.actors, x)
	}
	return w
}

func (w *orderedWorld) candidates() []Candidate {
	var list []Candidate
	for _, name := range w.names {
		list = append(list, Candidate{Upstream: name})
	}
	return list
}

// commit appends to the primary's log and to those of some replicas.
func (w *orderedWorld) commit(receives map[string]bool) {
	if w.down[w.primary] {
		return
	}
	w.next++
	w.logs[w.primary] = append(w.logs[w.primary], w.next)
	acked := false
	for _, name := range w.names {
		if name != w.primary && receives[name] && !w.paused[name] && !w.down[name] {
			w.logs[name] = slices.Clone(w.logs[w.primary])
			acked = true
		}
	}
	if acked {
		w.acked = append(w.acked, w.next)
	}
}

// promote carries out an order.
func (w *orderedWorld) promote(c Command) Response {
	if c.Token < w.fence || w.down[c.Upstream] {
		return ResponseRefused
	}
	w.fence = c.Token
	if w.takes > 0 {
		w.effects = append(w.effects, effect{w.now.Add(w.takes), c.Upstream})
		return ResponseDone
	}
	w.lead(c.Upstream)
	return ResponseDone
}

// lead makes an upstream the primary with what it has received.
func (w *orderedWorld) lead(upstream string) {
	if upstream == w.primary {
		return
	}
	w.primary, w.paused = upstream, make(map[string]bool)
	w.term++
	for _, id := range w.acked {
		if !slices.Contains(w.logs[upstream], id) {
			w.lost = append(w.lost, id)
		}
	}
	for _, name := range w.names {
		w.logs[name] = common(w.logs[name], w.logs[upstream])
	}
}

// common drops what is not in the line of the new primary.
func common(log, line []int) []int {
	n := 0
	for n < len(log) && n < len(line) && log[n] == line[n] {
		n++
	}
	return slices.Clone(line[:n])
}

func (w *orderedWorld) position(name string) wal.Position {
	if len(w.logs[name]) == 0 {
		return wal.Position{}
	}
	return wal.Position{Term: 1, Offset: uint64(len(w.logs[name]))}
}

var errCut = errors.New("no answer")

// perform carries out one command of an actor; without an answer its effect stays.
func (w *orderedWorld) perform(x *actor, k int, answered bool) {
	c, sent := x.commands[k], x.sent[k]
	x.commands, x.sent = slices.Delete(x.commands, k, k+1), slices.Delete(x.sent, k, k+1)
	switch c.Action {
	case ActionDrawToken:
		if w.storeDown {
			return
		}
		if w.drawn++; answered {
			x.change.HandleToken(w.now, w.drawn, w.drawn-1)
		}
	case ActionRaiseToken:
		if w.fence = max(w.fence, c.Token); answered {
			x.change.HandleRaise(w.now, c.Token)
		}
	case ActionHold:
		x.change.HandleHold(w.now, 0)
	case ActionSurvey:
		err := errCut
		if answered && !w.down[c.Upstream] {
			err = nil
		}
		x.change.HandleSurvey(w.now, sent, c.Upstream, w.primary == c.Upstream, err)
	case ActionPause:
		if w.down[c.Upstream] {
			x.change.HandlePause(w.now, sent, c.Upstream, ReplicationStatus{}, errCut)
			return
		}
		s := ReplicationStatus{Primary: w.primary == c.Upstream, Term: w.term, Received: w.position(c.Upstream)}
		if !s.Primary {
			w.paused[c.Upstream] = true
		}
		if answered {
			x.change.HandlePause(w.now, sent, c.Upstream, s, nil)
		}
	case ActionListUpstreams:
		x.change.HandleList(w.now)
	case ActionOrderPromotion:
		if !answered {
			w.pending = append(w.pending, c)
			x.change.HandleOrder(w.now, c, ResponseUnknown)
			return
		}
		_, more := x.change.HandleOrder(w.now, c, w.promote(c))
		w.send(x, more)
	}
}

func (w *orderedWorld) send(x *actor, list []Command) {
	for _, c := range list {
		x.commands, x.sent = append(x.commands, c), append(x.sent, w.now)
	}
}

// step ticks once and performs all commands with an answer.
func (w *orderedWorld) step(x *actor) {
	w.send(x, x.change.Tick(w.now))
	for len(x.commands) > 0 {
		w.perform(x, 0, true)
	}
}

// drive steps until the change is over.
func drive(t *testing.T, w *orderedWorld, x *actor) {
	t.Helper()
	for range 400 {
		w.pass(20 * time.Millisecond)
		w.step(x)
		if x.change.Phase() == PhaseIdle {
			return
		}
	}
	t.Fatalf("the change is still in phase %s", x.change.Phase())
}

package core

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestFormerObserverAsksObserversInTurn guards against a panic of an instance that has
// stopped observing a group while the responses to its requests to all other observers
// still arrive.
func TestFormerObserverAsksObserversInTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New(now, Self{Address: "a", Domain: "x"}, rand.New(rand.NewPCG(1, 1)))
	g := n.newGroup("g")
	g.observers = []string{"b", "c"}
	for range 2 {
		g.handleView(now, now, GroupView{Observer: true})
	}
	n.requestBudget.refill(now)
	for i := range 3 {
		at := now.Add(time.Duration(i+1) * time.Minute)
		n.requestBudget.refill(at)
		e := g.dueRequests(at, "a", &n.requestBudget)
		if len(e.Messages) != 1 || e.Messages[0].To != g.observers[i%2] {
			t.Errorf("request %d goes to %+v, want one message, to the observers in turn", i, e.Messages)
		}
	}
}

package gateway

// What the answers of an upstream show about its health. The gateway sees all statements that
// reach the upstream, except while two instances act as its gateway.

import (
	"errors"
	"os"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/health"
)

// isMeasured reports whether the time and the outcome of a statement are measured. The other
// kinds of statements take no slot, or wait for replicas.
func isMeasured(s call.Statement) bool {
	return s.Kind == call.Read || s.Kind == call.Write || s.Kind == call.Execute
}

// beginMeasured records that a statement is sent.
func (g *Gateway) beginMeasured(s call.Statement, now time.Time) {
	if !isMeasured(s) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meter.Begin(now, !s.IsWrite())
}

// endMeasured records the answer to a statement that was sent at began.
func (g *Gateway) endMeasured(s call.Statement, began time.Time, a call.Answer, err error) {
	if !isMeasured(s) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meter.End(began, g.gateways.now(), !s.IsWrite(), outcomeOf(a, err))
}

// measureUnsent records that a connection could not be prepared for a statement.
func (g *Gateway) measureUnsent(began time.Time, a call.Answer, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.gateways.now()
	g.meter.EndUnsent(now.Sub(began), now, outcomeOf(a, err))
}

// outcomeOf returns what an answer says about the upstream's health. A refusal for a lagging log,
// a lost lead or a fault of the request says nothing.
func outcomeOf(a call.Answer, err error) health.Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return health.Late
	case err != nil:
		return health.Bad
	}
	switch a.Code {
	case call.OK:
		return health.Good
	case call.Failed, call.Busy, call.Timeout, call.Aborted:
		return health.Bad
	}
	return health.Neutral
}

// addFigures adds what the gateway has learned about the upstream to a reply.
func (g *Gateway) addFigures(r *call.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.meter.Figures(g.gateways.now())
	r.Service, r.Failing = f.Service, f.Failing
}

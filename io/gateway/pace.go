package gateway

// The pace of an upstream: how many statements the queue may start at a time. core/pace
// decides by the answers. Here it is decided when an upstream counts as just started: it is
// young or a new incarnation, was unreachable, or was promoted. An upstream that has been
// running for long has its full pace at a gateway that takes over.

import (
	"time"

	"burdockseam/core/call"
	"burdockseam/core/pace"
)

// youngAge is the age up to which an upstream counts as just started at a gateway that does
// not know it. At its usual speed such an upstream has its full pace after four rounds of
// statements, so a high value costs little.
const youngAge = 30 * time.Second

// role is what the answers of an upstream have shown about it.
type role string

const (
	roleUnknown role = ""
	roleReplica role = "replica"
	rolePrimary role = "primary"
)

// upstreamPace is the pace of a gateway's upstream. It is guarded by the gateway's lock.
type upstreamPace struct {
	*pace.Pace             // nil until a request asks for an adaptive pace
	born         int64     // incarnation
	role         role      // by the answers
	unreachable  bool      // the last attempt to open the only connection failed
	belowSince   time.Time // when the pace was last full, if it is not
	belowAnswers int       // answers since then
}

// adaptPace starts to adapt the pace when the first request asks for it, and restarts it for
// a new incarnation of the upstream. The lock is held.
func (g *Gateway) adaptPace(now time.Time, r call.Request) {
	p := &g.pace
	switch {
	case !r.Adaptive:
		return
	case p.Pace == nil:
		p.Pace, p.born = pace.New(max(1, r.Slots), extraSlots), r.Born
		age := max(r.Since, g.gateways.wall().Sub(time.UnixMilli(r.Born)))
		if r.Born != 0 && age < youngAge {
			g.restartPace(now, "started")
		}
	case r.Born > p.born:
		p.born = r.Born
		g.restartPace(now, "started")
	}
}

// restartPace begins with few statements. The lock is held.
func (g *Gateway) restartPace(now time.Time, reason string) {
	before := g.pace.Phase()
	g.pace.Restart()
	g.applyPace(now, before, reason)
}

// applyPace puts a changed limit into force, and logs where the pace begins to be below the
// full one and where it is full again. The lock is held.
func (g *Gateway) applyPace(now time.Time, before pace.Phase, reason string) {
	p := &g.pace
	if after := p.Phase(); after != before {
		g.gateways.observer.Paced(string(after))
		switch {
		case after == pace.Full:
			g.gateways.log.Info("gateway: upstream at full pace", "upstream", g.upstream, "pace", p.Limit(),
				"answers", p.belowAnswers, "took", now.Sub(p.belowSince))
		case before == pace.Full:
			p.belowSince, p.belowAnswers = now, 0
			g.gateways.log.Info("gateway: upstream below its full pace", "upstream", g.upstream, "pace", p.Limit(),
				"phase", string(after), "reason", reason)
		}
	}
	g.applyDecisions(g.queue.SetSlots(now, p.Limit()))
}

// recordPace records what the answer to a statement shows about the upstream. took is 0 for
// an answer to the preparation of the connection.
func (g *Gateway) recordPace(c *pooledConn, r call.Request, a call.Answer, err error, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := &g.pace
	if p.Pace == nil {
		return
	}
	now := g.gateways.now()
	if err == nil && g.learnRole(r, a, took) {
		g.restartPace(now, "promoted")
	}
	kind := 2 * r.Priority
	if r.Statement.IsWrite() || r.Statement.Kind == call.Commit {
		kind++
	}
	before := p.Phase()
	p.belowAnswers++
	if p.Record(pace.Answer{Result: paceResult(a, err, took), Kind: kind, Took: took, Round: c.round}, g.queue.Running()) {
		g.applyPace(now, before, "answers")
	}
}

// paceResult returns what an answer says about the upstream's capacity.
func paceResult(a call.Answer, err error, took time.Duration) pace.Result {
	switch {
	case err != nil:
		return pace.Bad
	case a.Code == call.Busy, a.Code == call.Timeout:
		return pace.Bad
	case a.Code == call.OK && took > 0:
		return pace.Good
	}
	return pace.Neutral // the statement is at fault, or the upstream's role or log position
}

// learnRole records the role that an answer shows, and reports whether the upstream has been
// promoted. The lock is held.
func (g *Gateway) learnRole(r call.Request, a call.Answer, took time.Duration) bool {
	p := &g.pace
	primaryOnly := r.Open == call.OpenWrite || r.Open == call.OpenFence || r.Statement.IsWrite()
	switch {
	case a.Code == call.ReadOnly:
		p.role = roleReplica
	case a.Code != call.OK || took == 0 || r.Inside:
	case primaryOnly:
		promoted := p.role == roleReplica
		p.role = rolePrimary
		return promoted
	case p.role == roleUnknown:
		p.role = roleReplica
	}
	return false
}

// recordDial records whether the upstream could be reached. The lock is held.
func (g *Gateway) recordDial(now time.Time, reached bool) {
	p := &g.pace
	switch {
	case p.Pace == nil:
	case !reached:
		p.unreachable = p.unreachable || len(g.conns) == 0
	case p.unreachable:
		p.unreachable = false
		g.restartPace(now, "recovered")
	}
}

// limit returns the number of statements allowed at a time, or 0 if the pace is not adapted.
func (p *upstreamPace) limit() int {
	if p.Pace == nil {
		return 0
	}
	return p.Limit()
}

package health

// A Group decides which upstreams of a database group are avoided for reads. An upstream is
// compared with the others and with its own past, so that a cause that all have in common, such
// as load or a statement that fails everywhere, avoids none.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// AvoidFailing is the failing share beyond twice the others' from which an upstream is avoided.
	// At this share, the reads that one of three upstreams fails take half of the retry budget
	// (queue.RetryShare).
	AvoidFailing = 0.15
	// RepeatFailing is the share beyond twice the others' from which a failed read is tried
	// elsewhere.
	RepeatFailing = 0.05
	// ReturnFailing is the share beyond twice the others' below which an upstream returns. It
	// takes 17 good answers in a row after the least avoidance, which an upstream that goes on
	// failing 40 % gives once in 6,000 times. With 0.05 such an upstream returned within seconds.
	ReturnFailing = 0.02
	// avoidSlow and returnSlow are the multiples of the others' service time from which an
	// upstream is avoided, and below which it returns. Differences between machines and between
	// 20 reads stay below; expected times take them into account.
	avoidSlow, returnSlow = 4, 2
	// pastSlow is the multiple of the upstream's own past service time that is also needed.
	pastSlow = 2
	// pastWeight is the weight of one report in the own past, which thus covers many reports.
	pastWeight = 0.02
	// farWorse is the multiple by which an upstream must be worse than an avoided one to take
	// its place. Equally bad ones thus do not replace each other.
	farWorse = 2
	// flapWindow is the time for which a return counts as recent, and maxEvidence the highest
	// number of good reports in a row that a return takes. It doubles with each recent return,
	// so that an upstream that fails by turns stays away for longer.
	flapWindow  = time.Minute
	maxEvidence = 8
	// maxProbeRate bounds by how much good answers shorten the time between probes.
	maxProbeRate = 4
	// figuresAge is the time after which figures without a newer report are not used. An
	// avoided upstream without reads for this long returns, since nobody is served worse.
	figuresAge = 2 * time.Minute
)

// Why says why an upstream is avoided.
type Why string

// The reasons.
const (
	Failing Why = "failing"
	Slow    Why = "slow"
)

// Change tells that an upstream is avoided or has returned, with the figures that decided.
type Change struct {
	Upstream string
	Avoided  bool
	Why      Why
	Own      Figures
	// Others are the figures that the upstream was compared with.
	Others Figures
	// After is the time for which a returning upstream was avoided.
	After time.Duration
}

// state is what is known about an upstream.
type state struct {
	figures    Figures
	at         time.Time
	meanLoad   float64
	past       time.Duration // own service time while it was not slow, or 0
	why        Why           // "" unless the upstream is avoided
	since      time.Time
	nextProbe  time.Time
	goodStreak int       // reports in a row that speak for the return while avoided
	better     int       // reports in a row that are better than the one before
	returns    int       // recent returns
	returnedAt time.Time // last return
	open       openReads // reads of this instance without an answer
}

// Group has what an instance knows about the upstreams of a database group. It is not safe for
// concurrent use.
type Group struct {
	states map[string]*state
}

// NewGroup returns a group without any figures.
func NewGroup() *Group { return &Group{states: make(map[string]*state)} }

func (g *Group) state(name string) *state {
	s := g.states[name]
	if s == nil {
		s = &state{}
		g.states[name] = s
	}
	return s
}

// Forget drops what is known about an upstream, which has left or started again.
func (g *Group) Forget(name string) { delete(g.states, name) }

// Sent records that this instance has sent a read to an upstream.
func (g *Group) Sent(now time.Time, name string) { g.state(name).open.add(now) }

// Answered records the end of a read that was sent at began.
func (g *Group) Answered(began time.Time, name string) { g.state(name).open.remove(began) }

// Report records the figures of a reply and judges all members of the group again. Members are
// the upstreams that take new work.
func (g *Group) Report(now time.Time, name string, f Figures, members []string) []Change {
	s := g.state(name)
	if s.at.IsZero() {
		s.meanLoad = float64(f.Load)
	}
	s.meanLoad += loadWeight * (float64(f.Load) - s.meanLoad)
	if f.Service == 0 {
		// The gateway does not measure, or has measured nothing yet.
		f.Service, f.Failing = s.figures.Service, max(s.figures.Failing, f.Failing)
	}
	better := f.Failing < s.figures.Failing || f.Failing == s.figures.Failing && f.Service < s.figures.Service
	if s.at.IsZero() || f.Service != s.figures.Service || f.Failing != s.figures.Failing {
		s.at = now // writes repeat the figures of earlier reads
	}
	s.figures = f
	if s.why != "" {
		others, ok := g.others(now, name, members)
		if s.goodStreak++; ok && !g.isFine(s, others) {
			s.goodStreak = 0
		}
		if s.better++; !better && s.goodStreak == 0 {
			s.better = 0
		}
	}
	list := g.judge(now, members)
	if others, ok := g.others(now, name, members); ok && s.why == "" && f.Service > 0 && f.Service < avoidSlow*max(1, others.Service) {
		s.remember()
	}
	return list
}

// judge decides which members are avoided.
func (g *Group) judge(now time.Time, members []string) []Change {
	var list []Change
	for _, name := range members {
		s := g.states[name]
		if s == nil || s.at.IsZero() {
			continue
		}
		others, ok := g.others(now, name, members)
		switch {
		case s.why != "":
			if now.Sub(s.at) > figuresAge || !ok || s.goodStreak >= s.evidence(now) {
				list = append(list, g.end(now, name, others))
			}
		case ok && now.Sub(s.at) <= figuresAge:
			if why := g.fault(s, others); why != "" {
				list = append(list, Change{Upstream: name, Avoided: true, Why: why, Own: s.figures, Others: others})
			}
		}
	}
	return g.bound(now, list, members)
}

// bound keeps at most half of the members avoided: the worst. An upstream that is far worse than
// an avoided one takes its place.
func (g *Group) bound(now time.Time, list []Change, members []string) []Change {
	room := len(members) / 2
	var avoided []string // the worst first
	for _, name := range members {
		if s := g.states[name]; s != nil && s.why != "" {
			avoided = append(avoided, name)
		}
	}
	badness := func(name string) float64 {
		others, _ := g.others(now, name, members)
		return g.states[name].figures.badness(others)
	}
	slices.SortStableFunc(avoided, func(a, b string) int { return cmp.Compare(badness(b), badness(a)) })
	slices.SortStableFunc(list, func(a, b Change) int { return cmp.Compare(b.Own.badness(b.Others), a.Own.badness(a.Others)) })
	var out []Change
	release := func() {
		name := avoided[len(avoided)-1]
		avoided = avoided[:len(avoided)-1]
		others, _ := g.others(now, name, members)
		out = append(out, g.end(now, name, others))
	}
	for len(avoided) > room {
		release()
	}
	for _, c := range list {
		if !c.Avoided {
			out = append(out, c)
			continue
		}
		if len(avoided) == room && room > 0 && c.Own.badness(c.Others) > farWorse*badness(avoided[len(avoided)-1]) {
			release()
		}
		if len(avoided) < room {
			s := g.states[c.Upstream]
			s.why, s.since, s.goodStreak, s.better, s.nextProbe = c.Why, now, 0, 0, now.Add(ProbeInterval)
			avoided = append([]string{c.Upstream}, avoided...)
			out = append(out, c)
		}
	}
	return out
}

// badness orders upstreams by the expected time of a read, as a multiple of the others'.
func (f Figures) badness(others Figures) float64 {
	return float64(max(1, f.Service)) / float64(max(1, others.Service)) / (1 - min(f.Failing, maxFailing))
}

// excess returns by how much the failing share exceeds twice the others'. The share of a statement
// that fails everywhere varies between upstreams, since it is taken from about 20 reads.
func (f Figures) excess(others Figures) float64 { return f.Failing - 2*others.Failing }

// end ends the avoidance of an upstream.
func (g *Group) end(now time.Time, name string, others Figures) Change {
	s := g.states[name]
	c := Change{Upstream: name, Why: s.why, Own: s.figures, Others: others, After: now.Sub(s.since)}
	if now.Sub(s.returnedAt) > flapWindow {
		s.returns = 0
	}
	s.why, s.goodStreak, s.returnedAt = "", 0, now
	s.returns++
	return c
}

// evidence returns the number of good reports in a row that a return takes.
func (s *state) evidence(now time.Time) int {
	if now.Sub(s.returnedAt) > flapWindow {
		return 1
	}
	return min(maxEvidence, 1<<min(s.returns, 10))
}

// remember updates the own past.
func (s *state) remember() {
	if s.past == 0 {
		s.past = s.figures.Service
	}
	s.past += time.Duration(pastWeight * float64(s.figures.Service-s.past))
}

// fault returns why an upstream should be avoided, or "".
func (g *Group) fault(s *state, others Figures) Why {
	f := s.figures
	switch {
	case f.excess(others) >= AvoidFailing:
		return Failing
	case others.Service > 0 && f.Service >= avoidSlow*others.Service && f.Service >= pastSlow*s.past:
		return Slow
	}
	return ""
}

// isFine reports whether the figures of an avoided upstream speak for its return.
func (g *Group) isFine(s *state, others Figures) bool {
	f := s.figures
	return f.excess(others) <= ReturnFailing && (others.Service == 0 || f.Service <= returnSlow*max(others.Service, s.past))
}

// others returns the medians of the figures of the other members that are not avoided, the lower
// one of the times and the upper one of the failing shares. A share tells little about an upstream with few reads,
// such as a primary: it is near 0 although the same reads would fail there too. It returns false
// if none of the others is known.
func (g *Group) others(now time.Time, name string, members []string) (Figures, bool) {
	var failing []float64
	var service []time.Duration
	for _, other := range members {
		s := g.states[other]
		if other == name || s == nil || s.why != "" || s.at.IsZero() || now.Sub(s.at) > figuresAge {
			continue
		}
		failing = append(failing, s.figures.Failing)
		if s.figures.Service > 0 {
			service = append(service, s.figures.Service)
		}
	}
	if len(failing) == 0 {
		return Figures{}, false
	}
	slices.Sort(failing)
	f := Figures{Failing: failing[len(failing)/2]}
	if len(service) > 0 {
		slices.Sort(service)
		f.Service = service[(len(service)-1)/2]
	}
	return f, true
}

// FailsBeyond reports whether an upstream fails more of its reads than the others, so that a read
// that failed there may succeed elsewhere.
func (g *Group) FailsBeyond(now time.Time, name string, members []string) bool {
	s := g.states[name]
	if s == nil || s.at.IsZero() {
		return false
	}
	others, ok := g.others(now, name, members)
	return s.why != "" || ok && s.figures.excess(others) >= RepeatFailing
}

// ProbeInterval is the time between the probes of an avoided upstream by all instances together.
const ProbeInterval = time.Second

// ProbeDue reports whether a read of this instance may probe an avoided upstream now.
func (g *Group) ProbeDue(now time.Time, name string) bool {
	s := g.states[name]
	return s != nil && s.why != "" && !now.Before(s.nextProbe)
}

// TakeProbe is ProbeDue for a read that probes the upstream. The interval to the next probe is
// that of this instance, with random variation; good answers shorten it.
func (g *Group) TakeProbe(now time.Time, name string, interval time.Duration) bool {
	if !g.ProbeDue(now, name) {
		return false
	}
	s := g.states[name]
	s.nextProbe = now.Add(interval / time.Duration(min(maxProbeRate, 1+s.better)))
	return true
}

package failover

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/wal"
)

const (
	// entryTimeout is the time after which the entry of an upstream that is cut off expires.
	entryTimeout = 4 * time.Second
	// contactWindow is the time after which an instance that is cut off passes no commits any more.
	contactWindow = 650 * time.Millisecond
)

// joinsWorld is a group whose upstreams join, leave and come back, with several gateways. Unlike in
// an orderedWorld, what one side does not learn is still done at the other, possibly later, and each
// side has its own view of the group.
type joinsWorld struct {
	t            *rapid.T
	now          time.Time
	upstreams    []*joinsUpstream
	gateways     []*joinsGateway
	coordinators []*joinsCoordinator
	events       []joinsEvent
	faulty       bool // calls may fail
	storeDown    bool
	names        int
	term         uint64
	primary      *joinsUpstream // the upstream that leads, also while it is down; nil after a demotion
	promoted     *joinsUpstream // the upstream that was promoted last
	commits      []*joinsCommit // by id
	drawn        uint64
	highestToken uint64
	orderDelay   time.Duration
	exact        bool // the gateways know the position of each commit
	steps        int
	lastAck      time.Time
	acks         int
	promotions   int
	gap          map[string]int // commits that were lost in the gap that remains, by obstacle
	carriedOut   joinsOrder     // the last order that took effect
	failure      string
	cutSince     time.Time // since when failure domain z is cut off; zero if it is not
}

// trace logs a step.
func (w *joinsWorld) trace(format string, args ...any) {
	w.t.Logf("%6d ms  "+format, append([]any{w.now.Sub(epoch).Milliseconds()}, args...)...)
}

// joinsUpstream is an upstream with its log of commits.
type joinsUpstream struct {
	name, domain          string
	log                   []int
	down, leaving, paused bool
	receives              bool
	listed                bool
	listAt, lapseAt       time.Time
	resumed               time.Time // when it last received again although it had been paused
}

// joinsCommit is a commit, and the gateway that told a caller of it.
type joinsCommit struct {
	term    uint64
	gateway *joinsGateway
	before  wal.Position
	sent    bool // the answer to the gateway is under way, or was given
	acked   bool
	cutOff  []*joinsUpstream // replicas that had it when it was acknowledged behind a cut
}

// joinsGateway is an instance that passes acknowledgements on.
type joinsGateway struct {
	gate    CommitGate
	term    uint64
	silent  bool // no other instance reaches it
	started time.Time
	domain  string
	held    []joinsAnswer
	seen    wal.Position // newest end of the log that an answer told
}

// joinsAnswer is the answer to a commit that waits at its gateway.
type joinsAnswer struct {
	id     int
	bounds Acknowledged
	until  time.Time
}

// joinsCoordinator is an instance that coordinates the group. Its gateway has the same index.
type joinsCoordinator struct {
	promotion    *OrderedPromotion
	coordinating bool
	cut          bool // it does not reach the primary
	stale        bool // its list of upstreams is not updated
	belief       string
	term         uint64
	list         []Candidate
	demoteFailed bool                        // a demotion by the present change got no answer
	demoted      bool                        // the present change has demoted the leading upstream, and was told so
	answered     *joinsFreeze                // the newest freeze with an answer
	unknown      map[*joinsGateway]time.Time // gateways that it does not know yet, until a time
	seen         map[string]bool             // upstreams that it has found in its list
	chosenFrom   map[string]bool             // seen at its last choice
	ordered      joinsOrder                  // its last order
}

// joinsFreeze is a freeze and the gateways that answered it.
type joinsFreeze struct {
	sent     time.Time
	token    uint64
	gateways []*joinsGateway
}

// joinsOrder is what was known when an order was sent.
type joinsOrder struct {
	upstream string
	seen     map[string]bool // upstreams that the coordinator had found in its list at the choice
	token    uint64
	freeze   *joinsFreeze // the newest with an answer
	answered []*joinsGateway
	obstacle string // why the leading upstream could not be demoted; "" if it was, or could have been
}

type joinsEvent struct {
	at time.Time
	f  func()
}

func newJoinsWorld(t *rapid.T) *joinsWorld {
	w := &joinsWorld{t: t, now: epoch, term: 1, faulty: true, lastAck: epoch, gap: make(map[string]int), commits: []*joinsCommit{nil}}
	w.orderDelay = time.Duration(rapid.SampledFrom([]int{100, 300, 1000}).Draw(t, "delay")) * time.Millisecond
	for range 3 {
		w.join(true)
	}
	w.primary, w.promoted = w.upstreams[0], w.upstreams[0]
	for _, domain := range []string{"x", "y", "z"} {
		w.gateways = append(w.gateways, &joinsGateway{started: epoch.Add(-time.Hour), domain: domain})
	}
	for range 2 {
		w.coordinators = append(w.coordinators, &joinsCoordinator{})
	}
	for k := range w.coordinators {
		w.startCoordinator(k)
	}
	return w
}

// startCoordinator starts a coordinating instance that knows nothing of before.
func (w *joinsWorld) startCoordinator(k int) {
	x := &joinsCoordinator{promotion: NewOrderedPromotion(uint64(k)), coordinating: true, unknown: make(map[*joinsGateway]time.Time), seen: make(map[string]bool)}
	if w.primary != nil {
		x.belief, x.term = w.primary.name, w.term
	}
	w.coordinators[k] = x
	w.refresh(x)
}

// join adds an upstream that receives.
func (w *joinsWorld) join(listed bool) *joinsUpstream {
	u := &joinsUpstream{name: string(rune('a' + w.names)), receives: true, listed: listed}
	u.domain = rapid.SampledFrom([]string{"x", "z"}).Draw(w.t, "domain")
	w.names++
	w.upstreams = append(w.upstreams, u)
	return u
}

func (w *joinsWorld) find(name string) *joinsUpstream {
	for _, u := range w.upstreams {
		if u.name == name {
			return u
		}
	}
	return nil
}

// refresh updates a coordinator's list of upstreams.
func (w *joinsWorld) refresh(x *joinsCoordinator) {
	if !w.storeDown {
		x.list = nil
		for _, u := range w.upstreams {
			if u.listed {
				x.seen[u.name] = true
				x.list = append(x.list, Candidate{Upstream: u.name, Ineligible: u.leaving, Domain: u.domain})
			}
		}
	}
	if x.belief != "" && !slices.ContainsFunc(x.list, func(c Candidate) bool { return c.Upstream == x.belief }) {
		x.belief = ""
	}
	x.promotion.SetMembers(w.now, x.belief, x.term, x.list)
}

// isCut reports whether a failure domain is cut off from the others.
func (w *joinsWorld) isCut(domain string) bool { return domain == "z" && !w.cutSince.IsZero() }

// connected reports whether two failure domains reach each other.
func (w *joinsWorld) connected(a, b string) bool { return w.isCut(a) == w.isCut(b) }

// isSilent reports whether no other instance reaches a gateway.
func (w *joinsWorld) isSilent(g *joinsGateway) bool { return g.silent || w.isCut(g.domain) }

// heal ends a cut. The entries behind it are back a little later.
func (w *joinsWorld) heal() {
	w.cutSince = time.Time{}
	for _, u := range w.upstreams {
		if u.domain == "z" && !u.listed {
			u.listAt = w.now.Add(w.ms("listed after", 0, 1500))
		}
	}
}

func (w *joinsWorld) after(d time.Duration, f func()) {
	w.events = append(w.events, joinsEvent{w.now.Add(d), f})
}

func (w *joinsWorld) ms(label string, low, high int) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(w.t, label)) * time.Millisecond
}

// call carries out f at the far end, and passes on whether it was answered in time.
func (w *joinsWorld) call(label string, limit time.Duration, f func() bool, answer func(ok bool)) {
	fate := 0
	if w.faulty {
		fate = rapid.IntRange(0, 15).Draw(w.t, label)
	}
	switch fate {
	case 11, 12: // answered a little later
		ok := f()
		w.after(w.ms("answer", 25, int(max(limit/time.Millisecond, 50))-25), func() { answer(ok) })
	case 13: // not carried out
		w.after(limit, func() { answer(false) })
	case 14: // carried out without an answer
		f()
		w.after(limit, func() { answer(false) })
	case 15: // carried out late
		late := w.ms("late", 50, 3000)
		if late < limit {
			w.after(late, func() { answer(f()) })
			return
		}
		w.after(late, func() { f() })
		w.after(limit, func() { answer(false) })
	default:
		answer(f())
	}
}

func (w *joinsWorld) position(log []int) wal.Position {
	if len(log) == 0 {
		return wal.Position{}
	}
	return wal.Position{Term: w.commits[log[len(log)-1]].term, Offset: uint64(len(log))}
}

func (w *joinsWorld) status(u *joinsUpstream) ReplicationStatus {
	return ReplicationStatus{Primary: u == w.primary, Term: w.term, Received: w.position(u.log)}
}

// step advances the time and lets everyone act.
func (w *joinsWorld) step() {
	const length = 25 * time.Millisecond
	w.now = w.now.Add(length)
	w.steps++
	w.runEvents()
	w.updateRegistry()
	w.commit()
	w.replicate()
	for _, g := range w.gateways {
		list := g.held
		g.held = nil
		for _, a := range list {
			w.pass(g, a)
		}
	}
	for k, x := range w.coordinators {
		if w.steps%10 == 0 {
			w.prove(x)
			if !x.stale {
				w.refresh(x)
			}
		}
		if !x.coordinating {
			w.perform(k, x, x.promotion.StopCoordinating(w.now))
			if x.promotion.Phase() == PhaseIdle {
				continue
			}
		}
		x.promotion.SetMembers(w.now, x.belief, x.term, x.list)
		w.perform(k, x, x.promotion.Tick(w.now))
	}
}

func (w *joinsWorld) runEvents() {
	for {
		k := slices.IndexFunc(w.events, func(e joinsEvent) bool { return !w.now.Before(e.at) })
		if k < 0 {
			return
		}
		f := w.events[k].f
		w.events = slices.Delete(w.events, k, k+1)
		f()
	}
}

// updateRegistry lists upstreams that are up and drops those that are not.
func (w *joinsWorld) updateRegistry() {
	if w.storeDown {
		return
	}
	for _, u := range w.upstreams {
		lapsed := u.down && !w.now.Before(u.lapseAt) || w.isCut(u.domain) && w.now.Sub(w.cutSince) >= entryTimeout
		switch {
		case !u.down && !w.isCut(u.domain) && !u.listed && !w.now.Before(u.listAt):
			u.listed = true
		case u.listed && lapsed:
			u.listed = false
		}
	}
}

// commit sends a commit by way of one of the gateways.
func (w *joinsWorld) commit() {
	if w.primary == nil || w.primary.down || w.steps%2 > 0 {
		return
	}
	g := w.gateways[w.steps/2%len(w.gateways)]
	if !w.connected(g.domain, w.primary.domain) {
		return
	}
	c := &joinsCommit{term: w.term, gateway: g, before: g.seen}
	if w.exact {
		c.before = wal.Position{Term: w.term, Offset: uint64(len(w.primary.log))}
	}
	w.commits = append(w.commits, c)
	w.primary.log = append(w.primary.log, len(w.commits)-1)
}

// replicate passes the primary's log to the replicas and answers commits that one of them has.
func (w *joinsWorld) replicate() {
	if w.primary == nil || w.primary.down {
		return
	}
	received := 0
	for _, u := range w.upstreams {
		if u != w.primary && !u.down && u.receives && !u.paused && w.connected(u.domain, w.primary.domain) {
			u.log = slices.Clone(w.primary.log)
			received = len(u.log)
		}
	}
	for i := received - 1; i >= 0; i-- {
		id := w.primary.log[i]
		c := w.commits[id]
		if c.sent || c.term < w.term {
			break
		}
		c.sent = true
		end := wal.Position{Term: c.term, Offset: uint64(i + 1)}
		if !w.exact {
			end = w.position(w.primary.log)
		}
		if !slices.Contains(w.gateways, c.gateway) {
			continue
		}
		delay := time.Duration(0)
		if w.faulty && rapid.IntRange(0, 15).Draw(w.t, "slow answer") > 12 {
			delay = w.ms("answer", 25, 600)
		}
		a := joinsAnswer{id, CommitBounds(c.before, end), w.now.Add(2 * time.Second)}
		if delay == 0 {
			w.pass(c.gateway, a)
			continue
		}
		w.after(delay, func() { w.pass(c.gateway, a) })
	}
}

// pass passes the answer to a commit through its gateway.
func (w *joinsWorld) pass(g *joinsGateway, a joinsAnswer) {
	if !slices.Contains(w.gateways, g) || !w.now.Before(a.until) {
		return
	}
	isNew := w.now.Sub(g.started) < 3*time.Second
	if w.isCut(g.domain) && (isNew || w.now.Sub(w.cutSince) >= contactWindow) {
		return // the gateway hears from too few others
	}
	g.term = max(g.term, a.bounds.Most.Term)
	if a.bounds.Most.Compare(g.seen) > 0 {
		g.seen = a.bounds.Most
	}
	if isNew {
		w.askForFreezes(g)
	}
	switch g.gate.Pass(w.now, g.term, a.bounds) {
	case PassageWait:
		g.held = append(g.held, a)
	case PassageOpen:
		w.trace("gateway %d acknowledges %d (%+v), term %d, gate %+v", slices.Index(w.gateways, g), a.id, a.bounds, g.term, g.gate)
		w.commits[a.id].acked = true
		for _, u := range w.upstreams {
			if w.isCut(g.domain) && u != w.promoted && slices.Contains(u.log, a.id) {
				w.commits[a.id].cutOff = append(w.commits[a.id].cutOff, u)
			}
		}
		w.lastAck = w.now
		w.acks++
		if w.primary != nil && !slices.Contains(w.primary.log, a.id) {
			w.lose("a commit is acknowledged that the primary lacks", a.id, w.carriedOut)
		}
	}
}

// askForFreezes freezes a new gateway as the others are.
func (w *joinsWorld) askForFreezes(g *joinsGateway) {
	for _, o := range w.gateways {
		if o != g && !o.silent && w.connected(o.domain, g.domain) && o.gate.token > 0 && w.now.Sub(o.gate.frozenAt) < FreezeTimeout {
			g.gate.Freeze(w.now, o.gate.term, o.gate.token)
		}
	}
}

// prove shows a coordinator that the primary works, sometimes a little late.
func (w *joinsWorld) prove(x *joinsCoordinator) {
	if w.primary == nil || w.primary.down || x.cut || w.isCut(w.primary.domain) {
		return
	}
	primary, term, at := w.primary.name, w.term, w.now
	f := func() {
		if term < x.term {
			return
		}
		x.belief, x.term = primary, term
		x.promotion.HandlePrimarySeen(w.now, primary)
		if (x.coordinating || x.promotion.Pauses()) && x.promotion.Reason() != ReasonUnanswered {
			x.promotion.HandlePrimaryConfirmed(w.now, at, primary)
		}
	}
	if w.faulty && rapid.IntRange(0, 15).Draw(w.t, "slow proof") > 13 {
		w.after(w.ms("proof", 25, 300), f)
		return
	}
	f()
}

// start begins a change.
func (w *joinsWorld) start(x *joinsCoordinator, planned bool, reason string) {
	if x.promotion.Start(w.now, planned, reason) {
		w.trace("a change begins: planned %t, %s", planned, reason)
		x.demoteFailed, x.demoted, x.answered = false, false, nil
	}
}

// perform carries out commands of a coordinator.
func (w *joinsWorld) perform(k int, x *joinsCoordinator, list []Command) {
	o := joinsOrder{seen: x.chosenFrom, obstacle: w.findObstacle(x), freeze: x.answered} // when the commands were decided
	for _, c := range list {
		w.performCommand(k, x, c, o)
	}
}

func (w *joinsWorld) performCommand(k int, x *joinsCoordinator, c Command, o joinsOrder) {
	w.trace("coordinator %d: %+v", k, c)
	const limit = 400 * time.Millisecond
	p, sent := x.promotion, w.now
	u := w.find(c.Upstream)
	reached := func() bool { return u != nil && !u.down && !w.isCut(u.domain) }
	errorOf := func(ok bool) error {
		if ok {
			return nil
		}
		return errNoAnswer
	}
	switch c.Action {
	case ActionDrawToken:
		var token uint64
		w.call("draw", limit, func() bool {
			if w.storeDown {
				return false
			}
			w.drawn++
			token = w.drawn
			return true
		}, func(ok bool) {
			if !ok {
				return
			}
			p.HandleToken(w.now, token, token-1)
			for _, y := range w.coordinators {
				if y != x {
					y.promotion.HandleNewerToken(w.now, token)
				}
			}
		})
	case ActionRaiseToken:
		w.call("raise", time.Second, func() bool {
			w.highestToken = max(w.highestToken, c.Token)
			return true
		}, func(ok bool) {
			if ok {
				p.HandleTokenRaised(w.now, c.Token)
			}
		})
	case ActionHold:
		p.HandleHold(w.now, 0)
	case ActionListUpstreams:
		x.chosenFrom = maps.Clone(x.seen)
		if w.storeDown || x.stale {
			w.after(limit, func() { p.HandleList(w.now) })
			return
		}
		w.refresh(x)
		p.HandleList(w.now)
	case ActionSurvey:
		var s ReplicationStatus
		w.call("survey", limit, func() bool {
			if !reached() {
				return false
			}
			s = w.status(u)
			return true
		}, func(ok bool) { p.HandleSurvey(w.now, sent, c.Upstream, s.Primary, s.Received, errorOf(ok)) })
	case ActionPause:
		var s ReplicationStatus
		w.call("pause", limit, func() bool {
			if !reached() {
				return false
			}
			u.paused = u.paused || u != w.primary && c.Term > w.term
			s = w.status(u)
			return true
		}, func(ok bool) { p.HandlePause(w.now, sent, c.Upstream, s, errorOf(ok)) })
	case ActionDemote:
		var s ReplicationStatus
		w.call("demote", limit, func() bool {
			if !reached() || !slices.ContainsFunc(x.list, func(r Candidate) bool { return r.Upstream == c.Upstream }) {
				return false
			}
			led := u == w.primary
			if led && c.Term > w.term {
				w.primary = nil
			}
			s = w.status(u)
			s.Led = led && !s.Primary
			return true
		}, func(ok bool) {
			x.demoteFailed = x.demoteFailed || !ok
			x.demoted = x.demoted || ok && s.Led && p.Phase() == PhasePause
			p.HandleDemote(w.now, sent, c.Upstream, s, errorOf(ok), time.Time{})
		})
	case ActionFreeze:
		w.freeze(k, x, c)
	case ActionOrderPromotion:
		w.order(k, x, c, o)
	}
}

// freeze freezes the gateways that a coordinator knows.
func (w *joinsWorld) freeze(k int, x *joinsCoordinator, c Command) {
	sent, p := w.now, x.promotion
	f := &joinsFreeze{sent: sent, token: c.Token}
	var answers []FreezeAnswer
	var silent []string
	for i, g := range w.gateways {
		if sent.Before(x.unknown[g]) && !w.isCut(g.domain) { // behind a cut the one before stays in the list
			continue
		}
		take := func() bool {
			g.gate.Freeze(w.now, c.Term, c.Token)
			answers = append(answers, g.gate.Answer(w.now, g.started, 0))
			f.gateways = append(f.gateways, g)
			return true
		}
		fate := 0
		switch {
		case i == k:
		case w.isSilent(g):
			fate = 3
		case w.faulty:
			fate = max(0, rapid.IntRange(0, 15).Draw(w.t, "freeze")-12)
		}
		switch fate {
		case 0:
			take()
		case 1: // carried out without an answer
			g.gate.Freeze(w.now, c.Term, c.Token)
			silent = append(silent, g.domain)
		case 2: // carried out late
			w.after(w.ms("late", 400, 3000), func() { g.gate.Freeze(w.now, c.Term, c.Token) })
			silent = append(silent, g.domain)
		case 3:
			silent = append(silent, g.domain)
		}
	}
	answer := func() {
		if x.answered == nil || sent.After(x.answered.sent) {
			x.answered = f
		}
		p.HandleFreeze(w.now, sent, c, answers, silent)
	}
	if len(silent) > 0 {
		w.after(400*time.Millisecond, answer)
		return
	}
	answer()
}

// order announces a promotion and orders it.
func (w *joinsWorld) order(k int, x *joinsCoordinator, c Command, o joinsOrder) {
	p, kept, ended := x.promotion, x.promotion.KeptPosition(), x.promotion.Term()
	w.trace("coordinator %d keeps %v, frozen %+v", k, kept, x.answered)
	for i, g := range w.gateways {
		switch {
		case i == k:
			g.gate.Keep(w.now, c.Token, ended, kept)
		case w.isSilent(g) || w.now.Before(x.unknown[g]):
		default:
			w.call("keep", 0, func() bool { g.gate.Keep(w.now, c.Token, ended, kept); return true }, func(bool) {})
		}
	}
	if c.Token == x.ordered.token {
		o.obstacle = x.ordered.obstacle // the order is repeated
	}
	o.upstream, o.token = c.Upstream, c.Token
	x.ordered = o
	if o.freeze != nil && o.freeze.token == c.Token {
		o.answered = o.freeze.gateways
	}
	response := ResponseUnknown
	w.call("order", time.Second, func() bool {
		response = w.accept(o)
		return true
	}, func(ok bool) {
		if !ok {
			response = ResponseUnknown
		}
		primary, out := p.HandleOrder(w.now, c, response)
		if primary != "" {
			x.belief = primary
			for _, y := range w.coordinators {
				if y == x {
					continue
				}
				w.call("lead", 0, func() bool {
					y.belief = primary
					y.promotion.HandleKept(kept)
					y.promotion.HandlePrimaryConfirmed(w.now, w.now, primary)
					return true
				}, func(bool) {})
			}
		}
		w.perform(k, x, out)
	})
}

// findObstacle returns why a coordinator could not demote the leading upstream, or "".
func (w *joinsWorld) findObstacle(x *joinsCoordinator) string {
	u := w.primary
	switch {
	case x.demoted:
		return ""
	case x.demoteFailed:
		return "a demotion got no answer"
	case u == nil:
		return "another change demoted it"
	case u.down:
		return "it is down"
	case w.isCut(u.domain):
		return "it is cut off"
	case !slices.ContainsFunc(x.list, func(r Candidate) bool { return r.Upstream == u.name }):
		return "it is not listed"
	}
	return ""
}

// accept answers an order at the platform.
func (w *joinsWorld) accept(o joinsOrder) OrderResponse {
	u := w.find(o.upstream)
	if o.token < w.highestToken || u == nil || u.down || w.isCut(u.domain) {
		return ResponseRefused
	}
	w.highestToken = o.token
	if u != w.primary {
		w.after(w.orderDelay, func() { w.promote(o) })
	}
	return ResponseDone
}

// promote makes an upstream the primary of the next term.
func (w *joinsWorld) promote(o joinsOrder) {
	u := w.find(o.upstream)
	if u == nil || u.down || u == w.primary {
		return
	}
	w.primary, w.promoted = u, u
	w.trace("%s leads term %d from %v", u.name, w.term+1, w.position(u.log))
	w.term++
	w.promotions++
	w.carriedOut = o
	for _, x := range w.coordinators {
		x.demoteFailed, x.demoted = false, false // another upstream was demoted
	}
	for id, c := range w.commits {
		if c == nil || !c.acked || slices.Contains(u.log, id) {
			continue
		}
		w.lose("a promotion lost a commit", id, o)
	}
	for _, r := range w.upstreams {
		r.paused = false
		if !r.down {
			r.log = commonPrefix(r.log, u.log)
		}
	}
}

// lose counts a lost commit if it is lost in the gap that remains: its gateway did not answer the
// freeze of the change, and the old primary could not be demoted. Any other loss is a failure, and so
// is that of a commit behind a cut that a replica there still has, which the coordinator has known.
func (w *joinsWorld) lose(what string, id int, o joinsOrder) {
	c := w.commits[id]
	c.acked = false
	switch {
	case o.obstacle != "" && !slices.Contains(o.answered, c.gateway) && !w.isHeldBehindCut(id, o):
		w.gap[o.obstacle]++
	case w.failure == "":
		w.failure = what
		w.t.Logf("%s: commit %d of term %d, now %v, primary %v, obstacle %q, answered %t, held behind a cut %t of %v", what, id, c.term, w.now.Sub(epoch), w.primary.name,
			o.obstacle, slices.Contains(o.answered, c.gateway), w.isHeldBehindCut(id, o), slices.Collect(maps.Keys(o.seen)))
	}
}

// resume lets an upstream that starts again receive again.
func (w *joinsWorld) resume(u *joinsUpstream) {
	if u.paused {
		u.paused, u.resumed = false, w.now
	}
}

// isHeldBehindCut reports whether a replica that had a commit when it was acknowledged behind a cut still
// runs, and the coordinator has known it. A replica that starts again after its answer to a pause is
// left out: the answer counts for pauseValidity.
func (w *joinsWorld) isHeldBehindCut(id int, o joinsOrder) bool {
	return slices.ContainsFunc(w.commits[id].cutOff, func(u *joinsUpstream) bool {
		resumed := !u.resumed.IsZero() && w.now.Sub(u.resumed) < pauseValidity+2*time.Second
		return o.seen[u.name] && !u.down && !resumed && slices.Contains(w.upstreams, u) && slices.Contains(u.log, id)
	})
}

// crash takes an upstream down. It is back later, perhaps under another name.
func (w *joinsWorld) crash(u *joinsUpstream) {
	u.down, u.lapseAt = true, w.now.Add(2*time.Second)
}

func (w *joinsWorld) comeBack(u *joinsUpstream, renamed bool) {
	w.resume(u)
	u.down, u.listAt = false, w.now.Add(w.ms("listed after", 0, 1500))
	if renamed {
		u.name, u.listed = string(rune('a'+w.names)), false
		w.names++
	}
	if w.primary != nil && u != w.primary && !w.primary.down {
		u.log = commonPrefix(u.log, w.primary.log)
	}
}

// leave ends an upstream for good, unless it is the last one with an acknowledged commit.
func (w *joinsWorld) leave(u *joinsUpstream) {
	if u == w.primary || len(w.upstreams) < 2 {
		return
	}
	for _, id := range u.log {
		if w.commits[id].acked && !slices.ContainsFunc(w.upstreams, func(o *joinsUpstream) bool { return o != u && slices.Contains(o.log, id) }) {
			return
		}
	}
	w.upstreams = slices.DeleteFunc(w.upstreams, func(o *joinsUpstream) bool { return o == u })
}

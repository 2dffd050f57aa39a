package failover

// An ordered promotion moves a group to another primary where the platform carries out
// the promotion: the coordinator names an upstream, and the platform makes that upstream
// the primary of the next term with the log that it has received. No majority of the
// upstreams is fenced here. These rules keep acknowledged commits instead:
//
//   - A commit is acknowledged only after at least one replica has received it. Before an
//     order, all listed replicas are paused, and the one that has received most is chosen. A
//     replica that does not answer may be the only replica that holds a commit, so the
//     promotion waits for its answer, unless the old primary was demoted.
//   - A replica that is not listed yet may receive, and the only one that has received may be
//     gone for good. So the instances that acknowledge commits tell which ones, and
//     acknowledge no others while the change lasts; see holder.go. Nothing is ordered that
//     lacks what they have told, however long it takes until an upstream has it.
//   - Each order carries a fencing token. Tokens increase, and no token is used for two
//     decisions. The platform refuses an order with a token below the highest token that
//     it has seen. If another instance may hold an older token, the new token is sent to
//     the platform before replicas are paused, and orders that it accepted earlier get the
//     time to take effect. So no order of another instance takes effect between the
//     answers to the pauses and this instance's order.
//   - A replica that disappears from the list of upstreams may hold a commit that was
//     acknowledged by an instance which is gone, and comes back with its log if it has
//     crashed. So a failover without the old primary orders nothing for vanishedTimeout, also
//     if the replica disappeared before the change began. A replica that was leaving does not
//     come back.
//   - Entries also disappear behind a cut, where the old primary and a replica go on together with
//     the instances there. So no target is chosen while one of them may be the only holder of
//     commits that a silent instance has acknowledged, in a switchover as little as in a failover.
//   - After a promotion, the new primary may be the only upstream that is left with commits
//     which were acknowledged before. No replica is paused while none of them has the position
//     that the promotion kept and the primary is seen to work, and for vanishedTimeout if it is
//     not: it comes back with its log.
//   - The platform may carry out an order later although it did not answer, so an order
//     is repeated until it is answered.
//   - A paused replica is never told to resume, since another instance may have paused it
//     for its own choice of a target. Only a promotion lets the replica receive again, so
//     a change that has paused a replica is carried through, even if the old primary is
//     back. To make that rare, all replicas must be reached before the first is paused. An
//     order for the old primary itself helps only after its demotion. Otherwise the platform
//     answers it and changes nothing, so the replicas would stay paused.
//
// An OrderedPromotion is used by one goroutine at a time. It has no clock: results and
// Tick carry the time.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"burdockseam/core/wal"
)

// Time limits and intervals of an ordered promotion.
const (
	// holdTimeout bounds the wait for running transactions before a switchover. Commits that
	// run longer get an unknown outcome.
	holdTimeout = 700 * time.Millisecond
	// pauseValidity is the age up to which an answer to a pause or a survey counts. A replica
	// that restarts receives again, so an older answer proves nothing.
	pauseValidity = 2 * time.Second
	// listTimeout bounds the wait for the store's list of upstreams before the order. Without
	// an answer of the store, the upstreams known so far are used.
	listTimeout = 400 * time.Millisecond
	// commandInterval is the time after which an unanswered command is repeated. It is above
	// the time limit of a single command.
	commandInterval = 450 * time.Millisecond
	// retryInterval is the wait before a command that was answered with an error is repeated.
	retryInterval = 150 * time.Millisecond
	// redrawDelay is the wait before an instance draws its next token after it learned of
	// another instance's newer token. Two instances that coordinate the group at the same time
	// outdate each other's tokens; with this delay they agree on a token within about a
	// second.
	redrawDelay = time.Second
	// idleDrawDelay is the time for which an instance must have been the group's coordinator
	// before it draws a token in advance. An instance that starts sees only itself until it
	// has read the table of instances again, and would draw a token for every group of the
	// fleet.
	idleDrawDelay = time.Second
	// minIdleRaiseInterval is the time between the first two attempts to send the platform a
	// token while no change is under way. The interval doubles up to maxIdleRaiseInterval: the
	// platform answers only a few calls a second from the whole fleet, and must not refuse
	// orders because of these calls.
	minIdleRaiseInterval = 3 * time.Second
	maxIdleRaiseInterval = time.Minute
	// primarySeenValidity is the time for which the old primary counts as working after it was
	// last seen to work. It is above the time between two checks of the primary, even if they
	// fail and are repeated.
	primarySeenValidity = 1500 * time.Millisecond
	// vanishedTimeout bounds the wait for a replica whose entry disappeared. A replica that
	// restarts is back within seconds; the wait must end, because a group without a replica
	// acknowledges nothing.
	vanishedTimeout = 8 * time.Second
	// orderEffectTime is the time within which an accepted order takes effect. Promotions take
	// up to a second.
	orderEffectTime = 1200 * time.Millisecond
	// maxRivalDelay bounds the random delay before an instance whose order was refused sends
	// its next token. The delay lets the other instance go first whose newer token caused the
	// refusal. It is a few times orderEffectTime, so that one of two instances that order
	// against each other gets through.
	maxRivalDelay = 4 * time.Second
	// changeCooldown is the time after a change in which no other change begins. It is above
	// orderEffectTime, since this instance's order must have taken effect before replicas are
	// paused again (NO_SETTLE in spec/ordered.pml).
	changeCooldown = 1500 * time.Millisecond
)

// candidateState is a candidate and its last answers. The old primary has an entry as well.
type candidateState struct {
	Candidate
	status      ReplicationStatus
	pausedAt    time.Time    // when the last answered pause was sent; zero without an answer
	surveyedAt  time.Time    // when the last answered survey was sent; zero without an answer
	position    wal.Position // position of its log in the last answer to a survey; zero if unknown
	nextCommand time.Time    // earliest time of the next command to the replica
	pauseTerm   uint64       // term of the last pause that was sent
}

// OrderedPromotion is the state machine of one group's ordered promotions.
type OrderedPromotion struct {
	primary             string
	term                uint64 // highest term seen
	candidates          []*candidateState
	vanished            []*vanishedCandidate // upstreams whose entries disappeared a short time ago
	lastPrimary         string               // last known primary, or ""
	former              string               // primary before lastPrimary, or ""
	formerSince         time.Time            // when it was replaced
	primarySeen         time.Time            // when the old primary was last seen to work as primary
	phase               Phase
	since               time.Time // start of the phase
	nextCommand         time.Time // earliest time of the phase's next command
	nextDraw            time.Time // earliest time of the next draw
	nextIdleDraw        time.Time // earliest time of a draw while no change is under way
	token               uint64    // token at hand, unused or in use by the present change; 0 if there is none
	lastDrawn           uint64    // last token that this instance drew
	olderTokenElsewhere bool      // another instance may hold an older token that the platform still accepts
	orderRefused        bool      // an order of the present change was refused
	random              *rand.Rand
	nextRaise           time.Time     // earliest time of the next raise
	raiseInterval       time.Duration // time between two raises while no change is under way
	raisedAt            time.Time     // when the platform confirmed the token; zero if it has not
	planned             bool          // the change is a switchover
	heldUpstream        string        // upstream whose new work is held; "" if there is none
	target              string
	keptPosition        wal.Position // what the target had received when it was chosen
	evidence            Evidence     // what was known then
	lastKept            wal.Position // what the last promotion kept; all commits acknowledged before it are in there
	lackingSince        time.Time    // since when no replica has lastKept; zero if one has
	acknowledged        Acknowledged // commits that the gateways have told
	freeze              freeze
	holder              holder
	pausesSince         time.Time // when the change first went on to pauses
	openOrders          int       // orders without an answer, which may still be carried out
	finishedAt          time.Time
	reason              string

	// The rest is used only on a platform that does not check fencing tokens.
	recorded        bool
	unfinished      string    // target of an order that may still be carried out; "" if there is none
	unfinishedToken uint64    // token of that order
	unfinishedSince time.Time // when that order became known, or was last sent by this instance
	answered        uint64    // token of this instance's last order that was answered
	unansweredAt    time.Time // time of this instance's last order without an answer
	noContact       bool      // this instance hears from too few others
	pausing         bool      // the change has sent a pause
	ordersSent      int       // orders of the change that may have been sent
	undemoted       string    // former primary that was not reached before its successor was ordered
	nextDemote      time.Time // earliest time of the next attempt to demote it
}

// NewOrderedPromotion returns the state machine of a group about which nothing is known. The
// seed is for the random delays that let other instances go first.
func NewOrderedPromotion(seed uint64) *OrderedPromotion {
	return &OrderedPromotion{phase: PhaseIdle, random: rand.New(rand.NewPCG(seed, 0))}
}

// Phase returns the present phase.
func (c *OrderedPromotion) Phase() Phase { return c.phase }

// Reason returns the reason that was passed to Start for the present change.
func (c *OrderedPromotion) Reason() string { return c.reason }

// Target returns the upstream that the present change has chosen as the new primary, or ""
// before the first choice.
func (c *OrderedPromotion) Target() string { return c.target }

// KeptPosition returns the position up to which the target's promotion keeps the commits of
// the old primary. Later commits were not acknowledged when the replicas were paused, but a
// replica that has started since is not paused and may acknowledge such commits.
func (c *OrderedPromotion) KeptPosition() wal.Position { return c.keptPosition }

// Term returns the newest term that is known, which the present change ends.
func (c *OrderedPromotion) Term() uint64 { return c.term }

// HandleKept records that a promotion was carried out, and the position up to which it kept the
// commits of the primary before.
func (c *OrderedPromotion) HandleKept(kept wal.Position) {
	if kept.Compare(c.lastKept) > 0 {
		c.lastKept = kept
	}
}

// HasToken reports whether a fencing token is at hand.
func (c *OrderedPromotion) HasToken() bool { return c.token > 0 }

// Start begins a change of the primary, which is a switchover if planned is set and a failover
// otherwise, and reports whether it did. It does not begin while a change is under way or
// within changeCooldown after the last change, in a group without a replica, or for a
// switchover without an eligible target.
func (c *OrderedPromotion) Start(now time.Time, planned bool, reason string) bool {
	if c.phase != PhaseIdle || now.Sub(c.finishedAt) < changeCooldown || len(c.candidates) < 2 || planned && !c.hasEligibleTarget() {
		return false
	}
	if c.recorded && now.Sub(c.unansweredAt) < lateOrderTime {
		return false // the unanswered order would undo this change
	}
	c.planned, c.reason, c.target, c.orderRefused = planned, reason, "", false
	c.pausing, c.ordersSent = false, 0
	c.freeze, c.holder, c.pausesSince = freeze{}, holder{}, time.Time{}
	for _, v := range c.vanished {
		v.before = true
	}
	c.nextRaise = now
	c.enterPhase(now, PhaseSurvey)
	return true
}

// hasEligibleTarget reports whether the group has an eligible target for a switchover.
func (c *OrderedPromotion) hasEligibleTarget() bool {
	return slices.ContainsFunc(c.candidates, func(r *candidateState) bool { return !r.Ineligible && r.Upstream != c.primary })
}

// enterPhase begins a phase. A survey and a pause start without the earlier answers of the
// replicas.
func (c *OrderedPromotion) enterPhase(now time.Time, p Phase) {
	if p == PhaseSurvey || p == PhasePause {
		for _, r := range c.candidates {
			r.pausedAt, r.surveyedAt, r.nextCommand, r.position = time.Time{}, time.Time{}, time.Time{}, wal.Position{}
		}
		c.lackingSince = time.Time{}
	}
	if p == PhasePause && c.pausesSince.IsZero() {
		c.pausesSince = now
	}
	c.phase, c.since, c.nextCommand = p, now, now
}

// HandlePrimarySeen records that an upstream was seen to work as the primary.
func (c *OrderedPromotion) HandlePrimarySeen(now time.Time, primary string) {
	if primary == c.primary {
		c.primarySeen = now
	}
}

// HandlePrimaryConfirmed records that an upstream was proven to be the primary at a time, or was
// promoted by another instance. A change in PhaseSurvey, which has paused no replica yet, is
// given up, unless it is a switchover away from that upstream. In PhasePause and PhaseList,
// the replicas are paused again if the primary is another one than before. If it is the same,
// the change ends unless it has sent a pause.
func (c *OrderedPromotion) HandlePrimaryConfirmed(now, at time.Time, primary string) {
	switch {
	case c.holder.upstream != "" && primary == c.holder.upstream && at.Before(c.holder.since):
		// It was seen to lead before its demotion.
	case c.phase == PhaseSurvey && (!c.planned || primary != c.primary):
		c.setPrimary(now, primary)
		if !c.pausing {
			c.enterPhase(now, PhaseIdle)
		}
	case (c.phase == PhasePause || c.phase == PhaseList) && primary == c.primary:
		if c.mayEnd(now, at) {
			c.enterPhase(now, PhaseIdle)
		}
	case (c.phase == PhasePause || c.phase == PhaseList) && primary != c.primary:
		// The promotion of this upstream has ended the pauses.
		c.setPrimary(now, primary)
		c.enterPhase(now, PhasePause)
	}
}

// StartCoordinating records that this instance became the group's coordinator.
func (c *OrderedPromotion) StartCoordinating(now time.Time) { c.nextIdleDraw = now.Add(idleDrawDelay) }

// StopCoordinating gives up the change of an instance that is no longer the group's
// coordinator, as long as the change is in PhaseSurvey. A later change may have paused
// replicas and is carried through. If the instance's order was refused, another instance has
// ordered a promotion and carries it through, so the change is then given up in PhasePause as
// well.
func (c *OrderedPromotion) StopCoordinating(now time.Time) []Command {
	switch {
	case c.phase == PhaseSurvey && !c.pausing:
		c.enterPhase(now, PhaseIdle)
	case c.phase == PhasePause && c.orderRefused:
		c.enterPhase(now, PhaseIdle)
		return c.releaseHeld()
	}
	return nil
}

// Tick returns the commands that are due at now.
func (c *OrderedPromotion) Tick(now time.Time) []Command {
	var out []Command
	out = append(out, c.checkContact(now)...)
	if c.token == 0 && !now.Before(c.nextDraw) && (c.phase != PhaseIdle || !now.Before(c.nextIdleDraw)) {
		c.nextDraw = now.Add(commandInterval)
		out = append(out, Command{Action: ActionDrawToken})
	}
	out = append(out, c.demoteLate(now)...)
	if c.token > 0 && c.olderTokenElsewhere && c.raisedAt.IsZero() && !now.Before(c.nextRaise) {
		c.nextRaise = now.Add(commandInterval)
		if c.phase == PhaseIdle {
			c.raiseInterval = min(max(minIdleRaiseInterval, 2*c.raiseInterval), maxIdleRaiseInterval)
			c.nextRaise = now.Add(c.raiseInterval)
		}
		out = append(out, Command{Action: ActionRaiseToken, Token: c.token})
	}
	switch c.phase {
	case PhaseSurvey:
		out = append(out, c.surveyReplicas(now)...)
	case PhaseHold:
		if now.Sub(c.since) >= holdTimeout {
			c.enterPhase(now, PhasePause)
			break
		}
		if !now.Before(c.nextCommand) {
			c.nextCommand = now.Add(retryInterval / 3)
			out = append(out, Command{Action: ActionHold, Upstream: c.heldUpstream})
		}
	case PhasePause:
		out = append(out, c.pauseReplicas(now)...)
	case PhaseList:
		out = append(out, c.freezeCommits(now, true)...)
		if now.Sub(c.since) >= listTimeout {
			c.chooseTarget(now)
		}
	case PhaseDemote:
		out = append(out, c.demoteOld(now)...)
	case PhaseOrder:
		out = append(out, c.freezeCommits(now, true)...)
		out = append(out, c.orderPromotion(now)...)
	}
	return out
}

// surveyReplicas asks all replicas whether they are the primary. Once all have answered and no
// older order can take effect, the next phase begins. A switchover is given up if a replica
// does not answer in time, since the old primary still works.
func (c *OrderedPromotion) surveyReplicas(now time.Time) []Command {
	var out []Command
	allReached := len(c.replicas()) > 0
	lacking := c.lacksCommits()
	for _, r := range c.replicas() {
		surveyed := !r.surveyedAt.IsZero() && now.Sub(r.surveyedAt) < pauseValidity
		if surveyed && !lacking {
			continue
		}
		allReached = allReached && surveyed
		if !now.Before(r.nextCommand) {
			r.nextCommand = now.Add(commandInterval)
			out = append(out, Command{Action: ActionSurvey, Upstream: r.Upstream})
		}
	}
	switch {
	case allReached && c.mustWaitForKept(now, lacking):
	case allReached && (c.noContact || c.mustWaitForVanished(now)):
	case allReached && c.clear(now) && c.planned:
		c.heldUpstream = c.primary
		c.enterPhase(now, PhaseHold)
	case allReached && c.clear(now):
		c.enterPhase(now, PhasePause)
	case c.planned && !c.pausing && now.Sub(c.since) >= pauseValidity:
		c.enterPhase(now, PhaseIdle)
	}
	return out
}

// lacksCommits reports whether each replica has told a position before the one that the last
// promotion kept, so that none of them has all commits that were acknowledged before it.
func (c *OrderedPromotion) lacksCommits() bool {
	for _, r := range c.replicas() {
		if r.position == (wal.Position{}) || r.position.Compare(c.lastKept) >= 0 {
			return false
		}
	}
	return true
}

// mustWaitForKept reports whether no replica may be paused yet, because none has what the last
// promotion kept. The primary has it.
func (c *OrderedPromotion) mustWaitForKept(now time.Time, lacking bool) bool {
	if !lacking {
		c.lackingSince = time.Time{}
		return false
	}
	if c.lackingSince.IsZero() {
		c.lackingSince = now
	}
	seen := now.Sub(c.primarySeen) < primarySeenValidity
	if !c.recorded && seen && c.reason == ReasonUnanswered {
		return false // it can be demoted, and ordered again if no other upstream has as much
	}
	return seen || now.Sub(c.lackingSince) < vanishedTimeout
}

// HandleSurvey takes a replica's answer to a survey that was sent at the given time: whether
// the replica is the primary and the position of its log, or the error of the request.
func (c *OrderedPromotion) HandleSurvey(now, sent time.Time, upstream string, isPrimary bool, position wal.Position, err error) {
	r := c.findCandidate(upstream)
	switch {
	case r == nil || c.phase != PhaseSurvey:
	case err != nil:
		r.nextCommand = now.Add(retryInterval)
	case isPrimary:
		c.HandlePrimaryConfirmed(now, sent, upstream)
	default:
		r.surveyedAt, r.position = sent, position
	}
}

// replicas returns the candidates that must be paused: all but the old primary.
func (c *OrderedPromotion) replicas() []*candidateState {
	var list []*candidateState
	for _, r := range c.candidates {
		if r.Upstream != c.primary {
			list = append(list, r)
		}
	}
	return list
}

// pauseReplicas pauses all replicas, freezes the gateways and demotes the old primary once no
// older order can take effect any more. When the answers suffice to choose a target, it asks for
// the present list of upstreams.
func (c *OrderedPromotion) pauseReplicas(now time.Time) []Command {
	if !c.clear(now) {
		return nil // an order of another instance may still end the pauses
	}
	allPaused := !slices.ContainsFunc(c.replicas(), func(r *candidateState) bool { return !r.isPaused(now) })
	others := append(c.freezeCommits(now, allPaused || c.mayLeaveOut(now)), c.demoteHolder(now, allPaused)...)
	if c.mustWaitForVanished(now) {
		return others
	}
	var out []Command
	for _, r := range c.replicas() {
		if r.isPaused(now) {
			continue
		}
		if !now.Before(r.nextCommand) {
			r.nextCommand, r.pauseTerm = now.Add(commandInterval), c.term+1
			c.pausing = true
			out = append(out, Command{Action: ActionPause, Upstream: r.Upstream, Term: c.term + 1})
		}
	}
	if (allPaused || c.mayLeaveOut(now)) && len(c.replicas()) > 0 && c.mayChoose(now) {
		c.enterPhase(now, PhaseList)
		out = append(out, Command{Action: ActionListUpstreams})
	}
	return append(out, others...)
}

// clear reports whether a token is at hand and no order with an older token can
// take effect any more.
func (c *OrderedPromotion) clear(now time.Time) bool {
	if c.recorded {
		return c.token > 0 && c.settled(now)
	}
	return c.token > 0 && (!c.olderTokenElsewhere || !c.raisedAt.IsZero() && now.Sub(c.raisedAt) >= orderEffectTime)
}

// orderPromotion orders the promotion of the target, and repeats the order until it is answered.
func (c *OrderedPromotion) orderPromotion(now time.Time) []Command {
	if now.Before(c.nextCommand) {
		return nil
	}
	opened := !c.recorded && len(c.freeze.silentDomains) > c.freeze.chosenSilent && now.Sub(c.since) >= freezeValidity
	lacks := c.keptPosition.Compare(c.acknowledged.Least) < 0 && c.acknowledged.Least.Term <= c.term
	if lacks || opened {
		// An instance that was silent has told of commits that the target lacks, or one does not
		// renew its freeze and may acknowledge others. The next target needs another token,
		// because the order may have been sent.
		c.token, c.nextDraw, c.orderRefused = 0, now, true
		c.enterPhase(now, PhasePause)
		return nil
	}
	if c.ordersSent == 0 && now.Sub(c.since) >= pauseValidity {
		c.enterPhase(now, PhasePause) // this instance was suspended
		return nil
	}
	if !c.isFrozen(now) {
		return nil
	}
	c.nextCommand = now.Add(commandInterval)
	c.ordersSent++
	c.openOrders++
	return []Command{{Action: ActionOrderPromotion, Upstream: c.target, Token: c.token}}
}

// finishChange ends the change and gives up its token, which must not be used again.
func (c *OrderedPromotion) finishChange(now time.Time) []Command {
	c.enterPhase(now, PhaseIdle)
	c.token, c.nextDraw = 0, now
	if c.recorded {
		c.nextDraw = now.Add(orderEffectTime) // the next token object no longer has the target
	}
	return c.releaseHeld()
}

// releaseHeld lets the old primary accept new work again if its work was held.
func (c *OrderedPromotion) releaseHeld() []Command {
	if c.heldUpstream == "" {
		return nil
	}
	held := c.heldUpstream
	c.heldUpstream = ""
	return []Command{{Action: ActionRelease, Upstream: held}}
}

// HandleToken takes a token that was drawn from the store, and the token that was drawn before
// it, or 0. If this instance did not draw the earlier token, another instance may hold it.
func (c *OrderedPromotion) HandleToken(now time.Time, token, before uint64) {
	if c.token != 0 {
		return
	}
	c.olderTokenElsewhere = before != 0 && (before != c.lastDrawn || c.openOrders > 0)
	c.freeze.next = time.Time{}
	c.token, c.lastDrawn, c.nextRaise, c.raisedAt, c.raiseInterval = token, token, now, time.Time{}, 0
	if c.olderTokenElsewhere && c.orderRefused {
		c.nextRaise = now.Add(time.Duration(c.random.Int64N(int64(maxRivalDelay))))
	}
}

// HandleNewerToken records that another instance has drawn a newer token, which the platform
// may have seen. If this instance holds an older token that is not in use, it gives that token
// up and draws another one while the store still answers.
func (c *OrderedPromotion) HandleNewerToken(now time.Time, token uint64) {
	if c.phase == PhaseIdle && c.token > 0 && token > c.token {
		c.token, c.nextIdleDraw = 0, now.Add(redrawDelay)
	}
}

// HandleTokenRaised records that the platform has seen the given token or a higher one.
func (c *OrderedPromotion) HandleTokenRaised(now time.Time, token uint64) {
	if token == c.token && c.raisedAt.IsZero() {
		c.raisedAt, c.openOrders = now, 0
	}
}

// HandleHold takes the number of statements and transactions that still run at the old
// primary.
func (c *OrderedPromotion) HandleHold(now time.Time, running int) {
	if c.phase == PhaseHold && running == 0 {
		c.enterPhase(now, PhasePause)
	}
}

// HandlePause takes a replica's answer to a pause that was sent at the given time.
func (c *OrderedPromotion) HandlePause(now, sent time.Time, upstream string, s ReplicationStatus, err error) {
	r := c.findCandidate(upstream)
	if r == nil || c.phase != PhasePause {
		return
	}
	if err != nil {
		r.nextCommand = now.Add(retryInterval)
		return
	}
	former := s.Term < c.term
	c.term = max(c.term, s.Term)
	if s.Primary && !former {
		// Another instance has promoted this upstream, which has ended the pauses. The
		// replicas are paused again: some may still be paused, and only a promotion ends that.
		c.setPrimary(now, upstream)
		c.enterPhase(now, PhasePause)
		return
	}
	if r.pauseTerm > 0 && s.Term >= r.pauseTerm {
		r.nextCommand = now // a pause for a term that has begun does nothing
		return
	}
	if upstream == c.holder.upstream && s.Received.Compare(r.status.Received) < 0 {
		c.holder.upstream = "" // it has started again without its log
	}
	if upstream == c.holder.upstream {
		c.holder.answeredAt = sent
	}
	r.status, r.pausedAt = s, sent
}

// HandleList records that SetMembers was called with the store's present list, or that the
// store gave no answer. A replica that the list added must be paused, too.
func (c *OrderedPromotion) HandleList(now time.Time) {
	if c.phase == PhaseList {
		c.chooseTarget(now)
	}
}

// chooseTarget chooses the replica that has received most, and prefers eligible and near
// replicas among equals. If an answer to a pause is missing or too old, the replicas are
// paused again.
func (c *OrderedPromotion) chooseTarget(now time.Time) {
	list := c.replicas()
	if c.mustWaitForVanished(now) || len(list) == 0 || !c.mayChoose(now) {
		c.enterPhase(now, PhasePause)
		return
	}
	if c.mayLeaveOut(now) {
		list = slices.DeleteFunc(list, func(r *candidateState) bool { return !r.isPaused(now) })
	}
	list = c.avoidHolder(now, list)
	var best, furthest *candidateState
	for _, r := range list {
		if !r.isPaused(now) {
			c.enterPhase(now, PhasePause)
			return
		}
		if furthest == nil || r.status.Received.Compare(furthest.status.Received) > 0 {
			furthest = r
		}
	}
	for _, r := range list {
		if r.status.Received != furthest.status.Received {
			continue
		}
		if best == nil || eligibilityRank(r) < eligibilityRank(best) || eligibilityRank(r) == eligibilityRank(best) && cmp.Compare(r.Distance, best.Distance) < 0 {
			best = r
		}
	}
	if r, wait := c.preferUnfinished(now, furthest); wait {
		c.enterPhase(now, PhasePause)
		return
	} else if r != nil {
		best = r
	}
	c.target, c.keptPosition, c.freeze.chosenSilent = best.Upstream, best.status.Received, len(c.freeze.silentDomains)
	c.evidence = c.newEvidence(now)
	if c.recorded && c.primary != "" {
		c.enterPhase(now, PhaseDemote)
		return
	}
	c.enterPhase(now, PhaseOrder)
}

// eligibilityRank returns the rank of a replica among equals; the lowest is preferred.
func eligibilityRank(r *candidateState) int {
	if r.Ineligible {
		return 1
	}
	return 0
}

// HandleOrder takes the platform's answer to an order. If the order was carried out, it
// returns the new primary and the commands that follow.
func (c *OrderedPromotion) HandleOrder(now time.Time, cmd Command, r OrderResponse) (primary string, out []Command) {
	if r != ResponseUnknown && c.openOrders > 0 {
		c.openOrders--
	}
	if cmd.Token != c.token || c.phase != PhaseOrder {
		return "", nil
	}
	switch r {
	case ResponseUnsent:
		c.ordersSent--
	case ResponseUnknown:
		c.nextCommand = now.Add(retryInterval)
		if c.recorded {
			c.unansweredAt, c.unfinished, c.unfinishedToken, c.unfinishedSince = now, c.target, c.token, now
		}
	case ResponseRefused:
		c.answered = cmd.Token
		c.ordersSent--
		// A refused token is never used again. The replicas are paused again, since the chosen
		// replica may have stopped, or another instance may have promoted a replica.
		c.token, c.nextDraw, c.orderRefused = 0, now, true
		c.enterPhase(now, PhasePause)
	case ResponseDone:
		c.answered, c.finishedAt = cmd.Token, now
		c.setPrimary(now, c.target)
		c.HandleKept(c.keptPosition)
		return c.target, c.finishChange(now)
	}
	return "", nil
}

// findCandidate returns the entry of an upstream, or nil if there is none.
func (c *OrderedPromotion) findCandidate(upstream string) *candidateState {
	for _, r := range c.candidates {
		if r.Upstream == upstream {
			return r
		}
	}
	return nil
}

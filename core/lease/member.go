package lease

import (
	"fmt"
	"slices"
	"time"
)

// Times of the protocol. They affect how quickly the lease changes, not its safety.
const (
	// promiseInterval is the time between two promise requests of an owner.
	promiseInterval = PromiseDuration / 4
	// standbyTimeout is the time without a promise after which the owner replaces a
	// standby. It leaves half of PromiseDuration for that before the lease expires.
	standbyTimeout = PromiseDuration / 2
	// candidateRetryInterval is the time after which a candidate that did not
	// answer is asked again.
	candidateRetryInterval = 5 * time.Second
	// callTimeout is the time after which a store call is repeated.
	callTimeout = 300 * time.Millisecond
	// takeoverStagger delays the takeover by the second standby, so that both do not
	// try at once.
	takeoverStagger = PromiseDuration / 4
	// pauseThreshold is the time between two ticks above which an instance assumes
	// that it was paused. It then waits for messages before it takes over.
	pauseThreshold = PromiseDuration / 4
	// requiredAbsence is the time for which the platform must list neither the owner
	// nor a standby before another instance takes over.
	requiredAbsence = 30 * time.Second
	// maxListGap is the longest time between two ticks with a fresh platform list that
	// counts as continuous observation.
	maxListGap = 5 * time.Second
	// lookupInterval is the time between reads by an instance that looks for the owner.
	lookupInterval = 2 * time.Second
)

// Member is the state machine of one instance for the lease of one shard. The newest
// known lease makes the instance the owner, a standby, or neither. A Member is not safe
// for concurrent use.
type Member struct {
	self  Instance
	shard string
	view  View

	known   Lease
	version uint64 // 0 if no lease object was seen yet

	// State of an owner.
	ownerSince      time.Time            // when this instance first sent the update that made it the owner
	promiseRequests []sentRequest        // sent in the last PromiseDuration
	lastSeq         uint64               // of the last promise request
	promises        map[string]time.Time // by instance ID: send time of the last request answered by a promise
	firstAsked      map[string]time.Time // by instance ID: when it was first asked, or last asked again as a candidate
	resigned        map[string]bool
	released        bool

	// State of a standby.
	lastPromise   time.Time // no takeover for PromiseDuration after it
	learnedAt     time.Time // when the known lease last changed or was released
	releasedEpoch uint64    // last epoch whose owner released the lease

	resumedAt        time.Time // end of the last pause of this instance
	lastTick         time.Time
	absentSince      time.Time // since when the platform lists none of the lease's instances; zero if it lists one
	lastFreshList    time.Time // last tick with a fresh platform list
	leaving          bool
	nextAttempt      time.Time // earliest time of the next change
	change           *change
	lastCallID       uint64
	lastOp           uint64
	output           Output
	lastLeaveMessage time.Time // last Release or Resign sent
	lastRead         time.Time
}

// sentRequest is a promise request of the owner.
type sentRequest struct {
	seq uint64
	at  time.Time
}

// change is an update of the lease in progress: a read, then conditional puts until
// the object's version has changed. The read comes first since an update of unknown
// outcome stops the promises of this instance: without the read, a store outage would
// cause one.
type change struct {
	putSent   bool // the update was sent and may take effect
	began     time.Time
	next      Lease
	ifVersion uint64
	callID    uint64
	sentAt    time.Time
}

// NewMember returns a member that has not seen the lease of its shard.
func NewMember(self Instance, shard string) *Member {
	return &Member{
		self: self, shard: shard,
		promises: map[string]time.Time{}, firstAsked: map[string]time.Time{}, resigned: map[string]bool{},
	}
}

// Lease returns the newest known lease and its version, which is 0 if there is none.
func (m *Member) Lease() (Lease, uint64) { return m.known, m.version }

// IsOwner reports whether the newest known lease names this instance as the owner.
// Whether the instance may act as the owner is reported by Valid.
func (m *Member) IsOwner() bool { return m.version > 0 && m.known.Owner.ID == m.self.ID }

// OwnedEpoch returns the epoch of the lease and the time from which no earlier
// owner's lease can be valid. ok is false if this instance is not the owner.
func (m *Member) OwnedEpoch() (epoch uint64, since time.Time, ok bool) {
	return m.known.Epoch, m.ownerSince, m.IsOwner()
}

// IsNamed reports whether the newest known lease names this instance as the owner or
// a standby. A leaving instance should keep running until it is no longer named.
func (m *Member) IsNamed() bool {
	return m.version > 0 && (m.IsOwner() || m.known.HasStandby(m.self.ID))
}

// Valid reports whether this instance may act as the owner at the time now. Call it
// with the current time right before each action: the lease may have expired during a
// pause of the process.
func (m *Member) Valid(now time.Time) bool {
	if !m.IsOwner() || m.released {
		return false
	}
	required := m.requiredStandbys()
	for _, s := range required {
		at, ok := m.promises[s.ID]
		if !ok || now.Sub(at) >= SubtractClockMargin(PromiseDuration) {
			return false
		}
	}
	// Without a standby the lease of a paused owner would never expire.
	return len(required) > 0
}

// requiredStandbys returns the standbys whose promises the owner needs. While the
// outcome of a change of standbys is unknown, both the old and the new ones count.
func (m *Member) requiredStandbys() []Instance {
	required := m.known.Standbys
	if c := m.change; c != nil && c.putSent && c.next.Epoch == m.known.Epoch {
		required = slices.Clone(required)
		for _, s := range c.next.Standbys {
			if !containsInstance(required, s.ID) {
				required = append(required, s)
			}
		}
	}
	return required
}

// Observe processes a lease that this or another instance read from the store.
func (m *Member) Observe(now time.Time, l Lease, version uint64) {
	if version <= m.version || l.Shard != m.shard {
		return
	}
	old := m.known
	m.known, m.version, m.learnedAt, m.absentSince = l, version, now, time.Time{}
	c := m.change
	if c != nil && c.ifVersion < version {
		// An update conditional on an older version can no longer take effect.
		m.change = nil
	}
	if l.Epoch == old.Epoch {
		return
	}
	m.promiseRequests, m.released = nil, m.leaving
	clear(m.promises)
	clear(m.firstAsked)
	clear(m.resigned)
	if m.IsOwner() {
		m.ownerSince = now
		if c != nil && c.putSent && c.next.Op == l.Op {
			m.ownerSince = c.began
		}
	}
}

// Leave starts the withdrawal of this instance from the lease: an owner stops acting
// at once and releases the lease, a standby asks to be replaced.
func (m *Member) Leave() {
	m.leaving = true
	m.released = true
}

// Tick performs the steps that are due at the time now.
func (m *Member) Tick(now time.Time, view View) Output {
	m.view = view
	if m.lastTick.IsZero() || now.Sub(m.lastTick) > pauseThreshold {
		m.resumedAt = now
	}
	m.lastTick = now
	m.trackAbsence(now)
	switch {
	case m.change != nil:
		m.retryCall(now)
		if m.IsOwner() {
			m.tickOwner(now)
		}
	case m.version == 0:
		if m.lastRead.IsZero() || now.Sub(m.lastRead) >= lookupInterval {
			m.startChange(now)
		}
	case m.IsOwner():
		m.tickOwner(now)
	case m.known.HasStandby(m.self.ID):
		m.tickStandby(now)
	default:
		m.tickUnnamed(now)
	}
	return m.takeOutput()
}

func (m *Member) tickOwner(now time.Time) {
	if m.released {
		if now.Sub(m.lastLeaveMessage) >= promiseInterval/2 {
			m.lastLeaveMessage = now
			for _, s := range m.known.Standbys {
				m.sendMessage(Message{Kind: Release, To: s.ID, Epoch: m.known.Epoch})
			}
		}
		return
	}
	wanted := m.wantedStandbys(now)
	if n := len(m.promiseRequests); n == 0 || now.Sub(m.promiseRequests[n-1].at) >= promiseInterval {
		m.requestPromises(now, wanted)
	}
	if m.change != nil || now.Before(m.nextAttempt) || slices.Equal(wanted, m.known.Standbys) {
		return
	}
	for _, s := range wanted {
		if at, ok := m.promises[s.ID]; !ok || now.Sub(at) > standbyTimeout {
			return // a new standby must have promised before the lease names it
		}
	}
	m.startChange(now)
}

// wantedStandbys returns the standbys that the lease should name: the current ones that
// answer, and candidates in place of the others.
func (m *Member) wantedStandbys(now time.Time) []Instance {
	alive := func(i Instance) bool {
		at, asked := m.firstAsked[i.ID]
		if promised := m.promises[i.ID]; promised.After(at) {
			at = promised
		}
		if m.resumedAt.After(at) {
			at = m.resumedAt // answers may have been missed during the pause
		}
		silentFor := now.Sub(at)
		return !asked || silentFor <= standbyTimeout || silentFor > candidateRetryInterval && !m.known.HasStandby(i.ID)
	}
	var candidates []Instance
	for _, s := range m.known.Standbys {
		if !m.resigned[s.ID] && alive(s) && (len(m.view.Candidates) == 0 || containsInstance(m.view.Candidates, s.ID)) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == standbyCount {
		return m.known.Standbys
	}
	for _, c := range m.view.Candidates {
		if !m.known.HasStandby(c.ID) && !m.resigned[c.ID] && alive(c) {
			candidates = append(candidates, c)
		}
	}
	wanted := ChooseStandbys(m.self, candidates)
	if len(wanted) == 0 {
		return m.known.Standbys
	}
	return wanted
}

// requestPromises asks for promises of the required standbys and of the candidates.
func (m *Member) requestPromises(now time.Time, candidates []Instance) {
	m.lastSeq++
	m.promiseRequests = append(m.promiseRequests, sentRequest{seq: m.lastSeq, at: now})
	for len(m.promiseRequests) > 1 && now.Sub(m.promiseRequests[0].at) > PromiseDuration {
		m.promiseRequests = m.promiseRequests[1:]
	}
	to := slices.Clone(m.requiredStandbys())
	for _, s := range candidates {
		if !containsInstance(to, s.ID) {
			to = append(to, s)
		}
	}
	for _, s := range to {
		if _, ok := m.firstAsked[s.ID]; !ok || now.Sub(m.firstAsked[s.ID]) > candidateRetryInterval && !m.known.HasStandby(s.ID) {
			m.firstAsked[s.ID] = now
		}
		m.sendMessage(Message{Kind: RequestPromise, To: s.ID, Epoch: m.known.Epoch, Seq: m.lastSeq})
	}
}

func (m *Member) tickStandby(now time.Time) {
	if m.leaving {
		if now.Sub(m.lastLeaveMessage) >= promiseInterval {
			m.lastLeaveMessage = now
			m.sendMessage(Message{Kind: Resign, To: m.known.Owner.ID, Epoch: m.known.Epoch})
		}
		return
	}
	if m.mayTakeOver(now) && !now.Before(m.nextAttempt) {
		m.startChange(now)
	}
}

// mayTakeOver reports whether a standby's promises have expired and it has waited long
// enough to assume that the owner has failed, or the owner has released the lease.
func (m *Member) mayTakeOver(now time.Time) bool {
	delay := time.Duration(m.known.standbyIndex(m.self.ID)) * takeoverStagger
	if m.releasedEpoch == m.known.Epoch {
		return now.Sub(m.learnedAt) >= delay
	}
	// Wait as long after a pause or a new lease as after a promise, so that the owner
	// can send its next request.
	quietSince := m.learnedAt
	for _, t := range []time.Time{m.lastPromise, m.resumedAt} {
		if t.After(quietSince) {
			quietSince = t
		}
	}
	return now.Sub(quietSince) >= AddClockMargin(PromiseDuration)+delay
}

func (m *Member) tickUnnamed(now time.Time) {
	if now.Before(m.nextAttempt) {
		return
	}
	// A leaving instance does not take over, but it still has callers and must find
	// the owner.
	if !m.leaving && m.mayTakeOverUnnamed(now) || m.view.OwnerSilent && now.Sub(m.lastRead) >= lookupInterval {
		m.startChange(now)
	}
}

// mayTakeOverUnnamed reports whether an instance that the lease does not name may take
// over: the platform has listed none of the lease's instances for requiredAbsence. The
// position among the candidates delays each by another PromiseDuration.
func (m *Member) mayTakeOverUnnamed(now time.Time) bool {
	position := slices.IndexFunc(m.view.Candidates, func(i Instance) bool { return i.ID == m.self.ID })
	return position >= 0 && !m.absentSince.IsZero() && now.Sub(m.absentSince) >= AddClockMargin(requiredAbsence)+time.Duration(position)*PromiseDuration
}

// trackAbsence records since when the platform has listed none of the lease's instances.
func (m *Member) trackAbsence(now time.Time) {
	if m.view.IsListed == nil || m.version == 0 {
		return
	}
	if now.Sub(m.lastFreshList) > maxListGap {
		m.absentSince = time.Time{}
	}
	m.lastFreshList = now
	for _, i := range append([]Instance{m.known.Owner}, m.known.Standbys...) {
		if m.view.IsListed(i.ID) {
			m.absentSince = time.Time{}
			return
		}
	}
	if m.absentSince.IsZero() {
		m.absentSince = now
	}
}

// HandleMessage processes a message of another member.
func (m *Member) HandleMessage(now time.Time, msg Message) Output {
	if msg.To != m.self.ID || msg.Shard != m.shard {
		return Output{}
	}
	m.Observe(now, msg.Lease, msg.Version)
	outdated := msg.Epoch < m.known.Epoch && msg.Kind == RequestPromise
	// A leaving instance keeps running until it learns that the lease no longer names it.
	outdated = outdated || msg.Version < m.version && (msg.Kind == Release || msg.Kind == Resign)
	if outdated {
		m.sendMessage(Message{Kind: Notice, To: msg.From, Epoch: m.known.Epoch})
	}
	if msg.Epoch < m.known.Epoch {
		return m.takeOutput()
	}
	switch msg.Kind {
	case RequestPromise:
		m.sendPromise(now, msg)
	case Promise:
		for _, request := range m.promiseRequests {
			if request.seq == msg.Seq && m.IsOwner() && request.at.After(m.promises[msg.From]) {
				m.promises[msg.From] = request.at
			}
		}
	case Release:
		if msg.From == m.known.Owner.ID && m.releasedEpoch != msg.Epoch {
			m.releasedEpoch, m.learnedAt = msg.Epoch, now
			m.nextAttempt = time.Time{}
		}
	case Resign:
		m.resigned[msg.From] = true
	}
	return m.takeOutput()
}

// sendPromise answers the owner's request. It sends no promise while a takeover by this
// instance may still take effect.
func (m *Member) sendPromise(now time.Time, msg Message) {
	if c := m.change; c != nil {
		if c.putSent {
			return
		}
		m.change = nil
	}
	m.lastPromise = now
	m.sendMessage(Message{Kind: Promise, To: msg.From, Epoch: msg.Epoch, Seq: msg.Seq})
}

func (m *Member) sendMessage(msg Message) {
	msg.Shard, msg.From, msg.Lease, msg.Version = m.shard, m.self.ID, m.known, m.version
	m.output.Messages = append(m.output.Messages, msg)
}

func (m *Member) takeOutput() Output {
	out := m.output
	m.output = Output{}
	return out
}

func (m *Member) nextOp() string {
	m.lastOp++
	return fmt.Sprintf("%s/%d", m.self.ID, m.lastOp)
}

// Rejoin ends the withdrawal that Leave began. Promises made before stay binding, and a
// lease that was released stays so until its epoch changes.
func (m *Member) Rejoin() { m.leaving = false }

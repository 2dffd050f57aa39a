package cluster

// This file decides to which peers an instance sends requests, and when. The work per
// instance does not depend on the number of instances:
//
//   - Every parentPeriod an instance sends a request to its parent in the relay tree
//     of its failure domain. The tree is the rendezvous order of the failure domain's
//     live instances. Its two roots are the store watchers, and each instance has up
//     to fanout children, so that a confirmation reaches hundreds of instances in
//     three steps. A root sends requests to the other root and to a watcher of the
//     next failure domain.
//   - Every randomPeriod it sends a request to a random peer of its failure domain,
//     and every crossPeriod to a random peer of another. These requests carry gossip
//     and records of the membership table, and they work in any state of the tree.
//   - A watcher keeps one call to the store waiting for a change. While its calls
//     fail, it also sends a request every randomPeriod to a watcher of every other
//     failure domain that is in. The responses carry the outage reports by which the
//     freshness rule recognizes a general outage.
//
// Each member is monitored by its neighbours in the relay tree. A silent member is
// first probed through other peers as in SWIM, so that a cut between two instances does
// not make a live member suspect.

import (
	"math/rand/v2"
	"slices"
	"time"

	"burdockseam/core/config"
)

// Periods and bounds of the exchanges with peers, the store and the platform.
const (
	parentPeriod = 500 * time.Millisecond
	randomPeriod = time.Second
	crossPeriod  = 4 * time.Second
	// fanout is the number of children in the relay tree. With 5, three steps from the
	// roots reach 312 instances.
	fanout = 5
	// pollWait is how long a call to the store waits for a change. It adds to the age
	// of a confirmation.
	pollWait = 500 * time.Millisecond
	// pollTimeout is the time after which a store call without a result counts as
	// failed.
	pollTimeout = 1500 * time.Millisecond
	// pollRetry is the delay between a failed store call and the next one.
	pollRetry    = 250 * time.Millisecond
	listPeriod   = 5 * time.Second
	statusPeriod = 5 * time.Second
	fetchPeriod  = 250 * time.Millisecond
	// fetchesPerPeriod bounds a watcher's reads per fetchPeriod, so that the watchers
	// of 14 failure domains stay below the store's 2,000 reads/s when all start at
	// once.
	fetchesPerPeriod = 12
	// checkPeriod is how often neighbours and failure domains are checked for silence.
	checkPeriod = 250 * time.Millisecond
	// pauseThreshold is the time between two ticks from which the process is assumed
	// to have been paused.
	pauseThreshold = 2 * time.Second
	// transferTimeout is the time after which missing contents are requested from any
	// peer although one peer is transferring them.
	transferTimeout = 2 * time.Second
)

// Options are the settings of an Agent.
type Options struct {
	Address     string
	Domain      string
	Incarnation Incarnation
	// Seeds are addresses of peers to contact while the instance knows no other peers.
	Seeds []string
	// RandomOnly replaces the relay tree by requests to two random peers every
	// randomPeriod, as a baseline for measurements. It detects no silent members, since
	// only neighbours in the tree monitor each other.
	RandomOnly bool
}

// Agent runs one instance's part of the membership, distribution and freshness
// protocol. It is not safe for concurrent use.
type Agent struct {
	opts         Options
	random       *rand.Rand
	members      *Members
	returns      DomainReturns
	freshness    Freshness
	files        fileSet
	config       config.Config
	parser       config.Parser
	view         View
	viewVersion  uint64 // version of the membership table that view reflects
	viewRevision uint64 // revision in force that view reflects
	ready        bool   // what the instance reports about itself in its tally

	// The time of the last Tick, and the times at which its periodic actions were last
	// due.
	lastCheck, lastTick, lastParent, lastRandom, lastCross, lastOutageExchange, lastListRead, lastStatusWrite, lastFetch time.Time

	// The state of a watcher's calls to the store.
	pollSent   time.Time            // when the Poll under way was sent; zero if there is none
	pollEnded  time.Time            // when the last Poll ended
	pollFailed bool                 // the last Poll failed
	fetchSent  map[string]time.Time // when contents were last requested or failed to arrive, by hash

	platformListRead bool     // the platform's list was read at least once
	pageCursor       string   // address after which the next page of a peer's table starts
	joining          bool     // the first pass over the pages, which are requested without delay
	transfer         struct { // the transfer of missing contents under way; at is zero if there is none
		peer string
		at   time.Time
	}
	parentMisses int                   // number of failed requests to the parent in the relay tree
	neighbours   map[string]time.Time  // monitored neighbours in the relay tree, and since when
	lastProbe    map[string]time.Time  // when a silent member was last probed
	probers      map[string][]string   // peers that probe a member through this instance, by member
	tallies      map[string]timedTally // last tallies received from children and the other root, by sender
	statuses     map[string]timedTally // last known statuses, by failure domain
	nextAge      int                   // rotates through the failure domains for Response.Ages
	nextStatus   int                   // rotates through the statuses for Response.Statuses
}

// timedTally is a tally with the time for which it holds.
type timedTally struct {
	Tally
	at time.Time
}

// New returns the Agent of an instance that has just started. All its random choices
// come from random.
func New(now time.Time, options Options, random *rand.Rand) *Agent {
	a := &Agent{
		opts: options, random: random, joining: true, lastTick: now,
		members:   NewMembers(now, Record{Address: options.Address, Domain: options.Domain, Incarnation: options.Incarnation}),
		fetchSent: map[string]time.Time{}, neighbours: map[string]time.Time{}, lastProbe: map[string]time.Time{},
		probers: map[string][]string{}, tallies: map[string]timedTally{}, statuses: map[string]timedTally{},
	}
	// The phases are random, so that instances that start at the same time do not send
	// their requests at the same time.
	a.lastParent = now.Add(-time.Duration(random.Int64N(int64(parentPeriod))))
	a.lastRandom = now.Add(-time.Duration(random.Int64N(int64(randomPeriod))))
	a.lastCross = now.Add(-time.Duration(random.Int64N(int64(crossPeriod))))
	a.lastListRead = now.Add(-listPeriod)
	a.lastStatusWrite = now.Add(-time.Duration(random.Int64N(int64(statusPeriod))))
	a.view = a.members.View(now, a.config, &a.returns)
	return a
}

// Config returns the configuration in force; its Revision is 0 if there is none.
func (a *Agent) Config() config.Config { return a.config }

// View returns the View of the fleet as of the last Tick.
func (a *Agent) View() View { return a.view }

// Members returns the membership table, which the caller must not change.
func (a *Agent) Members() *Members { return a.members }

// FreshnessVerdict applies the freshness rule.
func (a *Agent) FreshnessVerdict(now time.Time) Verdict { return a.freshness.Verdict(now, a.view) }

// Ready reports whether the instance should get new callers, and if not, the reason.
// It ignores the freshness rule, which does not apply to open routes.
func (a *Agent) Ready() (bool, string) {
	switch d, known := a.config.Domains[a.opts.Domain]; {
	case a.config.Revision == 0:
		return false, "no configuration"
	case a.members.Self().State != Live:
		return false, "leaving"
	case !known:
		return false, "the failure domain is not configured"
	case d.State == config.StateOut:
		return false, "the failure domain is out"
	}
	return true, ""
}

// SetReady sets whether the instance counts as ready in its tally.
func (a *Agent) SetReady(ready bool) { a.ready = ready }

// Leave starts a graceful shutdown: no new work is placed on this instance.
func (a *Agent) Leave() { a.members.Leave() }

// DomainStatuses returns the last known status of each failure domain with its age.
// Failure domains without a known status are left out.
func (a *Agent) DomainStatuses(now time.Time) []DomainStatus {
	list := make([]DomainStatus, 0, len(a.statuses))
	for _, domain := range sortedKeys(a.statuses) {
		list = append(list, a.domainStatus(now, domain))
	}
	return list
}

// due reports whether a period has passed since *last, and if so advances *last.
func due(last *time.Time, now time.Time, period time.Duration) bool {
	if now.Sub(*last) < period {
		return false
	}
	// Advancing by whole periods keeps the phases of the instances apart, which spreads
	// the load. After a pause the phase restarts at now.
	if *last = last.Add(period); now.Sub(*last) >= period {
		*last = now
	}
	return true
}

// Tick performs the periodic actions that are due. The adapter calls it every 50 to
// 100 ms.
func (a *Agent) Tick(now time.Time) []Effect {
	if now.Sub(a.lastTick) > pauseThreshold {
		a.members.ResetSilence(now)
		clear(a.neighbours)
		// The pause, not the store, may have ended the call under way.
		a.pollSent, a.pollFailed = time.Time{}, false
	}
	a.lastTick = now
	checkDue := due(&a.lastCheck, now, checkPeriod)
	if checkDue || a.members.version != a.viewVersion || a.config.Revision != a.viewRevision {
		a.view = a.members.View(now, a.config, &a.returns)
		a.viewVersion, a.viewRevision = a.members.version, a.config.Revision
	}
	self := a.opts.Address
	// position is the instance's position in its relay tree, or -1 while it is leaving.
	nodes := a.members.liveNodes(a.opts.Domain)
	position := slices.IndexFunc(nodes, func(n node) bool { return n.address == self })
	watching := slices.Contains(a.view.Watchers(a.opts.Domain), self)

	var effects []Effect
	if checkDue && !a.opts.RandomOnly {
		effects = a.checkNeighbours(now, nodes, position)
	}
	if watching {
		effects = append(effects, a.pollStore(now)...)
	} else {
		a.pollSent, a.pollFailed = time.Time{}, false
	}
	if !a.platformListRead && due(&a.lastListRead, now, listPeriod) || watching && due(&a.lastListRead, now, listPeriod) {
		effects = append(effects, ReadPlatformList{})
	}
	if a.view.StatusWriter(a.opts.Domain) == self && due(&a.lastStatusWrite, now, statusPeriod) {
		effects = append(effects, WriteStatus{a.opts.Domain, Status{a.subtreeTally(now, true), self}})
	}
	if !a.opts.RandomOnly && due(&a.lastParent, now, parentPeriod) {
		effects = append(effects, a.askRelayTree(now, nodes, position)...)
	}
	if a.pollFailed && due(&a.lastOutageExchange, now, randomPeriod) {
		for _, domain := range a.view.InDomains() {
			if watchers := a.view.Watchers(domain); domain != a.opts.Domain && len(watchers) > 0 {
				effects = append(effects, Send{watchers[a.random.IntN(len(watchers))], a.newRequest(now)})
			}
		}
	}
	if due(&a.lastRandom, now, randomPeriod) {
		for range 1 + boolToInt(a.opts.RandomOnly) {
			to := a.pickDomainPeer(nodes)
			if to == "" {
				to = a.pickCrossDomainPeer() // the only instance of its failure domain
			}
			if to != "" {
				effects = append(effects, Send{to, a.newPageRequest(now)})
			}
		}
		a.members.DropTombstones(now)
		a.freshness.dropOldReports(now)
		for address, received := range a.tallies {
			if now.Sub(received.at) > suspectAfter {
				delete(a.tallies, address)
			}
		}
	}
	if due(&a.lastCross, now, crossPeriod) {
		if to := a.pickCrossDomainPeer(); to != "" {
			effects = append(effects, Send{to, a.newPageRequest(now)})
		}
	}
	return effects
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pollStore keeps one Poll of the store waiting and fetches missing contents.
func (a *Agent) pollStore(now time.Time) []Effect {
	var effects []Effect
	if !a.pollSent.IsZero() && now.Sub(a.pollSent) > pollTimeout {
		a.pollSent, a.pollEnded, a.pollFailed = time.Time{}, now, true
	}
	if a.pollSent.IsZero() && (!a.pollFailed || now.Sub(a.pollEnded) >= pollRetry) {
		a.pollSent = now
		effects = append(effects, Poll{a.files.revision, pollWait})
	}
	if len(a.files.missing) > 0 && due(&a.lastFetch, now, fetchPeriod) {
		fetches := 0
		for _, hash := range a.files.missingHashes(maxWantedHashes, a.random.Uint64()) {
			if fetches < fetchesPerPeriod && now.Sub(a.fetchSent[hash]) > pollTimeout {
				a.fetchSent[hash] = now
				effects = append(effects, Fetch{hash})
				fetches++
			}
		}
	}
	return effects
}

// parentOf returns the parent of a position in a relay tree of n instances, which for a
// root is the other root, or -1 if there is none. After an odd number of misses, that
// is of failed requests to the parent, it returns the position next to the parent.
func parentOf(position, misses, n int) int {
	parent := (position - watchersPerDomain) / fanout
	if position < watchersPerDomain {
		parent = 1 - position
	} else if misses%2 == 1 {
		parent ^= 1
	}
	if parent >= n || parent == position {
		return -1
	}
	return parent
}

// askRelayTree sends a request to the parent in the relay tree. A root also sends one to
// a watcher of the next failure domain, and so does an instance of a failure domain
// without live instances. A leaving instance, which has no position, uses a random one.
func (a *Agent) askRelayTree(now time.Time, nodes []node, position int) []Effect {
	var effects []Effect
	if position < 0 && len(nodes) > 0 {
		position = watchersPerDomain + a.random.IntN(len(nodes)*fanout)
	}
	if parent := parentOf(position, a.parentMisses, len(nodes)); len(nodes) > 0 && parent >= 0 {
		req := a.newRequest(now)
		if a.members.Self().State == Live && position != 0 {
			req.Tally = a.subtreeTally(now, false)
		}
		effects = append(effects, Send{nodes[parent].address, req})
	}
	if position < watchersPerDomain {
		if root := a.nextDomainRoot(position); root != "" {
			effects = append(effects, Send{root, a.newRequest(now)})
		}
	}
	return effects
}

// nextDomainRoot returns the watcher at the same position in the next failure domain
// that is in, or "". The roots of a failure domain that is out get their confirmations
// from that watcher.
func (a *Agent) nextDomainRoot(position int) string {
	in := a.view.InDomains()
	start, _ := slices.BinarySearch(in, a.opts.Domain)
	for i := 1; i <= len(in); i++ {
		domain := in[(start+i)%len(in)]
		if watchers := a.view.Watchers(domain); domain != a.opts.Domain && len(watchers) > 0 {
			return watchers[max(position, 0)%len(watchers)]
		}
	}
	return ""
}

// anyPeerRatio is the number of random requests within a failure domain of which one goes
// to any member that is not gone. The others go to live members.
const anyPeerRatio = 8

// pickDomainPeer returns a random peer of the own failure domain, or a seed if no peer
// is known, or "".
func (a *Agent) pickDomainPeer(nodes []node) string {
	if a.random.IntN(anyPeerRatio) > 0 {
		for range 4 {
			if len(nodes) < 2 {
				break
			}
			if to := nodes[a.random.IntN(len(nodes))].address; to != a.opts.Address {
				return to
			}
		}
	}
	if peers := a.members.contactablePeers(a.opts.Domain); len(peers) > 0 {
		return peers[a.random.IntN(len(peers))]
	}
	if len(a.opts.Seeds) > 0 {
		if to := a.opts.Seeds[a.random.IntN(len(a.opts.Seeds))]; to != a.opts.Address {
			return to
		}
	}
	return ""
}

// pickCrossDomainPeer returns a random peer of another failure domain, or "". It also
// picks silent failure domains.
func (a *Agent) pickCrossDomainPeer() string {
	var others []string
	for _, domain := range a.domainNames() {
		if domain != a.opts.Domain {
			others = append(others, domain)
		}
	}
	if len(others) == 0 {
		return ""
	}
	peers := a.members.contactablePeers(others[a.random.IntN(len(others))])
	if len(peers) == 0 {
		return ""
	}
	return peers[a.random.IntN(len(peers))]
}

// checkNeighbours probes the silent neighbours in the relay tree, directly and through
// other peers, and marks those as suspect that stay silent. It never suspects a
// neighbour before monitoring it for suspectAfter.
func (a *Agent) checkNeighbours(now time.Time, nodes []node, position int) []Effect {
	next := map[string]time.Time{}
	add := func(address string) {
		if address != "" && address != a.opts.Address {
			if next[address] = a.neighbours[address]; next[address].IsZero() {
				next[address] = now
			}
		}
	}
	if position >= 0 {
		if parent := parentOf(position, 0, len(nodes)); parent >= 0 {
			add(nodes[parent].address)
		}
		first := watchersPerDomain + fanout*position
		for i := first; i < min(first+fanout, len(nodes)); i++ {
			add(nodes[i].address)
		}
		if position < watchersPerDomain {
			add(a.nextDomainRoot(position))
		}
	}
	a.neighbours = next
	var effects []Effect
	for _, address := range sortedKeys(next) {
		member := a.members.rows[address]
		if member == nil {
			continue
		}
		heardSince := next[address]
		if member.lastHeard.After(heardSince) {
			heardSince = member.lastHeard
		}
		switch silence := now.Sub(heardSince); {
		case silence >= suspectAfter:
			a.members.MarkSuspect(now, address)
		case silence >= probeAfter && now.Sub(a.lastProbe[address]) >= randomPeriod/2:
			a.lastProbe[address] = now
			effects = append(effects, Send{address, a.newRequest(now)})
			for range 2 {
				if to := a.pickDomainPeer(nodes); to != "" && to != address {
					req := a.newRequest(now)
					req.Doubt = address
					effects = append(effects, Send{to, req})
				}
			}
			if to := a.pickCrossDomainPeer(); to != "" && to != address {
				req := a.newRequest(now)
				req.Doubt = address
				effects = append(effects, Send{to, req})
			}
		case silence < probeAfter:
			delete(a.lastProbe, address)
		}
	}
	return effects
}

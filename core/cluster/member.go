// Package cluster implements the membership of the fleet, the placement of work on
// its instances, the distribution of configuration revisions, and the freshness rule,
// which decides whether an instance may serve protected routes.
//
// An Agent runs the protocol for one instance. It performs no I/O and reads no clock:
// its caller, the adapter, passes in the time and the results of calls, and performs
// the Effects that the Agent returns.
package cluster

// This file holds the membership table, which follows SWIM. The records of a member
// are ordered by incarnation, then by a sequence number that only the member itself
// raises, then by state. A record may be relayed late or twice, since the higher one
// wins. A member that receives a suspicion of itself refutes it with a higher sequence
// number.

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("cluster")

// State is the state of an instance in the membership table.
type State string

// The states of instances.
const (
	Live    State = "live"
	Suspect State = "suspect" // silent; no work is placed on it
	Leaving State = "leaving" // finishes its work; no new work is placed on it
	Gone    State = "gone"    // a tombstone, kept for a time so that old records do not revive the member
)

// stateRank orders the states of records with equal incarnations and sequence numbers.
var stateRank = map[State]int{Live: 0, Suspect: 1, Leaving: 2, Gone: 3}

// Times of the membership rules.
const (
	probeAfter        = 1500 * time.Millisecond // silence after which a member is probed, directly and through other peers
	suspectAfter      = 3 * time.Second         // silence after which a member becomes suspect
	domainSilentAfter = 8 * time.Second         // silence after which a whole failure domain takes no work
	unlistedGoneAfter = 30 * time.Second        // absence from the platform's list after which a silent member is gone; the list lags
	tombstoneLifetime = 60 * time.Second        // age after which a tombstone is dropped
	platformListLag   = 30 * time.Second        // how long after a start the platform's list may still show the previous incarnation
)

// Incarnation identifies one run of an instance. Start is in nanoseconds since 1970 by
// the instance's own clock. Random distinguishes runs with the same Start.
type Incarnation struct {
	Start  int64
	Random uint32
}

func (i Incarnation) compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.Start, o.Start), cmp.Compare(i.Random, o.Random))
}

// Record is the state of a member as instances relay it. Address is the member's peer
// address.
type Record struct {
	Address string
	Domain  string
	Incarnation
	Seq   uint64
	State State
}

// supersedes reports whether r replaces o. A tombstone is final for its incarnation.
func (r Record) supersedes(o Record) bool {
	if c := r.compare(o.Incarnation); c != 0 {
		return c > 0
	}
	if r.State == Gone || o.State == Gone {
		return o.State != Gone
	}
	return cmp.Or(cmp.Compare(r.Seq, o.Seq), cmp.Compare(stateRank[r.State], stateRank[o.State])) > 0
}

// PlatformInstance is an entry of the platform's list of instances.
type PlatformInstance struct {
	Address string
	Domain  string
	Leaving bool
}

// row is a member's entry in the membership table.
type row struct {
	Record
	hash            uint64
	lastHeard       time.Time // time of the last message from the member, or of a peer's vouch for it
	changedAt       time.Time // time of the last change of the record
	unlistedSince   time.Time // when the platform's list first lacked the member; zero if it is listed
	listedAsLeaving bool      // the platform's list shows the member as leaving
}

// node is a live member, on which work may be placed. hash is the hash of its address.
type node struct {
	address string
	hash    uint64
}

// Members is the membership table of one instance.
type Members struct {
	self          *row
	started       time.Time // the start of the instance
	rows          map[string]*row
	addresses     []string             // addresses of all members in sorted order; nil if out of date
	liveCache     map[string][]node    // live members per failure domain in relay order; rebuilt on demand
	domainHeardAt map[string]time.Time // last message from each failure domain
	gossip        []gossipItem
	version       uint64 // increases with each change that affects a View
}

// gossipItem is a member whose record is being gossiped, with the number of messages
// that have carried the record.
type gossipItem struct {
	address   string
	timesSent int
}

// NewMembers returns a membership table that holds only the instance itself.
func NewMembers(now time.Time, self Record) *Members {
	self.State = Live
	m := &Members{started: now, rows: map[string]*row{}, liveCache: map[string][]node{}, domainHeardAt: map[string]time.Time{}}
	m.self = m.insert(now, self)
	m.queueGossip(self.Address)
	return m
}

// insert adds a record of a member that the table does not have.
func (m *Members) insert(now time.Time, r Record) *row {
	member := &row{Record: r, hash: xxhash.Sum64String(r.Address), changedAt: now}
	m.rows[r.Address] = member
	m.addresses = nil
	if _, ok := m.domainHeardAt[r.Domain]; !ok {
		m.domainHeardAt[r.Domain] = now
	}
	m.invalidateViews(member)
	return member
}

// invalidateViews makes the next View reflect a changed member.
func (m *Members) invalidateViews(member *row) {
	delete(m.liveCache, member.Domain)
	m.version++
}

// queueGossip starts the gossip of a member's record, or starts it anew.
func (m *Members) queueGossip(address string) {
	for i := range m.gossip {
		if m.gossip[i].address == address {
			m.gossip[i].timesSent = 0
			return
		}
	}
	m.gossip = append(m.gossip, gossipItem{address, 0})
}

// Self returns the instance's own record.
func (m *Members) Self() Record { return m.self.Record }

// Leave marks the instance itself as leaving.
func (m *Members) Leave() {
	if m.self.State == Live {
		m.self.State = Leaving
		m.self.Seq++
		m.invalidateViews(m.self)
		m.queueGossip(m.self.Address)
	}
}

// Merge merges a relayed record into the table and reports whether it changed the
// table. A change is gossiped.
func (m *Members) Merge(now time.Time, r Record) bool {
	changed := m.mergeWithoutGossip(now, r)
	if changed {
		m.queueGossip(r.Address)
	}
	return changed
}

// mergeWithoutGossip is Merge without gossip, for records from a page of a peer's
// table. Such records are mostly old, and without this exception every instance of a
// starting fleet would gossip every record.
func (m *Members) mergeWithoutGossip(now time.Time, r Record) bool {
	if _, ok := stateRank[r.State]; !ok || r.Address == "" {
		return false
	}
	member := m.rows[r.Address]
	switch {
	case member == m.self:
		return m.refute(now, r)
	case member == nil && r.State == Gone:
		return false
	case member == nil:
		m.insert(now, r)
		return true
	case !r.supersedes(member.Record):
		return false
	}
	if member.Domain != r.Domain {
		delete(m.liveCache, member.Domain)
	}
	member.Record, member.changedAt = r, now
	m.invalidateViews(member)
	return true
}

// refute handles a record about the instance itself. It raises the instance's own
// record above one that is wrong, and reports whether the own record changed.
func (m *Members) refute(now time.Time, r Record) bool {
	self := m.self
	order := r.compare(self.Incarnation)
	switch {
	case order < 0:
		// A record of an earlier run at the same address is still being relayed.
		m.queueGossip(self.Address)
		return false
	case order > 0 || r.State == Gone:
		// The clock went back across a restart, or the instance was declared gone while
		// it was paused. A higher incarnation makes its records count again.
		self.Start, self.Seq = max(r.Start, self.Start)+1, 0
	case r.State == Suspect && r.Seq >= self.Seq, r.State == Leaving && self.State == Live && r.Seq >= self.Seq && now.Sub(m.started) < platformListLag:
		// A suspicion, or a record that says leaving because the platform's list still
		// shows the previous run of this instance.
		self.Seq = r.Seq + 1
	case r.State == Leaving && self.State == Live && r.Seq >= self.Seq:
		// The platform is stopping this instance.
		self.State, self.Seq = Leaving, r.Seq+1
	default:
		return false
	}
	m.invalidateViews(self)
	m.queueGossip(self.Address)
	return true
}

// NoteMessage notes a message that came directly from a member with this record.
func (m *Members) NoteMessage(now time.Time, r Record) {
	if r.Address == "" || r.Address == m.self.Address {
		return
	}
	m.Merge(now, r)
	m.markHeard(now, r.Address)
	m.markDomainHeard(r.Domain, now)
}

// markHeard notes that a member is alive, by its own message or by a peer's vouch.
func (m *Members) markHeard(now time.Time, address string) {
	if member := m.rows[address]; member != nil && now.After(member.lastHeard) {
		member.lastHeard = now
	}
}

// markDomainHeard notes that a message from a failure domain arrived at a time, here
// or at the peer that reports it.
func (m *Members) markDomainHeard(domain string, at time.Time) {
	if old, ok := m.domainHeardAt[domain]; !ok || at.After(old) {
		m.domainHeardAt[domain] = at
	}
}

// domainIsSilent reports whether no instance of another failure domain was heard for
// domainSilentAfter.
func (m *Members) domainIsSilent(now time.Time, domain string) bool {
	return domain != m.self.Domain && now.Sub(m.domainHeardAt[domain]) > domainSilentAfter
}

// MarkSuspect marks a silent live member as suspect.
func (m *Members) MarkSuspect(now time.Time, address string) {
	if member := m.rows[address]; member != nil && member != m.self && member.State == Live {
		member.State, member.changedAt = Suspect, now
		m.invalidateViews(member)
		m.queueGossip(address)
	}
}

// MergePlatformList merges the platform's list, which lags behind the actual state. An
// unknown instance counts as live until it is found silent. An instance that is missing
// from the list becomes gone only if it is silent and suspect or leaving as well.
func (m *Members) MergePlatformList(now time.Time, list []PlatformInstance) {
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		if entry.Address == "" {
			continue
		}
		listed[entry.Address] = true
		member := m.rows[entry.Address]
		if member == nil {
			member = m.insert(now, Record{Address: entry.Address, Domain: entry.Domain, State: Live})
		}
		member.unlistedSince = time.Time{}
		if entry.Leaving && !member.listedAsLeaving && member.State != Gone {
			r := member.Record
			r.State = Leaving
			m.Merge(now, r)
		}
		member.listedAsLeaving = entry.Leaving
	}
	for address, member := range m.rows {
		switch {
		case listed[address]:
		case member.unlistedSince.IsZero():
			member.unlistedSince = now
		case now.Sub(member.unlistedSince) >= unlistedGoneAfter && (member.State == Suspect || member.State == Leaving) && now.Sub(member.lastHeard) > suspectAfter:
			r := member.Record
			r.State = Gone
			m.Merge(now, r)
		}
	}
}

// DropTombstones removes the tombstones that are older than tombstoneLifetime.
func (m *Members) DropTombstones(now time.Time) {
	for address, member := range m.rows {
		if member.State == Gone && now.Sub(member.changedAt) > tombstoneLifetime {
			delete(m.rows, address)
			m.addresses = nil
		}
	}
}

// ResetSilence restarts the silence of all members and failure domains, after a pause
// of the instance itself that would explain it.
func (m *Members) ResetSilence(now time.Time) {
	for domain := range m.domainHeardAt {
		m.domainHeardAt[domain] = now
	}
	for _, member := range m.rows {
		member.lastHeard = now
	}
}

// nextGossip returns the up to n gossiped records that were sent least often, and
// counts them as sent. Each record is dropped after about 3·log2(members) messages,
// which reaches all members with high probability.
func (m *Members) nextGossip(n int) []Record {
	if len(m.gossip) == 0 {
		return nil
	}
	slices.SortStableFunc(m.gossip, func(a, b gossipItem) int { return cmp.Compare(a.timesSent, b.timesSent) })
	maxSends := 3 * bits.Len(uint(len(m.rows)))
	var records []Record
	kept := m.gossip[:0]
	for i, item := range m.gossip {
		member := m.rows[item.address]
		if member == nil {
			continue
		}
		if i < n {
			records = append(records, member.Record)
			item.timesSent++
		}
		if item.timesSent < maxSends {
			kept = append(kept, item)
		}
	}
	m.gossip = kept
	return records
}

// page returns up to n records after the given address in the order of addresses, and
// the address to continue from, which is empty after the last page.
func (m *Members) page(after string, n int) ([]Record, string) {
	m.sortAddresses()
	if n <= 0 {
		return nil, ""
	}
	i, found := slices.BinarySearch(m.addresses, after)
	if found {
		i++
	}
	var records []Record
	for ; i < len(m.addresses) && len(records) < n; i++ {
		records = append(records, m.rows[m.addresses[i]].Record)
	}
	if i >= len(m.addresses) {
		return records, ""
	}
	return records, records[len(records)-1].Address
}

// sortAddresses rebuilds the sorted addresses if they are out of date.
func (m *Members) sortAddresses() {
	if m.addresses == nil {
		m.addresses = sortedKeys(m.rows)
	}
}

// contactablePeers returns the members of a failure domain that are not gone, without
// the instance itself. They include suspect members, so that the two sides of a
// partition find each other when it ends.
func (m *Members) contactablePeers(domain string) []string {
	m.sortAddresses()
	var addresses []string
	for _, address := range m.addresses {
		if member := m.rows[address]; member != m.self && member.Domain == domain && member.State != Gone {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// liveNodes returns the live members of a failure domain in relay order, which is the
// rendezvous order for the name watch/DOMAIN.
func (m *Members) liveNodes(domain string) []node {
	if list, ok := m.liveCache[domain]; ok {
		return list
	}
	list := []node{}
	for _, member := range m.rows {
		if member.Domain == domain && member.State == Live {
			list = append(list, node{member.Address, member.hash})
		}
	}
	key := hashKey("watch/" + domain)
	slices.SortFunc(list, func(a, b node) int {
		return cmp.Or(cmp.Compare(score(key, b.hash), score(key, a.hash)), cmp.Compare(a.address, b.address))
	})
	m.liveCache[domain] = list
	return list
}

// Records returns all records in the order of addresses.
func (m *Members) Records() []Record {
	records, _ := m.page("", len(m.rows))
	return records
}

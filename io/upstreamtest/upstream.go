package upstreamtest

import (
	"net"
	"slices"
	"sync"
	"time"

	"burdockseam/core/wal"
)

// Role is the role of an upstream in its fenced term.
type Role string

// The roles of an upstream.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Upstream is one database of a group. Its exported methods are safe for concurrent
// use.
type Upstream struct {
	group *Group
	name  string
	addr  string
	slots chan struct{} // semaphore of executing statements

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced at each change of the log, the fenced term or the followed primary
	log          []entry       // entry i has offset i+1
	tables       tables
	lastRowID    uint64                    // at least as high as every row ID in use, uncommitted rows included
	locks        map[string]*transaction   // the holder of each lock
	transactions map[*transaction]struct{} // open transactions
	fencedTerm   uint64                    // see Status.FencedTerm
	promotedTerm uint64                    // term of the last promotion; the upstream is the primary while this equals fencedTerm
	following    string                    // address of the followed primary, or empty
	conns        map[*conn]struct{}
	listener     net.Listener
	lastPID      uint32

	faults faults
	stats  stats
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.name }

// Addr returns the host and port of the upstream. They do not change at a restart.
func (u *Upstream) Addr() string { return u.addr }

// isPrimary reports whether the upstream is the primary of its fenced term; u.mu is
// held.
func (u *Upstream) isPrimary() bool { return u.promotedTerm != 0 && u.promotedTerm == u.fencedTerm }

// notifyWaiters wakes the goroutines that wait for u.changed; u.mu is held.
func (u *Upstream) notifyWaiters() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// position returns the term and offset of the last log entry; u.mu is held.
func (u *Upstream) position() wal.Position {
	if len(u.log) == 0 {
		return wal.Position{}
	}
	return u.log[len(u.log)-1].Position
}

// append appends an entry of the fenced term to the log and applies it; u.mu is
// held and the upstream is the primary.
func (u *Upstream) append(changes []change) {
	e := entry{
		Position: wal.Position{Term: u.fencedTerm, Offset: uint64(len(u.log)) + 1},
		changes:  changes,
		at:       time.Now(),
	}
	u.log = append(u.log, e)
	u.tables.apply(e)
	u.notifyWaiters()
}

// beginTransaction registers a new transaction, so that a fence or a crash can roll it
// back; u.mu is held.
func (u *Upstream) beginTransaction() *transaction {
	tx := newTransaction()
	u.transactions[tx] = struct{}{}
	return tx
}

// finishTransaction releases the transaction's locks and discards what was not
// committed; u.mu is held.
func (u *Upstream) finishTransaction(tx *transaction) {
	if tx.ended {
		return
	}
	tx.ended = true
	for _, l := range tx.locks {
		delete(u.locks, l)
	}
	delete(u.transactions, tx)
	close(tx.released)
}

// commit appends the changes of the transaction to the log and finishes it; u.mu is
// held.
func (u *Upstream) commit(tx *transaction) error {
	if tx.fenced {
		return errFenced
	}
	if len(tx.changes) > 0 {
		if !u.isPrimary() {
			u.finishTransaction(tx)
			return errFenced
		}
		u.append(tx.changes)
	}
	u.finishTransaction(tx)
	return nil
}

// abortTransactions rolls back all open transactions; u.mu is held.
func (u *Upstream) abortTransactions() {
	for tx := range u.transactions {
		tx.fenced = true
		u.finishTransaction(tx)
	}
}

// fenceAt raises the fenced term, rolls back all open transactions and stops following;
// u.mu is held.
func (u *Upstream) fenceAt(term uint64) {
	u.fencedTerm = term
	u.following = ""
	u.abortTransactions()
	u.notifyWaiters()
}

// followPrimary truncates the log at its first entry that is not part of the history,
// and sets the primary to follow; u.mu is held. It returns the number of removed
// entries.
func (u *Upstream) followPrimary(primary string, history wal.History) int {
	keep := len(u.log)
	for i, e := range u.log {
		if !historyContains(history, e.Position) {
			keep = i
			break
		}
	}
	truncated := u.truncate(keep)
	u.following = primary
	u.notifyWaiters()
	return truncated
}

// truncate keeps the first entries of the log, rebuilds the tables from them and
// returns the number of removed entries; u.mu is held.
func (u *Upstream) truncate(keep int) int {
	truncated := len(u.log) - keep
	if truncated > 0 {
		u.log = slices.Clone(u.log[:keep])
		u.tables = tables{}
		for _, e := range u.log {
			u.tables.apply(e)
		}
	}
	return truncated
}

// historyContains reports whether the entry at p is part of the history.
func historyContains(h wal.History, p wal.Position) bool {
	i := slices.IndexFunc(h, func(s wal.Start) bool { return s.Term == p.Term })
	if i < 0 || p.Offset <= h[i].Offset {
		return false
	}
	for _, s := range h[i+1:] {
		if p.Offset > s.Offset {
			return false
		}
	}
	return true
}

// replicate pulls entries from the followed primary until the group is closed.
func (u *Upstream) replicate() {
	defer u.group.done.Done()
	for {
		wait, changed := u.pullEntries()
		timer := time.NewTimer(wait)
		select {
		case <-u.group.closed:
			timer.Stop()
			return
		case <-timer.C:
		case <-changed:
			timer.Stop()
		}
	}
}

// retryInterval bounds how long replication takes to notice that a fault was removed.
const retryInterval = 5 * time.Millisecond

// pullEntries replicates the entries of the primary that are at least as old as the
// lag. It returns the time until the next attempt and a channel that is closed earlier
// if the state of the primary, or without a reachable primary that of u, changes.
func (u *Upstream) pullEntries() (time.Duration, <-chan struct{}) {
	u.mu.Lock()
	from, term, last, ownChanged := u.following, u.fencedTerm, u.position(), u.changed
	lag := u.faults.timings().lag
	u.mu.Unlock()
	p := u.group.upstreamAt(from)
	if p == nil || p == u || u.faults.stopped() || p.faults.stopped() || u.group.partitioned(u, p) {
		return retryInterval, ownChanged
	}
	p.mu.Lock()
	changed := p.changed
	var newEntries []entry
	ok := p.isPrimary() && p.fencedTerm == term && uint64(len(p.log)) >= last.Offset
	if ok && last.Offset > 0 {
		ok = p.log[last.Offset-1].Position == last
	}
	if ok {
		newEntries = p.log[last.Offset:]
	}
	p.mu.Unlock()
	if !ok {
		return retryInterval, changed
	}
	due := 0
	wait := time.Hour
	for due < len(newEntries) {
		if age := time.Since(newEntries[due].at); age < lag {
			wait = lag - age
			break
		}
		due++
	}
	if due > 0 {
		u.mu.Lock()
		if u.fencedTerm == term && u.following == from && u.position() == last {
			for _, e := range newEntries[:due] {
				u.log = append(u.log, e)
				u.tables.apply(e)
				for _, c := range e.changes {
					u.lastRowID = max(u.lastRowID, c.id)
				}
			}
			u.notifyWaiters()
		}
		u.mu.Unlock()
	}
	return min(wait, 10*retryInterval), changed
}

package node

// Watchers: some instances of each failure domain watch the store closely and inform the
// others.

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"burdockseam/core/placement"
)

const (
	// largeFleetWatchers is the number of watchers of a failure domain in a large fleet. The
	// other instances of such a fleet do not watch the store at all.
	largeFleetWatchers = 2
	// registryBatchDelay is the time for which a watcher of a large fleet collects changes
	// of the registry after it has seen one.
	registryBatchDelay = 250 * time.Millisecond
	// instanceBatchDelay is the time for which changes of instances are collected before the
	// next watch reads them at once.
	instanceBatchDelay = 700 * time.Millisecond
	// staleListInterval is the shortest time between two lists of a table by an instance
	// that does not watch the store. It learns of changes from the watchers of its failure
	// domain in the meantime.
	staleListInterval = 20 * time.Second
	// storelessListInterval replaces staleListInterval while the store does not answer the
	// instance, which may have been a watcher before.
	storelessListInterval = 5 * time.Second
)

// watchers returns the instances that watch the store closely for a failure domain: the most
// preferred ones that answer this instance, and among them first those that the store answers.
func (n *Node) watchers(domain string) []string {
	s := n.snapshot.Load()
	wanted := 1
	if len(s.instances) > smallFleetSize {
		wanted = largeFleetWatchers
	}
	selfStoreless := n.storeless()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out, storeless []string
	s.ranks.Walk("watch", n.settings().Place(domain), func(i placement.Instance) bool {
		if i.Domain != domain {
			return false // the instances of the domain come first
		}
		own := i.Address == n.self.Address
		r := n.peerStates[i.Address]
		switch {
		case own && selfStoreless, !own && r != nil && r.storeless && !n.isUnavailable(i.Address, n.now()):
			storeless = append(storeless, i.Address)
		case own || !n.isUnavailable(i.Address, n.now()):
			out = append(out, i.Address)
		}
		return len(out) < wanted
	})
	out = append(out, storeless...)
	return out[:min(len(out), wanted)]
}

// isWatcher reports whether this instance is a watcher of its failure domain.
func (n *Node) isWatcher() bool { return slices.Contains(n.watchers(n.self.Domain), n.self.Address) }

// watchesClosely reports whether this instance is the one in its region that repeats its watches
// in short intervals: the first watcher of the first failure domain that has one.
func (n *Node) watchesClosely() bool {
	region := n.settings().Region(n.self.Domain)
	domains := make(map[string]bool)
	for _, i := range n.snapshot.Load().instances {
		if n.settings().Region(i.Domain) == region {
			domains[i.Domain] = true
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		if list := n.watchers(domain); len(list) > 0 {
			return list[0] == n.self.Address
		}
	}
	return false
}

// watchRole is the part of an instance in watching the store.
type watchRole string

const (
	roleNone  watchRole = "none"  // learns of changes from the watchers
	roleFar   watchRole = "far"   // a watcher that repeats its watches in long intervals
	roleClose watchRole = "close" // a watcher that repeats its watches in short intervals
)

// watchRole returns the instance's present part in watching the store.
func (n *Node) watchRole() watchRole {
	switch {
	case !n.isWatcher():
		return roleNone
	case len(n.snapshot.Load().instances) <= smallFleetSize || n.watchesClosely():
		return roleClose
	}
	return roleFar
}

// logWatchRole logs a change of the instance's part in watching the store, and returns the
// present one.
func (n *Node) logWatchRole(before watchRole) watchRole {
	role := n.watchRole()
	if role != before {
		n.log.Info("store: role changed", "role", role, "before", before, "storeless", n.storeless(), "watchers", n.watchers(n.self.Domain))
	}
	return role
}

// refreshPlan returns how the table of a kind is kept up to date. The store may drop a watch
// without an error. In a small fleet each watcher therefore repeats a watch within half of the
// time in which a change must be in force. In a large one, whose watchers compare their tables by
// pings about every half second, one watcher of each region does so, and the others wait for
// longer. The durations are random, so that the watches of the fleet do not all end at the same
// time.
func (n *Node) refreshPlan(k Kind) refresh {
	bound := n.changeBound(k)
	large := len(n.snapshot.Load().instances) > smallFleetSize
	r := refresh{wait: watchTimeout, limit: watchTimeout}
	switch role := n.watchRole(); {
	case large && role == roleNone && n.storeless():
		r.pause, r.listOnly = storelessListInterval+rand.N(storelessListInterval), true
		return r
	case large && role == roleNone:
		r.pause, r.listOnly = staleListInterval+rand.N(staleListInterval), true
		return r
	case k == KindInstance:
		r.pause = instanceBatchDelay
		return r
	case role == roleClose:
		quarter := max(bound/4, 1)
		r.wait, r.limit = min(quarter+rand.N(quarter), watchTimeout), min(bound/2, watchTimeout)
	case role == roleFar:
		r.wait = watchTimeout/2 + rand.N(watchTimeout/2)
	}
	if large && k == KindUpstream {
		r.pause = registryBatchDelay
	}
	return r
}

// changeBound returns the time within which a change of a kind must be in force, or the longest
// bound if the deployment sets none.
func (n *Node) changeBound(k Kind) time.Duration {
	switch k {
	case KindPolicy:
		return n.settings().ApplyTimeout
	case KindOutDomain:
		return n.settings().EvacuateTimeout
	case KindUpstream:
		return n.settings().LeaveTimeout
	}
	return defaultEvacuateTimeout
}

// mayListStale reports whether the first list of a kind may be seconds old, because a change of
// the kind may take longer than that to be in force.
func (n *Node) mayListStale(k Kind) bool {
	return k == KindOutDomain && n.changeBound(k) >= defaultEvacuateTimeout
}

// announceChange pings other instances at once after a change, if this instance is a watcher
// in a small fleet. The pings show them that their tables differ, and they request the
// change.
func (n *Node) announceChange(k Kind) {
	if k == KindInstance || !n.isWatcher() || len(n.snapshot.Load().instances) > smallFleetSize {
		return
	}
	for _, address := range n.pingTargets() {
		go n.ping(context.Background(), address)
	}
}

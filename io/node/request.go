package node

// Requests for tables: an instance whose tables differ from another's asks for the changes.

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// tablesInterval is the shortest time between two requests for tables by an instance of
	// a large fleet, which several watchers inform about every change.
	tablesInterval = 200 * time.Millisecond
	// farTablesInterval is the same for requests to other regions: the watchers of the own
	// region learn of most changes just as early, and traffic between regions costs more.
	farTablesInterval = time.Second
	// maxTableRequests bounds the requests for tables of an instance that are under way, so
	// that they do not fill its link with copies of the same table. More than one are needed
	// because an instance may not answer.
	maxTableRequests = 3
)

// requestTablesFromRandomPeer requests newer tables from a random instance that answers, in
// the own region if possible.
func (n *Node) requestTablesFromRandomPeer(ctx context.Context) {
	addresses := n.answeringPeers()
	if len(addresses) == 0 {
		addresses = n.settings().Seeds
	}
	if len(addresses) == 0 {
		return
	}
	s := n.snapshot.Load()
	var region []string
	for _, a := range addresses {
		if n.isInOwnRegion(s, a) {
			region = append(region, a)
		}
	}
	if len(region) > 0 {
		addresses = region
	}
	address := addresses[rand.IntN(len(addresses))]
	if address != n.self.Address {
		n.requestTables(ctx, address)
	}
}

// requestTables requests newer tables from an instance and applies them.
func (n *Node) requestTables(ctx context.Context, address string) {
	running := n.tableRequests.Add(1)
	defer n.tableRequests.Add(-1)
	if running > maxTableRequests || !n.mayRequestTables(address) {
		return // the next ping will show the difference again
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := n.tables.request()
	r.Version = n.snapshot.Load().policy.Version
	for again := true; again; {
		again = false
		var reply TablesReply
		sent := n.now()
		if err := n.peers.Call(ctx, address, "Node.Tables", r, &reply); err != nil {
			n.log.Info("peer: tables not received", "peer", address, "took", n.now().Sub(sent), "requests", running, "err", err.Error())
			n.metrics.increment("burdockseam_table_requests_total{outcome=\"failed\"}")
			n.recordNoAnswer(address, err)
			return
		}
		n.metrics.increment("burdockseam_table_requests_total{outcome=\"ok\"}")
		n.learnPolicy(address, reply.Policy)
		for _, u := range reply.Updates {
			n.metrics.addTableBytes(u.Kind, u.size())
			changed, fits := n.tables.applyUpdate(u)
			if changed || !fits {
				n.log.V(1).Info("peer: table updated from a peer", "peer", address, "kind", u.Kind, "revision", u.Revision, "whole", u.Whole, "objects", len(u.Objects), "bytes", u.size(), "took", n.now().Sub(sent), "requests", running, "fits", fits)
			} else {
				n.log.V(1).Info("peer: table was known already", "peer", address, "kind", u.Kind, "revision", u.Revision, "bytes", u.size(), "took", n.now().Sub(sent), "requests", running)
			}
			if !fits && r.Have[u.Kind] != (TableVersion{}) {
				r.Have[u.Kind] = TableVersion{} // requests the whole table
				delete(r.Contents, u.Kind)
				again = true
			}
		}
	}
}

// mayRequestTables reports whether this instance may request tables from another one now. In
// a large fleet it also records the time of the request.
func (n *Node) mayRequestTables(address string) bool {
	s := n.snapshot.Load()
	if len(s.instances) <= smallFleetSize {
		return true
	}
	pause := farTablesInterval
	if n.isInOwnRegion(s, address) {
		pause = tablesInterval
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if now.Sub(n.tablesRequestedAt) < pause {
		return false
	}
	n.tablesRequestedAt = now
	return true
}

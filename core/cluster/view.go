package cluster

// This file places work on instances by rendezvous hashing with xxhash. Each piece of
// work has a name, each instance has a score for that name, and the instance with the
// highest score gets the work. A change of one instance therefore moves only the work
// that it held before or holds afterwards.

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"burdockseam/core/config"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchersPerDomain is the number of instances of a failure domain that watch the
	// store. One of them may be lost.
	watchersPerDomain = 2
	// returnRamp is the time in which a returning failure domain's share of its usual
	// work rises from 0 to 1.
	returnRamp = 10 * time.Second
)

// hashKey returns the hash of the name of a piece of work, an instance or a failure
// domain.
func hashKey(key string) uint64 { return xxhash.Sum64String(key) }

// score returns the rendezvous score of a node for a key, both given as hashes.
func score(key, node uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], node)
	return xxhash.Sum64(b[:])
}

// domainView is a failure domain in a View.
type domainView struct {
	nodes []node  // live instances in relay order
	in    bool    // takes new work by the configuration
	share float64 // share of its usual work, below 1 while it returns
}

// View is an immutable snapshot of the fleet as one instance knows it.
type View struct {
	domains map[string]domainView
	in      []string // failure domains that are in by the configuration, sorted
}

// DomainReturns tracks since when failure domains have been returning after they were
// out or silent. The zero DomainReturns is ready to use.
type DomainReturns struct {
	out        map[string]bool      // failure domains that are out or silent
	returnedAt map[string]time.Time // start of the ramp of returning failure domains
}

// observe notes the failure domains that are out or silent now.
func (d *DomainReturns) observe(now time.Time, out map[string]bool) {
	if d.out == nil {
		d.returnedAt = map[string]time.Time{}
	}
	for name := range d.out {
		if !out[name] {
			d.returnedAt[name] = now
		}
	}
	for name, at := range d.returnedAt {
		if out[name] || now.Sub(at) >= returnRamp {
			delete(d.returnedAt, name)
		}
	}
	d.out = out
}

// View returns the current View. While there is no configuration, all failure domains
// count as in, so that there are watchers, which can read a configuration. A failure
// domain that is missing from the configuration counts as out.
func (m *Members) View(now time.Time, cfg config.Config, returns *DomainReturns) View {
	view := View{domains: make(map[string]domainView, len(m.domainHeardAt))}
	out := map[string]bool{}
	for name := range cfg.Domains {
		if cfg.Domains[name].State == config.StateIn {
			view.in = append(view.in, name)
		}
	}
	if cfg.Revision == 0 {
		view.in = slices.Collect(maps.Keys(m.domainHeardAt))
	}
	slices.Sort(view.in)
	for name := range m.domainHeardAt {
		domain := domainView{share: 1}
		_, domain.in = slices.BinarySearch(view.in, name)
		if m.domainIsSilent(now, name) {
			out[name] = true
		} else {
			domain.nodes = m.liveNodes(name)
		}
		if !domain.in {
			out[name] = true
		}
		view.domains[name] = domain
	}
	returns.observe(now, out)
	for name, at := range returns.returnedAt {
		if domain, ok := view.domains[name]; ok {
			domain.share = min(1, float64(now.Sub(at))/float64(returnRamp))
			view.domains[name] = domain
		}
	}
	return view
}

// Digest returns a hash of everything that placement depends on.
func (v View) Digest() uint64 {
	var hash xxhash.Digest
	var b [8]byte
	add := func(x uint64) {
		binary.LittleEndian.PutUint64(b[:], x)
		// A hash never returns an error.
		_, _ = hash.Write(b[:])
	}
	hash.Reset()
	for _, name := range slices.Sorted(maps.Keys(v.domains)) {
		domain := v.domains[name]
		add(hashKey(name))
		add(math.Float64bits(domain.share))
		if domain.in {
			add(1)
		}
		for _, n := range domain.nodes {
			add(n.hash)
		}
	}
	return hash.Sum64()
}

// InDomains returns the failure domains that are in by the configuration, in sorted
// order.
func (v View) InDomains() []string { return v.in }

// LiveCount returns the number of live instances in a failure domain, which is 0 while
// the failure domain is silent.
func (v View) LiveCount(domain string) int { return len(v.domains[domain].nodes) }

// Watchers returns the instances of a failure domain that watch the store. The first
// of them also writes the failure domain's status. A failure domain that is out has no
// watchers. The share of a returning failure domain does not limit its watchers,
// because the freshness rule needs their outage reports from the start.
func (v View) Watchers(domain string) []string {
	view := v.domains[domain]
	if !view.in {
		return nil
	}
	return addresses(view.nodes[:min(len(view.nodes), watchersPerDomain)])
}

// StatusWriter returns the instance that writes a failure domain's status, or "".
func (v View) StatusWriter(domain string) string {
	if watchers := v.Watchers(domain); len(watchers) > 0 {
		return watchers[0]
	}
	return ""
}

// addresses returns the addresses of nodes in the same order.
func addresses(nodes []node) []string {
	list := make([]string, len(nodes))
	for i, n := range nodes {
		list[i] = n.address
	}
	return list
}

// admitsWork reports whether a failure domain takes the piece of work with this key.
// While it returns, it takes the pieces whose score, as a fraction of 1, lies below its
// share.
func (v View) admitsWork(key uint64, domain string) bool {
	view := v.domains[domain]
	if !view.in {
		return false
	}
	return view.share >= 1 || float64(score(key, hashKey(domain))>>11)/(1<<53) < view.share
}

// candidate is a scored instance.
type candidate struct {
	node
	domain string
	score  uint64
}

// rankNodes returns the instances of the failure domains that admit a key, highest
// score first. If only is not empty, it leaves out the other failure domains.
func (v View) rankNodes(key uint64, only string) []candidate {
	var list []candidate
	for name, view := range v.domains {
		if only != "" && name != only || !v.admitsWork(key, name) {
			continue
		}
		for _, node := range view.nodes {
			list = append(list, candidate{node, name, score(key, node.hash)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	return list
}

// bestNode returns the instance with the highest score for a key among those that pass,
// or "". It does not rank the others, because it runs for every upstream when the fleet
// changes.
func (v View) bestNode(key uint64, pass func(domain, address string) bool) string {
	var best candidate
	for name, view := range v.domains {
		if !v.admitsWork(key, name) {
			continue
		}
		for _, node := range view.nodes {
			if !pass(name, node.address) {
				continue
			}
			nodeScore := score(key, node.hash)
			if best.address == "" || nodeScore > best.score || nodeScore == best.score && node.address < best.address {
				best = candidate{node, name, nodeScore}
			}
		}
	}
	return best.address
}

// gatewayOf returns the gateway of an upstream, preferably in the upstream's failure
// domain, or "".
func (v View) gatewayOf(key uint64, domain string) string {
	if gateway := v.bestNode(key, func(d, _ string) bool { return d == domain }); gateway != "" {
		return gateway
	}
	return v.bestNode(key, func(string, string) bool { return true })
}

// Gateways returns up to n instances that may serve as an upstream's gateway, in order
// of preference. The first is the gateway. Instances of the upstream's failure domain
// come before all others.
func (v View) Gateways(upstream, domain string, n int) []string {
	key := hashKey("gateway/" + upstream)
	if n == 1 {
		if gateway := v.gatewayOf(key, domain); gateway != "" {
			return []string{gateway}
		}
		return nil
	}
	var gateways []string
	for _, node := range v.rankNodes(key, domain) {
		if len(gateways) == n {
			return gateways
		}
		gateways = append(gateways, node.address)
	}
	for _, node := range v.rankNodes(key, "") {
		if len(gateways) == n {
			break
		}
		if node.domain != domain {
			gateways = append(gateways, node.address)
		}
	}
	return gateways
}

// RescueGateway returns the instance that stands in for an upstream's gateway while the
// gateway is unreachable, or "". It is the best instance of another failure domain than
// the upstream's, since a whole failure domain may be cut off. If there is none, it is
// the best other instance of the same failure domain.
func (v View) RescueGateway(upstream, domain string) string {
	key := hashKey("gateway/" + upstream)
	first := v.gatewayOf(key, domain)
	if other := v.bestNode(key, func(d, a string) bool { return d != domain && a != first }); other != "" {
		return other
	}
	return v.bestNode(key, func(_, a string) bool { return a != first })
}

// ShardOwner returns the preferred owner of a quota shard and up to two standbys. The
// standbys lie in other failure domains than the owner and, if there are enough, than
// each other. With a single failure domain the standbys are other instances of it.
func (v View) ShardOwner(shard string) (owner string, standbys []string) {
	key := hashKey("owner/" + shard)
	if owner, standbys := v.ownerAcrossDomains(key); owner != "" {
		return owner, standbys
	}
	ranked := v.rankNodes(key, "")
	if len(ranked) == 0 {
		return "", nil
	}
	used := map[string]int{ranked[0].domain: 2}
	// Level 0 takes the best instances of unused failure domains, level 1 also those
	// of a standby's failure domain, and level 2 also those of the owner's.
	for level := range 3 {
		for _, node := range ranked[1:] {
			if len(standbys) < 2 && used[node.domain] <= level && !slices.Contains(standbys, node.address) {
				standbys = append(standbys, node.address)
				used[node.domain] = max(used[node.domain], 1)
			}
		}
	}
	return ranked[0].address, standbys
}

// ownerAcrossDomains is ShardOwner for a fleet with at least three failure domains that
// admit the key. It needs only the best instance of each and ranks no others. In a
// smaller fleet it returns "".
func (v View) ownerAcrossDomains(key uint64) (owner string, standbys []string) {
	var best []candidate
	for name := range v.domains {
		address := v.bestNode(key, func(d, _ string) bool { return d == name })
		if address != "" {
			best = append(best, candidate{node{address: address}, name, score(key, hashKey(address))})
		}
	}
	if len(best) < 3 {
		return "", nil
	}
	slices.SortFunc(best, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	return best[0].address, []string{best[1].address, best[2].address}
}

// GroupObservers returns the distinct gateways of a group's upstreams in rendezvous
// order. The first live gateway coordinates the group.
func (v View) GroupObservers(group string, upstreams []config.Upstream) []string {
	key := hashKey("group/" + group)
	var observers []string
	for _, u := range upstreams {
		if gateways := v.Gateways(u.Name, u.Domain, 1); len(gateways) > 0 && !slices.Contains(observers, gateways[0]) {
			observers = append(observers, gateways[0])
		}
	}
	slices.SortFunc(observers, func(a, b string) int {
		return cmp.Compare(score(key, hashKey(b)), score(key, hashKey(a)))
	})
	return observers
}

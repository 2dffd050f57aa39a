package node

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/config"
	"burdockseam/core/placement"
)

// Entry is an upstream as its object in the registry describes it.
type Entry struct {
	config.Upstream
	// ClaimsPrimary is set if the upstream reports itself as the primary.
	ClaimsPrimary bool
	// Incarnation differs between the runs of an upstream that keeps its name.
	Incarnation int64
}

// Schema decodes the objects that the platform and the operators write.
type Schema interface {
	Policy(o Object) (access.Policy, error)
	Upstream(o Object) (Entry, error)
	// OutDomain returns the failure domain that the object takes out of service.
	OutDomain(o Object) string
}

// upstream is an entry of the registry, together with what the other tables say about it.
type upstream struct {
	Entry
	// stamp is the point in the history of the store at which the entry was written.
	stamp Stamp
	place placement.Place
	// eligible is set if the upstream takes new work: it is active and its failure domain is
	// not out.
	eligible bool
	// since is the time at which this instance learned of the upstream's incarnation.
	since time.Time
}

// snapshot is an instance's view of the fleet, built from its tables. It is immutable.
type snapshot struct {
	policy access.Policy
	// policyObject is the object that the policy was decoded from.
	policyObject Object
	upstreams    map[string]*upstream
	groups       map[string][]*upstream // by name of the group, sorted by the upstream's name
	outDomains   map[string]bool        // failure domains that are out
	// instances lists those that take work, sorted by address. runningInstances also counts
	// instances that are leaving and may still run.
	instances        []placement.Instance
	leaving          []placement.Instance // instances that take no new work
	runningInstances int
	// delegates is set if all known instances support limits by delegated parts.
	delegates bool
	// ranks caches the order in which instances are preferred for a key.
	ranks *placement.RankCache
	// objectNames are the names of the instances' objects, by address.
	objectNames map[string]string
	// policyData has the policies that were decoded, and entryCache the decoded entries of
	// the registry, both by the object's name. An object is decoded again only after its
	// content has changed.
	policyData map[string]json.RawMessage
	entryCache map[string]decodedEntry
}

// decodedEntry is the result of decoding an entry of the registry.
type decodedEntry struct {
	data  json.RawMessage
	entry Entry
	err   error
	// since is the time at which an entry with this incarnation was first decoded.
	since time.Time
}

// newSnapshot returns the view of an instance that has no tables yet: a fleet of itself
// alone.
func newSnapshot(self placement.Instance) *snapshot {
	alone := []placement.Instance{self}
	return &snapshot{instances: alone, runningInstances: 1, ranks: placement.NewRankCache(alone)}
}

// member is the content of an instance's object in the store.
type member struct {
	// ID identifies this run of the instance.
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
	// Delegates is set if the build supports limits by delegated parts.
	Delegates bool `json:"delegates"`
}

// buildSnapshot builds a snapshot from the tables. If a policy can't be decoded, the
// previous one stays in force. An entry that can't be decoded is left out.
func (n *Node) buildSnapshot(before *snapshot) *snapshot {
	s := &snapshot{
		policy: before.policy, policyObject: before.policyObject, upstreams: make(map[string]*upstream),
		groups: make(map[string][]*upstream), outDomains: make(map[string]bool), objectNames: make(map[string]string),
		policyData: make(map[string]json.RawMessage), entryCache: make(map[string]decodedEntry),
	}
	for _, o := range n.tables.get(KindPolicy).Objects {
		s.policyData[o.Name] = o.Data
		if decoded, ok := before.policyData[o.Name]; ok && bytes.Equal(decoded, o.Data) {
			continue
		}
		n.decodePolicy(s, o)
	}
	if o := n.takeLearnedPolicy(); o.Name != "" {
		n.decodePolicy(s, o)
	}
	for _, o := range n.tables.get(KindOutDomain).Objects {
		s.outDomains[n.schema.OutDomain(o)] = true
	}
	for _, o := range n.tables.lostOf(KindOutDomain) {
		s.outDomains[n.schema.OutDomain(o)] = true
	}
	n.buildUpstreams(s, before.entryCache)
	n.buildInstances(s)
	s.ranks = before.ranks.WithInstances(s.instances)
	return s
}

// decodePolicy puts a policy into a snapshot if it is newer than the one there.
func (n *Node) decodePolicy(s *snapshot, o Object) {
	p, err := n.schema.Policy(o)
	switch {
	case err != nil:
		n.log.Info("config: policy not decoded", "name", o.Name, "revision", o.Revision, "err", err.Error())
	case p.Version > s.policy.Version:
		s.policy, s.policyObject = p, o
	}
}

// buildUpstreams adds the upstreams and groups to a snapshot.
func (n *Node) buildUpstreams(s *snapshot, before map[string]decodedEntry) {
	era, lost := n.tables.get(KindUpstream).Era, n.tables.lostOf(KindUpstream)
	for _, o := range n.tables.upstreams() {
		d, ok := before[o.Name]
		if !ok || !bytes.Equal(d.data, o.Data) {
			e, err := n.schema.Upstream(o)
			since := d.since
			if !ok || d.entry.Incarnation != e.Incarnation {
				since = n.now()
			}
			d = decodedEntry{o.Data, e, err, since}
		}
		s.entryCache[o.Name] = d
		if d.err != nil {
			n.logSkipped(o, d.err)
			continue
		}
		e := d.entry
		if o, ok := lost[o.Name]; ok && n.saidToLeave(o, e.Incarnation) {
			e.State = config.StateLeaving
		}
		if _, ok := s.policy.Groups[e.Group]; !ok {
			n.logSkipped(o, Error.New("group %q does not exist", e.Group))
			continue
		}
		e.Connections = s.policy.Groups[e.Group].Connections
		u := &upstream{
			Entry: e, stamp: Stamp{era, o.Revision}, place: n.settings().Place(e.Domain),
			eligible: e.State == config.StateActive && !s.outDomains[e.Domain],
			since:    d.since,
		}
		s.upstreams[e.Name] = u
		s.groups[e.Group] = append(s.groups[e.Group], u)
	}
	for _, list := range s.groups {
		slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// saidToLeave reports whether an entry that the store has lost says that this run of the upstream
// leaves.
func (n *Node) saidToLeave(o Object, incarnation int64) bool {
	e, err := n.schema.Upstream(o)
	return err == nil && e.State == config.StateLeaving && e.Incarnation == incarnation
}

// logSkipped logs that an object was left out of the snapshot, once for each of its
// revisions.
func (n *Node) logSkipped(o Object, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.skippedRevisions[o.Name] == o.Revision {
		return
	}
	n.skippedRevisions[o.Name] = o.Revision
	n.log.Info("registry: entry left out", "entry", o.Name, "revision", o.Revision, "err", err.Error())
}

// buildInstances adds the instances to a snapshot. The own instance is always among them.
func (n *Node) buildInstances(s *snapshot) {
	s.delegates = true
	for _, o := range n.tables.get(KindInstance).Objects {
		var m member
		if err := json.Unmarshal(o.Data, &m); err != nil || m.Address == "" {
			n.logSkipped(o, Error.New("object does not describe an instance with an address: %v", err))
			continue
		}
		s.runningInstances++
		s.delegates = s.delegates && m.Delegates
		s.objectNames[m.Address] = o.Name
		i := placement.Instance{ID: m.ID, Address: m.Address, Domain: m.Domain, Region: n.settings().Region(m.Domain)}
		if m.Leaving {
			s.leaving = append(s.leaving, i)
			continue
		}
		s.instances = append(s.instances, i)
	}
	if !slices.ContainsFunc(s.instances, func(i placement.Instance) bool { return i.Address == n.self.Address }) {
		s.instances = append(s.instances, n.self)
		if s.objectNames[n.self.Address] == "" {
			s.runningInstances++ // an instance that is leaving has its object counted
		}
	}
	slices.SortFunc(s.instances, func(a, b placement.Instance) int { return cmp.Compare(a.Address, b.Address) })
}

const (
	// maxBuildShare bounds the share of time spent on building snapshots while tables change
	// constantly, as they do when a large fleet starts: after a snapshot that took a
	// millisecond, the next one is built nine milliseconds later at the earliest.
	maxBuildShare = 0.1
	// maxBuildPause bounds the pause between two snapshots. If the process was frozen while
	// it built a snapshot, the measured time is long, but a change of the configuration must
	// still come into force in time.
	maxBuildPause = 500 * time.Millisecond
)

// tableChanged builds a new snapshot, at once or after the pause that maxBuildShare
// requires.
func (n *Node) tableChanged(k Kind) {
	n.mu.Lock()
	n.dirty[k] = true
	pause := n.nextBuildAt.Sub(n.now())
	later := n.buildScheduled || n.building
	if !later && pause > 0 {
		n.buildScheduled, later = true, true
		time.AfterFunc(pause, n.rebuild)
	}
	n.mu.Unlock()
	if !later {
		n.rebuild()
	}
}

// rebuild builds a new snapshot if tables have changed since the last one. When it returns,
// all changes from before the call are in force.
func (n *Node) rebuild() {
	// Tables are changed by several goroutines. A snapshot of older tables must not replace
	// a newer one.
	n.buildMu.Lock()
	defer n.buildMu.Unlock()
	n.mu.Lock()
	changed := n.dirty
	n.dirty, n.buildScheduled, n.building = make(map[Kind]bool), false, len(changed) > 0
	n.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	began := n.now()
	before := n.snapshot.Load()
	s := n.buildSnapshot(before)
	n.mu.Lock()
	n.snapshot.Store(s)
	var forget []string
	now := n.now()
	for name, u := range s.upstreams {
		if previous, ok := n.incarnations[name]; ok && previous != u.Incarnation {
			forget = append(forget, name)
			delete(n.stats, name)
		}
		n.incarnations[name] = u.Incarnation
		if _, ok := n.ineligibleSince[name]; !ok && !u.eligible {
			n.ineligibleSince[name] = now
			n.log.Info("registry: upstream takes no new work", "upstream", name, "state", u.State, "out", s.outDomains[u.Domain], "revision", u.stamp.Revision, "era", u.stamp.Era)
		} else if u.eligible {
			delete(n.ineligibleSince, name)
		}
	}
	for name := range n.incarnations {
		if s.upstreams[name] == nil {
			forget = append(forget, name)
			delete(n.incarnations, name)
			delete(n.ineligibleSince, name)
			delete(n.stats, name)
		}
	}
	n.mu.Unlock()
	for _, name := range forget {
		n.gateways.CloseGateway(name)
	}
	n.health.forget(forget)
	if s.policy.Version != before.policy.Version {
		n.log.Info("config: in force", "version", s.policy.Version, "replaced", before.policy.Version, "routes", len(s.policy.Routes))
	}
	n.metrics.version.Set(float64(s.policy.Version))
	n.limits.configure(s)
	n.primaries.configure(s)
	n.wakeStatements()
	for k := range changed {
		n.announceChange(k)
	}
	now = n.now()
	pause := min(maxBuildPause, time.Duration(float64(now.Sub(began))*(1/maxBuildShare-1)))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.building, n.nextBuildAt = false, now.Add(pause)
	if len(n.dirty) > 0 {
		n.buildScheduled = true
		time.AfterFunc(pause, n.rebuild)
	}
}

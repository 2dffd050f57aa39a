package node

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/config"
	"burdockseam/core/placement"
)

// Entry is an upstream as the registry shows it.
type Entry struct {
	config.Upstream
	// Leads says that the upstream takes itself for the primary.
	Leads bool
	// Born tells the runs of an upstream apart that keeps its name.
	Born int64
}

// Schema reads the objects that others write.
type Schema interface {
	Policy(o Object) (access.Policy, error)
	Upstream(o Object) (Entry, error)
	// Out returns the failure domain that an object takes out.
	Out(o Object) string
}

// upstream is an upstream with what the tables say about it.
type upstream struct {
	Entry
	// changed is the revision of the entry.
	changed uint64
	place   placement.Place
	// fit says that it takes new work: it is not leaving and its domain is in.
	fit bool
}

// snapshot is what an instance believes about the fleet, built from its tables. It is
// not changed after it was built.
type snapshot struct {
	policy    access.Policy
	upstreams map[string]*upstream
	groups    map[string][]*upstream // by name of the upstream
	out       map[string]bool        // failure domains
	// instances are those that take work, by address. running counts all that may be running.
	instances []placement.Instance
	running   int
	// first has the begins of the ranks of instances.
	first *placement.RankCache
	// objects are the names of the instances' objects, by address.
	objects map[string]string
	// policies are the revisions of the policies that were looked at, and entries what was
	// read from the registry, both by name of the object. They are read again only when
	// they change.
	policies map[string]uint64
	entries  map[string]decoded
}

// decoded is an entry of the registry as it was read.
type decoded struct {
	revision uint64
	entry    Entry
	err      error
}

// newSnapshot returns what an instance believes before it knows any table.
func newSnapshot(self placement.Instance) *snapshot {
	alone := []placement.Instance{self}
	return &snapshot{instances: alone, running: 1, first: placement.NewRankCache(alone)}
}

// member is the content of an instance's object.
type member struct {
	// ID names this run of the instance.
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

// build makes a snapshot. A policy that can't be read leaves the one before in force;
// an entry that can't be read names no upstream.
func (n *Node) build(before *snapshot) *snapshot {
	s := &snapshot{
		policy: before.policy, upstreams: make(map[string]*upstream),
		groups: make(map[string][]*upstream), out: make(map[string]bool), objects: make(map[string]string),
		policies: make(map[string]uint64), entries: make(map[string]decoded),
	}
	for _, o := range n.tables.get(KindPolicy).Objects {
		s.policies[o.Name] = o.Revision
		if before.policies[o.Name] == o.Revision {
			continue
		}
		p, err := n.schema.Policy(o)
		switch {
		case err != nil:
			n.log.Info("config: object not understood", "name", o.Name, "revision", o.Revision, "err", err.Error())
		case p.Version > s.policy.Version:
			s.policy = p
		}
	}
	for _, o := range n.tables.get(KindOut).Objects {
		s.out[n.schema.Out(o)] = true
	}
	n.buildUpstreams(s, before.entries)
	n.buildInstances(s)
	s.first = before.first.WithInstances(s.instances)
	return s
}

func (n *Node) buildUpstreams(s *snapshot, before map[string]decoded) {
	for _, o := range n.tables.upstreams() {
		d, ok := before[o.Name]
		if !ok || d.revision != o.Revision {
			e, err := n.schema.Upstream(o)
			d = decoded{o.Revision, e, err}
		}
		s.entries[o.Name] = d
		if d.err != nil {
			n.skip(o, d.err)
			continue
		}
		e := d.entry
		if _, ok := s.policy.Groups[e.Group]; !ok {
			n.skip(o, Error.New("no such group %q", e.Group))
			continue
		}
		e.Connections = s.policy.Groups[e.Group].Connections
		u := &upstream{
			Entry: e, changed: o.Revision, place: n.settings().Place(e.Domain),
			fit: e.State == config.StateActive && !s.out[e.Domain],
		}
		s.upstreams[e.Name] = u
		s.groups[e.Group] = append(s.groups[e.Group], u)
	}
	for _, list := range s.groups {
		slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// skip logs once that an entry names no upstream.
func (n *Node) skip(o Object, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.skipped[o.Name] == o.Revision {
		return
	}
	n.skipped[o.Name] = o.Revision
	n.log.Info("registry: entry passed over", "entry", o.Name, "revision", o.Revision, "err", err.Error())
}

func (n *Node) buildInstances(s *snapshot) {
	for _, o := range n.tables.get(KindInstance).Objects {
		var m member
		if err := json.Unmarshal(o.Data, &m); err != nil || m.Address == "" {
			n.skip(o, Error.New("not an instance: %v", err))
			continue
		}
		s.running++
		s.objects[m.Address] = o.Name
		if !m.Leaving {
			s.instances = append(s.instances, placement.Instance{
				ID: m.ID, Address: m.Address, Domain: m.Domain, Region: n.settings().Region(m.Domain),
			})
		}
	}
	if !slices.ContainsFunc(s.instances, func(i placement.Instance) bool { return i.Address == n.self.Address }) {
		s.instances = append(s.instances, n.self)
		s.running++
	}
	slices.SortFunc(s.instances, func(a, b placement.Instance) int { return cmp.Compare(a.Address, b.Address) })
}

const (
	// buildShare bounds the time spent on building snapshots while tables change all the
	// time, as when a large fleet starts: a snapshot that took a millisecond is not followed
	// by another one before nine more have passed.
	buildShare = 0.1
	// buildPause bounds that pause. A process that stood still while it built a snapshot must
	// not put off the next one for longer than a change may take to be in force.
	buildPause = 500 * time.Millisecond
)

// tableChanged has a new snapshot built, at once or after a pause.
func (n *Node) tableChanged(k Kind) {
	n.mu.Lock()
	n.dirty[k] = true
	pause := n.calm.Sub(n.now())
	later := n.pending || n.busy
	if !later && pause > 0 {
		n.pending, later = true, true
		time.AfterFunc(pause, n.rebuild)
	}
	n.mu.Unlock()
	if !later {
		n.rebuild()
	}
}

// rebuild makes a new snapshot if tables have changed since the last one. It returns when
// all changes before the call are in force.
func (n *Node) rebuild() {
	// Tables change in several goroutines. A snapshot that was built from older tables must
	// not replace a newer one.
	n.building.Lock()
	defer n.building.Unlock()
	n.mu.Lock()
	changed := n.dirty
	n.dirty, n.pending, n.busy = make(map[Kind]bool), false, len(changed) > 0
	n.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	began := n.now()
	before := n.snapshot.Load()
	s := n.build(before)
	n.mu.Lock()
	n.snapshot.Store(s)
	var forget []string
	now := n.now()
	for name, u := range s.upstreams {
		if born, ok := n.born[name]; ok && born != u.Born {
			forget = append(forget, name)
			delete(n.known, name)
		}
		n.born[name] = u.Born
		if _, ok := n.unfit[name]; !ok && !u.fit {
			n.unfit[name] = now
			n.log.Info("registry: upstream takes no new work", "upstream", name, "state", u.State, "out", s.out[u.Domain], "revision", u.changed)
		} else if u.fit {
			delete(n.unfit, name)
		}
	}
	for name := range n.born {
		if s.upstreams[name] == nil {
			forget = append(forget, name)
			delete(n.born, name)
			delete(n.unfit, name)
			delete(n.known, name)
		}
	}
	n.mu.Unlock()
	for _, name := range forget {
		n.gateways.Forget(name)
	}
	if s.policy.Version != before.policy.Version {
		n.log.Info("config: in force", "version", s.policy.Version, "replaced", before.policy.Version, "routes", len(s.policy.Routes))
	}
	n.metrics.version.Set(float64(s.policy.Version))
	n.limits.configure(s)
	n.leaders.configure(s)
	n.wake()
	for k := range changed {
		n.spread(k)
	}
	now = n.now()
	pause := min(buildPause, time.Duration(float64(now.Sub(began))*(1/buildShare-1)))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy, n.calm = false, now.Add(pause)
	if len(n.dirty) > 0 {
		n.pending = true
		time.AfterFunc(pause, n.rebuild)
	}
}

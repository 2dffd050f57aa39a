package instance

// What operators see and change while the instance runs.

import (
	"context"
	"slices"
	"time"

	"burdockseam/core"
	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/io/postgres"
)

// Status is what /status shows.
type Status struct {
	Name     string         `json:"name"`
	Domain   string         `json:"domain"`
	Listen   string         `json:"listen"`
	Peer     string         `json:"peer"`
	Revision uint64         `json:"revision"`
	Ready    bool           `json:"ready"`
	Reason   string         `json:"reason,omitempty"`
	Fresh    Freshness      `json:"fresh"`
	Callers  int            `json:"callers"`
	Teams    map[string]int `json:"teams"`
	// Shards are those whose lease is valid here, Owners the known owners of all.
	Shards  []string               `json:"shards"`
	Owners  map[string]string      `json:"owners"`
	Groups  map[string]GroupStatus `json:"groups"`
	Members []Member               `json:"members"`
	Domains []cluster.DomainStatus `json:"domains"`
}

// Freshness is the result of the freshness rule.
type Freshness struct {
	Serve   bool     `json:"serve"`
	Reason  string   `json:"reason"`
	Age     string   `json:"age"`
	Missing []string `json:"missing,omitempty"`
}

// GroupStatus is a group's recorded state.
type GroupStatus struct {
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	// Coordinator tells whether this instance coordinates the group.
	Coordinator bool `json:"coordinator"`
}

// Member is an instance as this one knows it.
type Member struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// Status returns the instance's present state.
func (in *Instance) Status() Status {
	cfg := in.config.Load()
	s := Status{
		Name: in.settings.Name, Domain: in.settings.Domain, Listen: in.settings.Listen, Peer: in.settings.Peer,
		Revision: cfg.Revision, Callers: in.server.Callers(), Teams: make(map[string]int),
		Groups: make(map[string]GroupStatus),
	}
	if err := in.ready(); err != nil {
		s.Reason = err.Error()
	} else {
		s.Ready = true
	}
	in.mu.Lock()
	for team, n := range in.teams {
		s.Teams[team] = n
	}
	in.mu.Unlock()
	c := in.control
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	v := c.node.Serves(now)
	s.Fresh = Freshness{Serve: v.Serve, Reason: string(v.Reason), Age: v.Age.Round(time.Millisecond).String(), Missing: v.Missing}
	s.Shards, s.Owners = c.node.Owned(now), c.node.Owners()
	for name := range cfg.Groups {
		if g, _, ok := c.node.State(name); ok {
			s.Groups[name] = GroupStatus{Term: g.Term, Primary: g.Primary, Coordinator: c.node.Leads(name)}
		}
	}
	for _, r := range c.node.Spread().Members().Records() {
		s.Members = append(s.Members, Member{Address: r.Address, Domain: r.Domain, State: string(r.State)})
	}
	s.Domains = c.node.Spread().DomainStatuses(now)
	return s
}

// admitted notes an admitted request of the team, which earns a part of a retry.
func (in *Instance) admitted(team string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.tries.CountAdmitted(in.now(), team)
}

// mayRetry reports whether the team's budget allows a retry.
func (in *Instance) mayRetry(team string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.tries.AllowRetry(in.now(), team)
}

// Running returns the number of callers and of statements for other instances that
// an immediate end would cut.
func (in *Instance) Running() int { return in.server.Callers() + in.linkIn.Active() }

// ready tells why the instance must get no new callers, or nil.
func (in *Instance) ready() error {
	if in.draining.Load() {
		return Error.New("draining")
	}
	c := in.control
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, reason := c.node.Spread().Ready()
	if !ok {
		return Error.New("%s", reason)
	}
	if n := len(c.node.Owners()); n < core.Shards {
		return Error.New("the owners of %d quota shards are not known yet", core.Shards-n)
	}
	if v := c.node.Serves(c.now()); !v.Serve {
		return Error.New("the configuration is not known to be fresh: %s", v.Reason)
	}
	return nil
}

func (in *Instance) description() Description {
	return Description{Name: in.settings.Name, Link: in.settings.Link, Operator: in.settings.Operator}
}

// installed puts a configuration into force in the parts outside the core.
func (in *Instance) installed(cfg config.Config) {
	in.mu.Lock()
	before := in.config.Load()
	if cfg.Revision < before.Revision {
		in.mu.Unlock()
		return
	}
	in.config.Store(&cfg)
	in.control.ups.configure(cfg)
	in.mu.Unlock()
	in.gateways.configure(cfg)
	in.log.Info("config: revision in force", "revision", cfg.Revision)
	ended := config.RevokedKeys(*before, cfg)
	in.server.Kick(func(ps postgres.Session) bool {
		s, ok := ps.(*session)
		if !ok || s.route.Open {
			return false
		}
		_, err := cfg.Allows(s.team, s.key, s.route.Name)
		return err != nil || slices.Contains(ended, s.key)
	}, "the key or the route was withdrawn")
}

// enter counts a caller's connection against its team.
func (in *Instance) enter(s *session) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	limit := in.config.Load().Teams[s.team].Connections
	if s.team != "" && in.teams[s.team] >= limit {
		return postgres.Refuse(postgres.NotRun, "team %s has %d connections at this instance, its limit", s.team, limit)
	}
	in.teams[s.team]++
	return nil
}

func (in *Instance) exit(s *session) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.teams[s.team]--; in.teams[s.team] == 0 {
		delete(in.teams, s.team)
	}
}

// forwardCancel passes a cancel request on, since the balancer may have led it here
// while the caller is connected elsewhere.
func (in *Instance) forwardCancel(pid uint32, secret []byte) {
	c := in.control
	c.mu.Lock()
	records := c.node.Spread().Members().Records()
	c.mu.Unlock()
	for _, r := range records {
		if r.Address == in.settings.Peer || r.State == cluster.Gone {
			continue
		}
		c.task(callTimeout, func(ctx context.Context) {
			var found bool
			c.report(r.Address, in.peers.Call(ctx, r.Address, "Node.Cancel", CancelCall{Process: pid, Secret: secret}, &found))
		})
	}
}

// termRecorded tells the gateways of a group that it has moved to a new term.
func (in *Instance) termRecorded(group string, before, after failover.Group) {
	for _, gw := range in.gateways.list() {
		if gw.group == group {
			gw.moved(after.Term, gw.name == before.Primary && before.Primary != after.Primary)
		}
	}
}

// Config returns the configuration in force.
func (in *Instance) Config() config.Config { return *in.config.Load() }

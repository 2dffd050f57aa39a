package instance

// The instance's status and readiness, its connections, and changes of the configuration
// and of terms while it runs.

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

// Status is the status of an instance, as served under /status.
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
	// Shards has the shards whose lease is valid at this instance, and Owners the known
	// owners of all shards.
	Shards  []string               `json:"shards"`
	Owners  map[string]string      `json:"owners"`
	Groups  map[string]GroupStatus `json:"groups"`
	Members []Member               `json:"members"`
	Domains []cluster.DomainStatus `json:"domains"`
}

// Freshness reports whether the configuration is known to be fresh enough to serve
// protected routes.
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
	// Coordinator reports whether this instance coordinates the group.
	Coordinator bool `json:"coordinator"`
}

// Member is an instance as the reporting instance knows it.
type Member struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// Status returns the instance's current status.
func (in *Instance) Status() Status {
	cfg := in.config.Load()
	s := Status{
		Name: in.settings.Name, Domain: in.settings.Domain, Listen: in.settings.Listen, Peer: in.settings.Peer,
		Revision: cfg.Revision, Callers: in.server.Callers(), Teams: make(map[string]int),
		Groups: make(map[string]GroupStatus),
	}
	if err := in.notReady(); err != nil {
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
	v := c.node.FreshnessVerdict(now)
	s.Fresh = Freshness{Serve: v.Serve, Reason: string(v.Reason), Age: v.Age.Round(time.Millisecond).String(), Missing: v.Missing}
	s.Shards, s.Owners = c.node.OwnedShards(now), c.node.ShardOwners()
	for name := range cfg.Groups {
		if g, _, ok := c.node.GroupState(name); ok {
			s.Groups[name] = GroupStatus{Term: g.Term, Primary: g.Primary, Coordinator: c.node.IsCoordinator(name)}
		}
	}
	for _, r := range c.node.Agent().Members().Records() {
		s.Members = append(s.Members, Member{Address: r.Address, Domain: r.Domain, State: string(r.State)})
	}
	s.Domains = c.node.Agent().DomainStatuses(now)
	return s
}

// countAdmitted counts an admitted request of the team, which earns a part of a retry.
func (in *Instance) countAdmitted(team string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.retries.CountAdmitted(in.now(), team)
}

// allowRetry reports whether the team's budget allows a retry, and charges the retry to
// it.
func (in *Instance) allowRetry(team string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.retries.AllowRetry(in.now(), team)
}

// Running returns the number of connected callers and of statements for other instances
// that would be lost if the instance ended at once.
func (in *Instance) Running() int { return in.server.Callers() + in.linkServer.Active() }

// notReady returns the reason why the instance must get no new callers, or nil.
func (in *Instance) notReady() error {
	if in.draining.Load() {
		return Error.New("draining")
	}
	c := in.control
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, reason := c.node.Agent().Ready()
	if !ok {
		return Error.New("%s", reason)
	}
	if n := len(c.node.ShardOwners()); n < core.Shards {
		return Error.New("the owners of %d quota shards are not known yet", core.Shards-n)
	}
	if v := c.node.FreshnessVerdict(c.now()); !v.Serve {
		return Error.New("the configuration is not known to be fresh: %s", v.Reason)
	}
	return nil
}

func (in *Instance) description() Description {
	return Description{Name: in.settings.Name, Link: in.settings.Link, Operator: in.settings.Operator}
}

// applyConfig applies a configuration that is in force to the parts outside the core, and
// ends the sessions whose key or route was withdrawn.
func (in *Instance) applyConfig(cfg config.Config) {
	in.mu.Lock()
	before := in.config.Load()
	if cfg.Revision < before.Revision {
		in.mu.Unlock()
		return
	}
	in.config.Store(&cfg)
	in.control.upstreams.configure(cfg)
	in.mu.Unlock()
	in.gateways.configure(cfg)
	in.log.Info("config: revision in force", "revision", cfg.Revision)
	revokedKeys := config.RevokedKeys(*before, cfg)
	in.server.EndSessions(func(ps postgres.Session) bool {
		s, ok := ps.(*session)
		if !ok {
			return false
		}
		_, err := cfg.Reauthorize(s.team, s.key, s.route.Name)
		return err != nil || slices.Contains(revokedKeys, s.key)
	}, "the key or the route was withdrawn")
}

// addConnection counts a caller's connection for its team, or refuses the connection if
// the team is at its limit.
func (in *Instance) addConnection(s *session) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	limit := in.config.Load().Teams[s.team].Connections
	if s.team != "" && in.teams[s.team] >= limit {
		return postgres.NewRefusal(postgres.NotRun, "team %s has %d connections at this instance, its limit", s.team, limit)
	}
	in.teams[s.team]++
	return nil
}

// removeConnection removes a closed connection from the count of its team.
func (in *Instance) removeConnection(s *session) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.teams[s.team]--; in.teams[s.team] == 0 {
		delete(in.teams, s.team)
	}
}

// forwardCancel forwards a cancel request to all other instances, since the load balancer
// may have sent it here while the caller is connected to another instance.
func (in *Instance) forwardCancel(pid uint32, secret []byte) {
	c := in.control
	c.mu.Lock()
	records := c.node.Agent().Members().Records()
	c.mu.Unlock()
	for _, r := range records {
		if r.Address == in.settings.Peer || r.State == cluster.Gone {
			continue
		}
		c.task(callTimeout, func(ctx context.Context) {
			var found bool
			c.logCallError(r.Address, in.peers.Call(ctx, r.Address, "Node.Cancel", CancelCall{Process: pid, Secret: secret}, &found))
		})
	}
}

// handleNewTerm passes a new recorded term to the gateways of its group.
func (in *Instance) handleNewTerm(group string, before, after failover.Group) {
	for _, gw := range in.gateways.list() {
		if gw.group == group {
			gw.handleNewTerm(after.Term, gw.upstream == before.Primary && before.Primary != after.Primary)
		}
	}
}

// Config returns the configuration in force.
func (in *Instance) Config() config.Config { return *in.config.Load() }

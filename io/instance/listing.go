package instance

// What burdockctl asks of an instance besides its status: how to reach the other
// members, and a planned switch.

import (
	"context"
	"sync"
	"time"

	"burdockseam/core"
	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/io/operator"
)

// describers bounds the members that are asked at the same time.
const describers = 32

// Reach is a member and how its operators' port is reached.
type Reach struct {
	Member
	Name     string `json:"name,omitempty"`
	Operator string `json:"operator,omitempty"`
	// Error tells why the member did not answer. Name and Operator are then what it
	// said earlier, or empty.
	Error string `json:"error,omitempty"`
}

// Listing asks all members, this one included, how they are reached. Members that
// are gone are left out. /status does without it, because it must not wait for peers.
func (in *Instance) Listing(ctx context.Context) []Reach {
	c := in.control
	c.mu.Lock()
	records := c.node.Spread().Members().Records()
	c.mu.Unlock()
	var list []Reach
	for _, r := range records {
		if r.State != cluster.Gone {
			list = append(list, Reach{Member: Member{Address: r.Address, Domain: r.Domain, State: string(r.State)}})
		}
	}
	turns := make(chan struct{}, describers)
	var all sync.WaitGroup
	for i := range list {
		m := &list[i]
		if m.Address == in.settings.Peer {
			m.Name, m.Operator = in.settings.Name, in.settings.Operator
			continue
		}
		all.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			d, err := in.directory.ask(ctx, m.Address)
			if err != nil {
				m.Error = err.Error()
			}
			m.Name, m.Operator = d.Name, d.Operator
		})
	}
	all.Wait()
	return list
}

// Switch starts a planned switch of a group's primary to an upstream. The error
// wraps operator.ErrNotCoordinator if another instance must be asked.
func (in *Instance) Switch(group, upstream string) error {
	cfg := in.config.Load()
	u, ok := cfg.Upstreams[upstream]
	switch {
	case !ok || u.Group != group:
		return Error.New("group %s has no upstream %s", group, upstream)
	case u.State != config.StateActive:
		return Error.New("upstream %s is leaving", upstream)
	case cfg.Domains[u.Domain].State != config.StateIn:
		return Error.New("failure domain %s of upstream %s is out", u.Domain, upstream)
	}
	var err error
	in.control.do(func(now time.Time) core.Effects {
		if !in.control.node.Leads(group) {
			err = operator.ErrNotCoordinator
			return core.Effects{}
		}
		err = in.control.node.Switch(now, group, upstream)
		return core.Effects{}
	})
	if err == nil {
		in.log.Info("group: planned switch asked for by an operator", "group", group, "upstream", upstream)
	}
	return err
}

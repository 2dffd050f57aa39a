package instance

// Requests of burdockctl besides the instance's status: how to reach the other members, and
// a planned switchover.

import (
	"context"
	"sync"
	"time"

	"burdockseam/core"
	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/io/operator"
)

// maxDescribeCalls bounds the number of members that are called at the same time.
const maxDescribeCalls = 32

// MemberContact is a member, with its name and the address of its operators' port.
type MemberContact struct {
	Member
	Name     string `json:"name,omitempty"`
	Operator string `json:"operator,omitempty"`
	// Error tells why the member did not answer. Name and Operator are then those of its
	// last answer, or empty.
	Error string `json:"error,omitempty"`
}

// MemberContacts requests the names and addresses of all members, except those that are
// gone. It is not part of Status, since /status must not wait for peers.
func (in *Instance) MemberContacts(ctx context.Context) []MemberContact {
	c := in.control
	c.mu.Lock()
	records := c.node.Agent().Members().Records()
	c.mu.Unlock()
	var list []MemberContact
	for _, r := range records {
		if r.State != cluster.Gone {
			list = append(list, MemberContact{Member: Member{Address: r.Address, Domain: r.Domain, State: string(r.State)}})
		}
	}
	turns := make(chan struct{}, maxDescribeCalls)
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
			d, err := in.directory.refresh(ctx, m.Address)
			if err != nil {
				m.Error = err.Error()
			}
			m.Name, m.Operator = d.Name, d.Operator
		})
	}
	all.Wait()
	return list
}

// Switch starts a planned switchover of a group's primary to an upstream. The error wraps
// operator.ErrNotCoordinator if another instance coordinates the group.
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
		if !in.control.node.IsCoordinator(group) {
			err = operator.ErrNotCoordinator
			return core.Effects{}
		}
		err = in.control.node.StartSwitchover(now, group, upstream)
		return core.Effects{}
	})
	if err == nil {
		in.log.Info("group: switchover requested by an operator", "group", group, "upstream", upstream)
	}
	return err
}

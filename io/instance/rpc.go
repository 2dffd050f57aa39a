package instance

// The calls that instances make to each other, by net/rpc.

import (
	"context"
	"time"

	"burdockseam/core"
	"burdockseam/core/cluster"
	"burdockseam/core/failover"
	"burdockseam/core/lease"
	"burdockseam/core/quota"
)

// Nothing is the answer of a call that has none.
type Nothing struct{}

// QuotaReply is an owner's answer; OK is false if it must not answer.
type QuotaReply struct {
	OK    bool
	Reply quota.Reply
}

// CancelCall passes a caller's cancel request on.
type CancelCall struct {
	Process uint32
	Secret  []byte
}

// Description says how to reach an instance besides its peer address.
type Description struct {
	Name     string
	Link     string
	Operator string
}

// service has the methods that peers call.
type service struct {
	in *Instance
}

// Exchange answers a question about the fleet.
func (s *service) Exchange(a cluster.Request, answer *cluster.Response) error {
	s.in.control.do(func(now time.Time) core.Effects {
		var e core.Effects
		*answer, e = s.in.control.node.Asked(now, a)
		return e
	})
	return nil
}

// Lease takes in a message about a shard's lease.
func (s *service) Lease(m lease.Message, _ *Nothing) error {
	s.in.control.do(func(now time.Time) core.Effects { return s.in.control.node.Lease(now, m) })
	return nil
}

// Quota answers a holder's request for slices.
func (s *service) Quota(r quota.Request, reply *QuotaReply) error {
	s.in.control.do(func(now time.Time) core.Effects {
		reply.Reply, reply.OK = s.in.control.node.QuotaAsked(now, r)
		return core.Effects{}
	})
	return nil
}

// Group answers a question about a database group.
func (s *service) Group(a core.GroupAsk, view *core.GroupView) error {
	s.in.control.do(func(now time.Time) core.Effects {
		*view = s.in.control.node.GroupAsked(now, a)
		return core.Effects{}
	})
	return nil
}

// Announce takes in a group's new state.
func (s *service) Announce(a core.Announce, _ *Nothing) error {
	s.in.control.do(func(now time.Time) core.Effects { return s.in.control.node.Announced(now, a) })
	return nil
}

// Gateway holds the writes of an upstream's gateway or lets them go.
func (s *service) Gateway(g core.GatewayCall, result *failover.UpstreamResult) error {
	ctx, cancel := context.WithTimeout(s.in.control.ctx, failover.DefaultTiming.SwitchoverTimeout)
	defer cancel()
	r, err := s.in.gateways.hold(ctx, g.Group, g.Request)
	if err != nil {
		return err
	}
	*result = r
	return nil
}

// Cancel cancels what runs for a caller of this instance.
func (s *service) Cancel(c CancelCall, found *bool) error {
	*found = s.in.server.Cancel(c.Process, c.Secret)
	return nil
}

// Describe tells how to reach this instance.
func (s *service) Describe(_ Nothing, d *Description) error {
	*d = s.in.description()
	return nil
}

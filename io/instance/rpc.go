package instance

// The calls between instances, made with net/rpc.

import (
	"context"
	"time"

	"burdockseam/core"
	"burdockseam/core/cluster"
	"burdockseam/core/failover"
	"burdockseam/core/lease"
	"burdockseam/core/quota"
)

// Nothing is the request or the reply of a call that needs none.
type Nothing struct{}

// QuotaReply is an owner's reply. Reply is valid only if OK is true; otherwise this
// instance must not answer.
type QuotaReply struct {
	OK    bool
	Reply quota.Reply
}

// CancelCall forwards a caller's cancel request.
type CancelCall struct {
	Process uint32
	Secret  []byte
}

// Description holds the name and the addresses of an instance, besides its peer address.
type Description struct {
	Name     string
	Link     string
	Operator string
}

// service has the methods that peers call. Their names are part of the wire protocol.
type service struct {
	in *Instance
}

// Exchange answers a request about the membership and the configuration.
func (s *service) Exchange(request cluster.Request, response *cluster.Response) error {
	s.in.control.do(func(now time.Time) core.Effects {
		var e core.Effects
		*response, e = s.in.control.node.HandleRequest(now, request)
		return e
	})
	return nil
}

// Lease processes a message about a shard's lease.
func (s *service) Lease(m lease.Message, _ *Nothing) error {
	s.in.control.do(func(now time.Time) core.Effects { return s.in.control.node.HandleLeaseMessage(now, m) })
	return nil
}

// Quota answers a holder's request for slices.
func (s *service) Quota(r quota.Request, reply *QuotaReply) error {
	s.in.control.do(func(now time.Time) core.Effects {
		reply.Reply, reply.OK = s.in.control.node.HandleQuotaRequest(now, r)
		return core.Effects{}
	})
	return nil
}

// Group returns the view of a database group.
func (s *service) Group(request core.GroupRequest, view *core.GroupView) error {
	s.in.control.do(func(now time.Time) core.Effects {
		*view = s.in.control.node.HandleGroupRequest(now, request)
		return core.Effects{}
	})
	return nil
}

// Announce processes the announcement of a group's state.
func (s *service) Announce(announcement core.Announcement, _ *Nothing) error {
	s.in.control.do(func(now time.Time) core.Effects { return s.in.control.node.HandleAnnouncement(now, announcement) })
	return nil
}

// Gateway drains or releases the writes of an upstream's gateway.
func (s *service) Gateway(g core.GatewayCall, result *failover.UpstreamResult) error {
	ctx, cancel := context.WithTimeout(s.in.control.ctx, failover.DefaultTiming.SwitchoverTimeout)
	defer cancel()
	r, err := s.in.gateways.handleDrainOrRelease(ctx, g.Group, g.Request)
	if err != nil {
		return err
	}
	*result = r
	return nil
}

// Cancel cancels what runs for a caller that is connected to this instance.
func (s *service) Cancel(c CancelCall, found *bool) error {
	*found = s.in.server.Cancel(c.Process, c.Secret)
	return nil
}

// Describe returns how to reach this instance.
func (s *service) Describe(_ Nothing, d *Description) error {
	*d = s.in.description()
	return nil
}

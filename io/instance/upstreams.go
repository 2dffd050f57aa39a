package instance

// Control connections to upstreams. Each upstream has one connection for polls, one for the
// steps of a promotion and one for waits, so that none of these delays another.

import (
	"context"
	"sync"
	"time"

	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/io/upstream"
)

// controlChannel names one of the control connections to an upstream.
type controlChannel string

const (
	channelPoll controlChannel = "poll"
	channelStep controlChannel = "step"
	channelWait controlChannel = "wait"
)

// upstreams has the clients for control connections, which are opened when first used.
type upstreams struct {
	credentials  map[string]Credentials
	instanceName string
	now          func() time.Time

	mu      sync.Mutex
	config  config.Config
	clients map[string]*upstream.Client // by upstream and channel
}

// configure closes the clients of upstreams that were removed or moved.
func (u *upstreams) configure(c config.Config) {
	u.mu.Lock()
	before := u.config
	u.config = c
	var old []*upstream.Client
	for name, was := range before.Upstreams {
		if c.Upstreams[name].Address == was.Address {
			continue
		}
		for _, ch := range []controlChannel{channelPoll, channelStep, channelWait} {
			if client, ok := u.clients[name+"/"+string(ch)]; ok {
				old = append(old, client)
				delete(u.clients, name+"/"+string(ch))
			}
		}
	}
	u.mu.Unlock()
	for _, client := range old {
		client.Close()
	}
}

func (u *upstreams) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, client := range u.clients {
		client.Close()
	}
	u.clients = nil
}

// client returns the client of an upstream for a channel, and creates it at its first use.
func (u *upstreams) client(name string, ch controlChannel) (*upstream.Client, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := name + "/" + string(ch)
	if client, ok := u.clients[key]; ok {
		return client, nil
	}
	up, ok := u.config.Upstreams[name]
	if !ok {
		return nil, Error.New("upstream %s is not configured", name)
	}
	cred := u.credentials[u.config.Groups[up.Group].Credentials]
	client, err := upstream.New(upstream.Config{
		Addr: up.Address, User: cred.User, Password: cred.Password, ApplicationName: "burdockseam " + u.instanceName,
	})
	if err != nil {
		return nil, err
	}
	if u.clients == nil {
		u.clients = make(map[string]*upstream.Client)
	}
	u.clients[key] = client
	return client, nil
}

// call performs a request of a detector or coordinator.
func (u *upstreams) call(ctx context.Context, r failover.Request) failover.UpstreamResult {
	ch := channelPoll
	if r.Kind != failover.KindStatus || r.Wait > 0 {
		ch = channelStep
	}
	return u.callOn(ctx, ch, r)
}

// callOn performs a request on a channel. Every error counts as a lost answer.
func (u *upstreams) callOn(ctx context.Context, ch controlChannel, r failover.Request) failover.UpstreamResult {
	result := failover.UpstreamResult{ID: r.ID, Kind: r.Kind, Upstream: r.Upstream, Begun: u.now()}
	client, err := u.client(r.Upstream, ch)
	if err != nil {
		result.Failure = failover.FailureLost
		return result
	}
	var s upstream.Status
	switch r.Kind {
	case failover.KindFence:
		s, err = client.Fence(ctx, r.Term)
	case failover.KindPromote:
		s, err = client.Promote(ctx, r.Term, r.Start)
	case failover.KindFollow:
		s, _, err = client.Follow(ctx, r.Term, u.address(r.Primary), r.Group.History)
	default:
		s, err = client.Status(ctx, r.Offset, r.Wait)
	}
	if err != nil {
		// A refusal has no status; the next poll gets it.
		result.Failure = failover.FailureLost
		return result
	}
	result.Status = failover.Status{Role: failover.Role(s.Role), Fenced: s.FencedTerm, Position: s.LogEnd}
	return result
}

func (u *upstreams) address(name string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.config.Upstreams[name].Address
}

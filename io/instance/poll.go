package instance

import (
	"context"
	"encoding/json"
	"time"

	"burdockseam/core"
	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/io/store"
)

// poll waits at the store for a newer head. The wait is one call, which the store
// counts as one. It covers the whole prefix of the head and is repeated by the core.
func (c *control) poll(ctx context.Context, p cluster.Poll) {
	sent := c.now()
	head, err := c.newHead(ctx, p)
	c.do(func(now time.Time) core.Effects { return c.node.HandlePollResult(now, sent, p.Since, head, err) })
}

// newHead returns a head above the known revision, or nil if none comes in time.
func (c *control) newHead(ctx context.Context, p cluster.Poll) (*config.Head, error) {
	since := c.headRevision.Load()
	var changes store.Objects
	var err error
	if since > 0 {
		changes, err = c.store.Watch(ctx, config.HeadKey, since, p.Wait)
	}
	if since == 0 || store.Gone.Has(err) {
		changes, err = c.store.List(ctx, config.HeadKey)
	}
	if err != nil {
		return nil, err
	}
	c.headRevision.Store(changes.Revision)
	// An answer may hold several changes of the head, of which the last one counts.
	var newest *config.Head
	for _, o := range changes.Objects {
		if o.Key != config.HeadKey || o.Deleted {
			continue
		}
		head, err := config.DecodeHead(o.Value)
		if err != nil {
			c.headRevision.Store(0)
			return nil, err
		}
		if head.Revision > p.Since {
			newest = &head
		}
	}
	return newest, nil
}

// watchGroups follows the group objects while this instance is a store watcher of
// its failure domain, and passes changes to the observers of their groups. The
// coordinator announces its own changes too, so this is for the case that it died
// after the change.
func (c *control) watchGroups(ctx context.Context) error {
	for ctx.Err() == nil {
		watching, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		if c.watcher() {
			go func() {
				defer close(done)
				c.store.Follow(watching, groupPrefix, groupWait, c.groupsChanged)
			}()
			for c.watcher() && pause(ctx, time.Second) {
			}
		} else {
			close(done)
			pause(ctx, time.Second)
		}
		stop()
		<-done
	}
	return nil
}

// groupWait is how long the store holds a watch of the groups back.
const groupWait = 10 * time.Second

func (c *control) watcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.WatchesStore()
}

func (c *control) groupsChanged(u store.Update) {
	for _, o := range u.Objects.Objects {
		var g failover.Group
		if o.Deleted || json.Unmarshal(o.Value, &g) != nil {
			continue
		}
		a := core.Announce{Group: o.Key[len(groupPrefix):], Version: o.Version, State: g}
		c.do(func(now time.Time) core.Effects { return c.node.Watched(now, a) })
	}
}

// pause waits and reports whether the context is still valid.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

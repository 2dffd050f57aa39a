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

// poll waits at the store for a new head of the configuration. It makes a single watch call,
// of all keys that begin with the head's key, which also counts as one call at the store.
// The core starts the next poll after the result.
func (c *control) poll(ctx context.Context, p cluster.Poll) {
	sent := c.now()
	head, err := c.pollHead(ctx, p)
	c.do(func(now time.Time) core.Effects { return c.node.HandlePollResult(now, sent, p.Since, head, err) })
}

// pollHead returns a new head as newHead does. If the store answers again after a poll without an
// answer, the watch of the groups is repeated, since it may have waited through the same silence.
func (c *control) pollHead(ctx context.Context, p cluster.Poll) (*config.Head, error) {
	head, err := c.newHead(ctx, p)
	if failed := c.pollFailed.Swap(err != nil); failed && err == nil {
		select {
		case c.storeReturned <- struct{}{}:
		default: // the watch will be repeated anyway
		}
	}
	return head, err
}

// newHead returns a head with a revision above that of the poll, or nil if none comes in
// time.
func (c *control) newHead(ctx context.Context, p cluster.Poll) (*config.Head, error) {
	since := c.headRevision.Load()
	var changes store.Objects
	var err error
	if since > 0 {
		changes, err = c.store.Watch(ctx, config.HeadKey, since, p.Wait)
	}
	if since == 0 || store.HistoryGone.Has(err) {
		changes, err = c.store.List(ctx, config.HeadKey)
	}
	if err != nil {
		return nil, err
	}
	c.headRevision.Store(changes.Revision)
	// A response may have several changes of the head, of which only the last counts.
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

// watchGroups watches the groups' objects in the store while this instance is a store
// watcher of its failure domain, and passes changes to the groups' observers. A coordinator
// also announces its own changes; the watch covers a coordinator that ended after it had
// written a change.
func (c *control) watchGroups(ctx context.Context) error {
	for ctx.Err() == nil {
		watching, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		if c.watchesStore() {
			go func() {
				defer close(done)
				c.store.Follow(watching, groupPrefix, groupWait, c.storeReturned, c.handleGroupChanges)
			}()
			for c.watchesStore() && sleep(ctx, time.Second) {
			}
		} else {
			close(done)
			sleep(ctx, time.Second)
		}
		stop()
		<-done
	}
	return nil
}

// groupWait is the time for which the store holds a watch of the groups that has no
// changes to report.
const groupWait = 10 * time.Second

func (c *control) watchesStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.WatchesStore()
}

// handleGroupChanges passes changed groups' objects to the core.
func (c *control) handleGroupChanges(u store.Update) {
	for _, o := range u.Objects.Objects {
		var g failover.Group
		if o.Deleted || json.Unmarshal(o.Value, &g) != nil {
			continue
		}
		a := core.Announcement{Group: o.Key[len(groupPrefix):], Version: o.Version, State: g}
		c.do(func(now time.Time) core.Effects { return c.node.HandleGroupChange(now, a) })
	}
}

// sleep waits for the given time. It returns false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

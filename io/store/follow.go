package store

import (
	"context"
	"time"
)

const (
	// listTimeout bounds a List call, whose response may have several megabytes.
	listTimeout = 10 * time.Second
	// watchGrace is the time that a Watch call may take in addition to its wait time.
	watchGrace = 2 * time.Second
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Update is the result of one request of Follow.
type Update struct {
	Objects
	// Snapshot is set if Objects holds all objects under the prefix, so that any other
	// object does not exist. Otherwise Objects holds changes in the order of their revisions.
	Snapshot bool
	// SentAt is the time at which the request was sent. The response shows the state of the
	// store at some time after it.
	SentAt time.Time
	// Err is set if the request failed. Only SentAt is set besides it.
	Err error
}

// Follow lists the objects under the prefix and then watches them until the context ends.
// It calls handle for every response, including responses without changes, and for every
// failed request. No change is skipped: after an outage the watch continues from the last
// received revision. If the store no longer keeps the changes since this revision, Follow
// lists the objects again. wait is the time after which the store responds to a watch
// request even if there is no change. A value from repeat ends a watch request that is under way,
// which may never be answered; the next one continues from the same revision.
func (c *Client) Follow(ctx context.Context, prefix string, wait time.Duration, repeat <-chan struct{}, handle func(Update)) {
	listed := false
	var since uint64
	backoff := minBackoff
	for ctx.Err() == nil {
		u := Update{Snapshot: !listed, SentAt: time.Now()}
		if listed {
			var repeated bool
			u.Objects, repeated, u.Err = c.watchUntil(ctx, prefix, since, wait, repeat)
			if listed = !HistoryGone.Has(u.Err); !listed || repeated {
				continue
			}
		} else {
			call, cancel := context.WithTimeout(ctx, listTimeout)
			u.Objects, u.Err = c.List(call, prefix)
			cancel()
		}
		if ctx.Err() != nil {
			return
		}
		if u.Err != nil {
			handle(Update{SentAt: u.SentAt, Err: u.Err})
			select {
			case <-ctx.Done():
			case <-time.After(backoff):
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		listed, since, backoff = true, u.Revision, minBackoff
		handle(u)
	}
}

// watchUntil sends a watch request that a value from repeat ends. It reports whether it was ended.
func (c *Client) watchUntil(ctx context.Context, prefix string, since uint64, wait time.Duration, repeat <-chan struct{}) (o Objects, repeated bool, err error) {
	call, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	ended := make(chan bool)
	go func() {
		select {
		case <-repeat:
			cancel()
			ended <- true
		case <-call.Done():
			ended <- false
		}
	}()
	o, err = c.Watch(call, prefix, since, wait)
	cancel()
	repeated = <-ended && err != nil
	return o, repeated, err
}

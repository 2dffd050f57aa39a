// Package ctl is the operators' side of the product: changes of the configuration
// by the store, and what the running instances say about themselves. Command
// burdockctl is a thin layer over it.
package ctl

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"burdockseam/core/config"
)

// The classes of this package's errors.
var (
	Error = errs.Class("ctl")
	// Usage says that an argument is missing or wrong; nothing was done.
	Usage = errs.Class("ctl: usage")
	// NotInForce says that a change was accepted but not every instance reports it.
	NotInForce = errs.Class("ctl: not in force everywhere")
)

const (
	// callTimeout bounds one request to an operators' port. It is above the time in
	// which an instance asks a member that does not answer.
	callTimeout = 3 * time.Second
	// pollEvery is the time between two rounds of questions to all instances.
	pollEvery = 200 * time.Millisecond
	// firstPause and longestPause bound the growing waits between store calls.
	firstPause   = 20 * time.Millisecond
	longestPause = time.Second
	// storeAttempts lets a change outlast a store outage; the context's deadline is
	// the bound that counts.
	storeAttempts = 1000
	// callers bounds the instances that are asked at the same time.
	callers = 32
)

// Client does what operators ask for. All its calls end with their context.
type Client struct {
	// Store keeps the configuration.
	Store config.Store
	// Operators are operators' ports as IP:port. The first that answers names all others.
	Operators []string
	// Secret is the fleet's shared secret, needed only for Switch.
	Secret string
	// Author is recorded with each change.
	Author string
	// Comment is recorded with each change.
	Comment string
}

// Outcome tells what a change did.
type Outcome struct {
	Revision uint64 `json:"revision"`
	// Changed is false if the accepted configuration had the content already.
	Changed bool `json:"changed"`
}

// config returns the client for changes.
func (c *Client) config() config.Client {
	return config.Client{Store: c.Store, Pause: pause, Attempts: storeAttempts}
}

func pause(ctx context.Context, n int) error {
	return sleep(ctx, min(firstPause<<min(n, 10), longestPause))
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// note returns the record of a new operation. Its id is random, so that a lost
// answer can be told from another operator's success.
func (c *Client) note(comment string) config.ChangeInfo {
	if c.Comment != "" {
		comment = c.Comment
	}
	return config.ChangeInfo{Op: "ctl-" + rand.Text(), Author: c.Author, Comment: comment, Time: time.Now()}
}

// httpClient is shared by all calls to operators' ports.
var httpClient = &http.Client{Timeout: callTimeout}

// closeBody gives the connection back.
func closeBody(r *http.Response) {
	// The answer was used already; its rest does not matter.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 1<<16))
	_ = r.Body.Close()
}

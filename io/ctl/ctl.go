// Package ctl implements the operators' commands: it changes the configuration in the
// store, and asks the running instances for their state. Command burdockctl is a thin
// layer over it.
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
	// ErrUsage means that an argument is missing or wrong and that nothing was done.
	ErrUsage = errs.Class("ctl: usage")
	// ErrNotInForce means that a change was accepted, but that not every instance has
	// reported it in time.
	ErrNotInForce = errs.Class("ctl: not in force everywhere")
)

const (
	// callTimeout limits one request to an operators' port. It is longer than an instance
	// waits for members that do not answer.
	callTimeout = 3 * time.Second
	// pollInterval is the time between two rounds of requests to all instances.
	pollInterval = 200 * time.Millisecond
	// minBackoff and maxBackoff limit the growing waits between store calls.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// storeAttempts is so large that a change can wait for the end of a store outage. The
	// context's deadline is the effective limit.
	storeAttempts = 1000
	// maxConcurrentCalls limits the number of instances that are asked at the same time.
	maxConcurrentCalls = 32
)

// Client carries out the operators' commands. Its methods return when their context ends.
type Client struct {
	// Store keeps the configuration.
	Store config.Store
	// Operators are addresses (IP:port) of operators' ports. The first instance that
	// answers names all others.
	Operators []string
	// Secret is the fleet's shared secret. Only SwitchPrimary needs it.
	Secret string
	// Author is recorded with each change.
	Author string
	// Comment, if not empty, is recorded with each change in place of the default
	// comment.
	Comment string
}

// Outcome is the result of a change.
type Outcome struct {
	Revision uint64 `json:"revision"`
	// Changed is false if the accepted configuration already had the content.
	Changed bool `json:"changed"`
}

// configClient returns a client of the configuration in the store.
func (c *Client) configClient() config.Client {
	return config.Client{Store: c.Store, Pause: backOff, Attempts: storeAttempts}
}

// backOff waits before attempt n, longer for each attempt.
func backOff(ctx context.Context, n int) error {
	return sleep(ctx, min(minBackoff<<min(n, 10), maxBackoff))
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

// newChangeInfo returns the description of a new operation. The operation id is random,
// so that after a lost response the operation's own success can be told from another
// operator's.
func (c *Client) newChangeInfo(comment string) config.ChangeInfo {
	if c.Comment != "" {
		comment = c.Comment
	}
	return config.ChangeInfo{Op: "ctl-" + rand.Text(), Author: c.Author, Comment: comment, Time: time.Now()}
}

// httpClient is shared by all calls to operators' ports.
var httpClient = &http.Client{Timeout: callTimeout}

// closeBody reads the rest of a response, within limits, so that its connection can be
// reused.
func closeBody(r *http.Response) {
	// The caller has read what it needs, so errors do not matter.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 1<<16))
	_ = r.Body.Close()
}

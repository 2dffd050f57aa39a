package ctl

// Questions to the running instances, by their operators' ports.

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"burdockseam/core/cluster"
	"burdockseam/io/instance"
)

// Report is an instance with what it says about itself.
type Report struct {
	instance.Reach
	// Status is nil if the instance did not answer; Error then tells why.
	Status *instance.Status `json:"status,omitempty"`
}

// Label names the instance in messages.
func (r Report) Label() string { return cmp.Or(r.Name, r.Address) }

// Fleet is the state of all instances.
type Fleet struct {
	// Head is the accepted revision; 0 if the store was not asked or did not answer.
	Head uint64 `json:"head"`
	// Store tells why the store did not answer, or is empty.
	Store     string   `json:"store,omitempty"`
	Instances []Report `json:"instances"`
}

// Status asks all instances for their state. An instance that does not answer is in
// the list with the reason.
func (c *Client) Status(ctx context.Context) (Fleet, error) {
	var f Fleet
	var err error
	if f.Instances, err = c.reports(ctx); err != nil {
		return f, err
	}
	if c.Store != nil {
		short, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if f.Head, _, err = c.config().LoadRevision(short, 0); err != nil {
			f.Store = err.Error()
		}
	}
	return f, nil
}

// reports asks for the members and then each of them for its status.
func (c *Client) reports(ctx context.Context) ([]Report, error) {
	members, err := c.members(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]Report, len(members))
	turns := make(chan struct{}, callers)
	var all sync.WaitGroup
	for i, m := range members {
		list[i].Reach = m
		if m.Operator == "" {
			continue
		}
		all.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			var s instance.Status
			if err := get(ctx, m.Operator, "/status", &s); err != nil {
				list[i].Error = cmp.Or(list[i].Error, err.Error())
				return
			}
			if s.Peer != m.Address {
				list[i].Error = "another instance answers at " + m.Operator
				return
			}
			list[i].Status = &s
		})
	}
	all.Wait()
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Label(), b.Label()))
	})
	return list, nil
}

// members asks the operators' ports one after another until one answers.
func (c *Client) members(ctx context.Context) ([]instance.Reach, error) {
	if len(c.Operators) == 0 {
		return nil, Usage.New("the address of an operators' port is needed (--operator)")
	}
	var failed error
	for _, address := range c.Operators {
		var list []instance.Reach
		err := get(ctx, address, "/members", &list)
		if err == nil {
			return list, nil
		}
		failed = errors.Join(failed, err)
	}
	return nil, Error.Wrap(failed)
}

func get(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer closeBody(res)
	if res.StatusCode != http.StatusOK {
		return Error.New("%s%s: status %d", address, path, res.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(res.Body).Decode(out))
}

// Wait returns when every live instance reports the revision or a later one. The
// error is a NotInForce that names the instances which do not, and why.
//
// An instance that the asked one suspects, or that leaves, counts only if its
// operators' port answers. If it does not, it is taken for dead once the freshness bound has passed,
// after which an instance that is alive but cut off has stopped protected routes.
// Such instances are returned.
func (c *Client) Wait(ctx context.Context, revision uint64) (dead []string, err error) {
	begun := time.Now()
	var last []string
	for {
		list, err := c.reports(ctx)
		var behind []string
		dead = nil
		if err != nil {
			behind = []string{err.Error()}
		}
		for _, r := range list {
			text, lost := lacking(r, revision)
			switch {
			case text == "":
			case lost && time.Since(begun) > cluster.FreshnessBound:
				dead = append(dead, text)
			default:
				behind = append(behind, text)
			}
		}
		if err == nil && len(behind) == 0 {
			return dead, nil
		}
		// A round that the deadline cut short says less than the one before it.
		if ctx.Err() == nil || last == nil {
			last = behind
		}
		if err := sleep(ctx, pollEvery); err != nil {
			return dead, NotInForce.New("revision %d is accepted, but not every instance reports it:\n  %s", revision, strings.Join(last, "\n  "))
		}
	}
}

// lacking tells why an instance is not known to have the revision in force, or "".
// lost says that it is suspect or leaving and does not answer.
func lacking(r Report, revision uint64) (text string, lost bool) {
	who := r.Label() + " in " + r.Domain
	switch s := r.Status; {
	case s == nil:
		return who + " (" + r.State + ") does not answer: " + cmp.Or(r.Error, "its operators' port is not known"), r.State != string(cluster.Live)
	case s.Revision >= revision:
		return "", false
	default:
		text = who + " (" + r.State + ") is at revision " + uintText(s.Revision)
		if s.Reason != "" {
			text += ": " + s.Reason
		}
		if s.Fresh.Reason != "" {
			text += "; freshness " + s.Fresh.Reason + ", last confirmed " + s.Fresh.Age + " ago"
		}
		return text, false
	}
}

// Switch moves a group's primary to an upstream and returns when the group has it.
func (c *Client) Switch(ctx context.Context, group, upstream string) error {
	if c.Secret == "" {
		return Usage.New("the fleet's shared secret is needed (BURDOCKCTL_SECRET, or secret in the settings file)")
	}
	for {
		list, err := c.reports(ctx)
		if err != nil {
			return err
		}
		var asked bool
		for _, r := range coordinatorFirst(list, group) {
			if g := r.Status.Groups[group]; g.Coordinator && g.Primary == upstream {
				return nil
			}
			code, text, err := c.postSwitch(ctx, r.Operator, group, upstream)
			if err != nil || code == http.StatusMisdirectedRequest {
				continue
			}
			if code != http.StatusAccepted {
				return Error.New("%s refuses: %s", r.Label(), text)
			}
			asked = true
			break
		}
		if asked {
			return c.awaitPrimary(ctx, group, upstream)
		}
		// The coordinator has just changed, or is not reached.
		if err := pause(ctx, 1); err != nil {
			return Error.New("no instance that coordinates group %s was reached", group)
		}
	}
}

// coordinatorFirst returns the instances that answered, those that take themselves
// for the group's coordinator first.
func coordinatorFirst(list []Report, group string) []Report {
	var first, rest []Report
	for _, r := range list {
		switch {
		case r.Status == nil:
		case r.Status.Groups[group].Coordinator:
			first = append(first, r)
		default:
			rest = append(rest, r)
		}
	}
	return append(first, rest...)
}

func (c *Client) postSwitch(ctx context.Context, address, group, upstream string) (int, string, error) {
	q := url.Values{"group": {group}, "upstream": {upstream}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/switch?"+q.Encode(), nil)
	if err != nil {
		return 0, "", Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Secret)
	res, err := httpClient.Do(req)
	if err != nil {
		return 0, "", Error.Wrap(err)
	}
	defer closeBody(res)
	text, err := io.ReadAll(io.LimitReader(res.Body, 1<<12))
	return res.StatusCode, strings.TrimSpace(string(text)), Error.Wrap(err)
}

// awaitPrimary waits until an instance reports the upstream as the group's primary.
func (c *Client) awaitPrimary(ctx context.Context, group, upstream string) error {
	for {
		list, err := c.reports(ctx)
		if err == nil {
			for _, r := range list {
				if r.Status != nil && r.Status.Groups[group].Primary == upstream {
					return nil
				}
			}
		}
		if err := pause(ctx, 3); err != nil {
			return NotInForce.New("the switch of group %s to %s was begun, but the group does not have the new primary yet", group, upstream)
		}
	}
}

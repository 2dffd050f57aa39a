package ctl

// Requests to the operators' ports of the running instances.

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

// InstanceReport is an instance as the fleet lists it, with the status that it reports.
type InstanceReport struct {
	instance.MemberContact
	// Status is nil if the instance did not answer. Error then says why.
	Status *instance.Status `json:"status,omitempty"`
}

// Label returns the name of the instance for messages, or its address if the name is not
// known.
func (r InstanceReport) Label() string { return cmp.Or(r.Name, r.Address) }

// FleetStatus is the state of all instances.
type FleetStatus struct {
	// Head is the accepted revision, or 0 if the store was not asked or did not answer.
	Head uint64 `json:"head"`
	// Store says why the store did not answer. It is empty if the store answered or was
	// not asked.
	Store     string           `json:"store,omitempty"`
	Instances []InstanceReport `json:"instances"`
}

// Status asks all instances for their state. Instances that do not answer are listed with
// the reason.
func (c *Client) Status(ctx context.Context) (FleetStatus, error) {
	var f FleetStatus
	var err error
	if f.Instances, err = c.listReports(ctx); err != nil {
		return f, err
	}
	if c.Store != nil {
		short, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if f.Head, _, err = c.configClient().LoadRevision(short, 0); err != nil {
			f.Store = err.Error()
		}
	}
	return f, nil
}

// listReports asks an instance for the members of the fleet, and each member for its
// status. The reports are sorted by failure domain and label.
func (c *Client) listReports(ctx context.Context) ([]InstanceReport, error) {
	members, err := c.listMembers(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]InstanceReport, len(members))
	slots := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, m := range members {
		list[i].MemberContact = m
		if m.Operator == "" {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var s instance.Status
			if err := getJSON(ctx, m.Operator, "/status", &s); err != nil {
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
	wg.Wait()
	slices.SortFunc(list, func(a, b InstanceReport) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Label(), b.Label()))
	})
	return list, nil
}

// listMembers asks the operators' ports one after another until one answers.
func (c *Client) listMembers(ctx context.Context) ([]instance.MemberContact, error) {
	if len(c.Operators) == 0 {
		return nil, ErrUsage.New("the address of an operators' port is needed (--operator)")
	}
	var errAll error
	for _, address := range c.Operators {
		var list []instance.MemberContact
		err := getJSON(ctx, address, "/members", &list)
		if err == nil {
			return list, nil
		}
		errAll = errors.Join(errAll, err)
	}
	return nil, Error.Wrap(errAll)
}

// getJSON requests a path from an operators' port and decodes the response into out.
func getJSON(ctx context.Context, address, path string, out any) error {
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
		return Error.New("http://%s%s: HTTP status %d, want 200", address, path, res.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(res.Body).Decode(out))
}

// WaitInForce returns when every live instance reports the revision or a later one. If
// the context ends first, the error is an ErrNotInForce that names the other instances,
// and why.
//
// An instance that the instance asked for the members calls suspect or leaving, and whose
// operators' port does not answer, is considered dead once the freshness bound has
// passed. By then, an instance that is alive but cut off has stopped serving protected
// routes. Instances that are considered dead are returned and not waited for.
func (c *Client) WaitInForce(ctx context.Context, revision uint64) (dead []string, err error) {
	begun := time.Now()
	var last []string
	for {
		list, err := c.listReports(ctx)
		var behind []string
		dead = nil
		if err != nil {
			behind = []string{err.Error()}
		}
		for _, r := range list {
			text, lost := missingReason(r, revision)
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
		// A round that the deadline cut short is less complete than the one before it.
		if ctx.Err() == nil || last == nil {
			last = behind
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return dead, ErrNotInForce.New("revision %d is accepted, but not every instance reports it:\n  %s", revision, strings.Join(last, "\n  "))
		}
	}
}

// missingReason returns why an instance is not known to have the revision in force, or ""
// if it has. lost says that the instance is suspect or leaving and does not answer.
func missingReason(r InstanceReport, revision uint64) (text string, lost bool) {
	who := r.Label() + " in " + r.Domain
	switch s := r.Status; {
	case s == nil:
		return who + " (" + r.State + ") does not answer: " + cmp.Or(r.Error, "the address of its operators' port is not known"), r.State != string(cluster.Live)
	case s.Revision >= revision:
		return "", false
	default:
		text = who + " (" + r.State + ") is at revision " + formatUint(s.Revision)
		if s.Reason != "" {
			text += ": " + s.Reason
		}
		if s.Fresh.Reason != "" {
			text += "; freshness " + s.Fresh.Reason + ", last confirmed " + s.Fresh.Age + " ago"
		}
		return text, false
	}
}

// SwitchPrimary has a group's coordinator switch the primary to an upstream, and returns
// when an instance reports the new primary.
func (c *Client) SwitchPrimary(ctx context.Context, group, upstream string) error {
	if c.Secret == "" {
		return ErrUsage.New("the fleet's shared secret is needed (BURDOCKCTL_SECRET, or secret in the settings file)")
	}
	for {
		list, err := c.listReports(ctx)
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
				return Error.New("%s refused the switchover: %s", r.Label(), text)
			}
			asked = true
			break
		}
		if asked {
			return c.awaitPrimary(ctx, group, upstream)
		}
		// The coordinator has just changed, or cannot be reached.
		if err := backOff(ctx, 1); err != nil {
			return Error.New("no instance that coordinates group %s could be reached", group)
		}
	}
}

// coordinatorFirst returns the instances that answered, those that report to be the
// group's coordinator first.
func coordinatorFirst(list []InstanceReport, group string) []InstanceReport {
	var first, rest []InstanceReport
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

// postSwitch requests a switchover from one instance and returns the status code and the
// text of its response.
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
		list, err := c.listReports(ctx)
		if err == nil {
			for _, r := range list {
				if r.Status != nil && r.Status.Groups[group].Primary == upstream {
					return nil
				}
			}
		}
		if err := backOff(ctx, 3); err != nil {
			return ErrNotInForce.New("the switchover of group %s to %s has begun, but the group does not have the new primary yet", group, upstream)
		}
	}
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"burdockseam/core/config"
	"burdockseam/io/ctl"
)

// session is what a command works with.
type session struct {
	ctx    context.Context
	client *ctl.Client
	out    io.Writer
	errOut io.Writer
	json   bool
}

// command is one of the subcommands.
type command interface{ do(*session) error }

// store tells whether the store's address was given.
func (s *session) store() error {
	if s.client.Store == nil {
		return ctl.Usage.New("the store's address is needed (--store)")
	}
	return nil
}

// show prints a value as JSON or by its text form.
func (s *session) show(value any, text func(io.Writer) error) error {
	if !s.json {
		return text(s.out)
	}
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// changed is what a change prints with --json.
type changed struct {
	ctl.Outcome
	// InForce is set with --wait.
	InForce *bool `json:"inforce,omitempty"`
	// Dead are instances that are taken for dead and were not waited for.
	Dead    []string `json:"dead,omitempty"`
	Warning string   `json:"warning,omitempty"`
}

// finish waits if that was asked for, and prints the outcome of a change.
func (s *session) finish(out ctl.Outcome, w waiting, warning string) error {
	c := changed{Outcome: out, Warning: warning}
	if warning != "" {
		fmt.Fprintln(s.errOut, "burdockctl: warning:", warning)
	}
	var late error
	if w.Wait {
		c.Dead, late = s.client.Wait(s.ctx, out.Revision)
		ok := late == nil
		c.InForce = &ok
	}
	err := s.show(c, func(w io.Writer) error {
		text := "accepted as revision %d\n"
		if !c.Changed {
			text = "no change; the accepted revision is %d\n"
		}
		_, err := fmt.Fprintf(w, text, c.Revision)
		if err == nil && c.InForce != nil && *c.InForce {
			_, err = fmt.Fprintln(w, "in force on every live instance")
		}
		for _, d := range c.Dead {
			if err == nil {
				_, err = fmt.Fprintln(w, "taken for dead:", d)
			}
		}
		return err
	})
	return errors.Join(late, err)
}

// ready checks before a change what its --wait will need.
func (s *session) ready(w waiting) error {
	if err := s.store(); err != nil {
		return err
	}
	if w.Wait && len(s.client.Operators) == 0 {
		return ctl.Usage.New("--wait needs the address of an operators' port (--operator)")
	}
	return nil
}

// change makes a change and finishes it.
func (s *session) change(w waiting, do func(context.Context) (ctl.Outcome, error)) error {
	if err := s.ready(w); err != nil {
		return err
	}
	out, err := do(s.ctx)
	if err != nil {
		return err
	}
	return s.finish(out, w, "")
}

func given(base *int64) int64 {
	if base == nil {
		return ctl.NoBase
	}
	return *base
}

func (c *applyCommand) do(s *session) error {
	if err := s.ready(c.waiting); err != nil {
		return err
	}
	out, warning, err := s.client.Apply(s.ctx, c.Dir, given(c.Base))
	if err != nil {
		return err
	}
	return s.finish(out, c.waiting, warning)
}

func (c *diffCommand) do(s *session) error {
	if err := s.store(); err != nil {
		return err
	}
	list, err := s.client.Diff(s.ctx, c.Dir, given(c.Base))
	if err != nil {
		return err
	}
	return s.show(list, func(w io.Writer) error { return ctl.PrintChanges(w, list) })
}

func (c *pullCommand) do(s *session) error {
	if err := s.store(); err != nil {
		return err
	}
	revision, err := s.client.Pull(s.ctx, c.Dir, given(c.Base))
	if err != nil {
		return err
	}
	return s.show(map[string]uint64{"revision": revision}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s is at revision %d\n", c.Dir, revision)
		return err
	})
}

func (c *showCommand) do(s *session) error {
	if err := s.store(); err != nil {
		return err
	}
	shown, err := s.client.Show(s.ctx, c.Revision)
	if err != nil {
		return err
	}
	return s.show(shown, func(w io.Writer) error { return ctl.PrintShown(w, shown) })
}

func (c *historyCommand) do(s *session) error {
	if err := s.store(); err != nil {
		return err
	}
	list, err := s.client.History(s.ctx, c.Limit)
	if err != nil {
		return err
	}
	return s.show(list, func(w io.Writer) error { return ctl.PrintHistory(w, list) })
}

func (c *revertCommand) do(s *session) error {
	return s.change(c.waiting, func(ctx context.Context) (ctl.Outcome, error) { return s.client.Revert(ctx, c.Revision) })
}

// do of a command that has subcommands is reached only without one of them.
func (*keyCommand) do(*session) error { return ctl.Usage.New("key needs issue, list or withdraw") }

func (c *keyIssueCommand) do(s *session) error {
	if err := s.ready(c.waiting); err != nil {
		return err
	}
	k, err := s.client.IssueKey(s.ctx, c.Team)
	if errors.Is(err, config.ErrOutcomeUnknown) {
		return fmt.Errorf("key %s may be in force; look with `key list` and withdraw it: %w", k.ID, err)
	}
	if err != nil {
		return err
	}
	// The key is printed before the wait, since it cannot be shown again.
	if err := s.show(k, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "key %s of team %s, shown only once:\n%s\n", k.ID, k.Team, k.Text)
		return err
	}); err != nil {
		return err
	}
	if s.json {
		if !c.Wait {
			return nil
		}
		_, err := s.client.Wait(s.ctx, k.Revision)
		return err
	}
	return s.finish(k.Outcome, c.waiting, "")
}

func (c *keyListCommand) do(s *session) error {
	if err := s.store(); err != nil {
		return err
	}
	list, err := s.client.Keys(s.ctx, c.Team)
	if err != nil {
		return err
	}
	return s.show(list, func(w io.Writer) error { return ctl.PrintKeys(w, list) })
}

func (c *keyWithdrawCommand) do(s *session) error {
	return s.change(c.waiting, func(ctx context.Context) (ctl.Outcome, error) { return s.client.WithdrawKey(ctx, c.ID) })
}

func (*domainCommand) do(*session) error { return ctl.Usage.New("domain needs out or in") }

func (c *domainOutCommand) do(s *session) error {
	return s.change(c.waiting, func(ctx context.Context) (ctl.Outcome, error) {
		return s.client.SetDomain(ctx, c.Name, config.StateOut, c.Force)
	})
}

func (c *domainInCommand) do(s *session) error {
	return s.change(c.waiting, func(ctx context.Context) (ctl.Outcome, error) {
		return s.client.SetDomain(ctx, c.Name, config.StateIn, false)
	})
}

func (*upstreamCommand) do(*session) error { return ctl.Usage.New("upstream needs leave or return") }

func (c *upstreamLeaveCommand) do(s *session) error {
	return s.change(c.waiting, func(ctx context.Context) (ctl.Outcome, error) {
		return s.client.SetUpstream(ctx, c.Name, config.StateLeaving, c.Force)
	})
}

func (c *upstreamReturnCommand) do(s *session) error {
	return s.change(c.waiting, func(ctx context.Context) (ctl.Outcome, error) {
		return s.client.SetUpstream(ctx, c.Name, config.StateActive, false)
	})
}

func (*groupCommand) do(*session) error { return ctl.Usage.New("group needs switch") }

func (c *groupSwitchCommand) do(s *session) error {
	if err := s.client.Switch(s.ctx, c.Name, c.Upstream); err != nil {
		return err
	}
	return s.show(map[string]string{"group": c.Name, "primary": c.Upstream}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "group %s has the primary %s\n", c.Name, c.Upstream)
		return err
	})
}

func (*statusCommand) do(s *session) error {
	f, err := s.client.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.show(f, func(w io.Writer) error { return ctl.PrintFleet(w, f) })
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"burdockseam/core/config"
	"burdockseam/core/where"
	"burdockseam/io/ctl"
)

// invocation is one run of the program: the client, output and options that a command uses.
type invocation struct {
	ctx    context.Context
	client *ctl.Client
	out    io.Writer
	errOut io.Writer
	json   bool
}

// command is a subcommand.
type command interface{ run(*invocation) error }

// requireStore returns an error if the address of the store was not given.
func (inv *invocation) requireStore() error {
	if inv.client.Store == nil {
		return ctl.ErrUsage.New("the address of the store is missing (--store)")
	}
	return nil
}

// printValue prints a value as JSON if --json was given, else as text.
func (inv *invocation) printValue(value any, text func(io.Writer) error) error {
	if !inv.json {
		return text(inv.out)
	}
	e := json.NewEncoder(inv.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// changeOutput is the JSON output of a command that changes the configuration.
type changeOutput struct {
	ctl.Outcome
	// InForce tells whether the change came into force on every live instance in time. It is nil
	// without --wait.
	InForce *bool `json:"inforce,omitempty"`
	// Dead lists the instances that were not waited for because they count as dead.
	Dead    []string `json:"dead,omitempty"`
	Warning string   `json:"warning,omitempty"`
}

// finishChange waits for the change to be in force if --wait was given, and prints the outcome.
func (inv *invocation) finishChange(out ctl.Outcome, w waitOption, warning string) error {
	c := changeOutput{Outcome: out, Warning: warning}
	if warning != "" {
		fmt.Fprintln(inv.errOut, "burdockctl: warning:", warning)
	}
	var errLate error
	if w.Wait {
		c.Dead, errLate = inv.client.WaitInForce(inv.ctx, out.Revision)
		inForce := errLate == nil
		c.InForce = &inForce
	}
	err := inv.printValue(c, func(w io.Writer) error {
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
	return errors.Join(errLate, err)
}

// checkChangeOptions returns an error if an address is missing that a change or its --wait needs.
func (inv *invocation) checkChangeOptions(w waitOption) error {
	if err := inv.requireStore(); err != nil {
		return err
	}
	if w.Wait && len(inv.client.Operators) == 0 {
		return ctl.ErrUsage.New("--wait needs the address of an operators' port (--operator)")
	}
	return nil
}

// makeChange makes a change with the function do, and then waits and prints as finishChange does.
func (inv *invocation) makeChange(w waitOption, do func(context.Context) (ctl.Outcome, error)) error {
	if err := inv.checkChangeOptions(w); err != nil {
		return err
	}
	out, err := do(inv.ctx)
	if err != nil {
		return err
	}
	return inv.finishChange(out, w, "")
}

// baseRevision returns the value of --base, or ctl.NoBase if it was not given.
func baseRevision(base *int64) int64 {
	if base == nil {
		return ctl.NoBase
	}
	return *base
}

func (c *applyCommand) run(inv *invocation) error {
	if err := inv.checkChangeOptions(c.waitOption); err != nil {
		return err
	}
	out, warning, err := inv.client.Apply(inv.ctx, c.Dir, baseRevision(c.Base))
	if err != nil {
		return err
	}
	return inv.finishChange(out, c.waitOption, warning)
}

func (c *diffCommand) run(inv *invocation) error {
	if err := inv.requireStore(); err != nil {
		return err
	}
	list, err := inv.client.Diff(inv.ctx, c.Dir, baseRevision(c.Base))
	if err != nil {
		return err
	}
	return inv.printValue(list, func(w io.Writer) error { return ctl.PrintChanges(w, list) })
}

func (c *pullCommand) run(inv *invocation) error {
	if err := inv.requireStore(); err != nil {
		return err
	}
	revision, err := inv.client.Pull(inv.ctx, c.Dir, baseRevision(c.Base))
	if err != nil {
		return err
	}
	return inv.printValue(map[string]uint64{"revision": revision}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s is at revision %d\n", c.Dir, revision)
		return err
	})
}

func (c *showCommand) run(inv *invocation) error {
	if err := inv.requireStore(); err != nil {
		return err
	}
	shown, err := inv.client.Show(inv.ctx, c.Revision)
	if err != nil {
		return err
	}
	return inv.printValue(shown, func(w io.Writer) error { return ctl.PrintConfig(w, shown) })
}

func (c *historyCommand) run(inv *invocation) error {
	if err := inv.requireStore(); err != nil {
		return err
	}
	list, err := inv.client.History(inv.ctx, c.Limit)
	if err != nil {
		return err
	}
	return inv.printValue(list, func(w io.Writer) error { return ctl.PrintHistory(w, list) })
}

func (c *revertCommand) run(inv *invocation) error {
	return inv.makeChange(c.waitOption, func(ctx context.Context) (ctl.Outcome, error) { return inv.client.Revert(ctx, c.Revision) })
}

// A command that has subcommands is run itself only if no subcommand was given.
func (*keyCommand) run(*invocation) error {
	return ctl.ErrUsage.New("key needs a subcommand: issue, list or withdraw")
}

func (c *keyIssueCommand) run(inv *invocation) error {
	if err := inv.checkChangeOptions(c.waitOption); err != nil {
		return err
	}
	k, err := inv.client.IssueKey(inv.ctx, c.Team)
	if errors.Is(err, config.ErrOutcomeUnknown) {
		return fmt.Errorf("key %s may be in force; check with `burdockctl key list`, and withdraw the key if it is listed: %w", k.ID, err)
	}
	if err != nil {
		return err
	}
	// The key is printed before the wait, which may fail, since it cannot be shown again.
	if err := inv.printValue(k, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "key %s of team %s, shown only once:\n%s\n", k.ID, k.Team, k.Text)
		return err
	}); err != nil {
		return err
	}
	if inv.json {
		if !c.Wait {
			return nil
		}
		_, err := inv.client.WaitInForce(inv.ctx, k.Revision)
		return err
	}
	return inv.finishChange(k.Outcome, c.waitOption, "")
}

func (c *keyListCommand) run(inv *invocation) error {
	if err := inv.requireStore(); err != nil {
		return err
	}
	list, err := inv.client.Keys(inv.ctx, c.Team)
	if err != nil {
		return err
	}
	return inv.printValue(list, func(w io.Writer) error { return ctl.PrintKeys(w, list) })
}

func (c *keyWithdrawCommand) run(inv *invocation) error {
	return inv.makeChange(c.waitOption, func(ctx context.Context) (ctl.Outcome, error) { return inv.client.WithdrawKey(ctx, c.ID) })
}

func (*domainCommand) run(*invocation) error {
	return ctl.ErrUsage.New("domain needs a subcommand: out or in")
}

func (c *domainOutCommand) run(inv *invocation) error {
	return inv.makeChange(c.waitOption, func(ctx context.Context) (ctl.Outcome, error) {
		return inv.client.SetDomainState(ctx, c.Name, config.StateOut, c.Force)
	})
}

func (c *domainInCommand) run(inv *invocation) error {
	return inv.makeChange(c.waitOption, func(ctx context.Context) (ctl.Outcome, error) {
		return inv.client.SetDomainState(ctx, c.Name, config.StateIn, false)
	})
}

func (*upstreamCommand) run(*invocation) error {
	return ctl.ErrUsage.New("upstream needs a subcommand: leave or return")
}

func (c *upstreamLeaveCommand) run(inv *invocation) error {
	return inv.makeChange(c.waitOption, func(ctx context.Context) (ctl.Outcome, error) {
		return inv.client.SetUpstreamState(ctx, c.Name, config.StateLeaving, c.Force)
	})
}

func (c *upstreamReturnCommand) run(inv *invocation) error {
	return inv.makeChange(c.waitOption, func(ctx context.Context) (ctl.Outcome, error) {
		return inv.client.SetUpstreamState(ctx, c.Name, config.StateActive, false)
	})
}

func (*groupCommand) run(*invocation) error {
	return ctl.ErrUsage.New("group needs a subcommand: switch")
}

func (c *groupSwitchCommand) run(inv *invocation) error {
	if err := inv.client.SwitchPrimary(inv.ctx, c.Name, c.Upstream); err != nil {
		return err
	}
	return inv.printValue(map[string]string{"group": c.Name, "primary": c.Upstream}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "group %s has the primary %s\n", c.Name, c.Upstream)
		return err
	})
}

func (c *usageCommand) run(inv *invocation) error {
	r, err := inv.client.Usage(inv.ctx, c.Count)
	if err != nil {
		return err
	}
	return inv.printValue(r, func(w io.Writer) error { return ctl.PrintUsage(w, r) })
}

// run prints where a request would go. A request that is refused or waits is an answer too; only a
// route or a team that does not exist is a failure.
func (c *whereCommand) run(inv *invocation) error {
	a, err := inv.client.Where(inv.ctx, where.Query{Team: c.Team, Database: c.Database, Kind: where.Kind(c.Kind)})
	if err != nil {
		return err
	}
	return inv.printValue(a, func(w io.Writer) error { return ctl.PrintWhere(w, a) })
}

func (*statusCommand) run(inv *invocation) error {
	f, err := inv.client.Status(inv.ctx)
	if err != nil {
		return err
	}
	return inv.printValue(f, func(w io.Writer) error { return ctl.PrintStatus(w, f) })
}

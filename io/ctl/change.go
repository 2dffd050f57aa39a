package ctl

// Changes that need no configuration folder. Each is computed from the newest files, and
// computed again if another operator's change was accepted first, so it never conflicts.

import (
	"cmp"
	"context"
	"crypto/rand"
	"maps"
	"slices"

	"burdockseam/core/config"
	"burdockseam/core/key"
)

// edit applies a change to the newest accepted files and makes the result a new revision.
func (c *Client) edit(ctx context.Context, comment string, change func([]config.File) ([]config.File, error)) (Outcome, error) {
	res, err := c.configClient().Edit(ctx, c.newChangeInfo(comment), change)
	return Outcome{res.Revision, res.Changed}, err
}

// IssuedKey is a new key. Its Text is stored nowhere else.
type IssuedKey struct {
	Outcome
	ID   string `json:"id"`
	Team string `json:"team"`
	Text string `json:"key"`
}

// IssueKey creates a key for a team. If the error wraps config.ErrOutcomeUnknown, the
// result has the key's id, since the key may be in force.
func (c *Client) IssueKey(ctx context.Context, team string) (IssuedKey, error) {
	k, err := key.Issue(rand.Reader)
	if err != nil {
		return IssuedKey{}, err
	}
	out, err := c.edit(ctx, "issue key "+k.ID+" of team "+team, func(files []config.File) ([]config.File, error) {
		return config.IssueKey(files, team, k)
	})
	return IssuedKey{out, k.ID, team, k.Text}, err
}

// WithdrawKey makes a key invalid. The sessions that use it end.
func (c *Client) WithdrawKey(ctx context.Context, id string) (Outcome, error) {
	return c.edit(ctx, "withdraw key "+id, func(files []config.File) ([]config.File, error) {
		return config.WithdrawKey(files, id)
	})
}

// SetDomainState takes a failure domain out or in. Taking out the last one needs force.
func (c *Client) SetDomainState(ctx context.Context, name string, s config.State, force bool) (Outcome, error) {
	return c.edit(ctx, "failure domain "+name+" "+string(s), func(files []config.File) ([]config.File, error) {
		return config.SetDomainState(files, name, s, force)
	})
}

// SetUpstreamState makes an upstream leave or return. Without force, the last upstream of
// a group that takes work cannot leave.
func (c *Client) SetUpstreamState(ctx context.Context, name string, s config.State, force bool) (Outcome, error) {
	return c.edit(ctx, "upstream "+name+" "+string(s), func(files []config.File) ([]config.File, error) {
		return config.SetUpstreamState(files, name, s, force)
	})
}

// Revert makes a new revision with the files of an earlier one.
func (c *Client) Revert(ctx context.Context, to uint64) (Outcome, error) {
	res, err := c.configClient().Revert(ctx, to, c.newChangeInfo("revert"))
	return Outcome{res.Revision, res.Changed}, err
}

// History lists the newest changes, the latest first.
func (c *Client) History(ctx context.Context, limit int) ([]config.Entry, error) {
	return c.configClient().History(ctx, limit)
}

// MergedConfig is the configuration that results from all files of a revision.
type MergedConfig struct {
	Revision uint64           `json:"revision"`
	Settings []config.Setting `json:"settings"`
}

// Show returns the configuration of a revision, or of the newest one if revision is 0,
// with the file and line of each value.
func (c *Client) Show(ctx context.Context, revision uint64) (MergedConfig, error) {
	at, cfg, err := c.loadConfig(ctx, revision)
	return MergedConfig{at, cfg.Settings()}, err
}

// loadConfig loads and parses a revision, the newest one if revision is 0, and returns
// its number.
func (c *Client) loadConfig(ctx context.Context, revision uint64) (uint64, config.Config, error) {
	at, files, err := c.configClient().LoadRevision(ctx, revision)
	if err != nil {
		return 0, config.Config{}, err
	}
	if at == 0 {
		return 0, config.Config{}, Error.New("the store holds no configuration yet")
	}
	cfg, faults := config.Parse(files)
	if len(faults) > 0 {
		return 0, config.Config{}, config.FaultsError{Faults: faults}
	}
	return at, cfg, nil
}

// Key describes a key without its hash.
type Key struct {
	ID    string       `json:"id"`
	Team  string       `json:"team"`
	State config.State `json:"state"`
}

// Keys lists the keys of a team, or of all teams if team is empty.
func (c *Client) Keys(ctx context.Context, team string) ([]Key, error) {
	_, cfg, err := c.loadConfig(ctx, 0)
	if err != nil {
		return nil, err
	}
	if _, ok := cfg.Teams[team]; team != "" && !ok {
		return nil, Error.New("team %q does not exist", team)
	}
	list := []Key{}
	for _, k := range slices.Collect(maps.Values(cfg.Keys)) {
		if team == "" || k.Team == team {
			list = append(list, Key{k.ID, k.Team, k.State})
		}
	}
	slices.SortFunc(list, func(a, b Key) int { return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.ID, b.ID)) })
	return list, nil
}

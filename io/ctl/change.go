package ctl

// Changes that need no folder. Each is computed from the newest files and computed
// again if another operator was faster, so it never conflicts.

import (
	"cmp"
	"context"
	"crypto/rand"
	"maps"
	"slices"

	"burdockseam/core/config"
	"burdockseam/core/key"
)

func (c *Client) edit(ctx context.Context, comment string, change func([]config.File) ([]config.File, error)) (Outcome, error) {
	res, err := c.config().Edit(ctx, c.note(comment), change)
	return Outcome{res.Revision, res.Changed}, err
}

// Issued is a new key. Text is not kept anywhere else.
type Issued struct {
	Outcome
	ID   string `json:"id"`
	Team string `json:"team"`
	Text string `json:"key"`
}

// IssueKey makes a key for a team. If the error wraps config.ErrOutcomeUnknown, the
// result names the key's id, which may be in force.
func (c *Client) IssueKey(ctx context.Context, team string) (Issued, error) {
	k, err := key.Issue(rand.Reader)
	if err != nil {
		return Issued{}, err
	}
	out, err := c.edit(ctx, "issue key "+k.ID+" of team "+team, func(files []config.File) ([]config.File, error) {
		return config.IssueKey(files, team, k)
	})
	return Issued{out, k.ID, team, k.Text}, err
}

// WithdrawKey makes a key unusable. Its sessions end.
func (c *Client) WithdrawKey(ctx context.Context, id string) (Outcome, error) {
	return c.edit(ctx, "withdraw key "+id, func(files []config.File) ([]config.File, error) {
		return config.WithdrawKey(files, id)
	})
}

// SetDomain takes a failure domain out or in. Taking out the last one needs force.
func (c *Client) SetDomain(ctx context.Context, name string, s config.State, force bool) (Outcome, error) {
	return c.edit(ctx, "failure domain "+name+" "+string(s), func(files []config.File) ([]config.File, error) {
		return config.SetDomain(files, name, s, force)
	})
}

// SetUpstream makes an upstream leave or return. If it is the last one of its group
// that takes work, leaving needs force.
func (c *Client) SetUpstream(ctx context.Context, name string, s config.State, force bool) (Outcome, error) {
	return c.edit(ctx, "upstream "+name+" "+string(s), func(files []config.File) ([]config.File, error) {
		return config.SetUpstreamState(files, name, s, force)
	})
}

// Revert makes an earlier revision's files a new revision.
func (c *Client) Revert(ctx context.Context, to uint64) (Outcome, error) {
	res, err := c.config().Revert(ctx, to, c.note("revert"))
	return Outcome{res.Revision, res.Changed}, err
}

// History lists the newest changes, the latest first.
func (c *Client) History(ctx context.Context, limit int) ([]config.Entry, error) {
	return c.config().History(ctx, limit)
}

// Shown is the merged configuration of a revision.
type Shown struct {
	Revision uint64           `json:"revision"`
	Settings []config.Setting `json:"settings"`
}

// Show returns a revision, the newest for 0, with the file of each value.
func (c *Client) Show(ctx context.Context, revision uint64) (Shown, error) {
	at, cfg, err := c.at(ctx, revision)
	return Shown{at, cfg.Settings()}, err
}

func (c *Client) at(ctx context.Context, revision uint64) (uint64, config.Config, error) {
	at, files, err := c.config().LoadRevision(ctx, revision)
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

// Key is a key as it is listed, without its hash.
type Key struct {
	ID    string       `json:"id"`
	Team  string       `json:"team"`
	State config.State `json:"state"`
}

// Keys lists the keys of a team, or of all teams for "".
func (c *Client) Keys(ctx context.Context, team string) ([]Key, error) {
	_, cfg, err := c.at(ctx, 0)
	if err != nil {
		return nil, err
	}
	if _, ok := cfg.Teams[team]; team != "" && !ok {
		return nil, Error.New("there is no team %q", team)
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

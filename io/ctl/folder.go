package ctl

// A folder remembers the revision that it was made from in the hidden file
// StateFile. Apply and Pull merge by it. After a change was accepted, the files
// that other operators changed meanwhile are brought into the folder too, since a
// folder that claims a newer base than its content would take their changes back
// with the next Apply.

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"burdockseam/core/config"
	"burdockseam/io/folder"
)

// StateFile is the name of the file in a folder that holds its base revision. The
// daemon and the merge leave hidden files out.
const StateFile = ".burdockctl.json"

// NoBase stands for a base that is not given.
const NoBase = -1

type state struct {
	Revision uint64 `json:"revision"`
}

// base returns the revision that the folder was made from.
func base(dir string, given int64) (uint64, bool, error) {
	if given >= 0 {
		return uint64(given), true, nil
	}
	data, err := os.ReadFile(filepath.Join(dir, StateFile))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, Error.Wrap(err)
	}
	var s state
	if err := json.Unmarshal(data, &s); err != nil {
		return 0, false, Error.New("%s is damaged: remove it and state --base", filepath.Join(dir, StateFile))
	}
	return s.Revision, true, nil
}

func remember(dir string, revision uint64) error {
	data, err := json.Marshal(state{revision})
	if err != nil {
		return Error.Wrap(err)
	}
	return replace(filepath.Join(dir, StateFile), append(data, '\n'))
}

// replace writes a file so that a reader sees the old content or the new one.
func replace(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".burdockctl-*")
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return Error.Wrap(errors.Join(err, os.Remove(f.Name())))
	}
	return nil
}

// request reads the folder and its base. Without a base, only the first revision
// can be made.
func (c *Client) request(ctx context.Context, dir string, given int64) (config.Request, error) {
	files, err := folder.Read(dir)
	if err != nil {
		return config.Request{}, err
	}
	// The faults are reported before anything else, also while the store is out.
	if _, faults := config.Parse(files); len(faults) > 0 {
		return config.Request{}, config.FaultsError{Faults: faults}
	}
	from, ok, err := base(dir, given)
	if err != nil {
		return config.Request{}, err
	}
	if !ok {
		now, _, err := c.config().LoadRevision(ctx, 0)
		if err != nil {
			return config.Request{}, err
		}
		if now > 0 {
			return config.Request{}, Usage.New("%s has no %s, so it is not known which revision it was made from: state --base N, or start from `burdockctl pull`", dir, StateFile)
		}
	}
	return config.Request{Note: c.note(""), Base: from, Files: files}, nil
}

// Apply makes the folder the accepted configuration. The error is a
// config.ConflictError, a config.FaultsError, or wraps config.ErrOutcomeUnknown; in the first
// two cases nothing was applied. warning is not empty if the change was accepted
// but the folder could not be brought to the new revision.
func (c *Client) Apply(ctx context.Context, dir string, given int64) (out Outcome, warning string, err error) {
	q, err := c.request(ctx, dir, given)
	if err != nil {
		return Outcome{}, "", err
	}
	res, err := c.config().Apply(ctx, q)
	if err != nil {
		return Outcome{}, "", err
	}
	out = Outcome{res.Revision, res.Changed}
	revision, files, err := c.config().LoadRevision(ctx, res.Revision)
	if err == nil {
		err = bring(dir, revision, q.Files, files)
	}
	if err != nil {
		warning = "the folder was not brought to the new revision and keeps its base: " + err.Error()
	}
	return out, warning, nil
}

// Diff returns what Apply would change.
func (c *Client) Diff(ctx context.Context, dir string, given int64) ([]config.Change, error) {
	q, err := c.request(ctx, dir, given)
	if err != nil {
		return nil, err
	}
	now, next, err := c.config().Preview(ctx, q)
	if err != nil {
		return nil, err
	}
	return config.Diff(now, next), nil
}

// Pull brings the folder to the accepted revision. Files that were changed in the
// folder stay; if one of them was changed by others too, the error is a
// config.ConflictError and nothing is written.
func (c *Client) Pull(ctx context.Context, dir string, given int64) (uint64, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, Error.Wrap(err)
	}
	from, _, err := base(dir, given)
	if err != nil {
		return 0, err
	}
	var before []config.File
	if from > 0 {
		if _, before, err = c.config().LoadRevision(ctx, from); err != nil {
			return 0, err
		}
	}
	revision, files, err := c.config().LoadRevision(ctx, 0)
	if err != nil {
		return 0, err
	}
	if revision == 0 {
		return 0, Error.New("the store holds no configuration yet")
	}
	return revision, bring(dir, revision, before, files)
}

// bring merges the files of a revision into the folder, where before is what the
// folder held when its own changes began, and remembers the revision.
func bring(dir string, revision uint64, before, files []config.File) error {
	local, err := folder.Read(dir)
	if err != nil {
		return err
	}
	present, have := config.HashFiles(local), config.HashFiles(files)
	merged, err := config.Merge(config.HashFiles(before), present, config.Head{Revision: revision, Files: have})
	if err != nil {
		return err
	}
	for _, f := range files {
		if merged[f.Name] == have[f.Name] && present[f.Name] != have[f.Name] {
			if err := replace(filepath.Join(dir, f.Name), f.Data); err != nil {
				return err
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(present)) {
		if merged[name] != "" {
			continue
		}
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			return Error.Wrap(err)
		}
	}
	return remember(dir, revision)
}

package ctl

// A configuration folder records the revision that it was made from, its base, in the
// hidden file StateFile. Apply and Pull use the base for a three-way merge. After a change
// was accepted, the files that other operators have changed since the base are written to
// the folder too: if the folder had a newer base than its content, the next Apply would
// revert their changes.

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

// StateFile is the name of the file in a configuration folder that holds its base
// revision. Instances and merges ignore hidden files.
const StateFile = ".burdockctl.json"

// NoBase means that no base revision is given, so that the one in StateFile is used.
const NoBase = -1

// folderState is the content of StateFile.
type folderState struct {
	Revision uint64 `json:"revision"`
}

// readBase returns the revision that the folder was made from: the given one, else the
// one in StateFile. It reports false if there is neither.
func readBase(dir string, given int64) (uint64, bool, error) {
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
	var s folderState
	if err := json.Unmarshal(data, &s); err != nil {
		return 0, false, Error.New("%s is damaged: remove it and pass --base N", filepath.Join(dir, StateFile))
	}
	return s.Revision, true, nil
}

// writeBase writes the base revision to StateFile.
func writeBase(dir string, revision uint64) error {
	data, err := json.Marshal(folderState{revision})
	if err != nil {
		return Error.Wrap(err)
	}
	return replaceFile(filepath.Join(dir, StateFile), append(data, '\n'))
}

// replaceFile writes a file atomically: a reader sees either the old or the new content.
func replaceFile(path string, data []byte) error {
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

// newRequest reads the folder and its base revision. A folder without a base revision is
// accepted only while the store holds no configuration.
func (c *Client) newRequest(ctx context.Context, dir string, given int64) (config.Request, error) {
	files, err := folder.Read(dir)
	if err != nil {
		return config.Request{}, err
	}
	// Faults in the files are reported before the store is asked, so that they are found
	// during a store outage too.
	if _, faults := config.Parse(files); len(faults) > 0 {
		return config.Request{}, config.FaultsError{Faults: faults}
	}
	from, ok, err := readBase(dir, given)
	if err != nil {
		return config.Request{}, err
	}
	if !ok {
		now, _, err := c.configClient().LoadRevision(ctx, 0)
		if err != nil {
			return config.Request{}, err
		}
		if now > 0 {
			return config.Request{}, ErrUsage.New("%s has no %s, so it is not known which revision it was made from: pass --base N, or start from `burdockctl pull`", dir, StateFile)
		}
	}
	return config.Request{ChangeInfo: c.newChangeInfo(""), Base: from, Files: files}, nil
}

// Apply makes the content of the folder the accepted configuration. The error is a
// config.ConflictError or a config.FaultsError, which mean that nothing was applied, or
// wraps config.ErrOutcomeUnknown. If the change was accepted but the folder could not be
// updated to the new revision, warning says why.
func (c *Client) Apply(ctx context.Context, dir string, given int64) (out Outcome, warning string, err error) {
	q, err := c.newRequest(ctx, dir, given)
	if err != nil {
		return Outcome{}, "", err
	}
	res, err := c.configClient().Apply(ctx, q)
	if err != nil {
		return Outcome{}, "", err
	}
	out = Outcome{res.Revision, res.Changed}
	revision, files, err := c.configClient().LoadRevision(ctx, res.Revision)
	if err == nil {
		err = mergeRevision(dir, revision, q.Files, files)
	}
	if err != nil {
		warning = "the folder was not updated to the new revision and keeps its base revision: " + err.Error()
	}
	return out, warning, nil
}

// Diff returns what Apply would change.
func (c *Client) Diff(ctx context.Context, dir string, given int64) ([]config.Change, error) {
	q, err := c.newRequest(ctx, dir, given)
	if err != nil {
		return nil, err
	}
	now, next, err := c.configClient().Preview(ctx, q)
	if err != nil {
		return nil, err
	}
	return config.Diff(now, next), nil
}

// Pull updates the folder to the accepted revision. Files that were changed only in the
// folder stay. If a file was changed both in the folder and in the accepted revision, the
// error is a config.ConflictError and nothing is written.
func (c *Client) Pull(ctx context.Context, dir string, given int64) (uint64, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, Error.Wrap(err)
	}
	from, _, err := readBase(dir, given)
	if err != nil {
		return 0, err
	}
	var before []config.File
	if from > 0 {
		if _, before, err = c.configClient().LoadRevision(ctx, from); err != nil {
			return 0, err
		}
	}
	revision, files, err := c.configClient().LoadRevision(ctx, 0)
	if err != nil {
		return 0, err
	}
	if revision == 0 {
		return 0, Error.New("the store holds no configuration yet")
	}
	return revision, mergeRevision(dir, revision, before, files)
}

// mergeRevision merges the files of a revision into the folder and records the revision
// as its base. before are the files with which the changes in the folder began.
func mergeRevision(dir string, revision uint64, before, files []config.File) error {
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
			if err := replaceFile(filepath.Join(dir, f.Name), f.Data); err != nil {
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
	return writeBase(dir, revision)
}

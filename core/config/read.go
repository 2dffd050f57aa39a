package config

// This file reads revisions other than the newest, and computes what a change
// would do without making it.

import "context"

// LoadRevision reads the files of a revision; 0 stands for the newest.
func (c Client) LoadRevision(ctx context.Context, revision uint64) (uint64, []File, error) {
	r := c.newOperation(ctx)
	h, _, err := r.loadHead()
	if err != nil {
		return 0, nil, err
	}
	if revision == 0 {
		revision = h.Revision
	}
	list, err := r.fileHashesAt(h, revision)
	if err != nil {
		return 0, nil, err
	}
	files, err := r.loadFiles(list)
	return revision, files, err
}

// Preview returns the accepted configuration and the one that Apply would make of
// the request now. The error is as that of Apply.
func (c Client) Preview(ctx context.Context, q Request) (now, next Config, err error) {
	r := c.newOperation(ctx)
	for _, f := range q.Files {
		r.contents[Hash(f.Data)] = f.Data
	}
	h, _, err := r.loadHead()
	if err != nil {
		return now, next, err
	}
	base, err := r.fileHashesAt(h, q.Base)
	if err != nil {
		return now, next, err
	}
	merged, err := Merge(base, HashFiles(q.Files), h)
	if err != nil {
		return now, next, err
	}
	if now, err = r.loadConfig(h.Files); err != nil && h.Revision > 0 {
		return now, next, err
	}
	now.Revision = h.Revision
	next, err = r.loadConfig(merged)
	return now, next, err
}

func (r *operation) loadConfig(list map[string]string) (Config, error) {
	files, err := r.loadFiles(list)
	if err != nil {
		return Config{}, err
	}
	cfg, faults := Parse(files)
	if len(faults) > 0 {
		return Config{}, FaultsError{faults}
	}
	return cfg, nil
}

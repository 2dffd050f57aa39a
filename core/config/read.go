package config

// This file reads earlier revisions, and computes the effect of a change without
// applying it.

import "context"

// LoadRevision returns the number and the files of a revision; 0 selects the newest.
func (c Client) LoadRevision(ctx context.Context, revision uint64) (uint64, []File, error) {
	o := c.newOperation(ctx)
	h, _, err := o.loadHead()
	if err != nil {
		return 0, nil, err
	}
	if revision == 0 {
		revision = h.Revision
	}
	list, err := o.fileHashesAt(h, revision)
	if err != nil {
		return 0, nil, err
	}
	files, err := o.loadFiles(list)
	return revision, files, err
}

// Preview returns the accepted configuration and the configuration that Apply would
// produce from the request now. Its errors are those of Apply.
func (c Client) Preview(ctx context.Context, request Request) (now, next Config, err error) {
	o := c.newOperation(ctx)
	for _, f := range request.Files {
		o.contents[Hash(f.Data)] = f.Data
	}
	h, _, err := o.loadHead()
	if err != nil {
		return now, next, err
	}
	base, err := o.fileHashesAt(h, request.Base)
	if err != nil {
		return now, next, err
	}
	merged, err := Merge(base, HashFiles(request.Files), h)
	if err != nil {
		return now, next, err
	}
	if now, err = o.loadConfig(h.Files); err != nil && h.Revision > 0 {
		return now, next, err
	}
	now.Revision = h.Revision
	next, err = o.loadConfig(merged)
	return now, next, err
}

// loadConfig reads and parses the files with the given hashes.
func (o *operation) loadConfig(list map[string]string) (Config, error) {
	files, err := o.loadFiles(list)
	if err != nil {
		return Config{}, err
	}
	cfg, faults := Parse(files)
	if len(faults) > 0 {
		return Config{}, FaultsError{faults}
	}
	return cfg, nil
}

package config

// This file applies a change to the store. The changed files and the entry are
// written first, each under the hash of its content. The head, which refers to them,
// is written last, by conditional update. The store is therefore consistent at every
// moment, and a client that crashes in between leaves only unreferenced objects.

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
)

// ErrVersionMismatch is returned by Store.Put if the object's version differs from the
// expected version. It proves that the Put had no effect.
var ErrVersionMismatch = errors.New("the object's version differs from the expected version")

// ErrOutcomeUnknown means that an operation may or may not have been accepted. The
// request can safely be repeated with the same operation id.
var ErrOutcomeUnknown = errors.New("the outcome of the operation is unknown")

// Store is the platform's object store. An object that does not exist has version 0.
// Put writes only if the object has the version ifVersion. If Put fails with any
// error but ErrVersionMismatch, the write may have taken effect or may do so later.
type Store interface {
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error)
}

// FaultsError reports that a configuration is invalid and lists its faults.
type FaultsError struct{ Faults []Fault }

// Error implements error.
func (e FaultsError) Error() string {
	text := "config: the configuration has faults"
	for _, f := range e.Faults {
		text += "\n" + f.String()
	}
	return text
}

// Client reads and changes the configuration in the store.
type Client struct {
	Store Store
	// Pause waits before retry n, counted from 1. It returns an error if the context
	// ends first.
	Pause func(ctx context.Context, n int) error
	// Attempts is the number of failed store calls and lost races, counted together,
	// after which an operation fails; 0 means 20.
	Attempts int
}

// Request asks to replace the configuration by the files of a folder.
type Request struct {
	ChangeInfo
	// Base is the revision that Files is derived from. Revision 0 has no files.
	Base  uint64
	Files []File
}

// Result is the outcome of an operation.
type Result struct {
	Revision uint64
	// Changed is false if the accepted files were already the requested ones.
	Changed bool
	Config  Config
}

// operation is the state of one call of a Client's method.
type operation struct {
	Client
	ctx      context.Context
	failures int
	contents map[string][]byte // file contents by hash
}

func (c Client) newOperation(ctx context.Context) *operation {
	if c.Attempts == 0 {
		c.Attempts = 20
	}
	return &operation{Client: c, ctx: ctx, contents: map[string][]byte{}}
}

// waitBeforeRetry counts the failure err and waits before the next attempt. It returns
// an error if no attempt is left or the wait is cancelled.
func (o *operation) waitBeforeRetry(err error) error {
	o.failures++
	if o.failures >= o.Attempts {
		return err
	}
	if pauseErr := o.Pause(o.ctx, o.failures); pauseErr != nil {
		return errors.Join(pauseErr, err)
	}
	return nil
}

// get reads an object and retries while the store fails.
func (o *operation) get(key string) ([]byte, uint64, error) {
	for {
		data, version, err := o.Store.Get(o.ctx, key)
		if err == nil {
			return data, version, nil
		}
		if err := o.waitBeforeRetry(err); err != nil {
			return nil, 0, Error.Wrap(err)
		}
	}
}

// create writes an immutable object. Its key is the hash of its content, so a retry
// after a lost response, which fails with ErrVersionMismatch, finds the same content.
func (o *operation) create(key string, data []byte) error {
	for {
		_, err := o.Store.Put(o.ctx, key, data, 0)
		if err == nil || errors.Is(err, ErrVersionMismatch) {
			return nil
		}
		if err := o.waitBeforeRetry(err); err != nil {
			return Error.Wrap(err)
		}
	}
}

func (o *operation) loadHead() (Head, uint64, error) {
	data, version, err := o.get(HeadKey)
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(data)
	return h, version, err
}

func (o *operation) loadEntry(hash string) (Entry, error) {
	data, _, err := o.get(ChangePrefix + hash)
	if err != nil {
		return Entry{}, err
	}
	return DecodeEntry(data, hash)
}

// fileHashesAt returns the file hashes, by name, of a revision up to that of h.
func (o *operation) fileHashesAt(h Head, revision uint64) (map[string]string, error) {
	if revision > h.Revision {
		return nil, Error.New("revision %d does not exist; the newest is %d", revision, h.Revision)
	}
	files, change := maps.Clone(h.Files), h.Change
	if revision == 0 {
		return map[string]string{}, nil
	}
	for at := h.Revision; at > revision; at-- {
		e, err := o.loadEntry(change)
		if err != nil {
			return nil, err
		}
		files, change = e.Undo(files), e.Parent
	}
	return files, nil
}

// findOperation returns the revision that the operation made, if it is newer than the
// revision after. Where the operations in the head do not reach back that far, it
// follows the chain of entries.
func (o *operation) findOperation(h Head, id string, after uint64) (uint64, bool, error) {
	if rev, ok := h.FindOp(id); ok {
		return rev, true, nil
	}
	if len(h.Ops) == 0 || h.Ops[0].Revision <= after+1 {
		return 0, false, nil
	}
	for at, change := h.Revision, h.Change; at > after && change != ""; at-- {
		e, err := o.loadEntry(change)
		if err != nil {
			return 0, false, err
		}
		if e.Op == id {
			return e.Revision, true, nil
		}
		change = e.Parent
	}
	return 0, false, nil
}

// loadFiles returns the files with the given hashes, in the order of their names.
func (o *operation) loadFiles(files map[string]string) ([]File, error) {
	loaded := make([]File, 0, len(files))
	for _, name := range slices.Sorted(maps.Keys(files)) {
		hash := files[name]
		data, ok := o.contents[hash]
		if !ok {
			var err error
			if data, _, err = o.get(FilePrefix + hash); err != nil {
				return nil, err
			}
			if Hash(data) != hash {
				return nil, Error.New("the stored content of file %s does not match its hash %s", name, hash)
			}
			o.contents[hash] = data
		}
		loaded = append(loaded, File{name, data})
	}
	return loaded, nil
}

// Apply merges the request's files with the changes that other operators made since
// the request's base, and makes the result the accepted configuration. If the error is
// a ConflictError or a FaultsError, nothing was applied; if it wraps
// ErrOutcomeUnknown, the change may have been applied.
func (c Client) Apply(ctx context.Context, request Request) (Result, error) {
	o := c.newOperation(ctx)
	for _, f := range request.Files {
		o.contents[Hash(f.Data)] = f.Data
	}
	return o.applyMerge(request.ChangeInfo, HashFiles(request.Files), request.Base, func(h Head) (map[string]string, error) { return o.fileHashesAt(h, request.Base) })
}

// Revert makes a new revision with the files of an earlier revision.
func (c Client) Revert(ctx context.Context, revision uint64, info ChangeInfo) (Result, error) {
	o := c.newOperation(ctx)
	h, _, err := o.loadHead()
	if err != nil {
		return Result{}, err
	}
	if revision == 0 {
		return Result{}, Error.New("revision 0 has no files and cannot be restored")
	}
	files, err := o.fileHashesAt(h, revision)
	if err != nil {
		return Result{}, err
	}
	return o.applyMerge(info, files, sinceFirstRead, func(Head) (map[string]string, error) { return h.Files, nil })
}

// Edit applies a change that is computed from the accepted files, such as the
// withdrawal of a key. If another operator's change is accepted first, Edit calls edit
// again with the new files, so it never returns a ConflictError. A repeated Edit or
// Revert is recognized by its operation id only while the operation is among the newest
// MaxOps, a repeated Apply always.
func (c Client) Edit(ctx context.Context, info ChangeInfo, edit func([]File) ([]File, error)) (Result, error) {
	o := c.newOperation(ctx)
	return o.updateHead(info, sinceFirstRead, func(h Head) (map[string]string, error) {
		files, err := o.loadFiles(h.Files)
		if err != nil {
			return nil, err
		}
		if files, err = edit(files); err != nil {
			return nil, err
		}
		for _, f := range files {
			o.contents[Hash(f.Data)] = f.Data
		}
		return HashFiles(files), nil
	})
}

// applyMerge merges the files want, which are derived from the files that base returns,
// into the accepted files.
func (o *operation) applyMerge(info ChangeInfo, want map[string]string, after uint64, base func(Head) (map[string]string, error)) (Result, error) {
	var baseFiles map[string]string
	return o.updateHead(info, after, func(h Head) (map[string]string, error) {
		if baseFiles == nil {
			var err error
			if baseFiles, err = base(h); err != nil {
				return nil, err
			}
		}
		return Merge(baseFiles, want, h)
	})
}

// sinceFirstRead, as the argument after of updateHead, stands for the revision of the
// first head that updateHead reads.
const sinceFirstRead = math.MaxUint64

// updateHead reads the head, computes the next files, validates them and writes the new
// head by conditional update, and repeats this until the update succeeds or no attempt
// is left. Before each attempt it searches the revisions newer than after for the
// operation, since an earlier Put may have taken effect without a response.
func (o *operation) updateHead(info ChangeInfo, after uint64, next func(Head) (map[string]string, error)) (Result, error) {
	maybeWritten := false // an earlier Put of the head may have taken effect
	markUnknown := func(err error) error {
		if maybeWritten && err != nil {
			return Error.Wrap(errors.Join(ErrOutcomeUnknown, err))
		}
		return err
	}
	for {
		h, version, err := o.loadHead()
		if err != nil {
			return Result{}, markUnknown(err)
		}
		if after == sinceFirstRead {
			after = h.Revision
		}
		revision, found, err := o.findOperation(h, info.Op, after)
		if err != nil {
			return Result{}, markUnknown(err)
		}
		if found {
			// The change was accepted, so a failure to read the accepted configuration must
			// not look like a rejection.
			result, err := o.currentResult(h, revision)
			return result, markUnknown(err)
		}
		files, err := next(h)
		if err != nil {
			// The error is definite, even if an earlier Put may still be under way. The head
			// was read after that Put and does not contain the operation. If the head has
			// changed since, the store rejects the Put for its version; if not, the merge,
			// which succeeded before, cannot fail now.
			return Result{}, err
		}
		if maps.Equal(files, h.Files) && h.Revision > 0 {
			return o.currentResult(h, 0)
		}
		list, err := o.loadFiles(files)
		if err != nil {
			return Result{}, markUnknown(err)
		}
		cfg, faults := Parse(list)
		if len(faults) > 0 {
			return Result{}, FaultsError{faults}
		}
		head, entry, err := h.Apply(files, info)
		if err != nil {
			return Result{}, err
		}
		if err := o.writeObjects(h, head, entry); err != nil {
			return Result{}, markUnknown(err)
		}
		data, err := head.Encode()
		if err != nil {
			return Result{}, err
		}
		_, err = o.Store.Put(o.ctx, HeadKey, data, version)
		if err == nil {
			cfg.Revision = head.Revision
			return Result{head.Revision, true, cfg}, nil
		}
		maybeWritten = maybeWritten || !errors.Is(err, ErrVersionMismatch)
		if err := o.waitBeforeRetry(err); err != nil {
			return Result{}, markUnknown(err)
		}
	}
}

// writeObjects stores the entry of the next head, and its files that h does not have.
func (o *operation) writeObjects(h, next Head, e Entry) error {
	stored := map[string]bool{}
	for _, hash := range h.Files {
		stored[hash] = true
	}
	for _, name := range slices.Sorted(maps.Keys(next.Files)) {
		hash := next.Files[name]
		if stored[hash] {
			continue
		}
		if err := o.create(FilePrefix+hash, o.contents[hash]); err != nil {
			return err
		}
	}
	data, err := e.Encode()
	if err != nil {
		return err
	}
	return o.create(ChangePrefix+next.Change, data)
}

// currentResult returns the accepted configuration h as the result of an operation that
// made the given revision, or that changed nothing if revision is 0.
func (o *operation) currentResult(h Head, revision uint64) (Result, error) {
	list, err := o.loadFiles(h.Files)
	if err != nil {
		return Result{}, err
	}
	cfg, faults := Parse(list)
	if len(faults) > 0 {
		return Result{}, FaultsError{faults}
	}
	cfg.Revision = h.Revision
	if revision == 0 {
		return Result{h.Revision, false, cfg}, nil
	}
	return Result{revision, true, cfg}, nil
}

// Load returns the head and the files of the accepted configuration.
func (c Client) Load(ctx context.Context) (Head, []File, error) {
	o := c.newOperation(ctx)
	h, _, err := o.loadHead()
	if err != nil {
		return Head{}, nil, err
	}
	files, err := o.loadFiles(h.Files)
	return h, files, err
}

// History returns up to limit entries, newest first.
func (c Client) History(ctx context.Context, limit int) ([]Entry, error) {
	o := c.newOperation(ctx)
	h, _, err := o.loadHead()
	if err != nil {
		return nil, err
	}
	var list []Entry
	for change := h.Change; change != "" && len(list) < limit; {
		e, err := o.loadEntry(change)
		if err != nil {
			return list, err
		}
		list, change = append(list, e), e.Parent
	}
	return list, nil
}

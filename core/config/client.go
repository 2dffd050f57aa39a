package config

// This file drives a change through the store. The order of the writes keeps
// every state readable: files and the entry come first under the hash of their
// content, and the head, which alone makes them count, comes last by conditional
// update. A client that dies in between leaves unreferenced objects only.

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
)

// ErrVersion is returned by Store.Put if the object is at another version. It
// proves that the Put had no effect.
var ErrVersion = errors.New("the object is at another version")

// ErrOutcomeUnknown says that the outcome of an operation could not be determined. The
// same request may be repeated with the same operation id.
var ErrOutcomeUnknown = errors.New("the outcome is not known")

// Store is the platform's object API. Version 0 stands for an object that does
// not exist. After any error but ErrVersion a Put may have taken effect or may
// still do so.
type Store interface {
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error)
}

// FaultsError reports a configuration that does not pass validation.
type FaultsError struct{ Faults []Fault }

// Error implements error.
func (e FaultsError) Error() string {
	text := "config: the configuration has faults"
	for _, f := range e.Faults {
		text += "\n" + f.String()
	}
	return text
}

// Client applies changes.
type Client struct {
	Store Store
	// Pause waits before attempt n, counted from 1, and ends with the context.
	Pause func(ctx context.Context, n int) error
	// Attempts bounds the store calls that may fail and the rounds that may lose
	// a race, each per operation; 0 means 20.
	Attempts int
}

// Request is a change of the configuration.
type Request struct {
	Note
	// Base is the revision that Files was made from; 0 is the empty folder.
	Base  uint64
	Files []File
}

// Result says what an operation did.
type Result struct {
	Revision uint64
	// Changed is false if the head held the files already.
	Changed bool
	Config  Config
}

// operation is one operation of a client.
type operation struct {
	Client
	ctx      context.Context
	failures int
	contents map[string][]byte // contents by hash
}

func (c Client) newOperation(ctx context.Context) *operation {
	if c.Attempts == 0 {
		c.Attempts = 20
	}
	return &operation{Client: c, ctx: ctx, contents: map[string][]byte{}}
}

// waitBeforeRetry spends an attempt after err and waits. It fails when none is left.
func (r *operation) waitBeforeRetry(err error) error {
	r.failures++
	if r.failures >= r.Attempts {
		return err
	}
	if e := r.Pause(r.ctx, r.failures); e != nil {
		return errors.Join(e, err)
	}
	return nil
}

// get reads an object, repeating the call while the store fails.
func (r *operation) get(key string) ([]byte, uint64, error) {
	for {
		data, version, err := r.Store.Get(r.ctx, key)
		if err == nil {
			return data, version, nil
		}
		if err := r.waitBeforeRetry(err); err != nil {
			return nil, 0, Error.Wrap(err)
		}
	}
}

// create writes an immutable object. A lost answer does no harm, since the second
// Put finds the same content under the same name.
func (r *operation) create(key string, data []byte) error {
	for {
		_, err := r.Store.Put(r.ctx, key, data, 0)
		if err == nil || errors.Is(err, ErrVersion) {
			return nil
		}
		if err := r.waitBeforeRetry(err); err != nil {
			return Error.Wrap(err)
		}
	}
}

func (r *operation) loadHead() (Head, uint64, error) {
	data, version, err := r.get(HeadKey)
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(data)
	return h, version, err
}

func (r *operation) loadEntry(hash string) (Entry, error) {
	data, _, err := r.get(ChangePrefix + hash)
	if err != nil {
		return Entry{}, err
	}
	return DecodeEntry(data, hash)
}

// fileHashesAt returns the file list of an earlier revision.
func (r *operation) fileHashesAt(h Head, revision uint64) (map[string]string, error) {
	if revision > h.Revision {
		return nil, Error.New("revision %d does not exist; the newest is %d", revision, h.Revision)
	}
	files, change := maps.Clone(h.Files), h.Change
	if revision == 0 {
		return map[string]string{}, nil
	}
	for at := h.Revision; at > revision; at-- {
		e, err := r.loadEntry(change)
		if err != nil {
			return nil, err
		}
		files, change = e.Undo(files), e.Parent
	}
	return files, nil
}

// findOperation looks for an operation among the revisions after since, also among those
// that the head no longer lists.
func (r *operation) findOperation(h Head, op string, since uint64) (uint64, bool, error) {
	if rev, ok := h.FindOp(op); ok {
		return rev, true, nil
	}
	if len(h.Ops) == 0 || h.Ops[0].Revision <= since+1 {
		return 0, false, nil
	}
	for at, change := h.Revision, h.Change; at > since && change != ""; at-- {
		e, err := r.loadEntry(change)
		if err != nil {
			return 0, false, err
		}
		if e.Op == op {
			return e.Revision, true, nil
		}
		change = e.Parent
	}
	return 0, false, nil
}

// loadFiles reads the contents of a file list.
func (r *operation) loadFiles(files map[string]string) ([]File, error) {
	list := make([]File, 0, len(files))
	for _, name := range slices.Sorted(maps.Keys(files)) {
		hash := files[name]
		data, ok := r.contents[hash]
		if !ok {
			var err error
			if data, _, err = r.get(FilePrefix + hash); err != nil {
				return nil, err
			}
			if Hash(data) != hash {
				return nil, Error.New("the file %s does not have the hash %s", name, hash)
			}
			r.contents[hash] = data
		}
		list = append(list, File{name, data})
	}
	return list, nil
}

// Apply makes the request's folder the accepted configuration, merged with what
// other operators changed since its base. The error is a Conflict, a FaultsError,
// or wraps ErrUnknown; in the first two cases nothing was applied.
func (c Client) Apply(ctx context.Context, q Request) (Result, error) {
	r := c.newOperation(ctx)
	for _, f := range q.Files {
		r.contents[Hash(f.Data)] = f.Data
	}
	return r.applyMerge(q.Note, HashFiles(q.Files), q.Base, func(h Head) (map[string]string, error) { return r.fileHashesAt(h, q.Base) })
}

// Revert makes the files of an earlier revision a new revision.
func (c Client) Revert(ctx context.Context, to uint64, n Note) (Result, error) {
	r := c.newOperation(ctx)
	h, _, err := r.loadHead()
	if err != nil {
		return Result{}, err
	}
	if to == 0 {
		return Result{}, Error.New("revision 0 is empty and cannot be restored")
	}
	want, err := r.fileHashesAt(h, to)
	if err != nil {
		return Result{}, err
	}
	return r.applyMerge(n, want, sinceFirstRead, func(Head) (map[string]string, error) { return h.Files, nil })
}

// Edit applies a change that is computed from the present files, such as the
// withdrawal of a key. edit runs again whenever another operator was faster, so
// it never conflicts. A repeated Edit or Revert is recognized by its operation id
// while that is among the newest MaxOps; a repeated Apply always is.
func (c Client) Edit(ctx context.Context, n Note, edit func([]File) ([]File, error)) (Result, error) {
	r := c.newOperation(ctx)
	return r.updateHead(n, sinceFirstRead, func(h Head) (map[string]string, error) {
		files, err := r.loadFiles(h.Files)
		if err != nil {
			return nil, err
		}
		if files, err = edit(files); err != nil {
			return nil, err
		}
		for _, f := range files {
			r.contents[Hash(f.Data)] = f.Data
		}
		return HashFiles(files), nil
	})
}

func (r *operation) applyMerge(n Note, want map[string]string, since uint64, base func(Head) (map[string]string, error)) (Result, error) {
	var from map[string]string
	return r.updateHead(n, since, func(h Head) (map[string]string, error) {
		if from == nil {
			var err error
			if from, err = base(h); err != nil {
				return nil, err
			}
		}
		return Merge(from, want, h)
	})
}

// sinceFirstRead as the argument since of rounds stands for the first head that is read.
const sinceFirstRead = math.MaxUint64

// updateHead repeats: read the head, decide the next files, validate, write. It ends
// when the head holds the operation, which is looked for after revision since.
func (r *operation) updateHead(n Note, since uint64, next func(Head) (map[string]string, error)) (Result, error) {
	tried := false // a Put of the head may have taken effect
	unknown := func(err error) error {
		if tried && err != nil {
			return Error.Wrap(errors.Join(ErrOutcomeUnknown, err))
		}
		return err
	}
	for {
		h, version, err := r.loadHead()
		if err != nil {
			return Result{}, unknown(err)
		}
		if since == sinceFirstRead {
			since = h.Revision
		}
		rev, done, err := r.findOperation(h, n.Op, since)
		if err != nil {
			return Result{}, unknown(err)
		}
		if done {
			// The change is accepted, so an error of reading it back must not be taken
			// for a refusal.
			res, err := r.currentResult(h, rev)
			return res, unknown(err)
		}
		files, err := next(h)
		if err != nil {
			// The head was read after the Put and lacks the operation. Unless the head
			// is unchanged since, in which case the merge cannot fail, a late Put is
			// refused by its version, so nothing was applied.
			return Result{}, err
		}
		if maps.Equal(files, h.Files) && h.Revision > 0 {
			return r.currentResult(h, 0)
		}
		list, err := r.loadFiles(files)
		if err != nil {
			return Result{}, unknown(err)
		}
		cfg, faults := Parse(list)
		if len(faults) > 0 {
			return Result{}, FaultsError{faults}
		}
		head, entry, err := h.Apply(files, n)
		if err != nil {
			return Result{}, err
		}
		if err := r.writeObjects(h, head, entry); err != nil {
			return Result{}, unknown(err)
		}
		data, err := head.Encode()
		if err != nil {
			return Result{}, err
		}
		_, err = r.Store.Put(r.ctx, HeadKey, data, version)
		if err == nil {
			cfg.Revision = head.Revision
			return Result{head.Revision, true, cfg}, nil
		}
		tried = tried || !errors.Is(err, ErrVersion)
		if err := r.waitBeforeRetry(err); err != nil {
			return Result{}, unknown(err)
		}
	}
}

// writeObjects stores what the next head will refer to and h does not.
func (r *operation) writeObjects(h, next Head, e Entry) error {
	old := map[string]bool{}
	for _, hash := range h.Files {
		old[hash] = true
	}
	for _, name := range slices.Sorted(maps.Keys(next.Files)) {
		hash := next.Files[name]
		if old[hash] {
			continue
		}
		if err := r.create(FilePrefix+hash, r.contents[hash]); err != nil {
			return err
		}
	}
	data, err := e.Encode()
	if err != nil {
		return err
	}
	return r.create(ChangePrefix+next.Change, data)
}

// currentResult reports the operation's revision, or the present one if it is 0.
func (r *operation) currentResult(h Head, revision uint64) (Result, error) {
	list, err := r.loadFiles(h.Files)
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

// Load reads the accepted configuration.
func (c Client) Load(ctx context.Context) (Head, []File, error) {
	r := c.newOperation(ctx)
	h, _, err := r.loadHead()
	if err != nil {
		return Head{}, nil, err
	}
	files, err := r.loadFiles(h.Files)
	return h, files, err
}

// History lists the newest entries, the latest first, at most limit of them.
func (c Client) History(ctx context.Context, limit int) ([]Entry, error) {
	r := c.newOperation(ctx)
	h, _, err := r.loadHead()
	if err != nil {
		return nil, err
	}
	var list []Entry
	for change := h.Change; change != "" && len(list) < limit; {
		e, err := r.loadEntry(change)
		if err != nil {
			return list, err
		}
		list, change = append(list, e), e.Parent
	}
	return list, nil
}

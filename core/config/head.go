package config

// This file holds the objects that the store keeps for the configuration.
//
//	config/head          Head: the accepted revision, replaced by conditional update
//	config/file/HASH     the text of one file, immutable
//	config/change/HASH   Entry: what one revision changed, immutable
//
// The entries form a chain from the newest revision back to the first, so that a
// head stays small and every earlier revision can be restored.

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"
)

// Keys of the objects in the store.
const (
	HeadKey      = "config/head"
	FilePrefix   = "config/file/"
	ChangePrefix = "config/change/"
)

// Bounds of the objects. The store accepts values up to 1 MB; a head of MaxFiles
// files with the longest names stays below 0.7 MB.
const (
	MaxValueBytes   = 1_000_000
	MaxOps          = 128 // recent operation ids in a head; older ones are in the entries
	MaxOpBytes      = 64  // bytes of an operation id
	MaxAuthorBytes  = 64  // bytes of an author
	MaxCommentBytes = 400 // bytes of a comment
)

// Op is an operation that was accepted.
type Op struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// Head is the accepted configuration. The zero Head is the state before the
// first one. It is not changed after it was built.
type Head struct {
	Revision uint64 `json:"revision"`
	// Files maps names to hashes.
	Files map[string]string `json:"files"`
	// Ops are the newest operations, the latest last.
	Ops []Op `json:"ops"`
	// Change is the hash of this revision's Entry.
	Change  string    `json:"change"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Comment string    `json:"comment"`
}

// Entry records what one revision changed.
type Entry struct {
	Revision uint64 `json:"revision"`
	Op       string `json:"op"`
	// Parent is the hash of the previous revision's Entry; empty for the first.
	Parent string `json:"parent"`
	// Before and After hold the hashes of the changed files. A file that is new is
	// missing from Before, a deleted one from After.
	Before  map[string]string `json:"before"`
	After   map[string]string `json:"after"`
	Author  string            `json:"author"`
	Time    time.Time         `json:"time"`
	Comment string            `json:"comment"`
}

// Hash names the content of an immutable object: SHA-256 in unpadded base64url.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// Encode gives the head's value in the store. It fails if that exceeds
// MaxValueBytes.
func (h Head) Encode() ([]byte, error) { return encodeObject(h) }

// Encode gives the entry's value in the store. It fails if that exceeds
// MaxValueBytes, which takes a change of about 5,000 files.
func (e Entry) Encode() ([]byte, error) { return encodeObject(e) }

func encodeObject(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > MaxValueBytes {
		return nil, Error.New("the object has %d bytes; the bound is %d", len(data), MaxValueBytes)
	}
	return data, nil
}

// DecodeHead reads a value of HeadKey. An empty value is the zero Head.
func DecodeHead(data []byte) (Head, error) {
	if len(data) == 0 {
		return Head{}, nil
	}
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, Error.Wrap(err)
	}
	if h.Revision == 0 {
		return Head{}, Error.New("the head has no revision")
	}
	return h, nil
}

// DecodeEntry reads a value under ChangePrefix and checks it against its hash.
func DecodeEntry(data []byte, hash string) (Entry, error) {
	var e Entry
	if Hash(data) != hash {
		return Entry{}, Error.New("the entry does not have the hash %s", hash)
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return Entry{}, Error.Wrap(err)
	}
	return e, nil
}

// FindOp returns the revision that the operation made, if it is a recent one.
func (h Head) FindOp(op string) (uint64, bool) {
	for _, o := range h.Ops {
		if o.ID == op {
			return o.Revision, true
		}
	}
	return 0, false
}

// ConflictError says that other operators changed the same files since the base.
type ConflictError struct {
	Revision uint64 // the present revision
	Files    []string
}

// Error implements error.
func (c ConflictError) Error() string {
	return "config: these files were changed by another operator since the base revision: " + strings.Join(c.Files, ", ")
}

// Merge is the three-way merge of file lists: want was made from base while the
// head moved on. Files that only one side changed take that side's content. The
// error is a Conflict.
func Merge(base, want map[string]string, head Head) (map[string]string, error) {
	next := map[string]string{}
	var both []string
	names := maps.Clone(base)
	if names == nil {
		names = map[string]string{}
	}
	maps.Copy(names, want)
	maps.Copy(names, head.Files)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		b, w, h := base[name], want[name], head.Files[name]
		pick := h
		switch {
		case w == b || w == h:
		case h == b:
			pick = w
		default:
			both = append(both, name)
		}
		if pick != "" {
			next[name] = pick
		}
	}
	if len(both) > 0 {
		return nil, ConflictError{head.Revision, both}
	}
	return next, nil
}

// Note is what an operator states about an operation.
type Note struct {
	// Op identifies the operation over retries; it must be unique.
	Op      string
	Author  string
	Comment string
	Time    time.Time
}

func (n Note) validate() error {
	switch {
	case n.Op == "" || len(n.Op) > MaxOpBytes:
		return Error.New("the operation id must have 1 to %d bytes", MaxOpBytes)
	case len(n.Author) > MaxAuthorBytes:
		return Error.New("the author exceeds %d bytes", MaxAuthorBytes)
	case len(n.Comment) > MaxCommentBytes:
		return Error.New("the comment exceeds %d bytes", MaxCommentBytes)
	}
	return nil
}

// Apply gives the head that follows h with the given files, and its entry. The
// revision rises by one with every change, also when it restores earlier content.
func (h Head) Apply(files map[string]string, n Note) (Head, Entry, error) {
	if err := n.validate(); err != nil {
		return Head{}, Entry{}, err
	}
	e := Entry{
		Revision: h.Revision + 1, Op: n.Op, Parent: h.Change, Before: map[string]string{}, After: map[string]string{},
		Author: n.Author, Time: n.Time.UTC(), Comment: n.Comment,
	}
	for name, hash := range h.Files {
		if files[name] != hash {
			e.Before[name] = hash
		}
	}
	for name, hash := range files {
		if h.Files[name] != hash {
			e.After[name] = hash
		}
	}
	data, err := e.Encode()
	if err != nil {
		return Head{}, Entry{}, err
	}
	ops := append(slices.Clone(h.Ops), Op{n.Op, e.Revision})
	next := Head{
		Revision: e.Revision, Files: maps.Clone(files), Ops: ops[max(0, len(ops)-MaxOps):], Change: Hash(data),
		Author: e.Author, Time: e.Time, Comment: e.Comment,
	}
	_, err = next.Encode()
	return next, e, err
}

// Undo gives the file list before the entry's revision from the list after it.
func (e Entry) Undo(files map[string]string) map[string]string {
	earlier := maps.Clone(files)
	for name := range e.After {
		delete(earlier, name)
	}
	maps.Copy(earlier, e.Before)
	return earlier
}

// HashFiles gives the file list of a folder.
func HashFiles(files []File) map[string]string {
	list := make(map[string]string, len(files))
	for _, f := range files {
		list[f.Name] = Hash(f.Data)
	}
	return list
}

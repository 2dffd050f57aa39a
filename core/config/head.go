package config

// This file defines the objects that represent the configuration in the store.
//
//	config/head          Head: the accepted revision, replaced by conditional update
//	config/file/HASH     the content of one file, immutable
//	config/change/HASH   Entry: the change that one revision made, immutable
//
// The entries form a linked list from the newest revision to the first. The head
// therefore stays small, and every earlier revision can be restored.

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

// Limits of the objects. The store accepts values up to 1 MB. A head with MaxFiles files
// whose names have the maximum length stays below 0.7 MB.
const (
	MaxValueBytes   = 1_000_000
	MaxOps          = 128 // newest operations in a head; all operations are in the entries
	MaxOpBytes      = 64  // bytes of an operation id
	MaxAuthorBytes  = 64  // bytes of an author
	MaxCommentBytes = 400 // bytes of a comment
)

// Op is an accepted operation and the revision that it made.
type Op struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// Head describes the accepted revision. The zero Head precedes the first revision and
// has no files. A Head is immutable once built.
type Head struct {
	Revision uint64 `json:"revision"`
	// Files maps the name of each file to the hash of its content.
	Files map[string]string `json:"files"`
	// Ops holds up to MaxOps operations, newest last.
	Ops []Op `json:"ops"`
	// Change is the hash of this revision's Entry.
	Change  string    `json:"change"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Comment string    `json:"comment"`
}

// Entry records the change that one revision made.
type Entry struct {
	Revision uint64 `json:"revision"`
	Op       string `json:"op"`
	// Parent is the hash of the previous revision's Entry, or empty for the first revision.
	Parent string `json:"parent"`
	// Before and After map the names of the changed files to the hashes of their
	// contents. Before lacks the files that were added, After those that were deleted.
	Before  map[string]string `json:"before"`
	After   map[string]string `json:"after"`
	Author  string            `json:"author"`
	Time    time.Time         `json:"time"`
	Comment string            `json:"comment"`
}

// Hash returns the SHA-256 of an object's content in unpadded base64url, which is part of
// the key of an immutable object.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// Encode returns the head as it is stored. It fails if the value exceeds
// MaxValueBytes.
func (h Head) Encode() ([]byte, error) { return encodeObject(h) }

// Encode returns the entry as it is stored. It fails if the value exceeds
// MaxValueBytes, which takes a change of about 5,000 files.
func (e Entry) Encode() ([]byte, error) { return encodeObject(e) }

func encodeObject(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > MaxValueBytes {
		return nil, Error.New("the object to store has %d bytes; the maximum is %d", len(data), MaxValueBytes)
	}
	return data, nil
}

// DecodeHead parses the stored object HeadKey. An empty value, which stands for an
// object that does not exist, gives the zero Head.
func DecodeHead(data []byte) (Head, error) {
	if len(data) == 0 {
		return Head{}, nil
	}
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, Error.Wrap(err)
	}
	if h.Revision == 0 {
		return Head{}, Error.New("the stored head has no revision")
	}
	return h, nil
}

// DecodeEntry parses the stored object ChangePrefix + hash and verifies the hash.
func DecodeEntry(data []byte, hash string) (Entry, error) {
	var e Entry
	if Hash(data) != hash {
		return Entry{}, Error.New("the stored entry does not match its hash %s", hash)
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return Entry{}, Error.Wrap(err)
	}
	return e, nil
}

// FindOp returns the revision that the operation made, if h.Ops contains the operation.
func (h Head) FindOp(op string) (uint64, bool) {
	for _, o := range h.Ops {
		if o.ID == op {
			return o.Revision, true
		}
	}
	return 0, false
}

// ConflictError reports files that this operation and other operators changed
// differently since the base revision.
type ConflictError struct {
	Revision uint64 // the accepted revision
	Files    []string
}

// Error implements error.
func (c ConflictError) Error() string {
	return "config: these files were changed by another operator since the base revision: " + strings.Join(c.Files, ", ")
}

// Merge is a three-way merge of file hashes: want is derived from base, and head may
// contain other changes since base. A file that only one side changed takes that side's
// content. Files are not merged line by line: if both sides changed a file to different
// contents, the error is a ConflictError.
func Merge(base, want map[string]string, head Head) (map[string]string, error) {
	next := map[string]string{}
	var conflicts []string
	names := maps.Clone(base)
	if names == nil {
		names = map[string]string{}
	}
	maps.Copy(names, want)
	maps.Copy(names, head.Files)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		atBase, wanted, atHead := base[name], want[name], head.Files[name]
		chosen := atHead
		switch {
		case wanted == atBase || wanted == atHead:
		case atHead == atBase:
			chosen = wanted
		default:
			conflicts = append(conflicts, name)
		}
		if chosen != "" {
			next[name] = chosen
		}
	}
	if len(conflicts) > 0 {
		return nil, ConflictError{head.Revision, conflicts}
	}
	return next, nil
}

// ChangeInfo identifies an operation and describes it in the history.
type ChangeInfo struct {
	// Op is the unique id of the operation. A retry uses the same id.
	Op      string
	Author  string
	Comment string
	Time    time.Time
}

func (info ChangeInfo) validate() error {
	switch {
	case info.Op == "" || len(info.Op) > MaxOpBytes:
		return Error.New("the operation id must have 1 to %d bytes", MaxOpBytes)
	case len(info.Author) > MaxAuthorBytes:
		return Error.New("the author exceeds %d bytes", MaxAuthorBytes)
	case len(info.Comment) > MaxCommentBytes:
		return Error.New("the comment exceeds %d bytes", MaxCommentBytes)
	}
	return nil
}

// Apply returns the head that replaces h when the given files are accepted, and the
// entry of that change. Each change increments the revision, even if the change restores
// earlier content.
func (h Head) Apply(files map[string]string, info ChangeInfo) (Head, Entry, error) {
	if err := info.validate(); err != nil {
		return Head{}, Entry{}, err
	}
	e := Entry{
		Revision: h.Revision + 1, Op: info.Op, Parent: h.Change, Before: map[string]string{}, After: map[string]string{},
		Author: info.Author, Time: info.Time.UTC(), Comment: info.Comment,
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
	ops := append(slices.Clone(h.Ops), Op{info.Op, e.Revision})
	next := Head{
		Revision: e.Revision, Files: maps.Clone(files), Ops: ops[max(0, len(ops)-MaxOps):], Change: Hash(data),
		Author: e.Author, Time: e.Time, Comment: e.Comment,
	}
	_, err = next.Encode()
	return next, e, err
}

// Undo returns the file hashes before the entry's change, given those after it.
func (e Entry) Undo(files map[string]string) map[string]string {
	earlier := maps.Clone(files)
	for name := range e.After {
		delete(earlier, name)
	}
	maps.Copy(earlier, e.Before)
	return earlier
}

// HashFiles maps the name of each file to the hash of its content.
func HashFiles(files []File) map[string]string {
	list := make(map[string]string, len(files))
	for _, f := range files {
		list[f.Name] = Hash(f.Data)
	}
	return list
}

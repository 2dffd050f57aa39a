package postgres

// Prepared statements outlive a batch, but the next batch may run on another upstream
// connection. A session therefore keeps the statements that it has named. On upstream
// connections the name of a statement is derived from its text and parameter types, so
// that all callers with the same statement share it there.

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"

	"burdockseam/core/statement"
)

const (
	// namePrefix is the prefix of derived names.
	namePrefix = "bs_"
	// nameBytes is the length of the hash in a derived name. Callers choose the hashed
	// text, so the hash must be long enough that nobody can construct a collision.
	nameBytes = 16
	// maxStatements and maxStatementBytes bound the prepared statements of one session.
	maxStatements     = 1024
	maxStatementBytes = 1 << 20
	// maxKeptUnnamed is the size of the largest unnamed statement, in bytes, that can be
	// used again in a later batch.
	maxKeptUnnamed = 64 << 10
	// maxConnStatements and maxConnStatementBytes bound the statements that stay prepared
	// on an upstream connection between transactions.
	maxConnStatements     = 512
	maxConnStatementBytes = 4 << 20
)

// prepared is a statement that a session has prepared.
type prepared struct {
	name    string // derived name, "" for the unnamed statement
	parse   string // Parse message with the derived name
	sql     string // text of the statement, a substring of parse
	summary statement.Summary
}

// newPrepared creates a statement from the fields of a Parse message, which it copies.
func newPrepared(named bool, sql string, types []byte, inTransaction bool) *prepared {
	p := &prepared{summary: statement.Inspect(sql, inTransaction)}
	if named {
		h := sha256.New()
		// Write of a hash never returns an error.
		_, _ = h.Write(types)
		_, _ = h.Write([]byte(sql))
		var sum [sha256.Size]byte
		p.name = namePrefix + hex.EncodeToString(h.Sum(sum[:0])[:nameBytes])
	}
	p.parse = string(appendFrame(nil, typeParse, []byte(p.name), []byte{0}, []byte(sql), []byte{0}, types))
	start := headerBytes + len(p.name) + 1
	p.sql = p.parse[start : start+len(sql)]
	return p
}

// bytes returns the size of the statement that counts toward the limits.
func (p *prepared) bytes() int { return len(p.parse) }

// namedStatements holds the prepared statements of a session by the caller's name.
type namedStatements struct {
	all   map[string]*prepared
	bytes int
}

func (n *namedStatements) get(name string) *prepared { return n.all[name] }

// full reports whether another statement of the given size would exceed the limits.
func (n *namedStatements) full(bytes int) bool {
	return len(n.all) >= maxStatements || n.bytes+bytes > maxStatementBytes
}

// set binds a name to a statement; nil removes the name.
func (n *namedStatements) set(name string, p *prepared) {
	if old := n.all[name]; old != nil {
		n.bytes -= old.bytes()
	}
	if p == nil {
		delete(n.all, name)
		return
	}
	if n.all == nil {
		n.all = make(map[string]*prepared)
	}
	n.all[name] = p
	n.bytes += p.bytes()
}

// statementCache holds the statements that are prepared on an upstream connection, by
// derived name.
type statementCache struct {
	all   map[string]*list.Element
	order list.List // most recently used first
	bytes int
}

// cachedStatement is a statement that is prepared on an upstream connection.
type cachedStatement struct {
	name  string
	bytes int
	batch uint64 // number of the batch that used it last
	// stale says that the statement must be prepared again before it is used, since an
	// error showed that its plan may have become unusable.
	stale bool
}

// touch returns a cached statement and marks it as used by the batch. It returns nil
// if the connection does not have the statement.
func (k *statementCache) touch(name []byte, batch uint64) *cachedStatement {
	e, ok := k.all[string(name)]
	if !ok {
		return nil
	}
	k.order.MoveToFront(e)
	s, _ := e.Value.(*cachedStatement)
	s.batch = batch
	return s
}

func (k *statementCache) add(name string, bytes int, batch uint64) {
	if k.all == nil {
		k.all = make(map[string]*list.Element)
	}
	k.all[name] = k.order.PushFront(&cachedStatement{name: name, bytes: bytes, batch: batch})
	k.bytes += bytes
}

func (k *statementCache) remove(name string) {
	e, ok := k.all[name]
	if !ok {
		return
	}
	if s, ok := e.Value.(*cachedStatement); ok {
		k.bytes -= s.bytes
	}
	k.order.Remove(e)
	delete(k.all, name)
}

// evict removes and returns the least recently used statement if the cache exceeds its
// limits. Statements used in the given batch or a later one stay.
func (k *statementCache) evict(since uint64) (name string, ok bool) {
	if len(k.all) <= maxConnStatements && k.bytes <= maxConnStatementBytes {
		return "", false
	}
	s, ok := k.order.Back().Value.(*cachedStatement)
	if !ok || s.batch >= since {
		return "", false
	}
	k.remove(s.name)
	return s.name, true
}

// addStale records a statement that the connection still has although the cache has
// dropped it. The statement must be prepared again.
func (k *statementCache) addStale(name string, batch uint64) {
	k.remove(name)
	k.add(name, 0, batch)
	if s, ok := k.all[name].Value.(*cachedStatement); ok {
		s.stale = true
	}
}

// markAllStale makes every statement be prepared again before its next use.
func (k *statementCache) markAllStale() {
	for e := k.order.Front(); e != nil; e = e.Next() {
		if s, ok := e.Value.(*cachedStatement); ok {
			s.stale = true
		}
	}
}

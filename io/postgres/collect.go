package postgres

// Messages of the extended protocol are collected up to Sync or Flush. What must
// not run is found here, before anything of the batch is sent.

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"burdockseam/core/statement"
)

// maxBatch bounds the bytes of a batch.
const maxBatch = 16 << 20

// collected is the batch that is being collected.
type collected struct {
	batch   Batch
	replies []reply
	// own and foreign count the statements that the proxy answers and those that
	// upstreams run.
	own, foreign int
	executes     int
	begins       bool
	dirty        bool
	unnamed      bool // the unnamed statement was prepared in this batch
}

// reset keeps the buffers.
func (col *collected) reset() {
	clear(col.replies)
	clear(col.batch.uses)
	*col = collected{batch: Batch{Frames: col.batch.Frames[:0], uses: col.batch.uses[:0]}, replies: col.replies[:0]}
	if cap(col.batch.Frames) > keptWork || cap(col.replies) > keptReplies || cap(col.batch.uses) > keptReplies {
		*col = collected{}
	}
}

// refuseStatement returns the error for a statement that must not run, or nil.
func refuseStatement(s *statement.Summary) error {
	if s.Effect != statement.Refused {
		return nil
	}
	return &StatementError{stateUnsupported, s.Reason}
}

var errMalformed = &StatementError{stateProtocol, "a message is malformed"}

// collect adds a message to the batch. The error says why the batch must not run.
func (c *caller) collect(f Frame) error {
	if len(c.col.batch.Frames)+len(f.Raw) > maxBatch {
		return &StatementError{stateTooMuch, "the messages before Sync are too long"}
	}
	switch f.Type {
	case typeParse:
		return c.collectParse(f)
	case typeBind:
		return c.collectBind(f)
	case typeDescribe, typeClose:
		return c.collectObject(f)
	case typeExecute:
		return c.collectExecute(f)
	case typeFunctionCall:
		return &StatementError{stateUnsupported, "function calls by protocol message are not supported"}
	case typeCopyData, typeCopyDone, typeCopyFail:
		// Callers may send these after a failed COPY; they are ignored.
		return nil
	}
	return &StatementError{stateProtocol, "unexpected message type"}
}

func (c *caller) inTransaction() bool { return c.status != 'I' || c.col.begins }

func (c *caller) collectParse(f Frame) error {
	name, rest, ok := cut(f.Body)
	if !ok {
		return errMalformed
	}
	sql, types, ok := cut(rest)
	if !ok || len(types) < 2 || len(types) != 2+4*int(binary.BigEndian.Uint16(types)) {
		return errMalformed
	}
	p := newPrepared(len(name) > 0, string(sql), types, c.inTransaction())
	if err := refuseStatement(&p.summary); err != nil {
		return err
	}
	if p.summary.Count > 1 {
		return &StatementError{"42601", "cannot insert multiple commands into a prepared statement"}
	}
	if len(name) == 0 {
		c.unnamed = p
		c.col.unnamed = true
	} else {
		if c.names.get(string(name)) != nil {
			return &StatementError{stateDuplicate, "prepared statement \"" + string(name) + "\" already exists"}
		}
		if c.names.full(p.bytes()) {
			return &StatementError{stateTooMuch, "the session has too many prepared statements"}
		}
		c.names.set(string(name), p)
	}
	if err := c.join(p); err != nil {
		return err
	}
	c.col.batch.Frames = append(c.col.batch.Frames, p.parse...)
	c.col.replies = append(c.col.replies, reply{kind: typeParse, name: string(name), statement: p})
	return nil
}

// lookup returns a statement that the caller names.
func (c *caller) lookup(name []byte) (*prepared, error) {
	p := c.unnamed
	if len(name) > 0 {
		p = c.names.all[string(name)]
	}
	if p == nil {
		return nil, &StatementError{stateNoStatement, "prepared statement \"" + string(name) + "\" does not exist"}
	}
	// It may have been prepared in a transaction that has ended.
	if p.summary.Effect != statement.SessionSetting && p.summary.Kind == statement.Set && !c.inTransaction() {
		return nil, &StatementError{stateUnsupported, "this form of SET needs a transaction"}
	}
	if len(name) > 0 || !c.col.unnamed {
		c.use(p)
	}
	return p, c.join(p)
}

// use notes that the batch needs a statement.
func (c *caller) use(p *prepared) {
	for _, u := range c.col.batch.uses {
		if u == p {
			return
		}
	}
	c.col.batch.uses = append(c.col.batch.uses, p)
}

// join adds a statement to what is known about the batch.
func (c *caller) join(p *prepared) error {
	if c.own(p) {
		c.col.own++
		return nil
	}
	if c.abandoned() {
		return errFailed
	}
	c.col.foreign++
	c.joinSummary(&p.summary, p.sql)
	return nil
}

// own reports whether the proxy answers a statement itself.
func (c *caller) own(p *prepared) bool {
	return p.summary.Effect == statement.SessionSetting || c.abandoned() && ends(&p.summary)
}

func (c *caller) joinSummary(s *statement.Summary, sql string) {
	b := &c.col.batch
	switch {
	case b.Kind == "" || b.Kind == statement.Empty:
		b.Kind, b.SQL, b.ReadOnly = s.Kind, sql, s.ReadOnly
	case s.Kind == statement.Empty:
	case b.Kind != s.Kind:
		b.Kind, b.ReadOnly = statement.Write, false
	}
	c.col.begins = c.col.begins || s.Kind == statement.Begin
	c.col.dirty = c.col.dirty || s.Effect == statement.Dirty
}

func (c *caller) collectBind(f Frame) error {
	portal, rest, ok := cut(f.Body)
	if !ok {
		return errMalformed
	}
	name, rest, ok := cut(rest)
	if !ok {
		return errMalformed
	}
	p, err := c.lookup(name)
	if err != nil {
		return err
	}
	c.col.batch.Frames = appendFrame(c.col.batch.Frames, typeBind, portal, zero, []byte(p.name), zero, rest)
	r := reply{kind: typeBind, statement: p}
	if c.own(p) {
		r.name = string(portal)
	}
	c.col.replies = append(c.col.replies, r)
	return nil
}

var zero = []byte{0}

func (c *caller) collectObject(f Frame) error {
	kind, name, ok := object(f.Body)
	if !ok {
		return errMalformed
	}
	r := reply{kind: f.Type, object: kind}
	var err error
	switch {
	case kind == objectPortal:
		if r.statement = c.ownPortal(name); r.statement == nil && f.Type == typeDescribe {
			if c.abandoned() {
				return errFailed
			}
			c.col.foreign++
		}
	case f.Type == typeDescribe:
		if r.statement, err = c.lookup(name); err != nil {
			return err
		}
		name = []byte(r.statement.name)
	case len(name) > 0:
		r.name, r.before = string(name), c.names.get(string(name))
		c.names.set(r.name, nil)
		if r.before != nil {
			name = []byte(r.before.name)
		}
	default:
		c.unnamed = nil
	}
	c.col.batch.Frames = appendFrame(c.col.batch.Frames, f.Type, []byte{kind}, name, zero)
	c.col.replies = append(c.col.replies, r)
	return nil
}

func (c *caller) collectExecute(f Frame) error {
	portal, rest, ok := cut(f.Body)
	if !ok || len(rest) != 4 {
		return errMalformed
	}
	p := c.ownPortal(portal)
	if p == nil {
		if c.abandoned() {
			return errFailed
		}
		c.col.foreign++
	}
	c.col.executes++
	c.col.batch.Frames = append(c.col.batch.Frames, f.Raw...)
	c.col.replies = append(c.col.replies, reply{kind: typeExecute, statement: p})
	return nil
}

// ownPortal returns the statement of a portal if the proxy answers it itself.
func (c *caller) ownPortal(portal []byte) *prepared {
	if c.col.own == 0 {
		return nil
	}
	for i := len(c.col.replies) - 1; i >= 0; i-- {
		if r := &c.col.replies[i]; r.kind == typeBind && c.own(r.statement) && r.name == string(portal) {
			return r.statement
		}
	}
	return nil
}

// errMixed refuses a batch that is neither for the proxy alone nor for an upstream alone.
var errMixed = &StatementError{stateUnsupported, "session settings must be sent apart from other statements"}

// answerOwn answers a batch that concerns only the session.
func (c *caller) answerOwn() error {
	for i := range c.col.replies {
		r := &c.col.replies[i]
		switch {
		case r.kind == typeParse:
			c.out = append(c.out, parseComplete.Raw...)
		case r.kind == typeBind:
			c.out = append(c.out, bindComplete.Raw...)
		case r.kind == typeClose:
			c.out = append(c.out, closeComplete.Raw...)
		case r.kind == typeDescribe:
			if r.object == objectStatement {
				c.put(&pgproto3.ParameterDescription{})
			}
			c.out = append(c.out, noData.Raw...)
		case r.statement != nil:
			tags, err := c.perform(r.statement.sql)
			if err != nil {
				c.undo(c.col.replies[i:])
				// What was answered before the error stays.
				c.col.replies = c.col.replies[:0]
				return err
			}
			for _, tag := range tags {
				c.put(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
			}
		}
	}
	return nil
}

// undo takes back what the replies, which will not come, would have done to names.
func (c *caller) undo(dropped []reply) {
	for i := len(dropped) - 1; i >= 0; i-- {
		switch r := &dropped[i]; {
		case r.name == "":
		case r.kind == typeParse && c.names.get(r.name) == r.statement:
			c.names.set(r.name, nil)
		case r.kind == typeClose && c.names.get(r.name) == nil:
			c.names.set(r.name, r.before)
		}
	}
}

// querySQL returns the text of a Query message.
func querySQL(f Frame) (string, bool) {
	sql, rest, ok := bytes.Cut(f.Body, zero)
	return string(sql), ok && len(rest) == 0
}

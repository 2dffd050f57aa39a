package postgres

// Messages of the extended query protocol are collected up to a Sync or Flush.
// Statements that must not run are detected here, before any part of the batch is
// sent.

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"burdockseam/core/statement"
)

// maxBatchBytes bounds the size of a batch.
const maxBatchBytes = 16 << 20

// batchBuilder collects the messages of the next batch.
type batchBuilder struct {
	batch   Batch
	replies []reply
	// forProxy and forUpstream count the messages that need the proxy's own answer and
	// those that need an upstream.
	forProxy, forUpstream int
	executeCount          int
	beginsTransaction     bool
	dirty                 bool
	unnamed               bool // the unnamed statement was prepared in this batch
}

// reset empties the builder. It keeps the buffers unless they have grown too large.
func (col *batchBuilder) reset() {
	clear(col.replies)
	clear(col.batch.uses)
	*col = batchBuilder{batch: Batch{Frames: col.batch.Frames[:0], uses: col.batch.uses[:0]}, replies: col.replies[:0]}
	if cap(col.batch.Frames) > maxPooledBuffer || cap(col.replies) > maxKeptReplies || cap(col.batch.uses) > maxKeptReplies {
		*col = batchBuilder{}
	}
}

// checkSupported returns the error for a statement that must not run, or nil.
func checkSupported(s *statement.Summary) error {
	if s.Effect != statement.Refused {
		return nil
	}
	return &StatementError{stateUnsupported, s.Reason}
}

var errMalformed = &StatementError{stateProtocol, "a message is malformed"}

// collect adds a message to the batch. An error is the reason for which the batch
// must not run.
func (c *caller) collect(f Frame) error {
	if len(c.builder.batch.Frames)+len(f.Raw) > maxBatchBytes {
		return &StatementError{stateLimitExceeded, "the messages before Sync are too long"}
	}
	switch f.Type {
	case typeParse:
		return c.collectParse(f)
	case typeBind:
		return c.collectBind(f)
	case typeDescribe, typeClose:
		return c.collectDescribeClose(f)
	case typeExecute:
		return c.collectExecute(f)
	case typeFunctionCall:
		return &StatementError{stateUnsupported, "function calls by protocol message are not supported"}
	case typeCopyData, typeCopyDone, typeCopyFail:
		// Callers may still send these after a COPY has failed; they are ignored.
		return nil
	}
	return &StatementError{stateProtocol, "unexpected message type"}
}

func (c *caller) inTransaction() bool { return c.status != 'I' || c.builder.beginsTransaction }

func (c *caller) collectParse(f Frame) error {
	name, rest, ok := cutString(f.Body)
	if !ok {
		return errMalformed
	}
	sql, types, ok := cutString(rest)
	if !ok || len(types) < 2 || len(types) != 2+4*int(binary.BigEndian.Uint16(types)) {
		return errMalformed
	}
	p := newPrepared(len(name) > 0, string(sql), types, c.inTransaction())
	if err := checkSupported(&p.summary); err != nil {
		return err
	}
	if p.summary.Count > 1 {
		return &StatementError{"42601", "cannot insert multiple commands into a prepared statement"}
	}
	if len(name) == 0 {
		c.unnamed = p
		c.builder.unnamed = true
	} else {
		if c.names.get(string(name)) != nil {
			return &StatementError{stateDuplicate, "prepared statement \"" + string(name) + "\" already exists"}
		}
		if c.names.full(p.bytes()) {
			return &StatementError{stateLimitExceeded, "the session has too many prepared statements"}
		}
		c.names.set(string(name), p)
	}
	if err := c.addStatement(p); err != nil {
		return err
	}
	c.builder.batch.Frames = append(c.builder.batch.Frames, p.parse...)
	c.builder.replies = append(c.builder.replies, reply{request: typeParse, name: string(name), statement: p})
	return nil
}

// lookup returns the prepared statement with the caller's name for it and adds the
// statement to the batch.
func (c *caller) lookup(name []byte) (*prepared, error) {
	p := c.unnamed
	if len(name) > 0 {
		p = c.names.all[string(name)]
	}
	if p == nil {
		return nil, &StatementError{stateNoStatement, "prepared statement \"" + string(name) + "\" does not exist"}
	}
	// The statement may have been prepared in a transaction that has ended.
	if p.summary.Effect != statement.SessionSetting && p.summary.Kind == statement.Set && !c.inTransaction() {
		return nil, &StatementError{stateUnsupported, "this form of SET needs a transaction"}
	}
	if len(name) > 0 || !c.builder.unnamed {
		c.requireStatement(p)
	}
	return p, c.addStatement(p)
}

// requireStatement records that the batch uses a statement of an earlier batch.
func (c *caller) requireStatement(p *prepared) {
	for _, u := range c.builder.batch.uses {
		if u == p {
			return
		}
	}
	c.builder.batch.uses = append(c.builder.batch.uses, p)
}

// addStatement counts a statement and merges its properties into those of the batch.
func (c *caller) addStatement(p *prepared) error {
	if c.answeredByProxy(p) {
		c.builder.forProxy++
		return nil
	}
	if c.transactionLost() {
		return errTransactionAborted
	}
	c.builder.forUpstream++
	c.mergeSummary(&p.summary, p.sql)
	return nil
}

// answeredByProxy reports whether the proxy answers a statement itself.
func (c *caller) answeredByProxy(p *prepared) bool {
	return p.summary.Effect == statement.SessionSetting || c.transactionLost() && endsTransaction(&p.summary)
}

// mergeSummary merges the properties of a statement into those of the batch. A batch
// with statements of different kinds counts as a write.
func (c *caller) mergeSummary(s *statement.Summary, sql string) {
	b := &c.builder.batch
	switch {
	case b.Kind == "" || b.Kind == statement.Empty:
		b.Kind, b.SQL, b.ReadOnly = s.Kind, sql, s.ReadOnly
	case s.Kind == statement.Empty:
	case b.Kind != s.Kind:
		b.Kind, b.ReadOnly = statement.Write, false
	}
	c.builder.beginsTransaction = c.builder.beginsTransaction || s.Kind == statement.Begin
	c.builder.dirty = c.builder.dirty || s.Effect == statement.Dirty
}

func (c *caller) collectBind(f Frame) error {
	portal, rest, ok := cutString(f.Body)
	if !ok {
		return errMalformed
	}
	name, rest, ok := cutString(rest)
	if !ok {
		return errMalformed
	}
	p, err := c.lookup(name)
	if err != nil {
		return err
	}
	c.builder.batch.Frames = appendFrame(c.builder.batch.Frames, typeBind, portal, zeroByte, []byte(p.name), zeroByte, rest)
	r := reply{request: typeBind, statement: p}
	if c.answeredByProxy(p) {
		r.name = string(portal)
	}
	c.builder.replies = append(c.builder.replies, r)
	return nil
}

var zeroByte = []byte{0}

func (c *caller) collectDescribeClose(f Frame) error {
	kind, name, ok := parseObject(f.Body)
	if !ok {
		return errMalformed
	}
	r := reply{request: f.Type, objectKind: kind}
	var err error
	switch {
	case kind == objectPortal:
		if r.statement = c.proxyPortal(name); r.statement == nil && f.Type == typeDescribe {
			if c.transactionLost() {
				return errTransactionAborted
			}
			c.builder.forUpstream++
		}
	case f.Type == typeDescribe:
		if r.statement, err = c.lookup(name); err != nil {
			return err
		}
		name = []byte(r.statement.name)
	case len(name) > 0:
		r.name, r.previous = string(name), c.names.get(string(name))
		c.names.set(r.name, nil)
		if r.previous != nil {
			name = []byte(r.previous.name)
		}
	default:
		c.unnamed = nil
	}
	c.builder.batch.Frames = appendFrame(c.builder.batch.Frames, f.Type, []byte{kind}, name, zeroByte)
	c.builder.replies = append(c.builder.replies, r)
	return nil
}

func (c *caller) collectExecute(f Frame) error {
	portal, rest, ok := cutString(f.Body)
	if !ok || len(rest) != 4 {
		return errMalformed
	}
	p := c.proxyPortal(portal)
	if p == nil {
		if c.transactionLost() {
			return errTransactionAborted
		}
		c.builder.forUpstream++
	}
	c.builder.executeCount++
	c.builder.batch.Frames = append(c.builder.batch.Frames, f.Raw...)
	c.builder.replies = append(c.builder.replies, reply{request: typeExecute, statement: p})
	return nil
}

// proxyPortal returns the statement of a portal of this batch if the proxy answers
// it itself, or nil.
func (c *caller) proxyPortal(portal []byte) *prepared {
	if c.builder.forProxy == 0 {
		return nil
	}
	for i := len(c.builder.replies) - 1; i >= 0; i-- {
		if r := &c.builder.replies[i]; r.request == typeBind && c.answeredByProxy(r.statement) && r.name == string(portal) {
			return r.statement
		}
	}
	return nil
}

// errMixed refuses a batch that mixes statements for the proxy with statements for an
// upstream.
var errMixed = &StatementError{stateUnsupported, "session settings must be sent apart from other statements"}

// answerProxyBatch answers a batch that affects only the session.
func (c *caller) answerProxyBatch() error {
	for i := range c.builder.replies {
		r := &c.builder.replies[i]
		switch {
		case r.request == typeParse:
			c.out = append(c.out, parseComplete.Raw...)
		case r.request == typeBind:
			c.out = append(c.out, bindComplete.Raw...)
		case r.request == typeClose:
			c.out = append(c.out, closeComplete.Raw...)
		case r.request == typeDescribe:
			if r.objectKind == objectStatement {
				c.appendMessage(&pgproto3.ParameterDescription{})
			}
			c.out = append(c.out, noData.Raw...)
		case r.statement != nil:
			tags, err := c.runSessionStatements(r.statement.sql)
			if err != nil {
				c.undoNames(c.builder.replies[i:])
				// The answers before the error are still sent.
				c.builder.replies = c.builder.replies[:0]
				return err
			}
			for _, tag := range tags {
				c.appendMessage(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
			}
		}
	}
	return nil
}

// undoNames reverts the changes to the session's statement names by messages that get
// no reply.
func (c *caller) undoNames(dropped []reply) {
	for i := len(dropped) - 1; i >= 0; i-- {
		switch r := &dropped[i]; {
		case r.name == "":
		case r.request == typeParse && c.names.get(r.name) == r.statement:
			c.names.set(r.name, nil)
		case r.request == typeClose && c.names.get(r.name) == nil:
			c.names.set(r.name, r.previous)
		}
	}
}

// querySQL returns the text of a Query message.
func querySQL(f Frame) (string, bool) {
	sql, rest, ok := bytes.Cut(f.Body, zeroByte)
	return string(sql), ok && len(rest) == 0
}

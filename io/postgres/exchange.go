package postgres

// An exchange sends a batch to an upstream and relays the answer.

import (
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"burdockseam/core/statement"
)

// errFailed refuses statements in a failed transaction, as an upstream does.
var errFailed = &StatementError{stateFailed, "current transaction is aborted, commands ignored until end of transaction block"}

// abandoned reports whether the caller's transaction was lost with its connection.
// The caller must end it before anything runs, or statements that it meant for the
// transaction would run on their own.
func (c *caller) abandoned() bool { return c.status == 'E' && c.backend == nil }

// ends reports whether a text is one statement that ends a transaction.
func ends(s *statement.Summary) bool {
	return s.Count == 1 && (s.Kind == statement.Commit || s.Kind == statement.Rollback)
}

// poison makes an upstream fail the open transaction, as it does after an error of
// its own. It follows a refusal by the proxy, so that the transaction cannot be
// committed without the refused statement.
var poison = append(appendFrame(nil, typeParse, []byte("\x00refused by the proxy\x00\x00\x00")), syncFrame.Raw...)

// query handles a Query message.
func (c *caller) query(f Frame) bool {
	if c.skip {
		// As after an error of an upstream, everything up to Sync is ignored.
		return true
	}
	sql, ok := querySQL(f)
	if !ok {
		c.tell(fatal(stateProtocol, "query message is malformed"))
		return false
	}
	sum := statement.Inspect(sql, c.inTransaction())
	if err := refuseStatement(&sum); err != nil {
		return c.refuseQuery(err)
	}
	if sum.Effect == statement.SessionSetting || sum.Count == 0 || c.abandoned() && ends(&sum) {
		if len(c.col.replies) > 0 {
			return c.refuseQuery(errMixed)
		}
		return c.answerQuery(sql, sum.Count == 0)
	}
	if c.abandoned() {
		return c.refuseQuery(errFailed)
	}
	if len(c.col.batch.Frames)+len(f.Raw) > maxBatch {
		return c.refuseQuery(&StatementError{stateTooMuch, "the messages before the query are too long"})
	}
	c.col.foreign++
	c.col.executes++
	c.joinSummary(&sum, sql)
	c.col.batch.Frames = append(c.col.batch.Frames, f.Raw...)
	c.col.replies = append(c.col.replies, reply{kind: typeQuery})
	return c.exchange(true)
}

// refuseQuery refuses a simple query, with what was collected before it.
func (c *caller) refuseQuery(err error) bool {
	c.refuse(err)
	return c.sync()
}

// answerQuery answers a simple query that concerns only the session.
func (c *caller) answerQuery(sql string, empty bool) bool {
	if empty {
		c.put(&pgproto3.EmptyQueryResponse{})
		return c.tellReady()
	}
	tags, err := c.perform(sql)
	if err != nil {
		return c.refuseQuery(err)
	}
	for _, tag := range tags {
		c.put(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return c.tellReady()
}

// refuse tells the caller why the collected batch does not run. Messages up to
// Sync are ignored.
func (c *caller) refuse(err error) {
	c.undo(c.col.replies)
	c.col.reset()
	c.skip, c.refused = true, true
	c.put(response(err))
}

// flushMessage handles a Flush: the caller wants the answers so far.
func (c *caller) flushMessage() bool {
	if c.skip || len(c.col.replies) == 0 {
		return c.flush()
	}
	if c.col.own > 0 || c.col.foreign == 0 && c.backend == nil {
		if err := c.ownBatch(); err != nil {
			c.refuse(err)
		}
		return c.flush()
	}
	if c.backend == nil && c.col.executes == 0 {
		// Nothing runs, so the next batch may go to another upstream.
		c.col.batch.Frames = append(c.col.batch.Frames, syncFrame.Raw...)
		c.col.replies = append(c.col.replies, reply{kind: typeSync, mode: hidden})
		return c.exchange(false)
	}
	if c.backend == nil {
		// What follows in the pipeline is not known and may be a write.
		c.col.batch.Kind = statement.Write
	}
	c.col.batch.Frames = append(c.col.batch.Frames, flushFrame.Raw...)
	return c.exchange(false)
}

// ownBatch answers a batch without any statement for an upstream.
func (c *caller) ownBatch() error {
	if c.col.foreign > 0 {
		return errMixed
	}
	err := c.answerOwn()
	if err == nil {
		c.col.reset()
	}
	return err
}

// sync handles a Sync, which ends a batch.
func (c *caller) sync() bool {
	if c.refused && c.backend != nil {
		return c.poison()
	}
	if !c.skip && (c.col.own > 0 || c.col.foreign == 0 && c.backend == nil) {
		if err := c.ownBatch(); err != nil {
			c.refuse(err)
			return c.sync()
		}
	}
	c.skip, c.refused = false, false
	if c.backend == nil && c.col.foreign == 0 || c.backend != nil && !c.pipeline && len(c.col.replies) == 0 {
		c.col.reset()
		return c.tellReady()
	}
	c.col.batch.Frames = append(c.col.batch.Frames, syncFrame.Raw...)
	c.col.replies = append(c.col.replies, reply{kind: typeSync})
	return c.exchange(true)
}

// poison fails the open transaction after a refusal and relays only its status.
func (c *caller) poison() bool {
	c.skip, c.refused = false, false
	c.col.reset()
	c.col.batch.Frames = append(c.col.batch.Frames, poison...)
	c.col.replies = append(c.col.replies, reply{kind: typeParse, mode: hidden}, reply{kind: typeSync})
	return c.exchange(true)
}

func (c *caller) tellReady() bool {
	c.put(&pgproto3.ReadyForQuery{TxStatus: c.status})
	return c.flush()
}

// exchange runs the collected batch and relays its answer. The flag says that the
// caller expects a ReadyForQuery at its end. It returns false when the connection cannot go on.
func (c *caller) exchange(ends bool) bool {
	batch := &c.col.batch
	switch {
	case c.col.foreign > 0 && batch.Kind == statement.Empty:
		batch.Kind = statement.Read
	case c.col.foreign > 0 && batch.Kind == "":
		batch.Kind = statement.Write
	case batch.Kind == "":
		batch.Kind = statement.Empty
	}
	batch.Prepare = c.col.executes == 0
	batch.Transaction = c.backend != nil
	batch.ReadOnly = batch.ReadOnly || c.readOnly
	if batch.Kind == statement.Write && !batch.Prepare {
		batch.IdempotencyKey, c.idempotency = c.idempotency, ""
	}
	c.busy.Store(true)
	for {
		again, ok := c.attempt(ends)
		if !again {
			c.col.reset()
			if c.unnamed != nil && c.unnamed.bytes() > keptUnnamed {
				c.unnamed = nil
			}
			c.busy.Store(c.backend != nil)
			return ok
		}
	}
}

func (c *caller) attempt(ends bool) (again, ok bool) {
	batch := &c.col.batch
	c.written = len(c.out) > 0
	c.erred = false
	if c.backend == nil {
		backend, err := c.session.Open(c.ctx, batch)
		if err != nil {
			return false, c.fail(err, ends)
		}
		c.backend = backend
	} else if err := c.session.Check(c.ctx); err != nil {
		c.put(response(err))
		c.flush()
		return false, false
	}
	if c.reason.Load() != nil {
		c.leave()
		return false, false
	}
	c.setRunning(c.backend)
	if err := c.backend.Send(batch); err != nil {
		return c.lost(err, ends)
	}
	// A copy, since another attempt needs the replies as they are now.
	c.replies.queue = append(c.replies.queue[:0], c.col.replies...)
	c.replies.head, c.replies.failed = 0, false
	return c.relay(ends)
}

// fail tells the caller the outcome of a batch whose answer does not come.
func (c *caller) fail(err error, ends bool) bool {
	c.undo(c.col.replies)
	c.put(response(err))
	if !ends {
		c.skip = true
		return c.flush()
	}
	return c.tellReady()
}

// lost ends the backend after an error and tells the caller the outcome.
func (c *caller) lost(err error, ends bool) (again, ok bool) {
	open := c.status != 'I' || c.pipeline
	kind := c.col.batch.Kind
	abandoned := c.status != 'I' && kind != statement.Commit && kind != statement.Rollback
	c.release(false)
	c.replies = replies{}
	if abandoned {
		c.status = 'E'
	}
	if !open && !c.written && c.session.Retry(&c.col.batch, err) {
		c.out = c.out[:0]
		return true, true
	}
	return false, c.fail(err, ends)
}

// relay passes the answer on until every message of the batch has its reply.
func (c *caller) relay(ends bool) (again, ok bool) {
	var failure *pgconn.PgError
	for !c.replies.empty() {
		f, err := c.backend.Next()
		if err != nil {
			return c.lost(err, ends)
		}
		switch f.Type {
		case typeParameterStatus:
			c.observe(f)
			continue
		case typeNotice:
			c.out = append(c.out, f.Raw...)
			continue
		}
		r, _, err := c.replies.take(f.Type)
		if err != nil {
			return c.lost(err, ends)
		}
		if r.mode == hidden && f.Type != typeReady {
			continue
		}
		switch f.Type {
		case typeError:
			c.erred = true
			c.undo(c.replies.dropped)
			switch errorField(f.Body, 'C') {
			case StateReadOnly, StateTerm, StateNotRun:
				failure = upstreamError(f)
			}
			if failure != nil && failure.Code == StateTerm {
				c.put(response(Refuse(NotRun, "the upstream serves another term")))
				continue
			}
		case typeReady:
			if r.mode != hidden {
				c.out = append(c.out, f.Raw...)
			}
			if c.ready(f.Body[0]) && failure != nil && !c.written && c.session.Retry(&c.col.batch, failure) {
				c.out = c.out[:0]
				return true, true
			}
			continue
		}
		if len(f.Raw) >= flushAt && len(c.out) == 0 && f.Type == typeRow {
			c.written = true
			if !c.write(f.Raw) {
				return false, false
			}
			continue
		}
		c.out = append(c.out, f.Raw...)
		// The end of a statement's answer is not written before the whole answer has
		// been matched.
		if len(c.out) >= flushAt && f.Type == typeRow && !c.flush() {
			return false, false
		}
	}
	c.setRunning(nil)
	if !ends {
		c.pipeline = c.backend != nil
		c.skip = c.erred
	}
	return false, c.flush()
}

// ready handles the end of a batch with a transaction status. It returns true if no
// transaction is open any more.
func (c *caller) ready(status byte) bool {
	wasOpen := c.status != 'I' || c.pipeline
	c.status = status
	c.pipeline = false
	c.dirty = c.dirty || c.col.dirty
	if status != 'I' {
		c.readOnly = c.readOnly || c.col.batch.ReadOnly
		return false
	}
	c.release(true)
	return !wasOpen
}

// upstreamError returns an error message of an upstream.
func upstreamError(f Frame) *pgconn.PgError {
	var m pgproto3.ErrorResponse
	if m.Decode(f.Body) != nil {
		return nil
	}
	return pgconn.ErrorResponseToPgError(&m)
}

// observe takes a position out of the answer and reports the new token instead.
func (c *caller) observe(f Frame) {
	name, rest, _ := cut(f.Body)
	if string(name) != parameterPosition {
		// A setting of the connection has changed. It is told to the caller, and the
		// connection is not reused. A token is what the next instance reports.
		if string(name) != parameterStandby && string(name) != ParameterToken {
			c.dirty = true
			c.out = append(c.out, f.Raw...)
		}
		return
	}
	if c.server.Link {
		c.out = append(c.out, f.Raw...)
	}
	value, _, _ := cut(rest)
	if token := c.session.Observe(string(value)); token != "" {
		c.report(ParameterToken, token)
	}
}

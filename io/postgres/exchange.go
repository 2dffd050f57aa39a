package postgres

// An exchange sends a batch to an upstream and relays the answer to the caller.

import (
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"burdockseam/core/statement"
)

// errTransactionAborted refuses statements in a failed transaction, as an upstream does.
var errTransactionAborted = &StatementError{stateTransactionAborted, "current transaction is aborted, commands ignored until end of transaction block"}

// transactionLost reports whether the caller's transaction was lost with its upstream
// connection. The caller must end the transaction before anything else runs;
// otherwise statements that belong to the transaction would run outside of it.
func (c *caller) transactionLost() bool { return c.status == 'E' && c.backend == nil }

// endsTransaction reports whether a text is a single statement that ends a transaction.
func endsTransaction(s *statement.Summary) bool {
	return s.Count == 1 && (s.Kind == statement.Commit || s.Kind == statement.Rollback)
}

// abortBatch makes an upstream fail the open transaction, as an error of its own does.
// It is sent after the proxy has refused a statement, so that the transaction cannot be
// committed without that statement.
var abortBatch = append(appendFrame(nil, typeParse, []byte("\x00refused by the proxy\x00\x00\x00")), syncFrame.Raw...)

// handleQuery handles a Query message.
func (c *caller) handleQuery(f Frame) bool {
	if c.skipToSync {
		// As after an error of an upstream, messages up to Sync are ignored.
		return true
	}
	sql, ok := querySQL(f)
	if !ok {
		c.writeMessages(fatalResponse(stateProtocol, "query message is malformed"))
		return false
	}
	sum := statement.Inspect(sql, c.inTransaction())
	if err := checkSupported(&sum); err != nil {
		return c.refuseQuery(err)
	}
	if sum.Effect == statement.SessionSetting || sum.Count == 0 || c.transactionLost() && endsTransaction(&sum) {
		if len(c.builder.replies) > 0 {
			return c.refuseQuery(errMixed)
		}
		return c.answerQuery(sql, sum.Count == 0)
	}
	if c.transactionLost() {
		return c.refuseQuery(errTransactionAborted)
	}
	if len(c.builder.batch.Frames)+len(f.Raw) > maxBatchBytes {
		return c.refuseQuery(&StatementError{stateLimitExceeded, "the messages before the query are too long"})
	}
	c.builder.forUpstream++
	c.builder.executeCount++
	c.mergeSummary(&sum, sql)
	c.builder.batch.Frames = append(c.builder.batch.Frames, f.Raw...)
	c.builder.replies = append(c.builder.replies, reply{request: typeQuery})
	return c.exchange(true)
}

// refuseQuery refuses a simple query together with the messages collected before it.
func (c *caller) refuseQuery(err error) bool {
	c.refuse(err)
	return c.handleSync()
}

// answerQuery answers a simple query that affects only the session.
func (c *caller) answerQuery(sql string, empty bool) bool {
	if empty {
		c.appendMessage(&pgproto3.EmptyQueryResponse{})
		return c.writeReady()
	}
	tags, err := c.runSessionStatements(sql)
	if err != nil {
		return c.refuseQuery(err)
	}
	for _, tag := range tags {
		c.appendMessage(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return c.writeReady()
}

// refuse tells the caller why the collected batch does not run. The caller's messages
// up to Sync are then ignored.
func (c *caller) refuse(err error) {
	c.undoNames(c.builder.replies)
	c.builder.reset()
	c.skipToSync, c.refusedByProxy = true, true
	c.appendMessage(errorResponse(err))
}

// handleFlush handles a Flush, with which the caller asks for the answers so far.
func (c *caller) handleFlush() bool {
	if c.skipToSync || len(c.builder.replies) == 0 {
		return c.flush()
	}
	if c.builder.forProxy > 0 || c.builder.forUpstream == 0 && c.backend == nil {
		if err := c.runProxyBatch(); err != nil {
			c.refuse(err)
		}
		return c.flush()
	}
	if c.backend == nil && c.builder.executeCount == 0 {
		// The messages run nothing, so the next batch may go to another upstream.
		c.builder.batch.Frames = append(c.builder.batch.Frames, syncFrame.Raw...)
		c.builder.replies = append(c.builder.replies, reply{request: typeSync, mode: modeHidden})
		return c.exchange(false)
	}
	if c.backend == nil {
		// The rest of the pipeline is not known yet and may contain a write.
		c.builder.batch.Kind = statement.Write
	}
	c.builder.batch.Frames = append(c.builder.batch.Frames, flushFrame.Raw...)
	return c.exchange(false)
}

// runProxyBatch answers a batch that has no statement for an upstream, and fails if the
// batch has one.
func (c *caller) runProxyBatch() error {
	if c.builder.forUpstream > 0 {
		return errMixed
	}
	err := c.answerProxyBatch()
	if err == nil {
		c.builder.reset()
	}
	return err
}

// handleSync handles a Sync, which ends a batch.
func (c *caller) handleSync() bool {
	if c.refusedByProxy && c.backend != nil {
		return c.abortTransaction()
	}
	if !c.skipToSync && (c.builder.forProxy > 0 || c.builder.forUpstream == 0 && c.backend == nil) {
		if err := c.runProxyBatch(); err != nil {
			c.refuse(err)
			return c.handleSync()
		}
	}
	c.skipToSync, c.refusedByProxy = false, false
	if c.backend == nil && c.builder.forUpstream == 0 || c.backend != nil && !c.pipelineOpen && len(c.builder.replies) == 0 {
		c.builder.reset()
		return c.writeReady()
	}
	c.builder.batch.Frames = append(c.builder.batch.Frames, syncFrame.Raw...)
	c.builder.replies = append(c.builder.replies, reply{request: typeSync})
	return c.exchange(true)
}

// abortTransaction fails the open transaction after a refusal. Of the upstream's answer
// the caller gets only the transaction status.
func (c *caller) abortTransaction() bool {
	c.skipToSync, c.refusedByProxy = false, false
	c.builder.reset()
	c.builder.batch.Frames = append(c.builder.batch.Frames, abortBatch...)
	c.builder.replies = append(c.builder.replies, reply{request: typeParse, mode: modeHidden}, reply{request: typeSync})
	return c.exchange(true)
}

// writeReady ends the answer with a ReadyForQuery.
func (c *caller) writeReady() bool {
	c.appendMessage(&pgproto3.ReadyForQuery{TxStatus: c.status})
	return c.flush()
}

// exchange runs the collected batch and relays its answer. expectReady says that the
// answer ends with a ReadyForQuery. It returns false if the connection cannot continue.
func (c *caller) exchange(expectReady bool) bool {
	batch := &c.builder.batch
	switch {
	case c.builder.forUpstream > 0 && batch.Kind == statement.Empty:
		batch.Kind = statement.Read
	case c.builder.forUpstream > 0 && batch.Kind == "":
		batch.Kind = statement.Write
	case batch.Kind == "":
		batch.Kind = statement.Empty
	}
	batch.PrepareOnly = c.builder.executeCount == 0
	batch.InTransaction = c.backend != nil
	batch.ReadOnly = batch.ReadOnly || c.readOnly
	if batch.Kind == statement.Write && !batch.PrepareOnly {
		batch.IdempotencyKey, c.idempotencyKey = c.idempotencyKey, ""
	}
	c.busy.Store(true)
	for {
		retry, ok := c.attempt(expectReady)
		if !retry {
			c.builder.reset()
			if c.unnamed != nil && c.unnamed.bytes() > maxKeptUnnamed {
				c.unnamed = nil
			}
			c.busy.Store(c.backend != nil)
			return ok
		}
	}
}

// attempt sends the batch once and relays its answer. retry asks for another attempt;
// ok is false if the connection cannot continue.
func (c *caller) attempt(expectReady bool) (retry, ok bool) {
	batch := &c.builder.batch
	c.answerStarted = len(c.out) > 0
	c.answerFailed = false
	if c.backend == nil {
		backend, err := c.session.Open(c.ctx, batch)
		if err != nil {
			return false, c.sendFailure(err, expectReady)
		}
		c.backend = backend
	} else if err := c.session.Check(c.ctx); err != nil {
		c.appendMessage(errorResponse(err))
		c.flush()
		return false, false
	}
	if c.endReason.Load() != nil {
		c.sendEndReason()
		return false, false
	}
	c.setRunning(c.backend)
	if err := c.backend.Send(batch); err != nil {
		return c.handleBackendError(err, expectReady)
	}
	// The queue is copied, since another attempt needs the builder's replies unchanged.
	c.replies.queue = append(c.replies.queue[:0], c.builder.replies...)
	c.replies.head, c.replies.failed = 0, false
	return c.relayAnswer(expectReady)
}

// sendFailure tells the caller the outcome of a batch that gets no answer.
func (c *caller) sendFailure(err error, expectReady bool) bool {
	c.undoNames(c.builder.replies)
	c.appendMessage(errorResponse(err))
	if !expectReady {
		c.skipToSync = true
		return c.flush()
	}
	return c.writeReady()
}

// handleBackendError releases the backend after an error. It asks for a retry if the
// session allows one; otherwise it tells the caller the outcome.
func (c *caller) handleBackendError(err error, expectReady bool) (retry, ok bool) {
	open := c.status != 'I' || c.pipelineOpen
	kind := c.builder.batch.Kind
	lostTransaction := c.status != 'I' && kind != statement.Commit && kind != statement.Rollback
	c.release(false)
	c.replies = replyQueue{}
	if lostTransaction {
		c.status = 'E'
	}
	if !open && !c.answerStarted && c.session.ShouldRetry(&c.builder.batch, err) {
		c.out = c.out[:0]
		return true, true
	}
	return false, c.sendFailure(err, expectReady)
}

// relayAnswer relays the answer until every message of the batch has its reply.
func (c *caller) relayAnswer(expectReady bool) (retry, ok bool) {
	var failure *pgconn.PgError
	for !c.replies.empty() {
		f, err := c.backend.Next()
		if err != nil {
			return c.handleBackendError(err, expectReady)
		}
		switch f.Type {
		case typeParameterStatus:
			c.handleParameterStatus(f)
			continue
		case typeNoticeResponse:
			c.out = append(c.out, f.Raw...)
			continue
		}
		r, _, err := c.replies.match(f.Type)
		if err != nil {
			return c.handleBackendError(err, expectReady)
		}
		if r.mode == modeHidden && f.Type != typeReadyForQuery {
			continue
		}
		switch f.Type {
		case typeErrorResponse:
			c.answerFailed = true
			c.undoNames(c.replies.dropped)
			switch errorField(f.Body, 'C') {
			case StateReadOnly, StateWrongTerm, StateNotRun:
				failure = upstreamError(f)
			}
			if failure != nil && failure.Code == StateWrongTerm {
				c.appendMessage(errorResponse(NewRefusal(NotRun, "the upstream serves another term")))
				continue
			}
		case typeReadyForQuery:
			if r.mode != modeHidden {
				c.out = append(c.out, f.Raw...)
			}
			if c.handleReady(f.Body[0]) && failure != nil && !c.answerStarted && c.session.ShouldRetry(&c.builder.batch, failure) {
				c.out = c.out[:0]
				return true, true
			}
			continue
		}
		if len(f.Raw) >= flushThreshold && len(c.out) == 0 && f.Type == typeDataRow {
			c.answerStarted = true
			if !c.write(f.Raw) {
				return false, false
			}
			continue
		}
		c.out = append(c.out, f.Raw...)
		// Only rows are written early: the end of a statement's answer is not written before
		// the whole answer has been matched.
		if len(c.out) >= flushThreshold && f.Type == typeDataRow && !c.flush() {
			return false, false
		}
	}
	c.setRunning(nil)
	if !expectReady {
		c.pipelineOpen = c.backend != nil
		c.skipToSync = c.answerFailed
	}
	return false, c.flush()
}

// handleReady handles the end of a batch with its transaction status. It returns true
// if no transaction was open before the batch and none is open after it.
func (c *caller) handleReady(status byte) bool {
	wasOpen := c.status != 'I' || c.pipelineOpen
	c.status = status
	c.pipelineOpen = false
	c.dirty = c.dirty || c.builder.dirty
	if status != 'I' {
		c.readOnly = c.readOnly || c.builder.batch.ReadOnly
		return false
	}
	c.release(true)
	return !wasOpen
}

// upstreamError decodes an error message of an upstream, or returns nil.
func upstreamError(f Frame) *pgconn.PgError {
	var m pgproto3.ErrorResponse
	if m.Decode(f.Body) != nil {
		return nil
	}
	return pgconn.ErrorResponseToPgError(&m)
}

// handleParameterStatus records a position that the upstream reports and tells the
// caller the new session token instead.
func (c *caller) handleParameterStatus(f Frame) {
	name, rest, _ := cutString(f.Body)
	if string(name) != parameterPosition {
		// A setting of the connection has changed: the caller is told, and the connection is
		// not reused. The role of an upstream is not a setting, and a token in an answer is
		// one that the next instance reports for its own session.
		if string(name) != parameterStandby && string(name) != ParameterToken {
			c.dirty = true
			c.out = append(c.out, f.Raw...)
		}
		return
	}
	if c.server.PassPositions {
		c.out = append(c.out, f.Raw...)
	}
	value, _, _ := cutString(rest)
	if token := c.session.ObservePosition(string(value)); token != "" {
		c.reportParameter(ParameterToken, token)
	}
}

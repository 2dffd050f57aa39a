package caller

import (
	"context"
	"fmt"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/wal"
)

// Operation is a transaction, or a single statement outside of transactions.
type Operation struct {
	// Name is unique in the fleet.
	Name  string
	Grant access.Grant
	// Arrived is the time at which the operation's first statement was read.
	Arrived time.Time
	// Kind is the kind of the statement that began the transaction, or empty for a single
	// statement.
	Kind call.Kind
	// Upstream and Gateway say where the transaction is open. They are empty until its
	// first statement has run.
	Upstream, Gateway string
	// LastCommit is the log position of the session's own last commit, which reads must
	// see.
	LastCommit wal.Position
	Values     []call.Value
	// Wrote says that a statement of the transaction may have changed data.
	Wrote bool
}

// Router runs operations somewhere in the fleet. Its methods wait at most until the
// context ends or the route's timeout has passed.
type Router interface {
	// Admit decides whether an operation may start. id is the id of its first statement.
	// If the operation may not start, the reply says why.
	Admit(ctx context.Context, id, database string, c access.Credential) (access.Grant, call.Reply)
	// CheckAccess checks whether the credential gives access to the database. It is
	// called at the start of a session.
	CheckAccess(database string, c access.Credential) call.Code
	// CheckTransaction checks whether the credential still gives access under the grant of an open
	// transaction. It is called for each of its statements. id is the statement's id.
	CheckTransaction(id string, op *Operation, database string, c access.Credential) call.Code
	// Run runs a statement of the operation, and sets Upstream and Gateway of the
	// operation when its transaction has been opened.
	Run(ctx context.Context, op *Operation, s call.Statement) call.Reply
	// EndTransaction has the operation's transaction rolled back, without waiting for it.
	EndTransaction(op *Operation)
}

// Session is the session of one caller. It is used by one goroutine.
//
// The state, the session values, the prepared statements and the position of the
// session's own commits are kept here. Upstreams keep nothing for a session between two
// operations, so that each operation can run wherever the router sends it.
type Session struct {
	name       string
	database   string
	credential access.Credential
	router     Router
	now        func() time.Time

	state          call.State
	values         []call.Value
	prepared       preparedStatements
	lastCommit     wal.Position
	op             *Operation // the open transaction
	operationCount int        // of operations that have started
}

// NewSession returns a session without values. The name must be unique in the fleet.
func NewSession(name, database string, c access.Credential, r Router, now func() time.Time) *Session {
	return &Session{
		name: name, database: database, credential: c, router: r, now: now,
		state: call.Idle,
	}
}

// InTransaction reports whether the caller is in a transaction.
func (s *Session) InTransaction() bool { return s.state != call.Idle }

// Close gives up the open transaction, if any.
func (s *Session) Close() { s.rollback() }

// Execute runs one statement and returns its answer with the resulting state of the
// session.
func (s *Session) Execute(ctx context.Context, st call.Statement) call.Answer {
	a := s.execute(ctx, st)
	a.State = s.state
	return a
}

func (s *Session) execute(ctx context.Context, st call.Statement) call.Answer {
	if s.state == call.Broken && st.Kind != call.Commit && st.Kind != call.Rollback {
		return refusalAnswer(call.BadInput, "the transaction has failed")
	}
	switch st.Kind {
	case call.Set:
		values, ok := withValue(s.values, call.Value{Name: st.Name, Data: st.Value})
		if !ok {
			return s.failTransaction(refusalAnswer(call.TooMany, "the session would hold too many values"))
		}
		s.values = values
		return call.Answer{}
	case call.Prepare:
		if !s.prepared.set(st.Name, preparedStatement{st.Shape, st.Writes}) {
			return s.failTransaction(refusalAnswer(call.TooMany, "the session would hold too many prepared statements"))
		}
		return call.Answer{}
	case call.Deallocate:
		if !s.prepared.remove(st.Name) {
			return s.failTransaction(refusalAnswer(call.Unknown, "no statement has this name"))
		}
		return call.Answer{}
	case call.Begin, call.BeginRead:
		return s.begin(ctx, st)
	case call.Rollback:
		if s.state == call.Idle {
			return refusalAnswer(call.BadInput, "no transaction is open")
		}
		s.rollback()
		return call.Answer{}
	case call.Commit:
		return s.commit(ctx, st)
	case call.Read, call.Write, call.Execute:
		return s.runStatement(ctx, st)
	}
	return s.failTransaction(refusalAnswer(call.BadInput, "the statement is not understood"))
}

// AbandonedAnswer returns the answer to a statement of which it is not known whether it ran, and
// whose session ends with the answer. It is called before the statement is executed.
func (s *Session) AbandonedAnswer(st call.Statement) call.Answer {
	if p, ok := s.prepared.all[st.Name]; ok && st.Kind == call.Execute {
		st.Writes = p.writes
	}
	a := call.Answer{Code: call.Aborted, Text: "the instance has shut down", State: call.Broken}
	switch {
	case st.Kind == call.Commit && s.state == call.Active, st.IsWrite() && s.state == call.Idle:
		a.Code, a.State = call.InDoubt, call.Idle
	case s.state == call.Idle:
		a.State = call.Idle
	}
	return a
}

func refusalAnswer(code call.Code, text string) call.Answer {
	return call.Answer{Code: code, Text: text}
}

// failTransaction marks the open transaction, if any, as failed and returns the answer of
// the statement that failed.
func (s *Session) failTransaction(a call.Answer) call.Answer {
	if s.state == call.Active {
		s.state = call.Broken
		s.endTransaction()
	}
	return a
}

// begin answers without contacting an upstream. The transaction is opened with its first
// statement, by which the upstream is chosen.
func (s *Session) begin(ctx context.Context, st call.Statement) call.Answer {
	if s.state != call.Idle {
		return s.failTransaction(refusalAnswer(call.BadInput, "a transaction is open"))
	}
	op, refusal := s.startOperation(ctx, st.ID, st.Kind)
	if op == nil {
		return callerAnswer(refusal)
	}
	s.op, s.state = op, call.Active
	return call.Answer{}
}

// startOperation returns a new operation, whose first statement has the given id. If the
// operation is not admitted, it returns nil and the reason.
func (s *Session) startOperation(ctx context.Context, id string, kind call.Kind) (*Operation, call.Reply) {
	arrived := s.now()
	grant, refusal := s.router.Admit(ctx, id, s.database, s.credential)
	if refusal.Code != call.OK {
		return nil, refusal
	}
	s.operationCount++
	return &Operation{
		Name: fmt.Sprintf("%s.%d", s.name, s.operationCount), Grant: grant, Arrived: arrived, Kind: kind,
		LastCommit: s.lastCommit, Values: s.values,
	}, call.Reply{}
}

// callerAnswer turns a reply into the answer to the caller. Only a refused statement has
// a retry hint.
func callerAnswer(r call.Reply) call.Answer {
	if r.Retry > 0 {
		r.Text = fmt.Sprintf("%s; retry after %d ms", r.Text, r.Retry.Milliseconds())
	}
	if r.Code == call.Unreachable {
		r.Code = call.Busy
	}
	return r.Answer
}

// runStatement runs a read, a write or a prepared statement.
func (s *Session) runStatement(ctx context.Context, st call.Statement) call.Answer {
	if st.Kind == call.Execute {
		p, ok := s.prepared.all[st.Name]
		if !ok {
			return s.failTransaction(refusalAnswer(call.Unknown, "no statement has this name"))
		}
		st.Shape, st.Writes = p.shape, p.writes
	}
	if s.op != nil {
		return s.runInTransaction(ctx, st)
	}
	op, refusal := s.startOperation(ctx, st.ID, "")
	if op == nil {
		return callerAnswer(refusal)
	}
	r := s.router.Run(ctx, op, st)
	if r.Code == call.OK && st.IsWrite() {
		s.recordCommit(r.Position)
	}
	return callerAnswer(r)
}

// runInTransaction runs a statement of the open transaction.
func (s *Session) runInTransaction(ctx context.Context, st call.Statement) call.Answer {
	if refusal := s.checkTransaction(st.ID); refusal.Code != call.OK {
		return s.failTransaction(refusal)
	}
	s.op.Values = s.values
	r := s.router.Run(ctx, s.op, st)
	if r.Code != call.OK {
		return s.failTransaction(callerAnswer(r))
	}
	if st.IsWrite() {
		s.op.Wrote = true
	}
	return callerAnswer(r)
}

// checkTransaction returns the refusal of a statement of the open transaction, whose connection belongs
// to the team that held the key when it began, or OK.
func (s *Session) checkTransaction(id string) call.Answer {
	code := s.router.CheckTransaction(id, s.op, s.database, s.credential)
	text := ""
	switch code {
	case call.OK:
	case call.Denied:
		text = "the key was withdrawn"
	default:
		text = "the key no longer belongs to the team that began the transaction"
	}
	return refusalAnswer(code, text)
}

// commit commits the transaction. A failed transaction is rolled back instead.
func (s *Session) commit(ctx context.Context, st call.Statement) call.Answer {
	switch s.state {
	case call.Idle:
		return refusalAnswer(call.BadInput, "no transaction is open")
	case call.Broken:
		s.rollback()
		return refusalAnswer(call.Aborted, "the transaction has failed")
	}
	if refusal := s.checkTransaction(st.ID); refusal.Code != call.OK {
		s.rollback()
		return refusal
	}
	s.op.Values = s.values
	op := s.op
	r := s.router.Run(ctx, op, st)
	s.op, s.state = nil, call.Idle
	if r.Code == call.OK {
		if op.Wrote {
			s.recordCommit(r.Position)
		}
	} else if r.Ran == call.RanNo {
		s.router.EndTransaction(op)
	}
	return callerAnswer(r)
}

// recordCommit records the position of a commit of this session.
func (s *Session) recordCommit(p wal.Position) {
	if p.Compare(s.lastCommit) > 0 {
		s.lastCommit = p
	}
}

// rollback gives up the open transaction, if any, and leaves the session idle.
func (s *Session) rollback() {
	s.endTransaction()
	s.state = call.Idle
}

// endTransaction gives up the open transaction at the upstream.
func (s *Session) endTransaction() {
	if s.op != nil {
		s.router.EndTransaction(s.op)
		s.op = nil
	}
}

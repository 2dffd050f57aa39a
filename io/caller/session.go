package caller

// A session keeps what its caller was told: the state, the values, the prepared names
// and the position of its own commits. Nothing of it lives at an upstream between two
// operations, so that each operation can run anywhere.

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/wal"
)

// Operation is a transaction, or a single statement outside one.
type Operation struct {
	// Name is unique in the fleet.
	Name  string
	Grant access.Grant
	// Arrived is when the operation's first statement was read.
	Arrived time.Time
	// Kind is the transaction's first statement, or "" for a single statement.
	Kind call.Kind
	// Upstream and Gateway say where the transaction is open; both are "" before its
	// first statement has run.
	Upstream, Gateway string
	// Seen is the position of the session's own commits, which reads must see.
	Seen   wal.Position
	Values []call.Value
	// Wrote says that a statement of the transaction may have changed data.
	Wrote bool
}

// Router runs operations somewhere in the fleet. Its methods wait until the context's
// end or the route's timeout at most.
type Router interface {
	// Admit decides whether an operation may start, whose first statement has the id. If
	// not, the reply says why.
	Admit(ctx context.Context, id, database string, c access.Credential) (access.Grant, call.Reply)
	// Check repeats the decision about the key for a statement of an open transaction.
	Check(database string, c access.Credential) call.Code
	// Run runs a statement of the operation and notes in it where its transaction is.
	Run(ctx context.Context, op *Operation, s call.Statement) call.Reply
	// End gives up the operation's transaction. It does not wait.
	End(op *Operation)
}

// prepared is a statement that the caller has named.
type prepared struct {
	shape  string
	writes bool
}

// Session is the session of one caller. It is used by one goroutine.
type Session struct {
	name       string
	database   string
	credential access.Credential
	router     Router
	now        func() time.Time

	state  call.State
	values []call.Value
	names  map[string]prepared
	seen   wal.Position
	op     *Operation // the open transaction
	count  int        // operations so far
}

// NewSession returns a session without values. Its name is unique in the fleet.
func NewSession(name, database string, c access.Credential, r Router, now func() time.Time) *Session {
	return &Session{
		name: name, database: database, credential: c, router: r, now: now,
		state: call.Idle, names: make(map[string]prepared),
	}
}

// InTransaction reports whether the caller is in a transaction.
func (s *Session) InTransaction() bool { return s.state != call.Idle }

// Close gives up an open transaction.
func (s *Session) Close() { s.rollback() }

// Execute runs one statement.
func (s *Session) Execute(ctx context.Context, st call.Statement) call.Answer {
	a := s.execute(ctx, st)
	a.State = s.state
	return a
}

func (s *Session) execute(ctx context.Context, st call.Statement) call.Answer {
	if s.state == call.Broken && st.Kind != call.Commit && st.Kind != call.Rollback {
		return refuse(call.BadInput, "the transaction has failed")
	}
	switch st.Kind {
	case call.Set:
		s.values = withValue(s.values, call.Value{Name: st.Name, Data: st.Value})
		return call.Answer{}
	case call.Prepare:
		s.names[st.Name] = prepared{st.Shape, st.Writes}
		return call.Answer{}
	case call.Deallocate:
		if _, ok := s.names[st.Name]; !ok {
			return s.failed(refuse(call.Unknown, "no statement has this name"))
		}
		delete(s.names, st.Name)
		return call.Answer{}
	case call.Begin, call.BeginRead:
		return s.begin(ctx, st)
	case call.Rollback:
		if s.state == call.Idle {
			return refuse(call.BadInput, "no transaction is open")
		}
		s.rollback()
		return call.Answer{}
	case call.Commit:
		return s.commit(ctx, st)
	case call.Read, call.Write, call.Execute:
		return s.run(ctx, st)
	}
	return s.failed(refuse(call.BadInput, "the statement is not understood"))
}

func withValue(list []call.Value, v call.Value) []call.Value {
	out := slices.Clone(list)
	out = slices.DeleteFunc(out, func(o call.Value) bool { return o.Name == v.Name })
	out = append(out, v)
	slices.SortFunc(out, func(a, b call.Value) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func refuse(code call.Code, text string) call.Answer { return call.Answer{Code: code, Text: text} }

// failed notes that a statement of an open transaction has failed.
func (s *Session) failed(a call.Answer) call.Answer {
	if s.state == call.Active {
		s.state = call.Broken
		s.end()
	}
	return a
}

// begin answers at once; the transaction opens at an upstream with its first statement,
// when the place for it is known.
func (s *Session) begin(ctx context.Context, st call.Statement) call.Answer {
	if s.state != call.Idle {
		return s.failed(refuse(call.BadInput, "a transaction is open"))
	}
	op, refusal := s.operation(ctx, st.ID, st.Kind)
	if op == nil {
		return answer(refusal)
	}
	s.op, s.state = op, call.Active
	return call.Answer{}
}

// operation starts an operation with a statement's id if it is admitted.
func (s *Session) operation(ctx context.Context, id string, kind call.Kind) (*Operation, call.Reply) {
	arrived := s.now()
	grant, refusal := s.router.Admit(ctx, id, s.database, s.credential)
	if refusal.Code != call.OK {
		return nil, refusal
	}
	s.count++
	return &Operation{
		Name: fmt.Sprintf("%s.%d", s.name, s.count), Grant: grant, Arrived: arrived, Kind: kind,
		Seen: s.seen, Values: s.values,
	}, call.Reply{}
}

// answer turns a reply into what the caller is told. Only a refusal has a hint.
func answer(r call.Reply) call.Answer {
	if r.Retry > 0 {
		r.Text = fmt.Sprintf("%s; retry after %d ms", r.Text, r.Retry.Milliseconds())
	}
	if r.Code == call.Unreachable {
		r.Code = call.Busy
	}
	return r.Answer
}

// run runs a read or a write.
func (s *Session) run(ctx context.Context, st call.Statement) call.Answer {
	if st.Kind == call.Execute {
		p, ok := s.names[st.Name]
		if !ok {
			return s.failed(refuse(call.Unknown, "no statement has this name"))
		}
		st.Shape, st.Writes = p.shape, p.writes
	}
	if s.op != nil {
		return s.inside(ctx, st)
	}
	op, refusal := s.operation(ctx, st.ID, "")
	if op == nil {
		return answer(refusal)
	}
	r := s.router.Run(ctx, op, st)
	if r.Code == call.OK && st.IsWrite() {
		s.saw(r.Position)
	}
	return answer(r)
}

// inside runs a statement of the open transaction.
func (s *Session) inside(ctx context.Context, st call.Statement) call.Answer {
	if code := s.router.Check(s.database, s.credential); code == call.Denied {
		return s.failed(refuse(code, "the key was withdrawn"))
	}
	s.op.Values = s.values
	r := s.router.Run(ctx, s.op, st)
	if r.Code != call.OK {
		return s.failed(answer(r))
	}
	if st.IsWrite() {
		s.op.Wrote = true
	}
	return answer(r)
}

// commit ends the transaction. A transaction that has failed keeps nothing.
func (s *Session) commit(ctx context.Context, st call.Statement) call.Answer {
	switch s.state {
	case call.Idle:
		return refuse(call.BadInput, "no transaction is open")
	case call.Broken:
		s.rollback()
		return refuse(call.Aborted, "the transaction has failed")
	}
	if code := s.router.Check(s.database, s.credential); code == call.Denied {
		s.rollback()
		return refuse(code, "the key was withdrawn")
	}
	s.op.Values = s.values
	op := s.op
	r := s.router.Run(ctx, op, st)
	s.op, s.state = nil, call.Idle
	if r.Code == call.OK {
		if op.Wrote {
			s.saw(r.Position)
		}
	} else if r.Ran == call.RanNo {
		s.router.End(op)
	}
	return answer(r)
}

func (s *Session) saw(p wal.Position) {
	if p.Compare(s.seen) > 0 {
		s.seen = p
	}
}

func (s *Session) rollback() {
	s.end()
	s.state = call.Idle
}

// end gives up the transaction at the upstream.
func (s *Session) end() {
	if s.op != nil {
		s.router.End(s.op)
		s.op = nil
	}
}

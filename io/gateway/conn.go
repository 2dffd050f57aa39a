package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"burdockseam/core/call"
	"burdockseam/core/wal"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

// ErrUnsent means that a connection failed before any byte of the statement was written,
// so that the statement did not run.
var ErrUnsent = errors.New("nothing was sent")

// ErrUnsendable means that an upstream would not read a statement, or the start of a session,
// as it was meant. Nothing was sent, and the connection remains usable.
var ErrUnsendable = errors.New("cannot be sent to an upstream")

// Conn is a connection to an upstream, opened for one team. After a method has returned
// an error other than ErrUnsendable, the connection is unusable, and the statement may have
// run unless the error is ErrUnsent. If the upstream refuses a statement, the method returns
// no error, and the Code of the Answer says why. Each method waits until its deadline at
// most.
type Conn interface {
	// Begin opens a transaction, read-only if read is set, once the log of the upstream
	// has reached the position.
	Begin(deadline time.Time, read bool, after wal.Position) (call.Answer, error)
	// Rollback rolls back the open transaction.
	Rollback(deadline time.Time) (call.Answer, error)
	// Run runs the caller's statement once the log of the upstream has reached the
	// position. name is the name of the statement on this connection if it is a prepared
	// one.
	Run(deadline time.Time, s call.Statement, name string, after wal.Position) (call.Answer, error)
	// Set sets a session value.
	Set(deadline time.Time, v call.Value) (call.Answer, error)
	// Prepare prepares a statement with the given shape under a name. writes says that
	// the statement changes data.
	Prepare(deadline time.Time, name, shape string, writes bool) (call.Answer, error)
	// Deallocate removes a prepared statement.
	Deallocate(deadline time.Time, name string) (call.Answer, error)
	// Reset drops session values and prepared statements.
	Reset(deadline time.Time) (call.Answer, error)
	// Usable reports whether the upstream has neither closed the connection nor sent data
	// that was not requested.
	Usable() bool
	Close()
}

// RefusedError is the error of a Dialer whose connection attempt was refused by the
// upstream itself.
type RefusedError struct {
	Code call.Code
	Text string
}

// Error implements error.
func (r RefusedError) Error() string { return "refused: " + string(r.Code) + " " + r.Text }

// Dialer opens connections to upstreams. The error is a RefusedError if the upstream
// answered.
type Dialer interface {
	Dial(ctx context.Context, address, group, team, upstream string) (Conn, error)
}

// pooledConn is a connection and the state of its session at the upstream.
type pooledConn struct {
	Conn
	id         uint64
	team       string
	values     []call.Value
	statements connStatements
	// transaction is the kind of the open transaction, OpenNone outside of transactions.
	transaction call.Open
	// wrote says that a statement of the transaction may have changed data.
	wrote bool

	// busy says that a statement or a rollback is running, opener is the ID of the request
	// that opened the transaction, and round is the round of the pace in which the last
	// statement was started. They are guarded by the gateway's lock.
	busy   bool
	opener uint64
	round  int
}

// orUnsendable returns the answer of a method of the connection. It returns a refusal in place
// of ErrUnsendable, which says nothing about the upstream.
func (p *pooledConn) orUnsendable(a call.Answer, err error) (call.Answer, error) {
	if !errors.Is(err, ErrUnsendable) {
		return a, err
	}
	a = call.Answer{Code: call.BadInput, Text: err.Error(), State: call.Idle}
	if p.transaction != call.OpenNone {
		a.State = call.Active
	}
	return a, nil
}

// prepareSession sets the caller's values in the session at the upstream and prepares the
// statement that an Execute runs. If the upstream refuses a step, its answer is returned.
func (p *pooledConn) prepareSession(deadline time.Time, values []call.Value, s call.Statement) (call.Answer, error) {
	if !namesSubset(p.values, values) {
		if a, err := p.Reset(deadline); err != nil || a.Code != call.OK {
			return a, err
		}
		p.values = nil
		p.statements.clear()
	}
	for _, v := range values {
		if slices.Contains(p.values, v) {
			continue
		}
		if a, err := p.orUnsendable(p.Set(deadline, v)); err != nil || a.Code != call.OK {
			return a, err
		}
		p.values = slices.DeleteFunc(p.values, func(o call.Value) bool { return o.Name == v.Name })
		p.values = append(p.values, v)
	}
	if s.Kind == call.Execute {
		return p.prepareStatement(deadline, keyOf(s))
	}
	return call.Answer{}, nil
}

// namesSubset reports whether each name in have is also in want. Set can replace a value,
// but only Reset can remove a name.
func namesSubset(have, want []call.Value) bool {
	for _, h := range have {
		if !slices.ContainsFunc(want, func(w call.Value) bool { return w.Name == h.Name }) {
			return false
		}
	}
	return true
}

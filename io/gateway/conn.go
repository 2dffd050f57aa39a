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

// ErrUnsent says that a connection failed before any byte of a statement was written,
// so that the statement did not run.
var ErrUnsent = errors.New("nothing was sent")

// Conn is a connection to an upstream, opened for one team. An error of a method means
// that the connection is of no use any more, and that the statement may have run unless
// the error is ErrUnsent; a refusal by the upstream is the Code of its Answer. All
// methods wait until the deadline at most.
type Conn interface {
	// Begin opens a transaction once the log has reached the position.
	Begin(deadline time.Time, read bool, after wal.Position) (call.Answer, error)
	// Rollback ends a transaction.
	Rollback(deadline time.Time) (call.Answer, error)
	// Run runs the caller's statement; a prepared one by the name that it has on this
	// connection.
	Run(deadline time.Time, s call.Statement, name string, after wal.Position) (call.Answer, error)
	// Set sets a session value.
	Set(deadline time.Time, v call.Value) (call.Answer, error)
	// Prepare names a shape.
	Prepare(deadline time.Time, name, shape string, writes bool) (call.Answer, error)
	// Reset drops values and prepared names.
	Reset(deadline time.Time) (call.Answer, error)
	// Usable reports whether the upstream has neither closed the connection nor sent
	// anything that nobody asked for.
	Usable() bool
	Close()
}

// Refused is the error of a Dialer to whom the upstream gave an answer.
type Refused struct {
	Code call.Code
	Text string
}

// Error implements error.
func (r Refused) Error() string { return "refused: " + string(r.Code) + " " + r.Text }

// Dialer opens connections to upstreams. The error is Refused if the upstream answered.
type Dialer interface {
	Dial(ctx context.Context, address, group, team, upstream string) (Conn, error)
}

// pooled is a connection with what is known about its session at the upstream.
type pooled struct {
	Conn
	id     uint64
	team   string
	values []call.Value
	names  map[string]bool // prepared statements
	// open is the transaction that the connection is in.
	open call.Open
	// wrote says that a statement of the transaction may have changed data.
	wrote bool

	// busy says that a statement runs, and ended that its transaction is to be rolled
	// back afterwards. The gateway's lock guards both.
	busy, ended bool
}

// preparedName returns the name of a shape on all connections. Callers' names collide,
// so that they can't be used on shared connections.
func preparedName(s call.Statement) string {
	if s.Writes {
		return "w" + s.Shape
	}
	return "r" + s.Shape
}

// align gives the upstream's session the caller's values and the prepared statement
// that the caller's statement runs. It returns the upstream's refusal, if any.
func (p *pooled) align(deadline time.Time, values []call.Value, s call.Statement) (call.Answer, error) {
	if !contained(p.values, values) {
		if a, err := p.Reset(deadline); err != nil || a.Code != call.OK {
			return a, err
		}
		p.values, p.names = nil, nil
	}
	for _, v := range values {
		if slices.Contains(p.values, v) {
			continue
		}
		if a, err := p.Set(deadline, v); err != nil || a.Code != call.OK {
			return a, err
		}
		p.values = slices.DeleteFunc(p.values, func(o call.Value) bool { return o.Name == v.Name })
		p.values = append(p.values, v)
	}
	if name := preparedName(s); s.Kind == call.Execute && !p.names[name] {
		if a, err := p.Prepare(deadline, name, s.Shape, s.Writes); err != nil || a.Code != call.OK {
			return a, err
		}
		if p.names == nil {
			p.names = make(map[string]bool)
		}
		p.names[name] = true
	}
	return call.Answer{}, nil
}

// contained reports whether each name in have is also in want. Values that differ are
// set anew, but a name can only be dropped by a reset.
func contained(have, want []call.Value) bool {
	for _, h := range have {
		if !slices.ContainsFunc(want, func(w call.Value) bool { return w.Name == h.Name }) {
			return false
		}
	}
	return true
}

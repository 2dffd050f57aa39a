package gateway

// Prepared statements on a connection. Callers that share it may use the same name for
// different statements, so each statement gets a name of the connection's own.

import (
	"container/list"
	"strconv"
	"time"

	"burdockseam/core/call"
)

const (
	// maxStatements and maxStatementBytes bound the statements that stay prepared on a
	// connection.
	maxStatements     = 256
	maxStatementBytes = 1 << 20
	// namePrefix begins the names of prepared statements.
	namePrefix = "p"
)

// statementKey identifies a prepared statement.
type statementKey struct {
	shape  string
	writes bool
}

// connStatement is a statement that is prepared on a connection.
type connStatement struct {
	statementKey
	name string
}

// connStatements are the statements that are prepared on a connection.
type connStatements struct {
	all      map[statementKey]*list.Element
	order    list.List // most recently used first
	bytes    int
	lastName uint64
}

// find returns the name of a statement and marks it as used, or returns "".
func (s *connStatements) find(k statementKey) string {
	e := s.all[k]
	if e == nil {
		return ""
	}
	s.order.MoveToFront(e)
	return element(e).name
}

// newName returns a name that the connection has never had.
func (s *connStatements) newName() string {
	s.lastName++
	return namePrefix + strconv.FormatUint(s.lastName, 10)
}

func (s *connStatements) add(k statementKey, name string) {
	if s.all == nil {
		s.all = make(map[statementKey]*list.Element)
	}
	s.all[k] = s.order.PushFront(connStatement{k, name})
	s.bytes += len(k.shape)
}

// oldest returns the statement to remove before one more of this size is prepared, if the
// limits require it.
func (s *connStatements) oldest(size int) (connStatement, bool) {
	if len(s.all) == 0 || len(s.all) < maxStatements && s.bytes+size <= maxStatementBytes {
		return connStatement{}, false
	}
	return element(s.order.Back()), true
}

func (s *connStatements) remove(k statementKey) {
	if e := s.all[k]; e != nil {
		s.order.Remove(e)
		delete(s.all, k)
		s.bytes -= len(k.shape)
	}
}

// clear forgets all statements. Names are not used again.
func (s *connStatements) clear() {
	s.all, s.bytes = nil, 0
	s.order.Init()
}

func element(e *list.Element) connStatement {
	s, _ := e.Value.(connStatement)
	return s
}

// keyOf returns the key of the statement that an Execute runs.
func keyOf(s call.Statement) statementKey { return statementKey{s.Shape, s.Writes} }

// prepareStatement prepares a statement unless it is prepared. If the upstream refuses a
// step, its answer is returned.
func (p *pooledConn) prepareStatement(deadline time.Time, k statementKey) (call.Answer, error) {
	if p.statements.find(k) != "" {
		return call.Answer{}, nil
	}
	for {
		old, ok := p.statements.oldest(len(k.shape))
		if !ok {
			break
		}
		a, err := p.Deallocate(deadline, old.name)
		if err == nil && a.Code != call.OK && a.Code != call.Unknown {
			err = Error.New("the upstream keeps prepared statement %s: %s %s", old.name, a.Code, a.Text)
		}
		if err != nil {
			return a, err
		}
		p.statements.remove(old.statementKey)
	}
	name := p.statements.newName()
	a, err := p.orUnsendable(p.Prepare(deadline, name, k.shape, k.writes))
	if err == nil && a.Code == call.OK {
		p.statements.add(k, name)
	}
	return a, err
}

package gateway

// Prepared statements on a connection. Callers that share it may use the same name for
// different statements, so each statement gets a name of the connection's own.

import (
	"container/list"
	"strconv"
	"time"

	"burdockseam/core/call"
)

// namePrefix begins the names of prepared statements.
const namePrefix = "p"

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
}

// clear forgets all statements. Names are not used again.
func (s *connStatements) clear() {
	s.all = nil
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
	name := p.statements.newName()
	a, err := p.Prepare(deadline, name, k.shape, k.writes)
	if err == nil && a.Code == call.OK {
		p.statements.add(k, name)
	}
	return a, err
}

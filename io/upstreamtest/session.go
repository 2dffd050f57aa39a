package upstreamtest

import (
	"errors"
	"slices"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// textOID is the type OID of every result column and parameter: text.
	textOID = 25
	// flushBytes is the size of the rows after which a large result is flushed.
	flushBytes = 32 << 10
)

// portal is a bound prepared statement of the extended query protocol.
type portal struct {
	st   *statement
	args []cell
	res  *result // nil until the statement has run
	sent int     // number of rows sent so far
}

// serveMessages handles the messages after the login until the connection ends.
func (c *conn) serveMessages() {
	skip := false // set by an error in the extended query protocol until the next Sync
	for {
		msg, err := c.backend.Receive()
		if err != nil || c.waitUnblocked() != nil {
			return
		}
		switch m := msg.(type) {
		case *pgproto3.Terminate:
			return
		case *pgproto3.Query:
			if skip {
				continue
			}
			if c.runQuery(m.String) != nil {
				return
			}
		case *pgproto3.Sync:
			skip = false
			if c.readyForQuery() != nil {
				return
			}
		case *pgproto3.Flush:
			if c.backend.Flush() != nil {
				return
			}
		default:
			if skip {
				continue
			}
			if err := c.handleExtended(msg); err != nil {
				if !c.sendError(err) {
					return
				}
				skip = true
			}
		}
	}
}

// sendError sends a statement's error to the client. It returns false if err is not an
// error for the client and the connection has to end.
func (c *conn) sendError(err error) bool {
	var e *sqlError
	if !errors.As(err, &e) {
		return false
	}
	if c.tx != nil {
		c.failed = true
		c.u.mu.Lock()
		c.u.finishTransaction(c.tx)
		c.u.mu.Unlock()
	}
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: e.code, Message: e.message})
	return true
}

// readyForQuery sends ReadyForQuery with the transaction status and flushes.
func (c *conn) readyForQuery() error {
	status := byte('I')
	switch {
	case c.tx != nil && c.failed:
		status = 'E'
	case c.tx != nil:
		status = 'T'
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return c.backend.Flush()
}

// runQuery handles a Query message. Several statements outside a transaction block form
// one implicit transaction, which ends with the last of them.
func (c *conn) runQuery(sql string) error {
	c.u.stats.recordTexts(c.u.group.options.RecordLimit, sql)
	err := c.runStatements(sql)
	if c.implicit != nil {
		c.u.mu.Lock()
		c.u.finishTransaction(c.implicit)
		c.u.mu.Unlock()
		c.implicit = nil
	}
	if err != nil && !c.sendError(err) {
		return err
	}
	return c.readyForQuery()
}

// runStatements parses and executes the statements of a Query message.
func (c *conn) runStatements(sql string) error {
	sources, err := splitStatements(sql)
	if err != nil {
		return err
	}
	if len(sources) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	// All statements are parsed first: a syntax error in one prevents all from running.
	sts := make([]*statement, len(sources))
	for i, s := range sources {
		if sts[i], err = parseStatement(s); err != nil {
			return err
		}
	}
	for i, st := range sts {
		last := i == len(sts)-1
		if c.tx == nil && c.implicit == nil && !last && st.verb != vBegin {
			c.u.mu.Lock()
			c.implicit = c.u.beginTransaction()
			c.u.mu.Unlock()
		}
		r, err := c.execute(st, nil, last)
		if err != nil {
			return err
		}
		if r.cols != nil {
			c.sendRowDescription(r.cols)
		}
		if err := c.sendRows(&r, 0, 0); err != nil {
			return err
		}
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	}
	return nil
}

// sendRowDescription sends the names and types of the result columns.
func (c *conn) sendRowDescription(cols []string) {
	d := &pgproto3.RowDescription{}
	for _, name := range cols {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
		})
	}
	c.backend.Send(d)
}

// sendRows sends the result's rows starting at index from, at most n of them if n > 0.
func (c *conn) sendRows(r *result, from, n int) error {
	end := len(r.rows)
	if r.series > 0 {
		end = r.series
	}
	if n > 0 {
		end = min(end, from+n)
	}
	size := 0
	var values [][]byte
	for i := from; i < end; i++ {
		values = values[:0]
		if r.series > 0 {
			values = append(values, strconv.AppendInt(nil, int64(i+1), 10))
		} else {
			for _, v := range r.rows[i] {
				if v.null {
					values = append(values, nil)
				} else {
					values = append(values, []byte(v.text))
				}
			}
		}
		for _, v := range values {
			size += len(v) + 4
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
		if size >= flushBytes {
			size = 0
			if err := c.backend.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

// handleExtended handles a message of the extended query protocol other than Sync and
// Flush.
func (c *conn) handleExtended(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return c.handleParse(m)
	case *pgproto3.Bind:
		st, ok := c.stmts[m.PreparedStatement]
		if !ok {
			return newSQLError("26000", "prepared statement %q does not exist", m.PreparedStatement)
		}
		if len(m.Parameters) != st.params {
			return newSQLError("08P01", "bind supplies %d parameters, the statement needs %d", len(m.Parameters), st.params)
		}
		p := &portal{st: st}
		for _, v := range m.Parameters {
			p.args = append(p.args, cell{string(v), v == nil})
			c.u.stats.recordTexts(c.u.group.options.RecordLimit, string(v))
		}
		c.portals[m.DestinationPortal] = p
		c.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		return c.handleDescribe(m)
	case *pgproto3.Execute:
		return c.handleExecute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.stmts, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
	default:
		return newSQLError("08P01", "unexpected message %T", msg)
	}
	return nil
}

// handleParse handles a Parse message.
func (c *conn) handleParse(m *pgproto3.Parse) error {
	c.u.stats.recordTexts(c.u.group.options.RecordLimit, m.Query)
	if _, ok := c.stmts[m.Name]; ok && m.Name != "" {
		return newSQLError("42P05", "prepared statement %q already exists", m.Name)
	}
	sources, err := splitStatements(m.Query)
	if err != nil {
		return err
	}
	st := &statement{}
	switch len(sources) {
	case 0:
	case 1:
		if st, err = parseStatement(sources[0]); err != nil {
			return err
		}
	default:
		return newSQLError("42601", "cannot insert multiple commands into a prepared statement")
	}
	c.stmts[m.Name] = st
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// handleDescribe handles a Describe message of a statement or portal.
func (c *conn) handleDescribe(m *pgproto3.Describe) error {
	var st *statement
	if m.ObjectType == 'S' {
		if st = c.stmts[m.Name]; st == nil {
			return newSQLError("26000", "prepared statement %q does not exist", m.Name)
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: slices.Repeat([]uint32{textOID}, st.params)})
	} else {
		p := c.portals[m.Name]
		if p == nil {
			return newSQLError("34000", "portal %q does not exist", m.Name)
		}
		st = p.st
	}
	c.u.mu.Lock()
	cols, err := c.u.columns(st)
	c.u.mu.Unlock()
	switch {
	case err != nil:
		return err
	case cols == nil:
		c.backend.Send(&pgproto3.NoData{})
	default:
		c.sendRowDescription(cols)
	}
	return nil
}

// handleExecute handles an Execute message. The statement runs at the first one; later
// ones send further rows.
func (c *conn) handleExecute(m *pgproto3.Execute) error {
	p := c.portals[m.Portal]
	switch {
	case p == nil:
		return newSQLError("34000", "portal %q does not exist", m.Portal)
	case p.st.verb == vEmpty:
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	case p.res == nil:
		r, err := c.execute(p.st, p.args, true)
		if err != nil {
			return err
		}
		p.res = &r
	}
	if err := c.sendRows(p.res, p.sent, int(m.MaxRows)); err != nil {
		return err
	}
	total := max(len(p.res.rows), p.res.series)
	if m.MaxRows > 0 && p.sent+int(m.MaxRows) < total {
		p.sent += int(m.MaxRows)
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	p.sent = total
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.res.tag)})
	return nil
}

package upstreamtest

import (
	"slices"
	"strconv"
	"strings"
)

// parseStatement parses one statement.
func parseStatement(src source) (*statement, error) {
	p := &parser{toks: src.tokens}
	st := &statement{text: src.text, limit: -1}
	if err := p.statement(st); err != nil {
		return nil, err
	}
	if p.pos < len(p.toks) {
		return nil, p.syntaxError()
	}
	st.params = p.params
	return st, nil
}

// statement parses the statement selected by its first keyword. Options of BEGIN,
// COMMIT, ROLLBACK, DISCARD and RESET are ignored.
func (p *parser) statement(st *statement) error {
	t := p.next()
	switch t.text {
	case "begin", "start":
		st.verb = vBegin
		p.pos = len(p.toks)
	case "commit", "end":
		st.verb = vCommit
		p.pos = len(p.toks)
	case "rollback", "abort":
		if p.accept("to") {
			return newSQLError("0A000", "savepoints are not supported")
		}
		st.verb = vRollback
		p.pos = len(p.toks)
	case "discard", "reset":
		st.verb = vDiscard
		p.pos = len(p.toks)
	case "set":
		return p.setStatement(st)
	case "show":
		st.verb = vShow
		var err error
		st.name, err = p.ident()
		return err
	case "create":
		return p.create(st)
	case "insert":
		return p.insert(st)
	case "update":
		return p.update(st)
	case "delete":
		st.verb = vDelete
		if err := p.expect("from"); err != nil {
			return err
		}
		var err error
		if st.table, err = p.ident(); err != nil {
			return err
		}
		return p.where(st)
	case "select":
		return p.query(st)
	default:
		p.pos--
		return p.syntaxError()
	}
	return nil
}

// setStatement parses SET name { = | TO } value; the value is the rest of the tokens.
func (p *parser) setStatement(st *statement) error {
	st.verb = vSet
	if !p.accept("session") {
		p.accept("local")
	}
	var err error
	if st.name, err = p.ident(); err != nil {
		return err
	}
	if !p.accept("=") {
		if err := p.expect("to"); err != nil {
			return err
		}
	}
	var vals []string
	for p.pos < len(p.toks) {
		vals = append(vals, p.next().text)
	}
	st.args = []expr{{value: cell{text: strings.Join(vals, "")}}}
	return nil
}

// create parses CREATE TABLE with its columns and unique keys.
func (p *parser) create(st *statement) error {
	st.verb = vCreate
	if err := p.expect("table"); err != nil {
		return err
	}
	st.ifNotExists = p.accept("if", "not", "exists")
	var err error
	if st.table, err = p.ident(); err != nil {
		return err
	}
	if err := p.expect("("); err != nil {
		return err
	}
	err = p.list(func() error {
		if p.accept("primary", "key", "(") || p.accept("unique", "(") {
			names, err := p.names()
			if err != nil {
				return err
			}
			var key []int
			for _, n := range names {
				i := slices.Index(st.cols, n)
				if i < 0 {
					return newSQLError("42703", "column %q does not exist", n)
				}
				key = append(key, i)
			}
			st.unique = append(st.unique, key)
			return p.expect(")")
		}
		name, err := p.ident()
		if err != nil {
			return err
		}
		st.cols = append(st.cols, name)
		// The type and constraints other than unique keys are skipped.
		for t := p.peek(); t.text != "," && t.text != ")" && t.text != ""; t = p.peek() {
			if p.accept("primary", "key") || p.accept("unique") {
				st.unique = append(st.unique, []int{len(st.cols) - 1})
				continue
			}
			p.pos++
		}
		return nil
	})
	if err != nil {
		return err
	}
	return p.expect(")")
}

func (p *parser) insert(st *statement) error {
	st.verb = vInsert
	if err := p.expect("into"); err != nil {
		return err
	}
	var err error
	if st.table, err = p.ident(); err != nil {
		return err
	}
	if p.accept("(") {
		if st.cols, err = p.names(); err != nil {
			return err
		}
		if err := p.expect(")"); err != nil {
			return err
		}
	}
	if err := p.expect("values"); err != nil {
		return err
	}
	err = p.list(func() error {
		if err := p.expect("("); err != nil {
			return err
		}
		values, err := p.exprs()
		if err != nil {
			return err
		}
		st.rows = append(st.rows, values)
		return p.expect(")")
	})
	if err != nil {
		return err
	}
	st.onConflictDoNothing = p.accept("on", "conflict", "do", "nothing")
	return nil
}

func (p *parser) update(st *statement) error {
	st.verb = vUpdate
	var err error
	if st.table, err = p.ident(); err != nil {
		return err
	}
	if err := p.expect("set"); err != nil {
		return err
	}
	err = p.list(func() error {
		col, err := p.ident()
		if err != nil {
			return err
		}
		if err := p.expect("="); err != nil {
			return err
		}
		e, err := p.expr()
		st.set = append(st.set, assignment{col, e})
		return err
	})
	if err != nil {
		return err
	}
	return p.where(st)
}

// where parses an optional WHERE clause of comparisons joined by AND.
func (p *parser) where(st *statement) error {
	if !p.accept("where") {
		return nil
	}
	for {
		col, err := p.ident()
		if err != nil {
			return err
		}
		op := p.next()
		switch op.text {
		case "=", "<", ">", "<=", ">=", "<>", "!=":
		default:
			p.pos--
			return p.syntaxError()
		}
		e, err := p.expr()
		if err != nil {
			return err
		}
		st.where = append(st.where, condition{col, op.text, e})
		if !p.accept("and") {
			return nil
		}
	}
}

// query parses a SELECT: from a table, of constants, or a function call.
func (p *parser) query(st *statement) error {
	st.verb = vSelect
	var err error
	switch {
	case p.accept("*"):
		if p.accept("from") {
			if t := p.peek(); t.kind == tokenWord && strings.HasPrefix(t.text, "group_") {
				st.verb = vControl
				st.name = p.next().text
				return p.callArgs(st)
			}
			p.pos--
		}
	case p.accept("pg_sleep"):
		st.verb = vSleep
		return p.callArgs(st)
	case p.accept("generate_series"):
		st.verb = vSeries
		return p.callArgs(st)
	case p.accept("count", "(", "*", ")"):
		st.count = true
		p.skipAlias()
	default:
		if st.args, err = p.exprs(); err != nil {
			return err
		}
		if p.pos == len(p.toks) {
			st.verb = vConst
			return nil
		}
		for _, e := range st.args {
			if e.col == "" {
				return newSQLError("0A000", "only columns can be selected from a table")
			}
			st.cols = append(st.cols, e.col)
		}
	}
	if err := p.expect("from"); err != nil {
		return err
	}
	if st.table, err = p.ident(); err != nil {
		return err
	}
	if err := p.where(st); err != nil {
		return err
	}
	if p.accept("order", "by") {
		if st.name, err = p.ident(); err != nil {
			return err
		}
		if !p.accept("asc") {
			st.descending = p.accept("desc")
		}
	}
	if p.accept("limit") {
		if st.limit, err = strconv.Atoi(p.next().text); err != nil {
			p.pos--
			return p.syntaxError()
		}
	}
	st.forUpdate = p.accept("for", "update")
	return nil
}

// skipAlias skips an optional AS name.
func (p *parser) skipAlias() {
	if p.accept("as") {
		p.pos++
	}
}

// callArgs parses the argument list of a function call and an optional alias.
func (p *parser) callArgs(st *statement) error {
	if err := p.expect("("); err != nil {
		return err
	}
	var err error
	if !p.accept(")") {
		if st.args, err = p.exprs(); err != nil {
			return err
		}
		err = p.expect(")")
	}
	p.skipAlias()
	return err
}

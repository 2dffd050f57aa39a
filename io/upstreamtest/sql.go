package upstreamtest

// The SQL dialect is deliberately small: a token list per statement, a hand-written parser
// without operator precedence, and errors with the SQLSTATEs of PostgreSQL.

import (
	"fmt"
	"strconv"
	"strings"
)

// tokenKind is the lexical class of a token.
type tokenKind string

const (
	tokenWord   tokenKind = "word"   // a keyword or unquoted identifier, in lower case
	tokenQuoted tokenKind = "quoted" // a double-quoted identifier
	tokenText   tokenKind = "text"   // a string literal
	tokenNumber tokenKind = "number"
	tokenParam  tokenKind = "param" // a parameter number, without the $
	tokenPunct  tokenKind = "punct" // an operator or punctuation mark
)

type token struct {
	kind tokenKind
	text string
}

// sqlError is an error that is sent to the client as an ErrorResponse; code is the
// SQLSTATE.
type sqlError struct{ code, message string }

func (e *sqlError) Error() string { return e.code + ": " + e.message }

// newSQLError returns an error with the given SQLSTATE and formatted message.
func newSQLError(code, format string, args ...any) *sqlError {
	return &sqlError{code, fmt.Sprintf(format, args...)}
}

// source is the text and the tokens of one statement.
type source struct {
	text   string
	tokens []token
}

// splitStatements splits a text at its semicolons into statements and tokenizes them.
// Empty statements are left out.
func splitStatements(sql string) ([]source, error) {
	var out []source
	var cur []token
	start := 0
	end := func(at int) {
		if len(cur) > 0 {
			out = append(out, source{strings.TrimSpace(sql[start:at]), cur})
		}
		cur, start = nil, at+1
	}
	for i := 0; i < len(sql); {
		c := sql[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		case strings.HasPrefix(sql[i:], "--"):
			for i < len(sql) && sql[i] != '\n' {
				i++
			}
		case strings.HasPrefix(sql[i:], "/*"):
			n := strings.Index(sql[i:], "*/")
			if n < 0 {
				return nil, newSQLError("42601", "unterminated comment")
			}
			i += n + 2
		case c == ';':
			end(i)
			i++
		case c == '\'' || c == '"':
			s, n, err := unquote(sql[i:], c)
			if err != nil {
				return nil, err
			}
			kind := tokenText
			if c == '"' {
				kind = tokenQuoted
			}
			cur = append(cur, token{kind, s})
			i += n
		case c == '$' || isDigit(c):
			j := i + 1
			for j < len(sql) && (isDigit(sql[j]) || c != '$' && sql[j] == '.') {
				j++
			}
			if c == '$' {
				cur = append(cur, token{tokenParam, sql[i+1 : j]})
			} else {
				cur = append(cur, token{tokenNumber, sql[i:j]})
			}
			i = j
		case isLetter(c):
			j := i
			for j < len(sql) && (isLetter(sql[j]) || isDigit(sql[j]) || sql[j] == '.') {
				j++
			}
			cur = append(cur, token{tokenWord, strings.ToLower(sql[i:j])})
			i = j
		default:
			n := 1
			for _, p := range []string{"::", "<=", ">=", "<>", "!="} {
				if strings.HasPrefix(sql[i:], p) {
					n = 2
				}
			}
			cur = append(cur, token{tokenPunct, sql[i : i+n]})
			i += n
		}
	}
	end(len(sql))
	return out, nil
}

func isDigit(c byte) bool  { return c >= '0' && c <= '9' }
func isLetter(c byte) bool { return c == '_' || c|0x20 >= 'a' && c|0x20 <= 'z' || c >= 0x80 }

// unquote reads a quoted string at the start of s, in which a doubled q stands for one.
// It returns the unquoted text and the length of the quoted string.
func unquote(s string, q byte) (string, int, error) {
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		if s[i] != q {
			b.WriteByte(s[i])
			continue
		}
		if i+1 < len(s) && s[i+1] == q {
			b.WriteByte(q)
			i++
			continue
		}
		return b.String(), i + 1, nil
	}
	return "", 0, newSQLError("42601", "unterminated quoted string")
}

// cell is a value in a row. All values are text; numbers are converted where needed.
type cell struct {
	text string
	null bool
}

// expr is a constant, a parameter or a column, optionally followed by + or - and
// another expression.
type expr struct {
	col   string
	param int  // number of the parameter, from 1; 0 if none
	value cell // the constant
	op    string
	right *expr
}

// condition compares a column with an expression.
type condition struct {
	col, op string
	right   expr
}

// assignment is a SET item of an UPDATE.
type assignment struct {
	col   string
	value expr
}

// verb is the kind of a statement. Where SQL has a command tag or a function name for
// it, that is the value.
type verb string

const (
	vEmpty    verb = ""
	vCreate   verb = "CREATE TABLE"
	vInsert   verb = "INSERT"
	vSelect   verb = "SELECT"
	vUpdate   verb = "UPDATE"
	vDelete   verb = "DELETE"
	vBegin    verb = "BEGIN"
	vCommit   verb = "COMMIT"
	vRollback verb = "ROLLBACK"
	vSet      verb = "SET"
	vShow     verb = "SHOW"
	vConst    verb = "constants" // SELECT of expressions without a table
	vSleep    verb = "pg_sleep"
	vSeries   verb = "generate_series"
	vControl  verb = "control" // SELECT * FROM a control function
	vDiscard  verb = "DISCARD ALL"
)

// statement is a parsed statement. The verb determines which fields are used.
type statement struct {
	text                string
	verb                verb
	table               string
	cols                []string
	unique              [][]int      // column indexes of each unique key of CREATE TABLE
	rows                [][]expr     // rows of INSERT
	set                 []assignment // assignments of UPDATE
	where               []condition
	args                []expr // arguments of a call, or the value of SET
	name                string // setting, ORDER BY column or control function
	descending          bool   // ORDER BY is descending
	count               bool   // SELECT count(*)
	forUpdate           bool
	ifNotExists         bool
	onConflictDoNothing bool
	limit               int // -1 if there is no LIMIT
	params              int // highest parameter number
}

// parser is a recursive-descent parser over the tokens of one statement.
type parser struct {
	toks   []token
	pos    int // index of the next token
	params int // highest parameter number so far
}

// peek returns the next token without consuming it, or a zero token at the end.
func (p *parser) peek() token {
	if p.pos < len(p.toks) {
		return p.toks[p.pos]
	}
	return token{}
}

// next consumes and returns the next token.
func (p *parser) next() token {
	t := p.peek()
	p.pos++
	return t
}

// accept consumes the given keywords and punctuation marks if they come next.
func (p *parser) accept(seq ...string) bool {
	if p.pos+len(seq) > len(p.toks) {
		return false
	}
	for j, s := range seq {
		t := p.toks[p.pos+j]
		if t.text != s || t.kind != tokenWord && t.kind != tokenPunct {
			return false
		}
	}
	p.pos += len(seq)
	return true
}

// syntaxError returns an error at the next token.
func (p *parser) syntaxError() error {
	t := p.peek()
	if t.text == "" {
		return newSQLError("42601", "syntax error at end of input")
	}
	return newSQLError("42601", "syntax error at or near %q", t.text)
}

// expect consumes a keyword or punctuation mark or returns a syntax error.
func (p *parser) expect(s string) error {
	if !p.accept(s) {
		return p.syntaxError()
	}
	return nil
}

// ident consumes an identifier.
func (p *parser) ident() (string, error) {
	if t := p.peek(); t.kind == tokenWord || t.kind == tokenQuoted {
		p.pos++
		return t.text, nil
	}
	return "", p.syntaxError()
}

// expr parses an expression. A type cast is skipped; a call without arguments evaluates
// to the name of the function.
func (p *parser) expr() (expr, error) {
	var e expr
	t := p.next()
	switch t.kind {
	case tokenText, tokenNumber:
		e.value.text = t.text
	case tokenParam:
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 {
			return e, newSQLError("42P02", "there is no parameter $%s", t.text)
		}
		e.param = n
		p.params = max(p.params, n)
	case tokenQuoted:
		e.col = t.text
	case tokenWord:
		switch {
		case t.text == "null":
			e.value.null = true
		case t.text == "true" || t.text == "false":
			e.value.text = t.text[:1]
		case p.accept("(", ")"):
			e.value.text = t.text
		default:
			e.col = t.text
		}
	case tokenPunct:
		if t.text != "-" || p.peek().kind != tokenNumber {
			p.pos--
			return e, p.syntaxError()
		}
		e.value.text = "-" + p.next().text
	default:
		return e, p.syntaxError()
	}
	if p.accept("::") {
		if _, err := p.ident(); err != nil {
			return e, err
		}
	}
	if t := p.peek(); t.kind == tokenPunct && (t.text == "+" || t.text == "-") {
		p.pos++
		r, err := p.expr()
		if err != nil {
			return e, err
		}
		e.op, e.right = t.text, &r
	}
	return e, nil
}

// list parses items separated by commas.
func (p *parser) list(item func() error) error {
	for {
		if err := item(); err != nil {
			return err
		}
		if !p.accept(",") {
			return nil
		}
	}
}

// exprs parses a comma-separated list of expressions.
func (p *parser) exprs() (out []expr, err error) {
	err = p.list(func() error {
		e, err := p.expr()
		out = append(out, e)
		return err
	})
	return out, err
}

// names parses a comma-separated list of identifiers.
func (p *parser) names() (out []string, err error) {
	err = p.list(func() error {
		n, err := p.ident()
		out = append(out, n)
		return err
	})
	return out, err
}

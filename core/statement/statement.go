// Package statement classifies SQL text for routing.
//
// Only text that is certainly a plain read may go to a replica; everything else counts
// as a write. The classifier looks at the first words, and at words that make a
// statement write, lock or call code. It does not parse the whole text.
//
// Callers share upstream connections, so the package also finds statements whose effect
// would outlast the transaction on a connection.
package statement

// Kind says how a statement is routed.
type Kind string

// The kinds of statements.
const (
	Read     Kind = "read"
	Write    Kind = "write"
	Begin    Kind = "begin"
	Commit   Kind = "commit"
	Rollback Kind = "rollback"
	Set      Kind = "set"
	Copy     Kind = "copy"
	Empty    Kind = "empty"
)

// Effect says what a statement does to the state of the connection that it runs on.
type Effect string

// The effects of statements, from the weakest to the strongest.
const (
	// Clean leaves no state on the connection after the transaction.
	Clean Effect = "clean"
	// Dirty may leave state on the connection, which must then not be reused.
	Dirty Effect = "dirty"
	// SessionSetting changes only state that the proxy keeps for the session; see
	// ParseSettings.
	SessionSetting Effect = "own"
	// Refused is the effect of statements that must not run on a shared connection.
	Refused Effect = "refused"
)

// Summary is what the proxy needs to know about an SQL text.
type Summary struct {
	Kind Kind
	// Count is the number of statements, without empty ones.
	Count int
	// ReadOnly says that the text is a statement that begins a READ ONLY transaction.
	ReadOnly bool
	// Effect is the strongest effect of the statements. A text that mixes SessionSetting
	// statements with others is Refused.
	Effect Effect
	// Reason says why the text is refused.
	Reason string
}

// Classify returns the kind of an SQL text outside a transaction. A text with several
// statements is a write unless all of them are reads, or all are settings that the proxy
// keeps.
func Classify(sql string) Kind { return Inspect(sql, false).Kind }

// Inspect summarizes an SQL text. The parameter inTransaction says that the session has
// an open transaction.
func Inspect(sql string, inTransaction bool) Summary {
	l := lexer{sql: sql}
	s := Summary{Kind: Empty, Effect: Clean}
	for more := true; more; {
		var stmt statement
		more = stmt.read(&l)
		if stmt.first.n == 0 && !stmt.ambiguous {
			continue
		}
		s.add(stmt.summarize(inTransaction))
	}
	return s
}

// add merges the summary of the next statement into s.
func (s *Summary) add(o Summary) {
	s.Count++
	switch {
	case s.Count == 1:
		*s = o
		s.Count = 1
		return
	case s.Kind != o.Kind || o.Kind != Read:
		s.Kind = Write
		if o.Kind == Set && s.Effect == SessionSetting {
			s.Kind = Set
		}
	}
	s.ReadOnly = false
	switch {
	case s.Effect == Refused:
	case o.Effect == Refused:
		s.Effect, s.Reason = Refused, o.Reason
	case s.Effect != o.Effect && (s.Effect == SessionSetting || o.Effect == SessionSetting):
		s.Effect, s.Reason = Refused, "session settings must be sent apart from other statements"
	case o.Effect == Dirty:
		s.Effect = Dirty
	}
}

// statement holds what one pass over the tokens of a statement finds.
type statement struct {
	first, second, third         lowerWord
	ambiguous                    bool // a token that the upstream may read in another way
	writes                       bool // a word of classWrite
	callsUnknown                 bool // a call of a function outside classCallable
	refusedCall, transactionCall bool // a word of classRefused, of classNeedsTransaction
	temporary, withHold          bool // a temporary object, a cursor WITH HOLD
	readOnly, readWrite          bool // the words READ ONLY, READ WRITE
}

// read reads the tokens up to the end of one statement. It returns false at the end of
// the text.
func (s *statement) read(l *lexer) bool {
	var word, previous lowerWord
	var class class
	var previousKind tokenKind // kind of the previous token
	var qualified, known bool  // the next word follows a dot; the last word is not qualified except by pg_catalog
	words := 0
	for {
		t := l.next()
		switch t.kind {
		case tokenEnd, tokenSemicolon:
			return t.kind == tokenSemicolon
		case tokenAmbiguous:
			s.ambiguous = true
		case tokenWord, tokenQuoted:
			previous = word
			word = toLowerWord(t.text)
			known = !qualified || previous.is("pg_catalog")
			class = word.lookupClass()
			s.checkWord(class, &word, &previous, t.kind)
			if t.kind == tokenWord {
				words++
				s.keepKeyword(&word, words)
			} else if words == 0 {
				s.ambiguous = true
			}
		case tokenPunct:
			if t.text == "(" && (previousKind == tokenWord || previousKind == tokenQuoted) {
				s.callsUnknown = s.callsUnknown || !known || previousKind == tokenQuoted || class&classCallable == 0
			}
		case tokenString, tokenNumber:
		}
		qualified = t.kind == tokenPunct && t.text == "."
		previousKind = t.kind
	}
}

// keepKeyword stores the first three words of a statement; w is the nth word.
func (s *statement) keepKeyword(w *lowerWord, n int) {
	switch n {
	case 1:
		s.first = *w
		if w.n == 0 {
			s.ambiguous = true // too long for a keyword
		}
	case 2:
		s.second = *w
	case 3:
		s.third = *w
	}
}

// checkWord records words that matter at any place in the statement.
func (s *statement) checkWord(c class, w, previous *lowerWord, kind tokenKind) {
	s.refusedCall = s.refusedCall || c&classRefused != 0
	s.transactionCall = s.transactionCall || c&classNeedsTransaction != 0
	if kind == tokenQuoted {
		return
	}
	s.writes = s.writes || c&classWrite != 0
	if c&classWithPrevious == 0 {
		return
	}
	switch {
	case w.is("temp", "temporary"):
		s.temporary = s.temporary || previous.is("create", "local", "global", "replace", "into")
	case w.is("hold"):
		s.withHold = s.withHold || previous.is("with")
	case w.is("only"):
		s.readOnly = s.readOnly || previous.is("read")
	case w.is("write"):
		s.readWrite = s.readWrite || previous.is("read")
	}
}

// isPlainRead reports whether a statement that begins like a read is certainly one.
func (s *statement) isPlainRead() bool { return !s.writes && !s.callsUnknown && !s.ambiguous }

// summarize decides the kind and the effect of the statement.
func (s *statement) summarize(inTransaction bool) Summary {
	out := Summary{Kind: Write, Effect: Clean}
	refuse := func(reason string) Summary {
		out.Effect, out.Reason = Refused, reason
		return out
	}
	switch {
	case s.refusedCall:
		return refuse("the function would affect other users of the shared connection")
	case s.transactionCall && !inTransaction:
		return refuse("currval and lastval need a transaction, since the next statement may run on another connection")
	case s.ambiguous:
		out.Effect = Dirty
		return out
	}
	switch {
	case s.first.is("select", "table", "values", "with", "show", "explain"):
		if s.temporary {
			return refuse("temporary tables are not available on shared connections")
		}
		if s.isPlainRead() {
			out.Kind = Read
		}
	case s.first.is("begin"), s.first.is("start") && s.second.is("transaction"):
		out.Kind = Begin
		out.ReadOnly = s.readOnly && !s.readWrite
	case s.first.is("commit", "end") && !s.second.is("prepared"):
		out.Kind = Commit
	case s.first.is("rollback", "abort") && !s.second.is("prepared", "to") && !s.third.is("to"):
		out.Kind = Rollback
	case s.first.is("copy"):
		out.Kind = Copy
		return refuse("COPY is not supported")
	case s.first.is("set"):
		out.Kind = Set
		return s.summarizeSet(out, inTransaction)
	case s.first.is("reset", "discard", "deallocate", "unlisten"):
		out.Kind, out.Effect = Set, SessionSetting
	case s.first.is("listen"):
		return refuse("LISTEN needs a connection of its own")
	case s.first.is("prepare") && !s.second.is("transaction"), s.first.is("execute"):
		return refuse("SQL-level PREPARE and EXECUTE are not available; use the protocol's prepared statements")
	case s.first.is("load"):
		return refuse("LOAD would affect other users of the shared connection")
	case s.first.is("create") && s.temporary:
		return refuse("temporary tables are not available on shared connections")
	case s.first.is("declare") && s.withHold:
		return refuse("cursors WITH HOLD are not available on shared connections")
	case s.first.is("do", "call"):
		out.Effect = Dirty
	}
	return out
}

// summarizeSet decides the effect of a SET statement.
func (s *statement) summarizeSet(out Summary, inTransaction bool) Summary {
	switch {
	case s.second.is("local", "transaction", "constraints"):
		if !inTransaction {
			out.Effect, out.Reason = Refused, "this form of SET needs a transaction"
		} else if s.third.is("standard_conforming_strings", "client_encoding", "names") {
			out.Effect, out.Reason = Refused, "the setting would change how text is read"
		}
	case s.second.is("session") && s.third.is("characteristics", "authorization"), s.second.is("role"):
		out.Effect, out.Reason = Refused, "the setting would affect other users of the shared connection"
	default:
		out.Effect = SessionSetting
	}
	return out
}

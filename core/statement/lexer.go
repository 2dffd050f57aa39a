package statement

// The lexer splits SQL text into tokens by PostgreSQL's rules with
// standard_conforming_strings on. Tokens are substrings of the text, so that the lexer
// does not allocate.

import "strings"

type tokenKind byte

const (
	tokenEnd       tokenKind = iota
	tokenWord                // a keyword or a plain identifier
	tokenQuoted              // an identifier in double quotes, without the quotes
	tokenString              // a string constant in any of its forms
	tokenNumber              // a number or a parameter such as $1
	tokenPunct               // any other single character
	tokenSemicolon           // the separator of statements
	tokenAmbiguous           // text that another lexer may split in another way
)

type token struct {
	kind tokenKind
	text string
}

type lexer struct {
	sql string
	pos int
}

// next returns the next token. At the end of the text it returns tokenEnd, also when
// called again.
func (l *lexer) next() token {
	if !l.skipSpace() {
		l.pos = len(l.sql)
		return token{kind: tokenAmbiguous}
	}
	if l.pos >= len(l.sql) {
		return token{kind: tokenEnd}
	}
	start := l.pos
	c := l.sql[start]
	switch {
	case c == ';':
		l.pos++
		return token{tokenSemicolon, ";"}
	case c == '\'':
		return l.quotedToken('\'', false, tokenString)
	case c == '"':
		return l.quotedToken('"', false, tokenQuoted)
	case c == '$':
		return l.dollarToken()
	case isDigit(c):
		return l.numberToken()
	case isWordStart(c):
		for l.pos < len(l.sql) && isWordByte(l.sql[l.pos]) {
			l.pos++
		}
		return l.prefixedQuote(token{tokenWord, l.sql[start:l.pos]})
	case c < ' ' || c == 0x7f:
		l.pos++
		return token{kind: tokenAmbiguous}
	default:
		l.pos++
		return token{tokenPunct, l.sql[start:l.pos]}
	}
}

// skipSpace skips white space and comments. It returns false if a comment is not closed.
func (l *lexer) skipSpace() bool {
	for l.pos < len(l.sql) {
		rest := l.sql[l.pos:]
		switch {
		case isSpace(rest[0]):
			l.pos++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexAny(rest, "\r\n")
			if end < 0 {
				end = len(rest)
			}
			l.pos += end
		case strings.HasPrefix(rest, "/*"):
			n := commentLength(rest)
			if n < 0 {
				return false
			}
			l.pos += n
		default:
			return true
		}
	}
	return true
}

// commentLength returns the length of the block comment at the start of s, or -1 if it
// is not closed. Block comments nest.
func commentLength(s string) int {
	depth := 0
	for i := 0; i+1 < len(s); {
		switch s[i : i+2] {
		case "/*":
			depth++
			i += 2
		case "*/":
			depth--
			i += 2
			if depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return -1
}

// prefixedQuote returns the token for the word t, which next has just read. If t is a
// prefix of the quote right after it, as in E'…', B'…', X'…', N'…' and U&'…', it reads
// the quoted text as well.
func (l *lexer) prefixedQuote(t token) token {
	if l.pos >= len(l.sql) || len(t.text) != 1 {
		return t
	}
	switch t.text[0] | 0x20 {
	case 'e':
		if l.sql[l.pos] == '\'' {
			return l.quotedToken('\'', true, tokenString)
		}
	case 'b', 'x', 'n':
		if l.sql[l.pos] == '\'' {
			return l.quotedToken('\'', false, tokenString)
		}
	case 'u':
		if rest := l.sql[l.pos:]; strings.HasPrefix(rest, `&'`) || strings.HasPrefix(rest, `&"`) {
			// Unicode escapes may hide a name, and a UESCAPE clause may follow.
			l.pos++
			l.quotedToken(rest[1], false, tokenAmbiguous)
			return token{kind: tokenAmbiguous}
		}
	}
	return t
}

// quotedToken reads text in quotes, in which a doubled quote stands for one quote. The
// flag escapes says that a backslash escapes the next character.
func (l *lexer) quotedToken(quote byte, escapes bool, kind tokenKind) token {
	start := l.pos + 1
	for i := start; i < len(l.sql); i++ {
		switch {
		case l.sql[i] == '\\' && escapes:
			i++
		case l.sql[i] == '\\' && kind == tokenString && i+1 < len(l.sql) && l.sql[i+1] == quote:
			// With standard_conforming_strings off the string would not end here.
			kind = tokenAmbiguous
		case l.sql[i] != quote:
		case i+1 < len(l.sql) && l.sql[i+1] == quote:
			i++
		default:
			l.pos = i + 1
			return token{kind, l.sql[start:i]}
		}
	}
	l.pos = len(l.sql)
	return token{kind: tokenAmbiguous}
}

// numberToken reads a decimal number. A number directly followed by a letter is
// ambiguous, since some versions of PostgreSQL begin a new word there.
func (l *lexer) numberToken() token {
	start := l.pos
	for l.pos < len(l.sql) && (isDigit(l.sql[l.pos]) || l.sql[l.pos] == '.') {
		l.pos++
	}
	if rest := l.sql[l.pos:]; len(rest) > 1 && rest[0]|0x20 == 'e' && isDigit(rest[1]) {
		l.pos++
		for l.pos < len(l.sql) && isDigit(l.sql[l.pos]) {
			l.pos++
		}
	}
	if l.pos < len(l.sql) && isWordByte(l.sql[l.pos]) {
		return token{kind: tokenAmbiguous}
	}
	return token{tokenNumber, l.sql[start:l.pos]}
}

// dollarToken reads a parameter such as $1 or a dollar-quoted string.
func (l *lexer) dollarToken() token {
	rest := l.sql[l.pos:]
	n := 1
	for n < len(rest) && isWordByte(rest[n]) && rest[n] != '$' {
		n++
	}
	if n > 1 && isDigit(rest[1]) {
		l.pos += n
		for _, c := range []byte(rest[1:n]) {
			if !isDigit(c) {
				return token{kind: tokenAmbiguous}
			}
		}
		return token{tokenNumber, rest[:n]}
	}
	if n >= len(rest) || rest[n] != '$' {
		l.pos++
		return token{kind: tokenAmbiguous}
	}
	tag := rest[:n+1]
	end := strings.Index(rest[len(tag):], tag)
	if end < 0 {
		l.pos = len(l.sql)
		return token{kind: tokenAmbiguous}
	}
	l.pos += len(tag) + end + len(tag)
	return token{tokenString, rest[len(tag) : len(tag)+end]}
}

func isSpace(c byte) bool { return c == ' ' || c >= '\t' && c <= '\r' }
func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isWordStart reports whether a word may begin with c. All bytes outside ASCII count as
// letters.
func isWordStart(c byte) bool {
	return c == '_' || c|0x20 >= 'a' && c|0x20 <= 'z' || c >= 0x80
}

// isWordByte reports whether c may stand in a word after its first byte.
func isWordByte(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }

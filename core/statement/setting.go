package statement

// Settings are statements that the proxy answers itself, without an upstream.

import "strings"

// Setting is a statement with the effect SessionSetting.
type Setting struct {
	// Tag is the command tag of the answer.
	Tag string
	// Name is the name of the setting, of the prepared statement or of the channel, in
	// lower case unless it is quoted; "all" stands for all of them.
	Name string
	// Value is the new value of a SET, without quotes.
	Value string
}

// ParseSettings returns the statements of a text, all of which must have the effect
// SessionSetting. It returns false if a statement is malformed or has another effect.
func ParseSettings(sql string) ([]Setting, bool) {
	l := lexer{sql: sql}
	var out []Setting
	for {
		s, end, ok := parseSetting(&l)
		if !ok {
			return nil, false
		}
		if s.Tag != "" {
			out = append(out, s)
		}
		if end {
			return out, true
		}
	}
}

// parseSetting parses the next statement. It returns a Setting without a tag for an
// empty statement. The result end says that the text has ended, and ok is false if the
// statement is malformed.
func parseSetting(l *lexer) (s Setting, end, ok bool) {
	var tokens []token
	for {
		t := l.next()
		if t.kind == tokenAmbiguous {
			return s, false, false
		}
		if t.kind == tokenEnd || t.kind == tokenSemicolon {
			end = t.kind == tokenEnd
			break
		}
		tokens = append(tokens, t)
	}
	if len(tokens) == 0 {
		return s, end, true
	}
	verb := strings.ToUpper(tokens[0].text)
	args := tokens[1:]
	switch verb {
	case "SET":
		return parseSet(args, end)
	case "DEALLOCATE":
		args = skipWord(args, "prepare")
	case "RESET", "DISCARD", "UNLISTEN":
	default:
		return s, end, false
	}
	if len(args) == 0 {
		return s, end, false
	}
	s = Setting{Tag: verb, Name: joinName(args)}
	if s.Name == "*" {
		s.Name = "all"
	}
	if verb == "DISCARD" || verb == "DEALLOCATE" && s.Name == "all" {
		s.Tag += " " + strings.ToUpper(s.Name)
	}
	return s, end, true
}

// parseSet parses the part of a SET statement after the verb: a name, TO or =, and the
// values.
func parseSet(args []token, end bool) (Setting, bool, bool) {
	args = skipWord(args, "session")
	s := Setting{Tag: "SET"}
	switch {
	case len(args) >= 3 && strings.EqualFold(args[0].text, "time") && strings.EqualFold(args[1].text, "zone"):
		s.Name, args = "timezone", args[2:]
	case len(args) >= 2 && args[0].kind == tokenWord && strings.EqualFold(args[0].text, "names"):
		s.Name, args = "client_encoding", args[1:]
	default:
		at := 0
		for at < len(args) && args[at].text != "=" && !(args[at].kind == tokenWord && strings.EqualFold(args[at].text, "to")) {
			at++
		}
		if at == 0 || at+1 >= len(args) {
			return s, end, false
		}
		s.Name, args = joinName(args[:at]), args[at+1:]
	}
	var value strings.Builder
	for i, t := range args {
		if i > 0 && t.text != "," && args[i-1].text != "-" {
			value.WriteByte(' ')
		}
		if t.kind == tokenString {
			value.WriteString(strings.ReplaceAll(t.text, "''", "'"))
		} else {
			value.WriteString(t.text)
		}
	}
	s.Value = value.String()
	return s, end, true
}

// skipWord returns args without the first token if that is the given word.
func skipWord(args []token, word string) []token {
	if len(args) > 0 && args[0].kind == tokenWord && strings.EqualFold(args[0].text, word) {
		return args[1:]
	}
	return args
}

// joinName joins the tokens of a name. Words are folded to lower case unless they are
// quoted.
func joinName(args []token) string {
	var b strings.Builder
	for _, t := range args {
		if t.kind == tokenQuoted {
			b.WriteString(t.text)
		} else {
			b.WriteString(strings.ToLower(t.text))
		}
	}
	return b.String()
}

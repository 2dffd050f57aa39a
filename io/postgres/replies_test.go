package postgres

import (
	"errors"
	"testing"
)

// A reply that is matched to the wrong request reaches the wrong caller. In asked, each
// letter is the type of a message, and d is a Describe of a statement. In got, each letter
// is the type of a reply. unexpected and end are the expected result of the last reply: it
// matches no request, or it completes the last outstanding reply.
func TestMatchReplies(t *testing.T) {
	for _, c := range []struct {
		asked, got      string
		unexpected, end bool
	}{
		{"PBDES", "12TDDCZ", false, true},
		{"PBDES", "12nCZ", false, true},
		{"PBDES", "12TDs", false, false},
		{"PdS", "1tTZ", false, true},
		{"PdS", "1tnZ", false, true},
		{"PdS", "1T", true, false},
		{"PdS", "1tt", true, false},
		{"PBES", "EZ", false, true},
		{"PBESPBES", "1EZ12CZ", false, true},
		{"PBESPBES", "1EZZ", true, false},
		{"PBE", "1E", false, true},
		{"PBES", "EE", true, false},
		{"PBES", "1Z", true, false},
		{"PBES", "12CC", true, false},
		{"PBES", "12CEZ", false, true},
		{"PBES", "12CEE", true, false},
		{"PBES", "12CZZ", true, false},
		{"PBS", "121", true, false},
		{"CS", "3Z", false, true},
		{"CS", "2", true, false},
		{"ES", "IZ", false, true},
		{"ES", "T", true, false},
		{"S", "C", true, false},
		{"S", "1", true, false},
		{"Q", "TDCZ", false, true},
		{"Q", "CTCIZ", false, true},
		{"Q", "CEZ", false, true},
		{"Q", "EZ", false, true},
		{"Q", "EC", true, false},
		{"Q", "D", true, false},
		{"Q", "TDCD", true, false},
		{"Q", "TT", true, false},
		{"Q", "TDZ", true, false},
		{"Q", "Z", true, false},
		{"Q", "1", true, false},
		{"Q", "G", true, false},
		{"", "Z", true, false},
		{"", "E", true, false},
	} {
		var q replyQueue
		for _, kind := range []byte(c.asked) {
			r := reply{request: kind, objectKind: objectPortal}
			if kind == 'd' {
				r = reply{request: typeDescribe, objectKind: objectStatement}
			}
			q.expect(r)
		}
		var err error
		for i := range len(c.got) {
			if err != nil {
				t.Errorf("%s: %s: unexpected at %d", c.asked, c.got, i)
			}
			_, _, err = q.match(c.got[i])
		}
		if errors.Is(err, ErrUnexpectedReply) != c.unexpected || !c.unexpected && q.empty() != c.end {
			t.Errorf("%s: %s: unexpected %v, end %v", c.asked, c.got, err, q.empty())
		}
	}
}

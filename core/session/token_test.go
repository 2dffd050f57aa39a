package session

import (
	"strings"
	"testing"

	"github.com/zeebo/errs"
	"pgregory.net/rapid"

	"burdockseam/core/testseed"
	"burdockseam/core/wal"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var secret = []byte("0123456789abcdef0123456789abcdef")

// tokens generates tokens with up to four groups.
func tokens() *rapid.Generator[Token] {
	return rapid.Custom(func(t *rapid.T) Token {
		var out Token
		for range rapid.IntRange(0, 6).Draw(t, "entries") {
			out = out.With(rapid.SampledFrom([]string{"a", "b", "c", "dd"}).Draw(t, "group"), wal.Position{
				Term:   rapid.Uint64Range(0, 3).Draw(t, "term"),
				Offset: rapid.Uint64().Draw(t, "offset"),
			})
		}
		return out
	})
}

// TestMergeAndRoundTrip guards against a merge that drops a group or moves a position
// back, and against a token that changes when it is encoded and decoded.
func TestMergeAndRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := tokens().Draw(t, "a"), tokens().Draw(t, "b")
		before := a.Entries()
		m := a.Merge(b)
		for _, src := range []Token{a, b} {
			for _, e := range src.Entries() {
				if p, ok := m.Position(e.Group); !ok || p.Compare(e.Position) < 0 {
					t.Fatalf("merged token has %v for %s, want at least %v", p, e.Group, e.Position)
				}
			}
		}
		for i, e := range a.Entries() {
			if e != before[i] {
				t.Fatal("Merge changed its receiver")
			}
		}
		text, err := m.Encode("team", secret)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode("team", secret, text)
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := back.Encode("team", secret); again != text || back.Len() != m.Len() {
			t.Fatalf("round trip gives %v, want %v", back, m)
		}
	})
}

// TestDecodeRefuses guards against a token that is accepted for another team, with
// another secret or with a changed byte, and against input of unbounded size.
func TestDecodeRefuses(t *testing.T) {
	text, err := Token{}.With("salas", wal.Position{Term: 2, Offset: 77}).Encode("a", secret)
	if err != nil {
		t.Fatal(err)
	}
	signed := func(body ...byte) string {
		return encoding.EncodeToString(append(body, mac("a", secret, body)...))
	}
	for _, tc := range []struct {
		name, team, text string
		class            *errs.Class
	}{
		{"other team", "b", text, &Forged},
		{"zero MAC", "a", encoding.EncodeToString(append([]byte{version, 0}, make([]byte, macBytes)...)), &Forged},
		{"not base64", "a", "!" + text, &Malformed},
		{"only a version", "a", "AQ", &Malformed},
		{"other version", "a", signed(9, 0, 0), &Malformed},
		{"long", "a", strings.Repeat("A", MaxText+1), &TooLarge},
		{"too many groups", "a", signed(version, MaxGroups+1), &TooLarge},
		{"name beyond the end", "a", signed(version, 1, 60, 'x'), &Malformed},
		{"unsorted", "a", signed(version, 2, 1, 'b', 1, 1, 1, 'a', 1, 1), &Malformed},
		{"long number", "a", signed(version, 1, 1, 'b', 0x81, 0, 1), &Malformed},
		{"trailing bytes", "a", signed(version, 0, 0), &Malformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got, err := Decode(tc.team, secret, tc.text); !tc.class.Has(err) || got.Len() != 0 {
				t.Errorf("Decode = %v, %v, want class %v", got, err, *tc.class)
			}
		})
	}
	if _, err := Decode("a", secret[1:], text); !Forged.Has(err) {
		t.Errorf("other secret: %v, want forged", err)
	}
	for i := range text {
		changed := text[:i] + string(text[i]^1) + text[i+1:]
		if _, err := Decode("a", secret, changed); err == nil {
			t.Errorf("text with byte %d changed was accepted", i)
		}
	}
	var big Token
	for i := range MaxGroups + 1 {
		big = big.With(strings.Repeat("g", i+1), wal.Position{Term: 1, Offset: 1})
	}
	if _, err := big.Encode("a", secret); !TooLarge.Has(err) {
		t.Errorf("Encode of %d groups: %v, want too large", big.Len(), err)
	}
}

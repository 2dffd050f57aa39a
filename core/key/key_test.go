package key

import (
	"bytes"
	"strings"
	"testing"
)

// TestMatches guards against a key that is accepted with a wrong secret, and against a
// hash that contains the secret.
func TestMatches(t *testing.T) {
	random := bytes.NewReader(bytes.Repeat([]byte("0123456789abcdef"), 8))
	a, err := Issue(random)
	if err != nil {
		t.Fatal(err)
	}
	b, err := Issue(random)
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name, text, hash string
		want             bool
	}{
		{"own", a.Text, a.Hash, true},
		{"other", b.Text, a.Hash, false},
		{"no secret", a.ID + ".", a.Hash, false},
		{"empty", "", a.Hash, false},
		{"empty hash", a.Text, "", false},
		{"bad salt", a.Text, "zz:" + a.Hash, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := Matches(tc.text, tc.hash); got != tc.want {
				t.Errorf("Matches = %v, want %v", got, tc.want)
			}
		})
	}
	if _, secret, _ := strings.Cut(a.Text, "."); strings.Contains(a.Hash, secret) {
		t.Error("the hash contains the secret")
	}
	if !ValidHash(a.Hash) || ValidHash(a.Text) {
		t.Error("ValidHash must accept a hash and reject a key")
	}
}

package session

import (
	"testing"

	"burdockseam/core/wal"
)

// TestRecordedToken guards against a build that no longer accepts the tokens of an
// earlier build, or that encodes them differently.
func TestRecordedToken(t *testing.T) {
	const recorded = "AQIBYqwCgICAgIAgBXNhbGFzAk1hSwinX7baQxtiN5e8Itat"
	want := Token{}.With("salas", wal.Position{Term: 2, Offset: 77}).With("b", wal.Position{Term: 300, Offset: 1 << 40})
	key := []byte("recorded secret of sixteen bytes")
	text, err := want.Encode("tailors", key)
	if err != nil || text != recorded {
		t.Errorf("encodes to %q, %v, want %q", text, err, recorded)
	}
	got, err := Decode("tailors", key, recorded)
	if err != nil || got.Merge(want).Len() != 2 || got.entries[0] != want.entries[0] || got.entries[1] != want.entries[1] {
		t.Errorf("decodes to %v, %v, want %v", got, err, want)
	}
}

package failover

import (
	"testing"

	"burdockseam/core/golden"
	"burdockseam/core/wal"
)

// TestStoredGroup guards against a renamed field of the stored group object.
func TestStoredGroup(t *testing.T) {
	golden.JSON(
		t, "testdata/stored-objects.golden",
		golden.Value{Name: "empty", Value: Group{}},
		golden.Value{Name: "claimed", Value: Group{
			Term: 3, Primary: "u1", History: wal.History{{Term: 1, Offset: 0}, {Term: 3, Offset: 41}},
			Claim: Claim{Term: 4, Op: "n1-5/1", By: "10.0.0.1:7000"},
		}},
	)
}

package cluster

import (
	"testing"

	"burdockseam/core/golden"
)

// TestStoredStatus guards against a renamed field of the stored status of a failure
// domain, which other builds would read as missing.
func TestStoredStatus(t *testing.T) {
	golden.JSON(
		t, "testdata/stored-objects.golden",
		golden.Value{Name: "status", Value: Status{Tally: Tally{Live: 3, Ready: 2, Lowest: 6}, Writer: "10.0.0.1:7000"}},
	)
}

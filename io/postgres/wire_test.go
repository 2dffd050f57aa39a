package postgres

import (
	"testing"
	"time"

	"burdockseam/core/golden"
	"burdockseam/core/statement"
)

// TestLinkHeader detects a renamed field in the header that instances send on a link.
func TestLinkHeader(t *testing.T) {
	golden.JSON(t, "testdata/link.golden", golden.Value{Name: "header", Value: Header{
		ID: "n1-5/9", Upstream: "u1", Term: 4, Team: "tailors", Kind: statement.Write, SQL: "insert", Wait: time.Second,
		Idempotency: "k1", Uses: []UsedStatement{{Name: "s1", Parse: []byte("P")}}, Rescue: true,
	}})
}

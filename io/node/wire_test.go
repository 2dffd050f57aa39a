package node

import (
	"testing"

	"burdockseam/core/golden"
	"burdockseam/core/usage"
)

// TestPeerMessages guards against a renamed method, field or embedded type of a peer
// message, which an instance of another build would ignore without an error.
func TestPeerMessages(t *testing.T) {
	golden.Compare(t, "testdata/peer-messages.golden", golden.Service("Node", &service{}))
}

// TestStoredObjects guards against a renamed field of a stored object.
func TestStoredObjects(t *testing.T) {
	golden.JSON(
		t, "testdata/stored-objects.golden",
		golden.Value{Name: "member", Value: member{ID: "n1-5", Address: "10.0.0.1:7000", Domain: "a", Leaving: true, Delegates: true}},
		golden.Value{Name: "token", Value: token{Token: 12, Holder: "n1-5", Address: "10.0.0.1:7000", Nonce: 3}},
		golden.Value{Name: "usage", Value: usage.Record{
			Token: 12, Holder: "n1", Run: "n1.5", Machine: "10.0.0.1:7000", Beat: 3, Next: 9,
			Open:  []usage.Report{{Window: 8, Counts: usage.Counts{"red": 2}, From: 4, Lacking: 1}},
			Parts: map[string]map[uint64]usage.Counts{"n1.5": {9: {"red": 1}}},
		}},
		golden.Value{Name: "orderedtoken", Value: token{Token: 12, Holder: "n1-5", Address: "10.0.0.1:7000", Nonce: 3, Target: "u1", Ordered: 11}},
	)
}

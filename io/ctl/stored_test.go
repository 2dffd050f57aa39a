package ctl

import (
	"testing"

	"burdockseam/core/golden"
	"burdockseam/io/instance"
)

// Guards against a renamed field of the file in a configuration folder or of what
// scripts read from burdockctl.
func TestJSON(t *testing.T) {
	golden.JSON(
		t, "testdata/json.golden",
		golden.Value{Name: "state", Value: state{Revision: 7}},
		golden.Value{Name: "outcome", Value: Outcome{Revision: 7, Changed: true}},
		golden.Value{Name: "issued", Value: Issued{Outcome: Outcome{Revision: 7, Changed: true}, ID: "k1", Team: "tailors", Text: "k1.x"}},
		golden.Value{Name: "fleet", Value: Fleet{Head: 7, Store: "no answer", Instances: []Report{{
			MemberContact: instance.MemberContact{Member: instance.Member{Address: "10.0.0.1:7000", Domain: "a", State: "live"}, Name: "n1"},
		}}}},
	)
}

package ctl

import (
	"testing"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/golden"
	"burdockseam/core/usage"
	"burdockseam/core/where"
	"burdockseam/io/instance"
)

// Guards against renaming a field of the state file in a configuration folder, or of the
// JSON output of burdockctl, which scripts read.
func TestJSON(t *testing.T) {
	golden.JSON(
		t, "testdata/json.golden",
		golden.Value{Name: "state", Value: folderState{Revision: 7}},
		golden.Value{Name: "outcome", Value: Outcome{Revision: 7, Changed: true}},
		golden.Value{Name: "issued", Value: IssuedKey{Outcome: Outcome{Revision: 7, Changed: true}, ID: "k1", Team: "tailors", Text: "k1.x"}},
		golden.Value{Name: "fleet", Value: FleetStatus{Head: 7, Store: "no answer", Instances: []InstanceReport{{
			MemberContact: instance.MemberContact{Member: instance.Member{Address: "10.0.0.1:7000", Domain: "a", State: "live"}, Name: "n1"},
		}}}},
		golden.Value{Name: "usage", Value: UsageReport{
			Windows: []usage.Summary{{
				Window: 8, End: time.Unix(45, 0).UTC(), Requests: 2, Teams: 1, From: 4, Lacking: 1, Holder: "n1", Token: 12, Outcome: usage.Accepted, After: 1.5,
			}},
			Errors: map[string]string{"10.0.0.1:7002": "no answer"},
		}},
		golden.Value{Name: "where", Value: testAnswer()},
		golden.Value{Name: "nowhere", Value: where.Answer{Instance: "n1", Version: 7, Code: call.NoDatabase, Why: "no such route"}},
	)
}

package instance

import (
	"testing"
	"time"

	"burdockseam/core/cluster"
	"burdockseam/core/golden"
)

// Guards against a renamed method, field or embedded type of a peer message, which instances
// of another build would ignore without an error.
func TestPeerMessages(t *testing.T) {
	golden.Compare(t, "testdata/peer-messages.golden", golden.Service("Node", &service{}))
}

// Guards against a renamed field of a stored object or of the JSON that operators read.
func TestJSON(t *testing.T) {
	member := Member{Address: "10.0.0.1:7000", Domain: "a", State: "live"}
	golden.JSON(
		t, "testdata/json.golden",
		golden.Value{Name: "listed", Value: []ListedInstance{
			{Address: "10.0.0.1:7000", Domain: "a"}, {Address: "10.0.0.2:7000", Domain: "b", Leaving: true},
		}},
		golden.Value{Name: "reach", Value: MemberContact{Member: member, Name: "n1", Operator: "10.0.0.1:7001", Error: "no answer"}},
		golden.Value{Name: "status", Value: Status{
			Name: "n1", Domain: "a", Listen: "10.0.0.1:5432", Peer: "10.0.0.1:7000", Revision: 7, Ready: true,
			Reason: "draining", Fresh: Freshness{Serve: true, Reason: "fresh", Age: "1s", Missing: []string{"b"}},
			Callers: 3, Teams: map[string]int{"tailors": 2}, Shards: []string{"q1"}, Owners: map[string]string{"q1": "10.0.0.1:7000"},
			Groups:  map[string]GroupStatus{"g": {Term: 4, Primary: "u1", Coordinator: true}},
			Members: []Member{member},
			Domains: []cluster.DomainStatus{{
				DomainAge: cluster.DomainAge{Domain: "a", Age: time.Second},
				Tally:     cluster.Tally{Live: 3, Ready: 2, Lowest: 6},
			}},
		}},
	)
}

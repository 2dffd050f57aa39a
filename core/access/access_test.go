package access

import (
	"testing"

	"burdockseam/core/call"
	"burdockseam/core/config"
)

// TestAuthorize guards against a caller that is served without a valid key, and against
// a request that runs in a region that its route or its team does not allow.
func TestAuthorize(t *testing.T) {
	p := Policy{
		Routes: map[string]Route{
			"closed": {Database: "closed", Group: "g"},
			"open":   {Database: "open", Group: "g", Open: true},
			"home":   {Database: "home", Group: "g", Regions: []string{"north"}},
		},
		Teams: map[string]Team{"red": {Team: config.Team{Name: "red"}, Regions: []string{"north", "south"}}},
	}.WithKeys(map[string][]string{"red": {"k1", "k2"}})
	for _, test := range []struct {
		database, key string
		code          call.Code
		team          string
	}{
		{"closed", "k1", call.OK, "red"},
		{"closed", "k2", call.OK, "red"},
		{"closed", "k3", call.Denied, ""},
		{"closed", "", call.Denied, ""},
		{"open", "", call.OK, ""},
		{"open", "k1", call.OK, "red"},
		{"none", "k1", call.NoDatabase, ""},
	} {
		g, code := p.Authorize(test.database, NewCredential(test.key))
		if code != test.code || g.Team.Name != test.team {
			t.Errorf("%s with key %q: code %q, team %q", test.database, test.key, code, g.Team.Name)
		}
	}
	g, _ := p.Authorize("home", NewCredential("k1"))
	if !g.AllowsRegion("north") || g.AllowsRegion("south") || g.AllowsRegion("east") {
		t.Error("the grant does not allow exactly the regions that both the route and the team allow")
	}
}

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

// TestReauthorize guards against a transaction that goes on for a team which has lost the caller's key
// meanwhile.
func TestReauthorize(t *testing.T) {
	teams := map[string]Team{"red": {Team: config.Team{Name: "red"}}, "blue": {Team: config.Team{Name: "blue"}}}
	closed, open := Route{Database: "db"}, Route{Database: "db", Open: true}
	for _, test := range []struct {
		name   string
		began  Route
		key    string // of red when the transaction began
		now    []Route
		keys   map[string][]string
		expect call.Code
	}{
		{"nothing changed", closed, "k", []Route{closed}, map[string][]string{"red": {"k"}}, call.OK},
		{"key moved", closed, "k", []Route{closed}, map[string][]string{"blue": {"k"}}, call.Aborted},
		{"key withdrawn", closed, "k", []Route{closed}, nil, call.Denied},
		{"route removed", closed, "k", nil, map[string][]string{"red": {"k"}}, call.OK},
		{"route removed and key moved", closed, "k", nil, map[string][]string{"blue": {"k"}}, call.Aborted},
		{"route removed and key withdrawn", closed, "k", nil, nil, call.Denied},
		{"open route, key moved", open, "k", []Route{open}, map[string][]string{"blue": {"k"}}, call.Aborted},
		{"open route, key withdrawn", open, "k", []Route{open}, nil, call.Aborted},
		{"route opened, key withdrawn", closed, "k", []Route{open}, nil, call.Aborted},
		{"open route without a key", open, "", []Route{open}, nil, call.OK},
		{"open route closed without a key", open, "", []Route{closed}, nil, call.Denied},
		{"open route removed without a key", open, "", nil, nil, call.OK},
	} {
		t.Run(test.name, func(t *testing.T) {
			routes := func(list ...Route) map[string]Route {
				all := make(map[string]Route)
				for _, r := range list {
					all[r.Database] = r
				}
				return all
			}
			before := Policy{Routes: routes(test.began), Teams: teams}.WithKeys(map[string][]string{"red": {"k"}})
			g, code := before.Authorize("db", NewCredential(test.key))
			if code != call.OK {
				t.Fatalf("code %q before the change", code)
			}
			after := Policy{Routes: routes(test.now...), Teams: teams}.WithKeys(test.keys)
			if got := after.Reauthorize(g, "db", NewCredential(test.key)); got != test.expect {
				t.Errorf("code %q, want %q", got, test.expect)
			}
		})
	}
}

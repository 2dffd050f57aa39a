// Package access decides what a caller may do under one version of the configuration:
// which route a database name selects, which team a key belongs to, and in which regions
// the team's requests may run.
package access

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"burdockseam/core/call"
	"burdockseam/core/config"
)

// Error is the class of this package's errors.
var Error = errs.Class("access")

// Consistency says which commits the reads of a route must see.
type Consistency string

// The levels of consistency.
const (
	Primary Consistency = "primary" // all acknowledged commits
	Bounded Consistency = "bounded" // commits older than the route's staleness bound
	Session Consistency = "session" // the same, and all commits of the same session
)

// Route is the target of a database name and the rules for its requests.
type Route struct {
	Name, Database, Group string
	Consistency           Consistency
	// Timeout limits the time of one statement.
	Timeout time.Duration
	// TargetLatency is the intended latency of a whole operation.
	TargetLatency time.Duration
	// Staleness bounds the age of the data that reads see on routes with another
	// consistency than Primary.
	Staleness time.Duration
	Priority  int
	// Open says that the route accepts callers without a key.
	Open bool
	// Regions lists the regions in which requests may run; empty means all.
	Regions []string
}

// Team is a tenant: its configuration and the regions that it may use.
type Team struct {
	config.Team
	// Regions lists the regions in which requests may run; empty means all.
	Regions []string
}

// Group is a database service: a primary and its replicas.
type Group struct {
	Name string
	// Connections is the number of connections that each upstream of the group accepts.
	Connections int
}

// Policy holds the access rules of one version of the configuration. It is not changed
// after it was built.
type Policy struct {
	Version uint64
	Routes  map[string]Route // by database name
	Teams   map[string]Team
	Groups  map[string]Group
	// TransactionIdle is the time after which a transaction without new statements may
	// be ended.
	TransactionIdle time.Duration

	keys map[[sha256.Size]byte]string // team by hash of the key
}

// WithKeys returns a copy of the policy that accepts the given keys, listed by team.
func (p Policy) WithKeys(teams map[string][]string) Policy {
	p.keys = make(map[[sha256.Size]byte]string)
	for team, keys := range teams {
		for _, k := range keys {
			p.keys[sha256.Sum256([]byte(k))] = team
		}
	}
	return p
}

// Credential is the hash of a caller's key. The key itself is not kept.
type Credential [sha256.Size]byte

// NewCredential returns the credential of a key.
func NewCredential(key string) Credential { return sha256.Sum256([]byte(key)) }

// Grant is the permission of a team to run an operation on a route.
type Grant struct {
	Route Route
	Team  Team
}

// AllowsRegion reports whether both the route and the team of the grant allow the
// region.
func (g Grant) AllowsRegion(region string) bool {
	return containsRegion(g.Route.Regions, region) && containsRegion(g.Team.Regions, region)
}

// containsRegion reports whether the list allows the region; an empty list allows all.
func containsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Authorize returns the grant for an operation on a database, or the code that the
// operation is refused with: NoDatabase or Denied. On an open route, a caller without a
// valid key acts as the zero Team, which has no name and no limit.
func (p Policy) Authorize(database string, c Credential) (Grant, call.Code) {
	r, ok := p.Routes[database]
	if !ok {
		return Grant{}, call.NoDatabase
	}
	team, ok := p.keys[c]
	if !ok && !r.Open {
		return Grant{}, call.Denied
	}
	return Grant{Route: r, Team: p.Teams[team]}, call.OK
}

// Reauthorize returns the code that a statement of an open transaction is refused with, given what was
// granted when the transaction began, or OK. The transaction runs under the name of that team, so it
// ends once the team has lost the caller's key: with Aborted if the caller may begin again, and with
// Denied if not. A change of the route alone applies from the next transaction onward.
func (p Policy) Reauthorize(g Grant, database string, c Credential) call.Code {
	team, known := p.keys[c]
	route, routed := p.Routes[database]
	switch {
	case g.Team.Name == "": // the caller needed no key on an open route
		if routed && !route.Open && !known {
			return call.Denied
		}
		return call.OK
	case known && team == g.Team.Name:
		return call.OK
	case known || route.Open:
		return call.Aborted
	}
	return call.Denied
}

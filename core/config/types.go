// Package config holds the configuration that operators maintain: its types, the
// parsing, merging and validation of a folder of INI files, and the protocol that
// stores accepted revisions.
package config

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("config")

// State is the value of the setting "state" in a section.
type State string

// The states of sections. A section with StateRemoved, which an earlier file defines,
// is not part of the configuration. The sections of teams, routes and groups are
// otherwise always in StateActive.
const (
	StateWithdrawn State = "withdrawn" // an issued key that is refused
	StateRemoved   State = "removed"   // a section of any kind that was removed
	StateActive    State = "active"    // an upstream that accepts work, or a key that is accepted
	StateLeaving   State = "leaving"   // an upstream that receives no new work
	StateIn        State = "in"        // a failure domain that accepts work
	StateOut       State = "out"       // a failure domain that receives no new work
)

// Team is a tenant. Rate and Burst apply to the whole fleet, Connections to each
// instance.
type Team struct {
	Name string
	// Rate is the admitted number of requests per second.
	Rate float64
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64
	// Weight is the team's share of contended upstream slots relative to other teams.
	Weight int
	// Connections is the maximum number of the team's connections at one instance.
	Connections int
}

// Key is an issued API key, of which only the hash is stored. A withdrawn key stays
// in the configuration, so that a refusal can state the reason, and so that the last
// key of a team can be withdrawn although every team must have a key.
type Key struct {
	ID    string
	Team  string
	Hash  string
	State State
}

// Route is the database name that callers connect to. It selects a group and
// defines which teams may use the group and how stale their reads may be.
type Route struct {
	Name  string
	Group string
	Teams []string
	// Staleness is the maximum age of data that a session may read from a replica if
	// the session has no newer writes of its own. If it is 0, only the session's token
	// limits which replicas are recent enough.
	Staleness time.Duration
	// Open is true if callers need no key.
	Open bool
}

// Group is one replicated database: a primary and its replicas.
type Group struct {
	Name string
	// Credentials is the name of the login for the group's upstreams. The login itself
	// is in the settings of each instance.
	Credentials string
}

// Upstream is one database server of a group.
type Upstream struct {
	Name    string
	Group   string
	Address string
	Domain  string
	// Slots is the maximum number of statements that execute at the same time.
	Slots int
	// Connections is the maximum number of connections that the upstream accepts.
	Connections int
	State       State
}

// Domain is a failure domain: instances and upstreams that can fail together.
type Domain struct {
	Name   string
	Region string
	State  State
}

// Config is one revision of the configuration. It is immutable once built.
type Config struct {
	Revision  uint64
	Teams     map[string]Team
	Keys      map[string]Key
	Routes    map[string]Route
	Groups    map[string]Group
	Upstreams map[string]Upstream
	Domains   map[string]Domain

	origins map[settingKey]Origin
}

// Origin is the file and line that define a merged value. The zero Origin stands
// for a default.
type Origin struct {
	File string `json:"file"`
	Line int    `json:"line"`
}

// settingKey identifies one value of the merged configuration.
type settingKey struct{ section, key string }

// Package config holds the operators' configuration: its types, and how a folder
// of INI files is merged and checked.
package config

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("config")

// State is the value of the key "state" of a section.
type State string

// The states of sections. A removed section is not part of the configuration.
const (
	StateWithdrawn State = "withdrawn" // a key that is refused from now on
	StateRemoved   State = "removed"   // a section that an earlier file defines
	StateActive    State = "active"    // an upstream that takes work, or a key in force
	StateLeaving   State = "leaving"   // an upstream that gets no new work
	StateIn        State = "in"        // a failure domain that takes work
	StateOut       State = "out"       // a failure domain that gets no new work
)

// Team is a tenant with its limits over all instances together.
type Team struct {
	Name string
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
	// Weight is the team's share of scarce upstream slots relative to other teams.
	Weight int
	// Connections bounds the team's caller connections at one instance.
	Connections int
}

// Key is an issued key; only its hash is kept. A withdrawn key stays listed, so
// that a refusal can name the reason and a team may lose its last key at once.
type Key struct {
	ID    string
	Team  string
	Hash  string
	State State
}

// Route names a group for callers and says who may use it and how.
type Route struct {
	Name  string
	Group string
	Teams []string
	// Staleness bounds the age of reads from replicas that a session without
	// newer writes may see; 0 means that the session's token alone decides.
	Staleness time.Duration
	// Open routes need no key.
	Open bool
}

// Group is one database service.
type Group struct {
	Name string
	// Credentials names the login, kept in the instance's settings, that the
	// proxy uses towards the group's upstreams.
	Credentials string
}

// Upstream is one database back end of a group.
type Upstream struct {
	Name    string
	Group   string
	Address string
	Domain  string
	// Slots is the number of statements that may execute at the same time.
	Slots int
	// Connections is the number of connections that the upstream accepts.
	Connections int
	State       State
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
	State  State
}

// Config is one accepted configuration. It is not changed after it was built.
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

// Origin is the place in the folder that a merged value comes from.
type Origin struct {
	File string `json:"file"`
	Line int    `json:"line"`
}

// settingKey names one value of the merged configuration.
type settingKey struct{ section, key string }

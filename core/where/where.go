// Package where defines the answer of an instance to an operator's question where a request would
// go now. All times are in seconds.
package where

import (
	"net/url"

	"burdockseam/core/call"
)

// Path is the path of the question on the operators' port.
const Path = "/where"

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	Read        Kind = "read"
	Write       Kind = "write"
	Transaction Kind = "transaction" // one that may write
)

// Kinds lists all kinds.
var Kinds = []Kind{Read, Write, Transaction}

// Query is the question. Database is the database name that selects the route.
type Query struct {
	Team, Database string
	Kind           Kind
}

// Values returns the query for a URL.
func (q Query) Values() url.Values {
	return url.Values{"team": {q.Team}, "database": {q.Database}, "kind": {string(q.Kind)}}
}

// FromValues is the inverse of Values.
func FromValues(v url.Values) Query {
	return Query{Team: v.Get("team"), Database: v.Get("database"), Kind: Kind(v.Get("kind"))}
}

// Answer says where a request would go.
type Answer struct {
	// Instance is the instance that answers, and Version the configuration that it has in force.
	Instance string `json:"instance"`
	Version  uint64 `json:"version"`
	// Code says that the request is refused before it is limited or routed, and Why why.
	Code  call.Code `json:"code,omitempty"`
	Why   string    `json:"why,omitempty"`
	Route *Route    `json:"route,omitempty"`
	// Regions are those that the team may use; empty means all.
	Regions []string `json:"regions,omitempty"`
	Limit   *Limit   `json:"limit,omitempty"`
	// Only says why only the primary may run the request.
	Only      string     `json:"only,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`
	Choice    *Choice    `json:"choice,omitempty"`
}

// Route is the route of the request.
type Route struct {
	Name        string   `json:"name"`
	Group       string   `json:"group"`
	Consistency string   `json:"consistency"`
	Priority    int      `json:"priority"`
	Timeout     float64  `json:"timeout"`
	Target      float64  `json:"target"`
	Staleness   float64  `json:"staleness"`
	Regions     []string `json:"regions,omitempty"` // empty means all
}

// Way says how a team is limited.
type Way string

// The ways.
const (
	Reserve   Way = "reserve"   // by the instance's reserve, and by the owner beyond it
	Delegated Way = "delegated" // by parts that are delegated to collectors
	Pause     Way = "pause"     // the team changes from one way to the other and has no tokens
)

// Limit is the limit of the team. No token was taken.
type Limit struct {
	Way Way `json:"way"`
	// Rate and Burst are those of the whole team.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Reserve is the instance's own part. Stock holds the tokens that the owner or the collector
	// has granted to this instance.
	Reserve *Stock `json:"reserve,omitempty"`
	Stock   *Stock `json:"stock,omitempty"`
	// From is the owner or the collector that is asked for tokens, and Silent says that it does
	// not answer.
	From   string `json:"from,omitempty"`
	Silent bool   `json:"silent,omitempty"`
	// Outcome is "granted", "waiting" (for a grant) or "refused".
	Outcome string `json:"outcome"`
	// After is the expected time until the next token; nil if it is not known.
	After *float64 `json:"after,omitempty"`
	// Retry is the time after which a refused request is worth repeating.
	Retry float64 `json:"retry,omitempty"`
}

// Stock is a number of tokens that may be spent now.
type Stock struct {
	Tokens float64 `json:"tokens"`
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	Queued int     `json:"queued,omitempty"` // requests that wait for a token
}

// Upstream is an upstream of the group as the instance knows it.
type Upstream struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	State  string `json:"state"`         // as its entry in the registry says
	Out    bool   `json:"out,omitempty"` // its failure domain is out
	Role   string `json:"role"`          // "primary" or "replica"
	// Avoided says why reads go elsewhere: "failing" or "slow".
	Avoided string `json:"avoided,omitempty"`
	// Why says why the upstream can't be chosen.
	Why     string   `json:"why,omitempty"`
	Notes   []string `json:"notes,omitempty"`
	Gateway string   `json:"gateway,omitempty"`
	// Skipped lists the instances that are preferred as the gateway but not used.
	Skipped []Skipped `json:"skipped,omitempty"`
	Time    *Time     `json:"time,omitempty"`
	// Chance is set if the random variation of the expected times may select this upstream.
	Chance bool `json:"chance,omitempty"`
}

// Skipped is a gateway that is not used.
type Skipped struct {
	Gateway string `json:"gateway"`
	Domain  string `json:"domain"`
	Why     string `json:"why"`
}

// Time is the expected time of a read and what it is made of.
type Time struct {
	// Total ranks the upstreams. It is the expected time, with the mean random variation, plus
	// Extra.
	Total   float64 `json:"total"`
	Service float64 `json:"service"` // of one read
	Load    float64 `json:"load"`    // statements at the upstream
	Pace    int     `json:"pace"`    // statements that it runs at a time
	Network float64 `json:"network"`
	Failing float64 `json:"failing"` // share of the reads that fail
	Waited  float64 `json:"waited"`  // mean time of this instance's reads without an answer
	// Extra is the sum of the costs that are no expected time but rank the upstream: the
	// primary, an avoided upstream, and one that refused a statement a short time ago.
	Extra float64 `json:"extra"`
}

// Choice is where the request goes, or why it goes nowhere.
type Choice struct {
	Upstream string `json:"upstream,omitempty"`
	Gateway  string `json:"gateway,omitempty"`
	// Reason is "primary", "replica" or "probe", or empty if nothing can be chosen.
	Reason string `json:"reason,omitempty"`
	Why    string `json:"why"`
	// Wait is the time for which the statement waits for a change until it is refused.
	Wait float64 `json:"wait,omitempty"`
	// Retry is the time after which a refused request is worth repeating.
	Retry float64 `json:"retry,omitempty"`
}

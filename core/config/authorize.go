package config

// This file decides who may use a route. A caller that does not hold a key learns
// neither whether the key id exists nor whether it was withdrawn.

import (
	"slices"
	"strings"

	"burdockseam/core/key"
)

// Refusal is the reason why a caller may not use a route. It is an error.
type Refusal string

// The refusals of Authorize and Allows.
const (
	UnknownRoute Refusal = "unknown route"
	NoSuchKey    Refusal = "no such key"
	KeyWithdrawn Refusal = "the key was withdrawn"
	RouteClosed  Refusal = "the route is not open to this team"
)

// placeholderHash stands in for the hash of an unknown key id, so that the refusal takes as
// long as for a known one.
var placeholderHash = strings.Repeat("0", 32) + ":" + strings.Repeat("0", 64)

// Error implements error.
func (r Refusal) Error() string { return "config: " + string(r) }

// Authorize checks a caller's login and returns the route. The error is a
// Refusal. On an open route the team and the key are not looked at, so the name
// of the team is only a claim there and nothing may be charged to that team.
func (c Config) Authorize(team, keyText, route string) (Route, error) {
	r, ok := c.Routes[route]
	if !ok {
		return Route{}, UnknownRoute
	}
	if r.Open {
		return r, nil
	}
	k, ok := c.Keys[key.ID(keyText)]
	if !ok {
		k.Hash = placeholderHash
	}
	if !key.Matches(keyText, k.Hash) || !ok || k.Team != team {
		return Route{}, NoSuchKey
	}
	return c.Allows(team, k.ID, route)
}

// Allows repeats the check for a session whose key was verified earlier, without
// the key's secret. The caller uses Ended to find keys that were issued anew.
func (c Config) Allows(team, id, route string) (Route, error) {
	r, ok := c.Routes[route]
	switch k, known := c.Keys[id]; {
	case !ok:
		return Route{}, UnknownRoute
	case r.Open:
		return r, nil
	case !known || k.Team != team:
		return Route{}, NoSuchKey
	case k.State == StateWithdrawn:
		return Route{}, KeyWithdrawn
	case !slices.Contains(r.Teams, team):
		return Route{}, RouteClosed
	}
	return r, nil
}

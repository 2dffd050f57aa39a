package config

// This file decides who may use a route. A caller without the secret of a key cannot
// find out whether the key's id exists or whether the key was withdrawn.

import (
	"slices"
	"strings"

	"burdockseam/core/key"
)

// Refusal is the reason why a caller may not use a route. It implements error.
type Refusal string

// The refusals that Authorize and Reauthorize return.
const (
	UnknownRoute Refusal = "unknown route"
	NoSuchKey    Refusal = "no such key"
	KeyWithdrawn Refusal = "the key was withdrawn"
	RouteClosed  Refusal = "the route is not open to this team"
)

// placeholderHash is compared in place of a stored hash if the key id is unknown, so
// that the response time does not reveal whether the id exists.
var placeholderHash = strings.Repeat("0", 32) + ":" + strings.Repeat("0", 64)

// Error implements error.
func (r Refusal) Error() string { return "config: " + string(r) }

// Authorize checks the team and key of a caller's login and returns the route. The
// error is a Refusal. On an open route neither team nor key is verified, so no
// request may count against the limits of the team that the caller names.
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
	return c.Reauthorize(team, k.ID, route)
}

// Reauthorize repeats the check of Authorize for a session whose key was verified at
// login. It does not need the key's secret, and therefore cannot detect a key that
// was issued anew under the same id; RevokedKeys lists those. A session without a verified key,
// whose id is empty, may use open routes only.
func (c Config) Reauthorize(team, id, route string) (Route, error) {
	r, ok := c.Routes[route]
	switch k, known := c.Keys[id]; {
	case !ok:
		return Route{}, UnknownRoute
	case r.Open && id == "":
		return r, nil
	case !known || k.Team != team:
		return Route{}, NoSuchKey
	case k.State == StateWithdrawn:
		return Route{}, KeyWithdrawn
	case !r.Open && !slices.Contains(r.Teams, team):
		return Route{}, RouteClosed
	}
	return r, nil
}

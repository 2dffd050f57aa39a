package config

// This file lists the values of a configuration with their origins, and the
// differences between two configurations. Key hashes are compared but never included
// in the output.

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Setting is one value of a configuration in its canonical form. Origin is zero for a
// default. Value is "(set)" in place of a key's hash.
type Setting struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Origin  Origin `json:"origin"`

	secret string // the hash that Value hides
}

// Settings returns all values, sorted by section and key.
func (c Config) Settings() []Setting {
	var list []Setting
	add := func(kind, name string, pairs ...string) {
		for i := 0; i < len(pairs); i += 2 {
			s := Setting{Section: kind + " " + name, Key: pairs[i], Value: pairs[i+1]}
			s.Origin = c.origins[settingKey{s.Section, s.Key}]
			if s.Key == "hash" {
				s.Value, s.secret = "(set)", s.Value
			}
			list = append(list, s)
		}
	}
	for n, t := range c.Teams {
		add(kindTeam, n, "rate", formatNumber(t.Rate)+"/s", "burst", formatNumber(t.Burst),
			"weight", strconv.Itoa(t.Weight), "connections", strconv.Itoa(t.Connections))
	}
	for n, k := range c.Keys {
		add(kindKey, n, "team", k.Team, "hash", k.Hash, "state", string(k.State))
	}
	for n, r := range c.Routes {
		add(kindRoute, n, "group", r.Group, "teams", strings.Join(r.Teams, ", "),
			"staleness", r.Staleness.String(), "open", strconv.FormatBool(r.Open))
	}
	for n, g := range c.Groups {
		add(kindGroup, n, "credentials", g.Credentials)
	}
	for n, u := range c.Upstreams {
		add(kindUpstream, n, "group", u.Group, "address", u.Address, "domain", u.Domain,
			"slots", strconv.Itoa(u.Slots), "connections", strconv.Itoa(u.Connections), "state", string(u.State))
	}
	for n, d := range c.Domains {
		add(kindDomain, n, "region", d.Region, "state", string(d.State))
	}
	slices.SortFunc(list, func(a, b Setting) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
	return list
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// Change is a value that differs between two configurations. Old is empty if the first
// configuration does not have the value, New if the second does not.
type Change struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Old     string `json:"old"`
	New     string `json:"new"`
}

// Diff returns the differences between two configurations, sorted by section and key.
// Values are compared in canonical form, so 1s and 1000ms are equal.
func Diff(before, after Config) []Change {
	pairs := map[settingKey][2]Setting{}
	for i, c := range []Config{before, after} {
		for _, s := range c.Settings() {
			pair := pairs[settingKey{s.Section, s.Key}]
			pair[i] = s
			pairs[settingKey{s.Section, s.Key}] = pair
		}
	}
	var list []Change
	for id, pair := range pairs {
		if pair[0].Value == pair[1].Value && pair[0].secret == pair[1].secret && (pair[0].Section == "") == (pair[1].Section == "") {
			continue
		}
		list = append(list, Change{Section: id.section, Key: id.key, Old: pair[0].Value, New: pair[1].Value})
	}
	slices.SortFunc(list, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
	return list
}

// RevokedKeys returns the ids of keys that are accepted in before but not in after
// because they were withdrawn, removed, assigned to another team, or issued anew under
// the same id. Sessions that logged in with these keys must end.
func RevokedKeys(before, after Config) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(before.Keys)) {
		if k := before.Keys[id]; k.State != StateWithdrawn && after.Keys[id] != k {
			ids = append(ids, id)
		}
	}
	return ids
}

package config

// This file lists the values of a configuration, each with its origin, and the
// differences between two configurations. Hashes of keys are compared and never
// shown.

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Setting is one value of a configuration in its canonical form. Origin is zero
// for a default. The value of a hash is replaced by "(set)".
type Setting struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Origin  Origin `json:"origin"`

	secret string
}

// Settings lists all values in the order of sections and keys.
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

// Change is one difference between two configurations. Old or New is empty if
// the value did not exist before or does not exist afterwards.
type Change struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Old     string `json:"old"`
	New     string `json:"new"`
}

// Diff lists the differences from before to after in the order of sections and
// keys. Values that mean the same, such as 1s and 1000ms, do not differ.
func Diff(before, after Config) []Change {
	pairs := map[settingKey][2]Setting{}
	for i, c := range []Config{before, after} {
		for _, s := range c.Settings() {
			p := pairs[settingKey{s.Section, s.Key}]
			p[i] = s
			pairs[settingKey{s.Section, s.Key}] = p
		}
	}
	var list []Change
	for at, p := range pairs {
		if p[0].Value == p[1].Value && p[0].secret == p[1].secret && (p[0].Section == "") == (p[1].Section == "") {
			continue
		}
		list = append(list, Change{Section: at.section, Key: at.key, Old: p[0].Value, New: p[1].Value})
	}
	slices.SortFunc(list, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
	return list
}

// RevokedKeys lists the ids of keys that were in force before and are not afterwards:
// withdrawn, removed, given to another team, or issued anew under the same id.
// Sessions that logged in with them must end.
func RevokedKeys(before, after Config) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(before.Keys)) {
		if k := before.Keys[id]; k.State != StateWithdrawn && after.Keys[id] != k {
			ids = append(ids, id)
		}
	}
	return ids
}

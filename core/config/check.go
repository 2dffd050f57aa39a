package config

// This file turns merged sections into typed values and checks them. Every check
// reports and goes on, so that the operator sees all faults in one run.

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"burdockseam/core/key"
)

// Bounds of the values. They lie well above the sizes planned for, and keep
// products of them inside 64-bit integers and exact inside floating point.
const (
	MinRate                = 0.001 // requests per second
	MaxRate                = 1e7   // requests per second
	MaxBurst               = 1e7   // requests
	MaxWeight              = 1000
	MaxTeamConnections     = 100_000 // caller connections of a team at one instance
	MaxSlots               = 10_000
	MaxUpstreamConnections = 100_000   // connections of an upstream
	MaxStaleness           = time.Hour // age of a replica read
)

// Defaults of keys that may be left out.
const (
	DefaultWeight          = 1
	DefaultTeamConnections = 200
)

// The kinds of sections.
const (
	kindTeam     = "team"
	kindKey      = "key"
	kindRoute    = "route"
	kindGroup    = "group"
	kindUpstream = "upstream"
	kindDomain   = "domain"
)

// schema lists the keys that each kind of section may have.
var schema = map[string][]string{
	kindTeam:     {"rate", "burst", "weight", "connections", "state"},
	kindKey:      {"team", "hash", "state"},
	kindRoute:    {"group", "teams", "staleness", "open", "state"},
	kindGroup:    {"credentials", "state"},
	kindUpstream: {"group", "address", "domain", "slots", "connections", "state"},
	kindDomain:   {"region", "state"},
}

// buildConfig checks the merged sections. Its result is valid only without faults.
func (f *folder) buildConfig() Config {
	c := Config{
		Teams: map[string]Team{}, Keys: map[string]Key{}, Routes: map[string]Route{}, Groups: map[string]Group{},
		Upstreams: map[string]Upstream{}, Domains: map[string]Domain{}, origins: map[settingKey]Origin{},
	}
	kept := 0
	for _, title := range slices.Sorted(maps.Keys(f.sections)) {
		s := f.sections[title]
		if s.values["state"].text == string(StateRemoved) {
			delete(f.sections, title)
			continue
		}
		kept++
		for k, v := range s.values {
			c.origins[settingKey{title, k}] = v.Origin
		}
		r := reader{f, s}
		switch s.kind {
		case kindTeam:
			r.state(StateActive)
			c.Teams[s.name] = Team{
				Name: s.name, Rate: r.rate("rate"), Burst: r.float("burst", 1, MaxBurst),
				Weight:      r.integer("weight", DefaultWeight, 1, MaxWeight),
				Connections: r.integer("connections", DefaultTeamConnections, 1, MaxTeamConnections),
			}
		case kindKey:
			c.Keys[s.name] = Key{ID: s.name, Team: r.name("team"), Hash: r.hash(), State: r.state(StateActive, StateWithdrawn)}
		case kindRoute:
			r.state(StateActive)
			c.Routes[s.name] = Route{
				Name: s.name, Group: r.name("group"), Teams: r.names("teams"),
				Staleness: r.duration("staleness", MaxStaleness), Open: r.boolean("open"),
			}
		case kindGroup:
			r.state(StateActive)
			c.Groups[s.name] = Group{Name: s.name, Credentials: r.name("credentials")}
		case kindUpstream:
			c.Upstreams[s.name] = Upstream{
				Name: s.name, Group: r.name("group"), Address: r.address("address"), Domain: r.name("domain"),
				Slots: r.integer("slots", 0, 1, MaxSlots), Connections: r.integer("connections", 0, 1, MaxUpstreamConnections),
				State: r.state(StateActive, StateLeaving),
			}
		case kindDomain:
			c.Domains[s.name] = Domain{Name: s.name, Region: r.name("region"), State: r.state(StateIn, StateOut)}
		}
	}
	if kept == 0 && len(f.faults) == 0 {
		f.addFault(Origin{}, "", "", "the merge is empty")
	}
	f.checkReferences(c)
	return c
}

// checkReferences checks the references between sections and the rules over several of them.
func (f *folder) checkReferences(c Config) {
	keyed := map[string]bool{}
	hashes := map[string]string{}
	addresses := map[string]string{}
	for _, title := range slices.Sorted(maps.Keys(f.sections)) {
		s := f.sections[title]
		r := reader{f, s}
		switch s.kind {
		case kindKey:
			k := c.Keys[s.name]
			keyed[k.Team] = true
			checkReference(r, "team", k.Team, c.Teams)
			if first, ok := hashes[k.Hash]; ok && k.Hash != "" {
				r.addFault("hash", "the hash is the same as that of key %s", first)
			}
			hashes[k.Hash] = s.name
		case kindRoute:
			route := c.Routes[s.name]
			checkReference(r, "group", route.Group, c.Groups)
			for _, team := range route.Teams {
				checkReference(r, "teams", team, c.Teams)
			}
			if len(route.Teams) == 0 && !route.Open && s.values["teams"].text == "" {
				r.addFault("teams", "a route that is not open needs at least one team")
			}
		case kindUpstream:
			u := c.Upstreams[s.name]
			checkReference(r, "group", u.Group, c.Groups)
			checkReference(r, "domain", u.Domain, c.Domains)
			if first, ok := addresses[u.Address]; ok && u.Address != "" {
				// One back end under two names would count twice in a majority.
				r.addFault("address", "the address is the same as that of upstream %s", first)
			}
			addresses[u.Address] = s.name
			if u.Connections > 0 && u.Connections < u.Slots {
				r.addFault("connections", "%d connections are fewer than %d slots", u.Connections, u.Slots)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		if !keyed[name] {
			reader{f, f.sections[kindTeam+" "+name]}.addFault("", "the team has no key")
		}
	}
}

func checkReference[T any](r reader, key, name string, in map[string]T) {
	if _, ok := in[name]; !ok && name != "" {
		r.addFault(key, "%s does not exist", name)
	}
}

// reader reads the values of one merged section. After a fault it returns the
// zero value.
type reader struct {
	*folder
	section *section
}

func (r reader) addFault(key, format string, args ...any) {
	at := r.section.origin
	if v, ok := r.section.values[key]; ok {
		at = v.Origin
	}
	r.folder.addFault(at, r.section.title(), key, format, args...)
}

// requiredText returns the value of a required key.
func (r reader) requiredText(key string) (string, bool) {
	v, ok := r.section.values[key]
	if !ok {
		r.addFault(key, "the key is missing")
		return "", false
	}
	if v.text == "" {
		r.addFault(key, "the value is empty")
		return "", false
	}
	return v.text, true
}

func (r reader) name(key string) string {
	text, ok := r.requiredText(key)
	if ok && !namePattern.MatchString(text) {
		r.addFault(key, "%q is not a name", printable(text))
		return ""
	}
	return text
}

// names reads an optional list that is separated by commas.
func (r reader) names(key string) []string {
	if _, ok := r.section.values[key]; !ok {
		return nil
	}
	text, ok := r.requiredText(key)
	if !ok {
		return nil
	}
	var list []string
	for n := range strings.SplitSeq(text, ",") {
		n = strings.TrimSpace(n)
		switch {
		case !namePattern.MatchString(n):
			r.addFault(key, "%q is not a name", printable(n))
		case slices.Contains(list, n):
			r.addFault(key, "%s is listed twice", n)
		default:
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}

// hash reads the stored form of a key. The message does not repeat the value,
// which could be a key that was pasted in the wrong place.
func (r reader) hash() string {
	text, ok := r.requiredText("hash")
	if ok && !key.ValidHash(text) {
		r.addFault("hash", "the value is not a hash as `burdockctl key issue` prints it")
		return ""
	}
	return strings.ToLower(text)
}

func (r reader) state(allowed ...State) State {
	v, ok := r.section.values["state"]
	if !ok {
		return allowed[0]
	}
	if slices.Contains(allowed, State(v.text)) {
		return State(v.text)
	}
	names := make([]string, 0, len(allowed)+1)
	for _, a := range append(allowed, StateRemoved) {
		names = append(names, string(a))
	}
	r.addFault("state", "%q is not one of %s", printable(v.text), strings.Join(names, ", "))
	return allowed[0]
}

func (r reader) rate(key string) float64 {
	text, ok := r.requiredText(key)
	if !ok {
		return 0
	}
	number, unit, ok := strings.Cut(text, "/")
	if !ok {
		r.addFault(key, "%q has no unit; write for example 40/s", printable(text))
		return 0
	}
	per, ok := map[string]float64{"s": 1, "min": 60, "h": 3600}[strings.TrimSpace(unit)]
	if !ok {
		r.addFault(key, "the unit %q is not one of /s, /min, /h", printable(unit))
		return 0
	}
	n, err := parseDecimal(strings.TrimSpace(number))
	switch n /= per; {
	case err != nil:
		r.addFault(key, "%q is not a number", printable(number))
	case n <= 0:
		r.addFault(key, "the rate is not above 0")
	case n < MinRate || n > MaxRate:
		r.addFault(key, "the rate is outside %g/s to %.0f/s", MinRate, MaxRate)
	default:
		return n
	}
	return 0
}

func (r reader) float(key string, low, high float64) float64 {
	text, ok := r.requiredText(key)
	if !ok {
		return 0
	}
	n, err := parseDecimal(text)
	switch {
	case err != nil:
		r.addFault(key, "%q is not a number", printable(text))
	case n < low || n > high:
		r.addFault(key, "%s is outside %.0f to %.0f", printable(text), low, high)
	default:
		return n
	}
	return 0
}

// parseDecimal reads digits with an optional fraction. Exponents, infinities and hex
// floats, which strconv takes too, are refused. An overflow gives an infinity,
// which every bound refuses.
func parseDecimal(text string) (float64, error) {
	if strings.Trim(text, "-0123456789.") != "" {
		return 0, strconv.ErrSyntax
	}
	n, err := strconv.ParseFloat(text, 64)
	if math.IsInf(n, 0) {
		return n, nil
	}
	return n, err
}

// integer reads a whole number. A def of 0 makes the key required.
func (r reader) integer(key string, def, low, high int) int {
	if _, ok := r.section.values[key]; !ok && def != 0 {
		return def
	}
	text, ok := r.requiredText(key)
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	switch {
	case err != nil && !strings.Contains(err.Error(), strconv.ErrRange.Error()):
		r.addFault(key, "%q is not a whole number", printable(text))
	case err != nil || n < int64(low) || n > int64(high):
		r.addFault(key, "%s is outside %d to %d", printable(text), low, high)
	default:
		return int(n)
	}
	return 0
}

// duration reads an optional duration from 0 to high. A bare 0 lacks its unit.
func (r reader) duration(key string, high time.Duration) time.Duration {
	if _, ok := r.section.values[key]; !ok {
		return 0
	}
	text, ok := r.requiredText(key)
	if !ok {
		return 0
	}
	if strings.Trim(text, "0123456789.") == "" {
		r.addFault(key, "%q has no unit; write for example 250ms or 2s", printable(text))
		return 0
	}
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		r.addFault(key, "%q is not a duration", printable(text))
	case d < 0 || d > high:
		r.addFault(key, "%s is outside 0s to %s", printable(text), high)
	default:
		return d
	}
	return 0
}

func (r reader) boolean(key string) bool {
	v, ok := r.section.values[key]
	if ok && v.text != "true" && v.text != "false" {
		r.addFault(key, "%q is not true or false", printable(v.text))
	}
	return v.text == "true"
}

// address reads an IP number and a port; names are not resolved.
func (r reader) address(key string) string {
	text, ok := r.requiredText(key)
	if !ok {
		return ""
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		r.addFault(key, "%q is not an IP number and a port", printable(text))
		return ""
	}
	return a.String()
}

package config

// This file converts merged sections to typed values and validates them. A failed
// check does not stop the others, so that the operator sees all faults in one run.

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

// Limits of the values. They are well above the planned sizes, and low enough that
// products of values fit into 64-bit integers and are exact in floating point.
const (
	MinRate                = 0.001 // requests per second
	MaxRate                = 1e7   // requests per second
	MaxBurst               = 1e7   // requests
	MaxWeight              = 1000
	MaxTeamConnections     = 100_000 // connections of a team at one instance
	MaxSlots               = 10_000
	MaxUpstreamConnections = 100_000   // connections that an upstream accepts
	MaxStaleness           = time.Hour // age of data read from a replica
)

// Defaults of optional settings.
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

// schema lists the settings that each kind of section may contain.
var schema = map[string][]string{
	kindTeam:     {"rate", "burst", "weight", "connections", "state"},
	kindKey:      {"team", "hash", "state"},
	kindRoute:    {"group", "teams", "staleness", "open", "state"},
	kindGroup:    {"credentials", "state"},
	kindUpstream: {"group", "address", "domain", "slots", "connections", "state"},
	kindDomain:   {"region", "state"},
}

// buildConfig validates the merged sections and converts them to a Config, which is
// valid only if f has no faults.
func (f *folder) buildConfig() Config {
	c := Config{
		Teams: map[string]Team{}, Keys: map[string]Key{}, Routes: map[string]Route{}, Groups: map[string]Group{},
		Upstreams: map[string]Upstream{}, Domains: map[string]Domain{}, origins: map[settingKey]Origin{},
	}
	remaining := 0
	for _, title := range slices.Sorted(maps.Keys(f.sections)) {
		s := f.sections[title]
		if s.values["state"].text == string(StateRemoved) {
			delete(f.sections, title)
			continue
		}
		remaining++
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
	if remaining == 0 && len(f.faults) == 0 {
		f.addFault(Origin{}, "", "", "the merged configuration contains no sections")
	}
	f.checkReferences(c)
	return c
}

// checkReferences checks that sections refer to existing sections, and the rules that
// involve several sections.
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
				// A server that is listed under two names would count twice in a majority.
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

// checkReference reports a fault if no section in the map has the name that key refers to.
func checkReference[T any](r reader, key, name string, in map[string]T) {
	if _, ok := in[name]; !ok && name != "" {
		r.addFault(key, "%s does not exist", name)
	}
}

// reader reads the values of one merged section. Its methods report a fault for a
// missing or invalid value and then return the zero value; only state returns the
// default state, and names the valid names of the list.
type reader struct {
	*folder
	section *section
}

// addFault reports a fault at the line that defines key, or at the section's header if
// the section does not set key.
func (r reader) addFault(key, format string, args ...any) {
	at := r.section.origin
	if v, ok := r.section.values[key]; ok {
		at = v.Origin
	}
	r.folder.addFault(at, r.section.title(), key, format, args...)
}

// requiredText returns the value of a required setting, and whether it is present and
// not empty.
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

// name reads a required name, such as that of another section.
func (r reader) name(key string) string {
	text, ok := r.requiredText(key)
	if ok && !namePattern.MatchString(text) {
		r.addFault(key, "%q is not a valid name", printable(text))
		return ""
	}
	return text
}

// names reads an optional list of names that are separated by commas.
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
			r.addFault(key, "%q is not a valid name", printable(n))
		case slices.Contains(list, n):
			r.addFault(key, "%s is listed twice", n)
		default:
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}

// hash reads the hash of a key. The message of the fault does not repeat the value,
// which could be the key itself, pasted in the wrong place.
func (r reader) hash() string {
	text, ok := r.requiredText("hash")
	if ok && !key.ValidHash(text) {
		r.addFault("hash", "the value is not a hash as `burdockctl key issue` prints it")
		return ""
	}
	return strings.ToLower(text)
}

// state reads an optional state. The first of the allowed states is the default.
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

// rate reads a required rate, such as 40/s or 90/min, and returns it per second.
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
	seconds, ok := map[string]float64{"s": 1, "min": 60, "h": 3600}[strings.TrimSpace(unit)]
	if !ok {
		r.addFault(key, "the unit %q is not one of /s, /min, /h", printable(unit))
		return 0
	}
	n, err := parseDecimal(strings.TrimSpace(number))
	switch n /= seconds; {
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

// float reads a required decimal number from low to high.
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

// parseDecimal parses digits with an optional sign and fraction. Unlike strconv, it
// rejects exponents, infinities and hexadecimal numbers. An overflow returns an
// infinity without an error, which the caller rejects as out of range.
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

// integer reads a whole number from low to high. The setting is required if
// defaultValue is 0.
func (r reader) integer(key string, defaultValue, low, high int) int {
	if _, ok := r.section.values[key]; !ok && defaultValue != 0 {
		return defaultValue
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

// duration reads an optional duration from 0 to high. Its unit is required, also
// for 0.
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

// boolean reads an optional true or false. The default is false.
func (r reader) boolean(key string) bool {
	v, ok := r.section.values[key]
	if ok && v.text != "true" && v.text != "false" {
		r.addFault(key, "%q is not true or false", printable(v.text))
	}
	return v.text == "true"
}

// address reads a required IP address with a port. Host names are not accepted.
func (r reader) address(key string) string {
	text, ok := r.requiredText(key)
	if !ok {
		return ""
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		r.addFault(key, "%q is not an IP address with a port", printable(text))
		return ""
	}
	return a.String()
}

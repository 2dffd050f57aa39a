package node

// The settings of an instance hold what its process needs before it can reach the store or a
// peer. Every bound that the deployment guarantees is a setting, so that no timer of the
// program exceeds the bound that it serves.

import (
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"

	"burdockseam/core/placement"
)

// Error is the class of this package's errors.
var Error = errs.Class("node")

// Settings configures one instance.
type Settings struct {
	// Name identifies the instance across restarts.
	Name string
	// Domain is the instance's failure domain.
	Domain string
	// Listen is the address for callers, Peer the address for other instances, and Operator
	// the address for the readiness probe and the metrics, each as IP:port.
	Listen, Peer, Operator string
	// Advertise is the address at which other instances reach Peer. It differs from Peer
	// only if connections are forwarded.
	Advertise string
	// Store is the address of the store, and Promoter that of the service that carries out
	// promotions.
	Store, Promoter string
	// Unfenced is set if the promoter does not check fencing tokens, and a primary that is
	// replaced goes on until it is demoted. In the settings file, fencing is false then.
	Unfenced bool
	// Seeds are addresses of peers to contact before the store has answered.
	Seeds []string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// MaxCallers bounds the number of caller connections.
	MaxCallers int
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// ApplyTimeout is the time within which a new configuration must be in force.
	ApplyTimeout time.Duration
	// OutageAllowance is the time by which an unstable store may delay a new configuration
	// beyond ApplyTimeout.
	OutageAllowance time.Duration
	// LeaveTimeout is the time after which a leaving upstream must receive no new work.
	// EvacuateTimeout is the same for the upstreams of a failure domain that is out.
	LeaveTimeout, EvacuateTimeout time.Duration
	// BurstAllowance is the number of requests by which a team may exceed its burst.
	BurstAllowance float64
	// Usage configures the reports of usage. There are none if its Window is 0.
	Usage UsageSettings
	// Adaptive is set if the deployment's contracts cover the health of upstreams. Routing and
	// the concurrency at an upstream then follow from how the upstream answers.
	Adaptive bool
}

// UsageSettings are the bounds of the usage reports.
type UsageSettings struct {
	// Window is the length of a window, Delay the time after a window's end by which its
	// report must be sent, and Lease the time for which an instance may report after it has
	// renewed its record in the store.
	Window, Delay, Lease time.Duration
	// Off is the share by which a reported number may differ from the true one.
	Off float64
}

// reservedDescriptors is the number of file descriptors that callers may not use: they are
// kept for files, upstreams, peers and the store.
const reservedDescriptors = 700

// Defaults of the bounds that a deployment may leave open. A key without a value counts as not
// set, since a template renders a bound that the deployment lacks as an empty value.
const (
	defaultDrainTimeout = 30 * time.Second
	defaultApplyTimeout = 5 * time.Second
	defaultLeaveTimeout = 10 * time.Second
	// defaultEvacuateTimeout is long, since no deployment relies on it. Watches deliver an
	// evacuation at once; the bound only limits how long a silent watch goes unnoticed.
	defaultEvacuateTimeout = time.Minute
	// defaultUsageDelay, defaultUsageLease and defaultUsageOff are the bounds of the deployments
	// that have usage reports.
	defaultUsageDelay = 10 * time.Second
	defaultUsageLease = 3 * time.Second
	defaultUsageOff   = 0.05
)

// healthContract is the entry of the key contracts that sets Settings.Adaptive.
const healthContract = "health"

// ReadSettings reads settings from an INI file. The error lists every invalid key, not only
// the first. Unknown sections and keys are ignored.
func ReadSettings(path string) (Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	r := &settingsReader{file: file, path: path}
	s := Settings{
		Name:            r.text("instance", "name"),
		Domain:          r.text("instance", "domain"),
		Listen:          r.address("instance", "listen"),
		Peer:            r.address("instance", "peer"),
		Operator:        r.address("instance", "operator"),
		Seeds:           r.list("instance", "seeds"),
		Store:           r.address("store", "address"),
		Promoter:        r.address("promoter", "address"),
		MaxCallers:      max(1, r.number("limits", "descriptors", 1000, 1<<24)-reservedDescriptors),
		DrainTimeout:    r.bound("drain", time.Second, defaultDrainTimeout),
		ApplyTimeout:    r.bound("apply", 500*time.Millisecond, defaultApplyTimeout),
		LeaveTimeout:    r.bound("leave", 500*time.Millisecond, defaultLeaveTimeout),
		EvacuateTimeout: r.bound("evacuate", 500*time.Millisecond, defaultEvacuateTimeout),
		OutageAllowance: r.bound("outage", 0, 0),
		Regions:         make(map[string]string),
	}
	s.Adaptive = slices.Contains(r.list("instance", "contracts"), healthContract)
	if r.has("usage", "window") {
		s.Usage = r.usage()
	}
	if r.has("limits", "spare") {
		s.BurstAllowance = float64(r.number("limits", "spare", 0, 1<<20))
	}
	if r.has("promoter", "fencing") {
		s.Unfenced = !r.flag("promoter", "fencing")
	}
	if s.Advertise = s.Peer; r.has("instance", "advertise") {
		s.Advertise = r.address("instance", "advertise")
	}
	if section, err := file.GetSection("regions"); err == nil {
		for _, k := range section.Keys() {
			s.Regions[k.Name()] = k.String()
		}
	}
	if s.Domain != "" && s.Regions[s.Domain] == "" {
		r.errors.Add(Error.New("%s: section regions: the failure domain %s has no region", path, s.Domain))
	}
	return s, r.errors.Err()
}

// Region returns the region of a failure domain. A domain without a configured region is a
// region of its own.
func (s Settings) Region(domain string) string {
	if region := s.Regions[domain]; region != "" {
		return region
	}
	return domain
}

// Place returns a failure domain together with its region.
func (s Settings) Place(domain string) placement.Place {
	return placement.Place{Domain: domain, Region: s.Region(domain)}
}

// settingsReader reads values from an INI file and collects the errors.
type settingsReader struct {
	file   *ini.File
	path   string
	errors errs.Group
}

// addError records an error of a key.
func (r *settingsReader) addError(section, key, why string) {
	r.errors.Add(Error.New("%s: section %s, key %s: %s", r.path, section, key, why))
}

// has reports whether a key has a value.
func (r *settingsReader) has(section, key string) bool {
	return r.file.Section(section).Key(key).String() != ""
}

// bound returns an optional duration of the section limits, of an hour at most.
func (r *settingsReader) bound(key string, least, fallback time.Duration) time.Duration {
	if !r.has("limits", key) {
		return fallback
	}
	return r.duration("limits", key, least, time.Hour)
}

// usage returns the settings of the usage reports.
func (r *settingsReader) usage() UsageSettings {
	u := UsageSettings{Window: r.duration("usage", "window", time.Second, time.Hour), Delay: defaultUsageDelay, Lease: defaultUsageLease, Off: defaultUsageOff}
	if r.has("usage", "delay") {
		u.Delay = r.duration("usage", "delay", time.Second, time.Hour)
	}
	if r.has("usage", "lease") {
		u.Lease = r.duration("usage", "lease", 500*time.Millisecond, time.Hour)
	}
	if r.has("usage", "off") {
		off, err := r.file.Section("usage").Key("off").Float64()
		if err != nil || off < 0 || off > 1 {
			r.addError("usage", "off", "not a number from 0 to 1")
		}
		u.Off = off
	}
	return u
}

// text returns the value of a required key.
func (r *settingsReader) text(section, key string) string {
	value := r.file.Section(section).Key(key).String()
	if value == "" {
		r.addError(section, key, "missing")
	}
	return value
}

func (r *settingsReader) address(section, key string) string {
	value := r.text(section, key)
	if _, _, err := net.SplitHostPort(value); value != "" && err != nil {
		r.addError(section, key, "not IP:port")
	}
	return value
}

// flag returns the value of a required key that is true or false.
func (r *settingsReader) flag(section, key string) bool {
	v, err := r.file.Section(section).Key(key).Bool()
	if err != nil {
		r.addError(section, key, "neither true nor false")
	}
	return v
}

func (r *settingsReader) list(section, key string) []string {
	fields := strings.FieldsFunc(r.file.Section(section).Key(key).String(), func(c rune) bool { return c == ',' || c == ' ' })
	return slices.DeleteFunc(fields, func(f string) bool { return f == "" })
}

// number returns a whole number from least to most, or least if the value is invalid.
func (r *settingsReader) number(section, key string, least, most int) int {
	text := r.text(section, key)
	if text == "" {
		return least
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < least || n > most {
		r.addError(section, key, "not a whole number from "+strconv.Itoa(least)+" to "+strconv.Itoa(most))
		return least
	}
	return n
}

// duration returns a duration from least to most, or least if the value is invalid.
func (r *settingsReader) duration(section, key string, least, most time.Duration) time.Duration {
	text := r.text(section, key)
	if text == "" {
		return least
	}
	d, err := time.ParseDuration(text)
	if err == nil && (d < least || d > most) {
		err = errors.New("out of range")
	}
	if err != nil {
		r.addError(section, key, "not a duration from "+least.String()+" to "+most.String())
		return least
	}
	return d
}

package instance

// The settings have what a process must know before it can contact others: its addresses, its
// failure domain, the store and the credentials for upstreams. What operators change while
// the fleet runs is in the configuration instead.

import (
	"strings"
	"time"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"

	"burdockseam/core/queue"
	"burdockseam/core/route"
	"burdockseam/io/peer"
)

// Error is the class of this package's errors.
var Error = errs.Class("instance")

// Settings are the settings of one instance.
type Settings struct {
	// Name identifies the instance in the fleet.
	Name string
	// Domain is the instance's failure domain.
	Domain string
	// Listen is the address for callers, as IP:port.
	Listen string
	// Link is the address for statements of other instances, as IP:port.
	Link string
	// Peer is the address for control messages of other instances, as IP:port.
	Peer string
	// Operator is the address of the operators' HTTP port, as IP:port.
	Operator string
	// Store is the address of the store's HTTP port, as IP:port.
	Store string
	// Secret authenticates instances to each other and signs session tokens.
	Secret string
	// Cleartext allows keys on connections without TLS.
	Cleartext bool
	// Certificate and PrivateKey are the files for TLS with callers, or "" for no TLS.
	Certificate string
	PrivateKey  string
	// Stall bounds the time for which a caller may leave its answer unread.
	Stall time.Duration
	// Deadline bounds the time from a request's arrival to its start at an upstream.
	Deadline time.Duration
	// Drain bounds the time that a graceful shutdown waits for running requests.
	Drain time.Duration
	// Seeds are the peer addresses to contact until the platform's list has been read.
	Seeds []string
	// Reads selects the routing of reads. The values besides "" are baselines for measurements.
	Reads route.Mode
	// Queue selects the order of service at gateways. FIFO is a baseline for measurements.
	Queue queue.Policy
	// Acks selects when a write is acknowledged. AckPrimary is a baseline for measurements.
	Acks Acks
	// Credentials are the logins for upstreams, by name.
	Credentials map[string]Credentials
	// Partition drops peer messages in tests. It is not read from the file.
	Partition *peer.Partition
}

// Acks selects when a write is acknowledged.
type Acks string

// The values of Acks.
const (
	AckMajority Acks = "majority" // when a majority of the group holds the write
	AckPrimary  Acks = "primary"  // when the primary has executed the write; a failover can lose it
)

// Credentials are a login for the upstreams of a group.
type Credentials struct {
	User     string
	Password string
	Database string
}

// Defaults of optional settings.
const (
	DefaultStall    = 5 * time.Second
	DefaultDeadline = 2 * time.Second
	DefaultDrain    = 30 * time.Second
)

// ReadSettings reads the settings from an INI file. The error lists all faults.
func ReadSettings(path string) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	var faults errs.Group
	r := settingsReader{file: file, path: path, faults: &faults}
	s := Settings{
		Name:        r.text("instance", "name", true),
		Domain:      r.text("instance", "domain", true),
		Listen:      r.text("instance", "listen", true),
		Link:        r.text("instance", "link", true),
		Peer:        r.text("instance", "peer", true),
		Operator:    r.text("instance", "operator", true),
		Secret:      r.text("instance", "secret", true),
		Cleartext:   r.choice("instance", "cleartext", "refuse", "allow") == "allow",
		Certificate: r.text("tls", "certificate", false),
		PrivateKey:  r.text("tls", "key", false),
		Store:       r.text("store", "address", true),
		Stall:       r.duration("limits", "stall", DefaultStall),
		Deadline:    r.duration("limits", "deadline", DefaultDeadline),
		Drain:       r.duration("limits", "drain", DefaultDrain),
		Seeds:       strings.Fields(strings.ReplaceAll(r.text("instance", "seeds", false), ",", " ")),
		Reads:       route.Mode(r.choice("baseline", "reads", "", string(route.ModePrimary), string(route.ModeAny))),
		Queue:       queue.Policy(r.choice("baseline", "queue", string(queue.Fair), string(queue.FIFO))),
		Acks:        Acks(r.choice("baseline", "acks", string(AckMajority), string(AckPrimary))),
		Credentials: make(map[string]Credentials),
	}
	for _, section := range file.Sections() {
		name, ok := cutSection(section.Name(), "credentials")
		if !ok {
			r.checkSection(section.Name())
			continue
		}
		s.Credentials[name] = Credentials{
			User:     r.text(section.Name(), "user", true),
			Password: r.text(section.Name(), "password", true),
			Database: r.text(section.Name(), "database", false),
		}
	}
	r.checkKeys()
	if (s.Certificate == "") != (s.PrivateKey == "") {
		faults.Add(Error.New("%s: section tls: certificate and key must be set together", path))
	}
	return s, faults.Err()
}

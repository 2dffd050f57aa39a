// Package fleet runs a whole deployment in one process for demos, load tests and
// tests: stand-ins for the store and the databases, and several instances.
package fleet

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"burdockseam/core/config"
	"burdockseam/core/key"
)

// Error is the class of this package's errors.
var Error = errs.Class("fleet")

// DeploymentName identifies a predefined deployment.
type DeploymentName string

// The predefined deployments, each named after the user whose system it models.
const (
	Saajghar DeploymentName = "saajghar"
	Ensayo   DeploymentName = "ensayo"
)

// Team is a team of callers with its rate limit and its weight in the fair queue.
type Team struct {
	Name   string
	Rate   int // requests per second
	Burst  int // requests
	Weight int
}

// Deployment describes the topology, the latencies and the teams of a deployment.
type Deployment struct {
	Name        DeploymentName
	Domains     []string
	Groups      []string
	Slots       int // statements that execute at the same time at one upstream
	Connections int // open connections that one upstream accepts
	// ConnectTime is the time that an upstream takes to open a connection.
	ConnectTime time.Duration
	// DomainLatency is the one-way latency between failure domains.
	DomainLatency time.Duration
	// ClientLatency is the one-way latency to callers.
	ClientLatency time.Duration
	Instances     int
	Teams         []Team
	// Staleness is the maximum age of the data that each group's second route,
	// GROUP-slots, returns.
	Staleness time.Duration
}

// Deployments holds the predefined deployments, with the sizes of their users' systems.
var Deployments = map[DeploymentName]Deployment{
	Saajghar: {
		Name:          Saajghar,
		Domains:       []string{"kol-a", "sil-a", "dgp-a"},
		Groups:        []string{"wardrobe-db1", "wardrobe-db2", "wardrobe-db3"},
		Slots:         2,
		Connections:   16,
		ConnectTime:   12 * time.Millisecond,
		DomainLatency: time.Millisecond,
		ClientLatency: 3 * time.Millisecond,
		Instances:     9,
		Staleness:     2 * time.Second,
		Teams: []Team{
			{"kolkata-counter", 200, 400, 3},
			{"kolkata-phones", 200, 400, 3},
			{"siliguri-counter", 120, 240, 2},
			{"siliguri-phones", 120, 240, 2},
			{"durgapur-counter", 40, 80, 1},
			{"durgapur-phones", 40, 80, 1},
			{"tailors", 60, 120, 1},
			{"stylists", 40, 80, 1},
		},
	},
	Ensayo: {
		Name:          Ensayo,
		Domains:       []string{"cdmx-a", "gdl-a", "mty-a"},
		Groups:        []string{"salas1", "salas2", "salas3"},
		Slots:         2,
		Connections:   25,
		ConnectTime:   25 * time.Millisecond,
		DomainLatency: time.Millisecond,
		ClientLatency: time.Millisecond,
		Instances:     9,
		Staleness:     2 * time.Second,
		Teams: []Team{
			{"cdmx-students", 200, 400, 3},
			{"gdl-students", 160, 320, 2},
			{"mty-students", 120, 240, 2},
			{"cdmx-coordinators", 60, 120, 1},
			{"gdl-coordinators", 40, 80, 1},
			{"mty-coordinators", 40, 80, 1},
			{"partner-schools", 60, 120, 1},
			{"equipment", 40, 80, 1},
		},
	},
}

// Keys maps the name of each team to the text of its issued key.
type Keys map[string]string

// upstreamName returns the name of a group's upstream in a failure domain.
func upstreamName(group, domain string) string { return group + "." + domain }

// configFiles returns the configuration files of the deployment and the keys that they
// accept. The map addresses holds the address of each upstream by its name.
func (d Deployment) configFiles(addresses map[string]string) ([]config.File, Keys, error) {
	keys := make(Keys)
	var teams, routes, upstreams, domains bytes.Buffer
	names := ""
	for i, t := range d.Teams {
		issued, err := key.Issue(rand.Reader)
		if err != nil {
			return nil, nil, err
		}
		keys[t.Name] = issued.Text
		fmt.Fprintf(&teams, "[team %s]\nrate = %d/s\nburst = %d\nweight = %d\nconnections = 200\n\n", t.Name, t.Rate, t.Burst, t.Weight)
		fmt.Fprintf(&teams, "[key %s]\nteam = %s\nhash = %s\n\n", issued.ID, t.Name, issued.Hash)
		if i > 0 {
			names += ", "
		}
		names += t.Name
	}
	for _, domain := range d.Domains {
		fmt.Fprintf(&domains, "[domain %s]\nregion = %s\nstate = in\n\n", domain, domain[:3])
	}
	for _, group := range d.Groups {
		fmt.Fprintf(&routes, "[group %s]\ncredentials = main\n\n", group)
		fmt.Fprintf(&routes, "[route %s]\ngroup = %s\nteams = %s\n\n", group, group, names)
		fmt.Fprintf(&routes, "[route %s-slots]\ngroup = %s\nteams = %s\nstaleness = %v\n\n", group, group, names, d.Staleness)
		for _, domain := range d.Domains {
			name := upstreamName(group, domain)
			fmt.Fprintf(&upstreams, "[upstream %s]\ngroup = %s\naddress = %s\ndomain = %s\nslots = %d\nconnections = %d\nstate = active\n\n",
				name, group, addresses[name], domain, d.Slots, d.Connections)
		}
	}
	return []config.File{
		{Name: "10-domains.ini", Data: domains.Bytes()},
		{Name: "20-groups.ini", Data: routes.Bytes()},
		{Name: "30-upstreams.ini", Data: upstreams.Bytes()},
		{Name: "40-teams.ini", Data: teams.Bytes()},
	}, keys, nil
}

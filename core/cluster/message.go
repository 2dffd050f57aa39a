package cluster

// This file defines the messages between instances and the effects that an Agent
// returns to its adapter. The messages are plain structs for encoding/gob, and their
// field names are the names on the wire. The size of a message is bounded and does not
// depend on the number of instances:
//
//	request:  own record, revisions, tally of the subtree, up to maxGossip records,
//	          up to maxWantedHashes hashes, one probe, one vouch
//	response: own record, revision, a confirmation, the outage reports of at most
//	          two watchers per failure domain, up to maxGossip records, a page of
//	          records, the ages of up to maxDomainAges and the statuses of up to
//	          maxDomainStatuses failure domains in rotation, and an Update
//
// An Update is bounded by the largest values in the store: it holds at most a full file
// list, and maxPayloadBytes of contents or one larger file.

import (
	"time"

	"burdockseam/core/config"
)

// Bounds of the lists in a message.
const (
	maxGossip         = 12 // records of changed members
	samplePageSize    = 4  // records of the table, which deliver changes whose gossip was lost
	joinPageSize      = 64 // records of the table, for an instance that has just started
	maxDomainAges     = 8  // failure domains whose age a response reports
	maxDomainStatuses = 1  // failure domains whose status a response reports
	maxOutageReports  = 64 // outage reports
)

// Request is the request of an exchange.
type Request struct {
	From Record
	// Revision is the revision in force at the requester. List is the newest revision
	// whose file list it has. Want holds hashes of contents that it lacks.
	Revision uint64
	List     uint64
	Want     []string
	Tally    Tally
	News     []Record
	// Page is the number of records of the membership table that the requester asks
	// for, starting after the address After.
	After string
	Page  int
	// Doubt is the address of a silent member that the receiver is to probe on behalf
	// of the requester. Vouch is the address of a member that the requester has just
	// heard, in reply to such a probe by the receiver.
	Doubt string
	Vouch string
}

// Response is the response of an exchange.
type Response struct {
	From     Record
	Revision uint64
	// Confirmed says that at the time Age before this response no revision above
	// Confirmed.Revision had been accepted. That revision is 0 if there is no such
	// confirmation.
	Confirmed Confirmation
	Outages   []OutageReport
	News      []Record
	// Page holds the requested records of the membership table. Next is the address to
	// continue from, or empty after the last page.
	Page     []Record
	Next     string
	Ages     []DomainAge
	Statuses []DomainStatus
	// Vouch is the address that the request names in Doubt, if the responder has heard
	// that member recently.
	Vouch  string
	Update *Update
}

// Confirmation is a store's response about the head as a peer relays it.
type Confirmation struct {
	Revision uint64
	Age      time.Duration
}

// OutageReport is a watcher's report of a failed store call as a peer relays it.
type OutageReport struct {
	Watcher string
	Domain  string
	Age     time.Duration
}

// Tally counts instances: those of a subtree of the relay tree in a request, and those
// of a failure domain in its status.
type Tally struct {
	Live  int
	Ready int
	// Lowest is the lowest revision in force at any of the instances. It is 0 if an
	// instance has no configuration.
	Lowest uint64
}

// add returns the tally of two disjoint sets of instances.
func (t Tally) add(o Tally) Tally {
	if t.Live == 0 {
		return o
	}
	if o.Live == 0 {
		return t
	}
	return Tally{t.Live + o.Live, t.Ready + o.Ready, min(t.Lowest, o.Lowest)}
}

// DomainAge is the time since any instance of a failure domain was last heard.
type DomainAge struct {
	Domain string
	Age    time.Duration
}

// DomainStatus is the last known status of a failure domain, with its age.
type DomainStatus struct {
	DomainAge
	Tally
}

// Effect is an action that the adapter performs for the Agent. It is one of the types
// below.
type Effect interface{ effect() }

// Send sends a request to a peer. The adapter passes the response, or the error, to
// HandleResponse with the time of sending.
type Send struct {
	To      string
	Request Request
}

// Poll asks the store for a head newer than Since and waits up to Wait for it. The
// adapter passes the result to HandlePollResult with the time of sending.
type Poll struct {
	Since uint64
	Wait  time.Duration
}

// Fetch reads the contents with this hash from the store. The adapter passes the result
// to HandleFetchResult.
type Fetch struct{ Hash string }

// ReadPlatformList reads the platform's list of instances. The adapter passes the
// result to HandlePlatformList.
type ReadPlatformList struct{}

// WriteStatus writes the status of a failure domain to the store as status/DOMAIN. The
// Agent does not wait for the result.
type WriteStatus struct {
	Domain string
	Status Status
}

// Status is the status of a failure domain as it is stored. Writer is the peer address
// of the instance that wrote it.
type Status struct {
	Tally
	Writer string
}

// Install puts a configuration into force.
type Install struct{ Config config.Config }

// Reject reports a revision that this instance cannot read. The instance keeps the
// earlier revision, which is no longer confirmed.
type Reject struct {
	Revision uint64
	Faults   []config.Fault
}

func (Send) effect()             {}
func (Poll) effect()             {}
func (Fetch) effect()            {}
func (ReadPlatformList) effect() {}
func (WriteStatus) effect()      {}
func (Install) effect()          {}
func (Reject) effect()           {}

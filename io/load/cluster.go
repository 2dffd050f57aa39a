package load

// A cluster runs the instances of a deployment, in this process or in processes of their
// own.

import (
	"context"
	"encoding/json"
	"net/http"

	"burdockseam/io/fleet"
	"burdockseam/io/instance"
)

// Endpoint holds the name, the failure domain and the addresses of an instance.
type Endpoint struct {
	Name, Domain, Listen, Peer, Operator string
}

// Cluster starts, pauses and ends instances.
type Cluster interface {
	// Endpoints returns the running instances.
	Endpoints() []Endpoint
	// Add starts one more instance in a failure domain.
	Add(ctx context.Context, domain string) error
	// Stop shuts an instance down gracefully, Kill ends it without draining it. Both
	// return when it has ended.
	Stop(name string) error
	Kill(name string) error
	// SetPaused pauses an instance's process, or resumes it.
	SetPaused(name string, on bool) error
	// Close ends the instances that the cluster started in other processes.
	Close()
}

// inProcessCluster is a cluster whose instances run in this process.
type inProcessCluster struct{ f *fleet.Fleet }

// Endpoints implements Cluster.
func (p inProcessCluster) Endpoints() []Endpoint {
	var list []Endpoint
	for _, m := range p.f.Members() {
		list = append(list, endpoint(m.Settings()))
	}
	return list
}

func endpoint(s instance.Settings) Endpoint {
	return Endpoint{Name: s.Name, Domain: s.Domain, Listen: s.Listen, Peer: s.Peer, Operator: s.Operator}
}

// Add implements Cluster.
func (p inProcessCluster) Add(ctx context.Context, domain string) error {
	_, err := p.f.Add(ctx, domain)
	return err
}

// Stop implements Cluster.
func (p inProcessCluster) Stop(name string) error { return p.endMember(name, p.f.Stop) }

// Kill implements Cluster.
func (p inProcessCluster) Kill(name string) error { return p.endMember(name, p.f.Kill) }

// endMember ends the instance with the name by the given function.
func (p inProcessCluster) endMember(name string, end func(*fleet.Member) error) error {
	for _, m := range p.f.Members() {
		if m.Settings().Name == name {
			return end(m)
		}
	}
	return Error.New("no running instance is named %s", name)
}

// SetPaused implements Cluster.
func (inProcessCluster) SetPaused(string, bool) error {
	return Error.New("an instance in this process cannot be paused; use --processes")
}

// Close implements Cluster.
func (inProcessCluster) Close() {}

// fetchStatus reads the status of an instance from its operators' port.
func fetchStatus(ctx context.Context, e Endpoint) (instance.Status, error) {
	var s instance.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Operator+"/status", nil)
	if err != nil {
		return s, Error.Wrap(err)
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, Error.Wrap(err)
	}
	defer r.Body.Close()
	return s, Error.Wrap(json.NewDecoder(r.Body).Decode(&s))
}

// Package upstreamtest provides a stand-in for a replicated database group. It speaks
// the PostgreSQL wire protocol 3.0 on loopback, offers the control functions that
// docs/platform.md describes, and has faults that tests can inject while it runs.
package upstreamtest

import (
	"fmt"
	"net"
	"sync"
	"time"

	"burdockseam/core/wal"
)

// Options configures a group. Zero fields take the defaults given in parentheses.
type Options struct {
	// Name is the prefix of the upstream names ("db"): db-1, db-2 and so on.
	Name string
	// Upstreams is the number of upstreams (3). The first one is the primary of term 1.
	Upstreams int
	// Slots is the number of statements that execute at the same time (16).
	Slots int
	// Connections is the number of connections that an upstream accepts (100).
	// Connections to ControlDatabase are not counted.
	Connections int
	// User and Password are the accepted credentials ("proxy", "secret").
	User, Password string
	// OpenTime is how long opening a connection takes.
	OpenTime time.Duration
	// ExecTime is how long a statement executes.
	ExecTime time.Duration
	// Latency is the one-way network latency; see SetLatency.
	Latency time.Duration
	// Lag is the minimum age at which a replica replicates an entry.
	Lag time.Duration
	// RecordLimit bounds the statement texts, and likewise the startup parameters, that
	// each upstream records in its Stats (10000).
	RecordLimit int
	// Unpromoted starts the group without a primary: all upstreams are replicas of term
	// 0.
	Unpromoted bool
}

// ControlDatabase is the database name of control connections, which accept only the
// control functions.
const ControlDatabase = "group_control"

// Group is a running group of replicated upstreams.
type Group struct {
	options   Options
	upstreams []*Upstream
	closed    chan struct{}
	once      sync.Once
	done      sync.WaitGroup
}

// setDefault sets *v to d if it has the zero value.
func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// New starts a group. It panics if it cannot listen on a loopback port.
func New(o Options) *Group {
	setDefault(&o.Name, "db")
	setDefault(&o.Upstreams, 3)
	setDefault(&o.Slots, 16)
	setDefault(&o.Connections, 100)
	setDefault(&o.User, "proxy")
	setDefault(&o.Password, "secret")
	setDefault(&o.RecordLimit, 10000)
	g := &Group{options: o, closed: make(chan struct{})}
	for i := range o.Upstreams {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(fmt.Sprintf("upstreamtest: listen on a loopback port: %v", err))
		}
		u := &Upstream{
			group:        g,
			name:         fmt.Sprintf("%s-%d", o.Name, i+1),
			addr:         l.Addr().String(),
			slots:        make(chan struct{}, o.Slots),
			changed:      make(chan struct{}),
			tables:       tables{},
			locks:        map[string]*transaction{},
			transactions: map[*transaction]struct{}{},
			conns:        map[*conn]struct{}{},
			listener:     l,
		}
		u.faults.changed = make(chan struct{})
		u.faults.timing = timing{lag: o.Lag, exec: o.ExecTime, open: o.OpenTime, latency: o.Latency}
		u.stats.executions = map[string]int{}
		g.upstreams = append(g.upstreams, u)
	}
	if !o.Unpromoted {
		first := g.upstreams[0]
		for _, u := range g.upstreams {
			u.fencedTerm = 1
			if u != first {
				u.following = first.addr
			}
		}
		first.promotedTerm = 1
		first.append(nil)
	}
	for _, u := range g.upstreams {
		g.done.Add(2)
		go u.acceptConnections()
		go u.replicate()
	}
	return g
}

// Close stops the group and waits for its goroutines.
func (g *Group) Close() {
	g.once.Do(func() {
		close(g.closed)
		for _, u := range g.upstreams {
			u.listener.Close()
			u.mu.Lock()
			for c := range u.conns {
				c.kill()
			}
			u.mu.Unlock()
		}
	})
	g.done.Wait()
}

// Upstreams returns the group's upstreams in the order of their numbers.
func (g *Group) Upstreams() []*Upstream { return g.upstreams }

// Upstream returns the upstream with the given name or address, or nil.
func (g *Group) Upstream(name string) *Upstream {
	for _, u := range g.upstreams {
		if u.name == name || u.addr == name {
			return u
		}
	}
	return nil
}

// Primary returns the primary with the highest term, or nil.
func (g *Group) Primary() *Upstream {
	var best *Upstream
	var term uint64
	for _, u := range g.upstreams {
		if st := u.Status(); st.Role == RolePrimary && (best == nil || st.FencedTerm > term) {
			best, term = u, st.FencedTerm
		}
	}
	return best
}

// User returns the accepted user name.
func (g *Group) User() string { return g.options.User }

// Password returns the accepted password.
func (g *Group) Password() string { return g.options.Password }

// upstreamAt returns the upstream with the given address, or nil.
func (g *Group) upstreamAt(addr string) *Upstream {
	for _, u := range g.upstreams {
		if u.addr == addr {
			return u
		}
	}
	return nil
}

// partitioned reports whether replication between a and b is stopped by either of them.
func (g *Group) partitioned(a, b *Upstream) bool {
	for _, p := range [][2]*Upstream{{a, b}, {b, a}} {
		p[0].faults.mu.Lock()
		blocked := p[0].faults.partitionedPeers[p[1]]
		p[0].faults.mu.Unlock()
		if blocked {
			return true
		}
	}
	return false
}

// Status is the replication state of an upstream.
type Status struct {
	Role Role
	// FencedTerm is the highest term that the upstream has been fenced at. It rejects
	// control calls for lower terms and statements of connections with another term.
	FencedTerm uint64
	// Log is the position of the last log entry.
	Log wal.Position
	// Following is the address of the primary that a replica replicates from, or empty.
	Following string
}

// Status returns the state of the upstream, regardless of injected faults.
func (u *Upstream) Status() Status {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.status()
}

// status is Status with u.mu held.
func (u *Upstream) status() Status {
	st := Status{RoleReplica, u.fencedTerm, u.position(), u.following}
	if u.isPrimary() {
		st.Role = RolePrimary
	}
	return st
}

// Offset returns the offset of the last log entry.
func (u *Upstream) Offset() uint64 { return u.Status().Log.Offset }

// Log returns the positions of all log entries.
func (u *Upstream) Log() []wal.Position {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]wal.Position, len(u.log))
	for i, e := range u.log {
		out[i] = e.Position
	}
	return out
}

// Rows returns a table's committed rows in the order of insertion, or nil if there is
// no such table. NULL is returned as an empty string.
func (u *Upstream) Rows(table string) [][]string {
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.tables[table]
	if t == nil {
		return nil
	}
	rows, _ := newTransaction().matchRows(t, &statement{table: table}, nil)
	out := make([][]string, len(rows))
	for i, f := range rows {
		for _, c := range f.row {
			out[i] = append(out[i], c.text)
		}
	}
	return out
}

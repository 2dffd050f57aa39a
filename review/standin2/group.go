package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one committed write.
type entry struct{ id, item, data string }

// group is a stand-in for a database service: a primary and two replicas. A commit is
// acknowledged once a replica has received it.
type group struct {
	name  string
	store *store

	mu       sync.Mutex
	servers  []*server
	term     uint64
	changed  chan struct{} // closed when a log, a role or a state changes
	promoted []promotion
}

// promotion is a promotion that has taken effect.
type promotion struct {
	at   time.Time
	id   string
	kept map[string]bool // the writes in the log of the promoted server
}

// server is a stand-in for one backend.
type server struct {
	group    *group
	id, zone string
	address  string
	listener net.Listener
	primary  bool
	down     bool // it does not run
	dark     bool // it is silent
	born     int64
	term     uint64 // of the primary from which it received last, or its own
	paused   uint64 // term for which it does not receive, or 0
	log      []entry
	slots    chan struct{}
	conns    map[net.Conn]bool
	heard    time.Time // when the store last heard of it
}

// Times and sizes of the stand-ins, like those of a small deployment.
const (
	serverSlots    = 2
	promoteTime    = 300 * time.Millisecond
	replicateEvery = 2 * time.Millisecond
	// heartbeat is the time between two heartbeats of a server. An entry lapses after three.
	heartbeat = 1200 * time.Millisecond
	// workTime is the mean time of one statement in a slot.
	workTime = 5 * time.Millisecond
	// queueTime is how long a statement waits for a slot before the answer is BUSY.
	queueTime = 200 * time.Millisecond
	// ackTime is how long a commit waits for a replica before the connection ends.
	ackTime = 4 * time.Second
)

func newGroup(s *store, name string, zones ...string) *group {
	g := &group{name: name, store: s, term: 1, changed: make(chan struct{})}
	for k, zone := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fatal(err)
		}
		v := &server{
			group: g, id: fmt.Sprintf("i-%s-%d", name, k), zone: zone, address: l.Addr().String(), listener: l, term: 1,
			primary: k == 0, born: time.Now().UnixMilli(), slots: make(chan struct{}, serverSlots), conns: make(map[net.Conn]bool),
		}
		g.servers = append(g.servers, v)
		go v.accept()
	}
	g.beat(time.Now())
	go func() {
		for range time.Tick(replicateEvery) {
			g.replicate()
		}
	}()
	go func() {
		for now := range time.Tick(heartbeat / 6) {
			g.beat(now)
		}
	}()
	return g
}

// runs reports whether a server is up and answers. The lock is held.
func (v *server) runs() bool { return !v.down && !v.dark }

// beat writes the entries of the servers whose heartbeat is due or whose role has changed, and
// removes those of servers that were silent for three heartbeats.
func (g *group) beat(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.servers {
		if v.runs() {
			v.heard = now
			g.store.put("servers", v.id, v.entry())
		} else if now.Sub(v.heard) >= 3*heartbeat {
			g.store.remove("servers", v.id)
		}
	}
}

// entry returns the server's entry in the registry. The lock is held.
func (v *server) entry() map[string]any {
	role := "replica"
	if v.primary {
		role = "primary"
	}
	return map[string]any{
		"service": v.group.name, "address": v.address, "zone": v.zone, "version": "v1", "slots": serverSlots,
		"state": "ready", "cold-ms": 0, "db-role": role, "born": v.born,
	}
}

// wake wakes the commits that wait. The lock is held.
func (g *group) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// leader returns the primary, or nil. The lock is held.
func (g *group) leader() *server {
	for _, v := range g.servers {
		if v.primary {
			return v
		}
	}
	return nil
}

// find returns the server with an id, or nil. The lock is held.
func (g *group) find(id string) *server {
	for _, v := range g.servers {
		if v.id == id {
			return v
		}
	}
	return nil
}

// replicate copies the primary's log to the replicas that are not paused.
func (g *group) replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.leader()
	if p == nil || !p.runs() {
		return
	}
	for _, v := range g.servers {
		if v == p || !v.runs() || v.paused > 0 {
			continue
		}
		v.term = p.term
		if len(v.log) != len(p.log) {
			v.log = p.log[:len(p.log):len(p.log)]
			g.wake()
		}
	}
}

// promote makes a server the primary of the next term after promoteTime, with the log that
// it has received. It reports whether the server runs.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	target := g.find(id)
	if target == nil || !target.runs() {
		return false
	}
	if !target.primary {
		time.AfterFunc(promoteTime, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if target.runs() && !target.primary {
				g.lead(target)
			}
		})
	}
	return true
}

// lead changes the roles. Logs that were ahead are rolled back. The lock is held.
func (g *group) lead(target *server) {
	g.term++
	target.term = g.term
	for _, v := range g.servers {
		v.primary, v.paused = v == target, 0
		common := 0
		for common < min(len(v.log), len(target.log)) && v.log[common] == target.log[common] {
			common++
		}
		v.log = v.log[:common:common]
	}
	p := promotion{time.Now(), target.id, make(map[string]bool)}
	for _, e := range target.log {
		p.kept[e.id] = true
	}
	g.promoted = append(g.promoted, p)
	say("promoted service=%s id=%s term=%d log=%d", g.name, target.id, g.term, len(target.log))
	g.wake()
}

// goDark makes a server silent for a time. It comes back with its log.
func (g *group) goDark(v *server, length time.Duration) {
	g.mu.Lock()
	v.dark = true
	g.mu.Unlock()
	say("dark server=%s for=%v", v.id, length)
	time.AfterFunc(length, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		v.dark, v.paused = false, 0
		v.drop()
		say("back server=%s log=%d", v.id, len(v.log))
	})
}

// restart ends a server and starts it again after a time, under its id and holding nothing.
func (g *group) restart(v *server, length time.Duration) {
	g.mu.Lock()
	v.down = true
	v.drop()
	say("ended server=%s log=%d", v.id, len(v.log))
	g.mu.Unlock()
	time.AfterFunc(length, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		v.down, v.paused, v.term, v.log, v.born = false, 0, 0, nil, time.Now().UnixMilli()
		say("started server=%s holding nothing", v.id)
	})
}

// drop closes the connections of a server. The lock is held.
func (v *server) drop() {
	for c := range v.conns {
		c.Close()
	}
	clear(v.conns)
	v.group.wake()
}

// accept serves connections until the process ends.
func (v *server) accept() {
	for {
		c, err := v.listener.Accept()
		if err != nil {
			return
		}
		v.group.mu.Lock()
		full, down := len(v.conns) >= used.connections, v.down
		if !full && !down {
			v.conns[c] = true
		}
		v.group.mu.Unlock()
		switch {
		case down:
			c.Close()
		case full:
			fmt.Fprint(c, "ERROR TOOMANY full\r\n")
			c.Close()
		default:
			go (&serverConn{server: v, conn: c, prepared: make(map[string]string)}).serve()
		}
	}
}

// serverConn is one connection to a server.
type serverConn struct {
	server      *server
	conn        net.Conn
	team        string
	transaction string // "", "write" or "read"
	writes      []entry
	prepared    map[string]string // "READ" or "WRITE" by name
	count       int
}

// serve runs the connection's session.
func (c *serverConn) serve() {
	g, v := c.server.group, c.server
	defer func() {
		c.conn.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(v.conns, c.conn)
	}()
	in := bufio.NewReader(c.conn)
	f := strings.Fields(readLine(in))
	if !v.awaitLight(c) {
		return
	}
	if len(f) < 3 || f[0] != "START" || f[1] != g.name || len(f) > 3 && f[3] != v.id {
		fmt.Fprintf(c.conn, "ERROR MISROUTED %s\r\n", v.id)
		return
	}
	c.team = f[2]
	time.Sleep(used.handshake)
	fmt.Fprint(c.conn, "READY I -\r\n")
	for {
		parts := strings.SplitN(readLine(in), " ", 3)
		time.Sleep(used.link)
		if len(parts) != 3 || parts[0] != "QUERY" || !v.awaitLight(c) {
			return
		}
		answer, ok := c.run(parts[1], parts[2])
		if !ok || !v.awaitLight(c) {
			return
		}
		if _, err := fmt.Fprint(c.conn, answer); err != nil {
			return
		}
	}
}

// awaitLight waits while the server is dark, and reports whether the connection is still open.
func (v *server) awaitLight(c *serverConn) bool {
	for {
		v.group.mu.Lock()
		dark, open := v.dark, v.conns[c.conn]
		v.group.mu.Unlock()
		if !dark || !open {
			return open
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// readLine returns the next line without its CR LF, or "" at the end of the connection. A
// line feed alone is a part of the line.
func readLine(in *bufio.Reader) string {
	line := ""
	for !strings.HasSuffix(line, "\r\n") {
		part, err := in.ReadString('\n')
		if err != nil {
			return ""
		}
		line += part
	}
	return strings.TrimSuffix(line, "\r\n")
}

// run runs one query. The connection ends if ok is false.
func (c *serverConn) run(id, text string) (answer string, ok bool) {
	g, v := c.server.group, c.server
	word, _, _ := strings.Cut(text, " ")
	if id != "-" || word == "STATUS" {
		select {
		case v.slots <- struct{}{}:
		case <-time.After(queueTime):
			g.mu.Lock()
			defer g.mu.Unlock()
			return c.answer("ERROR BUSY full"), true
		}
		time.Sleep(workTime/2 + rand.N(workTime))
		<-v.slots
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		position, statement, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(position, ".")
		t, err := strconv.ParseUint(term, 10, 64)
		n, err2 := strconv.Atoi(number)
		if err != nil || err2 != nil {
			return c.answer("ERROR MALFORMED position"), true
		}
		if text = statement; t > v.term || n > len(v.log) {
			return c.answer("ERROR LAGGING behind"), true
		}
	}
	f := strings.SplitN(text, " ", 4)
	if c.transaction == "write" && !v.primary && f[0] != "ROLLBACK" && (f[0] != "COMMIT" || len(c.writes) > 0) {
		return c.answer("ERROR READONLY " + v.id), true
	}
	if id != "-" {
		return c.runClient(id, f)
	}
	switch {
	case f[0] == "BEGIN" && len(f) > 1:
		c.transaction = "read"
	case f[0] == "BEGIN" && !v.primary:
		return c.answer("ERROR READONLY " + v.id), true
	case f[0] == "BEGIN":
		c.transaction = "write"
	case f[0] == "ROLLBACK":
		c.transaction, c.writes = "", nil
	case f[0] == "PREPARE" && len(f) > 2:
		c.prepared[f[1]] = f[2]
	case f[0] == "DEALLOC" && len(f) > 1:
		delete(c.prepared, f[1])
	case f[0] == "RESET":
		clear(c.prepared)
	case f[0] == "PAUSE" && len(f) > 1, f[0] == "DEMOTE" && len(f) > 1, f[0] == "STATUS":
		return c.control(f)
	case f[0] != "SET":
		return c.answer("ERROR MALFORMED statement"), true
	}
	return c.answer("COMPLETE -"), true
}

// control runs a control statement. The lock is held.
func (c *serverConn) control(f []string) (answer string, ok bool) {
	g, v := c.server.group, c.server
	var term uint64
	if f[0] != "STATUS" {
		var err error
		if term, err = strconv.ParseUint(f[1], 10, 64); err != nil {
			return c.answer("ERROR MALFORMED term"), true
		}
	}
	switch {
	case f[0] == "PAUSE" && !v.primary && term > g.term:
		v.paused = term
	case f[0] == "DEMOTE" && v.primary && term > v.term:
		v.primary = false
	}
	role := "replica"
	if v.primary {
		role = "primary"
	}
	note("control server=%s %s role=%s received=%d.%d", v.id, strings.Join(f, " "), role, v.term, len(v.log))
	return fmt.Sprintf("ROW %s %d %d.%d %d 0 0 %d\r\n", role, g.term, v.term, len(v.log), v.paused, len(v.conns)) + c.answer("COMPLETE -"), true
}

// runClient runs a client's statement. The lock is held.
func (c *serverConn) runClient(id string, f []string) (answer string, ok bool) {
	g, v := c.server.group, c.server
	if f[0] == "EXECUTE" && len(f) > 2 {
		kind, known := c.prepared[f[1]]
		if !known {
			return c.answer("ERROR UNKNOWN " + f[1]), true
		}
		f = append([]string{kind}, f[2:]...)
	}
	if f[0] == "WRITE" && !v.primary {
		return c.answer("ERROR READONLY " + v.id), true
	}
	c.count++
	signature := fmt.Sprintf("%s.%s.%p.%d", v.id, id, c, c.count)
	rows := ""
	switch {
	case f[0] == "READ" && len(f) > 1:
		value := "none"
		for _, e := range append(slices.Clip(v.log), c.writes...) {
			if e.item == f[1] {
				value = e.data
			}
		}
		rows = "ROW " + value + "\r\n"
	case f[0] == "WRITE" && len(f) > 2:
		w := entry{id, f[1], f[2]}
		if c.transaction != "" {
			c.writes = append(c.writes, w)
		} else if !c.commit([]entry{w}) {
			return "", false
		}
	case f[0] == "COMMIT":
		writes := c.writes
		c.transaction, c.writes = "", nil
		if !c.commit(writes) {
			return "", false
		}
	default:
		return c.answer("ERROR MALFORMED statement"), true
	}
	recordRun(runOf{id: id, server: v.id, team: c.team, at: time.Now()})
	note("ran service=%s server=%s tenant=%s id=%s text=%q", g.name, v.id, c.team, id, strings.Join(f, " "))
	return rows + c.answer("COMPLETE "+signature), true
}

// runOf is a run of a client's statement.
type runOf struct {
	id, server, team string
	at               time.Time
}

// runs has all runs of clients' statements.
var runs struct {
	sync.Mutex
	list []runOf
}

func recordRun(r runOf) {
	runs.Lock()
	defer runs.Unlock()
	runs.list = append(runs.list, r)
}

// commit appends writes to the primary's log and waits until a replica has received them.
// The lock is held, and released while it waits.
func (c *serverConn) commit(writes []entry) bool {
	g, v := c.server.group, c.server
	if len(writes) == 0 {
		return true
	}
	v.log = append(slices.Clip(v.log), writes...)
	last, end := writes[len(writes)-1], len(v.log)
	for deadline := time.Now().Add(ackTime); ; {
		if !v.primary || !v.runs() || len(v.log) < end || v.log[end-1] != last || time.Now().After(deadline) {
			return false
		}
		for _, o := range g.servers {
			if o != v && o.runs() && len(o.log) >= end && o.log[end-1] == last {
				return true
			}
		}
		next := g.changed
		g.mu.Unlock()
		select {
		case <-next:
		case <-time.After(100 * time.Millisecond):
		}
		g.mu.Lock()
	}
}

// answer returns the end of an answer. The lock is held.
func (c *serverConn) answer(line string) string {
	state := "I"
	if c.transaction != "" {
		state = "T"
	}
	return fmt.Sprintf("%s\r\nREADY %s %d.%d\r\n", line, state, c.server.term, len(c.server.log))
}

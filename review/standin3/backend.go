package main

// Backends: a service of one primary and its replicas that share a replicated log.

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

type entry struct {
	term           uint64
	id, item, data string
}

// group is a service. Its backends share one lock.
type group struct {
	name  string
	store *store
	rec   *record
	// statement is called with each statement of a client that runs, under the lock.
	statement func(b *backend, id, text string)

	mu       sync.Mutex
	term     uint64
	backends map[string]*backend
	changed  chan struct{}
}

type backend struct {
	g             *group
	id, zone      string
	listener      net.Listener
	primary, down bool
	state         string
	log           []*entry
	applied       int
	held          uint64
	term          uint64
	born          int64
	seq           int
	conns         map[net.Conn]bool
}

const (
	maxConns   = 27
	applyDelay = 20 * time.Millisecond
)

func newGroup(s *store, rec *record, name string) *group {
	g := &group{name: name, store: s, rec: rec, term: 1, backends: make(map[string]*backend), changed: make(chan struct{})}
	s.mu.Lock()
	s.groups[name] = g
	s.mu.Unlock()
	return g
}

// start starts a backend and registers it.
func (g *group) start(id, zone string, primary bool) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{g: g, id: id, zone: zone, listener: l, primary: primary, state: "ready", term: 1, born: time.Now().UnixMilli(), conns: make(map[net.Conn]bool)}
	g.mu.Lock()
	g.backends[id] = b
	g.mu.Unlock()
	go b.serve()
	b.register()
	return b, nil
}

// register writes the backend's entry.
func (b *backend) register() uint64 {
	b.g.mu.Lock()
	role := "replica"
	if b.primary {
		role = "primary"
	}
	b.seq++
	spec := map[string]any{
		"service": b.g.name, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": 4, "state": b.state,
		"cold-ms": 0, "db-role": role, "seq": b.seq, "born": b.born,
	}
	b.g.mu.Unlock()
	return b.g.store.put("servers", b.id, spec)
}

// drain reports that the backend leaves.
func (b *backend) drain() uint64 {
	b.g.mu.Lock()
	b.state = "draining"
	b.g.mu.Unlock()
	return b.register()
}

// stop ends the backend without a word.
func (b *backend) stop() {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	b.down = true
	b.listener.Close()
	for c := range b.conns {
		c.Close()
	}
	b.g.wake()
}

func (g *group) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// lead makes a backend the primary of the next term.
func (g *group) lead(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.backends[id]
	if b == nil || b.down {
		return false
	}
	if b.primary {
		return true
	}
	time.AfterFunc(200*time.Millisecond, func() {
		g.mu.Lock()
		if b.down || b.primary {
			g.mu.Unlock()
			return
		}
		g.term++
		for _, o := range g.backends {
			if o.primary {
				o.applied = len(o.log)
			}
			o.primary, o.held = o == b, 0
			n := 0
			for n < min(len(o.log), len(b.log)) && o.log[n] == b.log[n] {
				n++
			}
			o.log, o.applied = o.log[:n:n], min(o.applied, n)
		}
		b.term, b.applied = g.term, len(b.log)
		g.rec.add("service %s: %s leads term %d with %d commits", g.name, b.id, g.term, len(b.log))
		g.wake()
		g.mu.Unlock()
		for _, o := range g.list() {
			if !o.down {
				o.register()
			}
		}
	})
	return true
}

func (g *group) list() []*backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*backend
	for _, b := range g.backends {
		out = append(out, b)
	}
	return out
}

// replicate hands the primary's log to the replicas. The caller holds the lock.
func (g *group) replicate(p *backend) {
	for _, b := range g.backends {
		if b == p || b.down || b.held > 0 {
			continue
		}
		b.log, b.term = p.log[:len(p.log):len(p.log)], p.term
		n := len(b.log)
		time.AfterFunc(applyDelay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			b.applied = max(b.applied, min(n, len(b.log)))
		})
	}
	g.wake()
}

// follow lets a replica receive all of the primary's log. The caller holds the lock.
func (g *group) follow() {
	for _, p := range g.backends {
		if p.primary && !p.down {
			g.replicate(p)
		}
	}
}

func (b *backend) serve() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.g.mu.Lock()
		full := len(b.conns) >= maxConns
		if !full {
			b.conns[c] = true
		}
		b.g.mu.Unlock()
		if full {
			fmt.Fprintf(c, "ERROR TOOMANY %s\r\n", b.id)
			c.Close()
			continue
		}
		go (&session{b: b, c: c, shapes: make(map[string]string), values: make(map[string]string)}).serve()
	}
}

// session is a connection to a backend.
type session struct {
	b      *backend
	c      net.Conn
	tx     string // "", "write" or "read"
	failed bool
	writes []*entry
	shapes map[string]string
	values map[string]string
	count  int
}

func (s *session) serve() {
	defer func() {
		s.c.Close()
		s.b.g.mu.Lock()
		delete(s.b.conns, s.c)
		s.b.g.mu.Unlock()
	}()
	in := bufio.NewReaderSize(s.c, 1<<16)
	line, err := in.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "START" || f[1] != s.b.g.name || len(f) > 3 && f[3] != s.b.id {
		fmt.Fprintf(s.c, "ERROR MISROUTED %s\r\n", s.b.id)
		return
	}
	s.b.g.mu.Lock()
	hello := s.ready()
	s.b.g.mu.Unlock()
	fmt.Fprint(s.c, hello)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if f[0] != "QUERY" || len(f) != 3 {
			return
		}
		time.Sleep(time.Millisecond)
		s.b.g.mu.Lock()
		answer := ""
		if !s.b.down {
			answer = s.run(f[1], f[2])
		}
		s.b.g.mu.Unlock()
		if answer == "" {
			return
		}
		if _, err := fmt.Fprint(s.c, answer); err != nil {
			return
		}
	}
}

// visible returns the number of commits that reads see.
func (s *session) visible() int {
	if s.b.primary {
		return len(s.b.log)
	}
	return s.b.applied
}

func (s *session) position(n int) string {
	if n == 0 {
		return fmt.Sprintf("%d.0", s.b.term)
	}
	return fmt.Sprintf("%d.%d", s.b.log[n-1].term, n)
}

func (s *session) ready() string {
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.tx != "":
		state = "T"
	}
	return fmt.Sprintf("READY %s %s\r\n", state, s.position(s.visible()))
}

func (s *session) fail(code string) string {
	if s.tx != "" {
		s.failed = true
	}
	return fmt.Sprintf("ERROR %s %s\r\n", code, s.b.id) + s.ready()
}

func (s *session) done(rows ...string) string {
	out := ""
	for _, r := range rows {
		out += "ROW " + r + "\r\n"
	}
	return out + "COMPLETE -\r\n" + s.ready()
}

// run runs a statement and returns its answer. The caller holds the lock.
func (s *session) run(id, text string) string {
	g, b := s.b.g, s.b
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(position, ".")
		t, err := strconv.ParseUint(term, 10, 64)
		n, err2 := strconv.Atoi(number)
		if err != nil || err2 != nil || t > b.term || n > s.visible() {
			return s.fail("LAGGING")
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.failed && word != "ROLLBACK" && word != "COMMIT" {
		return s.fail("MALFORMED")
	}
	switch word {
	case "BEGIN":
		if rest == "" && !b.primary {
			return s.fail("READONLY")
		}
		if s.tx = "write"; rest == "READ" {
			s.tx = "read"
		}
		return s.done()
	case "ROLLBACK":
		s.tx, s.failed, s.writes = "", false, nil
		return s.done()
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return s.done()
	case "RESET":
		clear(s.values)
		clear(s.shapes)
		return s.done()
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.shapes[name] = shape
		return s.done()
	case "DEALLOC":
		if _, ok := s.shapes[rest]; !ok {
			return s.fail("UNKNOWN")
		}
		delete(s.shapes, rest)
		return s.done()
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		term, _ := strconv.ParseUint(rest, 10, 64)
		switch {
		case word == "PAUSE" && !b.primary && term > g.term:
			b.held = max(b.held, term)
		case word == "RESUME":
			b.held = 0
			g.follow()
		case word == "DEMOTE" && b.primary && term > b.term:
			b.primary, b.applied = false, len(b.log)
		}
		role := "replica"
		if b.primary {
			role = "primary"
		}
		return s.done(fmt.Sprintf("%s %d %s %d 0 0 %d", role, b.term, s.position(len(b.log)), b.held, len(b.conns)))
	}
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := s.shapes[name]
		if !ok {
			return s.fail("UNKNOWN")
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = args
	}
	if s.tx == "write" && !b.primary && (word != "COMMIT" || len(s.writes) > 0) || word == "WRITE" && !b.primary {
		return s.fail("READONLY")
	}
	s.count++
	g.statement(b, id, text)
	signature := fmt.Sprintf("COMPLETE %s.%s.%d\r\n", b.id, id, s.count)
	switch word {
	case "READ":
		value := "none"
		for _, e := range b.log[:s.visible()] {
			if e.item == rest {
				value = e.data
			}
		}
		return "ROW " + value + "\r\n" + signature + s.ready()
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		s.writes = append(s.writes, &entry{id: id, item: item, data: data})
		if s.tx != "" {
			return signature + s.ready()
		}
	case "COMMIT":
		if s.failed {
			s.tx, s.failed, s.writes = "", false, nil
			return s.fail("FAILED")
		}
		s.tx = ""
	default:
		return s.fail("MALFORMED")
	}
	writes := s.writes
	s.writes = nil
	for _, w := range writes {
		w.term = b.term
	}
	if len(writes) > 0 && !s.commit(writes) {
		return ""
	}
	return signature + s.ready()
}

// commit appends to the log and waits until one replica has received it.
func (s *session) commit(writes []*entry) bool {
	g, b := s.b.g, s.b
	b.log = append(b.log[:len(b.log):len(b.log)], writes...)
	last, n := writes[len(writes)-1], len(b.log)
	g.replicate(b)
	late := time.After(4 * time.Second)
	for {
		if b.down || len(b.log) < n || b.log[n-1] != last {
			return false
		}
		for _, o := range g.backends {
			if o != b && !o.down && len(o.log) >= n && o.log[n-1] == last {
				return true
			}
		}
		next := g.changed
		g.mu.Unlock()
		ended := false
		select {
		case <-next:
		case <-late:
			ended = true
		}
		g.mu.Lock()
		if ended {
			return false
		}
	}
}

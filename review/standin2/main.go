// Command standin runs the cases of the review that are scripts. It starts instances of the
// project as separate processes, serves the stand-ins for the store, the promoter and the
// servers, plays clients, and checks one rule.
//
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

var (
	began  = time.Now()
	record struct {
		sync.Mutex
		out *bufio.Writer
	}
)

// note writes a line to the record.
func note(format string, args ...any) {
	record.Lock()
	defer record.Unlock()
	fmt.Fprintf(record.out, "%9.4f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func say(format string, args ...any) {
	note(format, args...)
	fmt.Printf("%6.1f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// fatal ends a case that can't run.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	stopInstances()
	os.Exit(exitUnable)
}

// site is the deployment of a case.
type site struct {
	store     *store
	promoter  *promoter
	groups    []*group
	instances []*instance
	trouble   bool
	moved     bool // the first key of the first tenant belongs to the second one
}

// deployment has the figures of a site file. Each zone is a region of its own.
type deployment struct {
	zones, regions  []string
	service         string
	kinds           []routeKind
	apply           int // config-apply-ms
	descriptors     int
	connections     int
	handshake, link time.Duration
	lag             time.Duration
}

// routeKind is a kind of route, with its staleness, time-out and objective in milliseconds.
type routeKind struct {
	prefix, kind            string
	stale, timeout, latency int
}

var (
	ensayo = deployment{
		zones: []string{"cdmx-a", "gdl-a", "mty-a"}, regions: []string{"cdmx", "gdl", "mty"}, service: "salas",
		kinds: []routeKind{{"reserva", "primary", 0, 800, 600}, {"disponibilidad", "bounded", 1500, 1500, 800}, {"ajuste", "read_your_writes", 2500, 800, 1000}},
		apply: 4000, descriptors: 4300, connections: 27, handshake: 27 * time.Millisecond, link: 400 * time.Microsecond, lag: 8 * time.Millisecond,
	}
	// used is the deployment of the case.
	used = &ensayo
)

// instance is a process of the project.
type instance struct {
	name, front, peer, ready string
	dir                      string
	command                  *exec.Cmd
	done                     chan struct{} // closed when the process has ended
}

var running []*instance

// freeAddress returns a loopback address with a free port below the ephemeral ones.
func freeAddress() string {
	for range 10000 {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
	fatal(fmt.Errorf("no free port"))
	return ""
}

var nextPort = 20000 + rand.IntN(9000)

// newSite starts the stand-ins and the instances, and waits until all are ready.
func newSite(trouble bool, groups, instances int) *site {
	s := &site{store: newStore(), trouble: trouble}
	s.promoter = &promoter{tokens: make(map[string]uint64), groups: make(map[string]*group)}
	for k := range groups {
		name := fmt.Sprintf("%s%d", used.service, k)
		g := newGroup(s.store, name, used.zones[k%3], used.zones[(k+1)%3], used.zones[(k+2)%3])
		s.groups = append(s.groups, g)
		s.promoter.groups[name] = g
	}
	s.store.put("config", "main", s.configuration(1))
	storeAddress, promoterAddress := serveHTTP(s.store), serveHTTP(s.promoter)
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal(err)
	}
	for k := range instances {
		i := &instance{name: fmt.Sprintf("front-%d", k), front: freeAddress(), peer: freeAddress(), ready: freeAddress()}
		i.dir = filepath.Join(dir, i.name)
		s.instances = append(s.instances, i)
	}
	for k, i := range s.instances {
		if err := os.MkdirAll(i.dir, 0o700); err != nil {
			fatal(err)
		}
		text := fmt.Sprintf("[instance]\nname = %s\ndomain = %s\nlisten = %s\npeer = %s\noperator = %s\nseeds = %s,%s,%s\n"+
			"[store]\naddress = %s\n[promoter]\naddress = %s\nfencing = true\n"+
			"[limits]\ndescriptors = %d\ndrain = 6s\napply = %dms\noutage = 15000ms\nleave = 7000ms\nevacuate = 5000ms\nspare = 20\n"+
			"[regions]\n%s = %s\n%s = %s\n%s = %s\n",
			i.name, used.zones[k%3], i.front, i.peer, i.ready, s.instances[0].peer, s.instances[1].peer, s.instances[2].peer, storeAddress, promoterAddress,
			used.descriptors, used.apply, used.zones[0], used.regions[0], used.zones[1], used.regions[1], used.zones[2], used.regions[2])
		if err := os.WriteFile(filepath.Join(i.dir, "instance.ini"), []byte(text), 0o600); err != nil {
			fatal(err)
		}
		i.start()
	}
	for _, i := range s.instances {
		for deadline := time.Now().Add(20 * time.Second); !i.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				fatal(fmt.Errorf("instance %s is not ready", i.name))
			}
		}
	}
	for deadline := time.Now().Add(10 * time.Second); s.store.count("burdockseam-instances") < instances; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			fatal(fmt.Errorf("not all instances are registered"))
		}
	}
	say("ready instances=%d services=%d trouble=%t", instances, groups, trouble)
	return s
}

// start runs the command of the deploy file.
func (i *instance) start() {
	logFile, err := os.Create(filepath.Join(i.dir, "log"))
	if err != nil {
		fatal(err)
	}
	i.command = exec.Command("target/burdockseam", "platform")
	i.command.Env = append(os.Environ(), "BURDOCKSEAM_NODE_FILE="+filepath.Join(i.dir, "instance.ini"))
	i.command.Stdout, i.command.Stderr = logFile, logFile
	i.done = make(chan struct{})
	if err := i.command.Start(); err != nil {
		fatal(err)
	}
	running = append(running, i)
	done := i.done
	command := i.command
	go func() {
		err := command.Wait()
		note("exit instance=%s state=%v", i.name, err)
		close(done)
	}()
}

// hasEnded reports whether the process has ended.
func (i *instance) hasEnded() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// isReady asks the instance's readiness probe.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + i.ready + "/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// stopInstances ends all processes that were started.
func stopInstances() {
	for _, i := range running {
		if !i.hasEnded() {
			_ = i.command.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, i := range running {
		<-i.done
		if os.Getenv("KEEP_LOGS") == "" {
			os.RemoveAll(filepath.Dir(i.dir))
		}
	}
}

// configuration returns a configuration with a route of each kind for each service, and
// eight tenants.
func (s *site) configuration(version int) map[string]any {
	var routes, services, tenants []any
	for k, g := range s.groups {
		services = append(services, map[string]any{"name": g.name, "max-conns": used.connections})
		for _, c := range used.kinds {
			routes = append(routes, map[string]any{
				"name": fmt.Sprintf("r-%s%d", c.prefix, k), "host": fmt.Sprintf("%s%d", c.prefix, k), "kind": c.kind, "service": g.name,
				"timeout-ms": c.timeout, "target-latency-ms": c.latency, "max-staleness-ms": c.stale, "priority": 1, "public": false,
			})
		}
	}
	for k := range tenantCount {
		keys := []string{fmt.Sprintf("key%d", k), fmt.Sprintf("spare%d", k)}
		switch {
		case s.moved && k == 0:
			keys = keys[1:]
		case s.moved && k == 1:
			keys = append(keys, "key0")
		}
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant%d", k), "api-keys": keys, "rate-per-s": 2000, "burst": 2000})
	}
	return map[string]any{"version": version, "routes": routes, "services": services, "tenants": tenants, "limits": map[string]any{"tx-idle-ms": 3000}}
}

const tenantCount = 8

// session is a client's session.
type session struct {
	instance *instance
	database string
	name     string
	conn     net.Conn
	reader   *bufio.Reader
	count    int
}

// openSession starts a session.
func openSession(i *instance, database string, tenant int, name string) (*session, error) {
	c, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{instance: i, database: database, name: name, conn: c, reader: bufio.NewReader(c)}
	if err := c.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(c, "START %s key%d\r\n", database, tenant); err != nil {
		c.Close()
		return nil, err
	}
	if line := readLine(s.reader); !strings.HasPrefix(line, "READY") {
		c.Close()
		return nil, fmt.Errorf("start refused: %q", line)
	}
	return s, nil
}

// answer is the end of a request as the client saw it.
type answer struct {
	id      string
	outcome string // the COMPLETE or ERROR message, or "" without a complete answer
	state   string
	rows    []string
	sentAt  time.Time // when the last byte of the request was sent
	endAt   time.Time // when the answer was complete or the connection had ended
	timeout bool      // the client gave up
	err     error
}

// complete reports whether the whole answer arrived.
func (a answer) complete() bool { return a.err == nil }

// query sends a statement and waits for the answer, at most for the given time.
func (s *session) query(text string, patience time.Duration) answer {
	s.count++
	a := answer{id: fmt.Sprintf("%s.%d", s.name, s.count)}
	if a.err = s.conn.SetDeadline(time.Now().Add(patience)); a.err != nil {
		return a
	}
	if _, a.err = fmt.Fprintf(s.conn, "QUERY %s %s\r\n", a.id, text); a.err != nil {
		a.endAt = time.Now()
		return a
	}
	a.sentAt = time.Now()
	note("sent instance=%s database=%s id=%s text=%q", s.instance.name, s.database, a.id, text)
	for {
		var line string
		if line, a.err = s.reader.ReadString('\n'); a.err != nil {
			break
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE", "ERROR":
			a.outcome = word + " " + rest
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			a.endAt = time.Now()
			note("answered id=%s %s state=%s rows=%q", a.id, a.outcome, a.state, a.rows)
			return a
		}
	}
	a.endAt = time.Now()
	if e, ok := a.err.(net.Error); ok && e.Timeout() {
		a.timeout = true
	}
	note("unanswered id=%s after=%v timeout=%t err=%v", a.id, a.endAt.Sub(a.sentAt), a.timeout, a.err)
	return a
}

func (s *session) close() { s.conn.Close() }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitUnable)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitUnable)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnable)
	}
	record.out = bufio.NewWriterSize(file, 1<<16)
	status := run(os.Getenv("TROUBLE") != "0")
	say("exit status %d", status)
	stopInstances()
	record.Lock()
	defer record.Unlock()
	if err := record.out.Flush(); err != nil {
		status = exitUnable
	}
	file.Close()
	os.Exit(status)
}

// cases are the cases by name. Each returns the exit status.
var cases = map[string]func(trouble bool) int{
	"reborn": runReborn,
	"moved":  runMoved,
}

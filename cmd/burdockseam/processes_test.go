package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"burdockseam/core"
	"burdockseam/core/key"
	"burdockseam/io/ctl"
	"burdockseam/io/instance"
	"burdockseam/io/store"
	"burdockseam/io/storetest"
	"burdockseam/io/upstreamtest"
)

// binary is the daemon, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "burdockseam")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "burdockseam")
	code := 1
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
	} else {
		code = m.Run()
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// process is a running daemon.
type process struct {
	*testing.T
	cmd    *exec.Cmd
	name   string
	domain string
	done   chan struct{}

	mu  sync.Mutex
	log bytes.Buffer

	callers, peer, operator string
}

// Write takes the process's log.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// serveFile starts a daemon with a settings file. It is killed with the test.
func serveFile(t *testing.T, name, file string) *process {
	t.Helper()
	p := &process{T: t, name: name, done: make(chan struct{}), cmd: exec.Command(binary, "serve", "--config", file)}
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		// The exit code is read from the command's state.
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		// A process that has ended already gives an error.
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("log of %s:\n%s", p.name, tail(p.text()))
		}
	})
	return p
}

func tail(s string) string { return s[max(0, len(s)-6000):] }

func (p *process) signal(s os.Signal) {
	p.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.Fatal(err)
	}
}

// ended waits for the process's end and returns its exit code.
func (p *process) ended() int {
	p.Helper()
	select {
	case <-p.done:
	case <-time.After(time.Minute):
		p.Fatalf("%s does not end", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// ready returns the answer of /readyz.
func (p *process) ready() (bool, string) {
	res, err := (&http.Client{Timeout: 2 * time.Second}).Get("http://" + p.operator + "/readyz")
	if err != nil {
		return false, err.Error()
	}
	var b bytes.Buffer
	_, err = b.ReadFrom(res.Body)
	if err := res.Body.Close(); err != nil {
		return false, err.Error()
	}
	return res.StatusCode == http.StatusOK && err == nil, b.String()
}

// world is a deployment of real processes with stand-ins for the platform.
type world struct {
	*testing.T
	store  *storetest.Server
	group  *upstreamtest.Group
	client *store.Client
	procs  []*process
	keys   map[string]key.Issued
}

const (
	route   = "halls"
	secret  = "shared"
	started = `instance: started.* callers=(\S+) peer=(\S+) operator=(\S+)`
)

var domains = []string{"a", "b", "c"}

func newWorld(t *testing.T, n int) *world {
	t.Helper()
	w := &world{T: t, store: storetest.New(storetest.Options{}), group: upstreamtest.New(upstreamtest.Options{Name: route}), keys: make(map[string]key.Issued)}
	t.Cleanup(w.store.Close)
	t.Cleanup(w.group.Close)
	w.client = store.New(store.Config{Addr: w.store.Addr(), Name: "test"})
	t.Cleanup(w.client.Close)
	w.configure()
	for i := range n {
		w.add(fmt.Sprintf("i%d", i), domains[i%len(domains)])
	}
	w.publish()
	for _, p := range w.procs {
		w.eventually(p.name+" is ready", func() bool { ok, _ := p.ready(); return ok })
	}
	w.eventually("all quota shards have owners and the group a primary", func() bool {
		f, err := w.ctl().Status(context.Background())
		for _, r := range f.Instances {
			if r.Status == nil || len(r.Status.Owners) < core.Shards || r.Status.Groups[route].Term == 0 {
				return false
			}
		}
		return err == nil && len(f.Instances) == n
	})
	return w
}

// configure applies the first revision: two teams with a key each.
func (w *world) configure() {
	w.Helper()
	var text strings.Builder
	for i, u := range w.group.Upstreams() {
		fmt.Fprintf(&text, "[domain %s]\nregion = r\nstate = in\n[upstream %s]\ngroup = halls\naddress = %s\ndomain = %s\nslots = 8\nconnections = 40\nstate = active\n",
			domains[i], u.Name(), u.Addr(), domains[i])
	}
	text.WriteString("[group halls]\ncredentials = main\n[route halls]\ngroup = halls\nteams = choir, band\n")
	for _, team := range []string{"choir", "band"} {
		k, err := key.Issue(rand.Reader)
		if err != nil {
			w.Fatal(err)
		}
		w.keys[team] = k
		fmt.Fprintf(&text, "[team %s]\nrate = 500/s\nburst = 500\nweight = 1\nconnections = 50\n[key %s]\nteam = %s\nhash = %s\n", team, k.ID, team, k.Hash)
	}
	dir := w.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "all.ini"), []byte(text.String()), 0o600); err != nil {
		w.Fatal(err)
	}
	if _, warning, err := w.ctl().Apply(context.Background(), dir, ctl.NoBase); err != nil || warning != "" {
		w.Fatal(err, warning)
	}
}

func (w *world) ctl() *ctl.Client {
	c := &ctl.Client{Store: w.client.ConfigStore(), Author: "test"}
	for _, p := range w.procs {
		c.Operators = append(c.Operators, p.operator)
	}
	return c
}

func (w *world) add(name, domain string) {
	w.Helper()
	text := fmt.Sprintf("[instance]\nname = %s\ndomain = %s\nlisten = 127.0.0.1:0\nlink = 127.0.0.1:0\npeer = 127.0.0.1:0\noperator = 127.0.0.1:0\n"+
		"secret = %s\ncleartext = allow\n[store]\naddress = %s\n[credentials main]\nuser = %s\npassword = %s\n",
		name, domain, secret, w.store.Addr(), w.group.User(), w.group.Password())
	file := filepath.Join(w.TempDir(), name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		w.Fatal(err)
	}
	p := serveFile(w.T, name, file)
	p.domain = domain
	w.eventually(name+" starts", func() bool {
		m := regexp.MustCompile(started).FindStringSubmatch(p.text())
		if m == nil {
			return false
		}
		p.callers, p.peer, p.operator = m[1], m[2], m[3]
		return true
	})
	w.procs = append(w.procs, p)
}

// publish writes the platform's list.
func (w *world) publish() {
	w.Helper()
	var list []instance.ListedInstance
	for _, p := range w.procs {
		list = append(list, instance.ListedInstance{Address: p.peer, Domain: p.domain})
	}
	data, err := json.Marshal(list)
	if err != nil {
		w.Fatal(err)
	}
	if _, err := w.client.Put(context.Background(), "platform/instances", data, store.AnyVersion); err != nil {
		w.Fatal(err)
	}
}

// eventually waits for a condition, with a bound that only a hang exceeds.
func (w *world) eventually(what string, ok func() bool) {
	w.Helper()
	for limit := time.Now().Add(time.Minute); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			w.Fatalf("did not happen: %s", what)
		}
	}
}

func (w *world) dial(p *process, team string) (*pgx.Conn, error) {
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(team, w.keys[team].Text), Host: p.callers,
		Path: route, RawQuery: "sslmode=disable&default_query_exec_mode=simple_protocol",
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return pgx.Connect(ctx, u.String())
}

func (w *world) connect(p *process, team string) *pgx.Conn {
	w.Helper()
	c, err := w.dial(p, team)
	if err != nil {
		w.Fatal(err)
	}
	w.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		// The connection may have been ended by the test.
		_ = c.Close(ctx)
	})
	return c
}

func (w *world) exec(c *pgx.Conn, sql string) {
	w.Helper()
	if err := try(c, sql); err != nil {
		w.Fatalf("%s: %v", sql, err)
	}
}

func try(c *pgx.Conn, sql string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := c.Exec(ctx, sql)
	return err
}

// insert is a booking of a hall; halls are unique.
func insert(hall string) string {
	return fmt.Sprintf("INSERT INTO bookings (hall, team) VALUES ('%s', 'choir')", hall)
}

// rows counts a hall's rows at the primary.
func (w *world) rows(hall string) int {
	n := 0
	for _, row := range w.group.Primary().Rows("bookings") {
		if row[0] == hall {
			n++
		}
	}
	return n
}

// wantRows waits until the hall has the number of rows at the primary.
func (w *world) wantRows(hall string, n int) {
	w.Helper()
	if got := w.rows(hall); got != n {
		w.Errorf("hall %s has %d rows, want %d", hall, got, n)
	}
}

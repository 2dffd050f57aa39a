package main

// The record, the instances and the clients.

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var zones = []string{"cdmx-a", "gdl-a", "mty-a"}

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *bufio.Writer
	close func() error
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: bufio.NewWriter(f), close: f.Close}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

func (r *record) finish() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.file.Flush(), r.close())
}

// instance is a process of the proxy.
type instance struct {
	name, zone, front, peer, ready, path string
	cmd                                  *exec.Cmd
	done                                 chan struct{}
}

// freeAddresses returns loopback addresses whose ports are free. They lie below the ephemeral
// ports, so that no other socket takes them between two runs of a process.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for port := 12000 + os.Getpid()%6*1000; len(out) < n && port < 19000; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		out = append(out, l.Addr().String())
		l.Close()
	}
	if len(out) < n {
		return nil, errors.New("too few free ports")
	}
	return out, nil
}

// newInstances writes the settings of n instances, as deploy/instance.ini renders them for the
// settings of a process in `fleetbench wire` on ensayo-abierto.
func newInstances(n int, folder, storeAddress string) ([]*instance, error) {
	addresses, err := freeAddresses(3 * n)
	if err != nil {
		return nil, err
	}
	var out []*instance
	var seeds []string
	for k := range min(n, 3) {
		seeds = append(seeds, addresses[3*k+1])
	}
	for k := range n {
		a := addresses[3*k:]
		in := &instance{name: fmt.Sprintf("front-%s-%d", zones[k%3], 1+k/3), zone: zones[k%3], front: a[0], peer: a[1], ready: a[2]}
		in.path = filepath.Join(folder, in.name+".ini")
		text := fmt.Sprintf(`[instance]
name = %s
domain = %s
listen = %s
peer = %s
operator = %s
seeds = %s
contracts = base,drain,config,cost,recover,sql,tenants,quota,places,platform

[store]
address = %s

[promoter]
address = %s
fencing = true

[limits]
descriptors = 4300
drain = 6s
apply = 4000ms
outage = 15000ms
leave = 7000ms
evacuate = 5000ms
spare = 20

[usage]

[regions]
cdmx-a = cdmx
gdl-a = gdl
mty-a = mty
`, in.name, in.zone, in.front, in.peer, in.ready, strings.Join(seeds, ","), storeAddress, storeAddress)
		if err := os.WriteFile(in.path, []byte(text), 0o600); err != nil {
			return nil, err
		}
		out = append(out, in)
	}
	return out, nil
}

// start starts the process with the command of the deploy file. Its log goes to a file beside
// its settings.
func (in *instance) start(rec *record) error {
	f, err := os.OpenFile(in.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	in.cmd = exec.Command("target/burdockseam", "platform")
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BURDOCKSEAM_NODE_FILE=" + in.path}
	in.cmd.Stdout, in.cmd.Stderr = f, f
	if err := in.cmd.Start(); err != nil {
		return err
	}
	rec.add("%s: started", in.name)
	done := make(chan struct{})
	in.done = done
	cmd := in.cmd
	go func() {
		err := cmd.Wait()
		rec.add("%s: ended: %v", in.name, err)
		close(done)
	}()
	return nil
}

// kill ends the process with SIGKILL.
func (in *instance) kill() {
	if in.cmd == nil || in.cmd.Process == nil {
		return
	}
	_ = in.cmd.Process.Kill()
	<-in.done
}

// awaitReady waits until the instance reports itself ready.
func (in *instance) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + in.ready + "/ready")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// client runs single statements in sessions at one instance.
type client struct {
	rec       *record
	name      string
	in        *instance
	database  string
	key       string
	writes    bool
	pause     time.Duration
	succeeded atomic.Int64
	failed    atomic.Int64
}

func (c *client) run(stop <-chan struct{}) {
	for n := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(c.pause):
		}
		conn, err := net.DialTimeout("tcp", c.in.front, time.Second)
		if err != nil {
			c.failed.Add(1)
			continue
		}
		c.session(conn, stop, &n)
		conn.Close()
	}
}

// session runs statements until one has no success.
func (c *client) session(conn net.Conn, stop <-chan struct{}, n *int) {
	in := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "START %s %s\r\n", c.database, c.key)
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		c.failed.Add(1)
		c.rec.add("%s: start: %q %v", c.name, line, err)
		return
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(c.pause):
		}
		*n++
		id, text := fmt.Sprintf("%s.%d", c.name, *n), fmt.Sprintf("READ item%d", *n%7)
		if c.writes && *n%3 == 0 {
			text = fmt.Sprintf("WRITE item%d value%d", *n%7, *n)
		}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		c.rec.add("%s: sent %s %s", c.name, id, text)
		fmt.Fprintf(conn, "QUERY %s %s\r\n", id, text)
		ok, lines := false, []string{}
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				c.failed.Add(1)
				c.rec.add("%s: answer to %s: %q %v", c.name, id, lines, err)
				return
			}
			line = strings.TrimRight(line, "\r\n")
			lines = append(lines, line)
			ok = ok || strings.HasPrefix(line, "COMPLETE ")
			if strings.HasPrefix(line, "READY") {
				break
			}
		}
		c.rec.add("%s: answer to %s: %q", c.name, id, lines)
		if !ok {
			c.failed.Add(1)
			return
		}
		c.succeeded.Add(1)
	}
}

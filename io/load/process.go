package load

// Instances in processes of their own. Each process is ended by its id, however the run
// ends.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"gopkg.in/ini.v1"

	"burdockseam/io/fleet"
	"burdockseam/io/instance"
)

// startTimeout bounds the time until a new process logs its addresses.
const startTimeout = 10 * time.Second

// processCluster is a cluster whose instances run as daemons in processes of their own.
type processCluster struct {
	f      *fleet.Fleet
	binary string // the daemon's executable
	dir    string // of the instances' settings files; removed by Close
	// settings, if not nil, changes an instance's settings before it starts.
	settings func(*instance.Settings)
	// publish writes the list of running instances to the store.
	publish func([]instance.ListedInstance) error

	mu     sync.Mutex
	serial int // number of instances started so far; part of their names
	list   []*process
}

// process is one daemon.
type process struct {
	Endpoint
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error
}

func newProcesses(f *fleet.Fleet, binary string, settings func(*instance.Settings), publish func([]instance.ListedInstance) error) (*processCluster, error) {
	dir, err := os.MkdirTemp("", "burdockload-")
	return &processCluster{f: f, binary: binary, dir: dir, settings: settings, publish: publish}, Error.Wrap(err)
}

// Endpoints implements Cluster.
func (p *processCluster) Endpoints() []Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Endpoint, len(p.list))
	for i, x := range p.list {
		list[i] = x.Endpoint
	}
	return list
}

// Add implements Cluster.
func (p *processCluster) Add(ctx context.Context, domain string) error {
	p.mu.Lock()
	p.serial++
	s := instance.Settings{Name: fmt.Sprintf("%s-%d", domain, p.serial), Domain: domain, Acks: instance.AckMajority}
	for _, x := range p.list {
		s.Seeds = append(s.Seeds, x.Peer)
	}
	p.mu.Unlock()
	if p.settings != nil {
		p.settings(&s)
	}
	path := filepath.Join(p.dir, s.Name+".ini")
	if err := p.writeSettings(path, s); err != nil {
		return err
	}
	// The command does not get ctx: the end of the run must not kill a process before it
	// is drained.
	x := &process{cmd: exec.Command(p.binary, "serve", "--config", path), done: make(chan struct{})}
	// The kernel kills the process if the load tool itself is killed.
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	x.Name, x.Domain = s.Name, domain
	out, err := x.cmd.StderrPipe()
	if err != nil {
		return Error.Wrap(err)
	}
	if err := x.cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	p.mu.Lock()
	p.list = append(p.list, x)
	p.mu.Unlock()
	started := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if strings.Contains(lines.Text(), "instance: started") {
				started <- lines.Text()
				break
			}
		}
		// The rest of the log is discarded, since the process would block on a full pipe.
		_, _ = io.Copy(io.Discard, out)
		x.err = x.cmd.Wait()
		close(x.done)
	}()
	select {
	case line := <-started:
		p.mu.Lock()
		x.Listen, x.Peer, x.Operator = logField(line, "callers"), logField(line, "peer"), logField(line, "operator")
		p.mu.Unlock()
	case <-x.done:
		return Error.New("instance %s ended before it logged its addresses: %v", s.Name, x.err)
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-time.After(startTimeout):
		return Error.New("instance %s did not log its addresses in time", s.Name)
	}
	return p.publishEndpoints()
}

// logField returns the value of a key in a log line, or "".
func logField(line, name string) string {
	m := regexp.MustCompile(`\b` + name + `=(\S+)`).FindStringSubmatch(line)
	if m == nil {
		return ""
	}
	return strings.Trim(m[1], `"`)
}

// writeSettings writes the settings file of an instance.
func (p *processCluster) writeSettings(path string, s instance.Settings) error {
	file := ini.Empty()
	group := p.f.Groups[p.f.Deployment.Groups[0]]
	for _, v := range [][3]string{
		{"instance", "name", s.Name},
		{"instance", "domain", s.Domain},
		{"instance", "listen", "127.0.0.1:0"},
		{"instance", "link", "127.0.0.1:0"},
		{"instance", "peer", "127.0.0.1:0"},
		{"instance", "operator", "127.0.0.1:0"},
		{"instance", "secret", fleetSecret},
		{"instance", "cleartext", "allow"},
		{"instance", "seeds", strings.Join(s.Seeds, " ")},
		{"store", "address", p.f.Store.Addr()},
		{"baseline", "reads", string(s.Reads)},
		{"baseline", "queue", string(s.Queue)},
		{"baseline", "acks", string(s.Acks)},
		{"credentials main", "user", group.User()},
		{"credentials main", "password", group.Password()},
	} {
		if v[2] == "" {
			continue
		}
		if _, err := file.Section(v[0]).NewKey(v[1], v[2]); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(file.SaveTo(path))
}

// publishEndpoints publishes the list of running instances.
func (p *processCluster) publishEndpoints() error {
	var list []instance.ListedInstance
	for _, e := range p.Endpoints() {
		list = append(list, instance.ListedInstance{Address: e.Peer, Domain: e.Domain})
	}
	return p.publish(list)
}

// find returns the process of the instance with the name.
func (p *processCluster) find(name string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.list {
		if x.Name == name {
			return x, nil
		}
	}
	return nil, Error.New("no running instance is named %s", name)
}

// Stop implements Cluster.
func (p *processCluster) Stop(name string) error { return p.signalAndWait(name, syscall.SIGTERM) }

// Kill implements Cluster.
func (p *processCluster) Kill(name string) error { return p.signalAndWait(name, syscall.SIGKILL) }

// signalAndWait sends the signal to an instance's process, waits until the process has
// ended and removes it.
func (p *processCluster) signalAndWait(name string, sig syscall.Signal) error {
	x, err := p.find(name)
	if err != nil {
		return err
	}
	if err := x.cmd.Process.Signal(sig); err != nil {
		return Error.Wrap(err)
	}
	<-x.done
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.list {
		if other == x {
			p.list = append(p.list[:i], p.list[i+1:]...)
			break
		}
	}
	return nil
}

// SetPaused implements Cluster.
func (p *processCluster) SetPaused(name string, on bool) error {
	x, err := p.find(name)
	if err != nil {
		return err
	}
	if on {
		return Error.Wrap(x.cmd.Process.Signal(syscall.SIGSTOP))
	}
	return Error.Wrap(x.cmd.Process.Signal(syscall.SIGCONT))
}

// Close implements Cluster. It kills the remaining processes and removes their settings.
func (p *processCluster) Close() {
	for _, e := range p.Endpoints() {
		// An error means that the process has ended already.
		_ = p.Kill(e.Name)
	}
	_ = os.RemoveAll(p.dir)
}

package load

// Instances in processes of their own. Each is ended by its id, on every way out.

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

// startTime bounds the time until a process names its addresses.
const startTime = 10 * time.Second

// processes is a cluster of daemons.
type processes struct {
	f      *fleet.Fleet
	binary string
	dir    string
	// settings changes an instance's settings before it starts.
	settings func(*instance.Settings)
	publish  func([]instance.ListedInstance) error

	mu     sync.Mutex
	serial int
	list   []*process
}

type process struct {
	Endpoint
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error
}

func newProcesses(f *fleet.Fleet, binary string, settings func(*instance.Settings), publish func([]instance.ListedInstance) error) (*processes, error) {
	dir, err := os.MkdirTemp("", "burdockload-")
	return &processes{f: f, binary: binary, dir: dir, settings: settings, publish: publish}, Error.Wrap(err)
}

// Endpoints implements Cluster.
func (p *processes) Endpoints() []Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Endpoint, len(p.list))
	for i, x := range p.list {
		list[i] = x.Endpoint
	}
	return list
}

// Add implements Cluster.
func (p *processes) Add(ctx context.Context, domain string) error {
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
	if err := p.write(path, s); err != nil {
		return err
	}
	// The context of a run must not end a process before it was drained.
	x := &process{cmd: exec.Command(p.binary, "serve", "--config", path), done: make(chan struct{})}
	// The kernel ends the process if this one is killed and cannot.
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
		// The log is not used further; reading on keeps the process from blocking.
		_, _ = io.Copy(io.Discard, out)
		x.err = x.cmd.Wait()
		close(x.done)
	}()
	select {
	case line := <-started:
		p.mu.Lock()
		x.Listen, x.Peer, x.Operator = field(line, "callers"), field(line, "peer"), field(line, "operator")
		p.mu.Unlock()
	case <-x.done:
		return Error.New("instance %s ended at once: %v", s.Name, x.err)
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-time.After(startTime):
		return Error.New("instance %s did not start in time", s.Name)
	}
	return p.publishList()
}

// field returns a value of a log line.
func field(line, name string) string {
	m := regexp.MustCompile(`\b` + name + `=(\S+)`).FindStringSubmatch(line)
	if m == nil {
		return ""
	}
	return strings.Trim(m[1], `"`)
}

// write makes the settings file of an instance.
func (p *processes) write(path string, s instance.Settings) error {
	file := ini.Empty()
	group := p.f.Groups[p.f.Deployment.Groups[0]]
	for _, v := range [][3]string{
		{"instance", "name", s.Name},
		{"instance", "domain", s.Domain},
		{"instance", "listen", "127.0.0.1:0"},
		{"instance", "link", "127.0.0.1:0"},
		{"instance", "peer", "127.0.0.1:0"},
		{"instance", "operator", "127.0.0.1:0"},
		{"instance", "secret", secret},
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

// publishList writes the platform's list of instances.
func (p *processes) publishList() error {
	var list []instance.ListedInstance
	for _, e := range p.Endpoints() {
		list = append(list, instance.ListedInstance{Address: e.Peer, Domain: e.Domain})
	}
	return p.publish(list)
}

func (p *processes) find(name string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.list {
		if x.Name == name {
			return x, nil
		}
	}
	return nil, Error.New("there is no instance %s", name)
}

// Stop implements Cluster.
func (p *processes) Stop(name string) error { return p.end(name, syscall.SIGTERM) }

// Kill implements Cluster.
func (p *processes) Kill(name string) error { return p.end(name, syscall.SIGKILL) }

func (p *processes) end(name string, sig syscall.Signal) error {
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

// Pause implements Cluster.
func (p *processes) Pause(name string, on bool) error {
	x, err := p.find(name)
	if err != nil {
		return err
	}
	if on {
		return Error.Wrap(x.cmd.Process.Signal(syscall.SIGSTOP))
	}
	return Error.Wrap(x.cmd.Process.Signal(syscall.SIGCONT))
}

// Close ends all processes that are left.
func (p *processes) Close() {
	for _, e := range p.Endpoints() {
		// A process that has ended by itself is what is wanted.
		_ = p.Kill(e.Name)
	}
	_ = os.RemoveAll(p.dir)
}

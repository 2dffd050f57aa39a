package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryLimit = 284 << 20 // memory-mb
	// restartAfter is the time after which the platform starts a process again that has ended.
	restartAfter = time.Second
)

// residentSize returns the memory of a process in bytes.
func residentSize(pid int) int {
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	f := strings.Fields(string(b))
	if err != nil || len(f) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(f[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// memoryWatch kills processes that exceed their memory, as the platform does, and starts them
// again.
type memoryWatch struct {
	w     *world
	mu    sync.Mutex
	peaks map[string]int
	kills map[string]int
	ended bool
	group sync.WaitGroup
}

func (m *memoryWatch) run(in *instance) {
	defer m.group.Done()
	for {
		time.Sleep(10 * time.Millisecond)
		size := residentSize(in.cmd.Process.Pid)
		m.mu.Lock()
		m.peaks[in.name] = max(m.peaks[in.name], size)
		if size > memoryLimit {
			m.kills[in.name]++
		}
		ended := m.ended
		m.mu.Unlock()
		if ended {
			return
		}
		if size > memoryLimit {
			m.w.rec.add("platform: %s has %d MB, over the limit of %d MB: killed", in.name, size>>20, memoryLimit>>20)
			in.kill()
			time.Sleep(restartAfter)
			if err := in.start(m.w.rec); err != nil {
				m.w.rec.add("%s: %v", in.name, err)
				return
			}
		}
	}
}

// sessions opens long and mostly idle sessions at two instances, each with prepared statements.
// Without trouble, the sessions prepare nothing.
func sessions(w *world) (verdict, error) {
	count, statements, size := number("SESSIONS", 60), number("STATEMENTS", 1000), number("SIZE", 4000)
	if !w.trouble {
		statements = 0
	}
	w.startClients()
	m := &memoryWatch{w: w, peaks: make(map[string]int), kills: make(map[string]int)}
	for _, in := range w.instances {
		m.group.Add(1)
		go m.run(in)
	}
	time.Sleep(2 * time.Second)
	var opened, prepared, refused atomic.Int64
	var group sync.WaitGroup
	stop := make(chan struct{})
	for _, in := range w.instances[:2] {
		for range count {
			group.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(500*time.Millisecond + rand.N(time.Second)):
					}
					n, err := idleSession(w, in, statements, size, stop)
					prepared.Add(int64(n))
					opened.Add(1)
					if err != nil {
						refused.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(time.Duration(number("SECONDS", 45)) * time.Second)
	close(stop)
	group.Wait()
	m.mu.Lock()
	m.ended = true
	m.mu.Unlock()
	m.group.Wait()
	close(w.stop)
	time.Sleep(time.Second)
	machines, total := 0, 0
	for _, in := range w.instances {
		w.rec.add("%s: peak %d MB, killed %d times", in.name, m.peaks[in.name]>>20, m.kills[in.name])
		if total += m.kills[in.name]; m.kills[in.name] >= 3 {
			machines++
		}
	}
	w.rec.add("sessions opened %d, ended early %d, statements prepared %d; kills %d, machines with three %d", opened.Load(), refused.Load(), prepared.Load(), total, machines)
	if machines >= 2 {
		return broken, nil
	}
	return held, nil
}

func number(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// idleSession opens a session, prepares statements and waits until the session ends. It returns
// the number of statements.
func idleSession(w *world, in *instance, statements, size int, stop <-chan struct{}) (int, error) {
	conn, err := net.DialTimeout("tcp", in.front, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "START bounded-%s %s\r\n", w.groups[0].name, key)
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return 0, errors.New("no READY")
	}
	shape := strings.Repeat("q", size)
	for n := range statements {
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprintf(conn, "QUERY p%d PREPARE s%d READ %s\r\n", n, n, shape)
		for {
			line, err := r.ReadString('\n')
			if err != nil || strings.HasPrefix(line, "ERROR") {
				return n, errors.New("not prepared")
			}
			if strings.HasPrefix(line, "READY") {
				break
			}
		}
	}
	_ = conn.SetDeadline(time.Time{})
	gone := make(chan struct{})
	go func() {
		_, _ = r.ReadByte()
		close(gone)
	}()
	select {
	case <-gone:
		return statements, errors.New("session ended")
	case <-stop:
		conn.Close()
		<-gone
		return statements, nil
	}
}

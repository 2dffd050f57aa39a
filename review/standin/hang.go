package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The figures of the case "hang".
const (
	hangWarmUp     = 5 * time.Second
	hangEvery      = 8 * time.Second // between two outages of the primaries
	hangDown       = 6 * time.Second // for which the primaries are silent
	hangRuns       = 9
	clientDeadline = 10 * time.Second
	stableWindow   = 5 * time.Second
	grace          = 6 * time.Second
	lossSlack      = 200 * time.Millisecond
	idleSessions   = 4 // for each instance
)

// envInt returns a number from the environment.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// runHang lets the primaries of the services go dark and come back, again and again, while
// clients read and write. Afterwards, with everything well again, it asks each instance, and
// stops all of them.
func runHang(trouble bool) int {
	workTime = 2 * time.Millisecond
	s := newSite(trouble, 3, 7)
	// Most sessions of clients are long and mostly idle. These send nothing until the end.
	idle := make(map[*instance][]*session)
	for k, i := range s.instances {
		for g := range idleSessions {
			x, err := openSession(i, fmt.Sprintf("disponibilidad%d", g%len(s.groups)), 0, fmt.Sprintf("idle%d-%d", k, g))
			if err != nil {
				fatal(err)
			}
			idle[i] = append(idle[i], x)
		}
	}
	var stop, silent atomic.Bool
	var answered, unanswered atomic.Int64
	var wg sync.WaitGroup
	workers := envInt("WORKERS", 4)
	for k, i := range s.instances {
		for g := range s.groups {
			for c := range kinds {
				sessions := workers
				if c == 1 {
					sessions = envInt("BOUNDED", 60)
				}
				for w := range sessions {
					wg.Go(func() {
						think := 200 * time.Millisecond
						if c == 1 {
							think = 1000 * time.Millisecond
						}
						name := fmt.Sprintf("c%d-%d-%d-%d", k, g, c, w)
						for n := 0; !stop.Load(); n++ {
							x, err := openSession(i, fmt.Sprintf("%s%d", kinds[c].prefix, g), w%tenantCount, fmt.Sprintf("%s-%d", name, n))
							if err != nil {
								time.Sleep(200 * time.Millisecond)
								continue
							}
							for !stop.Load() {
								text := fmt.Sprintf("READ item%d", rand.IntN(100))
								if c != 1 && rand.Float64() < 0.2 {
									text = fmt.Sprintf("WRITE item%d %d", rand.IntN(100), rand.Uint32())
								}
								a := x.query(text, clientDeadline)
								if !a.complete() {
									unanswered.Add(1)
									if a.timeout {
										silent.Store(true)
									}
									break
								}
								answered.Add(1)
								time.Sleep(rand.N(think))
							}
							x.close()
						}
					})
				}
			}
		}
	}
	time.Sleep(hangWarmUp)
	for k := 0; k < hangRuns && !silent.Load(); k++ {
		var down []*server
		for _, g := range s.groups {
			if p := g.primaryServer(); trouble && p != nil {
				say("dark service=%s server=%s", g.name, p.id)
				g.darken(p)
				down = append(down, p)
			}
		}
		time.Sleep(hangDown)
		for _, p := range down {
			p.group.restart(p)
			say("restart service=%s server=%s", p.group.name, p.id)
		}
		time.Sleep(hangEvery - hangDown)
		say("answered=%d unanswered=%d", answered.Load(), unanswered.Load())
	}
	time.Sleep(stableWindow)
	// All servers have been up for longer than the stable window. Each instance is asked on
	// a session that has been idle since the start, and on a new one.
	var probes sync.WaitGroup
	silentOnes := make([]atomic.Bool, len(s.instances))
	for k, i := range s.instances {
		probes.Go(func() {
			a := idle[i][0].query("READ item1", 3*time.Second)
			_, err := openSession(i, "disponibilidad0", 0, fmt.Sprintf("probe%d", k))
			if !a.complete() || err != nil {
				silentOnes[k].Store(true)
				say("instance=%s ready=%t does not answer within 3 s: read: %v; start: %v", i.name, i.isReady(), a.err, err)
			}
		})
	}
	probes.Wait()
	hung := make(map[string]bool)
	for k, i := range s.instances {
		if silentOnes[k].Load() {
			hung[i.name] = true
		}
	}
	stop.Store(true)
	say("answered=%d unanswered=%d hung instances=%d", answered.Load(), unanswered.Load(), len(hung))
	if os.Getenv("DUMP") != "" {
		for _, i := range s.instances {
			if hung[i.name] {
				i.signal(syscall.SIGQUIT)
				time.Sleep(500 * time.Millisecond)
				say("logs in %s", i.dir)
			}
		}
	}
	// All instances are stopped, as when a version is rolled out. Clients that still have an
	// idle session send a request on it.
	for _, i := range s.instances {
		i.signal(syscall.SIGTERM)
	}
	time.Sleep(grace - 600*time.Millisecond)
	var lost atomic.Int64
	for _, i := range s.instances {
		for _, x := range idle[i][1:] {
			wg.Go(func() {
				a := x.query("READ item2", clientDeadline)
				if !a.complete() && !a.timeout && !a.sentAt.IsZero() && a.endAt.Sub(a.sentAt) > lossSlack {
					lost.Add(1)
					say("LOST instance=%s id=%s: the connection ended %v after the request without an answer", i.name, a.id, a.endAt.Sub(a.sentAt))
				}
			})
		}
	}
	time.Sleep(600 * time.Millisecond)
	for _, i := range s.instances {
		if !i.hasEnded() {
			i.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(500 * time.Millisecond)
	say("hung=%d lost=%d", len(hung), lost.Load())
	if lost.Load() > 0 {
		return exitBroken
	}
	return exitHeld
}

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "sigterm".
const (
	sigtermClients    = 12
	sigtermStatements = 12 // of a transaction, with BEGIN and COMMIT
	sigtermPause      = 450 * time.Millisecond
	sigtermGrace      = 6 * time.Second
	routeTimeout      = 800 * time.Millisecond
)

// runSigterm stops one instance while clients are in transactions that last about 7 s. Rule
// LOST: a request that the instance has passed on to a server gets a complete answer.
func runSigterm(trouble bool) int {
	workTime = 150 * time.Millisecond
	queueTime = 400 * time.Millisecond
	s := newSite(trouble, 3, 3)
	stopped := s.instances[1]
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	committed := 0
	for k := range sigtermClients {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 30 * time.Millisecond)
			c, err := openSession(stopped, fmt.Sprintf("reserva%d", k%3), k%tenantCount, fmt.Sprintf("c%d", k))
			if err != nil {
				say("session not started: %v", err)
				return
			}
			defer c.close()
			for n := range sigtermStatements {
				text := fmt.Sprintf("READ i%d", k*100+n)
				switch {
				case n == 0:
					text = "BEGIN"
				case n == sigtermStatements-1:
					text = "COMMIT"
				case n%3 == 0:
					text = fmt.Sprintf("WRITE i%d v", k*100+n)
				}
				a := c.query(text, 3*time.Second)
				mu.Lock()
				answers = append(answers, a)
				if n == sigtermStatements-1 && strings.HasPrefix(a.outcome, "COMPLETE") {
					committed++
				}
				mu.Unlock()
				if !a.complete() || !strings.HasPrefix(a.outcome, "COMPLETE") {
					return
				}
				time.Sleep(sigtermPause)
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	signalled := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	wg.Wait()
	lost := 0
	for _, a := range answers {
		if a.complete() || a.timeout {
			continue
		}
		sent, ended := a.sentAt.Sub(signalled), a.endAt.Sub(signalled)
		counted := hasArrived(a.id) && ended < sigtermGrace+time.Second && a.endAt.Sub(a.sentAt) < routeTimeout
		if sent <= 3*time.Second && ended >= sigtermGrace*5/6 {
			counted = false // the server was still at work in the last sixth of the grace
		}
		say("cut id=%s sent=%.3f s ended=%.3f s after SIGTERM, passed on=%t counted=%t", a.id, sent.Seconds(), ended.Seconds(), hasArrived(a.id), counted)
		if counted {
			lost++
		}
	}
	say("requests=%d committed=%d LOST=%d", len(answers), committed, lost)
	switch {
	case len(answers) < 3*sigtermClients:
		return exitUnable
	case lost > 0:
		return exitBroken
	}
	return exitHeld
}

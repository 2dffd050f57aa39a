package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// promises are the codes that say that nothing of a client's attempt is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true}

// promised reports whether an answer is a promise that nothing is kept.
func (a answer) promised() bool {
	f := strings.Fields(a.outcome)
	return a.complete() && len(f) > 1 && f[0] == "ERROR" && promises[f[1]]
}

// attempt is a client's attempt of a transaction.
type attempt struct {
	statements []answer
	promised   bool // the client was promised that nothing is kept
}

// transactionRoutes are the routes of the transactions; those on the second only read.
var transactionRoutes = []string{"booking0", "catalogue0"}

// Figures of the case "pinned". The disruption comes again after some calm.
const (
	pinnedSingles = 4
	pinnedClients = 4
	pinnedFactor  = 5
	pinnedRounds  = 9
	pinnedCalm    = 3 * time.Second
	pinnedSlow    = 6500 * time.Millisecond
	pinnedWork    = 12 * time.Millisecond
	pinnedPause   = 40 * time.Millisecond
)

// runPinned lets clients run transactions at a primary that turns slow for some seconds. Rules
// REFUSED and PINNED: nothing is kept of an attempt for which the client has a promise, and all
// statements of a transaction run in one transaction of one connection.
func runPinned(trouble bool) int {
	used, workTime, queueTime = &saajghar, pinnedWork, 0
	s := newSite(trouble, 1, 3)
	g := s.groups[0]
	var stop atomic.Bool
	var wg sync.WaitGroup
	var mu sync.Mutex
	var attempts []attempt
	// Single reads and writes fill the slots, and transactions run beside them.
	for k := range pinnedSingles {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				c, err := openSession(s.instances[k%3], "booking0", k%tenantCount, fmt.Sprintf("single%d-%d", k, n))
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				for i := 0; i < 20 && !stop.Load(); i++ {
					text := fmt.Sprintf("READ s%d", k)
					if i%5 == 0 {
						text = fmt.Sprintf("WRITE s%d v%d", k, i)
					}
					if a := c.query(text, 10*time.Second); !a.complete() {
						break
					}
					time.Sleep(pinnedPause)
				}
				c.close()
			}
		})
	}
	for k := range pinnedClients {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				c, err := openSession(s.instances[0], transactionRoutes[k%2], k%tenantCount, fmt.Sprintf("tx%d-%d", k, n))
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				item := fmt.Sprintf("t%d-%d", k, n)
				var t attempt
				texts := []string{"BEGIN", "READ " + item, "WRITE " + item + " a", "WRITE " + item + " b", "COMMIT"}
				if k%2 == 1 {
					texts = []string{"BEGIN", "READ " + item, "READ x" + item, "READ y" + item, "COMMIT"}
				}
				for _, text := range texts {
					a := c.query(text, 10*time.Second)
					t.statements = append(t.statements, a)
					if t.promised = a.promised(); t.promised || !strings.HasPrefix(a.outcome, "COMPLETE") {
						break
					}
					time.Sleep(pinnedPause)
				}
				c.close()
				mu.Lock()
				attempts = append(attempts, t)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for range pinnedRounds {
		time.Sleep(pinnedCalm)
		if trouble {
			g.setSlowdown(0, pinnedFactor)
			say("slow server=%s factor=%d", g.servers[0].id, pinnedFactor)
		}
		time.Sleep(pinnedSlow)
		g.setSlowdown(0, 1)
		say("the disruption is over")
	}
	time.Sleep(pinnedCalm)
	stop.Store(true)
	wg.Wait()
	return judgeTransactions(g, attempts)
}

// setSlowdown sets how many times as long the statements of a server take.
func (g *group) setSlowdown(k, factor int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[k].slowdown = factor
}

// judgeTransactions checks the rules REFUSED and PINNED.
func judgeTransactions(g *group, attempts []attempt) int {
	g.mu.Lock()
	kept := make(map[string]bool)
	for _, e := range g.leader().log {
		kept[e.id] = true
	}
	g.mu.Unlock()
	runs.Lock()
	defer runs.Unlock()
	byID := make(map[string]runOf)
	for _, r := range runs.list {
		byID[r.id] = r
	}
	refused, pinned, committed, promisedCount := 0, 0, 0, 0
	for _, t := range attempts {
		var first *runOf
		for _, a := range t.statements {
			r, ok := byID[a.id]
			if t.promised && kept[a.id] {
				refused++
				say("REFUSED broken: id=%s is committed, last answer of its attempt id=%s %s", a.id, t.statements[len(t.statements)-1].id, t.statements[len(t.statements)-1].outcome)
			}
			switch {
			case !ok:
			case first == nil:
				first = &r
				fallthrough
			default:
				if !r.inside || r.conn != first.conn || r.transaction != first.transaction {
					pinned++
					say("PINNED broken: id=%s text=%q inside=%t connection=%p, its transaction's first statement id=%s connection=%p", a.id, r.text, r.inside, r.conn, first.id, first.conn)
				}
			}
		}
		if t.promised {
			promisedCount++
		} else if len(t.statements) == 5 {
			committed++
		}
	}
	say("transactions=%d committed=%d promised=%d REFUSED=%d PINNED=%d", len(attempts), committed, promisedCount, refused, pinned)
	switch {
	case len(attempts) < 20 || committed < 10:
		return exitUnable
	case refused > 0 || pinned > 0:
		return exitBroken
	}
	return exitHeld
}

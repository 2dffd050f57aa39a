package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case "reborn", in the order of events.
const (
	rebornWarmUp  = 8 * time.Second
	rebornDark    = 7 * time.Second         // the primary
	rebornOutage  = 4500 * time.Millisecond // of the promotion calls, from the same moment
	rebornDelay   = 300 * time.Millisecond  // from the first order to the end of its target
	rebornDown    = time.Second             // from the end of the target to its start
	rebornSettle  = 6 * time.Second         // after the primary is back
	rebornWriters = 9
)

// write is a write that was acknowledged to a client.
type write struct {
	id string
	at time.Time
}

// runReborn lets a primary go dark while the platform's promotion calls are down. The replica
// that the instances want to promote ends and starts again under its id, holding nothing.
// Rule LOST: the log of the server that is promoted has every commit that was acknowledged. With
// RESTART=0 in the environment the replica goes on; DELAY_MS replaces rebornDelay.
func runReborn(trouble bool) int {
	s := newSite(trouble, 1, 7)
	g := s.groups[0]
	var stop atomic.Bool
	var wg sync.WaitGroup
	var mu sync.Mutex
	var acknowledged []write
	for k := range rebornWriters {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				c, err := openSession(s.instances[k%len(s.instances)], "reserva0", k%tenantCount, fmt.Sprintf("w%d-%d", k, n))
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for i := 0; i < 100 && !stop.Load(); i++ {
					a := c.query(fmt.Sprintf("WRITE item%d-%d-%d v", k, n, i), 10*time.Second)
					if !a.complete() {
						break
					}
					if strings.HasPrefix(a.outcome, "COMPLETE") {
						mu.Lock()
						acknowledged = append(acknowledged, write{a.id, a.endAt})
						mu.Unlock()
					}
					time.Sleep(100 * time.Millisecond)
				}
				c.close()
			}
		})
	}
	time.Sleep(rebornWarmUp)
	delay := rebornDelay
	if ms, err := strconv.Atoi(os.Getenv("DELAY_MS")); err == nil {
		delay = time.Duration(ms) * time.Millisecond
	}
	if trouble {
		var once sync.Once
		s.promoter.mu.Lock()
		s.promoter.asked = func(target string) {
			once.Do(func() {
				time.AfterFunc(delay, func() {
					g.mu.Lock()
					v := g.find(target)
					g.mu.Unlock()
					if v != nil && os.Getenv("RESTART") != "0" {
						g.restart(v, rebornDown)
					}
				})
			})
		}
		s.promoter.mu.Unlock()
		s.promoter.setDown(true)
		time.AfterFunc(rebornOutage, func() { s.promoter.setDown(false) })
		g.mu.Lock()
		primary := g.leader()
		g.mu.Unlock()
		g.goDark(primary, rebornDark)
	}
	time.Sleep(rebornDark + rebornSettle)
	stop.Store(true)
	wg.Wait()
	return judgeLost(g, acknowledged, trouble)
}

// judgeLost checks the rule LOST for each promotion, and for the log at the end.
func judgeLost(g *group, acknowledged []write, trouble bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := 0
	for _, p := range g.promoted {
		n := 0
		for _, w := range acknowledged {
			if w.at.Before(p.at) && !p.kept[w.id] {
				if n++; n <= 3 {
					say("LOST broken: id=%s was acknowledged %v before the promotion of %s, whose log lacks it", w.id, p.at.Sub(w.at).Round(time.Millisecond), p.id)
				}
			}
		}
		say("promotion id=%s lost=%d", p.id, n)
		lost += n
	}
	say("acknowledged=%d promotions=%d LOST=%d", len(acknowledged), len(g.promoted), lost)
	switch {
	case lost > 0:
		return exitBroken
	case len(acknowledged) < 100 || trouble && len(g.promoted) == 0:
		return exitUnable
	}
	return exitHeld
}

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The figures of the case "drain".
const (
	drainSessions   = 14
	drainStatements = 10                      // with BEGIN and COMMIT twelve
	longPause       = 2600 * time.Millisecond // below tx-idle-ms; after the first two statements
	shortPause      = 70 * time.Millisecond
	drainWork       = 14 * time.Millisecond // mean work of ajuste-sala at the site
	routeTimeout    = 800 * time.Millisecond
	excusedBefore   = 3 * time.Second // requests that are sent earlier may be cut in the last sixth of the grace
)

// runDrain stops and starts the three instances of a zone in turn, as when a version is
// rolled out, while clients are in transactions at them, with which they go on at their pace.
func runDrain(trouble bool) int {
	workTime = drainWork
	s := newSite(trouble, 3, 7)
	time.Sleep(3 * time.Second)
	d := &drainCase{site: s, trouble: trouble}
	for _, k := range []int{0, 3, 6} {
		d.stop(s.instances[k])
	}
	say("committed=%d ended with an error=%d excused=%d lost=%d", d.committed.Load(), d.ended.Load(), d.excused.Load(), d.lost.Load())
	switch {
	case d.lost.Load() > 0:
		return exitBroken
	case d.committed.Load() == 0:
		return exitUnable
	}
	return exitHeld
}

// drainCase counts how operations ended.
type drainCase struct {
	site      *site
	trouble   bool
	round     int
	committed atomic.Int64
	ended     atomic.Int64 // with an error message, as the pages allow
	excused   atomic.Int64 // without an answer, as the rule allows
	lost      atomic.Int64
}

// stop stops an instance while clients are in transactions, and starts it again.
func (d *drainCase) stop(i *instance) {
	d.round++
	var stoppedAt atomic.Pointer[time.Time]
	var wg sync.WaitGroup
	for k := range drainSessions {
		wg.Go(func() { d.runTransaction(i, k, &stoppedAt) })
	}
	time.Sleep(500 * time.Millisecond)
	if d.trouble {
		now := time.Now()
		stoppedAt.Store(&now)
		i.signal(syscall.SIGTERM)
		time.Sleep(grace)
		if !i.hasEnded() {
			i.signal(syscall.SIGKILL)
		}
		<-i.done
	}
	wg.Wait()
	if d.trouble {
		i.start()
		for k := 0; k < 200 && !i.isReady(); k++ {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// runTransaction runs a transaction of twelve statements with pauses. The pauses are shorter
// than tx-idle-ms.
func (d *drainCase) runTransaction(i *instance, k int, stoppedAt *atomic.Pointer[time.Time]) {
	kind := kinds[2*(k%2)].prefix // reserva and ajuste
	x, err := openSession(i, kind+"0", k%tenantCount, fmt.Sprintf("c%d-%d", d.round, k))
	if err != nil {
		fatal(err)
	}
	defer x.close()
	time.Sleep(rand.N(400 * time.Millisecond))
	texts := []string{"BEGIN"}
	for n := range drainStatements {
		text := fmt.Sprintf("READ item%d", rand.IntN(100))
		if n%5 == 4 {
			text = fmt.Sprintf("WRITE item%d-%d %d", k, n, rand.Uint32())
		}
		texts = append(texts, text)
	}
	for n, text := range append(texts, "COMMIT") {
		a := x.query(text, clientDeadline)
		switch {
		case !a.complete():
			d.judge(a, text, stoppedAt.Load())
			return
		case a.outcome[:5] == "ERROR":
			d.ended.Add(1)
			return
		case text == "COMMIT":
			d.committed.Add(1)
			return
		}
		if n == 1 || n == 2 {
			time.Sleep(longPause)
			continue
		}
		time.Sleep(shortPause)
	}
}

// judge applies the rule LOST, with its excuses, to a request without a complete answer.
func (d *drainCase) judge(a answer, text string, stopped *time.Time) {
	took := a.endAt.Sub(a.sentAt)
	switch {
	case stopped == nil || a.sentAt.IsZero():
		d.excused.Add(1) // not sent
	case a.timeout || took >= routeTimeout:
		d.excused.Add(1) // the deadline or the route's time-out was reached
	case a.sentAt.Sub(*stopped) <= excusedBefore:
		d.excused.Add(1)
	case !hasArrived(a.id) && took <= lossSlack:
		d.excused.Add(1)
	default:
		d.lost.Add(1)
		say("LOST id=%s text=%q: sent %v after the SIGTERM, reached a backend=%t, the connection ended %v later without an answer",
			a.id, text, a.sentAt.Sub(*stopped), hasArrived(a.id), took)
	}
}

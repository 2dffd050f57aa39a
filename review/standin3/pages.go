package main

import (
	"errors"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	drainTime = 7 * time.Second // drain-ms
	lingering = 8 * time.Second // "and a little longer (at times many seconds)"
)

// killedCount returns the number of instances to kill: all, or KILLED of them.
func killedCount(all int) int {
	if n, err := strconv.Atoi(os.Getenv("KILLED")); err == nil {
		return min(max(n, 1), all)
	}
	return all
}

// pages kills all instances, starts them again, and lets a replica (with LEAVING=primary, the
// primary) report that it leaves just after the first page of the registry was read. Without trouble, the replica leaves as the
// instances run.
func pages(w *world) (verdict, error) {
	w.startClients()
	time.Sleep(7 * time.Second)
	g := w.groups[0]
	var leaving *backend
	for _, b := range g.list() {
		if b.primary == (os.Getenv("LEAVING") == "primary") && (leaving == nil || b.id < leaving.id) {
			leaving = b
		}
	}
	var mu sync.Mutex
	var acknowledged time.Time
	late, before := 0, 0
	g.mu.Lock()
	g.statement = func(b *backend, id, text string) {
		w.rec.add("%s ran %s %s", b.id, id, text)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case b != leaving:
		case !acknowledged.IsZero() && time.Since(acknowledged) > drainTime:
			late++
			w.rec.add("DRAIN: %s arrived at %s %.3f s after the acknowledgement", id, b.id, time.Since(acknowledged).Seconds())
		default:
			before++
		}
	}
	g.mu.Unlock()
	drain := func() {
		revision := leaving.drain()
		mu.Lock()
		acknowledged = time.Now()
		mu.Unlock()
		w.rec.add("store: acknowledged that %s is draining, revision %d", leaving.id, revision)
	}
	time.Sleep(time.Second)
	if w.trouble {
		var once sync.Once
		drained := make(chan struct{})
		w.store.onPage = func(kind, after string) {
			if kind != "servers" {
				return
			}
			if after != "" {
				once.Do(func() {
					drain()
					close(drained)
				})
			}
		}
		killed := w.instances[:killedCount(len(w.instances))]
		for _, in := range killed {
			in.kill()
		}
		time.Sleep(time.Second)
		for _, in := range killed {
			if err := in.start(w.rec); err != nil {
				return notRun, err
			}
		}
		select {
		case <-drained:
		case <-time.After(5 * time.Second):
			return notRun, errors.New("no second page was read")
		}
	} else {
		drain()
	}
	time.Sleep(drainTime + lingering)
	leaving.stop()
	w.store.remove("servers", leaving.id)
	w.rec.add("%s ended", leaving.id)
	close(w.stop)
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	served, failed := int64(0), int64(0)
	for _, c := range w.clients {
		served += c.succeeded.Load()
		failed += c.failed.Load()
	}
	w.rec.add("statements with success %d, others %d; at %s in time %d, too late %d", served, failed, leaving.id, before, late)
	switch {
	case before == 0 || served == 0:
		return notRun, errors.New("the replica was not used before it left")
	case late > 0:
		return broken, nil
	}
	return held, nil
}

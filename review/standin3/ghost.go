package main

import (
	"errors"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond // heartbeat-ms
	recovery  = 12 * time.Second        // recovery-s
	// window is the time for which the served share is counted.
	window = 10 * time.Second
)

// served returns the share of the requests that succeed in a window.
func (w *world) served() (share float64, succeeded, all int64) {
	count := func() (ok, failed int64) {
		for _, c := range w.clients {
			ok += c.succeeded.Load()
			failed += c.failed.Load()
		}
		return ok, failed
	}
	ok, failed := count()
	time.Sleep(window)
	ok2, failed2 := count()
	succeeded, all = ok2-ok, ok2-ok+failed2-failed
	return float64(succeeded) / float64(max(all, 1)), succeeded, all
}

// ghost replaces a replica as planned: a new one starts, and the old one drains and ends. All
// instances are killed and start again as it ends, so that its entry is removed just after they
// have read the first page of the registry. Later the primary is lost for good. Without trouble,
// the instances are not killed.
func ghost(w *world) (verdict, error) {
	g := w.groups[0]
	w.startClients()
	time.Sleep(2 * time.Second)
	var leaving, primary *backend
	for _, b := range g.list() {
		switch {
		case b.primary:
			primary = b
		case leaving == nil || b.id < leaving.id:
			leaving = b
		}
	}
	g.mu.Lock()
	g.statement = func(b *backend, id, text string) { w.rec.add("%s ran %s %s", b.id, id, text) }
	g.mu.Unlock()
	replacement, err := g.start("i-4e7f3a91", leaving.zone, false)
	if err != nil {
		return notRun, err
	}
	w.rec.add("%s started", replacement.id)
	g.mu.Lock()
	g.follow()
	g.mu.Unlock()
	time.Sleep(time.Second)
	w.rec.add("store: acknowledged that %s is draining, revision %d", leaving.id, leaving.drain())
	time.Sleep(drainTime + 500*time.Millisecond)
	end := func() {
		leaving.stop()
		w.store.remove("servers", leaving.id)
		w.rec.add("%s ended, and its entry is removed", leaving.id)
	}
	if w.trouble {
		var once sync.Once
		ended := make(chan struct{})
		w.store.onPage = func(kind, after string) {
			if kind == "servers" && after != "" {
				once.Do(func() {
					end()
					close(ended)
				})
			}
		}
		for _, in := range w.instances {
			in.kill()
		}
		time.Sleep(time.Second)
		for _, in := range w.instances {
			if err := in.start(w.rec); err != nil {
				return notRun, err
			}
		}
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			return notRun, errors.New("no second page was read")
		}
	} else {
		end()
	}
	time.Sleep(2 * time.Second)
	before, n, all := w.served()
	w.rec.add("before the final fault: %d of %d requests served", n, all)
	primary.stop()
	w.rec.add("%s, the primary, is lost for good", primary.id)
	time.Sleep(3 * heartbeat)
	w.store.remove("servers", primary.id)
	w.rec.add("the entry of %s has lapsed", primary.id)
	time.Sleep(recovery - 3*heartbeat)
	after, n2, all2 := w.served()
	w.rec.add("later than recovery-s after it: %d of %d requests served", n2, all2)
	close(w.stop)
	time.Sleep(time.Second)
	switch {
	case before < 0.25:
		return notRun, errors.New("too little was served before the final fault")
	case after < 0.25:
		return broken, nil
	}
	return held, nil
}

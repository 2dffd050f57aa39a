// Command standin3 plays the script cases of the third review: it starts the instances and
// stand-ins for the platform, the backends and the clients, and checks a rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// world is what a case works with.
type world struct {
	rec       *record
	store     *store
	groups    []*group
	instances []*instance
	clients   []*client
	stop      chan struct{}
	trouble   bool
}

// verdict is the exit status of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// scenario is what a case plays.
type scenario struct {
	services int
	play     func(*world) (verdict, error)
}

var cases = map[string]scenario{"ghost": {1, ghost}, "pages": {3, pages}, "sessions": {3, sessions}}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER, in the root of the repository")
		os.Exit(int(notRun))
	}
	os.Exit(int(play(os.Args[1], os.Args[2])))
}

func play(name, folder string) verdict {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	w := &world{rec: rec, stop: make(chan struct{}), trouble: os.Getenv("TROUBLE") != "0"}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	type result struct {
		v   verdict
		err error
	}
	ended := make(chan result, 1)
	go func() {
		v, err := w.play(cases[name], temp)
		ended <- result{v, err}
	}()
	var out result
	select {
	case out = <-ended:
	case <-interrupted:
		out = result{notRun, errors.New("interrupted")}
	case <-time.After(110 * time.Second):
		out = result{notRun, errors.New("out of time")}
	}
	v, err := out.v, out.err
	for _, in := range w.instances {
		in.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(temp)
	} else {
		fmt.Println("logs in", temp)
	}
	if err != nil {
		rec.add("the case could not run: %v", err)
		v = notRun
	}
	rec.add("verdict %d (1 broken, 0 held, 2 not run), trouble %v", v, w.trouble)
	if err := rec.finish(); err != nil {
		return notRun
	}
	fmt.Printf("%s: verdict %d (1 broken, 0 held, 2 not run), err %v\n", name, v, err)
	return v
}

const (
	instanceCount = 7
	key           = "u6wsjnbanfqasnmgkcuy"
)

// play starts the stand-ins and the instances, waits until all are ready, and runs the case.
func (w *world) play(c scenario, temp string) (verdict, error) {
	var err error
	if w.store, err = newStore(w.rec); err != nil {
		return notRun, err
	}
	var routes, services []map[string]any
	for k := range c.services {
		name := fmt.Sprintf("salas%d", k)
		services = append(services, map[string]any{"name": name, "health-path": "/health", "max-conns": maxConns, "sync-replicas": 1})
		for _, kind := range []string{"primary", "bounded", "read_your_writes"} {
			r := map[string]any{
				"name": "r-" + name + kind, "host": fmt.Sprintf("%s-%s", kind, name), "kind": kind, "timeout-ms": 1500, "target-latency-ms": 800,
				"priority": 1, "service": name, "public": false, "allowed-regions": []string{},
			}
			if kind != "primary" {
				r["max-staleness-ms"] = 1500
			}
			routes = append(routes, r)
		}
		g := newGroup(w.store, w.rec, name)
		g.statement = func(b *backend, id, text string) { w.rec.add("%s ran %s %s", b.id, id, text) }
		w.groups = append(w.groups, g)
		for z, zone := range zones {
			if _, err := g.start(fmt.Sprintf("i-%x%x7f3a91", 1+2*k, z), zone, z == k); err != nil {
				return notRun, err
			}
		}
	}
	w.store.put("config", "main", map[string]any{
		"version": 7, "routes": routes, "services": services, "limits": map[string]any{"tx-idle-ms": 3000},
		"tenants": []map[string]any{{"name": "nypu920", "api-keys": []string{key}, "priority": 1, "rate-per-s": 2000, "burst": 2000, "allowed-regions": []string{}}},
	})
	w.store.foreignEntries(600)
	if w.instances, err = newInstances(instanceCount, temp, w.store.address); err != nil {
		return notRun, err
	}
	for _, in := range w.instances {
		if err := in.start(w.rec); err != nil {
			return notRun, err
		}
	}
	for _, in := range w.instances {
		if !in.awaitReady(15 * time.Second) {
			return notRun, fmt.Errorf("%s is not ready", in.name)
		}
	}
	return c.play(w)
}

// startClients starts a client of each database at each instance.
func (w *world) startClients() {
	for _, in := range w.instances {
		for _, g := range w.groups {
			for _, kind := range []string{"primary", "bounded", "read_your_writes"} {
				c := &client{
					rec: w.rec, name: in.name + "." + kind + "." + g.name, in: in, database: kind + "-" + g.name, key: key,
					writes: kind != "bounded", pause: 150 * time.Millisecond,
				}
				w.clients = append(w.clients, c)
				go c.run(w.stop)
			}
		}
	}
}

package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/failover"
	"burdockseam/core/quota"
	"burdockseam/core/usage"
	"burdockseam/core/wal"
	"burdockseam/core/where"
	"burdockseam/io/caller"
	"burdockseam/io/gateway"
)

// lockOrder has the locks that may be taken while a lock is held, by the name of that lock.
var lockOrder = map[string][]string{
	"build":  {"node", "primaries", "limits", "delegates", "tables", "health"},
	"limits": {"node", "tables"},
}

// TestLockOrder guards against two goroutines that each hold a lock which the other waits for.
// Such instances answered no statement any more while their readiness probe still succeeded.
// It runs all kinds of work while one lock is held, and checks which other locks the work holds
// while it waits.
func TestLockOrder(t *testing.T) {
	n := newLargeNode(t)
	n.ready.Store(true)
	settings := *n.settings()
	settings.ApplyTimeout, settings.EvacuateTimeout, settings.LeaveTimeout = time.Second, time.Second, time.Second
	settings.Adaptive = true
	settings.Usage = UsageSettings{Window: time.Second, Delay: 2 * time.Second, Lease: time.Second}
	n.activeSettings.Store(&settings)
	n.platform.Controls, n.platform.Dialer, n.platform.Store = deadUpstreams{}, deadUpstreams{}, listStore{objects: nil}
	n.gateways = gateway.New(deadUpstreams{}, n.metrics, n.log, n.now)
	n.usage = newUsageReports(n)
	n.gateways.Meter = n.usage
	locks := map[string]*sync.Mutex{"node": &n.mu, "primaries": &n.primaries.mu, "limits": &n.limits.mu, "delegates": &n.delegates.mu, "tables": &n.tables.mu, "usage": &n.usage.mu, "build": &n.buildMu, "health": &n.health.mu}
	for waited, lock := range locks {
		for what, work := range lockingWork(n) {
			for _, held := range locksHeld(locks, lock, work) {
				if !slices.Contains(lockOrder[held], waited) {
					t.Errorf("%s: the lock of %s is held during the wait for that of %s", what, held, waited)
				}
			}
		}
	}
}

// TestRoutingDuringFloorFetch guards against a deadlock between a statement that is being routed
// and one that fetches a floor for its read.
func TestRoutingDuringFloorFetch(t *testing.T) {
	n := newLargeNode(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // no fetch waits for its result
	done := make(chan bool)
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for range 5000 {
					n.primaries.fetchFloor(ctx, "g0")
				}
			})
			wg.Go(func() {
				for range 5000 {
					n.chooseUpstream(newReadOperation(n, access.Bounded), call.Statement{Kind: call.Read}, nil)
				}
			})
		}
		wg.Wait()
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("deadlock")
	}
}

// TestReadyNeedsLocks guards against an instance that answers its readiness probe, and so gets
// new callers, although its statements wait for a lock for good.
func TestReadyNeedsLocks(t *testing.T) {
	n := newLargeNode(t)
	n.ready.Store(true)
	for name, lock := range map[string]*sync.Mutex{"node": &n.mu, "primaries": &n.primaries.mu, "health": &n.health.mu} {
		answered := make(chan bool, 1)
		lock.Lock()
		go func() { answered <- n.Ready() }()
		select {
		case ready := <-answered:
			t.Errorf("the probe is answered with %v while the lock of %s is held", ready, name)
			answered <- ready
		case <-time.After(50 * time.Millisecond):
		}
		lock.Unlock()
		if !<-answered {
			t.Errorf("not ready after the lock of %s is free", name)
		}
	}
}

// newReadOperation returns an operation of a single read in the group g0.
func newReadOperation(n *Node, c access.Consistency) *caller.Operation {
	return &caller.Operation{Arrived: n.now(), Grant: access.Grant{
		Route: access.Route{Group: "g0", Consistency: c, Staleness: time.Second, Timeout: time.Second},
	}}
}

// lockingWork returns the kinds of work that take locks, by name. None of them may wait for
// another process.
func lockingWork(n *Node) map[string]func() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	now := n.now()
	read := call.Statement{Kind: call.Read}
	u := n.snapshot.Load().upstreams["u0"]
	service := &service{n}
	return map[string]func(){
		"routing to the primary": func() { n.chooseUpstream(newReadOperation(n, access.Primary), read, nil) },
		"routing to a replica":   func() { n.chooseUpstream(newReadOperation(n, access.Bounded), read, nil) },
		"explaining a route": func() {
			op := newReadOperation(n, access.Bounded)
			n.inspectRouting(&where.Answer{}, n.snapshot.Load(), op, read)
			n.inspectLimit(op.Grant)
		},
		"running a statement":   func() { n.Run(ctx, newReadOperation(n, access.Bounded), read) },
		"learning from a reply": func() { n.learnFromReply(choice{upstream: u}, now, read, call.Reply{}, false) },
		"learning of an upstream's health": func() {
			n.health.recordSent(choice{upstream: u}, read, now)
			n.health.recordReply(choice{upstream: u}, read, now, call.Reply{Service: time.Millisecond})
		},
		"learning from a refusal":    func() { n.primaries.recordRefusal(u) },
		"a proof":                    func() { n.primaries.recordProof("g0", "u0", now, wal.Position{Term: 1}, now, true) },
		"a promotion":                func() { n.primaries.recordPromotion("g0", "u1") },
		"an announced promotion":     func() { n.primaries.recordPendingPromotion(KeepNotice{Group: "g0", Upstream: "u1"}) },
		"a report of a primary":      func() { n.primaries.checkSuspect("g0", "u0", reasonUnreachable) },
		"a step of a coordinator":    func() { n.primaries.stepGroup(ctx, "g0") },
		"fetching a floor":           func() { n.primaries.fetchFloor(ctx, "g0") },
		"a change of the tables":     func() { n.tableChanged(KindUpstream) },
		"an update of a table":       func() { n.tables.install(Table{Kind: KindUpstream, Revision: 2}) },
		"answering a ping":           func() { _ = service.Ping(Ping{}, &Pong{}) },
		"answering for tables":       func() { _ = service.Tables(TablesRequest{}, &TablesReply{}) },
		"recording an answer":        func() { n.recordAnswer("10.0.0.1") },
		"recording contact":          func() { n.recordContact("10.0.0.1", now, Pong{}) },
		"choosing instances to ping": func() { n.pingTargets() },
		"choosing watchers":          func() { n.watchers("d0") },
		"planning a refresh":         func() { n.refreshPlan(KindPolicy) },
		"closing idle gateways":      func() { n.gateways.CloseIdle(n.isPreferredGateway) },
		"admitting an operation":     func() { n.isolated() },
		"taking a token":             func() { n.limits.takeToken(ctx, "team", 0) },
		"taking a delegated token":   func() { n.delegates.takeToken(ctx, "team", 0, 0) },
		"delegating a part":          func() { n.delegates.step() },
		"granting as a collector":    func() { _ = service.Grant(quota.Request{}, &QuotaReply{}) },
		"renewing the lease":         func() { n.limits.holderToWatch() },
		"configuring the limits":     func() { n.limits.configure(n.snapshot.Load()) },
		"reading gauges":             func() { n.suspectCount() },
		"listing suspects":           func() { n.reportableSuspects() },
		"listing lost instances":     func() { n.objectsOfLostInstances(n.snapshot.Load()) },
		"choosing witnesses":         func() { n.primaries.chooseWitnesses("g0") },
		"listing recent promotions":  func() { n.primaries.recentPromotions() },
		"a freeze":                   func() { _ = service.Freeze(FreezeRequest{"g0", 1, 1}, &FreezeReply{}) },
		"freezing the instances": func() {
			n.primaries.freezeGateways(ctx, &group{name: "g0", promotion: failover.NewOrderedPromotion(1)}, failover.Command{})
		},
		"passing a commit": func() {
			n.passCommit(ctx, call.Request{Group: "g0"}, call.Reply{Sample: &call.Sample{}})
		},
		"handing over commits":         func() { n.primaries.handOverAcknowledged(ctx) },
		"listing freezes":              func() { n.primaries.activeFreezes() },
		"counting a request":           func() { n.usage.Sent(call.Request{Team: "team"})(&call.Reply{Ran: call.RanNo}) },
		"taking over counts":           func() { _ = service.Usage(usage.Push{Run: "0", Seq: 1}, &usage.Ack{}) },
		"a step of the usage reports":  func() { n.usage.step(ctx) },
		"checking an open transaction": func() { n.mustEndTransactions(u, now) },
	}
}

// locksHeld runs work while a lock is held, and returns the names of the other locks that the
// work holds all the while.
func locksHeld(locks map[string]*sync.Mutex, lock *sync.Mutex, work func()) []string {
	lock.Lock()
	done := make(chan bool)
	go func() {
		defer close(done)
		work()
	}()
	var held []string
	select {
	case <-done:
	case <-time.After(20 * time.Millisecond):
		for name, other := range locks {
			if other != lock && staysLocked(other) {
				held = append(held, name)
			}
		}
	}
	lock.Unlock()
	<-done
	return held
}

// staysLocked reports whether a lock is held for longer than work without a wait takes.
func staysLocked(lock *sync.Mutex) bool {
	for range 20 {
		if lock.TryLock() {
			lock.Unlock()
			return false
		}
		time.Sleep(time.Millisecond)
	}
	return true
}

// deadUpstreams are upstreams that no instance reaches.
type deadUpstreams struct{ Controls }

// Dial implements gateway.Dialer.
func (deadUpstreams) Dial(context.Context, string, string, string, string) (gateway.Conn, error) {
	return nil, errors.New("no answer")
}

// IsPrimary implements Controls.
func (deadUpstreams) IsPrimary(context.Context, failover.ControlTarget) (bool, wal.Position, error) {
	return false, wal.Position{}, errors.New("no answer")
}

package node

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// silentStore is a store that can be silent and drop its history. A call that is waiting when the
// silence begins, or that begins during it, is never answered.
type silentStore struct {
	Store
	mu        sync.Mutex
	revision  uint64
	compacted uint64
	objects   map[Kind]map[string]Object
	silent    bool
	changed   chan struct{} // closed at each change of an object
	silence   chan struct{} // closed when a silence begins
}

func newSilentStore() *silentStore {
	s := &silentStore{revision: 1, objects: make(map[Kind]map[string]Object), changed: make(chan struct{}), silence: make(chan struct{})}
	for _, k := range mirroredKinds {
		s.objects[k] = make(map[string]Object)
	}
	return s
}

// put writes an object and returns its revision.
func (s *silentStore) put(k Kind, name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.objects[k][name] = Object{Name: name, Revision: s.revision, Data: data}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *silentStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent = silent; silent {
		close(s.silence)
		s.silence = make(chan struct{})
	}
}

// dropHistory makes the store forget all changes so far.
func (s *silentStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.compacted = s.revision
}

// begin waits for the usual time of a response. It returns a channel that is closed at the next
// silence, or an error if the store is silent.
func (s *silentStore) begin(ctx context.Context) (<-chan struct{}, error) {
	s.mu.Lock()
	silent, silence := s.silent, s.silence
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(4 * time.Millisecond)
	return silence, nil
}

func (s *silentStore) List(ctx context.Context, k Kind) ([]Object, Stamp, error) {
	if _, err := s.begin(ctx); err != nil {
		return nil, Stamp{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.objects[k])), Stamp{Era: 1, Revision: s.revision}, nil
}

func (s *silentStore) ListStale(ctx context.Context, k Kind) ([]Object, Stamp, error) {
	return s.List(ctx, k)
}

func (s *silentStore) Watch(ctx context.Context, k Kind, since uint64, wait time.Duration) ([]Event, Stamp, error) {
	silence, err := s.begin(ctx)
	if err != nil {
		return nil, Stamp{}, err
	}
	timeout := time.After(wait)
	for over := false; ; {
		s.mu.Lock()
		var events []Event
		for _, o := range s.objects[k] {
			if o.Revision > since {
				events = append(events, Event{Object: o})
			}
		}
		stamp, changed, gone := Stamp{Era: 1, Revision: s.revision}, s.changed, since < s.compacted
		s.mu.Unlock()
		if gone {
			return nil, Stamp{}, ErrHistoryLost
		}
		if len(events) > 0 || over {
			return events, stamp, nil
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-silence:
			<-ctx.Done()
			return nil, Stamp{}, ctx.Err()
		case <-ctx.Done():
			return nil, Stamp{}, ctx.Err()
		}
	}
}

// watchedFleet is a fleet whose instances watch a store and ping each other without a network.
type watchedFleet struct {
	store     *silentStore
	byAddress map[string]*Node
	nodes     []*Node
	running   sync.WaitGroup
}

// newWatchedFleet starts a fleet with two failure domains in each region, or with one if there
// are three domains. It ends with the context.
func newWatchedFleet(ctx context.Context, t *testing.T, size, domains int) *watchedFleet {
	t.Helper()
	f := &watchedFleet{store: newSilentStore(), byAddress: make(map[string]*Node)}
	regions := make(map[string]string)
	for d := range domains {
		regions[fmt.Sprint("d", d)] = fmt.Sprint("r", d*3/domains)
	}
	f.store.put(KindPolicy, "main", nil)
	for k := range size {
		f.store.put(KindUpstream, fmt.Sprint("u", k), fmt.Appendf(nil, "g%d d%d active", k/3, k%domains))
		data, err := json.Marshal(member{ID: fmt.Sprint(k), Address: fmt.Sprint("10.0.0.", k), Domain: fmt.Sprint("d", k%domains), Delegates: true})
		if err != nil {
			t.Fatal(err)
		}
		f.store.put(KindInstance, fmt.Sprint("i", k), data)
	}
	for k := range size {
		s := Settings{
			Name: fmt.Sprint("i", k), Domain: fmt.Sprint("d", k%domains), Advertise: fmt.Sprint("10.0.0.", k), Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Regions: regions,
			ApplyTimeout: 4 * time.Second, EvacuateTimeout: 5 * time.Second, LeaveTimeout: 7 * time.Second,
		}
		n, err := New(s, Platform{Store: f.store, Schema: largeSchema{groups: size / 3}}, logr.Discard())
		if err != nil {
			t.Fatal(err)
		}
		n.callers.Listener.Close()
		n.now, n.tables.now = time.Now, time.Now
		f.nodes, f.byAddress[s.Advertise] = append(f.nodes, n), n
	}
	for _, n := range f.nodes {
		for _, k := range mirroredKinds {
			f.running.Go(func() { n.tables.keepCurrent(ctx, k) })
		}
		f.running.Go(func() { f.runPings(ctx, n) })
	}
	return f
}

// runPings pings as Node.runPings does.
func (f *watchedFleet) runPings(ctx context.Context, n *Node) {
	for ctx.Err() == nil {
		sleep(ctx, pingInterval*9/10+rand.N(pingInterval/5))
		for _, address := range n.pingTargets() {
			if other := f.byAddress[address]; other != nil {
				f.ping(n, other)
			}
		}
		if addresses := n.answeringPeers(); len(addresses) > 0 && n.tables.silentFor() > 0 {
			if other := f.byAddress[addresses[rand.IntN(len(addresses))]]; other != nil {
				f.requestTables(n, other)
			}
		}
	}
}

// ping lets an instance learn what another one's answer to a ping says.
func (f *watchedFleet) ping(n, other *Node) {
	n.recordAnswer(other.self.Address)
	n.mu.Lock()
	n.peerStateOf(other.self.Address).storeless = other.storeless()
	n.mu.Unlock()
	if n.tables.sums().differ(other.tables.sums()) {
		f.requestTables(n, other)
		f.requestTables(other, n)
	}
}

// requestTables lets an instance apply the newer tables of another one.
func (f *watchedFleet) requestTables(n, other *Node) {
	if !n.mayRequestTables(other.self.Address) {
		return
	}
	for _, u := range other.tables.answer(n.tables.request()) {
		n.tables.applyUpdate(u)
	}
}

// TestChangesAfterSilentOutage guards against changes that come into force late because all watches
// hang after a silent outage in which the store has dropped its history.
func TestChangesAfterSilentOutage(t *testing.T) {
	// limits are the times within which a change must be known to all instances.
	limits := map[Kind]time.Duration{KindPolicy: 4 * time.Second, KindOutDomain: 5 * time.Second, KindUpstream: 7 * time.Second, KindInstance: 5 * time.Second}
	for _, size := range []struct{ instances, domains, rounds int }{{1, 1, 3}, {3, 3, 3}, {7, 3, 10}, {16, 3, 3}, {17, 3, 3}, {60, 6, 1}} {
		for _, silence := range []time.Duration{3 * time.Second, 4500 * time.Millisecond, 6500 * time.Millisecond, 20 * time.Second} {
			t.Run(fmt.Sprintf("%d instances, silent for %v", size.instances, silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newWatchedFleet(ctx, t, size.instances, size.domains)
					defer f.running.Wait()
					defer cancel()
					time.Sleep(20 * time.Second)
					for round := range size.rounds {
						// A change shortly before makes all watches begin anew.
						f.changeAll(t, 2*round)
						time.Sleep(1750*time.Millisecond + rand.N(time.Second))
						f.store.setSilent(true)
						time.Sleep(silence / 2)
						f.store.dropHistory()
						time.Sleep(silence / 2)
						f.store.setSilent(false)
						time.Sleep(50 * time.Millisecond)
						f.expectWithin(t, limits, f.changeAll(t, 2*round+1))
						time.Sleep(time.Duration(1+rand.IntN(20)) * time.Second)
					}
				})
			})
		}
	}
}

// changeAll writes an object of each kind and returns their revisions.
func (f *watchedFleet) changeAll(t *testing.T, run int) map[Kind]uint64 {
	t.Helper()
	n := f.nodes[0]
	data, err := json.Marshal(member{ID: fmt.Sprint("run", run), Address: n.self.Address, Domain: n.self.Domain, Delegates: true})
	if err != nil {
		t.Fatal(err)
	}
	return map[Kind]uint64{
		KindPolicy:    f.store.put(KindPolicy, "main", fmt.Append(nil, run)),
		KindOutDomain: f.store.put(KindOutDomain, "far", fmt.Append(nil, run)),
		KindUpstream:  f.store.put(KindUpstream, "u0", fmt.Appendf(nil, "g0 d0 active %d", run)),
		KindInstance:  f.store.put(KindInstance, n.settings().Name, data),
	}
}

// expectWithin checks that all instances know the objects of the given revisions within the limits.
func (f *watchedFleet) expectWithin(t *testing.T, limits map[Kind]time.Duration, revisions map[Kind]uint64) {
	t.Helper()
	began := time.Now()
	for _, k := range slices.SortedFunc(maps.Keys(limits), func(a, b Kind) int { return int(limits[a] - limits[b]) }) {
		time.Sleep(time.Until(began.Add(limits[k])))
		late := 0
		for _, n := range f.nodes {
			if n.tables.get(k).Revision < revisions[k] {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%v after a change of kind %s, %d instances of %d don't know it", limits[k], k, late, len(f.nodes))
		}
	}
}

// waitsStore reports how long each watch would wait, and answers none.
type waitsStore struct {
	Store
	waits chan time.Duration
}

func (s waitsStore) Watch(ctx context.Context, _ Kind, _ uint64, wait time.Duration) ([]Event, Stamp, error) {
	s.waits <- wait
	<-ctx.Done()
	return nil, Stamp{}, ctx.Err()
}

// TestOverdueWatch guards against an instance that stays in a watch which is never answered,
// although it has become the one that must notice this, or has learned of a silence of the store.
func TestOverdueWatch(t *testing.T) {
	far, near := refresh{wait: watchTimeout, limit: watchTimeout}, refresh{wait: time.Second, limit: 2 * time.Second}
	for _, test := range []struct {
		name string
		plan refresh
		// event happens 5 s after the watch has begun.
		event func(x *tables, plan *atomic.Pointer[refresh])
		// latest is the latest time after the event at which the store is called again.
		latest time.Duration
	}{
		{"the instance becomes a close watcher", far, func(_ *tables, plan *atomic.Pointer[refresh]) { plan.Store(&near) }, replanInterval},
		{"the store answers another call again", far, func(x *tables, _ *atomic.Pointer[refresh]) {
			x.recordOutcome(KindUpstream, context.DeadlineExceeded)
			x.recordOutcome(KindUpstream, nil)
		}, replanInterval},
		{"another call is answered as before", far, func(x *tables, _ *atomic.Pointer[refresh]) { x.recordOutcome(KindUpstream, nil) }, watchTimeout + watchGrace - 5*time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var plan atomic.Pointer[refresh]
				plan.Store(&test.plan)
				now := time.Now()
				x, _ := newTestTables(&now)
				x.now = time.Now
				x.install(table(KindPolicy, 5, "a"))
				store := waitsStore{waits: make(chan time.Duration)}
				x.store, x.refreshPlan = store, func(Kind) refresh { return *plan.Load() }
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				listed := true
				go func() {
					for ctx.Err() == nil {
						err := x.refreshOnce(ctx, KindPolicy, &listed)
						x.recordOutcome(KindPolicy, err)
					}
				}()
				if wait := <-store.waits; wait != test.plan.wait {
					t.Errorf("the first watch waits for %v, want %v", wait, test.plan.wait)
				}
				time.Sleep(5 * time.Second)
				test.event(x, &plan)
				began := time.Now()
				if wait := <-store.waits; wait != 0 {
					t.Errorf("the watch after one without an answer waits for %v, want none", wait)
				}
				if took := time.Since(began); took > test.latest || took < test.latest-replanInterval {
					t.Errorf("the store is called again after %v, want %v, or up to %v less", took, test.latest, replanInterval)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

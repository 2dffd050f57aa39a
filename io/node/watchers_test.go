package node

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"burdockseam/core/placement"
)

// watchedStore reports on a channel when it is watched.
type watchedStore struct {
	Store
	watched chan struct{}
}

func (s watchedStore) Watch(ctx context.Context, _ Kind, _ uint64, _ time.Duration) ([]Event, Stamp, error) {
	s.watched <- struct{}{}
	<-ctx.Done()
	return nil, Stamp{}, ctx.Err()
}

// TestNewWatcherSleeps guards against a failure domain that nobody watches the store for
// because the instance that takes over waits for its next list first.
func TestNewWatcherSleeps(t *testing.T) {
	now := time.Unix(0, 0)
	x, _ := newTestTables(&now)
	store := watchedStore{watched: make(chan struct{}, 1)}
	x.store = store
	var watcher atomic.Bool
	x.refreshPlan = func(Kind) refresh {
		if watcher.Load() {
			return refresh{wait: time.Minute}
		}
		return refresh{pause: staleListInterval, listOnly: true}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listed := true
	go func() {
		if err := x.refreshOnce(ctx, KindPolicy, &listed); !errors.Is(err, context.Canceled) {
			t.Errorf("unexpected error %v", err)
		}
	}()
	time.Sleep(50 * time.Millisecond)
	watcher.Store(true)
	select {
	case <-store.watched:
	case <-time.After(3 * time.Second):
		t.Error("the store is not watched within 3 s")
	}
}

// TestWatcherWithoutStore guards against a failure domain whose watchers answer other
// instances but get no answer from the store.
func TestWatcherWithoutStore(t *testing.T) {
	n := newLargeNode(t)
	var order []string // the instances of the failure domain in the order of preference
	n.snapshot.Load().ranks.Walk("watch", n.settings().Place("d0"), func(i placement.Instance) bool {
		if i.Domain == "d0" {
			order = append(order, i.Address)
		}
		return i.Domain == "d0"
	})
	var storeless []string
	expect := func(name string, want ...string) {
		t.Helper()
		if got := n.watchers("d0"); !slices.Equal(got, want) {
			t.Errorf("%s: watchers %v, want %v", name, got, want)
		}
	}
	loseStore := func(addresses ...string) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, a := range addresses {
			if a != n.self.Address {
				n.peerStateOf(a).storeless = true
				storeless = append(storeless, a)
			}
		}
	}
	expect("all reach the store", order[:2]...)
	loseStore(order[:3]...)
	rest := slices.DeleteFunc(slices.Clone(order), func(a string) bool { return slices.Contains(storeless, a) })
	expect("the first do not", rest[:2]...)
	loseStore(order[3:]...)
	expect("only this instance does", n.self.Address, storeless[0])
}

// TestOneCloseWatcherPerRegion guards against a region in which nobody repeats its watches in
// short intervals, so that a change goes unnoticed if all watches hang, and against several
// instances that do so and multiply the calls to the store.
func TestOneCloseWatcherPerRegion(t *testing.T) {
	n := newLargeNode(t)
	regions := map[string]string{"d0": "r0", "d1": "r0", "d2": "r1", "d3": "r1", "d4": "r2", "d5": "r2"}
	// closeWatchers returns the close watchers of the regions among the instances that answer.
	closeWatchers := func(t *testing.T, silent map[string]placement.Instance) map[string]placement.Instance {
		t.Helper()
		out := make(map[string]placement.Instance)
		for _, i := range n.snapshot.Load().instances {
			if i.Address == silent[regions[i.Domain]].Address {
				continue
			}
			n.self = i
			n.activeSettings.Store(&Settings{Name: "a", Domain: i.Domain, Regions: regions, ApplyTimeout: 5 * time.Second})
			if !n.watchesClosely() {
				continue
			}
			region := regions[i.Domain]
			if other, ok := out[region]; ok {
				t.Errorf("%s and %s both watch closely in %s", other.Address, i.Address, region)
			}
			out[region] = i
			if got := n.refreshPlan(KindPolicy).wait; got > 5*time.Second/2 {
				t.Errorf("the close watcher %s waits for %v, at most half of 5 s allowed", i.Address, got)
			}
		}
		if len(out) != 3 {
			t.Errorf("%d regions have a close watcher, want 3", len(out))
		}
		return out
	}
	first := closeWatchers(t, nil)
	t.Run("another instance takes over from one that does not answer", func(t *testing.T) {
		for _, i := range first {
			n.recordNoAnswer(i.Address, errors.New("no answer"))
			n.recordNoAnswer(i.Address, errors.New("no answer"))
		}
		closeWatchers(t, first)
	})
}

// TestStaleFirstList guards against a list of an instance that costs the store a full read
// although nobody relies on the table being current, and against a stale one where somebody does.
func TestStaleFirstList(t *testing.T) {
	n := newLargeNode(t)
	for _, test := range []struct {
		kind  Kind
		bound time.Duration
		stale bool
	}{
		{KindOutDomain, defaultEvacuateTimeout, true},
		{KindOutDomain, 5 * time.Second, false},
		{KindPolicy, defaultEvacuateTimeout, false},
		{KindUpstream, defaultEvacuateTimeout, false},
	} {
		n.activeSettings.Store(&Settings{ApplyTimeout: test.bound, EvacuateTimeout: test.bound, LeaveTimeout: test.bound})
		if got := n.mayListStale(test.kind); got != test.stale {
			t.Errorf("a stale list of %s with a bound of %v: %v, want %v", test.kind, test.bound, got, test.stale)
		}
	}
}

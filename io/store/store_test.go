package store_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdockseam/io/store"
	"burdockseam/io/storetest"
)

func startStore(t *testing.T, o storetest.Options) (*storetest.Server, *store.Client) {
	t.Helper()
	s := storetest.New(o)
	t.Cleanup(s.Close)
	c := store.New(store.Config{Addr: s.Addr(), Name: "a"})
	t.Cleanup(c.Close)
	return s, c
}

// contextWithTimeout returns a context with a timeout, so that calls in a test cannot hang.
func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func mustPut(t *testing.T, c *store.Client, key, value string, version uint64) uint64 {
	t.Helper()
	v, err := c.Put(contextWithTimeout(t, 10*time.Second), key, []byte(value), version)
	if err != nil {
		t.Fatalf("put %s: %v", key, err)
	}
	return v
}

// Guards against concurrent updates that overwrite each other, also if the object is deleted
// and created again in between.
func TestConditionalUpdates(t *testing.T) {
	s, c := startStore(t, storetest.Options{})
	ctx := contextWithTimeout(t, 10*time.Second)
	expectConflict := func(present uint64, err error) {
		t.Helper()
		var e *store.ConflictError
		if !errors.As(err, &e) || e.CurrentVersion != present {
			t.Errorf("got %v, want a conflict with current version %d", err, present)
		}
	}
	v1 := mustPut(t, c, "group/a b", "1", 0)
	_, err := c.Put(ctx, "group/a b", nil, 0)
	expectConflict(v1, err)
	v2 := mustPut(t, c, "group/a b", "2", v1)
	_, err = c.Put(ctx, "group/a b", nil, v1)
	expectConflict(v2, err)
	expectConflict(v2, c.Delete(ctx, "group/a b", v1))
	if err := c.Delete(ctx, "group/a b", v2); err != nil {
		t.Error(err)
	}
	if err := c.Delete(ctx, "group/a b", v2); !store.NotFound.Has(err) {
		t.Errorf("second delete: got %v, want an error of class NotFound", err)
	}
	if v := mustPut(t, c, "group/a b", "3", 0); v <= v2 {
		t.Errorf("put after delete: version %d is not higher than that of the deleted object", v)
	}
	_, err = c.Put(ctx, "group/a b", nil, v2)
	expectConflict(4, err)
	mustPut(t, c, "group/a b", "4", store.AnyVersion)
	if _, err := c.Get(ctx, "none"); !store.NotFound.Has(err) {
		t.Errorf("get of a missing object: got %v, want an error of class NotFound", err)
	}
	if o, err := c.Get(ctx, "group/a b"); err != nil || string(o.Value) != "4" || o.Version != 5 {
		t.Errorf("get: %v, error %v", o, err)
	}
	if n := s.Calls(); n[storetest.KindPut] != 7 || n[storetest.KindGet] != 2 || n[storetest.KindDelete] != 3 {
		t.Errorf("the store counted the calls %v, want 7 puts, 2 gets and 3 deletes", n)
	}
}

// Guards against a value over the size limit that is reported like an outage, by the client
// or by the store.
func TestTooLarge(t *testing.T) {
	s, c := startStore(t, storetest.Options{})
	big := make([]byte, store.MaxValue+1)
	for _, size := range []int{store.MaxValue + 1, 2 * store.MaxValue} {
		body, err := json.Marshal(store.Object{Value: make([]byte, size)})
		if err != nil {
			t.Fatal(err)
		}
		req, err := http.NewRequest(http.MethodPut, "http://"+s.Addr()+"/o/k", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("put of %d bytes: status %d, want 413", size, res.StatusCode)
		}
	}
	if _, err := c.Put(contextWithTimeout(t, 10*time.Second), "k", big, 0); !store.TooLarge.Has(err) {
		t.Errorf("put over the size limit: got %v, want an error of class TooLarge", err)
	}
	mustPut(t, c, "k", string(big[1:]), 0)
}

// Guards against a client that takes a lost response for a failure and applies its change
// twice. It must report that the outcome is unknown, and a read must show the effect.
func TestLostResponse(t *testing.T) {
	s, c := startStore(t, storetest.Options{})
	v := mustPut(t, c, "head", "1", 0)
	s.LoseResponses(1)
	if _, err := c.Put(contextWithTimeout(t, 10*time.Second), "head", []byte("2"), v); !store.Unavailable.Has(err) {
		t.Fatalf("put with a lost response: got %v, want an error of class Unavailable", err)
	}
	o, err := c.Get(contextWithTimeout(t, 10*time.Second), "head")
	if err != nil || string(o.Value) != "2" {
		t.Errorf("get after the lost response: %v, error %v", o, err)
	}
	var conflict *store.ConflictError
	if _, err := c.Put(contextWithTimeout(t, 10*time.Second), "head", []byte("2"), v); !errors.As(err, &conflict) || conflict.CurrentVersion != o.Version {
		t.Errorf("repeated put: got %v, want a conflict with the current version", err)
	}
}

// Guards against calls that outlive their context while the store hangs, or that do not fail
// immediately when it refuses connections, and against a partition of one client that
// affects another.
func TestOutage(t *testing.T) {
	s, c := startStore(t, storetest.Options{})
	other := store.New(store.Config{Addr: s.Addr(), Name: "b"})
	defer other.Close()
	mustPut(t, c, "k", "1", 0)
	expectUnavailable := func(c *store.Client, what string) {
		t.Helper()
		if _, err := c.Get(contextWithTimeout(t, 50*time.Millisecond), "k"); !store.Unavailable.Has(err) {
			t.Errorf("%s: got %v, want an error of class Unavailable", what, err)
		}
	}
	s.SetOutage(storetest.OutageHang)
	expectUnavailable(c, "hanging store")
	s.SetOutage(storetest.OutageNone)
	watched := make(chan error, 1)
	ctx := contextWithTimeout(t, 20*time.Second)
	go func() {
		_, err := c.Watch(ctx, "none", 1, time.Hour)
		watched <- err
	}()
	for s.Calls()[storetest.KindWatch] == 0 {
		time.Sleep(time.Millisecond)
	}
	s.SetOutage(storetest.OutageRefuse)
	if err := <-watched; !store.Unavailable.Has(err) || ctx.Err() != nil {
		t.Errorf("watch that waited when the outage began: got %v, want an error of class Unavailable", err)
	}
	expectUnavailable(c, "refusing store")
	s.SetOutage(storetest.OutageNone)
	s.SetServiceTime(time.Hour)
	expectUnavailable(c, "slow store")
	s.SetServiceTime(0)
	s.SetPartition(func(client string) bool { return client == "a" })
	expectUnavailable(c, "client cut off from the store")
	mustPut(t, other, "k", "2", 1)
	s.SetPartition(nil)
	mustPut(t, c, "k", "3", 2)
}

// Guards against a Follow call that misses a change because of an outage or because the store
// no longer keeps the changes since the last received revision, and against a list of all
// objects that is not reported as a snapshot.
func TestFollowAcrossOutages(t *testing.T) {
	for _, tc := range []struct {
		name    string
		history int
		outage  storetest.Outage
	}{
		{"refusing store", 1000, storetest.OutageRefuse},
		{"hanging store", 1000, storetest.OutageHang},
		{"history too short", 5, storetest.OutageRefuse},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := startStore(t, storetest.Options{History: tc.history})
			s.Set("w/old", []byte("x"))
			ctx, cancel := context.WithCancel(context.Background())
			updates := make(chan store.Update, 1000)
			ended := make(chan struct{})
			go func() {
				c.Follow(ctx, "w/", 20*time.Millisecond, nil, func(u store.Update) { updates <- u })
				close(ended)
			}()
			state := map[string]string{}
			resets, failures := 0, 0
			handleUpdatesUntil := func(cond func() bool) {
				t.Helper()
				limit := time.After(20 * time.Second)
				for !cond() {
					select {
					case u := <-updates:
						if u.Err != nil {
							failures++
							continue
						}
						if u.Snapshot {
							resets++
							clear(state)
						}
						for _, o := range u.Objects.Objects {
							if o.Deleted {
								delete(state, o.Key)
							} else if state[o.Key] = string(o.Value); !strings.HasPrefix(o.Key, "w/") {
								t.Errorf("received the object %s, which is not under the prefix", o.Key)
							}
						}
					case <-limit:
						t.Fatalf("the expected updates did not arrive; the objects are %v", state)
					}
				}
			}
			handleUpdatesUntil(func() bool { return state["w/old"] == "x" })
			s.SetOutage(tc.outage)
			for i := range 10 {
				s.Set(fmt.Sprintf("w/%d", i), []byte("y"))
				s.Set("other", []byte("z"))
			}
			if tc.outage == storetest.OutageRefuse {
				handleUpdatesUntil(func() bool { return failures > 0 })
			}
			s.SetOutage(storetest.OutageNone)
			handleUpdatesUntil(func() bool { return len(state) == 11 })
			if err := c.Delete(contextWithTimeout(t, 10*time.Second), "w/old", store.AnyVersion); err != nil {
				t.Fatal(err)
			}
			handleUpdatesUntil(func() bool { return len(state) == 10 })
			if lists := s.Calls()[storetest.KindList]; resets != lists || (tc.history < 20) != (resets > 1) {
				t.Errorf("%d snapshots received, %d lists requested", resets, lists)
			}
			cancel()
			<-ended
		})
	}
}

// Guards against a watch that loses changes because they do not fit into one response.
func TestWatchBeyondOneResponse(t *testing.T) {
	s, c := startStore(t, storetest.Options{})
	for i := range 7 {
		s.Set(fmt.Sprintf("k%d", i), make([]byte, store.MaxValue))
	}
	var since uint64
	seen := 0
	for calls := 0; seen < 7 && calls < 7; calls++ {
		l, err := c.Watch(contextWithTimeout(t, 10*time.Second), "k", since, 0)
		if err != nil {
			t.Fatal(err)
		}
		seen += len(l.Objects)
		since = l.Revision
	}
	if seen != 7 || since != 7 {
		t.Errorf("received %d changes up to revision %d, want 7 up to 7", seen, since)
	}
}

// Guards against a test store that discards a call whose client has given up. Real stores
// still apply such calls.
func TestAbandonedPutTakesEffect(t *testing.T) {
	s, c := startStore(t, storetest.Options{Delay: 200 * time.Millisecond})
	if _, err := c.Put(contextWithTimeout(t, 20*time.Millisecond), "k", nil, 0); !store.Unavailable.Has(err) {
		t.Errorf("put to the slow store: got %v, want an error of class Unavailable", err)
	}
	for range 1000 {
		if _, ok := s.Object("k"); ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("the abandoned put never took effect")
}

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

func start(t *testing.T, o storetest.Options) (*storetest.Server, *store.Client) {
	t.Helper()
	s := storetest.New(o)
	t.Cleanup(s.Close)
	c := store.New(store.Config{Addr: s.Addr(), Name: "a"})
	t.Cleanup(c.Close)
	return s, c
}

// within returns a context that ends a call that would hang.
func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func put(t *testing.T, c *store.Client, key, value string, version uint64) uint64 {
	t.Helper()
	v, err := c.Put(within(t, 10*time.Second), key, []byte(value), version)
	if err != nil {
		t.Fatalf("put %s: %v", key, err)
	}
	return v
}

// Rival updates must not overwrite each other, also when an object is deleted and
// made again.
func TestConditions(t *testing.T) {
	s, c := start(t, storetest.Options{})
	ctx := within(t, 10*time.Second)
	conflict := func(present uint64, err error) {
		t.Helper()
		var e *store.ConflictError
		if !errors.As(err, &e) || e.CurrentVersion != present {
			t.Errorf("got %v, want a conflict with version %d", err, present)
		}
	}
	v1 := put(t, c, "group/a b", "1", 0)
	_, err := c.Put(ctx, "group/a b", nil, 0)
	conflict(v1, err)
	v2 := put(t, c, "group/a b", "2", v1)
	_, err = c.Put(ctx, "group/a b", nil, v1)
	conflict(v2, err)
	conflict(v2, c.Delete(ctx, "group/a b", v1))
	if err := c.Delete(ctx, "group/a b", v2); err != nil {
		t.Error(err)
	}
	if err := c.Delete(ctx, "group/a b", v2); !store.NotFound.Has(err) {
		t.Errorf("second delete: %v", err)
	}
	if v := put(t, c, "group/a b", "3", 0); v <= v2 {
		t.Errorf("version %d was used before", v)
	}
	_, err = c.Put(ctx, "group/a b", nil, v2)
	conflict(4, err)
	put(t, c, "group/a b", "4", store.AnyVersion)
	if _, err := c.Get(ctx, "none"); !store.NotFound.Has(err) {
		t.Errorf("get: %v", err)
	}
	if o, err := c.Get(ctx, "group/a b"); err != nil || string(o.Value) != "4" || o.Version != 5 {
		t.Errorf("get: %v %v", o, err)
	}
	if n := s.Calls(); n[storetest.KindPut] != 7 || n[storetest.KindGet] != 2 || n[storetest.KindDelete] != 3 {
		t.Errorf("calls: %v", n)
	}
}

// A value over the limit must be told from an outage by both sides.
func TestTooLarge(t *testing.T) {
	s, c := start(t, storetest.Options{})
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
			t.Errorf("%d bytes: status %d", size, res.StatusCode)
		}
	}
	if _, err := c.Put(within(t, 10*time.Second), "k", big, 0); !store.TooLarge.Has(err) {
		t.Errorf("put over the limit: %v", err)
	}
	put(t, c, "k", string(big[1:]), 0)
}

// A client that takes a lost answer for a failure would apply its change twice; it
// must see that the outcome is unknown and find the effect by reading.
func TestLostAnswer(t *testing.T) {
	s, c := start(t, storetest.Options{})
	v := put(t, c, "head", "1", 0)
	s.LoseAnswers(1)
	if _, err := c.Put(within(t, 10*time.Second), "head", []byte("2"), v); !store.Unavailable.Has(err) {
		t.Fatalf("put with a lost answer: %v", err)
	}
	o, err := c.Get(within(t, 10*time.Second), "head")
	if err != nil || string(o.Value) != "2" {
		t.Errorf("after the lost answer: %v %v", o, err)
	}
	var conflict *store.ConflictError
	if _, err := c.Put(within(t, 10*time.Second), "head", []byte("2"), v); !errors.As(err, &conflict) || conflict.CurrentVersion != o.Version {
		t.Errorf("repeated put: %v", err)
	}
}

// A hanging or refusing store must end calls with their context or at once, for the
// cut client only.
func TestOutage(t *testing.T) {
	s, c := start(t, storetest.Options{})
	other := store.New(store.Config{Addr: s.Addr(), Name: "b"})
	defer other.Close()
	put(t, c, "k", "1", 0)
	fails := func(c *store.Client, what string) {
		t.Helper()
		if _, err := c.Get(within(t, 50*time.Millisecond), "k"); !store.Unavailable.Has(err) {
			t.Errorf("%s: %v", what, err)
		}
	}
	s.SetOutage(storetest.OutageHang)
	fails(c, "hang")
	s.SetOutage(storetest.OutageNone)
	watched := make(chan error, 1)
	ctx := within(t, 20*time.Second)
	go func() {
		_, err := c.Watch(ctx, "none", 1, time.Hour)
		watched <- err
	}()
	for s.Calls()[storetest.KindWatch] == 0 {
		time.Sleep(time.Millisecond)
	}
	s.SetOutage(storetest.OutageRefuse)
	if err := <-watched; !store.Unavailable.Has(err) || ctx.Err() != nil {
		t.Errorf("watch that waited when the outage began: %v", err)
	}
	fails(c, "refuse")
	s.SetOutage(storetest.OutageNone)
	s.SetSlow(time.Hour)
	fails(c, "slow")
	s.SetSlow(0)
	s.Cut(func(client string) bool { return client == "a" })
	fails(c, "cut")
	put(t, other, "k", "2", 1)
	s.Cut(nil)
	put(t, c, "k", "3", 2)
}

// An outage, a lost history or a cut must not make a watcher miss a change or see
// one twice.
func TestFollow(t *testing.T) {
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
			s, c := start(t, storetest.Options{History: tc.history})
			s.Set("w/old", []byte("x"))
			ctx, cancel := context.WithCancel(context.Background())
			updates := make(chan store.Update, 1000)
			ended := make(chan struct{})
			go func() {
				c.Follow(ctx, "w/", 20*time.Millisecond, func(u store.Update) { updates <- u })
				close(ended)
			}()
			state := map[string]string{}
			resets, failures := 0, 0
			until := func(cond func() bool) {
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
								t.Errorf("watched %s", o.Key)
							}
						}
					case <-limit:
						t.Fatalf("state %v", state)
					}
				}
			}
			until(func() bool { return state["w/old"] == "x" })
			s.SetOutage(tc.outage)
			for i := range 10 {
				s.Set(fmt.Sprintf("w/%d", i), []byte("y"))
				s.Set("other", []byte("z"))
			}
			if tc.outage == storetest.OutageRefuse {
				until(func() bool { return failures > 0 })
			}
			s.SetOutage(storetest.OutageNone)
			until(func() bool { return len(state) == 11 })
			if err := c.Delete(within(t, 10*time.Second), "w/old", store.AnyVersion); err != nil {
				t.Fatal(err)
			}
			until(func() bool { return len(state) == 10 })
			if lists := s.Calls()[storetest.KindList]; resets != lists || (tc.history < 20) != (resets > 1) {
				t.Errorf("%d resets, %d lists", resets, lists)
			}
			cancel()
			<-ended
		})
	}
}

// A watch must not lose changes that do not fit into one answer.
func TestLargeWatch(t *testing.T) {
	s, c := start(t, storetest.Options{})
	for i := range 7 {
		s.Set(fmt.Sprintf("k%d", i), make([]byte, store.MaxValue))
	}
	var since uint64
	seen := 0
	for calls := 0; seen < 7 && calls < 7; calls++ {
		l, err := c.Watch(within(t, 10*time.Second), "k", since, 0)
		if err != nil {
			t.Fatal(err)
		}
		seen += len(l.Objects)
		since = l.Revision
	}
	if seen != 7 || since != 7 {
		t.Errorf("saw %d changes up to %d", seen, since)
	}
}

// A slow store must still take the effect of a call whose client gave up, since real
// stores do.
func TestLateEffect(t *testing.T) {
	s, c := start(t, storetest.Options{Delay: 200 * time.Millisecond})
	if _, err := c.Put(within(t, 20*time.Millisecond), "k", nil, 0); !store.Unavailable.Has(err) {
		t.Errorf("put: %v", err)
	}
	for range 1000 {
		if _, ok := s.Object("k"); ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("the abandoned put never took effect")
}

package instance

import (
	"context"
	"testing"
	"time"

	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/io/store"
	"burdockseam/io/storetest"
)

// Guards against a head that is skipped because one watch response has two changes of it:
// the earlier revision would stay in force and count as confirmed.
func TestNewestHeadOfWatchResponse(t *testing.T) {
	s := storetest.New(storetest.Options{})
	defer s.Close()
	c := &control{store: store.New(store.Config{Addr: s.Addr(), Name: "test"})}
	defer c.store.Close()
	ctx := context.Background()
	put := func(revision uint64) {
		t.Helper()
		data, err := config.Head{Revision: revision}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.store.Put(ctx, config.HeadKey, data, store.AnyVersion); err != nil {
			t.Fatal(err)
		}
	}
	since := uint64(0)
	for _, revisions := range [][]uint64{{1}, {2, 3}, {4, 5, 6}} {
		for _, r := range revisions {
			put(r)
		}
		want := revisions[len(revisions)-1]
		head, err := c.newHead(ctx, cluster.Poll{Since: since, Wait: time.Second})
		if err != nil || head == nil || head.Revision != want {
			t.Fatalf("after the revisions %v: newHead returned %+v, %v, want revision %d", revisions, head, err, want)
		}
		since = want
	}
}

// Guards against changes of groups that instances miss for up to 12 s, because their watch waited
// through a silence of the store and is never answered.
func TestGroupsWatchedAfterSilence(t *testing.T) {
	s := storetest.New(storetest.Options{})
	defer s.Close()
	c := &control{store: store.New(store.Config{Addr: s.Addr(), Name: "test"}), storeReturned: make(chan struct{}, 1)}
	defer c.store.Close()
	ctx, cancel := context.WithCancel(context.Background())
	updates, ended := make(chan store.Update, 100), make(chan struct{})
	go func() {
		defer close(ended)
		c.store.Follow(ctx, groupPrefix, groupWait, c.storeReturned, func(u store.Update) { updates <- u })
	}()
	defer func() { cancel(); <-ended }()
	poll := func() error {
		ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		_, err := c.pollHead(ctx, cluster.Poll{Wait: 10 * time.Millisecond})
		return err
	}
	expectChange := func(key string) {
		t.Helper()
		s.Set(groupPrefix+key, []byte("{}"))
		for limit := time.After(3 * time.Second); ; {
			select {
			case u := <-updates:
				for _, o := range u.Objects.Objects {
					if o.Key == groupPrefix+key {
						return
					}
				}
			case <-limit:
				t.Fatalf("the change of %s is not known within 3 s", key)
			}
		}
	}
	expectChange("a")
	for _, key := range []string{"b", "c"} {
		time.Sleep(100 * time.Millisecond) // the next watch waits at the store
		s.SetOutage(storetest.OutageLose)
		if err := poll(); err == nil {
			t.Fatal("the silent store has answered")
		}
		s.SetOutage(storetest.OutageNone)
		if err := poll(); err != nil {
			t.Fatal(err)
		}
		expectChange(key)
	}
}

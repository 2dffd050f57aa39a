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

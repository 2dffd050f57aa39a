package upstream_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"burdockseam/core/wal"
	"burdockseam/io/upstream"
	"burdockseam/io/upstreamtest"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/zeebo/errs"
)

// startGroup starts a group of test upstreams and returns a client for each of them.
func startGroup(t *testing.T) (*upstreamtest.Group, []*upstream.Client) {
	t.Helper()
	g := upstreamtest.New(upstreamtest.Options{})
	t.Cleanup(g.Close)
	var cs []*upstream.Client
	for _, u := range g.Upstreams() {
		c, err := upstream.New(upstream.Config{Addr: u.Addr(), User: g.User(), Password: g.Password(), ApplicationName: "control"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		cs = append(cs, c)
	}
	return g, cs
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// execInTerm runs statements at the upstream, as a proxy does in the given term.
func execInTerm(t *testing.T, u *upstreamtest.Upstream, term int, sql string) error {
	t.Helper()
	ctx := contextWithTimeout(t, 10*time.Second)
	c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://proxy:secret@%s/db?sslmode=disable&group.term=%d", u.Addr(), term))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(ctx)
	_, err = c.Exec(ctx, sql).ReadAll()
	return err
}

func expectError(t *testing.T, err error, class *errs.Class) {
	t.Helper()
	if !class.Has(err) {
		t.Errorf("got %v, want an error of class %q", err, string(*class))
	}
}

// Runs the control calls of a promotion. Guards against calls that cannot be repeated, calls
// of old terms that are accepted, and a wrong number of entries that a returning primary
// truncates from the end of its log.
func TestPromotion(t *testing.T) {
	g, c := startGroup(t)
	ctx := contextWithTimeout(t, 30*time.Second)
	us := g.Upstreams()
	if err := execInTerm(t, us[0], 1, "INSERT INTO t (k) VALUES ('a')"); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if st, err := c[i].Status(ctx, 3, 10*time.Second); err != nil || st.LogEnd != (wal.Position{Term: 1, Offset: 3}) {
			t.Fatalf("status of upstream %d: %+v, error %v", i, st, err)
		}
	}
	us[0].PartitionPeers(us[1], us[2])
	if err := execInTerm(t, us[0], 1, "INSERT INTO t (k) VALUES ('tail1'), ('tail2'); INSERT INTO t (k) VALUES ('tail3')"); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		st, err := c[1].Fence(ctx, 2)
		if err != nil || st.Role != upstream.RoleReplica || st.FencedTerm != 2 || st.LogEnd.Offset != 3 {
			t.Fatalf("fence: %+v, error %v", st, err)
		}
	}
	_, err := c[1].Fence(ctx, 1)
	expectError(t, err, &upstream.Fenced)
	_, err = c[1].Promote(ctx, 1, 3)
	expectError(t, err, &upstream.Fenced)
	_, err = c[1].Promote(ctx, 2, 2)
	expectError(t, err, &upstream.Rejected)
	for range 2 {
		st, err := c[1].Promote(ctx, 2, 3)
		if err != nil || st.Role != upstream.RolePrimary || st.LogEnd != (wal.Position{Term: 2, Offset: 4}) {
			t.Fatalf("promote: %+v, error %v", st, err)
		}
	}
	us[0].PartitionPeers()
	h := wal.History{{Term: 1}, {Term: 2, Offset: 3}}
	for i, cut := range []int{1, 0} {
		st, n, err := c[0].Follow(ctx, 2, us[1].Addr(), h)
		if err != nil || n != cut || st.FencedTerm != 2 || st.FollowedAddr != us[1].Addr() {
			t.Errorf("follow, call %d: %+v, dropped %d entries, error %v", i, st, n, err)
		}
	}
	_, _, err = c[2].Follow(ctx, 2, us[1].Addr(), h[:1])
	expectError(t, err, &upstream.Rejected)
	if st, err := c[0].Status(ctx, 4, 10*time.Second); err != nil || st.LogEnd != (wal.Position{Term: 2, Offset: 4}) {
		t.Errorf("status of the old primary: %+v, error %v", st, err)
	}
	if err := execInTerm(t, us[0], 1, "INSERT INTO t (k) VALUES ('late')"); err == nil {
		t.Error("the old primary accepted a write of the old term")
	}
}

// Guards against calls to a hung or crashed upstream that outlive their context, against a
// client that does not recover afterwards, and against more than one connection.
func TestReconnectAfterFaults(t *testing.T) {
	g, c := startGroup(t)
	u := g.Upstreams()[0]
	expectOK := func() {
		t.Helper()
		if _, err := c[0].Status(contextWithTimeout(t, 10*time.Second), 0, 0); err != nil {
			t.Errorf("status: %v", err)
		}
	}
	expectUnavailable := func() {
		t.Helper()
		_, err := c[0].Status(contextWithTimeout(t, 30*time.Millisecond), 0, 0)
		expectError(t, err, &upstream.Unavailable)
	}
	expectOK()
	expectOK()
	if n := u.Stats().Opened; n != 1 {
		t.Errorf("two calls opened %d connections, want 1", n)
	}
	u.PartitionAll()
	expectUnavailable()
	expectUnavailable()
	u.HealPartitions()
	expectOK()
	u.Pause()
	expectUnavailable()
	u.Resume()
	expectOK()
	u.Crash()
	expectUnavailable()
	u.Restart()
	expectOK()
	u.Crash()
	u.Restart()
	expectOK()
}

// Guards against a Status call that waits for an offset which the log never reaches and does
// not return when its wait time has passed or the upstream is fenced.
func TestStatusWaitEnds(t *testing.T) {
	g, c := startGroup(t)
	if st, err := c[0].Status(contextWithTimeout(t, 10*time.Second), 99, 10*time.Millisecond); err != nil || st.LogEnd.Offset != 1 {
		t.Errorf("status after the wait time: %+v, error %v", st, err)
	}
	other, err := upstream.New(upstream.Config{Addr: g.Primary().Addr(), User: g.User(), Password: g.Password()})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	done := make(chan upstream.Status, 1)
	ctx := contextWithTimeout(t, 20*time.Second)
	go func() {
		st, _ := c[0].Status(ctx, 99, time.Hour)
		done <- st
	}()
	for g.Primary().Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := other.Fence(ctx, 2); err != nil {
		t.Fatal(err)
	}
	if st := <-done; st.FencedTerm != 2 {
		t.Errorf("status after the fence: %+v", st)
	}
}

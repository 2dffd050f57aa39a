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

func start(t *testing.T) (*upstreamtest.Group, []*upstream.Client) {
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

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func write(t *testing.T, u *upstreamtest.Upstream, term int, sql string) error {
	t.Helper()
	ctx := within(t, 10*time.Second)
	c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://proxy:secret@%s/db?sslmode=disable&group.term=%d", u.Addr(), term))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(ctx)
	_, err = c.Exec(ctx, sql).ReadAll()
	return err
}

func fails(t *testing.T, err error, class *errs.Class) {
	t.Helper()
	if !class.Has(err) {
		t.Errorf("got %v, want an error of class %q", err, string(*class))
	}
}

// The steps of a promotion must work, be repeatable, refuse old terms and report the
// tail that a returning primary loses.
func TestPromotion(t *testing.T) {
	g, c := start(t)
	ctx := within(t, 30*time.Second)
	us := g.Upstreams()
	if err := write(t, us[0], 1, "INSERT INTO t (k) VALUES ('a')"); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if st, err := c[i].Status(ctx, 3, 10*time.Second); err != nil || st.LogEnd != (wal.Position{Term: 1, Offset: 3}) {
			t.Fatalf("status %d: %+v %v", i, st, err)
		}
	}
	us[0].CutPeers(us[1], us[2])
	if err := write(t, us[0], 1, "INSERT INTO t (k) VALUES ('tail1'), ('tail2'); INSERT INTO t (k) VALUES ('tail3')"); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		st, err := c[1].Fence(ctx, 2)
		if err != nil || st.Role != upstream.RoleReplica || st.FencedTerm != 2 || st.LogEnd.Offset != 3 {
			t.Fatalf("fence: %+v %v", st, err)
		}
	}
	_, err := c[1].Fence(ctx, 1)
	fails(t, err, &upstream.Fenced)
	_, err = c[1].Promote(ctx, 1, 3)
	fails(t, err, &upstream.Fenced)
	_, err = c[1].Promote(ctx, 2, 2)
	fails(t, err, &upstream.Rejected)
	for range 2 {
		st, err := c[1].Promote(ctx, 2, 3)
		if err != nil || st.Role != upstream.RolePrimary || st.LogEnd != (wal.Position{Term: 2, Offset: 4}) {
			t.Fatalf("promote: %+v %v", st, err)
		}
	}
	us[0].CutPeers()
	h := wal.History{{Term: 1}, {Term: 2, Offset: 3}}
	for i, cut := range []int{1, 0} {
		st, n, err := c[0].Follow(ctx, 2, us[1].Addr(), h)
		if err != nil || n != cut || st.FencedTerm != 2 || st.FollowedAddr != us[1].Addr() {
			t.Errorf("follow %d: %+v cut %d, %v", i, st, n, err)
		}
	}
	_, _, err = c[2].Follow(ctx, 2, us[1].Addr(), h[:1])
	fails(t, err, &upstream.Rejected)
	if st, err := c[0].Status(ctx, 4, 10*time.Second); err != nil || st.LogEnd != (wal.Position{Term: 2, Offset: 4}) {
		t.Errorf("old primary: %+v %v", st, err)
	}
	if err := write(t, us[0], 1, "INSERT INTO t (k) VALUES ('late')"); err == nil {
		t.Error("a write of the old term ran")
	}
}

// A hung or crashed upstream must end a call with its context, and the client must
// recover afterwards over one connection.
func TestReconnect(t *testing.T) {
	g, c := start(t)
	u := g.Upstreams()[0]
	good := func() {
		t.Helper()
		if _, err := c[0].Status(within(t, 10*time.Second), 0, 0); err != nil {
			t.Errorf("status: %v", err)
		}
	}
	bad := func() {
		t.Helper()
		_, err := c[0].Status(within(t, 30*time.Millisecond), 0, 0)
		fails(t, err, &upstream.Unavailable)
	}
	good()
	good()
	if n := u.Stats().Opened; n != 1 {
		t.Errorf("%d connections for two calls", n)
	}
	u.CutAll()
	bad()
	bad()
	u.Heal()
	good()
	u.Pause()
	bad()
	u.Resume()
	good()
	u.Crash()
	bad()
	u.Restart()
	good()
	u.Crash()
	u.Restart()
	good()
}

// A wait for an offset that the log never reaches must end with its timeout or when
// a fence arrives.
func TestWait(t *testing.T) {
	g, c := start(t)
	if st, err := c[0].Status(within(t, 10*time.Second), 99, 10*time.Millisecond); err != nil || st.LogEnd.Offset != 1 {
		t.Errorf("status: %+v %v", st, err)
	}
	other, err := upstream.New(upstream.Config{Addr: g.Primary().Addr(), User: g.User(), Password: g.Password()})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	done := make(chan upstream.Status, 1)
	ctx := within(t, 20*time.Second)
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

package fleet

import (
	"context"
	"crypto/rand"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/jackc/pgx/v5"

	"burdockseam/core/config"
	"burdockseam/core/key"
	"burdockseam/io/storetest"
)

// logBuffer collects log lines and counts texts in them.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) add(prefix, args string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.WriteString(prefix + " " + args + "\n")
}

func (l *logBuffer) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), part)
}

// Guards against three failures: a login with a wrong key or another team's key succeeds;
// a statement runs without a logged routing decision; a key's secret or its hash appears
// in logs, on the operators' port or in the traffic to upstreams.
func TestKeyStaysAtTheProxy(t *testing.T) {
	var logged logBuffer
	f := startFleet(t, Ensayo, Options{Log: funcr.New(logged.add, funcr.Options{Verbosity: 9})})
	ctx := context.Background()
	member := f.Members()[0]
	group := f.Deployment.Groups[0]
	wrongURL, err := url.Parse(f.URL(member, "mty-students", group))
	if err != nil {
		t.Fatal(err)
	}
	keyText := f.Keys["mty-students"]
	id := key.ID(keyText)
	wrongURL.User = url.UserPassword("mty-students", id+".wrong")
	if c, err := pgx.Connect(ctx, wrongURL.String()); err == nil {
		t.Errorf("login with a wrong key succeeded: %v", c.Close(ctx))
	}
	wrongURL.User = url.UserPassword("gdl-students", keyText)
	if c, err := pgx.Connect(ctx, wrongURL.String()); err == nil {
		t.Errorf("login with another team's key succeeded: %v", c.Close(ctx))
	}
	c := connect(t, f, member, "mty-students", group, "")
	if _, err := c.Exec(ctx, "INSERT INTO bookings (room, band) VALUES ('a', 'norte')"); err != nil {
		t.Fatal(err)
	}
	var band string
	if err := c.QueryRow(ctx, "SELECT band FROM bookings WHERE room = 'a'").Scan(&band); err != nil || band != "norte" {
		t.Fatalf("band = %q, %v, want norte", band, err)
	}
	if n := logged.count("upstream chosen"); n < 2 {
		t.Errorf("%d routing decisions were logged, want at least 2", n)
	}
	assertKeyNotLeaked(t, f, &logged, id, keyText)
}

// assertKeyNotLeaked fails the test if the secret of a key or its hash appears in
// statements and parameters at upstreams, on the operators' ports or in the logs.
func assertKeyNotLeaked(t *testing.T, f *Fleet, logged *logBuffer, id, keyText string) {
	t.Helper()
	_, secret, _ := strings.Cut(keyText, ".")
	cfg := f.Members()[0].Config()
	hash := cfg.Keys[id].Hash
	if hash == "" {
		t.Fatal("the configuration in force does not hold the key")
	}
	var seen strings.Builder
	for _, g := range f.Groups {
		for _, u := range g.Upstreams() {
			s := u.Stats()
			seen.WriteString(strings.Join(s.Statements, "\n"))
			for _, params := range s.Params {
				for name, value := range params {
					seen.WriteString(name + "=" + value + "\n")
				}
			}
		}
	}
	for _, m := range f.Members() {
		for _, path := range []string{"/metrics", "/status", "/readyz", "/healthz"} {
			seen.WriteString(getOperatorPage(t, m, path))
		}
	}
	for _, part := range []string{secret, hash} {
		if strings.Contains(seen.String(), part) || logged.count(part) > 0 {
			t.Error("the key or its hash was found in upstream traffic, the operators' port or logs")
		}
	}
}

// Guards against a withdrawn key that still works: for a login at any instance, in an
// idle session, or in an open transaction, which must be rolled back.
func TestWithdrawnKey(t *testing.T) {
	f := startFleet(t, Ensayo, Options{})
	ctx := context.Background()
	group := f.Deployment.Groups[0]
	members := f.Members()
	idle := connect(t, f, members[1], "equipment", group, "")
	open := connect(t, f, members[2], "equipment", group, "")
	if _, err := open.Exec(ctx, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	if _, err := open.Exec(ctx, "INSERT INTO bookings (room, band) VALUES ('x', 'late')"); err != nil {
		t.Fatal(err)
	}
	r, err := f.ConfigClient().Edit(ctx, config.ChangeInfo{Op: "withdraw", Time: time.Now()}, func(files []config.File) ([]config.File, error) {
		return config.WithdrawKey(files, key.ID(f.Keys["equipment"]))
	})
	if err != nil {
		t.Fatal(err)
	}
	waitRevision(t, f, r.Revision)
	if _, err := idle.Exec(ctx, "SELECT 1"); err == nil {
		t.Error("a statement ran with a withdrawn key")
	}
	if _, err := open.Exec(ctx, "COMMIT"); err == nil {
		t.Error("a transaction of a withdrawn key was committed")
	}
	for _, u := range f.Groups[group].Upstreams() {
		for _, row := range u.Rows("bookings") {
			if row[0] == "x" {
				t.Error("a write of a transaction that must be rolled back is in the database")
			}
		}
	}
	for _, m := range members {
		if c, err := pgx.Connect(ctx, f.URL(m, "equipment", group)); err == nil {
			t.Errorf("login with a withdrawn key succeeded: %v", c.Close(ctx))
		}
	}
}

// TestKeyWithdrawnAfterSilence guards against a key that is accepted on after the store was silent,
// because the calls that waited for a change are never answered.
func TestKeyWithdrawnAfterSilence(t *testing.T) {
	f := startFleet(t, Ensayo, Options{})
	ctx := context.Background()
	group := f.Deployment.Groups[0]
	idle := connect(t, f, f.Members()[1], "equipment", group, "")
	f.Store.SetOutage(storetest.OutageLose)
	letLoadRun(4 * time.Second)
	f.Store.SetOutage(storetest.OutageNone)
	r, err := f.ConfigClient().Edit(ctx, config.ChangeInfo{Op: "withdraw", Time: time.Now()}, func(files []config.File) ([]config.File, error) {
		return config.WithdrawKey(files, key.ID(f.Keys["equipment"]))
	})
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	waitRevision(t, f, r.Revision)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("the key is withdrawn everywhere after %v, want 5 s", took)
	}
	if _, err := idle.Exec(ctx, "SELECT 1"); err == nil {
		t.Error("a statement ran with a withdrawn key")
	}
}

// TestAccessLostDuringTransaction guards against a transaction that goes on although its caller's key
// belongs to another team now, or the route that was open to everybody is closed.
func TestAccessLostDuringTransaction(t *testing.T) {
	f := startFleet(t, Ensayo, Options{})
	ctx := context.Background()
	edit := func(t *testing.T, op, old, replacement string) {
		t.Helper()
		r, err := f.ConfigClient().Edit(ctx, config.ChangeInfo{Op: op, Time: time.Now()}, func(files []config.File) ([]config.File, error) {
			for k := range files {
				files[k].Data = []byte(strings.ReplaceAll(string(files[k].Data), old, replacement))
			}
			return files, nil
		})
		if err != nil {
			t.Fatal(err)
		}
		waitRevision(t, f, r.Revision)
	}
	expectNoCommit := func(t *testing.T, group string, change func()) {
		t.Helper()
		c := connect(t, f, f.Members()[1], "equipment", group, "")
		for _, statement := range []string{"BEGIN", "INSERT INTO bookings (room, band) VALUES ('x', 'late')"} {
			if _, err := c.Exec(ctx, statement); err != nil {
				t.Fatal(err)
			}
		}
		change()
		if _, err := c.Exec(ctx, "COMMIT"); err == nil {
			t.Error("a transaction was committed without access")
		}
	}
	t.Run("route closed", func(t *testing.T) {
		group := f.Deployment.Groups[1]
		closed := "[route " + group + "]\n"
		edit(t, "open", closed, closed+"open = true\n")
		expectNoCommit(t, group, func() { edit(t, "close", closed+"open = true\n", closed) })
	})
	t.Run("key moved", func(t *testing.T) {
		other, err := key.Issue(rand.Reader) // a team needs a key
		if err != nil {
			t.Fatal(err)
		}
		section := "[key " + key.ID(f.Keys["equipment"]) + "]\nteam = "
		expectNoCommit(t, f.Deployment.Groups[0], func() {
			edit(t, "move", section+"equipment\n", "[key "+other.ID+"]\nteam = equipment\nhash = "+other.Hash+"\n\n"+section+"mty-students\n")
		})
	})
}

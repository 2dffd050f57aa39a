package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"

	"burdockseam/io/fleet"
	"burdockseam/io/instance"
)

// deployment is a running fleet with the command's arguments for it.
type deployment struct {
	*testing.T
	f    *fleet.Fleet
	args []string
}

func start(t *testing.T, instances int) *deployment {
	t.Helper()
	f, err := fleet.Start(context.Background(), fleet.Deployments[fleet.Ensayo], fleet.Options{
		Log: logr.Discard(), Instances: instances,
		Settings: func(s *instance.Settings) { s.Drain = time.Second },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return &deployment{t, f, []string{"--store", f.Store.Addr(), "--operator", f.Members()[0].Settings().Operator}}
}

// result is what one run of the command gave.
type result struct {
	code int
	out  string
	err  string
}

// ctl runs the command.
func (d *deployment) ctl(args ...string) result {
	d.Helper()
	return execute(d.T, append(append([]string{}, d.args...), args...)...)
}

func execute(t *testing.T, args ...string) result {
	t.Helper()
	var out, errOut bytes.Buffer
	code := run(context.Background(), args, &out, &errOut)
	t.Logf("burdockctl %s: exit %d\n%s%s", strings.Join(args, " "), code, &out, &errOut)
	return result{code, out.String(), errOut.String()}
}

// want checks the exit code and that the output has all the parts.
func (r result) want(t *testing.T, code int, parts ...string) result {
	t.Helper()
	if r.code != code {
		t.Errorf("exit code %d, want %d", r.code, code)
	}
	for _, p := range parts {
		if !strings.Contains(r.out+r.err, p) {
			t.Errorf("the output lacks %q", p)
		}
	}
	return r
}

// into reads the output as JSON.
func (r result) into(t *testing.T, v any) {
	t.Helper()
	if err := json.Unmarshal([]byte(r.out), v); err != nil {
		t.Fatalf("the output is not JSON: %v", err)
	}
}

// pull makes a folder of the accepted revision.
func (d *deployment) pull() string {
	d.Helper()
	dir := d.TempDir()
	d.ctl("pull", dir).want(d.T, exitOK)
	return dir
}

// edit replaces text in a file of a folder.
func (d *deployment) edit(dir, file, old, text string) {
	d.Helper()
	path := filepath.Join(dir, file)
	data, err := os.ReadFile(path)
	if err != nil {
		d.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		d.Fatalf("%s does not contain %q", file, old)
	}
	d.write(dir, file, strings.Replace(string(data), old, text, 1))
}

func (d *deployment) write(dir, file, text string) {
	d.Helper()
	if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
		d.Fatal(err)
	}
}

// login tries to log in through an instance and to read.
func (d *deployment) login(m *fleet.Member, team, key string) error {
	d.f.Keys[team] = key
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, d.f.URL(m, team, d.f.Deployment.Groups[0]))
	if err != nil {
		return err
	}
	// The session ends with the test in any case.
	defer func() { _ = c.Close(ctx) }()
	return c.Ping(ctx)
}

// setting returns a value of the newest accepted revision.
func (d *deployment) setting(section, key string) string {
	d.Helper()
	var shown struct {
		Settings []struct{ Section, Key, Value string }
	}
	d.ctl("show", "--json").want(d.T, exitOK).into(d.T, &shown)
	for _, s := range shown.Settings {
		if s.Section == section && s.Key == key {
			return s.Value
		}
	}
	return ""
}

// eventually waits for a condition, with a bound that only a hang exceeds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(60 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("did not happen: %s", what)
		}
	}
}

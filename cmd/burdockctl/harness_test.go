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

// deployment is a running fleet, and the arguments with which burdockctl reaches it.
type deployment struct {
	*testing.T
	fleet *fleet.Fleet
	args  []string
}

// startDeployment starts a fleet and waits until it is ready.
func startDeployment(t *testing.T, instances int) *deployment {
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

// result is the exit code and output of one run of burdockctl.
type result struct {
	code int
	out  string
	err  string
}

// runCtl runs burdockctl with the arguments of the deployment.
func (d *deployment) runCtl(args ...string) result {
	d.Helper()
	return runCommand(d.T, append(append([]string{}, d.args...), args...)...)
}

// runCommand runs burdockctl and logs its output.
func runCommand(t *testing.T, args ...string) result {
	t.Helper()
	var out, errOut bytes.Buffer
	code := run(context.Background(), args, &out, &errOut)
	t.Logf("burdockctl %s: exit %d\n%s%s", strings.Join(args, " "), code, &out, &errOut)
	return result{code, out.String(), errOut.String()}
}

// check checks the exit code, and that the output contains all parts.
func (r result) check(t *testing.T, code int, parts ...string) result {
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

// decodeJSON parses the output as JSON into v.
func (r result) decodeJSON(t *testing.T, v any) {
	t.Helper()
	if err := json.Unmarshal([]byte(r.out), v); err != nil {
		t.Fatalf("the output is not JSON: %v", err)
	}
}

// pullFolder returns a new folder with the accepted revision.
func (d *deployment) pullFolder() string {
	d.Helper()
	dir := d.TempDir()
	d.runCtl("pull", dir).check(d.T, exitOK)
	return dir
}

// replaceInFile replaces the first occurrence of a text in a file of a folder.
func (d *deployment) replaceInFile(dir, file, old, text string) {
	d.Helper()
	path := filepath.Join(dir, file)
	data, err := os.ReadFile(path)
	if err != nil {
		d.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		d.Fatalf("%s does not contain %q", file, old)
	}
	d.writeFile(dir, file, strings.Replace(string(data), old, text, 1))
}

func (d *deployment) writeFile(dir, file, text string) {
	d.Helper()
	if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
		d.Fatal(err)
	}
}

// login logs in through an instance and runs a statement that reads nothing.
func (d *deployment) login(m *fleet.Member, team, key string) error {
	d.fleet.Keys[team] = key
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, d.fleet.URL(m, team, d.fleet.Deployment.Groups[0]))
	if err != nil {
		return err
	}
	// An error has no effect, since the session is not used again.
	defer func() { _ = c.Close(ctx) }()
	return c.Ping(ctx)
}

// setting returns a value of the accepted revision, or "" if it is not set.
func (d *deployment) setting(section, key string) string {
	d.Helper()
	var shown struct {
		Settings []struct{ Section, Key, Value string }
	}
	d.runCtl("show", "--json").check(d.T, exitOK).decodeJSON(d.T, &shown)
	for _, s := range shown.Settings {
		if s.Section == section && s.Key == key {
			return s.Value
		}
	}
	return ""
}

// eventually waits until the condition holds. Only a hang exceeds the limit of a minute.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(60 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("did not happen: %s", condition)
		}
	}
}

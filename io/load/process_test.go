package load

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"burdockseam/io/fleet"
	"burdockseam/io/instance"
)

// writeFakeDaemon writes a shell script that stands in for the daemon, and returns its path.
func writeFakeDaemon(t *testing.T, script string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "daemon")
	if err := os.WriteFile(path, []byte("#!/bin/sh\n"+script+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

// printAddresses is the part of a script that logs the addresses as the daemon does.
const printAddresses = `echo 'msg="instance: started" callers=127.0.0.1:1 peer=127.0.0.1:2 operator=127.0.0.1:3' >&2; `

// Guards against processes or settings files that are left behind after the run, also of a
// paused instance, and against addresses that are not read from the log.
func TestProcessesEnd(t *testing.T) {
	ctx := context.Background()
	f, err := fleet.Start(ctx, fleet.Deployments[fleet.Ensayo], fleet.Options{Instances: -1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	published := 0
	p, err := newProcesses(f, writeFakeDaemon(t, printAddresses+"exec sleep 600"), nil, func(l []instance.ListedInstance) error {
		published = len(l)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	for range 3 {
		if err := p.Add(ctx, "cdmx-a"); err != nil {
			t.Fatal(err)
		}
	}
	all := append([]*process(nil), p.list...)
	if e := all[2].Endpoint; published != 3 || e.Listen != "127.0.0.1:1" || e.Peer != "127.0.0.1:2" || e.Operator != "127.0.0.1:3" {
		t.Errorf("%d instances published, want 3, and the third at %+v", published, e)
	}
	if err := p.Kill(all[0].Name); err != nil {
		t.Fatal(err)
	}
	if err := p.SetPaused(all[1].Name, true); err != nil {
		t.Fatal(err)
	}
	p.Close()
	for _, x := range all {
		select {
		case <-x.done:
		default:
			t.Errorf("the process of %s still runs after Close", x.Name)
		}
	}
	if _, err := os.Stat(p.dir); !os.IsNotExist(err) {
		t.Errorf("the folder of settings still exists after Close: %v", err)
	}
}

// Guards against a run that waits for a process that ended before it logged its
// addresses.
func TestProcessThatEndsAtOnce(t *testing.T) {
	ctx := context.Background()
	f, err := fleet.Start(ctx, fleet.Deployments[fleet.Ensayo], fleet.Options{Instances: -1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	p, err := newProcesses(f, writeFakeDaemon(t, "exit 3"), nil, func([]instance.ListedInstance) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	if err := p.Add(ctx, "cdmx-a"); err == nil {
		t.Error("Add succeeded although the process had ended")
	}
}

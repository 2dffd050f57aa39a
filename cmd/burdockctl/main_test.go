package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"burdockseam/core/config"
	"burdockseam/io/ctl"
	"burdockseam/io/storetest"
)

// Guards against an operator's change that undoes another operator's change, and against a
// folder whose remembered base revision is newer than its files.
func TestOperatorsKeepEachOthersChanges(t *testing.T) {
	d := startDeployment(t, 3)
	first, second := d.pullFolder(), d.pullFolder()
	d.replaceInFile(first, "40-teams.ini", "rate = 200/s", "rate = 201/s")
	d.replaceInFile(second, "10-domains.ini", "region = gdl", "region = west")
	d.runCtl("diff", first).check(t, exitOK, "[team cdmx-students] rate: 200/s -> 201/s")
	d.runCtl("apply", first, "--wait").check(t, exitOK, "revision 2", "in force on every live instance")
	d.runCtl("apply", second, "--wait", "--comment", "move", "--author", "ana").check(t, exitOK, "revision 3")
	// The second folder now contains the change of the first folder, and its next change
	// keeps that change.
	d.replaceInFile(second, "10-domains.ini", "region = west", "region = east")
	d.runCtl("apply", second).check(t, exitOK, "revision 4")
	if rate, region := d.setting("team cdmx-students", "rate"), d.setting("domain gdl-a", "region"); rate != "201/s" || region != "east" {
		t.Errorf("rate %s, region %s, want both changes", rate, region)
	}
	d.replaceInFile(first, "10-domains.ini", "region = gdl", "region = north")
	d.runCtl("apply", first).check(t, exitConflict, "10-domains.ini")
	d.runCtl("pull", first).check(t, exitConflict, "10-domains.ini")
	if region := d.setting("domain gdl-a", "region"); region != "east" {
		t.Errorf("region %s after a conflict, want east", region)
	}
	d.runCtl("apply", second).check(t, exitOK, "no change")
	d.runCtl("history").check(t, exitOK, "ana", "move", "10-domains.ini")
	d.runCtl("revert", "2", "--wait").check(t, exitOK, "revision 5")
	if rate, region := d.setting("team cdmx-students", "rate"), d.setting("domain gdl-a", "region"); rate != "201/s" || region != "gdl" {
		t.Errorf("rate %s, region %s after the revert, want those of revision 2", rate, region)
	}
	d.runCtl("show", "--revision", "1").check(t, exitOK, "rate = 200/s", "40-teams.ini:")
	d.runCtl("revert", "99").check(t, exitFailed, "does not exist")
	if err := os.Remove(filepath.Join(second, ctl.StateFile)); err != nil {
		t.Fatal(err)
	}
	d.runCtl("apply", second).check(t, exitUsage, "--base")
	d.runCtl("apply", second, "--base", "4").check(t, exitOK, "no change")
}

// Guards against an invalid folder that is applied in part, or for which only the first
// fault is reported.
func TestInvalidFolderIsRejectedWhole(t *testing.T) {
	d := startDeployment(t, 3)
	dir := d.pullFolder()
	d.replaceInFile(dir, "40-teams.ini", "rate = 200/s", "rate = 0/s")
	d.replaceInFile(dir, "10-domains.ini", "state = in", "state = away")
	d.writeFile(dir, "90-extra.ini", "[route extra]\ngroup = nowhere\nteams = nobody\n")
	d.writeFile(dir, "91-wrong.ini", "[wrong thing]\na = b\n")
	d.runCtl("apply", dir).check(t, exitInvalid, "40-teams.ini:2", "10-domains.ini:3", "90-extra.ini:2", "90-extra.ini:3", "91-wrong.ini:1")
	d.runCtl("diff", dir).check(t, exitInvalid)
	d.runCtl("key", "issue", "nobody").check(t, exitInvalid, "nobody")
	if rate := d.setting("team cdmx-students", "rate"); rate != "200/s" {
		t.Errorf("rate %s after a refused folder, want 200/s", rate)
	}
	d.runCtl("history").check(t, exitOK, "1 ")
}

// Guards against a change that is made twice, or reported as failed, because an answer of the
// store was lost or the store was unreachable for a time. Also guards against a change that
// is reported as failed although it may have been accepted.
func TestChangeIsMadeOnceDespiteStoreFaults(t *testing.T) {
	d := startDeployment(t, 3)
	dir := d.pullFolder()
	d.replaceInFile(dir, "40-teams.ini", "rate = 200/s", "rate = 201/s")
	// The lost answers are to the puts of the file, of the history entry and of the head.
	d.fleet.Store.LoseResponses(3)
	d.runCtl("apply", dir).check(t, exitOK, "accepted as revision 2")

	d.replaceInFile(dir, "40-teams.ini", "rate = 201/s", "rate = 202/s")
	d.fleet.Store.SetOutage(storetest.OutageRefuse)
	d.runCtl("apply", dir, "--timeout", "300ms").check(t, exitFailed)
	done := make(chan result)
	before := d.fleet.Store.CallsOf("burdockctl")
	go func() { done <- d.runCtl("apply", dir) }()
	d.fleet.Store.SetOutage(storetest.OutageHang)
	d.fleet.Store.SetOutage(storetest.OutageNone)
	(<-done).check(t, exitOK, "accepted as revision 3")
	if after := d.fleet.Store.CallsOf("burdockctl"); after[storetest.KindPut] <= before[storetest.KindPut] {
		t.Error("apply wrote nothing to the store")
	}
	if rate := d.setting("team cdmx-students", "rate"); rate != "202/s" {
		t.Errorf("rate %s, want 202/s", rate)
	}
	d.runCtl("history").check(t, exitOK, "\n3 ")
}

// silentAfterHeadStore gives no answer to the update of the head and to every later get.
type silentAfterHeadStore struct {
	config.Store
	headWritten bool
}

func (s *silentAfterHeadStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	if s.headWritten {
		return nil, 0, fmt.Errorf("no answer")
	}
	return s.Store.Get(ctx, key)
}

func (s *silentAfterHeadStore) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	v, err := s.Store.Put(ctx, key, value, version)
	if key == config.HeadKey {
		s.headWritten = true
		return 0, fmt.Errorf("no answer")
	}
	return v, err
}

// Guards against a change that is reported as failed, although it was accepted, because the
// store gave no answer after the update of the head.
func TestUnknownOutcomeExitCode(t *testing.T) {
	d := startDeployment(t, 3)
	var a arguments
	a.Store, a.Author = d.fleet.Store.Addr(), "ana"
	client, closeClient := a.newClient()
	defer closeClient()
	client.Store = &silentAfterHeadStore{Store: client.Store}
	ctx, cancel := context.WithTimeout(context.Background(), 1e9)
	defer cancel()
	if _, err := client.SetDomainState(ctx, "gdl-a", config.StateOut, false); exitCode(err) != exitOutcomeUnknown {
		t.Errorf("exit code %d for %v, want %d", exitCode(err), err, exitOutcomeUnknown)
	}
	if s := d.setting("domain gdl-a", "state"); s != "out" {
		t.Errorf("domain gdl-a has the state %s, want out", s)
	}
}

// Guards against a key that does not work at every instance after it was issued, or that
// still works at an instance after its withdrawal was reported as in force.
func TestKeyLifecycle(t *testing.T) {
	d := startDeployment(t, 6)
	var k ctl.IssuedKey
	d.runCtl("key", "issue", "equipment", "--wait", "--json").check(t, exitOK).decodeJSON(t, &k)
	for _, m := range d.fleet.Members() {
		if err := d.login(m, "equipment", k.Text); err != nil {
			t.Errorf("login at %s with a new key: %v", m.Settings().Name, err)
		}
	}
	d.runCtl("key", "list", "equipment").check(t, exitOK, k.ID, "active")
	d.runCtl("key", "withdraw", k.ID, "--wait").check(t, exitOK, "in force on every live instance")
	for _, m := range d.fleet.Members() {
		if err := d.login(m, "equipment", k.Text); err == nil {
			t.Errorf("login at %s with a withdrawn key succeeded", m.Settings().Name)
		}
	}
	_, secret, _ := strings.Cut(k.Text, ".")
	all := d.runCtl("key", "list", "--json").check(t, exitOK, "withdrawn").out + d.runCtl("show").out + d.runCtl("history").out + d.runCtl("status", "--json").out
	if strings.Contains(all, secret) {
		t.Error("the secret part of the key is shown after the key was issued")
	}
	d.runCtl("key", "withdraw", "nosuchkey").check(t, exitFailed, "nosuchkey")
	d.runCtl("key", "list", "nosuchteam").check(t, exitFailed, "nosuchteam")
}

// Guards against a --wait that reports success while an instance that is cut off from the
// store and its peers still has the earlier revision.
func TestWaitNamesInstanceBehind(t *testing.T) {
	d := startDeployment(t, 6)
	d.runCtl("status").check(t, exitOK)
	last := d.fleet.Members()[5].Settings()
	d.fleet.Store.SetPartition(func(client string) bool { return client == last.Name })
	everyone := func(string) bool { return true }
	last.Partition.Set(everyone, everyone)
	r := d.runCtl("domain", "out", "gdl-a", "--wait", "--timeout", "8s").check(t, exitNotInForce, last.Name, "is at revision 1")
	for _, m := range d.fleet.Members()[:5] {
		if strings.Contains(r.err, m.Settings().Name+" in") {
			t.Errorf("%s is named, but has the revision", m.Settings().Name)
		}
	}
	d.fleet.Store.SetPartition(nil)
	last.Partition.Set(nil, nil)
	d.runCtl("domain", "in", "gdl-a", "--wait").check(t, exitOK, "in force on every live instance")
}

// Guards against a --wait that never ends because an instance has died.
func TestWaitSkipsDeadInstance(t *testing.T) {
	d := startDeployment(t, 3)
	dead := d.fleet.Members()[2]
	if err := d.fleet.Kill(dead); err != nil {
		t.Fatal(err)
	}
	d.runCtl("upstream", "leave", "salas1.gdl-a", "--wait").check(t, exitOK, "taken for dead: "+dead.Settings().Peer)
}

// Guards against operators who take out the last failure domain, or the last
// upstream of a group, by mistake.
func TestLastDomainOrUpstreamNeedsForce(t *testing.T) {
	d := startDeployment(t, 3)
	for _, name := range []string{"cdmx-a", "gdl-a"} {
		d.runCtl("domain", "out", name).check(t, exitOK)
	}
	d.runCtl("domain", "out", "mty-a").check(t, exitFailed, "last failure domain")
	d.runCtl("upstream", "leave", "salas1.mty-a").check(t, exitFailed, "last upstream")
	d.runCtl("domain", "out", "nowhere", "--force").check(t, exitFailed, "nowhere")
	if s := d.setting("domain mty-a", "state"); s != "in" {
		t.Errorf("state %s, want in", s)
	}
	d.runCtl("domain", "out", "mty-a", "--force").check(t, exitOK)
	d.runCtl("domain", "in", "mty-a").check(t, exitOK)
	d.runCtl("upstream", "leave", "salas1.mty-a", "--force").check(t, exitOK)
	d.runCtl("upstream", "return", "salas1.mty-a").check(t, exitOK)
	if s := d.setting("upstream salas1.mty-a", "state"); s != "active" {
		t.Errorf("state %s, want active", s)
	}
}

// Guards against a switchover that is started without the secret, that does not happen, or
// that goes to an upstream which must not take work.
func TestGroupSwitch(t *testing.T) {
	d := startDeployment(t, 3)
	target := "salas1.mty-a"
	if d.fleet.Groups["salas1"].Primary().Name() == d.fleet.Groups["salas1"].Upstreams()[2].Name() {
		target = "salas1.cdmx-a"
	}
	term := d.fleet.Groups["salas1"].Primary().Status().FencedTerm
	d.runCtl("group", "switch", "salas1", target).check(t, exitUsage, "secret")
	t.Setenv("BURDOCKCTL_SECRET", "guess")
	d.runCtl("group", "switch", "salas1", target).check(t, exitFailed, "bearer")
	t.Setenv("BURDOCKCTL_SECRET", "fleet")
	d.runCtl("group", "switch", "salas1", "salas2.mty-a").check(t, exitFailed, "no upstream")
	d.runCtl("group", "switch", "salas1", target).check(t, exitOK)
	if p := d.fleet.Groups["salas1"].Primary().Status(); p.FencedTerm != term+1 {
		t.Errorf("the primary is fenced at term %d, want %d", p.FencedTerm, term+1)
	}
	eventually(t, "every instance reports the new primary", func() bool {
		for _, m := range d.fleet.Members() {
			if m.Status().Groups["salas1"].Primary != target {
				return false
			}
		}
		return true
	})
	d.runCtl("upstream", "leave", "salas1.gdl-a", "--wait").check(t, exitOK)
	d.runCtl("group", "switch", "salas1", "salas1.gdl-a").check(t, exitFailed, "leaving")
}

// Guards against a status that leaves out an instance or information on which operators base
// decisions.
func TestStatus(t *testing.T) {
	d := startDeployment(t, 3)
	if err := d.login(d.fleet.Members()[1], "equipment", d.fleet.Keys["equipment"]); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the status shows all failure domains", func() bool {
		var f ctl.FleetStatus
		d.runCtl("status", "--json").check(t, exitOK).decodeJSON(t, &f)
		if len(f.Instances) != 3 || f.Head != 1 {
			t.Fatalf("%d instances, head %d, want 3 and 1", len(f.Instances), f.Head)
		}
		for _, r := range f.Instances {
			if r.Status == nil || r.Status.Revision != 1 || len(r.Status.Groups) != 3 {
				t.Fatalf("the report of %s is incomplete", r.Label())
			}
		}
		return len(f.Instances[0].Status.Domains) == 3
	})
	d.runCtl("status").check(t, exitOK, "accepted revision 1", "cdmx-a-1", "salas1", "confirmed", "3 instances")
	d.fleet.Store.SetOutage(storetest.OutageRefuse)
	d.runCtl("status").check(t, exitOK, "the store does not answer")
}

// Guards against settings that are misread, and against invalid arguments that get another
// exit code than exitUsage.
func TestArguments(t *testing.T) {
	file := filepath.Join(t.TempDir(), "ctl.ini")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name string
		file string
		args []string
		code int
		text string
	}{
		{"help", "", []string{"key", "--help"}, exitOK, "withdraw"},
		{"version", "", []string{"--version"}, exitOK, "burdockctl 0.1.0"},
		{"none", "", nil, exitUsage, "Usage"},
		{"unknown command", "", []string{"destroy"}, exitUsage, "destroy"},
		{"no subcommand", "", []string{"key"}, exitUsage, "issue"},
		{"no store", "", []string{"show"}, exitUsage, "--store"},
		{"no operator", "store = 127.0.0.1:1\n", []string{"revert", "1", "--wait"}, exitUsage, "--operator"},
		{"host name", "", []string{"show", "--store", "store:7000"}, exitUsage, "IP:PORT"},
		{"time", "timeout = soon\n", []string{"show"}, exitUsage, "soon"},
		{"unknown key", "sture = 127.0.0.1:1\n[more]\n", []string{"show"}, exitUsage, "sture"},
		{"unknown section", "sture = 127.0.0.1:1\n[more]\n", []string{"show"}, exitUsage, "more"},
		{"unreachable", "store = 127.0.0.1:1\ntimeout = 200ms\n", []string{"show"}, exitFailed, "deadline"},
		{"no port", "", []string{"status", "--operator", "127.0.0.1:1"}, exitFailed, "127.0.0.1:1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			write(c.file)
			runCommand(t, append([]string{"--config", file}, c.args...)...).check(t, c.code, c.text)
		})
	}
	a := arguments{Config: file, Store: "127.0.0.1:2"}
	write("store = 127.0.0.1:1\noperator = 127.0.0.1:3, 127.0.0.1:4\nsecret = s\nauthor = ana\ntimeout = 5s\n")
	if err := a.resolve(); err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal([]any{a.Store, a.operatorAddresses(), a.Secret, a.Author, a.Timeout})
	if want := `["127.0.0.1:2",["127.0.0.1:3","127.0.0.1:4"],"s","ana",5000000000]`; err != nil || string(got) != want {
		t.Errorf("settings %s, %v, want %s", got, err, want)
	}
}

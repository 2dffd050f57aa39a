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

// Guards against an operator who takes back another's change, and against a folder
// whose remembered base claims more than its files hold.
func TestTwoOperators(t *testing.T) {
	d := start(t, 3)
	first, second := d.pull(), d.pull()
	d.edit(first, "40-teams.ini", "rate = 200/s", "rate = 201/s")
	d.edit(second, "10-domains.ini", "region = gdl", "region = west")
	d.ctl("diff", first).want(t, exitOK, "[team cdmx-students] rate: 200/s -> 201/s")
	d.ctl("apply", first, "--wait").want(t, exitOK, "revision 2", "in force on every live instance")
	d.ctl("apply", second, "--wait", "--comment", "move", "--author", "ana").want(t, exitOK, "revision 3")
	// The second folder now has the first one's change; the next change keeps it.
	d.edit(second, "10-domains.ini", "region = west", "region = east")
	d.ctl("apply", second).want(t, exitOK, "revision 4")
	if rate, region := d.setting("team cdmx-students", "rate"), d.setting("domain gdl-a", "region"); rate != "201/s" || region != "east" {
		t.Errorf("rate %s, region %s, want both changes", rate, region)
	}
	d.edit(first, "10-domains.ini", "region = gdl", "region = north")
	d.ctl("apply", first).want(t, exitConflict, "10-domains.ini")
	d.ctl("pull", first).want(t, exitConflict, "10-domains.ini")
	if region := d.setting("domain gdl-a", "region"); region != "east" {
		t.Errorf("region %s after a conflict, want east", region)
	}
	d.ctl("apply", second).want(t, exitOK, "no change")
	d.ctl("history").want(t, exitOK, "ana", "move", "10-domains.ini")
	d.ctl("revert", "2", "--wait").want(t, exitOK, "revision 5")
	if rate, region := d.setting("team cdmx-students", "rate"), d.setting("domain gdl-a", "region"); rate != "201/s" || region != "gdl" {
		t.Errorf("rate %s, region %s after the revert, want those of revision 2", rate, region)
	}
	d.ctl("show", "--revision", "1").want(t, exitOK, "rate = 200/s", "40-teams.ini:")
	d.ctl("revert", "99").want(t, exitFailed, "does not exist")
	if err := os.Remove(filepath.Join(second, ctl.StateFile)); err != nil {
		t.Fatal(err)
	}
	d.ctl("apply", second).want(t, exitUsage, "--base")
	d.ctl("apply", second, "--base", "4").want(t, exitOK, "no change")
}

// Guards against a bad folder that is applied in part, or of which only the first
// fault is reported.
func TestBadFolder(t *testing.T) {
	d := start(t, 3)
	dir := d.pull()
	d.edit(dir, "40-teams.ini", "rate = 200/s", "rate = 0/s")
	d.edit(dir, "10-domains.ini", "state = in", "state = away")
	d.write(dir, "90-extra.ini", "[route extra]\ngroup = nowhere\nteams = nobody\n")
	d.write(dir, "91-wrong.ini", "[wrong thing]\na = b\n")
	d.ctl("apply", dir).want(t, exitInvalid, "40-teams.ini:2", "10-domains.ini:3", "90-extra.ini:2", "90-extra.ini:3", "91-wrong.ini:1")
	d.ctl("diff", dir).want(t, exitInvalid)
	d.ctl("key", "issue", "nobody").want(t, exitInvalid, "nobody")
	if rate := d.setting("team cdmx-students", "rate"); rate != "200/s" {
		t.Errorf("rate %s after a refused folder, want 200/s", rate)
	}
	d.ctl("history").want(t, exitOK, "1 ")
}

// Guards against a change that is made twice, or called failed, because the store's
// answer was lost or the store was out for a time; and against a change that is
// called failed although it may have been accepted.
func TestStoreFaults(t *testing.T) {
	d := start(t, 3)
	dir := d.pull()
	d.edit(dir, "40-teams.ini", "rate = 200/s", "rate = 201/s")
	// The puts are those of the file, the entry and the head.
	d.f.Store.LoseAnswers(3)
	d.ctl("apply", dir).want(t, exitOK, "accepted as revision 2")

	d.edit(dir, "40-teams.ini", "rate = 201/s", "rate = 202/s")
	d.f.Store.SetOutage(storetest.OutageRefuse)
	d.ctl("apply", dir, "--timeout", "300ms").want(t, exitFailed)
	done := make(chan result)
	before := d.f.Store.CallsOf("burdockctl")
	go func() { done <- d.ctl("apply", dir) }()
	d.f.Store.SetOutage(storetest.OutageHang)
	d.f.Store.SetOutage(storetest.OutageNone)
	(<-done).want(t, exitOK, "accepted as revision 3")
	if after := d.f.Store.CallsOf("burdockctl"); after[storetest.KindPut] <= before[storetest.KindPut] {
		t.Error("the change made no call of the store")
	}
	if rate := d.setting("team cdmx-students", "rate"); rate != "202/s" {
		t.Errorf("rate %s, want 202/s", rate)
	}
	d.ctl("history").want(t, exitOK, "\n3 ")
}

// headStore loses the answers of every call after the head was written.
type headStore struct {
	config.Store
	lost bool
}

func (s *headStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	if s.lost {
		return nil, 0, fmt.Errorf("no answer")
	}
	return s.Store.Get(ctx, key)
}

func (s *headStore) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	v, err := s.Store.Put(ctx, key, value, version)
	if key == config.HeadKey {
		s.lost = true
		return 0, fmt.Errorf("no answer")
	}
	return v, err
}

// Guards against an outage right after the update of the head that is reported as
// a failure, although the change is accepted.
func TestUnknownOutcome(t *testing.T) {
	d := start(t, 3)
	var a arguments
	a.Store, a.Author = d.f.Store.Addr(), "ana"
	client, end := a.client()
	defer end()
	client.Store = &headStore{Store: client.Store}
	ctx, cancel := context.WithTimeout(context.Background(), 1e9)
	defer cancel()
	if _, err := client.SetDomainState(ctx, "gdl-a", config.StateOut, false); exitCode(err) != exitUnknown {
		t.Errorf("exit code %d for %v, want %d", exitCode(err), err, exitUnknown)
	}
	if s := d.setting("domain gdl-a", "state"); s != "out" {
		t.Errorf("state %s, want out", s)
	}
}

// Guards against a key that does not work after it was issued, or that works
// anywhere after its withdrawal is reported as in force.
func TestKeyLife(t *testing.T) {
	d := start(t, 6)
	var k ctl.IssuedKey
	d.ctl("key", "issue", "equipment", "--wait", "--json").want(t, exitOK).into(t, &k)
	for _, m := range d.f.Members() {
		if err := d.login(m, "equipment", k.Text); err != nil {
			t.Errorf("login at %s: %v", m.Settings().Name, err)
		}
	}
	d.ctl("key", "list", "equipment").want(t, exitOK, k.ID, "active")
	d.ctl("key", "withdraw", k.ID, "--wait").want(t, exitOK, "in force on every live instance")
	for _, m := range d.f.Members() {
		if err := d.login(m, "equipment", k.Text); err == nil {
			t.Errorf("login at %s with a withdrawn key", m.Settings().Name)
		}
	}
	_, secret, _ := strings.Cut(k.Text, ".")
	all := d.ctl("key", "list", "--json").want(t, exitOK, "withdrawn").out + d.ctl("show").out + d.ctl("history").out + d.ctl("status", "--json").out
	if strings.Contains(all, secret) {
		t.Error("the key is shown after it was issued")
	}
	d.ctl("key", "withdraw", "nosuchkey").want(t, exitFailed, "nosuchkey")
	d.ctl("key", "list", "nosuchteam").want(t, exitFailed, "nosuchteam")
}

// Guards against a --wait that reports success while an instance, cut off from the
// store and its peers, still has the earlier revision.
func TestWaitNamesTheInstanceBehind(t *testing.T) {
	d := start(t, 6)
	d.ctl("status").want(t, exitOK)
	last := d.f.Members()[5].Settings()
	d.f.Store.Cut(func(client string) bool { return client == last.Name })
	everyone := func(string) bool { return true }
	last.Partition.Set(everyone, everyone)
	r := d.ctl("domain", "out", "gdl-a", "--wait", "--timeout", "8s").want(t, exitNotInForce, last.Name, "is at revision 1")
	for _, m := range d.f.Members()[:5] {
		if strings.Contains(r.err, m.Settings().Name+" in") {
			t.Errorf("%s is named, but has the revision", m.Settings().Name)
		}
	}
	d.f.Store.Cut(nil)
	last.Partition.Set(nil, nil)
	d.ctl("domain", "in", "gdl-a", "--wait").want(t, exitOK, "in force on every live instance")
}

// Guards against a --wait that never ends because of an instance that has died.
func TestWaitPassesOverTheDead(t *testing.T) {
	d := start(t, 3)
	dead := d.f.Members()[2]
	if err := d.f.Kill(dead); err != nil {
		t.Fatal(err)
	}
	d.ctl("upstream", "leave", "salas1.gdl-a", "--wait").want(t, exitOK, "taken for dead: "+dead.Settings().Peer)
}

// Guards against operators who take out the last failure domain, or the last
// upstream of a group, by mistake.
func TestLastOne(t *testing.T) {
	d := start(t, 3)
	for _, name := range []string{"cdmx-a", "gdl-a"} {
		d.ctl("domain", "out", name).want(t, exitOK)
	}
	d.ctl("domain", "out", "mty-a").want(t, exitFailed, "last failure domain")
	d.ctl("upstream", "leave", "salas1.mty-a").want(t, exitFailed, "last upstream")
	d.ctl("domain", "out", "nowhere", "--force").want(t, exitFailed, "nowhere")
	if s := d.setting("domain mty-a", "state"); s != "in" {
		t.Errorf("state %s, want in", s)
	}
	d.ctl("domain", "out", "mty-a", "--force").want(t, exitOK)
	d.ctl("domain", "in", "mty-a").want(t, exitOK)
	d.ctl("upstream", "leave", "salas1.mty-a", "--force").want(t, exitOK)
	d.ctl("upstream", "return", "salas1.mty-a").want(t, exitOK)
	if s := d.setting("upstream salas1.mty-a", "state"); s != "active" {
		t.Errorf("state %s, want active", s)
	}
}

// Guards against a switch that anybody may start, that does not happen, or that
// goes to an upstream which must not take work.
func TestSwitch(t *testing.T) {
	d := start(t, 3)
	target := "salas1.mty-a"
	if d.f.Groups["salas1"].Primary().Name() == d.f.Groups["salas1"].Upstreams()[2].Name() {
		target = "salas1.cdmx-a"
	}
	term := d.f.Groups["salas1"].Primary().Status().Fenced
	d.ctl("group", "switch", "salas1", target).want(t, exitUsage, "secret")
	t.Setenv("BURDOCKCTL_SECRET", "guess")
	d.ctl("group", "switch", "salas1", target).want(t, exitFailed, "bearer")
	t.Setenv("BURDOCKCTL_SECRET", "fleet")
	d.ctl("group", "switch", "salas1", "salas2.mty-a").want(t, exitFailed, "no upstream")
	d.ctl("group", "switch", "salas1", target).want(t, exitOK)
	if p := d.f.Groups["salas1"].Primary().Status(); p.Fenced != term+1 {
		t.Errorf("the primary is of term %d, want %d", p.Fenced, term+1)
	}
	eventually(t, "every instance reports the new primary", func() bool {
		for _, m := range d.f.Members() {
			if m.Status().Groups["salas1"].Primary != target {
				return false
			}
		}
		return true
	})
	d.ctl("upstream", "leave", "salas1.gdl-a", "--wait").want(t, exitOK)
	d.ctl("group", "switch", "salas1", "salas1.gdl-a").want(t, exitFailed, "leaving")
}

// Guards against a status that leaves out an instance, or the parts that operators
// decide by.
func TestStatus(t *testing.T) {
	d := start(t, 3)
	if err := d.login(d.f.Members()[1], "equipment", d.f.Keys["equipment"]); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the status of all failure domains", func() bool {
		var f ctl.FleetStatus
		d.ctl("status", "--json").want(t, exitOK).into(t, &f)
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
	d.ctl("status").want(t, exitOK, "accepted revision 1", "cdmx-a-1", "salas1", "confirmed", "3 instances")
	d.f.Store.SetOutage(storetest.OutageRefuse)
	d.ctl("status").want(t, exitOK, "the store does not answer")
}

// Guards against settings that are misread, and against a wrong argument that is
// not told from a failure.
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
			execute(t, append([]string{"--config", file}, c.args...)...).want(t, c.code, c.text)
		})
	}
	a := arguments{Config: file, Store: "127.0.0.1:2"}
	write("store = 127.0.0.1:1\noperator = 127.0.0.1:3, 127.0.0.1:4\nsecret = s\nauthor = ana\ntimeout = 5s\n")
	if err := a.complete(); err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal([]any{a.Store, a.operators(), a.Secret, a.Author, a.Timeout})
	if want := `["127.0.0.1:2",["127.0.0.1:3","127.0.0.1:4"],"s","ana",5000000000]`; err != nil || string(got) != want {
		t.Errorf("settings %s, %v, want %s", got, err, want)
	}
}

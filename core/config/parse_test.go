package config

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"burdockseam/core/key"
)

var testHash = strings.Repeat("ab", 16) + ":" + strings.Repeat("cd", 32)

// sampleFile is a valid configuration. HASH stands for testHash.
const sampleFile = `# a comment
[domain kol-a]
region = kol
[domain sil-a]
region = sil ; trailing comment
[group wardrobe]
credentials = wardrobe
[upstream w1]
group = wardrobe
address = 127.0.0.1:7001
domain = kol-a
slots = 2
connections = 16
[team saree]
rate = 40/s
burst = 80
[key k1]
team = saree
hash = HASH
[route rent]
group = wardrobe
teams = saree
staleness = 250ms
`

// sampleFolder returns sampleFile as a.ini, and the given texts as b0.ini, b1.ini and so
// on. HASH in a text stands for testHash.
func sampleFolder(more ...string) []File {
	files := []File{{"a.ini", []byte(strings.ReplaceAll(sampleFile, "HASH", testHash))}}
	for i, text := range more {
		files = append(files, File{fmt.Sprintf("b%d.ini", i), []byte(strings.ReplaceAll(text, "HASH", testHash))})
	}
	return files
}

// TestParseFaults guards against a fault that is not detected, is reported at the wrong
// line, or prevents the detection of others.
func TestParseFaults(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"unknown section", "\n[tenant x]\nrate = 1/s", "b0.ini:2: [tenant x] unknown section"},
		{"unknown key", "[team saree]\ncolour = red", "b0.ini:2: [team saree] colour: unknown key"},
		{"rate without unit", "[team saree]\nrate = 40", "b0.ini:2: [team saree] rate: \"40\" has no unit"},
		{"duration without unit", "[route rent]\nstaleness = 0", "b0.ini:2: [route rent] staleness: \"0\" has no unit"},
		{"wrong unit", "[team saree]\nrate = 40/d", "rate: the unit"},
		{"zero rate", "[team saree]\nrate = 0/s", "the rate is not above 0"},
		{"negative rate", "[team saree]\nrate = -1/s", "the rate is not above 0"},
		{"rate overflow", "[team saree]\nrate = 9" + strings.Repeat("9", 400) + "/s", "the rate is outside"},
		{"exponent", "[team saree]\nrate = 1e3/s", "is not a number"},
		{"burst too small", "[team saree]\nburst = 0.5", "burst: 0.5 is outside"},
		{"weight too small", "[team saree]\nweight = 0", "weight: 0 is outside 1"},
		{"integer overflow", "[team saree]\nconnections = 99999999999999999999", "is outside 1 to 100000"},
		{"staleness overflow", "[route rent]\nstaleness = 9999999h", "staleness: "},
		{"unknown group", "[route rent]\ngroup = attic", "b0.ini:2: [route rent] group: attic does not exist"},
		{"removed group", "[group wardrobe]\nstate = removed", "group: wardrobe does not exist"},
		{"team without key", "[team odd]\nrate = 1/s\nburst = 1", "b0.ini:1: [team odd] the team has no key"},
		{"key of two teams", "[team odd]\nrate = 1/s\nburst = 1\n[key k1]\nteam = odd", "b0.ini:5: [key k1] team: the key is claimed by team saree in a.ini:18 too"},
		{"same hash", "[key k2]\nteam = saree\nhash = HASH", "b0.ini:3: [key k2] hash: the hash is the same as that of key k1"},
		{"bad hash", "[key k1]\nhash = k1.secretsecret", "hash: the value is not a hash"},
		{"missing key", "[upstream w2]\ngroup = wardrobe", "b0.ini:1: [upstream w2] address: the key is missing"},
		{"same address", "[upstream w2]\ngroup = wardrobe\naddress = 127.0.0.1:7001\ndomain = kol-a\nslots = 1\nconnections = 1", "the address is the same as that of upstream w1"},
		{"host name as address", "[upstream w1]\naddress = db:7001", "is not an IP address with a port"},
		{"unknown state", "[domain kol-a]\nstate = away", "state: \"away\" is not one of in, out, removed"},
		{"key set twice", "[team saree]\nweight = 1\nweight = 2", "b0.ini:3: [team saree] weight: the key was already set in line 2"},
		{"section twice", "[team saree]\nweight = 1\n[team saree]", "b0.ini:3: [team saree] the section was already opened in line 1"},
		{"multi-line value", "[team saree]\nweight = `1\n2`", "quoted multi-line"},
		{"key before the first section", "weight = 1", "b0.ini:1: weight: the key stands before"},
		{"line without a value", "[team saree]\nweight", "b0.ini:2: [team saree] the line is not of the form"},
		{"control character", "[team saree]\nweight = 1\x00", "control character"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, faults := Parse(sampleFolder(tc.text))
			var all string
			for _, f := range faults {
				all += f.String() + "\n"
			}
			if !strings.Contains(all, tc.want) {
				t.Errorf("faults are %q; want %q", all, tc.want)
			}
			if strings.Contains(all, testHash) || strings.Contains(all, "secretsecret") {
				t.Errorf("a fault contains a hash or an API key: %q", all)
			}
		})
	}
	if _, faults := Parse(sampleFolder("[team x]\nrate = 1", "[team x]\nburst = 0")); len(faults) != 3 {
		t.Errorf("%d faults, want 3: %v", len(faults), faults)
	}
	for name, files := range map[string][]File{
		"no files":             {},
		"all sections removed": {{"a.ini", []byte("[team x]\nstate = removed\n")}},
		"invalid file name":    append(sampleFolder(), File{"../x.ini", nil}),
		"file too large":       append(sampleFolder(), File{"b.ini", bytes.Repeat([]byte("#\n"), MaxFileBytes/2+1)}),
	} {
		if _, faults := Parse(files); len(faults) == 0 {
			t.Errorf("%s: Parse reports no fault", name)
		}
	}
}

// TestParseMergesByFileName guards against merging files in the wrong order, reporting a
// wrong origin, and ignoring a removed section or a default.
func TestParseMergesByFileName(t *testing.T) {
	files := sampleFolder("[team saree]\nrate = 120/min\n[domain sil-a]\nstate = removed\n", "[team saree]\nweight = 3\n")
	files[0], files[2] = files[2], files[0]
	c, faults := Parse(files)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if got, want := c.Teams["saree"], (Team{"saree", 2, 80, 3, DefaultTeamConnections}); got != want {
		t.Errorf("team %+v, want %+v", got, want)
	}
	if _, ok := c.Domains["sil-a"]; ok || len(c.Domains) != 1 || c.Routes["rent"].Staleness != 250*time.Millisecond {
		t.Errorf("domains %v, routes %v", c.Domains, c.Routes)
	}
	origins := map[string]Origin{}
	for _, s := range c.Settings() {
		origins[s.Section+" "+s.Key] = s.Origin
		if strings.Contains(s.Value, testHash) {
			t.Error("Settings returns a hash")
		}
	}
	for at, want := range map[string]Origin{
		"team saree rate": {"b0.ini", 2}, "team saree weight": {"b1.ini", 2}, "team saree burst": {"a.ini", 16}, "team saree connections": {},
	} {
		if origins[at] != want {
			t.Errorf("%s has origin %v, want %v", at, origins[at], want)
		}
	}
	before, _ := Parse(sampleFolder())
	var text string
	for _, ch := range Diff(before, c) {
		text += fmt.Sprintln(ch)
	}
	want := "{domain sil-a region sil }\n{domain sil-a state in }\n{team saree rate 40/s 2/s}\n{team saree weight 1 3}\n"
	if text != want {
		t.Errorf("Diff returns\n%swant\n%s", text, want)
	}
}

// TestAuthorize guards against authorizing a caller without the right key, and against a
// withdrawn key that RevokedKeys does not report.
func TestAuthorize(t *testing.T) {
	random := bytes.NewReader([]byte(strings.Repeat("0123456789abcdefghijklmnopqrstuvwxyz", 8)))
	issue := func() key.Issued {
		k, err := key.Issue(random)
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	a, b := issue(), issue()
	files, err := IssueKey(sampleFolder("[team odd]\nrate = 1/s\nburst = 1\n[route all]\ngroup = wardrobe\nopen = true\n"), "saree", a)
	if err != nil {
		t.Fatal(err)
	}
	if files, err = IssueKey(files, "odd", b); err != nil {
		t.Fatal(err)
	}
	before, faults := Parse(files)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if files, err = WithdrawKey(files, b.ID); err != nil {
		t.Fatal(err)
	}
	after, faults := Parse(files)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for _, tc := range []struct {
		name, team, key, route string
		c                      Config
		want                   error
	}{
		{"right key", "saree", a.Text, "rent", before, nil},
		{"unknown route", "saree", a.Text, "sell", before, UnknownRoute},
		{"no key", "saree", "", "rent", before, NoSuchKey},
		{"wrong secret", "saree", a.ID + ".x", "rent", before, NoSuchKey},
		{"other team's key", "saree", b.Text, "rent", before, NoSuchKey},
		{"route of other teams", "odd", b.Text, "rent", before, RouteClosed},
		{"open route", "whoever", "", "all", before, nil},
		{"withdrawn key", "odd", b.Text, "rent", after, KeyWithdrawn},
		{"withdrawn key, wrong secret", "odd", b.ID + ".x", "rent", after, NoSuchKey},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := tc.c.Authorize(tc.team, tc.key, tc.route); err != tc.want {
				t.Errorf("Authorize returns %v, want %v", err, tc.want)
			}
		})
	}
	if ids := RevokedKeys(before, after); len(ids) != 1 || ids[0] != b.ID {
		t.Errorf("RevokedKeys returns %v, want %s", ids, b.ID)
	}
	if d := Diff(before, after); len(d) != 1 || d[0].Key != "state" {
		t.Errorf("Diff returns %v, want only the state of the key", d)
	}
}

// TestReauthorize guards against a session that goes on under the name of a team which has lost the
// session's key, because the route has been opened to everybody meanwhile.
func TestReauthorize(t *testing.T) {
	c := Config{
		Routes: map[string]Route{"closed": {Teams: []string{"saree"}}, "open": {Open: true}},
		Keys: map[string]Key{
			"kept": {Team: "saree"}, "moved": {Team: "odd"}, "withdrawn": {Team: "saree", State: StateWithdrawn},
		},
	}
	for _, test := range []struct {
		team, key, route string
		want             error
	}{
		{"saree", "kept", "closed", nil},
		{"saree", "kept", "open", nil},
		{"", "", "open", nil},
		{"", "", "closed", NoSuchKey},
		{"saree", "moved", "closed", NoSuchKey},
		{"saree", "moved", "open", NoSuchKey},
		{"saree", "withdrawn", "closed", KeyWithdrawn},
		{"saree", "withdrawn", "open", KeyWithdrawn},
		{"odd", "moved", "closed", RouteClosed},
	} {
		t.Run(test.key+" key on route "+test.route, func(t *testing.T) {
			if _, err := c.Reauthorize(test.team, test.key, test.route); err != test.want {
				t.Errorf("Reauthorize returns %v, want %v", err, test.want)
			}
		})
	}
}

// TestSetDomainState guards against taking out the last failure domain by mistake, and
// against setting a state that another file overrides.
func TestSetDomainState(t *testing.T) {
	state := func(files []File, domain string) State {
		c, faults := Parse(files)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		return c.Domains[domain].State
	}
	files, err := SetDomainState(sampleFolder("[domain kol-a]\nstate = in\n"), "kol-a", StateOut, false)
	if err != nil || state(files, "kol-a") != StateOut {
		t.Fatalf("kol-a is %s, want out; error %v", state(files, "kol-a"), err)
	}
	if _, err := SetDomainState(files, "sil-a", StateOut, false); err == nil {
		t.Error("the last failure domain was taken out without force")
	}
	if forced, err := SetDomainState(files, "sil-a", StateOut, true); err != nil || state(forced, "sil-a") != StateOut {
		t.Errorf("sil-a is not out after SetDomainState with force; error %v", err)
	}
	if files, err = SetDomainState(files, "kol-a", StateIn, false); err != nil || state(files, "kol-a") != StateIn {
		t.Errorf("kol-a is not in after SetDomainState; error %v", err)
	}
	if _, err := SetDomainState(files, "nowhere", StateOut, false); err == nil {
		t.Error("an unknown failure domain was accepted")
	}
}

// FuzzParse guards against a panic, accepted values outside their limits, and a result
// that depends on the order of the files or on the parser's cache.
func FuzzParse(f *testing.F) {
	f.Add([]byte(strings.ReplaceAll(sampleFile, "HASH", testHash)), []byte("[team saree]\nrate = 120/min\n"))
	f.Add([]byte("[team x]\nrate=1"), []byte("[[a b]]\n"))
	f.Add([]byte("\ufeff[key k]\nhash = '"), []byte("[route r]\nteams = a,,a\nstaleness = -1s"))
	f.Add([]byte("[domain d]\nregion = \"r\"\r\n"), []byte("[domain d]\nregion = r;x\n\\\n"))
	f.Add([]byte("[team DEFAULT]\n-=1\n"), []byte("[domain d]\nregion = %(x)s"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		c, faults := Parse([]File{{"a.ini", a}, {"b.ini", b}})
		c2, faults2 := Parse([]File{{"b.ini", b}, {"a.ini", a}})
		if fmt.Sprint(faults) != fmt.Sprint(faults2) || len(Diff(c, c2)) > 0 {
			t.Error("the result depends on the order of the arguments")
		}
		var p Parser
		p.Parse([]File{{"a.ini", b}, {"b.ini", a}})
		p.Parse([]File{{"a.ini", a}, {"b.ini", nil}})
		if c3, faults3 := p.Parse([]File{{"a.ini", a}, {"b.ini", b}}); fmt.Sprint(faults) != fmt.Sprint(faults3) || len(Diff(c, c3)) > 0 {
			t.Error("the result depends on what the parser parsed before")
		}
		if len(faults) > 0 {
			return
		}
		for _, team := range c.Teams {
			if !(team.Rate >= MinRate && team.Rate <= MaxRate && team.Burst >= 1 && team.Burst <= MaxBurst && team.Weight >= 1) {
				t.Errorf("accepted %+v", team)
			}
		}
		for _, u := range c.Upstreams {
			if u.Slots < 1 || u.Connections < u.Slots || c.Groups[u.Group].Name == "" || c.Domains[u.Domain].Name == "" {
				t.Errorf("accepted %+v", u)
			}
		}
		for _, s := range c.Settings() {
			if s.Origin.Line == 0 && s.Key != "weight" && s.Key != "connections" && s.Key != "state" && s.Key != "staleness" && s.Key != "open" && s.Key != "teams" {
				t.Errorf("%+v has no origin", s)
			}
		}
	})
}

// BenchmarkParse measures the parsing of a revision that changes one file, which every
// instance does.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, MaxFiles} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			files := sampleFolder()
			for i := range n - 1 {
				files = append(files, File{fmt.Sprintf("u%d.ini", i), fmt.Appendf(nil,
					"[upstream u%d]\ngroup = wardrobe\naddress = 10.0.%d.%d:7001\ndomain = kol-a\nslots = 2\nconnections = 16\n", i, i/250, i%250)})
			}
			var p Parser
			first := string(files[0].Data)
			for i := 0; b.Loop(); i++ {
				files[0].Data = fmt.Appendf(nil, "%s# %d\n", first, i)
				if _, faults := p.Parse(files); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
		})
	}
}

// TestParseReportsAllFaults guards against reporting only some of the faults: once, a
// malformed line prevented the detection of invalid values in the same file.
func TestParseReportsAllFaults(t *testing.T) {
	_, faults := Parse([]File{{Name: "a.ini", Data: []byte("[team x]\nrate = 0/s\nburst = 0.5\n[bogus y]\na = b\n[team z]\nrate = 5\n")}})
	found := make(map[int]bool)
	for _, f := range faults {
		found[f.Line] = true
	}
	for _, line := range []int{2, 3, 4, 7} {
		if !found[line] {
			t.Errorf("no fault is reported for line %d in %v", line, faults)
		}
	}
}

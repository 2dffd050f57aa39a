package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/config"
	"burdockseam/core/lease"
	"burdockseam/core/quota"
	"burdockseam/core/shutdown"
	"burdockseam/core/wal"
	"burdockseam/core/where"
	"burdockseam/io/caller"
)

// whereSchema has one group, routes and teams. The upstream u0 claims to be the primary.
type whereSchema struct{ testSchema }

func (whereSchema) Policy(o Object) (access.Policy, error) {
	route := access.Route{Name: "bounded", Group: "g", Consistency: access.Bounded, Staleness: time.Second, Timeout: 800 * time.Millisecond, TargetLatency: 400 * time.Millisecond}
	strict, north := route, route
	strict.Name, strict.Consistency = "strict", access.Primary
	north.Name, north.Regions = "north", []string{"r1"}
	return access.Policy{
		Version: o.Revision, Groups: map[string]access.Group{"g": {Name: "g", Connections: 8}},
		Routes: map[string]access.Route{"bounded": route, "strict": strict, "north": north},
		Teams: map[string]access.Team{
			"a":   {Team: config.Team{Name: "a", Rate: 100, Burst: 100}},
			"far": {Team: config.Team{Name: "far", Rate: 100, Burst: 100}, Regions: []string{"r9"}},
		},
	}, nil
}

func (s whereSchema) Upstream(o Object) (Entry, error) {
	e, err := s.testSchema.Upstream(o)
	e.Slots, e.ClaimsPrimary = testSlots, o.Name == "u0"
	return e, err
}

// install replaces a table by one with the given objects.
func (n *Node) install(k Kind, data ...string) {
	table := Table{Kind: k, Revision: n.tables.get(k).Revision + 1, Objects: make(map[string]Object)}
	for _, d := range data {
		name, content, _ := strings.Cut(d, "=")
		table.Objects[name] = Object{Name: name, Revision: table.Revision, Data: []byte(content)}
	}
	n.tables.install(table)
	n.rebuild()
}

// newWhereNode returns an instance in d0, with one group of three upstreams in d0 to d2 whose
// primary u0 is proven. There is one instance in each of d0 to d2, and so many in d3 that the
// instance sends nothing to others at a change. The clock stands still.
func newWhereNode(t *testing.T, adaptive bool) (*Node, *time.Time) {
	t.Helper()
	n, err := New(Settings{
		Name: "n0", Domain: "d0", Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Advertise: "10.0.0.0", Adaptive: adaptive,
		Regions: map[string]string{"d0": "r0", "d1": "r0", "d2": "r1", "d3": "r2"}, LeaveTimeout: 10 * time.Second, EvacuateTimeout: 10 * time.Second,
		BurstAllowance: 20, ApplyTimeout: 5 * time.Second,
	}, Platform{Schema: whereSchema{}}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.peers.Close)
	now := n.now()
	n.now = func() time.Time { return now }
	n.install(KindPolicy, "main=")
	n.install(KindOutDomain)
	var members []string
	for k := range smallFleetSize + 4 {
		members = append(members, fmt.Sprintf(`n%d={"address":"10.0.0.%d","domain":"d%d"}`, k, k, min(k, 3)))
	}
	n.install(KindInstance, members...)
	n.install(KindUpstream, "u0=g d0 active", "u1=g d1 active", "u2=g d2 active")
	n.primaries.recordProof("g", "u0", now, wal.Position{Term: 1, Offset: 1}, now, true)
	return n, &now
}

// report records a reply with figures of an upstream.
func (n *Node) report(upstream string, service time.Duration, failing float64) {
	u := n.snapshot.Load().upstreams[upstream]
	n.health.recordReply(choice{upstream: u}, call.Statement{Kind: call.Commit}, n.now(), call.Reply{Service: service, Failing: failing})
}

// dump describes a value with all that it points to, so that two descriptions can be compared.
func dump(out *strings.Builder, v reflect.Value, seen map[any]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || v.Type() == reflect.TypeFor[*Node]() || seen[v.Pointer()] {
			return
		}
		seen[v.Pointer()] = true
		dump(out, v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			fmt.Fprintf(out, " %s:", v.Type().Field(i).Name)
			dump(out, v.Field(i), seen)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			dump(out, v.Index(i), seen)
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, k := range keys {
			fmt.Fprintf(out, " [%v]", k)
			dump(out, v.MapIndex(k), seen)
		}
	case reflect.Func, reflect.Chan, reflect.Interface, reflect.UnsafePointer:
	default:
		fmt.Fprint(out, " ", v)
	}
}

// state describes what routing and the limits know, with all metrics.
func (n *Node) state() string {
	var out strings.Builder
	n.metrics.set.WritePrometheus(&out)
	for _, v := range []any{
		n.stats, n.badLinks, n.peerStates, n.ineligibleSince, n.health.groups, n.health.gaps, n.health.budget, n.primaries.groups,
		n.limits.reserve, n.limits.quotaHolder, n.limits.quotaOwner, n.limits.waiting, n.delegates.modes, n.delegates.holder, n.delegates.collector, n.delegates.waiting,
	} {
		dump(&out, reflect.ValueOf(v), make(map[any]bool))
	}
	return out.String()
}

// difference returns the part of two texts from which on they differ.
func difference(a, b string) string {
	k := 0
	for k < min(len(a), len(b)) && a[k] == b[k] {
		k++
	}
	from := max(0, k-80)
	return fmt.Sprintf("%q, then %q", a[from:min(len(a), k+80)], b[from:min(len(b), k+80)])
}

// ask asks an instance on its operators' port.
func ask(t *testing.T, n *Node, q where.Query) (a where.Answer, text string) {
	t.Helper()
	w := httptest.NewRecorder()
	n.operatorHandler("/ready").ServeHTTP(w, httptest.NewRequest(http.MethodGet, where.Path+"?"+q.Values().Encode(), nil))
	if text = w.Body.String(); w.Code != http.StatusOK {
		t.Fatalf("status %d: %s", w.Code, text)
	}
	if err := json.Unmarshal([]byte(text), &a); err != nil {
		t.Fatal(err)
	}
	return a, text
}

// TestWhere guards against an answer that names no reason or a wrong one, that differs from what
// routing decides, or that changes what the instance knows.
func TestWhere(t *testing.T) {
	noUpstream := func(n *Node, _ *time.Time) { n.primaries.setPrimary(n.primaries.group("g"), "", "test") }
	stats := func(name string, f func(k *upstreamStats, now time.Time)) func(*Node, *time.Time) {
		return func(n *Node, now *time.Time) { f(n.statsOf(name), *now) }
	}
	avoid := func(n *Node, now *time.Time) {
		for _, u := range []string{"u0", "u1", "u2"} {
			n.report(u, testService, 0)
		}
		n.report("u0", testService, 0.9)
	}
	for _, c := range []struct {
		name     string
		query    string // team, route and kind
		adaptive bool
		prepare  func(n *Node, now *time.Time)
		choice   string   // upstream, gateway and reason, or why there is none
		parts    []string // of the JSON
	}{
		{"the least time", "a bounded read", false, nil, "u1 10.0.0.1 replica", []string{`"group":"g","consistency":"bounded"`, "of equal ones the first by name", `"total":0.00675,"service":0.015,"load":0,"pace":4,"network":0.003`, `"extra":0.02`}},
		{"random variation", "a bounded read", true, func(n *Node, _ *time.Time) {
			n.report("u2", testService, 0)
			n.install(KindUpstream, "u0=g d0 active", "u1=g d1 active", "u2=g d1 active")
		}, "u1 10.0.0.1 replica", []string{"vary at random", `"chance":true`}},
		{"load", "a bounded read", false, stats("u1", func(k *upstreamStats, _ time.Time) { k.inFlight = 50 }), "u0 10.0.0.0 primary", []string{`"load":50`, "least expected time"}},
		{"an avoided upstream", "a bounded read", true, avoid, "u1 10.0.0.1 replica", []string{`"avoided":"failing"`, `"failing":0.9`}},
		{"a probe is due", "a bounded read", true, func(n *Node, now *time.Time) {
			avoid(n, now)
			*now = now.Add(1100 * time.Millisecond)
			n.primaries.recordProof("g", "u0", *now, wal.Position{Term: 1, Offset: 1}, *now, true)
		}, "u0 10.0.0.0 probe", []string{"a probe is due"}},
		{"a write", "a bounded write", false, nil, "u0 10.0.0.0 primary", []string{`"only":"it may write"`, "only the primary may run the request"}},
		{"a transaction", "a bounded transaction", false, nil, "u0 10.0.0.0 primary", []string{`"only":"it may write"`}},
		{"a route at the primary", "a strict read", false, nil, "u0 10.0.0.0 primary", []string{`"only":"the route reads at the primary"`}},
		{"no floor", "a bounded read", false, func(_ *Node, now *time.Time) { *now = now.Add(3 * time.Second) }, "u0 10.0.0.0 primary", []string{"no position of the primary"}},
		{"a region of the route", "a north read", false, nil, "u2 10.0.0.2 replica", []string{"its region is not allowed", "no other upstream"}},
		{"a region of the team", "far bounded read", false, nil, "u0: " + whyRegion, []string{`"regions":["r9"]`, `"wait":0.8`}},
		{"leaving", "a bounded read", false, func(n *Node, _ *time.Time) {
			n.install(KindUpstream, "u0=g d0 active", "u1=g d1 leaving", "u2=g d2 active")
		}, "u0 10.0.0.0 primary", []string{whyLeaving, `"state":"leaving"`}},
		{"a domain that is out", "a bounded read", false, func(n *Node, _ *time.Time) { n.install(KindOutDomain, "d1=") }, "u0 10.0.0.0 primary", []string{whyOut, `"out":true`}},
		{"a leaving primary", "a bounded write", false, func(n *Node, now *time.Time) {
			n.install(KindUpstream, "u0=g d0 leaving", "u1=g d1 active", "u2=g d2 active")
			*now = now.Add(9 * time.Second)
		}, "u0: " + whyLeaving, nil},
		{"a leaving primary in time", "a bounded read", false, func(n *Node, _ *time.Time) {
			n.install(KindUpstream, "u0=g d0 leaving", "u1=g d1 active", "u2=g d2 active")
		}, "u1 10.0.0.1 replica", []string{"it takes work until the switchover"}},
		{"a silent gateway", "a bounded read", false, func(n *Node, _ *time.Time) { n.peerStateOf("10.0.0.1").suspect = true }, "u1 10.0.0.0 replica", []string{`"skipped":[{"gateway":"10.0.0.1","domain":"d1","why":"` + whySilent}},
		{"a bad link", "a bounded read", false, func(n *Node, now *time.Time) { n.badLinks[link{"10.0.0.1", "u1"}] = now.Add(time.Second) }, "u1 10.0.0.0 replica", []string{whyBadLink}},
		{"no gateway", "a strict read", false, func(n *Node, now *time.Time) {
			for _, g := range n.snapshot.Load().instances {
				n.badLinks[link{g.Address, "u0"}] = now.Add(time.Second)
			}
		}, "u0: " + whyGateway, []string{`"retry":0.5`}},
		{"a shutdown", "a strict read", false, func(n *Node, now *time.Time) {
			n.draining.Store(true)
			n.stopping.Store(&shutdown.Plan{Start: now.Add(-time.Second), End: now.Add(time.Millisecond)})
		}, "u0 10.0.0.1 primary", []string{whyDraining, `"code":"busy","why":"the instance is shutting down"`}},
		{"a lagging replica", "a bounded read", false, stats("u1", func(k *upstreamStats, now time.Time) { k.laggedAt = now }), "u0 10.0.0.0 primary", []string{"it lacked a position just now"}},
		{"a full upstream", "a bounded read", false, stats("u1", func(k *upstreamStats, now time.Time) { k.fullAt = now }), "u0 10.0.0.0 primary", []string{whyFull, `"extra":1`}},
		{"a full primary", "a strict read", false, stats("u0", func(k *upstreamStats, now time.Time) { k.fullAt = now }), "u0: " + whyFull, nil},
		{"no primary", "a bounded write", false, noUpstream, whyNoPrimary, []string{`"wait":0.8,"retry":0.5`}},
		{"no primary for longer than a request waits", "a bounded write", true, func(n *Node, now *time.Time) {
			noUpstream(n, now)
			n.health.observePrimary("g", true)
		}, whyNoPrimary, []string{`"why":"the group has no primary","retry":0.5`}},
		{"a promotion that is not confirmed", "a bounded write", false, func(n *Node, now *time.Time) {
			n.primaries.group("g").avoidUntil = now.Add(refusedRetry)
		}, whyPromoted, nil},
		{"the first attempt after a promotion", "a bounded write", false, func(n *Node, now *time.Time) {
			*now = now.Add(time.Millisecond)
			n.primaries.group("g").promotedAt = *now
		}, "u0 10.0.0.0 primary", nil},
		{"no contact", "a bounded write", false, func(n *Node, now *time.Time) {
			s := *n.settings()
			s.Unfenced = true
			n.activeSettings.Store(&s)
			long := now.Add(-time.Minute)
			n.contactAt.Store(&long)
		}, whyContact, []string{`"why":"` + whyContact + `","retry":0.5`}},
		{"no configuration", "a bounded read", false, func(n *Node, now *time.Time) {
			n.tables.unansweredSince[KindPolicy] = now.Add(-time.Minute)
			n.tables.now = n.now
		}, "u1 10.0.0.1 replica", []string{`"code":"busy","why":"the configuration is not confirmed"`}},
		{"no route", "a nothing read", false, nil, "", []string{`"code":"nodatabase"`}},
		{"no team", "nobody bounded read", false, nil, "", []string{`"code":"denied"`, `"name":"bounded"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, now := newWhereNode(t, c.adaptive)
			if c.prepare != nil {
				c.prepare(n, now)
			}
			words := strings.Fields(c.query)
			q := where.Query{Team: words[0], Database: words[1], Kind: where.Kind(words[2])}
			before := n.state()
			a, text := ask(t, n, q)
			if again, _ := ask(t, n, q); !reflect.DeepEqual(a, again) {
				t.Error("the second answer differs")
			}
			if after := n.state(); after != before {
				t.Errorf("the question changed the state: %s", difference(before, after))
			}
			got, expected := "", choice{}
			if a.Choice != nil {
				got = a.Choice.Why
			}
			if a.Choice != nil && a.Choice.Reason != "" {
				got = a.Choice.Upstream + " " + a.Choice.Gateway + " " + a.Choice.Reason
			}
			if got != c.choice {
				t.Errorf("choice %q, want %q", got, c.choice)
			}
			for _, p := range c.parts {
				if !strings.Contains(text, p) {
					t.Errorf("the answer lacks %q", p)
				}
			}
			if t.Failed() {
				t.Log(text)
			}
			if a.Choice == nil || strings.Contains(text, `"chance"`) {
				return
			}
			op := &caller.Operation{Grant: access.Grant{Route: n.snapshot.Load().policy.Routes[q.Database], Team: n.snapshot.Load().policy.Teams[q.Team]}, Arrived: n.now()}
			s := call.Statement{Kind: call.Kind(q.Kind)}
			if q.Kind == where.Transaction {
				op.Kind, s.Kind = call.Begin, call.Begin
			}
			expected, ok := n.chooseUpstream(op, s, nil)
			if ok != (a.Choice.Reason != "") || ok && (expected.upstream.Name != a.Choice.Upstream || expected.gateway.Address != a.Choice.Gateway) {
				t.Errorf("routing decides %+v, %t", expected, ok)
			}
		})
	}
}

// TestWhereLimit guards against an answer that takes a token or asks for one, and against one
// that tells another outcome than the next request gets.
func TestWhereLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(n *Node, now *time.Time)
		want    where.Limit
		tokens  float64 // of the reserve
	}{
		{"empty", nil, where.Limit{Way: where.Reserve, Outcome: "waiting"}, 0},
		{"own tokens", func(_ *Node, now *time.Time) { *now = now.Add(500 * time.Millisecond) }, where.Limit{Way: where.Reserve, Outcome: "granted"}, 0.5 * 65 / (smallFleetSize + 4)},
		{"an owner", func(n *Node, _ *time.Time) { n.limits.learnLease(lease.StoreLeaseRecord{Holder: "n1.7", Epoch: 1}) }, where.Limit{Way: where.Reserve, Outcome: "waiting", From: "n1.7"}, 0},
		{"a silent owner", func(n *Node, now *time.Time) {
			n.limits.learnLease(lease.StoreLeaseRecord{Holder: "n1.7", Epoch: 1, Machine: "10.0.0.1"})
			n.limits.closed = true // sends nothing
			n.limits.quotaHolder.TakeToken(*now, "a")
			for range 20 {
				*now = now.Add(100 * time.Millisecond)
				n.limits.quotaHolder.Tick(*now)
			}
		}, where.Limit{Way: where.Reserve, Outcome: "granted", From: "n1.7", Silent: true}, 65.0 / (smallFleetSize + 4)},
		{"a pause", func(n *Node, now *time.Time) {
			n.delegates.owned, n.delegates.nextMode = nil, now.Add(10*time.Second)
		}, where.Limit{Way: where.Pause, Outcome: "refused", Retry: 10}, 0},
		{"delegated, nothing known", delegateTo("10.0.0.1", 0), where.Limit{Way: where.Delegated, Outcome: "waiting", From: "10.0.0.1"}, 0},
		{"delegated, a collector without tokens", delegateTo("10.0.0.1", 2), where.Limit{Way: where.Delegated, Outcome: "refused", From: "10.0.0.1"}, 0},
		{"delegated, a silent collector", func(n *Node, now *time.Time) {
			delegateTo("10.0.0.1", 0)(n, now)
			n.delegates.silent["10.0.0.1"] = silentPeer{silentFailures, *now}
		}, where.Limit{Way: where.Delegated, Outcome: "waiting", From: "10.0.0.1", Silent: true}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, now := newWhereNode(t, false)
			if c.prepare != nil {
				c.prepare(n, now)
			}
			before := n.state()
			a, text := ask(t, n, where.Query{Team: "a", Database: "bounded", Kind: where.Read})
			if after := n.state(); after != before {
				t.Errorf("the question changed the state: %s", difference(before, after))
			}
			l := a.Limit
			if l == nil || l.Way != c.want.Way || l.Outcome != c.want.Outcome || l.From != c.want.From || l.Silent != c.want.Silent || c.want.Retry > 0 && l.Retry != c.want.Retry {
				t.Fatalf("answer %s, want %+v", text, c.want)
			}
			if l.Outcome == "refused" && l.Retry <= 0 {
				t.Errorf("no time to retry: %s", text)
			}
			if l.Outcome == "granted" && (l.After == nil || *l.After != 0) {
				t.Errorf("a token in stock is expected later: %s", text)
			}
			if c.tokens > 0 && (l.Reserve == nil || l.Reserve.Tokens < c.tokens-0.01 || l.Reserve.Tokens > c.tokens+0.01) {
				t.Errorf("answer %s, want %v tokens", text, c.tokens)
			}
			if l.Way == where.Reserve && n.limits.reserve.TakeToken(n.now(), "a") != (l.Outcome == "granted") {
				t.Errorf("the next request gets another outcome than %s", l.Outcome)
			}
		})
	}
}

// delegateTo limits the team by delegated parts. If pace is positive, the collector has answered
// that it has no tokens and grants so many in a second.
func delegateTo(collector string, pace float64) func(*Node, *time.Time) {
	return func(n *Node, now *time.Time) {
		d := n.delegates
		d.teams, d.preferred = map[string]config.Team{"a": {Name: "a", Rate: 100, Burst: 100}}, collector
		d.holder.Configure(*now, d.teams)
		d.holder.SetOwner(*now, onlyShard, collector, 1)
		if pace == 0 {
			return
		}
		d.holder.TakeToken(*now, "a")
		for _, r := range d.holder.Tick(*now).Requests {
			d.holder.HandleReply(*now, quota.Reply{Shard: r.Shard, From: collector, To: r.From, Epoch: r.Epoch, Seq: r.Seq, Grants: []quota.Grant{{Team: "a", Barred: 1, Pace: pace, Retry: time.Second}}})
		}
	}
}

// TestWhereNeedsKind guards against a question that is answered for another kind than meant.
func TestWhereNeedsKind(t *testing.T) {
	n, _ := newWhereNode(t, false)
	for _, path := range []string{"/where", "/where?team=a&database=bounded", "/where?team=a&database=bounded&kind=delete"} {
		w := httptest.NewRecorder()
		n.operatorHandler("/ready").ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if w.Code != http.StatusBadRequest {
			t.Errorf("%s: status %d", path, w.Code)
		}
	}
}

package ctl

import (
	"strings"
	"testing"

	"burdockseam/core/call"
	"burdockseam/core/where"
)

// testAnswer returns an answer with all fields of a request that is routed.
func testAnswer() where.Answer {
	after := 0.25
	return where.Answer{
		Instance: "n1", Version: 7, Regions: []string{"r0"},
		Route: &where.Route{Name: "orders", Group: "g0", Consistency: "bounded", Priority: 1, Timeout: 0.8, Target: 0.4, Staleness: 1.5, Regions: []string{"r0", "r1"}},
		Limit: &where.Limit{
			Way: where.Reserve, Rate: 100, Burst: 50, Reserve: &where.Stock{Tokens: 0.5, Rate: 2, Burst: 4}, Stock: &where.Stock{Queued: 3},
			From: "n2", Silent: true, Outcome: "refused", After: &after, Retry: 0.25,
		},
		Upstreams: []where.Upstream{
			{
				Name: "u0", Domain: "d0", State: "active", Role: "primary", Avoided: "slow", Notes: []string{"a probe is due"}, Gateway: "10.0.0.1:1", Chance: true,
				Skipped: []where.Skipped{{Gateway: "10.0.0.2:1", Domain: "d0", Why: "it does not answer or is leaving"}},
				Time:    &where.Time{Total: 0.0225, Service: 0.015, Load: 2, Pace: 4, Network: 0.003, Failing: 0.125, Waited: 0.001, Extra: 0.02},
			},
			{Name: "u1", Domain: "d1", State: "leaving", Out: true, Role: "replica", Why: "its failure domain is out"},
		},
		Choice: &where.Choice{Upstream: "u0", Gateway: "10.0.0.1:1", Reason: "primary", Why: "no other upstream can be chosen"},
	}
}

// TestPrintWhere guards against a part of the answer that the words leave out.
func TestPrintWhere(t *testing.T) {
	routed := testAnswer()
	delegated := testAnswer()
	delegated.Limit = &where.Limit{Way: where.Delegated, Rate: 5, Burst: 5, Stock: &where.Stock{Tokens: 2}, From: "10.0.0.7:1", Outcome: "granted", After: new(float64)}
	waits := testAnswer()
	waits.Code, waits.Why, waits.Only = call.Busy, "the configuration is not confirmed", "it may write"
	waits.Limit = &where.Limit{Way: where.Pause, Outcome: "waiting"}
	waits.Choice = &where.Choice{Why: "the group has no primary", Wait: 0.8, Retry: 0.5}
	refused := testAnswer()
	refused.Choice = &where.Choice{Why: "the group has no primary", Retry: 1.5}
	for _, c := range []struct {
		name  string
		a     where.Answer
		parts []string
	}{
		{"routed", routed, []string{
			"instance n1, configuration 7", "route orders: group g0, consistency bounded, priority 1, timeout 800ms, target 400ms, staleness 1.5s, regions r0,r1", "team: regions r0",
			"limit: 100/s, burst 50, by the reserve and the owner; owner n2 (does not answer)", "reserve of this instance: 0.50 tokens, 2.00/s, burst 4.00",
			"granted to this instance: 0 tokens, 3 requests wait", "next token: in 250ms; a request would be refused, retry in 250ms",
			"22.5ms    15ms     2.0/4", "avoided: slow; may be chosen at random; a probe is due", "leaving,out", "not used: its failure domain is out",
			"gateway 10.0.0.2:1 in d0 is not used for u0: it does not answer or is leaving", "goes to u0 by the gateway 10.0.0.1:1 (primary): no other upstream can be chosen",
		}},
		{"delegated", delegated, []string{"by delegated parts; collector 10.0.0.7:1", "granted to this instance: 2 tokens", "next token: in stock; a request would be granted a token\n"}},
		{"waits", waits, []string{
			`refused before routing: the configuration is not confirmed (code "busy")`, "no tokens while the way", "next token: not known; a request would be waiting", "only the primary: it may write",
			"nothing can be chosen: the group has no primary; the statement waits for a change for 800ms, is then refused, and is worth retrying after 500ms",
		}},
		{"refused at once", refused, []string{"nothing can be chosen: the group has no primary; the statement is refused at once and is worth retrying after 1.5s"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b strings.Builder
			if err := PrintWhere(&b, c.a); err != nil {
				t.Fatal(err)
			}
			for _, p := range c.parts {
				if !strings.Contains(b.String(), p) {
					t.Errorf("the output lacks %q:\n%s", p, &b)
				}
			}
		})
	}
}

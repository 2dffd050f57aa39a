package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/config"
)

// TestModes guards against a team that is limited in both ways at a time, and against pauses
// without tokens that are not needed.
func TestModes(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	teams := map[string]config.Team{"small": {Name: "small", Rate: 5, Burst: 5}, "large": {Name: "large", Rate: 4000, Burst: 4000}}
	type step struct {
		at    time.Duration
		fleet Fleet
		want  string // way of the team small; the team large has an owner
	}
	whole := Fleet{Instances: 72, Spare: 10, Delegates: true, Complete: true}
	old, few, loading := whole, whole, whole
	old.Delegates, few.Instances, loading.Complete = false, 3, false
	for name, steps := range map[string][]step{
		"the first complete tables apply at once":   {{0, loading, "owned"}, {time.Second, whole, "delegated"}},
		"a small fleet has an owner":                {{0, few, "owned"}},
		"the last old build leaves":                 {{0, old, "owned"}, {20 * time.Second, whole, ""}, {29900 * time.Millisecond, whole, ""}, {30 * time.Second, whole, "delegated"}},
		"the last old build leaves while it starts": {{0, old, "owned"}, {time.Second, whole, ""}, {2 * time.Second, whole, "delegated"}},
		"an old build joins":                        {{0, whole, "delegated"}, {20 * time.Second, old, ""}, {32700 * time.Millisecond, old, ""}, {33 * time.Second, old, "owned"}},
		"some instances are lost": {
			{0, Fleet{Instances: 72, Delegates: true, Complete: true}, "delegated"},
			{20 * time.Second, Fleet{Instances: 4, Delegates: true, Complete: true}, "delegated"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewModes()
			for _, s := range steps {
				owned, delegated, next := m.Update(start.Add(s.at), s.fleet, teams)
				got := ""
				if _, ok := owned["small"]; ok {
					got = "owned"
				}
				if _, ok := delegated["small"]; ok {
					got += "delegated"
				}
				if got != s.want || next.IsZero() != (s.want != "") {
					t.Errorf("after %v: got %q, next at %v, want %q", s.at, got, next, s.want)
				}
				if _, ok := owned["large"]; !ok {
					t.Errorf("after %v: the large team has no owner", s.at)
				}
			}
		})
	}
}

// TestPart guards against parts whose sum exceeds 1 while instances come and go.
func TestPart(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m := NewModes()
	for _, s := range []struct {
		at        time.Duration
		instances int
		complete  bool
		want      float64
	}{
		{0, 1, false, 0},
		{time.Second, 4, true, 1.0 / 4},
		{2 * time.Second, 8, true, 0}, // a fleet that starts
		{2800 * time.Millisecond, 8, true, 1.0 / 8},
		{20 * time.Second, 10, true, 1.0 / 10},
		{21 * time.Second, 8, true, 1.0 / 10},
		{35 * time.Second, 8, true, 1.0 / 10},
		{37 * time.Second, 8, true, 1.0 / 8},
	} {
		m.Update(start.Add(s.at), Fleet{Instances: s.instances, Complete: s.complete}, nil)
		if got := m.Part(start.Add(s.at)); got != s.want {
			t.Errorf("after %v: got part %v, want %v", s.at, got, s.want)
		}
	}
}

// TestModesDoNotMix guards against a team that one instance limits by delegated parts while
// another one has an owner for it: instances of an old build come and go, and each instance
// learns of it up to tableDelay late.
func TestModesDoNotMix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		teams := map[string]config.Team{"x": {Name: "x", Rate: 5, Burst: 5}}
		type view struct {
			modes *Modes
			seen  []time.Duration // when each change is seen
		}
		views := make([]view, 4)
		for i := range views {
			views[i].modes = NewModes()
		}
		delegates := rapid.Bool().Draw(t, "delegates at first")
		for at := youngTime; at < 60*time.Second; {
			at += time.Duration(rapid.IntRange(100, 20000).Draw(t, "ms to the next change")) * time.Millisecond
			for i := range views {
				seen := at + time.Duration(rapid.IntRange(0, int(tableDelay/time.Millisecond)).Draw(t, "delay"))*time.Millisecond
				if k := len(views[i].seen); k > 0 {
					seen = max(seen, views[i].seen[k-1]) // tables never go back
				}
				views[i].seen = append(views[i].seen, seen)
			}
		}
		var spentUntil time.Duration // tokens of delegated parts may be spent
		for at := time.Duration(0); at < 80*time.Second; at += 50 * time.Millisecond {
			ownedBy, delegatedBy := 0, 0
			for _, v := range views {
				now := delegates
				for _, seen := range v.seen {
					if seen <= at {
						now = !now
					}
				}
				owned, delegated, _ := v.modes.Update(start.Add(at), Fleet{Instances: 72, Delegates: now, Complete: true}, teams)
				ownedBy += len(owned)
				delegatedBy += len(delegated)
			}
			if ownedBy > 0 && (delegatedBy > 0 || at < spentUntil) {
				t.Fatalf("after %v: %d instances have an owner, %d delegate, whose tokens may be spent until %v", at, ownedBy, delegatedBy, spentUntil)
			}
			if delegatedBy > 0 {
				spentUntil = at + delegationLife + TransferLifetime
			}
		}
	})
}

package placement

import (
	"fmt"
	"strings"
	"testing"
)

// TestRankIsNearestFirstAndStable guards against needless moves: the loss of an instance must
// move only its keys. The nearest instances must come first.
func TestRankIsNearestFirstAndStable(t *testing.T) {
	var list []Instance
	for i := range 9 {
		list = append(list, Instance{Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: fmt.Sprint("d", i%3), Region: fmt.Sprint("r", i%3)})
	}
	for k := range 50 {
		key := fmt.Sprint("key", k)
		before := Rank(key, Place{"d1", "r1"}, list)
		for i, in := range before[:3] {
			if in.Domain != "d1" {
				t.Errorf("%s: instance %d of the ranking is in domain %s, want d1", key, i, in.Domain)
			}
		}
		lost := list[k%9]
		after := Rank(key, Place{"d1", "r1"}, append(append([]Instance{}, list[:k%9]...), list[k%9+1:]...))
		if before[0] != lost && after[0] != before[0] {
			t.Errorf("%s moved from %v to %v although %v was lost", key, before[0], after[0], lost)
		}
	}
}

// TestIsAmongFirstEligible guards against a role that no instance takes because the first
// instances of the list are not eligible. This comes about when the store does not answer
// them.
func TestIsAmongFirstEligible(t *testing.T) {
	list := []Instance{{Address: "a"}, {Address: "b"}, {Address: "c"}, {Address: "d"}}
	for _, test := range []struct {
		address, ineligible string
		n                   int
		want                bool
	}{
		{"a", "", 1, true},
		{"b", "", 1, false},
		{"b", "a", 1, true},
		{"d", "abc", 1, true},
		{"d", "a", 2, false},
		{"d", "ab", 2, true},
		{"a", "a", 1, true},
		{"e", "abcd", 1, false},
		{"a", "", 0, false},
	} {
		eligible := func(address string) bool { return !strings.Contains(test.ineligible, address) }
		if got := IsAmongFirstEligible(list, test.address, test.n, eligible); got != test.want {
			t.Errorf("%+v: got %v", test, got)
		}
	}
}

package usage

import "testing"

// TestMergeHistory guards against a list for operators that hides a window, or shows one as
// failed that was reported.
func TestMergeHistory(t *testing.T) {
	a := []Summary{{Window: 1, Outcome: Accepted, After: 5}, {Window: 2, Outcome: NoAnswer, After: 6}}
	b := []Summary{{Window: 2, Outcome: Accepted, After: 8}, {Window: 2, Outcome: NoAnswer, After: 9}, {Window: 3, Outcome: Refused}, {Window: 1, Outcome: Accepted, After: 9}}
	got := MergeHistory(a, b, 3)
	if len(got) != 3 || got[0].After != 5 || got[1].Outcome != Accepted || got[2].Outcome != Refused {
		t.Errorf("%+v", got)
	}
	if got := MergeHistory(a, b, 1); len(got) != 1 || got[0].Window != 3 {
		t.Errorf("%+v, want only the newest window", got)
	}
}

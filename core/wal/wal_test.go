package wal

import "testing"

// TestCovers guards against a token from a dropped tail that demands offsets which the new
// term reuses, and against a log that still holds the tail and counts as covering new
// writes.
func TestCovers(t *testing.T) {
	h := History{{Term: 1}, {Term: 2, Offset: 10}, {Term: 4, Offset: 25}}
	for _, tc := range []struct {
		name       string
		have, want Position
		covers     bool
	}{
		{"same term behind", Position{4, 30}, Position{4, 31}, false},
		{"same term equal", Position{4, 31}, Position{4, 31}, true},
		{"old term inside the history", Position{4, 25}, Position{1, 9}, true},
		{"wanted tail was dropped", Position{2, 10}, Position{1, 15}, true},
		{"held tail was dropped", Position{1, 40}, Position{2, 12}, false},
		{"tail dropped two terms ago", Position{3, 90}, Position{4, 26}, false},
		{"nothing wanted", Position{}, Position{}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := h.Covers(tc.have, tc.want); got != tc.covers {
				t.Errorf("Covers(%v, %v) = %v, want %v", tc.have, tc.want, got, tc.covers)
			}
		})
	}
}

// TestCoversAfterEarlierStart guards against a log that was cut only at the first of two
// starts and counts as holding writes of the second term. A term that reached no majority
// may be followed by a term that starts earlier.
func TestCoversAfterEarlierStart(t *testing.T) {
	h := History{{Term: 1}, {Term: 2, Offset: 10}, {Term: 3, Offset: 8}}
	if got, want := h.Clamp(Position{1, 12}), (Position{3, 8}); got != want {
		t.Errorf("Clamp = %v, want %v", got, want)
	}
	if h.Covers(Position{1, 12}, Position{3, 9}) {
		t.Error("a dropped tail covers a write of the next term")
	}
}

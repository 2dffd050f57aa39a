package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSole guards against two holders at once: instances whose clocks agree try to take
// and renew one lease, answers are lost, instances pause and restart.
func TestSole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var object SoleRecord
		var revision uint64
		names := []string{"a", "b", "c"}
		runs := map[string]int{}
		parts := map[string]*Sole{}
		for _, name := range names {
			parts[name] = NewSole(name, name)
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "name")
			s := parts[name]
			switch rapid.SampledFrom([]string{"observe", "write", "write", "restart"}).Draw(t, "action") {
			case "observe":
				s.Observe(now, object, revision)
			case "write":
				ended := ""
				if h := object.Holder; h != "" && h != parts[object.Machine].holder {
					ended = h // its instance has been restarted
				}
				r, before, due := s.Due(now, true, ended)
				if !due || before != revision {
					break
				}
				sent := now
				object, revision = r, revision+1
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
				if rapid.Bool().Draw(t, "answered") {
					s.Wrote(now, sent, r, revision)
				}
			case "restart":
				if rapid.IntRange(0, 5).Draw(t, "rarely") == 0 {
					runs[name]++
					parts[name] = NewSole(name+string(rune('0'+runs[name])), name)
				}
			}
			var holders []string
			for _, name := range names {
				if parts[name].Valid(now) {
					holders = append(holders, name)
				}
			}
			if len(holders) > 1 {
				t.Fatalf("holders %v at once", holders)
			}
		}
	})
}

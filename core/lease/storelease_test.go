package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStoreLeaseHasOneOwner guards against two owners at the same time. Instances with equal
// clocks take and renew one lease while answers get lost and instances pause and restart.
func TestStoreLeaseHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var object StoreLeaseRecord
		var revision uint64
		names := []string{"a", "b", "c"}
		restarts := map[string]int{}
		members := map[string]*StoreLease{}
		for _, name := range names {
			members[name] = NewStoreLease(name, name)
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "name")
			member := members[name]
			switch rapid.SampledFrom([]string{"observe", "write", "write", "restart"}).Draw(t, "action") {
			case "observe":
				member.Observe(now, object, revision)
			case "write":
				endedOwner := ""
				if h := object.Holder; h != "" && h != members[object.Machine].self {
					endedOwner = h // the instance of that run has restarted
				}
				r, before, due := member.PrepareWrite(now, true, endedOwner)
				if !due || before != revision {
					break
				}
				sent := now
				object, revision = r, revision+1
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
				if rapid.Bool().Draw(t, "answered") {
					member.ConfirmWrite(now, sent, r, revision)
				}
			case "restart":
				if rapid.IntRange(0, 5).Draw(t, "rarely") == 0 {
					restarts[name]++
					members[name] = NewStoreLease(name+string(rune('0'+restarts[name])), name)
				}
			}
			var owners []string
			for _, name := range names {
				if members[name].Valid(now) {
					owners = append(owners, name)
				}
			}
			if len(owners) > 1 {
				t.Fatalf("several owners at the same time: %v", owners)
			}
		}
	})
}

package node

import (
	"errors"
	"net/rpc"
	"testing"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/usage"
)

// newUsageNode returns an instance of a large fleet with usage reports.
func newUsageNode(t *testing.T) *Node {
	t.Helper()
	n := newLargeNode(t)
	settings := *n.settings()
	settings.Usage = UsageSettings{Window: 5 * time.Second, Delay: 10 * time.Second, Lease: 3 * time.Second, Off: 0.05}
	n.activeSettings.Store(&settings)
	n.usage = newUsageReports(n)
	return n
}

// TestGathererOfOlderBuild guards against an instance that is taken for lost, and so gets no
// statements, because its build does not know Node.Usage, and against counts that are sent to it
// for good.
func TestGathererOfOlderBuild(t *testing.T) {
	n := newUsageNode(t)
	first := n.usage.target()
	n.usage.recordFailedPush(first, rpc.ServerError("rpc: can't find method Node.Usage"))
	if n.suspectCount() != 0 {
		t.Error("the instance is suspect")
	}
	second := n.usage.target()
	if second == first {
		t.Error("the next push goes to the same instance")
	}
	n.usage.recordFailedPush(second, errors.New("no answer"))
	n.usage.recordFailedPush(second, errors.New("no answer"))
	if n.suspectCount() != 1 || n.usage.target() == second {
		t.Error("an instance that does not answer still gets the pushes")
	}
}

// TestSecondHandHolder guards against instances that confirm a lost holder to each other, so
// that nobody takes over.
func TestSecondHandHolder(t *testing.T) {
	n := newUsageNode(t)
	now := n.now()
	n.now = func() time.Time { return now }
	n.usage.holder = usageHolder{"10.0.0.5", 7, now}
	if ack := n.usage.handlePush(usage.Push{Run: "1", Seq: 1}); ack.Machine != "10.0.0.5" {
		t.Errorf("the holder is named as %q", ack.Machine)
	}
	now = now.Add(holderNewsTimeout)
	if ack := n.usage.handlePush(usage.Push{Run: "1", Seq: 2}); ack.Machine != "" {
		t.Errorf("%q is named as the holder after it was not heard of for %v", ack.Machine, holderNewsTimeout)
	}
	n.usage.holder = usageHolder{n.self.Address, 7, now}
	if ack := n.usage.handlePush(usage.Push{Run: "1", Seq: 3}); ack.Machine != "" {
		t.Error("an instance names itself although its lease has ended")
	}
}

// TestMeteredWindow guards against an attempt that did not run but stays counted.
func TestMeteredWindow(t *testing.T) {
	n := newUsageNode(t)
	r := call.Request{Team: "a"}
	n.usage.Sent(r)(&call.Reply{Ran: call.RanNo})
	n.usage.Sent(r)(&call.Reply{Ran: call.RanMaybe})
	total := uint64(0)
	for _, counts := range n.usage.counter.Push(n.now(), time.Now()).Windows {
		total += counts["a"]
	}
	if total != 1 {
		t.Errorf("%d requests, want 1", total)
	}
}

// TestWithoutUsage guards against work where the settings have no windows.
func TestWithoutUsage(t *testing.T) {
	n := newLargeNode(t)
	var ack usage.Ack
	if err := (&service{n}).Usage(usage.Push{Run: "1", Seq: 1}, &ack); err != nil || ack != (usage.Ack{}) || n.usage != nil || n.gateways.Meter != nil {
		t.Errorf("answer %+v, error %v, reports %v", ack, err, n.usage)
	}
}

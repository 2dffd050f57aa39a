package lease

import (
	"testing"
	"time"
)

// TestLeavingMemberLearnsOfItsReplacement guards against a leaving instance that is not
// told that it was replaced. Each graceful shutdown of an owner or a standby then lasted
// the full drain time of 30 s.
func TestLeavingMemberLearnsOfItsReplacement(t *testing.T) {
	for _, tc := range []struct {
		name     string
		leaving  Instance
		receiver Instance
		kind     Kind
		next     Lease
	}{
		{"owner", ownerA, standbyB, Release, leaseOf(standbyB, 2, standbyC, otherB)},
		{"standby", standbyB, ownerA, Resign, leaseOf(ownerA, 1, standbyC, otherB)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newTestMember(tc.leaving)
			m.Leave()
			other := newTestMember(tc.receiver)
			other.Observe(start, tc.next, 2)
			var sent *Message
			for _, msg := range m.Tick(start, fleet).Messages {
				if msg.Kind == tc.kind && msg.To == tc.receiver.ID {
					sent = &msg
				}
			}
			if sent == nil {
				t.Fatalf("the leaving %s sent no %s message", tc.name, tc.kind)
			}
			for _, msg := range other.HandleMessage(start, *sent).Messages {
				if msg.To == tc.leaving.ID {
					m.HandleMessage(start, msg)
				}
			}
			if m.IsNamed() {
				t.Errorf("the %s does not know that the lease no longer names it", tc.name)
			}
		})
	}
}

// TestLeavingMemberLooksForTheOwner guards against a leaving instance, such as one in a
// failure domain that is taken out, that does not look for a shard's new owner. It then
// refused callers within their rate.
func TestLeavingMemberLooksForTheOwner(t *testing.T) {
	m := newTestMember(otherB)
	m.Leave()
	ownerSilent := fleet
	ownerSilent.OwnerSilent = true
	out := m.Tick(afterStart(time.Minute), ownerSilent)
	if len(out.Calls) != 1 || out.Calls[0].Method != Get {
		t.Fatalf("got calls %v, want a read of the lease", out.Calls)
	}
	if next := handleDone(m, afterStart(time.Minute), out.Calls[0], leaseOf(standbyB, 2, standbyC, ownerA), 2); len(next.Calls) > 0 {
		t.Errorf("the leaving member proposed an update: %v", next.Calls)
	}
	if l, _ := m.Lease(); l.Owner != standbyB {
		t.Errorf("known owner %v, want %v", l.Owner, standbyB)
	}
}

package load

import (
	"fmt"
	"testing"
	"time"

	"burdockseam/core/wal"
	"burdockseam/io/fleet"
)

var testStart = time.Unix(1000, 0)

// acknowledgedEvent returns a booking that was acknowledged and that intactEvidence holds.
// The function change, if not nil, alters it.
func acknowledgedEvent(change func(*Event)) Event {
	e := Event{
		Kind: KindWrite, Team: "t", Group: "g", ID: "a", Planned: testStart, Sent: testStart, Completed: testStart.Add(time.Millisecond),
		Outcome: OutcomeDone, Position: wal.Position{Term: 1, Offset: 2}, Statements: 1,
	}
	if change != nil {
		change(&e)
	}
	return e
}

// intactEvidence returns evidence in which no promise is broken.
func intactEvidence() Evidence {
	return Evidence{
		BookingRows:   map[string][][]string{"g": {{"a", "s-a"}}},
		PairRows:      map[string][][]string{"g": {{"p", "1"}, {"p", "2"}}},
		Logs:          map[string][]wal.Position{"g": {{Term: 1, Offset: 1}, {Term: 1, Offset: 2}, {Term: 2, Offset: 3}}},
		UpstreamTexts: []string{"INSERT"}, Secrets: []string{"key-1"},
		Teams: []fleet.Team{{Name: "t", Rate: 10, Burst: 5}},
	}
}

// Guards against a check that overlooks a broken promise or counts it as another one.
// Each planted fault must be counted under its own promise only.
func TestCheckCounts(t *testing.T) {
	pairOf := func(e *Event) { e.Kind, e.ID = KindTransaction, "p" }
	for _, c := range []struct {
		name   string
		events []Event
		change func(*Evidence)
		want   Promise
		n      int
	}{
		{name: "nothing broken", events: []Event{acknowledgedEvent(nil), acknowledgedEvent(pairOf)}},
		{name: "stale read", events: []Event{acknowledgedEvent(func(e *Event) { e.Kind, e.Stale = KindRead, true })}, want: StaleReads, n: 1},
		{name: "old primary", events: []Event{acknowledgedEvent(func(e *Event) { e.Position = wal.Position{Term: 1, Offset: 3} })}, want: OldPrimaryAcks, n: 1},
		{name: "half a transaction", events: []Event{acknowledgedEvent(pairOf)}, want: MixedTransactions, n: 1, change: func(ev *Evidence) {
			ev.PairRows["g"] = ev.PairRows["g"][:1]
		}},
		{name: "a foreign row in a transaction", events: []Event{acknowledgedEvent(func(e *Event) { pairOf(e); e.Mixed = true })}, want: MixedTransactions, n: 1},
		{name: "key at an upstream", events: []Event{acknowledgedEvent(nil)}, want: KeysAtUpstreams, n: 1, change: func(ev *Evidence) {
			ev.UpstreamTexts = append(ev.UpstreamTexts, "SELECT 'key-1'")
		}},
		{name: "foreign answer", events: []Event{acknowledgedEvent(func(e *Event) { e.Kind, e.Foreign = KindRead, true })}, want: ForeignAnswers, n: 1},
		{name: "false notrun", events: []Event{acknowledgedEvent(func(e *Event) { e.Outcome = OutcomeNotRun })}, want: FalseNotRun, n: 1},
		{name: "rolled back but there", events: []Event{acknowledgedEvent(func(e *Event) { pairOf(e); e.Outcome = OutcomeNotRun })}, want: FalseNotRun, n: 1},
		{name: "doubled", events: []Event{acknowledgedEvent(nil)}, want: DoubledWrites, n: 1, change: func(ev *Evidence) {
			ev.BookingRows["g"] = append(ev.BookingRows["g"], []string{"a", "s-a"})
		}},
		{name: "lost", events: []Event{acknowledgedEvent(nil)}, want: LostWrites, n: 1, change: func(ev *Evidence) { ev.BookingRows["g"] = nil }},
		{name: "unknown and not there", events: []Event{acknowledgedEvent(func(e *Event) { e.Outcome = OutcomeUnknown })}, change: func(ev *Evidence) {
			ev.BookingRows["g"] = nil
		}},
		{name: "over the rate", events: readBurst(8), want: ExcessAdmissions, n: 2},
		{name: "inside the rate", events: readBurst(5)},
	} {
		t.Run(c.name, func(t *testing.T) {
			ev := intactEvidence()
			if c.change != nil {
				c.change(&ev)
			}
			got := Check(c.events, ev)
			for _, p := range Promises {
				want := 0
				if p == c.want {
					want = c.n
				}
				if got[p] != want {
					t.Errorf("%s: %d, want %d", p, got[p], want)
				}
			}
		})
	}
}

// readBurst returns n reads that were admitted within 60 ms. At the rate of 10/s the team gets
// 0.6 tokens in that time.
func readBurst(n int) []Event {
	var list []Event
	for i := range n {
		list = append(list, acknowledgedEvent(func(e *Event) {
			e.Kind, e.ID = KindRead, fmt.Sprint(i)
			e.Completed = testStart.Add(60 * time.Millisecond)
		}))
	}
	return list
}

// Guards against a failover gap that is measured within one term, or up to a retried
// write with an idempotency key, whose response shows the term of the first attempt.
func TestGap(t *testing.T) {
	at := func(after time.Duration, term uint64, kind Kind) Event {
		return acknowledgedEvent(func(e *Event) {
			e.Kind, e.Completed, e.Position.Term = kind, testStart.Add(after), term
		})
	}
	events := []Event{
		at(0, 1, KindWrite), at(100*time.Millisecond, 1, KindWrite), at(900*time.Millisecond, 2, KindWrite),
		at(5*time.Second, 2, KindWrite), at(4*time.Second, 1, KindKeyed),
	}
	if got := longestGap(events); got != 800*time.Millisecond {
		t.Errorf("gap %v, want 800ms", got)
	}
}

// Guards against a summary that leaves out refused, delayed or interrupted requests.
func TestSummary(t *testing.T) {
	events := []Event{
		acknowledgedEvent(nil),
		acknowledgedEvent(func(e *Event) { e.Outcome, e.Reason = OutcomeNotRun, "team t is over its rate" }),
		acknowledgedEvent(func(e *Event) { e.Team, e.Outcome = "hot", OutcomeNotRun }),
		acknowledgedEvent(func(e *Event) { e.Outcome, e.Reason = OutcomeNotRun, reasonRolledBack }),
		acknowledgedEvent(func(e *Event) { e.Completed = testStart.Add(2 * time.Second) }),
		acknowledgedEvent(func(e *Event) { e.Outcome = OutcomeUnknown }),
		acknowledgedEvent(func(e *Event) { e.Outcome, e.Reason = OutcomeNotRun, reasonClosed }),
	}
	r := Summarize(events, testStart, time.Second, "hot")
	if r.Done != 3 || r.Refused != 3 || r.Unknown != 1 || r.WrongfulRefusals != 2 || r.RateRefusals != 1 {
		t.Errorf("done %d, refused %d, unknown %d, wrongful %d, over the rate %d, want 3, 3, 1, 2 and 1", r.Done, r.Refused, r.Unknown, r.WrongfulRefusals, r.RateRefusals)
	}
	if r.Max < 1999 {
		t.Errorf("maximum %v ms, want the latency from the planned arrival, 2000 ms", r.Max)
	}
	if n := countCutRequests(events); n != 2 {
		t.Errorf("%d requests cut, want 2", n)
	}
	if m := summarizeMove(events, testStart, testStart.Add(time.Second)); *m != (DomainMove{Requests: 7, Refused: 3, Failed: 1, Delayed: 1}) {
		t.Errorf("requests while a failure domain moves: %+v, want 7 with 3 refused, 1 failed and 1 delayed", *m)
	}
}

// Guards against a comparison of teams with different rates or with the hot team, and
// against one that hides the worst-served team.
func TestFairness(t *testing.T) {
	share, tail := compareTeams([]TeamResult{
		{Name: "a", Rate: 10, Requests: 100, Done: 100, P99: 10},
		{Name: "b", Rate: 10, Requests: 100, Done: 80, P99: 40},
		{Name: "c", Rate: 50, Requests: 100, Done: 10, P99: 90},
		{Name: "hot", Rate: 10, Requests: 100, Done: 1, P99: 900},
	}, "hot")
	if share != 0.8 || tail != 0.25 {
		t.Errorf("ratio of served shares %v and of p99 %v, want 0.8 and 0.25", share, tail)
	}
}

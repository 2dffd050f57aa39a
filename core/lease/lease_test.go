package lease

import (
	"slices"
	"testing"
	"time"
)

var (
	start    = time.Unix(1000, 0)
	ownerA   = Instance{"o", "a"}
	standbyB = Instance{"s", "b"}
	standbyC = Instance{"u", "c"}
	otherB   = Instance{"n", "b"}
	fleet    = View{Candidates: []Instance{ownerA, standbyB, standbyC, otherB}}
)

func afterStart(d time.Duration) time.Time { return start.Add(d) }

func leaseOf(owner Instance, epoch uint64, standbys ...Instance) Lease {
	return Lease{Shard: "0", Owner: owner, Standbys: standbys, Epoch: epoch, Op: "x"}
}

// newTestMember returns an instance that knows version 1 of the lease: owner ownerA, standbys
// standbyB and standbyC.
func newTestMember(self Instance) *Member {
	m := NewMember(self, "0")
	m.Observe(start, leaseOf(ownerA, 1, standbyB, standbyC), 1)
	return m
}

// ownerWithPromises returns the owner with promises of the instances in answer to a request
// sent now.
func ownerWithPromises(now time.Time, from ...Instance) *Member {
	m := newTestMember(ownerA)
	m.Tick(now, fleet)
	givePromises(m, now, from...)
	return m
}

func givePromises(m *Member, now time.Time, from ...Instance) {
	for _, i := range from {
		m.HandleMessage(now, Message{Kind: Promise, Shard: "0", From: i.ID, To: "o", Epoch: 1, Seq: m.lastSeq})
	}
}

func expectValid(t *testing.T, m *Member, now time.Time, want bool) {
	t.Helper()
	if got := m.Valid(now); got != want {
		t.Errorf("Valid at %v: got %v, want %v", now.Sub(start), got, want)
	}
}

func messageKinds(out Output) (k []Kind) {
	for _, m := range out.Messages {
		k = append(k, m.Kind)
	}
	return k
}

func promiseRequest(to Instance, epoch uint64) Message {
	return Message{Kind: RequestPromise, Shard: "0", From: "o", To: to.ID, Epoch: epoch, Seq: 1}
}

// handleDone passes the member the result of a read or of an accepted update.
func handleDone(m *Member, now time.Time, c Call, l Lease, version uint64) Output {
	data, _ := l.Encode()
	return m.HandleResult(now, Result{ID: c.ID, Status: Done, Value: data, Version: version})
}

func TestEncodeDecode(t *testing.T) {
	l := leaseOf(ownerA, 3, standbyB, standbyC)
	data, err := l.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil || decoded.Owner != ownerA || !slices.Equal(decoded.Standbys, l.Standbys) || decoded.Epoch != 3 || decoded.Op != "x" {
		t.Errorf("decoded %+v, %v", decoded, err)
	}
	for _, bad := range []string{"", "{}", `{"shard":"0","owner":{"id":"o"},"op":"x"}`, `{"shard":"0","epoch":1,"op":"x"}`} {
		if _, err := Decode([]byte(bad)); err == nil {
			t.Errorf("Decode accepted %q", bad)
		}
	}
}

func TestChooseStandbysInOtherDomains(t *testing.T) {
	if got := ChooseStandbys(ownerA, []Instance{ownerA, {"o2", "a"}, standbyB, otherB, standbyC}); !slices.Equal(got, []Instance{standbyB, standbyC}) {
		t.Errorf("got %v", got)
	}
	if got := ChooseStandbys(ownerA, []Instance{{"o2", "a"}, standbyB, otherB}); !slices.Equal(got, []Instance{standbyB, otherB}) {
		t.Errorf("with two domains: got %v", got)
	}
}

func TestOwnerValidity(t *testing.T) {
	t.Run("needs a promise of every standby", func(t *testing.T) {
		expectValid(t, ownerWithPromises(start, standbyB), start, false)
		expectValid(t, ownerWithPromises(start, standbyB, standbyC), start, true)
	})
	t.Run("counts from the send time of the request", func(t *testing.T) {
		m := newTestMember(ownerA)
		m.Tick(start, fleet)
		givePromises(m, afterStart(900*time.Millisecond), standbyB, standbyC)
		expectValid(t, m, afterStart(979*time.Millisecond), true)
		expectValid(t, m, afterStart(980*time.Millisecond), false)
	})
	t.Run("ends during a pause", func(t *testing.T) {
		expectValid(t, ownerWithPromises(start, standbyB, standbyC), afterStart(time.Minute), false)
	})
	t.Run("ends when a higher epoch is seen", func(t *testing.T) {
		m := ownerWithPromises(start, standbyB, standbyC)
		m.HandleMessage(start, Message{Kind: Notice, Shard: "0", From: "s", To: "o", Epoch: 2, Lease: leaseOf(standbyB, 2, standbyC, ownerA), Version: 2})
		expectValid(t, m, start, false)
	})
	t.Run("a promise of another epoch does not count", func(t *testing.T) {
		m := newTestMember(ownerA)
		m.Observe(start, leaseOf(ownerA, 3, standbyB, standbyC), 2)
		m.Tick(start, fleet)
		givePromises(m, start, standbyB, standbyC) // of epoch 1
		expectValid(t, m, start, false)
	})
	t.Run("ends on leaving, and the lease is released", func(t *testing.T) {
		m := ownerWithPromises(start, standbyB, standbyC)
		m.Leave()
		expectValid(t, m, start, false)
		if got := messageKinds(m.Tick(afterStart(time.Millisecond), fleet)); !slices.Equal(got, []Kind{Release, Release}) {
			t.Errorf("got %v", got)
		}
	})
	t.Run("is never given without standbys", func(t *testing.T) {
		m := NewMember(ownerA, "0")
		m.Observe(start, leaseOf(ownerA, 1), 1)
		expectValid(t, m, start, false)
	})
}

// startStandbyChange returns the owner while its update that replaces standbyB by otherB is
// open, and the store call of that update. standbyC and otherB keep promising, standbyB
// stops at 250 ms.
func startStandbyChange(t *testing.T) (*Member, Call, time.Time) {
	t.Helper()
	m := ownerWithPromises(start, standbyB, standbyC)
	now := start
	for now.Before(afterStart(3 * time.Second)) {
		now = now.Add(50 * time.Millisecond)
		out := m.Tick(now, fleet)
		givePromises(m, now, standbyC, otherB)
		if len(out.Calls) == 1 {
			put := handleDone(m, now, out.Calls[0], m.known, 1)
			if len(put.Calls) != 1 || put.Calls[0].Method != Put {
				t.Fatalf("got %+v after the read, want one put", put)
			}
			return m, put.Calls[0], now
		}
	}
	t.Fatal("the standby that does not answer was not replaced within 3 s")
	return nil, Call{}, now
}

func TestOwnerReplacesStandby(t *testing.T) {
	next := leaseOf(ownerA, 1, standbyC, otherB)
	t.Run("while the update is open, promises of the old and the new standbys are needed", func(t *testing.T) {
		m, _, now := startStandbyChange(t)
		now = now.Add(time.Second)
		m.Tick(now, fleet)
		givePromises(m, now, standbyC, otherB)
		expectValid(t, m, now, false)
		givePromises(m, now, standbyB, standbyC)
		expectValid(t, m, now, true)
		m, _, now = startStandbyChange(t)
		now = now.Add(time.Second)
		m.Tick(now, fleet)
		givePromises(m, now, standbyB, standbyC)
		expectValid(t, m, now, false)
	})
	t.Run("once the update is accepted, promises of the new standbys suffice", func(t *testing.T) {
		m, put, now := startStandbyChange(t)
		handleDone(m, now, put, next, 2)
		givePromises(m, now, standbyC, otherB)
		expectValid(t, m, now, true)
	})
	t.Run("a lost answer is recovered by repeating the update and reading", func(t *testing.T) {
		m, put, now := startStandbyChange(t)
		now = now.Add(callTimeout)
		repeated := m.Tick(now, fleet).Calls
		if len(repeated) != 1 || repeated[0].IfVersion != put.IfVersion || string(repeated[0].Value) != string(put.Value) {
			t.Fatalf("got %+v, want the same update", repeated)
		}
		read := m.HandleResult(now, Result{ID: repeated[0].ID, Status: Conflict}).Calls
		if len(read) != 1 || read[0].Method != Get {
			t.Fatalf("got %+v, want a read", read)
		}
		handleDone(m, now, read[0], next, 2)
		givePromises(m, now, standbyC, otherB)
		expectValid(t, m, now, true)
	})
}

// tickUntilCall ticks the member until it calls the store, and returns the call and the time.
func tickUntilCall(t *testing.T, m *Member, now, limit time.Time, v View) (Call, time.Time) {
	t.Helper()
	for now.Before(limit) {
		now = now.Add(50 * time.Millisecond)
		if out := m.Tick(now, v); len(out.Calls) > 0 {
			return out.Calls[0], now
		}
	}
	return Call{}, now
}

func TestStandbyTakesOver(t *testing.T) {
	t.Run("takes over after PromiseDuration, not earlier, and then promises nothing", func(t *testing.T) {
		m := newTestMember(standbyB)
		m.Tick(start, fleet)
		m.HandleMessage(afterStart(500*time.Millisecond), promiseRequest(standbyB, 1))
		read, now := tickUntilCall(t, m, start, afterStart(5*time.Second), fleet)
		if d := now.Sub(afterStart(500 * time.Millisecond)); d < AddClockMargin(PromiseDuration) || d > AddClockMargin(PromiseDuration)+100*time.Millisecond {
			t.Errorf("tried to take over after %v", d)
		}
		put := handleDone(m, now, read, leaseOf(ownerA, 1, standbyB, standbyC), 1)
		if len(put.Calls) != 1 || put.Calls[0].Method != Put {
			t.Fatalf("got %+v after the read, want one put", put)
		}
		if got := messageKinds(m.HandleMessage(now, promiseRequest(standbyB, 1))); got != nil {
			t.Errorf("sent %v while the takeover is open", got)
		}
		next, _ := Decode(put.Calls[0].Value)
		if next.Owner != standbyB || next.Epoch != 2 || !slices.Equal(next.Standbys, []Instance{standbyC, ownerA}) {
			t.Errorf("proposed %+v", next)
		}
		handleDone(m, now.Add(time.Minute), put.Calls[0], next, 2)
		if epoch, since, ok := m.OwnedEpoch(); !ok || epoch != 2 || !since.Equal(now) {
			t.Errorf("got epoch %v since %v, owned %v", epoch, since, ok)
		}
		expectValid(t, m, now.Add(time.Minute), false)
		if got := messageKinds(m.HandleMessage(now, promiseRequest(standbyB, 1))); !slices.Equal(got, []Kind{Notice}) {
			t.Errorf("a request of epoch 1 was answered by %v", got)
		}
	})
	t.Run("a promise request during the read stops the takeover", func(t *testing.T) {
		m := newTestMember(standbyB)
		read, now := tickUntilCall(t, m, start, afterStart(5*time.Second), fleet)
		if got := messageKinds(m.HandleMessage(now, promiseRequest(standbyB, 1))); !slices.Equal(got, []Kind{Promise}) {
			t.Errorf("got %v", got)
		}
		if out := handleDone(m, now, read, leaseOf(ownerA, 1, standbyB, standbyC), 1); len(out.Calls) > 0 {
			t.Errorf("the takeover went on with %+v", out.Calls)
		}
	})
	t.Run("an instance that was paused listens before it takes over", func(t *testing.T) {
		m := newTestMember(standbyB)
		m.Tick(start, fleet)
		if out := m.Tick(afterStart(time.Minute), fleet); len(out.Calls) > 0 {
			t.Errorf("got %+v right after a pause", out.Calls)
		}
	})
	t.Run("takes over at once when released", func(t *testing.T) {
		m := newTestMember(standbyB)
		m.HandleMessage(start, Message{Kind: Release, Shard: "0", From: "o", To: "s", Epoch: 1})
		if _, now := tickUntilCall(t, m, start, afterStart(time.Second), fleet); now.Sub(start) > 100*time.Millisecond {
			t.Errorf("tried to take over after %v", now.Sub(start))
		}
	})
	t.Run("a message to an earlier incarnation is ignored", func(t *testing.T) {
		if got := messageKinds(newTestMember(Instance{"s2", "b"}).HandleMessage(start, promiseRequest(standbyB, 1))); got != nil {
			t.Errorf("got %v", got)
		}
	})
}

func TestUnnamedInstanceTakesOver(t *testing.T) {
	for _, c := range []struct {
		name   string
		listed func(now time.Time, id string) bool
		want   time.Duration // 0: never
	}{
		{"no named instance listed for 30 s", func(_ time.Time, id string) bool { return id == "n" }, 34 * time.Second},
		{"one standby listed", func(_ time.Time, id string) bool { return id == "u" }, 0},
		{"owner listed once after 20 s", func(now time.Time, id string) bool {
			return id == "o" && now.Equal(afterStart(20*time.Second))
		}, 54 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, now := newTestMember(otherB), start
			for now.Before(afterStart(time.Minute)) {
				now = now.Add(50 * time.Millisecond)
				v := View{Candidates: fleet.Candidates, IsListed: func(id string) bool { return c.listed(now, id) }}
				if len(m.Tick(now, v).Calls) > 0 {
					break
				}
			}
			d := now.Sub(start)
			if c.want == 0 && d < time.Minute || c.want > 0 && (d < c.want-time.Second || d > c.want+time.Second) {
				t.Errorf("tried to take over after %v, want %v", d, c.want)
			}
		})
	}
	t.Run("a pause does not count as observation of the list", func(t *testing.T) {
		m := newTestMember(otherB)
		v := View{Candidates: fleet.Candidates, IsListed: func(string) bool { return false }}
		m.Tick(start, v)
		if out := m.Tick(afterStart(time.Minute), v); len(out.Calls) > 0 {
			t.Errorf("got %+v", out.Calls)
		}
	})
}

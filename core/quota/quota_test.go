package quota_test

import (
	"testing"
	"time"

	"burdockseam/core/config"
	"burdockseam/core/quota"
)

var start = time.Unix(1000, 0)

func afterMillis(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// fakeLease is a lease whose state the test sets.
type fakeLease struct {
	valid bool
	epoch uint64
	since time.Time
}

func (f *fakeLease) Valid(time.Time) bool                  { return f.valid }
func (f *fakeLease) OwnedEpoch() (uint64, time.Time, bool) { return f.epoch, f.since, f.epoch > 0 }

func newOwner(rate, burst float64) (*quota.Owner, *fakeLease) {
	l := &fakeLease{valid: true, epoch: 1, since: start.Add(-time.Hour)}
	o := quota.NewOwner("o", "0", l)
	o.Configure(l.since, singleTeam(rate, burst))
	return o, l
}

func singleTeam(rate, burst float64) map[string]config.Team {
	return map[string]config.Team{"t": {Name: "t", Rate: rate, Burst: burst}}
}

func tokenRequest(from string, seq uint64, tokens int, reports ...quota.Report) quota.Request {
	return quota.Request{
		Shard: "0", From: from, To: "o", Epoch: 1, Seq: seq,
		Wants: []quota.Want{{Team: "t", Tokens: tokens, Reports: reports}},
	}
}

// grantedTokens returns the number of tokens granted, or -1 without a reply.
func grantedTokens(o *quota.Owner, now time.Time, r quota.Request) int {
	reply, ok := o.HandleRequest(now, r)
	if !ok {
		return -1
	}
	return reply.Grants[0].Tokens
}

func expect(t *testing.T, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %d, want %d", what, got, want)
	}
}

func TestOwner(t *testing.T) {
	t.Run("outstanding tokens count against the burst", func(t *testing.T) {
		o, _ := newOwner(10, 10)
		expect(t, "first", grantedTokens(o, afterMillis(0), tokenRequest("a", 1, 10)), 10)
		expect(t, "refill while all tokens are out", grantedTokens(o, afterMillis(400), tokenRequest("b", 1, 10)), 0)
		// Reported only now, so refill starts only now.
		expect(t, "right after the report", grantedTokens(o, afterMillis(401), tokenRequest("a", 2, 10, quota.Report{Slice: 1, Spent: 10})), 0)
		expect(t, "half a second later", grantedTokens(o, afterMillis(910), tokenRequest("a", 3, 10)), 5)
	})
	t.Run("tokens reported only now may have been spent just now", func(t *testing.T) {
		o, _ := newOwner(10, 10)
		expect(t, "first", grantedTokens(o, afterMillis(0), tokenRequest("a", 1, 10)), 10)
		expect(t, "no refill for the time before", grantedTokens(o, afterMillis(400), tokenRequest("a", 2, 10, quota.Report{Slice: 1, Spent: 10})), 0)
	})
	t.Run("an expired slice frees its tokens from its expiry on", func(t *testing.T) {
		o, _ := newOwner(10, 10)
		expect(t, "first", grantedTokens(o, afterMillis(0), tokenRequest("a", 1, 10)), 10)
		expect(t, "after expiry at 510 ms", grantedTokens(o, afterMillis(910), tokenRequest("b", 1, 10)), 3)
	})
	t.Run("duplicated and reordered reports are applied once", func(t *testing.T) {
		o, _ := newOwner(1, 10)
		expect(t, "first", grantedTokens(o, afterMillis(0), tokenRequest("a", 1, 10)), 10)
		closing := tokenRequest("a", 3, 0, quota.Report{Slice: 1, Spent: 4, Closed: true})
		expect(t, "returned", grantedTokens(o, afterMillis(1), closing), 0)
		expect(t, "a repeated request is not answered", grantedTokens(o, afterMillis(2), closing), -1)
		expect(t, "an earlier request is not answered", grantedTokens(o, afterMillis(3), tokenRequest("a", 2, 9, quota.Report{Slice: 1, Spent: 2})), -1)
		expect(t, "unspent tokens", grantedTokens(o, afterMillis(4), tokenRequest("b", 1, 10)), 6)
	})
	t.Run("no grant without a valid lease", func(t *testing.T) {
		o, l := newOwner(10, 10)
		l.valid = false
		expect(t, "invalid lease", grantedTokens(o, afterMillis(0), tokenRequest("a", 1, 1)), -1)
		l.valid, l.epoch = true, 0
		expect(t, "not the owner", grantedTokens(o, afterMillis(0), tokenRequest("a", 1, 1)), -1)
	})
	t.Run("no grant to a holder that knows a higher epoch", func(t *testing.T) {
		o, _ := newOwner(10, 10)
		r := tokenRequest("a", 1, 1)
		r.Epoch = 2
		expect(t, "replaced owner", grantedTokens(o, afterMillis(0), r), -1)
	})
	t.Run("a successor waits until all slices have expired and starts with an empty bucket", func(t *testing.T) {
		o, l := newOwner(100, 10)
		expect(t, "before", grantedTokens(o, afterMillis(0), tokenRequest("a", 1, 1)), 1)
		l.epoch, l.since = 2, afterMillis(0)
		expect(t, "before the slices have expired", grantedTokens(o, afterMillis(509), tokenRequest("a", 2, 1)), 0)
		expect(t, "empty bucket", grantedTokens(o, afterMillis(511), tokenRequest("a", 3, 1)), 0)
		expect(t, "refilled", grantedTokens(o, afterMillis(540), tokenRequest("a", 4, 9)), 2)
	})
	t.Run("a lower burst holds once the old slices have expired", func(t *testing.T) {
		o, _ := newOwner(10, 10)
		expect(t, "old burst", grantedTokens(o, afterMillis(0), tokenRequest("a", 1, 8)), 8)
		o.Configure(afterMillis(1), singleTeam(10, 2))
		expect(t, "no more while 8 are out", grantedTokens(o, afterMillis(300), tokenRequest("b", 1, 8)), 0)
		expect(t, "new burst", grantedTokens(o, afterMillis(2000), tokenRequest("b", 2, 8)), 2)
	})
	t.Run("a team that returns does not get its outstanding tokens twice", func(t *testing.T) {
		o, _ := newOwner(10, 10)
		expect(t, "before", grantedTokens(o, afterMillis(0), tokenRequest("a", 1, 10)), 10)
		o.Configure(afterMillis(1), nil)
		expect(t, "removed", grantedTokens(o, afterMillis(2), tokenRequest("a", 2, 1)), 0)
		o.Configure(afterMillis(3), singleTeam(10, 10))
		expect(t, "returned", grantedTokens(o, afterMillis(400), tokenRequest("b", 1, 10)), 0)
	})
	t.Run("scarce tokens are divided in proportion to demand", func(t *testing.T) {
		o, _ := newOwner(10, 8)
		grantedTokens(o, afterMillis(0), tokenRequest("a", 1, 8, quota.Report{}))
		grantedTokens(o, afterMillis(1), tokenRequest("a", 2, 0, quota.Report{Slice: 1, Spent: 8, Closed: true}))
		grantedTokens(o, afterMillis(2), tokenRequest("b", 1, 3))
		expect(t, "a quarter", grantedTokens(o, afterMillis(420), tokenRequest("a", 3, 1)), 1)
	})
}

// holderWithRequest returns a holder that knows the owner and has one caller's request waiting,
// and its request to the owner.
func holderWithRequest(rate, burst float64) (*quota.Holder, quota.Request) {
	h := quota.NewHolder("h", 1)
	h.Configure(start, singleTeam(rate, burst))
	h.SetOwner(start, "0", "o", 5)
	h.TakeToken(start, "t")
	return h, h.Tick(start).Requests[0]
}

func grantReply(r quota.Request, epoch uint64, tokens int) quota.Reply {
	return quota.Reply{
		Shard: "0", From: "o", To: "h", Epoch: epoch, Seq: r.Seq,
		Grants: []quota.Grant{{Team: "t", Tokens: tokens}},
	}
}

func TestHolder(t *testing.T) {
	t.Run("a waiting request takes a token of the next grant", func(t *testing.T) {
		h, r := holderWithRequest(10, 10)
		out := h.HandleReply(afterMillis(2), grantReply(r, 5, 2))
		if len(out.Decisions) != 1 || out.Decisions[0].Outcome != quota.Granted {
			t.Fatalf("got decisions %v, want one granted", out.Decisions)
		}
		if d := h.TakeToken(afterMillis(3), "t"); d.Outcome != quota.Granted {
			t.Errorf("second token: got %v, want granted", d)
		}
		if d := h.TakeToken(afterMillis(4), "t"); d.Outcome != quota.Waiting {
			t.Errorf("a slice of two tokens gave a third: %v", d)
		}
	})
	t.Run("expiry counts from the send time of the request", func(t *testing.T) {
		h, r := holderWithRequest(10, 10)
		h.HandleReply(afterMillis(100), grantReply(r, 5, 5))
		if d := h.TakeToken(afterMillis(495), "t"); d.Outcome == quota.Granted {
			t.Error("a token was spent 495 ms after its slice was requested")
		}
	})
	t.Run("a slice of a lower epoch is ignored", func(t *testing.T) {
		h, r := holderWithRequest(10, 10)
		if out := h.HandleReply(afterMillis(2), grantReply(r, 4, 5)); len(out.Decisions) > 0 {
			t.Errorf("a reply of epoch 4 after epoch 5 gave decisions %v", out.Decisions)
		}
	})
	t.Run("a duplicated reply is spent once", func(t *testing.T) {
		h, r := holderWithRequest(10, 10)
		h.HandleReply(afterMillis(2), grantReply(r, 5, 1))
		h.HandleReply(afterMillis(3), grantReply(r, 5, 1))
		if d := h.TakeToken(afterMillis(4), "t"); d.Outcome == quota.Granted {
			t.Error("one token was spent twice")
		}
	})
	t.Run("an abandoned request is reported and its reply ignored", func(t *testing.T) {
		h, r := holderWithRequest(10, 10)
		repeated := h.Tick(afterMillis(160)).Requests
		if len(repeated) != 1 || len(repeated[0].Wants[0].Reports) != 1 || !repeated[0].Wants[0].Reports[0].Closed {
			t.Fatalf("got %+v, want one request that reports the lost slice as closed", repeated)
		}
		if out := h.HandleReply(afterMillis(170), grantReply(r, 5, 1)); len(out.Decisions) > 0 {
			t.Error("a slice reported as closed was spent")
		}
	})
	t.Run("a request waits for 3 s while the owner changes", func(t *testing.T) {
		// A takeover took 2.2 s on a busy machine, in TestEntryDiesInTransaction.
		h, _ := holderWithRequest(10, 10)
		if out := h.Tick(start.Add(3 * time.Second)); len(out.Decisions) > 0 {
			t.Errorf("got decisions %v after 3 s, want none", out.Decisions)
		}
	})
	t.Run("a request is refused with a retry time after MaxWait", func(t *testing.T) {
		h, _ := holderWithRequest(10, 10)
		out := h.Tick(start.Add(quota.MaxWait))
		if len(out.Decisions) != 1 || out.Decisions[0].Outcome != quota.Refused || out.Decisions[0].Retry <= 0 {
			t.Errorf("got decisions %v, want one refusal with a retry time", out.Decisions)
		}
		if !h.OwnerSilent(start.Add(quota.MaxWait), "0") {
			t.Error("an owner that has not answered for MaxWait is not reported as silent")
		}
	})
	t.Run("a cancelled request takes no token", func(t *testing.T) {
		h, r := holderWithRequest(10, 10)
		if !h.CancelRequest("t", 1) || len(h.HandleReply(afterMillis(2), grantReply(r, 5, 1)).Decisions) > 0 {
			t.Error("the cancelled request was decided")
		}
		if d := h.TakeToken(afterMillis(3), "t"); d.Outcome != quota.Granted {
			t.Errorf("the token of the cancelled request is lost: %v", d)
		}
	})
	t.Run("unused tokens go back when the demand ends", func(t *testing.T) {
		h, r := holderWithRequest(100, 100)
		h.HandleReply(afterMillis(2), grantReply(r, 5, 50))
		out := h.Tick(afterMillis(200))
		if len(out.Requests) != 1 || out.Requests[0].Wants[0].Reports[0] != (quota.Report{Slice: r.Seq, Spent: 1, Closed: true}) {
			t.Errorf("got requests %+v, want one that returns the unspent tokens", out.Requests)
		}
	})
	t.Run("waiting requests of a removed team are refused", func(t *testing.T) {
		h, _ := holderWithRequest(10, 10)
		h.Configure(afterMillis(1), nil)
		if out := h.Tick(afterMillis(2)); len(out.Decisions) != 1 || out.Decisions[0].Outcome != quota.Refused {
			t.Errorf("got decisions %v, want one refusal", out.Decisions)
		}
	})
}

func TestTakeTokenAllocatesNothing(t *testing.T) {
	h, r := holderWithRequest(1e6, 1e6)
	h.HandleReply(afterMillis(2), grantReply(r, 5, 1e6))
	if n := testing.AllocsPerRun(1000, func() {
		if h.TakeToken(afterMillis(3), "t").Outcome != quota.Granted {
			t.Fatal("no token was granted")
		}
	}); n != 0 {
		t.Errorf("TakeToken allocates %v times, want 0", n)
	}
}

func BenchmarkTake(b *testing.B) {
	h, r := holderWithRequest(1e9, 1e9)
	h.HandleReply(afterMillis(2), grantReply(r, 5, 1<<60))
	b.ReportAllocs()
	for b.Loop() {
		h.TakeToken(afterMillis(3), "t")
	}
}

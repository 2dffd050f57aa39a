package quota

import (
	"testing"
	"time"

	"burdockseam/core/config"
)

// askingHolder returns a holder of the team "x" that asks a collector.
func askingHolder(now time.Time) *Holder {
	h := NewHolder("h", 1)
	h.Configure(now, map[string]config.Team{"x": {Name: "x", Rate: 100, Burst: 100}})
	h.SetOwner(now, "0", "c", 1)
	return h
}

// replyTo answers the latest request of a holder.
func replyTo(h *Holder, now time.Time, r Request, g Grant) Output {
	g.Team = "x"
	return h.HandleReply(now, Reply{Shard: r.Shard, From: r.To, To: r.From, Epoch: r.Epoch, Seq: r.Seq, Grants: []Grant{g}})
}

// TestPriorities guards against less urgent requests that are served before more urgent ones, or
// hold up their requests for tokens.
func TestPriorities(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := askingHolder(now)
	late := h.TakeTokenFor(now, "x", 2, time.Second)
	urgent := h.TakeTokenFor(now, "x", 0, time.Second)
	r := h.Tick(now).Requests[0]
	if w := r.Wants[0]; len(w.Classes) != 3 || w.Classes[0] != 1 || w.Classes[2] != 1 {
		t.Fatalf("got wants %+v, want one token of the priorities 0 and 2 each", w)
	}
	out := replyTo(h, now, r, Grant{Tokens: 1, Retry: 100 * time.Millisecond, Barred: 3})
	if len(out.Decisions) != 1 || out.Decisions[0].Ticket != urgent.Ticket {
		t.Fatalf("got decisions %v, want one for ticket %d and none for %d", out.Decisions, urgent.Ticket, late.Ticket)
	}
	if out := h.Tick(now.Add(time.Millisecond)); len(out.Requests) > 0 && out.Requests[0].Wants[0].Tokens > 0 {
		t.Error("tokens of a barred priority were requested before the retry time")
	}
	h.TakeTokenFor(now, "x", 0, time.Second)
	if out := h.Tick(now.Add(2 * time.Millisecond)); len(out.Requests) != 1 || out.Requests[0].Wants[0].Tokens != 1 {
		t.Errorf("got requests %+v, want one for the urgent token", out.Requests)
	}
}

// TestRefusedAtOnce guards against requests that wait although no token will come in time, and
// against retry hints at which all callers come back together.
func TestRefusedAtOnce(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := askingHolder(now)
	h.TakeTokenFor(now, "x", 1, 300*time.Millisecond)
	doomed := h.TakeTokenFor(now, "x", 1, 50*time.Millisecond)
	r := h.Tick(now).Requests[0]
	out := replyTo(h, now, r, Grant{Retry: 200 * time.Millisecond, Barred: 2, Pace: 5})
	if len(out.Decisions) != 1 || out.Decisions[0].Ticket != doomed.Ticket || out.Decisions[0].Outcome != Refused {
		t.Fatalf("got decisions %v, want a refusal of ticket %d", out.Decisions, doomed.Ticket)
	}
	if d := h.TakeTokenFor(now, "x", 0, 50*time.Millisecond); d.Outcome != Waiting {
		t.Errorf("a request of a priority that is not barred: got %v, want waiting", d.Outcome)
	}
	last := out.Decisions[0].Retry
	for k := range 5 {
		d := h.TakeTokenFor(now, "x", 1, 100*time.Millisecond)
		if gap := d.Retry - last; d.Outcome != Refused || gap < 100*time.Millisecond || gap > 500*time.Millisecond {
			t.Errorf("refusal %d: got %v with a retry hint %v after the last, want one of about 200 ms", k, d.Outcome, gap)
		}
		last = d.Retry
	}
	for range 100 {
		if d := h.TakeTokenFor(now, "x", 1, 0); d.Retry > maxRetryHint {
			t.Fatalf("got a retry hint of %v, at most %v allowed", d.Retry, maxRetryHint)
		}
	}
	if d := h.TakeTokenFor(now.Add(250*time.Millisecond), "x", 1, 100*time.Millisecond); d.Outcome != Waiting {
		t.Errorf("after the retry time: got %v, want waiting", d.Outcome)
	}
}

// TestReservedTokens guards against a burst of less urgent requests that takes the tokens which
// more urgent ones need, and against a least urgent class that gets nothing.
func TestReservedTokens(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := NewCollector(now, "c.1", "c")
	c.Configure(now, map[string]config.Team{"x": {Name: "x", Rate: 100, Burst: 100}}, 0)
	seq := uint64(0)
	ask := func(classes ...int) int {
		seq++
		w := Want{Team: "x", Classes: classes}
		for _, n := range classes {
			w.Tokens += n
		}
		reply, ok := c.HandleRequest(now, Request{Shard: "0", From: "h", To: "c", Seq: seq, Wants: []Want{w}})
		if !ok {
			t.Fatal("the request was not handled")
		}
		for _, h := range c.accounts["x"].holds {
			c.accounts["x"].release(h.tokens) // spent at once
		}
		c.accounts["x"].holds = nil
		return reply.Grants[0].Tokens
	}
	clock, served := time.Duration(0), [2]int{}
	for step := range 3000 {
		c.Delegate(now, Delegation{Run: "h", Address: "h", Part: 1, Number: uint64(step + 1), To: "c.1", Clock: clock})
		now, clock = now.Add(10*time.Millisecond), clock+10*time.Millisecond
		c.Step(now)
		if step == 1000 {
			served = [2]int{}
		}
		if step%4 == 0 { // a quarter of the rate is urgent
			served[0] += ask(1)
		}
		served[1] += ask(0, 0, 5)
	}
	if served[0] != 500 || served[1] < 1300 {
		t.Errorf("got %d of 500 urgent tokens and %d others in 20 s, want all and 1,300", served[0], served[1])
	}
	served = [2]int{}
	for step := range 2000 {
		c.Delegate(now, Delegation{Run: "h", Address: "h", Part: 1, Number: uint64(3000 + step + 1), To: "c.1", Clock: clock})
		now, clock = now.Add(10*time.Millisecond), clock+10*time.Millisecond
		c.Step(now)
		served[0] += ask(5)
		served[1] += ask(0, 0, 1)
	}
	if served[1] < 180 {
		t.Errorf("the least urgent class got %d tokens in 20 s beside %d others, want a tenth of 2,000", served[1], served[0])
	}
}

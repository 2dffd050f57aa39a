package quota

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"burdockseam/core/config"
)

// TestInspect guards against a stock from which operators conclude another outcome than the next
// request gets, and against a look at it that changes it.
func TestInspect(t *testing.T) {
	teams := map[string]config.Team{"a": {Name: "a", Rate: 40, Burst: 8}}
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(100, 0)
	r, h, alike := NewReserve(), NewHolder("x", 1), NewHolder("x", 1)
	r.Configure(now, 2, 0, teams)
	for _, holder := range []*Holder{h, alike} {
		holder.Configure(now, teams)
		holder.SetOwner(now, "0", "o", 1)
	}
	seen := make(map[Outcome]int)
	for range 4000 {
		now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
		own, _ := r.Inspect(now, "a")
		if again, _ := r.Inspect(now, "a"); again != own {
			t.Fatalf("reserve %+v, then %+v", own, again)
		}
		if got := r.TakeToken(now, "a"); got != (own.Outcome == Granted) {
			t.Fatalf("token of the reserve: %t, inspected %+v", got, own)
		}
		if r.RequestLoan(now, "a", 1) > 0 {
			r.AddLoan(now, now, "a", random.IntN(3))
		}
		s, _ := h.Inspect(now, "a", 1, 50*time.Millisecond)
		d := h.TakeTokenFor(now, "a", 1, 50*time.Millisecond)
		if want := alike.TakeTokenFor(now, "a", 1, 50*time.Millisecond); d != want {
			t.Fatalf("decision %+v, without a look %+v", d, want)
		}
		if d.Outcome != s.Outcome || d.Retry != s.Retry {
			t.Fatalf("decision %+v, inspected %+v", d, s)
		}
		seen[d.Outcome]++
		barred, pace, tokens := random.IntN(2), float64(random.IntN(60)), random.IntN(12)
		for _, holder := range []*Holder{h, alike} {
			for _, q := range holder.Tick(now).Requests {
				reply := Reply{Shard: q.Shard, From: q.To, To: q.From, Epoch: q.Epoch, Seq: q.Seq}
				for _, w := range q.Wants {
					reply.Grants = append(reply.Grants, Grant{Team: w.Team, Tokens: min(w.Tokens, tokens*(1-barred)), Barred: barred, Pace: pace * float64(barred), Retry: 100 * time.Millisecond})
				}
				holder.HandleReply(now, reply)
			}
		}
	}
	if seen[Granted] == 0 || seen[Waiting] == 0 || seen[Refused] == 0 {
		t.Errorf("not all outcomes occur: %v", seen)
	}
	if !reflect.DeepEqual(h, alike) {
		t.Error("the holder differs from one that nobody looked at")
	}
}

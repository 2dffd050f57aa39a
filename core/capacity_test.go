package core

// The slopes that docs/CAPACITY.md is worked out from. Run all of them with
// go test -run '^$' -bench Capacity ./core

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"burdockseam/core/cluster"
	"burdockseam/core/config"
	"burdockseam/core/failover"
	"burdockseam/core/quota"
	"burdockseam/core/route"
	"burdockseam/core/wal"
)

// manyGroups is a configuration with a number of groups of three upstreams.
func manyGroups(t testing.TB, groups int) []config.File {
	t.Helper()
	all := files(t)
	for part := 0; part < groups; part += filePart {
		var b strings.Builder
		for g := part; g < min(groups, part+filePart); g++ {
			fmt.Fprintf(&b, "[group g%d]\ncredentials = main\n", g)
			for i, d := range []string{"x", "y", "z"} {
				fmt.Fprintf(&b, "[upstream g%d.%d]\ngroup = g%d\naddress = 127.%d.%d.%d:5432\ndomain = %s\nslots = 2\nconnections = 16\nstate = active\n",
					g, i, g, 1+i, g/250, 1+g%250, d)
			}
		}
		all = append(all, config.File{Name: fmt.Sprintf("groups%05d.ini", part), Data: []byte(b.String())})
	}
	return all
}

// filePart is the number of groups in one file, which keeps it below the bound of 1 MB.
const filePart = 1000

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCapacityGroups measures a tick of a node and its memory by the number of
// groups in the configuration, at an instance that observes one third of them.
func BenchmarkCapacityGroups(b *testing.B) {
	for _, groups := range []int{10, 100, 1000, 7100} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			before := heap()
			n := node(b, "1:1", "x", manyGroups(b, groups)...)
			size := float64(heap()-before) / 1e3
			now, messages, calls := start, 0, 0
			b.ResetTimer()
			for b.Loop() {
				now = now.Add(TickInterval)
				e := n.Tick(now)
				messages += len(e.Messages)
				calls += len(e.Groups)
			}
			seconds := now.Sub(start).Seconds()
			b.ReportMetric(float64(messages)/seconds, "messages/s")
			b.ReportMetric(float64(calls)/seconds, "upstream-calls/s")
			b.ReportMetric(size, "heap-KB")
			runtime.KeepAlive(n)
		})
	}
}

// BenchmarkCapacityFleet measures a tick of one of 3,500 instances with 7,100 groups
// in the configuration, and the placement of all roles after a change of the fleet.
func BenchmarkCapacityFleet(b *testing.B) {
	const instances, groups = 3500, 7100
	n := node(b, "1:1", "x", manyGroups(b, groups)...)
	var list []cluster.PlatformInstance
	for i := range instances {
		list = append(list, cluster.PlatformInstance{Address: fmt.Sprintf("%d:1", i+1), Domain: string(rune('x' + i%3))})
	}
	n.Listed(start, list, nil)
	n.Tick(start.Add(TickInterval))
	observed := len(n.active)
	b.Run("tick", func(b *testing.B) {
		now := start
		for b.Loop() {
			now = now.Add(time.Microsecond) // the members stay live
			n.Tick(now)
		}
		b.ReportMetric(float64(observed), "observed-groups")
	})
	b.Run("candidates", func(b *testing.B) {
		for b.Loop() {
			n.findCandidates(start)
		}
	})
	b.Run("place", func(b *testing.B) {
		for b.Loop() {
			n.place()
		}
	})
}

// BenchmarkCapacityView measures the answer about a group, which observers give to
// each other and to entries: its size on the wire and its processing.
func BenchmarkCapacityView(b *testing.B) {
	n := node(b, "1:1", "x", files(b)...)
	var size bytes.Buffer
	encoder := gob.NewEncoder(&size)
	if err := encoder.Encode(seen(0, 5)); err != nil {
		b.Fatal(err)
	}
	first := size.Len()
	if err := encoder.Encode(seen(time.Millisecond, 6)); err != nil {
		b.Fatal(err)
	}
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		n.GroupReply(now, now, "g", seen(0, 5))
	}
	b.ReportMetric(float64(size.Len()-first), "bytes")
}

// BenchmarkCapacityStatement measures the decisions for one statement at an entry:
// the token and the choice of the upstream.
func BenchmarkCapacityStatement(b *testing.B) {
	n := node(b, "9:1", "x", files(b)...)
	n.GroupReply(start, start, "g", seen(0, 5))
	r := route.Request{HasToken: true, Token: wal.Position{Term: 1, Offset: 5}}
	b.ReportAllocs()
	for b.Loop() {
		n.Admit(start, "nobody")
		n.Choose(start, "g", r)
	}
}

// BenchmarkCapacityAck measures a write's acknowledgement at the primary's gateway.
func BenchmarkCapacityAck(b *testing.B) {
	n := node(b, "1:1", "x", files(b)...)
	n.GroupReply(start, start, "g", seen(0, 5))
	status := failover.Status{Role: failover.RoleReplica, Fenced: 1}
	offset := uint64(6)
	b.ReportAllocs()
	for b.Loop() {
		n.Written(start, "g", "u0", wal.Position{Term: 1, Offset: offset})
		status.Position = wal.Position{Term: 1, Offset: offset}
		n.UpstreamResult(start, "g", failover.UpstreamResult{Kind: failover.KindStatus, Upstream: "u1", Begun: start, Status: status})
		offset++
	}
}

// always is a lease that is always held.
type always struct{}

func (always) Valid(time.Time) bool                  { return true }
func (always) OwnedEpoch() (uint64, time.Time, bool) { return 1, start, true }

// BenchmarkCapacityOwner measures a budget owner's answer to a request for ten teams,
// and the size of both on the wire.
func BenchmarkCapacityOwner(b *testing.B) {
	teams := make(map[string]config.Team)
	var wants []quota.Want
	for i := range 10 {
		name := fmt.Sprint("team", i)
		teams[name] = config.Team{Name: name, Rate: 1e6, Burst: 1e6, Weight: 1}
		wants = append(wants, quota.Want{Team: name, Tokens: 20, Reports: []quota.Report{{Slice: 1, Spent: 20, Closed: true}}})
	}
	o := quota.NewOwner("o", "0", always{})
	o.Configure(start, teams)
	now := start.Add(time.Minute)
	var size bytes.Buffer
	encoder := gob.NewEncoder(&size)
	seq, last := uint64(0), 0
	for b.Loop() {
		seq++
		now = now.Add(time.Millisecond)
		request := quota.Request{Shard: "0", From: "h", To: "o", Epoch: 1, Seq: seq, Wants: wants}
		reply, ok := o.HandleRequest(now, request)
		if !ok {
			b.Fatal("the owner did not answer")
		}
		if seq <= 2 {
			last = size.Len()
			if err := encoder.Encode(request); err != nil {
				b.Fatal(err)
			}
			if err := encoder.Encode(reply); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(size.Len()-last), "bytes")
}

package core

// Benchmarks of the costs that docs/CAPACITY.md extrapolates. Run all of them with
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

// configWithGroups returns a configuration with the given number of groups, each of three
// upstreams.
func configWithGroups(t testing.TB, groups int) []config.File {
	t.Helper()
	all := testConfig(t)
	for part := 0; part < groups; part += groupsPerFile {
		var b strings.Builder
		for g := part; g < min(groups, part+groupsPerFile); g++ {
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

// groupsPerFile keeps each file below the limit of 1 MB.
const groupsPerFile = 1000

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCapacityGroups measures the time of a node's tick and the node's memory for
// several numbers of configured groups, at an instance that observes one third of them.
func BenchmarkCapacityGroups(b *testing.B) {
	for _, groups := range []int{10, 100, 1000, 7100} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			before := heapBytes()
			n := newTestNode(b, "1:1", "x", configWithGroups(b, groups)...)
			size := float64(heapBytes()-before) / 1e3
			now, messages, calls := start, 0, 0
			b.ResetTimer()
			for b.Loop() {
				now = now.Add(TickInterval)
				e := n.Tick(now)
				messages += len(e.Messages)
				calls += len(e.GroupCalls)
			}
			seconds := now.Sub(start).Seconds()
			b.ReportMetric(float64(messages)/seconds, "messages/s")
			b.ReportMetric(float64(calls)/seconds, "upstream-calls/s")
			b.ReportMetric(size, "heap-KB")
			runtime.KeepAlive(n)
		})
	}
}

// BenchmarkCapacityFleet measures, at one of 3,500 instances with 7,100 configured
// groups, a tick, the search for lease candidates, and the placement of all roles after
// a change of the fleet.
func BenchmarkCapacityFleet(b *testing.B) {
	const instances, groups = 3500, 7100
	n := newTestNode(b, "1:1", "x", configWithGroups(b, groups)...)
	var list []cluster.PlatformInstance
	for i := range instances {
		list = append(list, cluster.PlatformInstance{Address: fmt.Sprintf("%d:1", i+1), Domain: string(rune('x' + i%3))})
	}
	n.HandlePlatformList(start, list, nil)
	n.Tick(start.Add(TickInterval))
	observed := len(n.activeGroups)
	b.Run("tick", func(b *testing.B) {
		now := start
		for b.Loop() {
			now = now.Add(time.Microsecond) // so short that all members stay live
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
			n.placeRoles()
		}
	})
}

// BenchmarkCapacityView measures the view of a group that observers send to each other
// and to entry instances: its size on the wire and the time to process it.
func BenchmarkCapacityView(b *testing.B) {
	n := newTestNode(b, "1:1", "x", testConfig(b)...)
	var size bytes.Buffer
	encoder := gob.NewEncoder(&size)
	if err := encoder.Encode(observerView(0, 5)); err != nil {
		b.Fatal(err)
	}
	first := size.Len()
	if err := encoder.Encode(observerView(time.Millisecond, 6)); err != nil {
		b.Fatal(err)
	}
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		n.HandleGroupView(now, now, "g", observerView(0, 5))
	}
	b.ReportMetric(float64(size.Len()-first), "bytes")
}

// BenchmarkCapacityStatement measures the decisions on one statement at its entry
// instance: the token and the choice of the upstream.
func BenchmarkCapacityStatement(b *testing.B) {
	n := newTestNode(b, "9:1", "x", testConfig(b)...)
	n.HandleGroupView(start, start, "g", observerView(0, 5))
	r := route.Request{HasToken: true, Token: wal.Position{Term: 1, Offset: 5}}
	b.ReportAllocs()
	for b.Loop() {
		n.Admit(start, "nobody")
		n.ChooseUpstream(start, "g", r)
	}
}

// BenchmarkCapacityAck measures the acknowledgement of a write at the primary's gateway.
func BenchmarkCapacityAck(b *testing.B) {
	n := newTestNode(b, "1:1", "x", testConfig(b)...)
	n.HandleGroupView(start, start, "g", observerView(0, 5))
	status := failover.Status{Role: failover.RoleReplica, Fenced: 1}
	offset := uint64(6)
	b.ReportAllocs()
	for b.Loop() {
		n.AddWrite(start, "g", "u0", wal.Position{Term: 1, Offset: offset})
		status.Position = wal.Position{Term: 1, Offset: offset}
		n.HandleUpstreamResult(start, "g", failover.UpstreamResult{Kind: failover.KindStatus, Upstream: "u1", Begun: start, Status: status})
		offset++
	}
}

// permanentLease is a lease that is always valid.
type permanentLease struct{}

func (permanentLease) Valid(time.Time) bool                  { return true }
func (permanentLease) OwnedEpoch() (uint64, time.Time, bool) { return 1, start, true }

// BenchmarkCapacityOwner measures a shard owner's reply to a request for ten teams, and
// the size of both on the wire.
func BenchmarkCapacityOwner(b *testing.B) {
	teams := make(map[string]config.Team)
	var wants []quota.Want
	for i := range 10 {
		name := fmt.Sprint("team", i)
		teams[name] = config.Team{Name: name, Rate: 1e6, Burst: 1e6, Weight: 1}
		wants = append(wants, quota.Want{Team: name, Tokens: 20, Reports: []quota.Report{{Slice: 1, Spent: 20, Closed: true}}})
	}
	o := quota.NewOwner("o", "0", permanentLease{})
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

package cluster

// This file measures the fleet in simulated time. The tests log the figures and check
// them against the limits of the design; docs/decisions/spread.md and
// docs/decisions/freshness.md hold the figures.

import (
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"burdockseam/core/config"
)

const (
	maxInForceTime    = 15 * time.Second // until a change is in force on all instances
	maxBytesPerSecond = 8 << 10          // sent and received per instance
)

// letterDomains returns n names of failure domains: a, b, c and so on.
func letterDomains(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = string(rune('a' + i))
	}
	return list
}

// editSmallFile applies a change of one small file and returns its revision.
func (f *simFleet) editSmallFile(t testReporter) uint64 {
	return f.edit(t, func(files []config.File) ([]config.File, error) {
		text := fmt.Sprintf("[group extra]\ncredentials = c%d\n", f.head.Revision)
		for i := range files {
			if files[i].Name == "b.ini" {
				files[i].Data = []byte(text)
				return files, nil
			}
		}
		return append(files, config.File{Name: "b.ini", Data: []byte(text)}), nil
	})
}

// TestRevisionInForceTime guards against a change that takes longer than maxInForceTime
// to come into force on all instances, with and without faults.
func TestRevisionInForceTime(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(f *simFleet, change int)
	}{
		{"no faults", func(*simFleet, int) {}},
		{"20% of messages lost", func(f *simFleet, _ int) { f.loss = 0.2 }},
		{"store down for one failure domain", func(f *simFleet, change int) {
			d := f.instances[change%9].domain
			f.storeDown = func(i *simInstance) bool { return i.domain == d }
		}},
		{"an instance crashes before the change and restarts 4 s later", func(f *simFleet, change int) {
			i := f.instances[change%9]
			i.running = false
			f.schedule(4*time.Second, func() { f.start(i) })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(1, 3, "a", "b", "c")
			f.configure(t)
			f.startAll()
			f.run(10 * time.Second)
			var took []time.Duration
			for change := range 50 {
				f.run(time.Duration(5000+f.random.IntN(1000)) * time.Millisecond)
				tc.fault(f, change)
				revision := f.editSmallFile(t)
				took = append(took, f.runUntil(t, maxInForceTime, "in force", func() bool { return f.lowestRevision() == revision }))
			}
			slices.Sort(took)
			t.Logf("9 instances, 3 failure domains, 50 changes: median %s, maximum %s", took[25], took[49])
		})
	}
}

// measureLoad runs a fleet in a steady state. It returns the store calls per second, the
// bytes per second and instance (mean and largest), and the sorted ages of the
// confirmations.
func (f *simFleet) measureLoad(t testReporter, seconds int) (calls, mean, largest float64, ages []time.Duration) {
	f.run(time.Second)
	f.storeCalls = 0
	for _, instance := range f.instances {
		instance.bytes, instance.largestMessage = 0, 0
	}
	for range seconds {
		f.run(time.Second)
		for _, instance := range f.instances {
			ages = append(ages, instance.FreshnessVerdict(f.now).Age)
		}
	}
	for _, instance := range f.instances {
		bytesPerSecond := float64(instance.bytes) / float64(seconds)
		mean += bytesPerSecond / float64(len(f.instances))
		largest = max(largest, bytesPerSecond)
	}
	slices.Sort(ages)
	return float64(f.storeCalls) / float64(seconds), mean, largest, ages
}

// TestLoadBounded guards against traffic per instance and ages of confirmations that
// exceed their limits as the fleet grows. The run with RandomOnly is a baseline and has
// no limits.
func TestLoadBounded(t *testing.T) {
	for _, baseline := range []bool{false, true} {
		var first, last [2]float64
		for _, n := range []int{3, 9, 27, 81} {
			f := newSimFleet(1, n/3, "a", "b", "c")
			f.randomOnly, f.countBytes = baseline, true
			f.configure(t)
			f.startAll()
			f.run(2 * time.Minute)
			calls, mean, largest, ages := f.measureLoad(t, 60)
			t.Logf("random only %v, %d instances: %.1f store calls/s, %.0f B/s per instance (largest %.0f), confirmations: median %s, 99%% %s, oldest %s",
				baseline, n, calls, mean, largest, ages[len(ages)/2], ages[len(ages)*99/100], ages[len(ages)-1])
			if n == 9 {
				first = [2]float64{calls, mean}
			}
			last = [2]float64{calls, mean}
			if !baseline && (largest > maxBytesPerSecond || ages[len(ages)-1] > maxAge) {
				t.Errorf("%d instances: %.0f B/s, oldest confirmation %s", n, largest, ages[len(ages)-1])
			}
		}
		t.Logf("random only %v, slope from 9 to 81 instances: %.4f store calls/s and %.2f B/s per added instance",
			baseline, (last[0]-first[0])/72, (last[1]-first[1])/72)
	}
}

// TestPlacementMovesLittleWork guards against placement that moves more than 1.2 times
// the ideal share of the work when an instance is lost.
func TestPlacementMovesLittleWork(t *testing.T) {
	const work = 20_000
	for _, perDomain := range []int{3, 9, 27} {
		members, c := newMembersAndConfig(perDomain, threeDomainsIn)
		membersAfter, _ := newMembersAndConfig(perDomain, threeDomainsIn, "a1")
		viewBefore, viewAfter := members.View(t0, c, &DomainReturns{}), membersAfter.View(t0, c, &DomainReturns{})
		owners, gateways := 0, 0
		for i := range work {
			name := strconv.Itoa(i)
			before, _ := viewBefore.ShardOwner(name)
			after, _ := viewAfter.ShardOwner(name)
			owners += boolToInt(before != after)
			gateways += boolToInt(viewBefore.Gateways(name, "a", 1)[0] != viewAfter.Gateways(name, "a", 1)[0])
		}
		ideal := 1 / float64(3*perDomain)
		share := float64(owners) / work
		t.Logf("%d instances, one lost: %.4f of the owners moved, ideal %.4f, ratio %.2f; %.4f of its domain's gateways, ideal %.4f",
			3*perDomain, share, ideal, share/ideal, float64(gateways)/work, 1/float64(perDomain))
		if share > 1.2*ideal {
			t.Errorf("%d instances: %.4f moved, ideal %.4f", 3*perDomain, share, ideal)
		}
	}
}

// TestLargeFleet measures the fleet size that is planned for two years ahead, 3,500
// instances in 14 failure domains. It takes minutes and about 10 GB, so it runs only
// with BURDOCKSEAM_LARGE=1, or BURDOCKSEAM_LARGE=random for the RandomOnly baseline.
func TestLargeFleet(t *testing.T) {
	if os.Getenv("BURDOCKSEAM_LARGE") == "" {
		t.Skip("set BURDOCKSEAM_LARGE=1; it takes minutes and about 10 GB")
	}
	f := newSimFleet(1, 250, letterDomains(14)...)
	f.randomOnly = os.Getenv("BURDOCKSEAM_LARGE") == "random"
	f.configure(t)
	f.startAll()
	// Start from the state of a fleet that has run for a time, in which all instances
	// know each other.
	for _, instance := range f.instances {
		for _, other := range f.instances {
			instance.Members().mergeWithoutGossip(f.now, other.Members().Self())
		}
		instance.platformListRead, instance.joining, instance.members.gossip = true, false, nil
	}
	t.Logf("in force on all %d: %s", len(f.instances), f.runUntil(t, time.Minute, "start", func() bool { return f.lowestRevision() == 1 }))
	f.run(10 * time.Second)
	f.countBytes = true
	calls, mean, largest, ages := f.measureLoad(t, 10)
	t.Logf("steady: %.1f store calls/s, %.0f B/s per instance (largest %.0f), confirmations: median %s, 99%% %s, oldest %s",
		calls, mean, largest, ages[len(ages)/2], ages[len(ages)*99/100], ages[len(ages)-1])
	var took []time.Duration
	for range 5 {
		f.run(3 * time.Second)
		revision := f.editSmallFile(t)
		took = append(took, f.runUntil(t, maxInForceTime, "in force", func() bool { return f.lowestRevision() == revision }))
	}
	slices.Sort(took)
	t.Logf("5 changes: median %s, maximum %s", took[2], took[4])
	for _, lost := range [][]*simInstance{f.instances[20:21], f.instances[3:10]} {
		gone := 0
		for _, instance := range lost {
			instance.running = false
		}
		for _, instance := range f.instances {
			gone += boolToInt(!instance.running)
		}
		known := func(list []*simInstance) func() bool {
			return func() bool {
				return !slices.ContainsFunc(list, func(instance *simInstance) bool {
					return instance.running && instance.View().LiveCount("a") != 250-gone
				})
			}
		}
		near := f.runUntil(t, time.Minute, "loss known in the failure domain", known(f.instances[:250]))
		far := f.runUntil(t, time.Minute, "loss known everywhere", known(f.instances))
		t.Logf("%d lost: known in their failure domain after %s, everywhere after %s", len(lost), near, near+far)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.Logf("%.0f KB of heap per instance", float64(m.HeapAlloc)/1024/float64(len(f.instances)))
}

// BenchmarkExchange measures one request with its response at both ends, including gob,
// in a fleet of the given size.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{9, 3500} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newSimFleet(1, n/3, "a", "b", "c")
			f.configure(b)
			f.instances = f.instances[:n/3*3]
			requester, responder := f.instances[0], f.instances[1]
			list := make([]PlatformInstance, len(f.instances))
			for i, o := range f.instances {
				list[i] = PlatformInstance{Address: o.address, Domain: o.domain}
			}
			for _, i := range []*simInstance{requester, responder} {
				i.Agent = New(f.now, Options{Address: i.address, Domain: i.domain}, rand.New(rand.NewPCG(1, 1)))
				i.HandlePlatformList(f.now, list, nil)
				i.joining = false
			}
			var pipe gobPipe
			enc, dec := gob.NewEncoder(&pipe), gob.NewDecoder(&pipe)
			b.ResetTimer()
			for range b.N {
				f.now = f.now.Add(time.Millisecond)
				req, received := requester.newPageRequest(f.now), Request{}
				if err := enc.Encode(&req); err != nil {
					b.Fatal(err)
				}
				if err := dec.Decode(&received); err != nil {
					b.Fatal(err)
				}
				resp, _ := responder.HandleRequest(f.now, received)
				var receivedResp Response
				if err := enc.Encode(&resp); err != nil {
					b.Fatal(err)
				}
				if err := dec.Decode(&receivedResp); err != nil {
					b.Fatal(err)
				}
				requester.HandleResponse(f.now, f.now, responder.address, receivedResp, nil)
			}
			b.ReportMetric(float64(pipe.total)/float64(b.N), "B/exchange")
		})
	}
}

// BenchmarkTick measures a tick of an instance that is not a watcher.
func BenchmarkTick(b *testing.B) {
	f := newSimFleet(1, 250, letterDomains(14)...)
	f.configure(b)
	instance := f.instances[0]
	instance.Agent = New(f.now, Options{Address: instance.address, Domain: instance.domain}, rand.New(rand.NewPCG(1, 1)))
	list := make([]PlatformInstance, len(f.instances))
	for n, o := range f.instances {
		list[n] = PlatformInstance{Address: o.address, Domain: o.domain}
	}
	instance.HandlePlatformList(f.now, list, nil)
	b.ResetTimer()
	for n := range b.N {
		if n%20 == 0 {
			// No peer responds. Without this reset all members would become suspect.
			b.StopTimer()
			instance.Members().ResetSilence(f.now)
			b.StartTimer()
		}
		f.now = f.now.Add(simTickPeriod)
		instance.Tick(f.now)
	}
}

// gobPipe is a buffer that counts the bytes that pass through it.
type gobPipe struct {
	buf   []byte
	total int
}

func (p *gobPipe) Write(b []byte) (int, error) {
	p.buf = append(p.buf, b...)
	p.total += len(b)
	return len(b), nil
}

func (p *gobPipe) Read(b []byte) (int, error) {
	n := copy(b, p.buf)
	p.buf = p.buf[n:]
	return n, nil
}

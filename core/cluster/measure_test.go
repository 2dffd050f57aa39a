package cluster

// Measurements in simulated time. They log tables and check the aims of the design
// page; docs/decisions/spread.md and docs/decisions/freshness.md hold the figures.

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
	aimInForce = 15 * time.Second
	aimBytes   = 8 << 10 // per second and instance
)

func domainNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = string(rune('a' + i))
	}
	return list
}

// change edits one small file.
func (f *fleet) change(t tester) uint64 {
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

// Guards against a change that takes longer than the aim, with faults or without.
func TestInForce(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(f *fleet, n int)
	}{
		{"no faults", func(*fleet, int) {}},
		{"20% of messages lost", func(f *fleet, _ int) { f.loss = 0.2 }},
		{"store out of reach for one failure domain", func(f *fleet, n int) {
			d := f.all[n%9].domain
			f.out = func(i *inst) bool { return i.domain == d }
		}},
		{"an instance killed just before, started later", func(f *fleet, n int) {
			i := f.all[n%9]
			i.up = false
			f.after(4*time.Second, func() { f.start(i) })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(1, 3, "a", "b", "c")
			f.configure(t)
			f.startAll()
			f.run(10 * time.Second)
			var took []time.Duration
			for n := range 50 {
				f.run(time.Duration(5000+f.random.IntN(1000)) * time.Millisecond)
				tc.fault(f, n)
				r := f.change(t)
				took = append(took, f.until(t, aimInForce, "in force", func() bool { return f.lowest() == r }))
			}
			slices.Sort(took)
			t.Logf("9 instances, 3 failure domains, 50 changes: median %s, maximum %s", took[25], took[49])
		})
	}
}

// load runs a fleet in a steady state and returns store calls per second, control
// bytes per second and instance (mean and largest), and the age of confirmations.
func (f *fleet) load(t tester, seconds int) (calls, mean, most float64, ages []time.Duration) {
	f.run(time.Second)
	f.calls = 0
	for _, i := range f.all {
		i.bytes, i.largest = 0, 0
	}
	for range seconds {
		f.run(time.Second)
		for _, i := range f.all {
			ages = append(ages, i.FreshnessVerdict(f.now).Age)
		}
	}
	for _, i := range f.all {
		b := float64(i.bytes) / float64(seconds)
		mean += b / float64(len(f.all))
		most = max(most, b)
	}
	slices.Sort(ages)
	return float64(f.calls) / float64(seconds), mean, most, ages
}

// Guards against load that grows with the fleet.
func TestLoad(t *testing.T) {
	for _, baseline := range []bool{false, true} {
		var first, last [2]float64
		for _, n := range []int{3, 9, 27, 81} {
			f := newFleet(1, n/3, "a", "b", "c")
			f.baseline, f.measure = baseline, true
			f.configure(t)
			f.startAll()
			f.run(2 * time.Minute)
			calls, mean, most, ages := f.load(t, 60)
			t.Logf("random only %v, %d instances: %.1f store calls/s, %.0f B/s per instance (largest %.0f), confirmations: median %s, 99%% %s, oldest %s",
				baseline, n, calls, mean, most, ages[len(ages)/2], ages[len(ages)*99/100], ages[len(ages)-1])
			if n == 9 {
				first = [2]float64{calls, mean}
			}
			last = [2]float64{calls, mean}
			if !baseline && (most > aimBytes || ages[len(ages)-1] > maxAge) {
				t.Errorf("%d instances: %.0f B/s, oldest confirmation %s", n, most, ages[len(ages)-1])
			}
		}
		t.Logf("random only %v, slope from 9 to 81 instances: %.4f store calls/s and %.2f B/s per added instance",
			baseline, (last[0]-first[0])/72, (last[1]-first[1])/72)
	}
}

// Guards against placement that moves more work than it must.
func TestMovedWork(t *testing.T) {
	const work = 20_000
	for _, perDomain := range []int{3, 9, 27} {
		m, c := viewOf(perDomain, threeIn)
		m2, _ := viewOf(perDomain, threeIn, "a1")
		x, y := m.View(t0, c, &DomainReturns{}), m2.View(t0, c, &DomainReturns{})
		owners, gateways := 0, 0
		for i := range work {
			name := strconv.Itoa(i)
			before, _ := x.ShardOwner(name)
			after, _ := y.ShardOwner(name)
			owners += boolToInt(before != after)
			gateways += boolToInt(x.Gateways(name, "a", 1)[0] != y.Gateways(name, "a", 1)[0])
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

// The size planned for two years ahead: 3,500 instances, 14 failure domains. The
// run takes minutes and about 10 GB, so it needs BURDOCKSEAM_LARGE=1.
func TestLargeFleet(t *testing.T) {
	if os.Getenv("BURDOCKSEAM_LARGE") == "" {
		t.Skip("set BURDOCKSEAM_LARGE=1; it takes minutes and about 10 GB")
	}
	f := newFleet(1, 250, domainNames(14)...)
	f.baseline = os.Getenv("BURDOCKSEAM_LARGE") == "random"
	f.configure(t)
	f.startAll()
	// The fleet has run for a time: everybody knows everybody.
	for _, i := range f.all {
		for _, o := range f.all {
			i.Members().mergeWithoutGossip(f.now, o.Members().Self())
		}
		i.platformListRead, i.joining, i.members.gossip = true, false, nil
	}
	t.Logf("in force on all %d: %s", len(f.all), f.until(t, time.Minute, "start", func() bool { return f.lowest() == 1 }))
	f.run(10 * time.Second)
	f.measure = true
	calls, mean, most, ages := f.load(t, 10)
	t.Logf("steady: %.1f store calls/s, %.0f B/s per instance (largest %.0f), confirmations: median %s, 99%% %s, oldest %s",
		calls, mean, most, ages[len(ages)/2], ages[len(ages)*99/100], ages[len(ages)-1])
	var took []time.Duration
	for range 5 {
		f.run(3 * time.Second)
		r := f.change(t)
		took = append(took, f.until(t, aimInForce, "in force", func() bool { return f.lowest() == r }))
	}
	slices.Sort(took)
	t.Logf("5 changes: median %s, maximum %s", took[2], took[4])
	for _, lost := range [][]*inst{f.all[20:21], f.all[3:10]} {
		gone := 0
		for _, i := range lost {
			i.up = false
		}
		for _, i := range f.all {
			gone += boolToInt(!i.up)
		}
		known := func(list []*inst) func() bool {
			return func() bool {
				return !slices.ContainsFunc(list, func(i *inst) bool { return i.up && i.View().LiveCount("a") != 250-gone })
			}
		}
		near := f.until(t, time.Minute, "known near", known(f.all[:250]))
		far := f.until(t, time.Minute, "known everywhere", known(f.all))
		t.Logf("%d lost: known in their failure domain after %s, everywhere after %s", len(lost), near, near+far)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.Logf("%.0f KB of heap per instance", float64(m.HeapAlloc)/1024/float64(len(f.all)))
}

// BenchmarkExchange measures one question with its answer at both ends, gob
// included, in a fleet of the given size.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{9, 3500} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newFleet(1, n/3, "a", "b", "c")
			f.configure(b)
			f.all = f.all[:n/3*3]
			x, y := f.all[0], f.all[1]
			list := make([]PlatformInstance, len(f.all))
			for i, o := range f.all {
				list[i] = PlatformInstance{Address: o.address, Domain: o.domain}
			}
			for _, i := range []*inst{x, y} {
				i.Agent = New(f.now, Options{Address: i.address, Domain: i.domain}, rand.New(rand.NewPCG(1, 1)))
				i.HandlePlatformList(f.now, list, nil)
				i.joining = false
			}
			var pipe gobPipe
			enc, dec := gob.NewEncoder(&pipe), gob.NewDecoder(&pipe)
			b.ResetTimer()
			for range b.N {
				f.now = f.now.Add(time.Millisecond)
				ask, a2 := x.newPageRequest(f.now), Request{}
				if err := enc.Encode(&ask); err != nil {
					b.Fatal(err)
				}
				if err := dec.Decode(&a2); err != nil {
					b.Fatal(err)
				}
				answer, _ := y.HandleRequest(f.now, a2)
				var res Response
				if err := enc.Encode(&answer); err != nil {
					b.Fatal(err)
				}
				if err := dec.Decode(&res); err != nil {
					b.Fatal(err)
				}
				x.HandleResponse(f.now, f.now, y.address, res, nil)
			}
			b.ReportMetric(float64(pipe.total)/float64(b.N), "B/exchange")
		})
	}
}

// BenchmarkTick measures a tick of an instance that is not a watcher.
func BenchmarkTick(b *testing.B) {
	f := newFleet(1, 250, domainNames(14)...)
	f.configure(b)
	i := f.all[0]
	i.Agent = New(f.now, Options{Address: i.address, Domain: i.domain}, rand.New(rand.NewPCG(1, 1)))
	list := make([]PlatformInstance, len(f.all))
	for n, o := range f.all {
		list[n] = PlatformInstance{Address: o.address, Domain: o.domain}
	}
	i.HandlePlatformList(f.now, list, nil)
	b.ResetTimer()
	for n := range b.N {
		if n%20 == 0 {
			// Nobody answers; without this the table would fill with suspects.
			b.StopTimer()
			i.Members().ResetSilence(f.now)
			b.StartTimer()
		}
		f.now = f.now.Add(tickPeriod)
		i.Tick(f.now)
	}
}

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

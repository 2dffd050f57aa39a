package cluster

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"burdockseam/core/config"
)

func ready9(t tester, seed uint64) *fleet {
	t.Helper()
	f := newFleet(seed, 3, "a", "b", "c")
	f.configure(t)
	f.startAll()
	f.until(t, 10*time.Second, "start", func() bool { return f.lowest() == 1 && f.serving() == 9 })
	f.run(5 * time.Second)
	return f
}

func (f *fleet) serving() int {
	n := 0
	for _, i := range f.all {
		if f.serves(i) {
			n++
		}
	}
	return n
}

// steady runs and fails if an instance that should serve ever does not.
func (f *fleet) steady(t tester, d time.Duration, what string, should func(*inst) bool) {
	t.Helper()
	for end := f.now.Add(d); f.now.Before(end); f.run(50 * time.Millisecond) {
		for _, i := range f.all {
			if i.up && should(i) && !f.serves(i) {
				t.Fatalf("%s: %s stopped at %s: %+v", what, i.address, f.now.Format("05.000"), i.FreshnessVerdict(f.now))
			}
		}
	}
}

func every(*inst) bool { return true }

func between(x, y string) func(a, b *inst) bool {
	return func(a, b *inst) bool { return a.domain == x && b.domain == y || a.domain == y && b.domain == x }
}

// Guards against a fleet that stops without need, goes on without right, or does
// not find together again.
func TestFaults(t *testing.T) {
	for name, test := range map[string]func(*testing.T, *fleet){
		"change": func(t *testing.T, f *fleet) {
			f.withdraw(t)
			f.until(t, 3*time.Second, "withdrawal everywhere", func() bool { return f.serving() == 0 && f.lowest() == 2 })
			f.until(t, 20*time.Second, "status", func() bool {
				for _, i := range f.all {
					list := i.DomainStatuses(f.now)
					for _, d := range list {
						if d.Tally != (Tally{3, 3, 2}) {
							return false
						}
					}
					if len(list) != 3 {
						return false
					}
				}
				return true
			})
		},
		"store out for 10 minutes": func(t *testing.T, f *fleet) {
			f.out = func(*inst) bool { return true }
			f.steady(t, 10*time.Minute, "outage", every)
			f.out = func(*inst) bool { return false }
			f.steady(t, 20*time.Second, "after the outage", every)
			f.withdraw(t)
			f.until(t, 3*time.Second, "withdrawal", func() bool { return f.serving() == 0 })
		},
		"store out of reach for one failure domain": func(t *testing.T, f *fleet) {
			f.out = func(i *inst) bool { return i.domain == "a" }
			f.steady(t, time.Minute, "partial outage", every)
			f.withdraw(t)
			f.until(t, 5*time.Second, "withdrawal", func() bool { return f.serving() == 0 })
		},
		"region without the store": func(t *testing.T, f *fleet) {
			f.out = func(i *inst) bool { return i.domain == "c" }
			f.reject = func(a, b *inst) bool { return (a.domain == "c") != (b.domain == "c") }
			f.withdraw(t)
			f.until(t, FreshnessBound, "stop", func() bool { return f.serving() == 0 })
			f.run(5 * time.Minute)
			if f.serving() > 0 || f.all[8].Config().Revision != 1 {
				t.Error("the cut-off region serves")
			}
			f.reject = func(_, _ *inst) bool { return false }
			f.until(t, 15*time.Second, "return", func() bool { return f.lowest() == 2 })
			if f.serving() > 0 {
				t.Error("the withdrawn key works again")
			}
		},
		"store out and a failure domain cut off": func(t *testing.T, f *fleet) {
			f.out = func(*inst) bool { return true }
			f.reject = func(a, b *inst) bool { return (a.domain == "c") != (b.domain == "c") }
			f.until(t, 2*FreshnessBound, "stop", func() bool { return f.serving() == 0 })
			if v := f.all[0].FreshnessVerdict(f.now); v.Reason != ReasonStale || fmt.Sprint(v.Missing) != "[c]" {
				t.Errorf("the verdict is %+v", v)
			}
			f.reject = func(_, _ *inst) bool { return false }
			f.until(t, 15*time.Second, "return", func() bool { return f.serving() == 9 })
		},
		"restart one after another": func(t *testing.T, f *fleet) {
			for _, i := range f.all {
				i.up = false
				f.steady(t, 2*time.Second, "while one is down", func(o *inst) bool { return o != i })
				f.start(i)
				f.until(t, 5*time.Second, "restart", func() bool { return f.serves(i) })
			}
		},
		"restart all at once": func(t *testing.T, f *fleet) {
			f.startAll()
			if f.serving() > 0 || f.lowest() > 0 {
				t.Error("an instance without configuration serves")
			}
			f.until(t, 5*time.Second, "restart", func() bool { return f.serving() == 9 })
		},
		"restart all at once during an outage": func(t *testing.T, f *fleet) {
			f.out = func(*inst) bool { return true }
			f.startAll()
			for range 30 {
				f.run(time.Second)
				for _, i := range f.all {
					if ok, why := i.Ready(); ok || why != "no configuration" {
						t.Fatalf("%s is ready without configuration: %q", i.address, why)
					}
				}
			}
			f.out = func(*inst) bool { return false }
			f.until(t, 10*time.Second, "start after the outage", func() bool { return f.serving() == 9 })
		},
		"start during an outage": func(t *testing.T, f *fleet) {
			f.out = func(*inst) bool { return true }
			f.run(20 * time.Second)
			f.all[4].up = false
			f.run(10 * time.Second)
			f.start(f.all[4])
			f.until(t, 12*time.Second, "start", func() bool { return f.serves(f.all[4]) })
		},
		"paused for a minute": func(t *testing.T, f *fleet) {
			i := f.all[4]
			i.paused = f.now.Add(time.Minute)
			f.run(30 * time.Second)
			f.withdraw(t)
			f.run(29 * time.Second)
			f.until(t, 2*time.Second, "wake", func() bool { return !f.now.Before(i.paused) })
			f.run(time.Second)
			if n := i.View().LiveCount("b"); n != 3 {
				t.Errorf("%d live instances for one that was paused", n)
			}
			for end := f.now.Add(10 * time.Second); f.now.Before(end); f.run(time.Millisecond) {
				if f.serves(i) {
					t.Fatal("the withdrawn key works after the pause")
				}
			}
			for _, o := range f.all {
				for _, r := range o.Members().Records() {
					if r.State != Live {
						t.Errorf("%s takes %s for %s after the pause", o.address, r.Address, r.State)
					}
				}
			}
		},
		"cut between two instances": func(t *testing.T, f *fleet) {
			w := f.all[0].View().Watchers("a")
			f.reject = func(a, b *inst) bool {
				return a.address == w[0] && b.address == w[1] || a.address == w[1] && b.address == w[0]
			}
			for range 60 {
				f.steady(t, time.Second, "cut", every)
				for _, i := range f.all {
					if n := i.View().LiveCount("a"); n != 3 {
						t.Fatalf("%s counts %d live instances behind a cut between two", i.address, n)
					}
				}
			}
		},
		"cut between two instances that few others hear": func(t *testing.T, _ *fleet) {
			f := newFleet(1, 40, "a")
			f.configure(t)
			f.startAll()
			f.run(10 * time.Second)
			nodes := f.all[0].Members().liveNodes("a")
			child, parent := nodes[12].address, nodes[2].address
			f.reject = func(a, b *inst) bool {
				return a.address == child && b.address == parent || a.address == parent && b.address == child
			}
			for range 300 {
				f.run(100 * time.Millisecond)
				for _, i := range f.all {
					if n := i.View().LiveCount("a"); n != 40 {
						t.Fatalf("%s counts %d live instances behind a cut between two", i.address, n)
					}
				}
			}
		},
		"the only instance of a failure domain lost": func(t *testing.T, _ *fleet) {
			f := newFleet(1, 1, "a", "b", "c")
			f.seedless = true
			f.configure(t)
			f.startAll()
			f.run(5 * time.Second)
			f.all[0].up = false
			f.until(t, 6*time.Second, "suspicion", func() bool { return f.all[1].View().LiveCount("a")+f.all[2].View().LiveCount("a") == 0 })
		},
		"failure domain of two instances out": func(t *testing.T, _ *fleet) {
			f := newFleet(1, 2, "a", "b", "c")
			f.configure(t)
			f.startAll()
			f.run(5 * time.Second)
			f.domain(t, "c", config.StateOut)
			f.loss = 0.1
			f.steady(t, 3*time.Minute, "sessions that finish", every)
		},
		"only instances of one failure domain, one isolated": func(t *testing.T, _ *fleet) {
			f := newFleet(1, 3, "a")
			f.seedless = true
			f.configure(t)
			f.startAll()
			f.run(5 * time.Second)
			f.reject = func(a, b *inst) bool { return a == f.all[1] || b == f.all[1] }
			f.run(time.Minute)
			f.reject = func(_, _ *inst) bool { return false }
			f.until(t, 20*time.Second, "return", func() bool {
				return f.all[0].View().LiveCount("a") == 3 && f.all[1].View().LiveCount("a") == 3 && f.all[2].View().LiveCount("a") == 3
			})
		},
		"outages with 14 failure domains": func(t *testing.T, _ *fleet) {
			f := newFleet(1, 3, domainNames(14)...)
			f.configure(t)
			f.startAll()
			f.run(8 * time.Second)
			f.out = func(i *inst) bool { return i.domain != "e" }
			f.steady(t, 30*time.Second, "the store answers one failure domain", every)
			f.out = func(*inst) bool { return true }
			f.steady(t, 10*time.Second, "the store answers nobody", every)
			f.loss = 0.2
			f.steady(t, time.Minute, "the store answers nobody and messages are lost", every)
		},
		"instance lost": func(t *testing.T, f *fleet) {
			f.all[0].up = false
			d := f.until(t, 8*time.Second, "suspicion", func() bool {
				for _, i := range f.all[1:] {
					if i.View().LiveCount("a") != 2 {
						return false
					}
				}
				return true
			})
			if d < suspectAfter-time.Second {
				t.Errorf("suspected after %s", d)
			}
			f.run(80 * time.Second)
			for _, r := range f.all[5].Members().Records() {
				if r.Address == f.all[0].address && r.State != Gone {
					t.Errorf("the lost instance is %s after the platform dropped it", r.State)
				}
			}
		},
		"failure domain lost": func(t *testing.T, _ *fleet) {
			f := newFleet(1, 12, "a", "b", "c")
			f.configure(t)
			f.startAll()
			f.run(8 * time.Second)
			for _, i := range f.all[:12] {
				i.up = false
			}
			f.until(t, 12*time.Second, "gateways elsewhere", func() bool {
				for _, i := range f.all[12:] {
					if g := i.View().Gateways("u", "a", 1); len(g) != 1 || f.byAddr[g[0]].domain == "a" {
						return false
					}
				}
				return true
			})
			f.steady(t, time.Minute, "others", every)
		},
		"failure domain out and in": func(t *testing.T, f *fleet) {
			f.domain(t, "a", config.StateOut)
			f.until(t, 3*time.Second, "out", func() bool {
				for _, i := range f.all {
					if ok, why := i.Ready(); ok == (i.domain == "a") || !ok && why != "the failure domain is out" || len(i.View().Watchers("a")) > 0 {
						return false
					}
				}
				return true
			})
			// Sessions that finish in the failure domain go on meanwhile.
			f.steady(t, 30*time.Second, "out", every)
			f.out = func(*inst) bool { return true }
			f.steady(t, 30*time.Second, "out with the store out", every)
			f.out = func(*inst) bool { return false }
			f.steady(t, 2*time.Second, "after the outage", every)
			f.domain(t, "a", config.StateIn)
			f.steady(t, 15*time.Second, "in", every)
			if n := len(f.all[5].View().Watchers("a")); n != 2 {
				t.Errorf("%d watchers after the return", n)
			}
		},
		"asymmetric cut between failure domains": func(t *testing.T, f *fleet) {
			f.reject = func(a, b *inst) bool { return a.domain == "a" && b.domain == "b" }
			f.steady(t, time.Minute, "cut", every)
			f.reject = between("a", "b")
			f.steady(t, time.Minute, "both ways", every)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				test(t, ready9(t, seed))
			}
		})
	}
}

// Guards against answers that count from their arrival, a suspect that is not
// told, and a configuration that goes back or has a content it should not have.
func TestAnswers(t *testing.T) {
	f := ready9(t, 1)
	i, peer := f.all[0], f.all[8]
	sent := f.now
	f.now = f.now.Add(time.Minute)
	i.HandleResponse(f.now, sent, peer.address, Response{From: peer.Members().Self(), Confirmed: Confirmation{1, time.Second}}, nil)
	i.HandlePollResult(f.now, sent, 1, nil, nil)
	if v := i.FreshnessVerdict(f.now); v.Serve || v.Age < time.Minute {
		t.Errorf("an answer that took a minute counts: %+v", v)
	}
	i.HandleResponse(f.now, sent, peer.address, Response{From: peer.Members().Self(), Update: &Update{From: 8, To: 9}}, nil)
	if i.freshness.newest != 9 {
		t.Error("a list that cannot be used does not show that its revision exists")
	}
	peer.Members().MarkSuspect(f.now, i.address)
	if a, _ := peer.HandleRequest(f.now, Request{From: i.Members().Self()}); len(a.News) == 0 || a.News[0].State != Suspect {
		t.Errorf("the suspect is told %+v", a.News)
	}

	var b fileSet
	data := []byte("[domain a]\nregion = r\n")
	b.setFileList(5, map[string]string{"a.ini": config.Hash(data)})
	if b.addContent(config.Hash(data), []byte("[domain b]")) || !b.addContent(config.Hash(data), data) {
		t.Error("a content is accepted by its claimed hash")
	}
	if b.setFileList(4, nil) || b.applyUpdate(&Update{To: 4}) || b.revision != 5 {
		t.Error("the revision went back")
	}
	large := fileSet{contents: map[string][]byte{}}
	files := map[string]string{}
	for n := range 10 {
		data := bytes.Repeat([]byte{byte(n)}, maxPayloadBytes/2)
		files[fmt.Sprint(n)] = config.Hash(data)
		large.contents[config.Hash(data)] = data
	}
	large.setFileList(1, files)
	if u := large.updateSince(0, nil); len(u.Set) != 10 || len(u.Contents) != 2 {
		t.Errorf("%d contents in one answer, want 2", len(u.Contents))
	}
	// Every state of an asker leads to the newest list, over each kind of update.
	for r := uint64(6); r < 6+2*maxDeltas; r++ {
		list := map[string]string{}
		for n := range r % 5 {
			list[fmt.Sprint(n)] = fmt.Sprint(r * n)
		}
		b.setFileList(r, list)
	}
	for have := range b.revision {
		asker := fileSet{revision: have}
		if d := slices.IndexFunc(b.deltas, func(d delta) bool { return d.from == have }); d >= 0 && have > 5 {
			asker.hashes = map[string]string{}
			for n := range have % 5 {
				asker.hashes[fmt.Sprint(n)] = fmt.Sprint(have * n)
			}
		}
		if u := b.updateSince(have, nil); !asker.applyUpdate(u) || !maps.Equal(asker.hashes, b.hashes) || asker.revision != b.revision {
			t.Fatalf("from revision %d: %+v gives %v, want %v", have, u, asker.hashes, b.hashes)
		}
	}
}

// Guards against messages that grow with the fleet or with the folder.
func TestMessageSize(t *testing.T) {
	var extra []config.File
	for n := range 2000 {
		extra = append(extra, config.File{Name: fmt.Sprintf("g%04d.ini", n), Data: fmt.Appendf(nil, "[group g%d]\ncredentials = c\n", n)})
	}
	extra = append(extra, config.File{Name: "big.ini", Data: []byte(strings.Repeat("#\n", config.MaxFileBytes/2))})
	f := newFleet(1, 3, "a", "b", "c")
	f.measure = true
	f.configure(t, extra...)
	f.startAll()
	f.until(t, time.Minute, "start with thousands of files", func() bool { return f.lowest() == 1 })
	t.Logf("%d files in force everywhere after %s, %d store calls", len(extra)+1, f.now.Sub(t0), f.calls)
	f.run(10 * time.Second)
	for _, i := range f.all {
		i.bytes, i.largest = 0, 0
		for n := range 3500 {
			i.Members().Merge(f.now, Record{fmt.Sprintf("10.9.%d.%d:6433", n/250, n%250), fmt.Sprintf("x%d", n%11), Incarnation{f.now.UnixNano(), f.random.Uint32()}, 0, Suspect})
			i.freshness.AddOutageReport(fmt.Sprint(n), "x", f.now)
		}
	}
	f.withdraw(t)
	f.until(t, 5*time.Second, "change", func() bool { return f.lowest() == 2 })
	for _, i := range f.all {
		if i.largest > 16<<10 {
			t.Errorf("%s sent a message of %d bytes", i.address, i.largest)
		}
	}
	t.Logf("largest message of %s: %d bytes", f.all[0].address, f.all[0].largest)
}

// The seed of rapid is fixed so that every run checks the same schedules; the
// flags -rapid.seed and -rapid.checks choose others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

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

// newServingFleet returns a running fleet of 9 instances in 3 failure domains, all of
// which serve.
func newServingFleet(t testReporter, seed uint64) *simFleet {
	t.Helper()
	f := newSimFleet(seed, 3, "a", "b", "c")
	f.configure(t)
	f.startAll()
	f.runUntil(t, 10*time.Second, "start", func() bool { return f.lowestRevision() == 1 && f.servingCount() == 9 })
	f.run(5 * time.Second)
	return f
}

func (f *simFleet) servingCount() int {
	n := 0
	for _, instance := range f.instances {
		if f.serves(instance) {
			n++
		}
	}
	return n
}

// requireServing advances the simulated time and fails the test if a running instance
// that must serve does not.
func (f *simFleet) requireServing(t testReporter, duration time.Duration, what string, mustServe func(*simInstance) bool) {
	t.Helper()
	for end := f.now.Add(duration); f.now.Before(end); f.run(50 * time.Millisecond) {
		for _, instance := range f.instances {
			if instance.running && mustServe(instance) && !f.serves(instance) {
				t.Fatalf("%s: %s does not serve at %s: %+v", what, instance.address, f.now.Format("05.000"), instance.FreshnessVerdict(f.now))
			}
		}
	}
}

func allInstances(*simInstance) bool { return true }

// cutBetween returns a cut between two failure domains in both directions.
func cutBetween(x, y string) func(a, b *simInstance) bool {
	return func(a, b *simInstance) bool { return a.domain == x && b.domain == y || a.domain == y && b.domain == x }
}

// TestFleetUnderFaults guards against a fleet that stops serving although its
// configuration is fresh, goes on serving with one that may be stale, or does not
// converge after a fault.
func TestFleetUnderFaults(t *testing.T) {
	for name, test := range map[string]func(*testing.T, *simFleet){
		"withdrawal reaches all instances and statuses": func(t *testing.T, f *simFleet) {
			f.withdrawKey(t)
			f.runUntil(t, 3*time.Second, "withdrawal everywhere", func() bool { return f.servingCount() == 0 && f.lowestRevision() == 2 })
			f.runUntil(t, 20*time.Second, "status", func() bool {
				for _, instance := range f.instances {
					list := instance.DomainStatuses(f.now)
					for _, status := range list {
						if status.Tally != (Tally{3, 3, 2}) {
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
		"store down for 10 minutes": func(t *testing.T, f *simFleet) {
			f.storeDown = func(*simInstance) bool { return true }
			f.requireServing(t, 10*time.Minute, "outage", allInstances)
			f.storeDown = func(*simInstance) bool { return false }
			f.requireServing(t, 20*time.Second, "after the outage", allInstances)
			f.withdrawKey(t)
			f.runUntil(t, 3*time.Second, "withdrawal", func() bool { return f.servingCount() == 0 })
		},
		"store down for one failure domain": func(t *testing.T, f *simFleet) {
			f.storeDown = func(instance *simInstance) bool { return instance.domain == "a" }
			f.requireServing(t, time.Minute, "partial outage", allInstances)
			f.withdrawKey(t)
			f.runUntil(t, 5*time.Second, "withdrawal", func() bool { return f.servingCount() == 0 })
		},
		"failure domain cut off from the store and from its peers": func(t *testing.T, f *simFleet) {
			f.storeDown = func(instance *simInstance) bool { return instance.domain == "c" }
			f.cut = func(a, b *simInstance) bool { return (a.domain == "c") != (b.domain == "c") }
			f.withdrawKey(t)
			f.runUntil(t, FreshnessBound, "stop", func() bool { return f.servingCount() == 0 })
			f.run(5 * time.Minute)
			if f.servingCount() > 0 || f.instances[8].Config().Revision != 1 {
				t.Error("the failure domain that is cut off serves or has the new revision")
			}
			f.cut = func(_, _ *simInstance) bool { return false }
			f.runUntil(t, 15*time.Second, "return", func() bool { return f.lowestRevision() == 2 })
			if f.servingCount() > 0 {
				t.Error("an instance accepts the withdrawn key after the cut")
			}
		},
		"store down and a failure domain cut off": func(t *testing.T, f *simFleet) {
			f.storeDown = func(*simInstance) bool { return true }
			f.cut = func(a, b *simInstance) bool { return (a.domain == "c") != (b.domain == "c") }
			f.runUntil(t, 2*FreshnessBound, "stop", func() bool { return f.servingCount() == 0 })
			if verdict := f.instances[0].FreshnessVerdict(f.now); verdict.Reason != ReasonStale || fmt.Sprint(verdict.Missing) != "[c]" {
				t.Errorf("the verdict is %+v, want stale with c missing", verdict)
			}
			f.cut = func(_, _ *simInstance) bool { return false }
			f.runUntil(t, 15*time.Second, "return", func() bool { return f.servingCount() == 9 })
		},
		"rolling restart": func(t *testing.T, f *simFleet) {
			for _, instance := range f.instances {
				instance.running = false
				f.requireServing(t, 2*time.Second, "while one instance is down", func(other *simInstance) bool { return other != instance })
				f.start(instance)
				f.runUntil(t, 5*time.Second, "restart", func() bool { return f.serves(instance) })
			}
		},
		"restart all at once": func(t *testing.T, f *simFleet) {
			f.startAll()
			if f.servingCount() > 0 || f.lowestRevision() > 0 {
				t.Error("an instance serves or has a revision right after its start")
			}
			f.runUntil(t, 5*time.Second, "restart", func() bool { return f.servingCount() == 9 })
		},
		"restart all at once during an outage": func(t *testing.T, f *simFleet) {
			f.storeDown = func(*simInstance) bool { return true }
			f.startAll()
			for range 30 {
				f.run(time.Second)
				for _, instance := range f.instances {
					if ok, why := instance.Ready(); ok || why != "no configuration" {
						t.Fatalf("without a configuration %s has the reason %q, want not ready with reason no configuration", instance.address, why)
					}
				}
			}
			f.storeDown = func(*simInstance) bool { return false }
			f.runUntil(t, 10*time.Second, "start after the outage", func() bool { return f.servingCount() == 9 })
		},
		"start during an outage": func(t *testing.T, f *simFleet) {
			f.storeDown = func(*simInstance) bool { return true }
			f.run(20 * time.Second)
			f.instances[4].running = false
			f.run(10 * time.Second)
			f.start(f.instances[4])
			f.runUntil(t, 12*time.Second, "start", func() bool { return f.serves(f.instances[4]) })
		},
		"instance paused for a minute": func(t *testing.T, f *simFleet) {
			instance := f.instances[4]
			instance.pausedUntil = f.now.Add(time.Minute)
			f.run(30 * time.Second)
			f.withdrawKey(t)
			f.run(29 * time.Second)
			f.runUntil(t, 2*time.Second, "end of the pause", func() bool { return !f.now.Before(instance.pausedUntil) })
			f.run(time.Second)
			if count := instance.View().LiveCount("b"); count != 3 {
				t.Errorf("an instance that was paused has %d live instances in its failure domain, want 3", count)
			}
			for end := f.now.Add(10 * time.Second); f.now.Before(end); f.run(time.Millisecond) {
				if f.serves(instance) {
					t.Fatal("the instance accepts the withdrawn key after its pause")
				}
			}
			for _, other := range f.instances {
				for _, record := range other.Members().Records() {
					if record.State != Live {
						t.Errorf("%s has %s in state %s after the pause, want live", other.address, record.Address, record.State)
					}
				}
			}
		},
		"cut between two instances": func(t *testing.T, f *simFleet) {
			watchers := f.instances[0].View().Watchers("a")
			f.cut = func(a, b *simInstance) bool {
				return a.address == watchers[0] && b.address == watchers[1] || a.address == watchers[1] && b.address == watchers[0]
			}
			for range 60 {
				f.requireServing(t, time.Second, "cut", allInstances)
				for _, instance := range f.instances {
					if count := instance.View().LiveCount("a"); count != 3 {
						t.Fatalf("%s has %d live instances in the failure domain during a cut between two, want all", instance.address, count)
					}
				}
			}
		},
		// In a large failure domain few peers have heard a given member recently, so the
		// peers that are asked to probe the child or the parent must send it a request
		// themselves.
		"cut between a parent and a child in the relay tree": func(t *testing.T, _ *simFleet) {
			f := newSimFleet(1, 40, "a")
			f.configure(t)
			f.startAll()
			f.run(10 * time.Second)
			nodes := f.instances[0].Members().liveNodes("a")
			child, parent := nodes[12].address, nodes[2].address
			f.cut = func(a, b *simInstance) bool {
				return a.address == child && b.address == parent || a.address == parent && b.address == child
			}
			for range 300 {
				f.run(100 * time.Millisecond)
				for _, instance := range f.instances {
					if count := instance.View().LiveCount("a"); count != 40 {
						t.Fatalf("%s has %d live instances in the failure domain during a cut between two, want all", instance.address, count)
					}
				}
			}
		},
		"the only instance of a failure domain lost": func(t *testing.T, _ *simFleet) {
			f := newSimFleet(1, 1, "a", "b", "c")
			f.noSeeds = true
			f.configure(t)
			f.startAll()
			f.run(5 * time.Second)
			f.instances[0].running = false
			f.runUntil(t, 6*time.Second, "suspicion", func() bool { return f.instances[1].View().LiveCount("a")+f.instances[2].View().LiveCount("a") == 0 })
		},
		"failure domain of two instances out with lost messages": func(t *testing.T, _ *simFleet) {
			f := newSimFleet(1, 2, "a", "b", "c")
			f.configure(t)
			f.startAll()
			f.run(5 * time.Second)
			f.setDomainState(t, "c", config.StateOut)
			f.loss = 0.1
			f.requireServing(t, 3*time.Minute, "failure domain out", allInstances)
		},
		"isolated instance returns to a single failure domain without seeds": func(t *testing.T, _ *simFleet) {
			f := newSimFleet(1, 3, "a")
			f.noSeeds = true
			f.configure(t)
			f.startAll()
			f.run(5 * time.Second)
			f.cut = func(a, b *simInstance) bool { return a == f.instances[1] || b == f.instances[1] }
			f.run(time.Minute)
			f.cut = func(_, _ *simInstance) bool { return false }
			f.runUntil(t, 20*time.Second, "return", func() bool {
				return f.instances[0].View().LiveCount("a") == 3 && f.instances[1].View().LiveCount("a") == 3 && f.instances[2].View().LiveCount("a") == 3
			})
		},
		"store outages with 14 failure domains": func(t *testing.T, _ *simFleet) {
			f := newSimFleet(1, 3, letterDomains(14)...)
			f.configure(t)
			f.startAll()
			f.run(8 * time.Second)
			f.storeDown = func(instance *simInstance) bool { return instance.domain != "e" }
			f.requireServing(t, 30*time.Second, "store up for one failure domain", allInstances)
			f.storeDown = func(*simInstance) bool { return true }
			f.requireServing(t, 10*time.Second, "store down for all", allInstances)
			f.loss = 0.2
			f.requireServing(t, time.Minute, "store down for all, messages lost", allInstances)
		},
		"instance lost": func(t *testing.T, f *simFleet) {
			f.instances[0].running = false
			elapsed := f.runUntil(t, 8*time.Second, "suspicion", func() bool {
				for _, instance := range f.instances[1:] {
					if instance.View().LiveCount("a") != 2 {
						return false
					}
				}
				return true
			})
			if elapsed < suspectAfter-time.Second {
				t.Errorf("suspected after %s, want at least suspectAfter less 1 s", elapsed)
			}
			f.run(80 * time.Second)
			for _, record := range f.instances[5].Members().Records() {
				if record.Address == f.instances[0].address && record.State != Gone {
					t.Errorf("the lost instance is %s 80 s after the platform dropped it, want gone", record.State)
				}
			}
		},
		"failure domain lost": func(t *testing.T, _ *simFleet) {
			f := newSimFleet(1, 12, "a", "b", "c")
			f.configure(t)
			f.startAll()
			f.run(8 * time.Second)
			for _, instance := range f.instances[:12] {
				instance.running = false
			}
			f.runUntil(t, 12*time.Second, "gateways in other failure domains", func() bool {
				for _, instance := range f.instances[12:] {
					if gateways := instance.View().Gateways("u", "a", 1); len(gateways) != 1 || f.byAddress[gateways[0]].domain == "a" {
						return false
					}
				}
				return true
			})
			f.requireServing(t, time.Minute, "remaining failure domains", allInstances)
		},
		"failure domain out and in": func(t *testing.T, f *simFleet) {
			f.setDomainState(t, "a", config.StateOut)
			f.runUntil(t, 3*time.Second, "out", func() bool {
				for _, instance := range f.instances {
					if ok, why := instance.Ready(); ok == (instance.domain == "a") || !ok && why != "the failure domain is out" || len(instance.View().Watchers("a")) > 0 {
						return false
					}
				}
				return true
			})
			// The instances of the failure domain still serve, so that sessions can finish.
			f.requireServing(t, 30*time.Second, "out", allInstances)
			f.storeDown = func(*simInstance) bool { return true }
			f.requireServing(t, 30*time.Second, "out with the store down", allInstances)
			f.storeDown = func(*simInstance) bool { return false }
			f.requireServing(t, 2*time.Second, "after the outage", allInstances)
			f.setDomainState(t, "a", config.StateIn)
			f.requireServing(t, 15*time.Second, "in", allInstances)
			if count := len(f.instances[5].View().Watchers("a")); count != 2 {
				t.Errorf("the returned failure domain has %d watchers, want 2", count)
			}
		},
		"asymmetric cut between failure domains": func(t *testing.T, f *simFleet) {
			f.cut = func(a, b *simInstance) bool { return a.domain == "a" && b.domain == "b" }
			f.requireServing(t, time.Minute, "cut", allInstances)
			f.cut = cutBetween("a", "b")
			f.requireServing(t, time.Minute, "cut in both directions", allInstances)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				test(t, newServingFleet(t, seed))
			}
		})
	}
}

// TestResponsesAndUpdates guards against responses whose ages count from their arrival
// instead of the sending of the request, against a suspect that does not learn of its
// suspicion, and against a file set that goes back to an older revision or accepts
// contents with a wrong hash.
func TestResponsesAndUpdates(t *testing.T) {
	f := newServingFleet(t, 1)
	instance, peer := f.instances[0], f.instances[8]
	sent := f.now
	f.now = f.now.Add(time.Minute)
	instance.HandleResponse(f.now, sent, peer.address, Response{From: peer.Members().Self(), Confirmed: Confirmation{1, time.Second}}, nil)
	instance.HandlePollResult(f.now, sent, 1, nil, nil)
	if verdict := instance.FreshnessVerdict(f.now); verdict.Serve || verdict.Age < time.Minute {
		t.Errorf("a response that took a minute confirms the revision: %+v", verdict)
	}
	instance.HandleResponse(f.now, sent, peer.address, Response{From: peer.Members().Self(), Update: &Update{From: 8, To: 9}}, nil)
	if instance.freshness.newest != 9 {
		t.Error("an update whose base revision is missing does not show that its revision exists")
	}
	peer.Members().MarkSuspect(f.now, instance.address)
	if resp, _ := peer.HandleRequest(f.now, Request{From: instance.Members().Self()}); len(resp.News) == 0 || resp.News[0].State != Suspect {
		t.Errorf("the response to a suspect has the gossip %+v, want its suspicion first", resp.News)
	}

	var set fileSet
	data := []byte("[domain a]\nregion = r\n")
	set.setFileList(5, map[string]string{"a.ini": config.Hash(data)})
	if set.addContent(config.Hash(data), []byte("[domain b]")) || !set.addContent(config.Hash(data), data) {
		t.Error("contents with a wrong hash are accepted, or contents with the right hash are not")
	}
	if set.setFileList(4, nil) || set.applyUpdate(&Update{To: 4}) || set.revision != 5 {
		t.Error("the revision decreased")
	}
	large := fileSet{contents: map[string][]byte{}}
	files := map[string]string{}
	for n := range 10 {
		data := bytes.Repeat([]byte{byte(n)}, maxPayloadBytes/2)
		files[fmt.Sprint(n)] = config.Hash(data)
		large.contents[config.Hash(data)] = data
	}
	large.setFileList(1, files)
	if update := large.updateSince(0, nil); len(update.Set) != 10 || len(update.Contents) != 2 {
		t.Errorf("%d contents in one response, want 2, with all 10 files in the list", len(update.Contents))
	}
	// A requester with any revision gets the newest list, by a full list or by deltas.
	for r := uint64(6); r < 6+2*maxDeltas; r++ {
		list := map[string]string{}
		for n := range r % 5 {
			list[fmt.Sprint(n)] = fmt.Sprint(r * n)
		}
		set.setFileList(r, list)
	}
	for have := range set.revision {
		requester := fileSet{revision: have}
		if d := slices.IndexFunc(set.deltas, func(d delta) bool { return d.from == have }); d >= 0 && have > 5 {
			requester.hashes = map[string]string{}
			for n := range have % 5 {
				requester.hashes[fmt.Sprint(n)] = fmt.Sprint(have * n)
			}
		}
		if update := set.updateSince(have, nil); !requester.applyUpdate(update) || !maps.Equal(requester.hashes, set.hashes) || requester.revision != set.revision {
			t.Fatalf("from revision %d the update %+v gives the list %v, want %v", have, update, requester.hashes, set.hashes)
		}
	}
}

// TestMessageSizeBounded guards against messages that grow with the number of instances,
// watchers or files.
func TestMessageSizeBounded(t *testing.T) {
	var extra []config.File
	for n := range 2000 {
		extra = append(extra, config.File{Name: fmt.Sprintf("g%04d.ini", n), Data: fmt.Appendf(nil, "[group g%d]\ncredentials = c\n", n)})
	}
	extra = append(extra, config.File{Name: "big.ini", Data: []byte(strings.Repeat("#\n", config.MaxFileBytes/2))})
	f := newSimFleet(1, 3, "a", "b", "c")
	f.countBytes = true
	f.configure(t, extra...)
	f.startAll()
	f.runUntil(t, time.Minute, "start with thousands of files", func() bool { return f.lowestRevision() == 1 })
	t.Logf("%d files in force everywhere after %s, %d store calls", len(extra)+1, f.now.Sub(t0), f.storeCalls)
	f.run(10 * time.Second)
	for _, instance := range f.instances {
		instance.bytes, instance.largestMessage = 0, 0
		for n := range 3500 {
			instance.Members().Merge(f.now, Record{fmt.Sprintf("10.9.%d.%d:6433", n/250, n%250), fmt.Sprintf("x%d", n%11), Incarnation{f.now.UnixNano(), f.random.Uint32()}, 0, Suspect})
			instance.freshness.AddOutageReport(fmt.Sprint(n), "x", f.now)
		}
	}
	f.withdrawKey(t)
	f.runUntil(t, 5*time.Second, "change", func() bool { return f.lowestRevision() == 2 })
	for _, instance := range f.instances {
		if instance.largestMessage > 16<<10 {
			t.Errorf("%s sent a message of %d bytes, want at most 16 KiB", instance.address, instance.largestMessage)
		}
	}
	t.Logf("largest message of %s: %d bytes", f.instances[0].address, f.instances[0].largestMessage)
}

// TestMain fixes the seed of rapid, so that every run checks the same fault schedules.
// The flags -rapid.seed and -rapid.checks choose others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

package cluster

// This file holds simFleet, which runs real Agents over a simulated network, store and
// platform in simulated time.

import (
	"container/heap"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"strings"
	"time"

	"burdockseam/core/config"
)

const (
	simTickPeriod = 50 * time.Millisecond
	simRPCTimeout = time.Second
)

// testReporter holds the methods that *testing.T, *testing.B and *rapid.T share.
type testReporter interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

var errNoResponse = errors.New("no response")

// simEvent is a function that runs at a simulated time. seq orders the events of the
// same time.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events, earliest first.
type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simInstance is an instance of the simulated fleet.
type simInstance struct {
	*Agent
	address, domain string
	running         bool
	runs            int // number of starts, by which events of an earlier run are dropped
	pausedUntil     time.Time
	installedAt     map[uint64]time.Time
	bytes           int // bytes sent and received
	largestMessage  int // bytes of the largest message sent
	rejected        int // number of rejected revisions
	encoder         *gob.Encoder
	counter         *byteCounter
}

// byteCounter counts the bytes that are written to it.
type byteCounter struct{ n int }

func (c *byteCounter) Write(p []byte) (int, error) { c.n += len(p); return len(p), nil }

// waitingPoll is a Poll that waits for a newer head.
type waitingPoll struct {
	instance *simInstance
	since    uint64
	finish   func(*config.Head, error)
}

// simFleet simulates a fleet with its network, store and platform.
type simFleet struct {
	now           time.Time
	random        *rand.Rand
	queue         eventQueue
	seq           int
	instances     []*simInstance
	byAddress     map[string]*simInstance
	storeValues   map[string][]byte
	storeVersions map[string]uint64
	head          config.Head
	waitingPolls  []*waitingPoll
	storeCalls    int
	statusWrites  int
	countBytes    bool                             // count the bytes of messages
	randomOnly    bool                             // Options.RandomOnly of all instances
	noSeeds       bool                             // instances start without seeds
	loss          float64                          // share of messages that are lost
	cut           func(from, to *simInstance) bool // messages in this direction are lost
	storeDown     func(i *simInstance) bool        // the store is unreachable for the instance
	platformList  func() []PlatformInstance
}

// newSimFleet returns a fleet with perDomain instances per failure domain, none of
// which is running.
func newSimFleet(seed uint64, perDomain int, domains ...string) *simFleet {
	f := &simFleet{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), byAddress: map[string]*simInstance{},
		storeValues: map[string][]byte{}, storeVersions: map[string]uint64{},
		cut: func(_, _ *simInstance) bool { return false }, storeDown: func(*simInstance) bool { return false },
	}
	f.platformList = func() []PlatformInstance {
		var list []PlatformInstance
		for _, instance := range f.instances {
			if instance.running {
				list = append(list, PlatformInstance{Address: instance.address, Domain: instance.domain})
			}
		}
		return list
	}
	for index, domain := range domains {
		for n := range perDomain {
			instance := &simInstance{address: fmt.Sprintf("10.%d.%d.%d:6433", index, n/250, n%250), domain: domain, counter: &byteCounter{}}
			instance.encoder = gob.NewEncoder(instance.counter)
			f.instances = append(f.instances, instance)
			f.byAddress[instance.address] = instance
		}
	}
	return f
}

// schedule runs a function after a delay.
func (f *simFleet) schedule(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, simEvent{f.now.Add(d), f.seq, run})
}

// scheduleOn runs a function on an instance after a delay and performs the effects that
// it returns. It waits for the end of a pause of the instance, and drops the function if
// the instance's current run has ended.
func (f *simFleet) scheduleOn(instance *simInstance, d time.Duration, run func() []Effect) {
	runs := instance.runs
	var attempt func()
	attempt = func() {
		switch {
		case !instance.running || instance.runs != runs:
		case f.now.Before(instance.pausedUntil):
			f.schedule(instance.pausedUntil.Sub(f.now), attempt)
		default:
			f.perform(instance, run())
		}
	}
	f.schedule(d, attempt)
}

// start starts an instance, or restarts it.
func (f *simFleet) start(instance *simInstance) {
	instance.running, instance.runs, instance.installedAt = true, instance.runs+1, map[uint64]time.Time{}
	seeds := []string{f.instances[0].address, f.instances[len(f.instances)-1].address}
	if f.noSeeds {
		seeds = nil
	}
	instance.Agent = New(f.now, Options{
		Address: instance.address, Domain: instance.domain, Incarnation: Incarnation{f.now.UnixNano(), f.random.Uint32()},
		Seeds: seeds, RandomOnly: f.randomOnly,
	}, rand.New(rand.NewPCG(f.random.Uint64(), 2)))
	var tick func() []Effect
	tick = func() []Effect {
		f.scheduleOn(instance, simTickPeriod, tick)
		ready, _ := instance.Ready()
		instance.SetReady(ready)
		return instance.Tick(f.now)
	}
	f.scheduleOn(instance, time.Duration(f.random.Int64N(int64(simTickPeriod))), tick)
}

func (f *simFleet) startAll() {
	for _, instance := range f.instances {
		f.start(instance)
	}
}

// run advances the simulated time by a duration.
func (f *simFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// latency returns the time that a message takes between two instances.
func (f *simFleet) latency(from, to *simInstance) time.Duration {
	if from.domain == to.domain {
		return 200 * time.Microsecond
	}
	return time.Millisecond + time.Duration(f.random.Int64N(int64(time.Millisecond)))
}

// countMessage counts the bytes of a message with its net/rpc header.
func (f *simFleet) countMessage(from, to *simInstance, head, body any) {
	if !f.countBytes {
		return
	}
	before := from.counter.n
	if err := errors.Join(from.encoder.Encode(head), from.encoder.Encode(body)); err != nil {
		panic(err)
	}
	n := from.counter.n - before
	from.bytes += n
	to.bytes += n
	from.largestMessage = max(from.largestMessage, n)
}

// perform performs the effects that an instance returned.
func (f *simFleet) perform(instance *simInstance, list []Effect) {
	for _, effect := range list {
		switch effect := effect.(type) {
		case Send:
			f.send(instance, effect)
		case Poll:
			f.poll(instance, effect)
		case Fetch:
			f.storeCalls++
			f.scheduleOn(instance, 2*time.Millisecond, func() []Effect {
				data, ok := f.storeValues[config.FilePrefix+effect.Hash]
				if f.storeDown(instance) || !ok {
					return instance.HandleFetchResult(f.now, effect.Hash, nil, errNoResponse)
				}
				return instance.HandleFetchResult(f.now, effect.Hash, data, nil)
			})
		case ReadPlatformList:
			f.storeCalls++
			if !f.storeDown(instance) {
				f.scheduleOn(instance, 2*time.Millisecond, func() []Effect { instance.HandlePlatformList(f.now, f.platformList(), nil); return nil })
			}
		case WriteStatus:
			f.storeCalls++
			f.statusWrites++
		case Install:
			instance.installedAt[effect.Config.Revision] = f.now
		case Reject:
			instance.rejected++
		}
	}
}

// send delivers a request and its response, or a failure.
func (f *simFleet) send(from *simInstance, send Send) {
	sent, to := f.now, f.byAddress[send.To]
	fail := func(d time.Duration) {
		f.scheduleOn(from, d, func() []Effect { return from.HandleResponse(f.now, sent, send.To, Response{}, errNoResponse) })
	}
	if to == nil {
		fail(simRPCTimeout)
		return
	}
	f.countMessage(from, to, &rpc.Request{ServiceMethod: "Node.Exchange", Seq: uint64(f.seq)}, &send.Request)
	switch delay := f.latency(from, to); {
	case f.cut(from, to) || f.random.Float64() < f.loss:
		fail(simRPCTimeout)
	case !to.running:
		fail(2 * delay)
	default:
		f.scheduleOn(to, delay, func() []Effect {
			resp, effects := to.HandleRequest(f.now, send.Request)
			f.countMessage(to, from, &rpc.Response{ServiceMethod: "Node.Exchange", Seq: uint64(f.seq)}, &resp)
			if f.cut(to, from) || f.random.Float64() < f.loss || f.now.Sub(sent) > simRPCTimeout {
				fail(max(0, sent.Add(simRPCTimeout).Sub(f.now)))
			} else {
				f.scheduleOn(from, f.latency(to, from), func() []Effect { return from.HandleResponse(f.now, sent, send.To, resp, nil) })
			}
			return effects
		})
	}
}

// poll runs a Poll against the simulated store.
func (f *simFleet) poll(instance *simInstance, poll Poll) {
	f.storeCalls++
	sent := f.now
	waiting := &waitingPoll{instance: instance, since: poll.Since}
	ended := false
	waiting.finish = func(head *config.Head, err error) {
		if ended {
			return
		}
		ended = true
		f.scheduleOn(instance, time.Millisecond, func() []Effect { return instance.HandlePollResult(f.now, sent, poll.Since, head, err) })
	}
	f.schedule(time.Millisecond, func() {
		switch {
		case f.storeDown(instance):
			f.schedule(simRPCTimeout, func() { waiting.finish(nil, errNoResponse) })
		case f.head.Revision > poll.Since:
			head := f.head
			waiting.finish(&head, nil)
		default:
			f.waitingPolls = append(f.waitingPolls, waiting)
			f.schedule(poll.Wait, func() {
				f.waitingPolls = slices.DeleteFunc(f.waitingPolls, func(o *waitingPoll) bool { return o == waiting })
				if f.storeDown(instance) {
					f.schedule(simRPCTimeout, func() { waiting.finish(nil, errNoResponse) })
					return
				}
				waiting.finish(nil, nil)
			})
		}
	})
}

// Get reads a value of the simulated store. With Put it implements config.Store.
func (f *simFleet) Get(_ context.Context, key string) ([]byte, uint64, error) {
	return f.storeValues[key], f.storeVersions[key], nil
}

// Put writes a value of the simulated store and ends the waiting Polls if it is a new
// head.
func (f *simFleet) Put(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if f.storeVersions[key] != ifVersion {
		return 0, config.ErrVersionMismatch
	}
	f.storeValues[key], f.storeVersions[key] = value, ifVersion+1
	if key != config.HeadKey {
		return ifVersion + 1, nil
	}
	head, err := config.DecodeHead(value)
	if err != nil {
		return 0, err
	}
	f.head = head
	for _, waiting := range f.waitingPolls {
		if !f.storeDown(waiting.instance) {
			waiting.finish(&head, nil)
		}
	}
	return ifVersion + 1, nil
}

// edit applies a change of the configuration immediately and returns its revision.
func (f *simFleet) edit(t testReporter, change func([]config.File) ([]config.File, error)) uint64 {
	t.Helper()
	c := config.Client{Store: f, Pause: func(context.Context, int) error { return nil }}
	r, err := c.Edit(context.Background(), config.ChangeInfo{Op: fmt.Sprint("op", f.head.Revision), Time: f.now}, change)
	if err != nil {
		t.Fatal(err)
	}
	return r.Revision
}

// configure applies the first configuration, which has the fleet's failure domains, a
// group, a route, a team with one key, and the extra files.
func (f *simFleet) configure(t testReporter, extra ...config.File) uint64 {
	t.Helper()
	var text strings.Builder
	seen := map[string]bool{}
	for _, instance := range f.instances {
		if !seen[instance.domain] {
			seen[instance.domain] = true
			fmt.Fprintf(&text, "[domain %s]\nregion = r\n", instance.domain)
		}
	}
	text.WriteString("[group g]\ncredentials = g\n[route r]\ngroup = g\nteams = t\n[team t]\nrate = 1/s\nburst = 1\n")
	text.WriteString("[key k]\nteam = t\nhash = " + strings.Repeat("ab", 16) + ":" + strings.Repeat("cd", 32) + "\n")
	return f.edit(t, func([]config.File) ([]config.File, error) {
		return append([]config.File{{Name: "a.ini", Data: []byte(text.String())}}, extra...), nil
	})
}

func (f *simFleet) withdrawKey(t testReporter) uint64 {
	return f.edit(t, func(files []config.File) ([]config.File, error) { return config.WithdrawKey(files, "k") })
}

func (f *simFleet) setDomainState(t testReporter, name string, state config.State) uint64 {
	return f.edit(t, func(files []config.File) ([]config.File, error) {
		return config.SetDomainState(files, name, state, false)
	})
}

// serves reports whether the instance accepts the key of the first configuration.
func (f *simFleet) serves(instance *simInstance) bool {
	if !instance.running || f.now.Before(instance.pausedUntil) {
		return false
	}
	_, err := instance.Config().Reauthorize("t", "k", "r")
	return err == nil && instance.FreshnessVerdict(f.now).Serve
}

// lowestRevision returns the lowest revision in force among the running instances,
// without paused instances.
func (f *simFleet) lowestRevision() uint64 {
	var lowest uint64 = 1 << 62
	for _, instance := range f.instances {
		if instance.running && !f.now.Before(instance.pausedUntil) {
			lowest = min(lowest, instance.Config().Revision)
		}
	}
	return lowest
}

// runUntil advances the simulated time until the condition holds and returns how long
// that took. It fails the test if the condition does not hold within the limit.
func (f *simFleet) runUntil(t testReporter, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	start := f.now
	for !condition() {
		if f.now.Sub(start) > limit {
			t.Fatalf("the condition %q did not hold within %s", what, limit)
		}
		f.run(10 * time.Millisecond)
	}
	return f.now.Sub(start)
}

package cluster

// A fleet of real Spreads over a simulated network and store, in simulated time.

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
	tickPeriod = 50 * time.Millisecond
	rpcTimeout = time.Second
)

// tester is what *testing.T, *testing.B and *rapid.T have in common.
type tester interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

var errNoAnswer = errors.New("no answer")

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type inst struct {
	*Agent
	address, domain string
	up              bool
	run             int // incarnation, so that events of an earlier one are dropped
	paused          time.Time
	installed       map[uint64]time.Time
	bytes           int // sent and received
	largest         int
	rejected        int
	coder           *gob.Encoder
	count           *counter
}

type counter struct{ n int }

func (c *counter) Write(p []byte) (int, error) { c.n += len(p); return len(p), nil }

// waiter is a Poll that waits for a newer head.
type waiter struct {
	i     *inst
	since uint64
	done  func(*config.Head, error)
}

type fleet struct {
	now      time.Time
	random   *rand.Rand
	queue    events
	seq      int
	all      []*inst
	byAddr   map[string]*inst
	values   map[string][]byte
	versions map[string]uint64
	head     config.Head
	waiting  []*waiter
	calls    int
	writes   int // of statuses
	measure  bool
	baseline bool
	seedless bool
	loss     float64
	reject   func(from, to *inst) bool // a cut from one instance to another
	out      func(i *inst) bool        // the store is out of reach
	platform func() []PlatformInstance
}

func newFleet(seed uint64, perDomain int, domains ...string) *fleet {
	f := &fleet{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*inst{},
		values: map[string][]byte{}, versions: map[string]uint64{},
		reject: func(_, _ *inst) bool { return false }, out: func(*inst) bool { return false },
	}
	f.platform = func() []PlatformInstance {
		var list []PlatformInstance
		for _, i := range f.all {
			if i.up {
				list = append(list, PlatformInstance{Address: i.address, Domain: i.domain})
			}
		}
		return list
	}
	for d, domain := range domains {
		for n := range perDomain {
			i := &inst{address: fmt.Sprintf("10.%d.%d.%d:6433", d, n/250, n%250), domain: domain, count: &counter{}}
			i.coder = gob.NewEncoder(i.count)
			f.all = append(f.all, i)
			f.byAddr[i.address] = i
		}
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now.Add(d), f.seq, run})
}

// on runs at the instance after a delay, later if it is paused then, and not at
// all if it has ended.
func (f *fleet) on(i *inst, d time.Duration, run func() []Effect) {
	n := i.run
	var try func()
	try = func() {
		switch {
		case !i.up || i.run != n:
		case f.now.Before(i.paused):
			f.after(i.paused.Sub(f.now), try)
		default:
			f.do(i, run())
		}
	}
	f.after(d, try)
}

func (f *fleet) start(i *inst) {
	i.up, i.run, i.installed = true, i.run+1, map[uint64]time.Time{}
	seeds := []string{f.all[0].address, f.all[len(f.all)-1].address}
	if f.seedless {
		seeds = nil
	}
	i.Agent = New(f.now, Options{
		Address: i.address, Domain: i.domain, Incarnation: Incarnation{f.now.UnixNano(), f.random.Uint32()},
		Seeds: seeds, RandomOnly: f.baseline,
	}, rand.New(rand.NewPCG(f.random.Uint64(), 2)))
	var tick func() []Effect
	tick = func() []Effect {
		f.on(i, tickPeriod, tick)
		ready, _ := i.Ready()
		i.SetReady(ready)
		return i.Tick(f.now)
	}
	f.on(i, time.Duration(f.random.Int64N(int64(tickPeriod))), tick)
}

func (f *fleet) startAll() {
	for _, i := range f.all {
		f.start(i)
	}
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) latency(a, b *inst) time.Duration {
	if a.domain == b.domain {
		return 200 * time.Microsecond
	}
	return time.Millisecond + time.Duration(f.random.Int64N(int64(time.Millisecond)))
}

// weigh counts the bytes of a message with the header of net/rpc.
func (f *fleet) weigh(from, to *inst, head, body any) {
	if !f.measure {
		return
	}
	before := from.count.n
	if err := errors.Join(from.coder.Encode(head), from.coder.Encode(body)); err != nil {
		panic(err)
	}
	n := from.count.n - before
	from.bytes += n
	to.bytes += n
	from.largest = max(from.largest, n)
}

func (f *fleet) do(i *inst, list []Effect) {
	for _, e := range list {
		switch e := e.(type) {
		case Send:
			f.send(i, e)
		case Poll:
			f.poll(i, e)
		case Fetch:
			f.calls++
			f.on(i, 2*time.Millisecond, func() []Effect {
				data, ok := f.values[config.FilePrefix+e.Hash]
				if f.out(i) || !ok {
					return i.HandleFetchResult(f.now, e.Hash, nil, errNoAnswer)
				}
				return i.HandleFetchResult(f.now, e.Hash, data, nil)
			})
		case ReadPlatformList:
			f.calls++
			if !f.out(i) {
				f.on(i, 2*time.Millisecond, func() []Effect { i.HandlePlatformList(f.now, f.platform(), nil); return nil })
			}
		case WriteStatus:
			f.calls++
			f.writes++
		case Install:
			i.installed[e.Config.Revision] = f.now
		case Reject:
			i.rejected++
		}
	}
}

func (f *fleet) send(from *inst, s Send) {
	sent, to := f.now, f.byAddr[s.To]
	fail := func(d time.Duration) {
		f.on(from, d, func() []Effect { return from.HandleResponse(f.now, sent, s.To, Response{}, errNoAnswer) })
	}
	if to == nil {
		fail(rpcTimeout)
		return
	}
	f.weigh(from, to, &rpc.Request{ServiceMethod: "Peer.Exchange", Seq: uint64(f.seq)}, &s.Request)
	switch there := f.latency(from, to); {
	case f.reject(from, to) || f.random.Float64() < f.loss:
		fail(rpcTimeout)
	case !to.up:
		fail(2 * there)
	default:
		f.on(to, there, func() []Effect {
			a, e := to.HandleRequest(f.now, s.Request)
			f.weigh(to, from, &rpc.Response{ServiceMethod: "Peer.Exchange", Seq: uint64(f.seq)}, &a)
			if f.reject(to, from) || f.random.Float64() < f.loss || f.now.Sub(sent) > rpcTimeout {
				fail(max(0, sent.Add(rpcTimeout).Sub(f.now)))
			} else {
				f.on(from, f.latency(to, from), func() []Effect { return from.HandleResponse(f.now, sent, s.To, a, nil) })
			}
			return e
		})
	}
}

func (f *fleet) poll(i *inst, p Poll) {
	f.calls++
	sent := f.now
	w := &waiter{i: i, since: p.Since}
	ended := false
	w.done = func(h *config.Head, err error) {
		if ended {
			return
		}
		ended = true
		f.on(i, time.Millisecond, func() []Effect { return i.HandlePollResult(f.now, sent, p.Since, h, err) })
	}
	f.after(time.Millisecond, func() {
		switch {
		case f.out(i):
			f.after(rpcTimeout, func() { w.done(nil, errNoAnswer) })
		case f.head.Revision > p.Since:
			h := f.head
			w.done(&h, nil)
		default:
			f.waiting = append(f.waiting, w)
			f.after(p.Wait, func() {
				f.waiting = slices.DeleteFunc(f.waiting, func(o *waiter) bool { return o == w })
				if f.out(i) {
					f.after(rpcTimeout, func() { w.done(nil, errNoAnswer) })
					return
				}
				w.done(nil, nil)
			})
		}
	})
}

// Get and Put make the fleet the operators' store.
func (f *fleet) Get(_ context.Context, key string) ([]byte, uint64, error) {
	return f.values[key], f.versions[key], nil
}

func (f *fleet) Put(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if f.versions[key] != ifVersion {
		return 0, config.ErrVersion
	}
	f.values[key], f.versions[key] = value, ifVersion+1
	if key != config.HeadKey {
		return ifVersion + 1, nil
	}
	head, err := config.DecodeHead(value)
	if err != nil {
		return 0, err
	}
	f.head = head
	for _, w := range f.waiting {
		if !f.out(w.i) {
			w.done(&head, nil)
		}
	}
	return ifVersion + 1, nil
}

// edit applies a change of the configuration at once and returns its revision.
func (f *fleet) edit(t tester, change func([]config.File) ([]config.File, error)) uint64 {
	t.Helper()
	c := config.Client{Store: f, Pause: func(context.Context, int) error { return nil }}
	r, err := c.Edit(context.Background(), config.Note{Op: fmt.Sprint("op", f.head.Revision), Time: f.now}, change)
	if err != nil {
		t.Fatal(err)
	}
	return r.Revision
}

// configure applies the first configuration: the fleet's failure domains, one team
// with one key, and extra files.
func (f *fleet) configure(t tester, extra ...config.File) uint64 {
	t.Helper()
	var text strings.Builder
	seen := map[string]bool{}
	for _, i := range f.all {
		if !seen[i.domain] {
			seen[i.domain] = true
			fmt.Fprintf(&text, "[domain %s]\nregion = r\n", i.domain)
		}
	}
	text.WriteString("[group g]\ncredentials = g\n[route r]\ngroup = g\nteams = t\n[team t]\nrate = 1/s\nburst = 1\n")
	text.WriteString("[key k]\nteam = t\nhash = " + strings.Repeat("ab", 16) + ":" + strings.Repeat("cd", 32) + "\n")
	return f.edit(t, func([]config.File) ([]config.File, error) {
		return append([]config.File{{Name: "a.ini", Data: []byte(text.String())}}, extra...), nil
	})
}

func (f *fleet) withdraw(t tester) uint64 {
	return f.edit(t, func(files []config.File) ([]config.File, error) { return config.WithdrawKey(files, "k") })
}

func (f *fleet) domain(t tester, name string, s config.State) uint64 {
	return f.edit(t, func(files []config.File) ([]config.File, error) { return config.SetDomain(files, name, s, false) })
}

// serves reports whether the instance lets the key of the first configuration in.
func (f *fleet) serves(i *inst) bool {
	if !i.up || f.now.Before(i.paused) {
		return false
	}
	_, err := i.Config().Allows("t", "k", "r")
	return err == nil && i.FreshnessVerdict(f.now).Serve
}

// lowest returns the lowest revision in force among the running instances.
func (f *fleet) lowest() uint64 {
	var low uint64 = 1 << 62
	for _, i := range f.all {
		if i.up && !f.now.Before(i.paused) {
			low = min(low, i.Config().Revision)
		}
	}
	return low
}

// until runs until the condition holds and returns how long that took.
func (f *fleet) until(t tester, most time.Duration, what string, cond func() bool) time.Duration {
	t.Helper()
	start := f.now
	for !cond() {
		if f.now.Sub(start) > most {
			t.Fatalf("%s: not within %s", what, most)
		}
		f.run(10 * time.Millisecond)
	}
	return f.now.Sub(start)
}

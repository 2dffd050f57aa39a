package usage

// A fleet of counters and gatherers with a store and a platform that fail as the real ones do.
// The platform checks the rules at each call.

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"burdockseam/core/lease"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	testWindow, testDelay, testLease = 5 * time.Second, 10 * time.Second, 3 * time.Second
	testStep                         = 100 * time.Millisecond
)

// instance is one instance of the world.
type instance struct {
	name, run    string
	up, frozen   bool
	side         int // instances of different sides don't reach each other; the store is on side 0
	confused     bool
	phase        float64
	origin, wall time.Duration // the beginning of its clock, and the error of its wall clock
	counter      *Counter
	gatherer     *Gatherer
	pushAt       time.Time
	holder       string
	holderToken  uint64
	holderAt     time.Time
	lastPush     Push
}

// event is something that takes effect later.
type event struct {
	at time.Time
	do func()
}

// platformCall is a call that the platform carried out.
type platformCall struct {
	at     time.Time
	holder string
	token  uint64
}

// world is the fleet with its surroundings.
type world struct {
	random    *rand.Rand
	now       time.Time
	o         Options
	instances []*instance
	runs      int
	events    []event

	storeUp    bool
	loseRate   float64 // share of writes and calls without an answer
	repeatRate float64 // share of pushes after which the one before arrives again
	lateRate   float64 // share of those that take effect late
	era        uint64
	revision   uint64
	objects    map[string]stored
	copies     []map[string]stored

	bodies    map[uint64]string
	reported  map[uint64]Report
	at        map[uint64]time.Time
	calls     []platformCall
	highest   uint64
	users     map[uint64]string
	refused   map[uint64]bool // tokens whose refusal reached the holder
	broken    []string
	truth     map[uint64]uint64
	callCount int
	pushes    int
	givenUp   int
	perStep   int // requests of each instance in a step
}

type stored struct {
	revision uint64
	data     []byte
}

func newWorld(seed uint64, instances int, unfenced bool, without guard) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: trueTime, storeUp: true, era: 1, repeatRate: 0.2, perStep: 3,
		o:       Options{Window: testWindow, Delay: testDelay, Lease: testLease, Off: off, Unfenced: unfenced, without: without},
		objects: make(map[string]stored), bodies: make(map[uint64]string), reported: make(map[uint64]Report), at: make(map[uint64]time.Time),
		users: make(map[uint64]string), refused: make(map[uint64]bool), truth: make(map[uint64]uint64),
	}
	for k := range instances {
		w.instances = append(w.instances, &instance{name: fmt.Sprint("n", k), origin: time.Duration(k) * time.Hour})
		w.start(w.instances[k])
	}
	return w
}

// start starts a new run of an instance.
func (w *world) start(i *instance) {
	w.runs++
	i.run, i.up, i.frozen, i.phase = fmt.Sprint(i.name, ".", w.runs), true, false, w.random.Float64()
	o := w.o
	o.Name, o.Run, o.Address = i.name, i.run, i.name
	i.counter = NewCounter(i.run, testWindow, w.boot(i), w.wall(i))
	i.gatherer = NewGatherer(o, w.boot(i))
	i.pushAt, i.holder, i.holderToken = time.Time{}, "", 0
}

func (w *world) boot(i *instance) time.Time {
	return time.Unix(1000, 0).Add(w.now.Sub(trueTime) + i.origin)
}
func (w *world) wall(i *instance) time.Time { return w.now.Add(i.wall) }

func (w *world) reaches(a, b *instance) bool {
	return a.up && b.up && !a.frozen && !b.frozen && a.side == b.side
}

// target returns the instance to which another one pushes.
func (w *world) target(i *instance) *instance {
	if i.confused {
		return i
	}
	for _, o := range w.instances {
		if o.name == i.holder && w.boot(i).Sub(i.holderAt) < 3*time.Second && w.reaches(i, o) {
			return o
		}
	}
	for _, o := range w.instances {
		if w.reaches(i, o) {
			return o
		}
	}
	return i
}

// run advances the world.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(testStep)
		for _, e := range w.events {
			if !e.at.After(w.now) {
				e.do()
			}
		}
		w.events = slices.DeleteFunc(w.events, func(e event) bool { return !e.at.After(w.now) })
		for _, i := range w.instances {
			if i.up && !i.frozen {
				w.step(i)
			}
		}
	}
}

// later lets something take effect within the time in which the platform carries out calls.
func (w *world) later(do func()) {
	d := time.Duration(w.random.Int64N(int64(testLease - 4*testStep)))
	w.events = append(w.events, event{w.now.Add(d), do})
}

// step does what the adapter does in each interval.
func (w *world) step(i *instance) {
	now := w.boot(i)
	for range w.perStep {
		i.counter.Add(now, "a")
		w.truth[WindowAt(w.now, testWindow)]++
	}
	target := w.target(i)
	f := Fleet{Teams: []string{"a", "idle"}, MayHold: target == i}
	for _, o := range w.instances {
		f.Runs = append(f.Runs, o.run)
	}
	i.gatherer.SetFleet(now, f)
	if clock := i.counter.FleetTime(now); !clock.Before(i.pushAt) {
		i.pushAt = PushTime(clock, i.phase, len(w.instances), testWindow, testDelay)
		w.push(i, target)
	}
	w.store(i)
	w.call(i)
}

// clock returns the fleet clock as an instance knows it.
func (w *world) clock(i *instance) time.Time {
	if t, ok := i.gatherer.FleetTime(w.boot(i)); ok {
		return t
	}
	return i.counter.FleetTime(w.boot(i))
}

func (w *world) push(i, target *instance) {
	now := w.boot(i)
	w.pushes++
	p := i.counter.Push(now, w.wall(i))
	for _, to := range []*instance{i, target} {
		own := p
		own.Windows = maps.Clone(p.Windows)
		to.gatherer.HandlePush(w.boot(to), own)
		if i.lastPush.Run == i.run && w.random.Float64() < w.repeatRate {
			repeated := i.lastPush
			repeated.Windows = maps.Clone(i.lastPush.Windows)
			to.gatherer.HandlePush(w.boot(to), repeated) // arrives a second time, and late
		}
	}
	i.lastPush = p
	ack := Ack{Settled: target.gatherer.Settled()}
	ack.Machine, ack.Token = target.gatherer.Holder(w.boot(target))
	if t, ok := target.gatherer.FleetTime(w.boot(target)); ok {
		ack.Time = t.UnixNano()
	} else if target.counter.ClockLearned() {
		ack.Time = target.counter.FleetTime(w.boot(target)).UnixNano()
	}
	if ack.Machine == "" && target.holder != target.name {
		ack.Machine, ack.Token = target.holder, target.holderToken
	}
	if ack.Time != 0 && i.counter.LearnClock(now, time.Unix(0, ack.Time)) {
		i.pushAt = time.Time{}
	}
	if ack.Machine == target.name {
		i.counter.Settle(ack.Settled)
	}
	i.gatherer.LearnToken(ack.Token)
	if ack.Machine != "" && ack.Token >= i.holderToken && (ack.Machine == target.name || ack.Token > i.holderToken) {
		i.holder, i.holderToken, i.holderAt = ack.Machine, ack.Token, now
	}
}

// store reads and writes the record.
func (w *world) store(i *instance) {
	now := w.boot(i)
	works := w.storeUp && i.side == 0
	if i.gatherer.ReadDue(now) && works {
		r, era := Record{}, w.era
		at := lease.StoredAt{Era: w.era}
		if names := slices.Sorted(maps.Keys(w.objects)); len(names) > 0 {
			newest := names[len(names)-1] // the eras have one digit
			era, _ = strconv.ParseUint(newest, 10, 64)
			if era == w.era {
				at.Revision = w.objects[newest].revision
			}
			if err := json.Unmarshal(w.objects[newest].data, &r); err != nil {
				panic(err)
			}
		}
		i.gatherer.Observe(now, r, era, at)
		if address, token := i.gatherer.Renewing(now); address != "" {
			i.holder, i.holderToken, i.holderAt = address, token, now
		}
	}
	r, at, due := i.gatherer.PrepareWrite(now, w.clock(i))
	if !due {
		return
	}
	write := func() (lease.StoredAt, bool) { return w.write(r, at) }
	switch {
	case !works:
		i.gatherer.FailWrite()
	case w.random.Float64() >= w.loseRate:
		if stored, ok := write(); ok {
			_, n := i.gatherer.ConfirmWrite(now, now, r, stored)
			w.givenUp += n
		} else {
			i.gatherer.FailWrite()
		}
	case w.random.Float64() < w.lateRate:
		i.gatherer.FailWrite()
		w.later(func() { write() })
	default:
		i.gatherer.FailWrite()
		write()
	}
}

// write carries out a conditional update of the object of an era.
func (w *world) write(r Record, at lease.StoredAt) (lease.StoredAt, bool) {
	name := fmt.Sprint(at.Era)
	if w.objects[name].revision != at.Revision {
		return at, false
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	w.revision++
	w.objects[name] = stored{w.revision, data}
	w.copies = append(w.copies, maps.Clone(w.objects))
	return lease.StoredAt{Era: w.era, Revision: w.revision}, true
}

// restore brings the store back as it was a number of writes ago.
func (w *world) restore(writes int) {
	w.era++
	if k := len(w.copies) - 1 - writes; k >= 0 {
		w.objects = maps.Clone(w.copies[k])
		w.copies = w.copies[:k+1]
	} else {
		w.objects, w.copies = make(map[string]stored), nil
	}
	w.revision = 0
	for _, o := range w.objects {
		w.revision = max(w.revision, o.revision)
	}
}

// call sends a report that is due.
func (w *world) call(i *instance) {
	r, token, due := i.gatherer.CallDue(w.boot(i), w.clock(i))
	if !due {
		return
	}
	w.callCount++
	if w.refused[token] && w.users[token] == i.name {
		w.violation("token %d is used after it was refused", token)
	}
	if w.users[token] == "" {
		w.users[token] = i.name
	} else if w.users[token] != i.name {
		w.violation("token %d is used by %s and %s", token, w.users[token], i.name)
	}
	body, err := json.Marshal(r.Counts)
	if err != nil {
		panic(err)
	}
	take := func() bool { return w.take(i.name, token, r, string(body)) }
	g := i.gatherer
	switch {
	case w.random.Float64() >= w.loseRate:
		if take() {
			g.HandleOutcome(r.Window, token, Accepted)
		} else {
			w.refused[token] = true
			g.HandleOutcome(r.Window, token, Refused)
		}
	case w.random.Float64() < w.lateRate:
		w.later(func() { take() })
		g.HandleOutcome(r.Window, token, NoAnswer)
	default:
		take()
		g.HandleOutcome(r.Window, token, NoAnswer)
	}
}

// take carries out a call at the platform.
func (w *world) take(holder string, token uint64, r Report, body string) bool {
	if token < w.highest {
		if w.o.Unfenced {
			w.violation("token %d comes after token %d", token, w.highest)
		}
		return false
	}
	w.highest = token
	w.calls = append(w.calls, platformCall{w.now, holder, token})
	w.checkOrder()
	if first, ok := w.bodies[r.Window]; ok && first != body {
		w.violation("window %d is reported as %s and as %s", r.Window, first, body)
	} else if !ok {
		w.bodies[r.Window], w.reported[r.Window], w.at[r.Window] = body, r, w.now
	}
	return true
}

// checkOrder checks that no holder acts again within the lease time if another one acted in
// between.
func (w *world) checkOrder() {
	last := w.calls[len(w.calls)-1]
	other := false
	for k := len(w.calls) - 2; k >= 0 && last.at.Sub(w.calls[k].at) < testLease && w.o.Unfenced; k-- {
		if c := w.calls[k]; c.holder != last.holder {
			other = true
		} else if other {
			w.violation("%s acts again %v after its last call, and another holder acted in between", last.holder, last.at.Sub(c.at))
			return
		}
	}
}

func (w *world) violation(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// total returns the sums of the reported and of the true counts.
func (w *world) total() (reported, truth uint64) {
	for _, r := range w.reported {
		reported += r.Counts["a"]
	}
	for _, n := range w.truth {
		truth += n
	}
	return reported, truth
}

// missing returns the share by which the report of a window differs from the truth, or 1
// without a report in time.
func (w *world) missing(window uint64) float64 {
	r, ok := w.reported[window]
	if !ok || w.at[window].Sub(WindowEnd(window, testWindow)) > testDelay {
		return 1
	}
	want := float64(w.truth[window])
	return max(float64(r.Counts["a"])-want, want-float64(r.Counts["a"])) / want
}

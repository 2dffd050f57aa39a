package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockseam/core/config"
)

// fleetInstance is an instance of the tests: the real collector, delegator and holder.
type fleetInstance struct {
	domain         int
	offset         time.Duration
	drift          float64
	run            int
	part           float64
	preferred      int // instance whose collector it prefers
	frozenUntil    time.Duration
	collector      *Collector
	delegator      *Delegator
	holder         *Holder
	waitingTickets int
	delayed        []func() // requests that wait for a transfer
}

// fleetMessage is a message on its way.
type fleetMessage struct {
	at       time.Duration
	from, to int
	handle   func()
}

// limitFleet runs instances with clocks of their own and a network that delays, loses and
// repeats messages.
type limitFleet struct {
	now       time.Duration
	random    *rand.Rand
	teams     map[string]config.Team
	instances []*fleetInstance
	messages  []fleetMessage
	loss      float64
	late      float64 // share of messages that arrive up to 4 s late
	cut       map[[2]int]bool
	decide    func(i int, d Decision) // receives decisions on requests that waited
	lenders   func(i int) []string
	spare     float64
	guards    fleetGuards
	delay     func(from, to int) time.Duration
}

// fleetGuards switches rules off, to show that the test finds their absence.
type fleetGuards struct{ switchAtOnce, keepLent, staleClock bool }

func (f *limitFleet) clock(i int) time.Time {
	in := f.instances[i]
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(in.offset + time.Duration(float64(f.now)*(1+in.drift)))
}

func (f *limitFleet) address(i int) string { return fmt.Sprint("i", i) }

func (f *limitFleet) start(i int) {
	in := f.instances[i]
	in.run++
	run := fmt.Sprint(f.address(i), ".", in.run)
	now := f.clock(i)
	in.collector = NewCollector(now, run, f.address(i))
	in.delegator = NewDelegator(run, f.address(i))
	in.holder = NewHolder(run, 1)
	in.collector.Configure(now, f.teams, f.spare)
	in.holder.Configure(now, f.teams)
}

func (f *limitFleet) send(from, to int, handle func(now time.Time)) {
	if f.random.Float64() < f.loss || f.cut[[2]int{f.instances[from].domain, f.instances[to].domain}] {
		return
	}
	delay := f.delay(from, to)
	if f.random.Float64() < f.late {
		delay = time.Duration(f.random.Int64N(int64(4 * time.Second)))
	}
	if f.random.Float64() < f.loss/4 {
		f.send(from, to, handle) // arrives twice
	}
	run := f.instances[to].run
	f.messages = append(f.messages, fleetMessage{f.now + delay, from, to, func() {
		if f.instances[to].run == run || f.random.IntN(2) == 0 { // a message may reach the next run
			handle(f.clock(to))
		}
	}})
}

func (f *limitFleet) frozen(i int) bool { return f.now < f.instances[i].frozenUntil }

// deliver handles the messages that have arrived at instances that run.
func (f *limitFleet) deliver() {
	for again := true; again; {
		again = false
		pending := f.messages
		f.messages = nil
		for _, m := range pending {
			if m.at > f.now || f.frozen(m.to) {
				f.messages = append(f.messages, m)
				continue
			}
			m.handle()
			again = true
		}
	}
}

// step advances an instance.
func (f *limitFleet) step(i int) {
	in, now := f.instances[i], f.clock(i)
	if f.guards.switchAtOnce {
		in.delegator.freeAt = now
	}
	if to, d, due := in.delegator.Step(now, f.address(in.preferred), in.part); due {
		f.delegate(i, to, d)
	}
	in.collector.SetLenders(f.lenders(i))
	in.collector.Step(now)
	f.transfer(i)
	in.holder.SetOwner(now, "0", f.address(in.preferred), 1)
	f.requests(i, in.holder.Tick(now))
}

func (f *limitFleet) index(address string) (i int) {
	if _, err := fmt.Sscanf(address, "i%d", &i); err != nil {
		panic(err)
	}
	return i
}

func (f *limitFleet) delegate(i int, to string, d Delegation) {
	in, k := f.instances[i], f.index(to)
	delegator := in.delegator
	f.send(i, k, func(now time.Time) {
		c := f.instances[k].collector
		if f.guards.staleClock && d.To == c.run {
			d.Clock, d.After = now.Sub(c.start), 0
		}
		reply := c.Delegate(now, d)
		f.send(k, i, func(now time.Time) {
			if in.delegator == delegator && delegator.HandleReply(now, to, d, reply) {
				if to, d, due := delegator.Step(now, f.address(in.preferred), in.part); due {
					f.delegate(i, to, d)
				}
			}
		})
	})
}

func (f *limitFleet) transfer(i int) {
	in, sent := f.instances[i], f.clock(i)
	borrower := in.collector
	transfers := borrower.Transfers(sent)
	for _, lender := range slices.Sorted(maps.Keys(transfers)) {
		t, k := transfers[lender], f.index(lender)
		f.send(i, k, func(now time.Time) {
			reply := f.instances[k].collector.Lend(now, t)
			if f.guards.keepLent {
				for n, w := range t.Wants {
					f.instances[k].collector.accounts[w.Team].level += reply.Tokens[n]
				}
			}
			f.send(k, i, func(now time.Time) {
				borrower.HandleTransfer(now, sent, lender, t, reply)
				delayed := in.delayed
				in.delayed = nil
				for _, grant := range delayed {
					grant()
				}
			})
		})
	}
}

func (f *limitFleet) requests(i int, out Output) {
	in := f.instances[i]
	holder := in.holder
	for _, d := range out.Decisions {
		f.decide(i, d)
	}
	for _, r := range out.Requests {
		k := f.index(r.To)
		answer := func(now time.Time) {
			if reply, ok := f.instances[k].collector.HandleRequest(now, r); ok {
				f.send(k, i, func(now time.Time) {
					if in.holder == holder {
						f.requests(i, holder.HandleReply(now, reply))
					}
				})
			}
		}
		f.send(i, k, func(now time.Time) {
			f.grant(k, f.now+40*time.Millisecond, r, answer)
		})
	}
}

// grant answers a request once the collector has the tokens, or at the end of the wait for
// transfers.
func (f *limitFleet) grant(k int, end time.Duration, r Request, answer func(now time.Time)) {
	in := f.instances[k]
	if !in.collector.Expect(f.clock(k), r) || f.now >= end {
		answer(f.clock(k))
		return
	}
	f.transfer(k)
	answered := false
	again := func() {
		if !answered {
			answered = true
			f.grant(k, end, r, answer)
		}
	}
	in.delayed = append(in.delayed, again)
	f.messages = append(f.messages, fleetMessage{end, k, k, again})
}

// doubledParts returns the number of instances whose part is in force at two collectors.
func (f *limitFleet) doubledParts() (doubled int) {
	for k, in := range f.instances {
		holders := 0
		for i, o := range f.instances {
			p := o.collector.parts[f.address(k)]
			if p.run == in.delegator.run && p.part > 0 && p.until.After(f.clock(i)) {
				holders++
			}
		}
		if holders > 1 {
			doubled++
		}
	}
	return doubled
}

// checkBound runs a fleet with random faults and returns the largest excess over the bound, the
// largest number of parts that were in force twice, and the number of requests that were
// admitted.
func checkBound(seed uint64, faults bool, guards fleetGuards) (excess float64, doubled, admitted int) {
	r := rand.New(rand.NewPCG(seed, 1))
	team := config.Team{Name: "x", Rate: []float64{5, 20, 100, 400}[r.IntN(4)]}
	team.Burst = team.Rate * []float64{0.5, 1, 2}[r.IntN(3)]
	f := &limitFleet{
		random: r, teams: map[string]config.Team{"x": team}, cut: make(map[[2]int]bool), guards: guards,
		delay: func(int, int) time.Duration { return time.Duration(r.IntN(30)) * time.Millisecond },
	}
	domains, each := 2+r.IntN(2), 1+r.IntN(3)
	n := domains * each
	if faults {
		f.loss, f.late = r.Float64()*0.2, r.Float64()*0.1
	}
	// In a part of the runs, the collectors change and answer slowly, and nothing else happens.
	changes := faults && r.IntN(3) == 0
	if changes {
		f.loss, each = 0, max(each, 2)
		n = domains * each
		f.delay = func(int, int) time.Duration { return time.Duration(r.IntN(300)) * time.Millisecond }
	}
	f.spare = float64(r.IntN(2) * 10)
	parts := 0.0
	for i := range n {
		// Instances that count the fleet differently own parts whose sum differs from 1.
		part := 1 / float64(n-r.IntN(2)*r.IntN(2)*min(1, n-1))
		parts += part
		f.instances = append(f.instances, &fleetInstance{
			domain: i % domains, offset: time.Duration(r.IntN(1e9)), drift: (r.Float64() - 0.5) * 0.018, part: part, preferred: i % domains,
		})
	}
	var times []time.Duration
	admit := func() { times, admitted = append(times, f.now), admitted+1 }
	f.decide = func(i int, d Decision) {
		if f.instances[i].waitingTickets--; d.Outcome == Granted {
			admit()
		}
	}
	f.lenders = func(i int) (list []string) {
		for k := range n {
			if k != i {
				list = append(list, f.address(k))
			}
		}
		return list
	}
	for i := range f.instances {
		f.start(i)
	}
	var restarts []time.Duration
	every := 60 + r.IntN(400) // steps between two faults
	load := r.IntN(n)
	const step = 10 * time.Millisecond
	for f.now = 0; f.now < 25*time.Second; f.now += step {
		if faults && r.IntN(every) == 0 {
			i := r.IntN(n)
			in, fault := f.instances[i], r.IntN(7)
			if changes {
				fault = 4
			}
			switch fault {
			case 0: // a killed instance starts again after a while
				in.frozenUntil = f.now + time.Duration(800+r.IntN(1000))*time.Millisecond
				f.start(i)
				restarts = append(restarts, in.frozenUntil)
			case 1:
				in.frozenUntil = max(in.frozenUntil, f.now+time.Duration(r.IntN(4000))*time.Millisecond)
			case 2: // the view of which collector answers changes
				in.preferred = (in.domain + domains*r.IntN(each)) % n
			case 3:
				a, b := r.IntN(domains), r.IntN(domains)
				f.cut[[2]int{a, b}] = !f.cut[[2]int{a, b}]
			case 4: // all instances of a domain change their collector
				k := (in.domain + domains*r.IntN(each)) % n
				for _, o := range f.instances {
					if o.domain == in.domain {
						o.preferred = k
					}
				}
			case 5: // all are killed at once
				if r.IntN(4) == 0 {
					f.messages = nil
					for i, in := range f.instances {
						in.frozenUntil = f.now + time.Second
						f.start(i)
					}
				}
			case 6:
				load = r.IntN(n)
			}
		}
		f.deliver()
		for i, in := range f.instances {
			if f.frozen(i) {
				continue
			}
			if (f.now/step)%10 == time.Duration(i%10) {
				f.step(i)
			}
			calls := 1
			if i == load {
				calls = int(team.Rate/50) + 1
			}
			for range calls {
				if in.waitingTickets > 50 {
					break
				}
				d := in.holder.TakeToken(f.clock(i), "x")
				switch d.Outcome {
				case Granted:
					admit()
				case Waiting:
					in.waitingTickets++
				}
				if d.TickNow {
					f.requests(i, in.holder.Tick(f.clock(i)))
				}
			}
		}
		doubled = max(doubled, f.doubledParts())
		for _, window := range []time.Duration{time.Second, 5 * time.Second} {
			count := 0
			for k := len(times) - 1; k >= 0 && times[k] > f.now-window; k-- {
				count++
			}
			// A new run may delegate its part while that of the former run is in force.
			replaced := 0
			for _, at := range restarts {
				if at > f.now-window-3*time.Second {
					replaced++
				}
			}
			allowed := (team.Rate*window.Seconds() + team.Burst + f.spare) * max(1, parts) * (1 + float64(replaced)/float64(n))
			excess = max(excess, float64(count)-allowed)
		}
	}
	return excess, doubled, admitted
}

// TestCollectorsStayWithinBound guards against admissions over a team's rate by delegated parts:
// with kills, frozen instances, partitions, lost, late and repeated messages, changes of the
// collector, transfers, a restart of all instances and instances that count the fleet
// differently.
func TestCollectorsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		excess, doubled, _ := checkBound(rapid.Uint64().Draw(t, "seed"), true, fleetGuards{})
		if excess > 1e-6 || doubled > 0 {
			t.Fatalf("%.2f requests more than allowed were admitted, %d parts were in force twice", excess, doubled)
		}
	})
}

// TestCollectorGuards checks that the bound is exceeded without each guard, so that
// TestCollectorsStayWithinBound would find its absence.
func TestCollectorGuards(t *testing.T) {
	for name, guards := range map[string]fleetGuards{
		"a new collector at once":                          {switchAtOnce: true},
		"transferred tokens stay with the lender":          {keepLent: true},
		"the life of a delegation counts from its arrival": {staleClock: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				if excess, doubled, _ := checkBound(seed, true, guards); excess > 1 || doubled > 0 {
					t.Logf("seed %d: %.1f requests more than allowed, %d parts in force twice", seed, excess, doubled)
					return
				}
			}
			t.Error("no run of 300 exceeds the bound")
		})
	}
}

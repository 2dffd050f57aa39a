package quota_test

import (
	"container/heap"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockseam/core/config"
	"burdockseam/core/lease"
	"burdockseam/core/quota"
)

// world runs the lease and quota code of several instances in simulated time, with a
// simulated store and network that lose, delay and duplicate messages.
type world struct {
	rng                       *rand.Rand
	now                       time.Duration // simulated time since the start, without clock errors
	queue                     events
	lastOrder                 uint64
	processes                 []*process
	shards                    int
	teams                     map[string]config.Team
	lossShare, duplicateShare float64
	offeredLoad               float64 // demand in a smallWorld, as a multiple of the rate
	lateShare                 float64 // share of messages that take up to 2 s
	delay                     time.Duration
	// isCut reports whether messages between two instances are lost. "store" stands for the
	// receiver of store calls, "get" and "put" for the sender of their answers.
	isCut          func(from, to string) bool
	storeDown      bool
	objects        map[string]object
	admitted       map[string]*admissions
	messages       int
	bytes          counter
	encoder        *gob.Encoder // counts the bytes of messages if set
	storeCalls     int
	offered        map[string]int // requests offered, by team
	candidateLists map[string]cachedCandidates
	favoured       *process // if set, receives nine in ten requests of a smallWorld
}

// cachedCandidates is a list of candidates, which is used for 100 ms.
type cachedCandidates struct {
	at   time.Duration
	list []lease.Instance
}

// object is an object of the simulated store.
type object struct {
	value   []byte
	version uint64
}

// counter is a writer that counts bytes.
type counter int

func (c *counter) Write(p []byte) (int, error) { *c += counter(len(p)); return len(p), nil }

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// events is a heap ordered by time, then by the order of insertion.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// process is one incarnation of an instance.
type process struct {
	lease.Instance
	w           *world
	speed       float64 // rate of its clock relative to the simulated time
	pausedUntil time.Duration
	ticks       int
	dead        bool
	diedAt      time.Duration
	members     map[string]*lease.Member
	owners      map[string]*quota.Owner
	holder      *quota.Holder
	tickets     map[uint64]func(quota.Decision)
}

func newWorld(seed uint64, instances, shards int, teams map[string]config.Team) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), shards: shards, teams: teams, delay: time.Millisecond,
		objects: map[string]object{}, admitted: map[string]*admissions{}, offered: map[string]int{},
		candidateLists: map[string]cachedCandidates{},
	}
	for i := range instances {
		w.startInstance(fmt.Sprintf("i%d", i), []string{"a", "b", "c"}[i%3])
	}
	return w
}

func (w *world) startInstance(id, domain string) *process {
	p := &process{
		Instance: lease.Instance{ID: id, Domain: domain}, w: w, speed: 1,
		members: map[string]*lease.Member{}, owners: map[string]*quota.Owner{},
		holder: quota.NewHolder(id, w.shards), tickets: map[uint64]func(quota.Decision){},
	}
	for s := range w.shards {
		shard := fmt.Sprint(s)
		p.members[shard] = lease.NewMember(p.Instance, shard)
		p.owners[shard] = quota.NewOwner(id, shard, p.members[shard])
	}
	p.configure()
	w.processes = append(w.processes, p)
	w.after(time.Duration(w.rng.Int64N(int64(10*time.Millisecond))), p.tick)
	return p
}

func (p *process) configure() {
	p.holder.Configure(p.clock(), p.w.teams)
	for shard, o := range p.owners {
		shardTeams := map[string]config.Team{}
		for name, t := range p.w.teams {
			if quota.ShardOf(name, p.w.shards) == shard {
				shardTeams[name] = t
			}
		}
		o.Configure(p.clock(), shardTeams)
	}
}

func (p *process) clock() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(p.w.now) * p.speed))
}

func (w *world) after(d time.Duration, run func()) {
	w.lastOrder++
	heap.Push(&w.queue, event{w.now + d, w.lastOrder, run})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// schedule runs an input of the instance after d, or when its pause ends.
func (p *process) schedule(d time.Duration, run func()) {
	p.w.after(d, func() {
		switch {
		case p.dead:
		case p.w.now < p.pausedUntil:
			p.schedule(p.pausedUntil-p.w.now, run)
		default:
			run()
		}
	})
}

// send delivers a message to an instance, with the faults set in the world.
func (w *world) send(from, to string, message any, run func(*process)) {
	w.messages++
	if w.encoder != nil {
		if err := w.encoder.Encode(message); err != nil {
			panic(err)
		}
	}
	p := w.liveProcess(to)
	if p == nil || w.isCut != nil && w.isCut(from, to) {
		return
	}
	for range 1 + w.oneWithProbability(w.duplicateShare) {
		if w.oneWithProbability(w.lossShare) == 0 {
			p.schedule(w.latency(), func() { run(p) })
		}
	}
}

// oneWithProbability returns 1 with the given probability, else 0.
func (w *world) oneWithProbability(share float64) int {
	if share > 0 && w.rng.Float64() < share {
		return 1
	}
	return 0
}

func (w *world) latency() time.Duration {
	d := w.delay + time.Duration(w.rng.Int64N(int64(w.delay)/5+1))
	if w.oneWithProbability(w.lateShare) == 1 {
		d += time.Duration(w.rng.Int64N(int64(2 * time.Second)))
	}
	return d
}

func (w *world) liveProcess(id string) *process {
	for _, p := range w.processes {
		if p.ID == id && !p.dead {
			return p
		}
	}
	return nil
}

func (w *world) ownerProcess(shard string) *process {
	l, err := lease.Decode(w.objects["owner/"+shard].value)
	if err != nil {
		return nil
	}
	return w.liveProcess(l.Owner.ID)
}

func (p *process) kill() { p.dead, p.diedAt = true, p.w.now }

// tick runs the periodic steps of the instance every 10 ms, its leases every 50 ms.
func (p *process) tick() {
	now, w := p.clock(), p.w
	p.ticks++
	for s := range w.shards {
		if p.ticks%5 != 0 {
			break
		}
		shard := strconv.Itoa(s)
		view := lease.View{Candidates: w.candidates(shard), OwnerSilent: p.holder.OwnerSilent(now, shard)}
		if !w.storeDown {
			view.IsListed = func(id string) bool {
				return slices.ContainsFunc(w.processes, func(o *process) bool {
					return o.ID == id && (!o.dead || w.now-o.diedAt < 5*time.Second)
				})
			}
		}
		m := p.members[shard]
		p.performLeaseOutput(shard, m.Tick(now, view))
		if l, v := m.Lease(); v > 0 {
			p.holder.SetOwner(now, shard, l.Owner.ID, l.Epoch)
		}
	}
	p.performQuotaOutput(p.holder.Tick(now))
	p.schedule(10*time.Millisecond, p.tick)
}

// candidates returns the instances that were alive 3 s ago, in rendezvous order.
func (w *world) candidates(shard string) []lease.Instance {
	if v, ok := w.candidateLists[shard]; ok && w.now-v.at < 100*time.Millisecond {
		return v.list
	}
	var list []lease.Instance
	for _, p := range w.processes {
		if !p.dead || w.now-p.diedAt < 3*time.Second {
			list = append(list, p.Instance)
		}
	}
	slices.SortFunc(list, func(a, b lease.Instance) int {
		if xxhash.Sum64String(a.ID+shard) > xxhash.Sum64String(b.ID+shard) {
			return -1
		}
		return 1
	})
	w.candidateLists[shard] = cachedCandidates{w.now, list}
	return list
}

func (p *process) performLeaseOutput(shard string, out lease.Output) {
	for _, msg := range out.Messages {
		p.w.send(p.ID, msg.To, msg, func(to *process) {
			to.performLeaseOutput(shard, to.members[shard].HandleMessage(to.clock(), msg))
		})
	}
	for _, call := range out.Calls {
		p.callStore(shard, call)
	}
}

// callStore sends a call to the store. The call or its answer may be lost, late or
// duplicated.
func (p *process) callStore(shard string, c lease.Call) {
	w := p.w
	w.storeCalls++
	for range 1 + w.oneWithProbability(w.duplicateShare) {
		if w.oneWithProbability(w.lossShare) == 1 || w.isCut != nil && w.isCut(p.ID, "store") {
			continue
		}
		w.after(w.latency(), func() {
			if w.storeDown {
				return
			}
			r := lease.Result{ID: c.ID, Status: lease.Done}
			o := w.objects[c.Key]
			switch {
			case c.Method == lease.Get && o.version == 0:
				r.Status = lease.Missing
			case c.Method == lease.Put && o.version != c.IfVersion:
				r.Status = lease.Conflict
			case c.Method == lease.Put:
				o = object{c.Value, o.version + 1}
				w.objects[c.Key] = o
			}
			if r.Status == lease.Done {
				r.Value, r.Version = o.value, o.version
			}
			for range 1 + w.oneWithProbability(w.duplicateShare) {
				if w.oneWithProbability(w.lossShare) == 0 && (w.isCut == nil || !w.isCut(string(c.Method), p.ID)) {
					p.schedule(w.latency(), func() { p.performLeaseOutput(shard, p.members[shard].HandleResult(p.clock(), r)) })
				}
			}
		})
	}
}

func (p *process) performQuotaOutput(out quota.Output) {
	for _, d := range out.Decisions {
		done := p.tickets[d.Ticket]
		delete(p.tickets, d.Ticket)
		done(d)
	}
	for _, r := range out.Requests {
		p.w.send(p.ID, r.To, r, func(to *process) {
			if reply, ok := to.owners[r.Shard].HandleRequest(to.clock(), r); ok {
				p.w.send(to.ID, reply.To, reply, func(back *process) {
					back.performQuotaOutput(back.holder.HandleReply(back.clock(), reply))
				})
			}
		})
	}
}

// offerRequest offers a request of the team to the instance. done, if set, receives the final
// decision.
func (p *process) offerRequest(team string, done func(admitted bool)) {
	p.w.offered[team]++
	final := func(d quota.Decision) {
		if d.Outcome == quota.Granted {
			p.w.admit(team)
		}
		if done != nil {
			done(d.Outcome == quota.Granted)
		}
	}
	d := p.holder.TakeToken(p.clock(), team)
	if d.Outcome == quota.Waiting {
		p.tickets[d.Ticket] = final
	} else {
		final(d)
	}
	if d.TickNow {
		p.performQuotaOutput(p.holder.Tick(p.clock()))
	}
}

// admissions compares the admissions of a team with its rate bound.
type admissions struct {
	n                 int
	fill, worstExcess float64
	last              time.Duration
}

// admit counts an admission. In every window of length t at most rate × t + burst
// requests were admitted if and only if fill never exceeded the burst.
func (w *world) admit(team string) {
	a := w.admitted[team]
	if a == nil {
		a = &admissions{}
		w.admitted[team] = a
	}
	t := w.teams[team]
	a.fill = max(0, a.fill-t.Rate*(w.now-a.last).Seconds()) + 1
	a.last = w.now
	a.n++
	a.worstExcess = max(a.worstExcess, a.fill-t.Burst)
}

// excess returns by how much the admissions exceeded rate × t + burst in the worst window
// so far.
func (w *world) excess(team string) float64 {
	if a := w.admitted[team]; a != nil {
		return a.worstExcess
	}
	return 0
}

func (w *world) count(team string) int {
	if a := w.admitted[team]; a != nil {
		return a.n
	}
	return 0
}

func teamsWithRates(rates ...float64) map[string]config.Team {
	teams := map[string]config.Team{}
	for i, r := range rates {
		name := fmt.Sprintf("t%d", i)
		teams[name] = config.Team{Name: name, Rate: r, Burst: 2 * r, Weight: 1}
	}
	return teams
}

// offerLoad offers Poisson arrivals of a team. choose returns the instance for each request.
func (w *world) offerLoad(team string, rate func() float64, choose func() *process, done func(p *process) func(bool)) {
	var wait func()
	next := func() {
		if p := choose(); p != nil {
			var d func(bool)
			if done != nil {
				d = done(p)
			}
			p.schedule(0, func() { p.offerRequest(team, d) })
		}
		wait()
	}
	// Waits are memoryless, so a long wait is cut off and drawn again to follow changes of
	// the rate.
	wait = func() {
		const maxWait = 20 * time.Millisecond
		if r := rate(); r > 0 {
			if d := time.Duration(w.rng.ExpFloat64() / r * float64(time.Second)); d < maxWait {
				w.after(d, next)
				return
			}
		}
		w.after(maxWait, wait)
	}
	wait()
}

// randomProcess returns a live instance, each with equal probability unless one is favoured.
func (w *world) randomProcess() *process {
	if p := w.favoured; p != nil && !p.dead && w.rng.IntN(10) > 0 {
		return p
	}
	for range 100 {
		if p := w.processes[w.rng.IntN(len(w.processes))]; !p.dead {
			return p
		}
	}
	return nil
}

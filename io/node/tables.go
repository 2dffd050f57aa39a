package node

// Tables mirror the objects of the store. Each instance watches the store itself, and
// requests tables from other instances while the store does not answer. The stamp of a table
// never decreases: an older copy is ignored.

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

// mirroredKinds are the kinds of which each instance keeps a table.
var mirroredKinds = []Kind{KindPolicy, KindOutDomain, KindUpstream, KindInstance}

const (
	// watchTimeout bounds one watch by an instance that is not a watcher of its failure
	// domain. If the store stops reporting changes to such an instance, it learns of them
	// from peers.
	watchTimeout = 15 * time.Second
	// callTimeout bounds other calls of the store and of peers. The store answers in
	// milliseconds.
	callTimeout = 1200 * time.Millisecond
	// storeRetryInterval is the mean time between attempts while the store does not answer.
	storeRetryInterval = 400 * time.Millisecond
	// replanInterval is the time after which an instance that waits to list a table checks
	// whether it has become a watcher.
	replanInterval = 500 * time.Millisecond
	// vanishedGrace is the time for which an upstream stays in use after its entry
	// disappeared. Entries that expired during a store outage are back within two seconds.
	vanishedGrace = 2500 * time.Millisecond
)

// Table is a copy of all objects of a kind.
type Table struct {
	Kind Kind
	// Revision is the store's revision that the copy shows, and Era its era then.
	Revision uint64
	Objects  map[string]Object
	// Digest is a hash of the names and revisions of the objects. Builds that know no eras
	// compare it.
	Digest uint64
	Era    uint64
	// Content is a hash of the names, revisions and contents of the objects.
	Content uint64
}

// stamp returns the point in the history of the store that the copy shows.
func (t Table) stamp() Stamp { return Stamp{t.Era, t.Revision} }

// revisionDigest hashes the names and revisions of objects. Their order does not matter.
func revisionDigest(k Kind, objects map[string]Object) uint64 {
	sum := xxhash.Sum64String(string(k))
	for name, o := range objects {
		sum += xxhash.Sum64String(string(k) + "\x00" + name + "\x00" + strconv.FormatUint(o.Revision, 16))
	}
	return sum
}

// contentDigest hashes the names, revisions and contents of objects. Their order does not
// matter. It is never 0.
func contentDigest(k Kind, objects map[string]Object) uint64 {
	sum := xxhash.Sum64String(string(k))
	for name, o := range objects {
		d := xxhash.NewWithSeed(xxhash.Sum64String(name) + o.Revision)
		d.Write(o.Data)
		sum += d.Sum64()
	}
	return max(sum, 1)
}

// tables holds an instance's copies of the store's objects.
type tables struct {
	store Store
	log   logr.Logger
	now   func() time.Time
	// onChange is called after each change of a table, without the lock.
	onChange func(Kind)
	// refreshPlan returns how a table is kept up to date.
	refreshPlan func(Kind) refresh
	// mayListStale reports whether the first list of a kind may be seconds old.
	mayListStale func(Kind) bool
	contents     *contents // recent contents of large objects

	mu              sync.Mutex
	byKind          map[Kind]Table
	removed         map[Kind]removals   // recently removed objects, by kind
	vanished        map[string]vanished // upstreams that disappeared a short time ago, by name
	firstEra        uint64              // the first era that was seen
	lost            map[Kind]lostObjects
	unansweredSince map[Kind]time.Time // since when the store has not answered, by kind
	lastAnswer      time.Time          // time of the store's newest answer
	returnedAt      time.Time          // when the store last answered after calls without an answer
	watchedSince    map[Kind]time.Time // when the watch under way began, by kind
}

// refresh describes how the next change of a table is found. After a pause, the table is
// either watched for up to wait or, with listOnly, listed from a copy that may be old.
type refresh struct {
	pause, wait time.Duration
	// limit bounds the wait of a watch that is under way, which may have begun when the
	// instance could wait for longer. There is no limit if it is 0.
	limit    time.Duration
	listOnly bool
}

// vanished is an upstream whose entry disappeared from the registry, and when.
type vanished struct {
	object Object
	at     time.Time
}

func newTables(s Store, log logr.Logger, now func() time.Time) *tables {
	return &tables{
		store: s, log: log, now: now, contents: newContents(), byKind: make(map[Kind]Table), mayListStale: func(Kind) bool { return false },
		removed: make(map[Kind]removals), lost: make(map[Kind]lostObjects), vanished: make(map[string]vanished), unansweredSince: make(map[Kind]time.Time),
		watchedSince: make(map[Kind]time.Time),
	}
}

// get returns the copy of a kind. Its revision is 0 if there is no copy yet.
func (t *tables) get(k Kind) Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byKind[k]
}

// upstreams returns the registry's entries, including those that disappeared less than
// vanishedGrace ago.
func (t *tables) upstreams() map[string]Object {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := maps.Clone(t.byKind[KindUpstream].Objects)
	if out == nil {
		out = make(map[string]Object)
	}
	now := t.now()
	for name, v := range t.vanished {
		if now.Sub(v.at) >= vanishedGrace {
			delete(t.vanished, name)
		} else if _, back := out[name]; !back {
			out[name] = v.object
		}
	}
	return out
}

// sawEraBefore reports whether this instance has seen an earlier era than the given one.
func (t *tables) sawEraBefore(era uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstEra > 0 && t.firstEra < era
}

// complete reports whether there is a copy of each kind.
func (t *tables) complete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range mirroredKinds {
		if t.byKind[k].Revision == 0 {
			return false
		}
	}
	return true
}

// install replaces a copy by a newer one from the store or a peer, and reports whether the
// content differs.
func (t *tables) install(next Table) bool {
	t.mu.Lock()
	before := t.byKind[next.Kind]
	if !next.stamp().after(before.stamp()) {
		t.mu.Unlock()
		return false
	}
	if next.Era == 0 {
		next.Era = before.Era
	}
	if t.firstEra == 0 {
		t.firstEra = next.Era
	}
	if next.Era != before.Era && before.Revision > 0 {
		t.log.Info("store: came back from a copy", "kind", next.Kind, "era", next.Era, "before", before.Era, "revision", next.Revision, "since", before.Revision)
	}
	t.trackLost(before, next)
	if next.Kind == KindUpstream {
		t.recordVanished(before, next)
	}
	next.Digest, next.Content = revisionDigest(next.Kind, next.Objects), contentDigest(next.Kind, next.Objects)
	t.removed[next.Kind] = t.removed[next.Kind].updated(before, next)
	t.byKind[next.Kind] = next
	t.mu.Unlock()
	for _, o := range next.Objects {
		t.contents.keep(o.Data)
	}
	if before.Content != next.Content || before.Revision == 0 {
		t.onChange(next.Kind)
		return true
	}
	return false
}

// recordVanished records the upstreams whose entries have disappeared. The caller holds the
// lock.
func (t *tables) recordVanished(before, next Table) {
	for name, o := range before.Objects {
		if _, ok := next.Objects[name]; !ok {
			t.vanished[name] = vanished{o, t.now()}
			t.log.Info("registry: entry disappeared", "upstream", name, "revision", next.Revision)
			time.AfterFunc(vanishedGrace, func() { t.onChange(KindUpstream) })
		}
	}
	for name := range next.Objects {
		delete(t.vanished, name)
	}
}

// TableVersion identifies the copy of a table that an instance has. Builds that know no eras
// leave out the last two fields.
type TableVersion struct{ Revision, Digest, Era, Content uint64 }

// describes reports whether the version is that of a copy with the same objects.
func (v TableVersion) describes(t Table) bool {
	if v.Content == 0 {
		return v.Digest == t.Digest
	}
	return v.Content == t.Content
}

// Sums are digests of all tables of an instance.
type Sums struct {
	// Sum covers the names and revisions of the objects, Content also their contents. Builds
	// that know no eras leave out Content.
	Sum, Content uint64
}

// differ reports whether two instances have different objects in their tables.
func (a Sums) differ(b Sums) bool {
	if a.Content == 0 || b.Content == 0 {
		return a.Sum != b.Sum
	}
	return a.Content != b.Content
}

// sums returns digests of all tables.
func (t *tables) sums() Sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Sums
	for _, table := range t.byKind {
		out.Sum += table.Digest
		out.Content += table.Content
	}
	return out
}

// versions returns the versions of all copies.
func (t *tables) versions() map[Kind]TableVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[Kind]TableVersion, len(mirroredKinds))
	for k, table := range t.byKind {
		out[k] = TableVersion{table.Revision, table.Digest, table.Era, table.Content}
	}
	return out
}

// silentFor returns how long the store has not answered, or 0 if it does answer.
func (t *tables) silentFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var longest time.Duration
	for _, at := range t.unansweredSince {
		longest = max(longest, t.now().Sub(at))
	}
	return longest
}

// keepCurrent keeps the copy of a kind up to date until the context ends.
func (t *tables) keepCurrent(ctx context.Context, k Kind) {
	var listed bool
	lost := 0 // watches without history since the last one that succeeded
	for ctx.Err() == nil {
		watches := listed
		err := t.refreshOnce(ctx, k, &listed)
		t.recordOutcome(k, err)
		pause := storeRetryInterval/2 + rand.N(storeRetryInterval)
		switch {
		case errors.Is(err, ErrHistoryLost):
			if lost++; lost > 1 {
				sleep(ctx, pause)
			}
		case err != nil:
			sleep(ctx, pause)
		case watches:
			lost = 0
		}
	}
}

// recordOutcome records whether the store answers.
func (t *tables) recordOutcome(k Kind, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	at, lost := t.unansweredSince[k]
	switch {
	case err == nil || errors.Is(err, ErrHistoryLost):
		t.lastAnswer = now
		if lost {
			delete(t.unansweredSince, k)
			t.returnedAt = now
			t.log.Info("store: answers again", "kind", k, "after", now.Sub(at))
		}
	case !lost && !errors.Is(err, context.Canceled):
		t.unansweredSince[k] = now
		t.log.Info("store: no answer", "kind", k, "err", err.Error())
	}
}

// refreshOnce lists the kind on its first successful call and looks for one change on each
// later call.
func (t *tables) refreshOnce(ctx context.Context, k Kind, listed *bool) error {
	if !*listed && t.get(k).Revision == 0 && t.mayListStale(k) {
		next, err := t.readList(ctx, k, t.store.ListStale)
		if *listed = err == nil; err == nil {
			t.install(next)
		}
		return err
	}
	if !*listed {
		err := t.installList(ctx, k)
		*listed = err == nil
		return err
	}
	r := t.awaitRefresh(ctx, k)
	if r.listOnly {
		next, err := t.readList(ctx, k, t.store.ListStale)
		switch {
		case err != nil:
		case next.Era != t.get(k).Era:
			*listed = false // the list may be from before the beginning of an era
		default:
			t.install(next)
		}
		return err
	}
	if t.unanswered(k) {
		r.wait = 0
	}
	before := t.get(k)
	events, stamp, err := t.watch(ctx, k, before.Revision, r.wait)
	if errors.Is(err, errOverdue) {
		before = t.get(k)
		events, stamp, err = t.watch(ctx, k, before.Revision, 0)
	}
	if err == nil && stamp.Era != before.Era {
		err = ErrHistoryLost // the events follow on a revision of another era
	}
	if errors.Is(err, ErrHistoryLost) {
		t.log.Info("store: history lost, listing again", "kind", k, "since", before.Revision, "era", before.Era)
		*listed = false
		return err
	}
	if err != nil {
		return err
	}
	next := Table{Kind: k, Era: before.Era, Revision: max(stamp.Revision, before.Revision), Objects: maps.Clone(before.Objects)}
	for _, e := range events {
		if e.Deleted {
			delete(next.Objects, e.Object.Name)
		} else {
			next.Objects[e.Object.Name] = e.Object
		}
	}
	t.install(next)
	return nil
}

// awaitRefresh waits for the time of the next refresh and returns how the table is refreshed.
// An instance that becomes a watcher meanwhile begins to watch at once.
func (t *tables) awaitRefresh(ctx context.Context, k Kind) refresh {
	r := t.refreshPlan(k)
	for rest := r.pause; rest > 0 && ctx.Err() == nil; rest -= replanInterval {
		sleep(ctx, min(rest, replanInterval))
		if next := t.refreshPlan(k); r.listOnly && !next.listOnly {
			return next
		}
	}
	return r
}

// readList returns the result of a list call as a table.
func (t *tables) readList(ctx context.Context, k Kind, list func(context.Context, Kind) ([]Object, Stamp, error)) (Table, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, stamp, err := list(ctx, k)
	if err != nil {
		return Table{}, err
	}
	next := Table{Kind: k, Era: stamp.Era, Revision: stamp.Revision, Objects: make(map[string]Object, len(objects))}
	for _, o := range objects {
		next.Objects[o.Name] = o
	}
	return next, nil
}

// installList lists a kind and installs the result.
func (t *tables) installList(ctx context.Context, k Kind) error {
	next, err := t.readList(ctx, k, t.store.List)
	if err == nil {
		t.install(next)
	}
	return err
}

// sleep returns when the time has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

package load

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/route"
	"burdockseam/io/fleet"
	"burdockseam/io/instance"
)

// fakeCluster has one instance, of which only the status can be read.
type fakeCluster struct {
	inProcessCluster
	endpoint Endpoint
}

func (f fakeCluster) Endpoints() []Endpoint { return []Endpoint{f.endpoint} }

// newRunWithRevisions returns a run whose instance reports the revisions one after the
// other, and then the last one again.
func newRunWithRevisions(t *testing.T, revisions ...uint64) *Run {
	t.Helper()
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		i := min(int(calls.Add(1)), len(revisions)) - 1
		if err := json.NewEncoder(w).Encode(instance.Status{Revision: revisions[i]}); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(s.Close)
	return &Run{
		cluster:    fakeCluster{endpoint: Endpoint{Name: "x", Operator: strings.TrimPrefix(s.URL, "http://")}},
		violations: make(map[Promise]int), started: time.Now(),
	}
}

// Guards against watchRevisions overlooking an instance whose revision decreases.
func TestRevertedRevisionCounts(t *testing.T) {
	r := newRunWithRevisions(t, 3, 4, 2, 4)
	ctx, cancel := context.WithTimeout(context.Background(), 10*pollInterval)
	defer cancel()
	r.watchRevisions(ctx)
	if r.violations[RevertedRevisions] != 1 {
		t.Errorf("%d reverted revisions were counted, want 1", r.violations[RevertedRevisions])
	}
}

// Guards against an accepted revision that never comes into force and is not counted as
// late.
func TestLateRevisionCounts(t *testing.T) {
	r := newRunWithRevisions(t, 3)
	r.awaitInForce(context.Background(), 4)
	if r.violations[LateRevisions] != 1 {
		t.Errorf("%d late revisions were counted, want 1", r.violations[LateRevisions])
	}
	if r.awaitInForce(context.Background(), 3); r.violations[LateRevisions] != 1 {
		t.Error("a revision that is in force was counted as late")
	}
	if !lostChange("burst = 5", "burst = 4") || lostChange("burst = 5", "burst = 6") {
		t.Error("a lost change is not distinguished from a newer one")
	}
}

// executeScenario runs a scenario at 300 requests/s on the deployment Saajghar.
func executeScenario(t *testing.T, o Options) Result {
	t.Helper()
	o.Deployment, o.Rate, o.Seed, o.Log = fleet.Deployments[fleet.Saajghar], 300, 1, logr.Discard()
	res, err := Execute(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// Guards against checks that count nothing in a real run. The baselines, which give up
// acknowledgements by a majority or reads with a session, must break promises.
func TestBaselinesBreakPromises(t *testing.T) {
	t.Run("acknowledgement by the primary alone", func(t *testing.T) {
		r := executeScenario(t, Options{Scenario: "primary-cut", Length: 5 * time.Second, Lag: 400 * time.Millisecond, Acks: instance.AckPrimary})
		if r.BrokenPromises[LostWrites] == 0 || r.BrokenPromises[OldPrimaryAcks] == 0 {
			t.Errorf("lost writes %d, acknowledgements by an old primary %d, want some of both", r.BrokenPromises[LostWrites], r.BrokenPromises[OldPrimaryAcks])
		}
	})
	t.Run("reads at any replica", func(t *testing.T) {
		r := &Run{Options: Options{
			Deployment: fleet.Deployments[fleet.Saajghar], Reads: route.ModeAny, Log: logr.Discard(),
		}, written: make(map[string][]Event), started: time.Now()}
		ctx := context.Background()
		if err := r.start(ctx); err != nil {
			t.Fatal(err)
		}
		defer r.Fleet.Close()
		r.setReplicaLag(time.Minute)
		c := &caller{run: r, pool: pools(r.Deployment)[0], name: "c", random: rand.New(rand.NewPCG(1, 1))}
		defer c.disconnect()
		for range 100 {
			c.perform(ctx, arrival{kind: KindWrite})
			c.disconnect()
			c.perform(ctx, arrival{kind: KindRead})
		}
		if Check(r.events, Evidence{})[StaleReads] == 0 {
			t.Error("no stale read was counted")
		}
	})
}

// Guards against checks that overlook work at an upstream that should get no more. With a
// bound of 0, the work until the change is in force must be counted.
func TestWorkAfterChangesCounts(t *testing.T) {
	for scenario, want := range map[string]Promise{
		"domain-out": OutDomainWork, "upstream-leaving": LeavingUpstreamWork,
	} {
		t.Run(scenario, func(t *testing.T) {
			s, ok := FindScenario(scenario)
			if !ok {
				t.Fatal("the scenario does not exist")
			}
			r := &Run{Options: Options{
				Deployment: fleet.Deployments[fleet.Saajghar], Length: 3 * time.Second, Rate: 400, Seed: 1, Log: logr.Discard(),
			}, scenario: s, written: make(map[string][]Event), violations: make(map[Promise]int)}
			ctx := context.Background()
			if err := r.start(ctx); err != nil {
				t.Fatal(err)
			}
			defer r.Fleet.Close()
			if err := r.sendLoad(ctx); err != nil {
				t.Fatal(err)
			}
			if r.violations[want] == 0 {
				t.Errorf("%s: 0 counted, want some", want)
			}
		})
	}
}

// Guards against tryWrongKeys overlooking a wrong key that works. The keys of two teams are
// exchanged in the tool's table, so that logins which the tool takes for wrong succeed.
func TestWrongKeyCounts(t *testing.T) {
	r := &Run{Options: Options{Deployment: fleet.Deployments[fleet.Ensayo], Log: logr.Discard()}, violations: make(map[Promise]int)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := r.start(ctx); err != nil {
		t.Fatal(err)
	}
	defer r.Fleet.Close()
	a, b := r.Deployment.Teams[0].Name, r.Deployment.Teams[1].Name
	r.Fleet.Keys[a], r.Fleet.Keys[b] = r.Fleet.Keys[b], r.Fleet.Keys[a]
	ctx, stop := context.WithTimeout(ctx, 10*pollInterval)
	defer stop()
	r.tryWrongKeys(ctx)
	if r.violations[WrongTeamWork] == 0 {
		t.Error("no work for a wrong key was counted, want some")
	}
}

// Guards against a schedule that differs between two runs with one seed, and against a
// total or a hot team's demand that differs from the rates.
func TestSchedule(t *testing.T) {
	list := pools(fleet.Deployments[fleet.Ensayo])
	a := schedule(1, list, 300, 10*time.Second, surge{})
	if !slices.Equal(a, schedule(1, list, 300, 10*time.Second, surge{})) {
		t.Error("two schedules with the same seed differ")
	}
	if len(a) < 2700 || len(a) > 3300 {
		t.Errorf("%d arrivals, want about 3000", len(a))
	}
	hot := schedule(1, list, 300, 10*time.Second, surge{team: "equipment", factor: 10, from: 0, to: 10 * time.Second})
	if extra := len(hot) - len(a); extra < 3700 || extra > 4300 {
		t.Errorf("%d more arrivals with a hot team, want about 4000", extra)
	}
}

// Guards against a lost connection that counts as a refusal, and against a rollback by the
// caller that counts as an error.
func TestOutcome(t *testing.T) {
	for _, c := range []struct {
		err    error
		want   Outcome
		reason string
	}{
		{nil, OutcomeDone, ""},
		{errors.New("reset"), OutcomeUnknown, "the connection was lost"},
		{errClosed, OutcomeNotRun, reasonClosed},
		{&abortError{}, OutcomeNotRun, reasonRolledBack},
		{uncommitted(errors.New("reset")), OutcomeNotRun, reasonAborted},
	} {
		if o, reason := classifyError(c.err); o != c.want || reason != c.reason {
			t.Errorf("%v: %s %q, want %s %q", c.err, o, reason, c.want, c.reason)
		}
	}
}

// Guards against a check of rows that overlooks the response to another request.
func TestForeignAnswerIsSeen(t *testing.T) {
	row := func(id, state string) [][]byte { return [][]byte{[]byte(id), []byte(state)} }
	for _, c := range []struct {
		rows [][][]byte
		want bool
	}{
		{nil, false},
		{[][][]byte{row("a", "s-a")}, false},
		{[][][]byte{row("b", "s-b")}, true},
		{[][][]byte{row("a", "s-b")}, true},
		{[][][]byte{row("a", "s-a"), row("a", "s-a")}, true},
	} {
		if got := hasForeignRow(c.rows, "a"); got != c.want {
			t.Errorf("rows %q: foreign %v, want %v", c.rows, got, c.want)
		}
	}
}

// Guards against a use of a withdrawn key after the bound that is not counted.
func TestWithdrawnKeyCounts(t *testing.T) {
	r := &Run{violations: make(map[Promise]int), bounds: bounds{key: KeyBound}}
	r.checkKeyUse("x", KeyBound-time.Second)
	if r.violations[WithdrawnKeyWork] != 0 {
		t.Error("a use within the bound was counted")
	}
	if r.checkKeyUse("x", KeyBound+time.Second); r.violations[WithdrawnKeyWork] != 1 {
		t.Error("a use after the bound was not counted")
	}
}

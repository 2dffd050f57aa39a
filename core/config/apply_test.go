package config

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"iter"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeStore is an in-memory store with fault injection. faultFor selects the fault of
// each call:
//
//	""      the call succeeds
//	"out"   the call fails without effect
//	"lost"  the call takes effect, but its response is lost
//	"late"  the call fails and takes effect later, when the test runs delayedPuts
//
// A Get fails with any of the faults.
type fakeStore struct {
	values        map[string][]byte
	versions      map[string]uint64
	delayedPuts   []func() // effects of Puts with the fault "late" that are still to come
	acceptedHeads []Head   // all heads written so far, oldest first
	faultFor      func(call, key string) string
	puts          int
}

var errNoResponse = errors.New("the store does not respond")

func newFakeStore() *fakeStore {
	return &fakeStore{values: map[string][]byte{}, versions: map[string]uint64{}, faultFor: func(string, string) string { return "" }}
}

func (s *fakeStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	if s.faultFor("get", key) != "" || ctx.Err() != nil {
		return nil, 0, errNoResponse
	}
	return s.values[key], s.versions[key], nil
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	kind := s.faultFor("put", key)
	if kind == "out" || ctx.Err() != nil {
		return 0, errNoResponse
	}
	if len(value) > MaxValueBytes {
		return 0, errors.New("the value is too large")
	}
	effect := func() error {
		if s.versions[key] != ifVersion {
			return ErrVersionMismatch
		}
		s.puts++
		s.values[key], s.versions[key] = value, ifVersion+1
		if key == HeadKey {
			h, err := DecodeHead(value)
			if err != nil {
				panic(err)
			}
			s.acceptedHeads = append(s.acceptedHeads, h)
		}
		return nil
	}
	if kind == "late" {
		s.delayedPuts = append(s.delayedPuts, func() { _ = effect() })
		return 0, errNoResponse
	}
	if err := effect(); err != nil && kind == "" {
		return 0, err
	}
	if kind == "lost" {
		return 0, errNoResponse
	}
	return ifVersion + 1, nil
}

func newTestClient(s Store) Client {
	return Client{Store: s, Pause: func(ctx context.Context, _ int) error { return ctx.Err() }}
}

func newChangeInfo(op string) ChangeInfo {
	return ChangeInfo{Op: op, Author: "a", Time: time.Unix(1e9, 0)}
}

func domainFile(n int, region string) File {
	return File{fmt.Sprintf("d%d.ini", n), fmt.Appendf(nil, "[domain d%d]\nregion = %s\n", n, region)}
}

func mustApply(t *testing.T, c Client, op string, base uint64, files ...File) Result {
	t.Helper()
	r, err := c.Apply(t.Context(), Request{newChangeInfo(op), base, files})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestApply guards against a change that is lost, applied twice or combined wrongly with
// another when operators race, the store fails or responses are lost.
func TestApply(t *testing.T) {
	ctx := t.Context()
	s := newFakeStore()
	c := newTestClient(s)
	mustApply(t, c, "1", 0, domainFile(0, "r"), domainFile(1, "r"))
	if r := mustApply(t, c, "2", 1, domainFile(0, "x"), domainFile(1, "r")); r.Revision != 2 {
		t.Errorf("Apply made revision %d, want 2", r.Revision)
	}
	t.Run("changes of different files merge", func(t *testing.T) {
		r := mustApply(t, c, "3", 1, domainFile(0, "r"), domainFile(1, "y"))
		if r.Revision != 3 || r.Config.Domains["d0"].Region != "x" || r.Config.Domains["d1"].Region != "y" {
			t.Errorf("result %+v", r)
		}
	})
	t.Run("changes of the same file conflict", func(t *testing.T) {
		var conflict ConflictError
		_, err := c.Apply(ctx, Request{newChangeInfo("4"), 1, []File{domainFile(0, "z"), domainFile(1, "r")}})
		if !errors.As(err, &conflict) || !slices.Equal(conflict.Files, []string{"d0.ini"}) {
			t.Errorf("error %v, want a conflict in d0.ini", err)
		}
	})
	t.Run("repeated operation is applied once", func(t *testing.T) {
		if r := mustApply(t, c, "2", 1, domainFile(0, "x"), domainFile(1, "r")); r.Revision != 2 || len(s.acceptedHeads) != 3 {
			t.Errorf("revision %d, %d heads; want 2 and 3", r.Revision, len(s.acceptedHeads))
		}
	})
	t.Run("invalid configuration is rejected", func(t *testing.T) {
		var faults FaultsError
		_, err := c.Apply(ctx, Request{newChangeInfo("5"), 3, []File{domainFile(0, "x"), domainFile(1, "!")}})
		if !errors.As(err, &faults) || len(s.acceptedHeads) != 3 {
			t.Errorf("error %v, %d heads; want a FaultsError and 3 heads", err, len(s.acceptedHeads))
		}
	})
	t.Run("lost response is recovered", func(t *testing.T) {
		for _, kind := range []string{"lost", "late"} {
			lost := 0
			s.faultFor = func(call, key string) string {
				if call == "put" && key == HeadKey && lost == 0 {
					lost++
					return kind
				}
				return ""
			}
			n := len(s.acceptedHeads)
			r := mustApply(t, c, "6"+kind, uint64(n), domainFile(0, kind), domainFile(1, "y"))
			for _, effect := range s.delayedPuts {
				effect()
			}
			if len(s.acceptedHeads) != n+1 || r.Revision != uint64(n+1) {
				t.Errorf("%s: revision %d, %d heads, want %d", kind, r.Revision, len(s.acceptedHeads), n+1)
			}
		}
	})
	t.Run("repeat after an outage", func(t *testing.T) {
		for stop := 1; stop < 12; stop++ {
			calls, n := 0, len(s.acceptedHeads)
			s.faultFor = func(string, string) string {
				if calls++; calls > stop {
					return "out"
				}
				return ""
			}
			request := Request{newChangeInfo(fmt.Sprint("7-", stop)), uint64(n), []File{domainFile(0, fmt.Sprint("r", stop)), domainFile(1, "y")}}
			_, err := c.Apply(ctx, request)
			s.faultFor = func(string, string) string { return "" }
			accepted := len(s.acceptedHeads) > n
			if (err == nil) != accepted {
				t.Errorf("outage after %d calls: error %v, accepted %v", stop, err, accepted)
			}
			if r, err := c.Apply(ctx, request); err != nil || r.Revision != uint64(n+1) || len(s.acceptedHeads) != n+1 {
				t.Errorf("outage after %d calls: the repeated Apply returns %+v, %v", stop, r, err)
			}
		}
	})
	t.Run("outcome is unknown", func(t *testing.T) {
		n, lost := len(s.acceptedHeads), false
		s.faultFor = func(call, key string) string {
			if lost {
				return "out"
			}
			if lost = call == "put" && key == HeadKey; lost {
				return "lost"
			}
			return ""
		}
		if _, err := c.Apply(ctx, Request{newChangeInfo("8"), uint64(n), []File{domainFile(0, "u"), domainFile(1, "y")}}); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("error %v, want ErrOutcomeUnknown", err)
		}
		s.faultFor = func(string, string) string { return "" }
	})
	t.Run("revert is a new revision", func(t *testing.T) {
		n := uint64(len(s.acceptedHeads))
		r, err := c.Revert(ctx, 1, newChangeInfo("9"))
		if err != nil || r.Revision != n+1 || r.Config.Domains["d0"].Region != "r" || r.Config.Domains["d1"].Region != "r" {
			t.Errorf("result %+v, %v", r, err)
		}
	})
	t.Run("old operation is recognized", func(t *testing.T) {
		for i := range MaxOps + 1 {
			mustApply(t, c, fmt.Sprint("x", i), uint64(len(s.acceptedHeads)), domainFile(0, fmt.Sprint("x", i)), domainFile(1, "r"))
		}
		n := len(s.acceptedHeads)
		if r := mustApply(t, c, "2", 1, domainFile(0, "x"), domainFile(1, "r")); r.Revision != 2 || len(s.acceptedHeads) != n {
			t.Errorf("revision %d, %d heads; want 2 and %d", r.Revision, len(s.acceptedHeads), n)
		}
	})
}

// TestSizeLimits guards against accepting a folder that does not fit into the store, and
// against rejecting a folder within the limits.
func TestSizeLimits(t *testing.T) {
	s := newFakeStore()
	c := newTestClient(s)
	big := append([]byte("[domain d]\nregion = r\n"), []byte(strings.Repeat("#\n", MaxFileBytes))[:MaxFileBytes-22]...)
	mustApply(t, c, "1", 0, File{"big.ini", big})
	if _, err := c.Apply(t.Context(), Request{newChangeInfo("2"), 1, []File{{"big.ini", append(big, '\n')}}}); err == nil {
		t.Error("a file larger than MaxFileBytes was accepted")
	}
	files := make([]File, MaxFiles)
	for i := range files {
		name := fmt.Sprintf("%s%04d.ini", strings.Repeat("n", MaxNameBytes-8), i)
		files[i] = File{name, fmt.Appendf(nil, "[domain d%d]\nregion = r\n", i)}
	}
	r := mustApply(t, c, "3", 1, files...)
	if len(r.Config.Domains) != MaxFiles {
		t.Errorf("%d domains, want one per file", len(r.Config.Domains))
	}
	t.Logf("head of %d files: %d bytes", MaxFiles, len(s.values[HeadKey]))
	puts := s.puts
	files[0].Data = []byte("[domain d0]\nregion = x\n")
	mustApply(t, c, "4", 2, files...)
	if s.puts-puts != 3 {
		t.Errorf("a change of one file took %d writes, want 3", s.puts-puts)
	}
	if _, err := c.Apply(t.Context(), Request{newChangeInfo("5"), 3, append(files, domainFile(9999, "r"))}); err == nil {
		t.Error("more than MaxFiles files were accepted")
	}
}

// scheduledStore suspends an operator before each store call until the test's schedule
// resumes the operator. If yield returns false, the client has died.
type scheduledStore struct {
	*fakeStore
	yield func() bool
}

func (s scheduledStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	if !s.yield() {
		return nil, 0, errNoResponse
	}
	return s.fakeStore.Get(ctx, key)
}

func (s scheduledStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if !s.yield() {
		return 0, errNoResponse
	}
	return s.fakeStore.Put(ctx, key, value, ifVersion)
}

// TestApplySchedules guards against an accepted revision that is lost, reverted or
// applied twice. The test draws schedules of concurrent operators, client deaths and
// store faults.
func TestApplySchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		files := []File{domainFile(0, "r"), domainFile(1, "r"), domainFile(2, "r")}
		if _, err := newTestClient(s).Apply(context.Background(), Request{newChangeInfo("first"), 0, files}); err != nil {
			t.Fatal(err)
		}
		s.faultFor = func(call, _ string) string {
			return rapid.SampledFrom([]string{"", "", "", "", "", "out", "lost", "late"}).Draw(t, call)
		}
		// outcome is an operator's change and what its Apply returned, if its client lived.
		type outcome struct {
			file   int
			region string
			result Result
			err    error
			died   bool
		}
		outcomes := map[string]*outcome{}
		var running []func() (struct{}, bool)
		var stops []func()
		for i := range rapid.IntRange(2, 6).Draw(t, "operators") {
			op, o := fmt.Sprint("op", i), &outcome{file: rapid.IntRange(0, 2).Draw(t, "file"), region: fmt.Sprint("r", i), died: true}
			outcomes[op] = o
			next, stop := iter.Pull(func(yield func(struct{}) bool) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				alive := true
				c := newTestClient(scheduledStore{s, func() bool {
					if alive = alive && yield(struct{}{}); !alive {
						cancel()
					}
					return alive
				}})
				changed := slices.Clone(files)
				changed[o.file] = domainFile(o.file, o.region)
				o.result, o.err = c.Apply(ctx, Request{newChangeInfo(op), 1, changed})
				o.died = !alive
			})
			running, stops = append(running, next), append(stops, stop)
		}
		for len(running) > 0 {
			i := rapid.IntRange(0, len(running)-1).Draw(t, "turn")
			unfinished := true
			switch rapid.IntRange(0, 29).Draw(t, "step") {
			case 0: // the client dies
				stops[i]()
				unfinished = false
			case 1, 2: // a delayed Put takes effect
				if len(s.delayedPuts) > 0 {
					s.delayedPuts[0]()
					s.delayedPuts = s.delayedPuts[1:]
				}
			default: // the operator makes its next store call
				_, unfinished = running[i]()
			}
			if !unfinished {
				running, stops = slices.Delete(running, i, i+1), slices.Delete(stops, i, i+1)
			}
		}
		for _, effect := range s.delayedPuts {
			effect()
		}
		s.faultFor = func(string, string) string { return "" }

		// Replaying the entries from the first must reproduce each accepted head.
		entries, err := newTestClient(s).History(context.Background(), 1000)
		if err != nil || len(entries) != len(s.acceptedHeads) {
			t.Fatalf("%d entries for %d heads, error %v", len(entries), len(s.acceptedHeads), err)
		}
		slices.Reverse(entries)
		replayed, revisions := map[string]string{}, map[string]uint64{}
		for i, e := range entries {
			for name, hash := range e.Before {
				if replayed[name] != hash {
					t.Fatalf("revision %d replaced a content of %s that the previous revision did not have", e.Revision, name)
				}
				delete(replayed, name)
			}
			maps.Copy(replayed, e.After)
			if revisions[e.Op] != 0 || e.Revision != uint64(i+1) || !maps.Equal(replayed, s.acceptedHeads[i].Files) || s.acceptedHeads[i].Revision != e.Revision {
				t.Fatalf("entry %+v does not match head %+v", e, s.acceptedHeads[i])
			}
			revisions[e.Op] = e.Revision
			if o := outcomes[e.Op]; o != nil && (len(e.After) != 1 || e.After[files[o.file].Name] != Hash(domainFile(o.file, o.region).Data)) {
				t.Fatalf("entry %+v does not contain the change %+v", e, o)
			}
		}
		for op, o := range outcomes {
			switch {
			case o.died || errors.Is(o.err, ErrOutcomeUnknown):
			case o.err == nil && (!o.result.Changed || revisions[op] != o.result.Revision):
				t.Fatalf("%s returned revision %d; the store has %d", op, o.result.Revision, revisions[op])
			case o.err != nil && revisions[op] != 0:
				t.Fatalf("%s returned error %v; the store has revision %d", op, o.err, revisions[op])
			}
		}
	})
}

// TestMain fixes the seed of rapid, so that every run checks the same schedules. The flag
// -rapid.seed selects others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

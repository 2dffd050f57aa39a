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

// fakeStore is a store whose calls can be refused, lose their answer after the
// effect, or take effect later.
type fakeStore struct {
	values   map[string][]byte
	versions map[string]uint64
	late     []func() // effects of Puts that are still under way
	heads    []Head   // all accepted heads
	fault    func(call, key string) string
	puts     int
}

var errLost = errors.New("no answer")

func newStore() *fakeStore {
	return &fakeStore{values: map[string][]byte{}, versions: map[string]uint64{}, fault: func(string, string) string { return "" }}
}

func (s *fakeStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	if s.fault("get", key) != "" || ctx.Err() != nil {
		return nil, 0, errLost
	}
	return s.values[key], s.versions[key], nil
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	f := s.fault("put", key)
	if f == "out" || ctx.Err() != nil {
		return 0, errLost
	}
	if len(value) > MaxValueBytes {
		return 0, errors.New("the value is too large")
	}
	effect := func() error {
		if s.versions[key] != ifVersion {
			return ErrVersion
		}
		s.puts++
		s.values[key], s.versions[key] = value, ifVersion+1
		if key == HeadKey {
			h, err := DecodeHead(value)
			if err != nil {
				panic(err)
			}
			s.heads = append(s.heads, h)
		}
		return nil
	}
	if f == "late" {
		s.late = append(s.late, func() { _ = effect() })
		return 0, errLost
	}
	if err := effect(); err != nil && f == "" {
		return 0, err
	}
	if f == "lost" {
		return 0, errLost
	}
	return ifVersion + 1, nil
}

func client(s Store) Client {
	return Client{Store: s, Pause: func(ctx context.Context, _ int) error { return ctx.Err() }}
}

func note(op string) Note { return Note{Op: op, Author: "a", Time: time.Unix(1e9, 0)} }

func domain(n int, region string) File {
	return File{fmt.Sprintf("d%d.ini", n), fmt.Appendf(nil, "[domain d%d]\nregion = %s\n", n, region)}
}

func mustApply(t *testing.T, c Client, op string, base uint64, files ...File) Result {
	t.Helper()
	r, err := c.Apply(t.Context(), Request{note(op), base, files})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a change that is lost, applied twice, or mixed up when operators
// race, clients die and answers are lost.
func TestApply(t *testing.T) {
	ctx := t.Context()
	s := newStore()
	c := client(s)
	mustApply(t, c, "1", 0, domain(0, "r"), domain(1, "r"))
	if r := mustApply(t, c, "2", 1, domain(0, "x"), domain(1, "r")); r.Revision != 2 {
		t.Errorf("revision %d, want 2", r.Revision)
	}
	t.Run("different files merge", func(t *testing.T) {
		r := mustApply(t, c, "3", 1, domain(0, "r"), domain(1, "y"))
		if r.Revision != 3 || r.Config.Domains["d0"].Region != "x" || r.Config.Domains["d1"].Region != "y" {
			t.Errorf("result %+v", r)
		}
	})
	t.Run("same file conflicts", func(t *testing.T) {
		var conflict ConflictError
		_, err := c.Apply(ctx, Request{note("4"), 1, []File{domain(0, "z"), domain(1, "r")}})
		if !errors.As(err, &conflict) || !slices.Equal(conflict.Files, []string{"d0.ini"}) {
			t.Errorf("error %v, want a conflict in d0.ini", err)
		}
	})
	t.Run("repeated operation", func(t *testing.T) {
		if r := mustApply(t, c, "2", 1, domain(0, "x"), domain(1, "r")); r.Revision != 2 || len(s.heads) != 3 {
			t.Errorf("revision %d, %d heads; want 2 and 3", r.Revision, len(s.heads))
		}
	})
	t.Run("faulty merge", func(t *testing.T) {
		var faults FaultsError
		_, err := c.Apply(ctx, Request{note("5"), 3, []File{domain(0, "x"), domain(1, "!")}})
		if !errors.As(err, &faults) || len(s.heads) != 3 {
			t.Errorf("error %v, %d heads", err, len(s.heads))
		}
	})
	t.Run("lost answer", func(t *testing.T) {
		for _, how := range []string{"lost", "late"} {
			lost := 0
			s.fault = func(call, key string) string {
				if call == "put" && key == HeadKey && lost == 0 {
					lost++
					return how
				}
				return ""
			}
			n := len(s.heads)
			r := mustApply(t, c, "6"+how, uint64(n), domain(0, how), domain(1, "y"))
			for _, effect := range s.late {
				effect()
			}
			if len(s.heads) != n+1 || r.Revision != uint64(n+1) {
				t.Errorf("%s: revision %d, %d heads, want %d", how, r.Revision, len(s.heads), n+1)
			}
		}
	})
	t.Run("outage in the middle", func(t *testing.T) {
		for stop := 1; stop < 12; stop++ {
			calls, n := 0, len(s.heads)
			s.fault = func(string, string) string {
				if calls++; calls > stop {
					return "out"
				}
				return ""
			}
			q := Request{note(fmt.Sprint("7-", stop)), uint64(n), []File{domain(0, fmt.Sprint("r", stop)), domain(1, "y")}}
			_, err := c.Apply(ctx, q)
			s.fault = func(string, string) string { return "" }
			accepted := len(s.heads) > n
			if (err == nil) != accepted {
				t.Errorf("stop %d: error %v, accepted %v", stop, err, accepted)
			}
			if r, err := c.Apply(ctx, q); err != nil || r.Revision != uint64(n+1) || len(s.heads) != n+1 {
				t.Errorf("stop %d: repeat gives %+v, %v", stop, r, err)
			}
		}
	})
	t.Run("outcome unknown", func(t *testing.T) {
		n, lost := len(s.heads), false
		s.fault = func(call, key string) string {
			if lost {
				return "out"
			}
			if lost = call == "put" && key == HeadKey; lost {
				return "lost"
			}
			return ""
		}
		if _, err := c.Apply(ctx, Request{note("8"), uint64(n), []File{domain(0, "u"), domain(1, "y")}}); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("error %v, want ErrUnknown", err)
		}
		s.fault = func(string, string) string { return "" }
	})
	t.Run("revert is a new revision", func(t *testing.T) {
		n := uint64(len(s.heads))
		r, err := c.Revert(ctx, 1, note("9"))
		if err != nil || r.Revision != n+1 || r.Config.Domains["d0"].Region != "r" || r.Config.Domains["d1"].Region != "r" {
			t.Errorf("result %+v, %v", r, err)
		}
	})
	t.Run("old operation", func(t *testing.T) {
		for i := range MaxOps + 1 {
			mustApply(t, c, fmt.Sprint("x", i), uint64(len(s.heads)), domain(0, fmt.Sprint("x", i)), domain(1, "r"))
		}
		n := len(s.heads)
		if r := mustApply(t, c, "2", 1, domain(0, "x"), domain(1, "r")); r.Revision != 2 || len(s.heads) != n {
			t.Errorf("revision %d, %d heads; want 2 and %d", r.Revision, len(s.heads), n)
		}
	})
}

// Guards against a folder that the store cannot hold, and against one inside the
// bounds that is refused.
func TestLargeValues(t *testing.T) {
	s := newStore()
	c := client(s)
	big := append([]byte("[domain d]\nregion = r\n"), []byte(strings.Repeat("#\n", MaxFileBytes))[:MaxFileBytes-22]...)
	mustApply(t, c, "1", 0, File{"big.ini", big})
	if _, err := c.Apply(t.Context(), Request{note("2"), 1, []File{{"big.ini", append(big, '\n')}}}); err == nil {
		t.Error("a file above the bound was accepted")
	}
	files := make([]File, MaxFiles)
	for i := range files {
		name := fmt.Sprintf("%s%04d.ini", strings.Repeat("n", MaxNameBytes-8), i)
		files[i] = File{name, fmt.Appendf(nil, "[domain d%d]\nregion = r\n", i)}
	}
	r := mustApply(t, c, "3", 1, files...)
	if len(r.Config.Domains) != MaxFiles {
		t.Errorf("%d domains", len(r.Config.Domains))
	}
	t.Logf("head of %d files: %d bytes", MaxFiles, len(s.values[HeadKey]))
	puts := s.puts
	files[0].Data = []byte("[domain d0]\nregion = x\n")
	mustApply(t, c, "4", 2, files...)
	if s.puts-puts != 3 {
		t.Errorf("a change of one file took %d writes, want 3", s.puts-puts)
	}
	if _, err := c.Apply(t.Context(), Request{note("5"), 3, append(files, domain(9999, "r"))}); err == nil {
		t.Error("more than MaxFiles files were accepted")
	}
}

// turns makes each store call of an operator one step of the schedule.
type turns struct {
	*fakeStore
	yield func() bool
}

func (s turns) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	if !s.yield() {
		return nil, 0, errLost
	}
	return s.fakeStore.Get(ctx, key)
}

func (s turns) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if !s.yield() {
		return 0, errLost
	}
	return s.fakeStore.Put(ctx, key, value, ifVersion)
}

// Guards against an accepted revision that is lost, reverted or applied twice
// under any schedule of operators, client deaths and store faults.
func TestApplySchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		files := []File{domain(0, "r"), domain(1, "r"), domain(2, "r")}
		if _, err := client(s).Apply(context.Background(), Request{note("first"), 0, files}); err != nil {
			t.Fatal(err)
		}
		s.fault = func(call, _ string) string {
			return rapid.SampledFrom([]string{"", "", "", "", "", "out", "lost", "late"}).Draw(t, call)
		}
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
				c := client(turns{s, func() bool {
					if alive = alive && yield(struct{}{}); !alive {
						cancel()
					}
					return alive
				}})
				mine := slices.Clone(files)
				mine[o.file] = domain(o.file, o.region)
				o.result, o.err = c.Apply(ctx, Request{note(op), 1, mine})
				o.died = !alive
			})
			running, stops = append(running, next), append(stops, stop)
		}
		for len(running) > 0 {
			i := rapid.IntRange(0, len(running)-1).Draw(t, "turn")
			more := true
			switch rapid.IntRange(0, 29).Draw(t, "step") {
			case 0:
				stops[i]()
				more = false
			case 1, 2:
				if len(s.late) > 0 {
					s.late[0]()
					s.late = s.late[1:]
				}
			default:
				_, more = running[i]()
			}
			if !more {
				running, stops = slices.Delete(running, i, i+1), slices.Delete(stops, i, i+1)
			}
		}
		for _, effect := range s.late {
			effect()
		}
		s.fault = func(string, string) string { return "" }

		// The entries, replayed from the first, must give each accepted head.
		entries, err := client(s).History(context.Background(), 1000)
		if err != nil || len(entries) != len(s.heads) {
			t.Fatalf("%d entries for %d heads, error %v", len(entries), len(s.heads), err)
		}
		slices.Reverse(entries)
		state, made := map[string]string{}, map[string]uint64{}
		for i, e := range entries {
			for name, hash := range e.Before {
				if state[name] != hash {
					t.Fatalf("revision %d replaced a content of %s that was not in force", e.Revision, name)
				}
				delete(state, name)
			}
			maps.Copy(state, e.After)
			if made[e.Op] != 0 || e.Revision != uint64(i+1) || !maps.Equal(state, s.heads[i].Files) || s.heads[i].Revision != e.Revision {
				t.Fatalf("entry %+v does not fit head %+v", e, s.heads[i])
			}
			made[e.Op] = e.Revision
			if o := outcomes[e.Op]; o != nil && (len(e.After) != 1 || e.After[files[o.file].Name] != Hash(domain(o.file, o.region).Data)) {
				t.Fatalf("entry %+v does not hold the change %+v", e, o)
			}
		}
		for op, o := range outcomes {
			switch {
			case o.died || errors.Is(o.err, ErrOutcomeUnknown):
			case o.err == nil && (!o.result.Changed || made[op] != o.result.Revision):
				t.Fatalf("%s was told revision %d; the store has %d", op, o.result.Revision, made[op])
			case o.err != nil && made[op] != 0:
				t.Fatalf("%s was told %v; the store has revision %d", op, o.err, made[op])
			}
		}
	})
}

// The seed of rapid is fixed so that every run checks the same schedules; the
// flag -rapid.seed chooses others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

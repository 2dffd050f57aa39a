package upstreamtest

import (
	"context"
	"strconv"
	"strings"
	"time"

	"burdockseam/core/wal"
)

var statusColumns = []string{"role", "fenced_term", "log_term", "log_offset", "following"}

var controlColumns = map[string][]string{
	"group_status":  statusColumns,
	"group_fence":   statusColumns,
	"group_promote": statusColumns,
	"group_follow":  append(statusColumns[:len(statusColumns):len(statusColumns)], "cut"),
}

// errFenced proves that the statement did not run.
var errFenced = fail("BS010", "the upstream is fenced at another term")

// control runs a control function. A call that would change a term that is already
// as wanted changes nothing, so that each step of a promotion can be repeated.
func (u *Upstream) control(ctx context.Context, st *statement, args []cell) (result, error) {
	cols, ok := controlColumns[st.name]
	if !ok {
		return result{}, fail("42883", "function %s does not exist", st.name)
	}
	vals := make([]string, len(st.args))
	for i := range st.args {
		v, err := eval(&st.args[i], nil, nil, args)
		if err != nil {
			return result{}, err
		}
		vals[i] = v.s
	}
	want := map[string]int{"group_status": 2, "group_fence": 1, "group_promote": 2, "group_follow": 3}[st.name]
	if len(vals) != want {
		return result{}, fail("42883", "function %s takes %d arguments", st.name, want)
	}
	n, err := strconv.ParseUint(vals[0], 10, 64)
	if err != nil {
		return result{}, fail("22P02", "invalid number %q", vals[0])
	}
	var cut int
	s := Status{}
	switch st.name {
	case "group_status":
		var ms int64
		if ms, err = strconv.ParseInt(vals[1], 10, 64); err != nil {
			return result{}, fail("22P02", "invalid number %q", vals[1])
		}
		u.await(ctx, n, time.Duration(ms)*time.Millisecond)
	case "group_fence":
		err = u.fence(n)
	case "group_promote":
		var start uint64
		if start, err = strconv.ParseUint(vals[1], 10, 64); err != nil {
			return result{}, fail("22P02", "invalid number %q", vals[1])
		}
		err = u.promote(n, start)
	case "group_follow":
		cut, s, err = u.followCall(n, vals[1], vals[2])
	}
	if err != nil {
		return result{}, err
	}
	if st.name != "group_follow" {
		s = u.Status()
	}
	row := []cell{
		{s: string(s.Role)},
		{s: strconv.FormatUint(s.Fenced, 10)},
		{s: strconv.FormatUint(s.Log.Term, 10)},
		{s: strconv.FormatUint(s.Log.Offset, 10)},
		{s: s.Following},
	}
	if st.name == "group_follow" {
		row = append(row, cell{s: strconv.Itoa(cut)})
	}
	return result{cols: cols, rows: [][]cell{row}, tag: "SELECT 1"}, nil
}

// await waits until the log reaches the offset, the timeout is over or a fence
// arrives, since a fence may change what the offset means.
func (u *Upstream) await(ctx context.Context, offset uint64, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	defer u.stats.add(func(s *Stats) { s.Waiting-- })
	u.mu.Lock()
	term := u.fenced
	u.stats.add(func(s *Stats) { s.Waiting++ })
	for uint64(len(u.log)) < offset && u.fenced == term {
		changed := u.changed
		u.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
		u.mu.Lock()
	}
	u.mu.Unlock()
}

func (u *Upstream) fence(term uint64) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if term < u.fenced {
		return fail("BS010", "fenced at term %d already", u.fenced)
	}
	if term > u.fenced {
		u.raise(term)
	}
	return nil
}

func (u *Upstream) promote(term, start uint64) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case term < u.fenced:
		return fail("BS010", "fenced at term %d already", u.fenced)
	case term == u.promoted && term == u.fenced:
		return nil
	case start != uint64(len(u.log)):
		return fail("55000", "the log ends at offset %d, not at %d", len(u.log), start)
	case u.position().Term >= term:
		return fail("55000", "the log has entries of term %d already", term)
	}
	if term > u.fenced {
		u.raise(term)
	}
	u.promoted, u.following = term, ""
	u.append(nil)
	return nil
}

// followCall follows another primary and returns the number of entries that were cut and
// the status before entries of that primary arrive.
func (u *Upstream) followCall(term uint64, primary, history string) (int, Status, error) {
	h, err := parseHistory(history)
	if err != nil {
		return 0, Status{}, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case term < u.fenced:
		return 0, Status{}, fail("BS010", "fenced at term %d already", u.fenced)
	case term == u.promoted:
		return 0, Status{}, fail("55000", "the upstream is the primary of term %d", term)
	case len(h) == 0 || h[len(h)-1].Term != term:
		return 0, Status{}, fail("22023", "the history does not end with term %d", term)
	}
	if term > u.fenced {
		u.raise(term)
	}
	cut := u.follow(primary, h)
	u.stats.add(func(s *Stats) { s.Cut += cut })
	return cut, u.status(), nil
}

// parseHistory reads term/offset pairs separated by commas.
func parseHistory(s string) (wal.History, error) {
	var h wal.History
	for _, part := range strings.Split(s, ",") {
		term, offset, ok := strings.Cut(part, "/")
		t, err1 := strconv.ParseUint(term, 10, 64)
		o, err2 := strconv.ParseUint(offset, 10, 64)
		if !ok || err1 != nil || err2 != nil || len(h) > 0 && (t <= h[len(h)-1].Term || o < h[len(h)-1].Offset) {
			return nil, fail("22023", "invalid history %q", s)
		}
		h = h.With(wal.Start{Term: t, Offset: o})
	}
	return h, nil
}

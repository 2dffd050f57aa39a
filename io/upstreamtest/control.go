package upstreamtest

import (
	"context"
	"strconv"
	"strings"
	"time"

	"burdockseam/core/wal"
)

// statusColumns are the result columns of group_status, group_fence and group_promote.
var statusColumns = []string{"role", "fenced_term", "log_term", "log_offset", "following"}

// controlColumns holds the result columns of each control function.
var controlColumns = map[string][]string{
	"group_status":  statusColumns,
	"group_fence":   statusColumns,
	"group_promote": statusColumns,
	"group_follow":  append(statusColumns[:len(statusColumns):len(statusColumns)], "cut"),
}

// errFenced guarantees that the statement did not run.
var errFenced = newSQLError("BS010", "the upstream is fenced at another term")

// runControl runs a control function. The functions are idempotent: a call that finds
// the requested state already in place succeeds without a change, so that the
// coordinator can repeat each step of a promotion.
func (u *Upstream) runControl(ctx context.Context, st *statement, args []cell) (result, error) {
	cols, ok := controlColumns[st.name]
	if !ok {
		return result{}, newSQLError("42883", "function %s does not exist", st.name)
	}
	vals := make([]string, len(st.args))
	for i := range st.args {
		v, err := eval(&st.args[i], nil, nil, args)
		if err != nil {
			return result{}, err
		}
		vals[i] = v.text
	}
	want := map[string]int{"group_status": 2, "group_fence": 1, "group_promote": 2, "group_follow": 3}[st.name]
	if len(vals) != want {
		return result{}, newSQLError("42883", "function %s takes %d arguments", st.name, want)
	}
	n, err := strconv.ParseUint(vals[0], 10, 64)
	if err != nil {
		return result{}, newSQLError("22P02", "invalid number %q", vals[0])
	}
	var truncated int
	status := Status{}
	switch st.name {
	case "group_status":
		var ms int64
		if ms, err = strconv.ParseInt(vals[1], 10, 64); err != nil {
			return result{}, newSQLError("22P02", "invalid number %q", vals[1])
		}
		u.waitForOffset(ctx, n, time.Duration(ms)*time.Millisecond)
	case "group_fence":
		err = u.fence(n)
	case "group_promote":
		var start uint64
		if start, err = strconv.ParseUint(vals[1], 10, 64); err != nil {
			return result{}, newSQLError("22P02", "invalid number %q", vals[1])
		}
		err = u.promote(n, start)
	case "group_follow":
		truncated, status, err = u.groupFollow(n, vals[1], vals[2])
	}
	if err != nil {
		return result{}, err
	}
	if st.name != "group_follow" {
		status = u.Status()
	}
	row := []cell{
		{text: string(status.Role)},
		{text: strconv.FormatUint(status.FencedTerm, 10)},
		{text: strconv.FormatUint(status.Log.Term, 10)},
		{text: strconv.FormatUint(status.Log.Offset, 10)},
		{text: status.Following},
	}
	if st.name == "group_follow" {
		row = append(row, cell{text: strconv.Itoa(truncated)})
	}
	return result{cols: cols, rows: [][]cell{row}, tag: "SELECT 1"}, nil
}

// waitForOffset waits until the log reaches the offset, the timeout expires or the
// fenced term changes. It does not wait past a fence, since the log may then be
// truncated and the offset denote a different entry.
func (u *Upstream) waitForOffset(ctx context.Context, offset uint64, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	defer u.stats.update(func(s *Stats) { s.Waiting-- })
	u.mu.Lock()
	term := u.fencedTerm
	u.stats.update(func(s *Stats) { s.Waiting++ })
	for uint64(len(u.log)) < offset && u.fencedTerm == term {
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

// fence raises the fenced term. It fails if the term is lower than the present one.
func (u *Upstream) fence(term uint64) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if term < u.fencedTerm {
		return newSQLError("BS010", "fenced at term %d already", u.fencedTerm)
	}
	if term > u.fencedTerm {
		u.fenceAt(term)
	}
	return nil
}

// promote makes the upstream the primary of the term if its log ends at the offset
// start, and appends an empty entry as the first one of the term.
func (u *Upstream) promote(term, start uint64) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case term < u.fencedTerm:
		return newSQLError("BS010", "fenced at term %d already", u.fencedTerm)
	case term == u.promotedTerm && term == u.fencedTerm:
		return nil
	case start != uint64(len(u.log)):
		return newSQLError("55000", "the log ends at offset %d, not at %d", len(u.log), start)
	case u.position().Term >= term:
		return newSQLError("55000", "the log has entries of term %d already", term)
	}
	if term > u.fencedTerm {
		u.fenceAt(term)
	}
	u.promotedTerm, u.following = term, ""
	u.append(nil)
	return nil
}

// groupFollow makes the upstream a replica of the primary at the given address. It
// returns the number of truncated log entries, and the status before any entry of that
// primary arrives.
func (u *Upstream) groupFollow(term uint64, primary, history string) (int, Status, error) {
	h, err := parseHistory(history)
	if err != nil {
		return 0, Status{}, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case term < u.fencedTerm:
		return 0, Status{}, newSQLError("BS010", "fenced at term %d already", u.fencedTerm)
	case term == u.promotedTerm:
		return 0, Status{}, newSQLError("55000", "the upstream is the primary of term %d", term)
	case len(h) == 0 || h[len(h)-1].Term != term:
		return 0, Status{}, newSQLError("22023", "the history does not end with term %d", term)
	}
	if term > u.fencedTerm {
		u.fenceAt(term)
	}
	truncated := u.followPrimary(primary, h)
	u.stats.update(func(s *Stats) { s.Truncated += truncated })
	return truncated, u.status(), nil
}

// parseHistory parses a history of the form "term/offset,term/offset", sorted by term.
func parseHistory(s string) (wal.History, error) {
	var h wal.History
	for _, part := range strings.Split(s, ",") {
		term, offset, ok := strings.Cut(part, "/")
		t, err1 := strconv.ParseUint(term, 10, 64)
		o, err2 := strconv.ParseUint(offset, 10, 64)
		if !ok || err1 != nil || err2 != nil || len(h) > 0 && (t <= h[len(h)-1].Term || o < h[len(h)-1].Offset) {
			return nil, newSQLError("22023", "invalid history %q", s)
		}
		h = h.With(wal.Start{Term: t, Offset: o})
	}
	return h, nil
}

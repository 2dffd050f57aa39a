package usage

import (
	"cmp"
	"slices"
	"time"
)

// Summary describes the last call for a window to operators.
type Summary struct {
	Window   uint64    `json:"window"`
	End      time.Time `json:"end"`
	Requests uint64    `json:"requests"`
	Teams    int       `json:"teams"`
	From     int       `json:"from"`
	Lacking  int       `json:"lacking"`
	Holder   string    `json:"holder"`
	Token    uint64    `json:"token"`
	Outcome  Outcome   `json:"outcome"`
	// After is the time from the window's end to the outcome in seconds.
	After float64 `json:"after"`
}

// Status is the part of the operators' status about usage reports.
type Status struct {
	Windows []Summary `json:"windows"`
}

// Summarize returns the summary of a call whose outcome was known at the given time.
func Summarize(r Report, end time.Time, holder string, token uint64, o Outcome, now time.Time) Summary {
	s := Summary{
		Window: r.Window, End: end.UTC(), Teams: len(r.Counts), From: r.From, Lacking: r.Lacking,
		Holder: holder, Token: token, Outcome: o, After: now.Sub(end).Seconds(),
	}
	for _, n := range r.Counts {
		s.Requests += n
	}
	return s
}

// MergeHistory returns the last windows of two lists, the newest last. Of two summaries of a
// window, an accepted one counts, or else the later one.
func MergeHistory(a, b []Summary, limit int) []Summary {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y Summary) int {
		return cmp.Or(cmp.Compare(x.Window, y.Window), compareAccepted(x, y), cmp.Compare(x.After, y.After))
	})
	var out []Summary
	for k, s := range all {
		if k+1 == len(all) || all[k+1].Window != s.Window {
			out = append(out, s)
		}
	}
	return out[max(0, len(out)-limit):]
}

// compareAccepted orders accepted reports after others, and the earlier of two accepted ones
// after the repeated one.
func compareAccepted(x, y Summary) int {
	switch {
	case x.Outcome == Accepted && y.Outcome == Accepted:
		return cmp.Compare(y.After, x.After)
	case x.Outcome == Accepted:
		return 1
	case y.Outcome == Accepted:
		return -1
	}
	return 0
}

package load

// The checks compare the outcomes reported to callers with what the stand-ins hold. They
// depend on the events and the evidence alone, so tests can plant a broken promise in either
// and verify that it is counted.

import (
	"sort"
	"strings"
	"time"

	"burdockseam/core/wal"
)

// Check counts the broken promises that events and evidence show.
func Check(events []Event, ev Evidence) map[Promise]int {
	n := make(map[Promise]int)
	rows, pairs := countRows(ev.BookingRows), countRows(ev.PairRows)
	for _, e := range events {
		countIf(n, StaleReads, e.Stale)
		countIf(n, ForeignAnswers, e.Foreign)
		countIf(n, MixedTransactions, e.Mixed)
		rowCount := rows[e.Group][e.ID]
		switch e.Kind {
		case KindRead:
			continue
		case KindTransaction:
			rowCount = pairs[e.Group][e.ID]
			countIf(n, MixedTransactions, rowCount%2 != 0)
			rowCount = (rowCount + 1) / 2 // two rows are one transaction
		}
		countIf(n, LostWrites, e.Outcome == OutcomeDone && rowCount == 0)
		countIf(n, FalseNotRun, e.Outcome == OutcomeNotRun && rowCount > 0)
		countIf(n, DoubledWrites, rowCount > 1)
		countIf(n, OldPrimaryAcks, e.Outcome == OutcomeDone && !inLog(ev.Logs[e.Group], e.Position))
	}
	for _, text := range ev.UpstreamTexts {
		for _, secret := range ev.Secrets {
			countIf(n, KeysAtUpstreams, strings.Contains(text, secret))
		}
	}
	for _, t := range ev.Teams {
		n[ExcessAdmissions] += rateExcess(events, t.Name, float64(t.Rate), float64(t.Burst))
	}
	return n
}

// countIf counts a violation of a promise if the promise is broken.
func countIf(n map[Promise]int, p Promise, broken bool) {
	if broken {
		n[p]++
	}
}

// countRows counts the rows of each id, by group.
func countRows(groups map[string][][]string) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for g, rows := range groups {
		out[g] = make(map[string]int)
		for _, row := range rows {
			out[g][row[0]]++
		}
	}
	return out
}

// inLog reports whether the surviving log holds the position. It is true if the position
// or the log is unknown: such a write is checked by its rows alone.
func inLog(log []wal.Position, p wal.Position) bool {
	if p == (wal.Position{}) || log == nil {
		return true
	}
	return p.Offset > 0 && p.Offset <= uint64(len(log)) && log[p.Offset-1] == p
}

// windowStep is the time between the begins of the windows in which admissions are
// counted.
const windowStep = 100 * time.Millisecond

// rateExcess returns by how many requests the team's admissions exceed its rate and burst
// in the worst window. Only requests that were both sent and answered within a window
// count as admitted in it, so the result is never too high.
func rateExcess(events []Event, team string, rate, burst float64) int {
	var list []Event
	for _, e := range events {
		if e.Team == team && e.Statements > 0 {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Completed.Before(list[j].Completed) })
	first := list[0].Sent
	for _, e := range list {
		if e.Sent.Before(first) {
			first = e.Sent
		}
	}
	worst := 0.0
	for from := first; from.Before(list[len(list)-1].Completed); from = from.Add(windowStep) {
		admitted := 0
		for _, e := range list {
			if e.Sent.Before(from) {
				continue
			}
			admitted += e.Statements
			worst = max(worst, float64(admitted)-burst-rate*e.Completed.Sub(from).Seconds())
		}
	}
	return int(worst)
}

// Package explain finds the cause of a failed request in the log lines of the instances.
// It uses only the log lines that docs/OPERATIONS.md documents.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Cause is the reason why a request failed.
type Cause string

// The causes that Explain distinguishes.
const (
	CauseLimit    Cause = "limit"    // the team exceeded its rate
	CauseOwner    Cause = "owner"    // no instance granted the team's rate while its owner changed
	CauseKey      Cause = "key"      // the key was withdrawn or never valid
	CauseRoute    Cause = "route"    // the caller's database name is not a route
	CauseReplica  Cause = "replica"  // no upstream had the commits that the read must observe
	CausePrimary  Cause = "primary"  // the group's primary was lost or changed
	CauseUpstream Cause = "upstream" // an upstream did not respond or could not be reached
	CauseInstance Cause = "instance" // the upstream's gateway did not respond
	CauseLoad     Cause = "load"     // the upstream's slots were occupied until the deadline
	CauseAlone    Cause = "alone"    // the instance reached neither the store nor a peer
	CauseUnknown  Cause = "unknown"  // no log line shows the cause
)

// Line is a parsed log line. Fields that the line lacks are empty.
type Line struct {
	// Source is the name of the instance, or else of the file that contains the line.
	Source   string    `json:"source,omitempty"`
	Time     time.Time `json:"time"`
	Msg      string    `json:"msg"`
	ID       string    `json:"id,omitempty"`
	Op       string    `json:"op,omitempty"`
	Kind     string    `json:"kind,omitempty"`
	Team     string    `json:"team,omitempty"`
	Route    string    `json:"route,omitempty"`
	Group    string    `json:"group,omitempty"`
	Upstream string    `json:"upstream,omitempty"`
	Gateway  string    `json:"gateway,omitempty"`
	Peer     string    `json:"peer,omitempty"`
	Code     string    `json:"code,omitempty"`
	Ran      string    `json:"ran,omitempty"`
	Why      string    `json:"why,omitempty"`
	Err      string    `json:"err,omitempty"`
	Owner    string    `json:"owner,omitempty"`
	Before   string    `json:"before,omitempty"`
	// Collector is the instance that was asked for tokens, for teams without an owner.
	Collector string `json:"collector,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	Took      int64  `json:"took,omitempty"` // nanoseconds
}

// String formats the line for a terminal.
func (l Line) String() string {
	s := l.Time.Format("15:04:05.000") + " " + l.Source + " " + l.Msg
	for _, f := range []struct{ name, value string }{
		{"id", l.ID},
		{"kind", l.Kind},
		{"team", l.Team},
		{"route", l.Route},
		{"group", l.Group},
		{"upstream", l.Upstream},
		{"gateway", l.Gateway},
		{"peer", l.Peer},
		{"code", l.Code},
		{"ran", l.Ran},
		{"why", l.Why},
		{"err", l.Err},
		{"owner", l.Owner},
		{"before", l.Before},
		{"collector", l.Collector},
	} {
		if f.value != "" {
			s += fmt.Sprintf(" %s=%q", f.name, f.value)
		}
	}
	if l.Took > 0 {
		s += " took=" + time.Duration(l.Took).Round(time.Millisecond).String()
	}
	return s
}

// Read parses log lines. It skips and counts lines that are not JSON objects, whose
// fields have unexpected types, or that have no message.
func Read(r io.Reader, source string) (list []Line, skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var l Line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil || l.Msg == "" {
			skipped++
			continue
		}
		if l.Source == "" {
			l.Source = source
		}
		list = append(list, l)
	}
	return list, skipped, lines.Err()
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Explanation is the cause of a request's failure and the log lines that show it.
type Explanation struct {
	ID    string `json:"id"`
	Cause Cause  `json:"cause"`
	// Code and Ran are the error code and the execution outcome that the caller
	// received, or empty if no line contains them.
	Code string `json:"code,omitempty"`
	Ran  string `json:"ran,omitempty"`
	// Lines holds the request's lines and the other lines that show the cause, sorted by
	// time.
	Lines []Line `json:"lines"`
}

const (
	// Only lines within windowBefore and windowAfter of a failure can show its cause. A
	// lost owner of the limits is replaced within 6 s, a lost primary within about 3 s.
	windowBefore = 8 * time.Second
	windowAfter  = 2 * time.Second
)

// Explain determines why the request with the id failed. It returns false if no line has
// the id.
func Explain(lines []Line, id string) (Explanation, bool) {
	requestLines := filterLines(lines, func(l Line) bool { return l.ID == id })
	if len(requestLines) == 0 {
		return Explanation{}, false
	}
	e := Explanation{ID: id, Cause: CauseUnknown}
	outcome := requestLines[len(requestLines)-1]
	if i := slices.IndexFunc(requestLines, func(l Line) bool { return strings.HasPrefix(l.Msg, "request:") }); i >= 0 {
		outcome = requestLines[i]
	}
	e.Code, e.Ran = outcome.Code, outcome.Ran
	nearbyLines := filterLines(lines, func(l Line) bool {
		distance := l.Time.Sub(outcome.Time)
		return l.ID != id && distance >= -windowBefore && distance <= windowAfter
	})
	cause, showsCause := findCause(requestLines, nearbyLines, outcome)
	e.Cause = cause
	e.Lines = append(requestLines, filterLines(nearbyLines, showsCause)...)
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return e, true
}

// filterLines returns the lines for which keep returns true.
func filterLines(lines []Line, keep func(Line) bool) []Line {
	var filtered []Line
	for _, l := range lines {
		if keep(l) {
			filtered = append(filtered, l)
		}
	}
	return filtered
}

// findCause returns the cause of a failure, and a filter for the nearby lines that show
// it. outcome is the request's line that reports the failure. The order of the cases
// matters, since the lines of one failure can match several of them.
func findCause(requestLines, nearbyLines []Line, outcome Line) (Cause, func(Line) bool) {
	hasMessage := func(msg string) bool {
		return slices.ContainsFunc(requestLines, func(l Line) bool { return l.Msg == msg })
	}
	noLine := func(Line) bool { return false }
	isGroupLine := func(l Line) bool {
		return strings.HasPrefix(l.Msg, "group:") && l.Group == outcome.Group && outcome.Group != ""
	}
	primaryChanges := slices.ContainsFunc(nearbyLines, func(l Line) bool {
		return isGroupLine(l) && (l.Msg == "group: change of primary begins" || l.Msg == "group: primary does not answer")
	})
	isLimitLine := func(l Line) bool {
		if outcome.Collector != "" {
			return strings.HasPrefix(l.Msg, "limit: collector") && (l.Msg != "limit: collector" || l.Before != "")
		}
		return strings.HasPrefix(l.Msg, "limit:") && !(l.Msg == "limit: owner" && l.Owner == l.Before)
	}
	switch {
	case outcome.Msg == "request: over the limit":
		if slices.ContainsFunc(nearbyLines, isLimitLine) {
			return CauseOwner, isLimitLine
		}
		return CauseLimit, noLine
	case outcome.Code == "denied":
		return CauseKey, func(l Line) bool { return l.Source == outcome.Source && strings.HasPrefix(l.Msg, "config:") }
	case outcome.Code == "nodatabase":
		return CauseRoute, func(l Line) bool { return l.Source == outcome.Source && strings.HasPrefix(l.Msg, "config:") }
	case strings.Contains(outcome.Why, "not confirmed"):
		return CauseAlone, func(l Line) bool {
			return l.Source == outcome.Source && (strings.HasPrefix(l.Msg, "store:") || strings.HasPrefix(l.Msg, "peer:"))
		}
	case hasMessage("route: no answer from the gateway") && !hasMessage("gateway: no answer from the upstream"):
		return CauseInstance, func(l Line) bool { return strings.HasPrefix(l.Msg, "peer:") && l.Source == outcome.Source }
	case primaryChanges:
		return CausePrimary, isGroupLine
	case outcome.Code == "lagging":
		return CauseReplica, isGroupLine
	case hasMessage("gateway: no answer from the upstream"), hasMessage("gateway: connection lost before the statement"), outcome.Code == "unreachable":
		return CauseUpstream, func(l Line) bool {
			return strings.HasPrefix(l.Msg, "gateway:") && l.Upstream != "" && l.Upstream == lastUpstream(requestLines)
		}
	case outcome.Code == "readonly", strings.Contains(outcome.Why, "no upstream can run this"):
		return CausePrimary, isGroupLine
	case strings.Contains(outcome.Why, "deadline"), strings.Contains(outcome.Why, "gave up"), outcome.Code == "toomany":
		return CauseLoad, func(l Line) bool {
			return l.Msg == "gateway: connection not opened" && l.Upstream == lastUpstream(requestLines)
		}
	}
	return CauseUnknown, noLine
}

// lastUpstream returns the upstream in the last of the request's lines that names an
// upstream, or "".
func lastUpstream(requestLines []Line) string {
	for i := len(requestLines) - 1; i >= 0; i-- {
		if requestLines[i].Upstream != "" {
			return requestLines[i].Upstream
		}
	}
	return ""
}

// Package explain finds the cause of a failed request in the log lines of the instances.
// It knows the lines that docs/OPERATIONS.md lists and nothing else of the fleet.
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

// Cause is why a request failed.
type Cause string

// The causes.
const (
	CauseLimit    Cause = "limit"    // the team was over its rate
	CauseOwner    Cause = "owner"    // nobody granted the team's rate, since its owner changed
	CauseKey      Cause = "key"      // the key was withdrawn or never valid
	CauseRoute    Cause = "route"    // no route has the database's name
	CauseReplica  Cause = "replica"  // no upstream had the commits that the read must see
	CausePrimary  Cause = "primary"  // the group's primary was lost or changed
	CauseUpstream Cause = "upstream" // an upstream gave no answer or could not be reached
	CauseInstance Cause = "instance" // the instance that serves the upstream gave no answer
	CauseLoad     Cause = "load"     // the upstream's slots were full until the deadline
	CauseAlone    Cause = "alone"    // the instance reached neither the store nor another one
	CauseUnknown  Cause = "unknown"  // no line says why
)

// Line is a log line. Fields that a line does not have are empty.
type Line struct {
	// Source names the instance, or the file that the line was read from.
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
	Version  uint64    `json:"version,omitempty"`
	Took     int64     `json:"took,omitempty"` // nanoseconds
}

// String returns the line for people.
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

// Read reads log lines. Lines that are not JSON, or that have fields of other types, are
// counted and passed over.
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

// maxLineBytes bounds a log line in bytes.
const maxLineBytes = 1 << 20

// Explanation is what the lines say about a request.
type Explanation struct {
	ID    string `json:"id"`
	Cause Cause  `json:"cause"`
	// Code and Ran are what the caller was told, if a line has them.
	Code string `json:"code,omitempty"`
	Ran  string `json:"ran,omitempty"`
	// Lines are those of the request and those that show the cause, by time.
	Lines []Line `json:"lines"`
}

const (
	// windowBefore and after are the times around a failure in which a line may show its cause. A
	// lost owner of the limits is replaced within 6 s, a lost primary within about 3 s.
	windowBefore = 8 * time.Second
	windowAfter  = 2 * time.Second
)

// Explain explains the request with an id. It reports false if no line has the id.
func Explain(lines []Line, id string) (Explanation, bool) {
	own := filterLines(lines, func(l Line) bool { return l.ID == id })
	if len(own) == 0 {
		return Explanation{}, false
	}
	e := Explanation{ID: id, Cause: CauseUnknown}
	end := own[len(own)-1]
	if k := slices.IndexFunc(own, func(l Line) bool { return strings.HasPrefix(l.Msg, "request:") }); k >= 0 {
		end = own[k]
	}
	e.Code, e.Ran = end.Code, end.Ran
	near := filterLines(lines, func(l Line) bool {
		d := l.Time.Sub(end.Time)
		return l.ID != id && d >= -windowBefore && d <= windowAfter
	})
	cause, shows := findCause(own, near, end)
	e.Cause = cause
	e.Lines = append(own, filterLines(near, shows)...)
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return e, true
}

func filterLines(lines []Line, f func(Line) bool) []Line {
	var out []Line
	for _, l := range lines {
		if f(l) {
			out = append(out, l)
		}
	}
	return out
}

// findCause returns the cause, and which of the other lines show it.
func findCause(own, near []Line, end Line) (Cause, func(Line) bool) {
	has := func(msg string) bool { return slices.ContainsFunc(own, func(l Line) bool { return l.Msg == msg }) }
	none := func(Line) bool { return false }
	group := func(l Line) bool {
		return strings.HasPrefix(l.Msg, "group:") && l.Group == end.Group && end.Group != ""
	}
	changes := slices.ContainsFunc(near, func(l Line) bool {
		return group(l) && (l.Msg == "group: change of primary begins" || l.Msg == "group: primary does not answer")
	})
	limits := func(l Line) bool {
		return strings.HasPrefix(l.Msg, "limit:") && !(l.Msg == "limit: owner" && l.Owner == l.Before)
	}
	switch {
	case end.Msg == "request: over the limit":
		if slices.ContainsFunc(near, limits) {
			return CauseOwner, limits
		}
		return CauseLimit, none
	case end.Code == "denied":
		return CauseKey, func(l Line) bool { return l.Source == end.Source && strings.HasPrefix(l.Msg, "config:") }
	case end.Code == "nodatabase":
		return CauseRoute, func(l Line) bool { return l.Source == end.Source && strings.HasPrefix(l.Msg, "config:") }
	case strings.Contains(end.Why, "not confirmed"):
		return CauseAlone, func(l Line) bool {
			return l.Source == end.Source && (strings.HasPrefix(l.Msg, "store:") || strings.HasPrefix(l.Msg, "peer:"))
		}
	case has("route: no answer from the gateway") && !has("gateway: no answer from the upstream"):
		return CauseInstance, func(l Line) bool { return strings.HasPrefix(l.Msg, "peer:") && l.Source == end.Source }
	case changes:
		return CausePrimary, group
	case end.Code == "lagging":
		return CauseReplica, group
	case has("gateway: no answer from the upstream"), has("gateway: connection lost before the statement"), end.Code == "unreachable":
		return CauseUpstream, func(l Line) bool {
			return strings.HasPrefix(l.Msg, "gateway:") && l.Upstream != "" && l.Upstream == lastUpstream(own)
		}
	case end.Code == "readonly", strings.Contains(end.Why, "no upstream can run this"):
		return CausePrimary, group
	case strings.Contains(end.Why, "deadline"), strings.Contains(end.Why, "gave up"), end.Code == "toomany":
		return CauseLoad, func(l Line) bool { return l.Msg == "gateway: connection not opened" && l.Upstream == lastUpstream(own) }
	}
	return CauseUnknown, none
}

// lastUpstream returns the upstream that the request's lines name last, or "".
func lastUpstream(own []Line) string {
	for k := len(own) - 1; k >= 0; k-- {
		if own[k].Upstream != "" {
			return own[k].Upstream
		}
	}
	return ""
}

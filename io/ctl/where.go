package ctl

// Where a request would go, as one instance answers.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"burdockseam/core/call"
	"burdockseam/core/where"
)

// Where asks the operators' ports one after another until one answers. The answer holds for that
// instance. A route or a team that does not exist is an error.
func (c *Client) Where(ctx context.Context, q where.Query) (where.Answer, error) {
	var a where.Answer
	if !slices.Contains(where.Kinds, q.Kind) {
		return a, ErrUsage.New("kind %q is not read, write or transaction", q.Kind)
	}
	if len(c.Operators) == 0 {
		return a, ErrUsage.New("the address of an operators' port is needed (--operator)")
	}
	var errAll error
	for _, address := range c.Operators {
		a = where.Answer{}
		err := getJSON(ctx, address, where.Path+"?"+q.Values().Encode(), &a)
		switch {
		case err != nil:
			errAll = errors.Join(errAll, err)
			continue
		case a.Code == call.NoDatabase:
			return a, Error.New("instance %s has no route %q in configuration %d", a.Instance, q.Database, a.Version)
		case a.Code == call.Denied:
			return a, Error.New("instance %s has no team %q in configuration %d", a.Instance, q.Team, a.Version)
		}
		return a, nil
	}
	return a, Error.Wrap(errAll)
}

// formatSeconds writes a time with at most three digits after the point.
func formatSeconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(10 * time.Microsecond).String()
}

// formatRegions writes a list of regions.
func formatRegions(list []string) string {
	if len(list) == 0 {
		return "all regions"
	}
	return "regions " + strings.Join(list, ",")
}

// PrintWhere writes where a request would go.
func PrintWhere(w io.Writer, a where.Answer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "instance %s, configuration %d\n", a.Instance, a.Version)
	if r := a.Route; r != nil {
		fmt.Fprintf(&b, "route %s: group %s, consistency %s, priority %d, timeout %s, target %s, staleness %s, %s\n", r.Name, r.Group, r.Consistency,
			r.Priority, formatSeconds(r.Timeout), formatSeconds(r.Target), formatSeconds(r.Staleness), formatRegions(r.Regions))
	}
	fmt.Fprintf(&b, "team: %s\n", formatRegions(a.Regions))
	if a.Code != call.OK {
		fmt.Fprintf(&b, "refused before routing: %s (code %q)\n", a.Why, a.Code)
	}
	if a.Limit != nil {
		b.WriteString(formatLimit(*a.Limit))
	}
	if a.Only != "" {
		fmt.Fprintf(&b, "only the primary: %s\n", a.Only)
	}
	if _, err := io.WriteString(w, b.String()+"\n"); err != nil {
		return Error.Wrap(err)
	}
	if err := writeTable(w, upstreamRows(a)); err != nil {
		return err
	}
	_, err := io.WriteString(w, formatSkipped(a)+"\n"+formatChoice(a))
	return Error.Wrap(err)
}

// formatLimit writes the limit of a team.
func formatLimit(l where.Limit) string {
	var b strings.Builder
	from := "none"
	if l.From != "" {
		from = l.From
	}
	if l.Silent {
		from += " (does not answer)"
	}
	fmt.Fprintf(&b, "limit: %g/s, burst %g, ", l.Rate, l.Burst)
	switch l.Way {
	case where.Reserve:
		fmt.Fprintf(&b, "by the reserve and the owner; owner %s\n", from)
	case where.Delegated:
		fmt.Fprintf(&b, "by delegated parts; collector %s\n", from)
	case where.Pause:
		b.WriteString("no tokens while the way in which the team is limited changes\n")
	}
	if s := l.Reserve; s != nil {
		fmt.Fprintf(&b, "  reserve of this instance: %.2f tokens, %.2f/s, burst %.2f\n", s.Tokens, s.Rate, s.Burst)
	}
	if s := l.Stock; s != nil {
		fmt.Fprintf(&b, "  granted to this instance: %.0f tokens, %d requests wait\n", s.Tokens, s.Queued)
	}
	next := "not known"
	if l.After != nil {
		next = "in " + formatSeconds(*l.After)
		if *l.After <= 0 {
			next = "in stock"
		}
	}
	fmt.Fprintf(&b, "  next token: %s; a request would be %s", next, map[string]string{
		"granted": "granted a token", "waiting": "waiting for a token", "refused": "refused",
	}[l.Outcome])
	if l.Retry > 0 {
		fmt.Fprintf(&b, ", retry in %s", formatSeconds(l.Retry))
	}
	b.WriteString("\n")
	return b.String()
}

// upstreamRows returns the table of the upstreams.
func upstreamRows(a where.Answer) [][]string {
	rows := [][]string{{"UPSTREAM", "DOMAIN", "ROLE", "STATE", "EXPECTED", "SERVICE", "LOAD/PACE", "NETWORK", "FAILING", "WAITED", "EXTRA", "GATEWAY", "NOTES"}}
	for _, u := range a.Upstreams {
		state := u.State
		if u.Out {
			state += ",out"
		}
		row := []string{u.Name, u.Domain, u.Role, state}
		if t := u.Time; t != nil {
			row = append(
				row, formatSeconds(t.Total), formatSeconds(t.Service), fmt.Sprintf("%.1f/%d", t.Load, t.Pace), formatSeconds(t.Network),
				fmt.Sprintf("%.3f", t.Failing), formatSeconds(t.Waited), formatSeconds(t.Extra),
			)
		} else {
			row = append(row, "-", "-", "-", "-", "-", "-", "-")
		}
		var notes []string
		if u.Why != "" {
			notes = append(notes, "not used: "+u.Why)
		}
		if u.Avoided != "" {
			notes = append(notes, "avoided: "+u.Avoided)
		}
		if u.Chance {
			notes = append(notes, "may be chosen at random")
		}
		rows = append(rows, append(row, cmp.Or(u.Gateway, "-"), strings.Join(append(notes, u.Notes...), "; ")))
	}
	return rows
}

// formatSkipped writes the gateways that are not used.
func formatSkipped(a where.Answer) string {
	var b strings.Builder
	for _, u := range a.Upstreams {
		for _, s := range u.Skipped {
			fmt.Fprintf(&b, "gateway %s in %s is not used for %s: %s\n", s.Gateway, s.Domain, u.Name, s.Why)
		}
	}
	return b.String()
}

// formatChoice writes the choice.
func formatChoice(a where.Answer) string {
	c := a.Choice
	switch {
	case c == nil:
		return ""
	case c.Reason == "" && c.Wait > 0:
		return fmt.Sprintf("nothing can be chosen: %s; the statement waits for a change for %s, is then refused, and is worth retrying after %s\n",
			c.Why, formatSeconds(c.Wait), formatSeconds(c.Retry))
	case c.Reason == "":
		return fmt.Sprintf("nothing can be chosen: %s; the statement is refused at once and is worth retrying after %s\n", c.Why, formatSeconds(c.Retry))
	}
	return fmt.Sprintf("goes to %s by the gateway %s (%s): %s\n", c.Upstream, c.Gateway, c.Reason, c.Why)
}

package ctl

// The text output of commands without --json.

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"burdockseam/core/config"
)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// writeTable writes rows in aligned columns.
func writeTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(t, strings.Join(row, "\t")); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(t.Flush())
}

// PrintConfig writes a configuration with the file and line of each value.
func PrintConfig(w io.Writer, s MergedConfig) error {
	rows := [][]string{{"revision " + formatUint(s.Revision)}}
	for _, v := range s.Settings {
		from := "default"
		if v.Origin.File != "" {
			from = fmt.Sprintf("%s:%d", v.Origin.File, v.Origin.Line)
		}
		rows = append(rows, []string{fmt.Sprintf("[%s] %s = %s", v.Section, v.Key, v.Value), from})
	}
	return writeTable(w, rows)
}

// PrintChanges writes the differences between two configurations.
func PrintChanges(w io.Writer, list []config.Change) error {
	if len(list) == 0 {
		_, err := fmt.Fprintln(w, "no change")
		return Error.Wrap(err)
	}
	for _, c := range list {
		old, next := c.Old, c.New
		if old == "" {
			old = "(none)"
		}
		if next == "" {
			next = "(none)"
		}
		if old == next {
			// Hashes are not shown, so the texts of two different values may be equal.
			next += ", changed"
		}
		if _, err := fmt.Fprintf(w, "[%s] %s: %s -> %s\n", c.Section, c.Key, old, next); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// PrintHistory writes changes, one per line.
func PrintHistory(w io.Writer, list []config.Entry) error {
	rows := [][]string{{"REVISION", "TIME", "AUTHOR", "FILES", "COMMENT"}}
	for _, e := range list {
		names := maps.Clone(e.Before)
		if names == nil {
			names = map[string]string{}
		}
		maps.Copy(names, e.After)
		rows = append(rows, []string{
			formatUint(e.Revision), e.Time.Format("2006-01-02 15:04:05Z"), e.Author,
			strings.Join(slices.Sorted(maps.Keys(names)), ","), e.Comment,
		})
	}
	return writeTable(w, rows)
}

// PrintKeys writes keys, one per line.
func PrintKeys(w io.Writer, list []Key) error {
	rows := [][]string{{"ID", "TEAM", "STATE"}}
	for _, k := range list {
		rows = append(rows, []string{k.ID, k.Team, string(k.State)})
	}
	return writeTable(w, rows)
}

// PrintStatus writes the state of all instances, groups, failure domains and teams.
func PrintStatus(w io.Writer, f FleetStatus) error {
	head := "accepted revision " + formatUint(f.Head)
	switch {
	case f.Store != "":
		head = "the store does not answer: " + f.Store
	case f.Head == 0:
		head = "the store was not asked"
	}
	rows := [][]string{{"INSTANCE", "DOMAIN", "STATE", "REVISION", "READY", "FRESH", "CALLERS", "REASON"}}
	groups := [][]string{{"GROUP", "TERM", "PRIMARY", "SAID BY"}}
	domains := [][]string{{"DOMAIN", "LIVE", "READY", "LOWEST REVISION", "HEARD"}}
	reporters := map[string][]string{} // the instances that report each state of a group
	teams := map[string]int{}
	for _, r := range f.Instances {
		s := r.Status
		if s == nil {
			rows = append(rows, []string{r.Label(), r.Domain, r.State, "?", "?", "?", "?", r.Error})
			continue
		}
		rows = append(rows, []string{
			r.Label(), r.Domain, r.State, formatUint(s.Revision), strconv.FormatBool(s.Ready),
			s.Fresh.Reason + " " + s.Fresh.Age, strconv.Itoa(s.Callers), s.Reason,
		})
		for name, g := range s.Groups {
			line := name + "\t" + formatUint(g.Term) + "\t" + g.Primary
			reporters[line] = append(reporters[line], r.Label())
		}
		for name, n := range s.Teams {
			teams[name] += n
		}
		if len(domains) == 1 {
			for _, d := range s.Domains {
				domains = append(domains, []string{d.Domain, strconv.Itoa(d.Live), strconv.Itoa(d.Ready), formatUint(d.Lowest), d.Age.Round(time.Millisecond).String() + " ago"})
			}
		}
	}
	for _, line := range slices.Sorted(maps.Keys(reporters)) {
		groups = append(groups, []string{line, fmt.Sprintf("%d instances", len(reporters[line]))})
	}
	use := [][]string{{"TEAM", "CONNECTIONS"}}
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		use = append(use, []string{name, strconv.Itoa(teams[name])})
	}
	if _, err := fmt.Fprintln(w, head); err != nil {
		return Error.Wrap(err)
	}
	for _, t := range [][][]string{rows, groups, domains, use} {
		if _, err := fmt.Fprintln(w); err != nil {
			return Error.Wrap(err)
		}
		if err := writeTable(w, t); err != nil {
			return err
		}
	}
	return nil
}

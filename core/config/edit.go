package config

// This file makes the changes that operators make by command: keys and failure
// domains. Each edits one file of the folder, so it races with other operators
// like any other change. It edits the last file that names the section, because a
// later file wins.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"burdockseam/core/key"
)

// KeyFile is the file that new keys of a team are written to.
func KeyFile(team string) string { return "keys-" + team + ".ini" }

// IssueKey adds a key for the team to its file. Only the hash is written.
func IssueKey(files []File, team string, k key.Issued) ([]File, error) {
	if !namePattern.MatchString(team) || !ValidFileName(KeyFile(team)) {
		return nil, Error.New("%q is not a name of a team", printable(team))
	}
	if lastFileWithSection(files, kindKey+" "+k.ID) >= 0 {
		return nil, Error.New("the key id %s is in use", k.ID)
	}
	text := fmt.Sprintf("[%s %s]\nteam = %s\nhash = %s\n", kindKey, k.ID, team, k.Hash)
	return appendToFile(files, KeyFile(team), text), nil
}

// WithdrawKey marks a key as withdrawn. The key stays listed.
func WithdrawKey(files []File, id string) ([]File, error) {
	return setSectionState(files, kindKey, id, StateWithdrawn)
}

// SetDomain takes a failure domain out or in. Taking out the last one that is in
// needs force.
func SetDomain(files []File, domain string, s State, force bool) ([]File, error) {
	if s != StateIn && s != StateOut {
		return nil, Error.New("a failure domain cannot be %q", s)
	}
	if s == StateOut && !force {
		c, faults := Parse(files)
		if len(faults) > 0 {
			return nil, FaultsError{faults}
		}
		rest := 0
		for name, d := range c.Domains {
			if name != domain && d.State == StateIn {
				rest++
			}
		}
		if rest == 0 {
			return nil, Error.New("%s is the last failure domain that is in", domain)
		}
	}
	return setSectionState(files, kindDomain, domain, s)
}

// SetUpstreamState makes an upstream leave or return. If it is the last one of its group
// that takes work, leaving needs force.
func SetUpstreamState(files []File, name string, s State, force bool) ([]File, error) {
	if s != StateActive && s != StateLeaving {
		return nil, Error.New("an upstream cannot be %q", s)
	}
	if s == StateLeaving && !force {
		c, faults := Parse(files)
		if len(faults) > 0 {
			return nil, FaultsError{faults}
		}
		rest := 0
		for other, u := range c.Upstreams {
			if other != name && u.Group == c.Upstreams[name].Group && u.State == StateActive && c.Domains[u.Domain].State == StateIn {
				rest++
			}
		}
		if _, ok := c.Upstreams[name]; ok && rest == 0 {
			return nil, Error.New("%s is the last upstream of group %s that takes work", name, c.Upstreams[name].Group)
		}
	}
	return setSectionState(files, kindUpstream, name, s)
}

// lastFileWithSection returns the index of the lastFileWithSection file in name order with the section, or -1.
func lastFileWithSection(files []File, title string) int {
	found := -1
	for i, f := range files {
		if findHeader(f.Data, title) >= 0 && (found < 0 || files[found].Name < f.Name) {
			found = i
		}
	}
	return found
}

// findHeader returns the number of the section's line, counted from 0, or -1.
func findHeader(data []byte, title string) int {
	return slices.IndexFunc(strings.Split(string(data), "\n"), func(l string) bool { return strings.TrimSpace(l) == "["+title+"]" })
}

// setSectionState sets the state of a section in the last file that has it.
func setSectionState(files []File, kind, name string, s State) ([]File, error) {
	title := kind + " " + name
	at := lastFileWithSection(files, title)
	if at < 0 || !namePattern.MatchString(name) {
		return nil, Error.New("there is no %s %q", kind, printable(name))
	}
	lines := strings.Split(string(files[at].Data), "\n")
	start := findHeader(files[at].Data, title)
	end := start + 1
	for end < len(lines) && !strings.HasPrefix(strings.TrimSpace(lines[end]), "[") {
		if k, _, ok := strings.Cut(lines[end], "="); ok && strings.TrimSpace(k) == "state" {
			lines = slices.Delete(lines, end, end+1)
			continue
		}
		end++
	}
	lines = slices.Insert(lines, start+1, "state = "+string(s))
	next := slices.Clone(files)
	next[at] = File{files[at].Name, []byte(strings.Join(lines, "\n"))}
	return next, nil
}

// appendToFile adds text to the end of a file, which is created if need be.
func appendToFile(files []File, name, text string) []File {
	next := slices.Clone(files)
	for i, f := range next {
		if f.Name != name {
			continue
		}
		old := string(f.Data)
		if old != "" && !strings.HasSuffix(old, "\n") {
			old += "\n"
		}
		next[i].Data = []byte(old + text)
		return next
	}
	next = append(next, File{name, []byte(text)})
	slices.SortFunc(next, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	return next
}

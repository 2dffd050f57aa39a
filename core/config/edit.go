package config

// This file edits a folder for the commands that change keys, failure domains and
// upstreams. Each command edits a single file, so that its change merges with those of
// other operators like a change made by hand. To change a section, a command edits the
// last file that contains the section, because that file overrides earlier ones.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"burdockseam/core/key"
)

// KeyFile returns the name of the file that new keys of a team are written to.
func KeyFile(team string) string { return "keys-" + team + ".ini" }

// IssueKey adds a key to the team's key file. Only the hash of the key is written.
func IssueKey(files []File, team string, k key.Issued) ([]File, error) {
	if !namePattern.MatchString(team) || !ValidFileName(KeyFile(team)) {
		return nil, Error.New("%q is not a valid team name", printable(team))
	}
	if lastFileWithSection(files, kindKey+" "+k.ID) >= 0 {
		return nil, Error.New("the key id %s already exists", k.ID)
	}
	text := fmt.Sprintf("[%s %s]\nteam = %s\nhash = %s\n", kindKey, k.ID, team, k.Hash)
	return appendToFile(files, KeyFile(team), text), nil
}

// WithdrawKey marks a key as withdrawn. The key stays in the configuration.
func WithdrawKey(files []File, id string) ([]File, error) {
	return setSectionState(files, kindKey, id, StateWithdrawn)
}

// SetDomainState sets the state of a failure domain to StateIn or StateOut. Without force it
// refuses to take out the last failure domain that is in.
func SetDomainState(files []File, domain string, s State, force bool) ([]File, error) {
	if s != StateIn && s != StateOut {
		return nil, Error.New("the state of a failure domain is in or out, not %q", s)
	}
	if s == StateOut && !force {
		c, faults := Parse(files)
		if len(faults) > 0 {
			return nil, FaultsError{faults}
		}
		remaining := 0
		for name, d := range c.Domains {
			if name != domain && d.State == StateIn {
				remaining++
			}
		}
		if remaining == 0 {
			return nil, Error.New("%s is the last failure domain that is in", domain)
		}
	}
	return setSectionState(files, kindDomain, domain, s)
}

// SetUpstreamState sets the state of an upstream to StateActive or StateLeaving. Without
// force it refuses StateLeaving for the last upstream of a group that accepts work.
func SetUpstreamState(files []File, name string, s State, force bool) ([]File, error) {
	if s != StateActive && s != StateLeaving {
		return nil, Error.New("the state of an upstream is active or leaving, not %q", s)
	}
	if s == StateLeaving && !force {
		c, faults := Parse(files)
		if len(faults) > 0 {
			return nil, FaultsError{faults}
		}
		remaining := 0
		for other, u := range c.Upstreams {
			if other != name && u.Group == c.Upstreams[name].Group && u.State == StateActive && c.Domains[u.Domain].State == StateIn {
				remaining++
			}
		}
		if _, ok := c.Upstreams[name]; ok && remaining == 0 {
			return nil, Error.New("%s is the last upstream of group %s that takes work", name, c.Upstreams[name].Group)
		}
	}
	return setSectionState(files, kindUpstream, name, s)
}

// lastFileWithSection returns the index of the file that contains the section and is
// last in the order of names, or -1.
func lastFileWithSection(files []File, title string) int {
	found := -1
	for i, f := range files {
		if findHeader(f.Data, title) >= 0 && (found < 0 || files[found].Name < f.Name) {
			found = i
		}
	}
	return found
}

// findHeader returns the index of the line with the section's header, or -1.
func findHeader(data []byte, title string) int {
	return slices.IndexFunc(strings.Split(string(data), "\n"), func(l string) bool { return strings.TrimSpace(l) == "["+title+"]" })
}

// setSectionState sets the state of a section in the last file that contains the section.
func setSectionState(files []File, kind, name string, s State) ([]File, error) {
	title := kind + " " + name
	index := lastFileWithSection(files, title)
	if index < 0 || !namePattern.MatchString(name) {
		return nil, Error.New("%s %q does not exist", kind, printable(name))
	}
	lines := strings.Split(string(files[index].Data), "\n")
	start := findHeader(files[index].Data, title)
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
	next[index] = File{files[index].Name, []byte(strings.Join(lines, "\n"))}
	return next, nil
}

// appendToFile appends text to a file, and adds the file if it does not exist.
func appendToFile(files []File, name, text string) []File {
	next := slices.Clone(files)
	for i, f := range next {
		if f.Name != name {
			continue
		}
		content := string(f.Data)
		if content != "" && !strings.HasSuffix(content, "\n") {
			content += "\n"
		}
		next[i].Data = []byte(content + text)
		return next
	}
	next = append(next, File{name, []byte(text)})
	slices.SortFunc(next, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	return next
}

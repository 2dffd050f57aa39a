package config

// This file parses a folder of INI files and merges them in the order of their names.
// The INI library does not report line numbers, so a separate line scan locates
// sections and keys. The scan also rejects the library's extensions (quoted multi-line
// values, quoted key names, text after a section header). The scan and the library
// interpret the remaining format identically; a difference between them is a fault.

import (
	"bytes"
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// Limits of a folder. The store accepts values up to 1 MB, and the names and hashes of
// all files must fit into one value (see Head). MaxTotalBytes limits the memory that an
// instance needs.
const (
	MaxFiles      = 4000       // files in a folder
	MaxFileBytes  = 1_000_000  // bytes of one file
	MaxTotalBytes = 16_000_000 // bytes of all files together
	MaxNameBytes  = 100        // bytes of a file name
)

// File is one file of a configuration folder.
type File struct {
	Name string
	Data []byte
}

// Fault is one error in a folder. Line is 0 if the fault concerns a whole file, and
// File, Section or Key is empty if the fault concerns none in particular. Message never
// contains an API key or a hash.
type Fault struct {
	File    string
	Line    int
	Section string
	Key     string
	Message string
}

// String formats the fault as FILE:LINE: [SECTION] KEY: MESSAGE.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	return b.String() + f.Message
}

// value is a merged value with the origin of its last definition.
type value struct {
	text string
	Origin
}

// section holds the merged values of one section.
type section struct {
	kind, name string
	origin     Origin // the header in the first file that contains the section
	values     map[string]value
}

func (s *section) title() string { return s.kind + " " + s.name }

// folder holds the merged sections before their values are validated, and the faults
// found so far.
type folder struct {
	sections map[string]*section
	faults   []Fault
}

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)
	fileNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]*\.ini$`)
	headerPattern   = regexp.MustCompile(`^\[([a-z]+) ([A-Za-z0-9][A-Za-z0-9_.-]{0,62})\]$`)
	keyPattern      = regexp.MustCompile(`^[a-z]{1,32}$`)
)

// ValidFileName reports whether a file of a folder may have the name: letters, digits,
// dots, dashes and underscores, starting with a letter or digit, ending in ".ini", at
// most MaxNameBytes long.
func ValidFileName(name string) bool {
	return len(name) <= MaxNameBytes && fileNamePattern.MatchString(name)
}

// Parse merges and validates files. It merges them in the order of their names; the
// last file that sets a key determines its value. Parse returns all faults, sorted by
// file and line. The Config is usable only if there are no faults; its Revision is 0.
func Parse(files []File) (Config, []Fault) {
	var p Parser
	return p.Parse(files)
}

// Parser parses successive versions of a folder and caches parsed files between calls,
// because a revision usually changes one of thousands of files. The zero Parser is
// ready to use.
type Parser struct {
	cache map[string]parsedFile // by file name
}

// Parse is like the function Parse, but parses only files that differ from the last call.
func (p *Parser) Parse(files []File) (Config, []Fault) {
	next := make(map[string]parsedFile, len(files))
	defer func() { p.cache = next }()
	f := folder{sections: map[string]*section{}}
	sorted := slices.SortedFunc(slices.Values(files), func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	if len(sorted) > MaxFiles {
		f.addFault(Origin{}, "", "", "the folder has %d files; the maximum is %d", len(sorted), MaxFiles)
		return Config{}, f.faults
	}
	total := 0
	for i, file := range sorted {
		total += len(file.Data)
		switch at := (Origin{File: printable(file.Name)}); {
		case !ValidFileName(file.Name):
			f.addFault(at, "", "", "the file name is not of the form NAME.ini of at most %d bytes", MaxNameBytes)
		case i > 0 && sorted[i-1].Name == file.Name:
			f.addFault(at, "", "", "the folder contains two files of this name")
		case len(file.Data) > MaxFileBytes:
			f.addFault(at, "", "", "the file has %d bytes; the maximum is %d", len(file.Data), MaxFileBytes)
		case total > MaxTotalBytes:
			f.addFault(at, "", "", "the total size of the files up to this one exceeds %d bytes", MaxTotalBytes)
		default:
			parsed, ok := p.cache[file.Name]
			if !ok || !bytes.Equal(parsed.data, file.Data) {
				parsed = parseFile(file)
			}
			next[file.Name] = parsed
			f.mergeFile(file.Name, parsed)
		}
	}
	c := f.buildConfig()
	slices.SortStableFunc(f.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Message, b.Message))
	})
	if len(f.faults) > 0 {
		return Config{}, f.faults
	}
	return c, nil
}

// addFault records a fault. Section and key may be empty.
func (f *folder) addFault(at Origin, section, key, format string, args ...any) {
	f.faults = append(f.faults, Fault{File: at.File, Line: at.Line, Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

// scannedLine is a section header or a key that the line scan found. For a header, key
// is empty.
type scannedLine struct {
	section, key string
	number       int
}

// parsedFile is one file before the merge. It is immutable once parsed.
type parsedFile struct {
	data     []byte
	sections []fileSection
	faults   []Fault
}

// fileSection is a section as one file defines it.
type fileSection struct {
	title  string
	line   int
	values []assignment
}

// assignment is a key and its value as one file defines them.
type assignment struct {
	key, text string
	line      int
}

// parseFile parses one file with the line scan and the INI library, and combines the
// line numbers of the scan with the values of the library.
func parseFile(file File) parsedFile {
	f := folder{}
	result := parsedFile{data: file.Data}
	headers, lines := f.scanLines(file)
	// A file with faults is still parsed as far as possible, so that one run reports all
	// faults of a folder.
	wellFormed := len(f.faults) == 0
	library, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, KeyValueDelimiters: "=", ChildSectionDelimiter: "\x00",
	}, file.Data)
	if err != nil && wellFormed {
		// The library's error is left out because it quotes the line, which may contain a
		// hash.
		f.addFault(Origin{file.Name, 0}, "", "", "the file is not a valid INI file")
	}
	for _, h := range headers {
		values := map[string]string{}
		if err == nil {
			if found, err := library.GetSection(h.section); err == nil {
				for _, k := range found.Keys() {
					values[k.Name()] = k.Value()
				}
			}
		}
		s := fileSection{title: h.section, line: h.number}
		for _, l := range lines[h.section] {
			if v, ok := values[l.key]; ok {
				s.values = append(s.values, assignment{l.key, v, l.number})
			}
		}
		if err == nil && wellFormed && (len(s.values) != len(values) || len(s.values) != len(lines[h.section])) {
			f.addFault(Origin{file.Name, h.number}, h.section, "", "the keys of the section are ambiguous; write each line as KEY = VALUE without quotes or escapes")
		}
		result.sections = append(result.sections, s)
	}
	result.faults = f.faults
	return result
}

// mergeFile merges one file into f; its values override those of earlier files.
func (f *folder) mergeFile(name string, parsed parsedFile) {
	f.faults = append(f.faults, parsed.faults...)
	for _, part := range parsed.sections {
		s := f.sections[part.title]
		if s == nil {
			kind, sectionName, _ := strings.Cut(part.title, " ")
			s = &section{kind: kind, name: sectionName, origin: Origin{name, part.line}, values: map[string]value{}}
			f.sections[part.title] = s
		}
		for _, a := range part.values {
			at := Origin{name, a.line}
			if old, ok := s.values["team"]; ok && s.kind == kindKey && a.key == "team" && old.text != a.text {
				f.addFault(at, s.title(), "team", "the key is claimed by team %s in %s:%d too", printable(old.text), old.File, old.Line)
			}
			s.values[a.key] = value{a.text, at}
		}
	}
}

// scanLines finds the section headers and keys of one file. It returns the headers in
// order and the keys by section, and reports a fault for every other line that is
// neither empty nor a comment.
func (f *folder) scanLines(file File) (headers []scannedLine, keys map[string][]scannedLine) {
	keys = map[string][]scannedLine{}
	if !utf8.Valid(file.Data) || strings.HasPrefix(string(file.Data), "\ufeff") {
		f.addFault(Origin{file.Name, 1}, "", "", "the file must be UTF-8 without a byte order mark")
		return nil, nil
	}
	current, skip := "", false
	seen := map[settingKey]int{}
	for i, raw := range strings.Split(string(file.Data), "\n") {
		at := Origin{file.Name, i + 1}
		text := strings.TrimSpace(raw)
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		if strings.ContainsFunc(text, func(r rune) bool { return unicode.IsControl(r) && r != '\t' }) {
			f.addFault(at, current, "", "the line contains a control character")
			continue
		}
		if text[0] == '[' {
			skip = true
			m := headerPattern.FindStringSubmatch(text)
			if m == nil {
				f.addFault(at, "", "", "the section header is not of the form [KIND NAME]")
				continue
			}
			if _, ok := schema[m[1]]; !ok {
				f.addFault(at, m[1]+" "+m[2], "", "unknown section")
				continue
			}
			title := m[1] + " " + m[2]
			if first, ok := seen[settingKey{title, ""}]; ok {
				f.addFault(at, title, "", "the section was already opened in line %d", first)
				continue
			}
			current, skip = title, false
			seen[settingKey{title, ""}] = at.Line
			headers = append(headers, scannedLine{section: title, number: at.Line})
			continue
		}
		name, val, ok := strings.Cut(text, "=")
		name, val = strings.TrimSpace(name), strings.TrimSpace(val)
		switch {
		case !ok || !keyPattern.MatchString(name):
			f.addFault(at, current, "", "the line is not of the form KEY = VALUE")
		case skip: // the fault of this section's header was already reported
		case current == "":
			f.addFault(at, "", name, "the key stands before the first section")
		case strings.HasPrefix(val, "`") || strings.HasPrefix(val, `"""`):
			f.addFault(at, current, name, "quoted multi-line values are not accepted")
		case seen[settingKey{current, name}] > 0:
			f.addFault(at, current, name, "the key was already set in line %d", seen[settingKey{current, name}])
		default:
			seen[settingKey{current, name}] = at.Line
			kind, _, _ := strings.Cut(current, " ")
			if !slices.Contains(schema[kind], name) {
				f.addFault(at, current, name, "unknown key")
				continue
			}
			keys[current] = append(keys[current], scannedLine{current, name, at.Line})
		}
	}
	return headers, keys
}

// printable shortens text and replaces unprintable characters for use in a message.
func printable(text string) string {
	const maxBytes = 64
	text = strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
	if len(text) > maxBytes {
		return strings.ToValidUTF8(text[:maxBytes], "") + "…"
	}
	return text
}

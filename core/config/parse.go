package config

// This file reads a folder of INI files and merges them in name order. The INI
// library gives no line numbers, so a scan of the text locates sections and keys.
// The scan also refuses the library's extensions (quoted multi-line values, key
// names in quotes, text after a section header); what remains is a format that
// the scan and the library read alike, and a difference between them is a fault.

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

// Bounds of a folder. The store accepts values up to 1 MB, and the file list must
// fit into one value (see Head). The total keeps an instance inside its memory.
const (
	MaxFiles      = 4000       // files in a folder
	MaxFileBytes  = 1_000_000  // bytes of one file
	MaxTotalBytes = 16_000_000 // bytes of all files together
	MaxNameBytes  = 100        // bytes of a file name
)

// File is one file of the folder.
type File struct {
	Name string
	Data []byte
}

// Fault is one error in the folder. Line is 0 and Section or Key are empty where
// the fault has no such place. Message never contains a key or a hash.
type Fault struct {
	File    string
	Line    int
	Section string
	Key     string
	Message string
}

// String gives the fault as FILE:LINE: [SECTION] KEY: MESSAGE.
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

// value is a merged value with the place of its last definition.
type value struct {
	text string
	Origin
}

// section is a merged section.
type section struct {
	kind, name string
	origin     Origin // the first file that has the section
	values     map[string]value
}

func (s *section) title() string { return s.kind + " " + s.name }

// folder is the merge before the values are checked.
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

// ValidFileName reports whether name may be used in a folder: letters, digits,
// dots, dashes and underscores, at most MaxNameBytes, ending in ".ini".
func ValidFileName(name string) bool {
	return len(name) <= MaxNameBytes && fileNamePattern.MatchString(name)
}

// Parse merges files in the order of their names; a later file wins for each key.
// It returns all faults, ordered by file and line. The configuration is usable
// only if there is none. Its Revision is 0.
func Parse(files []File) (Config, []Fault) {
	var p Parser
	return p.Parse(files)
}

// Parser parses one folder after another and reads only changed files again. A
// revision usually changes one of thousands of files. The zero Parser is ready.
type Parser struct {
	cache map[string]parsedFile
}

// Parse is like the function Parse.
func (p *Parser) Parse(files []File) (Config, []Fault) {
	next := make(map[string]parsedFile, len(files))
	defer func() { p.cache = next }()
	f := folder{sections: map[string]*section{}}
	sorted := slices.SortedFunc(slices.Values(files), func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	if len(sorted) > MaxFiles {
		f.addFault(Origin{}, "", "", "the folder has %d files; the bound is %d", len(sorted), MaxFiles)
		return Config{}, f.faults
	}
	total := 0
	for i, file := range sorted {
		total += len(file.Data)
		switch at := (Origin{File: printable(file.Name)}); {
		case !ValidFileName(file.Name):
			f.addFault(at, "", "", "the file name is not of the form NAME.ini of at most %d bytes", MaxNameBytes)
		case i > 0 && sorted[i-1].Name == file.Name:
			f.addFault(at, "", "", "the file is given twice")
		case len(file.Data) > MaxFileBytes:
			f.addFault(at, "", "", "the file has %d bytes; the bound is %d", len(file.Data), MaxFileBytes)
		case total > MaxTotalBytes:
			f.addFault(at, "", "", "the files up to this one exceed %d bytes together", MaxTotalBytes)
		default:
			r, ok := p.cache[file.Name]
			if !ok || !bytes.Equal(r.data, file.Data) {
				r = parseFile(file)
			}
			next[file.Name] = r
			f.mergeFile(file.Name, r)
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

func (f *folder) addFault(at Origin, section, key, format string, args ...any) {
	f.faults = append(f.faults, Fault{File: at.File, Line: at.Line, Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

// scannedLine is a key that the scan found.
type scannedLine struct {
	section, key string
	number       int
}

// parsedFile is one file before the merge. It is not changed after it was read.
type parsedFile struct {
	data     []byte
	sections []fileSection
	faults   []Fault
}

// fileSection is a section of one file.
type fileSection struct {
	title  string
	line   int
	values []assignment
}

type assignment struct {
	key, text string
	line      int
}

// parseFile scans one file and reads it with the INI library.
func parseFile(file File) parsedFile {
	f := folder{}
	res := parsedFile{data: file.Data}
	headers, lines := f.scanLines(file)
	// A file with faults is still read as far as possible, so that one check shows all
	// faults of a folder.
	sound := len(f.faults) == 0
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, KeyValueDelimiters: "=", ChildSectionDelimiter: "\x00",
	}, file.Data)
	if err != nil && sound {
		// The library's text quotes the line, which may hold a hash.
		f.addFault(Origin{file.Name, 0}, "", "", "the file is not a valid INI file")
	}
	for _, h := range headers {
		text := map[string]string{}
		if err == nil {
			if s, err := parsed.GetSection(h.section); err == nil {
				for _, k := range s.Keys() {
					text[k.Name()] = k.Value()
				}
			}
		}
		p := fileSection{title: h.section, line: h.number}
		for _, l := range lines[h.section] {
			if v, ok := text[l.key]; ok {
				p.values = append(p.values, assignment{l.key, v, l.number})
			}
		}
		if err == nil && sound && (len(p.values) != len(text) || len(p.values) != len(lines[h.section])) {
			f.addFault(Origin{file.Name, h.number}, h.section, "", "the section cannot be read without doubt")
		}
		res.sections = append(res.sections, p)
	}
	res.faults = f.faults
	return res
}

// mergeFile merges one file.
func (f *folder) mergeFile(name string, r parsedFile) {
	f.faults = append(f.faults, r.faults...)
	for _, p := range r.sections {
		s := f.sections[p.title]
		if s == nil {
			kind, title, _ := strings.Cut(p.title, " ")
			s = &section{kind: kind, name: title, origin: Origin{name, p.line}, values: map[string]value{}}
			f.sections[p.title] = s
		}
		for _, v := range p.values {
			at := Origin{name, v.line}
			if old, ok := s.values["team"]; ok && s.kind == kindKey && v.key == "team" && old.text != v.text {
				f.addFault(at, s.title(), "team", "the key is claimed by team %s in %s:%d too", printable(old.text), old.File, old.Line)
			}
			s.values[v.key] = value{v.text, at}
		}
	}
}

// scanLines finds the sections and keys of one file and reports every line that is
// neither. It returns the headers in order and the keys of each section.
func (f *folder) scanLines(file File) (headers []scannedLine, keys map[string][]scannedLine) {
	keys = map[string][]scannedLine{}
	if !utf8.Valid(file.Data) || strings.HasPrefix(string(file.Data), "\ufeff") {
		f.addFault(Origin{file.Name, 1}, "", "", "the file is not plain UTF-8 without a byte order mark")
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
		case skip: // the header of this section was already reported
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

// printable shortens text from a file for use in a message.
func printable(text string) string {
	const most = 64
	text = strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
	if len(text) > most {
		return strings.ToValidUTF8(text[:most], "") + "…"
	}
	return text
}

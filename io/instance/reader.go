package instance

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"
)

// settingsReader reads values from an INI file and collects all faults.
type settingsReader struct {
	file   *ini.File
	path   string
	faults *errs.Group
	used   map[string][]string // the keys that were read, by section
}

func (r *settingsReader) addFault(section, key, format string, args ...any) {
	r.faults.Add(Error.New("%s: section %s: key %s: %s", r.path, section, key, errs.New(format, args...)))
}

func (r *settingsReader) text(section, key string, required bool) string {
	if r.used == nil {
		r.used = make(map[string][]string)
	}
	r.used[section] = append(r.used[section], key)
	value := r.file.Section(section).Key(key).String()
	if value == "" && required {
		r.addFault(section, key, "a value is needed")
	}
	return value
}

func (r *settingsReader) duration(section, key string, def time.Duration) time.Duration {
	text := r.text(section, key, false)
	if text == "" {
		return def
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		r.addFault(section, key, "%q is not a positive duration such as 250ms", text)
		return def
	}
	return d
}

func (r *settingsReader) choice(section, key string, values ...string) string {
	text := r.text(section, key, false)
	if text == "" {
		return values[0]
	}
	if !slices.Contains(values, text) {
		r.addFault(section, key, "%q is not one of %s", text, strings.Join(values, ", "))
	}
	return text
}

// checkSection adds a fault if no setting was read from the section.
func (r *settingsReader) checkSection(section string) {
	if _, ok := r.used[section]; !ok && section != ini.DefaultSection {
		r.faults.Add(Error.New("%s: unknown section %s", r.path, section))
	}
}

// checkKeys adds a fault for each key that no setting was read from.
func (r *settingsReader) checkKeys() {
	for _, section := range r.file.Sections() {
		used, ok := r.used[section.Name()]
		if !ok && section.Name() != ini.DefaultSection {
			continue
		}
		for _, key := range section.KeyStrings() {
			if !slices.Contains(used, key) {
				r.addFault(section.Name(), key, "unknown key")
			}
		}
	}
}

// cutSection returns the name in a section's title such as "credentials main", if the
// title begins with the kind.
func cutSection(section, kind string) (name string, ok bool) {
	name, ok = strings.CutPrefix(section, kind+" ")
	return strings.TrimSpace(name), ok && strings.TrimSpace(name) != ""
}

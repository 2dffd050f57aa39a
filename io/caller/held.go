package caller

// What a session holds for its caller: session values and prepared statements. Values go with
// each request to a gateway, whose size is limited.

import (
	"slices"
	"strings"

	"burdockseam/core/call"
)

const (
	// maxStatements and maxStatementBytes bound the prepared statements of a session, with
	// their names.
	maxStatements     = 1024
	maxStatementBytes = 4 << 20
	// maxValues and maxValueBytes bound the values of a session, with their names.
	maxValues     = 256
	maxValueBytes = 1 << 20
)

// preparedStatement is a statement that the caller has prepared under a name.
type preparedStatement struct {
	shape  string
	writes bool
}

// preparedStatements are the prepared statements of a session by name.
type preparedStatements struct {
	all   map[string]preparedStatement
	bytes int
}

// set binds a name to a statement. It changes nothing and returns false if the session would
// hold too much.
func (p *preparedStatements) set(name string, s preparedStatement) bool {
	bytes := p.bytes + len(name) + len(s.shape)
	old, ok := p.all[name]
	if ok {
		bytes -= len(name) + len(old.shape)
	}
	if bytes > maxStatementBytes || !ok && len(p.all) >= maxStatements {
		return false
	}
	if p.all == nil {
		p.all = make(map[string]preparedStatement)
	}
	p.all[name], p.bytes = s, bytes
	return true
}

// remove removes a name and reports whether it was bound.
func (p *preparedStatements) remove(name string) bool {
	old, ok := p.all[name]
	if ok {
		p.bytes -= len(name) + len(old.shape)
		delete(p.all, name)
	}
	return ok
}

// withValue returns a copy of the list, sorted by name, in which v replaces a value of the
// same name. It returns false if the list would be too large.
func withValue(list []call.Value, v call.Value) ([]call.Value, bool) {
	out := slices.Clone(list)
	out = slices.DeleteFunc(out, func(o call.Value) bool { return o.Name == v.Name })
	out = append(out, v)
	bytes := 0
	for _, o := range out {
		bytes += len(o.Name) + len(o.Data)
	}
	slices.SortFunc(out, func(a, b call.Value) int { return strings.Compare(a.Name, b.Name) })
	return out, len(out) <= maxValues && bytes <= maxValueBytes
}

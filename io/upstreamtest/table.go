package upstreamtest

// The tables are the result of applying the committed log. Every change puts or removes a
// whole row under a row ID, or creates a table, so that replicas can replay it.

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"burdockseam/core/wal"
)

// change is a change of a row, or the creation of a table.
type change struct {
	table  string
	cols   []string // set if the change creates the table
	unique [][]int
	id     uint64
	row    []cell // nil removes the row
}

// entry is a log entry: the changes of one committed transaction.
type entry struct {
	wal.Position
	changes []change
	at      time.Time // time of the commit
}

// table holds the committed rows of a table by row ID.
type table struct {
	cols   []string
	unique [][]int // the column indexes of each unique key
	rows   map[uint64][]cell
	index  []map[string]uint64 // for each unique key, the row IDs by key
}

// keyOf returns the key of a row over the given columns. ok is false if one of the
// values is null.
func keyOf(row []cell, cols []int) (key string, ok bool) {
	for i, c := range cols {
		if row[c].null {
			return "", false
		}
		if i > 0 {
			key += "\x00"
		}
		key += row[c].text
	}
	return key, true
}

// col returns the index of a column.
func (t *table) col(name string) (int, error) {
	if i := slices.Index(t.cols, name); i >= 0 {
		return i, nil
	}
	return 0, newSQLError("42703", "column %q does not exist", name)
}

// remove removes a row, if it exists, from the table and its indexes.
func (t *table) remove(id uint64) {
	row, ok := t.rows[id]
	if !ok {
		return
	}
	for i, cols := range t.unique {
		if key, ok := keyOf(row, cols); ok && t.index[i][key] == id {
			delete(t.index[i], key)
		}
	}
	delete(t.rows, id)
}

// put inserts or replaces a row.
func (t *table) put(id uint64, row []cell) {
	t.remove(id)
	t.rows[id] = row
	for i, cols := range t.unique {
		if key, ok := keyOf(row, cols); ok {
			t.index[i][key] = id
		}
	}
}

// tables holds the tables of an upstream by name.
type tables map[string]*table

// apply applies the changes of a log entry.
func (ts tables) apply(e entry) {
	for _, c := range e.changes {
		if c.cols != nil {
			t := &table{cols: c.cols, unique: c.unique, rows: map[uint64][]cell{}}
			for range c.unique {
				t.index = append(t.index, map[string]uint64{})
			}
			ts[c.table] = t
			continue
		}
		t := ts[c.table]
		if c.row == nil {
			t.remove(c.id)
		} else {
			t.put(c.id, c.row)
		}
	}
}

// transaction holds uncommitted changes. Its statements see the committed rows overlaid
// with them.
type transaction struct {
	changes     []change
	uncommitted map[string]map[uint64][]cell // the changed rows by table and row ID; a nil row is removed
	locks       []string                     // names of the locks held
	released    chan struct{}                // closed when the locks are released
	ended       bool                         // the transaction has been finished
	fenced      bool                         // rolled back by a fence or a crash
}

func newTransaction() *transaction {
	return &transaction{uncommitted: map[string]map[uint64][]cell{}, released: make(chan struct{})}
}

// addChange adds a change of a row to the transaction.
func (tx *transaction) addChange(c change) {
	tx.changes = append(tx.changes, c)
	m := tx.uncommitted[c.table]
	if m == nil {
		m = map[uint64][]cell{}
		tx.uncommitted[c.table] = m
	}
	m[c.id] = c.row
}

// rollBackTo undoes all changes but the first n.
func (tx *transaction) rollBackTo(n int) {
	kept := tx.changes[:n]
	tx.changes, tx.uncommitted = nil, map[string]map[uint64][]cell{}
	for _, c := range kept {
		tx.addChange(c)
	}
}

// matchedRow is a row that satisfies the conditions of a statement.
type matchedRow struct {
	id  uint64
	row []cell
}

// matchRows returns the rows that satisfy a statement's conditions, in the order of
// insertion. If the conditions fix all columns of a unique key, it uses the index.
func (tx *transaction) matchRows(t *table, st *statement, args []cell) ([]matchedRow, error) {
	type test struct {
		col  int
		op   string
		want cell
	}
	var tests []test
	equalTo := make([]cell, len(t.cols)) // the values required by conditions with =, or null
	for i := range equalTo {
		equalTo[i].null = true
	}
	for _, w := range st.where {
		col, err := t.col(w.col)
		if err != nil {
			return nil, err
		}
		want, err := eval(&w.right, nil, nil, args)
		if err != nil {
			return nil, err
		}
		if w.op == "=" {
			equalTo[col] = want
		}
		tests = append(tests, test{col, w.op, want})
	}
	var out []matchedRow
	addIfMatching := func(id uint64, row []cell) {
		for _, c := range tests {
			if !satisfies(row[c.col], c.op, c.want) {
				return
			}
		}
		out = append(out, matchedRow{id, row})
	}
	changedRows := tx.uncommitted[st.table]
	candidates := t.rows
	for i, cols := range t.unique {
		if key, ok := keyOf(equalTo, cols); ok {
			candidates = nil
			if id, ok := t.index[i][key]; ok {
				candidates = map[uint64][]cell{id: t.rows[id]}
			}
			break
		}
	}
	for id, row := range candidates {
		if _, changed := changedRows[id]; !changed {
			addIfMatching(id, row)
		}
	}
	for id, row := range changedRows {
		if row != nil {
			addIfMatching(id, row)
		}
	}
	slices.SortFunc(out, func(a, b matchedRow) int { return cmp.Compare(a.id, b.id) })
	return out, nil
}

// satisfies reports whether a op b holds. It is false if either value is null.
func satisfies(a cell, op string, b cell) bool {
	if a.null || b.null {
		return false
	}
	n := compareCells(a, b)
	switch op {
	case "=":
		return n == 0
	case "<":
		return n < 0
	case ">":
		return n > 0
	case "<=":
		return n <= 0
	case ">=":
		return n >= 0
	}
	return n != 0
}

// compareCells compares two values as numbers if both are numbers, else as text.
func compareCells(a, b cell) int {
	x, err1 := strconv.ParseFloat(a.text, 64)
	y, err2 := strconv.ParseFloat(b.text, 64)
	if err1 == nil && err2 == nil {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(a.text, b.text)
}

// eval evaluates an expression for a row of t and the parameters args. t is nil if the
// expression may not use columns.
func eval(e *expr, t *table, row, args []cell) (cell, error) {
	v := e.value
	switch {
	case e.param > len(args):
		return v, newSQLError("42P02", "there is no parameter $%d", e.param)
	case e.param > 0:
		v = args[e.param-1]
	case e.col != "" && t == nil:
		return v, newSQLError("42703", "column %q does not exist", e.col)
	case e.col != "":
		i, err := t.col(e.col)
		if err != nil {
			return v, err
		}
		v = row[i]
	}
	if e.op == "" {
		return v, nil
	}
	r, err := eval(e.right, t, row, args)
	if err != nil {
		return v, err
	}
	if v.null || r.null {
		return cell{null: true}, nil
	}
	a, err := strconv.ParseInt(v.text, 10, 64)
	if err != nil {
		return v, newSQLError("22P02", "invalid input syntax for type bigint: %q", v.text)
	}
	b, err := strconv.ParseInt(r.text, 10, 64)
	if err != nil {
		return v, newSQLError("22P02", "invalid input syntax for type bigint: %q", r.text)
	}
	if e.op == "-" {
		b = -b
	}
	return cell{text: strconv.FormatInt(a+b, 10)}, nil
}

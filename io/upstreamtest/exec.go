package upstreamtest

import (
	"fmt"
	"slices"
	"strconv"
)

// result is the response to a statement.
type result struct {
	cols   []string // nil if the statement returns no rows
	rows   [][]cell
	series int    // number of generate_series rows, which are generated while being sent
	tag    string // command tag
}

// lockConflict is returned if another transaction holds a needed lock. The statement
// has to be repeated after that transaction has ended.
type lockConflict struct{ holder *transaction }

func (lockConflict) Error() string { return "locked by another transaction" }

// columns returns the names of a statement's result columns, or nil, without running
// it; u.mu is held.
func (u *Upstream) columns(st *statement) ([]string, error) {
	switch st.verb {
	case vSelect:
		if st.count {
			return []string{"count"}, nil
		}
		t, err := u.table(st.table)
		if err != nil {
			return nil, err
		}
		if st.cols == nil {
			return t.cols, nil
		}
		for _, c := range st.cols {
			if _, err := t.col(c); err != nil {
				return nil, err
			}
		}
		return st.cols, nil
	case vConst:
		return slices.Repeat([]string{"?column?"}, len(st.args)), nil
	case vShow:
		return []string{st.name}, nil
	case vSleep, vSeries:
		return []string{string(st.verb)}, nil
	case vControl:
		return controlColumns[st.name], nil
	}
	return nil, nil
}

// table returns the table with the given name; u.mu is held.
func (u *Upstream) table(name string) (*table, error) {
	if t, ok := u.tables[name]; ok {
		return t, nil
	}
	return nil, newSQLError("42P01", "relation %q does not exist", name)
}

// needsPrimary reports whether only the primary may run the statement.
func (st *statement) needsPrimary() bool {
	switch st.verb {
	case vCreate, vInsert, vUpdate, vDelete:
		return true
	}
	return st.forUpdate
}

// runStatement executes a statement on the tables; u.mu is held. If it fails, its
// changes are undone.
func (u *Upstream) runStatement(tx *transaction, st *statement, args []cell) (result, error) {
	if st.needsPrimary() && !u.isPrimary() {
		return result{}, newSQLError("25006", "cannot execute %s in a read-only transaction", st.verb)
	}
	savepoint := len(tx.changes)
	r, err := u.executeVerb(tx, st, args)
	if err != nil {
		tx.rollBackTo(savepoint)
	}
	return r, err
}

// executeVerb executes a statement that uses tables or returns computed rows.
func (u *Upstream) executeVerb(tx *transaction, st *statement, args []cell) (result, error) {
	switch st.verb {
	case vCreate:
		return u.createTable(st)
	case vInsert:
		return u.insert(tx, st, args)
	case vUpdate, vDelete:
		return u.updateOrDelete(tx, st, args)
	case vSelect:
		return u.selectRows(tx, st, args)
	}
	r := result{tag: "SELECT 1"}
	r.cols, _ = u.columns(st)
	switch st.verb {
	case vConst:
		row := make([]cell, len(st.args))
		for i := range st.args {
			var err error
			if row[i], err = eval(&st.args[i], nil, nil, args); err != nil {
				return r, err
			}
		}
		r.rows = [][]cell{row}
	case vSleep:
		r.rows = [][]cell{{{}}}
	case vSeries:
		n, err := numberArg(st, args, 1)
		if err != nil {
			return r, err
		}
		r.series, r.tag = int(n), fmt.Sprintf("SELECT %d", int(n))
	}
	return r, nil
}

// numberArg evaluates argument i of a function call as a non-negative number.
func numberArg(st *statement, args []cell, i int) (float64, error) {
	if i >= len(st.args) {
		return 0, newSQLError("42883", "function %s lacks an argument", st.verb)
	}
	v, err := eval(&st.args[i], nil, nil, args)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseFloat(v.text, 64)
	if err != nil || n < 0 {
		return 0, newSQLError("22P02", "invalid number %q", v.text)
	}
	return n, nil
}

// createTable creates a table. Tables are created immediately and outside the
// transaction, also by the first INSERT into a missing table.
func (u *Upstream) createTable(st *statement) (result, error) {
	if _, ok := u.tables[st.table]; ok {
		if !st.ifNotExists {
			return result{}, newSQLError("42P07", "relation %q already exists", st.table)
		}
		return result{tag: "CREATE TABLE"}, nil
	}
	u.append([]change{{table: st.table, cols: st.cols, unique: st.unique}})
	return result{tag: "CREATE TABLE"}, nil
}

// acquireLock takes a lock for the transaction. It returns a lockConflict if another
// transaction holds the lock.
func (u *Upstream) acquireLock(tx *transaction, name string) error {
	switch holder := u.locks[name]; holder {
	case nil:
		u.locks[name] = tx
		tx.locks = append(tx.locks, name)
	case tx:
	default:
		return lockConflict{holder}
	}
	return nil
}

// rowLock returns the name of the lock of a row.
func rowLock(table string, id uint64) string { return table + "#" + strconv.FormatUint(id, 10) }

// lockUniqueKeys locks the unique keys of a row and checks that no other row has the
// same keys.
func (u *Upstream) lockUniqueKeys(tx *transaction, name string, t *table, id uint64, row []cell) error {
	changedRows := tx.uncommitted[name]
	for i, cols := range t.unique {
		key, ok := keyOf(row, cols)
		if !ok {
			return newSQLError("23502", "null value in a unique key of %q violates not-null constraint", name)
		}
		if err := u.acquireLock(tx, fmt.Sprintf("%s=%d=%s", name, i, key)); err != nil {
			return err
		}
		duplicate := false
		if other, ok := t.index[i][key]; ok && other != id {
			_, changed := changedRows[other]
			duplicate = !changed
		}
		for other, r := range changedRows {
			if r != nil && other != id {
				k, _ := keyOf(r, cols)
				duplicate = duplicate || k == key
			}
		}
		if duplicate {
			return newSQLError("23505", "duplicate key value violates unique constraint \"%s_%s_key\"", name, t.cols[cols[0]])
		}
	}
	return nil
}

// insert runs an INSERT. It creates a missing table from the column list.
func (u *Upstream) insert(tx *transaction, st *statement, args []cell) (result, error) {
	t, ok := u.tables[st.table]
	if !ok {
		if st.cols == nil {
			return result{}, newSQLError("42P01", "relation %q does not exist", st.table)
		}
		u.append([]change{{table: st.table, cols: st.cols}})
		t = u.tables[st.table]
	}
	cols := st.cols
	if cols == nil {
		cols = t.cols
	}
	n := 0
	for _, values := range st.rows {
		if len(values) > len(cols) {
			return result{}, newSQLError("42601", "INSERT has more expressions than target columns")
		}
		row := make([]cell, len(t.cols))
		for i := range row {
			row[i].null = true
		}
		for i := range values {
			c, err := t.col(cols[i])
			if err != nil {
				return result{}, err
			}
			if row[c], err = eval(&values[i], nil, nil, args); err != nil {
				return result{}, err
			}
		}
		u.lastRowID++
		id := u.lastRowID
		if err := u.lockUniqueKeys(tx, st.table, t, id, row); err != nil {
			if e, ok := err.(*sqlError); ok && e.code == "23505" && st.onConflictDoNothing {
				continue
			}
			return result{}, err
		}
		tx.addChange(change{table: st.table, id: id, row: row})
		n++
	}
	return result{tag: fmt.Sprintf("INSERT 0 %d", n)}, nil
}

// updateOrDelete locks the matching rows and changes or deletes them.
func (u *Upstream) updateOrDelete(tx *transaction, st *statement, args []cell) (result, error) {
	t, err := u.table(st.table)
	if err != nil {
		return result{}, err
	}
	rows, err := tx.matchRows(t, st, args)
	if err != nil {
		return result{}, err
	}
	for _, f := range rows {
		if err := u.acquireLock(tx, rowLock(st.table, f.id)); err != nil {
			return result{}, err
		}
		if st.verb == vDelete {
			tx.addChange(change{table: st.table, id: f.id})
			continue
		}
		row := slices.Clone(f.row)
		for i := range st.set {
			c, err := t.col(st.set[i].col)
			if err != nil {
				return result{}, err
			}
			if row[c], err = eval(&st.set[i].value, t, f.row, args); err != nil {
				return result{}, err
			}
		}
		if err := u.lockUniqueKeys(tx, st.table, t, f.id, row); err != nil {
			return result{}, err
		}
		tx.addChange(change{table: st.table, id: f.id, row: row})
	}
	return result{tag: fmt.Sprintf("%s %d", st.verb, len(rows))}, nil
}

// selectRows runs a SELECT from a table.
func (u *Upstream) selectRows(tx *transaction, st *statement, args []cell) (result, error) {
	cols, err := u.columns(st)
	if err != nil {
		return result{}, err
	}
	t, err := u.table(st.table)
	if err != nil {
		return result{}, err
	}
	rows, err := tx.matchRows(t, st, args)
	if err != nil {
		return result{}, err
	}
	if st.forUpdate {
		for _, f := range rows {
			if err := u.acquireLock(tx, rowLock(st.table, f.id)); err != nil {
				return result{}, err
			}
		}
	}
	if st.count {
		return result{cols: cols, rows: [][]cell{{{text: strconv.Itoa(len(rows))}}}, tag: "SELECT 1"}, nil
	}
	if st.name != "" {
		orderColumn, err := t.col(st.name)
		if err != nil {
			return result{}, err
		}
		slices.SortStableFunc(rows, func(a, b matchedRow) int {
			if st.descending {
				a, b = b, a
			}
			return compareCells(a.row[orderColumn], b.row[orderColumn])
		})
	}
	if st.limit >= 0 && st.limit < len(rows) {
		rows = rows[:st.limit]
	}
	out := make([][]cell, len(rows))
	for i, f := range rows {
		for _, name := range cols {
			c, _ := t.col(name)
			out[i] = append(out[i], f.row[c])
		}
	}
	return result{cols: cols, rows: out, tag: fmt.Sprintf("SELECT %d", len(out))}, nil
}

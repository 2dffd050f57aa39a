package upstreamtest

import (
	"context"
	"errors"
	"time"

	"burdockseam/core/wal"

	"github.com/jackc/pgx/v5/pgproto3"
)

// lockTimeout resolves deadlocks: a statement that waits longer for a lock fails.
const lockTimeout = 2 * time.Second

// errResponseLost closes the connection whose response the LoseResponses fault drops.
var errResponseLost = errors.New("response dropped by an injected fault")

// execute runs one statement. last is set for the last statement of a Query; an
// implicit transaction is committed with it.
func (c *conn) execute(st *statement, args []cell, last bool) (result, error) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancelMu.Lock()
	c.cancel = cancel
	c.cancelMu.Unlock()
	defer func() {
		c.cancelMu.Lock()
		c.cancel = nil
		c.cancelMu.Unlock()
		cancel()
	}()
	if st.verb == vControl {
		return c.u.runControl(ctx, st, args)
	}
	if c.control {
		return result{}, newSQLError("42501", "control connections accept control functions only")
	}
	switch {
	case st.verb == vRollback:
		return c.endTransaction(st.verb)
	case c.isFenced():
		c.u.stats.update(func(s *Stats) { s.Fenced++ })
		if st.verb == vCommit {
			c.endTransaction(vRollback)
		}
		return result{}, errFenced
	case st.verb == vCommit:
		return c.endTransaction(st.verb)
	case c.failed:
		return result{}, newSQLError("25P02", "current transaction is aborted")
	}
	switch st.verb {
	case vBegin:
		if c.tx == nil {
			c.tx, c.implicit = c.implicit, nil
		}
		if c.tx == nil {
			c.u.mu.Lock()
			c.tx = c.u.beginTransaction()
			c.u.mu.Unlock()
		}
		return result{tag: "BEGIN"}, nil
	case vDiscard:
		c.settings = map[string]string{}
		c.appName = c.client.Params["application_name"]
		return result{tag: "DISCARD ALL"}, nil
	case vSet:
		v := st.args[0].value.text
		c.settings[st.name] = v
		if st.name == "application_name" {
			c.appName = v
		}
		return result{tag: "SET"}, nil
	case vShow:
		v, ok := c.settings[st.name]
		if !ok {
			v = c.client.Params[st.name]
		}
		return result{cols: []string{st.name}, rows: [][]cell{{{text: v}}}, tag: "SHOW"}, nil
	}
	r, pos, wrote, err := c.runInSlot(ctx, st, args, last)
	if err != nil {
		if errors.Is(err, context.Canceled) && c.ctx.Err() == nil {
			err = newSQLError("57014", "canceling statement due to user request")
		}
		return r, err
	}
	return r, c.reportPosition(pos, wrote)
}

// isFenced reports whether the connection's term is not the fenced term, or its open
// transaction was rolled back by a fence or a crash.
func (c *conn) isFenced() bool {
	c.u.mu.Lock()
	defer c.u.mu.Unlock()
	return c.isFencedLocked()
}

// isFencedLocked is isFenced with u.mu held.
func (c *conn) isFencedLocked() bool {
	return c.hasTerm && c.term != c.u.fencedTerm ||
		c.tx != nil && c.tx.fenced || c.implicit != nil && c.implicit.fenced
}

// endTransaction commits or rolls back the open transaction, explicit or implicit.
func (c *conn) endTransaction(v verb) (result, error) {
	tx := c.tx
	if tx == nil {
		tx = c.implicit
	}
	failed := c.failed
	c.tx, c.implicit, c.failed = nil, nil, false
	if tx == nil {
		return result{tag: string(v)}, nil
	}
	c.u.mu.Lock()
	if v == vRollback || failed {
		c.u.finishTransaction(tx)
		c.u.mu.Unlock()
		return result{tag: string(vRollback)}, nil
	}
	wrote := len(tx.changes) > 0
	err := c.u.commit(tx)
	pos := c.u.position()
	c.u.mu.Unlock()
	if err != nil {
		return result{}, err
	}
	return result{tag: string(v)}, c.reportPosition(pos, wrote)
}

// reportPosition sends the log position at the end of the statement as the parameter
// group.position. The LoseResponses fault applies here, after a write has been committed.
func (c *conn) reportPosition(pos wal.Position, wrote bool) error {
	if wrote {
		if lost, mute := c.u.faults.loseNextResponse(); lost {
			if !mute {
				return errResponseLost
			}
			c.muted.Store(true)
		}
	}
	if pos != c.reported || wrote || !c.positionReported {
		c.reported, c.positionReported = pos, true
		c.backend.Send(&pgproto3.ParameterStatus{Name: "group.position", Value: pos.String()})
	}
	return nil
}

// runInSlot runs a statement in one of the upstream's execution slots, and repeats it
// after waiting for a lock. It returns the log position at the end and whether the
// statement committed a write.
func (c *conn) runInSlot(ctx context.Context, st *statement, args []cell, last bool) (r result, pos wal.Position, wrote bool, err error) {
	u := c.u
	duration := u.faults.timings().exec
	if st.verb == vSleep {
		secs, err := numberArg(st, args, 0)
		if err != nil {
			return r, pos, false, err
		}
		duration += time.Duration(secs * float64(time.Second))
	}
	for {
		select {
		case u.slots <- struct{}{}:
		case <-ctx.Done():
			return r, pos, false, ctx.Err()
		}
		u.stats.beginExecution()
		err = c.sleep(ctx, duration)
		if err == nil {
			err = c.waitResumed(ctx)
		}
		if err == nil {
			r, pos, wrote, err = c.tryStatement(st, args, last)
		}
		u.stats.endExecution()
		<-u.slots
		conflict, isConflict := err.(lockConflict)
		if !isConflict {
			if err != errFenced && ctx.Err() == nil {
				u.stats.countExecution(c.appName)
			}
			return r, pos, wrote, err
		}
		u.stats.update(func(s *Stats) { s.Blocked++ })
		duration = 0
		select {
		case <-conflict.holder.released:
		case <-time.After(lockTimeout):
			return r, pos, false, newSQLError("40P01", "gave up waiting for a lock")
		case <-ctx.Done():
			return r, pos, false, ctx.Err()
		}
	}
}

// waitResumed blocks a statement while the upstream is paused.
func (c *conn) waitResumed(ctx context.Context) error {
	for {
		c.u.faults.mu.Lock()
		paused, changed := c.u.faults.paused, c.u.faults.changed
		c.u.faults.mu.Unlock()
		if !paused {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryStatement runs the statement once, and commits its transaction unless that
// continues after the statement.
func (c *conn) tryStatement(st *statement, args []cell, last bool) (r result, pos wal.Position, wrote bool, err error) {
	u := c.u
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.isFencedLocked() {
		u.stats.update(func(s *Stats) { s.Fenced++ })
		return r, pos, false, errFenced
	}
	tx, commit := c.tx, false
	if tx == nil {
		commit = last
		if tx = c.implicit; tx == nil {
			tx = u.beginTransaction()
		}
	}
	r, err = u.runStatement(tx, st, args)
	if err == nil && commit {
		wrote = len(tx.changes) > 0
		err = u.commit(tx)
	}
	if err != nil && c.tx == nil && c.implicit == nil {
		u.finishTransaction(tx)
	}
	return r, u.position(), wrote && err == nil, err
}

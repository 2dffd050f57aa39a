package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"burdockseam/core"
	"burdockseam/core/lease"
)

// Guards against a daemon that starts with bad settings, or that names the first
// fault only.
func TestBadSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.ini")
	text := "[instance]\nname = x\nlisten = 127.0.0.1:0\ncleartext = maybe\ncolour = red\n[limits]\ndrain = soon\n[stoor]\naddress = 127.0.0.1:1\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := serveFile(t, "bad", file)
	if code := p.ended(); code != exitFailed {
		t.Errorf("exit code %d, want %d", code, exitFailed)
	}
	for _, part := range []string{
		"key domain: a value is needed", "key secret: a value is needed", "section store: key address", "key cleartext", "key colour: unknown key",
		"key drain", "unknown section stoor",
	} {
		if !strings.Contains(p.text(), part) {
			t.Errorf("the faults lack %q", part)
		}
	}
	if strings.Contains(p.text(), "started") {
		t.Error("the daemon has started")
	}
}

// end takes processes that have ended off the platform's list and waits until every
// quota shard has an owner and standbys that live. Without that, the next fault
// could take the owner and both standbys of a shard, which stops it for longer.
func (w *world) end(dead ...*process) {
	w.Helper()
	w.procs = slices.DeleteFunc(w.procs, func(p *process) bool { return slices.Contains(dead, p) })
	w.publish()
	w.eventually("all leases name live instances only", func() bool {
		list, err := w.client.List(context.Background(), "owner/")
		if err != nil || len(list.Objects) != core.Shards {
			return false
		}
		for _, o := range list.Objects {
			l, err := lease.Decode(o.Value)
			if err != nil || len(l.Standbys) < 2 {
				return false
			}
			for _, i := range append(l.Standbys, l.Owner) {
				if !slices.ContainsFunc(w.procs, func(p *process) bool { return strings.HasPrefix(i.ID, p.peer+"#") }) {
					return false
				}
			}
		}
		return true
	})
	for team := range w.keys {
		for _, p := range w.procs {
			c := w.connect(p, team)
			w.eventually(team+" writes through "+p.name, func() bool { return try(c, "UPDATE bookings SET team = 'x' WHERE hall = 'none'") == nil })
			// A connection that stays would be counted as cut later.
			if err := c.Close(context.Background()); err != nil {
				w.Error(err)
			}
		}
	}
}

// TestProcesses runs real daemons and ends or freezes one after another.
func TestProcesses(t *testing.T) {
	w := newWorld(t, 7)
	drained, cut, killed, frozen, other, last := w.procs[0], w.procs[1], w.procs[2], w.procs[3], w.procs[4], w.procs[6]
	c := w.connect(last, "choir")
	w.exec(c, "CREATE TABLE bookings (hall text PRIMARY KEY, team text)")
	w.exec(c, insert("first"))

	// Guards against a graceful shutdown that cuts an open transaction.
	t.Run("first signal", func(t *testing.T) {
		p := drained
		open := w.connect(p, "choir")
		w.exec(open, "BEGIN")
		w.exec(open, insert("drained"))
		p.signal(syscall.SIGTERM)
		w.eventually("the instance drains", func() bool { _, why := p.ready(); return strings.Contains(why, "draining") })
		if refused, err := w.dial(p, "choir"); err == nil {
			t.Errorf("a draining instance takes a new caller: %v", refused.Close(context.Background()))
		}
		if err := try(open, insert("drained too")); err != nil {
			t.Errorf("statement of an open transaction: %v", err)
		}
		if err := try(open, "COMMIT"); err != nil {
			t.Errorf("commit of an open transaction: %v", err)
		}
		if code := p.ended(); code != 0 {
			t.Errorf("exit code %d, want 0", code)
		}
		if !strings.Contains(p.text(), `msg="shutdown: drained"`) || !strings.Contains(p.text(), "cut=0") {
			t.Error("the log does not say that nothing was cut")
		}
		w.wantRows("drained", 1)
		w.wantRows("drained too", 1)
	})

	w.end(drained)

	// Guards against a second signal that waits for callers, and against a cut
	// transaction that is not logged or is committed.
	t.Run("second signal", func(t *testing.T) {
		p := cut
		open := w.connect(p, "choir")
		w.exec(open, "BEGIN")
		w.exec(open, insert("cut"))
		p.signal(syscall.SIGTERM)
		w.eventually("the instance drains", func() bool { _, why := p.ready(); return strings.Contains(why, "draining") })
		p.signal(syscall.SIGTERM)
		p.ended()
		if !strings.Contains(p.text(), `msg="shutdown: ended by a second signal" cut=1`) {
			t.Error("the log does not say that one caller was cut")
		}
		if err := try(open, "COMMIT"); err == nil {
			t.Error("a commit after the end of the instance is acknowledged")
		}
		w.exec(c, insert("cut")) // fails if the transaction was committed, waits while it is open
		w.wantRows("cut", 1)
	})

	w.end(cut)

	// Guards against a transaction that stays open at the upstream, with its locks,
	// after its entry instance was killed.
	t.Run("kill", func(t *testing.T) {
		p := killed
		open := w.connect(p, "choir")
		w.exec(open, "BEGIN")
		w.exec(open, insert("killed"))
		p.signal(syscall.SIGKILL)
		p.ended()
		// The gateways may have died as well, so a refusal that nothing ran is repeated. A
		// transaction that stayed open would hold the row, and the insert would wait.
		w.eventually("the hall can be booked again", func() bool {
			err := try(c, insert("killed"))
			if err != nil && !outcomeKnown(err) {
				t.Fatal(err)
			}
			return err == nil
		})
		w.wantRows("killed", 1)
	})

	w.end(killed)
	t.Run("freeze", func(t *testing.T) { freeze(t, w, frozen, other) })
}

// freeze stops a process for longer than its leases and the freshness bound. In the
// meantime a key is withdrawn and the group gets another primary. It guards against
// an instance that wakes up and acts on what it knew before: that runs a statement
// of the withdrawn key, or acknowledges a write by the old primary.
func freeze(t *testing.T, w *world, p, other *process) {
	withdrawn, valid := w.connect(p, "band"), w.connect(p, "choir")
	w.exec(withdrawn, insert("before"))
	w.exec(valid, insert("before too"))
	p.signal(syscall.SIGSTOP)
	defer p.signal(syscall.SIGCONT)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	// These arrive while the process is frozen, so it reads them when it wakes.
	late := make(chan error, 2)
	go func() { late <- try(withdrawn, insert("withdrawn")) }()
	go func() { late <- try(valid, insert("valid")) }()

	client := w.ctl()
	client.Operators = []string{other.operator}
	out, err := client.WithdrawKey(ctx, w.keys["band"].ID)
	if err != nil {
		t.Fatal(err)
	}
	// The wait ends no earlier than the freshness bound for a silent instance.
	dead, err := client.Wait(ctx, out.Revision)
	// It is named by its address if the asked instance had not heard its name before.
	named := func(text string) bool {
		return strings.HasPrefix(text, p.name+" in ") || strings.HasPrefix(text, p.peer+" in ")
	}
	if err != nil || !slices.ContainsFunc(dead, named) {
		t.Fatalf("dead %q, %v, want %s among them", dead, err, p.name)
	}
	old := w.group.Primary()
	old.Isolate()
	w.eventually("another primary", func() bool { return w.group.Primary() != old })
	c := w.connect(other, "choir")
	// Each try has a hall of its own, since one of an unknown outcome may have run.
	booked := ""
	for i := 0; booked == ""; i++ {
		hall := fmt.Sprint("new primary ", i)
		err := try(c, insert(hall))
		if err == nil {
			booked = hall
		} else if ctx.Err() != nil {
			t.Fatalf("no write at the new primary: %v", err)
		}
	}

	p.signal(syscall.SIGCONT)
	acknowledged := 0
	for range 2 {
		if err := <-late; err == nil {
			acknowledged++
		} else if !outcomeKnown(err) {
			t.Logf("outcome unknown: %v", err)
		}
	}
	if n := w.rows("withdrawn"); n != 0 {
		t.Errorf("a statement of a withdrawn key ran: %d rows", n)
	}
	if got := w.rows("valid"); acknowledged > 0 && got != 1 {
		t.Errorf("a write was acknowledged, and the primary has %d rows of it", got)
	}
	if err := try(withdrawn, insert("withdrawn later")); err == nil {
		t.Error("a session of a withdrawn key goes on")
	}
	w.eventually("the instance is ready again", func() bool { ok, _ := p.ready(); return ok })
	if _, err := w.dial(p, "band"); err == nil {
		t.Error("a withdrawn key logs in after the freeze")
	}
	again := w.connect(p, "choir")
	w.exec(again, insert("after"))
	old.HealPartitions()
	for _, hall := range []string{"first", "drained", "before", "before too", booked, "after"} {
		w.wantRows(hall, 1)
	}
	w.wantRows("withdrawn later", 0)
}

// outcomeKnown reports whether a refusal says that nothing ran.
func outcomeKnown(err error) bool {
	var pe *pgconn.PgError
	return errors.As(err, &pe) && pe.Code == "BS001"
}

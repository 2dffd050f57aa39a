package instance

// A write with an idempotency key runs in one transaction with the insertion of a row that
// holds the key, in a table of the upstream itself. The instances store nothing, and the row
// survives a failover exactly if the write does. A repeated write finds the row, waits until
// a majority holds it, and returns the recorded command tag.

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"burdockseam/core/statement"
	"burdockseam/io/postgres"
)

// idempotencyTable has one row for each key. Its column day is the day of the first run.
// Rows are removed by whole days, so that each row is kept for at least 24 h.
const idempotencyTable = "burdockseam_idempotency"

// stateDuplicate is the SQLSTATE with which the upstream refuses the insertion of a key
// that exists.
const stateDuplicate = "23505"

// idempotentRun is a run whose batches may have idempotency keys.
type idempotentRun struct {
	*run
	tag    string // the command tag of the batch's statement
	failed bool   // the batch's statement has failed
	// position is the last commit position that the run's own statements reported. It is
	// passed to the session, which would otherwise not read its own write.
	position *postgres.Frame
	pending  []postgres.Frame // messages that Next returns first
}

// Send implements postgres.Backend.
func (i *idempotentRun) Send(b *postgres.Batch) error {
	if b.IdempotencyKey == "" {
		return i.run.Send(b)
	}
	if i.connectionHeld {
		return &postgres.StatementError{Code: "0A000", Message: "an idempotency key cannot be used inside a transaction"}
	}
	if countStatements(b.Frames) != 1 {
		return &postgres.StatementError{Code: "0A000", Message: "an idempotency key needs a batch with exactly one statement"}
	}
	id := quote(i.header.Team + "/" + b.IdempotencyKey)
	if err := i.prepareTable(); err != nil {
		return err
	}
	err := i.claim(id)
	if sqlState(err) == stateDuplicate {
		return i.answerRepeated(id, b)
	}
	if err != nil {
		return err
	}
	return i.runFirst(id, b)
}

// keyTableCheck is the term and the day in which idempotencyTable was last created and
// purged.
type keyTableCheck struct {
	term uint64
	day  string
}

// prepareTable creates the table once in each term, since a promotion may have dropped a
// table that no majority held. It also removes old keys, once a day.
func (i *idempotentRun) prepareTable() error {
	g := i.gateway
	g.mu.Lock()
	now := keyTableCheck{i.header.Term, g.in.now().UTC().Format(time.DateOnly)}
	ready := g.keyTableChecked == now
	g.mu.Unlock()
	if ready {
		return nil
	}
	if err := i.exec("CREATE TABLE IF NOT EXISTS " + idempotencyTable + " (id text PRIMARY KEY, tag text, day text, runs text)"); err != nil {
		return err
	}
	g.mu.Lock()
	g.keyTableChecked = now
	g.mu.Unlock()
	return i.purge()
}

// purge removes the keys of days that ended more than 24 h ago.
func (i *idempotentRun) purge() error {
	for _, age := range []int{2, 3, 4} {
		day := i.gateway.in.now().UTC().AddDate(0, 0, -age).Format(time.DateOnly)
		if err := i.exec(fmt.Sprintf("DELETE FROM %s WHERE day = '%s'", idempotencyTable, day)); err != nil {
			return err
		}
	}
	return nil
}

// claim begins the transaction and inserts the key. If the key exists, the transaction is
// rolled back and the error has the SQLSTATE stateDuplicate.
func (i *idempotentRun) claim(id string) error {
	if err := i.exec("BEGIN"); err != nil {
		return err
	}
	day := i.gateway.in.now().UTC().Format(time.DateOnly)
	err := i.exec(fmt.Sprintf("INSERT INTO %s (id, tag, day, runs) VALUES (%s, '', '%s', '1')", idempotencyTable, id, day))
	if err != nil && sqlState(err) != "" {
		if rollback := i.exec("ROLLBACK"); rollback != nil {
			return rollback
		}
	}
	return err
}

// runFirst runs the batch, records its command tag and commits. The answer is returned
// only after the commit is acknowledged.
func (i *idempotentRun) runFirst(id string, b *postgres.Batch) error {
	answer, err := i.collect(b)
	if err != nil {
		return err
	}
	if i.failed {
		if err := i.exec("ROLLBACK"); err != nil {
			return err
		}
	} else if err := i.commit(id); err != nil {
		return err
	}
	i.queuePosition()
	i.pending = append(i.pending, answer...)
	i.pending = append(i.pending, readyFrame())
	return nil
}

// queuePosition queues the commit position for the session, ahead of the answer.
func (i *idempotentRun) queuePosition() {
	if i.position != nil {
		i.pending = append(i.pending, *i.position)
		i.position = nil
	}
}

// commit records the command tag and commits the transaction.
func (i *idempotentRun) commit(id string) error {
	if err := i.exec(fmt.Sprintf("UPDATE %s SET tag = %s WHERE id = %s", idempotencyTable, quote(i.tag), id)); err != nil {
		return err
	}
	return i.exec("COMMIT")
}

// answerRepeated answers a batch that has run before. The update of the row gets a commit
// position beyond that of the first run, so its acknowledgement covers the first run too.
func (i *idempotentRun) answerRepeated(id string, b *postgres.Batch) error {
	if err := i.exec(fmt.Sprintf("UPDATE %s SET runs = '2' WHERE id = %s", idempotencyTable, id)); err != nil {
		return err
	}
	rows, err := i.query(fmt.Sprintf("SELECT tag FROM %s WHERE id = %s", idempotencyTable, id))
	if err != nil {
		return err
	}
	if len(rows) != 1 {
		return postgres.NewRefusal(postgres.Unknown, "the record of the idempotency key has gone")
	}
	i.gateway.in.log.Info("gateway: batch with this idempotency key has run before", "request", i.header.ID, "team", i.header.Team, "upstream", i.header.Upstream)
	stripped := withoutExecutes(b)
	var answer []postgres.Frame
	if len(stripped.Frames) > 0 {
		if answer, err = i.collect(stripped); err != nil {
			return err
		}
	}
	i.queuePosition()
	i.pending = append(i.pending, answer...)
	complete, err := (&pgproto3.CommandComplete{CommandTag: []byte(rows[0])}).Encode(nil)
	if err != nil {
		return Error.Wrap(err)
	}
	i.pending = append(i.pending, postgres.NewFrame(complete), readyFrame())
	return nil
}

// Next implements postgres.Backend.
func (i *idempotentRun) Next() (postgres.Frame, error) {
	if len(i.pending) > 0 {
		f := i.pending[0]
		i.pending = i.pending[1:]
		return f, nil
	}
	return i.run.Next()
}

// Answered reports whether the answers to all messages that were sent have been returned.
func (i *idempotentRun) Answered() bool { return len(i.pending) == 0 && i.run.Answered() }

// collect runs a batch inside the transaction and returns the answer without the final
// ReadyForQuery. The answer is kept in memory until the commit, so its size is limited.
func (i *idempotentRun) collect(b *postgres.Batch) ([]postgres.Frame, error) {
	var answer []postgres.Frame
	size := 0
	err := i.runBatch(b, func(f postgres.Frame) error {
		switch f.Type {
		case typeComplete:
			var m pgproto3.CommandComplete
			if m.Decode(f.Body) == nil {
				i.tag = string(m.CommandTag)
			}
		case typeError:
			i.failed = true
		}
		if size += len(f.Raw); size > maxIdempotentAnswer {
			return i.outcomeUnknown("the answer of a batch with an idempotency key is longer than %d bytes", maxIdempotentAnswer)
		}
		answer = append(answer, f.Clone())
		return nil
	})
	return answer, err
}

// runBatch sends a batch and passes the messages of its answer, up to ReadyForQuery, to
// take.
func (i *idempotentRun) runBatch(b *postgres.Batch, take func(postgres.Frame) error) error {
	if err := i.run.Send(b); err != nil {
		return err
	}
	for {
		f, err := i.run.Next()
		if err != nil || f.Type == typeReady {
			return err
		}
		if err := take(f); err != nil {
			return err
		}
	}
}

// maxIdempotentAnswer limits the size of an answer that waits for its commit, in bytes.
const maxIdempotentAnswer = 1 << 20

// exec runs one of the gateway's own statements.
func (i *idempotentRun) exec(sql string) error {
	_, err := i.query(sql)
	return err
}

// query runs one of the gateway's own statements and returns the first column of its
// rows. An error of the database is a *pgconn.PgError.
func (i *idempotentRun) query(sql string) ([]string, error) {
	frames, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var rows []string
	var failed error
	err = i.runBatch(&postgres.Batch{Kind: statement.Write, Frames: frames}, func(f postgres.Frame) error {
		switch f.Type {
		case typeParameterStatus:
			var m pgproto3.ParameterStatus
			if m.Decode(f.Body) == nil && m.Name == positionParameter {
				report := f.Clone()
				i.position = &report
			}
		case typeRow:
			var m pgproto3.DataRow
			if m.Decode(f.Body) == nil && len(m.Values) > 0 {
				rows = append(rows, string(m.Values[0]))
			}
		case typeError:
			var m pgproto3.ErrorResponse
			if m.Decode(f.Body) != nil {
				return i.outcomeUnknown("upstream %s sent a malformed error", i.header.Upstream)
			}
			failed = pgconn.ErrorResponseToPgError(&m)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return rows, failed
}

// sqlState returns the SQLSTATE of an error of the database, or "" for another error.
func sqlState(err error) string {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return pe.Code
	}
	return ""
}

func quote(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// countStatements returns the number of statements that the messages of a batch run.
func countStatements(frames []byte) int {
	n := 0
	for f := range postgres.Frames(frames) {
		if f.Type == typeExecute || f.Type == typeQuery {
			n++
		}
	}
	return n
}

// withoutExecutes returns the batch without the messages that run its statement.
func withoutExecutes(b *postgres.Batch) *postgres.Batch {
	out := *b
	out.Frames = nil
	out.IdempotencyKey = ""
	for f := range postgres.Frames(b.Frames) {
		if f.Type != typeExecute && f.Type != typeQuery {
			out.Frames = append(out.Frames, f.Raw...)
		}
	}
	return &out
}

func readyFrame() postgres.Frame { return postgres.NewFrame([]byte{typeReady, 0, 0, 0, 5, statusIdle}) }

// Types of messages that an idempotent run handles.
const (
	typeComplete = 'C'
	typeError    = 'E'
	typeRow      = 'D'
	typeExecute  = 'E'
	typeQuery    = 'Q'
)

package postgres

// The interfaces between the protocol and the code that makes the decisions.

import (
	"context"

	"burdockseam/core/statement"
)

// Startup holds what a caller sends when it connects.
type Startup struct {
	Team  string
	Route string
	// Key is the password. It is used only for the check and is stored nowhere.
	Key string
	// Token is the session token of an earlier connection, or "".
	Token string
	// Remote is the caller's address.
	Remote string
	// TLS says that the key was sent over an encrypted connection.
	TLS bool
	// Parameters are application_name and the other startup parameters that have a dot in
	// their name.
	Parameters map[string]string
}

// Handler makes the decisions of an instance about its callers.
type Handler interface {
	// Login checks a caller's key. A *Refusal is sent to the caller as it is; any other
	// error is reported as a failed login without its text.
	Login(ctx context.Context, s Startup) (Session, error)
}

// Session is the session of a caller after its login. Its methods are not called
// concurrently.
type Session interface {
	// Open returns the connection on which a batch runs. The session keeps the connection
	// until the transaction ends. The context ends when the caller disconnects.
	Open(ctx context.Context, b *Batch) (Backend, error)
	// Check is called before each batch on a connection that is already open. An error
	// ends the session and rolls back its transaction.
	Check(ctx context.Context) error
	// ShouldRetry is called when a batch has failed, no byte of its answer has been written
	// to the caller and no transaction is open. If it returns true, Open and Send are
	// called again with the same batch. The error is a *pgconn.PgError if the upstream, or
	// the next instance, reported that it did not run the batch (StateReadOnly,
	// StateWrongTerm or StateNotRun).
	ShouldRetry(b *Batch, err error) bool
	// ObservePosition records the position in an answer and returns the session token to
	// report, or "" if the token has not changed.
	ObservePosition(position string) (token string)
	// Close is called once, after the caller has disconnected.
	Close()
}

// Backend is a connection to an upstream, or to the gateway that leads to it, for
// one batch or one transaction.
type Backend interface {
	// Send sends a whole batch.
	Send(b *Batch) error
	// Next returns the next message of the answer. An error means that no further
	// message of the answer will come.
	Next() (Frame, error)
	// Cancel asks the upstream to cancel the statement that runs on the connection. It is
	// called concurrently with the other methods and may wait for the network. A connection
	// on which it was called is not released as clean.
	Cancel()
	// Release returns the connection. If clean is true, the whole answer was read and no
	// transaction is open; otherwise the connection is closed.
	Release(clean bool)
}

// Batch is a request: one simple query, or the messages up to a Sync or Flush. The
// batch and its Frames are valid until the next batch of the session.
type Batch struct {
	// Kind is the combined kind of all statements of the batch. It is Empty if the batch
	// has no statement, such as the Sync that ends a pipeline.
	Kind   statement.Kind
	Frames []byte
	// SQL is the text of the first statement.
	SQL string
	// ReadOnly says that the batch begins or is part of a transaction that was
	// begun as READ ONLY.
	ReadOnly bool
	// PrepareOnly says that the batch prepares or describes statements and runs none.
	PrepareOnly bool
	// IdempotencyKey is the key that SET burdockseam.idempotency_key gave to the next
	// write, or "".
	IdempotencyKey string
	// InTransaction says that a transaction is open on the backend.
	InTransaction bool

	// uses are the statements of earlier batches that this batch needs.
	uses []*prepared
}

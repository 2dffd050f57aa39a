package postgres

// Refusals are errors that the proxy sends in place of an upstream's answer. Each
// outcome has a fixed SQLSTATE, so that a caller can react without parsing the text.

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Outcome says whether a statement may have run although it got no answer from an
// upstream.
type Outcome string

// The outcomes of refused statements.
const (
	// NotRun means that no upstream can have executed the statement.
	NotRun Outcome = "notrun"
	// Unknown means that the statement may have been executed.
	Unknown Outcome = "unknown"
)

// SQLSTATEs of the proxy, of the platform's database groups and of PostgreSQL.
const (
	StateNotRun               = "BS001"
	StateUnknown              = "BS002"
	StateWrongTerm            = "BS010" // the upstream serves another term; nothing ran
	StateReadOnly             = "25006"
	StateTooManyConnections   = "53300"
	stateProtocol             = "08P01"
	stateInvalidPassword      = "28P01"
	stateUnsupported          = "0A000"
	stateInvalidAuthorization = "28000"
	stateShutdown             = "57P01"
	stateNoStatement          = "26000"
	stateDuplicate            = "42P05"
	stateLimitExceeded        = "54000"
	stateInvalidValue         = "22023"
	stateActiveTransaction    = "25001"
	stateTransactionAborted   = "25P02"
	stateMemory               = "53200"
)

// Refusal is the error for a statement that got no answer from an upstream.
type Refusal struct {
	Outcome Outcome
	Reason  string
	// Retry is the time after which another attempt may succeed, 0 if not known.
	Retry time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	text := string(r.Outcome) + ": " + r.Reason
	if r.Retry > 0 {
		text += fmt.Sprintf("; retry after %v", r.Retry.Round(time.Millisecond))
	}
	return text
}

// NewRefusal returns a Refusal with a formatted reason.
func NewRefusal(o Outcome, format string, args ...any) *Refusal {
	return &Refusal{Outcome: o, Reason: fmt.Sprintf(format, args...)}
}

// errorResponse returns the message that reports err to a caller.
func errorResponse(err error) *pgproto3.ErrorResponse {
	var r *Refusal
	var s *StatementError
	switch {
	case errors.As(err, &s):
		return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: s.Code, Message: s.Message}
	case errors.As(err, &r):
	default:
		r = NewRefusal(Unknown, "connection to the upstream was lost")
	}
	hint := ""
	if r.Retry > 0 {
		hint = r.Retry.String()
	}
	code := StateUnknown
	if r.Outcome == NotRun {
		code = StateNotRun
	}
	return &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR",
		Code: code, Message: r.Reason, Detail: r.Error(), Hint: hint,
	}
}

// StatementError refuses a statement that the proxy does not accept. Nothing ran.
type StatementError struct {
	Code    string
	Message string
}

// Error implements error.
func (s *StatementError) Error() string { return s.Message + " (" + s.Code + ")" }

func fatalResponse(code, message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message}
}

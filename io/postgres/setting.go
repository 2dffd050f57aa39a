package postgres

// Settings that a caller makes for its session would reach other callers through the
// shared upstream connections. The proxy answers those that change nothing and refuses
// the others. SET LOCAL inside a transaction is passed on.

import (
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/jackc/pgx/v5/pgproto3"

	"burdockseam/core/statement"
)

// Names of settings that the proxy handles itself.
const (
	// SettingIdempotencyKey sets the idempotency key of the next write.
	SettingIdempotencyKey = "burdockseam.idempotency_key"
	settingApplication    = "application_name"
	settingEncoding       = "client_encoding"
)

// maxIdempotencyKey bounds the length of an idempotency key, in bytes.
const maxIdempotencyKey = 256

// acceptedValues are the values, in lower case and without spaces, to which settings may
// be set since these values are in force anyway.
var acceptedValues = map[string][]string{
	settingEncoding:                       {"utf8", "utf-8", "unicode"},
	"datestyle":                           {"iso", "iso,mdy", "mdy"},
	"intervalstyle":                       {"postgres"},
	"timezone":                            {"utc", "local"},
	"standard_conforming_strings":         {"on", "true", "yes", "1"},
	"extra_float_digits":                  {"1", "2", "3"},
	"bytea_output":                        {"hex"},
	"client_min_messages":                 {"notice"},
	"default_transaction_isolation":       {"readcommitted"},
	"default_transaction_read_only":       {"off", "false", "no", "0"},
	"synchronous_commit":                  {"on"},
	"statement_timeout":                   {"0"},
	"lock_timeout":                        {"0"},
	"idle_in_transaction_session_timeout": {"0"},
	"row_security":                        {"on"},
}

// reportedSettings are the settings, in lower case, whose value is reported to callers. A
// startup message may ask for another value; the report shows the value in force.
var reportedSettings = []string{"datestyle", "intervalstyle", "timezone"}

// normalize returns a value in lower case and without spaces.
func normalize(value string) string {
	return strings.ReplaceAll(strings.ToLower(value), " ", "")
}

// inForce reports whether a setting has the value anyway.
func (s *Server) inForce(name, value string) bool {
	value = normalize(value)
	if value == "default" || slices.Contains(acceptedValues[name], value) {
		return acceptedValues[name] != nil
	}
	for n, v := range s.Parameters {
		if strings.EqualFold(n, name) {
			return normalize(v) == value
		}
	}
	return false
}

// checkStartup returns the reason for which a startup parameter is refused, or "".
func (s *Server) checkStartup(name, value string) string {
	name = strings.ToLower(name)
	switch {
	case name == settingApplication, strings.Contains(name, "."), slices.Contains(reportedSettings, name):
		return ""
	case name == "options" && strings.TrimSpace(value) == "":
		return ""
	case name == "replication" && slices.Contains([]string{"false", "off", "no", "0"}, strings.ToLower(value)):
		return ""
	case s.inForce(name, value):
		return ""
	}
	return "the startup parameter " + name + " is not supported with this value, since connections to upstreams are shared"
}

// applySetting runs a statement that affects only the session. The error is a
// *StatementError.
func (c *caller) applySetting(s statement.Setting) error {
	switch s.Tag {
	case "SET":
		return c.setParameter(s.Name, s.Value)
	case "RESET":
		if s.Name == settingApplication || s.Name == "all" {
			c.reportParameter(settingApplication, "")
		}
		if s.Name == SettingIdempotencyKey || s.Name == "all" {
			c.idempotencyKey = ""
		}
	case "DISCARD ALL":
		if c.status != 'I' {
			return &StatementError{stateActiveTransaction, "DISCARD ALL cannot run inside a transaction block"}
		}
		c.names = namedStatements{}
		c.idempotencyKey = ""
		c.reportParameter(settingApplication, "")
	case "DEALLOCATE ALL":
		c.names = namedStatements{}
	case "DEALLOCATE":
		if c.names.get(s.Name) == nil {
			return &StatementError{stateNoStatement, "prepared statement \"" + s.Name + "\" does not exist"}
		}
		c.names.set(s.Name, nil)
	}
	return nil
}

func (c *caller) setParameter(name, value string) error {
	switch {
	case name == SettingIdempotencyKey:
		if len(value) > maxIdempotencyKey {
			return &StatementError{stateInvalidValue, "the idempotency key is too long"}
		}
		if !utf8.ValidString(value) {
			return &StatementError{stateInvalidValue, "the idempotency key is not valid UTF-8"}
		}
		c.idempotencyKey = value
	case name == settingApplication:
		c.reportParameter(name, value)
	case !c.server.inForce(name, value):
		return &StatementError{stateUnsupported, "SET " + name + " to this value is not supported, since connections to " +
			"upstreams are shared; use SET LOCAL inside a transaction"}
	}
	return nil
}

// reportParameter tells the caller the value of a parameter.
func (c *caller) reportParameter(name, value string) {
	c.appendMessage(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// runSessionStatements runs the statements of a text that affects only the session, and
// returns their command tags.
func (c *caller) runSessionStatements(sql string) (tags []string, err error) {
	if sum := statement.Inspect(sql, true); c.transactionLost() && endsTransaction(&sum) {
		c.status = 'I'
		return []string{"ROLLBACK"}, nil
	}
	settings, ok := statement.ParseSettings(sql)
	if !ok {
		return nil, &StatementError{stateUnsupported, "this form of the statement is not supported"}
	}
	if c.status == 'E' {
		return nil, errTransactionAborted
	}
	for _, s := range settings {
		if err := c.applySetting(s); err != nil {
			return nil, err
		}
		tags = append(tags, s.Tag)
	}
	return tags, nil
}

package postgres

// The start of a caller's connection: TLS, cancel requests, parameters, password.

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Codes of startup messages that do not start a login.
const (
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	cancelRequestCode = 80877102
)

const (
	// protocolMajor is the only supported major version, and newestMinor the newest
	// supported minor version of it.
	protocolMajor = 3
	newestMinor   = 2
	// shortSecretBytes and longSecretBytes are the lengths of cancel keys before and since
	// minor version 2.
	shortSecretBytes = 4
	longSecretBytes  = 32
)

// handleStartup handles a startup message, or a request that is sent in place of one.
func (c *caller) handleStartup(f Frame) bool {
	if len(f.Body) < 4 {
		c.writeMessages(fatalResponse(stateProtocol, "startup message is too short"))
		return false
	}
	code := binary.BigEndian.Uint32(f.Body)
	switch code {
	case sslRequestCode:
		if c.server.TLS == nil || c.tls {
			return c.write([]byte{'N'})
		}
		if c.conn.StartTLS(c.server.TLS) != nil {
			return false
		}
		c.tls = true
		return true
	case gssRequestCode:
		return c.write([]byte{'N'})
	case cancelRequestCode:
		var m pgproto3.CancelRequest
		if m.Decode(f.Body) == nil && !c.server.Cancel(m.ProcessID, m.SecretKey) && c.server.ForwardCancel != nil {
			c.server.ForwardCancel(m.ProcessID, m.SecretKey)
		}
		return false
	}
	if code>>16 != protocolMajor {
		c.writeMessages(fatalResponse(stateUnsupported, "this protocol version is not supported"))
		return false
	}
	// The decoder accepts only some of the minor versions, whose startup messages are the
	// same.
	binary.BigEndian.PutUint32(f.Body, pgproto3.ProtocolVersion30)
	var m pgproto3.StartupMessage
	if err := m.Decode(f.Body); err != nil {
		c.writeMessages(fatalResponse(stateProtocol, "startup message is malformed"))
		return false
	}
	return c.handleParameters(m.Parameters, code&0xffff)
}

// handleParameters stores the parameters of a startup message and asks for the password.
func (c *caller) handleParameters(parameters map[string]string, minor uint32) bool {
	c.startup = &Startup{Remote: c.conn.RemoteAddr().String(), TLS: c.tls, Parameters: make(map[string]string)}
	var unknown []string
	for name, value := range parameters {
		switch {
		case name == "user":
			c.startup.Team = value
		case name == "database":
			c.startup.Route = value
		case name == ParameterToken:
			c.startup.Token = value
		case strings.HasPrefix(name, "_pq_."):
			unknown = append(unknown, name)
		default:
			if reason := c.server.checkStartup(name, value); reason != "" {
				c.writeMessages(fatalResponse(stateUnsupported, reason))
				return false
			}
			if name == settingApplication || strings.Contains(name, ".") {
				c.startup.Parameters[name] = value
			}
		}
	}
	if minor > newestMinor || len(unknown) > 0 {
		slices.Sort(unknown)
		minor = min(minor, newestMinor)
		c.appendMessage(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: minor, UnrecognizedOptions: unknown})
	}
	n := shortSecretBytes
	if minor >= 2 {
		n = longSecretBytes
	}
	c.secret = make([]byte, n)
	// The standard library documents that this never fails.
	_, _ = rand.Read(c.secret)
	c.conn.ExpectTyped()
	c.conn.SetMaxMessage(maxPassword)
	c.phase = phasePassword
	return c.writeMessages(&pgproto3.AuthenticationCleartextPassword{})
}

// handlePassword logs the caller in with its key.
func (c *caller) handlePassword(f Frame) bool {
	key, rest, ok := cutString(f.Body)
	if f.Type != typePassword || !ok || len(rest) > 0 {
		c.writeMessages(fatalResponse(stateProtocol, "a password message was expected"))
		return false
	}
	startup := *c.startup
	startup.Key = string(key)
	clear(f.Body)
	session, err := c.server.Handler.Login(c.ctx, startup)
	if err != nil {
		var r *Refusal
		if errors.As(err, &r) {
			refused := errorResponse(r)
			refused.Severity, refused.SeverityUnlocalized = "FATAL", "FATAL"
			c.writeMessages(refused)
		} else {
			c.writeMessages(fatalResponse(stateInvalidPassword, "the key is not accepted for this team and route"))
		}
		return false
	}
	if !c.server.completeLogin(c, session) {
		c.sendEndReason()
		return false
	}
	c.phase = phaseReady
	c.conn.SetMaxMessage(MaxMessage)
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return false
	}
	c.appendMessage(&pgproto3.AuthenticationOk{})
	for name, value := range c.server.reportedParameters() {
		c.reportParameter(name, value)
	}
	c.reportParameter(settingApplication, c.startup.Parameters[settingApplication])
	c.startup = nil
	return c.writeMessages(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// reportedParameters returns the parameters that are reported to callers after the login.
func (s *Server) reportedParameters() map[string]string {
	out := map[string]string{"server_version": "15.0", "integer_datetimes": "on"}
	for _, from := range []map[string]string{Defaults, s.Parameters} {
		for name, value := range from {
			out[name] = value
		}
	}
	return out
}

// randomProcessID returns an unpredictable number. It fits a signed 32-bit integer,
// since some drivers store process ids in one.
func randomProcessID() uint32 {
	var b [4]byte
	// The standard library documents that this never fails.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:]) >> 1
}

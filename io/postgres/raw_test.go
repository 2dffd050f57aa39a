package postgres

// A caller that sends single protocol messages.

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rawCaller is a caller's connection without a driver.
type rawCaller struct {
	t    testing.TB
	sock net.Conn
	*pgproto3.Frontend
	key pgproto3.BackendKeyData
}

// connectRaw opens a connection without logging in.
func connectRaw(t testing.TB, f *fixture) *rawCaller {
	t.Helper()
	sock, err := net.Dial("tcp", f.address)
	check(t, err)
	t.Cleanup(func() { sock.Close() })
	check(t, sock.SetDeadline(time.Now().Add(waitTimeout)))
	return &rawCaller{t: t, sock: sock, Frontend: pgproto3.NewFrontend(sock, sock)}
}

// dialRaw opens a connection and logs in.
func dialRaw(t testing.TB, f *fixture) *rawCaller {
	t.Helper()
	r := connectRaw(t, f)
	r.login()
	return r
}

func (r *rawCaller) login() {
	r.t.Helper()
	r.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "team", "database": "route"}})
	r.expect("R")
	r.send(&pgproto3.PasswordMessage{Password: "key"})
	for {
		m, err := r.Receive()
		check(r.t, err)
		switch m := m.(type) {
		case *pgproto3.BackendKeyData:
			r.key.ProcessID = m.ProcessID
			r.key.SecretKey = append([]byte(nil), m.SecretKey...)
		case *pgproto3.ReadyForQuery:
			return
		}
	}
}

func (r *rawCaller) send(messages ...pgproto3.FrontendMessage) {
	r.t.Helper()
	for _, m := range messages {
		r.Send(m)
	}
	check(r.t, r.Flush())
}

// expect reads messages and compares their types. It ignores ParameterStatus messages.
func (r *rawCaller) expect(types string) {
	r.t.Helper()
	got := ""
	for len(got) < len(types) {
		m, err := r.Receive()
		if err != nil {
			r.t.Fatalf("got %q, then %v, want %q", got, err, types)
		}
		b, err := m.(pgproto3.Message).Encode(nil)
		check(r.t, err)
		if b[0] != typeParameterStatus {
			got += string(b[:1])
		}
	}
	if got != types {
		r.t.Fatalf("messages: got %q, want %q", got, types)
	}
}

// waitClosed waits until the connection is closed and returns the SQLSTATE of the last
// error message.
func (r *rawCaller) waitClosed() (code string) {
	r.t.Helper()
	for {
		m, err := r.Receive()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			r.t.Fatal("the connection was not closed")
		}
		if err != nil {
			return code
		}
		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			code = e.Code
		}
	}
}

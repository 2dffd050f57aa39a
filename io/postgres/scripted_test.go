package postgres

// A scripted upstream sends messages that a correct upstream never sends.

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// scriptedUpstream answers each Query and each Execute as its script says.
type scriptedUpstream struct {
	address string
	mu      sync.Mutex
	script  func(s *scriptedConn)
	// onParse is called for each Parse except those of the proxy itself.
	onParse func(name string)
}

// scriptedConn is one connection of a scriptedUpstream.
type scriptedConn struct {
	*pgproto3.Backend
	sock net.Conn
	// sql is the text of the last Query or Parse.
	sql string
	// skipToSync makes messages up to the next Sync be ignored.
	skipToSync bool
}

func (s *scriptedConn) sendAnswer(value string) {
	s.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}}})
	s.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	s.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

func (s *scriptedConn) sendReady() { s.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'}) }

func newScripted(t *testing.T, script func(s *scriptedConn)) *scriptedUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	u := &scriptedUpstream{address: ln.Addr().String(), script: script}
	var socks sync.Map
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			sock, err := ln.Accept()
			if err != nil {
				return
			}
			socks.Store(sock, nil)
			wg.Go(func() { u.serve(sock) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		socks.Range(func(sock, _ any) bool {
			sock.(net.Conn).Close()
			return true
		})
		wg.Wait()
	})
	return u
}

func (u *scriptedUpstream) serve(sock net.Conn) {
	defer sock.Close()
	s := &scriptedConn{Backend: pgproto3.NewBackend(sock, sock), sock: sock}
	if _, err := s.ReceiveStartupMessage(); err != nil {
		return
	}
	s.Send(&pgproto3.AuthenticationOk{})
	s.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	s.sendReady()
	for s.Flush() == nil {
		message, err := s.Receive()
		if err != nil {
			return
		}
		if _, ok := message.(*pgproto3.Sync); s.skipToSync && !ok {
			continue
		}
		switch m := message.(type) {
		case *pgproto3.Parse:
			s.sql = m.Query
			if u.onParse != nil && m.Name[:len(namePrefix)] == namePrefix {
				u.onParse(m.Name)
			}
			s.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Describe:
			s.Send(&pgproto3.ParameterDescription{})
			s.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte(s.markColumn(m.Name)), DataTypeOID: 25}}})
		case *pgproto3.Bind:
			s.Send(&pgproto3.BindComplete{})
		case *pgproto3.Close:
			s.Send(&pgproto3.CloseComplete{})
		case *pgproto3.Execute:
			u.script(s)
		case *pgproto3.Sync:
			s.skipToSync = false
			s.sendReady()
		case *pgproto3.Query:
			s.sql = m.String
			u.mu.Lock()
			script := u.script
			u.mu.Unlock()
			script(s)
		case *pgproto3.Terminate:
			return
		}
	}
}

// markColumns holds the columns of the proxy's marks by connection and statement name.
var markColumns sync.Map

// markColumn returns the column of a mark. The proxy prepares the marks in their order, so
// a mark that is not known yet belongs to the last Parse.
func (s *scriptedConn) markColumn(name string) string {
	key := [2]any{s.sock, name}
	if sql, ok := markColumns.Load(key); ok {
		return sql.(string)
	}
	column := s.sql[len("SHOW "):]
	markColumns.Store(key, column)
	return column
}

// Messages that answer no request must end the upstream connection. If a statement was
// running, its outcome must be reported as unknown. The messages must never reach a caller.
func TestUnexpectedMessages(t *testing.T) {
	for name, unexpected := range map[string]func(s *scriptedConn){
		"an extra row":            func(s *scriptedConn) { s.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("unexpected")}}) },
		"a second ReadyForQuery":  func(s *scriptedConn) { s.sendReady(); s.sendReady() },
		"an extra answer":         func(s *scriptedConn) { s.sendAnswer("right"); s.sendReady(); s.sendAnswer("unexpected"); s.sendReady() },
		"ready without an answer": func(s *scriptedConn) { s.sendReady() },
		"a BindComplete":          func(s *scriptedConn) { s.Send(&pgproto3.BindComplete{}); s.sendReady() },
		"a copy":                  func(s *scriptedConn) { s.Send(&pgproto3.CopyInResponse{}) },
		"an unknown status":       func(s *scriptedConn) { s.sendAnswer("right"); s.Send(&pgproto3.ReadyForQuery{TxStatus: '?'}) },
		"two errors":              func(s *scriptedConn) { s.sendError(); s.sendError(); s.sendReady() },
		"a truncated row":         func(s *scriptedConn) { s.sendRaw("D\x00\x00\x00\xff\x00\x01"); s.sock.Close() },
		"an invalid length":       func(s *scriptedConn) { s.sendRaw("D\x00\x00\x00\x01") },
		"a length of 1 GB":        func(s *scriptedConn) { s.sendRaw("D\x40\x00\x00\x00") },
		"a fatal error": func(s *scriptedConn) {
			s.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01"})
			s.sendRaw("")
			s.sock.Close()
		},
		"an error after the command": func(s *scriptedConn) { s.sendAnswer("right"); s.sendError(); s.sendAnswer("unexpected"); s.sendReady() },
	} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int64
			u := newScripted(t, func(s *scriptedConn) {
				received.Add(1)
				if s.sql == "SELECT 'unexpected'" {
					unexpected(s)
					return
				}
				s.sendAnswer("right")
				s.sendReady()
			})
			f := startServerFor(t, nil, u.address, nil)
			c, other := f.dial(t), f.dial(t)
			runQuery := func(c *pgx.Conn, sql string) (code, value string) {
				before := received.Load()
				results, err := c.PgConn().Exec(contextWithTimeout(t), sql).ReadAll()
				if code = sqlState(err); code == StateNotRun {
					// An unexpected message may be detected before the batch is sent.
					equal(t, "statements sent", received.Load(), before)
				}
				for _, r := range results {
					for _, row := range r.Rows {
						value = string(row[0])
					}
				}
				return code, value
			}
			for range 3 {
				for range 2 {
					code, value := runQuery(c, "SELECT 'unexpected'")
					if code != StateUnknown && code != StateNotRun && code != "XX000" && (code != "" || value != "right") {
						t.Errorf("an unexpected answer gave %q, %q", code, value)
					}
				}
				code, value := runQuery(other, "SELECT 'other'")
				if code != "" && code != StateUnknown && code != StateNotRun {
					t.Errorf("the next caller got %q", code)
				}
				if value != "right" && value != "" {
					t.Errorf("the next caller got %q", value)
				}
			}
		})
	}
}

func (s *scriptedConn) sendError() {
	s.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "XX000", Message: "scripted"})
}

func (s *scriptedConn) sendRaw(b string) {
	if s.Flush() == nil {
		// The proxy may have closed the connection already.
		_, _ = s.sock.Write([]byte(b))
	}
}

// An idle connection on which an unexpected message arrives must be closed at once, not
// when the next caller gets the connection.
func TestUnexpectedMessageWhileIdle(t *testing.T) {
	u := newScripted(t, func(s *scriptedConn) { s.sendAnswer("right"); s.sendReady(); s.sendReady() })
	c, err := Dial(contextWithTimeout(t), newLoop(t), ConnectOptions{Address: u.address, User: "u"}, time.Second)
	check(t, err)
	check(t, c.Send(&Batch{Frames: appendFrame(nil, typeQuery, []byte("SELECT 1\x00"))}))
	for f := (Frame{}); f.Type != typeReadyForQuery; {
		f, err = c.Next()
		check(t, err)
	}
	receive(t, c.Done())
}

// An unexpected message that was not noticed while the connection was idle must be
// detected before the next batch is sent, and that batch must be reported as not run.
func TestUnexpectedMessageBeforeSend(t *testing.T) {
	u := newScripted(t, func(s *scriptedConn) { s.sendAnswer("right"); s.sendReady(); s.sendReady() })
	c, err := Dial(contextWithTimeout(t), newLoop(t), ConnectOptions{Address: u.address, User: "u"}, time.Second)
	check(t, err)
	defer c.Close()
	c.conn.mu.Lock()
	c.conn.onWake = func() {}
	c.conn.mu.Unlock()
	b := &Batch{Frames: appendFrame(nil, typeQuery, []byte("SELECT 1\x00"))}
	check(t, c.Send(b))
	for f := (Frame{}); f.Type != typeReadyForQuery; {
		f, err = c.Next()
		check(t, err)
	}
	eventually(t, "an unexpected message has arrived", c.conn.hasUnexpected)
	var r *Refusal
	if err := c.Send(b); !errors.As(err, &r) || r.Outcome != NotRun {
		t.Errorf("got %v", err)
	}
}

package postgres

// Fuzz tests of the callers' input. They use no sockets.

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"
)

// FuzzFrames feeds input to the frame reader in pieces. The reader must return the
// messages whole and unchanged, reject lengths beyond the limit, and never buffer more
// bytes than have arrived.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x05\x00S\x00\x00\x00\x04"), uint8(3), false)
	f.Add([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f"), uint8(1), true)
	f.Add([]byte("Q\x7f\xff\xff\xff"), uint8(2), false)
	f.Add([]byte("Q\x00\x00\x00\x03"), uint8(9), false)
	f.Fuzz(func(t *testing.T, in []byte, piece uint8, untyped bool) {
		const limit = 1 << 10
		c := &Conn{max: limit, untyped: untyped}
		c.readable.L = &c.mu
		var out []byte
		for rest := in; len(rest) > 0; {
			n := min(len(rest), int(piece)+1)
			c.in = append(c.in, rest[:n]...)
			rest = rest[n:]
			for {
				frame, ok, err := c.nextFrame()
				if err != nil {
					prefix := 1
					if untyped {
						prefix = 0
					}
					length := binary.BigEndian.Uint32(in[len(out)+prefix:])
					if length >= 4 && int64(length)+int64(prefix) <= limit {
						t.Fatalf("length %d: %v", length, err)
					}
					return
				}
				if !ok {
					break
				}
				out = append(out, frame.Raw...)
				if !bytes.HasSuffix(frame.Raw, frame.Body) || len(frame.Raw) > limit {
					t.Fatalf("frame of %d bytes", len(frame.Raw))
				}
			}
		}
		if out = append(out, c.in[c.off:]...); !bytes.Equal(out, in) {
			t.Fatalf("got %q of %q", out, in)
		}
	})
}

// FuzzSplit checks splitFrame and the functions that decode message bodies.
func FuzzSplit(f *testing.F) {
	f.Add([]byte("B\x00\x00\x00\x0c\x00s\x00\x00\x00\x00\x00"))
	f.Add([]byte("D\x00\x00\x00\x06S\x00E\x00\x00\x00\x0bCXX\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var out []byte
		for rest := in; len(rest) > 0; {
			frame, next, ok := splitFrame(rest)
			if !ok {
				return
			}
			if name, ok := statementName(frame); ok && bytes.IndexByte(name, 0) >= 0 {
				t.Fatalf("name %q", name)
			}
			errorField(frame.Body, 'C')
			firstColumn(frame.Body)
			out = append(out, frame.Raw...)
			rest = next
		}
		if !bytes.Equal(out, in) {
			t.Fatalf("got %q of %q", out, in)
		}
	})
}

// echoUpstream is a session and its upstream without sockets. The upstream answers every
// message.
type echoUpstream struct {
	t      testing.TB
	frames []Frame
	open   int
}

// Send implements Backend.
func (e *echoUpstream) Send(b *Batch) error {
	for rest := b.Frames; len(rest) > 0; {
		f, next, ok := splitFrame(rest)
		if !ok {
			e.t.Fatalf("malformed batch %q", b.Frames)
		}
		e.answer(f)
		rest = next
	}
	return nil
}

func (e *echoUpstream) answer(f Frame) {
	add := func(t byte, body string) {
		raw := appendFrame(nil, t, []byte(body))
		e.frames = append(e.frames, Frame{Type: t, Raw: raw, Body: raw[headerBytes:]})
	}
	switch f.Type {
	case typeParse:
		add(typeParseComplete, "")
	case typeBind:
		add(typeBindComplete, "")
	case typeClose:
		add(typeCloseComplete, "")
	case typeDescribe:
		if f.Body[0] == objectStatement {
			add(typeParameterDescription, "\x00\x00")
		}
		add(typeNoData, "")
	case typeExecute:
		add(typeCommandComplete, "X\x00")
	case typeQuery:
		add(typeCommandComplete, "X\x00")
		add(typeReadyForQuery, "I")
	case typeSync:
		add(typeReadyForQuery, "I")
	case typeFlush:
	default:
		e.t.Fatalf("message %q reached the upstream", f.Type)
	}
}

// Next implements Backend.
func (e *echoUpstream) Next() (Frame, error) {
	if len(e.frames) == 0 {
		return Frame{}, ErrUnexpectedReply
	}
	f := e.frames[0]
	e.frames = e.frames[1:]
	return f, nil
}

// Cancel implements Backend.
func (e *echoUpstream) Cancel() {}

// Release implements Backend.
func (e *echoUpstream) Release(bool) { e.open-- }

// Open implements Session.
func (e *echoUpstream) Open(_ context.Context, b *Batch) (Backend, error) {
	if b.Kind == "" {
		e.t.Fatal("a batch without a kind")
	}
	e.open++
	e.frames = nil
	return e, nil
}

// Check implements Session.
func (e *echoUpstream) Check(context.Context) error { return nil }

// ShouldRetry implements Session.
func (e *echoUpstream) ShouldRetry(*Batch, error) bool { return false }

// ObservePosition implements Session.
func (e *echoUpstream) ObservePosition(string) string { return "" }

// Close implements Session.
func (e *echoUpstream) Close() {}

// recordingConn is a caller's connection that records the written bytes.
type recordingConn struct {
	callerConn
	sent *[]byte
}

func (s *recordingConn) Write(b []byte) (int, error) {
	*s.sent = append(*s.sent, b...)
	return len(b), nil
}

func (s *recordingConn) SetMaxMessage(int)           {}
func (s *recordingConn) ExpectTyped()                {}
func (s *recordingConn) SetDeadline(time.Time) error { return nil }
func (s *recordingConn) RemoteAddr() net.Addr        { return &net.TCPAddr{} }

// truncatingUpstream answers with the given number of rows. If lost is set, the answer
// then breaks off.
type truncatingUpstream struct {
	echoUpstream
	rows       int
	lost       bool
	retryCalls int
}

// Open implements Session.
func (c *truncatingUpstream) Open(context.Context, *Batch) (Backend, error) { return c, nil }

// Send implements Backend.
func (c *truncatingUpstream) Send(*Batch) error {
	c.frames = nil
	raw := appendFrame(nil, typeRowDescription, []byte{0, 0})
	c.frames = append(c.frames, Frame{Type: typeRowDescription, Raw: raw, Body: raw[headerBytes:]})
	raw = appendFrame(nil, typeDataRow, make([]byte, 1<<10))
	for range c.rows {
		c.frames = append(c.frames, Frame{Type: typeDataRow, Raw: raw, Body: raw[headerBytes:]})
	}
	if !c.lost {
		c.answer(Frame{Type: typeQuery})
	}
	return nil
}

// ShouldRetry implements Session.
func (c *truncatingUpstream) ShouldRetry(*Batch, error) bool {
	c.retryCalls++
	c.lost = false
	return true
}

// A batch must be retried only if no byte of its answer has been written to the caller;
// otherwise the caller would get rows twice. Rows up to flushThreshold are not written
// before the answer is complete.
func TestRetryBeforeFirstByte(t *testing.T) {
	for rows, asked := range map[int]int{1: 1, 2 * flushThreshold >> 10: 0} {
		e := &truncatingUpstream{echoUpstream: echoUpstream{t: t}, rows: rows, lost: true}
		var sent []byte
		c := &caller{
			server: &Server{Log: logr.Discard()}, ctx: context.Background(), session: e, phase: phaseReady, status: 'I',
			workspace: new(workspace), conn: &recordingConn{sent: &sent},
		}
		raw := appendFrame(nil, typeQuery, []byte("SELECT 1\x00"))
		c.handleMessage(Frame{Type: typeQuery, Raw: raw, Body: raw[headerBytes:]})
		equal(t, "asked", e.retryCalls, asked)
		want := "T" + strings.Repeat("D", rows) + "CZ"
		if asked == 0 {
			want = "T" + strings.Repeat("D", rows) + "EZ"
		}
		var got []byte
		for rest := sent; len(rest) > 0; {
			f, next, ok := splitFrame(rest)
			equal(t, "whole messages", ok, true)
			got = append(got, f.Type)
			rest = next
		}
		equal(t, "answer", string(got), want)
	}
}

// FuzzBatch feeds a caller's messages after its login. Each Sync and each Query must be
// answered by one ReadyForQuery, no answer may be left over, and the collected messages
// must stay within their limits.
func FuzzBatch(f *testing.F) {
	encode := func(messages ...pgproto3.FrontendMessage) []byte {
		var b []byte
		for _, m := range messages {
			b, _ = m.Encode(b)
		}
		return b
	}
	f.Add(encode(&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Query{String: "SET x = 1"}, &pgproto3.Query{}))
	f.Add(encode(&pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Flush{},
		&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.Parse{Query: "SET application_name = 'x'"}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.FunctionCall{}, &pgproto3.Bind{PreparedStatement: "x"}, &pgproto3.Sync{}, &pgproto3.CopyDone{}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{}, &pgproto3.Parse{Query: "LISTEN x"}, &pgproto3.Sync{}))
	f.Fuzz(func(t *testing.T, in []byte) {
		e := &echoUpstream{t: t}
		var sent []byte
		c := &caller{
			server: &Server{Log: logr.Discard()}, ctx: context.Background(), session: e, phase: phaseReady, status: 'I',
			workspace: new(workspace), conn: &recordingConn{sent: &sent},
		}
		readies, skipping := 0, false
		for rest := in; len(rest) > 0; {
			frame, next, ok := splitFrame(rest)
			if !ok {
				break
			}
			skipping = c.skipToSync
			if !c.handleMessage(frame) {
				break
			}
			if frame.Type == typeSync || frame.Type == typeQuery && !skipping {
				readies++
			}
			if len(c.builder.batch.Frames) > maxBatchBytes || c.names.bytes > maxStatementBytes || len(c.names.all) > maxStatements {
				t.Fatal("a bound was exceeded")
			}
			rest = next
		}
		if !c.flush() || e.open < 0 || e.open > 1 || (e.open == 1) != (c.backend != nil) {
			t.Fatalf("%d connections are open", e.open)
		}
		got := 0
		for rest := sent; len(rest) > 0; {
			frame, next, ok := splitFrame(rest)
			if !ok {
				t.Fatalf("malformed answer %q", sent)
			}
			if frame.Type == typeReadyForQuery {
				got++
			}
			rest = next
		}
		if got != readies {
			t.Fatalf("%d ReadyForQuery for %d requests: %q", got, readies, sent)
		}
		if len(e.frames) > 0 {
			t.Fatalf("the answer %q was left over", e.frames[0].Raw)
		}
	})
}

// FuzzStartup feeds startup messages and passwords. Only the correct password may start a
// session.
func FuzzStartup(f *testing.F) {
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion32, Parameters: map[string]string{"user": "t", "database": "r", "_pq_.x": "1"}}).Encode(nil)
	f.Add(startup[4:], []byte("key\x00"))
	f.Add([]byte("\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x01"), []byte("x\x00"))
	f.Add([]byte("\x00\x03\x00\x00\x00"), []byte{})
	f.Add(startup[4:], []byte("key\x00x"))
	f.Fuzz(func(t *testing.T, body, password []byte) {
		h := &testHandler{}
		c := &caller{
			server: &Server{Log: logr.Discard(), Handler: h}, ctx: context.Background(), phase: phaseStartup, status: 'I',
			workspace: new(workspace), conn: &recordingConn{sent: new([]byte)},
		}
		c.server.init()
		if !c.handle(Frame{Raw: body, Body: bytes.Clone(body)}) || c.phase != phasePassword {
			return
		}
		correct := string(password) == "key\x00"
		ok := c.handle(Frame{Type: typePassword, Body: bytes.Clone(password)})
		if ok != correct || (c.phase == phaseReady) != correct || (c.session != nil) != correct {
			t.Fatalf("password %q: %v, phase %s", password, ok, c.phase)
		}
	})
}

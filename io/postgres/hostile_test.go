package postgres

// Tests of callers that violate the protocol or use up resources. Each test shows that
// other callers are still served.

import (
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// checkServes checks that another caller is served.
func (f *fixture) checkServes(t testing.TB) {
	t.Helper()
	c := f.dial(t)
	equal(t, "another caller", queryValue(t, c, "SELECT 'x'"), "x")
	check(t, c.Close(contextWithTimeout(t)))
}

// sampleBuffers samples the buffers of all connections until stop is called, which
// returns the largest sizes: the unsent bytes for a caller, and the buffered bytes of an
// upstream.
func (f *fixture) sampleBuffers() (stop func() (unsent, unread int64)) {
	var unsent, unread atomic.Int64
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			all, _ := f.server.snapshot()
			for _, c := range all {
				unsent.Store(max(unsent.Load(), c.conn.(*Conn).unsent.Load()))
				c.mu.Lock()
				b, ok := c.runningBackend.(*pooledClient)
				c.mu.Unlock()
				if ok {
					b.conn.mu.Lock()
					unread.Store(max(unread.Load(), int64(cap(b.conn.in))))
					b.conn.mu.Unlock()
				}
			}
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() (int64, int64) {
		close(done)
		<-ended
		return unsent.Load(), unread.Load()
	}
}

// checkBufferBounds checks the limit of 64 KB in each direction, plus one write or message.
func checkBufferBounds(t *testing.T, unsent, unread int64) {
	t.Helper()
	if limit := int64(2*writeLimit + flushThreshold); unsent > limit {
		t.Errorf("%d bytes waited for a caller, the limit is %d", unsent, limit)
	}
	if limit := int64(4 * readLimit); unread > limit {
		t.Errorf("%d bytes were buffered from an upstream, the limit is %d", unread, limit)
	}
	if unsent == 0 || unread == 0 {
		t.Error("nothing was measured")
	}
}

const largeQuery = "SELECT generate_series(1, 2000000)"

// A large result must be streamed instead of buffered.
func TestLargeResult(t *testing.T) {
	f := startServer(t, nil)
	c := f.dial(t)
	stop := f.sampleBuffers()
	rows, err := c.Query(contextWithTimeout(t), "SELECT generate_series(1, 300000)")
	check(t, err)
	n := 0
	for rows.Next() {
		n++
	}
	check(t, rows.Err())
	equal(t, "rows", n, 300000)
	unsent, unread := stop()
	checkBufferBounds(t, unsent, unread)
}

// A caller that does not read its answer must slow down the upstream, must not use up
// memory, and must be disconnected after the stall timeout.
func TestUnreadAnswer(t *testing.T) {
	f := startServer(t, nil)
	r := dialRaw(t, f)
	stop := f.sampleBuffers()
	r.send(&pgproto3.Query{String: largeQuery})
	eventually(t, "bytes of the answer are unsent", func() bool {
		all, _ := f.server.snapshot()
		return len(all) > 0 && all[0].conn.(*Conn).unsent.Load() > 0
	})
	f.checkServes(t)
	eventually(t, "the caller is disconnected", func() bool { return f.server.Callers() == 0 })
	unsent, unread := stop()
	checkBufferBounds(t, unsent, unread)
	f.handler.pool.mu.Lock()
	defer f.handler.pool.mu.Unlock()
	equal(t, "the upstream connection is closed", f.handler.pool.closed, 1)
}

// A caller that disconnects in the middle of its answer must cost only its own upstream
// connection.
func TestCallerLeavesDuringAnswer(t *testing.T) {
	f := startServer(t, nil)
	for range 3 {
		r := dialRaw(t, f)
		r.send(&pgproto3.Query{String: largeQuery})
		r.expect("TD")
		check(t, r.sock.Close())
		f.checkServes(t)
	}
	eventually(t, "callers are gone", func() bool { return f.server.Callers() == 0 })
	f.handler.pool.mu.Lock()
	defer f.handler.pool.mu.Unlock()
	equal(t, "upstream connections closed", f.handler.pool.closed, 3)
}

// A caller that stops in the middle of a message must be disconnected before the login,
// and may stay after it.
func TestIncompleteMessage(t *testing.T) {
	f := startServer(t, func(f *fixture) { f.server.LoginTimeout = 300 * time.Millisecond })
	for _, b := range [][]byte{nil, {0}, {0, 0, 0, 50, 0, 3}} {
		c := connectRaw(t, f)
		_, err := c.sock.Write(b)
		check(t, err)
		f.checkServes(t)
		c.waitClosed()
	}
	login, idle := connectRaw(t, f), dialRaw(t, f)
	login.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "team"}})
	login.expect("R")
	login.waitClosed()
	_, err := idle.sock.Write([]byte("Q\x00\x00\x00\x0dSELE"))
	check(t, err)
	time.Sleep(2 * f.server.LoginTimeout)
	f.checkServes(t)
	_, err = idle.sock.Write([]byte("CT 1\x00"))
	check(t, err)
	idle.expect("TDCZ")
}

// A caller that announces a very large or invalid length must be refused, without an
// allocation of that length.
func TestInvalidLengths(t *testing.T) {
	f := startServer(t, nil)
	for name, length := range map[string]string{"1 GB": "\x40\x00\x00\x00", "negative": "\xff\xff\xff\xff", "0": "\x00\x00\x00\x00", "3": "\x00\x00\x00\x03"} {
		t.Run(name, func(t *testing.T) {
			c := connectRaw(t, f)
			_, err := c.sock.Write([]byte(length + "\x00\x03\x00\x00"))
			check(t, err)
			equal(t, "before the startup", c.waitClosed(), stateProtocol)

			c = connectRaw(t, f)
			c.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "team"}})
			c.expect("R")
			_, err = c.sock.Write([]byte("p" + length))
			check(t, err)
			equal(t, "before the login", c.waitClosed(), stateProtocol)

			c = dialRaw(t, f)
			_, err = c.sock.Write([]byte("Q" + length))
			check(t, err)
			equal(t, "after the login", c.waitClosed(), stateProtocol)
			f.checkServes(t)
		})
	}
	eventually(t, "callers are gone", func() bool { return f.server.Callers() == 0 })
}

// Random bytes must end the connection or be answered by errors.
func TestRandomBytes(t *testing.T) {
	f := startServer(t, func(f *fixture) { f.server.LoginTimeout = time.Second })
	const seed = 7
	rng := rand.New(rand.NewPCG(seed, seed))
	types := []byte("QPBDECSHFXdcfp\x00\xff")
	for i := range 200 {
		b := make([]byte, rng.IntN(200))
		for j := range b {
			b[j] = byte(rng.Uint32())
		}
		c := connectRaw(t, f)
		if i%2 == 0 {
			c.login()
			// Whole messages with random content reach more code than random lengths do.
			b = appendFrame(nil, types[rng.IntN(len(types))], b)
			b = append(b, syncFrame.Raw...)
		}
		_, err := c.sock.Write(b)
		check(t, err)
		check(t, c.sock.(*net.TCPConn).CloseWrite())
		// The connection may be reset; the test only checks that it ends.
		_, _ = io.Copy(io.Discard, c.sock)
	}
	f.checkServes(t)
	eventually(t, "callers are gone", func() bool { return f.server.Callers() == 0 })
}

// Connections that never log in must not keep others from logging in, and the oldest of
// them must be closed.
func TestPendingLoginFlood(t *testing.T) {
	f := startServer(t, func(f *fixture) { f.server.LoginTimeout = time.Hour })
	const flood = 3 * maxPending
	socks := make([]net.Conn, flood)
	for i := range socks {
		var err error
		socks[i], err = net.Dial("tcp", f.address)
		check(t, err)
		defer socks[i].Close()
		if i%(maxPending/2) == 0 {
			f.checkServes(t)
		}
	}
	eventually(t, "old connections are closed", func() bool { return f.server.Callers() <= maxPending })
	f.checkServes(t)
	check(t, socks[0].SetReadDeadline(time.Now().Add(waitTimeout)))
	if _, err := socks[0].Read(make([]byte, 1)); err == nil {
		t.Error("the oldest connection is still open")
	}
}

// The size of the messages collected before a Sync must be bounded.
func TestBatchSizeLimit(t *testing.T) {
	f := startServer(t, nil)
	r := dialRaw(t, f)
	long := make([]byte, 1<<20)
	for i := range long {
		long[i] = ' '
	}
	for range maxBatchBytes>>20 + 1 {
		r.send(&pgproto3.Parse{Query: "SELECT 1" + string(long)})
	}
	r.expect("E")
	r.send(&pgproto3.Sync{})
	r.expect("Z")
	f.checkServes(t)
	r.send(&pgproto3.Query{String: "SELECT 1"})
	r.expect("TDCZ")
}

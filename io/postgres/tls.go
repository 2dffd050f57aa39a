package postgres

// TLS on callers' connections. The handshake reads the socket itself and may block.
// Afterwards the event loop reads through crypto/tls, which keeps a partial record when
// the socket has no more bytes and returns the temporary error of tlsSocket.

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// certificateCheckInterval is the minimum time between two checks of the certificate's
// files.
const certificateCheckInterval = time.Second

// wouldBlock is a temporary net.Error. crypto/tls does not store it, unlike other errors,
// so a later read can continue.
type wouldBlock struct{}

// Error implements error.
func (wouldBlock) Error() string { return "no bytes to read" }

// Timeout implements net.Error.
func (wouldBlock) Timeout() bool { return false }

// Temporary implements net.Error.
func (wouldBlock) Temporary() bool { return true }

// Is makes the error equal to EAGAIN, which a plain socket returns.
func (wouldBlock) Is(err error) bool { return err == syscall.EAGAIN }

// tlsSocket is the socket that crypto/tls reads and writes.
type tlsSocket struct {
	net.Conn
	c *Conn
}

// Read blocks during the handshake. It does not block after the handshake, when the
// connection's lock is held.
func (s tlsSocket) Read(b []byte) (int, error) {
	if s.c.encrypted.Load() {
		n, err := s.c.nb.Read(b)
		if err == syscall.EAGAIN || err == syscall.EINTR {
			return 0, wouldBlock{}
		}
		if n == 0 && err == nil {
			return 0, net.ErrClosed
		}
		return n, err
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	for s.c.err == nil {
		n, err := s.c.nb.Read(b)
		switch {
		case err == syscall.EAGAIN:
			s.c.readable.Wait()
		case err == syscall.EINTR:
		case err != nil:
			return 0, err
		case n == 0:
			return 0, net.ErrClosed
		default:
			return n, nil
		}
	}
	return 0, s.c.err
}

// Write queues bytes. Conn.Write waits for free space before it calls Write.
func (s tlsSocket) Write(b []byte) (int, error) {
	s.c.unsent.Add(int64(len(b)))
	return s.c.nb.Write(b)
}

// StartTLS sends the byte that accepts a request for TLS and does the server's side of
// the handshake. It waits for the peer until the connection's deadline. Bytes that came
// before the handshake end the connection, since somebody else may have sent them.
func (c *Conn) StartTLS(config *tls.Config) error {
	c.mu.Lock()
	c.handshaking = true
	early := c.off != len(c.in)
	c.mu.Unlock()
	if early {
		return Error.New("unencrypted data after the request for TLS")
	}
	// handshaking is set before the peer may answer, so that the event loop does not read
	// the handshake's bytes.
	if err := c.writePart([]byte{'S'}); err != nil {
		return Error.Wrap(err)
	}
	conn := tls.Server(tlsSocket{Conn: c.nb, c: c}, config)
	if err := conn.Handshake(); err != nil {
		return Error.Wrap(err)
	}
	c.encrypted.Store(true)
	c.mu.Lock()
	c.tls, c.handshaking, c.mayHaveMore = conn, false, true
	c.mu.Unlock()
	return nil
}

// writePart sends at most writeLimit bytes.
func (c *Conn) writePart(b []byte) error {
	if c.encrypted.Load() {
		_, err := c.tls.Write(b)
		return err
	}
	c.unsent.Add(int64(len(b)))
	_, err := c.nb.Write(b)
	return err
}

// ReloadingCertificate returns a function for tls.Config.GetCertificate. It reloads the
// files when one of them has changed, and looks at them at most once a second. If the new
// files cannot be used, it keeps the old certificate and calls onError.
func ReloadingCertificate(certFile, keyFile string, onError func(error)) (func(*tls.ClientHelloInfo) (*tls.Certificate, error), error) {
	f := &certificateFiles{cert: certFile, key: keyFile, onError: onError}
	if err := f.load(); err != nil {
		return nil, err
	}
	return func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.current(time.Now()), nil }, nil
}

// certificateFiles holds the certificate that was last loaded from its files.
type certificateFiles struct {
	cert, key string
	onError   func(error)

	mu       sync.Mutex
	loaded   *tls.Certificate
	versions [2]fileVersion
	checked  time.Time
}

// fileVersion distinguishes versions of a file.
type fileVersion struct {
	changed time.Time
	size    int64
}

func (f *certificateFiles) stat() (v [2]fileVersion, err error) {
	for i, name := range []string{f.cert, f.key} {
		info, err := os.Stat(name)
		if err != nil {
			return v, Error.Wrap(err)
		}
		v[i] = fileVersion{info.ModTime(), info.Size()}
	}
	return v, nil
}

// load reads the files if one of them has changed.
func (f *certificateFiles) load() error {
	versions, err := f.stat()
	if err != nil || versions == f.versions {
		return err
	}
	loaded, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		return Error.Wrap(err)
	}
	f.loaded, f.versions = &loaded, versions
	return nil
}

// current returns the certificate to use, after a check of the files if one is due.
func (f *certificateFiles) current(now time.Time) *tls.Certificate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.checked) >= certificateCheckInterval {
		f.checked = now
		if err := f.load(); err != nil && f.onError != nil {
			f.onError(err)
		}
	}
	return f.loaded
}

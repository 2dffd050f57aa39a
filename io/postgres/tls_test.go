package postgres

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// writeCertificate writes a new self-signed certificate for 127.0.0.1 with the given serial
// number.
func writeCertificate(t *testing.T, dir string, serial int64) (certFile, keyFile string, cert *x509.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check(t, err)
	cert, err = x509.ParseCertificate(der)
	check(t, err)
	bytes, err := x509.MarshalPKCS8PrivateKey(key)
	check(t, err)
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	check(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	check(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: bytes}), 0o600))
	return certFile, keyFile, cert
}

// A caller with TLS must be served like any other, the handler must be told about TLS, and
// a new certificate must be used without a restart.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile, cert := writeCertificate(t, dir, 1)
	var failed error
	get, err := ReloadingCertificate(certFile, keyFile, func(err error) { failed = err })
	check(t, err)
	f := startServer(t, func(f *fixture) { f.server.TLS = &tls.Config{GetCertificate: get} })
	dial := func(cert *x509.Certificate) (*pgx.Conn, error) {
		cfg, err := pgx.ParseConfig(strings.Replace(f.url(), "disable", "require", 1))
		check(t, err)
		roots := x509.NewCertPool()
		roots.AddCert(cert)
		cfg.TLSConfig = &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}
		c, err := pgx.ConnectConfig(contextWithTimeout(t), cfg)
		if err == nil {
			t.Cleanup(func() { c.Close(context.Background()) })
		}
		return c, err
	}
	c, err := dial(cert)
	check(t, err)
	equal(t, "TLS reported to the handler", f.handler.startup.TLS, true)
	exec(t, c, "CREATE TABLE t (k text PRIMARY KEY, v text)")
	long := strings.Repeat("x", 3*writeLimit)
	exec(t, c, "INSERT INTO t VALUES ($1, $2)", "a", long)
	equal(t, "a value longer than a TLS record", queryValue(t, c, "SELECT v FROM t WHERE k = $1", "a") == long, true)
	rows, err := c.Query(contextWithTimeout(t), "SELECT generate_series(1, 100000)")
	check(t, err)
	n := 0
	for rows.Next() {
		n++
	}
	check(t, rows.Err())
	equal(t, "rows", n, 100000)

	plain := f.dial(t)
	equal(t, "plain connection", queryValue(t, plain, "SELECT 'x'"), "x")
	equal(t, "TLS reported to the handler", f.handler.startup.TLS, false)

	_, _, renewed := writeCertificate(t, dir, 2)
	eventually(t, "the new certificate is used", func() bool {
		_, err := dial(renewed)
		return err == nil
	})
	exec(t, c, "SELECT 1")
	check(t, os.WriteFile(keyFile, []byte("no key"), 0o600))
	eventually(t, "the unusable file is reported", func() bool {
		_, err := dial(renewed)
		check(t, err)
		return failed != nil
	})
}

// Bytes that arrive before the handshake may come from somebody else and must not be read
// as the caller's. A broken handshake must end the connection.
func TestBrokenTLSHandshake(t *testing.T) {
	certFile, keyFile, _ := writeCertificate(t, t.TempDir(), 1)
	get, err := ReloadingCertificate(certFile, keyFile, nil)
	check(t, err)
	f := startServer(t, func(f *fixture) {
		f.server.TLS = &tls.Config{GetCertificate: get}
		f.server.LoginTimeout = time.Second
	})
	const request = "\x00\x00\x00\x08\x04\xd2\x16\x2f"
	for name, after := range map[string]string{
		"no hello": "this is not a TLS record at all",
		"nothing":  "",
		"half":     "\x16\x03\x01\x02\x00",
	} {
		t.Run(name, func(t *testing.T) {
			c := connectRaw(t, f)
			_, err := c.sock.Write([]byte(request + after))
			check(t, err)
			b := make([]byte, 1)
			for err == nil {
				_, err = c.sock.Read(b)
			}
			f.checkServes(t)
		})
	}
	c := connectRaw(t, f)
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "team"}}).Encode([]byte(request))
	check(t, err)
	_, err = c.sock.Write(startup)
	check(t, err)
	if _, err = c.sock.Read(make([]byte, 1)); err == nil {
		err = tls.Client(c.sock, &tls.Config{InsecureSkipVerify: true}).HandshakeContext(contextWithTimeout(t))
	}
	if err == nil {
		t.Error("the handshake succeeded after early data")
	}
	eventually(t, "callers are gone", func() bool { return f.server.Callers() == 0 })
}

// Package socket configures dead connection detection on TCP connections and checks for
// received data without reading it.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes make an idle connection fail
	// within 3 s if the remote end does not respond. Upstreams use the same bound.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// userTimeout (TCP_USER_TIMEOUT) bounds the time for which sent bytes may remain
	// unacknowledged. An open connection can stop delivering data for good while new
	// connections work.
	userTimeout = 2 * time.Second
)

// Dial opens a TCP connection that fails if the remote end stops responding.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAliveConfig()}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := EnableKeepAlive(c); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// EnableKeepAlive makes a TCP connection fail if the remote end stops responding: it sets
// the keep-alive probes and TCP_USER_TIMEOUT. Other connections stay unchanged.
func EnableKeepAlive(c net.Conn) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := t.SetKeepAliveConfig(keepAliveConfig()); err != nil {
		return err
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	var sockoptErr error
	if err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return sockoptErr
}

// ReadState says what the next read from a connection would return.
type ReadState string

// The read states of a connection.
const (
	NoData        ReadState = "nothing"
	DataAvailable ReadState = "bytes"
	Closed        ReadState = "end" // closed by the remote end, or failed
)

// Peek returns the read state of a connection without consuming data and without
// blocking. Connections without a file descriptor always have the state NoData.
func Peek(c net.Conn) ReadState {
	t, ok := c.(syscall.Conn)
	if !ok {
		return NoData
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return Closed
	}
	result := NoData
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			result = DataAvailable
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		default:
			result = Closed
		}
	}); err != nil {
		return Closed
	}
	return result
}

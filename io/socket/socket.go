// Package socket sets what the daemon needs on its TCP connections and looks at them
// without reading.
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
	// probeAfter, probeEvery and probes bound the time in which an idle connection whose
	// far end is dark is noticed to 3 s, which is what upstreams allow, too.
	probeAfter = time.Second
	probeEvery = time.Second
	probes     = 2
	// unacknowledged bounds the time for which sent bytes may stay without an
	// acknowledgement. A connection may go silent for good while new ones work.
	unacknowledged = 2 * time.Second
)

// Dial opens a TCP connection that notices a silent far end.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive()}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := Watch(c); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes}
}

// Watch makes a connection notice a silent far end.
func Watch(c net.Conn) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := t.SetKeepAliveConfig(keepAlive()); err != nil {
		return err
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	}); err != nil {
		return err
	}
	return failed
}

// Waiting is what a connection has to read.
type Waiting string

// What may wait on a connection.
const (
	Nothing Waiting = "nothing"
	Bytes   Waiting = "bytes"
	End     Waiting = "end" // closed by the far end, or failed
)

// Peek looks at what a connection has to read, without reading or waiting.
func Peek(c net.Conn) Waiting {
	t, ok := c.(syscall.Conn)
	if !ok {
		return Nothing
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return End
	}
	result := Nothing
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			result = Bytes
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		default:
			result = End
		}
	}); err != nil {
		return End
	}
	return result
}

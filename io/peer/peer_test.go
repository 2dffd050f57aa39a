package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"
)

// EchoService is the receiver that the test servers register.
type EchoService struct {
	release   chan struct{} // lets one Wait call return per value, or all when closed
	echoCalls atomic.Int64
}

// Echo returns its argument.
func (d *EchoService) Echo(args string, reply *string) error {
	d.echoCalls.Add(1)
	*reply = args
	return nil
}

// Refuse always fails.
func (d *EchoService) Refuse(string, *string) error { return errors.New("refused by the test") }

// Wait blocks until the test releases it.
func (d *EchoService) Wait(_ string, reply *string) error {
	<-d.release
	*reply = "late"
	return nil
}

// startServer starts a server and returns it with its receiver and a function that stops it.
func startServer(t *testing.T, c Config) (*Server, *EchoService, context.CancelFunc) {
	t.Helper()
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	s, err := Listen(c)
	if err != nil {
		t.Fatal(err)
	}
	d := &EchoService{release: make(chan struct{})}
	if err := s.Register("EchoService", d); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	stop := func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("serve: %v", err)
		}
		ended <- nil
	}
	t.Cleanup(stop)
	return s, d, stop
}

func newTestPool(t *testing.T, c Config) *Pool {
	t.Helper()
	p := NewPool(c)
	t.Cleanup(p.Close)
	return p
}

func call(p *Pool, addr, method, args string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply string
	err := p.Call(ctx, addr, method, args, &reply)
	return reply, err
}

// expectEcho waits until a call to the server succeeds.
func expectEcho(t *testing.T, p *Pool, addr string) {
	t.Helper()
	for i := 0; ; i++ {
		got, err := call(p, addr, "EchoService.Echo", "hi", 10*time.Second)
		if err == nil && got == "hi" {
			return
		}
		// Calls fail immediately until the backoff of an earlier failure has passed.
		if i == 1000 || err != nil && !Unavailable.Has(err) {
			t.Fatalf("echo: got %q, error %v", got, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func expectError(t *testing.T, class *errs.Class, err error) {
	t.Helper()
	if !class.Has(err) {
		t.Errorf("got %v, want an error of class %q", err, string(*class))
	}
}

// Callers use the class of an error to decide whether a call may have run, and the byte
// counters are compared with the traffic budget of the control plane. Guards against wrong
// classes and wrong counts.
func TestCallErrorsAndByteCounters(t *testing.T) {
	set := metrics.NewSet()
	s, _, _ := startServer(t, Config{})
	p := newTestPool(t, Config{Metrics: set})
	expectEcho(t, p, s.Addr())
	_, err := call(p, s.Addr(), "EchoService.Refuse", "", 10*time.Second)
	expectError(t, &Remote, err)
	_, err = call(p, s.Addr(), "EchoService.None", "", 10*time.Second)
	expectError(t, &Remote, err)
	big := strings.Repeat("x", maxMessageBytes+1)
	_, err = call(p, s.Addr(), "EchoService.Echo", big, 10*time.Second)
	expectError(t, &Remote, err)
	expectEcho(t, p, s.Addr())
	if got, err := call(p, s.Addr(), "EchoService.Echo", big[:maxMessageBytes/2], 10*time.Second); err != nil || len(got) != maxMessageBytes/2 {
		t.Errorf("echo of a large message: %d bytes, error %v", len(got), err)
	}
	in := set.GetOrCreateCounter(`burdockseam_peer_bytes_total{direction="in"}`).Get()
	out := set.GetOrCreateCounter(`burdockseam_peer_bytes_total{direction="out"}`).Get()
	if in < maxMessageBytes/2 || in > maxMessageBytes || out < maxMessageBytes/2 {
		t.Errorf("counted %d bytes in and %d bytes out, want about half of the maximum message size", in, out)
	}
}

// Guards against a method that never returns and blocks its caller beyond the deadline of
// the context, writes into the reply after the call has failed, or occupies a slot of the
// calls in flight forever.
func TestHungMethod(t *testing.T) {
	s, d, _ := startServer(t, Config{})
	p := newTestPool(t, Config{MaxInFlight: 2})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	var late string
	expectError(t, &Unavailable, p.Call(ctx, s.Addr(), "EchoService.Wait", "", &late))
	d.release <- struct{}{}
	expectEcho(t, p, s.Addr())
	if late != "" {
		t.Errorf("the reply was set to %q after the call had failed", late)
	}
	for range 2 * maxConsecutiveTimeouts {
		if got, err := call(p, s.Addr(), "EchoService.Wait", "", 20*time.Millisecond); got != "" || !Unavailable.Has(err) {
			t.Errorf("call of a method that hangs: got %q, error %v", got, err)
		}
	}
	expectEcho(t, p, s.Addr())
	close(d.release)
	expectEcho(t, p, s.Addr())
}

// Guards against more concurrent calls on a connection than the limit of either side allows,
// whatever the limit of the other side is.
func TestMaxInFlight(t *testing.T) {
	for _, tc := range []struct {
		name         string
		server, pool int
	}{
		{"limit of the server", 1, 0},
		{"limit of the pool", 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, d, _ := startServer(t, Config{MaxInFlight: tc.server})
			p := newTestPool(t, Config{MaxInFlight: tc.pool})
			done := make(chan error, 2)
			for range 2 {
				go func() {
					_, err := call(p, s.Addr(), "EchoService.Wait", "", 10*time.Second)
					done <- err
				}()
			}
			for s.counters.servedCalls.Get() == 0 {
				time.Sleep(time.Millisecond)
			}
			_, err := call(p, s.Addr(), "EchoService.Echo", "hi", 20*time.Millisecond)
			expectError(t, &Unavailable, err)
			close(d.release)
			for range 2 {
				if err := <-done; err != nil {
					t.Error(err)
				}
			}
			expectEcho(t, p, s.Addr())
		})
	}
}

// Guards against a partition that drops messages of other peers or of the other direction,
// or that does not end.
func TestPartition(t *testing.T) {
	partitionA, partitionServer := &Partition{}, &Partition{}
	s, d, _ := startServer(t, Config{Partition: partitionServer})
	a, b := newTestPool(t, Config{Addr: "a", Partition: partitionA}), newTestPool(t, Config{Addr: "b"})
	isA := func(peer string) bool { return peer == "a" }
	isServer := func(peer string) bool { return peer == s.Addr() }
	for _, tc := range []struct {
		name             string
		partition        *Partition
		dropTo, dropFrom func(string) bool
		wantCalls        int64
	}{
		{"server drops requests", partitionServer, nil, isA, 0},
		{"server drops responses", partitionServer, isA, nil, 1},
		{"pool drops requests", partitionA, isServer, nil, 0},
		{"pool drops responses", partitionA, nil, isServer, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			expectEcho(t, a, s.Addr())
			tc.partition.Set(tc.dropTo, tc.dropFrom)
			before := d.echoCalls.Load()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			failed := make(chan error, 1)
			go func() {
				var reply string
				failed <- a.Call(ctx, s.Addr(), "EchoService.Echo", "hi", &reply)
			}()
			for d.echoCalls.Load()-before < tc.wantCalls {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
			cancel()
			expectError(t, &Unavailable, <-failed)
			if n := d.echoCalls.Load() - before; n != tc.wantCalls {
				t.Errorf("the method ran %d times, want %d", n, tc.wantCalls)
			}
			expectEcho(t, b, s.Addr())
			tc.partition.Set(nil, nil)
			expectEcho(t, a, s.Addr())
		})
	}
}

// Guards against a pool that does not reconnect to an instance restarted at the same address,
// and against calls to a stopped instance that wait instead of failing immediately.
func TestReconnectAfterRestart(t *testing.T) {
	s, _, stop := startServer(t, Config{})
	p := newTestPool(t, Config{})
	expectEcho(t, p, s.Addr())
	stop()
	ctx := context.Background()
	var reply string
	expectError(t, &Unavailable, p.Call(ctx, s.Addr(), "EchoService.Echo", "hi", &reply))
	expectError(t, &Unavailable, p.Call(ctx, s.Addr(), "EchoService.Echo", "hi", &reply))
	startServer(t, Config{Addr: s.Addr()})
	expectEcho(t, p, s.Addr())
}

// Guards against new calls on a connection that stopped delivering data while new connections
// work, and against the failure of calls that still wait on the replaced connection. A relay
// between pool and server withholds the responses of the first connection.
func TestSilentConnection(t *testing.T) {
	s, d, _ := startServer(t, Config{})
	p := newTestPool(t, Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var silent atomic.Bool
	go func() {
		for first := true; ; first = false {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", s.Addr())
			if err != nil {
				return
			}
			go io.Copy(out, in)
			go func() {
				b := make([]byte, 4096)
				for {
					n, err := out.Read(b)
					for first && silent.Load() {
						time.Sleep(time.Millisecond)
					}
					if _, failed := in.Write(b[:n]); err != nil || failed != nil {
						return
					}
				}
			}()
		}
	}()
	address := l.Addr().String()
	expectEcho(t, p, address)
	silent.Store(true)
	waiting := make(chan error, 1)
	go func() {
		_, err := call(p, address, "EchoService.Echo", "late", 10*time.Second)
		waiting <- err
	}()
	if _, err := call(p, address, "EchoService.Echo", "lost", 300*time.Millisecond); !Unavailable.Has(err) {
		t.Errorf("call on the silent connection: got %v, want an error of class Unavailable", err)
	}
	if _, err := call(p, address, "EchoService.Echo", "new", 300*time.Millisecond); err != nil {
		t.Errorf("call after the silent connection was replaced: %v", err)
	}
	silent.Store(false)
	if err := <-waiting; err != nil {
		t.Errorf("call that waited on the replaced connection: %v", err)
	}
	close(d.release)
}

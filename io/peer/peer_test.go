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

// Desk is the receiver of the tests.
type Desk struct {
	hold chan struct{}
	ran  atomic.Int64
}

// Echo returns its argument.
func (d *Desk) Echo(args string, reply *string) error {
	d.ran.Add(1)
	*reply = args
	return nil
}

// Refuse fails.
func (d *Desk) Refuse(string, *string) error { return errors.New("no room") }

// Wait returns when the test says so.
func (d *Desk) Wait(_ string, reply *string) error {
	<-d.hold
	*reply = "late"
	return nil
}

func serve(t *testing.T, c Config) (*Server, *Desk, context.CancelFunc) {
	t.Helper()
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	s, err := Listen(c)
	if err != nil {
		t.Fatal(err)
	}
	d := &Desk{hold: make(chan struct{})}
	if err := s.Register("Desk", d); err != nil {
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

func pool(t *testing.T, c Config) *Pool {
	t.Helper()
	p := NewPool(c)
	t.Cleanup(p.Close)
	return p
}

func call(p *Pool, addr, method, args string, d time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var reply string
	err := p.Call(ctx, addr, method, args, &reply)
	return reply, err
}

func echoes(t *testing.T, p *Pool, addr string) {
	t.Helper()
	for i := 0; ; i++ {
		got, err := call(p, addr, "Desk.Echo", "hi", 10*time.Second)
		if err == nil && got == "hi" {
			return
		}
		// Calls fail at once until the backoff of an earlier failure has passed.
		if i == 1000 || err != nil && !Unavailable.Has(err) {
			t.Fatalf("echo: %q %v", got, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func fails(t *testing.T, class *errs.Class, err error) {
	t.Helper()
	if !class.Has(err) {
		t.Errorf("got %v, want an error of class %q", err, string(*class))
	}
}

// Callers decide by the class of an error whether a call may have run, and bytes are
// held against the control budget, so both must be right.
func TestCall(t *testing.T) {
	set := metrics.NewSet()
	s, _, _ := serve(t, Config{})
	p := pool(t, Config{Metrics: set})
	echoes(t, p, s.Addr())
	_, err := call(p, s.Addr(), "Desk.Refuse", "", 10*time.Second)
	fails(t, &Remote, err)
	_, err = call(p, s.Addr(), "Desk.None", "", 10*time.Second)
	fails(t, &Remote, err)
	big := strings.Repeat("x", maxMessageBytes+1)
	_, err = call(p, s.Addr(), "Desk.Echo", big, 10*time.Second)
	fails(t, &Remote, err)
	echoes(t, p, s.Addr())
	if got, err := call(p, s.Addr(), "Desk.Echo", big[:maxMessageBytes/2], 10*time.Second); err != nil || len(got) != maxMessageBytes/2 {
		t.Errorf("large call: %d bytes, %v", len(got), err)
	}
	in := set.GetOrCreateCounter(`burdockseam_peer_bytes_total{direction="in"}`).Get()
	out := set.GetOrCreateCounter(`burdockseam_peer_bytes_total{direction="out"}`).Get()
	if in < maxMessageBytes/2 || in > maxMessageBytes || out < maxMessageBytes/2 {
		t.Errorf("%d bytes in, %d bytes out", in, out)
	}
}

// A method that never returns must not hold its caller beyond the context, write into
// the caller's reply later, or use up the calls in flight for good.
func TestHungMethod(t *testing.T) {
	s, d, _ := serve(t, Config{})
	p := pool(t, Config{MaxInFlight: 2})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	var late string
	fails(t, &Unavailable, p.Call(ctx, s.Addr(), "Desk.Wait", "", &late))
	d.hold <- struct{}{}
	echoes(t, p, s.Addr())
	if late != "" {
		t.Errorf("reply %q came after the call had failed", late)
	}
	for range 2 * maxConsecutiveTimeouts {
		if got, err := call(p, s.Addr(), "Desk.Wait", "", 20*time.Millisecond); got != "" || !Unavailable.Has(err) {
			t.Errorf("hung call: %q %v", got, err)
		}
	}
	echoes(t, p, s.Addr())
	close(d.hold)
	echoes(t, p, s.Addr())
}

// Neither side may let more calls of a connection run at a time than its own bound,
// whatever the other's is.
func TestInFlight(t *testing.T) {
	for _, tc := range []struct {
		name         string
		server, pool int
	}{
		{"server's bound", 1, 0},
		{"caller's bound", 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, d, _ := serve(t, Config{MaxInFlight: tc.server})
			p := pool(t, Config{MaxInFlight: tc.pool})
			done := make(chan error, 2)
			for range 2 {
				go func() {
					_, err := call(p, s.Addr(), "Desk.Wait", "", 10*time.Second)
					done <- err
				}()
			}
			for s.counters.servedCalls.Get() == 0 {
				time.Sleep(time.Millisecond)
			}
			_, err := call(p, s.Addr(), "Desk.Echo", "hi", 20*time.Millisecond)
			fails(t, &Unavailable, err)
			close(d.hold)
			for range 2 {
				if err := <-done; err != nil {
					t.Error(err)
				}
			}
			echoes(t, p, s.Addr())
		})
	}
}

// A cut must hit the chosen peers and the chosen direction only, and end.
func TestCut(t *testing.T) {
	cutA, cutS := &Partition{}, &Partition{}
	s, d, _ := serve(t, Config{Partition: cutS})
	a, b := pool(t, Config{Addr: "a", Partition: cutA}), pool(t, Config{Addr: "b"})
	isA := func(peer string) bool { return peer == "a" }
	toS := func(peer string) bool { return peer == s.Addr() }
	for _, tc := range []struct {
		name     string
		cut      *Partition
		to, from func(string) bool
		runs     int64
	}{
		{"server drops requests", cutS, nil, isA, 0},
		{"server drops responses", cutS, isA, nil, 1},
		{"caller drops requests", cutA, toS, nil, 0},
		{"caller drops responses", cutA, nil, toS, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			echoes(t, a, s.Addr())
			tc.cut.Set(tc.to, tc.from)
			before := d.ran.Load()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			failed := make(chan error, 1)
			go func() {
				var reply string
				failed <- a.Call(ctx, s.Addr(), "Desk.Echo", "hi", &reply)
			}()
			for d.ran.Load()-before < tc.runs {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
			cancel()
			fails(t, &Unavailable, <-failed)
			if n := d.ran.Load() - before; n != tc.runs {
				t.Errorf("the method ran %d times, want %d", n, tc.runs)
			}
			echoes(t, b, s.Addr())
			tc.cut.Set(nil, nil)
			echoes(t, a, s.Addr())
		})
	}
}

// A restarted instance at the same address must be reached again, and calls to one
// that is gone must fail at once rather than wait.
func TestReconnect(t *testing.T) {
	s, _, stop := serve(t, Config{})
	p := pool(t, Config{})
	echoes(t, p, s.Addr())
	stop()
	ctx := context.Background()
	var reply string
	fails(t, &Unavailable, p.Call(ctx, s.Addr(), "Desk.Echo", "hi", &reply))
	fails(t, &Unavailable, p.Call(ctx, s.Addr(), "Desk.Echo", "hi", &reply))
	serve(t, Config{Addr: s.Addr()})
	echoes(t, p, s.Addr())
}

// Guards against calls that wait for a connection which has gone silent while new ones
// work, and against the end of the calls that still wait on it.
func TestSilentConnection(t *testing.T) {
	s, d, _ := serve(t, Config{})
	p := pool(t, Config{})
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
	echoes(t, p, address)
	silent.Store(true)
	waiting := make(chan error, 1)
	go func() {
		_, err := call(p, address, "Desk.Echo", "late", 10*time.Second)
		waiting <- err
	}()
	if _, err := call(p, address, "Desk.Echo", "lost", 300*time.Millisecond); !Unavailable.Has(err) {
		t.Errorf("a call on the silent connection: %v", err)
	}
	if _, err := call(p, address, "Desk.Echo", "new", 300*time.Millisecond); err != nil {
		t.Errorf("a call after it: %v", err)
	}
	silent.Store(false)
	if err := <-waiting; err != nil {
		t.Errorf("the call that waited on the silent connection: %v", err)
	}
	close(d.hold)
}

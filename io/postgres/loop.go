package postgres

// The event loop watches sockets with nbio. Its callbacks never block.

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/zeebo/errs"
)

// queueLimit bounds the bytes that nbio queues for one connection: the limit that Write
// observes, one part beyond it, and the overhead of TLS.
const queueLimit = 4 * writeLimit

// Loop is an event loop that serves connections.
type Loop struct {
	engine *nbio.Engine
	// added counts connections. The callbacks read it so that the race detector sees that
	// they run after Add; nbio hides this order from it.
	added atomic.Int64

	jobs        chan func()
	idleWorkers atomic.Int64 // workers that wait for a job
	done        chan struct{}
}

// maxIdleWorkers bounds the goroutines that wait for the next job. A waiting goroutine
// keeps its grown stack; growing a new stack for each message took a twelfth of the
// proxy's time.
const maxIdleWorkers = 256

// runJob runs a job on a waiting goroutine, or on a new one if none waits.
func (l *Loop) runJob(job func()) {
	select {
	case l.jobs <- job:
	default:
		go l.runWorker(job)
	}
}

// runWorker runs a job and then waits for others, unless enough goroutines wait.
func (l *Loop) runWorker(job func()) {
	for {
		job()
		if l.idleWorkers.Add(1) > maxIdleWorkers {
			l.idleWorkers.Add(-1)
			return
		}
		select {
		case job = <-l.jobs:
			l.idleWorkers.Add(-1)
		case <-l.done:
			return
		}
	}
}

// connFor returns the Conn that Add has created for a socket.
func (l *Loop) connFor(nb *nbio.Conn) (*Conn, bool) {
	l.added.Load()
	c, ok := nb.Session().(*Conn)
	return c, ok
}

// setLogLevel keeps nbio from printing a line for each start and stop.
var setLogLevel sync.Once

// NewLoop starts an event loop with the given number of pollers.
func NewLoop(pollers int) (*Loop, error) {
	setLogLevel.Do(func() { logging.SetLevel(logging.LevelError) })
	engine := nbio.NewEngine(nbio.Config{
		Name:     "burdockseam",
		Network:  "tcp",
		NPoller:  pollers,
		EpollMod: nbio.EPOLLET,

		MaxWriteBufferSize: queueLimit,
	})
	l := &Loop{engine: engine, jobs: make(chan func()), done: make(chan struct{})}
	engine.OnOpen(func(*nbio.Conn) {})
	engine.OnRead(func(nb *nbio.Conn) {
		if c, ok := l.connFor(nb); ok {
			if c.onReadable() {
				// The woken goroutine then runs on this processor at once, instead of waiting until
				// another processor takes it while this one sleeps in the kernel.
				runtime.Gosched()
			}
		}
	})
	engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c, ok := l.connFor(nb); ok {
			c.onWritten(n)
		}
	})
	engine.OnClose(func(nb *nbio.Conn, err error) {
		if c, ok := l.connFor(nb); ok {
			if c.encrypted.Load() {
				// crypto/tls may be writing an alert while the connection's lock is held, and
				// fail takes the lock.
				go c.fail(err)
				return
			}
			c.fail(err)
		}
	})
	if err := engine.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	return l, nil
}

// Close stops the loop and ends all its connections.
func (l *Loop) Close() {
	l.engine.Stop()
	close(l.done)
}

// Add hands a connected socket to the loop. The stall timeout bounds how long a write
// waits for a peer that does not read. The wake function is called when a whole message
// or an error can be read, at most once each time the connection is parked.
func (l *Loop) Add(sock net.Conn, stallTimeout time.Duration, untyped bool, wake func()) (*Conn, error) {
	nb, err := nbio.NBConn(sock)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Conn{
		nb:           nb,
		loop:         l,
		stallTimeout: stallTimeout,
		max:          MaxMessage,
		untyped:      untyped,
		parked:       wake != nil,
		onWake:       wake,
		drained:      make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
	c.readable.L = &c.mu
	nb.SetSession(c)
	if err := nb.SetNoDelay(true); err != nil {
		return nil, errs.Combine(Error.Wrap(err), nb.Close())
	}
	l.added.Add(1)
	if _, err := l.engine.AddConn(nb); err != nil {
		return nil, Error.Wrap(err)
	}
	return c, nil
}

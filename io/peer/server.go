// Package peer implements remote procedure calls between instances on top of net/rpc. A
// Server exposes the methods of registered receivers on the peer control port, and a Pool
// calls the methods of other instances. A call may be lost, or its method may run although
// the response is lost, so methods must be idempotent.
package peer

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"reflect"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"
)

// Error is the class of errors that belong to no other class.
var Error = errs.Class("peer")

// defaultMaxInFlight is the default of Config.MaxInFlight.
const defaultMaxInFlight = 64

// Config configures a Server or a Pool.
type Config struct {
	// Addr is the host and port on which the Server of the instance listens. The Pool
	// sends it to identify the instance to its peers.
	Addr string
	// MaxInFlight bounds the calls in flight per connection. The default is 64.
	MaxInFlight int
	// Metrics is the set in which the counters are registered. If it is nil, the counters
	// are not published.
	Metrics *metrics.Set
	// Partition drops messages in tests. Nil drops none.
	Partition *Partition
}

// hello is the first message on each connection. Addr is the address of the calling
// instance's Server.
type hello struct{ Addr string }

// Server serves the calls of other instances.
type Server struct {
	config   Config
	rpc      *rpc.Server
	listener net.Listener
	counters *counters

	mu      sync.Mutex
	conns   map[*conn]struct{}
	closing bool // set when the context of Serve ends
	wg      sync.WaitGroup
}

// Listen opens the port. Calls that arrive before Serve wait.
func Listen(c Config) (*Server, error) {
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Server{
		config: c, rpc: rpc.NewServer(), listener: l,
		counters: newCounters(c.Metrics), conns: map[*conn]struct{}{},
	}, nil
}

// Addr returns the host and port on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Register exposes the methods of the receiver as name.Method. The methods must have the
// form that net/rpc requires: func(args T, reply *R) error. Register must be called before
// Serve.
func (s *Server) Register(name string, receiver any) error {
	return Error.Wrap(s.rpc.RegisterName(name, receiver))
}

// Serve answers calls until the context ends, then closes all connections and returns
// when the last method has returned.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closing = true
		for c := range s.conns {
			c.Close()
		}
	})
	defer stop()
	defer s.wg.Wait()
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return Error.Wrap(err)
		}
		c := newConn(nc, s.counters)
		s.mu.Lock()
		if s.closing {
			s.mu.Unlock()
			c.Close()
			continue
		}
		s.conns[c] = struct{}{}
		s.wg.Add(1)
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

// serveConn reads the hello message and serves the calls of one connection.
func (s *Server) serveConn(c *conn) {
	defer s.wg.Done()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	defer c.Close()
	w := bufio.NewWriter(c)
	k := &serverCodec{
		conn: c, writer: w, server: s, dec: gob.NewDecoder(bufio.NewReader(c)), enc: gob.NewEncoder(w),
		inFlight: make(chan struct{}, s.config.MaxInFlight),
	}
	var h hello
	if k.dec.Decode(&h) == nil {
		k.peer = h.Addr
		s.rpc.ServeCodec(k)
	}
}

// serverCodec is the gob codec of net/rpc with limits on the number of requests in flight
// and on their size, and with the message loss of Config.Partition. net/rpc calls
// WriteResponse once for each successful ReadRequestHeader, which releases the slot in
// inFlight.
type serverCodec struct {
	conn     *conn
	server   *Server
	writer   *bufio.Writer
	dec      *gob.Decoder
	enc      *gob.Encoder
	peer     string
	inFlight chan struct{}
}

// ReadRequestHeader implements rpc.ServerCodec. It skips requests that the partition drops.
func (k *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	for {
		k.conn.resetReadLimit()
		if err := k.dec.Decode(r); err != nil {
			return err
		}
		if !k.server.config.Partition.drops(k.peer, false) {
			k.inFlight <- struct{}{}
			k.server.counters.servedCalls.Inc()
			return nil
		}
		if err := k.dec.DecodeValue(reflect.Value{}); err != nil {
			return err
		}
		*r = rpc.Request{}
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (k *serverCodec) ReadRequestBody(body any) error { return k.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (k *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-k.inFlight }()
	if k.server.config.Partition.drops(k.peer, true) {
		return nil
	}
	err := k.enc.Encode(r)
	if err == nil {
		err = k.enc.Encode(body)
	}
	if err == nil {
		err = k.writer.Flush()
	}
	if err != nil {
		// A part of the response may already be sent, so the stream is unusable.
		k.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (k *serverCodec) Close() error { return k.conn.Close() }

package postgres

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxIdleLinks bounds the idle links that are kept to one gateway.
const maxIdleLinks = 64

// LinkPool keeps links to the gateways of other instances.
type LinkPool struct {
	Loop         *Loop
	Secret       string
	StallTimeout time.Duration

	mu   sync.Mutex
	idle map[string][]*Conn
}

// Open returns a link to the gateway at the address. The header is sent before each
// batch. An error is a NotRun refusal, since nothing has been sent.
func (l *LinkPool) Open(ctx context.Context, address string, h Header) (Backend, error) {
	l.mu.Lock()
	for n := len(l.idle[address]); n > 0; n = len(l.idle[address]) {
		conn := l.idle[address][n-1]
		l.idle[address] = l.idle[address][:n-1]
		select {
		case <-conn.Done():
			continue
		default:
		}
		l.mu.Unlock()
		return &outboundLink{links: l, conn: conn, address: address, header: h}, nil
	}
	l.mu.Unlock()
	conn, err := l.dial(ctx, address)
	if err != nil {
		return nil, NewRefusal(NotRun, "gateway at %s cannot be reached", address)
	}
	return &outboundLink{links: l, conn: conn, address: address, header: h}, nil
}

// Close ends the idle links.
func (l *LinkPool) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conns := range l.idle {
		for _, c := range conns {
			c.Close()
		}
	}
	l.idle = nil
}

// dial opens a link and answers the gateway's challenge.
func (l *LinkPool) dial(ctx context.Context, address string) (*Conn, error) {
	var d net.Dialer
	sock, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	conn, err := l.Loop.Add(sock, l.StallTimeout, false, nil)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	f, err := conn.ReadFrame()
	if err != nil {
		conn.Close()
		return nil, err
	}
	if f.Type != typeChallenge {
		conn.Close()
		return nil, Error.New("gateway at %s sent no challenge", address)
	}
	if _, err := conn.Write(privateFrame(typeProof, computeProof(l.Secret, f.Body))); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// putIdle keeps a link for the next use, or closes it if enough links are kept.
func (l *LinkPool) putIdle(address string, c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idle == nil {
		l.idle = make(map[string][]*Conn)
	}
	if len(l.idle[address]) >= maxIdleLinks {
		c.Close()
		return
	}
	l.idle[address] = append(l.idle[address], c)
}

// outboundLink is the entry instance's end of a link, in use by one session.
type outboundLink struct {
	links   *LinkPool
	conn    *Conn
	address string
	header  Header
}

// Send implements Backend.
func (o *outboundLink) Send(b *Batch) error {
	h := o.header
	h.Kind, h.Idempotency = b.Kind, b.IdempotencyKey
	if h.Idempotency != "" {
		h.SQL = b.SQL
	}
	for _, p := range b.uses {
		h.Uses = append(h.Uses, UsedStatement{Name: p.name, Parse: []byte(p.parse)})
	}
	body, err := json.Marshal(h)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := o.conn.Write(append(privateFrame(typeHeader, body), b.Frames...)); err != nil {
		return NewRefusal(Unknown, "link to the gateway at %s was lost", o.address)
	}
	return nil
}

// Next implements Backend. It returns an error message of the gateway that holds a
// refusal as a *Refusal.
func (o *outboundLink) Next() (Frame, error) {
	f, err := o.conn.ReadFrame()
	if err != nil {
		return Frame{}, NewRefusal(Unknown, "link to the gateway at %s was lost", o.address)
	}
	if f.Type != typeErrorResponse {
		return f, nil
	}
	var m pgproto3.ErrorResponse
	if err := m.Decode(f.Body); err != nil {
		return Frame{}, NewRefusal(Unknown, "gateway at %s sent a malformed error", o.address)
	}
	switch m.Code {
	case StateNotRun, StateUnknown:
		return Frame{}, o.readRefusal(m)
	}
	return f, nil
}

// readRefusal returns the refusal in an error message. It reads the ReadyForQuery that
// follows, so that the link can be used again.
func (o *outboundLink) readRefusal(m pgproto3.ErrorResponse) error {
	r := &Refusal{Outcome: Unknown, Reason: m.Message}
	if m.Code == StateNotRun {
		r.Outcome = NotRun
	}
	if d, err := time.ParseDuration(m.Hint); err == nil {
		r.Retry = d
	}
	if f, err := o.conn.ReadFrame(); err == nil && f.Type == typeReadyForQuery {
		o.links.putIdle(o.address, o.conn)
		o.conn = nil
	}
	return r
}

// Cancel implements Backend. It closes the link, upon which the gateway cancels the
// statement.
func (o *outboundLink) Cancel() {
	if o.conn != nil {
		o.conn.Close()
	}
}

// Release implements Backend.
func (o *outboundLink) Release(clean bool) {
	switch {
	case o.conn == nil:
	case clean:
		o.links.putIdle(o.address, o.conn)
	default:
		o.conn.Close()
	}
	o.conn = nil
}

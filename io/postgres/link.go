package postgres

// A link carries statements from an entry instance to the gateway of an upstream.
//
// It uses the messages of the PostgreSQL protocol, so answers are streamed and matched
// in the same way between caller and entry instance and on the link. Three private
// messages are added: a challenge and its proof when the link opens, and a header before
// each batch. A link serves one batch or transaction at a time.

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"

	"burdockseam/core/statement"
)

// Types of the private messages of a link.
const (
	typeChallenge = 'c'
	typeProof     = 'p'
	typeHeader    = 'h'
)

// Header says for whom and on which upstream a batch runs.
type Header struct {
	ID       string         `json:"id"`
	Upstream string         `json:"upstream"`
	Term     uint64         `json:"term"`
	Team     string         `json:"team"`
	Kind     statement.Kind `json:"kind"`
	// SQL is the text of the batch's first statement.
	SQL string `json:"sql,omitempty"`
	// Wait is the time that the batch may wait for its start.
	Wait time.Duration `json:"wait"`
	// Idempotency is the caller's idempotency key, or "".
	Idempotency string `json:"idempotency,omitempty"`
	// Uses are statements of earlier batches that this one needs.
	Uses []UsedStatement `json:"uses,omitempty"`
	// Rescue asks for one of the reserved connections, since the first gateway cannot be
	// reached.
	Rescue bool `json:"rescue,omitempty"`
}

// UsedStatement is a prepared statement of the session that a batch needs.
type UsedStatement struct {
	Name  string `json:"name"`
	Parse []byte `json:"parse"`
}

// Opener opens connections to the upstreams for which an instance is the gateway.
type Opener interface {
	OpenUpstream(ctx context.Context, h Header, b *Batch) (Backend, error)
}

// LinkServer serves the links from other instances.
type LinkServer struct {
	Loop         *Loop
	Opener       Opener
	Log          logr.Logger
	Secret       string
	StallTimeout time.Duration

	mu        sync.Mutex
	links     map[*inboundLink]struct{}
	lastBatch atomic.Int64 // arrival of the last batch, in nanoseconds since 1970
}

// Serve accepts links until the context ends or the listener fails.
func (s *LinkServer) Serve(ctx context.Context, ln net.Listener) error {
	s.mu.Lock()
	s.links = make(map[*inboundLink]struct{})
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		// The accept loop reports the error of a listener that fails to close.
		_ = ln.Close()
	})
	defer stop()
	defer s.closeAll()
	for {
		sock, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
		if err := s.add(ctx, sock); err != nil {
			s.Log.Error(err, "link: cannot serve link", "remote", sock.RemoteAddr().String())
		}
	}
}

// Active returns the number of links on which a batch or a transaction runs.
func (s *LinkServer) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for l := range s.links {
		l.mu.Lock()
		if l.backend != nil {
			n++
		}
		l.mu.Unlock()
	}
	return n
}

// SinceLastBatch returns the time since the last batch arrived.
func (s *LinkServer) SinceLastBatch(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, s.lastBatch.Load()))
}

func (s *LinkServer) closeAll() {
	s.mu.Lock()
	all := make([]*inboundLink, 0, len(s.links))
	for l := range s.links {
		all = append(all, l)
	}
	s.mu.Unlock()
	for _, l := range all {
		l.conn.Close()
	}
}

// add sends the challenge on a new link and starts to serve it.
func (s *LinkServer) add(ctx context.Context, sock net.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	l := &inboundLink{server: s, ctx: ctx, cancel: cancel, registered: make(chan struct{}), nonce: make([]byte, sha256.Size)}
	if _, err := rand.Read(l.nonce); err != nil {
		cancel()
		return Error.Wrap(err)
	}
	conn, err := s.Loop.Add(sock, s.StallTimeout, false, l.run)
	if err != nil {
		cancel()
		return err
	}
	l.conn = conn
	conn.SetMaxMessage(maxStartup)
	s.mu.Lock()
	s.links[l] = struct{}{}
	s.mu.Unlock()
	close(l.registered)
	conn.OnClose(l.handleClose)
	_, err = conn.Write(privateFrame(typeChallenge, l.nonce))
	return err
}

// inboundLink is the gateway's end of a link.
type inboundLink struct {
	server        *LinkServer
	ctx           context.Context
	cancel        context.CancelFunc
	registered    chan struct{}
	conn          *Conn
	nonce         []byte
	authenticated bool
	header        Header
	frames        []byte
	out           []byte

	mu      sync.Mutex
	backend Backend
}

// handleClose cancels the statement of an entry instance that has disconnected.
func (l *inboundLink) handleClose() {
	l.cancel()
	l.mu.Lock()
	backend := l.backend
	l.mu.Unlock()
	if backend != nil {
		go backend.Cancel()
	}
	l.server.mu.Lock()
	delete(l.server.links, l)
	l.server.mu.Unlock()
}

func (l *inboundLink) run() {
	<-l.registered
	for {
		f, ok, err := l.conn.TryFrame()
		if err != nil || (ok && !l.handle(f)) {
			l.release(false)
			l.conn.Close()
			return
		}
		if !ok {
			return
		}
	}
}

// handle processes a message of the link. It returns false if the link must end.
func (l *inboundLink) handle(f Frame) bool {
	if !l.authenticated {
		l.authenticated = f.Type == typeProof && hmac.Equal(f.Body, computeProof(l.server.Secret, l.nonce))
		l.conn.SetMaxMessage(MaxMessage)
		return l.authenticated
	}
	switch f.Type {
	case typeHeader:
		l.header = Header{}
		return json.Unmarshal(f.Body, &l.header) == nil
	case typeQuery, typeSync, typeFlush:
		l.frames = append(l.frames, f.Raw...)
		return l.exchange(f.Type == typeFlush)
	default:
		l.frames = append(l.frames, f.Raw...)
		return true
	}
}

// release returns the backend if there is one.
func (l *inboundLink) release(clean bool) {
	l.mu.Lock()
	b := l.backend
	l.backend = nil
	l.mu.Unlock()
	if b != nil {
		b.Release(clean)
	}
}

// open returns the backend of the open transaction, or opens a backend for the batch.
func (l *inboundLink) open(b *Batch) (Backend, error) {
	l.mu.Lock()
	open := l.backend
	l.mu.Unlock()
	if open != nil {
		return open, nil
	}
	backend, err := l.server.Opener.OpenUpstream(l.ctx, l.header, b)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.backend = backend
	l.mu.Unlock()
	return backend, nil
}

// exchange runs the collected batch and relays its answer to the entry instance.
func (l *inboundLink) exchange(endsWithFlush bool) bool {
	l.server.lastBatch.Store(time.Now().UnixNano())
	b := &Batch{Kind: l.header.Kind, Frames: l.frames, IdempotencyKey: l.header.Idempotency, SQL: l.header.SQL}
	for _, u := range l.header.Uses {
		b.uses = append(b.uses, &prepared{name: u.Name, parse: string(u.Parse)})
	}
	defer func() { l.frames = l.frames[:0] }()
	backend, err := l.open(b)
	if err == nil {
		err = backend.Send(b)
	}
	if err != nil {
		return l.refuse(err)
	}
	for {
		f, err := backend.Next()
		if err != nil {
			return l.refuse(err)
		}
		l.out = append(l.out, f.Raw...)
		if f.Type == typeReadyForQuery {
			if len(f.Body) == 1 && f.Body[0] == 'I' {
				l.release(true)
			}
			return l.flush()
		}
		if endsWithFlush && answerComplete(backend) {
			return l.flush()
		}
		if len(l.out) >= flushThreshold && !l.flush() {
			return false
		}
	}
}

// answerComplete reports whether the backend has returned the whole answer. A batch that
// ends with Flush has no ReadyForQuery, so nothing else shows the end of its answer.
func answerComplete(b Backend) bool {
	a, ok := b.(interface{ Answered() bool })
	return ok && a.Answered()
}

// refuse tells the entry instance the outcome of a batch that gets no answer.
func (l *inboundLink) refuse(err error) bool {
	l.release(false)
	out, encodeErr := errorResponse(err).Encode(l.out)
	if encodeErr != nil {
		return false
	}
	if out, encodeErr = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(out); encodeErr != nil {
		return false
	}
	l.out = out
	return l.flush()
}

func (l *inboundLink) flush() bool {
	_, err := l.conn.Write(l.out)
	l.out = l.out[:0]
	return err == nil
}

// privateFrame encodes a private message of a link.
func privateFrame(typ byte, body []byte) []byte {
	b := make([]byte, headerBytes, headerBytes+len(body))
	b[0] = typ
	binary.BigEndian.PutUint32(b[1:], uint32(4+len(body)))
	return append(b, body...)
}

// computeProof returns the proof that the sender knows the secret.
func computeProof(secret string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write(nonce)
	return mac.Sum(nil)
}

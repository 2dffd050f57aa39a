package postgres

// Replies are matched to what asked for them. The protocol has no request ids, but
// it fixes which messages may answer which, in order; whatever does not fit shows
// that the connection's answers belong to somebody else.

import "github.com/zeebo/errs"

// ErrStray ends an upstream connection that sent a message nobody asked for.
var ErrStray = errs.New("the upstream sent a message that does not answer the request")

// mode says what happens to a reply.
type mode byte

const (
	relayed mode = iota
	hidden       // asked for by the proxy itself
	local        // answered by the proxy in place of the upstream
	marker       // hidden, and must name this connection
)

// reply is an outstanding reply to one message.
type reply struct {
	kind byte // type of the message that asked
	mode mode
	// begun says that a part of a reply with several parts has come.
	begun bool
	// rows says that rows may follow in the reply to a Query.
	rows bool
	// object is the kind of object in a Describe or Close.
	object byte
	// name is the statement that a Parse defines or a Close ends.
	name string
	// statement is what the message is about, on the caller's side.
	statement *prepared
	// before is what the name meant before the message, on the caller's side.
	before *prepared
}

// replies is the queue of outstanding replies of one connection.
type replies struct {
	queue []reply
	head  int
	// failed says that the peer skips everything up to the next Sync.
	failed bool
	// dropped are the replies that will not come because of an error.
	dropped []reply
}

func (q *replies) empty() bool { return q.head == len(q.queue) }

// add expects a reply. After an error only a Sync is answered.
func (q *replies) add(r reply) {
	if q.failed {
		if r.kind != typeSync {
			q.dropped = append(q.dropped, r)
			return
		}
		q.failed = false
	}
	if q.empty() {
		q.queue, q.head = q.queue[:0], 0
		if cap(q.queue) > keptReplies {
			q.queue = nil
		}
	}
	q.queue = append(q.queue, r)
}

// keptReplies bounds the queue that an idle connection keeps.
const keptReplies = 16

// first returns the reply that comes next.
func (q *replies) first() *reply { return &q.queue[q.head] }

// take matches one message of the peer. It returns the reply that it belongs to
// and whether that reply is complete.
func (q *replies) take(t byte) (r *reply, done bool, err error) {
	if q.empty() {
		return nil, false, ErrStray
	}
	r = q.first()
	if t == typeError {
		return r, false, q.fail(r)
	}
	ok := false
	switch r.kind {
	case typeParse:
		ok, done = t == typeParseComplete, true
	case typeBind:
		ok, done = t == typeBindComplete, true
	case typeClose:
		ok, done = t == typeCloseComplete, true
	case typeDescribe:
		if r.object == objectStatement && !r.begun {
			ok, r.begun = t == typeParameters, true
		} else {
			ok, done = t == typeRows || t == typeNoData, true
		}
	case typeExecute:
		switch t {
		case typeRow:
			ok = true
		case typeComplete, typeEmpty, typeSuspended:
			ok, done = true, true
		}
	case typeQuery:
		switch t {
		case typeRows:
			ok, r.rows = !q.failed && !r.rows, true
		case typeRow:
			ok = !q.failed && r.rows
		case typeComplete, typeEmpty:
			ok, r.begun, r.rows = !q.failed, true, false
		case typeReady:
			// At least one command must have ended before.
			ok, done, q.failed = q.failed || r.begun && !r.rows, true, false
		}
	case typeSync:
		ok, done = t == typeReady, true
	}
	if !ok {
		return r, false, ErrStray
	}
	if done {
		q.head++
	}
	return r, done, nil
}

// fail handles an error of the peer.
func (q *replies) fail(r *reply) error {
	q.dropped = q.dropped[:0]
	switch r.kind {
	case typeQuery, typeSync:
		// The ReadyForQuery that follows belongs to the same reply.
		if q.failed || r.begun && r.kind == typeSync {
			return ErrStray
		}
		if r.kind == typeQuery {
			q.failed = true
		}
		r.begun = true
		return nil
	}
	for ; !q.empty(); q.head++ {
		next := q.first()
		if next.kind == typeSync {
			next.begun = true
			return nil
		}
		q.dropped = append(q.dropped, *next)
	}
	q.failed = true
	return nil
}

// Package shutdown decides which statements an instance still passes on while it shuts down.
package shutdown

import "time"

// answerReserve is the time beyond a statement's timeout within which its answer has reached the
// caller: a round trip between regions, and some slack for a busy instance.
const answerReserve = 200 * time.Millisecond

// Plan has the times of a graceful shutdown. The zero value is that of an instance that does not
// shut down.
type Plan struct {
	// Start is the time of the signal. At End all connections are closed.
	Start, End time.Time
}

// Accepts reports whether a statement that takes up to timeout may be passed on. An open
// transaction has half of the shutdown to end. After that, a statement is accepted only if its
// answer is due before the connections are closed.
func (p Plan) Accepts(now time.Time, timeout time.Duration) bool {
	if p.End.IsZero() || now.Before(p.Start.Add(p.End.Sub(p.Start)/2)) {
		return true
	}
	return !now.Add(timeout + answerReserve).After(p.End)
}

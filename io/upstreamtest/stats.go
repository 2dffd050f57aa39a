package upstreamtest

import (
	"maps"
	"slices"
	"sync"
)

// Stats holds the counters of an upstream and the texts it has received.
type Stats struct {
	// Executions counts the statements that ran in a slot, including failed ones, by
	// the application_name of the connection.
	Executions map[string]int
	// Open is the number of open connections, excluding control connections.
	Open int
	// MaxOpen is the highest value of Open so far.
	MaxOpen int
	// Opened counts the connections that have logged in.
	Opened int
	// Refused counts the connections refused by the connection limit.
	Refused int
	// Control is the number of open control connections.
	Control int
	// Executing is the number of statements that are executing.
	Executing int
	// MaxExecuting is the highest value of Executing so far.
	MaxExecuting int
	// Blocked counts the waits for a lock of another transaction.
	Blocked int
	// Waiting is the number of group_status calls in progress.
	Waiting int
	// Fenced counts the statements rejected with BS010 before they ran.
	Fenced int
	// Canceled counts the cancel requests that found a running statement.
	Canceled int
	// Truncated counts the log entries removed by group_follow.
	Truncated int
	// Params holds the startup parameters of the first connections; see
	// Options.RecordLimit.
	Params []map[string]string
	// Statements holds the first statement texts and parameter values received; see
	// Options.RecordLimit.
	Statements []string
}

// stats guards the counters of an upstream.
type stats struct {
	mu         sync.Mutex
	counters   Stats          // without Executions
	executions map[string]int // becomes Stats.Executions
}

// update changes the counters under the lock.
func (s *stats) update(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

// beginExecution counts a statement that starts to execute.
func (s *stats) beginExecution() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Executing++
	s.counters.MaxExecuting = max(s.counters.MaxExecuting, s.counters.Executing)
}

// countExecution counts an executed statement of an application name.
func (s *stats) countExecution(appName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[appName]++
}

// endExecution counts the end of an execution.
func (s *stats) endExecution() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Executing--
}

// recordTexts records statement texts and parameter values, up to limit texts in all.
// Tests search them for values that must not reach an upstream.
func (s *stats) recordTexts(limit int, texts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range texts {
		if len(s.counters.Statements) < limit {
			s.counters.Statements = append(s.counters.Statements, t)
		}
	}
}

// Stats returns a copy of the counters.
func (u *Upstream) Stats() Stats {
	u.stats.mu.Lock()
	defer u.stats.mu.Unlock()
	out := u.stats.counters
	out.Executions = maps.Clone(u.stats.executions)
	out.Params = slices.Clone(out.Params)
	out.Statements = slices.Clone(out.Statements)
	return out
}

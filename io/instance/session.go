package instance

// A session checks the caller's key, takes a token of the team's rate and chooses an upstream
// for each batch, and records the positions that the caller has observed.

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"burdockseam/core"
	"burdockseam/core/config"
	"burdockseam/core/key"
	"burdockseam/core/quota"
	"burdockseam/core/route"
	token "burdockseam/core/session"
	"burdockseam/core/statement"
	"burdockseam/core/wal"
	"burdockseam/io/postgres"
)

// maxRetries bounds the retries of one batch, in addition to the team's budget.
const maxRetries = 3

// session implements postgres.Session for one connection of a caller.
type session struct {
	in        *Instance
	team      string
	key       string // ID of the caller's key
	route     config.Route
	startedAt time.Time
	token     token.Token
	number    uint64 // of the session at this instance
	opened    bool   // the current batch has been opened at an upstream
	retrying  bool   // the batch is being retried and has its token already
	retries   int
	// requests counts the batches. It is part of their IDs in log lines.
	requests uint64
	// upstream and term are the last choice for the current batch.
	upstream string
	term     uint64
}

// Login implements postgres.Handler.
func (in *Instance) Login(_ context.Context, s postgres.Startup) (postgres.Session, error) {
	cfg := in.config.Load()
	r, err := cfg.Authorize(s.Team, s.Key, s.Route)
	if err != nil {
		in.log.Info("caller: login refused", "team", s.Team, "route", s.Route, "reason", err.Error())
		return nil, err
	}
	if !r.Open && !s.TLS && !in.settings.Cleartext {
		return nil, postgres.NewRefusal(postgres.NotRun, "a key on a connection without TLS is not accepted")
	}
	now := in.now()
	ses := &session{in: in, team: s.Team, key: key.ID(s.Key), route: r, startedAt: now, number: in.sessions.Add(1)}
	if r.Open {
		// On an open route the name of the team is not verified, so nothing is charged to it.
		ses.team, ses.key = "", ""
	}
	if err := in.addConnection(ses); err != nil {
		return nil, err
	}
	if ses.token, err = token.Decode(ses.team, in.secret, s.Token); err != nil {
		in.log.Info("caller: token ignored", "team", s.Team, "route", s.Route, "reason", err.Error())
	}
	return ses, nil
}

// Check implements postgres.Session. It repeats the checks of Login, since keys can be
// withdrawn and routes be closed while callers are connected.
func (s *session) Check(ctx context.Context) error {
	if err := s.checkAccess(); err != nil {
		return err
	}
	return s.admit(ctx)
}

// checkAccess checks that the session's key still opens its route and that the
// configuration is known to be fresh.
func (s *session) checkAccess() error {
	// The route may have been open when the session began.
	if _, err := s.in.config.Load().Reauthorize(s.team, s.key, s.route.Name); err != nil {
		return postgres.NewRefusal(postgres.NotRun, "%s", err.Error())
	}
	if s.key == "" {
		return nil // the route is open, and there is no key to withdraw
	}
	c := s.in.control
	c.mu.Lock()
	v := c.node.FreshnessVerdict(c.now())
	c.mu.Unlock()
	if !v.Serve {
		return postgres.NewRefusal(postgres.NotRun, "this instance cannot know of withdrawn keys: %s", v.Reason)
	}
	return nil
}

// admit takes a token of the team's rate. It waits while a grant is under way.
func (s *session) admit(ctx context.Context) error {
	if s.team == "" {
		return nil
	}
	c := s.in.control
	c.mu.Lock()
	d, e := c.node.Admit(c.now(), s.team)
	var ch chan quota.Decision
	if d.Outcome == quota.Waiting {
		ch = make(chan quota.Decision, 1)
		c.tokenWaiters[d.Ticket] = ch
	}
	c.deliver(e)
	c.mu.Unlock()
	c.perform(e)
	if ch != nil {
		select {
		case d = <-ch:
		case <-ctx.Done():
			c.mu.Lock()
			c.node.CancelRequest(s.team, d.Ticket)
			delete(c.tokenWaiters, d.Ticket)
			c.mu.Unlock()
			return ctx.Err()
		}
	}
	if d.Outcome != quota.Granted {
		r := s.tokenRefusal()
		r.Retry = d.Retry
		return r
	}
	s.in.countAdmitted(s.team)
	return nil
}

// tokenRefusal returns the refusal of a request that got no token: the team is over its
// rate, or no owner of the rate answers.
func (s *session) tokenRefusal() *postgres.Refusal {
	c := s.in.control
	c.mu.Lock()
	ownerless := c.node.OwnerUnavailable(c.now(), s.team)
	c.mu.Unlock()
	if ownerless {
		s.in.metrics.refused(s.team, "noowner").Inc()
		return postgres.NewRefusal(postgres.NotRun, "no owner of the rate of team %s answers", s.team)
	}
	s.in.metrics.refused(s.team, "rate").Inc()
	return postgres.NewRefusal(postgres.NotRun, "team %s is over its rate", s.team)
}

// Open implements postgres.Session.
func (s *session) Open(ctx context.Context, b *postgres.Batch) (postgres.Backend, error) {
	backend, err := s.open(ctx, b)
	if err != nil {
		s.in.log.Info("route: batch refused", "request", s.requestID(), "team", s.team, "route", s.route.Name,
			"group", s.route.Group, "upstream", s.upstream, "term", s.term, "kind", string(b.Kind), "reason", err.Error())
	}
	return backend, err
}

// open checks and admits the batch and opens it at an upstream. It retries until the
// deadline if the gateway allows that.
func (s *session) open(ctx context.Context, b *postgres.Batch) (postgres.Backend, error) {
	if !s.retrying {
		s.retries, s.upstream, s.term = 0, "", 0
		s.requests++
	}
	check := s.Check
	if s.retrying || b.PrepareOnly || b.Kind == statement.Empty {
		check = func(context.Context) error { return s.checkAccess() }
	}
	s.opened, s.retrying = false, false
	if err := check(ctx); err != nil {
		return nil, err
	}
	deadline := s.in.now().Add(s.in.settings.Deadline)
	for {
		u, term, err := s.choose(ctx, b, deadline)
		if err != nil {
			return nil, err
		}
		// The batch may have waited, and the process may have been paused.
		if err := s.checkAccess(); err != nil {
			return nil, err
		}
		backend, err := s.in.openGateway(ctx, s.header(b, u, term, deadline), b)
		if err == nil {
			s.opened = true
			return backend, nil
		}
		var r *postgres.Refusal
		if !errors.As(err, &r) || r.Outcome != postgres.NotRun || r.Retry == 0 || !s.in.now().Before(deadline) {
			return nil, err
		}
		// By the next attempt the upstream may have another gateway, or the group another term.
		if !sleep(ctx, r.Retry) {
			return nil, err
		}
	}
}

func (s *session) header(b *postgres.Batch, u string, term uint64, deadline time.Time) postgres.Header {
	return postgres.Header{
		ID:       s.requestID(),
		Upstream: u,
		Term:     term,
		Team:     s.team,
		Kind:     b.Kind,
		Wait:     deadline.Sub(s.in.now()),
	}
}

// requestID identifies the current batch at this instance: the numbers of the session and
// of the batch, in base 36.
func (s *session) requestID() string {
	return strconv.FormatUint(s.number, 36) + "." + strconv.FormatUint(s.requests, 36)
}

// choose requests an upstream from the core until there is one or the deadline has passed.
func (s *session) choose(ctx context.Context, b *postgres.Batch, deadline time.Time) (string, uint64, error) {
	p, has := s.token.Position(s.route.Group)
	r := route.Request{
		Write:     b.Kind != statement.Read,
		Mode:      s.in.settings.Reads,
		Token:     p,
		HasToken:  has,
		Started:   s.startedAt,
		Staleness: s.route.Staleness,
		Domain:    s.in.settings.Domain,
		TieBreak:  s.number,
	}
	if b.ReadOnly {
		r.Write = false
	}
	c := s.in.control
	for {
		c.mu.Lock()
		now := c.now()
		d, term := c.node.ChooseUpstream(now, s.route.Group, r)
		if d.Upstream != "" && d.Wait == 0 {
			c.mu.Unlock()
			s.upstream, s.term = d.Upstream, term
			s.logRoute(b, d, term)
			return d.Upstream, term, nil
		}
		changed := c.groupChanged(s.route.Group)
		missing := c.node.MissingUpstreams(now, s.route.Group)
		c.mu.Unlock()
		wait := deadline.Sub(now)
		if d.Upstream == "" && wait <= 0 {
			s.in.metrics.refused(s.team, string(d.Reason)).Inc()
			return "", 0, noUpstreamRefusal(s.route.Group, d.Reason, missing)
		}
		if d.Wait > 0 {
			wait = min(wait, d.Wait)
		}
		if err := await(ctx, changed, wait); err != nil {
			return "", 0, err
		}
		if d.Wait > 0 {
			r.Waited += max(c.now().Sub(now), time.Microsecond)
		}
	}
}

func noUpstreamRefusal(group string, reason route.Reason, missing []string) error {
	if len(missing) > 0 {
		return postgres.NewRefusal(postgres.NotRun, "group %s has no majority: no answer from %s", group, strings.Join(missing, ", "))
	}
	return postgres.NewRefusal(postgres.NotRun, "group %s has no upstream for this statement: %s", group, reason)
}

// await waits for a change, at most for the given time.
func await(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// ShouldRetry implements postgres.Session. It allows a retry, within the team's budget, only
// of a batch that cannot have run or that does no harm if it runs twice.
func (s *session) ShouldRetry(b *postgres.Batch, err error) bool {
	if !s.opened || s.retries >= maxRetries {
		return false
	}
	s.retries++
	var pe *pgconn.PgError
	var r *postgres.Refusal
	safe := b.Kind == statement.Read || b.IdempotencyKey != ""
	switch {
	case errors.As(err, &pe):
		safe = pe.Code == postgres.StateWrongTerm || pe.Code == postgres.StateReadOnly
	case errors.As(err, &r) && r.Outcome == postgres.NotRun:
		safe = true
	}
	// A batch whose refusal allows a retry never reached an upstream. Its retry adds no
	// load there and is not charged to the budget.
	free := r != nil && r.Outcome == postgres.NotRun && r.Retry > 0
	if !safe || !free && !s.in.allowRetry(s.team) {
		return false
	}
	s.retrying = true
	s.in.log.Info("route: batch tried again", "request", s.requestID(), "team", s.team, "route", s.route.Name,
		"group", s.route.Group, "upstream", s.upstream, "term", s.term, "reason", err.Error())
	if pe != nil {
		// The view of the group is older than the state of the upstream. Wait for a report.
		s.in.control.awaitGroupChange(s.route.Group, core.TickInterval)
	}
	return true
}

// ObservePosition implements postgres.Session. It returns the new session token, or "" if the
// position changes nothing.
func (s *session) ObservePosition(position string) string {
	p, err := parsePosition(position)
	if err != nil {
		return ""
	}
	if old, ok := s.token.Position(s.route.Group); ok && old.Compare(p) >= 0 {
		return ""
	}
	s.token = s.token.With(s.route.Group, p)
	text, err := s.token.Encode(s.team, s.in.secret)
	if err != nil {
		s.in.log.Error(err, "caller: token not reported", "team", s.team)
		return ""
	}
	return text
}

// Close implements postgres.Session.
func (s *session) Close() { s.in.removeConnection(s) }

// parsePosition parses a position of the form term/offset.
func parsePosition(text string) (wal.Position, error) {
	t, o, ok := strings.Cut(text, "/")
	if !ok {
		return wal.Position{}, Error.New("position %q does not have the form term/offset", text)
	}
	term, err := strconv.ParseUint(t, 10, 64)
	if err != nil {
		return wal.Position{}, Error.Wrap(err)
	}
	offset, err := strconv.ParseUint(o, 10, 64)
	return wal.Position{Term: term, Offset: offset}, Error.Wrap(err)
}

// logRoute counts and logs a routing decision.
func (s *session) logRoute(b *postgres.Batch, d route.Decision, term uint64) {
	s.in.metrics.routed(s.route.Group, d.Upstream, string(d.Reason)).Inc()
	s.in.log.Info("route: upstream chosen", "request", s.requestID(), "team", s.team, "route", s.route.Name,
		"group", s.route.Group, "upstream", d.Upstream, "term", term, "kind", string(b.Kind), "reason", string(d.Reason))
}

package quota

import (
	"math"
	"slices"
	"time"

	"burdockseam/core/lease"
)

// expiresAt returns the time from which the slice must not be spent. It is based on the
// send time of the request, which precedes the grant by the owner.
func (s *heldSlice) expiresAt() time.Time {
	return s.sent.Add(lease.SubtractClockMargin(SliceLifetime))
}

// Tick performs the steps that are due at the time now. It refuses requests that have
// waited too long and returns the requests to send to owners.
func (h *Holder) Tick(now time.Time) Output {
	var out Output
	for _, l := range h.links {
		for len(l.unansweredRequests) > 0 && now.Sub(l.unansweredRequests[0].at) >= requestTimeout {
			if l.silentSince.IsZero() {
				l.silentSince = l.unansweredRequests[0].at
			}
			l.abandonOldest(now)
		}
		sendNow := false
		l.teams = slices.DeleteFunc(l.teams, func(t *team) bool {
			return t.removed && len(t.slices) == 0 && len(t.waiting) == 0
		})
		for _, t := range l.teams {
			if t.removed {
				t.closeAllSlices(now)
				out.Decisions = t.refuseWaiting(out.Decisions)
			}
			t.updateDemand(now)
			out.Decisions = t.refuseTimedOut(now, out.Decisions)
			t.cleanUpSlices(now)
			sendNow = sendNow || t.mustSend(now)
		}
		if !sendNow {
			continue
		}
		if l.owner == "" {
			if l.silentSince.IsZero() {
				l.silentSince = now
			}
			continue
		}
		out.Requests = append(out.Requests, l.buildRequest(now, h.self))
	}
	return out
}

// updateDemand updates the average rate of the team's requests at this instance.
func (t *team) updateDemand(now time.Time) {
	d := now.Sub(t.countedSince)
	if d < demandInterval {
		return
	}
	weight := 1 - math.Exp(-d.Seconds()/demandTimeConstant.Seconds())
	t.demand += weight * (float64(t.arrivals)/d.Seconds() - t.demand)
	t.arrivals, t.countedSince = 0, now
	t.lowStock = int(t.targetStock() / 2)
}

// targetStock returns the stock that the demand calls for. It is 0 if requests are rare, since
// each of them then asks for its own token.
func (t *team) targetStock() float64 {
	if want := t.demand * t.horizon.Seconds(); want >= 1 {
		return math.Ceil(want)
	}
	return 0
}

// refuseTimedOut refuses the requests that have waited for MaxWait.
func (t *team) refuseTimedOut(now time.Time, out []Decision) []Decision {
	for len(t.waiting) > 0 && now.Sub(t.waiting[0].at) >= MaxWait {
		retry := max(t.backlog-now.Sub(t.backlogAt), maxRetry)
		out = append(out, Decision{Outcome: Refused, Ticket: t.waiting[0].ticket, Retry: retry})
		t.waiting = t.waiting[1:]
	}
	return out
}

// cleanUpSlices closes slices that are used up, old or not needed, and drops closed slices
// whose reports are confirmed.
func (t *team) cleanUpSlices(now time.Time) {
	t.slices = slices.DeleteFunc(t.slices, func(s heldSlice) bool {
		return s.closed && s.confirmedClosed || now.Sub(s.sent) >= 2*SliceLifetime
	})
	t.stock = 0
	for i := range t.slices {
		s := &t.slices[i]
		if !s.closed && (s.left == 0 || now.Sub(s.sent) >= returnAge) {
			s.close(now)
		}
		if !s.closed {
			t.stock += s.left
		}
	}
	for i := range t.slices {
		s, target := &t.slices[i], t.targetStock()
		if !s.closed && float64(t.stock-s.left) >= target && float64(t.stock) > 2*target+1 {
			t.stock -= s.left
			s.close(now)
		}
	}
}

// close ends the spending of a slice. The next report returns its unspent tokens.
func (s *heldSlice) close(now time.Time) {
	s.closed, s.left = true, 0
	if s.spent == s.confirmedSpent {
		s.reportDelayStart = now
	}
}

// tokensToRequest returns the number of tokens to ask the owner for now.
func (t *team) tokensToRequest(now time.Time) int {
	available := float64(t.stock + t.pendingTokens)
	if now.Before(t.retryAt) {
		return int(max(0, float64(t.waitingBefore(t.classes.barred-2))-available))
	}
	target, waiting := t.targetStock(), float64(len(t.waiting))
	if available >= target/2 && available >= waiting {
		return 0
	}
	return int(min(target+waiting-available, max(1, t.burst)))
}

// mustSend reports whether the team needs tokens now or has a report whose delay is over.
func (t *team) mustSend(now time.Time) bool {
	if t.tokensToRequest(now) > 0 {
		return true
	}
	for i := range t.slices {
		if s := &t.slices[i]; s.needsReport() && now.Sub(s.reportDelayStart) >= t.reportDelay {
			return true
		}
	}
	return false
}

// needsReport reports whether the owner has not confirmed the current state of the slice.
func (s *heldSlice) needsReport() bool {
	return s.spent != s.confirmedSpent || s.closed && !s.confirmedClosed
}

// buildRequest returns a request with the wants and unconfirmed reports of all teams of the
// shard.
func (l *ownerLink) buildRequest(now time.Time, self string) Request {
	l.lastSeq++
	r := Request{Shard: l.shard, From: self, To: l.owner, Epoch: l.epoch, Seq: l.lastSeq}
	for _, t := range l.teams {
		w := Want{Team: t.name, Tokens: t.tokensToRequest(now), Waiting: len(t.waiting)}
		for i := range t.slices {
			s := &t.slices[i]
			if !s.needsReport() {
				continue
			}
			w.Reports = append(w.Reports, Report{Slice: s.seq, Spent: s.spent, Closed: s.closed})
			// Without a confirmation the report is repeated after the same delay.
			s.reportDelayStart = now
		}
		w.Classes = t.tokensByClass(now, w.Tokens)
		if w.Tokens > 0 || len(w.Reports) > 0 {
			t.pendingTokens += w.Tokens
			r.Wants = append(r.Wants, w)
		}
	}
	l.unansweredRequests = append(l.unansweredRequests, sentRequest{seq: l.lastSeq, at: now, wants: r.Wants})
	return r
}

// abandonOldest gives up the oldest unanswered request. The slice that the owner may have
// granted is reported as closed and unspent, and a later reply is ignored.
func (l *ownerLink) abandonOldest(now time.Time) {
	s := l.unansweredRequests[0]
	l.unansweredRequests = l.unansweredRequests[1:]
	for _, w := range s.wants {
		t := l.team(w.Team)
		if t == nil || w.Tokens == 0 {
			continue
		}
		t.pendingTokens = max(0, t.pendingTokens-w.Tokens)
		t.slices = append(t.slices, heldSlice{seq: s.seq, sent: s.at, closed: true, reportDelayStart: now})
	}
}

func (l *ownerLink) team(name string) *team {
	for _, t := range l.teams {
		if t.name == name {
			return t
		}
	}
	return nil
}

// HandleReply processes an owner's reply and decides waiting requests. It ignores duplicate
// replies, replies of a lower epoch and replies to abandoned requests.
func (h *Holder) HandleReply(now time.Time, r Reply) Output {
	var out Output
	l := h.linkTo(r.Shard)
	if r.To != h.self || r.Epoch < l.epoch {
		return out
	}
	i := slices.IndexFunc(l.unansweredRequests, func(s sentRequest) bool { return s.seq == r.Seq })
	if i < 0 {
		return out
	}
	s := l.unansweredRequests[i]
	l.unansweredRequests = slices.Delete(l.unansweredRequests, i, i+1)
	l.epoch, l.silentSince = r.Epoch, time.Time{}
	for _, w := range s.wants {
		if t := l.team(w.Team); t != nil {
			t.pendingTokens = max(0, t.pendingTokens-w.Tokens)
			t.confirmReports(w.Reports)
		}
	}
	for _, g := range r.Grants {
		if t := l.team(g.Team); t != nil {
			out.Decisions = t.receiveGrant(now, s, g, out.Decisions)
		}
	}
	return out
}

// confirmReports records the reports that the owner has received.
func (t *team) confirmReports(reports []Report) {
	for _, r := range reports {
		for i := range t.slices {
			if s := &t.slices[i]; s.seq == r.Slice {
				s.confirmedSpent = max(s.confirmedSpent, r.Spent)
				s.confirmedClosed = s.confirmedClosed || r.Closed
			}
		}
	}
}

// receiveGrant adds a granted slice and serves waiting requests.
func (t *team) receiveGrant(now time.Time, s sentRequest, g Grant, out []Decision) []Decision {
	t.retryAt = now.Add(g.Retry)
	t.backlog, t.backlogAt = g.Backlog, now
	if g.Tokens > 0 {
		slice := heldSlice{seq: s.seq, sent: s.at, left: g.Tokens}
		if !now.Before(slice.expiresAt()) {
			slice.close(now)
		}
		t.stock += slice.left
		t.slices = append(t.slices, slice)
	}
	for len(t.waiting) > 0 && t.spendToken(now) {
		out = append(out, Decision{Outcome: Granted, Ticket: t.waiting[0].ticket})
		t.waiting = t.waiting[1:]
	}
	return t.refuseHopeless(now, g, out)
}

// ReturnSlices returns all slices and refuses the waiting requests, for an instance that
// leaves.
func (h *Holder) ReturnSlices(now time.Time) Output {
	var out Output
	for _, l := range h.links {
		for _, t := range l.teams {
			t.closeAllSlices(now)
			out.Decisions = t.refuseWaiting(out.Decisions)
		}
		if l.owner != "" && len(l.teams) > 0 {
			out.Requests = append(out.Requests, l.buildRequest(now, h.self))
		}
	}
	return out
}

// closeAllSlices closes all slices and resets the demand.
func (t *team) closeAllSlices(now time.Time) {
	for i := range t.slices {
		if !t.slices[i].closed {
			t.slices[i].close(now)
		}
	}
	t.stock, t.demand, t.arrivals = 0, 0, 0
}

func (t *team) refuseWaiting(out []Decision) []Decision {
	for _, w := range t.waiting {
		out = append(out, Decision{Outcome: Refused, Ticket: w.ticket, Retry: maxRetry})
	}
	t.waiting = nil
	return out
}

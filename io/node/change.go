package node

// Promotions: the commands of failover.OrderedPromotion are carried out here, and their
// results are passed back to it.

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"burdockseam/core/failover"
	"burdockseam/core/lease"
	"burdockseam/core/wal"
)

// startPromotion starts the promotion of another upstream. The caller holds the lock.
func (ps *primaries) startPromotion(g *group, planned bool, reason string) {
	s := ps.n.snapshot.Load()
	ps.updateCandidates(g, s)
	if g.promotion.Start(ps.n.now(), planned, reason) {
		g.begunAt = ps.n.now()
		ps.n.log.Info("group: change of primary begins", "group", g.name, "primary", g.primary, "planned", planned, "why", reason, "upstreams", len(s.groups[g.name]))
		ps.n.metrics.increment("burdockseam_promotions_total{step=\"begun\"}")
		ps.wakeLoop()
	}
}

// performCommand carries out a command of a promotion and passes the result back.
func (ps *primaries) performCommand(ctx context.Context, g *group, c failover.Command) {
	u := ps.n.snapshot.Load().upstreams[c.Upstream]
	sent := ps.n.now()
	switch c.Action {
	case failover.ActionDrawToken:
		ps.drawToken(ctx, g)
	case failover.ActionHold, failover.ActionRelease:
		running := ps.holdUpstream(ctx, u, c.Action == failover.ActionHold)
		ps.handleResult(func(now time.Time) { g.promotion.HandleHold(now, running) })
	case failover.ActionPause:
		if u == nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		s, err := ps.n.platform.Controls.Pause(ctx, ps.controlTarget(u), c.Term)
		ps.n.log.Info("group: upstream paused", "group", g.name, "upstream", c.Upstream, "term", c.Term, "received", s.Received.String(), "primary", s.Primary, "err", errorText(err))
		ps.handleResult(func(now time.Time) { g.promotion.HandlePause(now, sent, c.Upstream, s, err) })
	case failover.ActionListUpstreams:
		ps.listUpstreams(ctx)
		ps.handleResult(func(now time.Time) {
			ps.updateCandidates(g, ps.n.snapshot.Load())
			g.promotion.HandleList(now)
		})
	case failover.ActionFreeze:
		ps.freezeGateways(ctx, g, c)
	case failover.ActionDemote:
		if ps.n.settings().Unfenced {
			ps.demoteOld(ctx, g, c)
			break
		}
		ps.demoteHolder(ctx, g, c)
	case failover.ActionRaiseToken:
		ps.raiseToken(ctx, g, c)
	case failover.ActionOrderPromotion:
		ps.orderPromotion(ctx, g, c)
	case failover.ActionSurvey:
		if u == nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		isPrimary, position, err := ps.n.platform.Controls.IsPrimary(ctx, ps.controlTarget(u))
		if isUpstreamRefusal(err) {
			err = nil // an answer shows that the upstream is reachable
		}
		// A former primary that still accepts transactions must not end the change.
		ps.mu.Lock()
		isPrimary = isPrimary && !ps.supersedes(g, u.Name, position)
		ps.mu.Unlock()
		if isPrimary {
			ps.recordProof(g.name, u.Name, sent, position, ps.n.now(), false)
		}
		ps.n.log.Info("group: upstream asked for its role", "group", g.name, "upstream", c.Upstream, "leads", isPrimary, "err", errorText(err))
		ps.handleResult(func(now time.Time) { g.promotion.HandleSurvey(now, sent, c.Upstream, isPrimary, position, err) })
	}
}

// errorText returns the text of an error for a log line, or "" without an error.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// handleResult passes a result to a promotion and wakes the coordinator's loop.
func (ps *primaries) handleResult(f func(now time.Time)) {
	ps.mu.Lock()
	f(ps.n.now())
	ps.mu.Unlock()
	ps.wakeLoop()
}

// raiseToken presents the coordinator's fencing token to the platform.
func (ps *primaries) raiseToken(ctx context.Context, g *group, c failover.Command) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := ps.n.platform.Promoter.RaiseToken(ctx, g.name, ps.n.settings().Name, c.Token)
	ps.n.log.Info("group: token presented to the platform", "group", g.name, "token", c.Token, "err", errorText(err))
	if err == nil {
		ps.handleResult(func(now time.Time) { g.promotion.HandleTokenRaised(now, c.Token) })
	}
}

// orderPromotion orders a promotion from the platform and notifies the other instances.
func (ps *primaries) orderPromotion(ctx context.Context, g *group, c failover.Command) {
	ps.mu.Lock()
	note := KeepNotice{g.name, c.Upstream, g.promotion.KeptPosition(), c.Token, g.promotion.Term()}
	ps.mu.Unlock()
	ps.recordPendingPromotion(note)
	ps.n.broadcast(ctx, "Node.Keep", note)
	response, err := ps.sendOrder(ctx, g, c)
	ps.n.log.Info("group: promotion ordered", "group", g.name, "upstream", c.Upstream, "token", c.Token, "response", response, "err", errorText(err))
	primary := ""
	ps.handleResult(func(now time.Time) {
		var out []failover.Command
		if primary, out = g.promotion.HandleOrder(now, c, response); primary != "" {
			ps.n.log.Info("group: change of primary finished", "group", g.name, "primary", primary, "why", g.promotion.Reason(), "took", now.Sub(g.begunAt))
		}
		for _, c := range out {
			go ps.performCommand(ctx, g, c)
		}
	})
	if primary != "" {
		ps.n.metrics.increment("burdockseam_promotions_total{step=\"done\"}")
		ps.recordPromotion(g.name, primary)
		ps.n.broadcast(ctx, "Node.Lead", LeadNotice{g.name, primary})
	}
}

// sendOrder sends the order of a promotion. On a platform that does not check fencing tokens,
// the target is recorded in the store first.
func (ps *primaries) sendOrder(ctx context.Context, g *group, c failover.Command) (failover.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if ps.n.settings().Unfenced {
		if !ps.n.hadContact(contactTimeout) {
			return failover.ResponseUnsent, Error.New("this instance hears from too few others, which may still use the old primary")
		}
		began := ps.n.now()
		if err := ps.recordTarget(ctx, g.name, c); err != nil {
			if outdatedError.Has(err) {
				return failover.ResponseRefused, err
			}
			return failover.ResponseUnsent, err
		}
		if ps.n.now().Sub(began) >= failover.OrderValidity {
			return failover.ResponseUnsent, Error.New("recording the target took too long")
		}
	}
	return ps.n.platform.Promoter.Promote(ctx, g.name, c.Upstream, ps.n.settings().Name, c.Token)
}

// outdatedError is the class of errors that report a newer fencing token.
var outdatedError = errs.Class("outdated token")

// recordTarget writes the target of an order to the group's token object, unless another
// instance has drawn a newer token.
func (ps *primaries) recordTarget(ctx context.Context, name string, c failover.Command) error {
	store := ps.n.platform.Store
	present, err := store.Get(ctx, KindPromotion, name)
	if err != nil {
		return err
	}
	var have token
	if err := json.Unmarshal(present.Data, &have); err != nil {
		return err
	}
	if have.Token != c.Token || have.Holder != ps.n.self.ID {
		return outdatedError.New("token %d was drawn by %s", have.Token, have.Holder)
	}
	if have.Target == c.Upstream && have.Ordered == c.Token {
		return nil
	}
	have.Target, have.Ordered = c.Upstream, c.Token
	data, err := json.Marshal(have)
	if err != nil {
		return err
	}
	_, err = store.Replace(ctx, KindPromotion, Object{Name: name, Revision: present.Revision, Data: data})
	return err
}

// recordPendingPromotion records that a promotion is being ordered, and which commits it
// keeps. On a platform that does not check fencing tokens, this ends the work of the old
// primary.
func (ps *primaries) recordPendingPromotion(note KeepNotice) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	g := ps.group(note.Group)
	if note.Token < g.pendingPromotion.Token {
		return // announcements can arrive out of order at an instance that was frozen
	}
	if note != g.pendingPromotion {
		ps.logPendingPromotion(g, note)
	}
	g.pendingPromotion, g.pendingPromotionAt = note, ps.n.now()
	if !ps.n.settings().Unfenced {
		g.gate.Keep(ps.n.now(), note.Token, max(note.Term, note.Kept.Term), note.Kept)
	}
	if ps.n.settings().Unfenced && g.primary != note.Upstream {
		ps.supersede(g, note.Upstream)
		ps.setPrimary(g, note.Upstream, "being promoted")
		g.promotedAt = ps.n.now()
	}
}

// logPendingPromotion logs a promotion that is being ordered, with the commits that this instance
// knows to be acknowledged. The caller holds the lock.
func (ps *primaries) logPendingPromotion(g *group, note KeepNotice) {
	a := g.gate.Acknowledged()
	ps.n.log.Info("group: promotion announced", "group", g.name, "upstream", note.Upstream, "primary", g.primary, "token", note.Token, "kept", note.Kept.String(), "least", a.Least.String(), "most", a.Most.String())
	if note.Kept.Compare(a.Least) < 0 {
		ps.n.metrics.increment("burdockseam_promotions_total{step=\"lacking\"}")
		ps.n.log.Error(nil, "group: promotion lacks acknowledged commits", "group", g.name, "upstream", note.Upstream, "kept", note.Kept.String(), "acknowledged", a.Least.String())
	}
}

// mayDropCommit reports whether a pending promotion may drop a commit that an upstream
// acknowledged at the given position. Until the promotion takes effect the old primary
// continues to commit, and a replica that started after the others were paused may have
// acknowledged the commit.
func (ps *primaries) mayDropCommit(u *upstream, p wal.Position) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	g := ps.group(u.Group)
	return ps.n.now().Sub(g.pendingPromotionAt) < promotionGrace && u.Name != g.pendingPromotion.Upstream &&
		p.Term <= g.pendingPromotion.Kept.Term && p.Compare(g.pendingPromotion.Kept) > 0
}

// holdUpstream stops or resumes new work at an upstream's gateways. It returns the number of
// statements that are still running there.
func (ps *primaries) holdUpstream(ctx context.Context, u *upstream, held bool) int {
	if u == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout/2)
	defer cancel()
	note := HoldRequest{u.Name, held}
	running := ps.n.gateways.SetHeld(u.Name, held)
	for _, i := range ps.n.snapshot.Load().ranks.Top(u.Name, u.place, 3) {
		if i.Address == ps.n.self.Address {
			continue
		}
		var r HoldReply
		if err := ps.n.peers.Call(ctx, i.Address, "Node.Hold", note, &r); err != nil {
			ps.n.recordNoAnswer(i.Address, err)
			continue
		}
		running += r.Running
	}
	return running
}

// listUpstreams reads the registry from the store, and reports whether the store answered.
func (ps *primaries) listUpstreams(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	err := ps.n.tables.installList(ctx, KindUpstream)
	if err != nil {
		ps.n.log.Info("group: registry not read", "err", err.Error())
	}
	ps.n.rebuild() // an upstream that is new in the registry must be paused before an order
	return err == nil
}

// token is the content of the store object from which a group's fencing tokens are drawn.
type token struct {
	Token  uint64 `json:"token"`
	Holder string `json:"holder"`
	// Address is the holder's address for other instances.
	Address string `json:"address"`
	// Nonce differs between the draws of a holder, so that a draw whose answer was lost can
	// be recognized.
	Nonce uint64 `json:"nonce"`
	// Target is the upstream of an order that may still be carried out, on a platform that
	// does not check fencing tokens; "" if there is none.
	Target string `json:"target,omitempty"`
	// Ordered is the token of that order.
	Ordered uint64 `json:"ordered,omitempty"`
}

// drawToken draws the group's next fencing token by a conditional update of its object.
func (ps *primaries) drawToken(ctx context.Context, g *group) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := ps.n.platform.Store
	ps.mu.Lock()
	if g.promotion.HasToken() {
		ps.mu.Unlock()
		return
	}
	g.lastNonce++
	next := token{Holder: ps.n.self.ID, Address: ps.n.self.Address, Nonce: g.lastNonce}
	ps.mu.Unlock()
	present, err := store.Get(ctx, KindPromotion, g.name)
	var before token
	if err == nil {
		if err = json.Unmarshal(present.Data, &before); err != nil {
			ps.n.log.Info("group: token object not decoded", "group", g.name, "err", err.Error())
			return
		}
	}
	if err != nil && !errors.Is(err, ErrMissing) {
		ps.n.log.Info("group: token not drawn", "group", g.name, "err", err.Error())
		return
	}
	next.Token = lease.NextNumber(before.Token, present.Era)
	if lost := ps.lostTarget(g, before, present.Era); lost.Token > 0 {
		before.Target, before.Ordered = lost.Upstream, lost.Token
	}
	if before.Target != "" {
		ps.mu.Lock()
		if g.promotion.MayStillBeCarriedOut(ps.n.now(), before.Target, before.Ordered) {
			next.Target, next.Ordered = before.Target, before.Ordered
		}
		ps.mu.Unlock()
	}
	data, err := json.Marshal(next)
	if err != nil {
		ps.n.log.Error(err, "group: token not drawn", "group", g.name)
		return
	}
	o := Object{Name: g.name, Revision: present.Revision, Data: data}
	if present.Revision == 0 {
		o, err = store.Create(ctx, KindPromotion, o)
	} else {
		o, err = store.Replace(ctx, KindPromotion, o)
	}
	if err != nil {
		ps.n.log.Info("group: token not drawn", "group", g.name, "err", err.Error())
		if errors.Is(err, ErrConflict) {
			return
		}
		if o, err = ps.readWrittenToken(ctx, g, next); err != nil {
			return
		}
	}
	if o.Era != present.Era {
		// A number that was drawn later may have been lost in between.
		ps.n.log.Info("group: token drawn in another era", "group", g.name, "token", next.Token, "era", o.Era)
		return
	}
	ps.n.log.Info("group: token drawn", "group", g.name, "token", next.Token, "era", o.Era, "before", before.Holder)
	ps.handleResult(func(now time.Time) {
		if !ps.n.settings().Unfenced {
			// In a new era, the number before this one stands for tokens that the store has lost.
			earlier := next.Token - 1
			if before.Token == 0 && !ps.n.tables.sawEraBefore(o.Era) {
				earlier = 0
			}
			g.promotion.HandleToken(now, next.Token, earlier)
		} else {
			g.promotion.HandleRecordedToken(now, next.Token, next.Target, next.Ordered)
		}
	})
	ps.notifyTokenHolder(ctx, g.name, next.Token, before)
}

// readWrittenToken returns the token object if the write of a token took effect although it got
// no answer.
func (ps *primaries) readWrittenToken(ctx context.Context, g *group, want token) (Object, error) {
	o, err := ps.n.platform.Store.Get(ctx, KindPromotion, g.name)
	if err != nil {
		return Object{}, err
	}
	var have token
	if err := json.Unmarshal(o.Data, &have); err != nil {
		return Object{}, Error.Wrap(err)
	}
	if have != want {
		return Object{}, Error.New("the token was not written")
	}
	return o, nil
}

// lostTarget returns the newest order of a group that this instance knows, if the store has lost
// its record. It may still be carried out.
func (ps *primaries) lostTarget(g *group, before token, era uint64) KeepNotice {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := g.pendingPromotion
	if !ps.n.settings().Unfenced || p.Token <= before.Token || p.Token >= lease.NextNumber(0, era) || ps.n.now().Sub(g.pendingPromotionAt) >= promotionMemory {
		return KeepNotice{}
	}
	return p
}

// notifyTokenHolder notifies the holder of a group's previous token that a newer one was
// drawn. A token cannot be handed over, because the platform binds it to the instance that
// presents it first.
func (ps *primaries) notifyTokenHolder(ctx context.Context, name string, drawn uint64, before token) {
	if before.Address == "" || before.Address == ps.n.self.Address {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := ps.n.peers.Call(ctx, before.Address, "Node.Token", TokenNotice{name, drawn}, &Empty{}); err != nil {
		// The holder may have ended long ago, so the failure says nothing about the instance
		// that has the address now.
		ps.n.log.Info("group: holder of the previous token not notified", "group", name, "token", drawn, "before", before.Holder, "err", err.Error())
	}
}

// recordNewerToken records that another instance has drawn a newer token.
func (ps *primaries) recordNewerToken(name string, token uint64) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	g := ps.group(name)
	hadToken := g.promotion.HasToken()
	g.promotion.HandleNewerToken(ps.n.now(), token)
	ps.n.log.Info("group: newer token drawn by another instance", "group", name, "token", token, "given up", hadToken && !g.promotion.HasToken())
}

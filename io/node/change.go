package node

// Changes of a primary: the commands of core/failover's Ordered are carried out and their
// results fed back.

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"burdockseam/core/failover"
	"burdockseam/core/wal"
)

// begin starts a change of the primary. The lock is held.
func (l *leaders) begin(g *group, planned bool, reason string) {
	s := l.n.snapshot.Load()
	l.members(g, s)
	if g.change.Start(l.n.now(), planned, reason) {
		g.ordered = l.n.now()
		l.n.log.Info("group: change of primary begins", "group", g.name, "primary", g.leader, "planned", planned, "why", reason, "upstreams", len(s.groups[g.name]))
		l.n.metrics.count("burdockseam_promotions_total{step=\"begun\"}")
		l.wake()
	}
}

// perform carries out a command of a change and feeds the result back.
func (l *leaders) perform(ctx context.Context, g *group, c failover.Command) {
	u := l.n.snapshot.Load().upstreams[c.Upstream]
	sent := l.n.now()
	switch c.Action {
	case failover.ActionDrawToken:
		l.draw(ctx, g)
	case failover.ActionHold, failover.ActionRelease:
		running := l.hold(ctx, u, c.Action == failover.ActionHold)
		l.feed(func(now time.Time) { g.change.HandleHold(now, running) })
	case failover.ActionPause:
		if u == nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, pauseTimeout)
		defer cancel()
		s, err := l.n.platform.Controls.Pause(ctx, l.target(u), c.Term)
		l.n.log.Info("group: replica paused", "group", g.name, "upstream", c.Upstream, "term", c.Term, "received", s.Received.String(), "primary", s.Primary, "err", text(err))
		l.feed(func(now time.Time) { g.change.HandlePause(now, sent, c.Upstream, s, err) })
	case failover.ActionListUpstreams:
		l.list(ctx)
		l.feed(func(now time.Time) {
			l.members(g, l.n.snapshot.Load())
			g.change.HandleList(now)
		})
	case failover.ActionRaiseToken:
		l.raise(ctx, g, c)
	case failover.ActionOrderPromotion:
		l.order(ctx, g, c)
	case failover.ActionSurvey:
		if u == nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, pauseTimeout)
		defer cancel()
		leads, position, err := l.n.platform.Controls.Leads(ctx, l.target(u))
		if refusedBy(err) {
			err = nil // it is there
		}
		if leads {
			l.proved(g.name, u.Name, sent, position, l.n.now(), false)
		}
		l.n.log.Info("group: replica asked", "group", g.name, "upstream", c.Upstream, "leads", leads, "err", text(err))
		l.feed(func(now time.Time) { g.change.HandleSurvey(now, sent, c.Upstream, leads, err) })
	}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// feed hands a result to a change.
func (l *leaders) feed(f func(now time.Time)) {
	l.mu.Lock()
	f(l.n.now())
	l.mu.Unlock()
	l.wake()
}

// raise shows a token to the platform.
func (l *leaders) raise(ctx context.Context, g *group, c failover.Command) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := l.n.platform.Promoter.Raise(ctx, g.name, l.n.settings().Name, c.Token)
	l.n.log.Info("group: token shown", "group", g.name, "token", c.Token, "err", text(err))
	if err == nil {
		l.feed(func(now time.Time) { g.change.HandleRaise(now, c.Token) })
	}
}

// order orders a promotion and tells the others about it.
func (l *leaders) order(ctx context.Context, g *group, c failover.Command) {
	l.mu.Lock()
	note := KeepNote{g.name, c.Upstream, g.change.KeptPosition()}
	l.mu.Unlock()
	l.keep(note)
	l.n.broadcast(ctx, "Node.Keep", note)
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	response, err := l.n.platform.Promoter.Promote(call, g.name, c.Upstream, l.n.settings().Name, c.Token)
	cancel()
	l.n.log.Info("group: promotion ordered", "group", g.name, "upstream", c.Upstream, "token", c.Token, "response", response, "err", text(err))
	leader := ""
	l.feed(func(now time.Time) {
		var out []failover.Command
		if leader, out = g.change.HandleOrder(now, c, response); leader != "" {
			l.n.log.Info("group: change of primary over", "group", g.name, "primary", leader, "why", g.change.Reason(), "took", now.Sub(g.ordered))
		}
		for _, c := range out {
			go l.perform(ctx, g, c)
		}
	})
	if leader != "" {
		l.n.metrics.count("burdockseam_promotions_total{step=\"done\"}")
		l.promoted(g.name, leader)
		l.n.broadcast(ctx, "Node.Lead", LeadNote{g.name, leader})
	}
}

// keep takes in that a promotion is being ordered.
func (l *leaders) keep(note KeepNote) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(note.Group)
	g.keep, g.keepAt = note, l.n.now()
}

// drops reports whether a promotion may drop a commit that an upstream has answered with
// the given position. A replica that has started after the others were paused may have
// acknowledged it. Until the promotion takes effect the old primary goes on.
func (l *leaders) drops(u *upstream, p wal.Position) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(u.Group)
	return l.n.now().Sub(g.keepAt) < promotionTime && u.Name != g.keep.Upstream &&
		p.Term <= g.keep.Kept.Term && p.Compare(g.keep.Kept) > 0
}

// hold stops or resumes new work at an upstream's gateways.
func (l *leaders) hold(ctx context.Context, u *upstream, held bool) int {
	if u == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, pauseTimeout/2)
	defer cancel()
	note := HoldNote{u.Name, held}
	running := l.n.gateways.Hold(u.Name, held)
	for _, i := range l.n.snapshot.Load().first.Top(u.Name, u.place, 3) {
		if i.Address == l.n.self.Address {
			continue
		}
		var r HoldReply
		if err := l.n.peers.Call(ctx, i.Address, "Node.Hold", note, &r); err != nil {
			l.n.unanswered(i.Address, err)
			continue
		}
		running += r.Running
	}
	return running
}

// list reads the registry from the store.
func (l *leaders) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pauseTimeout)
	defer cancel()
	if err := l.n.tables.list(ctx, KindUpstream, l.n.platform.Store.List); err != nil {
		l.n.log.Info("group: registry not read before the order", "err", err.Error())
	}
	l.n.rebuild() // an upstream that is new in the list must pause before the order
}

// token is the content of the object from which a group's tokens are drawn.
type token struct {
	Token  uint64 `json:"token"`
	Holder string `json:"holder"`
	// Address is where other instances reach the holder.
	Address string `json:"address"`
	// Nonce tells the draws of a holder apart, so that a draw whose answer was lost can be
	// recognized.
	Nonce uint64 `json:"nonce"`
}

// draw draws the next token of a group by a conditional update.
func (l *leaders) draw(ctx context.Context, g *group) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := l.n.platform.Store
	l.mu.Lock()
	if g.change.HasToken() {
		l.mu.Unlock()
		return
	}
	g.nonce++
	next := token{Holder: l.n.self.ID, Address: l.n.self.Address, Nonce: g.nonce}
	l.mu.Unlock()
	present, err := store.Get(ctx, KindPromotion, g.name)
	var before token
	if err == nil {
		if err = json.Unmarshal(present.Data, &before); err != nil {
			l.n.log.Info("group: token not understood", "group", g.name, "err", err.Error())
			return
		}
	}
	if err != nil && !errors.Is(err, ErrMissing) {
		l.n.log.Info("group: no token drawn", "group", g.name, "err", err.Error())
		return
	}
	next.Token = before.Token + 1
	data, err := json.Marshal(next)
	if err != nil {
		l.n.log.Error(err, "group: no token drawn", "group", g.name)
		return
	}
	o := Object{Name: g.name, Revision: present.Revision, Data: data}
	if present.Revision == 0 {
		_, err = store.Create(ctx, KindPromotion, o)
	} else {
		_, err = store.Replace(ctx, KindPromotion, o)
	}
	if err != nil {
		l.n.log.Info("group: no token drawn", "group", g.name, "err", err.Error())
		if errors.Is(err, ErrConflict) || !l.drew(ctx, g, next) {
			return
		}
	}
	l.n.log.Info("group: token drawn", "group", g.name, "token", next.Token, "before", before.Holder)
	l.feed(func(now time.Time) { g.change.HandleToken(now, next.Token, before.Token) })
	l.notify(ctx, g.name, next.Token, before)
}

// drew reads whether a draw without an answer has taken effect.
func (l *leaders) drew(ctx context.Context, g *group, want token) bool {
	o, err := l.n.platform.Store.Get(ctx, KindPromotion, g.name)
	if err != nil {
		return false
	}
	var have token
	return json.Unmarshal(o.Data, &have) == nil && have == want
}

// notify tells the holder of a group's older token that a newer one was drawn. The platform
// binds a token to the instance that shows it first, so that no token is handed over.
func (l *leaders) notify(ctx context.Context, name string, drawn uint64, before token) {
	if before.Address == "" || before.Address == l.n.self.Address {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.n.peers.Call(ctx, before.Address, "Node.Token", TokenNote{name, drawn}, &None{}); err != nil {
		// The holder may have ended long ago, which says nothing about who runs there now.
		l.n.log.Info("group: holder of the token before not told", "group", name, "token", drawn, "before", before.Holder, "err", err.Error())
	}
}

// outdated takes in that another instance has drawn a token.
func (l *leaders) outdated(name string, token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(name)
	had := g.change.HasToken()
	g.change.HandleNewerToken(l.n.now(), token)
	l.n.log.Info("group: newer token drawn elsewhere", "group", name, "token", token, "given up", had && !g.change.HasToken())
}

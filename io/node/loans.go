package node

// Loans of the reserve: an instance whose part of a team's rate is spent borrows tokens from
// the instances that have some left, whether or not there is an owner of the limits.

import (
	"cmp"
	"context"
	"slices"
	"time"

	"burdockseam/core/placement"
	"burdockseam/core/quota"
)

// lendersPerLoan is the number of instances of which a loan is requested at the same time.
const lendersPerLoan = 2

// borrow requests loans for a team and gives the tokens to the operations that wait, until
// none waits or no further loan is due.
func (l *limits) borrow(team string, want int) {
	for want > 0 {
		sent := l.n.now()
		tokens := l.requestLoan(team, want)
		l.mu.Lock()
		l.spendLoan(team, sent, tokens)
		want = l.reserve.RequestLoan(l.n.now(), team, len(l.borrowers[team]))
		l.mu.Unlock()
	}
}

// requestLoan requests a loan for a team and returns the number of tokens that were lent.
func (l *limits) requestLoan(team string, want int) int {
	ctx, cancel := context.WithTimeout(context.Background(), quota.LoanLifetime)
	defer cancel()
	lenders := l.chooseLenders()
	lent := make([]int, len(lenders))
	done := make(chan struct{}, len(lenders))
	for k, address := range lenders {
		go func() {
			defer func() { done <- struct{}{} }()
			var reply LoanReply
			if err := l.n.peers.Call(ctx, address, "Node.Lend", LoanRequest{team, want}, &reply); err == nil {
				lent[k] = reply.Tokens
			}
		}()
	}
	tokens, best := 0, 0
	for range lenders {
		<-done
	}
	for k, n := range lent {
		tokens += n
		if n > best {
			best = n
			l.setLender(lenders[k])
		}
	}
	return tokens
}

// spendLoan gives the tokens of a loan to the operations that wait. The caller holds the
// lock.
func (l *limits) spendLoan(team string, sent time.Time, tokens int) {
	now := l.n.now()
	l.reserve.AddLoan(now, sent, team, tokens)
	for _, w := range slices.Clone(l.borrowers[team]) {
		if w.ticket != 0 && l.waiting[w.ticket] == nil {
			continue // the owner has decided
		}
		if !l.reserve.RetakeToken(now, team) {
			break
		}
		l.removeBorrower(team, w)
		delete(l.waiting, w.ticket)
		if w.ticket != 0 {
			l.quotaHolder.CancelRequest(team, w.ticket)
		}
		w.decided <- true
		l.n.metrics.countLimitOutcome("borrowed")
	}
}

// setLender records which instance lent the most tokens.
func (l *limits) setLender(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastLender = address
}

// chooseLenders returns the instances of which the next loan is requested: the one that lent
// last, and the others in turn, in the order of their distance.
func (l *limits) chooseLenders() []string {
	answering := make(map[string]bool)
	for _, address := range l.n.answeringPeers() {
		answering[address] = true
	}
	home := l.n.settings().Place(l.n.self.Domain)
	list := slices.Clone(l.n.snapshot.Load().instances)
	slices.SortStableFunc(list, func(a, b placement.Instance) int {
		return cmp.Compare(home.Distance(placement.Place{Domain: a.Domain, Region: a.Region}), home.Distance(placement.Place{Domain: b.Domain, Region: b.Region}))
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	var out, others []string
	for _, i := range list {
		switch {
		case !answering[i.Address]:
		case i.Address == l.lastLender:
			out = append(out, i.Address)
		default:
			others = append(others, i.Address)
		}
	}
	for len(out) < lendersPerLoan && len(others) > 0 {
		k := l.lenderTurn % len(others)
		l.lenderTurn++
		out = append(out, others[k])
		others = slices.Delete(others, k, k+1)
	}
	return out
}

package cluster

// This file builds requests and handles requests and responses of peers, results of
// store calls, and the platform's list of instances.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdockseam/core/config"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// domainNames returns the names of all known failure domains in sorted order.
func (a *Agent) domainNames() []string { return sortedKeys(a.members.domainHeardAt) }

// newRequest returns a request with gossip, of which there is usually none, and
// without records of the membership table. It asks for missing contents unless a
// transfer from a peer is under way.
func (a *Agent) newRequest(now time.Time) Request {
	req := Request{From: a.members.Self(), Revision: a.config.Revision, List: a.files.revision, News: a.members.nextGossip(maxGossip)}
	if len(a.files.missing) > 0 && now.Sub(a.transfer.at) > transferTimeout {
		req.Want = a.files.missingHashes(maxWantedHashes, a.random.Uint64())
	}
	return req
}

// newPageRequest returns a request that also asks for the next page of the peer's
// membership table.
func (a *Agent) newPageRequest(now time.Time) Request {
	req := a.newRequest(now)
	req.After, req.Page = a.pageCursor, samplePageSize
	if a.joining {
		req.Page = joinPageSize
	}
	return req
}

// HandleRequest merges what a peer's request reports and returns the response to it.
func (a *Agent) HandleRequest(now time.Time, req Request) (Response, []Effect) {
	var effects []Effect
	a.members.NoteMessage(now, req.From)
	effects = append(effects, a.sendVouches(now, req.From.Address)...)
	a.freshness.NoteRevision(max(req.Revision, req.List))
	for _, r := range req.News {
		a.members.Merge(now, r)
	}
	if req.Vouch != "" {
		a.members.markHeard(now, req.Vouch)
	}
	if req.Tally.Live > 0 {
		a.tallies[req.From.Address] = timedTally{req.Tally, now}
	}
	resp := Response{From: a.members.Self(), Revision: a.config.Revision, Update: a.files.updateSince(req.List, req.Want)}
	if !a.freshness.confirmedAt.IsZero() {
		resp.Confirmed = Confirmation{a.config.Revision, now.Sub(a.freshness.confirmedAt)}
	}
	resp.Outages = a.recentOutageReports(now)
	resp.News = a.members.nextGossip(maxGossip)
	if req.Page > 0 {
		resp.Page, resp.Next = a.members.page(req.After, min(req.Page, joinPageSize))
	}
	if member := a.members.rows[req.From.Address]; member != nil && member != a.members.self && member.Record.supersedes(req.From) {
		// The requester learns that it is suspected and can refute the suspicion.
		resp.News = append(resp.News, member.Record)
	}
	names := a.domainNames()
	for range min(maxDomainAges, len(names)) {
		domain := names[a.nextAge%len(names)]
		resp.Ages = append(resp.Ages, a.domainAge(now, domain))
		a.nextAge++
	}
	for range min(maxDomainStatuses, len(a.statuses)) {
		domain := sortedKeys(a.statuses)[a.nextStatus%len(a.statuses)]
		resp.Statuses = append(resp.Statuses, a.domainStatus(now, domain))
		a.nextStatus++
	}
	if member := a.members.rows[req.Doubt]; req.Doubt != "" && member != nil {
		switch {
		case req.Doubt == a.opts.Address || now.Sub(member.lastHeard) < randomPeriod:
			resp.Vouch = req.Doubt
		default:
			if probers := a.probers[req.Doubt]; len(probers) < fanout && !slices.Contains(probers, req.From.Address) {
				a.probers[req.Doubt] = append(probers, req.From.Address)
			}
			effects = append(effects, Send{req.Doubt, a.newRequest(now)})
		}
	}
	if req.List > a.files.revision {
		// The requester knows a newer revision; pull it.
		effects = append(effects, Send{req.From.Address, a.newRequest(now)})
	}
	return resp, effects
}

// sendVouches confirms to the peers that probe a member through this instance that
// a message of the member has just arrived here.
func (a *Agent) sendVouches(now time.Time, address string) []Effect {
	var effects []Effect
	for _, to := range a.probers[address] {
		req := a.newRequest(now)
		req.Vouch = address
		effects = append(effects, Send{to, req})
	}
	delete(a.probers, address)
	return effects
}

// recentOutageReports returns the outage reports that are recent enough for the
// freshness rule, the instance's own included, most recent first.
func (a *Agent) recentOutageReports(now time.Time) []OutageReport {
	if a.pollFailed && now.Sub(a.pollEnded) < pollTimeout+pollRetry+randomPeriod {
		a.freshness.AddOutageReport(a.opts.Address, a.opts.Domain, now)
	}
	var list []OutageReport
	for _, watcher := range sortedKeys(a.freshness.reports) {
		report := a.freshness.reports[watcher]
		if age := now.Sub(report.at); age <= FreshnessBound {
			list = append(list, OutageReport{watcher, report.domain, age})
		}
	}
	slices.SortStableFunc(list, func(a, b OutageReport) int { return cmp.Compare(a.Age, b.Age) })
	return list[:min(len(list), maxOutageReports)]
}

// HandleResponse merges a peer's response to a request that was sent at the given
// time, or notes the error of a request that got no response.
func (a *Agent) HandleResponse(now, sent time.Time, to string, resp Response, err error) []Effect {
	isParent := false
	if nodes := a.members.liveNodes(a.opts.Domain); len(nodes) > 0 {
		position := slices.IndexFunc(nodes, func(n node) bool { return n.address == a.opts.Address })
		parent := parentOf(position, a.parentMisses, len(nodes))
		isParent = position >= 0 && parent >= 0 && nodes[parent].address == to
	}
	if err != nil {
		if isParent {
			a.parentMisses++
		}
		if a.transfer.peer == to {
			a.transfer.at = time.Time{}
		}
		return nil
	}
	a.members.NoteMessage(now, resp.From)
	effects := a.sendVouches(now, resp.From.Address)
	if resp.Vouch != "" {
		a.members.markHeard(now, resp.Vouch)
	}
	for _, r := range resp.News {
		a.members.Merge(now, r)
	}
	for _, r := range resp.Page {
		a.members.mergeWithoutGossip(now, r)
	}
	if resp.Page != nil || resp.Next != "" {
		a.pageCursor = resp.Next
		if a.joining = a.joining && resp.Next != ""; a.joining {
			effects = append(effects, Send{to, a.newPageRequest(now)})
		}
	}
	// Ages count from the time the request was sent, which can only overstate them.
	for _, d := range resp.Ages {
		a.members.markDomainHeard(d.Domain, sent.Add(-d.Age))
	}
	for _, d := range resp.Statuses {
		if at := sent.Add(-d.Age); at.After(a.statuses[d.Domain].at) {
			a.statuses[d.Domain] = timedTally{d.Tally, at}
		}
	}
	for _, r := range resp.Outages {
		if r.Watcher != a.opts.Address {
			a.freshness.AddOutageReport(r.Watcher, r.Domain, sent.Add(-r.Age))
		}
	}
	a.freshness.NoteRevision(resp.Revision)
	a.freshness.AddConfirmation(resp.Confirmed.Revision, sent.Add(-resp.Confirmed.Age))
	if a.transfer.peer == to {
		a.transfer.at = time.Time{}
	}
	if resp.Update != nil {
		a.freshness.NoteRevision(resp.Update.To)
		progress := a.files.applyUpdate(resp.Update)
		effects = append(effects, a.installIfComplete()...)
		if progress && len(a.files.missing) > 0 {
			a.transfer.peer, a.transfer.at = to, now
			req := a.newRequest(now)
			req.Want = a.files.missingHashes(maxWantedHashes, a.random.Uint64())
			effects = append(effects, Send{to, req})
		}
	}
	return effects
}

// installIfComplete puts the newest revision into force once all of its contents
// have arrived, or rejects it if it has faults.
func (a *Agent) installIfComplete() []Effect {
	files, ok := a.files.takeComplete()
	if !ok {
		return nil
	}
	a.transfer.at = time.Time{}
	clear(a.fetchSent)
	cfg, faults := a.parser.Parse(files)
	if len(faults) > 0 {
		return []Effect{Reject{a.files.revision, faults}}
	}
	cfg.Revision = a.files.revision
	a.config = cfg
	a.freshness.SetInstalled(cfg.Revision)
	return []Effect{Install{cfg}}
}

// HandlePollResult handles the store's response to a Poll that was sent at the given
// time with Since equal to since. head is nil if no newer head appeared while the
// call waited.
func (a *Agent) HandlePollResult(now, sent time.Time, since uint64, head *config.Head, err error) []Effect {
	if sent.Equal(a.pollSent) {
		a.pollSent, a.pollEnded, a.pollFailed = time.Time{}, now, err != nil
	}
	if err != nil {
		return nil
	}
	// A call that already counts as failed may still return. Its result is valid, since
	// it holds for the time at which the call was sent.
	if head == nil {
		a.freshness.AddConfirmation(since, sent)
		return nil
	}
	a.freshness.NoteRevision(head.Revision)
	a.freshness.AddConfirmation(head.Revision, sent)
	if !a.files.setFileList(head.Revision, head.Files) {
		return nil
	}
	effects := a.installIfComplete()
	fetches := 0
	for _, hash := range a.files.missingHashes(fetchesPerPeriod, a.random.Uint64()) {
		a.fetchSent[hash] = now
		effects = append(effects, Fetch{hash})
		fetches++
	}
	if fetches > 0 {
		a.lastFetch = now
	}
	return effects
}

// HandleFetchResult handles the contents that a Fetch read from the store, or its
// error.
func (a *Agent) HandleFetchResult(now time.Time, hash string, data []byte, err error) []Effect {
	if err != nil {
		a.fetchSent[hash] = now // retried after pollTimeout
		return nil
	}
	delete(a.fetchSent, hash)
	a.files.addContent(hash, data)
	return a.installIfComplete()
}

// HandlePlatformList handles the platform's list of instances, or the error of
// reading it.
func (a *Agent) HandlePlatformList(now time.Time, list []PlatformInstance, err error) {
	if err == nil {
		a.platformListRead = true
		a.members.MergePlatformList(now, list)
	}
}

// subtreeTally returns the tally of the instance's subtree of the relay tree. With
// wholeDomain, which only a root sets, it adds the other root's subtree and stores
// the result as the status of the failure domain.
func (a *Agent) subtreeTally(now time.Time, wholeDomain bool) Tally {
	tally := Tally{Live: 1, Ready: boolToInt(a.ready), Lowest: a.config.Revision}
	nodes := a.members.liveNodes(a.opts.Domain)
	position := slices.IndexFunc(nodes, func(n node) bool { return n.address == a.opts.Address })
	for i, node := range nodes {
		child := i >= watchersPerDomain && (i-watchersPerDomain)/fanout == position
		if received, ok := a.tallies[node.address]; ok && now.Sub(received.at) <= suspectAfter && (child || wholeDomain && i < watchersPerDomain && i != position) {
			tally = tally.add(received.Tally)
		}
	}
	if wholeDomain {
		a.statuses[a.opts.Domain] = timedTally{tally, now}
	}
	return tally
}

// domainAge returns how long ago a failure domain was last heard of.
func (a *Agent) domainAge(now time.Time, domain string) DomainAge {
	if domain == a.opts.Domain {
		return DomainAge{Domain: domain}
	}
	return DomainAge{domain, now.Sub(a.members.domainHeardAt[domain])}
}

// domainStatus returns the last known status of a failure domain with its age.
func (a *Agent) domainStatus(now time.Time, domain string) DomainStatus {
	status := a.statuses[domain]
	return DomainStatus{DomainAge{domain, now.Sub(status.at)}, status.Tally}
}

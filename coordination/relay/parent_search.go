package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// joinTarget is the address of a peer that the node may ask to become its parent.
type joinTarget struct {
	address string
	// anyZone is sent in Join: it asks the other side to accept a node of another zone.
	anyZone bool
	// maxDelay bounds the random delay before the attempt.
	maxDelay time.Duration
}

// parentSearch is the state of a node's search for a parent. A search consists of rounds; in a round the node tries a
// list of addresses in order until one accepts it, which ends all other attempts. It tries the next address once the
// latest attempt has failed or has lasted for Config.AttemptHeadStart, so an address that does not answer delays the
// search by no more than that. Addresses that a Redirect names are tried next.
//
// A node that has a parent keeps it while it probes, that is, searches for a better one: for a parent with a newer
// confirmation if its own is stale, and for one in its own zone (the home zone) if its own parent is only temporary.
type parentSearch struct {
	// attempts holds the links of the attempts in progress. latest is the one whose head start delays the next attempt;
	// nil if that has ended or the round has.
	attempts []*link
	latest   *link
	// nextAttempt is the earliest time of the next attempt, or of the next round if no address is left in this one.
	nextAttempt time.Time
	// queue lists the addresses that remain to be tried in this round.
	queue []joinTarget
	// tried holds the addresses that were tried in this round, redirects is the number of redirects in it.
	tried     map[string]bool
	redirects int
	// round counts the rounds that ended without success.
	round int
	// avoidUntil holds the addresses that are not tried before a time.
	avoidUntil map[string]time.Time
	// nextProbe and probeInterval are those of probes for a newer confirmation, nextHomeProbe and homeProbeInterval those
	// of probes for a parent in the home zone.
	nextProbe         time.Time
	probeInterval     time.Duration
	nextHomeProbe     time.Time
	homeProbeInterval time.Duration
	// homeProbeRefused is set when a member has refused the node in the last probe for a parent in the home zone.
	homeProbeRefused bool
	// lastParent is the ID of the former parent, parentLostAt the time at which it ceased to be the parent.
	lastParent   string
	parentLostAt time.Time
}

func newParentSearch(next time.Time) parentSearch {
	return parentSearch{nextAttempt: next, tried: make(map[string]bool), avoidUntil: make(map[string]time.Time)}
}

// failedTargetPause is the time for which an address is not tried after a failed attempt. It is a little longer than
// Config.StaleAfter, so that a node tries all other addresses first.
func (p *Peer) failedTargetPause() time.Duration { return p.config.StaleAfter * 5 / 4 }

// minProbeInterval is the first interval between two probes of a node with a stale parent. The interval doubles up to
// Config.MaxProbeInterval.
func (p *Peer) minProbeInterval() time.Duration { return p.config.StaleAfter / 2 }

// searchForParent starts the next attempt to join a parent, or a better parent than the present one, if one is due.
func (p *Peer) searchForParent() {
	if len(p.search.attempts) >= maxAttempts {
		return
	}
	switch {
	case p.parent == nil:
		p.searchWithoutParent()
	case p.hasStaleParent():
		p.probeForFresherParent()
	case p.hasTemporaryParent():
		p.probeHomeZone()
	default:
		p.search.probeInterval = p.minProbeInterval()
	}
}

// hasTemporaryParent reports whether the node should follow another parent as soon as one accepts it: one in its own
// zone, and with Config.PreferMembers a member rather than a node.
func (p *Peer) hasTemporaryParent() bool {
	switch p.preference(p.parent.remote) {
	case otherZone:
		return true
	case homeNode:
		home, _ := p.memberTargets()
		return len(home) > 0
	default:
		return false
	}
}

// searchWithoutParent continues the search of a node that has no parent.
func (p *Peer) searchWithoutParent() {
	s := &p.search
	if p.now.Before(s.nextAttempt) {
		return
	}
	if len(s.queue) == 0 {
		p.startRound(p.roundTargets())
	}
	p.tryNext()
}

// startRound starts a round with the given targets and forgets the addresses that may be tried again.
func (p *Peer) startRound(targets []joinTarget) {
	s := &p.search
	clear(s.tried)
	s.redirects = 0
	s.queue = targets
	for address, until := range s.avoidUntil {
		if !p.now.Before(until) {
			delete(s.avoidUntil, address)
		}
	}
}

// tryNext dials the first usable address of the queue, after its random delay if it has one. When no address is left,
// it ends the round.
func (p *Peer) tryNext() {
	s := &p.search
	for len(s.queue) > 0 {
		next := s.queue[0]
		if next.maxDelay > 0 {
			s.queue[0].maxDelay = 0
			s.nextAttempt = p.now.Add(p.random(next.maxDelay))
			return
		}
		s.queue = s.queue[1:]
		if next.address == p.config.Address || !s.mayTry(next.address) {
			continue
		}
		p.dialTarget(next)
		return
	}
	p.endRound(p.random(min(p.config.JoinJitter, time.Duration(s.round+1)*roundPauseStep)))
}

// mayTry reports whether an address may be tried now in this round.
func (s *parentSearch) mayTry(address string) bool {
	_, failed := s.avoidUntil[address]
	return !failed && !s.tried[address] &&
		!slices.ContainsFunc(s.attempts, func(l *link) bool { return l.address == address })
}

// endRound ends the round; the next one starts after a pause. Attempts in progress continue.
func (p *Peer) endRound(pause time.Duration) {
	s := &p.search
	s.queue, s.latest = nil, nil
	s.round++
	s.nextAttempt = p.now.Add(pause)
}

func (p *Peer) dialTarget(t joinTarget) {
	s := &p.search
	s.tried[t.address] = true
	l := p.dial(t.address)
	l.anyZone = t.anyZone
	s.attempts, s.latest = append(s.attempts, l), l
	s.nextAttempt = p.now.Add(p.config.AttemptHeadStart)
}

// attemptEnded removes an attempt from those in progress. If it was the latest, the next address may be tried.
func (p *Peer) attemptEnded(l *link) {
	s := &p.search
	s.attempts = slices.DeleteFunc(s.attempts, func(other *link) bool { return other == l })
	if s.latest == l {
		s.latest, s.nextAttempt = nil, p.now
	}
}

func (p *Peer) dial(address string) *link {
	p.dialCount++
	l := &link{id: OutboundLink | LinkID(p.dialCount), role: roleDialing, outbound: true, address: address, openedAt: p.now}
	p.addLink(l)
	p.emit(Dial{Link: l.id, Address: address})
	return l
}

// roundTargets lists the addresses to try in a round in order of preference: nodes of the zone, members of the zone
// (before the nodes with Config.PreferMembers), Config.JoinAddresses, then members of other zones.
func (p *Peer) roundTargets() []joinTarget {
	targets := p.nodeTargets()
	hasNodes := len(targets) > 0
	memberDelay := time.Duration(0)
	if p.search.lastParent != "" {
		// All nodes of the zone share its members: a delay keeps the children of a lost parent from joining at once.
		memberDelay = p.config.JoinJitter / 2
	}
	home, remote := p.memberTargets()
	if hasNodes && len(home) > 0 {
		home[0].maxDelay = memberDelay
	}
	if p.config.PreferMembers {
		targets = append(home, targets...)
	} else {
		targets = append(targets, home...)
	}
	join := slices.Clone(p.config.JoinAddresses)
	p.shuffle(join)
	anyZone := p.search.round > 0 || len(p.members) > 0 && len(home) == 0
	for _, address := range join {
		targets = append(targets, joinTarget{address: address, anyZone: anyZone})
	}
	return append(targets, remote...)
}

// nodeTargets returns up to three nodes of the zone that are of lower order than this node. The first is the parent
// that this node has in a full tree of the zone's nodes, where each has FanOut children in their order; the others are
// random.
func (p *Peer) nodeTargets() []joinTarget {
	var lower []endpoints.Record
	for _, r := range p.propagation.table.InZone(p.config.Zone) {
		if (Order{Incarnation: r.Incarnation, ID: r.ID}).Before(p.order) {
			lower = append(lower, r)
		}
	}
	index := len(lower)
	if index == 0 {
		return nil
	}
	chosen := []int{(index - 1) / p.config.FanOut}
	for range 2 {
		chosen = append(chosen, p.config.Rand.Intn(index))
	}
	var targets []joinTarget
	for _, i := range chosen {
		if r := lower[i]; !r.Expiring() && r.Address != "" {
			targets = append(targets, joinTarget{address: r.Address})
		}
	}
	return targets
}

// memberTargets returns the members of the home zone in random order, and the members of other zones in an order that
// is the same for all nodes of this zone. If the zone has no member, its nodes thus join the same remote member, which
// accepts few of them and redirects the rest to these.
func (p *Peer) memberTargets() (home, remote []joinTarget) {
	start := 0
	if len(p.members) > 0 {
		start = int(xxhash.Sum64String(p.config.Zone) % uint64(len(p.members)))
	}
	for i := range p.members {
		m := p.members[(start+i)%len(p.members)]
		if m.Zone == p.config.Zone {
			home = append(home, joinTarget{address: m.Address})
		} else {
			remote = append(remote, joinTarget{address: m.Address, anyZone: true})
		}
	}
	p.config.Rand.Shuffle(len(home), func(i, j int) { home[i], home[j] = home[j], home[i] })
	return home, remote
}

func (p *Peer) shuffle(list []string) {
	p.config.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// probeForFresherParent searches for a parent with a newer confirmation and keeps the present one meanwhile. The
// interval doubles, since no parent has a newer confirmation while there is no quorum.
func (p *Peer) probeForFresherParent() {
	s := &p.search
	if len(s.queue) > 0 {
		p.continueProbe()
		return
	}
	if p.now.Before(s.nextProbe) {
		return
	}
	s.nextProbe = p.now.Add(s.probeInterval/2 + p.random(s.probeInterval))
	s.probeInterval = min(2*s.probeInterval, p.config.MaxProbeInterval)
	home, remote := p.memberTargets()
	p.startRound(append(home, remote...))
	if len(p.members) == 0 {
		p.startRound(p.roundTargets())
	}
	// A parent that is silent may answer on a new link.
	s.tried[p.parent.address] = !p.isParentSilent()
	p.continueProbe()
}

// probeHomeZone searches for a parent in the home zone and keeps the present one meanwhile.
func (p *Peer) probeHomeZone() {
	s := &p.search
	if len(s.queue) > 0 {
		p.continueProbe()
		return
	}
	if p.now.Before(s.nextHomeProbe) {
		return
	}
	s.nextHomeProbe = p.now.Add(s.homeProbeInterval/2 + p.random(s.homeProbeInterval))
	limit := p.config.HomeProbeInterval
	if s.homeProbeRefused {
		limit = max(limit, maxRefusedProbeInterval)
	}
	s.homeProbeInterval = min(2*s.homeProbeInterval, limit)
	s.homeProbeRefused = false
	home, _ := p.memberTargets()
	if p.config.PreferMembers && len(home) > 0 {
		p.startRound(home)
	} else {
		p.startRound(append(p.nodeTargets(), home...))
	}
	s.tried[p.parent.address] = true
	p.continueProbe()
}

func (p *Peer) continueProbe() {
	if !p.now.Before(p.search.nextAttempt) {
		p.tryNext()
	}
}

// requestJoin sends a Join on a link that has just been opened, unless the other side turns out to be of higher order.
func (p *Peer) requestJoin(l *link) {
	if !l.remote.Order().Before(p.order) {
		p.closeLink(l)
		p.attemptFailed(l)
		return
	}
	l.role = roleCandidate
	table := p.propagation.table
	p.send(l, Message{Join: &Join{
		AnyZone:     l.anyZone,
		Bundles:     p.bundles.completeBundles(),
		Records:     table.Len(),
		TableDigest: table.Digest(),
	}})
}

// closeLink closes a link without handling the end of its role; see dropLink.
func (p *Peer) closeLink(l *link) {
	p.removeLink(l)
	p.emit(Close{Link: l.id})
}

// attemptFailed avoids the address for a time and lets the search continue with the next one.
func (p *Peer) attemptFailed(l *link) {
	p.search.avoidUntil[l.address] = p.now.Add(p.failedTargetPause())
	p.attemptEnded(l)
}

// probesForMember reports whether the node keeps a sound parent that is a node of its zone while it probes for a member.
func (p *Peer) probesForMember() bool {
	return p.parent != nil && !p.hasStaleParent() && p.preference(p.parent.remote) == homeNode
}

// handleRedirect lets the search continue with the addresses of a Redirect. Too many redirects end the round. A probe
// for a member does not follow redirects: they lead to nodes, which are no better than the parent.
func (p *Peer) handleRedirect(l *link, addresses []string) {
	s := &p.search
	p.closeLink(l)
	p.attemptEnded(l)
	if p.probesForMember() {
		s.homeProbeRefused = true
		return
	}
	s.redirects++
	if s.redirects > maxRedirects {
		p.endRound(p.random(p.config.JoinJitter))
		return
	}
	p.queueRedirects(addresses, l.anyZone)
}

func (p *Peer) queueRedirects(addresses []string, anyZone bool) {
	targets := make([]joinTarget, 0, len(addresses))
	for _, address := range addresses {
		targets = append(targets, joinTarget{address: address, anyZone: anyZone})
	}
	p.search.queue = append(targets, p.search.queue...)
}

// handleRetryAfter handles a refused Join. After a refusal by a member, which is busy with the joins of other nodes, the
// search goes on with the other addresses. If there are none, the next round starts after the delay.
func (p *Peer) handleRetryAfter(l *link, r RetryAfter) {
	s := &p.search
	p.closeLink(l)
	p.attemptEnded(l)
	if !l.remote.Member {
		return
	}
	s.homeProbeRefused = p.probesForMember()
	if len(s.queue) == 0 {
		delay := min(time.Duration(r.DelayMs)*time.Millisecond, 2*p.config.JoinJitter)
		p.endRound(max(0, delay))
	}
}

// handleAccept makes the other side the parent. A node that already has a parent changes it only for a better one.
func (p *Peer) handleAccept(l *link, accept Accept) {
	p.attemptEnded(l)
	if p.parent != nil && !p.isBetterParent(l, accept) {
		p.send(l, Message{Leave: &Leave{}})
		p.closeLink(l)
		// The pause is short: after a partition, the other side may get a confirmation soon, once a leader is elected.
		p.search.avoidUntil[l.address] = p.now.Add(p.minProbeInterval() / 2)
		return
	}
	if former := p.parent; former != nil {
		p.send(former, Message{Leave: &Leave{}})
		p.closeLink(former)
		p.search.lastParent, p.search.parentLostAt = former.remote.ID, p.now
	}
	p.cancelAttempts()
	p.setParent(l, accept)
}

// isBetterParent reports whether a candidate is better than the present parent. If that is stale, the candidate must have
// a recent confirmation, or be stale in the home zone. Otherwise it must also be preferred to the present parent: a
// redirect may lead from a better candidate, which accepts no child, to one that is no better.
func (p *Peer) isBetterParent(l *link, accept Accept) bool {
	fresh := accept.Freshness.Confirmed && time.Duration(accept.Freshness.AgeMs)*time.Millisecond < p.config.StaleAfter
	if !p.hasStaleParent() {
		return fresh && p.preference(l.remote) > p.preference(p.parent.remote)
	}
	returnsHome := l.remote.Zone == p.config.Zone && p.parent.remote.Zone != p.config.Zone
	return fresh || returnsHome
}

// parentPreference ranks parents; a higher one is preferred.
type parentPreference int

const (
	otherZone parentPreference = iota
	// homeNode is a node of the home zone where members are preferred.
	homeNode
	preferredParent
)

func (p *Peer) preference(parent Hello) parentPreference {
	switch {
	case parent.Zone != p.config.Zone:
		return otherZone
	case p.config.PreferMembers && !parent.Member:
		return homeNode
	default:
		return preferredParent
	}
}

// setParent makes the other side of a link the parent and exchanges the state that both sides need.
func (p *Peer) setParent(l *link, accept Accept) {
	invariant.Check(l.remote.Order().Before(p.order), invariant.Internal, "parent is not of lower order",
		map[string]any{"node": p.config.ID, "parent": l.remote.ID})
	joinSent := l.openedAt
	former := ""
	if p.parent != nil {
		former = p.parent.remote.ID
	}
	l.role = roleParent
	p.parent = l
	p.stats.ParentChanges++
	p.suppressCounts(l.remote.ID)
	p.resetSearch()
	p.learnMembers(accept.Members)
	p.mergeRollouts(accept.Rollouts)
	if accept.Leaving != nil {
		p.emit(UpstreamLeaving{Upstream: *accept.Leaving})
	}
	p.bundles.fetchTarget, p.bundles.nextFetch = bundle.Digest{}, p.now.Add(fetchTimeout)
	if accept.Approved != nil {
		p.receiveApproval(*accept.Approved)
	}
	p.updateFreshness(joinSent, accept.Freshness)
	p.reportParent(former)
	p.announceParent(l)
	p.poll(l)
	p.sendCrashes(l)
	p.tryActivate()
}

// reportParent reports that the parent has changed. former is the ID of the former one; empty if there was none.
func (p *Peer) reportParent(former string) {
	changed := ParentChanged{
		Former: former, Confirmed: p.freshness.confirmed, Version: p.freshness.version, Age: p.freshness.ageAt(p.now),
	}
	if p.parent != nil {
		changed.Parent, changed.Zone = p.parent.remote.ID, p.parent.remote.Zone
	}
	p.emit(changed)
}

// resetSearch ends the search after a join.
func (p *Peer) resetSearch() {
	s := &p.search
	s.queue, s.round, s.redirects = nil, 0, 0
	s.probeInterval = p.minProbeInterval()
	s.nextProbe = p.now
	p.scheduleHomeProbe()
}

// scheduleHomeProbe schedules a probe for a parent in the home zone within Config.JoinJitter. The interval of further
// probes grows from there to Config.HomeProbeInterval, or to maxRefusedProbeInterval while the members refuse the node.
func (p *Peer) scheduleHomeProbe() {
	s := &p.search
	s.homeProbeInterval, s.homeProbeRefused = p.config.JoinJitter, false
	s.nextHomeProbe = p.now.Add(p.random(s.homeProbeInterval))
}

// handleParentLoss starts the search for another parent after a short random delay.
func (p *Peer) handleParentLoss() {
	s := &p.search
	former := p.parent
	p.parent = nil
	s.lastParent, s.parentLostAt = former.remote.ID, p.now
	p.reportParent(former.remote.ID)
	s.avoidUntil[former.address] = p.now.Add(lostParentPause)
	s.queue = nil
	s.nextAttempt = p.now.Add(p.random(parentLossJitter))
}

// handleEviction handles a Redirect from the parent, which accepted a node of lower order in place of this one.
func (p *Peer) handleEviction(l *link, addresses []string) {
	p.dropLink(l)
	delete(p.search.avoidUntil, l.address)
	p.cancelAttempts()
	p.startRound(p.roundTargets())
	p.queueRedirects(addresses, true)
	p.search.nextAttempt = p.now
}

func (p *Peer) cancelAttempts() {
	for _, l := range p.search.attempts {
		p.closeLink(l)
	}
	p.search.attempts, p.search.latest = nil, nil
}

package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// joinTarget is an address that may become the parent.
type joinTarget struct {
	address string
	// anyZone asks the other side to accept a node of another zone.
	anyZone bool
	// maxDelay is the bound of the random pause before the attempt.
	maxDelay time.Duration
}

// parentSearch is the state of a node's search for a parent.
type parentSearch struct {
	// attempt is the attempt in progress, nil between attempts.
	attempt     *link
	nextAttempt time.Time
	// queue lists what is left of the round: redirect targets first, then the candidates.
	queue     []joinTarget
	tried     map[string]bool
	redirects int
	round     int
	// avoidUntil lists addresses that are left out until a time.
	avoidUntil map[string]time.Time
	// A node that has a parent keeps it while it probes for a better one.
	nextProbe         time.Time
	probeInterval     time.Duration
	nextHomeProbe     time.Time
	homeProbeInterval time.Duration
	// lastParent and lostAt describe the former parent.
	lastParent   string
	parentLostAt time.Time
}

func newParentSearch(next time.Time) parentSearch {
	return parentSearch{nextAttempt: next, tried: make(map[string]bool), avoidUntil: make(map[string]time.Time)}
}

// failedTargetPause keeps an address that failed out of the selection. It is a little longer than the limit of staleness, so
// that a node tries all others first.
func (p *Peer) failedTargetPause() time.Duration { return p.config.StaleAfter * 5 / 4 }

// minProbeInterval is the first pause between two probes of a stale peer; it doubles up to
// Config.ProbeMax.
func (p *Peer) minProbeInterval() time.Duration { return p.config.StaleAfter / 2 }

// searchForParent starts the next attempt if one is due.
func (p *Peer) searchForParent() {
	if p.search.attempt != nil {
		return
	}
	switch {
	case p.parent == nil:
		p.searchWithoutParent()
	case p.hasStaleParent():
		p.probeForFresherParent()
	case p.parent.remote.Zone != p.config.Zone:
		p.probeHomeZone()
	default:
		p.search.probeInterval = p.minProbeInterval()
	}
}

func (p *Peer) searchWithoutParent() {
	a := &p.search
	if p.now.Before(a.nextAttempt) {
		return
	}
	if len(a.queue) == 0 {
		p.startRound(p.roundTargets())
	}
	p.tryNext()
}

func (p *Peer) startRound(targets []joinTarget) {
	a := &p.search
	clear(a.tried)
	a.redirects = 0
	a.queue = targets
	for address, until := range a.avoidUntil {
		if !p.now.Before(until) {
			delete(a.avoidUntil, address)
		}
	}
}

// tryNext dials the first usable address of the queue. When none is left, it ends the round.
func (p *Peer) tryNext() {
	a := &p.search
	for len(a.queue) > 0 {
		next := a.queue[0]
		if next.maxDelay > 0 {
			a.queue[0].maxDelay = 0
			a.nextAttempt = p.now.Add(p.random(next.maxDelay))
			return
		}
		a.queue = a.queue[1:]
		if _, failed := a.avoidUntil[next.address]; failed || a.tried[next.address] || next.address == p.config.Address {
			continue
		}
		p.dialTarget(next)
		return
	}
	p.endRound(p.random(min(p.config.JoinJitter, time.Duration(a.round+1)*roundPauseStep)))
}

func (p *Peer) endRound(pause time.Duration) {
	a := &p.search
	a.queue = nil
	a.round++
	a.nextAttempt = p.now.Add(pause)
}

func (p *Peer) dialTarget(t joinTarget) {
	p.search.tried[t.address] = true
	l := p.dial(t.address)
	l.anyZone = t.anyZone
	p.search.attempt = l
}

func (p *Peer) dial(address string) *link {
	p.dialCount++
	l := &link{id: OutboundLink | LinkID(p.dialCount), role: roleDialing, outbound: true, address: address, openedAt: p.now}
	p.addLink(l)
	p.emit(Dial{Link: l.id, Address: address})
	return l
}

// roundTargets lists the candidates in order of preference: neighbours, the members of the zone (before the neighbours
// with MembersFirst), the configured addresses, then members elsewhere.
func (p *Peer) roundTargets() []joinTarget {
	targets := p.nodeTargets()
	known := len(targets) > 0
	memberDelay := time.Duration(0)
	if p.search.lastParent != "" {
		memberDelay = p.config.JoinJitter / 2 // Members are shared by the zone: the children of a lost parent spread out.
	}
	home, remote := p.memberTargets()
	if known && len(home) > 0 {
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

// nodeTargets returns up to three nodes of the zone that are of lower order, first the one whose place in the zone
// order makes it the parent of this node.
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

// memberTargets returns the members of the own zone in random order, and the others in an order that all nodes of the
// zone share, so that they meet at one member and follow each other.
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

// probeForFresherParent looks for a parent that gives freshness, while the present one is kept. The pause doubles, since during
// an outage of the quorum no parent can help.
func (p *Peer) probeForFresherParent() {
	a := &p.search
	if len(a.queue) > 0 {
		p.continueProbe()
		return
	}
	if p.now.Before(a.nextProbe) {
		return
	}
	a.nextProbe = p.now.Add(a.probeInterval/2 + p.random(a.probeInterval))
	a.probeInterval = min(2*a.probeInterval, p.config.MaxProbeInterval)
	home, remote := p.memberTargets()
	p.startRound(append(home, remote...))
	if len(p.members) == 0 {
		p.startRound(p.roundTargets())
	}
	a.tried[p.parent.address] = true
	p.continueProbe()
}

// probeHomeZone tries to return to the own zone.
func (p *Peer) probeHomeZone() {
	a := &p.search
	if len(a.queue) > 0 {
		p.continueProbe()
		return
	}
	if p.now.Before(a.nextHomeProbe) {
		return
	}
	a.nextHomeProbe = p.now.Add(a.homeProbeInterval/2 + p.random(a.homeProbeInterval))
	a.homeProbeInterval = min(2*a.homeProbeInterval, p.config.HomeProbeInterval)
	home, _ := p.memberTargets()
	if p.config.PreferMembers && len(home) > 0 {
		p.startRound(home)
	} else {
		p.startRound(append(p.nodeTargets(), home...))
	}
	p.continueProbe()
}

func (p *Peer) continueProbe() {
	if !p.now.Before(p.search.nextAttempt) {
		p.tryNext()
	}
}

// requestJoin asks for acceptance, unless the other side turns out to be of higher order.
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

// closeLink closes a link without any consequence for its role.
func (p *Peer) closeLink(l *link) {
	p.removeLink(l)
	p.emit(Close{Link: l.id})
}

// attemptFailed continues with the next address.
func (p *Peer) attemptFailed(l *link) {
	a := &p.search
	a.avoidUntil[l.address] = p.now.Add(p.failedTargetPause())
	if a.attempt == l {
		a.attempt = nil
	}
	if p.config.Member {
		return
	}
	a.nextAttempt = p.now
}

func (p *Peer) handleRedirect(l *link, addresses []string) {
	a := &p.search
	p.closeLink(l)
	a.attempt = nil
	a.nextAttempt = p.now
	a.redirects++
	if a.redirects > maxRedirects {
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

// handleRetryAfter handles a refusal. A member's refusal ends the round, since other joiners wait there too.
func (p *Peer) handleRetryAfter(l *link, r RetryAfter) {
	a := &p.search
	p.closeLink(l)
	a.attempt = nil
	a.nextAttempt = p.now
	if l.remote.Member {
		delay := min(time.Duration(r.DelayMs)*time.Millisecond, 2*p.config.JoinJitter)
		p.endRound(max(0, delay))
	}
}

// handleAccept makes the other side the parent. A node that already has a parent changes only for a fresh one.
func (p *Peer) handleAccept(l *link, accept Accept) {
	p.search.attempt = nil
	if p.parent != nil && !p.isBetterParent(l, accept) {
		p.send(l, Message{Leave: &Leave{}})
		p.closeLink(l)
		// It may have the confirmation of a quorum by the next round: after a split, a leader is elected meanwhile.
		p.search.avoidUntil[l.address] = p.now.Add(p.minProbeInterval() / 2)
		return
	}
	if former := p.parent; former != nil {
		p.send(former, Message{Leave: &Leave{}})
		p.closeLink(former)
		p.search.lastParent, p.search.parentLostAt = former.remote.ID, p.now
	}
	p.setParent(l, accept)
}

// isBetterParent reports whether a candidate is better than the parent: it is fresh, or it is as stale but in the own zone.
func (p *Peer) isBetterParent(l *link, accept Accept) bool {
	fresh := accept.Freshness.Confirmed && time.Duration(accept.Freshness.AgeMs)*time.Millisecond < p.config.StaleAfter
	returnsHome := l.remote.Zone == p.config.Zone && p.parent.remote.Zone != p.config.Zone
	return fresh || returnsHome && p.hasStaleParent()
}

func (p *Peer) setParent(l *link, accept Accept) {
	invariant.Check(l.remote.Order().Before(p.order), invariant.Internal, "parent is not of lower order",
		map[string]any{"node": p.config.ID, "parent": l.remote.ID})
	joinSent := l.openedAt
	l.role = roleParent
	p.parent = l
	p.stats.ParentChanges++
	p.suppressCounts(l.remote.ID)
	p.resetSearch()
	p.learnMembers(accept.Members)
	p.bundles.fetchTarget, p.bundles.fetchAt = bundle.Digest{}, p.now.Add(fetchTimeout)
	if accept.Approved != nil {
		p.receiveApproval(*accept.Approved)
	}
	p.updateFreshness(joinSent, accept.Freshness)
	p.announceParent(l)
	p.poll(l)
	p.sendCrashes(l)
	p.tryActivate()
}

func (p *Peer) resetSearch() {
	a := &p.search
	a.queue, a.round, a.redirects = nil, 0, 0
	a.probeInterval = p.minProbeInterval()
	a.nextProbe = p.now
	p.scheduleHomeProbe()
}

// scheduleHomeProbe lets a node that follows another zone look for a parent in its own one without a long pause. The pauses
// after that grow to Config.HomeProbe.
func (p *Peer) scheduleHomeProbe() {
	a := &p.search
	a.homeProbeInterval = p.config.JoinJitter
	a.nextHomeProbe = p.now.Add(p.random(a.homeProbeInterval))
}

// handleParentLoss starts the search for another parent.
func (p *Peer) handleParentLoss() {
	a := &p.search
	former := p.parent
	p.parent = nil
	a.lastParent, a.parentLostAt = former.remote.ID, p.now
	a.avoidUntil[former.address] = p.now.Add(lostParentPause)
	a.queue = nil
	a.nextAttempt = p.now.Add(p.random(parentLossJitter))
}

// handleEviction handles a parent that made room for a node of lower order.
func (p *Peer) handleEviction(l *link, addresses []string) {
	p.dropLink(l)
	delete(p.search.avoidUntil, l.address)
	p.cancelAttempt()
	p.startRound(p.roundTargets())
	p.queueRedirects(addresses, true)
	p.search.nextAttempt = p.now
}

func (p *Peer) cancelAttempt() {
	if l := p.search.attempt; l != nil {
		p.closeLink(l)
		p.search.attempt = nil
	}
}

package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// target is an address that may become the parent.
type target struct {
	address string
	// anyZone asks the other side to accept a node of another zone.
	anyZone bool
	// wait is the bound of the random pause before the attempt.
	wait time.Duration
}

// attach is the state of a node's search for a parent.
type attach struct {
	// link is the attempt in progress, nil between attempts.
	link *link
	next time.Time
	// queue lists what is left of the round: redirect targets first, then the candidates.
	queue []target
	tried map[string]bool
	hops  int
	round int
	// failed lists addresses that are left out until a time.
	failed map[string]time.Time
	// A node that has a parent keeps it while it probes for a better one.
	probeAt    time.Time
	probePause time.Duration
	homeAt     time.Time
	homePause  time.Duration
	// lastParent and lostAt describe the former parent.
	lastParent string
	lostAt     time.Time
}

func newAttach(next time.Time) attach {
	return attach{next: next, tried: make(map[string]bool), failed: make(map[string]time.Time)}
}

// failedPause keeps an address that failed out of the selection. It is a little longer than the limit of staleness, so
// that a node tries all others first.
func (p *Peer) failedPause() time.Duration { return p.config.StaleAfter * 5 / 4 }

// probeMin is the first pause between two probes of a stale peer; it doubles up to
// Config.ProbeMax.
func (p *Peer) probeMin() time.Duration { return p.config.StaleAfter / 2 }

// seekParent starts the next attempt if one is due.
func (p *Peer) seekParent() {
	if p.attach.link != nil {
		return
	}
	switch {
	case p.parent == nil:
		p.seekAny()
	case p.stale():
		p.probeStale()
	case p.parent.remote.Zone != p.config.Zone:
		p.probeHome()
	default:
		p.attach.probePause = p.probeMin()
	}
}

func (p *Peer) seekAny() {
	a := &p.attach
	if p.now.Before(a.next) {
		return
	}
	if len(a.queue) == 0 {
		p.startRound(p.roundTargets())
	}
	p.tryNext()
}

func (p *Peer) startRound(targets []target) {
	a := &p.attach
	clear(a.tried)
	a.hops = 0
	a.queue = targets
	for address, until := range a.failed {
		if !p.now.Before(until) {
			delete(a.failed, address)
		}
	}
}

// tryNext dials the first usable address of the queue. When none is left, it ends the round.
func (p *Peer) tryNext() {
	a := &p.attach
	for len(a.queue) > 0 {
		next := a.queue[0]
		if next.wait > 0 {
			a.queue[0].wait = 0
			a.next = p.now.Add(p.random(next.wait))
			return
		}
		a.queue = a.queue[1:]
		if _, failed := a.failed[next.address]; failed || a.tried[next.address] || next.address == p.config.Address {
			continue
		}
		p.dialTarget(next)
		return
	}
	p.endRound(p.random(min(p.config.JoinSpread, time.Duration(a.round+1)*roundPause)))
}

func (p *Peer) endRound(pause time.Duration) {
	a := &p.attach
	a.queue = nil
	a.round++
	a.next = p.now.Add(pause)
}

func (p *Peer) dialTarget(t target) {
	p.attach.tried[t.address] = true
	l := p.dial(t.address)
	l.anyZone = t.anyZone
	p.attach.link = l
}

func (p *Peer) dial(address string) *link {
	p.dialed++
	l := &link{id: OutboundLink | LinkID(p.dialed), role: roleDialing, outbound: true, address: address, opened: p.now}
	p.addLink(l)
	p.emit(Dial{Link: l.id, Address: address})
	return l
}

// roundTargets lists the candidates in order of preference: neighbours, the members of the zone (before the neighbours
// with MembersFirst), the configured addresses, then members elsewhere.
func (p *Peer) roundTargets() []target {
	targets := p.neighbours()
	known := len(targets) > 0
	orphanWait := time.Duration(0)
	if p.attach.lastParent != "" {
		orphanWait = p.config.JoinSpread / 2 // Members are shared by the zone: the children of a lost parent spread out.
	}
	home, remote := p.memberTargets()
	if known && len(home) > 0 {
		home[0].wait = orphanWait
	}
	if p.config.MembersFirst {
		targets = append(home, targets...)
	} else {
		targets = append(targets, home...)
	}
	join := slices.Clone(p.config.Join)
	p.shuffle(join)
	anyZone := p.attach.round > 0 || len(p.members) > 0 && len(home) == 0
	for _, address := range join {
		targets = append(targets, target{address: address, anyZone: anyZone})
	}
	return append(targets, remote...)
}

// neighbours returns up to three nodes of the zone that are of lower order, first the one whose place in the zone
// order makes it the parent of this node.
func (p *Peer) neighbours() []target {
	var lower []endpoints.Record
	for _, r := range p.spread.table.InZone(p.config.Zone) {
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
	var targets []target
	for _, i := range chosen {
		if r := lower[i]; !r.Expiring() && r.Address != "" {
			targets = append(targets, target{address: r.Address})
		}
	}
	return targets
}

// memberTargets returns the members of the own zone in random order, and the others in an order that all nodes of the
// zone share, so that they meet at one member and follow each other.
func (p *Peer) memberTargets() (home, remote []target) {
	start := 0
	if len(p.members) > 0 {
		start = int(xxhash.Sum64String(p.config.Zone) % uint64(len(p.members)))
	}
	for i := range p.members {
		m := p.members[(start+i)%len(p.members)]
		if m.Zone == p.config.Zone {
			home = append(home, target{address: m.Address})
		} else {
			remote = append(remote, target{address: m.Address, anyZone: true})
		}
	}
	p.config.Rand.Shuffle(len(home), func(i, j int) { home[i], home[j] = home[j], home[i] })
	return home, remote
}

func (p *Peer) shuffle(list []string) {
	p.config.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// probeStale looks for a parent that gives freshness, while the present one is kept. The pause doubles, since during
// an outage of the quorum no parent can help.
func (p *Peer) probeStale() {
	a := &p.attach
	if len(a.queue) > 0 {
		p.probeNext()
		return
	}
	if p.now.Before(a.probeAt) {
		return
	}
	a.probeAt = p.now.Add(a.probePause/2 + p.random(a.probePause))
	a.probePause = min(2*a.probePause, p.config.ProbeMax)
	home, remote := p.memberTargets()
	p.startRound(append(home, remote...))
	if len(p.members) == 0 {
		p.startRound(p.roundTargets())
	}
	a.tried[p.parent.address] = true
	p.probeNext()
}

// probeHome tries to return to the own zone.
func (p *Peer) probeHome() {
	a := &p.attach
	if len(a.queue) > 0 {
		p.probeNext()
		return
	}
	if p.now.Before(a.homeAt) {
		return
	}
	a.homeAt = p.now.Add(a.homePause/2 + p.random(a.homePause))
	a.homePause = min(2*a.homePause, p.config.HomeProbe)
	home, _ := p.memberTargets()
	if p.config.MembersFirst && len(home) > 0 {
		p.startRound(home)
	} else {
		p.startRound(append(p.neighbours(), home...))
	}
	p.probeNext()
}

func (p *Peer) probeNext() {
	if !p.now.Before(p.attach.next) {
		p.tryNext()
	}
}

// candidateUp asks for acceptance, unless the other side turns out to be of higher order.
func (p *Peer) candidateUp(l *link) {
	if !l.remote.Order().Before(p.order) {
		p.discard(l)
		p.attemptFailed(l)
		return
	}
	l.role = roleCandidate
	table := p.spread.table
	p.send(l, Message{Join: &Join{
		AnyZone:     l.anyZone,
		Held:        p.content.heldDigests(),
		Records:     table.Len(),
		TableDigest: table.Digest(),
	}})
}

// discard closes a link without any consequence for its role.
func (p *Peer) discard(l *link) {
	p.removeLink(l)
	p.emit(Close{Link: l.id})
}

// attemptFailed continues with the next address.
func (p *Peer) attemptFailed(l *link) {
	a := &p.attach
	a.failed[l.address] = p.now.Add(p.failedPause())
	if a.link == l {
		a.link = nil
	}
	if p.config.Member {
		return
	}
	a.next = p.now
}

func (p *Peer) redirected(l *link, addresses []string) {
	a := &p.attach
	p.discard(l)
	a.link = nil
	a.next = p.now
	a.hops++
	if a.hops > maxHops {
		p.endRound(p.random(p.config.JoinSpread))
		return
	}
	p.queueRedirects(addresses, l.anyZone)
}

func (p *Peer) queueRedirects(addresses []string, anyZone bool) {
	targets := make([]target, 0, len(addresses))
	for _, address := range addresses {
		targets = append(targets, target{address: address, anyZone: anyZone})
	}
	p.attach.queue = append(targets, p.attach.queue...)
}

// delayed handles a refusal. A member's refusal ends the round, since other joiners wait there too.
func (p *Peer) delayed(l *link, r RetryAfter) {
	a := &p.attach
	p.discard(l)
	a.link = nil
	a.next = p.now
	if l.remote.Member {
		delay := min(time.Duration(r.DelayMs)*time.Millisecond, 2*p.config.JoinSpread)
		p.endRound(max(0, delay))
	}
}

// accepted makes the other side the parent. A node that already has a parent changes only for a fresh one.
func (p *Peer) accepted(l *link, accept Accept) {
	p.attach.link = nil
	if p.parent != nil && !p.improves(l, accept) {
		p.send(l, Message{Leave: &Leave{}})
		p.discard(l)
		// It may have the confirmation of a quorum by the next round: after a split, a leader is elected meanwhile.
		p.attach.failed[l.address] = p.now.Add(p.probeMin() / 2)
		return
	}
	if former := p.parent; former != nil {
		p.send(former, Message{Leave: &Leave{}})
		p.discard(former)
		p.attach.lastParent, p.attach.lostAt = former.remote.ID, p.now
	}
	p.adopt(l, accept)
}

// improves reports whether a candidate is better than the parent: it is fresh, or it is as stale but in the own zone.
func (p *Peer) improves(l *link, accept Accept) bool {
	fresh := accept.Fresh.Confirmed && time.Duration(accept.Fresh.AgeMs)*time.Millisecond < p.config.StaleAfter
	homeward := l.remote.Zone == p.config.Zone && p.parent.remote.Zone != p.config.Zone
	return fresh || homeward && p.stale()
}

func (p *Peer) adopt(l *link, accept Accept) {
	invariant.Check(l.remote.Order().Before(p.order), invariant.Internal, "parent is not of lower order",
		map[string]any{"node": p.config.ID, "parent": l.remote.ID})
	asked := l.opened
	l.role = roleParent
	p.parent = l
	p.stats.ParentChanges++
	p.holdCounts(l.remote.ID)
	p.resetAttach()
	p.learnMembers(accept.Members)
	p.content.fetchTarget, p.content.fetchAt = bundle.Digest{}, p.now.Add(fetchTimeout)
	if accept.Approved != nil {
		p.learnApproval(*accept.Approved)
	}
	p.confirm(asked, accept.Fresh)
	p.announceParent(l)
	p.poll(l)
	p.sendCrashes(l)
	p.tryActivate()
}

func (p *Peer) resetAttach() {
	a := &p.attach
	a.queue, a.round, a.hops = nil, 0, 0
	a.probePause = p.probeMin()
	a.probeAt = p.now
	p.seekHomeSoon()
}

// seekHomeSoon lets a node that follows another zone look for a parent in its own one without a long pause. The pauses
// after that grow to Config.HomeProbe.
func (p *Peer) seekHomeSoon() {
	a := &p.attach
	a.homePause = p.config.JoinSpread
	a.homeAt = p.now.Add(p.random(a.homePause))
}

// parentLost starts the search for another parent.
func (p *Peer) parentLost() {
	a := &p.attach
	former := p.parent
	p.parent = nil
	a.lastParent, a.lostAt = former.remote.ID, p.now
	a.failed[former.address] = p.now.Add(formerPause)
	a.queue = nil
	a.next = p.now.Add(p.random(orphanJitter))
}

// evicted handles a parent that made room for a node of lower order.
func (p *Peer) evicted(l *link, addresses []string) {
	p.drop(l)
	delete(p.attach.failed, l.address)
	p.abandonAttempt()
	p.startRound(p.roundTargets())
	p.queueRedirects(addresses, true)
	p.attach.next = p.now
}

func (p *Peer) abandonAttempt() {
	if l := p.attach.link; l != nil {
		p.discard(l)
		p.attach.link = nil
	}
}

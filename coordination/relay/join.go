package relay

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
)

// tokenBucket limits the rate of events to rate, and to burst at once.
type tokenBucket struct {
	rate      float64 // per second
	burst     float64
	tokens    float64
	updatedAt time.Time
}

func newTokenBucket(now time.Time, rate float64, burst int) tokenBucket {
	return tokenBucket{rate: rate, burst: float64(burst), tokens: float64(burst), updatedAt: now}
}

// take takes a token; false if there is none.
func (b *tokenBucket) take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.updatedAt).Seconds()*b.rate)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// The delay in a RetryAfter is minRetryDelay plus up to retryDelayJitter at random.
const (
	minRetryDelay    = 300 * time.Millisecond
	retryDelayJitter = 700 * time.Millisecond
)

// handleJoin decides about a Join: the joiner is accepted, redirected to other peers, or told to try again later.
func (p *Peer) handleJoin(l *link, join Join) {
	if !p.replaceOldLink(l) {
		p.closeLink(l)
		return
	}
	if addresses, redirect := p.redirectAddresses(l, join); redirect {
		p.redirectJoin(l, addresses)
		return
	}
	if !p.config.Member && p.parent == nil {
		p.delayJoin(l)
		return
	}
	group, limit := p.siblings(l.remote.Zone)
	lower := lowerThan(group, l.remote.Order())
	switch {
	case len(group) < limit && p.takeJoinToken():
		p.acceptJoin(l, join)
	case len(lower) > 0:
		p.redirectJoin(l, p.randomAddresses(lower))
	case len(group) >= limit && p.takeJoinToken():
		p.evictChild(group, l)
		p.acceptJoin(l, join)
	default:
		p.delayJoin(l)
	}
}

// replaceOldLink closes an older link to the same child. It returns false if the new link belongs to an older
// incarnation of the child than the link that exists.
func (p *Peer) replaceOldLink(l *link) bool {
	for _, other := range p.children() {
		if other.remote.ID != l.remote.ID {
			continue
		}
		if other.remote.Incarnation > l.remote.Incarnation {
			return false
		}
		p.dropLink(other)
	}
	return true
}

// redirectAddresses reports whether the joiner has to follow another peer, and returns addresses that it may try. Members
// and joiners of lower order than this peer are always redirected. A joiner of another zone is redirected by a member to
// the members of the joiner's zone, unless it has set AnyZone, and by a node to nodes of that zone or to members. A control
// process outside the group redirects each joiner to the members that it knows.
func (p *Peer) redirectAddresses(l *link, join Join) ([]string, bool) {
	if p.isOutside() {
		return p.memberAddresses(l.remote.Zone), true
	}
	if l.remote.Member || !p.order.Before(l.remote.Order()) {
		return p.addressesAbove(l.remote.Zone), true
	}
	if l.remote.Zone == p.config.Zone {
		return nil, false
	}
	if p.config.Member {
		home := p.memberAddresses(l.remote.Zone)
		return home, len(home) > 0 && !join.AnyZone
	}
	addresses := p.nodeAddresses(l.remote)
	if len(addresses) == 0 {
		addresses = p.memberAddresses(l.remote.Zone)
	}
	return addresses, len(addresses) > 0
}

// addressesAbove returns the addresses that a joiner of lower order than this peer should try: the parent and members.
func (p *Peer) addressesAbove(zone string) []string {
	addresses := p.memberAddresses(zone)
	if p.parent != nil {
		addresses = append([]string{p.parent.remote.Address}, addresses...)
	}
	return addresses
}

// memberAddresses returns the addresses of the members of a zone. If there are none, a member returns none, and any other
// peer those of all members.
func (p *Peer) memberAddresses(zone string) []string {
	var home, all []string
	for _, m := range p.members {
		if m.ID == p.config.ID {
			continue
		}
		if m.Zone == zone {
			home = append(home, m.Address)
		}
		all = append(all, m.Address)
	}
	if len(home) > 0 || p.config.Member && !p.isOutside() {
		return home
	}
	return all
}

// nodeAddresses returns the addresses of a few nodes of the joiner's zone that are of lower order than the joiner.
func (p *Peer) nodeAddresses(joiner Hello) []string {
	var addresses []string
	for _, r := range p.propagation.table.InZone(joiner.Zone) {
		order := Order{Incarnation: r.Incarnation, ID: r.ID}
		if order.Before(joiner.Order()) && !r.Expiring() && r.Address != "" {
			addresses = append(addresses, r.Address)
		}
	}
	p.shuffle(addresses)
	return addresses[:min(len(addresses), maxRedirectTargets)]
}

// siblings returns the children that a joiner of a zone is counted with, and the limit of their number. A node has one
// limit for all children, a member one for each zone.
func (p *Peer) siblings(zone string) ([]*link, int) {
	if !p.config.Member {
		return p.children(), p.config.FanOut
	}
	var group []*link
	for _, child := range p.children() {
		if child.remote.Zone == zone {
			group = append(group, child)
		}
	}
	if zone == p.config.Zone {
		return group, p.config.ZoneFollowers
	}
	return group, p.config.RemoteFollowers
}

// takeJoinToken reports whether a joiner may be accepted now. Only members limit the rate of joins.
func (p *Peer) takeJoinToken() bool { return !p.config.Member || p.joinLimiter.take(p.now) }

// lowerThan returns the links to peers of lower order than the given one.
func lowerThan(group []*link, order Order) []*link {
	var lower []*link
	for _, child := range group {
		if child.remote.Order().Before(order) {
			lower = append(lower, child)
		}
	}
	return lower
}

// randomAddresses returns the addresses of a few of the linked peers.
func (p *Peer) randomAddresses(links []*link) []string {
	addresses := make([]string, 0, len(links))
	for _, l := range links {
		addresses = append(addresses, l.remote.Address)
	}
	p.shuffle(addresses)
	return addresses[:min(len(addresses), maxRedirectTargets)]
}

func (p *Peer) acceptJoin(l *link, join Join) {
	l.role = roleChild
	l.remoteBundles = join.Bundles[:min(len(join.Bundles), maxListedBundles)]
	l.joinRecords = join.Records
	p.stats.JoinsAccepted++
	delete(p.propagation.formerChildren, l.remote.ID)
	p.counts.changed = true
	p.send(l, Message{Accept: &Accept{
		Freshness: p.currentFreshness(), Approved: p.bundles.approved, Members: p.members,
		Leaving: p.leavingUpstream(l.remote), Rollouts: p.Rollouts(),
	}})
}

// leavingUpstream returns the upstream that said to an earlier process of a node that it is about to stop, or nil. The
// record of the earlier process is in the table until the present one has joined.
func (p *Peer) leavingUpstream(node Hello) *endpoints.UpstreamProcess {
	r, ok := p.propagation.table.Get(node.ID)
	if !ok || r.Incarnation >= node.Incarnation {
		return nil
	}
	return r.Leaving
}

func (p *Peer) redirectJoin(l *link, addresses []string) {
	p.stats.JoinsRedirected++
	p.send(l, Message{Redirect: &Redirect{Addresses: addresses}})
	p.closeLink(l)
}

func (p *Peer) delayJoin(l *link) {
	p.stats.JoinsDelayed++
	delay := minRetryDelay + p.random(retryDelayJitter)
	p.send(l, Message{RetryAfter: &RetryAfter{DelayMs: delay.Milliseconds()}})
	p.closeLink(l)
}

// evictChild makes room for a joiner that is of lower order than all children in the group. The child of highest order
// is redirected to the joiner and its siblings. Since each eviction lowers the order of the children, evictions do not
// go on for ever.
func (p *Peer) evictChild(group []*link, joiner *link) {
	last := group[0]
	for _, child := range group[1:] {
		if last.remote.Order().Before(child.remote.Order()) {
			last = child
		}
	}
	siblings := p.randomAddresses(lowerThan(group, last.remote.Order()))
	siblings = append(siblings, joiner.remote.Address)
	p.send(last, Message{Redirect: &Redirect{Addresses: siblings}})
	p.dropLink(last)
}

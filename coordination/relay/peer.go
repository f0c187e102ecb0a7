package relay

import (
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
)

// Peer is the state machine that distributes configuration in one node or control member.
type Peer struct {
	config  Config
	order   Order
	started time.Time
	now     time.Time
	outputs []Output
	stats   Stats

	links         map[LinkID]*link
	sortedLinks   []*link // by ID, so that runs with the same seed do the same
	dialCount     uint64
	parent        *link
	search        parentSearch
	members       []MemberInfo
	unlinkedSince map[string]time.Time // since when there is no link to a member
	nextRedial    map[string]time.Time // earliest time of the next dial to a member
	orphanScans   int                  // number of scans by suspectOrphans
	joinLimiter   tokenBucket

	freshness   freshness
	bundles     bundleState
	counts      countReport
	propagation propagation
	rollouts    map[string]release.Rollout // by service
}

// New returns the peer of a process that has just started.
func New(now time.Time, c Config) *Peer {
	c = c.withDefaults()
	p := &Peer{
		config:        c,
		order:         Order{Member: c.Member, Incarnation: c.Incarnation, ID: c.ID},
		started:       now,
		now:           now,
		links:         make(map[LinkID]*link),
		unlinkedSince: make(map[string]time.Time),
		nextRedial:    make(map[string]time.Time),
		joinLimiter:   newTokenBucket(now, c.JoinsPerSecond, c.JoinBurst),
		bundles:       newBundleState(),
		propagation:   newPropagation(now, c),
		rollouts:      make(map[string]release.Rollout),
	}
	p.search = newParentSearch(now.Add(p.random(p.config.JoinJitter)))
	p.search.probeInterval = p.minProbeInterval()
	if !c.Member {
		p.Announce(now, endpoints.Record{State: endpoints.Serving, Address: c.Address})
	}
	return p
}

// Hello returns what the transport sends to the other side when it opens a link.
func (p *Peer) Hello() Hello {
	c := p.config
	return Hello{ID: c.ID, Incarnation: c.Incarnation, Zone: c.Zone, Address: c.Address, Member: c.Member}
}

// Tick performs the work that is due at a time. The caller calls it about every 50 ms.
func (p *Peer) Tick(now time.Time) {
	p.advance(now)
	p.checkLinks()
	if p.config.Member {
		p.dialMembers()
	} else {
		p.searchForParent()
	}
	p.pollAll()
	p.tryActivate()
	p.suspectFormerChildren()
	p.suspectOrphans()
	p.flushRecords()
	p.flushCounts()
}

// advance sets the time and removes expired endpoint records.
func (p *Peer) advance(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
	if removed := p.propagation.table.Advance(p.now); len(removed) > 0 {
		ids := make([]string, 0, len(removed))
		for _, record := range removed {
			ids = append(ids, record.ID)
		}
		p.emit(EndpointsChanged{IDs: ids})
		p.reannounceIfRemoved(removed)
	}
}

// Outputs returns the outputs since the last call; the caller carries them out in order.
func (p *Peer) Outputs() []Output {
	outputs := p.outputs
	p.outputs = nil
	return outputs
}

// Table returns the endpoint table. The caller may only read it, on the goroutine that drives the peer.
func (p *Peer) Table() *endpoints.Table { return p.propagation.table }

// SetSource tells a member that its registry changed. The store holds the registry's bundles and remains the caller's.
func (p *Peer) SetSource(now time.Time, s Source, store *bundle.Store) {
	p.advance(now)
	p.setSource(s, store)
}

// SetConfirmed tells a member how long ago a quorum confirmed that its registry was up to date. The last SetSource must
// include everything that was committed at that time.
func (p *Peer) SetConfirmed(now time.Time, age time.Duration) {
	p.advance(now)
	p.freshness.update(p.now, p.latestVersion(), p.now, age)
}

// SetJoinAddresses replaces Config.JoinAddresses.
func (p *Peer) SetJoinAddresses(addresses []string) { p.config.JoinAddresses = addresses }

// SetMembers tells a member which control members exist, including itself. The member dials those with a smaller ID.
func (p *Peer) SetMembers(now time.Time, members []MemberInfo) {
	p.advance(now)
	p.setMembers(members)
}

func (p *Peer) emit(o Output) { p.outputs = append(p.outputs, o) }

func (p *Peer) send(l *link, m Message) { p.emit(Send{Link: l.id, Message: m}) }

// random returns a duration in [0, limit).
func (p *Peer) random(limit time.Duration) time.Duration {
	return time.Duration(p.config.Rand.Int63n(int64(limit)))
}

// linksOf returns the links that have one of the roles, in the order of their IDs.
func (p *Peer) linksOf(roles ...role) []*link {
	var found []*link
	for _, l := range p.sortedLinks {
		if slices.Contains(roles, l.role) {
			found = append(found, l)
		}
	}
	return found
}

func (p *Peer) addLink(l *link) {
	p.links[l.id] = l
	i, _ := slices.BinarySearchFunc(p.sortedLinks, l.id, (*link).compareID)
	p.sortedLinks = slices.Insert(p.sortedLinks, i, l)
}

func (p *Peer) removeLink(l *link) {
	delete(p.links, l.id)
	i, ok := slices.BinarySearchFunc(p.sortedLinks, l.id, (*link).compareID)
	if ok {
		p.sortedLinks = slices.Delete(p.sortedLinks, i, i+1)
	}
}

func (p *Peer) children() []*link { return p.linksOf(roleChild) }

// Status returns the peer's view of the distribution.
func (p *Peer) Status() Status {
	s := Status{
		ID: p.config.ID, Zone: p.config.Zone, Member: p.config.Member,
		InForce: p.bundles.inForce.Version, Stopped: p.bundles.stopped(), Refused: p.bundles.refusal(),
		Confirmed: p.freshness.confirmed, ConfirmedVersion: p.freshness.version, Age: p.freshness.ageAt(p.now),
		Stale: p.hasStaleParent(), Depth: p.freshness.depth, Subtree: p.subtree(), Total: p.total(), Stats: p.stats,
	}
	if a := p.bundles.approved; a != nil {
		approval := a.Approval
		s.Approved = &approval
	}
	if p.parent != nil {
		remote := p.parent.remote
		s.Parent, s.ParentIncarnation, s.ParentZone = remote.ID, remote.Incarnation, remote.Zone
	}
	for _, child := range p.children() {
		s.Children = append(s.Children, child.remote.ID)
	}
	return s
}

func (c Config) withDefaults() Config {
	setDefault(&c.FanOut, DefaultFanOut)
	setDefault(&c.ZoneFollowers, DefaultZoneFollowers)
	setDefault(&c.RemoteFollowers, DefaultRemoteFollowers)
	setDefault(&c.JoinsPerSecond, DefaultJoinsPerSecond)
	setDefault(&c.JoinBurst, DefaultJoinBurst)
	setDefault(&c.JoinJitter, DefaultJoinJitter)
	setDefault(&c.AttemptHeadStart, DefaultAttemptHeadStart)
	setDefault(&c.PollInterval, DefaultPollInterval)
	setDefault(&c.StaleAfter, DefaultStaleAfter)
	setDefault(&c.HomeProbeInterval, DefaultHomeProbeInterval)
	setDefault(&c.MaxProbeInterval, DefaultMaxProbeInterval)
	return c
}

func setDefault[T int | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

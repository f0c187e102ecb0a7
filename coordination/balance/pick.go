package balance

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

const (
	// probeLimit bounds the endpoints that firstAcceptable examines, besides the excluded ones.
	probeLimit = 8
	// slowStartDraws bounds how many endpoints are drawn for one that is not skipped because of its slow start.
	slowStartDraws = 4
	// leastOutstandingSample is the number of endpoints that LeastOutstanding compares.
	leastOutstandingSample = 5
	// spillTargetShare is the share of the time left until the target that the expected response time of a local
	// upstream may take. Links between zones are charged for, so that a call leaves its zone only if it would miss its
	// target.
	spillTargetShare = 0.9
	// maxErrorRateExcess is how far the error rate of a local upstream may exceed that of others before calls leave the
	// zone. A failed call has no value for the caller, so that the charge for the link matters less than for a late
	// call.
	maxErrorRateExcess = 0.15
	// crossingShare is the time, as a share of the time left until the target, that a call must save by leaving its zone.
	// A smaller share costs more bytes on the links, a larger one leaves slots idle while calls wait in another zone.
	crossingShare = 0.2
	// crossingBytes is the size of a response for which a call must save twice that time.
	crossingBytes = 64 << 10
	// maxRemoteTimeRatio is the ratio of the expected response times of a remote and the local upstream below which the
	// call goes to the remote one. It is well below 1 because load reports from other zones are older and their links
	// are charged for.
	maxRemoteTimeRatio = 0.6
)

// strictness tells which endpoints are acceptable. A less strict level is used if the stricter ones find no endpoint.
type strictness uint8

const (
	onlyHealthy   strictness = iota // neither excluded nor ejected
	allowEjected                    // not excluded
	allowExcluded                   // any that is not suspended
)

// picker selects the endpoint of one call.
type picker struct {
	config  *Config
	service *service
	request *Request
	now     time.Duration // offset from the epoch of the snapshot
	level   strictness
	// turns counts the turns of round robin that Explain looks ahead in each group; nil takes them.
	turns map[*group]uint64
}

// pick returns the selected endpoint, or nil if there is none.
func (p *picker) pick() *endpoint {
	if p.request.MeetTargetOnly && p.request.TargetRemaining > 0 {
		p.level = onlyHealthy
		chosen := p.better(p.pickServing(), p.pickServing())
		if chosen == nil || !p.sufficient(chosen) {
			return nil
		}
		return chosen
	}
	for _, level := range []strictness{onlyHealthy, allowEjected} {
		p.level = level
		if e := p.pickServing(); e != nil {
			return e
		}
	}
	if e := p.pickFrom(p.service.suspects); e != nil {
		return e
	}
	if p.request.Beside {
		return p.anyAcceptable()
	}
	p.level = allowExcluded
	if e := p.pickServing(); e != nil {
		return e
	}
	if e := p.pickFrom(p.service.suspects); e != nil {
		return e
	}
	return p.anyAcceptable()
}

// anyAcceptable returns the first acceptable one of all endpoints. The bounded search of firstAcceptable finds none
// where many in a row are suspended, as after the loss of a rack.
func (p *picker) anyAcceptable() *endpoint {
	if p.service.all == nil {
		return nil
	}
	for _, e := range p.service.all.endpoints {
		if p.acceptable(e) {
			return e
		}
	}
	return nil
}

// pickServing returns a serving endpoint of the preferred zones, or of any zone if those have no acceptable one.
func (p *picker) pickServing() *endpoint {
	if e := p.pickPreferred(); e != nil {
		return e
	}
	for _, zone := range p.service.zones {
		if e := p.pickFrom(zone); e != nil {
			return e
		}
	}
	return nil
}

// pickPreferred follows the zone policy of the request. By default, the call stays in the local zone unless the
// endpoint there is not sufficient and one in another zone is better.
func (p *picker) pickPreferred() *endpoint {
	if p.request.Zone == bundle.ZoneAny {
		return p.pickFrom(p.service.all)
	}
	if p.service.local == nil {
		return p.better(p.pickFrom(p.remoteZone()), p.pickFrom(p.remoteZone()))
	}
	local := p.pickFrom(p.service.local)
	if local != nil && p.request.TargetRemaining > 0 {
		return p.fasterZone(local)
	}
	if local != nil && p.sufficient(local) {
		return local
	}
	remote := p.pickFrom(p.remoteZone())
	if p.request.TargetRemaining == 0 || local == nil || remote == nil {
		return p.better(local, remote)
	}
	remoteIsFaster := p.expectedResponseTime(remote) < maxRemoteTimeRatio*p.expectedResponseTime(local)
	if remoteIsFaster || local.boundedErrorRate(p.config, p.now) > remote.boundedErrorRate(p.config, p.now)+maxErrorRateExcess {
		return remote
	}
	return local
}

// fasterZone returns the given local endpoint, or one in another zone if that is expected to answer a call with a target
// so much earlier that it is worth the bytes between the zones, or fails clearly fewer calls.
func (p *picker) fasterZone(local *endpoint) *endpoint {
	remote, other := p.pickFrom(p.remoteZone()), p.pickFrom(p.remoteZone())
	if remote == nil || other != nil && p.drawnCost(other) < p.drawnCost(remote) {
		remote = other
	}
	if remote == nil {
		return local
	}
	if p.worthCrossing(local, remote) {
		return remote
	}
	if local.boundedErrorRate(p.config, p.now) > remote.boundedErrorRate(p.config, p.now)+maxErrorRateExcess {
		return remote
	}
	return local
}

// worthCrossing reports whether a call should go to an endpoint in another zone, because the local one is expected to take
// clearly longer. A fast endpoint counts as one of mean speed: otherwise the calls of all other zones would go there, however
// many bytes that costs.
func (p *picker) worthCrossing(local, remote *endpoint) bool {
	remoteTime := p.expectedResponseTime(remote) * max(1, remote.relativeSpeed())
	return remoteTime+p.crossingCost(local) < p.expectedResponseTime(local)
}

// crossingCost returns the time, in nanoseconds, that a call must save by leaving its zone.
func (p *picker) crossingCost(e *endpoint) float64 {
	bytes := e.averages.routeResponseBytes(p.request.Route)
	return crossingShare * (1 + bytes/crossingBytes) * float64(p.request.TargetRemaining)
}

func (p *picker) expectedResponseTime(e *endpoint) float64 {
	return e.expectedResponseTime(p.config, p.now, p.request.Route)
}

// sufficient reports whether an endpoint is expected to serve the call well enough that no other zone is considered: in
// time for its target, and not with more errors than others. A call without a target needs a free slot.
func (p *picker) sufficient(e *endpoint) bool {
	if p.request.TargetRemaining == 0 {
		return e.load(p.config, p.now) <= p.config.SpillLoad
	}
	if e.boundedErrorRate(p.config, p.now) > float64(e.averages.errorRate.Load())/milli+maxErrorRateExcess {
		return false
	}
	return p.expectedResponseTime(e) <= spillTargetShare*float64(p.request.TargetRemaining)
}

// remoteZone returns a random zone other than the local one, by weight, or nil if there is none.
func (p *picker) remoteZone() *group {
	weights := p.service.remoteWeights
	if len(weights) == 0 {
		return nil
	}
	point := p.randomFraction() * weights[len(weights)-1]
	index := sort.SearchFloat64s(weights, point)
	return p.service.remote[min(index, len(weights)-1)]
}

// pickFrom returns the endpoint of a group that the policy selects, or nil if it finds no acceptable one.
func (p *picker) pickFrom(g *group) *endpoint {
	if g == nil || len(g.endpoints) == 0 {
		return nil
	}
	switch p.config.Policy {
	case RoundRobin:
		return p.drawEndpoint(g, func() uint64 { return p.turn(g) % uint64(len(g.endpoints)) })
	case LeastOutstanding:
		return p.leastOutstanding(g)
	default:
		return p.choiceOfTwo(g)
	}
}

// turn returns the turn of round robin, and takes it unless the picker only looks ahead.
func (p *picker) turn(g *group) uint64 {
	if p.turns != nil {
		p.turns[g]++
		return g.cursor.Load() + p.turns[g]
	}
	return g.cursor.Add(1)
}

func (p *picker) choiceOfTwo(g *group) *endpoint {
	count := len(g.endpoints)
	first, position := p.drawWithPosition(g, func() uint64 { return p.randomBelow(count) })
	if first == nil || count == 1 {
		return first
	}
	second, _ := p.drawWithPosition(g, func() uint64 { return (position + 1 + p.randomBelow(count-1)) % uint64(count) })
	if second != nil && p.drawnCost(second) < p.drawnCost(first) {
		return second
	}
	return first
}

// drawnCost is the cost of an endpoint that was drawn in proportion to its speed. The speed has no part in it, so that it
// does not count twice: only a latency that differs from what the speed lets expect does.
func (p *picker) drawnCost(e *endpoint) float64 { return p.cost(e) * e.relativeSpeed() }

func (p *picker) leastOutstanding(g *group) *endpoint {
	var best *endpoint
	for range min(leastOutstandingSample, len(g.endpoints)) {
		e := p.drawEndpoint(g, func() uint64 { return p.randomBelow(len(g.endpoints)) })
		if best == nil || (e != nil && e.ownInFlight.Load() < best.ownInFlight.Load()) {
			best = e
		}
	}
	return best
}

// better returns the endpoint with the lower cost. Either may be nil.
func (p *picker) better(a, b *endpoint) *endpoint {
	switch {
	case a == nil || a == b:
		return b
	case b == nil:
		return a
	}
	if p.cost(b) < p.cost(a) {
		return b
	}
	return a
}

// cost returns the expected delay in nanoseconds. The round trip between zones is part of it, unless the route spreads
// its calls over all zones.
func (p *picker) cost(e *endpoint) float64 {
	cost := e.score(p.config, p.now)
	if p.request.Zone != bundle.ZoneAny {
		cost += 2 * float64(e.delay.Load())
	}
	return cost
}

func (p *picker) drawEndpoint(g *group, start func() uint64) *endpoint {
	e, _ := p.drawWithPosition(g, start)
	return e
}

// drawWithPosition returns an acceptable endpoint and its position in the group, or nil. start returns the position at
// which the search begins. An endpoint is taken with the probability of its share of the highest capacity, and of its share
// in slow start; otherwise the search begins anew.
func (p *picker) drawWithPosition(g *group, start func() uint64) (*endpoint, uint64) {
	var e *endpoint
	var position uint64
	for range slowStartDraws {
		e, position = p.firstAcceptable(g, start())
		if e == nil {
			return nil, 0
		}
		share := e.slowStartShare(p.now, p.service.slowStart) * e.capacityShare()
		if share >= 1 || p.randomFraction() < share {
			break
		}
	}
	return e, position
}

// firstAcceptable returns the first acceptable endpoint from a position on, and its position. It examines a bounded
// number of endpoints and returns nil if none of them is acceptable.
func (p *picker) firstAcceptable(g *group, start uint64) (*endpoint, uint64) {
	count := uint64(len(g.endpoints))
	for i := range min(count, uint64(probeLimit+len(p.request.Exclude))) {
		position := (start + i) % count
		if e := g.endpoints[position]; p.acceptable(e) {
			return e, position
		}
	}
	return nil, 0
}

func (p *picker) acceptable(e *endpoint) bool { return p.obstacle(e) == NoObstacle }

// obstacle returns why an endpoint is not acceptable.
func (p *picker) obstacle(e *endpoint) Obstacle {
	switch {
	case e.suspended(p.now):
		return Suspended
	case p.level < allowExcluded && slices.Contains(p.request.Exclude, e.ID):
		return Excluded
	case p.level == onlyHealthy && e.ejected(p.now):
		return Ejected
	}
	return NoObstacle
}

// randomBelow returns a random number in [0, n).
func (p *picker) randomBelow(n int) uint64 {
	high, _ := bits.Mul64(p.request.Rand.Uint64(), uint64(n))
	return high
}

// randomFraction returns a random number in [0, 1).
func (p *picker) randomFraction() float64 { return fraction(p.request.Rand) }

func fraction(source rand.Source) float64 {
	const mantissaBits = 53
	return float64(source.Uint64()>>(64-mantissaBits)) / (1 << mantissaBits)
}

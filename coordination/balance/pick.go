package balance

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

const (
	// probeLimit bounds the endpoints that are looked at for one candidate. Excluded endpoints do not count.
	probeLimit = 8
	// slowStartDraws bounds the draws for one candidate when those drawn are in slow start.
	slowStartDraws = 4
	// leastOutstandingSample is the number of candidates that LeastOutstanding compares.
	leastOutstandingSample = 5
	// spillPatience is the part of a call's patience that the expected answer of a local upstream may take. Links between
	// zones have a price, so that a call leaves its zone only to be in time at all.
	spillPatience = 0.9
	// maxFaultExcess is by how much the part of failed calls of a local upstream may exceed that of others. A failed call
	// is worth nothing to its caller, so that the price of the link counts less than for a late one.
	maxFaultExcess = 0.15
	// spillGain is the part of the local upstream's cost that one in another zone may have: what is known of other zones
	// is older, and the way there has a price.
	spillGain = 0.6
)

// strictness tells which endpoints are acceptable. Less strict levels are tried when a stricter one yields none.
type strictness uint8

const (
	onlyHealthy   strictness = iota // neither excluded nor ejected
	allowEjected                    // not excluded
	allowExcluded                   // any
)

// picker selects the endpoint of one call.
type picker struct {
	config  *Config
	service *service
	request *Request
	at      time.Duration
	level   strictness
}

func (p *picker) pick() *endpoint {
	if p.request.MeetTargetOnly && p.request.TargetRemaining > 0 {
		p.level = onlyHealthy
		chosen := p.better(p.pickServing(), p.pickServing())
		if chosen == nil || !p.satisfies(chosen) {
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
	if e := p.best(p.service.suspects); e != nil {
		return e
	}
	p.level = allowExcluded
	if e := p.pickServing(); e != nil {
		return e
	}
	if e := p.best(p.service.suspects); e != nil {
		return e
	}
	return p.anyAcceptable()
}

// anyAcceptable looks at all endpoints. The bounded search finds none where many in a row are suspended, as after the
// loss of a rack.
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

// pickServing returns the best candidate of the preferred zones, or of any zone if those have none.
func (p *picker) pickServing() *endpoint {
	if e := p.pickPreferred(); e != nil {
		return e
	}
	for _, zone := range p.service.zones {
		if e := p.best(zone); e != nil {
			return e
		}
	}
	return nil
}

func (p *picker) pickPreferred() *endpoint {
	if p.request.Zone == bundle.ZoneAny {
		return p.best(p.service.all)
	}
	if p.service.local == nil {
		return p.better(p.best(p.remoteZone()), p.best(p.remoteZone()))
	}
	local := p.best(p.service.local)
	if local != nil && p.satisfies(local) {
		return local
	}
	remote := p.best(p.remoteZone())
	if p.request.TargetRemaining == 0 || local == nil || remote == nil {
		return p.better(local, remote)
	}
	sooner := p.completion(remote) < spillGain*p.completion(local)
	if sooner || local.faultRate(p.config, p.at) > remote.faultRate(p.config, p.at)+maxFaultExcess {
		return remote
	}
	return local
}

func (p *picker) completion(e *endpoint) float64 {
	return e.completion(p.config, p.at, p.request.Route)
}

// satisfies reports whether a call need not leave the zone of a local upstream.
func (p *picker) satisfies(e *endpoint) bool {
	if p.request.TargetRemaining == 0 {
		return e.load(p.config, p.at) <= p.config.SpillLoad
	}
	if e.faultRate(p.config, p.at) > float64(e.averages.faults.Load())/milli+maxFaultExcess {
		return false
	}
	return p.completion(e) <= spillPatience*float64(p.request.TargetRemaining)
}

// remoteZone draws another zone by weight. It returns nil if there is none.
func (p *picker) remoteZone() *group {
	weights := p.service.remoteWeights
	if len(weights) == 0 {
		return nil
	}
	point := p.fraction() * weights[len(weights)-1]
	index := sort.SearchFloat64s(weights, point)
	return p.service.remote[min(index, len(weights)-1)]
}

// best returns the group's candidate by the policy, or nil if no endpoint is acceptable.
func (p *picker) best(g *group) *endpoint {
	if g == nil || len(g.endpoints) == 0 {
		return nil
	}
	switch p.config.Policy {
	case RoundRobin:
		return p.draw(g, func() uint64 { return g.cursor.Add(1) % uint64(len(g.endpoints)) })
	case LeastOutstanding:
		return p.leastOutstanding(g)
	default:
		return p.choiceOfTwo(g)
	}
}

func (p *picker) choiceOfTwo(g *group) *endpoint {
	count := len(g.endpoints)
	first, position := p.drawAt(g, func() uint64 { return p.below(count) })
	if first == nil || count == 1 {
		return first
	}
	second, _ := p.drawAt(g, func() uint64 { return (position + 1 + p.below(count-1)) % uint64(count) })
	return p.better(first, second)
}

func (p *picker) leastOutstanding(g *group) *endpoint {
	var best *endpoint
	for range min(leastOutstandingSample, len(g.endpoints)) {
		e := p.draw(g, func() uint64 { return p.below(len(g.endpoints)) })
		if best == nil || (e != nil && e.own.Load() < best.own.Load()) {
			best = e
		}
	}
	return best
}

// better returns the endpoint with the lower expected delay. Between zones the round trip is added; a call that may
// go to any zone is spread over all of them, so its round trip does not count.
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

func (p *picker) cost(e *endpoint) float64 {
	cost := e.score(p.config, p.at)
	if p.request.Zone != bundle.ZoneAny {
		cost += 2 * float64(e.delay.Load())
	}
	return cost
}

func (p *picker) draw(g *group, start func() uint64) *endpoint {
	e, _ := p.drawAt(g, start)
	return e
}

// drawAt returns an acceptable endpoint and its position. An endpoint in slow start is kept with the probability of
// its share.
func (p *picker) drawAt(g *group, start func() uint64) (*endpoint, uint64) {
	var e *endpoint
	var position uint64
	for range slowStartDraws {
		e, position = p.probe(g, start())
		if e == nil {
			return nil, 0
		}
		share := e.share(p.at, p.service.slowStart)
		if share >= 1 || p.fraction() < share {
			break
		}
	}
	return e, position
}

// probe returns the first acceptable endpoint from a position on, and its own position.
func (p *picker) probe(g *group, start uint64) (*endpoint, uint64) {
	count := uint64(len(g.endpoints))
	for i := range min(count, uint64(probeLimit+len(p.request.Exclude))) {
		position := (start + i) % count
		if e := g.endpoints[position]; p.acceptable(e) {
			return e, position
		}
	}
	return nil, 0
}

func (p *picker) acceptable(e *endpoint) bool {
	if e.suspended(p.at) {
		return false
	}
	if p.level < allowExcluded && slices.Contains(p.request.Exclude, e.ID) {
		return false
	}
	return p.level > onlyHealthy || !e.ejected(p.at)
}

// below returns a random number in [0, n).
func (p *picker) below(n int) uint64 {
	high, _ := bits.Mul64(p.request.Rand.Uint64(), uint64(n))
	return high
}

// fraction returns a random number in [0, 1).
func (p *picker) fraction() float64 {
	const mantissaBits = 53
	return float64(p.request.Rand.Uint64()>>(64-mantissaBits)) / (1 << mantissaBits)
}

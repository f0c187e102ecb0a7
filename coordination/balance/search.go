package balance

import (
	"sync/atomic"
	"time"
)

const (
	// minFoundShare is the share of the returned calls that must have found a free slot elsewhere for further calls to look
	// for one. Below it, most upstreams of the service are full, and the search only adds messages.
	minFoundShare = 0.1
	// searchProbeShare is the share of calls that look for a free slot even so, which shows when slots are free again.
	searchProbeShare = 0.1
	// foundShift sets the weight of one returned call in the share of those that found a free slot: 1/2^foundShift.
	foundShift = 5
)

// search follows how often a call that one upstream has returned finds a free slot on another one.
type search struct {
	notFound atomic.Int64 // share of the returned calls, in thousandths
}

func (s *search) observe(found bool) {
	sample := int64(milli)
	if found {
		sample = 0
	}
	old := s.notFound.Load()
	s.notFound.Store(old + (sample-old)>>foundShift)
}

func (s *search) worthwhile() bool { return 1-float64(s.notFound.Load())/milli >= minFoundShare }

// MayReturn reports whether an upstream without a free slot should return a call, so that it can start elsewhere. It
// answers uneven load: with reports that are older than a service time, calls wait at one upstream while others have free
// slots. Where no other in the zone has, calls wait at the first.
func (b *Balancer) MayReturn(r Request) bool {
	s := b.snapshot.Load()
	if s == nil || s.services[r.Service] == nil {
		return false
	}
	service := s.services[r.Service]
	if service.local == nil || len(service.local.endpoints) < 2 {
		return false
	}
	return service.averages.search.worthwhile() || fraction(b.source(r)) < searchProbeShare
}

// ReturnEnded records whether a call that was returned has found a free slot on another upstream.
func (b *Balancer) ReturnEnded(serviceName string, found bool) {
	if s := b.snapshot.Load(); s != nil && s.services[serviceName] != nil {
		s.services[serviceName].averages.search.observe(found)
	}
}

// Candidate is an upstream that has returned a call, and the load that it reported with that.
type Candidate struct {
	Target Target
	Load   Load
}

// PickNext selects the upstream for a call that the candidates have returned: one in the zone that has not been asked, or one
// in another zone if the candidates would serve it so late that it is worth the bytes, or the candidate that is expected to
// respond first. It reports whether the upstream has not been asked yet. As with Pick, the call counts as in flight until
// Done.
func (b *Balancer) PickNext(now time.Time, r Request, returnedBy []Candidate, mayAsk bool) (next Target, asked bool) {
	earliest, expected := earliestOf(r.Route, returnedBy)
	if mayAsk {
		if e := b.notAsked(now, r, expected); e != nil {
			e.ownInFlight.Add(1)
			return e.target(), false
		}
	}
	earliest.endpoint.ownInFlight.Add(1)
	return earliest, true
}

// notAsked returns an upstream that has not been asked and is worth asking, or nil.
func (b *Balancer) notAsked(now time.Time, r Request, expected float64) *endpoint {
	s := b.snapshot.Load()
	whole, ok := s.services[r.Service]
	if !ok {
		return nil
	}
	service := whole.forReturned()
	r.Rand = b.source(r)
	p := picker{config: &b.config, service: service, request: &r, now: now.Sub(s.epoch)}
	if e := p.pickFrom(service.local); e != nil {
		return e
	}
	remote := p.better(p.pickFrom(p.remoteZone()), p.pickFrom(p.remoteZone()))
	if remote == nil || p.expectedResponseTime(remote)+p.crossingCost(remote) >= expected {
		return nil
	}
	return remote
}

// earliestOf returns the candidate that is expected to respond first by its report, which is as old as the way back, and the
// time in nanoseconds that it takes.
func earliestOf(route string, candidates []Candidate) (best Target, expected float64) {
	for i, c := range candidates {
		if t := c.expectedResponseTime(route); i == 0 || t < expected {
			best, expected = c.Target, t
		}
	}
	return best, expected
}

// expectedResponseTime returns the time in nanoseconds for the calls ahead and this one, by the load that was reported.
func (c Candidate) expectedResponseTime(route string) float64 {
	e := c.Target.endpoint
	slots := float64(max(1, c.Load.Slots))
	ahead := max(0, float64(c.Load.InFlight+c.Load.Queued+1)-slots)
	mean := float64(time.Duration(c.Load.LatencyMicros) * time.Microsecond)
	slowdown := max(1, float64(c.Load.Slowdown)/percent)
	service := e.averages.routeServiceTime(route) / e.relativeSpeed()
	return slowdown*(ahead*mean/slots+service) + 2*float64(e.delay.Load())
}

package balance

import "sync/atomic"

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
// slots. Where no other has, calls wait at the first.
func (b *Balancer) MayReturn(r Request) bool {
	s := b.snapshot.Load()
	if s == nil || s.services[r.Service] == nil {
		return false
	}
	service := s.services[r.Service]
	if len(service.all.endpoints) < 2 {
		return false
	}
	return service.averages.search.worthwhile() || fraction(r.Rand) < searchProbeShare
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

// PickEarliest selects the candidate that is expected to respond first by its report, which is as old as the way back.
// As with Pick, the call counts as in flight until Done.
func (b *Balancer) PickEarliest(route string, candidates []Candidate) Target {
	best, bestTime := candidates[0].Target, 0.0
	for i, c := range candidates {
		expected := c.expectedResponseTime(route)
		if i == 0 || expected < bestTime {
			best, bestTime = c.Target, expected
		}
	}
	best.endpoint.ownInFlight.Add(1)
	return best
}

// expectedResponseTime returns the time in nanoseconds for the calls ahead and this one, by the load that was reported.
func (c Candidate) expectedResponseTime(route string) float64 {
	e := c.Target.endpoint
	slots := float64(max(1, c.Load.Slots))
	ahead := max(0, float64(c.Load.InFlight+c.Load.Queued+1)-slots)
	mean := float64(c.Load.LatencyMicros) * 1000
	slowdown := max(1, float64(c.Load.Slowdown)/100)
	service := e.averages.routeServiceTime(route) / e.relativeSpeed()
	return slowdown*(ahead*mean/slots+service) + 2*float64(e.delay.Load())
}

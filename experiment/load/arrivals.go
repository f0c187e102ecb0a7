package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// arrival is a call that callers make at an offset from the start of the load. crash marks a call that crashes its
// upstream; nestDepth is how many levels of nested calls it makes; its caller cancels it after cancelAfter, if not 0.
type arrival struct {
	offset      time.Duration
	route       Route
	crash       bool
	nestDepth   int
	cancelAfter time.Duration
}

// stream is a Poisson process of equal arrivals: the gaps between them are exponentially distributed. rates holds its
// arrivals per second in each phase, next the offset of its next arrival, or -1 after the last.
type stream struct {
	rates    []float64
	next     time.Duration
	template arrival
	rng      *rand.Rand
}

// arrivals merges the arrivals of all streams in order of time. phaseEnds holds the offset at which each phase ends.
type arrivals struct {
	phaseEnds  []time.Duration
	streams    []*stream
	cancelRate float64
}

// newArrivals returns the arrivals of a load. Each stream has its own random numbers, so that the rate of one does not
// change the arrivals of the others. Crashing and nested calls are lookups of the first service that has any.
func newArrivals(o Options) *arrivals {
	a := &arrivals{cancelRate: o.CancelRate}
	var end time.Duration
	for _, phase := range o.Phases {
		end += phase.Duration
		a.phaseEnds = append(a.phaseEnds, end)
	}
	for _, route := range routesOf(o.Phases) {
		s := a.addStream(o.Seed, arrival{route: route})
		for _, phase := range o.Phases {
			s.rates = append(s.rates, phase.Rates[route])
		}
	}
	for _, route := range routesOf(o.Phases) {
		if route.Class != bundle.ClassLookup {
			continue
		}
		a.addConstantRate(o, o.CrashRate, arrival{route: route, crash: true})
		a.addConstantRate(o, o.NestRate, arrival{route: route, nestDepth: o.NestDepth - 1})
		break
	}
	for _, s := range a.streams {
		a.advance(s)
	}
	return a
}

func (a *arrivals) addStream(seed int64, template arrival) *stream {
	s := &stream{template: template, rng: rand.New(rand.NewPCG(uint64(seed), uint64(len(a.streams))))}
	a.streams = append(a.streams, s)
	return s
}

// addConstantRate adds a stream with the same rate in all phases.
func (a *arrivals) addConstantRate(o Options, rate float64, template arrival) {
	s := a.addStream(o.Seed, template)
	for range o.Phases {
		s.rates = append(s.rates, rate)
	}
}

// routesOf returns the distinct routes of all phases, sorted by service and class.
func routesOf(phases []Phase) []Route {
	seen := make(map[Route]bool)
	for _, phase := range phases {
		for route := range phase.Rates {
			seen[route] = true
		}
	}
	routes := make([]Route, 0, len(seen))
	for route := range seen {
		routes = append(routes, route)
	}
	slices.SortFunc(routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return routes
}

// advance moves a stream to its next arrival. A gap that crosses into another phase is drawn again from the start
// of that phase; this keeps the distribution, because the exponential distribution is memoryless.
func (a *arrivals) advance(s *stream) {
	for i, end := range a.phaseEnds {
		if s.next >= end {
			continue
		}
		if s.rates[i] > 0 {
			gap := time.Duration(s.rng.ExpFloat64() / s.rates[i] * float64(time.Second))
			if s.next+gap < end {
				s.next += gap
				return
			}
		}
		s.next = end
	}
	s.next = -1
}

// pop removes and returns the earliest arrival, or returns false after the last.
func (a *arrivals) pop() (arrival, bool) {
	var earliest *stream
	for _, s := range a.streams {
		if s.next >= 0 && (earliest == nil || s.next < earliest.next) {
			earliest = s
		}
	}
	if earliest == nil {
		return arrival{}, false
	}
	result := earliest.template
	result.offset = earliest.next
	if earliest.rng.Float64() < a.cancelRate {
		result.cancelAfter = time.Duration(earliest.rng.ExpFloat64() * float64(meanCancelDelay))
	}
	a.advance(earliest)
	return result, true
}

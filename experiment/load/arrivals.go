package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// arrival is a call that is due at an offset from the start of the load.
type arrival struct {
	at    time.Duration
	route Route
	crash bool
	nest  int
	left  time.Duration
}

// stream is a source of arrivals with exponential gaps.
type stream struct {
	rates []float64
	next  time.Duration
	proto arrival
	rng   *rand.Rand
}

// arrivals yields the arrivals of all streams in order.
type arrivals struct {
	ends    []time.Duration
	streams []*stream
	leave   float64
}

// newArrivals has one generator per stream, so that the rate of one stream does not change the others.
func newArrivals(o Options) *arrivals {
	a := &arrivals{leave: o.CancelRate}
	var end time.Duration
	for _, phase := range o.Phases {
		end += phase.Duration
		a.ends = append(a.ends, end)
	}
	for _, route := range routesOf(o.Phases) {
		s := a.add(o.Seed, arrival{route: route})
		for _, phase := range o.Phases {
			s.rates = append(s.rates, phase.Rates[route])
		}
	}
	for _, route := range routesOf(o.Phases) {
		if route.Class != bundle.ClassLookup {
			continue
		}
		a.addConstant(o, o.CrashRate, arrival{route: route, crash: true})
		a.addConstant(o, o.NestRate, arrival{route: route, nest: o.NestDepth - 1})
		break
	}
	for _, s := range a.streams {
		a.advance(s)
	}
	return a
}

func (a *arrivals) add(seed int64, proto arrival) *stream {
	s := &stream{proto: proto, rng: rand.New(rand.NewPCG(uint64(seed), uint64(len(a.streams))))}
	a.streams = append(a.streams, s)
	return s
}

func (a *arrivals) addConstant(o Options, rate float64, proto arrival) {
	s := a.add(o.Seed, proto)
	for range o.Phases {
		s.rates = append(s.rates, rate)
	}
}

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

// advance moves a stream to its next arrival. A gap that crosses into another phase is drawn again from the border,
// which is exact because exponential gaps have no memory.
func (a *arrivals) advance(s *stream) {
	for i, end := range a.ends {
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

// pop returns the earliest arrival, or false after the last.
func (a *arrivals) pop() (arrival, bool) {
	var first *stream
	for _, s := range a.streams {
		if s.next >= 0 && (first == nil || s.next < first.next) {
			first = s
		}
	}
	if first == nil {
		return arrival{}, false
	}
	result := first.proto
	result.at = first.next
	if first.rng.Float64() < a.leave {
		result.left = time.Duration(first.rng.ExpFloat64() * float64(meanStay))
	}
	a.advance(first)
	return result, true
}

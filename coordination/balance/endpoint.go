package balance

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// averageShift sets the weight of a sample in the running averages: 1/2^averageShift.
	averageShift = 3
	// milli is the scale of loads and error rates, which are kept as integers so that they can be atomic.
	milli = 1000
	// percent is the scale of speeds.
	percent = 100
	// latencyFloorDivisor bounds the expected latency of an upstream to at least a quarter of the average of its
	// service. An upstream that responds with errors at once would otherwise win every comparison.
	latencyFloorDivisor = 4
	// failureLatencyFactor is the latency, in averages of the service, that a failed call counts with at least.
	failureLatencyFactor = 2
	// reportWeight is the weight of a load report against the average of the service. With full weight, the many
	// callers that have the same old report would all select the same upstream: with reports that lag by 500 ms, that
	// raised the p99 from 35 to 143 ms (docs/traffic.md).
	reportWeight = 0.5
	// initialLatency is used until a service has a first sample.
	initialLatency = 5 * time.Millisecond
	// minSlowStartShare leaves a new upstream a few calls, so that it warms up.
	minSlowStartShare = 0.1
	// maxRoutes bounds the number of routes of a service with a separate average of the service time.
	maxRoutes = 256
	// maxSlowness bounds the ratio of an upstream's latency to the average of its service; latencyFloorDivisor is the
	// bound for faster ones.
	maxSlowness = 4
	// capacityDecayShift sets how fast the highest capacity falls: by 1/2^capacityDecayShift with each report.
	capacityDecayShift = 10
	// steadySampleCount is the number of calls over which steadyTime averages.
	steadySampleCount = 256
	// minSteadySamples is the number of calls from which on the long average is used.
	minSteadySamples = 16
	// minSpeed and maxSpeed bound a reported speed, in percent, so that a wrong one does not attract or repel all calls.
	minSpeed = 20
	maxSpeed = 400
	// maxErrorRate bounds the error rate that counts. At this rate an upstream's score is four times its expected
	// delay.
	maxErrorRate = 0.75
	// errorLifetimeFactor is the ratio of the lifetime of an error rate to that of a load report. It is longer because
	// upstreams with errors get few calls.
	errorLifetimeFactor = 2
	// maxEjectDoublings bounds the shift in the computation of the ejection time.
	maxEjectDoublings = 16
)

// averages holds the running averages of one service. They are used for endpoints without recent reports.
type averages struct {
	latency           atomic.Int64 // nanoseconds
	otherCallsPerSlot atomic.Int64 // calls of other nodes per slot, in thousandths
	errorRate         atomic.Int64 // share of failed calls, in thousandths
	// routes holds the averages of each route, as *routeAverages by name: short calls of one route and long ones of
	// another run on the same upstreams. Routes beyond maxRoutes have no entry.
	routes     sync.Map
	routeCount atomic.Int64
	// maxCapacity is about the highest capacity of an endpoint, in slots of mean speed, in thousandths.
	maxCapacity atomic.Int64
	search      search
}

// routeAverages holds the running averages of one route.
type routeAverages struct {
	serviceTime   atomic.Int64 // nanoseconds
	responseBytes atomic.Int64
	// steadyTime averages the service time over more calls, and only over those of other nodes' upstreams: speeds are
	// measured against it.
	steadyTime    atomic.Int64 // nanoseconds
	steadySamples atomic.Int64
}

// addSteadyTime adds a service time to the long average.
func (r *routeAverages) addSteadyTime(sample int64) {
	weight := min(r.steadySamples.Add(1), steadySampleCount)
	old := r.steadyTime.Load()
	r.steadyTime.Store(old + (sample-old)/weight)
}

// observeRoute adds one call to the averages of its route. own is set if it ran on the upstream beside this process.
func (a *averages) observeRoute(r Report, own bool) {
	if r.Route == "" || r.ServiceTime <= 0 {
		return
	}
	known, ok := a.routes.Load(r.Route)
	if !ok {
		if a.routeCount.Add(1) > maxRoutes {
			return
		}
		known, _ = a.routes.LoadOrStore(r.Route, new(routeAverages))
	}
	route := known.(*routeAverages)
	addSample(&route.serviceTime, int64(r.ServiceTime))
	if !own {
		route.addSteadyTime(int64(r.ServiceTime))
	}
	if r.ResponseBytes > 0 {
		addSample(&route.responseBytes, r.ResponseBytes)
	}
}

// routeServiceTime returns the average service time of a route in nanoseconds, or 0 if it is not known.
func (a *averages) routeServiceTime(name string) float64 {
	if route, ok := a.routes.Load(name); ok {
		return float64(route.(*routeAverages).serviceTime.Load())
	}
	return 0
}

// routeResponseBytes returns the average size of a route's responses, or 0 if it is not known.
func (a *averages) routeResponseBytes(name string) float64 {
	if route, ok := a.routes.Load(name); ok {
		return float64(route.(*routeAverages).responseBytes.Load())
	}
	return 0
}

// endpoint is one incarnation of an upstream with the counters of this process. All times, here and in the parameters
// named at, are offsets from epoch, which is the same for all endpoints of a Balancer; 0 means never.
type endpoint struct {
	Endpoint
	epoch        time.Time
	servingSince time.Duration
	averages     *averages

	slots           atomic.Int64
	delay           atomic.Int64 // to the zone of the upstream, one way, in nanoseconds
	ownInFlight     atomic.Int64 // calls of this process in flight
	otherCalls      atomic.Int64 // calls of other nodes by the load reports, in thousandths
	loadReportedAt  atomic.Int64 // last load report
	executorLoadAt  atomic.Int64 // last load report by the executor
	latency         atomic.Int64 // service time, in nanoseconds
	latencyAt       atomic.Int64
	connectFailures atomic.Int64 // in a row
	errorRate       atomic.Int64 // share of failed calls, in thousandths
	errorRateAt     atomic.Int64
	speed           atomic.Int64 // percent of the mean of the service; 0 if not known
	ejectedUntil    atomic.Int64 // because connections failed
	suspendedUntil  atomic.Int64 // because the instance does not respond
}

func newEndpoint(epoch time.Time, e Endpoint, a *averages) *endpoint {
	result := &endpoint{Endpoint: e, epoch: epoch, averages: a}
	if !e.ServingSince.IsZero() {
		result.servingSince = e.ServingSince.Sub(epoch)
	}
	return result
}

func (e *endpoint) target() Target {
	return Target{
		ID: e.ID, Incarnation: e.Incarnation, Zone: e.Zone, Service: e.Service, Address: e.Address, endpoint: e,
	}
}

// sameTarget reports whether the counters of e remain valid for a new record of the endpoint.
func (e *endpoint) sameTarget(other Endpoint) bool {
	return e.Incarnation == other.Incarnation && e.Service == other.Service &&
		e.Zone == other.Zone && e.Address == other.Address && e.Release == other.Release
}

func (e *endpoint) suspended(at time.Duration) bool { return int64(at) < e.suspendedUntil.Load() }

func (e *endpoint) ejected(at time.Duration) bool { return int64(at) < e.ejectedUntil.Load() }

// slowStartShare returns the fraction of its full share of calls that an endpoint receives; 1 after the slow start.
func (e *endpoint) slowStartShare(at, slowStart time.Duration) float64 {
	if slowStart <= 0 || e.ServingSince.IsZero() || at >= e.servingSince+slowStart {
		return 1
	}
	return max(minSlowStartShare, float64(at-e.servingSince)/float64(slowStart))
}

// relativeSpeed returns the reported speed; 1 is the mean of the service. It does not decay: an upstream that was idle is as
// fast as before.
func (e *endpoint) relativeSpeed() float64 {
	if speed := e.speed.Load(); speed != 0 {
		return float64(speed) / percent
	}
	return 1
}

// capacity returns how many slots of mean speed the endpoint has, in thousandths.
func (e *endpoint) capacity() int64 {
	return int64(float64(e.slots.Load()) * e.relativeSpeed() * milli)
}

// capacityShare returns the capacity as a share of the highest one of the service. Endpoints are drawn with this
// probability, so that each gets work in proportion to what it can do.
func (e *endpoint) capacityShare() float64 {
	highest := e.averages.maxCapacity.Load()
	if highest == 0 {
		return 1
	}
	return min(1, float64(e.capacity())/float64(highest))
}

// observeCapacity updates the highest capacity, which falls slowly when no endpoint reaches it.
func (a *averages) observeCapacity(capacity int64) {
	highest := a.maxCapacity.Load()
	a.maxCapacity.Store(max(capacity, highest-highest>>capacityDecayShift))
}

// freshness returns the weight of an observation, which decays from 1 to 0 over the lifetime.
func freshness(at time.Duration, observedAt int64, lifetime time.Duration) float64 {
	age := float64(int64(at) - observedAt)
	return min(1, max(0, 1-age/float64(lifetime)))
}

// load returns the expected number of calls per slot, including the call that needs an upstream. Calls of this process
// are counted exactly. The calls of other nodes are estimated from the load reports and the average of the service.
func (e *endpoint) load(c *Config, at time.Duration) float64 {
	slots := float64(e.slots.Load())
	otherCalls := float64(e.averages.otherCallsPerSlot.Load()) * slots
	if reportedAt := e.loadReportedAt.Load(); reportedAt != 0 {
		otherCalls += reportWeight * (float64(e.otherCalls.Load()) - otherCalls) * freshness(at, reportedAt, c.ReportLifetime)
	}
	return (float64(e.ownInFlight.Load()+1) + otherCalls/milli) / slots
}

// expectedLatency returns the expected service time of a call of any route, in nanoseconds.
func (e *endpoint) expectedLatency(c *Config, at time.Duration) float64 {
	average := float64(e.averages.latency.Load())
	if average == 0 {
		average = float64(initialLatency)
	}
	average /= e.relativeSpeed()
	latency := average
	if latencyAt := e.latencyAt.Load(); latencyAt != 0 {
		latency += (float64(e.latency.Load()) - average) * freshness(at, latencyAt, c.ReportLifetime)
	}
	return max(latency, average/latencyFloorDivisor)
}

// expectedResponseTime returns the expected time until the response to a call of a route, including the round trip, in
// nanoseconds. The call waits while each slot serves the calls before it, at the average service time of all routes;
// then it takes the service time of its own route, scaled by how slow this upstream is.
func (e *endpoint) expectedResponseTime(c *Config, at time.Duration, route string) float64 {
	latency := e.expectedLatency(c, at)
	serviceTime := latency
	if routeAverage := e.averages.routeServiceTime(route); routeAverage > 0 {
		average := cmp.Or(float64(e.averages.latency.Load()), latency)
		serviceTime = routeAverage * min(latency/average, maxSlowness)
	}
	wait := max(0, e.load(c, at)-1) * latency
	return wait + serviceTime + 2*float64(e.delay.Load())
}

// boundedErrorRate returns the recent share of failed calls, up to maxErrorRate. It decays to the average of the
// service: when all upstreams fail calls, those that were not tried recently are no better. The bound leaves an
// upstream with errors a few calls, which show when it has recovered.
func (e *endpoint) boundedErrorRate(c *Config, at time.Duration) float64 {
	average := float64(e.averages.errorRate.Load())
	rate := average
	if errorRateAt := e.errorRateAt.Load(); errorRateAt != 0 {
		rate += (float64(e.errorRate.Load()) - average) * freshness(at, errorRateAt, errorLifetimeFactor*c.ReportLifetime)
	}
	return min(maxErrorRate, rate/milli)
}

// score returns the expected delay of a call in nanoseconds, without the delay between zones. The error rate raises it
// by the expected number of retries.
func (e *endpoint) score(c *Config, at time.Duration) float64 {
	return e.load(c, at) * e.expectedLatency(c, at) / (1 - e.boundedErrorRate(c, at))
}

// observeError adds the result of one call to the error rates of the endpoint and of its service.
func (e *endpoint) observeError(at time.Duration, failed bool) {
	sample := int64(0)
	if failed {
		sample = milli
	}
	e.errorRateAt.Store(timestamp(at))
	for _, rate := range []*atomic.Int64{&e.errorRate, &e.averages.errorRate} {
		old := rate.Load()
		rate.Store(old + (sample-old)>>averageShift)
	}
}

// observe updates the counters and averages by the report on a call that ended.
func (e *endpoint) observe(c *Config, at time.Duration, r Report) {
	e.observeLoad(c, at, r)
	switch r.Outcome {
	case Completed:
		e.connectFailures.Store(0)
		e.averages.observeRoute(r, e.ID == c.ID)
		e.observeError(at, false)
		e.observeLatency(at, e.serviceTime(r))
	case Refused:
		e.connectFailures.Store(0)
		if r.Load == nil {
			e.otherCalls.Store(e.slots.Load() * milli)
			e.loadReportedAt.Store(timestamp(at))
		}
	case ErrorResponse:
		e.connectFailures.Store(0)
		e.observeError(at, true)
	case Failed:
		e.observeError(at, true)
		// The latency of a failure is not that of a response: a quick failure must not make the endpoint look fast.
		e.penalize(at, e.serviceTime(r))
	case ConnectFailed:
		e.eject(c, at)
	case Canceled:
	}
}

func (e *endpoint) observeLoad(c *Config, at time.Duration, r Report) {
	if r.Load != nil {
		e.executorLoadAt.Store(timestamp(at))
		if r.Load.Slots > 0 {
			e.slots.Store(int64(r.Load.Slots))
		}
		if r.Load.Speed > 0 {
			e.speed.Store(int64(min(maxSpeed, max(minSpeed, r.Load.Speed))))
			e.averages.observeCapacity(e.capacity())
		}
		e.observeOtherCalls(at, e.otherCallsIn(*r.Load))
		return
	}
	executorLoadAt := e.executorLoadAt.Load()
	executorLoadKnown := executorLoadAt != 0 && freshness(at, executorLoadAt, c.ReportLifetime) > 0
	if r.UpstreamLoad != nil && !executorLoadKnown {
		e.observeOtherCalls(at, e.otherCallsIn(*r.UpstreamLoad))
	}
}

// otherCallsIn returns the calls of other nodes in a reported load, in thousandths. Calls of this process are counted
// separately.
func (e *endpoint) otherCallsIn(l Load) int64 {
	return max(0, int64(l.InFlight)+int64(l.Queued)-max(0, e.ownInFlight.Load())) * milli
}

func (e *endpoint) observeOtherCalls(at time.Duration, otherCalls int64) {
	addSample(&e.otherCalls, otherCalls)
	e.loadReportedAt.Store(timestamp(at))
	addSample(&e.averages.otherCallsPerSlot, otherCalls/e.slots.Load())
}

// serviceTime returns the mean service time in the executor's load report. Without one, it returns the latency of the
// call less the round trip between zones.
func (e *endpoint) serviceTime(r Report) time.Duration {
	if r.Load != nil && r.Load.LatencyMicros > 0 {
		return time.Duration(r.Load.LatencyMicros) * time.Microsecond
	}
	return max(time.Microsecond, r.Latency-2*time.Duration(e.delay.Load()))
}

func (e *endpoint) observeLatency(at, latency time.Duration) {
	addSample(&e.latency, int64(latency))
	addSample(&e.averages.latency, int64(latency))
	e.latencyAt.Store(timestamp(at))
}

// penalize counts a failed call as a slow response of the endpoint, but not in the average of the service.
func (e *endpoint) penalize(at, latency time.Duration) {
	average := cmp.Or(e.averages.latency.Load(), int64(initialLatency))
	addSample(&e.latency, max(int64(latency), failureLatencyFactor*average))
	e.latencyAt.Store(timestamp(at))
}

// eject makes Pick avoid the endpoint for a time that doubles with each connection failure in a row. Failures during an
// ejection do not count: when an upstream crashes, all its calls in flight fail together.
func (e *endpoint) eject(c *Config, at time.Duration) {
	until := e.ejectedUntil.Load()
	if int64(at) < until {
		return
	}
	doublings := min(e.connectFailures.Load(), maxEjectDoublings)
	duration := min(c.EjectBase<<doublings, c.EjectMax)
	if e.ejectedUntil.CompareAndSwap(until, int64(at+duration)) {
		e.connectFailures.Add(1)
	}
}

// timestamp converts a time so that it is never 0, which means never.
func timestamp(at time.Duration) int64 { return max(1, int64(at)) }

// addSample adds a sample to a running average. The first sample sets it.
func addSample(average *atomic.Int64, sample int64) {
	for {
		old := average.Load()
		next := old + (sample-old)>>averageShift
		if old == 0 {
			next = sample
		}
		if average.CompareAndSwap(old, next) {
			return
		}
	}
}

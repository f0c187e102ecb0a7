package balance

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// averageShift is the weight of one sample in the averages: 1/8.
	averageShift = 3
	// milli scales loads, which are kept as integers so that they can be atomic.
	milli = 1000
	// latencyFloorDivisor bounds how attractive a low latency makes an upstream: at most 4 times the average. An
	// upstream that fails or answers nonsense at once would otherwise win every comparison.
	latencyFloorDivisor = 4
	// failureLatencyFactor makes an upstream that fails calls less attractive than the average.
	failureLatencyFactor = 2
	// reportTrust is the part of a report's difference from the average that counts. Reports are running averages and
	// count only in part because many callers that trust the same old report all go to the same upstream: with reports
	// that lag by 500 ms, full trust raised the p99 from 35 to 143 ms (docs/traffic.md).
	reportTrust = 0.5
	// initialLatency is used until a service has a first sample.
	initialLatency = 5 * time.Millisecond
	// minSlowStartShare keeps a few calls on a new upstream, so that it warms up.
	minSlowStartShare = 0.1
	// maxRoutes bounds the routes of a service with an average of their own.
	maxRoutes = 256
	// maxSlowness bounds how much slower than the average of its service an upstream is taken to be;
	// latencyFloorDivisor bounds how much faster.
	maxSlowness = 4
	// maxFaultRate bounds the part of failed calls that counts: such an upstream costs four times its delay.
	maxFaultRate = 0.75
	// faultLifetimes is how much longer than a load report a fault is remembered: faulty upstreams get few calls.
	faultLifetimes = 2
	// maxEjectDoublings bounds the shift in the ejection time.
	maxEjectDoublings = 16
)

// averages holds the running averages of one service. They fill in for endpoints without recent reports.
type averages struct {
	latency atomic.Int64 // nanoseconds
	others  atomic.Int64 // calls of other nodes per slot, in thousandths
	faults  atomic.Int64 // part of the calls that upstreams failed, in thousandths
	// routes holds the service time of each route in nanoseconds, as *atomic.Int64: short calls of one route share their
	// upstreams with long ones of another. Routes beyond maxRoutes are not told apart.
	routes     sync.Map
	routeCount atomic.Int64
}

// observeRoute takes in the service time of one call.
func (a *averages) observeRoute(name string, took time.Duration) {
	if name == "" || took <= 0 {
		return
	}
	known, ok := a.routes.Load(name)
	if !ok {
		if a.routeCount.Add(1) > maxRoutes {
			return
		}
		known, _ = a.routes.LoadOrStore(name, new(atomic.Int64))
	}
	addSample(known.(*atomic.Int64), int64(took))
}

// route returns the service time of a route, or 0 if it is not known.
func (a *averages) route(name string) float64 {
	known, ok := a.routes.Load(name)
	if !ok {
		return 0
	}
	return float64(known.(*atomic.Int64).Load())
}

// endpoint is one incarnation of an upstream with the counters of this process. Times are offsets from epoch.
type endpoint struct {
	Endpoint
	epoch    time.Time
	since    time.Duration
	averages *averages

	slots        atomic.Int64
	delay        atomic.Int64 // one way, nanoseconds
	own          atomic.Int64 // calls of this process in flight
	others       atomic.Int64 // calls of other nodes by the last report, in thousandths
	reportedAt   atomic.Int64
	firstHandAt  atomic.Int64
	latency      atomic.Int64
	latencyAt    atomic.Int64
	failures     atomic.Int64
	faults       atomic.Int64 // part of the calls that the upstream failed, in thousandths
	faultAt      atomic.Int64
	ejectedUntil atomic.Int64
	// suspendedUntil is set while the instance does not respond.
	suspendedUntil atomic.Int64
}

func newEndpoint(epoch time.Time, e Endpoint, a *averages) *endpoint {
	result := &endpoint{Endpoint: e, epoch: epoch, averages: a}
	if !e.ServingSince.IsZero() {
		result.since = e.ServingSince.Sub(epoch)
	}
	return result
}

func (e *endpoint) target() Target {
	return Target{
		ID: e.ID, Incarnation: e.Incarnation, Zone: e.Zone, Service: e.Service, Address: e.Address, endpoint: e,
	}
}

// sameTarget reports whether the counters of e remain valid for a new record.
func (e *endpoint) sameTarget(other Endpoint) bool {
	return e.Incarnation == other.Incarnation && e.Service == other.Service &&
		e.Zone == other.Zone && e.Address == other.Address
}

func (e *endpoint) suspended(at time.Duration) bool { return int64(at) < e.suspendedUntil.Load() }

func (e *endpoint) ejected(at time.Duration) bool { return int64(at) < e.ejectedUntil.Load() }

// share returns the part of its full share of calls that a new endpoint receives.
func (e *endpoint) share(at, slowStart time.Duration) float64 {
	if slowStart <= 0 || e.ServingSince.IsZero() || at >= e.since+slowStart {
		return 1
	}
	return max(minSlowStartShare, float64(at-e.since)/float64(slowStart))
}

// freshness decays from 1 to 0 over the lifetime.
func freshness(at time.Duration, since int64, lifetime time.Duration) float64 {
	age := float64(int64(at) - since)
	return min(1, max(0, 1-age/float64(lifetime)))
}

// load returns the expected calls per slot, including the call to be placed. Calls of this process are always
// counted; a report on the calls of other nodes counts in part and decays to the average of the service.
func (e *endpoint) load(c *Config, at time.Duration) float64 {
	slots := float64(e.slots.Load())
	others := float64(e.averages.others.Load()) * slots
	if reportedAt := e.reportedAt.Load(); reportedAt != 0 {
		others += reportTrust * (float64(e.others.Load()) - others) * freshness(at, reportedAt, c.ReportLifetime)
	}
	return (float64(e.own.Load()+1) + others/milli) / slots
}

// expectedLatency returns the service time that a call will see, in nanoseconds.
func (e *endpoint) expectedLatency(c *Config, at time.Duration) float64 {
	average := float64(e.averages.latency.Load())
	if average == 0 {
		average = float64(initialLatency)
	}
	latency := average
	if latencyAt := e.latencyAt.Load(); latencyAt != 0 {
		latency += (float64(e.latency.Load()) - average) * freshness(at, latencyAt, c.ReportLifetime)
	}
	return max(latency, average/latencyFloorDivisor)
}

// completion is the expected time until the answer to a call of a route in nanoseconds, with the way there and back. A
// call waits for as many service times of the present mix of calls as there are calls for each slot beyond the first;
// then it takes the time of its own route, at the speed of this upstream.
func (e *endpoint) completion(c *Config, at time.Duration, route string) float64 {
	latency := e.expectedLatency(c, at)
	service := latency
	if known := e.averages.route(route); known > 0 {
		average := cmp.Or(float64(e.averages.latency.Load()), latency)
		service = known * min(latency/average, maxSlowness)
	}
	wait := max(0, e.load(c, at)-1) * latency
	return wait + service + 2*float64(e.delay.Load())
}

// faultRate is the part of the calls that the upstream lately failed. What is known of it decays to the average of the
// service: when all upstreams are faulty, those that were not tried lately are no better. It is bounded, so that a
// faulty upstream still gets a few calls that show when it has recovered.
func (e *endpoint) faultRate(c *Config, at time.Duration) float64 {
	average := float64(e.averages.faults.Load())
	rate := average
	if faultAt := e.faultAt.Load(); faultAt != 0 {
		rate += (float64(e.faults.Load()) - average) * freshness(at, faultAt, faultLifetimes*c.ReportLifetime)
	}
	return min(maxFaultRate, rate/milli)
}

// score is the expected delay of a call in nanoseconds, without the delay between zones. Each fault costs another try.
func (e *endpoint) score(c *Config, at time.Duration) float64 {
	return e.load(c, at) * e.expectedLatency(c, at) / (1 - e.faultRate(c, at))
}

// observeFault moves the part of failed calls by one call.
func (e *endpoint) observeFault(at time.Duration, failed bool) {
	sample := int64(0)
	if failed {
		sample = milli
	}
	e.faultAt.Store(stamp(at))
	for _, rate := range []*atomic.Int64{&e.faults, &e.averages.faults} {
		old := rate.Load()
		rate.Store(old + (sample-old)>>averageShift)
	}
}

// observe takes over what the end of a call tells about the endpoint.
func (e *endpoint) observe(c *Config, at time.Duration, r Report) {
	e.observeLoad(c, at, r)
	switch r.Outcome {
	case Completed:
		e.failures.Store(0)
		e.averages.observeRoute(r.Route, r.ServiceTime)
		e.observeFault(at, false)
		e.observeLatency(at, e.serviceTime(r))
	case Refused:
		e.failures.Store(0)
		if r.Load == nil {
			e.others.Store(e.slots.Load() * milli)
			e.reportedAt.Store(stamp(at))
		}
	case ErrorResponse:
		e.failures.Store(0)
		e.observeFault(at, true)
	case Failed:
		e.observeFault(at, true)
		// A failure may be quick; it must not make the endpoint look fast.
		e.penalize(at, e.serviceTime(r))
	case ConnectFailed:
		e.eject(c, at)
	case Canceled:
	}
}

func (e *endpoint) observeLoad(c *Config, at time.Duration, r Report) {
	if r.Load != nil {
		e.firstHandAt.Store(stamp(at))
		if r.Load.Slots > 0 {
			e.slots.Store(int64(r.Load.Slots))
		}
		e.addOthers(at, e.othersOf(*r.Load))
		return
	}
	firstHandAt := e.firstHandAt.Load()
	known := firstHandAt != 0 && freshness(at, firstHandAt, c.ReportLifetime) > 0
	if r.UpstreamLoad != nil && !known {
		e.addOthers(at, e.othersOf(*r.UpstreamLoad))
	}
}

// othersOf returns the reported load without the calls of this process, which are counted separately.
func (e *endpoint) othersOf(l Load) int64 {
	return max(0, int64(l.InFlight)+int64(l.Queued)-max(0, e.own.Load())) * milli
}

func (e *endpoint) addOthers(at time.Duration, others int64) {
	addSample(&e.others, others)
	e.reportedAt.Store(stamp(at))
	addSample(&e.averages.others, others/e.slots.Load())
}

// serviceTime returns the service time that the executor measured, or else the measured latency without the delay
// between zones.
func (e *endpoint) serviceTime(r Report) time.Duration {
	if r.Load != nil && r.Load.LatencyMicros > 0 {
		return time.Duration(r.Load.LatencyMicros) * time.Microsecond
	}
	return max(time.Microsecond, r.Latency-2*time.Duration(e.delay.Load()))
}

func (e *endpoint) observeLatency(at, latency time.Duration) {
	addSample(&e.latency, int64(latency))
	addSample(&e.averages.latency, int64(latency))
	e.latencyAt.Store(stamp(at))
}

// penalize counts a failure as a slow response. It leaves the average of the service alone.
func (e *endpoint) penalize(at, latency time.Duration) {
	average := cmp.Or(e.averages.latency.Load(), int64(initialLatency))
	addSample(&e.latency, max(int64(latency), failureLatencyFactor*average))
	e.latencyAt.Store(stamp(at))
}

// eject keeps calls away for a time that doubles with each failure in a row. The calls that fail together when an
// upstream crashes count as one failure.
func (e *endpoint) eject(c *Config, at time.Duration) {
	until := e.ejectedUntil.Load()
	if int64(at) < until {
		return
	}
	doublings := min(e.failures.Load(), maxEjectDoublings)
	duration := min(c.EjectBase<<doublings, c.EjectMax)
	if e.ejectedUntil.CompareAndSwap(until, int64(at+duration)) {
		e.failures.Add(1)
	}
}

// stamp keeps 0 free for "never".
func stamp(at time.Duration) int64 { return max(1, int64(at)) }

// addSample moves a running average towards a sample. The first sample sets it.
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

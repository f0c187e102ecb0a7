// Package balance is the load balancer: it selects the upstream of a call. It is safe for concurrent use: the endpoints
// of a service are an immutable snapshot, and the counters of an endpoint are atomic. It does no I/O and reads no
// clock.
package balance

import (
	"cmp"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
)

var (
	// ErrNoUpstream means that the service has no upstream that may receive the call. Test for it with errors.Is.
	ErrNoUpstream = errors.New("balance: no upstream is available")
)

// State is the announced state of an endpoint. The values follow the order of endpoints.State.
type State uint8

// States of an endpoint. Draining and gone endpoints receive no calls. Suspect endpoints receive calls only if the
// service has no serving endpoint that may receive them.
const (
	Serving State = iota
	Draining
	Gone
	Suspect
)

// Endpoint is one upstream as the endpoint table describes it.
type Endpoint struct {
	ID          string
	Incarnation uint64
	Zone        string
	Service     string
	Address     string
	State       State
	Slots       int
	// Release is the version of the upstream's software; empty if it is not known.
	Release string
	// ServingSince is the local time at which this incarnation began to serve. Slow start begins then; the zero value
	// switches slow start off for the endpoint.
	ServingSince time.Time
}

// Policy is the algorithm that selects an upstream among the endpoints of a service.
type Policy uint8

const (
	// ChoiceOfTwo selects the one with the lower expected delay out of two random endpoints.
	ChoiceOfTwo Policy = iota
	// RoundRobin selects the endpoints in turn.
	RoundRobin
	// LeastOutstanding selects the one with the fewest calls of this process in flight out of a few random endpoints.
	LeastOutstanding
)

// Config holds the settings of a Balancer. Zero fields take the defaults.
type Config struct {
	Policy Policy
	// ID is the endpoint beside this process; empty if there is none.
	ID string
	// Zone is the availability zone of this process.
	Zone string
	// ZoneDelay returns the one-way delay to a zone. It is called by Update, not by Pick.
	ZoneDelay func(zone string) time.Duration
	// SpillLoad is the load per slot of a local endpoint above which a call without a target may go to another zone.
	SpillLoad float64
	// ReportLifetime is the time over which the weight of a load report decays to 0 in favour of the average of the
	// service.
	ReportLifetime time.Duration
	// EjectBase is how long an endpoint is ejected after a connection failure; it doubles with each further failure.
	EjectBase time.Duration
	// EjectMax bounds the ejection time.
	EjectMax time.Duration
	// SlowStart is the slow start time of services that set none; negative switches slow start off.
	SlowStart time.Duration

	releaseRules map[string]ReleaseRule
}

// Defaults of Config.
const (
	// DefaultSpillLoad lets calls go to other zones once the slots of the selected local endpoint are taken.
	DefaultSpillLoad = 1.0
	// DefaultReportLifetime is a few times the usual interval between calls to one upstream, and short enough that an
	// upstream gets calls again soon after a peak of its load.
	DefaultReportLifetime = 2 * time.Second
	// DefaultEjectBase is about the time that a reconnect takes.
	DefaultEjectBase = 100 * time.Millisecond
	// DefaultEjectMax is longer than the 3 s after which an unresponsive node is published as suspect.
	DefaultEjectMax  = 10 * time.Second
	DefaultSlowStart = 5 * time.Second
)

func (c Config) withDefaults() Config {
	c.SpillLoad = cmp.Or(c.SpillLoad, DefaultSpillLoad)
	c.ReportLifetime = cmp.Or(c.ReportLifetime, DefaultReportLifetime)
	c.EjectBase = cmp.Or(c.EjectBase, DefaultEjectBase)
	c.EjectMax = cmp.Or(c.EjectMax, DefaultEjectMax)
	c.SlowStart = cmp.Or(c.SlowStart, DefaultSlowStart)
	if c.ZoneDelay == nil {
		c.ZoneDelay = func(string) time.Duration { return 0 }
	}
	return c
}

// Load is the load of one upstream.
type Load struct {
	InFlight int `cbor:"1,keyasint,omitempty"`
	Queued   int `cbor:"2,keyasint,omitempty"`
	Slots    int `cbor:"3,keyasint,omitempty"`
	// LatencyMicros is the mean service time in microseconds.
	LatencyMicros int64 `cbor:"4,keyasint,omitempty"`
	// Speed is how fast the upstream works, in percent of the mean of its service; 0 if it is not known.
	Speed int `cbor:"5,keyasint,omitempty"`
	// Slowdown is how long work takes on the upstream's instance at this moment, in percent of the usual; 0 if it is not
	// known.
	Slowdown int `cbor:"6,keyasint,omitempty"`
}

// Request describes a call that needs an upstream.
type Request struct {
	Service string
	// Route is the name of the call's route; empty if it is not known. Service times are averaged for each route, since
	// calls of one route take about equally long.
	Route string
	Zone  bundle.ZonePolicy
	// Exclude lists the IDs of upstreams that were already tried. They are avoided while others are available.
	Exclude []string
	// Beside is set for an attempt that runs beside another one of its call: excluded upstreams are never chosen then.
	Beside bool
	// TargetRemaining is the time left in which a response has its full value for the caller; 0 if the route has no
	// target. A call stays in its zone as long as the upstreams there are expected to respond well within this time:
	// links between zones are slow and costly, and spreading an overload over all zones shortens no queue.
	TargetRemaining time.Duration
	// MeetTargetOnly makes Pick fail unless it finds an upstream that is expected to meet the target. It is set for
	// calls that an upstream has refused for lack of slots: under overload, every other attempt would be refused too.
	MeetTargetOnly bool
	// Rand is the source of random numbers; nil takes one that is shared and safe for concurrent use.
	Rand rand.Source
}

// Target is the selected upstream. Each Target must be passed to Balancer.Done exactly once.
type Target struct {
	ID          string
	Incarnation uint64
	Zone        string
	Service     string
	Address     string

	endpoint *endpoint
}

// Outcome is the result of a call as far as it concerns load balancing.
type Outcome uint8

const (
	// Completed means that the upstream sent a complete response.
	Completed Outcome = iota
	// Refused means that the executor refused the call without running it.
	Refused
	// Failed means that the call failed after the connection was made, or timed out.
	Failed
	// ErrorResponse means that the upstream itself responded that it refuses the call or that the call failed.
	ErrorResponse
	// ConnectFailed means that no connection could be made or that it broke. The endpoint is ejected for some time.
	ConnectFailed
	// Canceled means that the caller ended the call, which says nothing about the upstream.
	Canceled
)

// Report describes how a call ended.
type Report struct {
	Outcome Outcome
	// Latency is measured at the ingress, from sending the call to receiving the response.
	Latency time.Duration
	// Route and ServiceTime are the call's route and the time that the upstream itself took, if they are known.
	Route       string
	ServiceTime time.Duration
	// ResponseBytes is the size of the response's body; 0 if it is not known.
	ResponseBytes int64
	// Load is the load that the executor counted. It takes precedence over UpstreamLoad.
	Load *Load
	// UpstreamLoad is the load that the upstream reports about itself. It may be outdated or wrong.
	UpstreamLoad *Load
}

// Balancer selects upstreams.
type Balancer struct {
	config   Config
	snapshot atomic.Pointer[snapshot]
	// randomState is the state of the counterSource for requests without a Rand.
	randomState atomic.Uint64
}

// New returns a Balancer without endpoints.
func New(c Config) *Balancer { return &Balancer{config: c.withDefaults()} }

// Update replaces the endpoints and the service settings. The counters of endpoints that remain in the same incarnation
// are kept. All calls of Update and UpdateServices must come from one goroutine. Call Update again when zone delays
// change.
func (b *Balancer) Update(now time.Time, table []Endpoint, services map[string]bundle.Service) {
	b.snapshot.Store(newSnapshot(now, b.config, b.snapshot.Load(), table, services))
}

// UpdateServices replaces the endpoints of the named services by those of the table, which holds endpoints of these
// services only. It must be called from the same goroutine as Update.
func (b *Balancer) UpdateServices(
	now time.Time, names []string, table []Endpoint, services map[string]bundle.Service,
) {
	current := b.snapshot.Load()
	if current == nil {
		b.Update(now, table, services)
		return
	}
	b.snapshot.Store(current.withServices(b.config, names, table, services))
}

// Pick selects an upstream, and counts the call as in flight until Done. Its cost does not grow with the number of
// endpoints, unless many of them are suspended. The error is ErrNoUpstream.
func (b *Balancer) Pick(now time.Time, r Request) (Target, error) {
	s := b.snapshot.Load()
	if s == nil {
		return Target{}, ErrNoUpstream
	}
	service, ok := s.services[r.Service]
	if !ok {
		return Target{}, ErrNoUpstream
	}
	r.Rand = b.source(r)
	p := picker{config: &b.config, service: service, request: &r, now: now.Sub(s.epoch)}
	chosen := p.pickByRelease()
	if chosen == nil {
		return Target{}, ErrNoUpstream
	}
	chosen.ownInFlight.Add(1)
	return chosen.target(), nil
}

// source returns the source of random numbers for a request.
func (b *Balancer) source(r Request) rand.Source {
	if r.Rand != nil {
		return r.Rand
	}
	return (*counterSource)(&b.randomState)
}

// RouteServiceTime returns the mean service time of a route over the upstreams of other nodes; 0 if it is not known.
func (b *Balancer) RouteServiceTime(serviceName, route string) time.Duration {
	s := b.snapshot.Load()
	if s == nil || s.services[serviceName] == nil {
		return 0
	}
	known, ok := s.services[serviceName].averages.routes.Load(route)
	if !ok || known.(*routeAverages).steadySamples.Load() < minSteadySamples {
		return 0
	}
	return time.Duration(known.(*routeAverages).steadyTime.Load())
}

// Done records the end of a call.
func (b *Balancer) Done(now time.Time, t Target, r Report) {
	if t.endpoint == nil {
		return
	}
	t.endpoint.ownInFlight.Add(-1)
	t.endpoint.observe(&b.config, now.Sub(t.endpoint.epoch), r)
}

// Suspend makes Pick skip a target's upstream until the given time, because its instance does not respond. If no other
// upstream is left, calls are refused at once, which is better than sending them to an instance that loses them.
func (b *Balancer) Suspend(t Target, until time.Time) {
	if t.endpoint != nil {
		t.endpoint.suspendedUntil.Store(int64(until.Sub(t.endpoint.epoch)))
	}
}

// Resume ends a suspension and an ejection, and resets the count of connection failures.
func (b *Balancer) Resume(t Target) {
	if t.endpoint != nil {
		t.endpoint.suspendedUntil.Store(0)
		t.endpoint.ejectedUntil.Store(0)
		t.endpoint.connectFailures.Store(0)
	}
}

// counterSource is a rand.Source that is safe for concurrent use: SplitMix64 over an atomic counter.
type counterSource atomic.Uint64

// Uint64 returns the next random value.
func (s *counterSource) Uint64() uint64 {
	const increment = 0x9e3779b97f4a7c15
	z := (*atomic.Uint64)(s).Add(increment)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

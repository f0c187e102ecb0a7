// Package balance selects the upstream of a call. It is safe for concurrent use by traffic goroutines: the candidates
// of a service are an immutable snapshot and the counters of an endpoint are atomic.
package balance

import (
	"cmp"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrNoUpstream reports a service without an upstream that may receive calls.
	ErrNoUpstream = errors.New("balance: no upstream is available")
)

// State is the announced state of an endpoint. The values follow the order of endpoints.State.
type State uint8

// The states of an endpoint. Draining and gone endpoints receive no calls; suspect endpoints receive calls only if
// the service has no serving endpoint.
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
	// ServingSince is the local time at which this incarnation began to serve. Slow start counts from it; the zero value
	// switches slow start off for the endpoint.
	ServingSince time.Time
}

// Policy selects how an upstream is chosen among the candidates.
type Policy uint8

// The policies.
const (
	// ChoiceOfTwo takes the candidate with the lower expected delay of two random ones.
	ChoiceOfTwo Policy = iota
	// RoundRobin takes the candidates in turn.
	RoundRobin
	// LeastOutstanding takes the candidate with the fewest calls of this process in flight out of a fixed sample.
	LeastOutstanding
)

// Config holds the settings of a Balancer. Zero fields take the defaults.
type Config struct {
	Policy Policy
	// Zone is the availability zone of this process.
	Zone string
	// ZoneDelay returns the one-way delay to a zone. It is called by Update, not by Pick.
	ZoneDelay func(zone string) time.Duration
	// SpillLoad is the load per slot from which calls of the local zone are also offered to other zones.
	SpillLoad float64
	// ReportLifetime is the time over which a load report decays to the average of the service.
	ReportLifetime time.Duration
	// EjectBase is the first ejection time after a connection failure; it doubles with each further failure.
	EjectBase time.Duration
	// EjectMax bounds the ejection time.
	EjectMax time.Duration
	// SlowStart is used for services without a value of their own; negative switches slow start off.
	SlowStart time.Duration
}

// The defaults of Config.
const (
	// DefaultSpillLoad offers calls to other zones once the slots of the better local candidate are taken.
	DefaultSpillLoad = 1.0
	// DefaultReportLifetime is a few times the interval of calls to one upstream, and short enough that a load peak
	// does not keep an upstream idle.
	DefaultReportLifetime = 2 * time.Second
	// DefaultEjectBase is in the order of a reconnect.
	DefaultEjectBase = 100 * time.Millisecond
	// DefaultEjectMax is longer than the 3 s after which a silent node is published as suspect.
	DefaultEjectMax = 10 * time.Second
	// DefaultSlowStart is the time over which the share of a new upstream grows.
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
	InFlight      int   `cbor:"1,keyasint,omitempty"`
	Queued        int   `cbor:"2,keyasint,omitempty"`
	Slots         int   `cbor:"3,keyasint,omitempty"`
	LatencyMicros int64 `cbor:"4,keyasint,omitempty"`
}

// Request describes the call that needs an upstream.
type Request struct {
	Service string
	// Route groups calls that take about as long as each other; empty if that is not known.
	Route string
	Zone  bundle.ZonePolicy
	// Exclude lists the identifiers of upstreams that were already tried. They are avoided while others exist.
	Exclude []string
	// TargetRemaining is the time within which an answer has its full value; 0 if that is not known. A call stays in its zone
	// as long as the upstreams there are expected to answer well within it: links between zones are slow and costly, and
	// spreading an overload over all zones serves nobody sooner.
	TargetRemaining time.Duration
	// MeetTargetOnly asks for an upstream that is expected to meet the target, or none. It is set for calls that an
	// upstream has refused for lack of slots: under overload, every other attempt would be refused too.
	MeetTargetOnly bool
	// Rand must not be shared between goroutines unless it is safe for that.
	Rand rand.Source
}

// Target is the selected upstream. Each Target must be passed to Done exactly once.
type Target struct {
	ID          string
	Incarnation uint64
	Zone        string
	Service     string
	Address     string

	endpoint *endpoint
}

// Outcome tells how a call ended, as far as it concerns balancing.
type Outcome uint8

// The outcomes of a call.
const (
	// Completed is a complete response.
	Completed Outcome = iota
	// Refused means that the executor or the upstream refused the call without running it.
	Refused
	// Failed means that the call failed after the connection was made, or timed out.
	Failed
	// ErrorResponse means that the upstream refused the call itself, or answered that it failed.
	ErrorResponse
	// ConnectFailed means that no connection could be made or that it broke. The endpoint is ejected for a while.
	ConnectFailed
	// Canceled means that the caller left; it says nothing about the upstream.
	Canceled
)

// Report tells the Balancer how a call ended.
type Report struct {
	Outcome Outcome
	// Latency is measured at the ingress, from sending the call to receiving the response.
	Latency time.Duration
	// Route and Service are the call's route and the time that the upstream itself took, if they are known.
	Route       string
	ServiceTime time.Duration
	// Load is the executor's first-hand load. It takes precedence over UpstreamLoad.
	Load *Load
	// UpstreamLoad is the load that the upstream reports about itself. It may lag or be wrong.
	UpstreamLoad *Load
}

// Balancer selects upstreams.
type Balancer struct {
	config   Config
	snapshot atomic.Pointer[snapshot]
	// draws replaces Request.Rand where a caller sets none.
	draws atomic.Uint64
}

// New returns a Balancer without endpoints.
func New(c Config) *Balancer { return &Balancer{config: c.withDefaults()} }

// Update replaces the endpoints and the service settings. The counters of endpoints that remain in the same
// incarnation are kept. It must be called from one goroutine, and again when zone delays change.
func (b *Balancer) Update(now time.Time, table []Endpoint, services map[string]bundle.Service) {
	b.snapshot.Store(newSnapshot(now, b.config, b.snapshot.Load(), table, services))
}

// UpdateServices replaces the endpoints of the named services by those of the table, which holds no others. Like Update
// it must be called from one goroutine.
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

// Pick selects an upstream and counts the call as in flight until Done. Its cost does not depend on the number of
// endpoints.
func (b *Balancer) Pick(now time.Time, r Request) (Target, error) {
	s := b.snapshot.Load()
	if s == nil {
		return Target{}, ErrNoUpstream
	}
	service, ok := s.services[r.Service]
	if !ok {
		return Target{}, ErrNoUpstream
	}
	if r.Rand == nil {
		r.Rand = (*counterSource)(&b.draws)
	}
	p := picker{config: &b.config, service: service, request: &r, at: now.Sub(s.epoch)}
	chosen := p.pick()
	if chosen == nil {
		return Target{}, ErrNoUpstream
	}
	chosen.own.Add(1)
	return chosen.target(), nil
}

// Done reports the end of a call.
func (b *Balancer) Done(now time.Time, t Target, r Report) {
	if t.endpoint == nil {
		return
	}
	t.endpoint.own.Add(-1)
	t.endpoint.observe(&b.config, now.Sub(t.endpoint.epoch), r)
}

// Suspend keeps all calls away from a target's upstream until a time: its instance does not respond. A call that has
// no other place is better refused at once than lost there.
func (b *Balancer) Suspend(t Target, until time.Time) {
	if t.endpoint != nil {
		t.endpoint.suspendedUntil.Store(int64(until.Sub(t.endpoint.epoch)))
	}
}

// Resume ends a suspension, and forgets the failures of connections before it.
func (b *Balancer) Resume(t Target) {
	if t.endpoint != nil {
		t.endpoint.suspendedUntil.Store(0)
		t.endpoint.ejectedUntil.Store(0)
		t.endpoint.failures.Store(0)
	}
}

// counterSource is a random source over an atomic counter (SplitMix64), safe for concurrent use.
type counterSource atomic.Uint64

// Uint64 returns the next value.
func (s *counterSource) Uint64() uint64 {
	const increment = 0x9e3779b97f4a7c15
	z := (*atomic.Uint64)(s).Add(increment)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

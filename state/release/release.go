// Package release holds the state of the rollouts of a service's release: of a new version of its software, whose
// upstreams run beside those of the former one.
package release

import (
	"math"
	"time"
)

// State is the state of a rollout.
type State string

const (
	// Running means that the release is being judged: it gets a share of the calls.
	Running State = "running"
	// Completed means that the release gets all calls.
	Completed State = "completed"
	// RolledBack means that the release gets no calls.
	RolledBack State = "rolled-back"
)

// FullShare is the share of a release that gets all calls.
const FullShare = 1000

// MaxNameBytes bounds the name of a release.
const MaxNameBytes = 128

// MaxDuration bounds the duration of a rollout.
const MaxDuration = 7 * 24 * time.Hour

// Rollout is the rollout of a release of one service. The control members store it; each service has at most one.
type Rollout struct {
	Service string `json:"service" cbor:"1,keyasint"`
	Release string `json:"release" cbor:"2,keyasint"`
	State   State  `json:"state" cbor:"3,keyasint"`
	// Share is the share of the service's calls that the release gets while it is judged, in thousandths.
	Share int `json:"share_permille,omitempty" cbor:"4,keyasint,omitempty"`
	// Focus rotates the choice of the release's upstreams that get its calls while it has too few for all of them.
	Focus int `json:"focus,omitempty" cbor:"5,keyasint,omitempty"`
	// DurationMs is the time from the order within which the rollout has to end.
	DurationMs int64  `json:"duration_ms" cbor:"6,keyasint"`
	Operator   string `json:"operator,omitempty" cbor:"7,keyasint,omitempty"`
	// Started is the log index of the order, Revision that of the latest change.
	Started  uint64 `json:"started" cbor:"8,keyasint"`
	Revision uint64 `json:"revision" cbor:"9,keyasint"`
	// StartedUnixMs is the time of the order by the leader's clock.
	StartedUnixMs int64 `json:"started_unix_ms,omitempty" cbor:"10,keyasint,omitempty"`
	// Reason says why the rollout has ended or got its present share.
	Reason string `json:"reason,omitempty" cbor:"11,keyasint,omitempty"`
	// RequestID is the identifier that the order carried; empty if it had none.
	RequestID string `json:"request_id,omitempty" cbor:"12,keyasint,omitempty"`
	// Former is the order without an identifier before this one if copies of it could still arrive when this one came.
	Former Order `json:"former,omitzero" cbor:"13,keyasint,omitempty"`
}

// Order is what an order of a rollout asks for, with the log index at which it was accepted.
type Order struct {
	Release    string `json:"release" cbor:"1,keyasint,omitempty"`
	DurationMs int64  `json:"duration_ms" cbor:"2,keyasint,omitempty"`
	Started    uint64 `json:"started" cbor:"3,keyasint,omitempty"`
}

// Order returns the order of the rollout.
func (r Rollout) Order() Order {
	return Order{Release: r.Release, DurationMs: r.DurationMs, Started: r.Started}
}

// Duration returns the time from the order within which the rollout has to end.
func (r Rollout) Duration() time.Duration { return time.Duration(r.DurationMs) * time.Millisecond }

// Results are the results of the calls that one upstream has run during a rollout of its service. The counters grow as
// long as the process that reports them runs, so that a report that is lost or arrives twice does no harm.
type Results struct {
	// Node is the ID of the node beside the upstream, Incarnation that of its process.
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence grows with each report of the process.
	Sequence uint64 `cbor:"3,keyasint"`
	Service  string `cbor:"4,keyasint"`
	Release  string `cbor:"5,keyasint,omitempty"`
	// InFlight counts the calls that run on the upstream or wait for it.
	InFlight int            `cbor:"6,keyasint,omitempty"`
	Routes   []RouteResults `cbor:"7,keyasint,omitempty"`
}

// RouteResults are the results of the calls of one route.
type RouteResults struct {
	Route string `cbor:"1,keyasint,omitempty"`
	Calls uint64 `cbor:"2,keyasint,omitempty"`
	// Failures counts the calls that the upstream answered with a server error or did not answer completely.
	Failures uint64 `cbor:"3,keyasint,omitempty"`
	// Timed counts the calls whose time is known, TimeMicros is the sum of their times. The times of calls that were given
	// up are lower bounds.
	Timed      uint64 `cbor:"4,keyasint,omitempty"`
	TimeMicros uint64 `cbor:"5,keyasint,omitempty"`
	// Times counts these calls by their time; TimeBucket gives the index. It ends with the last count that is not 0.
	Times []uint64 `cbor:"6,keyasint,omitempty"`
}

// TimeBuckets is the number of buckets of RouteResults.Times, two for each doubling from 1 ms to about 90 s.
const TimeBuckets = 34

// TimeBucket returns the index of the bucket for a time.
func TimeBucket(d time.Duration) int {
	if d <= time.Millisecond {
		return 0
	}
	return min(int(2*math.Log2(float64(d)/float64(time.Millisecond)))+1, TimeBuckets-1)
}

// AddTime counts the time of a call.
func (r *RouteResults) AddTime(d time.Duration) {
	r.Timed++
	r.TimeMicros += uint64(d.Microseconds())
	bucket := TimeBucket(d)
	for len(r.Times) <= bucket {
		r.Times = append(r.Times, 0)
	}
	r.Times[bucket]++
}

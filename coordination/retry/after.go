package retry

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/balance"
)

// Cause is why a request was not run, as far as it tells when to come back.
type Cause uint8

// The causes.
const (
	// CauseOverload means that the upstreams have no free slot.
	CauseOverload Cause = iota
	// CauseTransient means that an upstream refused the request itself. Another try may succeed at once.
	CauseTransient
	// CauseUnavailable means that no upstream is known to take calls, or that this process is not ready or leaving.
	CauseUnavailable
)

const (
	// minAfter is about one round trip of a caller.
	minAfter = 20 * time.Millisecond
	// maxAfter bounds the wait: callers have a few seconds, and an overload may end at any time.
	maxAfter = time.Second
	// absentAfter is about the time until a new upstream, or the way to another node, is known.
	absentAfter = 250 * time.Millisecond
	// afterSpread spreads the callers of one moment over this part of the wait in both directions.
	afterSpread = 0.25
)

// After returns when a refused caller should come back. It answers bursts in which many callers are refused at one
// moment: each is told the time in which the upstream empties its present queue, spread so that they do not return
// together. fraction is a random number in [0, 1).
func After(cause Cause, load balance.Load, fraction float64) time.Duration {
	wait := minAfter
	switch cause {
	case CauseOverload:
		mean := time.Duration(load.LatencyMicros) * time.Microsecond
		wait = mean * time.Duration(load.Queued+1) / time.Duration(max(load.Slots, 1))
	case CauseUnavailable:
		wait = absentAfter
	}
	wait = min(max(wait, minAfter), maxAfter)
	return time.Duration(float64(wait) * (1 - afterSpread + 2*afterSpread*fraction))
}

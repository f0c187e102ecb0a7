package retry

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/balance"
)

// Cause is why a request was not run, as far as it determines when the caller should retry.
type Cause uint8

const (
	// CauseOverload means that the upstreams have no free slot.
	CauseOverload Cause = iota
	// CauseTransient means that an upstream refused the request or could not be reached. A retry may succeed at once.
	CauseTransient
	// CauseUnavailable means that no upstream is available, or that this process is not ready or is draining.
	CauseUnavailable
)

const (
	// minRetryAfter is about one round trip of a caller.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter is well below the few seconds that callers have, since an overload may end at any time.
	maxRetryAfter = time.Second
	// unavailableRetryAfter is about the time until this process learns of a new upstream or connects to another node.
	unavailableRetryAfter = 250 * time.Millisecond
	// retryAfterSpread is the largest random deviation from the computed time, as a share of it.
	retryAfterSpread = 0.25
)

// Refusal describes a request that was refused, as far as it determines when the caller should retry.
type Refusal struct {
	Cause Cause
	// Load is the load of the upstream that refused it last; zero if it reached none.
	Load balance.Load
	// UntilTarget is the time that is left until the target of the request; 0 if it has none, negative if it is late.
	UntilTarget time.Duration
	// Patience is the time that the caller still waits; 0 if it is not known.
	Patience time.Duration
}

const (
	// lateShare is the share of its patience after which a late caller retries: a third, which callers accept and which
	// leaves time for another attempt after that.
	lateShare = 1.0 / 3
	// lateSpread is the part of that time over which callers are spread.
	lateSpread = 0.4
)

// After returns how long a refused caller should wait before it retries, for the header Retry-After. Under overload
// that is the time until the upstream has a free slot again: as much time as possible is left to meet the target then,
// and waiting longer is no surer, since new requests arrive all the time. A caller that will be late in any case is served
// when the load has fallen, and is told to wait for as long as it can: at once, it would take the room of those in time.
// The time is spread by a random fraction in [0, 1), so that callers that were refused together in a burst do not retry
// together.
func After(r Refusal, fraction float64) time.Duration {
	wait := minRetryAfter
	switch r.Cause {
	case CauseOverload:
		mean := time.Duration(r.Load.LatencyMicros) * time.Microsecond
		wait = mean / time.Duration(max(r.Load.Slots, 1))
		if r.UntilTarget != 0 && r.UntilTarget < mean+minRetryAfter && r.Patience > 0 {
			longest := lateShare * float64(r.Patience)
			return max(time.Duration(longest*(1-lateSpread*fraction)), minRetryAfter)
		}
	case CauseUnavailable:
		wait = unavailableRetryAfter
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(wait) * (1 - retryAfterSpread + 2*retryAfterSpread*fraction))
}

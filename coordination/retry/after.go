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

// After returns how long a refused caller should wait before it retries, for the header Retry-After. Under overload
// that is the time until the upstream has a free slot again: as much time as possible is left to meet the target then,
// and waiting longer is no surer, since new requests arrive all the time. The time is spread by a random fraction in
// [0, 1), so that callers that were refused together in a burst do not retry together.
func After(cause Cause, load balance.Load, fraction float64) time.Duration {
	wait := minRetryAfter
	switch cause {
	case CauseOverload:
		mean := time.Duration(load.LatencyMicros) * time.Microsecond
		wait = mean / time.Duration(max(load.Slots, 1))
	case CauseUnavailable:
		wait = unavailableRetryAfter
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(wait) * (1 - retryAfterSpread + 2*retryAfterSpread*fraction))
}

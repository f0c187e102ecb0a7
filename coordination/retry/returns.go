package retry

import (
	"sync"
	"time"
)

const (
	// returnsWindow is the time for which the longest patience of a route's callers is remembered, at least. It covers
	// several requests on a route with a few of them a second.
	returnsWindow = 10 * time.Second
	// patienceTolerance is the difference, as a share of the patience, below which a request counts as new: callers take
	// some time to send it.
	patienceTolerance = 0.02
	// minNewShare is the share of requests that must have the whole patience. Where fewer have it, callers differ in their
	// patience, and a short one says nothing about an earlier attempt.
	minNewShare = 0.25
	// newShareDivisor is the inverse of the weight of one request in the share of new ones.
	newShareDivisor = 32
)

// Returns recognises the requests of callers who come back after a refusal, on one route: they name a deadline that is
// shorter than that of a new request by the time since their first attempt. It answers an overload in which most callers
// come back: each is taken for a new one with the whole time to its target before it, and those that are late take the
// slots of those that are not. It is safe for concurrent use.
type Returns struct {
	mu sync.Mutex
	// longest holds the longest time to the deadline in the current window and in the previous one.
	longest     [2]time.Duration
	windowStart time.Time
	newShare    float64
}

// Elapsed returns the time since the first attempt of a request whose caller gives it a time until the deadline; 0 if the
// request is new or if that cannot be told.
func (r *Returns) Elapsed(now time.Time, given time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if age := now.Sub(r.windowStart); age >= returnsWindow {
		r.longest[1] = r.longest[0]
		if age >= 2*returnsWindow {
			r.longest[1] = 0
		}
		r.longest[0], r.windowStart = 0, now
	}
	r.longest[0] = max(r.longest[0], given)
	patience := max(r.longest[0], r.longest[1])
	elapsed := patience - given
	isNew := float64(elapsed) <= patienceTolerance*float64(patience)
	sample := 0.0
	if isNew {
		sample = 1
	}
	r.newShare += (sample - r.newShare) / newShareDivisor
	if isNew || r.newShare < minNewShare {
		return 0
	}
	return elapsed
}

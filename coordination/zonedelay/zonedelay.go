// Package zonedelay estimates the one-way delay to other availability zones from the calls that are sent there. The
// delay between zones varies and differs between deployments; with a wrong one, calls leave their zone although that
// makes them late, or get deadlines at which their response cannot arrive in time.
package zonedelay

import (
	"sync"
	"time"
)

const (
	// window is the time over which the smallest delay is taken. Waits for a processor or a link make single calls slower,
	// never faster; a delay that has grown shows after at most two windows.
	window = 10 * time.Second
	// significantChange is the relative change of an estimate that is reported.
	significantChange = 0.25
	// significantDelay is the absolute change below which none is reported.
	significantDelay = 500 * time.Microsecond
)

// Estimator estimates the delay to each zone. It is safe for concurrent use.
type Estimator struct {
	initial func(zone string) time.Duration

	mu    sync.Mutex
	zones map[string]*estimate
}

// estimate holds the smallest delays of the current window and of the one before it.
type estimate struct {
	started           time.Time
	current, previous time.Duration
	reported          time.Duration
}

// New returns an estimator that uses the initial delays until a zone has replied to a call; nil means no delay.
func New(initial func(zone string) time.Duration) *Estimator {
	if initial == nil {
		initial = func(string) time.Duration { return 0 }
	}
	return &Estimator{initial: initial, zones: make(map[string]*estimate)}
}

// Delay returns the estimated one-way delay to a zone.
func (e *Estimator) Delay(zone string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.zones[zone]
	if known == nil {
		return e.initial(zone)
	}
	return known.delay()
}

// Observe records a reply from a zone: the time between sending a call and receiving the reply, and the part of it that
// the call spent there. It reports whether the estimate has changed significantly since it last did.
func (e *Estimator) Observe(now time.Time, zone string, roundTrip, spentThere time.Duration) (changed bool) {
	sample := max(0, roundTrip-spentThere) / 2
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.zones[zone]
	if known == nil {
		known = &estimate{started: now, current: sample, previous: sample, reported: e.initial(zone)}
		e.zones[zone] = known
	}
	if now.Sub(known.started) >= window {
		known.started, known.previous, known.current = now, known.current, sample
	}
	known.current = min(known.current, sample)
	difference := (known.delay() - known.reported).Abs()
	if difference < significantDelay || float64(difference) < significantChange*float64(known.reported) {
		return false
	}
	known.reported = known.delay()
	return true
}

func (e *estimate) delay() time.Duration { return min(e.current, e.previous) }

// Package speed estimates how fast an upstream works compared with the others of its service. It does no I/O and reads
// no clock. A Meter is not safe for concurrent use.
package speed

import "time"

const (
	// memory is the number of calls over which the estimate averages. Service times of one route vary by about their mean,
	// so that the standard error of the estimate is then under a tenth.
	memory = 128
	// priorCalls is the weight, in calls, of the assumption that an upstream without a history is as fast as the others.
	priorCalls = 8
	// maxRatio bounds the time that one call counts with, in the time that the speed so far lets expect. A few very long calls
	// say more about themselves than about the upstream.
	maxRatio = 4
	// Min and Max bound the estimate.
	Min = 0.1
	Max = 8.0
)

// Meter estimates the speed of one upstream from the service times of its calls. The estimate does not age while no call
// ends: an upstream that was idle is as fast as before.
type Meter struct {
	calls    float64
	expected float64 // sum of the expected service times, in means of the route
	took     float64 // sum of the service times, in means of the route
}

// Observe adds a call that took the given service time. expected is the mean service time of its route over the service;
// calls without one count nothing.
func (m *Meter) Observe(expected, took time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	if m.calls >= memory {
		keep := 1 - 1/float64(memory)
		m.calls, m.expected, m.took = m.calls*keep, m.expected*keep, m.took*keep
	}
	m.calls++
	m.expected++
	m.took += min(float64(took)/float64(expected), maxRatio/m.Speed())
}

// Speed returns the estimate: 1 is the mean of the service, and an upstream of speed 0.5 takes twice as long for a call.
func (m *Meter) Speed() float64 {
	return min(Max, max(Min, (m.expected+priorCalls)/(m.took+priorCalls)))
}

// Calls returns the number of calls that the estimate is based on.
func (m *Meter) Calls() int { return int(m.calls) }

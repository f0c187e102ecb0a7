// Package detector is a failure detector for one instance that calls are sent to. It answers the loss of power, a freeze
// and a cut of the instance: connections then stay open without traffic, each call waits for its whole deadline, and a node
// sends further ones there. While calls wait and nothing is heard, the instance is probed; if it does not respond to a
// probe, its calls are better sent elsewhere. A Detector is a state machine without clock and I/O; it is not safe for
// concurrent use.
package detector

import "time"

const (
	// probeAfter is the time without a response after which an instance with waiting calls is probed. It is a few times the
	// duration of an average call, so that a working instance is rarely probed.
	probeAfter = 400 * time.Millisecond
	// maxProbeInterval bounds the growing pause between probes of an instance that responds to them but takes long over its calls.
	maxProbeInterval = 4 * probeAfter
	// failedProbeInterval is the pause between probes of a failed instance: it gets no calls, so nothing else shows its recovery.
	failedProbeInterval = 300 * time.Millisecond
	// stopProbingAfter ends the probes of a failed instance. It is several times as long as the distribution tree needs to
	// publish the loss of an instance; a later return is published as well.
	stopProbingAfter = 20 * time.Second
)

// Change tells how the state of an instance changed.
type Change uint8

// The changes.
const (
	// Unchanged means that the state is as before.
	Unchanged Change = iota
	// Failed means that the instance stopped responding.
	Failed
	// Recovered means that a failed instance responds again.
	Recovered
)

// Detector follows one instance. The zero value is ready.
type Detector struct {
	// sentAt holds when each call without a response was sent.
	sentAt map[uint64]time.Time
	// lastResponse is the time of the last response to a call or a probe.
	lastResponse  time.Time
	probeInterval time.Duration
	// probing is set while a probe is under way; probed is when the last one began.
	probing      bool
	probeStarted time.Time
	// failedSince is when the instance was found to have failedSince; zero if it has not.
	failedSince time.Time
}

// CallSent notes that a call was sent.
func (d *Detector) CallSent(now time.Time, call uint64) {
	if d.sentAt == nil {
		d.sentAt = make(map[uint64]time.Time)
	}
	d.sentAt[call] = now
}

// CallEnded notes that a call no longer waits for a response.
func (d *Detector) CallEnded(call uint64) { delete(d.sentAt, call) }

// ResponseReceived notes a response to a call.
func (d *Detector) ResponseReceived(now time.Time) Change {
	d.lastResponse, d.probeInterval = now, probeAfter
	return d.markRecovered()
}

func (d *Detector) markRecovered() Change {
	if d.failedSince.IsZero() {
		return Unchanged
	}
	d.failedSince = time.Time{}
	return Recovered
}

// Failed reports whether the instance has failed.
func (d *Detector) Failed() bool { return !d.failedSince.IsZero() }

// WaitingCalls returns the number of calls that wait for a response.
func (d *Detector) WaitingCalls() int { return len(d.sentAt) }

// Idle reports whether nothing is left to follow.
func (d *Detector) Idle() bool { return len(d.sentAt) == 0 && !d.probing && !d.Failed() }

// NextProbe returns when the next probe is due, if there is to be one.
func (d *Detector) NextProbe() (time.Time, bool) {
	switch {
	case d.probing:
		return time.Time{}, false
	case d.Failed():
		return d.probeStarted.Add(failedProbeInterval), true
	case len(d.sentAt) == 0:
		return time.Time{}, false
	}
	var since time.Time
	for _, sent := range d.sentAt {
		if since.IsZero() || sent.Before(since) {
			since = sent
		}
	}
	if d.lastResponse.After(since) {
		since = d.lastResponse
	}
	return since.Add(max(d.probeInterval, probeAfter)), true
}

// StartProbe reports whether a probe is due, and notes that it begins.
func (d *Detector) StartProbe(now time.Time) bool {
	next, ok := d.NextProbe()
	if !ok || now.Before(next) {
		return false
	}
	if d.Failed() && now.Sub(d.failedSince) > stopProbingAfter {
		d.failedSince = time.Time{}
		return false
	}
	d.probing, d.probeStarted = true, now
	return true
}

// EndProbe notes the result of a probe.
func (d *Detector) EndProbe(now time.Time, responded bool) Change {
	d.probing = false
	if responded {
		d.lastResponse, d.probeInterval = now, min(2*max(d.probeInterval, probeAfter), maxProbeInterval)
		return d.markRecovered()
	}
	if d.lastResponse.After(d.probeStarted) || d.Failed() {
		return Unchanged // A response to a call came meanwhile, or nothing new.
	}
	d.failedSince = now
	return Failed
}

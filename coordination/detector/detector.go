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
	// maxPause bounds the growing pause between probes of an instance that responds to them but takes long over its calls.
	maxPause = 4 * probeAfter
	// failedPause is the pause between probes of a failed instance: it gets no calls, so nothing else shows its recovery.
	failedPause = 300 * time.Millisecond
	// giveUpAfter ends the probes of a failed instance. It is several times as long as the distribution tree needs to
	// publish the loss of an instance; a later return is published as well.
	giveUpAfter = 20 * time.Second
)

// Change tells how the state of an instance changed.
type Change uint8

// The changes.
const (
	// None means that the state is as before.
	None Change = iota
	// Failed means that the instance stopped responding.
	Failed
	// Recovered means that a failed instance responds again.
	Recovered
)

// Detector follows one instance. The zero value is ready.
type Detector struct {
	// waiting holds when each call without a response was sent.
	waiting map[uint64]time.Time
	// heard is the time of the last response to a call or a probe.
	heard time.Time
	pause time.Duration
	// probing is set while a probe is under way; probed is when the last one began.
	probing bool
	probed  time.Time
	// failed is when the instance was found to have failed; zero if it has not.
	failed time.Time
}

// Sent notes that a call was sent.
func (d *Detector) Sent(now time.Time, call uint64) {
	if d.waiting == nil {
		d.waiting = make(map[uint64]time.Time)
	}
	d.waiting[call] = now
}

// Ended notes that a call no longer waits for a response.
func (d *Detector) Ended(call uint64) { delete(d.waiting, call) }

// Heard notes a response to a call.
func (d *Detector) Heard(now time.Time) Change {
	d.heard, d.pause = now, probeAfter
	return d.recover()
}

func (d *Detector) recover() Change {
	if d.failed.IsZero() {
		return None
	}
	d.failed = time.Time{}
	return Recovered
}

// Failed reports whether the instance has failed.
func (d *Detector) Failed() bool { return !d.failed.IsZero() }

// Waiting returns the number of calls that wait for a response.
func (d *Detector) Waiting() int { return len(d.waiting) }

// Idle reports whether nothing is left to follow.
func (d *Detector) Idle() bool { return len(d.waiting) == 0 && !d.probing && !d.Failed() }

// Next returns when the next probe is due, if there is to be one.
func (d *Detector) Next() (time.Time, bool) {
	switch {
	case d.probing:
		return time.Time{}, false
	case d.Failed():
		return d.probed.Add(failedPause), true
	case len(d.waiting) == 0:
		return time.Time{}, false
	}
	var since time.Time
	for _, sent := range d.waiting {
		if since.IsZero() || sent.Before(since) {
			since = sent
		}
	}
	if d.heard.After(since) {
		since = d.heard
	}
	return since.Add(max(d.pause, probeAfter)), true
}

// StartProbe reports whether a probe is due, and notes that it begins.
func (d *Detector) StartProbe(now time.Time) bool {
	next, ok := d.Next()
	if !ok || now.Before(next) {
		return false
	}
	if d.Failed() && now.Sub(d.failed) > giveUpAfter {
		d.failed = time.Time{}
		return false
	}
	d.probing, d.probed = true, now
	return true
}

// EndProbe notes the result of a probe.
func (d *Detector) EndProbe(now time.Time, responded bool) Change {
	d.probing = false
	if responded {
		d.heard, d.pause = now, min(2*max(d.pause, probeAfter), maxPause)
		return d.recover()
	}
	if d.heard.After(d.probed) || d.Failed() {
		return None // A response to a call came meanwhile, or nothing new.
	}
	d.failed = now
	return Failed
}

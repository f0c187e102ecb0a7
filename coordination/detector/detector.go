// Package detector detects that an instance that receives calls has failed. If an instance loses power, hangs or is cut
// off from the network, its connections stay open without traffic: every call to it waits until its deadline, and nodes
// keep sending more. The detector therefore probes an instance that has calls waiting and has sent no response for some
// time. If the probe is not answered, the instance has failed: it should get no further calls, and those that wait
// should be sent to other instances as well. They are not over: the instance may only be short of processor time, with
// its upstream at work. Only an instance that stays silent, or has been replaced by another process, has lost its calls.
//
// A probe that ends later than its timeout is inconclusive: the process did not run for a while, and its timer may have
// been handled before a reply that had arrived in time. It is followed by another probe at once.
//
// A Detector is a state machine: the caller passes in the time and performs the I/O. It is not safe for concurrent use.
package detector

import "time"

const (
	// probeAfter is the time without a response after which an instance with waiting calls is probed. It is a few times
	// the duration of an average call, so that a working instance is rarely probed.
	probeAfter = 400 * time.Millisecond
	// maxProbeInterval bounds the interval between probes of an instance that answers probes while its calls take long.
	// The interval doubles with each answered probe.
	maxProbeInterval = 4 * probeAfter
	// failedProbeInterval is the interval between probes of a failed instance. Since it gets no calls, only a probe can
	// show that it has recovered.
	failedProbeInterval = 300 * time.Millisecond
	// stopProbingAfter is the time after a failure at which probing ends. It is several times as long as the distribution
	// tree takes to announce that the instance is lost; a later restart is announced as well.
	stopProbingAfter = 20 * time.Second
	// lateProbeTolerance is how late a probe may end and still be conclusive. It is longer than the delay of timers in a
	// process that runs.
	lateProbeTolerance = 50 * time.Millisecond
	// maxLateProbes bounds the number of inconclusive probes in a row, so that a process that always stalls detects
	// failures as well.
	maxLateProbes = 2
	// lostAfter is the time without a response after which an instance has lost its calls. It is that after which the
	// distribution tree announces a silent node as suspect (endpoints.SuspectAfter).
	lostAfter = 3 * time.Second
)

// Change says how an event changed the state of an instance.
type Change uint8

const (
	// Unchanged means that the event did not change the state.
	Unchanged Change = iota
	// Failed means that the instance stopped responding.
	Failed
	// Lost means that the calls that wait for a failed instance get no response any more.
	Lost
	// Recovered means that a failed instance responds again.
	Recovered
)

// Detector tracks whether one instance responds. The zero value is ready to use.
type Detector struct {
	// sentAt is the send time of each call that waits for a response, by the call's number.
	sentAt map[uint64]time.Time
	// lastResponse is the time of the last response to a call or a probe.
	lastResponse time.Time
	// probeInterval is the time without a response after which the next probe is due; at least probeAfter is used.
	probeInterval time.Duration
	// probing is set while a probe is under way; probeStarted is when the last one started.
	probing      bool
	probeStarted time.Time
	// lateProbes is the number of inconclusive probes since the last response. A further probe is due while it is not 0.
	lateProbes int
	// failedSince is when the failure was detected; zero while the instance responds. silentSince is when the probe began
	// that detected it, and lost is set once Lost was returned.
	failedSince, silentSince time.Time
	lost                     bool
}

// CallSent records that a call was sent.
func (d *Detector) CallSent(now time.Time, call uint64) {
	if d.sentAt == nil {
		d.sentAt = make(map[uint64]time.Time)
	}
	d.sentAt[call] = now
}

// CallEnded records that a call no longer waits for a response.
func (d *Detector) CallEnded(call uint64) { delete(d.sentAt, call) }

// ResponseReceived records a response to a call.
func (d *Detector) ResponseReceived(now time.Time) Change {
	d.lastResponse, d.probeInterval, d.lateProbes = now, probeAfter, 0
	return d.markRecovered()
}

func (d *Detector) markRecovered() Change {
	if d.failedSince.IsZero() {
		return Unchanged
	}
	d.failedSince, d.lost = time.Time{}, false
	return Recovered
}

// Failed reports whether the instance has failed.
func (d *Detector) Failed() bool { return !d.failedSince.IsZero() }

// WaitingCalls returns the number of calls that wait for a response.
func (d *Detector) WaitingCalls() int { return len(d.sentAt) }

// Idle reports whether the instance needs no further tracking: it works, and no call or probe waits for a response.
func (d *Detector) Idle() bool {
	return len(d.sentAt) == 0 && !d.probing && d.lateProbes == 0 && !d.Failed()
}

// NextProbe returns the time at which the next probe is due; false if none is needed.
func (d *Detector) NextProbe() (time.Time, bool) {
	switch {
	case d.probing:
		return time.Time{}, false
	case d.Failed():
		return d.probeStarted.Add(failedProbeInterval), true
	case d.lateProbes > 0:
		return d.probeStarted, true
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

// StartProbe reports whether a probe is due and, if so, records that it starts now.
func (d *Detector) StartProbe(now time.Time) bool {
	next, ok := d.NextProbe()
	if !ok || now.Before(next) {
		return false
	}
	if d.Failed() && now.Sub(d.failedSince) > stopProbingAfter {
		d.failedSince, d.lost = time.Time{}, false
		return false
	}
	d.probing, d.probeStarted = true, now
	return true
}

// EndProbe records the result of a probe that had the given timeout.
func (d *Detector) EndProbe(now time.Time, timeout time.Duration, responded bool) Change {
	d.probing = false
	if responded {
		d.lastResponse, d.probeInterval = now, min(2*max(d.probeInterval, probeAfter), maxProbeInterval)
		d.lateProbes = 0
		return d.markRecovered()
	}
	late := now.Sub(d.probeStarted) > timeout+lateProbeTolerance
	switch {
	case d.lastResponse.After(d.probeStarted):
		return Unchanged // A call was answered during the probe.
	case d.Failed():
		if d.lost || late || now.Sub(d.silentSince) < lostAfter {
			return Unchanged
		}
		d.lost = true
		return Lost
	case late && d.lateProbes < maxLateProbes:
		d.lateProbes++
		return Unchanged
	}
	d.failedSince, d.silentSince, d.lateProbes = now, d.probeStarted, 0
	return Failed
}

// Replaced records that a probe was answered by another process than the one to which the calls were sent.
func (d *Detector) Replaced(now time.Time) Change {
	d.probing, d.lateProbes = false, 0
	if d.failedSince.IsZero() {
		d.failedSince, d.silentSince = now, d.probeStarted
	}
	if d.lost {
		return Unchanged
	}
	d.lost = true
	return Lost
}

// Package silence decides when an instance that owes answers is asked for a sign of life, and when calls are better sent
// elsewhere. It answers the loss of power, a freeze and a cut of an instance: connections then stay open and silent, each
// call waits for its whole deadline, and a node sends further ones there. A Watch is a state machine for one instance; it
// uses no clock and no I/O, and is not safe for concurrent use.
package silence

import "time"

const (
	// probeAfter is the silence of an instance that owes an answer after which it is asked. It is a few times the time of
	// an average call, so that an instance in order is rarely asked.
	probeAfter = 400 * time.Millisecond
	// maxPause bounds the growing pause between questions to an instance that is alive but takes long over its calls.
	maxPause = 4 * probeAfter
	// probeAgain is the pause between questions to a silent instance: it gets no calls, so nothing else shows its return.
	probeAgain = 300 * time.Millisecond
	// giveUpAfter ends the questions to a silent instance. It is several times as long as the distribution tree needs to
	// publish the loss of an instance; one that returns later is published as well.
	giveUpAfter = 20 * time.Second
)

// Change tells what the end of a question changed.
type Change uint8

// The changes.
const (
	// None means that the instance is as it was.
	None Change = iota
	// Lost means that the instance has become silent: calls to it should go elsewhere.
	Lost
	// Returned means that a silent instance answers again.
	Returned
)

// Watch follows one instance. The zero value is ready.
type Watch struct {
	// sent holds the calls that wait for an answer.
	sent map[uint64]time.Time
	// heard is when the instance last gave a sign of life.
	heard  time.Time
	pause  time.Duration
	asking bool
	// silent is when the instance was found silent; zero if it is not.
	silent time.Time
	asked  time.Time
}

// Sent notes that a call was sent.
func (w *Watch) Sent(now time.Time, call uint64) {
	if w.sent == nil {
		w.sent = make(map[uint64]time.Time)
	}
	w.sent[call] = now
}

// Ended notes that a call no longer waits for an answer.
func (w *Watch) Ended(call uint64) { delete(w.sent, call) }

// Heard notes an answer.
func (w *Watch) Heard(now time.Time) Change {
	w.heard, w.pause = now, probeAfter
	return w.alive()
}

func (w *Watch) alive() Change {
	if w.silent.IsZero() {
		return None
	}
	w.silent = time.Time{}
	return Returned
}

// Silent reports whether the instance is silent.
func (w *Watch) Silent() bool { return !w.silent.IsZero() }

// Owed returns the number of calls that wait for an answer.
func (w *Watch) Owed() int { return len(w.sent) }

// Idle reports whether nothing is left to watch.
func (w *Watch) Idle() bool { return len(w.sent) == 0 && !w.asking && !w.Silent() }

// Next returns when the instance is to be asked, if it is.
func (w *Watch) Next() (time.Time, bool) {
	switch {
	case w.asking:
		return time.Time{}, false
	case w.Silent():
		return w.asked.Add(probeAgain), true
	case len(w.sent) == 0:
		return time.Time{}, false
	}
	var oldest time.Time
	for _, at := range w.sent {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	if w.heard.After(oldest) {
		oldest = w.heard
	}
	return oldest.Add(max(w.pause, probeAfter)), true
}

// Ask reports whether a question is due, and notes that it is sent.
func (w *Watch) Ask(now time.Time) bool {
	next, ok := w.Next()
	if !ok || now.Before(next) {
		return false
	}
	if w.Silent() && now.Sub(w.silent) > giveUpAfter {
		w.silent = time.Time{}
		return false
	}
	w.asking, w.asked = true, now
	return true
}

// Answered notes the end of a question.
func (w *Watch) Answered(now time.Time, alive bool) Change {
	w.asking = false
	if alive {
		w.heard, w.pause = now, min(2*max(w.pause, probeAfter), maxPause)
		return w.alive()
	}
	if w.heard.After(w.asked) || w.Silent() {
		return None // An answer to a call came meanwhile, or nothing new.
	}
	w.silent = now
	return Lost
}

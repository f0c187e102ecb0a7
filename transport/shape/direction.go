package shape

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// segmentBytes is the usual TCP payload of an Ethernet frame.
	segmentBytes = 1460
	// minRetransmit is the least default delay of a first retransmission, because TCP does not retransmit at once on links
	// with little delay either.
	minRetransmit = 20 * time.Millisecond
	// maxSegmentLosses bounds how often one segment is lost, and with it the doublings of the retransmission delay.
	maxSegmentLosses = 5
	// maxQueuedBytes bounds the data in flight per direction, like a send buffer. Writers wait beyond it.
	maxQueuedBytes = 1 << 20
)

// packet is data in flight on a link, or the end of the stream if err is set.
type packet struct {
	data    []byte
	arrival time.Time
	err     error
}

// direction is one direction of a connection. The connection's mutex guards it.
type direction struct {
	from, to    Endpoint
	sentBytes   *atomic.Int64
	rng         *rand.Rand
	lastArrival time.Time
	queue       []packet
	queuedBytes int
	// broken is set when a partition has dropped data. Data after the gap is never delivered.
	broken bool
}

// arrivalTime returns the arrival time of n bytes that are sent now. Arrival times never decrease, which keeps the
// order of the data.
func (l *direction) arrivalTime(now time.Time, link Link, n int) time.Time {
	due := now.Add(link.Delay)
	if link.Jitter > 0 {
		due = due.Add(time.Duration(l.rng.Int64N(int64(link.Jitter) + 1)))
	}
	if link.Loss > 0 {
		due = due.Add(l.retransmissionDelay(link, n))
	}
	if due.Before(l.lastArrival) {
		due = l.lastArrival
	}
	l.lastArrival = due
	return due
}

// retransmissionDelay draws the losses of each segment of n bytes and returns the longest resulting delay. TCP delivers
// in order, so the slowest segment delays all others.
func (l *direction) retransmissionDelay(link Link, n int) time.Duration {
	first := link.Retransmit
	if first == 0 {
		first = max(4*link.Delay, minRetransmit)
	}
	var longest time.Duration
	for ; n > 0; n -= segmentBytes {
		var delay time.Duration
		for losses := 0; losses < maxSegmentLosses && l.rng.Float64() < link.Loss; losses++ {
			delay += first << losses
		}
		longest = max(longest, delay)
	}
	return longest
}

func (l *direction) push(p packet) {
	l.queue = append(l.queue, p)
	l.queuedBytes += len(p.data)
}

func (l *direction) pop() packet {
	p := l.queue[0]
	l.queue[0] = packet{}
	l.queue = l.queue[1:]
	l.queuedBytes -= len(p.data)
	return p
}

// drop discards the queued data and everything that is sent later.
func (l *direction) drop() {
	l.queue = nil
	l.queuedBytes = 0
	l.broken = true
}

// delayUntil makes the queued packets arrive no earlier than the given time.
func (l *direction) delayUntil(earliest time.Time) {
	for i := range l.queue {
		if l.queue[i].arrival.Before(earliest) {
			l.queue[i].arrival = earliest
		}
	}
	if l.lastArrival.Before(earliest) && len(l.queue) > 0 {
		l.lastArrival = earliest
	}
}

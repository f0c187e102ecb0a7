package shape

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// segmentBytes is the usual TCP payload of an Ethernet frame.
	segmentBytes = 1460
	// minRetransmit keeps the first retransmission realistic on links with little delay.
	minRetransmit = 20 * time.Millisecond
	// maxLosses bounds the doublings of the retransmission delay.
	maxLosses = 5
	// laneBytes bounds the data in flight per direction, like a send buffer. Writers wait beyond it.
	laneBytes = 1 << 20
)

// packet is data in flight, or the end of the stream if err is set.
type packet struct {
	data []byte
	due  time.Time
	err  error
}

// lane is one direction of a connection. The connection's mutex guards it.
type lane struct {
	from, to Endpoint
	count    *atomic.Int64
	rng      *rand.Rand
	last     time.Time
	queue    []packet
	bytes    int
	// silent is set when a partition dropped data: what follows the gap can never be delivered.
	silent bool
}

// due returns the arrival time of n bytes that are sent now. Times never decrease, so the order is kept.
func (l *lane) due(now time.Time, link Link, n int) time.Time {
	due := now.Add(link.Delay)
	if link.Jitter > 0 {
		due = due.Add(time.Duration(l.rng.Int64N(int64(link.Jitter) + 1)))
	}
	if link.Loss > 0 {
		due = due.Add(l.retransmission(link, n))
	}
	if due.Before(l.last) {
		due = l.last
	}
	l.last = due
	return due
}

// retransmission returns the longest delay by loss among the segments, because TCP delivers in order.
func (l *lane) retransmission(link Link, n int) time.Duration {
	first := link.Retransmit
	if first == 0 {
		first = max(4*link.Delay, minRetransmit)
	}
	var longest time.Duration
	for ; n > 0; n -= segmentBytes {
		var delay time.Duration
		for losses := 0; losses < maxLosses && l.rng.Float64() < link.Loss; losses++ {
			delay += first << losses
		}
		longest = max(longest, delay)
	}
	return longest
}

func (l *lane) push(p packet) {
	l.queue = append(l.queue, p)
	l.bytes += len(p.data)
}

func (l *lane) pop() packet {
	p := l.queue[0]
	l.queue[0] = packet{}
	l.queue = l.queue[1:]
	l.bytes -= len(p.data)
	return p
}

// drop discards all data in flight and everything after it.
func (l *lane) drop() {
	l.queue = nil
	l.bytes = 0
	l.silent = true
}

// postpone makes held packets arrive no earlier than the given time.
func (l *lane) postpone(earliest time.Time) {
	for i := range l.queue {
		if l.queue[i].due.Before(earliest) {
			l.queue[i].due = earliest
		}
	}
	if l.last.Before(earliest) && len(l.queue) > 0 {
		l.last = earliest
	}
}

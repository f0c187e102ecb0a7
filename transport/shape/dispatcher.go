package shape

import (
	"container/heap"
	"sync"
	"syscall"
	"time"
)

// timerSlop covers the lateness of runtime timers on an idle Linux process, which wait in whole milliseconds.
const timerSlop = 1500 * time.Microsecond

// maxNap bounds how long the dispatcher is deaf to new events.
const maxNap = 250 * time.Microsecond

// sleepFunc waits about d, or less if wake receives. It may return early.
type sleepFunc func(d time.Duration, wake <-chan struct{})

// sleepPrecisely uses the kernel's timer for the last part of a wait, because it is late by well under 0.1 ms.
func sleepPrecisely(d time.Duration, wake <-chan struct{}) {
	if d > 2*timerSlop {
		sleepByTimer(d-timerSlop, wake)
		return
	}
	ts := syscall.NsecToTimespec(int64(min(d, maxNap)))
	_ = syscall.Nanosleep(&ts, nil)
}

// sleepByTimer uses only runtime timers.
func sleepByTimer(d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	}
}

type event struct {
	at   time.Time
	fire func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return popped
}

// dispatcher runs short functions at exact times on one goroutine for all connections.
type dispatcher struct {
	sleep sleepFunc
	wake  chan struct{}

	mu     sync.Mutex
	events eventHeap
	closed bool
}

func newDispatcher(sleep sleepFunc) *dispatcher {
	d := &dispatcher{sleep: sleep, wake: make(chan struct{}, 1)}
	go d.run()
	return d
}

// at schedules fire, which must not block.
func (d *dispatcher) at(t time.Time, fire func()) {
	d.mu.Lock()
	first := len(d.events) == 0 || t.Before(d.events[0].at)
	heap.Push(&d.events, event{t, fire})
	d.mu.Unlock()
	if first {
		d.signal()
	}
}

func (d *dispatcher) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.signal()
}

func (d *dispatcher) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *dispatcher) run() {
	for {
		fire, wait, closed := d.next()
		switch {
		case closed:
			return
		case fire != nil:
			fire()
		case wait > 0:
			d.sleep(wait, d.wake)
		default:
			<-d.wake
		}
	}
}

// next returns the function that is due, or the time until one is; zero means that nothing is scheduled.
func (d *dispatcher) next() (fire func(), wait time.Duration, closed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.events) == 0 {
		return nil, 0, d.closed
	}
	if wait := time.Until(d.events[0].at); wait > 0 {
		return nil, wait, false
	}
	return heap.Pop(&d.events).(event).fire, 0, false
}

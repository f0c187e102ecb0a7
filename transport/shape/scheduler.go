package shape

import (
	"container/heap"
	"sync"
	"time"
)

// waker wakes one waiting goroutine after a duration that can be changed while it waits.
type waker interface {
	// set schedules the next wake-up after d and replaces the one that was scheduled before.
	set(d time.Duration)
	// wait returns when the duration that was set last has passed. It may return early.
	wait()
	close()
}

// immediately is the duration that makes a waker wake up without delay.
const immediately = time.Nanosecond

// timerWaker uses a runtime timer. On an idle Linux process these are late by up to a millisecond.
type timerWaker struct {
	timer   *time.Timer
	wakeNow chan struct{}
}

func newTimerWaker() waker {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timerWaker{timer, make(chan struct{}, 1)}
}

// set uses no timer for immediately, because fake time no longer advances when a test ends.
func (a timerWaker) set(d time.Duration) {
	if d > immediately {
		a.timer.Reset(d)
		return
	}
	select {
	case a.wakeNow <- struct{}{}:
	default:
	}
}

func (a timerWaker) wait() {
	select {
	case <-a.timer.C:
	case <-a.wakeNow:
	}
}

func (a timerWaker) close() { a.timer.Stop() }

type event struct {
	at  time.Time
	run func()
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

// scheduler runs the timed functions of all connections on one goroutine.
type scheduler struct {
	// waker is set while the mutex is held, so that it always matches the first event.
	waker waker

	mu     sync.Mutex
	events eventHeap
	closed bool
}

func newScheduler(a waker) *scheduler {
	d := &scheduler{waker: a}
	go d.run()
	return d
}

// schedule runs fire at the given time. fire must not block. After close it has no effect.
func (d *scheduler) schedule(t time.Time, fire func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	if len(d.events) == 0 || t.Before(d.events[0].at) {
		d.waker.set(max(time.Until(t), immediately))
	}
	heap.Push(&d.events, event{t, fire})
}

func (d *scheduler) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.waker.set(immediately)
}

func (d *scheduler) run() {
	defer d.waker.close()
	for {
		fire, closed := d.next()
		switch {
		case closed:
			return
		case fire != nil:
			fire()
		default:
			d.waker.wait()
		}
	}
}

// next returns the next function that is due. If none is due, it returns nil and sets the waker for the first event.
func (d *scheduler) next() (fire func(), closed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.events) == 0 {
		return nil, d.closed
	}
	if wait := time.Until(d.events[0].at); wait > 0 {
		d.waker.set(wait)
		return nil, false
	}
	return heap.Pop(&d.events).(event).run, false
}

package shape

import (
	"container/heap"
	"sync"
	"time"
)

// alarm wakes one waiting goroutine after a time that can be changed while it waits.
type alarm interface {
	// set replaces the time of the next wake-up.
	set(d time.Duration)
	// wait returns after the time that was set last. It may return early.
	wait()
	close()
}

// atOnce wakes the waiter without a wait.
const atOnce = time.Nanosecond

// timerAlarm uses a runtime timer. On an idle Linux process these are late by up to a millisecond.
type timerAlarm struct {
	timer *time.Timer
	now   chan struct{}
}

func newTimerAlarm() alarm {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timerAlarm{timer, make(chan struct{}, 1)}
}

// set needs no timer for atOnce, because fake time stands still when a test ends.
func (a timerAlarm) set(d time.Duration) {
	if d > atOnce {
		a.timer.Reset(d)
		return
	}
	select {
	case a.now <- struct{}{}:
	default:
	}
}

func (a timerAlarm) wait() {
	select {
	case <-a.timer.C:
	case <-a.now:
	}
}

func (a timerAlarm) close() { a.timer.Stop() }

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
	// alarm is set with the mutex held, so that it always belongs to the first event.
	alarm alarm

	mu     sync.Mutex
	events eventHeap
	closed bool
}

func newDispatcher(a alarm) *dispatcher {
	d := &dispatcher{alarm: a}
	go d.run()
	return d
}

// at schedules fire, which must not block.
func (d *dispatcher) at(t time.Time, fire func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	if len(d.events) == 0 || t.Before(d.events[0].at) {
		d.alarm.set(max(time.Until(t), atOnce))
	}
	heap.Push(&d.events, event{t, fire})
}

func (d *dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.alarm.set(atOnce)
}

func (d *dispatcher) run() {
	defer d.alarm.close()
	for {
		fire, closed := d.next()
		switch {
		case closed:
			return
		case fire != nil:
			fire()
		default:
			d.alarm.wait()
		}
	}
}

// next returns the function that is due, or sets the alarm for the first event.
func (d *dispatcher) next() (fire func(), closed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.events) == 0 {
		return nil, d.closed
	}
	if wait := time.Until(d.events[0].at); wait > 0 {
		d.alarm.set(wait)
		return nil, false
	}
	return heap.Pop(&d.events).(event).fire, false
}

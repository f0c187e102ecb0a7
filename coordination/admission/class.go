package admission

import (
	"container/heap"
	"container/list"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// rankCount is the number of ranks.
const rankCount = bundle.MaxPriority

// rankOf returns the rank of a call: lower ranks are served first. Unknown classes are served last of the classes.
func rankOf(t Ticket) int {
	if t.Priority > 0 {
		return min(t.Priority, rankCount) - 1
	}
	switch t.Class {
	case bundle.ClassIrreversible:
		return 0
	case bundle.ClassLookup:
		return 1
	default:
		return 2
	}
}

// call is one waiting or running call.
type call struct {
	id        uint64
	rank      int
	route     string
	exclusive bool
	arrived   time.Time
	deadline  time.Time
	target    time.Time
	sortTime  time.Time // place among calls with a target
	element   *list.Element
	index     int // position in byDeadline
}

// noDeadline stands in for a missing deadline.
const noDeadline = 24 * time.Hour

func newCall(t Ticket, now time.Time) *call {
	c := &call{id: t.ID, rank: rankOf(t), route: t.Route, exclusive: t.Exclusive, arrived: now, deadline: t.Deadline,
		target: t.TargetTime}
	if c.deadline.IsZero() {
		c.deadline = now.Add(noDeadline)
	}
	return c
}

func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// overloadRatio is the ratio of waiting time to remaining time from which the newest call is served first.
const overloadRatio = 2

// rankQueue holds the waiting calls of one rank.
type rankQueue struct {
	ordinary    list.List // in order of arrival, short calls with a target before long ones
	exclusive   list.List // in order of arrival
	byDeadline  deadlineHeap
	serviceTime estimate
	started     uint64
	shed        [reasonCount]uint64
}

func (q *rankQueue) listFor(c *call) *list.List {
	if c.exclusive {
		return &q.exclusive
	}
	return &q.ordinary
}

func (q *rankQueue) push(c *call) {
	waiting := q.listFor(c)
	after := waiting.Back()
	for after != nil && c.overtakes(after.Value.(*call)) {
		after = after.Prev()
	}
	if after == nil {
		c.element = waiting.PushFront(c)
	} else {
		c.element = waiting.InsertAfter(c, after)
	}
	heap.Push(&q.byDeadline, c)
}

// overtakes reports whether a call is served before another one of its class that came earlier. Of calls with a target, short
// ones may overtake long ones: they take little from those, and often a call on another upstream waits for them.
func (c *call) overtakes(other *call) bool {
	return !c.target.IsZero() && !other.target.IsZero() && c.sortTime.Before(other.sortTime)
}

// overtakeServiceTimes is how many of its own service times a call lets shorter ones pass. The bound keeps long calls from waiting
// for ever: a call of 120 ms is overtaken by one of 20 ms that comes up to 400 ms later.
const overtakeServiceTimes = 4

func (q *rankQueue) remove(c *call) {
	q.listFor(c).Remove(c.element)
	heap.Remove(&q.byDeadline, c.index)
}

// countAhead returns the number of waiting calls that are served before a new one. Calls that can no longer be in time let it
// pass.
func (q *rankQueue) countAhead(c *call, now time.Time, need func(*call, time.Time) time.Duration) int {
	count := q.exclusive.Len()
	for e := q.ordinary.Front(); e != nil; e = e.Next() {
		other := e.Value.(*call)
		if c.overtakes(other) {
			break
		}
		if c.target.IsZero() || other.inTime(now, need) {
			count++
		}
	}
	return count
}

// inTime reports whether a call that starts now is expected to meet its target, if it has one.
func (c *call) inTime(now time.Time, need func(*call, time.Time) time.Duration) bool {
	return c.target.IsZero() || c.target.Sub(now) >= need(c, now)
}

// oldest returns the ordinary call that has waited longest. The queue must hold one.
func (q *rankQueue) oldest() *call { return q.ordinary.Front().Value.(*call) }

// overloaded reports whether the oldest ordinary call has used up two thirds of its time by waiting. Serving in order
// of arrival would then bring every call close to its deadline. A lower threshold sheds lookups that FIFO would still
// serve in time; never leaving FIFO wastes slots on calls that finish late (docs/traffic.md has the figures).
func (q *rankQueue) overloaded(now time.Time) bool {
	front := q.ordinary.Front()
	if front == nil {
		return false
	}
	c := front.Value.(*call)
	// Calls with a target are refused before they wait that long.
	return c.target.IsZero() && now.Sub(c.arrived) > overloadRatio*c.remaining(now)
}

// next returns the ordinary call that is served next, or nil: the newest under overload, otherwise the first that is
// still in time, otherwise the first. need is the time that a call is expected to run.
func (q *rankQueue) next(now time.Time, need func(*call, time.Time) time.Duration) *call {
	element := q.ordinary.Front()
	for e := element; e != nil; e = e.Next() {
		if e.Value.(*call).inTime(now, need) {
			element = e
			break
		}
	}
	if q.overloaded(now) {
		element = q.ordinary.Back()
	}
	if element == nil {
		return nil
	}
	return element.Value.(*call)
}

// deadlineHeap orders calls by deadline.
type deadlineHeap []*call

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a call; container/heap calls it.
func (h *deadlineHeap) Push(x any) {
	c := x.(*call)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop removes the last call; container/heap calls it.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}

// estimate is a running mean of the service time. A higher quantile would shed more calls that might finish late, but
// a few long samples can then raise it above the deadlines, which sheds everything.
type estimate struct {
	mean    time.Duration
	updated time.Time
}

// sampleDivisor divides the difference that one sample makes.
const sampleDivisor = 8

func (e *estimate) add(now time.Time, sample time.Duration) {
	if e.updated.IsZero() {
		e.mean = sample
	}
	e.mean += (sample - e.mean) / sampleDivisor
	e.updated = now
}

// current returns the mean, or 0 if no call has finished for the lifetime.
func (e *estimate) current(now time.Time, lifetime time.Duration) time.Duration {
	if e.updated.IsZero() || now.Sub(e.updated) >= lifetime {
		return 0
	}
	return e.mean
}

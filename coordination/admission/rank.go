package admission

import (
	"container/heap"
	"container/list"
	"math"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// rankCount is the number of ranks. Calls of priority 1 have rank 0.
const rankCount = bundle.MaxPriority

// rankOf returns the rank of a call; rank 0 is served first. Downloads and unknown classes have the rank of reports.
func rankOf(t Ticket) int {
	if t.Priority > 0 {
		return min(t.Priority, rankCount) - 1
	}
	switch t.Class {
	case bundle.ClassIrreversible, bundle.ClassUpload:
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
	team      string
	exclusive bool
	arrived   time.Time
	deadline  time.Time
	target    time.Time
	service   time.Duration // expected on arrival; 0 if not known
	element   *list.Element
	index     int // position in byDeadline
}

// noDeadline is the time to the deadline of a call without one.
const noDeadline = 24 * time.Hour

func newCall(t Ticket, now time.Time) *call {
	c := &call{id: t.ID, rank: rankOf(t), route: t.Route, team: t.Team, exclusive: t.Exclusive, arrived: now, deadline: t.Deadline,
		target: t.TargetTime}
	if c.deadline.IsZero() {
		c.deadline = now.Add(noDeadline)
	}
	return c
}

func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// overloadRatio is the ratio of the oldest call's waiting time to its remaining time above which its rank counts as
// overloaded and serves the newest call first.
const overloadRatio = 2

// rankQueue holds the waiting calls of one rank.
type rankQueue struct {
	ordinary    list.List // calls that are not exclusive, in order of arrival but for those that overtake others
	exclusive   list.List // ordered in the same way
	byDeadline  deadlineHeap
	serviceTime estimate
	offered     decayingWork        // of the calls that arrive, whether they are admitted or not
	slack       time.Duration       // mean time that a call with a target can wait on arrival; 0 if none has come
	started     uint64              // calls that got a slot
	shed        [reasonCount]uint64 // refused calls by reason
}

// observeArrival adds a call to the work that is offered, and to the mean of the time that calls can wait.
func (q *rankQueue) observeArrival(c *call, now time.Time) {
	if c.target.IsZero() || c.isLate(now) {
		return
	}
	slack := max(c.target.Sub(now)-c.service, 1)
	if q.slack == 0 {
		q.slack = slack
	}
	q.slack += (slack - q.slack) / sampleDivisor
	q.offered.add(now, c.service, offeredWorkWindow)
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

// overtakes reports whether a call is served before another one of its rank that arrived earlier. Among calls with a
// target, clearly shorter ones may overtake long ones: they delay those little, and often a call on another upstream waits
// for them. Calls that take about equally long are served in order of arrival, whatever the estimate of each was.
func (c *call) overtakes(other *call) bool {
	if c.target.IsZero() || other.target.IsZero() || c.service == 0 || overtakeRatio*c.service > other.service {
		return false
	}
	return c.arrived.Sub(other.arrived) < overtakeFactor*(other.service-c.service)
}

const (
	// overtakeRatio is the ratio of the service times from which on a shorter call may overtake. Estimates of one route
	// differ by less from call to call.
	overtakeRatio = 2
	// overtakeFactor bounds how much later a short call may arrive and still overtake a long one: by this many times the
	// difference of their service times, so that long calls do not wait for ever. For example, a call of 20 ms overtakes
	// one of 120 ms that arrived up to 400 ms earlier.
	overtakeFactor = 4
)

func (q *rankQueue) remove(c *call) {
	q.listFor(c).Remove(c.element)
	heap.Remove(&q.byDeadline, c.index)
}

// ahead returns the waiting calls that are served before a new one. Calls that can no longer meet their target are not
// ahead of a call with a target, since next serves it before them.
func (q *rankQueue) ahead(c *call, now time.Time, expectedService func(*call, time.Time) time.Duration) []*call {
	var calls []*call
	for e := q.exclusive.Front(); e != nil; e = e.Next() {
		calls = append(calls, e.Value.(*call))
	}
	for e := q.ordinary.Front(); e != nil; e = e.Next() {
		other := e.Value.(*call)
		if c.overtakes(other) {
			break
		}
		if c.target.IsZero() || other.inTime(now, expectedService) {
			calls = append(calls, other)
		}
	}
	return calls
}

// inTime reports whether a call that starts now is expected to meet its target, if it has one.
func (c *call) inTime(now time.Time, expectedService func(*call, time.Time) time.Duration) bool {
	return c.target.IsZero() || c.target.Sub(now) >= expectedService(c, now)
}

// oldest returns the first ordinary call. The queue must hold one.
func (q *rankQueue) oldest() *call { return q.ordinary.Front().Value.(*call) }

// overloaded reports whether the oldest ordinary call has spent two thirds of the time until its deadline waiting.
// Serving in order of arrival would then bring every call close to its deadline. A lower threshold refuses lookups that
// FIFO would still serve in time; always serving FIFO wastes slots on calls that finish late (docs/traffic.md has the
// figures).
func (q *rankQueue) overloaded(now time.Time) bool {
	front := q.ordinary.Front()
	if front == nil {
		return false
	}
	c := front.Value.(*call)
	// Calls with a target are refused on arrival if they would wait that long.
	return c.target.IsZero() && now.Sub(c.arrived) > overloadRatio*c.remaining(now)
}

// next returns the ordinary call that is served next, or nil if none waits: the newest one under overload, otherwise
// the first that can still meet its target, otherwise the first.
func (q *rankQueue) next(now time.Time, expectedService func(*call, time.Time) time.Duration) *call {
	element := q.ordinary.Front()
	for e := element; e != nil; e = e.Next() {
		if e.Value.(*call).inTime(now, expectedService) {
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

// deadlineHeap is a heap of calls, the one with the earliest deadline first.
type deadlineHeap []*call

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a call, for container/heap.
func (h *deadlineHeap) Push(x any) {
	c := x.(*call)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop removes the last call, for container/heap.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}

// estimate is a running mean of the service time. A higher quantile would refuse more calls that might finish late, but
// a few long samples could raise it above the deadlines, which refuses every call.
type estimate struct {
	mean    time.Duration
	updated time.Time
}

// sampleDivisor is the inverse of the weight of one sample in the mean.
const sampleDivisor = 8

func (e *estimate) add(now time.Time, sample time.Duration) {
	if e.updated.IsZero() {
		e.mean = sample
	}
	e.mean += (sample - e.mean) / sampleDivisor
	e.updated = now
}

// current returns the mean, or 0 if the last sample is older than lifetime.
func (e *estimate) current(now time.Time, lifetime time.Duration) time.Duration {
	if e.updated.IsZero() || now.Sub(e.updated) >= lifetime {
		return 0
	}
	return e.mean
}

// offeredWorkWindow is the time constant of the mean of the work that arrives: long enough for some tens of the calls that
// come often, short enough to follow a change of the load.
const offeredWorkWindow = time.Second

// decayingWork is an exponentially weighted mean of the work of calls, in slots: seconds of service time per second.
type decayingWork struct {
	mean    float64
	updated time.Time
}

func (w *decayingWork) add(now time.Time, service, window time.Duration) {
	w.mean = w.slots(now, window) + service.Seconds()/window.Seconds()
	w.updated = now
}

// slots returns the number of slots that the work fills.
func (w *decayingWork) slots(now time.Time, window time.Duration) float64 {
	if w.updated.IsZero() {
		return 0
	}
	return w.mean * math.Exp(-now.Sub(w.updated).Seconds()/window.Seconds())
}

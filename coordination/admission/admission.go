// Package admission decides which calls one upstream runs, which wait and which are shed. A Queue is driven under the
// lock of its executor and is not safe for concurrent use.
package admission

import (
	"cmp"
	"time"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Action is what happens to a call.
type Action uint8

// The actions.
const (
	// Run starts the call now. It occupies a slot until Finish or Cancel.
	Run Action = iota
	// Wait keeps the call in its queue. A later Decision ends the wait.
	Wait
	// Shed refuses the call. It was not run.
	Shed
)

// Reason tells why a call was shed.
type Reason uint8

// The reasons.
const (
	// ReasonNone is the reason of calls that are not shed.
	ReasonNone Reason = iota
	// ReasonDeadline means that the call is not expected to finish before its deadline.
	ReasonDeadline
	// ReasonQueueFull means that the queue of the class is full.
	ReasonQueueFull
	// ReasonDraining means that the upstream is leaving.
	ReasonDraining
	// ReasonTarget means that waiting would take the call beyond the time in which its answer has its full value.
	ReasonTarget

	reasonCount = iota
)

// Verdict is the decision on one call.
type Verdict struct {
	Action Action
	Reason Reason
}

// Decision is the verdict on a call that waited.
type Decision struct {
	ID      uint64
	Verdict Verdict
}

// Ticket describes a call that wants to run.
type Ticket struct {
	ID    uint64
	Class bundle.Class
	// Priority overrides the rank of the class: 1 is served first, 0 takes the class's.
	Priority int
	// Route groups calls that take about as long as each other.
	Route    string
	Deadline time.Time
	// TargetTime is the time until which an answer has its full value; zero if there is none. A call that would wait beyond it
	// is refused at once: under overload a slot is worth more to a call that is still in time, and the caller can use the
	// time that is left elsewhere or later.
	TargetTime time.Time
	// Exclusive means that the call must be the only one in flight on the upstream.
	Exclusive bool
}

// Config holds the settings of a Queue. Zero fields take the defaults.
type Config struct {
	// Slots bounds the calls in flight.
	Slots int
	// QueueLimit bounds the waiting calls of each class.
	QueueLimit int
	// ExclusiveShare bounds the part of the time that the upstream is reserved for calls that must run alone while other
	// calls wait, including the time to empty the slots. It also bounds their part of the places in a queue.
	ExclusiveShare float64
	// EstimateLifetime is the time for which the estimate of the service time holds if no call finishes. Without this
	// limit, an estimate above the deadlines would shed every call and never be corrected.
	EstimateLifetime time.Duration
}

// The defaults of Config.
const (
	DefaultSlots            = 10
	DefaultQueueLimit       = 100
	DefaultExclusiveShare   = 0.1
	DefaultEstimateLifetime = time.Second
)

func (c Config) withDefaults() Config {
	c.Slots = cmp.Or(c.Slots, DefaultSlots)
	c.QueueLimit = cmp.Or(c.QueueLimit, DefaultQueueLimit)
	c.ExclusiveShare = cmp.Or(c.ExclusiveShare, DefaultExclusiveShare)
	c.EstimateLifetime = cmp.Or(c.EstimateLifetime, DefaultEstimateLifetime)
	return c
}

// targetWaitShare is the part of the time that a call has beside its service time that it may wait. Service times vary by
// about their mean; a call that waits until the last moment is late every second time.
const targetWaitShare = 0.8

// maxRouteEstimates bounds the routes with an estimate of their own.
const maxRouteEstimates = 256

var (
	verdictRun  = Verdict{Action: Run}
	verdictWait = Verdict{Action: Wait}
)

// Queue holds the slots and the waiting calls of one upstream.
type Queue struct {
	config            Config
	running           map[uint64]*call
	waiting           map[uint64]*call
	ranks             [rankCount]rankQueue
	routeServiceTimes map[string]*estimate // service time of each route
	serviceTime       estimate             // service time over all classes
	pending           []Decision
	draining          bool
	// lastInput is the time of the last input.
	lastInput time.Time
	reservation
}

// reservation holds the state of calls that must run alone.
type reservation struct {
	// reservedFor is the call for which the slots are being emptied, or that runs alone.
	reservedFor *call
	reservedAt  time.Time
	// nextReservation is the time from which the slots may be emptied for a further call.
	nextReservation time.Time
}

// New returns an empty queue.
func New(c Config) *Queue {
	return &Queue{
		config: c.withDefaults(), running: make(map[uint64]*call), waiting: make(map[uint64]*call),
		routeServiceTimes: make(map[string]*estimate),
	}
}

// Offer decides on a new call. Its identifier must not be in use. Decisions on other calls that follow from it are
// returned by the next call of Expire, Finish or Cancel; NextExpiry is due at once in this case.
func (q *Queue) Offer(now time.Time, t Ticket) Verdict {
	q.lastInput = now
	c := newCall(t, now)
	c.sortTime = now.Add(overtakeServiceTimes * q.expectedService(c, now))
	switch {
	case q.draining:
		return q.shed(c, ReasonDraining)
	case c.remaining(now) <= q.expectedService(c, now):
		return q.shed(c, ReasonDeadline)
	case q.mayStart(c):
		q.start(c, now)
		return verdictRun
	case c.remaining(now) < q.expectedService(c, now)+q.expectedWait(c, now):
		return q.shed(c, ReasonDeadline)
	case q.waitMissesTarget(c, now):
		return q.shed(c, ReasonTarget)
	case !q.makeQueueRoom(c, now):
		return q.shed(c, ReasonQueueFull)
	}
	q.enqueue(c)
	q.reserve(now)
	return verdictWait
}

// Cancel frees the slot or the place in the queue of a call whose caller left.
func (q *Queue) Cancel(now time.Time, id uint64) []Decision {
	if c, ok := q.waiting[id]; ok {
		q.remove(c, now)
	}
	if c, ok := q.running[id]; ok {
		q.stop(c, now)
	}
	return q.dispatch(now)
}

// Finish frees the slot of a call that ran for the given time.
func (q *Queue) Finish(now time.Time, id uint64, service time.Duration) []Decision {
	if c, ok := q.running[id]; ok {
		q.rankQueue(c).serviceTime.add(now, service)
		q.routeServiceTime(c.route).add(now, service)
		q.serviceTime.add(now, service)
		q.stop(c, now)
	}
	return q.dispatch(now)
}

// Expire sheds waiting calls that can no longer finish in time and returns all pending decisions.
func (q *Queue) Expire(now time.Time) []Decision { return q.dispatch(now) }

// NextExpiry returns the time at which Expire should be called, if any call waits. The zero time means at once.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.pending) > 0 {
		return time.Time{}, true
	}
	var next time.Time
	for i := range q.ranks {
		class := &q.ranks[i]
		if len(class.byDeadline) == 0 {
			continue
		}
		first := class.byDeadline[0]
		at := first.deadline.Add(-q.expectedService(first, q.lastInput))
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if q.reservedFor == nil && q.exclusiveWaits() && q.nextReservation.After(q.lastInput) && q.nextReservation.Before(next) {
		next = q.nextReservation
	}
	return next, len(q.waiting) > 0
}

// Load returns the first-hand load.
func (q *Queue) Load() balance.Load {
	return balance.Load{
		InFlight:      len(q.running),
		Queued:        len(q.waiting),
		Slots:         q.config.Slots,
		LatencyMicros: q.serviceTime.mean.Microseconds(),
	}
}

// Drain refuses all further calls and sheds the waiting ones; call Expire next to receive these decisions.
// Calls in flight are not affected.
func (q *Queue) Drain() {
	q.draining = true
	for i := range q.ranks {
		for len(q.ranks[i].byDeadline) > 0 {
			q.evict(q.ranks[i].byDeadline[0], ReasonDraining, time.Time{})
		}
	}
}

// Resize changes the number of slots; call Expire next to receive the decisions that follow.
func (q *Queue) Resize(slots int) { q.config.Slots = max(1, slots) }

// shed counts a refused call and returns its verdict.
func (q *Queue) shed(c *call, reason Reason) Verdict {
	q.rankQueue(c).shed[reason]++
	return Verdict{Action: Shed, Reason: reason}
}

func (q *Queue) rankQueue(c *call) *rankQueue { return &q.ranks[c.rank] }

// expectedService returns the time that a call is expected to run.
func (q *Queue) expectedService(c *call, now time.Time) time.Duration {
	return q.routeServiceTime(c.route).current(now, q.config.EstimateLifetime)
}

// routeServiceTime returns the estimate of a route. Routes beyond maxRouteEstimates share that of the empty name.
func (q *Queue) routeServiceTime(route string) *estimate {
	known, ok := q.routeServiceTimes[route]
	if ok {
		return known
	}
	if len(q.routeServiceTimes) >= maxRouteEstimates && route != "" {
		return q.routeServiceTime("")
	}
	known = &estimate{}
	q.routeServiceTimes[route] = known
	return known
}

// expectedWait returns the time until the slots have served the calls ahead. Under overload the newest call of a class
// is served first, so those of its own class are not ahead.
func (q *Queue) expectedWait(c *call, now time.Time) time.Duration {
	ahead := 1
	for i := range c.rank {
		ahead += len(q.ranks[i].byDeadline)
	}
	if !q.rankQueue(c).overloaded(now) {
		ahead += q.rankQueue(c).countAhead(c, now, q.expectedService)
	}
	return time.Duration(ahead) * q.serviceTime.mean / time.Duration(q.config.Slots)
}

// waitMissesTarget reports whether a call is late because of its wait. A call that is too long for its target in any case
// is judged by its deadline only.
func (q *Queue) waitMissesTarget(c *call, now time.Time) bool {
	if c.target.IsZero() {
		return false
	}
	left := c.target.Sub(now) - q.expectedService(c, now)
	return left > 0 && float64(q.expectedWait(c, now)) > targetWaitShare*float64(left)
}

// mayStart reports whether a new call may start without waiting.
func (q *Queue) mayStart(c *call) bool {
	if q.reservedFor != nil {
		return false
	}
	if c.exclusive {
		return len(q.running) == 0
	}
	return len(q.running) < q.config.Slots
}

// makeQueueRoom reports whether the queue of the call's class has a free place. Under overload the oldest call gives way.
// Isolated calls get only their share of the places: they leave slowly and would otherwise fill the queue.
func (q *Queue) makeQueueRoom(c *call, now time.Time) bool {
	class := q.rankQueue(c)
	if c.exclusive && class.exclusive.Len() >= max(1, int(float64(q.config.QueueLimit)*q.config.ExclusiveShare)) {
		return false
	}
	if len(class.byDeadline) < q.config.QueueLimit {
		return true
	}
	if !class.overloaded(now) {
		return false
	}
	q.evict(class.oldest(), ReasonQueueFull, now)
	return true
}

func (q *Queue) enqueue(c *call) {
	q.waiting[c.id] = c
	q.rankQueue(c).push(c)
}

func (q *Queue) remove(c *call, now time.Time) {
	delete(q.waiting, c.id)
	q.rankQueue(c).remove(c)
	if q.reservedFor == c {
		q.endReservation(now)
	}
}

func (q *Queue) evict(c *call, reason Reason, now time.Time) {
	q.remove(c, now)
	q.pending = append(q.pending, Decision{ID: c.id, Verdict: q.shed(c, reason)})
}

func (q *Queue) start(c *call, now time.Time) {
	q.running[c.id] = c
	q.rankQueue(c).started++
	if c.exclusive && q.reservedFor == nil {
		q.reservedFor, q.reservedAt = c, now
	}
}

func (q *Queue) stop(c *call, now time.Time) {
	delete(q.running, c.id)
	if q.reservedFor == c {
		q.endReservation(now)
	}
}

// dispatch sheds calls that can no longer finish in time, starts calls while slots are free, and returns all pending
// decisions.
func (q *Queue) dispatch(now time.Time) []Decision {
	q.lastInput = now
	q.shedHopeless(now)
	for {
		q.reserve(now)
		c := q.next(now)
		if c == nil {
			break
		}
		reserved := q.reservedFor
		q.reservedFor = nil // the reservation passes from the waiting call to the running one
		q.remove(c, now)
		q.reservedFor = reserved
		q.start(c, now)
		q.pending = append(q.pending, Decision{ID: c.id, Verdict: verdictRun})
	}
	decisions := q.pending
	q.pending = nil
	return decisions
}

func (q *Queue) shedHopeless(now time.Time) {
	for i := range q.ranks {
		class := &q.ranks[i]
		for len(class.byDeadline) > 0 {
			first := class.byDeadline[0]
			if first.remaining(now) > q.expectedService(first, now) {
				break
			}
			q.evict(first, ReasonDeadline, now)
		}
	}
}

// next returns the call that starts now, or nil.
func (q *Queue) next(now time.Time) *call {
	if q.reservedFor != nil {
		if _, waits := q.waiting[q.reservedFor.id]; waits && len(q.running) == 0 {
			return q.reservedFor
		}
		return nil
	}
	if len(q.running) >= q.config.Slots {
		return nil
	}
	for i := range q.ranks {
		if c := q.ranks[i].next(now, q.expectedService); c != nil {
			return c
		}
	}
	return nil
}

// reserve empties the slots for the first call that must run alone, if its class is served next and the share of time
// allows it.
func (q *Queue) reserve(now time.Time) {
	if q.reservedFor != nil {
		return
	}
	due := !now.Before(q.nextReservation)
	for i := range q.ranks {
		class := &q.ranks[i]
		if class.exclusive.Len() > 0 && (due || q.nothingElse()) {
			q.reservedFor, q.reservedAt = class.exclusive.Front().Value.(*call), now
			return
		}
		if class.ordinary.Len() > 0 {
			return
		}
	}
}

// nothingElse reports whether an isolated call would keep no other call from running.
func (q *Queue) nothingElse() bool {
	for i := range q.ranks {
		if q.ranks[i].ordinary.Len() > 0 {
			return false
		}
	}
	return len(q.running) == 0
}

func (q *Queue) exclusiveWaits() bool {
	for i := range q.ranks {
		if q.ranks[i].exclusive.Len() > 0 {
			return true
		}
	}
	return false
}

// endReservation delays the next reservation, so that reservations take at most their share of the time.
func (q *Queue) endReservation(now time.Time) {
	used := now.Sub(q.reservedAt)
	q.reservedFor = nil
	if used > 0 {
		q.nextReservation = now.Add(time.Duration(float64(used) * (1/q.config.ExclusiveShare - 1)))
	}
}

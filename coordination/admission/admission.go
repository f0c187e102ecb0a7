// Package admission is the admission control of one upstream: it decides which calls run, which wait for a slot and
// which are refused. A Queue is not safe for concurrent use; the executor calls it under its lock. It does no I/O and
// reads no clock.
package admission

import (
	"cmp"
	"math"
	"time"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Action is what the executor does with a call.
type Action uint8

const (
	// Run starts the call now. It occupies a slot until Finish or Cancel.
	Run Action = iota
	// Wait queues the call. A later Decision starts or refuses it.
	Wait
	// Shed refuses the call; it was not run.
	Shed
)

// Reason tells why a call was refused.
type Reason uint8

const (
	// ReasonNone is the reason of calls that are not refused.
	ReasonNone Reason = iota
	// ReasonDeadline means that the call is not expected to finish before its deadline.
	ReasonDeadline
	// ReasonQueueFull means that the queue of the call's rank is full.
	ReasonQueueFull
	// ReasonDraining means that the upstream is leaving.
	ReasonDraining
	// ReasonShare means that the call's team has been given more than its share; see teams.
	ReasonShare
	// ReasonTarget means that the call would wait too long for slots to meet its target; see Ticket.TargetTime.
	ReasonTarget

	reasonCount = iota
)

// Verdict is the decision on one call.
type Verdict struct {
	Action Action
	Reason Reason
}

// Decision is the verdict on a call that was waiting.
type Decision struct {
	ID      uint64
	Verdict Verdict
}

// Ticket describes a call that asks for a slot.
type Ticket struct {
	// ID identifies the call in this queue.
	ID    uint64
	Class bundle.Class
	// Priority overrides the priority of the class: calls of priority 1 are served first; 0 takes that of the class.
	Priority int
	// Route is the name of the call's route. The service time is estimated for each route, since calls of one route
	// take about equally long.
	Route string
	// Team is the caller's team; empty if it has none. A team that sends many times its usual is refused before others.
	Team string
	// Deadline is the time by which the call must finish; zero if there is none.
	Deadline time.Time
	// TargetTime is the time until which a response has its full value for the caller; zero if there is none. A call
	// that would miss it by waiting is refused at once: under overload the slot goes to a call that can still meet its
	// target, and the caller can use the time left to try elsewhere or later.
	TargetTime time.Time
	// Exclusive means that the call may run only while no other call is in flight on the upstream.
	Exclusive bool
}

// Config holds the settings of a Queue. Zero fields take the defaults.
type Config struct {
	// Slots bounds the calls in flight.
	Slots int
	// QueueLimit bounds the waiting calls of each rank, and TargetQueueLimit those of them with a target. These are bounded
	// by their expected wait before: many short calls may wait where few long ones may.
	QueueLimit       int
	TargetQueueLimit int
	// ExclusiveShare bounds the share of time for which the upstream is reserved for exclusive calls while other calls
	// wait, including the time until the slots are empty. It also bounds their share of QueueLimit.
	ExclusiveShare float64
	// EstimateLifetime is the time for which an estimate of the service time remains valid if no call finishes. Without
	// this limit, an estimate above the deadlines would refuse every call and never be corrected.
	EstimateLifetime time.Duration
}

// Defaults of Config.
const (
	DefaultSlots            = 10
	DefaultQueueLimit       = 100
	DefaultExclusiveShare   = 0.1
	DefaultEstimateLifetime = time.Second
)

func (c Config) withDefaults() Config {
	c.Slots = cmp.Or(c.Slots, DefaultSlots)
	c.QueueLimit = cmp.Or(c.QueueLimit, DefaultQueueLimit)
	c.TargetQueueLimit = cmp.Or(c.TargetQueueLimit, c.QueueLimit)
	c.ExclusiveShare = cmp.Or(c.ExclusiveShare, DefaultExclusiveShare)
	c.EstimateLifetime = cmp.Or(c.EstimateLifetime, DefaultEstimateLifetime)
	return c
}

// maxRouteEstimates bounds the number of routes with a separate estimate of the service time.
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
	routeServiceTimes map[string]*estimate // by route
	serviceTime       estimate             // over all calls
	pending           []Decision           // not yet returned to the executor
	draining          bool
	lastInput         time.Time // time of the last Offer, Cancel, Finish or Expire
	lastEmpty         time.Time // time of the last Offer before which no call waited
	limit             rateLimit
	teams             teams
	reservation
}

// reservation is the state of the reservation of all slots for one exclusive call.
type reservation struct {
	// reservedFor is the exclusive call that runs, or that waits until the slots are empty; nil if there is none.
	reservedFor *call
	reservedAt  time.Time
	// nextReservation is the earliest time of the next reservation while other calls wait.
	nextReservation time.Time
}

// New returns an empty queue.
func New(c Config) *Queue {
	return &Queue{
		config: c.withDefaults(), running: make(map[uint64]*call), waiting: make(map[uint64]*call),
		routeServiceTimes: make(map[string]*estimate),
	}
}

// Offer decides on a new call. Its ID must not be that of a call that waits or runs. If the decision evicts another
// call, the next call of Expire, Finish or Cancel returns the Decision on that one, and NextExpiry is due at once.
func (q *Queue) Offer(now time.Time, t Ticket) Verdict {
	q.lastInput = now
	if len(q.waiting) == 0 {
		q.lastEmpty = now
	}
	c := newCall(t, now)
	c.service = q.expectedService(c, now)
	q.rankQueue(c).observeArrival(c, now)
	ratio := q.teams.observeArrival(c, now)
	verdict, displaced := q.decide(c, now, ratio)
	switch verdict.Action {
	case Run:
		q.start(c, now)
	case Wait:
		if displaced != nil {
			q.evict(displaced, ReasonQueueFull, now)
		}
		q.enqueue(c)
		q.reserve(now)
	case Shed:
		q.countShed(c, verdict.Reason)
	}
	return verdict
}

// decide returns the verdict on a new call and, if it waits in the place of another call, that one. ratio is that of the
// call's team.
func (q *Queue) decide(c *call, now time.Time, ratio float64) (verdict Verdict, displaced *call) {
	switch {
	case q.draining:
		return Verdict{Shed, ReasonDraining}, nil
	case c.remaining(now) <= q.expectedService(c, now):
		return Verdict{Shed, ReasonDeadline}, nil
	case ratio > excessRatio && q.isNearlyFull():
		return Verdict{Shed, ReasonShare}, nil
	case q.mayStart(c, now):
		return verdictRun, nil
	case c.isLate(now) && !q.hasSpareSlots(c, now):
		return Verdict{Shed, ReasonTarget}, nil
	case c.remaining(now) < q.expectedService(c, now)+q.expectedWait(c, now):
		return Verdict{Shed, ReasonDeadline}, nil
	case q.waitMissesTarget(c, now):
		return Verdict{Shed, ReasonTarget}, nil
	}
	displaced, ok := q.queueRoom(c, now)
	if !ok {
		return Verdict{Shed, ReasonQueueFull}, nil
	}
	return verdictWait, displaced
}

// Cancel removes a call whose caller has gone away, whether it waits or runs, and returns the decisions that follow.
func (q *Queue) Cancel(now time.Time, id uint64) []Decision {
	if c, ok := q.waiting[id]; ok {
		q.remove(c, now)
	}
	if c, ok := q.running[id]; ok {
		q.stop(c, now)
	}
	return q.dispatch(now)
}

// Finish frees the slot of a call that ran for the given service time, and returns the decisions that follow.
func (q *Queue) Finish(now time.Time, id uint64, service time.Duration) []Decision {
	if c, ok := q.running[id]; ok {
		q.rankQueue(c).serviceTime.add(now, service)
		q.routeServiceTime(c.route).add(now, service)
		q.serviceTime.add(now, service)
		q.stop(c, now)
	}
	return q.dispatch(now)
}

// Expire refuses waiting calls that can no longer finish before their deadline, and returns all pending decisions.
func (q *Queue) Expire(now time.Time) []Decision { return q.dispatch(now) }

// NextExpiry returns the time at which Expire should be called; the zero time means at once. It reports false if no
// call waits and no decision is pending.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.pending) > 0 {
		return time.Time{}, true
	}
	var next time.Time
	for i := range q.ranks {
		queue := &q.ranks[i]
		if len(queue.byDeadline) == 0 {
			continue
		}
		first := queue.byDeadline[0]
		expiry := first.deadline.Add(-q.expectedService(first, q.lastInput))
		if next.IsZero() || expiry.Before(next) {
			next = expiry
		}
	}
	if len(q.running) < q.config.Slots && !q.limit.allows(q.lastInput) {
		// The time is rounded up, so that the start is allowed by then.
		start := q.lastInput.Add(q.limit.wait(q.lastInput, 1) + time.Microsecond)
		if start.Before(next) {
			next = start
		}
	}
	if q.reservedFor == nil && q.hasExclusive() && q.nextReservation.After(q.lastInput) && q.nextReservation.Before(next) {
		next = q.nextReservation
	}
	return next, len(q.waiting) > 0
}

// Load returns the load of the upstream as this queue counts it.
func (q *Queue) Load() balance.Load {
	return balance.Load{
		InFlight:      len(q.running),
		Queued:        len(q.waiting),
		Slots:         q.usableSlots(),
		LatencyMicros: q.serviceTime.mean.Microseconds(),
	}
}

// Drain refuses the waiting calls and all further ones; call Expire next to receive the decisions. Calls in flight are
// not affected.
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

// SetLimit bounds the calls that start per second; 0 removes the bound. Waiting calls that can then no longer start before
// their deadline are refused; call Expire next to receive the decisions that follow.
func (q *Queue) SetLimit(now time.Time, perSecond float64) {
	q.limit.set(now, perSecond)
	position := 0
	for i := range q.ranks {
		var late []*call
		for e := q.ranks[i].ordinary.Front(); e != nil; e = e.Next() {
			c := e.Value.(*call)
			if q.limit.wait(now, position+1)+q.expectedService(c, now) > c.remaining(now) {
				late = append(late, c)
				continue
			}
			position++
		}
		for _, c := range late {
			q.evict(c, ReasonDeadline, now)
		}
	}
}

// usableSlots returns the slots that calls can fill: no more than the limit starts during a service time. Nodes that send
// calls here divide the load by it.
func (q *Queue) usableSlots() int {
	if !q.limit.limited() || q.serviceTime.mean == 0 {
		return q.config.Slots
	}
	return min(q.config.Slots, max(1, int(math.Ceil(q.limit.perSecond*q.serviceTime.mean.Seconds()))))
}

func (q *Queue) countShed(c *call, reason Reason) { q.rankQueue(c).shed[reason]++ }

// rankQueue returns the queue of the call's rank.
func (q *Queue) rankQueue(c *call) *rankQueue { return &q.ranks[c.rank] }

// expectedService returns the expected service time of a call; 0 if it is not known.
func (q *Queue) expectedService(c *call, now time.Time) time.Duration {
	return q.routeServiceTime(c.route).current(now, q.config.EstimateLifetime)
}

// routeServiceTime returns the estimate of a route, and creates it if necessary. Beyond maxRouteEstimates, all further
// routes share the estimate of the empty name.
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

// mayStart reports whether a call may start without waiting.
func (q *Queue) mayStart(c *call, now time.Time) bool {
	if q.reservedFor != nil {
		return false
	}
	if c.exclusive {
		return len(q.running) == 0 && q.limit.allows(now)
	}
	return q.hasSlotFor(c, now)
}

// hasSlotFor reports whether the limit allows a call to start, and a slot is free beyond the headroom for more
// urgent calls.
func (q *Queue) hasSlotFor(c *call, now time.Time) bool {
	free := q.config.Slots - len(q.running)
	if free <= 0 || !q.limit.allows(now) {
		return false
	}
	headroom := q.urgentHeadroom(c, now)
	for _, other := range q.running {
		if other.rank < c.rank {
			headroom--
		}
	}
	return free > max(0, headroom)
}

// isNearlyFull reports whether only the slots are free that a team with more than its share leaves to others.
func (q *Queue) isNearlyFull() bool {
	free := q.config.Slots - len(q.running)
	return len(q.running) > 0 && free <= int(math.Ceil(excessHeadroomShare*float64(q.config.Slots)))
}

// queueRoom reports whether the queue of the call's rank has room for it. Under overload a full queue has room in the
// place of its oldest ordinary call, which it returns. Exclusive calls get only their share of the queue: they are served slowly and would
// otherwise fill it.
func (q *Queue) queueRoom(c *call, now time.Time) (displaced *call, ok bool) {
	queue := q.rankQueue(c)
	if c.exclusive && queue.exclusive.Len() >= max(1, int(float64(q.config.QueueLimit)*q.config.ExclusiveShare)) {
		return nil, false
	}
	if len(queue.byDeadline) < q.queueLimit(c) {
		return nil, true
	}
	if !c.exclusive && queue.ordinary.Len() > 0 {
		if last := queue.ordinary.Back().Value.(*call); c.overtakes(last) {
			return last, true
		}
	}
	if !queue.overloaded(now) {
		return nil, false
	}
	return queue.oldest(), true
}

// queueLimit returns the number of calls that may wait in the rank of a call.
func (q *Queue) queueLimit(c *call) int {
	if c.target.IsZero() {
		return q.config.QueueLimit
	}
	return q.config.TargetQueueLimit
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
	q.countShed(c, reason)
	q.pending = append(q.pending, Decision{ID: c.id, Verdict: Verdict{Shed, reason}})
}

func (q *Queue) start(c *call, now time.Time) {
	q.running[c.id] = c
	q.limit.take(now)
	q.teams.observeStart(c, now)
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

// dispatch refuses calls that can no longer finish in time, starts waiting calls while slots are free, and returns all
// pending decisions.
func (q *Queue) dispatch(now time.Time) []Decision {
	q.lastInput = now
	q.shedLate(now)
	for {
		q.reserve(now)
		c := q.next(now)
		if c == nil {
			break
		}
		reservedFor := q.reservedFor
		q.reservedFor = nil // so that remove does not end the reservation, which the call keeps while it runs
		q.remove(c, now)
		q.reservedFor = reservedFor
		q.start(c, now)
		q.pending = append(q.pending, Decision{ID: c.id, Verdict: verdictRun})
	}
	decisions := q.pending
	q.pending = nil
	return decisions
}

// shedLate refuses the waiting calls that can no longer finish before their deadline.
func (q *Queue) shedLate(now time.Time) {
	for i := range q.ranks {
		queue := &q.ranks[i]
		for len(queue.byDeadline) > 0 {
			first := queue.byDeadline[0]
			if first.remaining(now) > q.expectedService(first, now) {
				break
			}
			q.evict(first, ReasonDeadline, now)
		}
	}
}

// next returns the waiting call that starts now, or nil.
func (q *Queue) next(now time.Time) *call {
	if q.reservedFor != nil {
		if _, waits := q.waiting[q.reservedFor.id]; waits && len(q.running) == 0 && q.limit.allows(now) {
			return q.reservedFor
		}
		return nil
	}
	if len(q.running) >= q.config.Slots {
		return nil
	}
	for i := range q.ranks {
		if c := q.ranks[i].next(now, q.expectedService); c != nil {
			if q.hasSlotFor(c, now) {
				return c
			}
			return nil
		}
	}
	return nil
}

// reserve reserves the slots for the first waiting exclusive call, if no ordinary call of a higher rank waits and
// ExclusiveShare allows a reservation now.
func (q *Queue) reserve(now time.Time) {
	if q.reservedFor != nil {
		return
	}
	due := !now.Before(q.nextReservation)
	for i := range q.ranks {
		queue := &q.ranks[i]
		if queue.exclusive.Len() > 0 && (due || q.idle()) {
			q.reservedFor, q.reservedAt = queue.exclusive.Front().Value.(*call), now
			return
		}
		if queue.ordinary.Len() > 0 {
			return
		}
	}
}

// idle reports whether no call runs and no ordinary call waits, so that an exclusive call would delay no other.
func (q *Queue) idle() bool {
	for i := range q.ranks {
		if q.ranks[i].ordinary.Len() > 0 {
			return false
		}
	}
	return len(q.running) == 0
}

func (q *Queue) hasExclusive() bool {
	for i := range q.ranks {
		if q.ranks[i].exclusive.Len() > 0 {
			return true
		}
	}
	return false
}

// endReservation ends the reservation and delays the next one, so that reservations take at most ExclusiveShare of the
// time.
func (q *Queue) endReservation(now time.Time) {
	reservedTime := now.Sub(q.reservedAt)
	q.reservedFor = nil
	if reservedTime > 0 {
		q.nextReservation = now.Add(time.Duration(float64(reservedTime) * (1/q.config.ExclusiveShare - 1)))
	}
}

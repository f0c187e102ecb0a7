package admission

import (
	"cmp"
	"time"
)

const (
	// targetWaitShare is the share of the time between now and the target, less the expected service time, that a call may
	// spend waiting. Service times vary by about their mean, so a call that waits until the last moment is late every
	// second time, while a slot of another upstream may be free.
	targetWaitShare = 0.4
	// standingWaitShare takes the place of targetWaitShare while the queue is a standing one: calls then arrive faster than
	// they are served, and each wait that is granted delays all later calls without serving more of them. The next call to
	// be served is exempt, since a slot would be idle until another one arrives.
	standingWaitShare = 0.1
	// shortWaitShare takes the place of both for a call that takes much less time than those that hold the slots. It delays
	// them little, and often a call on another upstream waits for it, whose slot would be wasted by a refusal.
	shortWaitShare = 0.8
	// shortFactor is the ratio of the mean service time of the running calls to that of a short call.
	shortFactor = 4
	// lateMargin is the time until its target from which on a call counts as late, also if its service time is not known.
	lateMargin = 2 * time.Millisecond
	// spareShare is the share of the slots that timely calls may fill before late ones are refused.
	spareShare = 0.9
	// maxOvertakingShare bounds the share of the slots that overtaking calls take or that are kept for them.
	maxOvertakingShare = 0.8
)

// expectedWait returns the expected time until a new call gets a slot: the work of the waiting calls before it, and of
// one running call that must end first, spread over the slots that calls which overtake it leave. Calls count with the
// time that they take, since a few long ones may hold the slots for longer than many short ones that end meanwhile.
func (q *Queue) expectedWait(c *call, now time.Time) time.Duration {
	overtaking, held := 0, 0
	var heldWork time.Duration
	for _, other := range q.running {
		if q.keepsOvertaking(other, c) {
			overtaking++
			continue
		}
		held++
		heldWork += q.serviceOf(other)
	}
	work := q.serviceTime.mean
	if held > 0 {
		work = heldWork / time.Duration(held)
	}
	ahead := q.ahead(c, now)
	for _, other := range ahead {
		work += q.serviceOf(other)
	}
	slots := float64(q.config.Slots)
	taken := min(float64(max(overtaking, q.urgentHeadroom(c, now))), maxOvertakingShare*slots)
	wait := time.Duration(float64(work) / (slots - taken))
	if q.limit.limited() && len(q.running) < q.config.Slots {
		wait = 0
	}
	// Overtaking calls take the same share of the starts as of the slots.
	limitWait := float64(q.limit.wait(now, len(ahead)+1)) * slots / (slots - taken)
	return max(wait, time.Duration(limitWait))
}

// ahead returns the waiting calls that are served before a new one. Under overload the newest call of a rank is served
// first, so that the waiting calls of its own rank are not ahead of it.
func (q *Queue) ahead(c *call, now time.Time) []*call {
	var calls []*call
	for i := range c.rank {
		calls = append(calls, q.ranks[i].byDeadline...)
	}
	if own := q.rankQueue(c); !own.overloaded(now) {
		calls = append(calls, own.ahead(c, now, q.expectedService)...)
	}
	return calls
}

// keepsOvertaking reports whether calls like a running one would be served before a waiting one: those of higher ranks and
// much shorter ones of its own. More of them will arrive while it waits.
func (q *Queue) keepsOvertaking(running, waiting *call) bool {
	shorter := running.rank == waiting.rank && shortFactor*running.service <= waiting.service && !waiting.target.IsZero()
	return running.rank < waiting.rank || shorter
}

// serviceOf returns the service time that was expected of a call on its arrival, or the mean of all calls.
func (q *Queue) serviceOf(c *call) time.Duration { return cmp.Or(c.service, q.serviceTime.mean) }

// waitMissesTarget reports whether a call is expected to miss its target because of its wait. A call whose service time
// alone exceeds the target has only to meet its deadline.
func (q *Queue) waitMissesTarget(c *call, now time.Time) bool {
	if c.target.IsZero() {
		return false
	}
	slack := c.target.Sub(now) - q.expectedService(c, now)
	return slack > 0 && float64(q.expectedWait(c, now)) > q.waitShare(c, now)*float64(slack)
}

// waitShare returns the share of the time between now and its target, less its expected service time, that a call may
// spend waiting.
func (q *Queue) waitShare(c *call, now time.Time) float64 {
	switch {
	case q.isShort(c, now):
		return shortWaitShare
	case q.isStanding(now) && len(q.ahead(c, now)) > 0:
		return standingWaitShare
	default:
		return targetWaitShare
	}
}

// isShort reports whether a call takes much less time than those that hold the slots. A rare long call on one slot says
// nothing about how long the others are held.
func (q *Queue) isShort(c *call, now time.Time) bool {
	service := q.expectedService(c, now)
	if service == 0 || len(q.running) == 0 {
		return false
	}
	var sum time.Duration
	for _, other := range q.running {
		sum += q.expectedService(other, now)
	}
	return sum/time.Duration(len(q.running)) >= shortFactor*service
}

// isStanding reports whether calls have waited without a break for longer than a service time. In a burst that the
// slots can serve, the queue is empty again before.
func (q *Queue) isStanding(now time.Time) bool {
	return len(q.waiting) > 0 && now.Sub(q.lastEmpty) > q.serviceTime.mean
}

// urgentHeadroom returns the number of slots that a call must leave to more urgent ones, whether they are busy with those
// or free: as many as are filled by calls that cannot wait for as long as this one would hold its slot. Rank alone does
// not help them, since it decides only about slots that become free.
func (q *Queue) urgentHeadroom(c *call, now time.Time) int {
	load := 0.0
	for i := range c.rank {
		if queue := &q.ranks[i]; queue.slack < q.serviceOf(c) {
			load += queue.offered.slots(now, offeredWorkWindow)
		}
	}
	return min(int(load), int(maxOvertakingShare*float64(q.config.Slots)))
}

// isLate reports whether a call cannot meet its target on this upstream even without a wait, as that of a caller who comes
// back late.
func (c *call) isLate(now time.Time) bool {
	return !c.target.IsZero() && c.target.Sub(now) < max(c.service, lateMargin)
}

// hasSpareSlots reports whether the calls that can still meet their target leave slots to a call that cannot: those of
// its rank and the more urgent ones.
func (q *Queue) hasSpareSlots(c *call, now time.Time) bool {
	load := 0.0
	for i := range c.rank + 1 {
		load += q.ranks[i].offered.slots(now, offeredWorkWindow)
	}
	return load < spareShare*float64(q.config.Slots)
}

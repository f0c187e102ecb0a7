package admission

import "time"

// StartsAtOnce reports whether Offer would start a call without a wait.
func (q *Queue) StartsAtOnce(now time.Time, t Ticket) bool {
	c := newCall(t, now)
	c.service = q.expectedService(c, now)
	return !q.draining && q.mayStart(c, now)
}

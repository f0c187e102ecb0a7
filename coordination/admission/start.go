package admission

import "time"

// StartsAtOnce reports whether Offer would start a call without a wait.
func (q *Queue) StartsAtOnce(now time.Time, t Ticket) bool {
	c := newCall(t, now)
	c.service = q.expectedService(c, now)
	return !q.draining && q.mayStart(c, now)
}

// Preview returns the verdict that Offer would give, and the expected wait of a call that would wait. It counts nothing.
func (q *Queue) Preview(now time.Time, t Ticket) (verdict Verdict, wait time.Duration) {
	c := newCall(t, now)
	c.service = q.expectedService(c, now)
	verdict, _ = q.decide(c, now, q.teams.knownRatio(t.Team, now))
	if verdict.Action == Wait {
		wait = q.expectedWait(c, now)
	}
	return verdict, wait
}

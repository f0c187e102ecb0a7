// Package shutdown decides when a process that stops takes each step. The instance ends the process a fixed time after
// the signal to stop, so a process that waits too long for its upstream closes connections without a response, and one
// that does not wait long enough gives up requests that were about to end.
package shutdown

import "time"

const (
	// maxExitTime is kept for what follows the last response: closing the remaining servers, writing the log and the end of
	// the process.
	maxExitTime = 400 * time.Millisecond
	// processEndShare is the inverse of the share of that time which the end of the process itself may take.
	processEndShare = 4
	// maxFinalResponseTime is kept for the responses to the requests that a stop gives up. A process that gets little
	// processor time needs some of it to write them.
	maxFinalResponseTime = 400 * time.Millisecond
	// maxRefusalTime is how long the refusal of a call may travel that is refused at its deadline.
	maxRefusalTime = 100 * time.Millisecond
	// reservedShare is the share of a short grace period that each of the first two times may take, so that a request is
	// given up only in the last sixth of it.
	reservedShare = 15
	// refusalShare is the same for maxRefusalTime.
	refusalShare = 60
	// maxNoticeShare is the inverse of the largest share of the time that is spent on the notice.
	maxNoticeShare = 2
)

// Budget is the time that a process has for its stop.
type Budget struct {
	// Grace is the time from the signal to stop until the instance ends the process; 0 means that there is no limit.
	Grace time.Duration
	// Notice is the time that callers need to notice that the process is not ready. It is shortened if it does not fit
	// into the grace period.
	Notice time.Duration
}

// Schedule holds the times of the steps of one stop.
type Schedule struct {
	// NoticeEnd is when callers have noticed that the process is not ready.
	NoticeEnd time.Time
	// LastDeadline is the latest deadline of a call that is sent during the stop; zero if there is no limit.
	LastDeadline time.Time
	// GiveUp is when the requests still in flight are given up; zero if there is no limit.
	GiveUp time.Time
	// End is when the last response must have been written; zero if there is no limit.
	End time.Time
	// Exit is when all that follows it is given up; zero if there is no limit. What is left of the grace period is for the
	// end of the process.
	Exit time.Time
}

// NewSchedule returns the schedule of a stop that begins now.
func NewSchedule(now time.Time, b Budget) Schedule {
	if b.Grace <= 0 {
		return Schedule{NoticeEnd: now.Add(b.Notice)}
	}
	exitTime := min(maxExitTime, b.Grace/reservedShare)
	end := now.Add(b.Grace - exitTime)
	giveUp := end.Add(-min(maxFinalResponseTime, b.Grace/reservedShare))
	return Schedule{
		NoticeEnd:    now.Add(min(b.Notice, b.Grace/maxNoticeShare)),
		LastDeadline: giveUp.Add(-min(maxRefusalTime, b.Grace/refusalShare)),
		GiveUp:       giveUp,
		End:          end,
		Exit:         end.Add(exitTime - exitTime/processEndShare),
	}
}

// Request is a request that arrives during a stop.
type Request struct {
	Arrived time.Time
	// Deadline is the request's own deadline.
	Deadline time.Time
	// Target is the time by which the response should have been sent; Arrived if the route sets no target.
	Target time.Time
}

// Accepts reports whether the process can serve a request that arrives during its stop. During the notice, it takes
// requests that can meet their latency target. After it, only the upstream beside the process should still send
// requests, which it may need to finish its work: these are taken if their deadline comes before the stop gives up.
func (s Schedule) Accepts(r Request) bool {
	switch {
	case s.LastDeadline.IsZero(), !r.Deadline.After(s.LastDeadline):
		return true
	case r.Arrived.After(s.NoticeEnd):
		return false
	default:
		return !r.Target.After(s.LastDeadline)
	}
}

// CallDeadline returns the deadline of a call that is sent for a request with the given deadline. It is early enough
// for the response, so that upstreams and their queues refuse what they cannot finish in time.
func (s Schedule) CallDeadline(deadline time.Time) time.Time {
	if s.LastDeadline.IsZero() || deadline.Before(s.LastDeadline) {
		return deadline
	}
	return s.LastDeadline
}

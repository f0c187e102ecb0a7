package admission

import "time"

// limitBurst is the time for which starts that were not used are saved up. It lets calls start together that arrive
// together, and is short against the seconds over which an upstream would notice an excess.
const limitBurst = 250 * time.Millisecond

// rateLimit bounds the calls that start per second, for an upstream that takes fewer than its slots could run. The node
// beside the upstream applies it: all calls pass there, whichever instances they come from and whatever those know.
type rateLimit struct {
	perSecond float64 // 0 if there is no limit
	// starts is the number of calls that may start, as of updated. It is below 0 after calls that started together.
	starts  float64
	updated time.Time
}

// set changes the limit; 0 removes it. The first calls under a new limit start one by one.
func (r *rateLimit) set(now time.Time, perSecond float64) {
	r.refill(now)
	if r.perSecond == 0 {
		r.starts, r.updated = 0, now
	}
	r.perSecond = perSecond
	r.refill(now)
}

func (r *rateLimit) limited() bool { return r.perSecond > 0 }

// allows reports whether a call may start.
func (r *rateLimit) allows(now time.Time) bool {
	r.refill(now)
	return !r.limited() || r.starts >= 1
}

// take counts a call that starts.
func (r *rateLimit) take(now time.Time) {
	r.refill(now)
	if r.limited() {
		r.starts--
	}
}

// wait returns the time until the given number of calls may have started.
func (r *rateLimit) wait(now time.Time, calls int) time.Duration {
	r.refill(now)
	if !r.limited() {
		return 0
	}
	missing := float64(calls) - r.starts
	return time.Duration(max(0, missing) / r.perSecond * float64(time.Second))
}

func (r *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		most := max(1, r.perSecond*limitBurst.Seconds())
		r.starts = min(r.starts+elapsed.Seconds()*r.perSecond, most)
		r.updated = now
	}
}

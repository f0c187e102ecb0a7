// Package pace limits the calls that run at once on an upstream that has just started or recovered, and finds the limit
// from how the upstream responds. It does no I/O and reads no clock. A Pacer is not safe for concurrent use.
package pace

import "time"

const (
	// initialShare is the share of the slots with which a start begins: enough calls to measure how the upstream responds,
	// few enough that a slow one delays only these.
	initialShare = 1.0 / 3
	// growth multiplies the limit after a round that was not slower than the best one.
	growth = 1.5
	// decrease multiplies the limit after a round that was slower.
	decrease = 0.7
	// slowerRatio is the ratio to the best round from which on a round counts as slower. The mean of a few service times
	// varies by some tenths.
	slowerRatio = 1.5
	// warmRatio is the ratio of the service times to those of the service's other upstreams below which the upstream is warm.
	warmRatio = 1.25
	// maxRatio bounds the ratio with which one call counts.
	maxRatio = 8
	// minRound is the least number of calls in a round.
	minRound = 4
	// bestRise is how much the best round rises with each round: an upstream that was fast for one round by chance is not
	// held back by it for long.
	bestRise = 1.05
	// maxOverrun bounds how much longer than announced a start is paced, as a multiple. An upstream that stays slow has the
	// speed that it has, which package speed follows.
	maxOverrun = 2
)

// Pacer is the pace of one upstream. The zero value is an upstream that is not paced.
type Pacer struct {
	active bool
	slots  int
	limit  float64
	// begun is when the start was noticed, and warmup how long the upstream expected to be slow then.
	begun  time.Time
	warmup time.Duration
	// sum and calls are the ratios of the calls in the current round, of which started is the begin.
	sum     float64
	calls   int
	started time.Time
	// best is the lowest mean ratio of a round, and last that of the latest; 0 before the first.
	best, last float64
}

// Begin starts the pace of an upstream that expects to be slow for the given time.
func (p *Pacer) Begin(now time.Time, slots int, warmup time.Duration) {
	*p = Pacer{
		active: true, slots: slots, limit: max(1, initialShare*float64(slots)), begun: now, warmup: warmup, started: now,
	}
}

// Active reports whether the upstream is still paced.
func (p *Pacer) Active() bool { return p.active }

// Limit returns how many of the slots may be used.
func (p *Pacer) Limit(slots int) int {
	if !p.active {
		return slots
	}
	return min(slots, max(1, int(p.limit)))
}

// Speed returns the speed in the latest round, where 1 is the mean of the service; 0 before the first round.
func (p *Pacer) Speed() float64 {
	if p.last == 0 {
		return 0
	}
	return 1 / p.last
}

// Observe adds a call that began after Begin. expected is the mean service time of its route on the other upstreams of the
// service; 0 if it is not known, and the call then counts only towards the end of the round. It reports whether the limit
// has changed.
func (p *Pacer) Observe(now, began time.Time, expected, took time.Duration) bool {
	if !p.active || began.Before(p.started) {
		return false
	}
	ratio := 1.0
	if expected > 0 {
		ratio = min(maxRatio, float64(took)/float64(expected))
	}
	p.sum += ratio
	p.calls++
	if p.calls < max(minRound, p.Limit(p.slots)) {
		return false
	}
	before := p.Limit(p.slots)
	p.endRound(now)
	return p.Limit(p.slots) != before
}

// endRound moves the limit by the mean of the round and begins the next one with the calls that start from now on.
func (p *Pacer) endRound(now time.Time) {
	mean := p.sum / float64(p.calls)
	p.sum, p.calls, p.started, p.last = 0, 0, now, mean
	switch {
	case p.best == 0 || mean < p.best:
		p.best = mean
	default:
		p.best *= bestRise
	}
	if mean > slowerRatio*p.best {
		p.limit = max(1, p.limit*decrease)
	} else {
		p.limit = min(float64(p.slots), p.limit*growth)
	}
	warm := mean <= warmRatio && p.limit >= float64(p.slots)
	if overrun := now.Sub(p.begun) > maxOverrun*p.warmup; warm || overrun {
		p.active = false
	}
}

// warmAge is the age from which on an upstream that announces no warm-up is known to be warm. It is longer than starts are
// slow, and than the clocks of two processes on one instance differ.
const warmAge = 10 * time.Second

// Warm reports whether an upstream that announces no warm-up is warm, by the time at which it started; zero if that is not
// known. A restart of the node beside it does not change that.
func Warm(now, started time.Time) bool { return !started.IsZero() && now.Sub(started) > warmAge }

// Package retry decides whether and when a failed call is sent again, and limits retries to a share of the calls. A
// Budget is safe for concurrent use.
package retry

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Outcome is the outcome of one attempt.
type Outcome uint8

const (
	// Done means that the upstream sent a complete response, whatever its status.
	Done Outcome = iota
	// NotRun means that the call was provably not run; calls that admission refused are among these.
	NotRun
	// Unknown means that the call may or may not have been run.
	Unknown
)

// Attempt describes an attempt that has ended.
type Attempt struct {
	Class   bundle.Class
	Outcome Outcome
	// Number counts the attempts so far, starting at 1.
	Number int
	// WithinRetry is set for calls with the header Sapphire-Retry: a process further up the chain of calls has made
	// them on behalf of a retry.
	WithinRetry bool
	// Suspect is set for requests that were in flight when an upstream crashed, and may have caused the crash.
	Suspect bool
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// Config holds the settings of a Budget. Zero fields take the defaults.
type Config struct {
	// MaxAttempts counts the first attempt; 1 switches retries off.
	MaxAttempts int
	// Percent bounds retries as a share of the route's calls.
	Percent int
	// MinPerSecond is the rate of retries that is allowed in addition, whatever the number of calls.
	MinPerSecond float64
	// Burst is the capacity of the budget, in retries.
	Burst float64
	// BaseDelay is the upper bound of the delay before the first retry; it doubles with each further retry.
	BaseDelay time.Duration
	// MaxDelay bounds the delay.
	MaxDelay time.Duration
	// Fleet takes the place of the defaults of Percent, MinPerSecond and Burst. It may be nil.
	Fleet *Fleet
}

// Defaults of Config.
const (
	DefaultMaxAttempts = 3
	DefaultPercent     = 10
	// DefaultMinPerSecond allows retries on a route with a few calls a minute. On 16,000 nodes it adds at most 3,200
	// calls/s, a thousandth of the load that the system is designed for.
	DefaultMinPerSecond = 0.2
	// DefaultBurst is enough for the calls that are in flight on one upstream when it crashes.
	DefaultBurst     = 10
	DefaultBaseDelay = 10 * time.Millisecond
	DefaultMaxDelay  = time.Second
)

func (c Config) withDefaults() Config {
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	c.Percent = cmp.Or(c.Percent, c.Fleet.percent(DefaultPercent))
	c.BaseDelay = cmp.Or(c.BaseDelay, DefaultBaseDelay)
	c.MaxDelay = cmp.Or(c.MaxDelay, DefaultMaxDelay)
	return c
}

const (
	tokensPerRetry = 1_000_000
	// tokensPerPercent is the number of tokens that one call adds for each unit of Config.Percent.
	tokensPerPercent = tokensPerRetry / 100
)

// Budget limits the retries of one route. It is a token bucket that is filled by each call and, at a low rate, by time.
type Budget struct {
	config Config
	tokens atomic.Int64
	// epoch is the time of the first call. Times are kept as offsets from it by the monotonic clock, which does not
	// jump as the wall clock may.
	epoch atomic.Pointer[time.Time]
	// creditedUntil is the offset up to which the tokens of MinPerSecond have been added.
	creditedUntil atomic.Int64
}

// NewBudget returns a budget that holds one retry.
func NewBudget(c Config) *Budget {
	b := &Budget{config: c.withDefaults()}
	b.tokens.Store(tokensPerRetry)
	return b
}

// CountCall adds the share of one call to the budget. It must not be called for calls with the header Sapphire-Retry:
// these are due to a retry elsewhere, and would allow further retries.
func (b *Budget) CountCall(now time.Time) {
	b.refill(now)
	b.add(int64(b.config.Percent) * tokensPerPercent)
}

// Allow reports whether the budget holds a retry, and takes it.
func (b *Budget) Allow(now time.Time) bool {
	b.refill(now)
	for {
		tokens := b.tokens.Load()
		if tokens < tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokensPerRetry) {
			return true
		}
	}
}

// GiveBack returns a retry that was allowed and not made.
func (b *Budget) GiveBack() { b.add(tokensPerRetry) }

// Decide reports whether the call is sent again, and after which delay. It takes a retry from the budget only if the
// call may be retried and the delay ends before the deadline.
func (b *Budget) Decide(now time.Time, a Attempt, source rand.Source) (time.Duration, bool) {
	if !b.Retryable(a) {
		return 0, false
	}
	delay := b.Delay(a.Number, source)
	if delay >= a.Remaining {
		return 0, false
	}
	return delay, b.Allow(now)
}

// Retryable reports whether a further attempt is allowed, regardless of the tokens left. Irreversible calls are retried
// only if they provably were not run. Calls with the header Sapphire-Retry are never retried, so that retries do not
// multiply along a chain of calls.
func (b *Budget) Retryable(a Attempt) bool {
	switch {
	case a.WithinRetry, a.Suspect, a.Number >= b.config.MaxAttempts:
		return false
	case a.Outcome == NotRun:
		return true
	case a.Outcome == Unknown:
		return a.Class.Repeatable()
	default:
		return false
	}
}

// Delay returns a random delay before the next attempt: exponential backoff with full jitter. Its upper bound doubles
// with each attempt; its lower bound is 0, which spreads the retries of many callers best.
func (b *Budget) Delay(attempt int, source rand.Source) time.Duration {
	bound := b.config.BaseDelay
	for i := 1; i < attempt && bound < b.config.MaxDelay; i++ {
		bound *= 2
	}
	bound = min(bound, b.config.MaxDelay)
	high, _ := bits.Mul64(source.Uint64(), uint64(bound))
	return time.Duration(high)
}

// refill adds the tokens of MinPerSecond for the time since creditedUntil. Only the goroutine that advances
// creditedUntil adds them.
func (b *Budget) refill(now time.Time) {
	const step = int64(10 * time.Millisecond) // so that most calls do not write creditedUntil
	epoch := b.epoch.Load()
	if epoch == nil {
		first := now // a copy, so that only this case allocates
		b.epoch.CompareAndSwap(nil, &first)
		return
	}
	at, creditedUntil := int64(now.Sub(*epoch)), b.creditedUntil.Load()
	if at-creditedUntil < step || !b.creditedUntil.CompareAndSwap(creditedUntil, at) {
		return
	}
	rate := cmp.Or(b.config.MinPerSecond, b.config.Fleet.perSecond(DefaultMinPerSecond))
	credit := time.Duration(at-creditedUntil).Seconds() * rate * tokensPerRetry
	b.add(int64(min(credit, b.burst()*tokensPerRetry)))
}

// burst returns the capacity of the budget, in retries.
func (b *Budget) burst() float64 {
	return max(1, cmp.Or(b.config.Burst, b.config.Fleet.burst(DefaultBurst)))
}

func (b *Budget) add(credit int64) {
	limit := int64(b.burst() * tokensPerRetry)
	for {
		tokens := b.tokens.Load()
		next := min(tokens+credit, limit)
		if tokens == next || b.tokens.CompareAndSwap(tokens, next) {
			return
		}
	}
}

// Package retry decides whether a failed call is sent again. A Budget is safe for concurrent use.
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

// The outcomes.
const (
	// Done is a complete response of the upstream, whatever its status.
	Done Outcome = iota
	// NotRun is proved not run, including calls that were shed.
	NotRun
	// Unknown may or may not have run.
	Unknown
)

// Attempt describes the attempt that just ended.
type Attempt struct {
	Class   bundle.Class
	Outcome Outcome
	// Number counts the attempts so far, starting at 1.
	Number int
	// WithinRetry is set for calls that carry the Sapphire-Retry header.
	WithinRetry bool
	// Suspect is set for requests that were in flight when an upstream crashed.
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
	// MinPerSecond is the rate of retries that is allowed whatever the number of calls.
	MinPerSecond float64
	// Burst bounds the retries that can be saved up.
	Burst float64
	// BaseDelay is the upper bound of the delay before the first retry; it doubles with each further retry.
	BaseDelay time.Duration
	// MaxDelay bounds the delay.
	MaxDelay time.Duration
}

// The defaults of Config.
const (
	DefaultMaxAttempts = 3
	// DefaultPercent is the share of the design page.
	DefaultPercent = 10
	// DefaultMinPerSecond lets a route with a few calls a minute retry. On 16,000 nodes it adds at most 3,200 calls/s, a
	// thousandth of the design load.
	DefaultMinPerSecond = 0.2
	// DefaultBurst covers the calls in flight on one upstream when it crashes.
	DefaultBurst     = 10
	DefaultBaseDelay = 10 * time.Millisecond
	DefaultMaxDelay  = time.Second
)

func (c Config) withDefaults() Config {
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	c.Percent = cmp.Or(c.Percent, DefaultPercent)
	c.MinPerSecond = cmp.Or(c.MinPerSecond, DefaultMinPerSecond)
	c.Burst = max(1, cmp.Or(c.Burst, DefaultBurst))
	c.BaseDelay = cmp.Or(c.BaseDelay, DefaultBaseDelay)
	c.MaxDelay = cmp.Or(c.MaxDelay, DefaultMaxDelay)
	return c
}

const (
	// oneRetry is the price of a retry in token units.
	oneRetry = 1_000_000
	// perPercent is what one call adds for each percent of the budget.
	perPercent = oneRetry / 100
)

// Budget bounds the retries of one route: a token bucket that calls fill in proportion and time at a small rate.
type Budget struct {
	config Config
	tokens atomic.Int64
	// start is the first time seen. Times are kept as offsets from it, which the wall clock does not move.
	start atomic.Pointer[time.Time]
	// filled is the offset up to which the minimum rate has been credited.
	filled atomic.Int64
}

// NewBudget returns a budget with one saved retry.
func NewBudget(c Config) *Budget {
	b := &Budget{config: c.withDefaults()}
	b.tokens.Store(oneRetry)
	return b
}

// CountCall counts a call that is not under Sapphire-Retry. Calls under Sapphire-Retry must not be counted: they are
// retries of another node and would earn further retries.
func (b *Budget) CountCall(now time.Time) {
	b.refill(now)
	b.add(int64(b.config.Percent) * perPercent)
}

// Allow takes one retry from the budget, if it holds one.
func (b *Budget) Allow(now time.Time) bool {
	b.refill(now)
	for {
		tokens := b.tokens.Load()
		if tokens < oneRetry {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-oneRetry) {
			return true
		}
	}
}

// Decide reports whether the call is sent again and after which delay. It takes from the budget only if the attempt
// may be retried.
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

// Retryable reports whether the rules allow a further attempt, whatever the budget holds. Irreversible calls are
// retried only if they are proved not run. Calls under Sapphire-Retry are never retried, so retries do not multiply
// with the call depth.
func (b *Budget) Retryable(a Attempt) bool {
	switch {
	case a.WithinRetry, a.Suspect, a.Number >= b.config.MaxAttempts:
		return false
	case a.Outcome == NotRun:
		return true
	case a.Outcome == Unknown:
		return a.Class == bundle.ClassLookup || a.Class == bundle.ClassReport
	default:
		return false
	}
}

// Delay returns a random delay before the next attempt. Its upper bound doubles with each attempt; the lower bound is
// 0, which spreads the retries of many callers best.
func (b *Budget) Delay(attempt int, source rand.Source) time.Duration {
	bound := b.config.BaseDelay
	for i := 1; i < attempt && bound < b.config.MaxDelay; i++ {
		bound *= 2
	}
	bound = min(bound, b.config.MaxDelay)
	high, _ := bits.Mul64(source.Uint64(), uint64(bound))
	return time.Duration(high)
}

// refill credits the minimum rate for the time since the last credit. Only the goroutine that moves the mark adds.
func (b *Budget) refill(now time.Time) {
	const step = int64(10 * time.Millisecond) // keeps most calls from writing the mark
	start := b.start.Load()
	if start == nil {
		first := now // only the copy escapes to the heap
		b.start.CompareAndSwap(nil, &first)
		return
	}
	at, filled := int64(now.Sub(*start)), b.filled.Load()
	if at-filled < step || !b.filled.CompareAndSwap(filled, at) {
		return
	}
	credit := time.Duration(at-filled).Seconds() * b.config.MinPerSecond * oneRetry
	b.add(int64(min(credit, b.config.Burst*oneRetry)))
}

func (b *Budget) add(credit int64) {
	limit := int64(b.config.Burst * oneRetry)
	for {
		tokens := b.tokens.Load()
		next := min(tokens+credit, limit)
		if tokens == next || b.tokens.CompareAndSwap(tokens, next) {
			return
		}
	}
}

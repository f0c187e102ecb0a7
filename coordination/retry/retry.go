// Package retry decides whether a failed call is sent again. A Budget is safe for concurrent use.
package retry

import (
	"math/rand/v2"
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
	// UnderRetry is set for calls that carry the Sapphire-Retry header.
	UnderRetry bool
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

// Budget bounds the retries of one route.
type Budget struct {
	config Config
}

// NewBudget returns a budget with one saved retry.
func NewBudget(c Config) *Budget { return &Budget{config: c} }

// Call counts a call that is not under Sapphire-Retry.
func (b *Budget) Call(now time.Time) {}

// Allow takes one retry from the budget, if it holds one.
func (b *Budget) Allow(now time.Time) bool { return false }

// Decide reports whether the call is sent again and after which delay. It takes from the budget only if the attempt
// may be retried.
func (b *Budget) Decide(now time.Time, a Attempt, source rand.Source) (time.Duration, bool) {
	return 0, false
}

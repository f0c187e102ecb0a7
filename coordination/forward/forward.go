// Package forward decides, for one call at its ingress node, when another upstream is tried and what the caller is
// told. It does no I/O.
package forward

import (
	"math/rand/v2"
	"time"

	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Config describes a call.
type Config struct {
	Class bundle.Class
	// Budget is the retry budget of the call's route.
	Budget   *retry.Budget
	Deadline time.Time
	// WithinRetry is set for calls with the header Sapphire-Retry. They belong to a retry and are not retried again.
	WithinRetry bool
	// Resendable is set if the request's body is kept whole. Otherwise part of it is gone after the first attempt.
	Resendable bool
	// Exclusive is set for requests that are suspect of crashing upstreams.
	Exclusive bool
}

// Result describes how one attempt ended.
type Result struct {
	Outcome retry.Outcome
	// Final is set if another upstream would not help, for example because the request itself is not allowed.
	Final bool
	// RefusedByUpstream is set if the upstream itself refused the request. It is not set if a node refused it.
	RefusedByUpstream bool
	// ErrorResponse is set on a complete response that reports a failure of the upstream. Another upstream may succeed.
	ErrorResponse bool
	// Suspect is set if the request was in flight when an upstream crashed.
	Suspect bool
	// WasSilent is set if AttemptSilent was called for the attempt.
	WasSilent bool
}

// Action is what the ingress does next.
type Action uint8

// The actions.
const (
	// Wait for an attempt that is still in flight.
	Wait Action = iota
	// Retry makes another attempt after Decision.Delay.
	Retry
	// Respond ends the call with the response of the attempt that just ended.
	Respond
	// Fail ends the call without the response of this attempt. Call.Outcome is what the caller is told.
	Fail
)

// Decision says what follows the end of an attempt.
type Decision struct {
	Action Action
	Delay  time.Duration
}

// Call is the state of one call. It is not safe for concurrent use.
type Call struct {
	config Config
	// attempts counts the attempts that were started, and pending those of them that have not ended.
	attempts int
	pending  int
	// silent counts those of the pending attempts whose instance does not respond.
	silent int
	// mayHaveRun is set once an attempt has ended that may have run.
	mayHaveRun bool
	// suspect is set if the request was in flight when an upstream crashed.
	suspect bool
	// final is set once an attempt has ended with Result.Final.
	final bool
}

// New returns the state of a call before its first attempt.
func New(c Config) *Call { return &Call{config: c, suspect: c.Exclusive} }

// AttemptStarted counts an attempt that starts.
func (c *Call) AttemptStarted() {
	c.attempts++
	c.pending++
}

// MayHedge reports whether a second attempt may run at the same time as the first. Irreversible calls never have two
// attempts in flight. The ingress hedges only as long as no executor has reported that it received the call. Otherwise
// attempts that wait in a queue would be doubled, which makes an overload worse.
func (c *Call) MayHedge(now time.Time) bool {
	return c.attempts == 1 && c.config.Resendable && c.config.Budget.Retryable(c.attempt(now, retry.Unknown))
}

// Hedge reports whether a second attempt must be started now. If so, it is charged to the retry budget.
func (c *Call) Hedge(now time.Time) bool {
	return c.MayHedge(now) && c.pending == 1 && !c.final && c.config.Budget.Allow(now)
}

// AttemptSilent records that the instance of a pending attempt does not respond, and decides whether another attempt runs
// beside it. The silent attempt goes on: its upstream may be at work on it, and the caller gets the response that comes
// first.
func (c *Call) AttemptSilent(now time.Time, source rand.Source) Decision {
	c.silent++
	return c.retryBesideSilent(now, retry.Unknown, source)
}

// retryBesideSilent decides what follows if no attempt is in flight but silent ones, which are still waited for.
func (c *Call) retryBesideSilent(now time.Time, outcome retry.Outcome, source rand.Source) Decision {
	if c.pending > c.silent || c.final || !c.config.Resendable {
		return Decision{Action: Wait}
	}
	delay, allowed := c.config.Budget.Decide(now, c.attempt(now, outcome), source)
	if !allowed {
		return Decision{Action: Wait}
	}
	return Decision{Action: Retry, Delay: delay}
}

// AttemptEnded records the result of an attempt and decides what follows. source randomises the delay of a retry.
func (c *Call) AttemptEnded(now time.Time, r Result, source rand.Source) Decision {
	c.pending--
	if r.WasSilent {
		c.silent--
	}
	c.suspect = c.suspect || r.Suspect
	c.final = c.final || r.Final
	switch r.Outcome {
	case retry.Done:
		return c.handleResponse(now, r, source)
	case retry.Unknown:
		c.mayHaveRun = true
	}
	if c.pending > 0 {
		return c.retryBesideSilent(now, r.Outcome, source)
	}
	if c.final || !c.config.Resendable {
		return Decision{Action: Fail}
	}
	if c.isFreeRetry(now, r) {
		return Decision{Action: Retry}
	}
	delay, allowed := c.config.Budget.Decide(now, c.attempt(now, r.Outcome), source)
	if !allowed {
		return Decision{Action: Fail}
	}
	return Decision{Action: Retry, Delay: delay}
}

// handleResponse ends the call with a complete response. A response that reports a failure of the upstream leads to a
// retry if the budget allows one; the ingress keeps it and returns it to the caller if the retry gives no response.
func (c *Call) handleResponse(now time.Time, r Result, source rand.Source) Decision {
	if !r.ErrorResponse || c.pending > 0 || c.final || !c.config.Resendable {
		return Decision{Action: Respond}
	}
	delay, allowed := c.config.Budget.Decide(now, c.attempt(now, retry.Unknown), source)
	if !allowed {
		return Decision{Action: Respond}
	}
	return Decision{Action: Retry, Delay: delay}
}

// isFreeRetry reports whether a call may be retried at once and without a charge to the budget. This holds for the
// first attempt if it reached no upstream, since it then cost no upstream any work: if the queue of one upstream is
// full and another has a free slot, the budget could refuse a call for which there is capacity. A refusal by the
// upstream itself is charged. Otherwise upstreams that refuse part of their requests would cause a retry of each
// refused request.
func (c *Call) isFreeRetry(now time.Time, r Result) bool {
	return r.Outcome == retry.NotRun && !r.RefusedByUpstream && c.attempts == 1 && c.config.Budget.Retryable(c.attempt(now, r.Outcome))
}

func (c *Call) attempt(now time.Time, outcome retry.Outcome) retry.Attempt {
	return retry.Attempt{
		Class: c.config.Class, Outcome: outcome, Number: c.attempts, WithinRetry: c.config.WithinRetry,
		Suspect: c.suspect, Remaining: c.config.Deadline.Sub(now),
	}
}

// Outcome is what the caller is told if there is no response. It is NotRun only if no attempt is in flight and none of
// the attempts that ended may have run, whatever the outcome of the last one.
func (c *Call) Outcome() retry.Outcome {
	if c.mayHaveRun || c.pending > 0 {
		return retry.Unknown
	}
	return retry.NotRun
}

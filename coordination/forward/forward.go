// Package forward decides, for one call at its ingress, when another upstream is tried and what the caller is told.
package forward

import (
	"math/rand/v2"
	"time"

	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Config describes a call.
type Config struct {
	Class      bundle.Class
	Budget     *retry.Budget
	Deadline   time.Time
	UnderRetry bool
	// Resendable is false if part of the request's body is gone after the first attempt.
	Resendable bool
	// Alone is set for requests that are suspect of crashing upstreams.
	Alone bool
}

// Result is the end of one attempt.
type Result struct {
	Outcome retry.Outcome
	// Final is set if no other upstream can do better, for example if the request itself is refused.
	Final bool
	// Reached is set if the upstream itself refused the request, rather than a process of ours before it.
	Reached bool
	// Failed is set on a complete answer that says that the upstream failed. Another upstream may do better.
	Failed bool
	// Suspect is set if the request was in flight when an upstream crashed.
	Suspect bool
}

// Action is what the ingress does next.
type Action uint8

// The actions.
const (
	// Wait for an attempt that is still in flight.
	Wait Action = iota
	// Send makes another attempt after Decision.After.
	Send
	// Answer ends the call with the result that was just given.
	Answer
	// Fail ends the call without an answer; Verdict says what the caller is told.
	Fail
)

// Decision is the answer to the end of an attempt.
type Decision struct {
	Action Action
	After  time.Duration
}

// Call is the state of one call. It is not safe for concurrent use.
type Call struct {
	config  Config
	sent    int
	pending int
	// uncertain is set once an attempt may have run.
	uncertain bool
	suspect   bool
	stopped   bool
}

// New returns the state before the first attempt.
func New(c Config) *Call { return &Call{config: c, suspect: c.Alone} }

// Sent counts an attempt that starts.
func (c *Call) Sent() {
	c.sent++
	c.pending++
}

// MayHedge reports whether a second attempt may be made beside the first. Irreversible calls never have two attempts in
// flight. The caller hedges only while no executor has shown that it has the call: under overload, an attempt that
// waits in a queue would otherwise be doubled.
func (c *Call) MayHedge(now time.Time) bool {
	return c.sent == 1 && c.config.Resendable && c.config.Budget.Retryable(c.attempt(now, retry.Unknown))
}

// Hedge reports whether a second attempt is made now. It takes from the retry budget.
func (c *Call) Hedge(now time.Time) bool {
	return c.MayHedge(now) && c.pending == 1 && !c.stopped && c.config.Budget.Allow(now)
}

// Ended takes the result of an attempt.
func (c *Call) Ended(now time.Time, r Result, source rand.Source) Decision {
	c.pending--
	c.suspect = c.suspect || r.Suspect
	c.stopped = c.stopped || r.Final
	switch r.Outcome {
	case retry.Done:
		return c.answered(now, r, source)
	case retry.Unknown:
		c.uncertain = true
	}
	if c.pending > 0 {
		return Decision{Action: Wait}
	}
	if c.stopped || !c.config.Resendable {
		return Decision{Action: Fail}
	}
	if c.freeRetry(now, r) {
		return Decision{Action: Send}
	}
	delay, again := c.config.Budget.Decide(now, c.attempt(now, r.Outcome), source)
	if !again {
		return Decision{Action: Fail}
	}
	return Decision{Action: Send, After: delay}
}

// answered ends the call with a complete answer, unless that says that the upstream failed and the budget allows to try
// another one. The answer stays good enough for the caller if that does not help.
func (c *Call) answered(now time.Time, r Result, source rand.Source) Decision {
	if !r.Failed || c.pending > 0 || c.stopped || !c.config.Resendable {
		return Decision{Action: Answer}
	}
	delay, again := c.config.Budget.Decide(now, c.attempt(now, retry.Unknown), source)
	if !again {
		return Decision{Action: Answer}
	}
	return Decision{Action: Send, After: delay}
}

// freeRetry reports whether a call may try another upstream at once and outside the budget. An attempt that reached no
// upstream cost none any work, so the first one is not charged: with a full queue here and a free slot elsewhere, the
// budget would refuse calls that there is capacity for. A refusal by the upstream is charged: upstreams that refuse a
// part of their requests would otherwise draw a repeat for each.
func (c *Call) freeRetry(now time.Time, r Result) bool {
	return r.Outcome == retry.NotRun && !r.Reached && c.sent == 1 && c.config.Budget.Retryable(c.attempt(now, r.Outcome))
}

func (c *Call) attempt(now time.Time, outcome retry.Outcome) retry.Attempt {
	return retry.Attempt{
		Class: c.config.Class, Outcome: outcome, Number: c.sent, WithinRetry: c.config.UnderRetry,
		Suspect: c.suspect, Remaining: c.config.Deadline.Sub(now),
	}
}

// Verdict is what a caller without an answer is told. An earlier attempt that may have run, or one that is still in
// flight, rules out "not run" whatever the last attempt ended with.
func (c *Call) Verdict() retry.Outcome {
	if c.uncertain || c.pending > 0 {
		return retry.Unknown
	}
	return retry.NotRun
}

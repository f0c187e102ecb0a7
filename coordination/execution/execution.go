// Package execution holds the state machine that makes an irreversible call run at most once. It runs at the executor,
// the node beside the upstream: the call is claimed in the ledger before it is sent to the upstream, and its response
// is recorded there afterwards.
//
// A StateMachine does no I/O and is not safe for concurrent use. Each input returns the outputs that the executor must
// carry out in order.
package execution

import (
	"cmp"
	"time"

	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/ledger"
)

// Outcome tells the caller whether the call was run.
type Outcome uint8

// The outcomes.
const (
	// OutcomeDone means that the call was run. Reply.Response is complete unless it is marked as dropped.
	OutcomeDone Outcome = iota
	// OutcomeNotRun means that the call was certainly not run.
	OutcomeNotRun
	// OutcomeUnknown means that the call may or may not have been run.
	OutcomeUnknown
)

// Reason says why a Reply carries no response.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline
	// ReasonLedger means that the ledger could not be reached before the deadline.
	ReasonLedger
	// ReasonKeyReused means that the idempotency key belongs to a different request (HTTP status 422).
	ReasonKeyReused
	// ReasonKeyExpired means that the idempotency key is too old (HTTP status 400).
	ReasonKeyExpired
	// ReasonLedgerFull means that the ledger accepts no further keys.
	ReasonLedgerFull
	// ReasonReleased means that another attempt held the claim and released it without running the call.
	ReasonReleased
	// ReasonClaimed means that another attempt holds the claim.
	ReasonClaimed
	// ReasonUpstream means that the upstream failed or refused the call.
	ReasonUpstream
)

// Output is an action for the executor: SendClaim, SendQuery, SendRecord, SendRelease, RunUpstream, Reply or FreeSlot.
type Output interface{ output() }

// SendClaim sends a claim to the ledger. The result goes to ClaimResult, ClaimFailed or ClaimRefused.
type SendClaim struct{ Claim ledger.Claim }

// SendQuery sends a query to the ledger. The result goes to QueryResult; a failure needs no input.
type SendQuery struct{ Query ledger.Query }

// SendRecord sends the upstream's response to the ledger. The result goes to RecordAck; a failure needs no input.
type SendRecord struct{ Record ledger.Record }

// SendRelease releases the claim. The result goes to ReleaseAck; a failure needs no input.
type SendRelease struct{ Release ledger.Release }

// RunUpstream starts the call on the upstream. BeginWrite must be called before the first byte is written.
type RunUpstream struct{}

// Reply ends the call for the caller. It is returned at most once.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	// Response is set if Outcome is OutcomeDone.
	Response *ledger.Response
}

// FreeSlot frees the admission slot. It is returned exactly once for each admitted call.
type FreeSlot struct{}

func (SendClaim) output()   {}
func (SendQuery) output()   {}
func (SendRecord) output()  {}
func (SendRelease) output() {}
func (RunUpstream) output() {}
func (Reply) output()       {}
func (FreeSlot) output()    {}

// Config holds the call and the timing of its messages. Zero durations take the defaults.
type Config struct {
	// Claim identifies the call and this attempt.
	Claim ledger.Claim
	// Deadline is the time until which the caller waits.
	Deadline time.Time
	// ResendAfter is the time after which a message to the ledger is sent again if there was no reply. It doubles with
	// each message, up to 16 times the value.
	ResendAfter time.Duration
	// QueryInterval is the time between queries while another attempt holds the claim. It grows in the same way.
	QueryInterval time.Duration
	// ReleaseTimeout bounds the time for which a release is sent again, so that state machines do not accumulate during
	// a long outage of the ledger. A claim that is still granted afterwards stays in the ledger, but no attempt runs
	// the call.
	ReleaseTimeout time.Duration
	// MaxResponseBytes is the largest response that is recorded in full. Of larger ones only the status is recorded.
	MaxResponseBytes int
}

// The defaults of Config.
const (
	// DefaultResendAfter allows for several quorum round trips.
	DefaultResendAfter = 250 * time.Millisecond
	// DefaultQueryInterval is about the duration of a short irreversible call. Each query costs an entry in the
	// replicated log.
	DefaultQueryInterval = 100 * time.Millisecond
	// DefaultReleaseTimeout is much longer than an election of the ledger group, which takes about 1 s.
	DefaultReleaseTimeout = time.Minute
	// DefaultMaxResponseBytes is the limit that the ledger itself applies.
	DefaultMaxResponseBytes = ledger.DefaultMaxResponseBytes
)

// maxBackoffDoublings limits how often the intervals between messages to the ledger double.
const maxBackoffDoublings = 4

func (c Config) withDefaults() Config {
	c.ResendAfter = cmp.Or(c.ResendAfter, DefaultResendAfter)
	c.QueryInterval = cmp.Or(c.QueryInterval, DefaultQueryInterval)
	c.ReleaseTimeout = cmp.Or(c.ReleaseTimeout, DefaultReleaseTimeout)
	c.MaxResponseBytes = cmp.Or(c.MaxResponseBytes, DefaultMaxResponseBytes)
	return c
}

// state is the phase of a call.
type state uint8

const (
	waiting   state = iota // waiting for admission
	claiming               // the claim was sent; the ledger has not replied
	running                // the claim was granted; the upstream may be written to
	recording              // the response was sent to the ledger, which has not confirmed it
	querying               // another attempt holds the claim; the ledger is queried for its result
	releasing              // the call was not run; the release was sent, and the ledger has not confirmed it
	closed
)

// StateMachine decides the next step of one irreversible call.
type StateMachine struct {
	config Config
	state  state
	// slot is set while the call occupies an admission slot.
	slot bool
	// replied is set once a Reply was returned or the caller has left.
	replied bool
	// written is set once bytes may have reached the upstream.
	written bool
	// claimVoid is set once the ledger can no longer grant any copy of the claim.
	claimVoid bool
	// unrefusedClaims counts the claims that were sent and may have reached the ledger.
	unrefusedClaims int
	// pendingReply is returned once the claim is released, so that a retry by the caller finds the key free.
	pendingReply     *Reply
	recordedResponse ledger.Response
	// resendAt is when the last message to the ledger is sent again, and resends counts how often that was done.
	resendAt time.Time
	resends  int
	// releaseDeadline is when the state machine stops sending a release.
	releaseDeadline time.Time
}

// New returns the state machine of a call that waits for admission.
func New(c Config) *StateMachine { return &StateMachine{config: c.withDefaults()} }

// Admitted reports that the call was given an admission slot.
func (m *StateMachine) Admitted(now time.Time) []Output {
	m.slot = true
	switch {
	case m.state != waiting:
		return m.freeSlot()
	case !now.Before(m.config.Deadline):
		return m.DeadlinePassed(now)
	}
	m.enter(claiming, now)
	return m.sendClaim()
}

// ClaimResult delivers the ledger's reply to the claim.
func (m *StateMachine) ClaimResult(now time.Time, r ledger.Result) []Output {
	if m.state != claiming {
		return nil
	}
	switch r.Status {
	case ledger.Granted:
		return m.granted(now)
	case ledger.Claimed:
		m.enter(querying, now)
		return append(m.freeSlot(), m.sendRelease(), m.sendQuery())
	case ledger.Done:
		m.claimVoid = true
		return m.finish(now, Reply{Outcome: OutcomeDone, Response: r.Response})
	case ledger.KeyReused:
		m.claimVoid = true
		return m.finish(now, notRunReply(ReasonKeyReused))
	case ledger.Expired:
		m.claimVoid = true
		return m.finish(now, notRunReply(ReasonKeyExpired))
	case ledger.Released:
		m.claimVoid = true
		return m.finish(now, notRunReply(ReasonReleased))
	case ledger.Full:
		return m.finish(now, notRunReply(ReasonLedgerFull))
	default:
		return m.finish(now, notRunReply(ReasonLedger))
	}
}

// granted starts the call. No other input starts it: ClaimResult ignores a grant that arrives after the caller was told
// that the call was not run.
func (m *StateMachine) granted(now time.Time) []Output {
	if !now.Before(m.config.Deadline) {
		return m.DeadlinePassed(now)
	}
	m.enter(running, now)
	return []Output{RunUpstream{}}
}

// ClaimFailed reports that the claim may or may not have reached the ledger. Tick sends it again.
func (m *StateMachine) ClaimFailed(time.Time) []Output { return nil }

// ClaimRefused reports that the last claim was certainly not proposed to the ledger, for example because no leader is
// known. Tick sends it again.
func (m *StateMachine) ClaimRefused(time.Time) []Output {
	m.unrefusedClaims = max(0, m.unrefusedClaims-1)
	return nil
}

// QueryResult delivers the ledger's reply to a query.
func (m *StateMachine) QueryResult(now time.Time, r ledger.Result) []Output {
	if m.state != querying {
		return nil
	}
	switch r.Status {
	case ledger.Done:
		m.claimVoid = true
		return m.finish(now, Reply{Outcome: OutcomeDone, Response: r.Response})
	case ledger.Released, ledger.Absent:
		return m.finish(now, notRunReply(ReasonReleased))
	case ledger.Claimed:
		if !m.isOwnClaim(r.Holder) {
			return nil
		}
		// The other attempt released its claim, and a delayed copy of this attempt's claim was granted afterwards.
		m.releaseBeforeReply(now, notRunReply(ReasonReleased))
		return []Output{m.sendRelease()}
	default:
		return nil
	}
}

func (m *StateMachine) isOwnClaim(holder ledger.Claim) bool {
	own := m.config.Claim
	return holder.Executor == own.Executor && holder.Incarnation == own.Incarnation && holder.Attempt == own.Attempt
}

// BeginWrite reports whether the request may now be written to the upstream. From then on the call counts as possibly
// run. If it returns false, nothing may be written, and the call must be ended with UpstreamFailed.
func (m *StateMachine) BeginWrite(now time.Time) bool {
	if m.state != running || !now.Before(m.config.Deadline) {
		return false
	}
	m.written = true
	return true
}

// UpstreamResponse delivers the complete response of the upstream.
func (m *StateMachine) UpstreamResponse(now time.Time, response ledger.Response) []Output {
	ok := invariant.Check(m.written, invariant.FalseNotRun, "response to a call that was not written to the upstream",
		map[string]any{"key": m.config.Claim.Key})
	if !ok || m.state != running {
		return nil
	}
	m.recordedResponse = response
	if response.Dropped || response.Size() > m.config.MaxResponseBytes {
		m.recordedResponse = ledger.Response{Status: response.Status, Dropped: true}
	}
	m.enter(recording, now)
	outputs := m.reply(Reply{Outcome: OutcomeDone, Response: &response})
	return append(append(outputs, m.freeSlot()...), m.sendRecord())
}

// UpstreamRefused reports that the call was certainly not run: the upstream said so, or the request never reached it.
func (m *StateMachine) UpstreamRefused(now time.Time) []Output {
	if m.state != running {
		return nil
	}
	m.releaseBeforeReply(now, notRunReply(ReasonUpstream))
	return append(m.freeSlot(), m.sendRelease())
}

// UpstreamFailed reports that the call on the upstream ended without a complete response. If nothing was written, the
// call was not run, and its claim is released. Otherwise the claim stays, so that no attempt runs the call again.
func (m *StateMachine) UpstreamFailed(now time.Time) []Output {
	if m.state != running {
		return nil
	}
	if !m.written {
		return m.UpstreamRefused(now)
	}
	m.state = closed
	return append(m.reply(Reply{Outcome: OutcomeUnknown, Reason: ReasonUpstream}), m.freeSlot()...)
}

// DeadlinePassed reports that the caller's deadline has passed.
func (m *StateMachine) DeadlinePassed(now time.Time) []Output {
	switch m.state {
	case waiting:
		m.claimVoid = true
		return m.finish(now, notRunReply(ReasonDeadline))
	case claiming:
		return m.finish(now, notRunReply(ReasonLedger))
	case querying:
		return m.finish(now, Reply{Outcome: OutcomeUnknown, Reason: ReasonClaimed})
	case releasing:
		return m.sendPendingReply()
	case running:
		if !m.written {
			return m.finish(now, notRunReply(ReasonDeadline))
		}
		return m.reply(Reply{Outcome: OutcomeUnknown, Reason: ReasonDeadline})
	default:
		return nil
	}
}

// CallerGone reports that the caller has left. A call that was not written to the upstream is ended. The response to
// one that was written is still recorded.
func (m *StateMachine) CallerGone(now time.Time) []Output {
	m.replied = true
	m.pendingReply = nil
	return m.DeadlinePassed(now)
}

// RecordAck delivers the ledger's reply to a record.
func (m *StateMachine) RecordAck(_ time.Time, r ledger.Result) []Output {
	if m.state != recording {
		return nil
	}
	m.state = closed
	invariant.Check(r.Status == ledger.Done || r.Status == ledger.Absent, invariant.Internal,
		"the ledger did not accept a response", map[string]any{"key": m.config.Claim.Key, "status": r.Status})
	return nil
}

// ReleaseAck delivers the ledger's reply to a release.
func (m *StateMachine) ReleaseAck(time.Time, ledger.Result) []Output {
	m.claimVoid = true
	if m.state != releasing {
		return nil
	}
	m.state = closed
	return m.sendPendingReply()
}

// Tick sends messages to the ledger again and applies the deadline. It must be called at the time that Wake returns.
func (m *StateMachine) Tick(now time.Time) []Output {
	var outputs []Output
	if m.awaitsDeadline() && !now.Before(m.config.Deadline) {
		outputs = m.DeadlinePassed(now)
	}
	if m.state == releasing && !now.Before(m.releaseDeadline) {
		m.state = closed
		return append(outputs, m.sendPendingReply()...)
	}
	if !m.awaitsLedger() || now.Before(m.resendAt) {
		return outputs
	}
	m.resends++
	m.resendAt = now.Add(m.resendInterval())
	return append(outputs, m.resend()...)
}

// Wake returns the time of the next Tick. It returns false if no Tick is needed.
func (m *StateMachine) Wake() (time.Time, bool) {
	var wake time.Time
	if m.awaitsDeadline() {
		wake = m.config.Deadline
	}
	if m.awaitsLedger() && (wake.IsZero() || m.resendAt.Before(wake)) {
		wake = m.resendAt
	}
	return wake, !wake.IsZero()
}

// Closed reports whether the call is finished. Further inputs have no effect, except that Admitted returns FreeSlot.
func (m *StateMachine) Closed() bool { return m.state == closed }

// Package execution is the state machine of one irreversible call at its executor, the node beside the upstream.
// A Machine is not safe for concurrent use. Each input returns the outputs that the executor must carry out in order.
package execution

import (
	"cmp"
	"time"

	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/ledger"
)

// Outcome is what the caller is told.
type Outcome uint8

// The outcomes.
const (
	// OutcomeDone is the complete response, unless the answer is marked as dropped.
	OutcomeDone Outcome = iota
	// OutcomeNotRun is proved not run.
	OutcomeNotRun
	// OutcomeUnknown may or may not have run.
	OutcomeUnknown
)

// Reason details a Reply.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline
	// ReasonLedger means that the ledger could not be reached before the deadline.
	ReasonLedger
	// ReasonKeyReused means that the key belongs to a different request (422).
	ReasonKeyReused
	// ReasonKeyExpired means that the key is too old (400).
	ReasonKeyExpired
	// ReasonLedgerFull means that the ledger accepts no further keys.
	ReasonLedgerFull
	// ReasonReleased means that another attempt held the claim and gave it back.
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

// SendRecord sends the answer to the ledger. The result goes to RecordAck; a failure needs no input.
type SendRecord struct{ Record ledger.Record }

// SendRelease gives the claim back. The result goes to ReleaseAck; a failure needs no input.
type SendRelease struct{ Release ledger.Release }

// RunUpstream starts the call on the upstream. Written must be called before the first byte is written.
type RunUpstream struct{}

// Reply answers the caller. It is returned at most once.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	Answer  *ledger.Response
}

// FreeSlot gives the admission slot back. It is returned exactly once for each admitted call.
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
	Claim    ledger.Claim
	Deadline time.Time
	// ResendAfter is the time after which an unanswered message to the ledger is sent again. It doubles with each
	// message up to 16 times the value.
	ResendAfter time.Duration
	// QueryInterval is the time between queries while another attempt holds the claim. It grows in the same way.
	QueryInterval time.Duration
	// ReleaseFor bounds the time for which a release is sent again, so that a long outage of the ledger does not pile
	// up machines. A claim that is still granted afterwards stays unresolved; nothing runs it.
	ReleaseFor time.Duration
	// MaxAnswerBytes bounds the answers that are sent to the ledger in full.
	MaxAnswerBytes int
}

// The defaults of Config.
const (
	// DefaultResendAfter is several quorum round trips.
	DefaultResendAfter = 250 * time.Millisecond
	// DefaultQueryInterval is in the order of a short irreversible call; each query costs a log entry.
	DefaultQueryInterval = 100 * time.Millisecond
	// DefaultReleaseFor covers an election of about 1 s many times.
	DefaultReleaseFor = time.Minute
	// DefaultMaxAnswerBytes is the limit of the ledger.
	DefaultMaxAnswerBytes = ledger.DefaultMaxResponseBytes
)

// maxBackoffDoublings bounds the growth of the intervals.
const maxBackoffDoublings = 4

func (c Config) withDefaults() Config {
	c.ResendAfter = cmp.Or(c.ResendAfter, DefaultResendAfter)
	c.QueryInterval = cmp.Or(c.QueryInterval, DefaultQueryInterval)
	c.ReleaseFor = cmp.Or(c.ReleaseFor, DefaultReleaseFor)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return c
}

// state is the phase of a call.
type state uint8

const (
	waiting   state = iota // for admission
	claiming               // the claim is sent and not answered
	running                // the claim is granted; the upstream may be written to
	recording              // the answer is sent to the ledger
	asking                 // another attempt holds the claim
	releasing              // the call was not run; the claim is given back
	closed
)

// Machine is the state of one call.
type Machine struct {
	config Config
	state  state
	// slot is set while the call occupies an admission slot.
	slot bool
	// answered is set once the caller was told an outcome or has left.
	answered bool
	// written is set once bytes may have reached the upstream.
	written bool
	// void is set once no copy of the claim can be granted any more.
	void bool
	// unrefused counts the claims sent that the ledger may have received.
	unrefused int
	// held is the reply that waits until the claim is given back, so that a retry finds the key free.
	held   *Reply
	record ledger.Response
	// resendAt, resends and giveUpAt control the messages to the ledger.
	resendAt time.Time
	resends  int
	giveUpAt time.Time
}

// New returns the machine of a call that waits for admission.
func New(c Config) *Machine { return &Machine{config: c.withDefaults()} }

// Admitted tells that the call has a slot.
func (m *Machine) Admitted(now time.Time) []Output {
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

// ClaimResult delivers the ledger's answer to the claim.
func (m *Machine) ClaimResult(now time.Time, r ledger.Result) []Output {
	if m.state != claiming {
		return nil
	}
	switch r.Status {
	case ledger.Granted:
		return m.granted(now)
	case ledger.Claimed:
		m.enter(asking, now)
		return append(m.freeSlot(), m.sendRelease(), m.sendQuery())
	case ledger.Done:
		m.void = true
		return m.finish(now, Reply{Outcome: OutcomeDone, Answer: r.Response})
	case ledger.KeyReused:
		m.void = true
		return m.finish(now, notRun(ReasonKeyReused))
	case ledger.Expired:
		m.void = true
		return m.finish(now, notRun(ReasonKeyExpired))
	case ledger.Released:
		m.void = true
		return m.finish(now, notRun(ReasonReleased))
	case ledger.Full:
		return m.finish(now, notRun(ReasonLedgerFull))
	default:
		return m.finish(now, notRun(ReasonLedger))
	}
}

// granted starts the call. A call that was proved not run must not be started, so there is no other way to run it.
func (m *Machine) granted(now time.Time) []Output {
	if !now.Before(m.config.Deadline) {
		return m.DeadlinePassed(now)
	}
	m.enter(running, now)
	return []Output{RunUpstream{}}
}

// ClaimFailed tells that the claim may or may not have reached the ledger. It is sent again after a while.
func (m *Machine) ClaimFailed(time.Time) []Output { return nil }

// ClaimRefused tells that the last claim was surely not proposed, for example because no leader is known. It is sent
// again after a while.
func (m *Machine) ClaimRefused(time.Time) []Output {
	m.unrefused = max(0, m.unrefused-1)
	return nil
}

// QueryResult delivers the ledger's answer to a query.
func (m *Machine) QueryResult(now time.Time, r ledger.Result) []Output {
	if m.state != asking {
		return nil
	}
	switch r.Status {
	case ledger.Done:
		m.void = true
		return m.finish(now, Reply{Outcome: OutcomeDone, Answer: r.Response})
	case ledger.Released, ledger.Absent:
		return m.finish(now, notRun(ReasonReleased))
	case ledger.Claimed:
		if !m.holds(r.Holder) {
			return nil
		}
		// A late copy of the own claim was granted after the other attempt gave its claim back.
		m.hold(now, notRun(ReasonReleased))
		return []Output{m.sendRelease()}
	default:
		return nil
	}
}

func (m *Machine) holds(holder ledger.Claim) bool {
	own := m.config.Claim
	return holder.Executor == own.Executor && holder.Incarnation == own.Incarnation && holder.Attempt == own.Attempt
}

// Written tells that the first byte is about to be written to the upstream. The call must be abandoned with
// UpstreamFailed, and nothing written, if it returns false.
func (m *Machine) Written(now time.Time) bool {
	if m.state != running || !now.Before(m.config.Deadline) {
		return false
	}
	m.written = true
	return true
}

// UpstreamAnswer delivers the complete response of the upstream.
func (m *Machine) UpstreamAnswer(now time.Time, a ledger.Response) []Output {
	ok := invariant.Check(m.written, invariant.FalseNotRun, "an answer arrived for a call that was not written",
		map[string]any{"key": m.config.Claim.Key})
	if !ok || m.state != running {
		return nil
	}
	m.record = a
	if a.Dropped || a.Size() > m.config.MaxAnswerBytes {
		m.record = ledger.Response{Status: a.Status, Dropped: true}
	}
	m.enter(recording, now)
	outputs := m.reply(Reply{Outcome: OutcomeDone, Answer: &a})
	return append(append(outputs, m.freeSlot()...), m.sendRecord())
}

// UpstreamRefused tells that the upstream itself says that the call was not run.
func (m *Machine) UpstreamRefused(now time.Time) []Output {
	if m.state != running {
		return nil
	}
	m.hold(now, notRun(ReasonUpstream))
	return append(m.freeSlot(), m.sendRelease())
}

// UpstreamFailed tells that the call on the upstream ended without a complete response. If nothing was written, the
// call was not run; otherwise the claim stays and nothing runs the call again.
func (m *Machine) UpstreamFailed(now time.Time) []Output {
	if m.state != running {
		return nil
	}
	if !m.written {
		return m.UpstreamRefused(now)
	}
	m.state = closed
	return append(m.reply(Reply{Outcome: OutcomeUnknown, Reason: ReasonUpstream}), m.freeSlot()...)
}

// DeadlinePassed tells that the caller's deadline has passed.
func (m *Machine) DeadlinePassed(now time.Time) []Output {
	switch m.state {
	case waiting:
		m.void = true
		return m.finish(now, notRun(ReasonDeadline))
	case claiming:
		return m.finish(now, notRun(ReasonLedger))
	case asking:
		return m.finish(now, Reply{Outcome: OutcomeUnknown, Reason: ReasonClaimed})
	case releasing:
		return m.replyHeld()
	case running:
		if !m.written {
			return m.finish(now, notRun(ReasonDeadline))
		}
		return m.reply(Reply{Outcome: OutcomeUnknown, Reason: ReasonDeadline})
	default:
		return nil
	}
}

// CallerGone tells that the caller has left. A call that was not written is abandoned; the answer of one that was
// written is still recorded.
func (m *Machine) CallerGone(now time.Time) []Output {
	m.answered = true
	m.held = nil
	return m.DeadlinePassed(now)
}

// RecordAck delivers the ledger's answer to a record.
func (m *Machine) RecordAck(_ time.Time, r ledger.Result) []Output {
	if m.state != recording {
		return nil
	}
	m.state = closed
	invariant.Check(r.Status == ledger.Done || r.Status == ledger.Absent, invariant.Internal,
		"the ledger did not accept an answer", map[string]any{"key": m.config.Claim.Key, "status": r.Status})
	return nil
}

// ReleaseAck delivers the ledger's answer to a release.
func (m *Machine) ReleaseAck(time.Time, ledger.Result) []Output {
	m.void = true
	if m.state != releasing {
		return nil
	}
	m.state = closed
	return m.replyHeld()
}

// Tick sends unanswered messages again and notices the deadline. It must be called at the time that Wake returns.
func (m *Machine) Tick(now time.Time) []Output {
	var outputs []Output
	if m.awaitsDeadline() && !now.Before(m.config.Deadline) {
		outputs = m.DeadlinePassed(now)
	}
	if m.state == releasing && !now.Before(m.giveUpAt) {
		m.state = closed
		return append(outputs, m.replyHeld()...)
	}
	if !m.awaitsLedger() || now.Before(m.resendAt) {
		return outputs
	}
	m.resends++
	m.resendAt = now.Add(m.interval())
	return append(outputs, m.resend()...)
}

// Wake returns the time of the next Tick. It is false if the machine waits for no time.
func (m *Machine) Wake() (time.Time, bool) {
	var wake time.Time
	if m.awaitsDeadline() {
		wake = m.config.Deadline
	}
	if m.awaitsLedger() && (wake.IsZero() || m.resendAt.Before(wake)) {
		wake = m.resendAt
	}
	return wake, !wake.IsZero()
}

// Closed reports whether the machine needs no further input.
func (m *Machine) Closed() bool { return m.state == closed }

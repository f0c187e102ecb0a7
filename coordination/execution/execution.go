// Package execution is the state machine of one irreversible call at its executor, the node beside the upstream.
// A Machine is not safe for concurrent use. Each input returns the outputs that the executor must carry out in order.
package execution

import (
	"time"

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

// SendClaim sends a claim to the ledger. The result goes to ClaimResult or ClaimFailed.
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
	Answer  *ledger.Answer
}

// FreeSlot gives the admission slot back. It is returned once for each admitted call.
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
	// ResendAfter is the time after which an unanswered message to the ledger is sent again.
	ResendAfter time.Duration
	// QueryInterval is the time between queries while another attempt holds the claim.
	QueryInterval time.Duration
	// MaxAnswerBytes bounds the answers that are sent to the ledger in full.
	MaxAnswerBytes int
}

// Machine is the state of one call.
type Machine struct {
	config Config
}

// New returns the machine of a call that waits for admission.
func New(c Config) *Machine { return &Machine{config: c} }

// Admitted tells that the call has a slot.
func (m *Machine) Admitted(now time.Time) []Output { return nil }

// ClaimResult delivers the ledger's answer to the claim.
func (m *Machine) ClaimResult(now time.Time, r ledger.Result) []Output { return nil }

// ClaimFailed tells that the claim could not be delivered or that its answer was lost.
func (m *Machine) ClaimFailed(now time.Time) []Output { return nil }

// QueryResult delivers the ledger's answer to a query.
func (m *Machine) QueryResult(now time.Time, r ledger.Result) []Output { return nil }

// Written tells that the first byte is about to be written to the upstream. The call must be abandoned with
// UpstreamFailed, and nothing written, if it returns false.
func (m *Machine) Written(now time.Time) bool { return false }

// UpstreamAnswer delivers the complete response of the upstream.
func (m *Machine) UpstreamAnswer(now time.Time, a ledger.Answer) []Output { return nil }

// UpstreamRefused tells that the upstream itself says that the call was not run.
func (m *Machine) UpstreamRefused(now time.Time) []Output { return nil }

// UpstreamFailed tells that the call on the upstream ended without a complete response.
func (m *Machine) UpstreamFailed(now time.Time) []Output { return nil }

// DeadlinePassed tells that the caller's deadline has passed.
func (m *Machine) DeadlinePassed(now time.Time) []Output { return nil }

// CallerGone tells that the caller has left. An answer is still recorded.
func (m *Machine) CallerGone(now time.Time) []Output { return nil }

// RecordAck delivers the ledger's answer to a record.
func (m *Machine) RecordAck(now time.Time, r ledger.Result) []Output { return nil }

// ReleaseAck delivers the ledger's answer to a release.
func (m *Machine) ReleaseAck(now time.Time, r ledger.Result) []Output { return nil }

// Tick sends unanswered messages again and notices the deadline. It must be called at the time that Wake returns.
func (m *Machine) Tick(now time.Time) []Output { return nil }

// Wake returns the time of the next Tick. It is false once the machine is closed.
func (m *Machine) Wake() (time.Time, bool) { return time.Time{}, false }

// Closed reports whether the machine needs no further input.
func (m *Machine) Closed() bool { return false }

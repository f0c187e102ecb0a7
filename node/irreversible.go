package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/execution"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/transport/web"
)

const (
	// ledgerTimeout bounds one message to the ledger; the machine sends it again if that is still useful.
	ledgerTimeout = 2 * time.Second
	// lateAnswerTime is how long after the caller's deadline an upstream may still answer an irreversible call, so that
	// the answer is recorded for a resend.
	lateResponseTime = 10 * time.Second
	// maxOnceAnswerBytes bounds the answer of an irreversible call, which is held in memory until it is recorded.
	maxRecordedBodyBytes = 16 << 20
)

// errAnswerTooLarge reports an answer beyond maxOnceAnswerBytes.
var errResponseTooLarge = errors.New("node: answer of an irreversible call is too large")

// onceEvent is an input to the machine of an irreversible call.
type stateMachineInput func(now time.Time) []execution.Output

// onceCall drives the machine of one irreversible call. It outlives the caller: a claim is released or its answer
// recorded whether or not anybody waits.
type irreversibleCall struct {
	executor     *executor
	head         *protocol.CallMetadata
	body         *requestBody
	deadline     time.Time
	stateMachine *execution.StateMachine
	// events is not buffered: an input that was taken is always handled, so that no slot is lost with it.
	inputs   chan stateMachineInput
	finished chan struct{}
	replies  chan *callReply

	// The fields below belong to the driving goroutine.
	slot        *grantedSlot
	started     time.Time
	serviceTime time.Duration
	// refused is why the call was not admitted after its claim was granted.
	refusalReason protocol.Reason
}

// runOnce runs an irreversible call at most once. The claim comes before the slot: a slot that waits for a quorum commit
// across zones would leave the upstream idle for that time.
func (e *executor) runIrreversible(
	ctx context.Context, meta *protocol.CallMetadata, body *requestBody, deadline time.Time,
) *callReply {
	if !body.buffered() {
		return notRunReply(protocol.ReasonTooLarge)
	}
	attempt, reason := e.beginClaim(meta)
	if reason != protocol.ReasonNone {
		return notRunReply(reason)
	}
	call := &irreversibleCall{
		executor: e, head: meta, body: body, deadline: deadline,
		stateMachine: execution.New(execution.Config{Claim: e.newClaim(meta, attempt), Deadline: deadline}),
		inputs:       make(chan stateMachineInput),
		finished:     make(chan struct{}),
		replies:      make(chan *callReply, 1),
	}
	if !e.background.start(call.run) {
		e.endClaim()
		return notRunReply(protocol.ReasonDraining)
	}
	select {
	case reply := <-call.replies:
		return reply
	case <-ctx.Done():
	case <-call.finished:
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		call.post(call.stateMachine.CallerGone)
		return unknownReply(protocol.ReasonCallerGone)
	}
	return call.awaitReply()
}

// beginClaim returns the number of a new attempt, or why the call is refused. The calls between claim and slot are
// bounded like a queue, so that an overload is refused before it reaches the ledger.
func (e *executor) beginClaim(meta *protocol.CallMetadata) (uint64, protocol.Reason) {
	if e.quarantine.Verdict(time.Now(), quarantine.Fingerprint(meta.Fingerprint)) == quarantine.Refused {
		return 0, protocol.ReasonQuarantined
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.unavailableReason(meta); reason != protocol.ReasonNone {
		return 0, reason
	}
	if e.pendingClaims >= e.queueConfig().QueueLimit {
		return 0, protocol.ReasonShed
	}
	e.pendingClaims++
	e.nextID++
	return e.nextID, protocol.ReasonNone
}

func (e *executor) endClaim() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingClaims--
}

func (e *executor) newClaim(meta *protocol.CallMetadata, attempt uint64) ledger.Claim {
	return ledger.Claim{
		Key: meta.Key, Route: meta.Route, RequestDigest: meta.RequestDigest,
		Executor: e.id, Incarnation: e.incarnation, Attempt: attempt,
	}
}

// lastAnswer waits for the machine's reply to the passed deadline.
func (c *irreversibleCall) awaitReply() *callReply {
	select {
	case reply := <-c.replies:
		return reply
	case <-c.finished:
	}
	select {
	case reply := <-c.replies:
		return reply
	default:
		// The executor was stopped before the machine could answer.
		return unknownReply(protocol.ReasonNodeFailed)
	}
}

// post hands an input to the driving goroutine. It returns false once the call is finished.
func (c *irreversibleCall) post(input stateMachineInput) bool {
	select {
	case c.inputs <- input:
		return true
	case <-c.finished:
		return false
	}
}

// drive carries out what the machine asks for until it is closed.
func (c *irreversibleCall) run() {
	defer close(c.finished)
	defer c.releaseSlot()
	claimPending := true
	endClaim := func() {
		if claimPending {
			claimPending = false
			c.executor.endClaim()
		}
	}
	defer endClaim()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	outputs := c.stateMachine.Admitted(time.Now())
	for {
		c.applyOutputs(outputs)
		if c.stateMachine.Closed() {
			return
		}
		if !c.started.IsZero() {
			endClaim()
		}
		if next, ok := c.stateMachine.Wake(); ok {
			timer.Reset(max(time.Until(next), 0))
		}
		select {
		case input := <-c.inputs:
			outputs = input(time.Now())
		case <-timer.C:
			outputs = c.stateMachine.Tick(time.Now())
		case <-c.executor.ctx.Done():
			return
		}
	}
}

func (c *irreversibleCall) releaseSlot() {
	if c.slot != nil {
		c.executor.releaseSlot(c.slot, c.serviceTime)
		c.slot = nil
	}
}

func (c *irreversibleCall) applyOutputs(outputs []execution.Output) {
	for _, output := range outputs {
		switch output := output.(type) {
		case execution.SendClaim:
			c.commitCommand(ledger.Command{Claim: &output.Claim}, c.stateMachine.ClaimResult, c.claimFailureInput)
		case execution.SendQuery:
			c.commitCommand(ledger.Command{Query: &output.Query}, c.stateMachine.QueryResult, nil)
		case execution.SendRecord:
			c.commitCommand(ledger.Command{Record: &output.Record}, c.stateMachine.RecordAck, nil)
		case execution.SendRelease:
			c.commitCommand(ledger.Command{Release: &output.Release}, c.stateMachine.ReleaseAck, nil)
		case execution.RunUpstream:
			c.acquireSlot()
		case execution.Reply:
			c.replies <- c.replyFor(output)
		case execution.FreeSlot:
			c.releaseSlot()
		}
	}
}

// send commits a command in the background and delivers its result.
func (c *irreversibleCall) commitCommand(
	command ledger.Command,
	deliver func(time.Time, ledger.Result) []execution.Output, fail func(error) stateMachineInput,
) {
	go func() {
		ctx, cancel := context.WithTimeout(c.executor.ctx, ledgerTimeout)
		defer cancel()
		result, err := c.executor.ledger.commit(ctx, c.head.Key, command)
		switch {
		case err == nil:
			c.post(func(now time.Time) []execution.Output { return deliver(now, result) })
		case fail != nil:
			c.post(fail(err))
		}
	}()
}

func (c *irreversibleCall) claimFailureInput(err error) stateMachineInput {
	if errors.Is(err, errNotProposed) {
		return c.stateMachine.ClaimRefused
	}
	return c.stateMachine.ClaimFailed
}

// takeSlot waits for a slot and then runs the call on the upstream.
func (c *irreversibleCall) acquireSlot() {
	go func() {
		ctx, cancel := context.WithDeadline(c.executor.ctx, c.deadline)
		defer cancel()
		slot, reason := c.executor.admit(ctx, c.head, c.deadline)
		posted := c.post(func(now time.Time) []execution.Output { return c.startUpstreamCall(now, slot, reason) })
		if !posted && slot != nil {
			c.executor.releaseSlot(slot, 0)
		}
	}()
}

// start writes the request, unless the call was not admitted or the machine no longer allows it.
func (c *irreversibleCall) startUpstreamCall(now time.Time, slot *grantedSlot, reason protocol.Reason) []execution.Output {
	c.slot = slot
	if slot == nil {
		c.refusalReason = reason
		return c.stateMachine.UpstreamRefused(now)
	}
	if !c.stateMachine.BeginWrite(now) {
		c.releaseSlot()
		return c.stateMachine.UpstreamFailed(now)
	}
	c.started = now
	go func() {
		input := c.callUpstream(slot)
		c.post(func(now time.Time) []execution.Output {
			c.serviceTime = now.Sub(c.started)
			return input(now)
		})
	}()
	return nil
}

// callUpstream sends the request once and returns the machine's input.
func (c *irreversibleCall) callUpstream(slot *grantedSlot) stateMachineInput {
	ctx, cancel := context.WithDeadline(c.executor.ctx, c.deadline.Add(lateResponseTime))
	defer cancel()
	request := c.executor.upstreamRequest(slot.upstream, c.head, c.body, c.deadline)
	response, err := slot.upstream.client.Do(ctx, request)
	if errors.Is(err, web.ErrNotWritten) {
		c.executor.startCrashCheck(slot)
		return c.stateMachine.UpstreamRefused
	}
	if err != nil {
		c.executor.awaitCrashCheck(ctx, slot)
		return c.stateMachine.UpstreamFailed
	}
	defer response.Response.Body.Close()
	if !c.executor.dialect.Genuine(request.Header, response.Response.Header, response.Response.StatusCode) {
		response.Discard()
		return c.stateMachine.UpstreamFailed
	}
	if c.executor.dialect.Refused(response.Response.StatusCode, response.Response.Header) {
		return c.stateMachine.UpstreamRefused
	}
	body, err := readRecordedBody(response.Response.Body)
	if err != nil {
		c.executor.awaitCrashCheck(ctx, slot)
		return c.stateMachine.UpstreamFailed
	}
	c.executor.clearSuspicion(c.head)
	recorded := ledger.Response{
		Status: response.Response.StatusCode, Header: web.CopyHeader(response.Response.Header), Body: body,
	}
	return func(now time.Time) []execution.Output { return c.stateMachine.UpstreamResponse(now, recorded) }
}

func readRecordedBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxRecordedBodyBytes+1))
	if err != nil {
		return nil, errors.Wrapf(web.ErrCut, "%v", err)
	}
	if len(data) > maxRecordedBodyBytes {
		return nil, errResponseTooLarge
	}
	return data, nil
}

var executionReasons = map[execution.Reason]protocol.Reason{
	execution.ReasonNone:       protocol.ReasonNone,
	execution.ReasonDeadline:   protocol.ReasonDeadline,
	execution.ReasonLedger:     protocol.ReasonLedger,
	execution.ReasonKeyReused:  protocol.ReasonKeyReused,
	execution.ReasonKeyExpired: protocol.ReasonKeyExpired,
	execution.ReasonLedgerFull: protocol.ReasonLedger,
	execution.ReasonReleased:   protocol.ReasonShed,
	execution.ReasonClaimed:    protocol.ReasonInProgress,
	execution.ReasonUpstream:   protocol.ReasonUpstreamFailed,
}

func (c *irreversibleCall) replyFor(output execution.Reply) *callReply {
	reason := executionReasons[output.Reason]
	if output.Reason == execution.ReasonUpstream && c.refusalReason != protocol.ReasonNone {
		reason = c.refusalReason
	}
	switch output.Outcome {
	case execution.OutcomeNotRun:
		if reason == protocol.ReasonKeyExpired {
			// What ran under this key is no longer known.
			return unknownReply(reason)
		}
		return notRunReply(reason)
	case execution.OutcomeUnknown:
		return unknownReply(reason)
	default:
		return recordedReply(output.Response)
	}
}

// answerReply passes on a recorded answer.
func recordedReply(recorded *ledger.Response) *callReply {
	if recorded.Dropped {
		return &callReply{metadata: protocol.ReplyMetadata{
			Outcome: protocol.OutcomeDone, Reason: protocol.ReasonAnswerDropped, Status: http.StatusGone,
		}}
	}
	return &callReply{
		metadata: protocol.ReplyMetadata{
			Outcome: protocol.OutcomeDone, Status: recorded.Status, Header: recorded.Header,
			ContentLength: int64(len(recorded.Body)),
		},
		body: recorded.Body,
	}
}

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
	lateAnswerTime = 10 * time.Second
	// maxOnceAnswerBytes bounds the answer of an irreversible call, which is held in memory until it is recorded.
	maxOnceAnswerBytes = 16 << 20
)

// errAnswerTooLarge reports an answer beyond maxOnceAnswerBytes.
var errAnswerTooLarge = errors.New("node: answer of an irreversible call is too large")

// onceEvent is an input to the machine of an irreversible call.
type onceEvent func(now time.Time) []execution.Output

// onceCall drives the machine of one irreversible call. It outlives the caller: a claim is released or its answer
// recorded whether or not anybody waits.
type onceCall struct {
	executor *executor
	head     *protocol.CallMetadata
	body     *requestBody
	deadline time.Time
	machine  *execution.StateMachine
	// events is not buffered: an input that was taken is always handled, so that no slot is lost with it.
	events   chan onceEvent
	finished chan struct{}
	answered chan *reply

	// The fields below belong to the driving goroutine.
	slot    *place
	started time.Time
	service time.Duration
	// refused is why the call was not admitted after its claim was granted.
	refused protocol.Reason
}

// runOnce runs an irreversible call at most once. The claim comes before the slot: a slot that waits for a quorum commit
// across zones would leave the upstream idle for that time.
func (e *executor) runOnce(
	ctx context.Context, head *protocol.CallMetadata, body *requestBody, deadline time.Time,
) *reply {
	if !body.whole() {
		return refusal(protocol.ReasonTooLarge)
	}
	attempt, reason := e.beginClaim(head)
	if reason != protocol.ReasonNone {
		return refusal(reason)
	}
	call := &onceCall{
		executor: e, head: head, body: body, deadline: deadline,
		machine:  execution.New(execution.Config{Claim: e.claim(head, attempt), Deadline: deadline}),
		events:   make(chan onceEvent),
		finished: make(chan struct{}),
		answered: make(chan *reply, 1),
	}
	if !e.background.start(call.drive) {
		e.endClaim()
		return refusal(protocol.ReasonDraining)
	}
	select {
	case answer := <-call.answered:
		return answer
	case <-ctx.Done():
	case <-call.finished:
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		call.post(call.machine.CallerGone)
		return uncertain(protocol.ReasonCallerGone)
	}
	return call.lastAnswer()
}

// beginClaim returns the number of a new attempt, or why the call is refused. The calls between claim and slot are
// bounded like a queue, so that an overload is refused before it reaches the ledger.
func (e *executor) beginClaim(head *protocol.CallMetadata) (uint64, protocol.Reason) {
	if e.quarantine.Verdict(time.Now(), quarantine.Fingerprint(head.Fingerprint)) == quarantine.Refused {
		return 0, protocol.ReasonQuarantined
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.unavailable(head); reason != protocol.ReasonNone {
		return 0, reason
	}
	if e.claiming >= e.queueConfig().QueueLimit {
		return 0, protocol.ReasonShed
	}
	e.claiming++
	e.nextID++
	return e.nextID, protocol.ReasonNone
}

func (e *executor) endClaim() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claiming--
}

func (e *executor) claim(head *protocol.CallMetadata, attempt uint64) ledger.Claim {
	return ledger.Claim{
		Key: head.Key, Route: head.Route, RequestDigest: head.RequestDigest,
		Executor: e.id, Incarnation: e.incarnation, Attempt: attempt,
	}
}

// lastAnswer waits for the machine's reply to the passed deadline.
func (c *onceCall) lastAnswer() *reply {
	select {
	case answer := <-c.answered:
		return answer
	case <-c.finished:
	}
	select {
	case answer := <-c.answered:
		return answer
	default:
		// The executor was stopped before the machine could answer.
		return uncertain(protocol.ReasonNodeFailed)
	}
}

// post hands an input to the driving goroutine. It returns false once the call is finished.
func (c *onceCall) post(event onceEvent) bool {
	select {
	case c.events <- event:
		return true
	case <-c.finished:
		return false
	}
}

// drive carries out what the machine asks for until it is closed.
func (c *onceCall) drive() {
	defer close(c.finished)
	defer c.freeSlot()
	claiming := true
	endClaim := func() {
		if claiming {
			claiming = false
			c.executor.endClaim()
		}
	}
	defer endClaim()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	outputs := c.machine.Admitted(time.Now())
	for {
		c.carryOut(outputs)
		if c.machine.Closed() {
			return
		}
		if !c.started.IsZero() {
			endClaim()
		}
		if wake, ok := c.machine.Wake(); ok {
			timer.Reset(max(time.Until(wake), 0))
		}
		select {
		case event := <-c.events:
			outputs = event(time.Now())
		case <-timer.C:
			outputs = c.machine.Tick(time.Now())
		case <-c.executor.ctx.Done():
			return
		}
	}
}

func (c *onceCall) freeSlot() {
	if c.slot != nil {
		c.executor.release(c.slot, c.service)
		c.slot = nil
	}
}

func (c *onceCall) carryOut(outputs []execution.Output) {
	for _, output := range outputs {
		switch output := output.(type) {
		case execution.SendClaim:
			c.send(ledger.Command{Claim: &output.Claim}, c.machine.ClaimResult, c.claimFailed)
		case execution.SendQuery:
			c.send(ledger.Command{Query: &output.Query}, c.machine.QueryResult, nil)
		case execution.SendRecord:
			c.send(ledger.Command{Record: &output.Record}, c.machine.RecordAck, nil)
		case execution.SendRelease:
			c.send(ledger.Command{Release: &output.Release}, c.machine.ReleaseAck, nil)
		case execution.RunUpstream:
			c.takeSlot()
		case execution.Reply:
			c.answered <- c.reply(output)
		case execution.FreeSlot:
			c.freeSlot()
		}
	}
}

// send commits a command in the background and delivers its result.
func (c *onceCall) send(
	command ledger.Command,
	deliver func(time.Time, ledger.Result) []execution.Output, fail func(error) onceEvent,
) {
	go func() {
		ctx, cancel := context.WithTimeout(c.executor.ctx, ledgerTimeout)
		defer cancel()
		result, err := c.executor.ledger.do(ctx, c.head.Key, command)
		switch {
		case err == nil:
			c.post(func(now time.Time) []execution.Output { return deliver(now, result) })
		case fail != nil:
			c.post(fail(err))
		}
	}()
}

func (c *onceCall) claimFailed(err error) onceEvent {
	if errors.Is(err, errNotProposed) {
		return c.machine.ClaimRefused
	}
	return c.machine.ClaimFailed
}

// takeSlot waits for a slot and then runs the call on the upstream.
func (c *onceCall) takeSlot() {
	go func() {
		ctx, cancel := context.WithDeadline(c.executor.ctx, c.deadline)
		defer cancel()
		slot, reason := c.executor.admit(ctx, c.head, c.deadline)
		posted := c.post(func(now time.Time) []execution.Output { return c.start(now, slot, reason) })
		if !posted && slot != nil {
			c.executor.release(slot, 0)
		}
	}()
}

// start writes the request, unless the call was not admitted or the machine no longer allows it.
func (c *onceCall) start(now time.Time, slot *place, reason protocol.Reason) []execution.Output {
	c.slot = slot
	if slot == nil {
		c.refused = reason
		return c.machine.UpstreamRefused(now)
	}
	if !c.machine.BeginWrite(now) {
		c.freeSlot()
		return c.machine.UpstreamFailed(now)
	}
	c.started = now
	go func() {
		event := c.callUpstream(slot)
		c.post(func(now time.Time) []execution.Output {
			c.service = now.Sub(c.started)
			return event(now)
		})
	}()
	return nil
}

// callUpstream sends the request once and returns the machine's input.
func (c *onceCall) callUpstream(slot *place) onceEvent {
	ctx, cancel := context.WithDeadline(c.executor.ctx, c.deadline.Add(lateAnswerTime))
	defer cancel()
	request := c.executor.upstreamRequest(slot.upstream, c.head, c.body, c.deadline)
	answer, err := slot.upstream.client.Do(ctx, request)
	if errors.Is(err, web.ErrNotWritten) {
		c.executor.startCrashCheck(slot)
		return c.machine.UpstreamRefused
	}
	if err != nil {
		c.executor.explainBreak(ctx, slot)
		return c.machine.UpstreamFailed
	}
	defer answer.Response.Body.Close()
	if !c.executor.dialect.Genuine(request.Header, answer.Response.Header, answer.Response.StatusCode) {
		answer.Discard()
		return c.machine.UpstreamFailed
	}
	if c.executor.dialect.Refused(answer.Response.StatusCode, answer.Response.Header) {
		return c.machine.UpstreamRefused
	}
	body, err := readWhole(answer.Response.Body)
	if err != nil {
		c.executor.explainBreak(ctx, slot)
		return c.machine.UpstreamFailed
	}
	c.executor.succeeded(c.head)
	whole := ledger.Response{
		Status: answer.Response.StatusCode, Header: web.CopyHeader(answer.Response.Header), Body: body,
	}
	return func(now time.Time) []execution.Output { return c.machine.UpstreamResponse(now, whole) }
}

func readWhole(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxOnceAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrapf(web.ErrCut, "%v", err)
	}
	if len(data) > maxOnceAnswerBytes {
		return nil, errAnswerTooLarge
	}
	return data, nil
}

var onceReasons = map[execution.Reason]protocol.Reason{
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

func (c *onceCall) reply(output execution.Reply) *reply {
	reason := onceReasons[output.Reason]
	if output.Reason == execution.ReasonUpstream && c.refused != protocol.ReasonNone {
		reason = c.refused
	}
	switch output.Outcome {
	case execution.OutcomeNotRun:
		if reason == protocol.ReasonKeyExpired {
			// What ran under this key is no longer known.
			return uncertain(reason)
		}
		return refusal(reason)
	case execution.OutcomeUnknown:
		return uncertain(reason)
	default:
		return answerReply(output.Response)
	}
}

// answerReply passes on a recorded answer.
func answerReply(answer *ledger.Response) *reply {
	if answer.Dropped {
		return &reply{head: protocol.ReplyMetadata{
			Outcome: protocol.OutcomeDone, Reason: protocol.ReasonAnswerDropped, Status: http.StatusGone,
		}}
	}
	return &reply{
		head: protocol.ReplyMetadata{
			Outcome: protocol.OutcomeDone, Status: answer.Status, Header: answer.Header,
			ContentLength: int64(len(answer.Body)),
		},
		body: answer.Body,
	}
}

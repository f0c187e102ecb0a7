package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/execution"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/transport/web"
)

const (
	// ledgerTimeout bounds one command to the ledger; the state machine repeats it as long as that is useful.
	ledgerTimeout = 2 * time.Second
	// lateResponseTime is how long after the caller's deadline an upstream may still respond to an irreversible call.
	// Such a response is recorded and returned when the caller sends the request again.
	lateResponseTime = 10 * time.Second
	// maxRecordedBodyBytes bounds the response body of an irreversible call, which stays in memory until its caller has read
	// it.
	maxRecordedBodyBytes = 16 << 20
	// maxLongBodyBytes bounds what all calls together hold of such bodies until their callers have read them, beyond the
	// first shortBodyBytes of each: upstreams with long responses, or callers that read little, would use up the memory of
	// the node. Short responses, which the ledger keeps (64 KiB), never count.
	maxLongBodyBytes = 16 << 20
	shortBodyBytes   = 64 << 10
)

// errResponseTooLarge reports a response body beyond maxRecordedBodyBytes, or beyond maxLongBodyBytes of all calls.
var errResponseTooLarge = errors.New("node: response to an irreversible call is longer than 16 MiB")

// stateMachineInput applies one input to the state machine of an irreversible call and returns its outputs.
type stateMachineInput func(now time.Time) []execution.Output

// irreversibleCall runs the state machine of one irreversible call. It outlives the caller: the claim is released or
// the response recorded even if the caller has gone.
type irreversibleCall struct {
	executor     *executor
	metadata     *protocol.CallMetadata
	body         *requestBody
	deadline     time.Time
	stateMachine *execution.StateMachine
	// inputs is not buffered: an input that was received is always handled, so that a slot that it carries is released.
	inputs   chan stateMachineInput
	finished chan struct{}
	replies  chan *callReply

	// Only the goroutine that executes run uses the fields below.
	slot        *grantedSlot
	started     time.Time
	serviceTime time.Duration
	// refusalReason is why the call got no slot after its claim was granted.
	refusalReason protocol.Reason
	// releaseBody gives back the memory that is reserved for the body of the response; nil if none is, or once the reply
	// has it.
	releaseBody func()
}

// runIrreversible runs an irreversible call at most once. It claims the key before it waits for a slot: a slot that is
// held during a quorum commit across zones would leave the upstream idle for that time.
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
		executor: e, metadata: meta, body: body, deadline: deadline,
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
		go func() { call.awaitReply().finish() }() // The reply that nobody waits for may hold memory.
		return unknownReply(abandonReason(ctx))
	}
	return call.awaitReply()
}

// beginClaim returns the number of a new attempt, or why the call is refused. The calls that have sent their claim and
// do not run yet are bounded by the queue limit, so that an overload is refused before it reaches the ledger.
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

// endClaim removes a call from the pending claims.
func (e *executor) endClaim() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingClaims--
}

// newClaim returns the claim of an attempt for the ledger.
func (e *executor) newClaim(meta *protocol.CallMetadata, attempt uint64) ledger.Claim {
	return ledger.Claim{
		Key: meta.Key, Route: meta.Route, RequestDigest: meta.RequestDigest,
		Executor: e.id, Incarnation: e.incarnation, Attempt: attempt,
	}
}

// awaitReply waits for the reply that the state machine gives after the deadline has passed.
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
		// The executor was stopped before the state machine replied.
		return unknownReply(protocol.ReasonNodeFailed)
	}
}

// post passes an input to the goroutine that executes run. It returns false once the call is finished.
func (c *irreversibleCall) post(input stateMachineInput) bool {
	select {
	case c.inputs <- input:
		return true
	case <-c.finished:
		return false
	}
}

// run passes inputs to the state machine and applies its outputs until the state machine is closed.
func (c *irreversibleCall) run() {
	defer close(c.finished)
	defer c.releaseSlot()
	defer c.dropBody()
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

// dropBody gives back the memory of a response that no reply has.
func (c *irreversibleCall) dropBody() {
	if c.releaseBody != nil {
		c.releaseBody()
		c.releaseBody = nil
	}
}

// applyOutputs carries out the state machine's outputs.
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
			reply := c.replyFor(output)
			if c.releaseBody != nil {
				reply.addOnFinish(c.releaseBody)
				c.releaseBody = nil
			}
			c.replies <- reply
		case execution.FreeSlot:
			c.releaseSlot()
		}
	}
}

// commitCommand commits a ledger command on another goroutine and posts its result, or the input that fail returns.
// Without fail an error is dropped: the state machine repeats the command.
func (c *irreversibleCall) commitCommand(
	command ledger.Command,
	deliver func(time.Time, ledger.Result) []execution.Output, fail func(error) stateMachineInput,
) {
	go func() {
		ctx, cancel := context.WithTimeout(c.executor.ctx, ledgerTimeout)
		defer cancel()
		result, err := c.executor.ledger.commit(ctx, c.metadata.Key, command)
		switch {
		case err == nil:
			c.post(func(now time.Time) []execution.Output { return deliver(now, result) })
		case fail != nil:
			c.post(fail(err))
		}
	}()
}

// claimFailureInput tells a claim that was certainly not proposed from one that may have been committed.
func (c *irreversibleCall) claimFailureInput(err error) stateMachineInput {
	if errors.Is(err, errNotProposed) {
		return c.stateMachine.ClaimRefused
	}
	return c.stateMachine.ClaimFailed
}

// acquireSlot waits for a slot on another goroutine and then starts the call on the upstream.
func (c *irreversibleCall) acquireSlot() {
	go func() {
		ctx, cancel := context.WithDeadline(c.executor.ctx, c.deadline)
		defer cancel()
		slot, reason := c.executor.admit(ctx, c.metadata, c.deadline)
		posted := c.post(func(now time.Time) []execution.Output { return c.startUpstreamCall(now, slot, reason) })
		if !posted && slot != nil {
			c.executor.releaseSlot(slot, 0)
		}
	}()
}

// startUpstreamCall sends the request, unless the call got no slot or the state machine no longer allows it.
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
		input, releaseBody := c.callUpstream(slot)
		posted := c.post(func(now time.Time) []execution.Output {
			c.serviceTime = now.Sub(c.started)
			c.releaseBody = releaseBody
			return input(now)
		})
		if !posted && releaseBody != nil {
			releaseBody()
		}
	}()
	return nil
}

// callUpstream sends the request once and returns the resulting input of the state machine. releaseBody gives back the
// memory that is reserved for the body of the response; it is nil if there is none.
func (c *irreversibleCall) callUpstream(slot *grantedSlot) (input stateMachineInput, releaseBody func()) {
	ctx, cancel := context.WithDeadline(c.executor.ctx, c.deadline.Add(lateResponseTime))
	defer cancel()
	request := c.executor.upstreamRequest(slot.upstream, c.metadata, c.body, c.deadline)
	response, err := slot.upstream.client.Do(ctx, request)
	if errors.Is(err, web.ErrNotWritten) {
		c.executor.startCrashCheck(slot)
		return c.stateMachine.UpstreamRefused, nil
	}
	if err != nil {
		c.executor.awaitCrashCheck(ctx, slot)
		return c.stateMachine.UpstreamFailed, nil
	}
	defer response.HTTP.Body.Close()
	if !c.executor.dialect.ValidResponse(request.Header, response.HTTP.Header, response.HTTP.StatusCode) {
		response.Discard()
		return c.stateMachine.UpstreamFailed, nil
	}
	c.executor.observeNotices(slot.upstream, response.HTTP)
	if c.executor.dialect.Refused(response.HTTP.StatusCode, response.HTTP.Header) {
		c.executor.closeRefusal(response)
		return c.stateMachine.UpstreamRefused, nil
	}
	body, releaseBody, err := c.executor.readRecordedBody(response.HTTP.Body, response.HTTP.ContentLength)
	if err != nil {
		c.executor.awaitCrashCheck(ctx, slot)
		return c.stateMachine.UpstreamFailed, nil
	}
	c.executor.clearSuspicion(c.metadata)
	recorded := ledger.Response{
		Status: response.HTTP.StatusCode, Header: web.CopyHeader(response.HTTP.Header), Body: body,
	}
	return func(now time.Time) []execution.Output { return c.stateMachine.UpstreamResponse(now, recorded) }, releaseBody
}

// readRecordedBody reads a whole body of at most maxRecordedBodyBytes, whose length is -1 if it is not known. The caller
// must call release once it does not hold the body any more.
func (e *executor) readRecordedBody(body io.Reader, length int64) (data []byte, release func(), err error) {
	counted := &longBodyReader{reader: body, total: &e.longBodyBytes}
	if err = counted.reserve(length); err == nil {
		data, err = readAll(counted, length)
	}
	if err == nil {
		return data, sync.OnceFunc(counted.release), nil
	}
	counted.release()
	if !errors.Is(err, errResponseTooLarge) {
		err = errors.Wrapf(web.ErrTruncated, "%v", err)
	}
	return nil, nil, err
}

// readAll is io.ReadAll without the copies of a growing buffer if the length is known; it is -1 otherwise.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := buffer.ReadFrom(body)
	return buffer.Bytes(), err
}

// longBodyReader counts the bytes of a body beyond shortBodyBytes, and returns errResponseTooLarge if they pass
// maxRecordedBodyBytes, or the total of all calls passes maxLongBodyBytes.
type longBodyReader struct {
	reader io.Reader
	total  *atomic.Int64
	read   int64
	// reserved is the length of the body as far as it is known.
	reserved int64
}

// Read implements io.Reader.
func (r *longBodyReader) Read(data []byte) (int, error) {
	n, err := r.reader.Read(data)
	r.read += int64(n)
	if tooLarge := r.reserve(r.read); tooLarge != nil {
		return n, tooLarge
	}
	return n, err
}

// reserve counts a body of at least the given length.
func (r *longBodyReader) reserve(length int64) error {
	if length <= r.reserved {
		return nil
	}
	if length > maxRecordedBodyBytes {
		return errResponseTooLarge
	}
	before := r.counted()
	r.reserved = length
	added := r.counted() - before
	if r.total.Add(added) > maxLongBodyBytes && added > 0 {
		return errResponseTooLarge
	}
	return nil
}

func (r *longBodyReader) counted() int64 { return max(r.reserved-shortBodyBytes, 0) }

// release removes the body from the total.
func (r *longBodyReader) release() { r.total.Add(-r.counted()) }

var executionReasons = map[execution.Reason]protocol.Reason{
	execution.ReasonNone:       protocol.ReasonNone,
	execution.ReasonDeadline:   protocol.ReasonDeadline,
	execution.ReasonLedger:     protocol.ReasonLedgerUnavailable,
	execution.ReasonKeyReused:  protocol.ReasonKeyReused,
	execution.ReasonKeyExpired: protocol.ReasonKeyExpired,
	execution.ReasonLedgerFull: protocol.ReasonLedgerUnavailable,
	execution.ReasonReleased:   protocol.ReasonShed,
	execution.ReasonClaimed:    protocol.ReasonInProgress,
	execution.ReasonUpstream:   protocol.ReasonUpstreamFailed,
}

// replyFor translates the state machine's reply.
func (c *irreversibleCall) replyFor(output execution.Reply) *callReply {
	reason := executionReasons[output.Reason]
	if output.Reason == execution.ReasonUpstream && c.refusalReason != protocol.ReasonNone {
		reason = c.refusalReason
	}
	switch output.Outcome {
	case execution.OutcomeNotRun:
		if reason == protocol.ReasonKeyExpired {
			// The ledger no longer knows whether a request ran under this key.
			return unknownReply(reason)
		}
		return notRunReply(reason)
	case execution.OutcomeUnknown:
		return unknownReply(reason)
	default:
		return recordedReply(output.Response)
	}
}

// recordedReply returns the reply for a response that the ledger has recorded. The status is 410 Gone if the ledger
// has dropped the response's content.
func recordedReply(recorded *ledger.Response) *callReply {
	if recorded.Dropped {
		return &callReply{metadata: protocol.ReplyMetadata{
			Outcome: protocol.OutcomeDone, Reason: protocol.ReasonResponseNotKept, Status: http.StatusGone,
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

package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/web"
)

// inlineBytes is the largest answer that is checked as a whole before its first byte is passed on.
const inlineBytes = 64 << 10

// run carries out one call. The context ends when the caller leaves or the deadline passes.
func (e *executor) run(ctx context.Context, head *protocol.CallMetadata, body *requestBody) *reply {
	arrived := time.Now()
	deadline := arrived.Add(head.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	if head.Class == bundle.ClassIrreversible && head.Key != "" {
		defer cancel()
		return e.report(head, e.runOnce(ctx, head, body, deadline), arrived)
	}
	return e.report(head, e.runUnrecorded(ctx, head, body, deadline).afterwards(cancel), arrived)
}

// report adds the upstream's load to an answer, and counts and logs the call.
func (e *executor) report(head *protocol.CallMetadata, answer *reply, arrived time.Time) *reply {
	answer.head.Load = e.load()
	switch {
	case answer.head.Outcome == protocol.OutcomeNotRun:
		e.metrics.shed.WithLabelValues(string(answer.head.Reason)).Inc()
	case answer.head.Upstream > 0:
		e.metrics.upstreamTime.Observe(answer.head.Upstream.Seconds())
	}
	e.requestLog.call(head, answer, time.Since(arrived)-answer.head.Upstream)
	return answer
}

// runUnrecorded runs a lookup or report, or an irreversible call without a key, which the ingress sends to another
// upstream only after a refusal. A call of the latter kind is not broken off once it runs: its caller may have left, but
// half of an irreversible request helps nobody.
func (e *executor) runUnrecorded(
	ctx context.Context, head *protocol.CallMetadata, body *requestBody, deadline time.Time,
) *reply {
	slot, reason := e.admit(ctx, head, deadline)
	if slot == nil {
		return refusal(reason)
	}
	if head.Class == bundle.ClassIrreversible {
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
		// The rest of a long answer is read after this function has returned.
		return e.exchange(detached, head, body, slot, deadline).afterwards(cancel)
	}
	return e.exchange(ctx, head, body, slot, deadline)
}

// exchange sends a call that has a slot to its upstream.
func (e *executor) exchange(
	ctx context.Context, head *protocol.CallMetadata, body *requestBody, slot *place, deadline time.Time,
) *reply {
	started := time.Now()
	request := e.upstreamRequest(slot.upstream, head, body, deadline)
	answer, err := slot.upstream.client.Do(ctx, request)
	if err != nil {
		defer e.release(slot, 0)
		return e.failed(ctx, slot, err)
	}
	if !e.dialect.Genuine(request.Header, answer.Response.Header, answer.Response.StatusCode) {
		answer.Discard()
		defer e.release(slot, 0)
		return e.failed(ctx, slot, errors.Wrap(web.ErrCut, "the answer does not belong to the request"))
	}
	if e.dialect.Refused(answer.Response.StatusCode, answer.Response.Header) {
		answer.Response.Body.Close()
		e.release(slot, 0)
		return refusal(protocol.ReasonUpstreamRefused)
	}
	return e.relayAnswer(ctx, head, slot, started, answer)
}

// relayAnswer buffers a short answer whole, or streams a long one.
func (e *executor) relayAnswer(
	ctx context.Context, head *protocol.CallMetadata, slot *place, started time.Time, answer *web.UpstreamAnswer,
) *reply {
	start, ended, err := readStart(answer.Response.Body)
	if err != nil {
		answer.Response.Body.Close()
		defer e.release(slot, 0)
		return e.failed(ctx, slot, errors.Wrapf(web.ErrCut, "%v", err))
	}
	result := &reply{head: replyHead(head.Method, answer), body: start}
	if ended {
		answer.Response.Body.Close()
		result.trailer = answer.Response.Trailer
		result.head.ContentLength = int64(len(start))
		result.head.Upstream = time.Since(answer.Sent)
		e.release(slot, time.Since(started))
		e.succeeded(head)
		return result
	}
	result.head.Upstream = time.Since(answer.Sent)
	result.stream = &upstreamStream{response: answer.Response}
	result.done = func() { e.release(slot, time.Since(started)) }
	return result
}

// readStart reads up to inlineBytes and reports whether the body ended there. net/http reports a body that is shorter
// than announced as an error.
func readStart(body io.Reader) (start []byte, ended bool, err error) {
	buffer := bytes.NewBuffer(make([]byte, 0, bytes.MinRead))
	_, err = buffer.ReadFrom(io.LimitReader(body, inlineBytes+1))
	if err != nil {
		return nil, false, err
	}
	return buffer.Bytes(), buffer.Len() <= inlineBytes, nil
}

func (e *executor) upstreamRequest(
	target *upstream, head *protocol.CallMetadata, body *requestBody, deadline time.Time,
) web.UpstreamRequest {
	header := http.Header(head.Header).Clone()
	if header == nil {
		header = make(http.Header)
	}
	e.setCallHeaders(header, target, head, time.Until(deadline))
	request := web.UpstreamRequest{
		Method: head.Method, URI: head.URI, Host: head.Host, Header: header,
		ContentLength: head.ContentLength, Trailer: body.trailer,
	}
	switch {
	case body.rest != nil:
		request.Body = io.MultiReader(bytes.NewReader(body.start), body.rest)
	case len(body.trailer) > 0:
		// net/http sends trailers only with a chunked body.
		request.Body = bytes.NewReader(body.start)
		request.ContentLength = -1
	case len(body.start) > 0:
		request.Body = bytes.NewReader(body.start)
		request.ContentLength = int64(len(body.start))
	default:
		request.ContentLength = 0
	}
	return request
}

func replyHead(method string, answer *web.UpstreamAnswer) protocol.ReplyMetadata {
	header := web.CopyHeader(answer.Response.Header)
	if answer.Response.ContentLength >= 0 && bodyAllowed(method, answer.Response.StatusCode) {
		header.Del("Content-Length") // The ingress sets it from the head.
	}
	return protocol.ReplyMetadata{
		Outcome:       protocol.OutcomeDone,
		Status:        answer.Response.StatusCode,
		Header:        protocol.Fields(header),
		ContentLength: answer.Response.ContentLength,
	}
}

// failed turns a failed exchange with the upstream into a reply.
func (e *executor) failed(ctx context.Context, slot *place, err error) *reply {
	if errors.Is(err, web.ErrNotWritten) {
		e.startCrashCheck(slot)
		return refusal(protocol.ReasonUnreachable)
	}
	if ctx.Err() != nil {
		return uncertain(protocol.ReasonDeadline)
	}
	crashed := e.explainBreak(ctx, slot)
	reason := protocol.ReasonUpstreamFailed
	if errors.Is(err, web.ErrCut) && !crashed {
		reason = protocol.ReasonTruncated
	}
	result := uncertain(reason)
	result.head.Suspect = crashed
	return result
}

// succeeded clears a suspicion against the request.
func (e *executor) succeeded(head *protocol.CallMetadata) {
	report, changed := e.quarantine.Succeeded(time.Now(), quarantine.Fingerprint(head.Fingerprint))
	if changed {
		e.publish(report)
	}
}

// upstreamStream passes on a long answer.
type upstreamStream struct {
	response *http.Response
}

// Next reads the next part of the body.
func (s *upstreamStream) Next() (*protocol.ReplyFrame, error) {
	buffer := make([]byte, protocol.ChunkBytes)
	n, ended, err := readChunk(s.response.Body, buffer)
	if err != nil {
		return nil, errors.Wrapf(web.ErrCut, "%v", err)
	}
	frame := &protocol.ReplyFrame{Body: buffer[:n], Last: ended}
	if ended {
		frame.Trailer = s.response.Trailer
	}
	return frame, nil
}

// readChunk reads what is available. Unlike io.ReadFull it tells a body that ended from one that was cut, which
// net/http reports as io.ErrUnexpectedEOF.
func readChunk(body io.Reader, buffer []byte) (n int, ended bool, err error) {
	for n == 0 {
		n, err = body.Read(buffer)
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// Close gives up the rest of the answer.
func (s *upstreamStream) Close() { s.response.Body.Close() }

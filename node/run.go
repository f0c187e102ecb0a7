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

// maxBufferedResponseBytes is the largest response body that is read to its end before the reply is sent, so that a
// truncated response is detected before the caller gets a part of it.
const maxBufferedResponseBytes = 64 << 10

// run executes one call on the upstream. The context ends when the caller disconnects or the deadline passes.
func (e *executor) run(ctx context.Context, meta *protocol.CallMetadata, body *requestBody) *callReply {
	receivedAt := time.Now()
	deadline := receivedAt.Add(meta.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	if meta.Class == bundle.ClassIrreversible && meta.Key != "" {
		defer cancel()
		return e.reportCall(meta, e.runIrreversible(ctx, meta, body, deadline), receivedAt)
	}
	return e.reportCall(meta, e.runWithoutKey(ctx, meta, body, deadline).addOnFinish(cancel), receivedAt)
}

// reportCall adds the upstream's load to the reply, and counts and logs the call.
func (e *executor) reportCall(meta *protocol.CallMetadata, reply *callReply, receivedAt time.Time) *callReply {
	reply.metadata.Load = e.load()
	switch {
	case reply.metadata.Outcome == protocol.OutcomeNotRun:
		e.metrics.refusedCalls.WithLabelValues(string(reply.metadata.Reason)).Inc()
	case reply.metadata.UpstreamTime > 0:
		e.metrics.upstreamTime.Observe(reply.metadata.UpstreamTime.Seconds())
	}
	e.results.observe(e, meta, reply)
	e.requestLog.callEnded(meta, reply, time.Since(receivedAt)-reply.metadata.UpstreamTime)
	return reply
}

// runWithoutKey runs a lookup or report, or an irreversible call on a keyless route, which the ingress sends to another
// upstream only after a refusal. Such an irreversible call is not canceled once it runs, even if its caller has
// disconnected: a request that was executed in part would be worse.
func (e *executor) runWithoutKey(
	ctx context.Context, meta *protocol.CallMetadata, body *requestBody, deadline time.Time,
) *callReply {
	download, ok := e.downloads.admit(time.Now(), meta)
	if !ok {
		return notRunReply(protocol.ReasonShed)
	}
	reply := e.runAdmitted(ctx, meta, body, deadline, download)
	if download != nil {
		reply.download = download
		reply.addOnFinish(download.done)
	}
	return reply
}

// runAdmitted runs a call without a key once it gets a slot. download is nil unless its class is download.
func (e *executor) runAdmitted(
	ctx context.Context, meta *protocol.CallMetadata, body *requestBody, deadline time.Time, download *download,
) *callReply {
	slot, reason := e.admit(ctx, meta, deadline)
	if slot == nil {
		return notRunReply(reason)
	}
	if meta.Class.RunsOnce() {
		detached, cancel := context.WithDeadline(e.requestsContext, deadline)
		// The rest of a long response is read after this function has returned.
		return e.exchange(detached, meta, body, slot, deadline, download).addOnFinish(cancel)
	}
	return e.exchange(ctx, meta, body, slot, deadline, download)
}

// exchange sends a call that has a slot to the upstream and returns the reply.
func (e *executor) exchange(
	ctx context.Context, meta *protocol.CallMetadata, body *requestBody, slot *grantedSlot, deadline time.Time,
	download *download,
) *callReply {
	started := time.Now()
	request := e.upstreamRequest(slot.upstream, meta, body, deadline)
	response, err := slot.upstream.client.Do(ctx, request)
	if err != nil {
		defer e.releaseSlot(slot, 0)
		return e.failedReply(ctx, slot, started, err)
	}
	if !e.dialect.ValidResponse(request.Header, response.HTTP.Header, response.HTTP.StatusCode) {
		response.Discard()
		defer e.releaseSlot(slot, 0)
		return e.failedReply(ctx, slot, started, errors.Wrap(web.ErrTruncated, "the response does not belong to the request"))
	}
	e.observeNotices(slot.upstream, response.HTTP)
	if e.dialect.Refused(response.HTTP.StatusCode, response.HTTP.Header) {
		e.closeRefusal(response)
		e.releaseSlot(slot, 0)
		return notRunReply(protocol.ReasonUpstreamRefused)
	}
	return e.forwardResponse(ctx, meta, slot, started, response, download)
}

// closeRefusal ends the exchange of a refused request. Without request IDs, a refusal that the upstream sends once more
// on the connection could not be told from that of the next request.
func (e *executor) closeRefusal(response *web.UpstreamResponse) {
	if e.dialect.RequestID == "" {
		response.Discard()
		return
	}
	response.HTTP.Body.Close()
}

// forwardResponse buffers a response of up to maxBufferedResponseBytes, or more of a download, and streams a longer one.
func (e *executor) forwardResponse(
	ctx context.Context, meta *protocol.CallMetadata, slot *grantedSlot, started time.Time, response *web.UpstreamResponse,
	download *download,
) *callReply {
	prefix, complete, err := readPrefix(response.HTTP.Body, download.bufferLimit())
	if err != nil {
		response.HTTP.Body.Close()
		defer e.releaseSlot(slot, 0)
		return e.failedReply(ctx, slot, started, errors.Wrapf(web.ErrTruncated, "%v", err))
	}
	reply := &callReply{metadata: responseMetadata(meta.Method, response), body: prefix}
	if complete {
		response.HTTP.Body.Close()
		reply.trailer = response.HTTP.Trailer
		reply.metadata.ContentLength = int64(len(prefix))
		reply.metadata.UpstreamTime = time.Since(response.WrittenAt)
		e.releaseSlot(slot, time.Since(started))
		download.observe(reply.metadata.ContentLength, reply.metadata.UpstreamTime)
		e.clearSuspicion(meta)
		return reply
	}
	reply.metadata.UpstreamTime = time.Since(response.WrittenAt)
	download.observe(reply.metadata.ContentLength, reply.metadata.UpstreamTime)
	reply.stream = &upstreamStream{response: response.HTTP}
	reply.onFinish = func() { e.releaseSlot(slot, time.Since(started)) }
	return reply
}

// readPrefix reads up to one byte more than the limit and reports whether the body is complete. net/http returns an error
// for a body that is shorter than announced.
func readPrefix(body io.Reader, limit int) (prefix []byte, complete bool, err error) {
	buffer := bytes.NewBuffer(make([]byte, 0, bytes.MinRead))
	_, err = buffer.ReadFrom(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, false, err
	}
	return buffer.Bytes(), buffer.Len() <= limit, nil
}

// upstreamRequest builds the request that is sent to the upstream.
func (e *executor) upstreamRequest(
	target *upstream, meta *protocol.CallMetadata, body *requestBody, deadline time.Time,
) web.UpstreamRequest {
	header := http.Header(meta.Header).Clone()
	if header == nil {
		header = make(http.Header)
	}
	e.setCallHeaders(header, target, meta, time.Until(deadline))
	request := web.UpstreamRequest{
		Method: meta.Method, URI: meta.URI, Host: meta.Host, Header: header,
		ContentLength: meta.ContentLength, Trailer: body.trailer,
	}
	switch {
	case body.rest != nil:
		request.Body, request.Streamed = io.MultiReader(bytes.NewReader(body.prefix), body.rest), true
	case len(body.trailer) > 0:
		// net/http sends trailers only with a chunked body.
		request.Body = bytes.NewReader(body.prefix)
		request.ContentLength = -1
	case len(body.prefix) > 0:
		request.Body = bytes.NewReader(body.prefix)
		request.ContentLength = int64(len(body.prefix))
	default:
		request.ContentLength = 0
	}
	return request
}

// responseMetadata returns the metadata of the reply to a call that the upstream has run.
func responseMetadata(method string, response *web.UpstreamResponse) protocol.ReplyMetadata {
	header := web.CopyHeader(response.HTTP.Header)
	if response.HTTP.ContentLength >= 0 && bodyAllowed(method, response.HTTP.StatusCode) {
		header.Del("Content-Length") // The ingress sets it from the metadata.
	}
	return protocol.ReplyMetadata{
		Outcome:       protocol.OutcomeDone,
		Status:        response.HTTP.StatusCode,
		Header:        protocol.HeaderFields(header),
		ContentLength: response.HTTP.ContentLength,
	}
}

// failedReply returns the reply after a failed exchange with the upstream. It checks whether the upstream has crashed.
func (e *executor) failedReply(ctx context.Context, slot *grantedSlot, started time.Time, err error) *callReply {
	if errors.Is(err, web.ErrNotWritten) {
		e.startCrashCheck(slot)
		return notRunReply(protocol.ReasonUnreachable)
	}
	if ctx.Err() != nil {
		abandoned := unknownReply(abandonReason(ctx))
		abandoned.abandonedAfter = time.Since(started)
		return abandoned
	}
	crashed := e.awaitCrashCheck(ctx, slot)
	reason := protocol.ReasonUpstreamFailed
	if errors.Is(err, web.ErrTruncated) && !crashed {
		reason = protocol.ReasonTruncated
	}
	reply := unknownReply(reason)
	reply.metadata.Suspect = crashed
	return reply
}

// clearSuspicion tells the quarantine that the request has run without a crash.
func (e *executor) clearSuspicion(meta *protocol.CallMetadata) {
	report, changed := e.quarantine.Succeeded(time.Now(), quarantine.Fingerprint(meta.Fingerprint))
	if changed {
		e.publish(report)
	}
}

// upstreamStream reads the rest of a long response from the upstream.
type upstreamStream struct {
	response *http.Response
	// buffer holds the body of the latest frame: a new buffer for each would cost far more memory than an upstream sends
	// that sends a byte at a time.
	buffer [protocol.ChunkBytes]byte
}

// Next reads the next part of the body into a frame.
func (s *upstreamStream) Next() (*protocol.ReplyFrame, error) {
	n, last, err := readChunk(s.response.Body, s.buffer[:])
	if err != nil {
		return nil, errors.Wrapf(web.ErrTruncated, "%v", err)
	}
	frame := &protocol.ReplyFrame{Body: s.buffer[:n], Last: last}
	if last {
		frame.Trailer = s.response.Trailer
	}
	return frame, nil
}

// readChunk reads what is available. Unlike io.ReadFull it distinguishes a complete body from a truncated one, for
// which net/http returns io.ErrUnexpectedEOF.
func readChunk(body io.Reader, buffer []byte) (n int, last bool, err error) {
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

// Close discards the rest of the response.
func (s *upstreamStream) Close() { s.response.Body.Close() }

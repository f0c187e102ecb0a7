package node

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/transport/web"
)

// PathOutcome is the path at which callers ask for the outcome of an earlier irreversible request; the query parameter
// "key" is its idempotency key.
const PathOutcome = "/.sapphire/outcome"

const headerRetryAfter = "Retry-After"

// callerWriteTimeout bounds how long a caller may take to read a response that the node holds completely.
const callerWriteTimeout = 10 * time.Second

// unreadBodyTimeout bounds how long the connection of a refused request is kept for the rest of the body, so that a caller
// that still sends gets the response before the connection closes.
const unreadBodyTimeout = time.Second

// maxUnreadBytes is how much of a body net/http reads after the response. It closes the connection of a longer one, which the
// caller has to know before it sends its next request there.
const maxUnreadBytes = 256 << 10

// outcomeTimeout bounds a query to the ledger for an outcome.
const outcomeTimeout = 2 * time.Second

// refusalStatusCodes maps the reasons of requests that were not run to HTTP status codes; all others get 503.
var refusalStatusCodes = map[protocol.Reason]int{
	protocol.ReasonNoRoute:    http.StatusNotFound,
	protocol.ReasonUnknownKey: http.StatusUnauthorized,
	protocol.ReasonQuota:      http.StatusTooManyRequests,
	protocol.ReasonShed:       http.StatusTooManyRequests,
	protocol.ReasonBusy:       http.StatusTooManyRequests,
	protocol.ReasonCallLimit:  http.StatusTooManyRequests,
	protocol.ReasonKeyMissing: http.StatusBadRequest,
	protocol.ReasonKeyExpired: http.StatusBadRequest,
	protocol.ReasonKeyReused:  http.StatusUnprocessableEntity,
	protocol.ReasonTooLarge:   http.StatusRequestEntityTooLarge,
	protocol.ReasonTooDeep:    http.StatusLoopDetected,
}

// reasonTexts explains reasons to callers and says what they can do.
var reasonTexts = map[protocol.Reason]string{
	protocol.ReasonNoRoute:           "no route of the configuration in force matches this request",
	protocol.ReasonUnknownKey:        "no team has this key in the configuration in force",
	protocol.ReasonUnconfirmed:       "this node cannot confirm that its keys are current; try another node",
	protocol.ReasonQuota:             "the team has used up its quota; try again later",
	protocol.ReasonQuotaUnknown:      "the control members cannot be reached, which hold the team's quota; try again later",
	protocol.ReasonNotReady:          "this node has no configuration yet; try another node",
	protocol.ReasonNoUpstream:        "no upstream of the service takes calls; try again later",
	protocol.ReasonShed:              "the upstreams are full; try again later",
	protocol.ReasonBusy:              "the upstreams are full; try again later",
	protocol.ReasonCallLimit:         "the route's call limit is reached; try again later",
	protocol.ReasonDeadline:          "the deadline passed",
	protocol.ReasonQuarantined:       "this request crashed upstreams; ask the operators to clear it",
	protocol.ReasonKeyMissing:        "this route needs an Idempotency-Key of 1 to 256 bytes; a UUIDv7 is best",
	protocol.ReasonKeyReused:         "the Idempotency-Key belongs to a different request; use a new key",
	protocol.ReasonKeyExpired:        "the Idempotency-Key is too old to prove that the request was not run; use a new key",
	protocol.ReasonInProgress:        "an earlier request with this key has no recorded answer; ask again at the outcome URL",
	protocol.ReasonLedgerUnavailable: "the control members cannot be reached; try again later with the same key",
	protocol.ReasonTooLarge:          "the request body is larger than the route allows",
	protocol.ReasonTooDeep:           "the chain of calls is too deep",
}

// refuse responds to a request that this node did not admit. A request with an idempotency key may have run at an
// earlier attempt, so the ledger is queried before the caller is told that it was not run. call may be nil.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, reason protocol.Reason, call *ingressCall) {
	n.metrics.refusedRequests.WithLabelValues(string(reason)).Inc()
	n.requestLog.requestRefused(r, n, reason)
	key := r.Header.Get(protocol.HeaderIdempotencyKey)
	defer closeUnreadBody(w, r)
	if key != "" && (reason == protocol.ReasonUnknownKey || reason == protocol.ReasonUnconfirmed) {
		// What the ledger holds is not for a caller without a team.
		limitUnreadBody(w, r)
		n.writeOutcome(w, protocol.OutcomeUnknown, reason, refusalStatusCode(reason), retry.Refusal{})
		return
	}
	if key == "" || len(key) > maxKeyBytes {
		limitUnreadBody(w, r)
		n.writeOutcome(w, protocol.OutcomeNotRun, reason, refusalStatusCode(reason), call.refusal(protocol.LoadReport{}))
		return
	}
	reply := n.lookUpOutcome(r.Context(), ledger.Query{Key: key}, reason)
	limitUnreadBody(w, r)
	if reply.metadata.Outcome == protocol.OutcomeUnknown {
		w.Header().Set(protocol.HeaderOutcomeURL, outcomeURL(key))
	}
	if reply.metadata.Outcome == protocol.OutcomeDone {
		writeRecordedResponse(w, reply)
		return
	}
	n.writeOutcome(w, reply.metadata.Outcome, reply.metadata.Reason, refusalStatusCode(reason), call.refusal(protocol.LoadReport{}))
}

// limitUnreadBody lets the refusal of a request be sent before its body has been read, and bounds the time for which
// net/http reads on.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	if r.ContentLength > maxUnreadBytes {
		w.Header().Set("Connection", "close")
	}
	conn := http.NewResponseController(w)
	sendBeforeBodyEnds(conn)
	timeout := unreadBodyTimeout
	if r.Context().Err() != nil {
		timeout = 0 // The caller has left, or a stop gives the request up.
	}
	// An error means that the connection is closed.
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
}

// closeUnreadBody sends the response and then closes a body that was not read to its end. net/http reads on for a while,
// as it does after the handler, where it would panic at the end of the body after sendBeforeBodyEnds. If the body does not
// end within that time, the connection closes: net/http would take the rest of the body for the next request.
func closeUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	// An error means that the connection is closed.
	_ = http.NewResponseController(w).Flush()
	if err := r.Body.Close(); err != nil {
		web.EndRequests(r.Context())
	}
}

// confirmNotRun queries the ledger before an irreversible call is reported as not run, because an earlier attempt of
// the caller under the same key may have run.
func (c *ingressCall) confirmNotRun(ctx context.Context, reply *callReply) *callReply {
	if c.metadata.Key == "" || reply.metadata.Outcome != protocol.OutcomeNotRun ||
		reply.metadata.Reason == protocol.ReasonKeyReused {
		return reply
	}
	reply.finish()
	query := ledger.Query{Key: c.metadata.Key, Route: c.metadata.Route, RequestDigest: c.metadata.RequestDigest}
	return c.node.lookUpOutcome(context.WithoutCancel(ctx), query, reply.metadata.Reason)
}

// lookUpOutcome returns what the ledger knows of a refused request: the recorded response, "unknown" if an attempt
// holds the claim or the ledger is not reachable, or "not run" with the given reason. It does not see an attempt that
// waits on another node without a claim; such an attempt ends with its caller's connection or at its deadline.
func (n *Node) lookUpOutcome(ctx context.Context, query ledger.Query, reason protocol.Reason) *callReply {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	result, err := n.executor.ledger.commit(ctx, query.Key, ledger.Command{Query: &query})
	if err != nil {
		return unknownReply(protocol.ReasonLedgerUnavailable)
	}
	switch result.Status {
	case ledger.Absent, ledger.Released:
		return notRunReply(reason)
	case ledger.Done:
		return recordedReply(result.Response)
	case ledger.KeyReused:
		return notRunReply(protocol.ReasonKeyReused)
	case ledger.Expired:
		return unknownReply(protocol.ReasonKeyExpired)
	default:
		return unknownReply(protocol.ReasonInProgress)
	}
}

func outcomeURL(key string) string {
	target := url.URL{Path: PathOutcome, RawQuery: url.Values{"key": {key}}.Encode()}
	return target.String()
}

func refusalStatusCode(reason protocol.Reason) int {
	if status, ok := refusalStatusCodes[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// writeOutcome writes a response without an upstream's body: the outcome, its reason and, if a retry can help, when.
func (n *Node) writeOutcome(
	w http.ResponseWriter, outcome protocol.Outcome, reason protocol.Reason, status int, refusal retry.Refusal,
) {
	header := w.Header()
	if n.options.Dialect.OutcomeHeaders {
		header.Set(protocol.HeaderOutcome, string(outcome))
		header.Set(protocol.HeaderReason, string(reason))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", keyScheme)
	}
	if outcome == protocol.OutcomeNotRun && header.Get(headerRetryAfter) == "" {
		if after, ok := retryAfter(reason, status, refusal); ok {
			header.Set(headerRetryAfter, n.formatRetryAfter(after))
		}
	}
	w.WriteHeader(status)
	text := reasonTexts[reason]
	if text == "" {
		text = string(reason)
	}
	fmt.Fprintf(w, "%s: %s\n", outcome, text)
}

// retryAfter returns when a caller that was refused may return; false if a retry cannot help.
func retryAfter(reason protocol.Reason, status int, refusal retry.Refusal) (time.Duration, bool) {
	if status < http.StatusTooManyRequests {
		return 0, false
	}
	refusal.Cause = retryCauses[reason]
	return retry.After(refusal, rand.Float64()), true
}

// retryCauses maps reasons to the causes that determine Retry-After; all other reasons mean that the upstreams are
// full.
var retryCauses = map[protocol.Reason]retry.Cause{
	protocol.ReasonUpstreamRefused: retry.CauseTransient,
	protocol.ReasonUnreachable:     retry.CauseTransient,
	protocol.ReasonNodeFailed:      retry.CauseTransient,
	protocol.ReasonNoUpstream:      retry.CauseUnavailable,
	protocol.ReasonQuotaUnknown:    retry.CauseUnavailable,
	protocol.ReasonNotReady:        retry.CauseUnavailable,
	protocol.ReasonUnconfirmed:     retry.CauseUnavailable,
	protocol.ReasonDraining:        retry.CauseUnavailable,
}

// refusal describes a refused call for Retry-After. The call may be nil.
func (c *ingressCall) refusal(load protocol.LoadReport) retry.Refusal {
	refusal := retry.Refusal{Load: balanceLoad(load)}
	if c == nil {
		return refusal
	}
	now := time.Now()
	refusal.Patience = c.callerDeadline.Sub(now)
	if c.route.TargetMs > 0 {
		refusal.UntilTarget = c.target().Sub(now)
	}
	return refusal
}

func balanceLoad(load protocol.LoadReport) balance.Load {
	return balance.Load{
		InFlight: load.InFlight, Queued: load.Queued, Slots: load.Slots, LatencyMicros: load.LatencyMicros,
		Speed: load.Speed, Slowdown: load.Slowdown,
	}
}

// formatRetryAfter formats whole seconds, as HTTP requires, or fractions if the dialect allows them.
func (n *Node) formatRetryAfter(after time.Duration) string {
	if n.options.Dialect.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// writeReply writes the reply to the caller.
func (c *ingressCall) writeReply(ctx context.Context, w http.ResponseWriter, reply *callReply) {
	header := w.Header()
	if c.node.options.Dialect.OutcomeHeaders {
		header.Set(protocol.HeaderVersion, strconv.FormatUint(c.snapshot.version, 10))
	}
	switch reply.metadata.Outcome {
	case protocol.OutcomeDone:
		c.writeResponse(ctx, w, reply)
	case protocol.OutcomeNotRun:
		if c.quotaRetryAfter > 0 {
			header.Set(headerRetryAfter, c.node.formatRetryAfter(c.quotaRetryAfter))
		}
		c.node.writeOutcome(w, protocol.OutcomeNotRun, reply.metadata.Reason, refusalStatusCode(reply.metadata.Reason),
			c.refusal(reply.metadata.Load))
	default:
		c.writeUnknown(w, reply)
	}
}

func (c *ingressCall) writeUnknown(w http.ResponseWriter, reply *callReply) {
	if c.metadata.Key != "" {
		w.Header().Set(protocol.HeaderOutcomeURL, outcomeURL(c.metadata.Key))
	}
	c.node.writeOutcome(w, protocol.OutcomeUnknown, reply.metadata.Reason, unknownStatusCode(reply.metadata.Reason),
		retry.Refusal{})
}

func unknownStatusCode(reason protocol.Reason) int {
	switch reason {
	case protocol.ReasonDeadline:
		return http.StatusGatewayTimeout
	case protocol.ReasonLedgerUnavailable:
		return http.StatusServiceUnavailable
	case protocol.ReasonKeyExpired:
		return http.StatusBadRequest
	case protocol.ReasonInProgress:
		return http.StatusConflict
	case protocol.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusBadGateway
	}
}

// writeResponse writes an upstream's response to the caller. It resets the caller's connection if a streamed response
// is truncated, so that the caller does not take it for complete.
func (c *ingressCall) writeResponse(ctx context.Context, w http.ResponseWriter, reply *callReply) {
	// An error means that the connection is closed, which writing reports.
	_ = http.NewResponseController(w).SetWriteDeadline(c.writeDeadline(reply))
	header := w.Header()
	for name, values := range reply.metadata.Header {
		header[name] = values
	}
	added := max(time.Since(c.started)-c.externalTime, 0)
	c.node.metrics.observeAdded(added)
	if c.node.options.Dialect.OutcomeHeaders {
		header.Set(protocol.HeaderOutcome, string(protocol.OutcomeDone))
		if reply.metadata.Reason != protocol.ReasonNone {
			header.Set(protocol.HeaderReason, string(reply.metadata.Reason))
		}
		header.Set(protocol.HeaderAddedTime, strconv.FormatInt(added.Microseconds(), 10))
	}
	if reply.metadata.ContentLength >= 0 && len(reply.trailer) == 0 && bodyAllowed(c.metadata.Method, reply.metadata.Status) {
		header.Set("Content-Length", strconv.FormatInt(reply.metadata.ContentLength, 10))
	}
	if !bodyAllowed(c.metadata.Method, reply.metadata.Status) {
		w.WriteHeader(reply.metadata.Status)
		return
	}
	// Trailers that are set before the header is written keep net/http from adding a Content-Length to a short
	// response, which would exclude trailers.
	setTrailers(header, reply.trailer)
	w.WriteHeader(reply.metadata.Status)
	if _, err := w.Write(reply.body); err != nil {
		abortResponse(ctx)
	}
	c.writeStreamedBody(ctx, w, reply)
	setTrailers(header, reply.trailer)
}

// writeDeadline returns when the response must have been written, so that a caller that does not read it holds nothing
// for longer. A response that streams ends with the call's deadline; one that is complete is delivered also late.
func (c *ingressCall) writeDeadline(reply *callReply) time.Time {
	if reply.stream != nil {
		return c.deadline
	}
	return time.Now().Add(callerWriteTimeout)
}

func setTrailers(header, trailer http.Header) {
	for name, values := range trailer {
		header[http.TrailerPrefix+name] = values
	}
}

func (c *ingressCall) writeStreamedBody(ctx context.Context, w http.ResponseWriter, reply *callReply) {
	controller := http.NewResponseController(w)
	for reply.stream != nil {
		frame, err := reply.stream.Next()
		if err != nil {
			c.node.metrics.truncatedResponses.Inc()
			abortResponse(ctx)
		}
		if _, err := w.Write(frame.Body); err != nil {
			abortResponse(ctx)
		}
		if frame.Last {
			reply.trailer = frame.Trailer
			return
		}
		_ = controller.Flush()
	}
}

// abortResponse ends the handler of a request whose response was written in part. The caller's connection is reset: a
// caller of HTTP/1.0 would take the part for the whole response if the connection ended regularly. ctx is the context of
// the request.
func abortResponse(ctx context.Context) {
	web.ResetConnection(ctx)
	panic(http.ErrAbortHandler)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK &&
		status != http.StatusNoContent && status != http.StatusNotModified
}

// setCallHeaders sets the header fields that an upstream needs to make further calls on behalf of this one.
func (e *executor) setCallHeaders(
	header http.Header, target *upstream, meta *protocol.CallMetadata, remaining time.Duration,
) {
	set := func(name, value string) {
		if name != "" && value != "" {
			header.Set(name, value)
		}
	}
	set(e.dialect.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	set(e.dialect.Depth, strconv.Itoa(meta.Depth+1))
	set(e.dialect.RequestID, meta.RequestID)
	set(e.dialect.Team, meta.Team)
	set(e.dialect.ExpectUpstream, target.announcement.ID)
	if meta.Retry {
		set(e.dialect.Retry, "1")
	}
	if meta.Key != "" {
		header.Set(protocol.HeaderIdempotencyKey, meta.Key)
	}
}

// serveOutcome responds to a caller that asks for the outcome of an earlier irreversible request.
func (n *Node) serveOutcome(w http.ResponseWriter, r *http.Request) {
	reason := protocol.ReasonNotReady // Without a configuration, whether callers need a key is not known.
	if current := n.snapshot.Load(); current != nil {
		reason = n.checkTeam(current.teamOf(r.Header[headerKey]), false, current)
	}
	if reason != protocol.ReasonNone {
		n.writeOutcome(w, protocol.OutcomeUnknown, reason, refusalStatusCode(reason), retry.Refusal{})
		return
	}
	key := r.URL.Query().Get("key")
	if key == "" || len(key) > maxKeyBytes {
		n.writeOutcome(w, protocol.OutcomeNotRun, protocol.ReasonKeyMissing, refusalStatusCode(protocol.ReasonKeyMissing), retry.Refusal{})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), outcomeTimeout)
	defer cancel()
	result, err := n.executor.ledger.commit(ctx, key, ledger.Command{Query: &ledger.Query{Key: key}})
	switch {
	case err != nil:
		n.writeOutcome(w, protocol.OutcomeUnknown, protocol.ReasonLedgerUnavailable, http.StatusServiceUnavailable, retry.Refusal{})
	case result.Status == ledger.Done:
		writeRecordedResponse(w, recordedReply(result.Response))
	case result.Status == ledger.Released:
		n.writeOutcome(w, protocol.OutcomeNotRun, protocol.ReasonNone, http.StatusConflict, retry.Refusal{})
	default:
		// The request of an absent key may still be in transit to its executor.
		n.writeOutcome(w, protocol.OutcomeUnknown, protocol.ReasonInProgress, http.StatusAccepted, retry.Refusal{})
	}
}

// writeRecordedResponse writes a response that the ledger has recorded.
func writeRecordedResponse(w http.ResponseWriter, reply *callReply) {
	for name, values := range reply.metadata.Header {
		w.Header()[name] = values
	}
	w.Header().Set(protocol.HeaderOutcome, string(protocol.OutcomeDone))
	if reply.metadata.Reason != protocol.ReasonNone {
		w.Header().Set(protocol.HeaderReason, string(reply.metadata.Reason))
	}
	w.WriteHeader(reply.metadata.Status)
	_, _ = w.Write(reply.body)
}

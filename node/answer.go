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
)

// PathOutcome is where callers ask again for the outcome of an irreversible request, with the query parameter "key".
const PathOutcome = "/.sapphire/outcome"

// outcomeTimeout bounds a question for an outcome.
const outcomeTimeout = 2 * time.Second

// refusalStatus maps reasons of requests that were not run to HTTP status codes; others get 503.
var refusalStatus = map[protocol.Reason]int{
	protocol.ReasonNoRoute:    http.StatusNotFound,
	protocol.ReasonShed:       http.StatusTooManyRequests,
	protocol.ReasonCallLimit:  http.StatusTooManyRequests,
	protocol.ReasonKeyMissing: http.StatusBadRequest,
	protocol.ReasonKeyExpired: http.StatusBadRequest,
	protocol.ReasonKeyReused:  http.StatusUnprocessableEntity,
	protocol.ReasonTooLarge:   http.StatusRequestEntityTooLarge,
	protocol.ReasonTooDeep:    http.StatusLoopDetected,
}

// advice tells a caller what to do.
var advice = map[protocol.Reason]string{
	protocol.ReasonNoRoute:     "no route of the configuration in force matches this request",
	protocol.ReasonNotReady:    "this node has no configuration yet; try another node",
	protocol.ReasonNoUpstream:  "no upstream of the service takes calls; try again later",
	protocol.ReasonShed:        "the upstreams are full; try again later",
	protocol.ReasonCallLimit:   "the route's call limit is reached; try again later",
	protocol.ReasonDeadline:    "the deadline passed",
	protocol.ReasonQuarantined: "this request crashed upstreams; ask the operators to clear it",
	protocol.ReasonKeyMissing:  "this route needs an Idempotency-Key of 1 to 256 bytes; a UUIDv7 is best",
	protocol.ReasonKeyReused:   "the Idempotency-Key belongs to a different request; use a new key",
	protocol.ReasonKeyExpired:  "the Idempotency-Key is too old to prove that the request was not run; use a new key",
	protocol.ReasonInProgress:  "an earlier request with this key has no recorded answer; ask again at the outcome URL",
	protocol.ReasonLedger:      "the control members cannot be reached; try again later with the same key",
	protocol.ReasonTooLarge:    "the request body is larger than the route allows",
	protocol.ReasonTooDeep:     "the chain of calls is too deep",
}

// refuse answers a request that this node did not let in. A request with an idempotency key may have run at an earlier
// attempt, so the ledger is asked before the caller is told that it was not run.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, reason protocol.Reason) {
	n.metrics.refusals.WithLabelValues(string(reason)).Inc()
	n.requestLog.refused(r, n, reason)
	key := r.Header.Get(protocol.HeaderKey)
	if key == "" || len(key) > maxKeyBytes {
		n.writeVerdict(w, protocol.OutcomeNotRun, reason, refusalCode(reason), protocol.LoadReport{})
		return
	}
	answer := n.confirmNotRun(r.Context(), ledger.Query{Key: key}, reason)
	if answer.head.Outcome == protocol.OutcomeUnknown {
		w.Header().Set(protocol.HeaderOutcomeURL, outcomeURL(key))
	}
	if answer.head.Outcome == protocol.OutcomeDone {
		writeRecorded(w, answer)
		return
	}
	n.writeVerdict(w, answer.head.Outcome, answer.head.Reason, refusalCode(reason), protocol.LoadReport{})
}

// confirm asks the ledger before an irreversible call is reported as not run: an earlier attempt of the caller under
// the same key may have run.
func (c *ingressCall) confirm(ctx context.Context, answer *reply) *reply {
	if c.head.Key == "" || answer.head.Outcome != protocol.OutcomeNotRun ||
		answer.head.Reason == protocol.ReasonKeyReused {
		return answer
	}
	answer.finish()
	query := ledger.Query{Key: c.head.Key, Route: c.head.Route, RequestDigest: c.head.RequestDigest}
	return c.node.confirmNotRun(context.WithoutCancel(ctx), query, answer.head.Reason)
}

// confirmNotRun turns a refusal into what the ledger knows: the recorded answer, "unknown" if an attempt holds the claim
// or the ledger cannot be asked, or "not run". An attempt that still waits elsewhere without a claim is not seen; it
// ends with its caller's connection or its deadline.
func (n *Node) confirmNotRun(ctx context.Context, query ledger.Query, reason protocol.Reason) *reply {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	result, err := n.executor.ledger.do(ctx, query.Key, ledger.Command{Query: &query})
	if err != nil {
		return uncertain(protocol.ReasonLedger)
	}
	switch result.Status {
	case ledger.Absent, ledger.Released:
		return refusal(reason)
	case ledger.Done:
		return answerReply(result.Response)
	case ledger.KeyReused:
		return refusal(protocol.ReasonKeyReused)
	case ledger.Expired:
		return uncertain(protocol.ReasonKeyExpired)
	default:
		return uncertain(protocol.ReasonInProgress)
	}
}

func outcomeURL(key string) string {
	target := url.URL{Path: PathOutcome, RawQuery: url.Values{"key": {key}}.Encode()}
	return target.String()
}

func refusalCode(reason protocol.Reason) int {
	if status, ok := refusalStatus[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

func (n *Node) writeVerdict(
	w http.ResponseWriter, outcome protocol.Outcome, reason protocol.Reason, status int, load protocol.LoadReport,
) {
	header := w.Header()
	if n.options.Dialect.Verdicts {
		header.Set(protocol.HeaderOutcome, string(outcome))
		header.Set(protocol.HeaderReason, string(reason))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if outcome == protocol.OutcomeNotRun && status >= http.StatusTooManyRequests {
		after := retry.After(retryCauses[reason], balanceLoad(load), rand.Float64())
		header.Set("Retry-After", n.formatRetryAfter(after))
	}
	w.WriteHeader(status)
	text := advice[reason]
	if text == "" {
		text = string(reason)
	}
	fmt.Fprintf(w, "%s: %s\n", outcome, text)
}

// retryCauses tells when a refused request can succeed; other reasons mean that the upstreams are full.
var retryCauses = map[protocol.Reason]retry.Cause{
	protocol.ReasonUpstreamRefused: retry.CauseTransient,
	protocol.ReasonUnreachable:     retry.CauseTransient,
	protocol.ReasonNodeFailed:      retry.CauseTransient,
	protocol.ReasonNoUpstream:      retry.CauseUnavailable,
	protocol.ReasonNotReady:        retry.CauseUnavailable,
	protocol.ReasonDraining:        retry.CauseUnavailable,
}

func balanceLoad(load protocol.LoadReport) balance.Load {
	return balance.Load{
		InFlight: load.InFlight, Queued: load.Queued, Slots: load.Slots, LatencyMicros: load.LatencyMicros,
	}
}

// formatRetryAfter writes whole seconds, as the standard wants them, unless the callers understand fractions.
func (n *Node) formatRetryAfter(after time.Duration) string {
	if n.options.Dialect.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// write passes the reply on to the caller.
func (c *ingressCall) write(w http.ResponseWriter, answer *reply) {
	header := w.Header()
	if c.node.options.Dialect.Verdicts {
		header.Set(protocol.HeaderVersion, strconv.FormatUint(c.snapshot.version, 10))
	}
	switch answer.head.Outcome {
	case protocol.OutcomeDone:
		c.writeAnswer(w, answer)
	case protocol.OutcomeNotRun:
		c.node.writeVerdict(w, protocol.OutcomeNotRun, answer.head.Reason, refusalCode(answer.head.Reason), answer.head.Load)
	default:
		c.writeUnknown(w, answer)
	}
}

func (c *ingressCall) writeUnknown(w http.ResponseWriter, answer *reply) {
	if c.head.Key != "" {
		w.Header().Set(protocol.HeaderOutcomeURL, outcomeURL(c.head.Key))
	}
	c.node.writeVerdict(w, protocol.OutcomeUnknown, answer.head.Reason, unknownCode(answer.head.Reason), answer.head.Load)
}

func unknownCode(reason protocol.Reason) int {
	switch reason {
	case protocol.ReasonDeadline:
		return http.StatusGatewayTimeout
	case protocol.ReasonLedger:
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

// writeAnswer passes on a whole answer. The caller's connection is aborted if a streamed answer is cut, so that no
// caller takes a part for the whole.
func (c *ingressCall) writeAnswer(w http.ResponseWriter, answer *reply) {
	header := w.Header()
	for name, values := range answer.head.Header {
		header[name] = values
	}
	added := max(time.Since(c.started)-c.elsewhere, 0)
	c.node.metrics.observeAdded(added)
	if c.node.options.Dialect.Verdicts {
		header.Set(protocol.HeaderOutcome, string(protocol.OutcomeDone))
		if answer.head.Reason != protocol.ReasonNone {
			header.Set(protocol.HeaderReason, string(answer.head.Reason))
		}
		header.Set(protocol.HeaderAdded, strconv.FormatInt(added.Microseconds(), 10))
	}
	if answer.head.ContentLength >= 0 && len(answer.trailer) == 0 && bodyAllowed(c.head.Method, answer.head.Status) {
		header.Set("Content-Length", strconv.FormatInt(answer.head.ContentLength, 10))
	}
	if !bodyAllowed(c.head.Method, answer.head.Status) {
		w.WriteHeader(answer.head.Status)
		return
	}
	// Trailers that are known before the header keep net/http from giving a short answer a Content-Length, with which
	// it could not send them.
	setTrailer(header, answer.trailer)
	w.WriteHeader(answer.head.Status)
	if _, err := w.Write(answer.body); err != nil {
		panic(http.ErrAbortHandler)
	}
	c.writeStream(w, answer)
	setTrailer(header, answer.trailer)
}

func setTrailer(header, trailer http.Header) {
	for name, values := range trailer {
		header[http.TrailerPrefix+name] = values
	}
}

func (c *ingressCall) writeStream(w http.ResponseWriter, answer *reply) {
	controller := http.NewResponseController(w)
	for answer.stream != nil {
		frame, err := answer.stream.Next()
		if err != nil {
			c.node.metrics.cutAnswers.Inc()
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(frame.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		if frame.Last {
			answer.trailer = frame.Trailer
			return
		}
		_ = controller.Flush()
	}
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK &&
		status != http.StatusNoContent && status != http.StatusNotModified
}

// setCallHeaders sets what an upstream needs to make calls of its own under this one.
func (e *executor) setCallHeaders(
	header http.Header, target *upstream, head *protocol.CallMetadata, remaining time.Duration,
) {
	set := func(name, value string) {
		if name != "" && value != "" {
			header.Set(name, value)
		}
	}
	set(e.dialect.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	set(e.dialect.Depth, strconv.Itoa(head.Depth+1))
	set(e.dialect.RequestID, head.RequestID)
	set(e.dialect.ExpectUpstream, target.announcement.ID)
	if head.Retry {
		set(e.dialect.Retry, "1")
	}
	if head.Key != "" {
		header.Set(protocol.HeaderKey, head.Key)
	}
}

// serveOutcome answers a caller that asks again for the outcome of an irreversible request.
func (n *Node) serveOutcome(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	if key == "" || len(key) > maxKeyBytes {
		n.writeVerdict(w, protocol.OutcomeNotRun, protocol.ReasonKeyMissing, refusalCode(protocol.ReasonKeyMissing), protocol.LoadReport{})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), outcomeTimeout)
	defer cancel()
	result, err := n.executor.ledger.do(ctx, key, ledger.Command{Query: &ledger.Query{Key: key}})
	switch {
	case err != nil:
		n.writeVerdict(w, protocol.OutcomeUnknown, protocol.ReasonLedger, http.StatusServiceUnavailable, protocol.LoadReport{})
	case result.Status == ledger.Done:
		writeRecorded(w, answerReply(result.Response))
	case result.Status == ledger.Released:
		n.writeVerdict(w, protocol.OutcomeNotRun, protocol.ReasonNone, http.StatusConflict, protocol.LoadReport{})
	default:
		// An absent key may belong to a request that is still on its way to its executor.
		n.writeVerdict(w, protocol.OutcomeUnknown, protocol.ReasonInProgress, http.StatusAccepted, protocol.LoadReport{})
	}
}

// writeRecorded passes on an answer from the ledger.
func writeRecorded(w http.ResponseWriter, recorded *reply) {
	for name, values := range recorded.head.Header {
		w.Header()[name] = values
	}
	w.Header().Set(protocol.HeaderOutcome, string(protocol.OutcomeDone))
	if recorded.head.Reason != protocol.ReasonNone {
		w.Header().Set(protocol.HeaderReason, string(recorded.head.Reason))
	}
	w.WriteHeader(recorded.head.Status)
	_, _ = w.Write(recorded.body)
}

package node

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/forward"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/routing"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/web"
)

const (
	// maxBufferedBytes is the largest body of a repeatable request that is kept in memory for a retry; longer bodies
	// are streamed and sent once.
	maxBufferedBytes = protocol.ChunkBytes
	// maxKeyBytes bounds an idempotency key, which the ledger stores for days.
	maxKeyBytes = 256
	// maxAttemptsInFlight counts the first attempt and one hedge.
	maxAttemptsInFlight = 2
)

// ingressCall is one caller's request while this node forwards it.
type ingressCall struct {
	node     *Node
	started  time.Time
	snapshot *snapshot
	route    *routing.Route
	policy   *routePolicy
	// team is the caller's team; nil if it has none.
	team     *bundle.Team
	metadata protocol.CallMetadata
	body     requestBody
	// limitedBody reads the part of the body that is streamed; nil if the whole body is buffered.
	limitedBody *maxBytesReader
	// releaseBody gives back the memory that is reserved for the body; nil if none is.
	releaseBody func()
	deadline    time.Time
	// callerDeadline is when the caller stops waiting, which may be after deadline.
	callerDeadline time.Time
	// elapsed is the time between the caller's first attempt and this one.
	elapsed time.Duration
	// exclusive is set if the quarantine requires that the call runs with no other call in flight on its upstream.
	exclusive bool
	// tried lists the IDs of the instances to which the call was sent, in order.
	tried []string
	// runs counts the attempts that an upstream may have run.
	runs atomic.Int32
	// quotaRetryAfter is when the caller may return if its team has used up its quota.
	quotaRetryAfter time.Duration
	// externalTime is the part of the last attempt that was not spent in sapphiregate's processes: the upstream's
	// time and the delay of the links between zones.
	externalTime time.Duration
}

// ServeHTTP serves callers' requests: it forwards each to an upstream and writes the outcome to the caller.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if n.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	if reason := n.requests.admit(); reason != protocol.ReasonNone {
		n.refuse(w, r, reason, nil)
		return
	}
	defer n.requests.done()
	if r.URL.Path == PathOutcome {
		n.serveOutcome(w, r)
		return
	}
	call, reason := n.prepare(started, w, r)
	if call != nil && call.releaseBody != nil {
		defer call.releaseBody()
	}
	if reason != protocol.ReasonNone {
		n.refuse(w, r, reason, call)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.deadline)
	defer cancel()
	reply := call.confirmNotRun(ctx, call.forwardWithinQuota(ctx))
	defer reply.finish()
	n.metrics.observeRequest(call.route.Class, reply.metadata.Outcome, time.Since(started))
	n.requestLog.requestEnded(call, reply)
	call.writeReply(r.Context(), w, reply)
	if call.limitedBody != nil {
		if !call.limitedBody.ended.Load() {
			limitUnreadBody(w, r) // The upstream responded before it had read the body.
		}
		closeUnreadBody(w, r)
	}
}

// prepare matches the request to a route, applies the route's call limit, reads the request's header and body, and
// checks the quarantine. On refusal it returns the reason, and the call if a later attempt may succeed.
func (n *Node) prepare(started time.Time, w http.ResponseWriter, r *http.Request) (*ingressCall, protocol.Reason) {
	call, reason := n.match(started, r)
	if reason != protocol.ReasonNone {
		return nil, reason
	}
	call.team = call.snapshot.teamOf(r.Header[headerKey])
	if reason := call.check(r, call.policy.takeCall, call.policy.split.Next); reason != protocol.ReasonNone {
		return nil, reason
	}
	if reason := call.readBody(w, r); reason != protocol.ReasonNone {
		return call, reason
	}
	return call, call.checkQuarantine()
}

// match finds the route of a request in the configuration in force.
func (n *Node) match(started time.Time, r *http.Request) (*ingressCall, protocol.Reason) {
	current := n.snapshot.Load()
	if current == nil {
		return nil, protocol.ReasonNotReady
	}
	call := &ingressCall{node: n, started: started, snapshot: current}
	path, _, _ := strings.Cut(requestURI(r), "?")
	var err error
	call.route, err = current.routes.Match(routing.Request{
		Host: r.Host, Path: path, Method: r.Method, Header: r.Header.Get,
	})
	if err != nil {
		return call, protocol.ReasonNoRoute
	}
	call.policy = current.policies[call.route.Name]
	return call, protocol.ReasonNone
}

// check decides about a call by its team, its route's call limit, its header and a stop of this node. withinLimit and
// nextService differ for a call that is only explained, which counts nowhere.
func (c *ingressCall) check(
	r *http.Request, withinLimit func(time.Time) bool, nextService func() string,
) protocol.Reason {
	if reason := c.node.checkTeam(c.team, c.route.Public, c.snapshot); reason != protocol.ReasonNone {
		return reason
	}
	if !withinLimit(c.started) {
		return protocol.ReasonCallLimit
	}
	if reason := c.buildMetadata(r, nextService); reason != protocol.ReasonNone {
		return reason
	}
	if c.endsTooLate() {
		return protocol.ReasonDraining
	}
	return protocol.ReasonNone
}

// buildMetadata sets the call's deadline and the metadata that is sent to the executor.
func (c *ingressCall) buildMetadata(r *http.Request, nextService func() string) protocol.Reason {
	dialect := &c.node.options.Dialect
	depth, _ := strconv.Atoi(r.Header.Get(dialect.Depth))
	if depth < 0 || depth >= protocol.MaxDepth {
		return protocol.ReasonTooDeep
	}
	remaining := time.Duration(c.route.DeadlineMs) * time.Millisecond
	c.callerDeadline = c.started.Add(remaining)
	if text := r.Header.Get(dialect.Deadline); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || milliseconds <= 0 {
			return protocol.ReasonDeadline
		}
		// No route allows more; the nanoseconds of a longer time may overflow.
		given := time.Duration(min(milliseconds, bundle.MaxDeadlineMs)) * time.Millisecond
		c.elapsed = c.policy.returns.Elapsed(c.started, given)
		c.callerDeadline = c.started.Add(given)
		remaining = min(remaining, given)
	}
	c.deadline = c.started.Add(remaining)
	header := web.CopyHeader(r.Header)
	c.removeInternalFields(header)
	for name, value := range c.policy.headers {
		header[http.CanonicalHeaderKey(name)] = []string{value}
	}
	header.Del(dialect.Team) // Only a key names a team.
	if dialect.CallerService != "" {
		header[http.CanonicalHeaderKey(dialect.CallerService)] = []string{c.node.executor.localService()}
	}
	c.metadata = protocol.CallMetadata{
		Service: nextService(), Route: c.route.Name, Class: c.route.Class, Method: r.Method, URI: requestURI(r),
		Host: r.Host, Header: protocol.HeaderFields(header), Depth: depth,
		Retry:         dialect.Retry != "" && r.Header.Get(dialect.Retry) != "",
		ContentLength: r.ContentLength, Version: c.snapshot.version, Priority: c.route.Priority,
		RequestID: r.Header.Get(dialect.RequestID),
	}
	if c.team != nil {
		c.metadata.Team = c.team.Name
		c.metadata.Priority = cmp.Or(c.team.Priority, c.route.Priority)
	}
	if c.route.Class != bundle.ClassIrreversible || c.route.Keyless {
		return protocol.ReasonNone
	}
	c.metadata.Key = r.Header.Get(protocol.HeaderIdempotencyKey)
	if c.metadata.Key == "" || len(c.metadata.Key) > maxKeyBytes {
		return protocol.ReasonKeyMissing
	}
	return protocol.ReasonNone
}

// requestURI returns the path and query exactly as the caller sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readBody buffers the body up to bodyBufferLimit and leaves the rest to be streamed. Reading ends at the call's deadline,
// also for a caller that stops in the middle of the body.
func (c *ingressCall) readBody(w http.ResponseWriter, r *http.Request) protocol.Reason {
	limit := cmp.Or(c.route.MaxBodyBytes, c.snapshot.maxBodyBytes, c.node.options.Limits.MaxBodyBytes)
	if r.ContentLength > limit {
		return protocol.ReasonTooLarge
	}
	if r.Body == nil || r.Body == http.NoBody {
		return protocol.ReasonNone
	}
	bufferLimit := c.bodyBufferLimit(r.ContentLength, limit)
	conn := http.NewResponseController(w)
	// These and the other errors of setting a deadline mean that the connection is closed, which reading reports.
	_ = conn.SetReadDeadline(c.deadline)
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(min(r.ContentLength, bufferLimit)) + bytes.MinRead)
	}
	if _, err := buffer.ReadFrom(io.LimitReader(r.Body, bufferLimit+1)); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return protocol.ReasonDeadline
		}
		return protocol.ReasonCallerGone
	}
	c.body.prefix = buffer.Bytes()
	c.removeInternalFields(r.Trailer)
	c.body.trailer = r.Trailer
	c.metadata.TrailerNames = slices.Sorted(maps.Keys(r.Trailer))
	if int64(buffer.Len()) <= bufferLimit {
		_ = conn.SetReadDeadline(time.Time{})
		return protocol.ReasonNone
	}
	if bufferLimit == limit {
		return protocol.ReasonTooLarge
	}
	c.limitedBody = &maxBytesReader{
		reader: r.Body, remaining: limit - int64(buffer.Len()), conn: conn,
		atEnd: func() { c.removeInternalFields(r.Trailer) },
	}
	sendBeforeBodyEnds(conn)
	c.body.rest = c.limitedBody
	return protocol.ReasonNone
}

// sendBeforeBodyEnds keeps net/http from reading the rest of the request's body before it sends the response. It would
// wait for a caller that sends no more, and take the bytes of a body that is still being forwarded.
func sendBeforeBodyEnds(conn *http.ResponseController) {
	// Only HTTP/2 has no support, and needs none.
	_ = conn.EnableFullDuplex()
}

// maxBytesReader reads a body of unknown length and returns protocol.ErrTooLarge beyond the route's limit.
type maxBytesReader struct {
	reader    io.Reader
	remaining int64
	// conn is the caller's connection, whose read deadline is removed at the end of the body.
	conn *http.ResponseController
	// atEnd is called at the end of the body, when the trailer is complete.
	atEnd func()
	// exceeded is set when the limit is passed. The attempt reads it on another goroutine to report the reason.
	exceeded atomic.Bool
	// ended is set at the end of the body.
	ended atomic.Bool
}

// Read implements io.Reader.
func (r *maxBytesReader) Read(data []byte) (int, error) {
	n, err := r.reader.Read(data)
	r.remaining -= int64(n)
	if r.remaining < 0 {
		r.exceeded.Store(true)
		return 0, errors.Wrap(protocol.ErrTooLarge, "request body")
	}
	if errors.Is(err, io.EOF) {
		r.atEnd()
		r.ended.Store(true)
		_ = r.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// checkQuarantine computes the request's digest and fingerprint and looks the fingerprint up in the quarantine.
func (c *ingressCall) checkQuarantine() protocol.Reason {
	prefix := c.body.prefix
	if c.route.Class == bundle.ClassUpload {
		// How much more of an upload is held depends on the memory that is left.
		prefix = prefix[:min(len(prefix), maxBufferedBytes)]
	}
	body := sha256.Sum256(prefix)
	if c.metadata.Key != "" {
		c.metadata.RequestDigest = requestDigest(&c.metadata, body)
	}
	fingerprint := quarantine.FingerprintOf(c.route.Name, c.metadata.Method, c.metadata.URI, c.metadata.Key, body)
	c.metadata.Fingerprint = fingerprint
	switch c.node.quarantine.Verdict(c.started, fingerprint) {
	case quarantine.Refused:
		return protocol.ReasonQuarantined
	case quarantine.Exclusive:
		c.exclusive = true
	}
	return protocol.ReasonNone
}

// requestDigest hashes the fields by which two requests under one idempotency key count as the same request.
func requestDigest(meta *protocol.CallMetadata, body [32]byte) [32]byte {
	hash := sha256.New()
	fields := []string{meta.Service, meta.Method, meta.URI}
	if meta.Team != "" {
		fields = append(fields, meta.Team)
	}
	for _, field := range fields {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		io.WriteString(hash, field)
	}
	hash.Write(body[:])
	return [32]byte(hash.Sum(nil))
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	index int
	reply *callReply
	// target is the upstream to which the call was sent last.
	target balance.Target
	// externalTime is the part of the attempt that was not spent in sapphiregate's processes.
	externalTime time.Duration
}

// forward sends the call to upstreams until one responds or no further attempt is allowed.
func (c *ingressCall) forward(ctx context.Context) *callReply {
	if !c.metadata.Retry {
		c.policy.budget.CountCall(c.started)
	}
	plan := forward.New(forward.Config{
		Class: c.route.Class, Budget: c.policy.budget, Deadline: c.node.callDeadline(c.deadline), WithinRetry: c.metadata.Retry,
		Resendable: c.body.buffered(), Exclusive: c.exclusive,
	})
	return newForwarder(c, plan).run(ctx)
}

// attempt sends the call to one upstream and returns once its response has begun. It reports the result to the
// balancer.
func (c *ingressCall) attempt(
	ctx context.Context, target balance.Target, isRetry, returnIfBusy bool, events callEvents,
) attemptResult {
	now := time.Now()
	meta := c.metadata
	// The response needs time for the way back: one that ends later reaches the caller after its deadline.
	meta.Remaining = c.node.callDeadline(c.deadline).Sub(now) - c.node.zoneDelay(target.Zone)
	meta.TargetRemaining = c.timeUntilTarget()
	meta.Incarnation = target.Incarnation
	meta.Exclusive = c.exclusive
	meta.ReturnIfBusy = returnIfBusy
	meta.Retry = c.metadata.Retry || isRetry
	reply := c.node.send(ctx, target, &meta, &c.body, events)
	c.chargeRepeatedRun(reply)
	if c.limitedBody != nil && c.limitedBody.exceeded.Load() && reply.metadata.Outcome != protocol.OutcomeDone {
		reply.metadata.Reason = protocol.ReasonTooLarge
	}
	externalTime := reply.metadata.UpstreamTime
	if target.ID != c.node.id {
		externalTime += 2 * c.node.zoneDelay(target.Zone)
	}
	c.node.observeDelay(target, reply, time.Since(now))
	c.node.balancer.Done(time.Now(), target, c.balancerReport(ctx, reply, time.Since(now)))
	return attemptResult{reply: reply, externalTime: externalTime}
}

// observeDelay updates the estimated delay to the target's zone by a reply. A reply that was given without its executor
// shows nothing.
func (n *Node) observeDelay(target balance.Target, reply *callReply, elapsed time.Duration) {
	if target.Zone == n.options.Zone || reply.metadata.Load.Slots == 0 {
		return
	}
	if n.delays.Observe(time.Now(), target.Zone, elapsed, reply.metadata.UpstreamTime) {
		n.control.Post(func(time.Time) { n.refreshAll = true })
	}
}

// timeUntilTarget returns the time left until the route's latency target, which counts from the caller's first attempt. It
// is at least 1 ms, and 0 if the route sets none.
func (c *ingressCall) timeUntilTarget() time.Duration {
	if c.route.TargetMs == 0 {
		return 0
	}
	return max(time.Until(c.target()), time.Millisecond)
}

func (c *ingressCall) target() time.Time {
	return c.started.Add(time.Duration(c.route.TargetMs)*time.Millisecond - c.elapsed)
}

// balancerReport describes the result of an attempt to the balancer.
func (c *ingressCall) balancerReport(ctx context.Context, reply *callReply, elapsed time.Duration) balance.Report {
	report := balance.Report{
		Outcome: balance.Completed, Latency: elapsed, Route: c.route.Name, ServiceTime: reply.metadata.UpstreamTime,
		ResponseBytes: max(0, reply.metadata.ContentLength),
	}
	if load := reply.metadata.Load; load.Slots > 0 {
		reported := balanceLoad(load)
		report.Load = &reported
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled), reply.metadata.Reason == protocol.ReasonTooLarge:
		// The call ended because of its caller, which says nothing about the upstream.
		report.Outcome = balance.Canceled
	case reply.metadata.Reason == protocol.ReasonNodeFailed, reply.metadata.Reason == protocol.ReasonUnreachable:
		report.Outcome = balance.ConnectFailed
	case reply.metadata.Reason == protocol.ReasonUpstreamRefused, reply.failedByUpstream():
		report.Outcome = balance.ErrorResponse
	case reply.metadata.Outcome == protocol.OutcomeNotRun:
		report.Outcome = balance.Refused
	case reply.metadata.Outcome == protocol.OutcomeUnknown:
		report.Outcome = balance.Failed
	}
	return report
}

// callEvents are called while a call waits for its response.
type callEvents struct {
	// acknowledged is called once an executor has received the call.
	acknowledged func()
	// silent is called if the instance to which the call was sent does not respond. It must not block.
	silent func()
}

// send runs a call on the upstream beside this node, or sends it to the node beside another upstream.
func (n *Node) send(
	ctx context.Context, target balance.Target, meta *protocol.CallMetadata, body *requestBody, events callEvents,
) *callReply {
	if target.ID == n.id {
		events.acknowledged()
		return n.executor.run(ctx, meta, body)
	}
	return n.callRemote(ctx, target, meta, body, events)
}

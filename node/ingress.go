package node

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net/http"
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
	// bufferedBytes is the largest body of a repeatable request that is held for a retry; longer ones are streamed.
	maxBufferedBytes = 64 << 10
	// maxKeyBytes bounds the idempotency key, which the ledger keeps for days.
	maxKeyBytes = 256
	// maxAttemptsInFlight is the first attempt and one hedge.
	maxAttemptsInFlight = 2
)

// ingressCall is one caller's request on its way through this node.
type ingressCall struct {
	node     *Node
	started  time.Time
	snapshot *snapshot
	route    *routing.Route
	policy   *routePolicy
	metadata protocol.CallMetadata
	body     requestBody
	// bounded reads the streamed rest of the body; nil for a body that is buffered whole.
	limitedBody *maxBytesReader
	deadline    time.Time
	exclusive   bool
	// tried lists the instances that the call was sent to, in order.
	tried []string
	// elsewhere is the time of the last attempt outside our processes: the upstream's time and the zone links' delay.
	externalTime time.Duration
}

// ServeHTTP takes callers' requests.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if n.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	if reason := n.requests.admit(); reason != protocol.ReasonNone {
		n.refuse(w, r, reason)
		return
	}
	defer n.requests.done()
	if r.URL.Path == PathOutcome {
		n.serveOutcome(w, r)
		return
	}
	call, reason := n.prepare(started, r)
	if reason != protocol.ReasonNone {
		n.refuse(w, r, reason)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.deadline)
	defer cancel()
	reply := call.confirmNotRun(ctx, call.forward(ctx))
	defer reply.finish()
	n.metrics.observeRequest(call.route.Class, reply.metadata.Outcome, time.Since(started))
	n.requestLog.requestEnded(call, reply)
	call.writeReply(w, reply)
}

// prepare matches the request and reads what a retry needs.
func (n *Node) prepare(started time.Time, r *http.Request) (*ingressCall, protocol.Reason) {
	current := n.snapshot.Load()
	if current == nil {
		return nil, protocol.ReasonNotReady
	}
	route, err := current.routes.Match(routing.Request{
		Host: r.Host, Path: r.URL.Path, Method: r.Method, Header: r.Header.Get,
	})
	if err != nil {
		return nil, protocol.ReasonNoRoute
	}
	call := &ingressCall{
		node: n, started: started, snapshot: current, route: route, policy: current.policies[route.Name],
	}
	if call.policy.limiter != nil && !call.policy.limiter.AllowN(started, 1) {
		return nil, protocol.ReasonCallLimit
	}
	if reason := call.buildMetadata(r); reason != protocol.ReasonNone {
		return nil, reason
	}
	if reason := call.readBody(r); reason != protocol.ReasonNone {
		return nil, reason
	}
	return call, call.checkQuarantine()
}

func (c *ingressCall) buildMetadata(r *http.Request) protocol.Reason {
	dialect := &c.node.options.Dialect
	depth, _ := strconv.Atoi(r.Header.Get(dialect.Depth))
	if depth < 0 || depth >= protocol.MaxDepth {
		return protocol.ReasonTooDeep
	}
	remaining := time.Duration(c.route.DeadlineMs) * time.Millisecond
	if text := r.Header.Get(dialect.Deadline); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || milliseconds <= 0 {
			return protocol.ReasonDeadline
		}
		remaining = min(remaining, time.Duration(milliseconds)*time.Millisecond)
	}
	c.deadline = c.started.Add(remaining)
	header := web.CopyHeader(r.Header)
	for name, value := range c.policy.headers {
		header[http.CanonicalHeaderKey(name)] = []string{value}
	}
	for _, name := range []string{
		dialect.Deadline, dialect.Depth, dialect.Retry, dialect.RequestID, dialect.ExpectUpstream,
	} {
		header.Del(name) // The executor sets these from the head.
	}
	if dialect.CallerService != "" {
		header[http.CanonicalHeaderKey(dialect.CallerService)] = []string{c.node.executor.localService()}
	}
	c.metadata = protocol.CallMetadata{
		Service: c.policy.split.Next(), Route: c.route.Name, Class: c.route.Class, Method: r.Method, URI: requestURI(r),
		Host: r.Host, Header: protocol.Fields(header), Depth: depth, Retry: dialect.Retry != "" && r.Header.Get(dialect.Retry) != "",
		ContentLength: r.ContentLength, Version: c.snapshot.version, Priority: c.route.Priority,
		RequestID: r.Header.Get(dialect.RequestID),
	}
	if c.route.Class != bundle.ClassIrreversible || c.route.Keyless {
		return protocol.ReasonNone
	}
	c.metadata.Key = r.Header.Get(protocol.HeaderKey)
	if c.metadata.Key == "" || len(c.metadata.Key) > maxKeyBytes {
		return protocol.ReasonKeyMissing
	}
	return protocol.ReasonNone
}

// requestURI returns the path and query as the caller wrote them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readBody buffers a short body, or all of it for an irreversible call, whose claim covers the body's digest.
func (c *ingressCall) readBody(r *http.Request) protocol.Reason {
	limit := cmp.Or(c.route.MaxBodyBytes, c.snapshot.maxBodyBytes, c.node.options.Limits.MaxBodyBytes)
	if r.ContentLength > limit {
		return protocol.ReasonTooLarge
	}
	if r.Body == nil || r.Body == http.NoBody {
		return protocol.ReasonNone
	}
	bufferLimit := min(limit, maxBufferedBytes)
	if c.route.Class == bundle.ClassIrreversible && !c.route.Keyless {
		bufferLimit = limit
	}
	var buffer bytes.Buffer
	if _, err := buffer.ReadFrom(io.LimitReader(r.Body, bufferLimit+1)); err != nil {
		return protocol.ReasonCallerGone
	}
	c.body.prefix = buffer.Bytes()
	c.body.trailer = r.Trailer
	if int64(buffer.Len()) <= bufferLimit {
		return protocol.ReasonNone
	}
	if bufferLimit == limit {
		return protocol.ReasonTooLarge
	}
	c.limitedBody = &maxBytesReader{reader: r.Body, remaining: limit - int64(buffer.Len())}
	c.body.rest = c.limitedBody
	for name := range r.Trailer {
		c.metadata.TrailerNames = append(c.metadata.TrailerNames, name)
	}
	slices.Sort(c.metadata.TrailerNames)
	return protocol.ReasonNone
}

// boundedReader fails once a body of unknown length turns out to be longer than the route allows.
type maxBytesReader struct {
	reader    io.Reader
	remaining int64
	// exceeded tells the attempt, which runs on another goroutine, why the body broke off.
	exceeded atomic.Bool
}

// Read implements io.Reader.
func (b *maxBytesReader) Read(data []byte) (int, error) {
	n, err := b.reader.Read(data)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		b.exceeded.Store(true)
		return 0, errors.Wrap(protocol.ErrTooLarge, "request body")
	}
	return n, err
}

// identify computes the request's digest and fingerprint and looks it up in the quarantine.
func (c *ingressCall) checkQuarantine() protocol.Reason {
	body := sha256.Sum256(c.body.prefix)
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

// requestDigest covers what makes two requests under one key the same request.
func requestDigest(meta *protocol.CallMetadata, body [32]byte) [32]byte {
	hash := sha256.New()
	for _, field := range []string{meta.Service, meta.Method, meta.URI} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		io.WriteString(hash, field)
	}
	hash.Write(body[:])
	return [32]byte(hash.Sum(nil))
}

// attemptResult is the end of one attempt.
type attemptResult struct {
	index int
	reply *callReply
	// elsewhere is the time that the attempt spent outside our processes.
	externalTime time.Duration
}

// forward tries upstreams until one answers or another attempt is not allowed.
func (c *ingressCall) forward(ctx context.Context) *callReply {
	if !c.metadata.Retry {
		c.policy.budget.Call(c.started)
	}
	plan := forward.New(forward.Config{
		Class: c.route.Class, Budget: c.policy.budget, Deadline: c.deadline, UnderRetry: c.metadata.Retry,
		Resendable: c.body.buffered(), Alone: c.exclusive,
	})
	run := &forwarder{call: c, plan: plan, results: make(chan attemptResult, maxAttemptsInFlight)}
	run.random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	return run.run(ctx)
}

// attempt sends the call to one upstream and returns once its answer has begun.
func (c *ingressCall) attempt(
	ctx context.Context, target balance.Target, isRetry bool, onAcknowledged func(),
) attemptResult {
	now := time.Now()
	head := c.metadata
	// The answer needs the way back: one that ends later is of no use.
	head.Remaining = c.deadline.Sub(now) - c.node.options.zoneDelay(target.Zone)
	head.TargetRemaining = c.timeUntilTarget()
	head.Incarnation = target.Incarnation
	head.Exclusive = c.exclusive
	head.Retry = c.metadata.Retry || isRetry
	reply := c.node.send(ctx, target, &head, &c.body, onAcknowledged)
	if c.limitedBody != nil && c.limitedBody.exceeded.Load() && reply.metadata.Outcome != protocol.OutcomeDone {
		reply.metadata.Reason = protocol.ReasonTooLarge
	}
	externalTime := reply.metadata.Upstream
	if target.ID != c.node.id {
		externalTime += 2 * c.node.options.zoneDelay(target.Zone)
	}
	c.node.balancer.Done(time.Now(), target, c.balancerReport(ctx, reply, time.Since(now)))
	return attemptResult{reply: reply, externalTime: externalTime}
}

// patience returns how much longer an answer has its full value; 0 if the route sets no target.
func (c *ingressCall) timeUntilTarget() time.Duration {
	if c.route.TargetMs == 0 {
		return 0
	}
	target := time.Duration(c.route.TargetMs) * time.Millisecond
	return max(target-time.Since(c.started), time.Millisecond)
}

func (c *ingressCall) balancerReport(ctx context.Context, reply *callReply, elapsed time.Duration) balance.Report {
	report := balance.Report{
		Outcome: balance.Completed, Latency: elapsed, Route: c.route.Name, ServiceTime: reply.metadata.Upstream,
	}
	if load := reply.metadata.Load; load.Slots > 0 {
		reported := balanceLoad(load)
		report.Load = &reported
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled), reply.metadata.Reason == protocol.ReasonTooLarge:
		// The caller ended the call; this says nothing about the upstream.
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

// send runs a call on the upstream beside this node, or through the node beside another one.
func (n *Node) send(
	ctx context.Context, target balance.Target, meta *protocol.CallMetadata, body *requestBody, onAcknowledged func(),
) *callReply {
	if target.ID == n.id {
		onAcknowledged()
		return n.executor.run(ctx, meta, body)
	}
	return n.callRemote(ctx, target, meta, body, onAcknowledged)
}

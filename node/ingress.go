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
	bufferedBytes = 64 << 10
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
	head     protocol.CallMetadata
	body     requestBody
	// bounded reads the streamed rest of the body; nil for a body that is buffered whole.
	bounded  *boundedReader
	deadline time.Time
	alone    bool
	// tried lists the instances that the call was sent to, in order.
	tried []string
	// elsewhere is the time of the last attempt outside our processes: the upstream's time and the zone links' delay.
	elsewhere time.Duration
}

// ServeHTTP takes callers' requests.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if reason := n.gate.enter(); reason != protocol.ReasonNone {
		n.refuse(w, r, reason)
		return
	}
	defer n.gate.leave()
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
	answer := call.confirm(ctx, call.forward(ctx))
	defer answer.finish()
	n.metrics.ended(call.route.Class, answer.head.Outcome, time.Since(started))
	n.requestLog.ended(call, answer)
	call.write(w, answer)
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
	if reason := call.readHead(r); reason != protocol.ReasonNone {
		return nil, reason
	}
	if reason := call.readBody(r); reason != protocol.ReasonNone {
		return nil, reason
	}
	return call, call.identify()
}

func (c *ingressCall) readHead(r *http.Request) protocol.Reason {
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
	c.head = protocol.CallMetadata{
		Service: c.policy.split.Next(), Route: c.route.Name, Class: c.route.Class, Method: r.Method, URI: requestURI(r),
		Host: r.Host, Header: protocol.Fields(header), Depth: depth, Retry: dialect.Retry != "" && r.Header.Get(dialect.Retry) != "",
		ContentLength: r.ContentLength, Version: c.snapshot.version, Priority: c.route.Priority,
		RequestID: r.Header.Get(dialect.RequestID),
	}
	if c.route.Class != bundle.ClassIrreversible || c.route.Keyless {
		return protocol.ReasonNone
	}
	c.head.Key = r.Header.Get(protocol.HeaderKey)
	if c.head.Key == "" || len(c.head.Key) > maxKeyBytes {
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
	held := min(limit, bufferedBytes)
	if c.route.Class == bundle.ClassIrreversible && !c.route.Keyless {
		held = limit
	}
	var buffer bytes.Buffer
	if _, err := buffer.ReadFrom(io.LimitReader(r.Body, held+1)); err != nil {
		return protocol.ReasonCallerGone
	}
	c.body.start = buffer.Bytes()
	c.body.trailer = r.Trailer
	if int64(buffer.Len()) <= held {
		return protocol.ReasonNone
	}
	if held == limit {
		return protocol.ReasonTooLarge
	}
	c.bounded = &boundedReader{reader: r.Body, left: limit - int64(buffer.Len())}
	c.body.rest = c.bounded
	for name := range r.Trailer {
		c.head.TrailerNames = append(c.head.TrailerNames, name)
	}
	slices.Sort(c.head.TrailerNames)
	return protocol.ReasonNone
}

// boundedReader fails once a body of unknown length turns out to be longer than the route allows.
type boundedReader struct {
	reader io.Reader
	left   int64
	// exceeded tells the attempt, which runs on another goroutine, why the body broke off.
	exceeded atomic.Bool
}

// Read implements io.Reader.
func (b *boundedReader) Read(data []byte) (int, error) {
	n, err := b.reader.Read(data)
	b.left -= int64(n)
	if b.left < 0 {
		b.exceeded.Store(true)
		return 0, errors.Wrap(protocol.ErrTooLarge, "request body")
	}
	return n, err
}

// identify computes the request's digest and fingerprint and looks it up in the quarantine.
func (c *ingressCall) identify() protocol.Reason {
	body := sha256.Sum256(c.body.start)
	if c.head.Key != "" {
		c.head.RequestDigest = requestDigest(&c.head, body)
	}
	fingerprint := quarantine.FingerprintOf(c.route.Name, c.head.Method, c.head.URI, c.head.Key, body)
	c.head.Fingerprint = fingerprint
	switch c.node.quarantine.Verdict(c.started, fingerprint) {
	case quarantine.Refused:
		return protocol.ReasonQuarantined
	case quarantine.Exclusive:
		c.alone = true
	}
	return protocol.ReasonNone
}

// requestDigest covers what makes two requests under one key the same request.
func requestDigest(head *protocol.CallMetadata, body [32]byte) [32]byte {
	hash := sha256.New()
	for _, field := range []string{head.Service, head.Method, head.URI} {
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
	number int
	answer *reply
	// elsewhere is the time that the attempt spent outside our processes.
	elsewhere time.Duration
}

// forward tries upstreams until one answers or another attempt is not allowed.
func (c *ingressCall) forward(ctx context.Context) *reply {
	if !c.head.Retry {
		c.policy.budget.CountCall(c.started)
	}
	plan := forward.New(forward.Config{
		Class: c.route.Class, Budget: c.policy.budget, Deadline: c.deadline, UnderRetry: c.head.Retry,
		Resendable: c.body.whole(), Alone: c.alone,
	})
	run := &forwarding{call: c, plan: plan, results: make(chan attemptResult, maxAttemptsInFlight)}
	run.source = rand.NewPCG(rand.Uint64(), rand.Uint64())
	return run.run(ctx)
}

// attempt sends the call to one upstream and returns once its answer has begun.
func (c *ingressCall) attempt(
	ctx context.Context, target balance.Target, retried bool, reached func(),
) attemptResult {
	now := time.Now()
	head := c.head
	// The answer needs the way back: one that ends later is of no use.
	head.Remaining = c.deadline.Sub(now) - c.node.options.zoneDelay(target.Zone)
	head.TargetRemaining = c.patience()
	head.Incarnation = target.Incarnation
	head.Exclusive = c.alone
	head.Retry = c.head.Retry || retried
	answer := c.node.send(ctx, target, &head, &c.body, reached)
	if c.bounded != nil && c.bounded.exceeded.Load() && answer.head.Outcome != protocol.OutcomeDone {
		answer.head.Reason = protocol.ReasonTooLarge
	}
	elsewhere := answer.head.Upstream
	if target.ID != c.node.id {
		elsewhere += 2 * c.node.options.zoneDelay(target.Zone)
	}
	c.node.balancer.Done(time.Now(), target, c.report(ctx, answer, time.Since(now)))
	return attemptResult{answer: answer, elsewhere: elsewhere}
}

// patience returns how much longer an answer has its full value; 0 if the route sets no target.
func (c *ingressCall) patience() time.Duration {
	if c.route.TargetMs == 0 {
		return 0
	}
	target := time.Duration(c.route.TargetMs) * time.Millisecond
	return max(target-time.Since(c.started), time.Millisecond)
}

func (c *ingressCall) report(ctx context.Context, answer *reply, took time.Duration) balance.Report {
	report := balance.Report{
		Outcome: balance.Completed, Latency: took, Route: c.route.Name, ServiceTime: answer.head.Upstream,
	}
	if load := answer.head.Load; load.Slots > 0 {
		reported := balanceLoad(load)
		report.Load = &reported
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled), answer.head.Reason == protocol.ReasonTooLarge:
		// The caller ended the call; this says nothing about the upstream.
		report.Outcome = balance.Canceled
	case answer.head.Reason == protocol.ReasonNodeFailed, answer.head.Reason == protocol.ReasonUnreachable:
		report.Outcome = balance.ConnectFailed
	case answer.head.Reason == protocol.ReasonUpstreamRefused, answer.failedByUpstream():
		report.Outcome = balance.ErrorResponse
	case answer.head.Outcome == protocol.OutcomeNotRun:
		report.Outcome = balance.Refused
	case answer.head.Outcome == protocol.OutcomeUnknown:
		report.Outcome = balance.Failed
	}
	return report
}

// send runs a call on the upstream beside this node, or through the node beside another one.
func (n *Node) send(
	ctx context.Context, target balance.Target, head *protocol.CallMetadata, body *requestBody, reached func(),
) *reply {
	if target.ID == n.id {
		reached()
		return n.executor.run(ctx, head, body)
	}
	return n.callRemote(ctx, target, head, body, reached)
}

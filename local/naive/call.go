package naive

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"sapphiregate.example/sapphiregate/coordination/routing"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/web"
)

const (
	// maxAttempts bounds the attempts of an idempotent call.
	maxAttempts = 3
	// maxCallBytes bounds the body of a caller's request.
	maxCallBytes = 1 << 20
)

// upstreamResponse is a response of an upstream with its whole body.
type upstreamResponse struct {
	status int
	header http.Header
	body   []byte
	// externalTime is the time that the call spent outside the proxy: in the upstream and on the links between zones.
	externalTime time.Duration
}

// serveCall forwards a caller's request and reports the latency that the proxy added in a response header.
func (p *proxy) serveCall(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	current := p.current.Load()
	if current == nil {
		refuse(w, protocol.OutcomeNotRun, protocol.ReasonNotReady, http.StatusServiceUnavailable)
		return
	}
	route, err := current.routes.Match(routing.Request{
		Host: r.Host, Path: r.URL.Path, Method: r.Method, Header: r.Header.Get,
	})
	if err != nil {
		refuse(w, protocol.OutcomeNotRun, protocol.ReasonNoRoute, http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		refuse(w, protocol.OutcomeNotRun, protocol.ReasonTooLarge, http.StatusRequestEntityTooLarge)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), started.Add(timeLeft(r, route)))
	defer cancel()
	received, known := p.forwardWithRetries(ctx, r, route, body)
	switch {
	case received != nil:
		writeResponse(w, received, time.Since(started)-received.externalTime)
	case !known:
		refuse(w, protocol.OutcomeNotRun, protocol.ReasonNoUpstream, http.StatusServiceUnavailable)
	case ctx.Err() != nil:
		refuse(w, protocol.OutcomeUnknown, protocol.ReasonDeadline, http.StatusGatewayTimeout)
	default:
		refuse(w, protocol.OutcomeUnknown, protocol.ReasonUpstreamFailed, http.StatusBadGateway)
	}
}

// timeLeft returns the time limit of the route or that of the caller's request, whichever is shorter.
func timeLeft(r *http.Request, route *routing.Route) time.Duration {
	left := time.Duration(route.DeadlineMs) * time.Millisecond
	milliseconds, err := strconv.Atoi(r.Header.Get(protocol.HeaderDeadline))
	if err != nil {
		return left
	}
	return min(left, time.Duration(milliseconds)*time.Millisecond)
}

// forwardWithRetries tries upstreams in turn. It retries after errors and status 503, unless the call is irreversible.
// The response is nil if all attempts failed; known reports whether the proxy knows an upstream of the service.
func (p *proxy) forwardWithRetries(ctx context.Context, r *http.Request, route *routing.Route, body []byte) (received *upstreamResponse, known bool) {
	attempts := maxAttempts
	if route.Class == bundle.ClassIrreversible {
		attempts = 1
	}
	for range attempts {
		target, ok := p.nextUpstream(route.Service)
		if !ok {
			return nil, known
		}
		known = true
		received, err := p.forward(ctx, r, route, target, body)
		if err == nil && received.status != http.StatusServiceUnavailable {
			return received, known
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, known
}

// plainReader hides the type of a body from net/http, which would otherwise send a request with an idempotency key
// again by itself after a broken connection.
type plainReader struct{ io.Reader }

// forward makes one attempt at one upstream.
func (p *proxy) forward(
	ctx context.Context, r *http.Request, route *routing.Route, target upstream, body []byte,
) (*upstreamResponse, error) {
	var timing timing
	url := "http://" + target.Address + r.URL.RequestURI()
	request, err := http.NewRequestWithContext(timing.trace(ctx), r.Method, url, nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		request.Body = io.NopCloser(plainReader{bytes.NewReader(body)})
		request.ContentLength = int64(len(body))
	}
	request.Host = r.Host
	request.Header = web.CopyHeader(r.Header)
	for _, resource := range route.Resources {
		for name, value := range resource.Headers {
			request.Header.Set(name, value)
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(protocol.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	response, err := p.calls.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	received := &upstreamResponse{status: response.StatusCode, header: web.CopyHeader(response.Header), body: content}
	received.externalTime = timing.timeToFirstByte()
	if timing.usedNewConnection() && target.Zone != p.options.spec.Zone {
		// Opening a connection takes one round trip between the zones.
		received.externalTime += 2 * p.options.zoneDelay
	}
	return received, nil
}

// timing measures one attempt. net/http calls the hooks from other goroutines.
type timing struct {
	mu                        sync.Mutex
	requestWritten, firstByte time.Time
	newConnection             bool
}

func (t *timing) trace(ctx context.Context) context.Context {
	locked := func(change func()) {
		t.mu.Lock()
		defer t.mu.Unlock()
		change()
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { locked(func() { t.newConnection = !info.Reused }) },
		WroteRequest:         func(httptrace.WroteRequestInfo) { locked(func() { t.requestWritten = time.Now() }) },
		GotFirstResponseByte: func() { locked(func() { t.firstByte = time.Now() }) },
	})
}

// timeToFirstByte returns the time from the end of the request to the first byte of the response, or 0 if the upstream
// responded before the whole request was written.
func (t *timing) timeToFirstByte() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.firstByte.Sub(t.requestWritten), 0)
}

// usedNewConnection reports whether the attempt used a new connection.
func (t *timing) usedNewConnection() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newConnection
}

func writeResponse(w http.ResponseWriter, received *upstreamResponse, added time.Duration) {
	header := w.Header()
	for name, values := range received.header {
		header[name] = values
	}
	header.Set(protocol.HeaderOutcome, string(protocol.OutcomeDone))
	header.Set(protocol.HeaderAddedTime, strconv.FormatInt(max(added, 0).Microseconds(), 10))
	w.WriteHeader(received.status)
	// Fails if the caller has closed the connection.
	_, _ = w.Write(received.body)
}

// refuse responds with the outcome and reason of a call that the proxy could not complete.
func refuse(w http.ResponseWriter, outcome protocol.Outcome, reason protocol.Reason, status int) {
	w.Header().Set(protocol.HeaderOutcome, string(outcome))
	w.Header().Set(protocol.HeaderReason, string(reason))
	http.Error(w, string(reason), status)
}

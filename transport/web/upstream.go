package web

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/protocol"
)

// Errors of calls to upstreams.
var (
	// ErrNotWritten means that no byte of the request reached the upstream's connection: it was not run.
	ErrNotWritten = errors.New("web: request was not written to the upstream")
	// ErrBroken means that the connection broke after the request, or part of it, was written.
	ErrBroken = errors.New("web: connection to the upstream broke")
	// ErrCut means that the answer ended before its announced length.
	ErrCut = errors.New("web: answer of the upstream was cut")
)

const (
	upstreamDialTimeout = time.Second
	upstreamIdleTimeout = 90 * time.Second
	// idleProbeInterval keeps TCP aware of an upstream instance that is gone without a reset.
	idleProbeInterval = 15 * time.Second
)

// UpstreamClient sends requests to one upstream. It is safe for concurrent use.
type UpstreamClient struct {
	address   string
	transport *http.Transport
}

// NewUpstreamClient returns a client that keeps up to the given number of connections open, so that calls do not wait
// for new ones.
func NewUpstreamClient(address string, connections int) *UpstreamClient {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout, KeepAlive: idleProbeInterval}
	return &UpstreamClient{
		address: address,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: conn}, nil
			},
			MaxConnsPerHost:        connections,
			MaxIdleConnsPerHost:    connections,
			IdleConnTimeout:        upstreamIdleTimeout,
			MaxResponseHeaderBytes: protocol.MaxHeaderBytes,
			DisableCompression:     true,
			ExpectContinueTimeout:  time.Second,
		},
	}
}

// countingConn counts written bytes, which proves whether a failed request can have reached the upstream.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes: a failed write may have sent a part.
func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// UpstreamRequest is a request to an upstream.
type UpstreamRequest struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   io.Reader
	// ContentLength is -1 if the length is not known in advance.
	ContentLength int64
	// Trailer is filled in by the sender while Body is read.
	Trailer http.Header
}

// UpstreamAnswer is an upstream's answer. Its body must be closed.
type UpstreamAnswer struct {
	Response *http.Response
	// Sent is the time when the request was written.
	Sent time.Time

	conn net.Conn
}

// Discard closes the answer and its connection, on which further bytes of an unknown request may follow.
func (a *UpstreamAnswer) Discard() {
	a.Response.Body.Close()
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// sendTrace observes one request; net/http calls it from several goroutines.
type sendTrace struct {
	mu     sync.Mutex
	conn   *countingConn
	before int64
	sent   time.Time
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, _ = info.Conn.(*countingConn)
	if t.conn != nil {
		t.before = t.conn.written.Load()
	}
}

func (t *sendTrace) wrote(httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = time.Now()
}

// untouched reports whether no byte of the request can have reached the upstream.
func (t *sendTrace) untouched() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn == nil || t.conn.written.Load() == t.before
}

// answer describes an answer to the traced request.
func (t *sendTrace) answer(response *http.Response) *UpstreamAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := &UpstreamAnswer{Response: response, Sent: t.sent}
	if t.conn != nil {
		answer.conn = t.conn
	}
	return answer
}

// Do sends a request and returns once the answer's header is there. It returns ErrNotWritten only if that is proved.
func (c *UpstreamClient) Do(ctx context.Context, request UpstreamRequest) (*UpstreamAnswer, error) {
	trace := &sendTrace{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn, WroteRequest: trace.wrote})
	body := request.Body
	if body == nil {
		// net/http sends a request without a body again by itself when a kept connection breaks.
		body = emptyBody{}
	}
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+c.address+request.URI, body)
	if err != nil {
		return nil, errors.Wrapf(ErrNotWritten, "%v", err)
	}
	outgoing.Host = request.Host
	outgoing.Header = request.Header
	outgoing.Trailer = request.Trailer
	outgoing.ContentLength = request.ContentLength
	forbidReplay(outgoing)
	response, err := c.transport.RoundTrip(outgoing)
	if err != nil {
		if trace.untouched() {
			return nil, errors.Wrapf(ErrNotWritten, "%v", err)
		}
		return nil, errors.Wrapf(ErrBroken, "%v", err)
	}
	return trace.answer(response), nil
}

// emptyBody is a body that net/http does not know to be empty.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// forbidReplay keeps net/http from sending a request again: whether that is allowed is decided where the retry budget
// and the other upstreams are known. It hides the idempotency key from net/http, which otherwise sends a request with a key again by itself when a
// reused connection breaks after the request was written. The field reaches the upstream unchanged, since field names
// have no case on the wire.
func forbidReplay(request *http.Request) {
	request.GetBody = nil
	for _, name := range []string{protocol.HeaderIdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := request.Header[name]; ok {
			delete(request.Header, name)
			request.Header[strings.ToLower(name)] = values
		}
	}
}

// Probe reports whether the upstream accepts connections.
func (c *UpstreamClient) Probe(ctx context.Context) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return errors.Wrapf(ErrNotWritten, "%v", err)
	}
	return conn.Close()
}

// Get fetches a small page from the upstream, such as its health or load report.
func (c *UpstreamClient) Get(ctx context.Context, path string, limit int64) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return 0, nil, errors.Wrapf(ErrNotWritten, "%v", err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return 0, nil, errors.Wrapf(ErrBroken, "%v", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return response.StatusCode, nil, errors.Wrapf(ErrCut, "%v", err)
	}
	return response.StatusCode, body, nil
}

// Close closes idle connections.
func (c *UpstreamClient) Close() { c.transport.CloseIdleConnections() }

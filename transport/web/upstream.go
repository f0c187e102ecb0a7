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
	// ErrConnectionBroken means that the connection broke after the request, or part of it, was written.
	ErrConnectionBroken = errors.New("web: connection to the upstream broke")
	// ErrTruncated means that the answer ended before its announced length.
	ErrTruncated = errors.New("web: answer of the upstream was cut")
)

const (
	upstreamDialTimeout = time.Second
	upstreamIdleTimeout = 90 * time.Second
	// keepAliveInterval keeps TCP aware of an upstream instance that is gone without a reset.
	keepAliveInterval = 15 * time.Second
)

// UpstreamClient sends requests to one upstream. It is safe for concurrent use.
type UpstreamClient struct {
	address   string
	transport *http.Transport
}

// NewUpstreamClient returns a client that keeps up to the given number of connections open, so that calls do not wait
// for new ones.
func NewUpstreamClient(address string, connections int) *UpstreamClient {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout, KeepAlive: keepAliveInterval}
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

// UpstreamResponse is an upstream's answer. Its body must be closed.
type UpstreamResponse struct {
	HTTP *http.Response
	// WrittenAt is the time when the request was written.
	WrittenAt time.Time

	conn net.Conn
}

// Discard closes the answer and its connection, on which further bytes of an unknown request may follow.
func (r *UpstreamResponse) Discard() {
	r.HTTP.Body.Close()
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// requestTrace observes one request; net/http calls it from several goroutines.
type requestTrace struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64
	writtenAt     time.Time
}

func (t *requestTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, _ = info.Conn.(*countingConn)
	if t.conn != nil {
		t.writtenBefore = t.conn.written.Load()
	}
}

func (t *requestTrace) wroteRequest(httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writtenAt = time.Now()
}

// nothingWritten reports whether no byte of the request can have reached the upstream.
func (t *requestTrace) nothingWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn == nil || t.conn.written.Load() == t.writtenBefore
}

// upstreamResponse describes an upstreamResponse to the traced request.
func (t *requestTrace) upstreamResponse(response *http.Response) *UpstreamResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := &UpstreamResponse{HTTP: response, WrittenAt: t.writtenAt}
	if t.conn != nil {
		result.conn = t.conn
	}
	return result
}

// Do sends a request and returns once the answer's header is there. It returns ErrNotWritten only if that is proved.
func (c *UpstreamClient) Do(ctx context.Context, request UpstreamRequest) (*UpstreamResponse, error) {
	trace := &requestTrace{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn, WroteRequest: trace.wroteRequest})
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
	preventAutomaticRetry(outgoing)
	response, err := c.transport.RoundTrip(outgoing)
	if err != nil {
		if trace.nothingWritten() {
			return nil, errors.Wrapf(ErrNotWritten, "%v", err)
		}
		return nil, errors.Wrapf(ErrConnectionBroken, "%v", err)
	}
	return trace.upstreamResponse(response), nil
}

// emptyBody is a body that net/http does not know to be empty.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// preventAutomaticRetry keeps net/http from sending a request again: whether that is allowed is decided where the retry budget
// and the other upstreams are known. It hides the idempotency key from net/http, which otherwise sends a request with a key again by itself when a
// reused connection breaks after the request was written. The field reaches the upstream unchanged, since field names
// have no case on the wire.
func preventAutomaticRetry(request *http.Request) {
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
		return 0, nil, errors.Wrapf(ErrConnectionBroken, "%v", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return response.StatusCode, nil, errors.Wrapf(ErrTruncated, "%v", err)
	}
	return response.StatusCode, body, nil
}

// Close closes idle connections.
func (c *UpstreamClient) Close() { c.transport.CloseIdleConnections() }

package web

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/internal/httpresponse"
	"sapphiregate.example/sapphiregate/protocol"
)

// Errors of calls to upstreams.
var (
	// ErrNotWritten means that no byte of the request was written to a connection: the upstream has not run it.
	ErrNotWritten = errors.New("web: request was not written to the upstream")
	// ErrConnectionBroken means that the request failed after it, or part of it, may have been written.
	ErrConnectionBroken = errors.New("web: connection to the upstream broke")
	// ErrTruncated means that the response ended before its announced length.
	ErrTruncated = errors.New("web: response of the upstream is truncated")
)

const (
	upstreamDialTimeout = time.Second
	upstreamIdleTimeout = 90 * time.Second
	// keepAliveInterval is the interval of TCP keepalive probes, which detect an upstream instance that disappeared
	// without a reset.
	keepAliveInterval = 15 * time.Second
)

// UpstreamClient sends requests to one upstream. It is safe for concurrent use.
type UpstreamClient struct {
	address   string
	transport *http.Transport
}

// NewUpstreamClient returns a client for an IP address and port. It opens at most the given number of connections and
// keeps them open while they are idle, so that calls seldom wait for a new one.
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
				return newUpstreamConn(conn), nil
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

// UpstreamRequest is a request to an upstream.
type UpstreamRequest struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   io.Reader
	// Streamed is set if the sender of the body may pause in the middle of it.
	Streamed bool
	// ContentLength is -1 if the length is not known in advance.
	ContentLength int64
	// Trailer holds the trailer fields. Their values need to be set only when Body has been read to its end.
	Trailer http.Header
}

// UpstreamResponse is the response of an upstream. The caller must close the body or call Discard.
type UpstreamResponse struct {
	HTTP *http.Response
	// WrittenAt is the time at which the request was completely written.
	WrittenAt time.Time

	conn net.Conn
}

// Discard closes the body and the connection. It is for a response that does not belong to its request: later bytes on
// the connection could be taken for the response to another request.
func (r *UpstreamResponse) Discard() {
	r.HTTP.Body.Close()
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// requestTrace records how far one request got. net/http calls its methods from several goroutines.
type requestTrace struct {
	mu            sync.Mutex
	conn          *upstreamConn
	writtenBefore int64
	writtenAt     time.Time
}

// attach returns a context for the request.
func (t *requestTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn, WroteRequest: t.wroteRequest})
}

func (t *requestTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, _ = info.Conn.(*upstreamConn)
	if t.conn != nil {
		t.writtenBefore = t.conn.written.Load()
		t.conn.responseExpected.Store(true)
	}
}

// broken returns a channel that is closed once the request's connection has broken; nil before the request has one.
func (t *requestTrace) broken() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return nil
	}
	return t.conn.broken
}

func (t *requestTrace) wroteRequest(httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writtenAt = time.Now()
}

// nothingWritten reports whether the request wrote no byte to a connection.
func (t *requestTrace) nothingWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn == nil || t.conn.written.Load() == t.writtenBefore
}

// upstreamResponse combines the response with what was recorded about its request.
func (t *requestTrace) upstreamResponse(response *http.Response) *UpstreamResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := &UpstreamResponse{HTTP: response, WrittenAt: t.writtenAt}
	if t.conn != nil {
		result.conn = t.conn
	}
	return result
}

// Do sends a request and returns once the header of the response has arrived. It returns ErrNotWritten only if it is
// certain that nothing was written, and ErrConnectionBroken after any other failure.
func (c *UpstreamClient) Do(ctx context.Context, request UpstreamRequest) (*UpstreamResponse, error) {
	trace := &requestTrace{}
	ctx = trace.attach(ctx)
	body := request.Body
	if body == nil {
		// net/http resends a request without a body by itself when a reused connection breaks.
		body = emptyBody{}
	}
	if request.Streamed {
		body = newInterruptibleBody(body, trace)
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
	result := trace.upstreamResponse(response)
	if err := checkResponse(response); err != nil {
		result.Discard()
		return nil, err
	}
	return result, nil
}

// checkResponse returns ErrConnectionBroken if the head of a response is malformed.
func checkResponse(response *http.Response) error {
	// Requests are sent as HTTP/1.1 and ask for no other protocol.
	if response.ProtoMajor != 1 {
		return errors.Wrapf(ErrConnectionBroken, "protocol %s in place of HTTP/1", response.Proto)
	}
	if err := httpresponse.Check(response); err != nil {
		return errors.Wrapf(ErrConnectionBroken, "%v", err)
	}
	return nil
}

// emptyBody is an empty body that net/http does not recognize as empty.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// preventAutomaticRetry keeps net/http from resending a request: only the caller knows the retry budget and the other
// upstreams. net/http resends a request that has an idempotency key when a reused connection breaks after the request
// was written, so the key is stored under its lower-case name, which net/http does not recognize. It reaches the
// upstream unchanged, since field names are case-insensitive.
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

// Report is the response to Get.
type Report struct {
	Status int
	Header http.Header
	Body   []byte
}

// Get requests a path of the upstream, such as its health or load report, and returns the response with at most limit
// bytes of the body.
func (c *UpstreamClient) Get(ctx context.Context, path string, limit int64) (Report, error) {
	ctx = new(requestTrace).attach(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return Report{}, errors.Wrapf(ErrNotWritten, "%v", err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return Report{}, errors.Wrapf(ErrConnectionBroken, "%v", err)
	}
	defer response.Body.Close()
	if err := checkResponse(response); err != nil {
		return Report{}, err
	}
	report := Report{Status: response.StatusCode, Header: response.Header}
	if report.Body, err = io.ReadAll(io.LimitReader(response.Body, limit)); err != nil {
		return Report{}, errors.Wrapf(ErrTruncated, "%v", err)
	}
	return report, nil
}

// Close closes idle connections.
func (c *UpstreamClient) Close() { c.transport.CloseIdleConnections() }

package naive

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/transport/shape"
)

// Paths of the control process and of the proxies' administration addresses.
const (
	pathApprove   = "/v1/approve"
	pathHeartbeat = "/v1/heartbeat"
	pathBundle    = "/v1/bundle"
	pathUpstreams = "/v1/upstreams"
)

const (
	// controlInterval is the time between two pushes to a proxy and between two heartbeats of a proxy.
	controlInterval = time.Second
	// requestTimeout bounds one push or heartbeat.
	requestTimeout = time.Second
	// maxReportAge is the age from which announcements and heartbeats are ignored unless they are repeated.
	maxReportAge = 3 * controlInterval
	// maxControlBytes bounds the body of a request to the control process or to a proxy's administration address.
	maxControlBytes = 64 << 20
)

// process is the part that the control process and the proxies share: servers, an HTTP client and background
// goroutines.
type process struct {
	ctx     context.Context
	cancel  context.CancelFunc
	client  *http.Client
	servers []*http.Server
	loops   sync.WaitGroup
}

func newProcess(dial shape.DialFunc) *process {
	ctx, cancel := context.WithCancel(context.Background())
	return &process{ctx: ctx, cancel: cancel, client: &http.Client{Transport: &http.Transport{DialContext: dial}}}
}

func (p *process) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	p.servers = append(p.servers, server)
	p.loops.Go(func() { _ = server.Serve(listener) })
}

// repeat calls step at once, every controlInterval and when wake receives a value, until the process stops.
func (p *process) repeat(wake <-chan struct{}, step func()) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for p.ctx.Err() == nil {
		step()
		select {
		case <-ticker.C:
		case <-wake:
		case <-p.ctx.Done():
		}
	}
}

// stop waits for the requests in flight until the context ends, and stops the process.
func (p *process) stop(ctx context.Context) error {
	var err error
	for _, server := range p.servers {
		err = errors.CombineErrors(err, server.Shutdown(ctx))
	}
	p.kill()
	return err
}

// kill stops the process and closes its connections without waiting for the requests in flight.
func (p *process) kill() {
	p.cancel()
	for _, server := range p.servers {
		_ = server.Close()
	}
	p.loops.Wait()
	p.client.CloseIdleConnections()
}

// sendJSON sends a value as JSON and decodes the response into result, unless that is nil.
func sendJSON(ctx context.Context, client *http.Client, method, url string, value, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return errors.Newf("naive: %s responded with status %d: %s", url, response.StatusCode, bytes.TrimSpace(content))
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(content, result)
}

// decodeJSON decodes the JSON body of a request. It responds with status 400 and returns false if that fails.
func decodeJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

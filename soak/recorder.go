package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// headerAttempt identifies a caller's request to the upstream.
	headerAttempt = "X-Soak-Attempt"
	// headerOutcome is the response header in which a node states whether a request ran.
	headerOutcome = "Sapphire-Outcome"
	outcomeNotRun = "not-run"
	outcomeDone   = "done"
)

// serviceTime is the time that an upstream takes to process a request.
const serviceTime = 20 * time.Millisecond

// event is one line of a seed's timeline.
type event struct {
	// At is the time since the start of the run.
	At   time.Duration
	Text string
}

// recorder checks what callers and upstreams observe against the guarantees of the nodes, and keeps the timeline.
type recorder struct {
	started time.Time

	mu sync.Mutex
	// runs counts how often upstreams ran each attempt.
	runs map[string]int
	// reportedNotRun holds the attempts whose callers were told that they did not run.
	reportedNotRun map[string]bool
	// responses counts all responses to callers, and served those with the outcome "done".
	served     int
	responses  int
	timeline   []event
	violations []string
}

func newRecorder() *recorder {
	return &recorder{started: time.Now(), runs: make(map[string]int), reportedNotRun: make(map[string]bool)}
}

// logEvent appends a line to the timeline.
func (h *recorder) logEvent(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timeline = append(h.timeline, event{time.Since(h.started), fmt.Sprintf(format, arguments...)})
}

// reportViolation records the violation of a guarantee, also in the timeline.
func (h *recorder) reportViolation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	h.logEvent("BROKEN: %s", text)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, text)
}

// requestRan records that an upstream runs an attempt. An irreversible request that runs again is a violation.
func (h *recorder) requestRan(attempt string) {
	h.mu.Lock()
	h.runs[attempt]++
	ranTwice := h.runs[attempt] > 1 && irreversible(attempt)
	h.mu.Unlock()
	if ranTwice {
		h.reportViolation("irreversible request %s ran twice", attempt)
	}
}

// irreversible reports whether an attempt belongs to an irreversible call: runCaller lets these begin with "p".
func irreversible(attempt string) bool { return attempt[0] == 'p' }

// responseReceived records the outcome of an attempt. A successful response must have the body for that attempt.
func (h *recorder) responseReceived(attempt string, response *http.Response, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responses++
	switch response.Header.Get(headerOutcome) {
	case outcomeNotRun:
		h.reportedNotRun[attempt] = true
	case outcomeDone:
		h.served++
	}
	if response.StatusCode == http.StatusOK && string(body) != responseBody(attempt) {
		h.violations = append(h.violations, fmt.Sprintf("request %s got a wrong or truncated response of %d bytes", attempt, len(body)))
	}
}

// checkNotRun checks that no attempt ran whose caller was told that it had not. It is called at the end, since such an
// attempt may also run after its response.
func (h *recorder) checkNotRun() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for attempt := range h.reportedNotRun {
		if h.runs[attempt] > 0 {
			h.violations = append(h.violations, "request "+attempt+" ran although its caller was told that it had not")
		}
	}
}

func (h *recorder) servedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.served
}

// responseBody is the body that an upstream returns for an attempt.
func responseBody(attempt string) string { return "answer to " + attempt }

// upstream is a stand-in for a back end: it reports each attempt to a recorder and responds after serviceTime.
type upstream struct {
	server   *http.Server
	listener net.Listener
}

func newUpstream(recorder *recorder) (*upstream, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	u := &upstream{listener: listener}
	u.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get(headerAttempt)
			if attempt == "" {
				return // Health checks have no attempt header.
			}
			recorder.requestRan(attempt)
			time.Sleep(serviceTime)
			text := responseBody(attempt)
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			_, _ = io.WriteString(w, text) // Fails if the node has closed the connection.
		})}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

func (u *upstream) address() string { return u.listener.Addr().String() }
func (u *upstream) close()          { _ = u.server.Close() }

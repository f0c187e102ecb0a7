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

// Headers of the stand-ins.
const (
	headerAttempt = "X-Soak-Attempt"
	// headerOutcome is what a node says of a request.
	headerOutcome = "Sapphire-Outcome"
	outcomeNotRun = "not-run"
	outcomeDone   = "done"
)

// serviceTime is how long an upstream takes over a request.
const serviceTime = 20 * time.Millisecond

// event is one line of a seed's timeline.
type event struct {
	At   time.Duration
	Text string
}

// recorder collects what callers and upstreams see, and the timeline.
type recorder struct {
	started time.Time

	mu             sync.Mutex
	runs           map[string]int
	reportedNotRun map[string]bool
	served         int
	responses      int
	timeline       []event
	violations     []string
}

func newRecorder() *recorder {
	return &recorder{started: time.Now(), runs: make(map[string]int), reportedNotRun: make(map[string]bool)}
}

func (h *recorder) logEvent(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timeline = append(h.timeline, event{time.Since(h.started), fmt.Sprintf(format, arguments...)})
}

// reportViolation notes a broken promise.
func (h *recorder) reportViolation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	h.logEvent("BROKEN: %s", text)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, text)
}

// requestRan notes that an upstream runs an attempt.
func (h *recorder) requestRan(attempt string) {
	h.mu.Lock()
	h.runs[attempt]++
	ranTwice := h.runs[attempt] > 1 && irreversible(attempt)
	h.mu.Unlock()
	if ranTwice {
		h.reportViolation("irreversible request %s ran twice", attempt)
	}
}

// irreversible tells the attempts of callers apart by their first letter.
func irreversible(attempt string) bool { return attempt[0] == 'p' }

// responseReceived checks one answer.
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
		h.violations = append(h.violations, fmt.Sprintf("request %s got a wrong or cut answer of %d bytes", attempt, len(body)))
	}
}

// checkNotRun checks what can be judged only at the end.
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

func responseBody(attempt string) string { return "answer to " + attempt }

// upstream runs requests.
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
				return // A health check.
			}
			recorder.requestRan(attempt)
			time.Sleep(serviceTime)
			text := responseBody(attempt)
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			_, _ = io.WriteString(w, text) // A node that has gone sees no answer.
		})}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

func (u *upstream) address() string { return u.listener.Addr().String() }
func (u *upstream) close()          { _ = u.server.Close() }

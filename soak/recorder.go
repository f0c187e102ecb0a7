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
func (r *recorder) logEvent(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeline = append(r.timeline, event{time.Since(r.started), fmt.Sprintf(format, arguments...)})
}

// reportViolation records the violation of a guarantee, also in the timeline.
func (r *recorder) reportViolation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.logEvent("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
}

// requestRan records that an upstream runs an attempt. An irreversible request that runs again is a violation.
func (r *recorder) requestRan(attempt string) {
	r.mu.Lock()
	r.runs[attempt]++
	ranTwice := r.runs[attempt] > 1 && irreversible(attempt)
	r.mu.Unlock()
	if ranTwice {
		r.reportViolation("irreversible request %s ran twice", attempt)
	}
}

// irreversible reports whether an attempt belongs to an irreversible call: runCaller lets these begin with "p".
func irreversible(attempt string) bool { return attempt[0] == 'p' }

// responseReceived records the outcome of an attempt. A successful response must have the body for that attempt.
func (r *recorder) responseReceived(attempt string, response *http.Response, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses++
	switch response.Header.Get(headerOutcome) {
	case outcomeNotRun:
		r.reportedNotRun[attempt] = true
	case outcomeDone:
		r.served++
	}
	if response.StatusCode == http.StatusOK && string(body) != responseBody(attempt) {
		r.violations = append(r.violations, fmt.Sprintf("request %s got a wrong or truncated response of %d bytes", attempt, len(body)))
	}
}

// checkNotRun checks that no attempt ran whose caller was told that it had not. It is called at the end, since such an
// attempt may also run after its response.
func (r *recorder) checkNotRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for attempt := range r.reportedNotRun {
		if r.runs[attempt] > 0 {
			r.violations = append(r.violations, "request "+attempt+" ran although its caller was told that it had not")
		}
	}
}

func (r *recorder) servedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served
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

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

// workTime is how long an upstream takes over a request.
const workTime = 20 * time.Millisecond

// event is one line of a seed's timeline.
type event struct {
	At   time.Duration
	Text string
}

// history collects what callers and upstreams see, and the timeline.
type history struct {
	started time.Time

	mu       sync.Mutex
	runs     map[string]int
	notRun   map[string]bool
	served   int
	sent     int
	timeline []event
	broken   []string
}

func newHistory() *history {
	return &history{started: time.Now(), runs: make(map[string]int), notRun: make(map[string]bool)}
}

func (h *history) note(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timeline = append(h.timeline, event{time.Since(h.started), fmt.Sprintf(format, arguments...)})
}

// breach notes a broken promise.
func (h *history) breach(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	h.note("BROKEN: %s", text)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = append(h.broken, text)
}

// ran notes that an upstream runs an attempt.
func (h *history) ran(attempt string) {
	h.mu.Lock()
	h.runs[attempt]++
	again := h.runs[attempt] > 1 && irreversible(attempt)
	h.mu.Unlock()
	if again {
		h.breach("irreversible request %s ran twice", attempt)
	}
}

// irreversible tells the attempts of callers apart by their first letter.
func irreversible(attempt string) bool { return attempt[0] == 'p' }

// answered checks one answer.
func (h *history) answered(attempt string, response *http.Response, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent++
	switch response.Header.Get(headerOutcome) {
	case outcomeNotRun:
		h.notRun[attempt] = true
	case outcomeDone:
		h.served++
	}
	if response.StatusCode == http.StatusOK && string(body) != answerTo(attempt) {
		h.broken = append(h.broken, fmt.Sprintf("request %s got a wrong or cut answer of %d bytes", attempt, len(body)))
	}
}

// settle checks what can be judged only at the end.
func (h *history) settle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for attempt := range h.notRun {
		if h.runs[attempt] > 0 {
			h.broken = append(h.broken, "request "+attempt+" ran although its caller was told that it had not")
		}
	}
}

func (h *history) servedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.served
}

func answerTo(attempt string) string { return "answer to " + attempt }

// upstream runs requests.
type upstream struct {
	server   *http.Server
	listener net.Listener
}

func newUpstream(seen *history) (*upstream, error) {
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
			seen.ran(attempt)
			time.Sleep(workTime)
			text := answerTo(attempt)
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			_, _ = io.WriteString(w, text) // A node that has gone sees no answer.
		})}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

func (u *upstream) address() string { return u.listener.Addr().String() }
func (u *upstream) close()          { _ = u.server.Close() }

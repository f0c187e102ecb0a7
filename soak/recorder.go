package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sapphiregate.example/sapphiregate/state/release"
)

const (
	// headerAttempt identifies a caller's request to the upstream.
	headerAttempt = "X-Soak-Attempt"
	// headerOutcome is the response header in which a node states whether a request ran.
	headerOutcome = "Sapphire-Outcome"
	outcomeNotRun = "not-run"
	outcomeDone   = "done"
	// outcomeUnknown tells that the request may have run.
	outcomeUnknown = "unknown"
	// headerServiceTime is how long the upstream takes for a request.
	headerServiceTime = "X-Soak-Service-Time"
)

// serviceTime is the time that an upstream takes to process most requests.
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
	// runs holds the runs of each attempt by upstreams.
	runs map[string][]run
	// calls holds the requests that were sent whole.
	calls []*call
	works []*work
	// crossed counts the requests that crossed the close of their connection.
	crossed int
	// reportedNotRun holds the attempts whose callers were told that they did not run.
	reportedNotRun map[string]bool
	// responses counts all responses to callers, and served those with the outcome "done".
	served     int
	responses  int
	timeline   []event
	violations []string
	// members holds the names of the control members. lateVersions holds what probes of routes and keys have found.
	members      map[string]bool
	lateVersions []lateVersion
	// lastRollout is the rollout that was read last, and rollouts those that have ended.
	lastRollout release.Rollout
	rollouts    []endedRollout
	// killsLeader is set while the leader is to be killed at the next pause between faults. leadersKilled counts these.
	killsLeader   atomic.Bool
	leadersKilled int
}

func newRecorder() *recorder {
	return &recorder{started: time.Now(), runs: make(map[string][]run), reportedNotRun: make(map[string]bool), members: make(map[string]bool)}
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

// requestRan records that the upstream beside a node runs an attempt, and returns a function that records the end of the
// run and whether the node canceled it. An irreversible request that runs again is a violation.
func (r *recorder) requestRan(node, attempt string) (ended func(canceled bool)) {
	return r.requestRanOn(node, "", attempt)
}

// requestRanOn does the same for an upstream of a release.
func (r *recorder) requestRanOn(node, release, attempt string) (ended func(canceled bool)) {
	r.mu.Lock()
	index := len(r.runs[attempt])
	r.runs[attempt] = append(r.runs[attempt], run{node: node, release: release, started: time.Now()})
	r.mu.Unlock()
	if index > 0 && irreversible(attempt) {
		r.reportViolation("irreversible request %s ran twice", attempt)
	}
	return func(canceled bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		u := &r.runs[attempt][index]
		u.ended, u.canceled = time.Now(), canceled
	}
}

// irreversible reports whether an attempt may run once at most: caller.loop lets those of irreversible calls begin with "p" and
// those of uploads with "u".
func irreversible(attempt string) bool { return attempt[0] == 'p' || isUpload(attempt) }

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
		if len(r.runs[attempt]) > 0 {
			r.violations = append(r.violations, "request "+attempt+" ran although its caller was told that it had not")
		}
	}
}

func (r *recorder) servedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served
}

// keptCount returns the number of requests that were sent on a connection that had carried others.
func (r *recorder) keptCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, c := range r.calls {
		if c.kept {
			count++
		}
	}
	return count
}

const (
	// suffixLong ends the attempts whose response is long.
	suffixLong = "-long"
	// longResponseParts is the number of parts in which a long response is written, evenly over the time of the request,
	// and longResponseRepeats how often each repeats its text. Together they exceed what a node buffers, 64 KiB.
	longResponseParts   = 8
	longResponseRepeats = 1000
)

// responseBody is the body that an upstream returns for an attempt.
func responseBody(attempt string) string {
	return strings.Repeat(responsePart(attempt), responseParts(attempt))
}

func responsePart(attempt string) string {
	if strings.HasSuffix(attempt, suffixLong) {
		return strings.Repeat("answer to "+attempt+"\n", longResponseRepeats)
	}
	return "answer to " + attempt
}

func responseParts(attempt string) int {
	if strings.HasSuffix(attempt, suffixLong) {
		return longResponseParts
	}
	return 1
}

// upstream is a stand-in for a back end: it reports each attempt to a recorder and responds after the time that the
// request states.
type upstream struct {
	server   *http.Server
	listener net.Listener
	// closed is closed once the upstream no longer announces itself.
	closed   chan struct{}
	instance atomic.Pointer[instance]
	calls    atomic.Int64
}

func newUpstream(recorder *recorder, node string) (*upstream, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	u := &upstream{listener: listener, closed: make(chan struct{})}
	u.instance.Store(&instance{id: node, release: firstRelease, started: time.Now().UnixMilli()})
	u.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get(headerAttempt)
			if attempt == "" {
				return // Health checks have no attempt header.
			}
			recorder.checkTeam(attempt, r.Header)
			current := u.instance.Load()
			ended := recorder.requestRanOn(node, current.release, attempt)
			defer func() { ended(r.Context().Err() != nil) }()
			// net/http notices that the node has given up once the body is read.
			received, bodyErr := io.Copy(io.Discard, r.Body)
			recorder.checkUpload(attempt, received, bodyErr)
			work, err := time.ParseDuration(r.Header.Get(headerServiceTime))
			if err != nil {
				recorder.reportViolation("request %s reached its upstream without its header: %v", attempt, err)
			}
			if current.faulty && u.calls.Add(1)%2 == 0 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			w.Header().Set(headerSignature, "soak")
			w.Header().Set("Content-Length", strconv.Itoa(len(responseBody(attempt))))
			for range responseParts(attempt) {
				sleep(r.Context(), work/time.Duration(responseParts(attempt)))
				if r.Context().Err() != nil {
					return
				}
				_, _ = io.WriteString(w, responsePart(attempt)) // Fails if the node has closed the connection.
			}
		})}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

func (u *upstream) address() string { return u.listener.Addr().String() }
func (u *upstream) close() {
	close(u.closed)
	_ = u.server.Close()
}

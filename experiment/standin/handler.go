package standin

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

const (
	healthPath = "/health"
	loadPath   = "/load"
)

// Sizes of response bodies, in bytes. A share longReportRate of the reports exceeds the 64 KiB up to which nodes buffer
// a response.
const (
	smallResponse   = 500
	minReport       = 4 << 10
	reportSizeRange = 16 << 10
	longReport      = 96 << 10
	longReportRate  = 0.02
)

// LoadReport is the body of the load endpoint: the requests that run, those that wait for a slot, and the slots.
type LoadReport struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Slots    int `json:"slots"`
}

// loadReportCache keeps a load report for up to maxReportAge, so that nodes see values that lag behind.
type loadReportCache struct {
	mu      sync.Mutex
	takenAt time.Time
	report  LoadReport
}

func (l *loadReportCache) get(current func() LoadReport) LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.takenAt) > maxReportAge {
		l.takenAt = time.Now()
		l.report = current()
	}
	return l.report
}

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(healthPath, u.serveHealth)
	mux.HandleFunc(loadPath, u.serveLoad)
	mux.HandleFunc("/", u.serveCall)
	return mux
}

func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	f := u.faults.Load()
	if f.Unhealthy && !f.ReportHealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	report := u.loadReports.get(u.load)
	if u.faults.Load().ReportIdle {
		report = LoadReport{Slots: u.options.Slots}
	}
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(report)
}

// load returns the current load; requests in the upstream that do not run wait for a slot.
func (u *Upstream) load() LoadReport {
	running := int(u.running.Load())
	return LoadReport{InFlight: running, Queued: max(0, int(u.admitted.Load())-running), Slots: u.options.Slots}
}

// call is a request that the upstream handles. rng depends on the seed and the attempt only.
type call struct {
	request, attempt string
	class            bundle.Class
	rng              *rand.Rand
	nestDepth        int
	arrived          time.Time
}

func (u *Upstream) newCall(r *http.Request) call {
	h := r.Header
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, h.Get(HeaderAttempt))
	nestDepth, _ := strconv.Atoi(h.Get(HeaderNest)) // A missing header gives 0: no nested calls.
	return call{
		request: h.Get(HeaderRequest), attempt: h.Get(HeaderAttempt), class: bundle.Class(h.Get(HeaderClass)),
		rng:       rand.New(rand.NewPCG(uint64(u.options.Seed), hash.Sum64())),
		nestDepth: nestDepth, arrived: time.Now(),
	}
}

// serveCall sheds a request or runs it when a slot is free.
func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	c := u.newCall(r)
	u.recordIfDraining(c)
	// net/http cancels the request's context on a closed connection only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	admitted := u.admitted.Add(1)
	defer u.admitted.Add(-1)
	f := u.faults.Load()
	if admitted > int64(u.options.Connections) || c.rng.Float64() < f.ShedRate {
		shed(w)
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	u.run(w, r, c, f)
}

// shed refuses a request before it runs.
func shed(w http.ResponseWriter) {
	w.Header().Set(HeaderOutcome, OutcomeNotRun)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// recordIfDraining records a request that arrives although the node knows that the upstream is leaving.
func (u *Upstream) recordIfDraining(c call) {
	u.mu.Lock()
	drainingSince := u.drainingSince
	u.mu.Unlock()
	if !drainingSince.IsZero() {
		u.options.Recorder.addLateRequest(LateRequest{Upstream: u.options.ID, Attempt: c.attempt, After: time.Since(drainingSince)})
	}
}

// run executes a request that has taken a slot, and responds.
func (u *Upstream) run(w http.ResponseWriter, r *http.Request, c call, f *Faults) {
	u.running.Add(1)
	defer u.running.Add(-1)
	receipt := u.nextReceipt()
	index := u.options.Recorder.beginRun(Run{
		Request: c.request, Attempt: c.attempt, Class: c.class, Upstream: u.options.ID, Node: u.options.NodeID,
		Receipt: receipt, Start: time.Now(),
	})
	if r.Header.Get(HeaderCrash) != "" {
		u.options.Recorder.endRun(index, false, true)
		u.Crash()
		panic(http.ErrAbortHandler)
	}
	if !sleep(r.Context(), u.serviceTime(c)) {
		u.options.Recorder.endRun(index, false, u.wasKilled())
		return
	}
	nested := u.callNested(r, c)
	u.options.Recorder.endRun(index, true, false)
	if nested != nil {
		// The request ran and ends with an error of the application.
		http.Error(w, nested.Error(), http.StatusInternalServerError)
		return
	}
	u.respond(w, r, c, receipt, f)
}

// wasKilled reports whether the upstream was killed or crashed since its last start.
func (u *Upstream) wasKilled() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.killed
}

// serviceTime draws the service time of a call: half of the mean is fixed and the other half exponentially distributed,
// which keeps the mean and gives occasional long runs.
func (u *Upstream) serviceTime(c call) time.Duration {
	mean := float64(u.options.ServiceTimes[c.class]) * u.options.TimeScale * u.slowdown()
	return time.Duration(mean * (0.5 + 0.5*c.rng.ExpFloat64()))
}

// respond sends the response of a finished run, delayed or truncated as the faults say.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, c call, receipt string, f *Faults) {
	body, digest := newResponse(c.request, receipt, responseSize(c))
	if c.rng.Float64() < f.LateRate && !sleep(r.Context(), f.LateDelay) {
		return
	}
	w.Header().Set(HeaderDigest, digest)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if c.rng.Float64() < f.TruncateRate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func responseSize(c call) int {
	if c.class != bundle.ClassReport {
		return smallResponse
	}
	if c.rng.Float64() < longReportRate {
		return longReport
	}
	return minReport + c.rng.IntN(reportSizeRange)
}

// sleep waits for d and returns true, or false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

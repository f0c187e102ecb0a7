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

// Sizes of answers. Some reports exceed the 64 KiB up to which nodes buffer.
const (
	smallAnswer    = 500
	reportMinimum  = 4 << 10
	reportSpread   = 16 << 10
	longReport     = 96 << 10
	longReportRate = 0.02
)

// LoadReport is the body of the load endpoint.
type LoadReport struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Slots    int `json:"slots"`
}

// laggingLoad holds the last published load report.
type laggingLoad struct {
	mu   sync.Mutex
	at   time.Time
	last LoadReport
}

func (l *laggingLoad) get(current func() LoadReport) LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.at) > reportLag {
		l.at = time.Now()
		l.last = current()
	}
	return l.last
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
	report := u.lagging.get(u.load)
	if u.faults.Load().ReportIdle {
		report = LoadReport{Slots: u.options.Slots}
	}
	// A caller that went away needs no report.
	_ = json.NewEncoder(w).Encode(report)
}

func (u *Upstream) load() LoadReport {
	running := int(u.running.Load())
	return LoadReport{InFlight: running, Queued: max(0, int(u.inside.Load())-running), Slots: u.options.Slots}
}

// call is one request on its way through the upstream.
type call struct {
	request, attempt string
	class            bundle.Class
	rng              *rand.Rand
	nest             int
	arrived          time.Time
}

func (u *Upstream) newCall(r *http.Request) call {
	h := r.Header
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, h.Get(HeaderAttempt))
	nest, _ := strconv.Atoi(h.Get(HeaderNest)) // Absent means no nested calls.
	return call{
		request: h.Get(HeaderRequest), attempt: h.Get(HeaderAttempt), class: bundle.Class(h.Get(HeaderClass)),
		rng:  rand.New(rand.NewPCG(uint64(u.options.Seed), hash.Sum64())),
		nest: nest, arrived: time.Now(),
	}
}

func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	c := u.newCall(r)
	u.noteLate(c)
	// The server notices a closed connection only once the body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	inside := u.inside.Add(1)
	defer u.inside.Add(-1)
	f := u.faults.Load()
	if inside > int64(u.options.Connections) || c.rng.Float64() < f.ShedRate {
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

func shed(w http.ResponseWriter) {
	w.Header().Set(HeaderOutcome, OutcomeNotRun)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (u *Upstream) noteLate(c call) {
	u.mu.Lock()
	drainAt := u.drainAt
	u.mu.Unlock()
	if !drainAt.IsZero() {
		u.options.Recorder.addLate(LateRequest{Upstream: u.options.ID, Attempt: c.attempt, After: time.Since(drainAt)})
	}
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request, c call, f *Faults) {
	u.running.Add(1)
	defer u.running.Add(-1)
	receipt := u.nextReceipt()
	index := u.options.Recorder.begin(Run{
		Request: c.request, Attempt: c.attempt, Class: c.class, Upstream: u.options.ID, Node: u.options.NodeID,
		Receipt: receipt, Start: time.Now(),
	})
	if r.Header.Get(HeaderCrash) != "" {
		u.options.Recorder.end(index, false, true)
		u.Crash()
		panic(http.ErrAbortHandler)
	}
	if !sleep(r.Context(), u.serviceTime(c)) {
		u.options.Recorder.end(index, false, u.died())
		return
	}
	nested := u.nested(r, c)
	u.options.Recorder.end(index, true, false)
	if nested != nil {
		// The request ran, and its answer is an error of the application.
		http.Error(w, nested.Error(), http.StatusInternalServerError)
		return
	}
	u.answer(w, r, c, receipt, f)
}

// died reports whether the upstream ended without notice.
func (u *Upstream) died() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dead
}

// serviceTime is half fixed and half exponential, so that the mean is kept and long runs occur.
func (u *Upstream) serviceTime(c call) time.Duration {
	mean := float64(u.options.ServiceTimes[c.class]) * u.options.TimeScale * u.slowness()
	return time.Duration(mean * (0.5 + 0.5*c.rng.ExpFloat64()))
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, c call, receipt string, f *Faults) {
	body, digest := newAnswer(c.request, receipt, answerSize(c))
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

func answerSize(c call) int {
	if c.class != bundle.ClassReport {
		return smallAnswer
	}
	if c.rng.Float64() < longReportRate {
		return longReport
	}
	return reportMinimum + c.rng.IntN(reportSpread)
}

// sleep returns false if the context ended first.
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
